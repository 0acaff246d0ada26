/*
 * What the bound on requests that crash endpoints costs sound ones, with many
 * relays.
 */
#include <stdio.h>

#include "blame.h"
#include "t_blame.h"
#include "t_run.h"

/* Part of the sound requests that reach endpoints, of those that come while one
 * is up. */
#define BEGUN_MIN 0.95

/* All endpoints of a service end at once under a sound request that is most of
 * what comes: it was barred for seconds, until a relay of hundreds had its turn
 * to try it. */
static void
test_sound_request_begins_at_hundreds_of_relays (void)
{
	for (uint32_t seed = 401; seed <= 420; seed++) {
		struct t_blame s;

		t_blame_init_size (&s, seed, seed % 2 == 0 ? 80 : 300,
				   2 + seed % 3 * 2);
		s.plain = true;
		s.poison_per_s = 0;
		s.hot_per_s = 40;
		s.recovery_ms = 2000 + seed % 4 * 1000;
		for (uint32_t round = 0; round < 10; round++) {
			t_blame_run (&s, 3000);
			for (uint32_t i = 0; i < s.endpoint_count; i++)
				t_blame_crash (&s, i);
			t_blame_run (&s, s.recovery_ms);
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
		{"sound_request_begins_at_hundreds_of_relays",
		 test_sound_request_begins_at_hundreds_of_relays},
		{NULL, NULL},
	};

	return t_run ("blame_size", cases);
}
