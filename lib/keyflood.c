/*
 * The grow-only set of withdrawn key ids and its replication: new ids are
 * flooded, and sets whose digests differ are compared bucket by bucket.
 */
#include <sodium.h>
#include <string.h>

#include "keyflood.h"

/* Shortest time between two comparisons with the same peer: digests also differ
 * while a flood is still in transit. */
#define REQUEST_INTERVAL_MS 1000

static const struct msg_field id_fields[] = {
	MSG_FIELD (1, MSG_STR, struct keyflood_id, id),
	MSG_FIELD_END,
};

const struct msg_field keyflood_ids_fields[] = {
	MSG_FIELD_LIST (1, struct keyflood_ids, ids, struct keyflood_id,
			id_fields, KEYFLOOD_IDS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field bucket_fields[] = {
	MSG_FIELD (1, MSG_U64, struct keyflood_bucket, digest),
	MSG_FIELD_END,
};

const struct msg_field keyflood_buckets_fields[] = {
	MSG_FIELD (1, MSG_BOOL, struct keyflood_buckets, answer),
	MSG_FIELD_LIST (2, struct keyflood_buckets, buckets,
			struct keyflood_bucket, bucket_fields,
			KEYFLOOD_BUCKETS),
	MSG_FIELD_END,
};

void
keyflood_init (struct keyflood *k, const struct keyflood_ops *ops, void *ctx)
{
	memset (k, 0, sizeof *k);
	k->ops = ops;
	k->ctx = ctx;
	k->ids = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	k->requested_ms =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
keyflood_finish (struct keyflood *k)
{
	g_hash_table_unref (k->requested_ms);
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
bucket_of (uint64_t hash)
{
	return (uint32_t)(hash % KEYFLOOD_BUCKETS);
}

uint64_t
keyflood_digest (const struct keyflood *k)
{
	uint64_t digest = 0;

	for (int i = 0; i < KEYFLOOD_BUCKETS; i++)
		digest ^= k->buckets[i];
	return digest;
}

/* Adds an id to the set; false if it is invalid or present already. */
static bool
insert (struct keyflood *k, const char *id)
{
	uint64_t hash;

	if (*id == '\0' || strlen (id) >= INV_NAME_BYTES ||
	    keyflood_has (k, id))
		return false;
	hash = id_hash (id);
	g_hash_table_add (k->ids, g_strdup (id));
	k->buckets[bucket_of (hash)] ^= hash;
	k->ops->withdrawn (id, k->ctx);
	return true;
}

bool
keyflood_add (struct keyflood *k, const char *id, const char *from)
{
	struct keyflood_id item = {{0}};
	struct keyflood_ids m = {.ids = {&item, 1}};

	if (!insert (k, id))
		return false;
	g_strlcpy (item.id, id, sizeof item.id);
	k->ops->send_ids (NULL, from, &m, k->ctx);
	return true;
}

/*
 * A single id is a new withdrawal and is forwarded at once.  Several ids are a
 * repair, which every peer does for itself; if they were forwarded, each peer
 * would send them back.
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
		insert (k, id[i].id);
}

static void
send_buckets (struct keyflood *k, const char *to, bool answer)
{
	struct keyflood_bucket buckets[KEYFLOOD_BUCKETS];
	struct keyflood_buckets m = {
		.answer = answer,
		.buckets = {buckets, KEYFLOOD_BUCKETS},
	};

	for (int i = 0; i < KEYFLOOD_BUCKETS; i++)
		buckets[i].digest = k->buckets[i];
	k->ops->send_buckets (to, &m, k->ctx);
}

/* Whether a comparison with the peer was requested lately; if not, records now
 * as the time of the request. */
static bool
requested_lately (struct keyflood *k, const char *peer, uint64_t now_ms)
{
	uint64_t *at = g_hash_table_lookup (k->requested_ms, peer);

	if (at != NULL && now_ms - *at < REQUEST_INTERVAL_MS)
		return true;
	if (at == NULL) {
		at = g_new (uint64_t, 1);
		g_hash_table_insert (k->requested_ms, g_strdup (peer), at);
	}
	*at = now_ms;
	return false;
}

void
keyflood_on_digest (struct keyflood *k, const char *from, uint64_t digest,
		    uint64_t now_ms)
{
	if (digest != keyflood_digest (k) &&
	    !requested_lately (k, from, now_ms))
		send_buckets (k, from, false);
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

/* Sends all ids of the buckets that differ; the peer does the same. */
void
keyflood_on_buckets (struct keyflood *k, const char *from,
		     const struct keyflood_buckets *m)
{
	const struct keyflood_bucket *theirs = m->buckets.items;
	struct keyflood_id list[KEYFLOOD_IDS_MAX];
	uint32_t count = 0;
	GHashTableIter it;
	void *id;

	if (m->buckets.count != KEYFLOOD_BUCKETS)
		return;
	if (!m->answer)
		send_buckets (k, from, true);
	g_hash_table_iter_init (&it, k->ids);
	while (g_hash_table_iter_next (&it, &id, NULL)) {
		uint32_t bucket = bucket_of (id_hash (id));

		if (theirs[bucket].digest == k->buckets[bucket])
			continue;
		memset (&list[count], 0, sizeof list[count]);
		g_strlcpy (list[count++].id, id, sizeof list->id);
		if (count == KEYFLOOD_IDS_MAX)
			flush_ids (k, from, list, &count);
	}
	flush_ids (k, from, list, &count);
}
