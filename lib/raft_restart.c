/*
 * The election after a restart of all members.
 *
 * A member that starts grants no vote for one election timeout, since the
 * lease of a leader may rest on an answer that it gave before it ended.  Where
 * every member has started and heard no leader since, no such leader exists,
 * and callers wait for nothing.
 *
 * Members ask each other whether that is so, learners too, since one may have
 * been made a voter.  Once all have said yes, the one with the longest log
 * stands for election; of several, the one with the lowest id.  A member that
 * lost its disk can't reply; it is left out once another identity uses its
 * address.
 *
 * A reply is valid for the start in which it was sent: the request for a vote
 * names the incarnation of the voter, and a voter that has heard a
 * leader since, or has started again, refuses.  If another member became leader
 * meanwhile, a majority has heard it, so the candidate can't win.
 */
#include "raft_priv.h"

/* Interval between two rounds of questions: a few round trips, and links that
 * come up while the members start. */
#define ASK_MIN_MS 30
#define ASK_MAX_MS 60

static void
schedule_ask (struct raft *r)
{
	r->restart_ask_at_ms =
		r->now_ms + (uint64_t)g_rand_int_range (r->rand, ASK_MIN_MS,
							ASK_MAX_MS + 1);
}

void
raft_restart_begin (struct raft *r)
{
	r->incarnation =
		(uint64_t)g_rand_int (r->rand) << 32 | g_rand_int (r->rand) | 1;
	schedule_ask (r);
}

void
raft_restart_end (struct raft *r)
{
	r->incarnation = 0;
}

void
raft_note_replaced (struct raft *r, uint64_t id)
{
	struct raft_peer *p = raft_peer_find (r, id);

	if (p != NULL)
		p->replaced = true;
}

void
raft_restart_tick (struct raft *r)
{
	struct raft_msg m = {.term = r->term};

	if (r->incarnation == 0 || r->now_ms < r->restart_ask_at_ms ||
	    !raft_is_voter (r, r->id))
		return;
	schedule_ask (r);
	for (uint32_t i = 0; i < r->peer_count; i++) {
		r->peers[i].incarnation = 0;
		raft_send (r, &m, r->peers[i].id, RAFT_MSG_RESTART);
	}
}

void
raft_on_restart (struct raft *r, const struct raft_msg *m)
{
	struct raft_msg reply = {.term = r->term,
				 .incarnation = r->incarnation};

	if (r->config.count == 0)
		return;
	reply.index = raft_log_last (&r->log);
	reply.log_term = raft_log_term (&r->log, reply.index);
	raft_send (r, &reply, m->from, RAFT_MSG_RESTART_REPLY);
}

/* Whether all members have just started, and this one should lead them.  It
 * stands once in an election timeout: with slow disks, replies arrive faster
 * than votes, and each round of them began another term. */
static bool
should_stand (const struct raft *r)
{
	uint32_t voters = 1;

	if (r->incarnation == 0 || !raft_is_voter (r, r->id) ||
	    (r->role == RAFT_CANDIDATE && r->now_ms < r->election_at_ms))
		return false;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (p->replaced)
			continue;
		if (p->incarnation == 0 || p->ahead)
			return false;
		voters += raft_is_voter (r, p->id);
	}
	return voters >= raft_quorum (r);
}

void
raft_on_restart_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer_find (r, m->from);
	uint64_t last = raft_log_last (&r->log);
	uint64_t term = raft_log_term (&r->log, last);

	if (p == NULL)
		return;
	p->incarnation = m->incarnation;
	p->ahead = !raft_holds_as_much (r, m->log_term, m->index) ||
		   (m->log_term == term && m->index == last && p->id < r->id &&
		    raft_is_voter (r, p->id));
	if (should_stand (r))
		raft_campaign (r, RAFT_CAMPAIGN_RESTART);
}

bool
raft_restart_vote (const struct raft *r, const struct raft_msg *m)
{
	return m->kind == RAFT_MSG_VOTE && r->incarnation != 0 &&
	       m->incarnation == r->incarnation;
}
