/*
 * Retry budgets.
 */
#include "rbudget.h"

/* The window is counted in so many parts; the oldest counts whole. */
#define PARTS 10

/* Kept back of what is allowed: relays see their number late, and a window
 * may begin within a part. */
#define USED_SHARE 0.7

struct tally {
	uint64_t part[PARTS + 1]; /* number of the part that a count is of */
	uint32_t requests[PARTS + 1];
	uint32_t repeats[PARTS + 1];
};

struct spend {
	struct rbudget_limits rules;
	GHashTable *tallies; /* service to struct tally */
};

struct spend *
rbudget_new (const struct rbudget_limits *rules)
{
	struct spend *s = g_new0 (struct spend, 1);

	s->rules = *rules;
	s->tallies =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

void
rbudget_free (struct spend *s)
{
	g_hash_table_destroy (s->tallies);
	g_free (s);
}

/* The running part of a service's tally. */
static uint32_t
running (struct spend *s, const char *service, struct tally **out,
	 uint64_t now_ms)
{
	uint64_t part = now_ms / (s->rules.window_ms / PARTS);
	uint32_t i = (uint32_t)(part % (PARTS + 1));
	struct tally *t = g_hash_table_lookup (s->tallies, service);

	if (t == NULL) {
		t = g_new0 (struct tally, 1);
		g_hash_table_insert (s->tallies, g_strdup (service), t);
	}
	if (t->part[i] != part) {
		t->part[i] = part;
		t->requests[i] = t->repeats[i] = 0;
	}
	*out = t;
	return i;
}

void
rbudget_add_request (struct spend *s, const char *service, uint64_t now_ms)
{
	struct tally *t;
	uint32_t i = running (s, service, &t, now_ms);

	t->requests[i]++;
}

bool
rbudget_take (struct spend *s, const char *service, uint32_t relays,
	      uint64_t now_ms)
{
	struct tally *t;
	uint32_t i = running (s, service, &t, now_ms);
	uint64_t now_part = t->part[i];
	double requests = 0, repeats = 0, allowed;

	for (uint32_t k = 0; k <= PARTS; k++) {
		if (t->part[k] + PARTS < now_part)
			continue;
		requests += t->requests[k];
		repeats += t->repeats[k];
	}
	allowed = USED_SHARE * (s->rules.ratio * requests +
				s->rules.slack / MAX (relays, 1));
	if (repeats + 1 > allowed)
		return false;
	t->repeats[i]++;
	return true;
}
