/*
 * Requests by usage window and client account: counts and sums.
 */
#include <string.h>

#include "wincount.h"

/* One usage window of a relay. */
struct wincount_window {
	uint64_t number;
	GHashTable *counts; /* account to struct count */
};

/* Requests of one account in one window. */
struct count {
	uint64_t requests;
	uint64_t change_seq; /* wincount.change_seq at the last change */
};

static void
window_free (void *data)
{
	struct wincount_window *x = data;

	g_hash_table_destroy (x->counts);
	g_free (x);
}

void
wincount_init (struct wincount *w)
{
	*w = (struct wincount){0};
	w->windows = g_ptr_array_new_with_free_func (window_free);
}

void
wincount_finish (struct wincount *w)
{
	g_ptr_array_free (w->windows, TRUE);
}

static struct wincount_window *
window_get (struct wincount *w, uint64_t number)
{
	struct wincount_window *x;

	for (guint i = 0; i < w->windows->len; i++) {
		x = g_ptr_array_index (w->windows, i);
		if (x->number == number)
			return x;
	}
	x = g_new0 (struct wincount_window, 1);
	x->number = number;
	x->counts =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add (w->windows, x);
	return x;
}

void
wincount_add (struct wincount *w, uint64_t number, const char *account)
{
	struct wincount_window *x = window_get (w, number);
	struct count *c = g_hash_table_lookup (x->counts, account);

	if (c == NULL) {
		c = g_new0 (struct count, 1);
		g_hash_table_insert (x->counts, g_strdup (account), c);
	}
	c->requests++;
	c->change_seq = ++w->change_seq;
}

void
wincount_drop (struct wincount *w, uint64_t sealed)
{
	for (guint i = w->windows->len; i > 0; i--) {
		const struct wincount_window *x =
			g_ptr_array_index (w->windows, i - 1);

		if (x->number <= sealed)
			g_ptr_array_remove_index (w->windows, i - 1);
	}
}

/* Counts of the accounts that changed after @reported, an array of struct
 * gstate_count. */
static GArray *
changed_counts (const struct wincount_window *x, uint64_t reported)
{
	GArray *list = g_array_new (FALSE, TRUE, sizeof (struct gstate_count));
	GHashTableIter it;
	void *name, *value;

	g_hash_table_iter_init (&it, x->counts);
	while (g_hash_table_iter_next (&it, &name, &value)) {
		const struct count *n = value;
		struct gstate_count c = {name, n->requests};

		if (n->change_seq <= reported)
			continue;
		g_array_append_val (list, c);
	}
	return list;
}

/*
 * Send one report on the windows from index @from on.  Clears @sent when it
 * could not be sent.  Returns the index after the last window in it.
 */
static guint
report_from (const struct wincount *w, guint from, uint64_t reported,
	     wincount_send_fn send, void *ctx, bool *sent)
{
	struct gstate_window list[GMSG_WINDOWS_MAX];
	GArray *counts[GMSG_WINDOWS_MAX] = {0};
	struct gmsg_report m = {.windows = {list, 0}, .delta = reported > 0};
	guint at;

	for (at = from;
	     at < w->windows->len && m.windows.count < GMSG_WINDOWS_MAX; at++) {
		const struct wincount_window *x =
			g_ptr_array_index (w->windows, at);
		GArray *c = changed_counts (x, reported);

		if (c->len == 0) {
			g_array_free (c, TRUE);
			continue;
		}
		list[m.windows.count] = (struct gstate_window){
			.number = x->number, .counts = {c->data, c->len}};
		counts[m.windows.count++] = c;
	}
	if (m.windows.count > 0)
		*sent = send (&m, ctx) && *sent;
	for (uint32_t i = 0; i < m.windows.count; i++)
		g_array_free (counts[i], TRUE);
	return at;
}

void
wincount_report (const struct wincount *w, uint64_t *reported,
		 wincount_send_fn send, void *ctx)
{
	bool sent = true;

	for (guint at = 0; at < w->windows->len && sent;)
		at = report_from (w, at, *reported, send, ctx, &sent);
	*reported = sent ? w->change_seq : 0;
}

/* What one relay reported of one window. */
struct winsum_window {
	uint64_t number;
	GArray *list; /* of struct gstate_count */
};

static void
winsum_window_free (void *data)
{
	struct winsum_window *x = data;

	g_array_free (x->list, TRUE);
	g_free (x);
}

void
winsum_init (struct winsum *s)
{
	*s = (struct winsum){0};
	s->relays = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
					   (GDestroyNotify)g_ptr_array_unref);
}

void
winsum_finish (struct winsum *s)
{
	g_hash_table_destroy (s->relays);
}

static void
count_clear (void *data)
{
	struct gstate_count *c = data;

	g_ref_string_release ((char *)c->account);
}

static struct winsum_window *
sum_window (GPtrArray *windows, uint64_t number)
{
	struct winsum_window *x;

	for (guint i = 0; i < windows->len; i++) {
		x = g_ptr_array_index (windows, i);
		if (x->number == number)
			return x;
	}
	x = g_new0 (struct winsum_window, 1);
	x->number = number;
	x->list = g_array_new (FALSE, TRUE, sizeof (struct gstate_count));
	g_array_set_clear_func (x->list, count_clear);
	g_ptr_array_add (windows, x);
	return x;
}

static void
count_set (GArray *list, const struct gstate_count *to)
{
	struct gstate_count copy = *to;

	for (guint i = 0; i < list->len; i++) {
		struct gstate_count *c =
			&g_array_index (list, struct gstate_count, i);

		if (strcmp (c->account, to->account) == 0) {
			c->requests = to->requests;
			return;
		}
	}
	copy.account = g_ref_string_new_intern (to->account);
	g_array_append_val (list, copy);
}

/* Reports hold totals, so the newest one replaces those before. */
void
winsum_set_report (struct winsum *s, const char *key,
		   const struct gmsg_report *m)
{
	GPtrArray *windows = g_hash_table_lookup (s->relays, key);
	const struct gstate_window *w = m->windows.items;

	if (windows == NULL) {
		windows = g_ptr_array_new_with_free_func (winsum_window_free);
		g_hash_table_insert (s->relays, g_strdup (key), windows);
	}
	for (uint32_t i = 0; i < m->windows.count; i++) {
		const struct gstate_count *c = w[i].counts.items;
		struct winsum_window *x;

		if (w[i].number <= s->sealed)
			continue;
		x = sum_window (windows, w[i].number);
		if (!m->delta)
			g_array_set_size (x->list, 0);
		for (uint32_t k = 0; k < w[i].counts.count; k++)
			count_set (x->list, &c[k]);
	}
}

void
winsum_drop (struct winsum *s, uint64_t sealed)
{
	GHashTableIter it;
	void *value;

	if (s->sealed == sealed)
		return;
	s->sealed = sealed;
	g_hash_table_iter_init (&it, s->relays);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		GPtrArray *windows = value;

		for (guint i = windows->len; i > 0; i--) {
			const struct winsum_window *x =
				g_ptr_array_index (windows, i - 1);

			if (x->number <= sealed)
				g_ptr_array_remove_index_fast (windows, i - 1);
		}
		if (windows->len == 0)
			g_hash_table_iter_remove (&it);
	}
}

/* Add @list to @sum.  @index maps an account to its index in @sum plus one. */
static void
add_counts (GArray *sum, GHashTable *index, const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		const struct gstate_count *c =
			&g_array_index (list, struct gstate_count, i);
		guint at = GPOINTER_TO_UINT (
			g_hash_table_lookup (index, c->account));

		if (at > 0) {
			g_array_index (sum, struct gstate_count, at - 1)
				.requests += c->requests;
			continue;
		}
		g_array_append_val (sum, *c);
		g_hash_table_insert (index, (char *)c->account,
				     GUINT_TO_POINTER (sum->len));
	}
}

GArray *
winsum_total (const struct winsum *s, uint64_t number)
{
	GArray *sum = g_array_new (FALSE, TRUE, sizeof (struct gstate_count));
	GHashTable *index = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, s->relays);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const GPtrArray *windows = value;

		for (guint i = 0; i < windows->len; i++) {
			const struct winsum_window *x =
				g_ptr_array_index (windows, i);

			if (x->number == number)
				add_counts (sum, index, x->list);
		}
	}
	g_hash_table_destroy (index);
	return sum;
}
