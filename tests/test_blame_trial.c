/*
 * Trials of a barred request: the leader grants each to one relay, and without
 * a leader the relays take turns.
 */
#include <stdio.h>

#include "blame.h"
#include "t_blame.h"
#include "t_run.h"

#define NOW_MS 10000000
#define DUE_MS (NOW_MS + 2000) /* the first trial, of strikes at NOW_MS */
#define LATE_MAX 3             /* as the rules say of requests that crash */
#define BEGUN_MIN 0.95

static uint32_t granted;

static void
on_changed (uint64_t key, enum blame_change change, uint32_t endpoints,
	    void *ctx)
{
	(void)key;
	(void)endpoints;
	(void)ctx;
	granted += change == BLAME_GRANTED_TRIAL;
}

static const struct blame_ops ops = {.changed = on_changed};

static uint64_t
request_key (void)
{
	return blame_request_key ("POST /x", "account", "", 0);
}

/* Three endpoints ended under a request, as all tables know; @self: 0: that of
 * a member. */
static void
start_barred (struct blame *b, uint32_t self)
{
	blame_init (b, self, &ops, NULL);
	for (uint32_t i = 0; i < 3; i++) {
		struct blame_record r = {.key = request_key (),
					 .what = BLAME_STRIKE,
					 .ep_hash = 100 + i,
					 .origin = 7};

		blame_merge (b, &r, 1, NULL, NOW_MS);
	}
	blame_tick (b, DUE_MS);
	CU_ASSERT (b->barred == 1);
}

static enum blame_verdict
check (struct blame *b, uint64_t now_ms)
{
	uint64_t key = request_key (), culprit;

	return blame_check (b, &key, 1, &culprit, now_ms);
}

/* What relay @b asks for; it has no other news. */
static struct blame_record
want (struct blame *b, uint64_t now_ms)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	uint64_t key = request_key ();
	struct blame_record r = {0};

	blame_want (b, &key, 1, now_ms);
	blame_take_news (b, out, now_ms);
	CU_ASSERT (out->len == 1);
	if (out->len == 1)
		r = g_array_index (out, struct blame_record, 0);
	CU_ASSERT (r.what == BLAME_WANTED);
	g_array_free (out, TRUE);
	return r;
}

static void
test_trial_is_sent_once_granted (void)
{
	uint64_t key = request_key ();
	struct blame relay, leader;
	struct blame_record wanted, answer;

	start_barred (&relay, 5);
	start_barred (&leader, 0);
	CU_ASSERT (check (&relay, DUE_MS - 1) == BLAME_REFUSE);
	CU_ASSERT (check (&relay, DUE_MS) == BLAME_SEND_IF_GRANTED);
	wanted = want (&relay, DUE_MS);
	CU_ASSERT (check (&relay, DUE_MS + 1) == BLAME_WAIT);
	CU_ASSERT (blame_grant (&leader, &wanted, &answer, DUE_MS + 2));
	blame_merge (&relay, &answer, 1, NULL, DUE_MS + 4);
	CU_ASSERT (check (&relay, DUE_MS + 4) == BLAME_SEND_AS_TRIAL);
	CU_ASSERT (blame_trial (&relay, &key, 1, DUE_MS + 4));
	CU_ASSERT (check (&relay, DUE_MS + 5) == BLAME_WAIT);
	CU_ASSERT (check (&relay, DUE_MS + 600) == BLAME_REFUSE);
	blame_finish (&relay);
	blame_finish (&leader);
}

static void
test_trial_is_granted_to_one_relay (void)
{
	struct blame a, b, leader;
	struct blame_record wanted, answer;
	struct blame_record tried = {
		.key = request_key (), .what = BLAME_TRIAL, .trials = 1};

	start_barred (&a, 5);
	start_barred (&b, 6);
	start_barred (&leader, 0);
	wanted = want (&a, DUE_MS);
	CU_ASSERT (blame_grant (&leader, &wanted, &answer, DUE_MS));
	wanted = want (&b, DUE_MS);
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS));
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS + 900));
	/* The first one made no use of it, and can't any more. */
	CU_ASSERT (check (&a, DUE_MS + 900) == BLAME_REFUSE);
	CU_ASSERT (blame_grant (&leader, &wanted, &answer, DUE_MS + 1000));
	/* Once it is tried, the next one is due in a minute. */
	blame_merge (&leader, &tried, 1, NULL, DUE_MS + 1100);
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS + 60000));
	CU_ASSERT (blame_grant (&leader, &wanted, &answer, DUE_MS + 61100));
	tried.trials = 3;
	blame_merge (&leader, &tried, 1, NULL, DUE_MS + 62000);
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS + 9000000));
	blame_finish (&a);
	blame_finish (&b);
	blame_finish (&leader);
}

/* A grant of another relay, of an ask before, or one that comes late. */
static void
test_grant_that_is_not_valid (void)
{
	struct blame relay;
	struct blame_record wanted;

	start_barred (&relay, 5);
	granted = 0;
	wanted = want (&relay, DUE_MS);
	wanted.what = BLAME_GRANTED;
	wanted.origin = 6;
	blame_merge (&relay, &wanted, 1, NULL, DUE_MS + 5);
	wanted.origin = 5;
	blame_merge (&relay, &wanted, 1, NULL, DUE_MS + 500);
	want (&relay, DUE_MS + 2000);
	blame_merge (&relay, &wanted, 1, NULL, DUE_MS + 2001);
	CU_ASSERT (granted == 0);
	CU_ASSERT (check (&relay, DUE_MS + 2001) == BLAME_WAIT);
	blame_finish (&relay);
}

/* Keys that the leader does not know, or that it does not hold barred. */
static void
test_trial_that_is_not_due (void)
{
	struct blame leader;
	struct blame_record answer;
	struct blame_record wanted = {
		.key = request_key (), .what = BLAME_WANTED, .origin = 5};
	struct blame_record cleared = {.key = request_key (),
				       .what = BLAME_CLEAR};

	start_barred (&leader, 0);
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, NOW_MS + 1000));
	blame_merge (&leader, &cleared, 1, NULL, DUE_MS);
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS + 10));
	wanted.key ^= 2;
	CU_ASSERT (!blame_grant (&leader, &wanted, &answer, DUE_MS + 10));
	blame_finish (&leader);
}

static uint32_t
count_trials (struct blame *b, uint64_t from_ms, uint64_t to_ms)
{
	uint32_t n = 0;

	for (uint64_t at_ms = from_ms; at_ms < to_ms; at_ms += 10) {
		enum blame_verdict v = check (b, at_ms);

		if (v == BLAME_SEND_IF_GRANTED)
			want (b, at_ms);
		n += v == BLAME_SEND_AS_TRIAL;
	}
	return n;
}

/* Nobody answers: the relay that reported the first strike tries after two
 * seconds, and the others after five, in their turn only. */
static void
test_relay_tries_without_leader (void)
{
	struct blame a, b;

	start_barred (&a, 7);
	start_barred (&b, 5);
	a.relay_count = b.relay_count = 9;
	CU_ASSERT (count_trials (&a, DUE_MS, DUE_MS + 2000) == 0);
	CU_ASSERT (count_trials (&a, DUE_MS + 2000, DUE_MS + 5000) == 300);
	CU_ASSERT (count_trials (&b, DUE_MS, DUE_MS + 5000) == 0);
	CU_ASSERT (count_trials (&a, DUE_MS + 5000, DUE_MS + 9500) == 25);
	CU_ASSERT (count_trials (&b, DUE_MS + 5000, DUE_MS + 9500) == 25);
	blame_finish (&a);
	blame_finish (&b);
}

static void
check_late (const struct t_blame *s, uint32_t seed)
{
	if (s->late[0] > LATE_MAX)
		fprintf (stderr, "seed %u, %u relays: %u late\n", seed,
			 s->relay_count, s->late[0]);
	CU_ASSERT (s->crashes[0] >= 3);
	CU_ASSERT (s->late[0] <= LATE_MAX);
}

/* The leader is another one each two seconds, is restarted, or there is none.
 */
static void
test_request_crashing_beside_changes_of_leader (void)
{
	static const uint32_t relays[] = {1, 9, 80};

	for (uint32_t seed = 1; seed <= 12; seed++) {
		struct t_blame s;

		t_blame_init_size (&s, seed, relays[seed % 3], 3);
		s.plain = s.repeats = true;
		s.bound_crashes = 3;
		s.poison_per_s = 10;
		for (uint32_t round = 0; round < 40; round++) {
			s.leader = (round + seed) % (T_BLAME_MEMBERS + 1);
			if (s.leader < T_BLAME_MEMBERS && round % 3 == 0)
				t_blame_restart_member (&s, s.leader);
			t_blame_run (&s, 2000);
		}
		check_late (&s, seed);
		t_blame_finish (&s);
	}
}

/* The whole service is lost while a relay's links to the members are cut, one
 * after another, or while the leader changes. */
static void
test_sound_request_begins_beside_changes_of_leader (void)
{
	static const uint32_t relays[] = {9, 80, 300};

	for (uint32_t seed = 1; seed <= 9; seed++) {
		struct t_blame s;

		t_blame_init_size (&s, seed, relays[seed % 3], 3);
		s.plain = true;
		s.poison_per_s = 0;
		s.hot_per_s = 40;
		for (uint32_t round = 0; round < 10; round++) {
			s.leader = round % T_BLAME_MEMBERS;
			t_blame_cut (&s, round % s.relay_count,
				     seed % T_BLAME_MEMBERS, true);
			t_blame_run (&s, 3000);
			for (uint32_t i = 0; i < s.endpoint_count; i++)
				t_blame_crash (&s, i);
			t_blame_run (&s, 1500);
			s.leader = (round + 1) % T_BLAME_MEMBERS;
			t_blame_run (&s, 1500);
			t_blame_cut (&s, round % s.relay_count,
				     seed % T_BLAME_MEMBERS, false);
		}
		t_blame_run (&s, 5000);
		if (s.hot_begun < s.hot_sent * BEGUN_MIN)
			fprintf (stderr, "seed %u, %u relays: %u of %u begun\n",
				 seed, s.relay_count, s.hot_begun, s.hot_sent);
		CU_ASSERT (s.hot_sent > 1000);
		CU_ASSERT (s.hot_begun >= s.hot_sent * BEGUN_MIN);
		t_blame_finish (&s);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"trial_is_sent_once_granted", test_trial_is_sent_once_granted},
		{"trial_is_granted_to_one_relay",
		 test_trial_is_granted_to_one_relay},
		{"grant_that_is_not_valid", test_grant_that_is_not_valid},
		{"trial_that_is_not_due", test_trial_that_is_not_due},
		{"relay_tries_without_leader", test_relay_tries_without_leader},
		{"request_crashing_beside_changes_of_leader",
		 test_request_crashing_beside_changes_of_leader},
		{"sound_request_begins_beside_changes_of_leader",
		 test_sound_request_begins_beside_changes_of_leader},
		{NULL, NULL},
	};

	return t_run ("blame_trial", cases);
}
