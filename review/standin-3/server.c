/*
 * Stand-in for a sound server of a plain service: it runs each request that is
 * meant for it, and records what it ran.
 *
 *	server IP:PORT ID LOG-FILE
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http.h"

static const char *own_id;

static void
handle (int fd)
{
	struct http_msg *m = malloc (sizeof *m);

	while (m != NULL && http_read (fd, m)) {
		char id[128], expected[128], tenant[128], headers[512];

		http_header (m, "X-Request-Id", id, sizeof id);
		http_header (m, "X-Expect-Instance", expected, sizeof expected);
		http_header (m, "X-Tenant", tenant, sizeof tenant);
		if (strncmp (m->first, "GET /health", 11) == 0) {
			(void)snprintf (headers, sizeof headers,
					"X-Instance-Id: %s\r\n", own_id);
			http_answer (fd, 200, headers, "", 0);
		} else if (expected[0] != '\0' &&
			   strcmp (expected, own_id) != 0) {
			(void)snprintf (headers, sizeof headers,
					"X-Request-Id: %s\r\n"
					"X-Not-Executed: 1\r\n",
					id);
			http_answer (fd, 421, headers, "", 0);
		} else {
			note ("server %s ran id=%s tenant=%s %s", own_id, id,
			      tenant, m->first);
			(void)snprintf (headers, sizeof headers,
					"X-Request-Id: %s\r\n"
					"X-Response-Seal: %s.%s\r\n",
					id, own_id, id);
			http_answer (fd, 200, headers, "done\n",
				     strncmp (m->first, "HEAD ", 5) != 0 ? 5
									 : 0);
		}
		free (m->body);
	}
	free (m);
	close (fd);
}

int
main (int argc, char **argv)
{
	if (argc != 4)
		return 2;
	own_id = argv[2];
	note_open (argv[3]);
	serve (addr_listen (argv[1]), handle);
	return 0;
}
