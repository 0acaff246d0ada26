#ifndef DH_ADM_FLOW_H
#define DH_ADM_FLOW_H

#include "adm.h"
#include "adm_heap.h"

/*
 * Internals of the admission queue: one queue for each pair of request class
 * and pool, and in it a flow for each client account.
 */

/**
 * struct adm_class - admission state of one request class
 * @bb: the class
 * @queued: queued requests
 * @share_deficit: dispatches by which the class is behind its minimum share;
 *	negative if it is ahead
 * @mean_output_tokens: moving average of the output length; 0 if unknown
 * @stats: counters
 */
struct adm_class {
	struct bb_class *bb;
	uint32_t queued;
	double share_deficit;
	double mean_output_tokens;
	struct adm_class_stats stats;
};

/**
 * struct adm_pool - admission state of one pool
 * @bb: the pool
 * @queued: queued requests
 * @dispatches: dispatches while requests had to wait, older ones decayed
 * @backlogged_ms: time that @dispatches took, decayed alike; both together
 *	give the rate at which the pool takes requests
 * @backlogged_since_ms: time of the latest dispatch, or since when requests
 *	have had to wait; 0 if none has to
 * @round: adm_next() call that set @blocked_tier
 * @blocked_tier: no request of this tier or a lower one can be dispatched in
 *	that call
 */
struct adm_pool {
	struct bb_pool *bb;
	uint32_t queued;
	double dispatches;
	double backlogged_ms;
	uint64_t backlogged_since_ms;
	uint64_t round;
	uint8_t blocked_tier;
};

/**
 * struct adm_queue - requests of one class for one pool
 * @klass: the class
 * @pool: the pool
 * @queued: queued requests
 * @active_flows: flows with queued requests
 * @flows: struct bb_account to struct adm_flow
 * @by_service: active flows, least service first
 * @by_deadline: active flows, by the deadline of their first request
 * @virtual_time: highest service of a flow at its dispatch; a flow that
 *	becomes active starts here at least
 */
struct adm_queue {
	struct adm_class *klass;
	struct adm_pool *pool;
	uint32_t queued;
	uint32_t active_flows;
	GHashTable *flows;
	struct adm_heap by_service;
	struct adm_heap by_deadline;
	double virtual_time;
};

/**
 * struct adm_flow - requests of one client account in a queue
 * @queue: the queue
 * @account: the account; NULL for clients without a key
 * @head: first request, with the earliest deadline
 * @tail: last request
 * @queued: queued requests
 * @running: dispatched requests that have not ended
 * @service: tokens charged, divided by the account's weight
 * @mean_output_tokens: moving average of the output length; 0 if unknown
 * @by_service: node in the queue's heap of that name
 * @by_deadline: node in the queue's heap of that name
 */
struct adm_flow {
	struct adm_queue *queue;
	struct bb_account *account;
	struct adm_req *head;
	struct adm_req *tail;
	uint32_t queued;
	uint32_t running;
	double service;
	double mean_output_tokens;
	struct adm_heap_node by_service;
	struct adm_heap_node by_deadline;
};

/** adm_flow_of_service() - flow that contains the by_service node @n */
static inline struct adm_flow *
adm_flow_of_service (struct adm_heap_node *n)
{
	return (struct adm_flow *)(void *)((char *)n -
					   offsetof (struct adm_flow,
						     by_service));
}

/** adm_flow_of_deadline() - flow that contains the by_deadline node @n */
static inline struct adm_flow *
adm_flow_of_deadline (struct adm_heap_node *n)
{
	return (struct adm_flow *)(void *)((char *)n -
					   offsetof (struct adm_flow,
						     by_deadline));
}

/** adm_flow_get() - flow of @r's class, pool and account, created if needed */
struct adm_flow *adm_flow_get (struct adm *a, const struct adm_req *r);

/** adm_flow_insert() - insert @r into its flow, by deadline */
void adm_flow_insert (struct adm *a, struct adm_req *r);

/** adm_flow_remove() - remove the queued request @r from its flow */
void adm_flow_remove (struct adm *a, struct adm_req *r);

/** adm_flow_charge() - add tokens to the flow's service; negative to refund */
void adm_flow_charge (struct adm_flow *f, double tokens);

/** adm_flow_weight() - fair-share weight of the flow's account */
double adm_flow_weight (const struct adm_flow *f);

/**
 * adm_flow_expected_tokens() - expected output length of a request
 *
 * Return: mean of the flow, else of its class, else the configured default.
 */
double adm_flow_expected_tokens (const struct adm *a, const struct adm_flow *f);

/** adm_flow_add_sample() - add an output length to the moving averages */
void adm_flow_add_sample (struct adm_flow *f, uint32_t tokens);

/**
 * adm_flow_longest() - flow of a class with the most requests for its weight
 * @a: the admission queue
 * @klass: the class
 * @extra: flow for which one request more is counted, as one is about to be
 *	queued; may be NULL
 *
 * Return: the flow, or NULL if the class has no queued request.
 */
struct adm_flow *adm_flow_longest (const struct adm *a,
				   const struct adm_class *klass,
				   const struct adm_flow *extra);

/** adm_queue_free() - free a struct adm_queue; a GDestroyNotify */
void adm_queue_free (gpointer queue);

#endif
