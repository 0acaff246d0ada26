/*
 * Admission: order, fairness, eviction, early refusal, limits.
 */
#include <stdio.h>
#include <string.h>

#include "adm.h"
#include "t_inv.h"
#include "t_run.h"

#define REQS 600

/* One entry's queue, with requests to fill it. */
static struct t_inv inv;
static struct bb bb;
static struct adm adm;
static struct adm_req reqs[REQS];
static uint32_t used;
static struct adm_verdict verdict;

static void
start_with (const struct adm_settings *set)
{
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &inv.inv, 1);
	adm_init (&adm, &bb, set);
	memset (reqs, 0, sizeof reqs);
	used = 0;
}

static void
start (void)
{
	t_inv_init (&inv, 1, 1, 2, 8);
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
}

static void
stop (void)
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
can_all (struct adm_req *r, void *ctx)
{
	(void)r;
	(void)ctx;
	return ADM_ELIGIBLE;
}

static enum adm_eligible
can_none (struct adm_req *r, void *ctx)
{
	(void)r;
	(void)ctx;
	return ADM_POOL_BLOCKED;
}

/* Says no to one request, or to all of one account or pool. */
static enum adm_eligible
can_but (struct adm_req *r, void *ctx)
{
	if (ctx == r->pool)
		return ADM_POOL_BLOCKED;
	return ctx == r || ctx == r->account ? ADM_BLOCKED : ADM_ELIGIBLE;
}

static uint32_t
next_tier (uint64_t now_ms)
{
	struct adm_req *r = adm_next (&adm, now_ms, can_all, NULL);

	return r == NULL ? 0 : r->klass->def.tier;
}

static void
test_order (void)
{
	/* Tier, target and time waited of two requests; which goes first. */
	static const struct {
		const char *what;
		uint32_t tier[2];
		uint32_t ttft_ms[2];
		uint32_t waited_ms[2];
		uint32_t first;
	} rows[] = {
		{"equal slack: higher tier", {5, 1}, {500, 500}, {0, 0}, 1},
		{"late low tier, urgent high", {5, 1}, {900, 320}, {900, 0}, 1},
		{"urgent low tier, high has time",
		 {2, 1},
		 {500, 9000},
		 {500, 0},
		 2},
		{"high below the guard goes first",
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
		start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
		for (uint32_t j = 0; j < 2; j++) {
			submit (rows[i].tier[j], 0, now - rows[i].waited_ms[j]);
		}
		if (next_tier (now) != rows[i].first)
			CU_FAIL_FATAL (rows[i].what);
		stop ();
	}
}

/* A tier that never stops waiting leaves others their share, and no more. */
static void
test_minimum_share (void)
{
	uint32_t got[INV_TIERS + 1] = {0};

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[4].share_permille = 100;
	inv.classes[3].share_permille = 50;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
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
	stop ();
}

/* Accounts share by tokens over weight, whatever their requests' lengths. */
static void
test_least_served (void)
{
	static const uint32_t weight[3] = {1, 1, 2};
	static const uint32_t tokens[3] = {400, 50, 100};
	double served[3] = {0};

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.accounts[2].weight = 2;
	inv.classes[1].deadline_ms = 60000;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 180; i++)
		for (uint32_t k = 0; k < 3; k++)
			submit (2, k, 1000);
	for (int i = 0; i < 200; i++) {
		struct adm_req *r = adm_next (&adm, 1001, can_all, NULL);
		uint32_t k = 0;

		while (bb.accounts[k] != r->account)
			k++;
		served[k] += (10 + tokens[k]) / (double)weight[k];
		adm_done (&adm, r, tokens[k], true);
	}
	CU_ASSERT_DOUBLE_EQUAL (served[1] / served[0], 1, 0.1);
	CU_ASSERT_DOUBLE_EQUAL (served[2] / served[0], 1, 0.1);
	stop ();
}

/* An account that was idle while others were served saves nothing up. */
static void
test_no_saving (void)
{
	uint32_t in_row = 0;
	struct adm_req *r;

	start ();
	for (int i = 0; i < 100; i++)
		submit (2, 0, 1000);
	submit (2, 1, 1000);
	for (int i = 0; i < 80; i++)
		adm_done (&adm, adm_next (&adm, 1001, can_all, NULL), 50, true);
	for (int i = 0; i < 20; i++)
		submit (2, 1, 1002);
	do {
		r = adm_next (&adm, 1003, can_all, NULL);
		in_row++;
	} while (r->account == bb.accounts[1]);
	CU_ASSERT (in_row <= 3);
	stop ();
}

/* What is charged for an unknown length is settled when it is known. */
static void
test_settled (void)
{
	struct adm_req *r;

	start ();
	for (int i = 0; i < 4; i++) {
		submit (2, 0, 1000);
		submit (2, 1, 1000);
	}
	r = adm_next (&adm, 1001, can_all, NULL);
	CU_ASSERT_EQUAL (r->charged, 210); /* prompt and first guess */
	CU_ASSERT_PTR_NOT_EQUAL (adm_next (&adm, 1001, can_all, NULL)->account,
				 r->account);
	adm_done (&adm, r, 5, true);
	/* It cost much less than the other's charge: it goes again. */
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1001, can_all, NULL)->account,
			     r->account);
	stop ();
}

static void
test_full_queue (void)
{
	/* Queued by tier, tier that comes, tier put out; 0: it is refused. */
	static const struct {
		const char *what;
		uint32_t queued[INV_TIERS];
		uint32_t tier;
		uint32_t out;
		bool in;
	} rows[] = {
		{"lowest tier goes", {4, 4, 4, 4, 4}, 1, 5, true},
		{"protected places stay", {10, 4, 4, 2, 0}, 1, 3, true},
		{"own tier full: refused", {0, 0, 4, 8, 8}, 5, 0, false},
		{"never a higher tier", {10, 10, 0, 0, 0}, 4, 0, true},
		{"no higher for a lower", {8, 8, 4, 0, 0}, 3, 0, false},
		{"middle tier", {5, 5, 5, 5, 0}, 3, 4, true},
	};
	static const struct adm_settings set = {
		.queue_max = 20, .protect = 2, .guard_ms = 250};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		bool in;
		bool ok;

		t_inv_init (&inv, 1, 1, 1, 8);
		start_with (&set);
		for (uint32_t t = 0; t < INV_TIERS; t++)
			for (uint32_t n = 0; n < rows[i].queued[t]; n++)
				submit (t + 1, 0, 1000 + n);
		in = submit (rows[i].tier, 0, 1100) != NULL;
		ok = in == rows[i].in;
		if (rows[i].out == 0)
			ok = ok && verdict.victim == NULL;
		else /* of that tier, its latest deadline */
			ok = ok && verdict.victim != NULL &&
			     verdict.victim_kind == ERR_OVERLOAD &&
			     verdict.victim->state == ADM_INACTIVE &&
			     verdict.victim->klass->def.tier == rows[i].out &&
			     verdict.victim->arrived_ms ==
				     1000 + rows[i].queued[rows[i].out - 1] - 1;
		if (!ok)
			CU_FAIL (rows[i].what);
		stop ();
	}
}

/* An account that floods its class does not keep others out. */
static void
test_flooded_class (void)
{
	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[2].queue_max = 20;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (uint32_t i = 0; i < 20; i++)
		submit (3, 0, 1000 + i);
	CU_ASSERT_PTR_NULL (submit (3, 0, 1050));
	CU_ASSERT_EQUAL (verdict.why, ADM_WHY_CLASS_FULL);
	CU_ASSERT_PTR_NOT_NULL (submit (3, 1, 1050));
	CU_ASSERT_PTR_EQUAL (verdict.victim, &reqs[19]);
	stop ();
}

/* With a known rate, what cannot start in time is refused at once. */
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
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	/* One dispatch each 50 ms while others wait: 20 in a second. */
	for (int i = 0; i < 40; i++) {
		submit (1, 0, now);
		submit (1, 0, now);
		adm_next (&adm, now, can_none, NULL);
		now += 50;
		adm_done (&adm, adm_next (&adm, now, can_all, NULL), 9, true);
		while (adm_expire (&adm, now, &verdict) != NULL)
			;
	}
	for (uint32_t i = 0; i < used; i++)
		adm_cancel (&adm, &reqs[i]);
	submit (1, 0, now);
	adm_next (&adm, now, can_none, NULL);
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
	stop ();
}

static void
test_expiry (void)
{
	struct adm_req *first;
	struct adm_req *gone;

	start ();
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
	stop ();
}

static void
test_account_limits (void)
{
	struct adm_req *r;
	uint32_t in = 0;

	t_inv_init (&inv, 1, 1, 1, 8);
	inv.accounts[0].rate_per_s = 5;
	inv.accounts[1].concurrency = 2;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 20; i++)
		in += submit (2, 0, 1000) != NULL;
	CU_ASSERT_EQUAL (in, 5);
	CU_ASSERT_EQUAL (verdict.kind, ERR_RATE_LIMIT);
	CU_ASSERT_PTR_NOT_NULL (submit (2, 0, 1210));
	while (adm_next (&adm, 1210, can_all, NULL) != NULL)
		;
	for (int i = 0; i < 3; i++)
		submit (2, 1, 1300);
	submit (2, 2, 1301);
	r = adm_next (&adm, 1302, can_all, NULL);
	CU_ASSERT_PTR_EQUAL (r->account, bb.accounts[1]);
	/* One more of it, and one of the account without limit. */
	adm_next (&adm, 1302, can_all, NULL);
	CU_ASSERT_PTR_NOT_NULL (adm_next (&adm, 1302, can_all, NULL));
	CU_ASSERT_EQUAL (bb.accounts[1]->in_flight, 2);
	CU_ASSERT_EQUAL (bb.accounts[2]->in_flight, 1);
	CU_ASSERT_PTR_NULL (adm_next (&adm, 1302, can_all, NULL));
	adm_done (&adm, r, 1, true);
	CU_ASSERT_PTR_NOT_NULL (adm_next (&adm, 1302, can_all, NULL));
	stop ();
}

/* What cannot run now does not hold back what can. */
static void
test_not_blocked (void)
{
	struct adm_req *head;
	struct adm_req *r;

	t_inv_init (&inv, 1, 1, 2, 8);
	inv.inv.model_count = 2;
	strcpy (inv.models[1], "n");
	inv.endpoints[1].model_ix[0] = 1;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	head = submit (1, 0, 1000);
	submit (1, 0, 1001);
	submit (1, 1, 1002);
	used++;
	reqs[3] = (struct adm_req){.klass = bb.classes[4],
				   .account = bb.accounts[0],
				   .pool = bb.models[1],
				   .arrived_ms = 1000};
	adm_submit (&adm, &reqs[3], 1000, &verdict);
	/* A blocked pool: the other one's low tier runs. */
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1003, can_but, bb.models[0]),
			     &reqs[3]);
	/* A request that must wait: the same account's next one runs. */
	r = adm_next (&adm, 1003, can_but, head);
	CU_ASSERT_PTR_EQUAL (r, &reqs[1]);
	/* An account none of whose requests can run: another's runs. */
	r = adm_next (&adm, 1003, can_but, bb.accounts[0]);
	CU_ASSERT_PTR_EQUAL (r, &reqs[2]);
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1003, can_all, NULL), head);
	stop ();
}

/* Credits held back for high tiers. */
static enum adm_eligible
can_high (struct adm_req *r, void *ctx)
{
	(void)ctx;
	return r->klass->def.tier <= 2 ? ADM_ELIGIBLE : ADM_POOL_BLOCKED;
}

/* A low tier that is owed its share and blocked does not block a high one. */
static void
test_blocked_tier (void)
{
	t_inv_init (&inv, 1, 1, 1, 8);
	inv.classes[4].share_permille = 1000;
	start_with (&(struct adm_settings)ADM_SETTINGS_DEFAULT);
	for (int i = 0; i < 3; i++) {
		submit (1, 0, 1000);
		submit (5, 0, 1000);
	}
	CU_ASSERT_EQUAL (next_tier (1001), 1);
	CU_ASSERT_EQUAL (next_tier (1001), 5);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_PTR_NOT_NULL (adm_next (&adm, 1001, can_high, NULL));
	CU_ASSERT_PTR_NULL (adm_next (&adm, 1001, can_high, NULL));
	stop ();
}

static void
test_refund (void)
{
	struct adm_req *r;

	start ();
	submit (2, 0, 1000);
	submit (2, 1, 1001);
	submit (2, 1, 1001);
	r = adm_next (&adm, 1002, can_but, bb.accounts[1]);
	CU_ASSERT_PTR_EQUAL (r->account, bb.accounts[0]);
	adm_done (&adm, adm_next (&adm, 1002, can_all, NULL), 1, true);
	/* What never ran costs its account nothing. */
	CU_ASSERT_TRUE (adm_requeue (&adm, r, 1003, &verdict));
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1004, can_all, NULL), r);
	stop ();
}

static void
test_requeue (void)
{
	struct adm_req *r;

	start ();
	submit (2, 0, 1000);
	submit (2, 0, 1001);
	r = adm_next (&adm, 1002, can_all, NULL);
	adm_drain (&adm);
	CU_ASSERT_PTR_NULL (submit (2, 1, 1003));
	CU_ASSERT_EQUAL (verdict.kind, ERR_LEAVING);
	/* What was admitted before goes on, also on a second attempt. */
	CU_ASSERT_TRUE (adm_requeue (&adm, r, 9000, &verdict));
	CU_ASSERT_EQUAL (bb.accounts[0]->in_flight, 0);
	CU_ASSERT_PTR_EQUAL (adm_expire (&adm, 9000, &verdict), &reqs[1]);
	CU_ASSERT_PTR_NULL (adm_expire (&adm, 9000, &verdict));
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 9000, can_all, NULL), r);
	stop ();
}

/* Accounts and classes that go while their requests wait and run. */
static void
test_inventory_change (void)
{
	static struct t_inv less;
	struct adm_req *r;

	start ();
	submit (5, 7, 1000);
	submit (5, 7, 1001);
	r = adm_next (&adm, 1002, can_all, NULL);
	t_inv_init (&less, 1, 1, 2, 4);
	less.inv.class_count = 4;
	bb_apply_inv (&bb, &less.inv, 1003);
	adm_sweep (&adm);
	CU_ASSERT_PTR_EQUAL (adm_next (&adm, 1004, can_all, NULL), &reqs[1]);
	adm_done (&adm, r, 5, true);
	adm_done (&adm, &reqs[1], 5, true);
	adm_sweep (&adm);
	bb_sweep (&bb);
	CU_ASSERT_EQUAL (adm.lanes->len, 0);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_ACCOUNT]), 4);
	CU_ASSERT_EQUAL (g_hash_table_size (bb.by_name[BB_CLASS]), 4);
	stop ();
}

static void
test_pressure (void)
{
	struct adm_backlog p;

	start ();
	submit (1, 0, 1000);
	submit (1, 1, 1050);
	submit (4, 0, 1000);
	adm_backlog (&adm, bb.models[0], 1100, &p);
	CU_ASSERT_EQUAL (p.waiting[0], 2);
	CU_ASSERT_EQUAL (p.slack_ms[0], 220);
	CU_ASSERT_EQUAL (p.waiting[3], 1);
	CU_ASSERT_EQUAL (p.waiting[4], 0);
	stop ();
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"order of classes", test_order},
		{"minimum share", test_minimum_share},
		{"least served account first", test_least_served},
		{"idle accounts save nothing up", test_no_saving},
		{"charges are settled", test_settled},
		{"full queue", test_full_queue},
		{"flooded class", test_flooded_class},
		{"doomed requests", test_doomed},
		{"expiry and cancelling", test_expiry},
		{"limits of accounts", test_account_limits},
		{"blocked requests hold nothing back", test_not_blocked},
		{"blocked low tier", test_blocked_tier},
		{"second attempts cost once", test_refund},
		{"second attempts, and draining", test_requeue},
		{"inventory changes under traffic", test_inventory_change},
		{"pressure", test_pressure},
		{NULL, NULL},
	};

	return t_run ("adm", cases);
}
