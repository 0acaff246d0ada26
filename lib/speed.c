/*
 * Estimates of the speed of engines.
 */
#include <glib.h>

#include "speed.h"

/* Weight of a measurement below the estimate: a burst after a stall on the way
 * can make a single stream look faster than its engine. */
#define FASTER_WEIGHT 0.5

/* Growth of the estimate with each longer measurement; most are longer because
 * the engine is busy, not because it is slower than before. */
#define SLOWER_FACTOR 1.02

/* Change of the estimate that peers are told. */
#define ANNOUNCE_CHANGE 0.15

/* Prefill proceeds in chunks between decode steps.  A step with a chunk takes
 * up to this many times as long as one without. */
#define PREFILL_GAP_FACTOR 6.0

/* Steps of the prefill rate, as a share of it, at a faster and at a slower
 * measurement: it rests where one in four is faster. */
#define PREFILL_STEP_UP 0.03
#define PREFILL_STEP_DOWN 0.01

/* Bounds of the prefill rate. */
#define PREFILL_MIN_PER_MS 10.0
#define PREFILL_MAX_PER_MS 1000.0

/* Bounds of the ratio, so that a wrong estimate neither excludes an engine nor
 * draws all requests to it. */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 2.0

double
speed_measure (uint64_t first_ms, uint64_t last_ms, uint64_t events)
{
	if (events < SPEED_MIN_EVENTS || last_ms <= first_ms)
		return 0;
	return (double)(last_ms - first_ms) / (double)(events - 1);
}

void
speed_add (struct speed *s, double gap_ms)
{
	if (gap_ms <= 0)
		return;
	if (s->gap_ms == 0)
		s->gap_ms = gap_ms;
	else if (gap_ms < s->gap_ms)
		s->gap_ms += FASTER_WEIGHT * (gap_ms - s->gap_ms);
	else
		s->gap_ms = MIN (s->gap_ms * SLOWER_FACTOR, gap_ms);
}

void
speed_merge (struct speed *s, double gap_ms)
{
	if (gap_ms <= 0)
		return;
	s->announced_ms = gap_ms;
	if (s->gap_ms == 0 || gap_ms < s->gap_ms)
		s->gap_ms = gap_ms;
	else
		s->gap_ms = (s->gap_ms + gap_ms) / 2;
}

bool
speed_announce_due (struct speed *s)
{
	double change = s->gap_ms - s->announced_ms;

	if (s->gap_ms == 0 || ABS (change) <= ANNOUNCE_CHANGE * s->announced_ms)
		return false;
	s->announced_ms = s->gap_ms;
	return true;
}

double
speed_slowness (const struct speed *s, double usual_ms)
{
	if (s->gap_ms <= 0 || usual_ms <= 0)
		return 1;
	return CLAMP (s->gap_ms / usual_ms, SLOWNESS_MIN, SLOWNESS_MAX);
}

bool
speed_misses_gap (const struct speed *s, double target_ms)
{
	return target_ms > 0 && PREFILL_GAP_FACTOR * s->gap_ms > target_ms;
}

double
speed_add_prefill (double per_ms, double tokens, double took_ms)
{
	if (tokens < SPEED_MIN_PREFILL_TOKENS || took_ms <= 0)
		return per_ms;
	if (per_ms <= 0)
		per_ms = SPEED_PREFILL_PER_MS;
	per_ms *= tokens / took_ms > per_ms ? 1 + PREFILL_STEP_UP
					    : 1 - PREFILL_STEP_DOWN;
	return CLAMP (per_ms, PREFILL_MIN_PER_MS, PREFILL_MAX_PER_MS);
}
