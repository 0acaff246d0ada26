/*
 * Common rate of the relays for requests that wait.
 */
#include <glib.h>

#include "dispatch.h"

void
dispatch_refill (struct dispatch *d, double room_tokens,
		 const uint32_t own[LOADS_RANKS],
		 const uint32_t peers[LOADS_RANKS], uint64_t now_ms)
{
	double left = room_tokens, rate = 0;
	bool is_short = false;
	uint64_t passed_ms = MIN (now_ms - d->refilled_ms, DISPATCH_DELAY_MS);

	for (uint32_t i = 0; i < LOADS_RANKS; i++) {
		double all = (double)own[i] + peers[i];

		d->served[i] = all <= left ? 1 : left / all;
		is_short = is_short || d->served[i] < 1;
		left -= MIN (all, left);
		if (d->served[i] < 1)
			rate += d->served[i] * own[i] / DISPATCH_DELAY_MS;
	}
	d->budget_tokens += rate * (double)passed_ms;
	/* What was not used while nothing waited is not kept. */
	d->budget_tokens = MIN (d->budget_tokens, rate * DISPATCH_DELAY_MS);
	d->refilled_ms = now_ms;
	d->is_short = is_short;
}

bool
dispatch_allows (const struct dispatch *d, uint32_t rank)
{
	return d->served[rank] >= 1 || d->budget_tokens > 0;
}

double
dispatch_unseen_ms (const struct dispatch *d)
{
	return d->is_short ? DISPATCH_DELAY_MS : 0;
}

void
dispatch_sent (struct dispatch *d, uint32_t rank, double tokens)
{
	if (d->served[rank] < 1)
		d->budget_tokens -= tokens;
}
