#ifndef DH_WINCOUNT_H
#define DH_WINCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gmsg.h"

/*
 * Requests that client accounts began, by usage window: as a relay counts them,
 * and as a member of the group sums what relays told.  No input or output.
 *
 * A relay tells totals, of the accounts that changed since the last report on
 * that link, and all on a new one: a report that is told twice changes nothing,
 * and every member that is told knows what a leader needs that takes over.
 */

/** struct wincount - a relay's counts; the caller owns the memory */
struct wincount {
	GPtrArray *windows;  /* of struct wincount_window *, the oldest first */
	uint64_t change_seq; /* counts each change of a count */
};

/** wincount_init() - nothing is counted */
void wincount_init (struct wincount *w);

/** wincount_finish() - release it */
void wincount_finish (struct wincount *w);

/** wincount_add() - one more request of @account in window @number */
void wincount_add (struct wincount *w, uint64_t number, const char *account);

/** wincount_drop() - windows up to @sealed take no more counts */
void wincount_drop (struct wincount *w, uint64_t sealed);

/** wincount_send_fn - how a report is sent; Return: whether it went out */
typedef bool (*wincount_send_fn) (const struct gmsg_report *m, void *ctx);

/**
 * wincount_report() - send what changed, in as many reports as it takes
 * @told: what the receiver was told before, 0 for nothing; moved on where all
 *	went out, else set to 0
 */
void wincount_report (const struct wincount *w, uint64_t *told,
		      wincount_send_fn send, void *ctx);

/** struct winsum - a member's sums; the caller owns the memory */
struct winsum {
	GHashTable *relays; /* key to GPtrArray of struct winsum_window * */
	uint64_t sealed;    /* newest window that was dropped */
};

/** winsum_init() - nothing was told */
void winsum_init (struct winsum *s);

/** winsum_finish() - release it */
void winsum_finish (struct winsum *s);

/** winsum_set_report() - a report of the relay that @key names, one start of it
 */
void winsum_set_report (struct winsum *s, const char *key,
			const struct gmsg_report *m);

/** winsum_drop() - windows up to @sealed are of no more use */
void winsum_drop (struct winsum *s, uint64_t sealed);

/** winsum_total() - the sum over all relays, an array of struct gstate_count;
 * free it with g_array_free() */
GArray *winsum_total (const struct winsum *s, uint64_t number);

#endif
