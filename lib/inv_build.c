/*
 * Builds the typed form that the decisions read: arrays sorted for search,
 * names resolved to indexes, references checked.
 */
#include <sodium.h>
#include <string.h>

#include "inv_priv.h"

/* A document's objects on their way into the typed form. */
struct build {
	struct inv *inv;
	const struct inv_doc *doc;
	GHashTable *lines;
	GArray *problems;
	guint before; /* problems at the start */
	struct inv_obj **objs[INV_SECTIONS];
	uint32_t counts[INV_SECTIONS];
};

__attribute__ ((format (printf, 4, 5))) static void
complain (struct build *b, const struct inv_obj *o, const char *member,
	  const char *fmt, ...)
{
	char path[SET_PATH_BYTES], what[ERR_MSG_BYTES];
	uint32_t line = 0;
	va_list ap;

	if (b->lines != NULL)
		line = GPOINTER_TO_UINT (g_hash_table_lookup (b->lines, o));
	va_start (ap, fmt);
	g_vsnprintf (what, sizeof what, fmt, ap);
	va_end (ap);
	g_snprintf (path, sizeof path, "%s[%s].%s",
		    inv_section_name (o->section), o->name, member);
	set_problem (b->problems, line, path, "%s", what);
}

static gboolean
collect_one (void *name, void *obj, void *ctx)
{
	struct inv_obj ***next = ctx;

	(void)name;
	*(*next)++ = obj;
	return FALSE;
}

static void
collect (struct build *b)
{
	for (int s = 0; s < INV_SECTIONS; s++) {
		struct inv_obj **next;

		b->counts[s] = inv_doc_count (b->doc, (enum inv_section)s);
		b->objs[s] = g_new (struct inv_obj *, b->counts[s] + 1);
		next = b->objs[s];
		g_tree_foreach (b->doc->objects[s], collect_one, &next);
	}
}

/* Copies one section's structs into an array; @size of each is copied. */
static void *
copy_section (const struct build *b, enum inv_section s, size_t size,
	      uint32_t *count)
{
	char *to = g_malloc0 (size * (b->counts[s] + 1));

	for (uint32_t i = 0; i < b->counts[s]; i++)
		memcpy (to + i * size, b->objs[s][i]->typed, size);
	*count = b->counts[s];
	return to;
}

static void
copy_settings (struct build *b)
{
	if (b->counts[INV_SETTINGS] > 0)
		memcpy (&b->inv->settings, b->objs[INV_SETTINGS][0]->typed,
			sizeof b->inv->settings);
	else
		set_defaults (inv_tables[INV_SETTINGS].rows, &b->inv->settings);
}

static void
copy_all (struct build *b)
{
	struct inv *inv = b->inv;

	copy_settings (b);
	inv->domains = copy_section (b, INV_DOMAINS, sizeof *inv->domains,
				     &inv->domain_count);
	inv->entries = copy_section (b, INV_ENTRIES, sizeof *inv->entries,
				     &inv->entry_count);
	inv->classes = copy_section (b, INV_CLASSES, sizeof *inv->classes,
				     &inv->class_count);
	inv->accounts = copy_section (b, INV_ACCOUNTS, sizeof *inv->accounts,
				      &inv->account_count);
	inv->keys =
		copy_section (b, INV_KEYS, sizeof *inv->keys, &inv->key_count);
	inv->endpoints = copy_section (b, INV_ENDPOINTS, sizeof *inv->endpoints,
				       &inv->endpoint_count);
	inv->routes = copy_section (b, INV_ROUTES, sizeof *inv->routes,
				    &inv->route_count);
	inv->rules = copy_section (b, INV_RULES, sizeof *inv->rules,
				   &inv->rule_count);
}

static const GPtrArray *
models_of (const struct inv_obj *o)
{
	const struct inv_endpoint_obj *t = o->typed;

	return t->models;
}

static int
compare_model (const void *a, const void *b)
{
	return strcmp (*(const char *const *)a, *(const char *const *)b);
}

/* The models are those that endpoints list. */
static void
build_models (struct build *b)
{
	GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
	struct inv *inv = b->inv;
	char **sorted;
	guint n;

	for (uint32_t i = 0; i < b->counts[INV_ENDPOINTS]; i++) {
		const GPtrArray *list = models_of (b->objs[INV_ENDPOINTS][i]);

		for (guint j = 0; j < list->len; j++)
			g_hash_table_add (names, list->pdata[j]);
	}
	sorted = (char **)g_hash_table_get_keys_as_array (names, &n);
	if (n > 0)
		qsort (sorted, n, sizeof *sorted, compare_model);
	inv->models = g_malloc0 (sizeof *inv->models * (n + 1));
	for (guint i = 0; i < n; i++)
		g_strlcpy (inv->models[i], sorted[i], sizeof *inv->models);
	inv->model_count = n;
	g_free (sorted);
	g_hash_table_unref (names);
}

static void
check_ref (struct build *b, const struct inv_obj *o, const char *member,
	   const char *what, const char *name, int32_t ix)
{
	if (ix < 0 && *name != '\0')
		complain (b, o, member, "no %s is named \"%s\"", what, name);
}

static void
resolve_domain (struct build *b, const struct inv_obj *o, const char *name,
		uint32_t *out)
{
	int32_t ix = inv_domain_ix (b->inv, name);

	check_ref (b, o, "domain", "failure domain", name, ix);
	*out = ix < 0 ? 0 : (uint32_t)ix;
}

/* Reports the second object of two that hold one @value. */
static void
check_unique (struct build *b, GHashTable *seen, const struct inv_obj *o,
	      const char *member, char *value)
{
	const struct inv_obj *other = g_hash_table_lookup (seen, value);

	if (other != NULL)
		complain (b, o, member, "the same as that of %s", other->name);
	else if (*value != '\0')
		g_hash_table_insert (seen, value, (void *)o);
}

static void
resolve_entries (struct build *b)
{
	GHashTable *peers = g_hash_table_new (g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < b->inv->entry_count; i++) {
		struct inv_entry *e = &b->inv->entries[i];
		const struct inv_obj *o = b->objs[INV_ENTRIES][i];

		resolve_domain (b, o, e->domain, &e->domain_ix);
		check_unique (b, peers, o, "peer", e->peer);
	}
	g_hash_table_unref (peers);
}

static void
check_shares (struct build *b)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < b->inv->class_count; i++) {
		sum += b->inv->classes[i].share_permille;
		if (sum <= 1000)
			continue;
		complain (b, b->objs[INV_CLASSES][i], "share_permille",
			  "the classes' minimum shares exceed 1000");
		return;
	}
}

static void
resolve_accounts (struct build *b)
{
	for (uint32_t i = 0; i < b->inv->account_count; i++) {
		struct inv_account *a = &b->inv->accounts[i];

		a->class_ix = inv_class_ix (b->inv, a->klass);
		check_ref (b, b->objs[INV_ACCOUNTS][i], "class", "class",
			   a->klass, a->class_ix);
	}
}

static void
resolve_keys (struct build *b)
{
	struct inv *inv = b->inv;

	inv->key_by_hash = inv_key_table_new ();
	for (uint32_t i = 0; i < inv->key_count; i++) {
		struct inv_key *k = &inv->keys[i];
		const struct inv_obj *o = b->objs[INV_KEYS][i];
		const struct inv_key *other;
		int32_t ix = inv_account_ix (inv, k->account);

		check_ref (b, o, "account", "client account", k->account, ix);
		k->account_ix = ix < 0 ? 0 : (uint32_t)ix;
		/* All zero where the text gave none, a problem told already. */
		if (sodium_is_zero (k->hash, sizeof k->hash))
			continue;
		other = g_hash_table_lookup (inv->key_by_hash, k->hash);
		if (other != NULL)
			complain (b, o, "hash", "the same as that of %s",
				  other->id);
		else
			g_hash_table_insert (inv->key_by_hash, k->hash, k);
	}
}

static void
check_endpoint (struct build *b, const struct inv_obj *o,
		const struct inv_endpoint *ep)
{
	if (ep->kind == INV_ENGINE && ep->model_count == 0)
		complain (b, o, "models", "an engine needs a model");
	if (ep->kind == INV_SERVICE && *ep->group == '\0')
		complain (b, o, "group", "a service needs a group");
	if (ep->cold_bound > ep->warm_bound)
		complain (b, o, "cold_bound", "exceeds warm_bound");
}

static void
resolve_endpoints (struct build *b)
{
	GHashTable *addrs = g_hash_table_new (g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < b->inv->endpoint_count; i++) {
		struct inv_endpoint *ep = &b->inv->endpoints[i];
		const struct inv_obj *o = b->objs[INV_ENDPOINTS][i];
		const GPtrArray *list = models_of (o);

		resolve_domain (b, o, ep->domain, &ep->domain_ix);
		check_unique (b, addrs, o, "addr", ep->addr);
		for (guint j = 0; j < list->len; j++) {
			const char *m = list->pdata[j];

			ep->model_ix[j] =
				(uint16_t)inv_model_ix (b->inv, m, strlen (m));
		}
		ep->model_count = (uint16_t)list->len;
		check_endpoint (b, o, ep);
	}
	g_hash_table_unref (addrs);
}

static bool
group_exists (const struct inv *inv, const char *group)
{
	for (uint32_t i = 0; i < inv->endpoint_count; i++) {
		if (inv->endpoints[i].kind == INV_SERVICE &&
		    strcmp (inv->endpoints[i].group, group) == 0)
			return true;
	}
	return false;
}

static void
check_route (struct build *b, const struct inv_obj *o,
	     const struct inv_route *r)
{
	if (*r->prefix != '\0' && *r->prefix != '/')
		complain (b, o, "prefix", "must start with \"/\"");
	if (r->kind != INV_ROUTE_SERVICE) {
		if (*r->group != '\0')
			complain (b, o, "group",
				  "only routes of kind service have one");
		if (!r->repeatable)
			complain (b, o, "repeatable",
				  "only routes of kind service can be at most "
				  "once");
		return;
	}
	if (*r->group == '\0')
		complain (b, o, "group", "a route to a service needs one");
	else if (!group_exists (b->inv, r->group))
		complain (b, o, "group", "no service is in group \"%s\"",
			  r->group);
}

static int
compare_routes (const void *a, const void *b)
{
	const struct inv_route *ra = a, *rb = b;
	size_t la = strlen (ra->prefix), lb = strlen (rb->prefix);

	if (la != lb)
		return la > lb ? -1 : 1;
	return strcmp (ra->name, rb->name);
}

static void
resolve_routes (struct build *b)
{
	GHashTable *prefixes = g_hash_table_new (g_str_hash, g_str_equal);
	struct inv *inv = b->inv;

	for (uint32_t i = 0; i < inv->route_count; i++) {
		struct inv_route *r = &inv->routes[i];
		const struct inv_obj *o = b->objs[INV_ROUTES][i];

		r->class_ix = inv_class_ix (inv, r->klass);
		check_ref (b, o, "class", "class", r->klass, r->class_ix);
		check_unique (b, prefixes, o, "prefix", r->prefix);
		check_route (b, o, r);
	}
	g_hash_table_unref (prefixes);
	if (inv->route_count > 0)
		qsort (inv->routes, inv->route_count, sizeof *inv->routes,
		       compare_routes);
}

static void
resolve_target (struct build *b, const struct inv_obj *o, struct inv_rule *r)
{
	const char *what = "failure domain";

	r->target_ix = -1;
	switch (r->action) {
	case INV_RULE_CLASS:
		what = "class";
		r->target_ix = inv_class_ix (b->inv, r->target);
		break;
	case INV_RULE_AVOID:
	case INV_RULE_ONLY:
		r->target_ix = inv_domain_ix (b->inv, r->target);
		break;
	case INV_RULE_DENY:
	case INV_RULE_NO_RECLAIMABLE:
		if (*r->target != '\0')
			complain (b, o, "target", "the action takes none");
		return;
	}
	if (*r->target == '\0')
		complain (b, o, "target", "the action needs a %s", what);
	else
		check_ref (b, o, "target", what, r->target, r->target_ix);
}

static int
compare_rules (const void *a, const void *b)
{
	const struct inv_rule *ra = a, *rb = b;

	if (ra->order != rb->order)
		return ra->order < rb->order ? -1 : 1;
	return strcmp (ra->name, rb->name);
}

static void
resolve_rules (struct build *b)
{
	struct inv *inv = b->inv;

	for (uint32_t i = 0; i < inv->rule_count; i++) {
		struct inv_rule *r = &inv->rules[i];
		const struct inv_obj *o = b->objs[INV_RULES][i];

		check_ref (b, o, "account", "client account", r->account,
			   inv_account_ix (inv, r->account));
		check_ref (b, o, "class", "class", r->klass,
			   inv_class_ix (inv, r->klass));
		check_ref (b, o, "model", "endpoint's model", r->model,
			   inv_model_ix (inv, r->model, strlen (r->model)));
		resolve_target (b, o, r);
	}
	if (inv->rule_count > 0)
		qsort (inv->rules, inv->rule_count, sizeof *inv->rules,
		       compare_rules);
}

/* An endpoint that ordered ones are like must stay, and have a price. */
static void
resolve_like (struct build *b, const struct inv_obj *o, const char *member,
	      const char *name, bool cheap, int32_t *out)
{
	const struct inv *inv = b->inv;
	const struct inv_endpoint *ep;

	*out = inv_endpoint_ix (inv, name);
	check_ref (b, o, member, "endpoint", name, *out);
	if (*out < 0)
		return;
	ep = &inv->endpoints[*out];
	if (strcmp (ep->domain, o->name) != 0 || ep->kind != INV_ENGINE)
		complain (b, o, member, "%s is no engine of this domain", name);
	if (ep->reclaimable != cheap)
		complain (b, o, member, "%s is %sreclaimable", name,
			  cheap ? "not " : "");
	if (ep->elastic || ep->price_per_h == 0)
		complain (b, o, member, "%s %s", name,
			  ep->elastic ? "is elastic" : "has no price");
}

static void
resolve_scale (struct build *b)
{
	struct inv *inv = b->inv;

	for (uint32_t i = 0; i < inv->domain_count; i++) {
		struct inv_domain *d = &inv->domains[i];
		const struct inv_obj *o = b->objs[INV_DOMAINS][i];

		resolve_like (b, o, "new_like", d->new_like, false, &d->new_ix);
		resolve_like (b, o, "cheap_like", d->cheap_like, true,
			      &d->cheap_ix);
	}
	if (inv->settings.scale && inv->settings.budget_per_h == 0)
		complain (b, b->objs[INV_SETTINGS][0], "budget_per_h",
			  "\"scale\" needs one");
}

static bool
build_all (struct build *b, struct err *e)
{
	const struct inv_problem *p;

	collect (b);
	copy_all (b);
	build_models (b);
	resolve_entries (b);
	check_shares (b);
	resolve_accounts (b);
	resolve_keys (b);
	resolve_endpoints (b);
	resolve_scale (b);
	resolve_routes (b);
	resolve_rules (b);
	for (int s = 0; s < INV_SECTIONS; s++)
		g_free (b->objs[s]);
	if (b->problems->len == b->before)
		return true;
	p = &g_array_index (b->problems, struct inv_problem, b->before);
	return err_set (e, ERR_SETTINGS, "%s: %s", p->path, p->what);
}

bool
inv_build_at (struct inv *inv, const struct inv_doc *d, uint64_t revision,
	      GHashTable *lines, GArray *problems, struct err *e)
{
	struct build b = {.inv = inv, .doc = d, .lines = lines};
	GArray *own = NULL;
	bool ok;

	if (problems == NULL)
		problems = own =
			g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	b.problems = problems;
	b.before = problems->len;
	memset (inv, 0, sizeof *inv);
	inv->revision = revision;
	memcpy (inv->digest, d->digest, sizeof inv->digest);
	ok = build_all (&b, e);
	if (!ok)
		inv_finish (inv);
	if (own != NULL)
		g_array_unref (own);
	return ok;
}

bool
inv_build (struct inv *inv, const struct inv_doc *d, uint64_t revision,
	   GArray *problems, struct err *e)
{
	return inv_build_at (inv, d, revision, NULL, problems, e);
}

void
inv_finish (struct inv *inv)
{
	if (inv->key_by_hash != NULL)
		g_hash_table_unref (inv->key_by_hash);
	g_free (inv->domains);
	g_free (inv->entries);
	g_free (inv->classes);
	g_free (inv->accounts);
	g_free (inv->keys);
	g_free (inv->endpoints);
	g_free (inv->routes);
	g_free (inv->rules);
	g_free (inv->models);
	memset (inv, 0, sizeof *inv);
}
