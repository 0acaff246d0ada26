/*
 * Answers of the server side of HTTP/1.1.
 */
#include "h1srv_priv.h"
#include "tmr.h"

void
h1srv_set_data (struct h1srv_conn *c, void *data)
{
	c->data = data;
}

void *
h1srv_data (const struct h1srv_conn *c)
{
	return c->data;
}

bool
h1srv_closes (const struct h1srv_conn *c)
{
	return c->close || c->srv->leaving;
}

/* Counts bytes that were queued.  A connection that must end for them is closed
 * a turn later, since its owner is writing. */
static void
conn_wrote (struct h1srv_conn *c)
{
	if (sio_is_open (&c->io) && !h1srv_count_output (c, false))
		c->must_end = true;
	if (c->must_end)
		tmr_start (&c->tmr, 0);
}

void
h1srv_write (struct h1srv_conn *c, const void *data, size_t len)
{
	sio_write (&c->io, data, len);
	conn_wrote (c);
}

size_t
h1srv_pending (const struct h1srv_conn *c)
{
	return sio_pending (&c->io);
}

void
h1srv_head (struct h1srv_conn *c, int status, const char *headers, GString *out)
{
	c->close = h1srv_closes (c);
	g_string_append_printf (out, "HTTP/1.1 %d %s\r\n", status,
				h1_status_text (status));
	if (headers != NULL)
		g_string_append (out, headers);
	if (c->close)
		g_string_append (out, "Connection: close\r\n");
}

void
h1srv_answer (struct h1srv_conn *c, int status, const char *headers,
	      const void *body, size_t len)
{
	GString *out = g_string_new (NULL);
	bool has_body = h1_has_body (status, c->to_head);

	h1srv_head (c, status, headers, out);
	/* To HEAD, the length that GET would have been answered with, if any.
	 */
	if (has_body || (len > 0 && h1_has_body (status, false)))
		g_string_append_printf (out, "Content-Length: %zu\r\n", len);
	g_string_append (out, "\r\n");
	sio_write2 (&c->io, out->str, out->len, body, has_body ? len : 0);
	conn_wrote (c);
	g_string_free (out, TRUE);
	h1srv_end (c, true);
}
