/*
 * Links to the members of the group: the configuration, the endpoint list and
 * loads of peers that arrive on them, and the load reports of this relay.
 */
#include <arpa/inet.h>
#include <string.h>

#include "relayd.h"

/* A link on which no byte arrives for this long is closed, as the peer may be
 * unreachable; members send their state at least every
 * GROUP_STATE_FOLLOWER_MS.
 */
#define LINK_SILENCE_MAX_MS 1500

/* Connections to an address end once no member named it for this long, and
 * another member answers. */
#define MEMBER_FORGET_MS 60000

/* How long to wait for a delta before requesting the full list; it arrives
 * within some milliseconds of the state that announces the newer list. */
#define DELTA_WAIT_MS 200

/* Loads of peers are discarded if none arrived for this long, which exceeds the
 * prefill time of a prompt. */
#define PEER_LOADS_MAX_AGE_MS 2000

/* Interval at which the speeds of engines are compared. */
#define COMPARE_SPEEDS_MS 500

/* Shortest interval between load reports. */
#define LOAD_REPORT_MIN_MS 20

/* Shortest interval between reports of the subset of endpoints whose load is
 * wanted: some 240 names take 1.4 kB, and a missing name or two matters little.
 */
#define SUBSCRIBE_MIN_MS 2000

/* A list that was read longer ago is outdated and ignored; the limit allows for
 * long lists, which are read less often. */
#define LIST_MAX_AGE_MS 5000

static const struct link_ops member_ops;

/* Returns the member at an address, after connecting to it if it is new; NULL
 * if the address can't be parsed. */
static struct group_member *
member_get (struct relay *r, const char *addr)
{
	struct sockaddr_in to;
	struct group_member *m;

	for (guint i = 0; i < r->members->len; i++) {
		m = g_ptr_array_index (r->members, i);
		if (strcmp (m->addr, addr) == 0) {
			m->last_named_ms = tmr_now_ms ();
			return m;
		}
	}
	if (!link_addr_parse (addr, &to, NULL))
		return NULL;
	m = g_new0 (struct group_member, 1);
	m->r = r;
	m->last_named_ms = tmr_now_ms ();
	g_strlcpy (m->addr, addr, sizeof m->addr);
	g_ptr_array_add (r->members, m);
	m->link = link_connect (r->daemon.loop, &r->self, &to, &member_ops, m);
	return m;
}

static void
member_free (struct group_member *m)
{
	source_drop (&m->r->config.fetch.source, m);
	source_drop (&m->r->list_source, m);
	link_free (m->link);
	g_free (m);
}

/* Seeds stay connected even if no member names them. */
static void
connect_seeds (struct relay *r)
{
	for (guint i = 0; i < r->set.seeds->len; i++) {
		char addr[RAFT_NAME_BYTES];

		seeds_peer_addr (g_ptr_array_index (r->set.seeds, i),
				 r->peer_port, addr, sizeof addr);
		member_get (r, addr);
	}
}

/* Whether a link to a member other than @m is up. */
static bool
has_other_member (const struct relay *r, const struct group_member *m)
{
	for (guint i = 0; i < r->members->len; i++) {
		const struct group_member *o =
			g_ptr_array_index (r->members, i);

		if (o != m && link_is_up (o->link))
			return true;
	}
	return false;
}

bool
member_is_answering (const struct source *s, uint64_t now_ms)
{
	const struct group_member *m = s->peer;

	return m != NULL &&
	       source_is_answering (
		       s, link_is_up (m->link) ? link_received_ms (m->link) : 0,
		       now_ms);
}

bool
member_is_authoritative (const struct relay *r, const struct group_member *m,
			 uint64_t now_ms)
{
	if (m->hears_leader ||
	    now_ms - r->started_ms > MEMBER_NO_LEADER_WAIT_MS)
		return true;
	return false;
}

static void
request_list (struct group_member *m, uint64_t now_ms)
{
	struct gmsg_request a = {.list_subscribe = true};
	struct relay *r = m->r;

	if (member_is_answering (&r->list_source, now_ms))
		return;
	source_ask (&r->list_source, m, now_ms);
	link_send (m->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
}

/* A member has a newer list.  The delta may be on its way from the member that
 * sends deltas to this relay; without a known list, the full one is requested
 * at once. */
static void
on_newer_list (struct group_member *m, uint64_t now_ms)
{
	struct relay *r = m->r;

	if (r->list_behind_since_ms == 0)
		r->list_behind_since_ms = now_ms;
	if (r->list_digest == 0 ||
	    now_ms >= r->list_behind_since_ms + DELTA_WAIT_MS)
		request_list (m, now_ms);
}

static void
apply_drains (struct relay *r, const struct gmsg_state *s)
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
	log_event (LOG_LV_INFO, "domains-drained",
		   "index=%" G_GUINT64_FORMAT " domains=%u", s->drain_index,
		   s->drained.count);
}

static void
on_state (struct relay *r, struct group_member *m, const struct gmsg_state *s)
{
	const struct gmsg_addr *a = s->members.items;
	uint64_t now_ms = tmr_now_ms ();

	m->hears_leader = s->has_leader;
	m->is_leader = s->is_leader;
	m->config_version = s->version;
	m->list_digest = s->list_digest;
	m->list_read_ms = now_ms - MIN (s->list_age_ms, now_ms);
	m->clock_offset_ms = (int64_t)s->wall_ms - (int64_t)now_ms;
	m->relay_count = s->relays;
	if (s->is_leader)
		r->group_list_interval_ms = s->list_interval_ms;
	r->sealed_window = MAX (r->sealed_window, s->sealed_window);
	for (uint32_t i = 0; i < s->members.count; i++)
		member_get (r, a[i].addr);
	apply_drains (r, s);
	config_note_state (r, m, now_ms);
	source_note_state (&r->list_source, m);
	if (!member_is_authoritative (r, m, now_ms))
		return;
	if (m->list_digest != 0 && m->list_digest == r->list_digest) {
		r->list_read_ms = MAX (r->list_read_ms, m->list_read_ms);
		r->list_behind_since_ms = 0;
	}
	if (m->list_digest != 0 && m->list_digest != r->list_digest &&
	    m->list_read_ms > r->list_read_ms)
		on_newer_list (m, now_ms);
}

/* Applies a full list, or a delta if it is based on the list in use.  Returns
 * whether the list in use is now the one that was sent. */
static bool
apply_list (struct relay *r, const struct gmsg_list *g, uint64_t now_ms)
{
	if (g->base_digest == 0) {
		fleet_set_list (&r->fleet, g->entries.items, g->entries.count,
				now_ms, g->age_ms);
		return true;
	}
	if (g->base_digest != r->list_digest)
		return false;
	fleet_apply_delta (&r->fleet, g->entries.items, g->entries.count,
			   g->removed.items, g->removed.count, now_ms,
			   g->age_ms);
	return fleet_digest (&r->fleet) == g->digest;
}

static void
on_list (struct relay *r, struct group_member *m, const struct gmsg_list *g)
{
	uint64_t now_ms = tmr_now_ms ();
	uint64_t read_ms = now_ms - MIN (g->age_ms, now_ms);
	bool applied;

	if (g->base_digest == 0 && m == r->list_source.peer)
		source_init (&r->list_source);
	if (g->digest == r->list_digest) {
		struct gmsg_request a = {.list_unsubscribe = true};

		/* Deltas from one member are enough. */
		r->list_read_ms = MAX (r->list_read_ms, read_ms);
		link_send (m->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
		return;
	}
	if (read_ms <= r->list_read_ms || g->age_ms > LIST_MAX_AGE_MS ||
	    !member_is_authoritative (r, m, now_ms))
		return;
	applied = apply_list (r, g, now_ms);
	if (applied || g->base_digest == r->list_digest) {
		relay_rollout_list_changed (r, g->rollout_index);
		r->list_digest = applied ? g->digest : 0;
	}
	log_event (LOG_LV_INFO, "list",
		   "from=%s delta=%d applied=%d endpoints=%u removed=%u "
		   "age_ms=%u ready=%u",
		   m->addr, g->base_digest != 0, applied, g->entries.count,
		   g->removed.count, g->age_ms,
		   fleet_ready_count (&r->fleet, now_ms));
	if (applied) {
		r->list_read_ms = read_ms;
		r->list_behind_since_ms = 0;
		source_init (&r->list_source);
	} else {
		request_list (m, now_ms);
	}
}

/* Tokens that fit in the KV cache of an engine: the smallest of all services, 0
 * without engines. */
static uint64_t
min_kv_cache_tokens (const struct relay *r)
{
	uint64_t tokens = 0;

	for (guint i = 0; r->plan != NULL && i < r->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (r->plan->services, i);

		if (s->is_engine &&
		    (tokens == 0 || s->kv_capacity_tokens < tokens))
			tokens = s->kv_capacity_tokens;
	}
	return tokens;
}

static void
set_peer_waiting (struct relay *r, const struct load_waiting *w, uint32_t count)
{
	memset (r->peer_waiting, 0, sizeof r->peer_waiting);
	for (uint32_t i = 0; i < count; i++) {
		if (w[i].rank < LOADS_RANKS)
			r->peer_waiting[w[i].rank] = w[i].tokens;
	}
}

static void
on_peer_loads (struct relay *r, const struct group_member *from,
	       const struct loads_msg *m)
{
	if (!from->is_load_target)
		return;
	r->peer_loads_ms = tmr_now_ms ();
	fleet_set_peer_loads (&r->fleet, m->loads.items, m->loads.count,
			      m->is_delta);
	fleet_add_peer_segments (&r->fleet, m->segments.items,
				 m->segments.count, min_kv_cache_tokens (r),
				 r->peer_loads_ms);
	fleet_merge_speeds (&r->fleet, m->speeds.items, m->speeds.count);
	set_peer_waiting (r, m->waiting.items, m->waiting.count);
	call_place_waiting (r);
}

/* Returns an array of struct load: the endpoints that have work of this relay,
 * or are suspect. */
static GArray *
own_loads (const struct relay *r, uint64_t now_ms)
{
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct load));

	for (guint i = 0; i < r->fleet.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);
		struct load x = {ep->ep_hash, (uint32_t)ep->prefill_tokens,
				 ep->inflight, fleet_is_reported (ep, now_ms)};

		if (x.running > 0 || x.suspect)
			g_array_append_val (list, x);
	}
	return list;
}

/* Chooses the member that loads are reported to.  A new one is sent the full
 * load, and the one before is told that no more reports follow. */
static struct group_member *
choose_load_target (struct relay *r, uint64_t now_ms)
{
	struct loads_msg leaves = {.withdraw = true};
	uint32_t count = r->members->len, at;
	struct loads_member *list = g_new0 (struct loads_member, count);
	struct group_member *to = NULL;

	for (uint32_t i = 0; i < count; i++) {
		const struct group_member *m =
			g_ptr_array_index (r->members, i);

		list[i] = (struct loads_member){
			m->addr, m->is_leader,
			link_is_up (m->link) ? link_received_ms (m->link) : 0};
	}
	at = loads_choose_member (list, count, now_ms);
	if (at < count)
		to = g_ptr_array_index (r->members, at);
	g_free (list);
	for (uint32_t i = 0; i < count; i++) {
		struct group_member *m = g_ptr_array_index (r->members, i);

		if (m != to && m->is_load_target)
			m->is_load_target =
				!link_send (m->link, FRAME_GROUP_LOAD,
					    loads_msg_fields, &leaves);
	}
	if (to != NULL && !to->is_load_target) {
		to->is_load_target = r->load_changed = true;
		r->fleet.subscription_changed = r->fleet.want_snapshot = true;
		r->subscribed_ms = 0;
		log_event (LOG_LV_INFO, "load-target", "to=%s leader=%d",
			   to->addr, to->is_leader);
	}
	return to;
}

/* Reports what this relay has at the endpoints, and the subset of endpoints
 * whose load it wants to know. */
static void
report_load (struct relay *r, uint64_t now_ms)
{
	struct group_member *to = choose_load_target (r, now_ms);
	bool subscribe = r->fleet.subscription_changed &&
			 now_ms - r->subscribed_ms >= SUBSCRIBE_MIN_MS;
	struct loads_msg m = {.prefill_ms = (uint64_t)r->prefill_total_ms,
			      .want_snapshot = r->fleet.want_snapshot,
			      .domain_hash = g_str_hash (r->set.domain)};
	struct load_waiting waiting[LOADS_RANKS];
	GArray *loads, *subset;

	if (to == NULL || !(r->load_changed || subscribe || m.want_snapshot) ||
	    now_ms - r->load_reported_ms < LOAD_REPORT_MIN_MS)
		return;
	r->load_changed = false;
	r->load_reported_ms = now_ms;
	loads = own_loads (r, now_ms);
	subset = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	m.loads.items = loads->data;
	m.loads.count = loads->len;
	m.segments.items = r->unreported_segments->data;
	m.segments.count = r->unreported_segments->len;
	m.speeds.items = r->unreported_speeds->data;
	m.speeds.count = r->unreported_speeds->len;
	m.waiting.items = waiting;
	for (uint32_t i = 0; i < LOADS_RANKS; i++) {
		if (r->own_waiting[i] > 0)
			waiting[m.waiting.count++] =
				(struct load_waiting){i, r->own_waiting[i]};
	}
	if (subscribe) {
		m.has_subscription = true;
		fleet_subscription (&r->fleet, subset);
		m.subscription.items = subset->data;
		m.subscription.count = subset->len;
		r->subscribed_ms = now_ms;
	}
	r->fleet.want_snapshot = false;
	if (!link_send (to->link, FRAME_GROUP_LOAD, loads_msg_fields, &m)) {
		r->load_changed = r->fleet.subscription_changed = true;
		r->fleet.want_snapshot = true;
	}
	g_array_free (loads, TRUE);
	g_array_free (subset, TRUE);
	g_array_set_size (r->unreported_segments, 0);
	g_array_set_size (r->unreported_speeds, 0);
}

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct group_member *m = ctx;
	msgpack_zone zone;
	struct err e = {0};
	union {
		struct gmsg_state state;
		struct gmsg_plan plan;
		struct plantext_chunk chunk;
		struct gmsg_list list;
		struct loads_msg loads;
		struct gmsg_blame blame;
		struct gmsg_rollouts rollouts;
	} u;
	bool ok = true;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_GROUP_STATE) {
		ok = msg_unpack (gmsg_state_fields, body, len, &u.state, &zone,
				 &e);
		if (ok)
			on_state (m->r, m, &u.state);
	} else if (kind == FRAME_GROUP_PLAN) {
		ok = msg_unpack (gmsg_plan_fields, body, len, &u.plan, &zone,
				 &e);
		if (ok)
			config_receive_whole (m->r, m, &u.plan);
	} else if (kind == FRAME_GROUP_CHUNK) {
		ok = msg_unpack (plantext_chunk_fields, body, len, &u.chunk,
				 &zone, &e);
		if (ok)
			config_receive_chunk (m->r, m, &u.chunk, (uint32_t)len);
	} else if (kind == FRAME_GROUP_LIST) {
		ok = msg_unpack (gmsg_list_fields, body, len, &u.list, &zone,
				 &e);
		if (ok)
			on_list (m->r, m, &u.list);
	} else if (kind == FRAME_GROUP_OTHERS) {
		ok = msg_unpack (loads_msg_fields, body, len, &u.loads, &zone,
				 &e);
		if (ok)
			on_peer_loads (m->r, m, &u.loads);
	} else if (kind == FRAME_GROUP_BLAME) {
		ok = msg_unpack (gmsg_blame_fields, body, len, &u.blame, &zone,
				 &e);
		if (ok)
			relay_blame_receive (m->r, &u.blame);
	} else if (kind == FRAME_GROUP_ROLLOUTS) {
		ok = msg_unpack (gmsg_rollouts_fields, body, len, &u.rollouts,
				 &zone, &e);
		if (ok)
			relay_rollout_receive (m->r, &u.rollouts);
	}
	msgpack_zone_destroy (&zone);
	if (!ok)
		log_event (LOG_LV_WARN, "frame", "peer=%s kind=%u why=\"%s\"",
			   link_peer_name (l), kind, e.msg);
}

static void
on_link_up (struct link *l, void *ctx)
{
	struct group_member *m = ctx;

	(void)l;
	log_event (LOG_LV_INFO, "member-up", "addr=%s", m->addr);
	relay_blame_send_all (m);
}

static void
on_link_down (struct link *l, const char *why, void *ctx)
{
	struct group_member *m = ctx;

	(void)l;
	m->hears_leader = m->is_leader = false;
	m->clock_offset_ms = 0;
	m->usage_sent_change = m->rollout_sent_change = 0;
	m->is_load_target = false;
	source_drop (&m->r->list_source, m);
	log_event (LOG_LV_INFO, "member-down", "addr=%s why=\"%s\"", m->addr,
		   why);
	config_member_down (m->r, m);
}

static const struct link_ops member_ops = {
	.up = on_link_up,
	.frame = on_frame,
	.down = on_link_down,
};

void
member_init (struct relay *r)
{
	r->members = g_ptr_array_new ();
	source_init (&r->list_source);
	config_init (r);
	r->unreported_segments =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	r->unreported_speeds =
		g_array_new (FALSE, FALSE, sizeof (struct load_speed));
	seeds_watch_init (&r->watch, tmr_now_ms ());
	connect_seeds (r);
}

void
member_finish (struct relay *r)
{
	for (guint i = 0; i < r->members->len; i++)
		member_free (g_ptr_array_index (r->members, i));
	g_ptr_array_free (r->members, TRUE);
	config_finish (r);
	g_array_free (r->unreported_segments, TRUE);
	g_array_free (r->unreported_speeds, TRUE);
}

void
member_tick (struct relay *r, uint64_t now_ms)
{
	uint32_t relays = 0;

	member_watch_group (r, now_ms);
	connect_seeds (r);
	config_tick (r, now_ms);
	report_load (r, now_ms);
	if (r->set.learn_speed &&
	    now_ms - r->speeds_compared_ms >= COMPARE_SPEEDS_MS) {
		r->speeds_compared_ms = now_ms;
		fleet_compare_speeds (&r->fleet);
	}
	for (guint i = r->members->len; i > 0; i--) {
		struct group_member *m = g_ptr_array_index (r->members, i - 1);

		relays = MAX (relays, m->relay_count);
		if (now_ms > m->last_named_ms + MEMBER_FORGET_MS &&
		    has_other_member (r, m)) {
			link_close (m->link, "no longer a member");
			g_ptr_array_remove_index_fast (r->members, i - 1);
			member_free (m);
		} else if (link_is_up (m->link) &&
			   now_ms > link_received_ms (m->link) +
					    LINK_SILENCE_MAX_MS) {
			link_close (m->link, "silent");
		}
	}
	if (r->peer_loads_ms != 0 &&
	    now_ms > r->peer_loads_ms + PEER_LOADS_MAX_AGE_MS) {
		r->peer_loads_ms = 0;
		set_peer_waiting (r, NULL, 0);
		fleet_set_peer_loads (&r->fleet, NULL, 0, false);
		r->fleet.want_snapshot = true;
	}
	/* The number never falls: relays that are cut off from the group still
	 * share the endpoints. */
	r->relay_count = MAX (relays, r->relay_count);
}
