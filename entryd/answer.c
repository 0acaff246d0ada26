/*
 * What goes to the caller: the head, pieces as they come, and an end that
 * says whether the answer is whole.
 */
#include <string.h>

#include "entryd.h"
#include "log.h"

#define RESUME_BYTES (64U << 10)

static void
set_head (struct req *r)
{
	h2o_req_t *h = r->caller;

	h->res.status = r->status;
	h->res.reason = r->status < 400 ? "OK" : "Error";
	if (r->type[0] != '\0')
		httpd_add_header (h, "content-type", r->type);
	httpd_add_header (h, "x-request-id", r->id);
	/* What an endpoint did before it answered an error, it alone knows. */
	httpd_add_header (
		h, "x-ran",
		err_ran_name (r->status < 400 ? ERR_RAN_YES : ERR_RAN_UNKNOWN));
}

/* Start a streamed answer; from here on it can only go on, or end as cut. */
void
answer_begin (struct req *r)
{
	r->begun = true;
	if (r->caller == NULL)
		return;
	set_head (r);
	h2o_start_response (r->caller, &r->gen);
}

static void
answer_end (struct req *r, h2o_send_state_t state)
{
	h2o_iovec_t buf = h2o_iovec_init (r->flight->str, r->flight->len);

	stat_done (r, state == H2O_SEND_STATE_FINAL);
	r->final = true;
	httpd_send (r->caller, &buf, state);
	req_over (r);
}

/* Hand to h2o what has gathered, when it is ready for more. */
void
answer_push (struct req *r)
{
	GString *swap = r->flight;
	h2o_iovec_t buf;

	if (r->caller == NULL) {
		if (r->ended)
			req_over (r);
		return;
	}
	if (r->sending || (r->out->len == 0 && !r->ended))
		return;
	r->flight = r->out;
	r->out = swap;
	if (r->paused && r->out->len < RESUME_BYTES) {
		r->paused = false;
		if (r->exchange != NULL)
			httpc_resume (r->exchange);
	}
	if (r->ended) {
		answer_end (r, r->cut ? H2O_SEND_STATE_ERROR
				      : H2O_SEND_STATE_FINAL);
		return;
	}
	r->sending = true;
	buf = h2o_iovec_init (r->flight->str, r->flight->len);
	httpd_send (r->caller, &buf, H2O_SEND_STATE_IN_PROGRESS);
}

/* Answer with what stands in r->out, all at once. */
void
answer_whole (struct req *r)
{
	uint32_t prompt = 0;
	GString *swap = r->flight;

	if (r->sse_made)
		sse_usage (r->out->str, r->out->len, &prompt, &r->sse.tokens);
	if (r->caller == NULL) {
		/* It ran, whoever hears the answer. */
		if (!r->stored)
			usage_answered (r, true);
		req_over (r);
		return;
	}
	set_head (r);
	r->caller->res.content_length =
		r->out->len > 0 || !httpd_is_head (r->caller) ? r->out->len
							      : r->length;
	r->flight = r->out;
	r->out = swap;
	h2o_start_response (r->caller, &r->gen);
	answer_end (r, H2O_SEND_STATE_FINAL);
}
