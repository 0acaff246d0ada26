/*
 * Speeds of engines and waiting requests, as relays report them.
 */
#include "loads_priv.h"

void
loads_set_waiting (struct loads *l, struct report *r,
		   const struct load_waiting *w, uint32_t count)
{
	for (uint32_t i = 0; i < LOADS_RANKS; i++) {
		l->waiting[i] -= r->waiting[i];
		r->waiting[i] = 0;
	}
	for (uint32_t i = 0; i < count; i++) {
		if (w[i].rank < LOADS_RANKS && r->waiting[w[i].rank] == 0) {
			r->waiting[w[i].rank] = w[i].tokens;
			l->waiting[w[i].rank] += w[i].tokens;
		}
	}
}

void
loads_add_speeds (struct loads *l, const void *relay, const struct loads_msg *m)
{
	const struct load_speed *s = m->speeds.items;

	for (uint32_t i = 0; i < m->speeds.count; i++) {
		struct reported_speed t = {relay, s[i]};

		/* Endpoints that ended are not removed one by one. */
		if (g_hash_table_size (l->speeds) >= LOADS_MAX)
			g_hash_table_remove_all (l->speeds);
		g_hash_table_insert (l->speeds, GUINT_TO_POINTER (s[i].ep_hash),
				     GUINT_TO_POINTER (s[i].gap_us));
		if (l->new_speeds->len < LOADS_MAX)
			g_array_append_val (l->new_speeds, t);
	}
}

bool
loads_peer_waiting (struct loads *l, const void *relay, GArray *out)
{
	struct report *r = g_hash_table_lookup (l->reports, relay);
	bool changed = false;

	if (r == NULL)
		return false;
	for (uint32_t i = 0; i < LOADS_RANKS; i++) {
		uint64_t sum = l->waiting[i] - r->waiting[i];
		struct load_waiting w = {i, (uint32_t)MIN (sum, UINT32_MAX)};

		if (w.tokens > 0)
			g_array_append_val (out, w);
		changed = changed || w.tokens != r->sent_waiting[i];
		r->sent_waiting[i] = w.tokens;
	}
	return changed;
}

void
loads_peer_speeds (const struct loads *l, const void *relay, GArray *out)
{
	const struct report *r = g_hash_table_lookup (l->reports, relay);
	GHashTableIter at;
	gpointer hash, gap;

	for (guint i = 0; i < l->new_speeds->len; i++) {
		const struct reported_speed *t = &g_array_index (
			l->new_speeds, struct reported_speed, i);

		if (t->relay != relay)
			g_array_append_val (out, t->speed);
	}
	if (r == NULL || !r->want_snapshot)
		return;
	g_array_set_size (out, 0);
	g_hash_table_iter_init (&at, l->speeds);
	while (g_hash_table_iter_next (&at, &hash, &gap)) {
		struct load_speed s = {GPOINTER_TO_UINT (hash),
				       GPOINTER_TO_UINT (gap)};

		g_array_append_val (out, s);
	}
}
