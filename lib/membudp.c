/*
 * Membership over UDP.  h2o knows no datagrams, so the loop only says when the
 * socket is readable and the reading is done here.
 */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link.h"
#include "log.h"
#include "membudp.h"
#include "tmr.h"

/* Datagrams taken in one turn of the loop, so that a flood starves nobody. */
#define READS_MAX 64

struct membudp {
	struct memb memb;
	const struct membudp_ops *ops;
	void *ctx;
	int fd;
	h2o_socket_t *sock;
	struct tmr tmr;
	uint16_t port;
	uint64_t bytes_sent;
	uint64_t refused; /* datagrams of strangers, or damaged */
};

static void
on_send (const struct memb_peer *to, const void *data, size_t len, void *ctx)
{
	struct membudp *u = ctx;
	struct sockaddr_in sa;

	if (!link_addr_parse (to->addr, &sa, NULL))
		return;
	/* One that is lost here is as good as lost on the way. */
	if (sendto (u->fd, data, len, MSG_DONTWAIT, (struct sockaddr *)&sa,
		    sizeof sa) >= 0)
		u->bytes_sent += len;
}

static void
on_changed (const struct memb_peer *p, enum memb_state was, void *ctx)
{
	struct membudp *u = ctx;

	u->ops->changed (p, was, u->ctx);
}

static const struct memb_ops memb_ops = {on_send, on_changed};

static void
on_tick (void *ctx)
{
	struct membudp *u = ctx;
	uint64_t now_ms = tmr_now_ms ();
	uint64_t next_ms = memb_tick (&u->memb, now_ms);

	tmr_start (&u->tmr, next_ms - now_ms);
}

/* A stranger may send as much as it likes: one log line a power of two. */
static void
refuse (struct membudp *u, const struct err *e)
{
	u->refused++;
	if ((u->refused & (u->refused - 1)) == 0)
		log_event (LOG_LV_WARN, "datagram_refused",
			   "count=%" G_GUINT64_FORMAT " why=\"%s\"", u->refused,
			   e->msg);
}

static void
on_readable (h2o_socket_t *sock, const char *err)
{
	struct membudp *u = sock->data;
	uint8_t buf[MEMB_DATAGRAM_BYTES + 1];
	struct err e;

	if (err != NULL)
		return;
	for (int i = 0; i < READS_MAX; i++) {
		ssize_t n = recv (u->fd, buf, sizeof buf, MSG_DONTWAIT);

		/* A port that nobody listens on is told by an error here. */
		if (n < 0 && errno != EAGAIN)
			continue;
		if (n < 0)
			return;
		if (!memb_receive (&u->memb, buf, (size_t)n, tmr_now_ms (), &e))
			refuse (u, &e);
	}
}

static int
open_socket (const struct sockaddr_in *addr, uint16_t *port, struct err *e)
{
	int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	struct sockaddr_in sa = *addr;
	socklen_t len = sizeof sa;

	if (fd < 0) {
		err_set (e, ERR_IO, "open datagram socket: %s",
			 strerror (errno));
		return -1;
	}
	if (bind (fd, (const struct sockaddr *)addr, sizeof *addr) < 0 ||
	    getsockname (fd, (struct sockaddr *)&sa, &len) < 0) {
		err_set (e, ERR_IO, "bind datagram socket to port %u: %s",
			 ntohs (addr->sin_port), strerror (errno));
		close (fd);
		return -1;
	}
	*port = ntohs (sa.sin_port);
	return fd;
}

struct membudp *
membudp_new (h2o_loop_t *loop, const struct membudp_self *self,
	     const struct sockaddr_in *addr, const struct membudp_ops *ops,
	     void *ctx, struct err *e)
{
	struct membudp *u;
	uint16_t port;
	int fd = open_socket (addr, &port, e);

	if (fd < 0)
		return NULL;
	u = g_new0 (struct membudp, 1);
	u->fd = fd;
	u->port = port;
	u->ops = ops;
	u->ctx = ctx;
	memb_init (&u->memb, &memb_defaults, &memb_ops, u, self->name,
		   self->domain, self->incarnation, self->cluster_key,
		   self->seed, tmr_now_ms ());
	u->sock =
		h2o_evloop_socket_create (loop, fd, H2O_SOCKET_FLAG_DONT_READ);
	u->sock->data = u;
	h2o_socket_read_start (u->sock, on_readable);
	tmr_init (&u->tmr, loop, on_tick, u);
	tmr_start (&u->tmr, 0);
	return u;
}

void
membudp_free (struct membudp *u)
{
	tmr_finish (&u->tmr);
	h2o_socket_read_stop (u->sock);
	h2o_socket_close (u->sock);
	memb_finish (&u->memb);
	g_free (u);
}

void
membudp_set_peers (struct membudp *u, const struct inv *inv)
{
	memb_set_peers (&u->memb, inv, tmr_now_ms ());
}

void
membudp_listed (struct membudp *u, const char *name, enum memb_listed listed)
{
	memb_listed (&u->memb, name, listed, tmr_now_ms ());
}

void
membudp_leave (struct membudp *u)
{
	memb_leave (&u->memb, tmr_now_ms ());
}

const struct memb *
membudp_view (const struct membudp *u)
{
	return &u->memb;
}

uint16_t
membudp_port (const struct membudp *u)
{
	return u->port;
}

uint64_t
membudp_bytes_sent (const struct membudp *u)
{
	return u->bytes_sent;
}
