/*
 * Stand-in for a server whose answers are given byte for byte, malformed ones
 * too.
 *
 * A request gets what the file FOLDER/NAME says, where NAME is its header
 * X-Answer, else the first part of its path if there is such a file, else
 * "other".  The file's first line holds words, and what follows is sent as it
 * stands, with @ID@ replaced by the request's id and @PORT@ by the server's
 * port:
 *
 *   keep       the connection stays open
 *   fin        it is closed
 *   reset      it is reset
 *   fin-reset  its sending side is shut down first, then it is reset
 *   unread     before any of these: the body of the request is not read before
 *              the answer is sent, and not before the connection ends
 *
 * The name of each answer is a line on standard output.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1.h"
#include "link.h"

#define HEAD_MAX_BYTES (64U << 10)

/* Small, so that most of a body that is not read stays with its sender. */
#define RECEIVE_BUFFER_BYTES (16 << 10)

/* Between the answer and the connection's end. */
#define END_DEFAULT_MS 50

/** struct raw - the stand-in; connections read it only */
struct raw {
	const char *folder;
	const char *port_file;
	uint32_t end_ms;
	char port_text[8];
};

/** struct conn - a connection; its thread owns it */
struct conn {
	const struct raw *raw;
	int fd;
	GString *in;
	uint64_t body_left; /* of the request that is being answered */
};

/** struct answer - what a file says */
struct answer {
	char *text;
	size_t len;
	bool unread;
	bool fin;
	bool reset;
};

static bool
receive (struct conn *c)
{
	char buf[16384];
	ssize_t n = recv (c->fd, buf, sizeof buf, 0);

	if (n > 0)
		g_string_append_len (c->in, buf, n);
	return n > 0;
}

static bool
send_all (struct conn *c, const char *data, size_t len)
{
	while (len > 0) {
		ssize_t n = send (c->fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Reads the rest of the body. */
static bool
skip_body (struct conn *c)
{
	for (;;) {
		size_t n = MIN (c->in->len, c->body_left);

		g_string_erase (c->in, 0, (gssize)n);
		c->body_left -= n;
		if (c->body_left == 0)
			return true;
		if (!receive (c))
			return false;
	}
}

static bool
has_word (char **words, const char *word)
{
	return g_strv_contains ((const char *const *)words, word);
}

/* Return: false where there is no such file. */
static bool
answer_load (struct answer *a, const struct raw *raw, const char *name,
	     const char *id)
{
	char *path = g_build_filename (raw->folder, name, NULL), *text, *end;
	char **words;
	GString *s;
	gsize len;

	*a = (struct answer){0};
	if (!g_file_get_contents (path, &text, &len, NULL)) {
		g_free (path);
		return false;
	}
	g_free (path);
	end = memchr (text, '\n', len);
	if (end == NULL)
		end = text + len;
	s = g_string_new_len (text, end - text);
	words = g_strsplit (s->str, " ", 0);
	a->unread = has_word (words, "unread");
	a->reset = has_word (words, "reset") || has_word (words, "fin-reset");
	a->fin = has_word (words, "fin") || has_word (words, "fin-reset");
	g_strfreev (words);
	g_string_truncate (s, 0);
	if (end < text + len)
		g_string_append_len (s, end + 1, text + len - end - 1);
	g_string_replace (s, "@ID@", id, 0);
	g_string_replace (s, "@PORT@", raw->port_text, 0);
	a->len = s->len;
	a->text = g_string_free (s, FALSE);
	g_free (text);
	return true;
}

/* Return: whether the connection goes on. */
static bool
play (struct conn *c, const struct answer *a)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (!a->unread && !skip_body (c))
		return false;
	if (!send_all (c, a->text, a->len))
		return false;
	if (!a->fin && !a->reset)
		return skip_body (c);
	if (a->fin && a->reset)
		shutdown (c->fd, SHUT_WR);
	g_usleep (c->raw->end_ms * 1000);
	if (a->reset)
		setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	return false;
}

/* The name of the answer: X-Answer, else the first part of the path, else
 * "other". */
static char *
answer_name (const struct raw *raw, const struct h1_head *h)
{
	char *name = h1_copy (h1_find (h, "x-answer")), *path;
	size_t len = 1;

	if (name != NULL)
		return name;
	while (len < h->path_len && h->path[len] != '/' && h->path[len] != '?')
		len++;
	name = g_strndup (h->path + 1, len - 1);
	path = g_build_filename (raw->folder, name, NULL);
	if (name[0] == '\0' || !g_file_test (path, G_FILE_TEST_EXISTS)) {
		g_free (name);
		name = g_strdup ("other");
	}
	g_free (path);
	return name;
}

/* Answers a request.  Return: whether the connection goes on. */
static bool
serve (struct conn *c)
{
	enum h1_verdict verdict;
	struct h1_head h;
	struct answer a;
	char *id, *name;
	bool on = false;
	size_t used;

	while ((verdict = h1_request (c->in->str, c->in->len, &h, &used)) ==
	       H1_MORE) {
		if (c->in->len > HEAD_MAX_BYTES || !receive (c))
			return false;
	}
	if (verdict == H1_BAD || h.framing == H1_CHUNKED)
		return false;
	c->body_left = h.length;
	id = h1_copy (h1_find (&h, "x-request-id"));
	name = answer_name (c->raw, &h);
	g_string_erase (c->in, 0, (gssize)used);
	printf ("%s\n", name);
	fflush (stdout);
	if (answer_load (&a, c->raw, name, id != NULL ? id : "")) {
		on = play (c, &a);
		g_free (a.text);
	}
	g_free (id);
	g_free (name);
	return on;
}

static gpointer
conn_main (gpointer ctx)
{
	struct conn *c = ctx;

	while (serve (c))
		;
	close (c->fd);
	g_string_free (c->in, TRUE);
	g_free (c);
	return NULL;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
	struct raw *raw = state->input;

	switch (key) {
	case 'd':
		raw->folder = arg;
		return 0;
	case 'p':
		raw->port_file = arg;
		return 0;
	case 'w':
		raw->end_ms = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp_option options[] = {
	{"directory", 'd', "FOLDER", 0, "of the answers", 0},
	{"port-file", 'p', "FILE", 0, "gets IP:port", 0},
	{"wait", 'w', "MS", 0, "between an answer and the connection's end", 0},
	{0},
};

int
main (int argc, char **argv)
{
	static struct raw raw = {.end_ms = END_DEFAULT_MS};
	struct argp argp = {.options = options,
			    .parser = parse_option,
			    .doc = "Server with given answers."};
	struct sockaddr_in at = {.sin_family = AF_INET};
	int listener, bytes = RECEIVE_BUFFER_BYTES;
	uint16_t port;
	struct err e = {0};
	char text[32];

	argp_parse (&argp, argc, argv, 0, NULL, &raw);
	if (raw.folder == NULL || raw.port_file == NULL) {
		fprintf (stderr, "fake-raw: -d and -p are needed\n");
		return EXIT_FAILURE;
	}
	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	listener = link_listen_fd (&at, 64, &port, &e);
	if (listener < 0) {
		fprintf (stderr, "fake-raw: %s\n", e.msg);
		return EXIT_FAILURE;
	}
	fcntl (listener, F_SETFL, 0);
	setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
	g_snprintf (raw.port_text, sizeof raw.port_text, "%u", port);
	g_snprintf (text, sizeof text, "127.0.0.1:%s", raw.port_text);
	if (!g_file_set_contents (raw.port_file, text, -1, NULL))
		return EXIT_FAILURE;
	for (;;) {
		struct conn *c;
		int fd = accept (listener, NULL, NULL);

		if (fd < 0)
			return EXIT_FAILURE;
		c = g_new0 (struct conn, 1);
		c->raw = &raw;
		c->fd = fd;
		c->in = g_string_new (NULL);
		g_thread_unref (g_thread_new ("conn", conn_main, c));
	}
}
