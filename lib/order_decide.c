/*
 * What the leader should do next about an order or a usage window.  Nothing
 * here reads a clock or writes anything, so that two leaders that both
 * believe to lead can be played through in a test.
 */
#include <string.h>

#include "order.h"

const char *
order_step_name (enum order_step s)
{
	switch (s) {
	case ORDER_HOLD:
		return "hold";
	case ORDER_RENEW:
		return "renew";
	case ORDER_SEND:
		return "send";
	case ORDER_SEAL:
		return "seal";
	case ORDER_REPORT:
		return "report";
	}
	return "unknown";
}

static struct order_verdict
hold (const char *why)
{
	return (struct order_verdict){.step = ORDER_HOLD, .why = why};
}

static uint64_t
lease_left_ms (const struct order_view *v)
{
	return v->lead.until_ms > v->now_ms ? v->lead.until_ms - v->now_ms : 0;
}

bool
order_may_write (const struct order_view *v, uint32_t reserve_ms)
{
	return v->lead.leading && !v->stale && lease_left_ms (v) > reserve_ms;
}

/* Why no write may be sent now, or NULL. */
static const char *
write_barred (const struct order_view *v, uint32_t reserve_ms)
{
	if (!v->lead.leading)
		return "not the leader";
	if (v->stale)
		return "the platform knows a later leader";
	if (v->now_ms < v->quiet_until_ms)
		return "an earlier leader may still write";
	if (!v->listed)
		return "platform not read in this term";
	if (!order_may_write (v, reserve_ms))
		return "too little of the lease is left";
	return NULL;
}

/* A write ends before the lease does, also in the kernel's buffers. */
static uint32_t
write_limit_ms (const struct order_view *v)
{
	uint64_t left = lease_left_ms (v);

	return (uint32_t)MIN (left, v->times->write_ms);
}

struct order_verdict
order_decide (const struct order_view *v, const struct sm_order_rec *rec,
	      bool checks_fence, uint64_t retry_at_ms)
{
	uint32_t reserve_ms = checks_fence ? 0 : v->times->reserve_ms;
	const char *why = write_barred (v, reserve_ms);

	if (rec->state != SM_ORDER_PENDING)
		return hold ("its outcome is known");
	if (why != NULL)
		return hold (why);
	if (v->now_ms < retry_at_ms)
		return hold ("waiting to send again");
	if (rec->fence < v->lead.term)
		return (struct order_verdict){
			.step = ORDER_RENEW,
			.why = "intent of an earlier term",
		};
	return (struct order_verdict){
		.step = ORDER_SEND,
		.limit_ms = write_limit_ms (v),
		.why = "intent is logged",
	};
}

/* The oldest sealed window whose report was not acknowledged, or NULL. */
static const struct sm_window *
unreported (const struct sm *sm)
{
	GPtrArray *all = g_ptr_array_new ();
	const struct sm_window *found = NULL;

	sm_windows (sm, all);
	for (guint i = 0; i < all->len && found == NULL; i++) {
		const struct sm_window *w = g_ptr_array_index (all, i);

		if (!w->reported)
			found = w;
	}
	g_ptr_array_free (all, TRUE);
	return found;
}

/* The window to seal next, or 0. */
static uint64_t
due_window (const struct order_view *v, const struct sm *sm,
	    const struct inv_settings *settings)
{
	uint64_t length_ms = (uint64_t)settings->window_s * 1000;
	uint64_t after_ms = length_ms + settings->window_grace_s * 1000ULL;
	uint64_t open = sm_window_open (sm), last;

	if (open != 0)
		return open + after_ms <= v->wall_ms ? open : 0;
	if (!sm_late_pending (sm) || v->wall_ms < after_ms)
		return 0;
	/* Only late counts: they go with the last window that has ended. */
	last = (v->wall_ms - after_ms) / length_ms * length_ms;
	return last > sm_sealed_through (sm) ? last : 0;
}

struct order_verdict
order_window_decide (const struct order_view *v, const struct sm *sm,
		     const struct inv_settings *settings, uint64_t retry_at_ms)
{
	const char *why = write_barred (v, v->times->reserve_ms);
	const struct sm_window *w;
	uint64_t due;

	if (why != NULL)
		return hold (why);
	due = due_window (v, sm, settings);
	if (due != 0)
		return (struct order_verdict){
			.step = ORDER_SEAL,
			.window_ms = due,
			.why = "window and grace are over",
		};
	w = unreported (sm);
	if (w == NULL)
		return hold ("nothing to report");
	if (v->now_ms < retry_at_ms)
		return hold ("waiting to report again");
	return (struct order_verdict){
		.step = ORDER_REPORT,
		.limit_ms = write_limit_ms (v),
		.window_ms = w->window_ms,
		.why = "sealed and not acknowledged",
	};
}
