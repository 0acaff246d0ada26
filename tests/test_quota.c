/*
 * Bounds on what clients make a process hold.
 */
#include "quota.h"
#include "t_run.h"

#define MB (1U << 20)
#define CONNS 64

struct fixture {
	struct quota q;
	struct quota_conn c[CONNS];
	enum quota_why why[CONNS];
	bool was_dropped[CONNS];
};

static struct fixture *current;

static void
on_drop (struct quota_conn *c, enum quota_why why)
{
	long i = c - current->c;

	current->was_dropped[i] = true;
	current->why[i] = why;
	quota_leave (c);
}

static const struct quota_ops ops = {on_drop};

/* A machine of 64 MB, of which clients may fill 32. */
static void
init (struct fixture *t, uint32_t max_fds)
{
	*t = (struct fixture){0};
	current = t;
	quota_init (&t->q, 64, max_fds, 2, 1);
}

static bool
join (struct fixture *t, int i, uint64_t now_ms)
{
	return quota_join (&t->q, &t->c[i], &ops, false, now_ms);
}

/* A request of which @bytes have arrived. */
static bool
receive (struct fixture *t, int i, uint64_t bytes, uint64_t now_ms)
{
	if (t->c[i].q == NULL && !join (t, i, now_ms))
		return false;
	quota_set_state (&t->c[i], QUOTA_PARTIAL, now_ms);
	return quota_set_input (&t->c[i], bytes, now_ms);
}

/* Bodies that stopped short held all memory, and the newest, which progressed,
 * would have been refused. */
static void
test_body_without_progress_is_dropped_first (void)
{
	struct fixture t;

	init (&t, 1000);
	for (int i = 0; i < 4; i++)
		CU_ASSERT (receive (&t, i, 4 * MB - 1024, 0));
	for (uint64_t ms = 1000; ms < 4000; ms += 1000) {
		CU_ASSERT (receive (&t, 0, 4 * MB - 1024 + ms / 4, ms));
		CU_ASSERT (receive (&t, 2, 4 * MB - 1024 + ms / 4, ms));
		CU_ASSERT (receive (&t, 3, 4 * MB - 1024 + ms / 4, ms));
	}
	CU_ASSERT (receive (&t, 4, 2 * MB, 4000));
	CU_ASSERT (t.was_dropped[1] && t.why[1] == QUOTA_MEMORY);
	CU_ASSERT (!t.was_dropped[0] && !t.was_dropped[2] && !t.was_dropped[3]);
	CU_ASSERT (t.q.large <= t.q.max_large);
	CU_ASSERT (t.q.dropped[QUOTA_MEMORY] == 1);
}

/* Large bodies, and answers that nobody reads, took the room of ordinary
 * requests. */
static void
test_ordinary_requests_have_room_beside_others (void)
{
	struct fixture t;

	init (&t, 1000);
	for (int i = 0; i < 20; i++)
		receive (&t, i, 3 * MB, 0);
	for (int i = 20; i < 40; i++) {
		CU_ASSERT (join (&t, i, 0));
		quota_set_state (&t.c[i], QUOTA_BUSY, 0);
		quota_set_output (&t.c[i], MB, false);
	}
	for (int i = 40; i < 60; i++)
		CU_ASSERT (receive (&t, i, 100000, 1));
	for (int i = 40; i < 60; i++)
		CU_ASSERT (!t.was_dropped[i]);
	CU_ASSERT (t.q.input + t.q.output <= t.q.max_bytes);
	CU_ASSERT (t.q.dropped[QUOTA_MEMORY] > 0 &&
		   t.q.dropped[QUOTA_OUTPUT] > 0);
}

/* A request that is whole may have run, so it is not dropped for others. */
static void
test_running_requests_are_kept (void)
{
	struct fixture t;

	init (&t, 1000);
	for (int i = 0; i < 4; i++) {
		CU_ASSERT (receive (&t, i, 4 * MB - 1, 0));
		quota_set_state (&t.c[i], QUOTA_BUSY, 0);
	}
	CU_ASSERT (!quota_fits (&t.q, 4 * MB, 5000));
	CU_ASSERT (!receive (&t, 4, 4 * MB, 5000));
	CU_ASSERT (t.q.dropped[QUOTA_MEMORY] == 0);
	quota_leave (&t.c[4]);
	quota_leave (&t.c[0]);
	CU_ASSERT (quota_fits (&t.q, 4 * MB - 1, 5000));
}

/* One body of the full limit passes where nothing else is held; one that has
 * no room even alone is refused at its head. */
static void
test_single_body_has_all_the_room (void)
{
	struct fixture t;

	init (&t, 1000);
	CU_ASSERT (quota_fits (&t.q, 20 * MB, 0));
	CU_ASSERT (receive (&t, 0, 20 * MB, 0));
	CU_ASSERT (!quota_fits (&t.q, MB, 500));
	CU_ASSERT (quota_fits (&t.q, MB, 10000)); /* no progress since */
	quota_leave (&t.c[0]);
	CU_ASSERT (!quota_fits (&t.q, 40 * MB, 0));
}

static void
test_answer_unread_for_longest_is_cut (void)
{
	struct fixture t;

	init (&t, 1000);
	for (int i = 0; i < 7; i++) {
		CU_ASSERT (join (&t, i, 0));
		CU_ASSERT (quota_set_output (&t.c[i], MB + 100000, false));
	}
	quota_set_output (&t.c[0], MB, true);
	CU_ASSERT (join (&t, 7, 0));
	CU_ASSERT (quota_set_output (&t.c[7], 2 * MB, false));
	CU_ASSERT (!t.was_dropped[0] && t.was_dropped[1]);
	CU_ASSERT (t.why[1] == QUOTA_OUTPUT);
	CU_ASSERT (t.q.output <= t.q.max_output);
}

/* Open connections without a byte used up all descriptors. */
static void
test_connection_without_a_byte_gives_way (void)
{
	struct fixture t;

	init (&t, QUOTA_FILES + 20);
	CU_ASSERT_FATAL (t.q.max_conns == 20);
	CU_ASSERT (join (&t, 0, 0));
	quota_set_state (&t.c[0], QUOTA_RESTING, 0);
	for (int i = 1; i < 20; i++)
		CU_ASSERT (join (&t, i, 0));
	CU_ASSERT (join (&t, 20, 2000));
	CU_ASSERT (!t.was_dropped[0] && t.was_dropped[1]);
	/* None that is old enough is left: new clients have time to send. */
	for (int i = 2; i < 20; i++)
		quota_set_state (&t.c[i], QUOTA_BUSY, 2000);
	CU_ASSERT (join (&t, 21, 2001));
	CU_ASSERT (t.was_dropped[0] && !t.was_dropped[20]);
	quota_set_state (&t.c[20], QUOTA_BUSY, 2001);
	quota_set_state (&t.c[21], QUOTA_BUSY, 2001);
	CU_ASSERT (!join (&t, 22, 9000));
	CU_ASSERT (t.q.refused[QUOTA_CONNECTIONS] == 1 && t.q.conns == 20);
	CU_ASSERT (quota_join (&t.q, &t.c[22], &ops, true, 9000));
}

/* Defaults must not bound those who are within the limits. */
static void
test_defaults (void)
{
	struct quota q;

	quota_init (&q, 0, 0, 2, 1);
	CU_ASSERT (q.max_bytes == 2048ULL << 20);
	quota_init (&q, 120, 3075, 2, 2);
	CU_ASSERT (q.max_conns == 1437);
	CU_ASSERT (q.max_large >= 7 * 4 * MB);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"no progress", test_body_without_progress_is_dropped_first},
		{"ordinary requests",
		 test_ordinary_requests_have_room_beside_others},
		{"running requests", test_running_requests_are_kept},
		{"single body", test_single_body_has_all_the_room},
		{"unread answers", test_answer_unread_for_longest_is_cut},
		{"connections", test_connection_without_a_byte_gives_way},
		{"defaults", test_defaults},
		{NULL, NULL}};

	return t_run ("quota", cases);
}
