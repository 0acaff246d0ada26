#ifndef DH_T_VOTERS_H
#define DH_T_VOTERS_H

#include "t_raft.h"
#include "voters.h"

/*
 * A simulated group whose members come and go by the rule of voters.h:
 * instances that are added, removed for good, cut off, frozen, killed, and that
 * lose their disks.  An operator proposes entries all the time, and each
 * acknowledgement is checked against the disks.
 */

#define T_VOTERS_INSTANCES_MAX 10

/* How long an instance counts as lost after it is back or, if it is new, after
 * it starts. */
#define T_VOTERS_CATCH_UP_MS 4000

/* One instance at one address; the member on it changes with its disk. */
struct t_instance {
	struct rsim_node *node;
	bool gone;           /* for good */
	bool cut;            /* from all others */
	uint64_t heal_at_ms; /* the end of a cut, a freeze or a stop; 0: none */
	uint64_t whole_at_ms; /* counts as lost until then */
	bool disk_lost;       /* and not made good for yet */
};

/* An operator's call. */
struct t_call {
	uint64_t index;
	uint64_t term;
	struct rsim_node *leader;
};

struct t_voters {
	struct rsim s;
	uint32_t losses; /* disks that may be lost at once */
	struct t_instance instances[T_VOTERS_INSTANCES_MAX];
	uint32_t count;
	GArray *calls;  /* of struct t_call */
	uint64_t acked; /* index of the last acknowledged entry */
	uint64_t acks;  /* how many */
	uint32_t steps;
	uint64_t calm_since_ms; /* no instance was cut, frozen or down since */
	uint64_t split_until_ms;
};

/* Start with @members instances that vote. */
void t_voters_init (struct t_voters *w, uint32_t seed, uint32_t members,
		    uint32_t losses);
void t_voters_finish (struct t_voters *w);

/* Let time pass. */
void t_voters_run (struct t_voters *w, uint32_t ms);

/* A further instance with an empty disk; NULL where there are too many. */
struct t_instance *t_voters_add (struct t_voters *w);

/* Stop an instance for good. */
void t_voters_remove (struct t_voters *w, struct t_instance *m);

/* Kill an instance; it is back after @ms, with an empty disk where @wipe. */
void t_voters_kill (struct t_voters *w, struct t_instance *m, uint32_t ms,
		    bool wipe);

/* All lose power at once, and are back after @ms. */
void t_voters_power_loss (struct t_voters *w, uint32_t ms);

/* Cut an instance off from all others for @ms. */
void t_voters_cut (struct t_voters *w, struct t_instance *m, uint32_t ms);
void t_voters_freeze (struct t_voters *w, struct t_instance *m, uint32_t ms);

/* End what is under way, and wait; whether there is a leader that has applied
 * all that was acknowledged. */
bool t_voters_recovers (struct t_voters *w, uint32_t ms);

/* Voters of the newest leader's configuration; 0 without one. */
uint32_t t_voters_count (struct t_voters *w);

#endif
