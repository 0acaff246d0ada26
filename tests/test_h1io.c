/*
 * The two sides of HTTP/1.1 at the socket: a client against servers that cut,
 * add, delay and mix up answers, and a server against clients that leave, hurry
 * or send what can be read in two ways.  The other side is a plain socket.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1cli.h"
#include "h1srv.h"
#include "link.h"
#include "t_run.h"

#define WAIT_MS 2000

static h2o_loop_t *loop;

static struct sockaddr_in
local (uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons (port)};

	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	return a;
}

/* Run the loop until @done says so; Return: whether it did in time. */
static bool
run_until (bool (*done) (void *ctx), void *ctx)
{
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;

	while (!done (ctx)) {
		if (tmr_now_ms () > end_ms)
			return false;
		h2o_evloop_run (loop, 2);
	}
	return true;
}

/* The client's side */

struct outcome {
	int status;
	bool echoed;
	GString *body;
	enum h1cli_end end;
	bool done;
	bool reused;
};

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct outcome *o = ctx;

	(void)x;
	o->status = h->status;
	o->echoed = echoed;
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct outcome *o = ctx;

	(void)x;
	g_string_append_len (o->body, data, (gssize)len);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct outcome *o = ctx;

	o->reused = h1cli_reused (x);
	o->end = end;
	o->done = true;
}

static const struct h1cli_ops cli_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static bool
is_done (void *ctx)
{
	return ((struct outcome *)ctx)->done;
}

struct server {
	int listener, fd;
	uint16_t port;
	struct h1cli_host host;
};

static void
server_init (struct server *s)
{
	struct sockaddr_in at = local (0), to;
	struct in_addr any = {0};

	loop = h2o_evloop_create ();
	s->fd = -1;
	s->listener = link_listen_fd (&at, 16, &s->port, NULL);
	CU_ASSERT_FATAL (s->listener >= 0);
	to = local (s->port);
	h1cli_host_init (&s->host, loop, &to, any);
}

static void
server_finish (struct server *s)
{
	h1cli_host_finish (&s->host);
	if (s->fd >= 0)
		close (s->fd);
	if (s->listener >= 0)
		close (s->listener);
}

static bool
has_request (void *ctx)
{
	struct server *s = ctx;
	char buf[512];

	if (s->fd < 0)
		s->fd = accept (s->listener, NULL, NULL);
	return s->fd >= 0 && recv (s->fd, buf, sizeof buf, MSG_DONTWAIT) > 0;
}

static struct h1cli *
ask (struct server *s, struct outcome *o, const char *id, uint32_t idle_max_ms)
{
	char text[64];
	struct h1cli_req req = {.bytes = text,
				.echo_name = "X-Id",
				.echo_value = id,
				.idle_max_ms = idle_max_ms,
				.connect_ms = 500};

	req.len = (size_t)g_snprintf (text, sizeof text,
				      "GET / HTTP/1.1\r\nX-Id: %s\r\n\r\n", id);
	*o = (struct outcome){.body = g_string_new (NULL)};
	return h1cli_start (&s->host, &req, &cli_ops, o);
}

enum after { KEEP, FIN, RST };

static void
end_it (struct server *s, enum after after)
{
	struct linger now = {1, 0};

	if (after == KEEP)
		return;
	if (after == RST)
		setsockopt (s->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	close (s->fd);
	s->fd = -1;
}

static void
test_answers (void)
{
	static const struct {
		const char *what, *text;
		enum after after;
		enum h1cli_end end;
		const char *body;
		uint32_t kept; /* idle connections afterwards */
	} rows[] = {
		{"by length",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Content-Length: 3\r\n\r\nabc",
		 KEEP, H1CLI_WHOLE, "abc", 1},
		{"by chunks",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n"
		 "2\r\nab\r\n0\r\n\r\n",
		 KEEP, H1CLI_WHOLE, "ab", 1},
		{"says close",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Connection: close\r\n"
		 "Content-Length: 1\r\n\r\na",
		 KEEP, H1CLI_WHOLE, "a", 0},
		{"until close", "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nabc", FIN,
		 H1CLI_WHOLE, "abc", 0},
		{"until reset", "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nabc", RST,
		 H1CLI_BROKEN, NULL, 0},
		{"short length",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Content-Length: 5\r\n\r\nabc",
		 FIN, H1CLI_BROKEN, "abc", 0},
		{"cut chunks",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		 FIN, H1CLI_BROKEN, "ab", 0},
		{"no answer", "", FIN, H1CLI_BROKEN, "", 0},
		{"nonsense", "\x01\x02 nonsense\r\n\r\n", KEEP, H1CLI_BAD, "",
		 0},
		{"two lengths",
		 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
		 "Content-Length: 2\r\n\r\nab",
		 KEEP, H1CLI_BAD, "", 0},
		{"more than an answer",
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
		 "Content-Length: 1\r\n\r\naHTTP/1.1 2",
		 KEEP, H1CLI_WHOLE, "a", 0},
		{"another's answer first",
		 "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nzz"
		 "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 1\r\n\r\na",
		 KEEP, H1CLI_WHOLE, "a", 0},
		{"only another's answer",
		 "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nzz",
		 FIN, H1CLI_BROKEN, "", 0},
		{"an interim answer",
		 "HTTP/1.1 100 Continue\r\n\r\n"
		 "HTTP/1.1 204 None\r\nX-Id: r1\r\n\r\n",
		 KEEP, H1CLI_WHOLE, "", 1},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct outcome o;
		struct server s;

		server_init (&s);
		ask (&s, &o, "r1", 0);
		CU_ASSERT (run_until (has_request, &s));
		CU_ASSERT (send (s.fd, rows[i].text, strlen (rows[i].text),
				 MSG_NOSIGNAL) >= 0);
		if (rows[i].after == RST)
			h2o_evloop_run (loop, 5);
		end_it (&s, rows[i].after);
		CU_ASSERT (run_until (is_done, &o));
		if (o.end != rows[i].end)
			g_print ("%s: end %d\n", rows[i].what, o.end);
		CU_ASSERT (o.end == rows[i].end);
		if (rows[i].body != NULL)
			CU_ASSERT_STRING_EQUAL (o.body->str, rows[i].body);
		CU_ASSERT (s.host.idle.length == rows[i].kept);
		g_string_free (o.body, TRUE);
		server_finish (&s);
	}
}

static bool
none_open (void *ctx)
{
	return ((struct server *)ctx)->host.conns == 0;
}

/* Bytes on an idle connection belong to nobody; and its end is noticed. */
static void
test_idle (void)
{
	static const char answer[] = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
				     "Content-Length: 0\r\n\r\n";
	static const char second[] = "HTTP/1.1 200 OK\r\nX-Id: r2\r\n"
				     "Content-Length: 0\r\n\r\n";

	for (int how = 0; how < 3; how++) {
		struct outcome o, again;
		struct server s;

		server_init (&s);
		ask (&s, &o, "r1", 0);
		CU_ASSERT (run_until (has_request, &s));
		(void)!write (s.fd, answer, sizeof answer - 1);
		CU_ASSERT (run_until (is_done, &o));
		CU_ASSERT (s.host.idle.length == 1);
		if (how == 0)
			(void)!write (s.fd, answer, sizeof answer - 1);
		if (how == 1)
			end_it (&s, FIN);
		if (how < 2) {
			CU_ASSERT (run_until (none_open, &s));
		} else {
			ask (&s, &again, "r2", 10000);
			CU_ASSERT (run_until (has_request, &s));
			(void)!write (s.fd, second, sizeof second - 1);
			CU_ASSERT (run_until (is_done, &again));
			CU_ASSERT (again.reused && s.host.opened == 1);
			g_string_free (again.body, TRUE);
		}
		g_string_free (o.body, TRUE);
		server_finish (&s);
	}
}

/* Nothing left where no connection was made; a cancelled call ends its
 * connection at once. */
static void
test_unsent_and_cancel (void)
{
	struct outcome o;
	struct server s;
	struct h1cli *x;
	char c;

	server_init (&s);
	close (s.listener);
	s.listener = -1;
	ask (&s, &o, "r1", 0);
	CU_ASSERT (run_until (is_done, &o));
	CU_ASSERT (o.end == H1CLI_UNSENT);
	g_string_free (o.body, TRUE);
	server_finish (&s);

	server_init (&s);
	x = ask (&s, &o, "r1", 0);
	CU_ASSERT (run_until (has_request, &s));
	CU_ASSERT (h1cli_sent (x));
	h1cli_cancel (x);
	CU_ASSERT (recv (s.fd, &c, 1, 0) <= 0);
	g_string_free (o.body, TRUE);
	server_finish (&s);
}

/* The server's side */

struct service {
	struct h1srv srv;
	struct h1srv_conn *last;
	GString *seen; /* bodies, each ended by a bar */
	uint32_t requests, gone;
	bool answers;
};

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct service *s = ctx;

	(void)h;
	s->requests++;
	s->last = c;
	g_string_append_len (s->seen, (const char *)body->data, body->len);
	g_string_append_c (s->seen, '|');
	if (s->answers)
		h1srv_answer (c, 200, NULL, "ok", 2);
}

static void
on_gone (struct h1srv_conn *c, void *ctx)
{
	struct service *s = ctx;

	(void)c;
	s->gone++;
}

static const struct h1srv_ops srv_ops = {on_request, on_gone};

static int
service_init (struct service *s, bool answers)
{
	static const struct h1srv_limits limits = {1000, 100, 150, 300};
	struct sockaddr_in at = local (0);
	int fd = socket (AF_INET, SOCK_STREAM, 0);

	loop = h2o_evloop_create ();
	*s = (struct service){.answers = answers, .seen = g_string_new (NULL)};
	CU_ASSERT_FATAL (
		h1srv_init (&s->srv, loop, &at, &limits, &srv_ops, s, NULL));
	at = local (s->srv.port);
	CU_ASSERT_FATAL (connect (fd, (struct sockaddr *)&at, sizeof at) == 0);
	return fd;
}

static void
service_finish (struct service *s, int fd)
{
	h1srv_finish (&s->srv);
	g_string_free (s->seen, TRUE);
	if (fd >= 0)
		close (fd);
}

struct reader {
	int fd;
	GString *got;
	bool ended;
	bool reset;
};

static bool
read_all (void *ctx)
{
	struct reader *r = ctx;
	char buf[512];
	ssize_t n = recv (r->fd, buf, sizeof buf, MSG_DONTWAIT);

	if (n > 0)
		g_string_append_len (r->got, buf, n);
	r->ended = n == 0 || (n < 0 && errno != EAGAIN);
	r->reset = n < 0 && errno == ECONNRESET;
	return r->ended;
}

static void
send_text (int fd, const char *text)
{
	CU_ASSERT (send (fd, text, strlen (text), MSG_NOSIGNAL) ==
		   (ssize_t)strlen (text));
}

static bool
two_answered (void *ctx)
{
	return ((struct service *)ctx)->requests == 2;
}

/* Requests that come together, one of them in chunks, one after the other. */
static void
test_pipelined (void)
{
	struct service s;
	int fd = service_init (&s, true);

	send_text (fd,
		   "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		   "\r\nabcPOST /b HTTP/1.1\r\nHost: h\r\n"
		   "Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n");
	CU_ASSERT (run_until (two_answered, &s));
	CU_ASSERT_STRING_EQUAL (s.seen->str, "abc|de|");
	service_finish (&s, fd);
}

static bool
one_came (void *ctx)
{
	return ((struct service *)ctx)->requests == 1;
}

static bool
one_left (void *ctx)
{
	return ((struct service *)ctx)->gone == 1;
}

/* A caller that leaves is noticed though nothing is written to it. */
static void
test_gone (void)
{
	struct service s;
	int fd = service_init (&s, false);

	send_text (fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	CU_ASSERT (run_until (one_came, &s));
	CU_ASSERT (s.gone == 0 && s.srv.busy == 1);
	close (fd);
	CU_ASSERT (run_until (one_left, &s));
	CU_ASSERT (s.srv.busy == 0 && s.srv.conns->len == 0);
	service_finish (&s, -1);
}

/* What is refused runs nothing, and what follows it runs nothing either. */
static void
test_refused (void)
{
	static const struct {
		const char *text, *status;
	} rows[] = {
		{"POST / HTTP/1.1\r\nContent-Length: 5\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		 "GET /smuggled HTTP/1.1\r\n\r\n",
		 "HTTP/1.1 400"},
		{"POST / HTTP/1.1\r\nContent-Length: 500\r\n\r\n",
		 "HTTP/1.1 413"},
		{"GET / HTTP/1.1\r\nA: ", "HTTP/1.1 408"},
		{"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
		 "HTTP/1.1 408"},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct reader r = {.got = g_string_new (NULL)};
		struct service s;

		r.fd = service_init (&s, true);
		send_text (r.fd, rows[i].text);
		CU_ASSERT (run_until (read_all, &r));
		CU_ASSERT (strncmp (r.got->str, rows[i].status, 12) == 0);
		CU_ASSERT (s.requests == 0);
		CU_ASSERT (strstr (rows[i].status, "413") == NULL ||
			   strstr (r.got->str, "limit ") != NULL);
		g_string_free (r.got, TRUE);
		service_finish (&s, r.fd);
	}
}

/* A cut answer ends in a reset, so that it can't pass for a whole one. */
static void
test_cut (void)
{
	struct reader r = {.got = g_string_new (NULL)};
	struct service s;

	r.fd = service_init (&s, false);
	send_text (r.fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	CU_ASSERT (run_until (one_came, &s));
	h1srv_write (s.last, "HTTP/1.1 200 OK\r\n\r\npart", 23);
	h2o_evloop_run (loop, 5);
	h1srv_end (s.last, false);
	CU_ASSERT (run_until (read_all, &r));
	CU_ASSERT (r.reset);
	g_string_free (r.got, TRUE);
	service_finish (&s, r.fd);
}

/* Leaving: the next answer says so and closes; idle ones are closed. */
static void
test_leave (void)
{
	struct reader r = {.got = g_string_new (NULL)};
	struct service s;

	r.fd = service_init (&s, false);
	send_text (r.fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	CU_ASSERT (run_until (one_came, &s));
	h1srv_leave (&s.srv);
	h1srv_close_idle (&s.srv);
	h1srv_answer (s.last, 200, NULL, "ok", 2);
	CU_ASSERT (run_until (read_all, &r));
	CU_ASSERT (strstr (r.got->str, "Connection: close\r\n") != NULL &&
		   g_str_has_suffix (r.got->str, "\r\n\r\nok") && !r.reset);
	g_string_free (r.got, TRUE);
	service_finish (&s, r.fd);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"answers", test_answers},
		{"idle", test_idle},
		{"unsent and cancel", test_unsent_and_cancel},
		{"pipelined", test_pipelined},
		{"gone", test_gone},
		{"refused", test_refused},
		{"cut", test_cut},
		{"leave", test_leave},
		{NULL, NULL}};

	return t_run ("h1io", cases);
}
