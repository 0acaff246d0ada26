#ifndef DH_GSTATE_H
#define DH_GSTATE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <msgpack.h>

#include "err.h"
#include "msg.h"

/*
 * The state that the group of control members replicates for a relay
 * deployment: the newest complete configuration as its operator sent it, the
 * failure domains taken out, and the usage windows sealed last.
 */

#define GSTATE_NAME_BYTES 64
#define GSTATE_DOMAINS_MAX 64
#define GSTATE_PLAN_MAX_BYTES (3U << 20)
#define GSTATE_WINDOWS_KEPT 8
#define GSTATE_ACCOUNTS_MAX 4096

/** enum gstate_kind - first byte of a command; numbers are never reused */
enum gstate_kind {
	GSTATE_PLAN = 1,
	GSTATE_DRAIN = 2,
	GSTATE_WINDOW = 3,
};

/** struct gstate_plan - replace the configuration, if @version is higher */
struct gstate_plan {
	uint64_t version;
	struct msg_bytes text;
};

/** struct gstate_drain - take a failure domain out, or back */
struct gstate_drain {
	char domain[GSTATE_NAME_BYTES];
	bool drained;
};

/** struct gstate_count - requests of one account in one window */
struct gstate_count {
	char account[GSTATE_NAME_BYTES];
	uint64_t requests;
};

/** struct gstate_window - a sealed usage window; the first seal holds */
struct gstate_window {
	uint64_t number;
	struct msg_list counts; /* of struct gstate_count */
};

extern const struct msg_field gstate_plan_fields[];
extern const struct msg_field gstate_drain_fields[];
extern const struct msg_field gstate_count_fields[];
extern const struct msg_field gstate_window_fields[];

/** struct gstate - the state; the caller owns the memory */
struct gstate {
	uint64_t version; /* 0 before the first configuration */
	GBytes *text;
	GPtrArray *drained;     /* of char *, taken out */
	uint64_t drain_index;   /* log index of the last change of @drained */
	uint64_t sealed_window; /* newest sealed window */
	GPtrArray *windows;     /* of struct gstate_window *, oldest first */
};

/** gstate_init() - an empty state */
void gstate_init (struct gstate *s);

/** gstate_finish() - release it */
void gstate_finish (struct gstate *s);

/** gstate_has_counts() - whether a window that is kept holds requests */
bool gstate_has_counts (const struct gstate *s);

/** gstate_is_drained() - whether @domain is taken out */
bool gstate_is_drained (const struct gstate *s, const char *domain);

/**
 * gstate_apply() - apply a committed command
 * @e: ERR_PROTOCOL where it can't be read; the state stays as it is
 */
bool gstate_apply (struct gstate *s, uint64_t index, const uint8_t *data,
		   size_t len, struct err *e);

/** gstate_snapshot() - append the whole state to @out */
void gstate_snapshot (const struct gstate *s, msgpack_sbuffer *out);

/**
 * gstate_restore() - replace the state by a snapshot
 * @e: ERR_CORRUPT
 */
bool gstate_restore (struct gstate *s, const void *data, size_t len,
		     struct err *e);

/**
 * struct gstate_reported - windows that the platform took, as this member knows
 * @numbers: a ring, @next the place of the next one
 */
struct gstate_reported {
	uint64_t numbers[2 * GSTATE_WINDOWS_KEPT];
	uint32_t next;
};

/** gstate_mark_reported() - the platform took window @number */
void gstate_mark_reported (struct gstate_reported *t, uint64_t number);

/**
 * gstate_next_report() - the window to report next
 * @wall_ms: time of day
 * @window_ms: length of a window
 * @late_ms: time after a window's end at which its report is due
 *
 * The newest first: a member that takes over does not know what was told, and
 * the old ones mostly were.  One that is too late is not told again.
 *
 * Return: NULL where there is none.
 */
const struct gstate_window *
gstate_next_report (const struct gstate *s, const struct gstate_reported *t,
		    uint64_t wall_ms, uint64_t window_ms, uint64_t late_ms);

/** gstate_encode() - append a command to @out */
void gstate_encode (enum gstate_kind kind, const void *cmd,
		    msgpack_sbuffer *out);

#endif
