/*
 * Estimates of endpoint selection, updated from attempts: times to the first
 * token, warm endpoints that turned cold, ejection of outliers, and reclaims
 * of a domain's reclaimable endpoints.
 */
#include <stdlib.h>

#include "route.h"

#define SAMPLE_WEIGHT 0.2       /* weight of a new sample in a moving average */
#define BASELINE_WEIGHT 0.02    /* the same, for the long-run baseline */
#define COLD_FACTOR 4.0         /* ratio to the baseline that means cold */
#define COLD_CONSECUTIVE 3      /* consecutive responses above it */
#define COLD_MIN_SAMPLES 16     /* responses before the baseline is used */
#define OUTLIER_FACTOR 3.0      /* ratio to the peers' median that is slow */
#define SLOW_MIN_EXCESS_MS 50.0 /* least excess that counts as slow */
#define OUTLIER_MIN_SAMPLES 5   /* responses before a comparison */
#define OUTLIER_FAILURES 3      /* consecutive failures */
#define OUTLIER_MIN_ENDPOINTS 3 /* fewest endpoints to compare */
#define EJECT_DOUBLINGS_MAX 6   /* most doublings of the ejection time */
#define RECLAIM_WINDOW_MS 1000
#define RESERVE_MAX_PERMILLE 300

static void
update_mean (double *mean, double sample, double weight)
{
	*mean = *mean > 0 ? *mean + weight * (sample - *mean) : sample;
}

/* Returns whether a warm endpoint has turned cold: COLD_CONSECUTIVE consecutive
 * times to first token, corrected for load, far above the long-run baseline.
 * Times that are not slow update the baseline. */
static bool
turned_cold (struct bb_ep *ep, double first_ms)
{
	bool slow = ep->warmup != BB_COLD && ep->samples >= COLD_MIN_SAMPLES &&
		    first_ms > COLD_FACTOR * ep->ttft_base_ms &&
		    first_ms > ep->ttft_base_ms + SLOW_MIN_EXCESS_MS;

	if (!slow) {
		ep->slow_in_row = 0;
		update_mean (&ep->ttft_base_ms, first_ms,
			     ep->samples < COLD_MIN_SAMPLES ? SAMPLE_WEIGHT
							    : BASELINE_WEIGHT);
		return false;
	}
	return ++ep->slow_in_row >= COLD_CONSECUTIVE;
}

static bool
observe_ttft (struct bb_ep *ep, const struct route_attempt *s)
{
	double slots = MAX (ep->warmup == BB_COLD || ep->inv == NULL
				    ? 1
				    : ep->inv->warm_bound,
			    1);
	double first = s->ttft_ms / (1 + s->load / slots);

	update_mean (&ep->ttft_ms, first, SAMPLE_WEIGHT);
	if (s->uncached_tokens > 0)
		update_mean (&ep->prefill_token_ms,
			     first / MAX (s->uncached_tokens, 64),
			     SAMPLE_WEIGHT);
	ep->samples++;
	return turned_cold (ep, first);
}

enum route_change
route_observe (struct route *r, struct bb_ep *ep, const struct route_attempt *s,
	       uint64_t now_ms)
{
	if (s->endpoint_failed) {
		ep->fails_in_row++;
		return ROUTE_NO_CHANGE;
	}
	/* An attempt sent before the endpoint turned cold says nothing about
	 * its state since. */
	if (s->sent_ms < ep->last_cold_ms)
		return ROUTE_NO_CHANGE;
	if (s->itl_ms > 0)
		update_mean (&ep->itl_ms, s->itl_ms, SAMPLE_WEIGHT);
	if (s->duration_ms > 0)
		update_mean (&ep->service_ms, s->duration_ms, SAMPLE_WEIGHT);
	if (s->ttft_ms > 0 && observe_ttft (ep, s)) {
		bb_ep_set_cold (ep, now_ms);
		return ROUTE_TURNED_COLD;
	}
	if (!s->complete)
		return ROUTE_NO_CHANGE;
	ep->fails_in_row = 0;
	ep->cold_answers++;
	if (ep->cold_end_ms != 0 ||
	    ep->cold_answers < r->bb->inv->settings.cold_answers)
		return ROUTE_NO_CHANGE;
	bb_ep_start_ramp (ep, now_ms);
	return ROUTE_PROVEN;
}

/* Reserves credits for high tiers: the share of this entry's requests that run
 * on the domain's reclaimable endpoints, up to RESERVE_MAX_PERMILLE. */
static void
set_reserve (struct route *r, const struct bb_domain *d)
{
	uint64_t at_risk = 0;
	uint64_t all = 0;

	for (uint32_t i = 0; i < r->bb->inv->endpoint_count; i++) {
		const struct bb_ep *ep = r->bb->eps[i];

		all += ep->in_flight;
		if (ep->domain == d && ep->inv->reclaimable)
			at_risk += ep->in_flight;
	}
	r->reserve_permille = all == 0 ? 0
				       : (uint32_t)MIN (at_risk * 1000 / all,
							RESERVE_MAX_PERMILLE);
}

bool
route_endpoint_lost (struct route *r, struct bb_ep *ep, bool announced,
		     uint64_t now_ms)
{
	struct bb_domain *d = ep->domain;
	uint32_t recent = 1;

	if (ep->inv == NULL || !ep->inv->reclaimable)
		return false;
	for (uint32_t i = G_N_ELEMENTS (d->lost_ms); i-- > 0;) {
		recent += d->lost_ms[i] != 0 &&
			  now_ms - d->lost_ms[i] <= RECLAIM_WINDOW_MS;
		d->lost_ms[i] = i == 0 ? now_ms : d->lost_ms[i - 1];
	}
	if (!announced && recent < r->settings.reclaim_losses)
		return now_ms < d->reclaim_until_ms;
	if (now_ms >= d->reclaim_until_ms)
		set_reserve (r, d);
	d->reclaim_until_ms = now_ms + r->settings.reclaim_ms;
	r->reserve_until_ms = d->reclaim_until_ms;
	return true;
}

static int
double_cmp (const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* Returns the median time to first token of the pool's endpoints that are not
 * ejected; 0: too few of them have samples. */
static double
median_ttft (const struct bb_pool *p)
{
	double known[BB_SUBSET_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->ep_count; i++) {
		const struct bb_ep *ep = p->eps[i];

		if (!ep->probing && ep->samples >= OUTLIER_MIN_SAMPLES)
			known[n++] = ep->ttft_ms;
	}
	if (n < OUTLIER_MIN_ENDPOINTS)
		return 0;
	qsort (known, n, sizeof *known, double_cmp);
	return known[n / 2];
}

/* Returns whether one more of the pool's endpoints may be ejected. */
static bool
below_eject_limit (const struct route *r, const struct bb_pool *p)
{
	uint32_t ejected = 1;

	for (uint32_t i = 0; i < p->ep_count; i++)
		ejected += p->eps[i]->probing;
	return ejected * 1000 <= p->ep_count * r->settings.eject_max_permille;
}

static bool
in_pool (const struct bb_pool *p, const struct bb_ep *ep)
{
	for (uint32_t i = 0; i < p->ep_count; i++)
		if (p->eps[i] == ep)
			return true;
	return false;
}

static bool
may_eject (const struct route *r, const struct bb_ep *ep)
{
	for (uint32_t i = 0; i < r->bb->inv->model_count; i++)
		if (in_pool (r->bb->models[i], ep) &&
		    !below_eject_limit (r, r->bb->models[i]))
			return false;
	for (uint32_t i = 0; i < r->bb->groups->len; i++) {
		const struct bb_pool *p = g_ptr_array_index (r->bb->groups, i);

		if (in_pool (p, ep) && !below_eject_limit (r, p))
			return false;
	}
	return true;
}

static void
eject (struct route *r, struct bb_ep *ep, uint64_t now_ms, GPtrArray *ejected)
{
	ep->ejected_until_ms =
		now_ms + ((uint64_t)r->settings.eject_base_ms
			  << MIN (ep->ejections, EJECT_DOUBLINGS_MAX));
	ep->ejections++;
	ep->probing = true;
	ep->samples = 0;
	ep->ttft_ms = 0;
	ep->fails_in_row = 0;
	g_ptr_array_add (ejected, ep);
}

static void
eject_if_outlier (struct route *r, struct bb_ep *ep, double median,
		  uint64_t now_ms, GPtrArray *ejected)
{
	uint32_t enough = ep->probing ? 1 : OUTLIER_MIN_SAMPLES;
	bool slow = median > 0 && ep->samples >= enough &&
		    ep->ttft_ms > OUTLIER_FACTOR * median &&
		    ep->ttft_ms > median + SLOW_MIN_EXCESS_MS;
	bool failing = ep->fails_in_row >= (ep->probing ? 1 : OUTLIER_FAILURES);

	if (ep->inv == NULL || now_ms < ep->ejected_until_ms)
		return;
	if (slow || failing) {
		if (!ep->probing && !may_eject (r, ep))
			return;
		/* It may have turned cold, so it warms up again after the
		 * ejection. */
		if (slow)
			bb_ep_set_cold (ep, now_ms);
		eject (r, ep, now_ms, ejected);
	} else if (ep->probing && ep->samples > 0) {
		ep->probing = false;
	} else if (ep->ejections > 0 && !ep->probing &&
		   now_ms - ep->ejected_until_ms >
			   ((uint64_t)r->settings.eject_base_ms
			    << EJECT_DOUBLINGS_MAX)) {
		ep->ejections = 0;
	}
}

static void
eject_outliers (struct route *r, const struct bb_pool *p, uint64_t now_ms,
		GPtrArray *ejected)
{
	double median = median_ttft (p);

	if (p->ep_count < OUTLIER_MIN_ENDPOINTS)
		return;
	for (uint32_t i = 0; i < p->ep_count; i++)
		eject_if_outlier (r, p->eps[i], median, now_ms, ejected);
}

void
route_tick (struct route *r, uint64_t now_ms, GPtrArray *ejected)
{
	uint64_t ramp_ms = r->bb->inv->settings.cold_ramp_s * 1000ULL;

	for (uint32_t i = 0; i < r->bb->inv->endpoint_count; i++) {
		struct bb_ep *ep = r->bb->eps[i];

		if (ep->warmup != BB_RAMP || now_ms - ep->cold_end_ms < ramp_ms)
			continue;
		ep->warmup = BB_WARM;
		ep->warmup_since_ms = now_ms;
	}
	for (uint32_t i = 0; i < r->bb->inv->model_count; i++)
		eject_outliers (r, r->bb->models[i], now_ms, ejected);
	for (uint32_t i = 0; i < r->bb->groups->len; i++)
		eject_outliers (r, g_ptr_array_index (r->bb->groups, i), now_ms,
				ejected);
}
