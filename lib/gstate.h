#ifndef DH_GSTATE_H
#define DH_GSTATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <msgpack.h>

#include "blame.h"
#include "err.h"
#include "msg.h"
#include "plan.h"
#include "rollout.h"

/*
 * The state that the members of a group replicate for relays: the newest
 * configuration as the operator sent it, the drained failure domains, the usage
 * windows sealed last, the newest rollout of each service, and the requests
 * that crash endpoints.
 */

#define GSTATE_NAME_BYTES PLAN_NAME_BYTES
#define GSTATE_DOMAINS_MAX 64
#define GSTATE_PLAN_MAX_BYTES (3U << 20)
#define GSTATE_WINDOWS_KEPT 8
#define GSTATE_ACCOUNTS_MAX 4096

/** enum gstate_kind - first byte of a command; values are never reused */
enum gstate_kind {
	GSTATE_PLAN = 1,
	GSTATE_DRAIN = 2,
	GSTATE_WINDOW = 3,
	/* Members of versions without rollouts can't decode these; no such
	 * member may remain when rollouts are enabled. */
	GSTATE_ROLLOUT_START = 4,
	GSTATE_ROLLOUT_ISSUE = 5,
	GSTATE_ROLLOUT_STATE = 6,
	GSTATE_BLAME = 7,
};

/**
 * struct gstate_plan - command that replaces the configuration
 * @version: the command has no effect unless it is higher than the one held
 * @text: the configuration as the operator sent it
 */
struct gstate_plan {
	uint64_t version;
	struct msg_bytes text;
};

/**
 * struct gstate_drain - command that drains a failure domain, or ends that
 * @domain: name of the failure domain
 * @drained: whether it is drained from now on
 */
struct gstate_drain {
	char domain[GSTATE_NAME_BYTES];
	bool drained;
};

/** struct gstate_count - requests of one client account in one usage window;
 * the name belongs to whoever made the array */
struct gstate_count {
	const char *account;
	uint64_t requests;
};

/**
 * struct gstate_window - command that seals a usage window
 * @number: the command has no effect unless it is above the last sealed one
 * @counts: of struct gstate_count
 */
struct gstate_window {
	uint64_t number;
	struct msg_list counts;
};

/**
 * struct gstate_rollout_start - command that starts a rollout
 * @duration_ms: its time limit
 * @wall_ms: wall clock of the leader that received the request
 * @repeat_ms: an equal request within this time after a start is the same
 *	request sent again, also where the rollout is over
 *
 * The command has no effect while the service's rollout runs, or where it
 * repeats its start.
 */
struct gstate_rollout_start {
	char service[GSTATE_NAME_BYTES];
	char target[ROLLOUT_VERSION_BYTES];
	uint64_t duration_ms;
	uint64_t wall_ms;
	uint64_t repeat_ms;
};

/**
 * struct gstate_rollout_issue - command that adds to a rollout's issued
 * requests
 * @id: the rollout; the command has no effect unless it is RUNNING
 * @count: requests that the leader may grant once the command is applied
 * @requests: requests of the service that relays reported
 * @answers: answers of the target version that they reported
 *
 * Totals of relays that ended are known to a later leader only from here.
 */
struct gstate_rollout_issue {
	uint64_t id;
	uint64_t count;
	uint64_t requests;
	uint64_t answers;
};

/**
 * struct gstate_rollout_state - command that changes a rollout's state
 * @id: the rollout
 * @state: enum rollout_state; see rollout_may_become()
 */
struct gstate_rollout_state {
	uint64_t id;
	uint32_t state;
};

/**
 * struct gstate_blame - command that replaces what is known of requests that
 * crash endpoints
 * @wall_ms: wall clock of the leader, at which the ages of @records were taken
 * @records: of struct blame_record, as blame_export_kept() gives them
 */
struct gstate_blame {
	uint64_t wall_ms;
	struct msg_list records;
};

extern const struct msg_field gstate_blame_fields[];
extern const struct msg_field gstate_plan_fields[];
extern const struct msg_field gstate_drain_fields[];
extern const struct msg_field gstate_count_fields[];
extern const struct msg_field gstate_window_fields[];

/** struct gstate - the replicated state; the caller owns the memory */
struct gstate {
	uint64_t version;        /* 0 before the first configuration */
	GBytes *text;            /* the configuration, NULL before the first */
	GPtrArray *drained;      /* names of drained domains, of char * */
	uint64_t drain_index;    /* log index of the last drain command */
	uint64_t sealed_window;  /* number of the newest sealed window */
	GPtrArray *windows;      /* of struct gstate_window *, oldest first */
	GArray *rollouts;        /* of struct rollout, in order of their ids */
	uint64_t rollout_index;  /* log index of the last rollout command */
	GArray *blamed;          /* of struct blame_record */
	uint64_t blamed_wall_ms; /* see struct gstate_blame */
};

/** gstate_init() - initialize an empty state */
void gstate_init (struct gstate *s);

/** gstate_finish() - release a state's memory */
void gstate_finish (struct gstate *s);

/** gstate_has_counts() - whether any window kept counts requests */
bool gstate_has_counts (const struct gstate *s);

/** gstate_is_drained() - whether @domain is drained */
bool gstate_is_drained (const struct gstate *s, const char *domain);

/** gstate_rollout() - newest rollout of @service, or NULL */
const struct rollout *gstate_rollout (const struct gstate *s,
				      const char *service);

/** gstate_rollout_by_id() - the rollout with @id, or NULL */
struct rollout *gstate_rollout_by_id (const struct gstate *s, uint64_t id);

/** gstate_rollout_accepts() - whether @r is the rollout that @cmd asks for */
bool gstate_rollout_accepts (const struct rollout *r,
			     const struct gstate_rollout_start *cmd);

/** gstate_apply_rollout() - apply a rollout command; see gstate_apply() */
bool gstate_apply_rollout (struct gstate *s, uint64_t index,
			   enum gstate_kind kind, const uint8_t *data,
			   size_t len, struct err *e);

extern const struct msg_field gstate_rollout_start_fields[];
extern const struct msg_field gstate_rollout_issue_fields[];
extern const struct msg_field gstate_rollout_state_fields[];

/**
 * gstate_apply() - apply a committed command
 * @index: log index of the command
 * @data: the command, as gstate_encode() writes it
 * @len: its length in bytes
 * @e: ERR_PROTOCOL where the command is malformed
 *
 * Return: whether the command could be decoded; else the state is unchanged.
 */
bool gstate_apply (struct gstate *s, uint64_t index, const uint8_t *data,
		   size_t len, struct err *e);

/** gstate_snapshot() - append the encoded state to @out */
void gstate_snapshot (const struct gstate *s, msgpack_sbuffer *out);

/**
 * gstate_restore() - replace the state by a snapshot
 * @data: the snapshot, as gstate_snapshot() writes it
 * @len: its length in bytes
 * @e: ERR_CORRUPT where the snapshot is malformed
 *
 * Return: whether the snapshot could be decoded; else the state is unchanged.
 */
bool gstate_restore (struct gstate *s, const void *data, size_t len,
		     struct err *e);

/**
 * struct gstate_reported - windows whose report the platform accepted from this
 * member
 * @numbers: ring buffer of window numbers
 * @next: position in @numbers that is written next
 */
struct gstate_reported {
	uint64_t numbers[2 * GSTATE_WINDOWS_KEPT];
	uint32_t next;
};

/** gstate_mark_reported() - note that the platform accepted @number */
void gstate_mark_reported (struct gstate_reported *t, uint64_t number);

/**
 * gstate_next_report() - choose the window to report next
 * @t: windows that this member has reported
 * @wall_ms: wall clock, in milliseconds since the epoch
 * @window_ms: length of a window
 * @late_ms: time after a window's end at which its report is due
 *
 * The newest window comes first: a new leader does not know which windows its
 * predecessor reported, and most old ones were.  A window whose report is
 * overdue is never reported again.
 *
 * Return: the window, or NULL where none is to be reported.
 */
const struct gstate_window *
gstate_next_report (const struct gstate *s, const struct gstate_reported *t,
		    uint64_t wall_ms, uint64_t window_ms, uint64_t late_ms);

/**
 * gstate_encode() - append an encoded command to @out
 * @kind: says which structure @cmd points to
 */
void gstate_encode (enum gstate_kind kind, const void *cmd,
		    msgpack_sbuffer *out);

#endif
