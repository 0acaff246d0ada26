#ifndef DH_SIO_H
#define DH_SIO_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>
#include <h2o.h>

/*
 * A stream socket with an output queue, on an h2o loop.  It reads at all
 * times, so that the other side's end is noticed at once, whatever is being
 * written; what arrived stays in the input buffer until it is consumed.
 */

struct sio;

/**
 * struct sio_ops - what the owner is told; each is the last thing that the
 * socket's code does in a turn, so the owner may close it and free it
 * @readable: bytes were added to the input
 * @drained: all that was queued has been handed to the kernel
 * @wrote: the kernel took a part of what was queued, and more is left; may be
 *	NULL
 * @ended: the other side closed (@why is NULL) or the connection failed, also
 *	where the end is read after a write took the error
 * @reads_on: where writing fails, what arrived before is still read, after a
 *	pause too, and then @ended is told; otherwise it is told at once
 */
struct sio_ops {
	void (*readable) (void *ctx);
	void (*drained) (void *ctx);
	void (*wrote) (void *ctx);
	void (*ended) (const char *why, void *ctx);
	bool reads_on;
};

/**
 * struct sio_limits - how fast a silent connection is given up
 * @user_timeout_ms: TCP_USER_TIMEOUT; 0 for the kernel's default
 * @probe_s: seconds of silence before, and between, two keep-alive probes;
 *	0 for none
 * @probe_count: unanswered probes that end the connection; 0 for the default
 */
struct sio_limits {
	uint32_t user_timeout_ms;
	uint32_t probe_s;
	uint32_t probe_count;
};

/** SIO_PROBES_MAX - the most that @probe_count can be */
#define SIO_PROBES_MAX 127

/** struct sio - on memory the caller owns */
struct sio {
	h2o_socket_t *sock; /* NULL once closed */
	const struct sio_ops *ops;
	void *ctx;
	GByteArray *queued;
	GByteArray *flight;
	GByteArray *shared; /* follows @queued; NULL: none */
	uint32_t flight_at; /* bytes of @flight that the kernel took */
	uint32_t part;      /* bytes of it that the kernel is to take now */
	uint32_t part_at;   /* bytes of @part that it took */
	int error;          /* errno that the kernel reported; 0: none */
	size_t told;        /* bytes of the input that the owner was told of */
	bool flight_is_shared;
	struct sio_limits limits;
	bool paused;
};

/** sio_init() - take over @sock and begin to read */
void sio_init (struct sio *s, h2o_socket_t *sock, const struct sio_ops *ops,
	       void *ctx, const struct sio_limits *limits);

/** sio_set_limits() - change the limits of an open connection */
void sio_set_limits (struct sio *s, const struct sio_limits *limits);

/** sio_is_open() - whether it was not closed here */
bool sio_is_open (const struct sio *s);

/** sio_input() - what arrived and was not consumed */
const char *sio_input (const struct sio *s, size_t *len);

/** sio_consume() - drop the first @len bytes of the input */
void sio_consume (struct sio *s, size_t len);

/** sio_is_quiet() - whether nothing has come, neither bytes nor the end, that
 * the loop has not read yet */
bool sio_is_quiet (struct sio *s);

/** sio_pause() - stop reading; sio_resume() reads on */
void sio_pause (struct sio *s);

/** sio_resume() - see sio_pause() */
void sio_resume (struct sio *s);

/** sio_write() - queue bytes; they are copied */
void sio_write (struct sio *s, const void *data, size_t len);

/** sio_write2() - queue two pieces in one go */
void sio_write2 (struct sio *s, const void *a, size_t a_len, const void *b,
		 size_t b_len);

/** sio_write_shared() - queue a block without a copy; it is referenced, and
 * must not change until it is written or the connection is closed */
void sio_write_shared (struct sio *s, GByteArray *block);

/** sio_pending() - queued bytes that the kernel has not taken */
size_t sio_pending (const struct sio *s);

/** sio_held() - bytes of memory that queued data takes, shared blocks apart */
size_t sio_held (const struct sio *s);

/** sio_shut() - end the output; the input stays open */
void sio_shut (struct sio *s);

/** sio_close() - close and release; no callback follows */
void sio_close (struct sio *s);

/** sio_reset() - as sio_close(), by a reset, so that what was sent before
 * can't pass for a whole message */
void sio_reset (struct sio *s);

#endif
