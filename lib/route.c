/*
 * Endpoint selection: which endpoints are eligible for a request, and the
 * decision with its reasons.
 */
#include <stdio.h>
#include <string.h>

#include "route.h"
#include "route_cache.h"

#define RESERVE_TIERS 2 /* highest tiers that may use the reserve */

static const char *const why_names[ROUTE_WHY_COUNT] = {
	[ROUTE_CHOSEN] = "chosen",       [ROUTE_PROBE] = "probe",
	[ROUTE_DOWN] = "down",           [ROUTE_LEAVING] = "leaving",
	[ROUTE_DRAINED] = "drained",     [ROUTE_RULE] = "rule",
	[ROUTE_RECLAIM] = "reclaim",     [ROUTE_EJECTED] = "ejected",
	[ROUTE_TRIED] = "tried",         [ROUTE_BUSY] = "busy",
	[ROUTE_NO_CREDIT] = "no_credit", [ROUTE_RESERVE] = "reserve",
	[ROUTE_WORSE] = "worse",         [ROUTE_NO_ENDPOINT] = "no_endpoint",
};

const char *
route_why_name (enum route_why why)
{
	return why < ROUTE_WHY_COUNT ? why_names[why] : "?";
}

void
route_init (struct route *r, struct bb *bb, const struct route_settings *set,
	    const struct route_ops *ops, GRand *rand)
{
	memset (r, 0, sizeof *r);
	r->bb = bb;
	r->settings = *set;
	r->ops = ops;
	r->rand = rand;
	route_cache_init (&r->cache);
}

void
route_finish (struct route *r)
{
	route_cache_finish (&r->cache);
}

static bool
rule_matches (const struct inv_rule *rule, const struct bb_account *account,
	      const struct bb_class *klass, const struct bb_pool *pool)
{
	if (rule->account[0] != '\0' &&
	    (account == NULL || strcmp (rule->account, account->name) != 0))
		return false;
	if (rule->klass[0] != '\0' &&
	    (klass == NULL || strcmp (rule->klass, klass->name) != 0))
		return false;
	return rule->model[0] == '\0' ||
	       (pool != NULL && strcmp (rule->model, pool->name) == 0);
}

static uint64_t
domain_bit (int32_t ix)
{
	return ix >= 0 && ix < 64 ? UINT64_C (1) << ix : 0;
}

void
route_rules (const struct bb *bb, const struct bb_account *account,
	     struct bb_class *klass, const struct bb_pool *pool,
	     struct route_rules *out)
{
	*out = (struct route_rules){.klass = klass};
	for (uint32_t i = 0; i < bb->inv->rule_count && !out->deny; i++) {
		const struct inv_rule *rule = &bb->inv->rules[i];

		if (!rule_matches (rule, account, out->klass, pool))
			continue;
		switch (rule->action) {
		case INV_RULE_CLASS:
			if (rule->target_ix >= 0)
				out->klass = bb->classes[rule->target_ix];
			break;
		case INV_RULE_DENY:
			out->deny = true;
			g_strlcpy (out->rule, rule->name, sizeof out->rule);
			break;
		case INV_RULE_AVOID:
			out->avoid |= domain_bit (rule->target_ix);
			break;
		case INV_RULE_ONLY:
			out->only |= domain_bit (rule->target_ix);
			break;
		case INV_RULE_NO_RECLAIMABLE:
			out->no_reclaimable = true;
			break;
		}
	}
}

static bool
rules_forbid (const struct route_rules *rules, const struct bb_ep *ep)
{
	uint64_t bit = domain_bit ((int32_t)ep->domain->ix);

	return rules != NULL &&
	       ((rules->avoid & bit) != 0 ||
		(rules->only != 0 && (rules->only & bit) == 0) ||
		(rules->no_reclaimable && ep->inv->reclaimable));
}

/* While a reclaim is under way, part of the credits is reserved for requests
 * of high tiers, which are retried after the loss of their endpoints. */
static bool
is_reserved (const struct route *r, const struct route_req *q,
	     const struct bb_ep *ep, uint64_t now_ms)
{
	if (now_ms >= r->reserve_until_ms ||
	    q->klass->def.tier <= RESERVE_TIERS)
		return false;
	return (ep->in_flight + 1) * 1000 >
	       ep->credits * (1000 - r->reserve_permille);
}

/* Returns ROUTE_WORSE if the endpoint is eligible, else the reason why not. */
static enum route_why
ep_eligible (const struct route *r, const struct route_req *q,
	     const struct bb_ep *ep, uint64_t now_ms)
{
	if (ep->inv == NULL || ep->down)
		return ROUTE_DOWN;
	if (ep->leaving)
		return ROUTE_LEAVING;
	if (!bb_ep_available (ep))
		return ROUTE_DRAINED;
	if (rules_forbid (q->rules, ep))
		return ROUTE_RULE;
	if (ep->inv->reclaimable && now_ms < ep->domain->reclaim_until_ms)
		return ROUTE_RECLAIM;
	if (q->tried != NULL && retry_was_tried (q->tried, ep))
		return ROUTE_TRIED;
	if (ep->probing && (now_ms < ep->ejected_until_ms || ep->in_flight > 0))
		return ROUTE_EJECTED;
	if (now_ms < ep->exclusive_until_ms ||
	    (q->exclusive && (ep->in_flight > 0 || bb_ep_load (ep) > 0)))
		return ROUTE_BUSY;
	if (!r->ops->uses_credits)
		return ROUTE_WORSE;
	if (!bb_ep_has_credit (ep, now_ms))
		return ROUTE_NO_CREDIT;
	return is_reserved (r, q, ep, now_ms) ? ROUTE_RESERVE : ROUTE_WORSE;
}

/* Ejected endpoints are used as a last resort, if no other one is left.  If
 * an endpoint merely lacks a credit, the request waits for it instead, because
 * a credit will be free soon. */
static uint32_t
eligible_ejected (const struct route *r, struct route_verdict *v,
		  uint32_t *open, uint64_t now_ms)
{
	uint32_t count = 0;

	if (v->why != ROUTE_EJECTED)
		return 0;
	for (uint32_t i = 0; i < v->cand_count; i++) {
		const struct route_cand *c = &v->cand[i];

		if (c->why == ROUTE_EJECTED &&
		    (!r->ops->uses_credits || bb_ep_has_credit (c->ep, now_ms)))
			open[count++] = i;
	}
	return count;
}

void
route_choose (struct route *r, const struct route_req *q, uint64_t now_ms,
	      struct route_verdict *v)
{
	uint32_t open[ROUTE_CANDS_MAX];
	uint32_t count = 0;
	struct route_cand *c;

	v->ep = NULL;
	v->why = ROUTE_NO_ENDPOINT;
	v->policy = r->ops->name;
	v->cand_count = MIN (q->pool->ep_count, ROUTE_CANDS_MAX);
	for (uint32_t i = 0; i < v->cand_count; i++) {
		struct bb_ep *ep = q->pool->eps[i];

		v->cand[i] = (struct route_cand){.ep = ep};
		v->cand[i].why = ep_eligible (r, q, ep, now_ms);
		if (v->cand[i].why == ROUTE_WORSE)
			open[count++] = i;
		else if (v->why == ROUTE_NO_ENDPOINT || v->cand[i].why > v->why)
			v->why = v->cand[i].why;
	}
	if (count == 0)
		count = eligible_ejected (r, v, open, now_ms);
	if (count == 0)
		return;
	c = &v->cand[r->ops->choose (r, q, v, open, count, now_ms)];
	c->why = c->ep->probing ? ROUTE_PROBE : ROUTE_CHOSEN;
	v->ep = c->ep;
	v->why = c->why;
}

enum route_why
route_available (struct route *r, const struct route_req *q, uint64_t now_ms)
{
	enum route_why mildest = ROUTE_NO_ENDPOINT;

	for (uint32_t i = 0; i < q->pool->ep_count; i++) {
		const struct bb_ep *ep = q->pool->eps[i];
		enum route_why why = ep_eligible (r, q, ep, now_ms);

		if (why == ROUTE_WORSE)
			return ROUTE_CHOSEN;
		if (mildest == ROUTE_NO_ENDPOINT || why > mildest)
			mildest = why;
	}
	if (mildest != ROUTE_EJECTED)
		return mildest;
	for (uint32_t i = 0; i < q->pool->ep_count; i++)
		if (ep_eligible (r, q, q->pool->eps[i], now_ms) ==
			    ROUTE_EJECTED &&
		    (!r->ops->uses_credits ||
		     bb_ep_has_credit (q->pool->eps[i], now_ms)))
			return ROUTE_CHOSEN;
	return mildest;
}

void
route_sent (struct route *r, const struct route_req *q, struct bb_ep *ep)
{
	for (uint32_t i = 0; i < q->prefix_count; i++)
		route_cache_add (&r->cache, q->prefix[i], ep->id);
}

void
route_cache_hint (struct route *r, struct bb_ep *ep, uint64_t hash, bool held)
{
	if (held)
		route_cache_add (&r->cache, hash, ep->id);
	else
		route_cache_del (&r->cache, hash, ep->id);
}

void
route_forget_endpoint (struct route *r, const struct bb_ep *ep)
{
	route_cache_drop_endpoint (&r->cache, ep->id);
}

void
route_format (const struct route_verdict *v, char out[ROUTE_FORMAT_BYTES])
{
	size_t at = 0;

	out[0] = '\0';
	for (uint32_t i = 0; i < v->cand_count; i++) {
		const struct route_cand *c = &v->cand[i];
		int n = snprintf (out + at, ROUTE_FORMAT_BYTES - at,
				  "%s%s:%s:%.0f", i == 0 ? "" : ",",
				  c->ep->name, route_why_name (c->why),
				  c->score_ms);

		if (n < 0 || (size_t)n >= ROUTE_FORMAT_BYTES - at) {
			out[at] = '\0'; /* omit the truncated item */
			return;
		}
		at += (size_t)n;
	}
}
