/*
 * Waiting and refusing at a relay.
 */
#include <glib.h>

#include "waitq.h"

/* With no endpoint at all, a request waits for this part of its latency
 * objective; beyond it the caller does better to come again. */
#define NONE_PART 8

/* Where endpoints are only busy, it waits for this share of the time that its
 * caller stays. */
#define BUSY_SHARE 0.6

/* How long a caller stays for a stream without a byte: the longest of these.
 * As the users' clients do. */
#define STAY_MIN_MS 2000
#define STAY_TARGETS 4
#define STAY_GAPS 8

/* Reading that may be due at an engine when a request is sent there: a share of
 * the request's latency objective, at most so much, and less the less urgent
 * its route is, since what comes after it and is more urgent waits for that. */
#define BACKLOG_SHARE 0.5
#define BACKLOG_MAX_MS 300.0
#define BACKLOG_TIER 0.25

void
waitq_entry_init (struct waitq_entry *h, const struct plan_route *route,
		  uint32_t tier, uint64_t wait_ms, uint64_t now_ms)
{
	uint64_t stay_ms =
		MAX (STAY_MIN_MS, MAX (STAY_TARGETS * route->latency_target_ms,
				       STAY_GAPS * route->gap_target_ms));

	if (route->kind == PLAN_STREAM)
		wait_ms = MIN (wait_ms, stay_ms);
	*h = (struct waitq_entry){now_ms, now_ms + wait_ms, tier};
}

double
waitq_max_backlog_ms (const struct plan_route *route)
{
	return MIN (BACKLOG_SHARE * route->latency_target_ms,
		    BACKLOG_MAX_MS / (1 + BACKLOG_TIER * route->tier));
}

bool
waitq_is_late (const struct waitq_entry *h, const struct plan_route *route,
	       uint64_t now_ms)
{
	return now_ms > h->arrived_ms + route->latency_target_ms / 2;
}

uint64_t
waitq_refuse_at_ms (const struct waitq_entry *h, const struct plan_route *route,
		    enum place_reason why, uint64_t since_ms)
{
	if (why == PLACE_BUSY || why == PLACE_FULL)
		return h->arrived_ms +
		       (uint64_t)(BUSY_SHARE *
				  (double)(h->stay_until_ms - h->arrived_ms));
	return MAX (since_ms, h->arrived_ms) +
	       route->latency_target_ms / NONE_PART;
}

uint64_t
waitq_startup_refuse_at_ms (uint64_t wait_ms, uint64_t now_ms,
			    uint64_t known_ms)
{
	wait_ms = wait_ms > 0 ? MIN (wait_ms, STAY_MIN_MS) : STAY_MIN_MS;
	return MIN (now_ms + (uint64_t)(BUSY_SHARE * (double)wait_ms),
		    known_ms);
}

int
waitq_compare (const struct waitq_entry *a, const struct waitq_entry *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->arrived_ms == b->arrived_ms)
		return 0;
	return a->arrived_ms < b->arrived_ms ? -1 : 1;
}
