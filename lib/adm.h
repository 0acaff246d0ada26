#ifndef DH_ADM_H
#define DH_ADM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "err.h"

/*
 * Admission: which request waits, which is refused, which runs next.
 *
 * Requests are nodes that the caller owns.  A node goes in by adm_submit()
 * and comes out by adm_next(), adm_expire(), adm_cancel() or adm_drain(), or
 * as the victim of another's adm_submit().  After it ran, adm_done() settles
 * what it cost.
 *
 * Order: the request class with the least slack over its tier's weight goes
 * first, but for classes that are behind their minimum share of dispatches.
 * In a class the client account that was served least (tokens over weight)
 * goes first, and of one account the earliest deadline.
 */

/** struct adm_settings - figures of one entry's queue */
struct adm_settings {
	uint32_t queue_max; /* requests queued over all classes */
	uint32_t protect;   /* places of each class that a full queue spares */
	uint32_t guard_ms;  /* a tier waits behind a lower one only while its
			       slack exceeds this */
	uint32_t guess_tokens; /* output length before any was seen */
};

/** ADM_SETTINGS_DEFAULT - a small entry's figures */
#define ADM_SETTINGS_DEFAULT                                                   \
	{                                                                      \
		.queue_max = 2000, .protect = 4, .guard_ms = 250,              \
		.guess_tokens = 200                                            \
	}

struct adm_flow; /* adm_flow.h */

/** enum adm_state - where a request is */
enum adm_state {
	ADM_INACTIVE, /* not known to adm */
	ADM_QUEUED,
	ADM_RUNNING, /* handed out by adm_next() */
};

/**
 * struct adm_heap_node - place in a binary heap
 * @key: least first
 * @index: index in the heap, or -1
 */
struct adm_heap_node {
	double key;
	int32_t index;
};

/** struct adm_heap - a binary heap of nodes on memory of their owners */
struct adm_heap {
	GPtrArray *nodes; /* of struct adm_heap_node */
};

/**
 * struct adm_req - one request's node
 * @klass, @account, @pool: set by the caller before adm_submit(); @account is
 *	NULL for a caller without a key.  References are taken by adm.
 * @arrived_ms: set by the caller
 * @max_wait_ms: longest wait in queue the caller asked for; 0: the class's
 * @first_ms: least time from dispatch to first token to expect; 0: unknown
 * @prompt_tokens: set by the caller
 *
 * The rest belongs to adm, and may be read.
 */
struct adm_req {
	struct bb_class *klass;
	struct bb_account *account;
	struct bb_pool *pool;
	uint64_t arrived_ms;
	uint32_t max_wait_ms;
	uint32_t first_ms;
	uint32_t prompt_tokens;

	enum adm_state state;
	uint64_t deadline_ms;   /* latest start */
	uint64_t dispatched_ms; /* by adm_next() */
	uint32_t charged;       /* tokens charged at dispatch */
	struct adm_flow *flow;
	struct adm_req *prev;
	struct adm_req *next;
	struct adm_heap_node expiry;
};

/** enum adm_why - the reason of a verdict */
enum adm_why {
	ADM_ADMITTED,       /* queued */
	ADM_WHY_LEAVING,    /* this entry shuts down */
	ADM_WHY_RATE,       /* account above its rate */
	ADM_WHY_DOOMED,     /* would not start before its deadline */
	ADM_WHY_CLASS_FULL, /* its class has no place left */
	ADM_WHY_FULL,       /* no place left, and no lower tier queued */
	ADM_WHY_EVICTED,    /* gave its place to a higher tier */
	ADM_WHY_EXPIRED,    /* waited to its deadline */
	ADM_WHY_CANCELLED,
};

/**
 * struct adm_verdict - what became of a request
 * @kind: ERR_NONE where queued; else the error to answer: all of them are
 *	kinds of which nothing ran
 * @retry_after_ms: when a retry has a chance; 0: no advice
 * @predicted_wait_ms: predicted wait in queue
 * @victim: another request that was put out to make room, or NULL; it is to
 *	be answered with @victim_kind (ERR_OVERLOAD)
 */
struct adm_verdict {
	enum err_kind kind;
	enum adm_why why;
	uint32_t retry_after_ms;
	uint32_t predicted_wait_ms;
	struct adm_req *victim;
	enum err_kind victim_kind;
};

/** enum adm_eligible - whether a request can run now */
enum adm_eligible {
	ADM_ELIGIBLE,
	ADM_BLOCKED,      /* this one not; another of its pool may */
	ADM_POOL_BLOCKED, /* nothing of its pool at this tier or below */
};

/**
 * adm_eligible_cb - asked by adm_next() for the next in order
 *
 * Must not change the queue.  Where it says ADM_ELIGIBLE the request is handed
 * out.
 */
typedef enum adm_eligible (*adm_eligible_cb) (struct adm_req *r, void *ctx);

/** struct adm_backlog - what waits for one pool */
struct adm_backlog {
	uint32_t waiting[INV_TIERS]; /* by tier, highest first */
	int32_t slack_ms[INV_TIERS]; /* least slack to the class target */
};

/** struct adm_class_stats - counters of one class since start */
struct adm_class_stats {
	uint64_t submitted;
	uint64_t dispatched;
	uint64_t refused[ADM_WHY_CANCELLED + 1]; /* by enum adm_why */
	uint64_t tokens;
};

/** struct adm - the queues of one entry */
struct adm {
	struct bb *bb;
	struct adm_settings set;
	bool draining;
	uint32_t queued;
	GHashTable *classes;    /* struct bb_class to struct adm_class */
	GPtrArray *lanes;       /* of struct adm_queue */
	GArray *order;          /* scratch of adm_next() */
	GPtrArray *passed;      /* the same */
	uint64_t round;         /* of adm_next() */
	struct adm_heap expiry; /* of struct adm_req by deadline */
	GHashTable *pools;      /* struct bb_pool to struct adm_pool */
};

/** adm_init() - empty queues over a blackboard */
void adm_init (struct adm *a, struct bb *bb, const struct adm_settings *set);

/** adm_finish() - release; queued nodes are forgotten, not answered */
void adm_finish (struct adm *a);

/**
 * adm_submit() - admit or refuse a request
 * @r: its node, ADM_INACTIVE
 * @v: the verdict, always filled in
 *
 * Return: whether it is queued.  @v->victim may be set in that case.
 */
bool adm_submit (struct adm *a, struct adm_req *r, uint64_t now_ms,
		 struct adm_verdict *v);

/**
 * adm_requeue() - queue a request again that could not be sent, or is retried
 * @r: ADM_RUNNING; keeps its urgency, and what it was charged is given back
 * @v: as for adm_submit(), but it is not refused for its account's rate, as
 *	doomed, or because this entry shuts down.  What @v->kind says of
 *	running is true of this attempt only.
 *
 * Its longest wait in queue starts anew; the caller ends a request that is too
 * old as a whole by adm_cancel().
 */
bool adm_requeue (struct adm *a, struct adm_req *r, uint64_t now_ms,
		  struct adm_verdict *v);

/**
 * adm_next() - take the request that runs next
 * @can: asked in order until it says ADM_ELIGIBLE
 *
 * Return: the request, now ADM_RUNNING and counted in its account's
 * in_flight; NULL where none can run.
 */
struct adm_req *adm_next (struct adm *a, uint64_t now_ms, adm_eligible_cb can,
			  void *ctx);

/**
 * adm_done() - a request that adm_next() gave is over
 * @tokens: output tokens it got; what was charged is settled
 * @whole: whether the answer was whole, so that @tokens teaches the estimate
 */
void adm_done (struct adm *a, struct adm_req *r, uint32_t tokens, bool whole);

/**
 * adm_expire() - take one request that can no longer meet its deadline
 * @v: why; valid where a request is returned
 *
 * Return: the request, now ADM_INACTIVE, or NULL.  Call until NULL.
 */
struct adm_req *adm_expire (struct adm *a, uint64_t now_ms,
			    struct adm_verdict *v);

/** adm_next_expiry() - when to call adm_expire(), or UINT64_MAX */
uint64_t adm_next_expiry (const struct adm *a);

/** adm_cancel() - the caller of a queued request went away */
void adm_cancel (struct adm *a, struct adm_req *r);

/** adm_sweep() - let go of what the inventory no longer names; call after
 * bb_apply_inv()
 */
void adm_sweep (struct adm *a);

/** adm_drain() - refuse new requests from now on; queued ones go on */
void adm_drain (struct adm *a);

/** adm_backlog() - what waits for @pool */
void adm_backlog (const struct adm *a, const struct bb_pool *pool,
		  uint64_t now_ms, struct adm_backlog *out);

/** adm_stats() - a class's counters, or NULL where it saw no request */
const struct adm_class_stats *adm_stats (const struct adm *a,
					 const struct bb_class *klass);

/** adm_why_name() - "admitted", "doomed", ... */
const char *adm_why_name (enum adm_why why);

#endif
