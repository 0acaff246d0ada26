#ifndef DH_KEYFLOOD_H
#define DH_KEYFLOOD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"
#include "msg.h"

/*
 * Replication of withdrawn API key ids between entry instances.  The set only
 * grows, so reordered, lost or duplicate messages all lead to the same set, and
 * no quorum is needed.  A new id is flooded at once; what a peer missed is
 * found by comparing the digest that heartbeats carry.
 *
 * Does no I/O: messages leave through callbacks, and time is passed in.
 */

#define KEYFLOOD_BUCKETS 16
#define KEYFLOOD_IDS_MAX 64 /* in one message */

/** struct keyflood_id - one withdrawn key */
struct keyflood_id {
	char id[INV_NAME_BYTES];
};

/** struct keyflood_ids - some withdrawn keys */
struct keyflood_ids {
	struct msg_list ids; /* of struct keyflood_id */
};

/** struct keyflood_bucket - the digest of the ids that hash to one bucket */
struct keyflood_bucket {
	uint64_t digest;
};

/**
 * struct keyflood_buckets - digests of all buckets
 * @answer: this is the reply to such a message and is not replied to
 * @buckets: KEYFLOOD_BUCKETS of struct keyflood_bucket
 */
struct keyflood_buckets {
	bool answer;
	struct msg_list buckets;
};

/* Wire formats of the messages above. */
extern const struct msg_field keyflood_ids_fields[];
extern const struct msg_field keyflood_buckets_fields[];

/**
 * struct keyflood_ops - callbacks of the owner
 * @send_ids: send to peer @to or, if it is NULL, to all connected peers but
 *	@except
 * @send_buckets: send to peer @to
 * @withdrawn: @id was added to the set: refuse it from now on
 */
struct keyflood_ops {
	void (*send_ids) (const char *to, const char *except,
			  const struct keyflood_ids *m, void *ctx);
	void (*send_buckets) (const char *to, const struct keyflood_buckets *m,
			      void *ctx);
	void (*withdrawn) (const char *id, void *ctx);
};

/** struct keyflood - the set at one instance; the caller owns the memory */
struct keyflood {
	const struct keyflood_ops *ops;
	void *ctx;
	GHashTable *ids;
	uint64_t buckets[KEYFLOOD_BUCKETS];
	GHashTable *requested_ms; /* peer name to time of last comparison */
};

/** keyflood_init() - initialise an empty set; @ctx is passed to the callbacks
 */
void keyflood_init (struct keyflood *k, const struct keyflood_ops *ops,
		    void *ctx);

/** keyflood_finish() - free the set */
void keyflood_finish (struct keyflood *k);

/** keyflood_has() - whether a key id is withdrawn */
bool keyflood_has (const struct keyflood *k, const char *id);

/** keyflood_count() - the number of withdrawn keys */
uint32_t keyflood_count (const struct keyflood *k);

/**
 * keyflood_add() - add a withdrawn key and flood it to the peers
 * @id: the key's id; empty or overlong ids are ignored
 * @from: peer that reported it, or NULL for an operator or control
 *
 * Return: whether it was added.
 */
bool keyflood_add (struct keyflood *k, const char *id, const char *from);

/** keyflood_digest() - digest of the whole set, sent with each heartbeat */
uint64_t keyflood_digest (const struct keyflood *k);

/** keyflood_on_digest() - compare a peer's digest; start a repair if it differs
 */
void keyflood_on_digest (struct keyflood *k, const char *from, uint64_t digest,
			 uint64_t now_ms);

/** keyflood_on_ids() - merge withdrawn keys reported by a peer */
void keyflood_on_ids (struct keyflood *k, const char *from,
		      const struct keyflood_ids *m);

/** keyflood_on_buckets() - send a peer the ids of buckets that differ */
void keyflood_on_buckets (struct keyflood *k, const char *from,
			  const struct keyflood_buckets *m);

#endif
