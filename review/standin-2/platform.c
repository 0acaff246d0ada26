/*
 * The platform: the list of servers, as it was some time ago, and the calls of
 * duties, which it accepts.
 */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "world.h"

/* A server that crashed stays on the list for some seconds. */
#define CRASHED_LISTED_MS 2500

static int lag;
static int listener;

static bool
is_listed (const struct server_start *x, int64_t at_ms)
{
	return x->from_ms <= at_ms &&
	       (x->ended_ms == 0 || at_ms < x->ended_ms + CRASHED_LISTED_MS);
}

static int
add_entry (char *out, int size, const struct server *s,
	   const struct server_start *x, int64_t at_ms)
{
	int64_t cold_ms = server_cold_until (x, at_ms) - now_ms ();

	return snprintf (
		out, (size_t)size,
		"%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s:%d\","
		"\"zone\":\"%s\",\"version\":\"v1\",\"slots\":64,\"state\":"
		"\"ready\",\"cold_remaining_ms\":%d,\"stage\":\"combined\","
		"\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
		"\"born\":%lld}",
		out[-1] == '[' ? "" : ",", x->id, s->service, s->ip, s->port,
		s->zone, cold_ms > 0 ? (int)cold_ms : 0, (long long)x->born_ms);
}

static int
print_list (char *out, int size)
{
	int64_t at_ms = now_ms () - lag;
	int n = snprintf (out, (size_t)size, "{\"instances\":[");

	for (int i = 0; i < server_count; i++) {
		struct server *s = &servers[i];

		pthread_mutex_lock (&s->lock);
		for (int k = 0; k < s->start_count; k++) {
			if (is_listed (&s->starts[k], at_ms))
				n += add_entry (out + n, size - n, s,
						&s->starts[k], at_ms);
		}
		pthread_mutex_unlock (&s->lock);
	}
	n += snprintf (out + n, (size_t)(size - n), "],\"next\":null}");
	return n;
}

static bool
serve (int fd, const struct message *m)
{
	char body[16384], head[TEXT_MAX];
	int len = 0, n;

	if (strncmp (m->head, "GET /instances", 14) == 0)
		len = print_list (body, sizeof body);
	else
		record ("platform call=%.20s body=%.200s", m->head, m->body);
	n = snprintf (head, sizeof head,
		      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		      "Content-Length: %d\r\n\r\n",
		      len);
	return net_write (fd, head, n) && net_write (fd, body, len);
}

static void *
run_conn (void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct message *m = malloc (sizeof *m);

	while (m != NULL && read_request (fd, m) && serve (fd, m))
		;
	free (m);
	close (fd);
	return NULL;
}

static void *
run (void *arg)
{
	(void)arg;
	for (;;) {
		int fd = accept (listener, NULL, NULL);

		if (fd >= 0)
			thread_start (run_conn, (void *)(intptr_t)fd);
	}
	return NULL;
}

void
platform_start (const char *ip, int port, int lag_ms)
{
	lag = lag_ms;
	listener = net_listen (ip, port);
	thread_start (run, NULL);
}
