/*
 * Callers, who check every answer.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "link.h"
#include "soak.h"

#define WITHDRAWN 9
#define PATIENCE_MS 3000

/* With silences and nothing else, time limits are no excuse. */
#define QUIET_PATIENCE_MS 6000

/* Callers give up a stream after so long without a byte. */
#define GAP_MS 2000

const char *const soak_paths[SOAK_KINDS] = {"/i/", "/o/", "/s/", "/r/"};

static void
req_free (void *data)
{
	struct soak_req *r = data;

	g_string_free (r->body, TRUE);
	g_free (r);
}

/* A whole stream has every event, in order, and nothing else. */
static bool
stream_is_whole (const struct soak_req *r)
{
	GString *want = g_string_new (NULL);
	bool same;

	for (uint32_t i = 1; i <= soak_events (r->id); i++)
		g_string_append_printf (want, "id: %u\ndata: %s %u\n\n", i,
					r->id, i);
	same = g_string_equal (want, r->body);
	g_string_free (want, TRUE);
	return same;
}

static void
check_success (struct soak_req *r)
{
	char *want = soak_answer (r->id);

	if (r->kind >= SOAK_STREAM ? !stream_is_whole (r)
				   : strcmp (want, r->body->str) != 0)
		soak_wrong (r->k, "%s gets what is not its answer: %.80s",
			    r->id, r->body->str);
	if (r->account == WITHDRAWN)
		soak_wrong (r->k, "%s is served with a withdrawn key", r->id);
	g_free (want);
}

/* Routes that come and go are there by the versions that may be in force. */
static void
check_extra (struct soak_req *r)
{
	bool any, all;

	operator_extra (r->k, r->extra, r->begun_ms, &any, &all);
	if (r->status == 404 && all)
		soak_wrong (r->k, "%s gets 404 for a route that is there",
			    r->id);
	if (r->status == 200 && !any)
		soak_wrong (r->k, "%s is served by a route that is gone",
			    r->id);
}

/* Where nothing but silences and configurations happens, every request gets a
 * whole answer within its time. */
static void
check_strict (struct soak_req *r, enum h1cli_end end)
{
	uint64_t took_ms = tmr_now_ms () - r->begun_ms;
	uint32_t due_ms =
		MIN (r->patience_ms,
		     operator_timeout_ms (r->k, r->kind, r->begun_ms));

	if (r->k->stops.on && stops_excuses (r, end))
		return;
	if (end == H1CLI_WHOLE) {
		r->k->quiet.errors += r->status / 100 == 5 && r->status != 503;
		r->k->quiet.refused += r->status == 503;
		r->k->quiet.reused += r->rested_ms >= 1000;
		return;
	}
	/* A relay answers a little before the time limit. */
	if (took_ms + 50 >= due_ms)
		return;
	soak_wrong (r->k,
		    "%s at r%u ends after %" G_GUINT64_FORMAT
		    " ms without a whole answer: kind %d, status %d, %zu "
		    "bytes, runs %u, %s, rested %u ms of %u",
		    r->id, r->relay + SOAK_MEMBERS, took_ms, r->kind, r->status,
		    r->body->len, r->runs,
		    r->reused ? "kept connection" : "new connection",
		    r->rested_ms, r->idle_limit_ms);
}

void
callers_head (struct soak_req *r, int status, bool echoed)
{
	r->status = status;
	r->heard_ms = tmr_now_ms ();
	if (status == 200 && !echoed)
		soak_wrong (r->k, "%s: an answer without its id", r->id);
}

void
callers_data (struct soak_req *r, const char *data, size_t len)
{
	r->heard_ms = tmr_now_ms ();
	g_string_append_len (r->body, data, (gssize)len);
}

void
callers_done (struct soak_req *r, enum h1cli_end end)
{
	struct soak *k = r->k;

	r->done = true;
	r->ok = end == H1CLI_WHOLE && r->status == 200;
	if (end == H1CLI_BAD)
		soak_wrong (k, "%s: bytes that are no answer", r->id);
	if (r->status != 0 && !r->ok)
		explain_add (k, r->id, r->relay);
	if (r->strict)
		check_strict (r, end);
	if (r->extra >= 0) {
		if (r->strict && end == H1CLI_WHOLE)
			check_extra (r);
		if (r->ok)
			check_success (r);
	} else if (r->account == WITHDRAWN && r->status == 401) {
		k->denied++;
	} else if (r->crashes) {
		if (r->ok)
			soak_wrong (k, "%s is served, which crashes endpoints",
				    r->id);
	} else if (r->ok) {
		check_success (r);
		k->served++;
	} else if (end == H1CLI_WHOLE &&
		   (r->status == 503 || r->status == 429)) {
		k->refused++;
	} else {
		k->failed++;
	}
	if (end == H1CLI_WHOLE && (r->status == 503 || r->status == 429)) {
		r->refused = true;
		if (r->runs > 0)
			soak_wrong (k, "%s is told that it did not run", r->id);
	}
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	(void)x;
	callers_head (ctx, h->status, echoed);
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	callers_data (ctx, data, len);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct soak_req *r = ctx;

	(void)x;
	r->call = NULL;
	callers_done (r, end);
}

static const struct h1cli_ops ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

struct soak_req *
callers_new (struct soak *k, uint32_t relay, enum soak_kind kind,
	     uint32_t account)
{
	struct soak_req *r = g_new0 (struct soak_req, 1);

	*r = (struct soak_req){.k = k,
			       .kind = kind,
			       .account = account,
			       .relay = relay,
			       .extra = -1,
			       .strict = k->quiet.on || k->stops.on,
			       .patience_ms = k->quiet.on || k->stops.on
						      ? QUIET_PATIENCE_MS
						      : PATIENCE_MS,
			       .begun_ms = tmr_now_ms ()};
	r->heard_ms = r->begun_ms;
	g_snprintf (r->id, sizeof r->id, "q%u-%u", k->seed, ++k->number);
	r->path_number = k->number;
	r->last_segment = g_rand_int (k->traffic);
	r->first_segment = (uint32_t)g_rand_int_range (k->traffic, 1, 20);
	r->body = g_string_new (NULL);
	g_hash_table_insert (k->reqs, r->id, r);
	return r;
}

char *
callers_text (struct soak_req *r)
{
	static const uint32_t tokens[] = {400, 3000, 9000};
	uint32_t shared = tokens[r->first_segment % G_N_ELEMENTS (tokens)];
	bool get = r->kind == SOAK_REPEATABLE;
	char path[32], middle[32] = "";

	if (r->middle_segment != 0)
		g_snprintf (middle, sizeof middle, "%x:150,",
			    r->middle_segment);

	if (r->extra >= 0)
		g_snprintf (path, sizeof path, "/x%d/", r->extra);
	else
		g_strlcpy (path, soak_paths[r->kind], sizeof path);
	return g_strdup_printf (
		"%s %s%u HTTP/1.1\r\nHost: soak.example\r\n"
		"X-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n"
		"Authorization: Token key-%u\r\nX-Tenant: forged\r\n"
		"X-Model: m\r\nX-Token-Usage: %u,50\r\n"
		"X-Prefix-Hash: %x:%u,%s%x:200\r\n%s\r\n%s",
		get ? "GET" : "POST", path, r->path_number, r->id,
		r->patience_ms, r->account,
		shared + (r->middle_segment != 0 ? 350 : 200), r->first_segment,
		shared, middle, r->last_segment,
		get ? "" : "Content-Length: 4\r\n", get ? "" : "body");
}

void
callers_start (struct soak_req *r)
{
	struct h1cli_req q = {.echo_name = "X-Request-Id",
			      .echo_value = r->id,
			      .connect_ms = 1000};
	char *text = callers_text (r);

	q.idle_max_ms = operator_idle_ms (r->k) * 4 / 5;
	q.bytes = text;
	q.len = strlen (text);
	r->call = h1cli_start (&r->k->fronts[r->relay], &q, &ops, r);
	r->reused = h1cli_reused (r->call);
	g_free (text);
}

/* A few requests to each relay, in turn, so that each is heard from. */
void
callers_probe (struct soak *k)
{
	for (uint32_t i = 0; i < SOAK_RELAYS; i++)
		callers_start (callers_new (
			k, i, (enum soak_kind) (i % SOAK_KINDS), 0));
}

static uint32_t
draw_relay (struct soak *k)
{
	return (uint32_t)g_rand_int_range (k->traffic, 0, SOAK_RELAYS);
}

static void
start_some (struct soak *k)
{
	uint32_t account = g_rand_int_range (k->traffic, 0, 20) == 0
				   ? WITHDRAWN
				   : (uint32_t)g_rand_int_range (k->traffic, 0,
								 SOAK_ACCOUNTS);
	enum soak_kind kind =
		(enum soak_kind)g_rand_int_range (k->traffic, 0, SOAK_KINDS);
	struct soak_req *r;

	callers_start (callers_new (k, draw_relay (k), kind, account));
	if (g_rand_int_range (k->traffic, 0, 8) > 0)
		return;
	r = callers_new (k, draw_relay (k), SOAK_REPEATABLE, 0);
	r->extra = g_rand_int_range (k->traffic, 0, SOAK_EXTRAS);
	callers_start (r);
}

/* Whether its caller leaves now. */
bool
callers_gives_up (struct soak_req *r, uint64_t now_ms)
{
	if (now_ms > r->begun_ms + r->patience_ms + 500)
		return true;
	return r->strict && r->kind >= SOAK_STREAM &&
	       now_ms > r->heard_ms + GAP_MS;
}

void
callers_tick (struct soak *k, uint64_t now_ms)
{
	GHashTableIter it;
	void *value;

	operator_tick (k, now_ms);
	while (now_ms >= k->next_req_ms) {
		k->next_req_ms =
			now_ms + (uint64_t)g_rand_int_range (k->traffic, 2, 15);
		start_some (k);
	}
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct soak_req *r = value;

		if (r->call != NULL && callers_gives_up (r, now_ms)) {
			h1cli_cancel (r->call);
			r->call = NULL;
			r->done = true;
			callers_left (r);
		}
	}
}

void
callers_left (struct soak_req *r)
{
	r->done = true;
	r->k->failed++;
	if (r->strict)
		soak_wrong (r->k,
			    "%s at r%u: its caller leaves, %" G_GUINT64_FORMAT
			    " ms after its last byte, %" G_GUINT64_FORMAT
			    " ms after its start; kind %d, runs %u",
			    r->id, r->relay + SOAK_MEMBERS,
			    tmr_now_ms () - r->heard_ms,
			    tmr_now_ms () - r->begun_ms, r->kind, r->runs);
}

void
callers_init (struct soak *k)
{
	struct in_addr any = {0};

	k->reqs =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, req_free);
	operator_init (k);
	for (uint32_t i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		bool member = k->procs[i].member;
		struct sockaddr_in at = {
			.sin_family = AF_INET,
			.sin_port = htons (member ? k->api : k->front)};

		inet_pton (AF_INET, k->procs[i].ip, &at.sin_addr);
		h1cli_host_init (member ? &k->apis[i]
					: &k->fronts[i - SOAK_MEMBERS],
				 k->loop, &at, any);
	}
	kept_init (k);
}

void
callers_finish (struct soak *k)
{
	kept_finish (k);
	for (uint32_t i = 0; i < SOAK_MEMBERS; i++)
		h1cli_host_finish (&k->apis[i]);
	for (uint32_t i = 0; i < SOAK_RELAYS; i++)
		h1cli_host_finish (&k->fronts[i]);
	g_hash_table_destroy (k->reqs);
	operator_finish (k);
}
