/*
 * Speed of the engines' streams.  An engine that slows down answers its health
 * checks and begins its streams in time, but the pauses between their tokens
 * exceed the objective.
 */
#include "fleet.h"

/* An engine is slow if its events take this many times the mean.  Long prompts
 * that are prefilled beside the streams delay them by less. */
#define SLOW_FACTOR 1.7

/* An engine is taken to be slow for so long after the last slow stream. */
#define SLOW_HOLD_MS 2000

/* Weight of one measurement in the moving averages, once there are many.  Slow
 * engines count as CLIP_FACTOR times the mean, so that they don't hide. */
#define PACE_WEIGHT 0.02
#define CLIP_FACTOR 1.5

/* Longest pause of a stream on a slow engine until this relay has measured
 * some: in mean times of an event, and where it knows no such time either,
 * since it has just started. */
#define SLOW_GAP_EVENTS 8
#define SLOW_GAP_DEFAULT_MS 500

static void
average (struct fleet_mean *m, double x)
{
	double weight = MAX (PACE_WEIGHT, 1.0 / (m->count + 1));

	m->value += weight * (x - m->value);
	if (m->count < UINT32_MAX)
		m->count++;
}

void
fleet_note_pace (struct fleet *f, struct fleet_ep *ep, double event_ms,
		 uint64_t now_ms)
{
	double mean = f->event_ms.value;
	bool slow = f->event_ms.count > 0 && event_ms > SLOW_FACTOR * mean;

	ep->slow_until_ms = slow ? now_ms + SLOW_HOLD_MS : 0;
	if (f->event_ms.count > 0)
		event_ms = MIN (event_ms, CLIP_FACTOR * mean);
	average (&f->event_ms, event_ms);
}

bool
fleet_is_slow (const struct fleet_ep *ep, uint64_t now_ms)
{
	return ep->listed && now_ms < ep->slow_until_ms;
}

void
fleet_note_gap (struct fleet *f, const struct fleet_ep *ep, double gap_ms,
		uint64_t now_ms)
{
	if (fleet_is_slow (ep, now_ms) || ep->peer_slow)
		average (&f->slow_gap_ms, gap_ms);
}

double
fleet_slow_gap_ms (const struct fleet *f)
{
	if (f->slow_gap_ms.count > 0)
		return f->slow_gap_ms.value;
	return f->event_ms.count > 0 ? SLOW_GAP_EVENTS * f->event_ms.value
				     : SLOW_GAP_DEFAULT_MS;
}
