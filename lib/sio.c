/*
 * Stream sockets with an output queue.
 */
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "sio.h"

#define PROBES_DEFAULT 2

static void
on_read (h2o_socket_t *sock, const char *why)
{
	struct sio *s = sock->data;

	if (why != NULL) {
		/* h2o reports the orderly end as an error too. */
		s->ops->ended (why == h2o_socket_error_closed ? NULL : why,
			       s->ctx);
		return;
	}
	s->ops->readable (s->ctx);
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
}

bool
sio_is_quiet (const struct sio *s)
{
	char byte;

	return recv (h2o_socket_get_fd (s->sock), &byte, 1,
		     MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       (errno == EAGAIN || errno == EINTR);
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

static void
flush (struct sio *s)
{
	GByteArray *swap = s->flight;
	h2o_iovec_t buf;

	s->flight = s->queued;
	s->queued = swap;
	buf = h2o_iovec_init (s->flight->data, s->flight->len);
	h2o_socket_write (s->sock, &buf, 1, on_written);
}

static void
on_written (h2o_socket_t *sock, const char *why)
{
	struct sio *s = sock->data;

	if (why != NULL) {
		s->ops->ended (why, s->ctx);
		return;
	}
	g_byte_array_set_size (s->flight, 0);
	if (s->queued->len > 0)
		flush (s);
	else
		s->ops->drained (s->ctx);
}

void
sio_write (struct sio *s, const void *data, size_t len)
{
	if (s->sock == NULL || len == 0)
		return;
	g_byte_array_append (s->queued, data, (guint)len);
	if (s->flight->len == 0)
		flush (s);
}

size_t
sio_pending (const struct sio *s)
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
	s->queued = s->flight = NULL;
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
