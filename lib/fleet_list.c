/*
 * Endpoint lists independent of a table: checks of entries, digests and deltas.
 */
#include <arpa/inet.h>
#include <string.h>

#include <xxhash.h>

#include "fleet.h"
#include "link.h"
#include "loads.h"

static bool
is_printable (const char *text)
{
	if (text[0] == '\0' || !g_utf8_validate (text, -1, NULL))
		return false;
	for (; *text != '\0'; text = g_utf8_next_char (text)) {
		if (g_unichar_iscntrl (g_utf8_get_char (text)))
			return false;
	}
	return true;
}

bool
fleet_version_check (const char *version)
{
	return version[0] == '\0' || is_printable (version);
}

/* Whether @text is the address and port of one machine. */
static bool
is_server_address (const char *text)
{
	struct sockaddr_in addr;
	in_addr_t ip;

	if (!link_addr_parse (text, &addr, NULL) || addr.sin_port == 0)
		return false;
	ip = ntohl (addr.sin_addr.s_addr);
	return ip != INADDR_ANY && ip != INADDR_BROADCAST && !IN_MULTICAST (ip);
}

bool
fleet_info_check (const struct fleet_info *info, struct err *e)
{
	if (!is_printable (info->id) || strchr (info->id, ' ') != NULL)
		return err_set (e, ERR_PROTOCOL, "id empty or not plain text");
	if (!is_printable (info->service))
		return err_set (e, ERR_PROTOCOL,
				"service empty or not plain text");
	if (!is_printable (info->domain))
		return err_set (e, ERR_PROTOCOL,
				"domain empty or not plain text");
	if (!is_server_address (info->addr))
		return err_set (e, ERR_PROTOCOL,
				"address not IP:port of a server");
	return true;
}

uint64_t
fleet_info_digest (const struct fleet_info *info)
{
	const char *texts[] = {info->id, info->service, info->domain,
			       info->addr};
	uint64_t rest[] = {info->slots, info->cold_remaining_ms > 0,
			   info->leaving, info->reclaimable, info->started_ms};
	uint64_t sum = XXH64 (rest, sizeof rest, 1);

	for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
		sum = XXH64 (texts[i], strlen (texts[i]) + 1, sum);
	return sum;
}

uint64_t
fleet_list_digest (const struct fleet_info *list, uint32_t count)
{
	uint64_t sum = FLEET_DIGEST_EMPTY;

	for (uint32_t i = 0; i < count; i++)
		sum += fleet_info_digest (&list[i]);
	return sum;
}

static void
list_diff_removed (GHashTable *after, const GArray *before, GArray *removed)
{
	for (guint i = 0; i < before->len; i++) {
		const struct fleet_info *b =
			&g_array_index (before, struct fleet_info, i);
		struct load_ep n = {loads_ep_hash (b->id)};

		if (g_hash_table_lookup (after, b->id) == NULL)
			g_array_append_val (removed, n);
	}
}

void
fleet_list_diff (const GArray *before, const GArray *after, GArray *changed,
		 GArray *removed)
{
	GHashTable *old = g_hash_table_new (g_str_hash, g_str_equal);
	GHashTable *new = g_hash_table_new (g_str_hash, g_str_equal);

	for (guint i = 0; i < before->len; i++) {
		struct fleet_info *b =
			&g_array_index (before, struct fleet_info, i);

		g_hash_table_insert (old, b->id, b);
	}
	for (guint i = 0; i < after->len; i++) {
		struct fleet_info *a =
			&g_array_index (after, struct fleet_info, i);
		const struct fleet_info *b = g_hash_table_lookup (old, a->id);

		g_hash_table_insert (new, a->id, a);
		if (b == NULL ||
		    fleet_info_digest (a) != fleet_info_digest (b) ||
		    strcmp (a->version, b->version) != 0)
			g_array_append_val (changed, *a);
	}
	list_diff_removed (new, before, removed);
	g_hash_table_destroy (old);
	g_hash_table_destroy (new);
}

GArray *
fleet_list_apply (const GArray *before, const struct fleet_info *list,
		  uint32_t count, const struct load_ep *removed,
		  uint32_t removed_count)
{
	GArray *after = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	GHashTable *replaced = g_hash_table_new (g_direct_hash, g_direct_equal);

	for (uint32_t i = 0; i < removed_count; i++)
		g_hash_table_add (replaced,
				  GUINT_TO_POINTER (removed[i].ep_hash));
	for (uint32_t i = 0; i < count; i++)
		g_hash_table_add (replaced, GUINT_TO_POINTER (loads_ep_hash (
						    list[i].id)));
	for (guint i = 0; i < before->len; i++) {
		struct fleet_info b =
			g_array_index (before, struct fleet_info, i);

		if (!g_hash_table_contains (
			    replaced, GUINT_TO_POINTER (loads_ep_hash (b.id))))
			g_array_append_val (after, b);
	}
	g_array_append_vals (after, list, count);
	g_hash_table_destroy (replaced);
	return after;
}
