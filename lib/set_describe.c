/*
 * Writes the reference page from the tables of settings.
 */
#include "set.h"

static uint64_t
greatest (const struct set_row *r)
{
	return r->max != 0 ? r->max : UINT64_MAX >> (64 - 8 * r->size);
}

static void
describe_range (const struct set_row *r, GString *out)
{
	switch (r->type) {
	case SET_U8:
	case SET_U16:
	case SET_U32:
	case SET_U64:
		g_string_append_printf (out,
					"number, from %" G_GUINT64_FORMAT
					" to %" G_GUINT64_FORMAT,
					r->min, greatest (r));
		break;
	case SET_REAL:
		g_string_append_printf (out, "number, from %" G_GUINT64_FORMAT,
					r->min);
		break;
	case SET_BOOL:
		g_string_append (out, "true or false");
		break;
	case SET_STRING:
		g_string_append_printf (out, "string, to %u bytes",
					r->size - 1);
		break;
	case SET_NAME:
		g_string_append_printf (out, "name, to %u bytes", r->size - 1);
		break;
	case SET_ADDR:
		g_string_append (out, "IP:port");
		break;
	case SET_HEX:
		g_string_append_printf (out, "%u hex digits", r->size * 2);
		break;
	case SET_ENUM:
		for (uint32_t i = 0; r->words[i] != NULL; i++)
			g_string_append_printf (out, "%s\"%s\"",
						i > 0 ? ", " : "", r->words[i]);
		break;
	case SET_LIST:
		g_string_append (out, "array of strings");
		if (r->max != 0)
			g_string_append_printf (out, ", to %" G_GUINT64_FORMAT,
						r->max);
		break;
	case SET_END:
		break;
	}
}

void
set_describe (const struct set_row *rows, const char *title, GString *out)
{
	g_string_append_printf (
		out,
		"## %s\n\n| name | value | default | meaning |\n"
		"|---|---|---|---|\n",
		title);
	for (const struct set_row *r = rows; r->type != SET_END; r++) {
		g_string_append_printf (out, "| `%s` | ", r->name);
		describe_range (r, out);
		if (r->required)
			g_string_append (out, " | required");
		else if (r->def != NULL)
			g_string_append_printf (out, " | `%s`", r->def);
		else
			g_string_append (out, " |");
		g_string_append_printf (out, " | %s |\n", r->doc);
	}
	g_string_append_c (out, '\n');
}
