/*
 * Requests as they come in: path, key, class, body; then into the queue.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "entryd.h"
#include "log.h"

static h2o_iovec_t
presented_key (h2o_req_t *h)
{
	h2o_iovec_t v = httpd_header (h, "authorization");

	if (v.base != NULL && v.len > 7 &&
	    strncasecmp (v.base, "bearer ", 7) == 0)
		return h2o_iovec_init (v.base + 7, v.len - 7);
	return httpd_header (h, "x-api-key");
}

/* A header's value as a terminated string; false where it does not fit. */
static bool
header_copy (h2o_req_t *h, const char *name, char *out, size_t size)
{
	h2o_iovec_t v = httpd_header (h, name);

	out[0] = '\0';
	if (v.base == NULL)
		return true;
	if (v.len >= size || memchr (v.base, '\0', v.len) != NULL)
		return false;
	memcpy (out, v.base, v.len);
	out[v.len] = '\0';
	return true;
}

static char *
json_text (const char *s)
{
	GString *out = g_string_new (NULL);

	for (; *s != '\0'; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_printf (out, "\\%c", *s);
		else if ((unsigned char)*s < 0x20)
			g_string_append_printf (out, "\\u%04x", *s);
		else
			g_string_append_c (out, *s);
	}
	return g_string_free (out, FALSE);
}

/* The answer to an error, in the shape that OpenAI's clients read. */
static void
answer_error (h2o_req_t *h, const char *id, const struct err *e,
	      uint32_t retry_after_ms)
{
	const struct err_answer *a = err_answer (e->kind);
	char secs[16];
	char *msg = json_text (e->msg);
	char *body = g_strdup_printf (
		"{\"error\":{\"message\":\"%s\",\"type\":\"%s\","
		"\"code\":\"%s\",\"ran\":\"%s\"},\"request_id\":\"%s\"}\n",
		msg, a->status < 500 ? "invalid_request_error" : "server_error",
		a->name, err_ran_name (a->ran), id);

	httpd_add_header (h, "x-request-id", id);
	httpd_add_header (h, "x-ran", err_ran_name (a->ran));
	if (a->retryable) {
		snprintf (secs, sizeof secs, "%u",
			  MAX (1, (retry_after_ms + 999) / 1000));
		httpd_add_header (h, "retry-after", secs);
	}
	httpd_answer_json (h, a->status, body);
	g_free (body);
	g_free (msg);
}

void
front_refuse (struct entry *e, h2o_req_t *h, const struct err *err)
{
	char id[REQ_ID_BYTES];

	snprintf (id, sizeof id, "%08x%08x", g_rand_int (e->rand),
		  g_rand_int (e->rand));
	e->errors[err->kind]++;
	log_event (LOG_LV_INFO, "refuse", "req=%s path=%.*s kind=%s why=\"%s\"",
		   id, (int)MIN (h->path.len, 100), h->path.base,
		   err_name (err->kind), err->msg);
	answer_error (h, id, err, 0);
}

/* End a request by an error; where its answer has begun, as cut. */
void
front_fail (struct req *r, const struct err *e, uint32_t retry_after_ms)
{
	h2o_req_t *h = r->caller;

	r->e->errors[e->kind]++;
	log_event (LOG_LV_INFO, "refuse",
		   "req=%s account=%s class=%s kind=%s ran=%s why=\"%s\"",
		   r->id, r->account, r->node.klass->name, err_name (e->kind),
		   err_ran_name (err_answer (e->kind)->ran), e->msg);
	if (r->begun) {
		r->cut = true;
		r->ended = true;
		answer_push (r);
		return;
	}
	stat_refused (r, e->kind);
	usage_refused (r);
	if (h != NULL)
		answer_error (h, r->id, e, retry_after_ms);
	req_over (r);
}

/*
 * Whether a queued request's caller closed its connection.  HTTP/1 tells only
 * at the next write, so the socket is looked at; HTTP/2 tells by itself.
 */
bool
front_caller_gone (struct req *r)
{
	h2o_socket_t *sock;
	ssize_t n;
	char c;

	if (r->caller == NULL)
		return true;
	if (r->caller->version >= 0x200)
		return false;
	sock = r->caller->conn->callbacks->get_socket (r->caller->conn);
	if (sock == NULL || sock->ssl != NULL)
		return false;
	n = recv (h2o_socket_get_fd (sock), &c, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0;
}

static void
answer_models (struct entry *e, h2o_req_t *h)
{
	GString *s = g_string_new ("{\"object\":\"list\",\"data\":[");

	for (uint32_t i = 0; i < e->inv->model_count; i++)
		g_string_append_printf (s,
					"%s{\"id\":\"%s\",\"object\":\"model\","
					"\"owned_by\":\"dragonflyhinge\"}",
					i > 0 ? "," : "", e->inv->models[i]);
	g_string_append (s, "]}\n");
	httpd_answer_json (h, 200, s->str);
	g_string_free (s, TRUE);
}

/* Class: of the route, else asked for by header, else of the account. */
static struct bb_class *
pick_class (struct entry *e, h2o_req_t *h, const struct inv_route *route,
	    const struct inv_key *key)
{
	int32_t ix = route->class_ix;
	char name[INV_NAME_BYTES];

	if (ix < 0 && header_copy (h, "x-class", name, sizeof name) &&
	    name[0] != '\0')
		ix = inv_class_ix (e->inv, name);
	if (ix < 0 && key != NULL)
		ix = e->inv->accounts[key->account_ix].class_ix;
	if (ix < 0)
		ix = (int32_t)e->inv->class_count - 1;
	return e->bb.classes[ix];
}

static bool
read_body (struct req *r, h2o_req_t *h, const struct inv_route *route,
	   struct err *e)
{
	if (h->entity.len > r->e->inv->settings.request_max_bytes)
		return err_set (e, ERR_TOO_LARGE, "body of %zu bytes",
				h->entity.len);
	r->body = g_strndup (h->entity.base != NULL ? h->entity.base : "",
			     h->entity.len);
	r->body_len = h->entity.len;
	if (route->kind == INV_ROUTE_SERVICE) {
		r->node.pool = bb_pool_group (&r->e->bb, route->group);
	} else {
		if (!chat_parse (&r->chat, r->body, r->body_len,
				 route->kind == INV_ROUTE_CHAT, e))
			return false;
		r->node.pool = bb_pool_model (&r->e->bb, r->chat.model,
					      strlen (r->chat.model));
		r->node.prompt_tokens = r->chat.prompt_tokens;
	}
	if (r->node.pool == NULL)
		return err_set (e, ERR_NO_MODEL, "nothing serves '%s'",
				route->kind == INV_ROUTE_SERVICE
					? route->group
					: r->chat.model);
	return true;
}

/* What the choice of endpoint reads of the request. */
static void
fill_place (struct req *r)
{
	struct route_req *p = &r->place;

	p->pool = r->node.pool;
	p->klass = r->node.klass;
	p->rules = &r->rules;
	p->tried = &r->retry;
	p->prompt_tokens = r->chat.prompt_tokens;
	p->prefix_count = r->chat.prefix_count;
	memcpy (p->prefix, r->chat.prefix, sizeof p->prefix);
	memcpy (p->prefix_tokens, r->chat.prefix_tokens,
		sizeof p->prefix_tokens);
}

static bool
fill (struct req *r, h2o_req_t *h, const struct inv_route *route,
      const struct inv_key *key, struct err *e)
{
	char wait[16];

	if (h->path.len >= sizeof r->path)
		return err_set (e, ERR_BAD_REQUEST, "path of %zu bytes",
				h->path.len);
	memcpy (r->path, h->path.base, h->path.len);
	if (!header_copy (h, "idempotency-key", r->idem_key,
			  sizeof r->idem_key))
		return err_set (e, ERR_BAD_REQUEST,
				"idempotency-key: longer "
				"than %zu bytes",
				sizeof r->idem_key - 1);
	if (key != NULL) {
		r->node.account = r->e->bb.accounts[key->account_ix];
		memcpy (r->key_id, key->id, sizeof r->key_id);
		memcpy (r->account, key->account, sizeof r->account);
	}
	r->kind = route->kind;
	r->retry.repeatable = route->repeatable;
	if (!read_body (r, h, route, e))
		return false;
	route_rules (&r->e->bb, r->node.account,
		     pick_class (r->e, h, route, key), r->node.pool, &r->rules);
	if (r->rules.deny)
		return err_set (e, ERR_FORBIDDEN, "denied by rule %s",
				r->rules.rule);
	r->node.klass = r->rules.klass;
	if (header_copy (h, "x-wait-ms", wait, sizeof wait))
		r->node.max_wait_ms = (uint32_t)MIN (
			g_ascii_strtoull (wait, NULL, 10), UINT32_MAX);
	r->total_deadline_ms = r->node.arrived_ms + r->node.klass->def.total_ms;
	fill_place (r);
	susp_fingerprint (r->account, r->body, r->body_len, r->fingerprint);
	return true;
}

static int
take (struct entry *e, h2o_req_t *h, const struct inv_route *route)
{
	h2o_iovec_t text = presented_key (h);
	const struct inv_key *key = NULL;
	struct err err = {0};
	struct req *r;

	if (!route->open) {
		key = key_check (e, text.base, text.len, &err);
		if (key == NULL) {
			front_refuse (e, h, &err);
			return 0;
		}
	}
	if (route->kind == INV_ROUTE_MODELS) {
		answer_models (e, h);
		return 0;
	}
	if (e->inv->class_count == 0) {
		err_set (&err, ERR_NO_ROUTE, "the inventory has no class");
		front_refuse (e, h, &err);
		return 0;
	}
	r = req_new (e, h);
	if (text.base != NULL && text.len < sizeof r->key_text)
		memcpy (r->key_text, text.base, text.len);
	if (!fill (r, h, route, key, &err)) {
		r->caller = NULL;
		req_over (r);
		front_refuse (e, h, &err);
		return 0;
	}
	/* What became of an earlier attempt is looked up first: it must be
	 * told even where this one could not be queued. */
	if (!r->retry.repeatable && r->idem_key[0] != '\0')
		claim_ask (r);
	else
		req_queue (r);
	return 0;
}

/* A coordinator that started grants nothing until all leases that its
 * predecessor may have granted have run out. */
static bool
credits_flow (struct entry *e)
{
	const struct lease_settings *l = &e->lease.set;

	return tmr_now_ms () - e->lease.started_ms >=
	       l->contact_ms + l->ttl_ms + l->margin_ms;
}

static int
health (struct entry *e, h2o_req_t *h)
{
	bool ready = !e->leaving && e->inv != NULL && credits_flow (e);
	GString *s;

	if (httpd_path_is (h, "/healthz")) {
		httpd_answer (h, 200, "text/plain", "ok\n", 3);
	} else if (httpd_path_is (h, "/readyz")) {
		httpd_answer (h, ready ? 200 : 503, "text/plain",
			      ready ? "ready\n" : "not ready\n",
			      ready ? 6 : 10);
	} else {
		s = g_string_new (NULL);
		stat_print (e, s);
		httpd_answer (h, 200, "text/plain; version=0.0.4", s->str,
			      s->len);
		g_string_free (s, TRUE);
	}
	return 0;
}

int
front_request (h2o_req_t *h, void *ctx)
{
	struct entry *e = ctx;
	const struct inv_route *route;
	struct err err = {0};
	size_t len = h->query_at != SIZE_MAX ? h->query_at : h->path.len;

	if (httpd_path_is (h, "/healthz") || httpd_path_is (h, "/readyz") ||
	    httpd_path_is (h, "/metrics"))
		return health (e, h);
	if (e->inv == NULL) {
		err_set (&err, ERR_NO_ENDPOINT, "no inventory yet");
		front_refuse (e, h, &err);
		return 0;
	}
	route = inv_route_find (e->inv, h->path.base, len);
	if (route == NULL) {
		err_set (&err, ERR_NO_ROUTE, "no route for this path");
		front_refuse (e, h, &err);
		return 0;
	}
	return take (e, h, route);
}
