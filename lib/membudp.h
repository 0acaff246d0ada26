#ifndef DH_MEMBUDP_H
#define DH_MEMBUDP_H

#include <netinet/in.h>

#include <h2o.h>

#include "memb.h"

/*
 * Membership over UDP on an h2o loop: a socket and a timer around struct memb.
 */

/**
 * struct membudp_self - what this process says of itself
 * @name: its instance name
 * @domain: its failure domain
 * @incarnation: larger after each start, not 0
 * @cluster_key: authenticates datagrams
 * @seed: of the jitter and the order of probes
 */
struct membudp_self {
	const char *name;
	const char *domain;
	uint64_t incarnation;
	const uint8_t *cluster_key;
	uint32_t seed;
};

/** struct membudp_ops - what the owner is told; see struct memb_ops */
struct membudp_ops {
	void (*changed) (const struct memb_peer *p, enum memb_state was,
			 void *ctx);
};

struct membudp;

/**
 * membudp_new() - open the socket and start
 * @self: copied
 * @addr: where; port 0 lets the kernel choose
 * @ops: must outlive it
 * @e: ERR_IO with the cause
 *
 * Return: NULL where the socket cannot be had.
 */
struct membudp *membudp_new (h2o_loop_t *loop, const struct membudp_self *self,
			     const struct sockaddr_in *addr,
			     const struct membudp_ops *ops, void *ctx,
			     struct err *e);

/** membudp_free() - stop and close; says nothing to anybody */
void membudp_free (struct membudp *u);

/** membudp_set_peers() - take the instances from an inventory */
void membudp_set_peers (struct membudp *u, const struct inv *inv);

/** membudp_listed() - see memb_listed() */
void membudp_listed (struct membudp *u, const char *name,
		     enum memb_listed listed);

/** membudp_leave() - see memb_leave() */
void membudp_leave (struct membudp *u);

/** membudp_view() - what is known; valid until the loop runs again */
const struct memb *membudp_view (const struct membudp *u);

/** membudp_port() - the port it listens on */
uint16_t membudp_port (const struct membudp *u);

/** membudp_bytes_sent() - bytes sent, without headers of IP and UDP */
uint64_t membudp_bytes_sent (const struct membudp *u);

#endif
