/*
 * The server side of HTTP/1.1.
 */
#include <string.h>
#include <unistd.h>

#include "h1srv_priv.h"
#include "log.h"
#include "tmr.h"

#define LINGER_MS 1000      /* for a client to read a refusal that closes */
#define OUTPUT_MAX_MS 30000 /* for a client to read the last answer */
#define AHEAD_MAX_BYTES (64U << 10) /* read behind a running request */

/* Answers of earlier requests that wait for their reader; the next request is
 * handled once less waits. */
#define UNREAD_MAX_BYTES (64U << 10)

/* A head that takes more is not kept for the next request. */
#define KEEP_HEAD_BYTES 1024

/* Retry-After of requests that are refused for a bound. */
#define OVERLOAD_HEADERS "Retry-After: 1\r\n"

static void conn_read (struct h1srv_conn *c);

void
h1srv_conn_bury (void *data)
{
	struct h1srv_conn *c = data;

	tmr_finish (&c->tmr);
	g_string_free (c->head, TRUE);
	if (c->body_bytes != NULL)
		g_byte_array_unref (c->body_bytes);
	g_free (c);
}

/* Callers up the stack may still look at it, so it is freed a turn later. */
static void
conn_free (struct h1srv_conn *c)
{
	c->dead = true;
	g_ptr_array_add (c->srv->graves, c);
	tmr_start (&c->srv->sweep, 0);
}

void
h1srv_conn_close (struct h1srv_conn *c, bool reset)
{
	struct h1srv *s = c->srv;

	if (!sio_is_open (&c->io))
		return;
	if (c->state == CONN_BUSY)
		s->busy--;
	quota_leave (&c->quota);
	if (reset)
		sio_reset (&c->io);
	else
		sio_close (&c->io);
	tmr_stop (&c->tmr);
	g_ptr_array_remove_fast (s->conns, c);
	conn_free (c);
}

void
h1srv_conn_ended (const char *why, void *ctx)
{
	struct h1srv_conn *c = ctx;

	(void)why;
	if (c->state == CONN_BUSY)
		c->srv->ops->gone (c, c->srv->ctx);
	h1srv_conn_close (c, false);
}

/* Starts the limit on the state that the connection has now. */
static void
conn_limit (struct h1srv_conn *c, uint32_t ms)
{
	c->timed_since_ms = tmr_now_ms ();
	tmr_start (&c->tmr, ms);
}

/* Counts what the connection holds of requests.  Return: false where the
 * request that arrives must be refused. */
static bool
count_input (struct h1srv_conn *c)
{
	bool has_request = c->state == CONN_BODY || c->state == CONN_BUSY;
	size_t len;

	sio_input (&c->io, &len);
	return quota_set_input (
		&c->quota, len + (has_request ? c->head->len + c->body_len : 0),
		tmr_now_ms ());
}

bool
h1srv_count_output (struct h1srv_conn *c, bool progress)
{
	return quota_set_output (&c->quota, sio_held (&c->io), progress);
}

static void
set_state (struct h1srv_conn *c, enum h1srv_state state)
{
	static const enum quota_state states[] = {
		[CONN_HEAD] = QUOTA_RESTING, [CONN_BODY] = QUOTA_PARTIAL,
		[CONN_BUSY] = QUOTA_BUSY,    [CONN_ENDING] = QUOTA_BUSY,
		[CONN_LINGER] = QUOTA_BUSY,
	};

	c->state = state;
	quota_set_state (&c->quota, states[state], tmr_now_ms ());
}

static void
release_body (struct h1srv_conn *c)
{
	if (c->body_bytes != NULL)
		g_byte_array_unref (c->body_bytes);
	c->body_bytes = NULL;
	c->body_len = 0;
}

/* Handles the next request once the client has read its earlier answers. */
static void
unblock (struct h1srv_conn *c)
{
	if (!c->blocked || sio_pending (&c->io) > UNREAD_MAX_BYTES)
		return;
	c->blocked = false;
	sio_resume (&c->io);
	conn_read (c);
}

static void
on_wrote (void *ctx)
{
	struct h1srv_conn *c = ctx;

	h1srv_count_output (c, true);
	unblock (c);
}

static void
on_drained (void *ctx)
{
	struct h1srv_conn *c = ctx;

	h1srv_count_output (c, true);

	if (c->state == CONN_HEAD && !c->head_timed)
		conn_limit (c, c->srv->limits.idle_timeout_ms);
	if (c->state != CONN_ENDING) {
		unblock (c);
		return;
	}
	set_state (c, CONN_LINGER);
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
	.wrote = on_wrote,
	.ended = h1srv_conn_ended,
};

/* To be answered before the request has arrived whole. */
void
h1srv_begin_refusal (struct h1srv_conn *c)
{
	c->close = true;
	set_state (c, CONN_BUSY);
	c->data = NULL;
	c->srv->busy++;
	release_body (c);
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
	h1srv_begin_refusal (c);
	h1srv_answer (c, status, status == 503 ? OVERLOAD_HEADERS : NULL, body,
		      strlen (body));
	g_free (body);
}

/* Ends a connection whose room is needed. */
static void
on_drop (struct quota_conn *q, enum quota_why why)
{
	struct h1srv_conn *c =
		(struct h1srv_conn *)((char *)q -
				      offsetof (struct h1srv_conn, quota));

	switch (why) {
	case QUOTA_MEMORY:
		conn_refuse (c, 503, "too many bytes of requests");
		break;
	case QUOTA_CONNECTIONS:
		if (c->state == CONN_BODY)
			conn_refuse (c, 503, "too many connections");
		h1srv_conn_close (c, false);
		break;
	case QUOTA_OUTPUT:
		if (c->state != CONN_BUSY) {
			h1srv_conn_close (c, true);
			break;
		}
		/* Its owner may be up the stack, so it is told a turn later. */
		quota_leave (q);
		c->must_end = true;
		tmr_start (&c->tmr, 0);
		break;
	case QUOTA_WHYS:
		break;
	}
}

static const struct quota_ops conn_quota_ops = {on_drop};

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

/* Ends a connection whose client has not read anything for a while. */
static void
check_reader (struct h1srv_conn *c)
{
	if (sio_pending (&c->io) < c->unread) {
		c->unread = sio_pending (&c->io);
		tmr_start (&c->tmr, OUTPUT_MAX_MS);
	} else {
		h1srv_conn_close (c, true);
	}
}

/* Whether enough of a body arrived since its time was checked. */
static bool
body_progresses (struct h1srv_conn *c)
{
	uint64_t ms = c->srv->limits.idle_timeout_ms;

	if (c->state != CONN_BODY ||
	    (c->body_len - c->window_len) < ms * QUOTA_BODY_RATE / 1000)
		return false;
	c->window_len = c->body_len;
	return true;
}

static void
on_timer (void *ctx)
{
	struct h1srv_conn *c = ctx;
	size_t len;

	if (c->must_end) {
		if (c->state == CONN_BUSY)
			c->srv->ops->gone (c, c->srv->ctx);
		h1srv_conn_close (c, true);
		return;
	}
	if (c->state == CONN_LINGER) {
		h1srv_conn_close (c, false);
		return;
	}
	if (c->state == CONN_BUSY)
		return;
	if (c->state == CONN_ENDING || c->blocked) {
		check_reader (c);
		return;
	}
	if (conn_left_ms (c) > 0) {
		tmr_start (&c->tmr, (uint32_t)conn_left_ms (c));
		return;
	}
	sio_input (&c->io, &len);
	if (c->state == CONN_HEAD && len == 0 && has_to_read (c)) {
		conn_limit (c, c->srv->limits.idle_timeout_ms);
		return;
	}
	if (body_progresses (c)) {
		conn_limit (c, c->srv->limits.idle_timeout_ms);
		return;
	}
	if (c->state == CONN_BODY)
		c->srv->quota->slow++;
	if (c->state == CONN_BODY || len > 0)
		conn_refuse (c, 408, "not whole in time");
	else
		h1srv_conn_close (c, false);
}

/* The head is parsed again from a copy, since the input moves on. */
static void
conn_deliver (struct h1srv_conn *c)
{
	GByteArray *body = c->body_bytes;
	struct h1_head h;
	size_t used;

	tmr_stop (&c->tmr);
	set_state (c, CONN_BUSY);
	c->data = NULL;
	c->srv->busy++;
	c->body_bytes = NULL;
	if (h1_request (c->head->str, c->head->len, &h, &used) == H1_OK)
		c->srv->ops->request (c, &h, body, c->srv->ctx);
	g_byte_array_unref (body);
}

static bool
conn_head (struct h1srv_conn *c)
{
	const struct h1srv_limits *l = &c->srv->limits;
	struct h1_head h;
	size_t len, used;
	const char *in = sio_input (&c->io, &len);

	if (c->blocked) {
		if (len > AHEAD_MAX_BYTES)
			sio_pause (&c->io);
		return false;
	}
	/* Empty lines before a request are allowed. */
	while (len >= 2 && in[0] == '\r' && in[1] == '\n') {
		sio_consume (&c->io, 2);
		in = sio_input (&c->io, &len);
	}
	if (len == 0)
		return false;
	c->to_head = false;
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
		quota_set_state (&c->quota, QUOTA_PARTIAL, tmr_now_ms ());
		return false;
	case H1_OK:
		c->to_head = h1_method_is (&h, "HEAD");
		break;
	}
	if (used > l->max_header_bytes || h.length > l->max_body_bytes) {
		if (used > l->max_header_bytes)
			conn_refuse (c, 431, "head too long");
		else
			conn_refuse (c, 413, "body too long");
		return false;
	}
	if (h.framing == H1_LENGTH &&
	    !quota_fits (c->srv->quota, h.length, tmr_now_ms ())) {
		c->srv->quota->refused[QUOTA_MEMORY]++;
		conn_refuse (c, 503, "too many bytes of requests");
		return false;
	}
	c->close = h.close;
	g_string_truncate (c->head, 0);
	g_string_append_len (c->head, in, (gssize)used);
	release_body (c);
	c->body_bytes = g_byte_array_new ();
	c->window_len = 0;
	h1_body_init (&c->body, &h);
	if (h.expect_continue && h.framing != H1_NO_BODY && used == len)
		h1srv_write (c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	sio_consume (&c->io, used);
	set_state (c, CONN_BODY);
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
		c->body_len = c->body_bytes->len;
		sio_consume (&c->io, used);
		if (c->body_bytes->len <= c->srv->limits.max_body_bytes)
			return true;
		conn_refuse (c, 413, "body too long");
		return false;
	case H1_STEP_END:
		sio_consume (&c->io, used);
		if (count_input (c)) {
			conn_deliver (c);
			return true;
		}
		conn_refuse (c, 503, "too many bytes of requests");
		return false;
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
	if (c->dead || count_input (c))
		return;
	if (c->state == CONN_BUSY) {
		/* What follows the running request does not fit. */
		h1srv_conn_ended (NULL, c);
	} else if (c->state != CONN_ENDING && c->state != CONN_LINGER) {
		conn_refuse (c, 503, "too many bytes of requests");
	}
}

bool
h1srv_conn_new (struct h1srv *s, h2o_socket_t *sock)
{
	static const struct sio_limits limits = {0};
	struct h1srv_conn *c = g_new0 (struct h1srv_conn, 1);

	if (!quota_join (s->quota, &c->quota, &conn_quota_ops, s->is_reserved,
			 tmr_now_ms ())) {
		g_free (c);
		return false;
	}
	c->srv = s;
	c->head = g_string_new (NULL);
	tmr_init (&c->tmr, s->loop, on_timer, c);
	conn_limit (c, s->limits.idle_timeout_ms);
	g_ptr_array_add (s->conns, c);
	sio_init (&c->io, sock, &conn_ops, c, &limits);
	return true;
}

void
h1srv_end (struct h1srv_conn *c, bool whole)
{
	size_t len;

	if (!whole) {
		h1srv_conn_close (c, true);
		return;
	}
	c->srv->busy--;
	c->data = NULL;
	c->body_len = 0;
	if (c->head->allocated_len > KEEP_HEAD_BYTES) {
		g_string_free (c->head, TRUE);
		c->head = g_string_new (NULL);
	}
	c->unread = sio_pending (&c->io);
	if (c->close) {
		set_state (c, CONN_ENDING);
		sio_input (&c->io, &len);
		sio_consume (&c->io, len);
		count_input (c);
		if (!c->must_end)
			tmr_start (&c->tmr, OUTPUT_MAX_MS);
		if (c->unread == 0)
			on_drained (c);
		return;
	}
	set_state (c, CONN_HEAD);
	c->head_timed = false;
	c->answered_ms = tmr_now_ms ();
	c->blocked = c->unread > UNREAD_MAX_BYTES;
	if (c->blocked)
		tmr_start (&c->tmr, OUTPUT_MAX_MS);
	else
		conn_limit (c, c->srv->limits.idle_timeout_ms);
	if (c->must_end)
		tmr_start (&c->tmr, 0);
	sio_resume (&c->io);
	conn_read (c);
}
