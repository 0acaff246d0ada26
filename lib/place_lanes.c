/*
 * Assignment of engines to the lanes for short and for long prompts.
 */
#include <string.h>

#include <xxhash.h>

#include "place.h"

/* Share of a domain's engines in the lane for short prompts.  These hold many
 * streams, and prefilling short prompts takes little of their time. */
#define SHORT_LANE_SHARE 0.22

/* Engines that take longer than this, relative to a usual one, are put into the
 * short lane only if there are too few others: its streams need short pauses.
 */
#define SHORT_LANE_SLOWNESS 1.2

static uint64_t
lane_hash (const struct fleet_ep *ep)
{
	return XXH64 (&ep->rank_hash, sizeof ep->rank_hash, 1);
}

/* Sorts by domain, slow engines last, and otherwise in a random order that is
 * the same at all relays. */
static gint
by_domain (gconstpointer a, gconstpointer b)
{
	const struct fleet_ep *x = *(const struct fleet_ep *const *)a;
	const struct fleet_ep *y = *(const struct fleet_ep *const *)b;
	int d = strcmp (x->info.domain, y->info.domain);
	bool sx = x->slowness > SHORT_LANE_SLOWNESS;
	bool sy = y->slowness > SHORT_LANE_SLOWNESS;
	uint64_t hx = lane_hash (x), hy = lane_hash (y);

	return d != 0     ? d
	       : sx != sy ? sx - sy
	       : hx == hy ? 0
	       : hx < hy  ? -1
			  : 1;
}

/* Sorts the short lane first, and each lane as a consistent hashing ring. */
static gint
by_lane (gconstpointer a, gconstpointer b)
{
	const struct fleet_ep *x = *(const struct fleet_ep *const *)a;
	const struct fleet_ep *y = *(const struct fleet_ep *const *)b;

	if (x->short_lane != y->short_lane)
		return y->short_lane - x->short_lane;
	return x->rank_hash == y->rank_hash  ? 0
	       : x->rank_hash < y->rank_hash ? -1
					     : 1;
}

/* Whether an endpoint counts for the size of the lanes. */
static bool
is_lane_member (const struct fleet_ep *ep)
{
	return ep->listed && !ep->leaving;
}

/* Puts the first endpoints of each domain into the short lane. */
static void
assign_pool (struct fleet_pool *p)
{
	struct fleet_ep **eps = (struct fleet_ep **)p->eps->pdata;
	guint end;

	g_ptr_array_sort (p->eps, by_domain);
	for (guint from = 0; from < p->eps->len; from = end) {
		uint32_t members = 0, before = 0;

		for (end = from;
		     end < p->eps->len && strcmp (eps[end]->info.domain,
						  eps[from]->info.domain) == 0;
		     end++)
			members += is_lane_member (eps[end]);
		for (guint i = from; i < end; i++) {
			eps[i]->short_lane =
				before < SHORT_LANE_SHARE * members - 0.5;
			before += is_lane_member (eps[i]);
		}
	}
	g_ptr_array_sort (p->eps, by_lane);
	p->short_count = 0;
	while (p->short_count < p->eps->len && eps[p->short_count]->short_lane)
		p->short_count++;
}

void
place_assign_lanes (struct fleet *f)
{
	for (guint i = 0; i < f->pools->len; i++)
		assign_pool (g_ptr_array_index (f->pools, i));
	fleet_choose_subset (f);
}
