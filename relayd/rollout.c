/*
 * Rollouts at a relay.
 */
#include <string.h>

#include <xxhash.h>

#include "relayd.h"

/* An exchange that breaks after the endpoint was silent for so long mostly
 * broke with the network.  Shorter than the time-out of its connection. */
#define SILENT_MS 1400

/* An endpoint that crashes breaks all its exchanges at once; within this time
 * they count as one failure. */
#define CRASH_MS 50

static uint64_t
route_hash (const struct call *c)
{
	return XXH64 (c->route->name, strlen (c->route->name), 0);
}

void
relay_rollout_init (struct relay *r)
{
	rollout_share_init (&r->rollouts, r->set.domain);
}

void
relay_rollout_finish (struct relay *r)
{
	rollout_share_finish (&r->rollouts);
}

static void
assign_sides (struct relay *r)
{
	uint32_t sides[FLEET_BARRED + 1] = {0};

	if (!rollout_share_assign (&r->rollouts, &r->fleet, tmr_now_ms ()))
		return;
	fleet_build_pools (&r->fleet);
	for (guint i = 0; i < r->fleet.eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);

		sides[ep->side] += ep->listed;
	}
	log_event (LOG_LV_INFO, "rollout-endpoints",
		   "main=%u target=%u retiring=%u held=%u barred=%u",
		   sides[FLEET_MAIN], sides[FLEET_TARGET],
		   sides[FLEET_RETIRING], sides[FLEET_HELD],
		   sides[FLEET_BARRED]);
}

void
relay_rollout_list_changed (struct relay *r, uint64_t index)
{
	rollout_share_set_list (&r->rollouts, index);
	assign_sides (r);
	place_assign_lanes (&r->fleet);
}

static void
log_rollouts (const struct relay *r)
{
	for (guint i = 0; i < r->rollouts.rollouts->len; i++) {
		const struct share_rollout *x =
			g_ptr_array_index (r->rollouts.rollouts, i);

		log_event (LOG_LV_INFO, "rollout",
			   "id=%" G_GUINT64_FORMAT
			   " service=%s target=%s state=%s "
			   "grant=%" G_GUINT64_FORMAT
			   " sent_new=%" G_GUINT64_FORMAT
			   " requests=%" G_GUINT64_FORMAT,
			   x->msg.id, x->msg.service, x->msg.target,
			   rollout_state_name (x->msg.state), x->msg.grant,
			   x->sent_new, x->requests);
	}
}

void
relay_rollout_receive (struct relay *r, const struct gmsg_rollouts *m)
{
	if (rollout_share_receive (&r->rollouts, m, tmr_now_ms ())) {
		log_rollouts (r);
		assign_sides (r);
		place_assign_lanes (&r->fleet);
	}
	call_place_waiting (r);
}

static void
report_to (struct relay *r, struct group_member *m)
{
	GArray *list =
		g_array_new (FALSE, FALSE, sizeof (struct gmsg_rollout_report));
	struct gmsg_rollout_reports all;

	rollout_share_report (&r->rollouts, &r->fleet, m->rollout_sent_change,
			      list);
	all.reports.items = list->data;
	all.reports.count = list->len;
	if (list->len > 0 && link_send (m->link, FRAME_GROUP_ROLLOUT_REPORT,
					gmsg_rollout_reports_fields, &all))
		m->rollout_sent_change = r->rollouts.change_seq;
	rollout_share_report_free (list);
}

void
relay_rollout_tick (struct relay *r, uint64_t now_ms)
{
	uint64_t interval_ms =
		r->rollouts.urgent ? ROLLOUT_REPORT_MIN_MS : ROLLOUT_REPORT_MS;

	rollout_share_tick (&r->rollouts, now_ms);
	if (!r->rollouts.enabled ||
	    now_ms < r->rollout_reported_ms + interval_ms)
		return;
	r->rollout_reported_ms = now_ms;
	r->rollouts.urgent = false;
	for (guint i = 0; i < r->members->len; i++) {
		struct group_member *m = g_ptr_array_index (r->members, i);

		if (m->is_leader && link_is_up (m->link))
			report_to (r, m);
	}
}

void
relay_rollout_print (const struct relay *r, GString *out)
{
	uint64_t sent = 0, requests = 0, granted = 0, held = 0;

	if (!r->rollouts.enabled)
		return;
	for (guint i = 0; i < r->rollouts.rollouts->len; i++) {
		const struct share_rollout *x =
			g_ptr_array_index (r->rollouts.rollouts, i);

		sent += x->sent_new;
		requests += x->requests;
		granted += x->msg.grant;
	}
	for (guint i = 0; i < r->fleet.eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (r->fleet.eps, i);

		held += ep->listed && ep->side == FLEET_HELD;
	}
	g_string_append_printf (
		out,
		"dh_relay_rollout_sent %" G_GUINT64_FORMAT "\n"
		"dh_relay_rollout_granted %" G_GUINT64_FORMAT "\n"
		"dh_relay_rollout_requests %" G_GUINT64_FORMAT "\n"
		"dh_relay_rollout_held_endpoints "
		"%" G_GUINT64_FORMAT "\n",
		sent, granted, requests, held);
}

struct place_result
rollout_choose (struct call *c, const struct place_relay *self,
		struct place_req *req, uint64_t now_ms)
{
	struct relay *r = c->r;
	struct share_request q = {.service = c->service->name,
				  .is_retry =
					  c->tried_count > 0 || c->headers_sent,
				  .sent_new = c->sent_new};
	struct share_choice sides;
	struct place_result v = {.reason = PLACE_NONE};

	if (!r->rollouts.enabled)
		return place_choose (&r->fleet, self, req, now_ms);
	q.route = route_hash (c);
	sides = rollout_share_choose (&r->rollouts, &r->fleet, &q, now_ms);
	for (uint32_t i = 0; i < sides.count; i++) {
		req->side = sides.sides[i];
		req->focus = req->side == FLEET_TARGET ? sides.focus : 0;
		req->focus_near = sides.focus_near;
		v = place_choose (&r->fleet, self, req, now_ms);
		if (v.reason != PLACE_NONE &&
		    (v.ep != NULL || i > 0 || !sides.optional))
			break;
	}
	return v;
}

void
rollout_attempt_started (struct call *c)
{
	bool is_first = !c->rollout_counted;

	c->rollout_counted = true;
	c->rollout_answered = false;
	if (rollout_share_sent (&c->r->rollouts, c->ep, route_hash (c),
				is_first, tmr_now_ms ()))
		c->sent_new = true;
}

void
rollout_answer_begun (struct call *c, double took_ms)
{
	if (c->rollout_answered || c->status >= 500)
		return;
	c->rollout_answered = true;
	rollout_share_answered (&c->r->rollouts, c->ep, route_hash (c),
				(uint32_t)c->prefill_tokens, took_ms,
				fleet_is_cold (c->ep, c->sent_ms));
}

static void
count_failure (struct call *c)
{
	rollout_share_failed (&c->r->rollouts, c->ep, route_hash (c),
			      c->rollout_answered);
	c->rollout_answered = true;
}

/* Whether a broken exchange shows nothing about the version: the network or the
 * machine went, or a crash was counted already. */
static bool
is_broken_by_loss (struct call *c, uint64_t now_ms)
{
	struct upstream *u = c->ep->owner_data;

	if (c->ep->leaving || !c->ep->listed ||
	    blame_domain_is_cut (c->r, c->ep) ||
	    now_ms > MAX (c->ep->last_heard_ms, c->sent_ms) + SILENT_MS)
		return true;
	if (u->broke_ms != 0 && now_ms < u->broke_ms + CRASH_MS)
		return true;
	u->broke_ms = now_ms;
	return false;
}

void
rollout_attempt_ended (struct call *c, enum h1cli_end end, bool cut)
{
	if (end == H1CLI_UNSENT || c->answer.not_executed ||
	    c->answer.misdirected)
		return;
	if (end == H1CLI_BROKEN) {
		if (!cut && !is_broken_by_loss (c, tmr_now_ms ()))
			count_failure (c);
		return;
	}
	if (end != H1CLI_WHOLE || c->status == 0 || c->status >= 500 ||
	    (c->is_stream && !evstream_is_whole (&c->evstream)))
		count_failure (c);
}

void
rollout_attempt_timed_out (struct call *c, uint64_t now_ms)
{
	/* An attempt that began late says little about the endpoint. */
	if (now_ms < c->deadline_ms || c->first_byte_seen || c->ep == NULL ||
	    c->exchange == NULL || !h1cli_sent (c->exchange) ||
	    2 * (c->sent_ms - c->arrived_ms) > c->deadline_ms - c->arrived_ms ||
	    c->ep->health == FLEET_SUSPECT || c->ep->leaving)
		return;
	count_failure (c);
}
