/*
 * Pacing of endpoints that have just appeared or recovered.  With an argument,
 * prints the figures of docs/design/pace.md instead:
 *	test_pace ENGINES [OPTIONS]
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fleet_pace.h"
#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_pace.h"
#include "t_run.h"

enum { BEGIN_MS = 10000, PROMPT = 6000, SEEDS = 5 };

/* An idle engine beside busy peers, with 300 relays. */
static struct pace_view
idle_engine (void)
{
	return (struct pace_view){.is_engine = true,
				  .known = true,
				  .peer_running = 8,
				  .peer_backlog = 2 * PROMPT,
				  .prompt_tokens = PROMPT,
				  .peer_sends = 0,
				  .relay_count = 300};
}

/* An endpoint without an answer gets a single request, and not another one
 * while that is unanswered: a flood before the first answer. */
static void
test_first (void)
{
	struct pace_view v = idle_engine ();
	struct pace p = {0};

	CU_ASSERT (pace_allows (&p, &v, PROMPT, BEGIN_MS));
	pace_begin (&p, BEGIN_MS);
	CU_ASSERT (pace_allows (&p, &v, PROMPT, BEGIN_MS));
	v.running = 1;
	v.backlog = PROMPT;
	for (uint64_t t_ms = BEGIN_MS; t_ms < BEGIN_MS + 4000; t_ms += 50) {
		pace_update (&p, &v, t_ms);
		CU_ASSERT (!pace_allows (&p, &v, PROMPT, t_ms));
	}
	CU_ASSERT (p.active && !p.proven);
}

/* The bound rises with the requests that are being answered, and falls as soon
 * as answers stay out, however many requests are in hand. */
static void
test_growth (void)
{
	struct pace_view v = idle_engine ();
	struct pace p = {0};
	double unanswered = 0;

	pace_begin (&p, BEGIN_MS);
	v.running = 2;
	pace_update (&p, &v, BEGIN_MS + 400);
	CU_ASSERT (p.active && p.proven);
	for (v.running = 2; v.running <= 6; v.running += 2) {
		double before = unanswered;

		for (unanswered = 0, v.backlog = 0;
		     pace_allows (&p, &v, PROMPT, BEGIN_MS + 400);
		     v.backlog += PROMPT)
			unanswered++;
		CU_ASSERT (unanswered >= before && unanswered <= 6);
	}
	CU_ASSERT (unanswered >= 3);
	v.running = 10;
	v.backlog = 10 * PROMPT;
	CU_ASSERT (!pace_allows (&p, &v, PROMPT, BEGIN_MS + 500));
	/* Nor does a stuck endpoint among overloaded peers get ever more. */
	v.peer_backlog = 8 * PROMPT;
	CU_ASSERT (!pace_allows (&p, &v, PROMPT, BEGIN_MS + 500));
}

/* Pacing ends when the endpoint answers like its peers, not when it merely has
 * as many requests. */
static void
test_end (void)
{
	struct pace_view v = idle_engine ();
	struct pace p = {0};

	pace_begin (&p, BEGIN_MS);
	v.running = 8;
	v.backlog = 8 * PROMPT;
	pace_update (&p, &v, BEGIN_MS + 1000);
	CU_ASSERT (p.active);
	v.backlog = 2 * PROMPT;
	pace_update (&p, &v, BEGIN_MS + 1100);
	CU_ASSERT (!p.active);
	/* An endpoint that answers nothing is not paced for ever. */
	pace_begin (&p, BEGIN_MS);
	v.backlog = 8 * PROMPT;
	pace_update (&p, &v, BEGIN_MS + PACE_MAX_MS);
	CU_ASSERT (!p.active);
}

/* Own answers: a slow one lowers the bound at once, a failure stops this relay
 * for longer and longer, as errors show in no sum. */
static void
test_answers (void)
{
	struct pace_view v = idle_engine ();
	uint64_t now_ms = BEGIN_MS, last_ms = 0;
	struct pace p = {0};

	pace_begin (&p, now_ms);
	v.running = 2;
	pace_update (&p, &v, now_ms);
	v.backlog = PROMPT;
	CU_ASSERT (pace_allows (&p, &v, PROMPT, now_ms));
	pace_answered (&p, 5);
	CU_ASSERT (!pace_allows (&p, &v, PROMPT, now_ms));
	pace_answered (&p, 1);
	CU_ASSERT (pace_allows (&p, &v, PROMPT, now_ms));
	v.running = v.backlog = 0;
	for (int i = 0; i < 8; i++) {
		uint64_t from_ms = now_ms;

		pace_failed (&p, now_ms);
		while (!pace_allows (&p, &v, PROMPT, now_ms))
			now_ms += 10;
		CU_ASSERT (now_ms - from_ms >= 500 &&
			   now_ms - from_ms >= MIN (2 * last_ms, 8000));
		last_ms = now_ms - from_ms;
	}
}

/* Relays that may send to an idle endpoint at @now_ms. */
static uint32_t
turns (const struct pace *p, struct pace_view v, uint64_t now_ms)
{
	uint32_t count = 0;

	for (uint32_t r = 0; r < v.relay_count; r++) {
		v.order = r * 2654435761U;
		count += pace_allows (p, &v, PROMPT, now_ms);
	}
	return count;
}

/* All relays see an idle endpoint at the same moment.  Only as many may send as
 * would together make one request, and the others have their turn later. */
static void
test_turns (void)
{
	struct pace_view v = idle_engine ();
	struct pace p = {0};
	uint32_t seen = 0;

	pace_begin (&p, BEGIN_MS);
	v.peer_sends = 10;
	for (uint32_t k = 0; k < 4; k++) {
		uint32_t n = turns (&p, v, BEGIN_MS + k * PACE_WINDOW_MS);

		CU_ASSERT (n >= 20 && n <= 40);
		seen += n;
	}
	CU_ASSERT (seen >= 100 && seen <= 140);
	/* Each relay's turns are spread evenly, so that none waits for long:
	 * after its first answer the endpoint has room for two, a fifth of the
	 * relays. */
	p.proven = true;
	for (uint32_t r = 0; r < v.relay_count; r++) {
		seen = 0;
		v.order = r * 2654435761U;
		for (uint32_t k = 0; k < 40; k++)
			seen += pace_allows (&p, &v, PROMPT,
					     BEGIN_MS + k * PACE_WINDOW_MS);
		CU_ASSERT (seen >= 6 && seen <= 10);
	}
	/* Without sums the share of relays doubles, from two of them. */
	v.known = false;
	CU_ASSERT (turns (&p, v, BEGIN_MS) <= 6);
	CU_ASSERT (turns (&p, v, BEGIN_MS + 8 * PACE_WINDOW_MS) == 300);
	pace_update (&p, &v, BEGIN_MS + 2900);
	CU_ASSERT (p.active);
	pace_update (&p, &v, BEGIN_MS + 3000);
	CU_ASSERT (!p.active);
}

/* The figure for the speed of an endpoint: the wait by Little's law. */
static void
test_wait (void)
{
	struct pace_view v = idle_engine ();

	CU_ASSERT (pace_wait_ms (&v, 1000) < 0);
	v.running = 10;
	v.backlog = 2 * PROMPT;
	CU_ASSERT (pace_wait_ms (&v, 1000) == 250);
	v.known = false;
	CU_ASSERT (pace_wait_ms (&v, 1000) < 0);
}

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 600,
				      .cold_requests_per_s = 6.3,
				      .is_engine = true,
				      .slots = 24,
				      .kv_capacity_tokens = 540000};

static struct place_result
choose (const struct fleet *f, uint32_t dice, uint64_t now_ms)
{
	struct dia_segment part = {dice, PROMPT};
	struct place_relay relay = {"d0", f->relay_hash, 300};
	struct place_req req = {.service = &service,
				.segments = &part,
				.segment_count = 1,
				.prompt_tokens = PROMPT,
				.max_backlog_ms = 1000,
				.may_repeat = true,
				.random = dice * 77 + 5};

	return place_choose (f, &relay, &req, now_ms);
}

/* An endpoint beside those of t_fleet_init(). */
static struct fleet_ep *
add_endpoint (struct fleet *f, uint32_t cold_ms, uint64_t now_ms)
{
	struct fleet_info info = fleet_find (f, "e-1")->info;

	g_strlcpy (info.id, "late", sizeof info.id);
	info.cold_remaining_ms = cold_ms;
	fleet_apply_delta (f, &info, 1, NULL, 0, now_ms, 0);
	place_assign_lanes (f);
	return fleet_find (f, "late");
}

/* When pacing begins: not in a relay's first list, in which everything is new,
 * but for what appears later, recovers, or refuses a request; and not before
 * the end of a cold start, whose own bound holds until then. */
static void
test_begin (void)
{
	struct fleet_ep *late, *ep;
	struct fleet f;

	t_fleet_init (&f, 20, 0, 7);
	f.pace = true;
	CU_ASSERT (fleet_paced_count (&f) == 0);
	late = add_endpoint (&f, 2000, BEGIN_MS);
	CU_ASSERT (late->pace.active && fleet_paced_count (&f) == 1);
	fleet_pace_tick (&f, BEGIN_MS + 1900);
	CU_ASSERT (late->pace.since_ms == BEGIN_MS + 1900);
	fleet_pace_tick (&f, BEGIN_MS + 2100);
	CU_ASSERT (late->pace.since_ms == BEGIN_MS + 1900);
	ep = fleet_find (&f, "e-3");
	fleet_suspect (&f, ep, BEGIN_MS);
	CU_ASSERT (!ep->pace.active);
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, BEGIN_MS + 500);
	CU_ASSERT (ep->pace.active);
	ep = fleet_find (&f, "e-4");
	fleet_pace_refused (ep, BEGIN_MS);
	CU_ASSERT (ep->pace.active && ep->pace.hold_until_ms > BEGIN_MS);
	fleet_set_cold (fleet_find (&f, "e-5"), 500, BEGIN_MS);
	CU_ASSERT (fleet_paced_count (&f) == 4);
	fleet_finish (&f);
}

/* A link heals: one good probe returns all endpoints of the domain. */
static void
test_domain (void)
{
	struct fleet f;

	t_fleet_init (&f, 20, 0, 7);
	f.pace = true;
	for (uint32_t i = 0; i < 15; i += 5) {
		char id[8];

		g_snprintf (id, sizeof id, "e-%u", i);
		fleet_suspect (&f, fleet_find (&f, id), BEGIN_MS);
	}
	CU_ASSERT (fleet_find (&f, "e-15")->suspect_by_domain);
	fleet_probed (&f, fleet_find (&f, "e-15"), FLEET_PROBE_HEALTHY,
		      BEGIN_MS + 500);
	CU_ASSERT (fleet_find (&f, "e-15")->pace.active &&
		   fleet_paced_count (&f) == 1);
	fleet_finish (&f);
}

/* Without the setting, an endpoint that appears is chosen as often as one that
 * was there from the start, at the same requests; with it, rarely, and all the
 * same if there is no other. */
static void
test_choice (void)
{
	struct fleet off, on;
	uint32_t off_late = 0, on_late = 0;

	t_fleet_init (&off, 20, 0, 7);
	t_fleet_init (&on, 20, 0, 7);
	on.pace = true;
	add_endpoint (&off, 0, BEGIN_MS);
	add_endpoint (&on, 0, BEGIN_MS);
	for (uint32_t k = 0; k < 2; k++) {
		struct fleet *f = k == 0 ? &off : &on;
		struct load loads[21];
		uint32_t n = 0;

		for (guint i = 0; i < f->eps->len; i++) {
			const struct fleet_ep *ep = f->eps->pdata[i];

			if (strcmp (ep->info.id, "late") != 0)
				loads[n++] = (struct load){ep->ep_hash, 20000,
							   8, false};
		}
		fleet_set_peer_loads (f, loads, n, false);
		fleet_pace_means (f);
	}
	for (uint32_t i = 0; i < 600; i++) {
		struct place_result a = choose (&off, i, BEGIN_MS + i);
		struct place_result b = choose (&on, i, BEGIN_MS + i);

		CU_ASSERT (a.ep != NULL && b.ep != NULL);
		if (a.ep == NULL || b.ep == NULL)
			continue;
		off_late += strcmp (a.ep->info.id, "late") == 0;
		on_late += strcmp (b.ep->info.id, "late") == 0;
		if (strcmp (a.ep->info.id, "late") != 0)
			CU_ASSERT (strcmp (a.ep->info.id, b.ep->info.id) == 0);
	}
	CU_ASSERT (fleet_paced_count (&off) == 0);
	CU_ASSERT (off_late > 100 && on_late < off_late / 2);
	for (guint i = 0; i < on.eps->len; i++) {
		struct fleet_ep *ep = on.eps->pdata[i];

		if (strcmp (ep->info.id, "late") != 0)
			fleet_retire (ep);
	}
	for (uint32_t i = 0; i < 50; i++)
		CU_ASSERT (choose (&on, i, BEGIN_MS + 5 * i).ep != NULL);
	fleet_finish (&off);
	fleet_finish (&on);
}

/* Means over seeds. */
struct figures {
	double fair_ms, peak_ms, late, late_there, sent_there, failed, unserved;
};

static struct figures
play (struct t_pace_run run, enum t_pace_option option)
{
	struct figures sum = {0};

	run.option = option;
	if (run.appearing == 0)
		run.appearing = run.engines / 5;
	for (run.seed = 1; run.seed <= SEEDS; run.seed++) {
		struct t_pace_result v = t_pace_play (&run);

		sum.fair_ms += MIN (v.fair_ms, 10000) / (double)SEEDS;
		sum.peak_ms += v.peak_ms / (double)SEEDS;
		sum.late += v.late / (double)SEEDS;
		sum.late_there += v.late_there / (double)SEEDS;
		sum.sent_there += v.sent_there / (double)SEEDS;
		sum.failed += v.failed / (double)SEEDS;
		sum.unserved += v.unserved / (double)SEEDS;
	}
	return sum;
}

/* An engine that is slow at first is not flooded, though all relays see it idle
 * at the same moment and each other's requests late. */
static void
test_replay_cold (void)
{
	for (uint32_t relays = 5; relays <= 300; relays = 60 * relays) {
		struct t_pace_run run = {.relays = relays,
					 .engines = 20,
					 .appearing = 1,
					 .speed = 1,
					 .cold_factor = 10,
					 .warm_ms = 4000,
					 .use = .7};
		struct figures none = play (run, T_PACE_NONE);
		struct figures paced = play (run, T_PACE_MODULE);

		CU_ASSERT (none.peak_ms > 5000);
		CU_ASSERT (paced.peak_ms < none.peak_ms / 2);
		CU_ASSERT (paced.late_there <= none.late_there);
		CU_ASSERT (paced.late <= none.late && paced.unserved == 0);
	}
}

/* Nor is a healthy engine left idle: one, a fast one, and a domain. */
static void
test_replay_share (void)
{
	for (uint32_t relays = 5; relays <= 300; relays = 60 * relays) {
		struct t_pace_run run = {.relays = relays,
					 .engines = 20,
					 .appearing = 1,
					 .speed = 1,
					 .cold_factor = 1,
					 .use = .7};

		CU_ASSERT (play (run, T_PACE_MODULE).fair_ms < 2500);
		run.speed = 2;
		CU_ASSERT (play (run, T_PACE_MODULE).fair_ms < 2500);
		run.appearing = 0;
		CU_ASSERT (play (run, T_PACE_MODULE).fair_ms < 2500);
	}
}

/* An engine that recovers only by its health check and answers errors: not
 * each of 300 relays has to find out. */
static void
test_replay_broken (void)
{
	struct t_pace_run run = {.relays = 300,
				 .engines = 20,
				 .appearing = 1,
				 .speed = 1,
				 .cold_factor = 1,
				 .broken = true,
				 .use = .7};

	CU_ASSERT (play (run, T_PACE_NONE).failed > 80);
	CU_ASSERT (play (run, T_PACE_MODULE).failed < 25);
}

static void
print_figures (uint32_t engines, const char *options)
{
	static const uint32_t relays[] = {1, 5, 64, 300};
	static const struct {
		const char *name;
		struct t_pace_run run;
	} cases[] = {
		{"warm", {.appearing = 1, .speed = 1, .cold_factor = 1}},
		{"slow .5", {.appearing = 1, .speed = .5, .cold_factor = 1}},
		{"fast 2", {.appearing = 1, .speed = 2, .cold_factor = 1}},
		{"cold 3", {.appearing = 1, .speed = 1, .cold_factor = 3}},
		{"cold 10", {.appearing = 1, .speed = 1, .cold_factor = 10}},
		{"stated 10",
		 {.appearing = 1,
		  .speed = 1,
		  .cold_factor = 10,
		  .stated_cold_ms = 4000}},
		{"stated short",
		 {.appearing = 1,
		  .speed = 1,
		  .cold_factor = 10,
		  .stated_cold_ms = 2000}},
		{"domain warm", {.speed = 1, .cold_factor = 1}},
		{"domain cold 10", {.speed = 1, .cold_factor = 10}},
		{"broken",
		 {.appearing = 1,
		  .speed = 1,
		  .cold_factor = 1,
		  .broken = true}},
		{"plain warm",
		 {.appearing = 1, .speed = 1, .cold_factor = 1, .plain = true}},
		{"plain cold 10",
		 {.appearing = 1,
		  .speed = 1,
		  .cold_factor = 10,
		  .plain = true}},
		{"plain broken",
		 {.appearing = 1,
		  .speed = 1,
		  .cold_factor = 1,
		  .broken = true,
		  .plain = true}},
	};

	printf ("case,relays,option,fair_ms,peak_ms,late,late_there,"
		"sent_there,failed,unserved\n");
	for (size_t i = 0; i < G_N_ELEMENTS (cases) * 4 * T_PACE_OPTIONS; i++) {
		size_t n = i / 4 / T_PACE_OPTIONS;
		enum t_pace_option option = i % T_PACE_OPTIONS;
		struct t_pace_run run = cases[n].run;
		struct figures v;

		if (strstr (options, t_pace_option_name (option)) == NULL)
			continue;
		run.relays = relays[i / T_PACE_OPTIONS % 4];
		run.engines = engines;
		run.warm_ms = 4000;
		run.use = .7;
		v = play (run, option);
		printf ("%s,%u,%s,%.0f,%.0f,%.1f,%.1f,%.1f,%.1f,%.1f\n",
			cases[n].name, run.relays, t_pace_option_name (option),
			v.fair_ms, v.peak_ms, v.late, v.late_there,
			v.sent_there, v.failed, v.unserved);
		fflush (stdout);
	}
}

int
main (int argc, char **argv)
{
	static const struct t_case cases[] = {
		{"first requests", test_first},
		{"growth", test_growth},
		{"end", test_end},
		{"own answers", test_answers},
		{"turns", test_turns},
		{"wait", test_wait},
		{"begin", test_begin},
		{"domain", test_domain},
		{"choice", test_choice},
		{"replay cold", test_replay_cold},
		{"replay share", test_replay_share},
		{"replay broken", test_replay_broken},
		{NULL, NULL}};

	if (argc > 1) {
		print_figures (
			(uint32_t)atoi (argv[1]),
			argc > 2 ? argv[2]
				 : "none aimd gradient budget sums module");
		return 0;
	}
	return t_run ("pace", cases);
}
