/*
 * The elastic controller, in the leader and only there: looks at the
 * situation, lets lib/scale decide, and puts the order into the log, from
 * where lib/order sends it.  An endpoint that was made gets into the
 * inventory by a change like any other; one to be released is drained by
 * another, given back when the entries say that it is empty, and taken out.
 *
 * All that must survive the leader stands in the log: orders, and `elastic`
 * and `releasing` in the inventory.  What is kept here is made anew.
 */
#include <string.h>

#include "scale_priv.h"

#define LOOK_LEAST_MS 1000
#define LOOK_MOST_MS 5000

void
scale_init (struct control *c)
{
	struct scale *s = g_new0 (struct scale, 1);

	s->drains =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	s->live =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	s->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	s->reclaimed =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	s->last.why = "";
	c->scale = s;
}

void
scale_finish (struct control *c)
{
	struct scale *s = c->scale;

	if (s == NULL)
		return;
	g_hash_table_destroy (s->drains);
	g_hash_table_destroy (s->live);
	g_hash_table_destroy (s->gone);
	g_hash_table_destroy (s->reclaimed);
	g_free (s);
	c->scale = NULL;
}

/* ---- what the platform says ---- */

void
scale_listed (struct control *c, const struct plat_instance *list,
	      uint32_t count)
{
	const struct inv *inv = platform_inv (c);
	struct scale *s = c->scale;

	g_hash_table_remove_all (s->live);
	g_hash_table_remove_all (s->gone);
	for (uint32_t i = 0; i < count && inv != NULL; i++) {
		bool held = inv_endpoint_ix (inv, list[i].name) >= 0;

		if (list[i].state == PLAT_TERMINATED && held)
			g_hash_table_add (s->gone, g_strdup (list[i].name));
		if (list[i].state == PLAT_LIVE && !held &&
		    list[i].addr[0] != '\0')
			g_hash_table_replace (s->live, g_strdup (list[i].name),
					      g_strdup (list[i].addr));
	}
}

static void
note_reclaim (struct scale *s, const char *domain, uint64_t wall_ms)
{
	uint64_t *at = g_hash_table_lookup (s->reclaimed, domain);

	if (at == NULL) {
		at = g_new0 (uint64_t, 1);
		g_hash_table_insert (s->reclaimed, g_strdup (domain), at);
	}
	*at = MAX (*at, wall_ms);
}

void
scale_noticed (struct control *c, const struct plat_notice *list,
	       uint32_t count)
{
	const struct inv *inv = platform_inv (c);

	for (uint32_t i = 0; i < count && inv != NULL; i++) {
		int32_t ix = inv_endpoint_ix (inv, list[i].endpoint);
		const char *domain = list[i].domain;

		if (domain[0] == '\0' && ix >= 0)
			domain = inv->endpoints[ix].domain;
		if (inv_domain_ix (inv, domain) >= 0)
			note_reclaim (c->scale, domain,
				      list[i].terminates_at_ms);
	}
}

/* ---- the decision ---- */

/* What was seen before a step says nothing of its effect. */
void
scale_wait (struct scale *s, uint64_t now_ms)
{
	memset (&s->memory, 0, sizeof s->memory);
	memset (s->looks, 0, sizeof s->looks);
	s->memory.acted_ms = now_ms;
}

static void
order_new (struct scale_turn *l, const struct scale_view *v,
	   const struct scale_verdict *d)
{
	struct sm_order o = {.kind = SM_ORDER_NEW,
			     .reclaimable = d->reclaimable};
	const struct inv_endpoint *ep;

	g_strlcpy (o.domain, v->domains[d->domain_ix].name, sizeof o.domain);
	ep = scale_like (l->inv, &o);
	if (ep != NULL && ep->model_count > 0)
		g_strlcpy (o.model, l->inv->models[ep->model_ix[0]],
			   sizeof o.model);
	scale_give_order (l, &o);
}

static void
log_verdict (const struct scale *s, const struct scale_view *v,
	     const struct scale_verdict *d)
{
	uint32_t busy = 0, slots = 0, pending = 0;
	const char *domain = "", *ep = "";

	for (uint32_t i = 0; i < v->endpoint_count; i++) {
		busy += v->endpoints[i].busy;
		slots += v->endpoints[i].leaving ? 0 : v->endpoints[i].slots;
	}
	for (uint32_t i = 0; i < v->domain_count; i++)
		pending += v->domains[i].pending;
	if (d->step == SCALE_ORDER)
		domain = v->domains[d->domain_ix].name;
	if (d->step == SCALE_RELEASE) {
		ep = v->endpoints[d->endpoint_ix].name;
		domain =
			v->domains[v->endpoints[d->endpoint_ix].domain_ix].name;
	}
	log_event (LOG_LV_INFO, "scale",
		   "step=%s domain=%s ep=%s cheap=%d attain=%u heard_all=%d "
		   "busy=%u slots=%u pending=%u spend=%lu budget=%u why=\"%s\"",
		   scale_step_name (d->step), domain, ep, d->reclaimable,
		   v->attain_permille, s->heard_all, busy, slots, pending,
		   (unsigned long)scale_spend (v), v->settings->budget_per_h,
		   d->why);
}

static struct scale_heard *
heard (const struct scale_turn *l)
{
	struct scale_heard *h =
		g_new0 (struct scale_heard, l->inv->domain_count + 1);

	for (uint32_t i = 0; i < l->inv->domain_count; i++) {
		const char *name = l->inv->domains[i].name;
		const uint64_t *at =
			g_hash_table_lookup (l->s->reclaimed, name);

		h[i].reclaimed_wall_ms = at != NULL ? *at : 0;
		h[i].busy = load_busy (l->c, name, l->now_ms);
	}
	return h;
}

void
scale_build (const struct scale_turn *l, const struct scale_settings *set,
	     struct scale_view *v)
{
	const GArray *leaving = platform_leaving (l->c);
	GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
	struct scale_heard *h = heard (l);
	struct scale_facts f = {.inv = l->inv,
				.orders = l->orders,
				.heard = h,
				.leaving = names,
				.attain_permille = l->s->attain_permille,
				.now_ms = l->now_ms,
				.wall_ms = l->wall_ms};

	for (guint i = 0; leaving != NULL && i < leaving->len; i++)
		g_hash_table_add (
			names,
			g_array_index (leaving, struct proto_key_id, i).id);
	scale_view_build (&f, set, v);
	g_hash_table_destroy (names);
	g_free (h);
}

static void
decide (struct scale_turn *l)
{
	struct scale_settings set = scale_settings_of (&l->inv->settings);
	struct scale *s = l->s;
	struct scale_verdict d;
	struct scale_view v;

	scale_build (l, &set, &v);
	d = scale_decide (&v, &s->memory);
	if (d.step != SCALE_HOLD || strcmp (d.why, s->last.why) != 0)
		log_verdict (s, &v, &d);
	s->last = d;
	if (d.step != SCALE_HOLD)
		memset (s->looks, 0, sizeof s->looks);
	switch (d.step) {
	case SCALE_ORDER:
		order_new (l, &v, &d);
		break;
	case SCALE_RELEASE:
		scale_drain (l, v.endpoints[d.endpoint_ix].name);
		break;
	case SCALE_HOLD:
		break;
	}
	scale_view_finish (&v);
}

/*
 * What comes while the last step settles counts for nothing, and a silent
 * entry may have work: nobody is short for it, and nothing is released.
 */
static void
look_at_work (struct scale_turn *l)
{
	struct scale_settings set = scale_settings_of (&l->inv->settings);
	struct scale *s = l->s;
	struct scale_look *at = &s->looks[s->look++ % SCALE_WINDOW];
	bool settled = l->now_ms >= s->memory.acted_ms + set.settle_ms;

	s->heard_all = load_look (l->c, l->inv, l->now_ms, at);
	if (!settled)
		memset (at, 0, sizeof *at);
	s->attain_permille = scale_attain (s->looks, SCALE_WINDOW);
	if (!s->heard_all || !settled)
		s->attain_permille = (uint16_t)MIN (
			s->attain_permille, set.attain_high_permille - 1);
}

static void
look (struct scale_turn *l)
{
	bool acted = false;

	l->orders = g_ptr_array_new ();
	sm_orders (l->c->sm, false, l->orders);
	look_at_work (l);
	if (l->now_ms >= l->s->change_at_ms) {
		acted = scale_step_made (l);
		for (uint32_t i = 0; i < l->inv->endpoint_count && !acted; i++)
			acted = scale_step_out (l, &l->inv->endpoints[i]);
	}
	if (!acted)
		decide (l);
	g_ptr_array_free (l->orders, TRUE);
}

uint32_t
scale_pace_ms (const struct inv *inv)
{
	uint32_t pace_ms = LOOK_MOST_MS;

	if (inv != NULL)
		pace_ms = inv->settings.scale_settle_s * 1000 / 6;
	return CLAMP (pace_ms, LOOK_LEAST_MS, LOOK_MOST_MS);
}

/* Nothing is known yet of a new term: it waits as after a step. */
static void
begin_term (struct control *c, uint64_t term, uint64_t now_ms)
{
	struct scale *s = c->scale;

	s->term = term;
	scale_wait (s, now_ms);
	s->order_index = 0;
	s->orders = 0;
	s->last = (struct scale_verdict){.why = ""};
	g_hash_table_remove_all (s->drains);
	load_rebase (c);
}

void
scale_tick (struct control *c, uint64_t now_ms)
{
	const struct inv *inv = platform_inv (c);
	struct order_lead lead = platform_lead (c);
	struct scale *s = c->scale;
	struct scale_turn l = {.c = c,
			       .s = s,
			       .inv = inv,
			       .now_ms = now_ms,
			       .wall_ms = tmr_wall_ms ()};

	if (s == NULL || inv == NULL || !inv->settings.scale || c->leaving ||
	    !lead.leading) {
		if (s != NULL)
			s->term = 0;
		return;
	}
	if (s->term != lead.term)
		begin_term (c, lead.term, now_ms);
	if (now_ms < s->look_at_ms || s->changing ||
	    c->raft.applied < s->order_index ||
	    inv->revision != sm_revision (c->sm))
		return;
	s->look_at_ms = now_ms + scale_pace_ms (inv);
	look (&l);
}
