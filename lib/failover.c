/*
 * Action after a failed attempt.
 */
#include "failover.h"

/* Attempts for one request.  Where so many endpoints refused it, the others
 * are likely to be full as well. */
#define MAX_ATTEMPTS 4

/* With less time left another endpoint can hardly answer before the deadline.
 */
#define MIN_REMAINING_MS 60

static bool
may_run_again (const struct failover_input *f)
{
	return f->kind == PLAN_IDEMPOTENT ||
	       (f->kind == PLAN_STREAM && f->resumable);
}

enum failover_action
failover_final (const struct failover_input *f)
{
	if (f->response_started)
		return FAILOVER_CUT;
	if (f->answered && !f->not_run)
		return FAILOVER_PASS;
	return f->possible_runs == 0 ? FAILOVER_REFUSE : FAILOVER_UNKNOWN;
}

enum failover_action
failover_decide (const struct failover_input *f)
{
	bool can_retry = f->remaining_ms >= MIN_REMAINING_MS &&
			 f->attempt_count < MAX_ATTEMPTS;

	if (!can_retry)
		return failover_final (f);
	if (!f->sent && (!f->response_started || may_run_again (f)))
		return FAILOVER_RETRY_UNSENT;
	/* This endpoint did not run it, but an earlier one may have: a retry
	 * could then be the second run. */
	if (f->not_run && (f->possible_runs == 0 || may_run_again (f)))
		return FAILOVER_RETRY;
	if (may_run_again (f) && f->possible_runs < f->max_runs)
		return FAILOVER_RETRY;
	if (f->response_started && f->has_copy)
		return FAILOVER_CONTINUE;
	return failover_final (f);
}

const char *
failover_action_name (enum failover_action action)
{
	switch (action) {
	case FAILOVER_RETRY:
		return "send";
	case FAILOVER_RETRY_UNSENT:
		return "send-unsent";
	case FAILOVER_PASS:
		return "pass";
	case FAILOVER_REFUSE:
		return "refuse";
	case FAILOVER_UNKNOWN:
		return "unknown";
	case FAILOVER_CUT:
		return "cut";
	case FAILOVER_CONTINUE:
		return "continue";
	}
	return "?";
}
