/*
 * What the client of entries and tools takes for a whole answer, of servers
 * that are plain sockets: heads that are none, bodies that are cut, and
 * connections that are reset before or after the answer's end.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpc.h"
#include "link.h"
#include "t_run.h"

#define WAIT_MS 4000
#define UPLOAD_BYTES (8U << 20) /* more than the buffers of both sides take */

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 3\r\n\r\nabc"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

struct fixture {
	h2o_loop_t *loop;
	struct httpc_peer peer;
	int listener, fd;
	int done;
	int status;
	enum err_kind kind;
	char body[64];
};

static void
on_reply (const struct httpc_reply *r, const struct err *e, void *ctx)
{
	struct fixture *t = ctx;

	t->done++;
	t->status = r->status;
	t->kind = e != NULL ? e->kind : ERR_NONE;
	g_strlcpy (t->body, r->body != NULL ? r->body : "", sizeof t->body);
}

static void
run (struct fixture *t, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (t->done == 0 && tmr_now_ms () < end_ms)
		h2o_evloop_run (t->loop, 2);
}

/* A request of which the server reads no byte. */
static void
init_method (struct fixture *t, const char *method, size_t body_len)
{
	char *body = g_malloc0 (body_len + 1);
	struct httpc_req q = {.method = method,
			      .path = "/",
			      .body = body,
			      .body_len = body_len,
			      .timeout_ms = WAIT_MS};
	struct sockaddr_in at = {.sin_family = AF_INET};
	uint16_t port;

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	*t = (struct fixture){.fd = -1};
	t->loop = h2o_evloop_create ();
	t->listener = link_listen_fd (&at, 16, &port, NULL);
	CU_ASSERT_FATAL (t->listener >= 0);
	at.sin_port = htons (port);
	httpc_peer_init (&t->peer, t->loop, &at, WAIT_MS);
	httpc_fetch (&t->peer, &q, 100, on_reply, t);
	g_free (body);
	for (int i = 0; i < 500 && t->fd < 0; i++) {
		h2o_evloop_run (t->loop, 2);
		t->fd = accept (t->listener, NULL, NULL);
	}
	CU_ASSERT_FATAL (t->fd >= 0);
	run (t, 20);
}

static void
init (struct fixture *t, size_t body_len)
{
	init_method (t, "POST", body_len);
}

static void
finish (struct fixture *t)
{
	CU_ASSERT_EQUAL (t->done, 1);
	httpc_peer_finish (&t->peer);
	if (t->fd >= 0)
		close (t->fd);
	close (t->listener);
}

enum after { KEEP, FIN, RST, FIN_RST };

static void
end_it (struct fixture *t, enum after after)
{
	struct linger now = {1, 0};

	if (after == FIN || after == FIN_RST)
		shutdown (t->fd, SHUT_WR);
	if (after == KEEP || after == FIN)
		return;
	setsockopt (t->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	close (t->fd);
	t->fd = -1;
}

/* @later: the connection ends some turns of the loop after the answer. */
static void
answer (struct fixture *t, const char *text, enum after after, bool later)
{
	CU_ASSERT (send (t->fd, text, strlen (text), MSG_NOSIGNAL) ==
		   (ssize_t)strlen (text));
	if (later)
		run (t, 20);
	end_it (t, after);
	run (t, WAIT_MS);
}

struct row {
	const char *what, *text;
	enum after after;
	enum err_kind kind;
	size_t upload; /* bytes that the server does not read */
};

static void
check_rows (const struct row *rows, unsigned count)
{
	for (unsigned i = 0; i < 2 * count; i++) {
		const struct row *r = &rows[i / 2];
		struct fixture t;

		init (&t, r->upload);
		answer (&t, r->text, r->after, i % 2 == 1);
		if (t.kind != r->kind)
			g_print ("%s%s: kind %d status %d \"%s\"\n", r->what,
				 i % 2 == 1 ? ", later" : "", t.kind, t.status,
				 t.body);
		CU_ASSERT_EQUAL (t.kind, r->kind);
		if (r->kind == ERR_NONE)
			CU_ASSERT_STRING_EQUAL (t.body, "abc");
		finish (&t);
	}
}

static void
test_status (void)
{
	static const struct row rows[] = {
		{"000", "HTTP/1.1 000 None\r\n" LENGTH, KEEP, ERR_PROTOCOL, 0},
		{"099", "HTTP/1.1 099 Low\r\n" LENGTH, KEEP, ERR_PROTOCOL, 0},
		{"101", "HTTP/1.1 101 Other\r\n" LENGTH, KEEP, ERR_PROTOCOL, 0},
		{"600", "HTTP/1.1 600 High\r\n" LENGTH, KEEP, ERR_PROTOCOL, 0},
		{"999", "HTTP/1.1 999 High\r\n" LENGTH, KEEP, ERR_PROTOCOL, 0},
		{"000 until close", "HTTP/1.1 000 None\r\n\r\nabc", FIN,
		 ERR_PROTOCOL, 0},
		{"000 without a body",
		 "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", KEEP,
		 ERR_PROTOCOL, 0},
		{"200", "HTTP/1.1 200 OK\r\n" LENGTH, KEEP, ERR_NONE, 0},
		{"599", "HTTP/1.1 599 Last\r\n" LENGTH, KEEP, ERR_NONE, 0},
		{"100 before 200",
		 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" LENGTH,
		 KEEP, ERR_NONE, 0},
	};

	check_rows (rows, G_N_ELEMENTS (rows));
}

static void
test_names (void)
{
	static const struct row rows[] = {
		{"blank", OK_HEAD "X Bad: 1\r\n" LENGTH, KEEP,
		 ERR_ENDPOINT_LOST, 0},
		{"tab", OK_HEAD "X\tBad: 1\r\n" LENGTH, KEEP, ERR_ENDPOINT_LOST,
		 0},
		{"control", OK_HEAD "X\001Bad: 1\r\n" LENGTH, KEEP,
		 ERR_ENDPOINT_LOST, 0},
		{"delete", OK_HEAD "X\177Bad: 1\r\n" LENGTH, KEEP,
		 ERR_ENDPOINT_LOST, 0},
		{"blank before the colon",
		 OK_HEAD "Content-Length : 3\r\n\r\nabc", FIN,
		 ERR_ENDPOINT_LOST, 0},
		{"in a 100",
		 "HTTP/1.1 100 Continue\r\nX Bad: 1\r\n\r\n" OK_HEAD LENGTH,
		 KEEP, ERR_ENDPOINT_LOST, 0},
	};

	check_rows (rows, G_N_ELEMENTS (rows));
}

static void
test_ends (void)
{
	static const struct row rows[] = {
		{"no length, ended", OK_HEAD "\r\nabc", FIN, ERR_NONE, 0},
		{"no length, ended before a reset", OK_HEAD "\r\nabc", FIN_RST,
		 ERR_NONE, 0},
		{"no length, reset", OK_HEAD "\r\nabc", RST, ERR_ENDPOINT_LOST,
		 0},
		{"no length, reset in an upload", OK_HEAD "\r\nabc", RST,
		 ERR_ENDPOINT_LOST, UPLOAD_BYTES},
		{"length, reset", OK_HEAD LENGTH, RST, ERR_NONE, 0},
		{"length, cut by an end",
		 OK_HEAD "Content-Length: 4\r\n\r\nabc", FIN, ERR_ENDPOINT_LOST,
		 0},
		{"length, cut by a reset",
		 OK_HEAD "Content-Length: 4\r\n\r\nabc", RST, ERR_ENDPOINT_LOST,
		 0},
		{"identity, ended",
		 OK_HEAD "Transfer-Encoding: identity\r\n\r\nabc", FIN,
		 ERR_NONE, 0},
		{"identity, reset",
		 OK_HEAD "Transfer-Encoding: identity\r\n\r\nabc", RST,
		 ERR_ENDPOINT_LOST, 0},
		{"chunks, ended", CHUNKED "3\r\nabc\r\n0\r\n\r\n", FIN,
		 ERR_NONE, 0},
		{"chunks, reset", CHUNKED "3\r\nabc\r\n0\r\n\r\n", RST,
		 ERR_NONE, 0},
		{"chunks, cut in one by an end", CHUNKED "4\r\nabc", FIN,
		 ERR_ENDPOINT_LOST, 0},
		{"chunks, cut by a reset", CHUNKED "3\r\nabc\r\n", RST,
		 ERR_ENDPOINT_LOST, 0},
		{"chunks, cut by an end", CHUNKED "3\r\nabc\r\n", FIN,
		 ERR_ENDPOINT_LOST, 0},
		{"chunks, cut in the last line", CHUNKED "3\r\nabc\r\n0\r\n",
		 FIN, ERR_ENDPOINT_LOST, 0},
	};

	check_rows (rows, G_N_ELEMENTS (rows));
}

/* The client waited for the body that GET would have been answered with, until
 * the time limit. */
static void
test_head (void)
{
	static const char *const heads[] = {
		OK_HEAD "Content-Length: 3\r\n\r\n",
		OK_HEAD "Transfer-Encoding: chunked\r\n\r\n",
		OK_HEAD "\r\n",
		"HTTP/1.1 404 None\r\nContent-Length: 9\r\n\r\n",
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (heads); i++) {
		struct fixture t;

		init_method (&t, "HEAD", 0);
		answer (&t, heads[i], KEEP, false);
		if (t.kind != ERR_NONE)
			g_print ("%s: kind %d\n", heads[i], t.kind);
		CU_ASSERT_EQUAL (t.kind, ERR_NONE);
		CU_ASSERT_STRING_EQUAL (t.body, "");
		finish (&t);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {{"status", test_status},
					      {"names", test_names},
					      {"ends", test_ends},
					      {"head", test_head},
					      {NULL, NULL}};

	signal (SIGPIPE, SIG_IGN);
	return t_run ("httpc", cases);
}
