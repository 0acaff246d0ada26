/*
 * After a failed send.
 */
#include "failover.h"

/* Refused sends of one request; beyond that its endpoints are full. */
#define SENDS_MAX 4

/* With less time left another endpoint can hardly answer. */
#define LEFT_MIN_MS 60

static bool
may_repeat (const struct failover_input *f)
{
	return f->kind == PLAN_IDEMPOTENT ||
	       (f->kind == PLAN_STREAM && f->resumable);
}

enum again
failover_final (const struct failover_input *f)
{
	if (f->response_started)
		return FAILOVER_CUT;
	if (f->answered && !f->not_run)
		return FAILOVER_PASS;
	return f->possible_runs == 0 ? FAILOVER_REFUSE : FAILOVER_UNKNOWN;
}

enum again
failover_decide (const struct failover_input *f)
{
	bool in_time =
		f->remaining_ms >= LEFT_MIN_MS && f->attempt_count < SENDS_MAX;

	if (!in_time)
		return failover_final (f);
	if (!f->sent)
		return FAILOVER_RETRY_UNSENT;
	/* An earlier run would make this the second one. */
	if (f->not_run && (f->possible_runs == 0 || may_repeat (f)))
		return FAILOVER_RETRY;
	if (may_repeat (f) && f->possible_runs < f->max_runs)
		return FAILOVER_RETRY;
	return failover_final (f);
}

const char *
failover_action_name (enum again v)
{
	switch (v) {
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
	}
	return "?";
}
