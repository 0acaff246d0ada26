/*
 * Endpoints: their connections, questions to those in doubt, and the list read
 * by ourselves while no member of the group tells it.
 */
#include <string.h>

#include "relayd.h"

#define PROBE_CONNECT_MS 300
#define PROBE_MS 700

/* Between two looks at all endpoints for those to be asked; a part of the first
 * pause before one is asked. */
#define PROBE_LOOK_MS 60

/* Without a new list from a member for so long beyond its usual pause, the list
 * is read here. */
#define LIST_SILENT_MS 800
#define LIST_USUAL_MS 700

/* The same while a member can be reached: it may start, or read a list of many
 * pages. */
#define LIST_MEMBER_MS 2500

/* Readings that the platform refuses for their rate, by hundreds of relays that
 * all lost their group, become rarer up to this. */
#define LIST_BACKOFF_MAX_MS 60000
#define LIST_PAUSE_MS 1000

static void
ep_added (struct fleet_ep *ep, void *ctx)
{
	struct relay *r = ctx;
	struct upstream *u = g_new0 (struct upstream, 1);
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct err e = {0};

	if (!link_addr_parse (ep->info.addr, &addr, &e)) {
		log_event (LOG_LV_WARN, "endpoint", "ep=%s why=\"%s\"",
			   ep->info.id, e.msg);
		fleet_retire (ep);
	}
	u->r = r;
	u->ep = ep;
	h1cli_host_init (&u->host, r->d.loop, &addr, r->from);
	ep->owner_data = u;
	log_event (LOG_LV_INFO, "endpoint",
		   "ep=%s addr=%s service=%s domain=%s added=1 cold_ms=%u "
		   "leaving=%d",
		   ep->info.id, ep->info.addr, ep->info.service,
		   ep->info.domain, ep->info.cold_remaining_ms,
		   ep->info.leaving);
}

static void
ep_removed (struct fleet_ep *ep, void *ctx)
{
	struct upstream *u = ep->owner_data;

	(void)ctx;
	log_event (LOG_LV_INFO, "endpoint", "ep=%s removed=1", ep->info.id);
	h1cli_host_finish (&u->host);
	g_free (u);
}

const struct fleet_ops upstream_fleet_ops = {
	.added = ep_added,
	.removed = ep_removed,
};

static void
probe_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct upstream *u = ctx;

	(void)x;
	(void)echoed;
	u->status = h->status;
	u->r->dialect->parse_response (h, &u->answer);
}

static void
drop_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
}

static void
probe_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct upstream *u = ctx;
	uint64_t now_ms = tmr_now_ms ();
	bool other = u->answer.instance[0] != '\0' &&
		     strcmp (u->answer.instance, u->ep->info.id) != 0;
	bool well = end == H1CLI_WHOLE && u->status == 200 && !other;

	(void)x;
	u->probe = NULL;
	log_event (LOG_LV_INFO, "probe",
		   "ep=%s status=%d well=%d cold_ms=%u other=%d",
		   u->ep->info.id, u->status, well, u->answer.cold_ms, other);
	if (other)
		fleet_retire (u->ep);
	if (well && u->answer.cold_ms > 0)
		fleet_set_cold (u->ep, u->answer.cold_ms, now_ms);
	fleet_probed (&u->r->fleet, u->ep, well, now_ms);
	u->r->load_changed = true; /* whether it is doubted is told */
}

static const struct h1cli_ops probe_ops = {
	.head = probe_head,
	.data = drop_data,
	.done = probe_done,
};

static void
probe (struct upstream *u, const char *path, uint64_t now_ms)
{
	char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
				      path, u->ep->info.addr);
	struct h1cli_req req = {.bytes = text,
				.len = strlen (text),
				.connect_ms = PROBE_CONNECT_MS,
				.limits = {.user_timeout_ms = PROBE_MS}};

	h1cli_host_drop_idle (&u->host);
	u->status = 0;
	u->answer = (struct dia_response){0};
	u->probe_ms = now_ms;
	u->r->stats.probes++;
	u->probe = h1cli_start (&u->host, &req, &probe_ops, u);
	g_free (text);
}

static void
probe_tick (struct relay *r, struct upstream *u, uint64_t now_ms)
{
	const struct plan_service *s;

	if (u->probe != NULL && now_ms - u->probe_ms > PROBE_MS) {
		h1cli_cancel (u->probe);
		u->probe = NULL;
		fleet_probed (&u->r->fleet, u->ep, false, now_ms);
	}
	if (u->probe != NULL || u->ep->health == FLEET_HEALTHY ||
	    !u->ep->listed || u->ep->leaving || now_ms < u->ep->probe_at_ms ||
	    r->plan == NULL)
		return;
	s = plan_service (r->plan, u->ep->info.service);
	if (s != NULL)
		probe (u, s->health_path, now_ms);
}

static void
list_read (GArray *list, uint32_t skipped, void *ctx)
{
	struct relay *r = ctx;
	uint64_t now_ms = tmr_now_ms ();

	log_event (LOG_LV_INFO, "own-list", "endpoints=%u skipped=%u",
		   list->len, skipped);
	fleet_set_list (&r->fleet, (struct fleet_info *)list->data, list->len,
			now_ms, now_ms - r->lister.started_ms);
	place_assign_lanes (&r->fleet);
	r->list_ms = r->lister.started_ms;
	r->list_stamp = 0;
	r->list_backoff_ms = 0;
	g_array_free (list, TRUE);
}

static void
list_failed (const char *why, void *ctx)
{
	struct relay *r = ctx;

	if (eplist_rate_limited (&r->lister))
		r->list_backoff_ms =
			MIN (MAX (2 * r->list_backoff_ms, LIST_PAUSE_MS),
			     LIST_BACKOFF_MAX_MS);
	log_event (LOG_LV_WARN, "own-list",
		   "why=\"%s\" backoff_ms=%" G_GUINT64_FORMAT, why,
		   r->list_backoff_ms);
}

static const struct eplist_ops list_ops = {list_read, list_failed};

/* The relays share the platform's rate; each uses an even part of half. */
static uint64_t
list_pause_ms (struct relay *r)
{
	uint64_t even_ms = (uint64_t)(2000.0 * MAX (r->relays, 8) /
				      r->set.platform_calls_per_s);

	return MAX (even_ms, LIST_PAUSE_MS) +
	       (uint64_t)g_rand_int_range (r->rand, 0, 300);
}

static bool
member_is_up (const struct relay *r)
{
	for (guint i = 0; i < r->members->len; i++) {
		const struct member *m = g_ptr_array_index (r->members, i);

		if (link_is_up (m->link))
			return true;
	}
	return false;
}

static void
list_tick (struct relay *r, uint64_t now_ms)
{
	uint64_t since_ms = MAX (r->list_ms, r->started_ms);
	uint64_t usual_ms = MAX (r->list_pause_ms, LIST_USUAL_MS);

	eplist_tick (&r->lister, now_ms);
	if (eplist_is_running (&r->lister) || now_ms < r->list_next_ms ||
	    now_ms < since_ms + usual_ms + LIST_SILENT_MS)
		return;
	/* A member that can be reached reads for all. */
	if (member_is_up (r) && now_ms < since_ms + usual_ms + LIST_MEMBER_MS)
		return;
	r->list_next_ms =
		now_ms + list_pause_ms (r) + r->list_backoff_ms +
		g_rand_int_range (r->rand, 0, (gint32)r->list_backoff_ms + 1);
	eplist_start (&r->lister, now_ms);
}

void
upstream_init (struct relay *r)
{
	struct sockaddr_in addr;

	link_addr_parse (r->set.platform, &addr, NULL);
	h1cli_host_init (&r->cloud, r->d.loop, &addr, r->from);
	eplist_init (&r->lister, &r->cloud, r->dialect, &list_ops, r);
	fleet_init (&r->fleet, &upstream_fleet_ops, r);
	r->fleet.relay_hash = r->name_hash;
}

void
upstream_finish (struct relay *r)
{
	fleet_finish (&r->fleet);
	eplist_finish (&r->lister);
	h1cli_host_finish (&r->cloud);
}

void
upstream_tick (struct relay *r, uint64_t now_ms)
{
	bool look = now_ms >= r->probe_look_ms + PROBE_LOOK_MS;

	for (guint i = 0; look && i < r->fleet.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);

		probe_tick (r, ep->owner_data, now_ms);
	}
	if (look)
		r->probe_look_ms = now_ms;
	list_tick (r, now_ms);
}
