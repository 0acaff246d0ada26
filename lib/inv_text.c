/*
 * Documents as text: what operators write, and what is printed back.
 */
#include <json-c/json.h>
#include <string.h>

#include "inv_priv.h"

struct reading {
	struct inv_doc doc;
	GHashTable *lines; /* struct inv_obj * to line */
	GArray *problems;
};

/* Names an object in paths: by its name, or by its place. */
static void
object_path (char path[SET_PATH_BYTES], const struct inv_table *t,
	     json_object *json, size_t i)
{
	json_object *id = json_object_object_get (json, t->id);

	if (json_object_is_type (id, json_type_string) &&
	    strlen (json_object_get_string (id)) < INV_NAME_BYTES)
		g_snprintf (path, SET_PATH_BYTES, "%s[%s]", t->name,
			    json_object_get_string (id));
	else
		g_snprintf (path, SET_PATH_BYTES, "%s[%zu]", t->name, i);
}

static void
add_object (struct reading *r, enum inv_section s, json_object *json,
	    uint32_t line, const char *path)
{
	struct inv_obj *o = inv_obj_read (s, json, line, path, r->problems);
	const struct inv_obj *was;

	if (o == NULL)
		return;
	was = inv_doc_find (&r->doc, s, o->name);
	if (was != NULL) {
		set_problem (
			r->problems, line, path,
			"duplicate: the name stands on line %u already",
			GPOINTER_TO_UINT (g_hash_table_lookup (r->lines, was)));
		inv_obj_unref (o);
		return;
	}
	g_hash_table_insert (r->lines, o, GUINT_TO_POINTER (line));
	inv_doc_put (&r->doc, o);
}

static void
add_section (struct reading *r, enum inv_section s, json_object *json)
{
	const struct inv_table *t = &inv_tables[s];
	uint32_t line = set_json_line (json, 1);

	if (t->id == NULL) {
		add_object (r, s, json, line, t->name);
		return;
	}
	if (!json_object_is_type (json, json_type_array)) {
		set_problem (r->problems, line, t->name, "must be an array");
		return;
	}
	for (size_t i = 0; i < json_object_array_length (json); i++) {
		json_object *item = json_object_array_get_idx (json, i);
		char path[SET_PATH_BYTES];

		object_path (path, t, item, i);
		add_object (r, s, item, set_json_line (item, line), path);
	}
}

static int
section_find (const char *name)
{
	for (int s = 0; s < INV_SECTIONS; s++) {
		if (strcmp (inv_tables[s].name, name) == 0)
			return s;
	}
	return -1;
}

static void
add_sections (struct reading *r, json_object *json)
{
	struct json_object_iterator it, end;

	if (!json_object_is_type (json, json_type_object)) {
		set_problem (r->problems, 1, "", "must be an object");
		return;
	}
	it = json_object_iter_begin (json);
	end = json_object_iter_end (json);
	for (; !json_object_iter_equal (&it, &end);
	     json_object_iter_next (&it)) {
		const char *name = json_object_iter_peek_name (&it);
		json_object *v = json_object_iter_peek_value (&it);
		int s = section_find (name);

		if (s >= 0)
			add_section (r, (enum inv_section)s, v);
		else
			set_problem (r->problems, set_json_line (v, 1), name,
				     "unknown name");
	}
}

static int
compare_problems (const void *a, const void *b)
{
	const struct inv_problem *pa = a, *pb = b;

	if (pa->line != pb->line)
		return pa->line < pb->line ? -1 : 1;
	return strcmp (pa->path, pb->path);
}

/* Checks the references of all that could be read. */
static void
check_references (struct reading *r)
{
	struct inv inv;

	if (inv_build_at (&inv, &r->doc, 0, r->lines, r->problems, NULL))
		inv_finish (&inv);
}

static bool
read_text (struct reading *r, const char *text, size_t len, struct err *e)
{
	json_object *json = set_json_parse (text, len, r->problems);
	const struct inv_problem *first;

	if (json != NULL) {
		add_sections (r, json);
		check_references (r);
		json_object_put (json);
	}
	if (r->problems->len == 0)
		return true;
	g_array_sort (r->problems, compare_problems);
	first = &g_array_index (r->problems, struct inv_problem, 0);
	return err_set (e, ERR_SETTINGS, "line %u: %s%s%s", first->line,
			first->path, *first->path ? ": " : "", first->what);
}

bool
inv_doc_parse (struct inv_doc *d, const char *text, size_t len,
	       GArray *problems, struct err *e)
{
	struct reading r = {.problems = problems};
	bool ok;

	if (len > INV_DOC_MAX_BYTES)
		return err_set (e, ERR_TOO_LARGE,
				"inventory of %zu bytes: the "
				"most is %u",
				len, INV_DOC_MAX_BYTES);
	if (problems == NULL)
		r.problems =
			g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	r.lines = g_hash_table_new (NULL, NULL);
	inv_doc_init (&r.doc);
	ok = read_text (&r, text, len, e);
	if (ok) {
		inv_doc_finish (d);
		*d = r.doc;
	} else {
		inv_doc_finish (&r.doc);
	}
	g_hash_table_unref (r.lines);
	if (problems == NULL)
		g_array_unref (r.problems);
	return ok;
}

struct printing {
	GString *out;
	const char *before;
};

static gboolean
print_one (void *name, void *obj, void *ctx)
{
	const struct inv_obj *o = obj;
	struct printing *p = ctx;

	(void)name;
	g_string_append_printf (p->out, "%s%s", p->before, o->json);
	p->before = ",\n    ";
	return FALSE;
}

char *
inv_doc_print (const struct inv_doc *d)
{
	GString *out = g_string_new ("{");
	const char *comma = "";

	for (int s = 0; s < INV_SECTIONS; s++) {
		bool list = inv_tables[s].id != NULL;
		struct printing p = {.out = out,
				     .before = list ? "\n    " : ""};

		if (g_tree_nnodes (d->objects[s]) == 0)
			continue;
		g_string_append_printf (out, "%s\n  \"%s\": %s", comma,
					inv_tables[s].name, list ? "[" : "");
		g_tree_foreach (d->objects[s], print_one, &p);
		g_string_append (out, list ? "\n  ]" : "");
		comma = ",";
	}
	g_string_append (out, "\n}\n");
	return g_string_free (out, FALSE);
}
