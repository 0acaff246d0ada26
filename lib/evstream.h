#ifndef DH_EVSTREAM_H
#define DH_EVSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Splits a stream of server-sent events with opaque contents into whole events
 * and tracks the id of the last one.  With it, a stream can be resumed at
 * another endpoint while the client gets no event in part, twice, or out of
 * order, and none is left out where the streams meet.
 */

/* Longest event that is buffered, in bytes. */
#define EVSTREAM_EVENT_MAX_BYTES (1U << 20)

/** struct evstream - one stream; the caller owns the memory */
struct evstream {
	GString *partial; /* bytes of an event that is not complete yet */
	size_t scanned;   /* of them, known not to end it */
	int64_t last_id;  /* highest id of a whole event; -1 before the first */
	uint64_t events;  /* whole events passed on */
	uint64_t repeated; /* dropped, since their id was not higher */
	bool resuming;   /* no event of the resumed stream was passed on yet */
	bool has_gaps;   /* ids of one endpoint left out numbers */
	bool unnumbered; /* the last event passed on had no id */
};

/** evstream_init() - start a stream that resumes after @last_id; -1 for a new
 * one */
void evstream_init (struct evstream *s, int64_t last_id);

/** evstream_finish() - release the stream's memory */
void evstream_finish (struct evstream *s);

/**
 * evstream_feed() - process bytes that arrived
 * @out: whole events are appended unchanged, except those already passed on
 *
 * Return: false when an event is longer than EVSTREAM_EVENT_MAX_BYTES, or does
 * not follow what another endpoint sent before; @out has the events before it.
 */
bool evstream_feed (struct evstream *s, const char *data, size_t len,
		    GString *out);

/** evstream_is_partial() - whether an event has begun and not ended */
bool evstream_is_partial (const struct evstream *s);

/** evstream_is_whole() - whether the stream may end here: not within an event,
 * and not before an event followed where it was resumed */
bool evstream_is_whole (const struct evstream *s);

/** evstream_restart() - drop a partial event, since another endpoint resumes
 * the stream after last_id */
void evstream_restart (struct evstream *s);

#endif
