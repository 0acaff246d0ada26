/*
 * Requests received before the relay has its configuration and the list of
 * endpoints.  They are queued until it has both, at most as long as
 * waitq_startup_refuse_at_ms() allows, and then handled with their time of
 * arrival.
 */
#include "relayd.h"

/* Further requests are refused.  A starting relay shares the clients of its
 * failure domain with other starting relays, and can spare a quarter of its
 * memory. */
#define STARTUP_REQS_MAX 512
#define STARTUP_BYTES_MAX (16U << 20)

/**
 * struct startup_req - a queued request
 * @id: the request's id
 * @head_text: request line and headers, parsed again when it is handled
 * @deadline_ms: when it is handled even without a configuration
 */
struct startup_req {
	struct h1srv_conn *conn;
	char *id;
	GString *head_text;
	GByteArray *body;
	uint64_t arrived_ms;
	uint64_t deadline_ms;
};

static void
startup_req_free (struct startup_req *q)
{
	g_free (q->id);
	g_string_free (q->head_text, TRUE);
	g_byte_array_unref (q->body);
	g_free (q);
}

static GString *
format_head (const struct h1_head *h)
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
startup_add (struct relay *r, struct h1srv_conn *conn, const struct h1_head *h,
	     GByteArray *body)
{
	uint64_t now_ms = tmr_now_ms (), deadline_ms;
	struct dia_request req;
	struct startup_req *q;

	r->dialect->parse_request (h, &req);
	deadline_ms = waitq_startup_refuse_at_ms (
		req.timeout_ms, now_ms,
		r->started_ms + MEMBER_NO_LEADER_WAIT_MS);
	if (deadline_ms <= now_ms ||
	    r->startup_queue->len >= STARTUP_REQS_MAX ||
	    r->startup_bytes + body->len > STARTUP_BYTES_MAX)
		return false;
	q = g_new0 (struct startup_req, 1);
	q->conn = conn;
	q->id = g_strndup (req.id, req.id_len);
	q->head_text = format_head (h);
	q->body = g_byte_array_ref (body);
	q->arrived_ms = now_ms;
	q->deadline_ms = deadline_ms;
	r->startup_bytes += body->len;
	g_ptr_array_add (r->startup_queue, q);
	log_event (LOG_LV_INFO, "startup-queue",
		   "req=%s wait_ms=%" G_GUINT64_FORMAT " queued=%u", q->id,
		   deadline_ms - now_ms, r->startup_queue->len);
	return true;
}

static void
startup_release (struct relay *r, struct startup_req *q)
{
	struct h1_head h;
	size_t used;

	r->startup_bytes -= q->body->len;
	if (h1_request (q->head_text->str, q->head_text->len, &h, &used) ==
	    H1_OK) {
		front_handle (r, q->conn, &h, q->body, q->arrived_ms);
	} else {
		log_event (LOG_LV_ERROR, "startup-queue",
			   "why=\"stored request head can't be parsed\"");
		front_refuse (r, q->conn, "", 503, 0, "not run");
	}
	startup_req_free (q);
}

void
startup_tick (struct relay *r, uint64_t now_ms)
{
	for (guint i = r->startup_queue->len; i > 0; i--) {
		struct startup_req *q =
			g_ptr_array_index (r->startup_queue, i - 1);

		if (!relay_is_configured (r) && now_ms < q->deadline_ms)
			continue;
		g_ptr_array_remove_index_fast (r->startup_queue, i - 1);
		startup_release (r, q);
	}
}

void
startup_refuse_all (struct relay *r)
{
	while (r->startup_queue->len > 0) {
		struct startup_req *q = g_ptr_array_index (r->startup_queue, 0);

		g_ptr_array_remove_index_fast (r->startup_queue, 0);
		r->startup_bytes -= q->body->len;
		front_refuse (r, q->conn, q->id, 503, stop_retry_after_ms (r),
			      "stopping");
		startup_req_free (q);
	}
}

void
startup_client_gone (struct relay *r, const struct h1srv_conn *conn)
{
	for (guint i = r->startup_queue->len; i > 0; i--) {
		struct startup_req *q =
			g_ptr_array_index (r->startup_queue, i - 1);

		if (q->conn != conn)
			continue;
		g_ptr_array_remove_index_fast (r->startup_queue, i - 1);
		r->startup_bytes -= q->body->len;
		startup_req_free (q);
	}
}

void
startup_init (struct relay *r)
{
	r->startup_queue = g_ptr_array_new ();
}

void
startup_finish (struct relay *r)
{
	for (guint i = 0; i < r->startup_queue->len; i++)
		startup_req_free (g_ptr_array_index (r->startup_queue, i));
	g_ptr_array_free (r->startup_queue, TRUE);
}
