/*
 * Usage windows: members sum what relays counted, although reports are lost,
 * links come and go, and the leader changes while some relays are cut off.
 */
#include <stdio.h>
#include <string.h>

#include "t_run.h"
#include "wincount.h"

enum { RELAYS = 12, MEMBERS = 5, ACCOUNTS = 20, WINDOWS = 40 };

/* One relay's link to one member. */
struct path {
	struct winsum *to;
	char key[16];
	uint64_t reported;
	bool fails;
	uint32_t reports;
	size_t counts; /* reported in total */
};

static bool
deliver (const struct gmsg_report *m, void *ctx)
{
	struct path *p = ctx;
	const struct gstate_window *w = m->windows.items;

	CU_ASSERT (m->windows.count > 0 &&
		   m->windows.count <= GMSG_WINDOWS_MAX);
	if (p->fails)
		return false;
	p->reports++;
	for (uint32_t i = 0; i < m->windows.count; i++)
		p->counts += w[i].counts.count;
	winsum_set_report (p->to, p->key, m);
	return true;
}

static void
report (const struct wincount *w, struct path *p)
{
	if (p->reported != w->change_seq)
		wincount_report (w, &p->reported, deliver, p);
}

static uint64_t
sum_at (const struct winsum *s, uint64_t number, const char *account)
{
	GArray *sum = winsum_total (s, number);
	uint64_t n = 0;

	for (guint i = 0; i < sum->len; i++) {
		const struct gstate_count *c =
			&g_array_index (sum, struct gstate_count, i);

		if (strcmp (c->account, account) == 0)
			n += c->requests;
	}
	g_array_free (sum, TRUE);
	return n;
}

struct sim {
	GRand *rand;
	struct wincount relays[RELAYS];
	struct winsum members[MEMBERS];
	struct path paths[RELAYS][MEMBERS];
	uint64_t truth[WINDOWS + 1][ACCOUNTS];
};

static void
sim_init (struct sim *s, uint32_t seed)
{
	memset (s, 0, sizeof *s);
	s->rand = g_rand_new_with_seed (seed);
	for (uint32_t m = 0; m < MEMBERS; m++)
		winsum_init (&s->members[m]);
	for (uint32_t r = 0; r < RELAYS; r++) {
		wincount_init (&s->relays[r]);
		for (uint32_t m = 0; m < MEMBERS; m++) {
			s->paths[r][m].to = &s->members[m];
			g_snprintf (s->paths[r][m].key,
				    sizeof s->paths[r][m].key, "r%u/1", r);
		}
	}
}

static void
sim_finish (struct sim *s)
{
	for (uint32_t m = 0; m < MEMBERS; m++)
		winsum_finish (&s->members[m]);
	for (uint32_t r = 0; r < RELAYS; r++)
		wincount_finish (&s->relays[r]);
	g_rand_free (s->rand);
}

static void
sim_count (struct sim *s, uint32_t r, uint64_t window)
{
	uint32_t a = (uint32_t)g_rand_int_range (s->rand, 0, ACCOUNTS);
	char name[16];

	g_snprintf (name, sizeof name, "a%u", a);
	wincount_add (&s->relays[r], window, name);
	s->truth[window][a]++;
}

/* Requests of @window that the sums of member @m lack; none is counted twice.
 */
static uint64_t
sim_missing (struct sim *s, uint32_t m, uint64_t window)
{
	uint64_t missing = 0;

	for (uint32_t a = 0; a < ACCOUNTS; a++) {
		char name[16];
		uint64_t n;

		g_snprintf (name, sizeof name, "a%u", a);
		n = sum_at (&s->members[m], window, name);
		CU_ASSERT (n <= s->truth[window][a]);
		missing += s->truth[window][a] - n;
	}
	return missing;
}

/* Links fail and recover.  After a last report every member has all counts, of
 * more windows than fit into one report. */
static void
test_links (void)
{
	static struct sim s;

	for (uint32_t seed = 1; seed <= 10; seed++) {
		sim_init (&s, seed);
		for (uint32_t turn = 0; turn < 4000; turn++) {
			uint32_t r =
				(uint32_t)g_rand_int_range (s.rand, 0, RELAYS);
			struct path *p =
				&s.paths[r]
					[g_rand_int_range (s.rand, 0, MEMBERS)];

			sim_count (&s, r, 1 + turn * WINDOWS / 4000);
			if (turn % 50 == 0)
				p->fails = !p->fails;
			if (turn % 70 == 0) /* a new link */
				p->reported = 0;
			report (&s.relays[r], p);
		}
		for (uint32_t r = 0; r < RELAYS; r++) {
			for (uint32_t m = 0; m < MEMBERS; m++) {
				s.paths[r][m].fails = false;
				report (&s.relays[r], &s.paths[r][m]);
			}
		}
		for (uint64_t w = 1; w <= WINDOWS; w++)
			CU_ASSERT (sim_missing (&s, 0, w) == 0 &&
				   sim_missing (&s, MEMBERS - 1, w) == 0);
		sim_finish (&s);
	}
}

/* The leader is cut off together with some relays: the member that takes over
 * lacks only what these counted since. */
static void
test_takeover (void)
{
	static struct sim s;
	uint64_t hidden = 0;

	sim_init (&s, 3);
	for (uint32_t turn = 0; turn < 600; turn++) {
		uint32_t r = turn % RELAYS;
		/* The leader is member 0; relays 0 to 2 are cut off. */
		bool is_hidden = turn >= 500 && r <= 2;

		sim_count (&s, r, 1);
		hidden += is_hidden;
		for (uint32_t m = 0; m < MEMBERS && !is_hidden; m++)
			report (&s.relays[r], &s.paths[r][m]);
	}
	CU_ASSERT (hidden > 0 && sim_missing (&s, 1, 1) == hidden);
	sim_finish (&s);
}

/* Half of the relays are killed at once.  They report every 100 ms, so their
 * last report is 50 ms old on average.  Less than a twentieth of the window may
 * be missing, the tolerance of its usage report. */
static void
test_kill (void)
{
	static struct sim s;
	uint64_t missing, all = 0;

	sim_init (&s, 5);
	/* 5 s at 250 requests/s, reports every 100 ms, kill at 4.95 s. */
	for (uint32_t t_ms = 0; t_ms < 5000; t_ms += 4) {
		uint32_t r = (uint32_t)g_rand_int_range (s.rand, 0, RELAYS);

		if (t_ms >= 4950 && r < RELAYS / 2)
			continue;
		sim_count (&s, r, 1);
		all++;
		for (uint32_t k = 0; t_ms % 100 == 96 && k < RELAYS; k++) {
			if (t_ms < 4950 || k >= RELAYS / 2)
				report (&s.relays[k], &s.paths[k][0]);
		}
	}
	missing = sim_missing (&s, 0, 1);
	CU_ASSERT (missing > 0 && missing * 20 < all);
	sim_finish (&s);
}

/* Unchanged counts are not reported again, and sealed windows not summed. */
static void
test_sealed (void)
{
	static struct sim s;
	struct path *p = &s.paths[0][0];

	sim_init (&s, 7);
	for (uint32_t i = 0; i < 200; i++)
		sim_count (&s, 0, 1 + i % 20);
	report (&s.relays[0], p);
	CU_ASSERT (p->reports == 2); /* of 20 windows, 16 in a report */
	p->counts = 0;
	sim_count (&s, 0, 20);
	report (&s.relays[0], p);
	report (&s.relays[0], p);
	CU_ASSERT (p->reports == 3 && p->counts == 1);
	winsum_drop (&s.members[0], 19);
	wincount_drop (&s.relays[0], 19);
	CU_ASSERT (sim_missing (&s, 0, 20) == 0 &&
		   s.relays[0].windows->len == 1);
	/* A late report of a sealed window is ignored. */
	wincount_add (&s.relays[0], 5, "a1");
	report (&s.relays[0], p);
	CU_ASSERT (sum_at (&s.members[0], 5, "a1") == 0);
	winsum_drop (&s.members[0], 20);
	CU_ASSERT (g_hash_table_size (s.members[0].relays) == 0);
	sim_finish (&s);
}

int
main (void)
{
	static const struct t_case cases[] = {{"links", test_links},
					      {"takeover", test_takeover},
					      {"kill", test_kill},
					      {"sealed", test_sealed},
					      {NULL, NULL}};

	return t_run ("wincount", cases);
}
