/*
 * Stand-in for the platform's list and for the endpoints on it, in two versions
 * of one service.  It is to listen at 0.0.0.0: every endpoint has an address of
 * its own in 127.0.0.0/8, and requests name the endpoint that they are for.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

/** struct versions - the stand-in */
struct versions {
	struct fake f;
	uint64_t old, fresh;
	uint64_t delay_ms;
	double bad_share;
	uint64_t bad_ms;
	uint64_t old_got, new_got, bad;
	uint64_t new_got_late; /* after "mark" was set */
	uint64_t mark;
};

#define AT(member) offsetof (struct versions, member)

static const struct fake_knob knobs[] = {
	{"old", FAKE_U64, AT (old), "4", "endpoints of version v1"},
	{"new", FAKE_U64, AT (fresh), "0", "endpoints of version v2"},
	{"delay_ms", FAKE_U64, AT (delay_ms), "10", "before each answer"},
	{"bad_share", FAKE_F64, AT (bad_share), "0",
	 "share of answers of v2 that are bad"},
	{"bad_ms", FAKE_U64, AT (bad_ms), "0",
	 "delay of bad answers; 0: they are errors"},
	{"mark", FAKE_U64, AT (mark), "0", "1: count late requests"},
	{NULL, FAKE_U64, 0, NULL, NULL},
};

static struct json_object *
entry (const struct versions *v, uint64_t i, bool is_new)
{
	struct json_object *o = json_object_new_object ();
	char text[64];

	g_snprintf (text, sizeof text, "%s-%u", is_new ? "new" : "old",
		    (unsigned)i);
	json_object_object_add (o, "id", json_object_new_string (text));
	json_object_object_add (o, "service", json_object_new_string ("s"));
	g_snprintf (text, sizeof text, "127.1.%u.%u:%u", is_new,
		    (unsigned)i + 1, ntohs (v->f.addr.sin_port));
	json_object_object_add (o, "address", json_object_new_string (text));
	g_snprintf (text, sizeof text, "z%u", (unsigned)(i % 3 + 1));
	json_object_object_add (o, "zone", json_object_new_string (text));
	json_object_object_add (o, "version",
				json_object_new_string (is_new ? "v2" : "v1"));
	json_object_object_add (o, "slots", json_object_new_int (64));
	json_object_object_add (o, "state", json_object_new_string ("ready"));
	json_object_object_add (o, "cold_remaining_ms",
				json_object_new_int (0));
	return o;
}

static void
answer_list (struct versions *v, h2o_req_t *req)
{
	struct json_object *o = json_object_new_object ();
	struct json_object *list = json_object_new_array ();

	for (uint64_t i = 0; i < v->old; i++)
		json_object_array_add (list, entry (v, i, false));
	for (uint64_t i = 0; i < v->fresh; i++)
		json_object_array_add (list, entry (v, i, true));
	json_object_object_add (o, "instances", list);
	json_object_object_add (o, "next", NULL);
	fake_answer (req, 200, o);
}

static void
copy_header (h2o_req_t *req, const char *name)
{
	h2o_iovec_t x = httpd_header (req, name);

	if (x.base != NULL)
		h2o_add_header_by_str (&req->pool, &req->res.headers, name,
				       strlen (name), 0, NULL, x.base, x.len);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct versions *v = ctx;
	h2o_iovec_t id = httpd_header (req, "x-expect-instance");
	bool is_new, is_bad;

	if (h2o_memis (req->path_normalized.base, req->path_normalized.len,
		       H2O_STRLIT ("/instances"))) {
		answer_list (v, req);
		return 0;
	}
	if (id.base == NULL)
		return -1;
	is_new = id.len > 4 && memcmp (id.base, "new-", 4) == 0;
	is_bad = is_new && g_rand_double (v->f.rand) < v->bad_share;
	v->old_got += !is_new;
	v->new_got += is_new;
	v->new_got_late += is_new && v->mark > 0;
	v->bad += is_bad;
	copy_header (req, "x-request-id");
	h2o_add_header_by_str (&req->pool, &req->res.headers,
			       H2O_STRLIT ("x-response-seal"), 0, NULL, id.base,
			       id.len);
	fake_answer_late (&v->f, req, is_bad && v->bad_ms == 0 ? 500 : 200,
			  json_object_new_object (),
			  is_bad && v->bad_ms > 0 ? v->bad_ms : v->delay_ms,
			  false);
	return 0;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct versions *v = ctx;
	const struct {
		const char *name;
		uint64_t n;
	} counts[] = {
		{"old_got", v->old_got},
		{"new_got", v->new_got},
		{"new_got_late", v->new_got_late},
		{"bad", v->bad},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (counts); i++)
		json_object_object_add (
			out, counts[i].name,
			json_object_new_int64 ((int64_t)counts[i].n));
}

static void
on_start (struct fake *f, void *ctx)
{
	(void)f;
	(void)ctx;
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-versions",
		.doc = "Stand-in for endpoints in two versions.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct versions v;

	return fake_main (&v.f, &ops, &v, argc, argv);
}
