/*
 * Answers whose connection fails while the request is still being written.
 * The kernel reports the error of a socket once, to a write or to a read, and
 * a read after that sees an end of the stream; an answer that was cut must
 * not pass for a whole one, and a whole one must arrive.  The server is a plain
 * socket that reads no body.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1cli.h"
#include "link.h"
#include "t_run.h"

#define WAIT_MS 4000
#define BODY_BYTES (8U << 20) /* more than the buffers of both sides take */
#define TIMEOUT_MS 300        /* of a server that is silent */

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

struct fixture {
	h2o_loop_t *loop;
	struct h1cli_host host;
	struct h1cli *call;
	int listener, fd;
	GString *body;
	bool pauses; /* at the first piece of the body */
	enum h1cli_end end;
	bool done;
};

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	(void)x;
	(void)h;
	(void)echoed;
	(void)ctx;
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct fixture *t = ctx;

	if (t->pauses)
		h1cli_pause (x);
	t->pauses = false;
	g_string_append_len (t->body, data, (gssize)len);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct fixture *t = ctx;

	(void)x;
	t->end = end;
	t->done = true;
}

static const struct h1cli_ops ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static void
run (struct fixture *t, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (!t->done && tmr_now_ms () < end_ms)
		h2o_evloop_run (t->loop, 2);
}

/* A request whose body the server does not read. */
static void
init (struct fixture *t, size_t body_len, struct sio_limits limits)
{
	static const char head[] = "POST / HTTP/1.1\r\nContent-Length: ";
	struct sockaddr_in at = {.sin_family = AF_INET};
	struct h1cli_req req = {.connect_ms = 500, .limits = limits};
	struct in_addr any = {0};
	char buf[sizeof head + 16] = {0};
	uint16_t port;
	GString *text = g_string_new (NULL);

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	*t = (struct fixture){.fd = -1, .body = g_string_new (NULL)};
	t->loop = h2o_evloop_create ();
	t->listener = link_listen_fd (&at, 16, &port, NULL);
	CU_ASSERT_FATAL (t->listener >= 0);
	at.sin_port = htons (port);
	h1cli_host_init (&t->host, t->loop, &at, any);
	g_string_printf (text, "%s%zu\r\n\r\n", head, body_len);
	g_string_set_size (text, text->len + body_len);
	req.bytes = text->str;
	req.len = text->len;
	t->call = h1cli_start (&t->host, &req, &ops, t);
	g_string_free (text, TRUE);
	for (int i = 0; i < 500 && t->fd < 0; i++) {
		h2o_evloop_run (t->loop, 2);
		t->fd = accept (t->listener, NULL, NULL);
	}
	CU_ASSERT_FATAL (t->fd >= 0);
	run (t, 20);
	CU_ASSERT (recv (t->fd, buf, sizeof head - 1, MSG_DONTWAIT) ==
		   sizeof head - 1);
	CU_ASSERT (!t->done);
}

static void
finish (struct fixture *t)
{
	h1cli_host_finish (&t->host);
	g_string_free (t->body, TRUE);
	if (t->fd >= 0)
		close (t->fd);
	close (t->listener);
}

static void
say (struct fixture *t, const char *text)
{
	CU_ASSERT (send (t->fd, text, strlen (text), MSG_NOSIGNAL) ==
		   (ssize_t)strlen (text));
}

enum after { FIN, CLOSE, RST, FIN_RST };

/* CLOSE: as any server does that has read enough.  Its kernel sends a reset in
 * place of the end where bytes are unread. */
static void
end_it (struct fixture *t, enum after after)
{
	struct linger now = {1, 0};

	if (after == FIN || after == FIN_RST)
		shutdown (t->fd, SHUT_WR);
	if (after == FIN)
		return;
	if (after != CLOSE)
		setsockopt (t->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	close (t->fd);
	t->fd = -1;
}

/* Each answer ends in the same turn of the loop in which it arrives, and in a
 * later one. */
static void
test_ends (void)
{
	static const struct {
		const char *what, *text;
		enum after after;
		enum h1cli_end end;
		const char *body;
	} rows[] = {
		{"no length, reset", OK_HEAD "\r\nabc", RST, H1CLI_BROKEN,
		 NULL},
		{"no length, closed with bytes unread", OK_HEAD "\r\nabc",
		 CLOSE, H1CLI_BROKEN, NULL},
		{"no length, ended", OK_HEAD "\r\nabc", FIN, H1CLI_WHOLE,
		 "abc"},
		{"no length, ended before a reset", OK_HEAD "\r\nabc", FIN_RST,
		 H1CLI_WHOLE, "abc"},
		{"length, reset", OK_HEAD "Content-Length: 3\r\n\r\nabc", RST,
		 H1CLI_WHOLE, "abc"},
		{"length, closed", OK_HEAD "Content-Length: 3\r\n\r\nabc",
		 CLOSE, H1CLI_WHOLE, "abc"},
		{"length, cut by a reset",
		 OK_HEAD "Content-Length: 4\r\n\r\nabc", RST, H1CLI_BROKEN,
		 NULL},
		{"length, cut by an end",
		 OK_HEAD "Content-Length: 4\r\n\r\nabc", FIN, H1CLI_BROKEN,
		 "abc"},
		{"chunks, reset", CHUNKED "3\r\nabc\r\n0\r\n\r\n", RST,
		 H1CLI_WHOLE, "abc"},
		{"chunks, cut by a reset", CHUNKED "3\r\nabc\r\n", RST,
		 H1CLI_BROKEN, NULL},
		{"chunks, cut before the last line by an end",
		 CHUNKED "3\r\nabc\r\n0\r\n", FIN, H1CLI_BROKEN, "abc"},
		{"an error, closed",
		 "HTTP/1.1 413 Large\r\nContent-Length: 3\r\n\r\nabc", CLOSE,
		 H1CLI_WHOLE, "abc"},
		{"half a head, reset", OK_HEAD "X: y\r\n", RST, H1CLI_BROKEN,
		 ""},
		{"nothing, reset", "", RST, H1CLI_BROKEN, ""},
	};

	for (unsigned i = 0; i < 2 * G_N_ELEMENTS (rows); i++) {
		unsigned k = i / 2;
		struct fixture t;

		init (&t, BODY_BYTES, (struct sio_limits){0});
		say (&t, rows[k].text);
		if (i % 2 == 1 && rows[k].end != H1CLI_WHOLE)
			run (&t, 20);
		end_it (&t, rows[k].after);
		run (&t, WAIT_MS);
		if (!t.done || t.end != rows[k].end)
			g_print ("%s, %s: done %d end %d\n", rows[k].what,
				 i % 2 == 0 ? "at once" : "later", t.done,
				 t.end);
		CU_ASSERT (t.done && t.end == rows[k].end);
		if (rows[k].body != NULL)
			CU_ASSERT_STRING_EQUAL (t.body->str, rows[k].body);
		CU_ASSERT (t.host.idle.length == 0);
		finish (&t);
	}
}

/* An end that was read before the reset came. */
static void
test_reset_after_the_end (void)
{
	struct fixture t;

	init (&t, BODY_BYTES, (struct sio_limits){0});
	say (&t, OK_HEAD "\r\nabc");
	run (&t, 20);
	shutdown (t.fd, SHUT_WR);
	run (&t, 20);
	end_it (&t, RST);
	run (&t, WAIT_MS);
	CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
	CU_ASSERT_STRING_EQUAL (t.body->str, "abc");
	finish (&t);
}

/* The kernel gives up a server that acknowledges nothing.  That error is
 * reported once too. */
static void
test_timeout (void)
{
	struct sio_limits strict = {.user_timeout_ms = TIMEOUT_MS,
				    .probe_s = 1};
	struct fixture t;

	init (&t, BODY_BYTES, strict);
	say (&t, OK_HEAD "\r\nabc");
	run (&t, WAIT_MS);
	CU_ASSERT (t.done && t.end == H1CLI_BROKEN);
	finish (&t);
}

/* What the kernel holds for a reader that is paused is still read, and its end
 * is the same. */
static void
test_paused (void)
{
	static const struct {
		const char *first, *rest;
		enum after after;
		enum h1cli_end end;
		const char *body;
	} rows[] = {
		{OK_HEAD "Content-Length: 6\r\n\r\nabc", "def", RST,
		 H1CLI_WHOLE, "abcdef"},
		{CHUNKED "3\r\nabc\r\n", "3\r\ndef\r\n0\r\n\r\n", RST,
		 H1CLI_WHOLE, "abcdef"},
		{OK_HEAD "\r\nabc", "def", RST, H1CLI_BROKEN, "abcdef"},
		{OK_HEAD "\r\nabc", "def", CLOSE, H1CLI_BROKEN, "abcdef"},
		{OK_HEAD "\r\nabc", "def", FIN_RST, H1CLI_WHOLE, "abcdef"},
		{OK_HEAD "Content-Length: 7\r\n\r\nabc", "def", RST,
		 H1CLI_BROKEN, "abcdef"},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct fixture t;

		init (&t, BODY_BYTES, (struct sio_limits){0});
		t.pauses = true;
		say (&t, rows[i].first);
		run (&t, 20);
		say (&t, rows[i].rest);
		end_it (&t, rows[i].after);
		run (&t, 20);
		CU_ASSERT (!t.done);
		if (!t.done)
			h1cli_resume (t.call);
		run (&t, WAIT_MS);
		if (t.end != rows[i].end)
			g_print ("paused %u: end %d\n", i, t.end);
		CU_ASSERT (t.done && t.end == rows[i].end);
		CU_ASSERT_STRING_EQUAL (t.body->str, rows[i].body);
		finish (&t);
	}
}

/* The same for the next request on a kept connection. */
static void
test_kept (void)
{
	static const char answer[] = OK_HEAD "Content-Length: 3\r\n\r\nabc";
	char *body = g_malloc0 (BODY_BYTES);
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {.idle_max_ms = WAIT_MS, .connect_ms = 500};
	struct fixture t;

	init (&t, 0, (struct sio_limits){0});
	say (&t, answer);
	run (&t, WAIT_MS);
	CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
	CU_ASSERT (t.host.idle.length == 1);
	t.done = false;
	g_string_truncate (t.body, 0);
	g_string_printf (text, "POST / HTTP/1.1\r\nContent-Length: %u\r\n\r\n",
			 BODY_BYTES);
	g_string_append_len (text, body, BODY_BYTES);
	req.bytes = text->str;
	req.len = text->len;
	t.call = h1cli_start (&t.host, &req, &ops, &t);
	CU_ASSERT (h1cli_reused (t.call));
	run (&t, 20);
	say (&t, OK_HEAD "\r\nabc");
	run (&t, 20);
	end_it (&t, RST);
	run (&t, WAIT_MS);
	CU_ASSERT (t.done && t.end == H1CLI_BROKEN);
	CU_ASSERT (t.host.conns == 0);
	finish (&t);
	g_string_free (text, TRUE);
	g_free (body);
}

/* A read that fills the buffer is followed by another one, which gets the
 * error; what the first one brought counts all the same. */
static void
test_bytes_before_the_error (void)
{
	for (size_t total = 1024; total <= 65536; total += 1024) {
		GString *text = g_string_new (NULL);
		struct fixture t;
		size_t head;

		g_string_printf (text, OK_HEAD "Content-Length: %05zu\r\n\r\n",
				 total);
		head = text->len;
		g_string_printf (text, OK_HEAD "Content-Length: %05zu\r\n\r\n",
				 total - head);
		for (size_t i = head; i < total; i++)
			g_string_append_c (text, 'a');
		/* The body goes out before the answer comes, or is pending. */
		init (&t, total % 2048 == 0 ? BODY_BYTES : 0,
		      (struct sio_limits){0});
		say (&t, text->str);
		end_it (&t, RST);
		run (&t, WAIT_MS);
		if (t.end != H1CLI_WHOLE)
			g_print ("%zu bytes: end %d\n", total, t.end);
		CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
		CU_ASSERT (t.body->len == total - head);
		finish (&t);
		g_string_free (text, TRUE);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"ends", test_ends},
		{"reset after the end", test_reset_after_the_end},
		{"timeout", test_timeout},
		{"paused", test_paused},
		{"kept connection", test_kept},
		{"bytes before the error", test_bytes_before_the_error},
		{NULL, NULL}};

	signal (SIGPIPE, SIG_IGN);
	return t_run ("h1reset", cases);
}
