/*
 * The queues inside adm: lanes and flows, and how much each flow was served.
 */
#include "adm_flow.h"

#define LEARN 0.1 /* weight of one new output length in the mean */

static struct adm_class *
class_get (struct adm *a, struct bb_class *bb)
{
	struct adm_class *c = g_hash_table_lookup (a->classes, bb);

	if (c == NULL) {
		c = g_new0 (struct adm_class, 1);
		c->bb = bb;
		bb->refs++;
		g_hash_table_insert (a->classes, bb, c);
	}
	return c;
}

static struct adm_pool *
pool_get (struct adm *a, struct bb_pool *bb)
{
	struct adm_pool *p = g_hash_table_lookup (a->pools, bb);

	if (p == NULL) {
		p = g_new0 (struct adm_pool, 1);
		p->bb = bb;
		bb->refs++;
		g_hash_table_insert (a->pools, bb, p);
	}
	return p;
}

static struct adm_queue *
lane_get (struct adm *a, struct bb_class *klass, struct bb_pool *pool)
{
	struct adm_queue *l;

	for (uint32_t i = 0; i < a->lanes->len; i++) {
		l = g_ptr_array_index (a->lanes, i);
		if (l->klass->bb == klass && l->pool->bb == pool)
			return l;
	}
	l = g_new0 (struct adm_queue, 1);
	l->klass = class_get (a, klass);
	l->pool = pool_get (a, pool);
	l->flows = g_hash_table_new (NULL, NULL);
	adm_heap_init (&l->by_service);
	adm_heap_init (&l->by_deadline);
	g_ptr_array_add (a->lanes, l);
	return l;
}

void
adm_queue_free (gpointer lane)
{
	struct adm_queue *l = lane;
	GHashTableIter it;
	gpointer f;

	g_hash_table_iter_init (&it, l->flows);
	while (g_hash_table_iter_next (&it, NULL, &f)) {
		struct adm_flow *flow = f;

		if (flow->account != NULL)
			flow->account->refs--;
		g_free (flow);
	}
	g_hash_table_destroy (l->flows);
	adm_heap_finish (&l->by_service);
	adm_heap_finish (&l->by_deadline);
	g_free (l);
}

struct adm_flow *
adm_flow_get (struct adm *a, const struct adm_req *r)
{
	struct adm_queue *l = lane_get (a, r->klass, r->pool);
	struct adm_flow *f = g_hash_table_lookup (l->flows, r->account);

	if (f != NULL)
		return f;
	f = g_new0 (struct adm_flow, 1);
	f->lane = l;
	f->account = r->account;
	if (f->account != NULL)
		f->account->refs++;
	f->by_service.index = -1;
	f->by_deadline.index = -1;
	g_hash_table_insert (l->flows, r->account, f);
	return f;
}

/* Put the flow where its service and its first request belong. */
static void
flow_place (struct adm_flow *f)
{
	struct adm_queue *l = f->lane;

	if (f->head == NULL) {
		adm_heap_del (&l->by_service, &f->by_service);
		adm_heap_del (&l->by_deadline, &f->by_deadline);
		return;
	}
	adm_heap_put (&l->by_service, &f->by_service, f->service);
	adm_heap_put (&l->by_deadline, &f->by_deadline,
		      (double)f->head->deadline_ms);
}

void
adm_flow_insert (struct adm *a, struct adm_req *r)
{
	struct adm_flow *f = r->flow;
	struct adm_req *after = f->tail;

	/* Nearly all requests come in the order of their deadlines. */
	while (after != NULL && after->deadline_ms > r->deadline_ms)
		after = after->prev;
	r->prev = after;
	r->next = after == NULL ? f->head : after->next;
	*(r->prev == NULL ? &f->head : &r->prev->next) = r;
	*(r->next == NULL ? &f->tail : &r->next->prev) = r;
	if (f->queued++ == 0) {
		f->lane->active++;
		/* An account that was idle saves up no service. */
		f->service = MAX (f->service, f->lane->now);
	}
	f->lane->queued++;
	f->lane->klass->queued++;
	f->lane->pool->queued++;
	if (f->account != NULL)
		f->account->queued++;
	a->queued++;
	adm_heap_put (&a->expiry, &r->expiry, (double)r->deadline_ms);
	flow_place (f);
}

void
adm_flow_remove (struct adm *a, struct adm_req *r)
{
	struct adm_flow *f = r->flow;

	*(r->prev == NULL ? &f->head : &r->prev->next) = r->next;
	*(r->next == NULL ? &f->tail : &r->next->prev) = r->prev;
	r->prev = NULL;
	r->next = NULL;
	if (--f->queued == 0)
		f->lane->active--;
	f->lane->queued--;
	f->lane->klass->queued--;
	if (f->account != NULL)
		f->account->queued--;
	if (--f->lane->pool->queued == 0)
		f->lane->pool->since_ms = 0;
	a->queued--;
	adm_heap_del (&a->expiry, &r->expiry);
	flow_place (f);
}

double
adm_flow_weight (const struct adm_flow *f)
{
	return f->account == NULL ? 1 : f->account->weight;
}

void
adm_flow_charge (struct adm_flow *f, double tokens)
{
	f->service += tokens / adm_flow_weight (f);
	if (f->head != NULL)
		flow_place (f);
}

double
adm_flow_expected_tokens (const struct adm *a, const struct adm_flow *f)
{
	if (f->tokens > 0)
		return f->tokens;
	if (f->lane->klass->tokens > 0)
		return f->lane->klass->tokens;
	return a->set.guess_tokens;
}

static void
learn (double *mean, double seen)
{
	*mean = *mean > 0 ? *mean + LEARN * (seen - *mean) : seen;
}

void
adm_flow_add_sample (struct adm_flow *f, uint32_t tokens)
{
	learn (&f->tokens, MAX (tokens, 1));
	learn (&f->lane->klass->tokens, MAX (tokens, 1));
}

struct adm_flow *
adm_flow_longest (const struct adm *a, const struct adm_class *klass,
		  const struct adm_flow *plus)
{
	struct adm_flow *best = NULL;
	double most = -1;

	for (uint32_t i = 0; i < a->lanes->len; i++) {
		const struct adm_queue *l = g_ptr_array_index (a->lanes, i);
		const GPtrArray *nodes = l->by_service.nodes;

		if (l->klass != klass)
			continue;
		for (uint32_t j = 0; j < nodes->len; j++) {
			struct adm_flow *f = adm_flow_of_service (
				g_ptr_array_index (nodes, j));
			double n =
				(f->queued + (f == plus)) / adm_flow_weight (f);

			if (n > most) {
				most = n;
				best = f;
			}
		}
	}
	return best;
}

static bool
lane_idle (const struct adm_queue *l)
{
	GHashTableIter it;
	gpointer f;

	g_hash_table_iter_init (&it, l->flows);
	while (g_hash_table_iter_next (&it, NULL, &f))
		if (((struct adm_flow *)f)->running > 0)
			return false;
	return l->queued == 0;
}

static void
lane_sweep (struct adm_queue *l)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, l->flows);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_flow *f = value;

		if (f->queued > 0 || f->running > 0 || f->account == NULL ||
		    f->account->inv != NULL)
			continue;
		f->account->refs--;
		g_hash_table_iter_remove (&it);
		g_free (f);
	}
}

static bool
lane_needs (const struct adm *a, const void *klass_or_pool)
{
	for (uint32_t i = 0; i < a->lanes->len; i++) {
		const struct adm_queue *l = g_ptr_array_index (a->lanes, i);

		if (l->klass == klass_or_pool || l->pool == klass_or_pool)
			return true;
	}
	return false;
}

void
adm_sweep (struct adm *a)
{
	GHashTableIter it;
	gpointer value;

	for (uint32_t i = a->lanes->len; i-- > 0;) {
		struct adm_queue *l = g_ptr_array_index (a->lanes, i);

		lane_sweep (l);
		if ((l->klass->bb->inv == NULL || l->pool->bb->removed) &&
		    lane_idle (l))
			g_ptr_array_remove_index_fast (a->lanes, i);
	}
	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->bb->inv != NULL || lane_needs (a, c))
			continue;
		c->bb->refs--;
		g_hash_table_iter_remove (&it);
		g_free (c);
	}
	g_hash_table_iter_init (&it, a->pools);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_pool *p = value;

		if (!p->bb->removed || lane_needs (a, p))
			continue;
		p->bb->refs--;
		g_hash_table_iter_remove (&it);
		g_free (p);
	}
}
