/*
 * The bound on a request that crashes the endpoints that run it, whatever the
 * spacing of the crashes, and what it costs sound requests.
 */
#include <stdio.h>

#include "blame.h"
#include "t_blame.h"
#include "t_run.h"

/* From the rules: more requests than this may not reach an endpoint later than
 * T_BLAME_CONTACT_MS after the third crash. */
#define LATE_MAX 3

/* Part of the sound requests that reach endpoints, of those that come while one
 * is up. */
#define BEGUN_MIN 0.95

static void
start (struct t_blame *s, uint32_t seed, uint32_t relays, uint32_t endpoints)
{
	t_blame_init_size (s, seed, relays, endpoints);
	s->plain = s->repeats = true;
	s->bound_crashes = 3;
	s->poison_per_s = 0;
	s->recovery_ms = 2000 + seed % 4 * 700;
	t_blame_run (s, 2000);
}

/* Whether the key was answered a second ago says nothing of what it does now.
 */
static void
answer_poison (struct t_blame *s)
{
	uint64_t key = t_blame_repeated_key ();

	for (uint32_t i = 0; i < s->relay_count; i++)
		blame_answered (&s->relays[i].b, &key, 1, s->now_ms);
	t_blame_run (s, 1000);
}

static void
check_late (const struct t_blame *s, uint32_t seed)
{
	if (s->late[0] > LATE_MAX || s->crashes[0] < 3)
		fprintf (stderr,
			 "seed %u, %u relays, %u endpoints, gap %u, span %u: "
			 "%u crashes, %u late\n",
			 seed, s->relay_count, s->endpoint_count,
			 (unsigned)s->burst_gap_ms, s->burst_span_ms,
			 s->crashes[0], s->late[0]);
	CU_ASSERT (s->crashes[0] >= 3);
	CU_ASSERT (s->late[0] <= LATE_MAX);
}

/* All endpoints of a small service crashed together, and again when they were
 * back: the crashes of each group counted as one. */
static void
test_request_crashing_groups_of_endpoints (void)
{
	static const uint32_t endpoints[] = {1, 2, 3, 4, 6};
	static const uint32_t spans[] = {3, 60, 200, 380, 1000};
	uint32_t seed = 0;

	for (uint32_t i = 0; i < G_N_ELEMENTS (endpoints); i++) {
		for (uint32_t j = 0; j < G_N_ELEMENTS (spans); j++) {
			for (uint32_t answered = 0; answered < 2; answered++) {
				struct t_blame s;

				start (&s, ++seed, T_BLAME_RELAYS,
				       endpoints[i]);
				if (answered != 0)
					answer_poison (&s);
				s.burst_gap_ms = 3100 + seed * 37 % 2000;
				s.burst_span_ms = spans[j];
				s.burst_size = 1 + seed % 5;
				t_blame_run (&s, 100000);
				check_late (&s, seed);
				t_blame_finish (&s);
			}
		}
	}
}

/* Single crashes from 0.1 s to a minute apart. */
static void
test_request_crashing_at_any_pace (void)
{
	static const uint32_t gaps[] = {100,  300,  500,   1000,
					2000, 5000, 20000, 60000};

	for (uint32_t i = 0; i < G_N_ELEMENTS (gaps); i++) {
		for (uint32_t answered = 0; answered < 2; answered++) {
			struct t_blame s;

			start (&s, 100 + i, T_BLAME_RELAYS, 3 + i % 2 * 15);
			if (answered != 0)
				answer_poison (&s);
			s.burst_gap_ms = gaps[i];
			s.burst_size = 1;
			t_blame_run (&s, MAX (60000, gaps[i] * 6));
			check_late (&s, 100 + i);
			t_blame_finish (&s);
		}
	}
}

/* From one relay to hundreds, and from one endpoint to a hundred. */
static void
test_request_crashing_at_any_size (void)
{
	static const uint32_t relays[] = {1, 9, 300};
	static const uint32_t endpoints[] = {1, 3, 18, 100};

	for (uint32_t i = 0; i < G_N_ELEMENTS (relays); i++) {
		for (uint32_t j = 0; j < G_N_ELEMENTS (endpoints); j++) {
			struct t_blame s;

			start (&s, 200 + i * 10 + j, relays[i], endpoints[j]);
			s.poison_per_s = 10;
			t_blame_run (&s, 60000);
			check_late (&s, 200 + i * 10 + j);
			t_blame_finish (&s);
		}
	}
}

/* A member that a relay can't reach, each time another one. */
static void
test_request_crashing_beside_cuts (void)
{
	for (uint32_t seed = 301; seed <= 310; seed++) {
		struct t_blame s;

		start (&s, seed, T_BLAME_RELAYS, 3);
		s.poison_per_s = 4;
		for (uint32_t round = 0; round < 20; round++) {
			for (uint32_t i = 0; i < T_BLAME_RELAYS; i++)
				t_blame_cut (&s, i,
					     (i + round) % T_BLAME_MEMBERS,
					     true);
			t_blame_run (&s, 3000);
			for (uint32_t i = 0; i < T_BLAME_RELAYS; i++)
				t_blame_cut (&s, i,
					     (i + round) % T_BLAME_MEMBERS,
					     false);
		}
		check_late (&s, seed);
		t_blame_finish (&s);
	}
}

static void
check_begun (const struct t_blame *s, uint32_t seed)
{
	if (s->hot_begun < s->hot_sent * BEGUN_MIN)
		fprintf (stderr, "seed %u: %u of %u begun\n", seed,
			 s->hot_begun, s->hot_sent);
	CU_ASSERT (s->hot_sent > 1000);
	CU_ASSERT (s->hot_begun >= s->hot_sent * BEGUN_MIN);
}

/* All endpoints of a service end at once, with a sound request at each that is
 * most of what comes, and come back some seconds later. */
static void
test_sound_request_begins_after_loss_of_service (void)
{
	for (uint32_t seed = 401; seed <= 420; seed++) {
		struct t_blame s;

		start (&s, seed, T_BLAME_RELAYS, 2 + seed % 3 * 2);
		s.hot_per_s = 40;
		s.recovery_ms = 2000 + seed % 4 * 1000;
		for (uint32_t round = 0; round < 10; round++) {
			t_blame_run (&s, 3000);
			for (uint32_t i = 0; i < s.endpoint_count; i++)
				t_blame_crash (&s, i);
			t_blame_run (&s, s.recovery_ms);
		}
		t_blame_run (&s, 5000);
		check_begun (&s, seed);
		t_blame_finish (&s);
	}
}

/* A rack of endpoints ends within a fifth of a second, one endpoint is
 * restarted in a loop, connections are reset in series. */
static void
test_sound_request_begins_beside_other_crashes (void)
{
	for (uint32_t seed = 501; seed <= 510; seed++) {
		struct t_blame s;

		start (&s, seed, T_BLAME_RELAYS, T_BLAME_ENDPOINTS);
		s.hot_per_s = 40;
		for (uint32_t round = 0; round < 20; round++) {
			for (uint32_t i = 0; i < 6; i++) {
				t_blame_crash (&s, i);
				t_blame_run (&s, 30);
			}
			for (uint32_t i = 0; i < 4; i++) {
				t_blame_crash (&s, 7);
				t_blame_run (&s, 500);
				t_blame_reset_channels (
					&s, (round + i) % T_BLAME_RELAYS);
			}
		}
		check_begun (&s, seed);
		CU_ASSERT (s.bars == 0);
		t_blame_finish (&s);
	}
}

static void
no_change (uint64_t key, enum blame_change change, uint32_t endpoints,
	   void *ctx)
{
	(void)key;
	(void)change;
	(void)endpoints;
	(void)ctx;
}

#define NOW_MS 10000000
#define BARRED_MS (NOW_MS + 2000) /* after three strikes at NOW_MS */

/* Three endpoints end together under a whole request, which bars it. */
static void
bar (struct blame *b, uint64_t *key)
{
	static const struct blame_ops ops = {.changed = no_change};

	blame_init (b, 7, &ops, NULL);
	*key = blame_request_key ("POST /x", "account", "", 0);
	for (uint32_t i = 0; i < 3; i++)
		blame_broke (b, key, 1, 100 + i, NOW_MS);
	blame_tick (b, BARRED_MS - 1);
	CU_ASSERT (b->barred == 0);
	blame_tick (b, BARRED_MS);
	CU_ASSERT (b->barred == 1);
}

static enum blame_verdict
check (struct blame *b, uint64_t key, uint64_t now_ms)
{
	uint64_t culprit;

	return blame_check (b, &key, 1, &culprit, now_ms);
}

/* The relay asks for the trial, and it is granted. */
static void
grant (struct blame *b, uint64_t key, uint64_t now_ms)
{
	struct blame_record r = {.key = key,
				 .what = BLAME_GRANTED,
				 .origin = b->self,
				 .ask_id = (uint32_t)now_ms};

	CU_ASSERT (check (b, key, now_ms) == BLAME_SEND_IF_GRANTED);
	blame_want (b, &key, 1, now_ms);
	blame_merge (b, &r, 1, NULL, now_ms);
}

/* A trial that met a full endpoint, or none, barred a sound request for another
 * minute; all trials together stay within the bound. */
static void
test_trial_that_no_endpoint_ran (void)
{
	struct blame b;
	uint64_t key;

	bar (&b, &key);
	grant (&b, key, BARRED_MS);
	CU_ASSERT (check (&b, key, BARRED_MS) == BLAME_SEND_AS_TRIAL);
	CU_ASSERT (blame_trial (&b, &key, 1, BARRED_MS));
	CU_ASSERT (check (&b, key, BARRED_MS + 10) == BLAME_WAIT);
	CU_ASSERT (check (&b, key, BARRED_MS + 600) == BLAME_REFUSE);
	for (uint32_t i = 0; i < 9; i++) {
		blame_trial_undecided (&b, &key, 1, false);
		CU_ASSERT (check (&b, key, BARRED_MS) == BLAME_SEND_AS_TRIAL);
		blame_trial (&b, &key, 1, BARRED_MS);
	}
	for (uint32_t i = 0; i < LATE_MAX - 1; i++) {
		blame_trial_undecided (&b, &key, 1, true);
		CU_ASSERT (check (&b, key, BARRED_MS) == BLAME_SEND_AS_TRIAL);
		blame_trial (&b, &key, 1, BARRED_MS);
	}
	blame_trial_undecided (&b, &key, 1, true);
	CU_ASSERT (check (&b, key, BARRED_MS + 9000000) == BLAME_REFUSE);
	blame_finish (&b);
}

/* An answer ends the bar, whether it comes of a trial or of an attempt before;
 * an endpoint that ends under the trial ends the wait for it. */
static void
test_outcome_of_trial (void)
{
	struct blame b;
	uint64_t key;

	bar (&b, &key);
	blame_trial (&b, &key, 1, BARRED_MS);
	blame_answered (&b, &key, 1, BARRED_MS + 40);
	CU_ASSERT (check (&b, key, BARRED_MS + 40) == BLAME_SEND);
	blame_finish (&b);
	bar (&b, &key);
	blame_trial (&b, &key, 1, BARRED_MS);
	blame_broke (&b, &key, 1, 103, BARRED_MS + 40);
	CU_ASSERT (check (&b, key, BARRED_MS + 41) == BLAME_REFUSE);
	CU_ASSERT (check (&b, key, BARRED_MS + 59000) == BLAME_REFUSE);
	grant (&b, key, BARRED_MS + 61000);
	CU_ASSERT (check (&b, key, BARRED_MS + 61000) == BLAME_SEND_AS_TRIAL);
	blame_finish (&b);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"request_crashing_groups_of_endpoints",
		 test_request_crashing_groups_of_endpoints},
		{"request_crashing_at_any_pace",
		 test_request_crashing_at_any_pace},
		{"request_crashing_at_any_size",
		 test_request_crashing_at_any_size},
		{"request_crashing_beside_cuts",
		 test_request_crashing_beside_cuts},
		{"sound_request_begins_after_loss_of_service",
		 test_sound_request_begins_after_loss_of_service},
		{"sound_request_begins_beside_other_crashes",
		 test_sound_request_begins_beside_other_crashes},
		{"trial_that_no_endpoint_ran", test_trial_that_no_endpoint_ran},
		{"outcome_of_trial", test_outcome_of_trial},
		{NULL, NULL},
	};

	return t_run ("blame_bound", cases);
}
