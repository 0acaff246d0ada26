/*
 * A rollout in virtual time.
 */
#include <math.h>
#include <string.h>

#include "t_rollout.h"

#define STEP_MS 5
#define SLOTS 8192 /* of STEP_MS each: the longest answer */
#define ROUTES 8
#define DOMAINS 3

/* A message or an answer on its way. */
struct event {
	enum { ANSWER, REPORT, GRANT, ISSUED } kind;
	uint32_t relay;
	uint32_t life; /* of the relay, or of the leader */
	uint64_t n;    /* grant; life of a reporting relay */
	struct gstate_rollout_issue issue;
	enum rollout_state state;
	/* of an answer */
	uint8_t route, domain, is_new, failed, bad;
	uint32_t cell;
	struct gmsg_rollout_report *report;
};

struct relay {
	uint32_t life;
	uint64_t requests, sent_new, grant, grant_ms;
	uint32_t old_inflight;
	enum rollout_state state;
	uint64_t report_at_ms, reported_ms;
	struct rollout_totals totals[ROUTES][DOMAINS][2];
	bool changed[ROUTES][DOMAINS][2];
};

struct world {
	const struct t_rollout *c;
	struct t_rollout_result *out;
	GRand *rand;
	uint64_t now_ms;
	GArray *slots[SLOTS];
	struct relay *relays;
	struct rollout record;
	struct rollout_lead lead;
	bool has_leader;
	uint32_t leader_life;
	bool pending; /* an issue is proposed and not committed */
	enum rollout_state proposed;
	uint64_t state_at_ms; /* when the proposed state is committed */
};

static void
later (struct world *w, double ms, const struct event *e)
{
	uint64_t steps = (uint64_t)CLAMP (ms / STEP_MS, 1, SLOTS - 1);

	g_array_append_vals (w->slots[(w->now_ms / STEP_MS + steps) % SLOTS], e,
			     1);
}

static double
normal (struct world *w)
{
	return sqrt (-2 * log (g_rand_double (w->rand) + 1e-12)) *
	       cos (2 * G_PI * g_rand_double (w->rand));
}

static bool
chance (struct world *w, double p)
{
	return p > 0 && g_rand_double (w->rand) < p;
}

static bool
between (const struct world *w, double from, uint64_t for_ms)
{
	uint64_t at = (uint64_t)(from * (double)w->c->duration_ms);

	return w->now_ms >= at && w->now_ms < at + for_ms;
}

/* One request: which version it goes to, and its answer. */
static void
request (struct world *w)
{
	const struct t_rollout *c = w->c;
	double u = g_rand_double (w->rand), ms, rest = 1 - c->one_relay;
	uint32_t i =
		c->one_relay > 0 && u < c->one_relay
			? 0
			: (uint32_t)((u - c->one_relay) / rest * c->relays) %
				  c->relays;
	struct relay *y = &w->relays[i];
	struct event e = {.kind = ANSWER, .relay = i, .life = y->life};
	uint32_t tokens;
	bool fresh = w->now_ms < y->grant_ms + ROLLOUT_GRANT_VALID_MS;

	/* The later routes are used less. */
	u = g_rand_double (w->rand);
	e.route = (uint8_t)(u * u * c->routes);
	y->requests++;
	w->out->requests++;
	if (w->now_ms >= c->boot_ms) {
		if (y->state == ROLLOUT_RUNNING)
			e.is_new = fresh && y->sent_new < y->grant;
		else
			e.is_new = y->state == ROLLOUT_SHIFTING ||
				   y->state == ROLLOUT_SUCCEEDED;
	}
	e.domain = (uint8_t)g_rand_int_range (w->rand, 0, DOMAINS);
	if (e.is_new && chance (w, 0.8))
		e.domain = 0;
	tokens = (uint32_t)exp (5 + 1.5 * normal (w) + 0.3 * e.route);
	ms = (30 + 40 * e.route + tokens / 20.0) *
	     exp (0.15 * e.route * normal (w) + 0.2 * normal (w));
	e.failed = chance (w, c->failures);
	if (c->burst && between (w, 0.4, 1000)) {
		ms *= 3;
		e.failed |= chance (w, 0.1);
	}
	if (c->cut && e.domain == 0 && between (w, 0.3, 2000))
		e.failed = true;
	/* All that one of two or three new endpoints runs. */
	if (c->crash && e.is_new && between (w, 0.35, 150))
		e.failed |= chance (w, 0.4);
	if (e.is_new) {
		y->sent_new++;
		w->out->sent_new++;
		w->out->last_new_ms = w->now_ms;
		e.bad = chance (w, c->bad_share) &&
			(c->bad_route < 0 || c->bad_route == e.route) &&
			(double)w->now_ms >=
				c->bad_from * (double)c->duration_ms;
		if (e.bad && c->slow_factor > 0)
			ms *= c->slow_factor;
		else
			e.failed |= e.bad;
	} else {
		y->old_inflight++;
	}
	e.cell = rollout_cell (tokens, ms);
	later (w, ms, &e);
}

static void
report (struct world *w, uint32_t i)
{
	struct relay *y = &w->relays[i];
	struct gmsg_rollout_report *m = g_new0 (struct gmsg_rollout_report, 1);
	GArray *list =
		g_array_new (FALSE, TRUE, sizeof (struct rollout_evidence));
	struct event e = {.kind = REPORT,
			  .relay = i,
			  .life = w->leader_life,
			  .n = y->life,
			  .report = m};

	for (int k = 0; k < ROUTES * DOMAINS * 2; k++) {
		struct rollout_totals *t = &y->totals[0][0][0] + k;
		struct rollout_evidence ev = {
			.route = 1000 + (uint64_t)k / (DOMAINS * 2),
			.domain = 70 + (uint64_t)k / 2 % DOMAINS,
			.is_new = k % 2,
			.answers = t->answers,
			.failures = t->failures};
		GArray *times;

		if (!(&y->changed[0][0][0])[k])
			continue;
		(&y->changed[0][0][0])[k] = false;
		times = g_array_new (FALSE, TRUE, sizeof (struct rollout_time));
		for (uint32_t cell = 0; cell < ROLLOUT_CELLS; cell++) {
			struct rollout_time x = {cell, t->times[cell]};

			if (x.count > 0)
				g_array_append_val (times, x);
		}
		ev.times.count = times->len;
		ev.times.items = g_array_free (times, FALSE);
		g_array_append_val (list, ev);
	}
	m->requests = y->requests;
	m->sent_new = y->sent_new;
	m->grant = y->grant;
	m->old_inflight = y->old_inflight;
	m->state = y->state;
	m->evidence.count = list->len;
	m->evidence.items = g_array_free (list, FALSE);
	y->reported_ms = w->now_ms;
	y->report_at_ms = w->now_ms + ROLLOUT_REPORT_MS;
	later (w, g_rand_double_range (w->rand, 1, 20), &e);
}

static void
report_free (struct gmsg_rollout_report *m)
{
	struct rollout_evidence *ev = m->evidence.items;

	for (uint32_t i = 0; i < m->evidence.count; i++)
		g_free (ev[i].times.items);
	g_free (ev);
	g_free (m);
}

static void
relay_key (uint32_t relay, uint64_t life, char key[32])
{
	g_snprintf (key, 32, "r%u/%u", relay, (unsigned)life);
}

static void
answered (struct world *w, const struct event *e)
{
	struct relay *y = &w->relays[e->relay];
	struct rollout_totals *t = &y->totals[e->route][e->domain][e->is_new];

	if (e->bad && ++w->out->bad_answers == 50)
		w->out->bad_50_ms = w->now_ms;
	if (e->life != y->life)
		return;
	y->changed[e->route][e->domain][e->is_new] = true;
	t->answers++;
	if (e->failed) {
		t->failures++;
		y->report_at_ms =
			MIN (y->report_at_ms,
			     MAX (w->now_ms,
				  y->reported_ms + ROLLOUT_REPORT_MIN_MS));
	} else {
		t->times[e->cell]++;
	}
	if (!e->is_new)
		y->old_inflight--;
}

static void
handle (struct world *w, struct event *e)
{
	struct relay *y = &w->relays[e->relay];
	char key[32];

	if (e->kind == ANSWER) {
		answered (w, e);
	} else if (e->kind == GRANT && e->life == y->life) {
		y->grant = MAX (y->grant, e->n);
		y->grant_ms = w->now_ms;
		y->state = MAX (y->state, e->state);
	} else if (e->kind == ISSUED) {
		/* Committed also where its leader is lost by now. */
		if (w->record.state == ROLLOUT_RUNNING) {
			w->record.issued += e->issue.count;
			w->record.requests =
				MAX (w->record.requests, e->issue.requests);
			w->record.answers =
				MAX (w->record.answers, e->issue.answers);
		}
		if (w->has_leader && e->life == w->leader_life) {
			rollout_lead_issued (&w->lead, e->issue.count);
			w->pending = false;
		}
	} else if (e->kind == REPORT) {
		relay_key (e->relay, e->n, key);
		if (w->has_leader && e->life == w->leader_life)
			rollout_lead_report (&w->lead, key, e->report,
					     w->now_ms);
		report_free (e->report);
	}
}

static void
send_all (struct world *w)
{
	for (uint32_t i = 0; i < w->c->relays; i++) {
		struct event e = {.kind = GRANT,
				  .relay = i,
				  .life = w->relays[i].life,
				  .state = w->record.state};
		char key[32];

		relay_key (i, e.life, key);
		e.n = rollout_lead_grant (&w->lead, key);
		later (w, g_rand_double_range (w->rand, 1, 20), &e);
	}
}

static void
lead (struct world *w)
{
	const char *why = "";
	enum rollout_state to;
	struct gstate_rollout_issue issue;
	bool changed = w->now_ms % 400 == 0;

	if (w->state_at_ms != 0 && w->now_ms >= w->state_at_ms) {
		w->state_at_ms = 0;
		w->record.state = w->proposed;
		w->out->verdict_ms = w->now_ms;
		for (uint32_t i = 0;
		     w->proposed == ROLLOUT_SUCCEEDED && i < w->c->relays; i++)
			w->out->old_cut += w->relays[i].old_inflight;
		changed = true;
	}
	to = rollout_lead_decide (&w->lead, &w->record, w->now_ms, true,
				  w->now_ms, &why);
	w->out->value = MAX (w->out->value, w->lead.judge.value);
	if (to != (enum rollout_state)w->record.state && w->state_at_ms == 0) {
		w->proposed = to;
		w->state_at_ms = w->now_ms + 20;
	}
	changed |= rollout_lead_distribute (&w->lead, w->now_ms);
	if (!w->pending &&
	    rollout_lead_issue (&w->lead, &w->record, w->now_ms, &issue)) {
		struct event e = {
			.kind = ISSUED, .life = w->leader_life, .issue = issue};

		w->pending = true;
		later (w, g_rand_double_range (w->rand, 5, 40), &e);
	}
	if (changed)
		send_all (w);
}

static void
leader_changes (struct world *w)
{
	static const struct rollout_limits limits = {T_ROLLOUT_SHARE,
						     T_ROLLOUT_SLACK};
	uint64_t at = w->c->leader_lost_ms;

	if (at > 0 && w->now_ms == at) {
		rollout_lead_finish (&w->lead);
		w->has_leader = false;
		w->state_at_ms = 0;
		w->leader_life++;
	}
	if (w->now_ms != 0 && (at == 0 || w->now_ms != at + 1000))
		return;
	rollout_lead_init (&w->lead, &w->record, &limits, w->now_ms);
	w->has_leader = true;
	w->pending = false;
	for (uint32_t i = 0; i < w->c->relays; i++)
		memset (w->relays[i].changed, 1, sizeof w->relays[i].changed);
}

static void
restart_relays (struct world *w)
{
	for (uint32_t i = 0; i < w->c->relays; i += 10) {
		struct relay *y = &w->relays[i];
		char key[32];

		relay_key (i, y->life, key);
		if (w->has_leader)
			rollout_lead_unlink (&w->lead, key);
		*y = (struct relay){.life = y->life + 1,
				    .report_at_ms = w->now_ms + 100};
	}
}

static void
step (struct world *w)
{
	GArray *due = w->slots[w->now_ms / STEP_MS % SLOTS];
	double expected = w->c->per_s * STEP_MS / 1000;
	double over;

	leader_changes (w);
	for (guint i = 0; i < due->len; i++)
		handle (w, &g_array_index (due, struct event, i));
	g_array_set_size (due, 0);
	if (w->c->restarts && w->now_ms == w->c->duration_ms / 2 / 100 * 100)
		restart_relays (w);
	for (double p = g_rand_double (w->rand), t = exp (-expected), sum = t,
		    k = 1;
	     p > sum; k++) {
		request (w);
		t *= expected / k;
		sum += t;
		if (t < 1e-15)
			break;
	}
	for (uint32_t i = 0; i < w->c->relays; i++) {
		if (w->now_ms >= w->relays[i].report_at_ms)
			report (w, i);
	}
	if (w->has_leader && w->now_ms % 25 == 0)
		lead (w);
	over = (double)w->out->sent_new -
	       T_ROLLOUT_SHARE * (double)w->out->requests - T_ROLLOUT_SLACK;
	if (w->record.state == ROLLOUT_RUNNING)
		w->out->running_over = MAX (w->out->running_over, over);
}

void
t_rollout_run (const struct t_rollout *c, struct t_rollout_result *out)
{
	struct world w = {
		.c = c, .out = out, .rand = g_rand_new_with_seed (c->seed)};

	*out = (struct t_rollout_result){.running_over = -1e9};
	w.record = (struct rollout){.id = 7,
				    .service = "svc",
				    .target = "v2",
				    .duration_ms = c->duration_ms,
				    .state = ROLLOUT_RUNNING};
	w.relays = g_new0 (struct relay, c->relays);
	for (uint32_t i = 0; i < SLOTS; i++)
		w.slots[i] = g_array_new (FALSE, TRUE, sizeof (struct event));
	for (uint32_t i = 0; i < c->relays; i++) {
		w.relays[i].state = ROLLOUT_RUNNING;
		w.relays[i].report_at_ms =
			(uint64_t)g_rand_int_range (w.rand, 0, 40) * 5;
	}
	for (; w.now_ms < c->duration_ms; w.now_ms += STEP_MS)
		step (&w);
	out->state = w.record.state;
	for (uint32_t i = 0; i < SLOTS; i++) {
		for (guint k = 0; k < w.slots[i]->len; k++) {
			struct event *e =
				&g_array_index (w.slots[i], struct event, k);

			if (e->kind == REPORT)
				report_free (e->report);
		}
		g_array_free (w.slots[i], TRUE);
	}
	if (w.has_leader)
		rollout_lead_finish (&w.lead);
	g_free (w.relays);
	g_rand_free (w.rand);
}

void
t_rollout_draw (uint32_t seed, bool good, struct t_rollout *out)
{
	static const uint32_t relays[] = {1, 2, 5, 20, 60, 300};
	static const double rates[] = {5, 20, 60, 200, 600};
	static const double shares[] = {0.02, 0.05, 0.1, 0.3, 0.5, 1};
	GRand *rand = g_rand_new_with_seed (seed);

	*out = (struct t_rollout){.seed = seed, .bad_route = -1};
	out->relays = relays[g_rand_int_range (rand, 0, 6)];
	out->one_relay = g_rand_boolean (rand) ? 0 : 0.8;
	out->routes = (uint32_t)g_rand_int_range (rand, 1, 6);
	out->per_s = rates[g_rand_int_range (rand, 0, 5)];
	out->duration_ms = (uint64_t)g_rand_int_range (rand, 80, 200) * 100;
	out->failures =
		g_rand_boolean (rand) ? 0 : g_rand_double_range (rand, 0, 0.02);
	out->boot_ms = (uint64_t)g_rand_int_range (rand, 0, 30) * 50;
	out->burst = g_rand_int_range (rand, 0, 4) == 0;
	out->cut = g_rand_int_range (rand, 0, 4) == 0;
	out->crash = g_rand_int_range (rand, 0, 4) == 0;
	out->restarts = g_rand_int_range (rand, 0, 4) == 0;
	if (g_rand_int_range (rand, 0, 3) == 0)
		out->leader_lost_ms =
			(uint64_t)g_rand_int_range (
				rand, 1, (int)(out->duration_ms - 2500) / 100) *
			100;
	if (!good) {
		out->bad_share = shares[g_rand_int_range (rand, 0, 6)];
		out->slow_factor = g_rand_boolean (rand)
					   ? 0
					   : g_rand_double_range (rand, 3, 8);
		out->bad_from = g_rand_boolean (rand)
					? 0
					: g_rand_double_range (rand, 0, 0.5);
		if (g_rand_boolean (rand))
			out->bad_route =
				g_rand_int_range (rand, 0, (int)out->routes);
	}
	g_rand_free (rand);
}
