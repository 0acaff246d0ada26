/*
 * Endpoints: what they do with requests, and the ways in which they fail.  Each
 * has a loop of its own, so that one whose loop is not run is a process that is
 * frozen: the kernel accepts and acknowledges for it.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define WORK_MS 10
#define DRAIN_MS 3000

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
	bool open_ended; /* neither a length nor chunks */
	int status;      /* it is not run and gets this; 0: it runs */
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

/* The head of an answer that ends with its connection. */
static void
open_ended_head (struct h1srv_conn *c, struct soak_ep *e, const char *headers,
		 GString *out)
{
	bool leaving = e->srv.leaving;

	e->srv.leaving = true;
	h1srv_head (c, 200, headers, out);
	e->srv.leaving = leaving;
}

/* Half of the answer, and a moment later the reset. */
static void
job_half (struct job *j)
{
	char *headers = answer_headers (j), *body = soak_answer (j->r->id);
	GString *out = g_string_new (NULL);

	if (j->open_ended)
		open_ended_head (j->conn, j->e, headers, out);
	else
		h1srv_head (j->conn, 200, headers, out);
	if (!j->open_ended)
		g_string_append_printf (out, "Content-Length: %zu\r\n",
					strlen (body));
	g_string_append_printf (out, "\r\n%.*s", (int)strlen (body) / 2, body);
	h1srv_write (j->conn, out->str, out->len);
	j->head_sent = true;
	tmr_start (&j->tmr, j->e->k->event_ms);
	g_string_free (out, TRUE);
	g_free (headers);
	g_free (body);
}

static void
job_plain (struct job *j)
{
	char *headers = answer_headers (j), *body = soak_answer (j->r->id);
	struct h1srv_conn *c = j->conn;
	struct soak_ep *e = j->e;
	bool open_ended = j->open_ended;
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
	} else if (open_ended) {
		text = g_string_new (NULL);
		open_ended_head (c, e, headers, text);
		g_string_append_printf (text, "\r\n%s", body);
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
event_head (struct job *j, GString *out)
{
	char *headers = answer_headers (j);

	if (j->open_ended)
		open_ended_head (j->conn, j->e, headers, out);
	else
		h1srv_head (j->conn, 200, headers, out);
	g_string_append_printf (
		out, "Content-Type: text/event-stream\r\n%s",
		j->open_ended ? "\r\n" : "Transfer-Encoding: chunked\r\n\r\n");
	j->head_sent = true;
	g_free (headers);
}

static void
job_end (struct job *j)
{
	struct h1srv_conn *c = j->conn;

	h1srv_set_data (c, NULL);
	job_free (j);
	h1srv_end (c, true);
}

static void
job_event (struct job *j)
{
	GString *out = g_string_new (NULL);
	struct h1srv_conn *c = j->conn;
	char event[128];
	int n;

	if (!j->head_sent)
		event_head (j, out);
	n = g_snprintf (event, sizeof event, "id: %u\ndata: %s %u\n\n", j->next,
			j->r->id, j->next);
	/* Broken off in the middle of an event. */
	if (j->next == j->cut_at)
		n /= 2;
	if (j->open_ended)
		g_string_append_len (out, event, n);
	else
		g_string_append_printf (out, "%x\r\n%.*s\r\n", (unsigned)n, n,
					event);
	if (j->next == j->last && j->cut_at == 0 && !j->open_ended)
		g_string_append (out, "0\r\n\r\n");
	h1srv_write (c, out->str, out->len);
	g_string_free (out, TRUE);
	if (j->next == j->cut_at && !j->open_ended)
		job_cut (j);
	else if (j->next == j->cut_at)
		job_end (j); /* inside an event, by a clean end */
	else if (j->next++ == j->last)
		job_end (j);
	else
		tmr_start (&j->tmr, j->e->k->event_ms);
}

static void
job_unrun (struct job *j)
{
	struct h1srv_conn *c = j->conn;
	bool refuses = j->status / 100 == 4 || j->status == 503;
	GString *headers = g_string_new (NULL);
	int status = j->status;

	g_string_printf (headers, "X-Instance-Id: %s\r\n", j->e->id);
	if (j->r != NULL)
		g_string_append_printf (headers, "X-Request-Id: %s\r\n",
					j->r->id);
	if (refuses)
		g_string_append (headers, "X-Not-Executed: 1\r\n");
	h1srv_set_data (c, NULL);
	job_free (j);
	h1srv_answer (c, status, headers->str, "", 0);
	g_string_free (headers, TRUE);
}

/* The endpoint goes down once its loop's turn is over. */
static void
job_crash (struct job *j)
{
	GString *out = g_string_new (NULL);

	if (j->e->k->crash.head && j->streams && !j->head_sent) {
		event_head (j, out);
		h1srv_write (j->conn, out->str, out->len);
		tmr_start (&j->tmr, WORK_MS);
	} else {
		j->e->crashing = true;
	}
	g_string_free (out, TRUE);
}

static void
job_flood (struct job *j)
{
	floods_write (j->conn, j->r, !j->head_sent);
	j->head_sent = true;
	tmr_start (&j->tmr, 1);
}

static void
on_job (void *ctx)
{
	struct job *j = ctx;
	uint64_t now_ms = tmr_now_ms ();

	if (now_ms < j->e->silent_until_ms)
		tmr_start (&j->tmr, j->e->silent_until_ms - now_ms);
	else if (j->status != 0)
		job_unrun (j);
	else if (j->e->mode == SOAK_MUTE)
		return;
	else if (j->r->crashes)
		job_crash (j);
	else if (j->e->mode == SOAK_FLOODS)
		job_flood (j);
	else if (!j->streams && j->head_sent)
		job_cut (j);
	else if (j->e->mode == SOAK_CUTS && !j->streams)
		job_half (j);
	else if (!j->streams ||
		 (j->e->mode == SOAK_FAILS && !(j->head_sent && j->open_ended)))
		job_plain (j);
	else
		job_event (j);
}

/* What an endpoint must never see, and what may run only once. */
static void
check_run (struct soak_ep *e, const struct h1_head *h, struct soak_req *r)
{
	char *tenant = h1_copy (h1_find (h, "X-Tenant"));
	char want[sizeof ACCOUNT_PREFIX + 16];

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
	e->k->quiet.reruns += r->strict && r->runs > 1;
	if (r->runs > 1 && (r->kind == SOAK_ONCE || r->kind == SOAK_STREAM))
		soak_wrong (e->k, "%s runs %u times", r->id, r->runs);
	if (e->leaving && e->k->calm && r->begun_ms > e->leaving_ms + DRAIN_MS)
		soak_wrong (e->k, "%s reaches %s, which left long ago", r->id,
			    e->id);
	g_free (tenant);
}

/* A request that is not run, or that is to run. */
static struct job *
job_new (struct soak_ep *e, struct h1srv_conn *c, struct soak_req *r,
	 int status)
{
	struct job *j = g_new0 (struct job, 1);

	*j = (struct job){.e = e, .conn = c, .r = r, .status = status};
	tmr_init (&j->tmr, e->loop, on_job, j);
	g_ptr_array_add (e->jobs, j);
	h1srv_set_data (c, j);
	return j;
}

static void
job_run (struct job *j, uint32_t last_event)
{
	struct soak_ep *e = j->e;
	struct soak_req *r = j->r;

	j->streams = r->kind >= SOAK_STREAM;
	j->next = last_event + 1;
	j->last = soak_events (r->id);
	j->open_ended = g_str_hash (r->id) % 8 == 0;
	if (e->mode == SOAK_CUTS && j->streams)
		j->cut_at = j->next + 1;
	e->ran[r->relay]++;
	tmr_start (&j->tmr, WORK_MS);
}

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	struct soak_ep *e = ctx;
	char *id = h1_copy (h1_find (h, "X-Request-Id"));
	char *expect = h1_copy (h1_find (h, "X-Expect-Instance"));
	char *last = h1_copy (h1_find (h, "Last-Event-Id"));
	struct soak_req *r =
		id != NULL ? g_hash_table_lookup (e->k->reqs, id) : NULL;
	int status = 0;

	(void)body;
	if (r != NULL)
		crash_reached (e, r);
	if (h->path_len == 7 && memcmp (h->path, "/health", 7) == 0) {
		status = 200;
	} else if (expect != NULL && strcmp (expect, e->id) != 0) {
		status = 421;
	} else if (r == NULL) {
		soak_wrong (e->k, "nobody sent %s", id);
		status = 400;
	} else if (e->mode == SOAK_REFUSES) {
		status = 503;
	} else {
		check_run (e, h, r);
	}
	if (status == 0)
		job_run (job_new (e, c, r, 0),
			 last != NULL ? (uint32_t)atoi (last) : 0);
	else
		on_job (job_new (e, c, r, status));
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

void
world_ep_up (struct soak_ep *e)
{
	struct sockaddr_in at = world_addr (e->k, e->port);

	if (e->up)
		return;
	if (e->loop == NULL)
		e->loop = h2o_evloop_create ();
	g_snprintf (e->id, sizeof e->id, "ep-%u-%u", e->number, ++e->start);
	e->leaving = false;
	e->mode = SOAK_WELL;
	e->silent_until_ms = 0;
	e->up = h1srv_init (&e->srv, e->loop, &at, &limits, &ep_ops, e, NULL);
	if (e->up)
		e->port = e->srv.port;
}

/* Its answers are reset: one that has no length would look whole. */
void
world_ep_down (struct soak_ep *e)
{
	for (guint i = e->jobs->len; i > 0; i--)
		job_cut (g_ptr_array_index (e->jobs, i - 1));
	if (e->up)
		h1srv_finish (&e->srv);
	e->up = false;
}

void
world_ep_silence (struct soak_ep *e, uint32_t ms, bool reads)
{
	struct soak_silence s = {.ms = ms, .begun_wall_ms = tmr_wall_ms ()};

	g_strlcpy (s.id, e->id, sizeof s.id);
	g_array_append_val (e->k->silences, s);
	e->silent_until_ms = tmr_now_ms () + ms;
	e->silence = e->k->silences->len;
	e->reads = reads;
}

/* It lasted longer where this process was held up. */
static void
note_awake (struct soak_ep *e, uint64_t now_ms)
{
	g_array_index (e->k->silences, struct soak_silence, e->silence - 1)
		.ms += (uint32_t)(now_ms - e->silent_until_ms);
	e->silence = 0;
}

/* Endpoints are awake but for those that read nothing either. */
void
world_run (struct soak *k)
{
	uint64_t now_ms = tmr_now_ms ();

	for (uint32_t i = 0; i < SOAK_EPS; i++) {
		struct soak_ep *e = &k->eps[i];

		if (e->silence != 0 && e->silent_until_ms != 0 &&
		    now_ms >= e->silent_until_ms)
			note_awake (e, now_ms);
		if (e->reads || !e->up || now_ms >= e->silent_until_ms)
			h2o_evloop_run (e->loop, 0);
		if (e->crashing)
			crash_ep (e);
	}
}
