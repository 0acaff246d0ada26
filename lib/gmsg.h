#ifndef DH_GMSG_H
#define DH_GMSG_H

#include "fleet.h"
#include "gstate.h"
#include "loads.h"
#include "msg.h"
#include "raft.h"

/*
 * Messages between relays and the members of the group that serves them, and
 * between members beside the log's own.
 */

#define GMSG_WINDOWS_MAX 16

/** struct gmsg_join - a member asks to be in the group (FRAME_GROUP_JOIN) */
struct gmsg_join {
	uint64_t id;
	char name[RAFT_NAME_BYTES];
	char addr[RAFT_NAME_BYTES];
	char domain[RAFT_NAME_BYTES];
};

/** struct gmsg_addr - where a member's links listen */
struct gmsg_addr {
	char addr[RAFT_NAME_BYTES];
};

/**
 * struct gmsg_state - what a member holds, told at each change and at least
 * every GROUP_STATE_LEADER_MS or GROUP_STATE_FOLLOWER_MS (FRAME_GROUP_STATE)
 * @version: of the configuration, 0 where it holds none
 * @drain_index: log index of the last change of @drained
 * @drained: taken out, of struct gstate_drain
 * @is_leader: it is the leader, with a lease
 * @has_leader: it leads, or hears the leader
 * @list_digest: names the contents of its list of endpoints, 0: none
 * @list_age_ms: how old the list is
 * @list_interval_ms: from one reading of the list to the next
 * @relays: how many relays it is linked to
 * @members: of the group, of struct gmsg_addr
 * @sealed_window: newest usage window that takes no more counts
 * @wall_ms: its wall clock
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
 * struct gmsg_request - a relay asks for what it lacks (FRAME_GROUP_ASK)
 * @plan: the configuration
 * @list_subscribe: the whole list, and changes from then on
 * @list_unsubscribe: no more changes: another member tells them
 */
struct gmsg_request {
	bool plan;
	bool list_subscribe;
	bool list_unsubscribe;
};

/** struct gmsg_plan - a configuration (FRAME_GROUP_PLAN) */
struct gmsg_plan {
	uint64_t version;
	struct msg_bytes text;
};

/**
 * struct gmsg_list - a list of endpoints, or what changed (FRAME_GROUP_LIST)
 * @digest: fleet_list_digest() of the list
 * @age_ms: since the platform was asked for it
 * @entries: of struct fleet_info; the changed ones, where @base_digest is given
 * @base_digest: stamp of the list before, 0 where @entries is whole
 * @removed: of struct load_ep, those that were in the list before
 */
struct gmsg_list {
	uint64_t digest;
	uint32_t age_ms;
	struct msg_list entries;
	uint64_t base_digest;
	struct msg_list removed;
};

/**
 * struct gmsg_report - what a relay counted, in total, of each window that is
 * not sealed (FRAME_GROUP_REPORT)
 * @windows: of struct gstate_window
 * @delta: accounts not in them have what was told before
 */
struct gmsg_report {
	struct msg_list windows;
	bool delta;
};

/** GROUP_STATE_LEADER_MS - longest pause between two states of the leader */
#define GROUP_STATE_LEADER_MS 400

/** GROUP_STATE_FOLLOWER_MS - the same of other members: links count as silent
 * after twice that */
#define GROUP_STATE_FOLLOWER_MS 700

extern const struct msg_field gmsg_join_fields[];
extern const struct msg_field gmsg_state_fields[];
extern const struct msg_field gmsg_request_fields[];
extern const struct msg_field gmsg_plan_fields[];
extern const struct msg_field gmsg_list_fields[];
extern const struct msg_field gmsg_report_fields[];

#endif
