#ifndef DH_WINCOUNT_H
#define DH_WINCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gmsg.h"

/*
 * Requests by usage window and client account: a relay counts them (struct
 * wincount), and each member of the group sums the relays' reports (struct
 * winsum).  The module does no input or output.
 *
 * A report holds totals: of the accounts that changed since the last report on
 * the same link, and of all accounts on a new link.  A report that arrives
 * twice changes nothing, and every member that gets the reports has what it
 * needs to take over as leader.
 */

/** struct wincount - a relay's counts; the caller owns the memory */
struct wincount {
	GPtrArray *windows;  /* of struct wincount_window *, oldest first */
	uint64_t change_seq; /* increases with each counted request */
};

/** wincount_init() - initialise without any counts */
void wincount_init (struct wincount *w);

/** wincount_finish() - release the memory */
void wincount_finish (struct wincount *w);

/** wincount_add() - count a request of @account in window @number */
void wincount_add (struct wincount *w, uint64_t number, const char *account);

/** wincount_drop() - remove the windows up to @sealed, the newest one that is
 * sealed */
void wincount_drop (struct wincount *w, uint64_t sealed);

/** wincount_send_fn - sends a report; returns whether it was sent */
typedef bool (*wincount_send_fn) (const struct gmsg_report *m, void *ctx);

/**
 * wincount_report() - send what changed, in as many reports as it takes
 * @reported: change_seq up to which the receiver has everything, 0 for nothing;
 *	set to the current one when all reports were sent, else to 0
 * @send: called for each report with @ctx
 */
void wincount_report (const struct wincount *w, uint64_t *reported,
		      wincount_send_fn send, void *ctx);

/** struct winsum - a member's sums; the caller owns the memory */
struct winsum {
	GHashTable *relays; /* key to GPtrArray of struct winsum_window * */
	uint64_t sealed;    /* newest sealed window; older ones are dropped */
};

/** winsum_init() - initialise without any reports */
void winsum_init (struct winsum *s);

/** winsum_finish() - release the memory */
void winsum_finish (struct winsum *s);

/**
 * winsum_set_report() - store a relay's report
 * @key: identifies one start of the relay
 * @m: the report; its totals replace earlier ones, and sealed windows are
 *	ignored
 */
void winsum_set_report (struct winsum *s, const char *key,
			const struct gmsg_report *m);

/** winsum_drop() - remove the windows up to @sealed and ignore later reports of
 * them */
void winsum_drop (struct winsum *s, uint64_t sealed);

/** winsum_total() - sum window @number over all relays; returns an array of
 * struct gstate_count, to be freed with g_array_free(); its names are valid
 * until @s changes */
GArray *winsum_total (const struct winsum *s, uint64_t number);

#endif
