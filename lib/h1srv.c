/*
 * The server side of HTTP/1.1.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1srv.h"
#include "link.h"
#include "log.h"
#include "tmr.h"

#define LISTEN_BACKLOG 512
#define LINGER_MS 1000      /* for a client to read a refusal that closes */
#define OUTPUT_MAX_MS 30000 /* for a client to read the last answer */
#define AHEAD_MAX_BYTES (256U << 10) /* read behind a running request */

enum conn_state {
	CONN_HEAD,   /* waits for a head, or for the rest of it */
	CONN_BODY,   /* waits for the rest of a body */
	CONN_BUSY,   /* its request is with the owner */
	CONN_ENDING, /* closes once the answer is written */
	CONN_LINGER, /* the answer is written; the client is to close */
};

struct h1srv_conn {
	struct h1srv *srv;
	struct sio io;
	enum conn_state state;
	struct tmr tmr;
	uint64_t timed_since_ms; /* when the state began that @tmr limits */
	uint64_t answered_ms;    /* when the owner ended the last answer */
	GString *head;           /* of the running request */
	GByteArray *body_bytes;
	struct h1_body body;
	bool close;
	bool head_timed;
	bool reading; /* conn_read() is on the stack */
	bool dead;
	void *data;
};

static void conn_read (struct h1srv_conn *c);

static void
bury (void *data)
{
	struct h1srv_conn *c = data;

	tmr_finish (&c->tmr);
	g_string_free (c->head, TRUE);
	g_byte_array_unref (c->body_bytes);
	g_free (c);
}

static void
on_sweep (void *ctx)
{
	struct h1srv *s = ctx;

	g_ptr_array_set_size (s->graves, 0);
}

/* Callers up the stack may still look at it, so it is freed a turn later. */
static void
conn_free (struct h1srv_conn *c)
{
	c->dead = true;
	g_ptr_array_add (c->srv->graves, c);
	tmr_start (&c->srv->sweep, 0);
}

static void
conn_close (struct h1srv_conn *c, bool reset)
{
	struct h1srv *s = c->srv;

	if (!sio_is_open (&c->io))
		return;
	if (c->state == CONN_BUSY)
		s->busy--;
	if (reset)
		sio_reset (&c->io);
	else
		sio_close (&c->io);
	tmr_stop (&c->tmr);
	g_ptr_array_remove_fast (s->conns, c);
	conn_free (c);
}

static void
on_ended (const char *why, void *ctx)
{
	struct h1srv_conn *c = ctx;

	(void)why;
	if (c->state == CONN_BUSY)
		c->srv->ops->gone (c, c->srv->ctx);
	conn_close (c, false);
}

/* Starts the limit on the state that the connection has now. */
static void
conn_limit (struct h1srv_conn *c, uint32_t ms)
{
	c->timed_since_ms = tmr_now_ms ();
	tmr_start (&c->tmr, ms);
}

static void
on_drained (void *ctx)
{
	struct h1srv_conn *c = ctx;

	if (c->state == CONN_HEAD && !c->head_timed)
		conn_limit (c, c->srv->limits.idle_timeout_ms);
	if (c->state != CONN_ENDING)
		return;
	c->state = CONN_LINGER;
	sio_shut (&c->io);
	tmr_start (&c->tmr, LINGER_MS);
}

static void
on_readable (void *ctx)
{
	conn_read (ctx);
}

static const struct sio_ops conn_ops = {
	.readable = on_readable,
	.drained = on_drained,
	.ended = on_ended,
};

/* To be answered before the request has arrived whole. */
static void
conn_begin_refusal (struct h1srv_conn *c)
{
	c->close = true;
	c->state = CONN_BUSY;
	c->data = NULL;
	c->srv->busy++;
}

/* The request's id, if its head has arrived; free with g_free(). */
static char *
conn_request_id (const struct h1srv_conn *c)
{
	const char *name = c->srv->id_header;
	struct h1_head h;
	size_t used;

	if (name == NULL || c->state != CONN_BODY ||
	    h1_request (c->head->str, c->head->len, &h, &used) != H1_OK)
		return NULL;
	return h1_copy (h1_find (&h, name));
}

static void
conn_refuse (struct h1srv_conn *c, int status, const char *why)
{
	char *id = conn_request_id (c);
	char *body =
		status == 413
			? g_strdup_printf ("{\"error\":\"%s: limit %u "
					   "bytes\"}\n",
					   why, c->srv->limits.max_body_bytes)
			: g_strdup ("");

	log_event (LOG_LV_INFO, "bad-request", "req=%s status=%d why=\"%s\"",
		   id != NULL ? id : "", status, why);
	g_free (id);
	conn_begin_refusal (c);
	h1srv_answer (c, status, NULL, body, strlen (body));
	g_free (body);
}

/* What is left of the limit, which may have changed since it was started: a
 * client that knows the new one counts on it. */
static uint64_t
conn_left_ms (const struct h1srv_conn *c)
{
	const struct h1srv_limits *l = &c->srv->limits;
	uint64_t end_ms =
		c->timed_since_ms + (c->state == CONN_HEAD && c->head_timed
					     ? l->header_timeout_ms
					     : l->idle_timeout_ms);
	uint64_t now_ms = tmr_now_ms ();

	return end_ms > now_ms ? end_ms - now_ms : 0;
}

/* Whether the client may go on reading the last answer. */
static bool
has_to_read (const struct h1srv_conn *c)
{
	return sio_pending (&c->io) > 0 &&
	       tmr_now_ms () < c->answered_ms + OUTPUT_MAX_MS;
}

static void
on_timer (void *ctx)
{
	struct h1srv_conn *c = ctx;
	size_t len;

	if (c->state == CONN_LINGER) {
		conn_close (c, false);
		return;
	}
	if (c->state == CONN_BUSY || c->state == CONN_ENDING)
		return;
	if (conn_left_ms (c) > 0) {
		tmr_start (&c->tmr, (uint32_t)conn_left_ms (c));
		return;
	}
	sio_input (&c->io, &len);
	if (c->state == CONN_HEAD && len == 0 && has_to_read (c)) {
		conn_limit (c, c->srv->limits.idle_timeout_ms);
		return;
	}
	if (c->state == CONN_BODY || len > 0)
		conn_refuse (c, 408, "not whole in time");
	else
		conn_close (c, false);
}

/* The head is parsed again from a copy, since the input moves on. */
static void
conn_deliver (struct h1srv_conn *c)
{
	struct h1_head h;
	size_t used;

	tmr_stop (&c->tmr);
	c->state = CONN_BUSY;
	c->data = NULL;
	c->srv->busy++;
	if (h1_request (c->head->str, c->head->len, &h, &used) == H1_OK)
		c->srv->ops->request (c, &h, c->body_bytes, c->srv->ctx);
}

static bool
conn_head (struct h1srv_conn *c)
{
	const struct h1srv_limits *l = &c->srv->limits;
	struct h1_head h;
	size_t len, used;
	const char *in = sio_input (&c->io, &len);

	/* Empty lines before a request are allowed. */
	while (len >= 2 && in[0] == '\r' && in[1] == '\n') {
		sio_consume (&c->io, 2);
		in = sio_input (&c->io, &len);
	}
	if (len == 0)
		return false;
	switch (h1_request (in, len, &h, &used)) {
	case H1_BAD:
		conn_refuse (c, 400, "malformed head");
		return false;
	case H1_MORE:
		if (len > l->max_header_bytes)
			conn_refuse (c, 431, "head too long");
		else if (!c->head_timed)
			conn_limit (c, l->header_timeout_ms);
		c->head_timed = true;
		return false;
	case H1_OK:
		break;
	}
	if (used > l->max_header_bytes || h.length > l->max_body_bytes) {
		if (used > l->max_header_bytes)
			conn_refuse (c, 431, "head too long");
		else
			conn_refuse (c, 413, "body too long");
		return false;
	}
	c->close = h.close;
	g_string_truncate (c->head, 0);
	g_string_append_len (c->head, in, (gssize)used);
	g_byte_array_set_size (c->body_bytes, 0);
	h1_body_init (&c->body, &h);
	if (h.expect_continue && h.framing != H1_NO_BODY && used == len)
		h1srv_write (c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	sio_consume (&c->io, used);
	c->state = CONN_BODY;
	conn_limit (c, l->idle_timeout_ms);
	return true;
}

static bool
conn_body (struct h1srv_conn *c)
{
	size_t len, used, n;
	const char *in = sio_input (&c->io, &len), *data;

	switch (h1_body_step (&c->body, in, len, &used, &data, &n)) {
	case H1_STEP_MORE:
		sio_consume (&c->io, used);
		return false;
	case H1_STEP_DATA:
		g_byte_array_append (c->body_bytes, (const guint8 *)data,
				     (guint)n);
		sio_consume (&c->io, used);
		if (c->body_bytes->len <= c->srv->limits.max_body_bytes)
			return true;
		conn_refuse (c, 413, "body too long");
		return false;
	case H1_STEP_END:
		sio_consume (&c->io, used);
		conn_deliver (c);
		return true;
	case H1_STEP_BAD:
		break;
	}
	conn_refuse (c, 400, "malformed body");
	return false;
}

static void
conn_read (struct h1srv_conn *c)
{
	bool on = true;
	size_t len;

	if (c->reading)
		return;
	c->reading = true;
	while (on && !c->dead) {
		switch (c->state) {
		case CONN_HEAD:
			on = conn_head (c);
			break;
		case CONN_BODY:
			on = conn_body (c);
			break;
		case CONN_BUSY:
			sio_input (&c->io, &len);
			if (len > AHEAD_MAX_BYTES)
				sio_pause (&c->io);
			on = false;
			break;
		case CONN_ENDING:
		case CONN_LINGER:
			sio_input (&c->io, &len);
			sio_consume (&c->io, len);
			on = false;
			break;
		}
	}
	c->reading = false;
}

static void
on_accept (h2o_socket_t *listener, const char *why)
{
	struct h1srv *s = listener->data;
	h2o_socket_t *sock;

	if (why != NULL)
		return;
	while ((sock = h2o_evloop_socket_accept (listener)) != NULL) {
		static const struct sio_limits limits = {0};
		struct h1srv_conn *c = g_new0 (struct h1srv_conn, 1);

		c->srv = s;
		c->head = g_string_new (NULL);
		c->body_bytes = g_byte_array_new ();
		tmr_init (&c->tmr, s->loop, on_timer, c);
		conn_limit (c, s->limits.idle_timeout_ms);
		g_ptr_array_add (s->conns, c);
		sio_init (&c->io, sock, &conn_ops, c, &limits);
	}
}

bool
h1srv_init (struct h1srv *s, h2o_loop_t *loop, const struct sockaddr_in *addr,
	    const struct h1srv_limits *limits, const struct h1srv_ops *ops,
	    void *ctx, struct err *e)
{
	int fd;

	*s = (struct h1srv){
		.loop = loop, .ops = ops, .ctx = ctx, .limits = *limits};
	fd = link_listen_fd (addr, LISTEN_BACKLOG, &s->port, e);
	if (fd < 0)
		return false;
	s->conns = g_ptr_array_new ();
	s->graves = g_ptr_array_new_with_free_func (bury);
	tmr_init (&s->sweep, loop, on_sweep, s);
	s->listener =
		h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start (s->listener, on_accept);
	return true;
}

void
h1srv_leave (struct h1srv *s)
{
	s->leaving = true;
}

void
h1srv_close_listener (struct h1srv *s)
{
	if (s->listener == NULL)
		return;
	/* The kernel would reset the connections that were not taken from it.
	 */
	on_accept (s->listener, NULL);
	h2o_socket_close (s->listener);
	s->listener = NULL;
}

/* Whether the part of a request that was read is not the whole. */
static bool
is_partial (const struct h1srv_conn *c)
{
	size_t len;

	if (c->state != CONN_HEAD)
		return c->state == CONN_BODY;
	sio_input (&c->io, &len);
	return len > 0;
}

/* Whether a request is unanswered, or has begun to arrive. */
static bool
has_request (const struct h1srv_conn *c)
{
	return c->state == CONN_BUSY || is_partial (c) ||
	       (c->state == CONN_HEAD && !sio_is_quiet (&c->io));
}

void
h1srv_close_idle (struct h1srv *s)
{
	for (guint i = s->conns->len; i > 0; i--) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i - 1);

		if (c->state == CONN_HEAD && !has_request (c) &&
		    sio_pending (&c->io) == 0)
			conn_close (c, false);
	}
}

bool
h1srv_has_requests (const struct h1srv *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		const struct h1srv_conn *c = g_ptr_array_index (s->conns, i);

		if (has_request (c))
			return true;
	}
	return false;
}

void
h1srv_refuse_partial (struct h1srv *s,
		      void (*refuse) (struct h1srv_conn *c,
				      const struct h1_head *h, void *ctx),
		      void *ctx)
{
	for (guint i = s->conns->len; i > 0; i--) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i - 1);
		bool has_head = c->state == CONN_BODY;
		struct h1_head h;
		size_t used;

		if (!is_partial (c))
			continue;
		tmr_stop (&c->tmr);
		conn_begin_refusal (c);
		has_head = has_head && h1_request (c->head->str, c->head->len,
						   &h, &used) == H1_OK;
		refuse (c, has_head ? &h : NULL, ctx);
	}
}

bool
h1srv_has_output (const struct h1srv *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		const struct h1srv_conn *c = g_ptr_array_index (s->conns, i);

		if (sio_pending (&c->io) > 0 || c->state == CONN_LINGER)
			return true;
	}
	return false;
}

void
h1srv_finish (struct h1srv *s)
{
	h1srv_close_listener (s);
	if (s->conns == NULL)
		return;
	for (guint i = s->conns->len; i > 0; i--)
		on_ended (NULL, g_ptr_array_index (s->conns, i - 1));
	tmr_finish (&s->sweep);
	g_ptr_array_free (s->conns, TRUE);
	g_ptr_array_free (s->graves, TRUE);
	s->conns = s->graves = NULL;
}

void
h1srv_set_data (struct h1srv_conn *c, void *data)
{
	c->data = data;
}

void *
h1srv_data (const struct h1srv_conn *c)
{
	return c->data;
}

bool
h1srv_closes (const struct h1srv_conn *c)
{
	return c->close || c->srv->leaving;
}

void
h1srv_write (struct h1srv_conn *c, const void *data, size_t len)
{
	sio_write (&c->io, data, len);
}

size_t
h1srv_pending (const struct h1srv_conn *c)
{
	return sio_pending (&c->io);
}

void
h1srv_end (struct h1srv_conn *c, bool whole)
{
	if (!whole) {
		conn_close (c, true);
		return;
	}
	c->srv->busy--;
	c->data = NULL;
	if (c->close) {
		c->state = CONN_ENDING;
		if (sio_pending (&c->io) == 0)
			on_drained (c);
		return;
	}
	c->state = CONN_HEAD;
	c->head_timed = false;
	c->answered_ms = tmr_now_ms ();
	conn_limit (c, c->srv->limits.idle_timeout_ms);
	sio_resume (&c->io);
	conn_read (c);
}

void
h1srv_head (struct h1srv_conn *c, int status, const char *headers, GString *out)
{
	c->close = h1srv_closes (c);
	g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status,
				h1_status_text (status));
	if (headers != NULL)
		g_string_append (out, headers);
	if (c->close)
		g_string_append (out, "Connection: close\r\n");
}

void
h1srv_answer (struct h1srv_conn *c, int status, const char *headers,
	      const void *body, size_t len)
{
	GString *out = g_string_new (NULL);

	h1srv_head (c, status, headers, out);
	g_string_append_printf (out, "Content-Length: %zu\r\n\r\n", len);
	g_string_append_len (out, body, (gssize)len);
	h1srv_write (c, out->str, out->len);
	g_string_free (out, TRUE);
	h1srv_end (c, true);
}
