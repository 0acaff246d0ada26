/*
 * A client that keeps one channel for requests, each sent as soon as the answer
 * before it is whole, as the users' pages describe: it reads answers to their
 * end, respects "Connection: close" and does not retry.
 *
 *   client IP:PORT LOG KEY DEADLINE_MS ID PATH BODY [ID PATH BODY ...]
 *
 * It logs what it sends, and how each answer ends: "whole", "cut" for one that
 * began and broke off, or "none".
 */
#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

static bool
send_request (struct net_conn *c, char **argv, char **request)
{
	char text[4096];
	int n = snprintf (text, sizeof text,
			  "POST %s HTTP/1.1\r\nHost: review.example\r\n"
			  "X-Request-Id: %s\r\nX-Deadline-Ms: %s\r\n"
			  "Authorization: Token %s\r\n"
			  "Content-Length: %zu\r\n\r\n%s",
			  request[1], request[0], argv[4], argv[3],
			  strlen (request[2]), request[2]);

	net_log ("client sends %s", request[0]);
	return net_write (c->fd, text, (size_t)n);
}

/* Returns whether the channel may be used again. */
static bool
read_answer (struct net_conn *c, const char *id, struct net_msg *m)
{
	char connection[64], seal[256], retry_after[32];
	int status = 0;
	bool whole;

	if (!net_read_head (c, m) ||
	    sscanf (m->head, "HTTP/1.1 %d", &status) != 1) {
		net_log ("client answer %s none", id);
		return false;
	}
	net_header (m, "Connection", connection, sizeof connection);
	net_header (m, "X-Response-Seal", seal, sizeof seal);
	net_header (m, "Retry-After", retry_after, sizeof retry_after);
	net_log ("client head %s status=%d seal=%s connection=%s "
		 "retry_after=%s",
		 id, status, seal, connection, retry_after);
	whole = net_read_body (c, m);
	net_log ("client answer %s %s status=%d bytes=%zu", id,
		 whole ? "whole" : "cut", status, m->body_len);
	return whole && strcasecmp (connection, "close") != 0;
}

int
main (int argc, char **argv)
{
	static struct net_conn c;
	static struct net_msg m;

	if (argc < 8 || (argc - 5) % 3 != 0) {
		fprintf (stderr, "usage: client IP:PORT LOG KEY DEADLINE_MS ID "
				 "PATH BODY ...\n");
		return 2;
	}
	net_log_open (argv[2]);
	c.fd = net_connect (argv[1], NULL);
	if (c.fd < 0) {
		net_log ("client no connection for %s", argv[5]);
		return 1;
	}
	for (int i = 5; i < argc; i += 3) {
		if (!send_request (&c, argv, argv + i)) {
			net_log ("client answer %s none", argv[i]);
			break;
		}
		if (!read_answer (&c, argv[i], &m))
			break;
	}
	net_log ("client channel of %s closed", argv[5]);
	close (c.fd);
	return 0;
}
