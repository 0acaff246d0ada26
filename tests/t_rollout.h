#ifndef DH_T_ROLLOUT_H
#define DH_T_ROLLOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "rollout_lead.h"

/*
 * A rollout in virtual time: a leader, relays with their traffic, and endpoints
 * of two versions.
 */

/**
 * struct t_rollout - one case
 * @relays: 1 to 300
 * @one_relay: share of the traffic that the first relay sees, 0: an even one
 * @routes: 1 to 8; the last is used least
 * @per_s: requests of the service per second
 * @failures: share of answers that fail at both versions
 * @bad_share: share of the new version's answers that are bad, 0: it is good
 * @slow_factor: bad answers are slower by it; 0: they fail
 * @bad_from: portion of the time limit after which the version is bad
 * @bad_route: route on which it is bad, -1: on all
 * @boot_ms: time until the new endpoints are there
 * @burst: for a second all answers are three times slower and more of them fail
 * @cut: for 2 s all answers from one domain fail; the new version is mostly
 *there
 * @crash: an endpoint of the new version, with what it runs, is lost
 * @leader_lost_ms: when the leader is lost, 0: never; the next one leads a
 *	second later
 * @restarts: a tenth of the relays restart in the middle
 */
struct t_rollout {
	uint32_t seed;
	uint32_t relays;
	double one_relay;
	uint32_t routes;
	double per_s;
	uint64_t duration_ms;
	double failures;
	double bad_share;
	double slow_factor;
	double bad_from;
	int bad_route;
	uint64_t boot_ms;
	bool burst;
	bool cut;
	bool crash;
	uint64_t leader_lost_ms;
	bool restarts;
};

/**
 * struct t_rollout_result - how it ended
 * @state: at the time limit
 * @verdict_ms: when the state became what relays act on for good
 * @requests: of the service until the time limit
 * @sent_new: those of them that were sent to the new version
 * @running_over: most requests to the new version beyond the bound at any time
 *	while RUNNING; negative: it was never reached
 * @bad_answers: of the new version
 * @bad_50_ms: when the 50th bad answer came, 0: never
 * @last_new_ms: when the last request was sent to the new version
 * @old_cut: requests on the old version when SUCCEEDED was answered
 */
struct t_rollout_result {
	enum rollout_state state;
	uint64_t verdict_ms;
	uint64_t requests;
	uint64_t sent_new;
	double running_over;
	uint64_t bad_answers;
	uint64_t bad_50_ms;
	uint64_t last_new_ms;
	uint64_t old_cut;
	double value;
};

/* Bounds that the cases use. */
#define T_ROLLOUT_SHARE 0.1
#define T_ROLLOUT_SLACK 50
#define T_ROLLOUT_ROLLBACK_MS 5000

/** t_rollout_run() - run one case to its time limit */
void t_rollout_run (const struct t_rollout *c, struct t_rollout_result *out);

/** t_rollout_draw() - draw a case; @good: without badness */
void t_rollout_draw (uint32_t seed, bool good, struct t_rollout *out);

#endif
