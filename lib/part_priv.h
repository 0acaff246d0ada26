#ifndef DH_PART_PRIV_H
#define DH_PART_PRIV_H

#include "part.h"

/*
 * Between the files of part: what an entry keeps of an account as an owner
 * (lent) and as a borrower (loans).
 */

#define PART_GRANTS 8 /* grants to one borrower that may still count */

/** struct part_peer - another entry */
struct part_peer {
	struct bb_peer *bb;
	uint64_t incarnation; /* 0: not known */
	/* we borrow */
	uint64_t applied;  /* number of its latest grant */
	uint64_t asked_ms; /* latest ask; 0: none */
	bool ask_now;
	bool must_ask; /* it has to hear from us, even that we hold none */
	GArray *wants; /* of struct part_want: of the ask being made */
	/* we lend */
	uint64_t sent_ms; /* of its latest ask */
	uint64_t number;  /* of our latest grant */
	bool told;        /* it said what it holds, knowing that we are new */
};

/** struct part_loan - what we may use of one owner's base */
struct part_loan {
	struct part_peer *peer;
	uint32_t want[PART_KINDS];
	uint32_t asked[PART_KINDS]; /* the same, as it was sent last */
	uint32_t amount[PART_KINDS];
	uint64_t until_ms; /* of @amount, on our clock */
	uint32_t hold;     /* concurrency that the owner counts as out */
	uint32_t stated;   /* the same, as it was told last */
	uint64_t since_ms[PART_KINDS]; /* when @want was none before */
	uint64_t answered_ms;          /* 0: not yet */
};

/** struct part_out - one grant that may be in use */
struct part_out {
	uint64_t number;
	uint64_t sent_ms;  /* of the ask, borrower's clock */
	uint64_t until_ms; /* our clock, with margin */
	uint32_t amount[PART_KINDS];
};

/** struct part_lent - what is out with one borrower */
struct part_lent {
	struct part_peer *peer;
	uint32_t want[PART_KINDS];
	uint8_t poor;
	uint64_t heard_ms;
	uint64_t named_ms; /* of the latest ask that names it, its clock */
	uint64_t until_ms; /* latest end of a grant */
	uint32_t hold;
	uint32_t out_count;
	struct part_out out[PART_GRANTS];
};

/** struct part_account - one client account with a limit */
struct part_account {
	uint64_t key;
	struct bb_account *a;
	uint32_t round; /* of the latest inventory that names it */
	uint64_t start; /* index of its first owner */
	bool open;      /* the base was published */
	uint32_t limit[PART_KINDS];
	uint32_t base[PART_KINDS];
	uint32_t own_max[PART_KINDS]; /* base left to us where poor ones ask */
	uint32_t want[PART_KINDS];
	/* demand seen in this window and the one before */
	uint64_t window_ms;
	uint64_t asked;
	uint32_t seen[PART_KINDS];
	uint32_t seen_before[PART_KINDS];
	GArray *loans; /* of struct part_loan */
	GArray *lent;  /* of struct part_lent */
};

struct part_peer *part_peer_get (struct part *p, struct bb_peer *bb);

/*
 * Whether the base may be used.  After a start it may not before every lease
 * has run out that the process before may have given; of a concurrency limit,
 * not before everyone told what still runs under such a lease.
 */
bool part_open (const struct part *p, enum part_kind k, uint64_t now_ms);

/* How many entries own a base part of a limit, in whole requests. */
uint32_t part_owners (uint32_t limit, uint32_t entries);

/* Owner number @j of @owners: its index and its base. */
uint32_t part_owner_ix (const struct part_account *pa, uint32_t j,
			uint32_t owners, uint32_t entries);
uint32_t part_owner_base (uint32_t limit, uint32_t j, uint32_t owners);

/* Base that no other entry has, in use here or not. */
uint32_t part_claim (const struct part *p, const struct part_account *pa,
		     enum part_kind k, uint64_t now_ms);

/* Concurrency in use that needs our own base. */
uint32_t part_own_used (const struct part_account *pa);

/* Tell the blackboard what may be used now. */
void part_publish (const struct part *p, struct part_account *pa,
		   uint64_t now_ms);

/* part_lend.c */
uint32_t part_out_sum (const struct part *p, const struct part_account *pa,
		       enum part_kind k, const struct part_peer *but,
		       uint64_t now_ms);
void part_lent_expire (const struct part *p, struct part_account *pa,
		       uint64_t now_ms);
void part_lent_drop (struct part_account *pa, const struct part_peer *peer);

/* part_borrow.c */
void part_loans_plan (struct part *p, struct part_account *pa, uint64_t now_ms);
void part_ask_all (struct part *p, uint64_t now_ms);
void part_hold_settle (const struct part *p, struct part_account *pa,
		       uint64_t now_ms);
void part_owner_anew (struct part *p, struct part_peer *peer);

#endif
