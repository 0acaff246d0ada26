#ifndef DH_H1SRV_PRIV_H
#define DH_H1SRV_PRIV_H

#include "h1srv.h"

/*
 * Shared by the files of the server.
 */

enum h1srv_state {
	CONN_HEAD,   /* waits for a head, or for the rest of it */
	CONN_BODY,   /* waits for the rest of a body */
	CONN_BUSY,   /* its request is with the owner */
	CONN_ENDING, /* closes once the answer is written */
	CONN_LINGER, /* the answer is written; the client is to close */
};

/**
 * struct h1srv_conn - a connection
 * @head: of the running request
 * @to_head: its method is HEAD, so that its answer has no body
 * @body_bytes: of the request that arrives; NULL: none
 * @body_len: bytes of the body, also while the owner has it
 * @window_len: @body_len when the limit on its time was started
 * @timed_since_ms: when the state began that @tmr limits
 * @answered_ms: when the owner ended the last answer
 * @blocked: the next request is not read until answers are
 * @must_end: it exceeds a bound, and is closed in the next turn
 * @unread: bytes of answers when their reader was last seen to read
 * @reading: conn_read() is on the stack
 */
struct h1srv_conn {
	struct h1srv *srv;
	struct sio io;
	struct quota_conn quota;
	enum h1srv_state state;
	struct tmr tmr;
	uint64_t timed_since_ms;
	uint64_t answered_ms;
	GString *head;
	bool to_head;
	GByteArray *body_bytes;
	uint32_t body_len;
	uint32_t window_len;
	size_t unread;
	struct h1_body body;
	bool close;
	bool head_timed;
	bool blocked;
	bool must_end;
	bool reading;
	bool dead;
	void *data;
};

/** h1srv_conn_new() - take over a connection; false where the quota refuses it
 */
bool h1srv_conn_new (struct h1srv *s, h2o_socket_t *sock);

/** h1srv_conn_bury() - free a closed connection */
void h1srv_conn_bury (void *data);

/** h1srv_count_output() - count answers that wait; @progress: the client took
 * some.  Return: false where the connection must end */
bool h1srv_count_output (struct h1srv_conn *c, bool progress);

/** h1srv_conn_close() - close a connection; @reset: by a reset */
void h1srv_conn_close (struct h1srv_conn *c, bool reset);

/** h1srv_conn_ended() - tell the owner that the client left, and close */
void h1srv_conn_ended (const char *why, void *ctx);

/** h1srv_begin_refusal() - prepare to answer a request that has not arrived
 * whole */
void h1srv_begin_refusal (struct h1srv_conn *c);

/** h1srv_on_accept() - take all connections that wait at the listener */
void h1srv_on_accept (h2o_socket_t *listener, const char *why);

#endif
