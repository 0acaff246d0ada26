#ifndef DH_HTTPD_H
#define DH_HTTPD_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "err.h"
#include "quota.h"
#include "tmr.h"

/*
 * An HTTP/1.1 and HTTP/2 listener by h2o, with or without TLS.  One handler
 * takes every request; it may answer at once or later.
 */

/**
 * struct httpd_conf - what a listener needs
 * @addr: where; port 0 lets the kernel choose
 * @max_body_bytes: larger request bodies get 413 from h2o
 * @tls_cert: PEM file, or NULL for plain text
 * @tls_key: PEM file
 * @max_connections: further ones wait in the kernel; 0 for the default
 * @quota: bounds what clients make the process hold, and may be shared by its
 *	listeners; NULL: the listener has its own, with the defaults
 * @io_timeout_ms: idle time after which a connection is closed
 * @handler: called for each request whose body has arrived whole; as h2o's
 *	on_req: 0 where it took the request, -1 for 404
 * @ctx: passed to it
 */
struct httpd_conf {
	struct sockaddr_in addr;
	uint32_t max_body_bytes;
	const char *tls_cert;
	const char *tls_key;
	uint32_t io_timeout_ms;
	uint32_t max_connections;
	struct quota *quota;
	int (*handler) (h2o_req_t *req, void *ctx);
	void *ctx;
};

#define HTTPD_CONNECTIONS_DEFAULT 10000

/** struct httpd - a listener; the caller owns the memory */
struct httpd {
	h2o_globalconf_t global;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_socket_t *listener;
	h2o_loop_t *loop;
	struct httpd_conf conf;
	h2o_socket_cb on_accept;
	uint32_t connections;
	GPtrArray *conns; /* of struct httpd_conn * */
	struct quota own_quota;
	struct tmr sample_timer;
	int statm_fd; /* what the process holds */
	uint16_t port;
};

/**
 * httpd_init() - listen
 * @e: ERR_IO or ERR_SETTINGS with the cause
 */
bool httpd_init (struct httpd *s, h2o_loop_t *loop,
		 const struct httpd_conf *conf, struct err *e);

/**
 * httpd_reload_tls() - read certificate and key again
 * @e: ERR_SETTINGS; the old ones stay in use
 *
 * Connections that stand keep what they were made with.
 */
bool httpd_reload_tls (struct httpd *s, struct err *e);

/** httpd_close_listener() - accept no more connections */
void httpd_close_listener (struct httpd *s);

/** httpd_shutdown() - close idle connections, let busy ones finish */
void httpd_shutdown (struct httpd *s);

/** httpd_connections() - connections that stand */
uint32_t httpd_connections (const struct httpd *s);

/** httpd_finish() - release @s; no connection may stand */
void httpd_finish (struct httpd *s);

/** httpd_is_head() - whether the request's method is HEAD */
bool httpd_is_head (const h2o_req_t *req);

/**
 * httpd_send() - h2o_send() of one buffer, for all answers
 * @buf: left out where the method or the status allows no body; h2o sends it
 *	whatever they are
 */
void httpd_send (h2o_req_t *req, h2o_iovec_t *buf, h2o_send_state_t state);

/**
 * httpd_answer() - answer a request whole
 * @status: HTTP status
 * @type: content type
 * @body: copied
 * @len: its length in bytes
 */
void httpd_answer (h2o_req_t *req, int status, const char *type,
		   const void *body, size_t len);

/** httpd_answer_json() - answer with a string of JSON */
void httpd_answer_json (h2o_req_t *req, int status, const char *json);

/**
 * httpd_header() - a request header
 * @name: lower case
 *
 * Return: its value, or one with a NULL base.
 */
h2o_iovec_t httpd_header (h2o_req_t *req, const char *name);

/** httpd_add_header() - add a header to the answer; @value is copied */
void httpd_add_header (h2o_req_t *req, const char *name, const char *value);

/** httpd_bearer_is() - whether "authorization: Bearer @token" is presented;
 * compared in constant time */
bool httpd_bearer_is (h2o_req_t *req, const char *token);

/** httpd_path_is() - whether the path without its query equals @path */
bool httpd_path_is (h2o_req_t *req, const char *path);

/**
 * httpd_query() - one value of the query, taken as it stands
 * @name: its name
 * @out: receives it, terminated
 * @size: of @out in bytes
 *
 * Return: false where it is missing or too long.
 */
bool httpd_query (h2o_req_t *req, const char *name, char *out, size_t size);

#endif
