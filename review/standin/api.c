/*
 * One call of the operator or of the balancer.
 *
 *   api METHOD IP:PORT PATH [FILE]
 *
 * It sends FILE as the body, follows two redirects, waits a second for an
 * answer, and prints the status on one line and the body after it; 0 where
 * there is no answer.
 */
#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

static char body[NET_BODY_BYTES];

static void
read_body (const char *path)
{
	FILE *f = fopen (path, "r");

	if (f == NULL) {
		perror (path);
		exit (2);
	}
	body[fread (body, 1, sizeof body - 1, f)] = '\0';
	fclose (f);
}

static int
call (const char *method, const char *addr, const char *path, struct net_msg *m)
{
	static struct net_conn c;
	struct timeval limit = {1, 0};
	char head[1024];
	int n, status = 0;

	c = (struct net_conn){.fd = net_connect (addr, NULL)};
	if (c.fd < 0)
		return 0;
	setsockopt (c.fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	n = snprintf (head, sizeof head,
		      "%s %s HTTP/1.1\r\nHost: %s\r\n"
		      "Content-Type: application/json\r\n"
		      "Content-Length: %zu\r\n\r\n",
		      method, path, addr, strlen (body));
	if (!net_write (c.fd, head, (size_t)n) ||
	    !net_write (c.fd, body, strlen (body)) || !net_read_head (&c, m) ||
	    !net_read_body (&c, m) ||
	    sscanf (m->head, "HTTP/1.1 %d", &status) != 1)
		status = 0;
	close (c.fd);
	return status;
}

int
main (int argc, char **argv)
{
	static struct net_msg m;
	char addr[64], path[256], location[512];
	int status = 0;

	if (argc < 4) {
		fprintf (stderr, "usage: api METHOD IP:PORT PATH [FILE]\n");
		return 2;
	}
	if (argc > 4)
		read_body (argv[4]);
	snprintf (addr, sizeof addr, "%s", argv[2]);
	snprintf (path, sizeof path, "%s", argv[3]);
	for (int i = 0; i < 3; i++) {
		status = call (argv[1], addr, path, &m);
		if (status != 307)
			break;
		net_header (&m, "Location", location, sizeof location);
		if (sscanf (location, "http://%63[^/]%255s", addr, path) != 2)
			break;
	}
	printf ("%d\n%s\n", status, status != 0 ? m.body : "");
	return status / 100 == 2 ? 0 : 1;
}
