#ifndef DH_BB_H
#define DH_BB_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"

/*
 * The blackboard: what one entry knows, on which the controllers (admission,
 * leases, choice of endpoint, suspects) read and write.  One loop, one
 * thread; nothing here does input or output.
 *
 * Records are found by name and stay where they are when the inventory
 * changes under traffic: a pointer to one is good as long as its holder
 * counts itself in @refs.  A record that the inventory no longer names is
 * marked gone and freed when its last reference goes.
 */

#define BB_EVENTS 64     /* dispatches and ends remembered of one endpoint */
#define BB_SUBSET_MAX 32 /* endpoints of one pool that one entry uses */
#define BB_NO_LIMIT UINT32_MAX

/** enum bb_warmup - how much an endpoint can bear */
enum bb_warmup {
	BB_COLD, /* not proven yet, or collapsed: the cold bound holds */
	BB_RAMP, /* proven, between the cold and the warm bound */
	BB_WARM,
};

/** struct bb_event - one dispatch or end at an endpoint */
struct bb_event {
	uint64_t at_ms;
	int8_t delta;
};

/** struct bb_load - an endpoint's own report of its load */
struct bb_load {
	uint64_t sampled_ms; /* on our clock; 0: none yet */
	uint32_t running;
	uint32_t waiting;
};

/** struct bb_domain - a failure domain */
struct bb_domain {
	char name[INV_NAME_BYTES];
	uint32_t ix; /* into inv.domains */
	bool removed;
	bool drained;
	uint32_t distance_ms;      /* round trip from here, measured */
	uint64_t lost_ms[4];       /* latest losses of reclaimable endpoints */
	uint64_t reclaim_until_ms; /* no cheap placement there before */
};

/** struct bb_ep - an endpoint */
struct bb_ep {
	char name[INV_NAME_BYTES];
	const struct inv_endpoint *inv; /* NULL where gone */
	struct bb_domain *domain;
	uint32_t refs;
	uint64_t id; /* hash of the name */
	/* written by the entry */
	bool down;    /* refuses connections, or its connections broke */
	bool leaving; /* on the platform's list, or noticed */
	struct bb_load load;
	/* written by bb_ep_sent() and bb_ep_done() */
	uint32_t in_flight;
	struct bb_event events[BB_EVENTS];
	uint32_t event_next;
	/* written by lease: credits in use or unused, good until then */
	uint32_t credits;
	uint64_t credits_until_ms;
	/* written by susp: a suspected request runs here, nothing else may */
	uint64_t exclusive_until_ms;
	/* written by route_observe() and route_tick() */
	enum bb_warmup warmup;
	uint64_t warmup_since_ms;
	uint32_t cold_answers;   /* whole ones since cold, of this entry */
	uint64_t cold_end_ms;    /* when it had given enough; 0: not yet */
	uint64_t last_cold_ms;   /* latest collapse or loss seen; 0: none */
	double ttft_ms;          /* first-token time without load */
	double ttft_base_ms;     /* the same over a long time */
	double itl_ms;           /* time between tokens */
	double service_ms;       /* time a request stays */
	double prefill_token_ms; /* time of one prompt token */
	uint32_t samples;        /* answers seen since cold */
	uint32_t slow_in_row;    /* first tokens far above the base, in a row */
	uint32_t fails_in_row;   /* failures in a row */
	uint64_t ejected_until_ms;
	bool probing; /* ejected, and not yet found well again */
	uint32_t ejections;
};

/**
 * struct bb_pool - the endpoints that can serve one model or group
 * @eps: the ones this entry uses: all, or a subset by rendezvous hash
 * @all_count: how many there are
 */
struct bb_pool {
	char name[INV_NAME_BYTES];
	enum inv_kind kind; /* INV_ENGINE: a model; INV_SERVICE: a group */
	int32_t model_ix;   /* into inv.models; -1 for a group */
	struct bb_ep **eps;
	uint32_t ep_count;
	uint32_t all_count;
	uint64_t unavailable_since_ms; /* since when no endpoint is open; 0: one
					  is */
	bool removed;
	uint32_t refs;
};

/** struct bb_class - a request class */
struct bb_class {
	char name[INV_NAME_BYTES];
	const struct inv_class *inv; /* NULL where gone: see @def */
	struct inv_class def;        /* the latest known definition */
	uint32_t refs;
};

/** struct bb_quota - one entry's part of an account's limits */
struct bb_quota {
	uint32_t rate_milli;  /* thousandths of a request a second */
	uint32_t concurrency; /* requests at once */
};

/** struct bb_account - a client account */
struct bb_account {
	char name[INV_NAME_BYTES];
	const struct inv_account *inv; /* NULL where gone */
	uint32_t weight;               /* at least 1 */
	uint32_t in_flight;
	uint32_t queued;   /* kept by adm */
	uint64_t requests; /* requests since start, refused ones included */
	/* This entry's part of the limits over all entries, and what is left
	 * of it when the leases in it have run out. */
	struct bb_quota quota;
	struct bb_quota base_quota;
	uint64_t quota_until_ms;
	/* what the even split was made of */
	uint32_t split_count;
	uint32_t rate_per_s;
	uint32_t concurrency;
	/* token bucket of the rate */
	double tokens;
	uint64_t tokens_ms;
	uint32_t refs;
};

/** struct bb_peer - another entry, or this one */
struct bb_peer {
	char name[INV_NAME_BYTES];
	const struct inv_entry *inv; /* NULL where gone */
	struct bb_domain *domain;
	bool alive;           /* in contact with us */
	bool leaving;         /* platform lists it as leaving or gone */
	uint64_t heard_ms;    /* last frame */
	uint64_t incarnation; /* last seen */
	uint32_t waiting[INV_TIERS];
	uint32_t free_credits; /* unused credits, last told */
	/* written by lease: latest ask that renewed credits of it */
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
 * struct bb - the blackboard of one entry
 *
 * The arrays follow the order of the same arrays of @inv, so that the record
 * of inv->endpoints[i] is eps[i].
 */
struct bb {
	char self_name[INV_NAME_BYTES];
	struct bb_peer *self; /* NULL where the inventory lacks this entry */
	const struct inv *inv;
	bool leaving; /* this entry is shutting down */
	struct bb_domain **domains;
	struct bb_ep **eps;
	struct bb_class **classes;
	struct bb_account **accounts;
	struct bb_peer **peers;
	struct bb_pool **models;            /* follows inv.models */
	GPtrArray *groups;                  /* of struct bb_pool */
	GHashTable *by_name[BB_KIND_COUNT]; /* gone ones included */
};

/** bb_init() - an empty blackboard for the entry named @self */
void bb_init (struct bb *bb, const char *self);

/** bb_finish() - release it with all records */
void bb_finish (struct bb *bb);

/**
 * bb_apply_inv() - take an inventory into use
 * @bb: the blackboard
 * @inv: must stay until the next call; the previous one may be released
 *	after this call
 * @now_ms: monotonic time
 *
 * Records keep their place and state by name.  New endpoints start cold.
 * Limits over all entries are split evenly, so that the parts sum to the
 * limit, until bb_account_set_quota() says otherwise.
 */
void bb_apply_inv (struct bb *bb, const struct inv *inv, uint64_t now_ms);

/** bb_sweep() - free gone records that nobody references */
void bb_sweep (struct bb *bb);

/* Records by name, or NULL. */
struct bb_ep *bb_ep_find (const struct bb *bb, const char *name);
struct bb_class *bb_class_find (const struct bb *bb, const char *name);
struct bb_account *bb_account_find (const struct bb *bb, const char *name);
struct bb_peer *bb_peer_find (const struct bb *bb, const char *name);
struct bb_domain *bb_domain_find (const struct bb *bb, const char *name);
struct bb_pool *bb_pool_model (const struct bb *bb, const char *name,
			       size_t len);
struct bb_pool *bb_pool_group (const struct bb *bb, const char *name);

/** bb_rendezvous() - weight of @node for @key; the highest one is chosen */
uint64_t bb_rendezvous (const char *key, const char *node);

/** bb_ep_sent() - a request goes to @ep; takes a reference */
void bb_ep_sent (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_done() - a request at @ep is over, however it ended */
void bb_ep_done (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_reported() - the endpoint reported its load, sampled at @load */
void bb_ep_reported (struct bb_ep *ep, const struct bb_load *load);

/** bb_ep_down() - @ep broke or refuses connections: down, and cold again */
void bb_ep_down (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_up() - @ep takes connections again; it starts cold */
void bb_ep_up (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_set_cold() - @ep turned cold without breaking */
void bb_ep_set_cold (struct bb_ep *ep, uint64_t now_ms);

/** bb_ep_start_ramp() - @ep had given enough answers in cold start at @at_ms */
void bb_ep_start_ramp (struct bb_ep *ep, uint64_t at_ms);

/**
 * bb_ep_load() - requests at @ep now, as far as we can tell: its lagging
 * report, corrected by our own dispatches and ends since it was sampled
 */
double bb_ep_load (const struct bb_ep *ep);

/** bb_ep_available() - not gone, down, leaving, drained, nor in a drained
 * domain */
bool bb_ep_available (const struct bb_ep *ep);

/** bb_ep_has_credit() - whether a request may be sent to @ep under our lease */
bool bb_ep_has_credit (const struct bb_ep *ep, uint64_t now_ms);

/**
 * bb_account_set_quota() - set this entry's part of an account's limits
 * @part: valid before @until_ms
 * @own: valid from then on
 *
 * Either may be BB_NO_LIMIT, in both.  Holds until the account's limits or
 * the number of entries change.
 */
void bb_account_set_quota (struct bb_account *a, const struct bb_quota *part,
			   const struct bb_quota *own, uint64_t until_ms,
			   uint64_t now_ms);

/**
 * bb_account_rate_allows() - whether the account's rate admits one request
 * more; the caller takes a token from @tokens where it is admitted
 * @retry_ms: where it does not: when to try again
 *
 * The bucket holds what a second brings, and at least one request where this
 * entry has any rate at all.
 */
bool bb_account_rate_allows (struct bb_account *a, uint64_t now_ms,
			     double *retry_ms);

/** bb_account_concurrency() - requests at once that are allowed here now */
uint32_t bb_account_concurrency (const struct bb_account *a, uint64_t now_ms);

#endif
