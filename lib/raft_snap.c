/*
 * Snapshots: when one is made, and how a member that is behind the log's
 * base receives one, in chunks.
 */
#include <string.h>

#include "raft_priv.h"

#define ENTRIES_FACTOR 50

void
raft_send_snapshot (struct raft *r, struct raft_peer *p)
{
	struct raft_msg m = {.term = r->term,
			     .commit = r->commit,
			     .sent_ms = r->now_ms,
			     .index = r->snap_index,
			     .log_term = r->snap_term};
	msgpack_sbuffer config;

	if (p->snap_index != r->snap_index) {
		p->snap_index = r->snap_index;
		p->snap_offset = 0;
	}
	m.offset = p->snap_offset;
	p->snap_sent_ms = r->now_ms;
	if (!r->ops->snapshot_chunk (m.offset, RAFT_CHUNK_BYTES, &m.chunk,
				     &m.last, r->ctx)) {
		raft_fail (r);
		return;
	}
	msgpack_sbuffer_init (&config);
	raft_config_pack (&r->snap_config, &config);
	m.config.data = (const uint8_t *)config.data;
	m.config.len = (uint32_t)config.size;
	raft_send (r, &m, p->id, RAFT_MSG_SNAPSHOT);
	msgpack_sbuffer_destroy (&config);
}

static void
chunk_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_msg reply = {.term = r->term,
				 .index = m->index,
				 .sent_ms = m->sent_ms,
				 .ok = true};

	reply.offset = r->incoming->len;
	raft_send (r, &reply, m->from, RAFT_MSG_SNAPSHOT_REPLY);
}

static void
ack_snapshot (struct raft *r, const struct raft_msg *m)
{
	r->ack.to = m->from;
	r->ack.index = MAX (r->ack.index, m->index);
	r->ack.sent_ms = MAX (r->ack.sent_ms, m->sent_ms);
}

static void
install (struct raft *r, const struct raft_msg *m)
{
	struct raft_config config;

	if (!raft_config_unpack (&config, m->config.data, m->config.len, NULL))
		return;
	if (!r->ops->install (m->index, m->log_term, &config, r->incoming->data,
			      r->incoming->len, r->ctx)) {
		raft_fail (r);
		return;
	}
	raft_log_reset (&r->log, m->index, m->log_term);
	r->dirty = false;
	r->snap_index = m->index;
	r->snap_term = m->log_term;
	r->snap_config = config;
	r->commit = m->index;
	r->applied = m->index;
	raft_config_refresh (r);
	ack_snapshot (r, m);
}

/* What is committed here needs no snapshot; and where the log holds the
 * snapshot's last entry, the entries after it may have been counted for a
 * commit and must stay. */
static bool
already_held (struct raft *r, const struct raft_msg *m)
{
	if (m->index > r->commit && m->index <= raft_log_last (&r->log) &&
	    raft_log_term (&r->log, m->index) == m->log_term)
		r->commit = m->index;
	return m->index <= r->commit;
}

void
raft_on_snapshot (struct raft *r, const struct raft_msg *m)
{
	if (m->term < r->term || r->role == RAFT_LEADER)
		return;
	raft_become_follower (r, m->term, m->from);
	r->contact_ms = r->now_ms;
	raft_restart_end (r);
	raft_reset_election (r);
	if (already_held (r, m)) {
		ack_snapshot (r, m);
		return;
	}
	if (r->incoming == NULL)
		r->incoming = g_byte_array_new ();
	if (r->incoming_index != m->index || m->offset == 0) {
		r->incoming_index = m->index;
		g_byte_array_set_size (r->incoming, 0);
	}
	if (m->offset != r->incoming->len ||
	    m->offset + m->chunk.len > RAFT_SNAPSHOT_MAX_BYTES) {
		chunk_reply (r, m);
		return;
	}
	if (m->chunk.len > 0)
		g_byte_array_append (r->incoming, m->chunk.data, m->chunk.len);
	if (m->last) {
		install (r, m);
		g_byte_array_free (r->incoming, TRUE);
		r->incoming = NULL;
		r->incoming_index = 0;
	} else {
		chunk_reply (r, m);
	}
}

void
raft_on_snapshot_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer_find (r, m->from);

	if (p == NULL || r->role != RAFT_LEADER || m->term != r->term)
		return;
	p->acked_ms = MAX (p->acked_ms, m->sent_ms);
	if (p->snap_index != m->index || m->index != r->snap_index)
		return;
	if (m->offset == p->snap_offset)
		return;
	p->snap_offset = m->offset;
	raft_send_snapshot (r, p);
}

static bool
snapshot_due (const struct raft *r, uint64_t since)
{
	const struct raft_limits *l = &r->limits;

	return (since >= l->snapshot_entries &&
		r->log.bytes >= l->snapshot_bytes) ||
	       since >= ENTRIES_FACTOR * (uint64_t)l->snapshot_entries ||
	       r->log.bytes >= l->max_bytes;
}

/* While a snapshot is on its way a new one would start it over; a log of
 * four times the size ends that patience. */
static bool
wait_for_transfer (const struct raft *r, uint64_t since)
{
	if (r->role != RAFT_LEADER ||
	    since >= 4 * (uint64_t)r->limits.snapshot_entries)
		return false;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (p->snap_index != 0 &&
		    r->now_ms < p->acked_ms + r->times.election_ms)
			return true;
	}
	return false;
}

/* Up to where the log may be dropped: a few entries stay for followers that
 * lag a little, and where bytes are short, only what live ones still need. */
static uint64_t
choose_base (const struct raft *r)
{
	uint64_t least = r->applied - MIN (r->applied, r->limits.keep_entries);
	uint64_t base = r->applied;

	least = MAX (least, r->log.base);
	if (r->log.bytes < r->limits.max_bytes)
		return least;
	for (uint32_t i = 0; r->role == RAFT_LEADER && i < r->peer_count; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (r->now_ms < p->acked_ms + r->times.election_ms)
			base = MIN (base, MAX (p->match, least));
	}
	return base;
}

void
raft_maybe_snapshot (struct raft *r)
{
	uint64_t since = r->applied - r->snap_index;
	struct raft_config config;
	uint64_t term;
	uint64_t base;

	if (r->failed || since == 0 || !snapshot_due (r, since) ||
	    wait_for_transfer (r, since))
		return;
	term = raft_log_term (&r->log, r->applied);
	raft_config_at (r, r->applied, &config);
	base = choose_base (r);
	if (!r->ops->snapshot (r->applied, term, &config, base, r->ctx)) {
		raft_fail (r);
		return;
	}
	r->snap_index = r->applied;
	r->snap_term = term;
	r->snap_config = config;
	raft_log_compact (&r->log, base);
}
