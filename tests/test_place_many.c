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
	lane = fleet_pool (&f, "engines", FLEET_MAIN)->eps->len -
	       fleet_pool (&f, "engines", FLEET_MAIN)->short_count;
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

enum { COLD_ENGINES = 30, COLD_STEP_MS = 2, COLD_END_MS = 6000 };

/* The cold endpoints are idle and the others busy, so every relay prefers the
 * cold ones once it takes them for warm. */
static void
cold_report_load (struct fleet *f, uint32_t cold_count)
{
	struct load loads[COLD_ENGINES];
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = f->eps->pdata[i];

		if (ep->cold_until_ms == 0)
			loads[n++] =
				(struct load){ep->ep_hash, 20000, 40, false};
	}
	CU_ASSERT (n == COLD_ENGINES - cold_count);
	fleet_set_peer_loads (f, loads, n, false);
}

/* The list arrives that says until when the first domain's endpoints are cold;
 * its age covers the whole time that reading it took. */
static void
cold_list (struct fleet *f, uint32_t cold_count, uint64_t now_ms,
	   uint32_t read_ms)
{
	for (uint32_t i = 0; i < cold_count; i++) {
		struct fleet_info info;
		char id[FLEET_NAME_BYTES];

		g_snprintf (id, sizeof id, "e-%u", 5 * i);
		info = fleet_find (f, id)->info;
		info.cold_remaining_ms = (uint32_t)(COLD_END_MS - now_ms);
		fleet_apply_delta (f, &info, 1, NULL, 0, now_ms, read_ms);
	}
	place_assign_lanes (f);
	cold_report_load (f, cold_count);
}

/* A request of relay @r; returns the endpoint that it is sent to. */
static struct fleet_ep *
cold_send (struct fleet *f, const struct place_relay *relay, uint64_t now_ms,
	   GRand *rand)
{
	struct dia_segment parts[2] = {{g_rand_int (rand), 500},
				       {1ULL << 40, 300}};
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = 800,
				.max_backlog_ms = 1000,
				.random = g_rand_int (rand)};
	struct place_result v = place_choose (f, relay, &req, now_ms);

	CU_ASSERT (v.ep != NULL);
	if (v.ep != NULL)
		v.ep->last_sent_ms = now_ms;
	return v.ep;
}

/* The most requests that an endpoint gets in a second that ends while it is
 * cold. */
static uint32_t
cold_peak (const GArray *times_ms)
{
	uint32_t most = 0;
	guint from = 0;

	for (guint i = 0; i < times_ms->len; i++) {
		uint64_t at_ms = g_array_index (times_ms, uint64_t, i);

		while (g_array_index (times_ms, uint64_t, from) + 1000 <= at_ms)
			from++;
		if (at_ms < COLD_END_MS)
			most = MAX (most, i + 1 - from);
	}
	return most;
}

/* Endpoints of one domain are cold until COLD_END_MS, and @relays relays with
 * lists of different age send 1,000 requests a second.  Returns cold_peak() of
 * the endpoint that got most. */
static uint32_t
simulate_cold (uint32_t relays, uint32_t cold_count, uint32_t read_ms)
{
	struct fleet *fleets = g_new0 (struct fleet, relays);
	GRand *rand = g_rand_new_with_seed (relays + cold_count);
	GArray *times_ms[COLD_ENGINES];
	uint32_t most = 0;

	for (uint32_t i = 0; i < COLD_ENGINES; i++)
		times_ms[i] = g_array_new (FALSE, FALSE, sizeof (uint64_t));
	for (uint32_t r = 0; r < relays; r++) {
		t_fleet_init (&fleets[r], COLD_ENGINES, 0, r * 2654435761U);
		cold_list (&fleets[r], cold_count, 1000 + 800 * r / relays,
			   read_ms);
	}
	for (uint64_t now_ms = 2000; now_ms < COLD_END_MS + 1000;
	     now_ms += COLD_STEP_MS) {
		for (uint32_t k = 0; k < COLD_STEP_MS; k++) {
			uint32_t r = (uint32_t)g_rand_int_range (
				rand, 0, (gint32)relays);
			struct place_relay relay = {"d1", r * 2654435761U,
						    relays};
			struct fleet_ep *ep =
				cold_send (&fleets[r], &relay, now_ms, rand);

			if (ep != NULL && ep->cold_until_ms != 0)
				g_array_append_val (
					times_ms[atoi (ep->info.id + 2)],
					now_ms);
		}
	}
	for (uint32_t i = 0; i < COLD_ENGINES; i++) {
		most = MAX (most, cold_peak (times_ms[i]));
		g_array_free (times_ms[i], TRUE);
	}
	for (uint32_t r = 0; r < relays; r++)
		fleet_finish (&fleets[r]);
	g_rand_free (rand);
	g_free (fleets);
	return most;
}

/* All relays know the moment at which endpoints are warm.  However many they
 * are, and although the age of the list makes that moment seem too early, the
 * endpoints get no more than they bear before it. */
static void
test_many_cold (void)
{
	static const uint32_t relays[] = {86, 300};
	/* The bound that deployments state: half more than the rate, and 5. */
	double bound = 1.5 * service.cold_requests_per_s + 5;

	for (uint32_t i = 0; i < G_N_ELEMENTS (relays); i++) {
		for (uint32_t cold = 1; cold <= 6; cold += 5) {
			service.is_engine = false;
			CU_ASSERT (simulate_cold (relays[i], cold, 60) <=
				   bound);
			service.is_engine = true;
			CU_ASSERT (simulate_cold (relays[i], cold, 60) <=
				   bound);
		}
	}
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
		{"cold", test_many_cold},
		{"last one", test_many_last},
		{NULL, NULL}};

	return t_run ("place_many", cases);
}
