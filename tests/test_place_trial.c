/*
 * Endpoints that close every connection without an answer while their health
 * check succeeds: how many requests that may run only once they cost.
 */
#include <stdlib.h>

#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

enum {
	RELAYS = 74,
	ENGINES = 90,
	FAULTY = 21,
	DOMAINS = 5,
	STEP_MS = 2,
	START_MS = 2000,
	END_MS = 8000,
	/* the longest pause between probes, and the longest trial */
	RECOVERY_MS = 7000,
	REPORT_MS = 50,
	PROBE_MS = 60,
	ONCE_IN = 4 /* one request of so many may run only once */
};

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 600,
				      .cold_requests_per_s = 13,
				      .is_engine = true,
				      .slots = 24,
				      .kv_capacity_tokens = 540000};

struct world {
	struct fleet fleets[RELAYS];
	struct loads loads;
	GRand *rand;
	uint32_t lost; /* requests that may run only once and were broken */
	uint32_t at_faulty_after; /* answered by an endpoint that recovered */
};

static void
world_init (struct world *w)
{
	loads_init (&w->loads);
	w->rand = g_rand_new_with_seed (23);
	for (uint32_t r = 0; r < RELAYS; r++) {
		struct loads_msg m = {.has_subscription = true,
				      .domain_hash = r % DOMAINS};

		t_fleet_init (&w->fleets[r], ENGINES, 0, 7);
		loads_set_report (&w->loads, &w->fleets[r], &m);
	}
}

static void
world_finish (struct world *w)
{
	for (uint32_t r = 0; r < RELAYS; r++)
		fleet_finish (&w->fleets[r]);
	loads_finish (&w->loads);
	g_rand_free (w->rand);
}

static bool
is_faulty (const struct fleet_ep *ep)
{
	return atoi (ep->info.id + 2) < FAULTY;
}

/* One request of a relay, with another attempt if it may run again.  @on_trial:
 * endpoints that broke a request are on trial. */
static void
send_request (struct world *w, struct fleet *f, bool on_trial, bool faults,
	      uint64_t now_ms)
{
	struct dia_segment parts[2] = {{g_rand_int (w->rand), 198},
				       {1ULL << 40, 628}};
	struct place_relay relay = {"d0", (uint32_t)(f - w->fleets) * 7919,
				    RELAYS};
	struct place_req req = {
		.service = &service,
		.segments = parts,
		.segment_count = 2,
		.prompt_tokens = 826,
		.max_backlog_ms = 300,
		.may_repeat = g_rand_int_range (w->rand, 0, ONCE_IN) > 0,
		.random = g_rand_int (w->rand)};

	for (uint32_t attempt = 0; attempt < 2; attempt++) {
		struct place_result v = place_choose (f, &relay, &req, now_ms);

		CU_ASSERT (v.ep != NULL);
		if (v.ep == NULL)
			return;
		if (!faults || !is_faulty (v.ep)) {
			fleet_answered (v.ep);
			fleet_heard (v.ep, now_ms);
			w->at_faulty_after += !faults && is_faulty (v.ep);
			return;
		}
		if (on_trial)
			fleet_broke_request (f, v.ep, now_ms);
		else
			fleet_suspect (f, v.ep, now_ms);
		if (!req.may_repeat) {
			w->lost++;
			return;
		}
		req.tried[req.tried_count++] = v.ep;
		req.may_repeat = false;
	}
}

/* Health checks succeed at every endpoint. */
static void
probe (struct fleet *f, uint64_t now_ms)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = f->eps->pdata[i];

		if (ep->health == FLEET_SUSPECT && ep->probe_at_ms <= now_ms)
			fleet_probed (f, ep, true, now_ms);
	}
}

static void
report (struct world *w, uint64_t now_ms)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));

	for (uint32_t r = 0; r < RELAYS; r++) {
		struct fleet *f = &w->fleets[r];
		struct load own[ENGINES];
		struct loads_msg m = {.loads = {own, 0},
				      .domain_hash = r % DOMAINS};

		for (guint i = 0; i < f->eps->len; i++) {
			struct fleet_ep *ep = f->eps->pdata[i];

			if (fleet_is_reported (ep, now_ms))
				own[m.loads.count++] =
					(struct load){ep->ep_hash, 0, 0, true};
		}
		loads_set_report (&w->loads, f, &m);
	}
	for (uint32_t r = 0; r < RELAYS; r++) {
		bool changes;

		g_array_set_size (out, 0);
		changes = loads_peer_loads (&w->loads, &w->fleets[r], out);
		fleet_set_peer_loads (&w->fleets[r], (struct load *)out->data,
				      out->len, changes);
	}
	g_array_free (out, TRUE);
}

/* 500 requests a second; the FAULTY endpoints break all of theirs if @faults.
 */
static void
run (struct world *w, bool on_trial, bool faults, uint64_t from_ms,
     uint64_t to_ms)
{
	for (uint64_t t_ms = from_ms; t_ms < to_ms; t_ms += STEP_MS) {
		uint32_t r = g_rand_int_range (w->rand, 0, RELAYS);

		send_request (w, &w->fleets[r], on_trial, faults, t_ms);
		for (r = 0; t_ms % PROBE_MS == 0 && r < RELAYS; r++)
			probe (&w->fleets[r], t_ms);
		if (t_ms % REPORT_MS == 0)
			report (w, t_ms);
	}
}

/* Each faulty endpoint costs about as many requests that may run once as it
 * takes to detect it in two domains; it is used again soon after it recovers.
 */
static void
test_trial (void)
{
	struct world *w = g_new0 (struct world, 1);
	uint32_t lost;

	world_init (w);
	run (w, true, true, START_MS, END_MS);
	lost = w->lost;
	CU_ASSERT (lost <= 3 * FAULTY);
	run (w, true, false, END_MS, END_MS + RECOVERY_MS);
	w->at_faulty_after = 0;
	run (w, true, false, END_MS + RECOVERY_MS, END_MS + RECOVERY_MS + 2000);
	/* A share of 21 of 90 of 1,000 requests is 233. */
	CU_ASSERT (w->at_faulty_after >= 150);
	world_finish (w);
	*w = (struct world){0};
	world_init (w);
	run (w, false, true, START_MS, END_MS);
	CU_ASSERT (w->lost >= 2 * lost);
	world_finish (w);
	g_free (w);
}

int
main (void)
{
	static const struct t_case cases[] = {{"trial", test_trial},
					      {NULL, NULL}};

	return t_run ("place_trial", cases);
}
