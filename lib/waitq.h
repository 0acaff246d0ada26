#ifndef DH_WAITQ_H
#define DH_WAITQ_H

#include <stdbool.h>
#include <stdint.h>

#include "place.h"
#include "plan.h"

/*
 * How a request waits at a relay, and when it is refused.  The load it answers:
 * more work than the endpoints can take now.  What is sent to an engine can't
 * be overtaken there, so only little is sent ahead; the rest waits here, the
 * most urgent first.  A request is refused once its caller would rather leave
 * than wait on, and at once where it has no endpoint that may come free.
 */

/**
 * struct waitq_entry - a request that may have to wait
 * @arrived_ms: when it came
 * @stay_until_ms: its caller is gone by then
 * @tier: plan_tier()
 */
struct waitq_entry {
	uint64_t arrived_ms;
	uint64_t stay_until_ms;
	uint32_t tier;
};

/**
 * waitq_entry_init() - a request of @route that came now
 * @wait_ms: how long its caller waits at most
 */
void waitq_entry_init (struct waitq_entry *h, const struct plan_route *route,
		       uint32_t tier, uint64_t wait_ms, uint64_t now_ms);

/** waitq_max_backlog_ms() - reading due at an engine under which a request of
 * @route is sent there */
double waitq_max_backlog_ms (const struct plan_route *route);

/** waitq_is_late() - whether half of its latency objective has passed */
bool waitq_is_late (const struct waitq_entry *h, const struct plan_route *route,
		    uint64_t now_ms);

/**
 * waitq_refuse_at_ms() - how long it waits, where place_choose() gave no
 * endpoint
 * @why: PLACE_NONE, PLACE_FULL or PLACE_BUSY
 * @since_ms: when it lost its last endpoint; @arrived_ms where it had none
 *
 * Return: the time from which it is refused.
 */
uint64_t waitq_refuse_at_ms (const struct waitq_entry *h,
			     const struct plan_route *route,
			     enum place_reason why, uint64_t since_ms);

/**
 * waitq_startup_refuse_at_ms() - how long a request waits at a relay that has
 * no configuration or no list of endpoints yet
 * @wait_ms: how long its caller waits, 0 where not stated
 * @known_ms: by when the relay knows both, if any member can be reached
 *
 * The load it answers: all instances start at once, and callers come before the
 * group has a leader.  Told to come back, they would come after the first
 * latency objective, and those with little time would not come again.
 */
uint64_t waitq_startup_refuse_at_ms (uint64_t wait_ms, uint64_t now_ms,
				     uint64_t known_ms);

/** waitq_compare() - less than 0 where @a goes before @b */
int waitq_compare (const struct waitq_entry *a, const struct waitq_entry *b);

#endif
