#ifndef DH_ADM_H
#define DH_ADM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "err.h"

/*
 * Admission queue of an entry instance.
 *
 * It decides which requests are queued, which are refused and which one is
 * dispatched next.  Requests are nodes that the caller owns.  adm_submit()
 * queues a node.  It leaves the queue through adm_next(), adm_expire() or
 * adm_cancel(), or when it is evicted in favour of a request that another
 * adm_submit() or adm_requeue() queues.  After a dispatched request has ended,
 * adm_done() corrects the tokens that its client account was charged.
 *
 * Order of dispatch: request classes that are behind their minimum share of
 * dispatches go first.  The others are ordered by slack divided by the weight
 * of their tier, smallest first.  Within a class, the client account with the
 * least service (tokens divided by the account's weight) goes first, and
 * within an account the request with the earliest deadline.
 */

/**
 * struct adm_settings - limits and defaults of one entry's admission queue
 * @queue_max: queued requests, all classes together
 * @class_reserve: queued requests of each class that are safe from eviction
 *	in favour of a higher tier, and admitted even if the queue is full
 * @guard_ms: added to every slack in the order of dispatch, so that a late
 *	low tier does not overtake a higher tier with less slack than this
 * @default_output_tokens: expected output length until one is known
 */
struct adm_settings {
	uint32_t queue_max;
	uint32_t class_reserve;
	uint32_t guard_ms;
	uint32_t default_output_tokens;
};

/** ADM_SETTINGS_DEFAULT - settings for a small entry */
#define ADM_SETTINGS_DEFAULT                                                   \
	{                                                                      \
		.queue_max = 2000, .class_reserve = 4, .guard_ms = 250,        \
		.default_output_tokens = 200                                   \
	}

struct adm_flow; /* adm_flow.h */

/** enum adm_state - state of a request in the admission queue */
enum adm_state {
	ADM_INACTIVE, /* neither queued nor running */
	ADM_QUEUED,
	ADM_RUNNING, /* dispatched by adm_next(), adm_done() is due */
};

/**
 * struct adm_heap_node - entry of a binary heap
 * @key: sort key; the smallest is on top
 * @index: position in the heap, or -1 when not in it
 */
struct adm_heap_node {
	double key;
	int32_t index;
};

/** struct adm_heap - binary heap of nodes embedded in their owners */
struct adm_heap {
	GPtrArray *nodes; /* of struct adm_heap_node */
};

/**
 * struct adm_req - a request, as the admission queue sees it
 * @klass: request class
 * @account: client account; NULL for a client without a key
 * @pool: pool of endpoints that can serve it
 * @arrived_ms: time of arrival
 * @max_wait_ms: longest time in the queue that the client asked for, capped
 *	by the class's; 0 for the class's
 * @min_ttft_ms: least time to expect from dispatch to first token; 0 if
 *	unknown
 * @prompt_tokens: length of the prompt
 * @state: where the request is
 * @deadline_ms: latest time of dispatch
 * @dispatched_ms: time of the latest dispatch
 * @charged_tokens: tokens charged to the client account at dispatch
 * @flow: flow of its class, pool and client account
 * @prev: preceding request in the flow
 * @next: following request in the flow
 * @expiry: node in the heap of deadlines
 *
 * The caller sets the members up to @prompt_tokens before adm_submit().  The
 * others are written by adm alone; the caller may read them.  The queue holds
 * references to the class, account and pool.
 */
struct adm_req {
	struct bb_class *klass;
	struct bb_account *account;
	struct bb_pool *pool;
	uint64_t arrived_ms;
	uint32_t max_wait_ms;
	uint32_t min_ttft_ms;
	uint32_t prompt_tokens;

	enum adm_state state;
	uint64_t deadline_ms;
	uint64_t dispatched_ms;
	uint32_t charged_tokens;
	struct adm_flow *flow;
	struct adm_req *prev;
	struct adm_req *next;
	struct adm_heap_node expiry;
};

/** enum adm_why - reason of a verdict */
enum adm_why {
	ADM_ADMITTED,       /* the request is queued */
	ADM_WHY_LEAVING,    /* this entry is shutting down */
	ADM_WHY_RATE,       /* client account above its request rate */
	ADM_WHY_DOOMED,     /* predicted to miss its deadline */
	ADM_WHY_CLASS_FULL, /* queue of its class is full */
	ADM_WHY_FULL,       /* queue is full, and no lower tier to evict */
	ADM_WHY_EVICTED,    /* evicted in favour of another request */
	ADM_WHY_EXPIRED,    /* deadline passed in the queue */
	ADM_WHY_CANCELLED,  /* cancelled by the caller */
};

/**
 * struct adm_verdict - decision about a request
 * @kind: ERR_NONE if queued, otherwise the error to answer; each of these
 *	errors tells the client that the request was not executed
 * @why: reason
 * @retry_after_ms: delay to advise before a retry; 0 for no advice
 * @predicted_wait_ms: predicted time in the queue; 0 if unknown
 * @victim: request that was evicted to make room, or NULL; the caller answers
 *	it with @victim_kind
 * @victim_kind: ERR_OVERLOAD if @victim is set
 */
struct adm_verdict {
	enum err_kind kind;
	enum adm_why why;
	uint32_t retry_after_ms;
	uint32_t predicted_wait_ms;
	struct adm_req *victim;
	enum err_kind victim_kind;
};

/** enum adm_eligible - whether a request can be dispatched now */
enum adm_eligible {
	ADM_ELIGIBLE,
	ADM_BLOCKED,      /* this request cannot; another of its pool may */
	ADM_POOL_BLOCKED, /* no request of its pool at this tier or below can */
};

/**
 * adm_eligible_cb - tells whether a request can be dispatched now
 * @r: the request
 * @ctx: context pointer given to adm_next()
 *
 * Must not change the queue.  The first request for which it returns
 * ADM_ELIGIBLE is dispatched.
 */
typedef enum adm_eligible (*adm_eligible_cb) (struct adm_req *r, void *ctx);

/**
 * struct adm_backlog - requests queued for one pool
 * @waiting: queued requests by tier, highest tier first
 * @min_slack_ms: by tier, least time left to meet the first-token target of
 *	the class; negative if the target is missed already
 */
struct adm_backlog {
	uint32_t waiting[INV_TIERS];
	int32_t min_slack_ms[INV_TIERS];
};

/**
 * struct adm_class_stats - counters of one request class since the start
 * @submitted: requests passed to adm_submit()
 * @dispatched: requests returned by adm_next()
 * @refused: requests refused, evicted, expired or cancelled, by enum adm_why
 * @tokens: output tokens reported to adm_done()
 */
struct adm_class_stats {
	uint64_t submitted;
	uint64_t dispatched;
	uint64_t refused[ADM_WHY_CANCELLED + 1];
	uint64_t tokens;
};

/**
 * struct adm - the admission queue of one entry
 * @bb: classes, client accounts and pools that the entry knows
 * @settings: limits and defaults
 * @draining: whether new requests are refused
 * @queued: queued requests
 * @classes: struct bb_class to struct adm_class
 * @queues: of struct adm_queue
 * @candidates: buffer of adm_next() for the order of the queues
 * @skipped: buffer of adm_next() for flows that cannot run now
 * @round: number of the current adm_next() call
 * @expiry: heap of struct adm_req by deadline
 * @pools: struct bb_pool to struct adm_pool
 */
struct adm {
	struct bb *bb;
	struct adm_settings settings;
	bool draining;
	uint32_t queued;
	GHashTable *classes;
	GPtrArray *queues;
	GArray *candidates;
	GPtrArray *skipped;
	uint64_t round;
	struct adm_heap expiry;
	GHashTable *pools;
};

/**
 * adm_init() - initialise an empty admission queue
 * @a: the queue
 * @bb: classes, client accounts and pools; must outlive @a
 * @set: settings, copied
 */
void adm_init (struct adm *a, struct bb *bb, const struct adm_settings *set);

/**
 * adm_finish() - release the queue
 * @a: the queue
 *
 * Requests that are still queued are dropped without an answer.
 */
void adm_finish (struct adm *a);

/**
 * adm_submit() - queue or refuse a request
 * @a: the queue
 * @r: the request, ADM_INACTIVE
 * @now_ms: current time
 * @v: the verdict, always filled in
 *
 * Return: whether the request is queued.  Only then may @v->victim be set.
 */
bool adm_submit (struct adm *a, struct adm_req *r, uint64_t now_ms,
		 struct adm_verdict *v);

/**
 * adm_requeue() - queue a dispatched request again
 * @a: the queue
 * @r: the request, ADM_RUNNING
 * @now_ms: current time
 * @v: the verdict, as for adm_submit(); its @kind tells of this attempt only
 *	that it was not executed
 *
 * For a request that could not be sent or that is retried.  It keeps its time
 * of arrival, and so its urgency; its account is refunded the charged tokens.
 * It is not refused for the account's rate, a predicted miss of the deadline
 * or a shutdown of this entry.  The longest time in the queue starts again;
 * the caller ends a request that is too old in total with adm_cancel().
 *
 * Return: whether the request is queued.
 */
bool adm_requeue (struct adm *a, struct adm_req *r, uint64_t now_ms,
		  struct adm_verdict *v);

/**
 * adm_next() - dispatch the next request
 * @a: the queue
 * @now_ms: current time
 * @eligible: called for requests in order until it returns ADM_ELIGIBLE
 * @ctx: context pointer for @eligible
 *
 * Return: the request, now ADM_RUNNING and counted in its account's
 * in_flight; NULL if none can be dispatched.
 */
struct adm_req *adm_next (struct adm *a, uint64_t now_ms,
			  adm_eligible_cb eligible, void *ctx);

/**
 * adm_done() - end a dispatched request
 * @a: the queue
 * @r: the request, ADM_RUNNING
 * @tokens: output tokens produced; they replace the estimate that the account
 *	was charged
 * @complete: whether the answer is complete; only then does @tokens enter the
 *	mean output length
 */
void adm_done (struct adm *a, struct adm_req *r, uint32_t tokens,
	       bool complete);

/**
 * adm_expire() - remove one request whose deadline has passed
 * @a: the queue
 * @now_ms: current time
 * @v: the verdict; filled in only if a request is returned
 *
 * The caller repeats the call until it returns NULL.
 *
 * Return: the request, now ADM_INACTIVE, or NULL.
 */
struct adm_req *adm_expire (struct adm *a, uint64_t now_ms,
			    struct adm_verdict *v);

/**
 * adm_next_expiry() - earliest deadline of a queued request
 * @a: the queue
 *
 * Return: when to call adm_expire() next, ms; UINT64_MAX if nothing is queued.
 */
uint64_t adm_next_expiry (const struct adm *a);

/**
 * adm_cancel() - remove a request, for example of a client that disconnected
 * @a: the queue
 * @r: the request; nothing is done unless it is ADM_QUEUED
 */
void adm_cancel (struct adm *a, struct adm_req *r);

/**
 * adm_sweep() - free state of classes, accounts and pools that were removed
 * @a: the queue
 *
 * To be called after bb_apply_inv().  State of queued or running requests stays
 * until they have ended.
 */
void adm_sweep (struct adm *a);

/**
 * adm_drain() - refuse new requests from now on
 * @a: the queue
 *
 * Queued requests are still dispatched.
 */
void adm_drain (struct adm *a);

/**
 * adm_backlog() - requests queued for a pool
 * @a: the queue
 * @pool: the pool
 * @now_ms: current time
 * @out: the result
 */
void adm_backlog (const struct adm *a, const struct bb_pool *pool,
		  uint64_t now_ms, struct adm_backlog *out);

/**
 * adm_stats() - counters of a request class
 * @a: the queue
 * @klass: the class
 *
 * Return: the counters, or NULL if the class has had no request.
 */
const struct adm_class_stats *adm_stats (const struct adm *a,
					 const struct bb_class *klass);

/** adm_why_name() - name of a reason as clients see it, such as "doomed" */
const char *adm_why_name (enum adm_why why);

#endif
