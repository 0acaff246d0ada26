#ifndef DH_PLAN_H
#define DH_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

/*
 * A complete configuration under its operator's own version: routes by host
 * and path prefix to pools of endpoints, services, client accounts and their
 * keys.  A process replaces the whole of it at once.
 */

#define PLAN_NAME_BYTES 64
#define PLAN_TIER_MAX 9

/** enum plan_kind - what may be repeated */
enum plan_kind {
	PLAN_IDEMPOTENT,     /* may run more than once */
	PLAN_NON_IDEMPOTENT, /* may run at most once */
	PLAN_STREAM,         /* a stream of events; see plan_route.resumable */
};

/** struct plan_backend - a service that a route sends to, with a weight */
struct plan_backend {
	struct plan_service *service;
	uint32_t weight;
};

/**
 * struct plan_route - one route
 * @timeout_ms: longest time that a caller is kept waiting
 * @latency_target_ms: latency objective; of a stream, to its first event
 * @gap_target_ms: longest pause between two events, 0 where none is stated
 * @tier: 0 is the most urgent
 * @max_attempts: endpoints that one request may be sent to
 * @public: needs no key
 * @has_segments: its requests state the parts of their prompts
 * @resumable: a stream may go on at another endpoint after its last event
 */
struct plan_route {
	char *name;
	char *host;
	char *prefix;
	enum plan_kind kind;
	uint32_t timeout_ms;
	uint32_t latency_target_ms;
	uint32_t gap_target_ms;
	uint32_t tier;
	uint32_t max_attempts;
	bool public;
	bool has_segments;
	bool resumable;
	struct plan_backend *backends;
	uint32_t backend_count;
};

/** struct plan_price - what an endpoint costs in a domain, a second */
struct plan_price {
	char domain[PLAN_NAME_BYTES];
	double price;
};

/**
 * struct plan_service - a kind of endpoint
 * @max_connections: that one endpoint takes, from all callers together
 * @cold_ms: how long an endpoint stays cold after its start
 * @cold_requests_per_s: requests a second that a cold endpoint bears
 * @is_engine: model engines, with the figures below
 * @slots: requests in one batch
 * @kv_capacity_tokens: what running requests and cached parts share
 * @kv_token_bytes: memory of one token
 * @link_mbps: of the link over which engines copy memory to each other
 * @elastic: endpoints may be ordered, @min_endpoints to @max_endpoints in each
 * domain
 * @boot_ms: from an order to service
 * @reclaimable_price_ratio: price of a reclaimable endpoint against another
 */
struct plan_service {
	char *name;
	char *health_path;
	uint32_t max_connections;
	uint32_t cold_ms;
	double cold_requests_per_s;
	bool is_engine;
	uint32_t slots;
	uint64_t kv_capacity_tokens;
	double kv_token_bytes;
	double link_mbps;
	bool elastic;
	uint32_t min_endpoints, max_endpoints;
	uint32_t boot_ms;
	double reclaimable_price_ratio;
	struct plan_price *prices;
	uint32_t price_count;
};

/** struct plan_account - a client account; @tier is compared before the
 * route's, see plan_tier() */
struct plan_account {
	char *name;
	bool has_tier;
	uint32_t tier;
};

/** struct plan_limits - what callers may send, 0 where not stated */
struct plan_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/** struct plan - a configuration; shared, and never changed once checked */
struct plan {
	gint refs;
	uint64_t version;
	GPtrArray *routes;   /* of struct plan_route * */
	GPtrArray *services; /* of struct plan_service * */
	GPtrArray *accounts; /* of struct plan_account * */
	GHashTable *keys;    /* key text to struct plan_account * */
	GHashTable *hosts;   /* host to GPtrArray of struct plan_route * */
	bool duplicate_key;  /* two accounts hold one key */
	uint32_t tier_count; /* of routes: their highest tier and one */
	struct plan_limits limits;
};

/** plan_new() - an empty configuration with one reference */
struct plan *plan_new (void);

/** plan_ref() - take a reference */
struct plan *plan_ref (struct plan *p);

/** plan_unref() - give a reference back; NULL is allowed */
void plan_unref (struct plan *p);

/** plan_add_service() - add one; the plan owns it */
struct plan_service *plan_add_service (struct plan *p, const char *name);

/** plan_add_route() - add one with no pools; the plan owns it */
struct plan_route *plan_add_route (struct plan *p);

/** plan_add_account() - add one; the plan owns it */
struct plan_account *plan_add_account (struct plan *p, const char *name);

/** plan_add_key() - grant @key to @a */
void plan_add_key (struct plan *p, struct plan_account *a, const char *key);

/** plan_service() - by name, or NULL */
struct plan_service *plan_service (const struct plan *p, const char *name);

/**
 * plan_check() - whether it may be in force, and index it
 * @e: ERR_CONFLICT or ERR_BAD_REQUEST: two routes with one host and prefix, a
 *	route without a weight or a time, a key of two accounts, an unknown
 *	service (a pool whose service is NULL)
 */
bool plan_check (struct plan *p, struct err *e);

/**
 * plan_match_route() - the route of a request
 * @host: a Host header's value; a port is ignored
 * @path: its path
 *
 * Return: the host's route with the longest prefix, or NULL.
 */
const struct plan_route *plan_match_route (const struct plan *p,
					   const char *host, size_t host_len,
					   const char *path, size_t path_len);

/** plan_account_by_key() - whose key it is, or NULL */
const struct plan_account *plan_account_by_key (const struct plan *p,
						const char *key);

/**
 * plan_tier() - how urgent a request is, 0 the most
 *
 * Accounts come first; among those of one tier, and on open routes, the route's
 * tier decides.
 */
uint32_t plan_tier (const struct plan *p, const struct plan_route *r,
		    const struct plan_account *a);

/** plan_pick_service() - a pool's service by weight; @dice: any number */
struct plan_service *plan_pick_service (const struct plan_route *r,
					uint32_t dice);

#endif
