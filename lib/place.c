/*
 * Choice of an endpoint.
 */
#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "place.h"

/* Ranks of a prompt that are weighed against each other before any other. */
#define RANKS 2

/* How much of the shared parts the first rank is taken to hold where nobody is
 * known to have sent them there: enough for relays that meet the same new
 * prompt at once to choose the same engine. */
#define HOME_SHARE 0.15

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

/* Share of a domain's engines that is the lane for short prompts: it holds
 * many streams, and reading short prompts takes little of it. */
#define SHORT_LANE_SHARE 0.22

/* Engines beside a prompt's home and its holders that one relay weighs: so many
 * at least, and more where few relays choose.  What the others send is known
 * late, and relays that all saw the same best engine would all send there. */
#define SAMPLE_MIN 3
#define SAMPLE_SHARE 3

/* Steps in which the chance to be weighed is counted. */
#define LOTS 1024

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
room (const struct plan_service *s, const struct place_rules *rules)
{
	double n = CONNECTION_SHARE * s->max_connections / rules->relays;

	return n < 2 ? 2 : (uint32_t)n;
}

static uint64_t
rank_hash (uint64_t key, const char *id)
{
	return XXH64 (id, strlen (id), key);
}

/*
 * While cold, an endpoint bears a few requests a second from all relays.  Each
 * has its turns, one an interval, at times that its name spreads.
 */
static bool
cold_allows (const struct plan_service *s, const struct place_rules *rules,
	     const struct fleet_ep *ep, uint64_t now_ms)
{
	double turn, at;

	if (!fleet_is_cold (ep, now_ms) || s->cold_per_s <= 0)
		return true;
	turn = 1000.0 * rules->relays / (COLD_SHARE * s->cold_per_s);
	at = (double)(now_ms - ep->cold_from_ms) +
	     turn * (double)(rank_hash (rules->self, ep->info.id) % 1024) /
		     1024.0;
	if (fmod (at, turn) > COLD_TURN_MS)
		return false;
	return (double)(now_ms - ep->sent_ms) > COLD_TURN_MS;
}

struct pick {
	struct fleet_ep *ep;
	const struct fleet_ep *copy_from;
	double cost_ms; /* what decides */
	double first_ms;
	double to_read;
	uint64_t hash;
	uint32_t lot; /* whether this relay weighs it, see sampled() */
};

/* The part that decides where a prompt is at home: the longest run of parts
 * that it shares with others, which is all but its own last one. */
static uint64_t
home_key (const struct place_req *req)
{
	if (req->part_count >= 2)
		return req->parts[req->part_count - 2].id;
	return req->part_count == 1 ? req->parts[0].id : req->dice;
}

static bool
is_short (const struct place_req *req)
{
	return req->prompt_tokens <= LONG_TOKENS;
}

static double
backlog_ms (const struct fleet *f, const struct fleet_ep *ep)
{
	return (ep->unread + ep->others_unread) / PLACE_READ_PER_MS *
	       fleet_slow (f, ep);
}

static double
running (const struct fleet_ep *ep)
{
	return ep->inflight + ep->others_running;
}

/* What all candidates have in common. */
struct prompt {
	const struct fleet *f;
	uint32_t shared;               /* tokens of its shared parts */
	const struct fleet_ep *holder; /* that holds the most of them */
	uint32_t held;                 /* how much that is */
};

static void
prompt_init (struct prompt *q, const struct fleet *f,
	     const struct place_req *req)
{
	*q = (struct prompt){.f = f};
	for (uint32_t i = 0; i + 1 < req->part_count; i++)
		q->shared += req->parts[i].tokens;
	if (req->service->link_mbps <= 0 || q->shared < COPY_MIN_TOKENS)
		return;
	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		uint32_t held;

		if (!ep->listed || ep->trust != FLEET_SOUND ||
		    strcmp (ep->info.service, req->service->name) != 0)
			continue;
		held = fleet_cached (ep, req->parts, req->part_count - 1);
		if (held > q->held) {
			q->held = held;
			q->holder = ep;
		}
	}
}

/* Time to copy @tokens from another engine. */
static double
copy_ms (const struct plan_service *s, double tokens)
{
	return COPY_MIN_MS + tokens * s->token_bytes * 8 / 1000 / s->link_mbps;
}

static void
weigh (struct pick *p, const struct place_rules *rules,
       const struct place_req *req, const struct prompt *q, uint32_t rank)
{
	const struct fleet_ep *ep = p->ep;
	double known = fleet_cached (ep, req->parts, req->part_count);
	double held = known, again, copy = 0, lacks;

	if (rank == 0 && !is_short (req))
		held = MAX (held, HOME_SHARE * q->shared);
	lacks = q->held > held ? q->held - held : 0;
	if (lacks >= COPY_MIN_TOKENS && q->holder != NULL && q->holder != ep) {
		p->copy_from = q->holder;
		copy = copy_ms (req->service, lacks);
		held = q->held;
	}
	p->to_read = req->prompt_tokens > held ? req->prompt_tokens - held : 0;
	p->cost_ms = backlog_ms (q->f, ep) + copy +
		     p->to_read / PLACE_READ_PER_MS * fleet_slow (q->f, ep) +
		     BATCH_MS * running (ep);
	if (strcmp (ep->info.domain, rules->domain) != 0)
		p->cost_ms += FAR_MS;
	p->first_ms = p->cost_ms;
	again = q->shared > held ? q->shared - held : 0;
	if (!is_short (req) && !req->late)
		p->cost_ms += AGAIN_WEIGHT * again / PLACE_READ_PER_MS +
			      COPY_WEIGHT * copy;
}

static gint
by_hash (gconstpointer a, gconstpointer b)
{
	const struct pick *x = a, *y = b;

	return x->hash == y->hash ? 0 : x->hash > y->hash ? -1 : 1;
}

/* How much quicker than the first rank this one must be. */
static double
margin_ms (const struct place_req *req, const struct pick *p, uint32_t rank,
	   enum place_why *why)
{
	if (p->ep->short_lane != is_short (req)) {
		*why = PLACE_CROSS;
		return is_short (req) ? CROSS_SHORT_MS : CROSS_LONG_MS;
	}
	*why = rank < RANKS ? PLACE_SHIFT : PLACE_SPILL;
	if (is_short (req))
		return 0;
	return SHIFT_MS;
}

/* Picks of the request's own lane come first, each lane by rank. */
static uint32_t
order_picks (GArray *picks, bool is_short_one)
{
	struct pick *all = (struct pick *)picks->data;
	uint32_t own = 0;

	g_array_sort (picks, by_hash);
	for (guint i = 0; i < picks->len; i++) {
		struct pick p = all[i];

		if (p.ep->short_lane != is_short_one)
			continue;
		memmove (&all[own + 1], &all[own], (i - own) * sizeof p);
		all[own++] = p;
	}
	return own;
}

static bool
sampled (const struct pick *p, const struct place_rules *rules, uint32_t lane,
	 const struct prompt *q, const struct place_req *req, uint32_t rank)
{
	uint32_t n = MAX (SAMPLE_MIN, SAMPLE_SHARE * lane / rules->relays);

	if (rank == 0 || p->lot % LOTS < (uint64_t)LOTS * n / MAX (lane, 1))
		return true;
	return q->shared >= COPY_MIN_TOKENS && req->part_count > 1 &&
	       2 * fleet_cached (p->ep, req->parts, req->part_count - 1) >
		       q->shared;
}

static struct place_verdict
choose_engine (const struct fleet *f, GArray *picks,
	       const struct place_rules *rules, const struct place_req *req)
{
	uint32_t own = order_picks (picks, is_short (req));
	struct pick *all = (struct pick *)picks->data, *best = &all[0];
	struct pick *open = NULL; /* the best that has less to read */
	struct place_verdict v = {.why = PLACE_HOME};
	double best_ms = 0;
	struct prompt q;

	prompt_init (&q, f, req);
	for (guint i = 0; i < picks->len; i++) {
		enum place_why why = PLACE_HOME;
		double ms;

		if (!sampled (&all[i], rules, i < own ? own : picks->len - own,
			      &q, req, i))
			continue;
		weigh (&all[i], rules, req, &q, i < own ? i : RANKS);
		ms = all[i].cost_ms;
		if (backlog_ms (f, all[i].ep) <= req->hold_ms &&
		    (open == NULL || ms < open->cost_ms))
			open = &all[i];
		if (i > 0)
			ms += margin_ms (req, &all[i], i, &why);
		if (i > 0 && ms >= best_ms)
			continue;
		best = &all[i];
		best_ms = ms;
		v.why = why;
	}
	/* A short prompt takes little of an engine of the other lane, and its
	 * caller waits for little time. */
	if (is_short (req) && open != NULL &&
	    backlog_ms (f, best->ep) > req->hold_ms) {
		best = open;
		v.why = open->ep->short_lane ? PLACE_SPILL : PLACE_CROSS;
	}
	v.first_ms = best->first_ms;
	v.to_read = best->to_read;
	v.copy_from = best->copy_from;
	v.plain_ms =
		(best->ep->unread + best->ep->others_unread + best->to_read) /
		PLACE_READ_PER_MS;
	if (backlog_ms (f, best->ep) > req->hold_ms)
		v.why = PLACE_BUSY;
	else
		v.ep = best->ep;
	return v;
}

static struct place_verdict
choose_plain (GArray *picks, const struct place_rules *rules,
	      const struct place_req *req)
{
	struct pick *all = (struct pick *)picks->data;
	struct pick *best = NULL;

	for (guint i = 0; i < picks->len; i++) {
		struct pick *p = &all[(i + req->dice) % picks->len];

		p->cost_ms = PLAIN_MS * running (p->ep);
		if (strcmp (p->ep->info.domain, rules->domain) != 0)
			p->cost_ms += FAR_MS;
		if (best == NULL || p->cost_ms < best->cost_ms)
			best = p;
	}
	return (struct place_verdict){
		.ep = best->ep, .why = PLACE_LEAST, .first_ms = best->cost_ms};
}

/* Two passes: without those that fail a part of their answers, and with. */
struct place_verdict
place_choose (const struct fleet *f, const struct place_rules *rules,
	      const struct place_req *req, uint64_t now_ms)
{
	GArray *picks = g_array_new (FALSE, FALSE, sizeof (struct pick));
	struct place_verdict v = {.why = PLACE_NONE};

	for (int pass = 0; pass < 2 && picks->len == 0; pass++) {
		for (guint i = 0; i < f->eps->len; i++) {
			struct pick p = {.ep = g_ptr_array_index (f->eps, i)};

			if (strcmp (p.ep->info.service, req->service->name) !=
				    0 ||
			    !fleet_usable (f, p.ep, now_ms) ||
			    was_tried (req, p.ep) ||
			    (pass < 1 && now_ms < p.ep->wrong_until_ms))
				continue;
			if (p.ep->inflight >= room (req->service, rules) ||
			    !cold_allows (req->service, rules, p.ep, now_ms)) {
				v.why = PLACE_FULL;
				continue;
			}
			p.hash = rank_hash (home_key (req), p.ep->info.id);
			p.lot = (uint32_t)rank_hash (req->dice, p.ep->info.id);
			g_array_append_val (picks, p);
		}
	}
	if (picks->len > 0)
		v = req->service->is_engine
			    ? choose_engine (f, picks, rules, req)
			    : choose_plain (picks, rules, req);
	g_array_free (picks, TRUE);
	return v;
}

/*
 * An endpoint is in the short lane if few of its domain's stand before it in
 * an order that all relays see alike.
 */
void
place_lanes (struct fleet *f)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		uint64_t own = rank_hash (1, ep->info.id);
		uint32_t all = 0, before = 0;

		for (guint k = 0; k < f->eps->len; k++) {
			const struct fleet_ep *o =
				g_ptr_array_index (f->eps, k);

			if (!o->listed || o->leaving ||
			    strcmp (o->info.service, ep->info.service) != 0 ||
			    strcmp (o->info.domain, ep->info.domain) != 0)
				continue;
			all++;
			before += rank_hash (1, o->info.id) < own;
		}
		ep->short_lane = before < SHORT_LANE_SHARE * all - 0.5;
	}
}

const char *
place_why_name (enum place_why why)
{
	switch (why) {
	case PLACE_NONE:
		return "none";
	case PLACE_FULL:
		return "full";
	case PLACE_BUSY:
		return "busy";
	case PLACE_HOME:
		return "home";
	case PLACE_SHIFT:
		return "shift";
	case PLACE_SPILL:
		return "spill";
	case PLACE_CROSS:
		return "cross";
	case PLACE_LEAST:
		return "least";
	}
	return "?";
}
