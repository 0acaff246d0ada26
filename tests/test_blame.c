/*
 * Requests and prompt segments that crash endpoints, over relays and members.
 */
#include <stdio.h>
#include <string.h>

#include "blame.h"
#include "t_blame.h"
#include "t_run.h"

#define SEEDS 20

/* From the rules: after the fifth crash (by the same request: the third) and
 * the time in which relays learn of it, at most three more; sound requests with
 * the same first segment are served at least half as often as usual. */
#define LATE_MAX 3
#define REFUSED_MAX 0.5

static void
check_bounds (const struct t_blame *s, uint32_t seed)
{
	for (uint32_t i = 0; i < s->poison_kinds; i++) {
		if (s->late[i] > LATE_MAX)
			fprintf (stderr, "seed %u: %u crashes, %u late\n", seed,
				 s->crashes[i], s->late[i]);
		CU_ASSERT (s->late[i] <= LATE_MAX);
		CU_ASSERT (s->crashes[i] >= 3);
	}
	for (uint32_t i = 0; i < T_BLAME_FIRSTS; i++) {
		if (s->refused[i] > s->sent[i] * REFUSED_MAX)
			fprintf (stderr, "seed %u: first %u: %u of %u\n", seed,
				 i, s->refused[i], s->sent[i]);
		CU_ASSERT (s->refused[i] <= s->sent[i] * REFUSED_MAX);
	}
}

static void
start_quiet (struct t_blame *s, uint32_t seed)
{
	t_blame_init (s, seed);
	s->poison_per_s = 0;
	t_blame_run (s, 20000);
}

/* A segment that crashed five servers at some relays reached them from others
 * again and again. */
static void
test_crashing_segment_at_any_relay (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		s.poison_per_s = seed % 4 == 0 ? 10 : seed % 4;
		t_blame_run (&s, 100000);
		check_bounds (&s, seed);
		t_blame_finish (&s);
	}
}

/* The same request, sent again and again, goes on crashing servers. */
static void
test_crashing_request_repeated_anywhere (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		s.repeats = true;
		s.bound_crashes = 3;
		s.poison_per_s = seed % 3 + 1;
		t_blame_run (&s, 100000);
		check_bounds (&s, seed);
		t_blame_finish (&s);
	}
}

/* Several such segments at once, beside endpoints that reset requests. */
static void
test_three_segments_beside_faulty_endpoints (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		s.poison_kinds = 3;
		s.poison_per_s = 3;
		for (uint32_t i = 1; i < T_BLAME_ENDPOINTS; i += 7)
			s.eps[i].grey = 0.4;
		t_blame_run (&s, 100000);
		check_bounds (&s, seed);
		CU_ASSERT (s.bars == 0);
		t_blame_finish (&s);
	}
}

/* A relay or member that starts again is told, whichever it is. */
static void
test_restarts_forget_nothing (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		s.poison_per_s = 3;
		t_blame_run (&s, 10000);
		for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++) {
			t_blame_restart_member (&s, i);
			t_blame_run (&s, 3000);
		}
		for (uint32_t i = 0; i < T_BLAME_RELAYS; i++) {
			t_blame_restart_relay (&s, i);
			t_blame_run (&s, 3000);
		}
		t_blame_run (&s, 40000);
		check_bounds (&s, seed);
		t_blame_finish (&s);
	}
}

/* A fifth of the endpoints crash within a tenth of a second, relays lose all
 * their connections, endpoints reset requests: no sound key is barred. */
static void
test_crashes_of_another_cause_bar_nothing (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		if (seed % 2 == 0) {
			for (uint32_t i = 0; i < 3; i++)
				s.eps[i * 4 + 1].grey = 0.4;
		}
		for (uint32_t round = 0; round < 20; round++) {
			for (uint32_t i = 0; i < 4; i++) {
				t_blame_crash (&s, (i * 5 + round) %
							   T_BLAME_ENDPOINTS);
				t_blame_run (&s, 30);
			}
			t_blame_run (&s, 2000);
			t_blame_reset_channels (&s, round % T_BLAME_RELAYS);
			t_blame_run (&s, 1000);
		}
		CU_ASSERT (s.bars == 0);
		t_blame_finish (&s);
	}
}

/* A relay behind a cut hears of no success at the others. */
static void
test_relay_behind_cut_bars_no_first_segment (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		start_quiet (&s, seed);
		for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
			t_blame_cut (&s, 0, i, true);
		for (uint32_t round = 0; round < 10; round++) {
			t_blame_reset_channels (&s, 0);
			t_blame_run (&s, 700);
		}
		for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
			t_blame_cut (&s, 0, i, false);
		t_blame_run (&s, 1000);
		CU_ASSERT (s.bars == 0);
		t_blame_finish (&s);
	}
}

static bool
is_barred_somewhere (const struct t_blame *s)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < T_BLAME_RELAYS; i++)
		n += s->relays[i].b.barred;
	for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
		n += s->members[i].b.barred;
	return n > 0;
}

/* A sound segment that was barred is tried once, and cleared everywhere. */
static void
test_false_bar_ends_with_one_trial (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;
		struct blame_record r = {
			.key = t_blame_first_key (1 + seed % 3),
			.what = BLAME_STRIKE};

		start_quiet (&s, seed);
		t_blame_run (&s, 100);
		for (uint32_t i = 0; i < T_BLAME_RELAYS * 5; i++) {
			r.ep_hash = i / T_BLAME_RELAYS;
			r.age_ms = (4 - r.ep_hash) * 500;
			r.origin = s.relays[0].b.self;
			/* Later than any success that is under way. */
			blame_merge (&s.relays[i % T_BLAME_RELAYS].b, &r, 1,
				     NULL, s.now_ms + 3000);
		}
		CU_ASSERT (s.bars == T_BLAME_RELAYS);
		t_blame_run (&s, 10000);
		CU_ASSERT (s.trials == 0);
		t_blame_run (&s, 60000);
		CU_ASSERT (s.trials == 1);
		CU_ASSERT (!is_barred_somewhere (&s));
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

static const struct blame_ops quiet_ops = {.changed = no_change};

#define NOW_MS 10000000

/* Strikes key @key at @count endpoints, a second apart. */
static void
strike (struct blame *b, uint64_t key, uint32_t count, uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++)
		blame_broke (b, &key, 1, 100 + i, now_ms + i * 1000);
}

static enum blame_verdict
check (struct blame *b, uint64_t key, uint64_t now_ms)
{
	uint64_t culprit;

	return blame_check (b, &key, 1, &culprit, now_ms);
}

/* What bars a key and what does not. */
static void
test_limits (void)
{
	struct blame b;
	uint64_t keys[8];

	blame_init (&b, 7, &quiet_ops, NULL);
	for (uint64_t i = 0; i < 8; i++)
		keys[i] = blame_segment_key (i);
	strike (&b, keys[0], 2, NOW_MS);
	CU_ASSERT (check (&b, keys[0], NOW_MS + 2000) == BLAME_SEND);
	strike (&b, keys[1], 3, NOW_MS);
	CU_ASSERT (check (&b, keys[1], NOW_MS + 2000) == BLAME_REFUSE);
	/* A success between the strikes, at the same moment as the last. */
	strike (&b, keys[2], 2, NOW_MS);
	blame_answered (&b, &keys[2], 1, NOW_MS + 1000);
	blame_broke (&b, &keys[2], 1, 1, NOW_MS + 2000);
	CU_ASSERT (check (&b, keys[2], NOW_MS + 2000) == BLAME_SEND);
	/* One endpoint alone needs longer. */
	for (uint64_t i = 0; i < 4; i++)
		blame_broke (&b, &keys[3], 1, 1, NOW_MS + i * 6000);
	CU_ASSERT (check (&b, keys[3], NOW_MS + 18000) == BLAME_SEND);
	blame_broke (&b, &keys[3], 1, 1, NOW_MS + 24000);
	CU_ASSERT (check (&b, keys[3], NOW_MS + 24000) == BLAME_REFUSE);
	/* Many endpoints at once are one event. */
	for (uint32_t i = 0; i < 10; i++)
		blame_broke (&b, &keys[4], 1, i, NOW_MS + i * 30);
	CU_ASSERT (check (&b, keys[4], NOW_MS + 300) == BLAME_SEND);
	/* A recent success asks for more. */
	blame_answered (&b, &keys[5], 1, NOW_MS - 1000);
	strike (&b, keys[5], 4, NOW_MS);
	CU_ASSERT (check (&b, keys[5], NOW_MS + 3000) == BLAME_SEND);
	strike (&b, keys[5], 5, NOW_MS);
	CU_ASSERT (check (&b, keys[5], NOW_MS + 4000) == BLAME_REFUSE);
	/* A success ends the bar. */
	blame_answered (&b, &keys[5], 1, NOW_MS + 5000);
	CU_ASSERT (check (&b, keys[5], NOW_MS + 5000) == BLAME_SEND);
	/* The same number as another kind of key. */
	CU_ASSERT (blame_segment_key (1) != blame_request_key ("", "", "", 0));
	CU_ASSERT_STRING_EQUAL (blame_key_kind (keys[1]), "segment");
	CU_ASSERT_STRING_EQUAL (
		blame_key_kind (blame_request_key ("a", "b", "c", 1)),
		"request");
	blame_finish (&b);
}

/* At most two trials in 100 s, the next ones further apart. */
static void
test_trials_are_few (void)
{
	uint64_t key = blame_segment_key (1), at_ms = NOW_MS + 2000, first_ms;
	struct blame b;
	uint32_t trials = 0;

	blame_init (&b, 7, &quiet_ops, NULL);
	strike (&b, key, 3, NOW_MS);
	first_ms = at_ms;
	for (; at_ms < first_ms + 400000; at_ms += 100) {
		if (check (&b, key, at_ms) != BLAME_SEND_AS_TRIAL)
			continue;
		trials++;
		blame_trial (&b, &key, 1, at_ms);
		CU_ASSERT (check (&b, key, at_ms) == BLAME_REFUSE);
		blame_broke (&b, &key, 1, 200 + trials, at_ms + 50);
	}
	CU_ASSERT (trials == 2);
	for (; at_ms < first_ms + 500000; at_ms += 100)
		trials += check (&b, key, at_ms) == BLAME_SEND_AS_TRIAL;
	CU_ASSERT (trials > 2);
	blame_finish (&b);
}

/* A trial whose outcome is open keeps this relay, and others, from the next. */
static void
test_trial_under_way_is_the_only_one (void)
{
	uint64_t key = blame_segment_key (1);
	GArray *news = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame a, b;

	blame_init (&a, 7, &quiet_ops, NULL);
	blame_init (&b, 8, &quiet_ops, NULL);
	strike (&a, key, 3, NOW_MS);
	CU_ASSERT (check (&a, key, NOW_MS + 40000) == BLAME_SEND_AS_TRIAL);
	blame_trial (&a, &key, 1, NOW_MS + 40000);
	blame_take_news (&a, news, NOW_MS + 40000);
	blame_merge (&b, (const void *)news->data, news->len, NULL,
		     NOW_MS + 40002);
	CU_ASSERT (check (&a, key, NOW_MS + 99000) == BLAME_REFUSE);
	CU_ASSERT (check (&b, key, NOW_MS + 99000) == BLAME_REFUSE);
	CU_ASSERT (check (&a, key, NOW_MS + 101000) == BLAME_SEND_AS_TRIAL);
	g_array_free (news, TRUE);
	blame_finish (&a);
	blame_finish (&b);
}

/* What a barred key explains is not put down to a sound one beside it. */
static void
test_sound_key_beside_barred_one (void)
{
	uint64_t keys[2] = {blame_segment_key (1), blame_segment_key (2)};
	struct blame b;

	blame_init (&b, 7, &quiet_ops, NULL);
	blame_answered (&b, &keys[1], 1, NOW_MS - 1000);
	strike (&b, keys[0], 3, NOW_MS);
	for (uint32_t i = 0; i < 6; i++)
		blame_broke (&b, keys, 2, 200 + i, NOW_MS + 3000 + i * 1000);
	CU_ASSERT (check (&b, keys[0], NOW_MS + 9000) == BLAME_REFUSE);
	CU_ASSERT (check (&b, keys[1], NOW_MS + 9000) == BLAME_SEND);
	blame_finish (&b);
}

/* Requests with several barred keys are tried last, when none came that shows
 * which of them is sound. */
static void
test_trial_of_single_key_first (void)
{
	uint64_t keys[2] = {blame_segment_key (1), blame_segment_key (2)};
	uint64_t culprit;
	struct blame b;

	blame_init (&b, 7, &quiet_ops, NULL);
	strike (&b, keys[0], 3, NOW_MS);
	strike (&b, keys[1], 3, NOW_MS);
	CU_ASSERT (blame_check (&b, keys, 2, &culprit, NOW_MS + 13000) ==
		   BLAME_REFUSE);
	CU_ASSERT (check (&b, keys[1], NOW_MS + 13000) == BLAME_SEND_AS_TRIAL);
	CU_ASSERT (blame_check (&b, keys, 2, &culprit, NOW_MS + 33000) ==
		   BLAME_SEND_AS_TRIAL);
	blame_finish (&b);
}

/* Records of several relays in any order, and twice, lead to the same table. */
static void
test_merge_order_does_not_matter (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		GRand *rand = g_rand_new_with_seed (seed);
		struct blame_record list[200];
		struct blame a, b;
		GArray *fresh = g_array_new (FALSE, FALSE, sizeof list[0]);

		blame_init (&a, 0, &quiet_ops, NULL);
		blame_init (&b, 0, &quiet_ops, NULL);
		for (uint32_t i = 0; i < 200; i++) {
			list[i] = (struct blame_record){
				.key = blame_segment_key (g_rand_int (rand) %
							  30),
				.what = i % 10 == 0 ? BLAME_CLEAR
						    : BLAME_STRIKE,
				.ep_hash = i,
				.origin = i % 9,
				.age_ms = i * 500};
		}
		blame_merge (&a, list, 200, fresh, NOW_MS);
		CU_ASSERT (fresh->len > 100);
		for (uint32_t i = 199; i > 0; i--) {
			uint32_t j = g_rand_int (rand) % (i + 1);
			struct blame_record x = list[i];

			list[i] = list[j];
			list[j] = x;
		}
		blame_merge (&b, list, 200, NULL, NOW_MS);
		for (uint64_t id = 0; id < 30; id++) {
			uint64_t key = blame_segment_key (id);

			CU_ASSERT (check (&a, key, NOW_MS) ==
				   check (&b, key, NOW_MS));
		}
		CU_ASSERT (a.barred > 0);
		g_array_set_size (fresh, 0);
		blame_merge (&b, list, 200, fresh, NOW_MS);
		CU_ASSERT (fresh->len == 0);
		g_array_free (fresh, TRUE);
		blame_finish (&a);
		blame_finish (&b);
		g_rand_free (rand);
	}
}

/* A flood of keys leaves barred ones alone; unused ones go with time. */
static void
test_bounds_and_expiry (void)
{
	uint64_t key = blame_segment_key (0), at_ms = NOW_MS + 5000;
	struct blame b;
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame_record bad = {.key = 1, .what = 99};

	blame_init (&b, 7, &quiet_ops, NULL);
	strike (&b, key, 3, NOW_MS);
	for (uint64_t i = 1; i < 50000; i++) {
		uint64_t other = blame_segment_key (i);

		blame_broke (&b, &other, 1, (uint32_t)i, at_ms);
	}
	CU_ASSERT (g_hash_table_size (b.entries) == BLAME_ENTRIES_MAX);
	CU_ASSERT (check (&b, key, at_ms) == BLAME_REFUSE);
	CU_ASSERT (b.dropped > 0);
	blame_take_news (&b, out, at_ms);
	CU_ASSERT (out->len == BLAME_RECORDS_MAX);
	blame_merge (&b, &bad, 1, NULL, at_ms);
	CU_ASSERT (g_hash_table_size (b.entries) == BLAME_ENTRIES_MAX);
	/* Asked for within ten minutes, then no more. */
	for (uint32_t i = 0; i < 3; i++) {
		at_ms += 500000;
		blame_tick (&b, at_ms);
		CU_ASSERT (check (&b, key, at_ms) != BLAME_SEND);
	}
	CU_ASSERT (g_hash_table_size (b.entries) == 1);
	blame_tick (&b, at_ms + 700000);
	CU_ASSERT (g_hash_table_size (b.entries) == 0);
	CU_ASSERT (b.barred == 0);
	blame_finish (&b);
	g_array_free (out, TRUE);
}

static uint32_t
count_trials (const struct blame *b, uint64_t now_ms)
{
	GArray *all = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	uint32_t n = 0;

	blame_export (b, all, now_ms);
	for (guint i = 0; i < all->len; i++)
		n += g_array_index (all, struct blame_record, i).what ==
		     BLAME_TRIAL;
	g_array_free (all, TRUE);
	return n;
}

/* A trial that was heard of after its bar had ended counted for the next one,
 * whose first trial was a minute late. */
static void
test_trial_of_a_bar_that_ended (void)
{
	struct blame_record r = {.key = blame_request_key ("x", "a", "", 0)};
	struct blame b;
	uint64_t now_ms = 1000000;

	blame_init (&b, 0, &quiet_ops, NULL);
	for (uint32_t round = 0; round < 4; round++) {
		r.what = BLAME_STRIKE;
		for (r.ep_hash = 1; r.ep_hash <= 3; r.ep_hash++)
			blame_merge (&b, &r, 1, NULL, now_ms + r.ep_hash);
		now_ms += 2100;
		blame_tick (&b, now_ms);
		CU_ASSERT (b.barred == 1);
		CU_ASSERT (count_trials (&b, now_ms) == 0);
		r.what = round == 1 ? BLAME_TRIAL : BLAME_CLEAR;
		r.trials = 1;
		blame_merge (&b, &r, 1, NULL, now_ms);
		CU_ASSERT (count_trials (&b, now_ms) == (round == 1));
		r.what = round == 1 ? BLAME_CLEAR : BLAME_TRIAL;
		blame_merge (&b, &r, 1, NULL, now_ms + round * 5);
		CU_ASSERT (b.barred == 0);
		now_ms += 5000;
	}
	blame_finish (&b);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"crashing_segment_at_any_relay",
		 test_crashing_segment_at_any_relay},
		{"crashing_request_repeated_anywhere",
		 test_crashing_request_repeated_anywhere},
		{"three_segments_beside_faulty_endpoints",
		 test_three_segments_beside_faulty_endpoints},
		{"restarts_forget_nothing", test_restarts_forget_nothing},
		{"crashes_of_another_cause_bar_nothing",
		 test_crashes_of_another_cause_bar_nothing},
		{"relay_behind_cut_bars_no_first_segment",
		 test_relay_behind_cut_bars_no_first_segment},
		{"false_bar_ends_with_one_trial",
		 test_false_bar_ends_with_one_trial},
		{"limits", test_limits},
		{"trials_are_few", test_trials_are_few},
		{"trial_under_way_is_the_only_one",
		 test_trial_under_way_is_the_only_one},
		{"sound_key_beside_barred_one",
		 test_sound_key_beside_barred_one},
		{"trial_of_single_key_first", test_trial_of_single_key_first},
		{"merge_order_does_not_matter",
		 test_merge_order_does_not_matter},
		{"bounds_and_expiry", test_bounds_and_expiry},
		{"trial_of_a_bar_that_ended", test_trial_of_a_bar_that_ended},
		{NULL, NULL},
	};

	return t_run ("blame", cases);
}
