/*
 * Answers that come once more on a kept connection: an earlier refusal that
 * passes for the answer to a later request would tell a client "not run" of a
 * request that runs, or have it run at a second server.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1cli.h"
#include "link.h"
#include "t_run.h"

#define WAIT_MS 2000
#define IDLE_MAX_MS 10000
#define LONG_BODY_BYTES (16U << 20)

#define FULL "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n"
#define FULL_R1 FULL "X-Id: r1\r\nContent-Length: 2\r\n\r\nno"
#define OWN "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 1\r\n\r\na"

static h2o_loop_t *loop;

struct outcome {
	int status; /* 0: no head was passed on */
	bool echoed;
	GString *body;
	enum h1cli_end end;
	bool done, sent, reused;
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
	o->sent = h1cli_sent (x);
	o->end = end;
	o->done = true;
}

static const struct h1cli_ops ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

struct server {
	int listener, fd;
	struct h1cli_host host;
};

static void
server_init (struct server *s)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	struct in_addr any = {0};
	uint16_t port;

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	loop = h2o_evloop_create ();
	s->fd = -1;
	s->listener = link_listen_fd (&at, 16, &port, NULL);
	CU_ASSERT_FATAL (s->listener >= 0);
	at.sin_port = htons (port);
	h1cli_host_init (&s->host, loop, &at, any);
}

static void
server_finish (struct server *s)
{
	h1cli_host_finish (&s->host);
	if (s->fd >= 0)
		close (s->fd);
	close (s->listener);
}

static struct h1cli *
ask (struct server *s, struct outcome *o, const char *method, const char *id,
     size_t body_len)
{
	char *body = g_strnfill (body_len, 'x');
	char *text =
		g_strdup_printf ("%s / HTTP/1.1\r\nX-Id: %s\r\n"
				 "Content-Length: %zu\r\n\r\n%s",
				 method, id != NULL ? id : "", body_len, body);
	struct h1cli_req req = {.bytes = text,
				.len = strlen (text),
				.to_head = strcmp (method, "HEAD") == 0,
				.echo_name = id != NULL ? "X-Id" : NULL,
				.echo_value = id,
				.idle_max_ms = IDLE_MAX_MS,
				.connect_ms = 500};
	struct h1cli *x;

	*o = (struct outcome){.body = g_string_new (NULL)};
	x = h1cli_start (&s->host, &req, &ops, o);
	g_free (text);
	g_free (body);
	return x;
}

/* Runs the loop until a request has arrived, on a new connection where the
 * client made one. */
static bool
receive (struct server *s)
{
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;
	char buf[512];

	while (tmr_now_ms () < end_ms) {
		int fd;

		h2o_evloop_run (loop, 2);
		fd = accept (s->listener, NULL, NULL);
		if (fd >= 0) {
			if (s->fd >= 0)
				close (s->fd);
			s->fd = fd;
		}
		if (s->fd >= 0 &&
		    recv (s->fd, buf, sizeof buf, MSG_DONTWAIT) > 0)
			return true;
	}
	return false;
}

static void
reply (struct server *s, const char *text)
{
	CU_ASSERT (send (s->fd, text, strlen (text), MSG_NOSIGNAL) ==
		   (ssize_t)strlen (text));
}

static bool
finished (struct outcome *o)
{
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;

	while (!o->done && tmr_now_ms () < end_ms)
		h2o_evloop_run (loop, 2);
	return o->done;
}

/* A first exchange, after which the connection is kept. */
static void
first_exchange (struct server *s, const char *method, const char *answer)
{
	struct outcome o;

	server_init (s);
	ask (s, &o, method, "r1", 0);
	CU_ASSERT_FATAL (receive (s));
	reply (s, answer);
	CU_ASSERT_FATAL (finished (&o));
	CU_ASSERT_FATAL (s->host.idle.length == 1);
	g_string_free (o.body, TRUE);
}

static const struct {
	const char *what, *text;
	bool ends; /* the server closes afterwards */
	enum h1cli_end end;
	int status;
	uint32_t kept;
} rows[] = {
	{"its own answer", OWN, false, H1CLI_WHOLE, 200, 1},
	{"its own refusal", FULL "X-Id: r2\r\nContent-Length: 0\r\n\r\n", false,
	 H1CLI_WHOLE, 503, 1},
	{"a refusal without an id", FULL "Content-Length: 0\r\n\r\n", false,
	 H1CLI_BAD, 0, 0},
	{"421 without an id",
	 "HTTP/1.1 421 Other\r\nX-Instance-Id: i\r\nContent-Length: 0\r\n\r\n",
	 false, H1CLI_BAD, 0, 0},
	{"an error without an id",
	 "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", false, H1CLI_BAD,
	 0, 0},
	{"a refusal without an id, then its own answer",
	 FULL "Content-Length: 0\r\n\r\n" OWN, false, H1CLI_BAD, 0, 0},
	{"an interim answer, then a refusal without an id",
	 "HTTP/1.1 100 Continue\r\n\r\n" FULL "Content-Length: 0\r\n\r\n",
	 false, H1CLI_BAD, 0, 0},
	{"an earlier refusal alone", FULL_R1, true, H1CLI_BROKEN, 0, 0},
	{"an earlier refusal, by length", FULL_R1 OWN, false, H1CLI_WHOLE, 200,
	 0},
	{"an earlier refusal, by chunks",
	 FULL "X-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
	      "2\r\nno\r\n0\r\n\r\n" OWN,
	 false, H1CLI_WHOLE, 200, 0},
	{"an earlier refusal, up to the connection's end",
	 FULL "X-Id: r1\r\n\r\nno" OWN, true, H1CLI_BAD, 0, 0},
	{"an interim answer, then an earlier refusal",
	 "HTTP/1.1 100 Continue\r\n\r\n" FULL_R1 OWN, false, H1CLI_WHOLE, 200,
	 0},
	{"four earlier refusals", FULL_R1 FULL_R1 FULL_R1 FULL_R1 OWN, false,
	 H1CLI_WHOLE, 200, 0},
	{"five earlier refusals", FULL_R1 FULL_R1 FULL_R1 FULL_R1 FULL_R1 OWN,
	 false, H1CLI_BAD, 0, 0},
	{"half a refusal", "HTTP/1.1 503 Full\r\nX-Not-Exec", true,
	 H1CLI_BROKEN, 0, 0},
	{"a refusal cut after a line, then its own answer", FULL OWN, false,
	 H1CLI_BAD, 0, 0},
	{"a refusal cut in a value, then its own answer", FULL "X-A: " OWN,
	 false, H1CLI_BAD, 0, 0},
	{"a refusal cut in a long value, then its own answer",
	 FULL "X-A: some text " OWN, false, H1CLI_BAD, 0, 0},
	{"a refusal cut in a name, then its own answer", FULL "X-" OWN, false,
	 H1CLI_BAD, 0, 0},
	{"two ids, its own last",
	 FULL "X-Id: r1\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n", false,
	 H1CLI_BAD, 0, 0},
	{"two ids, its own first",
	 FULL "X-Id: r2\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n", false,
	 H1CLI_BAD, 0, 0},
};

/* The answer comes after the request. */
static void
test_refusal_once_more (void)
{
	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct outcome o;
		struct server s;

		first_exchange (&s, "GET", FULL_R1);
		ask (&s, &o, "POST", "r2", 0);
		CU_ASSERT (receive (&s));
		reply (&s, rows[i].text);
		if (rows[i].ends) {
			close (s.fd);
			s.fd = -1;
		}
		CU_ASSERT (finished (&o));
		if (o.end != rows[i].end || o.status != rows[i].status ||
		    s.host.idle.length != rows[i].kept)
			g_print ("%s: end %d status %d kept %u\n", rows[i].what,
				 o.end, o.status, s.host.idle.length);
		CU_ASSERT (o.end == rows[i].end && o.status == rows[i].status);
		CU_ASSERT (o.sent && o.reused && s.host.opened == 1);
		CU_ASSERT (s.host.idle.length == rows[i].kept);
		g_string_free (o.body, TRUE);
		server_finish (&s);
	}
}

/* It comes before the request, and waits in the kernel: nothing is sent. */
static void
test_waits_in_the_kernel (void)
{
	static const char *const texts[] = {
		FULL_R1, FULL "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Full\r\nX-Not-Exec", "HTTP/1.1 100 C\r\n\r\n",
		FULL_R1 FULL_R1 FULL_R1 FULL_R1 FULL_R1};

	for (unsigned i = 0; i < 2 * G_N_ELEMENTS (texts) + 1; i++) {
		struct outcome o;
		struct server s;

		first_exchange (&s, "GET", FULL_R1);
		if (i / 2 < G_N_ELEMENTS (texts))
			reply (&s, texts[i / 2]);
		else
			shutdown (s.fd, SHUT_WR);
		ask (&s, &o, "POST", i & 1 ? "r2" : NULL, 0);
		CU_ASSERT (receive (&s));
		CU_ASSERT (s.host.opened == 2);
		reply (&s, OWN);
		CU_ASSERT (finished (&o));
		CU_ASSERT (o.end == H1CLI_WHOLE && o.status == 200 &&
			   !o.reused);
		CU_ASSERT (s.host.idle.length == 1 && s.host.conns == 1);
		g_string_free (o.body, TRUE);
		server_finish (&s);
	}
}

/* The same request again: the id does not tell the two answers apart. */
static void
test_same_request_again (void)
{
	struct outcome o;
	struct server s;

	first_exchange (&s, "POST", FULL_R1);
	ask (&s, &o, "POST", "r2", 0);
	CU_ASSERT (receive (&s));
	reply (&s, OWN);
	CU_ASSERT (finished (&o));
	CU_ASSERT (o.reused && s.host.opened == 1);
	g_string_free (o.body, TRUE);
	ask (&s, &o, "POST", "r1", 0);
	CU_ASSERT (receive (&s));
	CU_ASSERT (s.host.opened == 2);
	reply (&s, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n");
	CU_ASSERT (finished (&o));
	CU_ASSERT (o.end == H1CLI_WHOLE && o.status == 200 && !o.reused);
	g_string_free (o.body, TRUE);
	server_finish (&s);
}

/* It comes while the request is being written. */
static void
test_while_it_is_written (void)
{
	for (int with_id = 0; with_id < 2; with_id++) {
		struct outcome o;
		struct server s;

		first_exchange (&s, "GET", FULL_R1);
		ask (&s, &o, "POST", "r2", LONG_BODY_BYTES);
		CU_ASSERT (receive (&s));
		reply (&s,
		       with_id ? FULL_R1 : FULL "Content-Length: 0\r\n\r\n");
		for (int i = 0; i < 50 && !o.done; i++)
			h2o_evloop_run (loop, 2);
		if (with_id) {
			CU_ASSERT (!o.done);
			reply (&s, OWN);
		}
		CU_ASSERT (finished (&o));
		CU_ASSERT (o.sent &&
			   o.end == (with_id ? H1CLI_WHOLE : H1CLI_BAD));
		CU_ASSERT (o.status == (with_id ? 200 : 0));
		CU_ASSERT (s.host.conns == 0);
		g_string_free (o.body, TRUE);
		server_finish (&s);
	}
}

/* Whether an answer to another request has a body depends on that request. */
static void
test_head_request (void)
{
	struct outcome o;
	struct server s;

	first_exchange (&s, "GET", FULL_R1);
	ask (&s, &o, "HEAD", "r2", 0);
	CU_ASSERT (receive (&s));
	reply (&s, FULL "X-Id: r1\r\nContent-Length: 50\r\n\r\n" OWN);
	CU_ASSERT (finished (&o));
	CU_ASSERT (o.end == H1CLI_BAD && o.status == 0 && s.host.conns == 0);
	g_string_free (o.body, TRUE);
	server_finish (&s);

	first_exchange (&s, "HEAD",
			FULL "X-Id: r1\r\nContent-Length: 2\r\n\r\n");
	ask (&s, &o, "GET", "r2", 0);
	CU_ASSERT (receive (&s));
	reply (&s, FULL "X-Id: r1\r\nContent-Length: 2\r\n\r\n" OWN);
	CU_ASSERT (finished (&o));
	CU_ASSERT (o.end == H1CLI_BAD && o.status == 0 && s.host.conns == 0);
	g_string_free (o.body, TRUE);
	server_finish (&s);
}

/* On a connection on which nothing else was sent, a refusal without an id
 * belongs to the request; the connection is not used again. */
static void
test_new_connection (void)
{
	struct outcome o;
	struct server s;

	server_init (&s);
	ask (&s, &o, "POST", "r2", 0);
	CU_ASSERT (receive (&s));
	reply (&s, FULL "Content-Length: 0\r\n\r\n");
	CU_ASSERT (finished (&o));
	CU_ASSERT (o.end == H1CLI_WHOLE && o.status == 503 && !o.echoed);
	CU_ASSERT (s.host.conns == 0);
	g_string_free (o.body, TRUE);
	server_finish (&s);
}

static bool may_send_answer;

static bool
may_send (void *ctx)
{
	(void)ctx;
	return may_send_answer;
}

/* A right that ends while the connection is made: a deposed leader called the
 * platform once more after its disk had hung. */
static void
test_right_that_ends_before_first_byte (void)
{
	static const struct h1cli_ops guarded = {on_head, on_data, on_done,
						 may_send};
	static const char text[] = "GET / HTTP/1.1\r\n\r\n";
	struct h1cli_req req = {
		.bytes = text, .len = sizeof text - 1, .connect_ms = 500};

	for (int i = 0; i < 2; i++) {
		uint64_t end_ms = tmr_now_ms () + WAIT_MS;
		struct outcome o = {.body = g_string_new (NULL)};
		struct server s;

		server_init (&s);
		may_send_answer = true;
		h1cli_start (&s.host, &req, &guarded, &o);
		may_send_answer = i == 1;
		while (i == 0 && !o.done && tmr_now_ms () < end_ms)
			h2o_evloop_run (loop, 2);
		if (i == 0) {
			CU_ASSERT_FATAL (o.done);
			CU_ASSERT (o.end == H1CLI_UNSENT);
			CU_ASSERT (!o.sent);
		} else {
			CU_ASSERT (receive (&s));
			CU_ASSERT (!o.done);
		}
		server_finish (&s);
		g_string_free (o.body, TRUE);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"refusal once more", test_refusal_once_more},
		{"waits in the kernel", test_waits_in_the_kernel},
		{"same request again", test_same_request_again},
		{"while it is written", test_while_it_is_written},
		{"head request", test_head_request},
		{"new connection", test_new_connection},
		{"right_that_ends_before_first_byte",
		 test_right_that_ends_before_first_byte},
		{NULL, NULL}};

	return t_run ("h1kept", cases);
}
