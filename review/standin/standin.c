/*
 * Stand-ins for the platform and for servers, as the users' pages describe
 * them.
 *
 *   standin platform IP:PORT LIST LOG
 *	GET /instances answers with the file LIST, which may be replaced at any
 *	time; duties are accepted and logged.
 *   standin server IP:PORT ID LOG
 *	Runs a request and logs its beginning and its end.  The body tells
 *	what it does: "events=N gap_ms=N" makes a stream, "work_ms=N" an
 *	answer after that time.  Work stops when the connection closes.
 */
#include "net.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *list_path;
static const char *server_id;
static bool is_platform;

struct request {
	char method[16];
	char path[512];
	char id[128];
};

static bool
answer (struct net_conn *c, int status, const char *headers, const char *body)
{
	char head[1024];
	int n = snprintf (head, sizeof head,
			  "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
			  status, headers, strlen (body));

	return net_write (c->fd, head, (size_t)n) &&
	       net_write (c->fd, body, strlen (body));
}

/* Whether the caller closed the connection, within @ms. */
static bool
closed_within (struct net_conn *c, long ms)
{
	struct pollfd p = {c->fd, POLLIN, 0};
	uint64_t end = net_now_ms () + (uint64_t)ms;
	char byte;

	for (;;) {
		uint64_t now = net_now_ms ();

		if (now >= end)
			return false;
		if (poll (&p, 1, (int)(end - now)) <= 0)
			continue;
		if (recv (c->fd, &byte, 1, MSG_PEEK) <= 0)
			return true;
		net_sleep_ms (5);
	}
}

static bool
run_stream (struct net_conn *c, const struct request *r, long events,
	    long gap_ms, long from)
{
	char text[512], data[256];
	int n, size;

	n = snprintf (text, sizeof text,
		      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		      "X-Request-Id: %s\r\nX-Response-Seal: seal-%s-%s\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n",
		      r->id, server_id, r->id);
	if (!net_write (c->fd, text, (size_t)n))
		return false;
	for (long i = from; i <= events; i++) {
		if (closed_within (c, gap_ms))
			return false;
		size = snprintf (data, sizeof data,
				 "id: %ld\ndata: piece %ld of %s\n\n", i, i,
				 r->id);
		n = snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned)size,
			      data);
		if (!net_write (c->fd, text, (size_t)n))
			return false;
	}
	return net_write (c->fd, "0\r\n\r\n", 5);
}

static bool
run_plain (struct net_conn *c, const struct request *r, long work_ms)
{
	char headers[512], body[256];

	if (closed_within (c, work_ms))
		return false;
	snprintf (headers, sizeof headers,
		  "X-Request-Id: %s\r\nX-Response-Seal: seal-%s-%s\r\n", r->id,
		  server_id, r->id);
	snprintf (body, sizeof body, "answer to %s by %s\n", r->id, server_id);
	return answer (c, 200, headers, body);
}

static bool
serve_server (struct net_conn *c, const struct request *r,
	      const struct net_msg *m)
{
	char expect[128], last[64], headers[256], tenant[512];
	long events = net_number (m->body, "events", 0), from = 1;
	bool whole;

	snprintf (headers, sizeof headers, "X-Instance-Id: %s\r\n", server_id);
	if (strcmp (r->path, "/health") == 0)
		return answer (c, 200, headers, "");
	net_header (m, "X-Expect-Instance", expect, sizeof expect);
	if (expect[0] != '\0' && strcmp (expect, server_id) != 0)
		return answer (c, 421, "X-Not-Executed: 1\r\n", "");
	if (r->id[0] == '\0')
		return answer (c, 400, "X-Not-Executed: 1\r\n", "");
	net_header (m, "Last-Event-Id", last, sizeof last);
	if (last[0] != '\0')
		from = strtol (last, NULL, 10) + 1;
	net_header (m, "X-Tenant", tenant, sizeof tenant);
	net_log ("server %s runs %s from=%ld tenant=%s", server_id, r->id, from,
		 tenant);
	whole = events > 0
			? run_stream (c, r, events,
				      net_number (m->body, "gap_ms", 0), from)
			: run_plain (c, r, net_number (m->body, "work_ms", 0));
	net_log ("server %s ends %s %s", server_id, r->id,
		 whole ? "whole" : "left");
	return whole;
}

static bool
serve_platform (struct net_conn *c, const struct request *r,
		const struct net_msg *m)
{
	char list[NET_BODY_BYTES], holder[128], fence[64];
	FILE *f;
	size_t n;

	if (strcmp (r->method, "GET") != 0) {
		net_header (m, "X-Lease-Holder", holder, sizeof holder);
		net_header (m, "X-Fencing-Token", fence, sizeof fence);
		net_log ("platform %s holder=%s fence=%s body=%s", r->path,
			 holder, fence, m->body);
		return answer (c, 200, "Content-Type: application/json\r\n",
			       "{}");
	}
	f = fopen (list_path, "r");
	if (f == NULL)
		return answer (c, 503, "", "");
	n = fread (list, 1, sizeof list - 1, f);
	list[n] = '\0';
	fclose (f);
	return answer (c, 200, "Content-Type: application/json\r\n", list);
}

static void *
serve (void *arg)
{
	struct net_conn *c = arg;
	struct net_msg *m = malloc (sizeof *m);
	struct request r;

	while (m != NULL && net_read_head (c, m) && net_read_body (c, m)) {
		if (sscanf (m->head, "%15s %511s", r.method, r.path) != 2)
			break;
		net_header (m, "X-Request-Id", r.id, sizeof r.id);
		if (!(is_platform ? serve_platform (c, &r, m)
				  : serve_server (c, &r, m)))
			break;
	}
	close (c->fd);
	free (m);
	free (c);
	return NULL;
}

int
main (int argc, char **argv)
{
	int listener, on = 1;

	if (argc != 5) {
		fprintf (
			stderr,
			"usage: standin platform|server IP:PORT LIST|ID LOG\n");
		return 2;
	}
	signal (SIGPIPE, SIG_IGN);
	is_platform = strcmp (argv[1], "platform") == 0;
	list_path = server_id = argv[3];
	net_log_open (argv[4]);
	listener = net_listen (argv[2]);
	for (;;) {
		struct net_conn *c = calloc (1, sizeof *c);
		pthread_t thread;

		if (c == NULL)
			return 2;
		c->fd = accept (listener, NULL, NULL);
		if (c->fd < 0) {
			free (c);
			continue;
		}
		setsockopt (c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
		if (pthread_create (&thread, NULL, serve, c) == 0)
			pthread_detach (thread);
	}
}
