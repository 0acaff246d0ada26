/*
 * Idempotency records: committed by the control members before a call that
 * may not be repeated is sent, and closed with its outcome after.
 */
#include <string.h>

#include "entryd.h"
#include "log.h"

#define CLAIM_TIMEOUT_MS 3000
#define OUTCOME_TIMEOUT_MS 1000
#define OUTCOME_RESEND_MS 500
/* Outcomes that wait for control; at the bound no further call is claimed. */
#define OUTCOMES_MAX 2048
#define OUTCOME_BODY_MAX_BYTES (256U << 10)

/* An outcome that control has not confirmed yet. */
struct outcome {
	struct entry *e;
	struct sm_claim_done done;
	char *body;
	struct req *r; /* waits for it, or NULL */
	void (*then) (struct req *r);
	uint64_t sent_ms;
	bool asked;
};

static void
outcome_free (struct outcome *o)
{
	g_free (o->body);
	g_free (o);
}

static void
on_outcome (const struct err *err, const struct sm_reply *reply, void *ctx)
{
	struct outcome *o = ctx;
	struct req *r = o->r;

	(void)reply;
	o->asked = false;
	o->r = NULL;
	if (err != NULL) {
		/* Sent again by claim_tick(); the caller waits no longer. */
		log_event (LOG_LV_DEBUG, "outcome", "key=%s why=\"%s\"",
			   o->done.key, err->msg);
	} else {
		g_ptr_array_remove_fast (o->e->outcomes, o);
	}
	if (r != NULL)
		o->then (r);
	if (err == NULL)
		outcome_free (o);
}

static void
outcome_send (struct outcome *o, uint64_t now_ms)
{
	o->asked = true;
	o->sent_ms = now_ms;
	conf_command (o->e, SM_CLAIM_DONE, sm_claim_done_fields, &o->done,
		      OUTCOME_TIMEOUT_MS, on_outcome, o);
}

static struct outcome *
outcome_new (struct req *r, enum sm_outcome what)
{
	struct outcome *o = g_new0 (struct outcome, 1);

	o->e = r->e;
	memcpy (o->done.account, r->account, sizeof o->done.account);
	memcpy (o->done.key, r->idem_key, sizeof o->done.key);
	memcpy (o->done.entry, r->e->self.name, sizeof o->done.entry);
	o->done.incarnation = r->e->self.incarnation;
	o->done.attempt = r->claim_attempt;
	o->done.outcome = (uint8_t)what;
	o->done.wall_ms = tmr_wall_ms ();
	g_ptr_array_add (r->e->outcomes, o);
	return o;
}

/*
 * Store what became of a claimed call.  @then, where given, is called once
 * it is committed, or after a second without an answer.
 */
void
claim_outcome (struct req *r, void (*then) (struct req *r))
{
	enum sm_outcome what = SM_NOT_SENT;
	struct outcome *o;

	r->claimed = false;
	if (r->answered && r->out->len <= OUTCOME_BODY_MAX_BYTES)
		what = SM_ANSWERED;
	else if (r->any_sent)
		what = SM_UNKNOWN;
	o = outcome_new (r, what);
	if (what == SM_ANSWERED) {
		o->body = g_memdup2 (r->out->str, r->out->len);
		o->done.body.data = (const uint8_t *)o->body;
		o->done.body.len = (uint32_t)r->out->len;
		o->done.status = (uint16_t)r->status;
		memcpy (o->done.type, r->type, sizeof o->done.type);
	}
	log_event (LOG_LV_INFO, "outcome", "req=%s key=%s outcome=%d", r->id,
		   r->idem_key, what);
	o->r = then != NULL ? r : NULL;
	o->then = then;
	outcome_send (o, tmr_now_ms ());
}

/* Send again what control has not confirmed. */
void
claim_tick (struct entry *e, uint64_t now_ms)
{
	for (guint i = 0; i < e->outcomes->len; i++) {
		struct outcome *o = g_ptr_array_index (e->outcomes, i);

		if (!o->asked && now_ms - o->sent_ms >= OUTCOME_RESEND_MS)
			outcome_send (o, now_ms);
	}
}

void
claim_finish (struct entry *e)
{
	for (guint i = 0; i < e->outcomes->len; i++)
		outcome_free (g_ptr_array_index (e->outcomes, i));
	g_ptr_array_unref (e->outcomes);
}

/* The call was answered before: the caller gets that answer again. */
static void
answer_stored (struct req *r, const struct sm_reply *reply)
{
	log_event (LOG_LV_INFO, "claim", "req=%s verdict=stored", r->id);
	r->stored = true;
	r->status = reply->status;
	memcpy (r->type, reply->type, sizeof r->type);
	g_string_append_len (r->out, (const char *)reply->body.data,
			     reply->body.len);
	answer_whole (r);
}

static void
on_claim (const struct err *e, const struct sm_reply *reply, void *ctx)
{
	struct req *r = ctx;
	struct err err = {0};

	if (e != NULL) {
		/* Nothing was sent.  Where the claim may have been committed,
		 * the record must say so, or a resend would wait for ever. */
		if (e->kind == ERR_OUTCOME_UNKNOWN)
			outcome_send (outcome_new (r, SM_NOT_SENT),
				      tmr_now_ms ());
		err_set (&err, ERR_NO_QUORUM, "idempotency record: %s", e->msg);
		front_fail (r, &err, 0);
		return;
	}
	if (reply->granted) {
		log_event (LOG_LV_INFO, "claim", "req=%s verdict=granted",
			   r->id);
		r->claimed = true;
		if (r->caller != NULL)
			req_queue (r);
		else
			req_over (r);
		return;
	}
	if (reply->kind == ERR_NONE && reply->outcome == SM_ANSWERED) {
		answer_stored (r, reply);
		return;
	}
	err_set (&err, reply->kind != ERR_NONE ? reply->kind : ERR_INTERNAL,
		 "%s", reply->why);
	front_fail (r, &err, 0);
}

/* Ask control for the right to send @r's call. */
void
claim_ask (struct req *r)
{
	struct sm_claim c = {.incarnation = r->e->self.incarnation,
			     .wall_ms = tmr_wall_ms ()};
	GChecksum *sum;
	uint8_t digest[32];
	gsize len = sizeof digest;
	struct err err;

	if (r->e->outcomes->len >= OUTCOMES_MAX) {
		err_set (&err, ERR_NO_QUORUM,
			 "%u outcomes wait for control already", OUTCOMES_MAX);
		front_fail (r, &err, 0);
		return;
	}
	sum = g_checksum_new (G_CHECKSUM_SHA256);
	r->claim_attempt = ++r->e->claim_attempt;
	c.attempt = r->claim_attempt;
	memcpy (c.account, r->account, sizeof c.account);
	memcpy (c.key, r->idem_key, sizeof c.key);
	memcpy (c.entry, r->e->self.name, sizeof c.entry);
	g_checksum_update (sum, (const guchar *)r->caller->method.base,
			   (gssize)r->caller->method.len);
	g_checksum_update (sum, (const guchar *)" ", 1);
	g_checksum_update (sum, (const guchar *)r->path,
			   (gssize)strlen (r->path) + 1);
	g_checksum_update (sum, (const guchar *)r->body, (gssize)r->body_len);
	g_checksum_get_digest (sum, digest, &len);
	g_checksum_free (sum);
	memcpy (c.digest, digest, sizeof c.digest);
	r->state = REQ_CLAIMING;
	conf_command (r->e, SM_CLAIM, sm_claim_fields, &c, CLAIM_TIMEOUT_MS,
		      on_claim, r);
}
