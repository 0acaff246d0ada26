/*
 * The links to the members: a proxy before each member's listener that delays,
 * silences, resets and cuts connections, each way alone too.
 */
#include <arpa/inet.h>
#include <string.h>

#include "link.h"
#include "sio.h"
#include "soak.h"

/* A delayed path passes what came once in so long. */
#define SLOW_MS 150

/* A connection between a daemon and a member; end 0 is the dialer's. */
struct pipe {
	struct soak_door *door;
	int from; /* the dialer's number */
	struct end {
		struct pipe *pipe;
		struct sio io;
		bool open, ended;
	} ends[2];
	h2o_socket_t *connecting;
	bool mute; /* silent for good */
	bool over;
};

static struct soak_path *
path_of (struct pipe *p, int end)
{
	struct soak *k = p->door->k;

	/* What the dialer sends goes from it to the member, the rest back. */
	return end == 0 ? &k->paths[p->from][p->door->member]
			: &k->paths[p->door->member][p->from];
}

static bool
may_pass (struct pipe *p, int end, uint64_t now_ms)
{
	struct soak_path *path = path_of (p, end);

	if (p->mute || now_ms < path->cut_until_ms)
		return false;
	return now_ms >= path->slow_until_ms || now_ms % SLOW_MS < SOAK_TICK_MS;
}

static void
pipe_move (struct pipe *p, uint64_t now_ms)
{
	for (int i = 0; i < 2; i++) {
		struct end *from = &p->ends[i], *to = &p->ends[1 - i];
		const char *data;
		size_t len;

		if (!from->open || !to->open || !may_pass (p, i, now_ms))
			continue;
		data = sio_input (&from->io, &len);
		if (len > 0 && !to->ended)
			sio_write (&to->io, data, len);
		sio_consume (&from->io, len);
		if (from->ended && sio_pending (&to->io) == 0)
			p->over = true;
	}
}

static void
on_readable (void *ctx)
{
	struct end *e = ctx;

	pipe_move (e->pipe, tmr_now_ms ());
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

static int
daemon_at (const struct soak *k, const struct sockaddr_in *at)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop (AF_INET, &at->sin_addr, ip, sizeof ip);
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		if (strcmp (k->procs[i].ip, ip) == 0)
			return i;
	}
	return 0;
}

static void
on_accept (h2o_socket_t *listener, const char *why)
{
	struct soak_door *d = listener->data;
	h2o_socket_t *sock;

	while (why == NULL &&
	       (sock = h2o_evloop_socket_accept (listener)) != NULL) {
		struct pipe *p = g_new0 (struct pipe, 1);
		struct sockaddr_in at = {0}, to = {.sin_family = AF_INET};

		h2o_socket_getpeername (sock, (struct sockaddr *)&at);
		p->door = d;
		p->from = daemon_at (d->k, &at);
		end_open (p, 0, sock);
		to.sin_port = htons (d->k->peer);
		inet_pton (AF_INET, d->k->procs[d->member].ip, &to.sin_addr);
		p->connecting =
			h2o_socket_connect (d->k->loop, (struct sockaddr *)&to,
					    sizeof to, on_connect);
		if (p->connecting != NULL)
			p->connecting->data = p;
		else
			p->over = true;
		g_ptr_array_add (d->k->pipes, p);
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

void
cut_init (struct soak *k)
{
	k->pipes = g_ptr_array_new ();
	for (int i = 0; i < SOAK_MEMBERS; i++) {
		struct soak_door *d = &k->doors[i];
		struct sockaddr_in at = {.sin_family = AF_INET,
					 .sin_port = htons (k->peer)};
		uint16_t port;
		int fd;

		*d = (struct soak_door){.k = k, .member = i};
		g_snprintf (d->ip, sizeof d->ip, "%s.%d", k->net, 41 + i);
		inet_pton (AF_INET, d->ip, &at.sin_addr);
		fd = link_listen_fd (&at, 16, &port, NULL);
		d->listener = h2o_evloop_socket_create (
			k->loop, fd, H2O_SOCKET_FLAG_DONT_READ);
		d->listener->data = d;
		h2o_socket_read_start (d->listener, on_accept);
	}
}

void
cut_tick (struct soak *k, uint64_t now_ms)
{
	for (guint i = k->pipes->len; i > 0; i--) {
		struct pipe *p = g_ptr_array_index (k->pipes, i - 1);

		pipe_move (p, now_ms);
		/* Behind a cut an end is not told of the other's. */
		if (!p->over && !(p->ends[0].ended && p->ends[1].ended))
			continue;
		g_ptr_array_remove_index_fast (k->pipes, i - 1);
		pipe_free (p);
	}
}

bool
cut_is_any (const struct soak *k, uint64_t now_ms)
{
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		for (int j = 0; j < SOAK_MEMBERS + SOAK_RELAYS; j++) {
			if (now_ms < k->paths[i][j].cut_until_ms)
				return true;
		}
	}
	return false;
}

static void
cut_all (struct soak *k, int who, uint64_t until_ms)
{
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++)
		k->paths[i][who].cut_until_ms = k->paths[who][i].cut_until_ms =
			until_ms;
}

void
cut_fault (struct soak *k, uint64_t now_ms)
{
	uint64_t until_ms =
		now_ms + (uint64_t)g_rand_int_range (k->rand, 200, 4000);
	int member = g_rand_int_range (k->rand, 0, SOAK_MEMBERS);
	int other = g_rand_int_range (k->rand, 0, SOAK_MEMBERS + SOAK_RELAYS);
	int what = g_rand_int_range (k->rand, 0, 6);

	if (what == 0) {
		k->paths[member][other].cut_until_ms =
			k->paths[other][member].cut_until_ms = until_ms;
	} else if (what == 1) {
		k->paths[member][other].cut_until_ms = until_ms;
	} else if (what == 2) {
		k->paths[other][member].cut_until_ms = until_ms;
	} else if (what == 3) {
		k->paths[member][other].slow_until_ms =
			k->paths[other][member].slow_until_ms = until_ms;
	} else if (what == 4) {
		cut_all (k, member, until_ms);
	} else {
		bool mute = g_rand_boolean (k->rand);

		for (guint i = 0; i < k->pipes->len; i++) {
			struct pipe *p = g_ptr_array_index (k->pipes, i);

			if (p->from != other && p->door->member != member)
				continue;
			if (mute)
				p->mute = true;
			else
				p->over = true;
		}
	}
}

void
cut_heal (struct soak *k)
{
	memset (k->paths, 0, sizeof k->paths);
}

void
cut_finish (struct soak *k)
{
	for (guint i = 0; i < k->pipes->len; i++)
		pipe_free (g_ptr_array_index (k->pipes, i));
	g_ptr_array_free (k->pipes, TRUE);
	for (int i = 0; i < SOAK_MEMBERS; i++)
		h2o_socket_close (k->doors[i].listener);
}
