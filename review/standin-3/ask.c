/*
 * One request of a client or of the operator, and its answer.  A 307 is
 * followed twice.
 *
 *	ask IP:PORT TIMEOUT-MS METHOD PATH [BODY-FILE or -] [HEADER]...
 *
 * Prints the status, 000 where no whole answer came, and the body's first line.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "http.h"

static char text[HTTP_BODY_BYTES];

static size_t
read_file (const char *path)
{
	FILE *f = strcmp (path, "-") != 0 ? fopen (path, "r") : NULL;
	size_t n = f != NULL ? fread (text, 1, sizeof text, f) : 0;

	if (f != NULL)
		fclose (f);
	return n;
}

/* Sends the request to @to; false where no whole answer came in time. */
static bool
ask (const struct sockaddr_in *to, int ms, char **argv, struct http_msg *m)
{
	struct timeval limit = {ms / 1000, ms % 1000 * 1000};
	size_t body_len = argv[5] != NULL ? read_file (argv[5]) : 0;
	int fd = addr_connect (to, NULL, ms);
	char head[HTTP_HEAD_BYTES];
	size_t n;
	bool ok;

	if (fd < 0)
		return false;
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	n = (size_t)snprintf (head, sizeof head, "%s %s HTTP/1.1\r\n", argv[3],
			      argv[4]);
	for (int i = 6; argv[5] != NULL && argv[i] != NULL; i++)
		n += (size_t)snprintf (head + n, sizeof head - n, "%s\r\n",
				       argv[i]);
	n += (size_t)snprintf (head + n, sizeof head - n,
			       "Content-Length: %zu\r\n"
			       "Connection: close\r\n\r\n",
			       body_len);
	ok = http_send (fd, head, n) && http_send (fd, text, body_len) &&
	     http_read (fd, m);
	close (fd);
	return ok;
}

int
main (int argc, char **argv)
{
	static struct http_msg m;
	struct sockaddr_in to;
	int status = 0, ms;
	char place[512];

	if (argc < 5)
		return 2;
	to = addr_parse (argv[1]);
	ms = (int)strtol (argv[2], NULL, 10);
	for (int i = 0; i < 3; i++) {
		if (!ask (&to, ms, argv, &m) || strlen (m.first) < 12) {
			printf ("000\n");
			return 0;
		}
		status = (int)strtol (m.first + 9, NULL, 10);
		http_header (&m, "Location", place, sizeof place);
		if (status != 307 || strncmp (place, "http://", 7) != 0)
			break;
		place[7 + strcspn (place + 7, "/")] = '\0';
		to = addr_parse (place + 7);
		free (m.body);
		m.body = NULL;
	}
	printf ("%03d %.*s\n", status,
		m.body != NULL ? (int)strcspn (m.body, "\n") : 0,
		m.body != NULL ? m.body : "");
	return 0;
}
