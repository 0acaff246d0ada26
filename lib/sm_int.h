#ifndef DH_SM_INT_H
#define DH_SM_INT_H

#include <glib.h>

#include "sm.h"

/*
 * What the files of the state machine share.  Nothing outside sm*.c includes
 * this.
 *
 * Every collection has an order that follows from the log alone (sorted, or
 * by insertion), so that equal logs give byte-equal snapshots.
 */

#define SM_CHANGES_KEPT 10000             /* answers to change ids */
#define SM_HISTORY_KEPT 4096              /* revisions that deltas reach back */
#define SM_HISTORY_BYTES (8U << 20)       /* most bytes of those deltas */
#define SM_CLAIMS_MAX 65536               /* idempotency records */
#define SM_CLAIM_BODIES_BYTES (32U << 20) /* most bytes of stored answers */
#define SM_CLAIM_KEEP_MS (24U * 3600 * 1000)
#define SM_CLAIM_PENDING_MS                                                    \
	(15U * 60 * 1000) /* then its outcome is unknown                       \
			   */
#define SM_ORDERS_PENDING_MAX 1024
#define SM_ORDERS_KEPT 4096                /* orders whose outcome is logged */
#define SM_USAGE_ROWS 1048576              /* counters over all instances */
#define SM_LATE_KEEP_MS (2U * 3600 * 1000) /* how late a count may come */
#define SM_SOURCE_KEEP_MS (24U * 3600 * 1000)
#define SM_WINDOWS_KEPT 64      /* sealed windows with their figures */
#define SM_CLOCK_STEP_MS 60000U /* most that one entry moves the clock */

/** struct sm_change - the first answer to a change id */
struct sm_change {
	char id[SM_ID_BYTES];
	uint8_t kind; /* enum err_kind */
	uint64_t revision;
	char why[SM_WHY_BYTES];
};

/** struct sm_step - one revision's changes */
struct sm_step {
	uint64_t revision;
	struct msg_list changes; /* of struct inv_change; own memory */
	uint64_t bytes;
};

/** struct sm_withdrawal - a withdrawn key */
struct sm_withdrawal {
	char id[INV_NAME_BYTES];
	uint64_t wall_ms;
};

/** struct sm_instance - an entry that the log has heard of */
struct sm_instance {
	char name[INV_NAME_BYTES];
	uint64_t incarnation; /* the highest */
};

/** struct sm_claim_rec - an idempotency record and its outcome */
struct sm_claim_rec {
	struct sm_claim claim;
	uint8_t outcome; /* enum sm_outcome */
	uint16_t status;
	char type[INV_NAME_BYTES];
	struct msg_bytes body; /* own memory */
	bool body_kept;
	GList link; /* in claim_queue */
};

/** struct sm_source - one incarnation that sent usage */
struct sm_source {
	char instance[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t closed_before_ms; /* its counts before this are final */
	uint64_t heard_ms;         /* by the state machine's clock */
};

/** struct sm_counter - one instance's counts */
struct sm_counter {
	char instance[INV_NAME_BYTES];
	uint64_t incarnation;
	struct sm_usage_row row;
};

/** struct sm_late - counts that came after their window was sealed */
struct sm_late {
	char account[INV_NAME_BYTES];
	char klass[INV_NAME_BYTES];
	struct sm_counts n;
};

/** struct sm - the whole state */
struct sm {
	uint64_t applied;
	uint64_t revision;
	uint64_t clock_ms;

	struct inv_doc doc;
	GQueue changes;           /* struct sm_change, oldest first */
	GHashTable *change_by_id; /* id to struct sm_change */
	GQueue history;           /* struct sm_step, oldest first */
	uint64_t history_bytes;
	GTree *withdrawn; /* id to struct sm_withdrawal */

	GTree *instances;   /* name to struct sm_instance */
	GHashTable *claims; /* struct sm_claim_rec, by account and key */
	GQueue claim_queue; /* the same, oldest first */
	uint64_t claim_bytes;

	GQueue orders;           /* struct sm_order_rec, oldest first */
	GHashTable *order_by_id; /* id to its GList link in orders */
	uint32_t orders_pending;

	GTree *sources;          /* struct sm_source */
	GTree *counters;         /* struct sm_counter, by window first */
	GTree *late;             /* struct sm_late */
	uint64_t sealed_through; /* start of the last sealed window */
	uint64_t dropped_before; /* counts of earlier windows are refused */
	GQueue windows;          /* struct sm_window, oldest first */
};

/** sm_refuse() - fill in a reply that says why nothing took effect */
void sm_refuse (struct sm_reply *r, enum err_kind kind, const char *fmt, ...)
	__attribute__ ((format (printf, 3, 4)));

/** sm_saw_instance() - remember the highest incarnation of an entry */
void sm_saw_instance (struct sm *sm, const char *name, uint64_t incarnation);

/*
 * Per subject: make and drop its part of the state, apply its commands.  The
 * functions that take a const void * add a copy of one record of the struct
 * that the parameter's name tells; snapshots are restored through them.
 */
void sm_conf_init (struct sm *sm);
void sm_conf_finish (struct sm *sm);
void sm_conf_apply (struct sm *sm, const struct sm_config *c,
		    struct sm_reply *r);
void sm_conf_withdraw (struct sm *sm, const struct sm_withdraw *w,
		       struct sm_reply *r);
void sm_conf_remember (struct sm *sm, const void *change);
void sm_conf_put_withdrawal (struct sm *sm, const void *withdrawal);
void sm_conf_put_step (struct sm *sm, const void *step);
void sm_conf_history_add (struct sm *sm, uint64_t revision,
			  const struct msg_list *changes);

void sm_claim_put_instance (struct sm *sm, const void *instance);
void sm_claim_init (struct sm *sm);
void sm_claim_finish (struct sm *sm);
void sm_claim_apply (struct sm *sm, const struct sm_claim *c,
		     struct sm_reply *r);
void sm_claim_outcome (struct sm *sm, const struct sm_claim_done *d,
		       struct sm_reply *r);
void sm_claim_put (struct sm *sm, const void *claim_rec);

void sm_order_init (struct sm *sm);
void sm_order_finish (struct sm *sm);
void sm_order_apply (struct sm *sm, const struct sm_order *o, uint64_t term,
		     struct sm_reply *r);
void sm_order_outcome (struct sm *sm, const struct sm_order_done *d,
		       struct sm_reply *r);
void sm_order_put (struct sm *sm, const void *order_rec);

void sm_usage_init (struct sm *sm);
void sm_usage_finish (struct sm *sm);
void sm_usage_apply (struct sm *sm, const struct sm_usage *u,
		     struct sm_reply *r);
void sm_usage_seal (struct sm *sm, const struct sm_seal *s, struct sm_reply *r);
void sm_usage_reported (struct sm *sm, const struct sm_reported *p,
			struct sm_reply *r);
void sm_usage_put_source (struct sm *sm, const void *source);
void sm_usage_put_counter (struct sm *sm, const void *counter);
void sm_usage_put_late (struct sm *sm, const void *late);
void sm_usage_put_window (struct sm *sm, const void *window);

#endif
