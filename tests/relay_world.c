/*
 * A relay between plain sockets, for the tests of relayd.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "link.h"
#include "platform/platform.h"
#include "relay_world.h"
#include "t_run.h"

#define WAIT_MS 4000

/* What main.c has for the other files of the relay. */

bool
relay_is_configured (const struct relay *r)
{
	return r->plan != NULL && r->list_read_ms != 0;
}

bool
relay_is_ready (const struct relay *r)
{
	return relay_is_configured (r);
}

uint64_t
relay_wall_ms (const struct relay *r)
{
	(void)r;
	return (uint64_t)g_get_real_time () / 1000;
}

static const char plan_text[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"resumable\",\"host\":\"h\",\"path_prefix\":\"/r/\","
	"\"kind\":\"streaming\",\"timeout_ms\":3000,\"public\":true,"
	"\"max_attempts\":2,\"resumable\":true,\"service\":\"app\"},"
	"{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/s/\","
	"\"kind\":\"streaming\",\"timeout_ms\":3000,\"public\":true,"
	"\"max_attempts\":2,\"service\":\"app\"},"
	"{\"name\":\"copied\",\"host\":\"h\",\"path_prefix\":\"/k/\","
	"\"kind\":\"streaming\",\"timeout_ms\":3000,\"public\":true,"
	"\"max_attempts\":1,\"service\":\"llm\"},"
	"{\"name\":\"once\",\"host\":\"h\",\"path_prefix\":\"/o/\","
	"\"kind\":\"non_idempotent\",\"timeout_ms\":3000,\"public\":true,"
	"\"max_attempts\":2,\"service\":\"app\"},"
	"{\"name\":\"any\",\"host\":\"h\",\"path_prefix\":\"/i/\","
	"\"kind\":\"idempotent\",\"timeout_ms\":3000,\"public\":true,"
	"\"max_attempts\":2,\"service\":\"app\"}],"
	"\"services\":[{\"name\":\"app\",\"max_connections\":100},"
	"{\"name\":\"llm\",\"max_connections\":100,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":500000,"
	"\"kv_token_bytes\":100,\"link_mbps\":10000,\"backups\":true}}]}";

static void
on_tick (void *ctx)
{
	struct world *w = ctx;

	call_tick (&w->r, tmr_now_ms ());
	stop_tick (&w->r, tmr_now_ms ());
	tmr_start (&w->tick_timer, 1);
}

static void
list_endpoints (struct world *w, const char *service, uint32_t count)
{
	struct fleet_info list[ENDPOINTS] = {0};
	uint64_t now_ms = tmr_now_ms ();

	for (uint32_t i = 0; i < count; i++) {
		struct sockaddr_in at = {.sin_family = AF_INET};
		uint16_t port;

		at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
		w->listeners[i] = link_listen_fd (&at, 16, &port, NULL);
		CU_ASSERT_FATAL (w->listeners[i] >= 0);
		g_snprintf (list[i].id, sizeof list[i].id, "i-%u", i);
		g_snprintf (list[i].domain, sizeof list[i].domain, "d%u", i);
		g_snprintf (list[i].addr, sizeof list[i].addr, "127.0.0.1:%u",
			    port);
		g_strlcpy (list[i].service, service, sizeof list[i].service);
		list[i].slots = 64;
	}
	fleet_set_list (&w->r.fleet, list, count, now_ms, 0);
	place_assign_lanes (&w->r.fleet);
	w->r.list_read_ms = now_ms;
}

void
world_init (struct world *w, const char *service, uint32_t count)
{
	struct rbudget_limits limits = {0.1, 100, 10000};
	struct relay *r = &w->r;
	struct err e = {0};

	*w = (struct world){.client = -1};
	memset (w->listeners, 0xff, sizeof w->listeners);
	memset (w->conns, 0xff, sizeof w->conns);
	w->got = g_string_new (NULL);
	w->requests = g_string_new (NULL);
	r->daemon.loop = h2o_evloop_create ();
	r->dialect = &platform_dialect;
	g_strlcpy (r->set.listen, "127.0.0.1:0", sizeof r->set.listen);
	g_strlcpy (r->set.ready, "127.0.0.1:0", sizeof r->set.ready);
	g_strlcpy (r->set.platform, "127.0.0.1:1", sizeof r->set.platform);
	r->set.platform_calls_per_s = 1;
	r->set.usage_window_s = 10;
	r->rand = g_rand_new_with_seed (1);
	r->members = g_ptr_array_new ();
	r->unreported_segments =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	r->relay_count = 1;
	r->rbudget = rbudget_new (&limits);
	call_init (r);
	relay_blame_init (r);
	relay_rollout_init (r);
	usage_init (r);
	upstream_init (r);
	CU_ASSERT_FATAL (front_init (r, &e));
	r->plan = planjob_parse (r->dialect, plan_text, strlen (plan_text), &e);
	CU_ASSERT_FATAL (r->plan != NULL);
	list_endpoints (w, service, count);
	tmr_init (&w->tick_timer, r->daemon.loop, on_tick, w);
	tmr_start (&w->tick_timer, 1);
}

void
world_finish (struct world *w)
{
	struct relay *r = &w->r;

	tmr_finish (&w->tick_timer);
	for (guint i = r->calls->len; i > 0; i--)
		call_client_gone (g_ptr_array_index (r->calls, i - 1));
	tmr_finish (&r->dispatch_timer);
	front_finish (r);
	upstream_finish (r);
	usage_finish (r);
	rbudget_free (r->rbudget);
	blame_finish (&r->blame);
	relay_rollout_finish (r);
	plan_unref (r->plan);
	g_rand_free (r->rand);
	g_ptr_array_free (r->calls, TRUE);
	g_ptr_array_free (r->members, TRUE);
	g_array_free (r->unreported_segments, TRUE);
	g_string_free (w->got, TRUE);
	g_string_free (w->requests, TRUE);
	for (int i = 0; i < ENDPOINTS; i++) {
		if (w->listeners[i] >= 0)
			close (w->listeners[i]);
		for (int j = 0; j < 8; j++) {
			if (w->conns[i][j] >= 0)
				close (w->conns[i][j]);
		}
	}
	if (w->client >= 0)
		close (w->client);
}

static struct fleet_ep *
endpoint_find (struct world *w, int ep)
{
	char id[16];

	g_snprintf (id, sizeof id, "i-%d", ep);
	return fleet_find (&w->r.fleet, id);
}

/* What the relay believes of its endpoints once @a was sent by @ep. */
static void
set_beliefs (struct world *w, int ep, const struct answer *a)
{
	struct fleet_ep *other = endpoint_find (w, 1 - ep);

	endpoint_find (w, ep)->cut_off = a->cut_off;
	if (a->cut_off)
		endpoint_find (w, ep)->health = FLEET_SUSPECT;
	if (a->alone && other != NULL)
		other->health = FLEET_SUSPECT;
}

static void
endpoint_answer (struct world *w, int ep, int conn)
{
	const struct answer *a = &w->answers[w->answered++];
	int fd = w->conns[ep][conn];
	struct linger now = {1, 0};

	if (w->answered > ANSWERS_MAX || a->text == NULL)
		return;
	CU_ASSERT (send (fd, a->text, strlen (a->text), MSG_NOSIGNAL) ==
		   (ssize_t)strlen (a->text));
	if (a->closes) {
		close (w->listeners[ep]);
		w->listeners[ep] = -1;
	}
	if (a->no_address) {
		struct fleet_ep *e = endpoint_find (w, ep);

		/* An address for documentation, which no machine has. */
		((struct upstream *)e->owner_data)->host.from.s_addr =
			htonl (0xcb007101);
	}
	set_beliefs (w, ep, a);
	if (a->rest != NULL) {
		w->rest = a->rest;
		w->rest_fd = fd;
		w->rest_ms = tmr_now_ms () + REST_MS;
	}
	if (a->flood != NULL) {
		w->flood = a->flood;
		w->flood_fd = fd;
	}
	if (a->after == KEEP)
		return;
	/* What was sent arrives before the reset does. */
	for (int i = 0; i < 5; i++)
		h2o_evloop_run (w->r.daemon.loop, 2);
	if (a->after == RST)
		setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	close (fd);
	w->conns[ep][conn] = -1;
}

/* As much as the connection takes now. */
static void
endpoint_flood (struct world *w)
{
	size_t len = strlen (w->flood);
	ssize_t n = 0;

	for (int i = 0; i < 100 && n >= 0; i++) {
		n = send (w->flood_fd, w->flood, len,
			  MSG_NOSIGNAL | MSG_DONTWAIT);
		w->flood_bytes += n > 0 ? (uint64_t)n : 0;
	}
	if (n < 0 && errno != EAGAIN)
		w->flood = NULL;
}

static void
endpoint_run (struct world *w, int ep)
{
	char buf[4096];

	for (int j = 0; j < 8; j++) {
		ssize_t n;

		if (w->conns[ep][j] < 0 && w->listeners[ep] >= 0)
			w->conns[ep][j] = accept (w->listeners[ep], NULL, NULL);
		if (w->conns[ep][j] < 0)
			continue;
		n = recv (w->conns[ep][j], buf, sizeof buf, MSG_DONTWAIT);
		if (n > 0) {
			g_string_append_len (w->requests, buf, n);
			endpoint_answer (w, ep, j);
		} else if (n == 0) {
			close (w->conns[ep][j]);
			w->conns[ep][j] = -1;
		}
	}
}

bool
world_is_whole (const struct world *w)
{
	const GString *got = w->got;
	const char *body = strstr (got->str, "\r\n\r\n"), *length;

	if (body == NULL || w->to_head)
		return body != NULL;
	if (strstr (got->str, "Transfer-Encoding: chunked\r\n") != NULL)
		return g_str_has_suffix (got->str, "\r\n0\r\n\r\n");
	length = strstr (got->str, "Content-Length: ");
	return length != NULL &&
	       strtoul (length + 16, NULL, 10) == strlen (body + 4);
}

void
world_run (struct world *w, uint64_t ms)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < end_ms)
		h2o_evloop_run (w->r.daemon.loop, 2);
}

static void
client_connect (struct world *w)
{
	struct sockaddr_in at = {.sin_family = AF_INET};

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	at.sin_port = htons (w->r.front.port);
	if (w->client >= 0)
		close (w->client);
	w->client = socket (AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_FATAL (
		connect (w->client, (struct sockaddr *)&at, sizeof at) == 0);
}

/* Sends a request of @method and @path and reads until it is answered or cut.
 */
void
world_ask (struct world *w, const char *method, const char *path,
	   const char *id, const struct answer *answers)
{
	char text[256];

	client_connect (w);
	g_snprintf (text, sizeof text,
		    "%s %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		    "X-Deadline-Ms: 3000\r\nX-Token-Usage: 10,20\r\n"
		    "Content-Length: 0\r\n\r\n",
		    method, path, id);
	world_send (w, text, answers);
}

void
world_send (struct world *w, const char *text, const struct answer *answers)
{
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;
	char buf[4096];

	w->answers = answers;
	w->answered = 0;
	w->ended = w->reset = false;
	w->rest = w->flood = NULL;
	w->flood_bytes = 0;
	g_string_truncate (w->got, 0);
	g_string_truncate (w->requests, 0);
	if (w->client < 0)
		client_connect (w);
	CU_ASSERT (send (w->client, text, strlen (text), MSG_NOSIGNAL) > 0);
	while (!w->ended && !world_is_whole (w) && tmr_now_ms () < end_ms) {
		ssize_t n;

		h2o_evloop_run (w->r.daemon.loop, 2);
		for (int i = 0; i < ENDPOINTS; i++)
			endpoint_run (w, i);
		if (w->rest != NULL && tmr_now_ms () >= w->rest_ms) {
			(void)!send (w->rest_fd, w->rest, strlen (w->rest),
				     MSG_NOSIGNAL);
			w->rest = NULL;
		}
		if (w->flood != NULL)
			endpoint_flood (w);
		n = recv (w->client, buf, sizeof buf, MSG_DONTWAIT);
		if (n > 0)
			g_string_append_len (w->got, buf, n);
		w->ended = n == 0 || (n < 0 && errno != EAGAIN);
		w->reset = n < 0 && errno == ECONNRESET;
	}
}

int
world_status (const struct world *w)
{
	return w->got->len > 12 ? atoi (w->got->str + 9) : 0;
}

/* The body without the coding; chunks of the relay hold no "\r\n" of ours. */
char *
world_body (const struct world *w)
{
	const char *at = strstr (w->got->str, "\r\n\r\n"), *end;
	GString *out = g_string_new (NULL);

	if (at != NULL && strstr (w->got->str, "chunked\r\n") == NULL)
		g_string_append (out, at + 4);
	else if (at != NULL)
		for (at += 4; *at != '\0';) {
			size_t n = strtoul (at, NULL, 16);

			end = strstr (at, "\r\n");
			if (end == NULL || strlen (end + 2) < n)
				break;
			g_string_append_len (out, end + 2, (gssize)n);
			at = MIN (end + 2 + n + 2, w->got->str + w->got->len);
		}
	return g_string_free (out, FALSE);
}
