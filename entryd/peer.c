/*
 * Other entry instances: one link for each pair, made by the one whose name
 * sorts first; leases, strikes and withdrawn keys travel on it.
 */
#include <string.h>

#include "entryd.h"
#include "log.h"

#define DIGEST_MS 2000

void
peer_send_to (struct entry *e, const char *name, uint8_t kind,
	      const struct msg_field *fields, const void *msg)
{
	struct peer *p = g_hash_table_lookup (e->peers, name);

	if (p != NULL && p->link != NULL)
		link_send (p->link, kind, fields, msg);
}

/* Send to every peer in reach but the one it came from. */
void
peer_flood (struct entry *e, uint8_t kind, const struct msg_field *fields,
	    const void *msg, const char *except)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, e->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct peer *p = v;

		if (p->link != NULL &&
		    (except == NULL || strcmp (p->name, except) != 0))
			link_send (p->link, kind, fields, msg);
	}
}

static void
send_key_digest (struct entry *e, struct peer *p)
{
	struct proto_key_digest m = {.digest = keyflood_digest (&e->keys)};

	link_send (p->link, FRAME_KEY_DIGEST, proto_key_digest_fields, &m);
}

/* What a peer that came up may lack: withdrawn keys, by digest; strikes. */
static void
send_all (struct entry *e, struct peer *p)
{
	GArray *items = g_array_new (FALSE, FALSE, sizeof (struct susp_item));
	struct susp_msg m = {.incarnation = e->self.incarnation};

	send_key_digest (e, p);
	susp_export (&e->susp, true, items, tmr_now_ms ());
	memcpy (m.entry, e->self.name, sizeof m.entry);
	m.items = (struct msg_list){items->data, items->len};
	if (items->len > 0)
		link_send (p->link, FRAME_STRIKES, susp_msg_fields, &m);
	g_array_unref (items);
}

static void
on_up (struct link *l, void *ctx)
{
	struct entry *e = ctx;
	struct peer *p = g_hash_table_lookup (e->peers, link_peer_name (l));
	uint64_t incarnation = link_peer_incarnation (l);

	if (p == NULL || p->bb == NULL) {
		/* Not in our inventory yet; the other side tries again. */
		log_event (LOG_LV_INFO, "peer", "peer=%s state=unknown",
			   link_peer_name (l));
		link_close (l, "not in the inventory");
		return;
	}
	if (p->link != NULL && p->link != l && !p->ours)
		link_close (p->link, "replaced");
	p->link = l;
	usage_link_change (e, l);
	link_set_data (l, p);
	if (p->incarnation != 0 && p->incarnation != incarnation)
		lease_gone (&e->lease, p->bb, tmr_now_ms ());
	p->incarnation = incarnation;
	part_peer_up (&e->part, p->bb, incarnation, tmr_now_ms ());
	log_event (LOG_LV_INFO, "peer", "peer=%s state=up", p->name);
	send_all (e, p);
}

static void
on_down (struct link *l, const char *why, void *ctx)
{
	struct peer *p = link_data (l);

	usage_link_change (ctx, l);
	if (p == NULL || p->link != l)
		return;
	if (!p->ours) {
		((struct entry *)ctx)->bytes_gone += link_bytes_sent (l);
		p->link = NULL;
	}
	log_event (LOG_LV_INFO, "peer", "peer=%s state=down why=\"%s\"",
		   p->name, why);
}

/* A peer asks for what control did not give it. */
static void
serve_pull (struct entry *e, struct link *l, const struct proto_subscribe *s)
{
	GArray *changes =
		g_array_new (FALSE, FALSE, sizeof (struct inv_change));
	struct inv_doc empty;
	struct proto_update u = {.revision = e->revision};

	inv_doc_init (&empty);
	if (s->revision < e->revision && e->inv != NULL) {
		inv_doc_diff (&empty, &e->doc, changes);
		memcpy (u.digest, e->doc.digest, sizeof u.digest);
		for (guint i = 0; i < changes->len;
		     i += PROTO_UPDATE_CHANGES_MAX) {
			guint n = MIN (changes->len - i,
				       PROTO_UPDATE_CHANGES_MAX);

			u.delta.items =
				&g_array_index (changes, struct inv_change, i);
			u.delta.count = n;
			u.more = i + n < changes->len;
			link_send (l, FRAME_CONF_UPDATE, proto_update_fields,
				   &u);
		}
	}
	inv_doc_finish (&empty);
	g_array_unref (changes);
}

union message {
	union credit_message credit;
	struct part_ask part_ask;
	struct part_grant part_grant;
	struct susp_msg strikes;
	struct keyflood_ids withdraw;
	struct keyflood_buckets parts;
	struct proto_key_digest digest;
	struct proto_subscribe pull;
	struct proto_update update;
};

static void
take_message (struct entry *e, struct peer *p, struct link *l, uint8_t kind,
	      union message *m)
{
	uint64_t now_ms = tmr_now_ms ();

	p->bb->heard_ms = now_ms;
	e->lease_due = true;
	switch (kind) {
	case FRAME_LEASE_BEAT:
	case FRAME_LEASE_ASK:
	case FRAME_LEASE_OFFER:
	case FRAME_LEASE_GRANT:
		credit_take (e, p, l, kind, &m->credit);
		break;
	case FRAME_PART_ASK:
		part_on_ask (&e->part, p->bb, &m->part_ask, now_ms);
		break;
	case FRAME_PART_GRANT:
		part_on_grant (&e->part, p->bb, &m->part_grant, now_ms);
		work_wake (e);
		break;
	case FRAME_STRIKES:
		susp_import (&e->susp, &e->bb, &m->strikes, now_ms);
		break;
	case FRAME_KEY_WITHDRAW:
		keyflood_on_ids (&e->keys, p->name, &m->withdraw);
		break;
	case FRAME_KEY_PARTS:
		keyflood_on_buckets (&e->keys, p->name, &m->parts);
		break;
	case FRAME_KEY_DIGEST:
		keyflood_on_digest (&e->keys, p->name, m->digest.digest,
				    now_ms);
		break;
	case FRAME_CONF_PULL:
		serve_pull (e, l, &m->pull);
		break;
	case FRAME_CONF_UPDATE:
		conf_on_update (e, l, &m->update, false);
		break;
	}
}

static const struct {
	uint8_t kind;
	const struct msg_field *fields;
} messages[] = {
	{FRAME_LEASE_BEAT, lease_beat_fields},
	{FRAME_LEASE_ASK, lease_ask_fields},
	{FRAME_LEASE_OFFER, lease_ask_fields},
	{FRAME_LEASE_GRANT, lease_grant_fields},
	{FRAME_PART_ASK, part_ask_fields},
	{FRAME_PART_GRANT, part_grant_fields},
	{FRAME_STRIKES, susp_msg_fields},
	{FRAME_KEY_WITHDRAW, keyflood_ids_fields},
	{FRAME_KEY_PARTS, keyflood_buckets_fields},
	{FRAME_KEY_DIGEST, proto_key_digest_fields},
	{FRAME_CONF_PULL, proto_subscribe_fields},
	{FRAME_CONF_UPDATE, proto_update_fields},
};

static void
on_frame (struct link *l, uint8_t kind, const uint8_t *body, size_t len,
	  void *ctx)
{
	struct entry *e = ctx;
	struct peer *p = link_data (l);
	union message m;
	msgpack_zone zone;
	struct err err = {0};

	if (p == NULL || p->bb == NULL)
		return;
	if (kind == FRAME_USAGE_MIRROR) {
		usage_take (e, l, body, len);
		return;
	}
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	for (unsigned i = 0; i < G_N_ELEMENTS (messages); i++) {
		if (messages[i].kind != kind)
			continue;
		if (msg_unpack (messages[i].fields, body, len, &m, &zone, &err))
			take_message (e, p, l, kind, &m);
		else
			log_event (LOG_LV_WARN, "peer", "peer=%s bad=\"%s\"",
				   p->name, err.msg);
	}
	msgpack_zone_destroy (&zone);
}

static const struct link_ops link_ops = {on_up, on_frame, on_down};

static void
peer_free (gpointer v)
{
	struct peer *p = v;

	if (p->bb != NULL)
		p->bb->refs--;
	if (p->ours)
		link_free (p->link);
	else if (p->link != NULL)
		link_set_data (p->link, NULL);
	g_free (p);
}

static void
peer_add (struct entry *e, struct bb_peer *bb)
{
	struct peer *p = g_new0 (struct peer, 1);
	struct sockaddr_in sa;

	p->e = e;
	p->bb = bb;
	bb->refs++;
	memcpy (p->name, bb->name, sizeof p->name);
	memcpy (p->addr, bb->inv->peer, sizeof p->addr);
	g_hash_table_insert (e->peers, p->name, p);
	p->ours = strcmp (e->self.name, p->name) < 0;
	if (p->ours && link_addr_parse (p->addr, &sa, NULL)) {
		p->link = link_connect (e->d.loop, &e->self, &sa, &link_ops, e);
		link_set_data (p->link, p);
	}
}

static gboolean
peer_is_stale (gpointer key, gpointer value, gpointer ctx)
{
	struct peer *p = value;

	(void)key;
	(void)ctx;
	return p->bb->inv == NULL || strcmp (p->addr, p->bb->inv->peer) != 0;
}

/* After a new inventory: links to the entries it names. */
void
peer_remap (struct entry *e)
{
	g_hash_table_foreach_remove (e->peers, peer_is_stale, NULL);
	for (uint32_t i = 0; i < e->inv->entry_count; i++) {
		struct bb_peer *bb = e->bb.peers[i];

		if (strcmp (bb->name, e->self.name) != 0 &&
		    g_hash_table_lookup (e->peers, bb->name) == NULL)
			peer_add (e, bb);
	}
}

bool
peer_init (struct entry *e, struct err *err)
{
	struct sockaddr_in sa;

	e->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
					  peer_free);
	if (!link_addr_parse (e->set.peer, &sa, err))
		return false;
	/* Peers and firewalls know this instance by one address. */
	e->self.from = sa.sin_addr;
	e->server = link_listen (e->d.loop, &e->self, &sa, &link_ops, e, err);
	return e->server != NULL;
}

/* Ask one peer for an inventory, where control gave none for long. */
bool
peer_pull (struct entry *e)
{
	struct proto_subscribe m = {.revision = e->revision};
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, e->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct peer *p = v;

		if (p->link != NULL && link_send (p->link, FRAME_CONF_PULL,
						  proto_subscribe_fields, &m))
			return true;
	}
	return false;
}

/* One peer in turn hears which withdrawn keys we know. */
static void
tell_digest (struct entry *e, uint64_t now_ms)
{
	GList *all, *l;

	if (now_ms - e->digest_ms < DIGEST_MS)
		return;
	e->digest_ms = now_ms;
	all = g_hash_table_get_values (e->peers);
	l = all != NULL ? g_list_nth (all, g_rand_int (e->rand) %
						   g_hash_table_size (e->peers))
			: NULL;
	if (l != NULL && ((struct peer *)l->data)->link != NULL)
		send_key_digest (e, l->data);
	g_list_free (all);
}

/* Strikes that changed since the last call. */
void
peer_tell_strikes (struct entry *e, uint64_t now_ms)
{
	GArray *items = g_array_new (FALSE, FALSE, sizeof (struct susp_item));
	struct susp_msg m = {.incarnation = e->self.incarnation};

	if (susp_export (&e->susp, false, items, now_ms) > 0) {
		memcpy (m.entry, e->self.name, sizeof m.entry);
		m.items = (struct msg_list){items->data, items->len};
		peer_flood (e, FRAME_STRIKES, susp_msg_fields, &m, NULL);
	}
	g_array_unref (items);
}

void
peer_tick (struct entry *e, uint64_t now_ms)
{
	tell_digest (e, now_ms);
	peer_tell_strikes (e, now_ms);
}

/* All that this entry sent to control, peers and by probes, in bytes. */
uint64_t
peer_bytes_sent (struct entry *e)
{
	uint64_t sum = e->bytes_gone + membudp_bytes_sent (e->members);
	GHashTableIter it;
	gpointer v;

	if (e->control != NULL)
		sum += link_bytes_sent (e->control);
	g_hash_table_iter_init (&it, e->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		const struct peer *p = v;

		if (p->link != NULL)
			sum += link_bytes_sent (p->link);
	}
	return sum;
}

void
peer_finish (struct entry *e)
{
	g_hash_table_destroy (e->peers);
	link_server_free (e->server);
}
