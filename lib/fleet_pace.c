/*
 * Pacing of the endpoints in the table, see pace.h.
 */
#include <xxhash.h>

#include "fleet_pace.h"

/* Weight of one prompt in the mean length of prompts. */
#define PROMPT_WEIGHT 0.05

/* Weight of one answer in the mean time that plain endpoints take. */
#define PLAIN_WEIGHT 0.05

/* Time to the first token that is added to that in which a stream holds its
 * slot, to tell the rate of requests from those in hand. */
#define FIRST_TOKEN_MS 200.0

static double
running (const struct fleet_pool *p, const struct fleet_ep *ep)
{
	return ep->inflight + (double)fleet_peer_running (p, ep);
}

static double
backlog (const struct fleet_pool *p, const struct fleet_ep *ep)
{
	return ep->prefill_tokens + (double)fleet_peer_prefill (p, ep);
}

static void
lane_means (struct fleet_pool *p, uint32_t lane)
{
	struct fleet_lane_load *x = &p->lane_load[lane];
	double count = 0;

	*x = (struct fleet_lane_load){0};
	for (guint i = 0; i < p->subset[lane]->len; i++) {
		const struct fleet_ep *ep =
			g_ptr_array_index (p->subset[lane], i);

		x->running_each += running (p, ep) / p->subset[lane]->len;
		if (ep->pace.active || ep->health != FLEET_HEALTHY)
			continue;
		x->peer_running += running (p, ep);
		x->peer_backlog += backlog (p, ep);
		count++;
	}
	if (count > 0) {
		x->peer_running /= count;
		x->peer_backlog /= count;
	}
}

void
fleet_pace_means (struct fleet *f)
{
	for (guint i = 0; f->pace && i < f->pools->len; i++) {
		struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		for (uint32_t lane = 0; lane < FLEET_LANES; lane++)
			lane_means (p, lane);
	}
}

static struct pace_view
view_of (const struct fleet *f, const struct fleet_pool *p,
	 const struct fleet_ep *ep, const struct fleet_pace_req *req)
{
	const struct fleet_lane_load *x = &p->lane_load[ep->short_lane];
	guint count = !req->is_engine  ? p->eps->len
		      : ep->short_lane ? p->short_count
				       : p->eps->len - p->short_count;
	double hold_ms = req->is_engine ? f->slot_hold_ms + FIRST_TOKEN_MS
					: f->plain_hold_ms;
	struct pace_view v = {
		.is_engine = req->is_engine,
		.known = f->peer_loads_known && (ep->in_subset || ep->recent),
		.running = ep->inflight,
		.backlog = ep->prefill_tokens,
		.peer_running = x->peer_running,
		.peer_backlog = x->peer_backlog,
		.prompt_tokens = f->prompt_tokens[ep->short_lane],
		.peer_sends = -1,
		.order = XXH64 (&ep->rank_hash, sizeof ep->rank_hash,
				f->relay_hash),
		.relay_count = req->relay_count,
	};

	if (v.known) {
		v.running += ep->peer_running;
		v.backlog += ep->peer_prefill_tokens;
	}
	if (hold_ms > 0)
		v.peer_sends = x->running_each * count * req->chance *
			       PACE_WINDOW_MS / hold_ms *
			       (req->relay_count - 1) / req->relay_count;
	return v;
}

bool
fleet_pace_allows (const struct fleet *f, const struct fleet_pool *p,
		   const struct fleet_ep *ep, const struct fleet_pace_req *req,
		   uint64_t now_ms)
{
	struct pace_view v;

	/* The bound on cold endpoints is that of coldstart.h. */
	if (!ep->pace.active || fleet_is_cold (ep, now_ms))
		return true;
	v = view_of (f, p, ep, req);
	return pace_allows (&ep->pace, &v, req->tokens, now_ms);
}

double
fleet_pace_wait_ms (const struct fleet *f, const struct fleet_pool *p,
		    const struct fleet_ep *ep)
{
	const struct fleet_pace_req req = {.is_engine = true, .relay_count = 1};
	struct pace_view v = view_of (f, p, ep, &req);

	return pace_wait_ms (&v, f->slot_hold_ms);
}

void
fleet_pace_begin (struct fleet_ep *ep, uint64_t now_ms)
{
	if (ep->fleet->pace)
		pace_begin (&ep->pace, now_ms);
}

void
fleet_pace_tick (struct fleet *f, uint64_t now_ms)
{
	const struct fleet_pace_req req = {.relay_count = 1};

	if (!f->pace)
		return;
	fleet_pace_means (f);
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		const struct fleet_pool *p;
		struct pace_view v;

		if (!ep->pace.active)
			continue;
		/* What it answers while cold counts. */
		if (fleet_is_cold (ep, now_ms))
			ep->pace.since_ms = now_ms;
		p = fleet_pool (f, ep->info.service, ep->side);
		if (p == NULL)
			continue;
		/* Only engines report a backlog.  Where there is none at all,
		 * the lane is nearly idle. */
		v = view_of (f, p, ep, &req);
		v.is_engine = v.backlog > 0 ||
			      p->lane_load[ep->short_lane].peer_backlog > 0;
		pace_update (&ep->pace, &v, now_ms);
	}
}

void
fleet_pace_sent (struct fleet_ep *ep, double tokens)
{
	double *mean = &ep->fleet->prompt_tokens[ep->short_lane];

	if (!ep->fleet->pace)
		return;
	*mean = *mean > 0 ? *mean + PROMPT_WEIGHT * (tokens - *mean) : tokens;
}

void
fleet_pace_answered (struct fleet_ep *ep, double factor)
{
	pace_answered (&ep->pace, factor / MAX (ep->fleet->slowdown, 1));
}

void
fleet_pace_refused (struct fleet_ep *ep, uint64_t now_ms)
{
	if (!ep->pace.active)
		fleet_pace_begin (ep, now_ms);
	pace_failed (&ep->pace, now_ms);
}

void
fleet_pace_answered_plain (struct fleet_ep *ep, double took_ms)
{
	double *mean = &ep->fleet->plain_hold_ms;

	if (!ep->fleet->pace)
		return;
	*mean = *mean > 0 ? *mean + PLAIN_WEIGHT * (took_ms - *mean) : took_ms;
	pace_answered (&ep->pace, 1);
}

uint32_t
fleet_paced_count (const struct fleet *f)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		n += ep->pace.active && ep->listed;
	}
	return n;
}
