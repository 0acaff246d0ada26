/*
 * The log core's owner: its durable state in the data folder, and the state
 * machine that its entries are applied to.
 */
#include <string.h>

#include <sodium.h>

#include "controld.h"

static const struct raft_times times = {.heartbeat_ms = CONTROL_HEARTBEAT_MS,
					.election_ms = CONTROL_ELECTION_MS,
					.lease_margin_ms =
						CONTROL_LEASE_MARGIN_MS};
#define SNAPSHOT_MIN_BYTES (64U << 10)

static const struct raft_limits limits = {.snapshot_entries = 1000,
					  .snapshot_bytes = SNAPSHOT_MIN_BYTES,
					  .max_bytes = 32U << 20,
					  .keep_entries = 500};

/* A failed write is final: the process ends and reads the folder again. */
static bool
check (struct control *c, bool ok)
{
	if (!ok)
		log_event (LOG_LV_ERROR, "storage", "kind=%s why=\"%s\"",
			   err_name (c->storage.kind), c->storage.msg);
	return ok;
}

static void
op_send (const struct raft_msg *m, void *ctx)
{
	peer_send_raft (ctx, m);
}

static bool
op_save_vote (uint64_t term, uint64_t vote, void *ctx)
{
	struct control *c = ctx;

	return check (c, wal_vote (&c->wal, term, vote, &c->storage));
}

static bool
op_append (const struct raft_entry *entry, void *ctx)
{
	struct control *c = ctx;

	control_wake (c);
	return check (c, wal_append (&c->wal, entry, &c->storage));
}

static bool
op_truncate (uint64_t index, void *ctx)
{
	struct control *c = ctx;

	log_event (LOG_LV_INFO, "log-truncate", "from=%" G_GUINT64_FORMAT,
		   index);
	return check (c, wal_truncate (&c->wal, index, &c->storage));
}

static bool
op_sync (void *ctx)
{
	struct control *c = ctx;

	return check (c, wal_sync (&c->wal, &c->storage));
}

static void
op_apply (const struct raft_entry *entry, void *ctx)
{
	struct control *c = ctx;
	struct sm_reply reply;

	if (entry->kind == RAFT_ENTRY_COMMAND && entry->data.len > 0)
		sm_apply (c->sm, entry->index, entry->term, entry->data.data[0],
			  entry->data.data + 1, entry->data.len - 1, &reply);
	else
		sm_apply (c->sm, entry->index, entry->term, SM_NOOP, NULL, 0,
			  &reply);
	call_applied (c, entry, &reply);
}

static bool
op_snapshot (uint64_t index, uint64_t term, const struct raft_config *config,
	     uint64_t base, void *ctx)
{
	struct control *c = ctx;
	struct wal_snapshot s = {
		.index = index, .term = term, .config = config};
	msgpack_sbuffer buf;
	bool ok;

	msgpack_sbuffer_init (&buf);
	sm_snapshot (c->sm, &buf);
	s.data = buf.data;
	s.len = buf.size;
	ok = wal_snapshot (&c->wal, &s, &c->raft.log, base, &c->storage);
	c->raft.limits.snapshot_bytes = MAX (buf.size, SNAPSHOT_MIN_BYTES);
	log_event (LOG_LV_INFO, "snapshot",
		   "index=%" G_GUINT64_FORMAT " base=%" G_GUINT64_FORMAT
		   " bytes=%zu",
		   index, base, buf.size);
	msgpack_sbuffer_destroy (&buf);
	return check (c, ok);
}

static bool
op_chunk (uint64_t offset, size_t max, struct msg_bytes *chunk, bool *last,
	  void *ctx)
{
	struct control *c = ctx;

	return check (
		c, wal_chunk (&c->wal, offset, max, chunk, last, &c->storage));
}

static bool
op_install (uint64_t index, uint64_t term, const struct raft_config *config,
	    const void *data, size_t len, void *ctx)
{
	struct control *c = ctx;
	struct wal_snapshot s = {.index = index,
				 .term = term,
				 .config = config,
				 .data = data,
				 .len = len};

	if (!check (c, sm_restore (c->sm, data, len, &c->storage) &&
			       wal_install (&c->wal, &s, &c->storage)))
		return false;
	log_event (LOG_LV_INFO, "snapshot-install",
		   "index=%" G_GUINT64_FORMAT " bytes=%zu", index, len);
	call_installed (c, index);
	return true;
}

static void
op_role (void *ctx)
{
	struct control *c = ctx;

	log_event (LOG_LV_INFO, "role",
		   "role=%s term=%" G_GUINT64_FORMAT
		   " leader=%016" G_GINT64_MODIFIER "x",
		   raft_role_name (c->raft.role), c->raft.term, c->raft.leader);
	control_wake (c);
}

static uint64_t
op_now (void *ctx)
{
	(void)ctx;
	return tmr_now_ms ();
}

static const struct raft_ops ops = {
	.send = op_send,
	.save_vote = op_save_vote,
	.append = op_append,
	.truncate = op_truncate,
	.sync = op_sync,
	.apply = op_apply,
	.snapshot = op_snapshot,
	.snapshot_chunk = op_chunk,
	.install = op_install,
	.role = op_role,
	.now = op_now,
};

static bool
load (struct control *c, const struct wal_state *st, struct err *e)
{
	c->id = st->id;
	raft_init (&c->raft, st->id, &times, &limits, &ops, c,
		   randombytes_random ());
	raft_load_vote (&c->raft, st->term, st->vote);
	if (st->snap_index > 0) {
		if (!sm_restore (c->sm, st->snap_data->data, st->snap_data->len,
				 e))
			return false;
		raft_load_snapshot (&c->raft, st->snap_index, st->snap_term,
				    &st->snap_config);
	}
	raft_load_base (&c->raft, st->base, st->base_term);
	for (guint i = 0; i < st->entries->len; i++) {
		if (!raft_load_entry (&c->raft,
				      g_ptr_array_index (st->entries, i), e))
			return false;
	}
	log_event (LOG_LV_INFO, "loaded",
		   "id=%016" G_GINT64_MODIFIER "x term=%" G_GUINT64_FORMAT
		   " snapshot=%" G_GUINT64_FORMAT " last=%" G_GUINT64_FORMAT,
		   st->id, st->term, st->snap_index,
		   st->base + st->entries->len);
	return true;
}

bool
store_open (struct control *c, struct err *e)
{
	struct wal_state st;
	bool ok;

	c->sm = sm_new ();
	ok = wal_open (&c->wal, c->set.data_dir, NULL, NULL, &st, e);
	if (ok && !load (c, &st, e)) {
		raft_finish (&c->raft);
		wal_finish (&c->wal);
		ok = false;
	}
	wal_state_finish (&st);
	if (!ok) {
		sm_free (c->sm);
		c->sm = NULL;
	}
	return ok;
}

void
store_close (struct control *c)
{
	raft_finish (&c->raft);
	wal_finish (&c->wal);
	sm_free (c->sm);
}

static bool
first_command (const char *path, msgpack_sbuffer *out, struct err *e)
{
	struct sm_config cmd = {.wall_ms = tmr_wall_ms ()};
	GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct inv_change));
	struct inv_doc none;
	struct inv_doc doc;
	char kind = SM_CONFIG;
	gchar *text = NULL;
	gsize len = 0;
	bool ok;

	inv_doc_init (&none);
	inv_doc_init (&doc);
	g_strlcpy (cmd.change_id, "init", sizeof cmd.change_id);
	g_strlcpy (cmd.who, "init", sizeof cmd.who);
	ok = g_file_get_contents (path, &text, &len, NULL) ||
	     err_set (e, ERR_IO, "read inventory %s", path);
	ok = ok && inv_doc_parse (&doc, text, len, NULL, e);
	if (ok) {
		inv_doc_diff (&none, &doc, changes);
		cmd.delta.changes.items = changes->data;
		cmd.delta.changes.count = changes->len;
		msgpack_sbuffer_write (out, &kind, 1);
		msg_pack (sm_config_fields, &cmd, out);
		ok = out->size <= RAFT_ENTRY_MAX_BYTES ||
		     err_set (e, ERR_TOO_LARGE, "inventory %s: too large",
			      path);
	}
	g_free (text);
	g_array_free (changes, TRUE);
	inv_doc_finish (&doc);
	inv_doc_finish (&none);
	return ok;
}

bool
store_init (struct control *c, bool join, const char *inventory, struct err *e)
{
	struct raft_config config = {.count = 1};
	struct raft_member *m = &config.members[0];
	struct msg_bytes command;
	msgpack_sbuffer first;
	uint64_t id;
	bool ok;

	do {
		randombytes_buf (&id, sizeof id);
	} while (id == 0);
	m->id = id;
	m->voter = true;
	g_strlcpy (m->name, c->set.name, sizeof m->name);
	g_strlcpy (m->addr, c->set.peer, sizeof m->addr);
	g_strlcpy (m->domain, c->set.domain, sizeof m->domain);
	msgpack_sbuffer_init (&first);
	ok = inventory == NULL || first_command (inventory, &first, e);
	command.data = (const uint8_t *)first.data;
	command.len = (uint32_t)first.size;
	ok = ok && wal_create (c->set.data_dir, id, join ? NULL : &config,
			       first.size > 0 ? &command : NULL, NULL, NULL, e);
	msgpack_sbuffer_destroy (&first);
	if (ok)
		g_print ("%016" G_GINT64_MODIFIER "x\n", id);
	return ok;
}
