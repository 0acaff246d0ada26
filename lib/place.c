/*
 * Choice of an endpoint.
 */
#include <string.h>

#include <xxhash.h>

#include "place.h"

/* Ranks of a prompt that are weighed against each other before any other. */
#define RANKS 2

/* Prompt tokens an engine reads in a millisecond, before anything was
 * measured; the order of what today's engines do. */
#define READ_PER_MS 50.0

/* How likely an engine holds the shared parts when another relay may have
 * sent them: by rank, for those this relay did not send itself. */
static const double held_by_rank[RANKS] = {0.7, 0.2};

/* A request that streams beside a new one slows its reading by about a
 * batch step's share. */
#define BATCH_MS 1.5

/* One way between domains, twice, and dear bytes. */
#define FAR_MS 4.0

/* Plain services: what one request of ours there costs the next. */
#define PLAIN_MS 30.0

/* A later rank must be quicker by this, so that parts stay where they are. */
#define SHIFT_MS 120.0

/* Beyond this predicted time any engine may be tried. */
#define SPILL_MS 600.0

/* Of an endpoint's connections, what the relays together may fill. */
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
 * While cold, an endpoint bears a few requests a second from all relays; each
 * takes its part of that, by time since its own last.
 */
static bool
cold_allows (const struct plan_service *s, const struct place_rules *rules,
	     const struct fleet_ep *ep, uint64_t now_ms)
{
	if (!fleet_is_cold (ep, now_ms))
		return true;
	if (s->cold_per_s <= 0)
		return true;
	return (double)(now_ms - ep->cold_sent_ms) * s->cold_per_s >=
	       1000.0 * rules->relays;
}

struct pick {
	struct fleet_ep *ep;
	double cost_ms;
	double to_read;
	uint64_t hash;
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

static void
weigh (struct pick *p, const struct place_rules *rules,
       const struct place_req *req, uint32_t rank)
{
	const struct fleet_ep *ep = p->ep;
	uint32_t shared = 0, known;
	double held;

	for (uint32_t i = 0; i + 1 < req->part_count; i++)
		shared += req->parts[i].tokens;
	known = fleet_cached (ep, req->parts, req->part_count);
	held = rank < RANKS ? held_by_rank[rank] * shared : 0;
	held = MAX (held, known);
	p->to_read = req->prompt_tokens > held ? req->prompt_tokens - held : 0;
	p->cost_ms = (ep->unread + p->to_read) / READ_PER_MS +
		     BATCH_MS * ep->inflight * rules->relays;
	p->cost_ms *= MAX (ep->slow, 0.5);
	if (strcmp (ep->info.domain, rules->domain) != 0)
		p->cost_ms += FAR_MS;
}

static gint
by_hash (gconstpointer a, gconstpointer b)
{
	const struct pick *x = a, *y = b;

	return x->hash == y->hash ? 0 : x->hash > y->hash ? -1 : 1;
}

static struct place_verdict
choose_engine (GArray *picks, const struct place_rules *rules,
	       const struct place_req *req)
{
	struct pick *all = (struct pick *)picks->data, *best;
	enum place_why why = PLACE_HOME;

	g_array_sort (picks, by_hash);
	for (guint i = 0; i < picks->len; i++)
		weigh (&all[i], rules, req, i);
	best = &all[0];
	for (guint i = 1; i < MIN (picks->len, RANKS); i++) {
		if (all[i].cost_ms + SHIFT_MS < best->cost_ms) {
			best = &all[i];
			why = PLACE_SHIFT;
		}
	}
	if (best->cost_ms > SPILL_MS) {
		for (guint i = RANKS; i < picks->len; i++) {
			if (all[i].cost_ms + SHIFT_MS < best->cost_ms) {
				best = &all[i];
				why = PLACE_SPILL;
			}
		}
	}
	return (struct place_verdict){best->ep, why, best->cost_ms,
				      best->to_read};
}

static struct place_verdict
choose_plain (GArray *picks, const struct place_rules *rules,
	      const struct place_req *req)
{
	struct pick *all = (struct pick *)picks->data;
	struct pick *best = NULL;

	for (guint i = 0; i < picks->len; i++) {
		struct pick *p = &all[(i + req->dice) % picks->len];

		p->cost_ms = PLAIN_MS * p->ep->inflight * MAX (p->ep->slow, 1);
		if (strcmp (p->ep->info.domain, rules->domain) != 0)
			p->cost_ms += FAR_MS;
		if (best == NULL || p->cost_ms < best->cost_ms)
			best = p;
	}
	return (struct place_verdict){best->ep, PLACE_LEAST, best->cost_ms, 0};
}

/*
 * Three passes, each with less to be asked: sound and warm; avoided ones too;
 * cold ones too, at their pace.
 */
struct place_verdict
place_choose (const struct fleet *f, const struct place_rules *rules,
	      const struct place_req *req, uint64_t now_ms)
{
	GArray *picks = g_array_new (FALSE, FALSE, sizeof (struct pick));
	struct place_verdict v = {.why = PLACE_NONE};

	for (int pass = 0; pass < 3 && picks->len == 0; pass++) {
		for (guint i = 0; i < f->eps->len; i++) {
			struct pick p = {g_ptr_array_index (f->eps, i), 0, 0,
					 0};

			if (strcmp (p.ep->info.service, req->service->name) !=
				    0 ||
			    !fleet_usable (f, p.ep, now_ms) ||
			    was_tried (req, p.ep))
				continue;
			if ((pass < 1 && now_ms < p.ep->wrong_until_ms) ||
			    (pass < 2 && fleet_is_cold (p.ep, now_ms)))
				continue;
			if (p.ep->inflight >= room (req->service, rules) ||
			    !cold_allows (req->service, rules, p.ep, now_ms)) {
				v.why = PLACE_FULL;
				continue;
			}
			p.hash = rank_hash (home_key (req), p.ep->info.id);
			g_array_append_val (picks, p);
		}
	}
	if (picks->len > 0)
		v = req->service->is_engine
			    ? choose_engine (picks, rules, req)
			    : choose_plain (picks, rules, req);
	g_array_free (picks, TRUE);
	return v;
}

const char *
place_why_name (enum place_why why)
{
	switch (why) {
	case PLACE_NONE:
		return "none";
	case PLACE_FULL:
		return "full";
	case PLACE_HOME:
		return "home";
	case PLACE_SHIFT:
		return "shift";
	case PLACE_SPILL:
		return "spill";
	case PLACE_LEAST:
		return "least";
	}
	return "?";
}
