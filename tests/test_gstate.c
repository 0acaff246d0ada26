/*
 * The group's replicated state: the highest configuration version is kept,
 * domains are drained and restored, only the first seal of a window counts,
 * rollouts neither start twice nor revert, and a snapshot restores the whole
 * state.
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

static void
start_rollout (struct gstate *s, uint64_t index, const char *target,
	       uint64_t duration_ms, uint64_t wall_ms)
{
	struct gstate_rollout_start cmd = {.service = "svc",
					   .duration_ms = duration_ms,
					   .wall_ms = wall_ms,
					   .repeat_ms = 7000};

	g_strlcpy (cmd.target, target, sizeof cmd.target);
	apply (s, index, GSTATE_ROLLOUT_START, &cmd);
}

static void
set_rollout (struct gstate *s, uint64_t index, uint64_t id,
	     enum rollout_state state)
{
	struct gstate_rollout_state cmd = {id, state};

	apply (s, index, GSTATE_ROLLOUT_STATE, &cmd);
}

/* A start request that is sent again must not start a second rollout, neither
 * while the first runs nor shortly after its end; a later one must. */
static void
test_rollout_start (void)
{
	struct gstate s;

	gstate_init (&s);
	CU_ASSERT (gstate_rollout (&s, "svc") == NULL);
	start_rollout (&s, 10, "v2", 3000, 100000);
	start_rollout (&s, 11, "v2", 3000, 104000);
	start_rollout (&s, 12, "v3", 3000, 104000);
	CU_ASSERT (s.rollouts->len == 1 &&
		   gstate_rollout (&s, "svc")->id == 10);
	set_rollout (&s, 13, 10, ROLLOUT_ROLLED_BACK);
	start_rollout (&s, 14, "v2", 3000, 106999);
	CU_ASSERT (gstate_rollout (&s, "svc")->id == 10);
	CU_ASSERT (gstate_rollout (&s, "svc")->state == ROLLOUT_ROLLED_BACK);
	start_rollout (&s, 15, "v2", 3000, 107000);
	CU_ASSERT (s.rollouts->len == 1 &&
		   gstate_rollout (&s, "svc")->id == 15);
	CU_ASSERT (gstate_rollout (&s, "svc")->state == ROLLOUT_RUNNING);
	gstate_finish (&s);
}

/* A state that was answered must not revert, whichever commands of an earlier
 * leader are applied later. */
static void
test_rollout_final (void)
{
	static const struct {
		enum rollout_state to, then;
	} steps[] = {
		{ROLLOUT_SUCCEEDED, ROLLOUT_RUNNING},
		{ROLLOUT_SHIFTING, ROLLOUT_SHIFTING},
		{ROLLOUT_RUNNING, ROLLOUT_SHIFTING},
		{ROLLOUT_SUCCEEDED, ROLLOUT_SUCCEEDED},
		{ROLLOUT_ROLLED_BACK, ROLLOUT_SUCCEEDED},
		{ROLLOUT_RUNNING, ROLLOUT_SUCCEEDED},
		{ROLLOUT_SHIFTING, ROLLOUT_SUCCEEDED},
	};
	struct gstate_rollout_issue issue = {5, 40, 900, 33};
	struct gstate s;

	gstate_init (&s);
	start_rollout (&s, 5, "v2", 12000, 1);
	apply (&s, 6, GSTATE_ROLLOUT_ISSUE, &issue);
	apply (&s, 7, GSTATE_ROLLOUT_ISSUE, &issue);
	CU_ASSERT (gstate_rollout_by_id (&s, 5)->issued == 80);
	CU_ASSERT (gstate_rollout_by_id (&s, 5)->requests == 900 &&
		   gstate_rollout_by_id (&s, 5)->answers == 33);
	CU_ASSERT (s.rollout_index == 5);
	for (unsigned i = 0; i < G_N_ELEMENTS (steps); i++) {
		set_rollout (&s, 8 + i, 5, steps[i].to);
		CU_ASSERT (gstate_rollout_by_id (&s, 5)->state ==
			   steps[i].then);
	}
	CU_ASSERT (s.rollout_index == 7 + G_N_ELEMENTS (steps));
	apply (&s, 20, GSTATE_ROLLOUT_ISSUE, &issue);
	CU_ASSERT (gstate_rollout_by_id (&s, 5)->issued == 80);
	gstate_finish (&s);
}

/* A snapshot must not lose rollouts, and one without any, as the previous
 * software version writes it, must stay readable and equal byte by byte. */
static void
test_rollout_snapshot (void)
{
	static const uint8_t previous[] = {0x82, 0x01, 0x07, 0x02, 0xc4, 0x05,
					   's',  'e',  'v',  'e',  'n'};
	struct gstate_rollout_issue issue = {2, 12, 100, 3};
	struct gstate s, t;
	msgpack_sbuffer buf;

	gstate_init (&s);
	gstate_init (&t);
	put_plan (&s, 1, 7, "seven");
	msgpack_sbuffer_init (&buf);
	gstate_snapshot (&s, &buf);
	CU_ASSERT (buf.size == sizeof previous &&
		   memcmp (buf.data, previous, sizeof previous) == 0);
	start_rollout (&s, 2, "v2", 12000, 99);
	apply (&s, 3, GSTATE_ROLLOUT_ISSUE, &issue);
	set_rollout (&s, 4, 2, ROLLOUT_SHIFTING);
	msgpack_sbuffer_clear (&buf);
	gstate_snapshot (&s, &buf);
	CU_ASSERT (gstate_restore (&t, buf.data, buf.size, NULL));
	CU_ASSERT_FATAL (t.rollouts->len == 1 && t.rollout_index == 4);
	CU_ASSERT (memcmp (t.rollouts->data, s.rollouts->data,
			   sizeof (struct rollout)) == 0);
	CU_ASSERT (gstate_restore (&t, previous, sizeof previous, NULL));
	CU_ASSERT (t.rollouts->len == 0 && t.rollout_index == 0);
	msgpack_sbuffer_destroy (&buf);
	gstate_finish (&s);
	gstate_finish (&t);
}

/* Members keep a bounded number of rollouts; those that run are never
 * dropped for a new one. */
static void
test_rollout_room (void)
{
	struct gstate_rollout_start cmd = {.target = "v2", .duration_ms = 1};
	struct gstate s;

	gstate_init (&s);
	for (uint32_t i = 0; i < ROLLOUTS_MAX + 1; i++) {
		g_snprintf (cmd.service, sizeof cmd.service, "s%u", i);
		apply (&s, 100 + i, GSTATE_ROLLOUT_START, &cmd);
	}
	CU_ASSERT (s.rollouts->len == ROLLOUTS_MAX);
	CU_ASSERT (gstate_rollout (&s, cmd.service) == NULL);
	set_rollout (&s, 1000, 107, ROLLOUT_ROLLED_BACK);
	apply (&s, 1001, GSTATE_ROLLOUT_START, &cmd);
	CU_ASSERT (gstate_rollout (&s, cmd.service) != NULL);
	CU_ASSERT (gstate_rollout (&s, "s7") == NULL);
	gstate_finish (&s);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"versions", test_versions},
		{"snapshot", test_snapshot},
		{"seal once", test_seal_once},
		{"next report", test_next_report},
		{"rollout start", test_rollout_start},
		{"rollout final", test_rollout_final},
		{"rollout snapshot", test_rollout_snapshot},
		{"rollout room", test_rollout_room},
		{NULL, NULL}};

	return t_run ("gstate", cases);
}
