/*
 * Stand-in for the platform: the list of instances, orders for endpoints,
 * usage reports, notices of reclaim and the weight store.  It records all
 * that arrives, with time and sender.
 *
 * GET  /v1/instances    {"as_of_ms", "instances": [{"name", "domain", "addr",
 *                       "kind", "state": live|leaving|gone, ...}]}, lagging
 * GET  /v1/notices      {"notices": [{"seq", "domain" or "endpoint",
 *                       "gone_at_ms"}]}, at once
 * POST /v1/orders       {"order_id", "sender", "fence", "action": order|
 *                       release|role|load, "domain", "endpoint", "model",
 *                       "role", "count", "reclaimable"}
 *                       200 {"order_id", "accepted": true, "repeat",
 *                       "endpoints": [names]}
 *                       409 {"error": "stale_fence", "fence": highest}
 *                       409 {"error": "order_id_reused"}
 * POST /v1/usage        {"report_id", "window", "sender", "fence", "rows"}
 *                       200 {"accepted": true, "repeat"}
 * GET  /v1/weights/NAME 200 {"model", "bytes"}; 429 past the rate
 *
 * For tests: POST /_instances with one instance or an array of them, POST
 * /_notice, GET /_orders and GET /_usage for what arrived.
 */
#include <stdio.h>
#include <string.h>

#include "fake.h"
#include "tmr.h"

/** struct platform - the stand-in */
struct platform {
	struct fake f;
	struct json_object *instances; /* name to object */
	GQueue shown;                  /* of struct shown, oldest first */
	struct json_object *notices;
	struct json_object *orders; /* arrivals, in order */
	struct json_object *usage;
	GHashTable *answers; /* order id to struct answered */
	GHashTable *reports; /* report id to text of its first body */
	GHashTable *fences;  /* endpoint or domain to highest fence */
	double weight_tokens;
	uint64_t weight_at_ms;
	uint64_t made;
	/* knobs */
	uint64_t list_lag_ms;
	uint64_t slow_ms;
	uint64_t lose;
	uint64_t refuse;
	uint64_t checks_fence;
	char ignores[FAKE_STR_BYTES];
	char addrs[FAKE_STR_BYTES];
	double weights_per_s;
	double weights_burst;
	uint64_t weights_ms;
	/* counters */
	uint64_t stale;
	uint64_t order_repeats;
	uint64_t order_conflicts;
	uint64_t usage_repeats;
	uint64_t usage_conflicts;
	uint64_t weights_refused;
	uint64_t weights_served;
};

/** struct shown - the list as it stood from some time on */
struct shown {
	uint64_t at_ms;
	uint64_t wall_ms;
	char *text;
};

/** struct answered - the first answer to an order */
struct answered {
	char *body;
	char *reply;
};

#define AT(member) offsetof (struct platform, member)

static const struct fake_knob knobs[] = {
	{"list_lag_ms", FAKE_U64, AT (list_lag_ms), "0",
	 "age of the list of instances"},
	{"slow_ms", FAKE_U64, AT (slow_ms), "0", "before each answer"},
	{"lose", FAKE_U64, AT (lose), "0",
	 "answers to writes to lose after doing what was asked"},
	{"refuse", FAKE_U64, AT (refuse), "0", "1: answer 503 to everything"},
	{"checks_fence", FAKE_U64, AT (checks_fence), "1",
	 "0: no endpoint rejects old fencing numbers"},
	{"ignores", FAKE_STR, AT (ignores), "",
	 "endpoints and domains that ignore fencing numbers, by commas"},
	{"addrs", FAKE_STR, AT (addrs), "",
	 "addresses of the endpoints that orders make, in turn, by commas"},
	{"weights_per_s", FAKE_F64, AT (weights_per_s), "1",
	 "rate of the weight store"},
	{"weights_burst", FAKE_F64, AT (weights_burst), "1", "its burst"},
	{"weights_ms", FAKE_U64, AT (weights_ms), "50", "time of a load"},
	{0},
};

static void
add_int (struct json_object *o, const char *name, uint64_t n)
{
	json_object_object_add (o, name, json_object_new_int64 ((int64_t)n));
}

static void
add_str (struct json_object *o, const char *name, const char *s)
{
	json_object_object_add (o, name, json_object_new_string (s));
}

static void
answer (struct platform *p, h2o_req_t *req, int status, struct json_object *o)
{
	/* Lists are read all the time; what a test loses is a write. */
	bool lose = p->lose > 0 && h2o_memis (req->method.base, req->method.len,
					      H2O_STRLIT ("POST"));

	p->lose -= lose;
	fake_answer_late (&p->f, req, status, o, p->slow_ms, lose);
}

static void
show_instances (struct platform *p)
{
	struct shown *s = g_new0 (struct shown, 1);
	struct json_object *list = json_object_new_array ();

	{
		json_object_object_foreach (p->instances, name, v)
		{
			(void)name;
			json_object_array_add (list, json_object_get (v));
		}
	}
	s->at_ms = tmr_now_ms ();
	s->wall_ms = tmr_wall_ms ();
	s->text = g_strdup (
		json_object_to_json_string_ext (list, JSON_C_TO_STRING_PLAIN));
	json_object_put (list);
	g_queue_push_tail (&p->shown, s);
}

static void
instance_put (struct platform *p, struct json_object *o)
{
	const char *name = fake_str (o, "name", NULL);
	struct json_object *old = NULL;

	if (name == NULL)
		return;
	if (!json_object_object_get_ex (p->instances, name, &old)) {
		old = json_object_new_object ();
		add_str (old, "name", name);
		add_str (old, "state", "live");
		json_object_object_add (p->instances, name, old);
	}
	json_object_object_foreach (o, member, v)
	{
		json_object_object_add (old, member, json_object_get (v));
	}
	add_int (old, "since_ms", tmr_wall_ms ());
}

static void
take_instances (struct platform *p, h2o_req_t *req)
{
	struct json_object *body = fake_body (req);

	if (json_object_is_type (body, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length (body); i++)
			instance_put (p, json_object_array_get_idx (body, i));
	} else if (json_object_is_type (body, json_type_object)) {
		instance_put (p, body);
	}
	json_object_put (body);
	show_instances (p);
	httpd_answer_json (req, 200, "{}");
}

static void
answer_instances (struct platform *p, h2o_req_t *req)
{
	uint64_t then = tmr_now_ms () - p->list_lag_ms;
	const struct shown *now = NULL;
	struct json_object *o = json_object_new_object ();

	for (GList *l = p->shown.head; l != NULL; l = l->next) {
		const struct shown *s = l->data;

		if (s->at_ms <= then)
			now = s;
	}
	add_int (o, "as_of_ms", tmr_wall_ms () - p->list_lag_ms);
	json_object_object_add (
		o, "instances",
		json_tokener_parse (now != NULL ? now->text : "[]"));
	answer (p, req, 200, o);
}

static void
take_notice (struct platform *p, h2o_req_t *req)
{
	struct json_object *body = fake_body (req);
	struct json_object *n = json_object_new_object ();
	const char *domain = fake_str (body, "domain", NULL);
	const char *endpoint = fake_str (body, "endpoint", NULL);

	add_int (n, "seq", json_object_array_length (p->notices) + 1);
	if (domain != NULL)
		add_str (n, "domain", domain);
	if (endpoint != NULL)
		add_str (n, "endpoint", endpoint);
	add_int (n, "gone_at_ms",
		 tmr_wall_ms () +
			 (uint64_t)fake_int (body, "gone_in_ms", 5000));
	json_object_array_add (p->notices, n);
	json_object_put (body);
	httpd_answer_json (req, 200, "{}");
}

static bool
ignores_fence (const struct platform *p, const char *target)
{
	char **names;
	bool found;

	if (!p->checks_fence)
		return true;
	names = g_strsplit (p->ignores, ",", -1);
	found = g_strv_contains ((const gchar *const *)names, target);
	g_strfreev (names);
	return found;
}

/* Fencing is by endpoint where the order names one, else by domain. */
static bool
fence_passes (struct platform *p, const char *target, uint64_t fence)
{
	uint64_t *highest = g_hash_table_lookup (p->fences, target);

	if (highest == NULL) {
		highest = g_new0 (uint64_t, 1);
		g_hash_table_insert (p->fences, g_strdup (target), highest);
	}
	if (fence >= *highest) {
		*highest = fence;
		return true;
	}
	return ignores_fence (p, target);
}

static void
record_order (struct platform *p, struct json_object *body, const char *verdict)
{
	struct json_object *o = json_object_new_object ();

	json_object_object_foreach (body, name, v)
	{
		json_object_object_add (o, name, json_object_get (v));
	}
	add_int (o, "arrived_ms", tmr_wall_ms ());
	add_int (o, "arrived_mono_us", tmr_now_us ());
	add_str (o, "verdict", verdict);
	json_object_array_add (p->orders, o);
}

/* The address of the instance made last; none where no more are known. */
static void
add_addr (const struct platform *p, struct json_object *o)
{
	char **addrs = g_strsplit (p->addrs, ",", -1);

	if (p->made <= g_strv_length (addrs) && addrs[p->made - 1][0] != '\0')
		add_str (o, "addr", addrs[p->made - 1]);
	g_strfreev (addrs);
}

/* An order for new endpoints makes instances that are live at once. */
static struct json_object *
carry_out (struct platform *p, struct json_object *body)
{
	const char *action = fake_str (body, "action", "");
	const char *endpoint = fake_str (body, "endpoint", "");
	struct json_object *names = json_object_new_array (), *o;
	int64_t count = fake_int (body, "count", 1);
	char name[64];

	if (strcmp (action, "order") == 0) {
		for (int64_t i = 0; i < count && i < 64; i++) {
			o = json_object_new_object ();
			snprintf (name, sizeof name, "x%" PRIu64, ++p->made);
			add_str (o, "name", name);
			add_str (o, "domain", fake_str (body, "domain", ""));
			add_addr (p, o);
			instance_put (p, o);
			json_object_put (o);
			json_object_array_add (names,
					       json_object_new_string (name));
		}
	} else if (strcmp (action, "release") == 0) {
		o = json_object_new_object ();
		add_str (o, "name", endpoint);
		add_str (o, "state", "leaving");
		instance_put (p, o);
		json_object_put (o);
	}
	if (json_object_array_length (names) == 0 && endpoint[0] != '\0')
		json_object_array_add (names,
				       json_object_new_string (endpoint));
	show_instances (p);
	return names;
}

static void
accept_order (struct platform *p, h2o_req_t *req, struct json_object *body,
	      const char *id, const char *text)
{
	struct json_object *o = json_object_new_object ();
	struct answered *a = g_new0 (struct answered, 1);

	record_order (p, body, "accepted");
	add_str (o, "order_id", id);
	json_object_object_add (o, "accepted", json_object_new_boolean (true));
	json_object_object_add (o, "endpoints", carry_out (p, body));
	a->body = g_strdup (text);
	a->reply = g_strdup (
		json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
	g_hash_table_insert (p->answers, g_strdup (id), a);
	json_object_object_add (o, "repeat", json_object_new_boolean (false));
	answer (p, req, 200, o);
}

static void
repeat_order (struct platform *p, h2o_req_t *req, struct json_object *body,
	      const struct answered *a)
{
	struct json_object *o = json_tokener_parse (a->reply);

	p->order_repeats++;
	record_order (p, body, "repeat");
	json_object_object_add (o, "repeat", json_object_new_boolean (true));
	answer (p, req, 200, o);
}

static void
refuse_order (struct platform *p, h2o_req_t *req, struct json_object *body,
	      const char *why)
{
	struct json_object *o = json_object_new_object ();

	record_order (p, body, why);
	add_str (o, "error", why);
	answer (p, req, 409, o);
}

/* What makes two orders the same order: all but who sent it, and when. */
static char *
order_text (struct json_object *body)
{
	return g_strdup_printf (
		"%s %s %s %s %s %" PRId64, fake_str (body, "action", ""),
		fake_str (body, "domain", ""), fake_str (body, "endpoint", ""),
		fake_str (body, "model", ""), fake_str (body, "role", ""),
		fake_int (body, "count", 1));
}

static void
take_order (struct platform *p, h2o_req_t *req)
{
	struct json_object *body = fake_body (req);
	const char *id = fake_str (body, "order_id", NULL);
	const char *endpoint = fake_str (body, "endpoint", "");
	const char *target =
		endpoint[0] != '\0' ? endpoint : fake_str (body, "domain", "");
	const struct answered *a;
	char *text;

	if (id == NULL || fake_str (body, "action", NULL) == NULL) {
		fake_error (req, 400, "order_id and action are needed");
		json_object_put (body);
		return;
	}
	a = g_hash_table_lookup (p->answers, id);
	text = order_text (body);
	if (!fence_passes (p, target, (uint64_t)fake_int (body, "fence", 0))) {
		p->stale++;
		refuse_order (p, req, body, "stale_fence");
	} else if (a != NULL && strcmp (a->body, text) != 0) {
		p->order_conflicts++;
		refuse_order (p, req, body, "order_id_reused");
	} else if (a != NULL) {
		repeat_order (p, req, body, a);
	} else {
		accept_order (p, req, body, id, text);
	}
	g_free (text);
	json_object_put (body);
}

/* The figures of a report: what must be equal in every copy of it. */
static char *
report_figures (struct json_object *body)
{
	struct json_object *rows = NULL;

	json_object_object_get_ex (body, "rows", &rows);
	return g_strdup_printf (
		"%" PRId64 " %s", fake_int (body, "window", -1),
		json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
}

static void
take_usage (struct platform *p, h2o_req_t *req)
{
	struct json_object *body = fake_body (req), *o;
	const char *id = fake_str (body, "report_id", NULL);
	const char *first;
	char *text;
	bool repeat, same;

	if (id == NULL) {
		fake_error (req, 400, "report_id is needed");
		json_object_put (body);
		return;
	}
	text = report_figures (body);
	first = g_hash_table_lookup (p->reports, id);
	repeat = first != NULL;
	same = !repeat || strcmp (first, text) == 0;
	p->usage_repeats += repeat && same;
	p->usage_conflicts += !same;
	if (!repeat)
		g_hash_table_insert (p->reports, g_strdup (id),
				     g_strdup (text));
	g_free (text);
	add_int (body, "arrived_ms", tmr_wall_ms ());
	add_str (body, "verdict",
		 !same    ? "conflict"
		 : repeat ? "repeat"
			  : "accepted");
	json_object_array_add (p->usage, body);
	o = json_object_new_object ();
	json_object_object_add (o, "accepted", json_object_new_boolean (same));
	json_object_object_add (o, "repeat", json_object_new_boolean (repeat));
	answer (p, req, same ? 200 : 409, o);
}

static void
answer_weights (struct platform *p, h2o_req_t *req)
{
	uint64_t now = tmr_now_ms ();
	struct json_object *o = json_object_new_object ();

	p->weight_tokens +=
		(double)(now - p->weight_at_ms) / 1000 * p->weights_per_s;
	p->weight_at_ms = now;
	if (p->weight_tokens > p->weights_burst)
		p->weight_tokens = p->weights_burst;
	if (p->weight_tokens < 1) {
		p->weights_refused++;
		add_str (o, "error", "rate_limit");
		h2o_add_header (&req->pool, &req->res.headers,
				H2O_TOKEN_RETRY_AFTER, NULL, H2O_STRLIT ("1"));
		answer (p, req, 429, o);
		return;
	}
	p->weight_tokens -= 1;
	p->weights_served++;
	json_object_object_add (
		o, "model",
		json_object_new_string_len (req->path.base + 12,
					    (int)req->path.len - 12));
	add_int (o, "bytes", 1000000);
	fake_answer_late (&p->f, req, 200, o, p->weights_ms, false);
}

static void
answer_copy (h2o_req_t *req, const char *name, struct json_object *list)
{
	struct json_object *o = json_object_new_object ();

	json_object_object_add (o, name, json_object_get (list));
	fake_answer (req, 200, o);
}

static bool
admin_request (struct platform *p, h2o_req_t *req)
{
	if (httpd_path_is (req, "/_instances"))
		take_instances (p, req);
	else if (httpd_path_is (req, "/_notice"))
		take_notice (p, req);
	else if (httpd_path_is (req, "/_orders"))
		answer_copy (req, "orders", p->orders);
	else if (httpd_path_is (req, "/_usage"))
		answer_copy (req, "reports", p->usage);
	else
		return false;
	return true;
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct platform *p = ctx;
	struct json_object *o;

	if (admin_request (p, req))
		return 0;
	if (p->refuse) {
		fake_error (req, 503, "refused");
	} else if (httpd_path_is (req, "/v1/instances")) {
		answer_instances (p, req);
	} else if (httpd_path_is (req, "/v1/notices")) {
		o = json_object_new_object ();
		json_object_object_add (o, "notices",
					json_object_get (p->notices));
		answer (p, req, 200, o);
	} else if (httpd_path_is (req, "/v1/orders")) {
		take_order (p, req);
	} else if (httpd_path_is (req, "/v1/usage")) {
		take_usage (p, req);
	} else if (req->path.len > 12 &&
		   memcmp (req->path.base, "/v1/weights/", 12) == 0) {
		answer_weights (p, req);
	} else {
		return -1;
	}
	return 0;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct platform *p = ctx;

	add_int (out, "orders", json_object_array_length (p->orders));
	add_int (out, "order_repeats", p->order_repeats);
	add_int (out, "order_conflicts", p->order_conflicts);
	add_int (out, "stale_fences", p->stale);
	add_int (out, "reports", json_object_array_length (p->usage));
	add_int (out, "report_repeats", p->usage_repeats);
	add_int (out, "report_conflicts", p->usage_conflicts);
	add_int (out, "weights_served", p->weights_served);
	add_int (out, "weights_refused", p->weights_refused);
}

static void
answered_free (void *data)
{
	struct answered *a = data;

	g_free (a->body);
	g_free (a->reply);
	g_free (a);
}

static void
on_start (struct fake *f, void *ctx)
{
	struct platform *p = ctx;

	(void)f;
	p->instances = json_object_new_object ();
	p->notices = json_object_new_array ();
	p->orders = json_object_new_array ();
	p->usage = json_object_new_array ();
	p->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
					    answered_free);
	p->reports =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	p->fences =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	p->weight_tokens = p->weights_burst;
	p->weight_at_ms = tmr_now_ms ();
	g_queue_init (&p->shown);
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-platform",
		.doc = "Stand-in for the platform.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct platform p;

	return fake_main (&p.f, &ops, &p, argc, argv);
}
