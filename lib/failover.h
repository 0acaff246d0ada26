#ifndef DH_FAILOVER_H
#define DH_FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

/*
 * What becomes of a request whose endpoint did not serve it.  The load it
 * answers: endpoints that crash, refuse, or fail a part of their work while
 * the budget for sending again is small and shared.
 */

/**
 * struct failover_input - what is known
 * @kind: of the route
 * @resumable: a stream may go on elsewhere
 * @sent: a byte of the request may have reached the endpoint
 * @not_run: the endpoint said that it did not and will not run it
 * @answered: an answer came whole, which could be passed on
 * @response_started: bytes of an answer reached the caller
 * @possible_runs: endpoints at which it may have run
 * @max_runs: at how many it may
 * @attempt_count: times an endpoint got it, those that refused it included;
 *where no connection was made none did
 * @remaining_ms: time left
 */
struct failover_input {
	enum plan_kind kind;
	bool resumable;
	bool sent;
	bool not_run;
	bool answered;
	bool response_started;
	uint32_t possible_runs;
	uint32_t max_runs;
	uint32_t attempt_count;
	uint64_t remaining_ms;
};

/** enum again - the verdict */
enum again {
	FAILOVER_RETRY, /* to another endpoint, if the budget allows it */
	FAILOVER_RETRY_UNSENT, /* the same, and it costs no budget: nothing
				  arrived */
	FAILOVER_PASS,         /* pass the answer on as it came */
	FAILOVER_REFUSE,       /* tell the caller that it did not run */
	FAILOVER_UNKNOWN,      /* tell the caller that it may have run */
	FAILOVER_CUT,          /* end the answer so that it looks cut */
};

/** failover_decide() - what to do */
enum again failover_decide (const struct failover_input *f);

/** failover_final() - what to do where @v was FAILOVER_RETRY but can't be done
 */
enum again failover_final (const struct failover_input *f);

/** failover_action_name() - "send", "pass", ... */
const char *failover_action_name (enum again v);

#endif
