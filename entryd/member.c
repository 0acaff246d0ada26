/*
 * Which entries live: probes over UDP on the number of the peer port.  An
 * entry counts as leaving while the platform lists it so, or after it said
 * goodbye itself.
 */
#include <arpa/inet.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

static void
set_leaving (struct entry *e, struct bb_peer *peer)
{
	const struct memb_peer *p =
		memb_find (membudp_view (e->members), peer->name);

	if (p == NULL)
		return;
	peer->alive = p->state == MEMB_ALIVE;
	peer->leaving =
		p->listed == MEMB_LISTED_LEAVING || p->state == MEMB_LEFT;
}

static void
on_changed (const struct memb_peer *p, enum memb_state was, void *ctx)
{
	struct entry *e = ctx;
	struct bb_peer *peer = bb_peer_find (&e->bb, p->name);

	log_event (LOG_LV_INFO, "member",
		   "peer=%s state=%s was=%s incarnation=%" G_GUINT64_FORMAT,
		   p->name, memb_state_name (p->state), memb_state_name (was),
		   p->incarnation);
	if (peer != NULL && e->members != NULL)
		set_leaving (e, peer);
}

bool
member_init (struct entry *e, struct err *err)
{
	static const struct membudp_ops ops = {on_changed};
	struct membudp_self self = {.name = e->self.name,
				    .domain = e->set.domain,
				    .incarnation = e->self.incarnation,
				    .cluster_key = e->self.cluster_key,
				    .seed = g_rand_int (e->rand)};
	struct sockaddr_in sa;

	if (!link_addr_parse (e->set.peer, &sa, err))
		return false;
	sa.sin_port = htons (link_server_port (e->server));
	e->members = membudp_new (e->d.loop, &self, &sa, &ops, e, err);
	return e->members != NULL;
}

/* After a new inventory. */
void
member_remap (struct entry *e)
{
	membudp_set_peers (e->members, e->inv);
}

/* The platform's list says something of @peer. */
void
member_listed (struct entry *e, struct bb_peer *peer, bool leaving)
{
	membudp_listed (e->members, peer->name,
			leaving ? MEMB_LISTED_LEAVING : MEMB_LISTED_LIVE);
	set_leaving (e, peer);
}
