/*
 * What a server does before its process ends: no new connections, no new
 * requests, and the ends of those that run.
 */
#include "h1srv_priv.h"

void
h1srv_leave (struct h1srv *s)
{
	s->leaving = true;
}

void
h1srv_close_listener (struct h1srv *s)
{
	if (s->listener == NULL)
		return;
	/* The kernel would reset the connections that were not taken from it.
	 */
	h1srv_on_accept (s->listener, NULL);
	h2o_socket_close (s->listener);
	s->listener = NULL;
}

/* Whether the part of a request that was read is not the whole. */
static bool
is_partial (const struct h1srv_conn *c)
{
	size_t len;

	if (c->state != CONN_HEAD)
		return c->state == CONN_BODY;
	sio_input (&c->io, &len);
	return len > 0;
}

/* Whether a request is unanswered, or has begun to arrive. */
static bool
has_request (struct h1srv_conn *c)
{
	return c->state == CONN_BUSY || is_partial (c) ||
	       (c->state == CONN_HEAD && !sio_is_quiet (&c->io));
}

void
h1srv_close_idle (struct h1srv *s)
{
	for (guint i = s->conns->len; i > 0; i--) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i - 1);

		if (c->state == CONN_HEAD && !has_request (c) &&
		    sio_pending (&c->io) == 0)
			h1srv_conn_close (c, false);
	}
}

bool
h1srv_has_requests (const struct h1srv *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i);

		if (has_request (c))
			return true;
	}
	return false;
}

void
h1srv_refuse_partial (struct h1srv *s,
		      void (*refuse) (struct h1srv_conn *c,
				      const struct h1_head *h, void *ctx),
		      void *ctx)
{
	for (guint i = s->conns->len; i > 0; i--) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i - 1);
		bool has_head = c->state == CONN_BODY;
		struct h1_head h;
		size_t used;

		if (!is_partial (c))
			continue;
		tmr_stop (&c->tmr);
		h1srv_begin_refusal (c);
		has_head = has_head && h1_request (c->head->str, c->head->len,
						   &h, &used) == H1_OK;
		refuse (c, has_head ? &h : NULL, ctx);
	}
}

bool
h1srv_has_output (const struct h1srv *s)
{
	for (guint i = 0; i < s->conns->len; i++) {
		struct h1srv_conn *c = g_ptr_array_index (s->conns, i);

		if (sio_pending (&c->io) > 0 || c->state == CONN_LINGER)
			return true;
	}
	return false;
}
