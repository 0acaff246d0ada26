/*
 * Sequential test of a new version's answers.
 */
#include <math.h>
#include <string.h>

#include "rollout_judge.h"

/* Portions of bad answers that the test looks for. */
static const double portions[ROLLOUT_PORTIONS] = {0.02, 0.05, 0.12,
						  0.3,  0.6,  0.95};

/* Prior weights of the tests, with a sum of 1: failures and slowness by three
 * levels over all routes, then failures and slowness by two levels by route. */
#define WEIGHT_FAILURES 0.35
#define WEIGHT_SLOW 0.08
#define WEIGHT_ROUTE_FAILURES (0.25 / ROLLOUT_ROUTES)
#define WEIGHT_ROUTE_SLOW (0.08 / ROLLOUT_ROUTES)

/* Where the tests stand: failures, then the levels of slowness; by route
 * failures, then two levels of slowness. */
#define TEST_SLOW 1
#define TEST_ROUTE_FAILURES (TEST_SLOW + ROLLOUT_SLOW_LEVELS)
#define TEST_ROUTE_SLOW (TEST_ROUTE_FAILURES + ROLLOUT_ROUTES)

/* Half of the prior is on badness from the start on. */
#define WEIGHT_FIRST_EPOCH 0.5

/* Largest factor by which one epoch raises a value.  Failures and slow answers
 * at one endpoint are not independent of each other. */
#define FAILURES_EPOCH_FACTOR 60
#define SLOW_EPOCH_FACTOR 20

/* Failures of a sound version that the old one doesn't show, e.g. the loss of
 * an endpoint. */
#define FAILURE_FLOOR 0.002

/* Assumed where the old version has no answers to compare with. */
#define FAILURE_UNKNOWN 0.02

#define FAILURE_MARGIN 1.2

/* An answer is slow if it is above the old version's quantile.  The rate that
 * is allowed for is higher, since a new endpoint's load differs a little, and a
 * quantile of few answers is not known well.  The low level shows that all
 * answers are slower, the high one that few are much slower. */
static const struct level {
	double quantile; /* of the old version's answers are slow at most */
	double floor;    /* least rate allowed for */
	double margin;
	double min_answers; /* old ones, on the route and in the class */
	bool by_route;
} levels[ROLLOUT_SLOW_LEVELS] = {{0.35, 0.45, 1.25, 8, true},
				 {0.10, 0.15, 1.5, 8, true},
				 {0.02, 0.04, 1.5, 50, false}};

/* Old answers needed to know an epoch's own rate. */
#define EPOCH_MIN_ANSWERS 5

/* A domain is out where the old version fails so often in it. */
#define DOMAIN_OUT_FAILURES 2
#define DOMAIN_OUT_SHARE 0.2

/* Slowness counts while the old version gets this share of the answers, as many
 * as are needed to tell a slow version from a slow moment. */
#define OLD_MIN_SHARE 0.2

void
rollout_judge_init (struct rollout_judge *j, uint64_t duration_ms,
		    uint64_t now_ms)
{
	uint64_t later = MAX (1, duration_ms / ROLLOUT_EPOCH_MS);

	memset (j, 0, sizeof *j);
	for (int i = 0; i < 3; i++) {
		j->epochs[i].domains = g_array_new (
			FALSE, TRUE, sizeof (struct rollout_domain));
	}
	j->open_until_ms = now_ms + ROLLOUT_EPOCH_MS;
	j->later_weight = (1 - WEIGHT_FIRST_EPOCH) / (double)later;
}

void
rollout_judge_finish (struct rollout_judge *j)
{
	for (int i = 0; i < 3; i++)
		g_array_free (j->epochs[i].domains, TRUE);
}

static uint32_t
route_index (struct rollout_judge *j, uint64_t route)
{
	for (uint32_t i = 0; i < j->route_count; i++) {
		if (j->routes[i] == route)
			return i;
	}
	if (j->route_count < ROLLOUT_ROUTES)
		j->routes[j->route_count++] = route;
	return j->route_count - 1;
}

static struct rollout_domain *
domain_find (const struct rollout_epoch *e, uint64_t domain, uint32_t route)
{
	for (guint i = 0; i < e->domains->len; i++) {
		struct rollout_domain *d =
			&g_array_index (e->domains, struct rollout_domain, i);

		if (d->domain == domain && d->route == route)
			return d;
	}
	return NULL;
}

static struct rollout_counts *
domain_counts (struct rollout_epoch *e, uint64_t domain, uint32_t route)
{
	struct rollout_domain fresh = {.domain = domain, .route = route};

	if (domain_find (e, domain, route) == NULL)
		g_array_append_val (e->domains, fresh);
	return &domain_find (e, domain, route)->counts;
}

static void
counts_add (struct rollout_counts *to, bool is_new, uint64_t answers,
	    uint64_t failures, const uint32_t *times)
{
	to->answers[is_new] += answers;
	to->failures[is_new] += failures;
	for (int i = 0; i < ROLLOUT_CELLS; i++)
		to->times[is_new][i] += times[i];
}

void
rollout_judge_add (struct rollout_judge *j, uint64_t route, uint64_t domain,
		   bool is_new, uint64_t answers, uint64_t failures,
		   const uint32_t *times)
{
	uint32_t r = route_index (j, route);

	counts_add (domain_counts (&j->epochs[2], domain, r), is_new, answers,
		    failures, times);
	counts_add (&j->total[r], is_new, answers, failures, times);
	j->changed = true;
}

/* Whether the old version fails in @domain at this time, by all epochs that are
 * kept: in one alone it may have few answers. */
static bool
domain_is_out (const struct rollout_judge *j, uint64_t domain)
{
	uint64_t answers = 0, failures = 0;

	for (guint i = 0; i < 3 * ROLLOUT_ROUTES; i++) {
		const struct rollout_epoch *e = &j->epochs[i % 3];
		const struct rollout_domain *d = domain_find (e, domain, i / 3);

		if (d != NULL) {
			answers += d->counts.answers[0];
			failures += d->counts.failures[0];
		}
	}
	return failures >= DOMAIN_OUT_FAILURES &&
	       (double)failures >= DOMAIN_OUT_SHARE * (double)answers;
}

/* Adds an epoch's answers by route, without those of domains that are out:
 * they tell nothing of either version. */
static void
epoch_sum (const struct rollout_judge *j, int at, struct rollout_counts *out)
{
	const GArray *list = j->epochs[at].domains;

	for (guint i = 0; i < list->len; i++) {
		const struct rollout_domain *d =
			&g_array_index (list, struct rollout_domain, i);
		const struct rollout_counts *c = &d->counts;

		if (domain_is_out (j, d->domain))
			continue;
		for (int v = 0; v < 2; v++)
			counts_add (&out[d->route], v, c->answers[v],
				    c->failures[v], c->times[v]);
	}
}

/* A rate that the true one exceeds rarely, after @hits of @of. */
static double
upper_rate (double hits, double of, double margin)
{
	return (hits + 1.5 * sqrt (hits)) * margin / of;
}

/* The rate at this time: @usual, unless the old version's @hits of @of show
 * that it is higher now. */
static double
current_rate (double usual, double hits, double of, double margin)
{
	double expected = usual * of;

	if (of < EPOCH_MIN_ANSWERS || hits < expected + 2 * sqrt (expected) + 1)
		return usual;
	return MAX (usual, upper_rate (hits, of, margin));
}

/* Adds the log likelihood ratios of @bad of @n answers being bad. */
static void
add_ratios (double bad, double n, double rate, double *logs)
{
	rate = MIN (rate, 0.97);
	for (int k = 0; k < ROLLOUT_PORTIONS && n > 0; k++) {
		double p = rate + (1 - rate) * portions[k];

		p = MIN (p, 0.995);
		logs[k] += bad * log (p / rate) +
			   (n - bad) * log ((1 - p) / (1 - rate));
	}
}

/* The rate at which a sound version's answers fail on route @r. */
static double
failure_rate (const struct rollout_judge *j, uint32_t r,
	      const struct rollout_counts *window)
{
	double answers = 0, failures = 0, now_answers = 0, now_failures = 0;
	double rate = FAILURE_FLOOR;

	for (uint32_t i = 0; i < j->route_count; i++) {
		answers += (double)j->total[i].answers[0];
		failures += (double)j->total[i].failures[0];
		now_answers += (double)window[i].answers[0];
		now_failures += (double)window[i].failures[0];
	}
	if (answers < 1)
		return FAILURE_UNKNOWN;
	/* One more than was seen: none in a hundred says little of one in a
	 * hundred. */
	rate = MAX (rate, upper_rate (failures + 1, answers, FAILURE_MARGIN));
	rate = MIN (rate, 0.9);
	rate = current_rate (rate, now_failures, now_answers, FAILURE_MARGIN);
	rate = current_rate (rate, (double)j->total[r].failures[0],
			     (double)j->total[r].answers[0], FAILURE_MARGIN);
	return current_rate (rate, (double)window[r].failures[0],
			     (double)window[r].answers[0], FAILURE_MARGIN);
}

static double
sum_above (const uint32_t *times, uint32_t bucket)
{
	double n = 0;

	for (uint32_t b = bucket; b < ROLLOUT_BUCKETS; b++)
		n += times[b];
	return n;
}

/* How slowness is told on one route, for one class of prompt sizes. */
struct slowness {
	uint32_t bucket; /* answers from this one on are slow; 0: not known */
	double rate;     /* at which a sound version's are */
	double now_slow, now_all; /* old answers of the window */
};

static struct slowness
slowness_of (const uint32_t *total, const uint32_t *window,
	     const struct level *v)
{
	double all = sum_above (total, 0);
	struct slowness s = {0};
	uint32_t b = ROLLOUT_BUCKETS;

	if (all < v->min_answers)
		return s;
	while (b > 1 && sum_above (total, b - 1) <= v->quantile * all)
		b--;
	/* Without a bucket above them none would count as slow. */
	s.bucket = MIN (b, ROLLOUT_BUCKETS - 1);
	s.rate = MAX (v->floor, 2 / (all + 1));
	s.rate = MAX (s.rate,
		      upper_rate (sum_above (total, s.bucket), all, v->margin));
	s.now_slow = sum_above (window, s.bucket);
	s.now_all = sum_above (window, 0);
	return s;
}

/* Adds the ratios of slow answers by one level, to @by_route if it is set, and
 * their sum to @pooled. */
static void
add_slow (const struct rollout_judge *j, const struct rollout_counts *epoch,
	  const struct rollout_counts *window, const struct level *v,
	  double (*by_route)[ROLLOUT_PORTIONS], double *pooled)
{
	struct slowness s[ROLLOUT_ROUTES * ROLLOUT_CLASSES];
	uint32_t n = j->route_count * ROLLOUT_CLASSES;
	double slow = 0, all = 0, usual = 0, all_rate = 0;

	for (uint32_t i = 0; i < n; i++) {
		uint32_t r = i / ROLLOUT_CLASSES;
		uint32_t at = i % ROLLOUT_CLASSES * ROLLOUT_BUCKETS;

		s[i] = slowness_of (j->total[r].times[0] + at,
				    window[r].times[0] + at, v);
		slow += s[i].now_slow;
		all += s[i].now_all;
		usual += s[i].rate * s[i].now_all;
	}
	/* A moment in which the old version is slow shows in the sum first. */
	if (all > 0)
		all_rate = current_rate (usual / all, slow, all, v->margin);
	for (uint32_t i = 0; i < n; i++) {
		uint32_t r = i / ROLLOUT_CLASSES;
		const uint32_t *fresh = epoch[r].times[1] +
					i % ROLLOUT_CLASSES * ROLLOUT_BUCKETS;
		double logs[ROLLOUT_PORTIONS] = {0};

		if (s[i].bucket == 0)
			continue;
		if (all_rate > usual / all)
			s[i].rate = MAX (s[i].rate, all_rate);
		s[i].rate = current_rate (s[i].rate, s[i].now_slow,
					  s[i].now_all, v->margin);
		add_ratios (sum_above (fresh, s[i].bucket),
			    sum_above (fresh, 0), s[i].rate, logs);
		for (int k = 0; k < ROLLOUT_PORTIONS; k++) {
			pooled[k] += logs[k];
			if (by_route != NULL)
				by_route[r][k] += logs[k];
		}
	}
}

static bool
old_is_compared (const struct rollout_judge *j,
		 const struct rollout_counts *window)
{
	double old = 0, fresh = 0;

	for (uint32_t i = 0; i < j->route_count; i++) {
		old += (double)window[i].answers[0];
		fresh += (double)window[i].answers[1];
	}
	return old >= OLD_MIN_SHARE * fresh;
}

/* The log likelihood ratios of an epoch, by test; @window is the epoch with its
 * neighbours, since a relay may report old answers later than new ones. */
static void
epoch_ratios (const struct rollout_judge *j, const struct rollout_counts *epoch,
	      const struct rollout_counts *window,
	      double logs[ROLLOUT_TESTS][ROLLOUT_PORTIONS])
{
	memset (logs, 0, ROLLOUT_TESTS * sizeof logs[0]);
	for (uint32_t r = 0; r < j->route_count; r++) {
		double *fail = logs[TEST_ROUTE_FAILURES + r];

		add_ratios ((double)epoch[r].failures[1],
			    (double)epoch[r].answers[1],
			    failure_rate (j, r, window), fail);
		for (int k = 0; k < ROLLOUT_PORTIONS; k++)
			logs[0][k] += fail[k];
	}
	if (!old_is_compared (j, window))
		return;
	for (int v = 0; v < ROLLOUT_SLOW_LEVELS; v++)
		add_slow (j, epoch, window, &levels[v],
			  levels[v].by_route
				  ? logs + TEST_ROUTE_SLOW + v * ROLLOUT_ROUTES
				  : NULL,
			  logs[TEST_SLOW + v]);
}

static bool
is_failure_test (int t)
{
	return t == 0 || (t >= TEST_ROUTE_FAILURES && t < TEST_ROUTE_SLOW);
}

/* Multiplies an epoch into the values; @first: it is the first of all. */
static void
multiply (const struct rollout_judge *j,
	  double values[ROLLOUT_TESTS][ROLLOUT_PORTIONS], uint32_t at,
	  const struct rollout_counts *window)
{
	struct rollout_counts epoch[ROLLOUT_ROUTES];
	double logs[ROLLOUT_TESTS][ROLLOUT_PORTIONS];
	double start =
		at + j->closed == 1 ? WEIGHT_FIRST_EPOCH : j->later_weight;

	memset (epoch, 0, sizeof epoch);
	epoch_sum (j, (int)at, epoch);
	epoch_ratios (j, epoch, window, logs);
	for (int t = 0; t < ROLLOUT_TESTS; t++) {
		double most = log (is_failure_test (t) ? FAILURES_EPOCH_FACTOR
						       : SLOW_EPOCH_FACTOR);

		for (int k = 0; k < ROLLOUT_PORTIONS; k++) {
			values[t][k] = (values[t][k] + start) *
				       exp (MIN (logs[t][k], most));
			/* Far beyond any limit, and no overflow follows. */
			values[t][k] = MIN (values[t][k], 1e200);
		}
	}
}

static double
weight (int t)
{
	if (t < TEST_ROUTE_FAILURES)
		return t == 0 ? WEIGHT_FAILURES : WEIGHT_SLOW;
	return is_failure_test (t) ? WEIGHT_ROUTE_FAILURES : WEIGHT_ROUTE_SLOW;
}

/* Closes the pending epoch: the one after it is complete. */
static void
roll (struct rollout_judge *j)
{
	struct rollout_counts window[ROLLOUT_ROUTES];
	struct rollout_epoch oldest = j->epochs[0];

	memset (window, 0, sizeof window);
	for (int i = 0; i < 3; i++)
		epoch_sum (j, i, window);
	multiply (j, j->values, 1, window);
	j->closed++;
	j->epochs[0] = j->epochs[1];
	j->epochs[1] = j->epochs[2];
	j->epochs[2] = oldest;
	g_array_set_size (j->epochs[2].domains, 0);
}

double
rollout_judge_value (struct rollout_judge *j, uint64_t now_ms)
{
	struct rollout_counts window[ROLLOUT_ROUTES];
	double values[ROLLOUT_TESTS][ROLLOUT_PORTIONS];

	while (now_ms >= j->open_until_ms) {
		roll (j);
		/* After a pause of the process the epochs missed are empty. */
		j->open_until_ms =
			MAX (j->open_until_ms + ROLLOUT_EPOCH_MS,
			     now_ms - MIN (now_ms, 4 * ROLLOUT_EPOCH_MS));
		j->changed = true;
	}
	if (!j->changed)
		return j->value;
	j->changed = false;
	memset (window, 0, sizeof window);
	for (int i = 0; i < 3; i++)
		epoch_sum (j, i, window);
	memcpy (values, j->values, sizeof values);
	multiply (j, values, 1, window);
	multiply (j, values, 2, window);
	j->value = 0;
	for (int t = 0; t < ROLLOUT_TESTS; t++) {
		for (int k = 0; k < ROLLOUT_PORTIONS; k++)
			j->value +=
				weight (t) / ROLLOUT_PORTIONS * values[t][k];
	}
	return j->value;
}

uint64_t
rollout_judge_answers (const struct rollout_judge *j, bool is_new)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < j->route_count; i++)
		n += j->total[i].answers[is_new];
	return n;
}
