/*
 * Parsing a configuration in steps.
 */
#include "planjob.h"

static void
job_end (struct planjob *j)
{
	struct err e = {0};
	struct plan *p = j->dialect->plan_end (j->reader, &e);
	GBytes *text = j->text;

	j->reader = NULL;
	j->text = NULL;
	j->done (p, &e, text, j->ctx);
	g_bytes_unref (text);
}

static void
on_timer (void *ctx)
{
	struct planjob *j = ctx;
	uint64_t until_ms = tmr_now_ms () + j->turn_ms;

	do {
		if (j->dialect->plan_step (j->reader)) {
			job_end (j);
			return;
		}
	} while (tmr_now_ms () < until_ms);
	tmr_start (&j->tmr, 0);
}

void
planjob_init (struct planjob *j, h2o_loop_t *loop,
	      const struct dialect *dialect,
	      void (*done) (struct plan *p, const struct err *e, GBytes *text,
			    void *ctx),
	      void *ctx)
{
	*j = (struct planjob){.turn_ms = PLANJOB_TURN_MS,
			      .dialect = dialect,
			      .done = done,
			      .ctx = ctx};
	tmr_init (&j->tmr, loop, on_timer, j);
}

void
planjob_finish (struct planjob *j)
{
	struct err e;

	tmr_finish (&j->tmr);
	if (j->reader != NULL)
		plan_unref (j->dialect->plan_end (j->reader, &e));
	g_bytes_unref (j->text);
	j->reader = NULL;
	j->text = NULL;
}

bool
planjob_is_active (const struct planjob *j)
{
	return j->reader != NULL;
}

void
planjob_start (struct planjob *j, GBytes *text)
{
	gsize len;
	const char *data = g_bytes_get_data (text, &len);

	j->text = g_bytes_ref (text);
	j->reader = j->dialect->plan_begin (data, len);
	if (len > PLANJOB_AT_ONCE_BYTES) {
		tmr_start (&j->tmr, 0);
		return;
	}
	while (!j->dialect->plan_step (j->reader))
		;
	job_end (j);
}

struct plan *
planjob_parse (const struct dialect *dialect, const char *text, size_t len,
	       struct err *e)
{
	struct dia_plan_reader *r = dialect->plan_begin (text, len);

	while (!dialect->plan_step (r))
		;
	return dialect->plan_end (r, e);
}
