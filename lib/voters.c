/*
 * The rule by which members join, become voters and are removed.
 */
#include <string.h>

#include "voters.h"

/* A voter that was silent for so long may be removed.  It asks to join once it
 * is back. */
#define SILENT_VOTER_MS 2000

/* A learner that was silent for so long is removed. */
#define SILENT_LEARNER_MS 8000

const char *
voters_verdict_name (enum voters_verdict what)
{
	switch (what) {
	case VOTERS_KEEP:
		return "keep";
	case VOTERS_ADD:
		return "add";
	case VOTERS_REPLACE:
		return "replace";
	case VOTERS_PROMOTE:
		return "promote";
	case VOTERS_DROP:
		return "drop";
	case VOTERS_FORGET:
		return "forget";
	}
	return "unknown";
}

/* An address belongs to one identity, so an old member at the address of
 * another one that asks to join does not run any more, and its disk is lost. */
enum voters_verdict
voters_join (struct raft *r, const struct raft_member *asks,
	     struct raft_member *member)
{
	const struct raft_member *old = NULL;

	for (uint32_t i = 0; i < r->config.count; i++) {
		const struct raft_member *m = &r->config.members[i];

		if (strcmp (m->addr, asks->addr) != 0 || m->id == asks->id)
			continue;
		raft_note_replaced (r, m->id);
		old = m;
	}
	if (r->role != RAFT_LEADER ||
	    raft_config_find (&r->config, asks->id) != NULL)
		return VOTERS_KEEP;
	*member = old != NULL ? *old : *asks;
	return old != NULL ? VOTERS_REPLACE : VOTERS_ADD;
}

/* Whether it answered nothing for so long, of the time in which it could. */
static bool
is_silent (const struct raft *r, uint64_t id, uint64_t now_ms, uint64_t for_ms)
{
	const struct raft_peer *p = raft_peer (r, id);

	return p != NULL && now_ms >= MAX (p->acked_ms, p->since_ms) + for_ms;
}

/* Whether it answers, and holds all that is committed. */
static bool
is_current (const struct raft *r, uint64_t id, uint64_t now_ms)
{
	const struct raft_peer *p = raft_peer (r, id);

	if (id == r->id)
		return true;
	return p != NULL && p->match >= r->commit &&
	       now_ms <= p->acked_ms + r->times.election_ms;
}

static const struct raft_member *
find_silent_voter (const struct raft *r, uint64_t now_ms)
{
	const struct raft_config *c = &r->config;
	const struct raft_member *silent = NULL;
	uint32_t left = raft_config_voters (c) - 1, current = 0;

	if (left < 2 * r->limits.disk_losses + 1)
		return NULL;
	for (uint32_t i = 0; i < c->count; i++) {
		const struct raft_member *m = &c->members[i];

		if (!m->voter)
			continue;
		if (is_silent (r, m->id, now_ms, SILENT_VOTER_MS))
			silent = m;
		else
			current += is_current (r, m->id, now_ms);
	}
	return current > left / 2 ? silent : NULL;
}

enum voters_verdict
voters_decide (const struct raft *r, uint64_t now_ms,
	       struct raft_member *member)
{
	const struct raft_config *c = &r->config;
	const struct raft_member *silent;

	for (uint32_t i = 0; i < c->count; i++) {
		*member = c->members[i];
		if (member->voter)
			continue;
		if (is_current (r, member->id, now_ms))
			return VOTERS_PROMOTE;
		if (is_silent (r, member->id, now_ms, SILENT_LEARNER_MS))
			return VOTERS_FORGET;
	}
	silent = find_silent_voter (r, now_ms);
	if (silent == NULL)
		return VOTERS_KEEP;
	*member = *silent;
	return VOTERS_DROP;
}

bool
voters_change (struct raft *r, enum voters_verdict what,
	       const struct raft_member *member, struct err *e)
{
	switch (what) {
	case VOTERS_KEEP:
		return true;
	case VOTERS_ADD:
		return raft_add (r, member, e);
	case VOTERS_PROMOTE:
		return raft_promote (r, member->id, e);
	case VOTERS_REPLACE:
	case VOTERS_DROP:
	case VOTERS_FORGET:
		return raft_remove (r, member->id, e);
	}
	return false;
}
