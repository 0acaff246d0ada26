/*
 * Choice of endpoints with hundreds of relays and thousands of engines: the
 * processor time of a choice, the spread of preferred engines, the volume of
 * reports, and engines that crash together.
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

/* Processor time of a choice in microseconds, the least of a few rounds. */
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

/* A choice takes about as long with 3,000 engines as with 30, and so does each
 * engine of a new list and its lanes. */
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

/* Preferred engines are spread evenly and the same at all relays, and few
 * change when engines are removed. */
static void
test_many_preferred (void)
{
	enum { PROMPTS = 60000, ALL = 300, KEPT = 285 };
	static uint32_t prompts_at[ALL];
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
		prompts_at[at]++;
		moved +=
			at < KEPT && strcmp (a.ep->info.id, c.ep->info.id) != 0;
	}
	for (uint32_t i = 0; i < ALL; i++)
		most = MAX (most, prompts_at[i]);
	CU_ASSERT (most < 1.5 * PROMPTS / lane);
	/* Lanes change as well: a twentieth of the engines was removed. */
	CU_ASSERT (moved < PROMPTS / 10);
	fleet_finish (&f);
	fleet_finish (&fewer);
}

/* Few prefixes are advertised: none that are too short to matter, and with many
 * engines none on their preferred engine. */
static void
test_many_advertised (void)
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

/* Peers report that the engine that caches a prefix is down: nothing is copied
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

/* Relays send requests, detect crashed engines, and if @reported is true report
 * them to each other every 50 ms.  Returns the requests sent to a crashed one.
 */
static uint32_t
simulate_crash (bool reported)
{
	struct fleet *fleets = g_new0 (struct fleet, CRASH_RELAYS);
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	GRand *rand = g_rand_new_with_seed (17);
	uint32_t lost = 0;
	struct loads l;

	loads_init (&l);
	for (uint32_t r = 0; r < CRASH_RELAYS; r++) {
		struct loads_msg m = {.has_subscription = true,
				      .domain_hash = r % 5};

		t_fleet_init (&fleets[r], CRASH_ENGINES, 0, 7);
		loads_set_report (&l, &fleets[r], &m);
	}
	/* 250 requests a second, for 3 s until the list shows the crash. */
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
			lost++;
			fleet_suspect (f, v.ep, t_ms);
			for (guint k = 0; k < f->eps->len; k++) {
				struct fleet_ep *ep = f->eps->pdata[k];

				if (ep->health == FLEET_SUSPECT)
					own[m.loads.count++] = (struct load){
						ep->ep_hash, 0, 0, true};
			}
			loads_set_report (&l, f, &m);
		} while (i++ < 50);
		for (uint32_t r = 0;
		     reported && t_ms % 52 == 0 && r < CRASH_RELAYS; r++) {
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
	return lost;
}

/* Many engines crash at once: not each of a hundred relays has to detect each
 * of them by itself. */
static void
test_many_crash (void)
{
	uint32_t reported = simulate_crash (true);
	uint32_t unreported = simulate_crash (false);

	/* Relays of two domains detect each one, and those that send to it
	 * before the report arrives. */
	CU_ASSERT (reported <= 6 * CRASH_DEAD);
	CU_ASSERT (unreported >= 4 * reported);
}

/* Only one engine of thousands is available: it is found. */
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
	static const struct t_case cases[] = {
		{"cost", test_many_cost},
		{"preferred", test_many_preferred},
		{"advertised", test_many_advertised},
		{"down", test_many_down},
		{"crash", test_many_crash},
		{"last one", test_many_last},
		{NULL, NULL}};

	return t_run ("place_many", cases);
}
