/*
 * The group's configuration: its wire form, which one is in force, and the
 * changes to it.  A configuration is in force as soon as it stands in the
 * log; the next change waits until it is committed.
 */
#include <string.h>

#include "raft_priv.h"

static const struct msg_field member_fields[] = {
	MSG_FIELD (1, MSG_U64, struct raft_member, id),
	MSG_FIELD (2, MSG_STR, struct raft_member, name),
	MSG_FIELD (3, MSG_STR, struct raft_member, addr),
	MSG_FIELD (4, MSG_STR, struct raft_member, domain),
	MSG_FIELD (5, MSG_BOOL, struct raft_member, voter),
	MSG_FIELD_END,
};

struct config_wire {
	struct msg_list members;
};

static const struct msg_field config_fields[] = {
	MSG_FIELD_LIST (1, struct config_wire, members, struct raft_member,
			member_fields, RAFT_MEMBERS_MAX),
	MSG_FIELD_END,
};

void
raft_config_pack (const struct raft_config *c, msgpack_sbuffer *out)
{
	struct raft_config copy = *c;
	struct config_wire w = {{copy.members, copy.count}};

	msg_pack (config_fields, &w, out);
}

bool
raft_config_unpack (struct raft_config *c, const void *data, size_t len,
		    struct err *e)
{
	msgpack_zone zone;
	struct config_wire w;
	bool ok;

	msgpack_zone_init (&zone, 1024);
	ok = msg_unpack (config_fields, data, len, &w, &zone, e);
	memset (c, 0, sizeof *c);
	if (ok && w.members.count > 0) {
		memcpy (c->members, w.members.items,
			w.members.count * sizeof *c->members);
		c->count = w.members.count;
	}
	msgpack_zone_destroy (&zone);
	return ok;
}

struct raft_member *
raft_config_find (struct raft_config *c, uint64_t id)
{
	for (uint32_t i = 0; i < c->count; i++) {
		if (c->members[i].id == id)
			return &c->members[i];
	}
	return NULL;
}

uint32_t
raft_config_voters (const struct raft_config *c)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->count; i++)
		n += c->members[i].voter;
	return n;
}

bool
raft_counts (const struct raft *r, const struct raft_peer *p)
{
	return !p->replaced && raft_is_voter (r, p->id);
}

/* docs/design/group-membership.md has the proof. */
uint32_t
raft_quorum (const struct raft *r)
{
	uint32_t voters = raft_config_voters (&r->config);
	bool lost = false;

	for (uint32_t i = 0; i < r->peer_count; i++)
		lost = lost || (r->peers[i].replaced &&
				raft_is_voter (r, r->peers[i].id));
	if (lost && voters % 2 == 0 && voters / 2 > r->limits.disk_losses)
		return voters / 2;
	return voters / 2 + 1;
}

/* Keep what is known of members that stay, start afresh with new ones. */
static void
refresh_peers (struct raft *r)
{
	struct raft_peer old[RAFT_MEMBERS_MAX];
	uint32_t old_count = r->peer_count;

	memcpy (old, r->peers, sizeof old);
	r->peer_count = 0;
	for (uint32_t i = 0; i < r->config.count; i++) {
		uint64_t id = r->config.members[i].id;
		struct raft_peer p = {.id = id, .since_ms = r->now_ms};

		if (id == r->id)
			continue;
		p.next = raft_log_last (&r->log) + 1;
		for (uint32_t k = 0; k < old_count; k++) {
			if (old[k].id == id)
				p = old[k];
		}
		r->peers[r->peer_count++] = p;
	}
}

/* The newest configuration at or before @index; its own index, too. */
static uint64_t
find_config (const struct raft *r, uint64_t index, struct raft_config *c)
{
	for (uint64_t i = index; i > r->log.base; i--) {
		const struct raft_entry *e = raft_log_get (&r->log, i);

		if (e->kind == RAFT_ENTRY_CONFIG &&
		    raft_config_unpack (c, e->data.data, e->data.len, NULL))
			return i;
	}
	*c = r->snap_config;
	return r->snap_index;
}

void
raft_config_at (const struct raft *r, uint64_t index, struct raft_config *c)
{
	(void)find_config (r, index, c);
}

void
raft_config_refresh (struct raft *r)
{
	r->config_index = find_config (r, raft_log_last (&r->log), &r->config);
	r->config_changes++;
	refresh_peers (r);
	if (r->role == RAFT_LEARNER && raft_is_voter (r, r->id)) {
		r->role = RAFT_FOLLOWER;
		raft_reset_election (r);
		r->ops->role (r->ctx);
	} else if (r->role != RAFT_LEARNER && r->role != RAFT_LEADER &&
		   !raft_is_voter (r, r->id)) {
		r->role = RAFT_LEARNER;
		r->ops->role (r->ctx);
	}
}

static bool
may_change (const struct raft *r, struct err *e)
{
	if (r->role != RAFT_LEADER || r->transfer_to != 0)
		return err_set (e, ERR_NOT_LEADER, "not the leader");
	if (r->commit < r->term_start)
		return err_set (e, ERR_CONFLICT,
				"leader has not committed in its term yet");
	if (r->config_index > r->commit)
		return err_set (e, ERR_CONFLICT,
				"a membership change is under way");
	return true;
}

static bool
put_config (struct raft *r, const struct raft_config *c, struct err *e)
{
	msgpack_sbuffer buf;
	struct raft_entry entry = {.kind = RAFT_ENTRY_CONFIG};
	bool ok;

	msgpack_sbuffer_init (&buf);
	raft_config_pack (c, &buf);
	entry.index = raft_log_last (&r->log) + 1;
	entry.term = r->term;
	entry.data.data = (const uint8_t *)buf.data;
	entry.data.len = (uint32_t)buf.size;
	ok = raft_append (r, &entry);
	msgpack_sbuffer_destroy (&buf);
	return ok || err_set (e, ERR_IO, "log append failed");
}

bool
raft_add (struct raft *r, const struct raft_member *m, struct err *e)
{
	struct raft_config c = r->config;

	if (!may_change (r, e))
		return false;
	if (m->id == 0)
		return err_set (e, ERR_BAD_REQUEST, "member id is 0");
	if (raft_config_find (&c, m->id) != NULL)
		return err_set (e, ERR_CONFLICT, "already a member");
	if (c.count == RAFT_MEMBERS_MAX)
		return err_set (e, ERR_FULL, "group has %d members",
				RAFT_MEMBERS_MAX);
	c.members[c.count] = *m;
	c.members[c.count].voter = false;
	c.count++;
	return put_config (r, &c, e);
}

bool
raft_promote (struct raft *r, uint64_t id, struct err *e)
{
	struct raft_config c = r->config;
	struct raft_member *m = raft_config_find (&c, id);
	struct raft_peer *p = raft_peer_find (r, id);

	if (!may_change (r, e))
		return false;
	if (m == NULL || p == NULL)
		return err_set (e, ERR_NOT_FOUND, "no such member");
	if (m->voter)
		return err_set (e, ERR_BAD_REQUEST, "already votes");
	if (p->match < r->commit ||
	    p->acked_ms + r->times.election_ms < r->now_ms)
		return err_set (
			e, ERR_CONFLICT,
			"learner is not caught up: has %" G_GUINT64_FORMAT
			" of %" G_GUINT64_FORMAT,
			p->match, r->commit);
	m->voter = true;
	return put_config (r, &c, e);
}

bool
raft_remove (struct raft *r, uint64_t id, struct err *e)
{
	struct raft_config c = r->config;
	struct raft_member *m = raft_config_find (&c, id);

	if (!may_change (r, e))
		return false;
	if (m == NULL)
		return err_set (e, ERR_NOT_FOUND, "no such member");
	if (m->voter && raft_config_voters (&c) == 1)
		return err_set (e, ERR_BAD_REQUEST, "the last voter stays");
	c.count--;
	memmove (m, m + 1, (size_t)(&c.members[c.count] - m) * sizeof *m);
	memset (&c.members[c.count], 0, sizeof *m);
	return put_config (r, &c, e);
}

bool
raft_set_addr (struct raft *r, uint64_t id, const char *addr, struct err *e)
{
	struct raft_config c = r->config;
	struct raft_member *m = raft_config_find (&c, id);

	if (!may_change (r, e))
		return false;
	if (m == NULL)
		return err_set (e, ERR_NOT_FOUND, "no such member");
	g_strlcpy (m->addr, addr, sizeof m->addr);
	return put_config (r, &c, e);
}
