/*
 * What an operator is told of a configuration before it is sent.  Guards
 * against entries without effect and contradicting limits that go unnoticed,
 * against findings on a configuration that has none, against keys in the
 * output, and against a check of a large configuration that takes long.
 */
#include <string.h>
#include <time.h>

#include "plancheck.h"
#include "planjob.h"
#include "platform/platform.h"
#include "t_run.h"

#define LARGE_BYTES (3000U << 10)
#define LARGE_MAX_MS 200

static struct plan_route *
add_route (struct plan *p, const char *prefix, struct plan_service *s)
{
	struct plan_route *r = plan_add_route (p);

	r->name = g_strdup ("");
	r->host = g_strdup ("h");
	r->prefix = g_strdup (prefix);
	r->timeout_ms = 1000;
	r->latency_target_ms = 300;
	r->max_attempts = 3;
	r->backends = g_new0 (struct plan_backend, 2);
	r->backends[r->backend_count++] = (struct plan_backend){s, 1};
	return r;
}

/** struct world - a configuration without findings, and its parts */
struct world {
	struct plan *plan;
	struct plan_service *service;
	struct plan_route *route;
	struct plan_account *account;
};

static struct world
make_world (void)
{
	struct world w = {.plan = plan_new ()};

	w.plan->version = 5;
	w.plan->needs_keys = true;
	w.plan->limits.max_header_bytes = 1000;
	w.plan->limits.max_body_bytes = 1000;
	w.service = plan_add_service (w.plan, "s");
	w.service->health_path = g_strdup ("/");
	w.route = add_route (w.plan, "/a/", w.service);
	w.account = plan_add_account (w.plan, "acc");
	plan_add_key (w.plan, w.account, "secret-1");
	return w;
}

static bool
has_secret (const GPtrArray *lines)
{
	for (guint i = 0; i < lines->len; i++) {
		if (strstr (g_ptr_array_index (lines, i), "secret") != NULL)
			return true;
	}
	return false;
}

/* Checks that @lines are those of @want, and releases them. */
static void
expect_lines (GPtrArray *lines, const char *want)
{
	GString *got = g_string_new (NULL);

	for (guint i = 0; i < lines->len; i++)
		g_string_append_printf (
			got, "%s%s", i > 0 ? "\n" : "",
			(const char *)g_ptr_array_index (lines, i));
	CU_ASSERT_STRING_EQUAL (got->str, want);
	if (strcmp (got->str, want) != 0)
		printf ("got:\n%s\nwant:\n%s\n", got->str, want);
	CU_ASSERT (!has_secret (lines));
	g_string_free (got, TRUE);
	g_ptr_array_unref (lines);
}

/* Checks the findings of a configuration that passes plan_check(), and releases
 * it. */
static void
expect_findings (const struct world *w, const char *want)
{
	struct err e = {0};

	CU_ASSERT (plan_check (w->plan, &e));
	expect_lines (plancheck_findings (w->plan), want);
	plan_unref (w->plan);
}

static void
set_text (char **to, const char *text)
{
	g_free (*to);
	*to = g_strdup (text);
}

static void
test_none (void)
{
	struct world w = make_world ();

	expect_findings (&w, "");
	/* Limits that are not stated contradict none. */
	w = make_world ();
	w.plan->limits.max_body_bytes = 0;
	w.route->latency_target_ms = 0;
	w.route->max_attempts = 100;
	expect_findings (&w, "");
	/* One attempt, and attempts that just fit. */
	w = make_world ();
	w.route->latency_target_ms = 1000;
	w.route->max_attempts = 1;
	add_route (w.plan, "/a/b/", w.service)->timeout_ms = 900;
	expect_findings (&w, "");
	/* No account is needed where requests need no key. */
	w = make_world ();
	g_hash_table_remove_all (w.plan->keys);
	g_ptr_array_set_size (w.plan->accounts, 0);
	w.plan->needs_keys = false;
	expect_findings (&w, "");
}

static void
test_never_matches (void)
{
	struct world w = make_world ();

	set_text (&w.route->host, "h:80");
	set_text (&w.route->name, "r");
	expect_findings (&w, "route r (h:80/a/): never matches: its host has a "
			     "colon; hosts are compared without a port");
	w = make_world ();
	set_text (&w.route->host, "");
	expect_findings (&w, "route /a/: never matches: its host is empty");
	w = make_world ();
	set_text (&w.route->prefix, "/a b/");
	expect_findings (&w, "route h/a b/: never matches: its host or prefix "
			     "has a space");
}

/* 255 bytes are the longest host that is looked up. */
static void
test_long_host (void)
{
	for (size_t len = 255; len <= 256; len++) {
		struct world w = make_world ();
		char *host = g_strnfill (len, 'h');
		GPtrArray *lines;
		struct err e = {0};

		set_text (&w.route->host, host);
		CU_ASSERT (plan_check (w.plan, &e));
		lines = plancheck_findings (w.plan);
		CU_ASSERT ((plan_match_route (w.plan, host, len, "/a/", 3) ==
			    NULL) == (lines->len == 1));
		CU_ASSERT ((lines->len == 1) == (len == 256));
		g_ptr_array_unref (lines);
		g_free (host);
		plan_unref (w.plan);
	}
}

static void
test_unused (void)
{
	struct world w = make_world ();

	plan_add_service (w.plan, "idle");
	plan_add_service (w.plan, "s");
	w.route->backends[w.route->backend_count++] =
		(struct plan_backend){plan_add_service (w.plan, "zero"), 0};
	plan_add_account (w.plan, "keyless");
	plan_add_key (w.plan, plan_add_account (w.plan, "acc"), "secret-2");
	expect_findings (
		&w, "route h/a/: service zero gets no request: its weight is "
		    "0\n"
		    "service idle: no route names it\n"
		    "service s: hidden by an earlier one of the same name\n"
		    "client account keyless: has no key\n"
		    "client account acc: an earlier one has the same name; "
		    "their use is summed");
}

static void
test_nothing_served (void)
{
	struct world w = make_world ();

	g_hash_table_remove_all (w.plan->keys);
	g_ptr_array_set_size (w.plan->accounts, 0);
	expect_findings (&w, "client accounts: no key at all; only public "
			     "routes accept requests");
	w = make_world ();
	g_ptr_array_set_size (w.plan->routes, 0);
	expect_findings (&w, "routes: none; every request is refused\n"
			     "service s: no route names it");
}

static void
test_route_limits (void)
{
	struct world w = make_world ();

	w.route->latency_target_ms = 1001;
	expect_findings (&w, "route h/a/: timeout 1000 ms is below the latency "
			     "objective 1001 ms");
	w = make_world ();
	w.route->max_attempts = 4;
	expect_findings (&w, "route h/a/: 4 attempts of 300 ms, the latency "
			     "objective, don't fit into the timeout 1000 ms");
	/* The product does not wrap. */
	w = make_world ();
	w.route->max_attempts = UINT32_MAX;
	w.route->latency_target_ms = 1000;
	expect_findings (&w, "route h/a/: 4294967295 attempts of 1000 ms, the "
			     "latency objective, don't fit into the timeout "
			     "1000 ms");
	w = make_world ();
	w.route->kind = PLAN_STREAM;
	w.route->resumable = true;
	w.route->gap_target_ms = 1001;
	expect_findings (&w, "route h/a/: timeout 1000 ms is below the "
			     "objective for pauses 1001 ms");
	w = make_world ();
	w.route->resumable = true;
	w.route->gap_target_ms = 10;
	expect_findings (&w, "route h/a/: the objective for pauses has no "
			     "effect without streaming\n"
			     "route h/a/: resumable has no effect without "
			     "streaming");
}

static void
test_other_limits (void)
{
	struct world w = make_world ();

	w.plan->limits.max_body_bytes = 999;
	expect_findings (&w, "limits: the body limit 999 bytes is below the "
			     "header limit 1000 bytes");
	w = make_world ();
	w.service->elastic = true;
	w.service->min_endpoints = 3;
	w.service->max_endpoints = 2;
	expect_findings (&w, "service s: at least 3 endpoints a domain, but at "
			     "most 2");
	w = make_world ();
	w.service->elastic = true;
	expect_findings (&w, "service s: elastic, but with at most 0 "
			     "endpoints");
	w = make_world ();
	w.service->is_engine = true;
	w.service->slots = 9;
	w.service->max_connections = 8;
	expect_findings (&w, "service s: 9 slots can't be filled over at most "
			     "8 connections");
}

static void
expect_diff (const struct world *from, const struct world *to, const char *want)
{
	struct err e = {0};

	CU_ASSERT (plan_check (from->plan, &e) && plan_check (to->plan, &e));
	expect_lines (plancheck_diff (from->plan, to->plan), want);
	plan_unref (from->plan);
	plan_unref (to->plan);
}

static void
test_diff_none (void)
{
	struct world a = make_world (), b = make_world ();

	b.plan->version = 6;
	expect_diff (&a, &b, "");
	a = make_world ();
	b = make_world ();
	expect_diff (&a, &b,
		     "version 5 is not above 5; it would be "
		     "acknowledged without effect");
}

static void
test_diff (void)
{
	struct world a = make_world (), b = make_world ();

	b.plan->version = 6;
	b.plan->needs_keys = false;
	b.plan->limits.idle_timeout_ms = 10;
	b.route->timeout_ms = 2000;
	b.route->backends[0].weight = 2;
	add_route (a.plan, "/gone/", a.service);
	add_route (b.plan, "/new/", b.service);
	b.service->cold_requests_per_s = 1.5;
	b.service->prices = g_new0 (struct plan_price, 1);
	b.service->price_count = 1;
	b.account->has_tier = true;
	plan_add_key (b.plan, b.account, "secret-2");
	plan_add_key (a.plan, a.account, "secret-3");
	plan_add_key (a.plan, a.account, "secret-4");
	expect_diff (&a, &b,
		     "requests no longer need an API key\n"
		     "limits: idle timeout (ms) 0 to 10\n"
		     "routes: 1 removed, 1 changed, 1 added\n"
		     "  h/gone/: removed\n"
		     "  h/a/: timeout (ms) 1000 to 2000, services s:1 to s:2\n"
		     "  h/new/: added\n"
		     "services: 0 removed, 1 changed, 0 added\n"
		     "  s: requests a second when cold 0 to 1.5, prices of "
		     "domains\n"
		     "client accounts: 0 removed, 1 changed, 0 added\n"
		     "  acc: tier stated no to yes, keys added: 1, keys "
		     "revoked: 2");
}

/* A key that moves is revoked at one account and added at the other. */
static void
test_diff_moved_key (void)
{
	struct world a = make_world (), b = make_world ();
	struct plan_account *other = plan_add_account (b.plan, "other");

	b.plan->version = 6;
	plan_add_key (a.plan, plan_add_account (a.plan, "other"), "secret-2");
	plan_add_key (b.plan, b.account, "secret-2");
	plan_add_key (b.plan, other, "secret-3");
	expect_diff (&a, &b,
		     "client accounts: 0 removed, 2 changed, 0 added\n"
		     "  acc: keys added: 1\n"
		     "  other: keys added: 1, keys revoked: 1");
}

static GString *
make_text (uint32_t version, uint32_t timeout_ms)
{
	GString *s = g_string_new (NULL);

	g_string_printf (s,
			 "{\"version\":%u,\"services\":[{\"name\":\"s\"}],"
			 "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}],"
			 "\"routes\":[",
			 version);
	for (uint32_t i = 0; s->len < LARGE_BYTES; i++)
		g_string_append_printf (
			s,
			"%s{\"name\":\"r%u\",\"host\":\"h\",\"path_prefix\":"
			"\"/%u/\",\"kind\":\"idempotent\",\"timeout_ms\":%u,"
			"\"target_latency_ms\":200,\"service\":\"s\","
			"\"max_attempts\":2}",
			i > 0 ? "," : "", i, i, timeout_ms);
	g_string_append (s, "]}");
	return s;
}

static struct plan *
parse (const GString *text)
{
	struct err e = {0};

	return planjob_parse (&platform_dialect, text->str, text->len, &e);
}

static uint64_t
cpu_ms (void)
{
	struct timespec t;

	clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

/* Checks one text against @from; returns the processor time it took. */
static uint64_t
check_large (const struct plan *from, const GString *text)
{
	uint64_t start_ms = cpu_ms (), took_ms;
	struct plan *p = parse (text);
	GPtrArray *findings, *changes;

	CU_ASSERT_FATAL (p != NULL);
	findings = plancheck_findings (p);
	changes = plancheck_diff (from, p);
	took_ms = cpu_ms () - start_ms;
	CU_ASSERT (findings->len == 0);
	CU_ASSERT (changes->len == 1 + PLANCHECK_DETAILS_MAX + 1);
	g_ptr_array_unref (findings);
	g_ptr_array_unref (changes);
	plan_unref (p);
	return took_ms;
}

/* The bound is for 3 MB, so the version in force is parsed before.  The least
 * of several runs: other load of the machine adds processor time as well, since
 * it shares caches. */
static void
test_large (void)
{
	GString *from_text = make_text (1, 1000), *text = make_text (2, 2000);
	struct plan *from = parse (from_text);
	uint64_t least_ms = UINT64_MAX;

	CU_ASSERT_FATAL (from != NULL);
	for (int i = 0; i < 5; i++)
		least_ms = MIN (least_ms, check_large (from, text));
	printf ("%u routes, %u ms\n", from->routes->len, (unsigned)least_ms);
	/* Sanitizers slow all code down several times. */
#ifndef __SANITIZE_ADDRESS__
	CU_ASSERT (least_ms < LARGE_MAX_MS);
#endif
	plan_unref (from);
	g_string_free (from_text, TRUE);
	g_string_free (text, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"none", test_none},
		{"never matches", test_never_matches},
		{"long host", test_long_host},
		{"unused", test_unused},
		{"nothing served", test_nothing_served},
		{"route limits", test_route_limits},
		{"other limits", test_other_limits},
		{"no difference", test_diff_none},
		{"differences", test_diff},
		{"moved key", test_diff_moved_key},
		{"large", test_large},
		{NULL, NULL}};

	return t_run ("plancheck", cases);
}
