/*
 * Callbacks of raft: keep its log and snapshots in the data directory, and
 * apply committed entries to the replicated state.
 */
#include <errno.h>
#include <string.h>
#include <sys/stat.h>

#include <sodium.h>
#include <xxhash.h>

#include "groupd.h"

/* Elections end well within the timeouts of operators and relays, and a process
 * that stalls for half a second is not taken for dead. */
#define HEARTBEAT_MS 100
#define ELECTION_MS 500
#define LEASE_MARGIN_MS 100

/* Interval between attempts to load the data directory after a failed write. */
#define REOPEN_INTERVAL_MS 1000

#define SNAPSHOT_ENTRIES 200
#define SNAPSHOT_MIN_BYTES (1U << 20)
#define LOG_MAX_BYTES (16U << 20)

/* Entries kept behind a snapshot for slow followers. */
#define KEEP_ENTRIES 50

static const struct raft_times times = {HEARTBEAT_MS, ELECTION_MS,
					LEASE_MARGIN_MS};
static const struct raft_limits limits = {.snapshot_entries = SNAPSHOT_ENTRIES,
					  .snapshot_bytes = SNAPSHOT_MIN_BYTES,
					  .max_bytes = LOG_MAX_BYTES,
					  .keep_entries = KEEP_ENTRIES};

/* Logs the storage error where @ok is false.  It is final for raft, which stops
 * until store_recover() loads the data directory again. */
static bool
check_storage (struct group *g, bool ok)
{
	if (!ok)
		log_event (LOG_LV_ERROR, "storage", "kind=%s why=\"%s\"",
			   err_name (g->storage_err.kind), g->storage_err.msg);
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
	struct group *g = ctx;

	return check_storage (g,
			      wal_vote (&g->wal, term, vote, &g->storage_err));
}

static bool
op_append (const struct raft_entry *entry, void *ctx)
{
	struct group *g = ctx;

	group_schedule_flush (g);
	return check_storage (g, wal_append (&g->wal, entry, &g->storage_err));
}

static bool
op_truncate (uint64_t index, void *ctx)
{
	struct group *g = ctx;

	log_event (LOG_LV_INFO, "log-truncate", "from=%" G_GUINT64_FORMAT,
		   index);
	return check_storage (g,
			      wal_truncate (&g->wal, index, &g->storage_err));
}

static bool
op_sync (void *ctx)
{
	struct group *g = ctx;

	return check_storage (g, wal_sync (&g->wal, &g->storage_err));
}

static void
op_apply (const struct raft_entry *entry, void *ctx)
{
	struct group *g = ctx;
	uint64_t old_version = g->state.version;
	uint64_t old_drain_index = g->state.drain_index;
	uint64_t old_rollout_index = g->state.rollout_index;
	uint64_t old_blamed_wall_ms = g->state.blamed_wall_ms;
	struct err e = {0};

	if (entry->kind == RAFT_ENTRY_COMMAND &&
	    !gstate_apply (&g->state, entry->index, entry->data.data,
			   entry->data.len, &e))
		log_event (LOG_LV_ERROR, "apply",
			   "index=%" G_GUINT64_FORMAT " why=\"%s\"",
			   entry->index, e.msg);
	if (g->state.version != old_version ||
	    g->state.drain_index != old_drain_index) {
		log_event (LOG_LV_INFO, "applied",
			   "index=%" G_GUINT64_FORMAT
			   " version=%" G_GUINT64_FORMAT " drained_domains=%u",
			   entry->index, g->state.version,
			   g->state.drained->len);
		g->state_changed = true;
	}
	if (g->state.blamed_wall_ms != old_blamed_wall_ms)
		g->blame_restore_due = true;
	if (g->state.rollout_index != old_rollout_index) {
		log_event (LOG_LV_INFO, "applied-rollout",
			   "index=%" G_GUINT64_FORMAT " rollouts=%u",
			   entry->index, g->state.rollouts->len);
		g->rollouts.changed = true;
	}
	group_rollout_applied (g, entry);
	api_entry_applied (g, entry);
}

static bool
op_snapshot (uint64_t index, uint64_t term, const struct raft_config *config,
	     uint64_t base, void *ctx)
{
	struct group *g = ctx;
	struct wal_snapshot s = {
		.index = index, .term = term, .config = config};
	msgpack_sbuffer buf;
	bool ok;

	msgpack_sbuffer_init (&buf);
	gstate_snapshot (&g->state, &buf);
	s.data = buf.data;
	s.len = buf.size;
	ok = wal_snapshot (&g->wal, &s, &g->raft.log, base, &g->storage_err);
	log_event (LOG_LV_INFO, "snapshot",
		   "index=%" G_GUINT64_FORMAT " bytes=%zu", index, buf.size);
	msgpack_sbuffer_destroy (&buf);
	return check_storage (g, ok);
}

static bool
op_snapshot_chunk (uint64_t offset, size_t max, struct msg_bytes *chunk,
		   bool *last, void *ctx)
{
	struct group *g = ctx;

	return check_storage (g, wal_chunk (&g->wal, offset, max, chunk, last,
					    &g->storage_err));
}

static bool
op_install (uint64_t index, uint64_t term, const struct raft_config *config,
	    const void *data, size_t len, void *ctx)
{
	struct group *g = ctx;
	struct wal_snapshot s = {.index = index,
				 .term = term,
				 .config = config,
				 .data = data,
				 .len = len};

	g->state_changed = true;
	g->rollouts.changed = true;
	g->blame_restore_due = true;
	log_event (LOG_LV_INFO, "snapshot-install",
		   "index=%" G_GUINT64_FORMAT " bytes=%zu", index, len);
	return check_storage (
		g, gstate_restore (&g->state, data, len, &g->storage_err) &&
			   wal_install (&g->wal, &s, &g->storage_err));
}

static void
op_role (void *ctx)
{
	struct group *g = ctx;

	log_event (LOG_LV_INFO, "role",
		   "role=%s term=%" G_GUINT64_FORMAT
		   " leader=%016" G_GINT64_MODIFIER "x voters=%u",
		   raft_role_name (g->raft.role), g->raft.term, g->raft.leader,
		   raft_config_voters (&g->raft.config));
	g->state_changed = true;
	group_schedule_flush (g);
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
	.snapshot_chunk = op_snapshot_chunk,
	.install = op_install,
	.role = op_role,
	.now = op_now,
};

/* Loads what wal_open() read into raft and the replicated state. */
static bool
load (struct group *g, const struct wal_state *st, struct err *e)
{
	struct raft_limits with_losses = limits;

	g->id = st->id;
	g->blame_restore_due = true;
	with_losses.disk_losses = g->set.disk_losses;
	raft_init (&g->raft, st->id, &times, &with_losses, &ops, g,
		   randombytes_random ());
	raft_load_vote (&g->raft, st->term, st->vote);
	if (st->snap_index > 0) {
		if (!gstate_restore (&g->state, st->snap_data->data,
				     st->snap_data->len, e))
			return false;
		raft_load_snapshot (&g->raft, st->snap_index, st->snap_term,
				    &st->snap_config);
	}
	raft_load_base (&g->raft, st->base, st->base_term);
	for (guint i = 0; i < st->entries->len; i++) {
		if (!raft_load_entry (&g->raft,
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

/* The ids of the founding members follow from their addresses, so that all
 * founders agree on them without communication. */
static uint64_t
founder_id (const char *addr)
{
	return XXH64 (addr, strlen (addr), 0) | 1;
}

static gint
compare_strings (gconstpointer a, gconstpointer b)
{
	return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* The first configuration: the seeds, at this member's peer port, as voters. */
static void
founding_config (const struct group *g, struct raft_config *c)
{
	GPtrArray *addrs = g_ptr_array_new_with_free_func (g_free);

	for (guint i = 0; i < g->set.seeds->len; i++) {
		char addr[RAFT_NAME_BYTES];

		seeds_peer_addr (g_ptr_array_index (g->set.seeds, i),
				 ntohs (g->peer_addr.sin_port), addr,
				 sizeof addr);
		g_ptr_array_add (addrs, g_strdup (addr));
	}
	g_ptr_array_sort (addrs, compare_strings);
	*c = (struct raft_config){0};
	for (guint i = 0; i < addrs->len; i++) {
		struct raft_member *m = &c->members[c->count++];
		const char *addr = g_ptr_array_index (addrs, i);

		m->id = founder_id (addr);
		m->voter = true;
		g_strlcpy (m->name, addr, sizeof m->name);
		g_strlcpy (m->addr, addr, sizeof m->addr);
	}
	g_ptr_array_free (addrs, TRUE);
}

/*
 * Creates an empty data directory, for a founder or for a member that will ask
 * to join under a new id.  A member that lost its disk must not vote under its
 * old id, since it could contradict votes and entries that it had made durable.
 */
static bool
create (struct group *g, struct err *e)
{
	struct raft_config c;
	uint64_t founder = founder_id (g->set.peer), id;
	bool is_founder;

	founding_config (g, &c);
	is_founder = g->set.found && raft_config_find (&c, founder) != NULL;
	do {
		randombytes_buf (&id, sizeof id);
	} while (id == 0);
	log_event (LOG_LV_INFO, "create", "founder=%d", is_founder);
	return wal_create (g->set.data_dir, is_founder ? founder : id,
			   is_founder ? &c : NULL, NULL, NULL, NULL, e);
}

bool
store_open (struct group *g, struct err *e)
{
	struct wal_state st;
	bool ok;

	gstate_init (&g->state);
	if (mkdir (g->set.data_dir, 0700) != 0 && errno != EEXIST)
		log_event (LOG_LV_WARN, "mkdir", "dir=%s why=\"%s\"",
			   g->set.data_dir, strerror (errno));
	ok = wal_open (&g->wal, g->set.data_dir, NULL, NULL, &st, e);
	if (!ok && e->kind == ERR_NOT_FOUND) {
		wal_state_finish (&st);
		err_clear (e);
		ok = create (g, e) &&
		     wal_open (&g->wal, g->set.data_dir, NULL, NULL, &st, e);
	}
	if (ok && !load (g, &st, e)) {
		raft_finish (&g->raft);
		wal_finish (&g->wal);
		ok = false;
	}
	wal_state_finish (&st);
	/* Should the folder be lost while this process runs, the id of a
	 * founder is not taken again. */
	if (ok)
		g->set.found = false;
	return ok;
}

void
store_close (struct group *g)
{
	if (!g->storage_down) {
		raft_finish (&g->raft);
		wal_finish (&g->wal);
	}
	gstate_finish (&g->state);
}

/*
 * After a failed write the contents of the disk are known only by reading them
 * again.  Until that succeeds the member takes no part in the group; the
 * process stays up, since it still serves endpoint lists and redirects
 * operators to the leader.
 */
void
store_fail (struct group *g, uint64_t now_ms)
{
	log_event (LOG_LV_ERROR, "storage-down", "kind=%s why=\"%s\"",
		   err_name (g->storage_err.kind), g->storage_err.msg);
	api_refuse_all (g, "storage failed");
	store_close (g);
	memset (&g->raft, 0, sizeof g->raft);
	gstate_init (&g->state);
	g->storage_down = true;
	g->reopen_at_ms = now_ms + REOPEN_INTERVAL_MS;
	g->state_changed = true;
}

bool
store_recover (struct group *g, uint64_t now_ms)
{
	struct err e = {0};

	if (!g->storage_down)
		return true;
	if (now_ms < g->reopen_at_ms)
		return false;
	g->reopen_at_ms = now_ms + REOPEN_INTERVAL_MS;
	gstate_finish (&g->state);
	if (!store_open (g, &e)) {
		log_event (LOG_LV_ERROR, "storage-down", "why=\"%s\"", e.msg);
		return false;
	}
	g->storage_down = false;
	err_clear (&g->storage_err);
	raft_start (&g->raft, now_ms);
	log_event (LOG_LV_INFO, "storage-up", "last_applied=%" G_GUINT64_FORMAT,
		   g->raft.applied);
	return true;
}
