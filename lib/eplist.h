#ifndef DH_EPLIST_H
#define DH_EPLIST_H

#include <stdint.h>

#include <glib.h>

#include "dialect.h"
#include "h1cli.h"

/*
 * Reading the platform's list of endpoints, page by page.  It keeps no list and
 * does not say when to read: members of the group and relays each have their
 * own reasons.
 */

/**
 * struct eplist_ops - how a reading ended
 * @done: the whole list, an array of struct fleet_info that the owner frees;
 *	@skipped entries could not be read
 * @failed: it is not known; @why: for people
 */
struct eplist_ops {
	void (*done) (GArray *list, uint32_t skipped, void *ctx);
	void (*failed) (const char *why, void *ctx);
};

/** struct epl - a reader; the caller owns the memory */
struct eplist {
	struct h1cli_host *host;
	const struct dialect *dialect;
	const struct eplist_ops *ops;
	void *ctx;
	struct h1cli *call; /* NULL where none runs */
	GString *body;
	GArray *entries; /* of struct fleet_info, read so far */
	uint32_t skipped;
	uint32_t call_count; /* that this reading, or the last one, took */
	int status;
	bool retry_rate_limited; /* a page that was refused for the rate is
			 asked for again; else the reading fails */
	uint64_t progress_ms; /* when a page came last, or the reading began */
	char *page_token; /* of the page that is asked for; NULL: the first */
	uint64_t retry_at_ms; /* when it is asked for again; 0: it was not
			       * refused
			       */
	uint64_t started_ms;  /* when the last reading began */
};

/* Of the platform's rate of calls, what readings of one member may use; the
 * rest is for orders, reports and those that read while it is cut off. */
#define EPLIST_RATE_SHARE 0.6

/** eplist_init() - nothing is read yet; @host is the platform's */
void eplist_init (struct eplist *l, struct h1cli_host *host,
		  const struct dialect *dialect, const struct eplist_ops *ops,
		  void *ctx);

/** eplist_finish() - release it; before its host is */
void eplist_finish (struct eplist *l);

/** eplist_start() - begin to read; not while a reading runs */
void eplist_start (struct eplist *l, uint64_t now_ms);

/** eplist_cancel() - end a reading without a word */
void eplist_cancel (struct eplist *l);

/** eplist_rate_limited() - whether the last reading failed for the rate */
bool eplist_rate_limited (const struct eplist *l);

/** eplist_is_running() - whether a reading runs */
bool eplist_is_running (const struct eplist *l);

/**
 * eplist_interval_ms() - from the start of one reading to that of the next
 * @least_ms: where the list is short
 * @calls_per_s: that the platform takes from all
 */
uint64_t eplist_interval_ms (const struct eplist *l, uint64_t least_ms,
			     double calls_per_s);

/** eplist_tick() - give up a reading that takes too long */
void eplist_tick (struct eplist *l, uint64_t now_ms);

#endif
