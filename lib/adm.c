/*
 * Admission queue: refuses requests that cannot be served in time, orders the
 * others and dispatches them.
 */
#include <math.h>
#include <string.h>

#include "adm.h"
#include "adm_flow.h"

#define SHARE_DEFICIT_MAX 2.0 /* dispatches owed to a class at most */
#define RATE_DECAY 0.97       /* factor on older dispatches in a pool's rate */
#define RATE_MIN_DISPATCHES 8.0 /* dispatches before a rate is used */
#define RETRY_MIN_MS 1000       /* bounds of the advised retry delay */
#define RETRY_MAX_MS 30000
#define FLOW_CHECKS_MAX 4 /* requests of one flow checked in a round */

/**
 * struct adm_candidate - a queue in the order of one adm_next() call
 * @queue: the queue
 * @score: slack plus guard over the weight of the tier, ms; least goes first
 * @owed: whether its class is owed a dispatch by its minimum share
 */
struct adm_candidate {
	struct adm_queue *queue;
	double score;
	bool owed;
};

/* Divisor of the slack, by tier; tiers count from 1, the highest. */
static const double tier_weight[INV_TIERS + 1] = {1, 16, 8, 4, 2, 1};

static uint8_t
queue_tier (const struct adm_queue *q)
{
	return q->klass->bb->def.tier;
}

const char *
adm_why_name (enum adm_why why)
{
	switch (why) {
	case ADM_ADMITTED:
		return "admitted";
	case ADM_WHY_LEAVING:
		return "leaving";
	case ADM_WHY_RATE:
		return "rate";
	case ADM_WHY_DOOMED:
		return "doomed";
	case ADM_WHY_CLASS_FULL:
		return "class_full";
	case ADM_WHY_FULL:
		return "full";
	case ADM_WHY_EVICTED:
		return "evicted";
	case ADM_WHY_EXPIRED:
		return "expired";
	case ADM_WHY_CANCELLED:
		return "cancelled";
	}
	return "?";
}

void
adm_init (struct adm *a, struct bb *bb, const struct adm_settings *set)
{
	memset (a, 0, sizeof *a);
	a->bb = bb;
	a->settings = *set;
	/* The key is the name, which is the first member of both structs, as
	 * the order of iteration must not depend on addresses. */
	a->classes = g_hash_table_new (g_str_hash, NULL);
	a->pools = g_hash_table_new (g_str_hash, NULL);
	a->queues = g_ptr_array_new_with_free_func (adm_queue_free);
	a->candidates =
		g_array_new (FALSE, FALSE, sizeof (struct adm_candidate));
	a->skipped = g_ptr_array_new ();
	adm_heap_init (&a->expiry);
}

void
adm_finish (struct adm *a)
{
	GHashTableIter it;
	gpointer v;

	g_ptr_array_free (a->queues, TRUE);
	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		((struct adm_class *)v)->bb->refs--;
		g_free (v);
	}
	g_hash_table_iter_init (&it, a->pools);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		((struct adm_pool *)v)->bb->refs--;
		g_free (v);
	}
	g_hash_table_destroy (a->classes);
	g_hash_table_destroy (a->pools);
	g_array_free (a->candidates, TRUE);
	g_ptr_array_free (a->skipped, TRUE);
	adm_heap_finish (&a->expiry);
	memset (a, 0, sizeof *a);
}

static bool
refuse (struct adm_verdict *v, struct adm_class *c, enum err_kind kind,
	enum adm_why why, double retry_ms)
{
	c->stats.refused[why]++;
	v->kind = kind;
	v->why = why;
	v->retry_after_ms =
		(uint32_t)CLAMP (retry_ms, RETRY_MIN_MS, RETRY_MAX_MS);
	return false;
}

/* Dispatches per millisecond while requests wait for the pool; 0 if unknown
 * or if none has to wait. */
static double
pool_rate (const struct adm_pool *p, uint64_t now_ms)
{
	double busy;

	if (p->backlogged_since_ms == 0 || p->dispatches < RATE_MIN_DISPATCHES)
		return 0;
	busy = p->backlogged_ms + (double)(now_ms - p->backlogged_since_ms);
	return busy < 1 ? 0 : p->dispatches / busy;
}

/*
 * Predicts the time until a new request of @f is dispatched, if no request of
 * a higher tier arrives meanwhile: the requests of its tier and above in other
 * queues of the pool go first, then its own queue in rounds over the accounts.
 * Dispatch at the minimum share of its class bounds the wait.  0 if unknown.
 */
static double
predict_wait_ms (const struct adm *a, const struct adm_flow *f, uint64_t now_ms)
{
	const struct adm_queue *own = f->queue;
	double rate = pool_rate (own->pool, now_ms);
	double share = own->klass->bb->def.share_permille / 1000.0;
	double fair_position = ((double)f->queued + 1) *
			       (own->active_flows + (f->queued == 0 ? 1 : 0));
	double mine = MIN (own->queued, fair_position);
	double ahead = 0;

	if (rate <= 0)
		return 0;
	for (uint32_t i = 0; i < a->queues->len; i++) {
		const struct adm_queue *q = g_ptr_array_index (a->queues, i);

		if (q != own && q->pool == own->pool &&
		    queue_tier (q) <= queue_tier (own))
			ahead += q->queued;
	}
	ahead = (ahead + mine) / rate;
	return share > 0 ? MIN (ahead, (mine + 1) / (rate * share)) : ahead;
}

static void
drop_queued (struct adm *a, struct adm_req *r, enum adm_why why)
{
	r->flow->queue->klass->stats.refused[why]++;
	adm_flow_remove (a, r);
	r->state = ADM_INACTIVE;
}

static void
evict (struct adm *a, struct adm_req *r, struct adm_verdict *v)
{
	drop_queued (a, r, ADM_WHY_EVICTED);
	v->victim = r;
	v->victim_kind = ERR_OVERLOAD;
}

/*
 * Makes room for @r in its own class.  The account with the most queued
 * requests for its weight, counting @r, loses the one with the latest deadline:
 * either a queued request is evicted or @r is refused.
 */
static bool
make_room_in_class (struct adm *a, struct adm_req *r, enum adm_why why,
		    struct adm_verdict *v)
{
	struct adm_flow *own = r->flow;
	struct adm_flow *f = adm_flow_longest (a, own->queue->klass, own);
	double mine = (own->queued + 1) / adm_flow_weight (own);
	bool evict_other =
		f != NULL && f != own && f->queued / adm_flow_weight (f) > mine;

	if (!evict_other)
		f = own;
	if (f->tail != NULL &&
	    (evict_other || f->tail->deadline_ms > r->deadline_ms)) {
		evict (a, f->tail, v);
		return true;
	}
	return refuse (v, own->queue->klass, ERR_OVERLOAD, why,
		       v->predicted_wait_ms);
}

/* Class of the lowest tier below @tier with more requests than its reserve. */
static struct adm_class *
lowest_class (struct adm *a, uint8_t tier)
{
	struct adm_class *best = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->queued > a->settings.class_reserve &&
		    c->bb->def.tier > tier) {
			tier = c->bb->def.tier;
			best = c;
		}
	}
	return best;
}

/* Makes room for @r by evicting a request if needed, or refuses @r. */
static bool
make_room (struct adm *a, struct adm_req *r, struct adm_verdict *v)
{
	struct adm_class *c = r->flow->queue->klass;
	const struct inv_class *ic = &c->bb->def;
	struct adm_class *low;

	if (c->queued < a->settings.class_reserve)
		return true;
	if (ic->queue_max != 0 && c->queued >= ic->queue_max)
		return make_room_in_class (a, r, ADM_WHY_CLASS_FULL, v);
	if (a->queued < a->settings.queue_max)
		return true;
	low = lowest_class (a, ic->tier);
	if (low == NULL)
		return make_room_in_class (a, r, ADM_WHY_FULL, v);
	evict (a, adm_flow_longest (a, low, NULL)->tail, v);
	return true;
}

static void
enqueue (struct adm *a, struct adm_req *r, struct adm_verdict *v)
{
	r->expiry.index = -1;
	adm_flow_insert (a, r);
	r->state = ADM_QUEUED;
	v->kind = ERR_NONE;
	v->why = ADM_ADMITTED;
}

bool
adm_submit (struct adm *a, struct adm_req *r, uint64_t now_ms,
	    struct adm_verdict *v)
{
	const struct inv_class *ic = &r->klass->def;
	uint32_t max_wait_ms = r->max_wait_ms == 0
				       ? ic->deadline_ms
				       : MIN (r->max_wait_ms, ic->deadline_ms);
	struct adm_class *c;
	double retry_ms = 0;
	bool ok = true;

	*v = (struct adm_verdict){0};
	r->flow = adm_flow_get (a, r);
	r->deadline_ms = r->arrived_ms + max_wait_ms;
	c = r->flow->queue->klass;
	c->stats.submitted++;
	if (a->draining)
		return refuse (v, c, ERR_LEAVING, ADM_WHY_LEAVING, 0);
	if (r->account != NULL) {
		r->account->requests++;
		ok = bb_account_rate_allows (r->account, now_ms, &retry_ms);
	}
	if (!ok)
		return refuse (v, c, ERR_RATE_LIMIT, ADM_WHY_RATE, retry_ms);
	v->predicted_wait_ms =
		(uint32_t)MIN (predict_wait_ms (a, r->flow, now_ms), 1e9);
	if (now_ms + v->predicted_wait_ms > r->deadline_ms)
		return refuse (v, c, ERR_DOOMED, ADM_WHY_DOOMED,
			       v->predicted_wait_ms);
	if (!make_room (a, r, v))
		return false;
	if (r->account != NULL)
		r->account->tokens -= 1;
	enqueue (a, r, v);
	return true;
}

/* Removes a request from the counts of running requests. */
static void
stop_running (struct adm_req *r)
{
	r->state = ADM_INACTIVE;
	r->flow->running--;
	if (r->account != NULL)
		r->account->in_flight--;
}

bool
adm_requeue (struct adm *a, struct adm_req *r, uint64_t now_ms,
	     struct adm_verdict *v)
{
	*v = (struct adm_verdict){0};
	stop_running (r);
	adm_flow_charge (r->flow, -(double)r->charged_tokens);
	r->deadline_ms =
		MAX (r->deadline_ms, now_ms + r->klass->def.deadline_ms);
	if (!make_room (a, r, v))
		return false;
	enqueue (a, r, v);
	return true;
}

/* Time the first request of the queue's earliest flow can still wait and meet
 * the first-token target of its class; negative if it is late. */
static double
queue_slack_ms (const struct adm_queue *q, uint64_t now_ms)
{
	const struct adm_heap_node *n = adm_heap_top (&q->by_deadline);
	const struct adm_req *r =
		adm_flow_of_deadline ((struct adm_heap_node *)n)->head;

	return (double)r->arrived_ms + q->klass->bb->def.ttft_ms -
	       r->min_ttft_ms - (double)now_ms;
}

static int
candidate_cmp (const void *a, const void *b)
{
	const struct adm_candidate *x = a;
	const struct adm_candidate *y = b;

	if (x->owed != y->owed)
		return x->owed ? -1 : 1;
	if (x->score != y->score)
		return x->score < y->score ? -1 : 1;
	return (int)queue_tier (x->queue) - queue_tier (y->queue);
}

/* Sorts the queues by slack over weight.  The guard is added to the slack, so
 * that a late queue of a low tier does not overtake one of a higher tier whose
 * slack is less than the guard. */
static void
order_queues (struct adm *a, uint64_t now_ms)
{
	g_array_set_size (a->candidates, 0);
	for (uint32_t i = 0; i < a->queues->len; i++) {
		struct adm_queue *q = g_ptr_array_index (a->queues, i);
		struct adm_candidate p = {.queue = q};

		if (q->queued == 0)
			continue;
		p.owed = q->klass->share_deficit >= 1;
		p.score = (MAX (queue_slack_ms (q, now_ms), 0) +
			   a->settings.guard_ms) /
			  tier_weight[MIN (queue_tier (q), INV_TIERS)];
		g_array_append_val (a->candidates, p);
	}
	g_array_sort (a->candidates, candidate_cmp);
}

/* Finds the first eligible request of a flow whose account is below its
 * concurrency limit. */
static enum adm_eligible
next_in_flow (struct adm_flow *f, uint64_t now_ms, adm_eligible_cb eligible,
	      void *ctx, struct adm_req **out)
{
	struct adm_req *r = f->head;

	if (f->account != NULL &&
	    f->account->in_flight >=
		    bb_account_concurrency (f->account, now_ms))
		return ADM_BLOCKED;
	for (int i = 0; i < FLOW_CHECKS_MAX && r != NULL; i++, r = r->next) {
		enum adm_eligible c = eligible (r, ctx);

		*out = r;
		if (c != ADM_BLOCKED)
			return c;
	}
	return ADM_BLOCKED;
}

/* Notes that the pool takes no request of the queue's tier or below for the
 * rest of this adm_next() call. */
static void
block_pool (struct adm *a, const struct adm_queue *q)
{
	struct adm_pool *p = q->pool;

	if (p->round != a->round || queue_tier (q) < p->blocked_tier)
		p->blocked_tier = queue_tier (q);
	p->round = a->round;
}

/* Returns the first eligible request, by least service of its account.  Blocked
 * flows leave the heap during the search and are put back after it. */
static struct adm_req *
next_in_queue (struct adm *a, struct adm_queue *q, uint64_t now_ms,
	       adm_eligible_cb eligible, void *ctx)
{
	struct adm_req *r = NULL;
	enum adm_eligible c = ADM_BLOCKED;
	struct adm_heap_node *n;

	while (c == ADM_BLOCKED &&
	       (n = adm_heap_top (&q->by_service)) != NULL) {
		c = next_in_flow (adm_flow_of_service (n), now_ms, eligible,
				  ctx, &r);
		if (c == ADM_BLOCKED) {
			adm_heap_del (&q->by_service, n);
			g_ptr_array_add (a->skipped, n);
		}
	}
	while (a->skipped->len > 0) {
		n = g_ptr_array_remove_index_fast (a->skipped,
						   a->skipped->len - 1);
		adm_heap_put (&q->by_service, n, n->key);
	}
	if (c == ADM_POOL_BLOCKED)
		block_pool (a, q);
	return c == ADM_ELIGIBLE ? r : NULL;
}

/* Adds each waiting class's share of one dispatch to its deficit, and takes the
 * dispatch off the deficit of the class that got it. */
static void
update_share_deficits (struct adm *a, struct adm_class *served)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->queued == 0)
			c->share_deficit = MIN (c->share_deficit, 0);
		else
			c->share_deficit =
				MIN (c->share_deficit +
					     c->bb->def.share_permille / 1000.0,
				     SHARE_DEFICIT_MAX);
	}
	served->share_deficit = MAX (served->share_deficit - 1, -1);
}

static void
update_pool_rate (struct adm_pool *p, uint64_t now_ms)
{
	if (p->backlogged_since_ms == 0)
		return;
	p->dispatches = p->dispatches * RATE_DECAY + 1;
	p->backlogged_ms = p->backlogged_ms * RATE_DECAY +
			   (double)(now_ms - p->backlogged_since_ms);
	p->backlogged_since_ms = now_ms;
}

static void
dispatch (struct adm *a, struct adm_req *r, uint64_t now_ms)
{
	struct adm_flow *f = r->flow;
	struct adm_class *c = f->queue->klass;

	update_share_deficits (a, c);
	update_pool_rate (f->queue->pool, now_ms);
	adm_flow_remove (a, r);
	f->queue->virtual_time = MAX (f->queue->virtual_time, f->service);
	r->charged_tokens =
		(uint32_t)(r->prompt_tokens + adm_flow_expected_tokens (a, f));
	adm_flow_charge (f, r->charged_tokens);
	f->running++;
	if (r->account != NULL)
		r->account->in_flight++;
	r->state = ADM_RUNNING;
	r->dispatched_ms = now_ms;
	c->stats.dispatched++;
}

struct adm_req *
adm_next (struct adm *a, uint64_t now_ms, adm_eligible_cb eligible, void *ctx)
{
	if (a->queued == 0)
		return NULL;
	a->round++;
	order_queues (a, now_ms);
	for (uint32_t i = 0; i < a->candidates->len; i++) {
		struct adm_queue *q =
			g_array_index (a->candidates, struct adm_candidate, i)
				.queue;
		struct adm_req *r;

		if (q->pool->round == a->round &&
		    queue_tier (q) >= q->pool->blocked_tier)
			continue;
		r = next_in_queue (a, q, now_ms, eligible, ctx);
		if (r != NULL) {
			dispatch (a, r, now_ms);
			return r;
		}
		if (q->pool->backlogged_since_ms == 0)
			q->pool->backlogged_since_ms = now_ms;
	}
	return NULL;
}

void
adm_done (struct adm *a, struct adm_req *r, uint32_t tokens, bool complete)
{
	struct adm_flow *f = r->flow;

	(void)a;
	stop_running (r);
	adm_flow_charge (f, (double)r->prompt_tokens + tokens -
				    (double)r->charged_tokens);
	f->queue->klass->stats.tokens += tokens;
	if (complete)
		adm_flow_add_sample (f, tokens);
}

struct adm_req *
adm_expire (struct adm *a, uint64_t now_ms, struct adm_verdict *v)
{
	struct adm_heap_node *n = adm_heap_top (&a->expiry);
	struct adm_req *r;

	if (n == NULL || n->key > (double)now_ms)
		return NULL;
	r = (struct adm_req *)(void *)((char *)n -
				       offsetof (struct adm_req, expiry));
	*v = (struct adm_verdict){.kind = ERR_TIMEOUT_QUEUED,
				  .why = ADM_WHY_EXPIRED};
	v->retry_after_ms =
		(uint32_t)CLAMP (predict_wait_ms (a, r->flow, now_ms),
				 RETRY_MIN_MS, RETRY_MAX_MS);
	drop_queued (a, r, ADM_WHY_EXPIRED);
	return r;
}

uint64_t
adm_next_expiry (const struct adm *a)
{
	const struct adm_heap_node *n = adm_heap_top (&a->expiry);

	return n == NULL ? UINT64_MAX : (uint64_t)n->key;
}

void
adm_cancel (struct adm *a, struct adm_req *r)
{
	if (r->state == ADM_QUEUED)
		drop_queued (a, r, ADM_WHY_CANCELLED);
}

void
adm_drain (struct adm *a)
{
	a->draining = true;
}

void
adm_backlog (const struct adm *a, const struct bb_pool *pool, uint64_t now_ms,
	     struct adm_backlog *out)
{
	*out = (struct adm_backlog){0};
	for (uint32_t i = 0; i < a->queues->len; i++) {
		const struct adm_queue *q = g_ptr_array_index (a->queues, i);
		uint32_t t = CLAMP (queue_tier (q), 1, INV_TIERS) - 1U;
		int32_t slack;

		if (q->pool->bb != pool || q->queued == 0)
			continue;
		slack = (int32_t)queue_slack_ms (q, now_ms);
		if (out->waiting[t] == 0 || slack < out->min_slack_ms[t])
			out->min_slack_ms[t] = slack;
		out->waiting[t] += q->queued;
	}
}

const struct adm_class_stats *
adm_stats (const struct adm *a, const struct bb_class *klass)
{
	const struct adm_class *c = g_hash_table_lookup (a->classes, klass);

	return c == NULL ? NULL : &c->stats;
}
