/*
 * Callers that keep one connection each for many requests and let it rest
 * between them, for as long as the configuration allows: four fifths of its
 * idle limit.  The library's client lets no connection rest for so long, and
 * these see the raw end of theirs.
 */
#include <arpa/inet.h>
#include <string.h>

#include "link.h"
#include "soak.h"

#define KEPT_CALLERS 96
#define SHORT_REST_MS 300
#define LONGEST_REST_MS 6400 /* four fifths of the longest limit */
#define CONNECT_AGAIN_MS 200
#define LATE_SHARE 6 /* one body in so many comes late, beside stops */
#define LATE_MS_MAX 2500
#define LATE_BYTES 2

struct kept {
	struct soak *k;
	uint32_t relay;
	struct sio io;
	h2o_socket_t *connecting;
	bool open, head;
	struct tmr tmr; /* the next request, or its caller leaves */
	struct soak_req *r;
	struct h1_body body;
	bool close;
	uint64_t rested_since_ms;
	GString *late; /* what is yet to be sent of the request */
};

static void
drop (struct kept *c)
{
	if (c->connecting != NULL)
		h2o_socket_close (c->connecting);
	c->connecting = NULL;
	if (c->open && c->r != NULL)
		sio_reset (&c->io);
	else if (c->open)
		sio_close (&c->io);
	c->open = false;
}

/* How long it rests: shortly, for any time that a later limit may allow, or
 * until about when a relay would close it by the limit of now. */
static uint64_t
draw_rest (struct kept *c)
{
	struct soak *k = c->k;

	/* Beside stops, most send the next request with the answer's end. */
	if (k->stops.on && g_rand_int_range (k->traffic, 0, 3) > 0)
		return (uint64_t)g_rand_int_range (k->traffic, 0, 3);
	switch (g_rand_int_range (k->traffic, 0, 3)) {
	case 0:
		return (uint64_t)g_rand_int_range (k->traffic, 0,
						   SHORT_REST_MS);
	case 1:
		return operator_idle_ms (k) +
		       (uint64_t)g_rand_int_range (k->traffic, 0, 4) - 2;
	default:
		return (uint64_t)g_rand_int_range (k->traffic, 0,
						   LONGEST_REST_MS);
	}
}

static void
rest (struct kept *c)
{
	c->r = NULL;
	c->rested_since_ms = tmr_now_ms ();
	tmr_start (&c->tmr, draw_rest (c));
}

static void
finish (struct kept *c, enum h1cli_end end)
{
	struct soak_req *r = c->r;

	if (end != H1CLI_WHOLE || c->close)
		drop (c);
	callers_done (r, end);
	rest (c);
}

static bool
read_head (struct kept *c)
{
	size_t len, used;
	const char *in = sio_input (&c->io, &len);
	const struct h1_header *echo;
	struct h1_head h;

	switch (h1_response (in, len, false, &h, &used)) {
	case H1_MORE:
		return false;
	case H1_BAD:
		finish (c, H1CLI_BAD);
		return false;
	case H1_OK:
		break;
	}
	echo = h1_find (&h, "X-Request-Id");
	callers_head (c->r, h.status,
		      echo != NULL && echo->value_len == strlen (c->r->id) &&
			      memcmp (echo->value, c->r->id, echo->value_len) ==
				      0);
	c->close = h.close || h.framing == H1_UNTIL_CLOSE;
	c->head = true;
	h1_body_init (&c->body, &h);
	sio_consume (&c->io, used);
	return true;
}

static bool
read_body (struct kept *c)
{
	size_t len, used, n;
	const char *in = sio_input (&c->io, &len), *data;
	enum h1_step step = h1_body_step (&c->body, in, len, &used, &data, &n);

	if (step == H1_STEP_DATA)
		callers_data (c->r, data, n);
	if (step != H1_STEP_BAD)
		sio_consume (&c->io, used);
	if (step == H1_STEP_END)
		finish (c, H1CLI_WHOLE);
	else if (step == H1_STEP_BAD)
		finish (c, H1CLI_BROKEN);
	return step == H1_STEP_DATA;
}

static void
on_readable (void *ctx)
{
	struct kept *c = ctx;
	bool on = true;

	if (c->r == NULL) {
		soak_wrong (c->k, "bytes for nobody from r%u",
			    c->relay + SOAK_MEMBERS);
		drop (c);
		return;
	}
	while (on)
		on = c->head ? read_body (c) : read_head (c);
}

static void
on_drained (void *ctx)
{
	(void)ctx;
}

static void
on_ended (const char *why, void *ctx)
{
	struct kept *c = ctx;

	if (c->r == NULL) {
		c->k->quiet.closed += c->k->quiet.on &&
				      tmr_now_ms () - c->rested_since_ms <
					      operator_idle_ms (c->k) * 4 / 5;
		drop (c);
	} else if (why == NULL && c->head && c->body.framing == H1_UNTIL_CLOSE)
		finish (c, H1CLI_WHOLE);
	else
		finish (c, H1CLI_BROKEN);
}

static const struct sio_ops conn_ops = {
	.readable = on_readable, .drained = on_drained, .ended = on_ended};

static void
send_next (struct kept *c, bool reused)
{
	uint64_t now_ms = tmr_now_ms ();
	struct soak_req *r = callers_new (
		c->k, c->relay,
		(enum soak_kind)g_rand_int_range (c->k->traffic, 0, SOAK_KINDS),
		(uint32_t)g_rand_int_range (c->k->traffic, 0, SOAK_ACCOUNTS));
	char *text = callers_text (r);

	r->reused = reused;
	r->rested_ms = reused ? (uint32_t)(now_ms - c->rested_since_ms) : 0;
	r->idle_limit_ms = operator_idle_ms (c->k);
	c->r = r;
	c->head = c->close = false;
	g_string_truncate (c->late, 0);
	if (c->k->stops.on && r->kind != SOAK_REPEATABLE &&
	    g_rand_int_range (c->k->traffic, 0, LATE_SHARE) == 0) {
		g_string_assign (c->late, text + strlen (text) - LATE_BYTES);
		text[strlen (text) - LATE_BYTES] = '\0';
	}
	sio_write (&c->io, text, strlen (text));
	g_free (text);
	tmr_start (&c->tmr, c->late->len > 0
				    ? (uint64_t)g_rand_int_range (
					      c->k->traffic, 1, LATE_MS_MAX)
				    : SHORT_REST_MS);
}

static void
on_connect (h2o_socket_t *sock, const char *why)
{
	static const struct sio_limits limits = {0};
	struct kept *c = sock->data;

	c->connecting = NULL;
	if (why != NULL) {
		h2o_socket_close (sock);
		tmr_start (&c->tmr, CONNECT_AGAIN_MS);
		return;
	}
	c->open = true;
	sio_init (&c->io, sock, &conn_ops, c, &limits);
	send_next (c, false);
}

static void
connect_anew (struct kept *c)
{
	struct sockaddr_in at = {.sin_family = AF_INET,
				 .sin_port = htons (c->k->front)};

	drop (c);
	c->relay = (uint32_t)g_rand_int_range (c->k->traffic, 0, SOAK_RELAYS);
	inet_pton (AF_INET, c->k->procs[c->relay + SOAK_MEMBERS].ip,
		   &at.sin_addr);
	c->connecting = h2o_socket_connect (c->k->loop, (struct sockaddr *)&at,
					    sizeof at, on_connect);
	if (c->connecting != NULL)
		c->connecting->data = c;
	tmr_start (&c->tmr, 5 * CONNECT_AGAIN_MS);
}

static void
on_timer (void *ctx)
{
	struct kept *c = ctx;
	uint64_t now_ms = tmr_now_ms ();
	uint32_t most_ms = operator_idle_ms (c->k) * 4 / 5;

	if (c->r != NULL) {
		struct soak_req *r = c->r;

		tmr_start (&c->tmr, SHORT_REST_MS);
		if (c->late->len > 0) {
			sio_write (&c->io, c->late->str, c->late->len);
			g_string_truncate (c->late, 0);
			c->r->begun_ms = c->r->heard_ms = now_ms;
		}
		if (!callers_gives_up (r, now_ms))
			return;
		drop (c);
		callers_left (r);
		rest (c);
		return;
	}
	/* Clients keep to the limits, which may have changed meanwhile. */
	if (c->open && now_ms - c->rested_since_ms <= most_ms)
		send_next (c, true);
	else
		connect_anew (c);
}

void
kept_init (struct soak *k)
{
	k->kept = g_ptr_array_new ();
	for (uint32_t i = 0; i < KEPT_CALLERS; i++) {
		struct kept *c = g_new0 (struct kept, 1);

		c->k = k;
		c->late = g_string_new (NULL);
		tmr_init (&c->tmr, k->loop, on_timer, c);
		tmr_start (&c->tmr,
			   (uint64_t)g_rand_int_range (k->traffic, 0, 3000));
		g_ptr_array_add (k->kept, c);
	}
}

void
kept_finish (struct soak *k)
{
	for (guint i = 0; i < k->kept->len; i++) {
		struct kept *c = g_ptr_array_index (k->kept, i);

		drop (c);
		tmr_finish (&c->tmr);
		g_string_free (c->late, TRUE);
		g_free (c);
	}
	g_ptr_array_free (k->kept, TRUE);
}
