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

/* What follows where a stream is resumed at another endpoint. */
static void
test_left_out (void)
{
	static const struct {
		const char *what, *first, *second, *passed;
		bool valid, whole;
	} rows[] = {
		{"next", "id: 6\n\nid: 7\n\nid: 8\nda", "id: 8\n\n",
		 "id: 8\n\n", true, true},
		{"one left out", "id: 6\n\nid: 7\n\n", "id: 9\n\n", "", false,
		 false},
		{"one left out after one event", "id: 7\n\n", "id: 9\n\n", "",
		 false, false},
		{"one left out after known ones", "id: 6\n\nid: 7\n\n",
		 "id: 6\n\nid: 7\n\nid: 9\n\n", "", false, false},
		{"gaps are usual", "id: 4\n\nid: 7\n\n", "id: 9\n\n",
		 "id: 9\n\n", true, true},
		{"a gap behind the first", "id: 7\n\n", "id: 8\n\nid: 11\n\n",
		 "id: 8\n\nid: 11\n\n", true, true},
		{"nothing", "id: 7\n\n", "", "", true, false},
		{"known ones only", "id: 7\n\n", "id: 6\n\nid: 7\n\n", "", true,
		 false},
		{"a comment only", "id: 7\n\n", ": c\n\n", ": c\n\n", true,
		 false},
		{"a comment, then the next", "id: 7\n\n",
		 ": c\r\n\r\nid: 8\n\n", ": c\r\n\r\nid: 8\n\n", true, true},
		{"no id", "id: 7\n\n", "data: x\n\n", "", false, false},
		{"an error", "id: 7\n\n", "event: error\ndata: full\n\n", "",
		 false, false},
		{"no id behind the next", "id: 7\n\n", "id: 8\n\ndata: x\n\n",
		 "id: 8\n\ndata: x\n\n", true, true},
		{"no ids at all", "data: a\n\n", "data: a\n\n", "", false,
		 false},
		{"ids only in the second", "data: a\n\n", "id: 0\n\n", "",
		 false, false},
		{"an event without an id was last", "id: 7\n\ndata: x\n\n",
		 "id: 8\n\n", "", false, false},
		{"an event without an id was between",
		 "id: 6\n\ndata: x\n\nid: 7\n\n", "id: 8\n\n", "id: 8\n\n",
		 true, true},
		{"broken off before the first event", "id: 0\nda", "id: 3\n\n",
		 "id: 3\n\n", true, true},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		GString *out = g_string_new (NULL);
		struct evstream s;
		bool valid;

		evstream_init (&s, -1);
		CU_ASSERT (evstream_feed (&s, rows[i].first,
					  strlen (rows[i].first), out));
		evstream_restart (&s);
		g_string_truncate (out, 0);
		valid = evstream_feed (&s, rows[i].second,
				       strlen (rows[i].second), out);
		if (valid != rows[i].valid ||
		    strcmp (out->str, rows[i].passed) != 0 ||
		    evstream_is_whole (&s) != rows[i].whole)
			g_print ("%s: valid %d whole %d \"%s\"\n", rows[i].what,
				 valid, evstream_is_whole (&s), out->str);
		CU_ASSERT (valid == rows[i].valid);
		CU_ASSERT (evstream_is_whole (&s) == rows[i].whole);
		CU_ASSERT_STRING_EQUAL (out->str, rows[i].passed);
		evstream_finish (&s);
		g_string_free (out, TRUE);
	}
}

/* An id that is no number is none: nothing is dropped for it. */
static void
test_ids_that_are_no_numbers (void)
{
	static const char numbers[] =
		"id:5\r\n\r\nid: 06 \n\nevent: e\nid: 7\n\n";
	static const char *const texts[] = {"id:\ndata: x\n\n",
					    "id:\n3\ndata: x\n\n",
					    "id: \ndata: x\n\n",
					    "id: a3\ndata: x\n\n",
					    "id: 3a\ndata: x\n\n",
					    "id: -3\n\n",
					    "id: 99999999999999999999\n\n",
					    "ids: 3\n\n",
					    "data: id: 3\n\n"};
	GString *out = g_string_new (NULL);
	struct evstream s;

	for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++) {
		evstream_init (&s, -1);
		evstream_feed (&s, "id: 7\n\n", 7, out);
		g_string_truncate (out, 0);
		CU_ASSERT (
			evstream_feed (&s, texts[i], strlen (texts[i]), out));
		CU_ASSERT_STRING_EQUAL (out->str, texts[i]);
		CU_ASSERT (s.last_id == 7);
		evstream_finish (&s);
	}
	evstream_init (&s, -1);
	evstream_feed (&s, numbers, sizeof numbers - 1, out);
	CU_ASSERT (s.last_id == 7 && s.events == 3);
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
		{"left out", test_left_out},
		{"ids that are no numbers", test_ids_that_are_no_numbers},
		{"too long", test_too_long},
		{NULL, NULL}};

	return t_run ("evstream", cases);
}
