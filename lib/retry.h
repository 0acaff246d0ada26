#ifndef DH_RETRY_H
#define DH_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"

/*
 * Retries in an entry instance: whether a request may be sent to another
 * endpoint after a failed attempt.  Each class has a retry budget,
 * which bounds the load that retries add.
 */

#define RETRY_TRIED_MAX 8 /* endpoints tried per request */

/** struct retry_req - retry state of one request */
struct retry_req {
	uint64_t tried[RETRY_TRIED_MAX]; /* endpoint ids: hashes of names */
	uint32_t tried_count;
	uint64_t deadline_ms;  /* of the whole request, set once */
	bool repeatable;       /* its route allows repeating it */
	bool response_started; /* a byte of it was sent to the client */
	bool resumable;        /* the failed endpoint's peers can resume it */
};

/** enum retry_why - decision on a retry, with its reason */
enum retry_why {
	RETRY_ALLOWED,
	RETRY_RESUME, /* continue at another endpoint after the tokens
			 relayed so far */
	RETRY_NOT_REPEATABLE,
	RETRY_RESPONSE_STARTED, /* the client has bytes; cannot resume */
	RETRY_NO_BUDGET,
	RETRY_TOO_LATE, /* the deadline has passed or is too near */
	RETRY_TRIED_ALL,
};

/** struct retry - the retry budgets of one entry, one per class */
struct retry {
	GHashTable *budgets; /* struct bb_class to struct retry_budget */
	uint16_t budget_permille;
};

/**
 * retry_init() - initialize without budgets
 * @permille: retries allowed per thousand requests
 */
void retry_init (struct retry *r, uint16_t permille);

/** retry_finish() - free the budgets */
void retry_finish (struct retry *r);

/**
 * retry_budget_refill() - add the share of a first attempt to the budget of
 *	@klass; call once per request
 */
void retry_budget_refill (struct retry *r, struct bb_class *klass);

/** retry_mark_tried() - record that the request was sent to @ep */
void retry_mark_tried (struct retry_req *q, const struct bb_ep *ep);

/** retry_was_tried() - whether the request was sent to @ep before */
bool retry_was_tried (const struct retry_req *q, const struct bb_ep *ep);

/**
 * retry_decide() - decide whether the request may be sent again
 * @pool: the endpoints that may serve it
 * @ep: the endpoint of the failed attempt; it counts as tried
 * @sent: whether a byte of the request may have reached @ep.  A request of
 *	which nothing was sent may go to another endpoint even if it is not
 *	repeatable, and takes nothing from the budget.
 *
 * If the retry is allowed and @sent is true, it is taken from the budget.
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
