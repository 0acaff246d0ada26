/*
 * Differences of two configurations.
 */
#include <string.h>

#include "plancheck_priv.h"

enum field_type {
	FIELD_TEXT,
	FIELD_KIND,
	FIELD_BOOL,
	FIELD_U32,
	FIELD_U64,
	FIELD_DOUBLE,
};

/** struct field - a member of a configuration's entries that is compared */
struct field {
	const char *label;
	enum field_type type;
	size_t offset;
};

#define FIELD(label, type, object, member)                                     \
	{                                                                      \
		label, type, offsetof (object, member)                         \
	}

static const struct field route_fields[] = {
	FIELD ("name", FIELD_TEXT, struct plan_route, name),
	FIELD ("kind", FIELD_KIND, struct plan_route, kind),
	FIELD ("timeout (ms)", FIELD_U32, struct plan_route, timeout_ms),
	FIELD ("latency objective (ms)", FIELD_U32, struct plan_route,
	       latency_target_ms),
	FIELD ("objective for pauses (ms)", FIELD_U32, struct plan_route,
	       gap_target_ms),
	FIELD ("tier", FIELD_U32, struct plan_route, tier),
	FIELD ("attempts", FIELD_U32, struct plan_route, max_attempts),
	FIELD ("public", FIELD_BOOL, struct plan_route, public),
	FIELD ("prompt segments", FIELD_BOOL, struct plan_route, has_segments),
	FIELD ("resumable", FIELD_BOOL, struct plan_route, resumable),
	{NULL, FIELD_TEXT, 0},
};

static const struct field service_fields[] = {
	FIELD ("health check", FIELD_TEXT, struct plan_service, health_path),
	FIELD ("connections", FIELD_U32, struct plan_service, max_connections),
	FIELD ("cold start (ms)", FIELD_U32, struct plan_service, cold_ms),
	FIELD ("requests a second when cold", FIELD_DOUBLE, struct plan_service,
	       cold_requests_per_s),
	FIELD ("engine", FIELD_BOOL, struct plan_service, is_engine),
	FIELD ("slots", FIELD_U32, struct plan_service, slots),
	FIELD ("KV cache (tokens)", FIELD_U64, struct plan_service,
	       kv_capacity_tokens),
	FIELD ("bytes a token", FIELD_DOUBLE, struct plan_service,
	       kv_token_bytes),
	FIELD ("link (Mbit/s)", FIELD_DOUBLE, struct plan_service, link_mbps),
	FIELD ("backups", FIELD_BOOL, struct plan_service, kv_backups),
	FIELD ("elastic", FIELD_BOOL, struct plan_service, elastic),
	FIELD ("least endpoints", FIELD_U32, struct plan_service,
	       min_endpoints),
	FIELD ("most endpoints", FIELD_U32, struct plan_service, max_endpoints),
	FIELD ("boot (ms)", FIELD_U32, struct plan_service, boot_ms),
	FIELD ("price ratio of reclaimable endpoints", FIELD_DOUBLE,
	       struct plan_service, reclaimable_price_ratio),
	{NULL, FIELD_TEXT, 0},
};

static const struct field account_fields[] = {
	FIELD ("tier stated", FIELD_BOOL, struct plan_account, has_tier),
	FIELD ("tier", FIELD_U32, struct plan_account, tier),
	{NULL, FIELD_TEXT, 0},
};

static const struct field limit_fields[] = {
	FIELD ("header (bytes)", FIELD_U32, struct plan_limits,
	       max_header_bytes),
	FIELD ("body (bytes)", FIELD_U32, struct plan_limits, max_body_bytes),
	FIELD ("header timeout (ms)", FIELD_U32, struct plan_limits,
	       header_timeout_ms),
	FIELD ("idle timeout (ms)", FIELD_U32, struct plan_limits,
	       idle_timeout_ms),
	{NULL, FIELD_TEXT, 0},
};

static const char *
kind_name (enum plan_kind kind)
{
	switch (kind) {
	case PLAN_IDEMPOTENT:
		return "idempotent";
	case PLAN_NON_IDEMPOTENT:
		return "not idempotent";
	case PLAN_STREAM:
		return "stream";
	}
	return "";
}

static void
append_value (const struct field *f, const void *object, GString *out)
{
	const void *v = (const char *)object + f->offset;

	switch (f->type) {
	case FIELD_TEXT:
		g_string_append (out, *(char *const *)v);
		break;
	case FIELD_KIND:
		g_string_append (out, kind_name (*(const enum plan_kind *)v));
		break;
	case FIELD_BOOL:
		g_string_append (out, *(const bool *)v ? "yes" : "no");
		break;
	case FIELD_U32:
		g_string_append_printf (out, "%u", *(const uint32_t *)v);
		break;
	case FIELD_U64:
		g_string_append_printf (out, "%" G_GUINT64_FORMAT,
					*(const uint64_t *)v);
		break;
	case FIELD_DOUBLE:
		g_string_append_printf (out, "%.15g", *(const double *)v);
		break;
	}
}

static bool
is_equal (const struct field *f, const void *from, const void *to)
{
	const void *a = (const char *)from + f->offset;
	const void *b = (const char *)to + f->offset;

	switch (f->type) {
	case FIELD_TEXT:
		return strcmp (*(char *const *)a, *(char *const *)b) == 0;
	case FIELD_KIND:
		return *(const enum plan_kind *)a == *(const enum plan_kind *)b;
	case FIELD_BOOL:
		return *(const bool *)a == *(const bool *)b;
	case FIELD_U32:
		return *(const uint32_t *)a == *(const uint32_t *)b;
	case FIELD_U64:
		return *(const uint64_t *)a == *(const uint64_t *)b;
	case FIELD_DOUBLE:
		return *(const double *)a == *(const double *)b;
	}
	return false;
}

/* Appends each member that differs, with both values. */
static void
compare_fields (const struct field *fields, const void *from, const void *to,
		GString *out)
{
	for (const struct field *f = fields; f->label != NULL; f++) {
		if (is_equal (f, from, to))
			continue;
		g_string_append_printf (out, "%s%s ", out->len > 0 ? ", " : "",
					f->label);
		append_value (f, from, out);
		g_string_append (out, " to ");
		append_value (f, to, out);
	}
}

static bool
has_equal_backends (const struct plan_route *a, const struct plan_route *b)
{
	if (a->backend_count != b->backend_count)
		return false;
	for (uint32_t i = 0; i < a->backend_count; i++) {
		const struct plan_backend *x = &a->backends[i];
		const struct plan_backend *y = &b->backends[i];

		if (x->weight != y->weight ||
		    strcmp (x->service->name, y->service->name) != 0)
			return false;
	}
	return true;
}

static void
append_backends (const struct plan_route *r, GString *out)
{
	for (uint32_t i = 0; i < r->backend_count; i++)
		g_string_append_printf (out, "%s%s:%u", i > 0 ? "," : "",
					r->backends[i].service->name,
					r->backends[i].weight);
}

/* What two configurations' entries are compared by besides their members. */
struct diff {
	GHashTable *keys_added; /* name of an account to a count */
	GHashTable *keys_removed;
};

static void
compare_routes (const struct diff *d, const void *from, const void *to,
		GString *out)
{
	(void)d;
	compare_fields (route_fields, from, to, out);
	if (has_equal_backends (from, to))
		return;
	g_string_append_printf (out, "%sservices ", out->len > 0 ? ", " : "");
	append_backends (from, out);
	g_string_append (out, " to ");
	append_backends (to, out);
}

static bool
has_price (const struct plan_service *s, const struct plan_price *price)
{
	for (uint32_t i = 0; i < s->price_count; i++) {
		if (strcmp (s->prices[i].domain, price->domain) == 0)
			return s->prices[i].price == price->price;
	}
	return false;
}

static void
compare_services (const struct diff *d, const void *from, const void *to,
		  GString *out)
{
	const struct plan_service *a = from, *b = to;
	bool equal = a->price_count == b->price_count;

	(void)d;
	compare_fields (service_fields, from, to, out);
	for (uint32_t i = 0; equal && i < a->price_count; i++)
		equal = has_price (b, &a->prices[i]);
	/* Without values: names of domains may hold any character. */
	if (!equal)
		g_string_append_printf (out, "%sprices of domains",
					out->len > 0 ? ", " : "");
}

static void
append_count (GHashTable *counts, const char *name, const char *what,
	      GString *out)
{
	guint n = GPOINTER_TO_UINT (g_hash_table_lookup (counts, name));

	if (n > 0)
		g_string_append_printf (out, "%skeys %s: %u",
					out->len > 0 ? ", " : "", what, n);
}

static void
compare_accounts (const struct diff *d, const void *from, const void *to,
		  GString *out)
{
	const struct plan_account *a = to;

	compare_fields (account_fields, from, to, out);
	append_count (d->keys_added, a->name, "added", out);
	append_count (d->keys_removed, a->name, "revoked", out);
}

/* Counts, by account, the keys of @p that are not the same account's in
 * @other. */
static GHashTable *
count_other_keys (const struct plan *p, const struct plan *other)
{
	GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTableIter it;
	void *key, *owner;

	g_hash_table_iter_init (&it, p->keys);
	while (g_hash_table_iter_next (&it, &key, &owner)) {
		struct plan_account *a = owner;
		const struct plan_account *b =
			g_hash_table_lookup (other->keys, key);

		if (b == NULL || strcmp (a->name, b->name) != 0)
			g_hash_table_insert (
				counts, a->name,
				GUINT_TO_POINTER (
					GPOINTER_TO_UINT (g_hash_table_lookup (
						counts, a->name)) +
					1));
	}
	return counts;
}

/** struct section - how one kind of entry is compared */
struct section {
	const char *name;
	/* Of what entries are matched by. */
	GHashFunc hash;
	GEqualFunc equal;
	char *(*label) (const void *item);
	void (*compare) (const struct diff *d, const void *from, const void *to,
			 GString *out);
};

static guint
route_hash (gconstpointer item)
{
	const struct plan_route *r = item;

	return g_str_hash (r->host) * 31 + g_str_hash (r->prefix);
}

static gboolean
route_equal (gconstpointer a, gconstpointer b)
{
	const struct plan_route *x = a, *y = b;

	return strcmp (x->host, y->host) == 0 &&
	       strcmp (x->prefix, y->prefix) == 0;
}

static guint
service_hash (gconstpointer item)
{
	return g_str_hash (((const struct plan_service *)item)->name);
}

static gboolean
service_equal (gconstpointer a, gconstpointer b)
{
	const struct plan_service *x = a, *y = b;

	return strcmp (x->name, y->name) == 0;
}

static guint
account_hash (gconstpointer item)
{
	return g_str_hash (((const struct plan_account *)item)->name);
}

static gboolean
account_equal (gconstpointer a, gconstpointer b)
{
	const struct plan_account *x = a, *y = b;

	return strcmp (x->name, y->name) == 0;
}

static const struct section route_section = {"route", route_hash, route_equal,
					     plancheck_route_label,
					     compare_routes};
static const struct section service_section = {
	"service", service_hash, service_equal, plancheck_service_label,
	compare_services};
static const struct section account_section = {
	"client account", account_hash, account_equal, plancheck_account_label,
	compare_accounts};

/* Of entries that match each other, the first is held. */
static GHashTable *
index_items (const struct section *s, const GPtrArray *items)
{
	GHashTable *t = g_hash_table_new (s->hash, s->equal);

	for (guint i = 0; i < items->len; i++) {
		void *item = g_ptr_array_index (items, i);

		if (!g_hash_table_contains (t, item))
			g_hash_table_add (t, item);
	}
	return t;
}

/** struct section_diff - differences of one section */
struct section_diff {
	const struct section *section;
	guint added, removed, changed;
	GPtrArray *details;
};

static void
add_detail (struct section_diff *sd, const void *item, const char *what)
{
	char *label;

	if (sd->details->len == PLANCHECK_DETAILS_MAX)
		return;
	label = sd->section->label (item);
	plancheck_add_line (sd->details, "  %s: %s", label, what);
	g_free (label);
}

/* Tells the items that only one of two lists has. */
static guint
add_missing (struct section_diff *sd, const GPtrArray *items, GHashTable *index,
	     GHashTable *other, const char *what)
{
	guint n = 0;

	for (guint i = 0; i < items->len; i++) {
		const void *item = g_ptr_array_index (items, i);

		if (!g_hash_table_contains (other, item) &&
		    g_hash_table_lookup (index, item) == item) {
			add_detail (sd, item, what);
			n++;
		}
	}
	return n;
}

static guint
add_changed (struct section_diff *sd, const struct diff *d,
	     const GPtrArray *items, GHashTable *index, GHashTable *from)
{
	GString *text = g_string_new (NULL);
	guint n = 0;

	for (guint i = 0; i < items->len; i++) {
		const void *item = g_ptr_array_index (items, i);
		const void *was = g_hash_table_lookup (from, item);

		g_string_truncate (text, 0);
		if (was != NULL && g_hash_table_lookup (index, item) == item)
			sd->section->compare (d, was, item, text);
		if (text->len > 0) {
			add_detail (sd, item, text->str);
			n++;
		}
	}
	g_string_free (text, TRUE);
	return n;
}

static void
diff_section (const struct section *s, const struct diff *d,
	      const GPtrArray *from, const GPtrArray *to, GPtrArray *out)
{
	struct section_diff sd = {
		.section = s,
		.details = g_ptr_array_new_with_free_func (g_free),
	};
	GHashTable *from_index = index_items (s, from);
	GHashTable *to_index = index_items (s, to);
	guint total;

	sd.removed = add_missing (&sd, from, from_index, to_index, "removed");
	sd.changed = add_changed (&sd, d, to, to_index, from_index);
	sd.added = add_missing (&sd, to, to_index, from_index, "added");
	total = sd.removed + sd.changed + sd.added;
	if (total > 0)
		plancheck_add_line (out,
				    "%ss: %u removed, %u changed, %u added",
				    s->name, sd.removed, sd.changed, sd.added);
	for (guint i = 0; i < sd.details->len; i++)
		plancheck_add_line (
			out, "%s",
			(const char *)g_ptr_array_index (sd.details, i));
	if (total > sd.details->len)
		plancheck_add_line (out, "  and %u more",
				    total - sd.details->len);
	g_ptr_array_unref (sd.details);
	g_hash_table_destroy (from_index);
	g_hash_table_destroy (to_index);
}

GPtrArray *
plancheck_diff (const struct plan *from, const struct plan *to)
{
	GPtrArray *out = g_ptr_array_new_with_free_func (g_free);
	struct diff d = {count_other_keys (to, from),
			 count_other_keys (from, to)};
	GString *text = g_string_new (NULL);

	if (to->version <= from->version)
		plancheck_add_line (out,
				    "version %" G_GUINT64_FORMAT
				    " is not above %" G_GUINT64_FORMAT
				    "; it would be acknowledged without effect",
				    to->version, from->version);
	if (from->needs_keys != to->needs_keys)
		plancheck_add_line (out, "requests %s an API key",
				    to->needs_keys ? "now need"
						   : "no longer need");
	compare_fields (limit_fields, &from->limits, &to->limits, text);
	if (text->len > 0)
		plancheck_add_line (out, "limits: %s", text->str);
	g_string_free (text, TRUE);
	diff_section (&route_section, &d, from->routes, to->routes, out);
	diff_section (&service_section, &d, from->services, to->services, out);
	diff_section (&account_section, &d, from->accounts, to->accounts, out);
	g_hash_table_destroy (d.keys_added);
	g_hash_table_destroy (d.keys_removed);
	return out;
}
