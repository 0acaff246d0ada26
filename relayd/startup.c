/*
 * Requests that come before a relay has its configuration or the list of
 * endpoints: they wait for these (see waitq_startup_refuse_at_ms()), and are
 * then taken as of their arrival.
 */
#include "relayd.h"

/* More are refused; a relay that starts shares its domain's callers with the
 * other relays that do, and has a quarter of its memory to spare. */
#define EARLY_MAX 512
#define EARLY_MAX_BYTES (16U << 20)

/* A request that came before the configuration or the list of endpoints. */
struct early {
	struct h1srv_conn *conn;
	GString *head;
	GByteArray *body;
	uint64_t arrived_ms;
	uint64_t until_ms;
};

static void
early_free (struct early *w)
{
	g_string_free (w->head, TRUE);
	g_byte_array_unref (w->body);
	g_free (w);
}

/* Its head is kept as text and parsed again later. */
static GString *
head_text (const struct h1_head *h)
{
	GString *out = g_string_new_len (h->method, (gssize)h->method_len);

	g_string_append_c (out, ' ');
	g_string_append_len (out, h->path, (gssize)h->path_len);
	g_string_append (out, " HTTP/1.1\r\n");
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *x = &h->headers[i];

		g_string_append_len (out, x->name, (gssize)x->name_len);
		g_string_append (out, ": ");
		g_string_append_len (out, x->value, (gssize)x->value_len);
		g_string_append (out, "\r\n");
	}
	return g_string_append (out, "\r\n");
}

bool
early_add (struct relay *r, struct h1srv_conn *conn, const struct h1_head *h,
	   const GByteArray *body)
{
	uint64_t now_ms = tmr_now_ms (), until_ms;
	struct dia_request req;
	struct early *w;

	r->dialect->parse_request (h, &req);
	until_ms = waitq_startup_refuse_at_ms (
		req.timeout_ms, now_ms, r->started_ms + MEMBER_STALE_WAIT_MS);
	if (until_ms <= now_ms || r->early->len >= EARLY_MAX ||
	    r->early_bytes + body->len > EARLY_MAX_BYTES)
		return false;
	w = g_new0 (struct early, 1);
	w->conn = conn;
	w->head = head_text (h);
	w->body = g_byte_array_new ();
	g_byte_array_append (w->body, body->data, body->len);
	w->arrived_ms = now_ms;
	w->until_ms = until_ms;
	r->early_bytes += body->len;
	g_ptr_array_add (r->early, w);
	log_event (LOG_LV_INFO, "early",
		   "req=%s wait_ms=%" G_GUINT64_FORMAT " waiting=%u", req.id,
		   until_ms - now_ms, r->early->len);
	return true;
}

static void
early_take (struct relay *r, struct early *w)
{
	struct h1_head h;
	size_t used;

	r->early_bytes -= w->body->len;
	if (h1_request (w->head->str, w->head->len, &h, &used) == H1_OK) {
		front_take (r, w->conn, &h, w->body, w->arrived_ms);
	} else {
		log_event (LOG_LV_ERROR, "early", "why=\"head not kept\"");
		front_refuse (r, w->conn, "", 503, 0, "not run");
	}
	early_free (w);
}

void
early_tick (struct relay *r, uint64_t now_ms)
{
	for (guint i = r->early->len; i > 0; i--) {
		struct early *w = g_ptr_array_index (r->early, i - 1);

		if (!relay_knows (r) && now_ms < w->until_ms)
			continue;
		g_ptr_array_remove_index_fast (r->early, i - 1);
		early_take (r, w);
	}
}

void
early_gone (struct relay *r, const struct h1srv_conn *conn)
{
	for (guint i = r->early->len; i > 0; i--) {
		struct early *w = g_ptr_array_index (r->early, i - 1);

		if (w->conn != conn)
			continue;
		g_ptr_array_remove_index_fast (r->early, i - 1);
		r->early_bytes -= w->body->len;
		early_free (w);
	}
}

void
early_init (struct relay *r)
{
	r->early = g_ptr_array_new ();
}

void
early_finish (struct relay *r)
{
	for (guint i = 0; i < r->early->len; i++)
		early_free (g_ptr_array_index (r->early, i));
	g_ptr_array_free (r->early, TRUE);
}
