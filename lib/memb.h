#ifndef DH_MEMB_H
#define DH_MEMB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "frame.h"
#include "inv.h"
#include "msg.h"

/*
 * Which entry instances live.  SWIM-style: inside a failure domain each
 * instance probes one other a period, asks others to probe it where it is
 * silent, and spreads what it learns on the probes themselves.  Between
 * domains the two lowest live instances of each exchange the same messages.
 *
 * Pure: datagrams leave through a callback, arrive through memb_receive(), and
 * time is passed in.
 */

#define MEMB_DATAGRAM_BYTES 1400
#define MEMB_UPDATES_MAX 16
#define MEMB_RELAYS_MAX 16
#define MEMB_DOMAINS_MAX 64
#define MEMB_MAC_BYTES 16

/** enum memb_state - in order of precedence at equal incarnation */
enum memb_state {
	MEMB_ALIVE,
	MEMB_SUSPECT, /* silent, or not heard of yet (incarnation 0) */
	MEMB_DEAD,
	MEMB_LEFT,
};

/** enum memb_listed - what the platform's lagging list said last */
enum memb_listed {
	MEMB_NOT_LISTED,
	MEMB_LISTED_LIVE,
	MEMB_LISTED_LEAVING,
};

/** struct memb_peer - what is known of one instance */
struct memb_peer {
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	char addr[INV_NAME_BYTES]; /* IP:port */
	enum memb_state state;
	uint64_t incarnation; /* 0: never heard of */
	enum memb_listed listed;
	uint64_t changed_ms;
	uint64_t suspect_ms;  /* when a suspect is given up; 0: no time set */
	uint32_t spread_left; /* how often its state is still to be sent */
	bool accuse;          /* it is this instance that suspects it */
	bool keep;            /* while the list of instances is renewed */
};

/**
 * struct memb_settings - times and bounds
 * @probe_ms: period of probes
 * @ack_ms: wait for a direct answer before others are asked
 * @helpers: how many others are asked
 * @suspect_ms: from suspicion to death
 * @accuse_ms: period in which one suspect is told so by who suspects it
 * @news_ms: shortest time between two sends of news beside the probes
 * @news_slow_ms: the same, where there is much
 * @repair_ms: shortest time between two answers that hold a part of the view
 * @fanout: to how many such news goes
 * @dead_probe_ms: period in which one dead instance is tried again
 * @between_ms: period of a representative's probes of other domains
 * @updates: updates of others on one datagram, at most MEMB_UPDATES_MAX
 */
struct memb_settings {
	uint32_t probe_ms;
	uint32_t ack_ms;
	uint32_t helpers;
	uint32_t suspect_ms;
	uint32_t accuse_ms;
	uint32_t news_ms;
	uint32_t news_slow_ms;
	uint32_t repair_ms;
	uint32_t fanout;
	uint32_t dead_probe_ms;
	uint32_t between_ms;
	uint32_t updates;
};

/** memb_defaults - see docs/notes/membership.md */
extern const struct memb_settings memb_defaults;

/**
 * struct memb_ops - what membership asks of its owner
 * @send: send a datagram to @to
 * @changed: @p has a new state; @was is the one before
 */
struct memb_ops {
	void (*send) (const struct memb_peer *to, const void *data, size_t len,
		      void *ctx);
	void (*changed) (const struct memb_peer *p, enum memb_state was,
			 void *ctx);
};

/** struct memb_relay - a probe made for another instance */
struct memb_relay {
	uint32_t seq;
	uint32_t for_seq;
	char for_name[INV_NAME_BYTES];
	uint64_t until_ms;
};

/** struct memb_probe - the probe under way */
struct memb_probe {
	char name[INV_NAME_BYTES]; /* "": none */
	uint32_t seq;
	uint64_t ask_ms; /* when others are asked; 0: they were */
	uint64_t end_ms;
};

/** struct memb_domain - when a failure domain was heard of last */
struct memb_domain {
	char name[INV_NAME_BYTES];
	uint64_t heard_ms; /* 0: never */
};

/** struct memb - one instance's view; the caller owns the memory */
struct memb {
	struct memb_settings set;
	const struct memb_ops *ops;
	void *ctx;
	GRand *rand;
	uint8_t key[FRAME_KEY_BYTES];
	char name[INV_NAME_BYTES];
	char domain[INV_NAME_BYTES];
	uint64_t incarnation;
	bool leaving;
	GPtrArray *peers; /* struct memb_peer, by name, without itself */
	GPtrArray *order; /* own domain's peers in the order of probes */
	guint next;       /* in @order */
	struct memb_domain domains[MEMB_DOMAINS_MAX]; /* the others */
	uint32_t domain_count;
	uint32_t accuse_next; /* in @peers */
	uint32_t domain_next; /* whom a representative probes next */
	uint32_t domain_told; /* whose age went out last */
	uint32_t seq;
	struct memb_probe probe;
	struct memb_relay relays[MEMB_RELAYS_MAX];
	uint64_t tick_ms;
	uint64_t probe_due_ms;
	uint64_t dead_due_ms;
	uint64_t accuse_due_ms;
	uint64_t repair_due_ms;
	uint64_t news_due_ms; /* 0: nothing new */
	uint64_t news_ms;     /* when news went out last */
	uint32_t news_burst;  /* sends left at short intervals */
	uint64_t between_due_ms;
};

/**
 * memb_init() - prepare a view that knows nobody
 * @m: the view
 * @set: times and bounds, copied
 * @ops: callbacks; must outlive @m
 * @ctx: passed to them
 * @name: this instance
 * @domain: its failure domain
 * @incarnation: larger after each start, not 0; its wall clock will do
 * @cluster_key: authenticates datagrams
 * @seed: of the jitter and the order of probes
 * @now_ms: monotonic clock, in milliseconds
 */
void memb_init (struct memb *m, const struct memb_settings *set,
		const struct memb_ops *ops, void *ctx, const char *name,
		const char *domain, uint64_t incarnation,
		const uint8_t cluster_key[FRAME_KEY_BYTES], uint32_t seed,
		uint64_t now_ms);

/** memb_finish() - release it */
void memb_finish (struct memb *m);

/** memb_set_peers() - take the instances from an inventory; states are kept */
void memb_set_peers (struct memb *m, const struct inv *inv, uint64_t now_ms);

/**
 * memb_tick() - do what is due
 *
 * Return: when to call again, on the clock of @now_ms.
 */
uint64_t memb_tick (struct memb *m, uint64_t now_ms);

/**
 * memb_receive() - take a datagram
 * @e: ERR_AUTH or ERR_PROTOCOL; the datagram is dropped then
 */
bool memb_receive (struct memb *m, const void *data, size_t len,
		   uint64_t now_ms, struct err *e);

/** memb_listed() - the platform's list says something of an instance */
void memb_listed (struct memb *m, const char *name, enum memb_listed listed,
		  uint64_t now_ms);

/** memb_leave() - say goodbye; from here on this instance answers as left */
void memb_leave (struct memb *m, uint64_t now_ms);

/** memb_find() - an instance, or NULL; never this one */
const struct memb_peer *memb_find (const struct memb *m, const char *name);

/** memb_is_up() - whether work may be given to it: itself, or one alive */
bool memb_is_up (const struct memb *m, const char *name);

/**
 * memb_domain_silent_ms() - how long no instance of a domain was heard of
 *
 * Return: 0 for its own domain; UINT64_MAX where it was never heard of.
 */
uint64_t memb_domain_silent_ms (const struct memb *m, const char *domain,
				uint64_t now_ms);

/** memb_state_name() - "alive", "suspect", "dead" or "left" */
const char *memb_state_name (enum memb_state s);

#endif
