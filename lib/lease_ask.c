/*
 * What a holder asks: renewals of what it has or wants, news of changes, and
 * now and then everything, so that credits nobody uses find it.
 */
#include <string.h>

#include "lease_priv.h"

#define FULL_ROUNDS 6 /* renewals, of which one goes to all coordinators */
#define KEEP_ROUNDS 2 /* and which renew credits that nobody uses */

static const struct hold_by *
by_at (const struct hold_ep *he, uint32_t i)
{
	return &g_array_index (he->by, struct hold_by, i);
}

static bool
wants (const struct hold_ep *he)
{
	for (uint32_t t = 0; t < INV_TIERS; t++)
		if (he->want[t] > 0)
			return true;
	return false;
}

/* Whether a renewal may leave @he out: nothing runs there or is wanted, the
 * coordinators know all that we do, and credits we have may run out, or are
 * renewed by another one (@keeps).  To be left out tells a coordinator the same
 * as to be named with zeros. */
static bool
is_quiet (const struct hold_ep *he, bool keeps, uint64_t now_ms)
{
	const struct bb_ep *ep = he->ep;
	bool renews =
		keeps && (he->keep || now_ms < he->busy_ms + LEASE_BUSY_MS);

	if (ep->in_flight > 0 || wants (he) || he->asked_ms != 0 ||
	    now_ms < he->split_until_ms ||
	    he->told_cold_ms != ep->last_cold_ms ||
	    he->told_proven_ms != ep->cold_end_ms ||
	    (ep->cold_end_ms == 0 && he->told_answers != ep->cold_answers))
		return false;
	for (uint32_t i = 0; i < he->by->len; i++) {
		const struct hold_by *by = by_at (he, i);

		bool has = lease_hold_usable (by, now_ms) > 0;

		if (by->dirty && (has || by->peer == he->coordinator))
			return false;
		if (has && renews)
			return false;
	}
	return true;
}

static bool
is_asked (const struct lease *l, const struct hold_ep *he,
	  const struct bb_peer *peer, uint64_t now_ms)
{
	const struct lease_domain *d = lease_elect_of (l, he->ep);

	if (he->coordinator == peer)
		return true;
	for (uint32_t i = 0; i < he->by->len; i++) {
		const struct hold_by *by = by_at (he, i);

		if (by->peer == peer &&
		    (by->used > 0 || lease_hold_usable (by, now_ms) > 0))
			return true;
	}
	if (d == NULL || now_ms >= he->split_until_ms)
		return false;
	for (uint32_t i = 0; i < d->count; i++)
		if (d->electors[i] == peer)
			return true;
	return false;
}

/* Whether @peer is to hear something of @he before the next renewal. */
static bool
is_news (const struct hold_ep *he, const struct bb_peer *peer)
{
	for (uint32_t i = 0; i < he->by->len; i++)
		if (by_at (he, i)->peer == peer)
			return by_at (he, i)->dirty;
	return false;
}

static void
send_ask (struct lease *l, struct bb_peer *to, const GArray *items, bool renew,
	  uint64_t now_ms)
{
	struct lease_ask m = {.incarnation = l->incarnation,
			      .sent_ms = now_ms,
			      .renew = renew};

	m.wants = (struct msg_list){items->data, items->len};
	if (renew)
		to->renewed_ms = now_ms;
	if (to == l->bb->self)
		lease_on_ask (l, to, &m, now_ms);
	else
		l->ops->ask (to, &m, l->ctx);
}

/* @eps: those that may be named; @empty: send it with none too, so that a
 * coordinator knows that nothing of ours runs there */
static void
ask_peer (struct lease *l, struct bb_peer *peer, const GPtrArray *eps,
	  bool renew, bool empty, uint64_t now_ms)
{
	GArray *items = g_array_new (FALSE, TRUE, sizeof (struct lease_want));
	bool news = renew;

	for (uint32_t i = 0; i < eps->len && !news; i++)
		news = is_news (g_ptr_array_index (eps, i), peer) &&
		       is_asked (l, g_ptr_array_index (eps, i), peer, now_ms);
	/* Renewals left it out: it gives nothing to who did not ask lately. */
	if (now_ms > peer->renewed_ms + l->set.renew_ms + l->set.margin_ms)
		renew = true;
	for (uint32_t i = 0; i < eps->len && news; i++) {
		struct hold_ep *he = g_ptr_array_index (eps, i);
		struct lease_want w;

		if (items->len >= LEASE_ITEMS_MAX ||
		    !is_asked (l, he, peer, now_ms) ||
		    (!renew && !is_news (he, peer)))
			continue;
		lease_hold_fill (he, peer, now_ms, &w);
		g_array_append_val (items, w);
		if (he->asked_ms == 0)
			he->asked_ms = now_ms;
	}
	if (items->len > 0 || empty)
		send_ask (l, peer, items, renew, now_ms);
	g_array_free (items, TRUE);
}

/* The endpoints that an ask may name now. */
static GPtrArray *
loud (const struct lease *l, bool polls, bool keeps, uint64_t now_ms)
{
	GPtrArray *eps = g_ptr_array_new ();
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->hold->eps);
	while (g_hash_table_iter_next (&it, NULL, &v))
		if ((polls && ((struct hold_ep *)v)->poll) ||
		    !is_quiet (v, keeps, now_ms))
			g_ptr_array_add (eps, v);
	return eps;
}

/* Those that coordinate something of ours. */
static GHashTable *
coordinators (const struct lease *l)
{
	GHashTable *set = g_hash_table_new (NULL, NULL);
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, l->hold->eps);
	while (g_hash_table_iter_next (&it, NULL, &v))
		g_hash_table_add (set, ((struct hold_ep *)v)->coordinator);
	return set;
}

void
lease_ask_all (struct lease *l, bool renew, uint64_t now_ms)
{
	const struct lease_elect *el = l->elect;
	uint32_t round = l->hold->round;
	bool all = renew && round % FULL_ROUNDS == 0;
	bool keeps = renew && round % KEEP_ROUNDS == 0;
	GPtrArray *eps = loud (l, all, keeps, now_ms);
	GHashTable *set = all ? coordinators (l) : NULL;

	l->hold->round += renew;
	l->hold->dirty = false;
	for (uint32_t i = 0; i < l->bb->inv->domain_count; i++)
		for (uint32_t k = 0; k < el->domains[i].count; k++) {
			struct bb_peer *p = el->domains[i].electors[k];

			ask_peer (l, p, eps, renew,
				  all && g_hash_table_contains (set, p),
				  now_ms);
		}
	if (set != NULL)
		g_hash_table_destroy (set);
	g_ptr_array_free (eps, TRUE);
}

void
lease_ask_changed (struct lease *l, struct bb_peer *peer, uint64_t now_ms)
{
	GPtrArray *eps = loud (l, false, false, now_ms);

	ask_peer (l, peer, eps, false, false, now_ms);
	g_ptr_array_free (eps, TRUE);
}
