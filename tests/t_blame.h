#ifndef DH_T_BLAME_H
#define DH_T_BLAME_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "blame.h"

/*
 * Relays that send requests to endpoints and pass their news on through group
 * members, in simulated time.  Sound requests hold a first segment of a few, a
 * middle segment of many, and a unique one.  Poisonous ones hold one more,
 * which crashes each endpoint that begins to answer.
 */

#define T_BLAME_RELAYS 9
#define T_BLAME_RELAYS_MAX 300
#define T_BLAME_MEMBERS 3
#define T_BLAME_ENDPOINTS 18
#define T_BLAME_ENDPOINTS_MAX 100
#define T_BLAME_FIRSTS 4 /* first segments, from very to little used */
#define T_BLAME_MIDS 40  /* middle segments of each */
#define T_BLAME_POISONS 4
#define T_BLAME_START_MS 1000000
#define T_BLAME_CONTACT_MS 3000

struct t_blame_endpoint {
	uint32_t hash; /* a new one at each start */
	uint64_t up_ms;
	double grey; /* part of the requests whose connection it resets */
};

struct t_blame_call {
	uint32_t relay, ep, first, mid, kind;
	uint64_t keys[4];
	uint32_t count;
	uint64_t came_ms, sent_ms, begin_ms, end_ms;
	bool poison, hot, begun, retried;
};

struct t_blame;

struct t_blame_node {
	struct t_blame *sim;
	struct blame b;
	bool is_relay;
};

/**
 * struct t_blame - the simulation
 * @relay_count: relays that get requests
 * @endpoint_count: endpoints that serve them
 * @plain: requests have no segments, and a poisonous one is sent again by its
 *	relay where its endpoint crashes
 * @sound_per_s: sound requests, by first segment
 * @hot_per_s: sound requests that are all the same one, without segments
 * @poison_per_s: poisonous requests
 * @burst_gap_ms: they come in bursts, so far from each other; 0: they don't
 * @burst_span_ms: ... in which those of a burst come
 * @burst_size: ... as many as this
 * @poison_kinds: how many different poisonous segments there are
 * @repeats: poisonous requests are the same one, without such a segment
 * @recovery_ms: how long a crashed endpoint is away
 * @leader: member that grants trials; T_BLAME_MEMBERS: none does
 * @cut: links between a relay and a member that carry nothing
 * @bound_crashes: after so many of a poisonous segment few more may come
 * @crashes: by each poisonous segment, or by the repeated request
 * @bound_ms: when the last of @bound_crashes was, for each
 * @late: requests that reached an endpoint later than T_BLAME_CONTACT_MS after
 *	@bound_ms, for each
 * @trials: trials of sound and poisonous keys
 * @sent: sound requests since the first @bound_ms, by first segment
 * @refused: those of them that were refused
 * @hot_sent: sound requests that are the same, while an endpoint is up
 * @hot_begun: those of them that reached an endpoint
 * @bars: sound keys that some node barred
 * @log: prints what changes
 */
struct t_blame {
	uint32_t relay_count, endpoint_count;
	bool plain;
	double sound_per_s[T_BLAME_FIRSTS];
	double hot_per_s;
	double poison_per_s;
	uint64_t burst_gap_ms;
	uint32_t burst_span_ms, burst_size;
	uint32_t poison_kinds;
	bool repeats;
	uint64_t recovery_ms;
	uint32_t leader;
	bool cut[T_BLAME_RELAYS_MAX][T_BLAME_MEMBERS];
	uint64_t now_ms;
	GRand *rand;
	struct t_blame_node relays[T_BLAME_RELAYS_MAX];
	struct t_blame_node members[T_BLAME_MEMBERS];
	struct t_blame_endpoint eps[T_BLAME_ENDPOINTS_MAX];
	GPtrArray *calls, *waiting;
	GQueue packets;
	uint32_t bound_crashes;
	uint32_t crashes[T_BLAME_POISONS], late[T_BLAME_POISONS];
	uint64_t bound_ms[T_BLAME_POISONS];
	uint32_t trials;
	bool count_sound;
	uint32_t sent[T_BLAME_FIRSTS], refused[T_BLAME_FIRSTS];
	uint32_t refused_poison;
	uint32_t hot_sent, hot_begun;
	uint32_t bars, poison_bars;
	uint64_t records;
	bool log;
};

void t_blame_init (struct t_blame *s, uint32_t seed);

/** t_blame_init_size() - the same with other numbers of relays and endpoints */
void t_blame_init_size (struct t_blame *s, uint32_t seed, uint32_t relays,
			uint32_t endpoints);
void t_blame_finish (struct t_blame *s);

/** t_blame_run() - go on for @ms */
void t_blame_run (struct t_blame *s, uint64_t ms);

/** t_blame_crash() - endpoint @ep crashes, with all that it runs */
void t_blame_crash (struct t_blame *s, uint32_t ep);

/** t_blame_reset_channels() - all connections of a relay to endpoints break */
void t_blame_reset_channels (struct t_blame *s, uint32_t relay);

/** t_blame_cut() - cut a relay's link to a member, or restore it */
void t_blame_cut (struct t_blame *s, uint32_t relay, uint32_t member, bool cut);

/** t_blame_restart_relay() - the relay loses its table */
void t_blame_restart_relay (struct t_blame *s, uint32_t relay);

/** t_blame_restart_member() - the member loses its table */
void t_blame_restart_member (struct t_blame *s, uint32_t member);

/** t_blame_repeated_key() - key of the poisonous request that is repeated */
uint64_t t_blame_repeated_key (void);

/** t_blame_poison_key() - key of a poisonous segment */
uint64_t t_blame_poison_key (uint32_t kind);

/** t_blame_first_key() - key of a sound first segment */
uint64_t t_blame_first_key (uint32_t first);

#endif
