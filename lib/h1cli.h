#ifndef DH_H1CLI_H
#define DH_H1CLI_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "h1.h"
#include "sio.h"
#include "tmr.h"

/*
 * An HTTP/1.1 client on h2o's loop.  A struct h1cli_host is one server and
 * its kept connections; a struct h1cli is one exchange.  Bytes on an idle
 * connection, and answers to other requests, belong to nobody: the first
 * close the connection; the second are skipped, and the connection is closed
 * after our answer.  Where it can't be told whose answer it is, the exchange
 * ends as H1CLI_BAD, and the request may have run.
 */

struct h1cli;
struct h1cli_conn;

/** struct h1cli_pool - bounds the connections of several hosts
 * @max: above which the one that is idle for longest is closed; those in use
 *	may exceed it
 */
struct h1cli_pool {
	GQueue idle; /* of struct h1cli_conn *, idle for longest first */
	uint32_t conns;
	uint32_t max;
};

/** struct h1cli_host - a server; the caller owns the memory */
struct h1cli_host {
	h2o_loop_t *loop;
	struct sockaddr_in addr;
	struct in_addr from;
	struct h1cli_pool *pool; /* set by the owner; NULL: no bound */
	GQueue idle;             /* of struct h1cli_conn *, used last first */
	uint32_t conns;          /* open, idle or not */
	uint64_t opened;         /* connections made since the start */
	GPtrArray *calls;        /* of struct h1cli * */
	GPtrArray *graves;       /* closed connections, freed by @sweep */
	struct tmr sweep;
};

/** enum h1cli_end - how an exchange ended */
enum h1cli_end {
	H1CLI_WHOLE,  /* the answer is complete */
	H1CLI_UNSENT, /* no connection was made: no byte left */
	H1CLI_BROKEN, /* the connection ended before the answer did */
	H1CLI_BAD,    /* what came is not an answer to this request */
};

/**
 * struct h1cli_ops - what an exchange tells its owner
 * @head: status and headers arrived; @echoed: the echo header was there
 * @data: a piece of the body arrived
 * @done: the exchange ended and is freed after the call
 * @may_send: asked before the first byte leaves on a new connection; false ends
 *	the exchange as H1CLI_UNSENT.  NULL: it always may
 */
struct h1cli_ops {
	void (*head) (struct h1cli *x, const struct h1_head *h, bool echoed,
		      void *ctx);
	void (*data) (struct h1cli *x, const char *data, size_t len, void *ctx);
	void (*done) (struct h1cli *x, enum h1cli_end end, void *ctx);
	bool (*may_send) (void *ctx);
};

/**
 * struct h1cli_req - a request; all of it but @body is copied
 * @bytes: head, and body unless that is in @body
 * @body: follows @bytes; NULL: nothing does.  It is referenced, and must not
 *	change until the exchange ends
 * @to_head: its method is HEAD
 * @echo_name: header of the answer that repeats @echo_value, or NULL; without
 *	it, an answer to another request can't be told from ours
 * @idle_max_ms: a kept connection is used only if it was idle for less; 0
 *	always makes a new one
 * @connect_ms: limit on making a connection
 * @limits: of the connection while it carries this exchange
 */
struct h1cli_req {
	const char *bytes;
	size_t len;
	GByteArray *body;
	bool to_head;
	const char *echo_name;
	const char *echo_value;
	uint32_t idle_max_ms;
	uint32_t connect_ms;
	struct sio_limits limits;
};

/** h1cli_host_init() - prepare @h; @from: own address, 0: any */
void h1cli_host_init (struct h1cli_host *h, h2o_loop_t *loop,
		      const struct sockaddr_in *addr, struct in_addr from);

/** h1cli_host_finish() - close all connections; calls get no callback */
void h1cli_host_finish (struct h1cli_host *h);

/** h1cli_host_drop_idle() - close the kept connections that are idle */
void h1cli_host_drop_idle (struct h1cli_host *h);

/**
 * h1cli_start() - begin an exchange
 *
 * No callback comes before it returns.  Return: never NULL.
 */
struct h1cli *h1cli_start (struct h1cli_host *h, const struct h1cli_req *req,
			   const struct h1cli_ops *ops, void *ctx);

/** h1cli_cancel() - end an exchange and close its connection; no callback */
void h1cli_cancel (struct h1cli *x);

/** h1cli_sent() - whether a byte of the request may have left */
bool h1cli_sent (const struct h1cli *x);

/** h1cli_refused() - in done(), whether the server's machine refused the
 * connection; any other H1CLI_UNSENT says nothing of the server */
bool h1cli_refused (const struct h1cli *x);

/** h1cli_reused() - whether it runs on a kept connection */
bool h1cli_reused (const struct h1cli *x);

/** h1cli_set_limits() - change the limits of the connection, if it is made */
void h1cli_set_limits (struct h1cli *x, const struct sio_limits *limits);

/** h1cli_pause() - stop reading the answer; h1cli_resume() reads on */
void h1cli_pause (struct h1cli *x);

/** h1cli_resume() - see h1cli_pause() */
void h1cli_resume (struct h1cli *x);

#endif
