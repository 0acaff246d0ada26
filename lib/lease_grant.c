/*
 * How a coordinator shares out an endpoint's credits among holders: to the
 * highest tier that waits, wherever it waits, and what is over evenly.
 */
#include <string.h>

#include "lease_priv.h"

#define HINT_MS 50      /* in which a holder answers a hint */
#define DRIFT_PERCENT 2 /* most that two clocks run apart */

static struct coord_holder *
holder_at (const struct coord_ep *ce, uint32_t i)
{
	return &g_array_index (ce->holders, struct coord_holder, i);
}

static struct coord_holder *
holder_get (struct coord_ep *ce, struct coord_peer *p)
{
	struct coord_holder h = {.peer = p};

	for (uint32_t i = 0; i < ce->holders->len; i++)
		if (holder_at (ce, i)->peer == p)
			return holder_at (ce, i);
	g_array_append_val (ce->holders, h);
	return holder_at (ce, ce->holders->len - 1);
}

static struct coord_peer *
peer_get (struct lease *l, struct bb_peer *bb)
{
	struct coord_peer *p = g_hash_table_lookup (l->coord->peers, bb);

	if (p == NULL) {
		p = g_new0 (struct coord_peer, 1);
		p->bb = bb;
		/* Grants of a later start have larger numbers. */
		p->number = l->incarnation;
		bb->refs++;
		g_hash_table_insert (l->coord->peers, bb, p);
	}
	return p;
}

/* Credits that @h could use for what runs and for what waits at @tier or
 * above. */
static uint32_t
need (const struct coord_holder *h, uint32_t tier)
{
	uint32_t n = h->used;

	for (uint32_t t = 0; t < tier; t++)
		n += h->want[t];
	return n;
}

/* Of these, the ones it lacks. */
static uint32_t
unmet (const struct coord_holder *h, uint32_t tier)
{
	uint32_t has = MAX (h->credits, h->used);
	uint32_t n = need (h, tier);

	return n > has ? n - has : 0;
}

/* Credits that the others lack for @tier or above. */
static uint32_t
unmet_others (const struct coord_ep *ce, const struct coord_holder *h,
	      uint32_t tier)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ce->holders->len; i++)
		if (holder_at (ce, i) != h)
			sum += unmet (holder_at (ce, i), tier);
	return sum;
}

/* The part of the bound that is @h's among those that need it for @tier or
 * above. */
static uint32_t
fair_part (const struct coord_ep *ce, const struct coord_holder *h,
	   uint32_t tier, uint32_t bound)
{
	uint64_t all = 0;

	for (uint32_t i = 0; i < ce->holders->len; i++)
		all += need (holder_at (ce, i), tier);
	if (all <= bound)
		return bound;
	return (uint32_t)MAX (bound * (uint64_t)need (h, tier) / all, 1);
}

/* What is left of the bound for @h's credits when all others keep what they
 * have, and @h what it runs under other credits. */
static uint32_t
left_for (const struct coord_ep *ce, const struct coord_holder *h,
	  uint32_t bound, bool all)
{
	uint32_t others = h != NULL && all ? h->other : 0;

	for (uint32_t i = 0; i < ce->holders->len; i++)
		if (holder_at (ce, i) != h)
			others += lease_coord_count (holder_at (ce, i), all);
	return bound > others ? bound - others : 0;
}

/* What @h gets: what it needs, but nothing that another lacks for a higher
 * tier, and no more than a fair part of what others lack for an equal one.  In
 * quiet times an even part in advance, so that a first request need not wait
 * for a grant. */
static uint32_t
decide (const struct coord_ep *ce, const struct coord_holder *h, uint32_t bound,
	bool all)
{
	uint32_t left = left_for (ce, h, bound, all);
	uint32_t get = MIN (h->used, left);
	uint32_t even = bound / MAX (ce->holders->len, 1);

	for (uint32_t t = 1; t <= INV_TIERS; t++) {
		uint32_t above = unmet_others (ce, h, t - 1);
		uint32_t room = left > get + above ? left - get - above : 0;
		uint32_t add = MIN (h->want[t - 1], room);

		if (add > 0 && unmet_others (ce, h, t) > above) {
			uint32_t fair = fair_part (ce, h, t, bound);

			add = fair > get ? MIN (add, fair - get) : 0;
		}
		get += add;
	}
	if (unmet_others (ce, h, INV_TIERS) > 0)
		return get;
	return MAX (get, MIN (MAX (even, 1), left));
}

/* What @h is to give back when it can: for a higher tier than waits there, or,
 * above its fair part, for an equal one.  @tier is the one it is for. */
static uint16_t
recall (const struct coord_ep *ce, const struct coord_holder *h, uint32_t bound,
	uint8_t *tier)
{
	uint32_t own = h->tier == 0 ? INV_TIERS + 1U : h->tier;
	uint32_t has = MAX (h->credits, h->used);
	uint32_t fair;
	uint32_t t = 1;

	while (t <= INV_TIERS && unmet_others (ce, h, t) == 0)
		t++;
	*tier = t <= own && t <= INV_TIERS ? (uint8_t)t : 0;
	if (*tier == 0)
		return 0;
	if (t < own)
		return (uint16_t)MIN (unmet_others (ce, h, own - 1), has);
	fair = fair_part (ce, h, t, bound);
	if (h->used <= fair)
		*tier = 0;
	return h->used > fair ? (uint16_t)(h->used - fair) : 0;
}

static void
set_credits (struct coord_holder *h, uint32_t credits, uint64_t ttl_ms)
{
	if (credits != h->credits) {
		h->credits_old = MAX (h->credits_old, h->credits);
		h->credits = credits;
		h->number = h->peer->number + 1;
	}
	if (credits > 0)
		h->until_ms = h->peer->renew_ms + ttl_ms;
	h->dirty = true;
	h->peer->dirty = true;
}

/* Whether a grant to @h still has time to be used. */
static bool
reachable (const struct lease *l, const struct coord_holder *h, uint64_t now_ms)
{
	return h->peer->asked_ms != 0 &&
	       now_ms + 2 * l->set.margin_ms <
		       h->peer->asked_ms + l->set.ttl_ms;
}

/* Of the holders that lack credits for @tier or above and can be told in time,
 * the one with most need for each credit it would have: so they come to share
 * in proportion to their needs, and none is left without. */
static struct coord_holder *
neediest (const struct lease *l, const struct coord_ep *ce, uint32_t tier,
	  uint64_t now_ms)
{
	struct coord_holder *best = NULL;
	double most = 0;

	for (uint32_t i = 0; i < ce->holders->len; i++) {
		struct coord_holder *h = holder_at (ce, i);
		double has = MAX (h->credits, h->used);
		/* Infinite for those that have none: they go first. */
		double for_each = need (h, tier) / has;

		if (unmet (h, tier) == 0 || !reachable (l, h, now_ms) ||
		    for_each <= most)
			continue;
		most = for_each;
		best = h;
	}
	return best;
}

/* Give free credits to those that lack them, highest tier first. */
static void
hand_out (struct lease *l, struct coord_ep *ce, uint64_t now_ms)
{
	uint32_t bound;
	bool all = lease_coord_state (l, ce, now_ms, &bound) == LEASE_FULL;
	uint32_t left =
		bb_ep_available (ce->ep) ? left_for (ce, NULL, bound, all) : 0;

	for (uint32_t t = 1; t <= INV_TIERS; t++) {
		struct coord_holder *h;

		while (left > 0 && (h = neediest (l, ce, t, now_ms)) != NULL) {
			/* Up to what it counts for already takes none. */
			left -= h->credits + 1 > lease_coord_count (h, false);
			set_credits (h, h->credits + 1, l->set.ttl_ms);
		}
	}
}

/* Whether @h is to hear that a higher tier waits elsewhere than it knows.
 * News of a lower one can wait for a renewal. */
static bool
is_hint (const struct coord_ep *ce, const struct coord_holder *h,
	 uint32_t bound)
{
	uint8_t tier;

	return recall (ce, h, bound, &tier) > 0 &&
	       (h->hinted == 0 || tier < h->hinted);
}

/* Credits that @h gives back at once when told, as far as we know. */
static uint32_t
spare (const struct coord_holder *h)
{
	return h->credits > h->used ? h->credits - h->used : 0;
}

static void
hint_one (struct coord_holder *h, uint64_t now_ms)
{
	h->dirty = true;
	h->peer->dirty = true;
	h->hinted_ms = now_ms;
}

/* Tell holders at once when a higher tier starts to wait elsewhere: a credit
 * they would use again is to come back.  Where a few have enough unused ones,
 * the others need not give up theirs.  What we know of them is old, so twice
 * as many are told as it takes, and who has not answered soon does not count.
 */
static void
hint (struct lease *l, struct coord_ep *ce, uint64_t now_ms)
{
	uint32_t left = 2 * unmet_others (ce, NULL, INV_TIERS);
	uint32_t bound;

	lease_coord_state (l, ce, now_ms, &bound);
	for (uint32_t i = 0; i < ce->holders->len && left > 0; i++) {
		struct coord_holder *h = holder_at (ce, i);
		bool told = now_ms < h->hinted_ms + HINT_MS;

		if (spare (h) == 0 || (!told && !is_hint (ce, h, bound)))
			continue;
		left -= MIN (left, spare (h));
		if (!told)
			hint_one (h, now_ms);
	}
	for (uint32_t i = 0; i < ce->holders->len && left > 0; i++)
		if (is_hint (ce, holder_at (ce, i), bound))
			hint_one (holder_at (ce, i), now_ms);
}

void
lease_grant_shrink (struct lease *l, struct coord_ep *ce, uint32_t bound,
		    uint64_t now_ms)
{
	uint32_t left = bound;

	for (uint32_t i = 0; i < ce->holders->len; i++) {
		struct coord_holder *h = holder_at (ce, i);
		uint32_t keep = MIN (h->credits, left);

		left -= keep;
		if (keep < h->credits && reachable (l, h, now_ms))
			set_credits (h, keep, l->set.ttl_ms);
	}
}

/* News of credits is no renewal: what was granted on an earlier ask than the
 * latest ends as it would have, as our accounts have it. */
static uint32_t
late_ms (const struct lease *l, const struct coord_holder *h)
{
	uint64_t until = h->peer->renew_ms + l->set.ttl_ms;

	return h->credits > 0 && until > h->until_ms
		       ? (uint32_t)MIN (until - h->until_ms, UINT32_MAX)
		       : 0;
}

static void
fill_given (struct lease *l, struct coord_ep *ce, struct coord_holder *h,
	    uint64_t now_ms, struct lease_given *g)
{
	uint32_t bound;
	enum lease_state state = lease_coord_state (l, ce, now_ms, &bound);

	*g = (struct lease_given){0};
	g_strlcpy (g->ep, ce->ep->name, sizeof g->ep);
	g->state = (uint8_t)state;
	g->credits = (uint16_t)h->credits;
	g->returned = h->returned;
	g->cold_ms =
		ce->cold_ms == 0 ? 0 : (uint32_t)MAX (now_ms - ce->cold_ms, 1);
	g->proven_ms = ce->proven_ms == 0
			       ? 0
			       : (uint32_t)MAX (now_ms - ce->proven_ms, 1);
	g->late_ms = late_ms (l, h);
	g->recall = recall (ce, h, bound, &g->tier);
	h->hinted = g->tier;
	h->dirty = false;
}

static void
send_grant (struct lease *l, struct coord_peer *p, uint64_t now_ms)
{
	GArray *items = g_array_new (FALSE, TRUE, sizeof (struct lease_given));
	struct lease_grant m = {.holder = p->incarnation,
				.number = ++p->number,
				.sent_ms = p->renew_ms,
				.ttl_ms = l->set.ttl_ms};
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct coord_ep *ce = v;

		for (uint32_t i = 0; i < ce->holders->len; i++) {
			struct coord_holder *h = holder_at (ce, i);
			struct lease_given g;

			if (h->peer != p || !h->dirty ||
			    items->len >= LEASE_ITEMS_MAX)
				continue;
			fill_given (l, ce, h, now_ms, &g);
			g_array_append_val (items, g);
		}
	}
	p->dirty = false;
	m.given = (struct msg_list){items->data, items->len};
	if (p->bb == l->bb->self)
		lease_on_grant (l, p->bb, &m, now_ms);
	else
		l->ops->grant (p->bb, &m, l->ctx);
	g_array_free (items, TRUE);
}

void
lease_grant_flush (struct lease *l, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	l->busy = true;
	g_hash_table_iter_init (&it, l->coord->peers);
	while (g_hash_table_iter_next (&it, NULL, &v))
		if (((struct coord_peer *)v)->dirty)
			send_grant (l, v, now_ms);
	l->busy = false;
}

/* A holder started anew: nothing of the process before is in flight. */
static void
peer_reset (struct lease *l, struct coord_peer *p)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct coord_ep *ce = v;

		for (uint32_t i = ce->holders->len; i-- > 0;)
			if (holder_at (ce, i)->peer == p)
				g_array_remove_index_fast (ce->holders, i);
	}
	p->sent_ms = 0;
	p->offset_at_ms = 0;
	p->renew_ms = 0;
	p->asked_ms = 0;
}

/* A renewing ask names all that its sender has: what it leaves out, it has
 * nothing of. */
static void
zero_unnamed (struct lease *l, struct coord_peer *p, GPtrArray *named,
	      uint64_t sent_ms, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct coord_ep *ce = v;

		if (g_ptr_array_find (named, ce, NULL))
			continue;
		for (uint32_t i = 0; i < ce->holders->len; i++) {
			struct coord_holder *h = holder_at (ce, i);
			struct lease_want none = {.returned = h->returned};
			uint32_t answers = h->answers;

			if (h->peer != p)
				continue;
			lease_coord_report (l, ce, h, &none, sent_ms, now_ms);
			/* Of its warmth it said nothing. */
			h->answers = answers;
		}
	}
}

static void
renew (struct lease *l, struct coord_ep *ce, struct coord_peer *p,
       uint64_t now_ms)
{
	struct coord_holder *h = holder_get (ce, p);
	uint32_t bound;
	enum lease_state state = lease_coord_state (l, ce, now_ms, &bound);
	uint32_t get = decide (ce, h, bound, state == LEASE_FULL);

	/* What it has from before runs out by itself. */
	if (state == LEASE_NOT_MINE || state == LEASE_WAITING) {
		h->dirty = true;
		p->dirty = true;
		return;
	}
	if (!bb_ep_available (ce->ep))
		get = 0;
	set_credits (h, get, l->set.ttl_ms);
}

static void
take_in (struct lease *l, struct coord_peer *p, const struct lease_ask *m,
	 GPtrArray *named, uint64_t now_ms)
{
	const struct lease_want *w = m->wants.items;

	for (uint32_t i = 0; i < m->wants.count; i++) {
		struct bb_ep *ep = bb_ep_find (l->bb, w[i].ep);
		struct coord_ep *ce =
			ep == NULL ? NULL
				   : g_hash_table_lookup (l->coord->eps, ep);

		if (ce == NULL || g_ptr_array_find (named, ce, NULL))
			continue;
		lease_coord_report (l, ce, holder_get (ce, p), &w[i],
				    m->sent_ms, now_ms);
		g_ptr_array_add (named, ce);
	}
}

/* How long a message lay somewhere, in our own queue while we stood still for
 * one: by the least difference of the clocks seen, which may drift. */
static void
measure_delay (struct coord_peer *p, uint64_t sent_ms, uint64_t now_ms)
{
	int64_t offset = (int64_t)(now_ms - sent_ms);
	int64_t least = p->offset_ms + (int64_t)(now_ms - p->offset_at_ms) *
					       DRIFT_PERCENT / 100;

	if (p->offset_at_ms == 0 || offset < least)
		least = offset;
	p->offset_ms = least;
	p->offset_at_ms = now_ms;
	p->delay_ms = (uint64_t)(offset - least);
}

void
lease_on_ask (struct lease *l, struct bb_peer *from, const struct lease_ask *m,
	      uint64_t now_ms)
{
	struct coord_peer *p = peer_get (l, from);
	GPtrArray *named;

	if (m->incarnation < p->incarnation ||
	    (m->incarnation == p->incarnation && m->sent_ms < p->sent_ms))
		return;
	if (m->incarnation > p->incarnation)
		peer_reset (l, p);
	p->incarnation = m->incarnation;
	p->sent_ms = m->sent_ms;
	p->gone_ms = 0;
	measure_delay (p, m->sent_ms, now_ms);
	named = g_ptr_array_new ();
	take_in (l, p, m, named, now_ms);
	if (m->renew) {
		p->renew_ms = m->sent_ms;
		p->asked_ms = now_ms;
		zero_unnamed (l, p, named, m->sent_ms, now_ms);
		for (uint32_t i = 0; i < named->len; i++)
			renew (l, g_ptr_array_index (named, i), p, now_ms);
	}
	for (uint32_t i = 0; i < named->len; i++) {
		hand_out (l, g_ptr_array_index (named, i), now_ms);
		hint (l, g_ptr_array_index (named, i), now_ms);
	}
	g_ptr_array_free (named, TRUE);
	lease_grant_flush (l, now_ms);
}

void
lease_gone (struct lease *l, struct bb_peer *peer, uint64_t now_ms)
{
	struct coord_peer *p = peer_get (l, peer);

	peer_reset (l, p);
	p->gone_ms = now_ms;
}
