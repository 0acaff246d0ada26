#ifndef DH_LOADS_H
#define DH_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"

/*
 * What all relays together have at each endpoint.  Each relay tells one member
 * of the group what it has there, which shared parts of prompts it sent
 * where, and whose loads it wants to know; the member tells it how the sums of
 * the others changed there since it was told last.  What one relay is told
 * grows neither with relays nor with endpoints beyond LOADS_SUBSCRIPTION_MAX.
 */

#define LOADS_MAX 8192
#define LOADS_SEGMENTS_MAX 4096
#define LOADS_SUBSCRIPTION_MAX 256

/* Changes that are told: of reading, some twenty milliseconds; of requests, one
 * where there are few, since a plain service takes them one after the other,
 * and a part of many, which share an engine's steps. */
#define LOADS_DELTA_TOKENS 1024
#define LOADS_DELTA_DIVISOR 3

/**
 * struct load - work at one endpoint
 * @ep: hash of its id
 * @unread: prompt tokens sent there and not yet read
 * @running: requests there
 * @down: of one relay: it did not answer, and is asked before it gets work; of
 *	the sum: so for relays of two failure domains, see loads_peer_loads()
 */
struct load {
	uint32_t ep;
	uint32_t unread;
	uint32_t running;
	bool down;
};

/** struct load_segment - a shared part of a prompt that an endpoint was sent */
struct load_segment {
	uint64_t id;
	uint32_t ep_hash;
	uint32_t tokens;
};

/** struct load_ep - an endpoint, as struct load names it */
struct load_ep {
	uint32_t ep_hash;
};

/**
 * struct loads_msg - loads that a relay has, or that the others have
 * @loads: of struct load; endpoints not in it have none
 * @is_delta: endpoints not in @loads have what was told before
 * @prefill_ms: reading time asked of engines since the start
 * @segments: of struct load_segment, new since the last message
 * @has_subscription: @subscription is given, and the relay takes changes
 * @subscription: of struct load_ep: endpoints that the relay wants to be told
 *of; all of them where it names none
 * @want_snapshot: the relay does not know any more what it was told
 * @withdraw: the relay tells another member from now on
 * @domain_hash: hash of the relay's failure domain
 */
struct loads_msg {
	struct msg_list loads;
	uint64_t prefill_ms;
	struct msg_list segments;
	bool is_delta;
	bool has_subscription;
	struct msg_list subscription;
	bool want_snapshot;
	bool withdraw;
	uint32_t domain_hash;
};

extern const struct msg_field load_ep_fields[];
extern const struct msg_field loads_msg_fields[];

/** struct loads - the sum over reporters; the caller owns the memory */
struct loads {
	GHashTable *sum;           /* ep to struct load */
	GHashTable *reports;       /* reporter to struct report */
	GHashTable *suspicions;    /* ep to struct doubts */
	GHashTable *relay_domains; /* of reporters, to their number */
	double prefill_ms;         /* asked by all, since it was taken last */
	GArray *segments;          /* of struct told_part, not yet told on */
};

/** loads_init() - an empty table */
void loads_init (struct loads *l);

/** loads_finish() - release it */
void loads_finish (struct loads *l);

/** loads_set_report() - @reporter's newest table, in place of the one before */
void loads_set_report (struct loads *l, const void *reporter,
		       const struct loads_msg *m);

/** loads_drop_relay() - @reporter is gone */
void loads_drop_relay (struct loads *l, const void *reporter);

/**
 * loads_peer_loads() - append what the others have to @out, an array of struct
 * load, and take @reporter to know it
 *
 * Small changes are left out, by LOADS_DELTA_TOKENS and LOADS_DELTA_DIVISOR.
 *
 * An endpoint is down where relays of two failure domains doubt it.  The load
 * that this answers: many endpoints crash at once, look idle, and get the next
 * request of each of a hundred relays.  Relays of one domain may be cut off
 * from an endpoint that serves the others, so their word alone does not count,
 * unless all relays are in that domain; then that of two relays does.
 *
 * Return: whether it is changes only; else endpoints not in @out have none.
 */
bool loads_peer_loads (struct loads *l, const void *reporter, GArray *out);

/** loads_has_relay() - whether @reporter tells us its loads */
bool loads_has_relay (const struct loads *l, const void *reporter);

/** loads_want_snapshot() - @reporter did not get the last ones: tell it all
 * anew */
void loads_want_snapshot (struct loads *l, const void *reporter);

/** loads_peer_segments() - append the parts that others than @reporter told to
 * @out, an array of struct load_segment */
void loads_peer_segments (const struct loads *l, const void *reporter,
			  GArray *out);

/** loads_clear_segments() - forget them, once all were told */
void loads_clear_segments (struct loads *l);

/** loads_any_prefill() - whether any reporter ever asked for reading */
bool loads_any_prefill (const struct loads *l);

/** loads_take_prefill_ms() - take the reading time asked of engines since the
 * last call */
double loads_take_prefill_ms (struct loads *l);

/** loads_ep_hash() - the hash that names an endpoint */
uint32_t loads_ep_hash (const char *id);

/**
 * struct loads_member - a member of the group, as a relay sees it
 * @addr: in the same words at all relays
 * @is_leader: by its last state
 * @last_heard_ms: when it was heard last; 0 where it can't be reached
 */
struct loads_member {
	const char *addr;
	bool is_leader;
	uint64_t last_heard_ms;
};

/* A member that was not heard for so long is frozen or cut off: all tell their
 * state more often. */
#define LOADS_MEMBER_TIMEOUT_MS 1100

/**
 * loads_choose_member() - the member that a relay tells its loads
 *
 * The load it answers: the leader is lost, frozen or cut off while much is
 * asked for.  Sums need no leader, only that the relays agree on who sums: the
 * leader where there is one, else the first by address of those heard.
 *
 * Return: its index, or @count where none can be reached.
 */
uint32_t loads_choose_member (const struct loads_member *members,
			      uint32_t count, uint64_t now_ms);

#endif
