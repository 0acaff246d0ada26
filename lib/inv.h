#ifndef DH_INV_H
#define DH_INV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "msg.h"
#include "set.h"

/*
 * The inventory: what operators load.  It has two forms.
 *
 * struct inv_doc is a set of objects, each known by section and name and held
 * as canonical JSON.  Documents are compared, changed by deltas and digested;
 * the replicated log carries deltas and an entry applies them.
 *
 * struct inv is the typed form that the decisions read, built from a document
 * in one step and never changed after.
 */

#define INV_NAME_BYTES 48
#define INV_PATH_BYTES 96
#define INV_MODELS_MAX 32
#define INV_KEY_HASH_BYTES 32
#define INV_DIGEST_BYTES 16
#define INV_TIERS 5
#define INV_DOC_MAX_BYTES (64U << 20)

/** enum inv_section - the sections of a document */
enum inv_section {
	INV_SETTINGS, /* one object, named "settings" */
	INV_DOMAINS,
	INV_ENTRIES,
	INV_CLASSES,
	INV_ACCOUNTS,
	INV_KEYS,
	INV_ENDPOINTS,
	INV_ROUTES,
	INV_RULES,
	INV_SECTIONS,
};

/** struct inv_settings - figures for the whole system */
struct inv_settings {
	uint32_t window_s;       /* length of a usage window */
	uint32_t window_grace_s; /* wait before a window is sealed */
	uint32_t request_max_bytes;
	uint32_t key_max_age_s;   /* refuse keys known only from a revision
				     confirmed longer ago; 0: never refuse */
	uint32_t budget_per_h;    /* most to spend on endpoints, in millionths
				     of the currency an hour; 0: no bound */
	uint16_t retry_permille;  /* retries allowed, of requests */
	uint16_t suspect_strikes; /* endpoints lost before a request is refused
				     as a suspected cause */
	uint32_t suspect_ttl_s;
	uint16_t cold_answers; /* whole answers until an endpoint is warm */
	uint32_t cold_ramp_s;  /* from then to the warm bound */
	bool scale;            /* order and release endpoints */
	uint16_t scale_least;  /* endpoints kept in each domain */
	uint16_t scale_cheap_permille;  /* most that may be reclaimable */
	uint16_t scale_attain_permille; /* less is a shortage */
	uint32_t scale_short_s;         /* that lasts so long */
	uint32_t scale_idle_s;          /* how long a surplus must last */
	uint32_t scale_settle_s;        /* pause after each step */
};

/** struct inv_domain - a failure domain */
struct inv_domain {
	char name[INV_NAME_BYTES];
	char region[INV_NAME_BYTES];
	bool drained; /* taken out by operators */
	/* What an endpoint ordered here is like; "": none is ordered. */
	char new_like[INV_NAME_BYTES];
	char cheap_like[INV_NAME_BYTES];
	int32_t new_ix; /* into endpoints; -1: none */
	int32_t cheap_ix;
};

/** struct inv_entry - an entry instance */
struct inv_entry {
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char peer[INV_NAME_BYTES]; /* IP:port of its peer listener */
	uint32_t domain_ix;
};

/** struct inv_class - a request class */
struct inv_class {
	char name[INV_NAME_BYTES];
	uint8_t tier;            /* 1 is the highest */
	uint32_t ttft_ms;        /* target for the first token */
	uint32_t itl_ms;         /* target between tokens */
	uint32_t deadline_ms;    /* longest wait in queue */
	uint32_t total_ms;       /* longest whole request */
	uint16_t share_permille; /* minimum share of dispatches */
	uint32_t queue_max;      /* requests queued at one entry */
};

/** struct inv_account - a client account */
struct inv_account {
	char name[INV_NAME_BYTES];
	char klass[INV_NAME_BYTES]; /* default class, or "" */
	uint32_t weight;
	uint32_t rate_per_s;  /* 0: no limit, over all entries */
	uint32_t concurrency; /* 0: no limit, over all entries */
	int32_t class_ix;     /* -1: none */
};

/** struct inv_key - a granted key; only its keyed hash is stored */
struct inv_key {
	char id[INV_NAME_BYTES];
	char account[INV_NAME_BYTES];
	uint8_t hash[INV_KEY_HASH_BYTES];
	uint32_t account_ix;
};

/** enum inv_kind - what an endpoint is */
enum inv_kind {
	INV_ENGINE,
	INV_SERVICE,
};

/** struct inv_endpoint - an endpoint */
struct inv_endpoint {
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char addr[INV_NAME_BYTES];  /* IP:port */
	char group[INV_NAME_BYTES]; /* a service's group; routes name it */
	enum inv_kind kind;
	uint16_t model_ix[INV_MODELS_MAX]; /* into inv.models */
	uint16_t model_count;
	uint32_t price_per_h; /* millionths of the currency an hour */
	bool reclaimable;     /* cheap; the platform may take it back */
	uint16_t cold_bound;  /* requests at once in cold start */
	uint16_t warm_bound;  /* requests at once when warm */
	bool checks_fence;    /* rejects orders with an old fencing number */
	bool resumes;         /* can resume a stream from tokens given */
	bool drained;
	bool elastic;   /* the controller may release it */
	bool releasing; /* it is: drained first, then given back */
	uint32_t domain_ix;
};

/** enum inv_route_kind - what a route serves */
enum inv_route_kind {
	INV_ROUTE_CHAT,
	INV_ROUTE_COMPLETIONS,
	INV_ROUTE_MODELS,
	INV_ROUTE_SERVICE,
};

/** struct inv_route - a path prefix and what stands behind it */
struct inv_route {
	char name[INV_NAME_BYTES];
	char prefix[INV_PATH_BYTES];
	char group[INV_NAME_BYTES]; /* for services */
	char klass[INV_NAME_BYTES]; /* or "": header or account decides */
	enum inv_route_kind kind;
	bool repeatable; /* false: at most once, by idempotency key */
	bool open;       /* serves callers without a key */
	int32_t class_ix;
};

/** enum inv_action - what a rule does where it matches */
enum inv_action {
	INV_RULE_CLASS,          /* put the request into class @target */
	INV_RULE_DENY,           /* refuse it */
	INV_RULE_AVOID,          /* no new work to domain @target */
	INV_RULE_ONLY,           /* only domain @target */
	INV_RULE_NO_RECLAIMABLE, /* no cheap endpoints */
};

/** struct inv_rule - a rule; "" matches everything, rules apply in order */
struct inv_rule {
	char name[INV_NAME_BYTES];
	uint32_t order;
	char account[INV_NAME_BYTES];
	char klass[INV_NAME_BYTES];
	char model[INV_NAME_BYTES];
	enum inv_action action;
	char target[INV_NAME_BYTES];
	int32_t target_ix; /* class or domain index, -1: none */
};

/** struct inv - the typed form; every array is sorted by name */
struct inv {
	uint64_t revision;
	uint8_t digest[INV_DIGEST_BYTES];
	struct inv_settings settings;
	struct inv_domain *domains;
	uint32_t domain_count;
	struct inv_entry *entries;
	uint32_t entry_count;
	struct inv_class *classes;
	uint32_t class_count;
	struct inv_account *accounts;
	uint32_t account_count;
	struct inv_key *keys;
	uint32_t key_count;
	struct inv_endpoint *endpoints;
	uint32_t endpoint_count;
	struct inv_route *routes; /* longest prefix first */
	uint32_t route_count;
	struct inv_rule *rules; /* in their order */
	uint32_t rule_count;
	char (*models)[INV_NAME_BYTES];
	uint32_t model_count;
	GHashTable *key_by_hash; /* hash bytes to struct inv_key */
};

/** struct inv_doc - a document */
struct inv_doc {
	GTree *objects[INV_SECTIONS];     /* name to object, see inv_doc.c */
	uint8_t digest[INV_DIGEST_BYTES]; /* XOR over all objects' hashes */
	uint64_t bytes;
};

/** struct inv_change - one object set, or removed where @json is empty */
struct inv_change {
	uint8_t section;
	char name[INV_NAME_BYTES];
	struct msg_bytes json;
};

/** inv_change_fields - the wire table of struct inv_change */
extern const struct msg_field inv_change_fields[];

/** struct inv_delta - changes from one document to another */
struct inv_delta {
	struct msg_list changes; /* of struct inv_change */
};

/** inv_delta_fields - the wire table of struct inv_delta */
extern const struct msg_field inv_delta_fields[];

/** inv_section_name() - "domains", "entries", ... */
const char *inv_section_name (enum inv_section s);

/** inv_describe() - append the reference page of all sections */
void inv_describe (GString *out);

/** inv_doc_init() - an empty document */
void inv_doc_init (struct inv_doc *d);

/** inv_doc_finish() - release it */
void inv_doc_finish (struct inv_doc *d);

/** inv_doc_copy() - make @to an equal of @from; @to must be uninitialised */
void inv_doc_copy (struct inv_doc *to, const struct inv_doc *from);

/**
 * inv_doc_parse() - read JSON with comments
 * @d: an empty document; filled in where all is well
 * @text: the text
 * @len: its length in bytes
 * @problems: array of struct inv_problem; every problem of the text is
 *	appended: syntax, unknown name, wrong type, out of range, duplicate,
 *	dangling reference
 * @e: ERR_SETTINGS with the first problem, or ERR_TOO_LARGE
 */
bool inv_doc_parse (struct inv_doc *d, const char *text, size_t len,
		    GArray *problems, struct err *e);

/** inv_doc_get() - an object's canonical JSON, or NULL; @d keeps it */
const char *inv_doc_get (const struct inv_doc *d, enum inv_section s,
			 const char *name);

/** inv_doc_count() - how many objects a section has */
uint32_t inv_doc_count (const struct inv_doc *d, enum inv_section s);

/** inv_doc_print() - the document as JSON text; free with g_free() */
char *inv_doc_print (const struct inv_doc *d);

/**
 * inv_doc_diff() - the delta from @a to @b
 * @changes: array of struct inv_change; json points into @b
 */
void inv_doc_diff (const struct inv_doc *a, const struct inv_doc *b,
		   GArray *changes);

/**
 * inv_doc_apply() - change a document
 * @e: ERR_SETTINGS where an object's JSON or name is malformed; @d is
 *	unchanged then.  References are checked by inv_build().
 */
bool inv_doc_apply (struct inv_doc *d, const struct inv_delta *delta,
		    struct err *e);

/**
 * inv_build() - the typed form of a document
 * @inv: filled in; release with inv_finish()
 * @problems: every dangling reference or clash is appended; may be NULL
 * @e: ERR_SETTINGS with the first problem
 */
bool inv_build (struct inv *inv, const struct inv_doc *d, uint64_t revision,
		GArray *problems, struct err *e);

/** inv_finish() - release a typed form */
void inv_finish (struct inv *inv);

/**
 * inv_key_hash() - the keyed hash under which a key is stored
 * @cluster_key: the hash key, FRAME_KEY_BYTES long
 * @text: the key as a caller presents it
 * @len: its length in bytes
 */
void inv_key_hash (const uint8_t *cluster_key, const char *text, size_t len,
		   uint8_t hash[INV_KEY_HASH_BYTES]);

/** inv_key_find() - the key with this hash, compared in constant time */
const struct inv_key *inv_key_find (const struct inv *inv,
				    const uint8_t hash[INV_KEY_HASH_BYTES]);

/** inv_route_find() - the route with the longest prefix of @path, or NULL */
const struct inv_route *inv_route_find (const struct inv *inv, const char *path,
					size_t len);

/* Index by name, or -1. */
int32_t inv_domain_ix (const struct inv *inv, const char *name);
int32_t inv_class_ix (const struct inv *inv, const char *name);
int32_t inv_account_ix (const struct inv *inv, const char *name);
int32_t inv_endpoint_ix (const struct inv *inv, const char *name);
int32_t inv_entry_ix (const struct inv *inv, const char *name);
int32_t inv_model_ix (const struct inv *inv, const char *name, size_t len);

#endif
