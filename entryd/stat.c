/*
 * Figures of this entry: by class, and of the process.
 */
#include <math.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

struct class_stats *
stat_class (struct entry *e, const char *name)
{
	struct class_stats *s = g_hash_table_lookup (e->stats, name);

	if (s != NULL)
		return s;
	s = g_new0 (struct class_stats, 1);
	g_hash_table_insert (e->stats, g_strdup (name), s);
	return s;
}

static struct share_stats *
share_get (GHashTable *table, const char *name)
{
	struct share_stats *s = g_hash_table_lookup (table, name);

	if (s != NULL)
		return s;
	s = g_new0 (struct share_stats, 1);
	g_hash_table_insert (table, g_strdup (name), s);
	return s;
}

static void
share_done (struct share_stats *s, const struct req *r, bool whole,
	    bool in_time, uint32_t tokens)
{
	s->requests++;
	if (!whole)
		return;
	s->whole++;
	s->attained += in_time;
	s->tokens += tokens;
	if (r->cheap)
		s->cheap_tokens += tokens;
}

/* For the elastic decision: a request of one tier weighs twice as much as one
 * of the next. */
static void
stat_weigh (struct req *r, bool attained)
{
	uint64_t weight = 1U << (INV_TIERS - r->node.klass->def.tier);

	r->e->asked += weight;
	if (attained)
		r->e->attained += weight;
}

/* A request counts once, however often it is queued. */
void
stat_taken (struct req *r)
{
	if (!r->counted)
		stat_class (r->e, r->node.klass->name)->requests++;
	r->counted = true;
}

/* A request ended without an answer of an endpoint.  Refusals for what the
 * caller did, 4xx, say nothing of attainment. */
void
stat_refused (struct req *r, enum err_kind kind)
{
	stat_taken (r);
	if (err_answer (kind)->status >= 500)
		stat_weigh (r, false);
	stat_class (r->e, r->node.klass->name)->refused++;
	share_get (r->e->accounts, r->account)->requests++;
}

/* An answer ended; @whole: as it should. */
void
stat_done (struct req *r, bool whole)
{
	const struct inv_class *c = &r->node.klass->def;
	struct class_stats *s = stat_class (r->e, c->name);
	uint64_t now_us = tmr_now_us ();
	uint64_t first_us = r->first_us != 0 ? r->first_us : now_us;
	uint64_t ttft_us = first_us - r->arrived_us, itl_us = 0;
	uint32_t tokens = r->sse_made ? r->sse.tokens : 0;
	bool in_time;

	if (r->begun && tokens > 1)
		itl_us = (r->last_us - r->first_us) / (tokens - 1);
	in_time = r->status < 400 && ttft_us <= (uint64_t)c->ttft_ms * 1000 &&
		  (c->itl_ms == 0 || itl_us <= (uint64_t)c->itl_ms * 1000);
	/* An answer told again was counted and billed when it was made. */
	if (!r->stored) {
		usage_answered (r, whole);
		share_done (share_get (r->e->accounts, r->account), r, whole,
			    in_time, tokens);
		share_done (share_get (r->e->domains, r->domain), r, whole,
			    in_time, tokens);
		stat_weigh (r, whole && in_time);
		s->whole += whole;
		s->cut += !whole;
		s->attained += whole && in_time;
		*(whole ? &s->tokens : &s->wasted_tokens) += tokens;
		hist_add (&s->ttft_us, ttft_us);
		if (itl_us != 0)
			hist_add (&s->itl_us, itl_us);
	}
	log_event (LOG_LV_INFO, "done",
		   "req=%s account=%s class=%s status=%d whole=%d tokens=%u "
		   "ttft_ms=%.1f itl_ms=%.1f total_ms=%.1f attempts=%u",
		   r->id, r->account, c->name, r->status, whole, tokens,
		   (double)ttft_us / 1000, (double)itl_us / 1000,
		   (double)(now_us - r->arrived_us) / 1000, r->attempts);
}

/*
 * What endpoints cost, by domain.  Every entry counts an even share of the
 * price of every endpoint in force, so that the entries' sums are the cost
 * while they ran.
 */
void
stat_cost (struct entry *e, uint64_t now_ms)
{
	const struct inv *inv = e->inv;
	double hours =
		e->cost_ms == 0 ? 0 : (double)(now_ms - e->cost_ms) / 3600000;

	e->cost_ms = now_ms;
	if (inv->entry_count == 0)
		return;
	for (uint32_t i = 0; i < inv->endpoint_count; i++) {
		const struct inv_endpoint *ep = &inv->endpoints[i];

		if (ep->price_per_h > 0)
			share_get (e->domains, ep->domain)->cost +=
				ep->price_per_h * hours / inv->entry_count;
	}
}

static const struct {
	const char *name;
	size_t offset;
} counters[] = {
	{"requests", offsetof (struct class_stats, requests)},
	{"whole", offsetof (struct class_stats, whole)},
	{"cut", offsetof (struct class_stats, cut)},
	{"refused", offsetof (struct class_stats, refused)},
	{"cancelled", offsetof (struct class_stats, cancelled)},
	{"attained", offsetof (struct class_stats, attained)},
	{"tokens", offsetof (struct class_stats, tokens)},
	{"wasted_tokens", offsetof (struct class_stats, wasted_tokens)},
	{"retries", offsetof (struct class_stats, retries)},
};

static uint64_t
counter (const struct class_stats *s, unsigned i)
{
	return *(const uint64_t *)((const char *)s + counters[i].offset);
}

static void
print_classes (struct entry *e, GString *out)
{
	GHashTableIter it;
	gpointer name, p;

	for (unsigned i = 0; i < G_N_ELEMENTS (counters); i++) {
		g_string_append_printf (
			out, "# TYPE dragonflyhinge_%s_total counter\n",
			counters[i].name);
		g_hash_table_iter_init (&it, e->stats);
		while (g_hash_table_iter_next (&it, &name, &p))
			g_string_append_printf (
				out,
				"dragonflyhinge_%s_total{class=\"%s\"} "
				"%" G_GUINT64_FORMAT "\n",
				counters[i].name, (char *)name, counter (p, i));
	}
	g_hash_table_iter_init (&it, e->stats);
	while (g_hash_table_iter_next (&it, &name, &p)) {
		const struct class_stats *s = p;
		char *label = g_strdup_printf ("class=\"%s\"", (char *)name);

		hist_print (&s->ttft_us, "dragonflyhinge_ttft_seconds", label,
			    1e6, out);
		hist_print (&s->itl_us, "dragonflyhinge_itl_seconds", label,
			    1e6, out);
		hist_print (&s->added_us, "dragonflyhinge_dispatch_seconds",
			    label, 1e6, out);
		g_free (label);
	}
}

/* All figures in the Prometheus text format. */
void
stat_print (struct entry *e, GString *out)
{
	print_classes (e, out);
	for (int k = 0; k < ERR_KINDS; k++) {
		if (e->errors[k] == 0)
			continue;
		g_string_append_printf (
			out,
			"dragonflyhinge_errors_total{kind=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			err_name ((enum err_kind)k), e->errors[k]);
	}
	g_string_append_printf (
		out,
		"dragonflyhinge_running %u\ndragonflyhinge_queued %u\n"
		"dragonflyhinge_connections %u\n"
		"dragonflyhinge_chunks_total %" G_GUINT64_FORMAT "\n"
		"dragonflyhinge_revision %" G_GUINT64_FORMAT "\n"
		"dragonflyhinge_control_bytes_total %" G_GUINT64_FORMAT "\n",
		e->running, e->adm.queued, httpd_connections (&e->callers),
		e->chunks, e->revision, peer_bytes_sent (e));
	quota_print (&e->quota, "dragonflyhinge", out);
	frame_print_sent ("dragonflyhinge_sent_bytes_total", e->sent_bytes,
			  out);
	g_string_append_printf (
		out,
		"dragonflyhinge_sent_bytes_total{kind=\"membership\"} "
		"%" G_GUINT64_FORMAT "\n",
		membudp_bytes_sent (e->members));
}

static void
shares_json (const struct entry *e, GHashTable *table, const char *member,
	     GString *out)
{
	GHashTableIter it;
	gpointer name, p;
	const char *sep = "";

	g_string_append_printf (out, ",\"%s\":[", member);
	g_hash_table_iter_init (&it, table);
	while (g_hash_table_iter_next (&it, &name, &p)) {
		const struct share_stats *s = p;

		g_string_append_printf (
			out,
			"%s{\"name\":\"%s\",\"requests\":%" G_GUINT64_FORMAT
			",\"whole\":%" G_GUINT64_FORMAT
			",\"attained\":%" G_GUINT64_FORMAT
			",\"tokens\":%" G_GUINT64_FORMAT
			",\"cheap_tokens\":%" G_GUINT64_FORMAT,
			sep, *(char *)name != '\0' ? (char *)name : "(open)",
			s->requests, s->whole, s->attained, s->tokens,
			s->cheap_tokens);
		if (table == e->domains)
			g_string_append_printf (out, ",\"cost\":%.0f", s->cost);
		g_string_append_c (out, '}');
		sep = ",";
	}
	g_string_append (out, "]");
}

/* The figures that dhctl report adds up over entries. */
void
stat_json (struct entry *e, GString *out)
{
	GHashTableIter it;
	gpointer name, p;
	const char *sep = "";

	g_string_append_printf (out,
				"{\"name\":\"%s\",\"domain\":\"%s\","
				"\"classes\":[",
				e->set.name, e->set.domain);
	g_hash_table_iter_init (&it, e->stats);
	while (g_hash_table_iter_next (&it, &name, &p)) {
		const struct class_stats *s = p;

		g_string_append_printf (out, "%s{\"name\":\"%s\"", sep,
					(char *)name);
		for (unsigned i = 0; i < G_N_ELEMENTS (counters); i++)
			g_string_append_printf (
				out, ",\"%s\":%" G_GUINT64_FORMAT,
				counters[i].name, counter (s, i));
		g_string_append_printf (
			out, ",\"ttft_p95_ms\":%.1f,\"itl_p95_ms\":%.1f}",
			(double)hist_quantile (&s->ttft_us, 0.95) / 1000,
			(double)hist_quantile (&s->itl_us, 0.95) / 1000);
		sep = ",";
	}
	g_string_append (out, "]");
	shares_json (e, e->accounts, "accounts", out);
	shares_json (e, e->domains, "domains", out);
	g_string_append (out, "}\n");
}
