#ifndef DH_BLAME_H
#define DH_BLAME_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"

/*
 * Finds requests, and prompt segments, that crash the endpoints that run them.
 * A request that holds such a segment loses its endpoint at whatever relay it
 * arrives, and the other segments of that request are innocent.
 *
 * Each key of a request (its shared segments, and a fingerprint of the whole)
 * is struck where the endpoint broke the connection before the answer began,
 * and cleared where an answer begins.  Strikes without a later clearing bar the
 * key: requests that hold it are refused.  Relays exchange strikes and
 * clearings through the members of their group, which keep the same table.
 * Times travel as ages.
 *
 * A barred key is tried now and then, by one relay at a time, and a few times
 * only if it stands for a whole request.  For those a relay asks the members,
 * and the leader grants each trial to one relay.  Without a leader the relays
 * take turns.
 *
 * Does no I/O; time is passed in.
 */

/** BLAME_KEYS_MAX - most keys of a request */
#define BLAME_KEYS_MAX 33

/** BLAME_RECORDS_MAX - most records in a message */
#define BLAME_RECORDS_MAX 128

/** BLAME_STRIKES_MAX - most strikes kept for a key */
#define BLAME_STRIKES_MAX 16

/** BLAME_ENTRIES_MAX - most keys in a table */
#define BLAME_ENTRIES_MAX 1024

/** enum blame_what - what a record says of its key */
enum blame_what {
	BLAME_STRIKE = 1,  /* an endpoint broke off before an answer began */
	BLAME_CLEAR = 2,   /* an answer began */
	BLAME_TRIAL = 3,   /* a request was sent though the key is barred */
	BLAME_WANTED = 4,  /* a relay asks for the right to try it */
	BLAME_GRANTED = 5, /* the answer of the leader */
};

/**
 * struct blame_record - news of a key
 * @key: see blame_segment_key() and blame_request_key()
 * @what: an enum blame_what; others are ignored
 * @ep_hash: of a strike: hash of the endpoint's id
 * @origin: of a strike, a wanted or a granted trial: hash of the relay's name
 * @age_ms: how long ago it happened
 * @trials: of a trial: how many there were with it
 * @ask_id: of a wanted trial: chosen by the relay; the grant repeats it
 */
struct blame_record {
	uint64_t key;
	uint8_t what;
	uint32_t ep_hash;
	uint32_t origin;
	uint32_t age_ms;
	uint8_t trials;
	uint32_t ask_id;
};

/** blame_record_fields - wire format of struct blame_record */
extern const struct msg_field blame_record_fields[];

/** enum blame_change - a changed belief about a key */
enum blame_change {
	BLAME_BARRED,
	BLAME_CLEARED,       /* it was barred */
	BLAME_EXPIRED,       /* it was barred */
	BLAME_TRIED,         /* a relay sends a request that holds it */
	BLAME_GRANTED_TRIAL, /* the leader lets a relay do so */
};

/** blame_change_name() - "barred", ... */
const char *blame_change_name (enum blame_change change);

/** enum blame_verdict - what becomes of a request */
enum blame_verdict {
	BLAME_SEND,
	BLAME_SEND_AS_TRIAL,
	BLAME_SEND_IF_GRANTED, /* call blame_want() if an endpoint takes it */
	BLAME_WAIT,            /* check again soon: a trial is under way */
	BLAME_REFUSE,
};

/** struct blame_ops - callbacks of the owner; @endpoints: struck so far */
struct blame_ops {
	void (*changed) (uint64_t key, enum blame_change change,
			 uint32_t endpoints, void *ctx);
};

/** struct blame_success - when an answer to a request with @key began last */
struct blame_success {
	uint64_t key;
	uint64_t at_ms;
};

/**
 * struct blame - the table of a relay or member; the caller owns the memory
 * @self: hash of the relay's name; 0: a member, which sends no requests
 * @relay_count: relays that take turns in trials; the owner keeps it up to date
 * @entries: key to struct blame_entry
 * @order: the entries, in the order in which they are looked at where one has
 *	to make room
 * @successes: of a relay: latest own successes, by key
 * @news: of struct blame_news, own news that is not sent yet
 * @barred: number of barred keys
 * @dropped: news left out because too much waited
 * @expired_ms: when expired entries were looked for last
 * @judge_ms: when the next key is barred unless it is answered before
 */
struct blame {
	const struct blame_ops *ops;
	void *ctx;
	uint32_t self;
	uint32_t relay_count;
	GHashTable *entries;
	GQueue order;
	struct blame_success *successes;
	GArray *news;
	uint32_t barred;
	uint64_t dropped;
	uint64_t expired_ms;
	uint64_t judge_ms;
};

/** blame_init() - start with an empty table; @ctx is passed to @ops */
void blame_init (struct blame *b, uint32_t self, const struct blame_ops *ops,
		 void *ctx);

/** blame_finish() - release the memory */
void blame_finish (struct blame *b);

/** blame_segment_key() - key of a prompt segment by its @id */
uint64_t blame_segment_key (uint64_t id);

/** blame_request_key() - key of a whole request */
uint64_t blame_request_key (const char *request_line, const char *account,
			    const void *body, size_t len);

/** blame_key_kind() - "segment" or "request" */
const char *blame_key_kind (uint64_t key);

/**
 * blame_check() - decide on a request before each attempt
 * @keys: its keys
 * @count: number of @keys
 * @culprit: is set to a barred key, unless the verdict is BLAME_SEND
 */
enum blame_verdict blame_check (struct blame *b, const uint64_t *keys,
				uint32_t count, uint64_t *culprit,
				uint64_t now_ms);

/** blame_want() - ask for the trial of a request after BLAME_SEND_IF_GRANTED */
void blame_want (struct blame *b, const uint64_t *keys, uint32_t count,
		 uint64_t now_ms);

/**
 * blame_grant() - of the leader: answer a relay that wants a trial
 * @wanted: its record, which blame_merge() has seen
 * @answer: set to the record for that relay
 *
 * Return: whether it is granted; one relay at a time holds a grant of a key.
 */
bool blame_grant (struct blame *b, const struct blame_record *wanted,
		  struct blame_record *answer, uint64_t now_ms);

/** blame_trial() - a request was sent after BLAME_SEND_AS_TRIAL; Return:
 * whether any of its keys is barred */
bool blame_trial (struct blame *b, const uint64_t *keys, uint32_t count,
		  uint64_t now_ms);

/** blame_trial_undecided() - no endpoint ran the request of a trial; @received:
 * one refused it */
void blame_trial_undecided (struct blame *b, const uint64_t *keys,
			    uint32_t count, bool received);

/** blame_broke() - endpoint @ep_hash broke the connection of a request that was
 * sent to it before an answer began */
void blame_broke (struct blame *b, const uint64_t *keys, uint32_t count,
		  uint32_t ep_hash, uint64_t now_ms);

/** blame_strikes() - strikes of @key that count since it was answered last */
uint32_t blame_strikes (const struct blame *b, uint64_t key);

/** blame_answered() - an answer to a request began */
void blame_answered (struct blame *b, const uint64_t *keys, uint32_t count,
		     uint64_t now_ms);

/**
 * blame_merge() - take over records of another relay or member
 * @fresh: array of struct blame_record, which records that were not known are
 *	appended to; NULL: they aren't needed
 *
 * Records that arrive again, or in another order, change nothing.
 */
void blame_merge (struct blame *b, const struct blame_record *records,
		  uint32_t count, GArray *fresh, uint64_t now_ms);

/** blame_take_news() - move at most BLAME_RECORDS_MAX of the own news to @out,
 * an array of struct blame_record */
void blame_take_news (struct blame *b, GArray *out, uint64_t now_ms);

/** blame_export() - append the whole table to @out, an array of struct
 * blame_record */
void blame_export (const struct blame *b, GArray *out, uint64_t now_ms);

/** BLAME_KEPT_KEYS_MAX - most keys that blame_export_kept() tells, since all of
 * them are written at each change */
#define BLAME_KEPT_KEYS_MAX 64

/** BLAME_KEPT_RECORDS_MAX - most records of them */
#define BLAME_KEPT_RECORDS_MAX (BLAME_KEPT_KEYS_MAX * (BLAME_STRIKES_MAX + 2))

/**
 * blame_export_kept() - append what should outlive all relays and members
 *
 * Barred keys come first, then whole requests, then what was struck last; a key
 * with a single strike is left out.  The same table gives the same order.
 */
void blame_export_kept (const struct blame *b, GArray *out, uint64_t now_ms);

/**
 * blame_restore() - take over what blame_export_kept() gave before a restart
 * @older_ms: time since then
 * @restored: array of struct blame_record, which those are appended to that
 *were taken, with their ages of now
 *
 * Keys with strikes are left alone: what is known of them is newer.
 */
void blame_restore (struct blame *b, const struct blame_record *records,
		    uint32_t count, uint64_t older_ms, GArray *restored,
		    uint64_t now_ms);

/** blame_tick() - bar what is due, drop what is too old */
void blame_tick (struct blame *b, uint64_t now_ms);

#endif
