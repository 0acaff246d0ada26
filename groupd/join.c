/*
 * Membership of the group.  Members ask to join; the leader adds, promotes and
 * removes them, one change at a time.
 */
#include <string.h>

#include "groupd.h"
#include "voters.h"

/* Interval between two requests to join; a membership change takes a few round
 * trips and disk syncs. */
#define JOIN_INTERVAL_MS 100

static void
change (struct group *g, enum voters_verdict what, const struct raft_member *m)
{
	struct err e = {0};
	bool ok = voters_change (&g->raft, what, m, &e);

	log_event (ok ? LOG_LV_INFO : LOG_LV_DEBUG, "group",
		   "change=%s id=%016" G_GINT64_MODIFIER
		   "x addr=%s ok=%d voters=%u why=\"%s\"",
		   voters_verdict_name (what), m->id, m->addr, ok,
		   raft_config_voters (&g->raft.config), ok ? "" : e.msg);
	group_schedule_flush (g);
}

void
join_handle_request (struct group *g, const struct gmsg_join *j)
{
	struct raft_member asks = {.id = j->id}, m;
	enum voters_verdict what;

	g_strlcpy (asks.name, j->name, sizeof asks.name);
	g_strlcpy (asks.addr, j->addr, sizeof asks.addr);
	g_strlcpy (asks.domain, j->domain, sizeof asks.domain);
	what = voters_join (&g->raft, &asks, &m);
	if (what != VOTERS_KEEP)
		change (g, what, &m);
}

static void
leader_tick (struct group *g, uint64_t now_ms)
{
	struct raft_member m;
	enum voters_verdict what = voters_decide (&g->raft, now_ms, &m);

	if (what != VOTERS_KEEP)
		change (g, what, &m);
}

void
join_tick (struct group *g, uint64_t now_ms)
{
	const struct raft_member *own =
		raft_config_find (&g->raft.config, g->id);
	struct gmsg_join j = {.id = g->id};

	if (group_is_leader (g)) {
		leader_tick (g, now_ms);
		return;
	}
	if (now_ms - g->join_sent_ms < JOIN_INTERVAL_MS ||
	    (g->raft.leader != 0 && own != NULL))
		return;
	g->join_sent_ms = now_ms;
	g_strlcpy (j.name, g->set.name, sizeof j.name);
	g_strlcpy (j.addr, g->set.peer, sizeof j.addr);
	g_strlcpy (j.domain, g->set.domain, sizeof j.domain);
	for (guint i = 0; i < g->members->len; i++) {
		struct member_link *m = g_ptr_array_index (g->members, i);

		link_send (m->link, FRAME_GROUP_JOIN, gmsg_join_fields, &j);
	}
}
