/*
 * A group whose members come and go keeps what it acknowledged, on enough disks
 * at any moment, and has a leader again once no more disks are lost than may
 * be. DH_SOAK=1 runs more schedules, DH_SEED=n one.
 */
#include <stdio.h>
#include <stdlib.h>

#include "t_run.h"
#include "t_voters.h"

#define SCHEDULES 120
#define SOAK_SCHEDULES 6000
#define SEEDS 12
#define RECOVERY_MS 12000

#define SETTLE_MS 4200 /* a new instance has caught up */

static void
expect_recovery (struct t_voters *w, uint32_t seed, const char *play)
{
	bool ok = t_voters_recovers (w, RECOVERY_MS);

	if (!ok || w->s.broken != NULL)
		printf ("%s, seed %u: %s\n", play, seed,
			w->s.broken != NULL ? w->s.broken : "no recovery");
	CU_ASSERT (ok);
	CU_ASSERT_PTR_NULL (w->s.broken);
	t_voters_finish (w);
}

static void
add_two (struct t_voters *w)
{
	t_voters_run (w, 2000);
	for (int i = 0; i < 2; i++) {
		t_voters_add (w);
		t_voters_run (w, SETTLE_MS);
	}
}

/* Review case 11: two were added and two of the old ones stopped for good,
 * which stayed voters, so that the next lost disk left two of five. */
static void
test_two_replaced (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;

		t_voters_init (&w, seed, 3, 1);
		add_two (&w);
		t_voters_remove (&w, &w.instances[0]);
		t_voters_run (&w, seed % 2 == 0 ? 6000 : 100);
		t_voters_remove (&w, &w.instances[1]);
		t_voters_run (&w, 6000);
		CU_ASSERT_EQUAL (t_voters_count (&w), 3);
		t_voters_kill (&w, &w.instances[4], 1000, true);
		expect_recovery (&w, seed, "two replaced");
	}
}

/* The same, with power lost everywhere in between. */
static void
test_two_replaced_power_loss (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;

		t_voters_init (&w, seed, 3, 1);
		add_two (&w);
		t_voters_remove (&w, &w.instances[0]);
		t_voters_run (&w, SETTLE_MS);
		t_voters_remove (&w, &w.instances[1]);
		t_voters_power_loss (&w, 500);
		t_voters_run (&w, 500 + T_VOTERS_CATCH_UP_MS);
		t_voters_kill (&w, &w.instances[2], 1000, true);
		expect_recovery (&w, seed, "power lost");
	}
}

/* Review case 13: a member is cut off while the others are replaced, comes back
 * into a group that it doesn't know, and one of the new ones loses its disk. */
static void
test_cut_off_while_replaced (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;

		t_voters_init (&w, seed, 3, 1);
		t_voters_run (&w, 2000);
		t_voters_cut (&w, &w.instances[2], 11000);
		t_voters_add (&w);
		t_voters_run (&w, SETTLE_MS);
		t_voters_remove (&w, &w.instances[0]);
		t_voters_run (&w, 2300);
		t_voters_add (&w);
		t_voters_run (&w, SETTLE_MS);
		t_voters_remove (&w, &w.instances[1]);
		t_voters_run (&w, 9000);
		CU_ASSERT_EQUAL (t_voters_count (&w), 3);
		t_voters_kill (&w, &w.instances[3], 1000, true);
		expect_recovery (&w, seed, "cut off");
	}
}

/* An instance is stopped for good, and another one loses its disk before the
 * silence of the first was noticed: no majority of an even number is left, and
 * no leader to remove anybody. */
static void
test_disk_lost_at_removal (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;
		uint32_t losses = 1 + seed % 2;

		t_voters_init (&w, seed, 2 * losses + 1, losses);
		t_voters_run (&w, 2000);
		t_voters_add (&w);
		t_voters_run (&w, SETTLE_MS);
		t_voters_remove (&w, &w.instances[0]);
		t_voters_run (&w, seed * 20);
		for (uint32_t i = 1; i <= losses; i++)
			t_voters_kill (&w, &w.instances[i], 1000, true);
		expect_recovery (&w, seed, "disk lost at removal");
	}
}

/* An entry that stands on the leader and on a disk that is lost now is on one
 * disk, though half of four voters had it. */
static void
test_lost_copy (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;
		struct rsim_node *l;
		uint64_t index = 0;
		uint32_t at;

		t_voters_init (&w, seed, 4, 1);
		t_voters_run (&w, 2000);
		l = rsim_calm_leader (&w.s);
		at = (uint32_t)(l - w.s.nodes);
		t_voters_cut (&w, &w.instances[(at + 2) % 4], 3000);
		t_voters_cut (&w, &w.instances[(at + 3) % 4], 3000);
		CU_ASSERT (
			raft_propose (&l->raft, &at, sizeof at, &index, NULL));
		t_voters_run (&w, 60);
		t_voters_kill (&w, &w.instances[(at + 1) % 4], 20, true);
		t_voters_run (&w, 150);
		CU_ASSERT (l->raft.commit < index);
		expect_recovery (&w, seed, "lost copy");
	}
}

/* A leader for voters_decide() alone: members with ids from 1 on, itself the
 * first one, all in touch at 10 s and current. */
static void
quiet_leader (struct raft *r, uint32_t members)
{
	*r = (struct raft){.id = 1,
			   .role = RAFT_LEADER,
			   .times = rsim_times,
			   .limits.disk_losses = 1,
			   .commit = 50,
			   .config.count = members,
			   .peer_count = members - 1};
	for (uint32_t i = 0; i < members; i++)
		r->config.members[i] =
			(struct raft_member){.id = i + 1, .voter = true};
	for (uint32_t i = 0; i + 1 < members; i++)
		r->peers[i] = (struct raft_peer){
			.id = i + 2, .match = 50, .acked_ms = 10000};
}

/* A voter is removed only while a quorum of the others holds all that is
 * committed, and only after a silence that this leader saw. */
static void
test_decisions (void)
{
	struct raft r;
	struct raft_member m;

	quiet_leader (&r, 4);
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_KEEP);
	r.peers[2].acked_ms = 7900;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_DROP);
	CU_ASSERT_EQUAL (m.id, 4);
	r.peers[2].since_ms = 8100;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_KEEP);
	r.peers[2].since_ms = 0;
	r.peers[0].match = r.peers[1].match = 49;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_KEEP);
	r.peers[0].match = 50;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_DROP);
	r.limits.disk_losses = 2;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_KEEP);
	r.config.members[2].voter = false;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_KEEP);
	r.peers[1].match = 50;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_PROMOTE);
	CU_ASSERT_EQUAL (m.id, 3);
	r.peers[1].acked_ms = 1900;
	CU_ASSERT_EQUAL (voters_decide (&r, 10000, &m), VOTERS_FORGET);
}

/* Where two disks may be lost at once, five voters stay five while two are cut
 * off: of three, two would acknowledge alone. */
static void
test_enough_disks (void)
{
	for (uint32_t seed = 0; seed < SEEDS; seed++) {
		struct t_voters w;

		t_voters_init (&w, seed, 5, 2);
		t_voters_run (&w, 2000);
		t_voters_cut (&w, &w.instances[3], 10000);
		t_voters_cut (&w, &w.instances[4], 10000);
		t_voters_run (&w, 9000);
		CU_ASSERT_EQUAL (t_voters_count (&w), 5);
		t_voters_kill (&w, &w.instances[0], 1000, true);
		t_voters_kill (&w, &w.instances[1], 1000, true);
		expect_recovery (&w, seed, "two of five cut off");
	}
}

/* Seven voters, two disks: those that are gone are removed, down to five. */
static void
test_seven (void)
{
	struct t_voters w;

	t_voters_init (&w, 3, 7, 2);
	t_voters_run (&w, 2000);
	for (uint32_t i = 0; i < 3; i++) {
		t_voters_remove (&w, &w.instances[i]);
		t_voters_run (&w, 4000);
		CU_ASSERT_EQUAL (t_voters_count (&w), i < 2 ? 6 - i : 5);
	}
	expect_recovery (&w, 3, "seven");
}

/* Three founders where two disks may be lost: a majority is too few disks for
 * an acknowledgement until others have joined. */
static void
test_first_start (void)
{
	struct t_voters w;
	uint64_t acks;

	t_voters_init (&w, 5, 3, 2);
	t_voters_cut (&w, &w.instances[2], 60000);
	t_voters_run (&w, 6000);
	CU_ASSERT (w.acks == 0 && t_voters_count (&w) == 3);
	t_voters_add (&w);
	t_voters_run (&w, SETTLE_MS);
	acks = w.acks;
	CU_ASSERT (acks > 0 && t_voters_count (&w) == 4);
	t_voters_add (&w);
	t_voters_run (&w, SETTLE_MS);
	CU_ASSERT (w.acks > acks && t_voters_count (&w) == 5);
	expect_recovery (&w, 5, "first start");
}

/* A learner that never answered must not keep its place for good. */
static void
test_silent_learner (void)
{
	struct t_voters w;
	struct t_instance *m;
	struct rsim_node *l;

	t_voters_init (&w, 7, 3, 1);
	t_voters_run (&w, 2000);
	l = rsim_calm_leader (&w.s);
	m = t_voters_add (&w);
	for (int i = 0; i < 100 && l->raft.config.count == 3; i++)
		t_voters_run (&w, RSIM_STEP_MS);
	CU_ASSERT_EQUAL (l->raft.config.count, 4);
	t_voters_remove (&w, m);
	t_voters_run (&w, 10000);
	CU_ASSERT_EQUAL (l->raft.config.count, 3);
	expect_recovery (&w, 7, "silent learner");
}

static uint32_t
pick (struct t_voters *w, uint32_t from, uint32_t to)
{
	return (uint32_t)g_rand_int_range (w->s.rand, (gint32)from,
					   (gint32)to + 1);
}

struct tally {
	uint32_t live; /* not gone */
	uint32_t lost; /* of them */
	uint32_t disks;
};

static struct tally
count (const struct t_voters *w)
{
	struct tally t = {0};

	for (uint32_t i = 0; i < w->count; i++) {
		const struct t_instance *m = &w->instances[i];

		if (m->gone)
			continue;
		t.live++;
		t.lost += w->s.now_ms < m->whole_at_ms;
		t.disks += m->disk_lost;
	}
	return t;
}

/*
 * An instance is removed only once its successor has caught up, with no more
 * lost beside it than may be.  Where one is, the disk that goes with the
 * removed instance may be the only one beside a disk that is lost now, so no
 * disk is lost until all are back.
 */
static bool
remove_one (struct t_voters *w, struct t_instance *m, uint32_t members,
	    uint64_t *no_loss_until_ms)
{
	struct tally t = count (w);
	uint32_t others = t.lost - (w->s.now_ms < m->whole_at_ms);

	if (t.live <= members || others > w->losses || t.disks > 0 ||
	    w->s.now_ms < w->split_until_ms)
		return false;
	if (others > 0 || t.lost > 0)
		*no_loss_until_ms = UINT64_MAX;
	t_voters_remove (w, m);
	return true;
}

static void
disturb (struct t_voters *w, uint32_t members, uint64_t *no_loss_until_ms,
	 uint64_t *next_change_ms)
{
	struct t_instance *m = &w->instances[pick (w, 0, w->count - 1)];
	struct tally t = count (w);
	uint64_t now_ms = w->s.now_ms;

	if (*no_loss_until_ms == UINT64_MAX && t.lost == 0)
		*no_loss_until_ms = 0;
	if (m->gone || m->heal_at_ms != 0)
		return;
	switch (pick (w, 0, 8)) {
	case 0:
		t_voters_cut (w, m, pick (w, 300, 12000));
		break;
	case 1:
		t_voters_freeze (w, m, pick (w, 200, 3500));
		break;
	case 2:
		t_voters_kill (w, m, pick (w, 100, 1000), false);
		break;
	case 3:
		w->split_until_ms = now_ms + pick (w, 300, 4000);
		break;
	case 4:
		t_voters_power_loss (w, pick (w, 100, 1000));
		break;
	case 5:
		if (now_ms >= *next_change_ms && t.live < members + 3 &&
		    t_voters_add (w) != NULL)
			*next_change_ms = now_ms + SETTLE_MS;
		break;
	case 6:
		if (now_ms >= *next_change_ms &&
		    remove_one (w, m, members, no_loss_until_ms))
			*next_change_ms = now_ms + SETTLE_MS;
		break;
	default:
		if (t.disks < w->losses && now_ms >= *no_loss_until_ms &&
		    w->s.count < RSIM_NODES_MAX)
			t_voters_kill (w, m, pick (w, 300, 1000), true);
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
	uint64_t acks = 0;

	for (uint32_t seed = from; seed < to; seed++) {
		struct t_voters w;
		uint32_t losses = 1 + seed % 2;
		uint32_t members = 2 * losses + 1 + seed / 2 % 2;
		uint64_t no_loss_until_ms = 0, next_change_ms = 0;

		t_voters_init (&w, seed, members, losses);
		t_voters_run (&w, 2000);
		for (uint32_t i = 0; i < 300; i++) {
			if (g_rand_double (w.s.rand) < 0.1)
				disturb (&w, members, &no_loss_until_ms,
					 &next_change_ms);
			t_voters_run (&w, 100);
		}
		acks += w.acks;
		expect_recovery (&w, seed, "schedule");
	}
	printf ("%u schedules: %" G_GUINT64_FORMAT " acknowledged\n", to - from,
		acks);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"two replaced", test_two_replaced},
		{"two replaced, power lost", test_two_replaced_power_loss},
		{"cut off while replaced", test_cut_off_while_replaced},
		{"disk lost at a removal", test_disk_lost_at_removal},
		{"lost copy", test_lost_copy},
		{"decisions", test_decisions},
		{"enough disks", test_enough_disks},
		{"seven", test_seven},
		{"first start", test_first_start},
		{"silent learner", test_silent_learner},
		{"seeded schedules", test_schedules},
		{NULL, NULL}};

	return t_run ("voters", cases);
}
