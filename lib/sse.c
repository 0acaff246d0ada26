/*
 * Relaying a stream of events: whole, in order, once each.
 */
#include <stdlib.h>
#include <string.h>

#include "sse.h"

static gint
by_number (gconstpointer a, gconstpointer b, gpointer data)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	(void)data;
	return x < y ? -1 : x > y;
}

static void
free_event (gpointer p)
{
	g_string_free (p, TRUE);
}

void
sse_init (struct sse *s)
{
	*s = (struct sse){.partial = g_string_new (NULL)};
}

void
sse_finish (struct sse *s)
{
	g_string_free (s->partial, TRUE);
	if (s->tail != NULL)
		g_string_free (s->tail, TRUE);
	if (s->held != NULL)
		g_tree_destroy (s->held);
}

/* The number after "name": of a JSON text, found without parsing it. */
static bool
number_after (const char *text, size_t len, const char *name, uint32_t *out)
{
	const char *p = memmem (text, len, name, strlen (name));
	const char *end = text + len;
	uint64_t v = 0;

	if (p == NULL)
		return false;
	p += strlen (name);
	while (p < end && (*p == ' ' || *p == ':'))
		p++;
	if (p == end || *p < '0' || *p > '9')
		return false;
	while (p < end && *p >= '0' && *p <= '9' && v < UINT32_MAX)
		v = v * 10 + (uint64_t)(*p++ - '0');
	*out = (uint32_t)MIN (v, UINT32_MAX);
	return true;
}

bool
sse_usage (const char *text, size_t len, uint32_t *prompt, uint32_t *completion)
{
	const char *usage = memmem (text, len, "\"usage\"", 7);
	size_t left;

	if (usage == NULL)
		return false;
	left = len - (size_t)(usage - text);
	number_after (usage, left, "\"prompt_tokens\"", prompt);
	return number_after (usage, left, "\"completion_tokens\"", completion);
}

/* What one event of ours in turn says; @line begins a "data:" line. */
static void
take_data (struct sse *s, const char *line, size_t len)
{
	uint32_t n = 0;

	line += 5;
	len -= 5;
	if (len > 0 && *line == ' ') {
		line++;
		len--;
	}
	if (len == 6 && memcmp (line, "[DONE]", 6) == 0) {
		s->whole = true;
		return;
	}
	if (len > 20 && sse_usage (line, len, &s->prompt_tokens, &n)) {
		s->tokens = n;
		/* The event that carries usage counts as no token. */
		return;
	}
	s->tokens++;
}

static void
emit (struct sse *s, const char *ev, size_t len, GString *out)
{
	const char *p = ev, *end = ev + len;

	while (p < end) {
		const char *nl = memchr (p, '\n', (size_t)(end - p));
		size_t n = (size_t)((nl != NULL ? nl : end) - p);
		size_t text = n > 0 && p[n - 1] == '\r' ? n - 1 : n;

		if (text >= 5 && memcmp (p, "data:", 5) == 0)
			take_data (s, p, text);
		p += n + 1;
	}
	g_string_append_len (out, ev, (gssize)len);
}

static bool
digits (const char *p, const char *stop, uint64_t *id)
{
	while (p < stop && *p == ' ')
		p++;
	if (p == stop || *p < '0' || *p > '9')
		return false;
	*id = strtoull (p, NULL, 10);
	return true;
}

/* The event's number: its "id:" line, or the "x_index" of its data. */
static bool
event_id (const char *ev, size_t len, uint64_t *id)
{
	static const char member[] = "\"x_index\":";
	const char *p;

	if (len > 3 && memcmp (ev, "id:", 3) == 0)
		return digits (ev + 3, ev + len, id);
	p = memmem (ev, len, member, sizeof member - 1);
	return p != NULL && digits (p + sizeof member - 1, ev + len, id);
}

static gboolean
first_key (gpointer key, gpointer value, gpointer data)
{
	(void)value;
	*(uint64_t **)data = key;
	return TRUE;
}

static void
release_held (struct sse *s, GString *out)
{
	uint64_t *id = NULL;

	while (s->held != NULL) {
		GString *ev;

		id = NULL;
		g_tree_foreach (s->held, first_key, &id);
		if (id == NULL || *id != s->next_id)
			return;
		ev = g_tree_lookup (s->held, id);
		emit (s, ev->str, ev->len, out);
		s->next_id++;
		g_tree_remove (s->held, id);
	}
}

static bool
take_numbered (struct sse *s, uint64_t id, const char *ev, size_t len,
	       GString *out, struct err *e)
{
	uint64_t *key;

	s->numbered = true;
	if (id < s->next_id) {
		s->dropped++;
		return true;
	}
	if (id == s->next_id) {
		emit (s, ev, len, out);
		s->next_id++;
		release_held (s, out);
		return true;
	}
	if (s->held == NULL)
		s->held = g_tree_new_full (by_number, NULL, g_free, free_event);
	if (g_tree_lookup (s->held, &id) != NULL) {
		s->dropped++;
		return true;
	}
	if (g_tree_nnodes (s->held) >= SSE_HELD_MAX)
		return err_set (e, ERR_PROTOCOL,
				"stream: event %" G_GUINT64_FORMAT
				" is missing",
				s->next_id);
	key = g_memdup2 (&id, sizeof id);
	g_tree_insert (s->held, key, g_string_new_len (ev, (gssize)len));
	return true;
}

static bool
take_event (struct sse *s, const char *ev, size_t len, GString *out,
	    struct err *e)
{
	uint64_t id;

	if (event_id (ev, len, &id))
		return take_numbered (s, id, ev, len, out, e);
	if (!s->numbered || *ev == ':') {
		emit (s, ev, len, out);
		return true;
	}
	if (s->tail == NULL)
		s->tail = g_string_new (NULL);
	if (s->tail->len + len > SSE_EVENT_MAX_BYTES)
		return err_set (e, ERR_PROTOCOL,
				"stream: over %u bytes without number",
				SSE_EVENT_MAX_BYTES);
	g_string_append_len (s->tail, ev, (gssize)len);
	return true;
}

/* Length of the first event with its blank line, or 0. */
static size_t
event_end (const char *p, size_t len)
{
	const char *at = p, *end = p + len;

	while (at < end) {
		const char *nl = memchr (at, '\n', (size_t)(end - at));

		if (nl == NULL || nl + 1 >= end)
			return 0;
		if (nl[1] == '\n')
			return (size_t)(nl + 2 - p);
		if (nl[1] == '\r' && nl + 2 < end && nl[2] == '\n')
			return (size_t)(nl + 3 - p);
		at = nl + 1;
	}
	return 0;
}

bool
sse_feed (struct sse *s, const char *data, size_t len, GString *out,
	  struct err *e)
{
	const char *p = data;
	size_t n;

	if (s->partial->len > 0) {
		g_string_append_len (s->partial, data, (gssize)len);
		p = s->partial->str;
		len = s->partial->len;
	}
	while ((n = event_end (p, len)) > 0) {
		if (!take_event (s, p, n, out, e))
			return false;
		p += n;
		len -= n;
	}
	if (len > SSE_EVENT_MAX_BYTES)
		return err_set (e, ERR_PROTOCOL, "stream: event over %u bytes",
				SSE_EVENT_MAX_BYTES);
	if (s->partial->len > 0)
		g_string_erase (s->partial, 0, (gssize)(s->partial->len - len));
	else
		g_string_append_len (s->partial, p, (gssize)len);
	return true;
}

bool
sse_end (struct sse *s, GString *out)
{
	if (s->partial->len > 0)
		return false;
	if (s->held != NULL && g_tree_nnodes (s->held) > 0)
		return false;
	if (s->tail != NULL) {
		emit (s, s->tail->str, s->tail->len, out);
		g_string_truncate (s->tail, 0);
	}
	return s->whole;
}

void
sse_resume (struct sse *s)
{
	g_string_truncate (s->partial, 0);
	if (s->tail != NULL)
		g_string_truncate (s->tail, 0);
	if (s->held != NULL)
		g_tree_destroy (s->held);
	s->held = NULL;
}
