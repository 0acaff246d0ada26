/*
 * Texts of configurations in compressed chunks.
 */
#include <string.h>
#include <xxhash.h>
#include <zlib.h>

#include "plantext.h"

#define COMPRESSION_LEVEL 1

const struct msg_field plantext_chunk_fields[] = {
	MSG_FIELD (1, MSG_U64, struct plantext_chunk, version),
	MSG_FIELD (2, MSG_U64, struct plantext_chunk, digest),
	MSG_FIELD (3, MSG_U32, struct plantext_chunk, text_bytes),
	MSG_FIELD (4, MSG_U32, struct plantext_chunk, offset),
	MSG_FIELD (5, MSG_U32, struct plantext_chunk, part_bytes),
	MSG_FIELD_BYTES (6, struct plantext_chunk, data, PLANTEXT_CHUNK_BYTES),
	MSG_FIELD_END,
};

uint64_t
plantext_digest (const void *text, size_t len)
{
	return XXH3_64bits (text, len);
}

static struct plantext *
text_new (uint64_t version, GBytes *text)
{
	struct plantext *t = g_new0 (struct plantext, 1);
	gsize len;
	const void *data = g_bytes_get_data (text, &len);

	t->version = version;
	t->text = g_bytes_ref (text);
	t->digest = plantext_digest (data, len);
	return t;
}

static void
text_free (struct plantext *t)
{
	if (t == NULL)
		return;
	for (uint32_t i = 0; i < PLANTEXT_CHUNKS_MAX; i++)
		g_bytes_unref (t->chunks[i]);
	g_bytes_unref (t->text);
	g_free (t);
}

/* Returns a part that does not shrink as it is. */
static GBytes *
compress_part (const uint8_t *part, uint32_t len)
{
	uLongf size = len;
	uint8_t *out = g_malloc (len);

	if (compress2 (out, &size, part, len, COMPRESSION_LEVEL) != Z_OK ||
	    size >= len) {
		memcpy (out, part, len);
		size = len;
	}
	return g_bytes_new_take (g_realloc (out, size), size);
}

static bool
text_chunk (struct plantext *t, uint32_t offset, struct plantext_chunk *out)
{
	uint32_t i = offset / PLANTEXT_CHUNK_BYTES;
	gsize len, size;
	const uint8_t *text = g_bytes_get_data (t->text, &len);

	if (offset % PLANTEXT_CHUNK_BYTES != 0 || offset >= len ||
	    len > GSTATE_PLAN_MAX_BYTES)
		return false;
	*out = (struct plantext_chunk){
		.version = t->version,
		.digest = t->digest,
		.text_bytes = (uint32_t)len,
		.offset = offset,
		.part_bytes =
			(uint32_t)MIN (len - offset, PLANTEXT_CHUNK_BYTES),
	};
	if (t->chunks[i] == NULL)
		t->chunks[i] = compress_part (text + offset, out->part_bytes);
	out->data.data = g_bytes_get_data (t->chunks[i], &size);
	out->data.len = (uint32_t)size;
	return true;
}

void
plantext_store_init (struct plantext_store *s)
{
	memset (s, 0, sizeof *s);
}

void
plantext_store_finish (struct plantext_store *s)
{
	for (uint32_t i = 0; i < PLANTEXT_KEPT; i++)
		text_free (s->kept[i]);
	memset (s, 0, sizeof *s);
}

static struct plantext *
store_find (const struct plantext_store *s, uint64_t version)
{
	for (uint32_t i = 0; i < PLANTEXT_KEPT; i++) {
		if (s->kept[i] != NULL && s->kept[i]->version == version)
			return s->kept[i];
	}
	return NULL;
}

/* Replaces the least recently requested text. */
static struct plantext *
store_add (struct plantext_store *s, uint64_t version, GBytes *text)
{
	uint32_t at = 0;

	for (uint32_t i = 1; i < PLANTEXT_KEPT; i++) {
		if (s->kept[at] != NULL &&
		    (s->kept[i] == NULL ||
		     s->kept[i]->asked_ms < s->kept[at]->asked_ms))
			at = i;
	}
	text_free (s->kept[at]);
	s->kept[at] = text_new (version, text);
	return s->kept[at];
}

bool
plantext_store_chunk (struct plantext_store *s, uint64_t version,
		      uint32_t offset, uint64_t newest, GBytes *text,
		      uint64_t now_ms, struct plantext_chunk *out)
{
	struct plantext *t = store_find (s, version);

	if (t == NULL) {
		if (version != newest)
			offset = 0;
		t = store_find (s, newest);
	}
	if (t == NULL && text != NULL)
		t = store_add (s, newest, text);
	if (t == NULL)
		return false;
	t->asked_ms = now_ms;
	return text_chunk (t, offset, out);
}

bool
plantext_append (const struct plantext_chunk *c, GByteArray *text,
		 struct err *e)
{
	guint before = text->len;
	uLongf size = c->part_bytes;

	if (c->part_bytes == 0 || c->part_bytes > PLANTEXT_CHUNK_BYTES ||
	    c->data.len == 0 || c->data.len > c->part_bytes)
		return err_set (e, ERR_PROTOCOL, "chunk of %u bytes for %u",
				c->data.len, c->part_bytes);
	if (c->data.len == c->part_bytes) {
		g_byte_array_append (text, c->data.data, c->data.len);
		return true;
	}
	g_byte_array_set_size (text, before + c->part_bytes);
	if (uncompress (text->data + before, &size, c->data.data,
			c->data.len) == Z_OK &&
	    size == c->part_bytes)
		return true;
	g_byte_array_set_size (text, before);
	return err_set (e, ERR_PROTOCOL, "chunk at %u can't be expanded",
			c->offset);
}
