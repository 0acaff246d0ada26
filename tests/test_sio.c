/*
 * Limits on silent connections, at the socket.  A peer that stops reading
 * stands for one that is silent: what is sent to it stays unacknowledged in
 * part, and TCP_USER_TIMEOUT ends the connection as it does where no packet
 * passes.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1cli.h"
#include "link.h"
#include "t_run.h"

#define TIMEOUT_MS 300 /* of the exchange that may start anew elsewhere */
#define SILENT_MS 1500 /* how long the server reads nothing */
#define WAIT_MS 4000
#define BODY_BYTES (8U << 20) /* more than the buffers of both sides take */

struct fixture {
	h2o_loop_t *loop;
	struct h1cli_host host;
	int listener, fd;
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
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
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
init (struct fixture *t)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	struct in_addr any = {0};
	uint16_t port;

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	*t = (struct fixture){.fd = -1};
	t->loop = h2o_evloop_create ();
	t->listener = link_listen_fd (&at, 16, &port, NULL);
	CU_ASSERT_FATAL (t->listener >= 0);
	at.sin_port = htons (port);
	h1cli_host_init (&t->host, t->loop, &at, any);
}

static void
finish (struct fixture *t)
{
	h1cli_host_finish (&t->host);
	close (t->fd);
	close (t->listener);
}

static struct h1cli *
start (struct fixture *t, size_t body_len, struct sio_limits limits)
{
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {
		.idle_max_ms = 60000, .connect_ms = 500, .limits = limits};
	struct h1cli *x;

	g_string_printf (text, "POST / HTTP/1.1\r\nContent-Length: %zu\r\n\r\n",
			 body_len);
	g_string_set_size (text, text->len + body_len);
	req.bytes = text->str;
	req.len = text->len;
	t->done = false;
	x = h1cli_start (&t->host, &req, &ops, t);
	g_string_free (text, TRUE);
	return x;
}

/* Runs the loop for @ms, or until the exchange is over. */
static void
run (struct fixture *t, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (!t->done && tmr_now_ms () < end_ms) {
		h2o_evloop_run (t->loop, 2);
		if (t->fd < 0)
			t->fd = accept (t->listener, NULL, NULL);
	}
}

/* The server reads all that there is, and answers. */
static void
serve (struct fixture *t)
{
	static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
				   "\r\n";
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;
	char buf[65536];
	bool answered = false;
	ssize_t n;

	while (!t->done && tmr_now_ms () < end_ms) {
		h2o_evloop_run (t->loop, 2);
		n = t->fd >= 0 ? recv (t->fd, buf, sizeof buf, MSG_DONTWAIT)
			       : -1;
		if (n > 0 && !answered)
			answered = send (t->fd, text, sizeof text - 1,
					 MSG_NOSIGNAL) > 0;
	}
}

static const struct sio_limits strict = {.user_timeout_ms = TIMEOUT_MS,
					 .probe_s = 1};
static const struct sio_limits patient = {.probe_s = 1,
					  .probe_count = SIO_PROBES_MAX};

static void
test_strict_limit_ends_a_silent_connection (void)
{
	struct fixture t;

	init (&t);
	start (&t, BODY_BYTES, strict);
	run (&t, WAIT_MS);
	CU_ASSERT (t.done && t.end == H1CLI_BROKEN);
	finish (&t);
}

/* A kept connection had the limits of the first exchange on it. */
static void
test_silent_server_loses_a_request_on_a_kept_connection (void)
{
	struct fixture t;

	init (&t);
	start (&t, 0, strict);
	run (&t, 50);
	serve (&t);
	CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
	start (&t, BODY_BYTES, patient);
	run (&t, SILENT_MS);
	CU_ASSERT (!t.done);
	serve (&t);
	CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
	finish (&t);
}

static void
test_limits_change_while_an_exchange_runs (void)
{
	struct fixture t;
	struct h1cli *x;

	init (&t);
	x = start (&t, BODY_BYTES, strict);
	run (&t, TIMEOUT_MS / 3);
	CU_ASSERT_FATAL (!t.done);
	h1cli_set_limits (x, &patient);
	run (&t, SILENT_MS);
	CU_ASSERT (!t.done);
	serve (&t);
	CU_ASSERT (t.done && t.end == H1CLI_WHOLE);
	finish (&t);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"strict limit", test_strict_limit_ends_a_silent_connection},
		{"kept connection",
		 test_silent_server_loses_a_request_on_a_kept_connection},
		{"changed limits", test_limits_change_while_an_exchange_runs},
		{NULL, NULL}};

	return t_run ("sio", cases);
}
