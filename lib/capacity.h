#ifndef DH_CAPACITY_H
#define DH_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * How many endpoints of an elastic service each failure domain should have.
 * The load it answers: bursts that last about as long as an endpoint takes to
 * boot, so that what they need has to stand before; and reclaims, which take
 * every cheap endpoint of a domain at once, for a while.
 *
 * Cheap endpoints cost a fraction, so each domain has more of them than a calm
 * day needs, and keeps few that can't be reclaimed.  As all domains have cheap
 * ones, a reclaim leaves the others'; none of those goes while a domain is
 * short of its part.
 */

/**
 * struct capacity_input - one domain
 * @min: least endpoints of both kinds
 * @max: most
 * @price_ratio: price of a cheap one against a firm one
 * @demand: engines that the work of all domains keeps busy
 * @provisional: @demand is not borne out by work yet: nothing dear is bought
 *for it
 * @domain_count: that have endpoints of the service, at least 1
 * @on_demand: present here and not leaving
 * @reclaimable: the same, that may be reclaimed
 * @expected: both kinds here by the last orders, so with those that boot
 * @expected_all: the same in all domains
 * @expected_reclaimable: the cheap ones of them
 * @before_traffic: no request has come yet, and what is ordered now boots in
 *time for the first
 * @no_reclaimable: no cheap ones were to be had here just now
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
	uint32_t expected_all;
	uint32_t expected_reclaimable;
	bool before_traffic;
	bool no_reclaimable;
};

/** struct capacity_target - to be ordered */
struct capacity_target {
	uint32_t on_demand;
	uint32_t reclaimable;
};

/** capacity_for_domain() - decide for one domain */
struct capacity_target capacity_for_domain (const struct capacity_input *in);

/**
 * struct capacity_order - the last order for one kind in one domain
 * @count: ordered; 0 where @sent_ms is 0
 * @had: listed when it was sent
 * @sent_ms: when it was sent, 0 where none is under way
 * @lower_since_ms: since when fewer are wanted, 0 where they are not
 */
struct capacity_order {
	uint32_t count;
	uint32_t had;
	uint64_t sent_ms;
	uint64_t lower_since_ms;
};

/**
 * capacity_order_expected() - how many there will be without another order
 * @have: listed now
 * @boot_ms: from an order until its endpoints serve
 */
uint32_t capacity_order_expected (const struct capacity_order *o, uint32_t have,
				  uint32_t boot_ms, uint64_t now_ms);

/**
 * capacity_order_due() - whether @want should be ordered now
 * @before: as in struct capacity_input: nothing is lost by fewer
 *
 * The load it answers: a need that is measured anew four times a second and
 * moves a little each time.  Following it would cancel what is booting and
 * take endpoints away whose memory holds prompts.  Small differences are left
 * alone, and fewer are ordered only once fewer were wanted for a while.
 */
bool capacity_order_due (struct capacity_order *o, uint32_t have, uint32_t want,
			 uint32_t boot_ms, bool before, uint64_t now_ms);

/**
 * capacity_demand_init() - the need to begin with
 *
 * Before the first request nothing is held in any engine's memory, so the first
 * seconds ask for the most reading: @max in each domain.  A member that takes
 * over begins with what is @present.
 */
struct capacity_demand;
void capacity_demand_init (struct capacity_demand *n, bool first, uint32_t max,
			   uint32_t domains, uint32_t present, uint64_t now_ms);

/** struct capacity_demand - smooths the work that is asked for */
struct capacity_demand {
	double engines;
	uint64_t updated_ms;
	bool provisional; /* not yet borne out by work */
};

/**
 * capacity_demand_add() - take a reading
 * @work_ms: engine time asked for since the last reading
 */
void capacity_demand_add (struct capacity_demand *n, double work_ms,
			  uint64_t now_ms);

#endif
