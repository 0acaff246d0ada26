/*
 * Exchanges with endpoints: the request as the endpoint gets it, and its
 * answer as it comes.
 */
#include <string.h>
#include <strings.h>

#include "entryd.h"
#include "h1.h"
#include "log.h"

#define ANSWER_MAX_BYTES (8U << 20)
/* An endpoint is held back while its caller is so far behind. */
#define BUFFER_MAX_BYTES (256U << 10)
#define HEADERS_MAX 48

/* Headers that concern one connection, or that we set ourselves. */
static bool
header_stays_here (const h2o_header_t *h)
{
	static const char *const names[] = {
		"host",           "connection",
		"content-length", "transfer-encoding",
		"keep-alive",     "te",
		"upgrade",        "authorization",
		"x-api-key",      "proxy-authorization",
		"expect",         "trailer",
		"x-class",        "x-wait-ms",
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (names); i++) {
		if (h->name->len == strlen (names[i]) &&
		    strncasecmp (h->name->base, names[i], h->name->len) == 0)
			return true;
	}
	return false;
}

static size_t
forward_headers (struct req *r, struct httpc_header *out)
{
	const h2o_headers_t *in = &r->caller->headers;
	size_t key_len = strlen (r->key_text), n = 0;

	out[n++] = (struct httpc_header){"x-request-id", 12, r->id,
					 strlen (r->id)};
	for (size_t i = 0; i < in->size && n < HEADERS_MAX; i++) {
		const h2o_header_t *h = &in->entries[i];

		if (header_stays_here (h))
			continue;
		/* A caller may repeat its key in a header of its own. */
		if (key_len > 0 && memmem (h->value.base, h->value.len,
					   r->key_text, key_len) != NULL)
			continue;
		out[n++] = (struct httpc_header){h->name->base, h->name->len,
						 h->value.base, h->value.len};
	}
	return n;
}

static bool
streams (const struct req *r)
{
	return r->kind != INV_ROUTE_SERVICE && r->chat.stream &&
	       r->status == 200;
}

static void
on_head (struct httpc *c, int status, const struct httpc_header *headers,
	 size_t count, void *ctx)
{
	struct req *r = ctx;

	(void)c;
	r->target->heard_ms = tmr_now_ms ();
	r->status = status;
	r->type[0] = '\0';
	r->framed = false;
	r->length = SIZE_MAX;
	for (size_t i = 0; i < count; i++) {
		const struct httpc_header *h = &headers[i];

		if (h->name_len == 12 &&
		    strncasecmp (h->name, "content-type", 12) == 0 &&
		    h->value_len < sizeof r->type) {
			memcpy (r->type, h->value, h->value_len);
			r->type[h->value_len] = '\0';
		}
		if (h->name_len == 14 &&
		    strncasecmp (h->name, "content-length", 14) == 0) {
			r->framed = true;
			r->length = h2o_strtosize (h->value, h->value_len);
		}
		if (h->name_len == 17 &&
		    strncasecmp (h->name, "transfer-encoding", 17) == 0)
			r->framed = true;
	}
	if (!h1_has_body (status,
			  r->caller != NULL && httpd_is_head (r->caller)))
		r->framed = true;
}

static void
attempt_end (struct req *r, bool whole, bool failed)
{
	struct entry *e = r->e;
	struct bb_ep *ep = r->target->ep;
	uint64_t now_us = tmr_now_us ();
	struct route_attempt seen = {
		.sent_ms = r->sent_us / 1000,
		.ttft_ms =
			r->first_us != 0
				? (uint32_t)((r->first_us - r->sent_us) / 1000)
				: 0,
		.duration_ms = (uint32_t)((now_us - r->sent_us) / 1000),
		.uncached_tokens = r->chat.prompt_tokens,
		.load = r->load_at_dispatch,
		.complete = whole,
		.endpoint_failed = failed,
	};
	enum route_change change;

	if (r->first_us != 0 && r->sse_made && r->sse.tokens > 1)
		seen.itl_ms = (double)(r->last_us - r->first_us) / 1000.0 /
			      (r->sse.tokens - 1);
	change = route_observe (&e->route, ep, &seen, now_us / 1000);
	if (change != ROUTE_NO_CHANGE)
		log_event (LOG_LV_INFO, "endpoint", "ep=%s change=%s", ep->name,
			   change == ROUTE_PROVEN ? "proven" : "collapsed");
	if (change == ROUTE_TURNED_COLD)
		lease_cold (&e->lease, ep, now_us / 1000);
	susp_ended (&e->susp, r->fingerprint, whole || !failed, now_us / 1000);
	if (e->route.ops->uses_credits)
		lease_give (&e->lease, &r->slot, now_us / 1000);
	else
		bb_ep_done (ep, now_us / 1000);
	r->target->exchanges--;
	r->target = NULL;
	r->exchange = NULL;
	e->running--;
}

/* The endpoint failed the request: again elsewhere, or tell the caller. */
static void
attempt_failed (struct req *r, struct target *t, bool sent,
		const struct err *why)
{
	struct bb_ep *ep = t->ep;
	struct entry *e = r->e;
	struct class_stats *st = stat_class (e, r->node.klass->name);
	enum retry_why verdict;

	r->retry.response_started = r->begun;
	r->retry.resumable = r->sse_made && r->sse.numbered;
	r->retry.deadline_ms = r->total_deadline_ms;
	verdict = retry_decide (&e->retry, &r->retry, r->node.klass,
				r->node.pool, ep, sent, tmr_now_ms ());
	log_event (LOG_LV_INFO, "retry",
		   "req=%s ep=%s sent=%d verdict=%s why=\"%s\"", r->id,
		   ep->name, sent, retry_why_name (verdict), why->msg);
	if (retry_allowed (verdict) && r->caller != NULL) {
		st->retries++;
		if (verdict == RETRY_RESUME) {
			sse_resume (&r->sse);
			r->resume_from = r->sse.next_id;
		} else {
			if (r->sse_made)
				st->wasted_tokens += r->sse.tokens;
			back_reset (r);
		}
		if (target_checked (t, r))
			req_queue (r);
		return;
	}
	err_set (&r->failed, r->any_sent ? why->kind : ERR_NO_ENDPOINT, "%s",
		 why->msg);
	/* Once told, the caller may send it again through another entry. */
	if (r->caller == NULL || target_checked (t, r))
		front_fail (r, &r->failed, 0);
}

/* Forget a failed attempt's answer. */
void
back_reset (struct req *r)
{
	if (r->sse_made)
		sse_finish (&r->sse);
	r->sse_made = false;
	r->first_us = r->last_us = 0;
	r->status = 0;
	g_string_truncate (r->out, 0);
}

static void
begin_or_push (struct req *r)
{
	if (r->out->len == 0)
		return;
	if (!r->begun)
		answer_begin (r);
	answer_push (r);
}

static void
on_body (struct httpc *c, const char *data, size_t len, void *ctx)
{
	struct req *r = ctx;
	struct err e = {0};
	struct target *t = r->target;

	r->last_us = tmr_now_us ();
	t->heard_ms = r->last_us / 1000;
	if (r->first_us == 0)
		r->first_us = r->last_us;
	if (!streams (r)) {
		/* Another kind of answer has no place in a begun stream. */
		if (r->begun)
			return;
		g_string_append_len (r->out, data, (gssize)len);
		if (r->out->len <= ANSWER_MAX_BYTES)
			return;
		err_set (&e, ERR_ENDPOINT_REFUSED, "answer over %u bytes",
			 ANSWER_MAX_BYTES);
	} else {
		r->e->chunks++;
		if (sse_feed (&r->sse, data, len, r->out, &e)) {
			if (r->out->len > BUFFER_MAX_BYTES) {
				r->paused = true;
				httpc_pause (c);
			}
			begin_or_push (r);
			return;
		}
		e.kind = ERR_ENDPOINT_LOST;
	}
	httpc_cancel (c);
	attempt_end (r, false, true);
	attempt_failed (r, t, true, &e);
}

/* Whether the endpoint's answer as it ended, by @err or NULL, is all of it.  A
 * stream is whole with its last event, whatever became of its connection. */
static bool
is_whole (struct req *r, const struct err *err)
{
	if (streams (r))
		return (err == NULL || r->sse.whole) &&
		       sse_end (&r->sse, r->out);
	return err == NULL && r->framed;
}

/* Answers that another endpoint may do better. */
static bool
is_refusal (const struct req *r)
{
	return r->kind != INV_ROUTE_SERVICE &&
	       (r->status >= 500 || r->status == 429);
}

static void
finish (struct req *r)
{
	if (r->begun) {
		r->ended = true;
		answer_push (r);
		return;
	}
	if (r->claimed) {
		claim_outcome (r, answer_whole);
		return;
	}
	answer_whole (r);
}

static void
on_done (struct httpc *c, const struct err *err, void *ctx)
{
	struct req *r = ctx;
	struct target *t = r->target;
	struct bb_ep *ep = t->ep;
	bool sent = httpc_sent (c);
	bool whole = is_whole (r, err);
	/* A stream can go on only with a stream. */
	bool refused = whole && (is_refusal (r) || (r->begun && !streams (r)));
	struct err e = {0};

	r->any_sent = r->any_sent || sent;
	if (err != NULL && err->kind != ERR_TIMEOUT &&
	    err->kind != ERR_PROTOCOL)
		target_broke (t);
	attempt_end (r, whole && r->status < 400, !whole || refused);
	if (whole && !refused) {
		r->answered = true;
		finish (r);
		return;
	}
	if (refused)
		err_set (&e, ERR_ENDPOINT_REFUSED, "endpoint %s answered %d",
			 ep->name, r->status);
	else
		err_set (&e, ERR_ENDPOINT_LOST, "endpoint %s: %s", ep->name,
			 err != NULL ? err->msg : "answer was cut short");
	attempt_failed (r, t, sent, &e);
}

void
back_send (struct req *r, struct target *t)
{
	static const struct httpc_ops ops = {on_head, on_body, on_done};
	struct httpc_header headers[HEADERS_MAX + 1];
	char method[16];
	char *body = NULL;
	struct httpc_req q = {.method = method,
			      .path = r->path,
			      .headers = headers,
			      .body = r->body,
			      .body_len = r->body_len,
			      .fresh = !r->retry.repeatable};

	g_strlcpy (method, r->caller->method.base,
		   MIN (sizeof method, r->caller->method.len + 1));
	q.header_count = forward_headers (r, headers);
	if (r->kind != INV_ROUTE_SERVICE) {
		/* Engines take the lowest number first. */
		body = chat_body (r->body, r->body_len,
				  r->e->set.engine_priority
					  ? r->node.klass->def.tier - 1
					  : -1,
				  r->resume_from, &q.body_len);
		q.body = body;
		if (!r->sse_made)
			sse_init (&r->sse);
		r->sse_made = true;
	} else if (r->body_len == 0) {
		q.body = NULL;
	}
	r->target = t;
	memcpy (r->domain, t->ep->domain->name, sizeof r->domain);
	r->cheap = t->ep->inv->reclaimable;
	r->e->running++;
	r->state = REQ_SENT;
	r->sent_us = tmr_now_us ();
	if (t->exchanges++ == 0)
		t->heard_ms = r->sent_us / 1000;
	if (r->attempts == 1)
		hist_add (&stat_class (r->e, r->node.klass->name)->added_us,
			  r->sent_us - r->arrived_us);
	r->exchange = httpc_start (&t->peer, &q, &ops, r);
	g_free (body);
}

/* Stop the work that goes on for @r at an endpoint. */
void
back_cancel (struct req *r)
{
	if (r->exchange == NULL)
		return;
	if (r->sse_made)
		stat_class (r->e, r->node.klass->name)->wasted_tokens +=
			r->sse.tokens;
	r->any_sent = true;
	httpc_cancel (r->exchange);
	attempt_end (r, false, false);
}

/*
 * An endpoint answers nothing at all.  What may be repeated goes elsewhere; a
 * call that may not waits on, since its answer may still come.
 */
void
back_hung (struct target *t)
{
	struct entry *e = t->e;
	bool was_working = e->working;
	GList *next;
	struct err err;

	err_set (&err, ERR_ENDPOINT_LOST, "endpoint %s answers nothing",
		 t->ep->name);
	/* Keeps the queue from running, and freeing others, meanwhile. */
	e->working = true;
	for (GList *l = e->reqs; l != NULL; l = next) {
		struct req *r = l->data;

		next = l->next;
		if (r->target != t || r->exchange == NULL ||
		    !r->retry.repeatable)
			continue;
		r->any_sent = true;
		httpc_cancel (r->exchange);
		attempt_end (r, false, true);
		attempt_failed (r, t, true, &err);
	}
	e->working = was_working;
	work_wake (e);
}

/* End requests that ran past their class's whole time. */
void
back_timeouts (struct entry *e)
{
	uint64_t now_ms = tmr_now_ms ();
	GList *next;
	struct err err;

	for (GList *l = e->reqs; l != NULL; l = next) {
		struct req *r = l->data;

		next = l->next;
		if (r->exchange == NULL || now_ms < r->total_deadline_ms)
			continue;
		log_event (LOG_LV_INFO, "timeout", "req=%s ep=%s", r->id,
			   r->target->ep->name);
		back_cancel (r);
		err_set (&err, ERR_TIMEOUT, "no whole answer in time");
		front_fail (r, &err, 0);
	}
}
