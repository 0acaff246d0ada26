#ifndef DH_ADM_FLOW_H
#define DH_ADM_FLOW_H

#include "adm.h"
#include "adm_heap.h"

/*
 * The queues inside adm: a lane for each class and pool, and in it a flow for
 * each client account.
 */

/** struct adm_class - what adm keeps of one request class */
struct adm_class {
	struct bb_class *bb;
	uint32_t queued;
	double behind; /* dispatches by which it is behind its minimum share */
	double tokens; /* mean output length; 0: none seen */
	struct adm_class_stats stats;
};

/** struct adm_pool - what adm keeps of one pool */
struct adm_pool {
	struct bb_pool *bb;
	uint32_t queued;
	/* Dispatches while requests had to wait, and the time they took: how
	 * fast the pool takes requests.  Old ones count less. */
	double count;
	double busy_ms;
	uint64_t since_ms; /* latest dispatch or start of waiting; 0: idle */
	/* Nothing at this tier or below can run, in that adm_next() round. */
	uint64_t round;
	uint8_t blocked_tier;
};

/** struct adm_queue - requests of one class for one pool */
struct adm_queue {
	struct adm_class *klass;
	struct adm_pool *pool;
	uint32_t queued;
	uint32_t active;             /* flows with requests queued */
	GHashTable *flows;           /* struct bb_account to struct adm_flow */
	struct adm_heap by_service;  /* active flows, least served first */
	struct adm_heap by_deadline; /* active flows, by their first */
	double now;                  /* service of the flow served last */
};

/** struct adm_flow - requests of one client account in a lane */
struct adm_flow {
	struct adm_queue *lane;
	struct bb_account *account; /* NULL: callers without a key */
	struct adm_req *head;       /* earliest deadline */
	struct adm_req *tail;
	uint32_t queued;
	uint32_t running;
	double service; /* tokens over weight */
	double tokens;  /* mean output length; 0: none seen */
	struct adm_heap_node by_service;
	struct adm_heap_node by_deadline;
};

/** adm_flow_of_service() - the flow whose by_service node this is */
static inline struct adm_flow *
adm_flow_of_service (struct adm_heap_node *n)
{
	return (struct adm_flow *)(void *)((char *)n -
					   offsetof (struct adm_flow,
						     by_service));
}

/** adm_flow_of_deadline() - the flow whose by_deadline node this is */
static inline struct adm_flow *
adm_flow_of_deadline (struct adm_heap_node *n)
{
	return (struct adm_flow *)(void *)((char *)n -
					   offsetof (struct adm_flow,
						     by_deadline));
}

/** adm_flow_get() - the flow for @r's class, pool and account */
struct adm_flow *adm_flow_get (struct adm *a, const struct adm_req *r);

/** adm_flow_insert() - queue @r in its flow */
void adm_flow_insert (struct adm *a, struct adm_req *r);

/** adm_flow_remove() - take @r out of its flow's queue */
void adm_flow_remove (struct adm *a, struct adm_req *r);

/** adm_flow_charge() - add to what the flow was served */
void adm_flow_charge (struct adm_flow *f, double tokens);

/** adm_flow_weight() - the account's weight */
double adm_flow_weight (const struct adm_flow *f);

/** adm_flow_expected_tokens() - output length to expect, in tokens */
double adm_flow_expected_tokens (const struct adm *a, const struct adm_flow *f);

/** adm_flow_add_sample() - an output length was seen */
void adm_flow_add_sample (struct adm_flow *f, uint32_t tokens);

/**
 * adm_flow_longest() - the flow of @klass with most queued over weight
 * @plus: counts one more, for a request about to be queued; may be NULL
 */
struct adm_flow *adm_flow_longest (const struct adm *a,
				   const struct adm_class *klass,
				   const struct adm_flow *plus);

/** adm_queue_free() - release a lane, for g_ptr_array */
void adm_queue_free (gpointer lane);

#endif
