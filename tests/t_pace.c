/*
 * Replay of engines that become usable at one moment.
 */
#include <stdlib.h>
#include <string.h>

#include "t_pace_priv.h"

/* Share of the engines in the lane for short prompts, about. */
#define SHORT_SHARE 0.25
#define SHORT_STREAMS 0.55 /* of an engine's slots, at a load of 1 */

static const struct plan_service engines = {.name = (char *)"engines",
					    .max_connections = 600,
					    .cold_requests_per_s = 6.3,
					    .is_engine = true,
					    .slots = SLOTS,
					    .kv_capacity_tokens = 540000};
static const struct plan_service plain = {.name = (char *)"engines",
					  .max_connections = 600,
					  .cold_requests_per_s = 6.3};

struct fleet_ep *
t_pace_ep (struct world *w, uint32_t relay, uint32_t engine)
{
	return w->eps[relay * w->run->engines + engine];
}

static void
init_relay (struct world *w, uint32_t relay)
{
	struct fleet *f = &w->fleets[relay];
	struct fleet_info infos[ENGINES_MAX];

	memset (infos, 0, sizeof infos);
	for (uint32_t i = 0; i < w->run->engines; i++) {
		struct fleet_info *info = &infos[i];

		g_snprintf (info->id, sizeof info->id, "e-%u", i);
		g_snprintf (info->domain, sizeof info->domain, "d%u",
			    i % DOMAINS);
		g_strlcpy (info->service, "engines", sizeof info->service);
		g_strlcpy (info->addr, "10.0.0.1:80", sizeof info->addr);
		info->slots = SLOTS;
	}
	fleet_init (f, NULL, NULL);
	f->relay_hash = relay * 2654435761U;
	f->pace = w->run->option == T_PACE_MODULE;
	fleet_set_list (f, infos, w->run->engines, START_MS, 0);
	place_assign_lanes (f);
	for (uint32_t i = 0; i < w->run->engines; i++) {
		struct fleet_ep *ep = fleet_find (f, infos[i].id);

		w->eps[relay * w->run->engines + i] = ep;
		t_pace_window (w, relay, i)->limit = 2;
		if (w->engines[i].appears)
			ep->health = FLEET_SUSPECT;
	}
}

/* The engines that appear: long prompts, unless a whole domain does. */
static void
choose_appearing (struct world *w)
{
	const struct fleet *f = &w->fleets[0];
	uint32_t left = w->run->appearing;
	bool domain = left > 1;

	for (uint32_t i = 0; i < w->run->engines && left > 0; i += DOMAINS) {
		char id[FLEET_NAME_BYTES];

		g_snprintf (id, sizeof id, "e-%u", i);
		if (!domain && fleet_find ((struct fleet *)f, id)->short_lane)
			continue;
		w->engines[i].appears = true;
		left--;
	}
}

static double
rate (const struct world *w, const struct engine *e)
{
	const struct t_pace_run *run = w->run;
	double left, since = (double)w->now_ms - APPEAR_MS;

	if (!e->appears)
		return PLACE_PREFILL_PER_MS;
	left = run->warm_ms > 0 ? MAX (1 - since / run->warm_ms, 0) : 0;
	return PLACE_PREFILL_PER_MS * run->speed /
	       (1 + (run->cold_factor - 1) * left);
}

static bool
try_send (struct world *w, struct job *j)
{
	const struct t_pace_run *run = w->run;
	struct fleet *f = &w->fleets[j->relay];
	struct dia_segment part = {g_rand_int (w->rand), j->tokens};
	struct place_relay relay = {"d1", f->relay_hash, run->relays};
	struct place_req req = {.service = run->plain ? &plain : &engines,
				.segments = &part,
				.segment_count = 1,
				.prompt_tokens = j->tokens,
				.max_backlog_ms = 400,
				.may_repeat = true,
				.random = g_rand_int (w->rand)};
	bool blocked[ENGINES_MAX] = {false};
	struct place_result v;

	if (j->tried > 0) {
		req.tried[0] = t_pace_ep (w, j->relay, j->tried - 1);
		req.tried_count = 1;
	}
	for (uint32_t i = 0; i < run->engines; i++) {
		struct fleet_ep *ep = t_pace_ep (w, j->relay, i);

		blocked[i] = w->engines[i].appears &&
			     ep->health == FLEET_HEALTHY &&
			     !t_pace_option_allows (w, j->relay, i, j->tokens);
		if (blocked[i])
			ep->health = FLEET_SUSPECT;
	}
	v = place_choose (f, &relay, &req, w->now_ms);
	for (uint32_t i = 0; i < run->engines; i++) {
		if (blocked[i])
			t_pace_ep (w, j->relay, i)->health = FLEET_HEALTHY;
	}
	if (v.ep == NULL)
		return false;
	j->engine = (uint32_t)strtoul (v.ep->info.id + 2, NULL, 10);
	j->sent_ms = w->now_ms;
	j->nominal_ms = v.nominal_ms;
	j->left = j->tokens;
	v.ep->inflight++;
	if (!run->plain) {
		v.ep->prefill_tokens += j->tokens;
		fleet_pace_sent (v.ep, j->tokens);
	}
	v.ep->last_sent_ms = w->now_ms;
	g_queue_push_tail (&w->engines[j->engine].queue, j);
	if (w->engines[j->engine].appears) {
		struct window *x = t_pace_window (w, j->relay, j->engine);
		double backlog = 0;

		w->result.sent_there++;
		x->tokens -= x->tokens > 0;
		for (GList *at = w->engines[j->engine].queue.head; at != NULL;
		     at = at->next)
			backlog += ((struct job *)at->data)->left;
		if (!run->broken)
			w->result.peak_ms = MAX (
				w->result.peak_ms,
				(uint32_t)(backlog /
					   rate (w, &w->engines[j->engine])));
	}
	return true;
}

static void
add_request (struct world *w, bool is_long)
{
	struct job *j = g_new0 (struct job, 1);

	j->relay =
		(uint32_t)g_rand_int_range (w->rand, 0, (gint32)w->run->relays);
	j->arrived_ms = w->now_ms;
	j->tokens = (uint32_t)g_rand_int_range (
		w->rand, is_long ? LONG_TOKENS_MIN : SHORT_TOKENS_MIN,
		is_long ? LONG_TOKENS_MAX : SHORT_TOKENS_MAX);
	if (w->run->plain)
		j->tokens = PLAIN_TOKENS;
	w->last_request_ms[j->relay] = w->now_ms;
	if (!try_send (w, j))
		g_queue_push_tail (&w->waiting, j);
}

static void
retry_waiting (struct world *w)
{
	for (guint n = w->waiting.length; n > 0; n--) {
		struct job *j = g_queue_pop_head (&w->waiting);

		if (try_send (w, j))
			continue;
		if (w->now_ms >= j->arrived_ms + GIVE_UP_MS) {
			w->result.unserved++;
			g_free (j);
			continue;
		}
		g_queue_push_tail (&w->waiting, j);
	}
}

/* The first token, or an error. */
static void
answer (struct world *w, struct engine *e, struct job *j)
{
	struct fleet_ep *ep = t_pace_ep (w, j->relay, j->engine);
	bool good = !(e->appears && w->run->broken);

	fleet_heard (ep, w->now_ms);
	fleet_answered (ep);
	ep->prefill_tokens = MAX (ep->prefill_tokens - j->tokens, 0);
	fleet_outcome (ep, good, w->now_ms);
	if (e->appears)
		t_pace_option_answered (w, j, good);
	if (!good) {
		ep->inflight--;
		w->result.failed++;
		j->tried = j->engine + 1;
		g_queue_push_tail (&w->waiting, j);
		return;
	}
	ep->answering++;
	if (w->run->plain)
		fleet_pace_answered_plain (ep,
					   (double)(w->now_ms - j->sent_ms));
	else
		fleet_pace_answered (ep, (double)(w->now_ms - j->sent_ms) /
						 (j->nominal_ms + 20));
	fleet_note_slowdown (ep->fleet, ep,
			     (double)(w->now_ms - j->sent_ms) /
				     (j->nominal_ms + 20));
	if (j->arrived_ms >= APPEAR_MS &&
	    w->now_ms > j->arrived_ms + OBJECTIVE_MS) {
		w->result.late++;
		w->result.late_there += e->appears;
	}
	j->end_ms = w->now_ms + (w->run->plain ? 0 : HOLD_MS);
	g_queue_push_tail (&e->answers, j);
}

static void
advance (struct world *w, struct engine *e)
{
	double tokens = rate (w, e) * STEP_MS;
	struct job *j;

	while ((j = g_queue_peek_head (&e->answers)) != NULL &&
	       j->end_ms <= w->now_ms) {
		struct fleet_ep *ep = t_pace_ep (w, j->relay, j->engine);

		ep->inflight--;
		ep->answering--;
		fleet_note_stream (ep->fleet, HOLD_MS);
		g_free (g_queue_pop_head (&e->answers));
	}
	while (tokens > 0 && (j = g_queue_peek_head (&e->queue)) != NULL &&
	       e->answers.length < SLOTS) {
		double part = MIN (tokens, j->left);

		if (e->appears && w->run->broken) {
			if (w->now_ms < j->sent_ms + ERROR_MS)
				break;
			answer (w, e, g_queue_pop_head (&e->queue));
			continue;
		}
		tokens -= part;
		j->left -= part;
		if (w->now_ms >= APPEAR_MS)
			e->done[(w->now_ms - APPEAR_MS) / STEP_MS] += part;
		if (j->left <= 0)
			answer (w, e, g_queue_pop_head (&e->queue));
	}
}

/* Every relay reports; the sums arrive LATE_MS later. */
static void
report (struct world *w)
{
	struct sums *s = g_new0 (struct sums, 1);

	s->arrive_ms = w->now_ms + LATE_MS;
	for (uint32_t r = 0; r < w->run->relays; r++) {
		for (uint32_t i = 0; i < w->run->engines; i++) {
			const struct fleet_ep *ep = t_pace_ep (w, r, i);

			s->sum[i].prefill_tokens +=
				(uint32_t)ep->prefill_tokens;
			s->sum[i].running += ep->inflight;
		}
	}
	g_queue_push_tail (&w->sums, s);
	/* Own load of the same moment, which is left out of the sums. */
	for (uint32_t r = 0; r < w->run->relays; r++) {
		for (uint32_t i = 0; i < w->run->engines; i++) {
			const struct fleet_ep *ep = t_pace_ep (w, r, i);
			uint32_t at = (uint32_t)((w->now_ms / REPORT_MS) % 4);
			struct load *own =
				&w->own[((uint64_t)at * w->run->relays + r) *
						w->run->engines +
					i];

			*own = (struct load){ep->ep_hash,
					     (uint32_t)ep->prefill_tokens,
					     ep->inflight, false};
		}
	}
}

static void
receive_sums (struct world *w)
{
	const struct sums *s = g_queue_peek_head (&w->sums);
	struct load loads[ENGINES_MAX];
	uint32_t at;

	if (s == NULL || s->arrive_ms > w->now_ms)
		return;
	at = (uint32_t)(((s->arrive_ms - LATE_MS) / REPORT_MS) % 4);
	for (uint32_t r = 0; r < w->run->relays; r++) {
		for (uint32_t i = 0; i < w->run->engines; i++) {
			const struct load *own =
				&w->own[((uint64_t)at * w->run->relays + r) *
						w->run->engines +
					i];

			loads[i] = (struct load){
				own->ep_hash,
				s->sum[i].prefill_tokens - own->prefill_tokens,
				s->sum[i].running - own->running, false};
		}
		fleet_set_peer_loads (&w->fleets[r], loads, w->run->engines,
				      false);
	}
	g_free (g_queue_pop_head (&w->sums));
}

static void
appear (struct world *w)
{
	for (uint32_t r = 0; r < w->run->relays; r++) {
		for (uint32_t i = 0; i < w->run->engines; i++) {
			struct fleet_ep *ep = t_pace_ep (w, r, i);

			if (!w->engines[i].appears)
				continue;
			ep->suspect_since_ms = w->now_ms - 5000;
			fleet_probed (&w->fleets[r], ep, FLEET_PROBE_HEALTHY,
				      w->now_ms);
			if (w->run->stated_cold_ms > 0)
				fleet_set_cold (ep, w->run->stated_cold_ms,
						w->now_ms);
		}
	}
}

/* Sets the time by which the appearing engines do their fair share: that of the
 * capacity of all at the rate that they have then. */
static void
find_fair (struct world *w)
{
	const uint32_t n = FAIR_WINDOW_MS / STEP_MS;
	const uint32_t steps = (END_MS - APPEAR_MS) / STEP_MS;

	w->result.fair_ms = UINT32_MAX;
	for (uint32_t at = n; at <= steps; at++) {
		double there = 0, all = 0, capacity = 0, capacity_there = 0;

		w->now_ms = APPEAR_MS + at * STEP_MS;
		for (uint32_t i = 0; i < w->run->engines; i++) {
			const struct engine *e = &w->engines[i];
			double done = 0;

			for (uint32_t k = at - n; k < at; k++)
				done += e->done[k];
			all += done;
			capacity += rate (w, e);
			if (e->appears) {
				there += done;
				capacity_there += rate (w, e);
			}
		}
		if (there >= .8 * all * capacity_there / capacity) {
			w->result.fair_ms = at * STEP_MS;
			return;
		}
	}
}

static void
step (struct world *w)
{
	const struct t_pace_run *run = w->run;
	double others = run->engines - run->appearing;

	receive_sums (w);
	if (w->now_ms == APPEAR_MS)
		appear (w);
	for (uint32_t i = 0; i < run->engines; i++)
		advance (w, &w->engines[i]);
	if (w->now_ms % REPORT_MS == 0) {
		report (w);
		t_pace_option_report (w);
	}
	for (uint32_t r = 0; r < run->relays && w->now_ms % TICK_MS == 0; r++)
		fleet_pace_tick (&w->fleets[r], w->now_ms);
	if (w->now_ms % RETRY_MS == 0)
		retry_waiting (w);
	if (run->plain) {
		w->long_due += run->use * others * PLACE_PREFILL_PER_MS *
			       STEP_MS / PLAIN_TOKENS;
		for (; w->long_due >= 1; w->long_due--)
			add_request (w, true);
		return;
	}
	w->long_due += run->use * others * (1 - SHORT_SHARE) *
		       PLACE_PREFILL_PER_MS * STEP_MS /
		       ((LONG_TOKENS_MIN + LONG_TOKENS_MAX) / 2.0);
	w->short_due += run->use * others * SHORT_SHARE * SLOTS *
			SHORT_STREAMS * STEP_MS / HOLD_MS;
	for (; w->long_due >= 1; w->long_due--)
		add_request (w, true);
	for (; w->short_due >= 1; w->short_due--)
		add_request (w, false);
}

struct t_pace_result
t_pace_play (const struct t_pace_run *run)
{
	struct world *w = g_new0 (struct world, 1);
	uint64_t cells = (uint64_t)run->relays * run->engines;
	struct t_pace_result result;

	w->run = run;
	w->rand = g_rand_new_with_seed (run->seed);
	w->fleets = g_new0 (struct fleet, run->relays);
	w->eps = g_new0 (struct fleet_ep *, cells);
	w->windows = g_new0 (struct window, cells);
	w->own = g_new0 (struct load, 4 * cells);
	w->last_request_ms = g_new0 (uint64_t, run->relays);
	/* The lanes of the first table say which engines are to appear. */
	init_relay (w, 0);
	choose_appearing (w);
	fleet_finish (&w->fleets[0]);
	for (uint32_t r = 0; r < run->relays; r++)
		init_relay (w, r);
	for (w->now_ms = START_MS; w->now_ms < END_MS; w->now_ms += STEP_MS)
		step (w);
	find_fair (w);
	result = w->result;
	for (uint32_t i = 0; i < run->engines; i++) {
		g_queue_clear_full (&w->engines[i].queue, g_free);
		g_queue_clear_full (&w->engines[i].answers, g_free);
	}
	g_queue_clear_full (&w->waiting, g_free);
	g_queue_clear_full (&w->sums, g_free);
	for (uint32_t r = 0; r < run->relays; r++)
		fleet_finish (&w->fleets[r]);
	g_rand_free (w->rand);
	g_free (w->fleets);
	g_free (w->eps);
	g_free (w->windows);
	g_free (w->own);
	g_free (w->last_request_ms);
	g_free (w);
	return result;
}
