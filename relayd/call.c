/*
 * Admitted requests: placing, waiting, retries, and the end of the answer.
 */
#include <string.h>

#include "relayd.h"

/* Retry-After of refused requests: about the time in which the remaining
 * endpoints absorb the load of a lost one.  The spread keeps clients from
 * returning all at once. */
#define RETRY_AFTER_MIN_MS 300
#define RETRY_AFTER_SPREAD_MS 500

/* Bytes buffered for a slow client; the relay stops reading from the endpoint
 * above this, and continues below half of it. */
#define PENDING_MAX_BYTES (256U << 10)

/* Segment ids in a log line. */
#define LOGGED_SEGMENTS_MAX 8

static uint64_t
remaining_ms (const struct call *c, uint64_t now_ms)
{
	return c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 0;
}

static uint32_t
random_retry_after_ms (struct call *c)
{
	return RETRY_AFTER_MIN_MS +
	       (uint32_t)g_rand_int_range (c->r->rand, 0,
					   RETRY_AFTER_SPREAD_MS);
}

static void
call_free (struct call *c)
{
	struct relay *r = c->r;

	call_release_ep (c);
	call_set_held (c, 0);
	queue_remove (c);
	g_ptr_array_remove_fast (r->calls, c);
	plan_unref (c->plan);
	g_free (c->id);
	g_string_free (c->request_line, TRUE);
	g_string_free (c->headers, TRUE);
	g_byte_array_unref (c->body);
	g_string_free (c->answer_headers, TRUE);
	g_string_free (c->answer_body, TRUE);
	evstream_finish (&c->evstream);
	g_free (c);
}

void
call_release_ep (struct call *c)
{
	if (c->exchange != NULL) {
		blame_attempt_dropped (c);
		h1cli_cancel (c->exchange);
	}
	c->exchange = NULL;
	if (c->ep == NULL)
		return;
	c->r->load_changed = true;
	call_place_waiting (c->r);
	c->ep->inflight--;
	if (!c->first_byte_seen)
		c->ep->prefill_tokens =
			MAX (c->ep->prefill_tokens - c->prefill_tokens, 0);
	else if (c->is_stream)
		c->ep->answering--;
	if (c->paused)
		c->ep->paused--;
	c->paused = false;
	c->ep = NULL;
}

void
call_close (struct call *c, const char *outcome)
{
	uint64_t now_ms = tmr_now_ms ();

	log_event (
		LOG_LV_INFO, "done",
		"req=%s outcome=%s status=%d route=%s account=%s attempts=%u "
		"first_byte_ms=%" G_GUINT64_FORMAT
		" total_ms=%" G_GUINT64_FORMAT " events=%" G_GUINT64_FORMAT
		" max_gap_ms=%" G_GUINT64_FORMAT,
		c->id, outcome, c->status, c->route->name, c->account,
		c->attempts,
		c->first_byte_ms > 0 ? c->first_byte_ms - c->arrived_ms : 0,
		now_ms - c->arrived_ms, c->evstream.events, c->max_gap_ms);
	if (c->first_byte_ms > 0) {
		hist_add (&c->r->stats.first_byte_us,
			  (c->first_byte_ms - c->arrived_ms) * 1000);
		hist_add (&c->r->stats.total_us,
			  (now_ms - c->arrived_ms) * 1000);
	}
	call_free (c);
}

void
call_client_gone (struct call *c)
{
	c->r->stats.client_gone++;
	c->client = NULL;
	call_close (c, "caller-gone");
}

void
call_cut (struct call *c, const char *outcome)
{
	h1srv_set_data (c->client, NULL);
	h1srv_end (c->client, false);
	c->r->stats.cut++;
	call_close (c, outcome);
}

void
call_fail (struct call *c, int status, uint32_t retry_after_ms, const char *why)
{
	struct h1srv_conn *client = c->client;
	struct relay *r = c->r;
	char *id = g_strdup (c->id);

	c->status = status;
	h1srv_set_data (client, NULL);
	call_close (c, status == 503 ? "refused" : "failed");
	front_refuse (r, client, id, status, retry_after_ms, why);
	g_free (id);
}

void
call_admit (struct call *c)
{
	waitq_entry_init (&c->wait, c->route, c->tier,
			  c->deadline_ms - c->arrived_ms, c->arrived_ms);
	rbudget_add_request (c->r->rbudget, c->service->name, c->arrived_ms);
	call_place (c);
}

static void
choose_endpoint (struct call *c, struct place_result *v, uint64_t now_ms)
{
	struct place_relay self = {c->r->set.domain, c->r->name_hash,
				   MAX (c->r->relay_count, 1)};
	struct place_req req = {
		.service = c->service,
		.segments = c->req.segments,
		.segment_count = c->req.segment_count,
		.prompt_tokens = c->req.prompt_tokens,
		.max_backlog_ms = waitq_max_backlog_ms (c->route),
		.gap_target_ms =
			c->r->set.learn_speed ? c->route->gap_target_ms : 0,
		.shared_room = c->r->set.share_room,
		.room_is_short = c->r->dispatch.is_short,
		.unseen_ms = dispatch_unseen_ms (&c->r->dispatch),
		.may_repeat = attempt_is_repeatable (c) &&
			      c->maybe_run + 1 < c->route->max_attempts,
		.late = waitq_is_late (&c->wait, c->route, now_ms),
		.tried_count = c->tried_count,
		.random = g_rand_int (c->r->rand),
	};

	for (uint32_t i = 0; i < c->tried_count; i++)
		req.tried[i] = c->tried[i];
	*v = rollout_choose (c, &self, &req, now_ms);
}

/* The prefill of a request counts as demand from its arrival on, not only once
 * it is sent: the group derives the number of engines from that demand, which
 * matters most while requests wait. */
static void
count_prefill (struct call *c, const struct place_result *v)
{
	if (!c->service->is_engine || c->prefill_counted ||
	    (v->ep == NULL && v->reason != PLACE_BUSY))
		return;
	c->prefill_counted = true;
	c->r->prefill_total_ms += v->prefill_tokens / PLACE_PREFILL_PER_MS;
	c->r->load_changed = true;
}

void
call_place (struct call *c)
{
	uint64_t now_ms = tmr_now_ms (), give_up_ms;
	enum blame_verdict verdict = blame_judge_call (c);
	struct place_result v;

	switch (verdict) {
	case BLAME_REFUSE:
		return;
	case BLAME_WAIT:
		queue_add (c, NULL);
		return;
	case BLAME_SEND:
	case BLAME_SEND_AS_TRIAL:
	case BLAME_SEND_IF_GRANTED:
		break;
	}
	choose_endpoint (c, &v, now_ms);
	count_prefill (c, &v);
	if (v.ep != NULL && verdict == BLAME_SEND_IF_GRANTED) {
		blame_want_trial (c);
		queue_add (c, NULL);
		return;
	}
	if (queue_shares_room (c) &&
	    waitq_note_late (&c->wait, c->route, v.ttft_ms, now_ms) &&
	    c->queue_link != NULL)
		queue_move (c);
	if (v.ep != NULL && !queue_allows (c)) {
		v.ep = NULL;
		v.reason = PLACE_BUSY;
	}
	if (v.ep != NULL) {
		queue_remove (c);
		if (queue_shares_room (c))
			dispatch_sent (&c->r->dispatch, waitq_rank (&c->wait),
				       v.prefill_tokens);
		attempt_start (c, &v);
		return;
	}
	give_up_ms =
		c->headers_sent
			? waitq_resume_until_ms (c->route, c->last_piece_ms)
			: waitq_refuse_at_ms (&c->wait, c->route, v.reason,
					      c->last_failure_ms);
	if (now_ms < give_up_ms) {
		queue_add (c, &v);
		return;
	}
	queue_remove (c);
	if (c->headers_sent) {
		log_event (LOG_LV_INFO, "no-endpoint",
			   "req=%s why=%s waited_ms=%" G_GUINT64_FORMAT, c->id,
			   place_reason_name (v.reason),
			   now_ms - MIN (c->last_failure_ms, now_ms));
		call_cut (c, "cut");
		return;
	}
	call_fail (c, c->maybe_run > 0 ? 502 : 503, random_retry_after_ms (c),
		   v.reason == PLACE_NONE ? "no endpoint"
					  : "endpoints are busy");
}

static void
pass_on_answer (struct call *c)
{
	struct h1srv_conn *client = c->client;
	GString *headers = g_string_new (c->answer_headers->str);
	GString *body = c->answer_body;
	int status = c->status;

	c->answer_body = g_string_new (NULL);
	c->r->stats.passed_on++;
	c->first_byte_ms = tmr_now_ms ();
	h1srv_set_data (client, NULL);
	call_close (c, "passed");
	h1srv_answer (client, status, headers->str, body->str, body->len);
	g_string_free (headers, TRUE);
	g_string_free (body, TRUE);
}

static void
apply_verdict (struct call *c, enum failover_action v)
{
	switch (v) {
	case FAILOVER_RETRY:
	case FAILOVER_RETRY_UNSENT:
		call_place (c);
		break;
	case FAILOVER_PASS:
		pass_on_answer (c);
		break;
	case FAILOVER_REFUSE:
		call_fail (c, 503, random_retry_after_ms (c), "not run");
		break;
	case FAILOVER_UNKNOWN:
		call_fail (c, 502, 0, "outcome unknown");
		break;
	case FAILOVER_CUT:
		call_cut (c, "cut");
		break;
	case FAILOVER_CONTINUE:
		continue_start (c);
		break;
	}
}

static struct failover_input
failover_state (const struct call *c, uint64_t now_ms)
{
	return (struct failover_input){
		.kind = c->route->kind,
		.resumable = c->route->resumable,
		.sent = c->exchange == NULL || h1cli_sent (c->exchange),
		.not_run = c->answer.not_executed,
		.answered = c->status > 0 && !c->headers_sent,
		.response_started = c->headers_sent,
		.has_copy = c->backup_id[0] != '\0' && !c->continues,
		.possible_runs = c->maybe_run,
		.max_runs = c->route->max_attempts,
		.attempt_count = c->attempts,
		.remaining_ms = remaining_ms (c, now_ms),
	};
}

static bool
take_retry (struct call *c, uint64_t now_ms)
{
	return rbudget_take (c->r->rbudget, c->service->name, c->r->relay_count,
			     now_ms);
}

/* Prints the ids of the prompt segments that other requests may share. */
static void
print_shared_segments (const struct call *c, char *out, size_t size)
{
	size_t len = 0;

	out[0] = '\0';
	for (uint32_t i = 0; i + 1 < c->req.segment_count &&
			     i < LOGGED_SEGMENTS_MAX && len < size;
	     i++)
		len += (size_t)g_snprintf (
			out + len, size - len, "%s%" G_GINT64_MODIFIER "x",
			i > 0 ? "," : "", c->req.segments[i].id);
}

/* Time since the endpoint of the attempt sent a byte to this relay, or since
 * the attempt began. */
static uint64_t
silent_ms (const struct call *c, uint64_t now_ms)
{
	uint64_t heard_ms = c->sent_ms;

	if (c->ep != NULL)
		heard_ms = MAX (heard_ms, c->ep->last_heard_ms);
	return now_ms - MIN (heard_ms, now_ms);
}

static void
log_failed_attempt (struct call *c, const struct failover_input *f,
		    enum failover_action v, uint64_t now_ms)
{
	char segments[LOGGED_SEGMENTS_MAX * 17];

	print_shared_segments (c, segments, sizeof segments);
	log_event (LOG_LV_INFO, "attempt-failed",
		   "req=%s verdict=%s ep=%s status=%d sent=%d not_run=%d "
		   "headers_sent=%d maybe_run=%u attempts=%u "
		   "cut_off=%d silent_ms=%" G_GUINT64_FORMAT
		   " segments=%s remaining_ms=%" G_GUINT64_FORMAT,
		   c->id, failover_action_name (v),
		   c->ep != NULL ? c->ep->info.id : "", c->status, f->sent,
		   f->not_run, f->response_started, f->possible_runs,
		   f->attempt_count,
		   c->ep != NULL && fleet_is_cut_off (c->ep, now_ms),
		   silent_ms (c, now_ms), segments, f->remaining_ms);
}

/* Another attempt is to follow the one that ends. */
static void
count_retry (struct call *c, uint64_t now_ms)
{
	c->r->stats.retries++;
	c->prefill_counted = false;
	if (c->tried_count < PLACE_TRIED_MAX && c->ep != NULL)
		c->tried[c->tried_count++] = c->ep;
	c->last_failure_ms = now_ms;
}

/* Ends the attempt, whose exchange is over, and does what @v says. */
static void
end_attempt (struct call *c, const struct failover_input *f,
	     enum failover_action v, uint64_t now_ms)
{
	log_failed_attempt (c, f, v, now_ms);
	if (v == FAILOVER_RETRY || v == FAILOVER_RETRY_UNSENT)
		count_retry (c, now_ms);
	c->exchange = NULL;
	/* The engine is kept until its end is confirmed. */
	if (v != FAILOVER_CONTINUE)
		call_release_ep (c);
	apply_verdict (c, v);
}

void
call_attempt_failed (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();
	struct failover_input f = failover_state (c, now_ms);
	enum failover_action v = failover_decide (&f);

	if ((v == FAILOVER_RETRY || v == FAILOVER_CONTINUE) &&
	    !take_retry (c, now_ms))
		v = failover_final (&f);
	end_attempt (c, &f, v, now_ms);
}

/* Runs a request elsewhere whose endpoint is cut off.  Its connection would
 * time out only after its client has waited for long.  The endpoint may only be
 * silent for a moment, so it is left only for another one that takes the
 * request now. */
static void
leave_cut_off (struct call *c, uint64_t now_ms)
{
	struct failover_input f = failover_state (c, now_ms);
	struct place_result v;

	f.answered = false;
	f.possible_runs++;
	if (!f.sent || failover_decide (&f) != FAILOVER_RETRY ||
	    blame_bars_call (c))
		return;
	c->maybe_run++;
	choose_endpoint (c, &v, now_ms);
	if (v.ep == NULL || v.ep == c->ep || !take_retry (c, now_ms)) {
		c->maybe_run--;
		return;
	}
	log_failed_attempt (c, &f, FAILOVER_RETRY, now_ms);
	count_retry (c, now_ms);
	call_release_ep (c);
	attempt_start (c, &v);
}

static void
call_expire (struct call *c)
{
	if (c->headers_sent) {
		call_cut (c, "timeout-cut");
	} else if (c->attempts == 0 ||
		   (c->maybe_run == 0 &&
		    (c->exchange == NULL || !h1cli_sent (c->exchange)))) {
		call_fail (c, 503, random_retry_after_ms (c),
			   "no endpoint in time");
	} else {
		rollout_attempt_timed_out (c, tmr_now_ms ());
		call_fail (c, 504, 0, "no answer in time");
	}
}

void
call_expire_all (struct relay *r)
{
	while (r->calls->len > 0)
		call_expire (g_ptr_array_index (r->calls, r->calls->len - 1));
}

void
call_init (struct relay *r)
{
	r->calls = g_ptr_array_new ();
	g_queue_init (&r->waiting);
	tmr_init (&r->dispatch_timer, r->daemon.loop, queue_place_all, r);
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
		} else if (c->confirm_until_ms != 0) {
			continue_tick (c, now_ms);
		} else if (c->paused &&
			   h1srv_pending (c->client) < PENDING_MAX_BYTES / 2) {
			c->paused = false;
			c->ep->paused--;
			h1cli_resume (c->exchange);
		} else if (c->exchange != NULL &&
			   fleet_is_cut_off (c->ep, now_ms)) {
			leave_cut_off (c, now_ms);
		}
	}
	queue_place_all (r);
}
