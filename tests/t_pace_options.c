/*
 * Options for the bound on engines that appear, to compare with lib/pace.h.
 */
#include <math.h>

#include "t_pace_priv.h"

const char *
t_pace_option_name (enum t_pace_option option)
{
	static const char *const names[T_PACE_OPTIONS] = {
		"none", "aimd", "gradient", "budget", "sums", "module"};

	return names[option];
}

struct window *
t_pace_window (struct world *w, uint32_t relay, uint32_t engine)
{
	return &w->windows[relay * w->run->engines + engine];
}

bool
t_pace_option_allows (struct world *w, uint32_t relay, uint32_t engine,
		      uint32_t tokens)
{
	const struct fleet_ep *ep = t_pace_ep (w, relay, engine);
	const struct window *x = t_pace_window (w, relay, engine);
	double running = ep->inflight + ep->peer_running;
	double backlog = ep->prefill_tokens + ep->peer_prefill_tokens;
	double peers_backlog = 0, peers_running = 0;

	switch (w->run->option) {
	case T_PACE_AIMD:
	case T_PACE_GRADIENT:
		return running + 1 <= x->limit;
	case T_PACE_BUDGET:
		return x->tokens > 0 && w->now_ms <= x->tokens_until_ms;
	case T_PACE_SUMS:
		for (uint32_t i = 0; i < w->run->engines; i++) {
			const struct fleet_ep *p = t_pace_ep (w, relay, i);

			if (p->short_lane != ep->short_lane || p == ep)
				continue;
			peers_backlog +=
				p->prefill_tokens + p->peer_prefill_tokens;
			peers_running += p->inflight + p->peer_running;
		}
		return backlog + tokens <=
		       2.0 * tokens +
			       MIN (2 * peers_backlog / MAX (peers_running, 1),
				    tokens / 2.0) *
				       running;
	default:
		return true;
	}
}

void
t_pace_option_answered (struct world *w, const struct job *j, bool good)
{
	struct window *x = t_pace_window (w, j->relay, j->engine);
	double took_ms = (double)(w->now_ms - j->sent_ms);
	double expected_ms = j->nominal_ms + 50;

	if (x->tokens > 0 && w->run->option != T_PACE_BUDGET)
		x->tokens = 0;
	if (w->run->option == T_PACE_AIMD)
		x->limit = good && took_ms < 2 * expected_ms
				   ? x->limit + 1
				   : MAX (x->limit / 2, 1);
	if (w->run->option == T_PACE_GRADIENT)
		x->limit =
			MAX (x->limit * CLAMP (good ? expected_ms / took_ms : 0,
					       .5, 1) +
				     (good ? sqrt (x->limit) : 0),
			     1);
}

/* One member, which knows the sums as late as the relays, hands the room at an
 * engine to relays that had a request in the last second. */
static void
hand_out (struct world *w, uint32_t engine)
{
	const struct fleet_ep *ep = t_pace_ep (w, 0, engine);
	double running = ep->inflight + ep->peer_running;
	double unanswered =
		(ep->prefill_tokens + ep->peer_prefill_tokens) / 7000.0;
	double room = 2 + 2 * MAX (running - unanswered, 0) - running;

	for (uint32_t tries = 0; room >= 1 && tries < w->run->relays; tries++) {
		uint32_t r = (uint32_t)g_rand_int_range (
			w->rand, 0, (gint32)w->run->relays);
		struct window *x = t_pace_window (w, r, engine);

		if (w->last_request_ms[r] + 1000 < w->now_ms)
			continue;
		if (w->now_ms > x->tokens_until_ms)
			x->tokens = 0;
		x->tokens++;
		x->tokens_until_ms = w->now_ms + BUDGET_MS;
		room--;
	}
}

void
t_pace_option_report (struct world *w)
{
	for (uint32_t i = 0; w->run->option == T_PACE_BUDGET &&
			     w->now_ms >= APPEAR_MS && i < w->run->engines;
	     i++) {
		if (w->engines[i].appears)
			hand_out (w, i);
	}
}
