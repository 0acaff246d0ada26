/*
 * Actions after a failed attempt.  Guards against a second run of a request
 * that may run only once, a refusal that claims "not run" for a request that
 * may have run, and a truncated response that looks complete.
 */
#include "failover.h"
#include "t_run.h"

static const struct {
	const char *what;
	struct failover_input f;
	enum failover_action action;
} rows[] = {
	{"once, connection refused",
	 {.kind = PLAN_NON_IDEMPOTENT,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_RETRY_UNSENT},
	{"once, several connections refused",
	 {.kind = PLAN_NON_IDEMPOTENT, .max_runs = 1, .remaining_ms = 900},
	 FAILOVER_RETRY_UNSENT},
	{"once, connection lost after it was sent",
	 {.kind = PLAN_NON_IDEMPOTENT,
	  .sent = true,
	  .possible_runs = 1,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_UNKNOWN},
	{"once, refused by the endpoint",
	 {.kind = PLAN_NON_IDEMPOTENT,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_RETRY},
	{"once, refused by several endpoints",
	 {.kind = PLAN_NON_IDEMPOTENT,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .max_runs = 1,
	  .attempt_count = 4,
	  .remaining_ms = 900},
	 FAILOVER_REFUSE},
	{"once, error response of the endpoint",
	 {.kind = PLAN_NON_IDEMPOTENT,
	  .sent = true,
	  .answered = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_PASS},
	{"repeatable, connection lost",
	 {.kind = PLAN_IDEMPOTENT,
	  .sent = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_RETRY},
	{"repeatable, all attempts used",
	 {.kind = PLAN_IDEMPOTENT,
	  .sent = true,
	  .possible_runs = 2,
	  .max_runs = 2,
	  .attempt_count = 2,
	  .remaining_ms = 900},
	 FAILOVER_UNKNOWN},
	{"repeatable, failed, then refused elsewhere, no time",
	 {.kind = PLAN_IDEMPOTENT,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 2,
	  .remaining_ms = 10},
	 FAILOVER_UNKNOWN},
	{"plain stream, refused before its first event",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .not_run = true,
	  .answered = true,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_RETRY},
	{"plain stream, lost before its first event",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_UNKNOWN},
	{"plain stream, lost midway",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .response_started = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_CUT},
	{"plain stream, lost midway, a copy of the run is kept",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .response_started = true,
	  .has_copy = true,
	  .possible_runs = 1,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_CONTINUE},
	{"plain stream, a copy is kept, lost before its first event",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .has_copy = true,
	  .possible_runs = 1,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_UNKNOWN},
	{"plain stream, no connection to where the copy is kept",
	 {.kind = PLAN_STREAM,
	  .response_started = true,
	  .possible_runs = 1,
	  .max_runs = 1,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_CUT},
	{"plain stream, the engine had no copy",
	 {.kind = PLAN_STREAM,
	  .sent = true,
	  .not_run = true,
	  .response_started = true,
	  .possible_runs = 1,
	  .max_runs = 1,
	  .attempt_count = 2,
	  .remaining_ms = 900},
	 FAILOVER_CUT},
	{"resumable stream, lost midway",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .response_started = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 1,
	  .remaining_ms = 900},
	 FAILOVER_RETRY},
	{"resumable stream, refused where it was to be resumed",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .not_run = true,
	  .response_started = true,
	  .possible_runs = 1,
	  .max_runs = 2,
	  .attempt_count = 2,
	  .remaining_ms = 900},
	 FAILOVER_RETRY},
	{"resumable stream, all attempts used",
	 {.kind = PLAN_STREAM,
	  .resumable = true,
	  .sent = true,
	  .response_started = true,
	  .possible_runs = 2,
	  .max_runs = 2,
	  .attempt_count = 2,
	  .remaining_ms = 900},
	 FAILOVER_CUT},
};

static void
test_actions (void)
{
	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		enum failover_action v = failover_decide (&rows[i].f);

		if (v != rows[i].action)
			g_print ("%s: %s\n", rows[i].what,
				 failover_action_name (v));
		CU_ASSERT (v == rows[i].action);
	}
}

/* All combinations of inputs: no request is run twice that may run only once,
 * and no client is told what is not true. */
static void
test_all_inputs (void)
{
	for (uint32_t bits = 0; bits < 1 << 9; bits++) {
		struct failover_input f = {
			.kind = (enum plan_kind) (bits % 3),
			.resumable = bits & 4,
			.sent = bits & 8,
			.not_run = (bits & 24) == 24,
			.answered = bits & 32,
			.response_started = bits & 64,
			.possible_runs = bits >> 7 & 1,
			.max_runs = 2,
			.attempt_count = 1,
			.remaining_ms = bits & 256 ? 1000 : 0,
		};
		enum failover_action v = failover_decide (&f);

		bool once = f.kind == PLAN_NON_IDEMPOTENT ||
			    (f.kind == PLAN_STREAM && !f.resumable);

		if (once && f.possible_runs > 0)
			CU_ASSERT (v != FAILOVER_RETRY || !f.sent);
		if (v == FAILOVER_REFUSE)
			CU_ASSERT (f.possible_runs == 0 && !f.response_started);
		if (f.response_started)
			CU_ASSERT (v != FAILOVER_PASS &&
				   v != FAILOVER_UNKNOWN &&
				   v != FAILOVER_REFUSE);
		if (f.remaining_ms == 0)
			CU_ASSERT (v != FAILOVER_RETRY &&
				   v != FAILOVER_RETRY_UNSENT);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {{"actions", test_actions},
					      {"all inputs", test_all_inputs},
					      {NULL, NULL}};

	return t_run ("failover", cases);
}
