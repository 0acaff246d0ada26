#ifndef DH_BB_H
#define DH_BB_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"

/*
 * The blackboard (bb): shared state of one entry instance, which its
 * controllers (admission, leases, choice of endpoint, detection of poison
 * requests) read and write.  The controllers run in one thread on one event
 * loop; nothing here does input or output.
 *
 * Records are found by name and keep their address when the inventory
 * changes under traffic.  Whoever keeps a pointer to a record counts itself
 * in @refs.  A record that the inventory no longer names is marked as
 * removed, and freed after its last reference is dropped.
 *
 * Points in time are in milliseconds of the monotonic clock.
 */

#define BB_EVENTS 64     /* latest dispatches and ends kept per endpoint */
#define BB_SUBSET_MAX 32 /* most endpoints of one pool that one entry uses */
#define BB_NO_LIMIT UINT32_MAX /* in struct bb_quota: not limited */

/** enum bb_warmup - warm-up state; sets an endpoint's concurrency bound */
enum bb_warmup {
	BB_COLD, /* in cold start, or collapsed: the cold bound applies */
	BB_RAMP, /* cold start is over; between the cold and the warm bound */
	BB_WARM, /* the warm bound applies */
};

/** struct bb_event - start or end of one request at an endpoint */
struct bb_event {
	uint64_t at_ms;
	int8_t delta; /* 1: request sent; -1: request ended */
};

/** struct bb_load - load that an endpoint reports of itself */
struct bb_load {
	uint64_t sampled_ms; /* time of the sample; 0: no report yet */
	uint32_t running;    /* requests being processed */
	uint32_t waiting;    /* requests in the endpoint's queue */
};

/** struct bb_domain - a failure domain */
struct bb_domain {
	char name[INV_NAME_BYTES];
	uint32_t ix; /* index in inv.domains */
	bool removed;
	bool drained;
	uint32_t distance_ms; /* measured round-trip time from this entry */
	uint64_t lost_ms[4];  /* latest losses of reclaimable endpoints */
	uint64_t reclaim_until_ms; /* no reclaimable endpoint is used before */
};

/** struct bb_ep - an endpoint */
struct bb_ep {
	char name[INV_NAME_BYTES];
	const struct inv_endpoint *inv; /* NULL after removal */
	struct bb_domain *domain;
	uint32_t refs;
	uint64_t id; /* hash of the name */
	/* Written by the entry. */
	bool down;    /* refuses connections, or its connections broke */
	bool leaving; /* the platform announced its termination */
	struct bb_load load;
	/* Written by bb_ep_sent() and bb_ep_done(). */
	uint32_t in_flight; /* requests of this entry */
	struct bb_event events[BB_EVENTS];
	uint32_t event_next; /* next slot of the ring buffer @events */
	/* Written by lease: credits, used and unused, and when they expire. */
	uint32_t credits;
	uint64_t credits_until_ms;
	/* Written by susp: until then one suspected poison request runs here,
	 * and no other request may be sent. */
	uint64_t exclusive_until_ms;
	/* Written by route_observe() and route_tick(). */
	enum bb_warmup warmup;
	uint64_t warmup_since_ms; /* latest change of @warmup */
	uint32_t cold_answers;    /* complete responses since last cold, as
				   * this entry saw them */
	uint64_t cold_end_ms;     /* end of cold start; 0: still cold */
	uint64_t last_cold_ms;    /* latest collapse or loss seen; 0: none */
	double ttft_ms;           /* smoothed time to first token, corrected
				   * for load */
	double ttft_base_ms;      /* long-term average of the same */
	double itl_ms;            /* smoothed inter-token latency */
	double service_ms;        /* smoothed time that a request is served */
	double prefill_token_ms;  /* smoothed prefill time of a prompt token */
	uint32_t samples;         /* responses measured since last cold */
	uint32_t slow_in_row;     /* consecutive first tokens far above the
				   * base */
	uint32_t fails_in_row;    /* consecutive failures */
	uint64_t ejected_until_ms;
	bool probing;       /* ejected, and not yet found healthy again */
	uint32_t ejections; /* recent ones; each doubles the ejection time */
};

/**
 * struct bb_pool - endpoints that can serve one model or service group
 * @eps: endpoints that this entry uses: all, or a subset that is chosen by
 *	rendezvous hashing
 * @ep_count: number of endpoints in @eps
 * @all_count: number of endpoints in the inventory
 */
struct bb_pool {
	char name[INV_NAME_BYTES];
	enum inv_kind kind; /* INV_ENGINE: a model; INV_SERVICE: a group */
	int32_t model_ix;   /* index in inv.models; -1 for a group */
	struct bb_ep **eps;
	uint32_t ep_count;
	uint32_t all_count;
	uint64_t unavailable_since_ms; /* 0: an endpoint is available */
	bool removed;
	uint32_t refs;
};

/** struct bb_class - a request class */
struct bb_class {
	char name[INV_NAME_BYTES];
	const struct inv_class *inv; /* NULL after removal; @def stays valid */
	struct inv_class def;        /* copy of the latest definition */
	uint32_t refs;
};

/** struct bb_quota - one entry's quota share of an account's limits */
struct bb_quota {
	uint32_t rate_milli;  /* thousandths of a request per second */
	uint32_t concurrency; /* concurrent requests */
};

/** struct bb_account - a client account */
struct bb_account {
	char name[INV_NAME_BYTES];
	const struct inv_account *inv; /* NULL after removal */
	uint32_t weight;               /* at least 1 */
	uint32_t in_flight;
	uint32_t queued;   /* written by adm */
	uint64_t requests; /* since start, rejected ones included */
	/* This entry's share of the limits over all entries: @quota before
	 * @quota_until_ms, and @base_quota after its loans have expired. */
	struct bb_quota quota;
	struct bb_quota base_quota;
	uint64_t quota_until_ms;
	/* Inputs of the even split.  It is computed again when one changes. */
	uint32_t split_count; /* number of entries */
	uint32_t rate_per_s;
	uint32_t concurrency;
	/* Token bucket of the rate limit. */
	double tokens;
	uint64_t tokens_ms; /* latest refill; 0: never filled */
	uint32_t refs;
};

/** struct bb_peer - an entry: a peer, or this one */
struct bb_peer {
	char name[INV_NAME_BYTES];
	const struct inv_entry *inv; /* NULL after removal */
	struct bb_domain *domain;
	bool alive;           /* reachable from this entry */
	bool leaving;         /* the platform lists it as leaving or gone */
	uint64_t heard_ms;    /* latest frame received from it */
	uint64_t incarnation; /* latest one seen */
	uint32_t waiting[INV_TIERS]; /* queued requests by priority tier */
	uint32_t free_credits;       /* unused credits, as last reported */
	/* Written by lease: latest request that renewed credits from it. */
	uint64_t renewed_ms;
	uint32_t refs;
};

/** enum bb_kind - kinds of record */
enum bb_kind {
	BB_DOMAIN,
	BB_EP,
	BB_CLASS,
	BB_ACCOUNT,
	BB_PEER,
	BB_MODEL, /* a pool */
	BB_GROUP, /* a pool */
	BB_KIND_COUNT,
};

/**
 * struct bb - the shared state of one entry instance
 *
 * Each array has the order of the array of the same kind in @inv: the record
 * of inv->endpoints[i] is eps[i].
 */
struct bb {
	char self_name[INV_NAME_BYTES];
	struct bb_peer *self; /* NULL if the inventory lacks this entry */
	const struct inv *inv;
	bool leaving; /* this entry is shutting down */
	struct bb_domain **domains;
	struct bb_ep **eps;
	struct bb_class **classes;
	struct bb_account **accounts;
	struct bb_peer **peers;
	struct bb_pool **models;            /* in the order of inv.models */
	GPtrArray *groups;                  /* of struct bb_pool */
	GHashTable *by_name[BB_KIND_COUNT]; /* removed records included */
};

/**
 * bb_init() - initialize an empty blackboard
 * @bb: the blackboard
 * @self: name of this entry in the inventory
 */
void bb_init (struct bb *bb, const char *self);

/** bb_finish() - free all records, whether referenced or not */
void bb_finish (struct bb *bb);

/**
 * bb_apply_inv() - apply a new inventory
 * @bb: the blackboard
 * @inv: must stay valid until the next call; the previous one may be released
 *	after this call
 * @now_ms: monotonic time
 *
 * Records that @inv names keep their address and state; new endpoints start
 * cold.  The limits of an account are split evenly over all entries, so that
 * the shares sum to the limit, until bb_account_set_quota() replaces them.
 */
void bb_apply_inv (struct bb *bb, const struct inv *inv, uint64_t now_ms);

/** bb_sweep() - free removed records that nobody references */
void bb_sweep (struct bb *bb);

/* Records by name; NULL where the inventory has none of this name. */
struct bb_ep *bb_ep_find (const struct bb *bb, const char *name);
struct bb_class *bb_class_find (const struct bb *bb, const char *name);
struct bb_account *bb_account_find (const struct bb *bb, const char *name);
struct bb_peer *bb_peer_find (const struct bb *bb, const char *name);
struct bb_domain *bb_domain_find (const struct bb *bb, const char *name);
/* @len: length of @name, which need not be terminated */
struct bb_pool *bb_pool_model (const struct bb *bb, const char *name,
			       size_t len);
struct bb_pool *bb_pool_group (const struct bb *bb, const char *name);

/**
 * bb_rendezvous() - weight of a node for a key (rendezvous hashing)
 * @key: the key that is to be placed
 * @node: name of a candidate
 *
 * Return: the weight; the node of the highest weight is chosen.
 */
uint64_t bb_rendezvous (const char *key, const char *node);

/** bb_ep_sent() - count a request that is sent to @ep; takes a reference */
void bb_ep_sent (struct bb_ep *ep, uint64_t now_ms);

/**
 * bb_ep_done() - count the end of a request at @ep, whatever its result, and
 * drop the reference
 */
void bb_ep_done (struct bb_ep *ep, uint64_t now_ms);

/**
 * bb_ep_reported() - store the load that an endpoint reports
 * @ep: the endpoint
 * @load: the report; ignored if its sample is older than the stored one
 */
void bb_ep_reported (struct bb_ep *ep, const struct bb_load *load);

/**
 * bb_ep_down() - mark @ep as down and cold, because its connections broke or
 * it refuses new ones
 */
void bb_ep_down (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_up() - note that @ep accepts connections again; it starts cold */
void bb_ep_up (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_set_cold() - restart the cold start of an endpoint that is not down */
void bb_ep_set_cold (struct bb_ep *ep, uint64_t now_ms);

/**
 * bb_ep_start_ramp() - end the cold start of an endpoint
 * @ep: the endpoint
 * @at_ms: when it had given the number of responses that cold start requires
 */
void bb_ep_start_ramp (struct bb_ep *ep, uint64_t at_ms);

/**
 * bb_ep_load() - estimate the requests at @ep now
 *
 * The endpoint's latest report lags, so the requests that this entry has sent
 * and finished since the sample are added and subtracted.
 *
 * Return: number of requests; at least this entry's own in flight.
 */
double bb_ep_load (const struct bb_ep *ep);

/**
 * bb_ep_available() - whether requests may be sent to @ep: neither removed,
 * down, leaving nor drained, and not in a drained failure domain
 */
bool bb_ep_available (const struct bb_ep *ep);

/**
 * bb_ep_has_credit() - whether this entry's lease permits one more request at
 * @ep now
 */
bool bb_ep_has_credit (const struct bb_ep *ep, uint64_t now_ms);

/**
 * bb_account_set_quota() - set this entry's share of an account's limits
 * @a: the account
 * @quota: share before @until_ms
 * @base_quota: share from then on
 * @until_ms: when the loans in @quota expire
 * @now_ms: monotonic time
 *
 * A limit that is BB_NO_LIMIT in one share must be so in both.  The shares
 * hold until the account's limits or the number of entries change.
 */
void bb_account_set_quota (struct bb_account *a, const struct bb_quota *quota,
			   const struct bb_quota *base_quota, uint64_t until_ms,
			   uint64_t now_ms);

/**
 * bb_account_rate_allows() - whether the rate limit admits one more request
 * @a: the account; the caller takes one of its @tokens if it admits a request
 * @now_ms: monotonic time
 * @retry_ms: set to the delay in milliseconds after which a rejected request
 *	may be retried
 *
 * The bucket holds the tokens of one second, and at least one token if this
 * entry's share of the rate is not zero.
 */
bool bb_account_rate_allows (struct bb_account *a, uint64_t now_ms,
			     double *retry_ms);

/** bb_account_concurrency() - limit of concurrent requests here at @now_ms */
uint32_t bb_account_concurrency (const struct bb_account *a, uint64_t now_ms);

#endif
