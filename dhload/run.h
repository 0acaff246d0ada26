#ifndef DH_RUN_H
#define DH_RUN_H

#include <stdbool.h>

#include <glib.h>

#include "daemon.h"
#include "httpc.h"
#include "scen.h"
#include "tally.h"
#include "tmr.h"

/*
 * Carries a scenario out: arrivals, requests, faults, and at the end the
 * stand-ins' own account of what they ran.
 */

struct run;

/** struct run_source - the arrivals of one stream of requests */
struct run_source {
	struct run *run;
	const struct scen_load *load;
	struct tmr timer;
	GRand *rand;
	double next_s; /* since the run began */
	double parts;  /* sum of the accounts' parts */
};

/** struct run_standin - a stand-in being asked */
struct run_standin {
	struct run *run;
	struct httpc_peer peer;
	uint32_t ix;
	GHashTable *ran; /* tag to count, from the end of the run */
};

/** struct run_fault - a fault waiting for its time */
struct run_fault {
	struct run *run;
	const struct scen_fault *fault;
	struct httpc_peer peer;
	struct tmr timer;
};

/** struct run - a run; the caller owns the memory */
struct run {
	const struct scen *scen;
	struct tally *tally;
	struct daemon *daemon;
	struct httpc_peer *targets;
	struct run_source *sources;
	struct run_standin *standins;
	struct run_fault *faults;
	struct tmr poll;
	struct tmr phase;
	uint64_t start_us;
	uint64_t id; /* wall time at the start, in milliseconds */
	uint64_t serial;
	uint64_t open;
	GQueue asks;      /* in flight */
	GHashTable *ends; /* tag to struct run_end */
	uint32_t waiting; /* answers of stand-ins that are awaited */
	bool stopping;    /* no more arrivals */
	bool first_asked;
	bool ending; /* asking the stand-ins for the last time */
};

/** run_init() - prepare @r for @scen; figures go to @tally */
void run_init (struct run *r, struct daemon *d, const struct scen *scen,
	       struct tally *tally);

/** run_start() - ask the stand-ins, then begin; ends with daemon_stop() */
void run_start (struct run *r);

/** run_stop() - no more arrivals; ends when what is open is over */
void run_stop (struct run *r);

/** run_finish() - release @r */
void run_finish (struct run *r);

#endif
