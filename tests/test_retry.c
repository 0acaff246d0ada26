/*
 * Retries: which requests may be sent again, to which endpoints, and how often.
 */
#include "retry.h"
#include "t_inv.h"
#include "t_run.h"

#define NOW 1000

static struct t_inv inv;
static struct bb bb;
static struct retry retry;

static void
start (void)
{
	t_inv_init (&inv, 1, 1, 3, 1);
	bb_init (&bb, "e0");
	bb_apply_inv (&bb, &inv.inv, 1);
	retry_init (&retry, inv.inv.settings.retry_permille);
}

static void
stop (void)
{
	retry_finish (&retry);
	bb_finish (&bb);
}

static void
test_verdicts (void)
{
	static const struct {
		bool repeatable;
		bool sent;
		bool to_caller;
		bool resumes;
		uint64_t deadline_ms;
		uint32_t tried; /* other endpoints tried before */
		enum retry_why why;
	} rows[] = {
		{true, true, false, false, NOW + 500, 0, RETRY_ALLOWED},
		{false, true, false, false, NOW + 500, 0, RETRY_NOT_REPEATABLE},
		{false, false, false, false, NOW + 500, 0, RETRY_ALLOWED},
		{true, true, true, false, NOW + 500, 0, RETRY_RESPONSE_STARTED},
		{true, true, true, true, NOW + 500, 0, RETRY_RESUME},
		{false, true, true, true, NOW + 500, 0, RETRY_NOT_REPEATABLE},
		{true, true, false, false, NOW + 20, 0, RETRY_TOO_LATE},
		{true, true, false, false, NOW + 500, 1, RETRY_ALLOWED},
		{true, true, false, false, NOW + 500, 2, RETRY_TRIED_ALL},
	};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		struct retry_req q = {.repeatable = rows[i].repeatable,
				      .response_started = rows[i].to_caller,
				      .resumable = rows[i].resumes,
				      .deadline_ms = rows[i].deadline_ms};
		enum retry_why why;

		start ();
		for (uint32_t k = 0; k < rows[i].tried; k++)
			retry_mark_tried (&q, bb.eps[k + 1]);
		why = retry_decide (&retry, &q, bb.classes[0], bb.models[0],
				    bb.eps[0], rows[i].sent, NOW);
		if (why != rows[i].why)
			CU_FAIL (retry_why_name (rows[i].why));
		CU_ASSERT_EQUAL (retry_allowed (why),
				 why == RETRY_ALLOWED || why == RETRY_RESUME);
		CU_ASSERT_TRUE (retry_was_tried (&q, bb.eps[0]));
		stop ();
	}
}

static uint32_t
count_allowed (struct bb_class *klass, uint32_t attempts, bool sent)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < attempts; i++) {
		struct retry_req q = {.repeatable = true,
				      .deadline_ms = NOW * 9};

		n += retry_allowed (retry_decide (
			&retry, &q, klass, bb.models[0], bb.eps[0], sent, NOW));
	}
	return n;
}

/* Retries are limited to a tenth of a class's requests, with a budget per
 * class.  A request of which nothing was sent takes nothing from it. */
static void
test_budget (void)
{
	start ();
	for (int i = 0; i < 50; i++)
		retry_budget_refill (&retry, bb.classes[0]);
	CU_ASSERT_EQUAL (count_allowed (bb.classes[0], 100, false), 100);
	CU_ASSERT_EQUAL (count_allowed (bb.classes[0], 100, true), 6);
	CU_ASSERT_EQUAL (count_allowed (bb.classes[1], 100, true), 1);
	for (int i = 0; i < 10000; i++)
		retry_budget_refill (&retry, bb.classes[0]);
	CU_ASSERT_EQUAL (count_allowed (bb.classes[0], 100, true), 10);
	stop ();
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"verdicts", test_verdicts},
		{"budget", test_budget},
		{NULL, NULL},
	};

	return t_run ("retry", cases);
}
