/*
 * Listeners of the server side of HTTP/1.1.
 */
#include <errno.h>
#include <sys/socket.h>

#include "h1srv_priv.h"
#include "link.h"
#include "tmr.h"

#define LISTEN_BACKLOG 512

/* What the kernel holds for a connection in each direction, and so about what
 * one read brings. */
#define KERNEL_BUFFER_BYTES (128 << 10)

/* Between two attempts to accept connections where descriptors are used up. */
#define ACCEPT_PAUSE_MS 100

static void
on_sweep (void *ctx)
{
	struct h1srv *s = ctx;

	g_ptr_array_set_size (s->graves, 0);
}

void
h1srv_on_accept (h2o_socket_t *listener, const char *why)
{
	struct h1srv *s = listener->data;
	h2o_socket_t *sock;

	if (why != NULL)
		return;
	while ((sock = h2o_evloop_socket_accept (listener)) != NULL) {
		if (!h1srv_conn_new (s, sock))
			h2o_socket_close (sock);
	}
	if (errno == EMFILE || errno == ENFILE) {
		h2o_socket_read_stop (listener);
		tmr_start (&s->accept_timer, ACCEPT_PAUSE_MS);
	}
}

static void
on_accept_timer (void *ctx)
{
	struct h1srv *s = ctx;

	if (s->listener != NULL)
		h2o_socket_read_start (s->listener, h1srv_on_accept);
}

bool
h1srv_init (struct h1srv *s, h2o_loop_t *loop, const struct sockaddr_in *addr,
	    const struct h1srv_limits *limits, const struct h1srv_ops *ops,
	    void *ctx, struct err *e)
{
	int fd, buffer_bytes = KERNEL_BUFFER_BYTES;

	*s = (struct h1srv){
		.loop = loop, .ops = ops, .ctx = ctx, .limits = *limits};
	fd = link_listen_fd (addr, LISTEN_BACKLOG, &s->port, e);
	if (fd < 0)
		return false;
	/* Accepted connections inherit them. */
	setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		    sizeof buffer_bytes);
	setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
		    sizeof buffer_bytes);
	quota_init (&s->own_quota, 0, 0, 2, 1);
	s->quota = &s->own_quota;
	s->conns = g_ptr_array_new ();
	s->graves = g_ptr_array_new_with_free_func (h1srv_conn_bury);
	tmr_init (&s->sweep, loop, on_sweep, s);
	tmr_init (&s->accept_timer, loop, on_accept_timer, s);
	s->listener =
		h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	s->listener->data = s;
	h2o_socket_read_start (s->listener, h1srv_on_accept);
	return true;
}

void
h1srv_finish (struct h1srv *s)
{
	h1srv_close_listener (s);
	if (s->conns == NULL)
		return;
	for (guint i = s->conns->len; i > 0; i--)
		h1srv_conn_ended (NULL, g_ptr_array_index (s->conns, i - 1));
	tmr_finish (&s->sweep);
	tmr_finish (&s->accept_timer);
	g_ptr_array_free (s->conns, TRUE);
	g_ptr_array_free (s->graves, TRUE);
	s->conns = s->graves = NULL;
}
