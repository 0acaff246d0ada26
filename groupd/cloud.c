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

#define CONNECT_MS 500
#define ANSWER_MS 3000
#define BODY_MAX_BYTES (8U << 20)

static void fetch (struct group *g, const char *token);

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	(void)echoed;
	g->lister.status = h->status;
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	if (g->lister.body->len + len <= BODY_MAX_BYTES)
		g_string_append_len (g->lister.body, data, (gssize)len);
}

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
list_done (struct group *g)
{
	struct lister *l = &g->lister;
	uint64_t stamp = stamp_of (l->pages);

	if (l->list != NULL)
		g_array_free (l->list, TRUE);
	l->list = l->pages;
	l->pages = NULL;
	l->list_ms = l->begun_ms;
	g->lists++;
	if (stamp == l->stamp)
		return;
	log_event (LOG_LV_INFO, "list",
		   "endpoints=%u stamp=%016" G_GINT64_MODIFIER
		   "x age_ms=%" G_GUINT64_FORMAT,
		   l->list->len, stamp, tmr_now_ms () - l->list_ms);
	l->stamp = stamp;
	peer_tell_list (g);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct group *g = ctx;
	struct lister *l = &g->lister;
	struct err e = {0};
	char *next = NULL;
	uint32_t skipped = 0;

	(void)x;
	l->call = NULL;
	if (end != H1CLI_WHOLE || l->status != 200)
		err_set (&e, ERR_IO, "status %d, end %d", l->status, end);
	else
		g->dialect->list (l->body->str, l->body->len, l->pages, &next,
				  &skipped, &e);
	if (skipped > 0)
		log_event (LOG_LV_WARN, "list-entries", "skipped=%u", skipped);
	if (e.kind != ERR_NONE) {
		g->list_errors++;
		log_event (LOG_LV_WARN, "list", "why=\"%s\"", e.msg);
	} else if (next != NULL) {
		fetch (g, next);
	} else {
		list_done (g);
	}
	g_free (next);
}

static const struct h1cli_ops list_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static void
fetch (struct group *g, const char *token)
{
	char *path = g->dialect->list_path (token);
	char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: platform\r\n"
				      "\r\n",
				      path);
	struct h1cli_req req = {.bytes = text,
				.len = strlen (text),
				.idle_max_ms = ANSWER_MS,
				.connect_ms = CONNECT_MS,
				.limits = {.user_timeout_ms = ANSWER_MS}};

	g->lister.status = 0;
	g_string_truncate (g->lister.body, 0);
	g->lister.call = h1cli_start (&g->cloud, &req, &list_ops, g);
	g_free (text);
	g_free (path);
}

void
cloud_init (struct group *g)
{
	struct sockaddr_in addr;

	link_addr_parse (g->set.platform, &addr, NULL);
	h1cli_host_init (&g->cloud, g->d.loop, &addr, g->peer_addr.sin_addr);
	g->lister.body = g_string_new (NULL);
}

void
cloud_finish (struct group *g)
{
	h1cli_host_finish (&g->cloud);
	g_string_free (g->lister.body, TRUE);
	if (g->lister.pages != NULL)
		g_array_free (g->lister.pages, TRUE);
	if (g->lister.list != NULL)
		g_array_free (g->lister.list, TRUE);
}

void
cloud_tick (struct group *g, uint64_t now_ms)
{
	struct lister *l = &g->lister;

	if (l->call != NULL && now_ms - l->begun_ms > ANSWER_MS) {
		h1cli_cancel (l->call);
		l->call = NULL;
		g->list_errors++;
		log_event (LOG_LV_WARN, "list", "why=\"no answer\"");
	}
	if (l->call != NULL || now_ms < l->next_ms ||
	    (!group_leads (g) && group_is_fresh (g)))
		return;
	l->begun_ms = now_ms;
	l->next_ms = now_ms + PAUSE_MS;
	if (l->pages != NULL)
		g_array_free (l->pages, TRUE);
	l->pages = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	fetch (g, NULL);
}
