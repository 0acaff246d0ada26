/*
 * Commands on their way to the log: proposed here where this member leads,
 * forwarded to the leader where it does not, and parked while there is none.
 *
 * Every kind of command may be committed twice without harm (see sm.h), so a
 * call whose fate is unclear is sent again until its deadline; only then is
 * the outcome called unknown.
 */
#include <string.h>

#include "controld.h"

#define FORWARD_TIMEOUT_MS 2000
#define CALL_TIMEOUT_MS 2500
#define CALLS_MAX 20000

enum call_state {
	CALL_PARKED,
	CALL_PROPOSED,
	CALL_FORWARDED,
};

struct call {
	uint64_t id;
	enum call_state state;
	uint64_t index; /* where proposed */
	uint64_t term;
	struct link *via; /* where forwarded */
	uint8_t kind;
	struct msg_bytes data; /* kind byte, then the command; NULL to await */
	bool forwarded;
	bool unsure; /* it may have been committed */
	uint64_t deadline_ms;
	call_cb cb;
	void *ctx;
};

static void
call_free (gpointer p)
{
	struct call *call = p;

	g_free ((gpointer)call->data.data);
	g_free (call);
}

void
call_init (struct control *c)
{
	c->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					  call_free);
	c->proposed = g_hash_table_new (g_int64_hash, g_int64_equal);
}

void
call_finish (struct control *c)
{
	g_hash_table_destroy (c->proposed);
	g_hash_table_destroy (c->calls);
}

static void
call_end (struct control *c, struct call *call, enum err_kind error,
	  const struct sm_reply *reply)
{
	struct call_result res = {error, reply};
	call_cb cb = call->cb;
	void *ctx = call->ctx;

	if (call->state == CALL_PROPOSED)
		g_hash_table_remove (c->proposed, &call->index);
	g_hash_table_remove (c->calls, &call->id);
	cb (&res, ctx);
}

static void
call_park (struct control *c, struct call *call, bool unsure)
{
	if (call->state == CALL_PROPOSED)
		g_hash_table_remove (c->proposed, &call->index);
	call->state = CALL_PARKED;
	call->unsure |= unsure;
}

static void
call_propose (struct control *c, struct call *call)
{
	struct err e;

	if (!raft_propose (&c->raft, call->data.data, call->data.len,
			   &call->index, &e))
		return;
	call->term = c->raft.term;
	call->state = CALL_PROPOSED;
	g_hash_table_insert (c->proposed, &call->index, call);
}

static void
call_forward (struct control *c, struct call *call)
{
	struct peer *p = peer_by_id (c, c->raft.leader);
	struct link *l = p != NULL ? peer_link (p) : NULL;
	struct proto_command m = {
		.id = call->id, .kind = call->kind, .forwarded = true};

	m.data.data = call->data.data + 1;
	m.data.len = call->data.len - 1;
	if (l == NULL ||
	    !link_send (l, FRAME_COMMAND, proto_command_fields, &m))
		return;
	call->via = l;
	call->state = CALL_FORWARDED;
}

static void
call_dispatch (struct control *c, struct call *call)
{
	if (c->raft.role == RAFT_LEADER)
		call_propose (c, call);
	else if (!call->forwarded && c->raft.leader != 0)
		call_forward (c, call);
}

static struct call *
call_new (struct control *c, uint32_t timeout_ms, call_cb cb, void *ctx)
{
	struct call *call = g_new0 (struct call, 1);

	call->id = ++c->call_id;
	call->deadline_ms = tmr_now_ms () + timeout_ms;
	call->cb = cb;
	call->ctx = ctx;
	g_hash_table_insert (c->calls, &call->id, call);
	return call;
}

void
call_start (struct control *c, uint8_t kind, const void *data, size_t len,
	    bool forwarded, uint32_t timeout_ms, call_cb cb, void *ctx)
{
	struct call *call = call_new (c, timeout_ms, cb, ctx);
	uint8_t *copy = g_malloc (len + 1);

	copy[0] = kind;
	if (len > 0)
		memcpy (copy + 1, data, len);
	call->kind = kind;
	call->data.data = copy;
	call->data.len = (uint32_t)len + 1;
	call->forwarded = forwarded;
	/* Too many at once: the deadline is now. */
	if (len > RAFT_ENTRY_MAX_BYTES - 1 ||
	    g_hash_table_size (c->calls) > CALLS_MAX)
		call->deadline_ms = 0;
	else
		call_dispatch (c, call);
}

void
call_await (struct control *c, uint64_t index, uint32_t timeout_ms, call_cb cb,
	    void *ctx)
{
	struct call *call = call_new (c, timeout_ms, cb, ctx);

	call->state = CALL_PROPOSED;
	call->index = index;
	call->term = c->raft.term;
	g_hash_table_insert (c->proposed, &call->index, call);
}

void
call_applied (struct control *c, const struct raft_entry *entry,
	      const struct sm_reply *reply)
{
	struct call *call = g_hash_table_lookup (c->proposed, &entry->index);

	if (call == NULL)
		return;
	if (call->term == entry->term)
		call_end (c, call, ERR_NONE, reply);
	else if (call->data.data == NULL)
		call_end (c, call, ERR_NO_QUORUM, NULL);
	else /* Another entry took its place: it was not committed. */
		call_park (c, call, false);
}

/* Entries up to @index came as a snapshot: what they answered is not known. */
void
call_installed (struct control *c, uint64_t index)
{
	GList *all = g_hash_table_get_values (c->proposed);

	for (GList *l = all; l != NULL; l = l->next) {
		struct call *call = l->data;

		if (call->index <= index && call->data.data != NULL)
			call_park (c, call, true);
	}
	g_list_free (all);
}

void
call_link_down (struct control *c, struct link *l)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init (&it, c->calls);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		struct call *call = p;

		if (call->state == CALL_FORWARDED && call->via == l)
			call_park (c, call, true);
	}
}

void
call_tick (struct control *c, uint64_t now_ms)
{
	GList *all = g_hash_table_get_values (c->calls);

	for (GList *l = all; l != NULL; l = l->next) {
		struct call *call = l->data;

		if (call->state == CALL_PARKED && call->forwarded &&
		    c->raft.role != RAFT_LEADER) {
			call_end (c, call,
				  call->unsure ? ERR_OUTCOME_UNKNOWN
					       : ERR_NOT_LEADER,
				  NULL);
		} else if (now_ms >= call->deadline_ms) {
			bool unsure =
				call->unsure || call->state != CALL_PARKED;

			call_end (c, call,
				  unsure ? ERR_OUTCOME_UNKNOWN : ERR_NO_QUORUM,
				  NULL);
		} else if (call->state == CALL_PARKED) {
			call_dispatch (c, call);
		}
	}
	g_list_free (all);
}

/* ---- commands that arrive ---- */

struct asked {
	struct control *c;
	uint64_t id;
	struct link *link; /* compared only; it may be gone */
	uint64_t incarnation;
};

static void
answer (const struct call_result *res, void *ctx)
{
	struct asked *a = ctx;
	struct link *l = a->link;
	struct proto_command_reply m = {.id = a->id,
					.error = (uint8_t)res->error};
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	if (res->error == ERR_NONE) {
		msg_pack (sm_reply_fields, res->reply, &buf);
		m.reply.data = (const uint8_t *)buf.data;
		m.reply.len = (uint32_t)buf.size;
	}
	if (g_hash_table_contains (a->c->links, l) &&
	    link_peer_incarnation (l) == a->incarnation)
		link_send (l, FRAME_COMMAND_REPLY, proto_command_reply_fields,
			   &m);
	msgpack_sbuffer_destroy (&buf);
	g_free (a);
}

void
call_on_command (struct control *c, struct link *l,
		 const struct proto_command *m)
{
	struct asked *a = g_new0 (struct asked, 1);

	a->c = c;
	a->id = m->id;
	a->link = l;
	a->incarnation = link_peer_incarnation (l);
	call_start (c, m->kind, m->data.data, m->data.len, m->forwarded,
		    m->forwarded ? FORWARD_TIMEOUT_MS : CALL_TIMEOUT_MS, answer,
		    a);
}

void
call_on_reply (struct control *c, const struct proto_command_reply *m)
{
	struct call *call = g_hash_table_lookup (c->calls, &m->id);
	struct sm_reply reply;
	msgpack_zone zone;

	if (call == NULL || call->state != CALL_FORWARDED)
		return;
	if (m->error != ERR_NONE) {
		call_park (c, call, m->error == ERR_OUTCOME_UNKNOWN);
		return;
	}
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (msg_unpack (sm_reply_fields, m->reply.data, m->reply.len, &reply,
			&zone, NULL))
		call_end (c, call, ERR_NONE, &reply);
	else
		call_park (c, call, true);
	msgpack_zone_destroy (&zone);
}
