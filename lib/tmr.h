#ifndef DH_TMR_H
#define DH_TMR_H

#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

/*
 * One-shot timers of any duration on an h2o loop, and the clocks.  They run by
 * the monotonic clock: h2o's own timeouts follow the time of day, so that a
 * step of it would fire them early or hold them up.
 */

typedef void (*tmr_cb) (void *ctx);

struct tmr_queue;

/**
 * struct tmr - a timer on memory the caller owns
 *
 * A timer fires once a start.  Its callback may start it again.
 */
struct tmr {
	h2o_loop_t *loop;
	struct tmr_queue *queue; /* of @loop; NULL where it never ran */
	uint64_t at_ms;
	uint32_t place; /* in the queue's heap, from 1 on; 0: not started */
	tmr_cb cb;
	void *ctx;
};

/** tmr_init() - prepare @t; it is not started */
void tmr_init (struct tmr *t, h2o_loop_t *loop, tmr_cb cb, void *ctx);

/** tmr_start() - (re)start @t to fire once after @delay_ms */
void tmr_start (struct tmr *t, uint64_t delay_ms);

/** tmr_stop() - stop @t; harmless where it is not started */
void tmr_stop (struct tmr *t);

/** tmr_finish() - stop @t and take it off the loop */
void tmr_finish (struct tmr *t);

/** tmr_now_ms() - monotonic clock, in milliseconds */
uint64_t tmr_now_ms (void);

/** tmr_now_us() - monotonic clock, in microseconds */
uint64_t tmr_now_us (void);

/** tmr_wall_ms() - wall clock, in milliseconds since 1970 */
uint64_t tmr_wall_ms (void);

#endif
