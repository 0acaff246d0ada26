/*
 * Waiting and refusing: who goes first, how long each waits, and a burst that
 * one engine can't take, replayed.
 */
#include "waitq.h"
#include "t_run.h"

static const struct plan_route quick = {.kind = PLAN_STREAM,
					.timeout_ms = 15000,
					.latency_target_ms = 300,
					.gap_target_ms = 120};
static const struct plan_route slow = {.kind = PLAN_STREAM,
				       .timeout_ms = 12000,
				       .latency_target_ms = 2000,
				       .gap_target_ms = 500,
				       .tier = 2};
static const struct plan_route plain = {.kind = PLAN_NON_IDEMPOTENT,
					.timeout_ms = 800,
					.latency_target_ms = 150,
					.tier = 2};

static void
test_stay (void)
{
	struct waitq_entry h;

	waitq_entry_init (&h, &quick, 0, 15000, 1000);
	CU_ASSERT (h.stay_until_ms == 1000 + 2000);
	waitq_entry_init (&h, &slow, 2, 12000, 1000);
	CU_ASSERT (h.stay_until_ms == 1000 + 8000);
	waitq_entry_init (&h, &slow, 2, 3000, 1000);
	CU_ASSERT (h.stay_until_ms == 1000 + 3000);
	waitq_entry_init (&h, &plain, 2, 700, 1000);
	CU_ASSERT (h.stay_until_ms == 1000 + 700);
}

/* Without an endpoint not for long; behind busy ones as long as it helps; a
 * request that lost its endpoint begins anew. */
static void
test_until (void)
{
	struct waitq_entry h;
	uint64_t none, busy;

	waitq_entry_init (&h, &slow, 2, 12000, 1000);
	none = waitq_refuse_at_ms (&h, &slow, PLACE_NONE, 0);
	busy = waitq_refuse_at_ms (&h, &slow, PLACE_BUSY, 0);
	CU_ASSERT (none > 1000 && none <= 1000 + slow.latency_target_ms / 8);
	CU_ASSERT (busy > none && busy < h.stay_until_ms);
	CU_ASSERT (waitq_refuse_at_ms (&h, &slow, PLACE_FULL, 0) == busy);
	CU_ASSERT (waitq_refuse_at_ms (&h, &slow, PLACE_NONE, 5000) > 5000);
	CU_ASSERT (!waitq_is_late (&h, &slow, 1900) &&
		   waitq_is_late (&h, &slow, 2100));
	CU_ASSERT (waitq_max_backlog_ms (&quick) <=
		   quick.latency_target_ms / 2.0);
	CU_ASSERT (waitq_max_backlog_ms (&slow) < slow.latency_target_ms / 2.0);
}

#define BURST 120

struct waiter {
	struct waitq_entry hold;
	const struct plan_route *route;
	uint64_t sent_ms;
	bool refused;
};

static struct waiter *
first_of (struct waiter *w, uint32_t n, uint64_t now_ms)
{
	struct waiter *best = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (w[i].hold.arrived_ms > now_ms || w[i].sent_ms != 0 ||
		    w[i].refused)
			continue;
		if (best == NULL || waitq_compare (&w[i].hold, &best->hold) < 0)
			best = &w[i];
	}
	return best;
}

/*
 * 10 s of long prompts, 12 a second where an engine reads 3, and a short one
 * each half second: every short one is sent in time, nothing is held beyond its
 * caller's stay, and what is refused is refused well before.
 */
static void
test_burst (void)
{
	struct waiter w[BURST + 20];
	double backlog_ms = 0;
	uint32_t refused = 0, sent = 0;

	for (uint32_t i = 0; i < BURST + 20; i++) {
		bool is_quick = i >= BURST;

		w[i] = (struct waiter){.route = is_quick ? &quick : &slow};
		waitq_entry_init (
			&w[i].hold, w[i].route, w[i].route->tier, 12000,
			1000 + (is_quick ? (i - BURST) * 500ULL : i * 83ULL));
	}
	for (uint64_t now_ms = 1000; now_ms < 30000; now_ms += 5) {
		struct waiter *x = first_of (w, BURST + 20, now_ms);

		backlog_ms = MAX (backlog_ms - 5, 0);
		if (x != NULL &&
		    backlog_ms <= waitq_max_backlog_ms (x->route)) {
			x->sent_ms = now_ms;
			backlog_ms += x->route == &quick ? 30 : 330;
		}
		for (uint32_t i = 0; i < BURST + 20; i++) {
			if (w[i].sent_ms == 0 &&
			    w[i].hold.arrived_ms < now_ms &&
			    now_ms >= waitq_refuse_at_ms (&w[i].hold,
							  w[i].route,
							  PLACE_BUSY, 0))
				w[i].refused = true;
		}
	}
	for (uint32_t i = 0; i < BURST + 20; i++) {
		refused += w[i].refused;
		sent += w[i].sent_ms != 0;
		CU_ASSERT (w[i].refused != (w[i].sent_ms != 0));
		if (i >= BURST)
			CU_ASSERT (w[i].sent_ms != 0 &&
				   w[i].sent_ms - w[i].hold.arrived_ms <=
					   quick.latency_target_ms + 330);
		if (w[i].sent_ms != 0)
			CU_ASSERT (w[i].sent_ms < w[i].hold.stay_until_ms);
	}
	CU_ASSERT (refused > 0 && sent > 20);
}

/* All instances start at once at 1000; the group has a leader at 1700. */
static void
test_early (void)
{
	/* A caller with time waits until then, one without some of its time. */
	CU_ASSERT (waitq_startup_refuse_at_ms (12000, 1000, 3600) > 1700);
	CU_ASSERT (waitq_startup_refuse_at_ms (0, 1000, 3600) > 1700);
	CU_ASSERT (waitq_startup_refuse_at_ms (1500, 1000, 3600) == 1900);
	CU_ASSERT (waitq_startup_refuse_at_ms (100, 1000, 3600) == 1060);
	/* Long after the start no configuration is coming soon. */
	CU_ASSERT (waitq_startup_refuse_at_ms (12000, 9000, 3600) <= 9000);
}

int
main (void)
{
	static const struct t_case cases[] = {{"stay", test_stay},
					      {"until", test_until},
					      {"burst", test_burst},
					      {"early", test_early},
					      {NULL, NULL}};

	return t_run ("hold", cases);
}
