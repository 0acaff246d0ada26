#ifndef DH_PLACE_PRIV_H
#define DH_PLACE_PRIV_H

#include "place.h"

/* What the files of the place module give each other. */

/* Cost of another failure domain: network round trip and price of traffic. */
#define CROSS_DOMAIN_MS 12.0

/* Fewer tokens are prefilled faster than copied. */
#define COPY_MIN_TOKENS 2048

/* Engines of each lane that a relay samples at most. */
#define SAMPLE_MAX 24

/* Engines considered among those that cache a prompt's prefix; a segment that
 * every prompt has is cached everywhere. */
#define CACHED_MAX 16

#define CANDIDATES_MAX (1 + CACHED_MAX + 2 * SAMPLE_MAX)

/* Why an engine is a candidate. */
enum origin { FROM_RING, FROM_CACHE, FROM_SAMPLE };

struct candidate {
	struct fleet_ep *ep;
	enum origin origin;
	const struct fleet_ep *copy_from;
	double cost_ms; /* predicted time with penalties; the least one wins */
	double ttft_ms;
	double prefill_tokens;
};

/* One choice: its input, and the candidates. */
struct choice {
	const struct fleet *f;
	const struct fleet_pool *pool;
	const struct place_relay *relay;
	const struct place_req *req;
	uint64_t now_ms;
	bool allow_failing;   /* also those that fail, or are down for peers */
	bool skipped_failing; /* some were left out for that */
	bool full;            /* some have no free slot for this relay */
	bool allow_paced;     /* also those that pacing leaves out */
	bool skipped_paced;   /* some were left out for that */
	uint64_t rng;         /* state of the random generator */
	uint32_t shared_tokens;        /* of the shared segments */
	const struct fleet_ep *holder; /* caches the most of them */
	uint32_t holder_tokens;        /* of them that it caches */
	struct candidate candidates[CANDIDATES_MAX];
	uint32_t count;
};

/* Whether a prompt belongs in the short lane. */
bool place_is_short (const struct place_req *req);

/* place_cost.c */
/* Time that the KV cache of @tokens occupies a link between engines. */
double place_link_ms (const struct plan_service *s, double tokens);
double place_backlog_tokens (const struct choice *c, const struct fleet_ep *ep);
double place_backlog_ms (const struct choice *c, const struct fleet_ep *ep);
/* The backlog that is bounded.  Where relays send at a common rate, it leaves
 * out the measured slowdown: that differs from relay to relay, and after a time
 * of overload relays that measured it would take all engines for full. */
double place_bounded_ms (const struct choice *c, const struct fleet_ep *ep);
/* Requests of all relays in flight at an endpoint. */
double place_running (const struct choice *c, const struct fleet_ep *ep);
/* Whether the engine would begin the request soon. */
bool place_has_room (const struct choice *c, const struct fleet_ep *ep);
/* Predicts the time to the first token on a candidate, and its cost. */
void place_estimate (struct candidate *p, const struct choice *c);

#endif
