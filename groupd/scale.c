/*
 * Orders of endpoints: the leader compares what the platform lists with what
 * each domain should have.
 */
#include <string.h>

#include "groupd.h"

/* Between two looks. */
#define LOOK_MS 250

/* Endpoints that boot in this time stand before the first request: callers
 * come some 10 s after the first start of the group, and its leader acts after
 * a third of that. */
#define FIRST_BOOT_MAX_MS 5000

/* No cheap endpoints were to be had: not asked again before. */
#define SCARCE_MS 3000

/* An order was refused: the same kind is not ordered again before; a look or
 * two for each of the other kinds and domains. */
#define REFUSED_MS 1000

#define CONNECT_MS 500
#define ANSWER_MS 3000

void
scale_init (struct group *g)
{
	g->scaler.subjects = g_ptr_array_new_with_free_func (g_free);
}

void
scale_finish (struct group *g)
{
	g_ptr_array_free (g->scaler.subjects, TRUE);
	plan_unref (g->plan);
}

static struct subject *
subject_get (struct group *g, const char *service, const char *domain,
	     bool cheap)
{
	struct subject *s;

	for (guint i = 0; i < g->scaler.subjects->len; i++) {
		s = g_ptr_array_index (g->scaler.subjects, i);
		if (s->cheap == cheap && strcmp (s->service, service) == 0 &&
		    strcmp (s->domain, domain) == 0)
			return s;
	}
	s = g_new0 (struct subject, 1);
	g_strlcpy (s->service, service, sizeof s->service);
	g_strlcpy (s->domain, domain, sizeof s->domain);
	s->cheap = cheap;
	g_ptr_array_add (g->scaler.subjects, s);
	return s;
}

static uint32_t
present (const struct group *g, const struct subject *s)
{
	uint32_t n = 0;

	for (guint i = 0; i < g->lister.list->len; i++) {
		const struct fleet_info *info =
			&g_array_index (g->lister.list, struct fleet_info, i);

		n += !info->leaving && info->reclaimable == s->cheap &&
		     strcmp (info->service, s->service) == 0 &&
		     strcmp (info->domain, s->domain) == 0;
	}
	return n;
}

/* Those that are there, or that the platform granted and that boot. */
static uint32_t
expected (const struct group *g, const struct subject *s, uint32_t boot_ms,
	  uint64_t now_ms)
{
	return capacity_order_expected (&s->order, present (g, s), boot_ms,
					now_ms);
}

/* In all domains. */
static uint32_t
expected_all (struct group *g, const struct plan_service *s, bool cheap,
	      uint64_t now_ms)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->price_count; i++)
		n += expected (
			g, subject_get (g, s->name, s->prices[i].domain, cheap),
			s->boot_ms, now_ms);
	return n;
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct group *g = ctx;
	struct subject *s = g->scaler.call_subject;

	(void)x;
	(void)echoed;
	log_event (LOG_LV_INFO, "order-answer",
		   "service=%s domain=%s cheap=%d count=%u status=%d",
		   s->service, s->domain, s->cheap, s->order.count, h->status);
	if (h->status == 409)
		s->scarce_until_ms = tmr_now_ms () + SCARCE_MS;
	if (h->status != 200) {
		s->order.sent_ms = 0;
		s->again_ms = tmr_now_ms () + REFUSED_MS;
	}
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	if (end != H1CLI_WHOLE)
		g->scaler.call_subject->order.sent_ms = 0;
	g->scaler.call = NULL;
}

static const struct h1cli_ops order_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static void
order (struct group *g, struct subject *s, uint32_t count, uint32_t have,
       uint64_t now_ms)
{
	struct dia_order o = {s->service, s->domain, count, s->cheap};
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {.connect_ms = CONNECT_MS,
				.limits = {.user_timeout_ms = ANSWER_MS}};

	log_event (LOG_LV_INFO, "order",
		   "service=%s domain=%s cheap=%d count=%u have=%u need=%.1f "
		   "list_age_ms=%" G_GUINT64_FORMAT,
		   s->service, s->domain, s->cheap, count, have,
		   g->scaler.need.engines, now_ms - g->lister.list_ms);
	g->dialect->format_order (&o, g->set.name, g->raft.term, text);
	req.bytes = text->str;
	req.len = text->len;
	s->order = (struct capacity_order){count, have, now_ms, 0};
	g->scaler.call_subject = s;
	g->scaler.call_ms = now_ms;
	g->scaler.call = h1cli_start (&g->cloud, &req, &order_ops, g);
	g_string_free (text, TRUE);
}

/* Whether requests were ever served, also before this member led. */
static bool
has_served (const struct group *g)
{
	return loads_any_prefill (&g->loads) || gstate_has_counts (&g->state);
}

static bool
settle (struct group *g, struct subject *s, uint32_t count, uint32_t boot_ms,
	bool before, uint64_t now_ms)
{
	uint32_t have = present (g, s);

	if (!capacity_order_due (&s->order, have, count, boot_ms, before,
				 now_ms))
		return false;
	if (now_ms < s->scarce_until_ms && count > have)
		return false;
	/* One that is refused over and over does not keep others waiting. */
	if (now_ms < s->again_ms)
		return false;
	order (g, s, count, have, now_ms);
	return true;
}

static bool
look_domain (struct group *g, const struct plan_service *s, const char *domain,
	     uint64_t now_ms)
{
	struct subject *firm = subject_get (g, s->name, domain, false);
	struct subject *cheap = subject_get (g, s->name, domain, true);
	struct capacity_input in = {
		.min = s->min_endpoints,
		.max = s->max_endpoints,
		.price_ratio = s->reclaimable_price_ratio,
		.demand = g->scaler.need.engines,
		.provisional = g->scaler.need.provisional,
		.domain_count = MAX (s->price_count, 1),
		.on_demand = present (g, firm),
		.reclaimable = present (g, cheap),
		.expected = expected (g, firm, s->boot_ms, now_ms) +
			    expected (g, cheap, s->boot_ms, now_ms),
		.expected_reclaimable = expected_all (g, s, true, now_ms),
		.before_traffic =
			!has_served (g) && s->boot_ms <= FIRST_BOOT_MAX_MS,
		.no_reclaimable = now_ms < cheap->scarce_until_ms,
	};
	struct capacity_target out;
	uint32_t room;

	in.expected_all =
		in.expected_reclaimable + expected_all (g, s, false, now_ms);
	out = capacity_for_domain (&in);
	/* The platform grants no more than the firm ones leave room for, so
	 * those are ordered first where they are to be fewer. */
	if (settle (g, firm, out.on_demand, s->boot_ms, in.before_traffic,
		    now_ms))
		return true;
	room = expected (g, firm, s->boot_ms, now_ms);
	out.reclaimable = MIN (out.reclaimable,
			       s->max_endpoints - MIN (room, s->max_endpoints));
	return settle (g, cheap, out.reclaimable, s->boot_ms, in.before_traffic,
		       now_ms);
}

/* The configuration in force, read again when it changed. */
static bool
plan_read (struct group *g)
{
	struct err e = {0};
	gsize len = 0;
	const char *text;

	if (g->state.text == NULL)
		return false;
	if (g->plan != NULL && g->plan->version == g->state.version)
		return true;
	text = g_bytes_get_data (g->state.text, &len);
	plan_unref (g->plan);
	g->plan = g->dialect->parse_plan (text, len, &e);
	return g->plan != NULL;
}

/* The need in the first look of a leader. */
static void
need_start (struct group *g, uint64_t now_ms)
{
	for (guint i = 0; i < g->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (g->plan->services, i);
		uint32_t listed = 0;

		if (!s->elastic)
			continue;
		for (guint k = 0; k < g->lister.list->len; k++)
			listed += strcmp (g_array_index (g->lister.list,
							 struct fleet_info, k)
						  .service,
					  s->name) == 0;
		capacity_demand_init (&g->scaler.need, !has_served (g),
				      s->max_endpoints, s->price_count, listed,
				      now_ms);
	}
	g->scaler.started = true;
}

/* Until the first request came there is nothing to follow. */
static void
need_follow (struct group *g, uint64_t now_ms)
{
	if (loads_any_prefill (&g->loads))
		capacity_demand_add (&g->scaler.need,
				     loads_take_prefill_ms (&g->loads), now_ms);
	else
		g->scaler.need.updated_ms = now_ms;
}

void
scale_tick (struct group *g, uint64_t now_ms)
{
	struct scaler *sc = &g->scaler;

	if (now_ms < sc->next_ms || !group_has_duty (g, "scaling"))
		return;
	sc->next_ms = now_ms + LOOK_MS;
	need_follow (g, now_ms);
	if (sc->call != NULL && now_ms > sc->call_ms + ANSWER_MS) {
		h1cli_cancel (sc->call);
		sc->call_subject->order.sent_ms = 0;
		sc->call = NULL;
	}
	if (!duty_may_act (g, now_ms)) {
		sc->started = false;
		return;
	}
	if (sc->call != NULL || g->lister.list == NULL || !plan_read (g))
		return;
	if (!sc->started)
		need_start (g, now_ms);
	for (guint i = 0; i < g->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (g->plan->services, i);
		for (uint32_t k = 0; s->elastic && k < s->price_count; k++) {
			if (look_domain (g, s, s->prices[k].domain, now_ms))
				return;
		}
	}
}
