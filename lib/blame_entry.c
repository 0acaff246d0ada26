/*
 * What is known of one key: its strikes, clearings and trials.
 */
#include <string.h>

#include "blame_priv.h"

/* Strikes within this time are one event: endpoints that crash together, or
 * connections that are reset together, say nothing about a single key. */
#define EVENT_MS 400

/* Strikes kept of one event. */
#define EVENT_STRIKES 3

/* An endpoint that crashed needs longer than this to come back, so that what it
 * breaks within it has another cause. */
#define SAME_ENDPOINT_MS 5000

/* Events that bar a key, at EVENTS_ENDPOINTS endpoints or more; and where a
 * request with the key succeeded within BLAME_RECENT_MS before them, or at
 * fewer endpoints. */
#define EVENTS_MIN 3
#define EVENTS_ENDPOINTS 3
#define EVENTS_DOUBTFUL 5

/* Strikes that bar a whole request, however close together, if no answer to it
 * begins within CONFIRM_MS after them.  A sound one that is sent often is
 * answered by then; one that crashes endpoints never is. */
#define REQUEST_STRIKES 3
#define CONFIRM_MS 2000

/* A success that clears nothing is passed on only where the last one that is
 * known is older by this. */
#define CLEAR_NEWS_MS 5000

uint32_t
blame_entry_endpoints (const struct blame_entry *e)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->strike_count; i++) {
		uint32_t j = 0;

		while (e->strikes[j].ep_hash != e->strikes[i].ep_hash)
			j++;
		n += j == i;
	}
	return n;
}

static uint32_t
count_events (const struct blame_entry *e)
{
	uint64_t began_ms = 0;
	uint32_t n = 0;

	for (uint32_t i = 0; i < e->strike_count; i++) {
		if (n > 0 && e->strikes[i].at_ms < began_ms + EVENT_MS)
			continue;
		began_ms = e->strikes[i].at_ms;
		n++;
	}
	return n;
}

/* The lowest bit of a key tells its kind. */
bool
blame_entry_is_request (const struct blame_entry *e)
{
	return e->key % 2 != 0;
}

uint64_t
blame_entry_bar_due_ms (const struct blame_entry *e)
{
	if (!blame_entry_is_request (e) || e->strike_count < REQUEST_STRIKES)
		return UINT64_MAX;
	return e->strikes[REQUEST_STRIKES - 1].at_ms + CONFIRM_MS;
}

bool
blame_entry_should_bar (const struct blame_entry *e, uint64_t now_ms)
{
	uint32_t events = count_events (e);
	bool doubtful = e->cleared_ms != 0 && e->strike_count > 0 &&
			e->strikes[0].at_ms < e->cleared_ms + BLAME_RECENT_MS;

	if (events >= EVENTS_DOUBTFUL || now_ms >= blame_entry_bar_due_ms (e))
		return true;
	return events >= EVENTS_MIN && !doubtful &&
	       blame_entry_endpoints (e) >= EVENTS_ENDPOINTS;
}

bool
blame_entry_strike (struct blame_entry *e, uint64_t at_ms, uint32_t ep_hash,
		    uint32_t origin)
{
	uint32_t near = 0, at = e->strike_count;

	if (at_ms <= e->cleared_ms)
		return false;
	e->struck_ms = MAX (e->struck_ms, at_ms);
	e->undecided = false;
	for (uint32_t i = 0; i < e->strike_count; i++) {
		uint64_t x = e->strikes[i].at_ms;
		uint64_t apart_ms = x > at_ms ? x - at_ms : at_ms - x;

		if (e->strikes[i].ep_hash == ep_hash &&
		    apart_ms < SAME_ENDPOINT_MS)
			return false;
		near += apart_ms < EVENT_MS;
	}
	if (near >= EVENT_STRIKES)
		return false;
	if (at == BLAME_STRIKES_MAX) {
		if (at_ms < e->strikes[0].at_ms)
			return false;
		at--;
		memmove (e->strikes, e->strikes + 1, at * sizeof e->strikes[0]);
	}
	while (at > 0 && e->strikes[at - 1].at_ms > at_ms) {
		e->strikes[at] = e->strikes[at - 1];
		at--;
	}
	e->strikes[at] = (struct blame_strike){at_ms, ep_hash, origin};
	e->strike_count = MIN (e->strike_count + 1, BLAME_STRIKES_MAX);
	return true;
}

void
blame_entry_drop (struct blame_entry *e, uint64_t until_ms)
{
	uint32_t n = 0;

	while (n < e->strike_count && e->strikes[n].at_ms <= until_ms)
		n++;
	e->strike_count -= n;
	memmove (e->strikes, e->strikes + n,
		 e->strike_count * sizeof e->strikes[0]);
}

bool
blame_entry_clear (struct blame_entry *e, uint64_t at_ms)
{
	uint32_t before = e->strike_count;
	bool news;

	if (at_ms <= e->cleared_ms)
		return false;
	blame_entry_drop (e, at_ms);
	news = e->strike_count < before ||
	       at_ms > e->cleared_ms + CLEAR_NEWS_MS;
	e->cleared_ms = at_ms;
	return news;
}

bool
blame_entry_tried (struct blame_entry *e, uint64_t at_ms, uint8_t trials)
{
	if (at_ms <= e->cleared_ms ||
	    (trials <= e->trials && at_ms <= e->trial_ms + EVENT_MS))
		return false;
	e->trials = MAX (e->trials, trials);
	e->trial_ms = MAX (e->trial_ms, at_ms);
	return true;
}
