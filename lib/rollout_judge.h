#ifndef DH_ROLLOUT_JUDGE_H
#define DH_ROLLOUT_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "rollout.h"

/*
 * Whether a new version is worse than the old one: a sequential test of its
 * answers against those of the old version at the same time.  No I/O.
 *
 * The value of the test is a mixture of likelihood ratios (an e-process of the
 * Shiryaev-Roberts kind).  Its hypothesis is that a new version's answer fails,
 * or is slower than a high quantile of the old version's on the same route and
 * with the same prompt size, no more often than the old version's.  Under that
 * hypothesis the value reaches V with probability 1/V at most, however often it
 * is looked at.  The alternatives are that a portion of the answers is bad,
 * from some epoch on, on one route or on all.
 */

/** ROLLOUT_BAD_VALUE - at this value the version is bad: a good one gets there
 * in at most 1 of 1,500 rollouts */
#define ROLLOUT_BAD_VALUE 1500

/** ROLLOUT_DOUBT_VALUE - at this value the version is not yet trusted */
#define ROLLOUT_DOUBT_VALUE 20

/** ROLLOUT_LATE_BAD_VALUE - at this value it is bad if time runs out.  Reached
 * only by versions that fail or slow down more often than the old one, which
 * the margins of the hypothesis make rare for a good one. */
#define ROLLOUT_LATE_BAD_VALUE 100

/** ROLLOUT_EPOCH_MS - answers are compared by epochs of this length; no epoch
 * alone decides, so that the loss of one endpoint with all that it ran does
 * not */
#define ROLLOUT_EPOCH_MS 500

#define ROLLOUT_ROUTES 8   /* the last one stands for all further routes */
#define ROLLOUT_PORTIONS 6 /* alternatives: portions of bad answers */
#define ROLLOUT_SLOW_LEVELS 3
#define ROLLOUT_TESTS (1 + ROLLOUT_SLOW_LEVELS + 3 * ROLLOUT_ROUTES)

/** struct rollout_counts - answers of one route; index 1 is the new version */
struct rollout_counts {
	uint64_t answers[2];
	uint64_t failures[2];
	uint32_t times[2][ROLLOUT_CELLS];
};

/** struct rollout_domain - answers from one failure domain in one epoch */
struct rollout_domain {
	uint64_t domain;
	uint32_t route; /* index */
	struct rollout_counts counts;
};

/** struct rollout_epoch - what was answered in one epoch */
struct rollout_epoch {
	GArray *domains; /* of struct rollout_domain */
};

/** struct rollout_judge - the test; the caller owns the memory */
struct rollout_judge {
	uint64_t routes[ROLLOUT_ROUTES]; /* hashes of their names */
	uint32_t route_count;
	struct rollout_counts total[ROLLOUT_ROUTES];
	/* Closed before the last, pending until the next one closes, open. */
	struct rollout_epoch epochs[3];
	uint64_t open_until_ms;
	uint32_t closed;
	double later_weight; /* prior of a begin in each epoch but the first */
	double values[ROLLOUT_TESTS][ROLLOUT_PORTIONS];
	double value;
	bool changed;
};

/**
 * rollout_judge_init() - begin
 * @duration_ms: the rollout's time limit
 *
 * What relays report of an earlier leader's time counts as one epoch: that a
 * domain was out in a part of it can't be told any more.
 */
void rollout_judge_init (struct rollout_judge *j, uint64_t duration_ms,
			 uint64_t now_ms);

/** rollout_judge_finish() - release it */
void rollout_judge_finish (struct rollout_judge *j);

/**
 * rollout_judge_add() - add answers of one version, route and domain
 * @answers: those including @failures
 * @times: ROLLOUT_CELLS counts of answers without failure
 */
void rollout_judge_add (struct rollout_judge *j, uint64_t route,
			uint64_t domain, bool is_new, uint64_t answers,
			uint64_t failures, const uint32_t *times);

/** rollout_judge_value() - value of the test now; call at least every epoch */
double rollout_judge_value (struct rollout_judge *j, uint64_t now_ms);

/** rollout_judge_answers() - answers so far, of the new or the old version */
uint64_t rollout_judge_answers (const struct rollout_judge *j, bool is_new);

#endif
