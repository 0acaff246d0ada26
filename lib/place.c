/*
 * Choice of an endpoint.
 */
#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "place.h"

/* Points on the ring of engines that a prompt's key names: with so many, the
 * busiest engine is home to a tenth more prompts than the mean. */
#define HOME_POINTS 16

/* Engines that are looked at for one that may be home, where many may not. */
#define HOME_LOOKS 48

/* How much of the shared parts the first rank is taken to hold where nobody is
 * known to have sent them there: enough for relays that meet the same new
 * prompt at once to choose the same engine. */
#define HOME_SHARE 0.15

/* The same where nobody tells what was sent home: as likely there as not. */
#define HOME_SHARE_UNTOLD 0.5

/* What one more request in the batch adds to the time of a few steps. */
#define BATCH_MS 0.5

/* One way between domains, twice, and dear bytes. */
#define FAR_MS 12.0

/* Plain services: what one request there costs the next. */
#define PLAIN_MS 10.0

/* Another engine of the lane must be quicker by this. */
#define SHIFT_MS 60.0

/* Reading shared parts again counts so many times its own time more, since it
 * takes the engine from others, and drives other parts out of its memory; a
 * copy takes only memory. */
#define AGAIN_WEIGHT 2.0
#define COPY_WEIGHT 1.0

/* Copies wait for each other on the engines' links. */
#define COPY_MIN_MS 20.0

/* Fewer tokens are read sooner than copied. */
#define COPY_MIN_TOKENS 2048

/* The other lane must be quicker by this.  A short prompt that leaves its lane
 * may itself be late; a long one in the short lane makes every stream late that
 * runs there. */
#define CROSS_SHORT_MS 400.0
#define CROSS_LONG_MS 700.0

/* Prompts of more tokens take an engine several steps to read. */
#define LONG_TOKENS 4096

/* Engines of each lane, beside a prompt's home and its holders, that one relay
 * weighs: so many at least, and more where few relays choose.  What the others
 * send is known late, and relays that all saw the same best engine would all
 * send there. */
#define SAMPLE_MIN 3
#define SAMPLE_SHARE 3
#define SAMPLE_MAX 24

/* Draws for each engine of the sample, before the lane is taken to have no
 * more that may get the request. */
#define DRAWS 4

/* Holders of a prompt's shared parts that are weighed, of all that hold them:
 * a part that every prompt has is held everywhere. */
#define HOLDERS_MAX 16

#define PICKS_MAX (1 + HOLDERS_MAX + 2 * SAMPLE_MAX)

/* Of an endpoint's connections, what the relays together may fill. */
#define CONNECTION_SHARE 0.85

/* A relay's turn at a cold endpoint passes if it is not used in this time, so
 * that turns don't add up. */
#define COLD_TURN_MS 300.0

/* Turns come at random times, so that what all relays send in a second spreads
 * about its mean; this share of what the endpoint bears keeps the sum below
 * with any number of relays. */
#define COLD_SHARE 0.4

static bool
was_tried (const struct place_req *req, const struct fleet_ep *ep)
{
	for (uint32_t i = 0; i < req->tried_count; i++) {
		if (req->tried[i] == ep)
			return true;
	}
	return false;
}

/* Of ours, at one endpoint. */
static uint32_t
room (const struct plan_service *s, const struct place_relay *rules)
{
	double n = CONNECTION_SHARE * s->max_connections / rules->relays;

	return n < 2 ? 2 : (uint32_t)n;
}

static uint64_t
rank_hash (uint64_t key, const struct fleet_ep *ep)
{
	return XXH64 (&ep->rank_hash, sizeof ep->rank_hash, key);
}

/*
 * While cold, an endpoint bears a few requests a second from all relays.  Each
 * has its turns, one an interval, at times that its name spreads.
 */
static bool
cold_allows (const struct plan_service *s, const struct place_relay *rules,
	     const struct fleet_ep *ep, uint64_t now_ms)
{
	double turn, at;

	if (!fleet_is_cold (ep, now_ms) || s->cold_requests_per_s <= 0)
		return true;
	turn = 1000.0 * rules->relays / (COLD_SHARE * s->cold_requests_per_s);
	at = (double)(now_ms - ep->cold_since_ms) +
	     turn * (double)(rank_hash (rules->self, ep) % 1024) / 1024.0;
	if (fmod (at, turn) > COLD_TURN_MS)
		return false;
	return (double)(now_ms - ep->last_sent_ms) > COLD_TURN_MS;
}

/* How an engine came to be weighed. */
enum by { BY_HOME, BY_HOLDING, BY_LOT };

struct pick {
	struct fleet_ep *ep;
	enum by by;
	const struct fleet_ep *copy_from;
	double cost_ms; /* what decides */
	double first_ms;
	double to_read;
};

/* One choice: its input, and the engines that are weighed. */
struct choice {
	const struct fleet *f;
	const struct fleet_pool *pool;
	const struct place_relay *rules;
	const struct place_req *req;
	uint64_t now_ms;
	bool take_wrong; /* those that fail, or are down for others, too */
	bool wrong;      /* some such were left out */
	bool full;       /* some have no room for more of ours */
	uint64_t dice;
	uint32_t shared;               /* tokens of the prompt's shared parts */
	const struct fleet_ep *holder; /* that holds the most of them */
	uint32_t held;                 /* how much that is */
	struct pick picks[PICKS_MAX];
	uint32_t count;
};

static bool
allowed (struct choice *c, const struct fleet_ep *ep)
{
	const struct plan_service *s = c->req->service;

	if (!fleet_usable (c->f, ep, c->now_ms) || was_tried (c->req, ep))
		return false;
	if (!c->take_wrong &&
	    (c->now_ms < ep->avoid_until_ms || ep->peer_suspect)) {
		c->wrong = true;
		return false;
	}
	if (ep->inflight < room (s, c->rules) &&
	    cold_allows (s, c->rules, ep, c->now_ms))
		return true;
	c->full = true;
	return false;
}

static void
pick_add (struct choice *c, struct fleet_ep *ep, enum by by)
{
	for (uint32_t i = 0; i < c->count; i++) {
		if (c->picks[i].ep == ep)
			return;
	}
	if (c->count < PICKS_MAX)
		c->picks[c->count++] = (struct pick){.ep = ep, .by = by};
}

/* The part that decides where a prompt is at home: the longest run of parts
 * that it shares with others, which is all but its own last one. */
static uint64_t
home_key (const struct place_req *req)
{
	if (req->segment_count >= 2)
		return req->segments[req->segment_count - 2].id;
	return req->segment_count == 1 ? req->segments[0].id : req->random;
}

static bool
is_short (const struct place_req *req)
{
	return req->prompt_tokens <= LONG_TOKENS;
}

static double
unread (const struct choice *c, const struct fleet_ep *ep)
{
	return ep->prefill_tokens + fleet_peer_prefill (c->pool, ep);
}

static double
backlog_ms (const struct choice *c, const struct fleet_ep *ep)
{
	return unread (c, ep) / PLACE_PREFILL_PER_MS *
	       fleet_slowdown (c->f, ep);
}

static double
running (const struct choice *c, const struct fleet_ep *ep)
{
	return ep->inflight + fleet_peer_running (c->pool, ep);
}

/* Engines that hold the longest run of the prompt's shared parts, from a
 * random one on: a source to copy from, and candidates where they hold most. */
static void
pick_holders (struct choice *c)
{
	const struct place_req *req = c->req;
	const GPtrArray *eps = NULL;

	for (uint32_t i = req->segment_count - 1; i > 0 && eps == NULL; i--)
		eps = fleet_holders (c->f, req->segments[i - 1].id);
	for (guint i = 0; eps != NULL && i < MIN (eps->len, HOLDERS_MAX); i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (eps, (i + c->dice) % eps->len);
		uint32_t held;

		if (!ep->listed || ep->health != FLEET_HEALTHY ||
		    ep->peer_suspect ||
		    strcmp (ep->info.service, req->service->name) != 0)
			continue;
		held = fleet_cached_tokens (ep, req->segments,
					    req->segment_count - 1);
		if (held > c->held && req->service->link_mbps > 0) {
			c->held = held;
			c->holder = ep;
		}
		if (2 * held > c->shared && allowed (c, ep))
			pick_add (c, ep, BY_HOLDING);
	}
}

/* The first engine from @point on, in the lane's order of seeds; or its size.
 */
static guint
lane_after (struct fleet_ep *const *eps, guint count, uint64_t point)
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
 * Where a prompt is at home: of several points on a ring that its key names,
 * the one that is closest before an engine that may get it.  All relays find
 * the same one without a look at each engine, and few homes move when engines
 * come and go.
 */
static void
pick_home (struct choice *c, bool is_short_lane)
{
	const struct fleet_pool *p = c->pool;
	guint from = is_short_lane ? 0 : p->short_count;
	guint to = is_short_lane ? p->short_count : p->eps->len;
	struct fleet_ep *const *eps =
		(struct fleet_ep *const *)p->eps->pdata + from;
	uint64_t key = home_key (c->req), best_gap = UINT64_MAX;
	struct fleet_ep *best = NULL;
	guint count = to - from, looks = 0;

	for (uint64_t k = 1; k <= HOME_POINTS && count > 0; k++) {
		uint64_t point = XXH64 (&key, sizeof key, k);
		guint at = lane_after (eps, count, point), step = 0;

		while (step < count && looks < HOME_LOOKS &&
		       !allowed (c, eps[(at + step) % count])) {
			step++;
			looks++;
		}
		if (step == count || looks == HOME_LOOKS)
			break;
		if (eps[(at + step) % count]->rank_hash - point < best_gap) {
			best = eps[(at + step) % count];
			best_gap = best->rank_hash - point;
		}
	}
	if (best != NULL)
		pick_add (c, best, BY_HOME);
}

/* Where the draws met none that may get it, any that may. */
static void
pick_any (struct choice *c)
{
	const struct fleet_pool *p = c->pool;

	for (guint i = 0; i < p->eps->len && c->count == 0; i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (p->eps, (i + c->dice) % p->eps->len);

		if (allowed (c, ep))
			pick_add (c, ep, BY_LOT);
	}
}

static uint64_t
draw (struct choice *c)
{
	c->dice = XXH64 (&c->dice, sizeof c->dice, 0);
	return c->dice;
}

/* Of the lane's engines that this relay knows well. */
static void
pick_sample (struct choice *c, bool is_short_lane)
{
	const struct fleet_pool *p = c->pool;
	const GPtrArray *known = p->subset[is_short_lane];
	guint lane =
		is_short_lane ? p->short_count : p->eps->len - p->short_count;
	uint32_t n = CLAMP (SAMPLE_SHARE * lane / c->rules->relays, SAMPLE_MIN,
			    SAMPLE_MAX);
	uint32_t end = MIN (c->count + n, PICKS_MAX);

	for (uint32_t i = 0; i < DRAWS * n && c->count < end && known->len > 0;
	     i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (known, draw (c) % known->len);

		if (allowed (c, ep))
			pick_add (c, ep, BY_LOT);
	}
}

/* Time to copy @tokens from another engine. */
static double
copy_ms (const struct plan_service *s, double tokens)
{
	return COPY_MIN_MS +
	       tokens * s->kv_token_bytes * 8 / 1000 / s->link_mbps;
}

static void
weigh (struct pick *p, const struct choice *c)
{
	const struct fleet_ep *ep = p->ep;
	const struct place_req *req = c->req;
	double known =
		fleet_cached_tokens (ep, req->segments, req->segment_count);
	double held = known, again, copy = 0, lacks;
	double home_share = c->f->eps->len <= FLEET_SUBSET_THRESHOLD
				    ? HOME_SHARE
				    : HOME_SHARE_UNTOLD;

	if (p->by == BY_HOME && !is_short (req))
		held = MAX (held, home_share * c->shared);
	lacks = c->held > held ? c->held - held : 0;
	if (lacks >= COPY_MIN_TOKENS && c->holder != NULL && c->holder != ep) {
		p->copy_from = c->holder;
		copy = copy_ms (req->service, lacks);
		held = c->held;
	}
	p->to_read = req->prompt_tokens > held ? req->prompt_tokens - held : 0;
	p->cost_ms =
		backlog_ms (c, ep) + copy +
		p->to_read / PLACE_PREFILL_PER_MS * fleet_slowdown (c->f, ep) +
		BATCH_MS * running (c, ep);
	if (strcmp (ep->info.domain, c->rules->domain) != 0)
		p->cost_ms += FAR_MS;
	p->first_ms = p->cost_ms;
	again = c->shared > held ? c->shared - held : 0;
	if (!is_short (req) && !req->late)
		p->cost_ms += AGAIN_WEIGHT * again / PLACE_PREFILL_PER_MS +
			      COPY_WEIGHT * copy;
}

/* How much quicker than the home this one must be. */
static double
margin_ms (const struct place_req *req, const struct pick *p,
	   enum place_reason *why)
{
	if (p->ep->short_lane != is_short (req)) {
		*why = PLACE_OTHER_LANE;
		return is_short (req) ? CROSS_SHORT_MS : CROSS_LONG_MS;
	}
	*why = p->by == BY_HOLDING ? PLACE_CACHED : PLACE_SPILL;
	if (is_short (req))
		return 0;
	return SHIFT_MS;
}

/* The home first, the engines of its lane, then those of the other. */
static void
pick_engines (struct choice *c)
{
	bool lane = is_short (c->req);

	pick_home (c, lane);
	if (c->count == 0)
		pick_home (c, !lane);
	if (c->shared >= COPY_MIN_TOKENS)
		pick_holders (c);
	pick_sample (c, lane);
	pick_sample (c, !lane);
	pick_any (c);
}

static struct place_result
choose_engine (struct choice *c)
{
	const struct place_req *req = c->req;
	struct pick *best = &c->picks[0];
	struct pick *open = NULL; /* the best that has less to read */
	struct place_result v = {.reason = PLACE_PREFERRED};
	double best_ms = 0;

	for (uint32_t i = 0; i < c->count; i++) {
		struct pick *p = &c->picks[i];
		enum place_reason why = PLACE_PREFERRED;
		double ms;

		weigh (p, c);
		ms = p->cost_ms;
		if (backlog_ms (c, p->ep) <= req->max_backlog_ms &&
		    (open == NULL || ms < open->cost_ms))
			open = p;
		if (i > 0)
			ms += margin_ms (req, p, &why);
		if (i > 0 && ms >= best_ms)
			continue;
		best = p;
		best_ms = ms;
		v.reason = why;
	}
	/* A short prompt takes little of an engine of the other lane, and its
	 * caller waits for little time. */
	if (is_short (req) && open != NULL &&
	    backlog_ms (c, best->ep) > req->max_backlog_ms) {
		best = open;
		v.reason =
			open->ep->short_lane ? PLACE_SPILL : PLACE_OTHER_LANE;
	}
	v.ttft_ms = best->first_ms;
	v.prefill_tokens = best->to_read;
	v.copy_from = best->copy_from;
	v.nominal_ms =
		(unread (c, best->ep) + best->to_read) / PLACE_PREFILL_PER_MS;
	if (backlog_ms (c, best->ep) > req->max_backlog_ms)
		v.reason = PLACE_BUSY;
	else
		v.ep = best->ep;
	return v;
}

static void
weigh_plain (struct choice *c, const GPtrArray *eps, struct place_result *v)
{
	for (guint i = 0; i < eps->len; i++) {
		struct fleet_ep *ep =
			g_ptr_array_index (eps, (i + c->dice) % eps->len);
		double cost_ms = PLAIN_MS * running (c, ep);

		if (strcmp (ep->info.domain, c->rules->domain) != 0)
			cost_ms += FAR_MS;
		if ((v->ep == NULL || cost_ms < v->ttft_ms) &&
		    allowed (c, ep)) {
			v->ep = ep;
			v->ttft_ms = cost_ms;
		}
	}
}

/* All that are known are looked at, from a random one on; lanes mean nothing
 * here. */
static struct place_result
choose_plain (struct choice *c)
{
	struct place_result v = {.reason = PLACE_LEAST};

	for (uint32_t lane = 0; lane < FLEET_LANES; lane++)
		weigh_plain (c, c->pool->subset[lane], &v);
	if (v.ep == NULL)
		weigh_plain (c, c->pool->eps, &v);
	return v;
}

static struct place_result
choose_from (struct choice *c)
{
	struct place_result v = {.reason = PLACE_NONE};

	if (!c->req->service->is_engine)
		return choose_plain (c);
	pick_engines (c);
	return c->count > 0 ? choose_engine (c) : v;
}

/* Those that fail a part of their answers, or that others find down, get it
 * only where no other may. */
struct place_result
place_choose (const struct fleet *f, const struct place_relay *rules,
	      const struct place_req *req, uint64_t now_ms)
{
	struct place_result v = {.reason = PLACE_NONE};
	struct choice c = {.f = f,
			   .pool = fleet_pool (f, req->service->name),
			   .rules = rules,
			   .req = req,
			   .now_ms = now_ms,
			   .dice = req->random};

	for (uint32_t i = 0; i + 1 < req->segment_count; i++)
		c.shared += req->segments[i].tokens;
	if (c.pool == NULL)
		return v;
	v = choose_from (&c);
	if (v.ep == NULL && v.reason != PLACE_BUSY && c.wrong) {
		c.take_wrong = true;
		v = choose_from (&c);
	}
	if (v.ep == NULL && v.reason != PLACE_BUSY)
		v.reason = c.full ? PLACE_FULL : PLACE_NONE;
	return v;
}

bool
place_should_advertise (const struct fleet *f, const struct place_result *v,
			const struct dia_segment *parts, uint32_t count)
{
	uint32_t shared = 0;

	for (uint32_t i = 0; i + 1 < count; i++)
		shared += parts[i].tokens;
	return shared >= COPY_MIN_TOKENS &&
	       (v->reason != PLACE_PREFERRED ||
		f->eps->len <= FLEET_SUBSET_THRESHOLD);
}

const char *
place_reason_name (enum place_reason why)
{
	switch (why) {
	case PLACE_NONE:
		return "none";
	case PLACE_FULL:
		return "full";
	case PLACE_BUSY:
		return "busy";
	case PLACE_PREFERRED:
		return "home";
	case PLACE_CACHED:
		return "shift";
	case PLACE_SPILL:
		return "spill";
	case PLACE_OTHER_LANE:
		return "cross";
	case PLACE_LEAST:
		return "least";
	}
	return "?";
}
