#ifndef DH_EVS_H
#define DH_EVS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * A stream of server-sent events whose contents are opaque: where events end,
 * and the id of the last one, so that the stream can go on at another endpoint
 * and no event reaches the caller in part, twice, or out of order.
 */

#define EVSTREAM_EVENT_MAX_BYTES (1U << 20)

/** struct evs - one stream; the caller owns the memory */
struct evstream {
	GString *partial;
	int64_t last_id; /* of the last whole event, -1 before any has one */
	uint64_t events;
	uint64_t repeated; /* dropped, since their id was not higher */
};

/** evstream_init() - a stream that goes on after @last_id, -1 for a new one */
void evstream_init (struct evstream *s, int64_t last_id);

/** evstream_finish() - release it */
void evstream_finish (struct evstream *s);

/**
 * evstream_feed() - bytes that arrived
 * @out: whole events are appended as they came
 *
 * Return: false where an event is longer than EVSTREAM_EVENT_MAX_BYTES.
 */
bool evstream_feed (struct evstream *s, const char *data, size_t len,
		    GString *out);

/** evstream_is_partial() - whether an event has begun and not ended */
bool evstream_is_partial (const struct evstream *s);

/** evstream_restart() - another endpoint goes on after last_id */
void evstream_restart (struct evstream *s);

#endif
