/*
 * Who a caller is, and withdrawn keys: checked anew for every request and
 * again when it is sent.
 */
#include <stdio.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

#define TELL_MS 2000

const struct inv_key *
key_check (struct entry *e, const char *text, size_t len, struct err *err)
{
	uint8_t hash[INV_KEY_HASH_BYTES];
	const struct inv_key *key;
	uint32_t max_s = e->inv->settings.key_max_age_s;

	if (text == NULL || len == 0) {
		err_set (err, ERR_NO_KEY, "no key was presented");
		return NULL;
	}
	if (max_s != 0 &&
	    tmr_now_ms () - e->confirmed_ms > (uint64_t)max_s * 1000) {
		err_set (err, ERR_FORBIDDEN,
			 "keys were confirmed longer ago than %u s", max_s);
		return NULL;
	}
	inv_key_hash (e->self.cluster_key, text, len, hash);
	key = inv_key_find (e->inv, hash);
	if (key == NULL || !key_valid (e, key->id)) {
		err_set (err, ERR_WRONG_KEY, "unknown or withdrawn key");
		return NULL;
	}
	return key;
}

/* Whether a key checked before still counts. */
bool
key_valid (struct entry *e, const char *key_id)
{
	return !keyflood_has (&e->keys, key_id) &&
	       g_hash_table_contains (e->key_ids, key_id);
}

/* Requests that wait under a key that no longer counts are told so now. */
static void
refuse_queued (struct entry *e)
{
	bool was_working = e->working;
	GList *next;
	struct err err;

	/* Keeps the queue from running, and freeing others, meanwhile. */
	e->working = true;
	for (GList *l = e->reqs; l != NULL; l = next) {
		struct req *r = l->data;

		next = l->next;
		if (r->state != REQ_QUEUED || r->key_id[0] == '\0' ||
		    key_valid (e, r->key_id))
			continue;
		err_set (&err, ERR_WRONG_KEY, "key was withdrawn");
		front_fail (r, &err, 0);
	}
	e->working = was_working;
	work_wake (e);
}

/* After a new inventory: the keys that it grants. */
void
key_remap (struct entry *e)
{
	g_hash_table_remove_all (e->key_ids);
	for (uint32_t i = 0; i < e->inv->key_count; i++)
		g_hash_table_add (e->key_ids, e->inv->keys[i].id);
	refuse_queued (e);
}

/* Withdraw a key here, at all entries in reach, and at control. */
void
key_withdraw (struct entry *e, const char *key_id)
{
	keyflood_add (&e->keys, key_id, NULL);
}

static void
send_ids (const char *to, const char *except, const struct keyflood_ids *m,
	  void *ctx)
{
	if (to != NULL)
		peer_send_to (ctx, to, FRAME_KEY_WITHDRAW, keyflood_ids_fields,
			      m);
	else
		peer_flood (ctx, FRAME_KEY_WITHDRAW, keyflood_ids_fields, m,
			    except);
}

static void
send_parts (const char *to, const struct keyflood_buckets *m, void *ctx)
{
	peer_send_to (ctx, to, FRAME_KEY_PARTS, keyflood_buckets_fields, m);
}

/* Control is told again until it names the key itself. */
void
key_tell_control (struct entry *e, uint64_t now_ms)
{
	struct proto_withdraw w = {0};
	GHashTableIter it;
	gpointer id;

	if (now_ms - e->told_ms < TELL_MS || e->control == NULL ||
	    !link_is_up (e->control))
		return;
	e->told_ms = now_ms;
	memcpy (w.origin, e->self.name, sizeof w.origin);
	g_hash_table_iter_init (&it, e->untold);
	while (g_hash_table_iter_next (&it, &id, NULL)) {
		g_strlcpy (w.id, id, sizeof w.id);
		link_send (e->control, FRAME_KEY_WITHDRAW,
			   proto_withdraw_fields, &w);
	}
}

static void
on_withdrawn (const char *id, void *ctx)
{
	struct entry *e = ctx;

	log_event (LOG_LV_INFO, "withdraw", "key=%s", id);
	g_hash_table_add (e->untold, g_strdup (id));
	e->told_ms = 0;
	key_tell_control (e, tmr_now_ms ());
	refuse_queued (e);
}

void
key_init (struct entry *e)
{
	static const struct keyflood_ops ops = {send_ids, send_parts,
						on_withdrawn};

	keyflood_init (&e->keys, &ops, e);
	e->key_ids = g_hash_table_new (g_str_hash, g_str_equal);
	e->untold =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}
