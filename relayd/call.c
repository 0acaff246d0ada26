/*
 * The life of a request: it waits for an endpoint, is sent, perhaps again,
 * and is answered.
 */
#include <string.h>

#include "relayd.h"

/* Waiting requests that are looked at in one turn. */
#define WAKE_MAX 200

/* What a refused caller is told to wait, spread so that they don't return
 * together: about what a lost endpoint's neighbours take to be free again. */
#define AFTER_MIN_MS 300
#define AFTER_SPREAD_MS 500

/* A caller that reads slowly stops the endpoint's stream beyond this. */
#define PENDING_MAX_BYTES (256U << 10)

static uint64_t
left_ms (const struct call *c, uint64_t now_ms)
{
	return c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 0;
}

static uint32_t
after_ms (struct call *c)
{
	return AFTER_MIN_MS +
	       (uint32_t)g_rand_int_range (c->r->rand, 0, AFTER_SPREAD_MS);
}

static void wait_no_more (struct call *c);

static void
call_free (struct call *c)
{
	struct relay *r = c->r;

	call_leave_ep (c);
	wait_no_more (c);
	g_ptr_array_remove_fast (r->calls, c);
	plan_unref (c->plan);
	g_string_free (c->line, TRUE);
	g_string_free (c->headers, TRUE);
	g_byte_array_unref (c->body);
	g_string_free (c->head, TRUE);
	g_string_free (c->buffer, TRUE);
	evstream_finish (&c->evstream);
	g_free (c);
}

/* Take the request off its endpoint's account; a running exchange ends. */
void
call_leave_ep (struct call *c)
{
	if (c->x != NULL)
		h1cli_cancel (c->x);
	c->x = NULL;
	if (c->ep == NULL)
		return;
	c->r->load_changed = true;
	call_wake (c->r);
	c->ep->inflight--;
	if (!c->read)
		c->ep->prefill_tokens =
			MAX (c->ep->prefill_tokens - c->to_read, 0);
	c->ep = NULL;
}

void
call_done (struct call *c, const char *outcome)
{
	uint64_t now_ms = tmr_now_ms ();

	log_event (LOG_LV_INFO, "done",
		   "req=%s outcome=%s status=%d route=%s account=%s sends=%u "
		   "first_ms=%" G_GUINT64_FORMAT " ms=%" G_GUINT64_FORMAT
		   " events=%" G_GUINT64_FORMAT,
		   c->req.id, outcome, c->status, c->route->name, c->account,
		   c->sends, c->first_ms > 0 ? c->first_ms - c->arrived_ms : 0,
		   now_ms - c->arrived_ms, c->evstream.events);
	if (c->first_ms > 0) {
		hist_add (&c->r->stats.first_us,
			  (c->first_ms - c->arrived_ms) * 1000);
		hist_add (&c->r->stats.whole_us,
			  (now_ms - c->arrived_ms) * 1000);
	}
	call_free (c);
}

void
call_gone (struct call *c)
{
	c->r->stats.gone++;
	c->caller = NULL;
	call_done (c, "caller-gone");
}

void
call_fail (struct call *c, int status, uint32_t wait_ms, const char *why)
{
	struct h1srv_conn *caller = c->caller;
	struct relay *r = c->r;
	char id[DIA_ID_BYTES];

	g_strlcpy (id, c->req.id, sizeof id);
	c->status = status;
	h1srv_set_data (caller, NULL);
	call_done (c, status == 503 ? "refused" : "failed");
	front_refuse (r, caller, id, status, wait_ms, why);
}

static gint
more_urgent (gconstpointer a, gconstpointer b, gpointer data)
{
	const struct call *x = a, *y = b;

	(void)data;
	return waitq_compare (&x->hold, &y->hold);
}

static void
wait_more (struct call *c)
{
	struct relay *r = c->r;

	if (c->waits != NULL)
		return;
	g_queue_insert_sorted (&r->waiting, c, more_urgent, NULL);
	c->waits = g_queue_find (&r->waiting, c);
}

static void
wait_no_more (struct call *c)
{
	if (c->waits != NULL)
		g_queue_delete_link (&c->r->waiting, c->waits);
	c->waits = NULL;
}

void
call_begin (struct call *c)
{
	waitq_entry_init (&c->hold, c->route, c->tier,
			  c->deadline_ms - c->arrived_ms, c->arrived_ms);
	rbudget_add_request (c->r->rbudget, c->service->name, c->arrived_ms);
	call_try (c);
}

static void
choose (struct call *c, struct place_result *v, uint64_t now_ms)
{
	struct place_relay rules = {c->r->set.domain, c->r->name_hash,
				    MAX (c->r->relays, 1)};
	struct place_req req = {
		.service = c->service,
		.segments = c->req.segments,
		.segment_count = c->req.segment_count,
		.prompt_tokens = c->req.prompt_tokens,
		.max_backlog_ms = waitq_max_backlog_ms (c->route),
		.late = waitq_is_late (&c->hold, c->route, now_ms),
		.tried_count = c->tried_count,
		.random = g_rand_int (c->r->rand),
	};

	for (uint32_t i = 0; i < c->tried_count; i++)
		req.tried[i] = c->tried[i];
	*v = place_choose (&c->r->fleet, &rules, &req, now_ms);
}

/* The reading that a request asks for counts from when it came, not from when
 * it was sent: endpoints are ordered by it, the more so while requests wait. */
static void
count_work (struct call *c, const struct place_result *v)
{
	if (!c->service->is_engine || c->counted ||
	    (v->ep == NULL && v->reason != PLACE_BUSY))
		return;
	c->counted = true;
	c->r->work_ms += v->prefill_tokens / PLACE_PREFILL_PER_MS;
	c->r->load_changed = true;
}

/* Send the request, or let it wait, or refuse it. */
void
call_try (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();
	struct place_result v;

	choose (c, &v, now_ms);
	count_work (c, &v);
	if (v.ep != NULL) {
		wait_no_more (c);
		back_send (c, &v);
		return;
	}
	if (now_ms <
	    waitq_refuse_at_ms (&c->hold, c->route, v.reason, c->lost_ms)) {
		wait_more (c);
		return;
	}
	wait_no_more (c);
	if (c->begun) {
		h1srv_set_data (c->caller, NULL);
		h1srv_end (c->caller, false);
		c->r->stats.cut++;
		call_done (c, "cut");
		return;
	}
	call_fail (c, c->runs > 0 ? 502 : 503, after_ms (c),
		   v.reason == PLACE_NONE ? "no endpoint"
					  : "endpoints are busy");
}

static void
pass_on (struct call *c)
{
	struct h1srv_conn *caller = c->caller;
	GString *headers = g_string_new (c->head->str);
	GString *body =
		g_string_new_len (c->buffer->str, (gssize)c->buffer->len);
	int status = c->status;

	c->r->stats.passed++;
	c->first_ms = tmr_now_ms ();
	h1srv_set_data (caller, NULL);
	call_done (c, "passed");
	h1srv_answer (caller, status, headers->str, body->str, body->len);
	g_string_free (headers, TRUE);
	g_string_free (body, TRUE);
}

static void
finish_as (struct call *c, enum again v)
{
	switch (v) {
	case FAILOVER_RETRY:
	case FAILOVER_RETRY_UNSENT:
		call_try (c);
		break;
	case FAILOVER_PASS:
		pass_on (c);
		break;
	case FAILOVER_REFUSE:
		call_fail (c, 503, after_ms (c), "not run");
		break;
	case FAILOVER_UNKNOWN:
		call_fail (c, 502, 0, "outcome unknown");
		break;
	case FAILOVER_CUT:
		h1srv_set_data (c->caller, NULL);
		h1srv_end (c->caller, false);
		c->r->stats.cut++;
		call_done (c, "cut");
		break;
	}
}

/* A send did not bring the answer; the exchange is over. */
void
call_after (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();
	struct failover_input f = {
		.kind = c->route->kind,
		.resumable = c->route->resumable,
		.sent = c->x == NULL || h1cli_sent (c->x),
		.not_run = c->answer.not_executed,
		.answered = c->status > 0 && !c->begun,
		.response_started = c->begun,
		.possible_runs = c->runs,
		.max_runs = c->route->max_attempts,
		.attempt_count = c->sends,
		.remaining_ms = left_ms (c, now_ms),
	};
	enum again v = failover_decide (&f);

	if (v == FAILOVER_RETRY &&
	    !rbudget_take (c->r->rbudget, c->service->name, c->r->relays,
			   now_ms))
		v = failover_final (&f);
	log_event (LOG_LV_INFO, "again",
		   "req=%s verdict=%s status=%d sent=%d not_run=%d begun=%d "
		   "runs=%u sends=%u left_ms=%" G_GUINT64_FORMAT,
		   c->req.id, failover_action_name (v), c->status, f.sent,
		   f.not_run, f.response_started, f.possible_runs,
		   f.attempt_count, f.remaining_ms);
	if (v == FAILOVER_RETRY || v == FAILOVER_RETRY_UNSENT) {
		c->r->stats.retries++;
		c->counted = false;
		if (c->tried_count < PLACE_TRIED_MAX && c->ep != NULL)
			c->tried[c->tried_count++] = c->ep;
		c->lost_ms = now_ms;
	}
	c->x = NULL;
	call_leave_ep (c);
	finish_as (c, v);
}

static void
call_expire (struct call *c)
{
	if (c->begun) {
		h1srv_set_data (c->caller, NULL);
		h1srv_end (c->caller, false);
		c->r->stats.cut++;
		call_done (c, "timeout-cut");
	} else if (c->sends == 0 ||
		   (c->runs == 0 && (c->x == NULL || !h1cli_sent (c->x)))) {
		call_fail (c, 503, after_ms (c), "no endpoint in time");
	} else {
		call_fail (c, 504, 0, "no answer in time");
	}
}

static void
on_wake (void *ctx)
{
	struct relay *r = ctx;
	struct call *list[WAKE_MAX];
	uint32_t n = 0;

	for (GList *at = r->waiting.head; at != NULL && n < WAKE_MAX;
	     at = at->next)
		list[n++] = at->data;
	/* One that is tried may end, but none of the others does by it. */
	for (uint32_t i = 0; i < n; i++)
		call_try (list[i]);
}

/* Endpoints may have become free: look at what waits, after this turn. */
void
call_wake (struct relay *r)
{
	if (r->waiting.length > 0)
		tmr_start (&r->wake, 0);
}

void
call_init (struct relay *r)
{
	r->calls = g_ptr_array_new ();
	g_queue_init (&r->waiting);
	tmr_init (&r->wake, r->d.loop, on_wake, r);
}

void
call_tick (struct relay *r, uint64_t now_ms)
{
	for (guint i = r->calls->len; i > 0; i--) {
		struct call *c;

		if (i > r->calls->len)
			continue;
		c = g_ptr_array_index (r->calls, i - 1);
		if (now_ms >= c->deadline_ms) {
			call_expire (c);
		} else if (c->paused &&
			   h1srv_pending (c->caller) < PENDING_MAX_BYTES / 2) {
			c->paused = false;
			h1cli_resume (c->x);
		}
	}
	on_wake (r);
}
