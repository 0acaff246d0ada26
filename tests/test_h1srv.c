/*
 * Limits of a listener that change while clients are connected, at the socket.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1srv.h"
#include "link.h"
#include "t_run.h"
#include "tmr.h"

#define SHORT_MS 300
#define LONG_MS 1500
#define ANSWER_BYTES                                                           \
	(32U << 20) /* more than the buffers of both sides take                \
		     */

static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct fixture {
	h2o_loop_t *loop;
	struct h1srv srv;
	GString *answer;
	int status;
	int fd;
};

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct fixture *t = ctx;

	(void)h;
	(void)body;
	h1srv_answer (c, t->status, NULL, t->answer->str, t->answer->len);
}

static void
on_gone (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

static const struct h1srv_ops ops = {on_request, on_gone};

static void
init (struct fixture *t, uint32_t header_ms, uint32_t idle_ms)
{
	struct h1srv_limits limits = {4096, 4096, header_ms, idle_ms};
	struct sockaddr_in at = {.sin_family = AF_INET};

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	t->loop = h2o_evloop_create ();
	t->answer = g_string_new (NULL);
	t->status = 200;
	CU_ASSERT_FATAL (
		h1srv_init (&t->srv, t->loop, &at, &limits, &ops, t, NULL));
	at.sin_port = htons (t->srv.port);
	t->fd = socket (AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL (connect (t->fd, (struct sockaddr *)&at, sizeof at) ==
			 0);
}

static void
finish (struct fixture *t)
{
	close (t->fd);
	h1srv_finish (&t->srv);
	g_string_free (t->answer, TRUE);
}

static void
run (struct fixture *t, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < end_ms)
		h2o_evloop_run (t->loop, 2);
}

/* Sends @text; Return: the status of the answer, 0 if the connection ended, -1
 * if nothing came. */
static int
ask (struct fixture *t, const char *text)
{
	char buf[512] = "";
	ssize_t n;

	(void)!send (t->fd, text, strlen (text), MSG_NOSIGNAL);
	run (t, 50);
	n = recv (t->fd, buf, sizeof buf - 1, MSG_DONTWAIT);
	if (n < 0)
		return -1;
	return n > 9 ? (int)strtol (buf + 9, NULL, 10) : 0;
}

/* A connection that rested kept the idle limit of when it began to rest, and
 * ended under a request of a client that knew the longer one. */
static void
test_request_after_a_rest_that_a_longer_limit_allows (void)
{
	struct fixture t;

	init (&t, LONG_MS, SHORT_MS);
	CU_ASSERT (ask (&t, request) == 200);
	t.srv.limits.idle_timeout_ms = LONG_MS;
	run (&t, LONG_MS * 4 / 5 - 100);
	CU_ASSERT (ask (&t, request) == 200);
	run (&t, LONG_MS + 100);
	CU_ASSERT (t.srv.conns->len == 0);
	finish (&t);
}

static void
test_request_in_two_parts_that_a_longer_limit_allows (void)
{
	struct fixture t;

	init (&t, SHORT_MS, LONG_MS);
	CU_ASSERT (ask (&t, "GET / HTTP/1.1\r\n") == -1);
	t.srv.limits.header_timeout_ms = LONG_MS;
	run (&t, 2 * SHORT_MS);
	CU_ASSERT (ask (&t, "Host: a\r\n\r\n") == 200);
	finish (&t);
}

static void
test_limits_that_stay_hold (void)
{
	struct fixture t;

	init (&t, SHORT_MS, LONG_MS);
	CU_ASSERT (ask (&t, "GET / HTTP/1.1\r\n") == -1);
	run (&t, 2 * SHORT_MS);
	CU_ASSERT (ask (&t, "") == 408);
	finish (&t);
	init (&t, LONG_MS, SHORT_MS);
	CU_ASSERT (ask (&t, request) == 200);
	run (&t, SHORT_MS + 50);
	CU_ASSERT (t.srv.conns->len == 0);
	finish (&t);
}

/* Reads what is there, at most @max bytes; Return: their number. */
static size_t
read_some (struct fixture *t, size_t max)
{
	char buf[65536];
	size_t sum = 0;
	ssize_t n;

	while (sum < max &&
	       (n = recv (t->fd, buf, sizeof buf, MSG_DONTWAIT)) > 0)
		sum += (size_t)n;
	return sum;
}

static void
ask_for_large_answer (struct fixture *t)
{
	g_string_set_size (t->answer, ANSWER_BYTES);
	memset (t->answer->str, 'a', t->answer->len);
	(void)!send (t->fd, request, sizeof request - 1, MSG_NOSIGNAL);
	run (t, 50);
	CU_ASSERT (h1srv_has_output (&t->srv));
}

static size_t
read_all (struct fixture *t, size_t step, uint64_t pause_ms)
{
	size_t sum = 0, n;

	do {
		run (t, pause_ms);
		n = read_some (t, step);
		sum += n;
	} while (n > 0);
	return sum;
}

/* The limit on the rest began with the answer, not with its last byte. */
static void
test_answer_cut_under_a_slow_reader (void)
{
	struct fixture t;

	init (&t, LONG_MS, SHORT_MS);
	ask_for_large_answer (&t);
	CU_ASSERT (read_all (&t, ANSWER_BYTES / 20, SHORT_MS / 3) >
		   ANSWER_BYTES);
	finish (&t);
}

/* A process that ends closed connections with an answer in their queue. */
static void
test_answer_cut_at_a_planned_stop (void)
{
	struct fixture t;

	init (&t, LONG_MS, LONG_MS);
	ask_for_large_answer (&t);
	h1srv_leave (&t.srv);
	h1srv_close_idle (&t.srv);
	CU_ASSERT (read_all (&t, ANSWER_BYTES, 20) > ANSWER_BYTES);
	CU_ASSERT (!h1srv_has_output (&t.srv));
	h1srv_close_idle (&t.srv);
	CU_ASSERT (t.srv.conns->len == 0);
	finish (&t);
}

/* What the server sends in answer to @text; free with g_free(). */
static char *
exchange (struct fixture *t, const char *text)
{
	char buf[1024] = "";

	(void)!send (t->fd, text, strlen (text), MSG_NOSIGNAL);
	run (t, 30);
	(void)!recv (t->fd, buf, sizeof buf - 1, MSG_DONTWAIT);
	return g_strdup (buf);
}

/* The body of an error in answer to HEAD stood where the client expected its
 * next answer.  The length is that of the answer to GET. */
static void
test_answer_without_body (void)
{
	static const struct {
		const char *head;
		int status, answered;
		const char *length; /* NULL: none is stated */
		bool closes;
	} cases[] = {
		{"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 200, 200, "5", false},
		{"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 401, 401, "5", false},
		{"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 503, 503, "5", false},
		{"HEAD / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n\r\n",
		 404, 404, "5", false},
		{"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
		 200, 413, "44", true},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 204, 204, NULL, false},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 304, 304, NULL, false},
		{"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 304, 304, NULL, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct fixture t;
		char *first, *next, *length;

		init (&t, LONG_MS, LONG_MS);
		g_string_assign (t.answer, "12345");
		t.status = cases[i].status;
		first = exchange (&t, cases[i].head);
		if (!g_str_has_suffix (first, "\r\n\r\n"))
			printf ("case %zu: %s\n", i, first);
		CU_ASSERT_EQUAL (strtol (first + 9, NULL, 10),
				 cases[i].answered);
		CU_ASSERT (g_str_has_suffix (first, "\r\n\r\n"));
		length = g_strdup_printf (
			"Content-Length: %s\r\n",
			cases[i].length != NULL ? cases[i].length : "");
		CU_ASSERT (cases[i].length != NULL
				   ? strstr (first, length) != NULL
				   : strstr (first, "Content-Length") == NULL);
		g_free (length);
		t.status = 200;
		next = exchange (&t, request);
		CU_ASSERT (cases[i].closes ||
			   (g_str_has_prefix (next, "HTTP/1.1 200 ") &&
			    g_str_has_suffix (next, "\r\n\r\n12345")));
		g_free (first);
		g_free (next);
		finish (&t);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"longer idle limit",
		 test_request_after_a_rest_that_a_longer_limit_allows},
		{"longer header limit",
		 test_request_in_two_parts_that_a_longer_limit_allows},
		{"same limits", test_limits_that_stay_hold},
		{"slow reader", test_answer_cut_under_a_slow_reader},
		{"planned stop", test_answer_cut_at_a_planned_stop},
		{"answers without a body", test_answer_without_body},
		{NULL, NULL}};

	return t_run ("h1srv", cases);
}
