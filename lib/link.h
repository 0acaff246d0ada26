#ifndef DH_LINK_H
#define DH_LINK_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "err.h"
#include "frame.h"
#include "msg.h"
#include "tmr.h"

/*
 * Frame connections on an h2o loop.  A struct link is one connection.  The
 * connecting side connects again by itself, with growing and jittered pauses;
 * an accepted link ends with its connection.
 */

#define LINK_NAME_BYTES 48
#define LINK_QUEUE_MAX_BYTES (16U << 20)

struct link;

/**
 * struct link_ops - what the owner of links is told
 * @up: hellos were exchanged; link_peer_name() is known from here on
 * @frame: a frame arrived; @body is valid during the call only
 * @down: the connection ended.  An accepted link is freed after this call.
 */
struct link_ops {
	void (*up) (struct link *l, void *ctx);
	void (*frame) (struct link *l, uint8_t kind, const uint8_t *body,
		       size_t len, void *ctx);
	void (*down) (struct link *l, const char *why, void *ctx);
};

/**
 * struct link_self - what this process says of itself in a hello
 * @name: its instance name
 * @role: "entry", "control" or "client"
 * @incarnation: a number that is larger after each start
 * @cluster_key: the key all our processes share
 * @from: connecting links leave from this address; 0: the kernel chooses
 * @sent_bytes: adds up what all its links sent, by kind; FRAME_KINDS of
 *	them, or NULL
 */
struct link_self {
	char name[LINK_NAME_BYTES];
	char role[16];
	uint64_t incarnation;
	uint8_t cluster_key[FRAME_KEY_BYTES];
	struct in_addr from;
	uint64_t *sent_bytes;
};

/** struct link_server - a listening address and its accepted links */
struct link_server;

/**
 * link_connect() - make a connecting link and start it
 * @loop: the loop
 * @self: must outlive the link
 * @addr: the peer's address
 * @ops: callbacks; must outlive the link
 * @ctx: passed to them
 *
 * Return: the link, never NULL; end it with link_free().
 */
struct link *link_connect (h2o_loop_t *loop, const struct link_self *self,
			   const struct sockaddr_in *addr,
			   const struct link_ops *ops, void *ctx);

/** link_free() - close @l and free it; no callback follows */
void link_free (struct link *l);

/** link_is_up() - whether hellos were exchanged and the link stands */
bool link_is_up (const struct link *l);

/** link_peer_name() - the peer's instance name; "" before it is known */
const char *link_peer_name (const struct link *l);

/** link_peer_role() - the peer's role; "" before it is known */
const char *link_peer_role (const struct link *l);

/** link_peer_incarnation() - the peer's incarnation; 0 before it is known */
uint64_t link_peer_incarnation (const struct link *l);

/** link_set_data() - attach the owner's own pointer */
void link_set_data (struct link *l, void *data);

/** link_data() - the pointer attached last, or NULL */
void *link_data (const struct link *l);

/**
 * link_send() - send one message
 * @l: the link
 * @kind: the frame's kind
 * @fields: the message's table
 * @obj: the message
 *
 * Return: false where the link is down or its queue is full; nothing was
 * queued then.  True does not mean that it arrived.
 */
bool link_send (struct link *l, uint8_t kind, const struct msg_field *fields,
		const void *obj);

/** link_send_raw() - as link_send(), with a body already packed */
bool link_send_raw (struct link *l, uint8_t kind, const void *body, size_t len);

/** link_close() - drop the connection; a connecting link tries again later */
void link_close (struct link *l, const char *why);

/**
 * link_received_ms() - when bytes last arrived, on the clock of tmr_now_ms()
 *
 * Part of a frame counts: a large one on a narrow link takes long.  So do bytes
 * that wait to be read: a pause of the own loop is not the peer's silence.
 */
uint64_t link_received_ms (const struct link *l);

/** link_bytes_sent() - bytes handed to sockets since the link was made */
uint64_t link_bytes_sent (const struct link *l);

/**
 * link_listen() - accept links
 * @addr: where; port 0 lets the kernel choose
 * @e: ERR_IO with the cause
 *
 * Return: the server, or NULL.
 */
struct link_server *link_listen (h2o_loop_t *loop, const struct link_self *self,
				 const struct sockaddr_in *addr,
				 const struct link_ops *ops, void *ctx,
				 struct err *e);

/** link_server_port() - the port it listens on */
uint16_t link_server_port (const struct link_server *s);

/** link_server_free() - stop listening and close all accepted links */
void link_server_free (struct link_server *s);

/**
 * link_addr_parse() - "127.0.0.1:8080" into @out
 * @e: ERR_SETTINGS; names are refused, only IP numbers are taken
 */
bool link_addr_parse (const char *s, struct sockaddr_in *out, struct err *e);

/**
 * link_listen_fd() - a TCP socket that listens
 * @addr: where; port 0 lets the kernel choose
 * @backlog: connections that wait to be accepted
 * @port: the port it listens on
 * @e: ERR_IO with the cause
 *
 * Return: the descriptor, or -1.
 */
int link_listen_fd (const struct sockaddr_in *addr, int backlog, uint16_t *port,
		    struct err *e);

/**
 * link_connect_fd() - a TCP socket that is connecting
 * @to: the peer's address
 * @from: our own; 0 lets the kernel choose
 * @e: ERR_IO with the cause
 *
 * Return: the descriptor, which does not block, or -1.
 */
int link_connect_fd (const struct sockaddr_in *to, struct in_addr from,
		     struct err *e);

#endif
