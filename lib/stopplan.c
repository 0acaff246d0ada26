/*
 * Times of a planned stop.
 */
#include <glib.h>

#include "stopplan.h"

/* The load balancer checks readiness once a second and stops sending after two
 * failed checks.  Later connections come only while too few other instances are
 * ready; these are refused, which tells the client that nothing was read. */
#define BALANCER_NOTICE_MS 2300

/* Idle connections are closed later than the listener, since a client's next
 * request may be on its way while the answer closes its connection. */
#define IDLE_CLOSE_MS 2800

/* Before SIGKILL: when open requests are answered with an error, and when the
 * process ends even with answers to write; or these parts of a short grace. */
#define GIVE_UP_MARGIN_MS 500
#define GIVE_UP_MARGIN_PART 6
#define STOP_MARGIN_MS 200
#define STOP_MARGIN_PART 12

/* A short grace closes idle connections in this part of the time until then,
 * and the listener in this part of that, so that a client that has just
 * connected gets its request through. */
#define IDLE_PART 0.5
#define LISTENER_PART 0.825

void
stopplan_init (struct stopplan *p, uint64_t grace_ms)
{
	p->give_up_ms = grace_ms -
			MIN (GIVE_UP_MARGIN_MS, grace_ms / GIVE_UP_MARGIN_PART);
	p->exit_ms =
		grace_ms - MIN (STOP_MARGIN_MS, grace_ms / STOP_MARGIN_PART);
	p->idle_ms = MIN (IDLE_CLOSE_MS,
			  (uint64_t)((double)p->give_up_ms * IDLE_PART));
	p->listener_ms = MIN (BALANCER_NOTICE_MS,
			      (uint64_t)((double)p->idle_ms * LISTENER_PART));
}

bool
stopplan_admits (const struct stopplan *p, uint64_t since_ms, uint64_t limit_ms)
{
	return since_ms < p->idle_ms || since_ms + limit_ms <= p->give_up_ms;
}
