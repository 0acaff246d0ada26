/*
 * Retry budgets: however requests and retries fall, what all relays send again
 * stays below the bound in every window, with the part that each has.
 */
#include "rbudget.h"
#include "t_run.h"

#define RELAYS 9
#define STEP_MS 10
#define SPAN_MS 60000

static const struct rbudget_limits rules = {
	.ratio = 0.2, .slack = 58, .window_ms = 10000};

struct minute {
	uint32_t requests[SPAN_MS / STEP_MS];
	uint32_t repeats[SPAN_MS / STEP_MS];
};

static void
play (uint32_t seed, struct minute *m)
{
	GRand *rand = g_rand_new_with_seed (seed);
	struct spend *s[RELAYS];

	for (uint32_t i = 0; i < RELAYS; i++)
		s[i] = rbudget_new (&rules);
	for (uint32_t t = 0; t < SPAN_MS / STEP_MS; t++) {
		uint64_t now_ms = 100000 + t * STEP_MS;
		/* Bursts, and long pauses. */
		double load = (t / 300) % 3 == 0 ? 0.9 : 0.05;

		for (uint32_t i = 0; i < RELAYS; i++) {
			if (g_rand_double (rand) < load) {
				rbudget_add_request (s[i], "s", now_ms);
				m->requests[t]++;
			}
			if (rbudget_take (s[i], "s", RELAYS, now_ms))
				m->repeats[t]++;
		}
	}
	for (uint32_t i = 0; i < RELAYS; i++)
		rbudget_free (s[i]);
	g_rand_free (rand);
}

static void
test_bound (void)
{
	const uint32_t n = rules.window_ms / STEP_MS;

	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct minute m = {0};
		uint32_t total = 0;

		play (seed, &m);
		for (uint32_t from = n; from + n <= SPAN_MS / STEP_MS; from++) {
			uint32_t in = 0, before = 0, repeats = 0;

			for (uint32_t k = 0; k < n; k++) {
				in += m.requests[from + k];
				before += m.requests[from + k - n];
				repeats += m.repeats[from + k];
			}
			total = MAX (total, repeats);
			CU_ASSERT (repeats <= rules.ratio * MAX (in, before) +
						      rules.slack);
		}
		CU_ASSERT (total > 0);
	}
}

static void
test_services (void)
{
	struct spend *s = rbudget_new (&rules);
	uint32_t n = 0;

	while (rbudget_take (s, "a", 1, 5000))
		n++;
	CU_ASSERT (n > 0 && n <= rules.slack);
	CU_ASSERT (rbudget_take (s, "b", 1, 5000));
	/* All of it comes back with time. */
	CU_ASSERT (!rbudget_take (s, "a", 1, 9000));
	CU_ASSERT (rbudget_take (s, "a", 1, 17000));
	rbudget_free (s);
}

int
main (void)
{
	static const struct t_case cases[] = {{"bound", test_bound},
					      {"services", test_services},
					      {NULL, NULL}};

	return t_run ("spend", cases);
}
