/*
 * Configurations: which ones are rejected, and which route a request matches.
 */
#include <string.h>

#include "plan.h"
#include "t_run.h"

static struct plan_route *
add_route (struct plan *p, const char *host, const char *prefix,
	   struct plan_service *s, uint32_t weight)
{
	struct plan_route *r = plan_add_route (p);

	r->name = g_strdup (prefix);
	r->host = g_strdup (host);
	r->prefix = g_strdup (prefix);
	r->timeout_ms = 1000;
	r->backends = g_new0 (struct plan_backend, 2);
	r->backends[r->backend_count++] = (struct plan_backend){s, weight};
	return r;
}

static void
test_match (void)
{
	struct plan *p = plan_new ();
	struct plan_service *s = plan_add_service (p, "s");
	const struct plan_route *inner, *outer;

	outer = add_route (p, "h.example", "/a/", s, 1);
	inner = add_route (p, "h.example", "/a/b/", s, 1);
	add_route (p, "other.example", "/", s, 1);
	CU_ASSERT (plan_check (p, NULL));
	CU_ASSERT (plan_match_route (p, "h.example", 9, "/a/b/c", 6) == inner);
	CU_ASSERT (plan_match_route (p, "h.example:80", 12, "/a/bc", 5) ==
		   outer);
	CU_ASSERT (plan_match_route (p, "h.example", 9, "/b/", 3) == NULL);
	CU_ASSERT (plan_match_route (p, "h.example", 9, "/a", 2) == NULL);
	CU_ASSERT (plan_match_route (p, "none.example", 12, "/a/", 3) == NULL);
	plan_unref (p);
}

static void
test_rejected (void)
{
	/* Fault 0 is a valid configuration. */
	for (int fault = 0; fault < 6; fault++) {
		struct plan *p = plan_new ();
		struct plan_service *s = plan_add_service (p, "s");
		struct plan_account *a = plan_add_account (p, "a");
		struct plan_account *b = plan_add_account (p, "b");
		struct plan_route *r = add_route (p, "h", "/a/", s, 1);

		plan_add_key (p, a, "k1");
		plan_add_key (p, a, "k1");
		plan_add_key (p, b, "k2");
		if (fault == 1)
			add_route (p, "h", "/a/", s, 1);
		if (fault == 2)
			r->backends[0].weight = 0;
		if (fault == 3)
			r->timeout_ms = 0;
		if (fault == 4)
			r->backends[0].service = NULL;
		if (fault == 5)
			plan_add_key (p, b, "k1");
		CU_ASSERT (plan_check (p, NULL) == (fault == 0));
		CU_ASSERT (fault != 0 || plan_account_by_key (p, "k2", 2) == b);
		CU_ASSERT (plan_account_by_key (p, "k3", 2) == NULL);
		plan_unref (p);
	}
}

static void
test_weights (void)
{
	struct plan *p = plan_new ();
	struct plan_service *s = plan_add_service (p, "s");
	struct plan_service *t = plan_add_service (p, "t");
	struct plan_route *r = add_route (p, "h", "/", s, 3);
	uint32_t to_s = 0;

	r->backends[r->backend_count++] = (struct plan_backend){t, 1};
	CU_ASSERT (plan_check (p, NULL));
	for (uint32_t i = 0; i < 400; i++)
		to_s += plan_pick_service (r, i) == s;
	CU_ASSERT (to_s == 300);
	plan_unref (p);
}

/* The tier of the account is compared first, then that of the route. */
static void
test_tiers (void)
{
	struct plan *p = plan_new ();
	struct plan_service *s = plan_add_service (p, "s");
	struct plan_route *quick = add_route (p, "h", "/q/", s, 1);
	struct plan_route *slow = add_route (p, "h", "/s/", s, 1);
	struct plan_account *first = plan_add_account (p, "first");
	struct plan_account *second = plan_add_account (p, "second");
	struct plan_account *plain = plan_add_account (p, "plain");

	slow->tier = 2;
	first->has_tier = second->has_tier = true;
	second->tier = 1;
	CU_ASSERT (plan_check (p, NULL));
	CU_ASSERT (plan_tier (p, quick, first) < plan_tier (p, slow, first));
	CU_ASSERT (plan_tier (p, slow, first) < plan_tier (p, quick, second));
	CU_ASSERT (plan_tier (p, quick, second) < plan_tier (p, slow, second));
	CU_ASSERT (plan_tier (p, slow, plain) == 2 &&
		   plan_tier (p, slow, NULL) == 2);
	plan_unref (p);
}

int
main (void)
{
	static const struct t_case cases[] = {{"match", test_match},
					      {"rejected", test_rejected},
					      {"weights", test_weights},
					      {"tiers", test_tiers},
					      {NULL, NULL}};

	return t_run ("plan", cases);
}
