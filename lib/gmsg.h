#ifndef DH_GMSG_H
#define DH_GMSG_H

#include "blame.h"
#include "fleet.h"
#include "gstate.h"
#include "loads.h"
#include "msg.h"
#include "raft.h"
#include "rollout.h"

/*
 * Messages between relays and the members of the group that serves them, and
 * messages between members other than those of raft.
 */

/** GMSG_WINDOWS_MAX - most usage windows in one struct gmsg_report */
#define GMSG_WINDOWS_MAX 16

/**
 * struct gmsg_join - request to join the group (FRAME_GROUP_JOIN)
 * @id: raft id of the sender
 * @name: its instance name
 * @addr: IP:port of its peer listener
 * @domain: its failure domain
 */
struct gmsg_join {
	uint64_t id;
	char name[RAFT_NAME_BYTES];
	char addr[RAFT_NAME_BYTES];
	char domain[RAFT_NAME_BYTES];
};

/** struct gmsg_addr - IP:port of a member's peer listener */
struct gmsg_addr {
	char addr[RAFT_NAME_BYTES];
};

/**
 * struct gmsg_state - a member's status (FRAME_GROUP_STATE)
 * @version: of the configuration it holds, 0: none
 * @drain_index: log index of the last drain command
 * @drained: drained failure domains, of struct gstate_drain
 * @is_leader: it is the leader
 * @has_leader: it is the leader, or heard one recently
 * @list_digest: digest of its endpoint list, 0: none
 * @list_age_ms: time since the platform was asked for that list
 * @list_interval_ms: time between two reads of the list
 * @relays: number of relays linked to it
 * @members: members of the group, of struct gmsg_addr
 * @sealed_window: newest usage window that takes no more counts
 * @wall_ms: its wall clock, in milliseconds since the epoch
 *
 * Sent at each change, and at least every GROUP_STATE_LEADER_MS by the leader
 * and every GROUP_STATE_FOLLOWER_MS by other members.
 */
struct gmsg_state {
	uint64_t version;
	uint64_t drain_index;
	struct msg_list drained;
	bool is_leader;
	bool has_leader;
	uint64_t list_digest;
	uint32_t list_age_ms;
	uint32_t relays;
	struct msg_list members;
	uint64_t sealed_window;
	uint64_t wall_ms;
	uint32_t list_interval_ms;
};

/**
 * struct gmsg_request - request for data that the sender lacks
 * (FRAME_GROUP_ASK)
 * @plan: send the configuration
 * @list_subscribe: send the full endpoint list, and deltas from then on
 * @list_unsubscribe: send no more deltas; another member sends them
 * @chunked: with @plan: send one chunk of the configuration's text, not the
 *whole text in one message.  Members of older versions ignore this field.
 * @version: version of that text; 0: the newest
 * @offset: where the chunk starts
 */
struct gmsg_request {
	bool plan;
	bool list_subscribe;
	bool list_unsubscribe;
	bool chunked;
	uint64_t version;
	uint32_t offset;
};

/**
 * struct gmsg_plan - a configuration (FRAME_GROUP_PLAN)
 * @version: its version
 * @text: the configuration as the operator sent it
 */
struct gmsg_plan {
	uint64_t version;
	struct msg_bytes text;
};

/**
 * struct gmsg_list - an endpoint list, full or as a delta (FRAME_GROUP_LIST)
 * @digest: fleet_list_digest() of the list
 * @age_ms: time since the platform was asked for it
 * @entries: of struct fleet_info; in a delta, the new and the changed ones
 * @base_digest: digest of the list that a delta applies to, 0: full list
 * @removed: of struct load_ep; in a delta, endpoints no longer listed
 * @rollout_index: struct gmsg_rollouts.index of the sender when it sent this
 */
struct gmsg_list {
	uint64_t digest;
	uint32_t age_ms;
	struct msg_list entries;
	uint64_t base_digest;
	struct msg_list removed;
	uint64_t rollout_index;
};

/**
 * struct gmsg_report - a relay's request counts in the usage windows that are
 * not sealed (FRAME_GROUP_REPORT)
 * @windows: of struct gstate_window, with totals since the window began
 * @delta: client accounts that are left out keep the count reported before
 */
struct gmsg_report {
	struct msg_list windows;
	bool delta;
};

/**
 * struct gmsg_blame - news of keys that may crash endpoints (FRAME_GROUP_BLAME)
 * @records: of struct blame_record, at most BLAME_RECORDS_MAX
 */
struct gmsg_blame {
	struct msg_list records;
};

/**
 * struct gmsg_rollout - one rollout, as a relay is told of it
 * @id: log index of its start
 * @state: enum rollout_state
 * @grant: requests to the target version that the receiving relay may send, a
 *	total since the relay started; only from the leader.  Never lower than
 *	the highest grant that the relay reported.
 */
struct gmsg_rollout {
	uint64_t id;
	char service[PLAN_NAME_BYTES];
	char target[ROLLOUT_VERSION_BYTES];
	uint32_t state;
	uint64_t grant;
};

/**
 * struct gmsg_rollouts - the newest rollout of each service, in full
 * (FRAME_GROUP_ROLLOUTS, member to relay)
 * @index: log index of the last rollout command that the sender applied, 0:
 *	none; a message with a lower index than a relay already has is obsolete
 * @term: raft term of the sender
 * @is_leader: the sender is the leader, @grant of the rollouts counts
 * @has_leader: it is the leader and holds the lease, or heard a leader
 *recently; grants that a relay holds stay valid for ROLLOUT_GRANT_VALID_MS
 * @rollouts: of struct gmsg_rollout
 *
 * Sent at each change, and after each struct gmsg_state where the deployment
 * has rollouts, also with an empty list.
 */
struct gmsg_rollouts {
	uint64_t index;
	uint64_t term;
	bool is_leader;
	bool has_leader;
	struct msg_list rollouts;
};

/**
 * struct gmsg_rollout_report - a relay's totals of a rollout
 * @id: struct gmsg_rollout.id
 * @requests: for the service, since the relay learned of the rollout
 * @sent_new: requests sent to the target version, retries included, since the
 *	relay started
 * @old_inflight: requests in progress at endpoints of other versions
 * @grant: highest grant received, since the relay started
 * @state: enum rollout_state that the relay acts on
 * @evidence: of struct rollout_evidence.  Entries that did not change since the
 *	last report on this link may be left out; the first one has all.
 */
struct gmsg_rollout_report {
	uint64_t id;
	char service[PLAN_NAME_BYTES];
	uint64_t requests;
	uint64_t sent_new;
	uint32_t old_inflight;
	uint64_t grant;
	uint32_t state;
	struct msg_list evidence;
};

/**
 * struct gmsg_rollout_reports - what a relay reports to the leader
 * (FRAME_GROUP_ROLLOUT_REPORT)
 * @reports: of struct gmsg_rollout_report, for rollouts that are not over
 */
struct gmsg_rollout_reports {
	struct msg_list reports;
};

/** GROUP_STATE_LEADER_MS - longest interval between two states of the leader */
#define GROUP_STATE_LEADER_MS 400

/** GROUP_STATE_FOLLOWER_MS - the same for other members; a link that carried
 * nothing for twice as long is taken for dead */
#define GROUP_STATE_FOLLOWER_MS 700

extern const struct msg_field gmsg_join_fields[];
extern const struct msg_field gmsg_state_fields[];
extern const struct msg_field gmsg_request_fields[];
extern const struct msg_field gmsg_plan_fields[];
extern const struct msg_field gmsg_list_fields[];
extern const struct msg_field gmsg_report_fields[];
extern const struct msg_field gmsg_blame_fields[];
extern const struct msg_field gmsg_rollouts_fields[];
extern const struct msg_field gmsg_rollout_reports_fields[];

#endif
