/*
 * The blackboard: records that are found by name and survive changes of the
 * inventory, and estimates and predicates that derive from their fields.
 */
#include <string.h>

#include "bb.h"

/* Record sizes by enum bb_kind.  The name is the first member of every
 * record, so that the record serves as its key in @by_name. */
static const size_t bb_sizes[BB_KIND_COUNT] = {
	[BB_DOMAIN] = sizeof (struct bb_domain),
	[BB_EP] = sizeof (struct bb_ep),
	[BB_CLASS] = sizeof (struct bb_class),
	[BB_ACCOUNT] = sizeof (struct bb_account),
	[BB_PEER] = sizeof (struct bb_peer),
	[BB_MODEL] = sizeof (struct bb_pool),
	[BB_GROUP] = sizeof (struct bb_pool),
};

/** struct bb_candidate - an endpoint and its rendezvous weight */
struct bb_candidate {
	uint64_t weight;
	struct bb_ep *ep;
};

uint64_t
bb_rendezvous (const char *key, const char *node)
{
	uint64_t h = 0xcbf29ce484222325U;
	const char *strings[2] = {key, node};

	/* FNV-1a over both strings with their terminators, then a finalizer,
	 * so that names that differ in one digit get unrelated weights. */
	for (int i = 0; i < 2; i++) {
		const char *p = strings[i];

		do {
			h = (h ^ (uint8_t)*p) * 0x100000001b3U;
		} while (*p++ != '\0');
	}
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9U;
	h = (h ^ (h >> 27)) * 0x94d049bb133111ebU;
	return h ^ (h >> 31);
}

static void
pool_free_eps (struct bb_pool *p)
{
	g_free (p->eps);
	p->eps = NULL;
	p->ep_count = 0;
	p->all_count = 0;
}

static bool
rec_unused (enum bb_kind kind, const void *rec)
{
	switch (kind) {
	case BB_DOMAIN:
		return false; /* few, and endpoints point to them */
	case BB_EP:
		return ((const struct bb_ep *)rec)->inv == NULL &&
		       ((const struct bb_ep *)rec)->refs == 0;
	case BB_CLASS:
		return ((const struct bb_class *)rec)->inv == NULL &&
		       ((const struct bb_class *)rec)->refs == 0;
	case BB_ACCOUNT:
		return ((const struct bb_account *)rec)->inv == NULL &&
		       ((const struct bb_account *)rec)->refs == 0;
	case BB_PEER:
		return ((const struct bb_peer *)rec)->inv == NULL &&
		       ((const struct bb_peer *)rec)->refs == 0;
	case BB_MODEL:
	case BB_GROUP:
		return ((const struct bb_pool *)rec)->removed &&
		       ((const struct bb_pool *)rec)->refs == 0;
	case BB_KIND_COUNT:
		break;
	}
	return false;
}

static void
rec_mark_removed (enum bb_kind kind, void *rec)
{
	switch (kind) {
	case BB_DOMAIN:
		((struct bb_domain *)rec)->removed = true;
		break;
	case BB_EP:
		((struct bb_ep *)rec)->inv = NULL;
		break;
	case BB_CLASS:
		((struct bb_class *)rec)->inv = NULL;
		break;
	case BB_ACCOUNT:
		((struct bb_account *)rec)->inv = NULL;
		break;
	case BB_PEER:
		((struct bb_peer *)rec)->inv = NULL;
		break;
	case BB_MODEL:
	case BB_GROUP:
		((struct bb_pool *)rec)->removed = true;
		pool_free_eps (rec);
		break;
	case BB_KIND_COUNT:
		break;
	}
}

static void *
rec_get_or_add (struct bb *bb, enum bb_kind kind, const char *name)
{
	void *rec = g_hash_table_lookup (bb->by_name[kind], name);

	if (rec != NULL)
		return rec;
	rec = g_malloc0 (bb_sizes[kind]);
	g_strlcpy (rec, name, INV_NAME_BYTES);
	g_hash_table_insert (bb->by_name[kind], rec, rec);
	return rec;
}

void
bb_init (struct bb *bb, const char *self)
{
	memset (bb, 0, sizeof *bb);
	g_strlcpy (bb->self_name, self, sizeof bb->self_name);
	bb->groups = g_ptr_array_new ();
	for (int k = 0; k < BB_KIND_COUNT; k++)
		bb->by_name[k] = g_hash_table_new (g_str_hash, g_str_equal);
}

static void
arrays_free (struct bb *bb)
{
	g_free (bb->domains);
	g_free (bb->eps);
	g_free (bb->classes);
	g_free (bb->accounts);
	g_free (bb->peers);
	g_free (bb->models);
}

void
bb_finish (struct bb *bb)
{
	for (int k = 0; k < BB_KIND_COUNT; k++) {
		GHashTableIter it;
		void *rec;

		g_hash_table_iter_init (&it, bb->by_name[k]);
		while (g_hash_table_iter_next (&it, NULL, &rec)) {
			if (k == BB_MODEL || k == BB_GROUP)
				pool_free_eps (rec);
			g_free (rec);
		}
		g_hash_table_destroy (bb->by_name[k]);
	}
	arrays_free (bb);
	g_ptr_array_free (bb->groups, TRUE);
	memset (bb, 0, sizeof *bb);
}

void
bb_sweep (struct bb *bb)
{
	for (int k = 0; k < BB_KIND_COUNT; k++) {
		GHashTableIter it;
		void *rec;

		g_hash_table_iter_init (&it, bb->by_name[k]);
		while (g_hash_table_iter_next (&it, NULL, &rec)) {
			if (!rec_unused ((enum bb_kind)k, rec))
				continue;
			g_hash_table_iter_remove (&it);
			g_free (rec);
		}
	}
}

/* Splits an account's limits evenly over all entries.  The remainder of the
 * concurrency limit goes to the entries of lowest index, so that the shares
 * sum to the limit.  Shares that were set since stay if no input changed. */
static void
map_account (struct bb *bb, struct bb_account *a, const struct inv_account *ia)
{
	uint32_t n = MAX (bb->inv->entry_count, 1);
	uint32_t ix = bb->self == NULL
			      ? n
			      : (uint32_t)(bb->self->inv - bb->inv->entries);
	bool same = a->weight != 0 && a->split_count == n &&
		    a->rate_per_s == ia->rate_per_s &&
		    a->concurrency == ia->concurrency;

	a->inv = ia;
	a->weight = MAX (ia->weight, 1);
	if (same)
		return;
	a->split_count = n;
	a->rate_per_s = ia->rate_per_s;
	a->concurrency = ia->concurrency;
	a->base_quota.rate_milli =
		ia->rate_per_s == 0
			? BB_NO_LIMIT
			: (uint32_t)MIN (ia->rate_per_s * 1000ULL / n,
					 BB_NO_LIMIT - 1);
	a->base_quota.concurrency =
		ia->concurrency == 0
			? BB_NO_LIMIT
			: ia->concurrency / n + (ix < ia->concurrency % n);
	a->quota = a->base_quota;
	a->quota_until_ms = UINT64_MAX;
}

static void
map_clients (struct bb *bb, const struct inv *inv)
{
	bb->classes = g_new0 (struct bb_class *, inv->class_count);
	for (uint32_t i = 0; i < inv->class_count; i++) {
		struct bb_class *c =
			rec_get_or_add (bb, BB_CLASS, inv->classes[i].name);

		c->inv = &inv->classes[i];
		c->def = inv->classes[i];
		bb->classes[i] = c;
	}
	bb->accounts = g_new0 (struct bb_account *, inv->account_count);
	for (uint32_t i = 0; i < inv->account_count; i++) {
		bb->accounts[i] =
			rec_get_or_add (bb, BB_ACCOUNT, inv->accounts[i].name);
		map_account (bb, bb->accounts[i], &inv->accounts[i]);
	}
}

static void
map_topology (struct bb *bb, const struct inv *inv, uint64_t now_ms)
{
	bb->domains = g_new0 (struct bb_domain *, inv->domain_count);
	for (uint32_t i = 0; i < inv->domain_count; i++) {
		struct bb_domain *d =
			rec_get_or_add (bb, BB_DOMAIN, inv->domains[i].name);

		d->ix = i;
		d->removed = false;
		d->drained = inv->domains[i].drained;
		bb->domains[i] = d;
	}
	bb->eps = g_new0 (struct bb_ep *, inv->endpoint_count);
	for (uint32_t i = 0; i < inv->endpoint_count; i++) {
		const struct inv_endpoint *ie = &inv->endpoints[i];
		struct bb_ep *ep = rec_get_or_add (bb, BB_EP, ie->name);

		if (ep->warmup_since_ms == 0) {
			ep->id = bb_rendezvous ("", ep->name);
			ep->warmup_since_ms = now_ms;
		}
		ep->inv = ie;
		ep->domain = bb->domains[ie->domain_ix];
		bb->eps[i] = ep;
	}
	bb->peers = g_new0 (struct bb_peer *, inv->entry_count);
	bb->self = NULL;
	for (uint32_t i = 0; i < inv->entry_count; i++) {
		const struct inv_entry *ie = &inv->entries[i];
		struct bb_peer *p = rec_get_or_add (bb, BB_PEER, ie->name);

		p->inv = ie;
		p->domain = bb->domains[ie->domain_ix];
		bb->peers[i] = p;
		if (strcmp (p->name, bb->self_name) == 0)
			bb->self = p;
	}
}

static int
candidate_cmp (const void *a, const void *b)
{
	const struct bb_candidate *x = a;
	const struct bb_candidate *y = b;

	return x->weight < y->weight ? 1 : x->weight > y->weight ? -1 : 0;
}

/* Selects the endpoints that this entry uses.  In a large pool they are a
 * subset, because leases and load reports cost in proportion to their number.
 */
static void
fill_pool (struct bb *bb, struct bb_pool *p, GArray *all)
{
	struct bb_candidate *c = (struct bb_candidate *)(void *)all->data;

	p->removed = false;
	p->all_count = all->len;
	p->ep_count = MIN (all->len, BB_SUBSET_MAX);
	p->eps = g_new0 (struct bb_ep *, MAX (p->ep_count, 1));
	if (all->len > BB_SUBSET_MAX) {
		for (uint32_t i = 0; i < all->len; i++)
			c[i].weight =
				bb_rendezvous (bb->self_name, c[i].ep->name);
		qsort (c, all->len, sizeof *c, candidate_cmp);
	}
	for (uint32_t i = 0; i < p->ep_count; i++)
		p->eps[i] = c[i].ep;
}

static bool
ep_has_model (const struct inv_endpoint *ie, uint32_t model)
{
	for (uint32_t i = 0; i < ie->model_count; i++)
		if (ie->model_ix[i] == model)
			return true;
	return false;
}

static void
map_models (struct bb *bb, const struct inv *inv)
{
	GArray *all = g_array_new (FALSE, TRUE, sizeof (struct bb_candidate));

	bb->models = g_new0 (struct bb_pool *, inv->model_count);
	for (uint32_t m = 0; m < inv->model_count; m++) {
		struct bb_pool *p =
			rec_get_or_add (bb, BB_MODEL, inv->models[m]);

		g_array_set_size (all, 0);
		for (uint32_t i = 0; i < inv->endpoint_count; i++) {
			struct bb_candidate c = {.ep = bb->eps[i]};

			if (inv->endpoints[i].kind == INV_ENGINE &&
			    ep_has_model (&inv->endpoints[i], m))
				g_array_append_val (all, c);
		}
		p->kind = INV_ENGINE;
		p->model_ix = (int32_t)m;
		fill_pool (bb, p, all);
		bb->models[m] = p;
	}
	g_array_free (all, TRUE);
}

static void
map_groups (struct bb *bb, const struct inv *inv)
{
	GArray *all = g_array_new (FALSE, TRUE, sizeof (struct bb_candidate));

	for (uint32_t i = 0; i < inv->endpoint_count; i++) {
		const struct inv_endpoint *ie = &inv->endpoints[i];
		struct bb_pool *p;

		if (ie->kind != INV_SERVICE)
			continue;
		p = rec_get_or_add (bb, BB_GROUP, ie->group);
		if (p->eps != NULL)
			continue; /* done at an earlier member of the group */
		g_array_set_size (all, 0);
		for (uint32_t j = i; j < inv->endpoint_count; j++) {
			struct bb_candidate c = {.ep = bb->eps[j]};

			if (inv->endpoints[j].kind == INV_SERVICE &&
			    strcmp (inv->endpoints[j].group, ie->group) == 0)
				g_array_append_val (all, c);
		}
		p->kind = INV_SERVICE;
		p->model_ix = -1;
		fill_pool (bb, p, all);
		g_ptr_array_add (bb->groups, p);
	}
	g_array_free (all, TRUE);
}

void
bb_apply_inv (struct bb *bb, const struct inv *inv, uint64_t now_ms)
{
	for (int k = 0; k < BB_KIND_COUNT; k++) {
		GHashTableIter it;
		void *rec;

		g_hash_table_iter_init (&it, bb->by_name[k]);
		while (g_hash_table_iter_next (&it, NULL, &rec))
			rec_mark_removed ((enum bb_kind)k, rec);
	}
	arrays_free (bb);
	g_ptr_array_set_size (bb->groups, 0);
	bb->inv = inv;
	map_topology (bb, inv, now_ms);
	map_clients (bb, inv);
	map_models (bb, inv);
	map_groups (bb, inv);
	bb_sweep (bb);
}

struct bb_ep *
bb_ep_find (const struct bb *bb, const char *name)
{
	struct bb_ep *ep = g_hash_table_lookup (bb->by_name[BB_EP], name);

	return ep != NULL && ep->inv != NULL ? ep : NULL;
}

struct bb_class *
bb_class_find (const struct bb *bb, const char *name)
{
	struct bb_class *c = g_hash_table_lookup (bb->by_name[BB_CLASS], name);

	return c != NULL && c->inv != NULL ? c : NULL;
}

struct bb_account *
bb_account_find (const struct bb *bb, const char *name)
{
	struct bb_account *a =
		g_hash_table_lookup (bb->by_name[BB_ACCOUNT], name);

	return a != NULL && a->inv != NULL ? a : NULL;
}

struct bb_peer *
bb_peer_find (const struct bb *bb, const char *name)
{
	struct bb_peer *p = g_hash_table_lookup (bb->by_name[BB_PEER], name);

	return p != NULL && p->inv != NULL ? p : NULL;
}

struct bb_domain *
bb_domain_find (const struct bb *bb, const char *name)
{
	struct bb_domain *d =
		g_hash_table_lookup (bb->by_name[BB_DOMAIN], name);

	return d != NULL && !d->removed ? d : NULL;
}

struct bb_pool *
bb_pool_model (const struct bb *bb, const char *name, size_t len)
{
	char key[INV_NAME_BYTES];
	struct bb_pool *p;

	if (len >= sizeof key)
		return NULL;
	memcpy (key, name, len);
	key[len] = '\0';
	p = g_hash_table_lookup (bb->by_name[BB_MODEL], key);
	return p != NULL && !p->removed ? p : NULL;
}

struct bb_pool *
bb_pool_group (const struct bb *bb, const char *name)
{
	struct bb_pool *p = g_hash_table_lookup (bb->by_name[BB_GROUP], name);

	return p != NULL && !p->removed ? p : NULL;
}

static void
ep_event (struct bb_ep *ep, uint64_t now_ms, int8_t delta)
{
	ep->events[ep->event_next] = (struct bb_event){now_ms, delta};
	ep->event_next = (ep->event_next + 1) % BB_EVENTS;
}

void
bb_ep_sent (struct bb_ep *ep, uint64_t now_ms)
{
	ep->refs++;
	ep->in_flight++;
	ep_event (ep, now_ms, 1);
}

void
bb_ep_done (struct bb_ep *ep, uint64_t now_ms)
{
	ep->in_flight--;
	ep->refs--;
	ep_event (ep, now_ms, -1);
}

void
bb_ep_reported (struct bb_ep *ep, const struct bb_load *load)
{
	if (load->sampled_ms >= ep->load.sampled_ms)
		ep->load = *load;
}

void
bb_ep_set_cold (struct bb_ep *ep, uint64_t now_ms)
{
	ep->warmup = BB_COLD;
	ep->warmup_since_ms = now_ms;
	ep->last_cold_ms = now_ms;
	ep->cold_answers = 0;
	ep->cold_end_ms = 0;
	ep->samples = 0;
	ep->slow_in_row = 0;
}

void
bb_ep_start_ramp (struct bb_ep *ep, uint64_t at_ms)
{
	ep->cold_end_ms = at_ms;
	ep->warmup = BB_RAMP;
	ep->warmup_since_ms = at_ms;
}

void
bb_ep_down (struct bb_ep *ep, uint64_t now_ms)
{
	ep->down = true;
	ep->load = (struct bb_load){0};
	bb_ep_set_cold (ep, now_ms);
}

void
bb_ep_up (struct bb_ep *ep, uint64_t now_ms)
{
	if (!ep->down)
		return;
	ep->down = false;
	ep->fails_in_row = 0;
	bb_ep_set_cold (ep, now_ms);
}

double
bb_ep_load (const struct bb_ep *ep)
{
	double load = ep->in_flight;
	double reported;

	if (ep->load.sampled_ms == 0)
		return load;
	reported = (double)ep->load.running + ep->load.waiting;
	for (uint32_t i = 0; i < BB_EVENTS; i++)
		if (ep->events[i].at_ms > ep->load.sampled_ms)
			reported += ep->events[i].delta;
	return MAX (reported, load);
}

bool
bb_ep_available (const struct bb_ep *ep)
{
	return ep->inv != NULL && !ep->down && !ep->leaving &&
	       !ep->inv->drained && !ep->domain->drained;
}

bool
bb_ep_has_credit (const struct bb_ep *ep, uint64_t now_ms)
{
	return ep->in_flight < ep->credits && now_ms < ep->credits_until_ms;
}
