/*
 * HTTP exchanges over h2o's client.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>

#include "httpc.h"

/* Idle kept-alive connections are closed after this. */
#define POOL_IDLE_MS 5000

/* h2o reads a head without end for as long as it comes. */
#define HEAD_MAX_BYTES (64U << 10)
#define HEAD_CHECK_MS 10
#define RECEIVE_BUFFER_BYTES (256 << 10)

/* Status codes of a final answer.  h2o's client reads over 1xx heads, but 101,
 * and takes any other number. */
#define STATUS_MIN 200
#define STATUS_MAX 599

struct httpc {
	struct httpc_peer *peer;
	const struct httpc_ops *ops;
	void *ctx;
	h2o_http1client_t *client;
	GString *request; /* head, then body */
	h2o_iovec_t vec;
	uint32_t user_timeout_ms;
	bool (*may_send) (void *ctx);
	void *may_send_ctx;
	bool sent;
	bool to_head;
	bool chunked; /* the answer */
	bool paused;
	h2o_socket_cb read_cb; /* what h2o reads with, while paused */
	struct tmr deadline;
	bool has_deadline;
	struct tmr head_check; /* runs until the head has arrived */
	struct httpc *next_dead;
	/* httpc_fetch() */
	GString *gathered;
	size_t max_bytes;
	int status;
	httpc_reply_cb reply_cb;
};

static void
httpc_release (struct httpc *c)
{
	if (c->has_deadline)
		tmr_finish (&c->deadline);
	tmr_finish (&c->head_check);
	g_string_free (c->request, TRUE);
	if (c->gathered != NULL)
		g_string_free (c->gathered, TRUE);
	g_free (c);
}

/* Exchanges that ended inside their own deadline's callback. */
static void
bury (struct httpc_peer *p)
{
	while (p->dead != NULL) {
		struct httpc *c = p->dead;

		p->dead = c->next_dead;
		httpc_release (c);
	}
}

void
httpc_peer_init (struct httpc_peer *p, h2o_loop_t *loop,
		 const struct sockaddr_in *addr, uint32_t io_timeout_ms)
{
	char ip[INET_ADDRSTRLEN];
	struct sockaddr_in sa = *addr;

	memset (p, 0, sizeof *p);
	p->loop = loop;
	p->addr = *addr;
	inet_ntop (AF_INET, &addr->sin_addr, ip, sizeof ip);
	snprintf (p->host, sizeof p->host, "%s:%u", ip, ntohs (addr->sin_port));
	h2o_socketpool_init_by_address (&p->pool, (struct sockaddr *)&sa,
					sizeof sa, 0, SIZE_MAX);
	h2o_socketpool_set_timeout (&p->pool, loop, POOL_IDLE_MS);
	h2o_timeout_init (loop, &p->io_timeout, io_timeout_ms);
	p->ctx.loop = loop;
	p->ctx.io_timeout = &p->io_timeout;
}

void
httpc_peer_finish (struct httpc_peer *p)
{
	bury (p);
	h2o_timeout_dispose (p->loop, &p->io_timeout);
	h2o_socketpool_dispose (&p->pool);
}

static void
httpc_end (struct httpc *c, const struct err *e)
{
	c->client = NULL;
	c->ops->done (c, e, c->ctx);
	httpc_release (c);
}

static void
httpc_fail (struct httpc *c, enum err_kind kind, const char *what,
	    const char *why)
{
	struct err e;

	err_set (&e, kind, "%s %s: %s", what, c->peer->host, why);
	httpc_end (c, &e);
}

/*
 * Whether the answer ended because the connection failed.  h2o takes any end of
 * a body without length for an orderly one.  A read that sees a failure takes
 * the error; an error that is still there came after what was read.
 */
static bool
was_reset (h2o_socket_t *sock)
{
	struct tcp_info info;
	socklen_t size = sizeof info;
	int fd = h2o_socket_get_fd (sock), error = 0;

	if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
	    info.tcpi_state != TCP_CLOSE)
		return false;
	size = sizeof error;
	return getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
	       error == 0;
}

static int
on_body (h2o_http1client_t *client, const char *why)
{
	struct httpc *c = client->data;
	h2o_buffer_t **in = &client->sock->input;

	if (why != NULL && why != h2o_http1client_error_is_eos) {
		httpc_fail (c, ERR_ENDPOINT_LOST, "read from", why);
		return -1;
	}
	if ((*in)->size > 0) {
		struct httpc_peer *p = c->peer;

		p->current = c;
		c->ops->body (c, (*in)->bytes, (*in)->size, c->ctx);
		/* The owner may have cancelled. */
		if (p->current != c)
			return -1;
		p->current = NULL;
		h2o_buffer_consume (in, (*in)->size);
	}
	if (why == NULL)
		return 0;
	/* h2o takes an end between two chunks for the last chunk; no byte came
	 * with it. */
	if (c->chunked && client->sock->bytes_read == 0)
		httpc_fail (c, ERR_ENDPOINT_LOST, "read from", "no last chunk");
	else if (was_reset (client->sock))
		httpc_fail (c, ERR_ENDPOINT_LOST, "read from",
			    "the connection failed");
	else
		httpc_end (c, NULL);
	return 0;
}

static bool
is_text (const char *s, size_t len, const char *text)
{
	return len == strlen (text) && g_ascii_strncasecmp (s, text, len) == 0;
}

/* Whether the body comes in chunks.  h2o refuses other codings, but "identity",
 * which is a body up to the connection's end. */
static bool
is_chunked (const struct st_h2o_header_t *headers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct st_h2o_header_t *h = &headers[i];

		if (is_text (h->name->base, h->name->len,
			     "transfer-encoding") &&
		    is_text (h->value.base, h->value.len, "chunked"))
			return true;
	}
	return false;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *why, int minor, int status,
	 h2o_iovec_t msg, struct st_h2o_header_t *headers, size_t count,
	 int rlen)
{
	struct httpc_header out[HTTPC_HEADERS_MAX];
	struct httpc *c = client->data;
	struct httpc_peer *p = c->peer;
	size_t n = 0;

	(void)minor;
	(void)msg;
	(void)rlen;
	tmr_stop (&c->head_check);
	if (why != NULL && why != h2o_http1client_error_is_eos) {
		httpc_fail (c, ERR_ENDPOINT_LOST, "answer from", why);
		return NULL;
	}
	if (status < STATUS_MIN || status > STATUS_MAX) {
		httpc_fail (c, ERR_PROTOCOL, "answer from", "invalid status");
		return NULL;
	}
	for (size_t i = 0; i < count && n < HTTPC_HEADERS_MAX; i++) {
		out[n].name = headers[i].name->base;
		out[n].name_len = headers[i].name->len;
		out[n].value = headers[i].value.base;
		out[n++].value_len = headers[i].value.len;
	}
	c->chunked = is_chunked (headers, count);
	p->current = c;
	c->ops->head (c, status, out, n, c->ctx);
	if (p->current != c)
		return NULL;
	p->current = NULL;
	if (why == NULL)
		return on_body;
	httpc_end (c, NULL);
	return NULL;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *why, h2o_iovec_t **bufs,
	    size_t *count, int *is_head)
{
	struct httpc *c = client->data;
	int on = 1, buffer_bytes = RECEIVE_BUFFER_BYTES;

	if (why != NULL) {
		httpc_fail (c, ERR_IO, "connect to", why);
		return NULL;
	}
	if (c->may_send != NULL && !c->may_send (c->may_send_ctx)) {
		httpc_fail (c, ERR_CANCELLED, "write to", "forbidden by now");
		return NULL;
	}
	setsockopt (h2o_socket_get_fd (client->sock), IPPROTO_TCP, TCP_NODELAY,
		    &on, sizeof on);
	if (c->user_timeout_ms != 0)
		setsockopt (h2o_socket_get_fd (client->sock), IPPROTO_TCP,
			    TCP_USER_TIMEOUT, &c->user_timeout_ms,
			    sizeof c->user_timeout_ms);
	setsockopt (h2o_socket_get_fd (client->sock), SOL_SOCKET, SO_RCVBUF,
		    &buffer_bytes, sizeof buffer_bytes);
	tmr_start (&c->head_check, HEAD_CHECK_MS);
	c->sent = true;
	c->vec = h2o_iovec_init (c->request->str, c->request->len);
	*bufs = &c->vec;
	*count = 1;
	*is_head = c->to_head;
	return on_head;
}

/* Ends an exchange inside the callback of one of its timers. */
static void
end_by_timer (struct httpc *c, const struct err *e)
{
	if (c->client != NULL)
		h2o_http1client_cancel (c->client);
	c->client = NULL;
	tmr_stop (&c->head_check);
	if (c->has_deadline)
		tmr_stop (&c->deadline);
	c->next_dead = c->peer->dead;
	c->peer->dead = c;
	c->ops->done (c, e, c->ctx);
}

static void
on_deadline (void *ctx)
{
	struct httpc *c = ctx;
	struct err e;

	err_set (&e, ERR_TIMEOUT, "%s: timed out", c->peer->host);
	end_by_timer (c, &e);
}

static void
on_head_check (void *ctx)
{
	struct httpc *c = ctx;
	struct err e;

	if (c->client == NULL || c->client->sock == NULL)
		return;
	if (c->client->sock->input->size <= HEAD_MAX_BYTES) {
		tmr_start (&c->head_check, HEAD_CHECK_MS);
		return;
	}
	err_set (&e, ERR_ENDPOINT_LOST, "answer from %s: head of over %u bytes",
		 c->peer->host, HEAD_MAX_BYTES);
	end_by_timer (c, &e);
}

static GString *
build (const struct httpc_peer *p, const struct httpc_req *r)
{
	GString *s = g_string_sized_new (512 + r->body_len);

	g_string_append_printf (s, "%s %s HTTP/1.1\r\nhost: %s\r\n", r->method,
				r->path, p->host);
	for (size_t i = 0; i < r->header_count; i++) {
		const struct httpc_header *h = &r->headers[i];

		g_string_append_len (s, h->name, (gssize)h->name_len);
		g_string_append (s, ": ");
		g_string_append_len (s, h->value, (gssize)h->value_len);
		g_string_append (s, "\r\n");
	}
	if (r->fresh)
		g_string_append (s, "connection: close\r\n");
	if (r->body != NULL || strcmp (r->method, "GET") != 0)
		g_string_append_printf (s, "content-length: %zu\r\n",
					r->body_len);
	g_string_append (s, "\r\n");
	if (r->body_len > 0)
		g_string_append_len (s, r->body, (gssize)r->body_len);
	return s;
}

static void
httpc_connect (struct httpc *c, bool fresh)
{
	struct httpc_peer *p = c->peer;
	char ip[INET_ADDRSTRLEN];

	if (!fresh) {
		h2o_http1client_connect_with_pool (&c->client, c, &p->ctx,
						   &p->pool, on_connect);
		return;
	}
	inet_ntop (AF_INET, &p->addr.sin_addr, ip, sizeof ip);
	h2o_http1client_connect (&c->client, c, &p->ctx,
				 h2o_iovec_init (ip, strlen (ip)),
				 ntohs (p->addr.sin_port), 0, on_connect);
}

/* An exchange whose connect fails at once would call back before
 * httpc_start() returns; h2o defers that for a pool and for an IP number. */
static struct httpc *
httpc_new (struct httpc_peer *p, const struct httpc_req *req,
	   const struct httpc_ops *ops, void *ctx)
{
	struct httpc *c = g_new0 (struct httpc, 1);

	bury (p);
	c->peer = p;
	c->ops = ops;
	c->ctx = ctx;
	c->user_timeout_ms = req->user_timeout_ms;
	c->may_send = req->may_send;
	c->may_send_ctx = req->may_send_ctx;
	c->request = build (p, req);
	c->to_head = strcmp (req->method, "HEAD") == 0;
	tmr_init (&c->head_check, p->loop, on_head_check, c);
	if (req->timeout_ms != 0) {
		tmr_init (&c->deadline, p->loop, on_deadline, c);
		tmr_start (&c->deadline, req->timeout_ms);
		c->has_deadline = true;
	}
	return c;
}

struct httpc *
httpc_start (struct httpc_peer *p, const struct httpc_req *req,
	     const struct httpc_ops *ops, void *ctx)
{
	struct httpc *c = httpc_new (p, req, ops, ctx);

	httpc_connect (c, req->fresh);
	return c;
}

void
httpc_cancel (struct httpc *c)
{
	/* Inside its own callback, h2o closes the client when that returns. */
	if (c->peer->current == c)
		c->peer->current = NULL;
	else if (c->client != NULL)
		h2o_http1client_cancel (c->client);
	httpc_release (c);
}

bool
httpc_sent (const struct httpc *c)
{
	return c->sent;
}

void
httpc_pause (struct httpc *c)
{
	if (c->paused || c->client == NULL || c->client->sock == NULL)
		return;
	c->paused = true;
	c->read_cb = c->client->sock->_cb.read;
	h2o_socket_read_stop (c->client->sock);
}

void
httpc_resume (struct httpc *c)
{
	if (!c->paused)
		return;
	c->paused = false;
	if (c->client != NULL && c->client->sock != NULL)
		h2o_socket_read_start (c->client->sock, c->read_cb);
}

static void
fetch_head (struct httpc *c, int status, const struct httpc_header *headers,
	    size_t count, void *ctx)
{
	(void)headers;
	(void)count;
	(void)ctx;
	c->status = status;
}

static void
fetch_body (struct httpc *c, const char *data, size_t len, void *ctx)
{
	struct httpc_reply r = {0};
	struct err e;

	if (c->gathered->len + len <= c->max_bytes) {
		g_string_append_len (c->gathered, data, (gssize)len);
		return;
	}
	err_set (&e, ERR_TOO_LARGE, "%s: answer over %zu bytes", c->peer->host,
		 c->max_bytes);
	r.status = c->status;
	c->reply_cb (&r, &e, ctx);
	httpc_cancel (c);
}

static void
fetch_done (struct httpc *c, const struct err *e, void *ctx)
{
	struct httpc_reply r = {c->status, c->gathered->str, c->gathered->len};

	c->reply_cb (&r, e, ctx);
}

struct httpc *
httpc_fetch (struct httpc_peer *p, const struct httpc_req *req,
	     size_t max_bytes, httpc_reply_cb cb, void *ctx)
{
	static const struct httpc_ops ops = {fetch_head, fetch_body,
					     fetch_done};
	struct httpc *c = httpc_new (p, req, &ops, ctx);

	c->gathered = g_string_new (NULL);
	c->max_bytes = max_bytes;
	c->reply_cb = cb;
	httpc_connect (c, req->fresh);
	return c;
}
