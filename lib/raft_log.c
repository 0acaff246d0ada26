/*
 * The log in memory: entries after a base, which is the last index that a
 * snapshot has replaced.
 */
#include <string.h>

#include "raft_priv.h"

void
raft_log_init (struct raft_log *l)
{
	memset (l, 0, sizeof *l);
	l->entries = g_ptr_array_new_with_free_func (g_free);
}

void
raft_log_finish (struct raft_log *l)
{
	g_ptr_array_free (l->entries, TRUE);
	l->entries = NULL;
}

uint64_t
raft_log_last (const struct raft_log *l)
{
	return l->base + l->entries->len;
}

uint64_t
raft_log_term (const struct raft_log *l, uint64_t index)
{
	if (index == l->base)
		return l->base_term;
	if (index < l->base || index > raft_log_last (l))
		return 0;
	return raft_log_get (l, index)->term;
}

const struct raft_entry *
raft_log_get (const struct raft_log *l, uint64_t index)
{
	g_assert (index > l->base && index <= raft_log_last (l));
	return g_ptr_array_index (l->entries, index - l->base - 1);
}

const struct raft_entry *
raft_log_add (struct raft_log *l, const struct raft_entry *entry)
{
	struct raft_entry *copy;
	uint8_t *data;

	g_assert (entry->index == raft_log_last (l) + 1);
	copy = g_malloc (sizeof *copy + entry->data.len);
	data = (uint8_t *)(copy + 1);
	*copy = *entry;
	if (entry->data.len > 0)
		memcpy (data, entry->data.data, entry->data.len);
	copy->data.data = data;
	g_ptr_array_add (l->entries, copy);
	l->bytes += sizeof *copy + entry->data.len;
	return copy;
}

static void
forget (struct raft_log *l, guint from, guint count)
{
	for (guint i = from; i < from + count; i++) {
		const struct raft_entry *e = g_ptr_array_index (l->entries, i);

		l->bytes -= sizeof *e + e->data.len;
	}
	if (count > 0)
		g_ptr_array_remove_range (l->entries, from, count);
}

void
raft_log_truncate (struct raft_log *l, uint64_t index)
{
	guint from = (guint)(index - l->base - 1);

	forget (l, from, l->entries->len - from);
	if (l->durable >= index)
		l->durable = index - 1;
}

void
raft_log_compact (struct raft_log *l, uint64_t base)
{
	uint64_t term = raft_log_term (l, base);

	if (base <= l->base)
		return;
	forget (l, 0, (guint)(base - l->base));
	l->base = base;
	l->base_term = term;
}

void
raft_log_reset (struct raft_log *l, uint64_t base, uint64_t term)
{
	forget (l, 0, l->entries->len);
	l->base = base;
	l->base_term = term;
	l->durable = base;
}
