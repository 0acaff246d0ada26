/*
 * Admission queue: order of dispatch, fairness between client accounts,
 * eviction, early refusal and account limits.
 */
#include <stdio.h>
#include <string.h>

#include "adm.h"
#include "t_inv.h"
#include "t_run.h"

#define REQS 600

/* The admission queue of one entry, and requests to fill it. */
static struct t_inv inv;
static struct bb bb;
static struct adm adm;
static struct adm_req reqs[REQS];
static uint32_t used;
static struct adm_verdict verdict;

static void
setup_with (const struct adm_settings *set)
{
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &inv.inv, 1);
	adm_init (&adm, &bb, set);
	memset (reqs, 0, sizeof reqs);
	used = 0;
}

static void
setup (void)
{
	t_inv_init (&inv, 1, 1, 2, 8);
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
}

static void
teardown (void)
{
	adm_finish (&adm);
	bb_finish (&bb);
}

static struct adm_req *
submit (uint32_t tier, uint32_t account, uint64_t now_ms)
{
	struct adm_req *r = &reqs[used++];

	r->klass = bb.classes[tier - 1];
	r->account = bb.accounts[account];
	r->pool = bb.models[0];
	r->arrived_ms = now_ms;
	r->prompt_tokens = 10;
	return adm_submit (&adm, r, now_ms, &verdict) ? r : NULL;
}

static enum adm_eligible
allow_all (struct adm_req *r, void *ctx)
{
	(void)r;
	(void)ctx;
	return ADM_ELIGIBLE;
}

static enum adm_eligible
block_pool (struct adm_req *r, void *ctx)
{
	(void)r;
	(void)ctx;
	return ADM_POOL_BLOCKED;
}

/* Blocks the request, account or pool that @ctx points to. */
static enum adm_eligible
block_ctx (struct adm_req *r, void *ctx)
{
	if (ctx == r->pool)
		return ADM_POOL_BLOCKED;
	return ctx == r || ctx == r->account ? ADM_BLOCKED : ADM_ELIGIBLE;
}

static uint32_t
next_tier (uint64_t now_ms)
{
	struct adm_req *r = adm_next (&adm, now_ms, allow_all, NULL);

	return r == NULL ? 0 : r->klass->def.tier;
}

static void
test_dispatch_order (void)
{
	/* Tier, first-token target and time waited of two requests, and the
	 * tier that is dispatched first. */
	static const struct {
		const char *what;
		uint32_t tier[2];
		uint32_t ttft_ms[2];
		uint32_t waited_ms[2];
		uint32_t first;
	} rows[] = {
		{"equal slack: higher tier", {5, 1}, {500, 500}, {0, 0}, 1},
		{"late low tier, urgent high tier",
		 {5, 1},
		 {900, 320},
		 {900, 0},
		 1},
		{"late low tier, high tier has slack",
		 {2, 1},
		 {500, 9000},
		 {500, 0},
		 2},
		{"high tier with less slack than guard",
		 {2, 1},
		 {500, 9000},
		 {500, 8800},
		 1},
		{"same tier: least slack", {3, 3}, {900, 900}, {100, 500}, 3},
	};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		uint64_t now = 20000;

		t_inv_init (&inv, 1, 1, 1, 8);
		for (int j = 0; j < 2; j++) {
			struct inv_class *c = &inv.classes[rows[i].tier[j] - 1];

			c->ttft_ms = rows[i].ttft_ms[j];
			c->deadline_ms = 20000;
		}
		setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
		for (uint32_t j = 0; j < 2; j++) {
			submit (rows[i].tier[j], 0, now - rows[i].waited_ms[j]);
		}
		if (next_tier (now) != rows[i].first)
			CU_FAIL_FATAL (rows[i].what);
		teardown ();
	}
}

/* A high tier with a constant backlog must not starve lower tiers: each gets
 * its minimum share of dispatches, and no more. */
static void
test_minimum_share (void)
{
	uint32_t got[INV_TIERS + 1] = {0};

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[4].share_permille = 100;
	inv.classes[3].share_permille = 50;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 100; i++) {
		submit (1, 0, 1000);
		submit (4, 0, 1000);
		submit (5, 0, 1000);
	}
	for (int i = 0; i < 100; i++)
		got[next_tier (1001)]++;
	CU_ASSERT (got[5] >= 9 && got[5] <= 11);
	CU_ASSERT (got[4] >= 4 && got[4] <= 6);
	CU_ASSERT_EQUAL (got[1] + got[4] + got[5], 100);
	teardown ();
}

/* Accounts get tokens in proportion to their weight, independent of the length
 * of their requests. */
static void
test_least_service (void)
{
	static const uint32_t weight[3] = {1, 1, 2};
	static const uint32_t tokens[3] = {400, 50, 100};
	double served[3] = {0};

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.accounts[2].weight = 2;
	inv.classes[1].deadline_ms = 60000;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 180; i++)
		for (uint32_t k = 0; k < 3; k++)
			submit (2, k, 1000);
	for (int i = 0; i < 200; i++) {
		struct adm_req *r = adm_next (&adm, 1001, allow_all, NULL);
		uint32_t k = 0;

		while (bb.accounts[k] != r->account)
			k++;
		served[k] += (10 + tokens[k]) / (double)weight[k];
		adm_done (&adm, r, tokens[k], true);
	}
	CU_ASSERT_DOUBLE_EQUAL (served[1] / served[0], 1, 0.1);
	CU_ASSERT_DOUBLE_EQUAL (served[2] / served[0], 1, 0.1);
	teardown ();
}

/* An account that was idle gains no credit: it must not get a long run of
 * dispatches when it becomes active again. */
static void
test_idle_gains_no_credit (void)
{
	uint32_t in_row = 0;
	struct adm_req *r;

	setup ();
	for (int i = 0; i < 100; i++)
		submit (2, 0, 1000);
	submit (2, 1, 1000);
	for (int i = 0; i < 80; i++)
		adm_done (&adm, adm_next (&adm, 1001, allow_all, NULL), 50,
			  true);
	for (int i = 0; i < 20; i++)
		submit (2, 1, 1002);
	do {
		r = adm_next (&adm, 1003, allow_all, NULL);
		in_row++;
	} while (r->account == bb.accounts[1]);
	CU_ASSERT (in_row <= 3);
	teardown ();
}

/* The estimate charged at dispatch is replaced by the actual tokens when the
 * request ends. */
static void
test_charge_corrected (void)
{
	struct adm_req *r;

	setup ();
	for (int i = 0; i < 4; i++) {
		submit (2, 0, 1000);
		submit (2, 1, 1000);
	}
	r = adm_next (&adm, 1001, allow_all, NULL);
	/* 10 prompt tokens and 200 for the output, by default. */
	CU_ASSERT_EQUAL (r->charged_tokens, 210);
	CU_ASSERT_PTR_NOT_EQUAL (
		adm_next (&adm, 1001, allow_all, NULL)->account, r->account);
	adm_done (&adm, r, 5, true);
	/* It cost much less than the other account was charged, so its account
	 * goes first again. */
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1001, allow_all, NULL)->account,
			     r->account);
	teardown ();
}

static void
test_full_queue (void)
{
	/* Queued requests by tier, tier of the new request, tier of the evicted
	 * request (0: none), and whether the new request is queued. */
	static const struct {
		const char *what;
		uint32_t queued[INV_TIERS];
		uint32_t tier;
		uint32_t out;
		bool in;
	} rows[] = {
		{"evicts the lowest tier", {4, 4, 4, 4, 4}, 1, 5, true},
		{"reserve of a class is kept", {10, 4, 4, 2, 0}, 1, 3, true},
		{"no lower tier: refused", {0, 0, 4, 8, 8}, 5, 0, false},
		{"below its reserve: admitted", {10, 10, 0, 0, 0}, 4, 0, true},
		{"higher tiers are not evicted", {8, 8, 4, 0, 0}, 3, 0, false},
		{"evicts from a tier below its own",
		 {5, 5, 5, 5, 0},
		 3,
		 4,
		 true},
	};
	static const struct adm_settings set = {
		.queue_max = 20, .class_reserve = 2, .guard_ms = 250};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		bool in;
		bool ok;

		t_inv_init (&inv, 1, 1, 1, 8);
		setup_with (&set);
		for (uint32_t t = 0; t < INV_TIERS; t++)
			for (uint32_t n = 0; n < rows[i].queued[t]; n++)
				submit (t + 1, 0, 1000 + n);
		in = submit (rows[i].tier, 0, 1100) != NULL;
		ok = in == rows[i].in;
		if (rows[i].out == 0)
			ok = ok && verdict.victim == NULL;
		else /* the latest deadline of that tier */
			ok = ok && verdict.victim != NULL &&
			     verdict.victim_kind == ERR_OVERLOAD &&
			     verdict.victim->state == ADM_INACTIVE &&
			     verdict.victim->klass->def.tier == rows[i].out &&
			     verdict.victim->arrived_ms ==
				     1000 + rows[i].queued[rows[i].out - 1] - 1;
		if (!ok)
			CU_FAIL (rows[i].what);
		teardown ();
	}
}

/* An account that fills the queue of its class must not keep other accounts
 * out: it loses the request with the latest deadline. */
static void
test_account_fills_class (void)
{
	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[2].queue_max = 20;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (uint32_t i = 0; i < 20; i++)
		submit (3, 0, 1000 + i);
	CU_ASSERT_PTR_NULL (submit (3, 0, 1050));
	CU_ASSERT_EQUAL (verdict.why, ADM_WHY_CLASS_FULL);
	CU_ASSERT_PTR_NOT_NULL (submit (3, 1, 1050));
	CU_ASSERT_PTR_EQUAL (verdict.victim, &reqs[19]);
	teardown ();
}

/* Once the rate of the pool is known, requests that cannot be dispatched before
 * their deadline are refused at submission. */
static void
test_doomed (void)
{
	uint32_t in[INV_TIERS] = {0};
	uint64_t now = 1000;

	t_inv_init (&inv, 1, 1, 1, 8);
	for (int i = 0; i < INV_TIERS; i++) {
		inv.classes[i].deadline_ms = 1000;
		inv.classes[i].ttft_ms = 1000;
	}
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	/* One dispatch every 50 ms while others wait: 20 per second. */
	for (int i = 0; i < 40; i++) {
		submit (1, 0, now);
		submit (1, 0, now);
		adm_next (&adm, now, block_pool, NULL);
		now += 50;
		adm_done (&adm, adm_next (&adm, now, allow_all, NULL), 9, true);
		while (adm_expire (&adm, now, &verdict) != NULL)
			;
	}
	for (uint32_t i = 0; i < used; i++)
		adm_cancel (&adm, &reqs[i]);
	submit (1, 0, now);
	adm_next (&adm, now, block_pool, NULL);
	for (int i = 0; i < 15; i++) {
		in[0] += submit (1, 0, now) != NULL;
		in[2] += submit (3, 0, now) != NULL;
		in[4] += submit (5, 0, now) != NULL;
	}
	CU_ASSERT_EQUAL (in[0], 15);
	CU_ASSERT (in[2] >= 2 && in[2] <= 12);
	CU_ASSERT (in[4] < in[2]);
	CU_ASSERT_EQUAL (verdict.kind, ERR_DOOMED);
	CU_ASSERT (verdict.retry_after_ms >= 1000);
	teardown ();
}

static void
test_expiry (void)
{
	struct adm_req *first;
	struct adm_req *gone;

	setup ();
	submit (5, 0, 1000);
	gone = submit (1, 0, 1000);
	first = submit (1, 1, 1010);
	adm_cancel (&adm, gone);
	CU_ASSERT_EQUAL (adm_next_expiry (&adm), 1330);
	CU_ASSERT_PTR_NULL (adm_expire (&adm, 1329, &verdict));
	CU_ASSERT_PTR_EQUAL (adm_expire (&adm, 1330, &verdict), first);
	CU_ASSERT_EQUAL (verdict.kind, ERR_TIMEOUT_QUEUED);
	CU_ASSERT_PTR_NULL (adm_expire (&adm, 1330, &verdict));
	CU_ASSERT_EQUAL (adm.queued, 1);
	teardown ();
}

static void
test_account_limits (void)
{
	struct adm_req *r;
	uint32_t in = 0;

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.accounts[0].rate_per_s = 5;
	inv.accounts[1].concurrency = 2;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 20; i++)
		in += submit (2, 0, 1000) != NULL;
	CU_ASSERT_EQUAL (in, 5);
	CU_ASSERT_EQUAL (verdict.kind, ERR_RATE_LIMIT);
	CU_ASSERT_PTR_NOT_NULL (submit (2, 0, 1210));
	while (adm_next (&adm, 1210, allow_all, NULL) != NULL)
		;
	for (int i = 0; i < 3; i++)
		submit (2, 1, 1300);
	submit (2, 2, 1301);
	r = adm_next (&adm, 1302, allow_all, NULL);
	CU_ASSERT_PTR_EQUAL (r->account, bb.accounts[1]);
	/* One more of this account, and one of the account without a limit. */
	adm_next (&adm, 1302, allow_all, NULL);
	CU_ASSERT_PTR_NOT_NULL (adm_next (&adm, 1302, allow_all, NULL));
	CU_ASSERT_EQUAL (bb.accounts[1]->in_flight, 2);
	CU_ASSERT_EQUAL (bb.accounts[2]->in_flight, 1);
	CU_ASSERT_PTR_NULL (adm_next (&adm, 1302, allow_all, NULL));
	adm_done (&adm, r, 1, true);
	CU_ASSERT_PTR_NOT_NULL (adm_next (&adm, 1302, allow_all, NULL));
	teardown ();
}

/* Blocked requests must not hold up eligible ones (head-of-line blocking). */
static void
test_no_head_of_line_blocking (void)
{
	struct adm_req *head;
	struct adm_req *r;

	t_inv_init (&inv, 1, 1, 2, 8);
	inv.inv.model_count = 2;
	strcpy (inv.models[1], "n");
	inv.endpoints[1].model_ix[0] = 1;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	head = submit (1, 0, 1000);
	submit (1, 0, 1001);
	submit (1, 1, 1002);
	used++;
	reqs[3] = (struct adm_req){.klass = bb.classes[4],
				   .account = bb.accounts[0],
				   .pool = bb.models[1],
				   .arrived_ms = 1000};
	adm_submit (&adm, &reqs[3], 1000, &verdict);
	/* The first pool is blocked: the low tier of the second runs. */
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1003, block_ctx, bb.models[0]),
			     &reqs[3]);
	/* The first request is blocked: the next of its account runs. */
	r = adm_next (&adm, 1003, block_ctx, head);
	CU_ASSERT_PTR_EQUAL (r, &reqs[1]);
	/* All requests of an account are blocked: another account's runs. */
	r = adm_next (&adm, 1003, block_ctx, bb.accounts[0]);
	CU_ASSERT_PTR_EQUAL (r, &reqs[2]);
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1003, allow_all, NULL), head);
	teardown ();
}

/* Allows only tiers 1 and 2, as when credits are reserved for them. */
static enum adm_eligible
allow_high_tiers (struct adm_req *r, void *ctx)
{
	(void)ctx;
	return r->klass->def.tier <= 2 ? ADM_ELIGIBLE : ADM_POOL_BLOCKED;
}

/* A low tier that is owed its minimum share, and so goes first, but is blocked
 * must not block a higher tier of the same pool. */
static void
test_blocked_tier (void)
{
	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[4].share_permille = 1000;
	setup_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 3; i++) {
		submit (1, 0, 1000);
		submit (5, 0, 1000);
	}
	CU_ASSERT_EQUAL (next_tier (1001), 1);
	CU_ASSERT_EQUAL (next_tier (1001), 5);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_PTR_NOT_NULL (
			adm_next (&adm, 1001, allow_high_tiers, NULL));
	CU_ASSERT_PTR_NULL (adm_next (&adm, 1001, allow_high_tiers, NULL));
	teardown ();
}

static void
test_requeue_refunds (void)
{
	struct adm_req *r;

	setup ();
	submit (2, 0, 1000);
	submit (2, 1, 1001);
	submit (2, 1, 1001);
	r = adm_next (&adm, 1002, block_ctx, bb.accounts[1]);
	CU_ASSERT_PTR_EQUAL (r->account, bb.accounts[0]);
	adm_done (&adm, adm_next (&adm, 1002, allow_all, NULL), 1, true);
	/* Requeueing refunds the tokens charged at dispatch. */
	CU_ASSERT_TRUE (adm_requeue (&adm, r, 1003, &verdict));
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1004, allow_all, NULL), r);
	teardown ();
}

static void
test_requeue_draining (void)
{
	struct adm_req *r;

	setup ();
	submit (2, 0, 1000);
	submit (2, 0, 1001);
	r = adm_next (&adm, 1002, allow_all, NULL);
	adm_drain (&adm);
	CU_ASSERT_PTR_NULL (submit (2, 1, 1003));
	CU_ASSERT_EQUAL (verdict.kind, ERR_LEAVING);
	/* A request admitted before draining is still accepted for a retry. */
	CU_ASSERT_TRUE (adm_requeue (&adm, r, 9000, &verdict));
	CU_ASSERT_EQUAL (bb.accounts[0]->in_flight, 0);
	CU_ASSERT_PTR_EQUAL (adm_expire (&adm, 9000, &verdict), &reqs[1]);
	CU_ASSERT_PTR_NULL (adm_expire (&adm, 9000, &verdict));
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 9000, allow_all, NULL), r);
	teardown ();
}

/* Accounts and classes that are removed while they have requests queued and
 * running are freed only after these have ended. */
static void
test_inventory_change (void)
{
	static struct t_inv less;
	struct adm_req *r;

	setup ();
	submit (5, 7, 1000);
	submit (5, 7, 1001);
	r = adm_next (&adm, 1002, allow_all, NULL);
	t_inv_init (&less, 1, 1, 2, 4);
	less.inv.class_count = 4;
	bb_apply_inv (&bb, &less.inv, 1003);
	adm_sweep (&adm);
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1004, allow_all, NULL), &reqs[1]);
	adm_done (&adm, r, 5, true);
	adm_done (&adm, &reqs[1], 5, true);
	adm_sweep (&adm);
	bb_sweep (&bb);
	CU_ASSERT_EQUAL (adm.queues->len, 0);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_ACCOUNT]), 4);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_CLASS]), 4);
	teardown ();
}

static void
test_backlog (void)
{
	struct adm_backlog p;

	setup ();
	submit (1, 0, 1000);
	submit (1, 1, 1050);
	submit (4, 0, 1000);
	adm_backlog (&adm, bb.models[0], 1100, &p);
	CU_ASSERT_EQUAL (p.waiting[0], 2);
	CU_ASSERT_EQUAL (p.min_slack_ms[0], 220);
	CU_ASSERT_EQUAL (p.waiting[3], 1);
	CU_ASSERT_EQUAL (p.waiting[4], 0);
	teardown ();
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"order of classes", test_dispatch_order},
		{"minimum share", test_minimum_share},
		{"least served account first", test_least_service},
		{"idle accounts gain no credit", test_idle_gains_no_credit},
		{"charges are corrected at the end", test_charge_corrected},
		{"full queue", test_full_queue},
		{"one account fills its class", test_account_fills_class},
		{"requests predicted to miss the deadline", test_doomed},
		{"expiry and cancellation", test_expiry},
		{"account limits", test_account_limits},
		{"no head-of-line blocking", test_no_head_of_line_blocking},
		{"blocked low tier", test_blocked_tier},
		{"requeue refunds the charge", test_requeue_refunds},
		{"requeue while draining", test_requeue_draining},
		{"inventory change with requests in flight",
		 test_inventory_change},
		{"backlog of a pool", test_backlog},
		{NULL, NULL},
	};

	return t_run ("adm", cases);
}
