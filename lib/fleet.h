#ifndef DH_FLEET_H
#define DH_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"
#include "pace.h"
#include "plan.h"
#include "speed.h"

/*
 * One relay's table of endpoints: which ones the platform lists, which may get
 * new requests, how much work this relay and its peers have there, and which
 * prompt segments each is expected to have in its prefix cache.  The module
 * does no input or output, and the caller passes the time in.
 */

/* Sizes of the buffers for ids and names, and for addresses, with the final
 * NUL.
 */
#define FLEET_NAME_BYTES PLAN_NAME_BYTES
#define FLEET_ADDR_BYTES 64

/* Size of the buffer for a version, with the final NUL. */
#define FLEET_VERSION_BYTES 64

/* Stands for a version that is listed and can't be read.  It differs from that
 * of an entry without one, which is "". */
#define FLEET_VERSION_UNREADABLE "?"

/* Longest cold start that is believed; real ones take seconds to minutes. */
#define FLEET_COLD_MAX_MS (60U * 60 * 1000)

/* Entries in one message that carries an endpoint list. */
#define FLEET_LIST_MAX 8192

/**
 * struct fleet_info - an endpoint as the platform lists it
 * @id: identifies one start of the endpoint
 * @service: name of the service that it belongs to
 * @domain: failure domain
 * @addr: address as IP:port
 * @slots: requests that it runs at the same time
 * @cold_remaining_ms: time until it is warm; 0 when it is warm
 * @leaving: it is being shut down and must get no new work
 * @reclaimable: the platform may take it back (spot capacity)
 * @started_ms: wall clock time of its start; 0 when not stated
 * @version: version of the service that it runs, "" when not stated.  It
 *	differs between starts only, and isn't part of the digest: members of
 *	older software versions compute the same digest without it.
 */
struct fleet_info {
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	char domain[FLEET_NAME_BYTES];
	char addr[FLEET_ADDR_BYTES];
	uint32_t slots;
	uint32_t cold_remaining_ms;
	bool leaving;
	bool reclaimable;
	uint64_t started_ms;
	char version[FLEET_VERSION_BYTES];
};

extern const struct msg_field fleet_info_fields[];

/**
 * fleet_info_check() - whether an entry can name an endpoint
 * @e: receives ERR_PROTOCOL and the reason, without text of the entry
 *
 * Its texts go into headers and log lines, so none may have control characters,
 * or an id spaces; and its address must be one that a server can have.
 */
bool fleet_info_check (const struct fleet_info *info, struct err *e);

/** fleet_version_check() - whether a version can stand in log lines; "" can */
bool fleet_version_check (const char *version);

/* In a table of up to this many endpoints, a relay receives the peer load of
 * all of them.  Only changes are sent, for about a fifth of the endpoints in
 * one update and a few times a second, which makes some 2 kB/s. */
#define FLEET_SUBSET_THRESHOLD 256

/* In a larger table, endpoints in the subset, over all services and lanes. */
#define FLEET_SUBSET_SIZE 192

/* Endpoints outside the subset to which this relay sent work last and whose
 * peer load it also receives; they are mostly preferred endpoints of
 * prefixes. */
#define FLEET_RECENT_MAX 48

/* Interval at which a segment in use is announced to the peers again.  Relays
 * drop the segments that were announced longest ago, and a segment stays in use
 * for about ten seconds. */
#define FLEET_SEGMENT_ANNOUNCE_MS 4000

/** enum fleet_health - whether an endpoint answers */
enum fleet_health {
	FLEET_HEALTHY,
	FLEET_SUSPECT, /* did not answer; gets no work until a probe succeeds */
};

/**
 * enum fleet_side - the part of its service that an endpoint belongs to, by its
 * version; see rollout_share.h.  Without rollouts, all are in FLEET_MAIN.
 */
enum fleet_side {
	FLEET_MAIN,     /* gets requests as usual */
	FLEET_TARGET,   /* the target of a rollout that isn't over */
	FLEET_RETIRING, /* an older version than one that was rolled out */
	FLEET_HELD,     /* a new version that may become a target */
	FLEET_BARRED,   /* was rolled back, gets no request */
};

struct fleet;

/** struct fleet_ep - one endpoint */
struct fleet_ep {
	struct fleet *fleet;
	struct fleet_info info;
	uint32_t ep_hash;      /* loads_ep_hash() of info.id */
	uint64_t rank_hash;    /* 64-bit hash of info.id, for hash rings */
	bool listed;           /* in the current list */
	uint64_t entry_digest; /* of its list entry; 0 when it has none */
	bool leaving;          /* never cleared: a restart is a new fleet_ep */
	enum fleet_side side;  /* set by rollout_share_assign() */
	uint64_t cold_until_ms;
	enum fleet_health health;
	uint64_t suspect_since_ms;
	uint64_t last_heard_ms; /* when bytes from it arrived last */
	bool suspect_by_domain; /* suspect with its domain: fleet_suspect() */
	bool probe_failed;      /* since it became suspect */
	bool probe_unreached;   /* the same, and no connection was made */
	bool cut_off;           /* see fleet_is_cut_off() */
	bool stalled;           /* see fleet_next_stalled() */
	uint64_t probe_at_ms;   /* next probe of a suspect endpoint */
	uint32_t probe_backoff_ms;
	bool on_trial;                /* see fleet_broke_request() */
	uint64_t trial_end_ms;        /* end of the trial; 0: not probed yet */
	uint64_t avoid_until_ms;      /* avoided for its error rate */
	double error_rate;            /* moving average, 0 to 1 */
	uint32_t inflight;            /* requests of this relay */
	uint64_t busy_since_ms;       /* when the first of these was sent */
	uint32_t answering;           /* streams of this relay that began */
	uint32_t paused;              /* of these, not read from at present */
	double prefill_tokens;        /* their prompt tokens still to prefill */
	uint32_t peer_running;        /* requests of the peer relays */
	uint32_t peer_prefill_tokens; /* prompt tokens of them to prefill */
	bool peer_suspect;            /* struct load.suspect of the peers */
	uint64_t last_sent_ms;        /* when this relay sent it work last */
	uint64_t cold_since_ms;       /* when it was first known to be cold */
	bool in_subset;               /* see fleet_choose_subset() */
	bool recent;           /* in fleet.recent: see fleet_note_sent() */
	bool short_lane;       /* reserved for short prompts: see place.h */
	double slowdown;       /* prefill time over the fleet's, averaged */
	struct speed speed;    /* from its streams; see speed.h */
	double slowness;       /* speed_slowness(); 1 where it isn't learned */
	struct pace pace;      /* inactive where fleet.pace is false */
	GHashTable *segments;  /* segment id to struct fleet_segment */
	GQueue segment_lru;    /* of struct fleet_segment, oldest first */
	double segment_tokens; /* sum over the segments */
	void *owner_data;      /* the owner's, such as its connections */
};

/**
 * struct fleet_segment - a prompt segment expected in an endpoint's prefix
 * cache
 * @id: segment id; equal ids mean equal text
 * @tokens: length
 * @announced_ms: when it was last announced to the relays; 0 for never
 * @lru_link: its place in fleet_ep.segment_lru
 */
struct fleet_segment {
	uint64_t id;
	uint32_t tokens;
	uint64_t announced_ms;
	GList *lru_link;
};

/* Lane 0 takes long prompts, lane 1 short ones. */
#define FLEET_LANES 2

/**
 * struct fleet_lane_load - load of a lane for pacing, see fleet_pace_means()
 * @running_each: mean requests of all relays at each endpoint
 * @peer_running: the same at those that are not paced
 * @peer_backlog: mean prompt tokens to prefill at these
 */
struct fleet_lane_load {
	double running_each;
	double peer_running;
	double peer_backlog;
};

/**
 * struct fleet_pool - the endpoints of one side of one service
 * @service: name of the service
 * @side: fleet_ep.side of all of them
 * @eps: of struct fleet_ep *; the short lane comes first, and each lane is
 *	sorted by rank_hash
 * @short_count: endpoints in the short lane
 * @subset: by lane, the endpoints chosen by fleet_choose_subset()
 * @mean_prefill_tokens: mean of peer_prefill_tokens over @subset
 * @mean_running: mean of peer_running over @subset
 * @prefill_per_ms: prompt tokens that a usual engine prefills in a millisecond;
 *	0: not learned
 * @usual_gap_ms: median of speed.gap_ms over @eps; 0: not learned
 * @lane_load: by lane
 */
struct fleet_pool {
	char service[FLEET_NAME_BYTES];
	enum fleet_side side;
	GPtrArray *eps;
	guint short_count;
	GPtrArray *subset[FLEET_LANES];
	uint32_t mean_prefill_tokens;
	uint32_t mean_running;
	double usual_gap_ms;
	double prefill_per_ms;
	struct fleet_lane_load lane_load[FLEET_LANES];
};

/**
 * struct fleet_ops - callbacks to the owner of a table
 * @added: @ep was added to the table
 * @removed: @ep is about to be freed
 */
struct fleet_ops {
	void (*added) (struct fleet_ep *ep, void *ctx);
	void (*removed) (struct fleet_ep *ep, void *ctx);
};

/** struct fleet - the table; the caller owns the memory */
struct fleet {
	GPtrArray *eps;              /* of struct fleet_ep * */
	uint64_t digest_sum;         /* sum of entry_digest */
	GHashTable *by_id;           /* id to struct fleet_ep, newest start */
	GHashTable *by_hash;         /* ep_hash to struct fleet_ep */
	GPtrArray *pools;            /* of struct fleet_pool * */
	GHashTable *segment_holders; /* segment id to GPtrArray of fleet_ep */
	const struct fleet_ops *ops;
	void *ctx;                  /* passed to the callbacks */
	GPtrArray *drained_domains; /* of char * */
	GQueue recent;              /* of struct fleet_ep, newest last */
	uint32_t relay_hash;        /* of this relay's name; set by the owner */
	uint64_t subset_digest;     /* of the subset; 0 when it is everything */
	bool subscription_changed;  /* since fleet_subscription() */
	bool want_snapshot;         /* peer load must be sent in full again */
	double slowdown;  /* measured prefill time over predicted, averaged */
	uint64_t loss_ms; /* when an endpoint was lost last; 0: never */
	uint64_t silence_checked_ms; /* fleet_check_silence() */
	bool silence_check_late;     /* its last call came too late */
	double slot_hold_ms; /* time that a stream holds a slot, averaged */
	bool pace; /* endpoints that appear are paced; set by the owner */
	bool peer_loads_known; /* the last update was not an empty snapshot */
	double prompt_tokens[FLEET_LANES]; /* sent to each lane, averaged */
	double plain_hold_ms; /* time of answers without an engine, averaged */
};

/**
 * fleet_init() - initialise an empty table
 * @ops: callbacks, or NULL
 * @ctx: passed to them
 */
void fleet_init (struct fleet *f, const struct fleet_ops *ops, void *ctx);

/** fleet_finish() - release all endpoints and the table's memory */
void fleet_finish (struct fleet *f);

/**
 * fleet_set_list() - replace the list of endpoints
 * @list: the full list, of @count entries
 * @age_ms: time since the platform was asked for it
 *
 * An endpoint that is no longer listed gets no new work; it is removed once it
 * has no requests in flight.
 */
void fleet_set_list (struct fleet *f, const struct fleet_info *list,
		     uint32_t count, uint64_t now_ms, uint64_t age_ms);

/**
 * fleet_apply_delta() - apply a change to the current list
 * @list: entries that were added or changed
 * @removed: endpoints that are no longer listed, of struct load_ep
 * @age_ms: time since the platform was asked for the new list
 *
 * The caller compares fleet_digest() with the digest of the new list to find
 * out whether the delta was made from the list that this table had.
 */
struct load_ep;
void fleet_apply_delta (struct fleet *f, const struct fleet_info *list,
			uint32_t count, const struct load_ep *removed,
			uint32_t removed_count, uint64_t now_ms,
			uint64_t age_ms);

/** fleet_info_digest() - digest of an entry; of cold_remaining_ms, it covers
 * only whether it is 0, and the version not at all */
uint64_t fleet_info_digest (const struct fleet_info *info);

/* Digest of an empty list; 0 stands for no list. */
#define FLEET_DIGEST_EMPTY 1

/** fleet_list_digest() - digest of a list, independent of the order */
uint64_t fleet_list_digest (const struct fleet_info *list, uint32_t count);

/** fleet_digest() - digest of the table's current list */
uint64_t fleet_digest (const struct fleet *f);

/**
 * fleet_list_diff() - compute the delta between two lists
 * @before: array of struct fleet_info with unique ids
 * @after: the same
 * @changed: receives the entries of @after that are new or differ
 * @removed: receives a struct load_ep for each endpoint missing in @after
 */
void fleet_list_diff (const GArray *before, const GArray *after,
		      GArray *changed, GArray *removed);

/**
 * fleet_list_apply() - apply a delta to a list
 *
 * The parameters are those of fleet_apply_delta().
 *
 * Return: a new array of struct fleet_info, to be freed with g_array_free().
 */
GArray *fleet_list_apply (const GArray *before, const struct fleet_info *list,
			  uint32_t count, const struct load_ep *removed,
			  uint32_t removed_count);

/** fleet_set_drained() - set the drained failure domains, an array of char *;
 * their endpoints get no new work */
void fleet_set_drained (struct fleet *f, const GPtrArray *domains);

/** fleet_find() - find an endpoint by id; NULL if there is none */
struct fleet_ep *fleet_find (struct fleet *f, const char *id);

/** fleet_find_hash() - find an endpoint by ep_hash; NULL if there is none */
struct fleet_ep *fleet_find_hash (const struct fleet *f, uint32_t hash);

/** fleet_pool() - find a service's endpoints of one side; NULL if there are
 * none */
struct fleet_pool *fleet_pool (const struct fleet *f, const char *service,
			       enum fleet_side side);

/** fleet_build_pools() - rebuild the pools after fleet_ep.side of some endpoint
 * changed; place_assign_lanes() has to follow */
void fleet_build_pools (struct fleet *f);

/** fleet_usable() - whether an endpoint may get new work: it is listed,
 * healthy, not leaving and not in a drained domain */
bool fleet_usable (const struct fleet *f, const struct fleet_ep *ep,
		   uint64_t now_ms);

/** fleet_is_cold() - whether an endpoint is still warming up and can take only
 * little work */
bool fleet_is_cold (const struct fleet_ep *ep, uint64_t now_ms);

/** fleet_set_cold() - the endpoint reported that it stays cold for @cold_ms;
 * its prefix cache is taken to be empty */
void fleet_set_cold (struct fleet_ep *ep, uint32_t cold_ms, uint64_t now_ms);

/**
 * fleet_suspect() - the endpoint did not answer: stop using it and probe it
 *
 * When the link to a failure domain is cut, each of its endpoints would cost
 * one request the wait for a connection before it is found out.  Therefore,
 * when several endpoints of a domain stopped answering at about the same time
 * and none of the domain was heard since, the rest of the domain becomes
 * suspect too (suspect_by_domain).  A few of them are probed at once, and the
 * first successful probe in the domain clears all of these.
 */
void fleet_suspect (struct fleet *f, struct fleet_ep *ep, uint64_t now_ms);

/**
 * fleet_broke_request() - the endpoint closed a new connection without an
 * answer to the request on it: it is suspect as by fleet_suspect(), and then on
 * trial
 *
 * An endpoint may break every request while its health check succeeds, and a
 * request that may run once is lost with the connection.  On trial, an endpoint
 * gets only requests that may run again, until it answers one of them.
 */
void fleet_broke_request (struct fleet *f, struct fleet_ep *ep,
			  uint64_t now_ms);

/** fleet_answered() - @ep answered a request, which ends its trial */
void fleet_answered (struct fleet_ep *ep);

/** fleet_on_trial() - whether @ep should get only requests that may run again
 */
bool fleet_on_trial (const struct fleet_ep *ep, uint64_t now_ms);

/** fleet_is_reported() - whether peers are told that @ep is suspect */
bool fleet_is_reported (const struct fleet_ep *ep, uint64_t now_ms);

/**
 * fleet_check_silence() - suspect failure domains that fell silent
 * @now_ms: current time
 *
 * Where a link drops packets, nothing fails for a while: requests on open
 * connections get no answer, streams stand still, and new connections time out
 * one by one.  Streams send an event every few milliseconds, so a domain of
 * which several endpoints have work and none sends a byte is suspect, as by
 * fleet_suspect().  To be called several times a second; a call that comes late
 * is skipped, since the process did not read what had arrived.
 *
 * Return: an endpoint of a domain that became suspect now, or NULL.
 */
const struct fleet_ep *fleet_check_silence (struct fleet *f, uint64_t now_ms);

/**
 * fleet_next_stalled() - suspect an endpoint that has been silent under work
 * @now_ms: current time; fleet_check_silence() was called with it
 *
 * An endpoint that sends nothing for FLEET_STALL_MS although it has work may
 * have ended, be unreachable, or go on in a moment.  It gets no new requests
 * and is probed at once; its requests stay where they are.
 *
 * Return: an endpoint that became suspect now, or NULL if there is none left.
 */
struct fleet_ep *fleet_next_stalled (struct fleet *f, uint64_t now_ms);

/** FLEET_STALL_MS - longest silence of an endpoint that is sending a stream.
 * Sound endpoints may be silent for a second or so. */
#define FLEET_STALL_MS 1500

/** FLEET_STALL_PREFILL_MS - the same before the first byte, where it may be
 * prefilling long prompts */
#define FLEET_STALL_PREFILL_MS 2500

/** fleet_is_cut_off() - whether @ep is silent, and either its domain is suspect
 * as a whole and the probes there failed, or it stalled and its own probe
 * failed: what runs there should run elsewhere if it can */
bool fleet_is_cut_off (const struct fleet_ep *ep, uint64_t now_ms);

/** enum fleet_probe - result of a probe */
enum fleet_probe {
	FLEET_PROBE_UNREACHED, /* no connection was made */
	FLEET_PROBE_HEALTHY,
	FLEET_PROBE_UNHEALTHY, /* connected, but no answer or a bad one */
};

/**
 * fleet_probed() - record the result of a probe of a suspect endpoint
 *
 * It is healthy again, or is probed again after a longer pause.  Only probes
 * that reach nothing show that the link to a domain is cut: an endpoint that
 * accepts connections may be silent for a moment and go on.
 */
void fleet_probed (struct fleet *f, struct fleet_ep *ep,
		   enum fleet_probe result, uint64_t now_ms);

/** fleet_heard() - record that bytes of an answer arrived from @ep */
void fleet_heard (struct fleet_ep *ep, uint64_t now_ms);

/** fleet_retire() - stop using an endpoint that ended or whose address belongs
 * to another endpoint now */
void fleet_retire (struct fleet_ep *ep);

/** fleet_outcome() - record whether an answer of @ep was good, and avoid it for
 * a while when its error rate is too high */
void fleet_outcome (struct fleet_ep *ep, bool good, uint64_t now_ms);

/**
 * fleet_cached_tokens() - length of the cached prefix of a prompt at @ep
 * @parts: the prompt's segments in order
 *
 * Return: tokens of the leading segments that @ep is expected to have cached.
 */
struct dia_segment;
uint32_t fleet_cached_tokens (const struct fleet_ep *ep,
			      const struct dia_segment *parts, uint32_t count);

/** fleet_holders() - the endpoints that were sent a segment, an array of struct
 * fleet_ep *; NULL if there are none */
const GPtrArray *fleet_holders (const struct fleet *f, uint64_t segment_id);

/** fleet_forget_segments() - take the endpoint's prefix cache to be empty */
void fleet_forget_segments (struct fleet_ep *ep);

/**
 * fleet_add_segments() - record that @ep was sent a prompt
 * @parts: the prompt's segments
 * @capacity_tokens: size of the endpoint's KV cache; the least recently used
 *	segments beyond a share of it are dropped
 */
void fleet_add_segments (struct fleet_ep *ep, const struct dia_segment *parts,
			 uint32_t count, uint64_t capacity_tokens);

/**
 * fleet_choose_subset() - choose the endpoints whose peer load this relay
 * receives
 *
 * With hundreds of relays and thousands of endpoints, the load of every
 * endpoint can't be sent to every relay.  Up to FLEET_SUBSET_THRESHOLD
 * endpoints are all in the subset.  Of more, each lane gets an equal share of
 * FLEET_SUBSET_SIZE, chosen by a hash of relay and endpoint, so that the
 * subsets of all relays spread evenly and change little when relays or
 * endpoints come and go.  place_assign_lanes() calls it.
 */
void fleet_choose_subset (struct fleet *f);

/** fleet_note_sent() - this relay sends work to @ep: subscribe to its peer load
 * until FLEET_RECENT_MAX other endpoints were sent work */
void fleet_note_sent (struct fleet *f, struct fleet_ep *ep);

/**
 * fleet_subscription() - list the endpoints whose peer load is wanted
 * @out: receives struct load_ep; nothing when all endpoints are in the subset
 *
 * Resets the peer load of the endpoints that are not in the list, and
 * fleet.subscription_changed.
 */
void fleet_subscription (struct fleet *f, GArray *out);

/**
 * fleet_set_peer_loads() - set the load that peer relays have at endpoints
 * @loads: of struct load
 * @is_delta: endpoints not in @loads keep their peer load; otherwise they have
 *	none
 */
struct load;
void fleet_set_peer_loads (struct fleet *f, const struct load *loads,
			   uint32_t count, bool is_delta);

/** fleet_peer_prefill() - prompt tokens that the peers have still to prefill at
 * @ep; the mean over the subset of its pool @p when not subscribed */
uint32_t fleet_peer_prefill (const struct fleet_pool *p,
			     const struct fleet_ep *ep);

/** fleet_peer_running() - requests of the peers at @ep, in the same way */
uint32_t fleet_peer_running (const struct fleet_pool *p,
			     const struct fleet_ep *ep);

/**
 * fleet_add_peer_segments() - record shared segments that peers sent to
 * endpoints
 * @segments: of struct load_segment
 * @capacity_tokens: see fleet_add_segments()
 */
struct load_segment;
void fleet_add_peer_segments (struct fleet *f,
			      const struct load_segment *segments,
			      uint32_t count, uint64_t capacity_tokens,
			      uint64_t now_ms);

/**
 * fleet_announce_due() - whether to announce to the peers that @ep holds a
 * segment that it was just sent
 *
 * A segment is announced again every FLEET_SEGMENT_ANNOUNCE_MS, so that all
 * relays remember those in use.  When the result is true, the segment counts as
 * announced.
 */
bool fleet_announce_due (struct fleet_ep *ep, uint64_t segment_id,
			 uint64_t now_ms);

/** fleet_slowdown() - expected prefill time at @ep over the predicted one */
double fleet_slowdown (const struct fleet *f, const struct fleet_ep *ep);

/** fleet_note_slowdown() - record that a prefill at @ep took @factor times as
 * long as predicted */
void fleet_note_slowdown (struct fleet *f, struct fleet_ep *ep, double factor);

/** fleet_note_stream() - record that a stream held a slot of an engine for
 * @held_ms */
void fleet_note_stream (struct fleet *f, double held_ms);

/** fleet_ready_count() - number of usable endpoints */
uint32_t fleet_ready_count (const struct fleet *f, uint64_t now_ms);

#endif
