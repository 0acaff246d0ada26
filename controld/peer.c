/*
 * Links: to the other members of the group, and from members and entries.
 * Each member keeps a link to every other; an answer goes over whichever of
 * the two stands.
 */
#include <arpa/inet.h>
#include <string.h>

#include "controld.h"

#define CONFIRMS_MAX 4096
#define PART_HEARTBEATS 3 /* a member that missed so many takes no part */

/* What a member says of itself (FRAME_MEMBER_STATUS). */
struct member_id {
	uint64_t id;
};

struct member_confirm {
	char name[INV_NAME_BYTES];
	uint64_t revision;
};

struct member_status {
	uint64_t id;
	char addr[SET_ADDR_BYTES];
	char admin[SET_ADDR_BYTES];
	bool leads;
	struct msg_list participants; /* of struct member_id */
	struct msg_list confirms;     /* of struct member_confirm */
};

static const struct msg_field member_id_fields[] = {
	MSG_FIELD (1, MSG_U64, struct member_id, id),
	MSG_FIELD_END,
};

static const struct msg_field member_confirm_fields[] = {
	MSG_FIELD (1, MSG_STR, struct member_confirm, name),
	MSG_FIELD (2, MSG_U64, struct member_confirm, revision),
	MSG_FIELD_END,
};

static const struct msg_field member_status_fields[] = {
	MSG_FIELD (1, MSG_U64, struct member_status, id),
	MSG_FIELD (2, MSG_STR, struct member_status, addr),
	MSG_FIELD (3, MSG_STR, struct member_status, admin),
	MSG_FIELD (4, MSG_BOOL, struct member_status, leads),
	MSG_FIELD_LIST (5, struct member_status, participants, struct member_id,
			member_id_fields, RAFT_MEMBERS_MAX),
	MSG_FIELD_LIST (6, struct member_status, confirms,
			struct member_confirm, member_confirm_fields,
			CONFIRMS_MAX),
	MSG_FIELD_END,
};

struct peer *
peer_by_id (struct control *c, uint64_t id)
{
	for (guint i = 0; i < c->peers->len; i++) {
		struct peer *p = g_ptr_array_index (c->peers, i);

		if (p->id == id)
			return p;
	}
	return NULL;
}

struct link *
peer_link (struct peer *p)
{
	if (p->out != NULL && link_is_up (p->out))
		return p->out;
	return p->in;
}

void
peer_send_raft (struct control *c, const struct raft_msg *m)
{
	struct peer *p = peer_by_id (c, m->to);
	struct link *l = p != NULL ? peer_link (p) : NULL;

	if (l != NULL)
		link_send (l, FRAME_RAFT, raft_msg_fields, m);
}

/* Members that vote, answer and hold all that is committed, as the leader
 * knows it. */
static void
note_participants (struct control *c)
{
	const struct raft *r = &c->raft;
	uint32_t n = 0;

	if (r->role != RAFT_LEADER)
		return;
	for (uint32_t i = 0; i < r->config.count; i++) {
		const struct raft_member *m = &r->config.members[i];
		const struct raft_peer *p = raft_peer (r, m->id);
		struct peer *link = peer_by_id (c, m->id);
		bool takes_part =
			m->id == r->id ||
			(p != NULL && link != NULL &&
			 peer_link (link) != NULL &&
			 p->match >= r->term_start &&
			 p->match + RAFT_BATCH_MAX >= r->commit &&
			 r->now_ms <
				 p->acked_ms + PART_HEARTBEATS *
						       r->times.heartbeat_ms);

		if (m->voter && takes_part)
			c->participants[n++] = m->id;
	}
	c->participant_count = n;
	c->participants_ms = r->now_ms;
}

static void
send_status (struct control *c, struct link *l, const GArray *confirms)
{
	struct member_id ids[RAFT_MEMBERS_MAX];
	struct member_status m = {.id = c->id};

	m.leads = c->raft.role == RAFT_LEADER;
	g_strlcpy (m.addr, c->peer_addr, sizeof m.addr);
	g_strlcpy (m.admin, c->admin_addr, sizeof m.admin);
	for (uint32_t i = 0; m.leads && i < c->participant_count; i++)
		ids[i].id = c->participants[i];
	m.participants.items = ids;
	m.participants.count = m.leads ? c->participant_count : 0;
	m.confirms.items = confirms->data;
	m.confirms.count = confirms->len;
	link_send (l, FRAME_MEMBER_STATUS, member_status_fields, &m);
}

/* What entries confirmed here; all of it, or what is new since the last. */
static GArray *
take_confirms (struct control *c, bool all)
{
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct member_confirm));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init (&it, c->confirms);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		struct confirm *k = p;
		struct member_confirm m = {.revision = k->revision};

		if ((!all && !k->dirty) || out->len == CONFIRMS_MAX)
			continue;
		g_strlcpy (m.name, k->name, sizeof m.name);
		g_array_append_val (out, m);
		if (!all)
			k->dirty = false;
	}
	return out;
}

static void
take_status (struct control *c, struct link *l, const struct member_status *m)
{
	struct peer *p = peer_by_id (c, m->id);
	const struct member_id *ids = m->participants.items;
	const struct member_confirm *k = m->confirms.items;

	if (p == NULL)
		return;
	if (l != p->out) {
		p->in = l;
		link_set_data (l, p);
	}
	g_strlcpy (p->admin, m->admin, sizeof p->admin);
	if (m->leads) {
		c->participants_ms = tmr_now_ms ();
		c->participant_count = m->participants.count;
		for (uint32_t i = 0; i < m->participants.count; i++)
			c->participants[i] = ids[i].id;
	}
	for (uint32_t i = 0; i < m->confirms.count; i++)
		conf_confirm (c, k[i].name, k[i].revision, false);
}

union message {
	struct raft_msg raft;
	struct member_status status;
	struct proto_subscribe subscribe;
	struct proto_confirm confirm;
	struct proto_command command;
	struct proto_command_reply reply;
	struct proto_withdraw withdraw;
	struct proto_member_load loads;
};

static const struct {
	uint8_t kind;
	const char *role; /* who may send it, or NULL for anybody */
	const struct msg_field *fields;
} messages[] = {
	{FRAME_RAFT, "control", raft_msg_fields},
	{FRAME_MEMBER_STATUS, "control", member_status_fields},
	{FRAME_MEMBER_LOAD, "control", proto_member_load_fields},
	{FRAME_CONF_SUBSCRIBE, "entry", proto_subscribe_fields},
	{FRAME_CONF_CONFIRM, "entry", proto_confirm_fields},
	{FRAME_COMMAND, NULL, proto_command_fields},
	{FRAME_COMMAND_REPLY, "control", proto_command_reply_fields},
	{FRAME_KEY_WITHDRAW, NULL, proto_withdraw_fields},
};

static void
take_confirm (struct control *c, struct link *l, const struct proto_confirm *m)
{
	const struct proto_load *load = m->load.items;

	conf_confirm (c, link_peer_name (l), m->revision, true);
	if (load != NULL && strcmp (load->entry, link_peer_name (l)) == 0)
		load_take (c, load, true);
}

static void
take_loads (struct control *c, const struct proto_member_load *m)
{
	const struct proto_load *loads = m->loads.items;

	for (uint32_t i = 0; i < m->loads.count; i++)
		load_take (c, &loads[i], false);
}

static void
take_message (struct control *c, struct link *l, uint8_t kind,
	      const union message *m)
{
	switch (kind) {
	case FRAME_RAFT:
		raft_step (&c->raft, &m->raft, tmr_now_ms ());
		control_wake (c);
		break;
	case FRAME_MEMBER_STATUS:
		take_status (c, l, &m->status);
		break;
	case FRAME_CONF_SUBSCRIBE:
		conf_subscribe (c, l, &m->subscribe);
		break;
	case FRAME_CONF_CONFIRM:
		take_confirm (c, l, &m->confirm);
		break;
	case FRAME_MEMBER_LOAD:
		take_loads (c, &m->loads);
		break;
	case FRAME_COMMAND:
		call_on_command (c, l, &m->command);
		break;
	case FRAME_COMMAND_REPLY:
		call_on_reply (c, &m->reply);
		break;
	case FRAME_KEY_WITHDRAW:
		/* Another member commits what it took itself. */
		conf_withdraw (c, m->withdraw.id,
			       strcmp (link_peer_role (l), "control") == 0
				       ? CONTROL_WITHDRAW_MS
				       : 0);
		break;
	}
}

/* A learner may be written to before it knows the group: raft messages from
 * a member not known yet make it one that can be answered. */
static void
note_sender (struct control *c, struct link *l, const struct raft_msg *m)
{
	struct peer *p = peer_by_id (c, m->from);

	if (p == NULL) {
		p = g_new0 (struct peer, 1);
		p->c = c;
		p->id = m->from;
		g_strlcpy (p->name, link_peer_name (l), sizeof p->name);
		g_ptr_array_add (c->peers, p);
	}
	if (l != p->out && p->in != l) {
		p->in = l;
		link_set_data (l, p);
	}
}

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct control *c = ctx;
	union message m;
	msgpack_zone zone;
	struct err e = {0};

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	for (unsigned i = 0; i < G_N_ELEMENTS (messages); i++) {
		if (messages[i].kind != kind)
			continue;
		if (messages[i].role != NULL &&
		    strcmp (messages[i].role, link_peer_role (l)) != 0)
			err_set (&e, ERR_PROTOCOL, "not from a %s",
				 link_peer_role (l));
		else if (msg_unpack (messages[i].fields, body, len, &m, &zone,
				     &e)) {
			if (kind == FRAME_RAFT && m.raft.to == c->id)
				note_sender (c, l, &m.raft);
			take_message (c, l, kind, &m);
		}
	}
	msgpack_zone_destroy (&zone);
	if (e.kind != ERR_NONE)
		log_event (LOG_LV_WARN, "frame", "peer=%s kind=%u bad=\"%s\"",
			   link_peer_name (l), kind, e.msg);
}

static void
on_up (struct link *l, void *ctx)
{
	struct control *c = ctx;
	const struct peer *p = link_data (l);
	GArray *confirms;

	g_hash_table_add (c->links, l);
	log_event (LOG_LV_INFO, "link", "peer=%s role=%s state=up made=%s",
		   link_peer_name (l), link_peer_role (l),
		   p != NULL && p->out == l ? "here" : "there");
	if (strcmp (link_peer_role (l), "control") != 0)
		return;
	confirms = take_confirms (c, true);
	send_status (c, l, confirms);
	g_array_free (confirms, TRUE);
}

static void
on_down (struct link *l, const char *why, void *ctx)
{
	struct control *c = ctx;
	struct peer *p = link_data (l);

	log_event (LOG_LV_INFO, "link", "peer=%s role=%s state=down why=\"%s\"",
		   link_peer_name (l), link_peer_role (l), why);
	g_hash_table_remove (c->links, l);
	if (p != NULL && p->in == l)
		p->in = NULL;
	conf_link_down (c, l);
	call_link_down (c, l);
}

static const struct link_ops ops = {on_up, on_frame, on_down};

bool
peer_listen (struct control *c, struct err *e)
{
	struct sockaddr_in sa;
	char host[INET_ADDRSTRLEN];

	c->peers = g_ptr_array_new ();
	c->links = g_hash_table_new (NULL, NULL);
	if (!link_addr_parse (c->set.peer, &sa, e))
		return false;
	c->server = link_listen (c->d.loop, &c->self, &sa, &ops, c, e);
	if (c->server == NULL)
		return false;
	inet_ntop (AF_INET, &sa.sin_addr, host, sizeof host);
	g_snprintf (c->peer_addr, sizeof c->peer_addr, "%s:%u", host,
		    link_server_port (c->server));
	return true;
}

/* No callback follows, so what rests on the link ends here. */
static void
drop_out (struct peer *p)
{
	if (p->out == NULL)
		return;
	call_link_down (p->c, p->out);
	g_hash_table_remove (p->c->links, p->out);
	link_free (p->out);
	p->out = NULL;
}

static void
peer_free (struct peer *p)
{
	drop_out (p);
	if (p->in != NULL)
		link_set_data (p->in, NULL);
	g_free (p);
}

static void
peer_connect (struct control *c, struct peer *p, const struct raft_member *m)
{
	struct sockaddr_in sa;

	g_strlcpy (p->name, m->name, sizeof p->name);
	if (strcmp (p->addr, m->addr) == 0)
		return;
	g_strlcpy (p->addr, m->addr, sizeof p->addr);
	drop_out (p);
	if (link_addr_parse (p->addr, &sa, NULL) && sa.sin_port != 0) {
		p->out = link_connect (c->d.loop, &c->self, &sa, &ops, c);
		link_set_data (p->out, p);
	}
}

void
peer_remap (struct control *c)
{
	struct raft_config *now = &c->raft.config;

	if (c->peers_of == c->raft.config_changes)
		return;
	c->peers_of = c->raft.config_changes;
	for (guint i = c->peers->len; i-- > 0;) {
		struct peer *p = g_ptr_array_index (c->peers, i);

		if (now->count > 0 && raft_config_find (now, p->id) == NULL) {
			g_ptr_array_remove_index_fast (c->peers, i);
			peer_free (p);
		}
	}
	for (uint32_t i = 0; i < now->count; i++) {
		const struct raft_member *m = &now->members[i];
		struct peer *p = peer_by_id (c, m->id);

		if (m->id == c->id)
			continue;
		if (p == NULL) {
			p = g_new0 (struct peer, 1);
			p->c = c;
			p->id = m->id;
			g_ptr_array_add (c->peers, p);
		}
		peer_connect (c, p, m);
	}
}

/* A group made with port 0 does not know its first member's port yet. */
static void
set_own_addr (struct control *c)
{
	struct raft_member *m = raft_config_find (&c->raft.config, c->id);

	if (c->raft.role == RAFT_LEADER && m != NULL &&
	    g_str_has_suffix (m->addr, ":0"))
		(void)raft_set_addr (&c->raft, c->id, c->peer_addr, NULL);
}

void
peer_tick (struct control *c, uint64_t now_ms)
{
	GArray *confirms;

	if (now_ms < c->status_at_ms)
		return;
	c->status_at_ms = now_ms + CONTROL_STATUS_MS;
	set_own_addr (c);
	note_participants (c);
	confirms = take_confirms (c, false);
	for (guint i = 0; i < c->peers->len; i++) {
		struct link *l = peer_link (g_ptr_array_index (c->peers, i));

		if (l != NULL)
			send_status (c, l, confirms);
	}
	g_array_free (confirms, TRUE);
}

void
peer_close (struct control *c)
{
	for (guint i = 0; i < c->peers->len; i++)
		peer_free (g_ptr_array_index (c->peers, i));
	g_ptr_array_free (c->peers, TRUE);
	if (c->server != NULL)
		link_server_free (c->server);
	g_hash_table_destroy (c->links);
}
