/*
 * The simulated group whose members come and go: see t_voters.h.
 */
#include <string.h>

#include "t_run.h"
#include "t_voters.h"

#define POLICY_STEPS 5 /* between two decisions of a member: 25 ms */
#define CALL_STEPS 10  /* between two calls of the operator */
#define FOREVER UINT64_MAX

static void
instance_addr (const struct t_voters *w, const struct t_instance *m, char *out)
{
	g_snprintf (out, RAFT_NAME_BYTES, "m%d", (int)(m - w->instances));
}

static bool
is_running (const struct t_instance *m)
{
	return !m->gone && m->node->up && !m->node->frozen;
}

void
t_voters_init (struct t_voters *w, uint32_t seed, uint32_t members,
	       uint32_t losses)
{
	memset (w, 0, sizeof *w);
	rsim_init_calm (&w->s, seed, members);
	w->losses = w->s.disk_losses = losses;
	w->count = members;
	w->calls = g_array_new (FALSE, TRUE, sizeof (struct t_call));
	for (uint32_t i = 0; i < members; i++) {
		struct rsim_node *n = &w->s.nodes[i];

		w->instances[i].node = n;
		n->raft.limits.disk_losses = losses;
		for (uint32_t k = 0; k < members; k++)
			instance_addr (w, &w->instances[k],
				       n->disk.snap_config.members[k].addr);
		n->raft.snap_config = n->raft.config = n->disk.snap_config;
	}
}

void
t_voters_finish (struct t_voters *w)
{
	g_array_free (w->calls, TRUE);
	rsim_finish (&w->s);
}

struct t_instance *
t_voters_add (struct t_voters *w)
{
	struct t_instance *m = &w->instances[w->count];
	struct rsim_node *n;

	if (w->count == T_VOTERS_INSTANCES_MAX ||
	    (n = rsim_add (&w->s)) == NULL)
		return NULL;
	w->count++;
	*m = (struct t_instance){
		.node = n, .whole_at_ms = w->s.now_ms + T_VOTERS_CATCH_UP_MS};
	rsim_start (n);
	return m;
}

void
t_voters_remove (struct t_voters *w, struct t_instance *m)
{
	(void)w;
	if (m->node->up)
		rsim_crash (m->node);
	m->gone = m->node->lost = true;
}

void
t_voters_kill (struct t_voters *w, struct t_instance *m, uint32_t ms, bool wipe)
{
	struct rsim_node *fresh = wipe ? rsim_add (&w->s) : NULL;

	if (m->node->up)
		rsim_crash (m->node);
	if (fresh != NULL) {
		m->node->lost = true;
		m->node = fresh;
		m->disk_lost = true;
	}
	m->heal_at_ms = w->s.now_ms + ms;
	m->whole_at_ms = FOREVER;
}

void
t_voters_power_loss (struct t_voters *w, uint32_t ms)
{
	for (uint32_t i = 0; i < w->count; i++) {
		struct t_instance *m = &w->instances[i];

		if (!m->gone && m->node->up)
			t_voters_kill (w, m, ms, false);
	}
}

void
t_voters_cut (struct t_voters *w, struct t_instance *m, uint32_t ms)
{
	m->cut = true;
	m->heal_at_ms = w->s.now_ms + ms;
	m->whole_at_ms = FOREVER;
}

void
t_voters_freeze (struct t_voters *w, struct t_instance *m, uint32_t ms)
{
	m->node->frozen = true;
	m->heal_at_ms = w->s.now_ms + ms;
	m->whole_at_ms = FOREVER;
}

static void
heal (struct t_voters *w, struct t_instance *m)
{
	m->cut = false;
	m->node->frozen = false;
	m->heal_at_ms = 0;
	m->whole_at_ms = w->s.now_ms + T_VOTERS_CATCH_UP_MS;
	if (!m->node->up)
		rsim_start (m->node);
}

/* A split separates instances of even and odd numbers. */
static bool
is_separated (const struct t_voters *w, uint32_t a, uint32_t b)
{
	return w->instances[a].cut || w->instances[b].cut ||
	       (w->s.now_ms < w->split_until_ms && (a - b) % 2 != 0);
}

static void
set_cuts (struct t_voters *w)
{
	for (uint32_t i = 0; i < w->count; i++) {
		for (uint32_t k = 0; k < w->count; k++)
			w->s.cut[w->instances[i].node - w->s.nodes]
				[w->instances[k].node - w->s.nodes] =
				is_separated (w, i, k);
	}
}

static void
note_calm (struct t_voters *w)
{
	bool calm = w->s.now_ms >= w->split_until_ms;

	for (uint32_t i = 0; i < w->count; i++)
		calm = calm && (w->instances[i].gone ||
				w->instances[i].heal_at_ms == 0);
	if (!calm)
		w->calm_since_ms = w->s.now_ms;
	for (uint32_t i = 0; i < w->count; i++) {
		struct t_instance *m = &w->instances[i];

		if (w->s.now_ms >= w->calm_since_ms + T_VOTERS_CATCH_UP_MS &&
		    w->s.now_ms >= m->whole_at_ms)
			m->disk_lost = false;
	}
}

/* It asks at all instances that it reaches. */
static void
ask_to_join (struct t_voters *w, uint32_t i)
{
	struct raft_member asks = {.id = w->instances[i].node->id}, about;

	instance_addr (w, &w->instances[i], asks.addr);
	for (uint32_t k = 0; k < w->count; k++) {
		struct t_instance *to = &w->instances[k];

		if (k == i || !is_running (to) || is_separated (w, i, k))
			continue;
		(void)voters_change (
			&to->node->raft,
			voters_join (&to->node->raft, &asks, &about), &about,
			NULL);
	}
}

static void
decide (struct t_voters *w)
{
	struct raft_member about;

	for (uint32_t i = 0; i < w->count; i++) {
		struct rsim_node *n = w->instances[i].node;
		struct raft *r = &n->raft;

		if (!is_running (&w->instances[i]))
			continue;
		if (r->role == RAFT_LEADER)
			(void)voters_change (
				r, voters_decide (r, rsim_clock (n), &about),
				&about, NULL);
		else if (r->leader == 0 ||
			 raft_config_find (&r->config, n->id) == NULL)
			ask_to_join (w, i);
	}
}

/* Whether the entry stands on the disk, or a snapshot that covers it. */
static bool
disk_holds (const struct disk *d, const struct t_call *c)
{
	const struct raft_entry *e;

	if (c->index <= d->base)
		return true;
	if (c->index - d->base > d->entries->len)
		return false;
	e = g_ptr_array_index (d->entries, c->index - d->base - 1);
	return e->term == c->term;
}

/* Whether the disk is there, or lost in a way that the leader can't know: the
 * instance is not back, or out of its reach. */
static bool
disk_counts (const struct rsim_node *n, const struct rsim_node *leader)
{
	const struct raft_peer *p = raft_peer (&leader->raft, n->id);

	return !n->lost || (p != NULL && !p->replaced);
}

static void
acknowledge (struct t_voters *w, const struct t_call *c)
{
	uint32_t copies = 0, left = 0;

	for (uint32_t i = 0; i < w->s.count; i++) {
		const struct rsim_node *n = &w->s.nodes[i];

		if (!disk_holds (&n->disk, c))
			continue;
		copies += disk_counts (n, c->leader);
		left += !n->lost;
	}
	if (copies < w->losses + 1 || left == 0)
		rsim_broke (&w->s, "acknowledged on too few disks");
	w->acked = MAX (w->acked, c->index);
	w->acks++;
}

static void
answer_calls (struct t_voters *w)
{
	for (guint i = w->calls->len; i > 0; i--) {
		struct t_call c =
			g_array_index (w->calls, struct t_call, i - 1);
		struct raft *r = &c.leader->raft;
		bool leads = c.leader->up && r->role == RAFT_LEADER &&
			     r->term == c.term;

		if (leads &&
		    (r->applied < c.index ||
		     raft_copies (r, c.index) < raft_copies_needed (r)))
			continue;
		if (leads)
			acknowledge (w, &c);
		g_array_remove_index_fast (w->calls, i - 1);
	}
}

static void
propose (struct t_voters *w)
{
	struct rsim_node *l = rsim_leader (&w->s);
	struct t_call c = {.leader = l};

	if (l == NULL || !raft_propose (&l->raft, &w->steps, sizeof w->steps,
					&c.index, NULL))
		return;
	c.term = l->raft.term;
	g_array_append_val (w->calls, c);
}

void
t_voters_run (struct t_voters *w, uint32_t ms)
{
	uint64_t end_ms = w->s.now_ms + ms;

	while (w->s.now_ms < end_ms && w->s.broken == NULL) {
		for (uint32_t i = 0; i < w->count; i++) {
			struct t_instance *m = &w->instances[i];

			if (!m->gone && m->heal_at_ms != 0 &&
			    w->s.now_ms >= m->heal_at_ms)
				heal (w, m);
		}
		set_cuts (w);
		note_calm (w);
		if (w->steps % POLICY_STEPS == 0)
			decide (w);
		if (w->steps % CALL_STEPS == 0)
			propose (w);
		rsim_step (&w->s);
		answer_calls (w);
		w->steps++;
	}
}

bool
t_voters_recovers (struct t_voters *w, uint32_t ms)
{
	struct rsim_node *l;

	w->split_until_ms = 0;
	for (uint32_t i = 0; i < w->count; i++) {
		if (!w->instances[i].gone && w->instances[i].heal_at_ms != 0)
			heal (w, &w->instances[i]);
	}
	t_voters_run (w, ms);
	l = rsim_leader (&w->s);
	return l != NULL && l->raft.commit >= l->raft.term_start &&
	       l->raft.applied >= w->acked &&
	       rsim_clock (l) < raft_lease_until (&l->raft);
}

uint32_t
t_voters_count (struct t_voters *w)
{
	const struct rsim_node *l = rsim_leader (&w->s);

	return l != NULL ? raft_config_voters (&l->raft.config) : 0;
}
