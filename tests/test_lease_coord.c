/*
 * A coordinator's accounts and what it hands out, by hand-made asks of two
 * holders, e1 and e2.  The bound is 6.
 */
#include <string.h>

#include "lease.h"
#include "t_inv.h"
#include "t_run.h"

#define BOUND 6

static struct t_inv inv;
static struct bb bb;
static struct lease lease;
static struct lease_given last[3]; /* by holder */
static uint64_t number[3];
static uint64_t now;

static void
got_beat (struct bb_peer *to, const struct lease_beat *m, void *ctx)
{
	(void)to;
	(void)m;
	(void)ctx;
}

static void
got_ask (struct bb_peer *to, const struct lease_ask *m, void *ctx)
{
	(void)to;
	(void)m;
	(void)ctx;
}

static void
got_grant (struct bb_peer *to, const struct lease_grant *m, void *ctx)
{
	uint32_t i = (uint32_t)(to->inv - bb.inv->entries);

	(void)ctx;
	CU_ASSERT_EQUAL (m->given.count, 1);
	last[i] = *(const struct lease_given *)m->given.items;
	number[i] = m->number;
}

static const struct lease_ops ops = {got_beat, got_ask, got_grant};

/* An ask of holder @i, sent just now. */
static void
ask (uint32_t i, struct lease_want w, bool renew)
{
	struct lease_ask m = {.incarnation = 1,
			      .sent_ms = now + 5000 * i, /* its own clock */
			      .renew = renew,
			      .wants = {&w, 1}};

	g_strlcpy (w.ep, "ep00", sizeof w.ep);
	lease_on_ask (&lease, bb.peers[i], &m, now);
}

static void
pass (uint64_t ms)
{
	for (uint64_t until = now + ms; now < until; now += 50)
		lease_tick (&lease, now);
}

/* e0 is the only elector of the endpoint's domain; all have told it what they
 * have in flight, so that it coordinates with the whole bound. */
static void
start (void)
{
	static const struct lease_settings set = LEASE_SETTINGS_DEFAULT;

	t_inv_init (&inv, 3, 3, 1, 1);
	inv.endpoints[0].cold_bound = BOUND;
	inv.endpoints[0].warm_bound = BOUND;
	memset (last, 0, sizeof last);
	now = 10000;
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &inv.inv, now);
	lease_init (&lease, &bb, &set, &ops, NULL, 1, now);
	pass (1000);
	CU_ASSERT_EQUAL (lease_state_of (&lease, bb.eps[0], now),
			 LEASE_WAITING);
	pass (2000);
	ask (1, (struct lease_want){0}, true);
	CU_ASSERT_EQUAL (last[1].state, LEASE_WAITING);
	ask (2, (struct lease_want){0}, true);
	pass (500);
	CU_ASSERT_EQUAL (lease_state_of (&lease, bb.eps[0], now), LEASE_FULL);
}

static void
stop (void)
{
	lease_finish (&lease);
	bb_finish (&bb);
}

/* e1 takes all that the others leave. */
static void
fill (uint8_t tier)
{
	struct lease_want w = {.tier = tier};

	w.want[tier - 1] = 9;
	ask (1, w, true);
	pass (800); /* e0 gives back what it has unused */
	w.applied = number[1];
	ask (1, w, true);
	CU_ASSERT_EQUAL (last[1].credits, BOUND);
}

static void
test_lowering_waits (void)
{
	uint64_t lowered;

	start ();
	fill (3);
	/* e1 needs two; e2 wants the rest, but e1 may not know yet. */
	ask (1, (struct lease_want){.used = 2, .applied = number[1]}, true);
	CU_ASSERT (last[1].credits <= 2);
	lowered = number[1];
	ask (2, (struct lease_want){.want = {[2] = 6}, .tier = 3}, true);
	CU_ASSERT_EQUAL (last[2].credits, 0);
	/* An ask from before the lowering arrived changes nothing. */
	ask (1, (struct lease_want){.used = 2, .applied = lowered - 1}, false);
	CU_ASSERT_EQUAL (last[2].credits, 0);
	ask (1, (struct lease_want){.used = 2, .applied = lowered}, false);
	CU_ASSERT_EQUAL (last[2].credits, 4);
	stop ();
}

static void
test_returns_count_once (void)
{
	start ();
	fill (5);
	ask (2, (struct lease_want){.want = {[0] = 3}, .tier = 1}, true);
	CU_ASSERT_EQUAL (last[2].credits, 0);
	CU_ASSERT_EQUAL (last[1].tier, 1); /* told at once */
	CU_ASSERT_EQUAL (last[1].recall, 3);
	for (int i = 0; i < 3; i++) /* the same message again and again */
		ask (1,
		     (struct lease_want){.used = 5,
					 .want = {[4] = 9},
					 .tier = 5,
					 .returned = 1,
					 .applied = number[1]},
		     false);
	CU_ASSERT_EQUAL (last[2].credits, 1);
	stop ();
}

/* What a silent holder may have in flight counts until that is over. */
static void
test_silent_holder (void)
{
	start ();
	fill (3);
	pass (10000);
	ask (2, (struct lease_want){.want = {[2] = 6}, .tier = 3}, true);
	CU_ASSERT_EQUAL (last[2].credits, 0);
	/* It comes back with four in flight, its lease long over. */
	ask (1, (struct lease_want){.used = 4, .applied = 0}, false);
	CU_ASSERT_EQUAL (last[2].credits, 2);
	pass (30000);
	ask (2,
	     (struct lease_want){.used = 2,
				 .want = {[2] = 6},
				 .tier = 3,
				 .applied = number[2]},
	     true);
	pass (2000); /* longer than a request can live: forgotten */
	ask (2,
	     (struct lease_want){.used = 2,
				 .want = {[2] = 6},
				 .tier = 3,
				 .applied = number[2]},
	     true);
	CU_ASSERT_EQUAL (last[2].credits, BOUND);
	stop ();
}

static void
test_gone_holder (void)
{
	start ();
	fill (3);
	ask (2, (struct lease_want){.want = {[2] = 6}, .tier = 3}, true);
	lease_gone (&lease, bb.peers[1], now);
	ask (2, (struct lease_want){.want = {[2] = 6}, .tier = 3}, true);
	CU_ASSERT_EQUAL (last[2].credits, BOUND);
	stop ();
}

/* A renewal that leaves the endpoint out takes back none of the answers told
 * before, and who does not ask hears of the proof all the same. */
static void
test_left_out (void)
{
	struct lease_ask none = {.incarnation = 1, .renew = true};

	start ();
	inv.endpoints[0].warm_bound = BOUND + 4;
	inv.inv.settings.cold_answers = 4;
	inv.inv.settings.cold_ramp_s = 0;
	ask (1, (struct lease_want){.answers = 2}, true);
	pass (50);
	none.sent_ms = now + 5000;
	lease_on_ask (&lease, bb.peers[1], &none, now);
	CU_ASSERT_EQUAL (lease_bound (&lease, bb.eps[0], now), BOUND);
	CU_ASSERT_EQUAL (last[1].proven_ms, 0);
	ask (2, (struct lease_want){.answers = 2}, true);
	pass (50);
	CU_ASSERT_EQUAL (lease_bound (&lease, bb.eps[0], now), BOUND + 4);
	CU_ASSERT (last[1].proven_ms > 0);
	stop ();
}

/* What tells a holder of a higher tier elsewhere does not renew credits that
 * its latest ask left out. */
static void
test_hint_renews_nothing (void)
{
	struct lease_ask none = {.incarnation = 1, .renew = true};

	start ();
	fill (5);
	ask (1, (struct lease_want){.applied = number[1]}, true);
	CU_ASSERT (last[1].credits > 0 && last[1].late_ms == 0);
	pass (400);
	none.sent_ms = now + 5000;
	lease_on_ask (&lease, bb.peers[1], &none, now);
	ask (2, (struct lease_want){.want = {[0] = 9}, .tier = 1}, true);
	CU_ASSERT_EQUAL (last[1].tier, 1);
	CU_ASSERT (last[1].credits > 0 && last[1].late_ms == 400);
	stop ();
}

/* The holder uses what it has but for what it is to give back, and waits with
 * the rest of @want. */
static void
renew_row (uint32_t h, uint8_t tier, uint16_t want)
{
	bool back = last[h].recall > 0 && (tier == 0 || last[h].tier <= tier);
	uint16_t n = back ? MIN (last[h].recall, last[h].credits) : 0;
	uint16_t has = last[h].credits - n;
	struct lease_want w = {
		.used = MIN (has, want), .tier = tier, .applied = number[h]};

	w.returned = last[h].returned + n;
	if (tier > 0 && want > has)
		w.want[tier - 1] = (uint8_t)(want - has);
	ask (h, w, true);
}

/* Who gets what of free credits: e1's and e2's tier and want, what e1 has. */
static void
test_shares (void)
{
	static const struct {
		const char *what;
		uint8_t tier[2];
		uint16_t want[2];
		uint16_t least[2];
		uint16_t most[2];
	} rows[] = {
		{"higher tier first", {5, 1}, {6, 6}, {0, 6}, {0, 6}},
		{"the rest to the lower", {5, 1}, {6, 2}, {4, 2}, {4, 2}},
		{"equal tiers by want", {3, 3}, {8, 4}, {4, 2}, {4, 2}},
		{"nobody starves", {3, 3}, {60, 1}, {5, 1}, {5, 1}},
		{"quiet: an even part", {0, 0}, {0, 0}, {1, 1}, {3, 3}},
		{"quiet beside busy", {0, 2}, {0, 6}, {0, 6}, {0, 6}},
	};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		start ();
		for (int n = 0; n < 12; n++) {
			uint32_t h = 1 + (uint32_t)n % 2;

			renew_row (h, rows[i].tier[h - 1], rows[i].want[h - 1]);
			pass (50);
		}
		for (uint32_t h = 1; h <= 2; h++)
			if (last[h].credits < rows[i].least[h - 1] ||
			    last[h].credits > rows[i].most[h - 1])
				CU_FAIL (rows[i].what);
		stop ();
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"lowering waits for its holder", test_lowering_waits},
		{"returns count once", test_returns_count_once},
		{"silent holder", test_silent_holder},
		{"holder known to have ended", test_gone_holder},
		{"left out of a renewal", test_left_out},
		{"a hint renews nothing", test_hint_renews_nothing},
		{"who gets what", test_shares},
		{NULL, NULL},
	};

	return t_run ("lease_coord", cases);
}
