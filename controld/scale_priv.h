#ifndef DH_SCALE_PRIV_H
#define DH_SCALE_PRIV_H

#include "controld.h"

/*
 * What the files of the elastic controller share.
 */

/** struct drain - an endpoint on its way out, as this leader saw it first */
struct drain {
	uint64_t since_ms;
	uint64_t revision;
};

/** struct scale - the controller; NULL without a platform */
struct scale {
	uint64_t term; /* that all below is of; 0: not leading */
	struct scale_memory memory;
	struct scale_look looks[SCALE_WINDOW];
	uint32_t look;
	uint64_t look_at_ms;
	uint64_t order_index;  /* log index of an order proposed */
	uint32_t orders;       /* proposed in this term */
	bool changing;         /* a change of the inventory stands */
	uint64_t change_at_ms; /* not before */
	GHashTable *drains;    /* endpoint name to struct drain */
	/* what the platform says, whoever leads */
	GHashTable *live;      /* instance name to address */
	GHashTable *gone;      /* set of names */
	GHashTable *reclaimed; /* domain to uint64_t, wall clock */
	/* the latest decision, for operators */
	struct scale_verdict last;
	uint16_t attain_permille;
	bool heard_all;
};

/** struct scale_turn - one look's material; the orders live as long as it */
struct scale_turn {
	struct control *c;
	struct scale *s;
	const struct inv *inv;
	GPtrArray *orders;
	uint64_t now_ms;
	uint64_t wall_ms;
};

/* scale.c */

/* A view of the situation; release with scale_view_finish(). */
void scale_build (const struct scale_turn *l, const struct scale_settings *set,
		  struct scale_view *v);

/* What was seen before a step says nothing of its effect: begin anew. */
void scale_wait (struct scale *s, uint64_t now_ms);

/* scale_step.c: what is put into the log */

/* The endpoint that a new one of this order is like, or NULL. */
const struct inv_endpoint *scale_like (const struct inv *inv,
				       const struct sm_order *o);

/* Log the intent of an order; fills in its id and time. */
void scale_give_order (struct scale_turn *l, struct sm_order *o);

/* Drain an endpoint that is to be given back. */
void scale_drain (struct scale_turn *l, const char *name);

/* Put what was made into the inventory; whether anything was done. */
bool scale_step_made (struct scale_turn *l);

/* Give back what is empty, and take it out; whether anything was done. */
bool scale_step_out (struct scale_turn *l, const struct inv_endpoint *ep);

#endif
