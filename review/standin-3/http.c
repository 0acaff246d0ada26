/*
 * What the stand-ins share: HTTP messages, sockets, threads and the log.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "http.h"

static FILE *notes;
static pthread_mutex_t notes_lock = PTHREAD_MUTEX_INITIALIZER;

long long
now_ms (void)
{
	struct timeval tv;

	gettimeofday (&tv, NULL);
	return (long long)tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

void
note_open (const char *path)
{
	notes = fopen (path, "a");
	if (notes == NULL) {
		perror (path);
		exit (2);
	}
	setvbuf (notes, NULL, _IOLBF, 0);
}

void
note (const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock (&notes_lock);
	fprintf (notes, "%lld ", now_ms ());
	va_start (ap, fmt);
	vfprintf (notes, fmt, ap);
	va_end (ap);
	fputc ('\n', notes);
	pthread_mutex_unlock (&notes_lock);
}

/* Reads up to the empty line, a byte at a time, so that nothing of the body is
 * taken. */
static bool
read_head (int fd, struct http_msg *m)
{
	size_t len = 0;

	while (len + 1 < sizeof m->head) {
		if (recv (fd, m->head + len, 1, 0) != 1)
			return false;
		m->head[++len] = '\0';
		if (len >= 4 && strcmp (m->head + len - 4, "\r\n\r\n") == 0)
			return true;
	}
	return false;
}

void
http_header (const struct http_msg *m, const char *name, char *out, size_t size)
{
	const char *at = strstr (m->head, "\r\n");
	size_t len = strlen (name);

	out[0] = '\0';
	while (at != NULL && at[2] != '\0') {
		const char *line = at + 2, *end = strstr (line, "\r\n");

		if (end != NULL && strncasecmp (line, name, len) == 0 &&
		    line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			(void)snprintf (out, size, "%.*s", (int)(end - line),
					line);
			return;
		}
		at = end;
	}
}

static bool
read_bytes (int fd, char *to, size_t len)
{
	while (len > 0) {
		ssize_t n = recv (fd, to, len, 0);

		if (n <= 0)
			return false;
		to += n;
		len -= (size_t)n;
	}
	return true;
}

bool
http_read (int fd, struct http_msg *m)
{
	char length[32];
	unsigned long n;

	m->body = NULL;
	m->body_len = 0;
	m->head[0] = '\0';
	if (!read_head (fd, m))
		return false;
	(void)snprintf (m->first, sizeof m->first, "%.*s",
			(int)strcspn (m->head, "\r"), m->head);
	http_header (m, "Content-Length", length, sizeof length);
	n = strtoul (length, NULL, 10);
	if (n > HTTP_BODY_BYTES)
		return false;
	m->body = calloc (1, n + 1);
	m->body_len = n;
	if (m->body != NULL && read_bytes (fd, m->body, n))
		return true;
	free (m->body);
	m->body = NULL;
	return false;
}

bool
http_send (int fd, const void *data, size_t len)
{
	const char *p = data;

	while (len > 0) {
		ssize_t n = send (fd, p, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

bool
http_answer (int fd, int status, const char *headers, const void *body,
	     size_t len)
{
	char head[2048];
	int n = snprintf (head, sizeof head,
			  "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
			  status, headers, len);

	return http_send (fd, head, (size_t)n) && http_send (fd, body, len);
}

struct sockaddr_in
addr_parse (const char *text)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	const char *colon = strrchr (text, ':');
	char ip[64];

	(void)snprintf (ip, sizeof ip, "%.*s",
			colon != NULL ? (int)(colon - text) : 0, text);
	if (colon == NULL || inet_pton (AF_INET, ip, &a.sin_addr) != 1) {
		fprintf (stderr, "not IP:PORT: %s\n", text);
		exit (2);
	}
	a.sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
	return a;
}

int
addr_listen (const char *text)
{
	struct sockaddr_in a = addr_parse (text);
	int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 ||
	    listen (fd, 256) != 0) {
		perror (text);
		exit (2);
	}
	return fd;
}

int
addr_connect (const struct sockaddr_in *to, const char *from, int ms)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	int fd = socket (AF_INET, SOCK_STREAM, 0), error = 0;
	socklen_t size = sizeof error;
	struct pollfd p = {.fd = fd, .events = POLLOUT};

	if (from != NULL && inet_pton (AF_INET, from, &a.sin_addr) == 1)
		(void)bind (fd, (struct sockaddr *)&a, sizeof a);
	fcntl (fd, F_SETFL, O_NONBLOCK);
	if ((connect (fd, (const struct sockaddr *)to, sizeof *to) == 0 ||
	     errno == EINPROGRESS) &&
	    poll (&p, 1, ms) == 1 &&
	    getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
	    error == 0) {
		fcntl (fd, F_SETFL, 0);
		return fd;
	}
	close (fd);
	return -1;
}

void
fd_reset (int fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
	close (fd);
}

struct job {
	void (*handle) (int fd);
	int fd;
};

static void *
run_job (void *arg)
{
	struct job j = *(struct job *)arg;

	free (arg);
	j.handle (j.fd);
	return NULL;
}

void
serve (int listener, void (*handle) (int fd))
{
	signal (SIGPIPE, SIG_IGN);
	for (;;) {
		int fd = accept (listener, NULL, NULL);
		struct job *j = fd >= 0 ? malloc (sizeof *j) : NULL;
		pthread_t t;

		if (j == NULL)
			continue;
		*j = (struct job){handle, fd};
		if (pthread_create (&t, NULL, run_job, j) == 0) {
			pthread_detach (t);
		} else {
			free (j);
			close (fd);
		}
	}
}
