/*
 * What is known of requests that crash endpoints and outlives a restart of all
 * relays and members.
 */
#include "blame_priv.h"

/* Fewer strikes are found anew at the price of one more endpoint. */
#define STRIKES_MIN 2

static gint
more_important_first (gconstpointer x, gconstpointer y)
{
	const struct blame_entry *a = *(const struct blame_entry *const *)x;
	const struct blame_entry *b = *(const struct blame_entry *const *)y;

	if (a->barred != b->barred)
		return a->barred ? -1 : 1;
	if (blame_entry_is_request (a) != blame_entry_is_request (b))
		return blame_entry_is_request (a) ? -1 : 1;
	if (a->struck_ms != b->struck_ms)
		return a->struck_ms > b->struck_ms ? -1 : 1;
	return a->key < b->key ? -1 : 1;
}

static gint
lower_key_first (gconstpointer x, gconstpointer y)
{
	const struct blame_entry *a = *(const struct blame_entry *const *)x;
	const struct blame_entry *b = *(const struct blame_entry *const *)y;

	return a->key < b->key ? -1 : 1;
}

void
blame_export_kept (const struct blame *b, GArray *out, uint64_t now_ms)
{
	GPtrArray *kept = g_ptr_array_new ();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, b->entries);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct blame_entry *e = value;

		if (e->barred || e->strike_count >= STRIKES_MIN)
			g_ptr_array_add (kept, value);
	}
	g_ptr_array_sort (kept, more_important_first);
	if (kept->len > BLAME_KEPT_KEYS_MAX)
		g_ptr_array_set_size (kept, BLAME_KEPT_KEYS_MAX);
	g_ptr_array_sort (kept, lower_key_first);
	for (guint i = 0; i < kept->len; i++)
		blame_entry_export (g_ptr_array_index (kept, i), out, now_ms);
	g_ptr_array_free (kept, TRUE);
}

void
blame_restore (struct blame *b, const struct blame_record *records,
	       uint32_t count, uint64_t older_ms, GArray *restored,
	       uint64_t now_ms)
{
	guint first = restored->len;

	for (uint32_t i = 0; i < count; i++) {
		struct blame_record r = records[i];

		if (blame_strikes (b, r.key) > 0)
			continue;
		r.age_ms = (uint32_t)MIN (r.age_ms + older_ms, UINT32_MAX);
		g_array_append_val (restored, r);
	}
	if (restored->len > first)
		blame_merge (
			b,
			&g_array_index (restored, struct blame_record, first),
			restored->len - first, NULL, now_ms);
}
