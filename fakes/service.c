/*
 * Stand-in for a plain service, such as a press desk or a tag register.  Any
 * POST runs its call and counts it under the tag it carries; any GET reads.
 *
 * The tag is the member "tag" of a JSON body, else the body's text.  /_ran
 * tells how often each tag ran, whatever became of the answers.
 */
#include <string.h>

#include "fake.h"

/** struct service - the stand-in */
struct service {
	struct fake f;
	uint64_t delay_ms;
	uint64_t lose;
	uint64_t refuse;
	uint64_t crash_after;
	uint64_t hang;
	uint64_t ran;
	uint64_t read;
	uint64_t twice;
	uint64_t lost;
	uint64_t with_key; /* runs that carried an idempotency key */
};

#define AT(member) offsetof (struct service, member)

static const struct fake_knob knobs[] = {
	{"delay_ms", FAKE_U64, AT (delay_ms), "0", "before each answer"},
	{"lose", FAKE_U64, AT (lose), "0", "answers to lose after running"},
	{"refuse", FAKE_U64, AT (refuse), "0", "1: answer 503, run nothing"},
	{"hang", FAKE_U64, AT (hang), "0", "1: run, but never answer"},
	{"crash_after", FAKE_U64, AT (crash_after), "0",
	 "end the process after running so many more calls"},
	{0},
};

static char *
request_tag (h2o_req_t *req)
{
	struct json_object *body = fake_body (req);
	const char *tag = fake_str (body, "tag", NULL);
	char *copy = tag != NULL
			     ? g_strdup (tag)
			     : g_strndup (req->entity.base, req->entity.len);

	json_object_put (body);
	return copy;
}

static bool
lose_now (struct service *s)
{
	if (s->lose == 0)
		return false;
	s->lose--;
	s->lost++;
	return true;
}

static void
run_call (struct service *s, h2o_req_t *req)
{
	struct json_object *o = json_object_new_object ();
	char *tag = request_tag (req);
	uint64_t count = fake_ran (&s->f, tag);

	s->ran++;
	s->twice += count == 2;
	s->with_key += httpd_header (req, "idempotency-key").base != NULL;
	json_object_object_add (o, "tag", json_object_new_string (tag));
	json_object_object_add (o, "run",
				json_object_new_int64 ((int64_t)s->ran));
	g_free (tag);
	if (s->crash_after > 0 && --s->crash_after == 0)
		fake_crash (req, 0);
	if (s->hang) {
		json_object_put (o);
		return;
	}
	fake_answer_late (&s->f, req, 200, o, s->delay_ms, lose_now (s));
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct service *s = ctx;
	struct json_object *o;

	if (s->refuse) {
		fake_error (req, 503, "refused");
		return 0;
	}
	if (h2o_memis (req->method.base, req->method.len,
		       H2O_STRLIT ("POST"))) {
		run_call (s, req);
		return 0;
	}
	s->read++;
	o = json_object_new_object ();
	json_object_object_add (o, "path",
				json_object_new_string_len (
					req->path.base, (int)req->path.len));
	json_object_object_add (o, "stock", json_object_new_int (12));
	fake_answer_late (&s->f, req, 200, o, s->delay_ms, false);
	return 0;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct service *s = ctx;
	const struct {
		const char *name;
		uint64_t n;
	} counts[] = {
		{"ran", s->ran},           {"read", s->read},
		{"ran_twice", s->twice},   {"answers_lost", s->lost},
		{"with_key", s->with_key},
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
		.prog = "fake-service",
		.doc = "Stand-in for a plain service.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct service s;

	return fake_main (&s.f, &ops, &s, argc, argv);
}
