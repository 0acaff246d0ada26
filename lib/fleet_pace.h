#ifndef DH_FLEET_PACE_H
#define DH_FLEET_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/*
 * Pacing of the endpoints in a relay's table, see pace.h.  Nothing is paced
 * unless fleet.pace is set.
 */

/**
 * struct fleet_pace_req - a request that a paced endpoint may get
 * @is_engine: its service has engines
 * @tokens: length of its prompt
 * @chance: chance that a relay considers the endpoint for a request of its lane
 * @relay_count: relays that share the endpoint, at least 1
 */
struct fleet_pace_req {
	bool is_engine;
	double tokens;
	double chance;
	uint32_t relay_count;
};

/** fleet_pace_begin() - @ep appeared or recovered: it is paced from now on if
 * fleet.pace is set */
void fleet_pace_begin (struct fleet_ep *ep, uint64_t now_ms);

/** fleet_pace_allows() - whether @ep of pool @p may get a request as far as
 * pacing bounds it, see pace.h */
bool fleet_pace_allows (const struct fleet *f, const struct fleet_pool *p,
			const struct fleet_ep *ep,
			const struct fleet_pace_req *req, uint64_t now_ms);

/** fleet_pace_tick() - end the pacing of endpoints that do as well as their
 * peers; to be called several times a second */
void fleet_pace_tick (struct fleet *f, uint64_t now_ms);

/** fleet_pace_means() - compute fleet_pool.lane_load */
void fleet_pace_means (struct fleet *f);

/** fleet_pace_wait_ms() - time to the first token at @ep of pool @p by the
 * sums over all relays, see pace_wait_ms() */
double fleet_pace_wait_ms (const struct fleet *f, const struct fleet_pool *p,
			   const struct fleet_ep *ep);

/** fleet_pace_sent() - a prompt of @tokens to prefill was sent to @ep */
void fleet_pace_sent (struct fleet_ep *ep, double tokens);

/** fleet_pace_answered() - an answer of @ep began after @factor times the
 * predicted time */
void fleet_pace_answered (struct fleet_ep *ep, double factor);

/** fleet_pace_answered_plain() - @ep, of a service without engines, answered
 * after @took_ms */
void fleet_pace_answered_plain (struct fleet_ep *ep, double took_ms);

/** fleet_pace_refused() - @ep refused a request without running it: it is
 * paced, and gets nothing from this relay for a while */
void fleet_pace_refused (struct fleet_ep *ep, uint64_t now_ms);

/** fleet_paced_count() - number of listed endpoints that are paced */
uint32_t fleet_paced_count (const struct fleet *f);

#endif
