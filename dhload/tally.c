/*
 * Counts a run's requests, and what follows from the counts.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "tally.h"

static uint32_t
bucket_of (uint64_t us)
{
	uint32_t shift;

	if (us < TALLY_HIST_SUB)
		return (uint32_t)us;
	shift = (uint32_t)(63 - __builtin_clzll (us)) - 5;
	return MIN ((shift + 1) * TALLY_HIST_SUB +
			    (uint32_t)((us >> shift) - TALLY_HIST_SUB),
		    TALLY_HIST_BUCKETS - 1);
}

/* The middle of a bucket. */
static uint64_t
bucket_value (uint32_t b)
{
	uint32_t shift;

	if (b < TALLY_HIST_SUB * 2)
		return b;
	shift = b / TALLY_HIST_SUB - 1;
	return ((uint64_t)(b % TALLY_HIST_SUB + TALLY_HIST_SUB) << shift) +
	       ((1ULL << shift) >> 1);
}

void
tally_hist_add (struct tally_hist *h, uint64_t us)
{
	h->count++;
	h->sum += us;
	h->max = MAX (h->max, us);
	h->buckets[bucket_of (us)]++;
}

uint64_t
tally_hist_at (const struct tally_hist *h, double q)
{
	uint64_t want = (uint64_t)((double)h->count * q), seen = 0;

	for (uint32_t b = 0; b < TALLY_HIST_BUCKETS; b++) {
		seen += h->buckets[b];
		if (seen > want)
			return bucket_value (b);
	}
	return h->max;
}

const char *
tally_outcome_name (enum tally_outcome o)
{
	static const char *const names[TALLY_OUTCOMES] = {
		[TALLY_WHOLE] = "whole",   [TALLY_REFUSED] = "refused",
		[TALLY_FAILED] = "failed", [TALLY_CUT] = "cut",
		[TALLY_WRONG] = "wrong",   [TALLY_UNFINISHED] = "unfinished",
	};

	return names[o];
}

void
tally_init (struct tally *t, const struct scen *scen)
{
	memset (t, 0, sizeof *t);
	t->scen = scen;
	t->classes = g_new0 (struct tally_class, scen->classes->len);
	t->accounts = g_new0 (struct tally_account,
			      scen->classes->len * scen->accounts->len);
	t->slice_count = (uint32_t)(scen->duration_s / TALLY_SLICE_S) + 1;
	t->slices = g_new0 (struct tally_account, (gsize)t->slice_count *
							  scen->classes->len *
							  scen->accounts->len);
	t->first = g_new0 (struct tally_standin, scen->standins->len + 1);
	t->last = g_new0 (struct tally_standin, scen->standins->len + 1);
	t->errors =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
tally_finish (struct tally *t)
{
	g_free (t->classes);
	g_free (t->accounts);
	g_free (t->slices);
	g_free (t->first);
	g_free (t->last);
	g_hash_table_destroy (t->errors);
}

static bool
in_time (uint64_t us, double target_ms)
{
	return target_ms <= 0 || (double)us <= target_ms * 1000;
}

static void
add_whole (struct tally *t, struct tally_class *c, struct tally_account *a,
	   const struct tally_request *r)
{
	const struct scen_class *k = &g_array_index (
		t->scen->classes, struct scen_class, r->class_ix);
	uint64_t between =
		r->tokens > 1 ? (r->total_us - r->ttft_us) / (r->tokens - 1)
			      : 0;
	bool first = in_time (r->ttft_us, k->ttft_ms);
	bool rest = r->call || in_time (between, k->itl_ms);

	c->ttft_ok += first;
	c->itl_ok += rest;
	c->tokens_whole += r->tokens;
	a->tokens_whole += r->tokens;
	tally_hist_add (&c->total, r->total_us);
	if (!first || !rest)
		return;
	c->attained++;
	a->attained++;
	c->tokens_attained += r->tokens;
	if (r->at_s < TALLY_BINS_MAX)
		c->bins[(uint32_t)r->at_s].attained++;
}

static struct tally_account *
slice_of (struct tally *t, const struct tally_request *r)
{
	uint32_t k =
		MIN ((uint32_t)(r->at_s / TALLY_SLICE_S), t->slice_count - 1);

	return &t->slices[(k * t->scen->classes->len + r->class_ix) *
				  t->scen->accounts->len +
			  r->account_ix];
}

void
tally_add (struct tally *t, const struct tally_request *r)
{
	struct tally_class *c = &t->classes[r->class_ix];
	struct tally_account *a =
		&t->accounts[r->class_ix * t->scen->accounts->len +
			     r->account_ix];

	struct tally_account *slice = slice_of (t, r);

	c->offered++;
	a->offered++;
	a->tokens_asked += r->asked;
	slice->tokens_asked += r->asked;
	if (r->outcome == TALLY_WHOLE)
		slice->tokens_whole += r->tokens;
	c->outcomes[r->outcome]++;
	if (r->at_s < TALLY_BINS_MAX)
		c->bins[(uint32_t)r->at_s].offered++;
	if (r->ttft_us > 0)
		tally_hist_add (&c->ttft, r->ttft_us);
	if (r->outcome == TALLY_WHOLE)
		add_whole (t, c, a, r);
	else
		c->tokens_cut += r->tokens;
}

void
tally_error (struct tally *t, const char *name)
{
	gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (t->errors, name));

	g_hash_table_insert (t->errors, g_strdup (name),
			     GSIZE_TO_POINTER (n + 1));
}

void
tally_why (struct tally *t, const char *fmt, ...)
{
	va_list ap;

	if (t->why_count >= TALLY_WHY_MAX)
		return;
	va_start (ap, fmt);
	vsnprintf (t->why[t->why_count++], sizeof t->why[0], fmt, ap);
	va_end (ap);
}

uint64_t
tally_wrong (const struct tally *t)
{
	uint64_t n = t->false_not_run + t->ran_twice + t->lost_calls +
		     t->credentials;

	for (guint i = 0; i < t->scen->classes->len; i++)
		n += t->classes[i].outcomes[TALLY_WRONG];
	return n;
}

/*
 * The level (tokens for each unit of weight) at which the accounts, each
 * filled up to its demand, use up all that was delivered.
 */
static double
water_level (const struct tally *t, const struct tally_account *a, double total)
{
	const GArray *list = t->scen->accounts;
	double low = 0, high = 1;

	for (guint i = 0; i < list->len; i++) {
		double w = g_array_index (list, struct scen_account, i).weight;

		high = MAX (high, (double)a[i].tokens_asked / MAX (w, 1e-9));
	}
	for (int step = 0; step < 60; step++) {
		double mid = (low + high) / 2, used = 0;

		for (guint i = 0; i < list->len; i++) {
			double w = g_array_index (list, struct scen_account, i)
					   .weight;

			used += MIN (mid * w, (double)a[i].tokens_asked);
		}
		if (used < total)
			low = mid;
		else
			high = mid;
	}
	return high;
}

/* Add each account's fair share of what @a says was delivered. */
static void
add_fair (const struct tally *t, const struct tally_account *a, double *fair)
{
	const GArray *list = t->scen->accounts;
	double total = 0, level;

	for (guint i = 0; i < list->len; i++)
		total += (double)a[i].tokens_whole;
	level = water_level (t, a, total);
	for (guint i = 0; i < list->len; i++) {
		double w = g_array_index (list, struct scen_account, i).weight;

		fair[i] += MIN (level * w, (double)a[i].tokens_asked);
	}
}

double
tally_worst (const struct tally *t, uint32_t class_ix, bool whole_run,
	     uint32_t *account_ix)
{
	guint n = t->scen->accounts->len, classes = t->scen->classes->len;
	const struct tally_account *a = &t->accounts[class_ix * n];
	double *fair = g_new0 (double, n), worst = -1;

	if (whole_run)
		add_fair (t, a, fair);
	for (guint k = 0; !whole_run && k < t->slice_count; k++)
		add_fair (t, &t->slices[(k * classes + class_ix) * n], fair);
	for (guint i = 0; i < n; i++) {
		double got = (double)a[i].tokens_whole / MAX (fair[i], 1);

		if (fair[i] < 1 || (worst >= 0 && got >= worst))
			continue;
		worst = got;
		*account_ix = i;
	}
	g_free (fair);
	return worst;
}

double
tally_weighted (const struct tally *t)
{
	double sum = 0, weights = 0;

	for (guint i = 0; i < t->scen->classes->len; i++) {
		const struct tally_class *c = &t->classes[i];
		double w =
			g_array_index (t->scen->classes, struct scen_class, i)
				.weight;

		if (c->offered == 0)
			continue;
		sum += w * (double)c->attained / (double)c->offered;
		weights += w;
	}
	return weights > 0 ? sum / weights : 0;
}
