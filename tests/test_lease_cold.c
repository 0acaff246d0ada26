/*
 * Leases of an endpoint from its cold to its warm bound, and back.
 */
#include "lease.h"
#include "t_lease.h"
#include "t_run.h"

static struct tl tl;

/* Cold until service is proven, then a ramp; cold again for all when one
 * holder sees it collapse. */
static void
test_cold_ramp (void)
{
	uint32_t c;
	struct bb_ep *ep;

	tl_init (&tl, 1, 3, 1, 2, 5);
	tl.inv.endpoints[0].warm_bound = 10;
	tl.hold_max_ms = 100;
	tl_run_for (&tl, TL_START_MS);
	c = tl_coordinator (&tl, 0, 0);
	tl_demand_all (&tl, 2);
	tl_run_for (&tl, 2000);
	CU_ASSERT_EQUAL (tl.most[0], 2);
	ep = tl_ep (&tl, (c + 1) % 3, 0);
	ep->cold_end_ms = tl_clock (&tl.nodes[(c + 1) % 3]);
	tl_run_for (&tl, 5000);
	CU_ASSERT (tl_bound (&tl, c, 0) >= 4 && tl_bound (&tl, c, 0) <= 7);
	CU_ASSERT (tl.most[0] > 2 && tl.most[0] <= 7);
	tl_run_for (&tl, 6000);
	CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 10);
	CU_ASSERT_EQUAL (tl.most[0], 10);
	tl_ep (&tl, c, 0)->cold_end_ms = tl_clock (&tl.nodes[c]);
	bb_ep_set_cold (ep, tl_clock (&tl.nodes[(c + 1) % 3]));
	tl_run_for (&tl, 1000);
	CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 2);
	/* The others took it in, and need a new proof. */
	CU_ASSERT_EQUAL (tl_ep (&tl, c, 0)->cold_end_ms, 0);
	tl.most[0] = 0;
	tl_run_for (&tl, 1000);
	CU_ASSERT_EQUAL (tl.most[0], 2);
	tl_finish (&tl);
}

/* The answers that prove an endpoint are counted over all holders, and one
 * that has not heard of a collapse counts nothing. */
static void
test_cold_answers (void)
{
	static const struct {
		uint32_t answers[3];
		uint32_t bound;
	} rows[] = {
		{{19, 0, 0}, 2},
		{{0, 10, 9}, 2},
		{{0, 10, 10}, 10},
		{{20, 0, 0}, 10},
	};

	for (uint32_t r = 0; r < G_N_ELEMENTS (rows); r++) {
		uint32_t c;

		tl_init (&tl, 1, 3, 1, 2, 5);
		tl.inv.endpoints[0].warm_bound = 10;
		tl.inv.inv.settings.cold_answers = 20;
		tl.inv.inv.settings.cold_ramp_s = 0;
		tl_run_for (&tl, TL_START_MS);
		c = tl_coordinator (&tl, 0, 0);
		for (uint32_t i = 0; i < 3; i++)
			tl_ep (&tl, (c + i) % 3, 0)->cold_answers =
				rows[r].answers[i];
		tl_run_for (&tl, 1000);
		CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), rows[r].bound);
		/* All learn of it, so that the next coordinator does. */
		for (uint32_t i = 0; i < 3; i++)
			CU_ASSERT_EQUAL (tl_ep (&tl, i, 0)->cold_end_ms != 0,
					 rows[r].bound == 10);
		bb_ep_set_cold (tl_ep (&tl, c, 0), tl_clock (&tl.nodes[c]));
		lease_cold (&tl.nodes[c].lease, tl_ep (&tl, c, 0),
			    tl_clock (&tl.nodes[c]));
		tl_run_for (&tl, 1000);
		CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 2);
		for (uint32_t i = 0; i < 3; i++)
			CU_ASSERT_EQUAL (tl_ep (&tl, i, 0)->cold_answers, 0);
		tl_finish (&tl);
	}
}

/* The entry that sees the collapse has no warm credits left from then on, and
 * the others lose theirs within two ticks. */
static void
test_cold_at_once (void)
{
	uint32_t c;
	uint32_t seer;
	uint32_t usable = 0;

	tl_init (&tl, 1, 3, 1, 2, 5);
	tl.inv.endpoints[0].warm_bound = 10;
	tl.inv.inv.settings.cold_answers = 20;
	tl.inv.inv.settings.cold_ramp_s = 0;
	tl_run_for (&tl, TL_START_MS);
	c = tl_coordinator (&tl, 0, 0);
	seer = (c + 1) % 3;
	for (uint32_t i = 0; i < 3; i++) {
		tl_ep (&tl, i, 0)->cold_answers = 20;
		tl_pressure (&tl, i, 2, 4);
	}
	tl_run_for (&tl, 2000);
	CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 10);
	bb_ep_set_cold (tl_ep (&tl, seer, 0), tl_clock (&tl.nodes[seer]));
	lease_cold (&tl.nodes[seer].lease, tl_ep (&tl, seer, 0),
		    tl_clock (&tl.nodes[seer]));
	CU_ASSERT_EQUAL (tl_ep (&tl, seer, 0)->credits,
			 tl_ep (&tl, seer, 0)->in_flight);
	tl_run_for (&tl, 200);
	for (uint32_t i = 0; i < 3; i++)
		usable += tl_ep (&tl, i, 0)->credits -
			  tl_ep (&tl, i, 0)->in_flight;
	CU_ASSERT (usable <= 2);
	tl_finish (&tl);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"from cold to warm and back", test_cold_ramp},
		{"answers of all holders prove it", test_cold_answers},
		{"a collapse takes credits back at once", test_cold_at_once},
		{NULL, NULL},
	};

	return t_run ("lease_cold", cases);
}
