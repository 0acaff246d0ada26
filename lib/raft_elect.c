/*
 * Elections: pre-votes, votes, the leader's lease, check-quorum and the
 * handing over of leadership.
 *
 * The lease: a voter grants no vote within election_ms of hearing a leader,
 * so a leader that a quorum answered for a message sent at T has no successor
 * before T + election_ms by those voters' clocks.  The leader counts
 * lease_margin_ms less, for clocks that run at different rates.
 */
#include <string.h>

#include "raft_priv.h"

/* A leader whose loop pauses all the time steps down after so many election
 * timeouts more than another without a quorum. */
#define PAUSE_QUORUM_MAX 2

static bool
leader_heard (const struct raft *r)
{
	return r->role == RAFT_LEADER ||
	       r->now_ms < r->contact_ms + r->times.election_ms;
}

static bool
up_to_date (const struct raft *r, const struct raft_msg *m)
{
	uint64_t last = raft_log_last (&r->log);
	uint64_t term = raft_log_term (&r->log, last);

	return m->log_term > term || (m->log_term == term && m->index >= last);
}

bool
raft_holds_as_much (const struct raft *r, uint64_t log_term, uint64_t index)
{
	uint64_t last = raft_log_last (&r->log);
	uint64_t term = raft_log_term (&r->log, last);

	return term > log_term || (term == log_term && last >= index);
}

static uint32_t
granted (const struct raft *r)
{
	uint32_t n = raft_is_voter (r, r->id);

	for (uint32_t i = 0; i < r->peer_count; i++)
		n += r->peers[i].granted && raft_counts (r, &r->peers[i]);
	return n;
}

static void
become_leader (struct raft *r)
{
	struct raft_entry noop = {.kind = RAFT_ENTRY_NOOP};
	uint64_t last = raft_log_last (&r->log);

	raft_restart_end (r);
	r->role = RAFT_LEADER;
	r->leader = r->id;
	r->leader_since_ms = r->now_ms;
	r->heartbeat_at_ms = r->now_ms;
	r->transfer_to = 0;
	r->elections++;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		struct raft_peer *p = &r->peers[i];

		*p = (struct raft_peer){.id = p->id,
					.next = last + 1,
					.since_ms = r->now_ms,
					.replaced = p->replaced};
	}
	noop.index = last + 1;
	noop.term = r->term;
	r->term_start = noop.index;
	if (raft_append (r, &noop))
		r->ops->role (r->ctx);
}

static void
check_won (struct raft *r)
{
	if (granted (r) < raft_quorum (r))
		return;
	if (r->role == RAFT_PRE_CANDIDATE)
		raft_campaign (r, RAFT_CAMPAIGN_VOTE);
	else if (r->role == RAFT_CANDIDATE)
		become_leader (r);
}

/* Members that miss the leader at the same time would all win their pre-votes,
 * and while the disks make their votes durable, split the votes.  A member
 * therefore grants pre-votes to one at a time: to the one with the longest log,
 * of several to the one with the lowest id.  The first grant counts, so that
 * one that can't win does not hold up the others for long. */
static bool
has_turn (const struct raft *r, uint64_t id, uint64_t log_term, uint64_t index)
{
	const struct raft_turn *t = &r->turn;

	if (t->id == 0 || t->id == id ||
	    r->now_ms >= t->since_ms + r->times.election_ms)
		return true;
	if (log_term != t->log_term)
		return log_term > t->log_term;
	return index != t->index ? index > t->index : id < t->id;
}

static void
give_turn (struct raft *r, uint64_t id, uint64_t log_term, uint64_t index)
{
	struct raft_turn *t = &r->turn;

	if (t->id == id && r->now_ms < t->since_ms + r->times.election_ms)
		return;
	*t = (struct raft_turn){.id = id,
				.log_term = log_term,
				.index = index,
				.since_ms = r->now_ms};
}

bool
raft_another_stands (const struct raft *r)
{
	uint64_t last = raft_log_last (&r->log);

	return !has_turn (r, r->id, raft_log_term (&r->log, last), last);
}

static void
ask_votes (struct raft *r)
{
	bool pre = r->role == RAFT_PRE_CANDIDATE;
	uint64_t last = raft_log_last (&r->log);
	struct raft_msg m = {.term = pre ? r->term + 1 : r->term,
			     .index = last,
			     .log_term = raft_log_term (&r->log, last)};

	r->ask_at_ms = r->now_ms + r->times.heartbeat_ms;
	m.transfer = r->campaign == RAFT_CAMPAIGN_TRANSFER;
	if (pre)
		give_turn (r, r->id, m.log_term, m.index);
	for (uint32_t i = 0; i < r->peer_count; i++) {
		const struct raft_peer *p = &r->peers[i];

		if (p->granted || !raft_is_voter (r, p->id))
			continue;
		m.incarnation = p->asked;
		raft_send (r, &m, p->id,
			   pre ? RAFT_MSG_PRE_VOTE : RAFT_MSG_VOTE);
	}
}

void
raft_campaign (struct raft *r, enum raft_campaign how)
{
	bool pre = how == RAFT_CAMPAIGN_PRE;

	r->role = pre ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;
	r->leader = 0;
	r->campaign = (uint8_t)how;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		struct raft_peer *p = &r->peers[i];

		p->granted = false;
		p->asked = how == RAFT_CAMPAIGN_RESTART ? p->incarnation : 0;
	}
	if (!pre && !raft_save_vote (r, r->term + 1, r->id))
		return;
	raft_reset_election (r);
	r->ops->role (r->ctx);
	ask_votes (r);
	check_won (r);
}

/* A voter may have refused a pre-vote because it still counted on the leader
 * or was waiting for another candidate, and a message may be lost: without
 * this, the round fails and the next begins an election timeout later.  The
 * request is the same again, also in the incarnation that it names: a later one
 * may have begun after the lease of another leader did. */
void
raft_ask_again (struct raft *r)
{
	if ((r->role == RAFT_PRE_CANDIDATE || r->role == RAFT_CANDIDATE) &&
	    r->now_ms >= r->ask_at_ms)
		ask_votes (r);
}

/* Term and vote are made durable together: each sync of its own would have the
 * candidate wait for another one. */
static bool
grant_vote (struct raft *r, const struct raft_msg *m)
{
	bool may = up_to_date (r, m) && m->term >= r->term &&
		   (m->term > r->term || r->vote == 0 || r->vote == m->from);

	if (may && (m->term > r->term || r->vote == 0))
		raft_vote_for (r, m->term, m->from);
	else if (m->term > r->term)
		raft_become_follower (r, m->term, 0);
	if (r->failed || !may)
		return false;
	raft_reset_election (r);
	return true;
}

/* A candidate asks only whom its configuration has as a voter, so a learner
 * that has not yet seen its own promotion answers too; one that holds no
 * configuration at all (a new or emptied data folder) never does. */
void
raft_on_vote (struct raft *r, const struct raft_msg *m)
{
	bool pre = m->kind == RAFT_MSG_PRE_VOTE;
	struct raft_msg reply = {0};

	if (r->config.count == 0)
		return;
	if (leader_heard (r) && !(m->transfer && !pre) &&
	    !raft_restart_vote (r, m)) {
		/* A leader out of touch learns of a later term here. */
		reply.ok = false;
	} else if (pre) {
		reply.ok = m->term > r->term && up_to_date (r, m) &&
			   has_turn (r, m->from, m->log_term, m->index);
		if (reply.ok)
			give_turn (r, m->from, m->log_term, m->index);
	} else {
		reply.ok = grant_vote (r, m);
	}
	if (r->failed)
		return;
	reply.term = pre && reply.ok ? m->term : r->term;
	raft_send (r, &reply, m->from,
		   pre ? RAFT_MSG_PRE_VOTE_REPLY : RAFT_MSG_VOTE_REPLY);
}

void
raft_on_vote_reply (struct raft *r, const struct raft_msg *m)
{
	struct raft_peer *p = raft_peer_find (r, m->from);
	bool pre = m->kind == RAFT_MSG_PRE_VOTE_REPLY;

	if (p == NULL || !m->ok)
		return;
	if (pre ? r->role != RAFT_PRE_CANDIDATE || m->term != r->term + 1
		: r->role != RAFT_CANDIDATE || m->term != r->term)
		return;
	p->granted = true;
	check_won (r);
}

static int
later_first (const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

uint64_t
raft_quorum_acked (const struct raft *r, uint64_t least)
{
	uint64_t at[RAFT_MEMBERS_MAX + 1];
	uint32_t n = 0, quorum = raft_quorum (r);

	if (raft_config_voters (&r->config) == 0)
		return r->now_ms;
	if (raft_is_voter (r, r->id))
		at[n++] = r->now_ms;
	for (uint32_t i = 0; i < r->peer_count; i++) {
		if (raft_counts (r, &r->peers[i]))
			at[n++] = MAX (r->peers[i].acked_ms, least);
	}
	if (n < quorum)
		return least;
	qsort (at, n, sizeof *at, later_first);
	return at[quorum - 1];
}

/* After a pause of its own loop, a leader waits for answers to what it sends
 * then: those to earlier messages are as old as the pause is long.  The lease
 * ends as ever. */
void
raft_check_quorum (struct raft *r)
{
	uint64_t acked = raft_quorum_acked (r, r->leader_since_ms);
	uint64_t from = MAX (acked, r->resumed_ms);

	from = MIN (from, acked + PAUSE_QUORUM_MAX * r->times.election_ms);
	if (r->now_ms > from + r->times.election_ms)
		raft_become_follower (r, r->term, 0);
}

uint64_t
raft_lease_until (const struct raft *r)
{
	uint64_t acked;

	if (r->failed || r->role != RAFT_LEADER)
		return 0;
	acked = raft_quorum_acked (r, 0);
	if (acked == 0)
		return 0;
	return acked + r->times.election_ms - r->times.lease_margin_ms;
}

bool
raft_read_ready (const struct raft *r, uint64_t index, uint64_t since_ms,
		 uint64_t now_ms)
{
	if (r->failed || r->role != RAFT_LEADER || r->applied < index ||
	    r->commit < r->term_start)
		return false;
	return now_ms < raft_lease_until (r) ||
	       raft_quorum_acked (r, 0) > since_ms;
}

void
raft_on_timeout_now (struct raft *r, const struct raft_msg *m)
{
	if (m->term == r->term && r->role == RAFT_FOLLOWER)
		raft_campaign (r, RAFT_CAMPAIGN_TRANSFER);
}

/* From the moment the successor is told to stand, this member may hold no
 * lease in this term again: it steps down at once. */
void
raft_try_transfer (struct raft *r)
{
	struct raft_peer *p = raft_peer_find (r, r->transfer_to);
	struct raft_msg m = {.term = r->term};

	if (r->transfer_to == 0)
		return;
	if (p == NULL || r->now_ms >= r->transfer_until_ms) {
		r->transfer_to = 0;
		return;
	}
	if (p->match < raft_log_last (&r->log))
		return;
	raft_become_follower (r, r->term, 0);
	raft_send (r, &m, p->id, RAFT_MSG_TIMEOUT_NOW);
}

bool
raft_transfer (struct raft *r, uint64_t to, struct err *e)
{
	struct raft_peer *best = NULL;

	if (r->role != RAFT_LEADER)
		return err_set (e, ERR_NOT_LEADER, "not the leader");
	for (uint32_t i = 0; i < r->peer_count; i++) {
		struct raft_peer *p = &r->peers[i];

		if (!raft_is_voter (r, p->id) || (to != 0 && p->id != to))
			continue;
		if (best == NULL || p->match > best->match ||
		    (p->match == best->match && p->acked_ms > best->acked_ms))
			best = p;
	}
	if (best == NULL)
		return err_set (e, ERR_NOT_FOUND, "no voter to hand over to");
	r->transfer_to = best->id;
	r->transfer_until_ms = r->now_ms + r->times.election_ms;
	raft_try_transfer (r);
	return true;
}
