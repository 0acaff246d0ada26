/*
 * Looking things up in the typed form.
 */
#include <sodium.h>
#include <string.h>

#include "frame.h"
#include "inv_priv.h"

void
inv_key_hash (const uint8_t *cluster_key, const char *text, size_t len,
	      uint8_t hash[INV_KEY_HASH_BYTES])
{
	crypto_generichash (hash, INV_KEY_HASH_BYTES, (const uint8_t *)text,
			    len, cluster_key, FRAME_KEY_BYTES);
}

/* The hash is uniform already, so any four bytes of it will do. */
static guint
key_bucket (const void *hash)
{
	guint h;

	memcpy (&h, hash, sizeof h);
	return h;
}

static gboolean
key_equal (const void *a, const void *b)
{
	return sodium_memcmp (a, b, INV_KEY_HASH_BYTES) == 0;
}

GHashTable *
inv_key_table_new (void)
{
	return g_hash_table_new (key_bucket, key_equal);
}

const struct inv_key *
inv_key_find (const struct inv *inv, const uint8_t hash[INV_KEY_HASH_BYTES])
{
	return g_hash_table_lookup (inv->key_by_hash, hash);
}

const struct inv_route *
inv_route_find (const struct inv *inv, const char *path, size_t len)
{
	for (uint32_t i = 0; i < inv->route_count; i++) {
		const struct inv_route *r = &inv->routes[i];
		size_t n = strlen (r->prefix);

		if (n > len || memcmp (r->prefix, path, n) != 0)
			continue;
		/* "/v1/chat" is a prefix of "/v1/chat/x", not "/v1/chats". */
		if (n == len || r->prefix[n - 1] == '/' || path[n] == '/' ||
		    path[n] == '?')
			return r;
	}
	return NULL;
}

/* Each struct starts with its name. */
static int
compare_to_name (const void *name, const void *item)
{
	return strcmp (name, item);
}

static int32_t
find (const void *items, uint32_t count, size_t size, const char *name)
{
	const char *hit;

	if (count == 0)
		return -1;
	hit = bsearch (name, items, count, size, compare_to_name);
	if (hit == NULL)
		return -1;
	return (int32_t)((size_t)(hit - (const char *)items) / size);
}

int32_t
inv_domain_ix (const struct inv *inv, const char *name)
{
	return find (inv->domains, inv->domain_count, sizeof *inv->domains,
		     name);
}

int32_t
inv_class_ix (const struct inv *inv, const char *name)
{
	return find (inv->classes, inv->class_count, sizeof *inv->classes,
		     name);
}

int32_t
inv_account_ix (const struct inv *inv, const char *name)
{
	return find (inv->accounts, inv->account_count, sizeof *inv->accounts,
		     name);
}

int32_t
inv_endpoint_ix (const struct inv *inv, const char *name)
{
	return find (inv->endpoints, inv->endpoint_count,
		     sizeof *inv->endpoints, name);
}

int32_t
inv_entry_ix (const struct inv *inv, const char *name)
{
	return find (inv->entries, inv->entry_count, sizeof *inv->entries,
		     name);
}

int32_t
inv_model_ix (const struct inv *inv, const char *name, size_t len)
{
	char text[INV_NAME_BYTES];

	if (len >= sizeof text)
		return -1;
	memcpy (text, name, len);
	text[len] = '\0';
	return find (inv->models, inv->model_count, sizeof *inv->models, text);
}
