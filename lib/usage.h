#ifndef DH_USAGE_H
#define DH_USAGE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "inv.h"
#include "msg.h"
#include "sm.h"

/*
 * Usage at an entry: what each client account used, by window and class.
 * Counts are cumulative within an incarnation.  Every second what changed
 * goes to control as an SM_USAGE command; every 100 ms it goes to one peer,
 * which hands it to control should this entry fall silent.
 *
 * Loss bound: a killed entry loses the counts of requests that finished since
 * its last mirror frame left, USAGE_MIRROR_MS and one turn of the loop; where
 * the peer is lost in the same moment, since the last commit.  Counts are
 * never invented: what is lost is billed to nobody.
 */

#define USAGE_PUSH_MS 1000
#define USAGE_MIRROR_MS 100
#define USAGE_PUSH_ROWS 1024 /* rows in one push or mirror frame */
#define USAGE_RETRY_MS 3000  /* an unanswered push is sent again */
#define USAGE_SILENT_MS 3000 /* a silent peer's counts are handed in */

/** struct usage - this entry's own counts; the caller owns the memory */
struct usage {
	char instance[INV_NAME_BYTES];
	uint64_t incarnation;
	uint32_t window_s;
	uint64_t window_ms;        /* current window; never falls */
	GHashTable *rows;          /* struct usage_row */
	uint64_t closed_before_ms; /* as told to control */
	uint64_t push;             /* number of the last push */
	bool pushing;              /* its answer is missing */
	uint64_t pushed_at_ms;
	uint64_t mirrored_at_ms;
};

/**
 * usage_init() - nothing counted yet
 * @instance: this entry's name
 * @incarnation: larger after each start
 */
void usage_init (struct usage *u, const char *instance, uint64_t incarnation);

/** usage_finish() - release it */
void usage_finish (struct usage *u);

/** usage_set_window() - length of a window, in seconds, from now on */
void usage_set_window (struct usage *u, uint32_t window_s);

/**
 * usage_count() - add to the current window
 * @wall_ms: wall clock
 * @account: client account, "" for open routes
 * @klass: class
 * @n: what to add
 */
void usage_count (struct usage *u, uint64_t wall_ms, const char *account,
		  const char *klass, const struct sm_counts *n);

/**
 * usage_push() - the next SM_USAGE command, where one is due
 * @now_ms: monotonic clock
 * @wall_ms: wall clock
 * @out: receives the packed command
 *
 * Return: its number, for usage_pushed(); 0 where none is due.
 */
uint64_t usage_push (struct usage *u, uint64_t now_ms, uint64_t wall_ms,
		     msgpack_sbuffer *out);

/**
 * usage_pushed() - the answer to a push
 * @push: its number
 * @ok: whether it was committed and taken
 */
void usage_pushed (struct usage *u, uint64_t push, bool ok);

/**
 * usage_mirror() - the next frame for the mirroring peer, where one is due
 *
 * Return: whether there is one; it is taken for sent.
 */
bool usage_mirror (struct usage *u, uint64_t now_ms, uint64_t wall_ms,
		   msgpack_sbuffer *out);

/** usage_mirror_due() - whether usage_mirror() would look for changes now */
bool usage_mirror_due (const struct usage *u, uint64_t now_ms);

/** usage_mirror_again() - another peer, or a new connection: send it all */
void usage_mirror_again (struct usage *u);

/** usage_flushed() - whether control has all that was counted */
bool usage_flushed (const struct usage *u);

/** struct usage_store - what peers mirrored here; the caller owns the memory */
struct usage_store {
	GHashTable *sources; /* struct usage_source */
	uint64_t push;
};

/** usage_store_init() - holds nothing */
void usage_store_init (struct usage_store *s);

/** usage_store_finish() - release it */
void usage_store_finish (struct usage_store *s);

/**
 * usage_store_take() - a mirror frame
 * @e: ERR_PROTOCOL where it is malformed
 */
bool usage_store_take (struct usage_store *s, uint64_t now_ms, const void *body,
		       size_t len, struct err *e);

/**
 * usage_store_push() - the next SM_USAGE command for a peer that fell silent
 * or came back as a new incarnation, where one is due
 *
 * It does no harm where the peer lives: merging is by maximum.
 *
 * Return: its number, for usage_store_pushed(); 0 where none is due.
 */
uint64_t usage_store_push (struct usage_store *s, uint64_t now_ms,
			   uint64_t wall_ms, msgpack_sbuffer *out);

/** usage_store_pushed() - the answer to a push of the store */
void usage_store_pushed (struct usage_store *s, uint64_t push, bool ok);

#endif
