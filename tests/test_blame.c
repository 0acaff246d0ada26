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
	if (s->late > LATE_MAX)
		fprintf (stderr, "seed %u: %u crashes, %u late\n", seed,
			 s->crashes, s->late);
	CU_ASSERT (s->late <= LATE_MAX);
	CU_ASSERT (s->crashes >= 1);
	for (uint32_t i = 0; i < T_BLAME_FIRSTS; i++) {
		if (s->refused[i] > s->sent[i] * REFUSED_MAX)
			fprintf (stderr, "seed %u: first %u: %u of %u\n", seed,
				 i, s->refused[i], s->sent[i]);
		CU_ASSERT (s->refused[i] <= s->sent[i] * REFUSED_MAX);
	}
}

/* A segment that crashed five servers at some relays reached them from others
 * again and again. */
static void
test_crashing_segment_at_any_relay (void)
{
	for (uint32_t seed = 1; seed <= SEEDS; seed++) {
		struct t_blame s;

		t_blame_init (&s, seed);
		s.poison_per_s = 0;
		t_blame_run (&s, 20000);
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

		t_blame_init (&s, seed);
		s.poison_per_s = 0;
		t_blame_run (&s, 20000);
		s.repeats = true;
		s.bound_crashes = 3;
		s.poison_per_s = seed % 3 + 1;
		t_blame_run (&s, 100000);
		check_bounds (&s, seed);
		t_blame_finish (&s);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"crashing_segment_at_any_relay",
		 test_crashing_segment_at_any_relay},
		{"crashing_request_repeated_anywhere",
		 test_crashing_request_repeated_anywhere},
		{NULL, NULL},
	};

	return t_run ("blame", cases);
}
