/*
 * Queues and flows of the admission queue, and the service that each flow has
 * received.
 */
#include "adm_flow.h"

#define MEAN_GAIN 0.1 /* weight of a new sample in the moving average */

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
queue_get (struct adm *a, struct bb_class *klass, struct bb_pool *pool)
{
	struct adm_queue *q;

	for (uint32_t i = 0; i < a->queues->len; i++) {
		q = g_ptr_array_index (a->queues, i);
		if (q->klass->bb == klass && q->pool->bb == pool)
			return q;
	}
	q = g_new0 (struct adm_queue, 1);
	q->klass = class_get (a, klass);
	q->pool = pool_get (a, pool);
	q->flows = g_hash_table_new (NULL, NULL);
	adm_heap_init (&q->by_service);
	adm_heap_init (&q->by_deadline);
	g_ptr_array_add (a->queues, q);
	return q;
}

void
adm_queue_free (gpointer queue)
{
	struct adm_queue *q = queue;
	GHashTableIter it;
	gpointer f;

	g_hash_table_iter_init (&it, q->flows);
	while (g_hash_table_iter_next (&it, NULL, &f)) {
		struct adm_flow *flow = f;

		if (flow->account != NULL)
			flow->account->refs--;
		g_free (flow);
	}
	g_hash_table_destroy (q->flows);
	adm_heap_finish (&q->by_service);
	adm_heap_finish (&q->by_deadline);
	g_free (q);
}

struct adm_flow *
adm_flow_get (struct adm *a, const struct adm_req *r)
{
	struct adm_queue *q = queue_get (a, r->klass, r->pool);
	struct adm_flow *f = g_hash_table_lookup (q->flows, r->account);

	if (f != NULL)
		return f;
	f = g_new0 (struct adm_flow, 1);
	f->queue = q;
	f->account = r->account;
	if (f->account != NULL)
		f->account->refs++;
	f->by_service.index = -1;
	f->by_deadline.index = -1;
	g_hash_table_insert (q->flows, r->account, f);
	return f;
}

/* Updates the flow's place in both heaps of its queue. */
static void
update_heaps (struct adm_flow *f)
{
	struct adm_queue *q = f->queue;

	if (f->head == NULL) {
		adm_heap_del (&q->by_service, &f->by_service);
		adm_heap_del (&q->by_deadline, &f->by_deadline);
		return;
	}
	adm_heap_put (&q->by_service, &f->by_service, f->service);
	adm_heap_put (&q->by_deadline, &f->by_deadline,
		      (double)f->head->deadline_ms);
}

void
adm_flow_insert (struct adm *a, struct adm_req *r)
{
	struct adm_flow *f = r->flow;
	struct adm_req *after = f->tail;

	/* Searched from the tail, as nearly all requests arrive in the order
	 * of their deadlines. */
	while (after != NULL && after->deadline_ms > r->deadline_ms)
		after = after->prev;
	r->prev = after;
	r->next = after == NULL ? f->head : after->next;
	*(r->prev == NULL ? &f->head : &r->prev->next) = r;
	*(r->next == NULL ? &f->tail : &r->next->prev) = r;
	if (f->queued++ == 0) {
		f->queue->active_flows++;
		/* An account gains no credit for the time it was idle. */
		f->service = MAX (f->service, f->queue->virtual_time);
	}
	f->queue->queued++;
	f->queue->klass->queued++;
	f->queue->pool->queued++;
	if (f->account != NULL)
		f->account->queued++;
	a->queued++;
	adm_heap_put (&a->expiry, &r->expiry, (double)r->deadline_ms);
	update_heaps (f);
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
		f->queue->active_flows--;
	f->queue->queued--;
	f->queue->klass->queued--;
	if (f->account != NULL)
		f->account->queued--;
	if (--f->queue->pool->queued == 0)
		f->queue->pool->backlogged_since_ms = 0;
	a->queued--;
	adm_heap_del (&a->expiry, &r->expiry);
	update_heaps (f);
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
		update_heaps (f);
}

double
adm_flow_expected_tokens (const struct adm *a, const struct adm_flow *f)
{
	if (f->mean_output_tokens > 0)
		return f->mean_output_tokens;
	if (f->queue->klass->mean_output_tokens > 0)
		return f->queue->klass->mean_output_tokens;
	return a->settings.default_output_tokens;
}

static void
update_mean (double *mean, double sample)
{
	*mean = *mean > 0 ? *mean + MEAN_GAIN * (sample - *mean) : sample;
}

void
adm_flow_add_sample (struct adm_flow *f, uint32_t tokens)
{
	update_mean (&f->mean_output_tokens, MAX (tokens, 1));
	update_mean (&f->queue->klass->mean_output_tokens, MAX (tokens, 1));
}

struct adm_flow *
adm_flow_longest (const struct adm *a, const struct adm_class *klass,
		  const struct adm_flow *extra)
{
	struct adm_flow *best = NULL;
	double most = -1;

	for (uint32_t i = 0; i < a->queues->len; i++) {
		const struct adm_queue *q = g_ptr_array_index (a->queues, i);
		const GPtrArray *nodes = q->by_service.nodes;

		if (q->klass != klass)
			continue;
		for (uint32_t j = 0; j < nodes->len; j++) {
			struct adm_flow *f = adm_flow_of_service (
				g_ptr_array_index (nodes, j));
			double n = (f->queued + (f == extra)) /
				   adm_flow_weight (f);

			if (n > most) {
				most = n;
				best = f;
			}
		}
	}
	return best;
}

static bool
queue_is_idle (const struct adm_queue *q)
{
	GHashTableIter it;
	gpointer f;

	g_hash_table_iter_init (&it, q->flows);
	while (g_hash_table_iter_next (&it, NULL, &f))
		if (((struct adm_flow *)f)->running > 0)
			return false;
	return q->queued == 0;
}

static void
queue_sweep (struct adm_queue *q)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, q->flows);
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
is_referenced (const struct adm *a, const void *klass_or_pool)
{
	for (uint32_t i = 0; i < a->queues->len; i++) {
		const struct adm_queue *q = g_ptr_array_index (a->queues, i);

		if (q->klass == klass_or_pool || q->pool == klass_or_pool)
			return true;
	}
	return false;
}

void
adm_sweep (struct adm *a)
{
	GHashTableIter it;
	gpointer value;

	for (uint32_t i = a->queues->len; i-- > 0;) {
		struct adm_queue *q = g_ptr_array_index (a->queues, i);

		queue_sweep (q);
		if ((q->klass->bb->inv == NULL || q->pool->bb->removed) &&
		    queue_is_idle (q))
			g_ptr_array_remove_index_fast (a->queues, i);
	}
	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->bb->inv != NULL || is_referenced (a, c))
			continue;
		c->bb->refs--;
		g_hash_table_iter_remove (&it);
		g_free (c);
	}
	g_hash_table_iter_init (&it, a->pools);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_pool *p = value;

		if (!p->bb->removed || is_referenced (a, p))
			continue;
		p->bb->refs--;
		g_hash_table_iter_remove (&it);
		g_free (p);
	}
}
