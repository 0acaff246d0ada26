#ifndef DH_SUSP_H
#define DH_SUSP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "msg.h"

/*
 * Suspected crash causes: requests that were in flight when endpoints died.
 * Entries share what they counted, so that a request sent again through
 * another entry is known there.
 *
 * A request in flight among n gets 1/n of a strike, and all that entries count
 * for one loss of an endpoint is one strike at most: each sees only its own of
 * many alike.  Where its strikes reach one half it is suspected, and runs alone
 * at its endpoint from then on; so a next crash is its own.  At the limit it is
 * refused.  A suspected request that ran whole is cleared.
 */

#define SUSP_ID_BYTES 16
#define SUSP_STRIKE_MILLI 1000 /* one strike, in thousandths */
#define SUSP_ALONE_MILLI 500   /* strikes from which a request runs alone */
#define SUSP_MSG_ITEMS_MAX 512 /* items in one message */

/**
 * struct susp_item - what its @entry has of one request: where it runs alone,
 * or, where @lost is set, its strikes for one loss of an endpoint
 */
struct susp_item {
	uint8_t id[SUSP_ID_BYTES];
	uint32_t milli;  /* thousandths of a strike */
	uint32_t age_ms; /* since the latest strike */
	bool cleared;    /* ran whole when alone */
	char lost[INV_NAME_BYTES];
	uint64_t lost_ms; /* when, on the entry's clock */
	/* where it runs alone now; "": nowhere */
	char ep[INV_NAME_BYTES];
};

/** struct susp_msg - FRAME_STRIKES */
struct susp_msg {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	struct msg_list items; /* of struct susp_item */
};

/** susp_msg_fields - the wire table of struct susp_msg */
extern const struct msg_field susp_msg_fields[];

/** enum susp_verdict - how a request may run */
enum susp_verdict {
	SUSP_CLEAN,     /* as any other */
	SUSP_RUN_ALONE, /* at an endpoint that runs nothing else of ours */
	SUSP_WAIT,      /* it runs alone somewhere already */
	SUSP_REFUSE,    /* suspected crash cause: ERR_SUSPECT */
};

/** struct susp - what one entry knows of suspects */
struct susp {
	GHashTable *known; /* id to struct susp_request */
	char self[INV_NAME_BYTES];
	uint64_t incarnation;
	uint32_t limit_milli;
	uint32_t ttl_ms;
};

/** susp_init() - nothing known yet */
void susp_init (struct susp *s, const char *self, uint64_t incarnation);

/** susp_finish() - release */
void susp_finish (struct susp *s);

/** susp_configure() - limits by the inventory's settings */
void susp_configure (struct susp *s, const struct inv_settings *set);

/**
 * susp_fingerprint() - fingerprint of a request
 * @account: its client account, or ""
 * @body: what the endpoint gets to see of it
 * @len: its length in bytes
 */
void susp_fingerprint (const char *account, const void *body, size_t len,
		       uint8_t id[SUSP_ID_BYTES]);

/** susp_check() - how the request may run now */
enum susp_verdict susp_check (struct susp *s, const uint8_t id[SUSP_ID_BYTES],
			      uint64_t now_ms);

/**
 * susp_started() - the request was sent to @ep
 * @alone: as susp_check() said; nothing else is placed there until it ends
 */
void susp_started (struct susp *s, const uint8_t id[SUSP_ID_BYTES],
		   struct bb_ep *ep, bool alone, uint64_t now_ms);

/**
 * susp_ended() - the request is over at its endpoint
 * @whole: it got its whole answer, or the endpoint refused it and lives
 */
void susp_ended (struct susp *s, const uint8_t id[SUSP_ID_BYTES], bool whole,
		 uint64_t now_ms);

/**
 * susp_ep_lost() - an endpoint died with requests in flight
 * @ep: the endpoint
 * @ids: the fingerprints of all of this entry's requests there
 * @count: how many
 * @in_flight: requests there over all entries, as far as known; at least
 *	@count
 * @reclaimed: the platform took it back: no strikes
 */
void susp_ep_lost (struct susp *s, const struct bb_ep *ep,
		   const uint8_t (*ids)[SUSP_ID_BYTES], uint32_t count,
		   uint32_t in_flight, bool reclaimed, uint64_t now_ms);

/**
 * susp_export() - what changed since the last call, for the peers
 * @items: array of struct susp_item; at most SUSP_MSG_ITEMS_MAX are appended
 * @all: everything known rather than changes: for a peer that just came up
 *
 * Return: how many were appended.
 */
uint32_t susp_export (struct susp *s, bool all, GArray *items, uint64_t now_ms);

/**
 * susp_import() - a peer's message; repeats are harmless
 * @bb: its endpoints where a peer runs a suspected request are kept free
 */
void susp_import (struct susp *s, struct bb *bb, const struct susp_msg *m,
		  uint64_t now_ms);

/** susp_expire() - forget what is older than its time */
void susp_expire (struct susp *s, uint64_t now_ms);

#endif
