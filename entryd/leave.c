/*
 * The graceful end: not ready, wait for the balancer, serve what is here,
 * then close.
 */
#include "entryd.h"
#include "log.h"

/* Longest wait for control to take the last counts. */
#define USAGE_FLUSH_MS 5000

/* SIGTERM; a second one ends at once. */
void
leave_begin (struct entry *e)
{
	if (e->leaving) {
		log_event (LOG_LV_WARN, "leave", "step=forced running=%u",
			   e->running);
		daemon_stop (&e->d);
		return;
	}
	e->leaving = true;
	e->bb.leaving = true;
	e->leave_ms = tmr_now_ms ();
	log_event (LOG_LV_INFO, "leave", "step=not_ready running=%u queued=%u",
		   e->running, e->adm.queued);
}

void
leave_tick (struct entry *e, uint64_t now_ms)
{
	if (!e->leaving)
		return;
	if (!e->listener_closed) {
		if (now_ms - e->leave_ms < e->set.balancer_wait_ms)
			return;
		log_event (LOG_LV_INFO, "leave", "step=closing connections=%u",
			   httpd_connections (&e->callers));
		httpd_close_listener (&e->callers);
		httpd_shutdown (&e->callers);
		e->listener_closed = true;
	}
	/* Connections on which callers are idle end by h2o's time-out; until
	 * then a request that crosses with the end is still served. */
	if (e->running > 0 || e->adm.queued > 0 || e->outcomes->len > 0 ||
	    httpd_connections (&e->callers) > 0)
		return;
	/* What was counted goes to control first, as long as it answers. */
	if (e->flush_ms == 0)
		e->flush_ms = now_ms;
	if (!usage_flushed (&e->usage) && now_ms - e->flush_ms < USAGE_FLUSH_MS)
		return;
	membudp_leave (e->members);
	log_event (LOG_LV_INFO, "leave", "step=done usage_flushed=%d",
		   usage_flushed (&e->usage));
	daemon_stop (&e->d);
}
