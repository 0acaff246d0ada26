/*
 * Reads and prints the value of one setting by its type.
 */
#include <arpa/inet.h>
#include <json-c/json.h>
#include <float.h>
#include <string.h>

#include "set_priv.h"

bool
set_wrong (const struct set_place *at, const char *what)
{
	return set_problem (at->problems, at->line, at->path, "%s", what);
}

static uint64_t
type_max (enum set_type type)
{
	switch (type) {
	case SET_U8:
		return UINT8_MAX;
	case SET_U16:
		return UINT16_MAX;
	case SET_U32:
		return UINT32_MAX;
	case SET_U64:
	case SET_REAL:
	case SET_END:
	case SET_BOOL:
	case SET_STRING:
	case SET_NAME:
	case SET_ADDR:
	case SET_HEX:
	case SET_ENUM:
	case SET_LIST:
		return UINT64_MAX;
	}
	return 0;
}

static void
store_uint (const struct set_row *r, char *to, uint64_t v)
{
	uint8_t u8 = (uint8_t)v;
	uint16_t u16 = (uint16_t)v;
	uint32_t u32 = (uint32_t)v;

	switch (r->size) {
	case sizeof u8:
		memcpy (to, &u8, sizeof u8);
		break;
	case sizeof u16:
		memcpy (to, &u16, sizeof u16);
		break;
	case sizeof u32:
		memcpy (to, &u32, sizeof u32);
		break;
	default:
		memcpy (to, &v, sizeof v);
		break;
	}
}

static uint64_t
fetch_uint (const struct set_row *r, const char *from)
{
	uint8_t u8;
	uint16_t u16;
	uint32_t u32;
	uint64_t u64;

	switch (r->size) {
	case sizeof u8:
		memcpy (&u8, from, sizeof u8);
		return u8;
	case sizeof u16:
		memcpy (&u16, from, sizeof u16);
		return u16;
	case sizeof u32:
		memcpy (&u32, from, sizeof u32);
		return u32;
	default:
		memcpy (&u64, from, sizeof u64);
		return u64;
	}
}

static bool
read_bool (json_object *v, char *to, const struct set_place *at)
{
	bool b;

	if (!json_object_is_type (v, json_type_boolean))
		return set_wrong (at, "must be true or false");
	b = json_object_get_boolean (v);
	memcpy (to, &b, sizeof b);
	return true;
}

static bool
read_uint (const struct set_row *r, json_object *v, char *to,
	   const struct set_place *at)
{
	uint64_t max = r->max != 0 ? r->max : type_max (r->type);
	uint64_t u;

	if (!json_object_is_type (v, json_type_int))
		return set_wrong (at, "must be a whole number");
	u = json_object_get_uint64 (v);
	if (json_object_get_int64 (v) < 0 || u < r->min || u > max)
		return set_problem (at->problems, at->line, at->path,
				    "must be from %" G_GUINT64_FORMAT
				    " to %" G_GUINT64_FORMAT ", not %s",
				    r->min, max, json_object_get_string (v));
	store_uint (r, to, u);
	return true;
}

static bool
read_real (const struct set_row *r, json_object *v, char *to,
	   const struct set_place *at)
{
	double max = r->max != 0 ? (double)r->max : DBL_MAX, d;

	if (!json_object_is_type (v, json_type_int) &&
	    !json_object_is_type (v, json_type_double))
		return set_wrong (at, "must be a number");
	d = json_object_get_double (v);
	if (!(d >= (double)r->min && d <= max))
		return set_problem (at->problems, at->line, at->path,
				    "must be from %" G_GUINT64_FORMAT
				    " to %g, not %g",
				    r->min, max, d);
	memcpy (to, &d, sizeof d);
	return true;
}

/* The text of a string, or NULL where it is none or cannot be one of ours. */
static const char *
plain_string (json_object *v, const struct set_place *at)
{
	const char *s;

	if (!json_object_is_type (v, json_type_string)) {
		set_wrong (at, "must be a string");
		return NULL;
	}
	s = json_object_get_string (v);
	for (int i = 0; i < json_object_get_string_len (v); i++) {
		if ((unsigned char)s[i] < ' ' || s[i] == 0x7f) {
			set_wrong (at, "must not hold control characters");
			return NULL;
		}
	}
	return s;
}

static bool
is_name (const char *s)
{
	for (; *s != '\0'; s++) {
		if (!g_ascii_isalnum (*s) && strchr ("-_.", *s) == NULL)
			return false;
	}
	return true;
}

static bool
is_addr (const char *s, uint64_t min_port)
{
	const char *colon = strrchr (s, ':');
	char ip[INET_ADDRSTRLEN];
	struct in_addr a;
	guint64 port;

	if (colon == NULL || colon - s >= (ptrdiff_t)sizeof ip)
		return false;
	memcpy (ip, s, (size_t)(colon - s));
	ip[colon - s] = '\0';
	return inet_pton (AF_INET, ip, &a) == 1 &&
	       g_ascii_string_to_unsigned (colon + 1, 10, min_port, UINT16_MAX,
					   &port, NULL);
}

static bool
read_string (const struct set_row *r, json_object *v, char *to,
	     const struct set_place *at)
{
	uint64_t min = r->type == SET_ADDR ? 0 : r->min;
	const char *s = plain_string (v, at);
	size_t len;

	if (s == NULL)
		return false;
	len = strlen (s);
	if (r->required && min == 0)
		min = 1;
	if (len < min || len >= r->size)
		return set_problem (at->problems, at->line, at->path,
				    "must have from %" G_GUINT64_FORMAT
				    " to %u bytes",
				    min, r->size - 1);
	if (r->type == SET_NAME && !is_name (s))
		return set_wrong (at, "may hold only letters, digits, '-', '_' "
				      "and '.'");
	if (r->type == SET_ADDR && len > 0 && !is_addr (s, r->min))
		return set_wrong (at, "must be an IP number and a port, as in "
				      "\"127.0.0.1:8080\"");
	memcpy (to, s, len + 1);
	return true;
}

static bool
read_hex (const struct set_row *r, json_object *v, char *to,
	  const struct set_place *at)
{
	const char *s = plain_string (v, at);

	if (s == NULL)
		return false;
	if (strlen (s) != (size_t)r->size * 2 ||
	    strspn (s, "0123456789abcdefABCDEF") != strlen (s))
		return set_problem (at->problems, at->line, at->path,
				    "must be %u hex digits", r->size * 2);
	for (uint32_t i = 0; i < r->size; i++)
		to[i] = (char)(g_ascii_xdigit_value (s[2 * i]) * 16 +
			       g_ascii_xdigit_value (s[2 * i + 1]));
	return true;
}

static bool
read_enum (const struct set_row *r, json_object *v, char *to,
	   const struct set_place *at)
{
	const char *s = plain_string (v, at);
	char *words;

	if (s == NULL)
		return false;
	for (uint32_t i = 0; r->words[i] != NULL; i++) {
		if (strcmp (r->words[i], s) == 0) {
			store_uint (r, to, i);
			return true;
		}
	}
	words = g_strjoinv (", ", (char **)r->words);
	set_problem (at->problems, at->line, at->path, "must be one of: %s",
		     words);
	g_free (words);
	return false;
}

static bool
list_has (const GPtrArray *list, const char *s)
{
	for (guint i = 0; i < list->len; i++) {
		if (strcmp (list->pdata[i], s) == 0)
			return true;
	}
	return false;
}

static bool
read_item (GPtrArray *list, json_object *v, const struct set_place *at)
{
	const char *s = plain_string (v, at);

	if (s == NULL)
		return false;
	if (*s == '\0' || strlen (s) >= SET_ITEM_BYTES)
		return set_problem (at->problems, at->line, at->path,
				    "must have from 1 to %d bytes",
				    SET_ITEM_BYTES - 1);
	if (list_has (list, s))
		return set_wrong (at, "stands twice in the list");
	g_ptr_array_add (list, g_strdup (s));
	return true;
}

static bool
read_list (const struct set_row *r, json_object *v, char *to,
	   const struct set_place *at)
{
	GPtrArray *list;
	bool ok = true;
	size_t n;

	memcpy (&list, to, sizeof list);
	if (!json_object_is_type (v, json_type_array))
		return set_wrong (at, "must be an array of strings");
	n = json_object_array_length (v);
	if (n < r->min || (r->max != 0 && n > r->max))
		return set_problem (at->problems, at->line, at->path,
				    "must have from %" G_GUINT64_FORMAT
				    " to %" G_GUINT64_FORMAT " items",
				    r->min, r->max);
	g_ptr_array_set_size (list, 0);
	for (size_t i = 0; i < n; i++) {
		json_object *item = json_object_array_get_idx (v, i);
		struct set_place sub = {.line = set_json_line (item, at->line),
					.problems = at->problems};

		g_snprintf (sub.path, sizeof sub.path, "%s[%zu]", at->path, i);
		ok &= read_item (list, item, &sub);
	}
	return ok;
}

bool
set_value_read (const struct set_row *r, json_object *v, char *to,
		const struct set_place *at)
{
	switch (r->type) {
	case SET_BOOL:
		return read_bool (v, to, at);
	case SET_U8:
	case SET_U16:
	case SET_U32:
	case SET_U64:
		return read_uint (r, v, to, at);
	case SET_REAL:
		return read_real (r, v, to, at);
	case SET_STRING:
	case SET_NAME:
	case SET_ADDR:
		return read_string (r, v, to, at);
	case SET_HEX:
		return read_hex (r, v, to, at);
	case SET_ENUM:
		return read_enum (r, v, to, at);
	case SET_LIST:
		return read_list (r, v, to, at);
	case SET_END:
		break;
	}
	return false;
}

json_object *
set_value_json (const struct set_row *r, const char *from)
{
	GPtrArray *list;
	json_object *v;
	GString *hex;
	double d;

	switch (r->type) {
	case SET_BOOL:
		return json_object_new_boolean (*from != 0);
	case SET_U8:
	case SET_U16:
	case SET_U32:
	case SET_U64:
		return json_object_new_uint64 (fetch_uint (r, from));
	case SET_REAL:
		memcpy (&d, from, sizeof d);
		return json_object_new_double (d);
	case SET_STRING:
	case SET_NAME:
	case SET_ADDR:
		return json_object_new_string (from);
	case SET_ENUM:
		return json_object_new_string (r->words[fetch_uint (r, from)]);
	case SET_HEX:
		hex = g_string_new (NULL);
		for (uint32_t i = 0; i < r->size; i++)
			g_string_append_printf (hex, "%02x",
						(unsigned char)from[i]);
		v = json_object_new_string (hex->str);
		g_string_free (hex, TRUE);
		return v;
	case SET_LIST:
		memcpy (&list, from, sizeof list);
		v = json_object_new_array ();
		for (guint i = 0; i < list->len; i++)
			json_object_array_add (
				v, json_object_new_string (list->pdata[i]));
		return v;
	case SET_END:
		break;
	}
	return NULL;
}
