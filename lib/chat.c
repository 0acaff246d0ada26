/*
 * Reading and rewriting OpenAI-style bodies.
 */
#include <glib.h>
#include <json.h>
#include <string.h>
#include <xxhash.h>

#include "chat.h"

#define DEPTH_MAX 32
#define BYTES_PER_TOKEN 4
/* Bytes of the shortest prefix that is looked for in caches; doubled after. */
#define PREFIX_MIN_BYTES 256

static bool
bad (struct err *e, const char *what)
{
	return err_set (e, ERR_BAD_REQUEST, "body: %s", what);
}

/* The prompt as one text, over all messages. */
static bool
prompt_text (json_object *o, bool chat_form, GString *text, struct err *e)
{
	json_object *p;
	size_t n;

	if (!chat_form) {
		if (!json_object_object_get_ex (o, "prompt", &p) || p == NULL)
			return bad (e, "prompt is missing");
		g_string_append (text, json_object_get_string (p));
		return true;
	}
	if (!json_object_object_get_ex (o, "messages", &p) ||
	    json_object_get_type (p) != json_type_array)
		return bad (e, "messages is missing or not an array");
	n = json_object_array_length (p);
	if (n == 0)
		return bad (e, "messages is empty");
	for (size_t i = 0; i < n; i++) {
		json_object *m = json_object_array_get_idx (p, i), *v;

		if (json_object_get_type (m) != json_type_object)
			return bad (e, "a message is not an object");
		if (json_object_object_get_ex (m, "role", &v) && v != NULL)
			g_string_append (text, json_object_get_string (v));
		g_string_append_c (text, '\n');
		if (json_object_object_get_ex (m, "content", &v) && v != NULL)
			g_string_append (text, json_object_get_string (v));
		g_string_append_c (text, '\n');
	}
	return true;
}

static void
hash_prefixes (struct chat *c, const GString *text)
{
	size_t n = PREFIX_MIN_BYTES;

	c->prompt_tokens = (uint32_t)(text->len / BYTES_PER_TOKEN) + 1;
	while (n <= text->len && c->prefix_count < ROUTE_PREFIX_MAX) {
		c->prefix[c->prefix_count] = XXH3_64bits (text->str, n);
		c->prefix_tokens[c->prefix_count] =
			(uint32_t)(n / BYTES_PER_TOKEN);
		c->prefix_count++;
		n *= 2;
	}
}

static json_object *
parse (const char *body, size_t len, struct err *e)
{
	json_tokener *tok = json_tokener_new_ex (DEPTH_MAX);
	json_object *o;

	json_tokener_set_flags (tok, JSON_TOKENER_STRICT);
	o = json_tokener_parse_ex (tok, body, (int)len);
	if (json_tokener_get_error (tok) != json_tokener_success ||
	    json_object_get_type (o) != json_type_object) {
		bad (e, o == NULL ? json_tokener_error_desc (
					    json_tokener_get_error (tok))
				  : "not an object");
		json_object_put (o);
		o = NULL;
	}
	json_tokener_free (tok);
	return o;
}

static bool
read_members (struct chat *c, json_object *o, struct err *e)
{
	json_object *v;
	const char *model;

	if (!json_object_object_get_ex (o, "model", &v) ||
	    json_object_get_type (v) != json_type_string)
		return bad (e, "model is missing or not a string");
	model = json_object_get_string (v);
	if (strlen (model) >= sizeof c->model)
		return err_set (e, ERR_NO_MODEL, "model: name too long");
	memcpy (c->model, model, strlen (model) + 1);
	if (json_object_object_get_ex (o, "stream", &v)) {
		if (v != NULL && json_object_get_type (v) != json_type_boolean)
			return bad (e, "stream is not a boolean");
		c->stream = json_object_get_boolean (v);
	}
	if (json_object_object_get_ex (o, "max_tokens", &v)) {
		int64_t n = json_object_get_int64 (v);

		if (json_object_get_type (v) != json_type_int || n < 0 ||
		    n > INT32_MAX)
			return bad (e, "max_tokens is out of range");
		c->max_tokens = (uint32_t)n;
	}
	return true;
}

bool
chat_parse (struct chat *c, const char *body, size_t len, bool chat_form,
	    struct err *e)
{
	json_object *o;
	GString *text;
	bool ok;

	memset (c, 0, sizeof *c);
	if (len > INT32_MAX)
		return err_set (e, ERR_TOO_LARGE, "body of %zu bytes", len);
	o = parse (body, len, e);
	if (o == NULL)
		return false;
	text = g_string_new (NULL);
	ok = read_members (c, o, e) && prompt_text (o, chat_form, text, e);
	if (ok)
		hash_prefixes (c, text);
	g_string_free (text, TRUE);
	json_object_put (o);
	return ok;
}

/* A caller's own priority would win over ours, so it is taken out. */
static char *
without_priority (const char *body, size_t len)
{
	json_object *o = parse (body, len, NULL);
	char *text;

	if (o == NULL)
		return NULL;
	json_object_object_del (o, "priority");
	text = g_strdup (
		json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
	json_object_put (o);
	return text;
}

char *
chat_body (const char *body, size_t len, int priority, uint64_t resume_from,
	   size_t *out_len)
{
	char *clean = NULL, *text;
	const char *rest;
	GString *s;

	if (memmem (body, len, "priority", 8) != NULL ||
	    memmem (body, len, "\\u", 2) != NULL) {
		clean = without_priority (body, len);
		if (clean != NULL) {
			body = clean;
			len = strlen (clean);
		}
	}
	rest = memchr (body, '{', len);
	if ((priority < 0 && resume_from == 0) || rest == NULL) {
		text = g_strndup (body, len);
		*out_len = len;
		g_free (clean);
		return text;
	}
	rest++;
	len -= (size_t)(rest - body);
	s = g_string_sized_new (len + 32);
	/* An object without members would take no comma at the end; none of
	 * those passes chat_parse(). */
	g_string_append_c (s, '{');
	if (priority >= 0)
		g_string_append_printf (s, "\"priority\":%d,", priority);
	if (resume_from > 0)
		g_string_append_printf (
			s, "\"x_resume_from\":%" G_GUINT64_FORMAT ",",
			resume_from);
	g_string_append_len (s, rest, (gssize)len);
	*out_len = s->len;
	g_free (clean);
	return g_string_free (s, FALSE);
}
