#ifndef DH_FRAME_H
#define DH_FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

/*
 * Frames between our own processes: a 4-byte length, a 16-byte keyed hash
 * (BLAKE2b over direction, sequence number and the rest), a 1-byte kind and a
 * msgpack body (see msg.h).  The hash key of a connection is derived from the
 * cluster key and both sides' random nonces, so a stranger's, altered,
 * replayed or reordered frame ends the connection.
 */

#define FRAME_VERSION 1
#define FRAME_MAX_BYTES (8U << 20)
#define FRAME_MAC_BYTES 16
#define FRAME_KEY_BYTES 32
#define FRAME_NONCE_BYTES 16
#define FRAME_HEAD_BYTES (4 + FRAME_MAC_BYTES + 1)

/** enum frame_kind - every kind of frame; numbers are never reused */
enum frame_kind {
	FRAME_HELLO = 1,
	/* control member to control member: raft messages, member status */
	FRAME_RAFT = 10,
	FRAME_MEMBER_STATUS = 11,
	FRAME_MEMBER_LOAD = 12,
	/* entry to control member */
	FRAME_CONF_SUBSCRIBE = 20,
	FRAME_CONF_UPDATE = 21,
	FRAME_CONF_CONFIRM = 22,
	FRAME_COMMAND = 23, /* a state machine command to commit */
	FRAME_COMMAND_REPLY = 24,
	FRAME_USAGE = 25,
	FRAME_USAGE_ACK = 26,
	/* entry to entry */
	FRAME_KEY_WITHDRAW = 41,
	FRAME_KEY_PARTS = 42,
	FRAME_STRIKES = 46,
	FRAME_USAGE_MIRROR = 47,
	FRAME_CONF_PULL = 48,
	FRAME_KEY_DIGEST = 49,
	/* 40 and 43 to 45 were leases in another form */
	FRAME_LEASE_BEAT = 50,
	FRAME_LEASE_ASK = 51,
	FRAME_LEASE_GRANT = 52,
	FRAME_LEASE_OFFER = 53,
	FRAME_PART_ASK = 60,
	FRAME_PART_GRANT = 61,
	/* relays and the members of their group */
	FRAME_GROUP_JOIN = 30,
	FRAME_GROUP_STATE = 31,
	FRAME_GROUP_ASK = 32,
	FRAME_GROUP_PLAN = 33,
	FRAME_GROUP_LIST = 34,
	FRAME_GROUP_REPORT = 35,
	FRAME_GROUP_LOAD = 36,   /* relay to leader */
	FRAME_GROUP_OTHERS = 37, /* leader to relay */
	FRAME_GROUP_BLAME = 38,  /* both ways */
	FRAME_GROUP_CHUNK = 39,
	FRAME_GROUP_ROLLOUTS = 62,       /* member to relay */
	FRAME_GROUP_ROLLOUT_REPORT = 63, /* relay to leader */
};

/** FRAME_KINDS - every kind is a lower number */
#define FRAME_KINDS 64

/**
 * frame_print_sent() - append what links sent, by kind, as metrics
 * @name: of the metric
 * @bytes: FRAME_KINDS of them
 */
void frame_print_sent (const char *name, const uint64_t *bytes, GString *out);

/** frame_kind_name() - "lease_ask", ...; NULL where there is no such kind */
const char *frame_kind_name (uint32_t kind);

/**
 * struct frame_state - one direction of a connection
 * @key: the connection's hash key
 * @dir: 0 from the connecting side, 1 from the accepting side
 * @seq: frames so far
 */
struct frame_state {
	uint8_t key[FRAME_KEY_BYTES];
	uint8_t dir;
	uint64_t seq;
};

/**
 * frame_state_init() - derive a connection's key
 * @cluster_key: the key all our processes share
 * @nonce_c: the connecting side's nonce
 * @nonce_s: the accepting side's nonce
 * @dir: the direction that @s is for
 */
void frame_state_init (struct frame_state *s,
		       const uint8_t cluster_key[FRAME_KEY_BYTES],
		       const uint8_t nonce_c[FRAME_NONCE_BYTES],
		       const uint8_t nonce_s[FRAME_NONCE_BYTES], uint8_t dir);

/**
 * frame_seal() - write the head of a frame
 * @s: the sending direction; its count goes up
 * @kind: the frame's kind
 * @body: the body
 * @len: its length in bytes, at most FRAME_MAX_BYTES
 * @head: filled in
 */
void frame_seal (struct frame_state *s, uint8_t kind, const void *body,
		 size_t len, uint8_t head[FRAME_HEAD_BYTES]);

/**
 * frame_open() - read one frame from the front of a buffer
 * @s: the receiving direction; its count goes up with each frame
 * @buf: what has arrived
 * @len: its length in bytes
 * @kind: the frame's kind
 * @body: where its body starts in @buf
 * @body_len: the body's length in bytes
 * @e: ERR_PROTOCOL on a length out of bounds, ERR_AUTH on a wrong hash
 *
 * Return: bytes used; 0 where more must arrive; -1 on an error, after which
 * the connection is closed.
 */
int64_t frame_open (struct frame_state *s, const uint8_t *buf, size_t len,
		    uint8_t *kind, const uint8_t **body, size_t *body_len,
		    struct err *e);

#endif
