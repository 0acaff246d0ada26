/*
 * JSON with comments.  Comments are blanked out, keeping every line break,
 * and json-c parses the rest strictly.  A second walk over the text gives each
 * value its line and finds duplicate members, which json-c would drop.
 */
#include <json-c/json.h>
#include <string.h>

#include "set.h"

struct walk {
	const char *p;
	const char *end;
	uint32_t line;
	GArray *problems;
};

static void walk_value (struct walk *w, json_object *v, const char *path);

static uint32_t
line_at (const char *text, size_t off)
{
	uint32_t line = 1;

	for (size_t i = 0; i < off; i++)
		line += text[i] == '\n';
	return line;
}

/* Blanks one comment that starts at @p; NULL where it does not end. */
static char *
blank_comment (char *p, const char *end)
{
	bool block = p[1] == '*';

	*p++ = ' ';
	*p++ = ' ';
	for (; p < end; p++) {
		if (block && *p == '*' && p + 1 < end && p[1] == '/') {
			*p++ = ' ';
			*p++ = ' ';
			return p;
		}
		if (*p != '\n')
			*p = ' ';
		else if (!block)
			return p;
	}
	return block ? NULL : p;
}

static bool
blank_comments (char *text, size_t len, GArray *problems)
{
	const char *end = text + len;
	bool quoted = false;
	char *p = text;

	while (p < end) {
		if (quoted && *p == '\\') {
			p += 2;
			continue;
		}
		if (*p == '"')
			quoted = !quoted;
		if (!quoted && *p == '/' && p + 1 < end &&
		    (p[1] == '/' || p[1] == '*')) {
			uint32_t line = line_at (text, (size_t)(p - text));

			p = blank_comment (p, end);
			if (p == NULL)
				return set_problem (problems, line, "",
						    "comment does not end");
			continue;
		}
		p++;
	}
	return true;
}

static json_object *
parse_strict (const char *text, size_t len, GArray *problems)
{
	struct json_tokener *tok = json_tokener_new ();
	enum json_tokener_error err;
	json_object *v;

	json_tokener_set_flags (tok, JSON_TOKENER_STRICT |
					     JSON_TOKENER_VALIDATE_UTF8);
	v = json_tokener_parse_ex (tok, text, (int)len);
	err = json_tokener_get_error (tok);
	if (err == json_tokener_continue)
		set_problem (problems, line_at (text, len), "",
			     "text ends inside a value");
	else if (err != json_tokener_success)
		set_problem (problems,
			     line_at (text, json_tokener_get_parse_end (tok)),
			     "", "%s", json_tokener_error_desc (err));
	else if (v == NULL)
		set_problem (problems, 1, "", "must be an object");
	json_tokener_free (tok);
	return v;
}

static void
skip_space (struct walk *w)
{
	for (; w->p < w->end && strchr (" \t\r\n", *w->p) != NULL; w->p++)
		w->line += *w->p == '\n';
}

/* Passes a quoted string and returns it with its quotes. */
static char *
take_string (struct walk *w)
{
	const char *start = w->p++;

	while (w->p < w->end && *w->p != '"')
		w->p += *w->p == '\\' ? 2 : 1;
	w->p++;
	return g_strndup (start, (size_t)(w->p - start));
}

/* The member name that a quoted string stands for. */
static json_object *
take_name (struct walk *w)
{
	char *quoted = take_string (w);
	json_object *name = json_tokener_parse (quoted);

	g_free (quoted);
	return name;
}

/*
 * A double keeps its own text as user data, so its line is not noted; no
 * setting is one.
 */
static bool
can_note (json_object *v)
{
	return v != NULL && !json_object_is_type (v, json_type_double);
}

static void
walk_member (struct walk *w, json_object *obj, const char *path)
{
	uint32_t line = w->line;
	json_object *name = take_name (w);
	const char *n = json_object_get_string (name);
	json_object *v = json_object_object_get (obj, n);
	char sub[SET_PATH_BYTES];

	g_snprintf (sub, sizeof sub, "%s%s%s", path, *path ? "." : "", n);
	if (can_note (v) && json_object_get_userdata (v) != NULL) {
		set_problem (w->problems, line, sub, "duplicate member");
		v = NULL;
	}
	if (can_note (v))
		json_object_set_userdata (v, GUINT_TO_POINTER (line), NULL);
	skip_space (w);
	w->p++; /* the colon */
	walk_value (w, v, sub);
	json_object_put (name);
}

static void
walk_object (struct walk *w, json_object *v, const char *path)
{
	w->p++;
	for (;;) {
		skip_space (w);
		if (w->p >= w->end)
			return;
		if (*w->p == '"') {
			walk_member (w, v, path);
			continue;
		}
		if (*w->p != ',' && *w->p != '}') {
			/* json-c takes names in single quotes. */
			set_problem (w->problems, w->line, path,
				     "a member's name must stand in double "
				     "quotes");
			w->p = w->end;
			return;
		}
		if (*w->p++ == '}')
			return;
	}
}

static void
walk_array (struct walk *w, json_object *v, const char *path)
{
	char sub[SET_PATH_BYTES];
	size_t i = 0;

	w->p++;
	for (;;) {
		json_object *item = NULL;

		skip_space (w);
		if (w->p >= w->end)
			return;
		if (*w->p == ',' || *w->p == ']') {
			if (*w->p++ == ']')
				return;
			continue;
		}
		if (json_object_is_type (v, json_type_array))
			item = json_object_array_get_idx (v, i);
		if (can_note (item))
			json_object_set_userdata (
				item, GUINT_TO_POINTER (w->line), NULL);
		g_snprintf (sub, sizeof sub, "%s[%zu]", path, i++);
		walk_value (w, item, sub);
	}
}

/*
 * Follows the text beside the parsed value @v, which is NULL inside a
 * duplicate.  json-c has accepted the text and bounded its depth.
 */
static void
walk_value (struct walk *w, json_object *v, const char *path)
{
	skip_space (w);
	if (w->p >= w->end)
		return;
	if (*w->p == '{')
		walk_object (w, v, path);
	else if (*w->p == '[')
		walk_array (w, v, path);
	else if (*w->p == '"')
		g_free (take_string (w));
	else
		while (w->p < w->end && strchr (",]} \t\r\n", *w->p) == NULL)
			w->p++;
}

static json_object *
parse_blanked (const char *text, size_t len, GArray *problems)
{
	struct walk w = {.p = text, .line = 1, .problems = problems};
	json_object *v;

	while (len > 0 && strchr (" \t\r\n", text[len - 1]) != NULL)
		len--;
	v = parse_strict (text, len, problems);
	if (v == NULL)
		return NULL;
	w.end = text + len;
	walk_value (&w, v, "");
	return v;
}

struct json_object *
set_json_parse (const char *text, size_t len, GArray *problems)
{
	const char *nul = memchr (text, '\0', len);
	json_object *v = NULL;
	char *copy;

	if (len > INT32_MAX) {
		set_problem (problems, 1, "", "text is too long");
		return NULL;
	}
	if (nul != NULL) {
		set_problem (problems, line_at (text, (size_t)(nul - text)), "",
			     "zero byte in text");
		return NULL;
	}
	copy = g_strndup (text, len);
	if (blank_comments (copy, len, problems))
		v = parse_blanked (copy, len, problems);
	g_free (copy);
	return v;
}

uint32_t
set_json_line (struct json_object *v, uint32_t line)
{
	uint32_t own = 0;

	if (can_note (v))
		own = GPOINTER_TO_UINT (json_object_get_userdata (v));
	return own != 0 ? own : line;
}
