/*
 * Carries out the leader's decisions on orders and usage windows: intents and
 * outcomes go to the log, writes to the platform, each under one check of the
 * lease at its first byte.
 */
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "order.h"

/* One order's attempts in this process. */
struct order_try {
	char id[SM_ID_BYTES];
	bool sending;
	uint64_t retry_at_ms;
};

/* A write that stands. */
struct write {
	struct order_ctl *o;
	char id[SM_ID_BYTES]; /* of the order, or the report id */
	uint64_t window_ms;   /* 0 for an order */
	uint64_t term;
	uint32_t reserve_ms;
};

void
order_init (struct order_ctl *o, const struct order_conf *conf)
{
	memset (o, 0, sizeof *o);
	o->conf = *conf;
	o->tries =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
}

void
order_finish (struct order_ctl *o)
{
	g_hash_table_destroy (o->tries);
}

bool
order_idle (const struct order_ctl *o)
{
	return o->calls == 0;
}

static struct order_view
view (const struct order_ctl *o)
{
	const struct order_env *env = o->conf.env;

	return (struct order_view){
		.times = &o->conf.times,
		.lead = env->lead (o->conf.env_ctx),
		.quiet_until_ms = o->quiet_until_ms,
		.listed = o->listed,
		.stale = o->stale,
		.now_ms = env->now_ms (o->conf.env_ctx),
		.wall_ms = env->wall_ms (o->conf.env_ctx),
	};
}

static void
propose (struct order_ctl *o, enum sm_kind kind, const void *cmd)
{
	o->conf.env->propose (o->conf.env_ctx, kind, cmd);
}

/*
 * Asked by the platform's adapter at the first byte.  A process that was
 * frozen since it decided to write finds its lease gone here.
 */
static bool
may_write (void *ctx)
{
	const struct write *w = ctx;
	struct order_view v = view (w->o);

	return v.lead.term == w->term && order_may_write (&v, w->reserve_ms);
}

static struct write *
write_new (struct order_ctl *o, const char *id, uint64_t window_ms,
	   uint32_t reserve_ms, uint64_t term)
{
	struct write *w = g_new0 (struct write, 1);

	w->o = o;
	w->term = term;
	w->window_ms = window_ms;
	w->reserve_ms = reserve_ms;
	g_strlcpy (w->id, id, sizeof w->id);
	o->calls++;
	return w;
}

static struct order_try *
try_get (struct order_ctl *o, const char *id)
{
	struct order_try *t = g_hash_table_lookup (o->tries, id);

	if (t == NULL) {
		t = g_new0 (struct order_try, 1);
		g_strlcpy (t->id, id, sizeof t->id);
		g_hash_table_insert (o->tries, t->id, t);
	}
	return t;
}

static void
on_stale (struct order_ctl *o, const struct write *w)
{
	/* Of this term only: leading again in a later one starts afresh. */
	if (w->term == o->term)
		o->stale = true;
}

static void
on_order_answer (const struct plat_answer *a, void *ctx)
{
	struct write *w = ctx;
	struct order_ctl *o = w->o;
	struct order_try *t = try_get (o, w->id);
	struct sm_order_done d = {0};

	log_event (a->verdict == PLAT_ACCEPTED ? LOG_LV_INFO : LOG_LV_WARN,
		   "order", "id=%s fence=%lu answer=%s repeat=%d why=\"%s\"",
		   w->id, (unsigned long)w->term,
		   plat_verdict_name (a->verdict), a->duplicate, a->why);
	o->calls--;
	t->sending = false;
	t->retry_at_ms =
		o->conf.env->now_ms (o->conf.env_ctx) + o->conf.times.retry_ms;
	g_strlcpy (d.id, w->id, sizeof d.id);
	g_strlcpy (d.why, a->why, sizeof d.why);
	d.wall_ms = o->conf.env->wall_ms (o->conf.env_ctx);
	switch (a->verdict) {
	case PLAT_ACCEPTED:
		d.state = SM_ORDER_DONE_OK;
		if (a->endpoint_count > 0)
			g_strlcpy (d.endpoint, a->endpoints[0],
				   sizeof d.endpoint);
		propose (o, SM_ORDER_DONE, &d);
		break;
	case PLAT_REFUSED:
		d.state = SM_ORDER_REFUSED;
		propose (o, SM_ORDER_DONE, &d);
		break;
	case PLAT_STALE:
		on_stale (o, w);
		break;
	case PLAT_LOST:
	case PLAT_UNSENT:
		break;
	}
	g_free (w);
}

static void
send_order (struct order_ctl *o, const struct sm_order_rec *rec,
	    const struct order_verdict *d, const struct order_view *v,
	    uint32_t reserve_ms)
{
	struct write *w =
		write_new (o, rec->order.id, 0, reserve_ms, v->lead.term);
	struct plat_order po = {.order = &rec->order,
				.sender = o->conf.sender,
				.fence = v->lead.term};
	struct plat_guard g = {may_write, w, d->limit_ms};

	try_get (o, rec->order.id)->sending = true;
	o->conf.plat->order (o->conf.plat_ctx, &po, &g, on_order_answer, w);
}

/* An order for a new endpoint goes to the platform itself, which is taken to
 * check nothing. */
static bool
checks_fence (const struct inv *inv, const struct sm_order *order)
{
	int32_t ix = inv == NULL || order->endpoint[0] == '\0'
			     ? -1
			     : inv_endpoint_ix (inv, order->endpoint);

	return ix >= 0 && inv->endpoints[ix].checks_fence;
}

static void
order_step (struct order_ctl *o, const struct sm_order_rec *rec,
	    const struct inv *inv)
{
	struct order_view v = view (o);
	struct order_try *t = try_get (o, rec->order.id);
	bool checks = checks_fence (inv, &rec->order);
	struct order_verdict d;
	struct sm_order again;

	if (t->sending)
		return;
	d = order_decide (&v, rec, checks, t->retry_at_ms);
	if (d.step == ORDER_HOLD)
		return;
	log_event (LOG_LV_INFO, "order",
		   "id=%s step=%s fence=%lu domain=%s ep=%s why=\"%s\"",
		   rec->order.id, order_step_name (d.step),
		   (unsigned long)v.lead.term, rec->order.domain,
		   rec->order.endpoint, d.why);
	if (d.step == ORDER_SEND) {
		send_order (o, rec, &d, &v,
			    checks ? 0 : o->conf.times.reserve_ms);
		return;
	}
	again = rec->order;
	t->retry_at_ms = v.now_ms + o->conf.times.retry_ms;
	propose (o, SM_ORDER, &again);
}

static void
on_report_answer (const struct plat_answer *a, void *ctx)
{
	struct write *w = ctx;
	struct order_ctl *o = w->o;
	struct sm_reported done = {.window_ms = w->window_ms};

	log_event (a->verdict == PLAT_REFUSED ? LOG_LV_ERROR : LOG_LV_INFO,
		   "report", "id=%s fence=%lu answer=%s repeat=%d why=\"%s\"",
		   w->id, (unsigned long)w->term,
		   plat_verdict_name (a->verdict), a->duplicate, a->why);
	o->calls--;
	o->reporting = false;
	o->report_retry_at_ms =
		o->conf.env->now_ms (o->conf.env_ctx) + o->conf.times.retry_ms;
	if (a->verdict == PLAT_STALE)
		on_stale (o, w);
	if (a->verdict == PLAT_ACCEPTED) {
		g_strlcpy (done.report_id, w->id, sizeof done.report_id);
		done.wall_ms = o->conf.env->wall_ms (o->conf.env_ctx);
		propose (o, SM_WINDOW_REPORTED, &done);
	}
	g_free (w);
}

static void
send_report (struct order_ctl *o, const struct order_verdict *d,
	     const struct order_view *v)
{
	const struct sm_window *win = sm_window_find (o->conf.sm, d->window_ms);
	struct write *w = write_new (o, win->report_id, win->window_ms,
				     o->conf.times.reserve_ms, v->lead.term);
	struct plat_report r = {
		.window = win, .sender = o->conf.sender, .fence = v->lead.term};
	struct plat_guard g = {may_write, w, d->limit_ms};

	o->reporting = true;
	o->conf.plat->report (o->conf.plat_ctx, &r, &g, on_report_answer, w);
}

static void
seal (struct order_ctl *o, const struct order_verdict *d,
      const struct order_view *v, uint32_t window_s)
{
	struct sm_seal s = {.window_ms = d->window_ms,
			    .length_ms = window_s * 1000,
			    .wall_ms = v->wall_ms};

	if (v->now_ms < o->seal_proposed_ms + o->conf.times.retry_ms)
		return;
	o->seal_proposed_ms = v->now_ms;
	/* One id a window, whoever seals it. */
	snprintf (s.report_id, sizeof s.report_id, "window-%lu",
		  (unsigned long)d->window_ms);
	propose (o, SM_WINDOW_SEAL, &s);
}

static void
window_step (struct order_ctl *o, const struct inv *inv)
{
	struct order_view v = view (o);
	struct order_verdict d;

	if (inv == NULL || o->reporting)
		return;
	d = order_window_decide (&v, o->conf.sm, &inv->settings,
				 o->report_retry_at_ms);
	if (d.step == ORDER_HOLD)
		return;
	log_event (LOG_LV_INFO, "window", "start=%lu step=%s why=\"%s\"",
		   (unsigned long)d.window_ms, order_step_name (d.step), d.why);
	if (d.step == ORDER_SEAL)
		seal (o, &d, &v, inv->settings.window_s);
	else
		send_report (o, &d, &v);
}

static void
on_list (const struct plat_instance *list, uint32_t count, const struct err *e,
	 void *ctx)
{
	struct write *w = ctx;
	struct order_ctl *o = w->o;

	(void)list;
	o->calls--;
	o->listing = false;
	if (e != NULL) {
		log_event (LOG_LV_WARN, "platform", "list: %s", e->msg);
	} else if (w->term == o->term) {
		log_event (LOG_LV_INFO, "platform", "instances=%u", count);
		o->listed = true;
	}
	g_free (w);
}

/*
 * A new term starts with silence: whatever an earlier leader may still send
 * under its lease is over before the platform is read.
 */
static void
term_step (struct order_ctl *o)
{
	struct order_view v = view (o);
	const struct order_times *t = &o->conf.times;

	if (v.lead.term != o->term) {
		o->term = v.lead.term;
		o->listed = false;
		o->stale = false;
		o->quiet_until_ms = v.now_ms + t->lease_ms + t->drift_ms;
		g_hash_table_remove_all (o->tries);
	}
	if (!v.lead.leading || o->listed || o->listing ||
	    v.now_ms < o->quiet_until_ms)
		return;
	o->listing = true;
	o->conf.plat->list (o->conf.plat_ctx, on_list,
			    write_new (o, "list", 0, 0, v.lead.term));
}

static gboolean
try_over (gpointer key, gpointer value, gpointer data)
{
	const struct order_try *t = value;
	const struct sm_order_rec *rec = sm_order_find (data, key);

	return !t->sending && (rec == NULL || rec->state != SM_ORDER_PENDING);
}

/* Orders for one endpoint go one after the other, in the log's order. */
static void
orders_step (struct order_ctl *o, const struct inv *inv)
{
	GPtrArray *pending = g_ptr_array_new ();
	GHashTable *busy = g_hash_table_new (g_str_hash, g_str_equal);

	sm_orders (o->conf.sm, true, pending);
	for (guint i = 0; i < pending->len; i++) {
		const struct sm_order_rec *rec = g_ptr_array_index (pending, i);
		const char *ep = rec->order.endpoint;

		if (ep[0] == '\0' || g_hash_table_add (busy, (gpointer)ep))
			order_step (o, rec, inv);
	}
	g_hash_table_destroy (busy);
	g_ptr_array_free (pending, TRUE);
	g_hash_table_foreach_remove (o->tries, try_over, (gpointer)o->conf.sm);
}

void
order_tick (struct order_ctl *o, const struct inv *inv)
{
	term_step (o);
	orders_step (o, inv);
	window_step (o, inv);
}

bool
order_request (struct order_ctl *o, const struct sm_order *order)
{
	struct order_view v = view (o);

	if (!v.lead.leading)
		return false;
	log_event (LOG_LV_INFO, "order", "id=%s step=intend domain=%s ep=%s",
		   order->id, order->domain, order->endpoint);
	propose (o, SM_ORDER, order);
	return true;
}
