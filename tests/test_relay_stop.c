/*
 * Requests that reach a relay late in its planned stop, on connections that
 * stood before: each is answered whole, or refused before an endpoint gets it.
 */
#include <string.h>

#include "relay_world.h"
#include "t_run.h"

#define GRACE_S 3 /* idle connections are closed in its middle */
#define BEFORE_MS 700
#define NOTHING                                                                \
	{                                                                      \
		{                                                              \
			.text = NULL                                           \
		}                                                              \
	}

#define REQUEST(path, id, limit, more)                                         \
	"POST " path " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " id               \
	"\r\nX-Deadline-Ms: " limit "\r\n" more "\r\n"
#define NO_BODY "Content-Length: 0\r\n"

static const struct answer slow_stream[ANSWERS_MAX] = {
	{.text = STREAM "Transfer-Encoding: chunked\r\n\r\nf\r\n" E0 "\r\n",
	 .after = KEEP,
	 .rest = "f\r\n" E1 "\r\n0\r\n\r\n"}};
static const struct answer plain[ANSWERS_MAX] = {
	{.text = OK_HEAD "Content-Length: 2\r\n\r\nok", .after = KEEP}};

/* A relay that got SIGTERM, and has just ended a stream whose head did not say
 * that its connection ends. */
static void
stop_beside_stream (struct world *w)
{
	world_init (w, "app", 1);
	w->r.set.grace_s = GRACE_S;
	stop_begin (&w->r);
	/* As if the head had been written before. */
	w->r.front.leaving = false;
	world_run (w, BEFORE_MS);
	world_ask (w, "POST", "/s/a", "r1", slow_stream);
	CU_ASSERT (world_status (w) == 200 && world_is_whole (w));
	CU_ASSERT (strstr (w->got->str, "Connection: close") == NULL);
	w->r.front.leaving = true;
}

static bool
is_refused (struct world *w, const char *id)
{
	char *echo = g_strdup_printf ("X-Request-Id: %s\r\n", id);
	bool ok = world_status (w) == 503 && world_is_whole (w) &&
		  strstr (w->got->str, "Connection: close\r\n") != NULL &&
		  strstr (w->got->str, "Retry-After: 0.") != NULL &&
		  strstr (w->got->str, echo) != NULL && w->requests->len == 0;

	g_free (echo);
	return ok;
}

/* It was passed on, and cut at the end of the grace. */
static void
test_request_that_cannot_end_in_time (void)
{
	static const struct answer never[ANSWERS_MAX] = NOTHING;
	struct world w;

	stop_beside_stream (&w);
	world_send (&w, REQUEST ("/s/b", "r2", "3000", NO_BODY), never);
	CU_ASSERT (is_refused (&w, "r2"));
	world_finish (&w);
}

static void
test_request_that_ends_in_time (void)
{
	struct world w;

	stop_beside_stream (&w);
	world_send (&w, REQUEST ("/o/b", "r1", "400", NO_BODY), plain);
	CU_ASSERT (world_status (&w) == 200 && world_is_whole (&w));
	CU_ASSERT (strstr (w.got->str, "Connection: close\r\n") != NULL);
	world_finish (&w);
}

/* The process ended while the body was on its way. */
static void
test_body_that_comes_late (void)
{
	struct world w;

	world_init (&w, "app", 1);
	w.r.set.grace_s = 1;
	world_ask (&w, "POST", "/o/a", "r1", plain);
	stop_begin (&w.r);
	world_send (
		&w,
		REQUEST ("/o/b", "r2", "3000", "Content-Length: 9\r\n") "part",
		plain);
	CU_ASSERT (is_refused (&w, "r2"));
	world_finish (&w);
}

/* Its bytes are in the socket's buffer when idle connections are closed. */
static void
test_request_that_is_not_read_yet (void)
{
	static const char text[] = REQUEST ("/o/b", "r1", "300", NO_BODY);
	struct world w;

	world_init (&w, "app", 1);
	world_ask (&w, "POST", "/o/a", "r1", plain);
	w.r.front.leaving = true;
	CU_ASSERT (send (w.client, text, strlen (text), MSG_NOSIGNAL) > 0);
	h1srv_close_idle (&w.r.front);
	h1srv_close_listener (&w.r.front);
	CU_ASSERT (h1srv_has_requests (&w.r.front));
	world_send (&w, "\r\n", plain);
	CU_ASSERT (world_status (&w) == 200 && world_is_whole (&w));
	world_finish (&w);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"a request that cannot end in time",
		 test_request_that_cannot_end_in_time},
		{"a request that ends in time", test_request_that_ends_in_time},
		{"a body that comes late", test_body_that_comes_late},
		{"a request that is not read yet",
		 test_request_that_is_not_read_yet},
		{NULL, NULL},
	};

	return t_run ("relay_stop", cases);
}
