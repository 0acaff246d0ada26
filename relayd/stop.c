/*
 * The planned stop: from SIGTERM to the end of the process.  Requests that
 * arrive meanwhile on open connections are answered whole, or refused before
 * they are sent to an endpoint.
 */
#include "relayd.h"

/* Retry-After of requests that are refused: other relays are ready now. */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_SPREAD_MS 200

void
stop_begin (struct relay *r)
{
	if (r->leaving)
		return;
	log_event (LOG_LV_INFO, "leave", "calls=%u", r->calls->len);
	r->leaving = true;
	r->leave_started_ms = tmr_now_ms ();
	stopplan_init (&r->stopplan, (uint64_t)(r->set.grace_s * 1000));
	h1srv_leave (&r->front);
}

bool
stop_admits (const struct relay *r, uint64_t limit_ms)
{
	return !r->leaving ||
	       stopplan_admits (&r->stopplan,
				tmr_now_ms () - r->leave_started_ms, limit_ms);
}

uint32_t
stop_retry_after_ms (struct relay *r)
{
	return RETRY_AFTER_MIN_MS +
	       (uint32_t)g_rand_int_range (r->rand, 0, RETRY_AFTER_SPREAD_MS);
}

static void
refuse_partial (struct h1srv_conn *conn, const struct h1_head *h, void *ctx)
{
	struct relay *r = ctx;
	struct dia_request req = {.id = ""};
	char *id;

	if (h != NULL)
		r->dialect->parse_request (h, &req);
	id = g_strndup (req.id, req.id_len);
	front_refuse (r, conn, id, 503, stop_retry_after_ms (r), "stopping");
	g_free (id);
}

/* Answers what is still open: requests under way, those that wait for the first
 * configuration, and those that have not arrived whole. */
static void
give_up (struct relay *r)
{
	log_event (LOG_LV_INFO, "give-up", "calls=%u startup=%u", r->calls->len,
		   r->startup_queue->len);
	call_expire_all (r);
	startup_refuse_all (r);
	h1srv_refuse_partial (&r->front, refuse_partial, r);
}

void
stop_tick (struct relay *r, uint64_t now_ms)
{
	const struct stopplan *p = &r->stopplan;
	uint64_t since_ms = now_ms - r->leave_started_ms;

	if (!r->leaving)
		return;
	if (since_ms >= p->listener_ms)
		h1srv_close_listener (&r->front);
	if (since_ms < p->idle_ms)
		return;
	h1srv_close_idle (&r->front);
	if (since_ms >= p->give_up_ms && h1srv_has_requests (&r->front))
		give_up (r);
	if (since_ms < p->exit_ms &&
	    (h1srv_has_requests (&r->front) || h1srv_has_output (&r->front)))
		return;
	log_event (LOG_LV_INFO, "stop", "output=%d",
		   h1srv_has_output (&r->front));
	daemon_stop (&r->daemon);
}
