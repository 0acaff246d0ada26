/*
 * Membership of the group.  Members ask to join; the leader adds, promotes and
 * removes them, one change at a time.
 */
#include <string.h>

#include "groupd.h"

/* Interval between two requests to join; a membership change takes a few round
 * trips and disk syncs. */
#define JOIN_INTERVAL_MS 100

/* A voter that was silent for so long is removed where that makes the quorum
 * smaller and all others answer.  It asks to join once it is back. */
#define SILENT_VOTER_MS 2000

/* A learner that was silent for so long is removed. */
#define SILENT_LEARNER_MS 8000

static void
log_change (const char *what, const struct raft_member *m, bool ok,
	    const struct err *e)
{
	log_event (ok ? LOG_LV_INFO : LOG_LV_DEBUG, "group",
		   "change=%s id=%016" G_GINT64_MODIFIER "x addr=%s ok=%d "
		   "why=\"%s\"",
		   what, m->id, m->addr, ok, ok ? "" : e->msg);
}

/* An address belongs to one identity, so an old member at the address of
 * another one that asks to join does not run any more. */
static void
note_replaced (struct group *g, const struct gmsg_join *j)
{
	const struct raft_config *c = &g->raft.config;

	for (uint32_t i = 0; i < c->count; i++) {
		if (strcmp (c->members[i].addr, j->addr) == 0 &&
		    c->members[i].id != j->id)
			raft_note_replaced (&g->raft, c->members[i].id);
	}
}

void
join_handle_request (struct group *g, const struct gmsg_join *j,
		     uint64_t now_ms)
{
	struct raft_member m = {.id = j->id};
	struct err e = {0};

	(void)now_ms;
	note_replaced (g, j);
	if (!group_is_leader (g) || raft_config_find (&g->raft.config, j->id))
		return;
	g_strlcpy (m.name, j->name, sizeof m.name);
	g_strlcpy (m.addr, j->addr, sizeof m.addr);
	g_strlcpy (m.domain, j->domain, sizeof m.domain);
	for (uint32_t i = 0; i < g->raft.config.count; i++) {
		struct raft_member old = g->raft.config.members[i];

		if (strcmp (old.addr, m.addr) == 0) {
			/* The address belongs to a new id now, so the
			 * old member no longer exists. */
			log_change ("replace", &old,
				    raft_remove (&g->raft, old.id, &e), &e);
			group_schedule_flush (g);
			return;
		}
	}
	log_change ("add", &m, raft_add (&g->raft, &m, &e), &e);
	group_schedule_flush (g);
}

static bool
has_answered (struct group *g, const struct raft_member *m, uint64_t now_ms,
	      uint64_t within_ms)
{
	const struct raft_peer *p = raft_peer (&g->raft, m->id);

	return m->id == g->id ||
	       (p != NULL && now_ms < p->acked_ms + within_ms);
}

/* Whether a learner answered before and then fell silent. */
static bool
learner_is_silent (struct group *g, const struct raft_member *m,
		   uint64_t now_ms)
{
	const struct raft_peer *p = raft_peer (&g->raft, m->id);

	return p != NULL && p->acked_ms > 0 &&
	       now_ms > p->acked_ms + SILENT_LEARNER_MS;
}

/* Removes a silent voter from an even number of voters: a majority of the rest
 * needs one vote less. */
static void
remove_silent_voter (struct group *g, uint64_t now_ms)
{
	struct raft_config *c = &g->raft.config;
	const struct raft_member *silent = NULL;
	struct raft_member removed;
	struct err e = {0};

	if (raft_config_voters (c) % 2 != 0 || raft_config_voters (c) < 4 ||
	    now_ms < g->raft.leader_since_ms + SILENT_VOTER_MS)
		return;
	for (uint32_t i = 0; i < c->count; i++) {
		if (c->members[i].voter &&
		    !has_answered (g, &c->members[i], now_ms, SILENT_VOTER_MS))
			silent = &c->members[i];
	}
	if (silent == NULL)
		return;
	removed = *silent;
	log_change ("drop", &removed, raft_remove (&g->raft, removed.id, &e),
		    &e);
	group_schedule_flush (g);
}

static void
leader_tick (struct group *g, uint64_t now_ms)
{
	for (uint32_t i = 0; i < g->raft.config.count; i++) {
		struct raft_member m = g->raft.config.members[i];
		struct err e = {0};
		bool ok;

		if (m.voter)
			continue;
		ok = raft_promote (&g->raft, m.id, &e);
		log_change ("promote", &m, ok, &e);
		if (ok) {
			group_schedule_flush (g);
			return;
		}
		if (learner_is_silent (g, &m, now_ms)) {
			log_change ("forget", &m,
				    raft_remove (&g->raft, m.id, &e), &e);
			group_schedule_flush (g);
			return;
		}
	}
	remove_silent_voter (g, now_ms);
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
