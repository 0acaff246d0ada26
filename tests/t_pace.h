#ifndef DH_T_PACE_H
#define DH_T_PACE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Replay in virtual time of engines that become usable at one moment, with
 * relays that know each other's load as sums from some time ago.
 */

/** enum t_pace_option - what bounds the load of the engines that appear */
enum t_pace_option {
	T_PACE_NONE,     /* placement alone */
	T_PACE_AIMD,     /* window over all relays, changed by own answers */
	T_PACE_GRADIENT, /* the same, by the ratio of times to first token */
	T_PACE_BUDGET,   /* tokens that one member hands to relays */
	T_PACE_SUMS,     /* slow start by the sums alone */
	T_PACE_MODULE,   /* lib/pace.h */
	T_PACE_OPTIONS,
};

/**
 * struct t_pace_run - a replay
 * @relays: relays
 * @engines: engines, in five domains
 * @appearing: engines that appear, the first ones of domain "d0"
 * @speed: prefill rate of those, relative to the others
 * @cold_factor: how much slower they are when they appear; falls to 1 within
 *	@warm_ms
 * @warm_ms: time in which they become warm
 * @stated_cold_ms: how long the list calls them cold; 0: it does not
 * @broken: they answer every request with an error
 * @plain: the service has no engines: requests run one after the other and are
 *	answered whole
 * @use: load relative to the capacity of the other engines
 * @option: bound in use
 * @seed: of the random numbers
 */
struct t_pace_run {
	uint32_t relays;
	uint32_t engines;
	uint32_t appearing;
	double speed;
	double cold_factor;
	uint32_t warm_ms;
	uint32_t stated_cold_ms;
	bool broken;
	bool plain;
	double use;
	enum t_pace_option option;
	uint32_t seed;
};

/**
 * struct t_pace_result - figures over the time after the engines appear
 * @fair_ms: until they do, over half a second, 80 % of their fair share of the
 *	prefill; UINT32_MAX: never
 * @peak_ms: longest time that a prompt queued at one of them had to wait
 * @late: requests of all engines without a first token after 600 ms
 * @late_there: of these, at the engines that appear
 * @sent_there: requests sent to them
 * @failed: requests that they failed
 * @unserved: requests that found no endpoint in two seconds
 */
struct t_pace_result {
	uint32_t fair_ms;
	uint32_t peak_ms;
	uint32_t late;
	uint32_t late_there;
	uint32_t sent_there;
	uint32_t failed;
	uint32_t unserved;
};

/** t_pace_option_name() - name of an option in tables */
const char *t_pace_option_name (enum t_pace_option option);

/** t_pace_play() - play @run; the result depends on nothing else */
struct t_pace_result t_pace_play (const struct t_pace_run *run);

#endif
