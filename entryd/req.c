/*
 * The life of a request: made when it arrives, queued, claimed where it may
 * not be repeated, sent, perhaps sent again, over.
 */
#include <stdio.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

static void proceed (h2o_generator_t *gen, h2o_req_t *h);
static void stop (h2o_generator_t *gen, h2o_req_t *h);

/* Lives in the caller's memory pool, so that its end is seen. */
struct tie {
	struct req *r;
};

static void
req_free (struct req *r)
{
	if (*r->tie == r)
		*r->tie = NULL;
	if (r->sse_made)
		sse_finish (&r->sse);
	g_string_free (r->out, TRUE);
	g_string_free (r->flight, TRUE);
	g_free (r->body);
	g_free (r);
}

static void
caller_gone (void *p)
{
	struct tie *t = p;
	struct req *r = t->r;

	if (r == NULL)
		return;
	r->tie = &r->no_tie;
	r->caller = NULL;
	if (r->state == REQ_OVER) {
		req_free (r);
		return;
	}
	log_event (LOG_LV_INFO, "cancel", "req=%s account=%s state=%d", r->id,
		   r->account, r->state);
	stat_class (r->e, r->node.klass->name)->cancelled++;
	/* A call that may not be repeated runs on, so that its outcome can be
	 * stored for a resend. */
	if (r->claimed && r->exchange != NULL)
		return;
	if (r->state == REQ_CLAIMING)
		return;
	usage_answered (r, false);
	back_cancel (r);
	req_over (r);
}

struct req *
req_new (struct entry *e, h2o_req_t *h)
{
	struct req *r = g_new0 (struct req, 1);
	struct tie *t = h2o_mem_alloc_shared (&h->pool, sizeof *t, caller_gone);

	t->r = r;
	r->e = e;
	r->caller = h;
	r->gen.proceed = proceed;
	r->gen.stop = stop;
	r->tie = &t->r;
	r->node.expiry.index = -1;
	r->out = g_string_new (NULL);
	r->flight = g_string_new (NULL);
	r->arrived_us = tmr_now_us ();
	r->node.arrived_ms = r->arrived_us / 1000;
	snprintf (r->id, sizeof r->id, "%08x%08x", g_rand_int (e->rand),
		  g_rand_int (e->rand));
	e->reqs = g_list_prepend (e->reqs, r);
	r->link = e->reqs;
	return r;
}

/*
 * Settle what the library holds of @r, and free it; where h2o still writes
 * its last piece, it is freed with the caller's request.
 */
void
req_over (struct req *r)
{
	struct entry *e = r->e;

	if (r->claimed)
		claim_outcome (r, NULL);
	target_forget (r);
	if (r->node.state == ADM_QUEUED)
		adm_cancel (&e->adm, &r->node);
	else if (r->node.state == ADM_RUNNING)
		adm_done (&e->adm, &r->node, r->sse_made ? r->sse.tokens : 0,
			  r->answered);
	r->state = REQ_OVER;
	e->lease_due = true;
	e->reqs = g_list_delete_link (e->reqs, r->link);
	if (r->caller == NULL || !r->final)
		req_free (r);
	work_wake (e);
}

static void
answer_victim (struct req *r, const struct adm_verdict *v)
{
	struct err err;

	err_set (&err, v->victim_kind, "gave its place to a higher tier");
	front_fail (r, &err, v->retry_after_ms);
}

void
req_queue (struct req *r)
{
	struct entry *e = r->e;
	struct adm_verdict v;
	struct err err;
	bool again = r->node.state == ADM_RUNNING;
	uint64_t now_ms = tmr_now_ms ();
	bool ok = again ? adm_requeue (&e->adm, &r->node, now_ms, &v)
			: adm_submit (&e->adm, &r->node, now_ms, &v);

	if (!again)
		stat_taken (r);
	log_event (ok ? LOG_LV_DEBUG : LOG_LV_INFO, "admit",
		   "req=%s account=%s class=%s verdict=%s wait_ms=%u "
		   "queued=%u",
		   r->id, r->account, r->node.klass->name, adm_why_name (v.why),
		   v.predicted_wait_ms, e->adm.queued);
	if (!ok) {
		err_set (&err, v.kind, "not admitted: %s",
			 adm_why_name (v.why));
		front_fail (r, &err, v.retry_after_ms);
		return;
	}
	r->state = REQ_QUEUED;
	if (v.victim != NULL)
		answer_victim (
			H2O_STRUCT_FROM_MEMBER (struct req, node, v.victim),
			&v);
	work_wake (e);
}

/* Baselines without leases count only what they sent themselves. */
static bool
take_credit (struct req *r, struct bb_ep *ep)
{
	if (r->e->route.ops->uses_credits)
		return lease_take (&r->e->lease, ep, &r->slot, tmr_now_ms ());
	bb_ep_sent (ep, tmr_now_ms ());
	return true;
}

/* Handed out by the queue: choose an endpoint and send. */
void
req_run (struct req *r)
{
	struct entry *e = r->e;
	struct route_verdict v;
	char text[ROUTE_FORMAT_BYTES];
	uint64_t now_ms = tmr_now_ms ();
	struct err err;

	if (r->caller == NULL) {
		req_over (r);
		return;
	}
	if (r->key_id[0] != '\0' && !key_valid (e, r->key_id)) {
		err_set (&err, ERR_WRONG_KEY, "key was withdrawn");
		front_fail (r, &err, 0);
		return;
	}
	route_choose (&e->route, &r->place, now_ms, &v);
	if (log_enabled (LOG_LV_INFO)) {
		route_format (&v, text);
		log_event (LOG_LV_INFO, "route",
			   "req=%s account=%s class=%s policy=%s ep=%s why=%s "
			   "attempt=%u queued_ms=%" G_GUINT64_FORMAT
			   " candidates=%s",
			   r->id, r->account, r->node.klass->name, v.policy,
			   v.ep != NULL ? v.ep->name : "-",
			   route_why_name (v.why), r->attempts + 1,
			   now_ms - r->node.arrived_ms, text);
	}
	if (v.ep == NULL || !take_credit (r, v.ep)) {
		e->work_stalled = true;
		req_queue (r);
		return;
	}
	for (uint32_t i = 0; i < v.cand_count; i++) {
		if (v.cand[i].ep == v.ep)
			r->load_at_dispatch = v.cand[i].load;
	}
	route_sent (&e->route, &r->place, v.ep);
	susp_started (&e->susp, r->fingerprint, v.ep, r->alone, now_ms);
	retry_mark_tried (&r->retry, v.ep);
	if (r->attempts++ == 0)
		retry_budget_refill (&e->retry, r->node.klass);
	back_send (r, target_get (e, v.ep));
}

static void
proceed (h2o_generator_t *gen, h2o_req_t *h)
{
	struct req *r = H2O_STRUCT_FROM_MEMBER (struct req, gen, gen);

	(void)h;
	r->sending = false;
	g_string_truncate (r->flight, 0);
	answer_push (r);
}

static void
stop (h2o_generator_t *gen, h2o_req_t *h)
{
	/* The pool's end follows; caller_gone() does the rest. */
	(void)gen;
	(void)h;
}
