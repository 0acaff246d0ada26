/*
 * The replicated log's core under thousands of seeded schedules: loss, delay,
 * duplication, reordering, cuts, crashes with restart from what was durable,
 * frozen members, lost disks and membership changes, with clocks that drift.
 * DH_SOAK=1 runs more of them, DH_SEED=n one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t_raft.h"
#include "t_run.h"

#define SCHEDULES 1200
#define SOAK_SCHEDULES 40000

/* An operator's next step towards a group without members of lost disks. */
static void
repair (struct rsim *s)
{
	struct rsim_node *l = rsim_leader (s);
	struct raft_config *c;

	if (l == NULL)
		return;
	c = &l->raft.config;
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];
		struct raft_member *m = raft_config_find (c, n->id);
		struct raft_member add = {.id = n->id};

		if (n->lost && m != NULL) {
			/* Its replacement votes first. */
			if (raft_config_voters (c) % 2 == 0)
				(void)raft_remove (&l->raft, n->id, NULL);
		} else if (!n->lost && m == NULL) {
			(void)raft_add (&l->raft, &add, NULL);
		} else if (!n->lost && !m->voter) {
			(void)raft_promote (&l->raft, n->id, NULL);
		}
	}
}

/* Whether every voter of a committed configuration still has its disk. */
static bool
whole (struct rsim *s)
{
	struct rsim_node *l = rsim_leader (s);
	struct raft_config *c;

	if (l == NULL || l->raft.config_index > l->raft.commit ||
	    l->raft.commit < l->raft.term_start)
		return false;
	c = &l->raft.config;
	for (uint32_t i = 0; i < s->count; i++) {
		struct raft_member *m = raft_config_find (c, s->nodes[i].id);

		if (s->nodes[i].lost ? m != NULL : m == NULL || !m->voter)
			return false;
	}
	return true;
}

/* A disk is lost only in a whole group: two at once may lose anything. */
static void
lose_disk (struct rsim *s, struct rsim_node *n)
{
	struct rsim_node *fresh;

	if (!s->may_lose || n->lost || s->count == RSIM_NODES_MAX || !whole (s))
		return;
	if (n->up)
		rsim_crash (n);
	n->lost = true;
	fresh = rsim_add (s);
	rsim_start (fresh);
	s->repaired++;
}

static void
fault (struct rsim *s)
{
	struct rsim_node *n =
		&s->nodes[g_rand_int_range (s->rand, 0, (gint32)s->count)];
	uint32_t other =
		(uint32_t)g_rand_int_range (s->rand, 0, (gint32)s->count);
	uint32_t self = (uint32_t)(n - s->nodes);

	switch (g_rand_int_range (s->rand, 0, 10)) {
	case 0:
	case 1:
		if (n->up)
			rsim_crash (n);
		break;
	case 2:
		n->frozen = true;
		break;
	case 3:
		s->cut[self][other] = true;
		break;
	case 4:
		s->cut[self][other] = s->cut[other][self] = true;
		break;
	case 5:
		lose_disk (s, n);
		break;
	case 6:
		if (rsim_leader (s) != NULL)
			(void)raft_transfer (&rsim_leader (s)->raft, 0, NULL);
		break;
	case 7:
	case 8:
		/* A crash with an immediate restart. */
		if (n->up) {
			rsim_crash (n);
			rsim_start (n);
		}
		break;
	default:
		n = rsim_leader (s);
		if (n != NULL)
			rsim_crash (n);
	}
}

static void
mend (struct rsim *s, bool all)
{
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (!all && g_rand_double (s->rand) < 0.6)
			continue;
		n->frozen = false;
		if (!n->up && !n->lost)
			rsim_start (n);
		memset (s->cut[i], 0, sizeof s->cut[i]);
	}
}

static void
propose (struct rsim *s)
{
	uint8_t data[8] = {0};
	uint64_t index;

	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];
		uint32_t v = g_rand_int (s->rand);

		memcpy (data, &v, sizeof v);
		if (n->up && !n->frozen && n->raft.role == RAFT_LEADER)
			(void)raft_propose (&n->raft, data,
					    v % 8 == 0 ? sizeof data : sizeof v,
					    &index, NULL);
	}
}

static bool
settled (struct rsim *s)
{
	struct rsim_node *l = rsim_leader (s);

	if (l == NULL || !whole (s))
		return false;
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (!n->lost && n->raft.applied != s->committed->len)
			return false;
	}
	return l->raft.commit == s->committed->len;
}

static void
sim_run (struct rsim *s)
{
	for (uint32_t i = 0; i < 900 && s->broken == NULL; i++) {
		if (g_rand_double (s->rand) < 0.3)
			propose (s);
		if (g_rand_double (s->rand) < 0.025)
			fault (s);
		if (g_rand_double (s->rand) < 0.02)
			mend (s, false);
		if (g_rand_double (s->rand) < 0.1)
			repair (s);
		rsim_step (s);
	}
	/* Everything heals: the group must come to one mind again. */
	s->loss = 0;
	s->delay_ms = 15;
	mend (s, true);
	for (uint32_t i = 0; i < 3000 && s->broken == NULL; i++) {
		if (i % 10 == 0)
			repair (s);
		rsim_step (s);
		if (i > 50 && settled (s))
			return;
	}
	rsim_broke (s, "the group did not settle");
}

static void
test_schedules (void)
{
	bool soak = getenv ("DH_SOAK") != NULL;
	const char *one = getenv ("DH_SEED");
	uint32_t from = one != NULL ? (uint32_t)atoi (one) : 0;
	uint32_t to = one != NULL ? from + 1
		      : soak      ? SOAK_SCHEDULES
				  : SCHEDULES;
	uint64_t entries = 0;
	uint64_t terms = 0;
	uint64_t repairs = 0;

	for (uint32_t seed = from; seed < to; seed++) {
		struct rsim s;

		rsim_init (&s, seed, seed % 2 == 0 ? 3 : 5);
		sim_run (&s);
		if (s.broken != NULL) {
			printf ("seed %u at %" G_GUINT64_FORMAT " ms: %s\n",
				seed, s.now_ms, s.broken);
			CU_FAIL ("a promise was broken");
		}
		entries += s.committed->len;
		terms += g_hash_table_size (s.leaders);
		repairs += s.repaired;
		rsim_finish (&s);
	}
	printf ("%u schedules: %" G_GUINT64_FORMAT
		" entries, %" G_GUINT64_FORMAT " leaders, %" G_GUINT64_FORMAT
		" lost disks\n",
		to - from, entries, terms, repairs);
}

static void
test_new_id_is_passive (void)
{
	struct rsim s;
	struct rsim_node *n;

	rsim_init_calm (&s, 1, 3);
	(void)rsim_calm_leader (&s);
	n = rsim_add (&s);
	rsim_start (n);
	for (int i = 0; i < 300; i++)
		rsim_step (&s);
	CU_ASSERT_EQUAL (n->raft.term, 0);
	CU_ASSERT_EQUAL (n->raft.role, RAFT_LEARNER);
	/* Asked for a vote it stays silent. */
	for (int k = RAFT_MSG_PRE_VOTE; k <= RAFT_MSG_VOTE; k++) {
		struct raft_msg m = {.kind = (uint8_t)k,
				     .from = 1,
				     .to = n->id,
				     .term = 99,
				     .index = 99,
				     .log_term = 98};
		guint before = s.flights->len;

		raft_step (&n->raft, &m, rsim_clock (n));
		CU_ASSERT_EQUAL (s.flights->len, before);
		CU_ASSERT_EQUAL (n->raft.vote, 0);
	}
	rsim_finish (&s);
}

static void
test_one_change_at_a_time (void)
{
	struct rsim s;
	struct rsim_node *l;
	struct raft_member m = {.id = 40};
	struct raft_member k = {.id = 41};
	struct err e;

	rsim_init_calm (&s, 2, 3);
	while (rsim_leader (&s) == NULL)
		rsim_step (&s);
	/* Nothing of its term is committed yet. */
	CU_ASSERT_FALSE (raft_add (&rsim_leader (&s)->raft, &m, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_CONFLICT);
	l = rsim_calm_leader (&s);
	CU_ASSERT (raft_add (&l->raft, &m, &e));
	CU_ASSERT_FALSE (raft_add (&l->raft, &k, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_CONFLICT);
	for (int i = 0; i < 30; i++)
		rsim_step (&s);
	CU_ASSERT (raft_add (&l->raft, &k, &e));
	for (int i = 0; i < 30; i++)
		rsim_step (&s);
	/* A learner that never answered cannot be promoted. */
	CU_ASSERT_FALSE (raft_promote (&l->raft, 40, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_CONFLICT);
	rsim_finish (&s);
}

static void
test_removed_leader_steps_down (void)
{
	struct rsim s;
	struct rsim_node *l;
	struct rsim_node *next;

	rsim_init_calm (&s, 3, 3);
	l = rsim_calm_leader (&s);
	CU_ASSERT (raft_remove (&l->raft, l->id, NULL));
	for (int i = 0; i < 100; i++)
		rsim_step (&s);
	next = rsim_leader (&s);
	CU_ASSERT_PTR_NOT_NULL_FATAL (next);
	CU_ASSERT (next != l);
	CU_ASSERT_EQUAL (l->raft.role, RAFT_LEARNER);
	CU_ASSERT_EQUAL (raft_config_voters (&next->raft.config), 2);
	rsim_finish (&s);
}

static void
test_cut_leader_gives_up (void)
{
	struct rsim s;
	struct rsim_node *l;
	uint64_t index;
	uint64_t since;

	rsim_init_calm (&s, 4, 3);
	l = rsim_calm_leader (&s);
	for (uint32_t i = 0; i < 3; i++) {
		s.cut[l - s.nodes][i] = true;
		s.cut[i][l - s.nodes] = true;
	}
	for (int i = 0; i < 6; i++)
		rsim_step (&s);
	since = rsim_clock (l);
	CU_ASSERT (raft_propose (&l->raft, "x", 1, &index, NULL));
	for (int i = 0; i < 60; i++)
		rsim_step (&s);
	CU_ASSERT_NOT_EQUAL (l->raft.role, RAFT_LEADER);
	CU_ASSERT (l->raft.commit < index);
	CU_ASSERT_FALSE (raft_read_ready (&l->raft, 0, since, rsim_clock (l)));
	rsim_finish (&s);
}

static void
test_transfer_is_quick (void)
{
	struct rsim s;
	struct rsim_node *l;
	struct rsim_node *next = NULL;
	uint64_t asked;

	rsim_init_calm (&s, 5, 5);
	l = rsim_calm_leader (&s);
	asked = s.now_ms;
	CU_ASSERT (raft_transfer (&l->raft, 0, NULL));
	CU_ASSERT_EQUAL (raft_lease_until (&l->raft), 0);
	while (next == NULL || next == l) {
		rsim_step (&s);
		next = rsim_leader (&s);
	}
	/* Without waiting for an election timeout. */
	CU_ASSERT (s.now_ms - asked < rsim_times.election_ms);
	rsim_finish (&s);
}

/* Two members alone, driven message by message: member 1 of a group of three
 * holding entries up to @last, all of term 1. */
static struct rsim_node *
lone_member (struct rsim *s, uint64_t last)
{
	struct rsim_node *n;

	rsim_init_calm (s, 6, 3);
	n = &s->nodes[0];
	rsim_crash (n);
	for (uint64_t i = 2; i <= last; i++) {
		struct raft_entry e = {
			.index = i, .term = 1, .kind = RAFT_ENTRY_COMMAND};

		g_ptr_array_add (n->disk.entries, rsim_entry_copy (&e));
	}
	rsim_start (n);
	s->now_ms += 10000;
	raft_tick (&n->raft, rsim_clock (n) - rsim_times.election_ms * 3);
	return n;
}

static void
tell (struct rsim_node *n, struct raft_msg m)
{
	m.to = n->id;
	raft_step (&n->raft, &m, rsim_clock (n));
	raft_flush (&n->raft, rsim_clock (n));
}

static void
test_vote_outlasts_restart (void)
{
	struct rsim s;
	struct rsim_node *n = lone_member (&s, 1);
	struct raft_msg m = {.kind = RAFT_MSG_VOTE,
			     .from = 2,
			     .term = 5,
			     .index = 9,
			     .log_term = 4};

	tell (n, m);
	CU_ASSERT_EQUAL (n->raft.vote, 2);
	rsim_crash (n);
	rsim_start (n);
	s.now_ms += 10000;
	m.from = 3;
	tell (n, m);
	CU_ASSERT_EQUAL (n->raft.vote, 2);
	CU_ASSERT_EQUAL (n->raft.term, 5);
	rsim_finish (&s);
}

static void
test_old_term_is_not_counted (void)
{
	struct rsim s;
	struct rsim_node *n = lone_member (&s, 5);
	struct raft_msg m = {
		.kind = RAFT_MSG_PRE_VOTE_REPLY, .from = 2, .ok = true};

	raft_tick (&n->raft, rsim_clock (n));
	m.term = n->raft.term + 1;
	tell (n, m);
	m.kind = RAFT_MSG_VOTE_REPLY;
	tell (n, m);
	CU_ASSERT_EQUAL_FATAL (n->raft.role, RAFT_LEADER);
	m.kind = RAFT_MSG_APPEND_REPLY;
	m.index = 5;
	tell (n, m);
	CU_ASSERT_EQUAL (n->raft.commit, 1);
	m.index = 6;
	s.committed->len = 1;
	tell (n, m);
	CU_ASSERT_EQUAL (n->raft.commit, 6);
	rsim_finish (&s);
}

static void
test_snapshot_keeps_later_entries (void)
{
	struct rsim s;
	struct rsim_node *n = lone_member (&s, 9);
	struct raft_msg m = {.kind = RAFT_MSG_SNAPSHOT,
			     .from = 2,
			     .term = 2,
			     .index = 5,
			     .log_term = 1,
			     .last = true};
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	raft_config_pack (&n->raft.config, &buf);
	m.config.data = (const uint8_t *)buf.data;
	m.config.len = (uint32_t)buf.size;
	m.chunk.data = (const uint8_t *)"12345678";
	m.chunk.len = 8;
	tell (n, m);
	msgpack_sbuffer_destroy (&buf);
	CU_ASSERT_EQUAL (n->raft.commit, 5);
	CU_ASSERT_EQUAL (n->raft.log.base + n->raft.log.entries->len, 9);
	rsim_finish (&s);
}

/* A follower that cannot answer gets a chunk again only after a while; the
 * leader keeps in touch by heartbeats meanwhile. */
static void
test_chunks_are_not_repeated (void)
{
	struct rsim s;
	struct rsim_node *l;
	struct rsim_node *away;
	uint64_t index;

	rsim_init_calm (&s, 7, 3);
	l = rsim_calm_leader (&s);
	away = &s.nodes[(l - s.nodes + 1) % 3];
	rsim_crash (away);
	for (int i = 0; i < 100; i++) {
		(void)raft_propose (&l->raft, "x", 1, &index, NULL);
		rsim_step (&s);
	}
	CU_ASSERT (l->raft.log.base > 1);
	rsim_start (away);
	s.chunks = 0;
	while (s.chunks == 0)
		rsim_step (&s);
	s.cut[away - s.nodes][l - s.nodes] = true;
	for (uint32_t ms = 0; ms < 2 * rsim_times.election_ms;
	     ms += RSIM_STEP_MS)
		rsim_step (&s);
	CU_ASSERT (s.chunks <= 4);
	CU_ASSERT (away->raft.contact_ms + rsim_times.election_ms >
		   rsim_clock (away));
	s.cut[away - s.nodes][l - s.nodes] = false;
	for (int i = 0; i < 300; i++)
		rsim_step (&s);
	CU_ASSERT_EQUAL (away->raft.applied, l->raft.applied);
	rsim_finish (&s);
}

/* One member is cut from the leader alone and keeps asking the third one,
 * which hears the leader, and at some moment restarts just before the leader
 * is cut off: neither may help to a new leader within the old one's lease. */
static void
test_voter_keeps_lease (void)
{
	for (uint32_t seed = 0; seed < 200; seed++) {
		struct rsim s;
		struct rsim_node *l;
		struct rsim_node *lone;
		struct rsim_node *third;

		rsim_init_calm (&s, seed, 3);
		s.delay_ms = 6;
		l = rsim_calm_leader (&s);
		lone = &s.nodes[(l - s.nodes + 1) % 3];
		third = &s.nodes[(l - s.nodes + 2) % 3];
		s.cut[l - s.nodes][lone - s.nodes] = true;
		s.cut[lone - s.nodes][l - s.nodes] = true;
		for (uint32_t i = 0; i < 100 + seed; i++)
			rsim_step (&s);
		CU_ASSERT_EQUAL (l->raft.role, RAFT_LEADER);
		rsim_crash (third);
		rsim_start (third);
		s.cut[l - s.nodes][third - s.nodes] = true;
		s.cut[third - s.nodes][l - s.nodes] = true;
		for (int i = 0; i < 200; i++)
			rsim_step (&s);
		if (s.broken != NULL) {
			printf ("seed %u: %s\n", seed, s.broken);
			CU_FAIL ("a promise was broken");
		}
		rsim_finish (&s);
	}
}

/* A leader with the slowest clock is cut off; the others have the fastest. */
static void
test_lease_under_drift (void)
{
	for (uint32_t seed = 0; seed < 200; seed++) {
		struct rsim s;
		struct rsim_node *l;

		rsim_init_calm (&s, seed, 3);
		s.delay_ms = 6;
		for (uint32_t i = 0; i < 3; i++) {
			rsim_crash (&s.nodes[i]);
			s.nodes[i].rate = i == 0 ? 0.935 : 1.065;
			rsim_start (&s.nodes[i]);
		}
		l = rsim_calm_leader (&s);
		if (l != &s.nodes[0])
			CU_ASSERT (raft_transfer (&l->raft, 1, NULL));
		for (int i = 0; i < 20; i++)
			rsim_step (&s);
		l = rsim_calm_leader (&s);
		CU_ASSERT_PTR_EQUAL (l, &s.nodes[0]);
		for (uint32_t i = 0; i < 3; i++)
			s.cut[l - s.nodes][i] = s.cut[i][l - s.nodes] = true;
		for (int i = 0; i < 200; i++)
			rsim_step (&s);
		if (s.broken != NULL) {
			printf ("seed %u: %s\n", seed, s.broken);
			CU_FAIL ("a promise was broken");
		}
		rsim_finish (&s);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"a new id neither votes nor stands", test_new_id_is_passive},
		{"one membership change at a time", test_one_change_at_a_time},
		{"a removed leader steps down", test_removed_leader_steps_down},
		{"a cut leader gives up", test_cut_leader_gives_up},
		{"a transfer is quick", test_transfer_is_quick},
		{"a vote outlasts a restart", test_vote_outlasts_restart},
		{"an old term is not counted", test_old_term_is_not_counted},
		{"a snapshot keeps later entries",
		 test_snapshot_keeps_later_entries},
		{"chunks are not repeated", test_chunks_are_not_repeated},
		{"a voter keeps the lease", test_voter_keeps_lease},
		{"the lease under drift", test_lease_under_drift},
		{"seeded schedules", test_schedules},
		{NULL, NULL},
	};

	return t_run ("raft", cases);
}
