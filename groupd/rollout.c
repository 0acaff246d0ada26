/*
 * Rollouts: the leader decides on their states and grants requests to the new
 * version; all members tell relays what they have applied.
 */
#include <string.h>

#include "groupd.h"

/* An index that was proposed and is not yet applied; 0: none. */
struct proposal {
	uint64_t index;
	uint64_t term;
};

/* What the leader keeps of a rollout that is not over. */
struct watch {
	struct rollout_lead lead;
	struct proposal state;
	struct proposal issue;
	uint64_t issue_count;
};

static void
watch_free (void *p)
{
	struct watch *w = p;

	rollout_lead_finish (&w->lead);
	g_free (w);
}

bool
group_has_rollouts (const struct group *g)
{
	return g->set.exposure_share > 0;
}

void
group_rollout_init (struct group *g)
{
	g->rollouts.watches = g_ptr_array_new_with_free_func (watch_free);
}

void
group_rollout_finish (struct group *g)
{
	g_ptr_array_free (g->rollouts.watches, TRUE);
}

static char *
relay_key (const struct link *l)
{
	return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, link_peer_name (l),
				link_peer_incarnation (l));
}

static struct watch *
watch_find (struct group *g, uint64_t id)
{
	for (guint i = 0; i < g->rollouts.watches->len; i++) {
		struct watch *w = g_ptr_array_index (g->rollouts.watches, i);

		if (w->lead.id == id)
			return w;
	}
	return NULL;
}

static void
watch_begin (struct group *g, const struct rollout *r, uint64_t now_ms)
{
	const struct rollout_limits limits = {g->set.exposure_share,
					      g->set.exposure_slack};
	struct watch *w = g_new0 (struct watch, 1);

	rollout_lead_init (&w->lead, r, &limits, now_ms);
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);
		char *key = relay_key (a->link);

		if (a->is_relay)
			rollout_lead_link (&w->lead, key);
		g_free (key);
	}
	g_ptr_array_add (g->rollouts.watches, w);
	log_event (LOG_LV_INFO, "rollout-watch",
		   "id=%" G_GUINT64_FORMAT " service=%s target=%s state=%s "
		   "issued=%" G_GUINT64_FORMAT,
		   r->id, r->service, r->target, rollout_state_name (r->state),
		   r->issued);
}

/* Proposes a command; returns whether it was appended. */
static bool
propose (struct group *g, enum gstate_kind kind, const void *cmd,
	 struct proposal *p)
{
	msgpack_sbuffer buf;
	struct err e = {0};
	bool ok;

	msgpack_sbuffer_init (&buf);
	gstate_encode (kind, cmd, &buf);
	ok = raft_propose (&g->raft, buf.data, buf.size, &p->index, &e);
	msgpack_sbuffer_destroy (&buf);
	if (!ok) {
		p->index = 0;
		log_event (LOG_LV_WARN, "rollout-propose", "why=\"%s\"", e.msg);
		return false;
	}
	p->term = g->raft.term;
	group_schedule_flush (g);
	return true;
}

static uint64_t
elapsed_ms (const struct rollout *r)
{
	uint64_t wall_ms = tmr_wall_ms ();

	return wall_ms - MIN (wall_ms, r->started_wall_ms);
}

bool
group_serves (struct group *g, const char *service, bool *known)
{
	/* The parse of a newer configuration takes a few turns of the loop. */
	*known = plan_refresh (g) && g->plan->version == g->state.version;
	return *known && plan_service (g->plan, service) != NULL;
}

static void
decide (struct group *g, struct watch *w, const struct rollout *r,
	uint64_t now_ms)
{
	struct gstate_rollout_state cmd = {.id = r->id};
	const char *why = "";
	bool known, served = group_serves (g, r->service, &known);

	cmd.state = rollout_lead_decide (&w->lead, r, elapsed_ms (r),
					 served || !known, now_ms, &why);
	if (cmd.state == r->state ||
	    !propose (g, GSTATE_ROLLOUT_STATE, &cmd, &w->state))
		return;
	log_event (LOG_LV_INFO, "rollout-decide",
		   "id=%" G_GUINT64_FORMAT " service=%s target=%s from=%s "
		   "to=%s why=\"%s\" elapsed_ms=%" G_GUINT64_FORMAT
		   " value=%.3g answers=%" G_GUINT64_FORMAT
		   " issued=%" G_GUINT64_FORMAT,
		   r->id, r->service, r->target, rollout_state_name (r->state),
		   rollout_state_name (cmd.state), why, elapsed_ms (r),
		   w->lead.judge.value,
		   rollout_judge_answers (&w->lead.judge, true), r->issued);
}

static void
watch_tick (struct group *g, struct watch *w, const struct rollout *r,
	    uint64_t now_ms)
{
	struct gstate_rollout_issue cmd;

	if (w->state.index == 0)
		decide (g, w, r, now_ms);
	rollout_lead_distribute (&w->lead, now_ms);
	if (w->issue.index == 0 &&
	    rollout_lead_issue (&w->lead, r, now_ms, &cmd) &&
	    propose (g, GSTATE_ROLLOUT_ISSUE, &cmd, &w->issue))
		w->issue_count = cmd.count;
}

/* On a leader that has applied what its predecessors committed; in each term a
 * leader begins without knowledge, as its grants may have been lost. */
static void
lead_tick (struct group *g, uint64_t now_ms)
{
	struct group_rollouts *s = &g->rollouts;

	if (!group_is_leader (g) || g->raft.applied < g->raft.term_start ||
	    g->raft.term != s->term) {
		g_ptr_array_set_size (s->watches, 0);
		s->term = g->raft.term;
		return;
	}
	for (guint i = s->watches->len; i > 0; i--) {
		struct watch *w = g_ptr_array_index (s->watches, i - 1);
		const struct rollout *r =
			gstate_rollout_by_id (&g->state, w->lead.id);

		if (r == NULL || rollout_is_over (r->state))
			g_ptr_array_remove_index (s->watches, i - 1);
	}
	for (guint i = 0; i < g->state.rollouts->len; i++) {
		const struct rollout *r =
			&g_array_index (g->state.rollouts, struct rollout, i);

		if (rollout_is_over (r->state))
			continue;
		if (watch_find (g, r->id) == NULL)
			watch_begin (g, r, now_ms);
		watch_tick (g, watch_find (g, r->id), r, now_ms);
	}
}

void
group_rollout_applied (struct group *g, const struct raft_entry *entry)
{
	for (guint i = 0; i < g->rollouts.watches->len; i++) {
		struct watch *w = g_ptr_array_index (g->rollouts.watches, i);

		if (w->state.index == entry->index)
			w->state.index = 0;
		if (w->issue.index != entry->index)
			continue;
		/* Another leader's entry in its place: this one's is lost. */
		if (w->issue.term == entry->term)
			rollout_lead_issued (&w->lead, w->issue_count);
		w->issue.index = 0;
	}
}

/* What the relay on @l is told; @items holds ROLLOUTS_MAX entries. */
static void
compose (struct group *g, const struct link *l, struct gmsg_rollout *items,
	 struct gmsg_rollouts *m, uint64_t now_ms)
{
	bool leads = group_is_leader (g);
	char *key = relay_key (l);

	*m = (struct gmsg_rollouts){
		.index = g->state.rollout_index,
		.term = g->raft.term,
		.is_leader = leads,
		.has_leader = leads ? raft_lease_until (&g->raft) > now_ms
				    : group_has_leader (g),
		.rollouts = {items, g->state.rollouts->len}};
	for (uint32_t i = 0; i < m->rollouts.count; i++) {
		const struct rollout *r =
			&g_array_index (g->state.rollouts, struct rollout, i);
		const struct watch *w = watch_find (g, r->id);

		items[i] =
			(struct gmsg_rollout){.id = r->id, .state = r->state};
		g_strlcpy (items[i].service, r->service,
			   sizeof items[i].service);
		g_strlcpy (items[i].target, r->target, sizeof items[i].target);
		if (w != NULL)
			items[i].grant = rollout_lead_grant (&w->lead, key);
	}
	g_free (key);
}

/* Sends to the relay what it lacks, or @all. */
static void
send_to (struct group *g, struct accepted_link *a, bool all, uint64_t now_ms)
{
	struct gmsg_rollout *items = g_new0 (struct gmsg_rollout, ROLLOUTS_MAX);
	struct gmsg_rollouts m;
	uint64_t grants = 0;

	compose (g, a->link, items, &m, now_ms);
	for (uint32_t i = 0; i < m.rollouts.count; i++)
		grants += items[i].grant;
	if ((all || grants != a->rollout_grants) &&
	    link_send (a->link, FRAME_GROUP_ROLLOUTS, gmsg_rollouts_fields, &m))
		a->rollout_grants = grants;
	g_free (items);
}

void
group_rollout_link_up (struct group *g, struct accepted_link *a,
		       uint64_t now_ms)
{
	char *key;

	if (!group_has_rollouts (g) || !a->is_relay)
		return;
	key = relay_key (a->link);
	for (guint i = 0; i < g->rollouts.watches->len; i++) {
		struct watch *w = g_ptr_array_index (g->rollouts.watches, i);

		rollout_lead_link (&w->lead, key);
	}
	g_free (key);
	send_to (g, a, true, now_ms);
}

void
group_rollout_link_down (struct group *g, const struct accepted_link *a)
{
	char *key = relay_key (a->link);

	for (guint i = 0; i < g->rollouts.watches->len; i++) {
		struct watch *w = g_ptr_array_index (g->rollouts.watches, i);

		rollout_lead_unlink (&w->lead, key);
	}
	g_free (key);
}

void
group_rollout_receive (struct group *g, const struct link *from,
		       const struct gmsg_rollout_reports *m, uint64_t now_ms)
{
	const struct gmsg_rollout_report *r = m->reports.items;
	char *key = relay_key (from);

	for (uint32_t i = 0; i < m->reports.count; i++) {
		struct watch *w = watch_find (g, r[i].id);

		if (w != NULL)
			rollout_lead_report (&w->lead, key, &r[i], now_ms);
	}
	g_free (key);
}

void
group_rollout_tick (struct group *g, uint64_t now_ms)
{
	struct group_rollouts *s = &g->rollouts;
	bool all = s->changed || now_ms >= s->sent_ms + GROUP_STATE_LEADER_MS;

	if (!group_has_rollouts (g))
		return;
	lead_tick (g, now_ms);
	if (!all && s->watches->len == 0)
		return;
	if (all) {
		s->changed = false;
		s->sent_ms = now_ms;
	}
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);

		if (a->is_relay)
			send_to (g, a, all, now_ms);
	}
}

void
group_rollout_print (const struct group *g, GString *out)
{
	for (guint i = 0; i < g->state.rollouts->len; i++) {
		const struct rollout *r =
			&g_array_index (g->state.rollouts, struct rollout, i);

		g_string_append_printf (
			out,
			"dh_group_rollout{service=\"%s\",target=\"%s\","
			"state=\"%s\"} %" G_GUINT64_FORMAT "\n",
			r->service, r->target, rollout_state_name (r->state),
			r->issued);
	}
}
