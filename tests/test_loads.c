/*
 * Sums of loads: each relay gets the load of its peers, and a relay that
 * disconnected counts no more.
 */
#include "loads.h"
#include "t_run.h"

static void
report (struct loads *l, const void *relay, uint32_t ep, uint32_t prefill,
	uint64_t prefill_ms)
{
	struct load x = {ep, prefill, 1, false};
	struct load_segment p = {ep * 10, ep, 500};
	struct loads_msg m = {.loads = {&x, 1},
			      .prefill_ms = prefill_ms,
			      .segments = {&p, 1}};

	loads_set_report (l, relay, &m);
}

static uint32_t
peer_prefill (struct loads *l, const void *relay, uint32_t ep)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	uint32_t prefill = 0;

	loads_peer_loads (l, relay, out);
	for (guint i = 0; i < out->len; i++) {
		const struct load *x = &g_array_index (out, struct load, i);

		CU_ASSERT (x->running > 0);
		if (x->ep_hash == ep)
			prefill = x->prefill_tokens;
	}
	g_array_free (out, TRUE);
	return prefill;
}

static void
test_sums (void)
{
	int a, b, c;
	struct loads l;

	loads_init (&l);
	report (&l, &a, 1, 100, 0);
	report (&l, &b, 1, 30, 0);
	report (&l, &c, 2, 7, 0);
	CU_ASSERT (peer_prefill (&l, &a, 1) == 30 &&
		   peer_prefill (&l, &a, 2) == 7);
	CU_ASSERT (peer_prefill (&l, &c, 1) == 130 &&
		   peer_prefill (&l, &c, 2) == 0);
	report (&l, &a, 2, 50, 0); /* replaces its first report */
	CU_ASSERT (peer_prefill (&l, &c, 1) == 30 &&
		   peer_prefill (&l, &c, 2) == 50);
	loads_drop_relay (&l, &b);
	loads_drop_relay (&l, &b);
	CU_ASSERT (peer_prefill (&l, &c, 1) == 0);
	loads_finish (&l);
}

static void
test_prefill_ms (void)
{
	int a, b;
	struct loads l;

	loads_init (&l);
	report (&l, &a, 1, 1, 5000); /* from before this member summed */
	report (&l, &a, 1, 1, 5600);
	report (&l, &b, 1, 1, 100);
	report (&l, &b, 1, 1, 150);
	CU_ASSERT (loads_take_prefill_ms (&l) == 650);
	CU_ASSERT (loads_take_prefill_ms (&l) == 0);
	loads_finish (&l);
}

static void
test_segments (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	int a, b;
	struct loads l;

	loads_init (&l);
	report (&l, &a, 1, 1, 0);
	report (&l, &b, 2, 1, 0);
	loads_peer_segments (&l, &a, out);
	CU_ASSERT (out->len == 1 &&
		   g_array_index (out, struct load_segment, 0).id == 20);
	loads_clear_segments (&l);
	g_array_set_size (out, 0);
	loads_peer_segments (&l, &a, out);
	CU_ASSERT (out->len == 0);
	g_array_free (out, TRUE);
	loads_finish (&l);
}

enum { RELAYS = 30, ENGINES = 200, SUBSCRIBED = 20 };

struct sim {
	struct loads l;
	GRand *rand;
	struct load own[RELAYS][ENGINES];
	struct load seen[RELAYS][ENGINES]; /* peer load */
	struct load_ep subscription[RELAYS][SUBSCRIBED];
	size_t sent;
};

/* Change a relay's own load at a few engines and report it. */
static void
sim_change (struct sim *s, uint32_t r, bool subscription)
{
	struct load list[ENGINES];
	struct loads_msg m = {.loads = {list, 0},
			      .has_subscription = subscription};

	for (int i = 0; i < 3; i++) {
		uint32_t e = (uint32_t)g_rand_int_range (s->rand, 0, ENGINES);
		uint32_t n = (uint32_t)g_rand_int_range (s->rand, 0, 4);

		s->own[r][e] = (struct load){e, n * 5000, n, false};
	}
	for (uint32_t e = 0; e < ENGINES; e++) {
		if (s->own[r][e].running > 0)
			list[m.loads.count++] = s->own[r][e];
	}
	/* Odd relays subscribe to some engines, the others to all. */
	if (subscription && r % 2 == 1)
		m.subscription =
			(struct msg_list){s->subscription[r], SUBSCRIBED};
	loads_set_report (&s->l, &s->own[r], &m);
}

static void
sim_update (struct sim *s, uint32_t r, bool lost)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	bool changes = loads_peer_loads (&s->l, &s->own[r], out);

	if (lost)
		loads_want_snapshot (&s->l, &s->own[r]);
	for (uint32_t e = 0; !lost && !changes && e < ENGINES; e++)
		s->seen[r][e] = (struct load){e, 0, 0, false};
	for (guint i = 0; !lost && i < out->len; i++) {
		const struct load *x = &g_array_index (out, struct load, i);

		s->seen[r][x->ep_hash] = *x;
		s->sent++;
	}
	g_array_free (out, TRUE);
}

static void
sim_check (struct sim *s, uint32_t r, uint32_t e)
{
	struct load sum = {e, 0, 0, false};

	for (uint32_t o = 0; o < RELAYS; o++) {
		if (o == r)
			continue;
		sum.prefill_tokens += s->own[o][e].prefill_tokens;
		sum.running += s->own[o][e].running;
	}
	CU_ASSERT (ABS ((int64_t)s->seen[r][e].prefill_tokens -
			sum.prefill_tokens) < LOADS_DELTA_TOKENS);
	CU_ASSERT (ABS ((int64_t)s->seen[r][e].running - sum.running) <=
		   MAX (sum.running, s->seen[r][e].running) /
			   LOADS_DELTA_DIVISOR);
}

/* A relay subscribes to other engines and forgets the load of the rest. */
static void
sim_resubscribe (struct sim *s, uint32_t r)
{
	for (uint32_t i = 0; i < SUBSCRIBED; i++) {
		bool twice = true;

		while (g_rand_int_range (s->rand, 0, 3) == 0 && twice) {
			s->subscription[r][i].ep_hash =
				(uint32_t)g_rand_int_range (s->rand, 0,
							    ENGINES);
			twice = false;
			for (uint32_t k = 0; k < i; k++)
				twice = twice ||
					s->subscription[r][k].ep_hash ==
						s->subscription[r][i].ep_hash;
		}
	}
	for (uint32_t e = 0; e < ENGINES; e++) {
		bool subscribed = false;

		for (uint32_t i = 0; i < SUBSCRIBED; i++)
			subscribed = subscribed ||
				     s->subscription[r][i].ep_hash == e;
		if (!subscribed)
			s->seen[r][e] = (struct load){e, 0, 0, false};
	}
	sim_change (s, r, true);
}

/* After an update, a relay has the peer load at the engines it subscribes to,
 * although updates are lost and relays disconnect.  The size of an update does
 * not grow with the engines outside the subscription. */
static void
test_deltas (void)
{
	struct sim *s = g_new0 (struct sim, 1);
	size_t max_sent = 0;

	loads_init (&s->l);
	s->rand = g_rand_new_with_seed (11);
	for (uint32_t r = 0; r < RELAYS; r++) {
		for (uint32_t i = 0; i < SUBSCRIBED; i++)
			s->subscription[r][i].ep_hash =
				(r * 7 + i * 9) % ENGINES;
		sim_change (s, r, true);
	}
	for (int turn = 0; turn < 3000; turn++) {
		uint32_t r = (uint32_t)g_rand_int_range (s->rand, 0, RELAYS);
		uint32_t to = (uint32_t)g_rand_int_range (s->rand, 0, RELAYS);

		if (turn % 100 == 99) {
			loads_drop_relay (&s->l, &s->own[r]);
			sim_change (s, r, true);
		} else if (turn % 7 == 3 && r % 2 == 1) {
			sim_resubscribe (s, r);
		} else {
			sim_change (s, r, false);
		}
		if (turn % 10 == 9) {
			sim_update (s, to, true);
			continue;
		}
		s->sent = 0;
		sim_update (s, to, false);
		for (uint32_t i = 0; to % 2 == 1 && i < SUBSCRIBED; i++)
			sim_check (s, to, s->subscription[to][i].ep_hash);
		for (uint32_t e = 0; to % 2 == 0 && e < ENGINES; e++)
			sim_check (s, to, e);
		if (to % 2 == 1)
			max_sent = MAX (max_sent, s->sent);
	}
	CU_ASSERT (max_sent <= SUBSCRIBED);
	s->sent = 0;
	sim_update (s, 1, false);
	sim_update (s, 1, false);
	CU_ASSERT (s->sent <= SUBSCRIBED);
	g_rand_free (s->rand);
	loads_finish (&s->l);
	g_free (s);
}

/* A relay that never subscribed gets a snapshot each time. */
static void
test_snapshot (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	int a, b;
	struct loads l;

	loads_init (&l);
	report (&l, &a, 1, 1000, 0);
	report (&l, &b, 2, 1000, 0);
	CU_ASSERT (!loads_peer_loads (&l, &a, out) && out->len == 1);
	CU_ASSERT (!loads_peer_loads (&l, &a, out) && out->len == 2);
	g_array_free (out, TRUE);
	loads_finish (&l);
}

/* The leader freezes and another takes over, a member is cut off, or nobody
 * leads: relays that hear the same members report to the same one. */
static void
test_choose_member (void)
{
	struct loads_member m[3] = {{"10.1.0.3:1", false, 9500},
				    {"10.1.0.1:1", true, 9600},
				    {"10.1.0.2:1", false, 9700}};

	CU_ASSERT (loads_choose_member (m, 3, 10000) == 1);
	/* The leader is silent and nobody leads yet: the first one heard. */
	CU_ASSERT (loads_choose_member (
			   m, 3, 9600 + LOADS_MEMBER_TIMEOUT_MS + 1) == 2);
	m[1].last_heard_ms = 0;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 2);
	/* Another leads, and the old leader still claims to after a pause. */
	m[0].is_leader = true;
	m[1].last_heard_ms = 9000;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 0);
	m[0].last_heard_ms = m[2].last_heard_ms = 0;
	m[1].last_heard_ms = 0;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 3);
}

/* A relay that reports to another member has no load here any more. */
static void
test_withdraw (void)
{
	struct loads_msg withdraw = {.withdraw = true};
	int a, b;
	struct loads l;

	loads_init (&l);
	report (&l, &a, 1, 5000, 0);
	report (&l, &b, 1, 3000, 0);
	loads_set_report (&l, &b, &withdraw);
	CU_ASSERT (peer_prefill (&l, &a, 1) == 0 && loads_has_relay (&l, &a) &&
		   !loads_has_relay (&l, &b));
	loads_set_report (&l, &b, &withdraw);
	loads_finish (&l);
}

static void
report_suspect (struct loads *l, const int *relay, uint32_t domain,
		bool suspect)
{
	struct load x = {7, 0, 0, suspect};
	struct loads_msg m = {.loads = {&x, suspect},
			      .has_subscription = true,
			      .domain_hash = domain};

	loads_set_report (l, relay, &m);
}

static bool
seen_suspect (struct loads *l, const int *relay)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	bool suspect = false;

	loads_want_snapshot (l, relay);
	loads_peer_loads (l, relay, out);
	for (guint i = 0; i < out->len; i++)
		suspect =
			suspect || g_array_index (out, struct load, i).suspect;
	g_array_free (out, TRUE);
	return suspect;
}

/* When relays of two domains suspect a crashed endpoint, the others learn it
 * before they send there.  What one domain alone reports may be a cut link and
 * does not count. */
static void
test_suspect (void)
{
	struct loads l;
	int r[4];

	loads_init (&l);
	for (uint32_t i = 0; i < 4; i++)
		report_suspect (&l, &r[i], i % 2, false);
	report_suspect (&l, &r[0], 0, true);
	report_suspect (&l, &r[2], 0, true);
	CU_ASSERT (!seen_suspect (&l, &r[1]) && !seen_suspect (&l, &r[3]));
	report_suspect (&l, &r[1], 1, true);
	CU_ASSERT (seen_suspect (&l, &r[3]) && seen_suspect (&l, &r[0]));
	/* It answers one relay again, and the other relay disconnects. */
	report_suspect (&l, &r[0], 0, false);
	CU_ASSERT (seen_suspect (&l, &r[3]));
	loads_drop_relay (&l, &r[2]);
	CU_ASSERT (!seen_suspect (&l, &r[3]));
	/* Where all relays are in one domain, two of them are enough. */
	loads_drop_relay (&l, &r[0]);
	CU_ASSERT (!seen_suspect (&l, &r[3]));
	report_suspect (&l, &r[3], 1, true);
	CU_ASSERT (seen_suspect (&l, &r[1]));
	loads_drop_relay (&l, &r[1]);
	loads_drop_relay (&l, &r[3]);
	CU_ASSERT (g_hash_table_size (l.suspicions) == 0 &&
		   g_hash_table_size (l.relay_domains) == 0);
	loads_finish (&l);
}

/* Speeds and waiting requests of the peers: a relay that starts hears all of
 * them, and what a relay that left had waiting counts no more. */
static void
test_speeds_and_waiting (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_speed));
	GArray *ranks =
		g_array_new (FALSE, FALSE, sizeof (struct load_waiting));
	struct load_speed s = {7, 16500};
	struct load_waiting w[2] = {{0, 100}, {12, 4000}};
	struct loads_msg m = {
		.speeds = {&s, 1}, .waiting = {w, 2}, .has_subscription = true};
	int a, b;
	struct loads l;

	loads_init (&l);
	loads_set_report (&l, &a, &m);
	report (&l, &b, 1, 100, 0);
	loads_peer_speeds (&l, &a, out);
	CU_ASSERT (out->len == 1); /* a snapshot is due */
	peer_prefill (&l, &a, 1);
	g_array_set_size (out, 0);
	loads_peer_speeds (&l, &a, out);
	CU_ASSERT (out->len == 0);
	loads_clear_segments (&l);
	loads_peer_speeds (&l, &b, out);
	CU_ASSERT (out->len == 1 &&
		   g_array_index (out, struct load_speed, 0).gap_us == 16500);
	CU_ASSERT (!loads_peer_waiting (&l, &a, ranks) && ranks->len == 0);
	CU_ASSERT (loads_peer_waiting (&l, &b, ranks) && ranks->len == 2);
	g_array_set_size (ranks, 0);
	CU_ASSERT (!loads_peer_waiting (&l, &b, ranks) && ranks->len == 2);
	loads_drop_relay (&l, &a);
	g_array_set_size (ranks, 0);
	CU_ASSERT (loads_peer_waiting (&l, &b, ranks) && ranks->len == 0);
	loads_finish (&l);
	g_array_free (out, TRUE);
	g_array_free (ranks, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"sums", test_sums},
		{"prefill time", test_prefill_ms},
		{"segments", test_segments},
		{"deltas", test_deltas},
		{"snapshot", test_snapshot},
		{"choose member", test_choose_member},
		{"withdraw", test_withdraw},
		{"suspect", test_suspect},
		{"speeds and waiting", test_speeds_and_waiting},
		{NULL, NULL}};

	return t_run ("loads", cases);
}
