/*
 * Usage in the replicated state machine: each instance's cumulative counters,
 * merged by maximum, and the windows whose figures were frozen before they
 * were reported.
 */
#include <string.h>

#include "sm_int.h"

/* Windows come first, so that one window's counters stand together. */
static gint
counter_cmp (gconstpointer pa, gconstpointer pb, gpointer data)
{
	const struct sm_counter *a = pa, *b = pb;
	int d;

	(void)data;
	if (a->row.window_ms != b->row.window_ms)
		return a->row.window_ms < b->row.window_ms ? -1 : 1;
	if ((d = strcmp (a->row.account, b->row.account)) != 0)
		return d;
	if ((d = strcmp (a->row.klass, b->row.klass)) != 0)
		return d;
	if ((d = strcmp (a->instance, b->instance)) != 0)
		return d;
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	return 0;
}

static gint
source_cmp (gconstpointer pa, gconstpointer pb, gpointer data)
{
	const struct sm_source *a = pa, *b = pb;
	int d = strcmp (a->instance, b->instance);

	(void)data;
	if (d != 0 || a->incarnation == b->incarnation)
		return d;
	return a->incarnation < b->incarnation ? -1 : 1;
}

static gint
late_cmp (gconstpointer pa, gconstpointer pb, gpointer data)
{
	const struct sm_late *a = pa, *b = pb;
	int d = strcmp (a->account, b->account);

	(void)data;
	return d != 0 ? d : strcmp (a->klass, b->klass);
}

static void
window_free (gpointer p)
{
	struct sm_window *w = p;

	g_free (w->figures.items);
	g_free (w);
}

void
sm_usage_init (struct sm *sm)
{
	sm->sources = g_tree_new_full (source_cmp, NULL, NULL, g_free);
	sm->counters = g_tree_new_full (counter_cmp, NULL, NULL, g_free);
	sm->late = g_tree_new_full (late_cmp, NULL, NULL, g_free);
	g_queue_init (&sm->windows);
}

void
sm_usage_finish (struct sm *sm)
{
	g_queue_clear_full (&sm->windows, window_free);
	g_tree_destroy (sm->late);
	g_tree_destroy (sm->counters);
	g_tree_destroy (sm->sources);
}

/* Raise @to to @from and add what that adds to @gain. */
static void
counts_raise (struct sm_counts *to, const struct sm_counts *from,
	      struct sm_counts *gain)
{
	uint64_t *t = (uint64_t *)to, *g = (uint64_t *)gain;
	const uint64_t *f = (const uint64_t *)from;

	G_STATIC_ASSERT (sizeof *to % sizeof *t == 0);
	for (size_t i = 0; i < sizeof *to / sizeof *t; i++) {
		if (f[i] <= t[i])
			continue;
		g[i] += f[i] - t[i];
		t[i] = f[i];
	}
}

static void
counts_add (struct sm_counts *to, const struct sm_counts *from)
{
	to->requests += from->requests;
	to->prompt_tokens += from->prompt_tokens;
	to->completion_tokens += from->completion_tokens;
	to->refused += from->refused;
	to->wasted_tokens += from->wasted_tokens;
}

void
sm_usage_put_source (struct sm *sm, const void *source)
{
	struct sm_source *own = g_memdup2 (source, sizeof *own);

	g_tree_insert (sm->sources, own, own);
}

static struct sm_source *
source_find (const struct sm *sm, const char *instance, uint64_t incarnation)
{
	struct sm_source probe;

	memset (&probe, 0, sizeof probe);
	g_strlcpy (probe.instance, instance, sizeof probe.instance);
	probe.incarnation = incarnation;
	return g_tree_lookup (sm->sources, &probe);
}

static struct sm_source *
source_get (struct sm *sm, const struct sm_usage *u)
{
	struct sm_source *s = source_find (sm, u->instance, u->incarnation);
	struct sm_source fresh;

	if (s == NULL) {
		memset (&fresh, 0, sizeof fresh);
		g_strlcpy (fresh.instance, u->instance, sizeof fresh.instance);
		fresh.incarnation = u->incarnation;
		sm_usage_put_source (sm, &fresh);
		s = source_find (sm, u->instance, u->incarnation);
	}
	s->heard_ms = sm->clock_ms;
	return s;
}

void
sm_usage_put_counter (struct sm *sm, const void *counter)
{
	struct sm_counter *own = g_memdup2 (counter, sizeof *own);

	g_tree_insert (sm->counters, own, own);
}

void
sm_usage_put_late (struct sm *sm, const void *late)
{
	struct sm_late *own = g_memdup2 (late, sizeof *own);

	g_tree_insert (sm->late, own, own);
}

void
sm_usage_put_window (struct sm *sm, const void *window)
{
	const struct sm_window *w = window;
	struct sm_window *own = g_memdup2 (w, sizeof *w);

	if (w->figures.count > 0)
		own->figures.items = g_memdup2 (
			w->figures.items,
			w->figures.count * sizeof (struct sm_figure));
	else
		own->figures.items = NULL;
	g_queue_push_tail (&sm->windows, own);
}

static void
late_add (struct sm *sm, const struct sm_usage_row *row,
	  const struct sm_counts *gain)
{
	struct sm_late probe, *l;

	memset (&probe, 0, sizeof probe);
	g_strlcpy (probe.account, row->account, sizeof probe.account);
	g_strlcpy (probe.klass, row->klass, sizeof probe.klass);
	l = g_tree_lookup (sm->late, &probe);
	if (l == NULL) {
		sm_usage_put_late (sm, &probe);
		l = g_tree_lookup (sm->late, &probe);
	}
	counts_add (&l->n, gain);
}

static void
row_merge (struct sm *sm, const struct sm_usage *u,
	   const struct sm_usage_row *row)
{
	struct sm_counts gain = {0};
	struct sm_counter probe, *c;

	memset (&probe, 0, sizeof probe);
	g_strlcpy (probe.instance, u->instance, sizeof probe.instance);
	probe.incarnation = u->incarnation;
	probe.row = *row;
	memset (&probe.row.n, 0, sizeof probe.row.n);
	c = g_tree_lookup (sm->counters, &probe);
	if (c == NULL) {
		sm_usage_put_counter (sm, &probe);
		c = g_tree_lookup (sm->counters, &probe);
	}
	counts_raise (&c->row.n, &row->n, &gain);
	if (row->window_ms <= sm->sealed_through &&
	    memcmp (&gain, &(struct sm_counts){0}, sizeof gain) != 0)
		late_add (sm, row, &gain);
}

void
sm_usage_apply (struct sm *sm, const struct sm_usage *u, struct sm_reply *r)
{
	const struct sm_usage_row *rows = u->rows.items;
	struct sm_source *src;

	if (u->instance[0] == '\0') {
		sm_refuse (r, ERR_BAD_REQUEST, "usage without an instance");
		return;
	}
	sm_saw_instance (sm, u->instance, u->incarnation);
	/* All or nothing, so that the sender may simply send it again. */
	if ((uint64_t)g_tree_nnodes (sm->counters) + u->rows.count >
	    SM_USAGE_ROWS) {
		sm_refuse (r, ERR_FULL, "%u usage counters are kept",
			   SM_USAGE_ROWS);
		return;
	}
	src = source_get (sm, u);
	for (uint32_t i = 0; i < u->rows.count; i++) {
		if (rows[i].window_ms < src->closed_before_ms)
			continue; /* a repeat */
		if (rows[i].window_ms < sm->dropped_before)
			r->dropped++;
		else
			row_merge (sm, u, &rows[i]);
	}
	src->closed_before_ms =
		MAX (src->closed_before_ms, u->closed_before_ms);
}

static gboolean
first_unsealed (gpointer key, gpointer value, gpointer data)
{
	const struct sm_counter *c = key;
	struct sm_counter *out = data;

	(void)value;
	/* out->incarnation carries sealed_through in. */
	if (c->row.window_ms <= out->incarnation)
		return FALSE;
	out->row.window_ms = c->row.window_ms;
	return TRUE;
}

uint64_t
sm_window_open (const struct sm *sm)
{
	struct sm_counter out = {.incarnation = sm->sealed_through};

	g_tree_foreach (sm->counters, first_unsealed, &out);
	return out.row.window_ms;
}

uint64_t
sm_sealed_through (const struct sm *sm)
{
	return sm->sealed_through;
}

bool
sm_late_pending (const struct sm *sm)
{
	return g_tree_nnodes (sm->late) > 0;
}

const struct sm_window *
sm_window_find (const struct sm *sm, uint64_t window_ms)
{
	for (const GList *l = sm->windows.tail; l != NULL; l = l->prev) {
		const struct sm_window *w = l->data;

		if (w->window_ms == window_ms)
			return w;
	}
	return NULL;
}

void
sm_windows (const struct sm *sm, GPtrArray *out)
{
	for (const GList *l = sm->windows.head; l != NULL; l = l->next)
		g_ptr_array_add (out, l->data);
}

/* What a walk over a tree found to remove. */
struct trim {
	struct sm *sm;
	GPtrArray *keys;
};

/* Gathers one window's figures out of the sorted counters. */
struct gather {
	uint64_t window_ms;
	GArray *figures;
};

static struct sm_figure *
figure_get (GArray *figures, const char *account, const char *klass)
{
	struct sm_figure *last, fresh;

	if (figures->len > 0) {
		last = &g_array_index (figures, struct sm_figure,
				       figures->len - 1);
		if (strcmp (last->account, account) == 0 &&
		    strcmp (last->klass, klass) == 0)
			return last;
	}
	memset (&fresh, 0, sizeof fresh);
	g_strlcpy (fresh.account, account, sizeof fresh.account);
	g_strlcpy (fresh.klass, klass, sizeof fresh.klass);
	g_array_append_val (figures, fresh);
	return &g_array_index (figures, struct sm_figure, figures->len - 1);
}

static gboolean
gather_counter (gpointer key, gpointer value, gpointer data)
{
	const struct sm_counter *c = key;
	struct gather *g = data;

	(void)value;
	if (c->row.window_ms == g->window_ms)
		counts_add (
			&figure_get (g->figures, c->row.account, c->row.klass)
				 ->n,
			&c->row.n);
	return c->row.window_ms > g->window_ms;
}

static gboolean
gather_late (gpointer key, gpointer value, gpointer data)
{
	const struct sm_late *l = key;
	GArray *figures = data;

	(void)value;
	for (guint i = 0; i < figures->len; i++) {
		struct sm_figure *f =
			&g_array_index (figures, struct sm_figure, i);

		if (strcmp (f->account, l->account) == 0 &&
		    strcmp (f->klass, l->klass) == 0) {
			f->late = l->n;
			return FALSE;
		}
	}
	figure_get (figures, l->account, l->klass)->late = l->n;
	return FALSE;
}

static gboolean
collect_old (gpointer key, gpointer value, gpointer data)
{
	const struct sm_counter *c = key;
	const struct sm_source *src;
	struct trim *t = data;

	(void)value;
	if (c->row.window_ms > t->sm->sealed_through)
		return TRUE;
	src = source_find (t->sm, c->instance, c->incarnation);
	if (c->row.window_ms < t->sm->dropped_before ||
	    (src != NULL && c->row.window_ms < src->closed_before_ms))
		g_ptr_array_add (t->keys, key);
	return FALSE;
}

static gboolean
collect_silent (gpointer key, gpointer value, gpointer data)
{
	const struct sm_source *src = key;
	struct trim *t = data;

	(void)value;
	if (src->heard_ms + SM_SOURCE_KEEP_MS < t->sm->clock_ms)
		g_ptr_array_add (t->keys, key);
	return FALSE;
}

static void
trim_tree (struct sm *sm, GTree *tree, GTraverseFunc collect)
{
	struct trim t = {.sm = sm, .keys = g_ptr_array_new ()};

	g_tree_foreach (tree, collect, &t);
	for (guint i = 0; i < t.keys->len; i++)
		g_tree_remove (tree, g_ptr_array_index (t.keys, i));
	g_ptr_array_free (t.keys, TRUE);
}

/*
 * A sealed window's counters serve only to tell late counts from repeats, so
 * they go once their source has closed the window, or after SM_LATE_KEEP_MS.
 */
static void
usage_trim (struct sm *sm, uint32_t length_ms)
{
	uint64_t keep_ms = MAX (SM_LATE_KEEP_MS, 2 * (uint64_t)length_ms);

	if (sm->sealed_through > keep_ms)
		sm->dropped_before =
			MAX (sm->dropped_before, sm->sealed_through - keep_ms);
	trim_tree (sm, sm->counters, collect_old);
	trim_tree (sm, sm->sources, collect_silent);
	while (g_queue_get_length (&sm->windows) > SM_WINDOWS_KEPT &&
	       ((struct sm_window *)sm->windows.head->data)->reported)
		window_free (g_queue_pop_head (&sm->windows));
}

static void
seal_window (struct sm *sm, const struct sm_seal *s)
{
	struct gather g = {
		.window_ms = s->window_ms,
		.figures =
			g_array_new (FALSE, FALSE, sizeof (struct sm_figure)),
	};
	struct sm_window *w = g_new0 (struct sm_window, 1);

	g_tree_foreach (sm->counters, gather_counter, &g);
	g_tree_foreach (sm->late, gather_late, g.figures);
	g_tree_remove_all (sm->late);
	w->window_ms = s->window_ms;
	w->length_ms = s->length_ms;
	g_strlcpy (w->report_id, s->report_id, sizeof w->report_id);
	w->sealed_ms = s->wall_ms;
	w->figures.count = g.figures->len;
	w->figures.items = g_array_free (g.figures, FALSE);
	g_queue_push_tail (&sm->windows, w);
	sm->sealed_through = s->window_ms;
	usage_trim (sm, s->length_ms);
}

void
sm_usage_seal (struct sm *sm, const struct sm_seal *s, struct sm_reply *r)
{
	uint64_t open = sm_window_open (sm);

	if (s->window_ms == 0 || s->report_id[0] == '\0') {
		sm_refuse (r, ERR_BAD_REQUEST, "seal without window or id");
		return;
	}
	/* Sealed before: its figures and its report id stand. */
	if (sm_window_find (sm, s->window_ms) != NULL)
		return;
	if (s->window_ms <= sm->sealed_through)
		sm_refuse (r, ERR_CONFLICT, "window %lu: a later one is sealed",
			   (unsigned long)s->window_ms);
	else if (open != 0 && open < s->window_ms)
		sm_refuse (r, ERR_CONFLICT, "window %lu: seal %lu first",
			   (unsigned long)s->window_ms, (unsigned long)open);
	else
		seal_window (sm, s);
}

void
sm_usage_reported (struct sm *sm, const struct sm_reported *p,
		   struct sm_reply *r)
{
	struct sm_window *w =
		(struct sm_window *)sm_window_find (sm, p->window_ms);

	if (w == NULL) {
		sm_refuse (r, ERR_NOT_FOUND, "window %lu: not sealed",
			   (unsigned long)p->window_ms);
		return;
	}
	if (strcmp (w->report_id, p->report_id) != 0) {
		sm_refuse (r, ERR_CONFLICT, "window %lu: report id is %s",
			   (unsigned long)p->window_ms, w->report_id);
		return;
	}
	if (!w->reported) {
		w->reported = true;
		w->reported_ms = p->wall_ms;
	}
}
