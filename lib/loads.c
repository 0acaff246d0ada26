/*
 * Sums of relays' loads.
 */
#include <string.h>

#include <xxhash.h>

#include "loads.h"

static const struct msg_field load_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load, ep),
	MSG_FIELD (2, MSG_U32, struct load, unread),
	MSG_FIELD (3, MSG_U32, struct load, running),
	MSG_FIELD_END,
};

static const struct msg_field part_fields[] = {
	MSG_FIELD (1, MSG_U64, struct load_part, id),
	MSG_FIELD (2, MSG_U32, struct load_part, ep),
	MSG_FIELD (3, MSG_U32, struct load_part, tokens),
	MSG_FIELD_END,
};

struct told_part {
	const void *by;
	struct load_part part;
};

const struct msg_field loads_msg_fields[] = {
	MSG_FIELD_LIST (1, struct loads_msg, loads, struct load, load_fields,
			LOADS_MAX),
	MSG_FIELD (2, MSG_U64, struct loads_msg, work_ms),
	MSG_FIELD_LIST (3, struct loads_msg, parts, struct load_part,
			part_fields, LOADS_PARTS_MAX),
	MSG_FIELD_END,
};

void
loads_init (struct loads *l)
{
	l->sum = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
					g_free);
	l->reports = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
					    (GDestroyNotify)g_array_unref);
	l->works = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
					  g_free);
	l->work_ms = 0;
	l->parts = g_array_new (FALSE, FALSE, sizeof (struct told_part));
}

void
loads_finish (struct loads *l)
{
	g_hash_table_destroy (l->sum);
	g_hash_table_destroy (l->reports);
	g_hash_table_destroy (l->works);
	g_array_free (l->parts, TRUE);
}

static struct load *
sum_of (const struct loads *l, uint32_t ep)
{
	struct load *s = g_hash_table_lookup (l->sum, GUINT_TO_POINTER (ep));

	if (s != NULL)
		return s;
	s = g_new0 (struct load, 1);
	s->ep = ep;
	g_hash_table_insert (l->sum, GUINT_TO_POINTER (ep), s);
	return s;
}

static void
report_drop (struct loads *l, const void *reporter)
{
	const GArray *old = g_hash_table_lookup (l->reports, reporter);

	for (guint i = 0; old != NULL && i < old->len; i++) {
		const struct load *x = &g_array_index (old, struct load, i);
		struct load *s = sum_of (l, x->ep);

		s->unread -= x->unread;
		s->running -= x->running;
		if (s->unread == 0 && s->running == 0)
			g_hash_table_remove (l->sum, GUINT_TO_POINTER (x->ep));
	}
	g_hash_table_remove (l->reports, reporter);
}

void
loads_drop (struct loads *l, const void *reporter)
{
	report_drop (l, reporter);
	g_hash_table_remove (l->works, reporter);
}

/* Totals since the reporter's start; the first one only sets the mark. */
static void
work_take (struct loads *l, const void *reporter, uint64_t work_ms)
{
	uint64_t *last = g_hash_table_lookup (l->works, reporter);

	if (last == NULL) {
		last = g_new (uint64_t, 1);
		*last = work_ms;
		g_hash_table_insert (l->works, (void *)reporter, last);
	}
	if (work_ms > *last)
		l->work_ms += (double)(work_ms - *last);
	*last = work_ms;
}

bool
loads_began (const struct loads *l)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, l->works);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		if (*(const uint64_t *)value > 0)
			return true;
	}
	return false;
}

double
loads_work (struct loads *l)
{
	double work_ms = l->work_ms;

	l->work_ms = 0;
	return work_ms;
}

static void
parts_take (struct loads *l, const void *reporter, const struct loads_msg *m)
{
	const struct load_part *p = m->parts.items;

	for (uint32_t i = 0;
	     i < m->parts.count && l->parts->len < LOADS_PARTS_MAX; i++) {
		struct told_part t = {reporter, p[i]};

		g_array_append_val (l->parts, t);
	}
}

void
loads_parts (const struct loads *l, const void *reporter, GArray *out)
{
	for (guint i = 0; i < l->parts->len; i++) {
		const struct told_part *t =
			&g_array_index (l->parts, struct told_part, i);

		if (t->by != reporter)
			g_array_append_val (out, t->part);
	}
}

void
loads_parts_told (struct loads *l)
{
	g_array_set_size (l->parts, 0);
}

void
loads_take (struct loads *l, const void *reporter, const struct loads_msg *m)
{
	GArray *own = g_array_new (FALSE, FALSE, sizeof (struct load));
	const struct load *x = m->loads.items;

	report_drop (l, reporter);
	work_take (l, reporter, m->work_ms);
	parts_take (l, reporter, m);
	for (uint32_t i = 0; i < m->loads.count; i++) {
		struct load *s = sum_of (l, x[i].ep);

		s->unread += x[i].unread;
		s->running += x[i].running;
		g_array_append_val (own, x[i]);
	}
	g_hash_table_insert (l->reports, (void *)reporter, own);
}

void
loads_others (const struct loads *l, const void *reporter, GArray *out)
{
	const GArray *own = g_hash_table_lookup (l->reports, reporter);
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, l->sum);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct load x = *(struct load *)value;

		for (guint i = 0; own != NULL && i < own->len; i++) {
			const struct load *o =
				&g_array_index (own, struct load, i);

			if (o->ep != x.ep)
				continue;
			x.unread -= o->unread;
			x.running -= o->running;
		}
		if (x.unread > 0 || x.running > 0)
			g_array_append_val (out, x);
	}
}

uint32_t
loads_ep (const char *id)
{
	return XXH32 (id, strlen (id), 0);
}
