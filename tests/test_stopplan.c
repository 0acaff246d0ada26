/*
 * A planned stop: requests that come late are begun only if they end before the
 * process does, and all ends within the grace, however short.
 */
#include "stopplan.h"
#include "t_run.h"

static void
test_times_are_in_order (void)
{
	for (uint64_t grace_ms = 0; grace_ms <= 20000; grace_ms += 50) {
		struct stopplan p;

		stopplan_init (&p, grace_ms);
		CU_ASSERT (p.listener_ms <= p.idle_ms);
		/* A client that connects last has time to send. */
		CU_ASSERT ((p.idle_ms - p.listener_ms) * 6 + 6 >= p.idle_ms);
		CU_ASSERT (p.idle_ms <= p.give_up_ms);
		CU_ASSERT (p.give_up_ms <= p.exit_ms);
		CU_ASSERT (p.exit_ms <= grace_ms);
		CU_ASSERT (grace_ms < 1000 || p.give_up_ms > grace_ms / 2);
	}
}

/* A request that came 3.8 s after SIGTERM, with a limit of 12 s, was begun and
 * cut at the end of the grace. */
static void
test_late_requests (void)
{
	struct stopplan p;

	stopplan_init (&p, 8000);
	CU_ASSERT (!stopplan_admits (&p, 3800, 12000));
	CU_ASSERT (stopplan_admits (&p, 3800, 1500));
	CU_ASSERT (stopplan_admits (&p, p.give_up_ms - 1500, 1500));
	CU_ASSERT (!stopplan_admits (&p, p.give_up_ms - 1499, 1500));
	CU_ASSERT (!stopplan_admits (&p, 20000, 1500));
	/* Clients that connect may not know of it yet. */
	CU_ASSERT (stopplan_admits (&p, 0, 12000));
	CU_ASSERT (stopplan_admits (&p, p.listener_ms, 12000));
}

static void
test_short_grace (void)
{
	struct stopplan p;

	stopplan_init (&p, 1000);
	CU_ASSERT (stopplan_admits (&p, 0, 12000));
	CU_ASSERT (!stopplan_admits (&p, 500, 12000));
	CU_ASSERT (stopplan_admits (&p, 500, 200));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"times are in order", test_times_are_in_order},
		{"late requests", test_late_requests},
		{"short grace", test_short_grace},
		{NULL, NULL},
	};

	return t_run ("stopplan", cases);
}
