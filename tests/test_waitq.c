/*
 * Order and time limits of the queue, also in a simulated burst that exceeds
 * the prefill rate of one engine.
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

/* A client of a stream is expected to give up some time after the latency
 * objective, also if its own limit is longer. */
static void
test_deadline (void)
{
	struct waitq_entry h;

	waitq_entry_init (&h, &quick, 0, 15000, 1000);
	CU_ASSERT (h.deadline_ms == 1000 + 2000);
	waitq_entry_init (&h, &slow, 2, 12000, 1000);
	CU_ASSERT (h.deadline_ms == 1000 + 8000);
	waitq_entry_init (&h, &slow, 2, 3000, 1000);
	CU_ASSERT (h.deadline_ms == 1000 + 3000);
	waitq_entry_init (&h, &plain, 2, 700, 1000);
	CU_ASSERT (h.deadline_ms == 1000 + 700);
}

/* A stream that lost its engine three seconds after it came was cut at once
 * where the others were busy. */
static void
test_stream_cut_while_engines_were_busy (void)
{
	struct waitq_entry h;
	uint64_t lost_ms = 1000 + 3000, until_ms;

	waitq_entry_init (&h, &quick, 0, 15000, 1000);
	CU_ASSERT (waitq_refuse_at_ms (&h, &quick, PLACE_BUSY, lost_ms) <
		   lost_ms);
	until_ms = waitq_resume_until_ms (&quick, lost_ms - 50);
	CU_ASSERT (until_ms == lost_ms - 50 + 2000);
	CU_ASSERT (waitq_resume_until_ms (&slow, 5000) == 5000 + 8000);
}

/* A request waits briefly if there is no endpoint, and longer if the endpoints
 * are busy.  The wait starts anew when it loses its endpoint. */
static void
test_refuse_at (void)
{
	struct waitq_entry h;
	uint64_t none, busy;

	waitq_entry_init (&h, &slow, 2, 12000, 1000);
	none = waitq_refuse_at_ms (&h, &slow, PLACE_NONE, 0);
	busy = waitq_refuse_at_ms (&h, &slow, PLACE_BUSY, 0);
	CU_ASSERT (none > 1000 && none <= 1000 + slow.latency_target_ms / 8);
	CU_ASSERT (busy > none && busy < h.deadline_ms);
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
	struct waitq_entry entry;
	const struct plan_route *route;
	uint64_t sent_ms;
	bool refused;
};

static struct waiter *
next_waiter (struct waiter *w, uint32_t n, uint64_t now_ms)
{
	struct waiter *best = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (w[i].entry.arrived_ms > now_ms || w[i].sent_ms != 0 ||
		    w[i].refused)
			continue;
		if (best == NULL ||
		    waitq_compare (&w[i].entry, &best->entry) < 0)
			best = &w[i];
	}
	return best;
}

/*
 * 10 s of long prompts, 12 a second for an engine that prefills 3 a second, and
 * a short prompt each half second.  Every short one is sent in time, nothing is
 * sent after the deadline of its client, and each long one is either sent or
 * refused before.
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
			&w[i].entry, w[i].route, w[i].route->tier, 12000,
			1000 + (is_quick ? (i - BURST) * 500ULL : i * 83ULL));
	}
	for (uint64_t now_ms = 1000; now_ms < 30000; now_ms += 5) {
		struct waiter *x = next_waiter (w, BURST + 20, now_ms);

		backlog_ms = MAX (backlog_ms - 5, 0);
		if (x != NULL &&
		    backlog_ms <= waitq_max_backlog_ms (x->route)) {
			x->sent_ms = now_ms;
			backlog_ms += x->route == &quick ? 30 : 330;
		}
		for (uint32_t i = 0; i < BURST + 20; i++) {
			if (w[i].sent_ms == 0 &&
			    w[i].entry.arrived_ms < now_ms &&
			    now_ms >= waitq_refuse_at_ms (&w[i].entry,
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
				   w[i].sent_ms - w[i].entry.arrived_ms <=
					   quick.latency_target_ms + 330);
		if (w[i].sent_ms != 0)
			CU_ASSERT (w[i].sent_ms < w[i].entry.deadline_ms);
	}
	CU_ASSERT (refused > 0 && sent > 20);
}

/* All instances start at 1000 ms, and the group has a leader at 1700 ms. */
static void
test_startup (void)
{
	/* A client with enough time waits until then, others for a part of
	 * their time. */
	CU_ASSERT (waitq_startup_refuse_at_ms (12000, 1000, 3600) > 1700);
	CU_ASSERT (waitq_startup_refuse_at_ms (0, 1000, 3600) > 1700);
	CU_ASSERT (waitq_startup_refuse_at_ms (1500, 1000, 3600) == 1900);
	CU_ASSERT (waitq_startup_refuse_at_ms (100, 1000, 3600) == 1060);
	/* Long after the start no configuration is expected soon. */
	CU_ASSERT (waitq_startup_refuse_at_ms (12000, 9000, 3600) <= 9000);
}

/* A request that can't be in time any more went before those of its tier that
 * could, and made them late too.  It doesn't go behind less urgent ones: at a
 * long shortage, 47 of 520 got nothing while those began. */
static void
test_late (void)
{
	struct waitq_entry a, b, c;

	waitq_entry_init (&a, &quick, 0, 15000, 1000);
	waitq_entry_init (&b, &slow, 2, 12000, 1100);
	waitq_entry_init (&c, &quick, 0, 15000, 1200);
	CU_ASSERT (waitq_compare (&a, &b) < 0 && waitq_compare (&a, &c) < 0);
	CU_ASSERT (!waitq_note_late (&a, &quick, 100, 1200));
	CU_ASSERT (waitq_note_late (&a, &quick, 101, 1200));
	CU_ASSERT (!waitq_note_late (&a, &quick, 101, 1300));
	CU_ASSERT (waitq_compare (&a, &c) > 0 && waitq_compare (&a, &b) < 0);
	CU_ASSERT (waitq_rank (&c) == 0 && waitq_rank (&a) == 1 &&
		   waitq_rank (&b) == 4);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"deadline", test_deadline},
		{"refuse at", test_refuse_at},
		{"stream cut while busy",
		 test_stream_cut_while_engines_were_busy},
		{"burst", test_burst},
		{"startup", test_startup},
		{"late", test_late},
		{NULL, NULL}};

	return t_run ("waitq", cases);
}
