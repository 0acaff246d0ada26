/*
 * Endpoint selection: which endpoints are never chosen, which are preferred,
 * and how responses, losses and reclaims change the choice.
 */
#include <stdio.h>
#include <string.h>

#include "route.h"
#include "t_inv.h"
#include "t_run.h"

#define NOW 100000

static struct t_inv inv;
static struct bb bb;
static struct route route;
static struct route_verdict verdict;
static struct route_rules rules;
static struct retry_req tried;
static GPtrArray *ejected;

static void
start (const struct route_ops *ops)
{
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &inv.inv, 1);
	route_init (&route, &bb, &(struct route_settings)ROUTE_SETTINGS_DEFAULT,
		    ops, g_rand_new_with_seed (7));
	ejected = g_ptr_array_new ();
	rules = (struct route_rules){0};
	tried = (struct retry_req){0};
	for (uint32_t i = 0; i < inv.inv.endpoint_count; i++) {
		bb.eps[i]->credits = 8;
		bb.eps[i]->credits_until_ms = NOW * 10;
		bb.eps[i]->warmup = BB_WARM;
		bb.eps[i]->ttft_ms = 100;
		bb.eps[i]->ttft_base_ms = 100;
		bb.eps[i]->service_ms = 1000;
		bb.eps[i]->prefill_token_ms = 0.2;
		bb.eps[i]->samples = 20;
		bb.eps[i]->cold_end_ms = 1;
	}
}

static void
stop (void)
{
	g_ptr_array_free (ejected, TRUE);
	g_rand_free (route.rand);
	route_finish (&route);
	bb_finish (&bb);
}

static struct route_req
req (void)
{
	return (struct route_req){.pool = bb.models[0],
				  .klass = bb.classes[0],
				  .rules = &rules,
				  .tried = &tried};
}

static struct bb_ep *
choose (const struct route_req *q)
{
	route_choose (&route, q, NOW, &verdict);
	return verdict.ep;
}

static void
set_down (struct bb_ep *ep)
{
	ep->down = true;
}

static void
set_leaving (struct bb_ep *ep)
{
	ep->leaving = true;
}

static void
set_drained (struct bb_ep *ep)
{
	inv.endpoints[ep->inv - inv.endpoints].drained = true;
}

static void
set_domain_drained (struct bb_ep *ep)
{
	ep->domain->drained = true;
}

static void
set_avoid (struct bb_ep *ep)
{
	rules.avoid = UINT64_C (1) << ep->domain->ix;
}

static void
set_only (struct bb_ep *ep)
{
	rules.only = UINT64_C (1) << (1 - ep->domain->ix);
}

static void
set_no_reclaimable (struct bb_ep *ep)
{
	inv.endpoints[ep->inv - inv.endpoints].reclaimable = true;
	rules.no_reclaimable = true;
}

static void
set_reclaim (struct bb_ep *ep)
{
	inv.endpoints[ep->inv - inv.endpoints].reclaimable = true;
	ep->domain->reclaim_until_ms = NOW + 1;
}

static void
set_tried (struct bb_ep *ep)
{
	retry_mark_tried (&tried, ep);
}

static void
set_ejected (struct bb_ep *ep)
{
	ep->probing = true;
	ep->ejected_until_ms = NOW + 1;
}

static void
set_exclusive (struct bb_ep *ep)
{
	ep->exclusive_until_ms = NOW + 1;
}

static void
set_no_credit (struct bb_ep *ep)
{
	ep->credits = 0;
}

static void
set_credit_expired (struct bb_ep *ep)
{
	ep->credits_until_ms = NOW;
}

/* Each of these states excludes an endpoint, whatever the policy; policies
 * without credits ignore the lack of credits. */
static void
test_never_chosen (void)
{
	static const struct {
		void (*set) (struct bb_ep *);
		enum route_why why;
		bool baseline; /* also holds for policies without credits */
	} rows[] = {
		{set_down, ROUTE_DOWN, true},
		{set_leaving, ROUTE_LEAVING, true},
		{set_drained, ROUTE_DRAINED, true},
		{set_domain_drained, ROUTE_DRAINED, true},
		{set_avoid, ROUTE_RULE, true},
		{set_only, ROUTE_RULE, true},
		{set_no_reclaimable, ROUTE_RULE, true},
		{set_reclaim, ROUTE_RECLAIM, true},
		{set_tried, ROUTE_TRIED, true},
		{set_ejected, ROUTE_EJECTED, true},
		{set_exclusive, ROUTE_BUSY, true},
		{set_no_credit, ROUTE_NO_CREDIT, false},
		{set_credit_expired, ROUTE_NO_CREDIT, false},
	};
	static const struct route_ops *const all[] = {
		&route_predict, &route_random, &route_round_robin,
		&route_least_in_flight, &route_two_choices};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		for (unsigned p = 0; p < sizeof all / sizeof *all; p++) {
			struct route_req q;
			bool ok = true;

			t_inv_init (&inv, 2, 1, 2, 1);
			start (all[p]);
			q = req ();
			rows[i].set (bb.eps[0]);
			for (int n = 0; n < 20; n++)
				ok = ok && choose (&q) != NULL &&
				     (verdict.ep == bb.eps[1] ||
				      (p > 0 && !rows[i].baseline));
			if (p == 0)
				ok = ok && verdict.cand[0].why == rows[i].why;
			if (!ok)
				CU_FAIL (route_why_name (rows[i].why));
			stop ();
		}
	}
}

/* Each of these makes ep00 a better choice than ep01. */
static void
worse_load (struct bb_ep *ep)
{
	ep->load = (struct bb_load){NOW - 500, 6, 0};
}

static void
worse_since_report (struct bb_ep *ep)
{
	ep->load = (struct bb_load){NOW - 500, 0, 0};
	for (int i = 0; i < 5; i++)
		bb_ep_sent (ep, NOW - 100);
}

static void
worse_slow (struct bb_ep *ep)
{
	ep->ttft_ms = 150;
}

static void
worse_itl (struct bb_ep *ep)
{
	ep->itl_ms = 80;
}

static void
worse_distance (struct bb_ep *ep)
{
	ep->domain->distance_ms = 30;
}

static void
worse_price (struct bb_ep *ep)
{
	inv.endpoints[ep->inv - inv.endpoints].price_per_h *= 8;
}

static void
worse_queue (struct bb_ep *ep)
{
	bb.eps[0]->load = (struct bb_load){NOW - 1, 7, 0};
	ep->load = (struct bb_load){NOW - 1, 8, 2};
	ep->ttft_ms = 80; /* faster, but its slots are full */
}

static void
test_preferred (void)
{
	static void (*const worse[]) (struct bb_ep *) = {
		worse_load,     worse_since_report, worse_slow, worse_itl,
		worse_distance, worse_price,        worse_queue};

	for (unsigned i = 0; i < sizeof worse / sizeof *worse; i++) {
		struct route_req q;
		uint32_t good = 0;

		t_inv_init (&inv, 2, 1, 2, 1);
		start (&route_predict);
		q = req ();
		worse[i](bb.eps[1]);
		for (int n = 0; n < 20; n++)
			good += choose (&q) == bb.eps[0];
		if (good != 20)
			CU_FAIL ("the worse endpoint was chosen");
		stop ();
	}
}

static void
test_affinity (void)
{
	struct route_req q;

	t_inv_init (&inv, 1, 1, 4, 1);
	start (&route_predict);
	q = req ();
	q.prefix_count = 2;
	q.prefix[0] = 11;
	q.prefix[1] = 22;
	q.prefix_tokens[0] = 100;
	q.prefix_tokens[1] = 400;
	route_sent (&route, &q, bb.eps[2]);
	CU_ASSERT_PTR_EQUAL (choose (&q), bb.eps[2]);
	CU_ASSERT_EQUAL (verdict.cand[2].cached_tokens, 400);
	/* Affinity ends where the load exceeds the mean by too much. */
	bb.eps[2]->load = (struct bb_load){NOW, 3, 0};
	CU_ASSERT_PTR_NOT_EQUAL (choose (&q), bb.eps[2]);
	bb.eps[2]->load = (struct bb_load){0};
	/* After the eviction of the longer prefix the shorter one counts. */
	route_cache_hint (&route, bb.eps[2], 22, false);
	choose (&q);
	CU_ASSERT_EQUAL (verdict.cand[2].cached_tokens, 100);
	route_forget_endpoint (&route, bb.eps[2]);
	choose (&q);
	CU_ASSERT_EQUAL (verdict.cand[2].cached_tokens, 0);
	stop ();
}

static void
observe (struct bb_ep *ep, uint32_t first_ms, uint64_t now_ms)
{
	struct route_attempt s = {
		.sent_ms = now_ms - 1, .ttft_ms = first_ms, .complete = true};

	route_observe (&route, ep, &s, now_ms);
}

static void
test_outliers (void)
{
	struct route_req q;

	t_inv_init (&inv, 1, 1, 6, 1);
	start (&route_predict);
	q = req ();
	/* Half of them are very slow or fail: only a third is ejected. */
	bb.eps[0]->ttft_ms = 900;
	bb.eps[1]->ttft_ms = 800;
	bb.eps[2]->fails_in_row = 3;
	route_tick (&route, NOW, ejected);
	CU_ASSERT_EQUAL (ejected->len, 2);
	CU_ASSERT_PTR_EQUAL (g_ptr_array_index (ejected, 0), bb.eps[0]);
	CU_ASSERT_PTR_EQUAL (g_ptr_array_index (ejected, 1), bb.eps[1]);
	/* A slow endpoint may have turned cold; a failing one has not. */
	CU_ASSERT_EQUAL (bb.eps[0]->warmup, BB_COLD);
	CU_ASSERT_EQUAL (bb.eps[2]->warmup, BB_WARM);
	/* After the ejection it gets test requests, one at a time. */
	CU_ASSERT_EQUAL (bb.eps[0]->ejected_until_ms, NOW + 5000);
	for (uint32_t i = 1; i < 6; i++)
		bb.eps[i]->down = true;
	bb.eps[5]->down = false;
	bb.eps[5]->credits = 0;
	route_choose (&route, &q, NOW + 5000, &verdict);
	CU_ASSERT_PTR_EQUAL (verdict.ep, bb.eps[0]);
	CU_ASSERT_EQUAL (verdict.why, ROUTE_PROBE);
	bb_ep_sent (bb.eps[0], NOW + 5000);
	route_choose (&route, &q, NOW + 5000, &verdict);
	CU_ASSERT_PTR_NULL (verdict.ep);
	bb_ep_done (bb.eps[0], NOW + 5100);
	/* Still slow: ejected for twice as long.  Then it recovers. */
	observe (bb.eps[0], 900, NOW + 5100);
	route_tick (&route, NOW + 6000, ejected);
	CU_ASSERT_EQUAL (bb.eps[0]->ejected_until_ms, NOW + 16000);
	observe (bb.eps[0], 110, NOW + 16100);
	route_tick (&route, NOW + 17000, ejected);
	CU_ASSERT_FALSE (bb.eps[0]->probing);
	stop ();
}

/* Ejected endpoints serve if no other is left, but not if another one merely
 * lacks a credit. */
static void
test_last_resort (void)
{
	struct route_req q;

	t_inv_init (&inv, 1, 1, 3, 1);
	start (&route_predict);
	q = req ();
	set_ejected (bb.eps[0]);
	bb.eps[1]->down = true;
	bb.eps[2]->down = true;
	CU_ASSERT_EQUAL (route_available (&route, &q, NOW), ROUTE_CHOSEN);
	CU_ASSERT_PTR_EQUAL (choose (&q), bb.eps[0]);
	bb.eps[2]->down = false;
	bb.eps[2]->credits = 0;
	CU_ASSERT_EQUAL (route_available (&route, &q, NOW), ROUTE_NO_CREDIT);
	CU_ASSERT_PTR_NULL (choose (&q));
	CU_ASSERT_EQUAL (verdict.why, ROUTE_NO_CREDIT);
	stop ();
}

static void
test_turned_cold (void)
{
	struct bb_ep *ep;
	struct route_attempt s = {
		.sent_ms = NOW + 1, .ttft_ms = 700, .complete = true};

	t_inv_init (&inv, 1, 1, 1, 1);
	start (&route_predict);
	ep = bb.eps[0];
	observe (ep, 900, NOW);
	observe (ep, 100, NOW);
	observe (ep, 900, NOW);
	observe (ep, 900, NOW);
	CU_ASSERT_EQUAL (ep->warmup, BB_WARM);
	CU_ASSERT_EQUAL (route_observe (&route, ep, &s, NOW + 2),
			 ROUTE_TURNED_COLD);
	CU_ASSERT_EQUAL (ep->warmup, BB_COLD);
	CU_ASSERT_EQUAL (ep->cold_end_ms, 0);
	/* A response to a request sent before does not prove it warm. */
	CU_ASSERT_EQUAL (route_observe (&route, ep, &s, NOW + 3),
			 ROUTE_NO_CHANGE);
	s.sent_ms = NOW + 5;
	CU_ASSERT_EQUAL (route_observe (&route, ep, &s, NOW + 900),
			 ROUTE_PROVEN);
	CU_ASSERT_EQUAL (ep->warmup, BB_RAMP);
	route_tick (&route, NOW + 10899, ejected);
	CU_ASSERT_EQUAL (ep->warmup, BB_RAMP);
	route_tick (&route, NOW + 10900, ejected);
	CU_ASSERT_EQUAL (ep->warmup, BB_WARM);
	/* A long time to first token under high load does not mean cold. */
	ep->samples = 20;
	ep->ttft_base_ms = 100;
	s.load = 64;
	for (int i = 0; i < 5; i++)
		CU_ASSERT_EQUAL (route_observe (&route, ep, &s, NOW + 11000),
				 ROUTE_NO_CHANGE);
	stop ();
}

static void
test_reclaim (void)
{
	struct route_req q;

	t_inv_init (&inv, 2, 1, 8, 1);
	for (uint32_t i = 0; i < 8; i += 2)
		inv.endpoints[i].reclaimable = i < 6; /* all in d0 */
	start (&route_predict);
	q = req ();
	for (uint32_t i = 0; i < 8; i++)
		for (uint32_t n = 0; n < (i < 4 ? 2 : 6); n++)
			bb_ep_sent (bb.eps[i], NOW);
	/* Losses far apart, or of on-demand endpoints, are no reclaim. */
	CU_ASSERT_FALSE (
		route_endpoint_lost (&route, bb.eps[0], false, NOW - 9000));
	CU_ASSERT_FALSE (
		route_endpoint_lost (&route, bb.eps[0], false, NOW - 7000));
	CU_ASSERT_FALSE (
		route_endpoint_lost (&route, bb.eps[1], false, NOW - 6999));
	CU_ASSERT_FALSE (
		route_endpoint_lost (&route, bb.eps[3], false, NOW - 6999));
	CU_ASSERT_FALSE (
		route_endpoint_lost (&route, bb.eps[0], false, NOW - 900));
	CU_ASSERT_TRUE (route_endpoint_lost (&route, bb.eps[2], false, NOW));
	for (int n = 0; n < 30; n++) {
		struct bb_ep *ep = choose (&q);

		CU_ASSERT (ep != NULL && !ep->inv->reclaimable);
		bb_ep_done (ep, NOW);
		bb_ep_sent (ep, NOW);
	}
	/* 10 of 32 requests in flight are at risk: the reserve for high tiers
	 * is at its limit. */
	CU_ASSERT_EQUAL (route.reserve_permille, 300);
	q.klass = bb.classes[4];
	bb.eps[1]->in_flight = 7;
	bb.eps[3]->in_flight = 7;
	CU_ASSERT_PTR_NULL (choose (&q));
	CU_ASSERT_EQUAL (verdict.why, ROUTE_RESERVE);
	q.klass = bb.classes[1];
	CU_ASSERT_PTR_NOT_NULL (choose (&q));
	/* The reclaim ends by itself.  An announcement of the platform starts
	 * one with a single loss. */
	route_choose (&route, &q, NOW + 30000, &verdict);
	CU_ASSERT (verdict.cand[0].why != ROUTE_RECLAIM);
	CU_ASSERT_TRUE (
		route_endpoint_lost (&route, bb.eps[0], true, NOW + 60000));
	stop ();
}

static void
test_exclusive (void)
{
	struct route_req q;

	t_inv_init (&inv, 1, 1, 3, 1);
	start (&route_predict);
	q = req ();
	q.exclusive = true;
	bb_ep_sent (bb.eps[0], NOW);
	bb.eps[1]->load = (struct bb_load){NOW, 2, 0};
	CU_ASSERT_PTR_EQUAL (choose (&q), bb.eps[2]);
	bb_ep_sent (bb.eps[2], NOW);
	CU_ASSERT_PTR_NULL (choose (&q));
	CU_ASSERT_EQUAL (verdict.why, ROUTE_BUSY);
	stop ();
}

static void
test_rules (void)
{
	struct route_rules r;

	t_inv_init (&inv, 2, 1, 2, 2);
	inv.inv.rule_count = 4;
	inv.rules[0] = (struct inv_rule){
		.account = "a0", .action = INV_RULE_CLASS, .target_ix = 3};
	inv.rules[1] = (struct inv_rule){
		.klass = "t4", .action = INV_RULE_AVOID, .target_ix = 1};
	inv.rules[2] = (struct inv_rule){.model = "m",
					 .action = INV_RULE_NO_RECLAIMABLE};
	inv.rules[3] = (struct inv_rule){
		.name = "no", .account = "a1", .action = INV_RULE_DENY};
	start (&route_predict);
	route_rules (&bb, bb.accounts[0], bb.classes[0], NULL, &r);
	CU_ASSERT_PTR_EQUAL (r.klass, bb.classes[3]);
	CU_ASSERT_EQUAL (r.avoid,
			 2); /* by the class that the first rule sets */
	CU_ASSERT_FALSE (r.no_reclaimable);
	route_rules (&bb, bb.accounts[1], bb.classes[0], bb.models[0], &r);
	CU_ASSERT_TRUE (r.deny);
	CU_ASSERT_TRUE (r.no_reclaimable);
	CU_ASSERT_EQUAL (r.avoid, 0);
	CU_ASSERT_STRING_EQUAL (r.rule, "no");
	stop ();
}

static void
test_format (void)
{
	struct route_req q;
	char out[ROUTE_FORMAT_BYTES];

	t_inv_init (&inv, 1, 1, 32, 1);
	start (&route_least_in_flight);
	q = req ();
	bb.eps[0]->down = true;
	bb_ep_sent (bb.eps[1], NOW);
	choose (&q);
	route_format (&verdict, out);
	CU_ASSERT (strncmp (out, "ep00:down:0,ep01:worse:1", 24) == 0);
	CU_ASSERT (strlen (out) < sizeof out);
	CU_ASSERT_STRING_EQUAL (verdict.policy, "least");
	CU_ASSERT_EQUAL (verdict.ep->in_flight, 0);
	stop ();
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"never chosen", test_never_chosen},
		{"preferred", test_preferred},
		{"prefix affinity", test_affinity},
		{"outliers", test_outliers},
		{"ejected endpoints as last resort", test_last_resort},
		{"warm endpoint turns cold", test_turned_cold},
		{"reclaim of a domain", test_reclaim},
		{"exclusive requests", test_exclusive},
		{"rules", test_rules},
		{"log format", test_format},
		{NULL, NULL},
	};

	return t_run ("route", cases);
}
