/*
 * Bounds on what clients make a process hold.
 */
#include <malloc.h>
#include <sys/resource.h>

#include "quota.h"

/* Larger blocks go back to the system when they are freed. */
#define MAPPED_MIN_BYTES (256 << 10)

/* Requests that hold less are not dropped for their bytes. */
#define DROP_MIN_BYTES 4096U

/* Between two moments at which the progress of a request is noted. */
#define MARK_MS 1000

/* A client of which no byte came for this long has stalled: longer than a lost
 * packet takes to be sent again. */
#define STALLED_MS 2000

/* A connection without a byte may be dropped for another one after this time:
 * clients send their request at once, after a round trip. */
#define FRESH_MS 1000

static uint32_t
system_fds (void)
{
	struct rlimit l;

	if (getrlimit (RLIMIT_NOFILE, &l) != 0)
		return 1024;
	return (uint32_t)MIN (l.rlim_cur, 1U << 30);
}

void
quota_init (struct quota *q, uint32_t memory_mb, uint32_t max_fds,
	    uint32_t memory_part, uint32_t fds_part)
{
	uint32_t fds = max_fds > 0 ? max_fds : system_fds ();

	*q = (struct quota){0};
	/* By itself the limit rises with each large block that is freed, up to
	 * 32 MiB, and the blocks below it stay with the process. */
	mallopt (M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
	q->max_bytes = ((uint64_t)(memory_mb > 0 ? memory_mb : QUOTA_MEMORY_MB)
			<< 20) /
		       memory_part;
	q->max_large = q->max_bytes / 2;
	q->max_output = q->max_bytes / 4;
	q->max_conns = MAX (fds, QUOTA_FILES + QUOTA_RESERVED_CONNS * fds_part);
	q->max_conns = (q->max_conns - QUOTA_FILES) / fds_part;
	g_queue_init (&q->fresh);
	g_queue_init (&q->resting);
	g_queue_init (&q->partial);
	g_queue_init (&q->readers);
}

static uint64_t
large_part (uint64_t bytes)
{
	return bytes > QUOTA_LARGE_BYTES ? bytes : 0;
}

static uint64_t
total (const struct quota *q)
{
	return q->input + q->output + (uint64_t)q->conns * QUOTA_CONN_BYTES;
}

/* Bytes a second of the last one to two seconds, 0 where none came in the last
 * STALLED_MS; a younger request is taken to have used a whole second. */
static uint64_t
rate (const struct quota_conn *c, uint64_t now_ms)
{
	uint64_t bytes = c->input - MIN (c->older_input, c->input);

	if (now_ms - c->grown_ms >= STALLED_MS)
		return 0;
	return bytes * 1000 / MAX (now_ms - c->older_ms, MARK_MS);
}

/* The incomplete request with the least progress of those that hold bytes; of
 * two alike, the one that holds more. */
static struct quota_conn *
slowest (const struct quota *q, bool large_only, uint64_t now_ms)
{
	struct quota_conn *found = NULL;
	uint64_t least = 0;

	for (GList *at = q->partial.head; at != NULL; at = at->next) {
		struct quota_conn *c = at->data;
		uint64_t r;

		if (c->input < DROP_MIN_BYTES ||
		    (large_only && large_part (c->input) == 0))
			continue;
		r = rate (c, now_ms);
		if (found == NULL || r < least ||
		    (r == least && c->input > found->input)) {
			found = c;
			least = r;
		}
	}
	return found;
}

static bool
large_exceeded (const struct quota *q, const struct quota_conn *c)
{
	return q->large > q->max_large && q->large > large_part (c->input);
}

static void
drop (struct quota_conn *c, enum quota_why why)
{
	c->q->dropped[why]++;
	c->ops->drop (c, why);
}

/* Whose bytes give way where there are too many in total: the kind that has
 * more than its part. */
static struct quota_conn *
choose_by_bytes (const struct quota *q, uint64_t now_ms, enum quota_why *why)
{
	uint64_t small = q->input - q->large;
	struct quota_conn *c;

	*why = QUOTA_MEMORY;
	if (small <= q->max_bytes - q->max_large - q->max_output) {
		c = slowest (q, true, now_ms);
		if (c != NULL)
			return c;
		*why = QUOTA_OUTPUT;
		if (q->readers.head != NULL)
			return q->readers.head->data;
		*why = QUOTA_MEMORY;
	}
	return slowest (q, false, now_ms);
}

bool
quota_join (struct quota *q, struct quota_conn *c, const struct quota_ops *ops,
	    bool is_reserved, uint64_t now_ms)
{
	uint32_t max = q->max_conns + (is_reserved ? QUOTA_RESERVED_CONNS : 0);

	*c = (struct quota_conn){.ops = ops, .since_ms = now_ms};
	c->link.data = c->reader.data = c;
	while (q->conns >= max) {
		struct quota_conn *fresh =
			q->fresh.head != NULL ? q->fresh.head->data : NULL;
		struct quota_conn *victim = fresh;

		if (fresh == NULL || now_ms - fresh->since_ms < FRESH_MS)
			victim = q->resting.head != NULL ? q->resting.head->data
							 : fresh;
		if (victim == NULL)
			victim = slowest (q, false, now_ms);
		if (victim == NULL && q->partial.head != NULL)
			victim = q->partial.head->data;
		if (victim == NULL) {
			q->refused[QUOTA_CONNECTIONS]++;
			return false;
		}
		drop (victim, QUOTA_CONNECTIONS);
	}
	c->q = q;
	c->queue = &q->fresh;
	g_queue_push_tail_link (c->queue, &c->link);
	q->conns++;
	return true;
}

void
quota_set_state (struct quota_conn *c, enum quota_state state, uint64_t now_ms)
{
	struct quota *q = c->q;

	if (q == NULL || c->state == state)
		return;
	if (c->queue != NULL)
		g_queue_unlink (c->queue, &c->link);
	c->queue = NULL;
	c->state = state;
	c->since_ms = now_ms;
	if (state == QUOTA_RESTING)
		c->queue = &q->resting;
	if (state == QUOTA_PARTIAL) {
		c->queue = &q->partial;
		c->mark_ms = c->older_ms = c->grown_ms = now_ms;
		c->mark_input = c->older_input = 0;
	}
	if (c->queue != NULL)
		g_queue_push_tail_link (c->queue, &c->link);
}

static void
count_input (struct quota_conn *c, uint64_t bytes)
{
	struct quota *q = c->q;

	q->input += bytes;
	q->input -= c->input;
	q->large += large_part (bytes);
	q->large -= large_part (c->input);
	c->input = bytes;
}

static void
note_progress (struct quota_conn *c, uint64_t now_ms)
{
	if (now_ms - c->mark_ms < MARK_MS)
		return;
	c->older_ms = c->mark_ms;
	c->older_input = c->mark_input;
	c->mark_ms = now_ms;
	c->mark_input = c->input;
}

bool
quota_set_input (struct quota_conn *c, uint64_t bytes, uint64_t now_ms)
{
	struct quota *q = c->q;
	bool grows;

	if (q == NULL)
		return true;
	grows = bytes > c->input;
	if (grows && c->state == QUOTA_PARTIAL) {
		note_progress (c, now_ms);
		c->grown_ms = now_ms;
	}
	count_input (c, bytes);
	while (grows && (large_exceeded (q, c) || total (q) > q->max_bytes)) {
		enum quota_why why = QUOTA_MEMORY;
		struct quota_conn *victim =
			large_exceeded (q, c)
				? slowest (q, true, now_ms)
				: choose_by_bytes (q, now_ms, &why);

		if (victim == NULL || victim == c) {
			q->refused[QUOTA_MEMORY]++;
			return false;
		}
		drop (victim, why);
	}
	return true;
}

bool
quota_set_output (struct quota_conn *c, uint64_t bytes, bool progress)
{
	struct quota *q = c->q;
	bool grows;

	if (q == NULL)
		return true;
	grows = bytes > c->output;
	q->output += bytes;
	q->output -= c->output;
	c->output = bytes;
	if (c->is_reader && (bytes == 0 || progress)) {
		g_queue_unlink (&q->readers, &c->reader);
		c->is_reader = false;
	}
	if (bytes > 0 && !c->is_reader) {
		g_queue_push_tail_link (&q->readers, &c->reader);
		c->is_reader = true;
	}
	/* A single answer has all the room. */
	while (grows && q->readers.length > 1 &&
	       (q->output > q->max_output || total (q) > q->max_bytes)) {
		struct quota_conn *victim = q->readers.head->data;

		if (victim == c) {
			q->refused[QUOTA_OUTPUT]++;
			return false;
		}
		drop (victim, QUOTA_OUTPUT);
	}
	return true;
}

bool
quota_fits (const struct quota *q, uint64_t bytes, uint64_t now_ms)
{
	uint64_t room = q->max_large - MIN (q->large, q->max_large);

	if (bytes <= QUOTA_LARGE_BYTES || bytes <= room)
		return true;
	if (q->large == 0)
		return total (q) + bytes <= q->max_bytes;
	for (GList *at = q->partial.head; at != NULL && room < bytes;
	     at = at->next) {
		const struct quota_conn *c = at->data;

		if (rate (c, now_ms) < QUOTA_BODY_RATE)
			room += large_part (c->input);
	}
	return bytes <= room;
}

void
quota_leave (struct quota_conn *c)
{
	struct quota *q = c->q;

	if (q == NULL)
		return;
	count_input (c, 0);
	quota_set_output (c, 0, false);
	if (c->queue != NULL)
		g_queue_unlink (c->queue, &c->link);
	c->queue = NULL;
	q->conns--;
	c->q = NULL;
}

static void
print (GString *out, const char *prefix, const char *name, uint64_t value)
{
	g_string_append_printf (out, "%s_clients_%s %" G_GUINT64_FORMAT "\n",
				prefix, name, value);
}

void
quota_print (const struct quota *q, const char *prefix, GString *out)
{
	print (out, prefix, "connections", q->conns);
	print (out, prefix, "connections_max", q->max_conns);
	print (out, prefix, "bytes", total (q));
	print (out, prefix, "bytes_max", q->max_bytes);
	print (out, prefix, "dropped_memory_total", q->dropped[QUOTA_MEMORY]);
	print (out, prefix, "dropped_connections_total",
	       q->dropped[QUOTA_CONNECTIONS]);
	print (out, prefix, "dropped_unread_total", q->dropped[QUOTA_OUTPUT]);
	print (out, prefix, "refused_memory_total", q->refused[QUOTA_MEMORY]);
	print (out, prefix, "refused_connections_total",
	       q->refused[QUOTA_CONNECTIONS]);
	print (out, prefix, "refused_unread_total", q->refused[QUOTA_OUTPUT]);
	print (out, prefix, "slow_bodies_total", q->slow);
}
