/*
 * A large configuration is parsed in steps, between which other work of the
 * loop goes on; what comes out is what one go gives.
 */
#include <string.h>

#include "planjob.h"
#include "platform/platform.h"
#include "t_run.h"

#define LARGE_BYTES (3000U << 10)
#define STEP_BYTES (64U << 10)

static h2o_loop_t *loop;

struct outcome {
	struct planjob job;
	struct plan *plan;
	struct err err;
	bool done;
	struct tmr tick;
	uint32_t ticks;
};

static GBytes *
make_text (size_t least_bytes, const char *tail)
{
	GString *s = g_string_new ("{\"version\":7,\"services\":[{\"name\":"
				   "\"s\"}],\"routes\":[");

	for (uint32_t i = 0; s->len < least_bytes; i++)
		g_string_append_printf (
			s,
			"%s{\"name\":\"r%u\",\"host\":\"h\",\"path_prefix\":"
			"\"/%u/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,"
			"\"weighted_backends\":[{\"service\":\"s\",\"weight\":"
			"100}],\"max_attempts\":2}",
			i > 0 ? "," : "", i, i);
	g_string_append (s, "]}");
	g_string_append (s, tail);
	return g_string_free_to_bytes (s);
}

static void
on_done (struct plan *p, const struct err *e, GBytes *text, void *ctx)
{
	struct outcome *o = ctx;

	CU_ASSERT (!o->done && g_bytes_get_size (text) > 0);
	o->plan = p;
	o->err = *e;
	o->done = true;
}

static void
on_tick (void *ctx)
{
	struct outcome *o = ctx;

	o->ticks++;
	tmr_start (&o->tick, 0);
}

static void
run (struct outcome *o, GBytes *text, uint32_t turn_ms)
{
	memset (o, 0, sizeof *o);
	planjob_init (&o->job, loop, &platform_dialect, on_done, o);
	CU_ASSERT (o->job.turn_ms == PLANJOB_TURN_MS);
	o->job.turn_ms = turn_ms;
	tmr_init (&o->tick, loop, on_tick, o);
	tmr_start (&o->tick, 0);
	planjob_start (&o->job, text);
	CU_ASSERT (planjob_is_active (&o->job) == !o->done);
	while (!o->done)
		h2o_evloop_run (loop, 10);
	CU_ASSERT (!planjob_is_active (&o->job));
	tmr_finish (&o->tick);
	planjob_finish (&o->job);
}

static void
test_large (void)
{
	GBytes *text = make_text (LARGE_BYTES, "");
	struct outcome o;

	run (&o, text, 0);
	CU_ASSERT (o.plan != NULL && o.plan->version == 7 &&
		   o.plan->routes->len > 10000);
	/* A turn of the loop between any two steps, each of STEP_BYTES. */
	CU_ASSERT (o.ticks >= LARGE_BYTES / STEP_BYTES);
	plan_unref (o.plan);
	g_bytes_unref (text);
}

static void
test_small (void)
{
	GBytes *text = make_text (1000, "");
	struct outcome o;

	run (&o, text, PLANJOB_TURN_MS);
	CU_ASSERT (o.plan != NULL);
	CU_ASSERT (o.ticks == 0);
	plan_unref (o.plan);
	g_bytes_unref (text);
}

/* What follows the document, wherever the steps end. */
static void
test_tails (void)
{
	for (size_t len = 2 * STEP_BYTES - 300; len < 2 * STEP_BYTES + 300;
	     len += 7) {
		static const struct {
			const char *tail;
			bool good;
		} rows[] = {{"", true},
			    {" \r\n", true},
			    {"x", false},
			    {"  {}", false}};

		for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
			GBytes *text = make_text (len, rows[i].tail);
			struct outcome o;

			run (&o, text, PLANJOB_TURN_MS);
			CU_ASSERT ((o.plan != NULL) == rows[i].good);
			CU_ASSERT (rows[i].good ||
				   o.err.kind == ERR_BAD_REQUEST);
			plan_unref (o.plan);
			g_bytes_unref (text);
		}
	}
}

/* The end and a fault late in the text are found. */
static void
test_bad (void)
{
	GBytes *text = make_text (LARGE_BYTES, "");
	gsize len;
	const char *data = g_bytes_get_data (text, &len);
	GString *same = g_string_new_len (data, (gssize)len - 2);
	struct outcome o;
	GBytes *bad = g_bytes_new (data, len - 1);

	run (&o, bad, PLANJOB_TURN_MS);
	CU_ASSERT (o.plan == NULL && o.err.kind == ERR_BAD_REQUEST);
	g_bytes_unref (bad);
	g_string_append (same, ",{\"name\":\"again\",\"host\":\"h\",\"path_"
			       "prefix\":\"/0/\",\"kind\":\"idempotent\","
			       "\"timeout_ms\":1,\"service\":\"s\"}]}");
	bad = g_string_free_to_bytes (same);
	run (&o, bad, PLANJOB_TURN_MS);
	CU_ASSERT (o.plan == NULL);
	g_bytes_unref (bad);
	g_bytes_unref (text);
}

static void
test_stopped (void)
{
	GBytes *text = make_text (LARGE_BYTES, "");

	for (int turns = 0; turns < 200; turns += 20) {
		struct outcome o = {0};

		planjob_init (&o.job, loop, &platform_dialect, on_done, &o);
		o.job.turn_ms = 0;
		planjob_start (&o.job, text);
		for (int i = 0; i < turns && !o.done; i++)
			h2o_evloop_run (loop, 2);
		planjob_finish (&o.job);
		CU_ASSERT (!planjob_is_active (&o.job));
		plan_unref (o.plan);
	}
	g_bytes_unref (text);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"large", test_large},     {"small", test_small},
		{"tails", test_tails},     {"bad", test_bad},
		{"stopped", test_stopped}, {NULL, NULL}};

	loop = h2o_evloop_create ();
	return t_run ("planjob", cases);
}
