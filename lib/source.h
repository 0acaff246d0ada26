#ifndef DH_SOURCE_H
#define DH_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * The one peer that was asked for something that any of several peers holds.
 * Another one is asked when nothing comes from the first, so that two answers
 * never share a narrow link.
 */

/** SOURCE_STALL_MS - another peer is asked when no byte arrived on the link of
 * the first one for this long.  Doubled after each peer that did not answer, up
 * to SOURCE_STALL_MAX_MS */
#define SOURCE_STALL_MS 500
#define SOURCE_STALL_MAX_MS 4000

/** SOURCE_STATES_MAX - a request is taken for lost once the peer sent this many
 * states after it, since it answers before it sends them */
#define SOURCE_STATES_MAX 4

/**
 * struct source - on memory the caller owns
 * @peer: that was asked, or NULL
 * @asked_ms: when it was, or when a part of the answer arrived last
 * @states: states that it sent since
 * @stall_ms: see SOURCE_STALL_MS
 */
struct source {
	const void *peer;
	uint64_t asked_ms;
	uint32_t states;
	uint32_t stall_ms;
};

/** source_init() - nothing is awaited; also once the answer is there */
void source_init (struct source *s);

/** source_ask() - @peer is asked, in place of the one before */
void source_ask (struct source *s, const void *peer, uint64_t now_ms);

/** source_progress() - a part of the answer came from @peer */
void source_progress (struct source *s, const void *peer, uint64_t now_ms);

/** source_note_state() - a state of @peer arrived */
void source_note_state (struct source *s, const void *peer);

/** source_drop() - @peer can't answer any more */
void source_drop (struct source *s, const void *peer);

/**
 * source_is_answering() - whether the peer that was asked may still answer
 * @received_ms: when bytes last arrived on its link; 0: the link is down
 */
bool source_is_answering (const struct source *s, uint64_t received_ms,
			  uint64_t now_ms);

#endif
