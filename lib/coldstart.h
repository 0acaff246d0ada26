#ifndef DH_COLDSTART_H
#define DH_COLDSTART_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/*
 * Which relay may send to a cold endpoint, for this load: endpoints start or
 * return cold while the others are busy, so that hundreds of relays would all
 * choose the idle ones at once.  A cold endpoint bears a few requests a second
 * from all relays together, and there is no time to agree on who sends them.
 *
 * Each relay derives from a hash of its name and of the endpoint when its turns
 * come.  All relays compute the same end of the cold start, so each waits a
 * little longer by the same hash, and the load of the endpoint rises instead of
 * jumping.
 */

/**
 * coldstart_allows() - whether a relay may send to an endpoint now
 * @ep: the endpoint; always allowed when it is not cold
 * @requests_per_s: requests a second that a cold endpoint bears; 0 or less: any
 *	number
 * @relay_hash: hash of the relay's name
 * @relay_count: relays that share the endpoint, at least 1
 * @now_ms: current time
 */
bool coldstart_allows (const struct fleet_ep *ep, double requests_per_s,
		       uint32_t relay_hash, uint32_t relay_count,
		       uint64_t now_ms);

#endif
