#ifndef DH_BLAME_PRIV_H
#define DH_BLAME_PRIV_H

#include "blame.h"

/* Shared by the files of the blame module only. */

/** BLAME_RECENT_MS - how long a success speaks for its key */
#define BLAME_RECENT_MS 60000

/** struct blame_strike - an endpoint broke off a request with the key */
struct blame_strike {
	uint64_t at_ms;
	uint32_t ep_hash;
	uint32_t origin;
};

/**
 * struct blame_entry - what is known of a key
 * @strikes: the newest ones since the last success, oldest first
 * @struck_ms: time of the newest strike, kept or not
 * @cleared_ms: time of the newest known success; 0: none
 * @trial_ms: when it was tried last
 * @undecided: this relay tried it last, and no endpoint ran the request
 * @asked_ms: when a request with it was refused here last
 * @wanted_ms: when this relay asked for a trial last
 * @unanswered_ms: when it first did so since the last trial; 0: it did not
 * @granted_ms: of the leader: when it granted a trial last
 * @granted_until_ms: until when this relay may try it
 */
struct blame_entry {
	uint64_t key;
	GList link; /* in blame.order */
	struct blame_strike strikes[BLAME_STRIKES_MAX];
	uint32_t strike_count;
	uint64_t struck_ms;
	uint64_t cleared_ms;
	uint64_t trial_ms;
	uint64_t asked_ms;
	uint64_t wanted_ms;
	uint64_t unanswered_ms;
	uint64_t granted_ms;
	uint64_t granted_until_ms;
	uint8_t trials;
	bool undecided;
	bool barred;
};

/** blame_find_entry() - what is known of @key; NULL: nothing */
struct blame_entry *blame_find_entry (const struct blame *b, uint64_t key);

/** blame_add_news() - report @r to the members at the next occasion */
void blame_add_news (struct blame *b, const struct blame_record *r,
		     uint64_t at_ms);

/** blame_receive_grant() - the leader answers a blame_want() of this relay */
void blame_receive_grant (struct blame *b, const struct blame_record *r,
			  uint64_t now_ms);

/** blame_entry_endpoints() - number of endpoints that struck it */
uint32_t blame_entry_endpoints (const struct blame_entry *e);

/** blame_entry_is_request() - whether its key stands for a whole request */
bool blame_entry_is_request (const struct blame_entry *e);

/** blame_entry_bar_due_ms() - when a whole request is barred unless an answer
 * to it begins before; UINT64_MAX: its strikes are too few */
uint64_t blame_entry_bar_due_ms (const struct blame_entry *e);

/** blame_entry_should_bar() - whether its strikes ask for a bar */
bool blame_entry_should_bar (const struct blame_entry *e, uint64_t now_ms);

/**
 * blame_entry_strike() - add a strike
 *
 * Return: whether it was not known; strikes of one endpoint, or of one event,
 * that differ little are.
 */
bool blame_entry_strike (struct blame_entry *e, uint64_t at_ms,
			 uint32_t ep_hash, uint32_t origin);

/** blame_entry_export() - append what is known of the key to @out */
void blame_entry_export (const struct blame_entry *e, GArray *out,
			 uint64_t now_ms);

/** blame_entry_drop() - forget strikes up to @until_ms */
void blame_entry_drop (struct blame_entry *e, uint64_t until_ms);

/** blame_entry_clear() - a request succeeded; Return: whether others should
 * know */
bool blame_entry_clear (struct blame_entry *e, uint64_t at_ms);

/** blame_entry_tried() - a trial was made; Return: whether it was not known */
bool blame_entry_tried (struct blame_entry *e, uint64_t at_ms, uint8_t trials);

#endif
