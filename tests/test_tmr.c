/*
 * Timers: order, stopping, and that they follow the monotonic clock.
 */
#include <glib.h>

#include "t_run.h"
#include "tmr.h"

#define TIMERS 40

struct shot {
	struct tmr t;
	GArray *order;
	int id;
	struct tmr *stops; /* when it fires */
};

static void
on_fire (void *ctx)
{
	struct shot *s = ctx;

	g_array_append_val (s->order, s->id);
	if (s->stops != NULL)
		tmr_stop (s->stops);
}

static void
run_for (h2o_loop_t *loop, uint64_t ms)
{
	uint64_t until_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < until_ms)
		h2o_evloop_run (loop, 5);
}

static void
test_order (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	GArray *order = g_array_new (FALSE, FALSE, sizeof (int));
	struct shot shots[TIMERS] = {0};

	for (int i = 0; i < TIMERS; i++) {
		shots[i] = (struct shot){.order = order, .id = i};
		tmr_init (&shots[i].t, loop, on_fire, &shots[i]);
	}
	/* Started in a scattered order; due by their number. */
	for (int i = 0; i < TIMERS; i++) {
		int k = i * 17 % TIMERS;

		tmr_start (&shots[k].t, 10 + 3 * (uint64_t)k);
	}
	shots[5].stops = &shots[20].t;
	tmr_stop (&shots[7].t);
	tmr_start (&shots[8].t, 400); /* later than asked at first */
	run_for (loop, 500);
	CU_ASSERT (order->len == TIMERS - 2);
	for (guint i = 1; i + 1 < order->len; i++)
		CU_ASSERT (g_array_index (order, int, i - 1) <
			   g_array_index (order, int, i));
	CU_ASSERT (g_array_index (order, int, order->len - 1) == 8);
	for (int i = 0; i < TIMERS; i++)
		tmr_finish (&shots[i].t);
	g_array_free (order, TRUE);
}

struct again {
	struct tmr t;
	uint32_t fired;
};

static void
on_again (void *ctx)
{
	struct again *a = ctx;

	if (++a->fired < 5)
		tmr_start (&a->t, 0);
}

/* A timer that starts itself with 0 lets the loop go on in between. */
static void
test_self_start (void)
{
	h2o_loop_t *loop = h2o_evloop_create ();
	struct again a = {0};

	tmr_init (&a.t, loop, on_again, &a);
	tmr_start (&a.t, 0);
	run_for (loop, 100);
	CU_ASSERT (a.fired == 5);
	tmr_finish (&a.t);
}

int
main (void)
{
	static const struct t_case cases[] = {{"order", test_order},
					      {"self start", test_self_start},
					      {NULL, NULL}};

	return t_run ("tmr", cases);
}
