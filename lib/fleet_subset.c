/*
 * The subset of endpoints whose peer load a relay receives, and that load.
 */
#include <stdlib.h>

#include <xxhash.h>

#include "fleet.h"
#include "fleet_pace.h"
#include "loads.h"

/* Least endpoints of a lane in the subset, however many services there are, so
 * that placement has a choice. */
#define LANE_SUBSET_MIN 6

/* An endpoint with its rank in the relay's own order. */
struct ranked {
	uint64_t hash;
	struct fleet_ep *ep;
};

static int
by_hash (const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	return x->hash == y->hash ? 0 : x->hash < y->hash ? -1 : 1;
}

/* Put up to @max endpoints of a lane into the subset: the first ones in an
 * order that differs from relay to relay. */
static void
lane_subset (struct fleet *f, struct fleet_pool *p, bool is_short, uint32_t max)
{
	guint from = is_short ? 0 : p->short_count;
	guint count = (is_short ? p->short_count : p->eps->len) - from;
	struct ranked *all = g_new (struct ranked, count + 1);

	for (guint i = 0; i < count; i++) {
		all[i].ep = g_ptr_array_index (p->eps, from + i);
		all[i].hash =
			XXH64 (&all[i].ep->rank_hash,
			       sizeof all[i].ep->rank_hash, f->relay_hash);
	}
	if (count > max)
		qsort (all, count, sizeof *all, by_hash);
	g_ptr_array_set_size (p->subset[is_short], 0);
	for (guint i = 0; i < MIN (count, max); i++) {
		all[i].ep->in_subset = true;
		g_ptr_array_add (p->subset[is_short], all[i].ep);
	}
	g_free (all);
}

/* Digest of the subset, independent of the order; 0 when all are in it. */
static uint64_t
compute_subset_digest (const struct fleet *f)
{
	uint64_t sum = 1;

	if (f->eps->len <= FLEET_SUBSET_THRESHOLD)
		return 0;
	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		if (ep->in_subset)
			sum += ep->rank_hash;
	}
	return sum;
}

void
fleet_choose_subset (struct fleet *f)
{
	uint32_t max = f->eps->len, lanes = 0;
	uint64_t digest;

	for (guint i = 0; i < f->pools->len; i++) {
		const struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		lanes += (p->short_count > 0) + (p->short_count < p->eps->len);
	}
	if (f->eps->len > FLEET_SUBSET_THRESHOLD)
		max = MAX (FLEET_SUBSET_SIZE / MAX (lanes, 1), LANE_SUBSET_MIN);
	for (guint i = 0; i < f->eps->len; i++)
		((struct fleet_ep *)g_ptr_array_index (f->eps, i))->in_subset =
			false;
	for (guint i = 0; i < f->pools->len; i++) {
		struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		lane_subset (f, p, false, max);
		lane_subset (f, p, true, max);
	}
	digest = compute_subset_digest (f);
	if (digest != f->subset_digest)
		f->subscription_changed = true;
	f->subset_digest = digest;
	fleet_pace_means (f);
}

void
fleet_note_sent (struct fleet *f, struct fleet_ep *ep)
{
	struct fleet_ep *oldest;

	if (ep->in_subset || ep->recent)
		return;
	ep->recent = true;
	g_queue_push_tail (&f->recent, ep);
	f->subscription_changed = true;
	if (f->recent.length <= FLEET_RECENT_MAX)
		return;
	oldest = g_queue_pop_head (&f->recent);
	oldest->recent = false;
}

static bool
is_subscribed (const struct fleet_ep *ep)
{
	return ep->in_subset || ep->recent;
}

static void
reset_peer_load (struct fleet_ep *ep)
{
	ep->peer_running = ep->peer_prefill_tokens = 0;
	ep->peer_suspect = false;
}

static void
subscription_add (GArray *out, const struct fleet_ep *ep)
{
	struct load_ep n = {ep->ep_hash};

	if (out->len < LOADS_SUBSCRIPTION_MAX)
		g_array_append_val (out, n);
}

void
fleet_subscription (struct fleet *f, GArray *out)
{
	f->subscription_changed = false;
	if (f->eps->len <= FLEET_SUBSET_THRESHOLD)
		return;
	for (const GList *at = f->recent.tail; at != NULL; at = at->prev)
		subscription_add (out, at->data);
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		if (ep->in_subset && !ep->recent)
			subscription_add (out, ep);
		if (!is_subscribed (ep))
			reset_peer_load (ep);
	}
}

static void
pool_means (struct fleet_pool *p)
{
	uint64_t prefill = 0, running = 0;
	guint count = 0;

	for (uint32_t lane = 0; lane < FLEET_LANES; lane++) {
		for (guint i = 0; i < p->subset[lane]->len; i++) {
			const struct fleet_ep *ep =
				g_ptr_array_index (p->subset[lane], i);

			prefill += ep->peer_prefill_tokens;
			running += ep->peer_running;
		}
		count += p->subset[lane]->len;
	}
	p->mean_prefill_tokens = (uint32_t)(prefill / MAX (count, 1));
	p->mean_running = (uint32_t)(running / MAX (count, 1));
}

void
fleet_set_peer_loads (struct fleet *f, const struct load *loads, uint32_t count,
		      bool is_delta)
{
	f->peer_loads_known = is_delta || count > 0;
	for (guint i = 0; !is_delta && i < f->eps->len; i++)
		reset_peer_load (g_ptr_array_index (f->eps, i));
	for (uint32_t i = 0; i < count; i++) {
		struct fleet_ep *ep = fleet_find_hash (f, loads[i].ep_hash);

		if (ep == NULL)
			continue;
		ep->peer_running = loads[i].running;
		ep->peer_prefill_tokens = loads[i].prefill_tokens;
		ep->peer_suspect = loads[i].suspect;
	}
	for (guint i = 0; i < f->pools->len; i++)
		pool_means (g_ptr_array_index (f->pools, i));
}

uint32_t
fleet_peer_prefill (const struct fleet_pool *p, const struct fleet_ep *ep)
{
	return is_subscribed (ep) ? ep->peer_prefill_tokens
				  : p->mean_prefill_tokens;
}

uint32_t
fleet_peer_running (const struct fleet_pool *p, const struct fleet_ep *ep)
{
	return is_subscribed (ep) ? ep->peer_running : p->mean_running;
}
