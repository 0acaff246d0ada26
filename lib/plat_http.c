/*
 * Client of the platform over HTTP and JSON; docs/PLATFORM.md describes the
 * wire format.
 */
#include <string.h>

#include <json-c/json.h>

#include "httpc.h"
#include "plat.h"

#define READ_TIMEOUT_MS 5000
#define ANSWER_MAX_BYTES (4U << 20)
#define JSON_DEPTH_MAX 8

struct plat_http {
	struct httpc_peer peer;
	GList *calls; /* of struct call */
};

/* A pending call.  Exactly one of the three callbacks is set. */
struct call {
	struct plat_http *p;
	struct httpc *c;
	plat_answer_cb answer;
	plat_list_cb list;
	plat_notice_cb notices;
	void *ctx;
	struct plat_guard guard;
	bool forbidden; /* the guard refused the write */
};

const char *
plat_verdict_name (enum plat_verdict v)
{
	switch (v) {
	case PLAT_ACCEPTED:
		return "accepted";
	case PLAT_STALE:
		return "stale";
	case PLAT_REFUSED:
		return "refused";
	case PLAT_LOST:
		return "lost";
	case PLAT_UNSENT:
		return "unsent";
	}
	return "unknown";
}

struct plat_http *
plat_http_new (h2o_loop_t *loop, const struct sockaddr_in *addr)
{
	struct plat_http *p = g_new0 (struct plat_http, 1);

	httpc_peer_init (&p->peer, loop, addr, READ_TIMEOUT_MS);
	return p;
}

void
plat_http_free (struct plat_http *p)
{
	for (GList *l = p->calls; l != NULL; l = l->next) {
		struct call *call = l->data;

		httpc_cancel (call->c);
		g_free (call);
	}
	g_list_free (p->calls);
	httpc_peer_finish (&p->peer);
	g_free (p);
}

static struct call *
call_new (struct plat_http *p, void *ctx)
{
	struct call *call = g_new0 (struct call, 1);

	call->p = p;
	call->ctx = ctx;
	p->calls = g_list_prepend (p->calls, call);
	return call;
}

static void
call_free (struct call *call)
{
	call->p->calls = g_list_remove (call->p->calls, call);
	g_free (call);
}

/* Parses an answer; returns NULL where it is not a JSON object. */
static struct json_object *
parse_object (const struct httpc_reply *r)
{
	struct json_tokener *tok = json_tokener_new_ex (JSON_DEPTH_MAX);
	struct json_object *o =
		json_tokener_parse_ex (tok, r->body, (int)r->len);

	json_tokener_free (tok);
	if (json_object_is_type (o, json_type_object))
		return o;
	json_object_put (o);
	return NULL;
}

/* Returns "" where the member is missing or has another type. */
static const char *
get_string (struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex (o, name, &v) ||
	    !json_object_is_type (v, json_type_string))
		return "";
	return json_object_get_string (v);
}

/* Returns 0 where the member is missing, negative or of another type. */
static uint64_t
get_uint64 (struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_object_get_ex (o, name, &v) ||
	    !json_object_is_type (v, json_type_int) ||
	    json_object_get_int64 (v) < 0)
		return 0;
	return (uint64_t)json_object_get_int64 (v);
}

static bool
get_bool (struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex (o, name, &v) &&
	       json_object_is_type (v, json_type_boolean) &&
	       json_object_get_boolean (v);
}

/* The array @name of an answer, or NULL where there is none. */
static struct json_object *
get_array (struct json_object *o, const char *name)
{
	struct json_object *v;

	if (o == NULL || !json_object_object_get_ex (o, name, &v) ||
	    !json_object_is_type (v, json_type_array))
		return NULL;
	return v;
}

static void
read_endpoints (struct plat_answer *a, struct json_object *o)
{
	struct json_object *names = get_array (o, "endpoints");
	size_t n = names == NULL ? 0 : json_object_array_length (names);

	for (size_t i = 0; i < n && a->endpoint_count < PLAT_ENDPOINTS_MAX;
	     i++) {
		struct json_object *v = json_object_array_get_idx (names, i);

		if (json_object_is_type (v, json_type_string))
			g_strlcpy (a->endpoints[a->endpoint_count++],
				   json_object_get_string (v), INV_NAME_BYTES);
	}
}

/* Timeouts (408), rate limiting (429) and server errors are temporary, and the
 * write may have been executed; other client errors are permanent. */
static enum plat_verdict
verdict_from (int status, struct json_object *o)
{
	if (status == 200)
		return o != NULL && get_bool (o, "accepted") ? PLAT_ACCEPTED
							     : PLAT_LOST;
	if (status == 409 && o != NULL &&
	    strcmp (get_string (o, "error"), "stale_fence") == 0)
		return PLAT_STALE;
	if (status >= 400 && status < 500 && status != 408 && status != 429)
		return PLAT_REFUSED;
	return PLAT_LOST;
}

static void
on_write_done (const struct httpc_reply *r, const struct err *e, void *ctx)
{
	struct call *call = ctx;
	struct json_object *o = e == NULL ? parse_object (r) : NULL;
	plat_answer_cb cb = call->answer;
	void *cb_ctx = call->ctx;
	struct plat_answer a;

	memset (&a, 0, sizeof a);
	if (call->forbidden || !httpc_sent (call->c)) {
		a.verdict = PLAT_UNSENT;
		g_strlcpy (a.why, call->forbidden ? "no valid lease" : e->msg,
			   sizeof a.why);
	} else if (e != NULL) {
		a.verdict = PLAT_LOST;
		g_strlcpy (a.why, e->msg, sizeof a.why);
	} else {
		a.verdict = verdict_from (r->status, o);
		g_snprintf (a.why, sizeof a.why, "status %d %s", r->status,
			    o == NULL ? "" : get_string (o, "error"));
	}
	if (o != NULL) {
		a.duplicate = get_bool (o, "repeat");
		read_endpoints (&a, o);
		json_object_put (o);
	}
	call_free (call);
	cb (&a, cb_ctx);
}

static bool
check_guard (void *ctx)
{
	struct call *call = ctx;

	call->forbidden = !call->guard.may_write (call->guard.ctx);
	return !call->forbidden;
}

static void
post_json (struct plat_http *p, const char *path, struct json_object *body,
	   const struct plat_guard *g, plat_answer_cb cb, void *ctx)
{
	static const struct httpc_header type = {"content-type", 12,
						 "application/json", 16};
	struct call *call = call_new (p, ctx);
	const char *text =
		json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
	struct httpc_req req = {.method = "POST",
				.path = path,
				.headers = &type,
				.header_count = 1,
				.body = text,
				.body_len = strlen (text),
				.timeout_ms = g->timeout_ms,
				.fresh = true,
				.user_timeout_ms = g->timeout_ms,
				.may_send = check_guard,
				.may_send_ctx = call};

	call->answer = cb;
	call->guard = *g;
	call->c = httpc_fetch (&p->peer, &req, ANSWER_MAX_BYTES, on_write_done,
			       call);
	json_object_put (body);
}

/* Leaves out empty strings. */
static void
add_string (struct json_object *o, const char *name, const char *s)
{
	if (s[0] != '\0')
		json_object_object_add (o, name, json_object_new_string (s));
}

static void
add_uint64 (struct json_object *o, const char *name, uint64_t n)
{
	json_object_object_add (o, name, json_object_new_uint64 (n));
}

static const char *
action_name (enum sm_order_kind kind)
{
	switch (kind) {
	case SM_ORDER_NEW:
		return "order";
	case SM_ORDER_RELEASE:
		return "release";
	case SM_ORDER_LOAD:
		return "load";
	case SM_ORDER_ROLE:
		return "role";
	}
	return "";
}

static void
http_order (void *plat, const struct plat_order *po, const struct plat_guard *g,
	    plat_answer_cb cb, void *ctx)
{
	const struct sm_order *order = po->order;
	struct json_object *o = json_object_new_object ();

	add_string (o, "order_id", order->id);
	add_string (o, "sender", po->sender);
	add_uint64 (o, "fence", po->fence);
	add_string (o, "action", action_name ((enum sm_order_kind)order->kind));
	add_string (o, "domain", order->domain);
	add_string (o, "endpoint", order->endpoint);
	add_string (o, "model", order->model);
	add_string (o, "role", order->role);
	if (order->reclaimable)
		json_object_object_add (o, "reclaimable",
					json_object_new_boolean (true));
	post_json (plat, "/v1/orders", o, g, cb, ctx);
}

static void
add_counts (struct json_object *o, const char *prefix,
	    const struct sm_counts *n)
{
	const struct {
		const char *name;
		uint64_t count;
	} rows[] = {
		{"requests", n->requests},
		{"prompt_tokens", n->prompt_tokens},
		{"completion_tokens", n->completion_tokens},
		{"refused", n->refused},
		{"wasted_tokens", n->wasted_tokens},
	};
	char name[48];

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		/* Late counts are rare; those that are 0 are left out. */
		if (prefix[0] != '\0' && rows[i].count == 0)
			continue;
		g_snprintf (name, sizeof name, "%s%s", prefix, rows[i].name);
		add_uint64 (o, name, rows[i].count);
	}
}

static void
http_report (void *plat, const struct plat_report *r,
	     const struct plat_guard *g, plat_answer_cb cb, void *ctx)
{
	const struct sm_window *w = r->window;
	const struct sm_figure *f = w->figures.items;
	struct json_object *o = json_object_new_object ();
	struct json_object *rows = json_object_new_array ();

	add_string (o, "report_id", w->report_id);
	add_uint64 (o, "window", w->window_ms);
	add_uint64 (o, "length_ms", w->length_ms);
	add_string (o, "sender", r->sender);
	add_uint64 (o, "fence", r->fence);
	for (uint32_t i = 0; i < w->figures.count; i++) {
		struct json_object *row = json_object_new_object ();

		add_string (row, "account", f[i].account);
		add_string (row, "class", f[i].klass);
		add_counts (row, "", &f[i].n);
		add_counts (row, "late_", &f[i].late);
		json_object_array_add (rows, row);
	}
	json_object_object_add (o, "rows", rows);
	post_json (plat, "/v1/usage", o, g, cb, ctx);
}

static enum plat_state
parse_state (const char *s)
{
	if (strcmp (s, "leaving") == 0)
		return PLAT_LEAVING;
	return strcmp (s, "gone") == 0 ? PLAT_TERMINATED : PLAT_LIVE;
}

static void
on_list (const struct httpc_reply *r, const struct err *e, void *ctx)
{
	struct call *call = ctx;
	struct json_object *o = e == NULL ? parse_object (r) : NULL;
	struct json_object *a = get_array (o, "instances");
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct plat_instance));
	struct err protocol_err;

	for (size_t i = 0;
	     a != NULL && i < json_object_array_length (a) && i < PLAT_LIST_MAX;
	     i++) {
		struct json_object *row = json_object_array_get_idx (a, i);
		struct plat_instance in = {0};

		if (!json_object_is_type (row, json_type_object))
			continue;
		g_strlcpy (in.name, get_string (row, "name"), sizeof in.name);
		g_strlcpy (in.domain, get_string (row, "domain"),
			   sizeof in.domain);
		g_strlcpy (in.addr, get_string (row, "addr"), sizeof in.addr);
		in.state = parse_state (get_string (row, "state"));
		if (in.name[0] != '\0')
			g_array_append_val (out, in);
	}
	if (e == NULL && a == NULL) {
		err_set (&protocol_err, ERR_PROTOCOL,
			 "platform: status %d without a list of instances",
			 r->status);
		e = &protocol_err;
	}
	call->list ((const void *)out->data, out->len, e, call->ctx);
	g_array_free (out, TRUE);
	json_object_put (o);
	call_free (call);
}

static void
on_notices (const struct httpc_reply *r, const struct err *e, void *ctx)
{
	struct call *call = ctx;
	struct json_object *o = e == NULL ? parse_object (r) : NULL;
	struct json_object *a = get_array (o, "notices");
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct plat_notice));
	struct err protocol_err;

	for (size_t i = 0;
	     a != NULL && i < json_object_array_length (a) && i < PLAT_LIST_MAX;
	     i++) {
		struct json_object *row = json_object_array_get_idx (a, i);
		struct plat_notice n = {0};

		if (!json_object_is_type (row, json_type_object))
			continue;
		n.seq = get_uint64 (row, "seq");
		n.terminates_at_ms = get_uint64 (row, "gone_at_ms");
		g_strlcpy (n.domain, get_string (row, "domain"),
			   sizeof n.domain);
		g_strlcpy (n.endpoint, get_string (row, "endpoint"),
			   sizeof n.endpoint);
		g_array_append_val (out, n);
	}
	if (e == NULL && a == NULL) {
		err_set (&protocol_err, ERR_PROTOCOL,
			 "platform: status %d without a list of notices",
			 r->status);
		e = &protocol_err;
	}
	call->notices ((const void *)out->data, out->len, e, call->ctx);
	g_array_free (out, TRUE);
	json_object_put (o);
	call_free (call);
}

static void
http_list (void *plat, plat_list_cb cb, void *ctx)
{
	struct plat_http *p = plat;
	struct call *call = call_new (p, ctx);
	struct httpc_req req = {.method = "GET",
				.path = "/v1/instances",
				.timeout_ms = READ_TIMEOUT_MS,
				.fresh = true};

	call->list = cb;
	call->c = httpc_fetch (&p->peer, &req, ANSWER_MAX_BYTES, on_list, call);
}

static void
http_notices (void *plat, plat_notice_cb cb, void *ctx)
{
	struct plat_http *p = plat;
	struct call *call = call_new (p, ctx);
	struct httpc_req req = {.method = "GET",
				.path = "/v1/notices",
				.timeout_ms = READ_TIMEOUT_MS};

	call->notices = cb;
	call->c = httpc_fetch (&p->peer, &req, ANSWER_MAX_BYTES, on_notices,
			       call);
}

const struct plat_ops plat_http_ops = {
	.list = http_list,
	.notices = http_notices,
	.order = http_order,
	.report = http_report,
};
