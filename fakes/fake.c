/*
 * The skeleton of the stand-ins: options, port file, knobs, and the answers
 * about what arrived.
 */
#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fake.h"
#include "link.h"
#include "tmr.h"

#define BODY_MAX_BYTES (4U << 20)
#define IO_TIMEOUT_MS 600000
#define CRASH_STATUS 70
#define KEY_DIGITS_MIN 16

static const struct argp_option options[] = {
	{"listen", 'l', "IP:PORT", 0, "where to listen (127.0.0.1:0)", 0},
	{"port-file", 'p', "FILE", 0, "write IP:PORT there once listening", 0},
	{"seed", 's', "N", 0, "seed of every random choice (1)", 0},
	{"option", 'o', "NAME=VALUE", 0, "set a knob; help=1 lists them", 0},
	{0},
};

static void
list_knobs (const struct fake_ops *ops)
{
	for (const struct fake_knob *k = ops->knobs; k->name != NULL; k++)
		printf ("%-16s %-10s %s\n", k->name, k->def, k->doc);
}

static bool
knob_set (struct fake *f, const char *name, const char *value)
{
	const struct fake_knob *k;
	char *at, *end = NULL;

	for (k = f->ops->knobs; k->name != NULL; k++) {
		if (strcmp (k->name, name) == 0)
			break;
	}
	if (k->name == NULL)
		return false;
	at = (char *)f->ctx + k->offset;
	errno = 0;
	switch (k->type) {
	case FAKE_U64:
		*(uint64_t *)(void *)at = strtoull (value, &end, 10);
		return errno == 0 && end != value && *end == '\0';
	case FAKE_F64:
		*(double *)(void *)at = strtod (value, &end);
		return errno == 0 && end != value && *end == '\0';
	case FAKE_STR:
		return g_strlcpy (at, value, FAKE_STR_BYTES) < FAKE_STR_BYTES;
	}
	return false;
}

static void
knob_defaults (struct fake *f)
{
	for (const struct fake_knob *k = f->ops->knobs; k->name != NULL; k++)
		knob_set (f, k->name, k->def);
}

static bool apply_options (struct fake *f);

static struct json_object *
knobs_json (const struct fake *f)
{
	struct json_object *o = json_object_new_object (), *v;

	for (const struct fake_knob *k = f->ops->knobs; k->name != NULL; k++) {
		const char *at = (const char *)f->ctx + k->offset;

		v = NULL;
		switch (k->type) {
		case FAKE_U64:
			v = json_object_new_int64 (
				(int64_t) * (const uint64_t *)(const void *)at);
			break;
		case FAKE_F64:
			v = json_object_new_double (
				*(const double *)(const void *)at);
			break;
		case FAKE_STR:
			v = json_object_new_string (at);
			break;
		}
		json_object_object_add (o, k->name, v);
	}
	return o;
}

struct json_object *
fake_body (h2o_req_t *req)
{
	struct json_tokener *t;
	struct json_object *o;

	if (req->entity.base == NULL || req->entity.len == 0)
		return NULL;
	t = json_tokener_new ();
	o = json_tokener_parse_ex (t, req->entity.base, (int)req->entity.len);
	json_tokener_free (t);
	return o;
}

const char *
fake_str (struct json_object *o, const char *name, const char *def)
{
	struct json_object *v;

	if (o != NULL && json_object_object_get_ex (o, name, &v) &&
	    json_object_is_type (v, json_type_string))
		return json_object_get_string (v);
	return def;
}

int64_t
fake_int (struct json_object *o, const char *name, int64_t def)
{
	struct json_object *v;

	if (o != NULL && json_object_object_get_ex (o, name, &v) &&
	    !json_object_is_type (v, json_type_null))
		return json_object_get_int64 (v);
	return def;
}

void
fake_answer (h2o_req_t *req, int status, struct json_object *o)
{
	httpd_answer_json (
		req, status,
		json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
	json_object_put (o);
}

void
fake_error (h2o_req_t *req, int status, const char *why)
{
	struct json_object *e = json_object_new_object ();
	struct json_object *o = json_object_new_object ();

	json_object_object_add (e, "message", json_object_new_string (why));
	json_object_object_add (e, "type", json_object_new_string ("stand_in"));
	json_object_object_add (o, "error", e);
	fake_answer (req, status, o);
}

/** struct late - an answer that waits */
struct late {
	struct fake *f;
	GList link; /* in fake.late */
	h2o_req_t *req;
	struct json_object *o;
	uint64_t due_ms;
	int status;
	bool lose;
};

static void
late_dispose (void *p)
{
	struct late *l = p;

	if (l->o == NULL)
		return;
	g_queue_unlink (&l->f->late, &l->link);
	json_object_put (l->o);
}

static struct late *
late_first (struct fake *f)
{
	struct late *first = NULL;

	for (GList *at = f->late.head; at != NULL; at = at->next) {
		struct late *l = at->data;

		if (first == NULL || l->due_ms < first->due_ms)
			first = l;
	}
	return first;
}

/*
 * One timer for all of them: h2o may dispose of a request, and so of anything
 * in its pool, before the callback of a timer has returned.
 */
static void
late_arm (struct fake *f)
{
	const struct late *first = late_first (f);
	uint64_t now = tmr_now_ms ();

	if (first != NULL)
		tmr_start (&f->late_timer,
			   first->due_ms > now ? first->due_ms - now : 1);
}

static void
late_fire (void *ctx)
{
	struct fake *f = ctx;
	struct late *l;

	while ((l = late_first (f)) != NULL && l->due_ms <= tmr_now_ms ()) {
		struct json_object *o = l->o;

		g_queue_unlink (&f->late, &l->link);
		l->o = NULL;
		if (l->lose)
			fake_drop (l->req);
		fake_answer (l->req, l->status, o);
	}
	late_arm (f);
}

void
fake_answer_late (struct fake *f, h2o_req_t *req, int status,
		  struct json_object *o, uint64_t delay_ms, bool lose)
{
	struct late *l;

	if (delay_ms == 0) {
		if (lose)
			fake_drop (req);
		fake_answer (req, status, o);
		return;
	}
	l = h2o_mem_alloc_shared (&req->pool, sizeof *l, late_dispose);
	memset (l, 0, sizeof *l);
	l->f = f;
	l->link.data = l;
	l->req = req;
	l->status = status;
	l->o = o;
	l->lose = lose;
	l->due_ms = tmr_now_ms () + delay_ms;
	g_queue_push_tail_link (&f->late, &l->link);
	late_arm (f);
}

static int
request_fd (h2o_req_t *req)
{
	h2o_socket_t *s = req->conn->callbacks->get_socket (req->conn);

	return s != NULL ? h2o_socket_get_fd (s) : -1;
}

void
fake_drop (h2o_req_t *req)
{
	shutdown (request_fd (req), SHUT_RDWR);
}

void
fake_crash (h2o_req_t *req, uint64_t linger_ms)
{
	if (linger_ms > 0) {
		fake_drop (req);
		g_usleep (linger_ms * 1000);
	}
	_exit (CRASH_STATUS);
}

bool
fake_gone (h2o_req_t *req)
{
	char byte;

	if (req->version >= 0x200)
		return false;
	return recv (request_fd (req), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

uint64_t
fake_ran (struct fake *f, const char *tag)
{
	uint64_t *n = g_hash_table_lookup (f->ran, tag);

	if (n == NULL) {
		n = g_new0 (uint64_t, 1);
		g_hash_table_insert (f->ran, g_strdup (tag), n);
	}
	return ++*n;
}

static void
answer_ran (struct fake *f, h2o_req_t *req)
{
	struct json_object *o = json_object_new_object ();
	GHashTableIter it;
	void *tag, *n;

	g_hash_table_iter_init (&it, f->ran);
	while (g_hash_table_iter_next (&it, &tag, &n))
		json_object_object_add (o, tag,
					json_object_new_int64 (*(int64_t *)n));
	fake_answer (req, 200, o);
}

static void
answer_seen (struct fake *f, h2o_req_t *req)
{
	struct json_object *o = json_object_new_object ();

	json_object_object_add (o, "requests",
				json_object_new_int64 ((int64_t)f->requests));
	json_object_object_add (
		o, "credential_headers",
		json_object_new_int64 ((int64_t)f->credential_headers));
	json_object_object_add (o, "key_texts",
				json_object_new_int64 ((int64_t)f->key_texts));
	if (f->ops->seen != NULL)
		f->ops->seen (o, f->ctx);
	fake_answer (req, 200, o);
}

static void
take_fault (struct fake *f, h2o_req_t *req)
{
	struct json_object *o = fake_body (req);
	bool ok = o != NULL && json_object_is_type (o, json_type_object);

	if (fake_int (o, "crash", 0) != 0)
		fake_crash (req, 0);
	if (ok && fake_int (o, "reset", 0) != 0) {
		knob_defaults (f);
		apply_options (f);
		json_object_object_del (o, "reset");
	}
	if (ok) {
		json_object_object_foreach (o, name, v) ok =
			knob_set (f, name, json_object_get_string (v)) && ok;
	}
	json_object_put (o);
	if (f->ops->changed != NULL)
		f->ops->changed (f->ctx);
	if (!ok) {
		fake_error (req, 400, "unknown knob or bad value");
		return;
	}
	fake_answer (req, 200, knobs_json (f));
}

/* Whether @len bytes hold something that looks like a key. */
static bool
has_key_text (const char *s, size_t len)
{
	const char *at = s, *end = s + len;

	if (memmem (s, len, "sk-", 3) != NULL)
		return true;
	while ((at = memmem (at, (size_t)(end - at), "dh-", 3)) != NULL) {
		uint32_t digits = 0;

		at += 3;
		while (at < end && g_ascii_isxdigit (*at++))
			digits++;
		if (digits >= KEY_DIGITS_MIN)
			return true;
	}
	return false;
}

/* Credentials must stay at the entry; count every one that did not. */
static void
look_for_credentials (struct fake *f, h2o_req_t *req)
{
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (h2o_lcstris (h->name->base, h->name->len,
				 H2O_STRLIT ("authorization")) ||
		    h2o_lcstris (h->name->base, h->name->len,
				 H2O_STRLIT ("x-api-key")))
			f->credential_headers++;
		f->key_texts += has_key_text (h->value.base, h->value.len);
	}
	if (req->entity.base != NULL)
		f->key_texts +=
			has_key_text (req->entity.base, req->entity.len);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct fake *f = ctx;

	if (httpd_path_is (req, "/_fault")) {
		if (req->entity.base != NULL && req->entity.len > 0)
			take_fault (f, req);
		else
			fake_answer (req, 200, knobs_json (f));
		return 0;
	}
	if (httpd_path_is (req, "/_seen")) {
		answer_seen (f, req);
		return 0;
	}
	if (httpd_path_is (req, "/_ran")) {
		answer_ran (f, req);
		return 0;
	}
	f->requests++;
	look_for_credentials (f, req);
	return f->ops->request (req, f->ctx);
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
	struct fake *f = state->input;
	struct err e;

	switch (key) {
	case 'l':
		if (!link_addr_parse (arg, &f->addr, &e))
			argp_error (state, "%s", e.msg);
		return 0;
	case 'p':
		f->port_file = arg;
		return 0;
	case 's':
		f->seed = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	case 'o':
		g_ptr_array_add (f->options, arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static bool
apply_options (struct fake *f)
{
	for (guint i = 0; i < f->options->len; i++) {
		char **part = g_strsplit (f->options->pdata[i], "=", 2);
		bool ok;

		if (part[0] != NULL && strcmp (part[0], "help") == 0) {
			list_knobs (f->ops);
			exit (0);
		}
		ok = part[0] != NULL && part[1] != NULL &&
		     knob_set (f, part[0], part[1]);
		g_strfreev (part);
		if (!ok) {
			fprintf (stderr, "%s: bad option %s\n", f->ops->prog,
				 (char *)f->options->pdata[i]);
			return false;
		}
	}
	return true;
}

/* Renamed into place, so that a reader never sees half of it. */
static bool
write_port_file (const struct fake *f)
{
	char *tmp;
	FILE *out;
	bool ok;

	if (f->port_file == NULL)
		return true;
	tmp = g_strconcat (f->port_file, ".tmp", NULL);
	out = fopen (tmp, "w");
	ok = out != NULL && fprintf (out, "127.0.0.1:%u\n", f->httpd.port) > 0;
	if (out != NULL)
		ok = fclose (out) == 0 && ok;
	ok = ok && rename (tmp, f->port_file) == 0;
	g_free (tmp);
	return ok;
}

static void
on_terminate (void *ctx)
{
	struct fake *f = ctx;

	daemon_stop (&f->daemon);
}

static void
on_reload (void *ctx)
{
	(void)ctx;
}

static bool
fake_listen (struct fake *f, struct err *e)
{
	struct httpd_conf conf = {
		.addr = f->addr,
		.max_body_bytes = BODY_MAX_BYTES,
		.io_timeout_ms = IO_TIMEOUT_MS,
		.handler = on_request,
		.ctx = f,
	};

	return httpd_init (&f->httpd, f->daemon.loop, &conf, e);
}

int
fake_main (struct fake *f, const struct fake_ops *ops, void *ctx, int argc,
	   char **argv)
{
	static const struct daemon_ops signals = {on_terminate, on_reload};
	struct argp argp = {
		.options = options, .parser = parse_option, .doc = ops->doc};
	struct err e = {0};

	memset (f, 0, sizeof *f);
	f->ops = ops;
	f->ctx = ctx;
	f->seed = 1;
	f->addr.sin_family = AF_INET;
	f->addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	f->options = g_ptr_array_new ();
	f->ran =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	knob_defaults (f);
	argp_parse (&argp, argc, argv, 0, NULL, f);
	if (!apply_options (f))
		return 1;
	f->rand = g_rand_new_with_seed (f->seed);
	log_init (ops->prog, "", LOG_LV_INFO);
	if (!daemon_init (&f->daemon, &signals, f, &e)) {
		fprintf (stderr, "%s: %s\n", ops->prog, e.msg);
		return 1;
	}
	tmr_init (&f->late_timer, f->daemon.loop, late_fire, f);
	g_queue_init (&f->late);
	ops->start (f, ctx);
	if (!fake_listen (f, &e) || !write_port_file (f)) {
		fprintf (stderr, "%s: listen: %s\n", ops->prog, e.msg);
		return 1;
	}
	daemon_run (&f->daemon);
	/* A stand-in drops what it was doing; its memory goes with it. */
	_exit (0);
}
