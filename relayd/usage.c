/*
 * What client accounts used: requests that began, by window of the wall
 * clock.  Totals are told again until a window is sealed, so that a report
 * that is lost, or told twice, changes nothing.
 */
#include <string.h>

#include "relayd.h"

/* Between two reports; a window is sealed seconds after its end. */
#define REPORT_MS 700

static void
window_free (void *data)
{
	struct window *w = data;

	g_hash_table_destroy (w->counts);
	g_free (w);
}

void
usage_init (struct relay *r)
{
	r->windows = g_ptr_array_new_with_free_func (window_free);
}

void
usage_finish (struct relay *r)
{
	g_ptr_array_free (r->windows, TRUE);
}

static struct window *
window_get (struct relay *r, uint64_t number)
{
	struct window *w;

	for (guint i = 0; i < r->windows->len; i++) {
		w = g_ptr_array_index (r->windows, i);
		if (w->number == number)
			return w;
	}
	w = g_new0 (struct window, 1);
	w->number = number;
	w->counts =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add (r->windows, w);
	return w;
}

void
usage_count (struct relay *r, const char *account)
{
	struct window *w = window_get (
		r,
		relay_wall_ms (r) / (uint64_t)(r->set.usage_window_s * 1000));
	uint64_t *n = g_hash_table_lookup (w->counts, account);

	if (n == NULL) {
		n = g_new0 (uint64_t, 1);
		g_hash_table_insert (w->counts, g_strdup (account), n);
	}
	(*n)++;
}

static GArray *
window_counts (const struct window *w)
{
	GArray *list = g_array_new (FALSE, TRUE, sizeof (struct gstate_count));
	GHashTableIter it;
	void *name, *n;

	g_hash_table_iter_init (&it, w->counts);
	while (g_hash_table_iter_next (&it, &name, &n)) {
		struct gstate_count c = {.requests = *(uint64_t *)n};

		g_strlcpy (c.account, name, sizeof c.account);
		g_array_append_val (list, c);
	}
	return list;
}

static void
report (struct relay *r, struct link *to)
{
	struct gstate_window list[GMSG_WINDOWS_MAX];
	GArray *counts[GMSG_WINDOWS_MAX];
	struct gmsg_report m = {.windows = {list, 0}};

	for (guint i = 0; i < r->windows->len && i < GMSG_WINDOWS_MAX; i++) {
		struct window *w = g_ptr_array_index (r->windows, i);

		counts[i] = window_counts (w);
		list[i] = (struct gstate_window){
			.number = w->number,
			.counts = {counts[i]->data, counts[i]->len}};
		m.windows.count++;
	}
	link_send (to, FRAME_GROUP_REPORT, gmsg_report_fields, &m);
	for (uint32_t i = 0; i < m.windows.count; i++)
		g_array_free (counts[i], TRUE);
}

void
usage_tick (struct relay *r, uint64_t now_ms)
{
	if (now_ms - r->reported_ms < REPORT_MS)
		return;
	r->reported_ms = now_ms;
	for (guint i = r->windows->len; i > 0; i--) {
		struct window *w = g_ptr_array_index (r->windows, i - 1);

		if (w->number <= r->sealed)
			g_ptr_array_remove_index (r->windows, i - 1);
	}
	if (r->windows->len == 0)
		return;
	for (guint i = 0; i < r->members->len; i++) {
		struct member *m = g_ptr_array_index (r->members, i);

		if (m->leads && link_is_up (m->link))
			report (r, m->link);
	}
}
