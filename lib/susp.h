#ifndef DH_SUSP_H
#define DH_SUSP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bb.h"
#include "msg.h"

/*
 * Detection of poison requests: requests that crash the endpoint that runs
 * them ("susp" is short for suspect).  A request that was in flight when an
 * endpoint was lost gets strikes.  Entry instances exchange their strikes, so
 * that a client that retries through another entry is recognised there.
 *
 * When an endpoint with n requests in flight is lost, each gets 1/n of a
 * strike.  Identical requests may be in flight through several entries, each
 * of which sees only its own; therefore the strikes that all entries count for
 * one loss add up to one strike at most.  From half a strike on the request is
 * suspected and runs alone at its endpoint, so that a further crash is
 * certainly its own.  At the configured limit it is refused.  A suspected
 * request that completes is cleared.
 */

#define SUSP_ID_BYTES 16
#define SUSP_STRIKE_MILLI 1000 /* one strike, in thousandths of a strike */
#define SUSP_ALONE_MILLI 500   /* from here on a request runs alone */
#define SUSP_MSG_ITEMS_MAX 512 /* items in one message */

/**
 * struct susp_item - what one entry reports of one request: its strikes for the
 * loss of @lost_ep or, if @lost_ep is empty, the endpoint where it runs alone
 */
struct susp_item {
	uint8_t id[SUSP_ID_BYTES];
	uint32_t strike_milli; /* thousandths of a strike */
	uint32_t age_ms;       /* time since the latest strike */
	bool cleared;          /* completed while it ran alone */
	char lost_ep[INV_NAME_BYTES];
	uint64_t lost_ms; /* time of the loss by the reporting entry's clock */
	/* endpoint where it runs alone now; empty if there is none */
	char alone_ep[INV_NAME_BYTES];
};

/**
 * struct susp_msg - payload of FRAME_STRIKES
 * @entry: name of the reporting entry
 * @incarnation: incarnation of the reporting entry
 * @items: array of struct susp_item
 */
struct susp_msg {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	struct msg_list items;
};

/** susp_msg_fields - wire format of struct susp_msg */
extern const struct msg_field susp_msg_fields[];

/** enum susp_verdict - whether and how a request may be sent */
enum susp_verdict {
	SUSP_CLEAN,     /* not suspected: no restriction */
	SUSP_RUN_ALONE, /* to an endpoint that runs nothing else of ours */
	SUSP_WAIT,      /* an identical request runs alone already */
	SUSP_REFUSE,    /* too many strikes: ERR_SUSPECT */
};

/**
 * struct susp - the suspected requests known to one entry
 * @requests: fingerprint to struct susp_request
 * @self: name of this entry
 * @incarnation: incarnation of this entry
 * @refuse_milli: thousandths of a strike from which a request is refused
 * @ttl_ms: how long strikes are kept after the latest one
 */
struct susp {
	GHashTable *requests;
	char self[INV_NAME_BYTES];
	uint64_t incarnation;
	uint32_t refuse_milli;
	uint32_t ttl_ms;
};

/**
 * susp_init() - initialise with no requests and default limits
 * @self: name of this entry
 * @incarnation: incarnation of this entry
 */
void susp_init (struct susp *s, const char *self, uint64_t incarnation);

/** susp_finish() - free all requests */
void susp_finish (struct susp *s);

/** susp_configure() - take limit and expiry time from the settings */
void susp_configure (struct susp *s, const struct inv_settings *set);

/**
 * susp_fingerprint() - compute the fingerprint of a request
 * @account: its client account, or ""
 * @body: the request body as the endpoint receives it
 * @len: length of @body in bytes
 * @id: is set to the fingerprint
 */
void susp_fingerprint (const char *account, const void *body, size_t len,
		       uint8_t id[SUSP_ID_BYTES]);

/** susp_check() - decide whether and how a request may be sent now */
enum susp_verdict susp_check (struct susp *s, const uint8_t id[SUSP_ID_BYTES],
			      uint64_t now_ms);

/**
 * susp_started() - record that a request was sent to an endpoint
 * @ep: the endpoint
 * @alone: susp_check() returned SUSP_RUN_ALONE; @ep gets no other request until
 *	this one ends
 */
void susp_started (struct susp *s, const uint8_t id[SUSP_ID_BYTES],
		   struct bb_ep *ep, bool alone, uint64_t now_ms);

/**
 * susp_ended() - record that a request has ended at its endpoint
 * @survived: the endpoint sent a complete response, or refused the request and
 *	is still up; a suspected request is cleared
 */
void susp_ended (struct susp *s, const uint8_t id[SUSP_ID_BYTES], bool survived,
		 uint64_t now_ms);

/**
 * susp_ep_lost() - count strikes for the requests in flight at a lost endpoint
 * @ep: the endpoint
 * @ids: fingerprints of all requests of this entry that were in flight there
 * @count: number of @ids
 * @in_flight: requests in flight there from all entries, as far as known; a
 *	value below @count is taken as @count
 * @reclaimed: the platform reclaimed the endpoint: no strikes are counted
 */
void susp_ep_lost (struct susp *s, const struct bb_ep *ep,
		   const uint8_t (*ids)[SUSP_ID_BYTES], uint32_t count,
		   uint32_t in_flight, bool reclaimed, uint64_t now_ms);

/**
 * susp_export() - collect this entry's strikes for a message to its peers
 * @all: every request rather than those changed since the last call; for a peer
 *	that has just connected
 * @items: array of struct susp_item to append to; at most SUSP_MSG_ITEMS_MAX
 *	are appended, and requests left out stay marked as changed
 *
 * Return: the number of items appended.
 */
uint32_t susp_export (struct susp *s, bool all, GArray *items, uint64_t now_ms);

/**
 * susp_import() - merge a peer's message; a duplicate changes nothing
 * @bb: an endpoint of it where the peer runs a suspected request alone gets no
 *	other request
 */
void susp_import (struct susp *s, struct bb *bb, const struct susp_msg *m,
		  uint64_t now_ms);

/** susp_expire() - remove requests whose latest strike is too old */
void susp_expire (struct susp *s, uint64_t now_ms);

#endif
