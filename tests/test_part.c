/*
 * Limits over all entries: never above, whatever messages, clocks and
 * processes do; and at one entry alone nearly the whole in good weather.
 * Set DH_SOAK for more seeds, DH_SEED for one; DH_SIZE to measure frames at
 * the size of letter 1.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t_part.h"
#include "t_run.h"

#define NODES 5
#define FAULT_MS 60000

static struct t_inv inv;
static struct tp tp;

/* a0: 8 at once; a1: 20 a second; a2: fewer units than entries, and both. */
static void
setup (uint32_t nodes, uint32_t seed)
{
	t_inv_init (&inv, 2, nodes, 1, 4);
	for (uint32_t i = 0; i < INV_TIERS; i++)
		inv.classes[i].total_ms = TP_LIFE_MS;
	inv.accounts[0].concurrency = 8;
	inv.accounts[1].rate_per_s = 20;
	inv.accounts[2].concurrency = 3;
	inv.accounts[2].rate_per_s = 3;
	tp_init (&tp, &inv.inv, seed);
}

static bool
within (void)
{
	bool ok = tp.over == 0;

	/* A second's worth, and a token for each entry that borrows less. */
	for (uint32_t i = 0; i < tp.account_count; i++)
		ok = ok &&
		     (inv.accounts[i].rate_per_s == 0 ||
		      tp.accounts[i].burst <=
			      inv.accounts[i].rate_per_s + tp.node_count + 0.5);
	return ok;
}

static void
test_base (void)
{
	static const struct {
		uint32_t limit, entries, owners;
	} c[] = {{8, 4, 4},       {13, 9, 8},       {3, 360, 3},
		 {1, 5, 1},       {100, 360, 8},    {8, 360, 8},
		 {1439, 360, 8},  {1440, 360, 360}, {5000, 360, 360},
		 {1000000, 8, 8}, {7, 1, 1},        {40, 9, 9}};

	for (unsigned i = 0; i < G_N_ELEMENTS (c); i++) {
		uint64_t sum = 0;
		uint32_t owners = 0;

		for (uint32_t e = 0; e < c[i].entries; e++) {
			uint32_t b = part_base (c[i].limit, "works", e,
						c[i].entries);

			sum += b;
			owners += b > 0;
		}
		CU_ASSERT_EQUAL (sum, c[i].limit);
		CU_ASSERT_EQUAL (owners, c[i].owners);
	}
}

/* All traffic at one entry: nearly the whole limit within 4 seconds. */
static void
test_one_entry (void)
{
	for (uint32_t at = 0; at < NODES; at++) {
		uint64_t admitted, ran_ms = 0;

		setup (NODES, at + 1);
		tp.late_ms = 100;
		tp_run_for (&tp, 6000);
		tp_want (&tp, 0, at, 20, 0);
		tp_want (&tp, 1, at, 0, 40000);
		tp_want (&tp, 2, at, 9, 9000);
		tp_run_for (&tp, 4000);
		admitted = tp.accounts[1].admitted;
		for (int i = 0; i < 1000; i++) {
			tp_run_for (&tp, TP_STEP_MS);
			ran_ms += tp.accounts[0].running * TP_STEP_MS;
		}
		CU_ASSERT (ran_ms * 10 >= 9 * 8 * 10000);
		CU_ASSERT ((tp.accounts[1].admitted - admitted) * 10 >=
			   9 * 20 * 10);
		CU_ASSERT (tp.accounts[2].running >= 3);
		CU_ASSERT_EQUAL (tp.accounts[0].most, 8);
		CU_ASSERT_TRUE (within ());
		tp_finish (&tp);
	}
}

/* Traffic everywhere: no entry is left without, also where there are fewer
 * units than entries; and nothing is sent where each base suffices. */
static void
test_everywhere (void)
{
	uint64_t frames = 0;

	setup (NODES, 3);
	tp_run_for (&tp, 6000);
	for (uint32_t i = 0; i < NODES; i++) {
		tp_want (&tp, 0, i, 1, 0);
		frames += tp.nodes[i].frames;
	}
	tp_run_for (&tp, 6000);
	for (uint32_t i = 0; i < NODES; i++)
		frames -= tp.nodes[i].frames;
	CU_ASSERT_EQUAL (frames, 0);
	CU_ASSERT_EQUAL (tp.accounts[0].running, NODES);
	for (uint32_t i = 0; i < NODES; i++) {
		tp_want (&tp, 0, i, 10, 0);
		tp_want (&tp, 2, i, 10, 2000);
	}
	tp_run_for (&tp, 40000);
	for (uint32_t i = 0; i < NODES; i++) {
		CU_ASSERT (tp.accounts[0].started_at[i] >= 10);
		CU_ASSERT (tp.accounts[2].started_at[i] >= 5);
	}
	/* 3 at once of 1.5 s in the mean: 80 in 40 s.  3 a second: 120, but
	 * buckets of one token wait for arrivals, two a second at each entry:
	 * 2.2 a second. */
	CU_ASSERT (tp.accounts[2].started >= 60);
	CU_ASSERT (tp.accounts[2].admitted >= 72);
	CU_ASSERT_TRUE (within ());
	tp_finish (&tp);
}

/* The owner anew does not use its base while what it lent before still runs,
 * out of its reach. */
static void
test_owner_anew (void)
{
	setup (3, 1);
	tp.run_ms = 7800;
	tp_run_for (&tp, 6000);
	tp_want (&tp, 0, 1, 8, 0);
	tp_run_for (&tp, 1000);
	CU_ASSERT_EQUAL (tp.accounts[0].running, 8);
	for (uint32_t i = 0; i < NODES; i++)
		tp.cut[1 * 3 + i % 3] = tp.cut[i % 3 * 3 + 1] = true;
	tp_crash (&tp, 0);
	tp_start (&tp, 0);
	tp_want (&tp, 0, 0, 8, 0);
	tp_run_for (&tp, 20000);
	CU_ASSERT (tp.accounts[0].running > 0);
	CU_ASSERT_TRUE (within ());
	tp_finish (&tp);
}

/* One that stood still finds its loans run out, though it works before it
 * looks at anything else. */
static void
test_woken (void)
{
	setup (3, 1);
	tp.run_ms = 500;
	tp_run_for (&tp, 6000);
	tp_want (&tp, 0, 1, 8, 0);
	tp_want (&tp, 1, 1, 0, 40000);
	tp_run_for (&tp, 4000);
	CU_ASSERT_EQUAL (tp.accounts[0].most, 8);
	tp.nodes[1].frozen_until_ms = tp.now_ms + 15000;
	tp_want (&tp, 0, 0, 8, 0);
	tp_run_for (&tp, 18000);
	CU_ASSERT_TRUE (within ());
	tp_finish (&tp);
}

static struct part_grant got;
static struct part_given got_one;
static struct part_ask asked;

static void
keep_ask (struct bb_peer *to, const struct part_ask *m, void *ctx)
{
	(void)to;
	(void)ctx;
	asked = *m;
}

static void
keep_grant (struct bb_peer *to, const struct part_grant *m, void *ctx)
{
	(void)to;
	(void)ctx;
	got = *m;
	if (m->given.count > 0)
		got_one = *(struct part_given *)m->given.items;
}

static const struct part_ops keep = {keep_ask, keep_grant};
static const struct part_settings settings = {
	.ttl_ms = 3000, .margin_ms = 150, .ask_ms = 1000, .life_ms = 5000};

/* e0 alone, of two entries with four units each; e1 is what we say. */
static struct bb_account *
alone (struct bb *bb, struct part *p)
{
	t_inv_init (&inv, 1, 2, 1, 1);
	inv.accounts[0].concurrency = 8;
	bb_init (bb, "e0");
	bb_apply_inv (bb, &inv.inv, 0);
	part_init (p, bb, &settings, &keep, NULL, 1, 0);
	part_remap (p, 0);
	part_peer_up (p, bb->peers[1], 5, 0);
	part_on_ask (
		p, bb->peers[1],
		&(struct part_ask){.incarnation = 5, .owner = 1, .sent_ms = 1},
		1);
	part_tick (p, 4000);
	CU_ASSERT_EQUAL (bb_account_concurrency (bb->accounts[0], 4000), 4);
	return bb->accounts[0];
}

static void
test_owner (void)
{
	static const struct {
		uint64_t at_ms, incarnation, owner, applied, sent_ms;
		uint32_t waiting; /* here */
		int want, hold;   /* -1: the account is not named */
		int given;        /* -1: no answer */
		uint32_t own;
	} c[] = {
		{4000, 5, 1, 1, 100, 0, 4, 0, 4, 0},
		{5000, 5, 1, 2, 1100, 0, 4, 4, 4, 0},
		/* Wants it back; what runs there counts. */
		{6000, 5, 1, 3, 2100, 4, 4, 4, 0, 0},
		/* Late; of the process before; to the one before us. */
		{6100, 5, 1, 3, 1200, 4, 4, 0, -1, 0},
		{6200, 4, 1, 3, 9900, 4, 4, 0, -1, 0},
		{6300, 5, 0, 3, 2300, 4, 4, 0, -1, 0},
		{7000, 5, 1, 4, 3100, 4, 0, 1, 0, 3},
		{8000, 5, 1, 5, 4100, 4, -1, -1, 0, 4},
		/* A grant that is not taken counts as long as it could be. */
		{13000, 5, 1, 6, 9100, 0, 4, 0, 4, 0},
		{14000, 5, 1, 6, 10100, 0, 0, 0, 0, 0},
		{16200, 5, 1, 6, 12100, 0, 0, 0, 0, 4},
		/* Its process ended. */
		{17000, 5, 1, 9, 13100, 0, 4, 0, 4, 0},
		{21500, 4, 1, 0, 9900, 0, 4, 0, -1, 0}, /* may still run */
		{21600, 6, 1, 0, 20, 0, 0, 0, 0, 4},
	};
	struct bb bb;
	struct part p;
	struct bb_account *a = alone (&bb, &p);
	struct part_want w = {.key = part_key (&inv.accounts[0], 2)};
	uint64_t now_ms = 4000;

	for (unsigned i = 0; i < G_N_ELEMENTS (c); i++) {
		struct part_ask m = {c[i].incarnation,
				     c[i].owner,
				     c[i].applied,
				     c[i].sent_ms,
				     {&w, c[i].want >= 0}};

		w.want[0] = (uint32_t)c[i].want;
		w.hold = (uint32_t)c[i].hold;
		a->queued = c[i].waiting;
		for (; now_ms <= c[i].at_ms; now_ms += 100)
			part_tick (&p, now_ms);
		got = (struct part_grant){0};
		got_one.amount[0] = 0;
		part_on_ask (&p, bb.peers[1], &m, c[i].at_ms);
		part_tick (&p, c[i].at_ms);
		CU_ASSERT_EQUAL (got.number > 0, c[i].given >= 0);
		CU_ASSERT_EQUAL (got_one.amount[0], MAX (c[i].given, 0));
		CU_ASSERT_EQUAL (bb_account_concurrency (a, c[i].at_ms),
				 c[i].own);
	}
	part_finish (&p);
	bb_finish (&bb);
}

static void
test_borrower (void)
{
	static const struct {
		uint64_t borrower, owner, number, before_ms;
		uint32_t amount, may;
	} c[] = {
		{1, 5, 1, 0, 4, 8},    {1, 5, 3, 0, 1, 5},
		{1, 5, 2, 0, 4, 5},    /* late */
		{1, 4, 9, 0, 4, 5},    /* of the process before */
		{0, 5, 9, 0, 4, 5},    /* to the process before */
		{1, 5, 4, 2999, 4, 8}, /* nearly over, and over */
		{1, 5, 5, 3100, 4, 4},
	};
	struct bb bb;
	struct part p;
	struct bb_account *a = alone (&bb, &p);

	a->queued = 20;
	part_tick (&p, 5500);
	CU_ASSERT_EQUAL (asked.sent_ms, 5500);
	for (unsigned i = 0; i < G_N_ELEMENTS (c); i++) {
		struct part_given g = {part_key (&inv.accounts[0], 2),
				       {c[i].amount}};
		struct part_grant m = {c[i].owner,  c[i].borrower,
				       c[i].number, 5500 - c[i].before_ms,
				       3000,        {&g, 1}};

		part_on_grant (&p, bb.peers[1], &m, 5500);
		CU_ASSERT_EQUAL (bb_account_concurrency (a, 5500), c[i].may);
	}
	part_finish (&p);
	bb_finish (&bb);
}

/** struct fault - what is wrong now */
struct fault {
	uint64_t cut_until_ms;
	uint32_t down; /* node + 1; 0: none */
	uint64_t down_until_ms;
	bool listed;
};

static bool
chance (int permille)
{
	return g_rand_int_range (tp.rand, 0, 1000) < permille;
}

static uint32_t
any_node (void)
{
	return (uint32_t)g_rand_int_range (tp.rand, 0, (gint32)tp.node_count);
}

static void
start_fault (struct fault *f)
{
	uint64_t some_ms = (uint64_t)g_rand_int_range (tp.rand, 100, 9000);
	uint32_t node = any_node (), sides = g_rand_int (tp.rand);
	bool one_way = chance (300);

	if (chance (20))
		tp.nodes[node].frozen_until_ms = tp.now_ms + some_ms;
	if (f->cut_until_ms == 0 && chance (20)) {
		f->cut_until_ms = tp.now_ms + some_ms;
		for (uint32_t i = 0; i < tp.node_count; i++)
			for (uint32_t k = 0; k < tp.node_count; k++)
				tp.cut[i * tp.node_count + k] =
					((sides >> i ^ sides >> k) & 1) &&
					(!one_way || i < k);
	}
	if (f->down == 0 && chance (20)) {
		f->down = node + 1;
		f->down_until_ms = tp.now_ms + some_ms;
		tp_crash (&tp, node);
	}
}

static void
list_node (struct fault *f, bool gone)
{
	for (uint32_t i = 0; i < tp.node_count; i++) {
		if (!tp.nodes[i].up || i == f->down - 1)
			continue;
		tp.nodes[i].bb.peers[f->down - 1]->leaving = gone;
		tp.nodes[i].bb.peers[f->down - 1]->alive = !gone;
	}
	f->listed = gone;
}

static void
end_fault (struct fault *f)
{
	if (f->cut_until_ms != 0 && tp.now_ms >= f->cut_until_ms) {
		memset (tp.cut, 0, tp.node_count * tp.node_count);
		f->cut_until_ms = 0;
	}
	if (f->down != 0 && !f->listed && chance (50))
		list_node (f, true);
	if (f->down != 0 && tp.now_ms >= f->down_until_ms) {
		list_node (f, false);
		tp_start (&tp, f->down - 1);
		f->down = 0;
	}
}

static void
change_demand (void)
{
	static const uint32_t most[] = {12, 0, 6};
	static const uint32_t rate[] = {0, 40000, 6000};

	for (uint32_t i = 0; i < tp.node_count; i++)
		for (uint32_t a = 0; a < 3; a++)
			if (chance (30))
				tp_want (&tp, a, i,
					 g_rand_int (tp.rand) % (most[a] + 1) *
						 chance (500),
					 g_rand_int (tp.rand) % (rate[a] + 1) *
						 chance (500));
}

/* Return: requests started under faults. */
static uint64_t
one_seed (uint32_t seed)
{
	struct fault f = {0};
	uint64_t started, admitted, ran_ms = 0;

	setup (2 + seed % 4, seed);
	tp.late_ms = seed % 3 == 0 ? 3000 : 200;
	tp.loss_permille = seed % 2 * 30;
	tp.twice_permille = 50;
	while (tp.now_ms < FAULT_MS) {
		start_fault (&f);
		end_fault (&f);
		change_demand ();
		tp_run_for (&tp, 50);
	}
	started = tp.accounts[0].started;
	/* All well: nearly the whole at one entry. */
	f.cut_until_ms = MIN (f.cut_until_ms, 1);
	f.down_until_ms = 0;
	end_fault (&f);
	tp.loss_permille = 0;
	tp.late_ms = 0;
	for (uint32_t i = 0; i < tp.node_count; i++) {
		tp.nodes[i].frozen_until_ms = 0;
		tp_want (&tp, 0, i, i == 0 ? 20 : 0, 0);
		tp_want (&tp, 1, i, 0, i == 0 ? 40000 : 0);
		tp_want (&tp, 2, i, 0, 0);
	}
	/* Until what an entry held that ended is free: a life and a lease. */
	tp_run_for (&tp, 20000);
	admitted = tp.accounts[1].admitted;
	for (int i = 0; i < 500; i++) {
		tp_run_for (&tp, TP_STEP_MS);
		ran_ms += tp.accounts[0].running * TP_STEP_MS;
	}
	if (!within () || ran_ms < 9 * 8 * 500 ||
	    (tp.accounts[1].admitted - admitted) < 90)
		printf ("seed %u: over %u, most %u %u, burst %.1f %.1f, at the "
			"end %.2f, %u\n",
			seed, tp.over, tp.accounts[0].most, tp.accounts[2].most,
			tp.accounts[1].burst, tp.accounts[2].burst,
			(double)ran_ms / 5000,
			(unsigned)(tp.accounts[1].admitted - admitted));
	CU_ASSERT_TRUE (within ());
	CU_ASSERT (ran_ms * 10 >= 9 * 8 * 5000);
	CU_ASSERT ((tp.accounts[1].admitted - admitted) * 10 >= 9 * 20 * 5);
	tp_finish (&tp);
	return started;
}

static void
test_seeds (void)
{
	const char *one = getenv ("DH_SEED");
	uint32_t seeds = getenv ("DH_SOAK") != NULL ? 5000 : 200;
	uint64_t started = 0;

	if (one != NULL) {
		one_seed ((uint32_t)atoi (one));
		return;
	}
	for (uint32_t seed = 1; seed <= seeds; seed++)
		started += one_seed (seed);
	/* Enough of them for the sums to mean something. */
	CU_ASSERT (started > 40 * seeds);
}

#define SIZE_ENTRIES 360
#define SIZE_ACCOUNTS 1200
#define SIZE_RUNNING 17 /* 3.5 requests a second of 5 s each */

/* What the frames cost at the size of letter 1: each account at @places
 * entries, of which @moves change each second. */
static void
one_size (const char *name, uint32_t places, uint32_t moves, uint32_t limit,
	  uint32_t rate)
{
	static uint32_t at[SIZE_ACCOUNTS][SIZE_RUNNING];
	uint64_t bytes = 0, frames = 0, most = 0, running = 0;
	uint64_t *was = g_new0 (uint64_t, SIZE_ENTRIES);

	t_inv_init (&inv, 1, 1, 1, 1);
	inv.inv.entries = g_new0 (struct inv_entry, SIZE_ENTRIES);
	inv.inv.entry_count = SIZE_ENTRIES;
	inv.inv.accounts = g_new0 (struct inv_account, SIZE_ACCOUNTS);
	inv.inv.account_count = SIZE_ACCOUNTS;
	for (uint32_t i = 0; i < SIZE_ENTRIES; i++)
		snprintf (inv.inv.entries[i].name, INV_NAME_BYTES, "e%u", i);
	for (uint32_t i = 0; i < SIZE_ACCOUNTS; i++) {
		snprintf (inv.inv.accounts[i].name, INV_NAME_BYTES, "a%u", i);
		inv.inv.accounts[i].concurrency = limit;
		inv.inv.accounts[i].rate_per_s = rate;
	}
	tp_init (&tp, &inv.inv, 1);
	for (int s = 0; s < 25; s++) {
		for (uint32_t a = 0; a < SIZE_ACCOUNTS; a++)
			for (uint32_t i = 0; i < (s == 0 ? places : moves);
			     i++) {
				uint32_t *e = &at[a][(s * moves + i) % places];

				if (s > 0)
					tp_want (&tp, a, *e, 0, 0);
				*e = any_node ();
				tp_want (&tp, a, *e, SIZE_RUNNING / places,
					 3500 / places);
			}
		tp_run_for (&tp, 1000);
		for (uint32_t i = 0; s == 14 && i < SIZE_ENTRIES; i++) {
			was[i] = tp.nodes[i].bytes;
			frames -= tp.nodes[i].frames;
		}
	}
	for (uint32_t i = 0; i < SIZE_ENTRIES; i++) {
		bytes += tp.nodes[i].bytes - was[i];
		most = MAX (most, tp.nodes[i].bytes - was[i]);
		frames += tp.nodes[i].frames;
	}
	for (uint32_t a = 0; a < SIZE_ACCOUNTS; a++)
		running += tp.accounts[a].running;
	printf ("%s: limits %u at once, %u a second: mean %.0f B/s an entry, "
		"most %.0f, %.1f frames a second; %.1f running of %u\n",
		name, limit, rate, (double)bytes / 10 / SIZE_ENTRIES,
		(double)most / 10, (double)frames / 10 / SIZE_ENTRIES,
		(double)running / SIZE_ACCOUNTS,
		places * (SIZE_RUNNING / places));
	fflush (stdout);
	tp_finish (&tp);
	g_free (inv.inv.entries);
	g_free (inv.inv.accounts);
	g_free (was);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"base parts sum to the limit", test_base},
		{"all traffic at one entry", test_one_entry},
		{"traffic at all entries", test_everywhere},
		{"the owner anew", test_owner_anew},
		{"woken", test_woken},
		{"asks that an owner takes", test_owner},
		{"grants that a borrower takes", test_borrower},
		{"seeded faults", test_seeds},
		{NULL, NULL},
	};

	if (getenv ("DH_SIZE") != NULL) {
		one_size ("at one entry", 1, 0, 40, 10);
		one_size ("at four", 4, 0, 40, 10);
		one_size ("at four, large limits", 4, 0, 1440, 1440);
		one_size ("anywhere", 17, 4, 40, 10);
		one_size ("anywhere, large limits", 17, 4, 1440, 1440);
		return 0;
	}
	return t_run ("part", cases);
}
