/*
 * Prompt segments expected in the endpoints' prefix caches, indexed by endpoint
 * and by segment.
 */
#include "dialect.h"
#include "fleet.h"
#include "loads.h"

/* Share of an engine's KV cache that is taken to hold cached segments; running
 * requests use the rest. */
#define CACHE_SHARE 0.6

static void
holder_add (struct fleet_ep *ep, uint64_t id)
{
	GPtrArray *eps = g_hash_table_lookup (ep->fleet->segment_holders, &id);

	if (eps == NULL) {
		uint64_t *key = g_new (uint64_t, 1);

		*key = id;
		eps = g_ptr_array_new ();
		g_hash_table_insert (ep->fleet->segment_holders, key, eps);
	}
	g_ptr_array_add (eps, ep);
}

static void
holder_drop (struct fleet_ep *ep, uint64_t id)
{
	GPtrArray *eps = g_hash_table_lookup (ep->fleet->segment_holders, &id);

	if (eps == NULL)
		return;
	g_ptr_array_remove_fast (eps, ep);
	if (eps->len == 0)
		g_hash_table_remove (ep->fleet->segment_holders, &id);
}

static void
segment_drop_oldest (struct fleet_ep *ep)
{
	struct fleet_segment *p = g_queue_pop_head (&ep->segment_lru);

	ep->segment_tokens -= p->tokens;
	holder_drop (ep, p->id);
	g_hash_table_remove (ep->segments, &p->id);
}

void
fleet_forget_segments (struct fleet_ep *ep)
{
	while (ep->segment_lru.length > 0)
		segment_drop_oldest (ep);
	ep->segment_tokens = 0;
}

const GPtrArray *
fleet_holders (const struct fleet *f, uint64_t segment_id)
{
	return g_hash_table_lookup (f->segment_holders, &segment_id);
}

uint32_t
fleet_cached_tokens (const struct fleet_ep *ep, const struct dia_segment *parts,
		     uint32_t count)
{
	uint32_t tokens = 0;

	for (uint32_t i = 0; i < count; i++) {
		if (!g_hash_table_contains (ep->segments, &parts[i].id))
			break;
		tokens += parts[i].tokens;
	}
	return tokens;
}

void
fleet_add_segments (struct fleet_ep *ep, const struct dia_segment *parts,
		    uint32_t count, uint64_t capacity_tokens)
{
	for (uint32_t i = 0; i < count; i++) {
		struct fleet_segment *p =
			g_hash_table_lookup (ep->segments, &parts[i].id);

		if (p != NULL) {
			g_queue_unlink (&ep->segment_lru, p->lru_link);
			g_queue_push_tail_link (&ep->segment_lru, p->lru_link);
			continue;
		}
		p = g_new0 (struct fleet_segment, 1);
		p->id = parts[i].id;
		p->tokens = parts[i].tokens;
		g_queue_push_tail (&ep->segment_lru, p);
		p->lru_link = ep->segment_lru.tail;
		g_hash_table_insert (ep->segments, &p->id, p);
		holder_add (ep, p->id);
		ep->segment_tokens += p->tokens;
	}
	while (ep->segment_tokens > CACHE_SHARE * (double)capacity_tokens &&
	       ep->segment_lru.length > 0)
		segment_drop_oldest (ep);
}

void
fleet_add_peer_segments (struct fleet *f, const struct load_segment *segments,
			 uint32_t count, uint64_t capacity_tokens,
			 uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		struct dia_segment part = {segments[i].id, segments[i].tokens};
		struct fleet_ep *ep = fleet_find_hash (f, segments[i].ep_hash);
		struct fleet_segment *p;

		if (ep == NULL)
			continue;
		fleet_add_segments (ep, &part, 1, capacity_tokens);
		p = g_hash_table_lookup (ep->segments, &part.id);
		if (p != NULL)
			p->announced_ms = now_ms;
	}
}

bool
fleet_announce_due (struct fleet_ep *ep, uint64_t segment_id, uint64_t now_ms)
{
	struct fleet_segment *p =
		g_hash_table_lookup (ep->segments, &segment_id);

	if (p == NULL || (p->announced_ms != 0 &&
			  now_ms < p->announced_ms + FLEET_SEGMENT_ANNOUNCE_MS))
		return false;
	p->announced_ms = now_ms;
	return true;
}
