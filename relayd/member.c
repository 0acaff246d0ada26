/*
 * The group: links to all of its members, and what they hold.
 */
#include <arpa/inet.h>
#include <string.h>

#include "relayd.h"

/* A link that carried nothing for so long may be silent for good; members
 * tell their state every GROUP_STATE_FOLLOWER_MS at least. */
#define SILENT_MS 1500

/* An address that nothing names any more is no longer tried. */
#define UNWANTED_MS 60000

/* What was asked for and did not come is asked for again, elsewhere.  A member
 * sends whole lists one after the other, so that hundreds of relays that start
 * together are served in a second or two. */
#define ASK_AGAIN_MS 300
#define ASK_LIST_AGAIN_MS 1200

/* Changes of a list come within some milliseconds of the state that names it.
 */
#define CHANGES_LATE_MS 200

/* The others' loads are no longer believed after so long; prompts are read in
 * less. */
#define OTHERS_OLD_MS 2000

/* Between two tellings of our load to the leader. */
#define LOAD_MS 20

/* Between two tellings of whose loads are wanted: some 240 names are 1.4 kB,
 * and a name or two less does little. */
#define WATCH_MS 2000

/* A list that a member read longer ago says nothing of now; long ones are read
 * less often. */
#define LIST_OLD_MS 5000

static const struct link_ops member_ops;

static struct member *
member_get (struct relay *r, const char *addr)
{
	struct sockaddr_in to;
	struct member *m;

	for (guint i = 0; i < r->members->len; i++) {
		m = g_ptr_array_index (r->members, i);
		if (strcmp (m->addr, addr) == 0) {
			m->wanted_ms = tmr_now_ms ();
			return m;
		}
	}
	if (!link_addr_parse (addr, &to, NULL))
		return NULL;
	m = g_new0 (struct member, 1);
	m->r = r;
	m->wanted_ms = tmr_now_ms ();
	g_strlcpy (m->addr, addr, sizeof m->addr);
	g_ptr_array_add (r->members, m);
	m->link = link_connect (r->d.loop, &r->self, &to, &member_ops, m);
	return m;
}

static void
member_free (struct member *m)
{
	link_free (m->link);
	g_free (m);
}

static void
seeds_wanted (struct relay *r)
{
	for (guint i = 0; i < r->set.seeds->len; i++) {
		const char *seed = g_ptr_array_index (r->set.seeds, i);
		const char *colon = strrchr (seed, ':');
		char addr[RAFT_NAME_BYTES];

		g_snprintf (addr, sizeof addr, "%.*s:%u", (int)(colon - seed),
			    seed, r->peer_port);
		member_get (r, addr);
	}
}

/* Whether what a member holds may be taken. */
static bool
believed (struct relay *r, const struct member *m, uint64_t now_ms)
{
	if (m->fresh || now_ms - r->started_ms > MEMBER_STALE_WAIT_MS)
		return true;
	return false;
}

static void
ask (struct member *m, bool plan, bool list)
{
	struct gmsg_request a = {.plan = plan, .list_subscribe = list};

	link_send (m->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
}

static void
ask_list (struct member *m, uint64_t now_ms)
{
	struct relay *r = m->r;

	if (now_ms < r->list_asked_ms + ASK_LIST_AGAIN_MS)
		return;
	r->list_asked_ms = now_ms;
	ask (m, false, true);
}

/* A member has a newer list.  Its changes may be on their way from the member
 * that tells them; a relay that has no list asks at once. */
static void
list_behind (struct member *m, uint64_t now_ms)
{
	struct relay *r = m->r;

	if (r->list_behind_ms == 0)
		r->list_behind_ms = now_ms;
	if (r->list_stamp == 0 || now_ms >= r->list_behind_ms + CHANGES_LATE_MS)
		ask_list (m, now_ms);
}

static void
take_drains (struct relay *r, const struct gmsg_state *s)
{
	const struct gstate_drain *d = s->drained.items;
	GPtrArray *names;

	if (s->drain_index <= r->drain_index)
		return;
	names = g_ptr_array_new ();
	for (uint32_t i = 0; i < s->drained.count; i++)
		g_ptr_array_add (names, (char *)d[i].domain);
	fleet_set_drained (&r->fleet, names);
	g_ptr_array_free (names, TRUE);
	r->drain_index = s->drain_index;
	log_event (LOG_LV_INFO, "domains-out",
		   "index=%" G_GUINT64_FORMAT " domains=%u", s->drain_index,
		   s->drained.count);
}

static void
take_state (struct relay *r, struct member *m, const struct gmsg_state *s)
{
	const struct gmsg_addr *a = s->members.items;
	uint64_t now_ms = tmr_now_ms ();

	m->fresh = s->has_leader;
	m->leads = s->is_leader;
	m->version = s->version;
	m->list_stamp = s->list_digest;
	m->list_ms = now_ms - MIN (s->list_age_ms, now_ms);
	m->clock_ms = (int64_t)s->wall_ms - (int64_t)now_ms;
	m->relays = s->relays;
	if (s->is_leader)
		r->list_pause_ms = s->list_interval_ms;
	r->sealed = MAX (r->sealed, s->sealed_window);
	for (uint32_t i = 0; i < s->members.count; i++)
		member_get (r, a[i].addr);
	take_drains (r, s);
	if (!believed (r, m, now_ms))
		return;
	if (m->list_stamp != 0 && m->list_stamp == r->list_stamp) {
		r->list_ms = MAX (r->list_ms, m->list_ms);
		r->list_behind_ms = 0;
	}
	if (s->version > (r->plan != NULL ? r->plan->version : 0) &&
	    now_ms - r->asked_ms > ASK_AGAIN_MS) {
		r->asked_ms = now_ms;
		ask (m, true, false);
	}
	if (m->list_stamp != 0 && m->list_stamp != r->list_stamp &&
	    m->list_ms > r->list_ms)
		list_behind (m, now_ms);
}

static void
take_plan (struct relay *r, const struct gmsg_plan *g)
{
	struct err e = {0};
	struct plan *p;

	if (g->version <= (r->plan != NULL ? r->plan->version : 0))
		return;
	p = r->dialect->parse_plan ((const char *)g->text.data, g->text.len,
				    &e);
	if (p == NULL) {
		log_event (LOG_LV_ERROR, "plan", "why=\"%s\"", e.msg);
		return;
	}
	plan_unref (r->plan);
	r->plan = p;
	r->asked_ms = 0;
	if (p->limits.max_header_bytes > 0)
		r->front.limits.max_header_bytes = p->limits.max_header_bytes;
	if (p->limits.max_body_bytes > 0)
		r->front.limits.max_body_bytes = p->limits.max_body_bytes;
	if (p->limits.header_timeout_ms > 0)
		r->front.limits.header_timeout_ms = p->limits.header_timeout_ms;
	if (p->limits.idle_timeout_ms > 0)
		r->front.limits.idle_timeout_ms = p->limits.idle_timeout_ms;
	log_event (LOG_LV_INFO, "plan",
		   "version=%" G_GUINT64_FORMAT
		   " routes=%u services=%u accounts=%u",
		   p->version, p->routes->len, p->services->len,
		   p->accounts->len);
}

/* Changes are taken only to the list that they were made from. */
static bool
take_entries (struct relay *r, const struct gmsg_list *g, uint64_t now_ms)
{
	if (g->base_digest == 0) {
		fleet_set_list (&r->fleet, g->entries.items, g->entries.count,
				now_ms, g->age_ms);
		return true;
	}
	if (g->base_digest != r->list_stamp)
		return false;
	fleet_apply_delta (&r->fleet, g->entries.items, g->entries.count,
			   g->removed.items, g->removed.count, now_ms,
			   g->age_ms);
	return fleet_digest (&r->fleet) == g->digest;
}

static void
take_list (struct relay *r, struct member *m, const struct gmsg_list *g)
{
	uint64_t now_ms = tmr_now_ms ();
	uint64_t read_ms = now_ms - MIN (g->age_ms, now_ms);
	bool taken;

	if (g->digest == r->list_stamp) {
		struct gmsg_request a = {.list_unsubscribe = true};

		/* One member's changes are enough. */
		r->list_ms = MAX (r->list_ms, read_ms);
		link_send (m->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
		return;
	}
	if (read_ms <= r->list_ms || g->age_ms > LIST_OLD_MS ||
	    !believed (r, m, now_ms))
		return;
	taken = take_entries (r, g, now_ms);
	if (taken || g->base_digest == r->list_stamp) {
		place_assign_lanes (&r->fleet);
		r->list_stamp = taken ? g->digest : 0;
	}
	log_event (LOG_LV_INFO, "list",
		   "from=%s changes=%d taken=%d endpoints=%u gone=%u "
		   "age_ms=%u ready=%u",
		   m->addr, g->base_digest != 0, taken, g->entries.count,
		   g->removed.count, g->age_ms,
		   fleet_ready_count (&r->fleet, now_ms));
	if (taken) {
		r->list_ms = read_ms;
		r->list_asked_ms = r->list_behind_ms = 0;
	} else {
		ask_list (m, now_ms);
	}
}

/* What an engine holds; the least of them, where there are several kinds. */
static uint64_t
engine_memory (const struct relay *r)
{
	uint64_t least = 0;

	for (guint i = 0; r->plan != NULL && i < r->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (r->plan->services, i);

		if (s->is_engine &&
		    (least == 0 || s->kv_capacity_tokens < least))
			least = s->kv_capacity_tokens;
	}
	return least;
}

static void
take_others (struct relay *r, const struct member *from,
	     const struct loads_msg *m)
{
	if (!from->told_loads)
		return;
	r->others_ms = tmr_now_ms ();
	fleet_set_peer_loads (&r->fleet, m->loads.items, m->loads.count,
			      m->is_delta);
	fleet_add_peer_segments (&r->fleet, m->segments.items,
				 m->segments.count, engine_memory (r),
				 r->others_ms);
	call_wake (r);
}

static GArray *
own_loads (const struct relay *r)
{
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct load));

	for (guint i = 0; i < r->fleet.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);
		struct load x = {ep->ep_hash, (uint32_t)ep->prefill_tokens,
				 ep->inflight,
				 ep->listed && ep->health == FLEET_SUSPECT &&
					 !ep->suspect_by_domain};

		if (x.running > 0 || x.down)
			g_array_append_val (list, x);
	}
	return list;
}

/* Whom to tell; a new one is to be told all, and the old one that it is so. */
static struct member *
load_target (struct relay *r, uint64_t now_ms)
{
	struct loads_member list[RAFT_MEMBERS_MAX] = {0};
	struct loads_msg leaves = {.withdraw = true};
	uint32_t count = MIN (r->members->len, RAFT_MEMBERS_MAX), at;
	struct member *to = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct member *m = g_ptr_array_index (r->members, i);

		list[i] = (struct loads_member){
			m->addr, m->leads,
			link_is_up (m->link) ? m->heard_ms : 0};
	}
	at = loads_choose_member (list, count, now_ms);
	if (at < count)
		to = g_ptr_array_index (r->members, at);
	for (uint32_t i = 0; i < count; i++) {
		struct member *m = g_ptr_array_index (r->members, i);

		if (m != to && m->told_loads)
			m->told_loads = !link_send (m->link, FRAME_GROUP_LOAD,
						    loads_msg_fields, &leaves);
	}
	if (to != NULL && !to->told_loads) {
		to->told_loads = r->load_changed = true;
		r->fleet.subscription_changed = r->fleet.want_snapshot = true;
		r->watch_told_ms = 0;
		log_event (LOG_LV_INFO, "loads-told", "to=%s leads=%d",
			   to->addr, to->leads);
	}
	return to;
}

/* Tell a member what this relay has at the endpoints, and whose loads it
 * wants to know. */
static void
tell_load (struct relay *r, uint64_t now_ms)
{
	struct member *to = load_target (r, now_ms);
	bool watch = r->fleet.subscription_changed &&
		     now_ms - r->watch_told_ms >= WATCH_MS;
	struct loads_msg m = {.prefill_ms = (uint64_t)r->work_ms,
			      .want_snapshot = r->fleet.want_snapshot,
			      .domain_hash = g_str_hash (r->set.domain)};
	GArray *loads, *names;

	if (to == NULL || !(r->load_changed || watch || m.want_snapshot) ||
	    now_ms - r->load_told_ms < LOAD_MS)
		return;
	r->load_changed = false;
	r->load_told_ms = now_ms;
	loads = own_loads (r);
	names = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	m.loads.items = loads->data;
	m.loads.count = loads->len;
	m.segments.items = r->sent_parts->data;
	m.segments.count = r->sent_parts->len;
	if (watch) {
		m.has_subscription = true;
		fleet_subscription (&r->fleet, names);
		m.subscription.items = names->data;
		m.subscription.count = names->len;
		r->watch_told_ms = now_ms;
	}
	r->fleet.want_snapshot = false;
	if (!link_send (to->link, FRAME_GROUP_LOAD, loads_msg_fields, &m)) {
		r->load_changed = r->fleet.subscription_changed = true;
		r->fleet.want_snapshot = true;
	}
	g_array_free (loads, TRUE);
	g_array_free (names, TRUE);
	g_array_set_size (r->sent_parts, 0);
}

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct member *m = ctx;
	msgpack_zone zone;
	struct err e = {0};
	union {
		struct gmsg_state state;
		struct gmsg_plan plan;
		struct gmsg_list list;
		struct loads_msg loads;
	} u;
	bool ok = true;

	m->heard_ms = tmr_now_ms ();
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_GROUP_STATE) {
		ok = msg_unpack (gmsg_state_fields, body, len, &u.state, &zone,
				 &e);
		if (ok)
			take_state (m->r, m, &u.state);
	} else if (kind == FRAME_GROUP_PLAN) {
		ok = msg_unpack (gmsg_plan_fields, body, len, &u.plan, &zone,
				 &e);
		if (ok)
			take_plan (m->r, &u.plan);
	} else if (kind == FRAME_GROUP_LIST) {
		ok = msg_unpack (gmsg_list_fields, body, len, &u.list, &zone,
				 &e);
		if (ok)
			take_list (m->r, m, &u.list);
	} else if (kind == FRAME_GROUP_OTHERS) {
		ok = msg_unpack (loads_msg_fields, body, len, &u.loads, &zone,
				 &e);
		if (ok)
			take_others (m->r, m, &u.loads);
	}
	msgpack_zone_destroy (&zone);
	if (!ok)
		log_event (LOG_LV_WARN, "frame", "peer=%s kind=%u why=\"%s\"",
			   link_peer_name (l), kind, e.msg);
}

static void
on_up (struct link *l, void *ctx)
{
	struct member *m = ctx;

	(void)l;
	m->heard_ms = tmr_now_ms ();
	log_event (LOG_LV_INFO, "member-up", "addr=%s", m->addr);
}

static void
on_down (struct link *l, const char *why, void *ctx)
{
	struct member *m = ctx;

	(void)l;
	m->fresh = m->leads = false;
	m->clock_ms = 0;
	m->usage_told = 0;
	m->told_loads = false;
	m->r->list_asked_ms = 0; /* it may have been the one that was asked */
	log_event (LOG_LV_INFO, "member-down", "addr=%s why=\"%s\"", m->addr,
		   why);
}

static const struct link_ops member_ops = {
	.up = on_up,
	.frame = on_frame,
	.down = on_down,
};

void
member_init (struct relay *r)
{
	r->members = g_ptr_array_new ();
	r->sent_parts =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	seeds_wanted (r);
}

void
member_finish (struct relay *r)
{
	for (guint i = 0; i < r->members->len; i++)
		member_free (g_ptr_array_index (r->members, i));
	g_ptr_array_free (r->members, TRUE);
	g_array_free (r->sent_parts, TRUE);
}

void
member_tick (struct relay *r, uint64_t now_ms)
{
	uint32_t relays = 0;

	seeds_wanted (r);
	tell_load (r, now_ms);
	for (guint i = r->members->len; i > 0; i--) {
		struct member *m = g_ptr_array_index (r->members, i - 1);

		relays = MAX (relays, m->relays);
		if (now_ms > m->wanted_ms + UNWANTED_MS) {
			link_close (m->link, "no longer named");
			g_ptr_array_remove_index_fast (r->members, i - 1);
			member_free (m);
		} else if (link_is_up (m->link) &&
			   now_ms > m->heard_ms + SILENT_MS) {
			m->heard_ms = now_ms;
			link_close (m->link, "silent");
		}
	}
	if (r->others_ms != 0 && now_ms > r->others_ms + OTHERS_OLD_MS) {
		r->others_ms = 0;
		fleet_set_peer_loads (&r->fleet, NULL, 0, false);
		r->fleet.want_snapshot = true;
	}
	/* Those that are cut off from here still share the endpoints. */
	r->relays = MAX (relays, r->relays);
}
