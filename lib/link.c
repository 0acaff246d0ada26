/*
 * Frame connections: hello, sealing, queueing, and connecting again.
 *
 * The hello: the connecting side sends its hello sealed under (0, 0); the
 * accepting side answers under (nonce_c, 0), which proves that it knows the
 * cluster key now and not in a recording; then both switch to the key of
 * (nonce_c, nonce_s), and the connecting side's first frame under it, an empty
 * hello, proves the same to the accepting side.
 */
#include <glib.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>

#include "link.h"
#include "log.h"

#define KEEP_MAX_BYTES (32U << 10) /* of a buffer that was sent */
#define HELLO_TIMEOUT_MS 3000
#define RETRY_MIN_MS 50

/* An opening packet that met a machine without power or a cut link is sent
 * again by the kernel after 1, 3 and 7 s; another connection begins sooner.  A
 * round trip between regions takes a third of it. */
#define CONNECT_TIMEOUT_MS 300

/* A link that heals is used again after this at the latest. */
#define RETRY_MAX_MS 500
#define USER_TIMEOUT_MS 5000
#define UNREAD_CHECK_MS 200 /* a system call looks for unread bytes then */
#define ACCEPTED_MAX 1024
#define LISTEN_BACKLOG 256

enum link_state {
	LINK_DOWN,
	LINK_CONNECTING,
	LINK_HELLO_SENT,  /* connecting side: waits for the answer */
	LINK_HELLO_WAIT,  /* accepting side: waits for the first hello */
	LINK_HELLO_PROOF, /* accepting side: waits for the proof */
	LINK_UP,
};

struct hello {
	uint32_t version;
	char name[LINK_NAME_BYTES];
	char role[16];
	uint64_t incarnation;
	uint8_t nonce[FRAME_NONCE_BYTES];
};

static const struct msg_field hello_fields[] = {
	MSG_FIELD (1, MSG_U32, struct hello, version),
	MSG_FIELD (2, MSG_STR, struct hello, name),
	MSG_FIELD (3, MSG_STR, struct hello, role),
	MSG_FIELD (4, MSG_U64, struct hello, incarnation),
	MSG_FIELD (5, MSG_BIN, struct hello, nonce),
	MSG_FIELD_END,
};

struct link {
	h2o_loop_t *loop;
	const struct link_self *self;
	const struct link_ops *ops;
	void *ctx;
	void *data;
	struct link_server *server; /* NULL on the connecting side */
	struct sockaddr_in addr;
	h2o_socket_t *sock;
	enum link_state state;
	struct frame_state tx, rx;
	uint8_t nonce[FRAME_NONCE_BYTES];
	char peer_name[LINK_NAME_BYTES];
	char peer_role[16];
	uint64_t peer_incarnation;
	GByteArray *queued;
	GByteArray *flight;
	uint64_t bytes_sent;
	uint64_t received_ms;
	struct tmr tmr;
	uint32_t retry_ms;
	uint32_t busy; /* callbacks on the stack */
	bool dead;     /* free once @busy is 0 */
};

struct link_server {
	h2o_socket_t *sock;
	const struct link_self *self;
	const struct link_ops *ops;
	void *ctx;
	GPtrArray *links;
	uint16_t port;
};

static void link_retry (struct link *l);
static void on_read (h2o_socket_t *sock, const char *why);

static void
link_destroy (struct link *l)
{
	if (l->server != NULL)
		g_ptr_array_remove_fast (l->server->links, l);
	if (l->sock != NULL)
		h2o_socket_close (l->sock);
	tmr_finish (&l->tmr);
	g_byte_array_unref (l->queued);
	g_byte_array_unref (l->flight);
	g_free (l);
}

/* The owner may free a link inside its callbacks; it goes when none runs. */
static void
link_settle (struct link *l)
{
	if (l->dead && l->busy == 0)
		link_destroy (l);
}

void
link_free (struct link *l)
{
	if (l == NULL)
		return;
	l->dead = true;
	link_settle (l);
}

/* End the connection; the link itself stays until link_settle(). */
static void
link_drop (struct link *l, const char *why)
{
	bool was_up = l->state == LINK_UP;

	if (l->dead)
		return;
	if (l->sock != NULL)
		h2o_socket_close (l->sock);
	l->sock = NULL;
	l->state = LINK_DOWN;
	g_byte_array_set_size (l->queued, 0);
	g_byte_array_set_size (l->flight, 0);
	tmr_stop (&l->tmr);
	l->busy++;
	if (was_up)
		l->ops->down (l, why, l->ctx);
	else
		log_event (LOG_LV_DEBUG, "link_fail", "peer=%s why=\"%s\"",
			   l->peer_name, why);
	l->busy--;
	if (l->server != NULL)
		l->dead = true;
	if (!l->dead)
		link_retry (l);
}

static void
link_fail (struct link *l, const char *why)
{
	link_drop (l, why);
	link_settle (l);
}

void
link_close (struct link *l, const char *why)
{
	if (l->state != LINK_DOWN)
		link_fail (l, why);
}

static void
on_written (h2o_socket_t *sock, const char *why)
{
	struct link *l = sock->data;
	GByteArray *done = l->flight;
	h2o_iovec_t buf;

	if (why != NULL) {
		link_fail (l, why);
		return;
	}
	/* A whole list went out once: its room is not kept for each link. */
	if (done->len > KEEP_MAX_BYTES) {
		g_byte_array_unref (done);
		l->flight = done = g_byte_array_new ();
	}
	g_byte_array_set_size (done, 0);
	if (l->queued->len == 0)
		return;
	l->flight = l->queued;
	l->queued = done;
	buf = h2o_iovec_init (l->flight->data, l->flight->len);
	h2o_socket_write (l->sock, &buf, 1, on_written);
}

static void
link_queue (struct link *l, uint8_t kind, const void *body, size_t len)
{
	uint8_t head[FRAME_HEAD_BYTES];
	h2o_iovec_t buf;
	GByteArray *swap = l->flight;

	frame_seal (&l->tx, kind, body, len, head);
	g_byte_array_append (l->queued, head, sizeof head);
	if (len > 0)
		g_byte_array_append (l->queued, body, (guint)len);
	l->bytes_sent += sizeof head + len;
	if (l->self->sent_bytes != NULL && kind < FRAME_KINDS)
		l->self->sent_bytes[kind] += sizeof head + len;
	if (l->flight->len > 0)
		return;
	l->flight = l->queued;
	l->queued = swap;
	buf = h2o_iovec_init (l->flight->data, l->flight->len);
	h2o_socket_write (l->sock, &buf, 1, on_written);
}

bool
link_send_raw (struct link *l, uint8_t kind, const void *body, size_t len)
{
	if (l->state != LINK_UP || len > FRAME_MAX_BYTES)
		return false;
	if (l->queued->len + len > LINK_QUEUE_MAX_BYTES)
		return false;
	link_queue (l, kind, body, len);
	return true;
}

bool
link_send (struct link *l, uint8_t kind, const struct msg_field *fields,
	   const void *obj)
{
	msgpack_sbuffer buf;
	bool ok;

	if (l->state != LINK_UP)
		return false;
	msgpack_sbuffer_init (&buf);
	msg_pack (fields, obj, &buf);
	ok = link_send_raw (l, kind, buf.data, buf.size);
	msgpack_sbuffer_destroy (&buf);
	return ok;
}

static void
send_hello (struct link *l)
{
	struct hello h = {.version = FRAME_VERSION,
			  .incarnation = l->self->incarnation};
	msgpack_sbuffer buf;

	memcpy (h.name, l->self->name, sizeof h.name);
	memcpy (h.role, l->self->role, sizeof h.role);
	memcpy (h.nonce, l->nonce, sizeof h.nonce);
	msgpack_sbuffer_init (&buf);
	msg_pack (hello_fields, &h, &buf);
	link_queue (l, FRAME_HELLO, buf.data, buf.size);
	msgpack_sbuffer_destroy (&buf);
}

/* The keys of both directions, for nonces known so far. */
static void
link_keys (struct link *l, const uint8_t *nonce_c, const uint8_t *nonce_s)
{
	uint8_t out = l->server == NULL ? 0 : 1;

	frame_state_init (&l->tx, l->self->cluster_key, nonce_c, nonce_s, out);
	frame_state_init (&l->rx, l->self->cluster_key, nonce_c, nonce_s, !out);
}

static void
link_begin (struct link *l, h2o_socket_t *sock)
{
	static const uint8_t zeros[FRAME_NONCE_BYTES];
	int fd = h2o_socket_get_fd (sock);
	int on = 1, user_ms = USER_TIMEOUT_MS;

	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms,
		    sizeof user_ms);
	l->sock = sock;
	sock->data = l;
	randombytes_buf (l->nonce, sizeof l->nonce);
	link_keys (l, zeros, zeros);
	tmr_start (&l->tmr, HELLO_TIMEOUT_MS);
	h2o_socket_read_start (sock, on_read);
}

static void
link_went_up (struct link *l)
{
	l->state = LINK_UP;
	l->retry_ms = RETRY_MIN_MS;
	tmr_stop (&l->tmr);
	l->ops->up (l, l->ctx);
}

static bool
read_hello (struct link *l, const uint8_t *body, size_t len, struct hello *h,
	    struct err *e)
{
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = msg_unpack (hello_fields, body, len, h, &zone, e);
	msgpack_zone_destroy (&zone);
	if (!ok)
		return false;
	if (h->version != FRAME_VERSION)
		return err_set (e, ERR_PROTOCOL, "peer speaks version %u",
				h->version);
	memcpy (l->peer_name, h->name, sizeof l->peer_name);
	memcpy (l->peer_role, h->role, sizeof l->peer_role);
	l->peer_incarnation = h->incarnation;
	return true;
}

static bool
take_hello (struct link *l, const uint8_t *body, size_t len, struct err *e)
{
	static const uint8_t zeros[FRAME_NONCE_BYTES];
	struct hello h;

	if (l->state == LINK_HELLO_PROOF) {
		link_went_up (l);
		return true;
	}
	if (!read_hello (l, body, len, &h, e))
		return false;
	if (l->state == LINK_HELLO_WAIT) {
		link_keys (l, h.nonce, zeros);
		send_hello (l);
		link_keys (l, h.nonce, l->nonce);
		l->state = LINK_HELLO_PROOF;
		return true;
	}
	link_keys (l, l->nonce, h.nonce);
	link_queue (l, FRAME_HELLO, NULL, 0);
	link_went_up (l);
	return true;
}

static bool
take_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	    struct err *e)
{
	bool hello = kind == FRAME_HELLO;

	if (hello != (l->state != LINK_UP))
		return err_set (e, ERR_PROTOCOL, "frame kind %u out of turn",
				kind);
	if (hello)
		return take_hello (l, body, len, e);
	l->ops->frame (l, kind, body, len, l->ctx);
	return true;
}

static void
on_read (h2o_socket_t *sock, const char *why)
{
	struct link *l = sock->data;
	struct err e = {0};

	if (why != NULL) {
		link_fail (l, why);
		return;
	}
	l->received_ms = tmr_now_ms ();
	l->busy++;
	/* The connection may end, and another begin, inside a callback. */
	while (!l->dead && l->sock == sock) {
		const uint8_t *body;
		size_t len;
		uint8_t kind;
		int64_t used =
			frame_open (&l->rx, (const uint8_t *)sock->input->bytes,
				    sock->input->size, &kind, &body, &len, &e);

		if (used == 0)
			break;
		if (used < 0 || !take_frame (l, kind, body, len, &e)) {
			log_event (LOG_LV_WARN, "link_refused",
				   "peer=%s kind=%s why=\"%s\"", l->peer_name,
				   err_name (e.kind), e.msg);
			link_drop (l, e.msg);
			break;
		}
		if (!l->dead && l->sock == sock)
			h2o_buffer_consume (&sock->input, (size_t)used);
	}
	l->busy--;
	link_settle (l);
}

static void
on_connect (h2o_socket_t *sock, const char *why)
{
	static const uint8_t zeros[FRAME_NONCE_BYTES];
	struct link *l = sock->data;

	if (why != NULL) {
		link_fail (l, why);
		return;
	}
	link_begin (l, sock);
	l->state = LINK_HELLO_SENT;
	send_hello (l);
	/* The answer comes sealed under our nonce alone. */
	frame_state_init (&l->rx, l->self->cluster_key, l->nonce, zeros, 1);
}

static void
on_timer (void *ctx)
{
	struct link *l = ctx;
	struct err e;
	int fd;

	if (l->state != LINK_DOWN) {
		link_fail (l, l->state == LINK_CONNECTING ? "no connection"
							  : "hello timed out");
		return;
	}
	fd = link_connect_fd (&l->addr, l->self->from, &e);
	if (fd < 0) {
		log_event (LOG_LV_DEBUG, "link_fail", "why=\"%s\"", e.msg);
		link_retry (l);
		return;
	}
	l->sock = h2o_evloop_socket_create (l->loop, fd,
					    H2O_SOCKET_FLAG_IS_CONNECTING);
	l->sock->data = l;
	h2o_socket_notify_write (l->sock, on_connect);
	l->state = LINK_CONNECTING;
	tmr_start (&l->tmr, CONNECT_TIMEOUT_MS);
}

static void
link_retry (struct link *l)
{
	/* Jitter, so that peers of a restarted instance spread out. */
	tmr_start (&l->tmr,
		   l->retry_ms / 2 + randombytes_uniform (l->retry_ms));
	l->retry_ms = MIN (l->retry_ms * 2, RETRY_MAX_MS);
}

static struct link *
link_new (h2o_loop_t *loop, const struct link_self *self,
	  const struct link_ops *ops, void *ctx)
{
	struct link *l = g_new0 (struct link, 1);

	l->loop = loop;
	l->self = self;
	l->ops = ops;
	l->ctx = ctx;
	l->queued = g_byte_array_new ();
	l->flight = g_byte_array_new ();
	l->retry_ms = RETRY_MIN_MS;
	tmr_init (&l->tmr, loop, on_timer, l);
	return l;
}

struct link *
link_connect (h2o_loop_t *loop, const struct link_self *self,
	      const struct sockaddr_in *addr, const struct link_ops *ops,
	      void *ctx)
{
	struct link *l = link_new (loop, self, ops, ctx);

	l->addr = *addr;
	tmr_start (&l->tmr, 0);
	return l;
}

static void
on_accept (h2o_socket_t *listener, const char *why)
{
	struct link_server *s = listener->data;
	h2o_socket_t *sock;
	struct link *l;

	if (why != NULL)
		return;
	sock = h2o_evloop_socket_accept (listener);
	if (sock == NULL)
		return;
	if (s->links->len >= ACCEPTED_MAX) {
		log_event (LOG_LV_WARN, "link_refused", "why=\"%u links\"",
			   s->links->len);
		h2o_socket_close (sock);
		return;
	}
	l = link_new (h2o_socket_get_loop (listener), s->self, s->ops, s->ctx);
	l->server = s;
	g_ptr_array_add (s->links, l);
	l->state = LINK_HELLO_WAIT;
	link_begin (l, sock);
}

struct link_server *
link_listen (h2o_loop_t *loop, const struct link_self *self,
	     const struct sockaddr_in *addr, const struct link_ops *ops,
	     void *ctx, struct err *e)
{
	struct link_server *s;
	uint16_t port;
	int fd = link_listen_fd (addr, LISTEN_BACKLOG, &port, e);

	if (fd < 0)
		return NULL;
	s = g_new0 (struct link_server, 1);
	s->self = self;
	s->ops = ops;
	s->ctx = ctx;
	s->links = g_ptr_array_new ();
	s->port = port;
	s->sock =
		h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	s->sock->data = s;
	h2o_socket_read_start (s->sock, on_accept);
	return s;
}

void
link_server_free (struct link_server *s)
{
	if (s == NULL)
		return;
	h2o_socket_close (s->sock);
	while (s->links->len > 0) {
		struct link *l = g_ptr_array_index (s->links, 0);

		g_ptr_array_remove_index_fast (s->links, 0);
		l->server = NULL;
		link_free (l);
	}
	g_ptr_array_unref (s->links);
	g_free (s);
}

uint16_t
link_server_port (const struct link_server *s)
{
	return s->port;
}

bool
link_is_up (const struct link *l)
{
	return l->state == LINK_UP;
}

const char *
link_peer_name (const struct link *l)
{
	return l->peer_name;
}

const char *
link_peer_role (const struct link *l)
{
	return l->peer_role;
}

uint64_t
link_peer_incarnation (const struct link *l)
{
	return l->peer_incarnation;
}

void
link_set_data (struct link *l, void *data)
{
	l->data = data;
}

void *
link_data (const struct link *l)
{
	return l->data;
}

uint64_t
link_received_ms (const struct link *l)
{
	uint64_t now_ms = tmr_now_ms ();
	char byte;

	if (l->state == LINK_UP && now_ms > l->received_ms + UNREAD_CHECK_MS &&
	    recv (h2o_socket_get_fd (l->sock), &byte, sizeof byte,
		  MSG_PEEK | MSG_DONTWAIT) > 0)
		return now_ms;
	return l->received_ms;
}

uint64_t
link_bytes_sent (const struct link *l)
{
	return l->bytes_sent;
}
