/*
 * Counting what each client account used, and getting the counts to control.
 */
#include <string.h>

#include "usage.h"

/* One cumulative count, and how much of it others have. */
struct usage_row {
	struct sm_usage_row row;
	struct sm_counts acked;    /* by control */
	struct sm_counts pushed;   /* in the push that stands */
	struct sm_counts mirrored; /* sent to the peer */
	uint64_t push;             /* number of the push that has it */
};

static guint
row_hash (gconstpointer p)
{
	const struct sm_usage_row *r = p;

	return (g_str_hash (r->account) * 31 + g_str_hash (r->klass)) * 31 +
	       (guint)(r->window_ms / 1000);
}

static gboolean
row_equal (gconstpointer pa, gconstpointer pb)
{
	const struct sm_usage_row *a = pa, *b = pb;

	return a->window_ms == b->window_ms &&
	       strcmp (a->account, b->account) == 0 &&
	       strcmp (a->klass, b->klass) == 0;
}

static bool
counts_equal (const struct sm_counts *a, const struct sm_counts *b)
{
	return a->requests == b->requests &&
	       a->prompt_tokens == b->prompt_tokens &&
	       a->completion_tokens == b->completion_tokens &&
	       a->refused == b->refused && a->wasted_tokens == b->wasted_tokens;
}

void
usage_init (struct usage *u, const char *instance, uint64_t incarnation)
{
	memset (u, 0, sizeof *u);
	g_strlcpy (u->instance, instance, sizeof u->instance);
	u->incarnation = incarnation;
	u->window_s = 60;
	/* A row starts with its key, struct sm_usage_row. */
	u->rows = g_hash_table_new_full (row_hash, row_equal, NULL, g_free);
}

void
usage_finish (struct usage *u)
{
	g_hash_table_destroy (u->rows);
}

void
usage_set_window (struct usage *u, uint32_t window_s)
{
	if (window_s > 0)
		u->window_s = window_s;
}

/* The current window never falls: counts of an earlier one are final. */
static void
window_move (struct usage *u, uint64_t wall_ms)
{
	uint64_t length_ms = (uint64_t)u->window_s * 1000;

	u->window_ms = MAX (u->window_ms, wall_ms / length_ms * length_ms);
}

void
usage_count (struct usage *u, uint64_t wall_ms, const char *account,
	     const char *klass, const struct sm_counts *n)
{
	struct sm_usage_row key;
	struct usage_row *r;

	window_move (u, wall_ms);
	memset (&key, 0, sizeof key);
	key.window_ms = u->window_ms;
	g_strlcpy (key.account, account, sizeof key.account);
	g_strlcpy (key.klass, klass, sizeof key.klass);
	r = g_hash_table_lookup (u->rows, &key);
	if (r == NULL) {
		r = g_new0 (struct usage_row, 1);
		r->row = key;
		g_hash_table_insert (u->rows, &r->row, r);
	}
	r->row.n.requests += n->requests;
	r->row.n.prompt_tokens += n->prompt_tokens;
	r->row.n.completion_tokens += n->completion_tokens;
	r->row.n.refused += n->refused;
	r->row.n.wasted_tokens += n->wasted_tokens;
}

/* The oldest window that control lacks counts of, or the current one. */
static uint64_t
open_from (const struct usage *u)
{
	uint64_t from = u->window_ms;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, u->rows);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct usage_row *r = value;

		if (!counts_equal (&r->row.n, &r->acked))
			from = MIN (from, r->row.window_ms);
	}
	return from;
}

static void
pack (const struct usage *u, uint64_t wall_ms, uint64_t closed_before_ms,
      GArray *rows, msgpack_sbuffer *out)
{
	struct sm_usage m = {.incarnation = u->incarnation,
			     .wall_ms = wall_ms,
			     .closed_before_ms = closed_before_ms,
			     .rows = {.items = rows->data, .count = rows->len}};

	g_strlcpy (m.instance, u->instance, sizeof m.instance);
	msg_pack (sm_usage_fields, &m, out);
}

uint64_t
usage_push (struct usage *u, uint64_t now_ms, uint64_t wall_ms,
	    msgpack_sbuffer *out)
{
	GArray *rows;
	GHashTableIter it;
	gpointer value;
	uint64_t closed;

	if (now_ms <
	    u->pushed_at_ms + (u->pushing ? USAGE_RETRY_MS : USAGE_PUSH_MS))
		return 0;
	window_move (u, wall_ms);
	closed = open_from (u);
	rows = g_array_new (FALSE, FALSE, sizeof (struct sm_usage_row));
	u->push++;
	g_hash_table_iter_init (&it, u->rows);
	while (rows->len < USAGE_PUSH_ROWS &&
	       g_hash_table_iter_next (&it, NULL, &value)) {
		struct usage_row *r = value;

		if (counts_equal (&r->row.n, &r->acked))
			continue;
		r->push = u->push;
		r->pushed = r->row.n;
		g_array_append_val (rows, r->row);
	}
	u->pushing = rows->len > 0 || closed > u->closed_before_ms;
	u->pushed_at_ms = now_ms;
	if (u->pushing) {
		pack (u, wall_ms, closed, rows, out);
		u->closed_before_ms = closed;
	}
	g_array_free (rows, TRUE);
	return u->pushing ? u->push : 0;
}

void
usage_pushed (struct usage *u, uint64_t push, bool ok)
{
	GHashTableIter it;
	gpointer value;

	/* An answer to a push that was given up on says nothing certain. */
	if (push != u->push || !u->pushing)
		return;
	u->pushing = false;
	if (!ok)
		return;
	g_hash_table_iter_init (&it, u->rows);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct usage_row *r = value;

		if (r->push == push)
			r->acked = r->pushed;
		if (r->row.window_ms < u->window_ms &&
		    counts_equal (&r->row.n, &r->acked))
			g_hash_table_iter_remove (&it);
	}
}

bool
usage_mirror_due (const struct usage *u, uint64_t now_ms)
{
	return now_ms >= u->mirrored_at_ms + USAGE_MIRROR_MS;
}

bool
usage_mirror (struct usage *u, uint64_t now_ms, uint64_t wall_ms,
	      msgpack_sbuffer *out)
{
	GArray *rows;
	GHashTableIter it;
	gpointer value;
	bool any;

	if (!usage_mirror_due (u, now_ms))
		return false;
	u->mirrored_at_ms = now_ms;
	rows = g_array_new (FALSE, FALSE, sizeof (struct sm_usage_row));
	g_hash_table_iter_init (&it, u->rows);
	while (rows->len < USAGE_PUSH_ROWS &&
	       g_hash_table_iter_next (&it, NULL, &value)) {
		struct usage_row *r = value;

		if (counts_equal (&r->row.n, &r->mirrored))
			continue;
		r->mirrored = r->row.n;
		g_array_append_val (rows, r->row);
	}
	any = rows->len > 0;
	if (any)
		pack (u, wall_ms, open_from (u), rows, out);
	g_array_free (rows, TRUE);
	return any;
}

void
usage_mirror_again (struct usage *u)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, u->rows);
	while (g_hash_table_iter_next (&it, NULL, &value))
		memset (&((struct usage_row *)value)->mirrored, 0,
			sizeof (struct sm_counts));
}

bool
usage_flushed (const struct usage *u)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, u->rows);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct usage_row *r = value;

		if (!counts_equal (&r->row.n, &r->acked))
			return false;
	}
	return true;
}
