/*
 * A link that can be cut for one machine: passes connections on, and while a
 * file exists resets those that come from or go to that machine.
 *
 *	cut IP:PORT TO-IP:PORT MACHINE-IP FLAG-FILE
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define CONNECT_MS 1000
#define LOOK_MS 10

static struct sockaddr_in target;
static const char *machine, *flag_path;

static bool
pass (int from, int to)
{
	char buf[65536];
	ssize_t n = recv (from, buf, sizeof buf, 0);

	return n > 0 && http_send (to, buf, (size_t)n);
}

static void
handle (int fd)
{
	struct sockaddr_in peer;
	socklen_t size = sizeof peer;
	char from[64] = "", to_ip[64] = "";
	struct pollfd p[2] = {{.fd = fd, .events = POLLIN},
			      {.fd = -1, .events = POLLIN}};
	bool concerned, on = true;
	int to;

	if (getpeername (fd, (struct sockaddr *)&peer, &size) == 0)
		inet_ntop (AF_INET, &peer.sin_addr, from, sizeof from);
	inet_ntop (AF_INET, &target.sin_addr, to_ip, sizeof to_ip);
	concerned = strcmp (from, machine) == 0 || strcmp (to_ip, machine) == 0;
	to = concerned && access (flag_path, F_OK) == 0
		     ? -1
		     : addr_connect (&target, from, CONNECT_MS);
	p[1].fd = to;
	while (on && to >= 0) {
		on = poll (p, 2, LOOK_MS) >= 0 &&
		     !(concerned && access (flag_path, F_OK) == 0);
		if (on && p[0].revents != 0)
			on = pass (fd, to);
		if (on && p[1].revents != 0)
			on = pass (to, fd);
	}
	fd_reset (fd);
	if (to >= 0)
		fd_reset (to);
}

int
main (int argc, char **argv)
{
	if (argc != 5)
		return 2;
	target = addr_parse (argv[2]);
	machine = argv[3];
	flag_path = argv[4];
	serve (addr_listen (argv[1]), handle);
	return 0;
}
