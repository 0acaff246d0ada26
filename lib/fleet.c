/*
 * One relay's table of endpoints: lists, lookups, error rates and slowdown.
 */
#include <string.h>

#include <xxhash.h>

#include "dialect.h"
#include "fleet.h"
#include "fleet_pace.h"
#include "loads.h"

/* Weight of one answer in the moving average of the error rate, which then
 * covers about the last ten answers. */
#define ERROR_RATE_WEIGHT 0.12

/* Above this error rate an endpoint is avoided for AVOID_MS, if others are
 * left. */
#define ERROR_RATE_MAX 0.3
#define AVOID_MS 2000

/* Weight of one measured prefill in the moving average of the slowdown of an
 * endpoint and of the whole fleet. */
#define SLOWDOWN_WEIGHT 0.1
#define FLEET_SLOWDOWN_WEIGHT 0.02

/* Time that a stream holds a slot: before the first one ended, and the weight
 * of one stream in the moving average. */
#define SLOT_HOLD_FIRST_MS 1000
#define SLOT_HOLD_WEIGHT 0.02

/* Bounds of the slowdown. */
#define SLOWDOWN_MIN 0.5
#define SLOWDOWN_MAX 8.0

const struct msg_field fleet_info_fields[] = {
	MSG_FIELD_LONG (1, 10, MSG_STR, struct fleet_info, id),
	MSG_FIELD_LONG (2, 11, MSG_STR, struct fleet_info, service),
	MSG_FIELD_LONG (3, 12, MSG_STR, struct fleet_info, domain),
	MSG_FIELD (4, MSG_STR, struct fleet_info, addr),
	MSG_FIELD (5, MSG_U32, struct fleet_info, slots),
	MSG_FIELD (6, MSG_U32, struct fleet_info, cold_remaining_ms),
	MSG_FIELD (7, MSG_BOOL, struct fleet_info, leaving),
	MSG_FIELD (8, MSG_BOOL, struct fleet_info, reclaimable),
	MSG_FIELD (9, MSG_U64, struct fleet_info, started_ms),
	/* Tags 10 to 12 are those of long names. */
	MSG_FIELD (13, MSG_STR, struct fleet_info, version),
	MSG_FIELD_END,
};

static void
pool_free (void *data)
{
	struct fleet_pool *p = data;

	for (uint32_t lane = 0; lane < FLEET_LANES; lane++)
		g_ptr_array_free (p->subset[lane], TRUE);
	g_ptr_array_free (p->eps, TRUE);
	g_free (p);
}

void
fleet_init (struct fleet *f, const struct fleet_ops *ops, void *ctx)
{
	*f = (struct fleet){.ops = ops,
			    .ctx = ctx,
			    .slowdown = 1,
			    .slot_hold_ms = SLOT_HOLD_FIRST_MS};
	f->eps = g_ptr_array_new ();
	g_queue_init (&f->recent);
	f->drained_domains = g_ptr_array_new_with_free_func (g_free);
	f->by_id = g_hash_table_new (g_str_hash, g_str_equal);
	f->by_hash = g_hash_table_new (g_direct_hash, g_direct_equal);
	f->pools = g_ptr_array_new_with_free_func (pool_free);
	f->segment_holders =
		g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
				       (GDestroyNotify)g_ptr_array_unref);
}

static void
ep_free (struct fleet *f, struct fleet_ep *ep)
{
	if (f->ops != NULL)
		f->ops->removed (ep, f->ctx);
	if (ep->recent)
		g_queue_remove (&f->recent, ep);
	fleet_forget_segments (ep);
	g_hash_table_destroy (ep->segments);
	if (g_hash_table_lookup (f->by_id, ep->info.id) == ep)
		g_hash_table_remove (f->by_id, ep->info.id);
	if (fleet_find_hash (f, ep->ep_hash) == ep)
		g_hash_table_remove (f->by_hash,
				     GUINT_TO_POINTER (ep->ep_hash));
	g_free (ep);
}

void
fleet_finish (struct fleet *f)
{
	for (guint i = 0; i < f->eps->len; i++)
		ep_free (f, g_ptr_array_index (f->eps, i));
	g_ptr_array_free (f->eps, TRUE);
	g_ptr_array_free (f->drained_domains, TRUE);
	g_ptr_array_free (f->pools, TRUE);
	g_hash_table_destroy (f->by_id);
	g_hash_table_destroy (f->by_hash);
	g_hash_table_destroy (f->segment_holders);
}

struct fleet_ep *
fleet_find (struct fleet *f, const char *id)
{
	return g_hash_table_lookup (f->by_id, id);
}

struct fleet_ep *
fleet_find_hash (const struct fleet *f, uint32_t name)
{
	return g_hash_table_lookup (f->by_hash, GUINT_TO_POINTER (name));
}

static struct fleet_ep *
ep_new (struct fleet *f, const struct fleet_info *info)
{
	struct fleet_ep *ep = g_new0 (struct fleet_ep, 1);

	ep->info = *info;
	ep->fleet = f;
	ep->ep_hash = loads_ep_hash (info->id);
	ep->rank_hash = XXH64 (info->id, strlen (info->id), 0);
	ep->slowdown = 1;
	ep->slowness = 1;
	ep->segments = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					      g_free);
	g_queue_init (&ep->segment_lru);
	g_ptr_array_add (f->eps, ep);
	g_hash_table_insert (f->by_id, ep->info.id, ep);
	/* Peer load under this hash may be that of an earlier start. */
	if (fleet_find_hash (f, ep->ep_hash) != NULL)
		f->want_snapshot = true;
	g_hash_table_insert (f->by_hash, GUINT_TO_POINTER (ep->ep_hash), ep);
	if (f->ops != NULL)
		f->ops->added (ep, f->ctx);
	return ep;
}

/* Whether a list entry with the id of @ep describes the same start of it: a
 * different start time, address or service makes it another endpoint. */
static bool
same_start (const struct fleet_ep *ep, const struct fleet_info *info)
{
	return strcmp (ep->info.addr, info->addr) == 0 &&
	       strcmp (ep->info.service, info->service) == 0 &&
	       (ep->info.started_ms == info->started_ms ||
		info->started_ms == 0 || ep->info.started_ms == 0);
}

static void
set_cold (struct fleet_ep *ep, uint64_t until_ms, uint64_t now_ms)
{
	if (now_ms >= ep->cold_until_ms) {
		ep->cold_since_ms = now_ms;
		fleet_pace_begin (ep, now_ms);
	}
	ep->cold_until_ms = MAX (ep->cold_until_ms, until_ms);
}

/* Set the digest of @ep's entry in the current list; 0 when it has none. */
static void
set_entry_digest (struct fleet_ep *ep, uint64_t digest)
{
	ep->fleet->digest_sum += digest - ep->entry_digest;
	ep->entry_digest = digest;
}

static void
ep_update (struct fleet_ep *ep, const struct fleet_info *info, uint64_t now_ms,
	   uint64_t age_ms)
{
	uint32_t cold_ms = MIN (info->cold_remaining_ms, FLEET_COLD_MAX_MS);

	ep->listed = true;
	set_entry_digest (ep, fleet_info_digest (info));
	ep->leaving = ep->leaving || info->leaving;
	if (cold_ms > age_ms)
		set_cold (ep, now_ms + cold_ms - age_ms, now_ms);
	ep->info.slots = info->slots;
	ep->info.reclaimable = info->reclaimable;
	if (info->started_ms != 0)
		ep->info.started_ms = info->started_ms;
	/* A member of an older software version leaves it out. */
	if (info->version[0] != '\0')
		g_strlcpy (ep->info.version, info->version,
			   sizeof ep->info.version);
}

static struct fleet_pool *
pool_get (struct fleet *f, const char *service, enum fleet_side side)
{
	struct fleet_pool *p = fleet_pool (f, service, side);

	if (p != NULL)
		return p;
	p = g_new0 (struct fleet_pool, 1);
	g_strlcpy (p->service, service, sizeof p->service);
	p->side = side;
	p->eps = g_ptr_array_new ();
	for (uint32_t lane = 0; lane < FLEET_LANES; lane++)
		p->subset[lane] = g_ptr_array_new ();
	g_ptr_array_add (f->pools, p);
	return p;
}

static gint
by_rank_hash (gconstpointer a, gconstpointer b)
{
	const struct fleet_ep *x = *(const struct fleet_ep *const *)a;
	const struct fleet_ep *y = *(const struct fleet_ep *const *)b;

	return x->rank_hash == y->rank_hash  ? 0
	       : x->rank_hash < y->rank_hash ? -1
					     : 1;
}

/* Until place_assign_lanes() runs, there is one lane and all endpoints are in
 * the subset. */
void
fleet_build_pools (struct fleet *f)
{
	g_ptr_array_set_size (f->pools, 0);
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		struct fleet_pool *p = pool_get (f, ep->info.service, ep->side);

		ep->in_subset = true;
		g_ptr_array_add (p->eps, ep);
		g_ptr_array_add (p->subset[0], ep);
	}
	for (guint i = 0; i < f->pools->len; i++) {
		struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		g_ptr_array_sort (p->eps, by_rank_hash);
	}
}

struct fleet_pool *
fleet_pool (const struct fleet *f, const char *service, enum fleet_side side)
{
	for (guint i = 0; i < f->pools->len; i++) {
		struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		if (p->side == side && strcmp (p->service, service) == 0)
			return p;
	}
	return NULL;
}

static void
add_entry (struct fleet *f, const struct fleet_info *info, uint64_t now_ms,
	   uint64_t age_ms)
{
	struct fleet_ep *ep = fleet_find (f, info->id);
	bool is_new;

	if (ep != NULL && !same_start (ep, info)) {
		/* The earlier start is unlisted and gives up its id. */
		g_hash_table_remove (f->by_id, ep->info.id);
		g_snprintf (ep->info.id, sizeof ep->info.id, "-");
		set_entry_digest (ep, 0);
		fleet_retire (ep);
		ep = NULL;
	}
	is_new = ep == NULL;
	if (is_new)
		ep = ep_new (f, info);
	ep_update (ep, info, now_ms, age_ms);
	/* In a relay's first list all endpoints are new, and none is paced. */
	if (is_new && fleet_pool (f, info->service, FLEET_MAIN) != NULL)
		fleet_pace_begin (ep, now_ms);
}

/* Remove endpoints that are in no list and have no requests in flight. */
static void
remove_unlisted (struct fleet *f)
{
	for (guint i = f->eps->len; i > 0; i--) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i - 1);

		if (ep->entry_digest != 0 || ep->inflight > 0)
			continue;
		g_ptr_array_remove_index_fast (f->eps, i - 1);
		ep_free (f, ep);
	}
	fleet_build_pools (f);
}

void
fleet_set_list (struct fleet *f, const struct fleet_info *list, uint32_t count,
		uint64_t now_ms, uint64_t age_ms)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		ep->listed = false;
		set_entry_digest (ep, 0);
	}
	for (uint32_t i = 0; i < count; i++)
		add_entry (f, &list[i], now_ms, age_ms);
	remove_unlisted (f);
}

void
fleet_apply_delta (struct fleet *f, const struct fleet_info *list,
		   uint32_t count, const struct load_ep *removed,
		   uint32_t removed_count, uint64_t now_ms, uint64_t age_ms)
{
	for (uint32_t i = 0; i < removed_count; i++) {
		struct fleet_ep *ep = fleet_find_hash (f, removed[i].ep_hash);

		if (ep == NULL)
			continue;
		ep->listed = false;
		set_entry_digest (ep, 0);
	}
	for (uint32_t i = 0; i < count; i++)
		add_entry (f, &list[i], now_ms, age_ms);
	remove_unlisted (f);
}

uint64_t
fleet_digest (const struct fleet *f)
{
	return FLEET_DIGEST_EMPTY + f->digest_sum;
}

void
fleet_set_drained (struct fleet *f, const GPtrArray *domains)
{
	g_ptr_array_set_size (f->drained_domains, 0);
	for (guint i = 0; i < domains->len; i++)
		g_ptr_array_add (f->drained_domains,
				 g_strdup (g_ptr_array_index (domains, i)));
}

static bool
is_drained (const struct fleet *f, const char *domain)
{
	for (guint i = 0; i < f->drained_domains->len; i++) {
		if (strcmp (g_ptr_array_index (f->drained_domains, i),
			    domain) == 0)
			return true;
	}
	return false;
}

bool
fleet_usable (const struct fleet *f, const struct fleet_ep *ep, uint64_t now_ms)
{
	(void)now_ms;
	return ep->listed && !ep->leaving && ep->health == FLEET_HEALTHY &&
	       !is_drained (f, ep->info.domain);
}

bool
fleet_is_cold (const struct fleet_ep *ep, uint64_t now_ms)
{
	return now_ms < ep->cold_until_ms;
}

void
fleet_set_cold (struct fleet_ep *ep, uint32_t cold_ms, uint64_t now_ms)
{
	set_cold (ep, now_ms + MIN (cold_ms, FLEET_COLD_MAX_MS), now_ms);
	fleet_forget_segments (ep);
}

void
fleet_retire (struct fleet_ep *ep)
{
	ep->leaving = true;
	ep->listed = false;
}

void
fleet_outcome (struct fleet_ep *ep, bool good, uint64_t now_ms)
{
	ep->error_rate +=
		ERROR_RATE_WEIGHT * ((good ? 0.0 : 1.0) - ep->error_rate);
	if (!good)
		pace_failed (&ep->pace, now_ms);
	if (!good && ep->error_rate > ERROR_RATE_MAX) {
		ep->avoid_until_ms = now_ms + AVOID_MS;
		if (!ep->pace.active)
			fleet_pace_begin (ep, ep->avoid_until_ms);
	}
}

double
fleet_slowdown (const struct fleet *f, const struct fleet_ep *ep)
{
	return MAX (f->slowdown * ep->slowdown, SLOWDOWN_MIN);
}

/*
 * One relay gets few answers from each engine, so the slowdown common to all
 * engines is learned separately from that of one engine.
 */
void
fleet_note_slowdown (struct fleet *f, struct fleet_ep *ep, double factor)
{
	double x = MIN (factor, SLOWDOWN_MAX);

	ep->slowdown += SLOWDOWN_WEIGHT *
			(x / MAX (f->slowdown, SLOWDOWN_MIN) - ep->slowdown);
	f->slowdown += FLEET_SLOWDOWN_WEIGHT * (x - f->slowdown);
}

void
fleet_note_stream (struct fleet *f, double held_ms)
{
	f->slot_hold_ms += SLOT_HOLD_WEIGHT * (held_ms - f->slot_hold_ms);
}

uint32_t
fleet_ready_count (const struct fleet *f, uint64_t now_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		if (fleet_usable (f, g_ptr_array_index (f->eps, i), now_ms))
			n++;
	}
	return n;
}
