/*
 * Endpoints and the platform, as far as the daemons can tell.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "soak.h"

#define EVENT_MS 15
#define WORK_MS 10
#define DRAIN_MS 3000

/* Client accounts are named by this and their number. */
#define ACCOUNT_PREFIX "acct-"

/* A request at an endpoint. */
struct job {
	struct soak_ep *e;
	struct h1srv_conn *conn;
	struct soak_req *r;
	struct tmr tmr;
	uint32_t next, last; /* events */
	uint32_t cut_at;     /* breaks off before this event; 0: never */
	bool streams;
	bool head_sent;
};

/* What the answer to @id holds, and how many events its stream has. */
char *
soak_answer (const char *id)
{
	GString *s = g_string_new (NULL);

	for (int i = 0; i < 20; i++)
		g_string_append_printf (s, "%s-%d;", id, i);
	return g_string_free (s, FALSE);
}

uint32_t
soak_events (const char *id)
{
	return 3 + g_str_hash (id) % 20;
}

static void
job_free (struct job *j)
{
	tmr_finish (&j->tmr);
	g_ptr_array_remove_fast (j->e->jobs, j);
	g_free (j);
}

static char *
answer_headers (const struct job *j)
{
	return g_strdup_printf ("X-Request-Id: %s\r\n"
				"X-Response-Seal: %s\r\n",
				j->r->id, j->e->id);
}

static void
job_cut (struct job *j)
{
	struct h1srv_conn *c = j->conn;

	h1srv_set_data (c, NULL);
	job_free (j);
	h1srv_end (c, false);
}

static void
job_plain (struct job *j)
{
	char *headers = answer_headers (j), *body = soak_answer (j->r->id);
	struct h1srv_conn *c = j->conn;
	struct soak_ep *e = j->e;
	GString *text;

	h1srv_set_data (c, NULL);
	job_free (j);
	if (e->mode == SOAK_FAILS) {
		h1srv_answer (c, 500, headers, "failed", 6);
	} else if (e->mode == SOAK_DOUBLES) {
		text = g_string_new (NULL);
		h1srv_head (c, 200, headers, text);
		g_string_append_printf (text, "Content-Length: %zu\r\n\r\n%s",
					strlen (body), body);
		h1srv_write (c, text->str, text->len);
		h1srv_write (c, text->str, text->len);
		h1srv_end (c, true);
		g_string_free (text, TRUE);
	} else {
		h1srv_answer (c, 200, headers, body, strlen (body));
	}
	g_free (headers);
	g_free (body);
}

static void
job_event (struct job *j)
{
	GString *out = g_string_new (NULL);
	struct h1srv_conn *c = j->conn;
	char *headers = answer_headers (j), event[128];
	int n;

	if (!j->head_sent) {
		h1srv_head (c, 200, headers, out);
		g_string_append (out, "Content-Type: text/event-stream\r\n"
				      "Transfer-Encoding: chunked\r\n\r\n");
		j->head_sent = true;
	}
	g_free (headers);
	n = g_snprintf (event, sizeof event, "id: %u\ndata: %s %u\n\n", j->next,
			j->r->id, j->next);
	/* Broken off in the middle of an event. */
	if (j->next == j->cut_at)
		n /= 2;
	g_string_append_printf (out, "%x\r\n%.*s\r\n", (unsigned)n, n, event);
	if (j->next == j->last && j->cut_at == 0)
		g_string_append (out, "0\r\n\r\n");
	h1srv_write (c, out->str, out->len);
	g_string_free (out, TRUE);
	if (j->next == j->cut_at) {
		job_cut (j);
	} else if (j->next++ == j->last) {
		h1srv_set_data (c, NULL);
		job_free (j);
		h1srv_end (c, true);
	} else {
		tmr_start (&j->tmr, EVENT_MS);
	}
}

static void
on_job (void *ctx)
{
	struct job *j = ctx;

	if (j->e->mode == SOAK_MUTE)
		return;
	if (j->e->mode == SOAK_CUTS && !j->streams)
		job_cut (j);
	else if (!j->streams || j->e->mode == SOAK_FAILS)
		job_plain (j);
	else
		job_event (j);
}

/* What an endpoint must never see, and what may run only once. */
static void
check_run (struct soak_ep *e, const struct h1_head *h, struct soak_req *r)
{
	char *tenant = h1_copy (h1_find (h, "X-Tenant"));
	char want[16];

	g_snprintf (want, sizeof want, ACCOUNT_PREFIX "%u", r->account);
	if (h1_find (h, "Authorization") != NULL)
		soak_wrong (e->k, "an endpoint sees the key of %s", r->id);
	if (g_strcmp0 (tenant, want) != 0)
		soak_wrong (e->k, "%s runs for %s, not %s", r->id, tenant,
			    want);
	if (r->refused)
		soak_wrong (e->k, "%s runs after a refusal", r->id);
	if (!operator_allows (e->k, r->kind, e->number >= SOAK_ENGINES,
			      r->begun_ms) &&
	    r->extra < 0 && (r->strict || e->k->calm))
		soak_wrong (e->k, "%s runs at %s, which is not its service",
			    r->id, e->id);
	if (r->runs++ == 0)
		r->run_wall_ms = tmr_wall_ms ();
	if (r->runs > 1 && (r->kind == SOAK_ONCE || r->kind == SOAK_STREAM))
		soak_wrong (e->k, "%s runs %u times", r->id, r->runs);
	if (e->leaving && e->k->calm && r->begun_ms > e->leaving_ms + DRAIN_MS)
		soak_wrong (e->k, "%s reaches %s, which left long ago", r->id,
			    e->id);
	g_free (tenant);
}

static void
on_request (struct h1srv_conn *c, const struct h1_head *h,
	    const GByteArray *body, void *ctx)
{
	struct soak_ep *e = ctx;
	char *id = h1_copy (h1_find (h, "X-Request-Id"));
	char *expect = h1_copy (h1_find (h, "X-Expect-Instance"));
	char *last = h1_copy (h1_find (h, "Last-Event-Id")), *headers;
	struct soak_req *r =
		id != NULL ? g_hash_table_lookup (e->k->reqs, id) : NULL;
	struct job *j;

	(void)body;
	headers = g_strdup_printf ("X-Instance-Id: %s\r\n", e->id);
	if (h->path_len == 7 && memcmp (h->path, "/health", 7) == 0) {
		h1srv_answer (c, 200, headers, "", 0);
	} else if (expect != NULL && strcmp (expect, e->id) != 0) {
		h1srv_answer (c, 421, headers, "", 0);
	} else if (r == NULL) {
		soak_wrong (e->k, "nobody sent %s", id);
		h1srv_answer (c, 400, "X-Not-Executed: 1\r\n", "", 0);
	} else if (e->mode == SOAK_REFUSES) {
		h1srv_answer (c, 503, "X-Not-Executed: 1\r\n", "", 0);
	} else {
		check_run (e, h, r);
		j = g_new0 (struct job, 1);
		*j = (struct job){.e = e, .conn = c, .r = r};
		j->streams = r->kind >= SOAK_STREAM;
		j->next = last != NULL ? (uint32_t)atoi (last) + 1 : 1;
		j->last = soak_events (r->id);
		if (e->mode == SOAK_CUTS && j->streams)
			j->cut_at = j->next + 1;
		tmr_init (&j->tmr, e->k->loop, on_job, j);
		tmr_start (&j->tmr, WORK_MS);
		g_ptr_array_add (e->jobs, j);
		h1srv_set_data (c, j);
	}
	g_free (headers);
	g_free (id);
	g_free (expect);
	g_free (last);
}

static void
on_gone (struct h1srv_conn *c, void *ctx)
{
	struct job *j = h1srv_data (c);

	(void)ctx;
	if (j != NULL)
		job_free (j);
}

static const struct h1srv_ops ep_ops = {on_request, on_gone};
static const struct h1srv_limits limits = {16384, 1 << 20, 5000, 8000};

static struct sockaddr_in
local (uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons (port)};

	a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	return a;
}

void
world_ep_up (struct soak_ep *e)
{
	struct sockaddr_in at = local (e->port);

	if (e->up)
		return;
	g_snprintf (e->id, sizeof e->id, "ep-%u-%u", e->number, ++e->start);
	e->leaving = false;
	e->mode = SOAK_WELL;
	e->up = h1srv_init (&e->srv, e->k->loop, &at, &limits, &ep_ops, e,
			    NULL);
	if (e->up)
		e->port = e->srv.port;
}

void
world_ep_down (struct soak_ep *e)
{
	if (e->up)
		h1srv_finish (&e->srv);
	e->up = false;
}

static char *
list_text (struct soak *k)
{
	GString *s = g_string_new ("{\"instances\":[");

	/* One that is down stays on the list for a while, as it does there. */
	for (uint32_t i = 0; i < SOAK_EPS; i++)
		g_string_append_printf (
			s,
			"%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":"
			"\"127.0.0.1:%u\",\"zone\":\"z%u\",\"slots\":64,"
			"\"state\":\"%s\",\"cold_remaining_ms\":0}",
			i > 0 ? "," : "", k->eps[i].id,
			i < SOAK_ENGINES ? "llm" : "app", k->eps[i].port, i % 2,
			k->eps[i].leaving ? "draining" : "ready");
	g_string_append (s, "],\"next\":null}");
	return g_string_free (s, FALSE);
}

/* One report a window; a repeat must be the same. */
static void
check_usage (struct soak *k, const struct h1_head *h, const GByteArray *body)
{
	char *text = g_strndup ((const char *)body->data, body->len);
	char *token = h1_copy (h1_find (h, "X-Fencing-Token"));
	uint64_t fence = token != NULL ? strtoull (token, NULL, 10) : 0;
	const char *at = strstr (text, "\"window\":");
	char *key = at != NULL ? g_strndup (at + 9, strcspn (at + 9, ",}"))
			       : g_strdup ("?");
	const char *before = g_hash_table_lookup (k->windows, key);

	if (before != NULL && strcmp (before, text) != 0)
		soak_wrong (k, "window %s reported with other figures", key);
	if (fence < k->fence)
		soak_wrong (k,
			    "fencing token %" G_GUINT64_FORMAT
			    " after %" G_GUINT64_FORMAT,
			    fence, k->fence);
	k->fence = MAX (k->fence, fence);
	g_hash_table_insert (k->windows, key, text);
	g_free (token);
}

/* Adds the counts of a report to @sums, by account. */
static void
add_counts (uint64_t sums[SOAK_ACCOUNTS], const char *text)
{
	json_object *report = json_tokener_parse (text), *counts;

	if (json_object_object_get_ex (report, "counts", &counts)) {
		json_object_object_foreach (counts, name, count)
		{
			uint32_t account;

			if (!g_str_has_prefix (name, ACCOUNT_PREFIX))
				continue;
			account =
				(uint32_t)atoi (name + strlen (ACCOUNT_PREFIX));
			if (account < SOAK_ACCOUNTS)
				sums[account] += json_object_get_uint64 (count);
		}
	}
	json_object_put (report);
}

/* An account is billed once for a request, however often that ran.  Counts of a
 * killed relay may be lost, so the sum may be smaller than what ran by the end
 * of the last window that was reported, but not greater. */
void
world_check_usage (struct soak *k)
{
	uint64_t reported[SOAK_ACCOUNTS] = {0}, run[SOAK_ACCOUNTS] = {0};
	uint64_t last = 0;
	GHashTableIter it;
	void *key, *value;

	g_hash_table_iter_init (&it, k->windows);
	while (g_hash_table_iter_next (&it, &key, &value)) {
		last = MAX (last, strtoull (key, NULL, 10));
		add_counts (reported, value);
	}
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct soak_req *r = value;

		if (r->runs > 0 && r->account < SOAK_ACCOUNTS &&
		    r->run_wall_ms < (last + 1) * SOAK_USAGE_WINDOW_MS)
			run[r->account]++;
	}
	for (uint32_t i = 0; i < SOAK_ACCOUNTS; i++) {
		if (reported[i] > run[i])
			soak_wrong (k,
				    ACCOUNT_PREFIX
				    "%u is billed for %" G_GUINT64_FORMAT
				    " requests of %" G_GUINT64_FORMAT,
				    i, reported[i], run[i]);
	}
}

static void
on_platform (struct h1srv_conn *c, const struct h1_head *h,
	     const GByteArray *body, void *ctx)
{
	struct soak *k = ctx;
	char *list;

	if (h->method_len == 3) {
		list = list_text (k);
		h1srv_answer (c, 200, NULL, list, strlen (list));
		g_free (list);
		return;
	}
	if (h->path_len == 6)
		check_usage (k, h, body);
	h1srv_answer (c, 200, NULL, "{}", 2);
}

static void
nobody (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

static const struct h1srv_ops platform_ops = {on_platform, nobody};

void
world_platform (struct soak *k, bool up)
{
	struct sockaddr_in at = local (k->platform.port);

	if (up == k->platform_up)
		return;
	if (up)
		up = h1srv_init (&k->platform, k->loop, &at, &limits,
				 &platform_ops, k, NULL);
	else
		h1srv_finish (&k->platform);
	k->platform_up = up;
}

void
world_init (struct soak *k)
{
	k->windows =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	world_platform (k, true);
	for (uint32_t i = 0; i < SOAK_EPS; i++) {
		k->eps[i] = (struct soak_ep){.k = k, .number = i};
		k->eps[i].jobs = g_ptr_array_new ();
		world_ep_up (&k->eps[i]);
	}
}

void
world_finish (struct soak *k)
{
	for (uint32_t i = 0; i < SOAK_EPS; i++) {
		world_ep_down (&k->eps[i]);
		g_ptr_array_free (k->eps[i].jobs, TRUE);
	}
	world_platform (k, false);
	g_hash_table_destroy (k->windows);
}
