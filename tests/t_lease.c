/*
 * Lease objects on a bus with faults, in stepped time.
 */
#include <stdio.h>
#include <string.h>

#include <stdio.h>
#include <stdlib.h>
#include "t_lease.h"

/** enum tl_kind - kinds of message */
enum tl_kind {
	TL_BEAT,
	TL_ASK,
	TL_GRANT,
};

/** struct tl_msg - a message on its way */
struct tl_msg {
	enum tl_kind kind;
	uint32_t from;
	uint32_t to;
	uint64_t at_ms;
	union {
		struct lease_beat beat;
		struct lease_ask ask;
		struct lease_grant grant;
	} u;
	void *items;
};

uint64_t
tl_clock (const struct tl_node *n)
{
	return n->offset_ms + (uint64_t)((double)n->tl->now_ms * n->drift);
}

static void
post (struct tl_node *n, struct bb_peer *to, struct tl_msg *m,
      struct msg_list *list, size_t size)
{
	struct tl *tl = n->tl;
	uint64_t *last;

	m->from = (uint32_t)(n - tl->nodes);
	m->to = (uint32_t)(to->inv - n->bb.inv->entries);
	m->items = g_memdup2 (list->items, list->count * size);
	list->items = m->items;
	last = &tl->last_at[m->from][m->to];
	m->at_ms = tl->now_ms + (uint64_t)g_rand_int_range (tl->rand, 1, 30);
	*last = MAX (*last, m->at_ms);
	m->at_ms = *last;
	tl->messages++;
	g_ptr_array_add (tl->sent, g_memdup2 (m, sizeof *m));
}

static void
post_beat (struct bb_peer *to, const struct lease_beat *b, void *ctx)
{
	struct tl_msg m = {.kind = TL_BEAT, .u.beat = *b};
	struct msg_list none = {0};

	post (ctx, to, &m, &none, 0);
}

static void
post_ask (struct bb_peer *to, const struct lease_ask *a, void *ctx)
{
	struct tl_msg m = {.kind = TL_ASK, .u.ask = *a};

	post (ctx, to, &m, &m.u.ask.wants, sizeof (struct lease_want));
}

static void
post_grant (struct bb_peer *to, const struct lease_grant *g, void *ctx)
{
	struct tl_msg m = {.kind = TL_GRANT, .u.grant = *g};

	post (ctx, to, &m, &m.u.grant.given, sizeof (struct lease_given));
}

static const struct lease_ops tl_ops = {post_beat, post_ask, post_grant};

void
tl_start (struct tl *tl, uint32_t node)
{
	struct tl_node *n = &tl->nodes[node];
	struct lease_settings set = LEASE_SETTINGS_DEFAULT;

	n->up = true;
	n->tl = tl;
	n->starts++;
	bb_init (&n->bb, tl->inv.entries[node].name);
	bb_apply_inv (&n->bb, &tl->inv.inv, tl_clock (n));
	lease_init (&n->lease, &n->bb, &set, &tl_ops, n, n->starts << 40,
		    tl_clock (n));
}

static void
msg_free (gpointer p)
{
	struct tl_msg *m = p;

	g_free (m->items);
	g_free (m);
}

void
tl_init (struct tl *tl, uint32_t domains, uint32_t nodes, uint32_t eps,
	 uint32_t bound, uint32_t seed)
{
	memset (tl, 0, sizeof *tl);
	t_inv_init (&tl->inv, domains, nodes, eps, 1);
	for (uint32_t i = 0; i < eps; i++) {
		tl->inv.endpoints[i].domain_ix = 0;
		tl->inv.endpoints[i].cold_bound = (uint16_t)bound;
		tl->inv.endpoints[i].warm_bound = (uint16_t)bound;
	}
	for (uint32_t i = 0; i < INV_TIERS; i++)
		tl->inv.classes[i].total_ms = 5000;
	/* Nothing is proven by the requests of a test that does not say so. */
	tl->inv.inv.settings.cold_answers = UINT16_MAX;
	tl->node_count = nodes;
	tl->ep_count = eps;
	tl->now_ms = 1000;
	tl->hold_min_ms = 50;
	tl->hold_max_ms = 3000;
	tl->rand = g_rand_new_with_seed (seed);
	tl->sent = g_ptr_array_new_with_free_func (msg_free);
	for (uint32_t i = 0; i < nodes; i++) {
		tl->nodes[i].tl = tl;
		tl->nodes[i].drift = g_rand_double_range (tl->rand, 0.99, 1.01);
		tl->nodes[i].offset_ms =
			(uint64_t)g_rand_int_range (tl->rand, 0, 1000000);
		tl_start (tl, i);
	}
}

static void
node_stop (struct tl_node *n)
{
	if (!n->up)
		return;
	n->up = false;
	lease_finish (&n->lease);
	bb_finish (&n->bb);
}

void
tl_finish (struct tl *tl)
{
	for (uint32_t i = 0; i < tl->node_count; i++)
		node_stop (&tl->nodes[i]);
	g_ptr_array_free (tl->sent, TRUE);
	g_rand_free (tl->rand);
}

void
tl_crash (struct tl *tl, uint32_t node)
{
	struct tl_node *n = &tl->nodes[node];

	for (uint32_t i = 0; i < TL_RUNS; i++) {
		if (n->runs[i].live && n->runs[i].at_ep)
			tl->running[n->runs[i].ep]--;
		n->runs[i].live = false;
	}
	node_stop (n);
}

void
tl_cut (struct tl *tl, uint32_t mask, bool cut)
{
	for (uint32_t i = 0; i < tl->node_count; i++)
		for (uint32_t k = 0; k < tl->node_count; k++)
			if ((mask >> i & 1) != (mask >> k & 1))
				tl->cut[i][k] = cut;
}

static bool
awake (const struct tl_node *n)
{
	return n->up && n->tl->now_ms >= n->frozen_until_ms;
}

void
tl_ep_restart (struct tl *tl, uint32_t ep, uint64_t down_ms)
{
	tl->ep_up_ms[ep] = tl->now_ms + down_ms;
	tl->cold[ep] = tl->inv.inv.settings.cold_answers;
	tl->running[ep] = 0;
	for (uint32_t i = 0; i < tl->node_count; i++)
		for (uint32_t k = 0; k < TL_RUNS; k++) {
			struct tl_run *r = &tl->nodes[i].runs[k];

			if (!r->live || !r->at_ep || r->ep != ep)
				continue;
			r->at_ep = false;
			r->lost = true;
			r->end_ms = tl->now_ms;
		}
}

/* The entry sees that it is gone. */
static void
see_lost (struct tl_node *n, uint32_t ep)
{
	bb_ep_down (n->bb.eps[ep], tl_clock (n));
	lease_cold (&n->lease, n->bb.eps[ep], tl_clock (n));
}

/* Coordinators look each second, and who knows one to be down more often. */
static void
look_at_eps (struct tl *tl)
{
	for (uint32_t i = 0; i < tl->node_count; i++) {
		struct tl_node *n = &tl->nodes[i];

		for (uint32_t k = 0; k < tl->ep_count && awake (n); k++) {
			struct bb_ep *ep = n->bb.eps[k];
			bool up = tl->now_ms >= tl->ep_up_ms[k];
			bool own =
				tl->now_ms % 1000 == 0 &&
				lease_state_of (&n->lease, ep, tl_clock (n)) !=
					LEASE_NOT_MINE;

			if (up && ep->down)
				bb_ep_up (ep, tl_clock (n));
			else if (!up && !ep->down && own)
				see_lost (n, k);
		}
	}
}

/* What the entry learns of an answer that came. */
static void
see_answer (struct tl_node *n, const struct tl_run *r)
{
	struct bb_ep *ep = n->bb.eps[r->ep];

	if (r->sent_ms < ep->last_cold_ms)
		return;
	if (++ep->cold_answers >= n->tl->inv.inv.settings.cold_answers &&
	    ep->cold_end_ms == 0)
		bb_ep_start_ramp (ep, tl_clock (n));
}

bool
tl_take (struct tl *tl, uint32_t node, uint32_t ep)
{
	struct tl_node *n = &tl->nodes[node];
	struct tl_run *r = n->runs;

	while (r < n->runs + TL_RUNS && r->live)
		r++;
	if (r == n->runs + TL_RUNS || n->bb.eps[ep]->down ||
	    !lease_take (&n->lease, n->bb.eps[ep], &r->slot, tl_clock (n)))
		return false;
	if (tl->now_ms < tl->ep_up_ms[ep]) {
		lease_give (&n->lease, &r->slot, tl_clock (n));
		see_lost (n, ep);
		return false;
	}
	r->live = true;
	r->at_ep = true;
	r->lost = false;
	r->ep = ep;
	r->sent_ms = tl_clock (n);
	r->end_ms = tl->now_ms + (uint64_t)g_rand_int_range (
					 tl->rand, (gint32)tl->hold_min_ms,
					 (gint32)tl->hold_max_ms);
	tl->running[ep]++;
	tl->most[ep] = MAX (tl->most[ep], tl->running[ep]);
	if (tl->cold[ep] > 0 &&
	    tl->running[ep] > tl->inv.endpoints[ep].cold_bound &&
	    getenv ("DH_SEED") && tl->cold_over < 2) {
		printf ("over ep%u at %lu by node %u up_at %lu cold %u running "
			"%u\n",
			ep, tl->now_ms, node, tl->ep_up_ms[ep], tl->cold[ep],
			tl->running[ep]);
		for (uint32_t q = 0; q < tl->node_count; q++) {
			struct tl_node *m = &tl->nodes[q];
			struct bb_ep *e = m->up ? m->bb.eps[ep] : NULL;
			if (e == NULL) {
				printf ("  n%u down\n", q);
				continue;
			}
			printf ("  n%u dom %u state %d bound %u cold %ld "
				"proven %ld ans %u fl %u cr %u until %ld "
				"frozen %d start %ld\n",
				q, tl->inv.entries[q].domain_ix,
				lease_state_of (&m->lease, e, tl_clock (m)),
				lease_bound (&m->lease, e, tl_clock (m)),
				e->last_cold_ms
					? (long)(tl_clock (m) - e->last_cold_ms)
					: -1,
				e->cold_end_ms
					? (long)(tl_clock (m) - e->cold_end_ms)
					: -1,
				e->cold_answers, e->in_flight, e->credits,
				(long)(e->credits_until_ms - tl_clock (m)),
				tl->now_ms < m->frozen_until_ms,
				(long)(tl_clock (m) - m->lease.started_ms));
		}
	}
	tl->cold_over += tl->cold[ep] > 0 &&
			 tl->running[ep] > tl->inv.endpoints[ep].cold_bound;
	tl->served++;
	n->took++;
	return true;
}

void
tl_pressure (struct tl *tl, uint32_t node, uint32_t tier, uint32_t waiting)
{
	struct tl_node *n = &tl->nodes[node];
	struct adm_backlog p = {0};

	if (tier > 0)
		p.waiting[tier - 1] = waiting;
	if (n->up)
		lease_pressure (&n->lease, n->bb.models[0], &p, tl_clock (n));
}

static void
deliver (struct tl *tl, struct tl_msg *m)
{
	struct tl_node *n = &tl->nodes[m->to];
	struct bb_peer *from = n->bb.peers[m->from];
	uint64_t now = tl_clock (n);

	switch (m->kind) {
	case TL_BEAT:
		lease_on_beat (&n->lease, from, &m->u.beat, now);
		break;
	case TL_ASK:
		lease_on_ask (&n->lease, from, &m->u.ask, now);
		break;
	case TL_GRANT:
		lease_on_grant (&n->lease, from, &m->u.grant, now);
		break;
	}
}

/* Messages to a frozen node wait, in order; cut ones are lost. */
static void
deliver_due (struct tl *tl)
{
	for (uint32_t i = 0; i < tl->sent->len;) {
		struct tl_msg *m = g_ptr_array_index (tl->sent, i);
		struct tl_node *to = &tl->nodes[m->to];
		bool lost = !to->up || tl->cut[m->from][m->to];

		if (!lost && (m->at_ms > tl->now_ms || !awake (to))) {
			i++;
			continue;
		}
		lost = lost || (uint32_t)g_rand_int_range (tl->rand, 0, 1000) <
				       tl->loss_permille;
		g_ptr_array_steal_index (tl->sent, i);
		if (!lost)
			deliver (tl, m);
		msg_free (m);
	}
}

/* The endpoint ends a request in time; its entry may notice later. */
static void
end_due (struct tl *tl)
{
	for (uint32_t i = 0; i < tl->node_count; i++) {
		struct tl_node *n = &tl->nodes[i];

		for (uint32_t k = 0; k < TL_RUNS; k++) {
			struct tl_run *r = &n->runs[k];

			if (!r->live || tl->now_ms < r->end_ms)
				continue;
			if (r->at_ep) {
				tl->running[r->ep]--;
				tl->cold[r->ep] -= tl->cold[r->ep] > 0;
			}
			r->at_ep = false;
			if (!awake (n))
				continue;
			r->live = false;
			if (r->lost)
				see_lost (n, r->ep);
			else
				see_answer (n, r);
			lease_give (&n->lease, &r->slot, tl_clock (n));
		}
	}
}

static void
report (struct tl *tl)
{
	for (uint32_t i = 0; i < tl->node_count; i++) {
		struct tl_node *n = &tl->nodes[i];

		for (uint32_t k = 0; k < tl->ep_count && awake (n); k++) {
			/* Read now, seen after the lag: kept exact by
			 * reporting it as old. */
			struct bb_load load = {tl_clock (n), tl->running[k], 0};

			if (load.sampled_ms > tl->report_lag_ms)
				load.sampled_ms -= 1;
			bb_ep_reported (n->bb.eps[k], &load);
		}
	}
}

/* What could run at once, did every entry use all it may: nodes that stand
 * still included, as their clocks go on. */
static void
count_leased (struct tl *tl)
{
	for (uint32_t k = 0; k < tl->ep_count; k++) {
		uint32_t sum = tl->running[k];

		for (uint32_t i = 0; i < tl->node_count; i++) {
			const struct tl_node *n = &tl->nodes[i];
			const struct bb_ep *ep = n->up ? n->bb.eps[k] : NULL;

			if (ep != NULL && bb_ep_has_credit (ep, tl_clock (n)))
				sum += ep->credits - ep->in_flight;
		}
		tl->most_leased[k] = MAX (tl->most_leased[k], sum);
	}
}

static void
step (struct tl *tl)
{
	tl->now_ms += TL_STEP_MS;
	end_due (tl);
	deliver_due (tl);
	if (tl->report_lag_ms > 0 && tl->now_ms % 200 == 0)
		report (tl);
	count_leased (tl);
	if (tl->now_ms % 250 == 0)
		look_at_eps (tl);
	for (uint32_t i = 0; i < tl->node_count; i++) {
		struct tl_node *n = &tl->nodes[i];

		if (!awake (n))
			continue;
		if (tl->now_ms % TL_TICK_MS == 0)
			lease_tick (&n->lease, tl_clock (n));
		for (uint32_t k = 0; k < n->demand; k++)
			tl_take (tl, i,
				 (uint32_t)g_rand_int_range (
					 tl->rand, 0, (gint32)tl->ep_count));
	}
}

void
tl_run_for (struct tl *tl, uint64_t ms)
{
	for (uint64_t until = tl->now_ms + ms; tl->now_ms < until;)
		step (tl);
}

void
tl_begin (struct tl *tl, uint32_t domains, uint32_t nodes, uint32_t eps,
	  uint32_t bound)
{
	tl_init (tl, domains, nodes, eps, bound, 5);
	tl_run_for (tl, TL_START_MS);
}

void
tl_demand_all (struct tl *tl, uint32_t tier)
{
	for (uint32_t i = 0; i < tl->node_count; i++) {
		tl->nodes[i].demand = 2;
		tl_pressure (tl, i, tier, 20);
	}
}

struct bb_ep *
tl_ep (const struct tl *tl, uint32_t node, uint32_t ep)
{
	return tl->nodes[node].bb.eps[ep];
}

uint32_t
tl_bound (const struct tl *tl, uint32_t node, uint32_t ep)
{
	const struct tl_node *n = &tl->nodes[node];

	return lease_bound (&n->lease, tl_ep (tl, node, ep), tl_clock (n));
}

enum lease_state
tl_state (const struct tl *tl, uint32_t node, uint32_t ep)
{
	const struct tl_node *n = &tl->nodes[node];

	return lease_state_of (&n->lease, tl_ep (tl, node, ep), tl_clock (n));
}

uint32_t
tl_coordinator (const struct tl *tl, uint32_t node, uint32_t ep)
{
	const struct tl_node *n = &tl->nodes[node];
	struct bb_peer *p = lease_coordinator (&n->lease, tl_ep (tl, node, ep));

	return (uint32_t)(p->inv - n->bb.inv->entries);
}
