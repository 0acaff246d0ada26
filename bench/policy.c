/*
 * The policies compared on one small queueing model in one process: entries
 * with the product's own decision objects, engines as servers with slots, at
 * a load above capacity, with one slow engine, lagging load reports and a top
 * tier that arrives unevenly.  Prints one table row a policy.  It is no
 * simulator of a cluster: nothing fails here.
 *
 * Use: bench_policy [SEED [LOAD]], LOAD in hundredths of the capacity.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adm.h"
#include "lease.h"
#include "route.h"

#define ENTRIES 8
#define ENGINES 18
#define SLOTS 8
#define ACCOUNTS 10
#define WARM_UP_MS 20000
#define RUN_MS 230000
#define TICK_MS 10
#define DELAY_MS 2        /* of a message between entries */
#define REPORT_MS 250     /* between load reports */
#define REPORT_LAG_MS 400 /* age of a load report when it is read */
#define PREFILL_MS 60     /* from start to first token */
#define HOLD_MS 2000      /* mean time in a slot */
#define MS_A_TOKEN 20
#define SLOW 2               /* of engine 0 */
#define WINDOW_MS 2000       /* over which fair parts are worked out */
#define FAIR_LEAST_MS 100000 /* work that makes an account worth a look */

static const uint32_t ttft_ms[INV_TIERS] = {320, 640, 1250, 2500, 5000};
static const double tier_part[INV_TIERS] = {0.15, 0.2, 0.25, 0.2, 0.2};
static const double tier_weight[INV_TIERS] = {16, 8, 4, 2, 1};

/** struct job - one request */
struct job {
	struct adm_req adm;
	uint32_t tier; /* from 0 */
	uint32_t account;
	uint32_t entry;
	uint32_t engine;
	uint32_t hold_ms;
	uint64_t arrived_ms;
	uint64_t sent_ms;
	uint64_t first_ms; /* when its first token came; 0: never */
	uint64_t end_ms;
	double load;
	struct lease_slot slot;
};

/** struct engine - slots, and a queue where it is sent more */
struct engine {
	struct job *running[SLOTS];
	uint32_t in_flight;
	uint32_t most;
	GQueue queue[INV_TIERS];
	double speed;
	uint32_t reported[64]; /* in flight, by time of sampling */
};

/** struct msg - a message between entries on its way */
struct msg {
	uint64_t at_ms;
	uint32_t from;
	uint32_t to;
	int kind;
	struct lease_beat beat;
	struct lease_ask ask;
	struct lease_grant grant;
	void *items;
};

/** struct policy - one row of the table */
struct policy {
	const char *name;
	const struct route_ops *ops;
	bool engine_tiers; /* engines serve the highest tier first */
	bool ideal;        /* one queue for all, all seen at once */
};

/** struct sim - one run */
struct sim {
	const struct policy *policy;
	struct inv inv;
	struct inv_domain domains[3];
	struct inv_entry entries[ENTRIES];
	struct inv_class classes[INV_TIERS];
	struct inv_account accounts[ACCOUNTS];
	struct inv_endpoint endpoints[ENGINES];
	char models[1][INV_NAME_BYTES];
	struct node {
		struct sim *sim;
		struct bb bb;
		struct adm adm;
		struct route route;
		struct lease lease;
		bool leased;
	} nodes[ENTRIES];
	uint32_t node_count;
	struct engine engines[ENGINES];
	GQueue mail;
	GRand *arrivals; /* the same for every policy */
	GRand *rand;
	uint64_t now_ms;
	double next_ms[INV_TIERS];
	double load;
	GPtrArray *jobs;
	uint64_t messages;
	uint64_t bytes;
};

static void
name_it (char *out, const char *prefix, uint32_t i)
{
	snprintf (out, INV_NAME_BYTES, "%s%02u", prefix, i);
}

static void
make_classes (struct sim *s)
{
	for (uint32_t i = 0; i < INV_TIERS; i++) {
		struct inv_class *c = &s->classes[i];

		name_it (c->name, "t", i + 1);
		c->tier = (uint8_t)(i + 1);
		c->ttft_ms = ttft_ms[i];
		c->itl_ms = 50;
		c->deadline_ms = ttft_ms[i] - PREFILL_MS * 5 / 4;
		c->total_ms = 60000;
		c->share_permille = 20;
		c->queue_max = 500;
	}
}

static void
make_inventory (struct sim *s)
{
	make_classes (s);
	for (uint32_t i = 0; i < 3; i++)
		name_it (s->domains[i].name, "d", i);
	for (uint32_t i = 0; i < ENTRIES; i++) {
		name_it (s->entries[i].name, "e", i);
		s->entries[i].domain_ix = i % 3;
	}
	for (uint32_t i = 0; i < ACCOUNTS; i++) {
		name_it (s->accounts[i].name, "a", i);
		s->accounts[i].weight = 1;
	}
	for (uint32_t i = 0; i < ENGINES; i++) {
		struct inv_endpoint *e = &s->endpoints[i];

		name_it (e->name, "ep", i);
		e->domain_ix = i % 3;
		e->model_count = 1;
		e->price_per_h = 1000;
		e->cold_bound = SLOTS;
		e->warm_bound = SLOTS;
	}
	strcpy (s->models[0], "m");
	s->inv = (struct inv){.revision = 1,
			      .settings = {.cold_answers = 1, .cold_ramp_s = 1},
			      .domains = s->domains,
			      .domain_count = 3,
			      .entries = s->entries,
			      .entry_count = ENTRIES,
			      .classes = s->classes,
			      .class_count = INV_TIERS,
			      .accounts = s->accounts,
			      .account_count = ACCOUNTS,
			      .endpoints = s->endpoints,
			      .endpoint_count = ENGINES,
			      .models = s->models,
			      .model_count = 1};
}

/* Messages between entries. */

static struct msg *
post (struct node *n, struct bb_peer *to, int kind,
      const struct msg_field *fields, const void *m)
{
	struct sim *s = n->sim;
	struct msg *p = g_new0 (struct msg, 1);
	msgpack_sbuffer buf;

	p->at_ms = s->now_ms + DELAY_MS;
	p->from = (uint32_t)(n - s->nodes);
	p->to = (uint32_t)(to->inv - n->bb.inv->entries);
	p->kind = kind;
	msgpack_sbuffer_init (&buf);
	msg_pack (fields, m, &buf);
	s->bytes += buf.size;
	s->messages++;
	msgpack_sbuffer_destroy (&buf);
	g_queue_push_tail (&s->mail, p);
	return p;
}

static void
post_beat (struct bb_peer *to, const struct lease_beat *m, void *ctx)
{
	struct msg *p = post (ctx, to, 0, lease_beat_fields, m);

	p->beat = *m;
}

static void
post_ask (struct bb_peer *to, const struct lease_ask *m, void *ctx)
{
	struct msg *p = post (ctx, to, 1, lease_ask_fields, m);

	p->ask = *m;
	p->items = g_memdup2 (m->wants.items,
			      m->wants.count * sizeof (struct lease_want));
	p->ask.wants.items = p->items;
}

static void
post_grant (struct bb_peer *to, const struct lease_grant *m, void *ctx)
{
	struct msg *p = post (ctx, to, 2, lease_grant_fields, m);

	p->grant = *m;
	p->items = g_memdup2 (m->given.items,
			      m->given.count * sizeof (struct lease_given));
	p->grant.given.items = p->items;
}

static const struct lease_ops lease_ops = {post_beat, post_ask, post_grant};

static void
deliver (struct sim *s)
{
	struct msg *p;

	while ((p = g_queue_peek_head (&s->mail)) != NULL &&
	       p->at_ms <= s->now_ms) {
		struct node *n = &s->nodes[p->to];
		struct bb_peer *from = n->bb.peers[p->from];

		g_queue_pop_head (&s->mail);
		if (p->kind == 0)
			lease_on_beat (&n->lease, from, &p->beat, s->now_ms);
		else if (p->kind == 1)
			lease_on_ask (&n->lease, from, &p->ask, s->now_ms);
		else
			lease_on_grant (&n->lease, from, &p->grant, s->now_ms);
		g_free (p->items);
		g_free (p);
	}
}

/* Engines. */

static void
engine_start (struct sim *s, struct engine *g, struct job *j)
{
	uint32_t k = 0;

	while (g->running[k] != NULL)
		k++;
	g->running[k] = j;
	j->first_ms = s->now_ms + (uint64_t)(PREFILL_MS * g->speed);
	j->end_ms = s->now_ms + (uint64_t)(j->hold_ms * g->speed);
}

static uint32_t
engine_busy (const struct engine *g)
{
	uint32_t n = 0;

	for (uint32_t k = 0; k < SLOTS; k++)
		n += g->running[k] != NULL;
	return n;
}

static void
engine_take (struct sim *s, struct job *j)
{
	struct engine *g = &s->engines[j->engine];

	g->in_flight++;
	g->most = MAX (g->most, g->in_flight);
	if (engine_busy (g) < SLOTS)
		engine_start (s, g, j);
	else
		g_queue_push_tail (
			&g->queue[s->policy->engine_tiers ? j->tier : 0], j);
}

static void job_over (struct sim *s, struct job *j);

static void
engine_step (struct sim *s, struct engine *g)
{
	for (uint32_t k = 0; k < SLOTS; k++) {
		struct job *j = g->running[k];
		struct job *next = NULL;

		if (j == NULL || s->now_ms < j->end_ms)
			continue;
		g->running[k] = NULL;
		g->in_flight--;
		for (uint32_t t = 0; t < INV_TIERS && next == NULL; t++)
			next = g_queue_pop_head (&g->queue[t]);
		if (next != NULL)
			engine_start (s, g, next);
		job_over (s, j);
	}
	if (s->now_ms % REPORT_MS == 0)
		g->reported[s->now_ms / REPORT_MS % 64] = g->in_flight;
}

static void
read_reports (struct sim *s)
{
	uint64_t at = s->now_ms - REPORT_LAG_MS;

	at -= at % REPORT_MS;
	for (uint32_t i = 0; i < s->node_count; i++)
		for (uint32_t k = 0; k < ENGINES; k++)
			bb_ep_reported (
				s->nodes[i].bb.eps[k],
				&(struct bb_load){
					at,
					s->engines[k]
						.reported[at / REPORT_MS % 64],
					0});
}

/* Entries. */

static void
send_job (struct sim *s, struct node *n, struct job *j,
	  const struct route_verdict *v)
{
	for (uint32_t i = 0; i < v->cand_count; i++)
		if (v->cand[i].ep == v->ep)
			j->load = v->cand[i].load;
	j->sent_ms = s->now_ms;
	j->engine = (uint32_t)(v->ep->inv - n->bb.inv->endpoints);
	engine_take (s, j);
}

static enum adm_eligible
can_run (struct adm_req *r, void *ctx)
{
	struct node *n = ctx;
	struct route_req q = {.pool = r->pool, .klass = r->klass};

	return route_available (&n->route, &q, n->sim->now_ms) == ROUTE_CHOSEN
		       ? ADM_ELIGIBLE
		       : ADM_POOL_BLOCKED;
}

static void
tell_pressure (struct node *n)
{
	struct adm_backlog p;

	if (!n->leased)
		return;
	adm_backlog (&n->adm, n->bb.models[0], n->sim->now_ms, &p);
	lease_pressure (&n->lease, n->bb.models[0], &p, n->sim->now_ms);
}

/* The ideal queue sees every slot: its credits are those free now. */
static void
show_free (struct sim *s, struct node *n)
{
	for (uint32_t k = 0; k < ENGINES && s->policy->ideal; k++) {
		n->bb.eps[k]->credits = SLOTS;
		n->bb.eps[k]->credits_until_ms = UINT64_MAX;
	}
}

static void
run_queue (struct sim *s, struct node *n)
{
	struct adm_req *r;
	struct adm_verdict av;
	struct route_verdict v;

	while (adm_expire (&n->adm, s->now_ms, &av) != NULL)
		;
	show_free (s, n);
	while ((r = adm_next (&n->adm, s->now_ms, can_run, n)) != NULL) {
		struct job *j = (struct job *)(void *)r; /* first member */
		struct route_req q = {.pool = r->pool, .klass = r->klass};

		route_choose (&n->route, &q, s->now_ms, &v);
		if (v.ep == NULL)
			break;
		if (!n->leased)
			bb_ep_sent (v.ep, s->now_ms);
		else if (!lease_take (&n->lease, v.ep, &j->slot, s->now_ms))
			break;
		send_job (s, n, j, &v);
	}
}

static void
job_over (struct sim *s, struct job *j)
{
	struct node *n = &s->nodes[j->entry];
	struct bb_ep *ep = n->bb.eps[j->engine];
	struct route_attempt seen = {
		.sent_ms = j->sent_ms,
		.ttft_ms = (uint32_t)(j->first_ms - j->sent_ms),
		.duration_ms = (uint32_t)(s->now_ms - j->sent_ms),
		.load = j->load,
		.complete = true};

	route_observe (&n->route, ep, &seen, s->now_ms);
	if (n->leased)
		lease_give (&n->lease, &j->slot, s->now_ms);
	else
		bb_ep_done (ep, s->now_ms);
	if (!s->policy->ops->uses_credits)
		return;
	adm_done (&n->adm, &j->adm, j->hold_ms / MS_A_TOKEN, true);
	run_queue (s, n);
	tell_pressure (n);
}

static void
arrive (struct sim *s, struct job *j)
{
	struct node *n;
	struct adm_verdict v;
	struct route_verdict rv;
	struct route_req q;

	if (s->policy->ideal)
		j->entry = 0;
	n = &s->nodes[j->entry];
	j->adm.klass = n->bb.classes[j->tier];
	j->adm.account = n->bb.accounts[j->account];
	j->adm.pool = n->bb.models[0];
	j->adm.arrived_ms = s->now_ms;
	j->adm.prompt_tokens = 1;
	if (s->policy->ops->uses_credits) {
		adm_submit (&n->adm, &j->adm, s->now_ms, &v);
		run_queue (s, n);
		tell_pressure (n);
		return;
	}
	q = (struct route_req){.pool = j->adm.pool, .klass = j->adm.klass};
	route_choose (&n->route, &q, s->now_ms, &rv);
	if (rv.ep == NULL)
		return;
	bb_ep_sent (rv.ep, s->now_ms);
	send_job (s, n, j, &rv);
}

/* Arrivals: Poisson by tier, doubled for 2 s in each 10 s; tier 1 comes to
 * entry 0 in two of three cases; a few accounts are large. */

static struct job *
new_job (struct sim *s, uint32_t tier)
{
	struct job *j = g_new0 (struct job, 1);
	double u = g_rand_double (s->arrivals);
	double length = g_rand_double (s->arrivals);

	j->tier = tier;
	j->arrived_ms = s->now_ms;
	j->entry = (uint32_t)g_rand_int_range (s->arrivals, 0, ENTRIES);
	if (g_rand_double (s->arrivals) < 0.6 && tier == 0)
		j->entry = 0;
	j->account = (uint32_t)(ACCOUNTS * u * u);
	j->hold_ms = (uint32_t)MAX (-log (1 - length * 0.999) * HOLD_MS, 100);
	g_ptr_array_add (s->jobs, j);
	return j;
}

static void
arrivals (struct sim *s)
{
	double capacity = (ENGINES - 1 + 1.0 / SLOW) * SLOTS / HOLD_MS;
	bool burst = s->now_ms / 1000 % 10 < 2;
	double factor = burst ? 2.0 : 0.75;

	for (uint32_t t = 0; t < INV_TIERS; t++) {
		double rate = capacity * s->load * tier_part[t] * factor;

		while (s->next_ms[t] <= (double)s->now_ms) {
			s->next_ms[t] -=
				log (1 - g_rand_double (s->arrivals) * 0.999) /
				rate;
			arrive (s, new_job (s, t));
		}
	}
}

/* Results. */

static bool
counts (const struct job *j)
{
	return j->arrived_ms >= WARM_UP_MS && j->arrived_ms < RUN_MS - 10000;
}

static bool
attained (const struct job *j)
{
	return j->first_ms != 0 &&
	       j->first_ms <= j->arrived_ms + ttft_ms[j->tier];
}

/* The level up to which every account's offer is met where @total is shared
 * max-min fair. */
static double
fair_level (const double offered[ACCOUNTS], double total)
{
	double low = 0;
	double high = total + 1;

	for (int i = 0; i < 50; i++) {
		double level = (low + high) / 2;
		double sum = 0;

		for (uint32_t a = 0; a < ACCOUNTS; a++)
			sum += MIN (offered[a], level);
		*(sum < total ? &low : &high) = level;
	}
	return high;
}

/* What accounts offered of one tier, got in time and should have got, in one
 * window of arrivals; added to @fair and @got. */
static void
share_window (const struct sim *s, uint32_t tier, uint64_t from_ms,
	      double fair[ACCOUNTS], double got[ACCOUNTS])
{
	double offered[ACCOUNTS] = {0};
	double total = 0;
	double level;

	for (uint32_t i = 0; i < s->jobs->len; i++) {
		const struct job *j = g_ptr_array_index (s->jobs, i);

		if (j->tier != tier || j->arrived_ms < from_ms ||
		    j->arrived_ms >= from_ms + WINDOW_MS)
			continue;
		offered[j->account] += j->hold_ms;
		if (!attained (j))
			continue;
		got[j->account] += j->hold_ms;
		total += j->hold_ms;
	}
	level = fair_level (offered, total);
	for (uint32_t a = 0; a < ACCOUNTS; a++)
		fair[a] += MIN (offered[a], level);
}

/* The worst account's work done in time over its max-min fair part of what
 * its tier got, window by window, as demand cannot be moved in time. */
static double
worst_account (const struct sim *s)
{
	double worst = 9.99; /* nobody got enough to compare */

	for (uint32_t t = 0; t < INV_TIERS; t++) {
		double fair[ACCOUNTS] = {0};
		double got[ACCOUNTS] = {0};

		for (uint64_t w = WARM_UP_MS; w < RUN_MS - 10000;
		     w += WINDOW_MS)
			share_window (s, t, w, fair, got);
		for (uint32_t a = 0; a < ACCOUNTS; a++)
			if (fair[a] >= FAIR_LEAST_MS)
				worst = MIN (worst, got[a] / fair[a]);
	}
	return worst;
}

static void
print_row (const struct sim *s)
{
	double offered[INV_TIERS] = {0};
	double met[INV_TIERS] = {0};
	double good = 0;
	double late = 0;
	double sum = 0;
	double weights = 0;
	double seconds = (RUN_MS - 10000 - WARM_UP_MS) / 1000.0;
	uint32_t most = 0;

	for (uint32_t i = 0; i < s->jobs->len; i++) {
		const struct job *j = g_ptr_array_index (s->jobs, i);

		if (!counts (j))
			continue;
		offered[j->tier]++;
		met[j->tier] += attained (j);
		if (attained (j))
			good += j->hold_ms;
		else if (j->first_ms != 0)
			late += j->hold_ms;
	}
	printf ("| %-22s |", s->policy->name);
	for (uint32_t t = 0; t < INV_TIERS; t++) {
		printf (" %.3f |", met[t] / offered[t]);
		sum += tier_weight[t] * met[t] / offered[t];
		weights += tier_weight[t];
	}
	for (uint32_t k = 0; k < ENGINES; k++)
		most = MAX (most, s->engines[k].most);
	printf (" %.3f | %.2f | %4.1f %% | %.2f | %u | %.1f | %.2f |\n",
		sum / weights,
		good / (seconds * 1000 * SLOTS * (ENGINES - 1 + 1.0 / SLOW)),
		good + late > 0 ? 100 * late / (good + late) : 0,
		worst_account (s), most > SLOTS ? most - SLOTS : 0,
		(double)s->messages / (RUN_MS / 1000.0) / ENTRIES,
		(double)s->bytes / (RUN_MS / 1000.0) / ENTRIES / 1000);
	fflush (stdout);
}

static void
sim_step (struct sim *s)
{
	s->now_ms++;
	deliver (s);
	for (uint32_t k = 0; k < ENGINES; k++)
		engine_step (s, &s->engines[k]);
	if (s->now_ms % REPORT_MS == 0 && s->now_ms > 2000)
		read_reports (s);
	if (s->now_ms > 6000) /* leases are agreed on by then */
		arrivals (s);
	for (uint32_t i = 0; i < s->node_count; i++) {
		struct node *n = &s->nodes[i];

		if ((s->now_ms + i) % TICK_MS != 0)
			continue;
		if (n->leased)
			lease_tick (&n->lease, s->now_ms);
		if (s->policy->ops->uses_credits) {
			run_queue (s, n);
			tell_pressure (n);
		}
	}
}

static void
sim_start (struct sim *s, uint32_t seed)
{
	static const struct lease_settings lease_set = LEASE_SETTINGS_DEFAULT;
	static const struct adm_settings adm_set = ADM_SETTINGS_DEFAULT;
	static const struct route_settings route_set = ROUTE_SETTINGS_DEFAULT;

	make_inventory (s);
	s->arrivals = g_rand_new_with_seed (seed);
	s->rand = g_rand_new_with_seed (seed + 1);
	s->jobs = g_ptr_array_new_with_free_func (g_free);
	s->node_count = s->policy->ideal ? 1 : ENTRIES;
	for (uint32_t t = 0; t < INV_TIERS; t++)
		s->next_ms[t] = 6000;
	for (uint32_t k = 0; k < ENGINES; k++)
		s->engines[k].speed = k == 0 ? SLOW : 1;
	for (uint32_t i = 0; i < s->node_count; i++) {
		struct node *n = &s->nodes[i];

		n->sim = s;
		n->leased = s->policy->ops->uses_credits && !s->policy->ideal;
		bb_init (&n->bb, s->entries[i].name);
		bb_apply_inv (&n->bb, &s->inv, 1);
		adm_init (&n->adm, &n->bb, &adm_set);
		route_init (&n->route, &n->bb, &route_set, s->policy->ops,
			    s->rand);
		if (n->leased)
			lease_init (&n->lease, &n->bb, &lease_set, &lease_ops,
				    n, 1, 1);
	}
}

static void
sim_finish (struct sim *s)
{
	struct msg *p;

	for (uint32_t i = 0; i < s->node_count; i++) {
		struct node *n = &s->nodes[i];

		if (n->leased)
			lease_finish (&n->lease);
		route_finish (&n->route);
		adm_finish (&n->adm);
		bb_finish (&n->bb);
	}
	while ((p = g_queue_pop_head (&s->mail)) != NULL) {
		g_free (p->items);
		g_free (p);
	}
	for (uint32_t k = 0; k < ENGINES; k++)
		for (uint32_t t = 0; t < INV_TIERS; t++)
			g_queue_clear (&s->engines[k].queue[t]);
	g_ptr_array_free (s->jobs, TRUE);
	g_rand_free (s->arrivals);
	g_rand_free (s->rand);
}

int
main (int argc, char **argv)
{
	static const struct policy all[] = {
		{.name = "random", .ops = &route_random},
		{.name = "random, tiers",
		 .ops = &route_random,
		 .engine_tiers = true},
		{.name = "round robin", .ops = &route_round_robin},
		{.name = "round robin, tiers",
		 .ops = &route_round_robin,
		 .engine_tiers = true},
		{.name = "least in flight", .ops = &route_least_in_flight},
		{.name = "least in flight, tiers",
		 .ops = &route_least_in_flight,
		 .engine_tiers = true},
		{.name = "two choices", .ops = &route_two_choices},
		{.name = "two choices, tiers",
		 .ops = &route_two_choices,
		 .engine_tiers = true},
		{.name = "leases", .ops = &route_predict},
		{.name = "ideal queue", .ops = &route_predict, .ideal = true},
	};
	uint32_t seed = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : 1;
	double load = argc > 2 ? strtod (argv[2], NULL) / 100 : 1.5;

	printf ("seed %u, load %.2f of capacity\n\n", seed, load);
	printf ("| policy | tier 1 | 2 | 3 | 4 | 5 | weighted | goodput | late "
		"work | worst account | above bound | msgs/s | kB/s |\n"
		"|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
	for (unsigned i = 0; i < sizeof all / sizeof *all; i++) {
		struct sim *s = g_new0 (struct sim, 1);

		s->policy = &all[i];
		s->load = load;
		sim_start (s, seed);
		while (s->now_ms < RUN_MS)
			sim_step (s);
		print_row (s);
		sim_finish (s);
		g_free (s);
	}
	return 0;
}
