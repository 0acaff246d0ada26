/*
 * What entries say of endpoints that they do not use, and what they leave out
 * of their messages.
 */
#include <string.h>

#include "lease.h"
#include "t_lease.h"
#include "t_run.h"

static struct tl tl;

/* One request more at one entry does not take from all others the credits that
 * they keep. */
static void
test_few_give_back (void)
{
	uint32_t least = 8;

	tl_begin (&tl, 1, 8, 1, 8);
	for (uint32_t i = 0; i < 8; i++)
		CU_ASSERT_EQUAL (tl_ep (&tl, i, 0)->credits, 1);
	CU_ASSERT_TRUE (tl_take (&tl, 3, 0));
	tl_pressure (&tl, 3, 2, 1);
	for (uint32_t ms = 0; ms < 200; ms += TL_STEP_MS) {
		uint32_t keep = 0;

		tl_run_for (&tl, TL_STEP_MS);
		for (uint32_t i = 0; i < 8; i++)
			keep += i != 3 && tl_ep (&tl, i, 0)->credits == 1;
		least = MIN (least, keep);
	}
	CU_ASSERT_EQUAL (tl_ep (&tl, 3, 0)->credits, 2);
	CU_ASSERT (least >= 5);
	tl_finish (&tl);
}

/* The first entry that has no credit at all; 6: all have some. */
static uint32_t
without_credit (void)
{
	for (uint32_t i = 0; i < 6; i++) {
		uint32_t sum = 0;

		for (uint32_t k = 0; k < 4; k++)
			sum += bb_ep_has_credit (tl_ep (&tl, i, k),
						 tl_clock (&tl.nodes[i]));
		if (sum == 0)
			return i;
	}
	return 6;
}

/* Six entries, eight credits in all: who has none to renew says little, and is
 * served as soon as it wants something, between two renewals too. */
static void
test_quiet (void)
{
	uint64_t before;
	uint32_t tries = 0;

	tl_init (&tl, 1, 6, 4, 2, 5);
	tl.hold_max_ms = 100;
	tl_run_for (&tl, TL_START_MS);
	before = tl.messages;
	tl_run_for (&tl, 10000);
	/* Beats are 200 of it: five electors, four others, two a second. */
	CU_ASSERT (tl.messages - before < 200 + 6 * 10 * 8);
	for (uint32_t n = 0; n < 10; n++) {
		uint32_t i = without_credit ();
		uint64_t took;

		if (i < 6) {
			tries++;
			took = tl.nodes[i].took;
			tl.nodes[i].demand = 4;
			tl_pressure (&tl, i, 2, 2);
			tl_run_for (&tl, 200);
			CU_ASSERT (tl.nodes[i].took > took);
			tl.nodes[i].demand = 0;
			tl_pressure (&tl, i, 0, 0);
		}
		tl_run_for (&tl, 8000 + 50 * n);
	}
	CU_ASSERT (tries > 4);
	tl_finish (&tl);
}

/* While a pool is in use, credits come for the endpoints of it too that are
 * not: one that returned is to be chosen again. */
static void
test_pool_in_use (void)
{
	uint32_t with = 0;

	tl_begin (&tl, 1, 3, 4, 6);
	tl.hold_max_ms = 100;
	for (uint32_t n = 0; n < 60; n++) {
		tl_take (&tl, 0, 0);
		tl_take (&tl, 0, 1);
		tl_take (&tl, 0, 2);
		tl_run_for (&tl, 250);
		with += n >= 40 && bb_ep_has_credit (tl_ep (&tl, 0, 3),
						     tl_clock (&tl.nodes[0]));
	}
	CU_ASSERT (with > 0);
	tl_finish (&tl);
}

/* A lease granted on an earlier ask ends by that one. */
static void
test_late_grant (void)
{
	struct lease_given given = {
		.ep = "ep00", .state = LEASE_FULL, .credits = 3};
	struct lease_grant m = {.number = UINT64_MAX, .ttl_ms = 1000};
	struct tl_node *n;
	uint64_t now;

	for (uint32_t late = 0; late <= 2000; late += 400) {
		tl_begin (&tl, 1, 3, 1, 4);
		n = &tl.nodes[(tl_coordinator (&tl, 0, 0) + 1) % 3];
		now = tl_clock (n);
		m.holder = n->lease.incarnation;
		m.sent_ms = now;
		given.late_ms = late;
		m.given = (struct msg_list){&given, 1};
		lease_on_grant (&n->lease,
				n->bb.peers[tl_coordinator (&tl, 0, 0)], &m,
				now);
		CU_ASSERT_EQUAL (bb_ep_has_credit (n->bb.eps[0], now),
				 late < 950);
		if (late < 950)
			CU_ASSERT_EQUAL (n->bb.eps[0]->credits_until_ms,
					 now + 950 - late);
		tl_finish (&tl);
	}
}

/* What both ends know is left out and comes back the same; what was for or of
 * another process does not. */
static void
test_left_off_wire (void)
{
	static const struct {
		uint64_t applied, out, in;
	} rows[] = {
		{0, 0, 0},
		{5000, 0, 0}, /* its coordinator started at 7000 */
		{7000, 0, 0},
		{7003, 3, 7003},
	};
	struct lease_grant grant = {.holder = 9000, .number = 7004};

	for (uint32_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct lease_want want = {.applied = rows[i].applied};
		struct lease_ask ask = {.wants = {&want, 1}};

		lease_ask_out (&ask, 7000);
		CU_ASSERT_EQUAL (want.applied, rows[i].out);
		lease_ask_in (&ask, 9000, 7000);
		CU_ASSERT_EQUAL (want.applied, rows[i].in);
		CU_ASSERT_EQUAL (ask.incarnation, 9000);
	}
	CU_ASSERT_TRUE (lease_grant_out (&grant, 7000, 9000));
	CU_ASSERT_EQUAL (grant.number, 4);
	grant.holder = 0;
	lease_grant_in (&grant, 7000, 9000);
	CU_ASSERT (grant.number == 7004 && grant.holder == 9000);
	CU_ASSERT_FALSE (lease_grant_out (&grant, 7000, 9001));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"few give back for one", test_few_give_back},
		{"quiet entries", test_quiet},
		{"a pool in use", test_pool_in_use},
		{"late grant", test_late_grant},
		{"left off the wire", test_left_off_wire},
		{NULL, NULL},
	};

	return t_run ("lease_quiet", cases);
}
