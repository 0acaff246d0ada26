#ifndef DH_HTTPC_H
#define DH_HTTPC_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>
#include <h2o/http1client.h>

#include "err.h"
#include "tmr.h"

/*
 * An HTTP/1.1 client by h2o.  A struct httpc_peer is one server and its
 * kept-alive connections; a struct httpc is one exchange.  The answer comes
 * in pieces as it arrives.
 */

#define HTTPC_HEADERS_MAX 32

struct httpc;

/** struct httpc_peer - a server; the caller owns the memory */
struct httpc_peer {
	h2o_socketpool_t pool;
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
	h2o_loop_t *loop;
	struct sockaddr_in addr;
	char host[32];
	struct httpc *current; /* whose callback runs */
	struct httpc *dead;    /* ended, to be freed */
};

/**
 * httpc_peer_init() - prepare a server's pool
 * @io_timeout_ms: longest silence on a connection
 */
void httpc_peer_init (struct httpc_peer *p, h2o_loop_t *loop,
		      const struct sockaddr_in *addr, uint32_t io_timeout_ms);

/** httpc_peer_finish() - release it; no exchange may stand */
void httpc_peer_finish (struct httpc_peer *p);

/** struct httpc_header - one header */
struct httpc_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

/**
 * struct httpc_ops - what an exchange tells its owner
 * @head: status, from 200 to 599, and headers arrived
 * @body: a piece of the body arrived
 * @done: the exchange ended, after which it must not be used.  @e is NULL
 *	where the answer is whole: complete by its length or chunks, or ended
 *	by a clean close where it had neither.  ERR_IO: no connection was
 *	made, so nothing was sent.  ERR_PROTOCOL: the status is invalid.
 */
struct httpc_ops {
	void (*head) (struct httpc *c, int status,
		      const struct httpc_header *headers, size_t count,
		      void *ctx);
	void (*body) (struct httpc *c, const char *data, size_t len, void *ctx);
	void (*done) (struct httpc *c, const struct err *e, void *ctx);
};

/**
 * struct httpc_req - a request; all of it is copied
 * @method: "GET", ...
 * @path: with its query
 * @headers: without Host, Content-Length and Connection
 * @body: NULL where there is none
 * @timeout_ms: for the whole exchange, 0 for none
 * @fresh: use a new connection and close it after the answer
 * @user_timeout_ms: TCP_USER_TIMEOUT for the connection, 0 for the default
 * @may_send: asked immediately before the first byte is written; false ends
 *	the exchange with ERR_CANCELLED and nothing sent.  May be NULL.
 * @may_send_ctx: passed to it
 */
struct httpc_req {
	const char *method;
	const char *path;
	const struct httpc_header *headers;
	size_t header_count;
	const void *body;
	size_t body_len;
	uint64_t timeout_ms;
	bool fresh;
	uint32_t user_timeout_ms;
	bool (*may_send) (void *ctx);
	void *may_send_ctx;
};

/**
 * httpc_start() - begin an exchange
 *
 * @ops->done is called once, never before this returns, unless
 * httpc_cancel() is called first.
 *
 * Return: the exchange, never NULL.
 */
struct httpc *httpc_start (struct httpc_peer *p, const struct httpc_req *req,
			   const struct httpc_ops *ops, void *ctx);

/** httpc_cancel() - end an exchange and close its connection; no callback */
void httpc_cancel (struct httpc *c);

/**
 * httpc_sent() - whether any byte of the request may have left
 *
 * Where it is false, the server did not run the request.
 */
bool httpc_sent (const struct httpc *c);

/** httpc_pause() - stop reading the answer; httpc_resume() reads on */
void httpc_pause (struct httpc *c);

/** httpc_resume() - see httpc_pause() */
void httpc_resume (struct httpc *c);

/**
 * struct httpc_reply - a whole answer, gathered
 * @status: HTTP status, 0 where none came
 * @body: terminated; free with g_free()
 * @len: its length in bytes
 */
struct httpc_reply {
	int status;
	char *body;
	size_t len;
};

typedef void (*httpc_reply_cb) (const struct httpc_reply *r,
				const struct err *e, void *ctx);

/**
 * httpc_fetch() - an exchange whose whole answer is gathered
 * @max_bytes: a longer body is ERR_TOO_LARGE
 * @cb: called once; @r and @e are valid during the call.  The exchange is
 *	freed after it.
 */
struct httpc *httpc_fetch (struct httpc_peer *p, const struct httpc_req *req,
			   size_t max_bytes, httpc_reply_cb cb, void *ctx);

#endif
