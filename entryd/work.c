/*
 * Taking requests from the queue whenever one may be able to run.
 */
#include "entryd.h"
#include "log.h"

/* A caller that waited so long may have gone. */
#define LOOK_AFTER_MS 20
/* A pool without a live endpoint for so long refuses. */
#define DARK_MS 1000

static enum adm_eligible
can_run (struct adm_req *node, void *ctx)
{
	struct req *r = H2O_STRUCT_FROM_MEMBER (struct req, node, node);
	struct entry *e = ctx;
	uint64_t now_ms = tmr_now_ms ();
	enum route_why why;

	switch (susp_check (&e->susp, r->fingerprint, now_ms)) {
	case SUSP_CLEAN:
		r->alone = false;
		break;
	case SUSP_RUN_ALONE:
		r->alone = true;
		break;
	case SUSP_WAIT:
		return ADM_BLOCKED;
	case SUSP_REFUSE:
		r->refused = true;
		return ADM_ELIGIBLE;
	}
	r->place.exclusive = r->alone;
	why = route_available (&e->route, &r->place, now_ms);
	if (why == ROUTE_CHOSEN || why == ROUTE_PROBE)
		return ADM_ELIGIBLE;
	if (why == ROUTE_NO_CREDIT && !r->alone && r->attempts == 0 &&
	    e->inv->rule_count == 0)
		return ADM_POOL_BLOCKED;
	return ADM_BLOCKED;
}

static void
run_one (struct req *r)
{
	struct err err;

	if (r->refused) {
		err_set (&err, ERR_SUSPECT,
			 "endpoints were lost each time it ran");
		front_fail (r, &err, 0);
		return;
	}
	if (tmr_now_ms () - r->node.arrived_ms > LOOK_AFTER_MS &&
	    front_caller_gone (r)) {
		/* Nobody reads it, but it makes h2o see the connection. */
		err_set (&err, ERR_CANCELLED, "caller closed its connection");
		front_fail (r, &err, 0);
		return;
	}
	req_run (r);
}

/* Run what can run; harmless at any time, also from inside itself. */
void
work_wake (struct entry *e)
{
	struct adm_req *node;

	if (e->working) {
		e->work_again = true;
		return;
	}
	if (e->inv == NULL)
		return;
	e->working = true;
	do {
		e->work_again = false;
		e->work_stalled = false;
		while (!e->work_stalled &&
		       (node = adm_next (&e->adm, tmr_now_ms (), can_run, e)) !=
			       NULL)
			run_one (H2O_STRUCT_FROM_MEMBER (struct req, node,
							 node));
	} while (e->work_again && !e->work_stalled);
	e->working = false;
}

/* Refuse what waited to its deadline or cannot meet it any more. */
void
work_expire (struct entry *e)
{
	struct adm_req *node;
	struct adm_verdict v;
	struct err err;

	while ((node = adm_expire (&e->adm, tmr_now_ms (), &v)) != NULL) {
		err_set (&err, v.kind, "%s in queue", adm_why_name (v.why));
		front_fail (H2O_STRUCT_FROM_MEMBER (struct req, node, node),
			    &err, v.retry_after_ms);
	}
}

static void
tell_pool (struct entry *e, struct bb_pool *pool, uint64_t now_ms)
{
	struct adm_backlog p;

	if (pool == NULL)
		return;
	adm_backlog (&e->adm, pool, now_ms, &p);
	lease_pressure (&e->lease, pool, &p, now_ms);
}

/* Tell the coordinators what waits here. */
void
work_pressure (struct entry *e, uint64_t now_ms)
{
	if (e->inv == NULL)
		return;
	for (uint32_t i = 0; i < e->inv->model_count; i++)
		tell_pool (e, e->bb.models[i], now_ms);
	for (guint i = 0; i < e->bb.groups->len; i++)
		tell_pool (e, g_ptr_array_index (e->bb.groups, i), now_ms);
}

static void
look_at (struct bb_pool *pool, uint64_t now_ms)
{
	for (uint32_t i = 0; i < pool->ep_count; i++) {
		if (bb_ep_available (pool->eps[i])) {
			pool->unavailable_since_ms = 0;
			return;
		}
	}
	if (pool->unavailable_since_ms == 0)
		pool->unavailable_since_ms = now_ms;
}

static bool
is_dark (const struct bb_pool *pool, uint64_t now_ms)
{
	return pool->unavailable_since_ms != 0 &&
	       now_ms - pool->unavailable_since_ms >= DARK_MS;
}

/*
 * Where a pool has had no live endpoint for a while, what waits for it hears
 * so now and not at its deadline.  What was sent before is left: it may have
 * run, and the refusal says that it did not.
 */
void
work_dark (struct entry *e, uint64_t now_ms)
{
	bool was_working = e->working;
	GList *next;
	struct err err;

	for (uint32_t i = 0; i < e->inv->model_count; i++)
		look_at (e->bb.models[i], now_ms);
	for (guint i = 0; i < e->bb.groups->len; i++)
		look_at (g_ptr_array_index (e->bb.groups, i), now_ms);
	/* Keeps the queue from running, and freeing others, meanwhile. */
	e->working = true;
	for (GList *l = e->reqs; l != NULL; l = next) {
		struct req *r = l->data;

		next = l->next;
		if (r->state != REQ_QUEUED || r->any_sent ||
		    !is_dark (r->node.pool, now_ms))
			continue;
		err_set (&err, ERR_NO_ENDPOINT, "no live endpoint of %s",
			 r->node.pool->name);
		front_fail (r, &err, DARK_MS);
	}
	e->working = was_working;
	work_wake (e);
}
