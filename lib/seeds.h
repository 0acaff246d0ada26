#ifndef DH_SEEDS_H
#define DH_SEEDS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "set.h"

/*
 * Seeds: the addresses in the settings at which a process looks for its group,
 * and when it looks at the settings again.  The members that it knew may all be
 * gone by the time it can reach the group again, and the settings then name
 * others.
 */

/**
 * seeds_peer_addr() - where the member with the API address @seed takes links
 * @port: the port of all members' peer listeners
 * @out: filled in, SET_ADDR_BYTES
 */
void seeds_peer_addr (const char *seed, uint16_t port, char *out, size_t size);

/** enum seeds_verdict - outcome of seeds_reload() */
enum seeds_verdict {
	SEEDS_SAME,
	SEEDS_CHANGED,
	SEEDS_KEPT, /* the file can't be used */
};

/**
 * seeds_reload() - take the seeds from a settings file again
 * @file: the file
 * @rows: its table
 * @fresh: an object of that table, all zero; released again
 * @fresh_seeds: its list of seeds
 * @seeds: the list in use; replaced where the file can be used
 * @e: why the file can't be used, see set_load()
 */
enum seeds_verdict seeds_reload (const char *file, const struct set_row *rows,
				 void *fresh, GPtrArray **fresh_seeds,
				 GPtrArray **seeds, struct err *e);

/** enum seeds_event - what seeds_watch_tick() found */
enum seeds_event {
	SEEDS_QUIET,
	SEEDS_OUT_OF_TOUCH, /* for a while now: read the settings */
	SEEDS_IN_TOUCH,     /* again */
};

/**
 * struct seeds_watch - how long a process has been out of touch with its group;
 * the caller owns the memory
 * @out_since_ms: since when, 0: in touch
 * @out_ms: how long it is, or was when it ended
 * @read_at_ms: when the settings are due to be read
 * @pause_ms: until the next time
 * @lost: times that it fell out of touch for SEEDS_PATIENCE_MS or more
 */
struct seeds_watch {
	uint64_t out_since_ms;
	uint64_t out_ms;
	uint64_t read_at_ms;
	uint32_t pause_ms;
	uint64_t lost;
};

/** SEEDS_PATIENCE_MS - the settings are first read after so long out of touch;
 * an election takes less */
#define SEEDS_PATIENCE_MS 2000

/** SEEDS_PAUSE_MAX_MS - and then with pauses that grow up to this */
#define SEEDS_PAUSE_MAX_MS 16000

/** seeds_watch_init() - out of touch since @now_ms */
void seeds_watch_init (struct seeds_watch *w, uint64_t now_ms);

/** seeds_watch_tick() - to be called often; @in_touch: with the group */
enum seeds_event seeds_watch_tick (struct seeds_watch *w, bool in_touch,
				   uint64_t now_ms);

#endif
