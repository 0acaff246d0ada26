/*
 * A client that keeps one channel for all its requests.
 *
 *	kept IP:PORT TIMEOUT-MS HOST LOG-FILE
 *
 * Each line of the input is METHOD PATH ID KEY; each answer is logged.  An
 * answer to HEAD has no body (RFC 9110, 9.3.2).  Ends with 1 where something
 * else than an answer arrives, with 2 where nothing does.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "http.h"

static char in[HTTP_HEAD_BYTES];
static size_t have;

/* Reads on until @want bytes are there; false where they don't come. */
static bool
fill (int fd, size_t want)
{
	while (have < want) {
		ssize_t n =
			have + 1 < sizeof in
				? recv (fd, in + have, sizeof in - 1 - have, 0)
				: 0;

		if (n <= 0)
			return false;
		have += (size_t)n;
		in[have] = '\0';
	}
	return true;
}

static void
drop (size_t n)
{
	memmove (in, in + n, have - n + 1);
	have -= n;
}

static size_t
length_of (const char *head, const char *end)
{
	static const char name[] = "\r\nContent-Length:";

	for (const char *at = head; at < end; at++) {
		if (strncasecmp (at, name, sizeof name - 1) == 0)
			return strtoul (at + sizeof name - 1, NULL, 10);
	}
	return 0;
}

/* Reads one answer and logs it. */
static int
read_answer (int fd, const char *method, const char *id)
{
	const char *end;
	size_t head_len, body_len;

	while (have < 9 || strstr (in, "\r\n\r\n") == NULL) {
		if (have >= 9 && strncmp (in, "HTTP/1.1 ", 9) != 0)
			break;
		if (!fill (fd, have + 1)) {
			note ("client id=%s %s: nothing", id, method);
			return 2;
		}
	}
	if (strncmp (in, "HTTP/1.1 ", 9) != 0) {
		note ("client id=%s %s: no answer but %.*s", id, method,
		      (int)strcspn (in, "\r\n"), in);
		return 1;
	}
	end = strstr (in, "\r\n\r\n");
	head_len = (size_t)(end - in) + 4;
	body_len = strcmp (method, "HEAD") != 0 ? length_of (in, end) : 0;
	if (!fill (fd, head_len + body_len))
		return 2;
	note ("client id=%s %s: %.3s, body of %zu", id, method, in + 9,
	      body_len);
	drop (head_len + body_len);
	return 0;
}

int
main (int argc, char **argv)
{
	char method[16], path[256], id[64], key[64], text[1024];
	struct timeval limit = {0};
	struct sockaddr_in to;
	int fd, ms, rc = 0;

	if (argc != 5)
		return 2;
	to = addr_parse (argv[1]);
	ms = (int)strtol (argv[2], NULL, 10);
	limit.tv_sec = ms / 1000;
	limit.tv_usec = ms % 1000 * 1000;
	note_open (argv[4]);
	fd = addr_connect (&to, NULL, ms);
	if (fd < 0)
		return 2;
	setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
	while (rc == 0 &&
	       scanf ("%15s %255s %63s %63s", method, path, id, key) == 4) {
		int n = snprintf (text, sizeof text,
				  "%s %s HTTP/1.1\r\nHost: %s\r\n"
				  "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
				  "Authorization: Token %s\r\n\r\n",
				  method, path, argv[3], id, ms, key);

		if (!http_send (fd, text, (size_t)n))
			rc = 2;
		else
			rc = read_answer (fd, method, id);
	}
	close (fd);
	return rc;
}
