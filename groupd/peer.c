/*
 * Links: those that this member opens to the other members, and those that it
 * accepts from members and relays.
 */
#include <arpa/inet.h>
#include <string.h>

#include <xxhash.h>

#include "groupd.h"

/* A link that received nothing for so long is closed and opened again. */
#define LINK_TIMEOUT_MS 1500

/* The link to an address that was not named for so long is removed, once
 * another member answers. */
#define UNNAMED_TIMEOUT_MS 60000

/* Bytes of full lists sent per tick.  At 50 ticks a second this is three fifths
 * of a 1 Gbit/s network link of the member.  A relay's link takes its list in a
 * third of a second, so some tens of lists are in flight. */
#define FULL_LISTS_TICK_BYTES (1500U << 10)

/* A full list that was requested and did not arrive is requested again. */
#define LIST_REQUEST_INTERVAL_MS 1000

/* A member that was heard within this is in touch; it tells its state every
 * GROUP_STATE_FOLLOWER_MS. */
#define IN_TOUCH_MS 1000

static const struct link_ops accepted_ops;
static const struct link_ops member_ops;

/* The link to @addr, opened where there is none; NULL for this member's own
 * address. */
static struct member_link *
member_get (struct group *g, const char *addr)
{
	struct sockaddr_in to;
	struct member_link *m;

	for (guint i = 0; i < g->members->len; i++) {
		m = g_ptr_array_index (g->members, i);
		if (strcmp (m->addr, addr) == 0) {
			m->last_named_ms = tmr_now_ms ();
			return m;
		}
	}
	if (!link_addr_parse (addr, &to, NULL) ||
	    strcmp (addr, g->set.peer) == 0)
		return NULL;
	m = g_new0 (struct member_link, 1);
	m->g = g;
	m->last_named_ms = tmr_now_ms ();
	g_strlcpy (m->addr, addr, sizeof m->addr);
	g_ptr_array_add (g->members, m);
	m->link = link_connect (g->d.loop, &g->self, &to, &member_ops, m);
	return m;
}

static void
member_free (struct member_link *m)
{
	link_free (m->link);
	g_free (m);
}

/* Opens links to the group's members and the seeds where they are missing. */
static void
members_connect (struct group *g)
{
	for (uint32_t i = 0; i < g->raft.config.count; i++)
		member_get (g, g->raft.config.members[i].addr);
	for (guint i = 0; i < g->set.seeds->len; i++) {
		char addr[RAFT_NAME_BYTES];

		seeds_peer_addr (g_ptr_array_index (g->set.seeds, i),
				 ntohs (g->peer_addr.sin_port), addr,
				 sizeof addr);
		member_get (g, addr);
	}
}

static struct accepted_link *
accepted_find (struct group *g, const struct link *l)
{
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);

		if (a->link == l)
			return a;
	}
	return NULL;
}

static const char *
member_addr (struct group *g, uint64_t id)
{
	const struct raft_member *m = raft_config_find (&g->raft.config, id);

	return m != NULL ? m->addr : NULL;
}

/*
 * A member that was just added doesn't know the group's addresses yet, so it
 * answers on the link on which the leader's messages arrive.
 */
void
peer_send_raft (struct group *g, const struct raft_msg *m)
{
	const char *addr = member_addr (g, m->to);
	struct member_link *to = addr != NULL ? member_get (g, addr) : NULL;

	if (to != NULL && link_send (to->link, FRAME_RAFT, raft_msg_fields, m))
		return;
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);

		if (a->member_id == m->to) {
			link_send (a->link, FRAME_RAFT, raft_msg_fields, m);
			return;
		}
	}
}

uint32_t
peer_relay_count (const struct group *g)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->accepted->len; i++)
		n += ((struct accepted_link *)g_ptr_array_index (g->accepted,
								 i))
			     ->is_relay;
	return n;
}

static void
send_state (struct group *g, struct link *l, uint64_t now_ms)
{
	struct gstate_drain drains[GSTATE_DOMAINS_MAX] = {0};
	struct gmsg_addr addrs[RAFT_MEMBERS_MAX] = {0};
	struct gmsg_state s = {
		.version = g->state.version,
		.drain_index = g->state.drain_index,
		.is_leader = group_is_leader (g),
		.has_leader = group_has_leader (g),
		.list_digest = g->endpoints.digest,
		.list_age_ms = (uint32_t)(now_ms - g->endpoints.read_ms),
		.list_interval_ms = endpoint_list_interval_ms (g),
		.relays = peer_relay_count (g),
		.sealed_window = g->state.sealed_window,
		.wall_ms = tmr_wall_ms (),
	};

	for (guint i = 0; i < g->state.drained->len; i++)
		g_strlcpy (drains[i].domain,
			   g_ptr_array_index (g->state.drained, i),
			   sizeof drains[i].domain);
	s.drained.items = drains;
	s.drained.count = g->state.drained->len;
	for (uint32_t i = 0; i < g->raft.config.count; i++)
		g_strlcpy (addrs[i].addr, g->raft.config.members[i].addr,
			   sizeof addrs[i].addr);
	s.members.items = addrs;
	s.members.count = g->raft.config.count;
	link_send (l, FRAME_GROUP_STATE, gmsg_state_fields, &s);
}

static void
pack_list (const struct group *g, bool full, msgpack_sbuffer *out)
{
	const struct endpoint_list *l = &g->endpoints;
	const GArray *list = full ? l->list : l->changed;
	struct gmsg_list m = {
		.digest = l->digest,
		.age_ms = (uint32_t)(tmr_now_ms () - l->read_ms),
		.entries = {list->data, list->len},
		.base_digest = full ? 0 : l->base_digest,
		.rollout_index = g->state.rollout_index,
	};

	if (!full)
		m.removed =
			(struct msg_list){l->removed->data, l->removed->len};
	msgpack_sbuffer_init (out);
	msg_pack (gmsg_list_fields, &m, out);
}

static void
send_list (struct group *g, struct accepted_link *a,
	   const msgpack_sbuffer *packed)
{
	if (link_send_raw (a->link, FRAME_GROUP_LIST, packed->data,
			   packed->size))
		a->sent_digest = g->endpoints.digest;
}

/*
 * The delta is encoded once, and sent to those that hold the previous list; the
 * others see the new digest in the next state and request the full list.  Other
 * members hold the leader's list too, so that a relay can request it from any
 * of them and a new leader continues from it.
 */
void
peer_send_list_delta (struct group *g)
{
	msgpack_sbuffer delta;

	if (g->endpoints.base_digest == 0)
		return;
	pack_list (g, false, &delta);
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);

		if ((a->is_relay || group_is_leader (g)) &&
		    a->sent_digest == g->endpoints.base_digest)
			send_list (g, a, &delta);
	}
	msgpack_sbuffer_destroy (&delta);
}

/*
 * Full lists are sent round robin, with a limit in bytes per call.  Without it,
 * hundreds of relays that start together would fill this member's memory and
 * network link, and delay raft messages.
 */
void
peer_send_full_lists (struct group *g)
{
	msgpack_sbuffer full = {0};
	size_t sent = 0;

	if (g->endpoints.list == NULL)
		return;
	for (guint i = 0; i < g->accepted->len && sent < FULL_LISTS_TICK_BYTES;
	     i++) {
		guint at = (g->list_cursor + i) % g->accepted->len;
		struct accepted_link *a = g_ptr_array_index (g->accepted, at);

		if (!a->list_requested)
			continue;
		if (full.data == NULL)
			pack_list (g, true, &full);
		a->list_requested = false;
		send_list (g, a, &full);
		sent += full.size;
		g->list_cursor = at + 1;
	}
	msgpack_sbuffer_destroy (&full);
}

static void
request_list (struct group *g, struct link *l, uint64_t now_ms)
{
	struct gmsg_request a = {.list_subscribe = true};

	if (now_ms < g->list_requested_ms + LIST_REQUEST_INTERVAL_MS)
		return;
	g->list_requested_ms = now_ms;
	link_send (l, FRAME_GROUP_ASK, gmsg_request_fields, &a);
}

/* The state of another member may name members that are not known here, and
 * the leader's state shows whether the list held here is the newest. */
static void
receive_state (struct group *g, struct link *l, const struct gmsg_state *s,
	       uint64_t now_ms)
{
	const struct gmsg_addr *a = s->members.items;
	uint64_t read_ms = now_ms - MIN (s->list_age_ms, now_ms);

	for (uint32_t i = 0; i < s->members.count; i++)
		member_get (g, a[i].addr);
	if (!s->is_leader || s->list_digest == 0 ||
	    read_ms <= g->endpoints.read_ms)
		return;
	if (s->list_digest == g->endpoints.digest)
		g->endpoints.read_ms = read_ms;
	else
		request_list (g, l, now_ms);
}

static void
receive_list (struct group *g, struct link *l, const struct gmsg_list *m,
	      uint64_t now_ms)
{
	if (!endpoint_list_receive (g, m, now_ms))
		request_list (g, l, now_ms);
}

static void
handle_frame (struct group *g, struct link *l, uint8_t kind,
	      const uint8_t *body, size_t len)
{
	uint64_t now_ms = tmr_now_ms ();
	struct accepted_link *a = accepted_find (g, l);
	msgpack_zone zone;
	struct err e = {0};
	union {
		struct raft_msg raft;
		struct gmsg_join join;
		struct gmsg_state state;
		struct gmsg_request request;
		struct gmsg_report report;
		struct gmsg_list list;
		struct loads_msg loads;
		struct gmsg_blame blame;
		struct gmsg_rollout_reports rollouts;
	} u;
	bool ok = true;

	if (g->storage_down && (kind == FRAME_RAFT || kind == FRAME_GROUP_JOIN))
		return;
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_RAFT) {
		ok = msg_unpack (raft_msg_fields, body, len, &u.raft, &zone,
				 &e);
		if (ok && a != NULL)
			a->member_id = u.raft.from;
		if (ok)
			raft_step (&g->raft, &u.raft, now_ms);
		group_schedule_flush (g);
	} else if (kind == FRAME_GROUP_JOIN) {
		ok = msg_unpack (gmsg_join_fields, body, len, &u.join, &zone,
				 &e);
		if (ok)
			join_handle_request (g, &u.join);
	} else if (kind == FRAME_GROUP_STATE) {
		ok = msg_unpack (gmsg_state_fields, body, len, &u.state, &zone,
				 &e);
		if (ok)
			receive_state (g, l, &u.state, now_ms);
	} else if (kind == FRAME_GROUP_ASK && a != NULL) {
		ok = msg_unpack (gmsg_request_fields, body, len, &u.request,
				 &zone, &e);
		if (ok && u.request.plan)
			group_config_send (g, l, &u.request, now_ms);
		if (ok && u.request.list_subscribe)
			a->list_requested = true;
		if (ok && u.request.list_unsubscribe)
			a->sent_digest = 0;
	} else if (kind == FRAME_GROUP_LOAD && a != NULL) {
		ok = msg_unpack (loads_msg_fields, body, len, &u.loads, &zone,
				 &e);
		if (ok)
			loads_set_report (&g->loads, a, &u.loads);
		g->loads_changed = true;
	} else if (kind == FRAME_GROUP_LIST) {
		ok = msg_unpack (gmsg_list_fields, body, len, &u.list, &zone,
				 &e);
		if (ok)
			receive_list (g, l, &u.list, now_ms);
	} else if (kind == FRAME_GROUP_BLAME && a != NULL) {
		ok = msg_unpack (gmsg_blame_fields, body, len, &u.blame, &zone,
				 &e);
		if (ok)
			group_blame_receive (g, l, &u.blame, now_ms);
	} else if (kind == FRAME_GROUP_ROLLOUT_REPORT && a != NULL) {
		ok = msg_unpack (gmsg_rollout_reports_fields, body, len,
				 &u.rollouts, &zone, &e);
		if (ok)
			group_rollout_receive (g, l, &u.rollouts, now_ms);
	} else if (kind == FRAME_GROUP_REPORT) {
		ok = msg_unpack (gmsg_report_fields, body, len, &u.report,
				 &zone, &e);
		if (ok)
			usage_report_receive (g, l, &u.report);
	}
	msgpack_zone_destroy (&zone);
	if (!ok)
		log_event (LOG_LV_WARN, "frame", "peer=%s kind=%u why=\"%s\"",
			   link_peer_name (l), kind, e.msg);
}

static void
member_up (struct link *l, void *ctx)
{
	struct member_link *m = ctx;

	(void)l;
	log_event (LOG_LV_INFO, "member-up", "addr=%s", m->addr);
}

static void
member_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	      void *ctx)
{
	struct member_link *m = ctx;

	handle_frame (m->g, l, kind, body, len);
}

static void
member_down (struct link *l, const char *why, void *ctx)
{
	struct member_link *m = ctx;

	(void)l;
	log_event (LOG_LV_INFO, "member-down", "addr=%s why=\"%s\"", m->addr,
		   why);
}

static const struct link_ops member_ops = {
	.up = member_up,
	.frame = member_frame,
	.down = member_down,
};

static void
accepted_up (struct link *l, void *ctx)
{
	struct group *g = ctx;
	struct accepted_link *a = g_new0 (struct accepted_link, 1);
	uint64_t now_ms = tmr_now_ms ();

	a->link = l;
	a->is_relay = strcmp (link_peer_role (l), "relay") == 0;
	g_ptr_array_add (g->accepted, a);
	send_state (g, l, now_ms);
	if (a->is_relay)
		group_blame_send_all (g, l, now_ms);
	group_rollout_link_up (g, a, now_ms);
}

static void
accepted_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
		void *ctx)
{
	struct group *g = ctx;

	handle_frame (g, l, kind, body, len);
}

static void
accepted_down (struct link *l, const char *why, void *ctx)
{
	struct group *g = ctx;
	struct accepted_link *a = accepted_find (g, l);

	(void)why;
	if (a == NULL)
		return;
	loads_drop_relay (&g->loads, a);
	if (a->is_relay)
		group_rollout_link_down (g, a);
	g->loads_changed = true;
	g_ptr_array_remove_fast (g->accepted, a);
	g_free (a);
}

static const struct link_ops accepted_ops = {
	.up = accepted_up,
	.frame = accepted_frame,
	.down = accepted_down,
};

bool
peer_init (struct group *g, struct err *e)
{
	g->members = g_ptr_array_new ();
	g->accepted = g_ptr_array_new ();
	loads_init (&g->loads);
	group_blame_init (g);
	group_config_init (g);
	g->server = link_listen (g->d.loop, &g->self, &g->peer_addr,
				 &accepted_ops, g, e);
	if (g->server == NULL)
		return false;
	members_connect (g);
	return true;
}

void
peer_finish (struct group *g)
{
	for (guint i = 0; i < g->members->len; i++)
		member_free (g_ptr_array_index (g->members, i));
	g_ptr_array_free (g->members, TRUE);
	link_server_free (g->server);
	for (guint i = 0; i < g->accepted->len; i++)
		g_free (g_ptr_array_index (g->accepted, i));
	g_ptr_array_free (g->accepted, TRUE);
	loads_finish (&g->loads);
	group_blame_finish (g);
	group_config_finish (g);
}

uint32_t
peer_voters_in_touch (const struct group *g, uint64_t now_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->members->len; i++) {
		const struct member_link *m = g_ptr_array_index (g->members, i);
		const struct raft_config *c = &g->raft.config;

		if (!link_is_up (m->link) ||
		    now_ms > link_received_ms (m->link) + IN_TOUCH_MS)
			continue;
		for (uint32_t k = 0; k < c->count; k++)
			n += c->members[k].voter &&
			     strcmp (c->members[k].addr, m->addr) == 0;
	}
	return n;
}

/* Whether a link to a member other than @m is up. */
static bool
has_other_member (const struct group *g, const struct member_link *m)
{
	for (guint i = 0; i < g->members->len; i++) {
		const struct member_link *o = g_ptr_array_index (g->members, i);

		if (o != m && link_is_up (o->link))
			return true;
	}
	return false;
}

static void
close_dead_links (struct group *g, uint64_t now_ms)
{
	for (guint i = g->members->len; i > 0; i--) {
		struct member_link *m = g_ptr_array_index (g->members, i - 1);

		if (now_ms > m->last_named_ms + UNNAMED_TIMEOUT_MS &&
		    has_other_member (g, m)) {
			link_close (m->link, "address no longer in use");
			g_ptr_array_remove_index_fast (g->members, i - 1);
			member_free (m);
		} else if (link_is_up (m->link) &&
			   now_ms > link_received_ms (m->link) +
					    LINK_TIMEOUT_MS) {
			link_close (m->link, "silent");
		}
	}
}

static bool
is_member_addr (const struct group *g, const char *addr)
{
	const struct raft_config *c = &g->raft.config;

	for (uint32_t i = 0; i < c->count; i++) {
		if (strcmp (c->members[i].addr, addr) == 0)
			return true;
	}
	return false;
}

/* One that was removed while it was cut off may know no member any more, and
 * opens no link to any.  It learns the members' addresses from their states. */
static void
tell_non_members (struct group *g, uint64_t now_ms)
{
	for (guint i = 0; i < g->members->len; i++) {
		struct member_link *m = g_ptr_array_index (g->members, i);

		if (!is_member_addr (g, m->addr))
			send_state (g, m->link, now_ms);
	}
}

void
peer_tick (struct group *g, uint64_t now_ms)
{
	uint64_t interval_ms = group_is_leader (g) ? GROUP_STATE_LEADER_MS
						   : GROUP_STATE_FOLLOWER_MS;

	peer_send_loads (g, now_ms);
	group_blame_tick (g, now_ms);
	peer_send_full_lists (g);
	if (!g->state_changed && now_ms - g->state_sent_ms < interval_ms)
		return;
	g->state_changed = false;
	g->state_sent_ms = now_ms;
	members_connect (g);
	close_dead_links (g, now_ms);
	for (guint i = 0; i < g->accepted->len; i++)
		send_state (g,
			    ((struct accepted_link *)g_ptr_array_index (
				     g->accepted, i))
				    ->link,
			    now_ms);
	tell_non_members (g, now_ms);
}
