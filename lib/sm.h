#ifndef DH_SM_H
#define DH_SM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "inv.h"
#include "msg.h"

/*
 * The replicated state machine: what every control member holds after
 * applying the same log entries.  Applying is deterministic: no clock, no
 * randomness, no input or output; times stand in the entries.
 */

#define SM_ID_BYTES 40
#define SM_WHY_BYTES 96
#define SM_CHANGE_MAX 65536 /* objects in one configuration change */
#define SM_BODY_MAX 65536   /* bytes of a stored answer */
#define SM_SENT_BODY_MAX                                                       \
	(4U << 20)            /* bytes of an answer offered for storing        \
			       */
#define SM_ROWS_MAX 4096      /* usage rows in one command */
#define SM_FIGURES_MAX 262144 /* accounts times classes in one window */

/** enum sm_kind - kinds of log entry; numbers are never reused */
enum sm_kind {
	SM_NOOP = 1,
	SM_CONFIG = 2,           /* struct sm_config */
	SM_KEY_WITHDRAW = 3,     /* struct sm_withdraw */
	SM_CLAIM = 4,            /* struct sm_claim */
	SM_CLAIM_DONE = 5,       /* struct sm_claim_done */
	SM_ORDER = 6,            /* struct sm_order */
	SM_ORDER_DONE = 7,       /* struct sm_order_done */
	SM_USAGE = 8,            /* struct sm_usage */
	SM_WINDOW_SEAL = 9,      /* struct sm_seal */
	SM_WINDOW_REPORTED = 10, /* struct sm_reported */
};

/** struct sm_config - change the inventory */
struct sm_config {
	uint64_t base_revision;
	char change_id[SM_ID_BYTES]; /* a resend of one id gets one answer */
	char who[INV_NAME_BYTES];
	uint64_t wall_ms;
	struct inv_delta delta;
};

/** struct sm_withdraw - withdraw a key for good */
struct sm_withdraw {
	char key_id[INV_NAME_BYTES];
	uint64_t wall_ms;
};

/**
 * struct sm_claim - an idempotency record, made before the call is sent
 *
 * (@entry, @incarnation, @attempt) names one attempt of one entry: proposing
 * the same claim again, because the reply was lost, is granted again.  So an
 * entry uses a fresh @attempt for each request that it takes from a caller,
 * and sends the call at most once an attempt.
 */
struct sm_claim {
	char account[INV_NAME_BYTES];
	char key[SM_ID_BYTES * 2]; /* the caller's Idempotency-Key */
	uint8_t digest[16];        /* of method, path and body */
	char entry[INV_NAME_BYTES];
	uint64_t incarnation; /* of that entry */
	uint64_t attempt;     /* unique in that incarnation, not 0 */
	uint64_t wall_ms;
};

/**
 * struct sm_claim_done - the outcome of a call
 *
 * Entry, incarnation and attempt are those of the claim; the outcome of any
 * other attempt is refused, so that a late "not sent" of one entry cannot
 * release the claim that another one holds by now.
 */
struct sm_claim_done {
	char account[INV_NAME_BYTES];
	char key[SM_ID_BYTES * 2];
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t attempt;
	uint8_t outcome;           /* enum sm_outcome */
	uint16_t status;           /* HTTP status of the stored answer */
	char type[INV_NAME_BYTES]; /* its content type */
	struct msg_bytes body;
	uint64_t wall_ms;
};

/** enum sm_outcome - what became of a claimed call */
enum sm_outcome {
	SM_PENDING,
	SM_ANSWERED, /* the answer is stored */
	SM_NOT_SENT, /* nothing left the entry; a resend may run */
	SM_UNKNOWN,  /* sent, answer lost */
};

/** enum sm_order_kind - what the platform is asked to do */
enum sm_order_kind {
	SM_ORDER_NEW = 1, /* a new endpoint in @domain */
	SM_ORDER_RELEASE, /* give @endpoint back */
	SM_ORDER_LOAD,    /* load @model on @endpoint */
	SM_ORDER_ROLE,    /* give @endpoint the role @role */
};

/**
 * struct sm_order - the intent to give one order
 *
 * Logged before the order is sent.  Logging the same id again by a later
 * leader renews the fencing number, which is the entry's term; it is the same
 * order.
 */
struct sm_order {
	char id[SM_ID_BYTES];
	uint8_t kind; /* enum sm_order_kind */
	char endpoint[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char model[INV_NAME_BYTES];
	char role[INV_NAME_BYTES];
	bool reclaimable; /* for SM_ORDER_NEW: a cheap one will do */
	uint64_t wall_ms;
};

/** enum sm_order_state - how far an order has come */
enum sm_order_state {
	SM_ORDER_PENDING,
	SM_ORDER_DONE_OK,
	SM_ORDER_REFUSED, /* by the platform or the endpoint */
};

/** struct sm_order_done - the outcome of an order */
struct sm_order_done {
	char id[SM_ID_BYTES];
	uint8_t state;                 /* enum sm_order_state */
	char endpoint[INV_NAME_BYTES]; /* the endpoint that it made */
	char why[SM_WHY_BYTES];
	uint64_t wall_ms;
};

/** struct sm_order_rec - an order as the state machine keeps it */
struct sm_order_rec {
	struct sm_order order;
	uint64_t fence; /* term of the entry that logged it last */
	uint8_t state;  /* enum sm_order_state */
	char made[INV_NAME_BYTES];
	char why[SM_WHY_BYTES];
	uint64_t done_ms;
};

/** struct sm_counts - what one client account used in one class */
struct sm_counts {
	uint64_t requests; /* finished, with an answer */
	uint64_t prompt_tokens;
	uint64_t completion_tokens;
	uint64_t refused;       /* requests refused, not run */
	uint64_t wasted_tokens; /* generated, but of no use to the caller */
};

/** struct sm_usage_row - cumulative counts of one window */
struct sm_usage_row {
	uint64_t window_ms; /* when the window starts, since 1970 */
	char account[INV_NAME_BYTES];
	char klass[INV_NAME_BYTES];
	struct sm_counts n;
};

/**
 * struct sm_usage - counters of one entry, all windows that changed
 *
 * The counts are cumulative within an incarnation and merged by maximum, so
 * it does no harm when they come twice, late or by way of a peer.
 */
struct sm_usage {
	char instance[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t wall_ms;
	uint64_t closed_before_ms; /* this incarnation will never raise a
				      count of a window before this one; all
				      of them were acknowledged */
	struct msg_list rows;      /* of struct sm_usage_row */
};

/** struct sm_seal - freeze a window's figures */
struct sm_seal {
	uint64_t window_ms;
	uint32_t length_ms;
	char report_id[SM_ID_BYTES];
	uint64_t wall_ms;
};

/** struct sm_reported - the platform acknowledged a window's report */
struct sm_reported {
	uint64_t window_ms;
	char report_id[SM_ID_BYTES];
	uint64_t wall_ms;
};

/** struct sm_figure - one line of a sealed window */
struct sm_figure {
	char account[INV_NAME_BYTES];
	char klass[INV_NAME_BYTES];
	struct sm_counts n;    /* counted in this window */
	struct sm_counts late; /* of sealed windows, but came since */
};

/** struct sm_window - a sealed window */
struct sm_window {
	uint64_t window_ms;
	uint32_t length_ms;
	char report_id[SM_ID_BYTES];
	uint64_t sealed_ms;
	bool reported;
	uint64_t reported_ms;
	struct msg_list figures; /* of struct sm_figure; dropped some windows
				    after the report was acknowledged */
};

/** struct sm_reply - what applying an entry answers its proposer */
struct sm_reply {
	enum err_kind kind; /* ERR_NONE where it took effect */
	uint64_t revision;  /* inventory revision after it */
	uint8_t outcome;    /* for claims: enum sm_outcome */
	bool granted;       /* for claims: the proposer may send the call */
	uint16_t status;    /* for claims: the stored answer */
	char type[INV_NAME_BYTES];
	struct msg_bytes body; /* points into the state machine */
	uint32_t dropped;      /* for usage: rows of windows long sealed */
	char why[ERR_MSG_BYTES];
};

/** sm_reply_fields - the wire table of struct sm_reply */
extern const struct msg_field sm_reply_fields[];

/* Wire tables of the commands. */
extern const struct msg_field sm_config_fields[];
extern const struct msg_field sm_withdraw_fields[];
extern const struct msg_field sm_claim_fields[];
extern const struct msg_field sm_claim_done_fields[];
extern const struct msg_field sm_order_fields[];
extern const struct msg_field sm_order_done_fields[];
extern const struct msg_field sm_usage_row_fields[];
extern const struct msg_field sm_usage_fields[];
extern const struct msg_field sm_seal_fields[];
extern const struct msg_field sm_reported_fields[];

/** sm_kind_fields() - the wire table of a kind of command, or NULL */
const struct msg_field *sm_kind_fields (uint8_t kind);

struct sm;

/** sm_new() - an empty state machine */
struct sm *sm_new (void);

/** sm_free() - release it */
void sm_free (struct sm *sm);

/**
 * sm_apply() - apply one committed entry
 * @index: its log index; one that was applied before is ignored
 * @term: its term: the fencing number of orders made in it
 * @kind: enum sm_kind
 * @data: the packed command
 * @len: its length in bytes
 * @reply: filled in; valid until the next call
 */
void sm_apply (struct sm *sm, uint64_t index, uint64_t term, uint8_t kind,
	       const void *data, size_t len, struct sm_reply *reply);

/** sm_snapshot() - append the whole state to @out */
void sm_snapshot (const struct sm *sm, msgpack_sbuffer *out);

/**
 * sm_restore() - replace the state by a snapshot
 * @e: ERR_CORRUPT; the state is unchanged then
 */
bool sm_restore (struct sm *sm, const void *data, size_t len, struct err *e);

/** sm_applied() - index of the last entry applied */
uint64_t sm_applied (const struct sm *sm);

/** sm_revision() - the inventory's revision */
uint64_t sm_revision (const struct sm *sm);

/** sm_doc() - the inventory */
const struct inv_doc *sm_doc (const struct sm *sm);

/**
 * sm_delta_since() - what changed after @revision
 * @changes: array of struct inv_change, valid until the next sm_apply()
 *
 * Return: false where the history no longer reaches back so far; the caller
 * sends the whole document then.
 */
bool sm_delta_since (const struct sm *sm, uint64_t revision, GArray *changes);

/** sm_withdrawn() - whether a key id was withdrawn */
bool sm_withdrawn (const struct sm *sm, const char *key_id);

/** sm_withdrawn_list() - append every withdrawn id, as const char *, sorted */
void sm_withdrawn_list (const struct sm *sm, GPtrArray *out);

/** sm_order_find() - the order with this id, or NULL */
const struct sm_order_rec *sm_order_find (const struct sm *sm, const char *id);

/**
 * sm_orders() - append orders, as const struct sm_order_rec *, oldest first
 * @pending_only: leave out those whose outcome is logged
 */
void sm_orders (const struct sm *sm, bool pending_only, GPtrArray *out);

/**
 * sm_window_open() - the oldest window that has counts and is not sealed
 *
 * Return: its start, or 0 where there is none.
 */
uint64_t sm_window_open (const struct sm *sm);

/** sm_sealed_through() - start of the last sealed window, or 0 */
uint64_t sm_sealed_through (const struct sm *sm);

/** sm_late_pending() - whether late counts wait for a window to be sealed */
bool sm_late_pending (const struct sm *sm);

/** sm_window_find() - the sealed window that starts then, or NULL */
const struct sm_window *sm_window_find (const struct sm *sm,
					uint64_t window_ms);

/** sm_windows() - append sealed windows, as const struct sm_window * */
void sm_windows (const struct sm *sm, GPtrArray *out);

/** sm_incarnation() - highest incarnation seen of an entry, or 0 */
uint64_t sm_incarnation (const struct sm *sm, const char *entry);

#endif
