/*
 * Messages of leases between entries.  What both ends of a link know is not
 * sent: see lib/lease.h.
 */
#include <string.h>

#include "entryd.h"

static struct link *
link_to (struct entry *e, const struct bb_peer *to)
{
	struct peer *p = g_hash_table_lookup (e->peers, to->name);

	if (p == NULL || p->link == NULL || !link_is_up (p->link))
		return NULL;
	return p->link;
}

static void
send_beat (struct bb_peer *to, const struct lease_beat *m, void *ctx)
{
	struct link *l = link_to (ctx, to);

	if (l != NULL)
		link_send (l, FRAME_LEASE_BEAT, lease_beat_fields, m);
}

static void
send_ask (struct bb_peer *to, const struct lease_ask *m, void *ctx)
{
	struct link *l = link_to (ctx, to);
	struct lease_ask out = *m;

	if (l == NULL)
		return;
	out.wants.items = g_memdup2 (
		m->wants.items, m->wants.count * sizeof (struct lease_want));
	lease_ask_out (&out, link_peer_incarnation (l));
	link_send (l, m->renew ? FRAME_LEASE_ASK : FRAME_LEASE_OFFER,
		   lease_ask_fields, &out);
	g_free (out.wants.items);
}

static void
send_grant (struct bb_peer *to, const struct lease_grant *m, void *ctx)
{
	struct entry *e = ctx;
	struct link *l = link_to (e, to);
	struct lease_grant out = *m;

	if (l != NULL && lease_grant_out (&out, e->self.incarnation,
					  link_peer_incarnation (l)))
		link_send (l, FRAME_LEASE_GRANT, lease_grant_fields, &out);
}

const struct lease_ops credit_lease_ops = {send_beat, send_ask, send_grant};

void
credit_take (struct entry *e, struct peer *p, struct link *l, uint8_t kind,
	     union credit_message *m)
{
	uint64_t now_ms = tmr_now_ms ();
	uint64_t from = link_peer_incarnation (l);

	switch (kind) {
	case FRAME_LEASE_BEAT:
		lease_beat_in (&m->beat, from);
		lease_on_beat (&e->lease, p->bb, &m->beat, now_ms);
		break;
	case FRAME_LEASE_ASK:
	case FRAME_LEASE_OFFER:
		lease_ask_in (&m->ask, from, e->self.incarnation);
		lease_on_ask (&e->lease, p->bb, &m->ask, now_ms);
		break;
	case FRAME_LEASE_GRANT:
		lease_grant_in (&m->grant, from, e->self.incarnation);
		lease_on_grant (&e->lease, p->bb, &m->grant, now_ms);
		work_wake (e);
		break;
	}
}
