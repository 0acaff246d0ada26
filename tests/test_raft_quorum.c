/*
 * How many voters, and which, are a quorum and hold an entry while some of them
 * have lost their disks, or few have joined yet.
 */
#include "t_raft.h"
#include "t_run.h"

#define NOW_MS 10000

/* A leader of voters with ids from 1 on, itself the first one; all hold the log
 * up to 50, itself to 49, and have just answered. */
static void
leader (struct raft *r, uint32_t voters, uint32_t disk_losses)
{
	*r = (struct raft){.id = 1,
			   .role = RAFT_LEADER,
			   .times = rsim_times,
			   .limits.disk_losses = disk_losses,
			   .now_ms = NOW_MS,
			   .log.durable = 49,
			   .config.count = voters,
			   .peer_count = voters - 1};
	for (uint32_t i = 0; i < voters; i++)
		r->config.members[i] =
			(struct raft_member){.id = i + 1, .voter = true};
	for (uint32_t i = 0; i + 1 < voters; i++)
		r->peers[i] = (struct raft_peer){
			.id = i + 2, .match = 50, .acked_ms = NOW_MS};
}

/* A majority of a group that is still growing is too few disks for an
 * acknowledgement. */
static void
test_copies (void)
{
	struct raft r;

	leader (&r, 3, 2);
	CU_ASSERT (raft_copies (&r, 50) == 2 && raft_copies_needed (&r) == 3);
	CU_ASSERT_EQUAL (raft_copies (&r, 49), 3);
	r.peers[0].match = 48;
	CU_ASSERT_EQUAL (raft_copies (&r, 49), 2);
	r.config.members[2].voter = false;
	CU_ASSERT_EQUAL (raft_copies (&r, 49), 1);
	leader (&r, 5, 2);
	CU_ASSERT_EQUAL (raft_copies_needed (&r), 3);
	leader (&r, 1, 1);
	CU_ASSERT_EQUAL (raft_copies_needed (&r), 1);
}

/* A voter that lost its disk is worth nothing: neither what it held, nor the
 * lease that it granted. */
static void
test_lost_disk_counts_nothing (void)
{
	struct raft r;

	leader (&r, 4, 1);
	CU_ASSERT_EQUAL (raft_copies (&r, 50), 3);
	raft_note_replaced (&r, 2);
	CU_ASSERT_EQUAL (raft_copies (&r, 50), 2);
	CU_ASSERT (raft_lease_until (&r) > NOW_MS);
	r.peers[1].acked_ms = r.peers[2].acked_ms = 0;
	CU_ASSERT_EQUAL (raft_lease_until (&r), 0);
}

/* Half of an even number of voters is a quorum once one of them has lost its
 * disk, unless as many disks may be lost at once. */
static void
test_half (void)
{
	static const uint32_t quorums[][3] = {/* voters, losses, quorum */
					      {2, 1, 2}, {3, 1, 2}, {4, 1, 2},
					      {4, 2, 3}, {5, 1, 3}, {6, 2, 3},
					      {7, 2, 4}};

	for (size_t i = 0; i < G_N_ELEMENTS (quorums); i++) {
		struct raft r;

		leader (&r, quorums[i][0], quorums[i][1]);
		CU_ASSERT_EQUAL (raft_quorum (&r), quorums[i][0] / 2 + 1);
		raft_note_replaced (&r, 2);
		CU_ASSERT_EQUAL (raft_quorum (&r), quorums[i][2]);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"copies", test_copies},
		{"a lost disk counts nothing", test_lost_disk_counts_nothing},
		{"half of an even number", test_half},
		{NULL, NULL}};

	return t_run ("raft_quorum", cases);
}
