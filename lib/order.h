#ifndef DH_ORDER_H
#define DH_ORDER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"
#include "plat.h"
#include "sm.h"

/*
 * The leader's writes to the platform: orders for endpoints, and reports of
 * usage windows.  order_decide() and order_window_decide() say what to do
 * next and touch nothing; struct order_ctl carries it out through struct
 * plat_ops and the log.
 */

/**
 * struct order_times - in milliseconds
 * @lease_ms: longest lease that a leader can hold
 * @drift_ms: how far two members' monotonic clocks may part within a lease
 * @reserve_ms: lease that must be left for a write whose receiver does not
 *	check fencing numbers
 * @write_ms: longest that one write may take
 * @retry_ms: pause before a write is sent again
 */
struct order_times {
	uint32_t lease_ms;
	uint32_t drift_ms;
	uint32_t reserve_ms;
	uint32_t write_ms;
	uint32_t retry_ms;
};

/**
 * struct order_lead - leadership as this process sees it
 * @leading: whether it believes to lead
 * @term: its term, the fencing number of its writes
 * @until_ms: monotonic time at which its lease ends unless it is renewed
 */
struct order_lead {
	bool leading;
	uint64_t term;
	uint64_t until_ms;
};

/** enum order_step - what to do about a write */
enum order_step {
	ORDER_HOLD,   /* nothing now */
	ORDER_RENEW,  /* log the intent again, under this term */
	ORDER_SEND,   /* send it */
	ORDER_SEAL,   /* freeze a window's figures */
	ORDER_REPORT, /* report a sealed window */
};

/**
 * struct order_verdict - a decision
 * @step: what to do
 * @limit_ms: for a write: how long it may take
 * @window_ms: for ORDER_SEAL and ORDER_REPORT
 * @why: the reason, for the log line
 */
struct order_verdict {
	enum order_step step;
	uint32_t limit_ms;
	uint64_t window_ms;
	const char *why;
};

/**
 * struct order_view - what a decision reads
 * @times: the figures
 * @lead: leadership
 * @quiet_until_ms: monotonic time up to which an earlier leader may still
 *	write
 * @listed: whether the platform's state was read since this term began
 * @stale: whether the platform has told of a higher fencing number
 * @now_ms: monotonic clock
 * @wall_ms: wall clock
 */
struct order_view {
	const struct order_times *times;
	struct order_lead lead;
	uint64_t quiet_until_ms;
	bool listed;
	bool stale;
	uint64_t now_ms;
	uint64_t wall_ms;
};

/**
 * order_decide() - what to do about one pending order
 * @v: the situation
 * @rec: the order
 * @checks_fence: whether its receiver rejects old fencing numbers
 * @retry_at_ms: monotonic time before which it is not sent again
 */
struct order_verdict order_decide (const struct order_view *v,
				   const struct sm_order_rec *rec,
				   bool checks_fence, uint64_t retry_at_ms);

/**
 * order_window_decide() - what to do about usage windows
 * @v: the situation
 * @sm: sealed and open windows
 * @settings: the windows' length and grace
 * @retry_at_ms: monotonic time before which no report is sent again
 */
struct order_verdict order_window_decide (const struct order_view *v,
					  const struct sm *sm,
					  const struct inv_settings *settings,
					  uint64_t retry_at_ms);

/** order_may_write() - the last check, immediately before the first byte */
bool order_may_write (const struct order_view *v, uint32_t reserve_ms);

/** order_step_name() - "hold", "send", ... */
const char *order_step_name (enum order_step s);

/**
 * struct order_env - what the controller needs of its owner
 * @lead: leadership at this instant, read anew at each call
 * @now_ms: monotonic clock at this instant
 * @wall_ms: wall clock
 * @propose: put a command into the log; a lost one is proposed again
 */
struct order_env {
	struct order_lead (*lead) (void *ctx);
	uint64_t (*now_ms) (void *ctx);
	uint64_t (*wall_ms) (void *ctx);
	void (*propose) (void *ctx, enum sm_kind kind, const void *cmd);
};

/** struct order_conf - what a controller is made of */
struct order_conf {
	struct order_times times;
	const char *sender; /* this member's name */
	const struct sm *sm;
	const struct plat_ops *plat;
	void *plat_ctx;
	const struct order_env *env;
	void *env_ctx;
};

/** struct order_ctl - the controller; the caller owns the memory */
struct order_ctl {
	struct order_conf conf;
	uint64_t term; /* that quiet_until_ms and listed are of */
	uint64_t quiet_until_ms;
	bool listed;
	bool listing;
	bool stale;
	GHashTable *tries; /* order id to struct order_try */
	uint64_t report_retry_at_ms;
	bool reporting;
	uint64_t seal_proposed_ms;
	uint64_t calls; /* to the platform that stand */
};

/** order_init() - a controller that waits; @conf is copied */
void order_init (struct order_ctl *o, const struct order_conf *conf);

/** order_finish() - release it; no call to the platform may stand */
void order_finish (struct order_ctl *o);

/**
 * order_tick() - do what is due
 * @inv: the inventory in force; says who checks fencing numbers
 *
 * Called after each applied entry and at least every 100 ms.
 */
void order_tick (struct order_ctl *o, const struct inv *inv);

/**
 * order_request() - log the intent to give an order
 * @order: its id must be unique to the intent
 *
 * Return: false where this process does not lead.
 */
bool order_request (struct order_ctl *o, const struct sm_order *order);

/** order_idle() - whether no call to the platform stands */
bool order_idle (const struct order_ctl *o);

#endif
