/*
 * The peer that an answer is awaited from.
 */
#include <glib.h>

#include "source.h"

void
source_init (struct source *s)
{
	*s = (struct source){.stall_ms = SOURCE_STALL_MS};
}

void
source_ask (struct source *s, const void *peer, uint64_t now_ms)
{
	if (s->peer != NULL)
		s->stall_ms = MIN (s->stall_ms * 2, SOURCE_STALL_MAX_MS);
	s->peer = peer;
	s->asked_ms = now_ms;
	s->states = 0;
}

void
source_progress (struct source *s, const void *peer, uint64_t now_ms)
{
	s->stall_ms = SOURCE_STALL_MS;
	if (peer != s->peer)
		return;
	s->asked_ms = now_ms;
	s->states = 0;
}

void
source_note_state (struct source *s, const void *peer)
{
	if (peer == s->peer)
		s->states++;
}

void
source_drop (struct source *s, const void *peer)
{
	if (peer == s->peer)
		s->peer = NULL;
}

bool
source_is_answering (const struct source *s, uint64_t received_ms,
		     uint64_t now_ms)
{
	return s->peer != NULL && received_ms != 0 &&
	       s->states < SOURCE_STATES_MAX &&
	       now_ms < MAX (s->asked_ms, received_ms) + s->stall_ms;
}
