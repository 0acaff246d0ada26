/*
 * The blackboard: records that keep their address while the inventory
 * changes, load estimates from lagging reports, and shares of account limits.
 */
#include <string.h>

#include "bb.h"
#include "t_inv.h"
#include "t_run.h"

static struct t_inv old_inv;
static struct t_inv new_inv;

static void
test_records_keep_address (void)
{
	struct bb bb;
	struct bb_ep *ep1;
	struct bb_ep *ep2;

	t_inv_init (&old_inv, 2, 2, 3, 2);
	new_inv = old_inv;
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &old_inv.inv, 1000);
	CU_ASSERT_PTR_EQUAL (bb.self, bb.peers[0]);
	ep1 = bb_ep_find (&bb, "ep01");
	ep2 = bb_ep_find (&bb, "ep02");
	bb_ep_sent (ep1, 1100);
	bb_ep_sent (ep2, 1100);

	/* ep00 and ep01 are removed, ep02 moves to index 0. */
	t_inv_init (&new_inv, 2, 2, 1, 2);
	strcpy (new_inv.endpoints[0].name, "ep02");
	bb_apply_inv (&bb, &new_inv.inv, 2000);
	CU_ASSERT_PTR_EQUAL (bb.eps[0], ep2);
	CU_ASSERT_EQUAL (ep2->in_flight, 1);
	CU_ASSERT_PTR_EQUAL (ep2->inv, &new_inv.endpoints[0]);
	CU_ASSERT_EQUAL (bb.models[0]->ep_count, 1);
	CU_ASSERT_PTR_NULL (bb_ep_find (&bb, "ep00"));
	CU_ASSERT_PTR_NULL (bb_ep_find (&bb, "ep01"));
	CU_ASSERT_FALSE (bb_ep_available (ep1));
	CU_ASSERT_EQUAL (ep1->in_flight, 1);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_EP]), 2);

	bb_ep_done (ep1, 2100);
	bb_sweep (&bb);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_EP]), 1);
	bb_finish (&bb);
}

static void
test_lagging_load (void)
{
	struct bb bb;
	struct bb_ep *ep;

	t_inv_init (&old_inv, 1, 1, 1, 1);
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &old_inv.inv, 1000);
	ep = bb.eps[0];
	bb_ep_sent (ep, 1100);
	CU_ASSERT_DOUBLE_EQUAL (bb_ep_load (ep), 1, 0.01);
	/* Sampled before the second dispatch: 4 requests of other entries
	 * and the first one of this entry. */
	bb_ep_sent (ep, 1300);
	bb_ep_reported (ep, &(struct bb_load){1200, 5, 0});
	CU_ASSERT_DOUBLE_EQUAL (bb_ep_load (ep), 6, 0.01);
	/* An older report that arrives late is ignored. */
	bb_ep_reported (ep, &(struct bb_load){900, 50, 0});
	CU_ASSERT_DOUBLE_EQUAL (bb_ep_load (ep), 6, 0.01);
	bb_ep_done (ep, 1400);
	CU_ASSERT_DOUBLE_EQUAL (bb_ep_load (ep), 5, 0.01);
	/* This entry's requests in flight count even if the report lacks
	 * them. */
	bb_ep_reported (ep, &(struct bb_load){1450, 0, 0});
	CU_ASSERT_DOUBLE_EQUAL (bb_ep_load (ep), 1, 0.01);
	bb_finish (&bb);
}

static void
test_shares_sum (void)
{
	uint32_t concurrency = 0;
	uint32_t rate = 0;

	for (uint32_t i = 0; i < 9; i++) {
		char self[8];
		struct bb bb;

		t_inv_init (&old_inv, 3, 9, 1, 2);
		old_inv.accounts[0].concurrency = 13;
		old_inv.accounts[0].rate_per_s = 9;
		snprintf (self, sizeof self, "e%u", i);
		bb_init (&bb, self);
		bb_apply_inv (&bb, &old_inv.inv, 1);
		concurrency += bb.accounts[0]->quota.concurrency;
		rate += bb.accounts[0]->quota.rate_milli;
		CU_ASSERT_EQUAL (bb.accounts[1]->quota.concurrency,
				 BB_NO_LIMIT);
		bb_finish (&bb);
	}
	CU_ASSERT_EQUAL (concurrency, 13);
	CU_ASSERT_EQUAL (rate, 9000);
}

/* The bucket is refilled at the rate of each share only while that share is
 * valid. */
static void
test_bucket (void)
{
	static const struct {
		uint64_t at_ms;
		int quota, base_quota; /* -1: not changed */
		uint64_t until_ms;
		double tokens;
	} c[] = {
		{1000, 0, 0, UINT64_MAX, 10}, /* cut at the next refill */
		{2000, 1000, 0, 9000, 0}, /* no tokens for the time before */
		{3000, 10000, 8000, 3500, 1},
		{3600, -1, -1, 0, 6.8}, /* 1 + 5 at the borrowed rate + 0.8 */
		{3700, 1000, 1000, UINT64_MAX, 7.6},
		{3700, -1, -1, 0, 1},
		{3800, 4000, 2000, 4000, 1},
		{4100, -1, -1, 0, 2}, /* 1 + 0.8 + 0.2 */
	};
	double retry_ms = 0;
	struct bb bb;
	struct bb_account *a;

	t_inv_init (&old_inv, 1, 1, 1, 1);
	old_inv.accounts[0].rate_per_s = 10;
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &old_inv.inv, 1);
	a = bb.accounts[0];
	for (unsigned i = 0; i < G_N_ELEMENTS (c); i++) {
		if (c[i].quota >= 0)
			bb_account_set_quota (
				a, &(struct bb_quota){c[i].quota, 0},
				&(struct bb_quota){c[i].base_quota, 0},
				c[i].until_ms, c[i].at_ms);
		else
			CU_ASSERT_EQUAL (bb_account_rate_allows (a, c[i].at_ms,
								 &retry_ms),
					 c[i].tokens >= 1);
		CU_ASSERT_DOUBLE_EQUAL (a->tokens, c[i].tokens, 0.01);
	}
	bb_finish (&bb);
}

static void
test_unavailable (void)
{
	struct bb bb;
	struct bb_ep *ep;

	t_inv_init (&old_inv, 1, 1, 1, 1);
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &old_inv.inv, 1000);
	ep = bb.eps[0];
	CU_ASSERT_TRUE (bb_ep_available (ep));
	ep->leaving = true;
	CU_ASSERT_FALSE (bb_ep_available (ep));
	ep->leaving = false;
	bb_ep_down (ep, 1100);
	CU_ASSERT_FALSE (bb_ep_available (ep));
	bb_ep_up (ep, 1200);
	CU_ASSERT_TRUE (bb_ep_available (ep));
	CU_ASSERT_EQUAL (ep->warmup, BB_COLD);
	old_inv.domains[0].drained = true;
	bb_apply_inv (&bb, &old_inv.inv, 1300);
	CU_ASSERT_FALSE (bb_ep_available (ep));
	bb_finish (&bb);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"records keep their address", test_records_keep_address},
		{"load from lagging reports", test_lagging_load},
		{"quota shares sum to the limit", test_shares_sum},
		{"token bucket while shares change", test_bucket},
		{"endpoints that are not available", test_unavailable},
		{NULL, NULL},
	};

	return t_run ("bb", cases);
}
