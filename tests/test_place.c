/*
 * Choice of endpoints, simulated with a simple model of engines: prompts with
 * long shared prefixes, short prompts besides long ones, a burst that exceeds
 * the prefill rate, and a domain whose engines restart cold.
 */
#include <stdio.h>
#include <string.h>

#include "loads.h"
#include "place.h"
#include "t_run.h"

#define ENGINES 18
#define RELAYS 9
#define MEMORY 540000
#define STEP_MS 5

static struct plan_service service = {.name = (char *)"s",
				      .max_connections = 370,
				      .cold_requests_per_s = 6.3,
				      .is_engine = true,
				      .slots = 64,
				      .kv_capacity_tokens = MEMORY};

/* An engine that prefills prompts in order of arrival. */
struct engine {
	double queue_ms; /* prefill backlog */
	GHashTable *cached;
	double streams[400]; /* when each short stream there ends */
	uint32_t stream_count;
	uint32_t slowed; /* streams that a long prompt slowed */
};

struct world {
	struct fleet fleets[RELAYS];
	struct engine engines[ENGINES];
	struct fleet_info infos[ENGINES];
	GRand *rand;
	double prefilled_again; /* tokens of shared segments prefilled again */
	uint32_t sent, waiting;
	uint32_t short_sent, short_slow; /* slow: TTFT over 300 ms */
	uint32_t streams, slowed;
	bool with_lanes;
};

static void
world_init (struct world *w, uint32_t seed, bool with_lanes)
{
	*w = (struct world){.rand = g_rand_new_with_seed (seed),
			    .with_lanes = with_lanes};
	for (uint32_t i = 0; i < ENGINES; i++) {
		struct fleet_info *info = &w->infos[i];

		g_snprintf (info->id, sizeof info->id, "e%u-%u", i, seed);
		g_snprintf (info->domain, sizeof info->domain, "d%u", i % 3);
		g_strlcpy (info->service, "s", sizeof info->service);
		g_strlcpy (info->addr, "10.0.0.1:80", sizeof info->addr);
		w->engines[i].cached =
			g_hash_table_new (g_direct_hash, g_direct_equal);
	}
	for (uint32_t r = 0; r < RELAYS; r++) {
		fleet_init (&w->fleets[r], NULL, NULL);
		fleet_set_list (&w->fleets[r], w->infos, ENGINES, 1000, 0);
		if (with_lanes)
			place_assign_lanes (&w->fleets[r]);
	}
}

static void
world_finish (struct world *w)
{
	for (uint32_t r = 0; r < RELAYS; r++)
		fleet_finish (&w->fleets[r]);
	for (uint32_t i = 0; i < ENGINES; i++)
		g_hash_table_destroy (w->engines[i].cached);
	g_rand_free (w->rand);
}

static uint32_t
engine_of (const struct world *w, const struct fleet_ep *ep)
{
	for (uint32_t i = 0; i < ENGINES; i++) {
		if (strcmp (w->infos[i].id, ep->info.id) == 0)
			return i;
	}
	return 0;
}

/* Gives a relay the current load as its peers report it. */
static void
report_load (struct world *w, uint32_t relay)
{
	struct load loads[ENGINES];

	for (uint32_t i = 0; i < ENGINES; i++)
		loads[i] = (struct load){loads_ep_hash (w->infos[i].id),
					 (uint32_t)(w->engines[i].queue_ms *
						    PLACE_PREFILL_PER_MS),
					 0, false};
	fleet_set_peer_loads (&w->fleets[relay], loads, ENGINES, false);
}

/* Sends a prompt of a shared segment and one of its own; returns false if
 * it has to wait. */
static bool
send_prompt (struct world *w, uint64_t now_ms, uint64_t shared_id,
	     uint32_t shared, uint32_t own, double max_backlog_ms)
{
	uint32_t relay = (uint32_t)g_rand_int_range (w->rand, 0, RELAYS);
	struct dia_segment parts[2] = {
		{shared_id, shared}, {g_rand_int (w->rand) | 1ULL << 40, own}};
	struct place_relay rules = {w->infos[relay % 3].domain, relay * 7919,
				    RELAYS};
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = shared + own,
				.max_backlog_ms = max_backlog_ms,
				.random = g_rand_int (w->rand)};
	struct place_result v;
	struct engine *e;
	bool cached, is_short = shared + own < 4096;
	double first_ms;

	report_load (w, relay);
	v = place_choose (&w->fleets[relay], &rules, &req, now_ms);
	if (v.ep == NULL) {
		w->waiting++;
		return false;
	}
	v.ep->last_sent_ms = now_ms;
	e = &w->engines[engine_of (w, v.ep)];
	cached =
		g_hash_table_contains (e->cached, GSIZE_TO_POINTER (shared_id));
	if (!cached && g_hash_table_size (e->cached) > 0)
		for (uint32_t i = 0; i < ENGINES; i++) {
			if (g_hash_table_contains (
				    w->engines[i].cached,
				    GSIZE_TO_POINTER (shared_id))) {
				w->prefilled_again += shared;
				break;
			}
		}
	g_hash_table_add (e->cached, GSIZE_TO_POINTER (shared_id));
	for (uint32_t r = 0; r < RELAYS; r++) {
		struct load_segment p = {shared_id, v.ep->ep_hash, shared};

		fleet_add_peer_segments (&w->fleets[r], &p, 1, MEMORY, now_ms);
	}
	first_ms = e->queue_ms +
		   (own + (cached ? 0 : shared)) / PLACE_PREFILL_PER_MS;
	e->queue_ms = first_ms;
	w->sent++;
	if (is_short) {
		w->short_sent++;
		w->short_slow += first_ms > 300;
		w->streams++;
		if (e->stream_count < G_N_ELEMENTS (e->streams))
			e->streams[e->stream_count++] = (double)now_ms + 1400;
	} else {
		/* It slows every stream that runs on the engine. */
		for (uint32_t i = e->stream_count; i > 0; i--) {
			if (e->streams[i - 1] > (double)now_ms) {
				w->slowed++;
			}
			e->streams[i - 1] = e->streams[--e->stream_count];
		}
	}
	return true;
}

static void
advance_step (struct world *w)
{
	for (uint32_t i = 0; i < ENGINES; i++)
		w->engines[i].queue_ms =
			MAX (w->engines[i].queue_ms - STEP_MS, 0);
}

/* 196 long shared segments, requested again and again: each is prefilled about
 * once. */
static void
test_shared_segments (void)
{
	struct world w;
	uint64_t now_ms = 1000;

	world_init (&w, 1, true);
	for (int i = 0; i < 12000; i++) {
		if (g_rand_double (w.rand) < 0.1)
			send_prompt (
				&w, now_ms,
				1 + (uint64_t)g_rand_int_range (w.rand, 0, 196),
				13300, 3720, 1000);
		advance_step (&w);
		now_ms += STEP_MS;
	}
	/* All segments are 2.6 M tokens; a tenth may be prefilled again. */
	CU_ASSERT (w.prefilled_again < 0.1 * 196 * 13300);
	CU_ASSERT (w.sent > 1000 && w.waiting == 0);
	world_finish (&w);
}

static void
run_mixed_load (struct world *w)
{
	uint64_t now_ms = 1000;

	for (int i = 0; i < 6000; i++) {
		double x = g_rand_double (w->rand);

		if (x < 0.1)
			send_prompt (w, now_ms,
				     1 + (uint64_t)g_rand_int_range (w->rand, 0,
								     196),
				     13300, 3720, 1000);
		else if (x < 0.22)
			send_prompt (w, now_ms,
				     1000 + (uint64_t)g_rand_int_range (w->rand,
									0, 160),
				     350, 1110, 250);
		advance_step (w);
		now_ms += STEP_MS;
	}
}

/* Short streams besides long prompts: with lanes, few streams are slowed. */
static void
test_lanes (void)
{
	struct world with, without;

	world_init (&with, 3, true);
	world_init (&without, 3, false);
	run_mixed_load (&with);
	run_mixed_load (&without);
	CU_ASSERT (with.slowed * 5 < without.slowed);
	CU_ASSERT (with.short_slow * 50 < with.short_sent);
	world_finish (&with);
	world_finish (&without);
}

/* A burst that exceeds the prefill rate: the prompts that wait in the relay
 * don't delay urgent prompts that arrive after them. */
static void
test_burst (void)
{
	struct world w;
	uint64_t now_ms = 1000;

	world_init (&w, 5, true);
	for (int i = 0; i < 1000; i++) {
		/* New segments each time: nothing is cached anywhere. */
		for (int k = 0; k < 2; k++)
			send_prompt (&w, now_ms, 10000 + g_rand_int (w.rand),
				     13300, 3720, 250);
		if (i % 4 == 0)
			send_prompt (&w, now_ms, 20, 350, 1110, 150);
		advance_step (&w);
		now_ms += STEP_MS;
	}
	CU_ASSERT (w.waiting > 100);
	for (uint32_t i = 0; i < ENGINES; i++)
		CU_ASSERT (w.engines[i].queue_ms < 250 + 400);
	CU_ASSERT (w.short_slow * 10 < w.short_sent);
	world_finish (&w);
}

/* A burst of short prompts, twice the prefill rate of their lane, while the
 * other lane is mostly idle: few of them wait. */
static void
test_short_burst (void)
{
	struct world w;
	uint64_t now_ms = 1000;

	world_init (&w, 7, true);
	for (int i = 0; i < 600; i++) {
		if (i % 10 == 0)
			send_prompt (
				&w, now_ms,
				1 + (uint64_t)g_rand_int_range (w.rand, 0, 196),
				13300, 3720, 200);
		for (int k = 0; k < 2; k++)
			send_prompt (&w, now_ms,
				     1000 + (uint64_t)g_rand_int_range (w.rand,
									0, 160),
				     350, 1110, 150);
		advance_step (&w);
		now_ms += STEP_MS;
	}
	CU_ASSERT (w.waiting * 100 < w.short_sent);
	CU_ASSERT (w.short_slow * 100 < w.short_sent);
	world_finish (&w);
}

/* The engines of a domain restart cold: with any number of relays, none gets
 * more requests in any second than it can take. */
static void
simulate_cold (uint32_t seed, uint32_t relays)
{
	const double bound = 6.3 * 1.5 + 5;
	static uint32_t sent[ENGINES][1200];
	struct fleet *fleets = g_new0 (struct fleet, relays);
	uint64_t now_ms = 5000;
	struct world w;

	world_init (&w, seed, true);
	memset (sent, 0, sizeof sent);
	for (uint32_t r = 0; r < relays; r++) {
		fleet_init (&fleets[r], NULL, NULL);
		fleet_set_list (&fleets[r], w.infos, ENGINES, now_ms, 0);
		for (guint i = 0; i < fleets[r].eps->len; i++)
			fleet_set_cold (fleets[r].eps->pdata[i], 6000, now_ms);
	}
	for (uint32_t t = 0; t < 1200; t++, now_ms += STEP_MS) {
		for (uint32_t k = 0; k < MAX (4, relays / 4); k++) {
			uint32_t r = (uint32_t)g_rand_int_range (
				w.rand, 0, (gint32)relays);
			char name[16];
			struct place_relay rules = {"d0", 0, relays};
			struct place_req req = {.service = &service,
						.prompt_tokens = 1000,
						.max_backlog_ms = 1e9,
						.random = g_rand_int (w.rand)};
			struct place_result v;

			g_snprintf (name, sizeof name, "relay-%u-%u", seed, r);
			rules.hash = g_str_hash (name);
			v = place_choose (&fleets[r], &rules, &req, now_ms);
			if (v.ep == NULL)
				continue;
			v.ep->last_sent_ms = now_ms;
			sent[engine_of (&w, v.ep)][t]++;
		}
	}
	for (uint32_t i = 0; i < ENGINES; i++) {
		for (uint32_t t = 0; t + 200 <= 1200; t++) {
			uint32_t sum = 0;

			for (uint32_t k = 0; k < 200; k++)
				sum += sent[i][t + k];
			CU_ASSERT (sum <= bound);
		}
	}
	for (uint32_t r = 0; r < relays; r++)
		fleet_finish (&fleets[r]);
	g_free (fleets);
	world_finish (&w);
}

static void
test_cold (void)
{
	for (uint32_t seed = 1; seed <= 10; seed++) {
		simulate_cold (seed, 9);
		simulate_cold (seed, 74);
		simulate_cold (seed, 300);
	}
}

static void
test_choices (void)
{
	struct place_relay rules = {"d0", 1, 1};
	struct plan_service plain = {.name = (char *)"s",
				     .max_connections = 10};
	struct place_req req = {.service = &plain};
	struct place_result v;
	struct world w;

	world_init (&w, 9, true);
	for (int i = 0; i < 100; i++) {
		req.random = (uint32_t)i;
		v = place_choose (&w.fleets[0], &rules, &req, 1000);
		CU_ASSERT (strcmp (v.ep->info.domain, "d0") == 0);
	}
	/* An endpoint that was tried is left out; with all of them suspect
	 * there is none. */
	req.tried[0] = v.ep;
	req.tried_count = 1;
	CU_ASSERT (place_choose (&w.fleets[0], &rules, &req, 1000).ep != v.ep);
	for (guint i = 0; i < w.fleets[0].eps->len; i++)
		fleet_suspect (&w.fleets[0], w.fleets[0].eps->pdata[i], 1000);
	v = place_choose (&w.fleets[0], &rules, &req, 1000);
	CU_ASSERT (v.ep == NULL && v.reason == PLACE_NONE);
	world_finish (&w);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"shared segments", test_shared_segments},
		{"lanes", test_lanes},
		{"burst", test_burst},
		{"short burst", test_short_burst},
		{"cold", test_cold},
		{"choices", test_choices},
		{NULL, NULL}};

	return t_run ("place", cases);
}
