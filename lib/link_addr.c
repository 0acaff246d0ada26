/*
 * Addresses as text, and sockets that listen.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "link.h"

bool
link_addr_parse (const char *s, struct sockaddr_in *out, struct err *e)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = strrchr (s, ':');
	char *end;
	unsigned long port;

	memset (out, 0, sizeof *out);
	out->sin_family = AF_INET;
	if (colon == NULL || (size_t)(colon - s) >= sizeof host)
		return err_set (e, ERR_SETTINGS, "address '%s': not IP:port",
				s);
	memcpy (host, s, (size_t)(colon - s));
	host[colon - s] = '\0';
	if (inet_pton (AF_INET, host, &out->sin_addr) != 1)
		return err_set (e, ERR_SETTINGS, "address '%s': not an IP", s);
	errno = 0;
	port = strtoul (colon + 1, &end, 10);
	if (colon[1] < '0' || colon[1] > '9' || *end != '\0' || errno != 0 ||
	    port > UINT16_MAX)
		return err_set (e, ERR_SETTINGS, "address '%s': bad port", s);
	out->sin_port = htons ((uint16_t)port);
	return true;
}

int
link_listen_fd (const struct sockaddr_in *addr, int backlog, uint16_t *port,
		struct err *e)
{
	struct sockaddr_in bound = {0};
	socklen_t len = sizeof bound;
	int on = 1;
	int fd =
		socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		err_set (e, ERR_IO, "socket: %s", strerror (errno));
		return -1;
	}
	setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
	if (bind (fd, (const struct sockaddr *)addr, sizeof *addr) != 0 ||
	    listen (fd, backlog) != 0 ||
	    getsockname (fd, (struct sockaddr *)&bound, &len) != 0) {
		err_set (e, ERR_IO, "listen on port %u: %s",
			 ntohs (addr->sin_port), strerror (errno));
		close (fd);
		return -1;
	}
	*port = ntohs (bound.sin_port);
	return fd;
}

/* Bound without a port, so that ports are shared between destinations. */
static bool
leave_from (int fd, struct in_addr from)
{
	struct sockaddr_in sa = {.sin_family = AF_INET, .sin_addr = from};
	int on = 1;

	if (from.s_addr == htonl (INADDR_ANY))
		return true;
	setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
	return bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0;
}

int
link_connect_fd (const struct sockaddr_in *to, struct in_addr from,
		 struct err *e)
{
	int fd =
		socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		err_set (e, ERR_IO, "socket: %s", strerror (errno));
		return -1;
	}
	if (!leave_from (fd, from) ||
	    (connect (fd, (const struct sockaddr *)to, sizeof *to) != 0 &&
	     errno != EINPROGRESS)) {
		err_set (e, ERR_IO, "connect to port %u: %s",
			 ntohs (to->sin_port), strerror (errno));
		close (fd);
		return -1;
	}
	return fd;
}
