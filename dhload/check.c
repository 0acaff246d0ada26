/*
 * Checks answers.  Chunks are read by plain text search in place of a JSON
 * parser, so that one core checks some hundred thousand tokens a second.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "check.h"

#define BUF_MAX_BYTES (16U << 20)

void
check_init (struct check *c, const char *tag, uint64_t expect, bool stream,
	    bool verify)
{
	memset (c, 0, sizeof *c);
	snprintf (c->tag, sizeof c->tag, "%s", tag);
	c->expect = expect;
	c->stream = stream;
	c->verify = verify;
	c->usage = -1;
	c->buf = g_string_new (NULL);
}

void
check_finish (struct check *c)
{
	g_string_free (c->buf, TRUE);
	c->buf = NULL;
}

static void
wrong (struct check *c, const char *why)
{
	if (c->wrong)
		return;
	c->wrong = true;
	snprintf (c->why, sizeof c->why, "%s at token %" PRIu64, why, c->next);
}

/* The text of a string member of one event, or NULL. */
static const char *
member (const char *at, size_t len, const char *name, size_t *out_len)
{
	const char *s = memmem (at, len, name, strlen (name)), *end;

	if (s == NULL)
		return NULL;
	s += strlen (name);
	end = memchr (s, '"', len - (size_t)(s - at));
	if (end == NULL)
		return NULL;
	*out_len = (size_t)(end - s);
	return s;
}

static int64_t
number (const char *at, size_t len, const char *name)
{
	const char *s = memmem (at, len, name, strlen (name));

	return s != NULL ? strtoll (s + strlen (name), NULL, 10) : -1;
}

static uint64_t
take_token (struct check *c, const char *text, size_t len)
{
	char expect[CHECK_TAG_BYTES + 32];
	int n;

	if (len == 0)
		return 0;
	if (c->verify) {
		n = snprintf (expect, sizeof expect, "%s-%" PRIu64 " ", c->tag,
			      c->next);
		if (c->finish || (size_t)n != len ||
		    memcmp (expect, text, len) != 0)
			wrong (c, c->finish ? "token after the end"
					    : "not the token expected");
	}
	c->next++;
	return 1;
}

static uint64_t
take_event (struct check *c, const char *at, size_t len)
{
	const char *text, *reason;
	size_t text_len = 0, reason_len;
	uint64_t got = 0;

	if (len == 6 && memcmp (at, "[DONE]", 6) == 0) {
		c->done = true;
		return 0;
	}
	if (memmem (at, len, "\"error\":", 8) != NULL) {
		c->error = true;
		return 0;
	}
	text = member (at, len, "\"content\":\"", &text_len);
	if (text == NULL)
		text = member (at, len, "\"text\":\"", &text_len);
	if (text != NULL)
		got = take_token (c, text, text_len);
	reason = member (at, len, "\"finish_reason\":\"", &reason_len);
	if (reason != NULL)
		c->finish = true;
	if (c->finish)
		c->usage = MAX (c->usage,
				number (at, len, "\"completion_tokens\":"));
	return got;
}

static uint64_t
take_lines (struct check *c)
{
	const char *at = c->buf->str, *end = at + c->buf->len, *nl;
	uint64_t got = 0;

	while ((nl = memchr (at, '\n', (size_t)(end - at))) != NULL) {
		size_t len = (size_t)(nl - at);

		if (len > 0 && at[len - 1] == '\r')
			len--;
		if (len > 6 && memcmp (at, "data: ", 6) == 0)
			got += take_event (c, at + 6, len - 6);
		at = nl + 1;
	}
	g_string_erase (c->buf, 0, at - c->buf->str);
	return got;
}

uint64_t
check_feed (struct check *c, const char *data, size_t len)
{
	if (c->buf->len + len > BUF_MAX_BYTES) {
		wrong (c, "answer too long");
		return 0;
	}
	g_string_append_len (c->buf, data, (gssize)len);
	return c->stream ? take_lines (c) : 0;
}

static const char *
whole_text (struct json_object *o, int64_t *usage)
{
	struct json_object *v, *choice, *message;

	if (json_object_object_get_ex (o, "usage", &v) &&
	    json_object_object_get_ex (v, "completion_tokens", &v))
		*usage = json_object_get_int64 (v);
	if (!json_object_object_get_ex (o, "choices", &v) ||
	    !json_object_is_type (v, json_type_array))
		return NULL;
	choice = json_object_array_get_idx (v, 0);
	if (json_object_object_get_ex (choice, "message", &message) &&
	    json_object_object_get_ex (message, "content", &v))
		return json_object_get_string (v);
	if (json_object_object_get_ex (choice, "text", &v))
		return json_object_get_string (v);
	return NULL;
}

static void
take_whole (struct check *c)
{
	struct json_object *o = json_tokener_parse (c->buf->str);
	const char *text = whole_text (o, &c->usage), *space;

	c->finish = text != NULL;
	c->done = text != NULL;
	while (text != NULL && (space = strchr (text, ' ')) != NULL) {
		c->finish = false;
		take_token (c, text, (size_t)(space + 1 - text));
		c->finish = true;
		text = space + 1;
	}
	json_object_put (o);
}

enum check_verdict
check_end (struct check *c, bool clean)
{
	if (!c->stream && clean)
		take_whole (c);
	if (c->wrong)
		return CHECK_WRONG;
	if (!clean || c->error)
		return CHECK_CUT;
	if (!c->finish || !c->done) {
		wrong (c, "ended as if whole, without its end");
		return CHECK_WRONG;
	}
	if (c->verify && c->next != c->expect)
		wrong (c, "not as many tokens as asked for");
	else if (c->verify && c->usage != (int64_t)c->expect)
		wrong (c, "usage does not fit the answer");
	return c->wrong ? CHECK_WRONG : CHECK_WHOLE;
}
