/*
 * Number of endpoints.
 */
#include <math.h>

#include <glib.h>

#include "size.h"

/* Of the most that a domain may have, what stands on a calm day. */
#define BASE_SHARE 0.6

/* Busy share of an engine at which it still answers at once. */
#define BUSY_SHARE 0.3

/* Busy share of all engines beyond which requests wait long. */
#define FULL_SHARE 0.6

/* In each domain, endpoints that no reclaim takes. */
#define FIRM 1

/* Need rises at once and falls over this time: bursts come again. */
#define FALL_MS 15000.0

/* The time over which a rise is averaged. */
#define RISE_MS 1000.0

struct size_out
size_domain (const struct size_in *in)
{
	uint32_t open = MAX (in->domains - MIN (in->scarce_domains,
						in->domains - 1),
			     1);
	double wanted = MAX (BASE_SHARE * in->max,
			     in->need / BUSY_SHARE / open);
	uint32_t total = (uint32_t)CLAMP (ceil (wanted), in->min, in->max);
	uint32_t firm = MIN (MAX (FIRM, in->min), total);
	struct size_out out = {.firm = firm, .cheap = total - firm};

	if (in->cheap_factor <= 0 || in->cheap_factor >= 1)
		return (struct size_out){total, 0};
	/* What can't be had cheaply is bought where the rest would not do. */
	if (in->scarce && in->need > FULL_SHARE * in->present) {
		out.firm = MAX (firm, total - MIN (in->cheap, total));
		out.cheap = total - out.firm;
		return out;
	}
	/* Firm ones go only as cheap ones have come. */
	if (in->firm > out.firm && in->cheap < out.cheap)
		out.firm = MIN (in->firm,
				MAX (firm, total - MIN (in->cheap, total)));
	if (out.firm + out.cheap > in->max)
		out.firm = in->max - out.cheap;
	return out;
}

void
size_need_add (struct size_need *n, double work_ms, uint64_t now_ms)
{
	double span_ms = (double)(now_ms - n->at_ms), rate, weight;

	if (n->at_ms == 0 || span_ms <= 0) {
		n->at_ms = now_ms;
		return;
	}
	n->at_ms = now_ms;
	rate = work_ms / span_ms;
	weight = 1 - exp (-span_ms / (rate > n->engines ? RISE_MS : FALL_MS));
	n->engines += weight * (rate - n->engines);
}
