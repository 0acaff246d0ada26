/*
 * The holder: which credits this entry has, asks for them, and gives back
 * what a higher tier needs elsewhere.
 */
#include <string.h>

#include "lease_priv.h"

#define SPLIT_MS 3000 /* how long all electors are asked after a hint */
#define CHANGE_MS 30  /* between news of what waits */
#define KEEP 2        /* endpoints of a pool with credits for a first request */
#define POLL 8        /* asked for such at once */
#define SPREAD 6      /* endpoints asked for each waiting request */

struct lease_hold *
lease_hold_new (void)
{
	struct lease_hold *h = g_new0 (struct lease_hold, 1);

	/* Hashed by name: see lease_coord_new(). */
	h->eps = g_hash_table_new (g_str_hash, NULL);
	h->pools = g_hash_table_new (g_str_hash, NULL);
	return h;
}

static void
hold_ep_free (struct hold_ep *he)
{
	he->ep->refs--;
	g_array_free (he->by, TRUE);
	g_free (he);
}

void
lease_hold_free (struct lease_hold *h)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, h->eps);
	while (g_hash_table_iter_next (&it, NULL, &v))
		hold_ep_free (v);
	g_hash_table_iter_init (&it, h->pools);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		((struct hold_pool *)v)->pool->refs--;
		g_free (v);
	}
	g_hash_table_destroy (h->eps);
	g_hash_table_destroy (h->pools);
	g_free (h);
}

static struct hold_by *
by_at (const struct hold_ep *he, uint32_t i)
{
	return &g_array_index (he->by, struct hold_by, i);
}

struct hold_by *
lease_hold_by (struct hold_ep *he, struct bb_peer *peer)
{
	struct hold_by by = {.peer = peer};

	for (uint32_t i = 0; i < he->by->len; i++)
		if (by_at (he, i)->peer == peer)
			return by_at (he, i);
	g_array_append_val (he->by, by);
	return by_at (he, he->by->len - 1);
}

/* Credits it may use: as granted, less what it gave back since. */
uint32_t
lease_hold_usable (const struct hold_by *by, uint64_t now_ms)
{
	uint32_t gone = by->returned - by->known;

	if (now_ms >= by->until_ms || by->credits <= gone)
		return 0;
	return by->credits - gone;
}

static uint32_t
unused (const struct hold_by *by, uint64_t now_ms)
{
	uint32_t n = lease_hold_usable (by, now_ms);

	return n > by->used ? n - by->used : 0;
}

/* Tell the blackboard what can be sent. */
static void
show (struct hold_ep *he, uint64_t now_ms)
{
	uint32_t free_now = 0;
	uint64_t until = UINT64_MAX;

	for (uint32_t i = 0; i < he->by->len; i++) {
		const struct hold_by *by = by_at (he, i);

		if (unused (by, now_ms) == 0)
			continue;
		free_now += unused (by, now_ms);
		until = MIN (until, by->until_ms);
	}
	he->ep->credits = he->ep->in_flight + free_now;
	he->ep->credits_until_ms = free_now == 0 ? 0 : until;
}

static void
add_ep (struct lease_hold *h, struct bb_ep *ep)
{
	struct hold_ep *he;

	if (g_hash_table_contains (h->eps, ep))
		return;
	he = g_new0 (struct hold_ep, 1);
	he->ep = ep;
	ep->refs++;
	he->by = g_array_new (FALSE, TRUE, sizeof (struct hold_by));
	g_hash_table_insert (h->eps, ep, he);
}

static void
add_pool (struct lease *l, struct bb_pool *p)
{
	struct hold_pool *hp;

	for (uint32_t i = 0; i < p->ep_count; i++)
		add_ep (l->hold, p->eps[i]);
	if (g_hash_table_contains (l->hold->pools, p))
		return;
	hp = g_new0 (struct hold_pool, 1);
	hp->pool = p;
	p->refs++;
	hp->home = (uint32_t)bb_rendezvous (l->bb->self_name, p->name);
	hp->start = hp->home;
	g_hash_table_insert (l->hold->pools, p, hp);
}

/* Endpoints the inventory no longer names stay while requests run there. */
void
lease_hold_remap (struct lease *l, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	(void)now_ms;
	g_hash_table_iter_init (&it, l->hold->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_ep *he = v;

		if (he->ep->inv != NULL || he->ep->in_flight > 0)
			continue;
		g_hash_table_iter_remove (&it);
		hold_ep_free (he);
	}
	g_hash_table_iter_init (&it, l->hold->pools);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_pool *hp = v;

		if (!hp->pool->removed)
			continue;
		g_hash_table_iter_remove (&it);
		hp->pool->refs--;
		g_free (hp);
	}
	for (uint32_t i = 0; i < l->bb->inv->model_count; i++)
		add_pool (l, l->bb->models[i]);
	for (uint32_t i = 0; i < l->bb->groups->len; i++)
		add_pool (l, g_ptr_array_index (l->bb->groups, i));
}

/* Spread what waits for a pool over a few of its endpoints, others each time:
 * asking for every request at every endpoint would take credits that no
 * request uses. */
static void
spread_pool (struct lease_hold *h, struct hold_pool *hp, uint64_t now_ms)
{
	const struct bb_pool *p = hp->pool;

	for (uint32_t i = 0; i < p->ep_count; i++) {
		struct bb_ep *ep = p->eps[(hp->start + i) % p->ep_count];
		struct hold_ep *he = g_hash_table_lookup (h->eps, ep);

		for (uint32_t t = 0; t < INV_TIERS && bb_ep_available (ep);
		     t++) {
			uint32_t n = (hp->waiting[t] + p->ep_count - 1) /
				     p->ep_count;

			if (hp->waiting[t] == 0)
				continue;
			if (he->tier == 0 || t + 1 < he->tier)
				he->tier = (uint8_t)(t + 1);
			if (i >= hp->waiting[t] * SPREAD)
				continue;
			he->busy_ms = now_ms;
			he->want[t] = (uint8_t)MIN (he->want[t] + n, UINT8_MAX);
		}
	}
}

static void
spread_all (struct lease_hold *h, bool turn, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, h->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_ep *he = v;

		he->tier = 0;
		memset (he->want, 0, sizeof he->want);
	}
	g_hash_table_iter_init (&it, h->pools);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_pool *hp = v;

		hp->start += turn;
		memcpy (hp->told, hp->waiting, sizeof hp->told);
		spread_pool (h, hp, now_ms);
	}
}

static void
temp_told (struct hold_ep *he)
{
	he->told_cold_ms = he->ep->last_cold_ms;
	he->told_proven_ms = he->ep->cold_end_ms;
	he->told_answers = he->ep->cold_answers;
}

void
lease_hold_fill (struct hold_ep *he, struct bb_peer *peer, uint64_t now_ms,
		 struct lease_want *w)
{
	struct hold_by *by = lease_hold_by (he, peer);
	const struct bb_ep *ep = he->ep;

	*w = (struct lease_want){0};
	g_strlcpy (w->ep, ep->name, sizeof w->ep);
	w->used = (uint16_t)by->used;
	w->other = (uint16_t)(ep->in_flight - by->used);
	memcpy (w->want, he->want, sizeof w->want);
	w->tier = he->tier;
	memcpy (by->told, he->want, sizeof by->told);
	by->told_tier = he->tier;
	w->returned = by->returned;
	w->applied = by->applied;
	w->proven_ms = ep->cold_end_ms == 0
			       ? 0
			       : (uint32_t)MAX (now_ms - ep->cold_end_ms, 1);
	w->cold_ms = ep->last_cold_ms == 0
			     ? 0
			     : (uint32_t)MAX (now_ms - ep->last_cold_ms, 1);
	w->answers = (uint16_t)MIN (ep->cold_answers, UINT16_MAX);
	temp_told (he);
	by->dirty = false;
}

/* Give back unused credits, where another entry needs them more. */
static bool
give_back (struct lease_hold *h, const struct hold_ep *he, struct hold_by *by,
	   uint64_t now_ms)
{
	uint32_t n = unused (by, now_ms);

	if (by->recall == 0 || by->tier == 0 || n == 0 ||
	    (he->tier != 0 && he->tier < by->tier))
		return false;
	n = MIN (n, by->recall);
	by->returned += n;
	by->recall = (uint16_t)(by->recall - n);
	by->dirty = true;
	h->dirty = true;
	return true;
}

/* Mark what is to be told at once: endpoints that other tiers want now, or
 * another number of requests. */
static void
mark_changed (struct lease_hold *h, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, h->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_ep *he = v;

		for (uint32_t i = 0; i < he->by->len; i++) {
			struct hold_by *by = by_at (he, i);
			bool has = lease_hold_usable (by, now_ms) > 0;

			/* What waits here protects what runs here. */
			if (memcmp (by->told, he->want, sizeof by->told) != 0 ||
			    (by->told_tier != he->tier &&
			     (has || by->used > 0)))
				by->dirty = h->dirty = true;
		}
	}
	h->changed = false;
}

static bool
has_credit (const struct hold_ep *he, uint64_t now_ms)
{
	for (uint32_t i = 0; i < he->by->len; i++)
		if (lease_hold_usable (by_at (he, i), now_ms) > 0)
			return true;
	return false;
}

/* Credits kept for a first request: at a few endpoints of a pool that gave
 * some, of the own domain first.  While there are too few, or the pool is in
 * use and any of it may be the better choice, some others are asked, in turn.
 */
static void
keep_some (struct lease *l, const struct hold_pool *hp, uint64_t now_ms)
{
	const struct bb_pool *p = hp->pool;
	uint32_t left = KEEP;
	bool busy = false;

	if (p->ep_count == 0)
		return;
	for (uint32_t i = 0; i < 2 * p->ep_count && left > 0; i++) {
		struct bb_ep *ep = p->eps[(hp->home + i) % p->ep_count];
		struct hold_ep *he = g_hash_table_lookup (l->hold->eps, ep);
		bool own = l->bb->self != NULL &&
			   l->bb->self->domain == ep->domain;

		if (own != (i < p->ep_count) || !has_credit (he, now_ms))
			continue;
		he->keep = true;
		left--;
	}
	for (uint32_t i = 0; i < p->ep_count && !busy; i++) {
		struct hold_ep *he =
			g_hash_table_lookup (l->hold->eps, p->eps[i]);

		busy = now_ms < he->busy_ms + LEASE_BUSY_MS;
	}
	if (left == 0 && !busy)
		return;
	for (uint32_t i = 0; i < MIN (POLL, p->ep_count); i++) {
		struct bb_ep *ep = p->eps[(hp->start + i) % p->ep_count];
		struct hold_ep *he = g_hash_table_lookup (l->hold->eps, ep);

		he->poll = true;
	}
}

static void
keep_all (struct lease *l, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->hold->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_ep *he = v;

		he->keep = he->poll = false;
	}
	g_hash_table_iter_init (&it, l->hold->pools);
	while (g_hash_table_iter_next (&it, NULL, &v))
		keep_some (l, v, now_ms);
}

/* A new coordinator is to hear of us at once. */
static void
follow (struct lease *l, struct hold_ep *he)
{
	struct bb_peer *now = lease_coordinator (l, he->ep);

	if (now != he->coordinator && now != NULL)
		lease_hold_by (he, now)->dirty = true;
	he->coordinator = now;
}

static void
walk_all (struct lease *l, bool renew, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->hold->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct hold_ep *he = v;

		if (renew)
			follow (l, he);
		/* A coordinator that does not answer may be cut off. */
		if (he->asked_ms != 0 && now_ms > he->asked_ms + l->set.ttl_ms)
			he->split_until_ms = now_ms + SPLIT_MS;
		show (he, now_ms);
	}
}

void
lease_hold_tick (struct lease *l, bool walk, uint64_t now_ms)
{
	struct lease_hold *h = l->hold;
	bool renew = now_ms >= h->renew_due_ms;

	if (renew || (h->changed && now_ms >= h->change_due_ms)) {
		spread_all (h, renew, now_ms);
		mark_changed (h, now_ms);
		h->change_due_ms = now_ms + CHANGE_MS;
	}
	if (renew || walk)
		walk_all (l, renew, now_ms);
	if (renew)
		keep_all (l, now_ms);
	if (renew)
		h->renew_due_ms = now_ms + l->set.renew_ms;
	if (renew || h->dirty)
		lease_ask_all (l, renew, now_ms);
}

/* What others saw of the endpoint's warmth after we did; whether it is news. */
static bool
take_temp (struct bb_ep *ep, const struct lease_given *g, uint64_t asked_ms,
	   uint64_t now_ms)
{
	uint64_t cold = g->cold_ms == 0 ? 0 : now_ms - g->cold_ms;
	/* It lay somewhere since we asked, or not: the earliest it may be. */
	uint64_t proven = g->proven_ms == 0 ? 0 : asked_ms - g->proven_ms;
	uint64_t cold_was = ep->last_cold_ms;
	uint64_t proven_was = ep->cold_end_ms;

	/* What the coordinator has not heard of yet makes its proof void. */
	if (cold + LEASE_COLD_SLOP_MS < ep->last_cold_ms)
		return false;
	if (cold > ep->last_cold_ms + LEASE_COLD_SLOP_MS) {
		if (cold > ep->cold_end_ms)
			bb_ep_set_cold (ep, cold);
		else
			ep->last_cold_ms = cold;
	}
	if (ep->cold_end_ms == 0 && proven > ep->last_cold_ms)
		bb_ep_start_ramp (ep, proven);
	return ep->last_cold_ms != cold_was || ep->cold_end_ms != proven_was;
}

static void
take_given (struct lease *l, struct hold_ep *he, struct bb_peer *from,
	    const struct lease_grant *m, const struct lease_given *g,
	    uint64_t now_ms)
{
	struct hold_by *by = lease_hold_by (he, from);

	if (m->number <= by->applied)
		return;
	if (g->state != LEASE_FULL &&
	    (g->state != LEASE_NOT_MINE || from == he->coordinator))
		he->split_until_ms = now_ms + SPLIT_MS;
	/* What we have from it runs out by itself. */
	if (g->state == LEASE_NOT_MINE || g->state == LEASE_WAITING)
		return;
	by->applied = m->number;
	by->credits = g->credits;
	by->known = g->returned;
	by->until_ms = m->sent_ms + m->ttl_ms - l->set.margin_ms;
	by->until_ms -= MIN (by->until_ms, g->late_ms);
	by->tier = g->tier;
	by->recall = g->recall;
	he->asked_ms = 0;
	if (take_temp (he->ep, g, m->sent_ms, now_ms))
		temp_told (he);
	give_back (l->hold, he, by, now_ms);
	show (he, now_ms);
}

void
lease_on_grant (struct lease *l, struct bb_peer *from,
		const struct lease_grant *m, uint64_t now_ms)
{
	const struct lease_given *g = m->given.items;

	if (m->holder != l->incarnation || m->ttl_ms < l->set.margin_ms ||
	    m->ttl_ms > l->set.ttl_ms || m->sent_ms > now_ms)
		return;
	for (uint32_t i = 0; i < m->given.count; i++) {
		struct bb_ep *ep = bb_ep_find (l->bb, g[i].ep);
		struct hold_ep *he =
			ep == NULL ? NULL
				   : g_hash_table_lookup (l->hold->eps, ep);

		if (he != NULL)
			take_given (l, he, from, m, &g[i], now_ms);
	}
	if (!l->busy && l->hold->dirty)
		lease_ask_all (l, false, now_ms);
}

void
lease_pressure (struct lease *l, const struct bb_pool *pool,
		const struct adm_backlog *p, uint64_t now_ms)
{
	struct hold_pool *hp = g_hash_table_lookup (l->hold->pools, pool);
	bool changed = false;
	bool above = false; /* something of a higher tier waits */

	(void)now_ms;
	if (hp == NULL)
		return;
	for (int t = 0; t < INV_TIERS; t++) {
		uint32_t is = p->waiting[t];
		uint32_t was = hp->told[t];

		/* Another highest tier is news at once, and so is twice as
		 * much of it. */
		if ((is > 0) != (was > 0) || (!above && (is > 2 * was)))
			changed = changed || !above;
		above = above || is > 0 || was > 0;
		hp->waiting[t] = is;
	}
	if (changed)
		l->hold->changed = true;
}

bool
lease_take (struct lease *l, struct bb_ep *ep, struct lease_slot *slot,
	    uint64_t now_ms)
{
	struct hold_ep *he = g_hash_table_lookup (l->hold->eps, ep);

	*slot = (struct lease_slot){0};
	if (he == NULL || ep->inv == NULL)
		return false;
	for (uint32_t i = 0; i < he->by->len; i++) {
		struct hold_by *by = by_at (he, i);

		if (unused (by, now_ms) == 0)
			continue;
		by->used++;
		he->busy_ms = now_ms;
		bb_ep_sent (ep, now_ms);
		show (he, now_ms);
		*slot = (struct lease_slot){.ep = ep, .by = by->peer};
		return true;
	}
	return false;
}

void
lease_cold (struct lease *l, struct bb_ep *ep, uint64_t now_ms)
{
	struct hold_ep *he = g_hash_table_lookup (l->hold->eps, ep);

	if (he == NULL)
		return;
	for (uint32_t i = 0; i < he->by->len; i++) {
		struct hold_by *by = by_at (he, i);

		by->returned += unused (by, now_ms);
		by->dirty = l->hold->dirty = true;
	}
	show (he, now_ms);
}

void
lease_give (struct lease *l, struct lease_slot *slot, uint64_t now_ms)
{
	struct hold_ep *he = g_hash_table_lookup (l->hold->eps, slot->ep);
	struct hold_by *by = lease_hold_by (he, slot->by);
	bool back;

	by->used--;
	bb_ep_done (slot->ep, now_ms);
	back = give_back (l->hold, he, by, now_ms);
	show (he, now_ms);
	if (back && !l->busy)
		lease_ask_changed (l, slot->by, now_ms);
	*slot = (struct lease_slot){0};
}
