#ifndef DH_PLANTEXT_H
#define DH_PLANTEXT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gstate.h"
#include "msg.h"

/*
 * The text of a configuration in chunks, as members send it to relays.  Each
 * chunk is compressed by itself, so a transfer that was broken off goes on at
 * its offset, at any member that holds the version, and small messages pass
 * between two chunks.
 */

/** PLANTEXT_CHUNK_BYTES - text in a chunk, before compression; all but the last
 * are full, and offsets are multiples of it */
#define PLANTEXT_CHUNK_BYTES (64U << 10)

/** PLANTEXT_CHUNKS_MAX - chunks of the longest text */
#define PLANTEXT_CHUNKS_MAX                                                    \
	((GSTATE_PLAN_MAX_BYTES + PLANTEXT_CHUNK_BYTES - 1) /                  \
	 PLANTEXT_CHUNK_BYTES)

/**
 * struct plantext_chunk - part of a configuration's text (FRAME_GROUP_CHUNK)
 * @version: its version
 * @digest: hash of the whole text
 * @text_bytes: length of the whole text
 * @offset: where the part starts
 * @part_bytes: its length
 * @data: the part, compressed unless it has @part_bytes
 */
struct plantext_chunk {
	uint64_t version;
	uint64_t digest;
	uint32_t text_bytes;
	uint32_t offset;
	uint32_t part_bytes;
	struct msg_bytes data;
};

extern const struct msg_field plantext_chunk_fields[];

/** PLANTEXT_KEPT - versions whose text a member keeps: the newest, and older
 * ones that relays are still fetching */
#define PLANTEXT_KEPT 4

/** struct plantext - a text and the chunks that were made of it */
struct plantext {
	uint64_t version;
	uint64_t digest;
	GBytes *text;
	GBytes *chunks[PLANTEXT_CHUNKS_MAX]; /* NULL: not asked for yet */
	uint64_t asked_ms;
};

/** struct plantext_store - the texts that a member sends; the caller owns the
 * memory */
struct plantext_store {
	struct plantext *kept[PLANTEXT_KEPT]; /* NULL: unused */
};

/** plantext_store_init() - no text is kept */
void plantext_store_init (struct plantext_store *s);
void plantext_store_finish (struct plantext_store *s);

/**
 * plantext_store_chunk() - the chunk to send for a request
 * @version: version that is wanted; the newest is sent in place of one that is
 *	not kept, from its start
 * @offset: where the chunk starts
 * @newest: version of @text
 * @text: the newest text
 * @out: filled in; it points into the store until the next call
 *
 * Return: whether there is such a chunk.
 */
bool plantext_store_chunk (struct plantext_store *s, uint64_t version,
			   uint32_t offset, uint64_t newest, GBytes *text,
			   uint64_t now_ms, struct plantext_chunk *out);

/**
 * plantext_append() - append the part in @c to @text
 * @e: ERR_PROTOCOL where its data don't hold @part_bytes
 */
bool plantext_append (const struct plantext_chunk *c, GByteArray *text,
		      struct err *e);

/** plantext_digest() - hash of a whole text */
uint64_t plantext_digest (const void *text, size_t len);

#endif
