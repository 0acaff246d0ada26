/*
 * Orders of endpoints: one call to the platform at a time, and what its answer
 * means for the next order.
 */
#include "groupd.h"

/* Delay before the next order after the platform had no capacity. */
#define NO_CAPACITY_RETRY_MS 3000

/* Delay before the next order for the same pool after a refusal.  It leaves a
 * few checks in which the other pools can order. */
#define REFUSED_RETRY_MS 1000

#define CONNECT_TIMEOUT_MS 500
#define ANSWER_TIMEOUT_MS 3000

static bool
may_send (void *ctx)
{
	struct group *g = ctx;

	return g->scaler.call_term == g->raft.term && group_may_act (g);
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct group *g = ctx;
	struct scale_pool *s = g->scaler.call_pool;

	(void)x;
	(void)echoed;
	log_event (LOG_LV_INFO, "order-answer",
		   "service=%s domain=%s reclaimable=%d count=%u status=%d",
		   s->service, s->domain, s->reclaimable, s->order.count,
		   h->status);
	if (h->status == 409)
		s->no_capacity_until_ms = tmr_now_ms () + NO_CAPACITY_RETRY_MS;
	if (h->status != 200) {
		s->order.sent_ms = 0;
		s->retry_at_ms = tmr_now_ms () + REFUSED_RETRY_MS;
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
		g->scaler.call_pool->order.sent_ms = 0;
	g->scaler.call = NULL;
}

static const struct h1cli_ops order_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
	.may_send = may_send,
};

void
scale_order_send (struct group *g, struct scale_pool *s, uint32_t count,
		  uint32_t have, uint64_t now_ms)
{
	struct dia_order o = {s->service, s->domain, count, s->reclaimable};
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {
		.connect_ms = CONNECT_TIMEOUT_MS,
		.limits = {.user_timeout_ms = ANSWER_TIMEOUT_MS}};

	log_event (LOG_LV_INFO, "order",
		   "service=%s domain=%s reclaimable=%d count=%u have=%u "
		   "demand=%.1f list_age_ms=%" G_GUINT64_FORMAT,
		   s->service, s->domain, s->reclaimable, count, have,
		   g->scaler.demand.engines, now_ms - g->endpoints.read_ms);
	g->dialect->format_order (&o, g->set.name, g->raft.term, text);
	req.bytes = text->str;
	req.len = text->len;
	s->order = (struct capacity_order){count, have, now_ms, 0};
	g->scaler.call_pool = s;
	g->scaler.call_term = g->raft.term;
	g->scaler.call_sent_ms = now_ms;
	g->scaler.call = h1cli_start (&g->platform, &req, &order_ops, g);
	g_string_free (text, TRUE);
}

void
scale_order_tick (struct group *g, uint64_t now_ms)
{
	struct scaler *sc = &g->scaler;

	if (sc->call == NULL || now_ms <= sc->call_sent_ms + ANSWER_TIMEOUT_MS)
		return;
	h1cli_cancel (sc->call);
	sc->call_pool->order.sent_ms = 0;
	sc->call = NULL;
}
