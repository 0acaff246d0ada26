/*
 * The platform's list of endpoints.  The leader reads it for all; a member
 * that hears no leader reads it for those that are cut off with it.
 */
#include <string.h>

#include <xxhash.h>

#include "groupd.h"

/* Between two readings: an endpoint that leaves must get nothing new within a
 * few seconds, and each call is paid for. */
#define PAUSE_MS 700

/* Names the contents, whatever order they come in and how cold they are. */
static uint64_t
stamp_of (const GArray *list)
{
	uint64_t sum = 1;

	for (guint i = 0; i < list->len; i++) {
		struct fleet_info info =
			g_array_index (list, struct fleet_info, i);

		info.cold_ms = info.cold_ms > 0;
		sum += XXH64 (&info, sizeof info, 1);
	}
	return sum;
}

static void
on_read (GArray *list, uint32_t skipped, void *ctx)
{
	struct group *g = ctx;
	struct lister *l = &g->lister;
	uint64_t stamp = stamp_of (list);

	if (skipped > 0)
		log_event (LOG_LV_WARN, "list-entries", "skipped=%u", skipped);
	if (l->list != NULL)
		g_array_free (l->list, TRUE);
	l->list = list;
	l->list_ms = l->reader.begun_ms;
	g->lists++;
	if (stamp == l->stamp)
		return;
	log_event (LOG_LV_INFO, "list",
		   "endpoints=%u stamp=%016" G_GINT64_MODIFIER
		   "x age_ms=%" G_GUINT64_FORMAT,
		   list->len, stamp, tmr_now_ms () - l->list_ms);
	l->stamp = stamp;
	peer_tell_list (g);
}

static void
on_failed (const char *why, void *ctx)
{
	struct group *g = ctx;

	g->list_errors++;
	log_event (LOG_LV_WARN, "list", "why=\"%s\"", why);
}

static const struct epl_ops list_ops = {on_read, on_failed};

void
cloud_init (struct group *g)
{
	struct sockaddr_in addr;

	link_addr_parse (g->set.platform, &addr, NULL);
	h1cli_host_init (&g->cloud, g->d.loop, &addr, g->peer_addr.sin_addr);
	epl_init (&g->lister.reader, &g->cloud, g->dialect, &list_ops, g);
}

void
cloud_finish (struct group *g)
{
	epl_finish (&g->lister.reader);
	h1cli_host_finish (&g->cloud);
	if (g->lister.list != NULL)
		g_array_free (g->lister.list, TRUE);
}

void
cloud_tick (struct group *g, uint64_t now_ms)
{
	struct lister *l = &g->lister;

	epl_tick (&l->reader, now_ms);
	if (epl_runs (&l->reader) || now_ms < l->next_ms ||
	    (!group_leads (g) && group_is_fresh (g)))
		return;
	l->next_ms = now_ms + PAUSE_MS;
	epl_start (&l->reader, now_ms);
}
