/*
 * Endpoints: their connections, health checks of suspect ones, and reading the
 * endpoint list from the platform while no member of the group provides it.
 */
#include <string.h>

#include "fleet_pace.h"
#include "relayd.h"

/* Limits of a health check: for its connection, and for the answer. */
#define PROBE_CONNECT_TIMEOUT_MS 300
#define PROBE_TIMEOUT_MS 700

/* Check interval for health checks that are due; a fraction of the delay before
 * the first health check of an endpoint. */
#define PROBE_CHECK_MS 60

/* How long a list from a member may be overdue, beyond the interval at which
 * the group reads it, before this relay reads the list itself. */
#define LIST_OVERDUE_MS 800
/* Lower bound of the interval at which the group reads the list. */
#define LIST_INTERVAL_MIN_MS 700

/* LIST_OVERDUE_MS while a member is linked: it may be starting, or reading a
 * list of many pages. */
#define LIST_OVERDUE_LINKED_MS 2500

/* Upper limit of the exponential backoff after rate limited readings, as they
 * occur when hundreds of relays lose their group at once. */
#define OWN_LIST_BACKOFF_MAX_MS 60000
/* Shortest interval between readings by this relay. */
#define OWN_LIST_INTERVAL_MIN_MS 1000

static void
on_ep_added (struct fleet_ep *ep, void *ctx)
{
	struct relay *r = ctx;
	struct upstream *u = g_new0 (struct upstream, 1);
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct err e = {0};

	u->r = r;
	u->ep = ep;
	ep->owner_data = u;
	/* Our own readers skip invalid entries; a member of another build may
	 * not.  The entry is kept: the digest of the list counts it. */
	if (!fleet_info_check (&ep->info, &e))
		fleet_retire (ep);
	else
		link_addr_parse (ep->info.addr, &addr, NULL);
	h1cli_host_init (&u->host, r->daemon.loop, &addr, r->source_addr);
	u->host.pool = &r->pool;
	if (e.kind != ERR_NONE) {
		log_event (LOG_LV_WARN, "endpoint",
			   "ep_hash=%08x unusable=1 why=\"%s\"", ep->ep_hash,
			   e.msg);
		return;
	}
	log_event (LOG_LV_INFO, "endpoint",
		   "ep=%s addr=%s service=%s domain=%s added=1 cold_ms=%u "
		   "leaving=%d",
		   ep->info.id, ep->info.addr, ep->info.service,
		   ep->info.domain, ep->info.cold_remaining_ms,
		   ep->info.leaving);
}

static void
on_ep_removed (struct fleet_ep *ep, void *ctx)
{
	struct upstream *u = ep->owner_data;

	(void)ctx;
	log_event (LOG_LV_INFO, "endpoint", "ep=%s removed=1", ep->info.id);
	h1cli_host_finish (&u->host);
	g_free (u);
}

const struct fleet_ops upstream_fleet_ops = {
	.added = on_ep_added,
	.removed = on_ep_removed,
};

static void
on_probe_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct upstream *u = ctx;

	(void)x;
	(void)echoed;
	u->probe_status = h->status;
	u->r->dialect->parse_response (h, &u->probe_answer);
	/* A full endpoint rejects probes, and works. */
	fleet_heard (u->ep, tmr_now_ms ());
	u->ep->stalled = false;
}

static void
ignore_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
}

static void
on_probe_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct upstream *u = ctx;
	uint64_t now_ms = tmr_now_ms ();
	bool replaced = u->probe_answer.instance[0] != '\0' &&
			strcmp (u->probe_answer.instance, u->ep->info.id) != 0;
	bool healthy =
		end == H1CLI_WHOLE && u->probe_status == 200 && !replaced;

	(void)x;
	u->probe = NULL;
	log_event (LOG_LV_INFO, "probe",
		   "ep=%s status=%d healthy=%d cold_ms=%u replaced=%d",
		   u->ep->info.id, u->probe_status, healthy,
		   u->probe_answer.cold_ms, replaced);
	if (replaced)
		fleet_retire (u->ep);
	if (healthy && u->probe_answer.cold_ms > 0)
		fleet_set_cold (u->ep, u->probe_answer.cold_ms, now_ms);
	fleet_probed (&u->r->fleet, u->ep,
		      healthy               ? FLEET_PROBE_HEALTHY
		      : end == H1CLI_UNSENT ? FLEET_PROBE_UNREACHED
					    : FLEET_PROBE_UNHEALTHY,
		      now_ms);
	u->r->load_changed = true; /* load reports name suspect endpoints */
}

static const struct h1cli_ops probe_ops = {
	.head = on_probe_head,
	.data = ignore_data,
	.done = on_probe_done,
};

static void
start_probe (struct upstream *u, const char *path, uint64_t now_ms)
{
	char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
				      path, u->ep->info.addr);
	struct h1cli_req req = {
		.bytes = text,
		.len = strlen (text),
		.connect_ms = PROBE_CONNECT_TIMEOUT_MS,
		.limits = {.user_timeout_ms = PROBE_TIMEOUT_MS}};

	h1cli_host_drop_idle (&u->host);
	u->probe_status = 0;
	u->probe_answer = (struct dia_response){0};
	u->probe_started_ms = now_ms;
	u->r->stats.probes++;
	u->probe = h1cli_start (&u->host, &req, &probe_ops, u);
	g_free (text);
}

static void
probe_tick (struct relay *r, struct upstream *u, uint64_t now_ms)
{
	const struct plan_service *s;

	if (u->probe != NULL &&
	    now_ms - u->probe_started_ms > PROBE_TIMEOUT_MS) {
		bool reached = h1cli_sent (u->probe);

		h1cli_cancel (u->probe);
		u->probe = NULL;
		fleet_probed (&u->r->fleet, u->ep,
			      reached ? FLEET_PROBE_UNHEALTHY
				      : FLEET_PROBE_UNREACHED,
			      now_ms);
	}
	if (u->probe != NULL || u->ep->health == FLEET_HEALTHY ||
	    !u->ep->listed || u->ep->leaving || now_ms < u->ep->probe_at_ms ||
	    r->plan == NULL)
		return;
	s = plan_service (r->plan, u->ep->info.service);
	if (s != NULL)
		start_probe (u, s->health_path, now_ms);
}

static void
on_list_read (GArray *list, uint32_t skipped, void *ctx)
{
	struct relay *r = ctx;
	uint64_t now_ms = tmr_now_ms ();

	log_event (LOG_LV_INFO, "platform-list", "endpoints=%u skipped=%u",
		   list->len, skipped);
	fleet_set_list (&r->fleet, (struct fleet_info *)list->data, list->len,
			now_ms, now_ms - r->list_reader.started_ms);
	relay_rollout_list_changed (r, 0);
	r->list_read_ms = r->list_reader.started_ms;
	r->list_digest = 0;
	r->list_backoff_ms = 0;
	g_array_free (list, TRUE);
}

static void
on_list_failed (const char *why, void *ctx)
{
	struct relay *r = ctx;

	if (eplist_rate_limited (&r->list_reader))
		r->list_backoff_ms = MIN (
			MAX (2 * r->list_backoff_ms, OWN_LIST_INTERVAL_MIN_MS),
			OWN_LIST_BACKOFF_MAX_MS);
	log_event (LOG_LV_WARN, "platform-list",
		   "why=\"%s\" backoff_ms=%" G_GUINT64_FORMAT, why,
		   r->list_backoff_ms);
}

static const struct eplist_ops own_list_ops = {on_list_read, on_list_failed};

/* The relays may use half of the platform's rate limit, in equal shares. */
static uint64_t
own_list_interval_ms (struct relay *r)
{
	uint64_t share_ms = (uint64_t)(2000.0 * MAX (r->relay_count, 8) /
				       r->set.platform_calls_per_s);

	return MAX (share_ms, OWN_LIST_INTERVAL_MIN_MS) +
	       (uint64_t)g_rand_int_range (r->rand, 0, 300);
}

static bool
any_member_linked (const struct relay *r)
{
	for (guint i = 0; i < r->members->len; i++) {
		const struct group_member *m =
			g_ptr_array_index (r->members, i);

		if (link_is_up (m->link))
			return true;
	}
	return false;
}

static void
own_list_tick (struct relay *r, uint64_t now_ms)
{
	uint64_t since_ms = MAX (r->list_read_ms, r->started_ms);
	uint64_t interval_ms =
		MAX (r->group_list_interval_ms, LIST_INTERVAL_MIN_MS);

	eplist_tick (&r->list_reader, now_ms);
	if (eplist_is_running (&r->list_reader) || now_ms < r->list_next_ms ||
	    now_ms < since_ms + interval_ms + LIST_OVERDUE_MS)
		return;
	/* A linked member reads the list for all relays. */
	if (any_member_linked (r) &&
	    now_ms < since_ms + interval_ms + LIST_OVERDUE_LINKED_MS)
		return;
	r->list_next_ms =
		now_ms + own_list_interval_ms (r) + r->list_backoff_ms +
		g_rand_int_range (r->rand, 0, (gint32)r->list_backoff_ms + 1);
	eplist_start (&r->list_reader, now_ms);
}

void
upstream_init (struct relay *r)
{
	struct sockaddr_in addr;

	g_queue_init (&r->pool.idle);
	link_addr_parse (r->set.platform, &addr, NULL);
	h1cli_host_init (&r->platform, r->daemon.loop, &addr, r->source_addr);
	eplist_init (&r->list_reader, &r->platform, r->dialect, &own_list_ops,
		     r);
	fleet_init (&r->fleet, &upstream_fleet_ops, r);
	r->fleet.pace = r->set.pace;
	r->fleet.relay_hash = r->name_hash;
}

void
upstream_finish (struct relay *r)
{
	fleet_finish (&r->fleet);
	eplist_finish (&r->list_reader);
	h1cli_host_finish (&r->platform);
}

static void
check_domains (struct relay *r, uint64_t now_ms)
{
	const struct fleet_ep *ep = fleet_check_silence (&r->fleet, now_ms);

	if (ep == NULL)
		return;
	r->load_changed = true; /* load reports name suspect endpoints */
	log_event (LOG_LV_INFO, "domain-silent",
		   "domain=%s heard_ms=%" G_GUINT64_FORMAT, ep->info.domain,
		   now_ms - ep->last_heard_ms);
}

/* To be called after check_domains(), which leaves no endpoint of a silent
 * domain unsuspected. */
static void
check_stalled (struct relay *r, uint64_t now_ms)
{
	const struct fleet_ep *ep;

	while ((ep = fleet_next_stalled (&r->fleet, now_ms)) != NULL) {
		r->load_changed = true;
		log_event (LOG_LV_INFO, "endpoint",
			   "ep=%s addr=%s suspect=1 stalled=1 inflight=%u "
			   "answering=%u silent_ms=%" G_GUINT64_FORMAT,
			   ep->info.id, ep->info.addr, ep->inflight,
			   ep->answering,
			   now_ms - MAX (ep->last_heard_ms, ep->busy_since_ms));
	}
}

void
upstream_tick (struct relay *r, uint64_t now_ms)
{
	bool due = now_ms >= r->probe_check_ms + PROBE_CHECK_MS;

	if (due) {
		check_domains (r, now_ms);
		check_stalled (r, now_ms);
	}

	for (guint i = 0; due && i < r->fleet.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);

		probe_tick (r, ep->owner_data, now_ms);
	}
	if (due) {
		fleet_pace_tick (&r->fleet, now_ms);
		r->probe_check_ms = now_ms;
	}
	own_list_tick (r, now_ms);
}
