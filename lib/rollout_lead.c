/*
 * The leader's part of a rollout: budget, grants and change of state.
 */
#include <string.h>

#include "rollout_lead.h"

/* Window over which a relay's rate of requests is measured. */
#define RATE_WINDOW_MS 400

/* A relay that did not report for so long gets no new grant: it would expire
 * with those that it has. */
#define REPORT_TIMEOUT_MS 1000

/* Unused grants that a relay may hold: one, a few if it sends them soon, and
 * what it sends between two reports if it has most of the traffic. */
#define UNUSED_FEW_S 0.4
#define UNUSED_MIN 3
#define UNUSED_RATE_S 0.1

/* Until the old version has been seen, the new one gets a portion of what has
 * arrived, so that there are answers of both to compare. */
#define START_ISSUED 5
#define START_SHARE 0.3

/* Where each relay gets less than one request per second, the next request
 * rarely comes to a relay that was given a grant.  Relays without traffic get
 * one each then, up to a portion of the bound, and a portion of them beside
 * what START_SHARE allows. */
#define IDLE_SHARE 0.9
#define IDLE_START_SHARE 0.125
#define IDLE_RATE 0.001

/* Portion of the time limit before which SHIFTING does not end: badness under
 * load shows first here, and SUCCEEDED can't be taken back. */
#define SHIFTING_UNTIL 0.85

/* SUCCEEDED comes so much before the time limit, for the log and the next read:
 * a portion of it, within bounds. */
#define END_MARGIN_SHARE 0.08
#define END_MARGIN_MIN_MS 400
#define END_MARGIN_MAX_MS 2000

/* Relays report again to a new leader within this time; before, the lack of
 * answers says nothing. */
#define TAKEOVER_MS 700

static void
relay_free (void *p)
{
	struct rollout_relay *y = p;

	g_array_free (y->totals, TRUE);
	g_free (y);
}

static struct rollout_relay *
relay_get (struct rollout_lead *l, const char *relay)
{
	struct rollout_relay *y = g_hash_table_lookup (l->relays, relay);

	if (y != NULL)
		return y;
	y = g_new0 (struct rollout_relay, 1);
	y->totals = g_array_new (FALSE, TRUE, sizeof (struct rollout_totals));
	g_hash_table_insert (l->relays, g_strdup (relay), y);
	return y;
}

void
rollout_lead_init (struct rollout_lead *l, const struct rollout *r,
		   const struct rollout_limits *limits, uint64_t now_ms)
{
	*l = (struct rollout_lead){.id = r->id,
				   .limits = *limits,
				   .begun_ms = now_ms,
				   .taken_over = r->issued > 0 ||
						 r->state != ROLLOUT_RUNNING};
	l->relays = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
					   relay_free);
	rollout_judge_init (&l->judge, r->duration_ms, now_ms);
}

void
rollout_lead_finish (struct rollout_lead *l)
{
	g_hash_table_destroy (l->relays);
	rollout_judge_finish (&l->judge);
}

void
rollout_lead_link (struct rollout_lead *l, const char *relay)
{
	relay_get (l, relay)->linked = true;
}

void
rollout_lead_unlink (struct rollout_lead *l, const char *relay)
{
	struct rollout_relay *y = g_hash_table_lookup (l->relays, relay);

	if (y != NULL)
		y->linked = false;
}

static struct rollout_totals *
totals_get (struct rollout_relay *y, const struct rollout_evidence *ev)
{
	struct rollout_totals fresh = {
		.route = ev->route, .domain = ev->domain, .is_new = ev->is_new};

	for (guint i = 0; i < y->totals->len; i++) {
		struct rollout_totals *t =
			&g_array_index (y->totals, struct rollout_totals, i);

		if (t->route == ev->route && t->domain == ev->domain &&
		    t->is_new == ev->is_new)
			return t;
	}
	if (y->totals->len >= ROLLOUT_EVIDENCE_MAX)
		return NULL;
	g_array_append_val (y->totals, fresh);
	return &g_array_index (y->totals, struct rollout_totals,
			       y->totals->len - 1);
}

/* Adds what is new in an entry; totals that went back are passed over, since
 * reports of a link that is closing may arrive after those of the next one. */
static void
take_evidence (struct rollout_lead *l, struct rollout_relay *y,
	       const struct rollout_evidence *ev)
{
	struct rollout_totals *t = totals_get (y, ev);
	const struct rollout_time *times = ev->times.items;
	uint32_t delta[ROLLOUT_CELLS] = {0};
	uint64_t answers, failures;

	if (t == NULL || ev->answers < t->answers || ev->failures < t->failures)
		return;
	answers = ev->answers - t->answers;
	failures = MIN (ev->failures - t->failures, answers);
	for (uint32_t i = 0; i < ev->times.count; i++) {
		uint32_t cell = times[i].cell;

		if (cell >= ROLLOUT_CELLS || times[i].count < t->times[cell])
			continue;
		delta[cell] = times[i].count - t->times[cell];
		t->times[cell] = times[i].count;
	}
	t->answers = ev->answers;
	t->failures = ev->failures;
	rollout_judge_add (&l->judge, ev->route, ev->domain, ev->is_new,
			   answers, failures, delta);
}

static void
measure_rate (struct rollout_relay *y, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - y->rate_from_ms;

	if (y->rate_from_ms == 0) {
		/* Its first requests show that it has traffic. */
		y->rate = (double)y->requests;
	} else if (passed_ms >= RATE_WINDOW_MS) {
		y->rate = (double)(y->requests - y->rate_from_requests) * 1000 /
			  (double)passed_ms;
	} else {
		y->rate = MAX (y->rate,
			       (double)(y->requests - y->rate_from_requests));
		return;
	}
	y->rate_from_ms = now_ms;
	y->rate_from_requests = y->requests;
}

void
rollout_lead_report (struct rollout_lead *l, const char *relay,
		     const struct gmsg_rollout_report *m, uint64_t now_ms)
{
	struct rollout_relay *y = relay_get (l, relay);
	const struct rollout_evidence *ev = m->evidence.items;

	y->linked = y->heard = true;
	y->reported_ms = now_ms;
	y->requests = MAX (y->requests, m->requests);
	y->sent_new = MAX (y->sent_new, m->sent_new);
	/* A grant of the last leader may arrive after the first report. */
	y->received = MAX (y->received, m->grant);
	y->grant = MAX (y->grant, m->grant);
	y->old_inflight = m->old_inflight;
	y->state = m->state;
	measure_rate (y, now_ms);
	for (uint32_t i = 0; i < m->evidence.count; i++)
		take_evidence (l, y, &ev[i]);
}

/* Requests of the service so far. */
static uint64_t
count_requests (const struct rollout_lead *l, const struct rollout *r)
{
	struct rollout_relay *y;
	GHashTableIter it;
	uint64_t n = 0;

	g_hash_table_iter_init (&it, l->relays);
	while (g_hash_table_iter_next (&it, NULL, (void **)&y))
		n += y->requests;
	return MAX (n, r->requests);
}

static uint64_t
count_answers (const struct rollout_lead *l, const struct rollout *r)
{
	return MAX (r->answers, rollout_judge_answers (&l->judge, true));
}

/* Unused grants that the relay may get beside those it has; @idle: also without
 * traffic. */
static uint64_t
room_of (const struct rollout_relay *y, bool idle, uint64_t now_ms)
{
	uint64_t most =
		1 + (uint64_t)MIN (y->rate * UNUSED_FEW_S,
				   UNUSED_MIN + y->rate * UNUSED_RATE_S);
	uint64_t unused = y->grant - MIN (y->sent_new, y->grant);

	if (!y->linked || !y->heard ||
	    now_ms >= y->reported_ms + REPORT_TIMEOUT_MS)
		return 0;
	if (y->rate <= 0)
		most = idle && y->given == 0 ? 1 : 0;
	return most - MIN (unused, most);
}

/* Whether the relays get less than one request per second each. */
static bool
traffic_is_thin (const struct rollout_lead *l, uint64_t now_ms)
{
	struct rollout_relay *y;
	GHashTableIter it;
	double rate = 0;
	uint32_t linked = 0;

	g_hash_table_iter_init (&it, l->relays);
	while (g_hash_table_iter_next (&it, NULL, (void **)&y)) {
		rate += y->rate;
		linked += y->linked;
	}
	return now_ms >= l->begun_ms + 1000 && rate < linked;
}

/* Requests to issue now. */
static uint64_t
wanted (struct rollout_lead *l, const struct rollout *r, uint64_t now_ms)
{
	double requests = (double)count_requests (l, r);
	double bound = ROLLOUT_ISSUE_SHARE *
		       (l->limits.share * requests + l->limits.slack);
	double first = START_ISSUED + START_SHARE * requests;
	uint64_t allowed, room = 0;
	struct rollout_relay *y;
	GHashTableIter it;

	l->idle = traffic_is_thin (l, now_ms);
	if (l->idle)
		first += IDLE_START_SHARE * g_hash_table_size (l->relays);
	l->idle &= (double)r->issued < IDLE_SHARE * bound;
	allowed = (uint64_t)MIN (bound, first);

	if (r->state != ROLLOUT_RUNNING || r->issued >= allowed)
		return 0;
	g_hash_table_iter_init (&it, l->relays);
	while (g_hash_table_iter_next (&it, NULL, (void **)&y))
		room += room_of (y, l->idle, now_ms);
	return MIN (allowed - r->issued, room - MIN (room, l->available));
}

bool
rollout_lead_issue (struct rollout_lead *l, const struct rollout *r,
		    uint64_t now_ms, struct gstate_rollout_issue *out)
{
	uint64_t answers = count_answers (l, r);

	*out = (struct gstate_rollout_issue){.id = r->id,
					     .count = wanted (l, r, now_ms),
					     .requests = count_requests (l, r),
					     .answers = answers};
	/* What a verdict by time rests on is kept even if nothing is issued. */
	return out->count > 0 ||
	       (r->state == ROLLOUT_RUNNING &&
		r->answers < ROLLOUT_MIN_ANSWERS && answers > r->answers);
}

void
rollout_lead_issued (struct rollout_lead *l, uint64_t count)
{
	l->available += count;
}

/* The relay with the most traffic for each request granted already. */
static struct rollout_relay *
next_relay (struct rollout_lead *l, uint64_t now_ms)
{
	struct rollout_relay *y, *best = NULL;
	GHashTableIter it;
	double most = 0;

	g_hash_table_iter_init (&it, l->relays);
	while (g_hash_table_iter_next (&it, NULL, (void **)&y)) {
		double worth = (y->rate + IDLE_RATE) / (double)(y->given + 1);

		if (worth > most && room_of (y, l->idle, now_ms) > 0) {
			most = worth;
			best = y;
		}
	}
	return best;
}

bool
rollout_lead_distribute (struct rollout_lead *l, uint64_t now_ms)
{
	bool any = false;

	while (l->available > 0) {
		struct rollout_relay *y = next_relay (l, now_ms);

		if (y == NULL)
			break;
		y->grant++;
		y->given++;
		l->available--;
		any = true;
	}
	return any;
}

uint64_t
rollout_lead_grant (const struct rollout_lead *l, const char *relay)
{
	const struct rollout_relay *y = g_hash_table_lookup (l->relays, relay);

	return y != NULL ? y->grant : 0;
}

/* Whether no linked relay has a request on the old version, nor sends one. */
static bool
old_is_done (struct rollout_lead *l, uint64_t now_ms)
{
	struct rollout_relay *y;
	GHashTableIter it;

	g_hash_table_iter_init (&it, l->relays);
	while (g_hash_table_iter_next (&it, NULL, (void **)&y)) {
		if (y->linked &&
		    (y->state != ROLLOUT_SHIFTING || y->old_inflight > 0 ||
		     now_ms >= y->reported_ms + REPORT_TIMEOUT_MS))
			return false;
	}
	return true;
}

static uint64_t
end_ms (const struct rollout *r)
{
	uint64_t margin_ms =
		(uint64_t)((double)r->duration_ms * END_MARGIN_SHARE);

	margin_ms = CLAMP (margin_ms, END_MARGIN_MIN_MS, END_MARGIN_MAX_MS);
	return r->duration_ms - MIN (margin_ms, r->duration_ms / 4);
}

static enum rollout_state
decide_shifting (struct rollout_lead *l, const struct rollout *r,
		 uint64_t elapsed_ms, uint64_t now_ms, const char **why)
{
	if (elapsed_ms >= end_ms (r)) {
		*why = "time limit";
		return ROLLOUT_SUCCEEDED;
	}
	if ((double)elapsed_ms >= SHIFTING_UNTIL * (double)r->duration_ms &&
	    old_is_done (l, now_ms)) {
		*why = "old requests ended";
		return ROLLOUT_SUCCEEDED;
	}
	return ROLLOUT_SHIFTING;
}

enum rollout_state
rollout_lead_decide (struct rollout_lead *l, const struct rollout *r,
		     uint64_t elapsed_ms, bool served, uint64_t now_ms,
		     const char **why)
{
	double value = rollout_judge_value (&l->judge, now_ms);
	uint64_t answers = count_answers (l, r);
	double part = (double)elapsed_ms / (double)MAX (r->duration_ms, 1);

	if (rollout_is_over (r->state))
		return r->state;
	*why = "service removed";
	if (!served)
		return ROLLOUT_ROLLED_BACK;
	*why = "answers worse than the old version's";
	if (value >= ROLLOUT_BAD_VALUE)
		return ROLLOUT_ROLLED_BACK;
	if (r->state == ROLLOUT_SHIFTING)
		return decide_shifting (l, r, elapsed_ms, now_ms, why);
	/* The reports of all relays first, not only those of the fastest. */
	if (part < ROLLOUT_SHIFT_AT ||
	    (elapsed_ms < end_ms (r) && now_ms < l->begun_ms + TAKEOVER_MS &&
	     l->taken_over))
		return ROLLOUT_RUNNING;
	if (answers >= ROLLOUT_MIN_ANSWERS && value < ROLLOUT_DOUBT_VALUE) {
		*why = "no sign of badness";
		return ROLLOUT_SHIFTING;
	}
	if (part >= ROLLOUT_DOUBT_UNTIL && answers > 0) {
		*why = value < ROLLOUT_LATE_BAD_VALUE
			       ? "no sufficient sign of badness"
			       : "probably worse at the time limit";
		return value < ROLLOUT_LATE_BAD_VALUE ? ROLLOUT_SHIFTING
						      : ROLLOUT_ROLLED_BACK;
	}
	if (part >= ROLLOUT_SILENT_AT) {
		*why = "no answer";
		return ROLLOUT_ROLLED_BACK;
	}
	return ROLLOUT_RUNNING;
}
