/*
 * The inventory as control members send it, and commands to them.  The entry
 * holds one link, to one member; when that falls silent it turns to the next.
 * A revision once in force is never followed by an older one.
 */
#include <stdio.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

/* Control says at least so often what is in force. */
#define CONTROL_SILENCE_MS 5000
#define COMMANDS_MAX 4096

struct command {
	uint64_t id;
	uint64_t deadline_ms;
	bool sent;
	command_cb cb;
	void *ctx;
};

static void connect_next (struct entry *e);

static void
command_end (struct entry *e, struct command *c, const struct err *err,
	     const struct sm_reply *reply)
{
	command_cb cb = c->cb;
	void *ctx = c->ctx;

	g_hash_table_remove (e->commands, &c->id);
	cb (err, reply, ctx);
}

/* End the commands that @dead says of, all of them where it is 0. */
static void
commands_fail (struct entry *e, uint64_t now_ms, const char *why)
{
	GHashTableIter it;
	gpointer p;
	struct err err;

again:
	g_hash_table_iter_init (&it, e->commands);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		struct command *c = p;

		if (now_ms != 0 && now_ms < c->deadline_ms)
			continue;
		if (c->sent)
			err_set (&err, ERR_OUTCOME_UNKNOWN, "%s", why);
		else
			err_set (&err, ERR_NO_QUORUM,
				 "control is not in reach");
		command_end (e, c, &err, NULL);
		/* The callback may have changed the table. */
		goto again;
	}
}

/*
 * Ask control to commit a command.  @cb is called once, later: with the
 * reply, with ERR_OUTCOME_UNKNOWN where it may or may not have been committed,
 * or with another error where it was not.
 */
void
conf_command (struct entry *e, uint8_t kind, const struct msg_field *fields,
	      const void *cmd, uint32_t timeout_ms, command_cb cb, void *ctx)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	msg_pack (fields, cmd, &buf);
	conf_command_packed (e, kind, buf.data, buf.size, timeout_ms, cb, ctx);
	msgpack_sbuffer_destroy (&buf);
}

/* As conf_command(), with a command that is packed already. */
void
conf_command_packed (struct entry *e, uint8_t kind, const void *data,
		     size_t len, uint32_t timeout_ms, command_cb cb, void *ctx)
{
	struct command *c = g_new0 (struct command, 1);
	struct proto_command m = {.kind = kind};

	c->id = ++e->command_id;
	c->deadline_ms = tmr_now_ms () + timeout_ms;
	c->cb = cb;
	c->ctx = ctx;
	g_hash_table_insert (e->commands, &c->id, c);
	m.id = c->id;
	m.data.data = data;
	m.data.len = (uint32_t)len;
	/* Not sent: the next tick ends it, so that @cb never runs in here. */
	c->sent = e->control != NULL && link_send (e->control, FRAME_COMMAND,
						   proto_command_fields, &m);
	if (!c->sent)
		c->deadline_ms = 0;
}

static void
take_reply (struct entry *e, const struct proto_command_reply *m)
{
	struct command *c = g_hash_table_lookup (e->commands, &m->id);
	struct sm_reply reply;
	msgpack_zone zone;
	struct err err = {0};

	if (c == NULL)
		return;
	if (m->error != ERR_NONE) {
		err_set (&err, (enum err_kind)m->error, "control: %s",
			 err_name ((enum err_kind)m->error));
		command_end (e, c, &err, NULL);
		return;
	}
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (msg_unpack (sm_reply_fields, m->reply.data, m->reply.len, &reply,
			&zone, &err))
		command_end (e, c, NULL, &reply);
	else
		command_end (e, c, &err, NULL);
	msgpack_zone_destroy (&zone);
}

static void
subscribe (struct entry *e, struct link *l)
{
	struct proto_subscribe m = {.revision = e->revision};

	memcpy (m.digest, e->doc.digest, sizeof m.digest);
	memcpy (m.domain, e->set.domain, sizeof m.domain);
	memcpy (m.admin, e->set.admin, sizeof m.admin);
	link_send (l, FRAME_CONF_SUBSCRIBE, proto_subscribe_fields, &m);
}

static void
add_busy (GArray *list, const char *name, uint32_t busy)
{
	struct proto_busy b = {.busy = busy};

	if (busy == 0 || list->len == PROTO_BUSY_MAX)
		return;
	g_strlcpy (b.name, name, sizeof b.name);
	g_array_append_val (list, b);
}

/* Requests at engines, by domain, and at those on their way out. */
static void
fill_load (const struct entry *e, struct proto_load *l, GArray *domains,
	   GArray *releasing)
{
	uint32_t *sums = g_new0 (uint32_t, e->inv->domain_count + 1);

	memset (l, 0, sizeof *l);
	g_strlcpy (l->entry, e->set.name, sizeof l->entry);
	l->incarnation = e->self.incarnation;
	l->revision = e->revision;
	l->asked = e->asked;
	l->attained = e->attained;
	for (uint32_t i = 0; i < e->inv->endpoint_count; i++) {
		const struct inv_endpoint *ep = &e->inv->endpoints[i];

		if (ep->kind == INV_ENGINE)
			sums[ep->domain_ix] += e->bb.eps[i]->in_flight;
		if (ep->releasing)
			add_busy (releasing, ep->name, e->bb.eps[i]->in_flight);
	}
	for (uint32_t i = 0; i < e->inv->domain_count; i++)
		add_busy (domains, e->inv->domains[i].name, sums[i]);
	g_free (sums);
	l->domains.items = domains->data;
	l->domains.count = domains->len;
	l->releasing.items = releasing->data;
	l->releasing.count = releasing->len;
}

static void
confirm (struct entry *e)
{
	GArray *domains = g_array_new (FALSE, TRUE, sizeof (struct proto_busy));
	GArray *releasing =
		g_array_new (FALSE, TRUE, sizeof (struct proto_busy));
	struct proto_confirm m = {.revision = e->revision};
	struct proto_load load;

	memcpy (m.digest, e->doc.digest, sizeof m.digest);
	if (e->inv != NULL && e->inv->settings.scale) {
		fill_load (e, &load, domains, releasing);
		m.load.items = &load;
		m.load.count = 1;
	}
	if (e->control != NULL)
		link_send (e->control, FRAME_CONF_CONFIRM, proto_confirm_fields,
			   &m);
	g_array_free (domains, TRUE);
	g_array_free (releasing, TRUE);
}

/* Put a document in force. */
static bool
put_in_force (struct entry *e, struct inv_doc *doc, uint64_t revision)
{
	struct inv *inv = g_new0 (struct inv, 1), *old = e->inv;
	struct err err = {0};
	uint64_t now_ms = tmr_now_ms ();

	if (!inv_build (inv, doc, revision, NULL, &err)) {
		log_event (LOG_LV_ERROR, "config",
			   "revision=%" G_GUINT64_FORMAT
			   " verdict=refused why=\"%s\"",
			   revision, err.msg);
		g_free (inv);
		return false;
	}
	e->inv = inv;
	bb_apply_inv (&e->bb, inv, now_ms);
	adm_sweep (&e->adm);
	lease_remap (&e->lease, now_ms);
	part_remap (&e->part, now_ms);
	susp_configure (&e->susp, &inv->settings);
	e->retry.budget_permille = inv->settings.retry_permille;
	target_remap (e);
	inv_doc_finish (&e->doc);
	e->doc = *doc;
	e->revision = revision;
	peer_remap (e);
	member_remap (e);
	key_remap (e);
	if (old != NULL) {
		inv_finish (old);
		g_free (old);
	}
	log_event (LOG_LV_INFO, "config",
		   "revision=%" G_GUINT64_FORMAT
		   " verdict=in_force endpoints=%u accounts=%u keys=%u",
		   revision, inv->endpoint_count, inv->account_count,
		   inv->key_count);
	return true;
}

/* Part of an update: gathered in next_doc until its last part. */
static bool
gather (struct entry *e, const struct proto_update *u, struct err *err)
{
	struct inv_delta delta = {u->delta};

	if (!e->next_open) {
		if (u->base == 0)
			inv_doc_init (&e->next_doc);
		else
			inv_doc_copy (&e->next_doc, &e->doc);
		e->next_open = true;
	}
	if (!inv_doc_apply (&e->next_doc, &delta, err)) {
		inv_doc_finish (&e->next_doc);
		e->next_open = false;
		return false;
	}
	return true;
}

static void
apply_update (struct entry *e, struct link *l, const struct proto_update *u)
{
	struct err err = {0};
	bool ok;

	if (u->base != 0 && u->base != e->revision) {
		subscribe (e, l);
		return;
	}
	if (!gather (e, u, &err)) {
		log_event (LOG_LV_ERROR, "config", "verdict=bad why=\"%s\"",
			   err.msg);
		return;
	}
	if (u->more)
		return;
	e->next_open = false;
	ok = memcmp (e->next_doc.digest, u->digest, INV_DIGEST_BYTES) == 0;
	if (!ok)
		log_event (LOG_LV_ERROR, "config",
			   "revision=%" G_GUINT64_FORMAT
			   " verdict=digest_differs",
			   u->revision);
	if (ok && put_in_force (e, &e->next_doc, u->revision)) {
		work_wake (e);
		return;
	}
	inv_doc_finish (&e->next_doc);
	/* Start over from the whole document. */
	e->resync = true;
}

/* An update, or a heartbeat, from control or from a peer. */
void
conf_on_update (struct entry *e, struct link *l, const struct proto_update *u,
		bool from_control)
{
	const struct proto_key_id *ids = u->withdrawn.items;

	for (uint32_t i = 0; i < u->withdrawn.count; i++) {
		key_withdraw (e, ids[i].id);
		if (from_control)
			g_hash_table_remove (e->untold, ids[i].id);
	}
	if (u->leaving_told)
		target_leaving (e, u->leaving.items, u->leaving.count);
	if (from_control) {
		e->control_heard_ms = tmr_now_ms ();
		if (u->quorum && u->revision >= e->revision)
			e->confirmed_ms = e->control_heard_ms;
	}
	if (u->revision < e->revision)
		return;
	if (u->revision == e->revision &&
	    memcmp (u->digest, e->doc.digest, sizeof u->digest) == 0) {
		if (from_control && u->delta.count == 0)
			confirm (e);
		return;
	}
	if (u->revision == e->revision && u->base != 0) {
		/* Another group's revision of the same number. */
		if (from_control)
			e->resync = true;
		return;
	}
	if (u->delta.count == 0 && !u->more && u->base == u->revision) {
		/* A heartbeat that names a revision we lack. */
		subscribe (e, l);
		return;
	}
	apply_update (e, l, u);
	if (u->revision == e->revision && !e->resync)
		confirm (e);
}

static void
on_up (struct link *l, void *ctx)
{
	struct entry *e = ctx;

	log_event (LOG_LV_INFO, "control", "member=%s state=up",
		   link_peer_name (l));
	e->control_heard_ms = tmr_now_ms ();
	if (e->next_open)
		inv_doc_finish (&e->next_doc);
	e->next_open = false;
	subscribe (e, l);
}

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct entry *e = ctx;
	union {
		struct proto_update update;
		struct proto_command_reply reply;
	} m;
	msgpack_zone zone;
	struct err err = {0};

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_CONF_UPDATE) {
		if (msg_unpack (proto_update_fields, body, len, &m, &zone,
				&err))
			conf_on_update (e, l, &m.update, true);
	} else if (kind == FRAME_COMMAND_REPLY) {
		if (msg_unpack (proto_command_reply_fields, body, len, &m,
				&zone, &err))
			take_reply (e, &m.reply);
	}
	msgpack_zone_destroy (&zone);
	if (err.kind != ERR_NONE)
		log_event (LOG_LV_WARN, "control", "kind=%u bad=\"%s\"", kind,
			   err.msg);
}

static void
on_down (struct link *l, const char *why, void *ctx)
{
	struct entry *e = ctx;

	log_event (LOG_LV_WARN, "control", "member=%s state=down why=\"%s\"",
		   link_peer_name (l), why);
	commands_fail (e, 0, "link to control went down");
	e->control_turn = true;
}

static void
connect_next (struct entry *e)
{
	static const struct link_ops ops = {on_up, on_frame, on_down};
	struct sockaddr_in sa;
	const char *addr;

	link_free (e->control);
	e->control_ix = (e->control_ix + 1) % e->set.control->len;
	addr = g_ptr_array_index (e->set.control, e->control_ix);
	e->control_turn = false;
	e->control_heard_ms = tmr_now_ms ();
	if (!link_addr_parse (addr, &sa, NULL)) {
		e->control = NULL;
		return;
	}
	e->control = link_connect (e->d.loop, &e->self, &sa, &ops, e);
}

void
conf_init (struct entry *e)
{
	inv_doc_init (&e->doc);
	e->commands = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					     g_free);
	/* Entries spread over the members. */
	e->control_ix = g_rand_int (e->rand) % e->set.control->len;
	connect_next (e);
}

/* Turn to another member where this one is silent; end late commands. */
void
conf_tick (struct entry *e, uint64_t now_ms)
{
	bool up = e->control != NULL && link_is_up (e->control);
	uint64_t patience_ms = up ? CONTROL_SILENCE_MS : CONTROL_SILENCE_MS / 5;
	/* Part of a large document counts as a sign of life. */
	uint64_t heard_ms =
		up ? MAX (e->control_heard_ms, link_received_ms (e->control))
		   : e->control_heard_ms;

	commands_fail (e, now_ms, "no answer from control in time");
	key_tell_control (e, now_ms);
	if (e->control_turn || now_ms - heard_ms > patience_ms) {
		commands_fail (e, 0, "control member is silent");
		connect_next (e);
	} else if (e->resync && link_is_up (e->control)) {
		/* A digest that differed: ask for the whole document, below
		 * which this revision is not taken back. */
		uint64_t have = e->revision;

		e->resync = false;
		e->revision = 0;
		subscribe (e, e->control);
		e->revision = have;
	}
}

void
conf_finish (struct entry *e)
{
	link_free (e->control);
	g_hash_table_destroy (e->commands);
	if (e->next_open)
		inv_doc_finish (&e->next_doc);
	inv_doc_finish (&e->doc);
}
