#ifndef DH_ROUTE_H
#define DH_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "retry.h"

/*
 * Endpoint selection in an entry instance: which endpoint of a pool gets a
 * request.
 *
 * struct route_ops holds what differs between policies.  Which endpoints are
 * eligible is the same for every policy, except that a baseline without
 * credits ignores the credits and the reserve.
 */

#define ROUTE_CANDS_MAX BB_SUBSET_MAX
#define ROUTE_PREFIX_MAX 6
#define ROUTE_FORMAT_BYTES 512

/**
 * enum route_why - why an endpoint, or none, was chosen
 *
 * From ROUTE_DOWN on, the values say why a candidate is excluded.  They are
 * in order of severity: a later reason is milder, except ROUTE_NO_ENDPOINT.
 */
enum route_why {
	ROUTE_CHOSEN,
	ROUTE_PROBE,       /* chosen: an ejected endpoint, for a test request */
	ROUTE_DOWN,        /* removed, or refuses connections */
	ROUTE_LEAVING,     /* about to terminate */
	ROUTE_DRAINED,     /* drained by operators, or its domain is */
	ROUTE_RULE,        /* a rule of the inventory forbids it */
	ROUTE_RECLAIM,     /* reclaimable, in a domain under reclaim */
	ROUTE_EJECTED,     /* an outlier among its peers */
	ROUTE_TRIED,       /* this request was sent to it before */
	ROUTE_BUSY,        /* an exclusive request runs, or cannot start */
	ROUTE_NO_CREDIT,   /* no unused credit under this entry's lease */
	ROUTE_RESERVE,     /* the rest is reserved for higher tiers */
	ROUTE_WORSE,       /* eligible, but another one scored better */
	ROUTE_NO_ENDPOINT, /* the pool has no endpoint */
	ROUTE_WHY_COUNT,
};

/**
 * struct route_settings - weights of the predicting policy, and thresholds of
 *	ejection and reclaim
 * @affinity_permille: load above the mean up to which a cached prefix still
 *	attracts requests, in thousandths of the mean
 * @price_doubling_ms: penalty for each doubling of the cheapest price
 * @itl_weight_tokens: tokens by which time between tokens in excess of the
 *	class objective is multiplied
 * @eject_max_permille: share of a pool's endpoints that may be ejected at once
 * @eject_base_ms: length of the first ejection; each further one doubles it
 * @reclaim_losses: losses of reclaimable endpoints in one domain within a
 *	second that count as a reclaim of the domain
 * @reclaim_ms: time for which a domain under reclaim gets no request on its
 *	reclaimable endpoints
 */
struct route_settings {
	uint32_t affinity_permille;
	uint32_t price_doubling_ms;
	uint32_t itl_weight_tokens;
	uint32_t eject_max_permille;
	uint32_t eject_base_ms;
	uint32_t reclaim_losses;
	uint32_t reclaim_ms;
};

/** ROUTE_SETTINGS_DEFAULT - default weights and thresholds */
#define ROUTE_SETTINGS_DEFAULT                                                 \
	{                                                                      \
		.affinity_permille = 250, .price_doubling_ms = 5,              \
		.itl_weight_tokens = 16, .eject_max_permille = 340,            \
		.eject_base_ms = 5000, .reclaim_losses = 2,                    \
		.reclaim_ms = 30000                                            \
	}

/** struct route_rules - what the inventory's rules say about one request */
struct route_rules {
	bool deny;
	char rule[INV_NAME_BYTES]; /* name of the rule that denied */
	struct bb_class *klass;    /* class to use, as given or by a rule */
	uint64_t avoid;            /* forbidden domains, a bit per index */
	uint64_t only;             /* allowed domains; 0: any */
	bool no_reclaimable;       /* on-demand endpoints only */
};

/**
 * struct route_req - one request to place
 * @rules: result of route_rules(), or NULL
 * @tried: endpoints it was sent to before, or NULL
 * @prefix: hashes of ever longer prefixes of the prompt, shortest first
 * @prefix_tokens: tokens that each prefix covers
 * @prefix_count: number of prefixes
 * @prompt_tokens: length of the prompt
 * @exclusive: run only on an endpoint without other requests, because the
 *	request is suspected of crashing endpoints
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

/** struct route_cand - one candidate endpoint and its score */
struct route_cand {
	struct bb_ep *ep;
	enum route_why why;
	double load;            /* estimated requests there */
	double ttft_ms;         /* predicted time to first token */
	double score_ms;        /* the lowest is best */
	uint32_t cached_tokens; /* prompt tokens expected in its prefix cache */
};

/** struct route_verdict - the decision and the candidates behind it */
struct route_verdict {
	struct bb_ep *ep;   /* NULL: none is eligible now */
	enum route_why why; /* without an endpoint: the mildest reason */
	const char *policy; /* name of the policy */
	uint32_t cand_count;
	struct route_cand cand[ROUTE_CANDS_MAX];
};

/** struct route_cache - which endpoints probably cache which prefix */
struct route_cache {
	GHashTable *by_hash; /* uint64_t to struct route_cache_entry */
	GQueue *lru;         /* the most recently used first */
};

struct route;

/**
 * struct route_ops - one policy
 * @name: for log lines and reports
 * @uses_credits: whether the policy keeps to the credits of the lease; a
 *	baseline without them may send more than an endpoint can serve
 * @choose: picks one of the @count candidates of @v whose indices are in
 *	@open; returns its index in @v
 */
struct route_ops {
	const char *name;
	bool uses_credits;
	uint32_t (*choose) (struct route *r, const struct route_req *q,
			    struct route_verdict *v, const uint32_t *open,
			    uint32_t count, uint64_t now_ms);
};

extern const struct route_ops route_predict; /* the default */

/* Baselines for comparison. */
extern const struct route_ops route_random;
extern const struct route_ops route_round_robin;
extern const struct route_ops route_least_in_flight; /* at this entry */
extern const struct route_ops route_two_choices;

/** struct route - state of endpoint selection in one entry */
struct route {
	struct bb *bb;
	struct route_settings settings;
	const struct route_ops *ops;
	GRand *rand;
	uint64_t rr_next; /* position of the round robin */
	struct route_cache cache;
	uint64_t reserve_until_ms;
	uint32_t reserve_permille; /* of credits, reserved for higher tiers
				      while a reclaim is under way */
};

/**
 * route_init() - initialize endpoint selection
 * @bb: state of the entry's endpoints, classes and accounts
 * @set: copied
 * @ops: the policy
 * @rand: seeded by the caller, who frees it after route_finish()
 */
void route_init (struct route *r, struct bb *bb,
		 const struct route_settings *set, const struct route_ops *ops,
		 GRand *rand);

/** route_finish() - free what route_init() allocated */
void route_finish (struct route *r);

/**
 * route_rules() - apply the inventory's rules, in their order
 * @account: client account, or NULL
 * @klass: the class so far
 * @pool: pool of the requested model, or NULL before it is known
 * @out: the result; a rule that denies the request ends the evaluation
 */
void route_rules (const struct bb *bb, const struct bb_account *account,
		  struct bb_class *klass, const struct bb_pool *pool,
		  struct route_rules *out);

/**
 * route_choose() - choose an endpoint for @q; changes no endpoint's state
 * @v: the decision
 */
void route_choose (struct route *r, const struct route_req *q, uint64_t now_ms,
		   struct route_verdict *v);

/**
 * route_available() - whether any endpoint could take @q now
 *
 * Gives the answer of route_choose() without scoring the candidates, for
 * adm_next().
 *
 * Return: ROUTE_CHOSEN, or the mildest reason.
 */
enum route_why route_available (struct route *r, const struct route_req *q,
				uint64_t now_ms);

/**
 * route_sent() - record that @q was sent to @ep, which will then cache its
 *	prefixes
 */
void route_sent (struct route *r, const struct route_req *q, struct bb_ep *ep);

/** struct route_attempt - outcome of an attempt at an endpoint */
struct route_attempt {
	uint64_t sent_ms;
	uint32_t ttft_ms;         /* time to first token; 0: none came */
	double itl_ms;            /* mean time between tokens; 0: unknown */
	uint32_t duration_ms;     /* time until the end; 0: unknown */
	uint32_t uncached_tokens; /* prompt tokens not expected in the cache */
	double load;              /* of the candidate at dispatch */
	bool complete;            /* the whole response came */
	bool endpoint_failed;     /* failed through the endpoint's fault */
};

/** enum route_change - state change of an endpoint after an attempt */
enum route_change {
	ROUTE_NO_CHANGE,
	ROUTE_PROVEN,      /* enough complete responses to this entry since
			      the endpoint was cold */
	ROUTE_TURNED_COLD, /* was warm, but its time to first token is that of
			      a cold endpoint */
};

/** route_observe() - update the estimates of @ep after an attempt */
enum route_change route_observe (struct route *r, struct bb_ep *ep,
				 const struct route_attempt *s,
				 uint64_t now_ms);

/**
 * route_endpoint_lost() - record the loss of a reclaimable endpoint, or the
 *	announcement of its reclaim
 * @announced: the platform announced it; then one loss counts as a reclaim
 *
 * Return: whether its domain is under reclaim.
 */
bool route_endpoint_lost (struct route *r, struct bb_ep *ep, bool announced,
			  uint64_t now_ms);

/**
 * route_tick() - end warm-ups and eject outliers; call once a second
 * @ejected: array of struct bb_ep *; newly ejected ones are appended
 */
void route_tick (struct route *r, uint64_t now_ms, GPtrArray *ejected);

/**
 * route_cache_hint() - apply a cache event of an endpoint
 * @hash: of the prefix
 * @held: true if the prefix was stored, false if it was evicted
 *
 * Events arrive late and may be lost, so they are only hints.
 */
void route_cache_hint (struct route *r, struct bb_ep *ep, uint64_t hash,
		       bool held);

/** route_forget_endpoint() - @ep lost its cache, or was removed */
void route_forget_endpoint (struct route *r, const struct bb_ep *ep);

/**
 * route_format() - format the candidates for a log line
 * @out: "NAME:REASON:SCORE,..." without spaces; candidates that do not fit are
 *	left out
 */
void route_format (const struct route_verdict *v, char out[ROUTE_FORMAT_BYTES]);

/** route_why_name() - "chosen", "no_credit", ... */
const char *route_why_name (enum route_why why);

#endif
