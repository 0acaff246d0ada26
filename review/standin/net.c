/*
 * Sockets, messages and the log of the stand-ins.
 */
#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *log_file;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t
net_now_ms (void)
{
	struct timespec ts;

	clock_gettime (CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
}

void
net_sleep_ms (uint64_t ms)
{
	struct timespec ts = {(time_t)(ms / 1000), (long)(ms % 1000) * 1000000};

	nanosleep (&ts, NULL);
}

void
net_log_open (const char *path)
{
	log_file = fopen (path, "a");
	if (log_file == NULL) {
		perror (path);
		exit (2);
	}
}

void
net_log (const char *format, ...)
{
	va_list args;

	pthread_mutex_lock (&log_lock);
	fprintf (log_file, "%llu ", (unsigned long long)net_now_ms ());
	va_start (args, format);
	vfprintf (log_file, format, args);
	va_end (args);
	fputc ('\n', log_file);
	fflush (log_file);
	pthread_mutex_unlock (&log_lock);
}

static bool
parse_addr (const char *text, struct sockaddr_in *out)
{
	const char *colon = strchr (text, ':');
	char ip[64];

	*out = (struct sockaddr_in){.sin_family = AF_INET};
	snprintf (ip, sizeof ip, "%.*s",
		  colon != NULL ? (int)(colon - text) : 60, text);
	if (colon != NULL)
		out->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
	return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

int
net_listen (const char *addr)
{
	struct sockaddr_in at;
	int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (!parse_addr (addr, &at) ||
	    bind (fd, (struct sockaddr *)&at, sizeof at) != 0 ||
	    listen (fd, 256) != 0) {
		perror (addr);
		exit (2);
	}
	return fd;
}

int
net_connect (const char *addr, const char *from)
{
	struct sockaddr_in to, own;
	int fd = socket (AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
	if (!parse_addr (addr, &to) ||
	    (from != NULL &&
	     (!parse_addr (from, &own) ||
	      bind (fd, (struct sockaddr *)&own, sizeof own) != 0)) ||
	    connect (fd, (struct sockaddr *)&to, sizeof to) != 0) {
		close (fd);
		return -1;
	}
	return fd;
}

bool
net_write (int fd, const void *data, size_t len)
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
net_read_some (struct net_conn *c)
{
	ssize_t n;

	if (c->len == sizeof c->buf)
		return false;
	n = recv (c->fd, c->buf + c->len, sizeof c->buf - c->len, 0);
	if (n <= 0)
		return false;
	c->len += (size_t)n;
	return true;
}

size_t
net_take (struct net_conn *c, char *out, size_t max)
{
	size_t n = c->len < max ? c->len : max;

	memcpy (out, c->buf, n);
	memmove (c->buf, c->buf + n, c->len - n);
	c->len -= n;
	return n;
}

bool
net_read_head (struct net_conn *c, struct net_msg *m)
{
	char value[64];
	char *end;

	while ((end = memmem (c->buf, c->len, "\r\n\r\n", 4)) == NULL) {
		if (!net_read_some (c))
			return false;
	}
	if ((size_t)(end - c->buf) + 4 >= sizeof m->head)
		return false;
	m->head[net_take (c, m->head, (size_t)(end - c->buf) + 4)] = '\0';
	m->body_len = 0;
	net_header (m, "Transfer-Encoding", value, sizeof value);
	m->chunked = strcasecmp (value, "chunked") == 0;
	net_header (m, "Content-Length", value, sizeof value);
	m->has_length = value[0] != '\0';
	m->length = strtoul (value, NULL, 10);
	return true;
}

bool
net_read_line (struct net_conn *c, char *out, size_t size)
{
	char *end;
	size_t n;

	while ((end = memmem (c->buf, c->len, "\r\n", 2)) == NULL) {
		if (!net_read_some (c))
			return false;
	}
	n = (size_t)(end - c->buf) + 2;
	if (n >= size)
		return false;
	net_take (c, out, n);
	out[n - 2] = '\0';
	return true;
}

static bool
read_bytes (struct net_conn *c, struct net_msg *m, size_t want)
{
	if (m->body_len + want >= sizeof m->body)
		return false;
	while (want > 0) {
		size_t n = net_take (c, m->body + m->body_len, want);

		m->body_len += n;
		want -= n;
		if (want > 0 && !net_read_some (c))
			return false;
	}
	m->body[m->body_len] = '\0';
	return true;
}

bool
net_read_body (struct net_conn *c, struct net_msg *m)
{
	char line[256];
	size_t n;

	m->body[0] = '\0';
	if (!m->chunked)
		return read_bytes (c, m, m->length);
	do {
		if (!net_read_line (c, line, sizeof line))
			return false;
		n = strtoul (line, NULL, 16);
		if (!read_bytes (c, m, n) ||
		    !net_read_line (c, line, sizeof line))
			return false;
	} while (n > 0);
	return true;
}

void
net_header (const struct net_msg *m, const char *name, char *out, size_t size)
{
	const char *line = strstr (m->head, "\r\n");
	size_t len = strlen (name);

	out[0] = '\0';
	while (line != NULL && line[2] != '\r' && line[2] != '\0') {
		const char *at = line + 2;
		const char *end = strstr (at, "\r\n");

		if (end == NULL)
			return;
		if (strncasecmp (at, name, len) == 0 && at[len] == ':') {
			at += len + 1;
			while (*at == ' ')
				at++;
			snprintf (out, size, "%.*s", (int)(end - at), at);
			return;
		}
		line = end;
	}
}

long
net_number (const char *text, const char *name, long def)
{
	const char *at = strstr (text, name);
	size_t len = strlen (name);

	return at != NULL && at[len] == '=' ? strtol (at + len + 1, NULL, 10)
					    : def;
}
