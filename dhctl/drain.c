/*
 * drain and undrain: take a failure domain or an endpoint out, and back in.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"

struct drain {
	const char *what;
	const char *name;
	bool drained;
};

/* The object's text with its drained member set. */
static char *
with_drained (json_object *object, void *ctx, struct err *e)
{
	const struct drain *d = ctx;

	if (object == NULL) {
		err_set (e, ERR_NOT_FOUND, "no %s is named %s", d->what,
			 d->name);
		return NULL;
	}
	json_object_object_add (object, "drained",
				json_object_new_boolean (d->drained));
	return g_strdup (json_object_to_json_string (object));
}

static int
set_drained (struct ctl *c, bool drained)
{
	struct drain d = {c->args[0], c->args[1], drained};
	enum inv_section s = INV_DOMAINS;
	uint64_t revision;
	struct err e = {0};

	if (strcmp (d.what, "endpoint") == 0) {
		s = INV_ENDPOINTS;
	} else if (strcmp (d.what, "domain") != 0) {
		fprintf (stderr, "dhctl: drain takes domain or endpoint\n");
		return CTL_USAGE;
	}
	if (!ctl_change (c, s, d.name, with_drained, &d, &revision, &e))
		return ctl_fail (&e);
	printf ("revision %" G_GUINT64_FORMAT "\n", revision);
	return c->wait ? ctl_wait (c, revision) : CTL_OK;
}

int
ctl_drain (struct ctl *c)
{
	return set_drained (c, true);
}

int
ctl_undrain (struct ctl *c)
{
	return set_drained (c, false);
}
