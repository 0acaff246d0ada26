/*
 * The platform's list of endpoints.  The leader reads it for the whole group; a
 * member that hears no leader reads it for the relays that are partitioned from
 * the leader together with it.
 */
#include <string.h>

#include "groupd.h"

/* Least time between two reads.  An endpoint that leaves must get no new
 * requests after a few seconds, and each call to the platform is paid for. */
#define READ_INTERVAL_MS 700

/* Computes the delta from the list held to @list. */
static void
set_delta (struct endpoint_list *l, GArray *list)
{
	g_array_set_size (l->changed, 0);
	g_array_set_size (l->removed, 0);
	l->base_digest = l->digest;
	if (l->list != NULL)
		fleet_list_diff (l->list, list, l->changed, l->removed);
}

/* Replaces the list by @list, and takes ownership of it. */
static void
replace_list (struct group *g, GArray *list, uint64_t read_ms, const char *from)
{
	struct endpoint_list *l = &g->endpoints;
	uint64_t digest =
		fleet_list_digest ((struct fleet_info *)list->data, list->len);
	bool same = digest == l->digest;

	if (!same)
		set_delta (l, list);
	if (l->list != NULL)
		g_array_free (l->list, TRUE);
	l->list = list;
	l->read_ms = read_ms;
	if (same)
		return;
	l->digest = digest;
	if (l->base_digest == 0)
		g->state_changed = true; /* relays wait for the first list */
	log_event (LOG_LV_INFO, "list",
		   "from=%s endpoints=%u digest=%016" G_GINT64_MODIFIER
		   "x changed=%u removed=%u age_ms=%" G_GUINT64_FORMAT,
		   from, list->len, digest, l->changed->len, l->removed->len,
		   tmr_now_ms () - read_ms);
	peer_send_list_delta (g);
}

static void
on_read (GArray *list, uint32_t skipped, void *ctx)
{
	struct group *g = ctx;

	(void)skipped; /* logged by the reader */
	g->lists++;
	replace_list (g, list, g->endpoints.reader.started_ms, "platform");
}

bool
endpoint_list_receive (struct group *g, const struct gmsg_list *m,
		       uint64_t now_ms)
{
	struct endpoint_list *l = &g->endpoints;
	uint64_t read_ms = now_ms - MIN (m->age_ms, now_ms);
	GArray *list;

	if (m->digest == l->digest)
		l->read_ms = MAX (l->read_ms, read_ms);
	if (read_ms <= l->read_ms)
		return true;
	if (m->base_digest != 0 &&
	    (l->list == NULL || m->base_digest != l->digest))
		return false;
	if (m->base_digest == 0) {
		list = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
		g_array_append_vals (list, m->entries.items, m->entries.count);
	} else {
		list = fleet_list_apply (l->list, m->entries.items,
					 m->entries.count, m->removed.items,
					 m->removed.count);
	}
	replace_list (g, list, read_ms, "leader");
	return l->digest == m->digest;
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
endpoint_list_init (struct group *g)
{
	struct sockaddr_in addr;

	link_addr_parse (g->set.platform, &addr, NULL);
	h1cli_host_init (&g->platform, g->d.loop, &addr, g->peer_addr.sin_addr);
	g->endpoints.changed =
		g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	g->endpoints.removed =
		g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	eplist_init (&g->endpoints.reader, &g->platform, g->dialect, &list_ops,
		     g);
	g->endpoints.reader.retry_rate_limited = true;
}

void
endpoint_list_finish (struct group *g)
{
	eplist_finish (&g->endpoints.reader);
	h1cli_host_finish (&g->platform);
	g_array_free (g->endpoints.changed, TRUE);
	g_array_free (g->endpoints.removed, TRUE);
	if (g->endpoints.list != NULL)
		g_array_free (g->endpoints.list, TRUE);
}

/* The interval grows with the list: thousands of endpoints take many calls. */
uint32_t
endpoint_list_interval_ms (const struct group *g)
{
	return (uint32_t)eplist_interval_ms (&g->endpoints.reader,
					     READ_INTERVAL_MS,
					     g->set.platform_calls_per_s);
}

void
endpoint_list_tick (struct group *g, uint64_t now_ms)
{
	struct endpoint_list *l = &g->endpoints;

	eplist_tick (&l->reader, now_ms);
	/* Once there is a leader, it alone calls the platform. */
	if (eplist_is_running (&l->reader) && !group_is_leader (g) &&
	    group_has_leader (g))
		eplist_cancel (&l->reader);
	if (eplist_is_running (&l->reader) || now_ms < l->next_read_ms ||
	    (!group_is_leader (g) && group_has_leader (g)))
		return;
	l->next_read_ms = now_ms + endpoint_list_interval_ms (g);
	eplist_start (&l->reader, now_ms);
}
