/*
 * The election after a restart of all members: a leader is there within a few
 * round trips, and never while the lease of an earlier one may last.
 * DH_SOAK=1 runs more schedules, DH_SEED=n one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t_raft.h"
#include "t_run.h"

#define SCHEDULES 600
#define SOAK_SCHEDULES 20000

static void
steps (struct rsim *s, uint32_t ms)
{
	for (uint32_t i = 0; i < ms / RSIM_STEP_MS; i++)
		rsim_step (s);
}

/* Ends all members that run, with the connections between them, and starts
 * those that still have their disk. */
static void
restart_all (struct rsim *s)
{
	for (guint i = 0; i < s->flights->len; i++)
		free (g_array_index (s->flights, struct flight, i).data);
	g_array_set_size (s->flights, 0);
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->nodes[i].up)
			rsim_crash (&s->nodes[i]);
	}
	for (uint32_t i = 0; i < s->count; i++) {
		if (!s->nodes[i].lost)
			rsim_start (&s->nodes[i]);
	}
}

/* What a member learns from the new identities at the addresses of those that
 * lost their disks. */
static void
note_replaced (struct rsim *s)
{
	for (uint32_t i = 0; i < s->count; i++) {
		for (uint32_t k = 0; k < s->count; k++) {
			if (s->nodes[i].up && s->nodes[k].lost)
				raft_note_replaced (&s->nodes[i].raft,
						    s->nodes[k].id);
		}
	}
}

static struct rsim_node *
busy_group (struct rsim *s, uint32_t seed, uint32_t members)
{
	struct rsim_node *l;
	uint64_t index;

	rsim_init_calm (s, seed, members);
	s->delay_ms = 6;
	l = rsim_calm_leader (s);
	for (uint32_t i = 0; i < 20; i++) {
		(void)raft_propose (&l->raft, &i, sizeof i, &index, NULL);
		rsim_step (s);
	}
	return l;
}

/* All members end and start at once: a leader is there before an election
 * timeout has passed, with all that was committed. */
static void
test_all_restart (void)
{
	for (uint32_t seed = 0; seed < 50; seed++) {
		struct rsim s;
		struct rsim_node *l;
		guint committed;

		(void)busy_group (&s, seed, seed % 2 == 0 ? 3 : 5);
		committed = s.committed->len;
		restart_all (&s);
		steps (&s, rsim_times.election_ms / 2);
		l = rsim_leader (&s);
		CU_ASSERT (l != NULL && l->raft.applied >= committed);
		CU_ASSERT_PTR_NULL (s.broken);
		rsim_finish (&s);
	}
}

/* Two of five lost their disks: the others wait for their replies until the new
 * identities are known. */
static void
test_lost_disks (void)
{
	for (uint32_t seed = 0; seed < 50; seed++) {
		struct rsim s;

		(void)busy_group (&s, seed, 5);
		s.nodes[seed % 5].lost = s.nodes[(seed + 2) % 5].lost = true;
		restart_all (&s);
		steps (&s, rsim_times.election_ms / 2);
		CU_ASSERT_PTR_NULL (rsim_leader (&s));
		note_replaced (&s);
		steps (&s, rsim_times.election_ms / 2);
		CU_ASSERT_PTR_NOT_NULL (rsim_leader (&s));
		CU_ASSERT_PTR_NULL (s.broken);
		rsim_finish (&s);
	}
}

/* The leader is cut off and all others restart: none leads within its lease.
 * One that restarts while a leader is in touch changes nothing. */
static void
test_leader_lives (void)
{
	for (uint32_t seed = 0; seed < 200; seed++) {
		struct rsim s;
		struct rsim_node *l = busy_group (&s, seed, 5);
		uint64_t term = l->raft.term;

		rsim_crash (&s.nodes[(l - s.nodes + 1) % 5]);
		rsim_start (&s.nodes[(l - s.nodes + 1) % 5]);
		steps (&s, rsim_times.election_ms);
		CU_ASSERT_EQUAL (l->raft.term, term);
		for (uint32_t i = 0; i < 5; i++)
			s.cut[l - s.nodes][i] = s.cut[i][l - s.nodes] = true;
		for (uint32_t i = 0; i < 5; i++) {
			if (&s.nodes[i] == l)
				continue;
			rsim_crash (&s.nodes[i]);
			rsim_start (&s.nodes[i]);
		}
		steps (&s, 4 * rsim_times.election_ms);
		CU_ASSERT (rsim_leader (&s) != NULL && rsim_leader (&s) != l);
		CU_ASSERT_PTR_NULL (s.broken);
		rsim_finish (&s);
	}
}

/* A member that has just started, of a group of three. */
static struct rsim_node *
started_member (struct rsim *s)
{
	rsim_init_calm (s, 1, 3);
	return &s->nodes[0];
}

/* Asks @n for a vote that names an incarnation; whether it was granted. */
static bool
ask_vote (struct rsim_node *n, uint64_t incarnation)
{
	struct raft_msg m = {.kind = RAFT_MSG_VOTE,
			     .from = 2,
			     .to = n->id,
			     .term = n->raft.term + 1,
			     .index = 99,
			     .log_term = 98,
			     .incarnation = incarnation};

	raft_step (&n->raft, &m, rsim_clock (n));
	return n->raft.vote == 2 && n->raft.term == m.term;
}

/* The reply of a member is valid for the start in which it was sent, and until
 * the member hears a leader. */
static void
test_reply_expires (void)
{
	struct raft_msg heartbeat = {
		.kind = RAFT_MSG_APPEND, .from = 3, .to = 1, .term = 7};
	struct rsim s;
	struct rsim_node *n = started_member (&s);
	uint64_t before = n->raft.incarnation;

	rsim_crash (n);
	rsim_start (n);
	CU_ASSERT (before != 0 && n->raft.incarnation != before);
	CU_ASSERT (!ask_vote (n, before) && !ask_vote (n, 0));
	CU_ASSERT (ask_vote (n, n->raft.incarnation));
	rsim_crash (n);
	rsim_start (n);
	before = n->raft.incarnation;
	raft_step (&n->raft, &heartbeat, rsim_clock (n));
	CU_ASSERT_EQUAL (n->raft.leader, 3);
	CU_ASSERT (!ask_vote (n, before) && !ask_vote (n, 0));
	rsim_finish (&s);
}

/* Restarts of all, of most and of single members, one upon the other, beside
 * cuts, frozen members and members that lose their disks. */
static void
restart_some (struct rsim *s)
{
	double share = g_rand_double (s->rand) < 0.5 ? 1 : 0.7;

	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (!n->up || g_rand_double (s->rand) > share)
			continue;
		rsim_crash (n);
		if (g_rand_double (s->rand) < 0.9)
			rsim_start (n);
	}
	if (g_rand_double (s->rand) < 0.3)
		note_replaced (s);
}

static void
disturb (struct rsim *s)
{
	uint32_t a = (uint32_t)g_rand_int_range (s->rand, 0, (gint32)s->count);
	uint32_t b = (uint32_t)g_rand_int_range (s->rand, 0, (gint32)s->count);

	switch (g_rand_int_range (s->rand, 0, 4)) {
	case 0:
		s->cut[a][b] = true;
		break;
	case 1:
		for (b = 0; b < s->count; b++)
			s->cut[a][b] = s->cut[b][a] = true;
		break;
	case 2:
		s->nodes[a].frozen = true;
		break;
	default:
		for (a = 0; a < s->count; a++) {
			s->nodes[a].frozen = false;
			memset (s->cut[a], 0, sizeof s->cut[a]);
			if (!s->nodes[a].up && !s->nodes[a].lost)
				rsim_start (&s->nodes[a]);
		}
	}
}

static void
test_schedules (void)
{
	const char *one = getenv ("DH_SEED");
	uint32_t from = one != NULL ? (uint32_t)atoi (one) : 0;
	uint32_t to = one != NULL                  ? from + 1
		      : getenv ("DH_SOAK") != NULL ? SOAK_SCHEDULES
						   : SCHEDULES;
	uint64_t leaders = 0;

	for (uint32_t seed = from; seed < to; seed++) {
		struct rsim s;

		rsim_init (&s, seed, seed % 2 == 0 ? 3 : 5);
		/* One disk in five may be lost without losing entries. */
		if (seed % 4 == 1) {
			steps (&s, 1500);
			rsim_crash (&s.nodes[seed % 5]);
			s.nodes[seed % 5].lost = true;
		}
		for (uint32_t i = 0; i < 900 && s.broken == NULL; i++) {
			if (g_rand_double (s.rand) < 0.015)
				restart_some (&s);
			if (g_rand_double (s.rand) < 0.02)
				disturb (&s);
			rsim_step (&s);
		}
		if (s.broken != NULL) {
			printf ("seed %u at %" G_GUINT64_FORMAT " ms: %s\n",
				seed, s.now_ms, s.broken);
			CU_FAIL ("a promise was broken");
		}
		leaders += g_hash_table_size (s.leaders);
		rsim_finish (&s);
	}
	printf ("%u schedules: %" G_GUINT64_FORMAT " leaders\n", to - from,
		leaders);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"all restart", test_all_restart},
		{"lost disks", test_lost_disks},
		{"a leader lives", test_leader_lives},
		{"a reply expires", test_reply_expires},
		{"seeded schedules", test_schedules},
		{NULL, NULL}};

	return t_run ("raft_restart", cases);
}
