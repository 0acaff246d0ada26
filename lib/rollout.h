#ifndef DH_ROLLOUT_H
#define DH_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "msg.h"
#include "plan.h"

/*
 * Rollouts: the monitored switch of a service to a new version.  Types and
 * constants that relays and members of the group share.
 */

#define ROLLOUT_VERSION_BYTES 64

/** ROLLOUTS_MAX - most rollouts kept, the newest of each service */
#define ROLLOUTS_MAX 256

/** ROLLOUT_GRANT_VALID_MS - a relay's grant may be used for so long after the
 * last message of a member that had a leader */
#define ROLLOUT_GRANT_VALID_MS 2000

/** ROLLOUT_REPORT_MS - interval of a relay's reports while a rollout runs;
 * failures are reported at once, at most every ROLLOUT_REPORT_MIN_MS */
#define ROLLOUT_REPORT_MS 200
#define ROLLOUT_REPORT_MIN_MS 25

/** ROLLOUT_CLASSES, ROLLOUT_BUCKETS - classes of prompt sizes, and buckets of
 * the time to the first byte, into which answers are counted */
#define ROLLOUT_CLASSES 4
#define ROLLOUT_BUCKETS 16
#define ROLLOUT_CELLS (ROLLOUT_CLASSES * ROLLOUT_BUCKETS)

/** ROLLOUT_EVIDENCE_MAX - most entries of evidence in one report */
#define ROLLOUT_EVIDENCE_MAX 1024

/** enum rollout_state - values are stored and sent, and never reused */
enum rollout_state {
	ROLLOUT_NONE = 0,
	ROLLOUT_RUNNING = 1,
	ROLLOUT_SHIFTING = 2, /* the verdict is good, old requests complete */
	ROLLOUT_SUCCEEDED = 3,
	ROLLOUT_ROLLED_BACK = 4,
};

/**
 * struct rollout - the replicated record of a rollout
 * @id: log index of its start
 * @duration_ms: time limit, from the start request
 * @started_wall_ms: wall clock of the leader that accepted the start request
 * @state: enum rollout_state
 * @issued: requests to the target version granted so far, to all relays
 * @requests: requests of the service at the last change of @issued, at least
 * @answers: answers of the target version then, at least
 */
struct rollout {
	uint64_t id;
	char service[PLAN_NAME_BYTES];
	char target[ROLLOUT_VERSION_BYTES];
	uint64_t duration_ms;
	uint64_t started_wall_ms;
	uint32_t state;
	uint64_t issued;
	uint64_t requests;
	uint64_t answers;
};

extern const struct msg_field rollout_fields[];

/**
 * struct rollout_time - answers in one cell of class and bucket
 * @cell: rollout_cell() of the answers
 * @count: their number
 */
struct rollout_time {
	uint32_t cell;
	uint32_t count;
};

/**
 * struct rollout_evidence - answers to one relay from one version, as totals
 * since the relay learned of the rollout
 * @route: 64-bit hash of the route's name
 * @domain: 64-bit hash of the endpoints' failure domain
 * @is_new: the endpoints have the target version, else an older one
 * @answers: answers including @failures
 * @failures: answers that failed through the endpoint: an error status that
 *	is not the client's, an answer that is broken off or not valid. Refusals
 *	that were not run, connections that could not be made and exchanges with
 *	a domain that is cut off are no answers.
 * @times: of struct rollout_time, answers without failure at endpoints that
 *	are not cold
 */
struct rollout_evidence {
	uint64_t route;
	uint64_t domain;
	bool is_new;
	uint64_t answers;
	uint64_t failures;
	struct msg_list times;
};

extern const struct msg_field rollout_evidence_fields[];

/** rollout_cell() - the cell that an answer is counted in
 * @prompt_tokens: length of the prompt, 0 where unknown
 * @first_byte_ms: time from the request's sending to the answer's first byte
 */
uint32_t rollout_cell (uint32_t prompt_tokens, double first_byte_ms);

/** rollout_state_name() - "running", "shifting", ... for log lines */
const char *rollout_state_name (enum rollout_state s);

/** rollout_may_become() - whether state @from may be followed by @to */
bool rollout_may_become (enum rollout_state from, enum rollout_state to);

/** rollout_is_over() - whether the state never changes again */
bool rollout_is_over (enum rollout_state s);

#endif
