/*
 * Estimate of which endpoints cache which prompt prefixes.  It is an LRU list
 * fed by this entry's own dispatches, with the endpoints' cache events as
 * hints.
 */
#include "route_cache.h"

#define CACHE_PREFIXES_MAX 8192 /* prefixes in the list */
#define PREFIX_ENDPOINTS_MAX 2  /* endpoints recorded for one prefix */

/** struct route_cache_entry - one prefix */
struct route_cache_entry {
	uint64_t hash;
	uint64_t ep[PREFIX_ENDPOINTS_MAX]; /* ids, latest first; 0: none */
	GList link;                        /* in lru */
};

void
route_cache_init (struct route_cache *c)
{
	c->by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					    g_free);
	c->lru = g_queue_new ();
}

void
route_cache_finish (struct route_cache *c)
{
	/* The links are part of the entries, which the table frees. */
	g_queue_init (c->lru);
	g_queue_free (c->lru);
	g_hash_table_destroy (c->by_hash);
}

static void
evict (struct route_cache *c, struct route_cache_entry *e)
{
	g_queue_unlink (c->lru, &e->link);
	g_hash_table_remove (c->by_hash, &e->hash);
}

void
route_cache_add (struct route_cache *c, uint64_t hash, uint64_t ep)
{
	struct route_cache_entry *e = g_hash_table_lookup (c->by_hash, &hash);

	if (e == NULL) {
		if (c->lru->length >= CACHE_PREFIXES_MAX)
			evict (c, g_queue_peek_tail (c->lru));
		e = g_new0 (struct route_cache_entry, 1);
		e->hash = hash;
		e->link.data = e;
		g_hash_table_insert (c->by_hash, &e->hash, e);
	} else {
		g_queue_unlink (c->lru, &e->link);
	}
	g_queue_push_head_link (c->lru, &e->link);
	if (e->ep[0] != ep) {
		e->ep[1] = e->ep[0];
		e->ep[0] = ep;
	}
}

void
route_cache_del (struct route_cache *c, uint64_t hash, uint64_t ep)
{
	struct route_cache_entry *e = g_hash_table_lookup (c->by_hash, &hash);

	if (e == NULL)
		return;
	if (e->ep[1] == ep)
		e->ep[1] = 0;
	if (e->ep[0] == ep) {
		e->ep[0] = e->ep[1];
		e->ep[1] = 0;
	}
	if (e->ep[0] == 0)
		evict (c, e);
}

void
route_cache_drop_endpoint (struct route_cache *c, uint64_t ep)
{
	GList *l = c->lru->head;

	while (l != NULL) {
		struct route_cache_entry *e = l->data;

		l = l->next;
		route_cache_del (c, e->hash, ep);
	}
}

uint32_t
route_cache_tokens (const struct route_cache *c, const struct route_req *q,
		    uint64_t ep)
{
	for (uint32_t i = q->prefix_count; i-- > 0;) {
		const struct route_cache_entry *e =
			g_hash_table_lookup (c->by_hash, &q->prefix[i]);

		for (int k = 0; e != NULL && k < PREFIX_ENDPOINTS_MAX; k++)
			if (e->ep[k] == ep)
				return q->prefix_tokens[i];
	}
	return 0;
}
