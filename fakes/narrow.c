/*
 * Stand-in for narrow network links: doors before the members of a group that
 * pass connections on, where all bytes to one dialer share one rate.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"
#include "link.h"
#include "sio.h"

#define MEMBERS_MAX 16
#define TICK_MS 5

/* Bytes that are buffered for each connection. */
#define WINDOW_BYTES (32U << 10)

/* Longest burst after a pause, in time at the link's rate. */
#define BURST_MS 10

struct narrow;

/** struct door - a listening address and the member behind it */
struct door {
	struct narrow *n;
	struct sockaddr_in target;
	h2o_socket_t *listener;
};

/** struct dialer - an address that dials; its link to all members */
struct dialer {
	struct in_addr ip;
	bool is_narrow;
	double credit_bytes;
	uint64_t bytes; /* that it was sent */
};

/** struct pipe - a connection; end 0 is the dialer's */
struct pipe {
	struct door *door;
	struct dialer *dialer;
	struct end {
		struct pipe *pipe;
		struct sio io;
		bool open, ended;
	} ends[2];
	h2o_socket_t *connecting;
	uint64_t bytes; /* that the dialer was sent */
	bool over;
};

/** struct narrow - the stand-in */
struct narrow {
	struct fake f;
	char net[FAKE_STR_BYTES];
	char dialers_narrow[FAKE_STR_BYTES];
	uint64_t members;
	uint64_t port;
	double rate_bytes_per_s;
	uint64_t reset_bytes;
	struct door doors[MEMBERS_MAX];
	GPtrArray *dialers; /* of struct dialer * */
	GPtrArray *pipes;   /* of struct pipe * */
	struct tmr tick;
	uint64_t ticked_ms;
	uint64_t connections, resets;
	guint first; /* which pipe moves first */
};

#define AT(member) offsetof (struct narrow, member)

static const struct fake_knob knobs[] = {
	{"net", FAKE_STR, AT (net), "127.0.0",
	 "member N is at NET.N, its door at NET.(100+N)"},
	{"members", FAKE_U64, AT (members), "3", "how many"},
	{"port", FAKE_U64, AT (port), "0", "of all members and doors"},
	{"narrow", FAKE_STR, AT (dialers_narrow), "",
	 "addresses whose links are narrow, joined by commas"},
	{"rate", FAKE_F64, AT (rate_bytes_per_s), "0",
	 "bytes a second to each of them; 0: no limit"},
	{"reset_bytes", FAKE_U64, AT (reset_bytes), "0",
	 "reset their connections after so many bytes; 0: never"},
	{NULL, FAKE_U64, 0, NULL, NULL},
};

static struct dialer *
dialer_get (struct narrow *n, struct in_addr ip)
{
	char text[INET_ADDRSTRLEN];
	char **names;
	struct dialer *d;

	for (guint i = 0; i < n->dialers->len; i++) {
		d = g_ptr_array_index (n->dialers, i);
		if (d->ip.s_addr == ip.s_addr)
			return d;
	}
	d = g_new0 (struct dialer, 1);
	d->ip = ip;
	inet_ntop (AF_INET, &ip, text, sizeof text);
	names = g_strsplit (n->dialers_narrow, ",", -1);
	d->is_narrow =
		g_strv_contains ((const char *const *)names, text) != FALSE;
	g_strfreev (names);
	g_ptr_array_add (n->dialers, d);
	return d;
}

/* How many of @len bytes may go to end @to now. */
static size_t
allowed (const struct pipe *p, int to, size_t len)
{
	const struct narrow *n = p->door->n;

	if (to != 0 || !p->dialer->is_narrow || n->rate_bytes_per_s <= 0)
		return len;
	return MIN (len, (size_t)MAX (p->dialer->credit_bytes, 0));
}

static void
pipe_move (struct pipe *p)
{
	for (int i = 0; i < 2; i++) {
		struct end *from = &p->ends[i], *to = &p->ends[1 - i];
		const char *data;
		size_t len, part;

		if (!from->open || !to->open)
			continue;
		data = sio_input (&from->io, &len);
		part = to->ended ? len : allowed (p, 1 - i, len);
		if (part > 0 && !to->ended)
			sio_write (&to->io, data, part);
		if (1 - i == 0) {
			if (p->door->n->rate_bytes_per_s > 0)
				p->dialer->credit_bytes -= (double)part;
			p->dialer->bytes += part;
			p->bytes += part;
		}
		sio_consume (&from->io, part);
		if (len - part >= WINDOW_BYTES)
			sio_pause (&from->io);
		else
			sio_resume (&from->io);
		if (from->ended && part == len && sio_pending (&to->io) == 0)
			p->over = true;
	}
	if (p->dialer->is_narrow && p->door->n->reset_bytes > 0 &&
	    p->bytes >= p->door->n->reset_bytes) {
		p->door->n->resets++;
		p->over = true;
	}
}

static void
on_readable (void *ctx)
{
	struct end *e = ctx;

	/* Limited connections move with the tick, round robin. */
	if (e == &e->pipe->ends[0] || !e->pipe->dialer->is_narrow)
		pipe_move (e->pipe);
	else if (e->open && e->pipe->ends[0].open) {
		size_t len;

		sio_input (&e->io, &len);
		if (len >= WINDOW_BYTES)
			sio_pause (&e->io);
	}
}

static void
on_drained (void *ctx)
{
	(void)ctx;
}

static void
on_ended (const char *why, void *ctx)
{
	struct end *e = ctx;

	(void)why;
	e->ended = true;
}

static const struct sio_ops end_ops = {
	.readable = on_readable, .drained = on_drained, .ended = on_ended};

static void
end_open (struct pipe *p, int i, h2o_socket_t *sock)
{
	static const struct sio_limits limits = {0};

	p->ends[i].pipe = p;
	p->ends[i].open = true;
	sio_init (&p->ends[i].io, sock, &end_ops, &p->ends[i], &limits);
}

static void
on_connect (h2o_socket_t *sock, const char *why)
{
	struct pipe *p = sock->data;

	p->connecting = NULL;
	if (why == NULL) {
		end_open (p, 1, sock);
	} else {
		h2o_socket_close (sock);
		p->over = true;
	}
}

static void
on_accept (h2o_socket_t *listener, const char *why)
{
	struct door *d = listener->data;
	h2o_socket_t *sock;

	while (why == NULL &&
	       (sock = h2o_evloop_socket_accept (listener)) != NULL) {
		struct pipe *p = g_new0 (struct pipe, 1);
		struct sockaddr_in at = {0};

		h2o_socket_getpeername (sock, (struct sockaddr *)&at);
		p->door = d;
		p->dialer = dialer_get (d->n, at.sin_addr);
		end_open (p, 0, sock);
		p->connecting = h2o_socket_connect (
			d->n->f.daemon.loop, (struct sockaddr *)&d->target,
			sizeof d->target, on_connect);
		if (p->connecting != NULL)
			p->connecting->data = p;
		else
			p->over = true;
		d->n->connections++;
		g_ptr_array_add (d->n->pipes, p);
	}
}

static void
pipe_free (struct pipe *p)
{
	if (p->connecting != NULL)
		h2o_socket_close (p->connecting);
	for (int i = 0; i < 2; i++) {
		if (p->ends[i].open)
			sio_reset (&p->ends[i].io);
	}
	g_free (p);
}

static void
on_tick (void *ctx)
{
	struct narrow *n = ctx;
	uint64_t now_ms = tmr_now_ms ();
	double burst = n->rate_bytes_per_s * BURST_MS / 1000;

	for (guint i = 0; i < n->dialers->len; i++) {
		struct dialer *d = g_ptr_array_index (n->dialers, i);

		d->credit_bytes += n->rate_bytes_per_s *
				   (double)(now_ms - n->ticked_ms) / 1000;
		d->credit_bytes = MIN (d->credit_bytes, MAX (burst, 1500));
	}
	n->ticked_ms = now_ms;
	n->first++;
	for (guint i = 0; i < n->pipes->len; i++)
		pipe_move (g_ptr_array_index (n->pipes,
					      (n->first + i) % n->pipes->len));
	for (guint i = n->pipes->len; i > 0; i--) {
		struct pipe *p = g_ptr_array_index (n->pipes, i - 1);

		if (!p->over && !(p->ends[0].ended && p->ends[1].ended))
			continue;
		g_ptr_array_remove_index (n->pipes, i - 1);
		pipe_free (p);
	}
	tmr_start (&n->tick, TICK_MS);
}

static bool
door_open (struct narrow *n, uint32_t i)
{
	struct door *d = &n->doors[i];
	char *at = g_strdup_printf ("%s.%u:%u", n->net, 101 + i,
				    (uint32_t)n->port);
	char *to =
		g_strdup_printf ("%s.%u:%u", n->net, 1 + i, (uint32_t)n->port);
	struct sockaddr_in from;
	uint16_t port;
	int fd = -1;

	d->n = n;
	if (link_addr_parse (at, &from, NULL) &&
	    link_addr_parse (to, &d->target, NULL))
		fd = link_listen_fd (&from, 64, &port, NULL);
	g_free (at);
	g_free (to);
	if (fd < 0)
		return false;
	d->listener = h2o_evloop_socket_create (n->f.daemon.loop, fd,
						H2O_SOCKET_FLAG_DONT_READ);
	d->listener->data = d;
	h2o_socket_read_start (d->listener, on_accept);
	return true;
}

static void
on_start (struct fake *f, void *ctx)
{
	struct narrow *n = ctx;

	(void)f;
	n->dialers = g_ptr_array_new_with_free_func (g_free);
	n->pipes = g_ptr_array_new ();
	for (uint32_t i = 0; i < MIN (n->members, MEMBERS_MAX); i++) {
		if (!door_open (n, i)) {
			g_printerr ("fake-narrow: no door %u\n", i + 1);
			exit (1);
		}
	}
	n->ticked_ms = tmr_now_ms ();
	tmr_init (&n->tick, n->f.daemon.loop, on_tick, n);
	tmr_start (&n->tick, TICK_MS);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	(void)req;
	(void)ctx;
	return -1;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct narrow *n = ctx;
	uint64_t most = 0;

	for (guint i = 0; i < n->dialers->len; i++) {
		const struct dialer *d = g_ptr_array_index (n->dialers, i);

		if (d->is_narrow)
			most = MAX (most, d->bytes);
	}
	json_object_object_add (out, "bytes",
				json_object_new_int64 ((int64_t)most));
	json_object_object_add (
		out, "connections",
		json_object_new_int64 ((int64_t)n->connections));
	json_object_object_add (out, "resets",
				json_object_new_int64 ((int64_t)n->resets));
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-narrow",
		.doc = "Stand-in for narrow links to the members of a group.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct narrow n;

	return fake_main (&n.f, &ops, &n, argc, argv);
}
