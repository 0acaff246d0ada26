/*
 * Callers, who check every answer, and an operator, who sends configurations
 * and reads them back.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "link.h"
#include "soak.h"

#define WITHDRAWN 9
#define PATIENCE_MS 3000
#define ANSWER_MS 2000

static const char *const paths[SOAK_KINDS] = {"/i/", "/o/", "/s/", "/r/"};

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

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct soak_req *r = ctx;

	(void)x;
	r->status = h->status;
	if (h->status == 200 && !echoed)
		soak_wrong (r->k, "%s: an answer without its id", r->id);
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct soak_req *r = ctx;

	(void)x;
	g_string_append_len (r->body, data, (gssize)len);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct soak_req *r = ctx;
	struct soak *k = r->k;

	(void)x;
	r->call = NULL;
	r->done = true;
	if (end == H1CLI_BAD)
		soak_wrong (k, "%s: bytes that are no answer", r->id);
	if (r->status != 0 && (end != H1CLI_WHOLE || r->status != 200))
		explain_add (k, r->id, r->relay);
	if (end == H1CLI_WHOLE && r->status == 200) {
		check_success (r);
		k->served++;
	} else if (end == H1CLI_WHOLE &&
		   (r->status == 503 || r->status == 429)) {
		r->refused = true;
		k->refused++;
		if (r->runs > 0)
			soak_wrong (k, "%s is told that it did not run", r->id);
	} else {
		k->failed++;
	}
}

static const struct h1cli_ops ops = {on_head, on_data, on_done};

static void
send_req (struct soak *k, uint32_t relay, enum soak_kind kind, uint32_t account)
{
	struct soak_req *r = g_new0 (struct soak_req, 1);
	char *text;
	struct h1cli_req q = {.echo_name = "X-Request-Id",
			      .idle_max_ms = 4000,
			      .connect_ms = 1000};

	*r = (struct soak_req){.k = k,
			       .kind = kind,
			       .account = account,
			       .relay = relay,
			       .begun_ms = tmr_now_ms ()};
	g_snprintf (r->id, sizeof r->id, "q%u-%u", k->seed, ++k->number);
	r->body = g_string_new (NULL);
	g_hash_table_insert (k->reqs, r->id, r);
	text = g_strdup_printf (
		"%s %s%u HTTP/1.1\r\nHost: soak.example\r\n"
		"X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
		"Authorization: Token key-%u\r\nX-Tenant: forged\r\n"
		"X-Model: m\r\nX-Token-Usage: 600,50\r\n"
		"X-Prefix-Hash: %x:400,%x:200\r\n%s\r\n%s",
		kind == SOAK_REPEATABLE ? "GET" : "POST", paths[kind],
		k->number, r->id, PATIENCE_MS, account,
		g_rand_int_range (k->rand, 1, 20), g_rand_int (k->rand),
		kind == SOAK_REPEATABLE ? "" : "Content-Length: 4\r\n",
		kind == SOAK_REPEATABLE ? "" : "body");
	q.bytes = text;
	q.len = strlen (text);
	q.echo_value = r->id;
	r->call = h1cli_start (&k->fronts[relay], &q, &ops, r);
	g_free (text);
}

static char *
plan_text (uint64_t version)
{
	GString *s = g_string_new (NULL);
	static const char *const kinds[SOAK_KINDS] = {
		"idempotent", "non_idempotent", "streaming", "streaming"};

	g_string_append_printf (
		s, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
	for (int i = 0; i < SOAK_KINDS; i++)
		g_string_append_printf (
			s,
			"%s{\"name\":\"r%d\",\"host\":\"soak.example\","
			"\"path_prefix\":\"%s\",\"kind\":\"%s\","
			"\"timeout_ms\":2500,\"target_latency_ms\":600,"
			"\"target_gap_ms\":200,\"priority\":%d,"
			"\"service\":\"%s\",\"max_attempts\":2,"
			"\"sticky\":%s,\"resumable\":%s}",
			i > 0 ? "," : "", i, paths[i], kinds[i], i,
			i < SOAK_STREAM ? "app" : "llm",
			i < SOAK_STREAM ? "false" : "true",
			i == SOAK_RESUMABLE ? "true" : "false");
	g_string_append (
		s, "],\"services\":[{\"name\":\"llm\",\"health_path\":"
		   "\"/health\",\"max_connections\":300,\"engine\":{\"slots\":"
		   "64,\"kv_capacity\":100000}},{\"name\":\"app\","
		   "\"health_path\":\"/health\",\"max_connections\":300}],"
		   "\"tenants\":[");
	for (int i = 0; i < SOAK_ACCOUNTS; i++)
		g_string_append_printf (
			s, "%s{\"name\":\"acct-%d\",\"api_keys\":[\"key-%d\"]}",
			i > 0 ? "," : "", i, i);
	g_string_append (s, "]}");
	return g_string_free (s, FALSE);
}

static void
op_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct soak *k = ctx;

	(void)x;
	(void)echoed;
	k->put_status = h->status;
}

static void
op_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct soak *k = ctx;

	(void)x;
	g_string_append_len (k->get_text, data, (gssize)len);
}

static void
op_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct soak *k = ctx;
	const char *at = strstr (k->get_text->str, "\"version\":");

	(void)x;
	k->put = NULL;
	if (end != H1CLI_WHOLE || k->put_status != 200) {
		if (end == H1CLI_WHOLE && k->put_status / 100 == 4)
			soak_wrong (k, "a valid call gets %d", k->put_status);
		k->put_to =
			(uint32_t)g_rand_int_range (k->rand, 0, SOAK_MEMBERS);
		return;
	}
	if (k->reading) {
		k->read_version = at != NULL ? strtoull (at + 10, NULL, 10) : 0;
		if (k->read_version < k->acked)
			soak_wrong (k,
				    "version %" G_GUINT64_FORMAT
				    " is read back after %" G_GUINT64_FORMAT
				    " was acknowledged",
				    k->read_version, k->acked);
	} else {
		k->acked = MAX (k->acked, k->offered);
	}
	k->reading = !k->reading;
}

static const struct h1cli_ops op_ops = {op_head, op_data, op_done};

static void
operate (struct soak *k, uint64_t now_ms)
{
	char *plan, *text;
	struct h1cli_req q = {.idle_max_ms = 4000, .connect_ms = 500};

	if (k->put != NULL && now_ms - k->put_ms > ANSWER_MS) {
		h1cli_cancel (k->put);
		k->put = NULL;
		k->put_to = (k->put_to + 1) % SOAK_MEMBERS;
	}
	if (k->put != NULL || now_ms < k->next_put_ms)
		return;
	k->next_put_ms = now_ms + (uint64_t)g_rand_int_range (k->rand, 50, 400);
	if (!k->reading && k->acked == k->offered)
		k->offered += (uint64_t)g_rand_int_range (k->rand, 1, 5);
	plan = plan_text (k->offered);
	text = k->reading
		       ? g_strdup ("GET /api/config/get HTTP/1.1\r\n"
				   "Host: x\r\n\r\n")
		       : g_strdup_printf ("POST /api/config/replace HTTP/1.1"
					  "\r\nHost: x\r\nContent-Length: %zu"
					  "\r\n\r\n%s",
					  strlen (plan), plan);
	q.bytes = text;
	q.len = strlen (text);
	g_string_truncate (k->get_text, 0);
	k->put_status = 0;
	k->put_ms = now_ms;
	k->put = h1cli_start (&k->apis[k->put_to], &q, &op_ops, k);
	g_free (text);
	g_free (plan);
}

/* A few requests to each relay, in turn, so that each is heard from. */
void
callers_probe (struct soak *k)
{
	for (uint32_t i = 0; i < SOAK_RELAYS; i++)
		send_req (k, i, (enum soak_kind) (i % SOAK_KINDS), 0);
}

void
callers_tick (struct soak *k, uint64_t now_ms)
{
	GHashTableIter it;
	void *value;

	operate (k, now_ms);
	while (now_ms >= k->next_req_ms) {
		uint32_t account = g_rand_int_range (k->rand, 0, 20) == 0
					   ? WITHDRAWN
					   : (uint32_t)g_rand_int_range (
						     k->rand, 0, SOAK_ACCOUNTS);

		k->next_req_ms =
			now_ms + (uint64_t)g_rand_int_range (k->rand, 2, 15);
		send_req (k,
			  (uint32_t)g_rand_int_range (k->rand, 0, SOAK_RELAYS),
			  (enum soak_kind)g_rand_int_range (k->rand, 0,
							    SOAK_KINDS),
			  account);
	}
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct soak_req *r = value;

		if (r->call != NULL &&
		    now_ms > r->begun_ms + PATIENCE_MS + 500) {
			h1cli_cancel (r->call);
			r->call = NULL;
			r->done = true;
			k->failed++;
		}
	}
}

void
callers_init (struct soak *k)
{
	struct in_addr any = {0};

	k->reqs =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, req_free);
	k->put_text = g_string_new (NULL);
	k->get_text = g_string_new (NULL);
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
}

void
callers_finish (struct soak *k)
{
	for (uint32_t i = 0; i < SOAK_MEMBERS; i++)
		h1cli_host_finish (&k->apis[i]);
	for (uint32_t i = 0; i < SOAK_RELAYS; i++)
		h1cli_host_finish (&k->fronts[i]);
	g_hash_table_destroy (k->reqs);
	g_string_free (k->put_text, TRUE);
	g_string_free (k->get_text, TRUE);
}
