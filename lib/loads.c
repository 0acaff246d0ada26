/*
 * Sums of relays' loads.
 */
#include <string.h>

#include <xxhash.h>

#include "loads.h"

static const struct msg_field load_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load, ep),
	MSG_FIELD (2, MSG_U32, struct load, unread),
	MSG_FIELD (3, MSG_U32, struct load, running),
	MSG_FIELD (4, MSG_BOOL, struct load, down),
	MSG_FIELD_END,
};

static const struct msg_field part_fields[] = {
	MSG_FIELD (1, MSG_U64, struct load_segment, id),
	MSG_FIELD (2, MSG_U32, struct load_segment, ep_hash),
	MSG_FIELD (3, MSG_U32, struct load_segment, tokens),
	MSG_FIELD_END,
};

const struct msg_field load_ep_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load_ep, ep_hash),
	MSG_FIELD_END,
};

struct told_part {
	const void *by;
	struct load_segment part;
};

const struct msg_field loads_msg_fields[] = {
	MSG_FIELD_LIST (1, struct loads_msg, loads, struct load, load_fields,
			LOADS_MAX),
	MSG_FIELD (2, MSG_U64, struct loads_msg, prefill_ms),
	MSG_FIELD_LIST (3, struct loads_msg, segments, struct load_segment,
			part_fields, LOADS_SEGMENTS_MAX),
	MSG_FIELD (4, MSG_BOOL, struct loads_msg, is_delta),
	MSG_FIELD (5, MSG_BOOL, struct loads_msg, has_subscription),
	MSG_FIELD_LIST (6, struct loads_msg, subscription, struct load_ep,
			load_ep_fields, LOADS_SUBSCRIPTION_MAX),
	MSG_FIELD (7, MSG_BOOL, struct loads_msg, withdraw),
	MSG_FIELD (8, MSG_U32, struct loads_msg, domain_hash),
	MSG_FIELD (9, MSG_BOOL, struct loads_msg, want_snapshot),
	MSG_FIELD_END,
};

/* What one reporter told, and was told. */
struct report {
	GHashTable *own;  /* ep to struct load */
	GHashTable *told; /* ep to struct load, of the others */
	GArray *watch;    /* of struct load_ep; NULL: takes no changes */
	bool untold;      /* it has to be told all */
	uint64_t work_ms;
	uint32_t domain;
};

#define DOUBT_DOMAINS_MAX 8

/* Relays that doubt one endpoint, by failure domain. */
struct doubts {
	uint32_t domains[DOUBT_DOMAINS_MAX];
	uint32_t relays[DOUBT_DOMAINS_MAX];
	uint32_t count;
};

static GHashTable *
load_table (void)
{
	return g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
				      g_free);
}

static const struct load *
load_get (GHashTable *table, uint32_t ep)
{
	static const struct load none;
	const struct load *x =
		g_hash_table_lookup (table, GUINT_TO_POINTER (ep));

	return x != NULL ? x : &none;
}

/* An endpoint without load, and not down, is not in the table. */
static void
load_set (GHashTable *table, struct load to)
{
	struct load *x = g_hash_table_lookup (table, GUINT_TO_POINTER (to.ep));

	if (to.unread == 0 && to.running == 0 && !to.down) {
		g_hash_table_remove (table, GUINT_TO_POINTER (to.ep));
		return;
	}
	if (x == NULL) {
		x = g_new0 (struct load, 1);
		g_hash_table_insert (table, GUINT_TO_POINTER (to.ep), x);
	}
	*x = to;
}

/* One relay of @domain more, or less, doubts @ep. */
static void
doubt_add (struct loads *l, uint32_t ep, uint32_t domain, bool more)
{
	struct doubts *d =
		g_hash_table_lookup (l->suspicions, GUINT_TO_POINTER (ep));
	uint32_t i = 0;

	if (d == NULL) {
		d = g_new0 (struct doubts, 1);
		g_hash_table_insert (l->suspicions, GUINT_TO_POINTER (ep), d);
	}
	while (i < d->count && d->domains[i] != domain)
		i++;
	if (i == DOUBT_DOMAINS_MAX)
		return;
	if (i == d->count)
		d->domains[d->count++] = domain;
	if (more)
		d->relays[i]++;
	else if (d->relays[i] > 0)
		d->relays[i]--;
	if (d->relays[i] > 0)
		return;
	d->count--;
	d->domains[i] = d->domains[d->count];
	d->relays[i] = d->relays[d->count];
	d->relays[d->count] = 0;
	if (d->count == 0)
		g_hash_table_remove (l->suspicions, GUINT_TO_POINTER (ep));
}

static bool
is_down (const struct loads *l, uint32_t ep)
{
	const struct doubts *d =
		g_hash_table_lookup (l->suspicions, GUINT_TO_POINTER (ep));

	if (d == NULL)
		return false;
	return d->count >= 2 ||
	       (g_hash_table_size (l->relay_domains) == 1 && d->relays[0] >= 2);
}

static void
domain_add (struct loads *l, uint32_t domain, int32_t relays)
{
	int32_t n = GPOINTER_TO_INT (g_hash_table_lookup (
			    l->relay_domains, GUINT_TO_POINTER (domain))) +
		    relays;

	if (n > 0)
		g_hash_table_insert (l->relay_domains,
				     GUINT_TO_POINTER (domain),
				     GINT_TO_POINTER (n));
	else
		g_hash_table_remove (l->relay_domains,
				     GUINT_TO_POINTER (domain));
}

static void
report_free (void *data)
{
	struct report *r = data;

	g_hash_table_destroy (r->own);
	g_hash_table_destroy (r->told);
	if (r->watch != NULL)
		g_array_free (r->watch, TRUE);
	g_free (r);
}

void
loads_init (struct loads *l)
{
	l->sum = load_table ();
	l->reports = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
					    report_free);
	l->suspicions = load_table ();
	l->relay_domains = g_hash_table_new (g_direct_hash, g_direct_equal);
	l->prefill_ms = 0;
	l->segments = g_array_new (FALSE, FALSE, sizeof (struct told_part));
}

void
loads_finish (struct loads *l)
{
	g_hash_table_destroy (l->sum);
	g_hash_table_destroy (l->reports);
	g_hash_table_destroy (l->suspicions);
	g_hash_table_destroy (l->relay_domains);
	g_array_free (l->segments, TRUE);
}

/* Take a reporter's loads out of the sums. */
static void
own_drop (struct loads *l, struct report *r)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, r->own);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct load *x = value, *s = load_get (l->sum, x->ep);

		if (x->down)
			doubt_add (l, x->ep, r->domain, false);
		load_set (l->sum,
			  (struct load){x->ep, s->unread - x->unread,
					s->running - x->running, false});
	}
	g_hash_table_remove_all (r->own);
}

void
loads_drop_relay (struct loads *l, const void *reporter)
{
	struct report *r = g_hash_table_lookup (l->reports, reporter);

	if (r == NULL)
		return;
	own_drop (l, r);
	domain_add (l, r->domain, -1);
	g_hash_table_remove (l->reports, reporter);
}

/* Totals since the reporter's start; the first one only sets the mark. */
static void
work_take (struct loads *l, struct report *r, bool first, uint64_t work_ms)
{
	if (!first && work_ms > r->work_ms)
		l->prefill_ms += (double)(work_ms - r->work_ms);
	r->work_ms = work_ms;
}

bool
loads_any_prefill (const struct loads *l)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, l->reports);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		if (((const struct report *)value)->work_ms > 0)
			return true;
	}
	return false;
}

double
loads_take_prefill_ms (struct loads *l)
{
	double work_ms = l->prefill_ms;

	l->prefill_ms = 0;
	return work_ms;
}

static void
parts_take (struct loads *l, const void *reporter, const struct loads_msg *m)
{
	const struct load_segment *p = m->segments.items;

	for (uint32_t i = 0;
	     i < m->segments.count && l->segments->len < LOADS_SEGMENTS_MAX;
	     i++) {
		struct told_part t = {reporter, p[i]};

		g_array_append_val (l->segments, t);
	}
}

void
loads_peer_segments (const struct loads *l, const void *reporter, GArray *out)
{
	for (guint i = 0; i < l->segments->len; i++) {
		const struct told_part *t =
			&g_array_index (l->segments, struct told_part, i);

		if (t->by != reporter)
			g_array_append_val (out, t->part);
	}
}

void
loads_clear_segments (struct loads *l)
{
	g_array_set_size (l->segments, 0);
}

static gboolean
is_unwatched (void *ep, void *load, void *names)
{
	(void)load;
	return !g_hash_table_contains (names, ep);
}

/* What it was told of the others is forgotten here as it is there. */
static void
watch_take (struct report *r, const struct loads_msg *m)
{
	GHashTable *names = g_hash_table_new (g_direct_hash, g_direct_equal);
	const struct load_ep *n = m->subscription.items;

	if (r->watch == NULL)
		r->watch = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	g_array_set_size (r->watch, 0);
	g_array_append_vals (r->watch, n, m->subscription.count);
	for (uint32_t i = 0; i < m->subscription.count; i++)
		g_hash_table_add (names, GUINT_TO_POINTER (n[i].ep_hash));
	if (m->subscription.count > 0)
		g_hash_table_foreach_remove (r->told, is_unwatched, names);
	g_hash_table_destroy (names);
}

void
loads_set_report (struct loads *l, const void *reporter,
		  const struct loads_msg *m)
{
	struct report *r = g_hash_table_lookup (l->reports, reporter);
	const struct load *x = m->loads.items;
	bool first = r == NULL;

	if (m->withdraw) {
		loads_drop_relay (l, reporter);
		return;
	}
	if (first) {
		r = g_new0 (struct report, 1);
		r->own = load_table ();
		r->told = load_table ();
		r->untold = true;
		r->domain = m->domain_hash;
		domain_add (l, r->domain, 1);
		g_hash_table_insert (l->reports, (void *)reporter, r);
	}
	own_drop (l, r);
	work_take (l, r, first, m->prefill_ms);
	parts_take (l, reporter, m);
	if (m->has_subscription)
		watch_take (r, m);
	r->untold = r->untold || m->want_snapshot;
	for (uint32_t i = 0; i < m->loads.count; i++) {
		const struct load *s = load_get (l->sum, x[i].ep);
		const struct load *o = load_get (r->own, x[i].ep);

		if (x[i].down && !o->down)
			doubt_add (l, x[i].ep, r->domain, true);
		load_set (l->sum,
			  (struct load){x[i].ep, s->unread + x[i].unread,
					s->running + x[i].running, false});
		load_set (r->own,
			  (struct load){x[i].ep, o->unread + x[i].unread,
					o->running + x[i].running,
					o->down || x[i].down});
	}
}

static uint32_t
apart (uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

/* Whether @now is worth a word to one that knows @before. */
static bool
load_changed (const struct load *before, const struct load *now)
{
	return before->down != now->down ||
	       apart (before->unread, now->unread) >= LOADS_DELTA_TOKENS ||
	       (now->unread == 0) != (before->unread == 0) ||
	       apart (before->running, now->running) >
		       MAX (before->running, now->running) /
			       LOADS_DELTA_DIVISOR;
}

static struct load
others_at (const struct loads *l, const struct report *r, uint32_t ep)
{
	const struct load *s = load_get (l->sum, ep);
	const struct load *o = load_get (r->own, ep);

	return (struct load){ep, s->unread - o->unread, s->running - o->running,
			     is_down (l, ep)};
}

static void
tell_one (struct report *r, struct load x, GArray *out)
{
	if (!load_changed (load_get (r->told, x.ep), &x))
		return;
	load_set (r->told, x);
	g_array_append_val (out, x);
}

/* All that changed: what had a load when it was told, and what has one. */
static void
tell_all (const struct loads *l, struct report *r, GArray *out)
{
	GList *told = g_hash_table_get_keys (r->told);
	GHashTableIter it;
	void *key;

	for (GList *at = told; at != NULL; at = at->next)
		tell_one (r, others_at (l, r, GPOINTER_TO_UINT (at->data)),
			  out);
	g_list_free (told);
	g_hash_table_iter_init (&it, l->sum);
	while (g_hash_table_iter_next (&it, &key, NULL))
		tell_one (r, others_at (l, r, GPOINTER_TO_UINT (key)), out);
	g_hash_table_iter_init (&it, l->suspicions);
	while (g_hash_table_iter_next (&it, &key, NULL))
		tell_one (r, others_at (l, r, GPOINTER_TO_UINT (key)), out);
}

bool
loads_peer_loads (struct loads *l, const void *reporter, GArray *out)
{
	struct report *r = g_hash_table_lookup (l->reports, reporter);
	bool whole;

	/* It told nothing yet: nobody knows whether it takes changes. */
	if (r == NULL)
		return true;
	whole = r->untold || r->watch == NULL;
	if (whole)
		g_hash_table_remove_all (r->told);
	r->untold = false;
	if (r->watch == NULL || r->watch->len == 0)
		tell_all (l, r, out);
	for (guint i = 0; r->watch != NULL && i < r->watch->len; i++) {
		uint32_t ep =
			g_array_index (r->watch, struct load_ep, i).ep_hash;

		tell_one (r, others_at (l, r, ep), out);
	}
	return !whole;
}

bool
loads_has_relay (const struct loads *l, const void *reporter)
{
	return g_hash_table_contains (l->reports, reporter);
}

void
loads_want_snapshot (struct loads *l, const void *reporter)
{
	struct report *r = g_hash_table_lookup (l->reports, reporter);

	if (r != NULL)
		r->untold = true;
}

/* Whether @a is to be told rather than @b. */
static bool
target_before (const struct loads_member *a, const struct loads_member *b)
{
	if (a->is_leader != b->is_leader)
		return a->is_leader;
	/* Of two that say they lead, the one that was lost falls silent. */
	if (a->is_leader && a->last_heard_ms != b->last_heard_ms)
		return a->last_heard_ms > b->last_heard_ms;
	return strcmp (a->addr, b->addr) < 0;
}

uint32_t
loads_choose_member (const struct loads_member *members, uint32_t count,
		     uint64_t now_ms)
{
	uint32_t best = count;

	for (uint32_t i = 0; i < count; i++) {
		const struct loads_member *m = &members[i];

		if (m->last_heard_ms == 0 ||
		    now_ms > m->last_heard_ms + LOADS_MEMBER_TIMEOUT_MS)
			continue;
		if (best == count || target_before (m, &members[best]))
			best = i;
	}
	return best;
}

uint32_t
loads_ep_hash (const char *id)
{
	return XXH32 (id, strlen (id), 0);
}
