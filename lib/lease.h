#ifndef DH_LEASE_H
#define DH_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "adm.h"
#include "bb.h"
#include "msg.h"

/*
 * Leases of endpoint concurrency.  A request may be sent to an endpoint only
 * under a credit.  The endpoint's coordinator, one entry of its own failure
 * domain, leases credits to all entries for about a second; their sum, with
 * what is in flight beyond them, never exceeds the endpoint's bound.
 *
 * One struct lease holds the three parts that an entry plays: elector of its
 * domain, coordinator of some of the domain's endpoints, and holder.
 *
 * Beats between the electors (the configured entries of one domain) say who
 * hears whom.  While all electors that the platform does not list as leaving
 * hear each other, one of them, by rendezvous hash, coordinates an endpoint
 * with its whole bound.  While one is silent, each coordinates a fixed slice
 * of the bound, so that the sides of a cut sum to it.  A change of who
 * coordinates takes effect only after every lease of the one before has run
 * out.
 */

#define LEASE_ELECTORS_MAX 5
#define LEASE_ITEMS_MAX 1024

/** struct lease_settings - times, in milliseconds */
struct lease_settings {
	uint32_t ttl_ms;     /* length of a lease */
	uint32_t margin_ms;  /* by which a holder's clock runs shorter */
	uint32_t renew_ms;   /* between two asks */
	uint32_t beat_ms;    /* between two beats */
	uint32_t contact_ms; /* silence after which an elector is out of
				contact */
	uint32_t life_ms;    /* longest life of a request in flight; raised to
				the classes' longest */
};

/** LEASE_SETTINGS_DEFAULT - figures to start from */
#define LEASE_SETTINGS_DEFAULT                                                 \
	{                                                                      \
		.ttl_ms = 1000, .margin_ms = 50, .renew_ms = 350,              \
		.beat_ms = 500, .contact_ms = 1500, .life_ms = 5000            \
	}

/*
 * On the wire a message leaves out what both ends of its link know, the
 * incarnations of sender and receiver: see lease_beat_in() and the others.
 */

/** struct lease_beat - from elector to elector, every beat_ms */
struct lease_beat {
	uint64_t incarnation; /* of the sender; not on the wire */
	uint64_t sent_ms;     /* sender's clock */
	uint64_t electors;    /* hash of the configured set */
	uint32_t live;        /* bit by elector: not listed as leaving */
	bool full;            /* the sender hears all of @live */
	bool ready;           /* the sender knows all that is in flight at the
				 endpoints it coordinates */
	uint64_t heard_ms;    /* receiver's clock: sent_ms of the latest beat
				 of its that the sender heard */
};

/** struct lease_want - one endpoint in a struct lease_ask */
struct lease_want {
	char ep[INV_NAME_BYTES];
	uint16_t used;           /* in flight under credits of the one asked */
	uint16_t other;          /* in flight under anybody else's */
	uint8_t want[INV_TIERS]; /* credits that each tier would use at once */
	uint8_t tier;            /* highest tier waiting; 0: none */
	uint32_t returned;       /* credits given back since incarnation */
	uint64_t applied;        /* number of the latest grant that named it */
	uint32_t proven_ms;      /* since proof of service; 0: none */
	uint32_t cold_ms;        /* since it was seen to turn cold; 0: never */
	uint16_t answers;        /* whole ones since then, to this holder */
};

/**
 * struct lease_ask - from holder to coordinator: FRAME_LEASE_ASK renews,
 * FRAME_LEASE_OFFER (renew false) gives credits back or tells of a change
 */
struct lease_ask {
	uint64_t incarnation; /* of the holder; not on the wire */
	uint64_t sent_ms;     /* holder's clock: leases count from it */
	bool renew;
	struct msg_list wants; /* of struct lease_want */
};

/** enum lease_state - what the one asked is to an endpoint */
enum lease_state {
	LEASE_NOT_MINE, /* another one coordinates it */
	LEASE_WAITING,  /* will, when earlier leases have run out */
	LEASE_FULL,     /* the whole bound */
	LEASE_SLICE,    /* its slice only: ask the other electors too */
};

/** struct lease_given - one endpoint in a struct lease_grant */
struct lease_given {
	char ep[INV_NAME_BYTES];
	uint8_t state; /* enum lease_state */
	uint16_t credits;
	uint32_t returned;  /* credits known to be given back */
	uint8_t tier;       /* highest tier waiting elsewhere; 0: none */
	uint16_t recall;    /* credits to give back for it */
	uint32_t cold_ms;   /* since it turned cold; 0: never */
	uint32_t proven_ms; /* since proof of service; 0: none */
	uint32_t late_ms;   /* by which the lease counts from before sent_ms:
			       the latest renewing ask left it out */
};

/** struct lease_grant - from coordinator to holder: FRAME_LEASE_GRANT */
struct lease_grant {
	uint64_t holder;  /* incarnation of the holder; not on the wire */
	uint64_t number;  /* larger in each grant to this holder */
	uint64_t sent_ms; /* of the latest renewing ask, holder's clock */
	uint32_t ttl_ms;
	struct msg_list given; /* of struct lease_given */
};

/* Wire tables. */
extern const struct msg_field lease_beat_fields[];
extern const struct msg_field lease_ask_fields[];
extern const struct msg_field lease_grant_fields[];

/**
 * lease_ask_out() - make @m ready to be sent to a process
 * @to: incarnation of that process
 *
 * Numbers of grants begin at their coordinator's incarnation; on the wire they
 * count from there, and those of an earlier coordinator are left out.  Changes
 * the items in place.
 */
void lease_ask_out (struct lease_ask *m, uint64_t to);

/**
 * lease_grant_out() - the same for a grant
 * @from: the sender's own incarnation
 *
 * Return: false where @m is for another process than @to: do not send it.
 */
bool lease_grant_out (struct lease_grant *m, uint64_t from, uint64_t to);

/* The reverse, after msg_unpack(): incarnations of sender and receiver. */
void lease_beat_in (struct lease_beat *m, uint64_t from);
void lease_ask_in (struct lease_ask *m, uint64_t from, uint64_t to);
void lease_grant_in (struct lease_grant *m, uint64_t from, uint64_t to);

/**
 * struct lease_ops - how messages leave; they may be lost, repeated or late
 *
 * A message is valid during the call.  Never called for the entry itself.
 */
struct lease_ops {
	void (*beat) (struct bb_peer *to, const struct lease_beat *m,
		      void *ctx);
	void (*ask) (struct bb_peer *to, const struct lease_ask *m, void *ctx);
	void (*grant) (struct bb_peer *to, const struct lease_grant *m,
		       void *ctx);
};

struct lease_elect; /* lease_elect.c */
struct lease_coord; /* lease_coord.c */
struct lease_hold;  /* lease_hold.c */

/** struct lease - the three parts of one entry */
struct lease {
	struct bb *bb;
	struct lease_settings set;
	const struct lease_ops *ops;
	void *ctx;
	uint64_t incarnation;
	uint64_t started_ms;
	struct lease_elect *elect;
	struct lease_coord *coord;
	struct lease_hold *hold;
	uint64_t walk_due_ms; /* when all endpoints are looked at again */
	bool busy; /* answering an ask: offers wait for the next tick */
};

/**
 * lease_init() - start
 * @incarnation: larger after each start of this entry
 * @ops: must outlive it
 */
void lease_init (struct lease *l, struct bb *bb,
		 const struct lease_settings *set, const struct lease_ops *ops,
		 void *ctx, uint64_t incarnation, uint64_t now_ms);

/** lease_finish() - release */
void lease_finish (struct lease *l);

/** lease_remap() - call after each bb_apply_inv() */
void lease_remap (struct lease *l, uint64_t now_ms);

/**
 * lease_tick() - send what is due: beats, asks, grants; call every 50 ms or
 * less
 */
void lease_tick (struct lease *l, uint64_t now_ms);

/* Messages that arrived; @from is the peer they came from. */
void lease_on_beat (struct lease *l, struct bb_peer *from,
		    const struct lease_beat *m, uint64_t now_ms);
void lease_on_ask (struct lease *l, struct bb_peer *from,
		   const struct lease_ask *m, uint64_t now_ms);
void lease_on_grant (struct lease *l, struct bb_peer *from,
		     const struct lease_grant *m, uint64_t now_ms);

/**
 * lease_gone() - an entry is known to have ended: its process is gone and its
 * connections are closed, so that nothing of it is in flight any more
 */
void lease_gone (struct lease *l, struct bb_peer *peer, uint64_t now_ms);

/**
 * lease_pressure() - what waits at this entry for a pool, from adm_backlog()
 *
 * Call it whenever the highest waiting tier or the count changes, at most
 * every few milliseconds; a change of the highest tier is told to the
 * coordinators at the next lease_tick().
 */
void lease_pressure (struct lease *l, const struct bb_pool *pool,
		     const struct adm_backlog *p, uint64_t now_ms);

/**
 * struct lease_slot - the credit that one request uses
 * @ep: the endpoint, or NULL: none
 * @by: whose credit it is
 */
struct lease_slot {
	struct bb_ep *ep;
	struct bb_peer *by;
};

/**
 * lease_take() - use a credit; call immediately before the request is written
 * @slot: filled in; keep it until lease_give()
 * @now_ms: read from the clock just now: a process that stood still finds
 *	its lease run out
 *
 * Counts the request by bb_ep_sent().
 *
 * Return: false where no valid credit is left; do not send then.
 */
bool lease_take (struct lease *l, struct bb_ep *ep, struct lease_slot *slot,
		 uint64_t now_ms);

/**
 * lease_give() - the request is over; counts it by bb_ep_done()
 *
 * Where a higher tier waits elsewhere than here, the credit is given back at
 * once.
 */
void lease_give (struct lease *l, struct lease_slot *slot, uint64_t now_ms);

/**
 * lease_cold() - this entry saw that @ep turned cold, or was lost
 *
 * Credits that were granted under its warm bound go back at once, and the
 * next lease_tick() tells the coordinators.
 */
void lease_cold (struct lease *l, struct bb_ep *ep, uint64_t now_ms);

/** lease_bound() - the bound this entry coordinates of @ep now; 0: none */
uint32_t lease_bound (const struct lease *l, const struct bb_ep *ep,
		      uint64_t now_ms);

/** lease_state_of() - what this entry is to @ep */
enum lease_state lease_state_of (const struct lease *l, const struct bb_ep *ep,
				 uint64_t now_ms);

/** lease_coordinator() - who coordinates @ep while all electors are well */
struct bb_peer *lease_coordinator (const struct lease *l,
				   const struct bb_ep *ep);

/** lease_state_name() - "full", "slice", ... */
const char *lease_state_name (enum lease_state s);

#endif
