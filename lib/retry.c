/*
 * Retries: a budget for each class, and which requests may be sent again.
 */
#include "retry.h"

#define ONE_RETRY 1000              /* budget of one retry, in thousandths */
#define BUDGET_MAX (10 * ONE_RETRY) /* largest unused budget of a class */
#define BUDGET_START ONE_RETRY
#define RETRY_MIN_LEFT_MS 50 /* least time to the deadline for a retry */

/** struct retry_budget - retry budget of one class */
struct retry_budget {
	struct bb_class *klass;
	uint32_t left; /* in thousandths of a retry */
};

const char *
retry_why_name (enum retry_why why)
{
	switch (why) {
	case RETRY_ALLOWED:
		return "retry";
	case RETRY_RESUME:
		return "resume";
	case RETRY_NOT_REPEATABLE:
		return "not_repeatable";
	case RETRY_RESPONSE_STARTED:
		return "answered";
	case RETRY_NO_BUDGET:
		return "no_budget";
	case RETRY_TOO_LATE:
		return "too_late";
	case RETRY_TRIED_ALL:
		return "tried_all";
	}
	return "?";
}

bool
retry_allowed (enum retry_why why)
{
	return why == RETRY_ALLOWED || why == RETRY_RESUME;
}

static void
budget_free (gpointer p)
{
	struct retry_budget *b = p;

	b->klass->refs--;
	g_free (b);
}

void
retry_init (struct retry *r, uint16_t permille)
{
	r->budgets = g_hash_table_new_full (NULL, NULL, NULL, budget_free);
	r->budget_permille = permille;
}

void
retry_finish (struct retry *r)
{
	g_hash_table_destroy (r->budgets);
}

static struct retry_budget *
budget_get (struct retry *r, struct bb_class *klass)
{
	struct retry_budget *b = g_hash_table_lookup (r->budgets, klass);

	if (b == NULL) {
		b = g_new0 (struct retry_budget, 1);
		b->klass = klass;
		b->left = BUDGET_START;
		klass->refs++;
		g_hash_table_insert (r->budgets, klass, b);
	}
	return b;
}

void
retry_budget_refill (struct retry *r, struct bb_class *klass)
{
	struct retry_budget *b = budget_get (r, klass);

	b->left = MIN (b->left + r->budget_permille, BUDGET_MAX);
}

bool
retry_was_tried (const struct retry_req *q, const struct bb_ep *ep)
{
	for (uint32_t i = 0; i < q->tried_count; i++)
		if (q->tried[i] == ep->id)
			return true;
	return false;
}

void
retry_mark_tried (struct retry_req *q, const struct bb_ep *ep)
{
	if (q->tried_count < RETRY_TRIED_MAX && !retry_was_tried (q, ep))
		q->tried[q->tried_count++] = ep->id;
}

static bool
tried_all (const struct retry_req *q, const struct bb_pool *pool)
{
	if (q->tried_count >= RETRY_TRIED_MAX)
		return true;
	for (uint32_t i = 0; i < pool->ep_count; i++)
		if (!retry_was_tried (q, pool->eps[i]))
			return false;
	return true;
}

enum retry_why
retry_decide (struct retry *r, struct retry_req *q, struct bb_class *klass,
	      const struct bb_pool *pool, const struct bb_ep *ep, bool sent,
	      uint64_t now_ms)
{
	struct retry_budget *b = budget_get (r, klass);

	retry_mark_tried (q, ep);
	if (sent && !q->repeatable)
		return RETRY_NOT_REPEATABLE;
	if (q->response_started && !q->resumable)
		return RETRY_RESPONSE_STARTED;
	if (now_ms + RETRY_MIN_LEFT_MS > q->deadline_ms)
		return RETRY_TOO_LATE;
	if (tried_all (q, pool))
		return RETRY_TRIED_ALL;
	if (sent && b->left < ONE_RETRY)
		return RETRY_NO_BUDGET;
	if (sent)
		b->left -= ONE_RETRY;
	return q->response_started ? RETRY_RESUME : RETRY_ALLOWED;
}
