/*
 * Waiting times and order of a relay's queue.
 */
#include <glib.h>

#include "waitq.h"

/* Without any usable endpoint a request waits for its latency objective divided
 * by this; after that its client does better to retry. */
#define NO_ENDPOINT_DIVISOR 8

/* Where the endpoints are only busy, it waits for this share of the time that
 * its client waits. */
#define BUSY_SHARE 0.6

/* How long a client waits for the first byte of a stream, or for the next one:
 * the longest of a fixed time, a multiple of the latency objective and a
 * multiple of the longest pause between events.  The clients in use give up
 * after that. */
#define PATIENCE_MIN_MS 2000
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8

/* Prefill backlog up to which an engine gets requests: a share of the latency
 * objective, limited by a maximum that falls with each tier of lower priority,
 * since a more urgent request that arrives later waits for this backlog. */
#define BACKLOG_SHARE 0.5
#define BACKLOG_MAX_MS 300.0
#define BACKLOG_TIER_WEIGHT 0.25

static uint64_t
stream_patience_ms (const struct plan_route *route)
{
	return MAX (PATIENCE_MIN_MS,
		    MAX (PATIENCE_TARGETS * route->latency_target_ms,
			 PATIENCE_GAPS * route->gap_target_ms));
}

void
waitq_entry_init (struct waitq_entry *q, const struct plan_route *route,
		  uint32_t tier, uint64_t wait_ms, uint64_t now_ms)
{
	if (route->kind == PLAN_STREAM)
		wait_ms = MIN (wait_ms, stream_patience_ms (route));
	*q = (struct waitq_entry){now_ms, now_ms + wait_ms, tier, false};
}

double
waitq_max_backlog_ms (const struct plan_route *route)
{
	return MIN (BACKLOG_SHARE * route->latency_target_ms,
		    BACKLOG_MAX_MS / (1 + BACKLOG_TIER_WEIGHT * route->tier));
}

bool
waitq_is_late (const struct waitq_entry *q, const struct plan_route *route,
	       uint64_t now_ms)
{
	return now_ms > q->arrived_ms + route->latency_target_ms / 2;
}

bool
waitq_note_late (struct waitq_entry *q, const struct plan_route *route,
		 double own_ms, uint64_t now_ms)
{
	if (q->late || (double)(now_ms - q->arrived_ms) + own_ms <=
			       route->latency_target_ms)
		return false;
	q->late = true;
	return true;
}

uint32_t
waitq_rank (const struct waitq_entry *q)
{
	return MIN (2 * q->tier + q->late, LOADS_RANKS - 1);
}

uint64_t
waitq_refuse_at_ms (const struct waitq_entry *q, const struct plan_route *route,
		    enum place_reason reason, uint64_t lost_ms)
{
	if (reason == PLACE_BUSY || reason == PLACE_FULL)
		return q->arrived_ms +
		       (uint64_t)(BUSY_SHARE *
				  (double)(q->deadline_ms - q->arrived_ms));
	return MAX (lost_ms, q->arrived_ms) +
	       route->latency_target_ms / NO_ENDPOINT_DIVISOR;
}

uint64_t
waitq_resume_until_ms (const struct plan_route *route, uint64_t last_piece_ms)
{
	return last_piece_ms + stream_patience_ms (route);
}

uint64_t
waitq_startup_refuse_at_ms (uint64_t wait_ms, uint64_t now_ms,
			    uint64_t ready_ms)
{
	wait_ms =
		wait_ms > 0 ? MIN (wait_ms, PATIENCE_MIN_MS) : PATIENCE_MIN_MS;
	return MIN (now_ms + (uint64_t)(BUSY_SHARE * (double)wait_ms),
		    ready_ms);
}

int
waitq_compare (const struct waitq_entry *a, const struct waitq_entry *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier ? -1 : 1;
	if (a->late != b->late)
		return a->late - b->late;
	if (a->arrived_ms == b->arrived_ms)
		return 0;
	return a->arrived_ms < b->arrived_ms ? -1 : 1;
}
