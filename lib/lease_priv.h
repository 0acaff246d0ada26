#ifndef DH_LEASE_PRIV_H
#define DH_LEASE_PRIV_H

#include "lease.h"

/* What the three parts of a lease give each other. */

/* Reports of one collapse differ by less. */
#define LEASE_COLD_SLOP_MS 500

/** struct lease_domain - the electors of one failure domain */
struct lease_domain {
	struct bb_peer *electors[LEASE_ELECTORS_MAX]; /* by name */
	uint32_t count;
	uint64_t hash; /* of their names */
};

/** struct elect_seen - the latest beat of one elector */
struct elect_seen {
	uint64_t incarnation;
	uint64_t sent_ms;  /* its clock */
	uint64_t electors; /* its hash of the set */
	uint32_t live;
	bool full;
	bool ready;
	bool leaving;        /* it left itself out of @live */
	uint64_t contact_ms; /* our clock: latest beat of ours it had heard
				when it sent this */
};

/** struct lease_elect - who coordinates, as this entry hears it */
struct lease_elect {
	struct lease_domain *domains; /* follows inv.domains */
	struct lease_domain *own;     /* NULL where this entry is no elector */
	uint32_t self;                /* its slot there */
	struct elect_seen seen[LEASE_ELECTORS_MAX];
	uint64_t changed_ms; /* set of electors, or who of them is leaving */
	uint32_t live;
	uint64_t beat_due_ms;
};

/** lease_elect_new() - start */
struct lease_elect *lease_elect_new (void);

/** lease_elect_free() - release */
void lease_elect_free (struct lease_elect *el);

/** lease_elect_remap() - take over the inventory's entries */
void lease_elect_remap (struct lease *l, uint64_t now_ms);

/**
 * lease_elect_tick() - send beats that are due
 *
 * Return: whether beats were sent: what they promise holds from now.
 */
bool lease_elect_tick (struct lease *l, uint64_t now_ms);

/** lease_elect_hears_all() - whether all live electors are in contact */
bool lease_elect_hears_all (const struct lease *l, uint64_t now_ms);

/** lease_elect_slot() - coordinator of @ep among the electors of @live */
int32_t lease_elect_slot (const struct lease_domain *d, uint32_t live,
			  const struct bb_ep *ep);

/**
 * lease_elect_agreed() - whether all live electors promise that this entry
 * coordinates @ep
 *
 * Return: until when their promises hold; 0: they do not.
 */
uint64_t lease_elect_agreed (const struct lease *l, const struct bb_ep *ep,
			     uint64_t now_ms);

/** lease_elect_slice() - the part of @bound that elector @slot has alone */
uint32_t lease_elect_slice (const struct lease *l, uint32_t slot,
			    uint32_t bound);

/** lease_elect_of() - the electors of @ep's domain */
const struct lease_domain *lease_elect_of (const struct lease *l,
					   const struct bb_ep *ep);

/** struct coord_peer - a holder, as a coordinator sees it */
struct coord_peer {
	struct bb_peer *bb;
	uint64_t incarnation;
	uint64_t number;   /* of the latest grant to it */
	uint64_t sent_ms;  /* its clock: latest message */
	uint64_t renew_ms; /* its clock: latest renewing ask */
	uint64_t asked_ms; /* our clock: when that came */
	uint64_t gone_ms;  /* known to have ended; 0: not */
	int64_t offset_ms; /* our clock less its, with the least delay seen */
	uint64_t offset_at_ms; /* when that was looked at; 0: never */
	uint64_t delay_ms;     /* of the message at hand, as far as known */
	bool dirty;
};

/** struct coord_holder - what one holder has of one endpoint */
struct coord_holder {
	struct coord_peer *peer;
	uint32_t credits;     /* in the latest grant */
	uint32_t credits_old; /* most in an earlier one that may still count */
	uint64_t number;      /* of the grant that changed them */
	uint64_t until_ms;    /* holder's clock: when they end for sure */
	uint32_t used;
	uint32_t other;
	uint8_t want[INV_TIERS];
	uint32_t returned;
	uint32_t answers; /* whole ones since the endpoint was cold */
	uint8_t tier;
	uint8_t hinted; /* tier it was last told of */
	bool dirty;
};

/** struct coord_ep - one endpoint of this entry's domain */
struct coord_ep {
	struct bb_ep *ep;
	uint64_t other_ms;  /* last told the electors that another leads */
	bool other_ready;   /* that one knew all in flight */
	int32_t other_slot; /* who */
	uint64_t agreed_since_ms; /* 0: not agreed */
	uint64_t agreed_until_ms; /* how long it can be relied on */
	bool known;       /* all that is in flight is known, since agreed */
	uint32_t unknown; /* most that can be in flight beyond what is known */
	bool led;         /* had the whole bound, and nobody else since */
	uint32_t bound;   /* as last looked at */
	enum lease_state state;
	uint64_t cold_ms;
	uint64_t proven_ms;
	GArray *holders; /* of struct coord_holder */
};

/** struct lease_coord - the endpoints and holders */
struct lease_coord {
	GHashTable *eps;   /* struct bb_ep to struct coord_ep */
	GHashTable *peers; /* struct bb_peer to struct coord_peer */
};

struct lease_coord *lease_coord_new (void);
void lease_coord_free (struct lease_coord *c);
void lease_coord_remap (struct lease *l, uint64_t now_ms);

/** lease_coord_tick() - @promised: beats were sent just now */
void lease_coord_tick (struct lease *l, bool promised, uint64_t now_ms);

/** lease_coord_ready() - whether all in flight is known at the endpoints that
 * this entry would coordinate
 */
bool lease_coord_ready (const struct lease *l);

/** lease_coord_state() - what this entry is to @ce, and the bound it has */
enum lease_state lease_coord_state (const struct lease *l, struct coord_ep *ce,
				    uint64_t now_ms, uint32_t *bound);

/** lease_coord_count() - what @h may have in flight or start */
uint32_t lease_coord_count (const struct coord_holder *h, bool all);

/** lease_coord_report() - take in one item of a holder's ask */
void lease_coord_report (const struct lease *l, struct coord_ep *ce,
			 struct coord_holder *h, const struct lease_want *w,
			 uint64_t sent_ms, uint64_t now_ms);

/** lease_grant_shrink() - leave no more than @bound in grants */
void lease_grant_shrink (struct lease *l, struct coord_ep *ce, uint32_t bound,
			 uint64_t now_ms);

/** lease_grant_flush() - send what changed to its holders */
void lease_grant_flush (struct lease *l, uint64_t now_ms);

struct lease_hold *lease_hold_new (void);
void lease_hold_free (struct lease_hold *h);
void lease_hold_remap (struct lease *l, uint64_t now_ms);
void lease_hold_tick (struct lease *l, uint64_t now_ms);

#endif
