/*
 * Who is in the group.  Members ask; the leader adds, promotes and drops, one
 * change at a time.
 */
#include <string.h>

#include "groupd.h"

/* Between two requests to join; a change takes a few round trips and syncs. */
#define ASK_MS 250

/* A voter is dropped after so long a silence where that leaves the quorum's
 * size smaller and all others answer; it asks to join when it is back. */
#define SILENT_VOTER_MS 2000

/* A learner that is silent for so long is taken for gone. */
#define FORGET_MS 8000

static void
tell (const char *what, const struct raft_member *m, bool ok,
      const struct err *e)
{
	log_event (ok ? LOG_LV_INFO : LOG_LV_DEBUG, "group",
		   "change=%s id=%016" G_GINT64_MODIFIER "x addr=%s ok=%d "
		   "why=\"%s\"",
		   what, m->id, m->addr, ok, ok ? "" : e->msg);
}

/* Leader: a member that is not in the group, or lost its disk, asks. */
void
join_ask (struct group *g, const struct gmsg_join *j, uint64_t now_ms)
{
	struct raft_member m = {.id = j->id};
	struct err e = {0};

	(void)now_ms;
	if (!group_leads (g) || raft_config_find (&g->raft.config, j->id))
		return;
	g_strlcpy (m.name, j->name, sizeof m.name);
	g_strlcpy (m.addr, j->addr, sizeof m.addr);
	g_strlcpy (m.domain, j->domain, sizeof m.domain);
	for (uint32_t i = 0; i < g->raft.config.count; i++) {
		struct raft_member old = g->raft.config.members[i];

		if (strcmp (old.addr, m.addr) == 0) {
			/* Whoever has its address now is not it any more. */
			tell ("replace", &old,
			      raft_remove (&g->raft, old.id, &e), &e);
			group_wake (g);
			return;
		}
	}
	tell ("add", &m, raft_add (&g->raft, &m, &e), &e);
	group_wake (g);
}

static bool
answers (struct group *g, const struct raft_member *m, uint64_t now_ms,
	 uint64_t within_ms)
{
	const struct raft_peer *p = raft_peer (&g->raft, m->id);

	return m->id == g->id ||
	       (p != NULL && now_ms < p->acked_ms + within_ms);
}

/* A learner that answered once, and then no more. */
static bool
forgotten (struct group *g, const struct raft_member *m, uint64_t now_ms)
{
	const struct raft_peer *p = raft_peer (&g->raft, m->id);

	return p != NULL && p->acked_ms > 0 && now_ms > p->acked_ms + FORGET_MS;
}

/* An even number of voters with one that is silent: without it a majority
 * needs one less. */
static void
drop_silent (struct group *g, uint64_t now_ms)
{
	struct raft_config *c = &g->raft.config;
	const struct raft_member *silent = NULL;
	struct raft_member gone;
	struct err e = {0};

	if (raft_config_voters (c) % 2 != 0 || raft_config_voters (c) < 4 ||
	    now_ms < g->raft.leader_since_ms + SILENT_VOTER_MS)
		return;
	for (uint32_t i = 0; i < c->count; i++) {
		if (c->members[i].voter &&
		    !answers (g, &c->members[i], now_ms, SILENT_VOTER_MS))
			silent = &c->members[i];
	}
	if (silent == NULL)
		return;
	gone = *silent;
	tell ("drop", &gone, raft_remove (&g->raft, gone.id, &e), &e);
	group_wake (g);
}

static void
lead_tick (struct group *g, uint64_t now_ms)
{
	for (uint32_t i = 0; i < g->raft.config.count; i++) {
		struct raft_member m = g->raft.config.members[i];
		struct err e = {0};
		bool ok;

		if (m.voter)
			continue;
		ok = raft_promote (&g->raft, m.id, &e);
		tell ("promote", &m, ok, &e);
		if (ok) {
			group_wake (g);
			return;
		}
		if (forgotten (g, &m, now_ms)) {
			tell ("forget", &m, raft_remove (&g->raft, m.id, &e),
			      &e);
			group_wake (g);
			return;
		}
	}
	drop_silent (g, now_ms);
}

void
join_tick (struct group *g, uint64_t now_ms)
{
	const struct raft_member *own =
		raft_config_find (&g->raft.config, g->id);
	struct gmsg_join j = {.id = g->id};

	if (group_leads (g)) {
		lead_tick (g, now_ms);
		return;
	}
	if (now_ms - g->joined_ms < ASK_MS ||
	    (g->raft.leader != 0 && own != NULL))
		return;
	g->joined_ms = now_ms;
	g_strlcpy (j.name, g->set.name, sizeof j.name);
	g_strlcpy (j.addr, g->set.peer, sizeof j.addr);
	g_strlcpy (j.domain, g->set.domain, sizeof j.domain);
	for (guint i = 0; i < g->members->len; i++) {
		struct member *m = g_ptr_array_index (g->members, i);

		link_send (m->out, FRAME_GROUP_JOIN, gmsg_join_fields, &j);
	}
}
