/*
 * The HTTP wrappers against each other over loopback: whole, cut, late,
 * oversize and cancelled answers, refused connections, hostile bytes.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "httpc.h"
#include "httpd.h"
#include "t_run.h"

#define WAIT_MS 5000

static h2o_loop_t *loop;
static struct httpd server;
static struct httpc_peer peer;

struct slow {
	h2o_generator_t gen;
};

static void
proceed_cut (h2o_generator_t *gen, h2o_req_t *req)
{
	(void)gen;
	h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static void
proceed_never (h2o_generator_t *gen, h2o_req_t *req)
{
	(void)gen;
	(void)req;
}

static void
begin (h2o_req_t *req, void (*proceed) (h2o_generator_t *, h2o_req_t *))
{
	struct slow *s = h2o_mem_alloc_pool (&req->pool, sizeof *s);
	h2o_iovec_t buf = h2o_iovec_init (H2O_STRLIT ("part"));

	memset (s, 0, sizeof *s);
	s->gen.proceed = proceed;
	req->res.status = 200;
	h2o_start_response (req, &s->gen);
	h2o_send (req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static int
handler (h2o_req_t *req, void *ctx)
{
	char value[8];

	(void)ctx;
	if (httpd_path_is (req, "/whole")) {
		httpd_answer (req, 200, "text/plain", "hello", 5);
	} else if (httpd_path_is (req, "/echo")) {
		httpd_answer (req, 201, "text/plain", req->entity.base,
			      req->entity.len);
	} else if (httpd_path_is (req, "/query")) {
		bool ok = httpd_query (req, "b", value, sizeof value);

		httpd_answer (req, 200, "text/plain", ok ? value : "-",
			      ok ? strlen (value) : 1);
	} else if (httpd_path_is (req, "/cut")) {
		begin (req, proceed_cut);
	} else if (httpd_path_is (req, "/hang")) {
		begin (req, proceed_never);
	} else {
		return -1;
	}
	return 0;
}

struct got {
	int done;
	int status;
	enum err_kind kind;
	char body[64];
};

static void
on_reply (const struct httpc_reply *r, const struct err *e, void *ctx)
{
	struct got *g = ctx;

	g->done++;
	g->status = r->status;
	g->kind = e != NULL ? e->kind : ERR_NONE;
	g_strlcpy (g->body, r->body != NULL ? r->body : "", sizeof g->body);
}

static void
turn_until (const int *what, int least)
{
	uint64_t end = tmr_now_ms () + WAIT_MS;

	while (*what < least && tmr_now_ms () < end)
		h2o_evloop_run (loop, 10);
}

static struct got
fetch (const char *path, const char *body, bool fresh, size_t max,
       uint64_t timeout_ms)
{
	struct got g = {0};
	struct httpc_req q = {.method = body != NULL ? "POST" : "GET",
			      .path = path,
			      .body = body,
			      .body_len = body != NULL ? strlen (body) : 0,
			      .fresh = fresh,
			      .timeout_ms = timeout_ms,
			      .user_timeout_ms = 1000};

	httpc_fetch (&peer, &q, max, on_reply, &g);
	CU_ASSERT_EQUAL (g.done, 0);
	turn_until (&g.done, 1);
	CU_ASSERT_EQUAL (g.done, 1);
	return g;
}

static void
test_answers (void)
{
	static const struct {
		const char *path, *body, *want;
		int status;
		enum err_kind kind;
		size_t max;
		uint64_t timeout_ms;
	} cases[] = {
		{"/whole", NULL, "hello", 200, ERR_NONE, 100, 0},
		{"/whole", NULL, "hello", 200, ERR_NONE, 5, 2000},
		{"/whole", NULL, "", 200, ERR_TOO_LARGE, 4, 0},
		{"/echo", "body", "body", 201, ERR_NONE, 100, 0},
		{"/query?a=1&b=2", NULL, "2", 200, ERR_NONE, 100, 0},
		{"/query?bb=1", NULL, "-", 200, ERR_NONE, 100, 0},
		{"/query?b=12345678", NULL, "-", 200, ERR_NONE, 100, 0},
		{"/none", NULL, NULL, 404, ERR_NONE, 100, 0},
		{"/cut", NULL, NULL, 200, ERR_ENDPOINT_LOST, 100, 0},
		{"/hang", NULL, NULL, 200, ERR_TIMEOUT, 100, 50},
	};

	for (unsigned i = 0; i < 2 * G_N_ELEMENTS (cases); i++) {
		unsigned c = i / 2;
		struct got g = fetch (cases[c].path, cases[c].body, i % 2,
				      cases[c].max, cases[c].timeout_ms);

		CU_ASSERT_EQUAL (g.kind, cases[c].kind);
		CU_ASSERT_EQUAL (g.status, cases[c].status);
		if (cases[c].want != NULL)
			CU_ASSERT_STRING_EQUAL (g.body, cases[c].want);
	}
}

/* An exchange cancelled in its own callbacks, or before any. */
struct chop {
	int heads, bodies, dones;
	bool in_head, in_body;
};

static void
chop_head (struct httpc *c, int status, const struct httpc_header *headers,
	   size_t count, void *ctx)
{
	struct chop *k = ctx;

	(void)status;
	(void)headers;
	(void)count;
	k->heads++;
	if (k->in_head)
		httpc_cancel (c);
}

static void
chop_body (struct httpc *c, const char *data, size_t len, void *ctx)
{
	struct chop *k = ctx;

	(void)data;
	(void)len;
	k->bodies++;
	if (k->in_body)
		httpc_cancel (c);
}

static void
chop_done (struct httpc *c, const struct err *e, void *ctx)
{
	struct chop *k = ctx;

	(void)c;
	(void)e;
	k->dones++;
}

static void
test_cancel (void)
{
	static const struct httpc_ops ops = {chop_head, chop_body, chop_done};
	struct httpc_req q = {.method = "GET", .path = "/whole"};
	struct chop k = {.in_head = true};
	struct httpc *c;

	httpc_start (&peer, &q, &ops, &k);
	turn_until (&k.heads, 1);
	CU_ASSERT_EQUAL (k.bodies + k.dones, 0);
	k = (struct chop){.in_body = true};
	httpc_start (&peer, &q, &ops, &k);
	turn_until (&k.bodies, 1);
	/* A new connection takes a turn of the loop. */
	k = (struct chop){0};
	q.fresh = true;
	c = httpc_start (&peer, &q, &ops, &k);
	CU_ASSERT_FALSE (httpc_sent (c));
	httpc_cancel (c);
	for (int i = 0; i < 20; i++)
		h2o_evloop_run (loop, 1);
	CU_ASSERT_EQUAL (k.heads + k.bodies + k.dones, 0);
	/* The pool still works after all that. */
	CU_ASSERT_EQUAL (fetch ("/whole", NULL, false, 10, 0).status, 200);
}

/* Nobody listens: nothing was sent, and that is what the kind says. */
static void
test_refused (void)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t len = sizeof a;
	int fd = socket (AF_INET, SOCK_STREAM, 0);
	struct httpc_peer none;
	struct got g = {0};
	struct httpc_req q = {.method = "GET", .path = "/"};

	/* Bound, but not listening: the port stays ours and refuses. */
	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	CU_ASSERT_EQUAL (bind (fd, (struct sockaddr *)&a, sizeof a), 0);
	getsockname (fd, (struct sockaddr *)&a, &len);
	httpc_peer_init (&none, loop, &a, 1000);
	for (int i = 0; i < 2; i++) {
		g = (struct got){0};
		q.fresh = i == 1;
		httpc_fetch (&none, &q, 100, on_reply, &g);
		CU_ASSERT_EQUAL (g.done, 0);
		turn_until (&g.done, 1);
		CU_ASSERT_EQUAL (g.kind, ERR_IO);
		CU_ASSERT_EQUAL (g.status, 0);
	}
	httpc_peer_finish (&none);
	close (fd);
}

/* Bytes that are no request end the connection and nothing else. */
static void
test_hostile_bytes (void)
{
	static const char *const cases[] = {
		"\r\n\r\n\r\n",
		"GET\r\n\r\n",
		"GET / HTTP/9.9\r\n\r\n",
		"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
		"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: "
		"99999999999\r\n\r\n",
		"POST /echo HTTP/1.1\r\nhost: a\r\ntransfer-encoding: "
		"chunked\r\n\r\nzz\r\n",
		"POST /echo HTTP/1.1\r\nhost: a\r\ncontent-length: 50\r\n\r\n"
		"half",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxx",
	};
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons (server.port)};

	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++) {
		int fd = socket (AF_INET, SOCK_STREAM, 0);

		CU_ASSERT_EQUAL (connect (fd, (struct sockaddr *)&a, sizeof a),
				 0);
		CU_ASSERT (write (fd, cases[i], strlen (cases[i])) > 0);
		for (int n = 0; n < 5; n++)
			h2o_evloop_run (loop, 1);
		close (fd);
		CU_ASSERT_EQUAL (fetch ("/whole", NULL, false, 10, 0).status,
				 200);
	}
}

/* A server that sends @text to one request, @flood again and again, and closes
 * if there is no @flood; what became of the request. */
static struct got
fetch_raw (const char *text, size_t len, const char *flood, size_t *sent)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	socklen_t size = sizeof a;
	int on = 1, listener = socket (AF_INET, SOCK_STREAM, 0), fd = -1;
	struct httpc_req q = {.method = "GET", .path = "/", .timeout_ms = 2000};
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;
	struct httpc_peer raw;
	struct got g = {0};

	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	CU_ASSERT_EQUAL (bind (listener, (struct sockaddr *)&a, size), 0);
	CU_ASSERT_EQUAL (listen (listener, 4), 0);
	getsockname (listener, (struct sockaddr *)&a, &size);
	httpc_peer_init (&raw, loop, &a, 1000);
	httpc_fetch (&raw, &q, 100, on_reply, &g);
	for (int i = 0; i < 20; i++)
		h2o_evloop_run (loop, 1);
	fd = accept (listener, NULL, NULL);
	ioctl (fd, FIONBIO, &on);
	CU_ASSERT (send (fd, text, len, MSG_NOSIGNAL) == (ssize_t)len);
	if (flood == NULL)
		shutdown (fd, SHUT_WR);
	while (g.done == 0 && tmr_now_ms () < end_ms) {
		ssize_t n = 0;

		for (int i = 0; flood != NULL && n >= 0 && i < 50; i++) {
			n = send (fd, flood, strlen (flood), MSG_NOSIGNAL);
			*sent += n > 0 ? (size_t)n : 0;
		}
		h2o_evloop_run (loop, 1);
	}
	CU_ASSERT_EQUAL (g.done, 1);
	close (fd);
	close (listener);
	httpc_peer_finish (&raw);
	return g;
}

static void
test_head_that_breaks_off (void)
{
	static const char head[] =
		"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n"
		"content-length: 5\r\n\r\n";

	for (size_t n = 1; n < sizeof head; n++)
		CU_ASSERT (fetch_raw (head, n, NULL, NULL).kind != ERR_NONE);
}

/* All of it was kept until the memory was used up. */
static void
test_head_without_end (void)
{
	char *line = g_strnfill (32768, 'x');
	size_t sent = 0;
	struct got g = fetch_raw ("HTTP/1.1 200 O", 14, line, &sent);

	CU_ASSERT_EQUAL (g.kind, ERR_ENDPOINT_LOST);
	CU_ASSERT (sent < (64U << 20));
	g_free (line);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"answers", test_answers},
		{"cancel", test_cancel},
		{"refused", test_refused},
		{"hostile bytes", test_hostile_bytes},
		{"a head that breaks off", test_head_that_breaks_off},
		{"a head without end", test_head_without_end},
		{NULL, NULL},
	};
	struct httpd_conf conf = {.handler = handler, .max_body_bytes = 1000};
	struct err e;
	struct sockaddr_in a = {.sin_family = AF_INET};

	loop = h2o_evloop_create ();
	conf.addr = a;
	conf.addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	if (!httpd_init (&server, loop, &conf, &e))
		return 1;
	a = conf.addr;
	a.sin_port = htons (server.port);
	httpc_peer_init (&peer, loop, &a, 5000);
	return t_run ("http", cases);
}
