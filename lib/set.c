/*
 * Reads and prints objects by their table of settings.
 */
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "set_priv.h"

bool
set_problem (GArray *problems, uint32_t line, const char *path, const char *fmt,
	     ...)
{
	struct inv_problem p = {.line = line};
	va_list ap;

	if (problems == NULL || problems->len >= SET_PROBLEMS_MAX)
		return false;
	g_strlcpy (p.path, path, sizeof p.path);
	va_start (ap, fmt);
	vsnprintf (p.what, sizeof p.what, fmt, ap);
	va_end (ap);
	g_array_append_val (problems, p);
	return false;
}

static const struct set_row *
row_find (const struct set_row *rows, const char *name)
{
	for (; rows->type != SET_END; rows++) {
		if (strcmp (rows->name, name) == 0)
			return rows;
	}
	return NULL;
}

/* A default is text in the table, so a bad one is a fault of ours. */
static void
set_default (const struct set_row *r, char *to)
{
	static const struct set_place nowhere;
	json_object *v;

	if (r->type == SET_LIST) {
		GPtrArray *list = g_ptr_array_new_with_free_func (g_free);

		memcpy (to, &list, sizeof list);
	}
	if (r->def == NULL)
		return;
	v = json_tokener_parse (r->def);
	g_assert (set_value_read (r, v, to, &nowhere));
	json_object_put (v);
}

void
set_defaults (const struct set_row *rows, void *obj)
{
	for (const struct set_row *r = rows; r->type != SET_END; r++) {
		memset ((char *)obj + r->offset, 0, r->size);
		set_default (r, (char *)obj + r->offset);
	}
}

static void
sub_path (char *to, const char *path, const char *name)
{
	g_snprintf (to, SET_PATH_BYTES, "%s%s%s", path, *path ? "." : "", name);
}

static bool
find_missing (const struct set_row *rows, json_object *json, uint32_t line,
	      const char *path, GArray *problems)
{
	char sub[SET_PATH_BYTES];
	bool ok = true;

	for (const struct set_row *r = rows; r->type != SET_END; r++) {
		if (!r->required ||
		    json_object_object_get_ex (json, r->name, NULL))
			continue;
		sub_path (sub, path, r->name);
		ok = set_problem (problems, line, sub, "missing");
	}
	return ok;
}

bool
set_read (const struct set_row *rows, struct json_object *json, uint32_t line,
	  const char *path, void *obj, GArray *problems)
{
	struct json_object_iterator it, end;
	bool ok = true;

	set_defaults (rows, obj);
	line = set_json_line (json, line);
	if (!json_object_is_type (json, json_type_object))
		return set_problem (problems, line, path, "must be an object");
	it = json_object_iter_begin (json);
	end = json_object_iter_end (json);
	for (; !json_object_iter_equal (&it, &end);
	     json_object_iter_next (&it)) {
		const char *name = json_object_iter_peek_name (&it);
		json_object *v = json_object_iter_peek_value (&it);
		const struct set_row *r = row_find (rows, name);
		struct set_place at = {.line = set_json_line (v, line),
				       .problems = problems};

		sub_path (at.path, path, name);
		if (r == NULL)
			ok = set_wrong (&at, "unknown name");
		else
			ok &= set_value_read (r, v, (char *)obj + r->offset,
					      &at);
	}
	ok &= find_missing (rows, json, line, path, problems);
	return ok;
}

static bool
same_list (const char *a, const char *b)
{
	GPtrArray *la, *lb;

	memcpy (&la, a, sizeof la);
	memcpy (&lb, b, sizeof lb);
	if (la->len != lb->len)
		return false;
	for (guint i = 0; i < la->len; i++) {
		if (strcmp (la->pdata[i], lb->pdata[i]) != 0)
			return false;
	}
	return true;
}

static bool
is_default (const struct set_row *r, const char *from)
{
	union {
		char bytes[512];
		void *align;
	} def = {{0}};
	bool same;

	g_assert (r->size <= sizeof def.bytes);
	set_default (r, def.bytes);
	switch (r->type) {
	case SET_STRING:
	case SET_NAME:
	case SET_ADDR:
		return strcmp (from, def.bytes) == 0;
	case SET_LIST:
		same = same_list (from, def.bytes);
		set_release ((struct set_row[]){{.type = SET_LIST},
						{.type = SET_END}},
			     def.bytes);
		return same;
	case SET_BOOL:
	case SET_U8:
	case SET_U16:
	case SET_U32:
	case SET_U64:
	case SET_REAL:
	case SET_HEX:
	case SET_ENUM:
	case SET_END:
		break;
	}
	return memcmp (from, def.bytes, r->size) == 0;
}

char *
set_print (const struct set_row *rows, const void *obj)
{
	json_object *json = json_object_new_object ();
	char *text;

	for (const struct set_row *r = rows; r->type != SET_END; r++) {
		const char *from = (const char *)obj + r->offset;

		if (r->required || !is_default (r, from))
			json_object_object_add (json, r->name,
						set_value_json (r, from));
	}
	text = g_strdup (json_object_to_json_string_ext (
		json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put (json);
	return text;
}

void
set_release (const struct set_row *rows, void *obj)
{
	for (const struct set_row *r = rows; r->type != SET_END; r++) {
		GPtrArray *list;

		if (r->type != SET_LIST)
			continue;
		memcpy (&list, (char *)obj + r->offset, sizeof list);
		if (list != NULL)
			g_ptr_array_unref (list);
		memset ((char *)obj + r->offset, 0, sizeof list);
	}
}

static bool
load_text (const char *path, const char *text, gsize len,
	   const struct set_row *rows, void *obj, GArray *problems,
	   struct err *e)
{
	const struct inv_problem *first;
	guint before = problems->len;
	json_object *json = NULL;

	if (len <= SET_FILE_MAX_BYTES)
		json = set_json_parse (text, len, problems);
	else
		set_problem (problems, 1, "", "file is too long");
	if (json != NULL)
		set_read (rows, json, 1, "", obj, problems);
	json_object_put (json);
	if (problems->len == before)
		return true;
	first = &g_array_index (problems, struct inv_problem, before);
	return err_set (e, ERR_SETTINGS, "%s:%u: %s%s%s", path, first->line,
			first->path, *first->path ? ": " : "", first->what);
}

bool
set_load (const char *path, const struct set_row *rows, void *obj,
	  GArray *problems, struct err *e)
{
	GArray *own = NULL;
	GError *ge = NULL;
	gsize len;
	char *text;
	bool ok;

	set_defaults (rows, obj);
	if (!g_file_get_contents (path, &text, &len, &ge)) {
		err_set (e, ERR_IO, "read settings: %s", ge->message);
		g_error_free (ge);
		return false;
	}
	set_release (rows, obj);
	if (problems == NULL)
		problems = own =
			g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	ok = load_text (path, text, len, rows, obj, problems, e);
	if (own != NULL)
		g_array_unref (own);
	g_free (text);
	return ok;
}
