/*
 * Stand-in for many relays of a group, as far as they fetch configurations:
 * each has a link to every member, and asks the first one that names a newer
 * version.  Nothing is parsed, so that one process stands for hundreds.
 */
#include <stdlib.h>
#include <string.h>

#include "fake.h"
#include "gmsg.h"
#include "link.h"
#include "planfetch.h"
#include "set_daemons.h"

#define MEMBERS_MAX 16

struct fetchers;

/** struct fetcher - one relay */
struct fetcher {
	struct fetchers *all;
	struct link_self self;
	struct planfetch fetch;
	uint64_t version; /* held */
	bool waits;       /* for a whole text */
	struct peer {
		struct fetcher *f;
		struct link *link;
	} peers[MEMBERS_MAX];
};

/** struct fetchers - the stand-in */
struct fetchers {
	struct fake f;
	char net[FAKE_STR_BYTES];
	char key_file[FAKE_STR_BYTES];
	uint64_t members;
	uint64_t port;
	uint64_t count;
	uint64_t whole;
	uint64_t bytes;
	struct fetcher *fetchers;
};

#define AT(member) offsetof (struct fetchers, member)

static const struct fake_knob knobs[] = {
	{"net", FAKE_STR, AT (net), "127.0.0", "member N is at NET.N"},
	{"key_file", FAKE_STR, AT (key_file), "", "of the cluster"},
	{"members", FAKE_U64, AT (members), "3", "how many"},
	{"port", FAKE_U64, AT (port), "0", "of all members"},
	{"count", FAKE_U64, AT (count), "1", "relays"},
	{"whole", FAKE_U64, AT (whole), "0",
	 "1: ask for whole texts, as versions before chunks do"},
	{NULL, FAKE_U64, 0, NULL, NULL},
};

static void
send_requests (struct fetcher *f)
{
	struct gmsg_request a = {.plan = true, .chunked = true};
	const struct peer *p = f->fetch.source.peer;

	while (planfetch_next (&f->fetch, &a.version, &a.offset))
		link_send (p->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
}

static void
on_state (struct peer *p, const struct gmsg_state *s)
{
	struct fetcher *f = p->f;
	struct gmsg_request whole = {.plan = true};

	if (s->version <= f->version || f->waits ||
	    f->fetch.source.peer != NULL)
		return;
	if (f->all->whole != 0) {
		f->waits = link_send (p->link, FRAME_GROUP_ASK,
				      gmsg_request_fields, &whole);
		return;
	}
	planfetch_ask (&f->fetch, p, tmr_now_ms ());
	send_requests (f);
}

static void
on_chunk (struct peer *p, const struct plantext_chunk *c, uint32_t wire_bytes)
{
	struct fetcher *f = p->f;
	struct err e = {0};
	enum planfetch_result got = planfetch_receive (
		&f->fetch, p, c, f->version, wire_bytes, tmr_now_ms (), &e);

	if (got == PLANFETCH_MORE)
		send_requests (f);
	if (got != PLANFETCH_WHOLE)
		return;
	f->version = c->version;
	planfetch_reset (&f->fetch);
}

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct peer *p = ctx;
	struct err e = {0};
	msgpack_zone zone;
	union {
		struct gmsg_state state;
		struct gmsg_plan plan;
		struct plantext_chunk chunk;
	} u;

	(void)l;
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (kind == FRAME_GROUP_STATE &&
	    msg_unpack (gmsg_state_fields, body, len, &u.state, &zone, &e)) {
		on_state (p, &u.state);
	} else if (kind == FRAME_GROUP_CHUNK &&
		   msg_unpack (plantext_chunk_fields, body, len, &u.chunk,
			       &zone, &e)) {
		p->f->all->bytes += len;
		on_chunk (p, &u.chunk, (uint32_t)len);
	} else if (kind == FRAME_GROUP_PLAN &&
		   msg_unpack (gmsg_plan_fields, body, len, &u.plan, &zone,
			       &e)) {
		p->f->all->bytes += len;
		p->f->version = u.plan.version;
		p->f->waits = false;
	}
	msgpack_zone_destroy (&zone);
}

static void
on_up (struct link *l, void *ctx)
{
	(void)l;
	(void)ctx;
}

static void
on_down (struct link *l, const char *why, void *ctx)
{
	struct peer *p = ctx;

	(void)l;
	(void)why;
	p->f->waits = false;
	source_drop (&p->f->fetch.source, p);
}

static const struct link_ops ops = {on_up, on_frame, on_down};

static void
fetcher_start (struct fetcher *f, uint32_t number)
{
	struct fetchers *all = f->all;

	planfetch_init (&f->fetch);
	g_snprintf (f->self.name, sizeof f->self.name, "fetcher-%u", number);
	g_strlcpy (f->self.role, "relay", sizeof f->self.role);
	f->self.incarnation = tmr_wall_ms ();
	if (!set_secret_load (all->key_file, f->self.cluster_key,
			      sizeof f->self.cluster_key, NULL)) {
		g_printerr ("fake-fetchers: no key in %s\n", all->key_file);
		exit (1);
	}
	for (uint32_t i = 0; i < MIN (all->members, MEMBERS_MAX); i++) {
		char *addr = g_strdup_printf ("%s.%u:%u", all->net, i + 1,
					      (uint32_t)all->port);
		struct sockaddr_in to;

		f->peers[i].f = f;
		if (link_addr_parse (addr, &to, NULL))
			f->peers[i].link =
				link_connect (all->f.daemon.loop, &f->self, &to,
					      &ops, &f->peers[i]);
		g_free (addr);
	}
}

static void
on_start (struct fake *f, void *ctx)
{
	struct fetchers *all = ctx;

	(void)f;
	all->fetchers = g_new0 (struct fetcher, all->count);
	for (uint32_t i = 0; i < all->count; i++) {
		all->fetchers[i].all = all;
		fetcher_start (&all->fetchers[i], i);
	}
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	(void)req;
	(void)ctx;
	return -1;
}

static void
on_seen (struct json_object *out, void *ctx)
{
	const struct fetchers *all = ctx;
	uint64_t least = all->count > 0 ? all->fetchers[0].version : 0;

	for (uint32_t i = 0; i < all->count; i++)
		least = MIN (least, all->fetchers[i].version);
	json_object_object_add (out, "version",
				json_object_new_int64 ((int64_t)least));
	json_object_object_add (out, "bytes",
				json_object_new_int64 ((int64_t)all->bytes));
}

int
main (int argc, char **argv)
{
	static const struct fake_ops fake_ops = {
		.prog = "fake-fetchers",
		.doc = "Stand-in for many relays that fetch configurations.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.seen = on_seen,
	};
	static struct fetchers all;

	return fake_main (&all.f, &fake_ops, &all, argc, argv);
}
