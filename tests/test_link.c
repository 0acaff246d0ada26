/*
 * Links over loopback: hello, frames both ways, strangers, altered and
 * replayed bytes, reconnecting.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "link.h"
#include "log.h"
#include "t_run.h"

#define WAIT_MS 5000

struct side {
	struct link_self self;
	struct link *link; /* the one that went up last */
	int ups, downs, frames;
	uint8_t kind;
	char last[64];
	size_t bytes;
};

static void
side_up (struct link *l, void *ctx)
{
	struct side *s = ctx;

	s->link = l;
	s->ups++;
}

static void
side_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	    void *ctx)
{
	struct side *s = ctx;

	(void)l;
	s->frames++;
	s->kind = kind;
	s->bytes += len;
	snprintf (s->last, sizeof s->last, "%.*s", (int)MIN (len, 60), body);
}

static void
side_down (struct link *l, const char *why, void *ctx)
{
	struct side *s = ctx;

	(void)l;
	(void)why;
	s->downs++;
	s->link = NULL;
}

static const struct link_ops ops = {side_up, side_frame, side_down};

static void
side_init (struct side *s, const char *name, uint8_t key)
{
	memset (s, 0, sizeof *s);
	g_strlcpy (s->self.name, name, sizeof s->self.name);
	g_strlcpy (s->self.role, "entry", sizeof s->self.role);
	s->self.incarnation = 7;
	memset (s->self.cluster_key, key, sizeof s->self.cluster_key);
}

static bool
wait_for (h2o_loop_t *loop, const int *what, int least)
{
	uint64_t end = tmr_now_ms () + WAIT_MS;

	while (*what < least && tmr_now_ms () < end)
		h2o_evloop_run (loop, 10);
	return *what >= least;
}

static struct sockaddr_in
local (uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons (port)};

	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	return a;
}

static void
test_frames_both_ways (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in any = local (0), to;
	struct side a, b;
	struct link_server *s;
	struct link *l;
	char big[300000];

	side_init (&a, "a", 1);
	side_init (&b, "b", 1);
	s = link_listen (loop, &b.self, &any, &ops, &b, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL (s);
	to = local (link_server_port (s));
	l = link_connect (loop, &a.self, &to, &ops, &a);
	CU_ASSERT_FALSE (link_send_raw (l, FRAME_STRIKES, "x", 1));
	CU_ASSERT_TRUE_FATAL (wait_for (loop, &a.ups, 1));
	CU_ASSERT_TRUE_FATAL (wait_for (loop, &b.ups, 1));
	CU_ASSERT_STRING_EQUAL (link_peer_name (l), "b");
	CU_ASSERT_STRING_EQUAL (link_peer_name (b.link), "a");
	CU_ASSERT_EQUAL (link_peer_incarnation (b.link), 7);
	CU_ASSERT_TRUE (link_send_raw (l, FRAME_STRIKES, "one", 3));
	CU_ASSERT_TRUE (link_send_raw (b.link, FRAME_CONF_PULL, "two", 3));
	memset (big, 'x', sizeof big);
	CU_ASSERT_TRUE (link_send_raw (l, FRAME_STRIKES, big, sizeof big));
	CU_ASSERT_TRUE (link_send_raw (l, FRAME_STRIKES, "end", 3));
	CU_ASSERT_TRUE (wait_for (loop, &b.frames, 3));
	CU_ASSERT_TRUE (wait_for (loop, &a.frames, 1));
	CU_ASSERT_STRING_EQUAL (b.last, "end");
	CU_ASSERT_EQUAL (b.bytes, sizeof big + 6);
	CU_ASSERT_STRING_EQUAL (a.last, "two");
	/* The connecting side comes back by itself. */
	link_close (b.link, "test");
	CU_ASSERT_TRUE (wait_for (loop, &a.downs, 1));
	CU_ASSERT_TRUE (wait_for (loop, &a.ups, 2));
	link_free (l);
	link_server_free (s);
}

/* Runs @loop until nothing more arrives. */
static void
drain (h2o_loop_t *loop)
{
	uint64_t end = tmr_now_ms () + 100;

	while (tmr_now_ms () < end)
		h2o_evloop_run (loop, 10);
}

/* Bytes that came during a pause of the loop count as received; a peer that
 * sent nothing is silent after a pause too.  Otherwise members and relays close
 * links of live peers after each pause. */
static void
test_pause_is_not_silence (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in any = local (0), to;
	struct side a, b;
	struct link_server *s;
	struct link *l;
	uint64_t since;

	side_init (&a, "a", 1);
	side_init (&b, "b", 1);
	s = link_listen (loop, &b.self, &any, &ops, &b, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL (s);
	to = local (link_server_port (s));
	l = link_connect (loop, &a.self, &to, &ops, &a);
	CU_ASSERT_TRUE_FATAL (wait_for (loop, &a.ups, 1) &&
			      wait_for (loop, &b.ups, 1));
	drain (loop);
	since = tmr_now_ms ();
	CU_ASSERT_TRUE (link_send_raw (l, FRAME_STRIKES, "one", 3));
	g_usleep (400000);
	CU_ASSERT (link_received_ms (b.link) >= since + 400);
	CU_ASSERT (link_received_ms (l) <= since);
	CU_ASSERT_EQUAL (b.frames, 0);
	CU_ASSERT_TRUE (wait_for (loop, &b.frames, 1));
	link_free (l);
	link_server_free (s);
}

/* What the other side sees as our address. */
static void
test_leaves_from (void)
{
	static const uint32_t from[] = {0x7f000101, 0x7f000201, INADDR_ANY};
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in any = local (0), to, seen = {0};
	uint16_t port;
	int fd = link_listen_fd (&any, 8, &port, NULL);

	CU_ASSERT_TRUE_FATAL (fd >= 0);
	to = local (port);
	for (unsigned i = 0; i < G_N_ELEMENTS (from); i++) {
		uint32_t want = from[i] != 0 ? from[i] : INADDR_LOOPBACK;
		uint64_t end = tmr_now_ms () + WAIT_MS;
		socklen_t len = sizeof seen;
		struct side a;
		struct link *l;
		int got = -1;

		side_init (&a, "a", 1);
		a.self.from.s_addr = htonl (from[i]);
		l = link_connect (loop, &a.self, &to, &ops, &a);
		while (got < 0 && tmr_now_ms () < end) {
			h2o_evloop_run (loop, 10);
			got = accept (fd, (struct sockaddr *)&seen, &len);
		}
		CU_ASSERT_TRUE_FATAL (got >= 0);
		CU_ASSERT_EQUAL (ntohl (seen.sin_addr.s_addr), want);
		close (got);
		link_free (l);
	}
	close (fd);
}

static void
test_other_key_is_refused (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in any = local (0), to;
	struct side a, b;
	struct link_server *s;
	struct link *l;
	uint64_t end = tmr_now_ms () + 300;

	side_init (&a, "a", 1);
	side_init (&b, "b", 2);
	s = link_listen (loop, &b.self, &any, &ops, &b, NULL);
	to = local (link_server_port (s));
	l = link_connect (loop, &a.self, &to, &ops, &a);
	while (tmr_now_ms () < end)
		h2o_evloop_run (loop, 10);
	CU_ASSERT_EQUAL (a.ups, 0);
	CU_ASSERT_EQUAL (b.ups, 0);
	link_free (l);
	link_server_free (s);
}

/* Bytes that no honest peer sends; the listener must close, and live. */
static void
test_stranger_bytes (void)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
		{"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n", 36},
		{"\xff\xff\xff\xff"
		 "0123456789abcdef0",
		 21},
		{"\x00\x00\x00\x00"
		 "0123456789abcdef\x01",
		 21},
	};
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in any = local (0), to;
	struct side b;
	struct link_server *s;

	side_init (&b, "b", 2);
	s = link_listen (loop, &b.self, &any, &ops, &b, NULL);
	to = local (link_server_port (s));
	for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++) {
		int fd = socket (AF_INET, SOCK_STREAM, 0);
		uint64_t end = tmr_now_ms () + WAIT_MS;
		ssize_t n = -1;
		char c;

		CU_ASSERT_EQUAL_FATAL (
			connect (fd, (struct sockaddr *)&to, sizeof to), 0);
		CU_ASSERT_EQUAL (write (fd, cases[i].bytes, cases[i].len),
				 (ssize_t)cases[i].len);
		while (n < 0 && tmr_now_ms () < end) {
			h2o_evloop_run (loop, 10);
			n = recv (fd, &c, 1, MSG_DONTWAIT);
			if (n < 0 && errno == ECONNRESET)
				n = 0;
		}
		CU_ASSERT_EQUAL (n, 0);
		close (fd);
	}
	CU_ASSERT_EQUAL (b.ups, 0);
	link_server_free (s);
}

/* A listener whose queue is full drops opening packets, as a machine without
 * power does.  Return: its port; @fds: it, and what fills its queue. */
static uint16_t
deaf_listener (int fds[4])
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t len = sizeof at;
	int on = 1;

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	fds[0] = socket (AF_INET, SOCK_STREAM, 0);
	setsockopt (fds[0], SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	CU_ASSERT_FATAL (bind (fds[0], (struct sockaddr *)&at, sizeof at) == 0);
	CU_ASSERT_FATAL (listen (fds[0], 0) == 0);
	CU_ASSERT_FATAL (getsockname (fds[0], (struct sockaddr *)&at, &len) ==
			 0);
	for (int i = 1; i < 4; i++) {
		fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect (fds[i], (struct sockaddr *)&at, sizeof at);
	}
	return ntohs (at.sin_port);
}

/* The peer starts a moment after the link: it is up well before the kernel
 * sends the opening packet again, which takes a second. */
static void
test_late_peer (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	struct sockaddr_in at = {.sin_family = AF_INET};
	uint64_t began_ms, now_ms;
	struct link_server *s = NULL;
	struct side a, b;
	struct link *l;
	int fds[4];

	side_init (&a, "a", 1);
	side_init (&b, "b", 1);
	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	at.sin_port = htons (deaf_listener (fds));
	began_ms = now_ms = tmr_now_ms ();
	l = link_connect (loop, &a.self, &at, &ops, &a);
	while (a.ups == 0 && now_ms < began_ms + 5000) {
		h2o_evloop_run (loop, 10);
		now_ms = tmr_now_ms ();
		if (s != NULL || now_ms < began_ms + 150)
			continue;
		for (int i = 0; i < 4; i++)
			close (fds[i]);
		s = link_listen (loop, &b.self, &at, &ops, &b, NULL);
		CU_ASSERT_FATAL (s != NULL);
	}
	CU_ASSERT (a.ups == 1 && now_ms - began_ms < 900);
	link_free (l);
	link_server_free (s);
}

/* Each frame counts, so a repeat, a swap and a flipped bit are all seen. */
static void
test_sealed_frames (void)
{
	static const uint8_t key[FRAME_KEY_BYTES] = {1};
	static const uint8_t n1[FRAME_NONCE_BYTES] = {2}, n2[FRAME_NONCE_BYTES];
	uint8_t buf[2][FRAME_HEAD_BYTES + 1], kind;
	struct frame_state tx, rx, other;
	const uint8_t *body;
	size_t len;
	struct err e;

	frame_state_init (&tx, key, n1, n2, 0);
	frame_state_init (&rx, key, n1, n2, 0);
	frame_state_init (&other, key, n1, n2, 1);
	for (int i = 0; i < 2; i++) {
		buf[i][FRAME_HEAD_BYTES] = 'a';
		frame_seal (&tx, FRAME_STRIKES, "a", 1, buf[i]);
	}
	CU_ASSERT_EQUAL (frame_open (&rx, buf[0], FRAME_HEAD_BYTES, &kind,
				     &body, &len, &e),
			 0);
	CU_ASSERT_EQUAL (
		frame_open (&rx, buf[1], sizeof buf[1], &kind, &body, &len, &e),
		-1);
	CU_ASSERT_EQUAL (frame_open (&other, buf[0], sizeof buf[0], &kind,
				     &body, &len, &e),
			 -1);
	CU_ASSERT_EQUAL (
		frame_open (&rx, buf[0], sizeof buf[0], &kind, &body, &len, &e),
		sizeof buf[0]);
	CU_ASSERT_EQUAL (
		frame_open (&rx, buf[0], sizeof buf[0], &kind, &body, &len, &e),
		-1);
	buf[1][FRAME_HEAD_BYTES] ^= 1;
	CU_ASSERT_EQUAL (
		frame_open (&rx, buf[1], sizeof buf[1], &kind, &body, &len, &e),
		-1);
	CU_ASSERT_EQUAL (e.kind, ERR_AUTH);
}

static void
test_addresses (void)
{
	static const char *const bad[] = {
		"",    "127.0.0.1",     "host:80",  "1.2.3.4:",  "1.2.3.4:x",
		":80", "1.2.3.4:65536", "1.2.3:80", "1.2.3.4:-1"};
	struct sockaddr_in a;

	CU_ASSERT_TRUE (link_addr_parse ("127.0.0.1:8080", &a, NULL));
	CU_ASSERT_EQUAL (ntohs (a.sin_port), 8080);
	for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
		CU_ASSERT_FALSE (link_addr_parse (bad[i], &a, NULL));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"frames both ways", test_frames_both_ways},
		{"a pause is not silence", test_pause_is_not_silence},
		{"leaves from its own address", test_leaves_from},
		{"other key is refused", test_other_key_is_refused},
		{"stranger's bytes", test_stranger_bytes},
		{"late peer", test_late_peer},
		{"sealed frames", test_sealed_frames},
		{"addresses", test_addresses},
		{NULL, NULL},
	};

	log_init ("test_link", "", LOG_LV_ERROR);
	return t_run ("link", cases);
}
