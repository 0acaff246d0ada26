/*
 * One request: built from its stream's distributions, sent, timed, checked
 * and counted.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "ask.h"

#define TOOL_LATE_US 2000
#define HEADERS_MAX 6
#define REQUEST_TIMEOUT_MS 0

static void ask_resend (const struct ask *old);

static uint32_t
draw_account (struct run_source *src)
{
	const GArray *all = src->run->scen->accounts;
	const GArray *mine = src->load->accounts;
	double x = g_rand_double (src->rand) * src->parts;

	for (guint i = 0; i < mine->len; i++) {
		uint32_t ix = g_array_index (mine, uint32_t, i);

		x -= g_array_index (all, struct scen_account, ix).part;
		if (x < 0)
			return ix;
	}
	return g_array_index (mine, uint32_t, mine->len - 1);
}

static uint32_t
draw_target (struct run_source *src)
{
	const GArray *t = src->load->targets;

	return g_array_index (t, uint32_t,
			      g_rand_int_range (src->rand, 0, (gint32)t->len));
}

/* Shared prefixes repeat; the rest of a prompt is its own. */
static void
append_prompt (GString *s, struct run_source *src, const char *tag)
{
	const struct scen_load *l = src->load;
	uint64_t len = scen_draw (&l->prompt, src->rand), which;
	gsize start = s->len;

	if (l->prefixes > 0) {
		which = g_rand_int (src->rand) % l->prefixes;
		while (s->len - start < l->prefix_bytes)
			g_string_append_printf (s, "prefix %" PRIu64 " of %s ",
						which, l->name);
	}
	start = s->len;
	do {
		g_string_append_printf (s, "%s ", tag);
	} while (s->len - start < len);
}

static GString *
build_body (struct ask *a, const char *tag, uint64_t tokens)
{
	struct run_source *src = a->source;
	const struct scen_load *l = src->load;
	GString *s = g_string_new (NULL);

	if (l->kind == SCEN_CALL) {
		g_string_printf (s, "{\"tag\":\"%s\"}", tag);
		return s;
	}
	g_string_printf (
		s,
		"{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%" PRIu64
		",\"x_tag\":\"%s\",\"x_tokens\":%" PRIu64 ",",
		l->model, l->stream ? "true" : "false", l->max_tokens, tag,
		tokens);
	if (l->stream)
		g_string_append (
			s, "\"stream_options\":{\"include_usage\":true},");
	g_string_append (s, l->kind == SCEN_CHAT
				    ? "\"messages\":[{\"role\":\"user\","
				      "\"content\":\""
				    : "\"prompt\":\"");
	append_prompt (s, src, tag);
	g_string_append (s, l->kind == SCEN_CHAT ? "\"}]}" : "\"}");
	return s;
}

static const char *
request_path (const struct scen_load *l)
{
	if (l->path[0] != '\0')
		return l->path;
	return l->kind == SCEN_CHAT ? "/v1/chat/completions"
				    : "/v1/completions";
}

static struct run_end *
end_of (struct run *r, const char *tag)
{
	struct run_end *end = g_hash_table_lookup (r->ends, tag);

	if (end != NULL)
		return end;
	end = g_new0 (struct run_end, 1);
	g_hash_table_insert (r->ends, g_strdup (tag), end);
	return end;
}

/* Only tags that the stand-ins' own account must answer for are kept. */
static void
note_end (struct ask *a, enum tally_outcome outcome)
{
	const struct scen_load *l = a->source->load;
	struct run_end *end;

	if (outcome != TALLY_REFUSED && l->kind != SCEN_CALL)
		return;
	end = end_of (a->run, a->check.tag);
	end->call = l->kind == SCEN_CALL;
	end->once = l->once;
	end->told_done |= outcome == TALLY_WHOLE;
	end->told_not_run |= outcome == TALLY_REFUSED;
	end->told_other |= outcome != TALLY_REFUSED;
}

static void
count (struct ask *a, enum tally_outcome outcome, uint64_t now_us)
{
	struct tally_request r = {
		.class_ix = a->source->load->class_ix,
		.account_ix = a->account_ix,
		.outcome = outcome,
		.ttft_us = a->first_us > 0 ? a->first_us - a->start_us : 0,
		.total_us = now_us - a->start_us,
		.tokens = a->check.next,
		.asked = a->check.expect,
		.at_s = a->at_s,
		.call = a->source->load->kind == SCEN_CALL,
	};

	note_end (a, outcome);
	if (outcome == TALLY_WRONG)
		tally_why (a->run->tally, "%s: %s", a->check.tag, a->check.why);
	if (a->counted && a->at_s >= a->run->scen->warmup_s)
		tally_add (a->run->tally, &r);
	else
		a->run->tally->tokens_before += r.tokens;
}

static void
ask_free (struct ask *a)
{
	struct run *r = a->run;

	g_queue_unlink (&r->asks, &a->link);
	r->open--;
	check_finish (&a->check);
	g_free (a);
}

static void
on_head (struct httpc *h, int status, const struct httpc_header *headers,
	 size_t count_, void *ctx)
{
	struct ask *a = ctx;

	(void)h;
	a->status = status;
	for (size_t i = 0; i < count_; i++) {
		if (headers[i].name_len == 5 &&
		    strncasecmp (headers[i].name, "x-ran", 5) == 0)
			snprintf (a->ran, sizeof a->ran, "%.*s",
				  (int)headers[i].value_len, headers[i].value);
	}
}

static void
on_body (struct httpc *h, const char *data, size_t len, void *ctx)
{
	struct ask *a = ctx;
	uint64_t got, now;

	(void)h;
	if (a->status != 200) {
		g_string_append_len (a->check.buf, data, (gssize)len);
		return;
	}
	got = check_feed (&a->check, data, len);
	if (got == 0)
		return;
	now = tmr_now_us ();
	if (a->first_us == 0)
		a->first_us = now;
	else
		tally_hist_add (
			&a->run->tally->classes[a->source->load->class_ix].gap,
			now - a->last_us);
	a->last_us = now;
}

/* The name of an error in the answer's body, for the report. */
static void
note_error (struct ask *a)
{
	struct json_object *o = json_tokener_parse (a->check.buf->str), *e, *v;
	char name[64];

	snprintf (name, sizeof name, "status %d", a->status);
	if (json_object_object_get_ex (o, "error", &e) &&
	    json_object_is_type (e, json_type_object)) {
		if (json_object_object_get_ex (e, "ran", &v) &&
		    a->ran[0] == '\0')
			snprintf (a->ran, sizeof a->ran, "%s",
				  json_object_get_string (v));
		if (json_object_object_get_ex (e, "code", &v) ||
		    json_object_object_get_ex (e, "kind", &v) ||
		    json_object_object_get_ex (e, "type", &v))
			snprintf (name, sizeof name, "%d %s", a->status,
				  json_object_get_string (v));
	}
	json_object_put (o);
	tally_error (a->run->tally, name);
}

static enum tally_outcome
call_outcome (struct ask *a, const struct err *e)
{
	struct json_object *o, *v;
	bool same;

	if (e != NULL)
		return TALLY_FAILED;
	o = json_tokener_parse (a->check.buf->str);
	same = json_object_object_get_ex (o, "tag", &v) &&
	       strcmp (json_object_get_string (v), a->check.tag) == 0;
	if (strcmp (a->source->load->method, "POST") != 0)
		same = o != NULL;
	json_object_put (o);
	if (!same)
		snprintf (a->check.why, sizeof a->check.why,
			  "answer to another call");
	return same ? TALLY_WHOLE : TALLY_WRONG;
}

static enum tally_outcome
verdict (struct ask *a, const struct err *e)
{
	if (a->status != 200) {
		if (a->status == 0)
			tally_error (a->run->tally,
				     e != NULL ? err_name (e->kind) : "none");
		else
			note_error (a);
		return a->status != 0 && strcmp (a->ran, "no") == 0
			       ? TALLY_REFUSED
			       : TALLY_FAILED;
	}
	if (a->source->load->kind == SCEN_CALL)
		return call_outcome (a, e);
	switch (check_end (&a->check, e == NULL)) {
	case CHECK_WHOLE:
		return TALLY_WHOLE;
	case CHECK_CUT:
		tally_error (a->run->tally, "cut");
		return TALLY_CUT;
	case CHECK_WRONG:
		break;
	}
	return TALLY_WRONG;
}

static void
on_done (struct httpc *h, const struct err *e, void *ctx)
{
	struct ask *a = ctx;
	struct run_source *src = a->source;
	struct run *r = a->run;
	uint64_t now = tmr_now_us ();
	enum tally_outcome outcome = verdict (a, e);

	(void)h;
	a->http = NULL;
	/* A whole answer's last token comes with its end. */
	if (outcome == TALLY_WHOLE && a->first_us == 0)
		a->first_us = now;
	count (a, outcome, a->last_us > 0 ? a->last_us : now);
	if (a->resends_left > 0 && !r->stopping)
		ask_resend (a);
	ask_free (a);
	if (src->load->concurrency > 0 && !r->stopping)
		ask_send (src, (double)(now - r->start_us) / 1e6);
	if (r->stopping && r->open == 0)
		tmr_start (&r->phase, 0);
}

static void
start_http (struct ask *a, const char *body, size_t len)
{
	static const struct httpc_ops ops = {on_head, on_body, on_done};
	const struct scen *scen = a->run->scen;
	const struct scen_load *l = a->source->load;
	const struct scen_account *account = &g_array_index (
		scen->accounts, struct scen_account, a->account_ix);
	struct httpc_header headers[HEADERS_MAX];
	struct httpc_req req = {
		.method = l->kind == SCEN_CALL ? l->method : "POST",
		.path = request_path (l),
		.headers = headers,
		.body = strcmp (l->method, "GET") == 0 ? NULL : body,
		.body_len = strcmp (l->method, "GET") == 0 ? 0 : len,
		.timeout_ms = REQUEST_TIMEOUT_MS,
	};
	char bearer[SCEN_NAME_BYTES + 16];
	size_t n = 0;

	headers[n++] = (struct httpc_header){"content-type", 12,
					     "application/json", 16};
	if (account->key[0] != '\0') {
		snprintf (bearer, sizeof bearer, "Bearer %s", account->key);
		headers[n++] = (struct httpc_header){"authorization", 13,
						     bearer, strlen (bearer)};
	}
	if (scen->class_header[0] != '\0')
		headers[n++] = (struct httpc_header){
			scen->class_header, strlen (scen->class_header),
			l->klass, strlen (l->klass)};
	if (l->once)
		headers[n++] = (struct httpc_header){"idempotency-key", 15,
						     a->check.tag,
						     strlen (a->check.tag)};
	req.header_count = n;
	a->http = httpc_start (&a->run->targets[a->target], &req, &ops, a);
}

static struct ask *
ask_new (struct run_source *src, const char *tag, uint64_t tokens)
{
	struct ask *a = g_new0 (struct ask, 1);
	struct run *r = src->run;
	bool stream = src->load->stream && src->load->kind != SCEN_CALL;

	a->run = r;
	a->source = src;
	a->link.data = a;
	check_init (&a->check, tag, tokens, stream, r->scen->verify);
	g_queue_push_tail_link (&r->asks, &a->link);
	r->open++;
	r->tally->max_open = MAX (r->tally->max_open, r->open);
	return a;
}

void
ask_send (struct run_source *src, double due_s)
{
	struct run *r = src->run;
	const struct scen_load *l = src->load;
	uint64_t due_us = r->start_us + (uint64_t)(due_s * 1e6);
	uint64_t tokens =
		l->kind == SCEN_CALL ? 0 : scen_draw (&l->output, src->rand);
	char tag[CHECK_TAG_BYTES];
	struct ask *a;
	GString *body;

	/* Unique over runs as well, so that none meets another's calls. */
	snprintf (tag, sizeof tag, "r%" PRIu64 "x%" PRIx64 "x%" PRIu64,
		  r->scen->seed, r->id, ++r->serial);
	a = ask_new (src, tag, MIN (tokens, l->max_tokens));
	a->counted = true;
	a->resends_left = l->resend;
	a->account_ix = draw_account (src);
	a->target = draw_target (src);
	a->at_s = due_s;
	body = build_body (a, tag, tokens);
	a->start_us = tmr_now_us ();
	/* A delay of this tool's own must not hide that of an answer. */
	if (a->start_us > due_us + TOOL_LATE_US) {
		a->start_us = due_us;
		r->tally->sent_late++;
	}
	start_http (a, body->str, body->len);
	g_string_free (body, TRUE);
}

/* The same call again, with the same key, perhaps through another entry. */
static void
ask_resend (const struct ask *old)
{
	struct ask *a = ask_new (old->source, old->check.tag, 0);
	GString *body;

	a->resends_left = old->resends_left - 1;
	a->account_ix = old->account_ix;
	a->target = draw_target (old->source);
	a->at_s = old->at_s;
	a->start_us = tmr_now_us ();
	body = build_body (a, a->check.tag, 0);
	start_http (a, body->str, body->len);
	g_string_free (body, TRUE);
}

void
ask_abandon (struct ask *a)
{
	if (a->http != NULL)
		httpc_cancel (a->http);
	count (a, TALLY_UNFINISHED, tmr_now_us ());
	ask_free (a);
}

static uint64_t
ran_count (const struct run *r, const char *tag, bool *certain)
{
	uint64_t n = 0;

	*certain = true;
	for (guint i = 0; i < r->scen->standins->len; i++) {
		const struct run_standin *s = &r->standins[i];

		if (s->ran != NULL)
			n += GPOINTER_TO_SIZE (
				g_hash_table_lookup (s->ran, tag));
		else
			*certain = false;
	}
	return n;
}

void
ask_verify (struct run *r)
{
	GHashTableIter it;
	void *tag, *value;

	if (r->scen->standins->len == 0)
		return;
	for (guint i = 0; i < r->scen->standins->len; i++)
		r->tally->credentials +=
			(uint64_t)(r->tally->last[i].credentials -
				   r->tally->first[i].credentials);
	g_hash_table_iter_init (&it, r->ends);
	while (g_hash_table_iter_next (&it, &tag, &value)) {
		const struct run_end *end = value;
		bool certain;
		uint64_t n = ran_count (r, tag, &certain);

		if (end->told_not_run && !end->told_other && n > 0) {
			r->tally->false_not_run++;
			tally_why (r->tally, "%s: said not run, ran %" PRIu64,
				   (char *)tag, n);
		}
		if (end->once && n > 1) {
			r->tally->ran_twice++;
			tally_why (r->tally, "%s: ran %" PRIu64 " times",
				   (char *)tag, n);
		}
		if (end->once && end->told_done && n == 0 && certain) {
			r->tally->lost_calls++;
			tally_why (r->tally, "%s: said done, never ran",
				   (char *)tag);
		}
	}
}
