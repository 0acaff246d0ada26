/*
 * Who coordinates an endpoint: beats between the electors of one domain.
 *
 * A beat carries what its sender promises: whom it takes for coordinator of
 * each endpoint (worked out from its set of live electors), as long as it
 * hears them all.  A coordinator relies on a promise for contact_ms from the
 * time of its own beat that the promise echoes.  Whoever promised waits that
 * time and a lease's length, counted from its later sending, before it takes
 * the endpoint itself.  So no two entries have the whole bound at once, and
 * none has a slice while another has the whole, whatever messages are lost.
 */
#include <string.h>

#include "lease_priv.h"

/** struct ranked - an entry and its rank as elector of a domain */
struct ranked {
	uint64_t weight;
	struct bb_peer *peer;
};

struct lease_elect *
lease_elect_new (void)
{
	return g_new0 (struct lease_elect, 1);
}

void
lease_elect_free (struct lease_elect *el)
{
	g_free (el->domains);
	g_free (el);
}

static int
ranked_cmp (const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	return x->weight < y->weight ? 1 : x->weight > y->weight ? -1 : 0;
}

static int
name_cmp (const void *a, const void *b)
{
	const struct ranked *x = a;
	const struct ranked *y = b;

	return strcmp (x->peer->name, y->peer->name);
}

/* All configured entries of the domain; at full size, where that would be
 * too many to hear each other, a fixed few of them. */
static void
domain_fill (struct bb *bb, struct bb_domain *bd, struct lease_domain *d)
{
	GArray *all = g_array_new (FALSE, FALSE, sizeof (struct ranked));

	for (uint32_t i = 0; i < bb->inv->entry_count; i++) {
		struct ranked r = {.peer = bb->peers[i]};

		if (r.peer->domain != bd)
			continue;
		r.weight = bb_rendezvous (bd->name, r.peer->name);
		g_array_append_val (all, r);
	}
	d->count = MIN (all->len, LEASE_ELECTORS_MAX);
	g_array_sort (all, ranked_cmp);
	g_array_set_size (all, d->count);
	g_array_sort (all, name_cmp);
	d->hash = 0;
	for (uint32_t i = 0; i < d->count; i++) {
		d->electors[i] = g_array_index (all, struct ranked, i).peer;
		d->hash = d->hash * 31 +
			  bb_rendezvous ("elector", d->electors[i]->name);
	}
	g_array_free (all, TRUE);
}

static void
find_self (struct lease *l)
{
	struct lease_elect *el = l->elect;

	el->own = NULL;
	if (l->bb->self == NULL)
		return;
	for (uint32_t i = 0; i < l->bb->inv->domain_count; i++)
		for (uint32_t k = 0; k < el->domains[i].count; k++)
			if (el->domains[i].electors[k] == l->bb->self) {
				el->own = &el->domains[i];
				el->self = k;
			}
}

static uint32_t
live_now (const struct lease *l)
{
	const struct lease_elect *el = l->elect;
	uint32_t live = 0;

	for (uint32_t i = 0; i < el->own->count; i++) {
		bool leaving = i == el->self ? l->bb->leaving
					     : el->own->electors[i]->leaving ||
						       el->seen[i].leaving;

		if (!leaving)
			live |= 1U << i;
	}
	return live;
}

void
lease_elect_remap (struct lease *l, uint64_t now_ms)
{
	struct lease_elect *el = l->elect;
	struct lease_domain was = {0};
	struct elect_seen seen[LEASE_ELECTORS_MAX];

	if (el->own != NULL)
		was = *el->own;
	memcpy (seen, el->seen, sizeof seen);
	memset (el->seen, 0, sizeof el->seen);
	g_free (el->domains);
	el->domains =
		g_new0 (struct lease_domain, MAX (l->bb->inv->domain_count, 1));
	for (uint32_t i = 0; i < l->bb->inv->domain_count; i++)
		domain_fill (l->bb, l->bb->domains[i], &el->domains[i]);
	find_self (l);
	if (el->own == NULL)
		return;
	for (uint32_t i = 0; i < el->own->count; i++)
		for (uint32_t k = 0; k < was.count; k++)
			if (el->own->electors[i] == was.electors[k])
				el->seen[i] = seen[k];
	if (was.count > 0 && was.hash != el->own->hash)
		el->changed_ms = now_ms;
	el->live = live_now (l);
}

int32_t
lease_elect_slot (const struct lease_domain *d, uint32_t live,
		  const struct bb_ep *ep)
{
	uint64_t most = 0;
	int32_t slot = -1;

	for (uint32_t i = 0; i < d->count; i++) {
		uint64_t w = bb_rendezvous (ep->name, d->electors[i]->name);

		if ((live >> i & 1) != 0 && (slot < 0 || w > most)) {
			most = w;
			slot = (int32_t)i;
		}
	}
	return slot;
}

const struct lease_domain *
lease_elect_of (const struct lease *l, const struct bb_ep *ep)
{
	return ep->inv == NULL ? NULL : &l->elect->domains[ep->domain->ix];
}

static bool
in_contact (const struct lease *l, uint32_t slot, uint64_t now_ms)
{
	const struct elect_seen *s = &l->elect->seen[slot];

	return s->contact_ms != 0 && now_ms < s->contact_ms + l->set.contact_ms;
}

bool
lease_elect_hears_all (const struct lease *l, uint64_t now_ms)
{
	const struct lease_elect *el = l->elect;

	if (el->own == NULL || (el->live >> el->self & 1) == 0)
		return false;
	for (uint32_t i = 0; i < el->own->count; i++)
		if (i != el->self && (el->live >> i & 1) != 0 &&
		    !in_contact (l, i, now_ms))
			return false;
	return true;
}

uint64_t
lease_elect_agreed (const struct lease *l, const struct bb_ep *ep,
		    uint64_t now_ms)
{
	const struct lease_elect *el = l->elect;
	uint64_t until = now_ms + l->set.contact_ms;

	if (!lease_elect_hears_all (l, now_ms) ||
	    lease_elect_slot (el->own, el->live, ep) != (int32_t)el->self)
		return 0;
	for (uint32_t i = 0; i < el->own->count; i++) {
		const struct elect_seen *s = &el->seen[i];

		if (i == el->self || (el->live >> i & 1) == 0)
			continue;
		if (!s->full || s->electors != el->own->hash ||
		    lease_elect_slot (el->own, s->live, ep) !=
			    (int32_t)el->self)
			return 0;
		until = MIN (until, s->contact_ms + l->set.contact_ms);
	}
	return until;
}

uint32_t
lease_elect_slice (const struct lease *l, uint32_t slot, uint32_t bound)
{
	const struct lease_elect *el = l->elect;
	uint32_t n = (uint32_t)__builtin_popcount (el->live);
	uint32_t below = el->live & ((1U << slot) - 1);

	if (n == 0 || (el->live >> slot & 1) == 0)
		return 0;
	return bound / n +
	       ((uint32_t)__builtin_popcount (below) < bound % n ? 1 : 0);
}

bool
lease_elect_tick (struct lease *l, uint64_t now_ms)
{
	struct lease_elect *el = l->elect;
	struct lease_beat beat = {.incarnation = l->incarnation,
				  .sent_ms = now_ms};
	uint32_t live;

	if (el->own == NULL)
		return false;
	live = live_now (l);
	if (live != el->live) {
		el->live = live;
		el->changed_ms = now_ms;
		el->beat_due_ms = now_ms;
	}
	if (now_ms < el->beat_due_ms)
		return false;
	el->beat_due_ms = now_ms + l->set.beat_ms;
	beat.electors = el->own->hash;
	beat.live = el->live;
	beat.full = lease_elect_hears_all (l, now_ms);
	beat.ready = lease_coord_ready (l);
	for (uint32_t i = 0; i < el->own->count; i++) {
		struct bb_peer *to = el->own->electors[i];

		if (i == el->self)
			continue;
		beat.heard_ms = el->seen[i].sent_ms;
		l->ops->beat (to, &beat, l->ctx);
	}
	return true;
}

void
lease_on_beat (struct lease *l, struct bb_peer *from,
	       const struct lease_beat *m, uint64_t now_ms)
{
	struct lease_elect *el = l->elect;
	struct elect_seen *s = NULL;

	for (uint32_t i = 0; el->own != NULL && i < el->own->count; i++)
		if (el->own->electors[i] == from && i != el->self)
			s = &el->seen[i];
	if (s == NULL || m->incarnation < s->incarnation ||
	    (m->incarnation == s->incarnation && m->sent_ms <= s->sent_ms))
		return;
	s->incarnation = m->incarnation;
	s->sent_ms = m->sent_ms;
	s->electors = m->electors;
	s->live = m->live;
	s->full = m->full;
	s->ready = m->ready;
	s->leaving = m->electors == el->own->hash &&
		     (m->live >> (s - el->seen) & 1) == 0;
	/* One from before our start was of an earlier process. */
	if (m->heard_ms >= l->started_ms && m->heard_ms <= now_ms &&
	    m->heard_ms > s->contact_ms)
		s->contact_ms = m->heard_ms;
}
