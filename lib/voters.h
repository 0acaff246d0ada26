#ifndef DH_VOTERS_H
#define DH_VOTERS_H

#include "raft.h"

/*
 * Who belongs to a group of members that come and go: which learner becomes a
 * voter, and which member is removed.  Only the leader decides; the decision
 * does no input or output.  docs/design/group-membership.md has the rule.
 */

/** enum voters_verdict - a change of membership */
enum voters_verdict {
	VOTERS_KEEP,    /* none */
	VOTERS_ADD,     /* a new learner */
	VOTERS_REPLACE, /* remove one whose address another identity uses */
	VOTERS_PROMOTE, /* a learner has caught up */
	VOTERS_DROP,    /* remove a voter: it is silent, the others suffice */
	VOTERS_FORGET,  /* remove a learner: it is silent */
};

/** voters_verdict_name() - "add", "replace", ... */
const char *voters_verdict_name (enum voters_verdict what);

/**
 * voters_join() - a member asks to join
 * @r: any member; it notes whether another one lost its disk
 * @asks: who asks
 * @member: filled in, but for VOTERS_KEEP
 *
 * Return: at the leader VOTERS_REPLACE or VOTERS_ADD, where @asks is not a
 * member yet.
 */
enum voters_verdict voters_join (struct raft *r, const struct raft_member *asks,
				 struct raft_member *member);

/**
 * voters_decide() - what the leader should change next
 * @r: a leader, with its disk_losses set
 * @now_ms: the clock of raft_tick()
 * @member: filled in, but for VOTERS_KEEP
 */
enum voters_verdict voters_decide (const struct raft *r, uint64_t now_ms,
				   struct raft_member *member);

/**
 * voters_change() - carry out a verdict at the leader
 * @e: of raft_add(), raft_promote() and raft_remove()
 */
bool voters_change (struct raft *r, enum voters_verdict what,
		    const struct raft_member *member, struct err *e);

#endif
