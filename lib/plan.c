/*
 * Configurations: construction, checks, and lookup of routes, accounts and
 * services.
 */
#include <string.h>

#include "plan.h"

static void
route_free (void *data)
{
	struct plan_route *r = data;

	g_free (r->name);
	g_free (r->host);
	g_free (r->prefix);
	g_free (r->backends);
	g_free (r);
}

static void
service_free (void *data)
{
	struct plan_service *s = data;

	g_free (s->name);
	g_free (s->health_path);
	g_free (s->prices);
	g_free (s);
}

static void
account_free (void *data)
{
	struct plan_account *a = data;

	g_free (a->name);
	g_free (a);
}

struct plan *
plan_new (void)
{
	struct plan *p = g_new0 (struct plan, 1);

	p->refs = 1;
	p->routes = g_ptr_array_new_with_free_func (route_free);
	p->services = g_ptr_array_new_with_free_func (service_free);
	p->accounts = g_ptr_array_new_with_free_func (account_free);
	p->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	p->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
					  (GDestroyNotify)g_ptr_array_unref);
	return p;
}

struct plan *
plan_ref (struct plan *p)
{
	p->refs++;
	return p;
}

void
plan_unref (struct plan *p)
{
	if (p == NULL || --p->refs > 0)
		return;
	g_hash_table_destroy (p->hosts);
	g_hash_table_destroy (p->keys);
	g_ptr_array_free (p->routes, TRUE);
	g_ptr_array_free (p->services, TRUE);
	g_ptr_array_free (p->accounts, TRUE);
	g_free (p);
}

struct plan_service *
plan_add_service (struct plan *p, const char *name)
{
	struct plan_service *s = g_new0 (struct plan_service, 1);

	s->name = g_strdup (name);
	g_ptr_array_add (p->services, s);
	return s;
}

struct plan_route *
plan_add_route (struct plan *p)
{
	struct plan_route *r = g_new0 (struct plan_route, 1);

	g_ptr_array_add (p->routes, r);
	return r;
}

struct plan_account *
plan_add_account (struct plan *p, const char *name)
{
	struct plan_account *a = g_new0 (struct plan_account, 1);

	a->name = g_strdup (name);
	g_ptr_array_add (p->accounts, a);
	return a;
}

void
plan_add_key (struct plan *p, struct plan_account *a, const char *key)
{
	const struct plan_account *owner = g_hash_table_lookup (p->keys, key);

	if (owner != NULL && owner != a)
		p->duplicate_key = true;
	g_hash_table_insert (p->keys, g_strdup (key), a);
}

struct plan_service *
plan_service (const struct plan *p, const char *name)
{
	for (guint i = 0; i < p->services->len; i++) {
		struct plan_service *s = g_ptr_array_index (p->services, i);

		if (strcmp (s->name, name) == 0)
			return s;
	}
	return NULL;
}

static bool
check_route (const struct plan_route *r, struct err *e)
{
	uint64_t weight = 0;

	if (r->host == NULL || r->prefix == NULL || r->prefix[0] != '/' ||
	    r->prefix[strlen (r->prefix) - 1] != '/')
		return err_set (e, ERR_BAD_REQUEST,
				"route %s: host missing, or prefix does not "
				"begin and end with a slash",
				r->name);
	if (r->timeout_ms == 0)
		return err_set (e, ERR_BAD_REQUEST, "route %s: timeout missing",
				r->name);
	for (uint32_t i = 0; i < r->backend_count; i++) {
		if (r->backends[i].service == NULL)
			return err_set (e, ERR_BAD_REQUEST,
					"route %s: unknown service", r->name);
		weight += r->backends[i].weight;
	}
	if (weight == 0)
		return err_set (e, ERR_BAD_REQUEST,
				"route %s: total weight is 0", r->name);
	return true;
}

/* Sorts longer prefixes first, so that the first match is the longest. */
static gint
compare_prefix (gconstpointer a, gconstpointer b)
{
	const struct plan_route *x = *(const struct plan_route *const *)a;
	const struct plan_route *y = *(const struct plan_route *const *)b;
	size_t nx = strlen (x->prefix), ny = strlen (y->prefix);

	if (nx != ny)
		return nx > ny ? -1 : 1;
	return strcmp (x->prefix, y->prefix);
}

static bool
check_host_routes (GPtrArray *routes, struct err *e)
{
	g_ptr_array_sort (routes, compare_prefix);
	for (guint i = 1; i < routes->len; i++) {
		const struct plan_route *a = g_ptr_array_index (routes, i - 1);
		const struct plan_route *b = g_ptr_array_index (routes, i);

		if (strcmp (a->prefix, b->prefix) == 0)
			return err_set (e, ERR_CONFLICT,
					"routes %s and %s have the same host "
					"and prefix",
					a->name, b->name);
	}
	return true;
}

bool
plan_check (struct plan *p, struct err *e)
{
	GHashTableIter it;
	void *routes;

	if (p->duplicate_key)
		return err_set (e, ERR_CONFLICT,
				"two accounts have the same key");
	for (guint i = 0; i < p->routes->len; i++) {
		struct plan_route *r = g_ptr_array_index (p->routes, i);
		GPtrArray *list;

		if (!check_route (r, e))
			return false;
		p->tier_count = MAX (p->tier_count, r->tier + 1);
		list = g_hash_table_lookup (p->hosts, r->host);
		if (list == NULL) {
			list = g_ptr_array_new ();
			g_hash_table_insert (p->hosts, r->host, list);
		}
		g_ptr_array_add (list, r);
	}
	g_hash_table_iter_init (&it, p->hosts);
	while (g_hash_table_iter_next (&it, NULL, &routes)) {
		if (!check_host_routes (routes, e))
			return false;
	}
	return true;
}

const struct plan_route *
plan_match_route (const struct plan *p, const char *host, size_t host_len,
		  const char *path, size_t path_len)
{
	const char *colon = memchr (host, ':', host_len);
	char name[256];
	GPtrArray *routes;

	if (colon != NULL)
		host_len = (size_t)(colon - host);
	if (host_len >= sizeof name)
		return NULL;
	memcpy (name, host, host_len);
	name[host_len] = '\0';
	routes = g_hash_table_lookup (p->hosts, name);
	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const struct plan_route *r = g_ptr_array_index (routes, i);
		size_t len = strlen (r->prefix);

		if (len <= path_len && memcmp (r->prefix, path, len) == 0)
			return r;
	}
	return NULL;
}

const struct plan_account *
plan_account_by_key (const struct plan *p, const char *key, size_t len)
{
	char *text = g_strndup (key, len);
	const struct plan_account *a = g_hash_table_lookup (p->keys, text);

	g_free (text);
	return a;
}

uint32_t
plan_tier (const struct plan *p, const struct plan_route *r,
	   const struct plan_account *a)
{
	return (a != NULL && a->has_tier ? a->tier * p->tier_count : 0) +
	       r->tier;
}

struct plan_service *
plan_pick_service (const struct plan_route *r, uint32_t random_value)
{
	uint64_t sum = 0, point;

	for (uint32_t i = 0; i < r->backend_count; i++)
		sum += r->backends[i].weight;
	if (sum == 0)
		return NULL;
	point = random_value % sum;
	for (uint32_t i = 0; i < r->backend_count; i++) {
		if (point < r->backends[i].weight)
			return r->backends[i].service;
		point -= r->backends[i].weight;
	}
	return NULL;
}
