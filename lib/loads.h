#ifndef DH_LOADS_H
#define DH_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"

/*
 * The load of all relays at each endpoint, summed by one member of the group.
 * Each relay reports to that member its own load at each endpoint, the shared
 * prompt segments that it sent there, and the endpoints that it subscribes to.
 * The member sends back how the sum over the other relays, the peers, changed
 * at those endpoints since the last update.  An update is bounded by
 * LOADS_SUBSCRIPTION_MAX, however many relays and endpoints there are.
 */

/* Entries of each list in a message. */
#define LOADS_MAX 8192
#define LOADS_SEGMENTS_MAX 4096
#define LOADS_SUBSCRIPTION_MAX 256

/* Smallest change of the prefill backlog that is sent, in tokens: about twenty
 * milliseconds of prefill. */
#define LOADS_DELTA_TOKENS 1024

/* A change in running requests is sent when it is more than this fraction of
 * them.  Where few run, each one is sent, since a plain service runs them one
 * after the other; many share an engine's batch, so one more matters less. */
#define LOADS_DELTA_DIVISOR 8

/**
 * struct load - load at one endpoint
 * @ep_hash: loads_ep_hash() of the endpoint's id
 * @prefill_tokens: prompt tokens sent there and still to be prefilled
 * @running: requests there
 * @suspect: from one relay: the endpoint did not answer and gets no work until
 *	a probe succeeds; in a sum: relays of two failure domains say so, see
 *	loads_peer_loads()
 */
struct load {
	uint32_t ep_hash;
	uint32_t prefill_tokens;
	uint32_t running;
	bool suspect;
};

/**
 * struct load_segment - a shared prompt segment that an endpoint was sent
 * @id: segment id
 * @ep_hash: the endpoint
 * @tokens: length of the segment
 */
struct load_segment {
	uint64_t id;
	uint32_t ep_hash;
	uint32_t tokens;
};

/**
 * struct load_speed - estimated speed of an engine, see speed.h
 * @ep_hash: the endpoint
 * @gap_us: shortest mean time between the events of a stream, in microseconds
 */
struct load_speed {
	uint32_t ep_hash;
	uint32_t gap_us;
};

/* Ranks of waiting requests: by tier, and within it the late ones behind those
 * that can still be in time. */
#define LOADS_RANKS 20

/**
 * struct load_waiting - prefill that waits in queues of relays
 * @rank: rank of the requests, see waitq_rank()
 * @tokens: prompt tokens that engines have to prefill for them
 */
struct load_waiting {
	uint32_t rank;
	uint32_t tokens;
};

/** struct load_ep - an endpoint, identified as in struct load */
struct load_ep {
	uint32_t ep_hash;
};

/**
 * struct loads_msg - report of a relay's load, or update on its peers' load
 * @loads: of struct load
 * @prefill_ms: predicted prefill time that the relay asked of engines since it
 *	started
 * @segments: of struct load_segment, new since the last message
 * @is_delta: endpoints not in @loads are unchanged; otherwise they have no load
 * @has_subscription: @subscription is valid, and the relay accepts deltas
 * @subscription: of struct load_ep: endpoints whose peer load the relay wants;
 *	an empty list means all
 * @withdraw: the relay reports to another member from now on
 * @domain_hash: hash of the relay's failure domain
 * @want_snapshot: the relay needs the peers' load in full
 * @speeds: of struct load_speed, that changed; older members ignore it
 * @waiting: of struct load_waiting, the ranks that aren't empty: of the relay,
 *	or the sum over its peers
 */
struct loads_msg {
	struct msg_list loads;
	uint64_t prefill_ms;
	struct msg_list segments;
	bool is_delta;
	bool has_subscription;
	struct msg_list subscription;
	bool want_snapshot;
	bool withdraw;
	uint32_t domain_hash;
	struct msg_list speeds;
	struct msg_list waiting;
};

extern const struct msg_field load_ep_fields[];
extern const struct msg_field loads_msg_fields[];

/** struct loads - the sum over all relays; the caller owns the memory */
struct loads {
	GHashTable *sum;           /* ep_hash to struct load */
	GHashTable *reports;       /* relay to struct report */
	GHashTable *suspicions;    /* ep_hash to struct suspicion */
	GHashTable *relay_domains; /* domain_hash to number of relays */
	double prefill_ms;  /* of all relays, since loads_take_prefill_ms() */
	GArray *segments;   /* of struct reported_segment, not yet passed on */
	GHashTable *speeds; /* ep_hash to gap_us, as announced last */
	uint64_t waiting[LOADS_RANKS]; /* prompt tokens, sum over all relays */
	GArray *new_speeds; /* of struct reported_speed, not yet passed on */
};

/** loads_init() - initialise an empty table */
void loads_init (struct loads *l);

/** loads_finish() - release the table's memory */
void loads_finish (struct loads *l);

/**
 * loads_set_report() - store a relay's newest report in place of its last one
 * @relay: any pointer that identifies the relay
 * @m: the report
 */
void loads_set_report (struct loads *l, const void *relay,
		       const struct loads_msg *m);

/** loads_drop_relay() - remove @relay and its load */
void loads_drop_relay (struct loads *l, const void *relay);

/**
 * loads_peer_loads() - build the update for @relay
 * @out: receives struct load, what the other relays have at the endpoints that
 *	@relay subscribes to
 *
 * The update counts as received; call loads_want_snapshot() when it could not
 * be sent.  Changes below LOADS_DELTA_TOKENS and LOADS_DELTA_DIVISOR are left
 * out.
 *
 * An endpoint is marked suspect when relays of two failure domains suspect it.
 * When many endpoints crash at once, they look idle, and without the mark each
 * of a hundred relays would send its next request there.  Relays of one domain
 * may be cut off from an endpoint that serves the others, so their reports
 * alone do not count, unless all relays are in one domain: then two relays are
 * enough.
 *
 * Return: true for a delta; false for a snapshot, in which endpoints not in
 * @out have no load.
 */
bool loads_peer_loads (struct loads *l, const void *relay, GArray *out);

/**
 * loads_peer_waiting() - append what waits at the relays other than @relay to
 * @out, an array of struct load_waiting
 *
 * Return: whether that changed since the last call for @relay.
 */
bool loads_peer_waiting (struct loads *l, const void *relay, GArray *out);

/** loads_has_relay() - whether @relay reports its load here */
bool loads_has_relay (const struct loads *l, const void *relay);

/** loads_want_snapshot() - the last update did not reach @relay: make the next
 * one a snapshot */
void loads_want_snapshot (struct loads *l, const void *relay);

/** loads_peer_segments() - append the segments that relays other than @relay
 * reported to @out, an array of struct load_segment */
void loads_peer_segments (const struct loads *l, const void *relay,
			  GArray *out);

/** loads_peer_speeds() - append the speeds that relays other than @relay
 * announced to @out, an array of struct load_speed: those that are new, or all
 * where the next update is a snapshot; to be called before loads_peer_loads()
 */
void loads_peer_speeds (const struct loads *l, const void *relay, GArray *out);

/** loads_clear_segments() - drop the reported segments and new speeds, once all
 * relays were sent them */
void loads_clear_segments (struct loads *l);

/** loads_any_prefill() - whether any relay ever asked an engine for prefill */
bool loads_any_prefill (const struct loads *l);

/** loads_take_prefill_ms() - return the prefill time asked of engines since the
 * last call, in milliseconds, and reset it */
double loads_take_prefill_ms (struct loads *l);

/** loads_ep_hash() - the 32-bit hash that identifies an endpoint in messages */
uint32_t loads_ep_hash (const char *id);

/**
 * struct loads_member - a member of the group, as a relay sees it
 * @addr: its address, spelled alike at all relays
 * @is_leader: its last state says that it leads
 * @last_heard_ms: when it was heard last; 0 when it is unreachable
 */
struct loads_member {
	const char *addr;
	bool is_leader;
	uint64_t last_heard_ms;
};

/* A member not heard for this time is frozen or cut off: members send their
 * state more often than that. */
#define LOADS_MEMBER_TIMEOUT_MS 1100

/**
 * loads_choose_member() - choose the member that a relay reports its load to
 * @members: all members, @count of them
 *
 * Reports must go on under high load while the leader is lost, frozen or cut
 * off.  Summing needs no leader; the relays only have to agree on a member: the
 * leader if one is heard, else the first by address of those heard.
 *
 * Return: its index, or @count when none is reachable.
 */
uint32_t loads_choose_member (const struct loads_member *members,
			      uint32_t count, uint64_t now_ms);

#endif
