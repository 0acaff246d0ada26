#ifndef DH_PLANJOB_H
#define DH_PLANJOB_H

#include <stdbool.h>

#include <glib.h>
#include <h2o.h>

#include "dialect.h"
#include "tmr.h"

/*
 * Parses a configuration beside the other work of a loop: a large one takes
 * longer than heartbeats and streams can wait.
 */

/** PLANJOB_AT_ONCE_BYTES - shorter texts are parsed before planjob_start()
 * returns */
#define PLANJOB_AT_ONCE_BYTES (64U << 10)

/** PLANJOB_TURN_MS - longest time that one turn of the loop parses, plus a
 * step: short enough for heartbeats and the events of streams, long enough that
 * a busy loop needs few turns for a large text */
#define PLANJOB_TURN_MS 40

/** struct planjob - on memory the caller owns */
struct planjob {
	uint32_t turn_ms; /* PLANJOB_TURN_MS */
	const struct dialect *dialect;
	struct tmr tmr;
	GBytes *text;
	struct dia_plan_reader *reader; /* NULL: nothing is being parsed */
	/* Gets the configuration, with its reference, or NULL and the cause;
	 * the text is valid during the call.  It may finish the job. */
	void (*done) (struct plan *p, const struct err *e, GBytes *text,
		      void *ctx);
	void *ctx;
};

/** planjob_init() - prepare @j; see struct planjob for @done */
void planjob_init (struct planjob *j, h2o_loop_t *loop,
		   const struct dialect *dialect,
		   void (*done) (struct plan *p, const struct err *e,
				 GBytes *text, void *ctx),
		   void *ctx);

/** planjob_finish() - stop and release; no callback follows */
void planjob_finish (struct planjob *j);

/** planjob_start() - parse @text; takes a reference.  Not while one is parsed
 */
void planjob_start (struct planjob *j, GBytes *text);

/** planjob_is_active() - whether a text is being parsed */
bool planjob_is_active (const struct planjob *j);

/**
 * planjob_parse() - parse a text in one go
 *
 * Return: the configuration with one reference; NULL with ERR_BAD_REQUEST or
 * ERR_CONFLICT.
 */
struct plan *planjob_parse (const struct dialect *dialect, const char *text,
			    size_t len, struct err *e);

#endif
