/*
 * Choice of the engine that keeps a copy of a run.
 */
#include <string.h>

#include <xxhash.h>

#include "place_priv.h"

/* Engines mostly end in clusters: a crash of many, a reclaim, a release.  After
 * one was lost, copies are kept for this long. */
#define AFTER_LOSS_MS 20000

/* Longest time that the copy of one run may occupy a link: at ten runs a second
 * on an engine, its links stay free most of the time. */
#define LINK_MAX_MS 20.0

/* Engines that are examined.  Where there are several domains, most engines are
 * in another one, so few choices fail. */
#define DRAWS 12

struct fleet_ep *
place_choose_backup (const struct fleet *f, const struct fleet_ep *ep,
		     const struct plan_service *service, uint32_t tokens,
		     uint32_t random, uint64_t now_ms)
{
	/* Versions can't read each other's KV caches. */
	const struct fleet_pool *p = fleet_pool (f, ep->info.service, ep->side);
	struct fleet_ep *near = NULL;
	uint64_t rng = random;

	if (f->loss_ms == 0 || now_ms > f->loss_ms + AFTER_LOSS_MS ||
	    service->link_mbps <= 0 ||
	    place_link_ms (service, tokens) > LINK_MAX_MS)
		return NULL;
	for (uint32_t i = 0; p != NULL && i < DRAWS && p->eps->len > 0; i++) {
		struct fleet_ep *x;

		rng = XXH64 (&rng, sizeof rng, 0);
		x = g_ptr_array_index (p->eps, rng % p->eps->len);
		if (x == ep || !fleet_usable (f, x, now_ms) ||
		    fleet_is_cold (x, now_ms) || x->peer_suspect)
			continue;
		if (strcmp (x->info.domain, ep->info.domain) != 0)
			return x;
		near = x;
	}
	return near;
}
