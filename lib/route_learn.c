/*
 * What the choice of endpoint learns: first-token times, collapse of a warm
 * endpoint, outliers among peers, and reclaims of a domain's cheap endpoints.
 */
#include <stdlib.h>

#include "route.h"

#define LEARN 0.2           /* weight of one new observation */
#define LEARN_BASE 0.02     /* the same, for the long-run base */
#define COLLAPSE_FACTOR 4.0 /* first token above its base that means cold */
#define COLLAPSE_ROW 3      /* such answers in a row */
#define COLLAPSE_SAMPLES 16 /* answers that make a base known */
#define OUTLIER_FACTOR 3.0  /* first token above the peers' median */
#define OUTLIER_FLOOR_MS 50.0
#define OUTLIER_SAMPLES 5
#define OUTLIER_FAILS 3   /* failures in a row */
#define OUTLIER_PEERS 3   /* endpoints that make a comparison */
#define EJECT_SHIFT_MAX 6 /* doublings of an ejection's length */
#define RECLAIM_WINDOW_MS 1000
#define RESERVE_MAX_PERMILLE 300

static void
learn (double *mean, double seen, double weight)
{
	*mean = *mean > 0 ? *mean + weight * (seen - *mean) : seen;
}

/* A first token far above the long-run base, load taken out: three of them
 * in a row, and the endpoint is taken for cold. */
static bool
collapsed (struct bb_ep *ep, double first_ms)
{
	bool slow = ep->warmup != BB_COLD && ep->samples >= COLLAPSE_SAMPLES &&
		    first_ms > COLLAPSE_FACTOR * ep->ttft_base_ms &&
		    first_ms > ep->ttft_base_ms + OUTLIER_FLOOR_MS;

	if (!slow) {
		ep->slow_in_row = 0;
		learn (&ep->ttft_base_ms, first_ms,
		       ep->samples < COLLAPSE_SAMPLES ? LEARN : LEARN_BASE);
		return false;
	}
	return ++ep->slow_in_row >= COLLAPSE_ROW;
}

static bool
learn_first (struct bb_ep *ep, const struct route_attempt *s)
{
	double slots = MAX (ep->warmup == BB_COLD || ep->inv == NULL
				    ? 1
				    : ep->inv->warm_bound,
			    1);
	double first = s->ttft_ms / (1 + s->load / slots);

	learn (&ep->ttft_ms, first, LEARN);
	if (s->uncached_tokens > 0)
		learn (&ep->prefill_token_ms,
		       first / MAX (s->uncached_tokens, 64), LEARN);
	ep->samples++;
	return collapsed (ep, first);
}

enum route_change
route_observe (struct route *r, struct bb_ep *ep, const struct route_attempt *s,
	       uint64_t now_ms)
{
	if (s->endpoint_failed) {
		ep->fails_in_row++;
		return ROUTE_NO_CHANGE;
	}
	/* What was sent before a collapse says nothing of the time after. */
	if (s->sent_ms < ep->last_cold_ms)
		return ROUTE_NO_CHANGE;
	if (s->itl_ms > 0)
		learn (&ep->itl_ms, s->itl_ms, LEARN);
	if (s->duration_ms > 0)
		learn (&ep->service_ms, s->duration_ms, LEARN);
	if (s->ttft_ms > 0 && learn_first (ep, s)) {
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

/* Hold back, for high tiers, as much as was exposed to the reclaim. */
static void
set_reserve (struct route *r, const struct bb_domain *d)
{
	uint64_t exposed = 0;
	uint64_t all = 0;

	for (uint32_t i = 0; i < r->bb->inv->endpoint_count; i++) {
		const struct bb_ep *ep = r->bb->eps[i];

		all += ep->in_flight;
		if (ep->domain == d && ep->inv->reclaimable)
			exposed += ep->in_flight;
	}
	r->reserve_permille = all == 0 ? 0
				       : (uint32_t)MIN (exposed * 1000 / all,
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

/* Median first-token time of a pool's endpoints in use; 0: too few known. */
static double
median_first (const struct bb_pool *p)
{
	double known[BB_SUBSET_MAX];
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->ep_count; i++) {
		const struct bb_ep *ep = p->eps[i];

		if (!ep->probing && ep->samples >= OUTLIER_SAMPLES)
			known[n++] = ep->ttft_ms;
	}
	if (n < OUTLIER_PEERS)
		return 0;
	qsort (known, n, sizeof *known, double_cmp);
	return known[n / 2];
}

/* Whether one more of the pool may be ejected. */
static bool
below_cap (const struct route *r, const struct bb_pool *p)
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
		    !below_cap (r, r->bb->models[i]))
			return false;
	for (uint32_t i = 0; i < r->bb->groups->len; i++) {
		const struct bb_pool *p = g_ptr_array_index (r->bb->groups, i);

		if (in_pool (p, ep) && !below_cap (r, p))
			return false;
	}
	return true;
}

static void
eject (struct route *r, struct bb_ep *ep, uint64_t now_ms, GPtrArray *ejected)
{
	ep->ejected_until_ms =
		now_ms + ((uint64_t)r->settings.eject_base_ms
			  << MIN (ep->ejections, EJECT_SHIFT_MAX));
	ep->ejections++;
	ep->probing = true;
	ep->samples = 0;
	ep->ttft_ms = 0;
	ep->fails_in_row = 0;
	g_ptr_array_add (ejected, ep);
}

static void
judge (struct route *r, struct bb_ep *ep, double median, uint64_t now_ms,
       GPtrArray *ejected)
{
	uint32_t enough = ep->probing ? 1 : OUTLIER_SAMPLES;
	bool slow = median > 0 && ep->samples >= enough &&
		    ep->ttft_ms > OUTLIER_FACTOR * median &&
		    ep->ttft_ms > median + OUTLIER_FLOOR_MS;
	bool failing = ep->fails_in_row >= (ep->probing ? 1 : OUTLIER_FAILS);

	if (ep->inv == NULL || now_ms < ep->ejected_until_ms)
		return;
	if (slow || failing) {
		if (!ep->probing && !may_eject (r, ep))
			return;
		/* It may have turned cold; then it comes back as such. */
		if (slow)
			bb_ep_set_cold (ep, now_ms);
		eject (r, ep, now_ms, ejected);
	} else if (ep->probing && ep->samples > 0) {
		ep->probing = false;
	} else if (ep->ejections > 0 && !ep->probing &&
		   now_ms - ep->ejected_until_ms >
			   ((uint64_t)r->settings.eject_base_ms
			    << EJECT_SHIFT_MAX)) {
		ep->ejections = 0;
	}
}

static void
judge_pool (struct route *r, const struct bb_pool *p, uint64_t now_ms,
	    GPtrArray *ejected)
{
	double median = median_first (p);

	if (p->ep_count < OUTLIER_PEERS)
		return;
	for (uint32_t i = 0; i < p->ep_count; i++)
		judge (r, p->eps[i], median, now_ms, ejected);
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
		judge_pool (r, r->bb->models[i], now_ms, ejected);
	for (uint32_t i = 0; i < r->bb->groups->len; i++)
		judge_pool (r, g_ptr_array_index (r->bb->groups, i), now_ms,
			    ejected);
}
