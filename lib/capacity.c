/*
 * Number of endpoints of an elastic service.
 */
#include <math.h>

#include <glib.h>

#include "capacity.h"

/* Share of a domain's maximum that it has under low load. */
#define BASE_SHARE 0.6

/* Utilization of the engines above which more reclaimable endpoints are
 * ordered, ahead of a burst. */
#define RECLAIMABLE_UTILIZATION 0.3

/* Utilization above which requests wait long: then on-demand endpoints are
 * ordered. */
#define ON_DEMAND_UTILIZATION 0.5

/* A reclaim takes the reclaimable endpoints of one domain, which should be no
 * more than this share of all endpoints.  So the more domains there are, the
 * smaller the share of on-demand endpoints in each, within these limits. */
#define RECLAIM_SHARE 0.25
#define ON_DEMAND_SHARE_MIN 0.1
#define ON_DEMAND_SHARE_MAX 0.25

/* Time constants of the smoothed demand.  It rises fast and falls slowly, since
 * bursts recur; a provisional demand falls sooner.  What is over before an
 * endpoint has booted is not worth an order, so the rise takes a share of the
 * boot time, and several checks where endpoints boot at once. */
#define RISE_BOOT_SHARE 0.5
#define RISE_MIN_MS 1000.0
#define FALL_MS 15000.0
#define FALL_PROVISIONAL_MS 3000.0

/* Time after the boot of an endpoint until the list shows it. */
#define LIST_DELAY_MS 2500

/* Time for which there must be a surplus before fewer are ordered. */
#define SURPLUS_MS 3000

/* Share by which the demand changes from one check to the next. */
#define TOLERANCE_SHARE 0.1

/* Endpoints of both kinds that this domain should have. */
static uint32_t
wanted_total (const struct capacity_input *in)
{
	double base = BASE_SHARE * in->max;
	double wanted = MAX (base, in->demand / RECLAIMABLE_UTILIZATION /
					   in->domain_count);
	uint32_t total;

	if (in->provisional && !in->before_traffic)
		wanted = MIN (wanted, MAX (base, in->expected));
	total = (uint32_t)CLAMP (ceil (wanted), in->min, in->max);
	/* A surplus here replaces what other domains lack. */
	if (in->expected > total &&
	    in->expected_all + total < in->expected + total * in->domain_count)
		total = MIN (in->expected, in->max);
	return total;
}

/* On-demand endpoints that this domain should have: more than @base where the
 * reclaimable ones of all domains can't meet the demand.  Each domain adds in
 * proportion to the room that its reclaimable endpoints leave. */
static uint32_t
wanted_on_demand (const struct capacity_input *in, uint32_t base)
{
	double missing =
		in->demand / ON_DEMAND_UTILIZATION - in->expected_reclaimable;
	uint32_t room = in->max - MIN (in->reclaimable_expected, in->max);
	double room_all =
		(double)in->max * in->domain_count - in->expected_reclaimable;

	if (in->provisional || missing <= (double)base * in->domain_count ||
	    room_all <= 0)
		return base;
	return MAX (base,
		    MIN ((uint32_t)ceil (missing * room / room_all), room));
}

/* Share of a domain's endpoints that is on-demand under low load. */
static double
on_demand_share (const struct capacity_input *in)
{
	return CLAMP (1 - RECLAIM_SHARE * in->domain_count, ON_DEMAND_SHARE_MIN,
		      ON_DEMAND_SHARE_MAX);
}

struct capacity_target
capacity_for_domain (const struct capacity_input *in)
{
	uint32_t total = wanted_total (in);
	uint32_t few =
		(uint32_t)ceil (on_demand_share (in) * BASE_SHARE * in->max);
	uint32_t base = MIN (MAX (few, in->min), total), on_demand;
	struct capacity_target out = {.reclaimable = total - base};

	if (in->price_ratio <= 0 || in->price_ratio >= 1)
		return (struct capacity_target){total, 0};
	/* On-demand endpoints can be removed at once before the first request,
	 * since they have nothing in their caches yet. */
	if (in->before_traffic) {
		if (in->no_reclaimable)
			out.reclaimable =
				MIN (in->reclaimable, out.reclaimable);
		return (struct capacity_target){total - out.reclaimable,
						out.reclaimable};
	}
	on_demand = wanted_on_demand (in, base);
	/* On-demand endpoints are removed only as reclaimable ones arrive. */
	if (in->reclaimable < out.reclaimable)
		on_demand = MAX (on_demand,
				 MIN (in->on_demand, total - in->reclaimable));
	/* At the maximum, some have to go first to make room for them. */
	if (on_demand >= in->on_demand &&
	    in->on_demand + in->reclaimable >= in->max &&
	    in->reclaimable < out.reclaimable)
		on_demand = MAX (base, in->on_demand / 2);
	out.on_demand = MIN (on_demand, in->max);
	out.reclaimable = MIN (out.reclaimable, in->max - out.on_demand);
	return out;
}

uint32_t
capacity_order_expected (const struct capacity_order *o, uint32_t listed,
			 uint32_t boot_ms, uint64_t now_ms)
{
	/* Endpoints that the order counted on were reclaimed or crashed. */
	if (listed < MIN (o->listed, o->count))
		return listed;
	if (o->sent_ms != 0 && now_ms < o->sent_ms + boot_ms + LIST_DELAY_MS)
		return o->count;
	return listed;
}

bool
capacity_order_due (struct capacity_order *o, uint32_t listed, uint32_t wanted,
		    uint32_t boot_ms, bool before_traffic, uint64_t now_ms)
{
	uint32_t expected =
		capacity_order_expected (o, listed, boot_ms, now_ms);
	uint32_t tolerance = (uint32_t)(TOLERANCE_SHARE * expected);

	/* At the start of a deployment the list may be incomplete, so the first
	 * order is sent even if the numbers agree. */
	if (before_traffic && o->sent_ms == 0)
		return wanted > 0 || listed > 0;
	if (wanted + tolerance >= expected)
		o->surplus_since_ms = 0;
	else if (o->surplus_since_ms == 0)
		o->surplus_since_ms = now_ms;
	if (wanted > expected + tolerance)
		return true;
	return o->surplus_since_ms != 0 &&
	       (before_traffic || now_ms >= o->surplus_since_ms + SURPLUS_MS);
}

void
capacity_demand_add (struct capacity_demand *d, double work_ms, uint64_t now_ms)
{
	double span_ms = (double)(now_ms - d->updated_ms), rate, weight;
	double fall_ms = d->provisional ? FALL_PROVISIONAL_MS : FALL_MS;
	double rise_ms = MAX (RISE_BOOT_SHARE * d->boot_ms, RISE_MIN_MS);

	if (d->updated_ms == 0 || span_ms <= 0) {
		d->updated_ms = now_ms;
		return;
	}
	d->updated_ms = now_ms;
	rate = work_ms / span_ms;
	if (rate > d->engines)
		d->provisional = false;
	weight = 1 - exp (-span_ms / (rate > d->engines ? rise_ms : fall_ms));
	d->engines += weight * (rate - d->engines);
}

void
capacity_demand_init (struct capacity_demand *d, bool first, uint32_t max,
		      uint32_t domain_count, uint32_t listed, uint32_t boot_ms,
		      uint64_t now_ms)
{
	d->boot_ms = boot_ms;
	d->engines = RECLAIMABLE_UTILIZATION *
		     (first ? (double)max * domain_count : listed);
	d->provisional = true;
	d->updated_ms = now_ms;
}
