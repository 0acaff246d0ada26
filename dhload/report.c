/*
 * Reports.  Every figure is worked out once, in for_each_figure(), which
 * CSV and JSON print; the table picks from the same sources.
 */
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#include "report.h"

#define HOUR_S 3600.0

/** figure_fn - takes one figure */
typedef void (*figure_fn) (const char *scope, const char *name,
			   const char *figure, double value, void *ctx);

void
report_work (const struct tally *t, struct report_work *w)
{
	memset (w, 0, sizeof *w);
	for (guint i = 0; i < t->scen->classes->len; i++) {
		const struct tally_class *c = &t->classes[i];

		w->whole += (int64_t)c->tokens_whole;
		w->late += (int64_t)(c->tokens_whole - c->tokens_attained);
		w->cut += (int64_t)c->tokens_cut;
	}
	for (guint i = 0; i < t->scen->standins->len; i++) {
		w->generated += t->last[i].tokens - t->first[i].tokens;
		w->cancelled += t->last[i].cancelled_tokens -
				t->first[i].cancelled_tokens;
		w->lost += t->last[i].lost;
	}
	w->generated -= (int64_t)t->tokens_before;
	w->undelivered = w->generated - w->whole - w->cut;
	/* A crashed engine's last words miss what it made after them. */
	if (w->undelivered < 0)
		w->undelivered = 0;
}

void
report_cost (const struct tally *t, struct report_cost *c)
{
	int64_t tokens = 0, cheap = 0;
	uint64_t attained = 0;

	memset (c, 0, sizeof *c);
	for (guint i = 0; i < t->scen->standins->len; i++) {
		const struct scen_standin *s = &g_array_index (
			t->scen->standins, struct scen_standin, i);
		int64_t made = t->last[i].tokens - t->first[i].tokens;

		c->total += s->price_per_h * t->seconds / HOUR_S;
		tokens += made;
		cheap += s->reclaimable ? made : 0;
	}
	for (guint i = 0; i < t->scen->classes->len; i++)
		attained += t->classes[i].attained;
	c->per_attained = attained > 0 ? c->total / (double)attained : 0;
	c->cheap_share = tokens > 0 ? (double)cheap / (double)tokens : 0;
}

static double
share (uint64_t part, uint64_t all)
{
	return all > 0 ? (double)part / (double)all : 0;
}

static double
ms (const struct tally_hist *h, double q)
{
	return (double)tally_hist_at (h, q) / 1000;
}

static void
class_figures (const struct tally *t, guint i, figure_fn fn, void *ctx)
{
	const struct tally_class *c = &t->classes[i];
	const char *name =
		g_array_index (t->scen->classes, struct scen_class, i).name;
	uint32_t worst_ix = 0;
	double worst = tally_worst (t, i, false, &worst_ix);
	const struct {
		const char *figure;
		double value;
	} rows[] = {
		{"offered", (double)c->offered},
		{"attained", (double)c->attained},
		{"attainment", share (c->attained, c->offered)},
		{"first_token_attainment", share (c->ttft_ok, c->offered)},
		{"between_tokens_attainment", share (c->itl_ok, c->offered)},
		{"ttft_p50_ms", ms (&c->ttft, 0.5)},
		{"ttft_p95_ms", ms (&c->ttft, 0.95)},
		{"ttft_p99_ms", ms (&c->ttft, 0.99)},
		{"gap_p50_ms", ms (&c->gap, 0.5)},
		{"gap_p95_ms", ms (&c->gap, 0.95)},
		{"total_p50_ms", ms (&c->total, 0.5)},
		{"tokens_whole", (double)c->tokens_whole},
		{"goodput_tokens_per_s",
		 t->seconds > 0 ? (double)c->tokens_attained / t->seconds : 0},
		{"worst_account_of_fair_share", worst},
		{"worst_account_of_whole_run",
		 tally_worst (t, i, true, &worst_ix)},
	};

	for (unsigned k = 0; k < G_N_ELEMENTS (rows); k++)
		fn ("class", name, rows[k].figure, rows[k].value, ctx);
	for (int o = 0; o < TALLY_OUTCOMES; o++)
		fn ("class", name, tally_outcome_name ((enum tally_outcome)o),
		    (double)c->outcomes[o], ctx);
}

static void
account_figures (const struct tally *t, guint i, figure_fn fn, void *ctx)
{
	const GArray *list = t->scen->accounts;
	const char *name = g_array_index (list, struct scen_account, i).name;
	struct tally_account sum = {0};

	for (guint k = 0; k < t->scen->classes->len; k++) {
		const struct tally_account *a = &t->accounts[k * list->len + i];

		sum.offered += a->offered;
		sum.attained += a->attained;
		sum.tokens_asked += a->tokens_asked;
		sum.tokens_whole += a->tokens_whole;
	}
	fn ("account", name, "offered", (double)sum.offered, ctx);
	fn ("account", name, "attainment", share (sum.attained, sum.offered),
	    ctx);
	fn ("account", name, "tokens_asked", (double)sum.tokens_asked, ctx);
	fn ("account", name, "tokens_whole", (double)sum.tokens_whole, ctx);
}

static int64_t
cold_violations (const struct tally *t)
{
	int64_t n = 0;

	for (guint i = 0; i < t->scen->standins->len; i++)
		n += t->last[i].cold_violations - t->first[i].cold_violations;
	return n;
}

static double
goodput (const struct tally *t)
{
	uint64_t tokens = 0;

	for (guint i = 0; i < t->scen->classes->len; i++)
		tokens += t->classes[i].tokens_attained;
	return t->seconds > 0 ? (double)tokens / t->seconds : 0;
}

static void
system_figures (const struct tally *t, figure_fn fn, void *ctx)
{
	struct report_work w;
	struct report_cost c;

	report_work (t, &w);
	report_cost (t, &c);
	const struct {
		const char *figure;
		double value;
	} rows[] = {
		{"seconds", t->seconds},
		{"weighted_attainment", tally_weighted (t)},
		{"goodput_tokens_per_s", goodput (t)},
		{"tokens_generated", (double)w.generated},
		{"tokens_whole", (double)w.whole},
		{"wasted_late", (double)w.late},
		{"wasted_cut", (double)w.cut},
		{"wasted_undelivered", (double)w.undelivered},
		{"cancelled_tokens", (double)w.cancelled},
		{"stand_ins_lost", (double)w.lost},
		{"cold_bound_exceeded", (double)cold_violations (t)},
		{"cost", c.total},
		{"cost_per_attained", c.per_attained},
		{"cheap_share", c.cheap_share},
		{"max_open", (double)t->max_open},
		{"sent_late", (double)t->sent_late},
		{"false_not_run", (double)t->false_not_run},
		{"ran_twice", (double)t->ran_twice},
		{"lost_calls", (double)t->lost_calls},
		{"credentials_seen", (double)t->credentials},
		{"wrong", (double)tally_wrong (t)},
	};

	for (unsigned k = 0; k < G_N_ELEMENTS (rows); k++)
		fn ("system", "all", rows[k].figure, rows[k].value, ctx);
}

static void
for_each_figure (const struct tally *t, figure_fn fn, void *ctx)
{
	GHashTableIter it;
	void *name, *n;

	system_figures (t, fn, ctx);
	for (guint i = 0; i < t->scen->classes->len; i++)
		class_figures (t, i, fn, ctx);
	for (guint i = 0; i < t->scen->accounts->len; i++)
		account_figures (t, i, fn, ctx);
	g_hash_table_iter_init (&it, t->errors);
	while (g_hash_table_iter_next (&it, &name, &n))
		fn ("error", name, "count", (double)GPOINTER_TO_SIZE (n), ctx);
}

static void
csv_line (const char *scope, const char *name, const char *figure, double value,
	  void *ctx)
{
	fprintf (ctx, "%s,\"%s\",%s,%.6g\n", scope, name, figure, value);
}

void
report_csv (const struct tally *t, FILE *out)
{
	fprintf (out, "scope,name,figure,value\n");
	for_each_figure (t, csv_line, out);
}

static struct json_object *
sub_object (struct json_object *o, const char *name)
{
	struct json_object *v;

	if (json_object_object_get_ex (o, name, &v))
		return v;
	v = json_object_new_object ();
	json_object_object_add (o, name, v);
	return v;
}

static void
json_figure (const char *scope, const char *name, const char *figure,
	     double value, void *ctx)
{
	struct json_object *o = sub_object (sub_object (ctx, scope), name);

	json_object_object_add (o, figure, json_object_new_double (value));
}

void
report_json (const struct tally *t, FILE *out)
{
	struct json_object *o = json_object_new_object ();

	json_object_object_add (o, "scenario",
				json_object_new_string (t->scen->name));
	json_object_object_add (o, "seed",
				json_object_new_int64 ((int64_t)t->scen->seed));
	for_each_figure (t, json_figure, o);
	fprintf (out, "%s\n",
		 json_object_to_json_string_ext (o, JSON_C_TO_STRING_PRETTY));
	json_object_put (o);
}

static void
class_row (const struct tally *t, guint i, FILE *out)
{
	const struct tally_class *c = &t->classes[i];
	const struct scen_class *k =
		&g_array_index (t->scen->classes, struct scen_class, i);
	uint32_t worst_ix = 0;
	double worst = tally_worst (t, i, false, &worst_ix);

	fprintf (out,
		 "%-14s %4" PRIu64 " %7" PRIu64 " %7.3f %7.3f %7.3f "
		 "%8.1f %8.1f %7.1f ",
		 k->name, k->tier, c->offered, share (c->attained, c->offered),
		 share (c->ttft_ok, c->offered), share (c->itl_ok, c->offered),
		 ms (&c->ttft, 0.5), ms (&c->ttft, 0.95), ms (&c->gap, 0.95));
	for (int o = TALLY_REFUSED; o < TALLY_OUTCOMES; o++)
		fprintf (out, "%6" PRIu64 " ", c->outcomes[o]);
	if (worst >= 0)
		fprintf (out, " %s %.2f",
			 g_array_index (t->scen->accounts, struct scen_account,
					worst_ix)
				 .name,
			 worst);
	fprintf (out, "\n");
}

static void
class_table (const struct tally *t, FILE *out)
{
	fprintf (out, "%-14s %4s %7s %7s %7s %7s %8s %8s %7s ", "class", "tier",
		 "offered", "attain", "first", "between", "ttft p50",
		 "ttft p95", "gap p95");
	fprintf (out, "%6s %6s %6s %6s %6s  %s\n", "refus", "failed", "cut",
		 "wrong", "open", "worst-served account (of fair share)");
	for (guint i = 0; i < t->scen->classes->len; i++)
		class_row (t, i, out);
}

static void
work_lines (const struct tally *t, FILE *out)
{
	struct report_work w;
	int64_t all;

	report_work (t, &w);
	all = MAX (w.generated, 1);
	fprintf (out,
		 "goodput         %.0f tokens/s in answers within their "
		 "targets\n",
		 goodput (t));
	if (t->scen->standins->len == 0)
		return;
	fprintf (out,
		 "work            %" PRId64 " tokens made, %" PRId64
		 " delivered whole\n"
		 "wasted          late %" PRId64 " (%.1f %%), cut %" PRId64
		 " (%.1f %%), undelivered %" PRId64 " (%.1f %%)\n",
		 w.generated, w.whole, w.late,
		 100.0 * (double)w.late / (double)all, w.cut,
		 100.0 * (double)w.cut / (double)all, w.undelivered,
		 100.0 * (double)w.undelivered / (double)all);
	if (w.lost > 0)
		fprintf (out,
			 "lost            %u stand-ins did not answer at the "
			 "end; their last second is not counted\n",
			 w.lost);
	fprintf (out, "cold bound      exceeded %" PRId64 " times\n",
		 cold_violations (t));
}

static void
cost_lines (const struct tally *t, FILE *out)
{
	struct report_cost c;

	report_cost (t, &c);
	if (c.total <= 0)
		return;
	fprintf (out,
		 "cost            %.4f in all, %.6f for each request within "
		 "its targets\n"
		 "cheap endpoints %.1f %% of tokens\n",
		 c.total, c.per_attained, 100 * c.cheap_share);
}

static void
wrong_lines (const struct tally *t, FILE *out)
{
	GHashTableIter it;
	void *name, *n;

	g_hash_table_iter_init (&it, t->errors);
	while (g_hash_table_iter_next (&it, &name, &n))
		fprintf (out, "error           %s: %zu\n", (char *)name,
			 GPOINTER_TO_SIZE (n));
	if (t->sent_late > 0)
		fprintf (out,
			 "note            %" PRIu64
			 " requests left dhload late; their delay is counted "
			 "as the system's\n",
			 t->sent_late);
	for (uint32_t i = 0; i < t->why_count; i++)
		fprintf (out, "WRONG           %s\n", t->why[i]);
	fprintf (out,
		 "wrong           %" PRIu64 " (said not run but ran %" PRIu64
		 ", ran twice %" PRIu64 ", said done but never ran %" PRIu64
		 ", credentials seen %" PRIu64 ")\n",
		 tally_wrong (t), t->false_not_run, t->ran_twice, t->lost_calls,
		 t->credentials);
}

void
report_table (const struct tally *t, FILE *out)
{
	fprintf (out, "scenario %s, seed %" PRIu64 ", %.1f s\n\n",
		 t->scen->name, t->scen->seed, t->seconds);
	class_table (t, out);
	fprintf (out, "\nattainment      %.3f, weighted by class\n",
		 tally_weighted (t));
	work_lines (t, out);
	cost_lines (t, out);
	wrong_lines (t, out);
}
