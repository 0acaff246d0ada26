/*
 * Reading answers, and printing them as aligned tables.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"

#define COLUMNS_MAX 32

static json_object *
member (json_object *o, const char *name, json_type type)
{
	json_object *v = NULL;

	if (!json_object_is_type (o, json_type_object) ||
	    !json_object_object_get_ex (o, name, &v) ||
	    (type != json_type_null && !json_object_is_type (v, type)))
		return NULL;
	return v;
}

const char *
ctl_str (json_object *o, const char *name)
{
	json_object *v = member (o, name, json_type_string);

	return v != NULL ? json_object_get_string (v) : "";
}

uint64_t
ctl_u64 (json_object *o, const char *name)
{
	return json_object_get_uint64 (member (o, name, json_type_int));
}

json_object *
ctl_sub (json_object *o, const char *name)
{
	json_object *v = member (o, name, json_type_null);

	if (json_object_is_type (v, json_type_object) ||
	    json_object_is_type (v, json_type_array))
		return v;
	return NULL;
}

int
ctl_fail (const struct err *e)
{
	fprintf (stderr, "dhctl: %s\n", e->msg);
	return CTL_FAILED;
}

struct columns {
	const char *names[COLUMNS_MAX];
	int widths[COLUMNS_MAX];
	int count;
};

static void
add_column (struct columns *cols, const char *name)
{
	for (int i = 0; i < cols->count; i++) {
		if (strcmp (cols->names[i], name) == 0)
			return;
	}
	if (cols->count == COLUMNS_MAX)
		return;
	cols->names[cols->count] = name;
	cols->widths[cols->count++] = (int)strlen (name);
}

static void
find_columns (struct columns *cols, json_object *row)
{
	json_object_object_foreach (row, name, v)
	{
		(void)v;
		add_column (cols, name);
	}
}

/* A cell's text; a list is shown as its items with commas. */
static char *
cell (json_object *row, const char *name)
{
	json_object *v = member (row, name, json_type_null);
	GString *s;

	if (v == NULL)
		return g_strdup ("-");
	if (!json_object_is_type (v, json_type_array))
		return g_strdup (json_object_get_string (v));
	s = g_string_new (NULL);
	for (size_t i = 0; i < json_object_array_length (v); i++)
		g_string_append_printf (
			s, "%s%s", i > 0 ? "," : "",
			json_object_get_string (
				json_object_array_get_idx (v, i)));
	return g_string_free (s, FALSE);
}

static void
measure (struct columns *cols, json_object *row)
{
	for (int i = 0; i < cols->count; i++) {
		char *text = cell (row, cols->names[i]);

		cols->widths[i] = MAX (cols->widths[i], (int)strlen (text));
		g_free (text);
	}
}

static void
print_row (const struct columns *cols, json_object *row)
{
	for (int i = 0; i < cols->count; i++) {
		char *text = row != NULL ? cell (row, cols->names[i])
					 : g_ascii_strup (cols->names[i], -1);

		if (i == cols->count - 1)
			printf ("%s\n", text);
		else
			printf ("%-*s  ", cols->widths[i], text);
		g_free (text);
	}
}

void
ctl_table (const struct ctl *c, json_object *rows, const char *const *columns)
{
	struct columns cols = {.count = 0};
	size_t n = rows != NULL ? json_object_array_length (rows) : 0;

	if (c->json) {
		puts (rows != NULL ? json_object_to_json_string_ext (
					     rows, JSON_C_TO_STRING_PRETTY)
				   : "[]");
		return;
	}
	for (; columns != NULL && *columns != NULL; columns++)
		add_column (&cols, *columns);
	for (size_t i = 0; i < n && columns == NULL; i++)
		find_columns (&cols, json_object_array_get_idx (rows, i));
	for (size_t i = 0; i < n; i++)
		measure (&cols, json_object_array_get_idx (rows, i));
	if (cols.count > 0)
		print_row (&cols, NULL);
	for (size_t i = 0; i < n; i++)
		print_row (&cols, json_object_array_get_idx (rows, i));
}
