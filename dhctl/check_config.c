/*
 * The verb check-config: a configuration for the group, before it is sent.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"
#include "gstate.h"
#include "plancheck.h"
#include "planjob.h"
#include "platform/platform.h"

/* Parses and checks the file as a member of the group does; prints why it would
 * be refused. */
static struct plan *
read_config (const char *path)
{
	struct plan *p = NULL;
	GError *ge = NULL;
	struct err e = {0};
	char *text;
	gsize len;

	if (!g_file_get_contents (path, &text, &len, &ge)) {
		fprintf (stderr, "dhctl: read configuration: %s\n",
			 ge->message);
		g_error_free (ge);
		return NULL;
	}
	if (len > GSTATE_PLAN_MAX_BYTES)
		err_set (&e, ERR_TOO_LARGE, "%zu bytes, at most %u are taken",
			 (size_t)len, GSTATE_PLAN_MAX_BYTES);
	else
		p = planjob_parse (&platform_dialect, text, len, &e);
	if (p == NULL)
		fprintf (stderr, "%s: %s\n", path, e.msg);
	g_free (text);
	return p;
}

static void
print_lines (const char *before, const GPtrArray *lines)
{
	for (guint i = 0; lines != NULL && i < lines->len; i++)
		printf ("%s%s\n", before,
			(const char *)g_ptr_array_index (lines, i));
}

static json_object *
lines_to_json (const GPtrArray *lines)
{
	json_object *list = json_object_new_array ();

	for (guint i = 0; i < lines->len; i++)
		json_object_array_add (
			list,
			json_object_new_string (g_ptr_array_index (lines, i)));
	return list;
}

static void
print_json (const struct plan *p, const GPtrArray *findings,
	    const GPtrArray *changes)
{
	json_object *o = json_object_new_object ();

	json_object_object_add (o, "version",
				json_object_new_uint64 (p->version));
	json_object_object_add (o, "findings", lines_to_json (findings));
	if (changes != NULL)
		json_object_object_add (o, "changes", lines_to_json (changes));
	puts (json_object_to_json_string_ext (
		o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put (o);
}

static void
print_text (const struct plan *p, const struct plan *from,
	    const GPtrArray *findings, const GPtrArray *changes)
{
	printf ("version %" G_GUINT64_FORMAT ": %u routes, %u services, "
		"%u client accounts, %u keys\n",
		p->version, p->routes->len, p->services->len, p->accounts->len,
		g_hash_table_size (p->keys));
	print_lines ("warning: ", findings);
	if (from == NULL)
		return;
	printf ("against version %" G_GUINT64_FORMAT ": %s\n", from->version,
		changes->len > 0 ? "changes" : "no change");
	print_lines ("", changes);
}

int
ctl_check_config (struct ctl *c)
{
	struct plan *p = read_config (c->args[0]);
	struct plan *from = c->argc == 2 ? read_config (c->args[1]) : NULL;
	GPtrArray *findings, *changes = NULL;
	int status = CTL_FAILED;

	if (p != NULL && (c->argc == 1 || from != NULL)) {
		findings = plancheck_findings (p);
		if (from != NULL)
			changes = plancheck_diff (from, p);
		if (c->json)
			print_json (p, findings, changes);
		else
			print_text (p, from, findings, changes);
		g_ptr_array_unref (findings);
		if (changes != NULL)
			g_ptr_array_unref (changes);
		status = CTL_OK;
	}
	plan_unref (p);
	plan_unref (from);
	return status;
}
