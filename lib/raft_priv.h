#ifndef DH_RAFT_PRIV_H
#define DH_RAFT_PRIV_H

#include "raft.h"

/* What the files of the raft module give each other. */

/* raft_log.c */
void raft_log_init (struct raft_log *l);
void raft_log_finish (struct raft_log *l);
uint64_t raft_log_last (const struct raft_log *l);
/* Term at @index; 0 where the log does not hold it. */
uint64_t raft_log_term (const struct raft_log *l, uint64_t index);
const struct raft_entry *raft_log_get (const struct raft_log *l,
				       uint64_t index);
const struct raft_entry *raft_log_add (struct raft_log *l,
				       const struct raft_entry *entry);
void raft_log_truncate (struct raft_log *l, uint64_t index);
void raft_log_compact (struct raft_log *l, uint64_t base);
void raft_log_reset (struct raft_log *l, uint64_t base, uint64_t term);

/* raft.c */
bool raft_append (struct raft *r, const struct raft_entry *entry);
void raft_fail (struct raft *r);
void raft_become_follower (struct raft *r, uint64_t term, uint64_t leader);
/* Make @vote in @term durable and be a follower without a known leader. */
void raft_vote_for (struct raft *r, uint64_t term, uint64_t vote);
/* Make term and vote durable, and read the clock after that. */
bool raft_save_vote (struct raft *r, uint64_t term, uint64_t vote);
void raft_reset_election (struct raft *r);
struct raft_peer *raft_peer_find (struct raft *r, uint64_t id);
bool raft_is_voter (const struct raft *r, uint64_t id);
/* Whether @p is a voter that has its disk. */
bool raft_counts (const struct raft *r, const struct raft_peer *p);
void raft_send (struct raft *r, struct raft_msg *m, uint64_t to, uint8_t kind);

/* raft_elect.c */
/* How a campaign begins. */
enum raft_campaign {
	RAFT_CAMPAIGN_PRE,      /* with a pre-vote */
	RAFT_CAMPAIGN_VOTE,     /* a pre-vote was won */
	RAFT_CAMPAIGN_TRANSFER, /* the leader asked for it */
	RAFT_CAMPAIGN_RESTART,  /* all members have just started */
};
void raft_campaign (struct raft *r, enum raft_campaign how);
/* Whether another member stands for election and should finish first. */
bool raft_another_stands (const struct raft *r);
/* Ask those again that have not granted the vote. */
void raft_ask_again (struct raft *r);
/* Whether the log of @r holds no less than one that ends at @index. */
bool raft_holds_as_much (const struct raft *r, uint64_t log_term,
			 uint64_t index);
void raft_on_vote (struct raft *r, const struct raft_msg *m);
void raft_on_vote_reply (struct raft *r, const struct raft_msg *m);
void raft_on_timeout_now (struct raft *r, const struct raft_msg *m);
void raft_check_quorum (struct raft *r);
void raft_try_transfer (struct raft *r);
/* Own clock at which a quorum, oneself included, was last in touch. */
uint64_t raft_quorum_acked (const struct raft *r, uint64_t least);

/* raft_restart.c */
void raft_restart_begin (struct raft *r);
void raft_restart_end (struct raft *r);
void raft_restart_tick (struct raft *r);
void raft_on_restart (struct raft *r, const struct raft_msg *m);
void raft_on_restart_reply (struct raft *r, const struct raft_msg *m);
/* Whether a vote may be granted although this member just started. */
bool raft_restart_vote (const struct raft *r, const struct raft_msg *m);

/* raft_repl.c */
void raft_broadcast (struct raft *r, bool heartbeat);
void raft_on_append (struct raft *r, const struct raft_msg *m);
void raft_on_append_reply (struct raft *r, const struct raft_msg *m);
void raft_advance_commit (struct raft *r);

/* Take note of the leader that sent @m; whether what follows @m->index may be
 * taken, too.  What may not is rejected. */
bool raft_hear_leader (struct raft *r, const struct raft_msg *m);
/* Take @count entries after @m->index, and owe the leader an answer. */
void raft_take_entries (struct raft *r, const struct raft_msg *m,
			const struct raft_entry *entries, uint32_t count);

/* raft_part.c */
/* Whether @e is sent to @p in parts. */
bool raft_part_large (const struct raft *r, const struct raft_peer *p,
		      const struct raft_entry *e);
/* Whether the next entry for @p is. */
bool raft_part_due (const struct raft *r, const struct raft_peer *p);
void raft_part_begin (struct raft *r, struct raft_peer *p);
/* Send the part again that was not answered for long. */
void raft_part_again (struct raft *r, struct raft_peer *p);
void raft_on_part (struct raft *r, const struct raft_msg *m);
void raft_on_part_reply (struct raft *r, const struct raft_msg *m);

/* raft_snap.c */
void raft_send_snapshot (struct raft *r, struct raft_peer *p);
void raft_on_snapshot (struct raft *r, const struct raft_msg *m);
void raft_on_snapshot_reply (struct raft *r, const struct raft_msg *m);
void raft_maybe_snapshot (struct raft *r);

/* raft_member.c */
/* Take the newest configuration of the log, or of the snapshot. */
void raft_config_refresh (struct raft *r);
void raft_config_at (const struct raft *r, uint64_t index,
		     struct raft_config *c);

#endif
