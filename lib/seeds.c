/*
 * Seeds, and when the settings that name them are read again.
 */
#include <string.h>

#include "seeds.h"

void
seeds_peer_addr (const char *seed, uint16_t port, char *out, size_t size)
{
	const char *colon = strrchr (seed, ':');
	int len = colon != NULL ? (int)(colon - seed) : (int)strlen (seed);

	g_snprintf (out, size, "%.*s:%u", len, seed, port);
}

static bool
same_list (const GPtrArray *a, const GPtrArray *b)
{
	if (a->len != b->len)
		return false;
	for (guint i = 0; i < a->len; i++) {
		if (strcmp (a->pdata[i], b->pdata[i]) != 0)
			return false;
	}
	return true;
}

enum seeds_verdict
seeds_reload (const char *file, const struct set_row *rows, void *fresh,
	      GPtrArray **fresh_seeds, GPtrArray **seeds, struct err *e)
{
	enum seeds_verdict v = SEEDS_KEPT;
	GPtrArray *old = *seeds;

	if (set_load (file, rows, fresh, NULL, e)) {
		v = same_list (old, *fresh_seeds) ? SEEDS_SAME : SEEDS_CHANGED;
		*seeds = *fresh_seeds;
		*fresh_seeds = old;
	}
	set_release (rows, fresh);
	return v;
}

static void
start_waiting (struct seeds_watch *w, uint64_t now_ms)
{
	w->out_since_ms = now_ms;
	w->read_at_ms = now_ms + SEEDS_PATIENCE_MS;
	w->pause_ms = SEEDS_PATIENCE_MS;
}

void
seeds_watch_init (struct seeds_watch *w, uint64_t now_ms)
{
	memset (w, 0, sizeof *w);
	start_waiting (w, now_ms);
}

enum seeds_event
seeds_watch_tick (struct seeds_watch *w, bool in_touch, uint64_t now_ms)
{
	bool was_lost = w->out_since_ms != 0 &&
			now_ms >= w->out_since_ms + SEEDS_PATIENCE_MS;

	if (in_touch) {
		w->out_since_ms = 0;
		return was_lost ? SEEDS_IN_TOUCH : SEEDS_QUIET;
	}
	if (w->out_since_ms == 0)
		start_waiting (w, now_ms);
	w->out_ms = now_ms - w->out_since_ms;
	if (now_ms < w->read_at_ms)
		return SEEDS_QUIET;
	if (w->pause_ms == SEEDS_PATIENCE_MS)
		w->lost++;
	w->read_at_ms = now_ms + w->pause_ms;
	w->pause_ms = MIN (2 * w->pause_ms, SEEDS_PAUSE_MAX_MS);
	return SEEDS_OUT_OF_TOUCH;
}
