/*
 * The wire format of the users' platform: each message is parsed into our types
 * and formatted from them.
 */
#include <string.h>

#include "planjob.h"
#include "platform/platform.h"
#include "t_run.h"

static const struct dialect *d = &platform_dialect;

static struct h1_head
request (const char *text)
{
	struct h1_head h;
	size_t used;

	CU_ASSERT_FATAL (h1_request (text, strlen (text), &h, &used) == H1_OK);
	return h;
}

static void
test_calls (void)
{
	static const struct {
		const char *text;
		enum dia_api_call call;
		const char *domain;
	} rows[] = {
		{"GET /api/ready HTTP/1.1\r\n\r\n", DIA_READY, ""},
		{"POST /api/config/replace HTTP/1.1\r\n\r\n", DIA_CONFIG_PUT,
		 ""},
		{"GET /api/config/get?x=1 HTTP/1.1\r\n\r\n", DIA_CONFIG_GET,
		 ""},
		{"POST /api/evacuations/north-1/start HTTP/1.1\r\n\r\n",
		 DIA_DRAIN, "north-1"},
		{"POST /api/evacuations/north-1/finish HTTP/1.1\r\n\r\n",
		 DIA_UNDRAIN, "north-1"},
		{"POST /api/evacuations//start HTTP/1.1\r\n\r\n", DIA_OTHER,
		 ""},
		{"GET /api/evacuations/north-1/start HTTP/1.1\r\n\r\n",
		 DIA_OTHER, ""},
		{"POST /api/config/get HTTP/1.1\r\n\r\n", DIA_OTHER, ""},
		{"GET /api/readyx HTTP/1.1\r\n\r\n", DIA_OTHER, ""},
		{"POST /api/rollouts/start HTTP/1.1\r\n\r\n", DIA_ROLLOUT_START,
		 ""},
		{"GET /api/rollouts/svc-1/get HTTP/1.1\r\n\r\n",
		 DIA_ROLLOUT_GET, "svc-1"},
		{"GET /api/rollouts/start HTTP/1.1\r\n\r\n", DIA_OTHER, ""},
		{"POST /api/rollouts/svc-1/get HTTP/1.1\r\n\r\n", DIA_OTHER,
		 ""},
		{"GET /api/rollouts//get HTTP/1.1\r\n\r\n", DIA_OTHER, ""},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct h1_head h = request (rows[i].text);
		char domain[64] = "";

		CU_ASSERT (d->match_api_call (&h, domain, sizeof domain) ==
			   rows[i].call);
		if (rows[i].domain[0] != '\0')
			CU_ASSERT_STRING_EQUAL (domain, rows[i].domain);
	}
}

/* A start request that is not valid must be refused, and not read as another
 * one: 0 seconds, a name cut short, or a second document behind the first. */
static void
test_rollout (void)
{
	static const char *const bad[] = {
		"",
		"{",
		"[]",
		"7",
		"{}",
		"{\"service\":\"s\",\"duration_s\":12}",
		"{\"target\":\"v2\",\"duration_s\":12}",
		"{\"service\":\"s\",\"target\":\"v2\"}",
		"{\"service\":\"s\",\"target\":\"\",\"duration_s\":12}",
		"{\"service\":\"s\",\"target\":7,\"duration_s\":12}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":0}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":-1}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":1e300}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":\"12\"}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":true}",
		"{\"service\":\"s\",\"target\":\"v2\\u0000x\","
		"\"duration_s\":12}",
		"{\"service\":\"s\",\"target\":\"0123456789012345678901234567"
		"890123456789012345678901234567890123\",\"duration_s\":12}",
		"{\"service\":\"s\",\"target\":\"v2\",\"duration_s\":12}{}",
	};
	static const char good[] = "{\"service\":\"huvo11a\",\"target\":"
				   "\"v2\",\"duration_s\":12.5,\"x\":[1]}";
	struct rollout r = {.target = "v2"};
	GString *text = g_string_new (NULL);
	struct dia_rollout out;
	struct err e = {0};

	for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++) {
		if (d->parse_rollout (bad[i], strlen (bad[i]), &out, &e))
			CU_FAIL_FATAL (bad[i]);
		CU_ASSERT (e.kind == ERR_BAD_REQUEST);
	}
	CU_ASSERT (d->parse_rollout (good, strlen (good), &out, &e));
	CU_ASSERT_STRING_EQUAL (out.service, "huvo11a");
	CU_ASSERT_STRING_EQUAL (out.target, "v2");
	CU_ASSERT (out.duration_ms == 12500);
	r.state = ROLLOUT_SHIFTING;
	d->format_rollout (&r, text);
	CU_ASSERT_STRING_EQUAL (text->str,
				"{\"state\":\"running\",\"target\":\"v2\"}");
	r.state = ROLLOUT_ROLLED_BACK;
	g_string_truncate (text, 0);
	d->format_rollout (&r, text);
	CU_ASSERT_STRING_EQUAL (
		text->str, "{\"state\":\"rolled_back\",\"target\":\"v2\"}");
	g_string_free (text, TRUE);
}

static void
test_request (void)
{
	struct h1_head h = request (
		"POST /a/b HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
		"X-Deadline-Ms: 8000\r\nX-Token-Usage: 1460,80\r\n"
		"X-Prefix-Hash: 5c1e07a2:800, 91bd3f06:410,e4402b7d:250\r\n"
		"Authorization: Token k1\r\nLast-Event-Id: 7\r\n"
		"X-Tenant: me\r\nKv-From: 10.0.0.1:80/x\r\nX-Model: m\r\n"
		"X-Hold: 5\r\n\r\n");
	struct dia_request r;
	uint32_t forwarded = 0;

	d->parse_request (&h, &r);
	CU_ASSERT (r.id_len == 2 && memcmp (r.id, "r1", 2) == 0);
	CU_ASSERT (r.key_len == 2 && memcmp (r.key, "k1", 2) == 0);
	CU_ASSERT (r.timeout_ms == 8000 && r.prompt_tokens == 1460 &&
		   r.max_output_tokens == 80 && r.last_event_id == 7);
	CU_ASSERT (r.segment_count == 3 && r.segments[0].id == 0x5c1e07a2 &&
		   r.segments[1].tokens == 410 &&
		   r.segments[2].id == 0xe4402b7d);
	for (size_t i = 0; i < h.count; i++)
		forwarded += d->forwards_header (&h.headers[i]);
	/* Host, X-Request-Id, X-Token-Usage, X-Prefix-Hash and X-Model: neither
	 * the API key nor a reserved header. */
	CU_ASSERT (forwarded == 5);
	h = request ("GET / HTTP/1.1\r\nAuthorization: Basic abc\r\n"
		     "X-Prefix-Hash: zz:1\r\n\r\n");
	d->parse_request (&h, &r);
	CU_ASSERT (r.key_len == 0 && r.id_len == 0 && r.segment_count == 0 &&
		   r.last_event_id == -1 && r.timeout_ms == 0);
}

static void
test_forward (void)
{
	struct dia_forward s = {.endpoint_id = "i-1",
				.account = "acme",
				.remaining_ms = 1234,
				.tier = 2,
				.is_engine = true,
				.last_event_id = -1};
	GString *out = g_string_new (NULL);

	d->format_headers (&s, out);
	CU_ASSERT_STRING_EQUAL (out->str, "X-Deadline-Ms: 1234\r\n"
					  "X-Expect-Instance: i-1\r\n"
					  "X-Tenant: acme\r\n"
					  "X-Request-Priority: 2\r\n");
	s = (struct dia_forward){.endpoint_id = "i-2",
				 .remaining_ms = 1,
				 .last_event_id = 0,
				 .kv_source = "10.0.0.1:80"};
	g_string_truncate (out, 0);
	d->format_headers (&s, out);
	CU_ASSERT_STRING_EQUAL (out->str, "X-Deadline-Ms: 1\r\n"
					  "X-Expect-Instance: i-2\r\n"
					  "Kv-Fetch: 10.0.0.1:80\r\n"
					  "Last-Event-Id: 0\r\n");
	/* A copy of the run is kept, and later the run continues from it. */
	s = (struct dia_forward){.endpoint_id = "i-3",
				 .remaining_ms = 1,
				 .last_event_id = -1,
				 .request_id = "9c41",
				 .backup = "10.0.0.2:80"};
	g_string_truncate (out, 0);
	d->format_headers (&s, out);
	CU_ASSERT_STRING_EQUAL (out->str, "X-Deadline-Ms: 1\r\n"
					  "X-Expect-Instance: i-3\r\n"
					  "X-Kv-Backup: 10.0.0.2:80\r\n");
	s.backup = NULL;
	s.run_copy = "10.0.0.2:80";
	s.last_event_id = 7;
	g_string_truncate (out, 0);
	d->format_headers (&s, out);
	CU_ASSERT_STRING_EQUAL (out->str, "X-Deadline-Ms: 1\r\n"
					  "X-Expect-Instance: i-3\r\n"
					  "Kv-From: 10.0.0.2:80/9c41\r\n"
					  "Last-Event-Id: 7\r\n");
	g_string_free (out, TRUE);
}

static void
test_response (void)
{
	static const struct {
		const char *text;
		bool not_executed, misdirected, sealed;
		uint32_t cold_ms;
	} rows[] = {
		{"HTTP/1.1 200 OK\r\nX-Response-Seal: a.b\r\n\r\n", false,
		 false, true, 0},
		{"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n", true, false,
		 false, 0},
		{"HTTP/1.1 421 Other\r\nX-Instance-Id: i-9\r\n\r\n", true, true,
		 false, 0},
		{"HTTP/1.1 503 Own\r\nX-Response-Seal: a\r\n\r\n", false, false,
		 true, 0},
		{"HTTP/1.1 200 OK\r\nX-Response-Seal: a\r\n"
		 "X-Not-Executed: 1\r\n\r\n",
		 false, false, false, 0},
		{"HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\n\r\n", true, false,
		 false, 0},
		{"HTTP/1.1 200 OK\r\nX-Cold-Ms: 1500\r\n\r\n", false, false,
		 false, 1500},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct dia_response a;
		struct h1_head h;
		size_t used;

		CU_ASSERT_FATAL (h1_response (rows[i].text,
					      strlen (rows[i].text), false, &h,
					      &used) == H1_OK);
		d->parse_response (&h, &a);
		CU_ASSERT (a.not_executed == rows[i].not_executed &&
			   a.misdirected == rows[i].misdirected &&
			   a.sealed == rows[i].sealed &&
			   a.cold_ms == rows[i].cold_ms);
	}
}

static const char plan_text[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/a/\","
	"\"kind\":\"streaming\",\"timeout_ms\":6000,"
	"\"target_latency_ms\":600,\"priority\":1,\"service\":\"llm\","
	"\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
	"\"target_gap_ms\":200},"
	"{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/b/\","
	"\"kind\":\"non_idempotent\",\"timeout_ms\":800,\"public\":true,"
	"\"weighted_backends\":[{\"service\":\"llm\",\"weight\":90},"
	"{\"service\":\"app\",\"weight\":10}]}],"
	"\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
	"\"max_connections\":370,\"cold_start_s\":3.0,\"cold_per_s\":6.3,"
	"\"engine\":{\"slots\":64,\"kv_capacity\":539774,"
	"\"backups\":true},"
	"\"scaling\":{\"min\":1,\"max\":12,\"boot_s\":4.0,"
	"\"spot_price\":0.22,\"zone_prices\":{\"n\":1.0,\"s\":0.8}}},"
	"{\"name\":\"app\",\"max_connections\":110}],"
	"\"limits\":{\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
	"\"priority\":0}]}";

static void
test_plan (void)
{
	struct err e = {0};
	struct plan *p = planjob_parse (d, plan_text, strlen (plan_text), &e);
	const struct plan_route *a, *b;
	const struct plan_service *llm;

	CU_ASSERT_FATAL (p != NULL);
	a = plan_match_route (p, "h", 1, "/a/x", 4);
	b = plan_match_route (p, "h", 1, "/b/x", 4);
	CU_ASSERT_FATAL (a != NULL && b != NULL);
	if (a == NULL || b == NULL)
		return;
	CU_ASSERT (p->version == 7 && p->limits.idle_timeout_ms == 15000);
	CU_ASSERT (a->kind == PLAN_STREAM && a->resumable && a->has_segments &&
		   a->tier == 1 && a->max_attempts == 2 &&
		   a->gap_target_ms == 200);
	CU_ASSERT (b->kind == PLAN_NON_IDEMPOTENT && b->public &&
		   b->backend_count == 2 && b->backends[0].weight == 90 &&
		   b->max_attempts == 1);
	llm = plan_service (p, "llm");
	CU_ASSERT (llm->is_engine && llm->elastic && llm->max_endpoints == 12 &&
		   llm->boot_ms == 4000 && llm->cold_ms == 3000 &&
		   llm->price_count == 2 && llm->kv_capacity_tokens == 539774 &&
		   llm->kv_backups);
	CU_ASSERT (!plan_service (p, "app")->is_engine);
	CU_ASSERT (plan_account_by_key (p, "k2", 2)->has_tier &&
		   plan_account_by_key (p, "k2", 2)->tier == 0);
	plan_unref (p);
}

/* Truncated and inconsistent configurations are rejected. */
static void
test_plan_rejected (void)
{
	static const struct {
		const char *from, *to;
	} rows[] = {
		{"\"service\":\"llm\",\"max", "\"service\":\"none\",\"max"},
		{"\"/b/\"", "\"/a/\""},
		{"\"weight\":90", "\"weight\":0"},
		{"\"timeout_ms\":800", "\"timeout_ms\":0"},
		{"\"k2\"", "\"k2\"]},{\"name\":\"u\",\"api_keys\":[\"k1\""},
		{"\"version\":7", "\"version\":\"7\""},
		{"\"streaming\"", "\"unheard-of\""},
		{"\"routes\":[", "\"routes\":{},\"x\":["},
	};
	char **halves, *text;
	struct err e = {0};

	for (size_t len = 0; len < strlen (plan_text); len += 7)
		CU_ASSERT (planjob_parse (d, plan_text, len, &e) == NULL);
	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct plan *p;

		halves = g_strsplit (plan_text, rows[i].from, 2);
		CU_ASSERT_FATAL (g_strv_length (halves) == 2);
		text = g_strconcat (halves[0], rows[i].to, halves[1], NULL);
		if (strcmp (rows[i].from, "\"weight\":90") == 0) {
			char **w = g_strsplit (text, "\"weight\":10", 2);

			g_free (text);
			text = g_strconcat (w[0], "\"weight\":0", w[1], NULL);
			g_strfreev (w);
		}
		p = planjob_parse (d, text, strlen (text), &e);
		CU_ASSERT (p == NULL);
		plan_unref (p);
		g_free (text);
		g_strfreev (halves);
	}
}

/* The plan of plan_text with @from replaced by @to; NULL if it is rejected. */
static struct plan *
changed_plan (const char *from, const char *to)
{
	char **halves = g_strsplit (plan_text, from, 2);
	struct err e = {0};
	struct plan *p;
	char *text;

	CU_ASSERT_FATAL (g_strv_length (halves) == 2);
	text = g_strconcat (halves[0], to, halves[1], NULL);
	p = planjob_parse (d, text, strlen (text), &e);
	CU_ASSERT ((p == NULL) == (e.kind != ERR_NONE));
	g_free (text);
	g_strfreev (halves);
	return p;
}

/* Numbers that no configuration means.  A version of 2^64 was stored as one
 * that no later version exceeds. */
static void
test_plan_odd_numbers (void)
{
	static const struct {
		const char *from, *to;
	} rejected[] = {
		{"\"version\":7", "\"version\":18446744073709551616"},
		{"\"version\":7", "\"version\":9223372036854775808"},
		{"\"version\":7", "\"version\":-7"},
		{"\"version\":7", "\"version\":7.5"},
		{"\"version\":7", "\"version\":1e400"},
		{"\"cold_start_s\":3.0", "\"cold_start_s\":1e400"},
		{"\"cold_start_s\":3.0", "\"cold_start_s\":NaN"},
		{"\"cold_per_s\":6.3", "\"cold_per_s\":-Infinity"},
		{"\"timeout_ms\":800", "\"timeout_ms\":NaN"},
		{"\"timeout_ms\":800", "\"timeout_ms\":-1"},
		{"\"n\":1.0", "\"n\":Infinity"},
	};
	struct plan *p;

	for (unsigned i = 0; i < G_N_ELEMENTS (rejected); i++) {
		p = changed_plan (rejected[i].from, rejected[i].to);
		if (p != NULL)
			CU_FAIL (rejected[i].to);
		plan_unref (p);
	}
	p = changed_plan ("\"cold_start_s\":3.0,\"cold_per_s\":6.3",
			  "\"cold_start_s\":1e300,\"cold_per_s\":-1e300");
	CU_ASSERT_FATAL (p != NULL);
	CU_ASSERT (plan_service (p, "llm")->cold_ms == UINT32_MAX &&
		   plan_service (p, "llm")->cold_requests_per_s == 0);
	plan_unref (p);
	p = changed_plan ("\"boot_s\":4.0", "\"boot_s\":-4.0");
	CU_ASSERT_FATAL (p != NULL);
	CU_ASSERT (plan_service (p, "llm")->boot_ms == 0);
	plan_unref (p);
	p = changed_plan ("\"n\":1.0", "\"n\":\"nan\"");
	CU_ASSERT_FATAL (p != NULL);
	CU_ASSERT (plan_service (p, "llm")->prices[0].price == 0);
	plan_unref (p);
	/* Far less urgent, and never wrapped round to the most urgent. */
	p = changed_plan ("\"priority\":1", "\"priority\":4294967295");
	CU_ASSERT_FATAL (p != NULL);
	CU_ASSERT (p->tier_count > 1);
	plan_unref (p);
}

/* Texts that go into headers, and keys that no request can present: the empty
 * one is that of requests without a key. */
static void
test_plan_odd_texts (void)
{
	static const struct {
		const char *from, *to;
	} rejected[] = {
		{"\"name\":\"t\"", "\"name\":\"t\\r\\nX-Hold: 1\""},
		{"\"name\":\"t\"", "\"name\":\"t\\u0000\""},
		{"\"name\":\"t\"", "\"name\":\"\""},
		{"\"name\":\"app\"", "\"name\":\"app\\u0000\""},
		{"\"/health\"", "\"/health HTTP/1.1\\r\\nX: y\\r\\n\\r\\n\""},
		{"\"/health\"", "\"/a b\""},
		{"\"/health\"", "\"/\\u0000\""},
		{"\"/b/\"", "\"/b/\\u0000/\""},
		{"\"k2\"", "\"\""},
		{"\"k2\"", "\"k2\\u0000\""},
		{"\"k2\"", "\"k2\\n\""},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rejected); i++) {
		struct plan *p =
			changed_plan (rejected[i].from, rejected[i].to);

		if (p != NULL)
			CU_FAIL (rejected[i].to);
		plan_unref (p);
	}
}

/* Nesting without end is refused, and ends no process. */
static void
test_plan_nested (void)
{
	for (size_t depth = 32; depth <= 1U << 20; depth *= 32) {
		GString *deep = g_string_new ("\"version\":7,\"x\":");

		for (size_t i = 0; i < depth; i++)
			g_string_append (deep, "[");
		CU_ASSERT (changed_plan ("\"version\":7", deep->str) == NULL);
		for (size_t i = 0; i < depth; i++)
			g_string_append (deep, "]");
		CU_ASSERT (changed_plan ("\"version\":7", deep->str) == NULL);
		g_string_free (deep, TRUE);
	}
}

static void
test_posts (void)
{
	struct gstate_count c[] = {{"acme", 412}, {"zeta", 3}};
	struct gstate_window w = {353445120, {c, 2}};
	struct dia_order o = {"llm", "n", 6, true};
	GString *out = g_string_new (NULL);
	struct h1_head h;

	d->format_usage (&w, "core-1", 12, out);
	h = request (out->str);
	CU_ASSERT (h.path_len == 6 && memcmp (h.path, "/usage", 6) == 0);
	CU_ASSERT (h1_find (&h, "X-Fencing-Token")->value_len == 2);
	CU_ASSERT (strstr (out->str, "{\"window\":353445120,\"counts\":"
				     "{\"acme\":412,\"zeta\":3}}") != NULL);
	CU_ASSERT (h.length == strlen (strstr (out->str, "\r\n\r\n") + 4));
	g_string_truncate (out, 0);
	d->format_order (&o, "core-1", 12, out);
	CU_ASSERT (strstr (out->str, "POST /scale ") == out->str);
	CU_ASSERT (strstr (out->str, "{\"service\":\"llm\",\"zone\":\"n\","
				     "\"desired\":6,\"spot\":true}") != NULL);
	g_string_free (out, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"calls", test_calls},
		{"rollout", test_rollout},
		{"request", test_request},
		{"forward", test_forward},
		{"response", test_response},
		{"plan", test_plan},
		{"plan rejected", test_plan_rejected},
		{"plan, odd numbers", test_plan_odd_numbers},
		{"plan, odd texts", test_plan_odd_texts},
		{"plan, nested", test_plan_nested},
		{"posts", test_posts},
		{NULL, NULL}};

	return t_run ("platform", cases);
}
