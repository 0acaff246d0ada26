/*
 * Admission: refuses what cannot be served in time, keeps the rest in order,
 * and hands out what runs next.
 */
#include <math.h>
#include <string.h>

#include "adm.h"
#include "adm_flow.h"

#define BEHIND_MAX 2.0    /* dispatches a class can be owed at once */
#define RATE_DECAY 0.97   /* what an older dispatch counts in a rate */
#define RATE_SEEN 8.0     /* dispatches that make a rate known */
#define RETRY_MIN_MS 1000 /* least and most advised to a refused caller */
#define RETRY_MAX_MS 30000
#define FLOW_TRIES 4 /* requests of one account asked in a round */

/** struct adm_candidate - one lane in the order of an adm_next() round */
struct adm_candidate {
	struct adm_queue *lane;
	double score;
	bool due;
};

static const double tier_weight[INV_TIERS + 1] = {1, 16, 8, 4, 2, 1};

static uint8_t
lane_tier (const struct adm_queue *l)
{
	return l->klass->bb->def.tier;
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
	a->set = *set;
	/* Hashed by name, the first member of a record: the order in which a
	 * table is walked must not depend on addresses. */
	a->classes = g_hash_table_new (g_str_hash, NULL);
	a->pools = g_hash_table_new (g_str_hash, NULL);
	a->lanes = g_ptr_array_new_with_free_func (adm_queue_free);
	a->order = g_array_new (FALSE, FALSE, sizeof (struct adm_candidate));
	a->passed = g_ptr_array_new ();
	adm_heap_init (&a->expiry);
}

void
adm_finish (struct adm *a)
{
	GHashTableIter it;
	gpointer v;

	g_ptr_array_free (a->lanes, TRUE);
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
	g_array_free (a->order, TRUE);
	g_ptr_array_free (a->passed, TRUE);
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

/* Requests a millisecond that the pool takes; 0: not known, or it takes
 * whatever comes. */
static double
pool_rate (const struct adm_pool *p, uint64_t now_ms)
{
	double busy;

	if (p->since_ms == 0 || p->count < RATE_SEEN)
		return 0;
	busy = p->busy_ms + (double)(now_ms - p->since_ms);
	return busy < 1 ? 0 : p->count / busy;
}

/* Time until @f's next request would start, if nothing above its tier came
 * any more: what waits above it, then its account's turns.  Its class's
 * minimum share may be faster. */
static double
predict_ms (const struct adm *a, const struct adm_flow *f, uint64_t now_ms)
{
	const struct adm_queue *own = f->lane;
	double rate = pool_rate (own->pool, now_ms);
	double share = own->klass->bb->def.share_permille / 1000.0;
	double turns = ((double)f->queued + 1) *
		       (own->active + (f->queued == 0 ? 1 : 0));
	double mine = MIN (own->queued, turns);
	double above = 0;

	if (rate <= 0)
		return 0;
	for (uint32_t i = 0; i < a->lanes->len; i++) {
		const struct adm_queue *l = g_ptr_array_index (a->lanes, i);

		if (l != own && l->pool == own->pool &&
		    lane_tier (l) <= lane_tier (own))
			above += l->queued;
	}
	above = (above + mine) / rate;
	return share > 0 ? MIN (above, (mine + 1) / (rate * share)) : above;
}

static void
put_out (struct adm *a, struct adm_req *r, enum adm_why why)
{
	r->flow->lane->klass->stats.refused[why]++;
	adm_flow_remove (a, r);
	r->state = ADM_INACTIVE;
}

static void
evict (struct adm *a, struct adm_req *r, struct adm_verdict *v)
{
	put_out (a, r, ADM_WHY_EVICTED);
	v->victim = r;
	v->victim_kind = ERR_OVERLOAD;
}

/* Its class has no more room: the account that holds most places for its
 * weight gives up its latest deadline, be that a queued request or @r. */
static bool
room_in_class (struct adm *a, struct adm_req *r, enum adm_why why,
	       struct adm_verdict *v)
{
	struct adm_flow *own = r->flow;
	struct adm_flow *f = adm_flow_longest (a, own->lane->klass, own);
	double mine = (own->queued + 1) / adm_flow_weight (own);
	bool other =
		f != NULL && f != own && f->queued / adm_flow_weight (f) > mine;

	if (!other)
		f = own;
	if (f->tail != NULL &&
	    (other || f->tail->deadline_ms > r->deadline_ms)) {
		evict (a, f->tail, v);
		return true;
	}
	return refuse (v, own->lane->klass, ERR_OVERLOAD, why,
		       v->predicted_wait_ms);
}

/* The lowest tier below @tier that holds more than its protected places. */
static struct adm_class *
lowest_class (struct adm *a, uint8_t tier)
{
	struct adm_class *best = NULL;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->queued > a->set.protect && c->bb->def.tier > tier) {
			tier = c->bb->def.tier;
			best = c;
		}
	}
	return best;
}

static bool
room (struct adm *a, struct adm_req *r, struct adm_verdict *v)
{
	struct adm_class *c = r->flow->lane->klass;
	const struct inv_class *ic = &c->bb->def;
	struct adm_class *low;

	if (c->queued < a->set.protect)
		return true;
	if (ic->queue_max != 0 && c->queued >= ic->queue_max)
		return room_in_class (a, r, ADM_WHY_CLASS_FULL, v);
	if (a->queued < a->set.queue_max)
		return true;
	low = lowest_class (a, ic->tier);
	if (low == NULL)
		return room_in_class (a, r, ADM_WHY_FULL, v);
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
	uint32_t longest = r->max_wait_ms == 0
				   ? ic->deadline_ms
				   : MIN (r->max_wait_ms, ic->deadline_ms);
	struct adm_class *c;
	double retry_ms = 0;
	bool ok = true;

	*v = (struct adm_verdict){0};
	r->flow = adm_flow_get (a, r);
	r->deadline_ms = r->arrived_ms + longest;
	c = r->flow->lane->klass;
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
		(uint32_t)MIN (predict_ms (a, r->flow, now_ms), 1e9);
	if (now_ms + v->predicted_wait_ms > r->deadline_ms)
		return refuse (v, c, ERR_DOOMED, ADM_WHY_DOOMED,
			       v->predicted_wait_ms);
	if (!room (a, r, v))
		return false;
	if (r->account != NULL)
		r->account->tokens -= 1;
	enqueue (a, r, v);
	return true;
}

/* Take a running request back: it is not counted as running any more. */
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
	adm_flow_charge (r->flow, -(double)r->charged);
	r->deadline_ms =
		MAX (r->deadline_ms, now_ms + r->klass->def.deadline_ms);
	if (!room (a, r, v))
		return false;
	enqueue (a, r, v);
	return true;
}

/* Time a lane can still wait and meet its class's target. */
static double
lane_slack (const struct adm_queue *l, uint64_t now_ms)
{
	const struct adm_heap_node *n = adm_heap_top (&l->by_deadline);
	const struct adm_req *r =
		adm_flow_of_deadline ((struct adm_heap_node *)n)->head;

	return (double)r->arrived_ms + l->klass->bb->def.ttft_ms - r->first_ms -
	       (double)now_ms;
}

static int
pick_cmp (const void *a, const void *b)
{
	const struct adm_candidate *x = a;
	const struct adm_candidate *y = b;

	if (x->due != y->due)
		return x->due ? -1 : 1;
	if (x->score != y->score)
		return x->score < y->score ? -1 : 1;
	return (int)lane_tier (x->lane) - lane_tier (y->lane);
}

/* Least slack over weight first.  The guard is added to the slack, so that a
 * late lane of a low tier never goes before a higher one that has less than
 * the guard left. */
static void
order_lanes (struct adm *a, uint64_t now_ms)
{
	g_array_set_size (a->order, 0);
	for (uint32_t i = 0; i < a->lanes->len; i++) {
		struct adm_queue *l = g_ptr_array_index (a->lanes, i);
		struct adm_candidate p = {.lane = l};

		if (l->queued == 0)
			continue;
		p.due = l->klass->behind >= 1;
		p.score = (MAX (lane_slack (l, now_ms), 0) + a->set.guard_ms) /
			  tier_weight[MIN (lane_tier (l), INV_TIERS)];
		g_array_append_val (a->order, p);
	}
	g_array_sort (a->order, pick_cmp);
}

static enum adm_eligible
ask_flow (struct adm_flow *f, uint64_t now_ms, adm_eligible_cb can, void *ctx,
	  struct adm_req **out)
{
	struct adm_req *r = f->head;

	if (f->account != NULL &&
	    f->account->in_flight >=
		    bb_account_concurrency (f->account, now_ms))
		return ADM_BLOCKED;
	for (int i = 0; i < FLOW_TRIES && r != NULL; i++, r = r->next) {
		enum adm_eligible c = can (r, ctx);

		*out = r;
		if (c != ADM_BLOCKED)
			return c;
	}
	return ADM_BLOCKED;
}

static void
block_pool (struct adm *a, const struct adm_queue *l)
{
	struct adm_pool *p = l->pool;

	if (p->round != a->round || lane_tier (l) < p->blocked_tier)
		p->blocked_tier = lane_tier (l);
	p->round = a->round;
}

/* The first of the lane's accounts, least served first, that can run. */
static struct adm_req *
ask_lane (struct adm *a, struct adm_queue *l, uint64_t now_ms,
	  adm_eligible_cb can, void *ctx)
{
	struct adm_req *r = NULL;
	enum adm_eligible c = ADM_BLOCKED;
	struct adm_heap_node *n;

	while (c == ADM_BLOCKED &&
	       (n = adm_heap_top (&l->by_service)) != NULL) {
		c = ask_flow (adm_flow_of_service (n), now_ms, can, ctx, &r);
		if (c == ADM_BLOCKED) {
			adm_heap_del (&l->by_service, n);
			g_ptr_array_add (a->passed, n);
		}
	}
	while (a->passed->len > 0) {
		n = g_ptr_array_remove_index_fast (a->passed,
						   a->passed->len - 1);
		adm_heap_put (&l->by_service, n, n->key);
	}
	if (c == ADM_POOL_BLOCKED)
		block_pool (a, l);
	return c == ADM_ELIGIBLE ? r : NULL;
}

/* Every class that waits is owed its share of this dispatch; the one served
 * has had one. */
static void
count_shares (struct adm *a, struct adm_class *served)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, a->classes);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct adm_class *c = value;

		if (c->queued == 0)
			c->behind = MIN (c->behind, 0);
		else
			c->behind = MIN (c->behind + c->bb->def.share_permille /
							     1000.0,
					 BEHIND_MAX);
	}
	served->behind = MAX (served->behind - 1, -1);
}

static void
count_rate (struct adm_pool *p, uint64_t now_ms)
{
	if (p->since_ms == 0)
		return;
	p->count = p->count * RATE_DECAY + 1;
	p->busy_ms = p->busy_ms * RATE_DECAY + (double)(now_ms - p->since_ms);
	p->since_ms = now_ms;
}

static void
dispatch (struct adm *a, struct adm_req *r, uint64_t now_ms)
{
	struct adm_flow *f = r->flow;
	struct adm_class *c = f->lane->klass;

	count_shares (a, c);
	count_rate (f->lane->pool, now_ms);
	adm_flow_remove (a, r);
	f->lane->now = MAX (f->lane->now, f->service);
	r->charged =
		(uint32_t)(r->prompt_tokens + adm_flow_expected_tokens (a, f));
	adm_flow_charge (f, r->charged);
	f->running++;
	if (r->account != NULL)
		r->account->in_flight++;
	r->state = ADM_RUNNING;
	r->dispatched_ms = now_ms;
	c->stats.dispatched++;
}

struct adm_req *
adm_next (struct adm *a, uint64_t now_ms, adm_eligible_cb can, void *ctx)
{
	if (a->queued == 0)
		return NULL;
	a->round++;
	order_lanes (a, now_ms);
	for (uint32_t i = 0; i < a->order->len; i++) {
		struct adm_queue *l =
			g_array_index (a->order, struct adm_candidate, i).lane;
		struct adm_req *r;

		if (l->pool->round == a->round &&
		    lane_tier (l) >= l->pool->blocked_tier)
			continue;
		r = ask_lane (a, l, now_ms, can, ctx);
		if (r != NULL) {
			dispatch (a, r, now_ms);
			return r;
		}
		if (l->pool->since_ms == 0)
			l->pool->since_ms = now_ms;
	}
	return NULL;
}

void
adm_done (struct adm *a, struct adm_req *r, uint32_t tokens, bool whole)
{
	struct adm_flow *f = r->flow;

	(void)a;
	stop_running (r);
	adm_flow_charge (f, (double)r->prompt_tokens + tokens -
				    (double)r->charged);
	f->lane->klass->stats.tokens += tokens;
	if (whole)
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
	v->retry_after_ms = (uint32_t)CLAMP (predict_ms (a, r->flow, now_ms),
					     RETRY_MIN_MS, RETRY_MAX_MS);
	put_out (a, r, ADM_WHY_EXPIRED);
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
		put_out (a, r, ADM_WHY_CANCELLED);
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
	for (uint32_t i = 0; i < a->lanes->len; i++) {
		const struct adm_queue *l = g_ptr_array_index (a->lanes, i);
		uint32_t t = CLAMP (lane_tier (l), 1, INV_TIERS) - 1U;
		int32_t slack;

		if (l->pool->bb != pool || l->queued == 0)
			continue;
		slack = (int32_t)lane_slack (l, now_ms);
		if (out->waiting[t] == 0 || slack < out->slack_ms[t])
			out->slack_ms[t] = slack;
		out->waiting[t] += l->queued;
	}
}

const struct adm_class_stats *
adm_stats (const struct adm *a, const struct bb_class *klass)
{
	const struct adm_class *c = g_hash_table_lookup (a->classes, klass);

	return c == NULL ? NULL : &c->stats;
}
