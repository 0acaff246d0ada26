#ifndef DH_DISPATCH_H
#define DH_DISPATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "loads.h"

/*
 * Rate at which a relay sends the requests that wait in its queue.
 *
 * Load: more prompts than the engines can prefill, at many relays.  A relay
 * knows the load of its peers about DISPATCH_DELAY_MS late.  Without a common
 * rate, all relays with waiting requests send to an engine that seems to have
 * room, each for itself, and its backlog becomes many times the limit.
 *
 * Each relay reports how much prefill waits in its queue, by rank, and is told
 * the sum over its peers.  The free room of all engines is given to the ranks
 * in order; where it does not suffice for a rank, each relay sends a share of
 * it in proportion to what waits there.  A send is seen by the peers after
 * DISPATCH_DELAY_MS, so that share is spread over this time.
 */

/* Time until the peers know of a request that was sent: a report, its sum at a
 * member, and the update. */
#define DISPATCH_DELAY_MS 100

/** struct dispatch - what this relay may send; zero-initialise
 * @budget_tokens: prompt tokens that may be sent now; below 0 after a long one
 * @refilled_ms: when dispatch_refill() was called last
 * @is_short: there is not enough room for all that waits
 * @served: by rank, the share of what waits that the room suffices for, 0 to 1
 */
struct dispatch {
	double budget_tokens;
	uint64_t refilled_ms;
	bool is_short;
	double served[LOADS_RANKS];
};

/**
 * dispatch_refill() - compute the rate from the newest sums
 * @room_tokens: free room of all engines, by the loads that are known, up to a
 *	backlog of DISPATCH_DELAY_MS: what they prefill while it isn't known
 *what was sent
 * @own: by rank, prompt tokens that wait at this relay
 * @peers: by rank, the same for its peers
 */
void dispatch_refill (struct dispatch *d, double room_tokens,
		      const uint32_t own[LOADS_RANKS],
		      const uint32_t peers[LOADS_RANKS], uint64_t now_ms);

/**
 * dispatch_allows() - whether a request may be sent now
 *
 * Where the room suffices for all that waits in its rank, it may.
 */
bool dispatch_allows (const struct dispatch *d, uint32_t rank);

/**
 * dispatch_unseen_ms() - backlog of an engine that the known loads leave out
 *
 * At a shortage all engines are kept busy, by requests of which those of the
 * last DISPATCH_DELAY_MS are not known.
 */
double dispatch_unseen_ms (const struct dispatch *d);

/** dispatch_sent() - a request of @tokens was sent */
void dispatch_sent (struct dispatch *d, uint32_t rank, double tokens);

#endif
