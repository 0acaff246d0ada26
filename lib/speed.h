#ifndef DH_SPEED_H
#define DH_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Speed of engines that differ, estimated from the streams that they send.
 *
 * Load: engines of one service whose speeds differ by a factor of two or more.
 * Placement that takes them for equal sends streams that need short pauses to
 * engines that can't give them beside a prefill, and gives slow engines as much
 * prefill as fast ones.
 *
 * The mean time between the events of a stream has the engine's own pace as its
 * lower bound; prefill and other streams lengthen it.  The estimate therefore
 * follows short times at once and long ones slowly.  Each relay sees few
 * streams of one engine, so relays announce their estimates to each other.
 */

/* Fewest events of a stream that gives a measurement. */
#define SPEED_MIN_EVENTS 6

/**
 * struct speed - estimate of one engine; zero-initialised: unknown
 * @gap_ms: shortest mean time between the events of a stream; 0: unknown
 * @announced_ms: the estimate that the peers were told last; 0: none
 */
struct speed {
	double gap_ms;
	double announced_ms;
};

/**
 * speed_measure() - mean time between the events of a stream
 * @first_ms: when its first event arrived
 * @last_ms: when its last one arrived
 * @events: their number
 *
 * Return: milliseconds, or 0 where the stream is too short to tell.
 */
double speed_measure (uint64_t first_ms, uint64_t last_ms, uint64_t events);

/** speed_add() - take the measurement of a stream that this relay forwarded */
void speed_add (struct speed *s, double gap_ms);

/** speed_merge() - take the estimate that a peer announced */
void speed_merge (struct speed *s, double gap_ms);

/** speed_announce_due() - whether to tell the peers; if so, the estimate counts
 * as announced */
bool speed_announce_due (struct speed *s);

/**
 * speed_slowness() - time that an engine needs, relative to a usual one
 * @usual_ms: estimate of a usual engine of the service; 0: unknown
 *
 * Return: 1 for an engine that is unknown, else a bounded ratio.
 */
double speed_slowness (const struct speed *s, double usual_ms);

/**
 * speed_misses_gap() - whether streams pause too long on an engine while it
 * prefills a long prompt
 * @target_ms: longest pause between events that is in time; 0: any is
 */
bool speed_misses_gap (const struct speed *s, double target_ms);

/* Prefill rate of an engine in prompt tokens a millisecond, in the order of
 * magnitude of current engines, where it isn't learned. */
#define SPEED_PREFILL_PER_MS 50.0

/* Shortest prefill that gives a measurement; of a shorter one the network and
 * the first decode steps are too large a part. */
#define SPEED_MIN_PREFILL_TOKENS 4000.0

/**
 * speed_add_prefill() - take the time of a prefill that did not wait
 * @per_ms: prefill rate of a usual engine; 0: unknown
 * @tokens: prompt tokens that were prefilled
 * @took_ms: time that this took a usual engine
 *
 * Follows the rate that one prefill in four reaches: the others wait for
 * requests that this relay does not know of.
 *
 * Return: the new rate.
 */
double speed_add_prefill (double per_ms, double tokens, double took_ms);

#endif
