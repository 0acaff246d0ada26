#ifndef DH_PLANFETCH_H
#define DH_PLANFETCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "plantext.h"
#include "source.h"

/*
 * How a relay fetches the text of a configuration from the members of its
 * group: from one member at a time, chunk by chunk, with few chunks under way,
 * so that the answers of several members never share a narrow link.  Another
 * member goes on where the one before stopped.  A version that is being fetched
 * is fetched to its end: newer ones may come faster than a narrow link bears
 * them.
 */

/** PLANFETCH_WINDOW_BYTES - bytes on the wire that are requested ahead; other
 * messages on that link queue behind them */
#define PLANFETCH_WINDOW_BYTES (64U << 10)

/** PLANFETCH_WINDOW_CHUNKS - most chunks that are requested ahead */
#define PLANFETCH_WINDOW_CHUNKS 16

/**
 * struct planfetch - a transfer; the caller owns the memory
 * @version: version being fetched; 0: none, or not yet known
 * @digest: hash of its text
 * @text_bytes: length of its text
 * @text: what of it has arrived
 * @source: member that is asked; set it by planfetch_ask()
 * @asked_to: offset up to which it was asked
 * @wire_bytes: size of the last chunk on the wire
 */
struct planfetch {
	uint64_t version;
	uint64_t digest;
	uint32_t text_bytes;
	GByteArray *text;
	struct source source;
	uint32_t asked_to;
	uint32_t wire_bytes;
};

/** enum planfetch_result - what a chunk did */
enum planfetch_result {
	PLANFETCH_IGNORED, /* not the next one: a duplicate, or outdated */
	PLANFETCH_MORE,    /* more are to be requested */
	PLANFETCH_WHOLE,   /* planfetch.text is complete */
	PLANFETCH_BROKEN,  /* the transfer begins anew */
};

/** planfetch_init() - nothing is being fetched */
void planfetch_init (struct planfetch *f);
void planfetch_finish (struct planfetch *f);

/** planfetch_reset() - drop the transfer */
void planfetch_reset (struct planfetch *f);

/** planfetch_take() - the whole text, after PLANFETCH_WHOLE; nothing is being
 * fetched then */
GBytes *planfetch_take (struct planfetch *f);

/** planfetch_ask() - ask @peer from now on; see planfetch_next() */
void planfetch_ask (struct planfetch *f, const void *peer, uint64_t now_ms);

/**
 * planfetch_next() - the next request to send to the source
 * @version: version to ask for; 0: the newest
 * @offset: offset to ask for
 *
 * Return: whether there is one; the window is full, or all was asked for, else.
 */
bool planfetch_next (struct planfetch *f, uint64_t *version, uint32_t *offset);

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
