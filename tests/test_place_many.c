/*
 * Placement at hundreds of relays before thousands of engines: what a choice
 * costs, where prompts are at home, what is told, and engines that crash
 * together.
 */
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

#define MEMORY 540000

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 370,
				      .cold_requests_per_s = 6.3,
				      .is_engine = true,
				      .slots = 64,
				      .kv_capacity_tokens = MEMORY};

static struct place_result
choose_long (const struct fleet *f, uint64_t shared_id, uint32_t dice)
{
	struct dia_segment parts[2] = {{shared_id, 13300}, {1ULL << 40, 3720}};
	struct place_relay rules = {"d0", 7, 300};
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = 17020,
				.max_backlog_ms = 1000,
				.random = dice};

	return place_choose (f, &rules, &req, 1000);
}

/* Processor time of a choice, the least of a few rounds. */
static double
choice_us (uint32_t engines)
{
	struct fleet f;
	double least_us = 1e9;

	t_fleet_init (&f, engines, 0, 7);
	for (int round = 0; round < 7; round++) {
		struct timespec a, b;

		clock_gettime (CLOCK_THREAD_CPUTIME_ID, &a);
		for (uint32_t i = 0; i < 1000; i++)
			CU_ASSERT_FATAL (choose_long (&f, i, i * 77).ep !=
					 NULL);
		clock_gettime (CLOCK_THREAD_CPUTIME_ID, &b);
		least_us = MIN (least_us,
				(double)(b.tv_sec - a.tv_sec) * 1e3 +
					(double)(b.tv_nsec - a.tv_nsec) / 1e6);
	}
	fleet_finish (&f);
	return least_us;
}

/* Hundreds of relays before thousands of engines: a choice costs about the
 * same before 3,000 of them as before 30, and so do a list and its lanes for
 * each engine. */
static void
test_many_cost (void)
{
	struct fleet f;
	gint64 began_us;

	CU_ASSERT (choice_us (3000) < 8 * choice_us (30));
	began_us = g_get_monotonic_time ();
	t_fleet_init (&f, 8000, 0, 7);
	CU_ASSERT (g_get_monotonic_time () - began_us < G_USEC_PER_SEC);
	fleet_finish (&f);
}

/* Homes before many engines: spread evenly, alike at all relays, and few move
 * when engines go. */
static void
test_many_homes (void)
{
	enum { PROMPTS = 60000, ALL = 300, KEPT = 285 };
	static uint32_t homes[ALL];
	struct fleet f, fewer;
	uint32_t moved = 0, most = 0, lane;

	t_fleet_init (&f, ALL, 0, 7);
	t_fleet_init (&fewer, KEPT, 0, 7);
	lane = fleet_pool (&f, "engines")->eps->len -
	       fleet_pool (&f, "engines")->short_count;
	for (uint64_t i = 0; i < PROMPTS; i++) {
		struct place_result a = choose_long (&f, i, 1);
		struct place_result b = choose_long (&f, i, 999);
		struct place_result c = choose_long (&fewer, i, 5);
		uint32_t at = (uint32_t)atoi (a.ep->info.id + 2);

		CU_ASSERT (a.ep == b.ep && a.reason == PLACE_PREFERRED);
		homes[at]++;
		moved +=
			at < KEPT && strcmp (a.ep->info.id, c.ep->info.id) != 0;
	}
	for (uint32_t i = 0; i < ALL; i++)
		most = MAX (most, homes[i]);
	CU_ASSERT (most < 1.5 * PROMPTS / lane);
	/* Lanes are chosen anew as well: a twentieth of the engines went. */
	CU_ASSERT (moved < PROMPTS / 10);
	fleet_finish (&f);
	fleet_finish (&fewer);
}

/* Of shared parts, few are told of: none that are too small to matter, and
 * before many engines none that are at home. */
static void
test_many_told (void)
{
	struct dia_segment large[3] = {{1, 1500}, {2, 1500}, {3, 99}};
	struct dia_segment small[3] = {{1, 500}, {2, 500}, {3, 9000}};
	struct place_result home = {.reason = PLACE_PREFERRED};
	struct place_result spill = {.reason = PLACE_SPILL};
	struct fleet few, many;

	t_fleet_init (&few, FLEET_SUBSET_THRESHOLD, 0, 7);
	t_fleet_init (&many, FLEET_SUBSET_THRESHOLD + 1, 0, 7);
	CU_ASSERT (place_should_advertise (&few, &home, large, 3) &&
		   place_should_advertise (&many, &spill, large, 3) &&
		   !place_should_advertise (&many, &home, large, 3));
	CU_ASSERT (!place_should_advertise (&few, &home, small, 3) &&
		   !place_should_advertise (&many, &spill, small, 3));
	fleet_finish (&few);
	fleet_finish (&many);
}

/* The engine that holds a prompt's parts is down for others: nothing is copied
 * from it, and the prompt goes elsewhere. */
static void
test_many_down (void)
{
	struct dia_segment part = {1, 13300};
	struct fleet_ep *holder;
	struct place_result v;
	struct load down;
	struct fleet f;

	t_fleet_init (&f, 100, 0, 7);
	service.link_mbps = 230000;
	service.kv_token_bytes = 327680;
	holder = fleet_find (&f, "e-42");
	fleet_add_segments (holder, &part, 1, MEMORY);
	v = choose_long (&f, 1, 5);
	CU_ASSERT (v.ep == holder || v.copy_from == holder);
	down = (struct load){holder->ep_hash, 0, 0, true};
	fleet_set_peer_loads (&f, &down, 1, true);
	for (uint32_t dice = 0; dice < 50; dice++) {
		v = choose_long (&f, 1, dice);
		CU_ASSERT (v.ep != NULL && v.ep != holder &&
			   v.copy_from == NULL);
	}
	service.link_mbps = 0;
	fleet_finish (&f);
}

enum { CRASH_RELAYS = 95, CRASH_ENGINES = 100, CRASH_DEAD = 30 };

/* Relays send, find dead engines out, and tell each other every 50 ms; Return:
 * sends that met a dead engine. */
static uint32_t
play_crash (bool told)
{
	struct fleet *fleets = g_new0 (struct fleet, CRASH_RELAYS);
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	GRand *rand = g_rand_new_with_seed (17);
	uint32_t met = 0;
	struct loads l;

	loads_init (&l);
	for (uint32_t r = 0; r < CRASH_RELAYS; r++) {
		struct loads_msg m = {.has_subscription = true,
				      .domain_hash = r % 5};

		t_fleet_init (&fleets[r], CRASH_ENGINES, 0, 7);
		loads_set_report (&l, &fleets[r], &m);
	}
	/* 250 requests a second, for 3 s: until the list shows it. */
	for (uint64_t t_ms = 2000; t_ms < 5000; t_ms += 4) {
		struct fleet *f =
			&fleets[g_rand_int_range (rand, 0, CRASH_RELAYS)];
		uint32_t i = 0;
		struct place_result v;

		do {
			struct load own[CRASH_ENGINES];
			struct loads_msg m = {
				.loads = {own, 0},
				.domain_hash = (uint32_t)(f - fleets) % 5};

			v = choose_long (f, g_rand_int (rand),
					 g_rand_int (rand));
			CU_ASSERT_FATAL (v.ep != NULL);
			if (atoi (v.ep->info.id + 2) >= CRASH_DEAD)
				break;
			met++;
			fleet_suspect (f, v.ep, t_ms);
			for (guint k = 0; k < f->eps->len; k++) {
				struct fleet_ep *ep = f->eps->pdata[k];

				if (ep->health == FLEET_SUSPECT)
					own[m.loads.count++] = (struct load){
						ep->ep_hash, 0, 0, true};
			}
			loads_set_report (&l, f, &m);
		} while (i++ < 50);
		for (uint32_t r = 0; told && t_ms % 52 == 0 && r < CRASH_RELAYS;
		     r++) {
			bool changes;

			g_array_set_size (out, 0);
			changes = loads_peer_loads (&l, &fleets[r], out);
			fleet_set_peer_loads (&fleets[r],
					      (struct load *)out->data,
					      out->len, changes);
		}
	}
	for (uint32_t r = 0; r < CRASH_RELAYS; r++)
		fleet_finish (&fleets[r]);
	loads_finish (&l);
	g_array_free (out, TRUE);
	g_rand_free (rand);
	g_free (fleets);
	return met;
}

/* Many engines crash at once: not each of a hundred relays has to find each of
 * them out. */
static void
test_many_crash (void)
{
	uint32_t told = play_crash (true), untold = play_crash (false);

	/* Two domains' relays find it out, and those that send meanwhile. */
	CU_ASSERT (told <= 6 * CRASH_DEAD);
	CU_ASSERT (untold >= 4 * told);
}

/* All but one engine of thousands can't get the prompt: that one is found. */
static void
test_many_last (void)
{
	struct fleet f;
	struct fleet_ep *last;

	t_fleet_init (&f, 3000, 0, 7);
	last = fleet_find (&f, "e-1234");
	for (guint i = 0; i < f.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

		if (ep != last)
			fleet_retire (ep);
	}
	CU_ASSERT (choose_long (&f, 1, 1).ep == last);
	fleet_retire (last);
	CU_ASSERT (choose_long (&f, 1, 1).reason == PLACE_NONE);
	fleet_finish (&f);
}

int
main (void)
{
	static const struct t_case cases[] = {{"cost", test_many_cost},
					      {"homes", test_many_homes},
					      {"told", test_many_told},
					      {"down", test_many_down},
					      {"crash", test_many_crash},
					      {"last one", test_many_last},
					      {NULL, NULL}};

	return t_run ("place_many", cases);
}
