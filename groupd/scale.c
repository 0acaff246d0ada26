/*
 * How many endpoints are ordered.  The leader compares the endpoints that the
 * platform lists with the number that each failure domain should have
 * (capacity.h), and has more or fewer ordered; scale_order.c sends the orders.
 */
#include <string.h>

#include "groupd.h"

#define CHECK_INTERVAL_MS 250

/* Endpoints that boot within this time are ready for the first request: clients
 * arrive some 10 s after the first start of the group, and its leader acts
 * after a third of that. */
#define FIRST_BOOT_MAX_MS 5000

static void
on_parsed (struct plan *p, const struct err *e, GBytes *text, void *ctx)
{
	struct group *g = ctx;

	(void)text;
	plan_unref (g->plan);
	g->plan = p;
	if (p == NULL)
		log_event (LOG_LV_ERROR, "config", "why=\"%s\"", e->msg);
}

void
scale_init (struct group *g)
{
	g->scaler.pools = g_ptr_array_new_with_free_func (g_free);
	planjob_init (&g->plan_job, g->d.loop, g->dialect, on_parsed, g);
}

void
scale_finish (struct group *g)
{
	g_ptr_array_free (g->scaler.pools, TRUE);
	planjob_finish (&g->plan_job);
	plan_unref (g->plan);
}

static struct scale_pool *
pool_get (struct group *g, const char *service, const char *domain,
	  bool reclaimable)
{
	struct scale_pool *s;

	for (guint i = 0; i < g->scaler.pools->len; i++) {
		s = g_ptr_array_index (g->scaler.pools, i);
		if (s->reclaimable == reclaimable &&
		    strcmp (s->service, service) == 0 &&
		    strcmp (s->domain, domain) == 0)
			return s;
	}
	s = g_new0 (struct scale_pool, 1);
	g_strlcpy (s->service, service, sizeof s->service);
	g_strlcpy (s->domain, domain, sizeof s->domain);
	s->reclaimable = reclaimable;
	g_ptr_array_add (g->scaler.pools, s);
	return s;
}

/* Listed endpoints of the pool that are not leaving. */
static uint32_t
listed_count (const struct group *g, const struct scale_pool *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->endpoints.list->len; i++) {
		const struct fleet_info *info = &g_array_index (
			g->endpoints.list, struct fleet_info, i);

		n += !info->leaving && info->reclaimable == s->reclaimable &&
		     strcmp (info->service, s->service) == 0 &&
		     strcmp (info->domain, s->domain) == 0;
	}
	return n;
}

/* Listed endpoints, and those that the platform granted and that still boot. */
static uint32_t
expected_count (const struct group *g, const struct scale_pool *s,
		uint32_t boot_ms, uint64_t now_ms)
{
	return capacity_order_expected (&s->order, listed_count (g, s), boot_ms,
					now_ms);
}

/* The sum of expected_count() over all domains. */
static uint32_t
expected_total (struct group *g, const struct plan_service *s, bool reclaimable,
		uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->price_count; i++)
		n += expected_count (
			g,
			pool_get (g, s->name, s->prices[i].domain, reclaimable),
			s->boot_ms, now_ms);
	return n;
}

/* Whether requests were ever served, including under earlier leaders. */
static bool
has_served (const struct group *g)
{
	return loads_any_prefill (&g->loads) || gstate_has_counts (&g->state);
}

/* Orders @count endpoints for the pool if that is due; whether it did. */
static bool
order_if_due (struct group *g, struct scale_pool *s, uint32_t count,
	      uint32_t boot_ms, bool first_boot, uint64_t now_ms)
{
	uint32_t have = listed_count (g, s);

	if (!capacity_order_due (&s->order, have, count, boot_ms, first_boot,
				 now_ms))
		return false;
	if (now_ms < s->no_capacity_until_ms && count > have)
		return false;
	/* A pool that is refused repeatedly must not delay the others. */
	if (now_ms < s->retry_at_ms)
		return false;
	scale_order_send (g, s, count, have, now_ms);
	return true;
}

/* Sends at most one order for the domain; whether it did. */
static bool
check_domain (struct group *g, const struct plan_service *s, const char *domain,
	      uint64_t now_ms)
{
	struct scale_pool *on_demand = pool_get (g, s->name, domain, false);
	struct scale_pool *reclaimable = pool_get (g, s->name, domain, true);
	struct capacity_input in = {
		.min = s->min_endpoints,
		.max = s->max_endpoints,
		.price_ratio = s->reclaimable_price_ratio,
		.demand = g->scaler.demand.engines,
		.provisional = g->scaler.demand.provisional,
		.domain_count = MAX (s->price_count, 1),
		.on_demand = listed_count (g, on_demand),
		.reclaimable = listed_count (g, reclaimable),
		.expected = expected_count (g, on_demand, s->boot_ms, now_ms) +
			    expected_count (g, reclaimable, s->boot_ms, now_ms),
		.reclaimable_expected =
			expected_count (g, reclaimable, s->boot_ms, now_ms),
		.expected_reclaimable = expected_total (g, s, true, now_ms),
		.before_traffic =
			!has_served (g) && s->boot_ms <= FIRST_BOOT_MAX_MS,
		.no_reclaimable = now_ms < reclaimable->no_capacity_until_ms,
	};
	struct capacity_target out;
	uint32_t standing;

	in.expected_all =
		in.expected_reclaimable + expected_total (g, s, false, now_ms);
	out = capacity_for_domain (&in);
	/* The platform grants no more reclaimable endpoints than the on-demand
	 * ones leave room for, so a decrease of those is ordered first. */
	if (order_if_due (g, on_demand, out.on_demand, s->boot_ms,
			  in.before_traffic, now_ms))
		return true;
	standing = expected_count (g, on_demand, s->boot_ms, now_ms);
	out.reclaimable =
		MIN (out.reclaimable,
		     s->max_endpoints - MIN (standing, s->max_endpoints));
	return order_if_due (g, reclaimable, out.reclaimable, s->boot_ms,
			     in.before_traffic, now_ms);
}

/* Parses the configuration in force if it changed; whether there is one. */
bool
plan_refresh (struct group *g)
{
	if (g->state.text != NULL && !planjob_is_active (&g->plan_job) &&
	    g->plan_job_version != g->state.version) {
		g->plan_job_version = g->state.version;
		planjob_start (&g->plan_job, g->state.text);
	}
	return g->plan != NULL;
}

/* Sets the demand that a new leader starts from. */
static void
demand_init (struct group *g, uint64_t now_ms)
{
	for (guint i = 0; i < g->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (g->plan->services, i);
		uint32_t listed = 0;

		if (!s->elastic)
			continue;
		for (guint k = 0; k < g->endpoints.list->len; k++)
			listed += strcmp (g_array_index (g->endpoints.list,
							 struct fleet_info, k)
						  .service,
					  s->name) == 0;
		capacity_demand_init (&g->scaler.demand, !has_served (g),
				      s->max_endpoints, s->price_count, listed,
				      s->boot_ms, now_ms);
	}
	g->scaler.demand_started = true;
}

/* Feeds the load into the demand.  Before the first request there is none, and
 * the initial demand stands. */
static void
demand_update (struct group *g, uint64_t now_ms)
{
	if (loads_any_prefill (&g->loads))
		capacity_demand_add (&g->scaler.demand,
				     loads_take_prefill_ms (&g->loads), now_ms);
	else
		g->scaler.demand.updated_ms = now_ms;
}

void
scale_tick (struct group *g, uint64_t now_ms)
{
	struct scaler *sc = &g->scaler;

	if (now_ms < sc->next_check_ms || !group_has_duty (g, "scaling"))
		return;
	sc->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	demand_update (g, now_ms);
	scale_order_tick (g, now_ms);
	if (!group_may_act (g)) {
		sc->demand_started = false;
		return;
	}
	if (sc->call != NULL || g->endpoints.list == NULL || !plan_refresh (g))
		return;
	if (!sc->demand_started)
		demand_init (g, now_ms);
	for (guint i = 0; i < g->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (g->plan->services, i);
		for (uint32_t k = 0; s->elastic && k < s->price_count; k++) {
			if (check_domain (g, s, s->prices[k].domain, now_ms))
				return;
		}
	}
}
