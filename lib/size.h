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
 * ones, a reclaim leaves the others'; none of those goes while a domain is
 * short of its part.
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
 * @here: both kinds here by the last orders, so with those that boot
 * @all: the same in all domains
 * @cheap_all: the cheap ones of them
 * @before: no request has come yet, and what is ordered now boots in time for
 *	the first
 * @scarce: no cheap ones were to be had here just now
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
	uint32_t here;
	uint32_t all;
	uint32_t cheap_all;
	bool before;
	bool scarce;
};

/** struct size_out - to be ordered */
struct size_out {
	uint32_t firm;
	uint32_t cheap;
};

/** size_domain() - decide for one domain */
struct size_out size_domain (const struct size_in *in);

/**
 * struct size_order - the last order for one kind in one domain
 * @count: ordered; 0 where @at_ms is 0
 * @had: listed when it was sent
 * @at_ms: when it was sent, 0 where none is under way
 * @lower_since_ms: since when fewer are wanted, 0 where they are not
 */
struct size_order {
	uint32_t count;
	uint32_t had;
	uint64_t at_ms;
	uint64_t lower_since_ms;
};

/**
 * size_order_base() - how many there will be without another order
 * @have: listed now
 * @boot_ms: from an order until its endpoints serve
 */
uint32_t size_order_base (const struct size_order *o, uint32_t have,
			  uint32_t boot_ms, uint64_t now_ms);

/**
 * size_order_due() - whether @want should be ordered now
 * @before: as in struct size_in: nothing is lost by fewer
 *
 * The load it answers: a need that is measured anew four times a second and
 * moves a little each time.  Following it would cancel what is booting and
 * take endpoints away whose memory holds prompts.  Small differences are left
 * alone, and fewer are ordered only once fewer were wanted for a while.
 */
bool size_order_due (struct size_order *o, uint32_t have, uint32_t want,
		     uint32_t boot_ms, bool before, uint64_t now_ms);

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
