#ifndef DH_PLANFETCH_H
#define DH_PLANFETCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "plantext.h"

/*
 * How a relay fetches the text of a configuration from the members of its
 * group: from one member at a time, chunk by chunk, with few chunks under way,
 * so that the answers of several members never share a narrow link.  Another
 * member is asked when nothing comes from the first one, and goes on where that
 * stopped.  A version that is being fetched is fetched to its end: newer ones
 * may come faster than a narrow link bears them.
 */

/** PLANFETCH_WINDOW_BYTES - bytes on the wire that are asked for at a time;
 * what a member sends besides waits for so many */
#define PLANFETCH_WINDOW_BYTES (64U << 10)

/** PLANFETCH_WINDOW_CHUNKS - the same in chunks, however small */
#define PLANFETCH_WINDOW_CHUNKS 16

/** PLANFETCH_STALL_MS - another member is asked when nothing came on the link
 * of the first one for so long; twice as long after each one that was asked in
 * vain, up to PLANFETCH_STALL_MAX_MS */
#define PLANFETCH_STALL_MS 500
#define PLANFETCH_STALL_MAX_MS 4000

/** PLANFETCH_STATES_MAX - so many states that a member sent after a request
 * stand for a lost one, since it answers before it sends them */
#define PLANFETCH_STATES_MAX 4

/**
 * struct planfetch - a transfer; the caller owns the memory
 * @version: version being fetched; 0: none, or not yet known
 * @digest: hash of its text
 * @text_bytes: length of its text
 * @text: what of it has arrived
 * @source: member that is asked, or NULL
 * @asked_to: offset up to which it was asked
 * @wire_bytes: size of the last chunk on the wire
 * @asked_ms: when it was asked, or a chunk arrived last
 * @states: states that it sent since
 * @stall_ms: see PLANFETCH_STALL_MS
 */
struct planfetch {
	uint64_t version;
	uint64_t digest;
	uint32_t text_bytes;
	GByteArray *text;
	const void *source;
	uint32_t asked_to;
	uint32_t wire_bytes;
	uint64_t asked_ms;
	uint32_t states;
	uint32_t stall_ms;
};

/** enum planfetch_result - what a chunk did */
enum planfetch_result {
	PLANFETCH_IGNORED, /* it was not waited for */
	PLANFETCH_MORE,    /* more are to be requested */
	PLANFETCH_WHOLE,   /* planfetch.text is complete */
	PLANFETCH_BROKEN,  /* the transfer begins anew */
};

/** planfetch_init() - nothing is being fetched */
void planfetch_init (struct planfetch *f);
void planfetch_finish (struct planfetch *f);

/** planfetch_reset() - drop the transfer */
void planfetch_reset (struct planfetch *f);

/**
 * planfetch_is_coming() - whether the member that was asked may still answer
 * @received_ms: when bytes last arrived on its link; 0: the link is down
 */
bool planfetch_is_coming (const struct planfetch *f, uint64_t received_ms,
			  uint64_t now_ms);

/** planfetch_ask() - ask @source from now on; see planfetch_next() */
void planfetch_ask (struct planfetch *f, const void *source, uint64_t now_ms);

/**
 * planfetch_next() - the next request to send to the source
 * @version: version to ask for; 0: the newest
 * @offset: offset to ask for
 *
 * Return: whether there is one; the window is full, or all was asked for, else.
 */
bool planfetch_next (struct planfetch *f, uint64_t *version, uint32_t *offset);

/** planfetch_note_state() - a state of @from arrived */
void planfetch_note_state (struct planfetch *f, const void *from);

/** planfetch_drop_source() - @source can't be asked any more */
void planfetch_drop_source (struct planfetch *f, const void *source);

/**
 * planfetch_receive() - take a chunk
 * @from: member that sent it
 * @held: version in use; older ones are ignored
 * @wire_bytes: size of its frame
 * @e: with PLANFETCH_BROKEN, ERR_PROTOCOL with the cause
 */
enum planfetch_result planfetch_receive (struct planfetch *f, const void *from,
					 const struct plantext_chunk *c,
					 uint64_t held, uint32_t wire_bytes,
					 uint64_t now_ms, struct err *e);

#endif
