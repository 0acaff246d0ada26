#ifndef DH_ROUTE_CACHE_H
#define DH_ROUTE_CACHE_H

#include "route.h"

/* Which endpoint probably holds which prompt prefix in its cache. */

/** route_cache_init() - empty */
void route_cache_init (struct route_cache *c);

/** route_cache_finish() - release */
void route_cache_finish (struct route_cache *c);

/** route_cache_add() - @ep holds the prefix @hash, used last just now */
void route_cache_add (struct route_cache *c, uint64_t hash, uint64_t ep);

/** route_cache_del() - @ep no longer holds it */
void route_cache_del (struct route_cache *c, uint64_t hash, uint64_t ep);

/** route_cache_drop_endpoint() - @ep holds nothing any more */
void route_cache_drop_endpoint (struct route_cache *c, uint64_t ep);

/** route_cache_tokens() - tokens of @q's prompt that @ep probably holds */
uint32_t route_cache_tokens (const struct route_cache *c,
			     const struct route_req *q, uint64_t ep);

#endif
