/*
 * Timers: a binary heap for each loop, and one timerfd that the loop watches,
 * set to the heap's first deadline.
 */
#include <errno.h>
#include <string.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#include "log.h"
#include "tmr.h"

/**
 * struct tmr_queue - the started timers of one loop
 * @heap: of struct tmr *, the earliest first
 * @set_ms: what the descriptor is set to, 0 where it is not
 * @users: timers that hold a reference
 */
struct tmr_queue {
	h2o_loop_t *loop;
	h2o_socket_t *sock;
	int fd;
	GPtrArray *heap;
	uint64_t set_ms;
	uint32_t users;
	bool firing;
	struct tmr_queue *next;
};

/* A loop holds no pointer for its users, so the queues are found here. */
static struct tmr_queue *queues;

static uint64_t
clock_us (clockid_t id)
{
	struct timespec ts;

	clock_gettime (id, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

/* Deadlines and leases count the time that the machine was suspended, so they
 * are read off the boot clock; the timers' own clock stands still then. */
uint64_t
tmr_now_us (void)
{
	return clock_us (CLOCK_BOOTTIME);
}

uint64_t
tmr_now_ms (void)
{
	return clock_us (CLOCK_BOOTTIME) / 1000;
}

static uint64_t
timer_ms (void)
{
	return clock_us (CLOCK_MONOTONIC) / 1000;
}

uint64_t
tmr_wall_ms (void)
{
	return clock_us (CLOCK_REALTIME) / 1000;
}

static struct tmr *
heap_at (struct tmr_queue *q, uint32_t place)
{
	return g_ptr_array_index (q->heap, place - 1);
}

static void
heap_put (struct tmr_queue *q, uint32_t place, struct tmr *t)
{
	q->heap->pdata[place - 1] = t;
	t->place = place;
}

static void
heap_up (struct tmr_queue *q, struct tmr *t)
{
	uint32_t i = t->place;

	while (i > 1 && heap_at (q, i / 2)->at_ms > t->at_ms) {
		heap_put (q, i, heap_at (q, i / 2));
		i /= 2;
	}
	heap_put (q, i, t);
}

static void
heap_down (struct tmr_queue *q, struct tmr *t)
{
	uint32_t i = t->place;

	for (;;) {
		uint32_t child = 2 * i;

		if (child < q->heap->len &&
		    heap_at (q, child + 1)->at_ms < heap_at (q, child)->at_ms)
			child++;
		if (child > q->heap->len ||
		    heap_at (q, child)->at_ms >= t->at_ms)
			break;
		heap_put (q, i, heap_at (q, child));
		i = child;
	}
	heap_put (q, i, t);
}

static void
heap_remove (struct tmr_queue *q, struct tmr *t)
{
	struct tmr *last = heap_at (q, q->heap->len);
	uint32_t place = t->place;

	g_ptr_array_set_size (q->heap, (gint)q->heap->len - 1);
	t->place = 0;
	if (last == t)
		return;
	heap_put (q, place, last);
	heap_up (q, last);
	heap_down (q, last);
}

/* Set the descriptor to the first deadline. */
static void
queue_set (struct tmr_queue *q)
{
	struct itimerspec its = {0};
	uint64_t at_ms = q->heap->len > 0 ? heap_at (q, 1)->at_ms : 0;

	if (q->firing || at_ms == q->set_ms)
		return;
	its.it_value.tv_sec = (time_t)(at_ms / 1000);
	its.it_value.tv_nsec = (long)(at_ms % 1000) * 1000000;
	if (timerfd_settime (q->fd, TFD_TIMER_ABSTIME, &its, NULL) != 0)
		log_event (LOG_LV_ERROR, "timer", "why=\"%s\"",
			   strerror (errno));
	q->set_ms = at_ms;
}

static void
queue_drop (struct tmr_queue *q)
{
	struct tmr_queue **at = &queues;

	if (--q->users > 0)
		return;
	while (*at != q)
		at = &(*at)->next;
	*at = q->next;
	h2o_socket_close (q->sock);
	g_ptr_array_free (q->heap, TRUE);
	g_free (q);
}

static void
on_timerfd (h2o_socket_t *sock, const char *why)
{
	struct tmr_queue *q = sock->data;
	uint64_t now_ms = timer_ms ();
	uint64_t count;

	(void)why;
	while (read (q->fd, &count, sizeof count) == (ssize_t)sizeof count)
		;
	q->firing = true;
	q->users++;
	while (q->heap->len > 0 && heap_at (q, 1)->at_ms <= now_ms) {
		struct tmr *t = heap_at (q, 1);

		heap_remove (q, t);
		t->cb (t->ctx);
	}
	q->firing = false;
	q->set_ms = 0;
	queue_set (q);
	queue_drop (q);
}

static struct tmr_queue *
queue_get (h2o_loop_t *loop)
{
	struct tmr_queue *q;

	for (q = queues; q != NULL; q = q->next) {
		if (q->loop == loop)
			return q;
	}
	q = g_new0 (struct tmr_queue, 1);
	q->loop = loop;
	q->heap = g_ptr_array_new ();
	q->fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (q->fd < 0)
		g_error ("timerfd_create: %s", strerror (errno));
	q->sock = h2o_evloop_socket_create (loop, q->fd,
					    H2O_SOCKET_FLAG_DONT_READ);
	q->sock->data = q;
	h2o_socket_read_start (q->sock, on_timerfd);
	q->next = queues;
	queues = q;
	return q;
}

void
tmr_init (struct tmr *t, h2o_loop_t *loop, tmr_cb cb, void *ctx)
{
	*t = (struct tmr){.loop = loop, .cb = cb, .ctx = ctx};
}

void
tmr_start (struct tmr *t, uint64_t delay_ms)
{
	struct tmr_queue *q = t->queue;

	if (q == NULL) {
		q = t->queue = queue_get (t->loop);
		q->users++;
	}
	if (t->place != 0)
		heap_remove (q, t);
	/* Not within the turn that started it, so that a callback that starts
	 * its timer again with 0 lets the loop go on. */
	t->at_ms = timer_ms () + MAX (delay_ms, 1);
	g_ptr_array_add (q->heap, t);
	t->place = q->heap->len;
	heap_up (q, t);
	queue_set (q);
}

void
tmr_stop (struct tmr *t)
{
	if (t->place == 0)
		return;
	heap_remove (t->queue, t);
	queue_set (t->queue);
}

void
tmr_finish (struct tmr *t)
{
	tmr_stop (t);
	if (t->queue != NULL)
		queue_drop (t->queue);
	t->queue = NULL;
}
