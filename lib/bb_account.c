/*
 * Limits of a client account at one entry: its quota share, and the token
 * bucket of its rate limit.
 */
#include "bb.h"

#define NO_RATE_RETRY_MS 1000 /* retry delay if this entry's rate is zero */

/* Capacity of the bucket in tokens. */
static double
bucket_size (uint32_t rate_milli)
{
	return rate_milli == 0 ? 0 : MAX (rate_milli / 1000.0, 1);
}

/* Adds the tokens up to @until_ms at one rate, and cuts the bucket to the
 * capacity of that rate. */
static void
accrue (struct bb_account *a, uint32_t rate_milli, uint64_t until_ms)
{
	if (until_ms > a->tokens_ms) {
		a->tokens +=
			(double)(until_ms - a->tokens_ms) * rate_milli / 1e6;
		a->tokens_ms = until_ms;
	}
	a->tokens = MIN (a->tokens, bucket_size (rate_milli));
}

/* Refills the bucket up to now, at the borrowed rate until the loans expired
 * and at the base rate after that.  A process that was stopped in between thus
 * gets no borrowed tokens for the time after the expiry. */
static void
refill (struct bb_account *a, uint64_t now_ms)
{
	if (a->quota.rate_milli == BB_NO_LIMIT) {
		a->tokens = 0;
		a->tokens_ms = now_ms;
		return;
	}
	if (a->tokens_ms == 0) {
		a->tokens = bucket_size (a->quota.rate_milli);
		a->tokens_ms = now_ms;
	}
	accrue (a, a->quota.rate_milli, MIN (now_ms, a->quota_until_ms));
	if (now_ms >= a->quota_until_ms)
		accrue (a, a->base_quota.rate_milli, now_ms);
}

void
bb_account_set_quota (struct bb_account *a, const struct bb_quota *quota,
		      const struct bb_quota *base_quota, uint64_t until_ms,
		      uint64_t now_ms)
{
	refill (a, now_ms);
	a->quota = *quota;
	a->base_quota = *base_quota;
	a->quota_until_ms = until_ms;
}

bool
bb_account_rate_allows (struct bb_account *a, uint64_t now_ms, double *retry_ms)
{
	uint32_t rate_milli;

	if (a->quota.rate_milli == BB_NO_LIMIT)
		return true;
	refill (a, now_ms);
	rate_milli = now_ms < a->quota_until_ms ? a->quota.rate_milli
						: a->base_quota.rate_milli;
	*retry_ms = rate_milli > 0 ? (1 - a->tokens) * 1e6 / rate_milli
				   : NO_RATE_RETRY_MS;
	return a->tokens >= 1;
}

uint32_t
bb_account_concurrency (const struct bb_account *a, uint64_t now_ms)
{
	return now_ms < a->quota_until_ms ? a->quota.concurrency
					  : a->base_quota.concurrency;
}
