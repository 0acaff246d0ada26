/*
 * Policies: which of the eligible endpoints is chosen.  The predicting policy
 * is the default; the others are baselines to compare it with.
 */
#include <math.h>

#include "route.h"
#include "route_cache.h"

#define TTFT_DEFAULT_MS 100.0      /* time to first token without samples */
#define DURATION_DEFAULT_MS 1000.0 /* request duration without samples */
/* Largest share of the time to first token that a cached prefix saves. */
#define CACHE_SAVING_MAX 0.5
/* Relative; makes entries that see equal endpoints choose different ones. */
#define SCORE_JITTER 0.05

/** struct means - means of the eligible candidates, and their lowest price */
struct means {
	double ttft_ms;
	double service_ms;
	double load;
	uint32_t price;
};

static struct means
means_of (const struct route_verdict *v, const uint32_t *open, uint32_t count)
{
	struct means m = {.price = UINT32_MAX};
	uint32_t with_ttft = 0;
	uint32_t with_service = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct bb_ep *ep = v->cand[open[i]].ep;

		m.load += bb_ep_load (ep) / count;
		m.price = MIN (m.price, MAX (ep->inv->price_per_h, 1));
		m.ttft_ms += ep->ttft_ms;
		with_ttft += ep->ttft_ms > 0;
		m.service_ms += ep->service_ms;
		with_service += ep->service_ms > 0;
	}
	m.ttft_ms = with_ttft == 0 ? TTFT_DEFAULT_MS : m.ttft_ms / with_ttft;
	m.service_ms = with_service == 0 ? DURATION_DEFAULT_MS
					 : m.service_ms / with_service;
	return m;
}

static double
slots_of (const struct bb_ep *ep)
{
	return MAX (ep->warmup == BB_COLD ? ep->inv->cold_bound
					  : ep->inv->warm_bound,
		    1);
}

/* Predicts the time to the first token if the request were sent now. */
static void
predict (const struct route *r, const struct route_req *q,
	 const struct means *m, struct route_cand *c)
{
	const struct bb_ep *ep = c->ep;
	double ttft_ms = ep->ttft_ms > 0 ? ep->ttft_ms : m->ttft_ms;
	double service_ms = ep->service_ms > 0 ? ep->service_ms : m->service_ms;
	double slots = slots_of (ep);

	c->load = bb_ep_load (ep);
	c->ttft_ms = ttft_ms * (1 + c->load / slots);
	if (c->load >= slots)
		c->ttft_ms += (c->load - slots + 1) * service_ms / slots;
	/* A cached prefix counts only up to a bounded load above the mean, so
	 * that one popular prefix cannot overload its endpoint. */
	if (c->load <=
	    m->load * (1 + r->settings.affinity_permille / 1000.0) + 1)
		c->cached_tokens = route_cache_tokens (&r->cache, q, ep->id);
	c->ttft_ms -= MIN (c->cached_tokens * ep->prefill_token_ms,
			   ttft_ms * CACHE_SAVING_MAX);
}

static double
score (const struct route *r, const struct route_req *q, const struct means *m,
       const struct route_cand *c)
{
	const struct bb_ep *ep = c->ep;
	double itl = ep->itl_ms - q->klass->def.itl_ms;
	double price = MAX (ep->inv->price_per_h, 1);

	return c->ttft_ms + ep->domain->distance_ms +
	       MAX (itl, 0) * r->settings.itl_weight_tokens +
	       r->settings.price_doubling_ms * log2 (price / m->price);
}

static uint32_t
predict_choose (struct route *r, const struct route_req *q,
		struct route_verdict *v, const uint32_t *open, uint32_t count,
		uint64_t now_ms)
{
	struct means m = means_of (v, open, count);
	uint32_t best = open[0];
	double least = INFINITY;

	(void)now_ms;
	for (uint32_t i = 0; i < count; i++) {
		struct route_cand *c = &v->cand[open[i]];
		double s;

		predict (r, q, &m, c);
		c->score_ms = score (r, q, &m, c);
		s = c->score_ms * (1 + SCORE_JITTER * g_rand_double (r->rand));
		if (s < least) {
			least = s;
			best = open[i];
		}
	}
	return best;
}

static uint32_t
random_choose (struct route *r, const struct route_req *q,
	       struct route_verdict *v, const uint32_t *open, uint32_t count,
	       uint64_t now_ms)
{
	(void)q;
	(void)v;
	(void)now_ms;
	return open[g_rand_int_range (r->rand, 0, (gint32)count)];
}

static uint32_t
round_robin_choose (struct route *r, const struct route_req *q,
		    struct route_verdict *v, const uint32_t *open,
		    uint32_t count, uint64_t now_ms)
{
	(void)q;
	(void)v;
	(void)now_ms;
	return open[r->rr_next++ % count];
}

static uint32_t
less_loaded (struct route_verdict *v, uint32_t a, uint32_t b)
{
	struct route_cand *x = &v->cand[a];
	struct route_cand *y = &v->cand[b];

	x->score_ms = x->ep->in_flight;
	y->score_ms = y->ep->in_flight;
	return y->score_ms < x->score_ms ? b : a;
}

static uint32_t
least_choose (struct route *r, const struct route_req *q,
	      struct route_verdict *v, const uint32_t *open, uint32_t count,
	      uint64_t now_ms)
{
	uint32_t start = (uint32_t)(r->rr_next++ % count);
	uint32_t best = open[start];

	(void)q;
	(void)now_ms;
	for (uint32_t i = 1; i < count; i++)
		best = less_loaded (v, best, open[(start + i) % count]);
	return best;
}

static uint32_t
two_choose (struct route *r, const struct route_req *q, struct route_verdict *v,
	    const uint32_t *open, uint32_t count, uint64_t now_ms)
{
	uint32_t a = random_choose (r, q, v, open, count, now_ms);
	uint32_t b = random_choose (r, q, v, open, count, now_ms);

	return less_loaded (v, a, b);
}

const struct route_ops route_predict = {"predict", true, predict_choose};
const struct route_ops route_random = {"random", false, random_choose};
const struct route_ops route_round_robin = {"round_robin", false,
					    round_robin_choose};
const struct route_ops route_least_in_flight = {"least", false, least_choose};
const struct route_ops route_two_choices = {"two_choices", false, two_choose};
