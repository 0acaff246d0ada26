#ifndef DH_QUOTA_H
#define DH_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Bounds what all clients of a process make it hold: connections, requests
 * that arrive or run, and answers that wait for their readers.  Listeners of a
 * process share one quota.  Where a bound is exceeded, the owner of the least
 * useful connection is told to drop it.  No I/O; time is passed in.
 *
 * The bytes are divided so that no kind of client takes all of them:
 * - requests that hold more than QUOTA_LARGE_BYTES: at most one half, but a
 *   single one may have all;
 * - answers that wait: at most one quarter;
 * - all other requests: what the former leave, at least one quarter.
 */

/** QUOTA_LARGE_BYTES - ordinary clients send bodies of up to 100 kB */
#define QUOTA_LARGE_BYTES (128U << 10)

/** QUOTA_CONN_BYTES - of a connection without a request: its structures and
 * what the kernel holds for it */
#define QUOTA_CONN_BYTES 4096U

/** QUOTA_FILES - descriptors that are no connections */
#define QUOTA_FILES 200U

/** QUOTA_RESERVED_CONNS - connections beyond the bound for listeners that are
 * not for clients, such as that of readiness checks */
#define QUOTA_RESERVED_CONNS 16U

/** QUOTA_BODY_RATE - bytes a second of a body, below which a request makes no
 * progress.  Clients that share a link of 7.5 Mbit/s have as much with 57
 * uploads at once. */
#define QUOTA_BODY_RATE 16384U

/** QUOTA_MEMORY_MB - memory of a machine whose settings don't state it: more
 * than clients within the limits fill */
#define QUOTA_MEMORY_MB 4096U

/** enum quota_why - what was exceeded */
enum quota_why {
	QUOTA_MEMORY,      /* bytes of requests */
	QUOTA_CONNECTIONS, /* connections */
	QUOTA_OUTPUT,      /* bytes of answers that wait for their readers */
	QUOTA_WHYS,
};

/** enum quota_state - what a connection does */
enum quota_state {
	QUOTA_NEW,     /* no byte has arrived */
	QUOTA_RESTING, /* between two requests */
	QUOTA_PARTIAL, /* a request has begun to arrive */
	QUOTA_BUSY,    /* a request runs, or the connection ends */
};

struct quota_conn;

/** struct quota_ops - the owner of a connection
 * @drop: end the connection, or refuse its incomplete request, at once; it
 *	calls quota_set_input() or quota_leave() before it returns.  It is never
 *	called for the connection whose bytes are being set
 */
struct quota_ops {
	void (*drop) (struct quota_conn *c, enum quota_why why);
};

/** struct quota - on memory the caller owns */
struct quota {
	uint64_t max_bytes, max_large, max_output;
	uint32_t max_conns;
	uint64_t input, large, output; /* bytes held now */
	uint32_t conns;
	GQueue fresh;   /* of struct quota_conn: QUOTA_NEW, oldest first */
	GQueue resting; /* QUOTA_RESTING, the one that rested longest first */
	GQueue partial; /* QUOTA_PARTIAL */
	GQueue readers; /* with answers that wait, longest without a byte first
			 */
	uint64_t dropped[QUOTA_WHYS]; /* told to drop */
	uint64_t refused[QUOTA_WHYS]; /* not let in */
	uint64_t slow;                /* bodies refused for their rate */
};

/** struct quota_conn - a connection; on memory the caller owns */
struct quota_conn {
	struct quota *q;
	const struct quota_ops *ops;
	enum quota_state state;
	GQueue *queue; /* that @link is in; NULL: none */
	GList link;    /* of the queue of its state */
	GList reader;  /* of quota.readers */
	bool is_reader;
	uint64_t since_ms; /* of @state */
	uint64_t input, output;
	uint64_t grown_ms;              /* when @input grew last */
	uint64_t mark_ms, mark_input;   /* a moment of the second before */
	uint64_t older_ms, older_input; /* one a second before */
};

/**
 * quota_init() - derive the bounds from those of the machine, and have the
 * process give large blocks of memory back when they are freed
 * @memory_mb: its memory; 0: QUOTA_MEMORY_MB
 * @max_fds: descriptors of the process; 0: what the system allows
 * @memory_part: the part of the memory that clients may fill is 1 /
 * @memory_part
 * @fds_part: likewise the descriptors, less QUOTA_FILES
 */
void quota_init (struct quota *q, uint32_t memory_mb, uint32_t max_fds,
		 uint32_t memory_part, uint32_t fds_part);

/**
 * quota_join() - count a connection that was accepted
 * @is_reserved: it may be one of the QUOTA_RESERVED_CONNS
 *
 * Another one may be dropped for it.  Return: false where it must be closed; it
 * is not counted then.
 */
bool quota_join (struct quota *q, struct quota_conn *c,
		 const struct quota_ops *ops, bool is_reserved,
		 uint64_t now_ms);

/** quota_leave() - the connection is closed; harmless if that was said */
void quota_leave (struct quota_conn *c);

/** quota_set_state() - say what the connection does from now on */
void quota_set_state (struct quota_conn *c, enum quota_state state,
		      uint64_t now_ms);

/**
 * quota_set_input() - say how many bytes of requests it holds
 *
 * Others may be dropped for them.  Return: false where its own request must be
 * refused.
 */
bool quota_set_input (struct quota_conn *c, uint64_t bytes, uint64_t now_ms);

/**
 * quota_set_output() - say how many bytes of answers wait
 * @progress: the client took some
 *
 * Return: false where the connection must be ended.
 */
bool quota_set_output (struct quota_conn *c, uint64_t bytes, bool progress);

/** quota_fits() - whether a body of @bytes has room, where requests that make
 * no progress give way */
bool quota_fits (const struct quota *q, uint64_t bytes, uint64_t now_ms);

/** quota_print() - append the counters as lines of metrics, each name after
 * @prefix */
void quota_print (const struct quota *q, const char *prefix, GString *out);

#endif
