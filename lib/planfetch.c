/*
 * Fetching the text of a configuration in chunks.
 */
#include <string.h>

#include "planfetch.h"

void
planfetch_init (struct planfetch *f)
{
	memset (f, 0, sizeof *f);
	f->text = g_byte_array_new ();
	source_init (&f->source);
}

void
planfetch_finish (struct planfetch *f)
{
	g_byte_array_unref (f->text);
}

void
planfetch_reset (struct planfetch *f)
{
	planfetch_finish (f);
	planfetch_init (f);
}

GBytes *
planfetch_take (struct planfetch *f)
{
	GBytes *text = g_byte_array_free_to_bytes (f->text);

	planfetch_init (f);
	return text;
}

void
planfetch_ask (struct planfetch *f, const void *peer, uint64_t now_ms)
{
	source_ask (&f->source, peer, now_ms);
	f->asked_to = f->text->len;
}

bool
planfetch_next (struct planfetch *f, uint64_t *version, uint32_t *offset)
{
	uint32_t under_way = f->asked_to - f->text->len;
	uint32_t window = 1;

	if (f->source.peer == NULL)
		return false;
	if (f->version != 0) {
		if (f->asked_to >= f->text_bytes)
			return false;
		window = CLAMP (PLANFETCH_WINDOW_BYTES / MAX (f->wire_bytes, 1),
				1, PLANFETCH_WINDOW_CHUNKS);
	}
	if (under_way >= window * PLANTEXT_CHUNK_BYTES)
		return false;
	*version = f->version;
	*offset = f->asked_to;
	f->asked_to += PLANTEXT_CHUNK_BYTES;
	return true;
}

static bool
is_sound (const struct plantext_chunk *c)
{
	return c->version != 0 && c->text_bytes <= GSTATE_PLAN_MAX_BYTES &&
	       c->offset % PLANTEXT_CHUNK_BYTES == 0 &&
	       c->offset < c->text_bytes &&
	       c->part_bytes ==
		       MIN (c->text_bytes - c->offset, PLANTEXT_CHUNK_BYTES);
}

/* Whether @c belongs to the transfer, or starts one that takes its place: of a
 * newer version, or of one that has another text. */
static bool
is_awaited (struct planfetch *f, const struct plantext_chunk *c)
{
	if (f->version == c->version && f->digest == c->digest &&
	    f->text_bytes == c->text_bytes)
		return c->offset == f->text->len;
	if (c->offset != 0 || c->version < f->version)
		return false;
	f->version = c->version;
	f->digest = c->digest;
	f->text_bytes = c->text_bytes;
	g_byte_array_set_size (f->text, 0);
	f->asked_to = 0;
	return true;
}

enum planfetch_result
planfetch_receive (struct planfetch *f, const void *from,
		   const struct plantext_chunk *c, uint64_t held,
		   uint32_t wire_bytes, uint64_t now_ms, struct err *e)
{
	if (c->version <= held)
		return PLANFETCH_IGNORED;
	if (!is_sound (c)) {
		err_set (e, ERR_PROTOCOL, "chunk of %u bytes at %u of %u",
			 c->part_bytes, c->offset, c->text_bytes);
		return PLANFETCH_BROKEN;
	}
	if (!is_awaited (f, c))
		return PLANFETCH_IGNORED;
	if (!plantext_append (c, f->text, e)) {
		planfetch_reset (f);
		return PLANFETCH_BROKEN;
	}
	f->asked_to = MAX (f->asked_to, f->text->len);
	f->wire_bytes = wire_bytes;
	source_progress (&f->source, from, now_ms);
	if (f->text->len < f->text_bytes)
		return PLANFETCH_MORE;
	if (plantext_digest (f->text->data, f->text->len) == f->digest)
		return PLANFETCH_WHOLE;
	err_set (e, ERR_PROTOCOL, "text of %u bytes has another digest",
		 f->text_bytes);
	planfetch_reset (f);
	return PLANFETCH_BROKEN;
}
