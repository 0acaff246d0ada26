#ifndef DH_MEMB_PRIV_H
#define DH_MEMB_PRIV_H

#include "memb.h"

/*
 * What the files of membership give each other.
 */

/** enum memb_type - kinds of datagram; numbers are never reused */
enum memb_type {
	MEMB_PING = 1,
	MEMB_ACK = 2,
	MEMB_ASK = 3,  /* probe @about for me */
	MEMB_NEWS = 4, /* no answer wanted */
};

/** struct memb_update - the state of one instance */
struct memb_update {
	char name[INV_NAME_BYTES];
	uint8_t state;
	uint64_t incarnation;
};

/**
 * struct memb_msg - one datagram
 * @type: enum memb_type
 * @seq: of the probe; an answer repeats it
 * @from: the sender
 * @state: its own state: alive or left
 * @incarnation: its own
 * @part: one part of what the sender believes, drawn at random, out of
 * @parts, by a hash of the names; and
 * @view: a digest of this part
 * @about: for MEMB_ASK and the answer to it: whom the probe is about
 * @domain: one failure domain, and
 * @age_ms: how long ago the sender heard of it
 * @want: the first instance that the sender has not heard of, or ""
 * @updates: of struct memb_update
 */
struct memb_msg {
	uint8_t type;
	uint32_t seq;
	char from[INV_NAME_BYTES];
	uint8_t state;
	uint64_t incarnation;
	uint16_t part;
	uint16_t parts;
	uint32_t view;
	char about[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	uint32_t age_ms;
	char want[INV_NAME_BYTES];
	struct msg_list updates;
};

/**
 * memb_send() - send one message, with news as far as it holds them
 * @type: its kind
 * @seq: its number
 * @about: see struct memb_msg; may be NULL
 */
void memb_send (struct memb *m, struct memb_peer *to, enum memb_type type,
		uint32_t seq, const char *about, uint64_t now_ms);

/** memb_accuse() - probe one that is suspected, with no other news */
void memb_accuse (struct memb *m, struct memb_peer *to, uint64_t now_ms);

/**
 * memb_answer() - answer a probe
 *
 * Where the views differ, the answer carries a part of the whole view.
 */
void memb_answer (struct memb *m, struct memb_peer *to,
		  const struct memb_msg *ping, uint64_t now_ms);

/**
 * memb_open() - check and read a datagram
 * @zone: arena for its lists
 */
bool memb_open (const struct memb *m, const void *data, size_t len,
		struct memb_msg *msg, msgpack_zone *zone, struct err *e);

/** memb_lookup() - as memb_find() */
struct memb_peer *memb_lookup (const struct memb *m, const char *name);

/** memb_shuffle() - the own domain's peers, in an order drawn anew */
void memb_shuffle (struct memb *m);

/** memb_suspicion_ms() - how long a suspect has to answer */
uint32_t memb_suspicion_ms (const struct memb *m, const struct memb_peer *p);

/**
 * memb_set_state() - record a peer's state, spread it and tell the owner
 * @why: for the log
 */
void memb_set_state (struct memb *m, struct memb_peer *p, enum memb_state state,
		     uint64_t incarnation, const char *why, uint64_t now_ms);

/** memb_news() - there is something that others should hear at once */
void memb_news (struct memb *m, uint64_t now_ms);

/** memb_domain_of() - the record of another domain, or NULL */
struct memb_domain *memb_domain_of (struct memb *m, const char *name);

#endif
