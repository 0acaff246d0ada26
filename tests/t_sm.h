#ifndef DH_T_SM_H
#define DH_T_SM_H

#include "sm.h"

/*
 * A state machine fed with commands, for the tests that need one.
 */

/** struct t_sm - a state machine and the log's next index */
struct t_sm {
	struct sm *sm;
	uint64_t index;
	uint64_t term;
	struct sm_reply r; /* of the last command */
};

/** t_sm_init() - an empty one in term 1 */
void t_sm_init (struct t_sm *t);

/** t_sm_finish() - release it */
void t_sm_finish (struct t_sm *t);

/** t_sm_put() - apply one command; its reply is in @t->r */
void t_sm_put (struct t_sm *t, enum sm_kind kind, const void *cmd);

/** t_sm_equal() - whether two state machines have byte-equal snapshots */
bool t_sm_equal (const struct sm *a, const struct sm *b);

/** t_sm_set() - a change that sets one object */
struct inv_change t_sm_set (enum inv_section section, const char *name,
			    const char *json);

/** t_sm_claim() - a claim of account "a" on @key by attempt @attempt of an
 * entry; every byte of the request's digest is @digest */
struct sm_claim t_sm_claim (const char *key, uint8_t digest, const char *entry,
			    uint64_t inc, uint64_t attempt, uint64_t wall_ms);

/** t_sm_claim_done() - apply the outcome of the attempt that holds @c */
void t_sm_claim_done (struct t_sm *t, const struct sm_claim *c,
		      enum sm_outcome outcome, uint16_t status,
		      const char *body);

#endif
