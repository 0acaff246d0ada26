#ifndef DH_RAFT_H
#define DH_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "msg.h"

/*
 * The replicated log's core, after Raft: pre-vote, check-quorum with a leader
 * lease, learners, one membership change at a time, snapshots.  It does no
 * input or output and reads no clock: the owner passes time and messages in
 * and carries out what raft_ops asks for.
 *
 * Source: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
 */

#define RAFT_MEMBERS_MAX 11
#define RAFT_NAME_BYTES 48
#define RAFT_ENTRY_MAX_BYTES (4U << 20)
#define RAFT_BATCH_MAX 512
#define RAFT_BATCH_MAX_BYTES (1U << 20)
#define RAFT_CHUNK_BYTES (256U << 10)
/* Five parts of an entry, to all other members of six, take 175 ms of a link of
 * 7.5 Mbit/s. */
#define RAFT_PART_BYTES (32U << 10)
#define RAFT_SNAPSHOT_MAX_BYTES (256U << 20)
#define RAFT_UNCOMMITTED_MAX 8192

/** enum raft_role - what a member is at the moment */
enum raft_role {
	RAFT_LEARNER,
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER,
};

/**
 * struct raft_member - one member of the group
 * @id: random, made at init or join, kept in the data folder; never reused
 * @name: instance name, for people
 * @addr: IP:port of its peer listener
 * @domain: its failure domain
 * @voter: whether it votes; otherwise it is a learner
 */
struct raft_member {
	uint64_t id;
	char name[RAFT_NAME_BYTES];
	char addr[RAFT_NAME_BYTES];
	char domain[RAFT_NAME_BYTES];
	bool voter;
};

/** struct raft_config - the group; itself a log entry */
struct raft_config {
	struct raft_member members[RAFT_MEMBERS_MAX];
	uint32_t count;
};

/** enum raft_entry_kind - what a log entry carries */
enum raft_entry_kind {
	RAFT_ENTRY_NOOP = 1,
	RAFT_ENTRY_COMMAND = 2, /* kind byte of sm.h, then the command */
	RAFT_ENTRY_CONFIG = 3,  /* packed struct raft_config */
};

/** struct raft_entry - one log entry */
struct raft_entry {
	uint64_t index;
	uint64_t term;
	uint8_t kind;
	struct msg_bytes data;
};

/**
 * struct raft_times - in milliseconds
 * @heartbeat_ms: pause between a leader's heartbeats
 * @election_ms: least election timeout; the timeout is 1 to 2 times this
 * @lease_margin_ms: clock drift allowed within @election_ms
 */
struct raft_times {
	uint32_t heartbeat_ms;
	uint32_t election_ms;
	uint32_t lease_margin_ms;
};

/**
 * struct raft_limits - when the log is cut
 * @snapshot_entries: a snapshot is made when so many entries were applied
 *	since the last one and the log has @snapshot_bytes; fifty times as
 *	many entries ask for one whatever they weigh
 * @snapshot_bytes: see above; the owner keeps it near the snapshot's size, so
 *	that writing snapshots costs no more than writing the log
 * @max_bytes: bytes of log that ask for a snapshot at once
 * @keep_entries: entries kept behind a snapshot for slow followers
 * @part_bytes: an entry with more is sent in parts of this size; 0 for
 *	RAFT_PART_BYTES
 * @disk_losses: disks that may be lost at once: fewer voters than one more are
 *	never a quorum by raft_note_replaced()
 */
struct raft_limits {
	uint32_t snapshot_entries;
	uint64_t snapshot_bytes;
	uint64_t max_bytes;
	uint32_t keep_entries;
	uint32_t part_bytes;
	uint32_t disk_losses;
};

/** enum raft_msg_kind - kinds of message; numbers are never reused */
enum raft_msg_kind {
	RAFT_MSG_PRE_VOTE = 1,
	RAFT_MSG_PRE_VOTE_REPLY = 2,
	RAFT_MSG_VOTE = 3,
	RAFT_MSG_VOTE_REPLY = 4,
	RAFT_MSG_APPEND = 5,
	RAFT_MSG_APPEND_REPLY = 6,
	RAFT_MSG_SNAPSHOT = 7,
	RAFT_MSG_SNAPSHOT_REPLY = 8,
	RAFT_MSG_TIMEOUT_NOW = 9,
	RAFT_MSG_RESTART = 10,
	RAFT_MSG_RESTART_REPLY = 11,
	RAFT_MSG_PART = 12,
	RAFT_MSG_PART_REPLY = 13,
};

/**
 * struct raft_msg - one message between members
 * @kind: enum raft_msg_kind
 * @from: sender's id
 * @to: receiver's id; a member drops what is not addressed to its own id
 * @term: sender's term, or the term asked for in a pre-vote
 * @index: previous index, last index, matched index or snapshot index
 * @log_term: the term at @index
 * @commit: leader's commit index
 * @sent_ms: leader's clock when it sent; echoed in the reply
 * @ok: granted, matched
 * @transfer: a vote asked for at the old leader's wish
 * @entries: of struct raft_entry
 * @config: packed struct raft_config of a snapshot
 * @chunk: bytes of a snapshot, or of the one entry of RAFT_MSG_PART
 * @offset: where @chunk starts, or in a reply the bytes held
 * @last: @chunk is the last one
 * @incarnation: in a reply to RAFT_MSG_RESTART, the start of the sender in
 *	which it has heard no leader yet, otherwise 0; in a vote asked for after
 *	a restart of all members, what the receiver replied
 * @takes_parts: in a reply to RAFT_MSG_APPEND, the sender takes RAFT_MSG_PART;
 *	earlier versions do not say so
 */
struct raft_msg {
	uint8_t kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t index;
	uint64_t log_term;
	uint64_t commit;
	uint64_t sent_ms;
	bool ok;
	bool transfer;
	struct msg_list entries;
	struct msg_bytes config;
	struct msg_bytes chunk;
	uint64_t offset;
	bool last;
	uint64_t incarnation;
	bool takes_parts;
};

/** raft_msg_fields - the wire table of struct raft_msg */
extern const struct msg_field raft_msg_fields[];

/** raft_entry_fields - the wire table of struct raft_entry */
extern const struct msg_field raft_entry_fields[];

/** raft_config_pack() - append @c to @out */
void raft_config_pack (const struct raft_config *c, msgpack_sbuffer *out);

/**
 * raft_config_unpack() - read a packed configuration
 * @e: ERR_PROTOCOL
 */
bool raft_config_unpack (struct raft_config *c, const void *data, size_t len,
			 struct err *e);

/** raft_config_find() - the member with @id, or NULL */
struct raft_member *raft_config_find (struct raft_config *c, uint64_t id);

/** raft_config_voters() - how many members vote */
uint32_t raft_config_voters (const struct raft_config *c);

/**
 * struct raft_ops - what the core asks of its owner
 * @send: send a message; it may be lost.  Its bytes are valid during the call.
 * @save_vote: make term and vote durable before returning
 * @append: add an entry to the durable log; it need not be durable yet
 * @truncate: drop entries from @index on; it need not be durable yet
 * @sync: make all appends and truncations durable before returning
 * @apply: a committed entry, in order, once after each start
 * @snapshot: make the state as of @index durable as the newest snapshot and
 *	drop log entries up to @base from the durable log
 * @snapshot_chunk: read the newest snapshot
 * @install: replace state and durable log by a snapshot, durably
 * @role: the role, the term or the known leader changed
 * @now: own clock, the one of raft_tick(); read after @save_vote and @sync,
 *	which may take long.  NULL: the clock stands still during a call.
 *
 * Where one returns false, the failure is final: the core stops.
 */
struct raft_ops {
	void (*send) (const struct raft_msg *m, void *ctx);
	bool (*save_vote) (uint64_t term, uint64_t vote, void *ctx);
	bool (*append) (const struct raft_entry *entry, void *ctx);
	bool (*truncate) (uint64_t index, void *ctx);
	bool (*sync) (void *ctx);
	void (*apply) (const struct raft_entry *entry, void *ctx);
	bool (*snapshot) (uint64_t index, uint64_t term,
			  const struct raft_config *config, uint64_t base,
			  void *ctx);
	bool (*snapshot_chunk) (uint64_t offset, size_t max,
				struct msg_bytes *chunk, bool *last, void *ctx);
	bool (*install) (uint64_t index, uint64_t term,
			 const struct raft_config *config, const void *data,
			 size_t len, void *ctx);
	void (*role) (void *ctx);
	uint64_t (*now) (void *ctx);
};

/** struct raft_peer - what a member knows of another */
struct raft_peer {
	uint64_t id;
	uint64_t next;       /* index to send next */
	uint64_t match;      /* durable there up to here */
	uint64_t since_ms;   /* own clock when it became a member, or this
				member the leader */
	uint64_t acked_ms;   /* own clock at the sending of the newest message
				that it answered in this term */
	uint64_t snap_index; /* snapshot being sent, 0: none */
	uint64_t snap_offset;
	uint64_t snap_sent_ms; /* when its last chunk was sent */
	uint64_t part_index;   /* entry being sent in parts, 0: none */
	uint64_t part_offset;
	uint64_t part_sent_ms;
	uint32_t part_bytes; /* of the next part */
	bool takes_parts;
	bool granted;         /* in the running election */
	bool replaced;        /* see raft_note_replaced() */
	bool ahead;           /* its log holds more, says its last reply to
				 RAFT_MSG_RESTART */
	uint64_t incarnation; /* of that reply */
	uint64_t asked;       /* incarnation named in the vote request */
};

/** struct raft_log - entries after a base, in memory */
struct raft_log {
	GPtrArray *entries; /* of struct raft_entry *, from base + 1 on */
	uint64_t base;
	uint64_t base_term;
	uint64_t durable; /* last index known to be durable here */
	uint64_t bytes;
};

/** struct raft_ack - an answer that waits for the log to be durable */
struct raft_ack {
	uint64_t to;
	uint64_t index;
	uint64_t sent_ms;
};

/**
 * struct raft_turn - whose pre-vote was granted last
 * @id: the pre-candidate, this member itself too; 0: none
 * @log_term: term of its last entry
 * @index: index of its last entry
 * @since_ms: own clock at the first grant
 */
struct raft_turn {
	uint64_t id;
	uint64_t log_term;
	uint64_t index;
	uint64_t since_ms;
};

/** struct raft - one member; the caller owns the memory */
struct raft {
	uint64_t id;
	struct raft_times times;
	struct raft_limits limits;
	const struct raft_ops *ops;
	void *ctx;
	GRand *rand;

	enum raft_role role;
	uint64_t term;
	uint64_t vote;
	uint64_t leader; /* 0 where unknown */
	bool failed;     /* storage failed; final */

	uint64_t now_ms;
	uint64_t contact_ms; /* when a leader was last heard */
	struct raft_turn turn;
	uint64_t election_at_ms;
	uint64_t election_limit_ms; /* a pause postpones it no further */
	uint64_t ticked_ms;         /* 0: not yet */
	uint64_t resumed_ms; /* when the owner last came back from a pause */
	uint64_t heartbeat_at_ms;
	uint64_t ask_at_ms;   /* a candidate asks for votes again */
	uint8_t campaign;     /* enum raft_campaign, of the running election */
	uint64_t incarnation; /* of this start; 0 once a leader was heard */
	uint64_t restart_ask_at_ms;
	uint64_t leader_since_ms;
	uint64_t term_start; /* a leader's first entry of its term */
	uint64_t transfer_to;
	uint64_t transfer_until_ms;

	struct raft_log log;
	bool dirty; /* appends or truncations wait for sync */
	uint64_t commit;
	uint64_t applied;
	struct raft_ack ack;

	uint64_t snap_index;
	uint64_t snap_term;
	struct raft_config snap_config;
	struct raft_config config; /* the newest in the log */
	uint64_t config_index;
	uint64_t config_changes; /* times @config was read anew */
	struct raft_peer peers[RAFT_MEMBERS_MAX];
	uint32_t peer_count;

	GByteArray *incoming; /* snapshot being received */
	uint64_t incoming_index;
	GByteArray *part; /* of an entry being received in parts */
	uint64_t part_index;
	uint64_t part_term;
	uint64_t elections; /* elections won, for reports */
};

/**
 * raft_init() - prepare a member that holds nothing
 * @id: its identity, not 0
 * @seed: of its election timeouts
 */
void raft_init (struct raft *r, uint64_t id, const struct raft_times *times,
		const struct raft_limits *limits, const struct raft_ops *ops,
		void *ctx, uint32_t seed);

/** raft_finish() - release it */
void raft_finish (struct raft *r);

/* What was durable is given back before raft_start(), in this order. */

/** raft_load_vote() - the durable term and vote */
void raft_load_vote (struct raft *r, uint64_t term, uint64_t vote);

/** raft_load_snapshot() - the newest snapshot; the owner restores the state */
void raft_load_snapshot (struct raft *r, uint64_t index, uint64_t term,
			 const struct raft_config *config);

/** raft_load_base() - the durable log starts after @index */
void raft_load_base (struct raft *r, uint64_t index, uint64_t term);

/**
 * raft_load_entry() - the next durable entry
 * @e: ERR_CORRUPT where it does not follow the last one
 */
bool raft_load_entry (struct raft *r, const struct raft_entry *entry,
		      struct err *e);

/**
 * raft_start() - begin
 *
 * Nothing heard before counts: a member that starts grants no vote for one
 * election timeout, since the leader's lease may rest on it.
 */
void raft_start (struct raft *r, uint64_t now_ms);

/**
 * raft_note_replaced() - the process of member @id is gone for good
 *
 * To be called when another identity uses its address.  Such a member holds no
 * lease, so an election after a restart of all does not wait for its word, and
 * it counts in no quorum.  See raft_quorum().
 */
void raft_note_replaced (struct raft *r, uint64_t id);

/** raft_tick() - let time pass; call at least every heartbeat_ms */
void raft_tick (struct raft *r, uint64_t now_ms);

/** raft_step() - take a message */
void raft_step (struct raft *r, const struct raft_msg *m, uint64_t now_ms);

/**
 * raft_flush() - end a turn: send, make durable, commit, apply
 *
 * Proposals and messages of one turn share one sync.
 */
void raft_flush (struct raft *r, uint64_t now_ms);

/**
 * raft_propose() - append a command at the leader
 * @index: where it will stand; committed when ops.apply() shows an entry with
 *	this index and the term at the time of the call
 * @e: ERR_NOT_LEADER, ERR_OVERLOAD, ERR_TOO_LARGE; nothing was appended
 */
bool raft_propose (struct raft *r, const void *data, size_t len,
		   uint64_t *index, struct err *e);

/* Membership: at the leader, one change at a time; each is a log entry.
 * ERR_NOT_LEADER, ERR_CONFLICT while another is not committed, ERR_NOT_FOUND,
 * ERR_FULL, ERR_BAD_REQUEST. */

/** raft_add() - add a learner */
bool raft_add (struct raft *r, const struct raft_member *m, struct err *e);

/**
 * raft_promote() - make a learner a voter
 *
 * Refused until it has answered lately and holds durably all that is committed.
 */
bool raft_promote (struct raft *r, uint64_t id, struct err *e);

/** raft_remove() - remove a member; a leader that removes itself steps down */
bool raft_remove (struct raft *r, uint64_t id, struct err *e);

/** raft_set_addr() - change a member's address */
bool raft_set_addr (struct raft *r, uint64_t id, const char *addr,
		    struct err *e);

/**
 * raft_transfer() - hand leadership over
 * @to: to whom; 0 for the voter that holds most
 * @e: ERR_NOT_LEADER, ERR_NOT_FOUND
 */
bool raft_transfer (struct raft *r, uint64_t to, struct err *e);

/**
 * raft_lease_until() - own clock up to which no other can be leader
 *
 * Return: 0 where this member is not leader or has no lease.  A holder
 * compares it with its clock immediately before each act.
 */
uint64_t raft_lease_until (const struct raft *r);

/**
 * raft_read_ready() - whether a read may be answered from the applied state
 * @index: commit index when the read came
 * @since_ms: own clock when the read came
 *
 * True at a leader that either holds the lease now or has been confirmed by a
 * quorum for a message sent after @since_ms, and has applied @index.
 */
bool raft_read_ready (const struct raft *r, uint64_t index, uint64_t since_ms,
		      uint64_t now_ms);

/**
 * raft_quorum() - how many voters elect a leader, commit an entry and hold up a
 * lease
 *
 * A majority; or half of an even number, where one of the voters is known to
 * have lost its disk and as many disks as may be lost at once leave another.
 * Any two such sets of voters that still have their disks share one.
 */
uint32_t raft_quorum (const struct raft *r);

/** raft_copies() - how many voters are known to hold the entry at @index
 * durably, at the leader */
uint32_t raft_copies (const struct raft *r, uint64_t index);

/**
 * raft_copies_needed() - how many voters have to hold what is acknowledged
 *
 * One more than the disks that may be lost at once, or all where there are
 * fewer.  A majority is that many, unless the group is still growing.
 */
uint32_t raft_copies_needed (const struct raft *r);

/** raft_peer() - what is known of member @id, or NULL */
const struct raft_peer *raft_peer (const struct raft *r, uint64_t id);

/** raft_role_name() - "leader", "follower", ... */
const char *raft_role_name (enum raft_role role);

#endif
