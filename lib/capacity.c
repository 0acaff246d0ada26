/*
 * Number of endpoints.
 */
#include <math.h>

#include <glib.h>

#include "capacity.h"

/* Of the most that a domain may have, what stands on a calm day. */
#define BASE_SHARE 0.6

/* Busy share of the engines to which cheap ones are ordered ahead. */
#define CALM_SHARE 0.3

/* Busy share beyond which requests wait long: firm ones are bought then. */
#define FULL_SHARE 0.5

/* A reclaim takes the cheap endpoints of one domain; of all endpoints it should
 * take no more than this part, so the more domains there are, the fewer of
 * each domain's have to be firm, within these shares. */
#define RECLAIM_SHARE 0.25
#define FIRM_SHARE_MIN 0.1
#define FIRM_SHARE_MAX 0.25

/* Need rises at once and falls over this time: bursts come again. */
#define FALL_MS 15000.0

/* A need that was only guessed falls sooner. */
#define FALL_GUESSED_MS 3000.0

/* The time over which a rise is averaged. */
#define RISE_MS 1000.0

/* Beyond an endpoint's boot, for the list to show it. */
#define LISTED_MS 2500

/* Fewer endpoints are ordered once they were too many for so long. */
#define LOWER_MS 3000

/* A need moves by about this share from one look to the next. */
#define SLACK_SHARE 0.1

/* Endpoints of both kinds that this domain should have. */
static uint32_t
wanted_total (const struct capacity_input *in)
{
	double base = BASE_SHARE * in->max;
	double wanted = MAX (base, in->demand / CALM_SHARE / in->domain_count);
	uint32_t total;

	if (in->provisional && !in->before_traffic)
		wanted = MIN (wanted, MAX (base, in->expected));
	total = (uint32_t)CLAMP (ceil (wanted), in->min, in->max);
	/* What is too many here stands in for what others lack. */
	if (in->expected > total &&
	    in->expected_all + total < in->expected + total * in->domain_count)
		total = MIN (in->expected, in->max);
	return total;
}

/* What is not there of the cheap ones, where the rest won't do; each domain by
 * the room that it has. */
static uint32_t
firm_bought (const struct capacity_input *in, uint32_t standing)
{
	double short_of = in->demand / FULL_SHARE - in->expected_reclaimable;
	uint32_t here = in->max - MIN (in->reclaimable, in->max);
	double room =
		(double)in->max * in->domain_count - in->expected_reclaimable;

	if (in->provisional ||
	    short_of <= (double)standing * in->domain_count || room <= 0)
		return standing;
	return MAX (standing,
		    MIN ((uint32_t)ceil (short_of * here / room), here));
}

/* Of a domain's endpoints, those that no reclaim takes. */
static double
firm_share (const struct capacity_input *in)
{
	return CLAMP (1 - RECLAIM_SHARE * in->domain_count, FIRM_SHARE_MIN,
		      FIRM_SHARE_MAX);
}

struct capacity_target
capacity_for_domain (const struct capacity_input *in)
{
	uint32_t total = wanted_total (in);
	uint32_t few = (uint32_t)ceil (firm_share (in) * BASE_SHARE * in->max);
	uint32_t standing = MIN (MAX (few, in->min), total), firm;
	struct capacity_target out = {.reclaimable = total - standing};

	if (in->price_ratio <= 0 || in->price_ratio >= 1)
		return (struct capacity_target){total, 0};
	/* Nothing is lost by firm ones that go before the first request. */
	if (in->before_traffic) {
		if (in->no_reclaimable)
			out.reclaimable =
				MIN (in->reclaimable, out.reclaimable);
		return (struct capacity_target){total - out.reclaimable,
						out.reclaimable};
	}
	firm = firm_bought (in, standing);
	/* Firm ones go only as cheap ones come. */
	if (in->reclaimable < out.reclaimable)
		firm = MAX (firm, MIN (in->on_demand, total - in->reclaimable));
	/* Where all places are taken, some have to go before. */
	if (firm >= in->on_demand &&
	    in->on_demand + in->reclaimable >= in->max &&
	    in->reclaimable < out.reclaimable)
		firm = MAX (standing, in->on_demand / 2);
	out.on_demand = MIN (firm, in->max);
	out.reclaimable = MIN (out.reclaimable, in->max - out.on_demand);
	return out;
}

uint32_t
capacity_order_expected (const struct capacity_order *o, uint32_t have,
			 uint32_t boot_ms, uint64_t now_ms)
{
	/* Some that it counted on are gone: a reclaim, or a crash. */
	if (have < MIN (o->had, o->count))
		return have;
	if (o->sent_ms != 0 && now_ms < o->sent_ms + boot_ms + LISTED_MS)
		return o->count;
	return have;
}

bool
capacity_order_due (struct capacity_order *o, uint32_t have, uint32_t want,
		    uint32_t boot_ms, bool before, uint64_t now_ms)
{
	uint32_t base = capacity_order_expected (o, have, boot_ms, now_ms);
	uint32_t slack = (uint32_t)(SLACK_SHARE * base);

	/* What the list shows of a start need not be all. */
	if (before && o->sent_ms == 0)
		return want > 0 || have > 0;
	if (want + slack >= base)
		o->lower_since_ms = 0;
	else if (o->lower_since_ms == 0)
		o->lower_since_ms = now_ms;
	if (want > base + slack)
		return true;
	return o->lower_since_ms != 0 &&
	       (before || now_ms >= o->lower_since_ms + LOWER_MS);
}

void
capacity_demand_add (struct capacity_demand *n, double work_ms, uint64_t now_ms)
{
	double span_ms = (double)(now_ms - n->updated_ms), rate, weight;
	double fall_ms = n->provisional ? FALL_GUESSED_MS : FALL_MS;

	if (n->updated_ms == 0 || span_ms <= 0) {
		n->updated_ms = now_ms;
		return;
	}
	n->updated_ms = now_ms;
	rate = work_ms / span_ms;
	if (rate > n->engines)
		n->provisional = false;
	weight = 1 - exp (-span_ms / (rate > n->engines ? RISE_MS : fall_ms));
	n->engines += weight * (rate - n->engines);
}

void
capacity_demand_init (struct capacity_demand *n, bool first, uint32_t max,
		      uint32_t domains, uint32_t present, uint64_t now_ms)
{
	n->engines = CALM_SHARE * (first ? (double)max * domains : present);
	n->provisional = true;
	n->updated_ms = now_ms;
}
