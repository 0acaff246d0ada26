/*
 * Findings on configurations.
 */
#include <string.h>

#include "plancheck_priv.h"

/* plan_match_route() looks up no longer host. */
#define HOST_MAX_BYTES 255

void
plancheck_add_line (GPtrArray *lines, const char *format, ...)
{
	va_list ap;

	va_start (ap, format);
	g_ptr_array_add (lines, g_strdup_vprintf (format, ap));
	va_end (ap);
}

char *
plancheck_route_label (const void *item)
{
	const struct plan_route *r = item;

	return r->name[0] != '\0' ? g_strdup_printf ("%s (%s%s)", r->name,
						     r->host, r->prefix)
				  : g_strconcat (r->host, r->prefix, NULL);
}

char *
plancheck_service_label (const void *item)
{
	const struct plan_service *s = item;

	return g_strdup (s->name);
}

char *
plancheck_account_label (const void *item)
{
	const struct plan_account *a = item;

	return g_strdup (a->name);
}

/* Tells why no request can match a route, or NULL. */
static const char *
route_never_matches (const struct plan_route *r)
{
	if (r->host[0] == '\0')
		return "its host is empty";
	if (strchr (r->host, ':') != NULL)
		return "its host has a colon; hosts are compared without a "
		       "port";
	if (strlen (r->host) > HOST_MAX_BYTES)
		return "its host is longer than 255 bytes";
	if (strchr (r->host, ' ') != NULL || strchr (r->prefix, ' ') != NULL)
		return "its host or prefix has a space";
	return NULL;
}

static void G_GNUC_PRINTF (3, 4)
	add_for_route (GPtrArray *out, const struct plan_route *r,
		       const char *format, ...)
{
	char *label = plancheck_route_label (r), *text;
	va_list ap;

	va_start (ap, format);
	text = g_strdup_vprintf (format, ap);
	va_end (ap);
	plancheck_add_line (out, "route %s: %s", label, text);
	g_free (text);
	g_free (label);
}

static void
find_in_route (const struct plan_route *r, GPtrArray *out)
{
	const char *why = route_never_matches (r);
	uint64_t attempts_ms = (uint64_t)r->max_attempts * r->latency_target_ms;

	if (why != NULL)
		add_for_route (out, r, "never matches: %s", why);
	if (r->timeout_ms < r->latency_target_ms)
		add_for_route (out, r,
			       "timeout %u ms is below the latency objective "
			       "%u ms",
			       r->timeout_ms, r->latency_target_ms);
	else if (r->max_attempts > 1 && attempts_ms > r->timeout_ms)
		add_for_route (out, r,
			       "%u attempts of %u ms, the latency objective, "
			       "don't fit into the timeout %u ms",
			       r->max_attempts, r->latency_target_ms,
			       r->timeout_ms);
	if (r->kind == PLAN_STREAM && r->timeout_ms < r->gap_target_ms)
		add_for_route (out, r,
			       "timeout %u ms is below the objective for "
			       "pauses %u ms",
			       r->timeout_ms, r->gap_target_ms);
	if (r->kind != PLAN_STREAM && r->gap_target_ms > 0)
		add_for_route (out, r,
			       "the objective for pauses has no effect without "
			       "streaming");
	if (r->kind != PLAN_STREAM && r->resumable)
		add_for_route (out, r,
			       "resumable has no effect without streaming");
	for (uint32_t i = 0; i < r->backend_count; i++) {
		if (r->backends[i].weight == 0)
			add_for_route (out, r,
				       "service %s gets no request: its weight "
				       "is 0",
				       r->backends[i].service->name);
	}
}

static void
find_in_service (const struct plan_service *s, GPtrArray *out)
{
	if (s->elastic && s->min_endpoints > s->max_endpoints)
		plancheck_add_line (
			out,
			"service %s: at least %u endpoints a domain, but at "
			"most %u",
			s->name, s->min_endpoints, s->max_endpoints);
	else if (s->elastic && s->max_endpoints == 0)
		plancheck_add_line (
			out,
			"service %s: elastic, but with at most 0 endpoints",
			s->name);
	if (s->is_engine && s->max_connections > 0 &&
	    s->slots > s->max_connections)
		plancheck_add_line (
			out,
			"service %s: %u slots can't be filled over at most "
			"%u connections",
			s->name, s->slots, s->max_connections);
}

/* Services that no route names, and those hidden by one of the same name. */
static void
find_in_services (const struct plan *p, GPtrArray *out)
{
	GHashTable *named = g_hash_table_new (NULL, NULL);
	GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);

	for (guint i = 0; i < p->routes->len; i++) {
		const struct plan_route *r = g_ptr_array_index (p->routes, i);

		for (uint32_t k = 0; k < r->backend_count; k++)
			g_hash_table_add (named, r->backends[k].service);
	}
	for (guint i = 0; i < p->services->len; i++) {
		struct plan_service *s = g_ptr_array_index (p->services, i);

		if (!g_hash_table_add (names, s->name))
			plancheck_add_line (
				out,
				"service %s: hidden by an earlier one of the "
				"same name",
				s->name);
		else if (!g_hash_table_contains (named, s))
			plancheck_add_line (
				out, "service %s: no route names it", s->name);
		find_in_service (s, out);
	}
	g_hash_table_destroy (names);
	g_hash_table_destroy (named);
}

static bool
has_public_routes_only (const struct plan *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct plan_route *r = g_ptr_array_index (p->routes, i);

		if (!r->public)
			return false;
	}
	return true;
}

static void
find_in_accounts (const struct plan *p, GPtrArray *out)
{
	GHashTable *owners = g_hash_table_new (NULL, NULL);
	GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter it;
	void *owner;

	g_hash_table_iter_init (&it, p->keys);
	while (g_hash_table_iter_next (&it, NULL, &owner))
		g_hash_table_add (owners, owner);
	for (guint i = 0; i < p->accounts->len; i++) {
		struct plan_account *a = g_ptr_array_index (p->accounts, i);

		if (!g_hash_table_add (names, a->name))
			plancheck_add_line (
				out,
				"client account %s: an earlier one has the "
				"same name; their use is summed",
				a->name);
		if (!g_hash_table_contains (owners, a))
			plancheck_add_line (
				out, "client account %s: has no key", a->name);
	}
	if (p->needs_keys && g_hash_table_size (p->keys) == 0 &&
	    !has_public_routes_only (p))
		plancheck_add_line (
			out, "client accounts: no key at all; only public "
			     "routes accept requests");
	g_hash_table_destroy (names);
	g_hash_table_destroy (owners);
}

GPtrArray *
plancheck_findings (const struct plan *p)
{
	GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
	const struct plan_limits *l = &p->limits;

	if (l->max_body_bytes > 0 && l->max_body_bytes < l->max_header_bytes)
		plancheck_add_line (
			out,
			"limits: the body limit %u bytes is below the header "
			"limit %u bytes",
			l->max_body_bytes, l->max_header_bytes);
	if (p->routes->len == 0)
		plancheck_add_line (out,
				    "routes: none; every request is refused");
	for (guint i = 0; i < p->routes->len; i++)
		find_in_route (g_ptr_array_index (p->routes, i), out);
	find_in_services (p, out);
	find_in_accounts (p, out);
	return out;
}
