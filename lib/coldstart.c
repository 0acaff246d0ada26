/*
 * Turns of the relays at cold endpoints.
 */
#include <math.h>

#include <xxhash.h>

#include "coldstart.h"

/* Length of a relay's turn.  A turn that is not used expires, so that unused
 * turns don't accumulate to a burst. */
#define TURN_MS 300.0

/* Share of the endpoint's rate that the relays use.  Their turns come at
 * random times, so the number of requests in a second varies around its mean;
 * this share keeps it below the limit with any number of relays. */
#define RATE_SHARE 0.4

/* How much later than computed an endpoint may be warm: its age is known to a
 * network round trip, and so is that of the list. */
#define END_UNCERTAINTY_MS 100

/* Time in which the relays take an endpoint for warm, one after the other. */
#define END_SPREAD_MS 400

/* Positions of turns and ends that hashes are mapped to. */
#define POSITIONS 1024

/* Where a relay's turn, or its end of the cold start, is in an interval: 0 to
 * 1. */
static double
position (uint64_t hash)
{
	return (double)(hash % POSITIONS) / POSITIONS;
}

bool
coldstart_allows (const struct fleet_ep *ep, double requests_per_s,
		  uint32_t relay_hash, uint32_t relay_count, uint64_t now_ms)
{
	uint64_t hash =
		XXH64 (&ep->rank_hash, sizeof ep->rank_hash, relay_hash);
	uint64_t warm_ms = ep->cold_until_ms + END_UNCERTAINTY_MS +
			   (uint64_t)(END_SPREAD_MS * position (hash >> 32));
	double interval_ms, since_turn_ms;

	if (ep->cold_until_ms == 0 || now_ms >= warm_ms || requests_per_s <= 0)
		return true;
	interval_ms = 1000.0 * relay_count / (RATE_SHARE * requests_per_s);
	since_turn_ms = fmod ((double)(now_ms - ep->cold_since_ms) +
				      interval_ms * position (hash),
			      interval_ms);
	return since_turn_ms <= TURN_MS &&
	       (double)(now_ms - ep->last_sent_ms) > TURN_MS;
}
