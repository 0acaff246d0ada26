#ifndef DH_CAPACITY_H
#define DH_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How many endpoints of an elastic service each failure domain should have.
 * Bursts last about as long as an endpoint takes to boot, so the capacity for
 * them has to exist before they begin.  A reclaim takes every reclaimable
 * endpoint of a domain at once, and none can be had there for a while.
 *
 * Reclaimable endpoints cost a fraction of on-demand ones, so each domain has
 * more of them than low load requires, and few on-demand ones.  As all domains
 * have reclaimable endpoints, a reclaim leaves those of the other domains; none
 * of these is given up while a domain has less than its share.
 */

/**
 * struct capacity_input - state of one failure domain
 * @min: least endpoints of both kinds
 * @max: most endpoints of both kinds
 * @price_ratio: price of a reclaimable endpoint relative to an on-demand one;
 *	outside 0 to 1, both excluded, no reclaimable ones are used
 * @demand: engines that the work of all domains keeps busy
 * @provisional: @demand is an estimate that no observed work confirms yet:
 *	nothing beyond the base number is ordered for it
 * @domain_count: domains that have endpoints of the service, at least 1
 * @on_demand: on-demand endpoints listed here and not leaving
 * @reclaimable: the same for reclaimable ones
 * @expected: endpoints of both kinds here after the last orders, including
 *	those that boot
 * @reclaimable_expected: the reclaimable ones of @expected
 * @expected_all: the same in all domains
 * @expected_reclaimable: the reclaimable ones of @expected_all
 * @before_traffic: no request has arrived yet, and what is ordered now boots in
 *	time for the first one
 * @no_reclaimable: the platform recently had no reclaimable ones here
 */
struct capacity_input {
	uint32_t min;
	uint32_t max;
	double price_ratio;
	double demand;
	bool provisional;
	uint32_t domain_count;
	uint32_t on_demand;
	uint32_t reclaimable;
	uint32_t expected;
	uint32_t reclaimable_expected;
	uint32_t expected_all;
	uint32_t expected_reclaimable;
	bool before_traffic;
	bool no_reclaimable;
};

/** struct capacity_target - endpoints that a domain should have */
struct capacity_target {
	uint32_t on_demand;
	uint32_t reclaimable;
};

/**
 * capacity_for_domain() - compute how many endpoints a domain should have
 * @in: state of the domain
 *
 * Return: the number of each kind, together at most @in->max.
 */
struct capacity_target capacity_for_domain (const struct capacity_input *in);

/**
 * struct capacity_order - the last order for one kind in one domain
 * @count: endpoints ordered; 0 where @sent_ms is 0
 * @listed: endpoints listed when the order was sent
 * @sent_ms: when it was sent, 0 if no order is in progress
 * @surplus_since_ms: since when fewer are wanted, 0 if they are not
 */
struct capacity_order {
	uint32_t count;
	uint32_t listed;
	uint64_t sent_ms;
	uint64_t surplus_since_ms;
};

/**
 * capacity_order_expected() - endpoints that there will be without a new order
 * @o: the last order
 * @listed: endpoints listed now
 * @boot_ms: time from an order until its endpoints serve
 * @now_ms: current time
 */
uint32_t capacity_order_expected (const struct capacity_order *o,
				  uint32_t listed, uint32_t boot_ms,
				  uint64_t now_ms);

/**
 * capacity_order_due() - whether a new order should be sent now
 * @o: the last order; its @surplus_since_ms is updated
 * @listed: endpoints listed now
 * @wanted: endpoints that there should be
 * @boot_ms: time from an order until its endpoints serve
 * @before_traffic: as in struct capacity_input; fewer can be ordered at once,
 *	since no endpoint has cached anything
 * @now_ms: current time
 *
 * The demand is computed four times a second and changes a little each time.
 * Following each change would cancel endpoints that boot, and remove endpoints
 * that have prompts in their prefix cache.  Therefore small differences are
 * ignored, and fewer are ordered only after fewer were wanted for some time.
 */
bool capacity_order_due (struct capacity_order *o, uint32_t listed,
			 uint32_t wanted, uint32_t boot_ms, bool before_traffic,
			 uint64_t now_ms);

/**
 * struct capacity_demand - smoothed demand of a service
 * @engines: engines that the work keeps busy
 * @boot_ms: time from an order until its endpoints serve, 0 if not known
 * @updated_ms: when it was updated last, 0 if never
 * @provisional: an estimate that no observed work confirms yet
 */
struct capacity_demand {
	double engines;
	uint32_t boot_ms;
	uint64_t updated_ms;
	bool provisional;
};

/**
 * capacity_demand_init() - set a provisional demand
 * @d: the demand
 * @first: no request was ever served
 * @max: most endpoints in a domain
 * @domain_count: domains that have endpoints of the service
 * @listed: endpoints listed in all domains
 * @boot_ms: time from an order until its endpoints serve
 * @now_ms: current time
 *
 * Before the first request no prefix cache holds anything, so the first seconds
 * of traffic need the most prefill work: the demand is that of @max endpoints
 * in each domain.  A member that takes over from another leader starts with the
 * demand that the @listed endpoints suggest.
 */
void capacity_demand_init (struct capacity_demand *d, bool first, uint32_t max,
			   uint32_t domain_count, uint32_t listed,
			   uint32_t boot_ms, uint64_t now_ms);

/**
 * capacity_demand_add() - add a measurement
 * @d: the demand
 * @work_ms: engine time that requests asked for since the last measurement
 * @now_ms: current time
 */
void capacity_demand_add (struct capacity_demand *d, double work_ms,
			  uint64_t now_ms);

#endif
