/*
 * The listeners: client requests up to their admission, readiness checks and
 * metrics.
 */
#include <string.h>

#include "relayd.h"

/* Limits of the listeners; a configuration may change those for clients. */
#define HEADER_MAX_BYTES (16U << 10)
#define BODY_MAX_BYTES (4U << 20)
#define HEADER_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

/* Clients may fill half of the machine's memory, and have half of the
 * descriptors: each running request needs another one to its endpoint. */
#define CLIENTS_MEMORY_PART 2
#define CLIENTS_FDS_PART 2

/* Retry-After while there is no configuration: a starting relay gets it at
 * once, or, if the group starts too, once that has elected a leader, which
 * takes an election timeout and two round trips. */
#define CONFIG_RETRY_AFTER_MS 1000
#define CONFIG_RETRY_SPREAD_MS 500

/* An answer is due this long before the client times out, so that it arrives in
 * time. */
#define DEADLINE_MARGIN_MS 20

void
front_refuse (struct relay *r, struct h1srv_conn *c, const char *id, int status,
	      uint32_t retry_after_ms, const char *why)
{
	GString *headers = g_string_new (NULL);
	char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", why);

	log_event (LOG_LV_INFO, "refuse",
		   "req=%s status=%d retry_after_ms=%u why=\"%s\" "
		   "version=%" G_GUINT64_FORMAT,
		   id, status, retry_after_ms, why,
		   r->plan != NULL ? r->plan->version : 0);
	r->stats.refused++;
	if (id[0] != '\0')
		g_string_append_printf (headers, "%s: %s\r\n",
					r->dialect->request_id_header, id);
	if (retry_after_ms > 0)
		g_string_append_printf (headers, "Retry-After: %u.%03u\r\n",
					retry_after_ms / 1000,
					retry_after_ms % 1000);
	g_string_append (headers, "Content-Type: application/json\r\n");
	h1srv_answer (c, status, headers->str, body, strlen (body));
	g_string_free (headers, TRUE);
	g_free (body);
}

/* Copies the headers that are forwarded: neither hop-by-hop headers nor those
 * between client and relay. */
static void
forward_headers (struct call *c, const struct h1_head *h)
{
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *x = &h->headers[i];

		if (h1_hop_header (h, x) || h1_is (x, "content-length") ||
		    !c->r->dialect->forwards_header (x))
			continue;
		g_string_append_len (c->headers, x->name, (gssize)x->name_len);
		g_string_append (c->headers, ": ");
		g_string_append_len (c->headers, x->value,
				     (gssize)x->value_len);
		g_string_append (c->headers, "\r\n");
	}
}

/* How long a request may take. */
static uint64_t
wait_limit_ms (const struct plan_route *route, const struct dia_request *req)
{
	return req->timeout_ms > 0 ? MIN (route->timeout_ms, req->timeout_ms)
				   : route->timeout_ms;
}

static void
set_deadline (struct call *c, uint64_t arrived_ms)
{
	uint64_t wait_ms = wait_limit_ms (c->route, &c->req);

	c->arrived_ms = arrived_ms;
	c->deadline_ms = c->arrived_ms + MAX (wait_ms, 2 * DEADLINE_MARGIN_MS) -
			 DEADLINE_MARGIN_MS;
}

static void
create_call (struct relay *r, struct h1srv_conn *conn, const struct h1_head *h,
	     GByteArray *body, const struct dia_request *req,
	     const struct plan_route *route, const struct plan_account *account,
	     uint64_t arrived_ms)
{
	struct call *c = g_new0 (struct call, 1);

	c->r = r;
	c->client = conn;
	c->req = *req;
	c->id = g_strndup (req->id, req->id_len);
	/* These point into the request's head. */
	c->req.id = c->req.key = NULL;
	c->plan = plan_ref (r->plan);
	c->route = route;
	c->service = plan_pick_service (route, g_rand_int (r->rand));
	c->tier = plan_tier (r->plan, route, account);
	c->account = account != NULL ? account->name : "";
	c->request_line = g_string_new_len (h->method, (gssize)h->method_len);
	c->is_head = h1_method_is (h, "HEAD");
	g_string_append_c (c->request_line, ' ');
	g_string_append_len (c->request_line, h->path, (gssize)h->path_len);
	c->headers = g_string_new (NULL);
	forward_headers (c, h);
	c->body = g_byte_array_ref (body);
	c->answer_headers = g_string_new (NULL);
	c->answer_body = g_string_new (NULL);
	evstream_init (&c->evstream, req->last_event_id);
	set_deadline (c, arrived_ms);
	h1srv_set_data (conn, c);
	g_ptr_array_add (r->calls, c);
	call_admit (c);
}

static void
handle_request (struct relay *r, struct h1srv_conn *conn,
		const struct h1_head *h, GByteArray *body,
		const struct dia_request *req, const char *id,
		uint64_t arrived_ms)
{
	const struct h1_header *host = h1_find (h, "host");
	const struct plan_account *account = NULL;
	const struct plan_route *route;

	if (r->plan == NULL) {
		front_refuse (
			r, conn, id, 503,
			CONFIG_RETRY_AFTER_MS +
				(uint32_t)g_rand_int_range (
					r->rand, 0, CONFIG_RETRY_SPREAD_MS),
			"no configuration");
		return;
	}
	route = host != NULL ? plan_match_route (r->plan, host->value,
						 host->value_len, h->path,
						 h->path_len)
			     : NULL;
	if (route == NULL) {
		front_refuse (r, conn, id, 404, 0, "no route");
		return;
	}
	if (!route->public && r->plan->needs_keys) {
		account = plan_account_by_key (r->plan, req->key, req->key_len);
		if (account == NULL) {
			front_refuse (r, conn, id, 401, 0, "unknown key");
			return;
		}
	}
	if (!stop_admits (r, wait_limit_ms (route, req))) {
		front_refuse (r, conn, id, 503, stop_retry_after_ms (r),
			      "stopping");
		return;
	}
	create_call (r, conn, h, body, req, route, account, arrived_ms);
}

void
front_handle (struct relay *r, struct h1srv_conn *conn, const struct h1_head *h,
	      GByteArray *body, uint64_t arrived_ms)
{
	struct dia_request req;
	char *id;

	r->dialect->parse_request (h, &req);
	id = g_strndup (req.id, req.id_len);
	handle_request (r, conn, h, body, &req, id, arrived_ms);
	g_free (id);
}

static void
on_request (struct h1srv_conn *conn, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct relay *r = ctx;

	r->stats.requests++;
	if (relay_is_configured (r) || !startup_add (r, conn, h, body))
		front_handle (r, conn, h, body, tmr_now_ms ());
}

static void
on_client_gone (struct h1srv_conn *conn, void *ctx)
{
	struct call *c = h1srv_data (conn);

	if (c != NULL)
		call_client_gone (c);
	else
		startup_client_gone (ctx, conn);
}

static const struct h1srv_ops front_ops = {
	.request = on_request,
	.gone = on_client_gone,
};

static void
on_ready (struct h1srv_conn *conn, const struct h1_head *h, GByteArray *body,
	  void *ctx)
{
	struct relay *r = ctx;
	char domain[PLAN_NAME_BYTES];
	bool ready = relay_is_ready (r);

	(void)body;
	if (r->dialect->match_api_call (h, domain, sizeof domain) != DIA_READY)
		h1srv_answer (conn, 404, NULL, "", 0);
	else
		h1srv_answer (conn, ready ? 200 : 503, NULL,
			      ready ? "ready\n" : "no\n", ready ? 6 : 3);
}

static void
on_metrics (struct h1srv_conn *conn, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	GString *out = g_string_new (NULL);

	(void)h;
	(void)body;
	metrics_print (ctx, out);
	h1srv_answer (conn, 200, "Content-Type: text/plain\r\n", out->str,
		      out->len);
	g_string_free (out, TRUE);
}

static void
ignore_client_gone (struct h1srv_conn *conn, void *ctx)
{
	(void)conn;
	(void)ctx;
}

static const struct h1srv_ops ready_ops = {on_ready, ignore_client_gone};
static const struct h1srv_ops metrics_ops = {on_metrics, ignore_client_gone};

bool
front_init (struct relay *r, struct err *e)
{
	static const struct h1srv_limits limits = {
		HEADER_MAX_BYTES, BODY_MAX_BYTES, HEADER_TIMEOUT_MS,
		IDLE_TIMEOUT_MS};
	struct sockaddr_in at;

	startup_init (r);
	quota_init (&r->quota, r->set.memory_mb, r->set.max_fds,
		    CLIENTS_MEMORY_PART, CLIENTS_FDS_PART);
	r->pool.max = r->quota.max_conns;
	if (!link_addr_parse (r->set.listen, &at, e) ||
	    !h1srv_init (&r->front, r->daemon.loop, &at, &limits, &front_ops, r,
			 e))
		return false;
	r->front.quota = &r->quota;
	r->front.id_header = r->dialect->request_id_header;
	if (!link_addr_parse (r->set.ready, &at, e) ||
	    !h1srv_init (&r->ready, r->daemon.loop, &at, &limits, &ready_ops, r,
			 e))
		return false;
	r->ready.quota = &r->quota;
	r->ready.is_reserved = true;
	if (r->set.metrics[0] == '\0')
		return true;
	if (!link_addr_parse (r->set.metrics, &at, e) ||
	    !h1srv_init (&r->metrics, r->daemon.loop, &at, &limits,
			 &metrics_ops, r, e))
		return false;
	r->metrics.quota = &r->quota;
	r->metrics.is_reserved = true;
	return true;
}

void
front_finish (struct relay *r)
{
	h1srv_finish (&r->front);
	h1srv_finish (&r->ready);
	h1srv_finish (&r->metrics);
	startup_finish (r);
}
