/*
 * A relay whose path can be cut and healed, as a network does it: while it is
 * cut nothing moves and nothing is closed.  What was sent on TCP stays in the
 * sockets' buffers and arrives after the cut is healed, also what an end sent
 * that has closed since; a connection begun meanwhile is made afterwards, if
 * its maker still waits; a datagram is lost.
 *
 *   fake-relay -p FILE [-o IP]... IP:PORT
 *
 * relays to IP:PORT, by TCP and by UDP, and writes its own address to FILE.
 * With -o only what comes from these addresses is ever cut, so that some of
 * those who dial are on the other side of the cut and some are not.
 *
 *   SIGUSR1: cut both ways         SIGUSR2: heal
 *   SIGRTMIN: cut only towards IP:PORT    SIGRTMIN+1: only back from there
 *   SIGHUP: write what moved to FILE.count    SIGTERM: end
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "link.h"

#define PAIRS_MAX 64
#define SOURCES_MAX 16
#define BUFFER_BYTES 65536

/* One direction of a connection: bytes read from @from and not yet written. */
struct half {
	int from;
	int to;
	uint8_t data[BUFFER_BYTES];
	size_t len;
};

struct pair {
	bool used;
	bool begun; /* connected to the target */
	bool over;  /* one end is gone; the other is told when it can be */
	bool far;   /* its maker is on the other side of a cut */
	struct half there;
	struct half back;
};

struct relay {
	int listener;
	int datagrams;
	int signals;
	const char *port_file;
	struct sockaddr_in target;
	in_addr_t sources[SOURCES_MAX];
	unsigned source_count; /* 0: every source is far */
	struct pair *pairs;
	bool cut_there, cut_back;
	bool stop;
	uint64_t bytes, connections, datagram_count, datagram_bytes, lost;
};

static bool
is_far (const struct relay *r, const struct sockaddr_in *sa)
{
	for (unsigned i = 0; i < r->source_count; i++) {
		if (r->sources[i] == sa->sin_addr.s_addr)
			return true;
	}
	return r->source_count == 0;
}

static bool
relay_listen (struct relay *r)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof sa;
	char text[64];

	sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	r->datagrams = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	if (r->listener < 0 || r->datagrams < 0 ||
	    bind (r->listener, (struct sockaddr *)&sa, sizeof sa) != 0 ||
	    listen (r->listener, 16) != 0 ||
	    getsockname (r->listener, (struct sockaddr *)&sa, &len) != 0 ||
	    bind (r->datagrams, (struct sockaddr *)&sa, sizeof sa) != 0)
		return false;
	g_snprintf (text, sizeof text, "127.0.0.1:%u", ntohs (sa.sin_port));
	return g_file_set_contents (r->port_file, text, -1, NULL);
}

static bool
relay_signals (struct relay *r)
{
	const int wanted[] = {SIGUSR1, SIGUSR2,      SIGHUP,
			      SIGTERM, SIGRTMIN + 0, SIGRTMIN + 1};
	struct sigaction ign = {.sa_handler = SIG_IGN};
	sigset_t set;

	sigaction (SIGPIPE, &ign, NULL);
	sigemptyset (&set);
	for (unsigned i = 0; i < G_N_ELEMENTS (wanted); i++)
		sigaddset (&set, wanted[i]);
	sigprocmask (SIG_BLOCK, &set, NULL);
	r->signals = signalfd (-1, &set, SFD_CLOEXEC);
	return r->signals >= 0;
}

static void
write_counts (const struct relay *r)
{
	char *path = g_strconcat (r->port_file, ".count", NULL);
	char *text = g_strdup_printf (
		"bytes=%" G_GUINT64_FORMAT "\nconnections=%" G_GUINT64_FORMAT
		"\ndatagrams=%" G_GUINT64_FORMAT
		"\ndatagram_bytes=%" G_GUINT64_FORMAT
		"\nlost=%" G_GUINT64_FORMAT "\n",
		r->bytes, r->connections, r->datagram_count, r->datagram_bytes,
		r->lost);

	g_file_set_contents (path, text, -1, NULL);
	g_free (text);
	g_free (path);
}

static void
on_signal (struct relay *r)
{
	struct signalfd_siginfo si;
	int signo;

	if (read (r->signals, &si, sizeof si) != (ssize_t)sizeof si)
		return;
	signo = (int)si.ssi_signo;
	if (signo == SIGHUP) {
		write_counts (r);
		return;
	}
	r->stop = signo == SIGTERM;
	r->cut_there = signo == SIGUSR1 || signo == SIGRTMIN;
	r->cut_back = signo == SIGUSR1 || signo == SIGRTMIN + 1;
}

static void
pair_close (struct pair *p)
{
	close (p->there.from);
	if (p->begun)
		close (p->there.to);
	p->used = false;
}

static void
pair_begin (struct relay *r, struct pair *p)
{
	int out = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (out < 0 || connect (out, (struct sockaddr *)&r->target,
				sizeof r->target) != 0) {
		if (out >= 0)
			close (out);
		pair_close (p);
		return;
	}
	p->begun = true;
	p->there.to = p->back.from = out;
	r->connections++;
}

static void
on_accept (struct relay *r)
{
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof sa;
	int in = accept4 (r->listener, (struct sockaddr *)&sa, &len,
			  SOCK_CLOEXEC);
	struct pair *p = r->pairs;

	while (p < r->pairs + PAIRS_MAX && p->used)
		p++;
	if (in < 0)
		return;
	if (p == r->pairs + PAIRS_MAX) {
		close (in);
		return;
	}
	p->used = true;
	p->begun = p->over = false;
	p->far = is_far (r, &sa);
	p->there.from = p->back.to = in;
	p->there.len = p->back.len = 0;
}

static void
on_datagram (struct relay *r)
{
	uint8_t data[2048];
	struct sockaddr_in sa = {0};
	socklen_t len = sizeof sa;
	ssize_t n = recvfrom (r->datagrams, data, sizeof data, MSG_DONTWAIT,
			      (struct sockaddr *)&sa, &len);

	if (n < 0)
		return;
	if (r->cut_there && is_far (r, &sa)) {
		r->lost++;
		return;
	}
	if (sendto (r->datagrams, data, (size_t)n, MSG_DONTWAIT,
		    (struct sockaddr *)&r->target, sizeof r->target) < 0)
		return;
	r->datagram_count++;
	r->datagram_bytes += (uint64_t)n;
}

/* Return: false where the connection is over. */
static bool
half_move (struct relay *r, struct half *h, short from_events, short to_events)
{
	ssize_t n;

	if (h->len == 0 && (from_events & (POLLIN | POLLHUP | POLLERR)) != 0) {
		n = recv (h->from, h->data, sizeof h->data, MSG_DONTWAIT);
		if (n == 0 || (n < 0 && errno != EAGAIN))
			return false;
		h->len = n > 0 ? (size_t)n : 0;
	}
	if (h->len > 0 && (to_events & (POLLOUT | POLLHUP | POLLERR)) != 0) {
		n = send (h->to, h->data, h->len, MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return false;
		if (n > 0) {
			r->bytes += (uint64_t)n;
			h->len -= (size_t)n;
			memmove (h->data, h->data + n, h->len);
		}
	}
	return true;
}

static short
wanted (const struct half *reads, bool cut_reads, const struct half *writes,
	bool cut_writes)
{
	return (short)((reads->len == 0 && !cut_reads ? POLLIN : 0) |
		       (writes->len > 0 && !cut_writes ? POLLOUT : 0));
}

static void
pair_move (struct relay *r, struct pair *p, short in, short out)
{
	bool there = p->far && r->cut_there, back = p->far && r->cut_back;
	bool over = p->over;

	if (!p->begun) {
		/* Not made yet: its maker gave up, or waits for the heal. */
		if ((in & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
			pair_close (p);
		else if (!there && !back)
			pair_begin (r, p);
		return;
	}
	if (!over && !there)
		over = !half_move (r, &p->there, in, out);
	if (!over && !back)
		over = !half_move (r, &p->back, out, in);
	p->over = over;
	/* Neither end hears through a cut that the other is gone. */
	if (over && !there && !back)
		pair_close (p);
}

/* Where nothing is to be looked at, poll() must not say so at once. */
static int
fd_or_none (int fd, short events, bool over)
{
	return events == 0 || over ? -1 : fd;
}

static nfds_t
pair_fds (const struct relay *r, const struct pair *p, struct pollfd *fds)
{
	bool there = p->far && r->cut_there, back = p->far && r->cut_back;
	short in = wanted (&p->there, there, &p->back, back);
	short out = wanted (&p->back, back, &p->there, there);

	if (!p->begun) {
		in = POLLRDHUP;
		out = 0;
	}
	fds[0] = (struct pollfd){.fd = fd_or_none (p->there.from, in, p->over),
				 .events = in};
	fds[1] = (struct pollfd){.fd = fd_or_none (p->there.to, out, p->over),
				 .events = out};
	return 2;
}

static void
relay_turn (struct relay *r)
{
	struct pollfd fds[3 + 2 * PAIRS_MAX];
	struct pair *of[PAIRS_MAX];
	nfds_t n = 3;
	bool cut = r->cut_there || r->cut_back;
	int wait_ms = -1;

	fds[0] = (struct pollfd){.fd = r->signals, .events = POLLIN};
	fds[1] = (struct pollfd){.fd = r->listener, .events = POLLIN};
	fds[2] = (struct pollfd){.fd = r->datagrams, .events = POLLIN};
	for (struct pair *p = r->pairs; p < r->pairs + PAIRS_MAX; p++) {
		if (!p->used)
			continue;
		if (!p->begun || p->over)
			wait_ms = cut && p->far ? wait_ms : 0;
		of[(n - 3) / 2] = p;
		n += pair_fds (r, p, fds + n);
	}
	if (poll (fds, n, wait_ms) < 0)
		return;
	if (fds[0].revents != 0) {
		on_signal (r);
		return;
	}
	for (nfds_t i = 3; i < n; i += 2)
		pair_move (r, of[(i - 3) / 2], fds[i].revents,
			   fds[i + 1].revents);
	if (fds[1].revents != 0)
		on_accept (r);
	if (fds[2].revents != 0)
		on_datagram (r);
}

static bool
relay_args (struct relay *r, int argc, char **argv)
{
	struct in_addr ip;
	struct err e;
	int opt;

	while ((opt = getopt (argc, argv, "p:o:")) != -1) {
		if (opt == 'p')
			r->port_file = optarg;
		else if (opt == 'o' && r->source_count < SOURCES_MAX &&
			 inet_pton (AF_INET, optarg, &ip) == 1)
			r->sources[r->source_count++] = ip.s_addr;
		else
			return false;
	}
	return r->port_file != NULL && optind == argc - 1 &&
	       link_addr_parse (argv[optind], &r->target, &e);
}

int
main (int argc, char **argv)
{
	struct relay r = {0};

	if (!relay_args (&r, argc, argv)) {
		fprintf (stderr, "usage: fake-relay -p FILE [-o IP]... "
				 "IP:PORT\n");
		return 2;
	}
	r.pairs = g_new0 (struct pair, PAIRS_MAX);
	if (!relay_signals (&r) || !relay_listen (&r)) {
		fprintf (stderr, "fake-relay: %s\n", strerror (errno));
		g_free (r.pairs);
		return 1;
	}
	while (!r.stop)
		relay_turn (&r);
	g_free (r.pairs);
	return 0;
}
