#ifndef DH_KEYFLOOD_H
#define DH_KEYFLOOD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"
#include "msg.h"

/*
 * Withdrawn key ids, spread between entry instances.  The set only grows, so
 * any order of messages, any loss and any repeat leads to the same set, and no
 * quorum is needed.  A new id is flooded at once; what a peer missed is found
 * by a digest that travels on heartbeats.
 *
 * Pure: messages leave through callbacks, and time is passed in.
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

/** struct keyflood_bucket - the digest of one part of the set */
struct keyflood_bucket {
	uint64_t digest;
};

/**
 * struct keyflood_buckets - digests of all parts
 * @answer: it answers another such message; no further answer is wanted
 * @parts: KEYFLOOD_BUCKETS of struct keyflood_bucket
 */
struct keyflood_buckets {
	bool answer;
	struct msg_list parts;
};

/* Wire tables of the messages above. */
extern const struct msg_field keyflood_ids_fields[];
extern const struct msg_field keyflood_buckets_fields[];

/**
 * struct keyflood_ops - what the flood asks of its owner
 * @send_ids: to one peer, or to all in reach but @except where @to is NULL
 * @send_parts: to one peer
 * @withdrawn: @id is new here: refuse it from now on
 */
struct keyflood_ops {
	void (*send_ids) (const char *to, const char *except,
			  const struct keyflood_ids *m, void *ctx);
	void (*send_parts) (const char *to, const struct keyflood_buckets *m,
			    void *ctx);
	void (*withdrawn) (const char *id, void *ctx);
};

/** struct keyflood - the set at one instance; the caller owns the memory */
struct keyflood {
	const struct keyflood_ops *ops;
	void *ctx;
	GHashTable *ids;
	uint64_t parts[KEYFLOOD_BUCKETS];
	GHashTable *asked_ms; /* peer's name to when its parts were asked */
};

/** keyflood_init() - an empty set */
void keyflood_init (struct keyflood *k, const struct keyflood_ops *ops,
		    void *ctx);

/** keyflood_finish() - release it */
void keyflood_finish (struct keyflood *k);

/** keyflood_has() - whether a key id is withdrawn */
bool keyflood_has (const struct keyflood *k, const char *id);

/** keyflood_count() - how many are */
uint32_t keyflood_count (const struct keyflood *k);

/**
 * keyflood_add() - withdraw a key
 * @from: the peer that said so, or NULL for an operator or control
 *
 * Return: whether it is new here.
 */
bool keyflood_add (struct keyflood *k, const char *id, const char *from);

/** keyflood_digest() - of the whole set; goes with each heartbeat */
uint64_t keyflood_digest (const struct keyflood *k);

/** keyflood_on_digest() - a peer's heartbeat brought its digest */
void keyflood_on_digest (struct keyflood *k, const char *from, uint64_t digest,
			 uint64_t now_ms);

/** keyflood_on_ids() - a peer says that keys are withdrawn */
void keyflood_on_ids (struct keyflood *k, const char *from,
		      const struct keyflood_ids *m);

/** keyflood_on_buckets() - a peer's digests; sends what it lacks */
void keyflood_on_buckets (struct keyflood *k, const char *from,
			  const struct keyflood_buckets *m);

#endif
