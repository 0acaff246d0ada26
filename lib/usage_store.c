/*
 * The mirroring peer's side of usage: it keeps what another entry counted and
 * hands it to control once that entry falls silent.
 */
#include <string.h>

#include "usage.h"

/* One incarnation of one entry. */
struct usage_source {
	char instance[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t heard_ms;
	uint64_t closed_before_ms;
	GHashTable *rows; /* struct sm_usage_row, its own key */
	uint64_t push;    /* the one that has its rows */
	uint64_t pushed_at_ms;
	bool changed; /* since control last had all its rows */
	bool superseded;
};

static guint
source_hash (gconstpointer p)
{
	const struct usage_source *s = p;

	return g_str_hash (s->instance) + (guint)s->incarnation;
}

static gboolean
source_equal (gconstpointer pa, gconstpointer pb)
{
	const struct usage_source *a = pa, *b = pb;

	return a->incarnation == b->incarnation &&
	       strcmp (a->instance, b->instance) == 0;
}

static void
source_free (gpointer p)
{
	struct usage_source *s = p;

	g_hash_table_destroy (s->rows);
	g_free (s);
}

static guint
row_hash (gconstpointer p)
{
	const struct sm_usage_row *r = p;

	return g_str_hash (r->account) * 31 + g_str_hash (r->klass) +
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

void
usage_store_init (struct usage_store *s)
{
	memset (s, 0, sizeof *s);
	s->sources = g_hash_table_new_full (source_hash, source_equal, NULL,
					    source_free);
}

void
usage_store_finish (struct usage_store *s)
{
	g_hash_table_destroy (s->sources);
}

static struct usage_source *
source_get (struct usage_store *s, const struct sm_usage *m)
{
	struct usage_source probe = {.incarnation = m->incarnation}, *src;

	g_strlcpy (probe.instance, m->instance, sizeof probe.instance);
	src = g_hash_table_lookup (s->sources, &probe);
	if (src == NULL) {
		src = g_memdup2 (&probe, sizeof probe);
		src->rows = g_hash_table_new_full (row_hash, row_equal, NULL,
						   g_free);
		g_hash_table_add (s->sources, src);
	}
	return src;
}

static gboolean
row_closed (gpointer key, gpointer value, gpointer data)
{
	const struct sm_usage_row *r = key;
	const struct usage_source *src = data;

	(void)value;
	return r->window_ms < src->closed_before_ms;
}

static void
mark_superseded (struct usage_store *s, const struct usage_source *now)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init (&it, s->sources);
	while (g_hash_table_iter_next (&it, &key, NULL)) {
		struct usage_source *src = key;

		if (strcmp (src->instance, now->instance) == 0 &&
		    src->incarnation < now->incarnation)
			src->superseded = true;
	}
}

bool
usage_store_take (struct usage_store *s, uint64_t now_ms, const void *body,
		  size_t len, struct err *e)
{
	struct usage_source *src;
	struct sm_usage m;
	const struct sm_usage_row *rows;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = msg_unpack (sm_usage_fields, body, len, &m, &zone, e);
	if (ok && m.instance[0] == '\0')
		ok = err_set (e, ERR_PROTOCOL, "usage without an instance");
	if (ok) {
		rows = m.rows.items;
		src = source_get (s, &m);
		src->heard_ms = now_ms;
		src->closed_before_ms =
			MAX (src->closed_before_ms, m.closed_before_ms);
		/* One connection carries them in order: the last is highest. */
		for (uint32_t i = 0; i < m.rows.count; i++)
			g_hash_table_add (src->rows,
					  g_memdup2 (&rows[i], sizeof *rows));
		src->changed = true;
		g_hash_table_foreach_remove (src->rows, row_closed, src);
		mark_superseded (s, src);
	}
	msgpack_zone_destroy (&zone);
	return ok;
}

static void
source_pack (const struct usage_source *src, uint64_t wall_ms,
	     msgpack_sbuffer *out)
{
	struct sm_usage m = {.incarnation = src->incarnation,
			     .wall_ms = wall_ms,
			     .closed_before_ms = src->closed_before_ms};
	GArray *rows = g_array_new (FALSE, FALSE, sizeof (struct sm_usage_row));
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init (&it, src->rows);
	while (rows->len < SM_ROWS_MAX &&
	       g_hash_table_iter_next (&it, &key, NULL))
		g_array_append_vals (rows, key, 1);
	g_strlcpy (m.instance, src->instance, sizeof m.instance);
	m.rows.items = rows->data;
	m.rows.count = rows->len;
	msg_pack (sm_usage_fields, &m, out);
	g_array_free (rows, TRUE);
}

uint64_t
usage_store_push (struct usage_store *s, uint64_t now_ms, uint64_t wall_ms,
		  msgpack_sbuffer *out)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init (&it, s->sources);
	while (g_hash_table_iter_next (&it, &key, NULL)) {
		struct usage_source *src = key;

		if (!src->changed ||
		    (!src->superseded &&
		     now_ms < src->heard_ms + USAGE_SILENT_MS) ||
		    (src->push != 0 &&
		     now_ms < src->pushed_at_ms + USAGE_RETRY_MS))
			continue;
		src->push = ++s->push;
		src->pushed_at_ms = now_ms;
		source_pack (src, wall_ms, out);
		return src->push;
	}
	return 0;
}

void
usage_store_pushed (struct usage_store *s, uint64_t push, bool ok)
{
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init (&it, s->sources);
	while (g_hash_table_iter_next (&it, &key, NULL)) {
		struct usage_source *src = key;

		if (src->push != push)
			continue;
		if (!ok)
			return;
		src->push = 0;
		src->changed = src->heard_ms > src->pushed_at_ms;
		/* A peer that lives sends again all that changes. */
		if (!src->changed)
			g_hash_table_iter_remove (&it);
		return;
	}
}
