/*
 * Rollouts in virtual time: exposure stays within the bound, good versions are
 * not rolled back, bad ones are, and what an earlier leader granted counts.
 * With DH_SOAK many more cases are drawn, and figures printed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t_rollout.h"
#include "t_run.h"

static uint32_t
cases (uint32_t few, uint32_t many)
{
	return getenv ("DH_SOAK") != NULL ? many : few;
}

static void
print_case (const char *what, const struct t_rollout *c,
	    const struct t_rollout_result *r)
{
	printf ("%s: seed=%u relays=%u one=%.1f routes=%u per_s=%.0f "
		"duration=%u fail=%.3f bad=%.2f slow=%.1f from=%.2f route=%d "
		"burst=%d cut=%d crash=%d lost=%u restarts=%d: state=%s at=%u "
		"requests=%u new=%u over=%.0f bad=%u value=%.3g old_cut=%u\n",
		what, c->seed, c->relays, c->one_relay, c->routes, c->per_s,
		(unsigned)c->duration_ms, c->failures, c->bad_share,
		c->slow_factor, c->bad_from, c->bad_route, c->burst, c->cut,
		c->crash, (unsigned)c->leader_lost_ms, c->restarts,
		rollout_state_name (r->state), (unsigned)r->verdict_ms,
		(unsigned)r->requests, (unsigned)r->sent_new, r->running_over,
		(unsigned)r->bad_answers, r->value, (unsigned)r->old_cut);
}

/* A budget handed out per relay, or granted again after a leader change, would
 * exceed the bound. */
static void
test_bound (void)
{
	uint32_t n = cases (150, 10000), over = 0, late = 0, caught = 0;
	uint32_t total_over = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		struct t_rollout_result r;
		struct t_rollout c;
		double allowed;

		t_rollout_draw (seed, false, &c);
		t_rollout_run (&c, &r);
		allowed =
			T_ROLLOUT_SHARE * (double)r.requests + T_ROLLOUT_SLACK;
		if (r.running_over > 0) {
			over++;
			print_case ("above the bound", &c, &r);
		}
		if (r.state != ROLLOUT_ROLLED_BACK && getenv ("DH_MISSED"))
			print_case ("missed", &c, &r);
		caught += r.state == ROLLOUT_ROLLED_BACK;
		total_over += (double)r.sent_new > allowed;
		if (r.bad_50_ms > 0 &&
		    r.last_new_ms > r.bad_50_ms + T_ROLLOUT_ROLLBACK_MS)
			late++;
	}
	printf ("bad versions: %u cases, %u above the bound while running, "
		"%u rolled back, %u above the bound at the end, %u later than "
		"%u ms after the 50th bad answer\n",
		n, over, caught, total_over, late, T_ROLLOUT_ROLLBACK_MS);
	CU_ASSERT (over == 0);
}

/* Bursts, a domain that is cut off, and the loss of one endpoint must not roll
 * a good version back, nor a leader change forget it. */
static void
test_good (void)
{
	uint32_t n = cases (150, 10000), back = 0, open = 0, old_cut = 0;

	for (uint32_t seed = 1; seed <= n; seed++) {
		struct t_rollout_result r;
		struct t_rollout c;

		t_rollout_draw (1000000 + seed, true, &c);
		t_rollout_run (&c, &r);
		if (r.state == ROLLOUT_ROLLED_BACK) {
			back++;
			print_case ("good, rolled back", &c, &r);
		} else if (r.state != ROLLOUT_SUCCEEDED) {
			open++;
			print_case ("good, not ended", &c, &r);
		}
		old_cut += r.old_cut > 0;
	}
	printf ("good versions: %u cases, %u rolled back, %u not ended, %u "
		"with "
		"old requests cut\n",
		n, back, open, old_cut);
	CU_ASSERT (back * 1000 < n);
	CU_ASSERT (open == 0);
}

/* A version that is bad in a way that its first answers show must be rolled
 * back, without using the bound up. */
static void
test_bad (void)
{
	static const struct {
		const char *what;
		double per_s, share, slow, from;
		int route;
		bool soak_only;
	} rows[] = {
		{"fails 2 %", 200, 0.02, 0, 0, -1, true},
		{"fails 2 %", 1000, 0.02, 0, 0, -1, true},
		{"fails 5 %", 200, 0.05, 0, 0, -1, true},
		{"fails 10 %", 60, 0.1, 0, 0, -1, true},
		{"fails 10 %", 200, 0.1, 0, 0, -1, false},
		{"fails 30 %", 20, 0.3, 0, 0, -1, false},
		{"fails 30 %", 200, 0.3, 0, 0, -1, false},
		{"fails 100 %", 5, 1, 0, 0, -1, false},
		{"fails 100 %", 200, 1, 0, 0, -1, false},
		{"fails 100 %", 1000, 1, 0, 0, -1, true},
		{"fails 50 % on one route", 200, 0.5, 0, 0, 3, false},
		{"fails 30 % from 0.4 on", 200, 0.3, 0, 0.4, -1, false},
		{"fails 100 % from 0.7 on", 200, 1, 0, 0.7, -1, true},
		{"10 % 3 times slower", 200, 0.1, 3, 0, -1, true},
		{"30 % 3 times slower", 200, 0.3, 3, 0, -1, true},
		{"50 % 3 times slower", 200, 0.5, 3, 0, -1, true},
		{"all 3 times slower", 20, 1, 3, 0, -1, true},
		{"all 3 times slower", 200, 1, 3, 0, -1, false},
		{"all 5 times slower", 200, 1, 5, 0, -1, false},
		{"30 % 5 times slower", 200, 0.3, 5, 0, -1, true},
		{"all 3 times slower, one route", 200, 1, 3, 0, 3, true},
		{"all 4 times slower from 0.4 on", 200, 1, 4, 0.4, -1, false},
	};
	uint32_t n = cases (10, 300);

	for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
		double ms = 0, sent = 0, share = 0, within = 0;
		uint32_t caught = 0, within_5s = 0;

		if (rows[i].soak_only && getenv ("DH_SOAK") == NULL)
			continue;
		for (uint32_t seed = 1; seed <= n; seed++) {
			struct t_rollout c = {.seed = seed,
					      .relays = 20,
					      .routes = 4,
					      .per_s = rows[i].per_s,
					      .duration_ms = 12000,
					      .failures = 0.001,
					      .bad_share = rows[i].share,
					      .slow_factor = rows[i].slow,
					      .bad_from = rows[i].from,
					      .bad_route = rows[i].route,
					      .boot_ms = 500};
			struct t_rollout_result r;

			t_rollout_run (&c, &r);
			within += (double)r.sent_new <=
				  T_ROLLOUT_SHARE * (double)r.requests +
					  T_ROLLOUT_SLACK;
			within_5s +=
				r.bad_50_ms == 0 ||
				r.last_new_ms <=
					r.bad_50_ms + T_ROLLOUT_ROLLBACK_MS;
			if (r.state != ROLLOUT_ROLLED_BACK)
				continue;
			caught++;
			ms += (double)r.verdict_ms - (double)c.boot_ms -
			      rows[i].from * 12000;
			sent += (double)r.sent_new;
			share += (double)r.sent_new /
				 (T_ROLLOUT_SHARE * (double)r.requests +
				  T_ROLLOUT_SLACK);
		}
		printf ("| %s | %.0f | %.1f %% | %.1f | %.0f | %.0f %% | "
			"%.1f %% | %.1f %% |\n",
			rows[i].what, rows[i].per_s, 100.0 * caught / n,
			ms / MAX (caught, 1) / 1000, sent / MAX (caught, 1),
			100 * share / MAX (caught, 1), 100 * within / n,
			100.0 * within_5s / n);
		if (!rows[i].soak_only)
			CU_ASSERT (caught == n);
	}
}

int
main (void)
{
	static const struct t_case all[] = {{"bound", test_bound},
					    {"good", test_good},
					    {"bad", test_bad},
					    {NULL, NULL}};

	return t_run ("rollout", all);
}
