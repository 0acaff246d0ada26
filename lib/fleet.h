#ifndef DH_FLEET_H
#define DH_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"
#include "plan.h"

/*
 * Endpoints as one relay knows them: who is listed, who may get work now, what
 * this relay has there, and what it learned from answers.  No input or output;
 * time is passed in.
 */

#define FLEET_NAME_BYTES 64
#define FLEET_LIST_MAX 8192

/**
 * struct fleet_info - an endpoint as the platform lists it
 * @id: names one start of it
 * @addr: IP:port
 * @slots: requests it runs at once
 * @leaving: it must get no new work
 * @cold_remaining_ms: how much longer it stays cold
 * @reclaimable: it may be reclaimed
 * @started_ms: wall clock of its start, 0 where not stated
 */
struct fleet_info {
	char id[FLEET_NAME_BYTES];
	char service[FLEET_NAME_BYTES];
	char domain[FLEET_NAME_BYTES];
	char addr[FLEET_NAME_BYTES];
	uint32_t slots;
	uint32_t cold_remaining_ms;
	bool leaving;
	bool reclaimable;
	uint64_t started_ms;
};

extern const struct msg_field fleet_info_fields[];

/* Endpoints up to which a relay is told the loads of all.  It hears of changes
 * only, a fifth of them in one telling, a few times a second: some 2 kB/s. */
#define FLEET_SUBSET_THRESHOLD 256

/* Of more, so many, over all services and lanes. */
#define FLEET_SUBSET_SIZE 192

/* Beside them, those that were sent work last: homes of prompts. */
#define FLEET_RECENT_MAX 48

/* Relays keep the parts that were told last, so those in use are told again: a
 * few times in the ten seconds or so for which a part stays in use. */
#define FLEET_SEGMENT_ANNOUNCE_MS 4000

/** enum fleet_health - whether an endpoint answers */
enum fleet_health {
	FLEET_HEALTHY,
	FLEET_SUSPECT, /* did not answer; to be asked before it gets work */
};

struct fleet;

/** struct fleet_ep - one endpoint */
struct fleet_ep {
	struct fleet *fleet;
	struct fleet_info info;
	uint32_t ep_hash;   /* loads_ep_hash() of its id */
	uint64_t rank_hash; /* hash of its id, for ranks */
	bool listed;
	uint64_t entry_digest; /* of its entry in the list in use; 0: none */
	bool leaving;          /* once so, it stays so until another start */
	uint64_t cold_until_ms;
	enum fleet_health health;
	uint64_t suspect_since_ms; /* since when it is doubted */
	uint64_t last_heard_ms;    /* when bytes of it came last */
	bool suspect_by_domain; /* doubted for its domain, see fleet_suspect()
				 */
	uint64_t probe_at_ms;   /* when a doubted one is asked next */
	uint32_t probe_backoff_ms;
	uint64_t avoid_until_ms;      /* avoided for failed answers */
	double error_rate;            /* share of failed answers, smoothed */
	uint32_t inflight;            /* requests of this relay there */
	double prefill_tokens;        /* prompt tokens of them not yet read */
	uint32_t peer_running;        /* requests of other relays there */
	uint32_t peer_prefill_tokens; /* their prompt tokens not yet read */
	bool peer_suspect;            /* relays of two domains doubt it */
	uint64_t last_sent_ms;        /* when this relay sent it work last */
	uint64_t cold_since_ms;       /* when it was first known to be cold */
	bool in_subset;       /* its load is told, see fleet_choose_subset() */
	bool recent;          /* its load is told since work was sent there */
	bool short_lane;      /* kept for short prompts; see place.h */
	double slowdown;      /* its time over the fleet's, smoothed */
	GHashTable *segments; /* part id to struct fleet_segment */
	GQueue segment_lru;   /* of struct fleet_segment, oldest first */
	double segment_tokens;
	void *owner_data; /* the owner's connections */
};

/** struct fleet_segment - a prompt part that an endpoint was sent */
struct fleet_segment {
	uint64_t id;
	uint32_t tokens;
	uint64_t announced_ms; /* when relays were told last that it is there */
	GList *lru_link;
};

/* The lane of long prompts and that of short ones. */
#define FLEET_LANES 2

/**
 * struct fleet_pool - the endpoints of one service
 * @eps: of struct fleet_ep *; those of the short lane come first, each lane in
 *	the order of seeds
 * @short_count: how many these are
 * @subset: by lane, those whose loads this relay is told; see
 *fleet_choose_subset()
 * @mean_prefill_tokens: mean over @subset
 * @mean_running: the same
 */
struct fleet_pool {
	char service[FLEET_NAME_BYTES];
	GPtrArray *eps;
	guint short_count;
	GPtrArray *subset[FLEET_LANES];
	uint32_t mean_prefill_tokens;
	uint32_t mean_running;
};

/**
 * struct fleet_ops - what the owner is told
 * @added: an endpoint is known from now on
 * @removed: it is forgotten; its memory is freed after the call
 */
struct fleet_ops {
	void (*added) (struct fleet_ep *ep, void *ctx);
	void (*removed) (struct fleet_ep *ep, void *ctx);
};

/** struct fleet - the table; the caller owns the memory */
struct fleet {
	GPtrArray *eps;      /* of struct fleet_ep * */
	uint64_t digest_sum; /* sum over the entries of the list in use */
	GHashTable *by_id;   /* id to struct fleet_ep, unless it was replaced */
	GHashTable *by_hash; /* fleet_ep.name to struct fleet_ep */
	GPtrArray *pools;    /* of struct fleet_pool * */
	GHashTable
		*segment_holders; /* part id to GPtrArray of struct fleet_ep */
	const struct fleet_ops *ops;
	void *ctx;
	GPtrArray *drained_domains; /* domains taken out, of char * */
	GQueue recent;              /* of struct fleet_ep, the newest last */
	uint32_t relay_hash; /* hash of this relay's name; set by the owner */
	uint64_t subset_digest;    /* names the subset that is known; 0: all */
	bool subscription_changed; /* what is to be told, since
				      fleet_subscription() */
	bool want_snapshot; /* what was told of others is not known any more */
	double slowdown;    /* observed reading time over predicted, smoothed */
};

/** fleet_init() - an empty table */
void fleet_init (struct fleet *f, const struct fleet_ops *ops, void *ctx);

/** fleet_finish() - release it */
void fleet_finish (struct fleet *f);

/**
 * fleet_set_list() - take a whole list
 * @age_ms: how old it is
 *
 * One that is no longer listed gets no new work; it is forgotten once it has
 * none.
 */
void fleet_set_list (struct fleet *f, const struct fleet_info *list,
		     uint32_t count, uint64_t now_ms, uint64_t age_ms);

/**
 * fleet_apply_delta() - take what changed since the list in use
 * @list: new entries, and those that changed
 * @gone: endpoints that are no longer listed, of struct load_ep
 *
 * Whether the list is now the one that was meant, fleet_digest() tells.
 */
struct load_ep;
void fleet_apply_delta (struct fleet *f, const struct fleet_info *list,
			uint32_t count, const struct load_ep *gone,
			uint32_t gone_count, uint64_t now_ms, uint64_t age_ms);

/** fleet_info_digest() - of an entry; of its coldness, whether it is cold */
uint64_t fleet_info_digest (const struct fleet_info *info);

/* The stamp of an empty list; 0 stands for none. */
#define FLEET_DIGEST_EMPTY 1

/** fleet_list_digest() - names a list's contents, in whatever order */
uint64_t fleet_list_digest (const struct fleet_info *list, uint32_t count);

/** fleet_digest() - the stamp of the list in use */
uint64_t fleet_digest (const struct fleet *f);

/**
 * fleet_list_diff() - what changed from one list to the next
 * @before: array of struct fleet_info
 * @after: the same; ids are unique in both
 * @changed: receives entries of @after
 * @gone: receives struct load_ep
 */
void fleet_list_diff (const GArray *before, const GArray *after,
		      GArray *changed, GArray *gone);

/** fleet_list_apply() - the list after such changes; free it with
 * g_array_free() */
GArray *fleet_list_apply (const GArray *before, const struct fleet_info *list,
			  uint32_t count, const struct load_ep *gone,
			  uint32_t gone_count);

/** fleet_set_drained() - the domains that are taken out, of char * */
void fleet_set_drained (struct fleet *f, const GPtrArray *domains);

/** fleet_find() - by id, or NULL */
struct fleet_ep *fleet_find (struct fleet *f, const char *id);

/** fleet_find_hash() - by fleet_ep.name, or NULL */
struct fleet_ep *fleet_find_hash (const struct fleet *f, uint32_t name);

/** fleet_pool() - a service's endpoints, or NULL */
struct fleet_pool *fleet_pool (const struct fleet *f, const char *service);

/** fleet_usable() - whether it may get new work at all */
bool fleet_usable (const struct fleet *f, const struct fleet_ep *ep,
		   uint64_t now_ms);

/** fleet_is_cold() - whether it bears little work now */
bool fleet_is_cold (const struct fleet_ep *ep, uint64_t now_ms);

/** fleet_set_cold() - it says that it stays cold for @cold_ms */
void fleet_set_cold (struct fleet_ep *ep, uint32_t cold_ms, uint64_t now_ms);

/**
 * fleet_suspect() - it did not answer
 *
 * The load it answers: the link to a failure domain is cut, and each of its
 * endpoints would be found out by a request that waits for a connection.  Where
 * several of a domain stopped answering and none was heard since, the others
 * are doubted with them; a few are asked at once, and the first answer from
 * the domain clears those that were doubted for it.
 */
void fleet_suspect (struct fleet *f, struct fleet_ep *ep, uint64_t now_ms);

/** fleet_probed() - a question to a doubted one was answered, or not */
void fleet_probed (struct fleet *f, struct fleet_ep *ep, bool well,
		   uint64_t now_ms);

/** fleet_heard() - bytes of an answer came from it */
void fleet_heard (struct fleet_ep *ep, uint64_t now_ms);

/** fleet_retire() - another endpoint has its address, or it ended */
void fleet_retire (struct fleet_ep *ep);

/** fleet_outcome() - an answer of it was good, or failed */
void fleet_outcome (struct fleet_ep *ep, bool good, uint64_t now_ms);

/** fleet_cached_tokens() - tokens at the front of @parts that it was sent
 * before */
struct dia_segment;
uint32_t fleet_cached_tokens (const struct fleet_ep *ep,
			      const struct dia_segment *parts, uint32_t count);

/** fleet_holders() - endpoints that were sent a part, of struct fleet_ep *, or
 * NULL */
const GPtrArray *fleet_holders (const struct fleet *f, uint64_t part);

/** fleet_forget_segments() - it holds none any more */
void fleet_forget_segments (struct fleet_ep *ep);

/** fleet_add_segments() - it was sent @parts; @memory: tokens it holds */
void fleet_add_segments (struct fleet_ep *ep, const struct dia_segment *parts,
			 uint32_t count, uint64_t memory);

/**
 * fleet_choose_subset() - choose the endpoints that this relay knows well
 *
 * The load it answers: hundreds of relays before thousands of endpoints, where
 * the loads of all can't be told to all.  Up to FLEET_SUBSET_THRESHOLD
 * endpoints are all known; of more, each lane's share of FLEET_SUBSET_SIZE, by
 * a hash of relay and endpoint: the relays' choices spread evenly, and change
 * little when relays or endpoints come and go.  place_assign_lanes() calls it.
 */
void fleet_choose_subset (struct fleet *f);

/** fleet_note_sent() - this relay sends work to @ep: its load is to be told
 * from now on, until FLEET_RECENT_MAX others were sent work */
void fleet_note_sent (struct fleet *f, struct fleet_ep *ep);

/** fleet_subscription() - append what is to be told to @out, an array of struct
 * load_ep; nothing where all is known.  What was told of others is forgotten.
 */
void fleet_subscription (struct fleet *f, GArray *out);

/**
 * fleet_set_peer_loads() - what the other relays have at the endpoints
 * @loads: of struct load
 * @changes: endpoints not among @loads have what they had, else nothing
 */
struct load;
void fleet_set_peer_loads (struct fleet *f, const struct load *loads,
			   uint32_t count, bool changes);

/** fleet_peer_prefill() - tokens that others have unread at @ep of @p; the
 * mean of the known ones where it isn't told */
uint32_t fleet_peer_prefill (const struct fleet_pool *p,
			     const struct fleet_ep *ep);

/** fleet_peer_running() - their requests there, in the same way */
uint32_t fleet_peer_running (const struct fleet_pool *p,
			     const struct fleet_ep *ep);

/**
 * fleet_add_peer_segments() - shared parts that other relays sent
 * @parts: of struct load_segment
 * @memory: tokens that an endpoint holds
 */
struct load_segment;
void fleet_add_peer_segments (struct fleet *f, const struct load_segment *parts,
			      uint32_t count, uint64_t memory, uint64_t now_ms);

/**
 * fleet_announce_due() - whether the other relays are to be told that @ep holds
 * a part, which it was just sent
 *
 * Told again every FLEET_SEGMENT_ANNOUNCE_MS, so that all keep what is in use.
 */
bool fleet_announce_due (struct fleet_ep *ep, uint64_t part, uint64_t now_ms);

/** fleet_slowdown() - reading time at @ep over the usual one */
double fleet_slowdown (const struct fleet *f, const struct fleet_ep *ep);

/** fleet_note_slowdown() - reading took @factor times as long as predicted */
void fleet_note_slowdown (struct fleet *f, struct fleet_ep *ep, double factor);

/** fleet_ready_count() - how many endpoints may get work */
uint32_t fleet_ready_count (const struct fleet *f, uint64_t now_ms);

#endif
