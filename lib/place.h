#ifndef DH_PLACE_H
#define DH_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "dialect.h"
#include "fleet.h"
#include "plan.h"

/*
 * Which endpoint gets a request.  The load it answers: prompts that share long
 * parts, whose parts together exceed one engine's memory but not the pool's,
 * while other relays that are not heard from send to the same engines.
 *
 * Engines: every relay ranks the engines for a prompt's shared parts by the
 * same hash, so that without a word between them the parts are read at one
 * engine and kept there; among the first few ranks the predicted time to the
 * first token decides, with what this relay sent there.  Plain services: the
 * least work of ours, in our own domain first.
 */

#define PLACE_TRIED_MAX 8

/**
 * struct place_req - what is to be placed
 * @service: whose endpoints
 * @parts: of the prompt; @part_count of them
 * @prompt_tokens: to be read
 * @tried: endpoints that had it, to be left out
 * @dice: any number, for ties
 */
struct place_req {
	const struct plan_service *service;
	const struct dia_part *parts;
	uint32_t part_count;
	uint32_t prompt_tokens;
	const struct fleet_ep *tried[PLACE_TRIED_MAX];
	uint32_t tried_count;
	uint32_t dice;
};

/**
 * struct place_rules - how a relay places
 * @domain: its own failure domain
 * @relays: that share the endpoints, at least 1
 */
struct place_rules {
	const char *domain;
	uint32_t relays;
};

/** enum place_why - what decided */
enum place_why {
	PLACE_NONE,   /* no endpoint may get it */
	PLACE_FULL,   /* those that may have no room for more of ours */
	PLACE_HOME,   /* the first rank of its prompt */
	PLACE_SHIFT,  /* a later rank, that is quicker */
	PLACE_SPILL,  /* any engine: the ranks are busy or lost */
	PLACE_LEAST,  /* least work */
};

/** struct place_verdict - the choice */
struct place_verdict {
	struct fleet_ep *ep; /* NULL for PLACE_NONE and PLACE_FULL */
	enum place_why why;
	double first_ms;   /* predicted time to the first token */
	double to_read;    /* prompt tokens that it has to read */
};

/** place_choose() - choose an endpoint */
struct place_verdict place_choose (const struct fleet *f,
				   const struct place_rules *rules,
				   const struct place_req *req,
				   uint64_t now_ms);

/** place_why_name() - "home", "shift", ... */
const char *place_why_name (enum place_why why);

#endif
