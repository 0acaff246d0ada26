/*
 * The verbs that read files: check, diff, schema.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"

static void
print_problems (const char *path, const GArray *problems)
{
	for (guint i = 0; i < problems->len; i++) {
		const struct inv_problem *p =
			&g_array_index (problems, struct inv_problem, i);

		fprintf (stderr, "%s:%u: %s%s%s\n", path, p->line, p->path,
			 *p->path ? ": " : "", p->what);
	}
}

bool
ctl_inventory_read (const char *path, struct inv_doc *d)
{
	GArray *problems =
		g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	GError *ge = NULL;
	struct err e;
	char *text;
	gsize len;
	bool ok;

	inv_doc_init (d);
	if (!g_file_get_contents (path, &text, &len, &ge)) {
		fprintf (stderr, "dhctl: read inventory: %s\n", ge->message);
		g_error_free (ge);
		g_array_unref (problems);
		return false;
	}
	ok = inv_doc_parse (d, text, len, problems, &e);
	if (!ok && problems->len == 0)
		ctl_fail (&e);
	print_problems (path, problems);
	g_array_unref (problems);
	g_free (text);
	return ok;
}

int
ctl_check (struct ctl *c)
{
	struct inv_doc d;
	int status = CTL_FAILED;

	if (ctl_inventory_read (c->args[0], &d)) {
		for (int s = INV_DOMAINS; s < INV_SECTIONS; s++)
			printf ("%-10s %u\n",
				inv_section_name ((enum inv_section)s),
				inv_doc_count (&d, (enum inv_section)s));
		status = CTL_OK;
	}
	inv_doc_finish (&d);
	return status;
}

static void
print_change (const struct inv_doc *from, const struct inv_change *ch)
{
	enum inv_section s = (enum inv_section)ch->section;
	const char *was = inv_doc_get (from, s, ch->name);

	printf ("%s %s\n", inv_section_name (s), ch->name);
	if (was != NULL)
		printf ("- %s\n", was);
	if (ch->json.len > 0)
		printf ("+ %.*s\n", (int)ch->json.len, ch->json.data);
}

static void
print_diff (const struct inv_doc *from, const struct inv_doc *to)
{
	GArray *changes =
		g_array_new (FALSE, FALSE, sizeof (struct inv_change));

	inv_doc_diff (from, to, changes);
	for (guint i = 0; i < changes->len; i++)
		print_change (from,
			      &g_array_index (changes, struct inv_change, i));
	g_array_unref (changes);
}

static int
diff_files (struct ctl *c)
{
	struct inv_doc from, to;
	int status = CTL_FAILED;

	inv_doc_init (&to);
	if (ctl_inventory_read (c->args[0], &from) &&
	    ctl_inventory_read (c->args[1], &to)) {
		print_diff (&from, &to);
		status = CTL_OK;
	}
	inv_doc_finish (&from);
	inv_doc_finish (&to);
	return status;
}

int
ctl_diff (struct ctl *c)
{
	struct ctl_inventory now;
	struct inv_doc to;
	struct err e;
	int status = CTL_FAILED;

	if (c->argc == 2)
		return diff_files (c);
	if (!ctl_inventory_read (c->args[0], &to)) {
		inv_doc_finish (&to);
		return CTL_FAILED;
	}
	if (ctl_inventory_get (c, &now, &e)) {
		printf ("revision %" G_GUINT64_FORMAT "\n", now.revision);
		print_diff (&now.doc, &to);
		inv_doc_finish (&now.doc);
		status = CTL_OK;
	} else {
		ctl_fail (&e);
	}
	inv_doc_finish (&to);
	return status;
}

int
ctl_schema (struct ctl *c)
{
	GString *out = g_string_new (
		"# Settings\n\n"
		"Written by `dhctl schema` from the tables that check the "
		"files; don't edit.\n\n"
		"Files are JSON with `//` and `/* */` comments. Unknown and "
		"duplicate names,\nwrong types and values out of range are "
		"refused, all in one run, each with its\nline. Names hold "
		"letters, digits, `-`, `_` and `.`; addresses are IP numbers "
		"with a\nport.\n\n"
		"# Inventory\n\n"
		"One object with the sections below. `settings` is an object; "
		"every other section is\nan array of objects, known by their "
		"`name` (keys: `id`), which is unique in its\nsection. "
		"Models are those that endpoints list.\n\n");

	(void)c;
	inv_describe (out);
	g_string_append (out, "# Programs\n\n");
	set_describe (set_entryd_rows, "entryd", out);
	set_describe (set_controld_rows, "controld", out);
	set_describe (set_relayd_rows, "relayd", out);
	set_describe (set_groupd_rows, "groupd", out);
	set_describe (set_dhctl_rows, "dhctl", out);
	g_string_truncate (out, out->len - 1);
	fputs (out->str, stdout);
	g_string_free (out, TRUE);
	return CTL_OK;
}
