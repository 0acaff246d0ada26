/*
 * Many clients at once that exceed the limits of an HTTP server, each on a
 * connection of its own.  Clients of each kind send as fast as the server reads
 * and then keep their connections open.
 */
#include <argp.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "link.h"
#include "tmr.h"

#define PIECE_BYTES (64U << 10)
#define VALUE_BYTES 4 /* so that a piece holds whole ones */
/* No byte was taken from or sent to any client for this long: all stand. */
#define SETTLED_MS 2000
#define POLL_MS 50
/* Of clients that do not read answers; small, so that few of them fill the
 * server's memory and not the kernel's. */
#define UNREAD_BUFFER_BYTES 4096

enum kind {
	KIND_SHORT,     /* a body with a length, less its last byte */
	KIND_CHUNKS,    /* the same in large chunks, without an end */
	KIND_ONES,      /* the same in chunks of one byte */
	KIND_WHOLE,     /* a whole body */
	KIND_UNLIMITED, /* chunks until the server ends the connection */
	KIND_SILENT,    /* no byte */
	KIND_HEADS,     /* a head without an end */
	KIND_UNREAD,    /* many requests whose answers are not read */
	KINDS,
};

static const char *const kind_names[KINDS] = {
	"short",     "chunks", "ones",  "whole",
	"unlimited", "silent", "heads", "unread",
};

/** struct client - one of the crowd */
struct client {
	int fd;          /* -1: the connection ended */
	GString *out;    /* bytes to send next */
	size_t sent;     /* of @out */
	uint64_t body;   /* bytes of the body that were put into @out */
	uint32_t rounds; /* connections that may follow */
	bool is_done;    /* nothing more to send */
};

/** struct crowd - options and clients */
struct crowd {
	struct sockaddr_in to;
	enum kind kind;
	uint32_t count;
	uint32_t rounds;
	uint32_t requests;
	uint64_t bytes;
	const char *path;
	const char *file;
	const char *values; /* bodies are JSON arrays of these; NULL: spaces */
	struct client *clients;
	struct pollfd *polls;
	char piece[PIECE_BYTES];
	uint32_t closed;
};

static const struct argp_option options[] = {
	{"address", 'a', "IP:PORT", 0, "Server", 0},
	{"kind", 'k', "KIND", 0, "What each client does", 0},
	{"clients", 'n', "N", 0, "Number of clients", 0},
	{"bytes", 'b', "BYTES", 0, "Length of a body", 0},
	{"url-path", 'u', "PATH", 0, "Path of the requests", 0},
	{"requests", 'q', "N", 0, "Requests of a client that does not read", 0},
	{"values", 'v', "TEXT", 0, "JSON array to send, of four bytes each", 0},
	{"rounds", 'r', "N", 0, "Connections after one that was closed", 0},
	{"file", 'f', "FILE", 0, "Written once all clients stand", 0},
	{0},
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
	struct crowd *w = state->input;
	struct err e = {0};

	switch (key) {
	case 'a':
		if (!link_addr_parse (arg, &w->to, &e))
			argp_error (state, "%s", e.msg);
		return 0;
	case 'k':
		while (w->kind < KINDS &&
		       strcmp (arg, kind_names[w->kind]) != 0)
			w->kind++;
		if (w->kind == KINDS)
			argp_error (state, "no such kind: %s", arg);
		return 0;
	case 'n':
		w->count = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	case 'b':
		w->bytes = strtoull (arg, NULL, 10);
		return 0;
	case 'u':
		w->path = arg;
		return 0;
	case 'q':
		w->requests = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	case 'r':
		w->rounds = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	case 'v':
		if (strlen (arg) != VALUE_BYTES)
			argp_error (state, "not of four bytes: %s", arg);
		w->values = arg;
		return 0;
	case 'f':
		w->file = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
append_head (const struct crowd *w, struct client *c)
{
	const char *method = w->kind == KIND_UNREAD ? "GET" : "POST";

	g_string_append_printf (c->out, "%s %s HTTP/1.1\r\nHost: h\r\n", method,
				w->path);
	if (w->kind == KIND_SHORT || w->kind == KIND_WHOLE)
		g_string_append_printf (
			c->out, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
			w->bytes);
	else if (w->kind != KIND_UNREAD)
		g_string_append (c->out, "Transfer-Encoding: chunked\r\n");
	g_string_append (c->out, "\r\n");
}

static void
start (const struct crowd *w, struct client *c)
{
	int small = UNREAD_BUFFER_BYTES;

	c->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (c->fd < 0) {
		perror ("fake-crowd: socket");
		exit (EXIT_FAILURE);
	}
	if (w->kind == KIND_UNREAD)
		setsockopt (c->fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
	(void)!connect (c->fd, (const struct sockaddr *)&w->to, sizeof w->to);
	g_string_truncate (c->out, 0);
	c->sent = 0;
	c->body = 0;
	c->is_done = w->kind == KIND_SILENT;
	switch (w->kind) {
	case KIND_SILENT:
		break;
	case KIND_HEADS:
		g_string_append_printf (c->out,
					"POST %s HTTP/1.1\r\nX: ", w->path);
		break;
	case KIND_UNREAD:
		for (uint32_t i = 0; i < w->requests; i++)
			append_head (w, c);
		break;
	default:
		append_head (w, c);
		break;
	}
}

/* Appends the next part of the body.  Return: whether there is one. */
static bool
refill (const struct crowd *w, struct client *c)
{
	uint64_t end = w->kind == KIND_WHOLE ? w->bytes : w->bytes - 1;
	uint64_t n = MIN (end - c->body, PIECE_BYTES);

	g_string_truncate (c->out, 0);
	c->sent = 0;
	if (w->kind == KIND_UNREAD || n == 0)
		return false;
	c->body += n;
	if (w->kind == KIND_ONES) {
		for (uint64_t i = 0; i < n; i++)
			g_string_append (c->out, "1\r\n \r\n");
		return true;
	}
	if (w->kind == KIND_CHUNKS || w->kind == KIND_UNLIMITED)
		g_string_append_printf (c->out, "%x\r\n", (unsigned)n);
	g_string_append_len (c->out, w->piece, (gssize)n);
	if (w->values != NULL && c->body == n && n >= VALUE_BYTES)
		memcpy (c->out->str + c->out->len - n, "[   ", VALUE_BYTES);
	if (w->kind == KIND_CHUNKS || w->kind == KIND_UNLIMITED)
		g_string_append (c->out, "\r\n");
	return true;
}

static void
end (struct crowd *w, struct client *c)
{
	close (c->fd);
	c->fd = -1;
	w->closed++;
	if (c->rounds == 0)
		return;
	c->rounds--;
	start (w, c);
}

/* Return: whether bytes moved or the connection ended. */
static bool
client_read (struct crowd *w, struct client *c)
{
	static char buf[PIECE_BYTES];
	ssize_t n = recv (c->fd, buf, sizeof buf, 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n <= 0)
		end (w, c);
	return true;
}

static bool
client_write (struct crowd *w, struct client *c)
{
	ssize_t n;

	if (c->sent == c->out->len && !refill (w, c)) {
		c->is_done = true;
		return false;
	}
	n = send (c->fd, c->out->str + c->sent, c->out->len - c->sent,
		  MSG_NOSIGNAL);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return false;
	if (n < 0)
		end (w, c);
	else
		c->sent += (size_t)n;
	return true;
}

/* Return: whether any client moved. */
static bool
turn (struct crowd *w)
{
	bool moved = false;

	for (uint32_t i = 0; i < w->count; i++) {
		struct client *c = &w->clients[i];
		short events = w->kind == KIND_UNREAD ? 0 : POLLIN;

		if (!c->is_done)
			events |= POLLOUT;
		w->polls[i] = (struct pollfd){c->fd, events, 0};
	}
	if (poll (w->polls, w->count, POLL_MS) <= 0)
		return false;
	for (uint32_t i = 0; i < w->count; i++) {
		struct client *c = &w->clients[i];
		short got = w->polls[i].revents;

		if (c->fd < 0 || got == 0)
			continue;
		if (w->kind == KIND_UNREAD && (got & (POLLERR | POLLHUP))) {
			end (w, c);
			moved = true;
		} else if (w->kind != KIND_UNREAD &&
			   (got & (POLLIN | POLLERR | POLLHUP))) {
			moved |= client_read (w, c);
		}
		if (c->fd >= 0 && (got & POLLOUT))
			moved |= client_write (w, c);
	}
	return moved;
}

static void
run (struct crowd *w)
{
	uint64_t moved_ms = tmr_now_ms ();
	bool told = false;
	FILE *f;

	for (;;) {
		if (turn (w))
			moved_ms = tmr_now_ms ();
		if (told || tmr_now_ms () < moved_ms + SETTLED_MS)
			continue;
		told = true;
		f = fopen (w->file, "w");
		if (f == NULL || fprintf (f, "%u\n", w->closed) < 0 ||
		    fclose (f) != 0) {
			perror (w->file);
			exit (EXIT_FAILURE);
		}
	}
}

int
main (int argc, char **argv)
{
	static struct crowd w = {
		.count = 1, .requests = 1, .bytes = 1, .path = "/"};
	struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Clients that exceed the limits of an HTTP server."};

	argp_parse (&argp, argc, argv, 0, NULL, &w);
	if (w.to.sin_port == 0 || w.file == NULL || w.bytes == 0) {
		fprintf (stderr, "fake-crowd: -a, -f and -b above 0\n");
		return EXIT_FAILURE;
	}
	/* Spaces, so that a body of them in front of a JSON text is one too. */
	memset (w.piece, ' ', sizeof w.piece);
	for (size_t i = 0; w.values != NULL && i < sizeof w.piece;
	     i += VALUE_BYTES)
		memcpy (w.piece + i, w.values, VALUE_BYTES);
	w.clients = g_new0 (struct client, w.count);
	w.polls = g_new0 (struct pollfd, w.count);
	for (uint32_t i = 0; i < w.count; i++) {
		w.clients[i].rounds = w.rounds;
		w.clients[i].out = g_string_new (NULL);
		start (&w, &w.clients[i]);
	}
	run (&w);
}
