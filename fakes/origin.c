/*
 * Stand-in for an endpoint of relays and for the platform's list, which holds
 * this endpoint alone.  Requests of paths that begin with /held/ are not
 * answered; those with /large/ get a large answer.
 */
#include <string.h>

#include "fake.h"

/** struct origin - the stand-in */
struct origin {
	struct fake f;
	uint64_t large_bytes;
	uint64_t answered;
	uint64_t held;
	uint64_t body_bytes;
};

#define AT(member) offsetof (struct origin, member)

static const struct fake_knob knobs[] = {
	{"large_bytes", FAKE_U64, AT (large_bytes), "1048576",
	 "of the answer to a request under /large/"},
	{NULL, FAKE_U64, 0, NULL, NULL},
};

static void
answer_list (struct origin *o, h2o_req_t *req)
{
	char *text = g_strdup_printf (
		"{\"instances\":[{\"id\":\"i-1\",\"service\":\"s\",\"address\":"
		"\"127.0.0.1:%u\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":"
		"1000,\"state\":\"ready\",\"cold_remaining_ms\":0}],"
		"\"next\":null}",
		o->f.httpd.port);

	httpd_answer_json (req, 200, text);
	g_free (text);
}

static bool
begins (const h2o_req_t *req, const char *path)
{
	size_t len = strlen (path);

	return req->path.len >= len && memcmp (req->path.base, path, len) == 0;
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct origin *o = ctx;
	h2o_iovec_t id = httpd_header (req, "x-request-id");
	char *text, *name;
	size_t len;

	if (begins (req, "/instances")) {
		answer_list (o, req);
		return 0;
	}
	if (begins (req, "/held/")) {
		o->held++;
		return 0;
	}
	o->answered++;
	o->body_bytes += req->entity.len;
	name = g_strndup (id.base != NULL ? id.base : "", id.len);
	len = begins (req, "/large/") ? o->large_bytes : 3;
	text = g_malloc (len);
	memset (text, 'a', len);
	httpd_add_header (req, "x-request-id", name);
	httpd_add_header (req, "x-response-seal", "i-1");
	httpd_answer (req, 200, "text/plain", text, len);
	g_free (text);
	g_free (name);
	return 0;
}

static void
on_start (struct fake *f, void *ctx)
{
	(void)f;
	(void)ctx;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct origin *o = ctx;

	json_object_object_add (out, "answered",
				json_object_new_int64 ((int64_t)o->answered));
	json_object_object_add (out, "held",
				json_object_new_int64 ((int64_t)o->held));
	json_object_object_add (out, "body_bytes",
				json_object_new_int64 ((int64_t)o->body_bytes));
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-origin",
		.doc = "Stand-in for an endpoint and the list with it.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct origin o;

	return fake_main (&o.f, &ops, &o, argc, argv);
}
