/*
 * Engines that turn slow: their streams begin in time, but pause for longer
 * than the most urgent requests bear.
 */
#include <stdlib.h>

#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

enum {
	RELAYS = 74,
	ENGINES = 90,
	SLOW = 18,
	DOMAINS = 3,
	STEP_MS = 2,
	REPORT_MS = 50,
	START_MS = 2000,
	SLOW_MS = 6000,
	FAST_MS = 12000,
	/* an engine counts as slow for a while after its last slow stream */
	RECOVERY_MS = 3000,
	END_MS = 17000,
	EVENT_MS = 33,
	SLOW_EVENT_MS = 80,
	GAP_MS = 110,
	SLOW_GAP_MS = 320,
	GAP_TARGET_MS = 250,
	MEASURED_EVENTS = 8,
	PATIENT_IN = 2 /* one request of so many bears the pauses */
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
	uint32_t sent, late, at_slow, patient, patient_at_slow;
};

static void
world_init (struct world *w)
{
	loads_init (&w->loads);
	w->rand = g_rand_new_with_seed (29);
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
turns_slow (const struct fleet_ep *ep)
{
	return atoi (ep->info.id + 2) < SLOW;
}

/* One stream of a relay; its speed is known at once, which only shortens the
 * time until the first relays know. */
static void
send_request (struct world *w, struct fleet *f, bool slow, bool measured,
	      uint64_t now_ms)
{
	struct dia_segment parts[2] = {{g_rand_int (w->rand), 198},
				       {1ULL << 40, 628}};
	struct place_relay relay = {"d0", (uint32_t)(f - w->fleets) * 7919,
				    RELAYS};
	bool patient = g_rand_int_range (w->rand, 0, PATIENT_IN) == 0;
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = 826,
				.max_backlog_ms = 300,
				.latency_target_ms = 600,
				.gap_target_ms = patient ? 4 * GAP_TARGET_MS
							 : GAP_TARGET_MS,
				.random = g_rand_int (w->rand)};
	struct place_result v = place_choose (f, &relay, &req, now_ms);
	bool is_slow;

	CU_ASSERT (v.ep != NULL);
	if (v.ep == NULL)
		return;
	is_slow = slow && turns_slow (v.ep);
	w->patient += patient;
	w->patient_at_slow += patient && turns_slow (v.ep);
	w->sent += !patient;
	w->at_slow += !patient && turns_slow (v.ep);
	w->late += !patient && is_slow;
	if (!measured)
		return;
	fleet_note_pace (f, v.ep, is_slow ? SLOW_EVENT_MS : EVENT_MS, now_ms);
	fleet_note_gap (f, v.ep, is_slow ? SLOW_GAP_MS : GAP_MS, now_ms);
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

			if (fleet_is_slow (ep, now_ms))
				own[m.loads.count++] = (struct load){
					ep->ep_hash, 0, 0, false, true};
		}
		loads_set_report (&w->loads, f, &m);
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

/* 500 streams a second. */
static void
run (struct world *w, bool slow, bool measured, uint64_t from_ms,
     uint64_t to_ms)
{
	w->sent = w->late = w->at_slow = w->patient = w->patient_at_slow = 0;
	for (uint64_t t_ms = from_ms; t_ms < to_ms; t_ms += STEP_MS) {
		uint32_t r = g_rand_int_range (w->rand, 0, RELAYS);

		send_request (w, &w->fleets[r], slow, measured, t_ms);
		if (t_ms % REPORT_MS == 0)
			report (w, t_ms);
	}
}

/* A fifth of the engines turn slow: few streams that they would delay go there,
 * while others use them on, and all do so soon after they are fast again. */
static void
test_slow (void)
{
	struct world *w = g_new0 (struct world, 1);

	world_init (w);
	run (w, false, true, START_MS, SLOW_MS);
	CU_ASSERT (w->at_slow * 10 >= w->sent);
	run (w, true, true, SLOW_MS, FAST_MS);
	CU_ASSERT (w->late * 20 <= w->sent);
	CU_ASSERT (w->patient_at_slow * 10 >= w->patient);
	run (w, false, true, FAST_MS, FAST_MS + RECOVERY_MS);
	run (w, false, true, FAST_MS + RECOVERY_MS, END_MS);
	CU_ASSERT (w->at_slow * 10 >= w->sent);
	world_finish (w);
	*w = (struct world){0};
	world_init (w);
	run (w, true, false, SLOW_MS, FAST_MS);
	CU_ASSERT (w->late * 10 >= w->sent);
	world_finish (w);
	g_free (w);
}

/* A link that delays what one domain receives is no reason for the others. */
static void
test_one_domain (void)
{
	struct world *w = g_new0 (struct world, 1);
	struct fleet *f = &w->fleets[0], *other = &w->fleets[1];

	world_init (w);
	for (uint32_t i = 0; i < MEASURED_EVENTS; i++)
		fleet_note_pace (f, f->eps->pdata[1], EVENT_MS, START_MS);
	fleet_note_pace (f, f->eps->pdata[0], SLOW_EVENT_MS, START_MS);
	CU_ASSERT (fleet_is_slow (f->eps->pdata[0], START_MS));
	report (w, START_MS);
	CU_ASSERT (!((struct fleet_ep *)other->eps->pdata[0])->peer_slow);
	for (uint32_t i = 0; i < MEASURED_EVENTS; i++)
		fleet_note_pace (other, other->eps->pdata[1], EVENT_MS,
				 START_MS);
	fleet_note_pace (other, other->eps->pdata[0], SLOW_EVENT_MS, START_MS);
	report (w, START_MS);
	CU_ASSERT (((struct fleet_ep *)w->fleets[2].eps->pdata[0])->peer_slow);
	fleet_note_pace (f, f->eps->pdata[0], EVENT_MS, START_MS);
	report (w, START_MS);
	CU_ASSERT (!((struct fleet_ep *)w->fleets[2].eps->pdata[0])->peer_slow);
	world_finish (w);
	g_free (w);
}

int
main (void)
{
	static const struct t_case cases[] = {{"slow", test_slow},
					      {"one domain", test_one_domain},
					      {NULL, NULL}};

	return t_run ("place_slow", cases);
}
