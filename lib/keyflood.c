/*
 * The growing set of withdrawn key ids, and how two sets become equal: flood
 * of what is new, and comparison by parts where digests differ.
 */
#include <sodium.h>
#include <string.h>

#include "keyflood.h"

/* A peer's parts are asked for at most so often: floods are under way, too. */
#define ASK_MS 1000

static const struct msg_field id_fields[] = {
	MSG_FIELD (1, MSG_STR, struct keyflood_id, id),
	MSG_FIELD_END,
};

const struct msg_field keyflood_ids_fields[] = {
	MSG_FIELD_LIST (1, struct keyflood_ids, ids, struct keyflood_id,
			id_fields, KEYFLOOD_IDS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field part_fields[] = {
	MSG_FIELD (1, MSG_U64, struct keyflood_bucket, digest),
	MSG_FIELD_END,
};

const struct msg_field keyflood_buckets_fields[] = {
	MSG_FIELD (1, MSG_BOOL, struct keyflood_buckets, answer),
	MSG_FIELD_LIST (2, struct keyflood_buckets, parts,
			struct keyflood_bucket, part_fields, KEYFLOOD_BUCKETS),
	MSG_FIELD_END,
};

void
keyflood_init (struct keyflood *k, const struct keyflood_ops *ops, void *ctx)
{
	memset (k, 0, sizeof *k);
	k->ops = ops;
	k->ctx = ctx;
	k->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	k->asked_ms =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
keyflood_finish (struct keyflood *k)
{
	g_hash_table_unref (k->asked_ms);
	g_hash_table_unref (k->ids);
	memset (k, 0, sizeof *k);
}

bool
keyflood_has (const struct keyflood *k, const char *id)
{
	return g_hash_table_contains (k->ids, id);
}

uint32_t
keyflood_count (const struct keyflood *k)
{
	return g_hash_table_size (k->ids);
}

static uint64_t
id_hash (const char *id)
{
	uint64_t h;

	crypto_generichash ((uint8_t *)&h, sizeof h, (const uint8_t *)id,
			    strlen (id), NULL, 0);
	return h;
}

static uint32_t
part_of (uint64_t hash)
{
	return (uint32_t)(hash % KEYFLOOD_BUCKETS);
}

uint64_t
keyflood_digest (const struct keyflood *k)
{
	uint64_t digest = 0;

	for (int i = 0; i < KEYFLOOD_BUCKETS; i++)
		digest ^= k->parts[i];
	return digest;
}

/* Takes an id in; false where it is none or known already. */
static bool
take (struct keyflood *k, const char *id)
{
	uint64_t hash;

	if (*id == '\0' || strlen (id) >= INV_NAME_BYTES ||
	    keyflood_has (k, id))
		return false;
	hash = id_hash (id);
	g_hash_table_add (k->ids, g_strdup (id));
	k->parts[part_of (hash)] ^= hash;
	k->ops->withdrawn (id, k->ctx);
	return true;
}

bool
keyflood_add (struct keyflood *k, const char *id, const char *from)
{
	struct keyflood_id item = {{0}};
	struct keyflood_ids m = {.ids = {&item, 1}};

	if (!take (k, id))
		return false;
	g_strlcpy (item.id, id, sizeof item.id);
	k->ops->send_ids (NULL, from, &m, k->ctx);
	return true;
}

/*
 * One id is news and goes on at once.  Many are a repair, which every peer
 * makes for itself: passed on, they would come back from everybody.
 */
void
keyflood_on_ids (struct keyflood *k, const char *from,
		 const struct keyflood_ids *m)
{
	const struct keyflood_id *id = m->ids.items;

	if (m->ids.count == 1) {
		keyflood_add (k, id->id, from);
		return;
	}
	for (uint32_t i = 0; i < m->ids.count; i++)
		take (k, id[i].id);
}

static void
send_parts (struct keyflood *k, const char *to, bool answer)
{
	struct keyflood_bucket parts[KEYFLOOD_BUCKETS];
	struct keyflood_buckets m = {
		.answer = answer,
		.parts = {parts, KEYFLOOD_BUCKETS},
	};

	for (int i = 0; i < KEYFLOOD_BUCKETS; i++)
		parts[i].digest = k->parts[i];
	k->ops->send_parts (to, &m, k->ctx);
}

/* Whether a peer's parts were asked for lately; notes that they are now. */
static bool
asked_lately (struct keyflood *k, const char *peer, uint64_t now_ms)
{
	uint64_t *at = g_hash_table_lookup (k->asked_ms, peer);

	if (at != NULL && now_ms - *at < ASK_MS)
		return true;
	if (at == NULL) {
		at = g_new (uint64_t, 1);
		g_hash_table_insert (k->asked_ms, g_strdup (peer), at);
	}
	*at = now_ms;
	return false;
}

void
keyflood_on_digest (struct keyflood *k, const char *from, uint64_t digest,
		    uint64_t now_ms)
{
	if (digest != keyflood_digest (k) && !asked_lately (k, from, now_ms))
		send_parts (k, from, false);
}

static void
flush_ids (struct keyflood *k, const char *to, struct keyflood_id *list,
	   uint32_t *count)
{
	struct keyflood_ids m = {.ids = {list, *count}};

	if (*count > 0)
		k->ops->send_ids (to, NULL, &m, k->ctx);
	*count = 0;
}

/* Sends all ids of the parts that differ; the other side does the same. */
void
keyflood_on_buckets (struct keyflood *k, const char *from,
		     const struct keyflood_buckets *m)
{
	const struct keyflood_bucket *theirs = m->parts.items;
	struct keyflood_id list[KEYFLOOD_IDS_MAX];
	uint32_t count = 0;
	GHashTableIter it;
	void *id;

	if (m->parts.count != KEYFLOOD_BUCKETS)
		return;
	if (!m->answer)
		send_parts (k, from, true);
	g_hash_table_iter_init (&it, k->ids);
	while (g_hash_table_iter_next (&it, &id, NULL)) {
		uint32_t part = part_of (id_hash (id));

		if (theirs[part].digest == k->parts[part])
			continue;
		memset (&list[count], 0, sizeof list[count]);
		g_strlcpy (list[count++].id, id, sizeof list->id);
		if (count == KEYFLOOD_IDS_MAX)
			flush_ids (k, from, list, &count);
	}
	flush_ids (k, from, list, &count);
}
