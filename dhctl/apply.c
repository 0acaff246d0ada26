/*
 * Changing the inventory in force, and waiting until the change is
 * everywhere.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"
#include "tmr.h"

#define CHANGE_TRIES 20

/*
 * The revision is asked for first: where the inventory changes in between, a
 * change based on it meets a conflict and not somebody's silent loss.
 */
bool
ctl_inventory_get (struct ctl *c, struct ctl_inventory *i, struct err *e)
{
	struct ctl_reply r;
	bool ok;

	if (!ctl_get (c, "/v1/status", &r, e)) {
		ctl_reply_finish (&r);
		return false;
	}
	i->revision = ctl_u64 (r.json, "revision");
	ctl_reply_finish (&r);
	ok = ctl_get (c, "/v1/inventory", &r, e);
	inv_doc_init (&i->doc);
	ok = ok && inv_doc_parse (&i->doc, r.body, r.len, NULL, e);
	if (!ok)
		inv_doc_finish (&i->doc);
	ctl_reply_finish (&r);
	return ok;
}

/*
 * Sends a whole document under one change id.  A lost answer is asked for
 * again under the same id, so the change happens at most once.
 */
static bool
send_document (struct ctl *c, const struct inv_doc *d, uint64_t base,
	       uint64_t *revision, struct err *e)
{
	char id[CTL_ID_BYTES], path[128];
	char *text = inv_doc_print (d);
	struct ctl_reply r;
	bool ok;

	ctl_new_id (id);
	g_snprintf (path, sizeof path,
		    "/v1/apply?base=%" G_GUINT64_FORMAT "&change=%s", base, id);
	ok = ctl_leader (c, "POST", path, text, &r, e);
	*revision = ctl_u64 (r.json, "revision");
	ctl_reply_finish (&r);
	g_free (text);
	return ok;
}

static int
report_conflict (uint64_t base, uint64_t current)
{
	fprintf (stderr,
		 "dhctl: conflict: the change is based on revision "
		 "%" G_GUINT64_FORMAT ", but revision %" G_GUINT64_FORMAT
		 " is in force\n"
		 "dhctl: nothing was changed; see dhctl diff, then apply "
		 "again\n",
		 base, current);
	return CTL_CONFLICT;
}

static int
apply_document (struct ctl *c, const struct inv_doc *d)
{
	struct ctl_inventory now;
	uint64_t base = c->base, revision;
	struct err e;

	if (!c->has_base) {
		if (!ctl_inventory_get (c, &now, &e))
			return ctl_fail (&e);
		base = now.revision;
		inv_doc_finish (&now.doc);
	}
	if (!send_document (c, d, base, &revision, &e)) {
		if (e.kind == ERR_CONFLICT)
			return report_conflict (base, revision);
		return ctl_fail (&e);
	}
	printf ("revision %" G_GUINT64_FORMAT "\n", revision);
	return c->wait ? ctl_wait (c, revision) : CTL_OK;
}

int
ctl_apply (struct ctl *c)
{
	struct inv_doc d;
	int status = CTL_FAILED;

	if (ctl_inventory_read (c->args[0], &d))
		status = apply_document (c, &d);
	inv_doc_finish (&d);
	return status;
}

/* One try; false with ERR_CONFLICT where somebody else was first. */
static bool
change_once (struct ctl *c, enum inv_section s, const char *name, ctl_edit edit,
	     void *ctx, uint64_t *revision, struct err *e)
{
	char id[CTL_ID_BYTES], path[256], *text = NULL;
	struct ctl_reply r;
	uint64_t base = 0;
	bool ok;

	g_snprintf (path, sizeof path, "/v1/object?section=%s&name=%s",
		    inv_section_name (s), name);
	if (ctl_get (c, path, &r, e)) {
		base = ctl_u64 (r.json, "revision");
		text = edit (ctl_sub (r.json, "object"), ctx, e);
	}
	ctl_reply_finish (&r);
	if (text == NULL)
		return false;
	ctl_new_id (id);
	g_snprintf (path, sizeof path,
		    "/v1/change?base=%" G_GUINT64_FORMAT
		    "&change=%s&section=%s&name=%s",
		    base, id, inv_section_name (s), name);
	ok = ctl_leader (c, "POST", path, text, &r, e);
	*revision = ctl_u64 (r.json, "revision");
	ctl_reply_finish (&r);
	g_free (text);
	return ok;
}

bool
ctl_change (struct ctl *c, enum inv_section s, const char *name, ctl_edit edit,
	    void *ctx, uint64_t *revision, struct err *e)
{
	for (int i = 0; i < CHANGE_TRIES; i++) {
		if (change_once (c, s, name, edit, ctx, revision, e))
			return true;
		if (e->kind != ERR_CONFLICT)
			return false;
	}
	return false;
}

json_object *
ctl_missing (struct ctl *c, uint64_t revision)
{
	char path[64];
	struct ctl_reply r;
	json_object *missing = NULL;
	struct err e;

	g_snprintf (path, sizeof path,
		    "/v1/acknowledgements?revision=%" G_GUINT64_FORMAT,
		    revision);
	if (ctl_get (c, path, &r, &e))
		missing = json_object_get (ctl_sub (r.json, "missing"));
	ctl_reply_finish (&r);
	return missing;
}

static int
print_missing (json_object *missing, uint64_t revision)
{
	if (missing == NULL) {
		fprintf (stderr,
			 "dhctl: no control member says where revision "
			 "%" G_GUINT64_FORMAT " is in force\n",
			 revision);
		return CTL_INCOMPLETE;
	}
	for (size_t i = 0; i < json_object_array_length (missing); i++)
		printf ("not confirmed: %s\n",
			json_object_get_string (
				json_object_array_get_idx (missing, i)));
	return CTL_INCOMPLETE;
}

int
ctl_wait (struct ctl *c, uint64_t revision)
{
	uint64_t end = tmr_now_ms () + c->timeout_ms;

	for (;;) {
		json_object *missing = ctl_missing (c, revision);
		int status = CTL_INCOMPLETE;

		if (missing != NULL &&
		    json_object_array_length (missing) == 0) {
			printf ("in force everywhere\n");
			status = CTL_OK;
		} else if (tmr_now_ms () >= end) {
			status = print_missing (missing, revision);
		} else {
			json_object_put (missing);
			ctl_pause (c);
			continue;
		}
		json_object_put (missing);
		return status;
	}
}
