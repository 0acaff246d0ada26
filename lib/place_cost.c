/*
 * Predicted time to the first token of a request on an engine, and what a
 * choice of that engine costs other requests.
 */
#include <string.h>

#include "fleet_speed.h"
#include "place_priv.h"

/* Share of the shared segments that the preferred engine is assumed to cache
 * although no report says so: enough for relays that get the same new prefix at
 * the same time to choose the same engine. */
#define PREFERRED_CACHED_SHARE 0.15

/* The same where relays don't report prompts sent to the preferred engine: it
 * is as likely to cache them as not. */
#define PREFERRED_CACHED_SHARE_UNREPORTED 0.5

/* Time that each running request adds to the first decode steps. */
#define BATCH_REQUEST_MS 0.5

/* Weight of the time to prefill shared segments that another engine caches, in
 * addition to that time itself: it is taken from other requests, and evicts
 * other segments from the cache.  A copy takes only memory. */
#define REPREFILL_WEIGHT 2.0
#define COPY_WEIGHT 1.0

/* Least time of a KV cache copy, since copies queue on the engines' links. */
#define COPY_MIN_MS 20.0

/* From the preferred engine a copy is requested without a report that it caches
 * the segments.  It spares compute time of the engine rather than time of the
 * request, so it pays for shorter segments too. */
#define COPY_PREFERRED_MIN_TOKENS 256

/* Such a copy is not part of the prediction, since it may find nothing, so its
 * transfer must be this many times faster than the prefill. */
#define COPY_PREFERRED_SPEEDUP 4.0

/* Cost of an engine whose pauses are likely to miss the objective of a stream:
 * as much as it may take to reach a faster one. */
#define GAP_MISS_MS 400.0

/* Share of an engine's slots up to which it is taken to have a free one: the
 * load of peers is known late and in steps. */
#define SLOT_SHARE 0.85

double
place_backlog_tokens (const struct choice *c, const struct fleet_ep *ep)
{
	return ep->prefill_tokens + fleet_peer_prefill (c->pool, ep);
}

double
place_backlog_ms (const struct choice *c, const struct fleet_ep *ep)
{
	return place_backlog_tokens (c, ep) /
	       fleet_prefill_per_ms (c->pool, ep) * fleet_slowdown (c->f, ep);
}

double
place_bounded_ms (const struct choice *c, const struct fleet_ep *ep)
{
	if (c->req->shared_room)
		return place_backlog_tokens (c, ep) /
		       fleet_prefill_per_ms (c->pool, ep);
	return place_backlog_ms (c, ep);
}

double
place_running (const struct choice *c, const struct fleet_ep *ep)
{
	return ep->inflight + fleet_peer_running (c->pool, ep);
}

double
place_link_ms (const struct plan_service *s, double tokens)
{
	return tokens * s->kv_token_bytes * 8 / 1000 / s->link_mbps;
}

/* Time to copy the KV cache of @tokens from another engine. */
static double
copy_ms (const struct plan_service *s, double tokens)
{
	return COPY_MIN_MS + place_link_ms (s, tokens);
}

/* The engine to copy the rest of the shared segments from where no report says
 * which one caches them: the preferred one, which most such prompts go to. */
static const struct fleet_ep *
likely_holder (const struct choice *c, const struct candidate *p, double cached)
{
	const struct candidate *first = &c->candidates[0];
	const struct plan_service *s = c->req->service;
	double missing = c->shared_tokens - cached;

	if (p == first || first->origin != FROM_RING || s->link_mbps <= 0 ||
	    missing < COPY_PREFERRED_MIN_TOKENS ||
	    place_link_ms (s, missing) * COPY_PREFERRED_SPEEDUP >
		    missing / PLACE_PREFILL_PER_MS)
		return NULL;
	return first->ep;
}

/* Time until the engine has a free slot for another request. */
static double
slot_wait_ms (const struct choice *c, const struct fleet_ep *ep)
{
	double slots = SLOT_SHARE * c->req->service->slots;
	double ahead = place_running (c, ep) + 1 - slots;

	if (slots <= 0 || ahead <= 0)
		return 0;
	return ahead * c->f->slot_hold_ms / slots;
}

static double
pool_room_tokens (const struct fleet *f, const struct fleet_pool *p,
		  double max_backlog_ms, uint64_t now_ms)
{
	double room = 0;

	for (guint i = 0; i < p->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (p->eps, i);
		double free_tokens =
			max_backlog_ms * fleet_prefill_per_ms (p, ep) -
			ep->prefill_tokens - fleet_peer_prefill (p, ep);

		if (free_tokens > 0 && fleet_usable (f, ep, now_ms) &&
		    !ep->peer_suspect)
			room += free_tokens;
	}
	return room;
}

double
place_room_tokens (const struct fleet *f, const struct plan_service *service,
		   double max_backlog_ms, uint64_t now_ms)
{
	double room = 0;

	for (guint i = 0; i < f->pools->len; i++) {
		const struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		if ((p->side == FLEET_MAIN || p->side == FLEET_TARGET) &&
		    strcmp (p->service, service->name) == 0)
			room += pool_room_tokens (f, p, max_backlog_ms, now_ms);
	}
	return room;
}

bool
place_has_room (const struct choice *c, const struct fleet_ep *ep)
{
	return place_bounded_ms (c, ep) <= c->req->max_backlog_ms &&
	       slot_wait_ms (c, ep) <= 0;
}

void
place_estimate (struct candidate *p, const struct choice *c)
{
	const struct fleet_ep *ep = p->ep;
	const struct place_req *req = c->req;
	double reported =
		fleet_cached_tokens (ep, req->segments, req->segment_count);
	double cached = reported, reprefill, copy_cost_ms = 0, missing;
	double assumed_share = c->f->eps->len <= FLEET_SUBSET_THRESHOLD
				       ? PREFERRED_CACHED_SHARE
				       : PREFERRED_CACHED_SHARE_UNREPORTED;

	if (p->origin == FROM_RING && !place_is_short (req))
		cached = MAX (cached, assumed_share * c->shared_tokens);
	missing = c->holder_tokens > cached ? c->holder_tokens - cached : 0;
	if (missing >= COPY_MIN_TOKENS && c->holder != NULL &&
	    c->holder != ep) {
		p->copy_from = c->holder;
		copy_cost_ms = copy_ms (req->service, missing);
		cached = c->holder_tokens;
	} else {
		p->copy_from = likely_holder (c, p, cached);
	}
	p->prefill_tokens =
		req->prompt_tokens > cached ? req->prompt_tokens - cached : 0;
	p->cost_ms = place_backlog_ms (c, ep) + copy_cost_ms +
		     p->prefill_tokens / fleet_prefill_per_ms (c->pool, ep) *
			     fleet_slowdown (c->f, ep) +
		     BATCH_REQUEST_MS * place_running (c, ep) +
		     slot_wait_ms (c, ep);
	if (strcmp (ep->info.domain, c->relay->domain) != 0)
		p->cost_ms += CROSS_DOMAIN_MS;
	p->ttft_ms = p->cost_ms + req->unseen_ms;
	if (speed_misses_gap (&ep->speed, req->gap_target_ms))
		p->cost_ms += GAP_MISS_MS;
	reprefill = c->shared_tokens > cached ? c->shared_tokens - cached : 0;
	if (!place_is_short (req) && !req->late)
		p->cost_ms +=
			REPREFILL_WEIGHT * reprefill / PLACE_PREFILL_PER_MS +
			COPY_WEIGHT * copy_cost_ms;
}
