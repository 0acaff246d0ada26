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
	f->stall_ms = PLANFETCH_STALL_MS;
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

bool
planfetch_is_coming (const struct planfetch *f, uint64_t received_ms,
		     uint64_t now_ms)
{
	return f->source != NULL && received_ms != 0 &&
	       f->states < PLANFETCH_STATES_MAX &&
	       now_ms < MAX (f->asked_ms, received_ms) + f->stall_ms;
}

void
planfetch_ask (struct planfetch *f, const void *source, uint64_t now_ms)
{
	if (f->source != NULL)
		f->stall_ms = MIN (f->stall_ms * 2, PLANFETCH_STALL_MAX_MS);
	f->source = source;
	f->asked_to = f->text->len;
	f->asked_ms = now_ms;
	f->states = 0;
}

bool
planfetch_next (struct planfetch *f, uint64_t *version, uint32_t *offset)
{
	uint32_t under_way = f->asked_to - f->text->len;
	uint32_t window = 1;

	if (f->source == NULL)
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

void
planfetch_note_state (struct planfetch *f, const void *from)
{
	if (from == f->source)
		f->states++;
}

void
planfetch_drop_source (struct planfetch *f, const void *source)
{
	if (f->source == source)
		f->source = NULL;
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
	f->stall_ms = PLANFETCH_STALL_MS;
	if (from == f->source) {
		f->asked_ms = now_ms;
		f->states = 0;
	}
	if (f->text->len < f->text_bytes)
		return PLANFETCH_MORE;
	if (plantext_digest (f->text->data, f->text->len) == f->digest)
		return PLANFETCH_WHOLE;
	err_set (e, ERR_PROTOCOL, "text of %u bytes has another digest",
		 f->text_bytes);
	planfetch_reset (f);
	return PLANFETCH_BROKEN;
}
