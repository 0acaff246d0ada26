/*
 * The replicated state machine: claims of requests that may run once.
 */
#include <stdio.h>
#include <string.h>

#include "t_run.h"
#include "t_sm.h"

#define HOUR_MS 3600000U

/*
 * Steps on one key.  A step with an outcome tells it for that attempt;
 * SM_PENDING makes a claim.  No table may grant twice without a "not sent" of
 * the attempt that held the claim.
 */
struct claim_step {
	uint8_t digest;
	const char *entry;
	uint64_t inc, attempt, wall_ms;
	enum sm_outcome outcome;
	enum err_kind kind;
	bool granted;
	enum sm_outcome answer;
};

static void
claim_steps (const struct claim_step *s, size_t n)
{
	struct t_sm t;

	t_sm_init (&t);
	for (size_t i = 0; i < n; i++) {
		struct sm_claim c =
			t_sm_claim ("k", s[i].digest, s[i].entry, s[i].inc,
				    s[i].attempt, s[i].wall_ms);

		if (s[i].outcome == SM_PENDING)
			t_sm_put (&t, SM_CLAIM, &c);
		else
			t_sm_claim_done (&t, &c, s[i].outcome, 200, "ok");
		CU_ASSERT_EQUAL (t.r.kind, s[i].kind);
		CU_ASSERT_EQUAL (t.r.granted, s[i].granted);
		CU_ASSERT_EQUAL (t.r.outcome, s[i].answer);
		if (t.r.kind != s[i].kind || t.r.granted != s[i].granted)
			printf ("step %zu: %s %s\n", i, err_name (t.r.kind),
				t.r.why);
	}
	t_sm_finish (&t);
}

static void
test_claim_answered (void)
{
	static const struct claim_step s[] = {
		{1, "e1", 1, 1, 10, SM_PENDING, ERR_NONE, true, SM_PENDING},
		/* its reply was lost: the same attempt asks again */
		{1, "e1", 1, 1, 11, SM_PENDING, ERR_NONE, true, SM_PENDING},
		/* resends, by another entry and by the same one */
		{1, "e2", 1, 1, 12, SM_PENDING, ERR_IN_PROGRESS, false,
		 SM_PENDING},
		{1, "e1", 1, 2, 13, SM_PENDING, ERR_IN_PROGRESS, false,
		 SM_PENDING},
		{2, "e2", 1, 2, 14, SM_PENDING, ERR_KEY_REUSED, false,
		 SM_PENDING},
		/* an outcome by somebody else is not taken */
		{1, "e2", 1, 1, 15, SM_NOT_SENT, ERR_NOT_FOUND, false,
		 SM_PENDING},
		{1, "e1", 1, 1, 16, SM_ANSWERED, ERR_NONE, false, SM_ANSWERED},
		{1, "e1", 1, 1, 17, SM_NOT_SENT, ERR_NONE, false, SM_ANSWERED},
		{1, "e2", 1, 3, 18, SM_PENDING, ERR_NONE, false, SM_ANSWERED},
		{2, "e2", 1, 4, 19, SM_PENDING, ERR_KEY_REUSED, false,
		 SM_ANSWERED},
	};

	claim_steps (s, G_N_ELEMENTS (s));
}

static void
test_claim_not_sent_runs_again (void)
{
	static const struct claim_step s[] = {
		{1, "e1", 1, 1, 10, SM_PENDING, ERR_NONE, true, SM_PENDING},
		{1, "e1", 1, 1, 11, SM_NOT_SENT, ERR_NONE, false, SM_NOT_SENT},
		/* a duplicate of the ended attempt is not granted */
		{1, "e1", 1, 1, 12, SM_PENDING, ERR_CONFLICT, false,
		 SM_NOT_SENT},
		{1, "e2", 1, 1, 13, SM_PENDING, ERR_NONE, true, SM_PENDING},
		/* the late "not sent" of the first must not free the second */
		{1, "e1", 1, 1, 14, SM_NOT_SENT, ERR_NOT_FOUND, false,
		 SM_PENDING},
		{1, "e3", 1, 1, 15, SM_PENDING, ERR_IN_PROGRESS, false,
		 SM_PENDING},
	};

	claim_steps (s, G_N_ELEMENTS (s));
}

/* The outcome overtakes its own claim on the way to the log. */
static void
test_claim_after_its_end (void)
{
	static const struct claim_step s[] = {
		{1, "e1", 1, 1, 10, SM_NOT_SENT, ERR_NONE, false, SM_NOT_SENT},
		{1, "e1", 1, 1, 11, SM_PENDING, ERR_CONFLICT, false,
		 SM_NOT_SENT},
		/* nothing ran: a resend may, and then stands */
		{1, "e2", 1, 1, 12, SM_PENDING, ERR_NONE, true, SM_PENDING},
		{1, "e1", 1, 1, 13, SM_PENDING, ERR_IN_PROGRESS, false,
		 SM_PENDING},
		{1, "e1", 1, 1, 14, SM_NOT_SENT, ERR_NOT_FOUND, false,
		 SM_PENDING},
		{2, "e1", 1, 2, 15, SM_PENDING, ERR_KEY_REUSED, false,
		 SM_PENDING},
	};
	/* only "not sent" may come first */
	static const struct claim_step others[] = {
		{1, "e1", 1, 1, 10, SM_ANSWERED, ERR_NOT_FOUND, false,
		 SM_PENDING},
		{1, "e1", 1, 1, 11, SM_UNKNOWN, ERR_NOT_FOUND, false,
		 SM_PENDING},
		{1, "e1", 1, 1, 12, SM_PENDING, ERR_NONE, true, SM_PENDING},
	};

	claim_steps (s, G_N_ELEMENTS (s));
	claim_steps (others, G_N_ELEMENTS (others));
}

static void
test_claim_of_a_dead_entry (void)
{
	static const struct claim_step s[] = {
		{1, "e1", 1, 1, 10, SM_PENDING, ERR_NONE, true, SM_PENDING},
		/* e1 restarted: nobody knows, and nobody runs it again */
		{1, "e1", 2, 1, 11, SM_PENDING, ERR_OUTCOME_UNKNOWN, false,
		 SM_UNKNOWN},
		{1, "e2", 1, 1, 12, SM_PENDING, ERR_OUTCOME_UNKNOWN, false,
		 SM_UNKNOWN},
		/* the old process was frozen, not dead, and tells after all */
		{1, "e1", 1, 1, 13, SM_ANSWERED, ERR_NONE, false, SM_ANSWERED},
		{1, "e2", 1, 2, 14, SM_PENDING, ERR_NONE, false, SM_ANSWERED},
	};
	static const struct claim_step lost[] = {
		{1, "e1", 1, 1, 10, SM_PENDING, ERR_NONE, true, SM_PENDING},
		{1, "e1", 1, 1, 11, SM_UNKNOWN, ERR_NONE, false, SM_UNKNOWN},
		{1, "e2", 1, 1, 12, SM_PENDING, ERR_OUTCOME_UNKNOWN, false,
		 SM_UNKNOWN},
		{1, "e1", 1, 1, 13, SM_NOT_SENT, ERR_NONE, false, SM_UNKNOWN},
		{1, "e2", 1, 2, 14, SM_PENDING, ERR_OUTCOME_UNKNOWN, false,
		 SM_UNKNOWN},
	};

	claim_steps (s, G_N_ELEMENTS (s));
	claim_steps (lost, G_N_ELEMENTS (lost));
}

/* Moves the common clock on, in the steps that it allows. */
static void
clock_to (struct t_sm *t, uint64_t wall_ms)
{
	struct sm_usage u = {.instance = "clock"};

	for (u.wall_ms = t->sm == NULL ? 0 : 60000; u.wall_ms <= wall_ms;
	     u.wall_ms += 60000)
		t_sm_put (t, SM_USAGE, &u);
}

static void
test_claim_retention (void)
{
	struct t_sm t;
	struct sm_claim c = t_sm_claim ("k", 1, "e1", 1, 1, 60000);

	t_sm_init (&t);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_TRUE (t.r.granted);
	/* one clock far ahead forgets nothing */
	c = t_sm_claim ("other", 1, "e9", 1, 1, 1000ULL * HOUR_MS);
	t_sm_put (&t, SM_CLAIM, &c);
	c = t_sm_claim ("k", 1, "e2", 1, 1, 60000);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_EQUAL (t.r.kind, ERR_IN_PROGRESS);
	clock_to (&t, HOUR_MS);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_EQUAL (t.r.kind, ERR_OUTCOME_UNKNOWN);
	clock_to (&t, 23ULL * HOUR_MS);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_EQUAL (t.r.kind, ERR_OUTCOME_UNKNOWN);
	clock_to (&t, 25ULL * HOUR_MS);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_TRUE (t.r.granted);
	t_sm_finish (&t);
}

static void
test_claims_full_refuses_new_ones (void)
{
	struct t_sm t;
	struct sm_claim c;
	char key[16];
	uint64_t granted = 0;

	t_sm_init (&t);
	for (unsigned i = 0; i < 70000; i++) {
		snprintf (key, sizeof key, "%u", i);
		c = t_sm_claim (key, 1, "e1", 1, i + 1, 10);
		t_sm_put (&t, SM_CLAIM, &c);
		granted += t.r.granted;
		CU_ASSERT (t.r.granted || t.r.kind == ERR_FULL);
	}
	CU_ASSERT (granted > 60000 && granted < 70000);
	c = t_sm_claim ("0", 1, "e2", 1, 1, 10);
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_EQUAL (t.r.kind, ERR_IN_PROGRESS);
	t_sm_finish (&t);
}

static void
test_answer_too_long_to_keep (void)
{
	struct t_sm t;
	struct sm_claim c = t_sm_claim ("k", 1, "e1", 1, 1, 10);
	char *big = g_strnfill (SM_BODY_MAX + 1, 'x');

	t_sm_init (&t);
	t_sm_put (&t, SM_CLAIM, &c);
	t_sm_claim_done (&t, &c, SM_ANSWERED, 201, big);
	CU_ASSERT_EQUAL (t.r.kind, ERR_NONE);
	c.attempt = 2;
	t_sm_put (&t, SM_CLAIM, &c);
	CU_ASSERT_EQUAL (t.r.kind, ERR_OUTCOME_UNKNOWN);
	CU_ASSERT_EQUAL (t.r.outcome, SM_ANSWERED);
	CU_ASSERT_EQUAL (t.r.status, 201);
	CU_ASSERT_FALSE (t.r.granted);
	g_free (big);
	t_sm_finish (&t);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"claim answered", test_claim_answered},
		{"claim not sent runs again", test_claim_not_sent_runs_again},
		{"claim after its end", test_claim_after_its_end},
		{"claim of a dead entry", test_claim_of_a_dead_entry},
		{"claim retention", test_claim_retention},
		{"claims full refuses new ones",
		 test_claims_full_refuses_new_ones},
		{"answer too long to keep", test_answer_too_long_to_keep},
		{NULL, NULL},
	};

	return t_run ("sm_claim", cases);
}
