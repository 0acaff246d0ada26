/*
 * The elastic decision: order or release one endpoint, or hold.
 */
#include "scale.h"

/* Sums over what is paid for. */
struct sums {
	uint64_t spend_per_h;
	uint32_t total; /* live or ordered, without those that leave */
	uint32_t cheap;
	uint64_t slots;
	uint64_t busy;
	uint32_t pending;
};

const char *
scale_step_name (enum scale_step s)
{
	switch (s) {
	case SCALE_HOLD:
		return "hold";
	case SCALE_ORDER:
		return "order";
	case SCALE_RELEASE:
		return "release";
	}
	return "unknown";
}

static struct scale_verdict
hold (const char *why)
{
	return (struct scale_verdict){.step = SCALE_HOLD, .why = why};
}

static struct sums
sum_up (const struct scale_view *v)
{
	struct sums s = {0};

	for (uint32_t i = 0; i < v->endpoint_count; i++) {
		const struct scale_endpoint *ep = &v->endpoints[i];

		/* Paid for until it is gone, but no longer counted on. */
		s.spend_per_h += ep->price_per_h;
		if (ep->leaving)
			continue;
		s.total++;
		s.cheap += ep->reclaimable;
		s.slots += ep->slots;
		s.busy += ep->busy;
	}
	for (uint32_t i = 0; i < v->domain_count; i++) {
		s.spend_per_h += v->domains[i].pending_per_h;
		s.total += v->domains[i].pending;
		s.cheap += v->domains[i].pending_cheap;
		s.pending += v->domains[i].pending;
	}
	return s;
}

static uint32_t
held_in (const struct scale_view *v, uint32_t domain_ix)
{
	uint32_t n = v->domains[domain_ix].pending;

	for (uint32_t i = 0; i < v->endpoint_count; i++)
		n += v->endpoints[i].domain_ix == domain_ix &&
		     !v->endpoints[i].leaving;
	return n;
}

static bool
cheap_allowed (const struct scale_view *v, const struct sums *s,
	       const struct scale_domain *d)
{
	const struct scale_settings *set = v->settings;

	if (d->cheap_per_h == 0)
		return false;
	if (d->reclaimed_ms != 0 && v->now_ms < d->reclaimed_ms + set->risk_ms)
		return false;
	return (s->cheap + 1) * 1000ULL <=
	       (s->total + 1) * (uint64_t)set->cheap_permille;
}

/* The cheapest offer within the budget; of equal ones, where fewest are. */
static struct scale_verdict
best_order (const struct scale_view *v, const struct sums *s)
{
	const struct scale_settings *set = v->settings;
	struct scale_verdict best = hold ("no domain offers an endpoint");
	uint64_t best_price = 0;
	uint32_t best_held = 0;

	for (uint32_t i = 0; i < v->domain_count; i++) {
		const struct scale_domain *d = &v->domains[i];
		bool cheap = cheap_allowed (v, s, d);
		uint64_t price = cheap ? d->cheap_per_h : d->price_per_h;
		uint32_t held = held_in (v, i);

		if (d->drained || price == 0)
			continue;
		if (set->budget_per_h != 0 &&
		    s->spend_per_h + price > set->budget_per_h) {
			if (best.step == SCALE_HOLD)
				best = hold ("short, but the budget is spent");
			continue;
		}
		if (best.step == SCALE_ORDER &&
		    (price > best_price ||
		     (price == best_price && held >= best_held)))
			continue;
		best = (struct scale_verdict){
			.step = SCALE_ORDER,
			.domain_ix = i,
			.reclaimable = cheap,
			.why = "short of attainment",
		};
		best_price = price;
		best_held = held;
	}
	return best;
}

/* The dearest endpoint that can go; of equal ones, the least busy. */
static struct scale_verdict
best_release (const struct scale_view *v, const char *why)
{
	struct scale_verdict best = hold ("nothing can be released");
	const struct scale_endpoint *b = NULL;

	for (uint32_t i = 0; i < v->endpoint_count; i++) {
		const struct scale_endpoint *ep = &v->endpoints[i];
		const struct scale_domain *d = &v->domains[ep->domain_ix];

		if (ep->leaving || ep->kept ||
		    (!d->drained &&
		     held_in (v, ep->domain_ix) <= v->settings->least))
			continue;
		if (b != NULL && (ep->price_per_h < b->price_per_h ||
				  (ep->price_per_h == b->price_per_h &&
				   ep->busy >= b->busy)))
			continue;
		b = ep;
		best = (struct scale_verdict){
			.step = SCALE_RELEASE, .endpoint_ix = i, .why = why};
	}
	return best;
}

static void
since (uint64_t *since_ms, bool holds, uint64_t now_ms)
{
	if (!holds)
		*since_ms = 0;
	else if (*since_ms == 0)
		*since_ms = now_ms;
}

static bool
lasted (uint64_t since_ms, uint64_t now_ms, uint32_t least_ms)
{
	return since_ms != 0 && now_ms >= since_ms + least_ms;
}

/* A surplus: targets are met, and one less would still do. */
static bool
surplus (const struct scale_view *v, const struct sums *s)
{
	const struct scale_settings *set = v->settings;
	uint64_t less;

	if (v->attain_permille < set->attain_high_permille || s->total < 2 ||
	    s->pending > 0)
		return false;
	less = s->slots - s->slots / s->total;
	return s->busy * 1000 < s->slots * set->load_low_permille &&
	       s->busy * 1000 < less * set->load_high_permille;
}

static struct scale_verdict
decide (const struct scale_view *v, const struct sums *s,
	const struct scale_memory *m)
{
	const struct scale_settings *set = v->settings;

	if (m->acted_ms != 0 && v->now_ms < m->acted_ms + set->settle_ms)
		return hold ("waiting for the last step's effect");
	/* The bound is a bound, also where service is short of its targets. */
	if (set->budget_per_h != 0 && s->spend_per_h > set->budget_per_h)
		return best_release (v, "over the budget");
	if (lasted (m->short_since_ms, v->now_ms, set->short_ms))
		return s->pending > 0 ? hold ("short, and orders are pending")
				      : best_order (v, s);
	if (lasted (m->idle_since_ms, v->now_ms, set->idle_ms))
		return best_release (v, "surplus");
	return hold ("neither short nor in surplus for long enough");
}

struct scale_verdict
scale_decide (const struct scale_view *v, struct scale_memory *m)
{
	struct sums s = sum_up (v);
	struct scale_verdict d;

	since (&m->short_since_ms,
	       v->attain_permille < v->settings->attain_low_permille,
	       v->now_ms);
	since (&m->idle_since_ms, surplus (v, &s), v->now_ms);
	d = decide (v, &s, m);
	if (d.step != SCALE_HOLD) {
		m->acted_ms = v->now_ms;
		m->short_since_ms = 0;
		m->idle_since_ms = 0;
	}
	return d;
}
