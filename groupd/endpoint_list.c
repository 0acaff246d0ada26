/*
 * The platform's list of endpoints.  The leader reads it for all; a member
 * that hears no leader reads it for those that are cut off with it.
 */
#include <string.h>

#include "groupd.h"

/* Between two readings: an endpoint that leaves must get nothing new within a
 * few seconds, and each call is paid for. */
#define PAUSE_MS 700

/* An id that is listed twice counts once, the first time. */
static void
drop_doubles (GArray *list)
{
	GHashTable *seen =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	guint kept = 0;

	for (guint i = 0; i < list->len; i++) {
		struct fleet_info info =
			g_array_index (list, struct fleet_info, i);

		if (!g_hash_table_add (seen, g_strdup (info.id)))
			continue;
		g_array_index (list, struct fleet_info, kept++) = info;
	}
	if (kept < list->len)
		log_event (LOG_LV_WARN, "list-entries", "doubles=%u",
			   list->len - kept);
	g_array_set_size (list, kept);
	g_hash_table_destroy (seen);
}

static void
note_changes (struct lister *l, GArray *list)
{
	g_array_set_size (l->changed, 0);
	g_array_set_size (l->gone, 0);
	l->base = l->stamp;
	if (l->list != NULL)
		fleet_list_diff (l->list, list, l->changed, l->gone);
}

/* Take @list, which is ours from now on. */
static void
list_put (struct group *g, GArray *list, uint64_t read_ms, const char *from)
{
	struct lister *l = &g->lister;
	uint64_t stamp =
		fleet_list_digest ((struct fleet_info *)list->data, list->len);
	bool same = stamp == l->stamp;

	if (!same)
		note_changes (l, list);
	if (l->list != NULL)
		g_array_free (l->list, TRUE);
	l->list = list;
	l->list_ms = read_ms;
	if (same)
		return;
	l->stamp = stamp;
	if (l->base == 0)
		g->changed = true; /* relays wait for the first one */
	log_event (LOG_LV_INFO, "list",
		   "from=%s endpoints=%u stamp=%016" G_GINT64_MODIFIER
		   "x changed=%u gone=%u age_ms=%" G_GUINT64_FORMAT,
		   from, list->len, stamp, l->changed->len, l->gone->len,
		   tmr_now_ms () - read_ms);
	peer_tell_list (g);
}

static void
on_read (GArray *list, uint32_t skipped, void *ctx)
{
	struct group *g = ctx;

	drop_doubles (list);
	if (skipped > 0)
		log_event (LOG_LV_WARN, "list-entries", "skipped=%u", skipped);
	g->lists++;
	list_put (g, list, g->lister.reader.started_ms, "platform");
}

/* A list, or changes, that the leader tells; false where they are changes of
 * another list than ours. */
bool
cloud_take (struct group *g, const struct gmsg_list *m, uint64_t now_ms)
{
	struct lister *l = &g->lister;
	uint64_t read_ms = now_ms - MIN (m->age_ms, now_ms);
	GArray *list;

	if (m->digest == l->stamp)
		l->list_ms = MAX (l->list_ms, read_ms);
	if (read_ms <= l->list_ms)
		return true;
	if (m->base_digest != 0 &&
	    (l->list == NULL || m->base_digest != l->stamp))
		return false;
	if (m->base_digest == 0) {
		list = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
		g_array_append_vals (list, m->entries.items, m->entries.count);
	} else {
		list = fleet_list_apply (l->list, m->entries.items,
					 m->entries.count, m->removed.items,
					 m->removed.count);
	}
	list_put (g, list, read_ms, "leader");
	return l->stamp == m->digest;
}

static void
on_failed (const char *why, void *ctx)
{
	struct group *g = ctx;

	g->list_errors++;
	log_event (LOG_LV_WARN, "list", "why=\"%s\"", why);
}

static const struct eplist_ops list_ops = {on_read, on_failed};

void
cloud_init (struct group *g)
{
	struct sockaddr_in addr;

	link_addr_parse (g->set.platform, &addr, NULL);
	h1cli_host_init (&g->cloud, g->d.loop, &addr, g->peer_addr.sin_addr);
	g->lister.changed =
		g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	g->lister.gone = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	eplist_init (&g->lister.reader, &g->cloud, g->dialect, &list_ops, g);
	g->lister.reader.retry_rate_limited = true;
}

void
cloud_finish (struct group *g)
{
	eplist_finish (&g->lister.reader);
	h1cli_host_finish (&g->cloud);
	g_array_free (g->lister.changed, TRUE);
	g_array_free (g->lister.gone, TRUE);
	if (g->lister.list != NULL)
		g_array_free (g->lister.list, TRUE);
}

/* A list of thousands takes many calls. */
uint32_t
cloud_pause_ms (const struct group *g)
{
	return (uint32_t)eplist_interval_ms (&g->lister.reader, PAUSE_MS,
					     g->set.platform_calls_per_s);
}

void
cloud_tick (struct group *g, uint64_t now_ms)
{
	struct lister *l = &g->lister;

	eplist_tick (&l->reader, now_ms);
	/* The calls are the leader's from the moment that there is one. */
	if (eplist_is_running (&l->reader) && !group_leads (g) &&
	    group_is_fresh (g))
		eplist_cancel (&l->reader);
	if (eplist_is_running (&l->reader) || now_ms < l->next_ms ||
	    (!group_leads (g) && group_is_fresh (g)))
		return;
	l->next_ms = now_ms + cloud_pause_ms (g);
	eplist_start (&l->reader, now_ms);
}
