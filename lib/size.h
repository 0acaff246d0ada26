#ifndef DH_SIZE_H
#define DH_SIZE_H

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
 * ones, a reclaim leaves the others'.
 */

/**
 * struct size_in - one domain
 * @min: least endpoints of both kinds
 * @max: most
 * @cheap_factor: price of a cheap one against a firm one
 * @need: engines that the work of all domains keeps busy
 * @guessed: @need is not borne out by work yet: nothing dear is bought for it
 * @domains: that have endpoints of the service, at least 1
 * @firm: present here and not leaving
 * @cheap: the same, that may be reclaimed
 * @cheap_all: cheap ones present in all domains
 */
struct size_in {
	uint32_t min;
	uint32_t max;
	double cheap_factor;
	double need;
	bool guessed;
	uint32_t domains;
	uint32_t firm;
	uint32_t cheap;
	uint32_t cheap_all;
};

/** struct size_out - to be ordered */
struct size_out {
	uint32_t firm;
	uint32_t cheap;
};

/** size_domain() - decide for one domain */
struct size_out size_domain (const struct size_in *in);

/**
 * size_need_start() - the need to begin with
 *
 * Before the first request nothing is held in any engine's memory, so the first
 * seconds ask for the most reading: @max in each domain.  A member that takes
 * over begins with what is @present.
 */
struct size_need;
void size_need_start (struct size_need *n, bool first, uint32_t max,
		      uint32_t domains, uint32_t present, uint64_t now_ms);

/** struct size_need - smooths the work that is asked for */
struct size_need {
	double engines;
	uint64_t at_ms;
	bool guessed; /* not yet borne out by work */
};

/**
 * size_need_add() - take a reading
 * @work_ms: engine time asked for since the last reading
 */
void size_need_add (struct size_need *n, double work_ms, uint64_t now_ms);

#endif
