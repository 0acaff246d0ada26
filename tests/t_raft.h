#ifndef DH_T_RAFT_H
#define DH_T_RAFT_H

#include "raft.h"

/*
 * A simulated group of members of the replicated log: their disks, their
 * drifting clocks and the network between them, all from one seed.  After
 * each step the promises are checked.
 */

#define RSIM_NODES_MAX 16 /* slots; a lost disk takes a new one */
#define RSIM_STEP_MS 5

/* The times that all members run with. */
extern const struct raft_times rsim_times;

/* What stands on a disk. */
struct disk {
	uint64_t term;
	uint64_t vote;
	uint64_t snap_index;
	uint64_t snap_term;
	struct raft_config snap_config;
	uint64_t snap_state;
	uint64_t base;
	uint64_t base_term;
	GPtrArray *entries; /* of struct raft_entry * */
	uint32_t synced;    /* operations that are durable */
};

/* An operation not yet synced; index 0 is an append. */
struct op {
	uint64_t truncate;
	struct raft_entry *entry;
};

struct rsim;

struct rsim_node {
	struct rsim *sim;
	struct raft raft;
	struct disk disk;
	GArray *pending; /* of struct op */
	uint64_t id;
	uint64_t state; /* hash over everything applied */
	bool used;
	bool up;
	bool frozen;
	bool lost; /* its disk is gone for good */
	double rate;
	uint64_t lag_ms; /* time that its current turn has taken */
	uint64_t sent_at_ms[RSIM_NODES_MAX]; /* last arrival, for resend_ms */
	double sends_until_ms; /* its network link is busy, see link_rate */
	bool previous; /* takes and sends only what the previous version does */
};

struct flight {
	uint64_t at_ms;
	uint64_t to;
	char *data;
	size_t len;
};

struct rsim {
	GRand *rand;
	uint64_t now_ms;
	struct rsim_node nodes[RSIM_NODES_MAX];
	uint32_t count;
	GArray *flights;
	bool cut[RSIM_NODES_MAX][RSIM_NODES_MAX];
	double loss;
	double dup;
	uint32_t delay_ms;
	uint32_t sync_ms;   /* longest sync of a disk; 0: none takes time */
	uint32_t resend_ms; /* not 0: links keep the order, and what is lost
			       arrives so much later */
	uint32_t link_rate; /* bytes per ms that a member sends; 0: no limit */
	struct raft_times times;
	uint32_t part_bytes; /* see struct raft_limits */
	uint32_t disk_losses;
	bool may_lose;
	GArray *committed;   /* uint64_t hash of each applied entry */
	GHashTable *leaders; /* term to id */
	uint64_t chunks;     /* of snapshots, sent */
	uint64_t repaired;
	const char *broken; /* the promise that failed */
};

/* Start with @members voters that hold the group's configuration. */
void rsim_init (struct rsim *s, uint32_t seed, uint32_t members);

/* The same without loss, and with short delays. */
void rsim_init_calm (struct rsim *s, uint32_t seed, uint32_t members);
void rsim_finish (struct rsim *s);

/* Let RSIM_STEP_MS pass: deliver, tick, flush, check. */
void rsim_step (struct rsim *s);

/* Give a member a message that has arrived; it is freed. */
void rsim_deliver (struct rsim_node *n, struct flight *f);

/* Another member with an empty disk; NULL where there are too many. */
struct rsim_node *rsim_add (struct rsim *s);

/* Start a member from what is durable. */
void rsim_start (struct rsim_node *n);

/* End it; of what was not synced some part may be durable. */
void rsim_crash (struct rsim_node *n);

/* The member that leads in the newest term, or NULL. */
struct rsim_node *rsim_leader (struct rsim *s);

/* Step until a leader holds the lease. */
struct rsim_node *rsim_calm_leader (struct rsim *s);
uint64_t rsim_clock (const struct rsim_node *n);
void rsim_broke (struct rsim *s, const char *what);
struct raft_entry *rsim_entry_copy (const struct raft_entry *e);

#endif
