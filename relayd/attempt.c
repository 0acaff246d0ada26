/*
 * Exchanges with endpoints, and what of them goes to the caller.
 */
#include <string.h>

#include "relayd.h"

/* An endpoint that takes no connection in this time is not used; a round trip
 * and its accepting take a few milliseconds. */
#define CONNECT_MS 400

/* Bytes that are not acknowledged, or probes that are not answered, for so
 * long: the endpoint is cut off or gone. */
#define USER_TIMEOUT_MS 1500
#define PROBE_S 1

/* A kept connection may be closing as we send.  Where the request can't go
 * elsewhere then, only a connection that was in use just now will do. */
#define IDLE_MAX_MS 60000
#define IDLE_ONCE_MS 1000

#define BUFFER_MAX_BYTES (8U << 20)
#define PENDING_MAX_BYTES (256U << 10)

/* What a first token takes beside reading: steps and the way. */
#define FIRST_MS 20.0

static bool
repeatable (const struct call *c)
{
	return c->route->kind == PLAN_IDEMPOTENT || c->route->resumable;
}

/* The answer's headers for the caller; framing is ours. */
static void
keep_headers (struct call *c, const struct h1_head *h)
{
	g_string_truncate (c->head, 0);
	for (size_t i = 0; i < h->count; i++) {
		const struct h1_header *x = &h->headers[i];

		if (h1_hop_header (h, x) || h1_is (x, "content-length"))
			continue;
		g_string_append_len (c->head, x->name, (gssize)x->name_len);
		g_string_append (c->head, ": ");
		g_string_append_len (c->head, x->value, (gssize)x->value_len);
		g_string_append (c->head, "\r\n");
	}
}

/* The first byte of the answer: the endpoint has begun. */
static void
first_byte (struct call *c)
{
	uint64_t now_ms = tmr_now_ms ();
	double took_ms = (double)(now_ms - c->sent_ms);
	struct fleet_ep *ep = c->ep;

	if (c->read)
		return;
	c->read = true;
	c->r->load_changed = true;
	ep->prefill_tokens = MAX (ep->prefill_tokens - c->to_read, 0);
	call_wake (c->r);
	if (c->account[0] != '\0')
		usage_count (c->r, c->account);
	if (c->service->is_engine)
		fleet_note_slowdown (&c->r->fleet, ep,
				     MAX (took_ms - FIRST_MS, 0) /
					     (c->plain_ms + FIRST_MS));
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct call *c = ctx;
	uint64_t now_ms = tmr_now_ms ();

	(void)x;
	c->r->dialect->parse_response (h, &c->answer);
	fleet_heard (c->ep, now_ms);
	if (c->answer.cold_ms > 0)
		fleet_set_cold (c->ep, c->answer.cold_ms, now_ms);
	c->status = h->status;
	if (h->status / 100 == 2 && (!echoed || !c->answer.sealed)) {
		/* Whose answer it is can't be told. */
		c->status = 0;
		return;
	}
	if (!c->begun)
		keep_headers (c, h);
	c->streams = c->route->kind == PLAN_STREAM && h->status == 200;
	if (!c->answer.not_executed && !c->streams)
		first_byte (c);
}

static void
begin_answer (struct call *c)
{
	GString *out = g_string_new (NULL);

	c->begun = true;
	c->first_ms = tmr_now_ms ();
	h1srv_head (c->caller, c->status, c->head->str, out);
	g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
	h1srv_write (c->caller, out->str, out->len);
	g_string_free (out, TRUE);
}

static void
write_chunk (struct call *c, const char *data, size_t len)
{
	char size[24];
	int n;

	if (len == 0)
		return;
	if (!c->begun)
		begin_answer (c);
	n = g_snprintf (size, sizeof size, "%zx\r\n", len);
	h1srv_write (c->caller, size, (size_t)n);
	h1srv_write (c->caller, data, len);
	h1srv_write (c->caller, "\r\n", 2);
	if (h1srv_pending (c->caller) > PENDING_MAX_BYTES && !c->paused) {
		c->paused = true;
		h1cli_pause (c->x);
	}
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct call *c = ctx;

	(void)x;
	if (c->status == 0)
		return;
	if (!c->streams) {
		if (c->buffer->len + len <= BUFFER_MAX_BYTES)
			g_string_append_len (c->buffer, data, (gssize)len);
		else
			c->status = 0;
		return;
	}
	fleet_heard (c->ep, tmr_now_ms ());
	first_byte (c);
	g_string_truncate (c->buffer, 0);
	if (!evstream_feed (&c->evstream, data, len, c->buffer))
		c->status = 0;
	else
		write_chunk (c, c->buffer->str, c->buffer->len);
}

static bool
answer_is_whole (const struct call *c, enum h1cli_end end)
{
	if (end != H1CLI_WHOLE || c->status == 0 || (c->begun && !c->streams))
		return false;
	return !c->streams || !evstream_is_partial (&c->evstream);
}

static void
serve (struct call *c)
{
	struct h1srv_conn *caller = c->caller;

	c->r->stats.served++;
	if (c->streams) {
		if (!c->begun)
			begin_answer (c);
		h1srv_write (caller, "0\r\n\r\n", 5);
		h1srv_set_data (caller, NULL);
		call_done (c, "served");
		h1srv_end (caller, true);
	} else {
		GString *head = g_string_new (c->head->str);
		GString *body = g_string_new_len (c->buffer->str,
						  (gssize)c->buffer->len);
		int status = c->status;

		c->first_ms = tmr_now_ms ();
		h1srv_set_data (caller, NULL);
		call_done (c, "served");
		h1srv_answer (caller, status, head->str, body->str, body->len);
		g_string_free (head, TRUE);
		g_string_free (body, TRUE);
	}
}

/* What the end of an exchange says of the endpoint. */
static void
learn (struct call *c, enum h1cli_end end, bool reused)
{
	struct fleet_ep *ep = c->ep;
	uint64_t now_ms = tmr_now_ms ();

	if (c->answer.misdirected) {
		log_event (LOG_LV_INFO, "endpoint",
			   "ep=%s addr=%s gone=another-has-its-address",
			   ep->info.id, ep->info.addr);
		fleet_retire (ep);
		return;
	}
	if (end == H1CLI_UNSENT ||
	    (end == H1CLI_BROKEN && !reused && c->status == 0 &&
	     !c->answer.not_executed)) {
		log_event (LOG_LV_INFO, "endpoint",
			   "ep=%s addr=%s doubted=1 end=%d", ep->info.id,
			   ep->info.addr, end);
		fleet_suspect (&c->r->fleet, ep, now_ms);
		return;
	}
	if (!c->answer.not_executed)
		fleet_outcome (ep,
			       end == H1CLI_WHOLE && c->status > 0 &&
				       c->status < 500,
			       now_ms);
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct call *c = ctx;
	bool whole = answer_is_whole (c, end);

	learn (c, end, h1cli_reused (x));
	if (end == H1CLI_UNSENT) {
		c->r->stats.unsent++;
		c->sends--; /* no endpoint saw it */
	} else if (!c->answer.not_executed) {
		c->runs++;
	}
	/* A failure that another endpoint may mend goes there first. */
	if (whole && !c->answer.not_executed && c->status < 500) {
		c->x = NULL;
		serve (c);
		return;
	}
	if (!whole)
		c->status = 0;
	call_after (c);
}

static const struct h1cli_ops back_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static GString *
request_text (struct call *c, uint64_t left_ms)
{
	GString *out = g_string_sized_new (512 + c->body->len);
	struct dia_forward s = {
		.endpoint_id = c->ep->info.id,
		.account = c->account[0] != '\0' ? c->account : NULL,
		.remaining_ms = left_ms,
		.tier = c->tier,
		.is_engine = c->service->is_engine,
		.last_event_id = c->evstream.last_id,
		.kv_source = c->copy_from[0] != '\0' ? c->copy_from : NULL,
	};

	g_string_append_printf (out, "%s HTTP/1.1\r\n%s", c->line->str,
				c->headers->str);
	c->r->dialect->format_headers (&s, out);
	if (c->body->len > 0 || strncmp (c->line->str, "GET ", 4) != 0)
		g_string_append_printf (out, "Content-Length: %u\r\n",
					c->body->len);
	g_string_append (out, "\r\n");
	g_string_append_len (out, (const char *)c->body->data, c->body->len);
	return out;
}

/* The engine will hold the prompt's parts; the other relays are told of those
 * that other prompts share. */
static void
remember (struct call *c, const struct place_result *v, uint64_t now_ms)
{
	bool told = place_should_advertise (&c->r->fleet, v, c->req.segments,
					    c->req.segment_count);

	fleet_add_segments (c->ep, c->req.segments, c->req.segment_count,
			    c->service->kv_capacity_tokens);
	for (uint32_t i = 0; told && i + 1 < c->req.segment_count; i++) {
		struct load_segment p = {c->req.segments[i].id, c->ep->ep_hash,
					 c->req.segments[i].tokens};

		if (c->r->sent_parts->len < LOADS_SEGMENTS_MAX &&
		    fleet_announce_due (c->ep, p.id, now_ms))
			g_array_append_val (c->r->sent_parts, p);
	}
}

void
back_send (struct call *c, const struct place_result *v)
{
	struct upstream *u = v->ep->owner_data;
	uint64_t now_ms = tmr_now_ms ();
	uint64_t left_ms =
		c->deadline_ms > now_ms ? c->deadline_ms - now_ms : 1;
	struct h1cli_req req = {
		.to_head = c->to_head,
		.echo_name = c->r->dialect->request_id_header,
		.echo_value = c->req.id,
		.idle_max_ms = repeatable (c) ? IDLE_MAX_MS : IDLE_ONCE_MS,
		.connect_ms = (uint32_t)MIN (CONNECT_MS, left_ms),
		.limits = {USER_TIMEOUT_MS, PROBE_S},
	};
	GString *text;

	c->ep = v->ep;
	c->sends++;
	c->r->stats.sends++;
	c->sent_ms = now_ms;
	c->to_read = v->prefill_tokens;
	g_strlcpy (c->copy_from,
		   v->copy_from != NULL ? v->copy_from->info.addr : "",
		   sizeof c->copy_from);
	c->plain_ms = v->nominal_ms;
	c->read = false;
	c->status = 0;
	c->answer = (struct dia_response){0};
	g_string_truncate (c->buffer, 0);
	evstream_restart (&c->evstream);
	c->r->load_changed = true;
	c->ep->last_sent_ms = now_ms;
	fleet_note_sent (&c->r->fleet, c->ep);
	c->ep->inflight++;
	c->ep->prefill_tokens += c->to_read;
	if (c->service->is_engine)
		remember (c, v, now_ms);
	log_event (LOG_LV_INFO, "send",
		   "req=%s service=%s ep=%s domain=%s why=%s predicted_ms=%.0f "
		   "to_read=%.0f copy_from=%s inflight=%u tier=%u "
		   "left_ms=%" G_GUINT64_FORMAT
		   " list_age_ms=%" G_GUINT64_FORMAT
		   " version=%" G_GUINT64_FORMAT,
		   c->req.id, c->service->name, c->ep->info.id,
		   c->ep->info.domain, place_reason_name (v->reason),
		   v->ttft_ms, v->prefill_tokens, c->copy_from, c->ep->inflight,
		   c->tier, left_ms, now_ms - c->r->list_ms, c->plan->version);
	text = request_text (c, left_ms);
	req.bytes = text->str;
	req.len = text->len;
	c->x = h1cli_start (&u->host, &req, &back_ops, c);
	g_string_free (text, TRUE);
}
