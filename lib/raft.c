/*
 * A member of the replicated log: its start from durable state, its timers,
 * the dispatch of messages, proposals, and the end of a turn, where a batch
 * is sent, made durable, committed and applied.
 */
#include <string.h>

#include "raft_priv.h"

/* A member whose loop pauses all the time still stands for election in the end:
 * pauses postpone that by so many election timeouts. */
#define PAUSE_ELECTIONS_MAX 2

const struct msg_field raft_entry_fields[] = {
	MSG_FIELD (1, MSG_U64, struct raft_entry, index),
	MSG_FIELD (2, MSG_U64, struct raft_entry, term),
	MSG_FIELD (3, MSG_U8, struct raft_entry, kind),
	MSG_FIELD_BYTES (4, struct raft_entry, data, RAFT_ENTRY_MAX_BYTES),
	MSG_FIELD_END,
};

const struct msg_field raft_msg_fields[] = {
	MSG_FIELD (1, MSG_U8, struct raft_msg, kind),
	MSG_FIELD (2, MSG_U64, struct raft_msg, from),
	MSG_FIELD (3, MSG_U64, struct raft_msg, to),
	MSG_FIELD (4, MSG_U64, struct raft_msg, term),
	MSG_FIELD (5, MSG_U64, struct raft_msg, index),
	MSG_FIELD (6, MSG_U64, struct raft_msg, log_term),
	MSG_FIELD (7, MSG_U64, struct raft_msg, commit),
	MSG_FIELD (8, MSG_U64, struct raft_msg, sent_ms),
	MSG_FIELD (9, MSG_BOOL, struct raft_msg, ok),
	MSG_FIELD (10, MSG_BOOL, struct raft_msg, transfer),
	MSG_FIELD_LIST (11, struct raft_msg, entries, struct raft_entry,
			raft_entry_fields, RAFT_BATCH_MAX),
	MSG_FIELD_BYTES (12, struct raft_msg, config, 16384),
	MSG_FIELD_BYTES (13, struct raft_msg, chunk, RAFT_CHUNK_BYTES),
	MSG_FIELD (14, MSG_U64, struct raft_msg, offset),
	MSG_FIELD (15, MSG_BOOL, struct raft_msg, last),
	MSG_FIELD (16, MSG_U64, struct raft_msg, incarnation),
	MSG_FIELD (17, MSG_BOOL, struct raft_msg, takes_parts),
	MSG_FIELD_END,
};

void
raft_init (struct raft *r, uint64_t id, const struct raft_times *times,
	   const struct raft_limits *limits, const struct raft_ops *ops,
	   void *ctx, uint32_t seed)
{
	memset (r, 0, sizeof *r);
	r->id = id;
	r->times = *times;
	r->limits = *limits;
	r->ops = ops;
	r->ctx = ctx;
	r->rand = g_rand_new_with_seed (seed);
	r->role = RAFT_LEARNER;
	raft_log_init (&r->log);
}

void
raft_finish (struct raft *r)
{
	raft_log_finish (&r->log);
	if (r->incoming != NULL)
		g_byte_array_free (r->incoming, TRUE);
	if (r->part != NULL)
		g_byte_array_free (r->part, TRUE);
	g_rand_free (r->rand);
}

void
raft_load_vote (struct raft *r, uint64_t term, uint64_t vote)
{
	r->term = term;
	r->vote = vote;
}

void
raft_load_snapshot (struct raft *r, uint64_t index, uint64_t term,
		    const struct raft_config *config)
{
	r->snap_index = index;
	r->snap_term = term;
	r->snap_config = *config;
	r->commit = index;
	r->applied = index;
}

void
raft_load_base (struct raft *r, uint64_t index, uint64_t term)
{
	raft_log_reset (&r->log, index, term);
}

bool
raft_load_entry (struct raft *r, const struct raft_entry *entry, struct err *e)
{
	if (entry->index != raft_log_last (&r->log) + 1)
		return err_set (e, ERR_CORRUPT,
				"log entry %" G_GUINT64_FORMAT
				" follows %" G_GUINT64_FORMAT,
				entry->index, raft_log_last (&r->log));
	raft_log_add (&r->log, entry);
	r->log.durable = entry->index;
	return true;
}

void
raft_start (struct raft *r, uint64_t now_ms)
{
	r->now_ms = now_ms;
	r->contact_ms = now_ms;
	raft_config_refresh (r);
	raft_reset_election (r);
	raft_restart_begin (r);
	/* Alone, there is no other's lease to wait for. */
	if (raft_is_voter (r, r->id) && raft_config_voters (&r->config) == 1)
		r->election_at_ms = now_ms;
}

bool
raft_is_voter (const struct raft *r, uint64_t id)
{
	for (uint32_t i = 0; i < r->config.count; i++) {
		if (r->config.members[i].id == id)
			return r->config.members[i].voter;
	}
	return false;
}

struct raft_peer *
raft_peer_find (struct raft *r, uint64_t id)
{
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return &r->peers[i];
	}
	return NULL;
}

const struct raft_peer *
raft_peer (const struct raft *r, uint64_t id)
{
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (r->peers[i].id == id)
			return &r->peers[i];
	}
	return NULL;
}

void
raft_fail (struct raft *r)
{
	r->failed = true;
	r->role = RAFT_LEARNER;
	r->leader = 0;
}

void
raft_send (struct raft *r, struct raft_msg *m, uint64_t to, uint8_t kind)
{
	m->kind = kind;
	m->from = r->id;
	m->to = to;
	r->ops->send (m, r->ctx);
}

void
raft_reset_election (struct raft *r)
{
	uint32_t ms = r->times.election_ms;

	r->election_at_ms =
		r->now_ms + ms +
		(uint64_t)g_rand_int_range (r->rand, 0, (gint32)ms + 1);
	r->election_limit_ms = r->election_at_ms + PAUSE_ELECTIONS_MAX * ms;
}

/* After a pause, what the peers sent meanwhile may not have been read yet, and
 * they may have been paused too. */
static void
note_pause (struct raft *r)
{
	if (r->ticked_ms == 0 ||
	    r->now_ms <= r->ticked_ms + r->times.heartbeat_ms)
		return;
	r->resumed_ms = r->now_ms;
}

/* The wait is random, so that members that paused together do not stand
 * together. */
static void
postpone_election (struct raft *r)
{
	uint32_t ms = r->times.heartbeat_ms;
	uint64_t at_ms =
		r->now_ms + ms +
		(uint64_t)g_rand_int_range (r->rand, 0, (gint32)ms + 1);

	if (r->resumed_ms != r->now_ms)
		return;
	at_ms = MIN (at_ms, r->election_limit_ms);
	r->election_at_ms = MAX (r->election_at_ms, at_ms);
}

/* A sync may take longer than an election timeout: timers that begin after it
 * begin then. */
static void
read_clock (struct raft *r)
{
	if (r->ops->now != NULL)
		r->now_ms = MAX (r->now_ms, r->ops->now (r->ctx));
}

bool
raft_save_vote (struct raft *r, uint64_t term, uint64_t vote)
{
	r->term = term;
	r->vote = vote;
	memset (&r->ack, 0, sizeof r->ack);
	if (!r->ops->save_vote (r->term, r->vote, r->ctx)) {
		raft_fail (r);
		return false;
	}
	read_clock (r);
	return true;
}

static void
follow (struct raft *r, uint64_t term, uint64_t vote, uint64_t leader)
{
	enum raft_role role =
		raft_is_voter (r, r->id) ? RAFT_FOLLOWER : RAFT_LEARNER;
	bool changed = r->role != role || r->leader != leader || r->term < term;

	if ((term > r->term || (vote != 0 && r->vote == 0)) &&
	    !raft_save_vote (r, term, vote))
		return;
	if (r->role == RAFT_LEADER)
		raft_reset_election (r);
	r->role = role;
	r->leader = leader;
	r->transfer_to = 0;
	if (changed)
		r->ops->role (r->ctx);
}

void
raft_become_follower (struct raft *r, uint64_t term, uint64_t leader)
{
	follow (r, term, 0, leader);
}

void
raft_vote_for (struct raft *r, uint64_t term, uint64_t vote)
{
	follow (r, term, vote, 0);
}

bool
raft_append (struct raft *r, const struct raft_entry *entry)
{
	const struct raft_entry *kept = raft_log_add (&r->log, entry);

	r->dirty = true;
	if (!r->ops->append (kept, r->ctx)) {
		raft_fail (r);
		return false;
	}
	if (kept->kind == RAFT_ENTRY_CONFIG)
		raft_config_refresh (r);
	return true;
}

void
raft_tick (struct raft *r, uint64_t now_ms)
{
	if (r->failed)
		return;
	r->now_ms = now_ms;
	note_pause (r);
	r->ticked_ms = now_ms;
	if (r->role == RAFT_LEADER) {
		raft_check_quorum (r);
		if (r->role != RAFT_LEADER)
			return;
		raft_try_transfer (r);
		if (r->role == RAFT_LEADER && now_ms >= r->heartbeat_at_ms) {
			r->heartbeat_at_ms = now_ms + r->times.heartbeat_ms;
			raft_broadcast (r, true);
		}
		return;
	}
	raft_restart_tick (r);
	postpone_election (r);
	if (now_ms >= r->election_at_ms && raft_is_voter (r, r->id) &&
	    !raft_another_stands (r))
		raft_campaign (r, RAFT_CAMPAIGN_PRE);
	else
		raft_ask_again (r);
}

/* Whether a message's term counts: pre-votes ask for a term not begun, and a
 * vote that a live leader's lease forbids must not even raise the term. */
static bool
raises_term (const struct raft_msg *m)
{
	switch ((enum raft_msg_kind)m->kind) {
	case RAFT_MSG_PRE_VOTE:
	case RAFT_MSG_VOTE:
	case RAFT_MSG_RESTART:
	case RAFT_MSG_RESTART_REPLY:
		return false;
	case RAFT_MSG_PRE_VOTE_REPLY:
		return !m->ok;
	case RAFT_MSG_VOTE_REPLY:
	case RAFT_MSG_APPEND:
	case RAFT_MSG_APPEND_REPLY:
	case RAFT_MSG_SNAPSHOT:
	case RAFT_MSG_SNAPSHOT_REPLY:
	case RAFT_MSG_TIMEOUT_NOW:
	case RAFT_MSG_PART:
	case RAFT_MSG_PART_REPLY:
		return true;
	}
	return false;
}

void
raft_step (struct raft *r, const struct raft_msg *m, uint64_t now_ms)
{
	if (r->failed || m->to != r->id || m->from == r->id)
		return;
	r->now_ms = now_ms;
	if (raises_term (m) && m->term > r->term) {
		raft_become_follower (r, m->term, 0);
		if (r->failed)
			return;
	}
	switch ((enum raft_msg_kind)m->kind) {
	case RAFT_MSG_PRE_VOTE:
	case RAFT_MSG_VOTE:
		raft_on_vote (r, m);
		return;
	case RAFT_MSG_PRE_VOTE_REPLY:
	case RAFT_MSG_VOTE_REPLY:
		raft_on_vote_reply (r, m);
		return;
	case RAFT_MSG_APPEND:
		raft_on_append (r, m);
		return;
	case RAFT_MSG_APPEND_REPLY:
		raft_on_append_reply (r, m);
		return;
	case RAFT_MSG_SNAPSHOT:
		raft_on_snapshot (r, m);
		return;
	case RAFT_MSG_SNAPSHOT_REPLY:
		raft_on_snapshot_reply (r, m);
		return;
	case RAFT_MSG_TIMEOUT_NOW:
		raft_on_timeout_now (r, m);
		return;
	case RAFT_MSG_RESTART:
		raft_on_restart (r, m);
		return;
	case RAFT_MSG_RESTART_REPLY:
		raft_on_restart_reply (r, m);
		return;
	case RAFT_MSG_PART:
		raft_on_part (r, m);
		return;
	case RAFT_MSG_PART_REPLY:
		raft_on_part_reply (r, m);
		return;
	}
}

static void
apply_committed (struct raft *r)
{
	while (r->applied < r->commit) {
		const struct raft_entry *e =
			raft_log_get (&r->log, r->applied + 1);

		r->applied++;
		r->ops->apply (e, r->ctx);
	}
}

/* A leader whose removal is committed leaves its place to the voter that
 * holds most. */
static void
leave_if_removed (struct raft *r)
{
	if (r->role != RAFT_LEADER || raft_is_voter (r, r->id) ||
	    r->config_index > r->commit)
		return;
	raft_broadcast (r, true);
	(void)raft_transfer (r, 0, NULL);
	if (r->role == RAFT_LEADER)
		raft_become_follower (r, r->term, 0);
}

/* Tells the leader before a sync that it was heard.  An answer of index 0
 * claims nothing about the log.  A leader that learned of it only after the
 * sync had no lease and was deposed by syncs of 300 ms, although all members
 * heard it. */
static void
answer_contact (struct raft *r)
{
	struct raft_msg m = {.term = r->term,
			     .sent_ms = r->ack.sent_ms,
			     .ok = true,
			     .takes_parts = true};

	if (r->ack.to != 0)
		raft_send (r, &m, r->ack.to, RAFT_MSG_APPEND_REPLY);
}

void
raft_flush (struct raft *r, uint64_t now_ms)
{
	if (r->failed)
		return;
	r->now_ms = now_ms;
	if (r->role == RAFT_LEADER)
		raft_broadcast (r, false);
	if (r->dirty) {
		answer_contact (r);
		if (!r->ops->sync (r->ctx)) {
			raft_fail (r);
			return;
		}
		r->dirty = false;
		r->log.durable = raft_log_last (&r->log);
		read_clock (r);
	}
	if (r->ack.to != 0) {
		struct raft_msg m = {.term = r->term,
				     .index = r->ack.index,
				     .sent_ms = r->ack.sent_ms,
				     .ok = true,
				     .takes_parts = true};

		raft_send (r, &m, r->ack.to, RAFT_MSG_APPEND_REPLY);
		memset (&r->ack, 0, sizeof r->ack);
	}
	if (r->role == RAFT_LEADER)
		raft_advance_commit (r);
	apply_committed (r);
	leave_if_removed (r);
	raft_maybe_snapshot (r);
}

bool
raft_propose (struct raft *r, const void *data, size_t len, uint64_t *index,
	      struct err *e)
{
	struct raft_entry entry = {.kind = RAFT_ENTRY_COMMAND};

	if (r->failed || r->role != RAFT_LEADER || r->transfer_to != 0)
		return err_set (e, ERR_NOT_LEADER, "not the leader");
	if (len > RAFT_ENTRY_MAX_BYTES)
		return err_set (e, ERR_TOO_LARGE, "command of %zu bytes", len);
	if (raft_log_last (&r->log) - r->commit >= RAFT_UNCOMMITTED_MAX)
		return err_set (e, ERR_OVERLOAD, "%d entries uncommitted",
				RAFT_UNCOMMITTED_MAX);
	entry.index = raft_log_last (&r->log) + 1;
	entry.term = r->term;
	entry.data.data = data;
	entry.data.len = (uint32_t)len;
	*index = entry.index;
	if (!raft_append (r, &entry))
		return err_set (e, ERR_IO, "log append failed");
	return true;
}

const char *
raft_role_name (enum raft_role role)
{
	switch (role) {
	case RAFT_LEARNER:
		return "learner";
	case RAFT_FOLLOWER:
		return "follower";
	case RAFT_PRE_CANDIDATE:
		return "pre-candidate";
	case RAFT_CANDIDATE:
		return "candidate";
	case RAFT_LEADER:
		return "leader";
	}
	return "unknown";
}
