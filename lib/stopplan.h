#ifndef DH_STOPPLAN_H
#define DH_STOPPLAN_H

#include <stdbool.h>
#include <stdint.h>

/*
 * A planned stop: when a process that got SIGTERM does what until it is killed,
 * and which of the requests that still arrive it begins.  Refusing a request
 * costs its client a round at another instance; a request that is cut may have
 * run, and its client learns nothing.
 */

/**
 * struct stopplan - times after SIGTERM
 * @listener_ms: when the listener is closed
 * @idle_ms: from when connections without a request are closed
 * @give_up_ms: when what is still open is answered with an error
 * @exit_ms: when the process ends even with answers to write
 */
struct stopplan {
	uint64_t listener_ms;
	uint64_t idle_ms;
	uint64_t give_up_ms;
	uint64_t exit_ms;
};

/** stopplan_init() - the times of a process that is killed @grace_ms after
 * SIGTERM */
void stopplan_init (struct stopplan *p, uint64_t grace_ms);

/**
 * stopplan_admits() - whether to begin a request
 * @p: the times
 * @since_ms: time since SIGTERM
 * @limit_ms: how long its client waits at most
 *
 * Requests are begun while clients can't know of the stop; later only if their
 * own limit ends in time.
 */
bool stopplan_admits (const struct stopplan *p, uint64_t since_ms,
		      uint64_t limit_ms);

#endif
