/*
 * Clients of relays, and the operator.
 */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cases.h"

/* Clients allow a new channel one second to be established. */
#define CONNECT_MS 1000
/* The operator moves on to another node after a second. */
#define ORDER_TRY_MS 1000
#define REDIRECTS_MAX 2

char relay_ips[RELAYS_MAX][32];
int relay_count, relay_port;
char member_ips[MEMBERS_MAX][32];
int member_count, member_port;

void
ask (int relay, const char *path, const char *body, const char *headers,
     int limit_ms, struct message *out)
{
	int64_t until_ms = now_ms () + limit_ms;
	int fd = net_connect (relay_ips[relay], relay_port, CONNECT_MS);
	char head[4096], id[TEXT_MAX];
	int n = snprintf (head, sizeof head,
			  "POST %s HTTP/1.1\r\nHost: h.example\r\n"
			  "Authorization: Token key-1\r\nX-Deadline-Ms: %d\r\n"
			  "Content-Length: %zu\r\n%s\r\n",
			  path, limit_ms, strlen (body), headers);

	out->status = out->events = 0;
	out->whole = false;
	head_value (head, "X-Request-Id", id, sizeof id);
	record ("sent relay=%s request=%s connected=%d", relay_ips[relay], id,
		fd >= 0);
	if (fd < 0)
		return;
	if (net_write (fd, head, n) && net_write (fd, body, (int)strlen (body)))
		read_answer (fd, out, until_ms);
	close (fd);
	record ("answer request=%s status=%d events=%d whole=%d", id,
		out->status, out->events, out->whole);
}

static void
order_once (const char *ip, const char *method, const char *path,
	    const char *body, struct message *out)
{
	char target[64], location[TEXT_MAX], head[1024];

	snprintf (target, sizeof target, "%s", ip);
	for (int i = 0; i <= REDIRECTS_MAX; i++) {
		int fd = net_connect (target, member_port, ORDER_TRY_MS);
		int n = snprintf (head, sizeof head,
				  "%s %s HTTP/1.1\r\nHost: control\r\n"
				  "Content-Type: application/json\r\n"
				  "Content-Length: %zu\r\n\r\n",
				  method, path, strlen (body));

		out->status = 0;
		if (fd < 0)
			return;
		if (net_write (fd, head, n) &&
		    net_write (fd, body, (int)strlen (body)))
			read_answer (fd, out, now_ms () + ORDER_TRY_MS);
		close (fd);
		if (out->status != 307 ||
		    !head_value (out->head, "Location", location,
				 sizeof location) ||
		    sscanf (location, "http://%63[^:]", target) != 1)
			return;
	}
}

bool
order (const char *method, const char *path, const char *body, int limit_ms,
       struct message *out)
{
	int64_t until_ms = now_ms () + limit_ms;

	for (int i = 0; now_ms () < until_ms; i++) {
		order_once (member_ips[i % member_count], method, path, body,
			    out);
		record ("order %s %s status=%d", method, path, out->status);
		if (out->status / 100 == 2)
			return true;
		pause_ms (200);
	}
	return false;
}

bool
relay_is_ready (int relay, int port)
{
	static const char text[] =
		"GET /api/ready HTTP/1.1\r\nHost: relay\r\n\r\n";
	static struct message m;
	int fd = net_connect (relay_ips[relay], port, CONNECT_MS);
	bool ready = fd >= 0 && net_write (fd, text, sizeof text - 1) &&
		     read_answer (fd, &m, now_ms () + CONNECT_MS) &&
		     m.status == 200;

	if (fd >= 0)
		close (fd);
	return ready;
}
