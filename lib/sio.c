/*
 * Stream sockets with an output queue.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "sio.h"

#define PROBES_DEFAULT 2

/* Handed to the kernel at once: small enough that a reader which takes its
 * answer slowly is seen to make progress. */
#define PART_BYTES (64U << 10)

/* Memory that an empty queue keeps for the next bytes. */
#define KEEP_BYTES (16U << 10)

/*
 * Why the stream ended, or NULL where the other side closed it.  The kernel
 * reports an error once; a read that follows sees an end.  EPIPE is what a
 * write gets where the other side's end had arrived before the connection was
 * reset, so that nothing of the stream is missing.
 */
static const char *
end_reason (const struct sio *s)
{
	return s->error != 0 && s->error != EPIPE ? strerror (s->error) : NULL;
}

static void
on_read (h2o_socket_t *sock, const char *why)
{
	struct sio *s = sock->data;

	/* Bytes can come with the error of the read after them.  They count,
	 * and the next read sees the end. */
	if (why != NULL && sock->input->size > s->told) {
		if (why != h2o_socket_error_closed && s->error == 0)
			s->error = EIO;
		why = NULL;
	}
	s->told = sock->input->size;
	if (why == NULL)
		s->ops->readable (s->ctx);
	else /* h2o reports the orderly end as an error too. */
		s->ops->ended (why == h2o_socket_error_closed ? end_reason (s)
							      : why,
			       s->ctx);
}

void
sio_set_limits (struct sio *s, const struct sio_limits *l)
{
	int fd, on = l->probe_s > 0, probe_s = (int)l->probe_s;
	int probes =
		(int)(l->probe_count > 0 ? l->probe_count : PROBES_DEFAULT);
	unsigned int timeout_ms = l->user_timeout_ms;

	if (s->sock == NULL || memcmp (&s->limits, l, sizeof *l) == 0)
		return;
	s->limits = *l;
	fd = h2o_socket_get_fd (s->sock);
	setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
		    sizeof timeout_ms);
	setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
	if (!on)
		return;
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
	setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

void
sio_init (struct sio *s, h2o_socket_t *sock, const struct sio_ops *ops,
	  void *ctx, const struct sio_limits *limits)
{
	int on = 1, fd = h2o_socket_get_fd (sock);

	*s = (struct sio){.sock = sock, .ops = ops, .ctx = ctx};
	s->queued = g_byte_array_new ();
	s->flight = g_byte_array_new ();
	sock->data = s;
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	sio_set_limits (s, limits);
	h2o_socket_read_start (sock, on_read);
}

bool
sio_is_open (const struct sio *s)
{
	return s->sock != NULL;
}

const char *
sio_input (const struct sio *s, size_t *len)
{
	*len = s->sock->input->size;
	return s->sock->input->bytes;
}

void
sio_consume (struct sio *s, size_t len)
{
	h2o_buffer_consume (&s->sock->input, len);
	s->told -= len;
}

bool
sio_is_quiet (struct sio *s)
{
	char byte;

	if (recv (h2o_socket_get_fd (s->sock), &byte, 1,
		  MSG_PEEK | MSG_DONTWAIT) >= 0)
		return false;
	if (errno == EAGAIN || errno == EINTR)
		return true;
	if (s->error == 0)
		s->error = errno;
	return false;
}

void
sio_pause (struct sio *s)
{
	if (!s->paused)
		h2o_socket_read_stop (s->sock);
	s->paused = true;
}

void
sio_resume (struct sio *s)
{
	if (s->paused)
		h2o_socket_read_start (s->sock, on_read);
	s->paused = false;
}

static void on_written (h2o_socket_t *sock, const char *why);

/* A new array, in place of one that holds more memory than it is to keep. */
static void
empty (GByteArray **a)
{
	if ((*a)->len > KEEP_BYTES) {
		g_byte_array_unref (*a);
		*a = g_byte_array_new ();
	}
	g_byte_array_set_size (*a, 0);
}

static void on_writable (h2o_socket_t *sock, const char *why);

/*
 * Hands the rest of the part to the kernel.  h2o's own write would take the
 * connection's error without telling which one it was.
 */
static void
send_rest (struct sio *s)
{
	ssize_t n = send (h2o_socket_get_fd (s->sock),
			  s->flight->data + s->flight_at + s->part_at,
			  s->part - s->part_at, MSG_NOSIGNAL | MSG_DONTWAIT);

	if (n >= 0)
		s->part_at += (uint32_t)n;
	else if (errno != EAGAIN && errno != EINTR)
		s->error = errno;
	/* A write of no bytes calls back later in this turn of the loop. */
	if (s->error != 0 || s->part_at == s->part)
		h2o_socket_write (s->sock, NULL, 0, on_written);
	else
		h2o_socket_notify_write (s->sock, on_writable);
}

static void
on_writable (h2o_socket_t *sock, const char *why)
{
	struct sio *s = sock->data;

	if (why == NULL) {
		send_rest (s);
		return;
	}
	s->error = EIO;
	on_written (sock, why);
}

/* Hands the next part of the flight to the kernel. */
static void
send_part (struct sio *s)
{
	s->part = MIN (s->flight->len - s->flight_at, PART_BYTES);
	s->part_at = 0;
	send_rest (s);
}

static void
flush (struct sio *s)
{
	GByteArray *swap = s->flight;

	s->flight = s->queued;
	s->queued = swap;
	s->flight_at = 0;
	send_part (s);
}

/* The shared block follows all that was queued before it. */
static void
flush_shared (struct sio *s)
{
	g_byte_array_unref (s->flight);
	s->flight = s->shared;
	s->shared = NULL;
	s->flight_is_shared = true;
	s->flight_at = 0;
	send_part (s);
}

static void
on_written (h2o_socket_t *sock, const char *why)
{
	struct sio *s = sock->data;

	if (s->error != 0)
		why = strerror (s->error);
	if (why != NULL) {
		/* Where nothing is left to read, not even an end, reading would
		 * never tell. */
		if (!s->ops->reads_on || sio_is_quiet (s))
			s->ops->ended (why, s->ctx);
		return;
	}
	s->flight_at += s->part;
	if (s->flight_at < s->flight->len) {
		send_part (s);
		if (s->ops->wrote != NULL)
			s->ops->wrote (s->ctx);
		return;
	}
	if (s->flight_is_shared) {
		g_byte_array_unref (s->flight);
		s->flight = g_byte_array_new ();
		s->flight_is_shared = false;
	}
	empty (&s->flight);
	s->flight_at = 0;
	if (s->queued->len > 0)
		flush (s);
	else if (s->shared != NULL)
		flush_shared (s);
	else
		s->ops->drained (s->ctx);
}

/* Copies the shared block into the queue, so that more can follow it. */
static void
sio_unshare (struct sio *s)
{
	GByteArray *block = s->shared;

	if (block == NULL)
		return;
	s->shared = NULL;
	g_byte_array_append (s->queued, block->data, block->len);
	g_byte_array_unref (block);
}

void
sio_write (struct sio *s, const void *data, size_t len)
{
	sio_write2 (s, data, len, NULL, 0);
}

void
sio_write2 (struct sio *s, const void *a, size_t a_len, const void *b,
	    size_t b_len)
{
	GByteArray *to;

	if (s->sock == NULL || a_len + b_len == 0)
		return;
	sio_unshare (s);
	to = s->queued;
	if (a_len > 0)
		g_byte_array_append (to, a, (guint)a_len);
	if (b_len > 0)
		g_byte_array_append (to, b, (guint)b_len);
	if (s->flight->len == 0)
		flush (s);
}

void
sio_write_shared (struct sio *s, GByteArray *block)
{
	if (s->sock == NULL || block->len == 0)
		return;
	if (s->shared != NULL) {
		sio_write (s, block->data, block->len);
		return;
	}
	s->shared = g_byte_array_ref (block);
	if (s->flight->len == 0)
		flush_shared (s);
}
size_t
sio_pending (const struct sio *s)
{
	if (s->sock == NULL)
		return 0;
	return s->queued->len + s->flight->len - s->flight_at +
	       (s->shared != NULL ? s->shared->len : 0);
}

size_t
sio_held (const struct sio *s)
{
	return s->sock != NULL ? s->queued->len + s->flight->len : 0;
}

void
sio_shut (struct sio *s)
{
	shutdown (h2o_socket_get_fd (s->sock), SHUT_WR);
}

void
sio_close (struct sio *s)
{
	if (s->sock == NULL)
		return;
	h2o_socket_close (s->sock);
	s->sock = NULL;
	g_byte_array_unref (s->queued);
	g_byte_array_unref (s->flight);
	if (s->shared != NULL)
		g_byte_array_unref (s->shared);
	s->queued = s->flight = s->shared = NULL;
}

void
sio_reset (struct sio *s)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (s->sock == NULL)
		return;
	setsockopt (h2o_socket_get_fd (s->sock), SOL_SOCKET, SO_LINGER, &now,
		    sizeof now);
	sio_close (s);
}
