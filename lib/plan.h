#ifndef DH_PLAN_H
#define DH_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

/*
 * A complete configuration, under the version that its operator gave it: routes
 * by host and path prefix, services, client accounts and their API keys.  A
 * process replaces its configuration as a whole.
 */

/* Size of the buffers for names of services and failure domains, with the final
 * NUL. */
#define PLAN_NAME_BYTES 256

/* Names of all client accounts together.  Each sealed usage window holds them.
 */
#define PLAN_ACCOUNT_NAMES_MAX_BYTES (256U << 10)

#define PLAN_TIER_MAX 9

/** enum plan_kind - whether a route's requests may be executed repeatedly */
enum plan_kind {
	PLAN_IDEMPOTENT,     /* may be executed more than once */
	PLAN_NON_IDEMPOTENT, /* may be executed at most once */
	PLAN_STREAM,         /* event stream; see plan_route.resumable */
};

/** struct plan_backend - a service that a route sends requests to */
struct plan_backend {
	struct plan_service *service; /* NULL where the name is unknown */
	uint32_t weight;              /* share of the route's requests */
};

/**
 * struct plan_route - one route
 * @name: for messages
 * @host: value of the Host header, without a port
 * @prefix: path prefix that begins and ends with a slash
 * @kind: whether its requests may be executed repeatedly
 * @timeout_ms: longest time until a request is answered
 * @latency_target_ms: objective for the latency; of a stream, for the time to
 *	its first event
 * @gap_target_ms: objective for the longest pause between two events of a
 *	stream, 0 where none is stated
 * @tier: priority, 0 is the most urgent
 * @max_attempts: upper bound of the attempts of one request
 * @public: its requests need no API key
 * @has_segments: its requests state the segments of their prompts
 * @resumable: an interrupted stream may continue at another endpoint after the
 *	last event that was received
 * @backends: services, chosen by weight
 * @backend_count: entries in @backends
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

/** struct plan_price - price of an endpoint in a failure domain */
struct plan_price {
	char domain[PLAN_NAME_BYTES];
	double price; /* per second */
};

/**
 * struct plan_service - a kind of endpoint
 * @name: unique within the configuration
 * @health_path: path of health checks
 * @max_connections: connections that one endpoint accepts from all clients
 *	together
 * @cold_ms: how long an endpoint stays cold after its start
 * @cold_requests_per_s: request rate that a cold endpoint sustains
 * @is_engine: its endpoints are model engines, which @slots to @link_mbps
 *	describe
 * @slots: requests in one batch
 * @kv_capacity_tokens: tokens in the KV cache, which running requests and
 *	cached prefix segments share
 * @kv_token_bytes: KV cache memory of one token
 * @link_mbps: bandwidth for KV cache transfers between engines
 * @kv_backups: an engine can keep a copy of a stream's KV cache at another one,
 *	where the run goes on if the first engine ends
 * @elastic: endpoints may be ordered and released; @min_endpoints to
 *	@price_count apply
 * @min_endpoints: lower bound of the endpoints in each failure domain
 * @max_endpoints: upper bound of the same
 * @boot_ms: from the order of an endpoint until it is in service
 * @reclaimable_price_ratio: price of a reclaimable endpoint relative to an
 *	on-demand one
 * @prices: prices by failure domain
 * @price_count: entries in @prices
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
	bool kv_backups;
	bool elastic;
	uint32_t min_endpoints;
	uint32_t max_endpoints;
	uint32_t boot_ms;
	double reclaimable_price_ratio;
	struct plan_price *prices;
	uint32_t price_count;
};

/**
 * struct plan_account - a client account
 * @name: unique within the configuration
 * @has_tier: @tier is stated
 * @tier: priority, compared before the route's; see plan_tier()
 */
struct plan_account {
	char *name;
	bool has_tier;
	uint32_t tier;
};

/** struct plan_limits - limits on client requests, 0 where not stated */
struct plan_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

/**
 * struct plan - a configuration; shared, and immutable once checked
 * @refs: reference count
 * @version: stated by the operator
 * @routes: of struct plan_route *
 * @services: of struct plan_service *
 * @accounts: of struct plan_account *
 * @keys: API key to struct plan_account *
 * @hosts: host to a GPtrArray of struct plan_route *, longest prefix first;
 *	filled by plan_check()
 * @account_name_bytes: sum over @accounts
 * @duplicate_key: two accounts have one key
 * @needs_keys: requests need an API key, but for those of public routes
 * @tier_count: highest tier of a route plus one; set by plan_check()
 * @limits: limits on client requests
 */
struct plan {
	gint refs;
	uint64_t version;
	GPtrArray *routes;
	GPtrArray *services;
	GPtrArray *accounts;
	GHashTable *keys;
	GHashTable *hosts;
	size_t account_name_bytes;
	bool duplicate_key;
	bool needs_keys;
	uint32_t tier_count;
	struct plan_limits limits;
};

/** plan_new() - allocates an empty configuration with one reference */
struct plan *plan_new (void);

/** plan_ref() - takes a reference and returns @p */
struct plan *plan_ref (struct plan *p);

/** plan_unref() - drops a reference; @p may be NULL */
void plan_unref (struct plan *p);

/** plan_add_service() - adds a service, which the configuration owns */
struct plan_service *plan_add_service (struct plan *p, const char *name);

/** plan_add_route() - adds a route without backends, which the configuration
 * owns */
struct plan_route *plan_add_route (struct plan *p);

/** plan_add_account() - adds an account, which the configuration owns */
struct plan_account *plan_add_account (struct plan *p, const char *name);

/** plan_add_key() - adds the API key @key of account @a */
void plan_add_key (struct plan *p, struct plan_account *a, const char *key);

/** plan_service() - finds a service by its name; NULL where there is none */
struct plan_service *plan_service (const struct plan *p, const char *name);

/**
 * plan_check() - checks a complete configuration and builds its index
 * @e: ERR_CONFLICT where two routes have the same host and prefix, or two
 *	accounts the same key; ERR_BAD_REQUEST where a route has no host, no
 *	valid prefix, no timeout, no weight, or an unknown service
 *
 * Called once, before plan_match_route() and plan_tier().
 *
 * Return: true where the configuration may be put in force.
 */
bool plan_check (struct plan *p, struct err *e);

/**
 * plan_match_route() - finds the route of a request
 * @host: value of the Host header; a port is ignored
 * @host_len: its length in bytes
 * @path: path of the request
 * @path_len: its length in bytes
 *
 * Return: the host's route with the longest matching prefix, or NULL.
 */
const struct plan_route *plan_match_route (const struct plan *p,
					   const char *host, size_t host_len,
					   const char *path, size_t path_len);

/** plan_account_by_key() - finds the account of the API key of @len bytes at
 * @key; NULL where it is unknown */
const struct plan_account *plan_account_by_key (const struct plan *p,
						const char *key, size_t len);

/**
 * plan_tier() - priority of a request, 0 is the most urgent
 * @r: route of the request
 * @a: its client account, or NULL on public routes
 *
 * The account's tier is compared first.  The route's tier decides between
 * accounts of the same tier, and alone where the account states none.
 */
uint32_t plan_tier (const struct plan *p, const struct plan_route *r,
		    const struct plan_account *a);

/**
 * plan_pick_service() - picks one of a route's services by weight
 * @random_value: random value
 *
 * Return: the service, or NULL where the route has no weight.
 */
struct plan_service *plan_pick_service (const struct plan_route *r,
					uint32_t random_value);

#endif
