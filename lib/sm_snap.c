/*
 * Snapshots of the replicated state machine: the whole state as one message.
 */
#include <string.h>

#include "sm_int.h"

#define SNAP_VERSION 1
#define SNAP_ITEMS_MAX (4U << 20)

/* The state as lists; the same struct serves both directions. */
struct snap {
	uint32_t version;
	uint64_t applied;
	uint64_t revision;
	uint64_t clock_ms;
	uint64_t sealed_through;
	uint64_t dropped_before;
	struct msg_list objects;   /* of struct inv_change */
	struct msg_list withdrawn; /* of struct sm_withdrawal */
	struct msg_list changes;   /* of struct sm_change */
	struct msg_list history;   /* of struct sm_step */
	struct msg_list instances; /* of struct sm_instance */
	struct msg_list claims;    /* of struct sm_claim_rec */
	struct msg_list orders;    /* of struct sm_order_rec */
	struct msg_list sources;   /* of struct sm_source */
	struct msg_list counters;  /* of struct sm_counter */
	struct msg_list late;      /* of struct sm_late */
	struct msg_list windows;   /* of struct sm_window */
};

static const struct msg_field withdrawal_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_withdrawal, id),
	MSG_FIELD (2, MSG_U64, struct sm_withdrawal, wall_ms),
	MSG_FIELD_END,
};

static const struct msg_field change_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_change, id),
	MSG_FIELD (2, MSG_U8, struct sm_change, kind),
	MSG_FIELD (3, MSG_U64, struct sm_change, revision),
	MSG_FIELD (4, MSG_STR, struct sm_change, why),
	MSG_FIELD_END,
};

static const struct msg_field step_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_step, revision),
	MSG_FIELD_LIST (2, struct sm_step, changes, struct inv_change,
			inv_change_fields, SM_CHANGE_MAX),
	MSG_FIELD_END,
};

static const struct msg_field instance_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_instance, name),
	MSG_FIELD (2, MSG_U64, struct sm_instance, incarnation),
	MSG_FIELD_END,
};

static const struct msg_field claim_rec_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_claim_rec, claim.account),
	MSG_FIELD (2, MSG_STR, struct sm_claim_rec, claim.key),
	MSG_FIELD (3, MSG_BIN, struct sm_claim_rec, claim.digest),
	MSG_FIELD (4, MSG_STR, struct sm_claim_rec, claim.entry),
	MSG_FIELD (5, MSG_U64, struct sm_claim_rec, claim.incarnation),
	MSG_FIELD (6, MSG_U64, struct sm_claim_rec, claim.attempt),
	MSG_FIELD (7, MSG_U64, struct sm_claim_rec, claim.wall_ms),
	MSG_FIELD (8, MSG_U8, struct sm_claim_rec, outcome),
	MSG_FIELD (9, MSG_U16, struct sm_claim_rec, status),
	MSG_FIELD (10, MSG_STR, struct sm_claim_rec, type),
	MSG_FIELD_BYTES (11, struct sm_claim_rec, body, SM_BODY_MAX),
	MSG_FIELD (12, MSG_BOOL, struct sm_claim_rec, body_kept),
	MSG_FIELD_END,
};

static const struct msg_field order_rec_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_order_rec, order.id),
	MSG_FIELD (2, MSG_U8, struct sm_order_rec, order.kind),
	MSG_FIELD (3, MSG_STR, struct sm_order_rec, order.endpoint),
	MSG_FIELD (4, MSG_STR, struct sm_order_rec, order.domain),
	MSG_FIELD (5, MSG_STR, struct sm_order_rec, order.model),
	MSG_FIELD (6, MSG_U64, struct sm_order_rec, order.wall_ms),
	MSG_FIELD (7, MSG_U64, struct sm_order_rec, fence),
	MSG_FIELD (8, MSG_U8, struct sm_order_rec, state),
	MSG_FIELD (9, MSG_STR, struct sm_order_rec, made),
	MSG_FIELD (10, MSG_STR, struct sm_order_rec, why),
	MSG_FIELD (11, MSG_U64, struct sm_order_rec, done_ms),
	MSG_FIELD (12, MSG_STR, struct sm_order_rec, order.role),
	MSG_FIELD (13, MSG_BOOL, struct sm_order_rec, order.reclaimable),
	MSG_FIELD_END,
};

static const struct msg_field source_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_source, instance),
	MSG_FIELD (2, MSG_U64, struct sm_source, incarnation),
	MSG_FIELD (3, MSG_U64, struct sm_source, closed_before_ms),
	MSG_FIELD (4, MSG_U64, struct sm_source, heard_ms),
	MSG_FIELD_END,
};

static const struct msg_field counter_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_counter, instance),
	MSG_FIELD (2, MSG_U64, struct sm_counter, incarnation),
	MSG_FIELD (3, MSG_U64, struct sm_counter, row.window_ms),
	MSG_FIELD (4, MSG_STR, struct sm_counter, row.account),
	MSG_FIELD (5, MSG_STR, struct sm_counter, row.klass),
	MSG_FIELD (6, MSG_U64, struct sm_counter, row.n.requests),
	MSG_FIELD (7, MSG_U64, struct sm_counter, row.n.prompt_tokens),
	MSG_FIELD (8, MSG_U64, struct sm_counter, row.n.completion_tokens),
	MSG_FIELD (9, MSG_U64, struct sm_counter, row.n.refused),
	MSG_FIELD (10, MSG_U64, struct sm_counter, row.n.wasted_tokens),
	MSG_FIELD_END,
};

static const struct msg_field late_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_late, account),
	MSG_FIELD (2, MSG_STR, struct sm_late, klass),
	MSG_FIELD (3, MSG_U64, struct sm_late, n.requests),
	MSG_FIELD (4, MSG_U64, struct sm_late, n.prompt_tokens),
	MSG_FIELD (5, MSG_U64, struct sm_late, n.completion_tokens),
	MSG_FIELD (6, MSG_U64, struct sm_late, n.refused),
	MSG_FIELD (7, MSG_U64, struct sm_late, n.wasted_tokens),
	MSG_FIELD_END,
};

static const struct msg_field figure_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_figure, account),
	MSG_FIELD (2, MSG_STR, struct sm_figure, klass),
	MSG_FIELD (3, MSG_U64, struct sm_figure, n.requests),
	MSG_FIELD (4, MSG_U64, struct sm_figure, n.prompt_tokens),
	MSG_FIELD (5, MSG_U64, struct sm_figure, n.completion_tokens),
	MSG_FIELD (6, MSG_U64, struct sm_figure, n.refused),
	MSG_FIELD (7, MSG_U64, struct sm_figure, n.wasted_tokens),
	MSG_FIELD (8, MSG_U64, struct sm_figure, late.requests),
	MSG_FIELD (9, MSG_U64, struct sm_figure, late.prompt_tokens),
	MSG_FIELD (10, MSG_U64, struct sm_figure, late.completion_tokens),
	MSG_FIELD (11, MSG_U64, struct sm_figure, late.refused),
	MSG_FIELD (12, MSG_U64, struct sm_figure, late.wasted_tokens),
	MSG_FIELD_END,
};

static const struct msg_field window_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_window, window_ms),
	MSG_FIELD (2, MSG_U32, struct sm_window, length_ms),
	MSG_FIELD (3, MSG_STR, struct sm_window, report_id),
	MSG_FIELD (4, MSG_U64, struct sm_window, sealed_ms),
	MSG_FIELD (5, MSG_BOOL, struct sm_window, reported),
	MSG_FIELD (6, MSG_U64, struct sm_window, reported_ms),
	MSG_FIELD_LIST (7, struct sm_window, figures, struct sm_figure,
			figure_fields, SM_FIGURES_MAX),
	MSG_FIELD_END,
};

#define SNAP_LIST(tag_, member_, item_, fields_)                               \
	MSG_FIELD_LIST (tag_, struct snap, member_, item_, fields_,            \
			SNAP_ITEMS_MAX)

static const struct msg_field snap_fields[] = {
	MSG_FIELD (1, MSG_U32, struct snap, version),
	MSG_FIELD (2, MSG_U64, struct snap, applied),
	MSG_FIELD (3, MSG_U64, struct snap, revision),
	MSG_FIELD (4, MSG_U64, struct snap, clock_ms),
	MSG_FIELD (5, MSG_U64, struct snap, sealed_through),
	MSG_FIELD (6, MSG_U64, struct snap, dropped_before),
	SNAP_LIST (7, objects, struct inv_change, inv_change_fields),
	SNAP_LIST (8, withdrawn, struct sm_withdrawal, withdrawal_fields),
	SNAP_LIST (9, changes, struct sm_change, change_fields),
	SNAP_LIST (10, history, struct sm_step, step_fields),
	SNAP_LIST (11, instances, struct sm_instance, instance_fields),
	SNAP_LIST (12, claims, struct sm_claim_rec, claim_rec_fields),
	SNAP_LIST (13, orders, struct sm_order_rec, order_rec_fields),
	SNAP_LIST (14, sources, struct sm_source, source_fields),
	SNAP_LIST (15, counters, struct sm_counter, counter_fields),
	SNAP_LIST (16, late, struct sm_late, late_fields),
	SNAP_LIST (17, windows, struct sm_window, window_fields),
	MSG_FIELD_END,
};

static gboolean
collect_record (gpointer key, gpointer value, gpointer data)
{
	(void)key;
	g_array_append_vals (data, value, 1);
	return FALSE;
}

static struct msg_list
list_of (GArray *items)
{
	struct msg_list l = {.count = items->len};

	l.items = g_array_free (items, FALSE);
	return l;
}

static struct msg_list
list_from_tree (GTree *tree, guint item_bytes)
{
	GArray *items = g_array_new (FALSE, FALSE, item_bytes);

	g_tree_foreach (tree, collect_record, items);
	return list_of (items);
}

static struct msg_list
list_from_queue (const GQueue *q, guint item_bytes)
{
	GArray *items = g_array_new (FALSE, FALSE, item_bytes);

	for (const GList *l = q->head; l != NULL; l = l->next)
		g_array_append_vals (items, l->data, 1);
	return list_of (items);
}

/* A document as the delta that makes it from an empty one. */
static struct msg_list
list_from_doc (const struct inv_doc *d)
{
	GArray *changes =
		g_array_new (FALSE, FALSE, sizeof (struct inv_change));
	struct inv_doc empty;

	inv_doc_init (&empty);
	inv_doc_diff (&empty, d, changes);
	inv_doc_finish (&empty);
	return list_of (changes);
}

static void
snap_fill (struct snap *s, const struct sm *sm)
{
	s->version = SNAP_VERSION;
	s->applied = sm->applied;
	s->revision = sm->revision;
	s->clock_ms = sm->clock_ms;
	s->sealed_through = sm->sealed_through;
	s->dropped_before = sm->dropped_before;
	s->objects = list_from_doc (&sm->doc);
	s->withdrawn =
		list_from_tree (sm->withdrawn, sizeof (struct sm_withdrawal));
	s->changes = list_from_queue (&sm->changes, sizeof (struct sm_change));
	s->history = list_from_queue (&sm->history, sizeof (struct sm_step));
	s->instances =
		list_from_tree (sm->instances, sizeof (struct sm_instance));
	s->claims = list_from_queue (&sm->claim_queue,
				     sizeof (struct sm_claim_rec));
	s->orders = list_from_queue (&sm->orders, sizeof (struct sm_order_rec));
	s->sources = list_from_tree (sm->sources, sizeof (struct sm_source));
	s->counters = list_from_tree (sm->counters, sizeof (struct sm_counter));
	s->late = list_from_tree (sm->late, sizeof (struct sm_late));
	s->windows = list_from_queue (&sm->windows, sizeof (struct sm_window));
}

static void
snap_release (struct snap *s)
{
	struct msg_list *lists[] = {
		&s->objects,   &s->withdrawn, &s->changes, &s->history,
		&s->instances, &s->claims,    &s->orders,  &s->sources,
		&s->counters,  &s->late,      &s->windows,
	};

	for (size_t i = 0; i < G_N_ELEMENTS (lists); i++)
		g_free (lists[i]->items);
}

void
sm_snapshot (const struct sm *sm, msgpack_sbuffer *out)
{
	struct snap s;

	memset (&s, 0, sizeof s);
	snap_fill (&s, sm);
	msg_pack (snap_fields, &s, out);
	snap_release (&s);
}

/* Where each list goes; in this order. */
static const struct part {
	size_t offset;
	size_t item_bytes;
	void (*put) (struct sm *sm, const void *item);
} parts[] = {
	{offsetof (struct snap, withdrawn), sizeof (struct sm_withdrawal),
	 sm_conf_put_withdrawal},
	{offsetof (struct snap, changes), sizeof (struct sm_change),
	 sm_conf_remember},
	{offsetof (struct snap, history), sizeof (struct sm_step),
	 sm_conf_put_step},
	{offsetof (struct snap, instances), sizeof (struct sm_instance),
	 sm_claim_put_instance},
	{offsetof (struct snap, claims), sizeof (struct sm_claim_rec),
	 sm_claim_put},
	{offsetof (struct snap, orders), sizeof (struct sm_order_rec),
	 sm_order_put},
	{offsetof (struct snap, sources), sizeof (struct sm_source),
	 sm_usage_put_source},
	{offsetof (struct snap, counters), sizeof (struct sm_counter),
	 sm_usage_put_counter},
	{offsetof (struct snap, late), sizeof (struct sm_late),
	 sm_usage_put_late},
	{offsetof (struct snap, windows), sizeof (struct sm_window),
	 sm_usage_put_window},
};

static void
restore_lists (struct sm *sm, const struct snap *s)
{
	for (size_t p = 0; p < G_N_ELEMENTS (parts); p++) {
		const struct msg_list *l =
			(const void *)((const char *)s + parts[p].offset);
		const char *item = l->items;

		for (uint32_t i = 0; i < l->count; i++)
			parts[p].put (sm, item + i * parts[p].item_bytes);
	}
}

static bool
restore_into (struct sm *sm, const struct snap *s, struct err *e)
{
	struct inv_delta whole = {.changes = s->objects};
	struct inv inv;

	if (s->version != SNAP_VERSION)
		return err_set (e, ERR_CORRUPT, "snapshot: version %u",
				s->version);
	if (!inv_doc_apply (&sm->doc, &whole, e) ||
	    !inv_build (&inv, &sm->doc, s->revision, NULL, e))
		return false;
	inv_finish (&inv);
	sm->applied = s->applied;
	sm->revision = s->revision;
	sm->clock_ms = s->clock_ms;
	sm->sealed_through = s->sealed_through;
	sm->dropped_before = s->dropped_before;
	restore_lists (sm, s);
	return true;
}

bool
sm_restore (struct sm *sm, const void *data, size_t len, struct err *e)
{
	struct sm *next = sm_new (), old;
	struct snap s;
	msgpack_zone zone;
	struct err cause = {.kind = ERR_NONE};
	bool ok;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = msg_unpack (snap_fields, data, len, &s, &zone, &cause) &&
	     restore_into (next, &s, &cause);
	msgpack_zone_destroy (&zone);
	if (ok) {
		old = *sm;
		*sm = *next;
		*next = old;
	} else {
		err_set (e, ERR_CORRUPT, "snapshot: %s", cause.msg);
	}
	sm_free (next);
	return ok;
}
