#ifndef DH_SSE_H
#define DH_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

/*
 * A stream of server-sent events on its way from an endpoint to a caller:
 * counts tokens, knows whether the stream is whole, and where events carry
 * numbers (an "id:" line, or an "x_index" member in their data) puts late ones
 * in order and drops repeated ones.  In a numbered stream what has no number,
 * such as the terminal event, goes out last.
 */

#define SSE_EVENT_MAX_BYTES (256U << 10)
#define SSE_HELD_MAX 256 /* events held back for an earlier one */

/**
 * struct sse - one stream
 * @tokens: data events with content so far, or the usage an event reported
 * @whole: its terminal event has passed
 * @next_id: number of the event expected next, where events carry numbers
 * @dropped: repeated events
 */
struct sse {
	GString *partial;
	GString *tail; /* what has no number, in a numbered stream */
	GTree *held;   /* event number to GString */
	uint32_t tokens;
	uint32_t prompt_tokens; /* by the stream's usage; 0: not said */
	uint32_t dropped;
	uint64_t next_id;
	bool numbered;
	bool whole;
};

/** sse_init() - a stream of which nothing was seen */
void sse_init (struct sse *s);

/** sse_finish() - release */
void sse_finish (struct sse *s);

/**
 * sse_feed() - bytes that arrived
 * @data: the bytes
 * @len: their count
 * @out: whole events, in order, are appended
 * @e: ERR_PROTOCOL where an event is over SSE_EVENT_MAX_BYTES, or too many
 *	are missing
 *
 * Return: false on an error; the stream is to be ended as cut.
 */
bool sse_feed (struct sse *s, const char *data, size_t len, GString *out,
	       struct err *e);

/**
 * sse_end() - the endpoint ended its answer
 * @out: what was kept for the end is appended, where the stream is whole
 *
 * Return: whether the stream ended as it should: terminal event passed,
 * nothing missing, nothing cut in the middle.
 */
bool sse_end (struct sse *s, GString *out);

/**
 * sse_resume() - the endpoint broke; another one goes on from event next_id
 *
 * What was not handed out is forgotten: it comes again.
 */
void sse_resume (struct sse *s);

/**
 * sse_usage() - token counts of a whole answer's "usage" member
 * @prompt: set where the text says so, else left
 * @completion: the same
 *
 * Return: whether there was one.
 */
bool sse_usage (const char *text, size_t len, uint32_t *prompt,
		uint32_t *completion);

#endif
