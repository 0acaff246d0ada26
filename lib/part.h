#ifndef DH_PART_H
#define DH_PART_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "msg.h"

/*
 * Limits of a client account over all entries.  A limit on concurrency or
 * rate is cut into base parts, each owned by one configured entry; their sum
 * is the limit.  An entry that needs more than its own base asks owners of
 * others for what they do not use, and gets it for a lease of a few seconds.
 * An owner never has more of its base in its own use and out with others than
 * there is of it, so no message, lost, late or repeated, can bring the sum
 * above the limit.
 *
 * What was lent of a concurrency limit counts as out until the borrower says
 * that nothing runs under it any more, or is known to have ended, or the
 * longest life of a request has passed since its lease.  See
 * docs/notes/parts.md.
 */

#define PART_ITEMS_MAX 16384 /* accounts in one frame */
#define PART_OWNERS 8        /* of a limit, where it has as many units */
/* A limit with so many units for each entry is owned by all of them. */
#define PART_UNITS_EACH 4

/** enum part_kind - what is limited */
enum part_kind {
	PART_CONCURRENCY, /* in requests */
	PART_RATE,        /* in thousandths of a request a second */
	PART_KINDS,
};

/** struct part_settings - times, in milliseconds */
struct part_settings {
	uint32_t ttl_ms;    /* length of a lease */
	uint32_t margin_ms; /* by which a borrower's clock runs shorter */
	uint32_t ask_ms;    /* least time between two asks of one owner */
	uint32_t life_ms;   /* longest life of a request; raised to the
			       classes' longest */
};

/** PART_SETTINGS_DEFAULT - figures to start from */
#define PART_SETTINGS_DEFAULT                                                  \
	{                                                                      \
		.ttl_ms = 5000, .margin_ms = 200, .ask_ms = 2000,              \
		.life_ms = 5000                                                \
	}

/** struct part_want - one account in a struct part_ask */
struct part_want {
	uint64_t key;              /* of the account and its limits */
	uint32_t want[PART_KINDS]; /* by enum part_kind */
	uint32_t hold;             /* most that runs under this owner's part,
				      from now on and until a later grant */
	uint8_t poor;              /* bit by enum part_kind: has no base */
};

/** struct part_ask - from borrower to owner */
struct part_ask {
	uint64_t incarnation;  /* of the borrower */
	uint64_t owner;        /* incarnation of the owner, 0: not known */
	uint64_t applied;      /* number of its latest grant taken */
	uint64_t sent_ms;      /* borrower's clock: leases count from it */
	struct msg_list wants; /* of struct part_want; with all it holds */
};

/** struct part_given - one account in a struct part_grant */
struct part_given {
	uint64_t key;
	uint32_t amount[PART_KINDS];
};

/** struct part_grant - from owner to borrower: the answer to one ask */
struct part_grant {
	uint64_t incarnation; /* of the owner */
	uint64_t borrower;    /* incarnation of the borrower */
	uint64_t number;      /* larger in each grant to this borrower */
	uint64_t sent_ms;     /* of the ask */
	uint32_t ttl_ms;
	struct msg_list given; /* of struct part_given */
};

/* Wire tables. */
extern const struct msg_field part_ask_fields[];
extern const struct msg_field part_grant_fields[];

/**
 * struct part_ops - how messages leave; they may be lost, repeated or late
 *
 * A message is valid during the call.  Never called for the entry itself.
 */
struct part_ops {
	void (*ask) (struct bb_peer *to, const struct part_ask *m, void *ctx);
	void (*grant) (struct bb_peer *to, const struct part_grant *m,
		       void *ctx);
};

/** struct part - the parts of all accounts at one entry */
struct part {
	struct bb *bb;
	struct part_settings set;
	const struct part_ops *ops;
	void *ctx;
	uint64_t incarnation;
	uint64_t started_ms;
	uint32_t life_ms;
	bool told;           /* all entries said what they hold of ours */
	GPtrArray *accounts; /* of struct part_account, owned by @by_key */
	GHashTable *by_key;
	uint32_t round;   /* counts changes of the inventory */
	GPtrArray *peers; /* of struct part_peer */
};

/**
 * part_init() - start
 * @incarnation: larger after each start of this entry
 * @ops: must outlive it
 */
void part_init (struct part *p, struct bb *bb, const struct part_settings *set,
		const struct part_ops *ops, void *ctx, uint64_t incarnation,
		uint64_t now_ms);

/** part_finish() - release */
void part_finish (struct part *p);

/** part_remap() - call after each bb_apply_inv() */
void part_remap (struct part *p, uint64_t now_ms);

/** part_tick() - ask where it is due, and set the parts; each 100 ms */
void part_tick (struct part *p, uint64_t now_ms);

/**
 * part_peer_up() - a connection to an entry stands
 * @incarnation: of that entry; of an earlier one nothing is in flight any more
 */
void part_peer_up (struct part *p, struct bb_peer *peer, uint64_t incarnation,
		   uint64_t now_ms);

/* Messages that arrived; @from is the peer they came from. */
void part_on_ask (struct part *p, struct bb_peer *from,
		  const struct part_ask *m, uint64_t now_ms);
void part_on_grant (struct part *p, struct bb_peer *from,
		    const struct part_grant *m, uint64_t now_ms);

/**
 * part_base() - the base part of one entry
 * @limit: in whole requests, or requests a second
 * @name: of the account: spreads the owners
 * @entry: index of the entry, of @entries
 *
 * Return: in the unit of @limit; the sum over all entries is @limit.
 */
uint32_t part_base (uint32_t limit, const char *name, uint32_t entry,
		    uint32_t entries);

/** part_key() - names an account with its limits: entries that know other
 * limits, or another number of entries, do not deal with each other
 */
uint64_t part_key (const struct inv_account *ia, uint32_t entries);

#endif
