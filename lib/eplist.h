#ifndef DH_EPLIST_H
#define DH_EPLIST_H

#include <stdint.h>

#include <glib.h>

#include "dialect.h"
#include "h1cli.h"

/*
 * Reads the platform's paged list of endpoints.  The reader keeps no list and
 * does not decide when to read: members of the group and relays have different
 * reasons to do so.
 */

/**
 * struct eplist_ops - called when a read ends
 * @done: the read succeeded.  @list is an array of struct fleet_info, whose
 *	cold_remaining_ms count from the start of the read; the callee frees it;
 *	@skipped is the number of entries left out: invalid, with the id of an
 *	earlier one, or beyond FLEET_LIST_MAX.
 * @failed: the read failed; @why is the reason, for log lines
 */
struct eplist_ops {
	void (*done) (GArray *list, uint32_t skipped, void *ctx);
	void (*failed) (const char *why, void *ctx);
};

/**
 * struct eplist - a reader; the caller owns the memory
 * @host: the platform
 * @dialect: its wire format
 * @ops: callbacks
 * @ctx: passed to them
 * @call: request in progress, or NULL
 * @body: response body of @call
 * @entries: of struct fleet_info, those of the pages read so far
 * @skipped: entries in these pages that were left out
 * @skipped_told: what the log says of them
 * @call_count: requests of the current or the last read
 * @status: HTTP status of the last response
 * @retry_rate_limited: a page whose request was rate limited is requested
 *	again; otherwise the read fails
 * @progress_ms: when the last page arrived, or the read started
 * @page_token: token of the requested page, NULL for the first
 * @tokens: those of the pages of this read, as a set
 * @ids: those of @entries, as a set
 * @retry_at_ms: when a rate limited page is requested again, otherwise 0
 * @started_ms: when the current or the last read started
 */
struct eplist {
	struct h1cli_host *host;
	const struct dialect *dialect;
	const struct eplist_ops *ops;
	void *ctx;
	struct h1cli *call;
	GString *body;
	GArray *entries;
	struct dia_skipped skipped;
	struct dia_skipped skipped_told;
	uint32_t call_count;
	int status;
	bool retry_rate_limited;
	uint64_t progress_ms;
	char *page_token;
	GHashTable *tokens;
	GHashTable *ids;
	uint64_t retry_at_ms;
	uint64_t started_ms;
};

/* Share of the platform's call rate that the reads of one member may use.  The
 * rest is for orders, usage reports, and readers that are cut off from that
 * member. */
#define EPLIST_RATE_SHARE 0.6

/** eplist_init() - prepares a reader of the list at @host */
void eplist_init (struct eplist *l, struct h1cli_host *host,
		  const struct dialect *dialect, const struct eplist_ops *ops,
		  void *ctx);

/** eplist_finish() - cancels a read and releases the reader; called before its
 * host is released */
void eplist_finish (struct eplist *l);

/** eplist_start() - starts a read; none may be in progress */
void eplist_start (struct eplist *l, uint64_t now_ms);

/** eplist_cancel() - cancels a read without a callback */
void eplist_cancel (struct eplist *l);

/** eplist_rate_limited() - whether the last response was a 429 */
bool eplist_rate_limited (const struct eplist *l);

/** eplist_is_running() - whether a read is in progress */
bool eplist_is_running (const struct eplist *l);

/**
 * eplist_interval_ms() - interval between the starts of two reads
 * @min_ms: lower bound, which applies where the list is short
 * @calls_per_s: call rate that the platform accepts from all callers together
 *
 * Return: the interval at which a read with as many requests as the last one
 * stays within EPLIST_RATE_SHARE.
 */
uint64_t eplist_interval_ms (const struct eplist *l, uint64_t min_ms,
			     double calls_per_s);

/** eplist_tick() - requests a rate limited page again, and fails a read that
 * makes no progress */
void eplist_tick (struct eplist *l, uint64_t now_ms);

#endif
