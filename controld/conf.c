/*
 * The inventory's way to the entries: deltas as revisions are committed, the
 * whole document to an entry too far behind, a heartbeat that names revision
 * and digest, and who has confirmed what.
 */
#include <string.h>

#include "controld.h"

#define BEAT_MS 1000
#define PART_BYTES (1U << 20)

static void withdrawals_tick (struct control *c, uint64_t now_ms);

void
conf_init (struct control *c)
{
	c->subs = g_ptr_array_new_with_free_func (g_free);
	c->confirms =
		g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
	c->flooded =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
conf_finish (struct control *c)
{
	g_hash_table_destroy (c->flooded);
	g_hash_table_destroy (c->confirms);
	g_ptr_array_free (c->subs, TRUE);
}

static struct sub *
sub_find (struct control *c, const struct link *l)
{
	for (guint i = 0; i < c->subs->len; i++) {
		struct sub *s = g_ptr_array_index (c->subs, i);

		if (s->link == l)
			return s;
	}
	return NULL;
}

static void
fill (const struct control *c, struct proto_update *u, uint64_t base)
{
	memset (u, 0, sizeof *u);
	u->base = base;
	u->revision = sm_revision (c->sm);
	memcpy (u->digest, sm_doc (c->sm)->digest, sizeof u->digest);
	u->quorum = c->raft.role == RAFT_LEADER
			    ? raft_lease_until (&c->raft) > tmr_now_ms ()
			    : c->raft.leader != 0;
}

/* How many of the changes from @from on go into one frame. */
static guint
part_len (const GArray *changes, guint from)
{
	size_t bytes = 0;
	guint n = 0;

	while (from + n < changes->len && n < PROTO_UPDATE_CHANGES_MAX) {
		bytes += g_array_index (changes, struct inv_change, from + n)
				 .json.len +
			 INV_NAME_BYTES;
		if (n > 0 && bytes > PART_BYTES)
			break;
		n++;
	}
	return n;
}

static void
send_changes (struct control *c, struct sub *s, uint64_t base,
	      const GArray *changes)
{
	struct proto_update u;
	guint from = 0;
	bool ok;

	do {
		guint n = part_len (changes, from);

		fill (c, &u, base);
		u.delta.items = n > 0 ? &g_array_index (changes,
							struct inv_change, from)
				      : NULL;
		u.delta.count = n;
		from += n;
		u.more = from < changes->len;
		ok = link_send (s->link, FRAME_CONF_UPDATE, proto_update_fields,
				&u);
	} while (ok && from < changes->len);
	/* Where it did not fit, the next heartbeat makes the entry ask. */
	if (ok)
		s->sent = u.revision;
	log_event (LOG_LV_INFO, "conf-send",
		   "entry=%s base=%" G_GUINT64_FORMAT
		   " revision=%" G_GUINT64_FORMAT " changes=%u sent=%d",
		   s->name, base, u.revision, changes->len, ok);
}

static void
send_whole (struct control *c, struct sub *s)
{
	GArray *changes = g_array_new (FALSE, TRUE, sizeof (struct inv_change));
	struct inv_doc none;

	inv_doc_init (&none);
	inv_doc_diff (&none, sm_doc (c->sm), changes);
	send_changes (c, s, 0, changes);
	inv_doc_finish (&none);
	g_array_free (changes, TRUE);
}

/* Bring @s from what was sent to what is committed. */
static void
send_news (struct control *c, struct sub *s)
{
	GArray *changes;

	if (s->sent >= sm_revision (c->sm))
		return;
	changes = g_array_new (FALSE, TRUE, sizeof (struct inv_change));
	if (s->sent > 0 && sm_delta_since (c->sm, s->sent, changes))
		send_changes (c, s, s->sent, changes);
	else
		send_whole (c, s);
	g_array_free (changes, TRUE);
}

static void
send_withdrawn (struct control *c, struct sub *s, const GPtrArray *ids)
{
	GArray *list = g_array_new (FALSE, TRUE, sizeof (struct proto_key_id));
	struct proto_update u;

	for (guint i = 0; i < ids->len; i++) {
		struct proto_key_id id = {{0}};

		g_strlcpy (id.id, g_ptr_array_index (ids, i), sizeof id.id);
		g_array_append_val (list, id);
		if (list->len < PROTO_WITHDRAWN_MAX && i + 1 < ids->len)
			continue;
		/* Base and revision are what the entry was sent: no news. */
		fill (c, &u, s->sent);
		u.revision = s->sent;
		u.withdrawn.items = list->data;
		u.withdrawn.count = list->len;
		link_send (s->link, FRAME_CONF_UPDATE, proto_update_fields, &u);
		g_array_set_size (list, 0);
	}
	g_array_free (list, TRUE);
}

static void
send_all_withdrawn (struct control *c, struct sub *s)
{
	GPtrArray *ids = g_ptr_array_new ();
	GHashTableIter it;
	gpointer id;

	sm_withdrawn_list (c->sm, ids);
	g_hash_table_iter_init (&it, c->flooded);
	while (g_hash_table_iter_next (&it, &id, NULL)) {
		if (!sm_withdrawn (c->sm, id))
			g_ptr_array_add (ids, id);
	}
	if (ids->len > 0)
		send_withdrawn (c, s, ids);
	g_ptr_array_free (ids, TRUE);
}

void
conf_subscribe (struct control *c, struct link *l,
		const struct proto_subscribe *m)
{
	struct sub *s = sub_find (c, l);
	bool same;

	if (s == NULL) {
		s = g_new0 (struct sub, 1);
		s->link = l;
		g_strlcpy (s->name, link_peer_name (l), sizeof s->name);
		g_ptr_array_add (c->subs, s);
	}
	conf_confirm (c, s->name, m->revision, true);
	same = m->revision != sm_revision (c->sm) ||
	       memcmp (m->digest, sm_doc (c->sm)->digest, sizeof m->digest) ==
		       0;
	s->sent = same ? m->revision : 0;
	log_event (LOG_LV_INFO, "conf-subscribe",
		   "entry=%s has=%" G_GUINT64_FORMAT
		   " revision=%" G_GUINT64_FORMAT " digest=%s",
		   s->name, m->revision, sm_revision (c->sm),
		   same ? "ok" : "differs");
	send_all_withdrawn (c, s);
	send_news (c, s);
}

void
conf_confirm (struct control *c, const char *entry, uint64_t revision,
	      bool here)
{
	struct confirm *k = g_hash_table_lookup (c->confirms, entry);

	if (k == NULL) {
		k = g_new0 (struct confirm, 1);
		g_strlcpy (k->name, entry, sizeof k->name);
		g_hash_table_insert (c->confirms, k->name, k);
	}
	if (k->revision == revision)
		return;
	k->revision = revision;
	k->dirty = here;
}

void
conf_link_down (struct control *c, struct link *l)
{
	struct sub *s = sub_find (c, l);

	if (s != NULL)
		g_ptr_array_remove_fast (c->subs, s);
}

void
conf_tell (struct control *c)
{
	if (c->told_revision == sm_revision (c->sm))
		return;
	c->told_revision = sm_revision (c->sm);
	log_event (LOG_LV_INFO, "revision", "revision=%" G_GUINT64_FORMAT,
		   c->told_revision);
	for (guint i = 0; i < c->subs->len; i++)
		send_news (c, g_ptr_array_index (c->subs, i));
}

/* A heartbeat: what is in force, and who is leaving. */
static void
send_beats (struct control *c)
{
	const GArray *leaving = platform_leaving (c);
	struct proto_update u;

	fill (c, &u, sm_revision (c->sm));
	if (leaving != NULL) {
		u.leaving_told = true;
		u.leaving.items = leaving->data;
		u.leaving.count = leaving->len;
	}
	for (guint i = 0; i < c->subs->len; i++) {
		struct sub *s = g_ptr_array_index (c->subs, i);

		link_send (s->link, FRAME_CONF_UPDATE, proto_update_fields, &u);
	}
}

void
conf_tell_leaving (struct control *c)
{
	send_beats (c);
}

void
conf_tick (struct control *c, uint64_t now_ms)
{
	if (now_ms < c->beat_at_ms)
		return;
	c->beat_at_ms = now_ms + BEAT_MS;
	withdrawals_tick (c, now_ms);
	send_beats (c);
}

static void
on_withdrawn (const struct call_result *res, void *ctx)
{
	(void)res;
	(void)ctx;
}

static void
commit_withdrawal (struct control *c, const char *key_id)
{
	struct sm_withdraw cmd = {.wall_ms = tmr_wall_ms ()};
	msgpack_sbuffer buf;

	g_strlcpy (cmd.key_id, key_id, sizeof cmd.key_id);
	msgpack_sbuffer_init (&buf);
	msg_pack (sm_withdraw_fields, &cmd, &buf);
	call_start (c, SM_KEY_WITHDRAW, buf.data, buf.size, false,
		    CONTROL_WITHDRAW_MS, on_withdrawn, NULL);
	msgpack_sbuffer_destroy (&buf);
}

/* Forget what is committed by now; commit what nobody else did. */
static void
withdrawals_tick (struct control *c, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer id;
	gpointer at;

	g_hash_table_iter_init (&it, c->flooded);
	while (g_hash_table_iter_next (&it, &id, &at)) {
		if (sm_withdrawn (c->sm, id)) {
			g_hash_table_iter_remove (&it);
		} else if (now_ms >= GPOINTER_TO_SIZE (at)) {
			commit_withdrawal (c, id);
			g_hash_table_iter_replace (
				&it, GSIZE_TO_POINTER (now_ms +
						       CONTROL_WITHDRAW_MS));
		}
	}
}

void
conf_withdraw (struct control *c, const char *key_id, uint32_t commit_in_ms)
{
	uint64_t now_ms = tmr_now_ms ();
	GPtrArray *ids;

	if (sm_withdrawn (c->sm, key_id) ||
	    g_hash_table_contains (c->flooded, key_id))
		return;
	g_hash_table_insert (c->flooded, g_strdup (key_id),
			     GSIZE_TO_POINTER (now_ms + commit_in_ms));
	if (commit_in_ms == 0)
		withdrawals_tick (c, now_ms);
	log_event (LOG_LV_INFO, "withdraw", "key=%s", key_id);
	ids = g_ptr_array_new ();
	g_ptr_array_add (ids, (gpointer)key_id);
	for (guint i = 0; i < c->subs->len; i++)
		send_withdrawn (c, g_ptr_array_index (c->subs, i), ids);
	g_ptr_array_free (ids, TRUE);
	for (guint i = 0; i < c->peers->len; i++) {
		struct link *l = peer_link (g_ptr_array_index (c->peers, i));
		struct proto_withdraw m;

		memset (&m, 0, sizeof m);

		g_strlcpy (m.id, key_id, sizeof m.id);
		g_strlcpy (m.origin, c->set.name, sizeof m.origin);
		if (l != NULL)
			link_send (l, FRAME_KEY_WITHDRAW, proto_withdraw_fields,
				   &m);
	}
}
