#ifndef DH_ROUTE_H
#define DH_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "retry.h"

/*
 * Choice of endpoint: which of a pool's endpoints gets a request.
 *
 * What differs between policies stands behind struct route_ops; which
 * endpoints may be used at all is the same for every policy.
 */

#define ROUTE_CANDS_MAX BB_SUBSET_MAX
#define ROUTE_PREFIX_MAX 6
#define ROUTE_FORMAT_BYTES 512

/** enum route_why - why an endpoint, or none, was chosen */
enum route_why {
	ROUTE_CHOSEN,
	ROUTE_PROBE, /* ejected until now: one request to see */
	/* why a candidate was left out, and why none was chosen */
	ROUTE_DOWN, /* gone, or refuses connections */
	ROUTE_LEAVING,
	ROUTE_DRAINED,     /* it, or its domain, taken out by operators */
	ROUTE_RULE,        /* a rule forbids it */
	ROUTE_RECLAIM,     /* cheap, in a domain that is being reclaimed */
	ROUTE_EJECTED,     /* an outlier among its peers */
	ROUTE_TRIED,       /* failed this request before */
	ROUTE_BUSY,        /* it, or one there, must run alone */
	ROUTE_NO_CREDIT,   /* no unused credit under our lease */
	ROUTE_RESERVE,     /* the rest is held back for higher tiers */
	ROUTE_WORSE,       /* open, but another one was better */
	ROUTE_NO_ENDPOINT, /* the pool has no endpoint */
	ROUTE_WHY_COUNT,
};

/** struct route_settings - weights of the predicting policy */
struct route_settings {
	uint32_t affinity_permille;  /* load above the mean that a cached prefix
					may cause, in thousandths of the mean */
	uint32_t price_doubling_ms;  /* cost of twice the cheapest price */
	uint32_t itl_weight_tokens;  /* tokens for which slowness between tokens
				 counts */
	uint32_t eject_max_permille; /* most endpoints of a pool ejected at once
				      */
	uint32_t eject_base_ms;      /* first ejection; doubles each time */
	uint32_t reclaim_losses;     /* losses of a domain within a second that
					mean a reclaim */
	uint32_t reclaim_ms;         /* how long no cheap placement follows */
};

/** ROUTE_SETTINGS_DEFAULT - figures to start from */
#define ROUTE_SETTINGS_DEFAULT                                                 \
	{                                                                      \
		.affinity_permille = 250, .price_doubling_ms = 5,              \
		.itl_weight_tokens = 16, .eject_max_permille = 340,            \
		.eject_base_ms = 5000, .reclaim_losses = 2,                    \
		.reclaim_ms = 30000                                            \
	}

/** struct route_rules - what the inventory's rules say of one request */
struct route_rules {
	bool deny;
	char rule[INV_NAME_BYTES]; /* the rule that denied */
	struct bb_class *klass;    /* class to use, as given or by a rule */
	uint64_t avoid;            /* bit by domain index */
	uint64_t only;             /* the same; 0: any */
	bool no_reclaimable;
};

/**
 * struct route_req - one request to place
 * @prefix: hashes of ever longer prefixes of the prompt, shortest first
 * @prefix_tokens: tokens that each covers
 * @tried: endpoints it was sent to before, or NULL
 * @exclusive: run only where nothing of this entry runs
 */
struct route_req {
	const struct bb_pool *pool;
	const struct bb_class *klass;
	const struct route_rules *rules;
	const struct retry_req *tried;
	uint64_t prefix[ROUTE_PREFIX_MAX];
	uint32_t prefix_tokens[ROUTE_PREFIX_MAX];
	uint32_t prefix_count;
	uint32_t prompt_tokens;
	bool exclusive;
};

/** struct route_cand - one endpoint as weighed */
struct route_cand {
	struct bb_ep *ep;
	enum route_why why;
	double load;            /* requests there */
	double ttft_ms;         /* predicted time to first token */
	double score_ms;        /* least is best */
	uint32_t cached_tokens; /* prompt tokens expected in its cache */
};

/** struct route_verdict - the choice, and what it was made from */
struct route_verdict {
	struct bb_ep *ep;   /* NULL: none can be used now */
	enum route_why why; /* without endpoint: the mildest reason */
	const char *policy;
	uint32_t cand_count;
	struct route_cand cand[ROUTE_CANDS_MAX];
};

/** struct route_cache - which endpoint probably holds which prefix */
struct route_cache {
	GHashTable *by_hash; /* uint64_t to struct route_cache_entry */
	GQueue *lru;
};

struct route;

/**
 * struct route_ops - one policy
 * @name: for log lines and reports
 * @uses_credits: whether it keeps to credits; a baseline without them may send
 *more than an endpoint bears
 * @choose: pick one of @open candidates of @v; returns its index
 */
struct route_ops {
	const char *name;
	bool uses_credits;
	uint32_t (*choose) (struct route *r, const struct route_req *q,
			    struct route_verdict *v, const uint32_t *open,
			    uint32_t count, uint64_t now_ms);
};

extern const struct route_ops route_predict; /* the product's policy */
extern const struct route_ops route_random;  /* baselines */
extern const struct route_ops route_round_robin;
extern const struct route_ops
	route_least_in_flight; /* in flight at the entry */
extern const struct route_ops route_two_choices;

/** struct route - state of the choice of endpoint at one entry */
struct route {
	struct bb *bb;
	struct route_settings settings;
	const struct route_ops *ops;
	GRand *rand;
	uint64_t rr_next; /* of the round robin */
	struct route_cache cache;
	uint64_t reserve_until_ms;
	uint32_t reserve_permille; /* of credits, held back for higher tiers
				      while a reclaim is under way */
};

/**
 * route_init() - start
 * @ops: the policy
 * @rand: seeded by the caller, who keeps it
 */
void route_init (struct route *r, struct bb *bb,
		 const struct route_settings *set, const struct route_ops *ops,
		 GRand *rand);

/** route_finish() - release */
void route_finish (struct route *r);

/**
 * route_rules() - apply the inventory's rules, in their order
 * @account: client account, or NULL
 * @klass: the class so far
 * @pool: may be NULL before it is known
 */
void route_rules (const struct bb *bb, const struct bb_account *account,
		  struct bb_class *klass, const struct bb_pool *pool,
		  struct route_rules *out);

/** route_choose() - choose an endpoint; changes no endpoint's state */
void route_choose (struct route *r, const struct route_req *q, uint64_t now_ms,
		   struct route_verdict *v);

/**
 * route_available() - whether any endpoint could take @q now; as
 * route_choose(), cheaper, for adm_next()
 *
 * Return: ROUTE_CHOSEN, or the mildest reason.
 */
enum route_why route_available (struct route *r, const struct route_req *q,
				uint64_t now_ms);

/** route_sent() - @q was sent to @ep: its prefixes will be cached there */
void route_sent (struct route *r, const struct route_req *q, struct bb_ep *ep);

/** struct route_attempt - how an attempt at an endpoint went */
struct route_attempt {
	uint64_t sent_ms;
	uint32_t ttft_ms;         /* time to first token; 0: none came */
	double itl_ms;            /* mean time between tokens; 0: unknown */
	uint32_t duration_ms;     /* time until the end */
	uint32_t uncached_tokens; /* not expected in the cache */
	double load;              /* at dispatch, from the candidate */
	bool complete;            /* whole answer */
	bool endpoint_failed;     /* the endpoint's fault */
};

/** enum route_change - what an observation changed */
enum route_change {
	ROUTE_NO_CHANGE,
	ROUTE_PROVEN,      /* enough whole answers since cold, by this entry */
	ROUTE_TURNED_COLD, /* warm, but its first tokens say cold */
};

/** route_observe() - learn from an attempt that is over */
enum route_change route_observe (struct route *r, struct bb_ep *ep,
				 const struct route_attempt *s,
				 uint64_t now_ms);

/**
 * route_endpoint_lost() - a reclaimable endpoint was lost, or its reclaim
 * announced
 * @announced: the platform said so; one is enough then
 *
 * Return: whether its domain counts as being reclaimed from now on.
 */
bool route_endpoint_lost (struct route *r, struct bb_ep *ep, bool announced,
			  uint64_t now_ms);

/**
 * route_tick() - compare endpoints with their peers; call once a second
 * @ejected: array of struct bb_ep *; newly ejected ones are appended
 */
void route_tick (struct route *r, uint64_t now_ms, GPtrArray *ejected);

/**
 * route_cache_hint() - an endpoint's cache event, late and perhaps one of
 * many lost
 * @hash: of the prefix
 * @held: stored, or dropped
 */
void route_cache_hint (struct route *r, struct bb_ep *ep, uint64_t hash,
		       bool held);

/** route_forget_endpoint() - @ep lost its cache, or is gone */
void route_forget_endpoint (struct route *r, const struct bb_ep *ep);

/** route_format() - the candidates as one word for a log line */
void route_format (const struct route_verdict *v, char out[ROUTE_FORMAT_BYTES]);

/** route_why_name() - "chosen", "no_credit", ... */
const char *route_why_name (enum route_why why);

#endif
