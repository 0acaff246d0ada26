/*
 * After a failed send: nothing that may run once is sent twice, no refusal
 * says "not run" of what may have run, and no cut answer looks whole.
 */
#include "again.h"
#include "t_run.h"

static const struct {
	const char *what;
	struct again_facts f;
	enum again v;
} rows[] = {
	{"once, connection refused",
	 {.kind = PLAN_ONCE, .attempts = 1, .sends = 1, .left_ms = 900},
	 AGAIN_FREE},
	{"once, connections refused one after the other",
	 {.kind = PLAN_ONCE, .attempts = 1, .left_ms = 900},
	 AGAIN_FREE},
	{"once, lost after it was sent",
	 {.kind = PLAN_ONCE,
	  .sent = true,
	  .runs = 1,
	  .attempts = 1,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_UNKNOWN},
	{"once, refused by the endpoint",
	 {.kind = PLAN_ONCE,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .attempts = 1,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_SEND},
	{"once, refused again and again",
	 {.kind = PLAN_ONCE,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .attempts = 1,
	  .sends = 4,
	  .left_ms = 900},
	 AGAIN_REFUSE},
	{"once, the endpoint's own failure",
	 {.kind = PLAN_ONCE,
	  .sent = true,
	  .answered = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_PASS},
	{"repeatable, lost",
	 {.kind = PLAN_REPEATABLE,
	  .sent = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_SEND},
	{"repeatable, all attempts used",
	 {.kind = PLAN_REPEATABLE,
	  .sent = true,
	  .runs = 2,
	  .attempts = 2,
	  .sends = 2,
	  .left_ms = 900},
	 AGAIN_UNKNOWN},
	{"repeatable, failed, then refused elsewhere, no time",
	 {.kind = PLAN_REPEATABLE,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 2,
	  .left_ms = 10},
	 AGAIN_UNKNOWN},
	{"plain stream, refused before it began",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .attempts = 1,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_SEND},
	{"plain stream, lost before its first event",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_UNKNOWN},
	{"plain stream, lost midway",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .begun = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_CUT},
	{"resumable stream, lost midway",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .begun = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 1,
	  .left_ms = 900},
	 AGAIN_SEND},
	{"resumable stream, refused where it should go on",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .not_run = true,
	  .begun = true,
	  .runs = 1,
	  .attempts = 2,
	  .sends = 2,
	  .left_ms = 900},
	 AGAIN_SEND},
	{"resumable stream, all attempts used",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .begun = true,
	  .runs = 2,
	  .attempts = 2,
	  .sends = 2,
	  .left_ms = 900},
	 AGAIN_CUT},
};

static void
test_verdicts (void)
{
	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		enum again v = again_ask (&rows[i].f);

		if (v != rows[i].v)
			g_print ("%s: %s\n", rows[i].what, again_name (v));
		CU_ASSERT (v == rows[i].v);
	}
}

/* Over all facts: no verdict sends what may not run twice, or lies. */
static void
test_all (void)
{
	for (uint32_t bits = 0; bits < 1 << 9; bits++) {
		struct again_facts f = {
			.kind = (enum plan_kind) (bits % 3),
			.resumable = bits & 4,
			.sent = bits & 8,
			.not_run = (bits & 24) == 24,
			.answered = bits & 32,
			.begun = bits & 64,
			.runs = bits >> 7 & 1,
			.attempts = 2,
			.sends = 1,
			.left_ms = bits & 256 ? 1000 : 0,
		};
		enum again v = again_ask (&f);

		bool once = f.kind == PLAN_ONCE ||
			    (f.kind == PLAN_STREAM && !f.resumable);

		if (once && f.runs > 0)
			CU_ASSERT (v != AGAIN_SEND || !f.sent);
		if (v == AGAIN_REFUSE)
			CU_ASSERT (f.runs == 0 && !f.begun);
		if (f.begun)
			CU_ASSERT (v != AGAIN_PASS && v != AGAIN_UNKNOWN &&
				   v != AGAIN_REFUSE);
		if (f.left_ms == 0)
			CU_ASSERT (v != AGAIN_SEND && v != AGAIN_FREE);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {{"verdicts", test_verdicts},
					      {"all facts", test_all},
					      {NULL, NULL}};

	return t_run ("again", cases);
}
