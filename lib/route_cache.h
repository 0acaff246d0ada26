#ifndef DH_ROUTE_CACHE_H
#define DH_ROUTE_CACHE_H

#include "route.h"

/* Estimate of which endpoints hold which prompt prefixes in their caches. */

/** route_cache_init() - initialize an empty estimate */
void route_cache_init (struct route_cache *c);

/** route_cache_finish() - free what route_cache_init() allocated */
void route_cache_finish (struct route_cache *c);

/**
 * route_cache_add() - record that @ep caches the prefix @hash, and mark the
 *	prefix as the most recently used
 * @ep: id of the endpoint
 */
void route_cache_add (struct route_cache *c, uint64_t hash, uint64_t ep);

/** route_cache_del() - record that @ep no longer caches the prefix @hash */
void route_cache_del (struct route_cache *c, uint64_t hash, uint64_t ep);

/** route_cache_drop_endpoint() - forget every prefix of @ep */
void route_cache_drop_endpoint (struct route_cache *c, uint64_t ep);

/** route_cache_tokens() - tokens of @q's prompt that @ep probably caches */
uint32_t route_cache_tokens (const struct route_cache *c,
			     const struct route_req *q, uint64_t ep);

#endif
