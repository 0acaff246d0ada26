/*
 * Replication: what a leader sends, what a follower takes, and when an entry
 * is committed.  A leader sends ahead of the answers and falls back to the
 * place a follower names when that one misses something.
 */
#include <stdlib.h>
#include <string.h>

#include "raft_priv.h"

#define WINDOW_ENTRIES 4096

static void
send_append (struct raft *r, struct raft_peer *p, bool with_entries)
{
	struct raft_entry batch[RAFT_BATCH_MAX];
	uint64_t last = raft_log_last (&r->log);
	struct raft_msg m = {.term = r->term,
			     .commit = r->commit,
			     .sent_ms = r->now_ms,
			     .index = p->next - 1};
	uint32_t n = 0;
	size_t bytes = 0;

	m.log_term = raft_log_term (&r->log, m.index);
	while (with_entries && n < RAFT_BATCH_MAX && p->next + n <= last) {
		batch[n] = *raft_log_get (&r->log, p->next + n);
		bytes += batch[n].data.len;
		if (n > 0 && (bytes > RAFT_BATCH_MAX_BYTES ||
			      raft_part_large (r, p, &batch[n])))
			break;
		n++;
	}
	m.entries.items = batch;
	m.entries.count = n;
	p->next += n;
	raft_send (r, &m, p->id, RAFT_MSG_APPEND);
}

/* To a follower that gets a snapshot: a chunk where none is under way or its
 * answer is long due, else a heartbeat at the log's base, so that a slow path
 * is not filled with copies of one chunk. */
static void
send_behind (struct raft *r, struct raft_peer *p, bool heartbeat)
{
	struct raft_msg m = {.term = r->term,
			     .commit = r->log.base,
			     .sent_ms = r->now_ms,
			     .index = r->log.base,
			     .log_term = r->log.base_term};

	if (p->snap_index == 0 ||
	    (heartbeat && r->now_ms >= p->snap_sent_ms + r->times.election_ms))
		raft_send_snapshot (r, p);
	else if (heartbeat)
		raft_send (r, &m, p->id, RAFT_MSG_APPEND);
}

void
raft_broadcast (struct raft *r, bool heartbeat)
{
	uint64_t last = raft_log_last (&r->log);

	for (uint32_t i = 0; i < r->peer_count; i++) {
		struct raft_peer *p = &r->peers[i];
		bool more =
			p->next <= last && p->next - p->match <= WINDOW_ENTRIES;

		if (p->next <= r->log.base) {
			send_behind (r, p, heartbeat);
		} else if (raft_part_due (r, p)) {
			if (p->part_index != p->next)
				raft_part_begin (r, p);
			else if (heartbeat)
				raft_part_again (r, p);
			if (heartbeat)
				send_append (r, p, false);
		} else if (heartbeat || more) {
			send_append (r, p, more);
		}
	}
}

static void
reject (struct raft *r, const struct raft_msg *m, uint64_t hint)
{
	struct raft_msg reply = {.term = r->term,
				 .index = hint,
				 .sent_ms = m->sent_ms,
				 .takes_parts = true};

	raft_send (r, &reply, m->from, RAFT_MSG_APPEND_REPLY);
}

/* The last index at which the logs may still agree. */
static uint64_t
conflict_hint (const struct raft *r, uint64_t index)
{
	uint64_t i = MIN (index, raft_log_last (&r->log));
	uint64_t term = raft_log_term (&r->log, i);

	if (i < index)
		return i;
	while (i > r->commit && raft_log_term (&r->log, i) == term)
		i--;
	return i;
}

/* Return: whether the entry now stands in the log. */
static bool
take_entry (struct raft *r, const struct raft_entry *e)
{
	uint64_t last = raft_log_last (&r->log);

	if (e->index <= r->log.base)
		return true;
	if (e->index <= last) {
		if (raft_log_term (&r->log, e->index) == e->term)
			return true;
		/* A committed entry never changes: what says so is not from
		 * a leader of this group. */
		if (e->index <= r->commit)
			return false;
		raft_log_truncate (&r->log, e->index);
		r->dirty = true;
		if (!r->ops->truncate (e->index, r->ctx)) {
			raft_fail (r);
			return false;
		}
		if (r->config_index >= e->index)
			raft_config_refresh (r);
	} else if (e->index != last + 1) {
		return false;
	}
	return raft_append (r, e);
}

bool
raft_hear_leader (struct raft *r, const struct raft_msg *m)
{
	if (m->term < r->term) {
		reject (r, m, 0);
		return false;
	}
	if (r->role == RAFT_LEADER)
		return false;
	raft_become_follower (r, m->term, m->from);
	r->contact_ms = r->now_ms;
	raft_restart_end (r);
	raft_reset_election (r);
	if (m->index >= r->log.base &&
	    (m->index > raft_log_last (&r->log) ||
	     raft_log_term (&r->log, m->index) != m->log_term)) {
		reject (r, m, conflict_hint (r, m->index));
		return false;
	}
	return true;
}

void
raft_take_entries (struct raft *r, const struct raft_msg *m,
		   const struct raft_entry *entries, uint32_t count)
{
	uint64_t match = m->index;

	for (uint32_t i = 0; i < count; i++) {
		if (entries[i].index != match + 1 ||
		    !take_entry (r, &entries[i]))
			return;
		match = entries[i].index;
	}
	if (MIN (m->commit, match) > r->commit)
		r->commit = MIN (m->commit, match);
	r->ack.to = m->from;
	r->ack.index = MAX (r->ack.index, match);
	r->ack.sent_ms = MAX (r->ack.sent_ms, m->sent_ms);
}

void
raft_on_append (struct raft *r, const struct raft_msg *m)
{
	if (raft_hear_leader (r, m))
		raft_take_entries (r, m, m->entries.items, m->entries.count);
}

void
raft_on_append_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer_find (r, m->from);

	if (p == NULL || r->role != RAFT_LEADER || m->term != r->term)
		return;
	p->acked_ms = MAX (p->acked_ms, m->sent_ms);
	p->takes_parts = m->takes_parts;
	if (!m->ok) {
		p->next = MAX (MIN (p->next, m->index + 1), p->match + 1);
		return;
	}
	if (m->index > raft_log_last (&r->log))
		return;
	p->match = MAX (p->match, m->index);
	p->next = MAX (p->next, p->match + 1);
	if (p->match >= p->snap_index)
		p->snap_index = 0;
}

static int
greater_first (const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Only an entry of the own term is committed by counting; it commits all
 * before it.  The leader counts itself for what is durable here. */
void
raft_advance_commit (struct raft *r)
{
	uint64_t at[RAFT_MEMBERS_MAX + 1], held;
	uint32_t n = 0, quorum = raft_quorum (r);

	if (raft_is_voter (r, r->id))
		at[n++] = r->log.durable;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (raft_counts (r, &r->peers[i]))
			at[n++] = r->peers[i].match;
	}
	if (n == 0 || n < quorum)
		return;
	qsort (at, n, sizeof *at, greater_first);
	held = at[quorum - 1];
	if (held > r->commit && raft_log_term (&r->log, held) == r->term)
		r->commit = held;
}

uint32_t
raft_copies (const struct raft *r, uint64_t index)
{
	uint32_t n = raft_is_voter (r, r->id) && r->log.durable >= index;

	for (uint32_t i = 0; i < r->peer_count; i++)
		n += raft_counts (r, &r->peers[i]) &&
		     r->peers[i].match >= index;
	return n;
}

uint32_t
raft_copies_needed (const struct raft *r)
{
	return MIN (r->limits.disk_losses + 1, raft_config_voters (&r->config));
}
