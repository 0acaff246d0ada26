#ifndef DH_AGAIN_H
#define DH_AGAIN_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

/*
 * What becomes of a request whose endpoint did not serve it.  The load it
 * answers: endpoints that crash, refuse, or fail a part of their work while
 * the budget for sending again is small and shared.
 */

/**
 * struct again_facts - what is known
 * @kind: of the route
 * @resumable: a stream may go on elsewhere
 * @sent: a byte of the request may have reached the endpoint
 * @not_run: the endpoint said that it did not and will not run it
 * @answered: an answer came whole, which could be passed on
 * @begun: bytes of an answer reached the caller
 * @runs: endpoints at which it may have run
 * @attempts: at how many it may
 * @sends: times an endpoint got it, those that refused it included; where no
 *	connection was made none did
 * @left_ms: time left
 */
struct again_facts {
	enum plan_kind kind;
	bool resumable;
	bool sent;
	bool not_run;
	bool answered;
	bool begun;
	uint32_t runs;
	uint32_t attempts;
	uint32_t sends;
	uint64_t left_ms;
};

/** enum again - the verdict */
enum again {
	AGAIN_SEND,    /* to another endpoint, if the budget allows it */
	AGAIN_FREE,    /* the same, and it costs no budget: nothing arrived */
	AGAIN_PASS,    /* pass the answer on as it came */
	AGAIN_REFUSE,  /* tell the caller that it did not run */
	AGAIN_UNKNOWN, /* tell the caller that it may have run */
	AGAIN_CUT,     /* end the answer so that it looks cut */
};

/** again_ask() - what to do */
enum again again_ask (const struct again_facts *f);

/** again_last() - what to do where @v was AGAIN_SEND but can't be done */
enum again again_last (const struct again_facts *f);

/** again_name() - "send", "pass", ... */
const char *again_name (enum again v);

#endif
