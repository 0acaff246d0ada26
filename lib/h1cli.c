/*
 * The client side of HTTP/1.1.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "h1cli_priv.h"
#include "link.h"
#include "log.h"

#define HEAD_MAX_BYTES (64U << 10)
#define SKIPPED_MAX 4                /* answers to other requests before ours */
#define SKIPPED_MAX_BYTES (1U << 20) /* of their bodies */
#define INTERIM_MAX 16               /* heads of status 1xx before an answer */

/* What the kernel holds for a connection, and so about what one read brings. */
#define RECEIVE_BUFFER_BYTES (256 << 10)

/* Where a server states no timeout; most keep connections for 5 s or more. */
#define KEEP_DEFAULT_MS 4000

/* A smaller body is copied and sent in one piece with its head. */
#define SHARE_MIN_BYTES (32U << 10)

/* A server's own clock may be ahead of ours by the time on the way. */
#define KEEP_MARGIN_MS 500

static void conn_read (struct h1cli_conn *c);

static void
call_free (struct h1cli *x)
{
	g_ptr_array_remove_fast (x->host->calls, x);
	tmr_finish (&x->tmr);
	if (x->out != NULL)
		g_byte_array_unref (x->out);
	if (x->out_body != NULL)
		g_byte_array_unref (x->out_body);
	g_free (x->echo_name);
	g_free (x->echo_value);
	g_free (x);
}

/* End a call; its connection is kept where @keep. */
static void
call_end (struct h1cli *x, enum h1cli_end end, bool keep)
{
	struct h1cli_conn *c = x->conn;

	if (c != NULL && keep) {
		c->call = NULL;
		c->idle_since_ms = tmr_now_ms ();
		c->keep_ms = x->keep_s > 0 ? x->keep_s * 1000 : KEEP_DEFAULT_MS;
		c->keep_ms = MAX (c->keep_ms, KEEP_MARGIN_MS) - KEEP_MARGIN_MS;
		h1cli_conn_keep (c);
	} else if (c != NULL) {
		h1cli_conn_close (c);
	}
	x->conn = NULL;
	x->ops->done (x, end, x->ctx);
	call_free (x);
}

/* Ends a call whose server sends what is no answer to it. */
static void
call_bad (struct h1cli *x, const char *why)
{
	size_t bytes;

	sio_input (&x->conn->io, &bytes);
	log_event (LOG_LV_WARN, "no-answer",
		   "port=%u id=%s why=\"%s\" bytes=%zu interim=%u skipped=%u "
		   "skipped_bytes=%" G_GUINT64_FORMAT,
		   ntohs (x->host->addr.sin_port),
		   x->echo_value != NULL ? x->echo_value : "", why, bytes,
		   x->interim, x->skipped, x->skipped_bytes);
	call_end (x, H1CLI_BAD, false);
}

static void
on_ended (const char *why, void *ctx)
{
	struct h1cli_conn *c = ctx;
	struct h1cli *x = c->call;

	if (x == NULL) {
		h1cli_conn_close (c);
		return;
	}
	if (why == NULL && x->phase == CALL_BODY &&
	    x->body.framing == H1_UNTIL_CLOSE)
		call_end (x, H1CLI_WHOLE, false);
	else
		call_end (x, H1CLI_BROKEN, false);
}

static void
on_readable (void *ctx)
{
	conn_read (ctx);
}

static void
on_drained (void *ctx)
{
	(void)ctx;
}

static const struct sio_ops conn_ops = {
	.readable = on_readable,
	.drained = on_drained,
	.ended = on_ended,
	.reads_on = true,
};

/* enum answer_of - whose request a head answers */
enum answer_of {
	OF_OURS,
	OF_ANOTHER,
	OF_UNKNOWN,
};

/*
 * A server may send an earlier answer once more where ours is due.  Without
 * the request's id only the answer on a connection that never carried anything
 * else is known to be ours.
 */
static enum answer_of
answer_of (const struct h1cli *x, const struct h1_head *h, bool *echoed)
{
	enum answer_of of = x->reused ? OF_UNKNOWN : OF_OURS;

	*echoed = false;
	if (x->echo_name == NULL)
		return OF_OURS;
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *e = &h->headers[i];
		bool ours;

		if (h1_has_status_line (e))
			return OF_UNKNOWN;
		if (!h1_is (e, x->echo_name))
			continue;
		ours = e->value_len == strlen (x->echo_value) &&
		       memcmp (e->value, x->echo_value, e->value_len) == 0;
		if (*echoed && ours != (of == OF_OURS))
			return OF_UNKNOWN;
		of = ours ? OF_OURS : OF_ANOTHER;
		*echoed = true;
	}
	return of;
}

/* Return: whether to read on. */
static bool
call_head (struct h1cli_conn *c, struct h1cli *x)
{
	size_t len, used;
	const char *in = sio_input (&c->io, &len);
	struct h1_head h;
	bool echoed;

	switch (h1_response (in, len, x->to_head, &h, &used)) {
	case H1_MORE:
		if (len > HEAD_MAX_BYTES)
			call_bad (x, "a head without end");
		return false;
	case H1_BAD:
		call_bad (x, "not a head");
		return false;
	case H1_OK:
		break;
	}
	if (h.status < 200) {
		if (++x->interim > INTERIM_MAX) {
			call_bad (x, "heads of status 1xx without end");
			return false;
		}
		sio_consume (&c->io, used);
		return true;
	}
	h1_body_init (&x->body, &h);
	x->close = h.close || h.framing == H1_UNTIL_CLOSE;
	x->keep_s = h.keep_s;
	switch (answer_of (x, &h, &echoed)) {
	case OF_OURS:
		break;
	case OF_ANOTHER:
		x->phase = CALL_SKIP;
		sio_consume (&c->io, used);
		/* The length of its body depends on its request's method. */
		if (++x->skipped <= SKIPPED_MAX && !x->close &&
		    !c->had_head_request)
			return true;
		call_bad (x, "answers to other requests");
		return false;
	case OF_UNKNOWN:
		call_bad (x, "an answer of unknown origin");
		return false;
	}
	if (x->skipped > 0 || (x->echo_name != NULL && !echoed))
		x->close = true;
	x->phase = CALL_BODY;
	/* The head points into the input, so that is consumed afterwards. */
	x->ops->head (x, &h, echoed, x->ctx);
	if (c->dead || c->call != x)
		return false;
	sio_consume (&c->io, used);
	return true;
}

/* The answer is whole; the connection is kept if nothing speaks against it. */
static void
call_whole (struct h1cli_conn *c, struct h1cli *x)
{
	size_t rest;

	sio_input (&c->io, &rest);
	call_end (x, H1CLI_WHOLE,
		  !x->close && rest == 0 && sio_pending (&c->io) == 0);
}

static bool
call_body (struct h1cli_conn *c, struct h1cli *x)
{
	size_t len, used, n = 0;
	const char *in = sio_input (&c->io, &len), *data = NULL;

	switch (h1_body_step (&x->body, in, len, &used, &data, &n)) {
	case H1_STEP_MORE:
		sio_consume (&c->io, used);
		return false;
	case H1_STEP_DATA:
		if (x->phase == CALL_BODY) {
			x->ops->data (x, data, n, x->ctx);
		} else if ((x->skipped_bytes += n) > SKIPPED_MAX_BYTES) {
			call_bad (x, "an answer to another request, too long");
			return false;
		}
		if (c->dead || c->call != x)
			return false;
		sio_consume (&c->io, used);
		return !c->io.paused;
	case H1_STEP_END:
		sio_consume (&c->io, used);
		if (x->phase == CALL_BODY) {
			call_whole (c, x);
			return false;
		}
		x->phase = CALL_HEAD;
		return true;
	case H1_STEP_BAD:
		break;
	}
	call_end (x, H1CLI_BROKEN, false);
	return false;
}

static void
conn_read (struct h1cli_conn *c)
{
	bool on = true;

	if (c->reading)
		return;
	c->reading = true;
	while (on && !c->dead) {
		struct h1cli *x = c->call;

		if (x == NULL) {
			log_event (LOG_LV_INFO, "unasked-bytes", "port=%u",
				   ntohs (c->host->addr.sin_port));
			h1cli_conn_close (c);
			break;
		}
		on = x->phase == CALL_HEAD ? call_head (c, x)
					   : call_body (c, x);
	}
	c->reading = false;
}

static void
call_send (struct h1cli *x)
{
	struct h1cli_conn *c = x->conn;

	if (x->echo_value != NULL)
		c->sent_ids[c->sent_count++ % SENT_IDS] =
			h1cli_id_hash (x->echo_value);
	c->had_head_request |= x->to_head;
	x->phase = CALL_HEAD;
	x->sent = true;
	if (x->out_body != NULL && x->out_body->len < SHARE_MIN_BYTES) {
		sio_write2 (&x->conn->io, x->out->data, x->out->len,
			    x->out_body->data, x->out_body->len);
	} else {
		sio_write (&x->conn->io, x->out->data, x->out->len);
		if (x->out_body != NULL)
			sio_write_shared (&x->conn->io, x->out_body);
	}
	g_byte_array_unref (x->out);
	x->out = NULL;
}

static void
on_connect (h2o_socket_t *sock, const char *why)
{
	struct h1cli_conn *c = sock->data;
	struct h1cli *x = c->call;
	int error = 0;
	socklen_t size = sizeof error;

	tmr_stop (&x->tmr);
	if (getsockopt (h2o_socket_get_fd (sock), SOL_SOCKET, SO_ERROR, &error,
			&size) != 0)
		error = errno;
	if (why != NULL || error != 0 ||
	    (x->ops->may_send != NULL && !x->ops->may_send (x->ctx))) {
		x->refused = error == ECONNREFUSED;
		call_end (x, H1CLI_UNSENT, false);
		return;
	}
	c->connecting = NULL;
	sio_init (&c->io, sock, &conn_ops, c, &x->limits);
	call_send (x);
}

static void
on_timer (void *ctx)
{
	struct h1cli *x = ctx;

	/* A kept connection was chosen, or none can be made. */
	if (x->conn != NULL && x->conn->connecting == NULL)
		call_send (x);
	else
		call_end (x, H1CLI_UNSENT, false);
}

static void
call_connect (struct h1cli *x, uint32_t connect_ms)
{
	struct h1cli_conn *c;
	struct err e = {0};
	int fd = link_connect_fd (&x->host->addr, x->host->from, &e);
	int buffer_bytes = RECEIVE_BUFFER_BYTES;

	if (fd < 0) {
		log_event (LOG_LV_WARN, "connect", "why=\"%s\"", e.msg);
		tmr_start (&x->tmr, 1);
		return;
	}
	setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		    sizeof buffer_bytes);
	c = g_new0 (struct h1cli_conn, 1);
	c->host = x->host;
	c->call = x;
	/* Not marked as connecting, since h2o would read the error and not tell
	 * which one it was. */
	c->connecting = h2o_evloop_socket_create (x->host->loop, fd, 0);
	c->connecting->data = c;
	h2o_socket_notify_write (c->connecting, on_connect);
	x->conn = c;
	h1cli_conn_made (c);
	x->host->opened++;
	tmr_start (&x->tmr, connect_ms);
}

struct h1cli *
h1cli_start (struct h1cli_host *h, const struct h1cli_req *req,
	     const struct h1cli_ops *ops, void *ctx)
{
	struct h1cli *x = g_new0 (struct h1cli, 1);

	x->host = h;
	x->ops = ops;
	x->ctx = ctx;
	x->to_head = req->to_head;
	x->limits = req->limits;
	x->echo_name = g_strdup (req->echo_name);
	x->echo_value = g_strdup (req->echo_value);
	x->out = g_byte_array_sized_new ((guint)req->len);
	g_byte_array_append (x->out, (const guint8 *)req->bytes,
			     (guint)req->len);
	if (req->body != NULL)
		x->out_body = g_byte_array_ref (req->body);
	tmr_init (&x->tmr, h->loop, on_timer, x);
	g_ptr_array_add (h->calls, x);
	x->conn = h1cli_conn_take (h, req->idle_max_ms, x->echo_value);
	if (x->conn == NULL) {
		call_connect (x, req->connect_ms);
		return x;
	}
	x->conn->call = x;
	x->reused = true;
	sio_set_limits (&x->conn->io, &x->limits);
	call_send (x);
	return x;
}

void
h1cli_cancel (struct h1cli *x)
{
	if (x->conn != NULL)
		h1cli_conn_close (x->conn);
	call_free (x);
}

bool
h1cli_sent (const struct h1cli *x)
{
	return x->sent;
}

bool
h1cli_refused (const struct h1cli *x)
{
	return x->refused;
}

bool
h1cli_reused (const struct h1cli *x)
{
	return x->reused;
}

void
h1cli_set_limits (struct h1cli *x, const struct sio_limits *limits)
{
	x->limits = *limits;
	if (x->conn != NULL && x->conn->connecting == NULL)
		sio_set_limits (&x->conn->io, limits);
}

void
h1cli_pause (struct h1cli *x)
{
	if (x->conn != NULL && sio_is_open (&x->conn->io))
		sio_pause (&x->conn->io);
}

void
h1cli_resume (struct h1cli *x)
{
	if (x->conn == NULL || !sio_is_open (&x->conn->io))
		return;
	sio_resume (&x->conn->io);
	conn_read (x->conn);
}
