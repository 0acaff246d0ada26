/*
 * Leases, case by case: who coordinates, frozen
 * holders, cuts, and where a freed credit goes.
 */
#include <string.h>

#include "lease.h"
#include "t_lease.h"
#include "t_run.h"

static struct tl tl;

static void
test_whole_bound (void)
{
	tl_begin (&tl, 3, 6, 2, 5);
	for (uint32_t k = 0; k < 2; k++) {
		uint32_t c = tl_coordinator (&tl, 3, k);

		/* All agree, and it is of the endpoint's own domain. */
		for (uint32_t i = 0; i < 6; i++)
			CU_ASSERT_EQUAL (tl_coordinator (&tl, i, k), c);
		CU_ASSERT_EQUAL (c % 3, 0);
		CU_ASSERT_EQUAL (tl_state (&tl, c, k), LEASE_FULL);
		CU_ASSERT_EQUAL (tl_bound (&tl, c, k), 5);
		CU_ASSERT_EQUAL (tl_bound (&tl, c == 0 ? 3 : 0, k), 0);
	}
	tl_demand_all (&tl, 2);
	tl_run_for (&tl, 3000);
	CU_ASSERT (tl.running[0] >= 4 && tl.most[0] == 5);
	CU_ASSERT (tl.running[1] >= 4 && tl.most[1] == 5);
	tl_finish (&tl);
}

/* All that a warm endpoint bears was in flight from one side when a cut came,
 * and may be for a minute: the other side has its slice after seconds all the
 * same, and where they took seconds only, the bound is kept.  At a cold one it
 * waits for the minute. */
static void
test_cut_while_busy (void)
{
	static const struct {
		bool coordinator_cut; /* which side it is on */
		bool warm;
		uint64_t hold_ms;
		uint32_t most;
	} rows[] = {
		{true, true, 3000, 8},   {false, true, 3000, 8},
		{true, true, 59000, 12}, {false, true, 59000, 12},
		{true, false, 3000, 8},  {false, false, 59000, 8},
	};

	for (uint32_t r = 0; r < G_N_ELEMENTS (rows); r++) {
		uint64_t took;
		uint32_t c;
		uint32_t busy;

		tl_init (&tl, 1, 4, 1, 8, 5);
		for (uint32_t i = 0; i < INV_TIERS; i++)
			tl.inv.classes[i].total_ms = 60000;
		tl.inv.inv.settings.cold_answers = 20;
		tl.inv.inv.settings.cold_ramp_s = 0;
		tl.hold_min_ms = (uint32_t)rows[r].hold_ms;
		tl.hold_max_ms = tl.hold_min_ms + 1;
		for (uint32_t i = 0; i < 4; i++)
			lease_remap (&tl.nodes[i].lease,
				     tl_clock (&tl.nodes[i]));
		tl_run_for (&tl, TL_START_MS);
		c = tl_coordinator (&tl, 0, 0);
		/* Two nodes a side; one of the busy side takes all. */
		busy = rows[r].coordinator_cut ? (c + 1) % 4 : c;
		for (uint32_t i = 0; i < 4; i++)
			if (rows[r].warm)
				tl_ep (&tl, i, 0)->cold_answers = 20;
		tl.nodes[busy].demand = 8;
		tl_pressure (&tl, busy, 2, 20);
		tl_run_for (&tl, 3000);
		CU_ASSERT_EQUAL (tl.running[0], 8);
		for (uint32_t i = 0; i < 4; i++)
			for (uint32_t k = 0; k < 4; k++)
				tl.cut[i][k] = ((i - busy + 4) % 4 < 2) !=
					       ((k - busy + 4) % 4 < 2);
		took = tl.nodes[(busy + 2) % 4].took;
		tl.nodes[(busy + 2) % 4].demand = 8;
		tl_pressure (&tl, (busy + 2) % 4, 2, 20);
		tl_run_for (&tl, 20000);
		CU_ASSERT_EQUAL (tl.nodes[(busy + 2) % 4].took > took,
				 rows[r].warm);
		CU_ASSERT (tl.most[0] <= rows[r].most);
		tl_finish (&tl);
	}
}

/* A holder that stood still finds its lease run out before it sends, and what
 * it has in flight counts on. */
static void
test_frozen_holder (void)
{
	uint32_t holder;
	uint32_t n = 0;

	tl_init (&tl, 1, 3, 1, 4, 5);
	tl.hold_min_ms = 3000;
	tl.hold_max_ms = 3001;
	tl_run_for (&tl, TL_START_MS);
	holder = (tl_coordinator (&tl, 0, 0) + 1) % 3;
	tl_pressure (&tl, holder, 1, 20);
	tl_run_for (&tl, 900);
	CU_ASSERT_TRUE (tl_take (&tl, holder, 0));
	CU_ASSERT_TRUE (tl_take (&tl, holder, 0));
	tl.nodes[holder].frozen_until_ms = tl.now_ms + 3600;
	tl_run_for (&tl, 1500);
	CU_ASSERT_FALSE (bb_ep_has_credit (tl_ep (&tl, holder, 0),
					   tl_clock (&tl.nodes[holder])));
	CU_ASSERT_FALSE (tl_take (&tl, holder, 0));
	/* The others have what it does not use, and no more. */
	for (uint32_t i = 0; i < 3; i++) {
		if (i == holder)
			continue;
		tl.nodes[i].demand = 2;
		tl_pressure (&tl, i, 2, 20);
	}
	tl_run_for (&tl, 1400);
	CU_ASSERT (tl.most[0] <= 4);
	tl_pressure (&tl, holder, 0, 0);
	tl_run_for (&tl, 5000);
	for (uint32_t k = 0; k < TL_RUNS; k++)
		n += tl.nodes[holder].runs[k].live;
	CU_ASSERT (n <= 2);
	CU_ASSERT_EQUAL (tl.most[0], 4);
	tl_finish (&tl);
}

/* A new coordinator gives nothing until the leases of the one before have run
 * out, and then counts what is in flight. */
static void
test_new_coordinator (void)
{
	uint32_t c;
	uint32_t next;
	uint64_t crashed;

	tl_begin (&tl, 1, 3, 1, 4);
	tl_demand_all (&tl, 3);
	tl_run_for (&tl, 1000);
	c = tl_coordinator (&tl, 0, 0);
	tl_crash (&tl, c);
	crashed = tl.now_ms;
	for (uint32_t i = 0; i < 3; i++) {
		struct tl_node *n = &tl.nodes[i];

		if (i == c)
			continue;
		n->bb.peers[c]->leaving = true;
		lease_gone (&n->lease, n->bb.peers[c], tl_clock (n));
	}
	next = tl_coordinator (&tl, (c + 1) % 3, 0);
	CU_ASSERT (next != c);
	while (tl_bound (&tl, next, 0) == 0 && tl.now_ms < crashed + 9000)
		tl_run_for (&tl, TL_STEP_MS);
	/* Until then the old one's leases may be in use. */
	CU_ASSERT (tl.now_ms - crashed >= 1000);
	CU_ASSERT (tl.now_ms - crashed <= 4000);
	tl_run_for (&tl, 4000);
	CU_ASSERT_EQUAL (tl_bound (&tl, next, 0), 4);
	CU_ASSERT_EQUAL (tl.most[0], 4);
	CU_ASSERT (tl.running[0] >= 3);
	tl_finish (&tl);
}

/* An entry that leaves in order hands over; what it coordinated is without
 * new credits for less than two beats, two renewals and the messages. */
static void
test_hand_over (void)
{
	uint32_t c;
	uint32_t next;
	uint32_t gap = 0;
	uint32_t now_gap = 0;

	tl_init (&tl, 1, 3, 1, 4, 5);
	tl.hold_max_ms = 200;
	tl_run_for (&tl, TL_START_MS);
	tl_demand_all (&tl, 3);
	tl_run_for (&tl, 1000);
	c = tl_coordinator (&tl, 0, 0);
	tl.nodes[c].bb.leaving = true;
	tl_run_for (&tl, 300);
	next = tl_coordinator (&tl, (c + 1) % 3, 0);
	for (uint32_t t = 0; t < 6000; t += 50) {
		uint64_t served = tl.served;

		tl_run_for (&tl, 50);
		now_gap = tl.served == served ? now_gap + 50 : 0;
		gap = MAX (gap, now_gap);
	}
	CU_ASSERT (gap <= 1500);
	CU_ASSERT (tl.most[0] <= 4);
	CU_ASSERT (next == c || tl_state (&tl, next, 0) == LEASE_FULL);
	tl_finish (&tl);
}

/* The same while little is asked for: credits that nobody uses count too. */
static void
test_quiet_hand_over (void)
{
	for (uint32_t seed = 1; seed <= 20; seed++) {
		tl_init (&tl, 1, 3, 1, 4, seed);
		tl_run_for (&tl, TL_START_MS + seed * 17);
		tl.nodes[tl_coordinator (&tl, 0, 0)].bb.leaving = true;
		tl_run_for (&tl, 3000);
		CU_ASSERT (tl.most_leased[0] >= 3 && tl.most_leased[0] <= 4);
		tl_finish (&tl);
	}
}

/* A plain service reports no load: each side of a cut serves its slice, but
 * not before leases of the time before have run out. */
static void
test_cut_service (void)
{
	uint32_t c;

	tl_begin (&tl, 1, 3, 1, 6);
	tl.inv.endpoints[0].kind = INV_SERVICE;
	c = tl_coordinator (&tl, 0, 0);
	tl_cut (&tl, 1U << c, true);
	tl_run_for (&tl, 1900);
	CU_ASSERT_EQUAL (tl_state (&tl, (c + 1) % 3, 0), LEASE_WAITING);
	tl_run_for (&tl, 1500);
	for (uint32_t i = 0; i < 3; i++)
		CU_ASSERT_EQUAL (tl_bound (&tl, i, 0), 2);
	CU_ASSERT (tl.most_leased[0] <= 6);
	tl_finish (&tl);
}

/* A cut inside the domain: each side serves with its slices. */
static void
test_cut (void)
{
	uint32_t c;
	uint32_t sum = 0;

	tl_init (&tl, 1, 3, 1, 5, 5);
	tl.hold_max_ms = 500;
	tl.report_lag_ms = 100;
	tl_run_for (&tl, TL_START_MS);
	c = tl_coordinator (&tl, 0, 0);
	tl_demand_all (&tl, 2);
	tl_run_for (&tl, 1000);
	CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 5);
	tl_cut (&tl, 1U << c, true);
	tl.most[0] = 0;
	tl_run_for (&tl, 12000);
	for (uint32_t i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL (tl_state (&tl, i, 0), LEASE_SLICE);
		CU_ASSERT_EQUAL (tl_bound (&tl, i, 0), i < 2 ? 2 : 1);
		sum += tl_bound (&tl, i, 0);
	}
	CU_ASSERT_EQUAL (sum, 5);
	CU_ASSERT_EQUAL (tl.most[0], 5); /* both sides serve, no more */
	tl_cut (&tl, 1U << c, false);
	tl_run_for (&tl, 6000);
	CU_ASSERT_EQUAL (tl_state (&tl, c, 0), LEASE_FULL);
	CU_ASSERT_EQUAL (tl_bound (&tl, c, 0), 5);
	CU_ASSERT_EQUAL (tl.most[0], 5);
	tl_finish (&tl);
}

/* One direction fails: whoever is not heard by all cannot have the whole. */
static void
test_one_way_cut (void)
{
	uint32_t c;

	tl_begin (&tl, 1, 3, 1, 5);
	tl_demand_all (&tl, 2);
	c = tl_coordinator (&tl, 0, 0);
	tl.cut[c][(c + 1) % 3] = true;
	tl_run_for (&tl, 3000);
	CU_ASSERT_EQUAL (tl_state (&tl, c, 0), LEASE_SLICE);
	tl_run_for (&tl, 8000);
	CU_ASSERT (tl.most[0] <= 5);
	tl_finish (&tl);
}

/* Of all credits that get free, the highest tier that waits gets the next,
 * wherever it waits; news of it takes 100 ms at most. */
static void
test_freed_credit (void)
{
	uint64_t all;
	uint64_t top;
	uint32_t live = 0;
	struct tl_node *n;

	tl_init (&tl, 1, 4, 1, 8, 5);
	tl.hold_min_ms = 300;
	tl.hold_max_ms = 2000;
	tl_run_for (&tl, TL_START_MS);
	n = &tl.nodes[(tl_coordinator (&tl, 0, 0) + 1) % 4];
	for (uint32_t i = 0; i < 4; i++) {
		if (n == &tl.nodes[i])
			continue;
		tl.nodes[i].demand = 3;
		tl_pressure (&tl, i, 5, 20);
	}
	tl_run_for (&tl, 3000);
	CU_ASSERT (tl.running[0] >= 7);
	n->demand = 3;
	tl_pressure (&tl, (uint32_t)(n - tl.nodes), 1, 30);
	tl_run_for (&tl, 100);
	all = tl.served;
	top = n->took;
	tl_run_for (&tl, 2400);
	CU_ASSERT (n->took - top >= 7);
	CU_ASSERT (tl.served - all - (n->took - top) <= 1);
	for (uint32_t k = 0; k < TL_RUNS; k++)
		live += n->runs[k].live;
	CU_ASSERT (live >= 7);
	CU_ASSERT_EQUAL (tl.most[0], 8);
	tl_finish (&tl);
}

/* Entries that wait at one tier share by what waits; none starves. */
static void
test_equal_tiers (void)
{
	uint32_t live[4] = {0};
	uint32_t sum = 0;

	tl_init (&tl, 1, 4, 1, 8, 5);
	tl.hold_max_ms = 300;
	tl_run_for (&tl, TL_START_MS);
	for (uint32_t i = 0; i < 2; i++) {
		tl.nodes[i].demand = 4;
		tl_pressure (&tl, i, 3, 20);
	}
	tl_run_for (&tl, 2000);
	for (uint32_t i = 2; i < 4; i++) {
		tl.nodes[i].demand = 4;
		tl_pressure (&tl, i, 3, 20);
	}
	tl_run_for (&tl, 3000);
	for (uint32_t t = 0; t < 20; t++) {
		tl_run_for (&tl, 100);
		for (uint32_t i = 0; i < 4; i++)
			for (uint32_t k = 0; k < TL_RUNS; k++)
				live[i] += tl.nodes[i].runs[k].live;
	}
	for (uint32_t i = 0; i < 4; i++)
		sum += live[i];
	for (uint32_t i = 0; i < 4; i++)
		CU_ASSERT (live[i] * 8 >= sum); /* half its fair quarter */
	tl_finish (&tl);
}

/* What leaves or is taken out loses its credits within a lease. */
static void
test_closed (void)
{
	tl_begin (&tl, 1, 3, 2, 4);
	tl_demand_all (&tl, 2);
	tl_run_for (&tl, 500);
	for (uint32_t i = 0; i < 3; i++)
		tl_ep (&tl, i, 0)->leaving = true;
	tl_run_for (&tl, 1000);
	for (uint32_t i = 0; i < 3; i++)
		CU_ASSERT_FALSE (bb_ep_has_credit (tl_ep (&tl, i, 0),
						   tl_clock (&tl.nodes[i])));
	CU_ASSERT (tl.running[1] >= 3);
	tl_finish (&tl);
}

/* Malformed and stale grants change nothing. */
static void
test_bad_grants (void)
{
	struct lease_given given = {
		.ep = "ep00", .state = LEASE_FULL, .credits = 1000};
	struct lease_grant good;
	struct tl_node *n;
	uint64_t now;
	struct lease_grant bad[4];

	tl_begin (&tl, 1, 3, 1, 4);
	n = &tl.nodes[(tl_coordinator (&tl, 0, 0) + 1) % 3];
	now = tl_clock (n);
	good = (struct lease_grant){.holder = n->lease.incarnation,
				    .number = UINT64_MAX,
				    .sent_ms = now,
				    .ttl_ms = 1000,
				    .given = {&given, 1}};
	for (int i = 0; i < 4; i++)
		bad[i] = good;
	bad[0].holder--;
	bad[1].ttl_ms = 5000;
	bad[2].sent_ms = now + 500;
	bad[3].number = 1;
	/* The last one is old news only after a first grant. */
	for (int i = 0; i < 4; i++) {
		lease_on_grant (&n->lease,
				n->bb.peers[tl_coordinator (&tl, 0, 0)],
				&bad[i], now);
		CU_ASSERT (n->bb.eps[0]->credits <= 4);
	}
	tl_finish (&tl);
}

static void
test_wire (void)
{
	struct lease_want want = {.ep = "ep00",
				  .used = 3,
				  .other = 1,
				  .want = {2, 0, 1},
				  .tier = 1,
				  .returned = 7,
				  .applied = 8,
				  .proven_ms = 5,
				  .cold_ms = 6};
	struct lease_ask ask = {.incarnation = 4,
				.sent_ms = 5,
				.renew = true,
				.wants = {&want, 1}};
	struct lease_ask got;
	const struct lease_want *back;
	msgpack_sbuffer buf;
	msgpack_zone zone;
	struct err e;

	msgpack_sbuffer_init (&buf);
	msgpack_zone_init (&zone, 1024);
	msg_pack (lease_ask_fields, &ask, &buf);
	CU_ASSERT_TRUE (msg_unpack (lease_ask_fields, buf.data, buf.size, &got,
				    &zone, &e));
	CU_ASSERT_EQUAL (got.wants.count, 1);
	back = got.wants.items;
	CU_ASSERT_STRING_EQUAL (back->ep, "ep00");
	CU_ASSERT (back->used == 3 && back->other == 1 && back->want[0] == 2);
	CU_ASSERT (back->tier == 1 && back->want[2] == 1);
	CU_ASSERT (back->returned == 7 && back->applied == 8);
	CU_ASSERT (back->proven_ms == 5 && back->cold_ms == 6);
	CU_ASSERT_TRUE (got.renew);
	CU_ASSERT_EQUAL (got.sent_ms, 5);
	msgpack_zone_destroy (&zone);
	msgpack_sbuffer_destroy (&buf);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"the whole bound", test_whole_bound},
		{"cut while one side is busy", test_cut_while_busy},
		{"frozen holder", test_frozen_holder},
		{"new coordinator", test_new_coordinator},
		{"hand-over", test_hand_over},
		{"hand-over in quiet times", test_quiet_hand_over},
		{"cut inside a domain", test_cut},
		{"cut, plain service", test_cut_service},
		{"cut of one direction", test_one_way_cut},
		{"a freed credit goes to the highest tier", test_freed_credit},
		{"equal tiers share", test_equal_tiers},
		{"leaving endpoints", test_closed},
		{"bad grants", test_bad_grants},
		{"wire format", test_wire},
		{NULL, NULL},
	};

	return t_run ("lease", cases);
}
