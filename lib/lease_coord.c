/*
 * The coordinator's accounts of one endpoint: its bound now, and what each
 * holder may have in flight or start under it.
 */
#include <string.h>

#include "lease_priv.h"

#define SETTLE_MS 15000 /* a changed inventory reaches all entries */
/* What silent holders had in flight at a warm endpoint is counted so long. */
#define WARM_LIFE_MS 10000

struct lease_coord *
lease_coord_new (void)
{
	struct lease_coord *c = g_new0 (struct lease_coord, 1);

	/* By name, the first member of a record: the order in which a table
	 * is walked must not depend on addresses. */
	c->eps = g_hash_table_new (g_str_hash, NULL);
	c->peers = g_hash_table_new (g_str_hash, NULL);
	return c;
}

static void
ep_free (struct coord_ep *ce)
{
	ce->ep->refs--;
	g_array_free (ce->holders, TRUE);
	g_free (ce);
}

void
lease_coord_free (struct lease_coord *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, c->eps);
	while (g_hash_table_iter_next (&it, NULL, &v))
		ep_free (v);
	g_hash_table_iter_init (&it, c->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		((struct coord_peer *)v)->bb->refs--;
		g_free (v);
	}
	g_hash_table_destroy (c->eps);
	g_hash_table_destroy (c->peers);
	g_free (c);
}

static void
ep_add (struct lease *l, struct bb_ep *ep)
{
	struct coord_ep *ce;

	if (g_hash_table_contains (l->coord->eps, ep))
		return;
	ce = g_new0 (struct coord_ep, 1);
	ce->ep = ep;
	ep->refs++;
	/* What this entry promised before it started is not known. */
	ce->other_ms = l->started_ms;
	ce->other_slot = -1;
	ce->unknown = UINT32_MAX;
	ce->holders = g_array_new (FALSE, TRUE, sizeof (struct coord_holder));
	g_hash_table_insert (l->coord->eps, ep, ce);
}

void
lease_coord_remap (struct lease *l, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	(void)now_ms;
	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct coord_ep *ce = v;

		if (ce->ep->inv != NULL &&
		    lease_elect_of (l, ce->ep) == l->elect->own)
			continue;
		g_hash_table_iter_remove (&it);
		ep_free (ce);
	}
	for (uint32_t i = 0; i < l->bb->inv->endpoint_count; i++)
		if (l->elect->own != NULL &&
		    lease_elect_of (l, l->bb->eps[i]) == l->elect->own)
			ep_add (l, l->bb->eps[i]);
}

uint32_t
lease_coord_count (const struct coord_holder *h, bool all)
{
	uint32_t ours = MAX (h->used, MAX (h->credits, h->credits_old));

	/* What runs under other credits comes on top of ours. */
	return ours + (all ? h->other : 0);
}

/* The whole bound: the cold one until enough answers came, then a ramp. */
static uint32_t
whole_bound (const struct lease *l, const struct coord_ep *ce, uint64_t now_ms)
{
	const struct inv_endpoint *ie = ce->ep->inv;
	uint64_t ramp_ms = l->bb->inv->settings.cold_ramp_s * 1000ULL;
	uint64_t age = now_ms - ce->proven_ms;
	uint32_t rise;

	if (ie == NULL)
		return 0;
	if (ce->proven_ms == 0 || ie->warm_bound <= ie->cold_bound)
		return ie->cold_bound;
	rise = ie->warm_bound - ie->cold_bound;
	if (age >= ramp_ms)
		return ie->warm_bound;
	return ie->cold_bound + (uint32_t)(rise * age / ramp_ms);
}

/* How long requests are taken to live that nobody tells us of.  The cold bound
 * must hold, so there it is their longest life.  A warm endpoint can bear some
 * more for a while; else those that a cut left without credits would wait for
 * requests that end long before their time. */
static uint64_t
life_ms (const struct lease *l, const struct coord_ep *ce)
{
	return ce->proven_ms == 0 ? l->set.life_ms
				  : MIN (l->set.life_ms, WARM_LIFE_MS);
}

/* Time after our last promise to another until nobody relies on it and no
 * lease granted on it is left. */
static uint64_t
promise_ms (const struct lease *l)
{
	return l->set.contact_ms + l->set.ttl_ms + l->set.margin_ms;
}

/* In flight at the endpoint by its own report, sampled when all leases of the
 * time before @since had run out; UINT32_MAX: no such report. */
static uint32_t
running_since (const struct coord_ep *ce, uint64_t since_ms)
{
	const struct bb_load *load = &ce->ep->load;

	return load->sampled_ms > since_ms ? load->running + load->waiting
					   : UINT32_MAX;
}

/* Whether all requests in flight are in our accounts: every entry has told
 * us, or ended, or nothing from before can live any more. */
static bool
all_known (const struct lease *l, const struct coord_ep *ce, uint64_t now_ms)
{
	uint64_t since = ce->agreed_since_ms;

	if (now_ms >= since + life_ms (l, ce) + l->set.ttl_ms)
		return true;
	for (uint32_t i = 0; i < l->bb->inv->entry_count; i++) {
		const struct coord_peer *p =
			g_hash_table_lookup (l->coord->peers, l->bb->peers[i]);

		if (p == NULL || (p->gone_ms == 0 && p->asked_ms <= since))
			return false;
	}
	return true;
}

/* Whether no request of the time before can be in the way of our slice.
 * What another coordinator's holders still run it has in its own accounts, if
 * it lives on across a cut: once that is no more than its slice, ours is
 * free. */
static bool
slice_clear (const struct lease *l, const struct coord_ep *ce, uint64_t now_ms)
{
	uint64_t since = ce->other_ms + promise_ms (l);
	uint32_t theirs = 0;

	if (now_ms < since)
		return false;
	if (ce->led || now_ms >= since + life_ms (l, ce))
		return true;
	/* Plain services report no load; serving goes first with them. */
	if (ce->ep->inv->kind == INV_SERVICE)
		return true;
	if (ce->other_slot >= 0 && ce->other_ready)
		theirs = lease_elect_slice (l, (uint32_t)ce->other_slot,
					    ce->ep->inv->cold_bound);
	return running_since (ce, since) <= theirs;
}

/* Follow who agrees that we coordinate the endpoint.  A promise holds for its
 * time even where its sender has changed its mind since. */
static void
follow (struct lease *l, struct coord_ep *ce, uint64_t now_ms)
{
	uint64_t until = lease_elect_agreed (l, ce->ep, now_ms);
	uint32_t running;

	if (now_ms >= ce->agreed_until_ms) {
		ce->agreed_since_ms = until == 0 ? 0 : now_ms;
		ce->known = false;
		ce->unknown = UINT32_MAX;
	}
	ce->agreed_until_ms = MAX (ce->agreed_until_ms, until);
	if (ce->known || now_ms >= ce->agreed_until_ms)
		return;
	ce->known = all_known (l, ce, now_ms);
	running = running_since (ce, ce->agreed_since_ms + l->set.ttl_ms +
					     l->set.margin_ms);
	ce->unknown = ce->known ? 0 : MIN (ce->unknown, running);
}

static bool
whole_ready (const struct lease *l, const struct coord_ep *ce, uint64_t now_ms)
{
	return now_ms < ce->agreed_until_ms &&
	       now_ms >= ce->other_ms + promise_ms (l) &&
	       now_ms >= ce->agreed_since_ms + l->set.ttl_ms + l->set.margin_ms;
}

/* In flight from our holders under credits of others, also from before. */
static uint32_t
others (const struct coord_ep *ce)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ce->holders->len; i++)
		sum += g_array_index (ce->holders, struct coord_holder, i)
			       .other;
	return sum;
}

enum lease_state
lease_coord_state (const struct lease *l, struct coord_ep *ce, uint64_t now_ms,
		   uint32_t *bound)
{
	const struct lease_elect *el = l->elect;
	uint32_t whole = whole_bound (l, ce, now_ms);
	bool ours;

	*bound = 0;
	if (el->own == NULL || ce->ep->inv == NULL)
		return LEASE_NOT_MINE;
	if (whole_ready (l, ce, now_ms) && ce->unknown < whole) {
		*bound = whole - ce->unknown;
		return LEASE_FULL;
	}
	if (l->bb->leaving)
		return LEASE_NOT_MINE;
	ours = lease_elect_slot (el->own, el->live, ce->ep) ==
	       (int32_t)el->self;
	if (!ours && lease_elect_hears_all (l, now_ms))
		return LEASE_NOT_MINE;
	if ((el->changed_ms != 0 && now_ms < el->changed_ms + SETTLE_MS) ||
	    !slice_clear (l, ce, now_ms))
		return LEASE_WAITING;
	*bound = MIN (lease_elect_slice (l, el->self, whole),
		      whole - MIN (whole, others (ce)));
	return LEASE_SLICE;
}

bool
lease_coord_ready (const struct lease *l)
{
	const struct lease_elect *el = l->elect;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		const struct coord_ep *ce = v;

		if (!ce->led && lease_elect_slot (el->own, el->live, ce->ep) ==
					(int32_t)el->self)
			return false;
	}
	return true;
}

/* When beats went out: remember to whom they promised the endpoint. */
static void
promised (struct lease *l, struct coord_ep *ce, uint64_t now_ms)
{
	const struct lease_elect *el = l->elect;
	int32_t slot;

	if (!lease_elect_hears_all (l, now_ms))
		return;
	slot = lease_elect_slot (el->own, el->live, ce->ep);
	if (slot == (int32_t)el->self)
		return;
	ce->other_ms = now_ms;
	ce->other_slot = slot;
	ce->other_ready = el->seen[slot].ready;
	ce->led = false;
}

/* A holder that has not asked for longer than its requests can live. */
static void
forget_silent (const struct lease *l, struct coord_ep *ce, uint64_t now_ms)
{
	for (uint32_t i = ce->holders->len; i-- > 0;) {
		struct coord_holder *h =
			&g_array_index (ce->holders, struct coord_holder, i);
		uint64_t last = MAX (h->peer->asked_ms, l->started_ms);

		if (now_ms >= last + l->set.ttl_ms) {
			memset (h->want, 0, sizeof h->want);
			h->tier = 0;
		}
		if (now_ms >= last + l->set.ttl_ms + life_ms (l, ce))
			g_array_remove_index_fast (ce->holders, i);
	}
}

void
lease_coord_tick (struct lease *l, bool beats, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;
	uint32_t bound;

	g_hash_table_iter_init (&it, l->coord->eps);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct coord_ep *ce = v;
		enum lease_state state;

		if (beats)
			promised (l, ce, now_ms);
		follow (l, ce, now_ms);
		forget_silent (l, ce, now_ms);
		state = lease_coord_state (l, ce, now_ms, &bound);
		if (state == LEASE_FULL && ce->known)
			ce->led = true;
		/* It turned cold.  Where only our part has changed, leases
		 * run out by themselves before anybody else's begin. */
		if (state == ce->state && bound < ce->bound)
			lease_grant_shrink (l, ce, bound, now_ms);
		ce->bound = bound;
		ce->state = state;
	}
	lease_grant_flush (l, now_ms);
}

static void
turn_cold (struct coord_ep *ce, uint64_t at_ms)
{
	ce->cold_ms = at_ms;
	ce->proven_ms = 0;
	for (uint32_t i = 0; i < ce->holders->len; i++)
		g_array_index (ce->holders, struct coord_holder, i).answers = 0;
}

/* Whole answers since it was cold, to all holders. */
static uint32_t
answers (const struct coord_ep *ce)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < ce->holders->len; i++)
		sum += g_array_index (ce->holders, struct coord_holder, i)
			       .answers;
	return sum;
}

/* What the holder saw of the endpoint's warmth.  The times are ages when it
 * said so, so that clocks need not agree. */
static void
report_temp (const struct lease *l, struct coord_ep *ce, struct coord_holder *h,
	     const struct lease_want *w, uint64_t now_ms)
{
	uint64_t then_ms = now_ms - h->peer->delay_ms;
	uint64_t cold = w->cold_ms == 0 ? 0 : then_ms - w->cold_ms;
	uint64_t proven = w->proven_ms == 0 ? 0 : then_ms - w->proven_ms;
	bool stale;

	if (cold > ce->cold_ms + LEASE_COLD_SLOP_MS)
		turn_cold (ce, cold);
	/* One that has not heard of it counts answers of before, and may take
	 * them for a proof. */
	stale = cold + LEASE_COLD_SLOP_MS < ce->cold_ms;
	h->answers = stale ? 0 : w->answers;
	if (!stale && proven > ce->cold_ms &&
	    (ce->proven_ms == 0 || proven < ce->proven_ms))
		ce->proven_ms = proven;
	if (ce->proven_ms == 0 &&
	    answers (ce) >= l->bb->inv->settings.cold_answers)
		ce->proven_ms = now_ms;
}

void
lease_coord_report (const struct lease *l, struct coord_ep *ce,
		    struct coord_holder *h, const struct lease_want *w,
		    uint64_t sent_ms, uint64_t now_ms)
{
	if (w->returned > h->returned) {
		uint32_t back = w->returned - h->returned;

		h->credits -= MIN (h->credits, back);
		h->credits_old -= MIN (h->credits_old, back);
		h->returned = w->returned;
	}
	/* It has taken in the latest change: no earlier grant counts. */
	if (w->applied >= h->number)
		h->credits_old = 0;
	/* It sent this after its lease had run out: what it says is all. */
	if (sent_ms >= h->until_ms)
		h->credits = h->credits_old = 0;
	h->used = w->used;
	h->other = w->other;
	memcpy (h->want, w->want, sizeof h->want);
	h->tier = w->tier;
	report_temp (l, ce, h, w, now_ms);
}
