/*
 * The group's replicated state: the highest configuration version is kept,
 * domains are drained and restored, only the first seal of a window counts, and
 * a snapshot restores the whole state.
 */
#include <string.h>

#include "gstate.h"
#include "t_run.h"

static void
apply (struct gstate *s, uint64_t index, enum gstate_kind kind, const void *cmd)
{
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	gstate_encode (kind, cmd, &buf);
	CU_ASSERT (gstate_apply (s, index, (const uint8_t *)buf.data, buf.size,
				 NULL));
	msgpack_sbuffer_destroy (&buf);
}

static void
put_plan (struct gstate *s, uint64_t index, uint64_t version, const char *text)
{
	struct gstate_plan cmd = {
		version, {(const uint8_t *)text, (uint32_t)strlen (text)}};

	apply (s, index, GSTATE_PLAN, &cmd);
}

static bool
plan_is (const struct gstate *s, uint64_t version, const char *text)
{
	gsize len;
	const char *got = g_bytes_get_data (s->text, &len);

	return s->version == version && len == strlen (text) &&
	       memcmp (got, text, len) == 0;
}

static void
drain (struct gstate *s, uint64_t index, const char *domain, bool out)
{
	struct gstate_drain cmd = {.drained = out};

	g_strlcpy (cmd.domain, domain, sizeof cmd.domain);
	apply (s, index, GSTATE_DRAIN, &cmd);
}

static void
seal (struct gstate *s, uint64_t index, uint64_t number, uint64_t requests)
{
	struct gstate_count c = {"a", requests};
	struct gstate_window w = {number, {&c, 1}};

	apply (s, index, GSTATE_WINDOW, &w);
}

static void
test_versions (void)
{
	struct gstate s;

	gstate_init (&s);
	put_plan (&s, 1, 5, "five");
	put_plan (&s, 2, 5, "other five");
	CU_ASSERT (plan_is (&s, 5, "five"));
	put_plan (&s, 3, 4, "four");
	CU_ASSERT (plan_is (&s, 5, "five"));
	put_plan (&s, 4, 9, "nine");
	CU_ASSERT (plan_is (&s, 9, "nine"));
	gstate_finish (&s);
}

static void
test_snapshot (void)
{
	struct gstate s, t;
	msgpack_sbuffer buf;
	const struct gstate_window *w;

	gstate_init (&s);
	gstate_init (&t);
	put_plan (&s, 1, 7, "seven");
	drain (&s, 2, "north", true);
	drain (&s, 3, "south", true);
	drain (&s, 4, "north", true);
	drain (&s, 5, "south", false);
	seal (&s, 6, 100, 12);
	seal (&s, 7, 100, 13);
	for (uint64_t i = 1; i < 12; i++)
		seal (&s, 7 + i, 100 + i, i);
	msgpack_sbuffer_init (&buf);
	gstate_snapshot (&s, &buf);
	put_plan (&t, 1, 1, "old");
	CU_ASSERT (gstate_restore (&t, buf.data, buf.size, NULL));
	CU_ASSERT (plan_is (&t, 7, "seven"));
	CU_ASSERT (gstate_is_drained (&t, "north") &&
		   !gstate_is_drained (&t, "south"));
	CU_ASSERT (t.drain_index == 5 && t.sealed_window == 111);
	CU_ASSERT (t.windows->len == GSTATE_WINDOWS_KEPT);
	w = g_ptr_array_index (t.windows, t.windows->len - 1);
	CU_ASSERT (w->number == 111 &&
		   ((struct gstate_count *)w->counts.items)->requests == 11);
	CU_ASSERT (!gstate_restore (&t, buf.data, buf.size / 2, NULL));
	msgpack_sbuffer_destroy (&buf);
	gstate_finish (&s);
	gstate_finish (&t);
}

/* A later leader's seal of a window does not replace the first one, so no two
 * reports of the window differ. */
static void
test_seal_once (void)
{
	const struct gstate_window *w;
	struct gstate s;

	gstate_init (&s);
	seal (&s, 1, 50, 10);
	seal (&s, 2, 50, 11);
	CU_ASSERT (s.windows->len == 1);
	w = g_ptr_array_index (s.windows, 0);
	CU_ASSERT (((struct gstate_count *)w->counts.items)->requests == 10);
	CU_ASSERT (!gstate_apply (&s, 3, (const uint8_t *)"\x07x", 2, NULL));
	CU_ASSERT (!gstate_apply (&s, 4, NULL, 0, NULL));
	gstate_finish (&s);
}

/* A new leader does not know what was reported: the newest window goes first,
 * and overdue ones are skipped. */
static void
test_next_report (void)
{
	struct gstate_reported reported = {0};
	struct gstate s;

	gstate_init (&s);
	for (uint64_t i = 0; i < 8; i++)
		seal (&s, 1 + i, 100 + i, 10);
	/* Windows of 5 s, reported up to 10 s after their end: 106 and 107. */
	CU_ASSERT (
		gstate_next_report (&s, &reported, 5000 * 109 + 1, 5000, 10000)
			->number == 107);
	gstate_mark_reported (&reported, 107);
	CU_ASSERT (
		gstate_next_report (&s, &reported, 5000 * 109 - 1, 5000, 10000)
			->number == 106);
	gstate_mark_reported (&reported, 106);
	CU_ASSERT (gstate_next_report (&s, &reported, 5000 * 109 + 1, 5000,
				       10000) == NULL);
	gstate_finish (&s);
}

int
main (void)
{
	static const struct t_case cases[] = {{"versions", test_versions},
					      {"snapshot", test_snapshot},
					      {"seal once", test_seal_once},
					      {"next report", test_next_report},
					      {NULL, NULL}};

	return t_run ("gstate", cases);
}
