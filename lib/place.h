#ifndef DH_PLACE_H
#define DH_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "dialect.h"
#include "fleet.h"
#include "plan.h"

/*
 * Which endpoint gets a request.  Four loads are answered:
 *
 * Prompts that share long parts, whose parts together exceed one engine's
 * memory but not the pool's.  Every relay ranks the engines for a prompt's
 * shared parts by the same hash, so that the parts are read at one engine and
 * kept there; the predicted time to the first token decides among the first
 * ranks, and among all where those are far behind.
 *
 * Long prompts beside streams that need short pauses.  An engine reads prompts
 * in pieces between the tokens of what it runs, so each long prompt slows every
 * stream there.  In each failure domain some engines are a lane for short
 * prompts; the others take the long ones.  A lane is left only where the other
 * is far quicker, or for a short prompt that would have to wait in its own.
 *
 * Copies: where another engine than the best holds the shared parts, they are
 * copied from it, which takes less time than to read them, and none of the
 * engine's.
 *
 * More prompts than can be read.  What is sent to an engine is read about in
 * the order it came, so a backlog there can't be overtaken; beyond a bound the
 * request waits here, where the more urgent ones go first.
 */

#define PLACE_TRIED_MAX 8

/* Prompt tokens an engine reads in a millisecond; the order of what engines of
 * today's users do. */
#define PLACE_PREFILL_PER_MS 50.0

/**
 * struct place_req - what is to be placed
 * @service: whose endpoints
 * @segments: of the prompt; @segment_count of them
 * @prompt_tokens: to be read
 * @max_backlog_ms: time of reading already due at an engine beyond which the
 *request waits
 * @late: it has waited for half of its latency objective: from here on only
 *	time counts, whatever has to be read again
 * @tried: endpoints that had it, to be left out
 * @random: any number, for ties
 */
struct place_req {
	const struct plan_service *service;
	const struct dia_segment *segments;
	uint32_t segment_count;
	uint32_t prompt_tokens;
	double max_backlog_ms;
	bool late;
	const struct fleet_ep *tried[PLACE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t random;
};

/**
 * struct place_relay - how a relay places
 * @domain: its own failure domain
 * @self: hash of its name
 * @relays: that share the endpoints, at least 1
 */
struct place_relay {
	const char *domain;
	uint32_t self;
	uint32_t relays;
};

/** enum place_reason - what decided */
enum place_reason {
	PLACE_NONE,      /* no endpoint may get it */
	PLACE_FULL,      /* those that may have no room for more of ours */
	PLACE_BUSY,      /* the best one has too much to read */
	PLACE_PREFERRED, /* the first rank of its prompt */
	PLACE_CACHED, /* another that holds its shared parts, and is quicker */
	PLACE_SPILL,  /* another engine of its lane */
	PLACE_OTHER_LANE, /* an engine of the other lane */
	PLACE_LEAST,      /* least work */
};

/** struct place_result - the choice */
struct place_result {
	struct fleet_ep *ep; /* NULL for PLACE_NONE, _FULL and _BUSY */
	enum place_reason reason;
	double ttft_ms;        /* predicted time to the first token */
	double prefill_tokens; /* prompt tokens that it has to read */
	double nominal_ms; /* reading time, had the engine its usual speed */
	const struct fleet_ep *copy_from; /* holds parts that @ep lacks */
};

/** place_assign_lanes() - choose the lanes anew, and of them the known
 * endpoints; after each change of the list */
void place_assign_lanes (struct fleet *f);

/** place_choose() - choose an endpoint */
struct place_result place_choose (const struct fleet *f,
				  const struct place_relay *rules,
				  const struct place_req *req, uint64_t now_ms);

/**
 * place_should_advertise() - whether the other relays are to be told where a
 * prompt's shared parts went
 *
 * The load it answers: parts told of grow with requests times relays.  Parts
 * too small to decide anything are not told; before more endpoints than
 * FLEET_SUBSET_THRESHOLD neither are those at their home, which all relays find
 * without a word.
 */
bool place_should_advertise (const struct fleet *f,
			     const struct place_result *v,
			     const struct dia_segment *parts, uint32_t count);

/** place_reason_name() - "home", "shift", ... */
const char *place_reason_name (enum place_reason why);

#endif
