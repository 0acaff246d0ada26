/*
 * Retry budgets, counted in a sliding window.
 */
#include "rbudget.h"

/* Buckets in a window.  The oldest one, which the window covers in part, is
 * counted in full. */
#define BUCKETS 10

/* Share of the budget that relays use.  The rest covers a change in the number
 * of relays, which they learn late, and windows that begin within a bucket. */
#define USABLE_SHARE 0.7

/* Counts of one service, in a ring of buckets. */
struct service_counts {
	uint64_t bucket[BUCKETS + 1]; /* number of the bucket in each slot */
	uint32_t requests[BUCKETS + 1];
	uint32_t retries[BUCKETS + 1];
};

struct rbudget {
	struct rbudget_limits limits;
	GHashTable *services; /* name to struct service_counts */
};

struct rbudget *
rbudget_new (const struct rbudget_limits *limits)
{
	struct rbudget *b = g_new0 (struct rbudget, 1);

	b->limits = *limits;
	b->services =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	return b;
}

void
rbudget_free (struct rbudget *b)
{
	g_hash_table_destroy (b->services);
	g_free (b);
}

/* Finds the counts of a service and returns the slot of the current bucket,
 * which is cleared if it held an older one. */
static uint32_t
current_slot (struct rbudget *b, const char *service,
	      struct service_counts **out, uint64_t now_ms)
{
	uint64_t bucket = now_ms / (b->limits.window_ms / BUCKETS);
	uint32_t slot = (uint32_t)(bucket % (BUCKETS + 1));
	struct service_counts *c = g_hash_table_lookup (b->services, service);

	if (c == NULL) {
		c = g_new0 (struct service_counts, 1);
		g_hash_table_insert (b->services, g_strdup (service), c);
	}
	if (c->bucket[slot] != bucket) {
		c->bucket[slot] = bucket;
		c->requests[slot] = c->retries[slot] = 0;
	}
	*out = c;
	return slot;
}

void
rbudget_add_request (struct rbudget *b, const char *service, uint64_t now_ms)
{
	struct service_counts *c;
	uint32_t slot = current_slot (b, service, &c, now_ms);

	c->requests[slot]++;
}

bool
rbudget_take (struct rbudget *b, const char *service, uint32_t relays,
	      uint64_t now_ms)
{
	struct service_counts *c;
	uint32_t slot = current_slot (b, service, &c, now_ms);
	uint64_t current = c->bucket[slot];
	double requests = 0, retries = 0, allowed;

	for (uint32_t i = 0; i <= BUCKETS; i++) {
		if (c->bucket[i] + BUCKETS < current)
			continue;
		requests += c->requests[i];
		retries += c->retries[i];
	}
	allowed = USABLE_SHARE * (b->limits.ratio * requests +
				  b->limits.slack / MAX (relays, 1));
	if (retries + 1 > allowed)
		return false;
	c->retries[slot]++;
	return true;
}
