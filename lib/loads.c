/*
 * Sums of the load that relays report, and updates on it.
 */
#include <string.h>

#include <xxhash.h>

#include "loads_priv.h"

static const struct msg_field load_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load, ep_hash),
	MSG_FIELD (2, MSG_U32, struct load, prefill_tokens),
	MSG_FIELD (3, MSG_U32, struct load, running),
	MSG_FIELD (4, MSG_BOOL, struct load, suspect),
	MSG_FIELD_END,
};

static const struct msg_field load_segment_fields[] = {
	MSG_FIELD (1, MSG_U64, struct load_segment, id),
	MSG_FIELD (2, MSG_U32, struct load_segment, ep_hash),
	MSG_FIELD (3, MSG_U32, struct load_segment, tokens),
	MSG_FIELD_END,
};

const struct msg_field load_ep_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load_ep, ep_hash),
	MSG_FIELD_END,
};

static const struct msg_field load_speed_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load_speed, ep_hash),
	MSG_FIELD (2, MSG_U32, struct load_speed, gap_us),
	MSG_FIELD_END,
};

static const struct msg_field load_waiting_fields[] = {
	MSG_FIELD (1, MSG_U32, struct load_waiting, rank),
	MSG_FIELD (2, MSG_U32, struct load_waiting, tokens),
	MSG_FIELD_END,
};

/* A segment with the relay that reported it. */
struct reported_segment {
	const void *relay;
	struct load_segment segment;
};

const struct msg_field loads_msg_fields[] = {
	MSG_FIELD_LIST (1, struct loads_msg, loads, struct load, load_fields,
			LOADS_MAX),
	MSG_FIELD (2, MSG_U64, struct loads_msg, prefill_ms),
	MSG_FIELD_LIST (3, struct loads_msg, segments, struct load_segment,
			load_segment_fields, LOADS_SEGMENTS_MAX),
	MSG_FIELD (4, MSG_BOOL, struct loads_msg, is_delta),
	MSG_FIELD (5, MSG_BOOL, struct loads_msg, has_subscription),
	MSG_FIELD_LIST (6, struct loads_msg, subscription, struct load_ep,
			load_ep_fields, LOADS_SUBSCRIPTION_MAX),
	MSG_FIELD (7, MSG_BOOL, struct loads_msg, withdraw),
	MSG_FIELD (8, MSG_U32, struct loads_msg, domain_hash),
	MSG_FIELD (9, MSG_BOOL, struct loads_msg, want_snapshot),
	MSG_FIELD_LIST (10, struct loads_msg, speeds, struct load_speed,
			load_speed_fields, LOADS_MAX),
	MSG_FIELD_LIST (11, struct loads_msg, waiting, struct load_waiting,
			load_waiting_fields, LOADS_RANKS),
	MSG_FIELD_END,
};

/* Failure domains counted separately for one endpoint. */
#define SUSPICION_DOMAINS_MAX 8

/* How many relays of which failure domains suspect one endpoint. */
struct suspicion {
	uint32_t domains[SUSPICION_DOMAINS_MAX];
	uint32_t relays[SUSPICION_DOMAINS_MAX];
	uint32_t count;
};

static GHashTable *
load_table (void)
{
	return g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL,
				      g_free);
}

static const struct load *
load_get (GHashTable *table, uint32_t ep_hash)
{
	static const struct load none;
	const struct load *x =
		g_hash_table_lookup (table, GUINT_TO_POINTER (ep_hash));

	return x != NULL ? x : &none;
}

/* Set an endpoint's load; one that is idle and not suspect is removed from the
 * table. */
static void
load_set (GHashTable *table, struct load to)
{
	struct load *x =
		g_hash_table_lookup (table, GUINT_TO_POINTER (to.ep_hash));

	if (to.prefill_tokens == 0 && to.running == 0 && !to.suspect) {
		g_hash_table_remove (table, GUINT_TO_POINTER (to.ep_hash));
		return;
	}
	if (x == NULL) {
		x = g_new0 (struct load, 1);
		g_hash_table_insert (table, GUINT_TO_POINTER (to.ep_hash), x);
	}
	*x = to;
}

/* Count one more, or one less, relay of failure domain @domain that
 * suspects an endpoint. */
static void
suspicion_add (struct loads *l, uint32_t ep_hash, uint32_t domain, bool more)
{
	struct suspicion *d =
		g_hash_table_lookup (l->suspicions, GUINT_TO_POINTER (ep_hash));
	uint32_t i = 0;

	if (d == NULL) {
		d = g_new0 (struct suspicion, 1);
		g_hash_table_insert (l->suspicions, GUINT_TO_POINTER (ep_hash),
				     d);
	}
	while (i < d->count && d->domains[i] != domain)
		i++;
	if (i == SUSPICION_DOMAINS_MAX)
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
		g_hash_table_remove (l->suspicions, GUINT_TO_POINTER (ep_hash));
}

static bool
is_suspect (const struct loads *l, uint32_t ep_hash)
{
	const struct suspicion *d =
		g_hash_table_lookup (l->suspicions, GUINT_TO_POINTER (ep_hash));

	if (d == NULL)
		return false;
	return d->count >= 2 ||
	       (g_hash_table_size (l->relay_domains) == 1 && d->relays[0] >= 2);
}

static void
relay_domain_add (struct loads *l, uint32_t domain, int32_t relays)
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
	g_hash_table_destroy (r->sent);
	if (r->subscription != NULL)
		g_array_free (r->subscription, TRUE);
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
	l->segments =
		g_array_new (FALSE, FALSE, sizeof (struct reported_segment));
	memset (l->waiting, 0, sizeof l->waiting);
	l->speeds = g_hash_table_new (g_direct_hash, g_direct_equal);
	l->new_speeds =
		g_array_new (FALSE, FALSE, sizeof (struct reported_speed));
}

void
loads_finish (struct loads *l)
{
	g_hash_table_destroy (l->sum);
	g_hash_table_destroy (l->reports);
	g_hash_table_destroy (l->suspicions);
	g_hash_table_destroy (l->relay_domains);
	g_array_free (l->segments, TRUE);
	g_hash_table_destroy (l->speeds);
	g_array_free (l->new_speeds, TRUE);
}

/* Subtract a relay's load from the sums. */
static void
subtract_own (struct loads *l, struct report *r)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, r->own);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct load *x = value,
				  *s = load_get (l->sum, x->ep_hash);

		if (x->suspect)
			suspicion_add (l, x->ep_hash, r->domain_hash, false);
		load_set (l->sum,
			  (struct load){x->ep_hash,
					s->prefill_tokens - x->prefill_tokens,
					s->running - x->running, false});
	}
	g_hash_table_remove_all (r->own);
}

void
loads_drop_relay (struct loads *l, const void *relay)
{
	struct report *r = g_hash_table_lookup (l->reports, relay);

	if (r == NULL)
		return;
	subtract_own (l, r);
	loads_set_waiting (l, r, NULL, 0);
	relay_domain_add (l, r->domain_hash, -1);
	g_hash_table_remove (l->reports, relay);
}

/* Add the prefill time since the relay's last report.  @total_ms counts from
 * the relay's start, so the first report only sets the baseline. */
static void
prefill_add (struct loads *l, struct report *r, bool first, uint64_t total_ms)
{
	if (!first && total_ms > r->prefill_ms)
		l->prefill_ms += (double)(total_ms - r->prefill_ms);
	r->prefill_ms = total_ms;
}

bool
loads_any_prefill (const struct loads *l)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init (&it, l->reports);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		if (((const struct report *)value)->prefill_ms > 0)
			return true;
	}
	return false;
}

double
loads_take_prefill_ms (struct loads *l)
{
	double prefill_ms = l->prefill_ms;

	l->prefill_ms = 0;
	return prefill_ms;
}

static void
segments_add (struct loads *l, const void *relay, const struct loads_msg *m)
{
	const struct load_segment *p = m->segments.items;

	for (uint32_t i = 0;
	     i < m->segments.count && l->segments->len < LOADS_SEGMENTS_MAX;
	     i++) {
		struct reported_segment t = {relay, p[i]};

		g_array_append_val (l->segments, t);
	}
}

void
loads_peer_segments (const struct loads *l, const void *relay, GArray *out)
{
	for (guint i = 0; i < l->segments->len; i++) {
		const struct reported_segment *t = &g_array_index (
			l->segments, struct reported_segment, i);

		if (t->relay != relay)
			g_array_append_val (out, t->segment);
	}
}

void
loads_clear_segments (struct loads *l)
{
	g_array_set_size (l->new_speeds, 0);
	g_array_set_size (l->segments, 0);
}

static gboolean
is_unsubscribed (void *ep_hash, void *load, void *subscribed)
{
	(void)load;
	return !g_hash_table_contains (subscribed, ep_hash);
}

/* Store a relay's subscription.  Like the relay, forget the peer load that it
 * was sent for endpoints no longer in it. */
static void
set_subscription (struct report *r, const struct loads_msg *m)
{
	GHashTable *subscribed =
		g_hash_table_new (g_direct_hash, g_direct_equal);
	const struct load_ep *n = m->subscription.items;

	if (r->subscription == NULL)
		r->subscription =
			g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	g_array_set_size (r->subscription, 0);
	g_array_append_vals (r->subscription, n, m->subscription.count);
	for (uint32_t i = 0; i < m->subscription.count; i++)
		g_hash_table_add (subscribed, GUINT_TO_POINTER (n[i].ep_hash));
	if (m->subscription.count > 0)
		g_hash_table_foreach_remove (r->sent, is_unsubscribed,
					     subscribed);
	g_hash_table_destroy (subscribed);
}

void
loads_set_report (struct loads *l, const void *relay, const struct loads_msg *m)
{
	struct report *r = g_hash_table_lookup (l->reports, relay);
	const struct load *x = m->loads.items;
	bool first = r == NULL;

	if (m->withdraw) {
		loads_drop_relay (l, relay);
		return;
	}
	if (first) {
		r = g_new0 (struct report, 1);
		r->own = load_table ();
		r->sent = load_table ();
		r->want_snapshot = true;
		r->domain_hash = m->domain_hash;
		relay_domain_add (l, r->domain_hash, 1);
		g_hash_table_insert (l->reports, (void *)relay, r);
	}
	subtract_own (l, r);
	prefill_add (l, r, first, m->prefill_ms);
	segments_add (l, relay, m);
	loads_add_speeds (l, relay, m);
	loads_set_waiting (l, r, m->waiting.items, m->waiting.count);
	if (m->has_subscription)
		set_subscription (r, m);
	r->want_snapshot = r->want_snapshot || m->want_snapshot;
	for (uint32_t i = 0; i < m->loads.count; i++) {
		const struct load *s = load_get (l->sum, x[i].ep_hash);
		const struct load *o = load_get (r->own, x[i].ep_hash);

		if (x[i].suspect && !o->suspect)
			suspicion_add (l, x[i].ep_hash, r->domain_hash, true);
		load_set (l->sum,
			  (struct load){x[i].ep_hash,
					s->prefill_tokens + x[i].prefill_tokens,
					s->running + x[i].running, false});
		load_set (r->own,
			  (struct load){x[i].ep_hash,
					o->prefill_tokens + x[i].prefill_tokens,
					o->running + x[i].running,
					o->suspect || x[i].suspect});
	}
}

static uint32_t
difference (uint32_t a, uint32_t b)
{
	return a > b ? a - b : b - a;
}

/* Whether the change to @now is sent to a relay that was sent @before. */
static bool
load_changed (const struct load *before, const struct load *now)
{
	return before->suspect != now->suspect ||
	       difference (before->prefill_tokens, now->prefill_tokens) >=
		       LOADS_DELTA_TOKENS ||
	       (now->prefill_tokens == 0) != (before->prefill_tokens == 0) ||
	       difference (before->running, now->running) >
		       MAX (before->running, now->running) /
			       LOADS_DELTA_DIVISOR;
}

static struct load
peer_load_at (const struct loads *l, const struct report *r, uint32_t ep_hash)
{
	const struct load *s = load_get (l->sum, ep_hash);
	const struct load *o = load_get (r->own, ep_hash);

	return (struct load){ep_hash, s->prefill_tokens - o->prefill_tokens,
			     s->running - o->running, is_suspect (l, ep_hash)};
}

static void
add_changed (struct report *r, struct load x, GArray *out)
{
	if (!load_changed (load_get (r->sent, x.ep_hash), &x))
		return;
	load_set (r->sent, x);
	g_array_append_val (out, x);
}

/* Add the changes at all endpoints: those that had load when last sent and
 * those that have load or are suspect now. */
static void
add_all_changed (const struct loads *l, struct report *r, GArray *out)
{
	GList *sent = g_hash_table_get_keys (r->sent);
	GHashTableIter it;
	void *key;

	for (GList *at = sent; at != NULL; at = at->next)
		add_changed (r,
			     peer_load_at (l, r, GPOINTER_TO_UINT (at->data)),
			     out);
	g_list_free (sent);
	g_hash_table_iter_init (&it, l->sum);
	while (g_hash_table_iter_next (&it, &key, NULL))
		add_changed (r, peer_load_at (l, r, GPOINTER_TO_UINT (key)),
			     out);
	g_hash_table_iter_init (&it, l->suspicions);
	while (g_hash_table_iter_next (&it, &key, NULL))
		add_changed (r, peer_load_at (l, r, GPOINTER_TO_UINT (key)),
			     out);
}

bool
loads_peer_loads (struct loads *l, const void *relay, GArray *out)
{
	struct report *r = g_hash_table_lookup (l->reports, relay);
	bool snapshot;

	/* Without a report, it is unknown whether the relay accepts deltas. */
	if (r == NULL)
		return true;
	snapshot = r->want_snapshot || r->subscription == NULL;
	if (snapshot)
		g_hash_table_remove_all (r->sent);
	r->want_snapshot = false;
	if (r->subscription == NULL || r->subscription->len == 0)
		add_all_changed (l, r, out);
	for (guint i = 0; r->subscription != NULL && i < r->subscription->len;
	     i++) {
		uint32_t ep_hash =
			g_array_index (r->subscription, struct load_ep, i)
				.ep_hash;

		add_changed (r, peer_load_at (l, r, ep_hash), out);
	}
	return !snapshot;
}

bool
loads_has_relay (const struct loads *l, const void *relay)
{
	return g_hash_table_contains (l->reports, relay);
}

void
loads_want_snapshot (struct loads *l, const void *relay)
{
	struct report *r = g_hash_table_lookup (l->reports, relay);

	if (r != NULL)
		r->want_snapshot = true;
}

/* Whether relays report to @a rather than to @b. */
static bool
is_preferred (const struct loads_member *a, const struct loads_member *b)
{
	if (a->is_leader != b->is_leader)
		return a->is_leader;
	/* A lost leader falls silent, so the one heard last leads. */
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
		if (best == count || is_preferred (m, &members[best]))
			best = i;
	}
	return best;
}

uint32_t
loads_ep_hash (const char *id)
{
	return XXH32 (id, strlen (id), 0);
}
