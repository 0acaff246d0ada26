/*
 * Sums of loads: each relay sees what the others have, and a relay that is
 * gone has nothing.
 */
#include "loads.h"
#include "t_run.h"

static void
tell (struct loads *l, const void *who, uint32_t ep, uint32_t unread,
      uint64_t work_ms)
{
	struct load x = {ep, unread, 1, false};
	struct load_segment p = {ep * 10, ep, 500};
	struct loads_msg m = {
		.loads = {&x, 1}, .prefill_ms = work_ms, .segments = {&p, 1}};

	loads_set_report (l, who, &m);
}

static uint32_t
others (struct loads *l, const void *who, uint32_t ep)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	uint32_t unread = 0;

	loads_peer_loads (l, who, out);
	for (guint i = 0; i < out->len; i++) {
		const struct load *x = &g_array_index (out, struct load, i);

		CU_ASSERT (x->running > 0);
		if (x->ep == ep)
			unread = x->unread;
	}
	g_array_free (out, TRUE);
	return unread;
}

static void
test_sums (void)
{
	int a, b, c;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 100, 0);
	tell (&l, &b, 1, 30, 0);
	tell (&l, &c, 2, 7, 0);
	CU_ASSERT (others (&l, &a, 1) == 30 && others (&l, &a, 2) == 7);
	CU_ASSERT (others (&l, &c, 1) == 130 && others (&l, &c, 2) == 0);
	tell (&l, &a, 2, 50, 0); /* in place of what it told before */
	CU_ASSERT (others (&l, &c, 1) == 30 && others (&l, &c, 2) == 50);
	loads_drop_relay (&l, &b);
	loads_drop_relay (&l, &b);
	CU_ASSERT (others (&l, &c, 1) == 0);
	loads_finish (&l);
}

static void
test_work (void)
{
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 1, 5000); /* what it asked for before we led */
	tell (&l, &a, 1, 1, 5600);
	tell (&l, &b, 1, 1, 100);
	tell (&l, &b, 1, 1, 150);
	CU_ASSERT (loads_take_prefill_ms (&l) == 650);
	CU_ASSERT (loads_take_prefill_ms (&l) == 0);
	loads_finish (&l);
}

static void
test_parts (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 1, 0);
	tell (&l, &b, 2, 1, 0);
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

enum { RELAYS = 30, ENGINES = 200, WATCHED = 20 };

struct sim {
	struct loads l;
	GRand *rand;
	struct load own[RELAYS][ENGINES];
	struct load seen[RELAYS][ENGINES]; /* of the others */
	struct load_ep watch[RELAYS][WATCHED];
	size_t told;
};

/* A relay's own loads change at a few engines, and are told. */
static void
sim_change (struct sim *s, uint32_t r, bool watch)
{
	struct load list[ENGINES];
	struct loads_msg m = {.loads = {list, 0}, .has_subscription = watch};

	for (int i = 0; i < 3; i++) {
		uint32_t e = (uint32_t)g_rand_int_range (s->rand, 0, ENGINES);
		uint32_t n = (uint32_t)g_rand_int_range (s->rand, 0, 4);

		s->own[r][e] = (struct load){e, n * 5000, n, false};
	}
	for (uint32_t e = 0; e < ENGINES; e++) {
		if (s->own[r][e].running > 0)
			list[m.loads.count++] = s->own[r][e];
	}
	/* Odd relays watch some engines, the others all. */
	if (watch && r % 2 == 1)
		m.subscription = (struct msg_list){s->watch[r], WATCHED};
	loads_set_report (&s->l, &s->own[r], &m);
}

static void
sim_tell (struct sim *s, uint32_t r, bool lost)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	bool changes = loads_peer_loads (&s->l, &s->own[r], out);

	if (lost)
		loads_want_snapshot (&s->l, &s->own[r]);
	for (uint32_t e = 0; !lost && !changes && e < ENGINES; e++)
		s->seen[r][e] = (struct load){e, 0, 0, false};
	for (guint i = 0; !lost && i < out->len; i++) {
		const struct load *x = &g_array_index (out, struct load, i);

		s->seen[r][x->ep] = *x;
		s->told++;
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
		sum.unread += s->own[o][e].unread;
		sum.running += s->own[o][e].running;
	}
	CU_ASSERT (ABS ((int64_t)s->seen[r][e].unread - sum.unread) <
		   LOADS_DELTA_TOKENS);
	CU_ASSERT (ABS ((int64_t)s->seen[r][e].running - sum.running) <=
		   MAX (sum.running, s->seen[r][e].running) /
			   LOADS_DELTA_DIVISOR);
}

/* A relay wants to know other engines, and forgets the rest. */
static void
sim_move (struct sim *s, uint32_t r)
{
	for (uint32_t i = 0; i < WATCHED; i++) {
		bool twice = true;

		while (g_rand_int_range (s->rand, 0, 3) == 0 && twice) {
			s->watch[r][i].ep_hash = (uint32_t)g_rand_int_range (
				s->rand, 0, ENGINES);
			twice = false;
			for (uint32_t k = 0; k < i; k++)
				twice = twice || s->watch[r][k].ep_hash ==
							 s->watch[r][i].ep_hash;
		}
	}
	for (uint32_t e = 0; e < ENGINES; e++) {
		bool watched = false;

		for (uint32_t i = 0; i < WATCHED; i++)
			watched = watched || s->watch[r][i].ep_hash == e;
		if (!watched)
			s->seen[r][e] = (struct load){e, 0, 0, false};
	}
	sim_change (s, r, true);
}

/* Each relay that was just told knows what the others have at the engines it
 * watches, though messages are lost and relays go; what is told does not grow
 * with the engines that it does not watch. */
static void
test_changes (void)
{
	struct sim *s = g_new0 (struct sim, 1);
	size_t watchers = 0;

	loads_init (&s->l);
	s->rand = g_rand_new_with_seed (11);
	for (uint32_t r = 0; r < RELAYS; r++) {
		for (uint32_t i = 0; i < WATCHED; i++)
			s->watch[r][i].ep_hash = (r * 7 + i * 9) % ENGINES;
		sim_change (s, r, true);
	}
	for (int turn = 0; turn < 3000; turn++) {
		uint32_t r = (uint32_t)g_rand_int_range (s->rand, 0, RELAYS);
		uint32_t to = (uint32_t)g_rand_int_range (s->rand, 0, RELAYS);

		if (turn % 100 == 99) {
			loads_drop_relay (&s->l, &s->own[r]);
			sim_change (s, r, true);
		} else if (turn % 7 == 3 && r % 2 == 1) {
			sim_move (s, r);
		} else {
			sim_change (s, r, false);
		}
		if (turn % 10 == 9) {
			sim_tell (s, to, true);
			continue;
		}
		s->told = 0;
		sim_tell (s, to, false);
		for (uint32_t i = 0; to % 2 == 1 && i < WATCHED; i++)
			sim_check (s, to, s->watch[to][i].ep_hash);
		for (uint32_t e = 0; to % 2 == 0 && e < ENGINES; e++)
			sim_check (s, to, e);
		if (to % 2 == 1)
			watchers = MAX (watchers, s->told);
	}
	CU_ASSERT (watchers <= WATCHED);
	s->told = 0;
	sim_tell (s, 1, false);
	sim_tell (s, 1, false);
	CU_ASSERT (s->told <= WATCHED);
	g_rand_free (s->rand);
	loads_finish (&s->l);
	g_free (s);
}

/* One that did not say that it takes changes is told all each time. */
static void
test_whole (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 1000, 0);
	tell (&l, &b, 2, 1000, 0);
	CU_ASSERT (!loads_peer_loads (&l, &a, out) && out->len == 1);
	CU_ASSERT (!loads_peer_loads (&l, &a, out) && out->len == 2);
	g_array_free (out, TRUE);
	loads_finish (&l);
}

/* The leader is frozen, then another leads; a domain is cut off with a member;
 * nobody leads: all that hear the same members tell the same one. */
static void
test_target (void)
{
	struct loads_member m[3] = {{"10.1.0.3:1", false, 9500},
				    {"10.1.0.1:1", true, 9600},
				    {"10.1.0.2:1", false, 9700}};

	CU_ASSERT (loads_choose_member (m, 3, 10000) == 1);
	/* It fell silent, and nobody leads yet: the first that is heard. */
	CU_ASSERT (loads_choose_member (
			   m, 3, 9600 + LOADS_MEMBER_TIMEOUT_MS + 1) == 2);
	m[1].last_heard_ms = 0;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 2);
	/* Another leads, and the old one still says so when it wakes. */
	m[0].is_leader = true;
	m[1].last_heard_ms = 9000;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 0);
	m[0].last_heard_ms = m[2].last_heard_ms = 0;
	m[1].last_heard_ms = 0;
	CU_ASSERT (loads_choose_member (m, 3, 10000) == 3);
}

/* A relay that tells another member has nothing here any more. */
static void
test_leaves (void)
{
	struct loads_msg leaves = {.withdraw = true};
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 5000, 0);
	tell (&l, &b, 1, 3000, 0);
	loads_set_report (&l, &b, &leaves);
	CU_ASSERT (others (&l, &a, 1) == 0 && loads_has_relay (&l, &a) &&
		   !loads_has_relay (&l, &b));
	loads_set_report (&l, &b, &leaves);
	loads_finish (&l);
}

static void
doubt (struct loads *l, const int *who, uint32_t domain, bool down)
{
	struct load x = {7, 0, 0, down};
	struct loads_msg m = {.loads = {&x, down},
			      .has_subscription = true,
			      .domain_hash = domain};

	loads_set_report (l, who, &m);
}

static bool
seen_down (struct loads *l, const int *who)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	bool down = false;

	loads_want_snapshot (l, who);
	loads_peer_loads (l, who, out);
	for (guint i = 0; i < out->len; i++)
		down = down || g_array_index (out, struct load, i).down;
	g_array_free (out, TRUE);
	return down;
}

/* An endpoint crashed: relays of two domains found out, and the others are told
 * before they send there.  A cut that one domain sees says nothing. */
static void
test_down (void)
{
	struct loads l;
	int r[4];

	loads_init (&l);
	for (uint32_t i = 0; i < 4; i++)
		doubt (&l, &r[i], i % 2, false);
	doubt (&l, &r[0], 0, true);
	doubt (&l, &r[2], 0, true);
	CU_ASSERT (!seen_down (&l, &r[1]) && !seen_down (&l, &r[3]));
	doubt (&l, &r[1], 1, true);
	CU_ASSERT (seen_down (&l, &r[3]) && seen_down (&l, &r[0]));
	/* It answers one of them again, and the other relay is gone. */
	doubt (&l, &r[0], 0, false);
	CU_ASSERT (seen_down (&l, &r[3]));
	loads_drop_relay (&l, &r[2]);
	CU_ASSERT (!seen_down (&l, &r[3]));
	/* Where all relays are in one domain, two of them are enough. */
	loads_drop_relay (&l, &r[0]);
	CU_ASSERT (!seen_down (&l, &r[3]));
	doubt (&l, &r[3], 1, true);
	CU_ASSERT (seen_down (&l, &r[1]));
	loads_drop_relay (&l, &r[1]);
	loads_drop_relay (&l, &r[3]);
	CU_ASSERT (g_hash_table_size (l.suspicions) == 0 &&
		   g_hash_table_size (l.relay_domains) == 0);
	loads_finish (&l);
}

int
main (void)
{
	static const struct t_case cases[] = {{"sums", test_sums},
					      {"work", test_work},
					      {"parts", test_parts},
					      {"changes", test_changes},
					      {"whole", test_whole},
					      {"target", test_target},
					      {"leaves", test_leaves},
					      {"down", test_down},
					      {NULL, NULL}};

	return t_run ("loads", cases);
}
