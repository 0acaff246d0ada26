/*
 * One peer is asked at a time, and another one when nothing comes from it.
 */
#include "source.h"
#include "t_run.h"

static const char a, b;

static void
test_stall (void)
{
	struct source s;

	source_init (&s);
	CU_ASSERT (!source_is_answering (&s, 1000, 1000));
	source_ask (&s, &a, 1000);
	CU_ASSERT (source_is_answering (&s, 1, 1000 + SOURCE_STALL_MS - 1));
	CU_ASSERT (!source_is_answering (&s, 1, 1000 + SOURCE_STALL_MS));
	/* Bytes of any message count: a large answer comes in pieces. */
	CU_ASSERT (source_is_answering (&s, 60000, 60000));
	/* The link is down. */
	CU_ASSERT (!source_is_answering (&s, 0, 1000));
	source_drop (&s, &b);
	CU_ASSERT (source_is_answering (&s, 1000, 1000));
	source_drop (&s, &a);
	CU_ASSERT (!source_is_answering (&s, 1000, 1000));
}

static void
test_lost_request (void)
{
	struct source s;

	source_init (&s);
	source_ask (&s, &a, 1000);
	for (int i = 0; i < SOURCE_STATES_MAX; i++) {
		CU_ASSERT (source_is_answering (&s, 1000, 1000));
		source_note_state (&s, &b);
		source_note_state (&s, &a);
	}
	CU_ASSERT (!source_is_answering (&s, 1000, 1000));
	source_progress (&s, &a, 1000);
	CU_ASSERT (source_is_answering (&s, 1000, 1000));
}

/* Where all are slow, they are asked more and more rarely. */
static void
test_backoff (void)
{
	struct source s;
	uint32_t stall_ms = SOURCE_STALL_MS;
	uint64_t now_ms = 1000;

	source_init (&s);
	source_ask (&s, &a, now_ms);
	for (int i = 0; i < 6; i++) {
		CU_ASSERT (s.stall_ms == stall_ms);
		now_ms += stall_ms;
		CU_ASSERT (!source_is_answering (&s, 1, now_ms));
		source_ask (&s, i % 2 == 0 ? &b : &a, now_ms);
		stall_ms = stall_ms * 2 < SOURCE_STALL_MAX_MS
				   ? stall_ms * 2
				   : SOURCE_STALL_MAX_MS;
	}
	source_progress (&s, &b, now_ms);
	CU_ASSERT (s.stall_ms == SOURCE_STALL_MS);
	/* A link that ended says nothing of the next one. */
	source_drop (&s, &a);
	source_ask (&s, &b, now_ms);
	CU_ASSERT (s.stall_ms == SOURCE_STALL_MS);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"stall", test_stall},
		{"a lost request", test_lost_request},
		{"backoff", test_backoff},
		{NULL, NULL}};

	return t_run ("source", cases);
}
