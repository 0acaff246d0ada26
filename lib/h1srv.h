#ifndef DH_H1SRV_H
#define DH_H1SRV_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>

#include "err.h"
#include "h1.h"
#include "quota.h"
#include "sio.h"
#include "tmr.h"

/*
 * An HTTP/1.1 server on h2o's loop.  A request is handed over once its body
 * has arrived; its connection tells at once when the client leaves.  One
 * request runs on a connection at a time.
 */

struct h1srv_conn;

/**
 * struct h1srv_ops - the server's owner
 * @request: a request arrived; @h is valid during the call, and so is @body,
 *	unless the owner takes a reference; the body must not change.  The
 *	request is answered by h1srv_answer(), or by h1srv_write() and
 *	h1srv_end()
 * @gone: the client left before its request was answered; the connection
 *	must not be used after the call
 */
struct h1srv_ops {
	void (*request) (struct h1srv_conn *c, const struct h1_head *h,
			 GByteArray *body, void *ctx);
	void (*gone) (struct h1srv_conn *c, void *ctx);
};

/** struct h1srv_limits - what a client may do */
struct h1srv_limits {
	uint32_t max_header_bytes;
	uint32_t max_body_bytes;
	uint32_t header_timeout_ms; /* for a request to arrive whole */
	uint32_t idle_timeout_ms;   /* between two requests */
};

/** struct h1srv - a listener; the caller owns the memory */
struct h1srv {
	h2o_loop_t *loop;
	h2o_socket_t *listener;
	const struct h1srv_ops *ops;
	void *ctx;
	struct h1srv_limits limits;
	GPtrArray *conns;  /* of struct h1srv_conn * */
	GPtrArray *graves; /* closed ones, freed by @sweep */
	struct tmr sweep;
	struct tmr accept_timer; /* while descriptors are used up */
	struct quota *quota;     /* @own_quota, unless the owner shares one */
	struct quota own_quota;
	bool is_reserved;      /* may use the quota's reserved connections */
	uint32_t busy;         /* of them, with a request */
	const char *id_header; /* names requests in log lines; NULL: none */
	uint16_t port;
	bool leaving;
};

/**
 * h1srv_init() - listen at @addr; port 0 lets the kernel choose
 * @e: ERR_IO with the cause
 */
bool h1srv_init (struct h1srv *s, h2o_loop_t *loop,
		 const struct sockaddr_in *addr,
		 const struct h1srv_limits *limits, const struct h1srv_ops *ops,
		 void *ctx, struct err *e);

/**
 * h1srv_leave() - have clients go elsewhere
 *
 * Each answer from now on closes its connection.
 */
void h1srv_leave (struct h1srv *s);

/** h1srv_close_listener() - take no new connections; those that the kernel has
 * accepted are served */
void h1srv_close_listener (struct h1srv *s);

/** h1srv_close_idle() - close the connections that have no request, not even
 * one that is yet to be read, and whose last answer is written */
void h1srv_close_idle (struct h1srv *s);

/** h1srv_has_requests() - whether a request is unanswered, or a part of one has
 * arrived */
bool h1srv_has_requests (const struct h1srv *s);

/**
 * h1srv_refuse_partial() - refuse the requests of which a part was read
 * @refuse: answers one by h1srv_answer(); @h is its head, NULL where that has
 *	not arrived whole either.  The connection ends with the answer.
 */
void h1srv_refuse_partial (struct h1srv *s,
			   void (*refuse) (struct h1srv_conn *c,
					   const struct h1_head *h, void *ctx),
			   void *ctx);

/** h1srv_has_output() - whether an answer, or a part of one, is to be written,
 * or to be read by a client before its connection is closed */
bool h1srv_has_output (const struct h1srv *s);

/** h1srv_finish() - stop listening and close all connections */
void h1srv_finish (struct h1srv *s);

/** h1srv_set_data() - attach the owner's pointer to the running request */
void h1srv_set_data (struct h1srv_conn *c, void *data);

/** h1srv_data() - the pointer attached last; NULL at each new request */
void *h1srv_data (const struct h1srv_conn *c);

/** h1srv_closes() - whether the connection ends with the answer, which must
 * then say so */
bool h1srv_closes (const struct h1srv_conn *c);

/** h1srv_write() - send bytes of an answer, its head included */
void h1srv_write (struct h1srv_conn *c, const void *data, size_t len);

/** h1srv_pending() - bytes of the answer that the client has not taken */
size_t h1srv_pending (const struct h1srv_conn *c);

/**
 * h1srv_end() - the answer is complete
 * @whole: false where it was cut; the connection is reset then, so that it
 *	does not look complete
 */
void h1srv_end (struct h1srv_conn *c, bool whole);

/**
 * h1srv_answer() - send a whole answer
 * @headers: further header lines, each ended by CRLF, or NULL
 * @body: left out where the method or the status allows none
 */
void h1srv_answer (struct h1srv_conn *c, int status, const char *headers,
		   const void *body, size_t len);

/** h1srv_head() - append an answer's status line, @headers, and what the
 * connection asks for; the empty line is not appended */
void h1srv_head (struct h1srv_conn *c, int status, const char *headers,
		 GString *out);

#endif
