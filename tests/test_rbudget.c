/*
 * Retry budgets: the retries of all relays together stay below the limit in
 * every window, whatever the pattern of requests and retries.
 */
#include "rbudget.h"
#include "t_run.h"

#define RELAYS 9
#define STEP_MS 10
#define SPAN_MS 60000

static const struct rbudget_limits limits = {
	.ratio = 0.2, .slack = 58, .window_ms = 10000};

/* Requests and retries of all relays in each step. */
struct counts {
	uint32_t requests[SPAN_MS / STEP_MS];
	uint32_t retries[SPAN_MS / STEP_MS];
};

static void
simulate (uint32_t seed, struct counts *m)
{
	GRand *rand = g_rand_new_with_seed (seed);
	struct rbudget *s[RELAYS];

	for (uint32_t i = 0; i < RELAYS; i++)
		s[i] = rbudget_new (&limits);
	for (uint32_t t = 0; t < SPAN_MS / STEP_MS; t++) {
		uint64_t now_ms = 100000 + t * STEP_MS;
		/* Bursts with long pauses between them. */
		double load = (t / 300) % 3 == 0 ? 0.9 : 0.05;

		for (uint32_t i = 0; i < RELAYS; i++) {
			if (g_rand_double (rand) < load) {
				rbudget_add_request (s[i], "s", now_ms);
				m->requests[t]++;
			}
			if (rbudget_take (s[i], "s", RELAYS, now_ms))
				m->retries[t]++;
		}
	}
	for (uint32_t i = 0; i < RELAYS; i++)
		rbudget_free (s[i]);
	g_rand_free (rand);
}

static void
test_limit (void)
{
	const uint32_t n = limits.window_ms / STEP_MS;

	for (uint32_t seed = 1; seed <= 10; seed++) {
		struct counts m = {0};
		uint32_t most = 0;

		simulate (seed, &m);
		for (uint32_t from = n; from + n <= SPAN_MS / STEP_MS; from++) {
			uint32_t in = 0, before = 0, retries = 0;

			for (uint32_t k = 0; k < n; k++) {
				in += m.requests[from + k];
				before += m.requests[from + k - n];
				retries += m.retries[from + k];
			}
			most = MAX (most, retries);
			CU_ASSERT (retries <= limits.ratio * MAX (in, before) +
						      limits.slack);
		}
		CU_ASSERT (most > 0);
	}
}

/* Each service has a budget of its own. */
static void
test_services (void)
{
	struct rbudget *s = rbudget_new (&limits);
	uint32_t n = 0;

	while (rbudget_take (s, "a", 1, 5000))
		n++;
	CU_ASSERT (n > 0 && n <= limits.slack);
	CU_ASSERT (rbudget_take (s, "b", 1, 5000));
	/* The budget is available again after a window. */
	CU_ASSERT (!rbudget_take (s, "a", 1, 9000));
	CU_ASSERT (rbudget_take (s, "a", 1, 17000));
	rbudget_free (s);
}

int
main (void)
{
	static const struct t_case cases[] = {{"limit", test_limit},
					      {"services", test_services},
					      {NULL, NULL}};

	return t_run ("rbudget", cases);
}
