/*
 * Stand-in for the list of endpoints that relays' platform keeps, as long as it
 * is wanted.
 */
#include <stdlib.h>
#include <string.h>

#include "fake.h"

/** struct cloud - the stand-in */
struct cloud {
	struct fake f;
	uint64_t endpoints;
	uint64_t page;
	uint64_t domains;
	uint64_t changing;
	uint64_t lists;
};

#define AT(member) offsetof (struct cloud, member)

static const struct fake_knob knobs[] = {
	{"endpoints", FAKE_U64, AT (endpoints), "100", "on the list"},
	{"page", FAKE_U64, AT (page), "500", "entries of a page"},
	{"domains", FAKE_U64, AT (domains), "3", "failure domains"},
	{"changing", FAKE_U64, AT (changing), "0",
	 "endpoints that are others in each list"},
	{NULL, FAKE_U64, 0, NULL, NULL},
};

/* Names that can't be compressed, as the platform's. */
static uint32_t
name_of (const struct cloud *c, uint64_t i)
{
	uint64_t start = i < c->changing ? c->lists : 0;
	uint64_t x =
		(i + 1) * 0x9e3779b97f4a7c15U + start * 0xbf58476d1ce4e5b9U;

	x ^= x >> 29;
	return (uint32_t)(x * 0x94d049bb133111ebU >> 32);
}

static struct json_object *
entry (const struct cloud *c, uint64_t i)
{
	struct json_object *o = json_object_new_object ();
	char text[64];

	g_snprintf (text, sizeof text, "i-%08x", name_of (c, i));
	json_object_object_add (o, "id", json_object_new_string (text));
	json_object_object_add (o, "service", json_object_new_string ("s"));
	g_snprintf (text, sizeof text, "10.%u.%u.%u:8080",
		    (unsigned)(i >> 16) & 255, (unsigned)(i >> 8) & 255,
		    (unsigned)i & 255);
	json_object_object_add (o, "address", json_object_new_string (text));
	g_snprintf (text, sizeof text, "z%u", (unsigned)(i % c->domains + 1));
	json_object_object_add (o, "zone", json_object_new_string (text));
	json_object_object_add (o, "version", json_object_new_string ("v1"));
	json_object_object_add (o, "slots", json_object_new_int (64));
	json_object_object_add (o, "state", json_object_new_string ("ready"));
	json_object_object_add (o, "cold_remaining_ms",
				json_object_new_int (0));
	return o;
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct cloud *c = ctx;
	struct json_object *o, *list;
	const char *at;
	uint64_t from = 0;
	char next[32];

	if (!h2o_memis (req->path_normalized.base, req->path_normalized.len,
			H2O_STRLIT ("/instances")))
		return -1;
	at = g_strstr_len (req->path.base, (gssize)req->path.len,
			   "page_token=");
	if (at != NULL)
		from = strtoull (at + strlen ("page_token="), NULL, 10);
	else
		c->lists++;
	o = json_object_new_object ();
	list = json_object_new_array ();
	for (uint64_t i = from; i < MIN (from + c->page, c->endpoints); i++)
		json_object_array_add (list, entry (c, i));
	json_object_object_add (o, "instances", list);
	g_snprintf (next, sizeof next, "%" G_GUINT64_FORMAT, from + c->page);
	json_object_object_add (o, "next",
				from + c->page < c->endpoints
					? json_object_new_string (next)
					: NULL);
	fake_answer (req, 200, o);
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
	const struct cloud *c = ctx;

	json_object_object_add (out, "lists",
				json_object_new_int64 ((int64_t)c->lists));
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-cloud",
		.doc = "Stand-in for the platform's list of endpoints.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct cloud c;

	return fake_main (&c.f, &ops, &c, argc, argv);
}
