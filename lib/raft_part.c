/*
 * Large entries: a leader sends them in parts.  A whole one would keep the
 * heartbeats behind it waiting for longer than an election timeout on a link of
 * 7.5 Mbit/s, so it was never committed.  Parts go only to followers that say
 * in their answers that they take them; members of earlier versions get whole
 * entries.
 */
#include <string.h>

#include "raft_priv.h"

/* A part that is not answered for so many election timeouts is sent again. */
#define PART_RESEND_ELECTIONS 4

/* Parts grow up to so many times where links are fast: at 20 ms a round trip,
 * 4 MiB in parts of 32 KiB would take 2.6 s. */
#define PART_GROWTH_MAX 8

static uint32_t
part_bytes (const struct raft *r)
{
	return r->limits.part_bytes != 0 ? r->limits.part_bytes
					 : RAFT_PART_BYTES;
}

bool
raft_part_large (const struct raft *r, const struct raft_peer *p,
		 const struct raft_entry *e)
{
	return p->takes_parts && e->data.len > part_bytes (r);
}

bool
raft_part_due (const struct raft *r, const struct raft_peer *p)
{
	return p->next > r->log.base && p->next <= raft_log_last (&r->log) &&
	       raft_part_large (r, p, raft_log_get (&r->log, p->next));
}

static void
send_part (struct raft *r, struct raft_peer *p)
{
	const struct raft_entry *e = raft_log_get (&r->log, p->part_index);
	struct raft_entry head = *e;
	struct raft_msg m = {.term = r->term,
			     .commit = r->commit,
			     .sent_ms = r->now_ms,
			     .index = e->index - 1,
			     .offset = p->part_offset};

	m.log_term = raft_log_term (&r->log, m.index);
	head.data = (struct msg_bytes){0};
	m.entries = (struct msg_list){&head, 1};
	m.chunk.data = e->data.data + m.offset;
	m.chunk.len = MIN (e->data.len - (uint32_t)m.offset, p->part_bytes);
	m.last = m.offset + m.chunk.len == e->data.len;
	p->part_sent_ms = r->now_ms;
	raft_send (r, &m, p->id, RAFT_MSG_PART);
}

void
raft_part_begin (struct raft *r, struct raft_peer *p)
{
	p->part_index = p->next;
	p->part_offset = 0;
	p->part_bytes = part_bytes (r);
	send_part (r, p);
}

void
raft_part_again (struct raft *r, struct raft_peer *p)
{
	if (r->now_ms >=
	    p->part_sent_ms + PART_RESEND_ELECTIONS * r->times.election_ms)
		send_part (r, p);
}

static void
reply (struct raft *r, const struct raft_msg *m, uint64_t index, uint64_t held)
{
	struct raft_msg out = {.term = r->term,
			       .index = index,
			       .sent_ms = m->sent_ms,
			       .ok = true,
			       .offset = held};

	raft_send (r, &out, m->from, RAFT_MSG_PART_REPLY);
}

void
raft_on_part (struct raft *r, const struct raft_msg *m)
{
	struct raft_entry e;

	if (!raft_hear_leader (r, m) || m->entries.count != 1)
		return;
	e = *(const struct raft_entry *)m->entries.items;
	if (e.index != m->index + 1 || r->failed)
		return;
	if (e.index > r->log.base && e.index <= raft_log_last (&r->log) &&
	    raft_log_term (&r->log, e.index) == e.term) {
		/* Held already: an answer was lost. */
		raft_take_entries (r, m, &e, 1);
		return;
	}
	if (r->part == NULL)
		r->part = g_byte_array_new ();
	if (r->part_index != e.index || r->part_term != e.term ||
	    m->offset == 0) {
		r->part_index = e.index;
		r->part_term = e.term;
		g_byte_array_set_size (r->part, 0);
	}
	if (m->offset == r->part->len && m->chunk.len > 0 &&
	    m->offset + m->chunk.len <= RAFT_ENTRY_MAX_BYTES) {
		g_byte_array_append (r->part, m->chunk.data, m->chunk.len);
		if (m->last) {
			e.data.data = r->part->data;
			e.data.len = r->part->len;
			raft_take_entries (r, m, &e, 1);
		}
	}
	reply (r, m, e.index, r->part->len);
	if (m->last && r->part->len == m->offset + m->chunk.len) {
		g_byte_array_free (r->part, TRUE);
		r->part = NULL;
		r->part_index = 0;
	}
}

/* A part is answered within a heartbeat, with those to the other members
 * beside it. */
static void
resize_parts (const struct raft *r, struct raft_peer *p)
{
	uint64_t ms = r->now_ms - p->part_sent_ms;

	if (ms <= r->times.heartbeat_ms / 2)
		p->part_bytes = MIN (p->part_bytes * 2,
				     part_bytes (r) * PART_GROWTH_MAX);
	else if (ms > r->times.heartbeat_ms)
		p->part_bytes = MAX (p->part_bytes / 2, part_bytes (r));
}

void
raft_on_part_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer_find (r, m->from);
	const struct raft_entry *e;

	if (p == NULL || r->role != RAFT_LEADER || m->term != r->term)
		return;
	p->acked_ms = MAX (p->acked_ms, m->sent_ms);
	if (p->part_index == 0 || m->index != p->part_index ||
	    p->part_index != p->next || !raft_part_due (r, p) ||
	    m->offset == p->part_offset)
		return;
	e = raft_log_get (&r->log, p->part_index);
	if (m->offset < e->data.len) {
		p->part_offset = m->offset;
		resize_parts (r, p);
		send_part (r, p);
		return;
	}
	p->part_index = 0;
	p->next++;
}
