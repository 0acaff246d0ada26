/*
 * A burst of streams beside long prompts: more of them than the engines of the
 * lane for short prompts run at once, while those of the other lane have free
 * slots.  The relays know each other's load as the group reports it.
 */
#include <stdlib.h>

#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

enum {
	RELAYS = 20,
	ENGINES = 24,
	SLOTS = 24,
	HOLD_MS = 1000,
	STEP_MS = 5,
	REPORT_MS = 50,
	RUN_MS = 8000,
	STREAMS_MAX = 4000,
	WAIT_MAX_MS = 250, /* under half of an objective of 600 ms */
};

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 600,
				      .is_engine = true,
				      .slots = SLOTS,
				      .kv_capacity_tokens = 540000};

/* A stream at an engine: it waits for a slot there, and then holds it. */
struct stream {
	struct fleet_ep *ep;
	uint32_t relay;
	uint32_t engine;
	uint64_t arrived_ms;
	uint64_t end_ms; /* 0 while it waits */
};

struct world {
	struct fleet fleets[RELAYS];
	struct loads loads;
	GRand *rand;
	struct stream streams[STREAMS_MAX];
	uint32_t count;
	uint32_t running[ENGINES];
	uint32_t sent, waited;
};

/* Each relay reports its load and receives that of its peers. */
static void
exchange_loads (struct world *w)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));

	for (uint32_t r = 0; r < RELAYS; r++) {
		struct load own[ENGINES];
		struct loads_msg m = {.loads = {own, 0},
				      .has_subscription = true,
				      .domain_hash = r % 5};

		for (guint i = 0; i < w->fleets[r].eps->len; i++) {
			const struct fleet_ep *ep = w->fleets[r].eps->pdata[i];

			own[m.loads.count++] = (struct load){
				ep->ep_hash, 0, ep->inflight, false};
		}
		loads_set_report (&w->loads, &w->fleets[r], &m);
	}
	for (uint32_t r = 0; r < RELAYS; r++) {
		bool is_delta;

		g_array_set_size (out, 0);
		is_delta = loads_peer_loads (&w->loads, &w->fleets[r], out);
		fleet_set_peer_loads (&w->fleets[r], (struct load *)out->data,
				      out->len, is_delta);
	}
	g_array_free (out, TRUE);
}

static void
send_stream (struct world *w, uint64_t now_ms)
{
	uint32_t r = (uint32_t)g_rand_int_range (w->rand, 0, RELAYS);
	struct dia_segment parts[2] = {{g_rand_int_range (w->rand, 1, 600), 80},
				       {1ULL << 40, 500}};
	struct place_relay relay = {"d0", r, RELAYS};
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = 580,
				.max_backlog_ms = 300,
				.random = g_rand_int (w->rand)};
	struct place_result v =
		place_choose (&w->fleets[r], &relay, &req, now_ms);

	CU_ASSERT (v.ep != NULL);
	if (v.ep == NULL || w->count == STREAMS_MAX)
		return;
	v.ep->inflight++;
	w->streams[w->count++] = (struct stream){
		v.ep, r, (uint32_t)strtoul (v.ep->info.id + 2, NULL, 10),
		now_ms, 0};
	w->sent++;
}

/* Starts the streams that have a slot, oldest first, and ends those that are
 * done. */
static void
advance (struct world *w, uint64_t now_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < w->count; i++) {
		struct stream *s = &w->streams[i];

		if (s->end_ms == 0 && w->running[s->engine] < SLOTS) {
			w->running[s->engine]++;
			w->waited += now_ms > s->arrived_ms + WAIT_MAX_MS;
			s->end_ms = now_ms + HOLD_MS;
		}
		if (s->end_ms != 0 && now_ms >= s->end_ms) {
			w->running[s->engine]--;
			s->ep->inflight--;
			fleet_note_stream (&w->fleets[s->relay], HOLD_MS);
			continue;
		}
		w->streams[kept++] = *s;
	}
	w->count = kept;
}

/* Plays @per_s streams a second; returns the share that waited longer than
 * WAIT_MAX_MS for a slot. */
static double
play (uint32_t per_s, uint32_t seed)
{
	struct world *w = g_new0 (struct world, 1);
	double share;

	w->rand = g_rand_new_with_seed (seed);
	loads_init (&w->loads);
	for (uint32_t r = 0; r < RELAYS; r++)
		t_fleet_init (&w->fleets[r], ENGINES, 0, r);
	for (uint64_t now_ms = 1000; now_ms < RUN_MS; now_ms += STEP_MS) {
		advance (w, now_ms);
		if (now_ms % REPORT_MS == 0)
			exchange_loads (w);
		for (uint32_t k = 0; k < per_s * STEP_MS / 1000; k++)
			send_stream (w, now_ms);
	}
	share = (double)w->waited / w->sent;
	for (uint32_t r = 0; r < RELAYS; r++)
		fleet_finish (&w->fleets[r]);
	loads_finish (&w->loads);
	g_rand_free (w->rand);
	g_free (w);
	return share;
}

/* The lane for short prompts has slots for some 140 streams, all engines for
 * 576. */
static void
test_burst (void)
{
	for (uint32_t seed = 1; seed <= 5; seed++) {
		CU_ASSERT (play (200, seed) < 0.02);
		CU_ASSERT (play (400, seed) < 0.05);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {{"burst", test_burst},
					      {NULL, NULL}};

	return t_run ("place_slots", cases);
}
