#ifndef DH_RETRY_H
#define DH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"

/*
 * Retries: whether a request whose endpoint failed it may go to another one.
 */

#define RETRY_TRIED_MAX 8 /* endpoints of one request */

/** struct retry_req - what one request carries along */
struct retry_req {
	uint64_t tried[RETRY_TRIED_MAX]; /* hashes of endpoint names */
	uint32_t tried_count;
	uint64_t deadline_ms;  /* of the whole request, set once */
	bool repeatable;       /* by its route */
	bool response_started; /* a byte of the answer went to the caller */
	bool resumable;        /* the failed endpoint's peers can resume it */
};

/** enum retry_why - the reason of a verdict */
enum retry_why {
	RETRY_ALLOWED,
	RETRY_RESUME, /* go on elsewhere from the tokens relayed */
	RETRY_NOT_REPEATABLE,
	RETRY_RESPONSE_STARTED, /* bytes went to the caller, no way to resume */
	RETRY_NO_BUDGET,
	RETRY_TOO_LATE, /* its deadline has passed or is too near */
	RETRY_TRIED_ALL,
};

/** struct retry - the retry budgets of one entry, one a class */
struct retry {
	GHashTable *budgets; /* struct bb_class to struct retry_budget */
	uint16_t budget_permille;
};

/** retry_init() - @permille: retries allowed, of requests */
void retry_init (struct retry *r, uint16_t permille);

/** retry_finish() - release */
void retry_finish (struct retry *r);

/** retry_budget_refill() - a first attempt of @klass; fills its budget */
void retry_budget_refill (struct retry *r, struct bb_class *klass);

/** retry_mark_tried() - remember that the request was sent to @ep */
void retry_mark_tried (struct retry_req *q, const struct bb_ep *ep);

/** retry_was_tried() - whether the request was sent to @ep before */
bool retry_was_tried (const struct retry_req *q, const struct bb_ep *ep);

/**
 * retry_decide() - may the request be sent again?
 * @ep: the endpoint that failed it; it counts as tried
 * @sent: whether a byte of the request may have reached @ep.  A request of
 *	which nothing was sent may go elsewhere even where it may not be
 *	repeated, and costs no budget.
 * @pool: its endpoints
 *
 * Where the answer is yes and @sent, a retry is taken from the budget.
 */
enum retry_why retry_decide (struct retry *r, struct retry_req *q,
			     struct bb_class *klass, const struct bb_pool *pool,
			     const struct bb_ep *ep, bool sent,
			     uint64_t now_ms);

/** retry_allowed() - whether @why allows another attempt */
bool retry_allowed (enum retry_why why);

/** retry_why_name() - "retry", "no_budget", ... */
const char *retry_why_name (enum retry_why why);

#endif
