/*
 * Stand-in for the platform: its list of instances, read from a file at each
 * call, and a record of usage reports and orders.
 *
 *	platform IP:PORT LIST-FILE LOG-FILE
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "http.h"

static const char *list_path;

static void
answer_list (int fd)
{
	static char text[1 << 20];
	FILE *f = fopen (list_path, "r");
	size_t n = f != NULL ? fread (text, 1, sizeof text, f) : 0;

	if (f != NULL)
		fclose (f);
	http_answer (fd, n > 0 ? 200 : 500,
		     "Content-Type: application/json\r\n", text, n);
}

static void
handle (int fd)
{
	struct http_msg *m = malloc (sizeof *m);

	while (m != NULL && http_read (fd, m)) {
		char holder[128], fence[32];

		if (strncmp (m->first, "GET /instances", 14) == 0) {
			answer_list (fd);
		} else {
			http_header (m, "X-Lease-Holder", holder,
				     sizeof holder);
			http_header (m, "X-Fencing-Token", fence, sizeof fence);
			note ("platform %s holder=%s fence=%s %s", m->first,
			      holder, fence, m->body);
			http_answer (fd, 200, "", "{}", 2);
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
	list_path = argv[2];
	note_open (argv[3]);
	serve (addr_listen (argv[1]), handle);
	return 0;
}
