/*
 * What clients can make a server hold, at the socket.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1srv.h"
#include "t_run.h"
#include "tmr.h"

#define MB (1U << 20)
#define IDLE_MS 300
#define CLIENTS 24

struct fixture {
	h2o_loop_t *loop;
	struct h1srv srv;
	struct quota quota;
	GString *answer;
	uint32_t requests;
	uint64_t body_bytes; /* of the requests */
	bool holds;          /* requests are not answered */
	int fds[CLIENTS];
};

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct fixture *t = ctx;

	(void)h;
	t->requests++;
	t->body_bytes += body->len;
	if (!t->holds)
		h1srv_answer (c, 200, NULL, t->answer->str, t->answer->len);
}

static void
on_gone (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

static const struct h1srv_ops ops = {on_request, on_gone};

/* A machine of 16 MB: 8 for clients, 4 of them for large bodies. */
static void
init (struct fixture *t)
{
	struct h1srv_limits limits = {4096, 4 * MB, IDLE_MS, IDLE_MS};
	struct sockaddr_in at = {.sin_family = AF_INET};

	*t = (struct fixture){0};
	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	t->loop = h2o_evloop_create ();
	t->answer = g_string_new ("ok");
	CU_ASSERT_FATAL (
		h1srv_init (&t->srv, t->loop, &at, &limits, &ops, t, NULL));
	quota_init (&t->quota, 16, 1000, 2, 1);
	t->srv.quota = &t->quota;
	at.sin_port = htons (t->srv.port);
	for (int i = 0; i < CLIENTS; i++) {
		t->fds[i] = socket (AF_INET, SOCK_STREAM, 0);
		CU_ASSERT_FATAL (connect (t->fds[i], (struct sockaddr *)&at,
					  sizeof at) == 0);
	}
}

static void
finish (struct fixture *t)
{
	for (int i = 0; i < CLIENTS; i++)
		close (t->fds[i]);
	h1srv_finish (&t->srv);
	g_string_free (t->answer, TRUE);
	CU_ASSERT (t->quota.conns == 0 && t->quota.input == 0 &&
		   t->quota.output == 0);
}

static void
run (struct fixture *t, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < end_ms)
		h2o_evloop_run (t->loop, 2);
}

static void
send_head (struct fixture *t, int i, uint32_t length)
{
	char text[128];

	g_snprintf (text, sizeof text,
		    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %u\r\n\r\n",
		    length);
	CU_ASSERT (send (t->fds[i], text, strlen (text), MSG_NOSIGNAL) > 0);
}

static void
send_body (struct fixture *t, int i, uint32_t bytes)
{
	static const char piece[16384];

	while (bytes > 0) {
		ssize_t n = send (t->fds[i], piece, MIN (bytes, sizeof piece),
				  MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0)
			bytes -= (uint32_t)n;
		else
			h2o_evloop_run (t->loop, 2);
	}
}

/* Return: the status of the answer, -1 if nothing came. */
static int
status_of (struct fixture *t, int i)
{
	char buf[512] = "";
	ssize_t n = recv (t->fds[i], buf, sizeof buf - 1, MSG_DONTWAIT);

	if (n > 0 && strstr (buf, " 503 ") != NULL)
		CU_ASSERT (strstr (buf, "Retry-After: ") != NULL);
	return n > 9 ? (int)strtol (buf + 9, NULL, 10) : -1;
}

/* All of these bodies were held, and the machine had no more memory. */
static void
test_bodies_that_stop_short_are_refused_unrun (void)
{
	struct fixture t;
	int refused = 0;

	init (&t);
	for (int i = 0; i < 8; i++) {
		send_head (&t, i, MB);
		send_body (&t, i, MB - 1);
	}
	run (&t, 20);
	CU_ASSERT (t.quota.input <= t.quota.max_bytes);
	CU_ASSERT (t.quota.large <= t.quota.max_large);
	send_head (&t, 8, 100000);
	send_body (&t, 8, 100000);
	run (&t, 20);
	CU_ASSERT (status_of (&t, 8) == 200);
	for (int i = 0; i < 8; i++)
		refused += status_of (&t, i) == 503;
	CU_ASSERT (refused == 5);
	CU_ASSERT (t.requests == 1 && t.body_bytes == 100000);
	finish (&t);
}

/* A refusal at the end of the body costs its sender, and others, all of it. */
static void
test_body_without_room_is_refused_at_its_head (void)
{
	struct fixture t;

	init (&t);
	t.holds = true;
	send_head (&t, 0, 3 * MB);
	send_body (&t, 0, 3 * MB);
	run (&t, 20);
	CU_ASSERT (t.requests == 1);
	send_head (&t, 1, 2 * MB);
	send_head (&t, 2, MB - 4096);
	run (&t, 20);
	CU_ASSERT (status_of (&t, 1) == 503);
	CU_ASSERT (status_of (&t, 2) == -1);
	CU_ASSERT (status_of (&t, 0) == -1);
	CU_ASSERT (t.quota.refused[QUOTA_MEMORY] == 1);
	finish (&t);
}

/* Bodies had to be whole within the idle limit, however large, so that slow
 * clients were refused while they progressed. */
static void
test_slow_body_that_progresses_is_served (void)
{
	struct fixture t;

	init (&t);
	send_head (&t, 0, 60000);
	send_head (&t, 1, 60000);
	for (int i = 0; i < 12; i++) {
		send_body (&t, 0, 5000);
		send_body (&t, 1, 10);
		run (&t, IDLE_MS / 3);
	}
	CU_ASSERT (status_of (&t, 0) == 200);
	CU_ASSERT (status_of (&t, 1) == 408);
	CU_ASSERT (t.requests == 1 && t.quota.slow == 1);
	finish (&t);
}

/* Each pipelined request added its answer to those that were not read. */
static void
test_request_waits_until_answers_are_read (void)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	static char buf[65536];
	struct fixture t;
	uint64_t end_ms;

	init (&t);
	g_string_set_size (t.answer, MB);
	for (int i = 0; i < 20; i++)
		CU_ASSERT (send (t.fds[0], request, sizeof request - 1,
				 MSG_NOSIGNAL) > 0);
	run (&t, 100);
	CU_ASSERT (t.requests < 5);
	CU_ASSERT (t.quota.output < 2 * MB);
	end_ms = tmr_now_ms () + 5000;
	while (t.requests < 20 && tmr_now_ms () < end_ms) {
		h2o_evloop_run (t.loop, 2);
		while (recv (t.fds[0], buf, sizeof buf, MSG_DONTWAIT) > 0)
			;
	}
	CU_ASSERT (t.requests == 20);
	finish (&t);
}

/* Answers that nobody read stood until the limit on their time. */
static void
test_unread_answers_are_cut (void)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct fixture t;

	init (&t);
	g_string_set_size (t.answer, MB);
	for (int i = 0; i < CLIENTS; i++) {
		CU_ASSERT (send (t.fds[i], request, sizeof request - 1,
				 MSG_NOSIGNAL) > 0);
		run (&t, 5);
	}
	CU_ASSERT (t.requests == CLIENTS);
	CU_ASSERT (t.quota.output <= t.quota.max_output);
	CU_ASSERT (t.quota.dropped[QUOTA_OUTPUT] > 0);
	finish (&t);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"bodies that stop short",
		 test_bodies_that_stop_short_are_refused_unrun},
		{"refusal at the head",
		 test_body_without_room_is_refused_at_its_head},
		{"slow body", test_slow_body_that_progresses_is_served},
		{"pipelined requests",
		 test_request_waits_until_answers_are_read},
		{"unread answers", test_unread_answers_are_cut},
		{NULL, NULL}};

	return t_run ("h1srv_bounds", cases);
}
