#ifndef DH_WAITQ_H
#define DH_WAITQ_H

#include <stdbool.h>
#include <stdint.h>

#include "loads.h"
#include "place.h"
#include "plan.h"

/*
 * Order and time limits of the requests that wait in a relay's queue while the
 * endpoints have more work than they can take.  An engine processes prompts
 * roughly in order of arrival, so an urgent request can't overtake what was
 * sent before it.  Therefore only a small backlog is sent to each engine; the
 * rest waits in the relay, the most urgent requests first.  A request is
 * refused once its client is better off trying elsewhere than waiting longer,
 * and soon where no endpoint is expected to become available.
 */

/**
 * struct waitq_entry - a request that may have to wait
 * @arrived_ms: when it arrived
 * @deadline_ms: when its client is expected to have given up
 * @tier: priority, 0 is the most urgent; see plan_tier()
 * @late: it can't be in time any more; see waitq_note_late()
 */
struct waitq_entry {
	uint64_t arrived_ms;
	uint64_t deadline_ms;
	uint32_t tier;
	bool late;
};

/**
 * waitq_entry_init() - initialise the entry of a request that arrives now
 * @q: the entry
 * @route: route of the request
 * @tier: priority of the request
 * @wait_ms: longest time that its client waits; for a stream, waitq may assume
 *	less
 * @now_ms: current time
 */
void waitq_entry_init (struct waitq_entry *q, const struct plan_route *route,
		       uint32_t tier, uint64_t wait_ms, uint64_t now_ms);

/**
 * waitq_max_backlog_ms() - prefill backlog up to which an engine gets requests
 * @route: route of the request
 *
 * Return: prefill time in milliseconds; a request of @route waits while its
 * engine has a longer backlog.
 */
double waitq_max_backlog_ms (const struct plan_route *route);

/**
 * waitq_is_late() - whether half of the latency objective has passed
 * @q: the entry
 * @route: route of the request
 * @now_ms: current time
 */
bool waitq_is_late (const struct waitq_entry *q, const struct plan_route *route,
		    uint64_t now_ms);

/**
 * waitq_refuse_at_ms() - how long to wait where place_choose() gave no endpoint
 * @q: the entry
 * @route: route of the request
 * @reason: PLACE_NONE, PLACE_FULL or PLACE_BUSY
 * @lost_ms: when the request lost its last endpoint, 0 if it had none
 *
 * Return: the time from which the request is refused.
 */
uint64_t waitq_refuse_at_ms (const struct waitq_entry *q,
			     const struct plan_route *route,
			     enum place_reason reason, uint64_t lost_ms);

/**
 * waitq_note_late() - notice that a request can't meet its latency objective
 * any more
 * @q: the entry
 * @route: route of the request
 * @own_ms: time until its first byte on an idle endpoint
 * @now_ms: current time
 *
 * At a shortage of engines, a late request that goes first makes the next one
 * late too.  From then on it goes behind those of its tier that can still be in
 * time.  It stays before those of less urgent tiers, or it would get nothing
 * while they fill the engines.
 *
 * Return: whether it became late now; its place in the queue has changed then.
 */
bool waitq_note_late (struct waitq_entry *q, const struct plan_route *route,
		      double own_ms, uint64_t now_ms);

/** waitq_rank() - rank of a request among those that wait, see LOADS_RANKS */
uint32_t waitq_rank (const struct waitq_entry *q);

/**
 * waitq_resume_until_ms() - how long a stream under way waits for an endpoint
 * that goes on with it
 * @route: route of the request
 * @last_piece_ms: when its client was last sent a piece
 *
 * Its client abandons a stream that stands still, however long ago it began.
 *
 * Return: the time from which the stream is ended as cut.
 */
uint64_t waitq_resume_until_ms (const struct plan_route *route,
				uint64_t last_piece_ms);

/**
 * waitq_startup_refuse_at_ms() - how long a request waits for the configuration
 * @wait_ms: longest time that its client waits, 0 if not stated
 * @now_ms: current time
 * @ready_ms: when the relay has its configuration and the list of endpoints if
 *	any group member can be reached
 *
 * When all instances start at once, requests arrive before the group has a
 * leader.  If they were refused, their clients would retry after the first
 * latency objective has passed, and those with little time would not retry at
 * all.
 *
 * Return: the time from which the request is refused.
 */
uint64_t waitq_startup_refuse_at_ms (uint64_t wait_ms, uint64_t now_ms,
				     uint64_t ready_ms);

/**
 * waitq_compare() - order in which waiting requests are sent
 * @a: an entry
 * @b: another one
 *
 * Return: less than 0 if @a goes before @b, 0 if they are equal, greater than 0
 * otherwise: by tier, then the late ones last, then by time of arrival.
 */
int waitq_compare (const struct waitq_entry *a, const struct waitq_entry *b);

#endif
