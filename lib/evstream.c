/*
 * Splitting of server-sent event streams.
 */
#include <string.h>

#include "evstream.h"

void
evstream_init (struct evstream *s, int64_t last_id)
{
	*s = (struct evstream){.partial = g_string_new (NULL),
			       .last_id = last_id};
}

void
evstream_finish (struct evstream *s)
{
	if (s->partial != NULL)
		g_string_free (s->partial, TRUE);
	s->partial = NULL;
}

/* Length of the first whole event in @text with its empty line, in bytes; 0 if
 * there is none.  It does not end in the first @scanned bytes. */
static size_t
event_len (const char *text, size_t len, size_t scanned)
{
	for (size_t i = scanned; i + 1 < len; i++) {
		if (text[i] != '\n')
			continue;
		if (text[i + 1] == '\n')
			return i + 2;
		if (i + 2 < len && text[i + 1] == '\r' && text[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* The number that a field's value holds, or -1. */
static int64_t
number (const char *at, const char *end)
{
	int64_t n = 0;

	while (at < end && *at == ' ')
		at++;
	while (end > at && (end[-1] == '\r' || end[-1] == ' '))
		end--;
	if (at == end)
		return -1;
	for (; at < end; at++) {
		if (!g_ascii_isdigit (*at) || n > INT64_MAX / 16)
			return -1;
		n = n * 10 + (*at - '0');
	}
	return n;
}

/* The id that an event carries, or -1. */
static int64_t
event_id (const char *text, size_t len)
{
	const char *at = text, *end = text + len;

	while (at < end) {
		const char *stop = memchr (at, '\n', (size_t)(end - at));

		if (end - at > 3 && memcmp (at, "id:", 3) == 0)
			return number (at + 3, stop != NULL ? stop : end);
		if (stop == NULL)
			break;
		at = stop + 1;
	}
	return -1;
}

/* Whether an event consists of comments, and so has no place in the order. */
static bool
is_comment (const char *text, size_t len)
{
	const char *at = text, *end = text + len;

	while (at < end) {
		const char *stop = memchr (at, '\n', (size_t)(end - at));

		if (*at != ':' && *at != '\n' && *at != '\r')
			return false;
		if (stop == NULL)
			break;
		at = stop + 1;
	}
	return true;
}

/*
 * Whether an event continues a stream whose last event came from another
 * endpoint.  Without ids nobody can tell, and an endpoint's error is such an
 * event.  Ids are taken to be consecutive until a stream has shown gaps.
 */
static bool
follows (const struct evstream *s, int64_t id)
{
	if (id < 0 || s->unnumbered)
		return false;
	return s->last_id < 0 || s->has_gaps || id == s->last_id + 1;
}

bool
evstream_feed (struct evstream *s, const char *data, size_t len, GString *out)
{
	size_t n, used = 0, scanned = s->scanned;
	bool valid = true;

	g_string_append_len (s->partial, data, (gssize)len);
	while ((n = event_len (s->partial->str + used, s->partial->len - used,
			       scanned)) > 0) {
		const char *event = s->partial->str + used;
		int64_t id = event_id (event, n);
		bool comment = id < 0 && is_comment (event, n);

		used += n;
		scanned = 0;
		if (id >= 0 && id <= s->last_id) {
			s->repeated++;
			continue;
		}
		if (s->resuming && !comment && !follows (s, id)) {
			valid = false;
			break;
		}
		if (!s->resuming && s->events > 0 && s->last_id >= 0 &&
		    id > s->last_id + 1)
			s->has_gaps = true;
		if (id >= 0)
			s->last_id = id;
		if (!comment) {
			s->unnumbered = id < 0;
			s->resuming = false;
		}
		s->events++;
		g_string_append_len (out, event, (gssize)n);
	}
	g_string_erase (s->partial, 0, (gssize)used);
	/* The last two bytes may begin an empty line. */
	s->scanned = MAX (s->partial->len, 2) - 2;
	return valid && s->partial->len <= EVSTREAM_EVENT_MAX_BYTES;
}

bool
evstream_is_partial (const struct evstream *s)
{
	return s->partial->len > 0;
}

bool
evstream_is_whole (const struct evstream *s)
{
	return !evstream_is_partial (s) && !s->resuming;
}

void
evstream_restart (struct evstream *s)
{
	s->resuming = s->events > 0;
	g_string_truncate (s->partial, 0);
	s->scanned = 0;
}
