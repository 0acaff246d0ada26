/*
 * Attempts: HTTP exchanges with endpoints, and what of their answers is
 * forwarded to the client.
 */
#include <string.h>

#include "fleet_pace.h"
#include "relayd.h"

/* An endpoint that accepts no connection in this time is suspect; a round trip
 * and accepting the connection take a few milliseconds. */
#define CONNECT_TIMEOUT_MS 400

/* An endpoint that leaves bytes or TCP keepalive probes unacknowledged for this
 * long is unreachable, terminated or silent.  Only a request that can start
 * anew elsewhere is better off without it. */
#define TCP_USER_TIMEOUT_MS 1500
#define KEEPALIVE_PROBE_S 1

/* The endpoint may close an idle connection while a request is sent on it.  A
 * request that can't be repeated then reuses a connection only if that was idle
 * for less than REUSE_IDLE_ONCE_MS. */
#define REUSE_IDLE_MAX_MS 60000
#define REUSE_IDLE_ONCE_MS 1000

/* Answers that aren't streams are forwarded complete, up to this size. */
#define ANSWER_MAX_BYTES (8U << 20)

/* All answers, and parts of events, that are held back together.  One may hold
 * as much as is left, so that several without end leave room for others. */
#define ANSWERS_MAX_BYTES (16U << 20)

/* Bytes of an answer that can't be used, after which its end is not awaited. */
#define UNUSABLE_MAX_BYTES (64U << 10)
/* Bytes buffered for a slow client, above which reading from the endpoint is
 * paused. */
#define PENDING_MAX_BYTES (256U << 10)

/* Time to the first token beyond prefill: decode steps and the network. */
#define TTFT_OVERHEAD_MS 20.0

bool
attempt_is_repeatable (const struct call *c)
{
	return c->route->kind == PLAN_IDEMPOTENT || c->route->resumable;
}

static const struct sio_limits start_anew_limits = {
	.user_timeout_ms = TCP_USER_TIMEOUT_MS,
	.probe_s = KEEPALIVE_PROBE_S,
};

/* A reset still ends the connection, also one that answers a probe after the
 * endpoint's restart; silence does not. */
static const struct sio_limits wait_limits = {
	.probe_s = KEEPALIVE_PROBE_S,
	.probe_count = SIO_PROBES_MAX,
};

/* Keeps the answer's headers for the client, without those about framing, which
 * the relay does itself.  An answer without a body may state the length that it
 * would have. */
static void
store_answer_headers (struct call *c, const struct h1_head *h)
{
	bool has_body = h1_has_body (h->status, c->is_head);

	g_string_truncate (c->answer_headers, 0);
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *x = &h->headers[i];

		if (h1_hop_header (h, x) ||
		    (has_body && h1_is (x, "content-length")))
			continue;
		g_string_append_len (c->answer_headers, x->name,
				     (gssize)x->name_len);
		g_string_append (c->answer_headers, ": ");
		g_string_append_len (c->answer_headers, x->value,
				     (gssize)x->value_len);
		g_string_append (c->answer_headers, "\r\n");
	}
}

/* The answer has started, so the prompt is prefilled. */
static void
record_first_byte (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();
	double took_ms = (double)(now_ms - c->sent_ms), factor;
	struct fleet_ep *ep = c->ep;

	if (c->first_byte_seen)
		return;
	c->first_byte_seen = true;
	if (c->is_stream)
		ep->answering++;
	rollout_answer_begun (c, took_ms);
	c->r->load_changed = true;
	ep->prefill_tokens = MAX (ep->prefill_tokens - c->prefill_tokens, 0);
	call_place_waiting (c->r);
	/* A request is billed once, however often it runs. */
	if (c->account[0] != '\0' && !c->usage_counted) {
		c->usage_counted = true;
		usage_count (c->r, c->account);
	}
	if (!c->service->is_engine) {
		fleet_pace_answered_plain (ep, took_ms);
		return;
	}
	if (c->r->set.learn_speed && !c->prefill_waited)
		fleet_add_prefill (&c->r->fleet, ep, c->prefill_tokens,
				   took_ms - TTFT_OVERHEAD_MS);
	factor = MAX (took_ms - TTFT_OVERHEAD_MS, 0) /
		 (c->prefill_ms + TTFT_OVERHEAD_MS);
	fleet_pace_answered (ep, factor);
	fleet_note_slowdown (&c->r->fleet, ep, factor);
}

/* Whether the body is a stream of events: what a server says by another type,
 * such as the text of an error, holds none.  A server may leave the type out.
 */
static bool
is_event_stream (const struct h1_head *h)
{
	static const char type[] = "text/event-stream";
	const struct h1_header *x = h1_find (h, "content-type");
	size_t len = sizeof type - 1;

	return h->status == 200 &&
	       (x == NULL || (x->value_len >= len &&
			      g_ascii_strncasecmp (x->value, type, len) == 0));
}

/* Whether clients take a status for a promise that the request never runs. */
static bool
promises_no_run (int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
on_answer_head (struct h1cli *x, const struct h1_head *h, bool echoed,
		void *ctx)
{
	struct call *c = ctx;
	uint64_t now_ms = tmr_now_ms ();

	(void)x;
	c->r->dialect->parse_response (h, &c->answer);
	fleet_heard (c->ep, now_ms);
	fleet_answered (c->ep);
	if (c->answer.cold_ms > 0)
		fleet_set_cold (c->ep, c->answer.cold_ms, now_ms);
	c->status = h->status;
	if ((h->status / 100 == 2 && (!echoed || !c->answer.sealed)) ||
	    (promises_no_run (h->status) && !c->answer.not_executed)) {
		/* It can't be verified that this answers our request, or the
		 * endpoint doesn't vouch for what the status says. */
		c->status = 0;
		return;
	}
	if (!c->headers_sent)
		store_answer_headers (c, h);
	c->is_stream = c->route->kind == PLAN_STREAM && !c->is_head &&
		       is_event_stream (h);
	if (!c->answer.not_executed && !c->is_stream)
		record_first_byte (c);
}

static void
send_headers (struct call *c)
{
	GString *out = g_string_new (NULL);

	c->headers_sent = true;
	c->first_byte_ms = tmr_now_ms ();
	if (c->exchange != NULL)
		h1cli_set_limits (c->exchange, &wait_limits);
	h1srv_head (c->client, c->status, c->answer_headers->str, out);
	g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
	h1srv_write (c->client, out->str, out->len);
	g_string_free (out, TRUE);
}

/* Records the longest time between two pieces that go to the client. */
static void
record_gap (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();

	if (c->last_piece_ms > 0)
		c->max_gap_ms = MAX (c->max_gap_ms, now_ms - c->last_piece_ms);
	c->last_piece_ms = now_ms;
}

static void
write_chunk (struct call *c, const char *data, size_t len)
{
	char size[24];
	int n;

	if (len == 0)
		return;
	if (!c->headers_sent)
		send_headers (c);
	record_gap (c);
	n = g_snprintf (size, sizeof size, "%zx\r\n", len);
	h1srv_write (c->client, size, (size_t)n);
	h1srv_write (c->client, data, len);
	h1srv_write (c->client, "\r\n", 2);
	if (h1srv_pending (c->client) > PENDING_MAX_BYTES && !c->paused) {
		c->paused = true;
		c->ep->paused++;
		h1cli_pause (c->exchange);
	}
}

static void on_attempt_end (struct h1cli *x, enum h1cli_end end, void *ctx);

void
call_set_held (struct call *c, size_t bytes)
{
	c->r->held_bytes += bytes;
	c->r->held_bytes -= c->held_bytes;
	c->held_bytes = bytes;
}

bool
call_held_fits (const struct call *c)
{
	return c->held_bytes <= ANSWER_MAX_BYTES &&
	       c->r->held_bytes + c->held_bytes <= ANSWERS_MAX_BYTES;
}

/* Ends the attempt at once: nothing that follows is of use. */
static void
drop_answer (struct call *c, struct h1cli *x, const char *why)
{
	log_event (LOG_LV_WARN, "answer-dropped",
		   "req=%s ep=%s why=\"%s\" held=%zu unusable=%zu held_all=%zu",
		   c->id, c->ep->info.id, why, c->held_bytes, c->unusable_bytes,
		   c->r->held_bytes);
	c->r->stats.dropped++;
	on_attempt_end (x, H1CLI_BAD, c);
	h1cli_cancel (x);
}

static void
on_answer_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct call *c = ctx;
	bool valid;

	if (c->status == 0) {
		c->unusable_bytes += len;
		if (c->unusable_bytes > UNUSABLE_MAX_BYTES)
			drop_answer (c, x, "not an answer to this request");
		return;
	}
	if (!c->is_stream) {
		call_set_held (c, c->held_bytes + len);
		if (call_held_fits (c))
			g_string_append_len (c->answer_body, data, (gssize)len);
		else
			drop_answer (c, x, "too long");
		return;
	}
	fleet_heard (c->ep, tmr_now_ms ());
	record_first_byte (c);
	g_string_truncate (c->answer_body, 0);
	valid = evstream_feed (&c->evstream, data, len, c->answer_body);
	if (c->answer_body->len > 0)
		blame_answer_begun (c);
	write_chunk (c, c->answer_body->str, c->answer_body->len);
	call_set_held (c, c->evstream.partial->len);
	if (!valid || !call_held_fits (c))
		drop_answer (c, x,
			     valid ? "events held back are too long"
				   : "an event is too long, or doesn't follow");
}

static bool
answer_is_complete (const struct call *c, enum h1cli_end end)
{
	if (end != H1CLI_WHOLE || c->status == 0 ||
	    (c->headers_sent && !c->is_stream))
		return false;
	return !c->is_stream || evstream_is_whole (&c->evstream);
}

/* Learns the speed of the engine from a stream that it sent alone. */
static void
learn_speed (struct call *c)
{
	struct load_speed s;

	if (!c->r->set.learn_speed || !c->is_stream || !c->service->is_engine ||
	    c->ep == NULL || c->attempts != 1 || c->continues)
		return;
	if (!fleet_add_speed (c->ep,
			      speed_measure (c->first_byte_ms, c->last_piece_ms,
					     c->evstream.events)))
		return;
	s = (struct load_speed){c->ep->ep_hash,
				(uint32_t)(c->ep->speed.gap_ms * 1000)};
	g_array_append_val (c->r->unreported_speeds, s);
}

static void
finish_answer (struct call *c)
{
	struct h1srv_conn *client = c->client;

	c->r->stats.served++;
	if (c->is_stream && c->headers_sent && c->service->is_engine)
		fleet_note_stream (&c->r->fleet,
				   (double)(tmr_now_ms () - c->first_byte_ms));
	learn_speed (c);
	if (c->is_stream) {
		if (!c->headers_sent)
			send_headers (c);
		h1srv_write (client, "0\r\n\r\n", 5);
		h1srv_set_data (client, NULL);
		call_close (c, "served");
		h1srv_end (client, true);
	} else {
		GString *head = g_string_new (c->answer_headers->str);
		GString *body = c->answer_body;
		int status = c->status;

		c->answer_body = g_string_new (NULL);

		c->first_byte_ms = tmr_now_ms ();
		h1srv_set_data (client, NULL);
		call_close (c, "served");
		h1srv_answer (client, status, head->str, body->str, body->len);
		g_string_free (head, TRUE);
		g_string_free (body, TRUE);
	}
}

/* Updates the health of the endpoint by how the exchange ended. */
static void
record_outcome (struct call *c, enum h1cli_end end, bool reused)
{
	struct fleet_ep *ep = c->ep;
	uint64_t now_ms = tmr_now_ms ();

	if (c->answer.misdirected) {
		log_event (LOG_LV_INFO, "endpoint", "ep=%s addr=%s replaced=1",
			   ep->info.id, ep->info.addr);
		fleet_retire (ep);
		return;
	}
	if (end == H1CLI_UNSENT ||
	    (end == H1CLI_BROKEN && !reused && c->status == 0 &&
	     !c->answer.not_executed)) {
		if (end == H1CLI_UNSENT)
			fleet_suspect (&c->r->fleet, ep, now_ms);
		else
			fleet_broke_request (&c->r->fleet, ep, now_ms);
		log_event (LOG_LV_INFO, "endpoint",
			   "ep=%s addr=%s suspect=1 end=%d trial=%d",
			   ep->info.id, ep->info.addr, end, ep->on_trial);
		return;
	}
	if (c->answer.not_executed)
		fleet_pace_refused (ep, now_ms);
	else
		fleet_outcome (ep,
			       end == H1CLI_WHOLE && c->status > 0 &&
				       c->status < 500,
			       now_ms);
}

static void
on_attempt_end (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct call *c = ctx;
	bool complete = answer_is_complete (c, end);
	bool cut = end == H1CLI_BROKEN && blame_domain_is_cut (c->r, c->ep);

	record_outcome (c, end, h1cli_reused (x));
	blame_attempt_ended (c, end);
	rollout_attempt_ended (c, end, cut);
	if (end == H1CLI_UNSENT) {
		c->r->stats.connect_failed++;
		c->attempts--; /* no endpoint received it */
	} else if (!c->answer.not_executed) {
		c->maybe_run++;
	}
	/* A server error is forwarded only if a retry at another endpoint isn't
	 * possible. */
	if (complete && !c->answer.not_executed && c->status < 500) {
		if (!c->is_stream)
			blame_answer_begun (c);
		c->exchange = NULL;
		finish_answer (c);
		return;
	}
	if (!complete)
		c->status = 0;
	call_attempt_failed (c);
}

static const struct h1cli_ops attempt_ops = {
	.head = on_answer_head,
	.data = on_answer_data,
	.done = on_attempt_end,
};

/* A stream that may not run again goes on from a copy of the run where its
 * engine ends.  The copy is as large as the prompt and what was generated, so
 * others, which can run again, do without it. */
static struct fleet_ep *
choose_backup (struct call *c, uint64_t now_ms)
{
	struct fleet_ep *backup = NULL;

	if (c->service->kv_backups && c->route->kind == PLAN_STREAM &&
	    !c->route->resumable && !c->continues)
		backup = place_choose_backup (&c->r->fleet, c->ep, c->service,
					      c->req.prompt_tokens +
						      c->req.max_output_tokens,
					      g_rand_int (c->r->rand), now_ms);
	g_strlcpy (c->backup_id, backup != NULL ? backup->info.id : "",
		   sizeof c->backup_id);
	return backup;
}

static GString *
format_head (struct call *c, const struct fleet_ep *backup,
	     uint64_t remaining_ms)
{
	GString *out = g_string_sized_new (512);
	struct dia_forward s = {
		.endpoint_id = c->ep->info.id,
		.account = c->account[0] != '\0' ? c->account : NULL,
		.remaining_ms = remaining_ms,
		.tier = c->tier,
		.is_engine = c->service->is_engine,
		.last_event_id = c->evstream.last_id,
		.kv_source = c->kv_from[0] != '\0' ? c->kv_from : NULL,
		.run_copy = c->continues ? c->ep->info.addr : NULL,
		.request_id = c->id,
	};

	if (backup != NULL)
		s.backup = backup->info.addr;
	g_string_append_printf (out, "%s HTTP/1.1\r\n%s", c->request_line->str,
				c->headers->str);
	c->r->dialect->format_headers (&s, out);
	if (c->body->len > 0 || strncmp (c->request_line->str, "GET ", 4) != 0)
		g_string_append_printf (out, "Content-Length: %u\r\n",
					c->body->len);
	return g_string_append (out, "\r\n");
}

/* Records that the engine will cache the prompt's segments.  Shared segments,
 * which are all but the last one, are reported to peer relays. */
static void
record_segments (struct call *c, const struct place_result *v, uint64_t now_ms)
{
	bool report = place_should_advertise (&c->r->fleet, v, c->req.segments,
					      c->req.segment_count);

	fleet_add_segments (c->ep, c->req.segments, c->req.segment_count,
			    c->service->kv_capacity_tokens);
	for (uint32_t i = 0; report && i + 1 < c->req.segment_count; i++) {
		struct load_segment segment = {c->req.segments[i].id,
					       c->ep->ep_hash,
					       c->req.segments[i].tokens};

		if (c->r->unreported_segments->len < LOADS_SEGMENTS_MAX &&
		    fleet_announce_due (c->ep, segment.id, now_ms))
			g_array_append_val (c->r->unreported_segments, segment);
	}
}

/* Whether another attempt may follow this one from the beginning. */
static bool
can_start_anew (const struct call *c)
{
	return attempt_is_repeatable (c) && !c->headers_sent &&
	       c->maybe_run + 1 < c->route->max_attempts;
}

void
attempt_start (struct call *c, const struct place_result *v)
{
	struct upstream *u = v->ep->owner_data;
	uint64_t now_ms = tmr_now_ms ();
	uint64_t remaining_ms =
		c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 1;
	struct h1cli_req req = {
		.to_head = c->is_head,
		.echo_name = c->r->dialect->request_id_header,
		.echo_value = c->id,
		.idle_max_ms = attempt_is_repeatable (c) ? REUSE_IDLE_MAX_MS
							 : REUSE_IDLE_ONCE_MS,
		.connect_ms = (uint32_t)MIN (CONNECT_TIMEOUT_MS, remaining_ms),
		.limits = can_start_anew (c) ? start_anew_limits : wait_limits,
	};
	GString *text;

	c->ep = v->ep;
	c->attempts++;
	c->r->stats.attempts++;
	c->sent_ms = now_ms;
	c->prefill_tokens = v->prefill_tokens;
	g_strlcpy (c->kv_from,
		   v->copy_from != NULL ? v->copy_from->info.addr : "",
		   sizeof c->kv_from);
	c->prefill_ms = v->nominal_ms;
	c->prefill_waited = v->copy_from != NULL || v->backlog_tokens > 0;
	c->first_byte_seen = c->is_stream = false;
	blame_attempt_started (c);
	rollout_attempt_started (c);
	c->status = 0;
	c->answer = (struct dia_response){0};
	g_string_truncate (c->answer_body, 0);
	evstream_restart (&c->evstream);
	call_set_held (c, 0);
	c->unusable_bytes = 0;
	c->r->load_changed = true;
	c->ep->last_sent_ms = now_ms;
	fleet_note_sent (&c->r->fleet, c->ep);
	if (c->ep->inflight++ == 0)
		c->ep->busy_since_ms = now_ms;
	c->ep->prefill_tokens += c->prefill_tokens;
	if (c->service->is_engine) {
		fleet_pace_sent (c->ep, c->prefill_tokens);
		record_segments (c, v, now_ms);
	}
	log_event (LOG_LV_INFO, "send",
		   "req=%s service=%s ep=%s domain=%s why=%s "
		   "predicted_ttft_ms=%.0f "
		   "prefill_tokens=%.0f kv_from=%s inflight=%u tier=%u "
		   "remaining_ms=%" G_GUINT64_FORMAT
		   " list_age_ms=%" G_GUINT64_FORMAT
		   " version=%" G_GUINT64_FORMAT,
		   c->id, c->service->name, c->ep->info.id, c->ep->info.domain,
		   place_reason_name (v->reason), v->ttft_ms, v->prefill_tokens,
		   c->kv_from, c->ep->inflight, c->tier, remaining_ms,
		   now_ms - c->r->list_read_ms, c->plan->version);
	text = format_head (c, choose_backup (c, now_ms), remaining_ms);
	req.bytes = text->str;
	req.len = text->len;
	req.body = c->body;
	c->exchange = h1cli_start (&u->host, &req, &attempt_ops, c);
	g_string_free (text, TRUE);
}
