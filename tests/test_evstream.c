/*
 * Event streams: the client gets whole events only, each once and in order,
 * even when the endpoint changes in the middle of an event.
 */
#include <string.h>

#include "evstream.h"
#include "t_run.h"

static const char events[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
			     ": comment\n\nid: 3\ndata: c\n\n";

static void
test_pieces (void)
{
	for (size_t step = 1; step < sizeof events; step++) {
		GString *out = g_string_new (NULL);
		struct evstream s;

		evstream_init (&s, -1);
		for (size_t at = 0; at < sizeof events - 1; at += step)
			CU_ASSERT (evstream_feed (
				&s, events + at,
				MIN (step, sizeof events - 1 - at), out));
		CU_ASSERT_STRING_EQUAL (out->str, events);
		CU_ASSERT (!evstream_is_partial (&s) && s.last_id == 3 &&
			   s.events == 4);
		evstream_finish (&s);
		g_string_free (out, TRUE);
	}
}

static void
test_resume (void)
{
	GString *out = g_string_new (NULL);
	struct evstream s;

	evstream_init (&s, -1);
	evstream_feed (&s, "id: 1\ndata: a\n\nid: 2\nda", 23, out);
	CU_ASSERT (evstream_is_partial (&s) && s.last_id == 1);
	evstream_restart (&s);
	evstream_feed (&s, events, sizeof events - 1, out);
	CU_ASSERT_STRING_EQUAL (out->str, events);
	CU_ASSERT (s.repeated == 1);
	evstream_finish (&s);
	g_string_free (out, TRUE);
}

static void
test_client_resumes (void)
{
	GString *out = g_string_new (NULL);
	struct evstream s;

	evstream_init (&s, 2);
	evstream_feed (&s, events, sizeof events - 1, out);
	CU_ASSERT_STRING_EQUAL (out->str, ": comment\n\nid: 3\ndata: c\n\n");
	evstream_finish (&s);
	g_string_free (out, TRUE);
}

static void
test_too_long (void)
{
	char *text = g_strnfill (EVSTREAM_EVENT_MAX_BYTES + 1, 'x');
	GString *out = g_string_new (NULL);
	struct evstream s;

	evstream_init (&s, -1);
	CU_ASSERT (
		!evstream_feed (&s, text, EVSTREAM_EVENT_MAX_BYTES + 1, out));
	evstream_finish (&s);
	g_string_free (out, TRUE);
	g_free (text);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"pieces", test_pieces},
		{"resume", test_resume},
		{"client resumes", test_client_resumes},
		{"too long", test_too_long},
		{NULL, NULL}};

	return t_run ("evstream", cases);
}
