/*
 * Sockets, clocks and HTTP/1.1 messages.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "world.h"

static int64_t
clock_ms (clockid_t id)
{
	struct timespec ts;

	clock_gettime (id, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
	return clock_ms (CLOCK_MONOTONIC);
}

int64_t
wall_ms (void)
{
	return clock_ms (CLOCK_REALTIME);
}

void
pause_ms (int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep (&ts, NULL);
}

static struct sockaddr_in
address (const char *ip, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};

	a.sin_port = htons ((uint16_t)port);
	inet_pton (AF_INET, ip, &a.sin_addr);
	return a;
}

int
net_listen (const char *ip, int port)
{
	struct sockaddr_in a = address (ip, port);
	int on = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 ||
	    listen (fd, 256) != 0) {
		fprintf (stderr, "listen %s:%d: %s\n", ip, port,
			 strerror (errno));
		exit (2);
	}
	return fd;
}

int
net_connect (const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in a = address (ip, port);
	int fd =
		socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int error = 0, on = 1;
	socklen_t size = sizeof error;

	if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0 &&
	    errno != EINPROGRESS) {
		close (fd);
		return -1;
	}
	if (poll (&p, 1, timeout_ms) != 1 ||
	    getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
	    error != 0) {
		close (fd);
		return -1;
	}
	fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	return fd;
}

bool
net_write (int fd, const char *text, int len)
{
	while (len > 0) {
		ssize_t n = send (fd, text, (size_t)len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		text += n;
		len -= (int)n;
	}
	return true;
}

void
thread_start (void *(*run) (void *), void *arg)
{
	pthread_t thread;

	if (pthread_create (&thread, NULL, run, arg) != 0) {
		fprintf (stderr, "no thread\n");
		exit (2);
	}
	pthread_detach (thread);
}

bool
head_value (const char *head, const char *name, char *out, int size)
{
	size_t len = strlen (name);
	const char *line = head;

	out[0] = '\0';
	while ((line = strstr (line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp (line, name, len) == 0 && line[len] == ':') {
			const char *at = line + len + 1;
			int n;

			while (*at == ' ')
				at++;
			n = (int)strcspn (at, "\r\n");
			if (n >= size)
				n = size - 1;
			memcpy (out, at, (size_t)n);
			out[n] = '\0';
			return true;
		}
	}
	return false;
}

/* One byte, or -1 where the connection or the time ended. */
static int
read_byte (int fd, int64_t until_ms)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};
	unsigned char c;
	int64_t left_ms = until_ms - now_ms ();

	if (left_ms <= 0 || poll (&p, 1, (int)left_ms) != 1 ||
	    recv (fd, &c, 1, 0) != 1)
		return -1;
	return c;
}

static bool
read_head (int fd, struct message *m, int64_t until_ms)
{
	int len = 0, c;

	while (len + 1 < HEAD_MAX) {
		c = read_byte (fd, until_ms);
		if (c < 0)
			return false;
		m->head[len++] = (char)c;
		m->head[len] = '\0';
		if (len >= 4 && memcmp (m->head + len - 4, "\r\n\r\n", 4) == 0)
			return true;
	}
	return false;
}

static bool
read_bytes (int fd, struct message *m, long count, int64_t until_ms)
{
	for (; count > 0; count--) {
		int c = read_byte (fd, until_ms);

		if (c < 0 || m->body_len + 1 >= BODY_MAX)
			return false;
		m->body[m->body_len++] = (char)c;
		m->body[m->body_len] = '\0';
		if (m->body_len >= 2 &&
		    memcmp (m->body + m->body_len - 2, "\n\n", 2) == 0)
			m->events++;
	}
	return true;
}

static bool
read_chunks (int fd, struct message *m, int64_t until_ms)
{
	for (;;) {
		char line[32];
		int len = 0, c;
		long size;

		while ((c = read_byte (fd, until_ms)) >= 0 && c != '\n') {
			if (len + 1 < (int)sizeof line)
				line[len++] = (char)c;
		}
		if (c < 0)
			return false;
		line[len] = '\0';
		size = strtol (line, NULL, 16);
		if (!read_bytes (fd, m, size, until_ms) ||
		    read_byte (fd, until_ms) != '\r' ||
		    read_byte (fd, until_ms) != '\n')
			return false;
		if (size == 0)
			return true;
	}
}

static bool
read_body (int fd, struct message *m, int64_t until_ms)
{
	char value[TEXT_MAX];

	m->body_len = 0;
	m->body[0] = '\0';
	if (head_value (m->head, "Transfer-Encoding", value, sizeof value))
		return read_chunks (fd, m, until_ms);
	if (head_value (m->head, "Content-Length", value, sizeof value))
		return read_bytes (fd, m, strtol (value, NULL, 10), until_ms);
	return true;
}

bool
read_request (int fd, struct message *m)
{
	int64_t until_ms = now_ms () + 60000;

	m->status = 0;
	m->events = 0;
	return read_head (fd, m, until_ms) && read_body (fd, m, until_ms);
}

bool
read_answer (int fd, struct message *m, int64_t until_ms)
{
	m->status = 0;
	m->events = 0;
	m->body_len = 0;
	m->whole = false;
	if (!read_head (fd, m, until_ms) ||
	    strncmp (m->head, "HTTP/1.1 ", 9) != 0)
		return false;
	m->status = (int)strtol (m->head + 9, NULL, 10);
	m->whole = read_body (fd, m, until_ms);
	return m->whole;
}
