/*
 * Choice of the endpoint for a request.
 */
#include <string.h>

#include <xxhash.h>

#include "coldstart.h"
#include "fleet_pace.h"
#include "fleet_speed.h"
#include "place_priv.h"

/* Points of a prefix on the consistent hashing ring of engines.  With these the
 * busiest engine is preferred by a tenth more prompts than the mean. */
#define RING_POINTS 16

/* Engines on the ring that are examined in search of an available one. */
#define RING_STEPS_MAX 48

/* Services without engines: delay that one request adds to the next. */
#define REQUEST_MS 10.0

/* Another engine of the lane must be faster by this than the preferred one. */
#define LEAVE_PREFERRED_MS 60.0

/* An engine of the other lane must be faster by this.  A short prompt that
 * leaves its lane risks only its own latency; a long one in the short lane
 * delays every stream on its engine. */
#define LANE_CHANGE_SHORT_MS 400.0
#define LANE_CHANGE_LONG_MS 700.0

/* Longest prompt of the short lane; longer ones take several prefill steps. */
#define SHORT_PROMPT_TOKENS 4096

/* Engines of each lane that a relay samples, besides the preferred one and
 * those that cache the prefix.  The number grows with the engines there are for
 * each relay.  Load reported by peers is late, so relays that all saw the same
 * best engine would all send there at once. */
#define SAMPLE_MIN 3
#define SAMPLE_FACTOR 3

/* Draws per sampled engine before the lane counts as exhausted. */
#define DRAWS_PER_SAMPLE 4

/* Share of an endpoint's connections that all relays together use. */
#define CONNECTION_SHARE 0.85

static bool
was_tried (const struct place_req *req, const struct fleet_ep *ep)
{
	for (uint32_t i = 0; i < req->tried_count; i++) {
		if (req->tried[i] == ep)
			return true;
	}
	return false;
}

/* Requests that this relay may have in flight at one endpoint. */
static uint32_t
max_inflight (const struct plan_service *s, const struct place_relay *relay)
{
	double n = CONNECTION_SHARE * s->max_connections / relay->relay_count;

	return n < 2 ? 2 : (uint32_t)n;
}

/* Whether an endpoint is likely to fail the request.  One on trial is tried by
 * each relay that saw it fail, with a request that may run again. */
static bool
is_failing (const struct choice *c, const struct fleet_ep *ep)
{
	if (c->now_ms < ep->avoid_until_ms)
		return true;
	if (fleet_on_trial (ep, c->now_ms))
		return !c->req->may_repeat;
	return ep->peer_suspect;
}

/* Engines of a lane that a relay samples. */
static uint32_t
sample_size (const struct choice *c, guint lane)
{
	return CLAMP (SAMPLE_FACTOR * lane / c->relay->relay_count, SAMPLE_MIN,
		      SAMPLE_MAX);
}

/* Whether pacing leaves out an endpoint.  A plain endpoint is considered for
 * each request, an engine when it is sampled or preferred. */
static bool
is_held_back (const struct choice *c, const struct fleet_ep *ep)
{
	const struct fleet_pool *p = c->pool;
	guint lane =
		ep->short_lane ? p->short_count : p->eps->len - p->short_count;
	struct fleet_pace_req req = {
		.is_engine = c->req->service->is_engine,
		.tokens = c->req->prompt_tokens,
		.chance =
			c->req->service->is_engine
				? MIN ((sample_size (c, lane) + 1.0) / lane, 1)
				: 1,
		.relay_count = c->relay->relay_count,
	};

	/* At a shortage the common rate of the relays bounds what is sent, and
	 * an engine that is held back is room lost. */
	return !c->allow_paced && ep->pace.active && !c->req->room_is_short &&
	       !fleet_pace_allows (c->f, p, ep, &req, c->now_ms);
}

/* Whether an endpoint may get the request; notes in the choice why not. */
static bool
allowed (struct choice *c, const struct fleet_ep *ep)
{
	const struct plan_service *s = c->req->service;

	if (!fleet_usable (c->f, ep, c->now_ms) || was_tried (c->req, ep))
		return false;
	if (!c->allow_failing && is_failing (c, ep)) {
		c->skipped_failing = true;
		return false;
	}
	if (is_held_back (c, ep)) {
		c->skipped_paced = true;
		return false;
	}
	if (ep->inflight < max_inflight (s, c->relay) &&
	    coldstart_allows (ep, s->cold_requests_per_s, c->relay->hash,
			      c->relay->relay_count, c->now_ms))
		return true;
	c->full = true;
	return false;
}

static void
add_candidate (struct choice *c, struct fleet_ep *ep, enum origin origin)
{
	for (uint32_t i = 0; i < c->count; i++) {
		if (c->candidates[i].ep == ep)
			return;
	}
	if (c->count < CANDIDATES_MAX)
		c->candidates[c->count++] =
			(struct candidate){.ep = ep, .origin = origin};
}

bool
place_is_short (const struct place_req *req)
{
	return req->prompt_tokens <= SHORT_PROMPT_TOKENS;
}

/* Segment that determines the preferred engine of a prompt: the end of the
 * longest prefix that it shares with others, which is all but its own last
 * segment. */
static uint64_t
prefix_key (const struct place_req *req)
{
	if (req->segment_count >= 2)
		return req->segments[req->segment_count - 2].id;
	return req->segment_count == 1 ? req->segments[0].id : req->random;
}

/* Finds the engines that cache the longest part of the prompt's shared prefix,
 * beginning with a random one: the one with most of it is the source for a
 * copy, and those with more than half of it are candidates. */
static void
add_cached (struct choice *c)
{
	const struct place_req *req = c->req;
	const GPtrArray *eps = NULL;

	for (uint32_t i = req->segment_count - 1; i > 0 && eps == NULL; i--)
		eps = fleet_holders (c->f, req->segments[i - 1].id);
	for (guint i = 0; eps != NULL && i < MIN (eps->len, CACHED_MAX); i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (eps, (i + c->rng) % eps->len);
		uint32_t held;

		if (!ep->listed || ep->health != FLEET_HEALTHY ||
		    ep->peer_suspect || ep->side != req->side ||
		    strcmp (ep->info.service, req->service->name) != 0)
			continue;
		held = fleet_cached_tokens (ep, req->segments,
					    req->segment_count - 1);
		if (held > c->holder_tokens && req->service->link_mbps > 0) {
			c->holder_tokens = held;
			c->holder = ep;
		}
		if (2 * held > c->shared_tokens && allowed (c, ep))
			add_candidate (c, ep, FROM_CACHE);
	}
}

/* Index of the first engine at or after @point on the lane's ring, or @count if
 * there is none. */
static guint
ring_find (struct fleet_ep *const *eps, guint count, uint64_t point)
{
	guint low = 0, high = count;

	while (low < high) {
		guint mid = low + (high - low) / 2;

		if (eps[mid]->rank_hash < point)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

/*
 * Adds the preferred engine of the prompt's prefix.  The prefix has several
 * points on the consistent hashing ring; the available engine that follows one
 * of them most closely is preferred.  All relays find the same one without
 * examining every engine, and few preferences change when engines come and go.
 */
static void
add_preferred (struct choice *c, bool is_short_lane)
{
	const struct fleet_pool *p = c->pool;
	guint from = is_short_lane ? 0 : p->short_count;
	guint to = is_short_lane ? p->short_count : p->eps->len;
	struct fleet_ep *const *eps =
		(struct fleet_ep *const *)p->eps->pdata + from;
	uint64_t key = prefix_key (c->req), best_gap = UINT64_MAX;
	struct fleet_ep *best = NULL;
	guint count = to - from, steps = 0;

	for (uint64_t k = 1; k <= RING_POINTS && count > 0; k++) {
		uint64_t point = XXH64 (&key, sizeof key, k);
		guint at = ring_find (eps, count, point), step = 0;

		while (step < count && steps < RING_STEPS_MAX &&
		       !allowed (c, eps[(at + step) % count])) {
			step++;
			steps++;
		}
		if (step == count || steps == RING_STEPS_MAX)
			break;
		if (eps[(at + step) % count]->rank_hash - point < best_gap) {
			best = eps[(at + step) % count];
			best_gap = best->rank_hash - point;
		}
	}
	if (best != NULL)
		add_candidate (c, best, FROM_RING);
}

/* Adds any available engine if the sample had none. */
static void
add_any (struct choice *c)
{
	const struct fleet_pool *p = c->pool;

	for (guint i = 0; i < p->eps->len && c->count == 0; i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (p->eps, (i + c->rng) % p->eps->len);

		if (allowed (c, ep))
			add_candidate (c, ep, FROM_SAMPLE);
	}
}

static uint64_t
next_random (struct choice *c)
{
	c->rng = XXH64 (&c->rng, sizeof c->rng, 0);
	return c->rng;
}

/* Adds a random sample of the lane's engines whose load is reported. */
static void
add_sample (struct choice *c, bool is_short_lane)
{
	const struct fleet_pool *p = c->pool;
	const GPtrArray *known = p->subset[is_short_lane];
	guint lane =
		is_short_lane ? p->short_count : p->eps->len - p->short_count;
	uint32_t n = sample_size (c, lane);
	uint32_t end = MIN (c->count + n, CANDIDATES_MAX);

	for (uint32_t i = 0;
	     i < DRAWS_PER_SAMPLE * n && c->count < end && known->len > 0;
	     i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (known, next_random (c) % known->len);

		if (allowed (c, ep))
			add_candidate (c, ep, FROM_SAMPLE);
	}
}

/* Time by which a candidate must be faster than the preferred engine. */
static double
lead_ms (const struct place_req *req, const struct candidate *p,
	 enum place_reason *reason)
{
	if (p->ep->short_lane != place_is_short (req)) {
		*reason = PLACE_OTHER_LANE;
		return place_is_short (req) ? LANE_CHANGE_SHORT_MS
					    : LANE_CHANGE_LONG_MS;
	}
	*reason = p->origin == FROM_CACHE ? PLACE_CACHED : PLACE_SPILL;
	if (place_is_short (req))
		return 0;
	return LEAVE_PREFERRED_MS;
}

/* Collects the preferred engine first, then those that cache the prefix, and
 * samples of both lanes. */
static void
collect_candidates (struct choice *c)
{
	bool lane = place_is_short (c->req);

	add_preferred (c, lane);
	if (c->count == 0)
		add_preferred (c, !lane);
	if (c->shared_tokens >= COPY_MIN_TOKENS)
		add_cached (c);
	add_sample (c, lane);
	add_sample (c, !lane);
	add_any (c);
}

/* Adds the first available endpoints in the order of the pool, which all relays
 * share; of the relay's own domain first where @near. */
static void
add_focus (struct choice *c, bool near)
{
	const struct fleet_pool *p = c->pool;
	uint32_t max = MIN (c->req->focus, CANDIDATES_MAX);

	for (guint i = 0; i < p->eps->len && c->count < max; i++) {
		struct fleet_ep *ep = g_ptr_array_index (p->eps, i);

		if ((!near ||
		     strcmp (ep->info.domain, c->relay->domain) == 0) &&
		    allowed (c, ep))
			add_candidate (c, ep, FROM_SAMPLE);
	}
	if (near && c->count == 0)
		add_focus (c, false);
}

/* Chooses the candidate with the least cost; the first one is preferred. */
static struct place_result
choose_engine (struct choice *c)
{
	const struct place_req *req = c->req;
	struct candidate *best = &c->candidates[0];
	struct candidate *open = NULL; /* best one that has room */
	struct place_result v = {.reason = PLACE_PREFERRED};
	double best_ms = 0;

	for (uint32_t i = 0; i < c->count; i++) {
		struct candidate *p = &c->candidates[i];
		enum place_reason reason = PLACE_PREFERRED;
		double ms;

		place_estimate (p, c);
		ms = p->cost_ms;
		if (place_has_room (c, p->ep) &&
		    (open == NULL || ms < open->cost_ms))
			open = p;
		if (i > 0)
			ms += lead_ms (req, p, &reason);
		if (i > 0 && ms >= best_ms)
			continue;
		best = p;
		best_ms = ms;
		v.reason = reason;
	}
	/* Rather than wait, a short prompt goes to the other lane: it takes
	 * little time of the engine there, and its client doesn't wait long. */
	if (place_is_short (req) && open != NULL &&
	    !place_has_room (c, best->ep)) {
		best = open;
		v.reason =
			open->ep->short_lane ? PLACE_SPILL : PLACE_OTHER_LANE;
	}
	v.ttft_ms = best->ttft_ms;
	v.prefill_tokens = best->prefill_tokens;
	v.copy_from = best->copy_from;
	v.backlog_tokens = place_backlog_tokens (c, best->ep);
	v.nominal_ms = (v.backlog_tokens + best->prefill_tokens) /
		       fleet_prefill_per_ms (c->pool, best->ep);
	if (place_bounded_ms (c, best->ep) > req->max_backlog_ms)
		v.reason = PLACE_BUSY;
	else
		v.ep = best->ep;
	return v;
}

/* Replaces the choice in @v by @ep if that is available and has less load. */
static void
consider_load (struct choice *c, struct fleet_ep *ep, struct place_result *v)
{
	double cost_ms = REQUEST_MS * place_running (c, ep);

	if (strcmp (ep->info.domain, c->relay->domain) != 0)
		cost_ms += CROSS_DOMAIN_MS;
	if ((v->ep == NULL || cost_ms < v->ttft_ms) && allowed (c, ep)) {
		v->ep = ep;
		v->ttft_ms = cost_ms;
	}
}

/* Does the same with each endpoint of @eps. */
static void
least_loaded_of (struct choice *c, const GPtrArray *eps, struct place_result *v)
{
	for (guint i = 0; i < eps->len; i++)
		consider_load (
			c, g_ptr_array_index (eps, (i + c->rng) % eps->len), v);
}

/* Compares all endpoints whose load is reported, beginning with a random one;
 * lanes don't matter here. */
static struct place_result
choose_least_loaded (struct choice *c)
{
	struct place_result v = {.reason = PLACE_LEAST};

	if (c->req->focus > 0) {
		add_focus (c, c->req->focus_near);
		for (uint32_t i = 0; i < c->count; i++)
			consider_load (c, c->candidates[i].ep, &v);
		return v;
	}
	for (uint32_t lane = 0; lane < FLEET_LANES; lane++)
		least_loaded_of (c, c->pool->subset[lane], &v);
	if (v.ep == NULL)
		least_loaded_of (c, c->pool->eps, &v);
	return v;
}

static struct place_result
choose_from (struct choice *c)
{
	struct place_result v = {.reason = PLACE_NONE};

	if (!c->req->service->is_engine)
		return choose_least_loaded (c);
	if (c->req->focus > 0)
		add_focus (c, c->req->focus_near);
	else
		collect_candidates (c);
	return c->count > 0 ? choose_engine (c) : v;
}

struct place_result
place_choose (const struct fleet *f, const struct place_relay *relay,
	      const struct place_req *req, uint64_t now_ms)
{
	struct place_result v = {.reason = PLACE_NONE};
	struct choice c = {
		.f = f,
		.pool = fleet_pool (f, req->service->name, req->side),
		.relay = relay,
		.req = req,
		.now_ms = now_ms,
		.rng = req->random};

	for (uint32_t i = 0; i + 1 < req->segment_count; i++)
		c.shared_tokens += req->segments[i].tokens;
	if (c.pool == NULL)
		return v;
	v = choose_from (&c);
	if (v.ep == NULL && v.reason != PLACE_BUSY && c.skipped_paced) {
		c.allow_paced = true;
		v = choose_from (&c);
	}
	if (v.ep == NULL && v.reason != PLACE_BUSY && c.skipped_failing) {
		c.allow_failing = true;
		v = choose_from (&c);
	}
	if (v.ep == NULL && v.reason != PLACE_BUSY)
		v.reason = c.full ? PLACE_FULL : PLACE_NONE;
	return v;
}

bool
place_should_advertise (const struct fleet *f, const struct place_result *v,
			const struct dia_segment *segments, uint32_t count)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i + 1 < count; i++)
		tokens += segments[i].tokens;
	return tokens >= COPY_MIN_TOKENS &&
	       (v->reason != PLACE_PREFERRED ||
		f->eps->len <= FLEET_SUBSET_THRESHOLD);
}

const char *
place_reason_name (enum place_reason reason)
{
	switch (reason) {
	case PLACE_NONE:
		return "none";
	case PLACE_FULL:
		return "full";
	case PLACE_BUSY:
		return "busy";
	case PLACE_PREFERRED:
		return "preferred";
	case PLACE_CACHED:
		return "cached";
	case PLACE_SPILL:
		return "spill";
	case PLACE_OTHER_LANE:
		return "other-lane";
	case PLACE_LEAST:
		return "least";
	case PLACE_COPY:
		return "copy";
	}
	return "?";
}
