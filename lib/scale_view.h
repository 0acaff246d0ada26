#ifndef DH_SCALE_VIEW_H
#define DH_SCALE_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"
#include "scale.h"
#include "sm.h"

/*
 * What the elastic decision reads, made of the inventory, the orders in the
 * replicated log and what the leader heard.  Pure, as the decision is.  The
 * orders say what an earlier leader did, so that the next one goes on from
 * there.
 */

#define SCALE_ID_PREFIX "scale-"   /* of the ids of its own orders */
#define SCALE_RISK_MS 600000       /* no cheap ones after a reclaim */
#define SCALE_LIVE_LIMIT_MS 600000 /* for a new endpoint to be listed */
#define SCALE_WINDOW 4             /* looks that attainment is taken over */

/** struct scale_heard - what the leader heard of one domain */
struct scale_heard {
	uint64_t reclaimed_wall_ms; /* latest reclaim; 0: none */
	uint32_t busy;              /* requests at its engines */
};

/**
 * struct scale_facts - what a view is made of
 * @inv: the inventory in force
 * @orders: of struct sm_order_rec, oldest first
 * @heard: one for each domain of @inv
 * @leaving: set of names that the platform reclaims or lists as going
 * @attain_permille: see scale_attain()
 * @now_ms: monotonic
 * @wall_ms: wall clock
 */
struct scale_facts {
	const struct inv *inv;
	const GPtrArray *orders;
	const struct scale_heard *heard;
	GHashTable *leaving;
	uint16_t attain_permille;
	uint64_t now_ms;
	uint64_t wall_ms;
};

/** scale_settings_of() - the figures that operators set */
struct scale_settings scale_settings_of (const struct inv_settings *s);

/**
 * scale_view_build() - the view
 * @set: must outlive @v
 * @v: filled in; release with scale_view_finish()
 *
 * Engines only; in each domain they share its busy slots evenly.
 */
void scale_view_build (const struct scale_facts *f,
		       const struct scale_settings *set, struct scale_view *v);

/** scale_view_finish() - release it */
void scale_view_finish (struct scale_view *v);

/** scale_spend() - what is paid for or ordered, an hour */
uint64_t scale_spend (const struct scale_view *v);

/**
 * scale_made() - own orders that made an endpoint which is not in the
 * inventory and was not given back
 * @out: of const struct sm_order_rec *, oldest first
 */
void scale_made (const struct inv *inv, const GPtrArray *orders,
		 GPtrArray *out);

/** scale_released() - whether an order gives @endpoint back; NULL if none
 * does, else the latest */
const struct sm_order_rec *scale_released (const GPtrArray *orders,
					   const char *endpoint);

/** struct scale_look - weighted requests between two looks */
struct scale_look {
	uint64_t asked;
	uint64_t attained;
};

/**
 * scale_attain() - attainment over some looks, in thousandths
 *
 * Return: 1000 where nothing was asked: nobody is short then.
 */
uint16_t scale_attain (const struct scale_look *looks, uint32_t count);

#endif
