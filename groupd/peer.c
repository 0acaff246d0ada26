/*
 * Links: to the other members, and from members and relays.
 */
#include <arpa/inet.h>
#include <string.h>

#include <xxhash.h>

#include "groupd.h"

/* A link that carried nothing for so long may be silent for good. */
#define SILENT_MS 1500

/* An address that nothing names any more is no longer tried. */
#define UNWANTED_MS 60000

/* Of whole lists, in one turn: at 50 turns a second, three fifths of a
 * member's link of 1 Gbit/s; a relay's link takes its list in a third of a
 * second, so some tens of lists are under way. */
#define LIST_TURN_BYTES (1500U << 10)

/* Between two tellings of loads, at least; and tellings a second to all relays
 * together, so that the work of the member that sums does not grow with their
 * number. */
#define LOADS_MIN_MS 25
#define LOADS_TOLD_PER_S 2000

/* A whole list that was asked for and did not come is asked for again. */
#define LIST_ASK_MS 1000

/* A relay that is told nothing for long takes the others to have nothing. */
#define LOADS_IDLE_MS 500

static const struct link_ops asker_ops;
static const struct link_ops member_ops;

static struct member *
member_get (struct group *g, const char *addr)
{
	struct sockaddr_in to;
	struct member *m;

	for (guint i = 0; i < g->members->len; i++) {
		m = g_ptr_array_index (g->members, i);
		if (strcmp (m->addr, addr) == 0) {
			m->wanted_ms = tmr_now_ms ();
			return m;
		}
	}
	if (!link_addr_parse (addr, &to, NULL) ||
	    strcmp (addr, g->set.peer) == 0)
		return NULL;
	m = g_new0 (struct member, 1);
	m->g = g;
	m->heard_ms = m->wanted_ms = tmr_now_ms ();
	g_strlcpy (m->addr, addr, sizeof m->addr);
	g_ptr_array_add (g->members, m);
	m->out = link_connect (g->d.loop, &g->self, &to, &member_ops, m);
	return m;
}

static void
member_free (struct member *m)
{
	link_free (m->out);
	g_free (m);
}

/* Whom to be linked with: the group's members, and the seeds. */
static void
members_wanted (struct group *g)
{
	for (uint32_t i = 0; i < g->raft.config.count; i++)
		member_get (g, g->raft.config.members[i].addr);
	for (guint i = 0; i < g->set.seeds->len; i++) {
		const char *seed = g_ptr_array_index (g->set.seeds, i);
		const char *colon = strrchr (seed, ':');
		char addr[RAFT_NAME_BYTES];

		g_snprintf (addr, sizeof addr, "%.*s:%u", (int)(colon - seed),
			    seed, ntohs (g->peer_addr.sin_port));
		member_get (g, addr);
	}
}

static struct asker *
asker_find (struct group *g, const struct link *l)
{
	for (guint i = 0; i < g->askers->len; i++) {
		struct asker *a = g_ptr_array_index (g->askers, i);

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
 * A member that was just added has no configuration yet, so it answers on the
 * link that the leader's messages came on.
 */
void
peer_send_raft (struct group *g, const struct raft_msg *m)
{
	const char *addr = member_addr (g, m->to);
	struct member *to = addr != NULL ? member_get (g, addr) : NULL;

	if (to != NULL && link_send (to->out, FRAME_RAFT, raft_msg_fields, m))
		return;
	for (guint i = 0; i < g->askers->len; i++) {
		struct asker *a = g_ptr_array_index (g->askers, i);

		if (a->id == m->to) {
			link_send (a->link, FRAME_RAFT, raft_msg_fields, m);
			return;
		}
	}
}

static uint32_t
relay_count (struct group *g)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->askers->len; i++)
		n += ((struct asker *)g_ptr_array_index (g->askers, i))
			     ->is_relay;
	return n;
}

static void
tell_state (struct group *g, struct link *l, uint64_t now_ms)
{
	struct gstate_drain drains[GSTATE_DOMAINS_MAX] = {0};
	struct gmsg_addr addrs[RAFT_MEMBERS_MAX] = {0};
	struct gmsg_state s = {
		.version = g->state.version,
		.drain_index = g->state.drain_index,
		.is_leader = group_leads (g),
		.has_leader = group_is_fresh (g),
		.list_digest = g->lister.stamp,
		.list_age_ms = (uint32_t)(now_ms - g->lister.list_ms),
		.list_interval_ms = cloud_pause_ms (g),
		.relays = relay_count (g),
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
pack_list (const struct group *g, bool whole, msgpack_sbuffer *out)
{
	const struct lister *l = &g->lister;
	const GArray *list = whole ? l->list : l->changed;
	struct gmsg_list m = {
		.digest = l->stamp,
		.age_ms = (uint32_t)(tmr_now_ms () - l->list_ms),
		.entries = {list->data, list->len},
		.base_digest = whole ? 0 : l->base,
	};

	if (!whole)
		m.removed = (struct msg_list){l->gone->data, l->gone->len};
	msgpack_sbuffer_init (out);
	msg_pack (gmsg_list_fields, &m, out);
}

static void
send_list (struct group *g, struct asker *a, const msgpack_sbuffer *packed)
{
	if (link_send_raw (a->link, FRAME_GROUP_LIST, packed->data,
			   packed->size))
		a->told_stamp = g->lister.stamp;
}

/*
 * What changed, packed once, to those that have the list before; the others see
 * its stamp in the next state and ask.  Members hold the leader's list as well,
 * so that a relay can ask any of them, and one that takes over goes on from it.
 */
void
peer_tell_list (struct group *g)
{
	msgpack_sbuffer changes;

	if (g->lister.base == 0)
		return;
	pack_list (g, false, &changes);
	for (guint i = 0; i < g->askers->len; i++) {
		struct asker *a = g_ptr_array_index (g->askers, i);

		if ((a->is_relay || group_leads (g)) &&
		    a->told_stamp == g->lister.base)
			send_list (g, a, &changes);
	}
	msgpack_sbuffer_destroy (&changes);
}

/*
 * Whole lists go out a bounded number of bytes a turn, in turn: hundreds of
 * relays that start together would else fill this member's memory and link, and
 * the log's messages would wait behind them.
 */
void
peer_list_turn (struct group *g)
{
	msgpack_sbuffer whole = {0};
	size_t sent = 0;

	if (g->lister.list == NULL)
		return;
	for (guint i = 0; i < g->askers->len && sent < LIST_TURN_BYTES; i++) {
		guint at = (g->list_turn + i) % g->askers->len;
		struct asker *a = g_ptr_array_index (g->askers, at);

		if (!a->list_asked)
			continue;
		if (whole.data == NULL)
			pack_list (g, true, &whole);
		a->list_asked = false;
		send_list (g, a, &whole);
		sent += whole.size;
		g->list_turn = at + 1;
	}
	msgpack_sbuffer_destroy (&whole);
}

static void
tell_plan (struct group *g, struct link *l)
{
	struct gmsg_plan m = {.version = g->state.version};
	gsize len = 0;

	if (g->state.text == NULL)
		return;
	m.text.data = g_bytes_get_data (g->state.text, &len);
	m.text.len = (uint32_t)len;
	link_send (l, FRAME_GROUP_PLAN, gmsg_plan_fields, &m);
}

/* Relays decide by what the others have at each endpoint, so they are told
 * within a fraction of the time that a prompt takes to read. */
static uint64_t
loads_pause_ms (struct group *g)
{
	return MAX (LOADS_MIN_MS, relay_count (g) * 1000 / LOADS_TOLD_PER_S);
}

static void
tell_loads_to (struct group *g, struct asker *a, uint64_t now_ms)
{
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct load));
	GArray *parts =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	struct loads_msg m = {0};

	loads_peer_segments (&g->loads, a, parts);
	m.is_delta = loads_peer_loads (&g->loads, a, list);
	m.segments.items = parts->data;
	m.segments.count = parts->len;
	m.loads.items = list->data;
	m.loads.count = list->len;
	/* Where nothing changed, it only has to hear that it is still told. */
	if (!m.is_delta || parts->len > 0 || list->len > 0 ||
	    now_ms - a->loads_told_ms >= LOADS_IDLE_MS) {
		a->loads_told_ms = now_ms;
		if (!link_send (a->link, FRAME_GROUP_OTHERS, loads_msg_fields,
				&m))
			loads_want_snapshot (&g->loads, a);
	}
	g_array_free (list, TRUE);
	g_array_free (parts, TRUE);
}

static void
tell_loads (struct group *g, uint64_t now_ms)
{
	uint64_t pause_ms =
		g->loads_changed ? loads_pause_ms (g) : LOADS_IDLE_MS;

	if (now_ms - g->loads_told_ms < pause_ms)
		return;
	g->loads_changed = false;
	g->loads_told_ms = now_ms;
	for (guint i = 0; i < g->askers->len; i++) {
		struct asker *a = g_ptr_array_index (g->askers, i);

		if (loads_has_relay (&g->loads, a))
			tell_loads_to (g, a, now_ms);
	}
	loads_clear_segments (&g->loads);
}

static void
ask_list (struct group *g, struct link *l, uint64_t now_ms)
{
	struct gmsg_request a = {.list_subscribe = true};

	if (now_ms < g->list_asked_ms + LIST_ASK_MS)
		return;
	g->list_asked_ms = now_ms;
	link_send (l, FRAME_GROUP_ASK, gmsg_request_fields, &a);
}

/* A state that another member told names members that we may not know, and the
 * leader's tells whether our list is the newest. */
static void
take_state (struct group *g, struct link *l, const struct gmsg_state *s,
	    uint64_t now_ms)
{
	const struct gmsg_addr *a = s->members.items;
	uint64_t read_ms = now_ms - MIN (s->list_age_ms, now_ms);

	for (uint32_t i = 0; i < s->members.count; i++)
		member_get (g, a[i].addr);
	if (!s->is_leader || s->list_digest == 0 ||
	    read_ms <= g->lister.list_ms)
		return;
	if (s->list_digest == g->lister.stamp)
		g->lister.list_ms = read_ms;
	else
		ask_list (g, l, now_ms);
}

static void
take_list (struct group *g, struct link *l, const struct gmsg_list *m,
	   uint64_t now_ms)
{
	if (!cloud_take (g, m, now_ms))
		ask_list (g, l, now_ms);
}

static void
take_frame (struct group *g, struct link *l, uint8_t kind, const uint8_t *body,
	    size_t len)
{
	uint64_t now_ms = tmr_now_ms ();
	struct asker *a = asker_find (g, l);
	msgpack_zone zone;
	struct err e = {0};
	union {
		struct raft_msg raft;
		struct gmsg_join join;
		struct gmsg_state state;
		struct gmsg_request ask;
		struct gmsg_report report;
		struct gmsg_list list;
		struct loads_msg loads;
	} u;
	bool ok = true;

	if (g->storage_down && (kind == FRAME_RAFT || kind == FRAME_GROUP_JOIN))
		return;
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_RAFT) {
		ok = msg_unpack (raft_msg_fields, body, len, &u.raft, &zone,
				 &e);
		if (ok && a != NULL)
			a->id = u.raft.from;
		if (ok)
			raft_step (&g->raft, &u.raft, now_ms);
		group_wake (g);
	} else if (kind == FRAME_GROUP_JOIN) {
		ok = msg_unpack (gmsg_join_fields, body, len, &u.join, &zone,
				 &e);
		if (ok)
			join_ask (g, &u.join, now_ms);
	} else if (kind == FRAME_GROUP_STATE) {
		ok = msg_unpack (gmsg_state_fields, body, len, &u.state, &zone,
				 &e);
		if (ok)
			take_state (g, l, &u.state, now_ms);
	} else if (kind == FRAME_GROUP_ASK && a != NULL) {
		ok = msg_unpack (gmsg_request_fields, body, len, &u.ask, &zone,
				 &e);
		if (ok && u.ask.plan)
			tell_plan (g, l);
		if (ok && u.ask.list_subscribe)
			a->list_asked = true;
		if (ok && u.ask.list_unsubscribe)
			a->told_stamp = 0;
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
			take_list (g, l, &u.list, now_ms);
	} else if (kind == FRAME_GROUP_REPORT) {
		ok = msg_unpack (gmsg_report_fields, body, len, &u.report,
				 &zone, &e);
		if (ok)
			duty_take (g, l, &u.report);
	}
	msgpack_zone_destroy (&zone);
	if (!ok)
		log_event (LOG_LV_WARN, "frame", "peer=%s kind=%u why=\"%s\"",
			   link_peer_name (l), kind, e.msg);
}

static void
member_up (struct link *l, void *ctx)
{
	struct member *m = ctx;

	(void)l;
	m->heard_ms = tmr_now_ms ();
	log_event (LOG_LV_INFO, "member-up", "addr=%s", m->addr);
}

static void
member_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	      void *ctx)
{
	struct member *m = ctx;

	m->heard_ms = tmr_now_ms ();
	take_frame (m->g, l, kind, body, len);
}

static void
member_down (struct link *l, const char *why, void *ctx)
{
	struct member *m = ctx;

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
asker_up (struct link *l, void *ctx)
{
	struct group *g = ctx;
	struct asker *a = g_new0 (struct asker, 1);

	a->link = l;
	a->is_relay = strcmp (link_peer_role (l), "relay") == 0;
	a->heard_ms = tmr_now_ms ();
	g_ptr_array_add (g->askers, a);
	tell_state (g, l, a->heard_ms);
}

static void
asker_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	     void *ctx)
{
	struct group *g = ctx;
	struct asker *a = asker_find (g, l);

	if (a != NULL)
		a->heard_ms = tmr_now_ms ();
	take_frame (g, l, kind, body, len);
}

static void
asker_down (struct link *l, const char *why, void *ctx)
{
	struct group *g = ctx;
	struct asker *a = asker_find (g, l);

	(void)why;
	if (a == NULL)
		return;
	loads_drop_relay (&g->loads, a);
	g->loads_changed = true;
	g_ptr_array_remove_fast (g->askers, a);
	g_free (a);
}

static const struct link_ops asker_ops = {
	.up = asker_up,
	.frame = asker_frame,
	.down = asker_down,
};

bool
peer_init (struct group *g, struct err *e)
{
	g->members = g_ptr_array_new ();
	g->askers = g_ptr_array_new ();
	loads_init (&g->loads);
	g->server = link_listen (g->d.loop, &g->self, &g->peer_addr, &asker_ops,
				 g, e);
	if (g->server == NULL)
		return false;
	members_wanted (g);
	return true;
}

void
peer_finish (struct group *g)
{
	for (guint i = 0; i < g->members->len; i++)
		member_free (g_ptr_array_index (g->members, i));
	g_ptr_array_free (g->members, TRUE);
	link_server_free (g->server);
	for (guint i = 0; i < g->askers->len; i++)
		g_free (g_ptr_array_index (g->askers, i));
	g_ptr_array_free (g->askers, TRUE);
	loads_finish (&g->loads);
}

static void
close_silent (struct group *g, uint64_t now_ms)
{
	for (guint i = g->members->len; i > 0; i--) {
		struct member *m = g_ptr_array_index (g->members, i - 1);

		if (now_ms > m->wanted_ms + UNWANTED_MS) {
			link_close (m->out, "no longer named");
			g_ptr_array_remove_index_fast (g->members, i - 1);
			member_free (m);
		} else if (link_is_up (m->out) &&
			   now_ms > m->heard_ms + SILENT_MS) {
			m->heard_ms = now_ms;
			link_close (m->out, "silent");
		}
	}
}

void
peer_tick (struct group *g, uint64_t now_ms)
{
	uint64_t pause_ms = group_leads (g) ? GROUP_STATE_LEADER_MS
					    : GROUP_STATE_FOLLOWER_MS;

	tell_loads (g, now_ms);
	peer_list_turn (g);
	if (!g->changed && now_ms - g->told_ms < pause_ms)
		return;
	g->changed = false;
	g->told_ms = now_ms;
	members_wanted (g);
	close_silent (g, now_ms);
	for (guint i = 0; i < g->askers->len; i++)
		tell_state (g,
			    ((struct asker *)g_ptr_array_index (g->askers, i))
				    ->link,
			    now_ms);
}
