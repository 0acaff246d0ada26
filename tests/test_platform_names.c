/*
 * Names of any length that operators and the platform write: each is held whole
 * from the configuration or the list to what is sent, stored and reported, or
 * what brings it is refused.  Names that differ at their end stay apart, also
 * for instances of the version before.
 */
#include <string.h>

#include "planjob.h"
#include "platform/platform.h"
#include "t_run.h"
#include "wincount.h"

#define OLD_NAME_BYTES 64

static const struct dialect *d = &platform_dialect;

/* Two names of @len bytes that differ in the last one. */
static void
two_names (size_t len, char **a, char **b)
{
	*a = g_strnfill (len, 'n');
	*b = g_strdup (*a);
	(*a)[len - 1] = '1';
	(*b)[len - 1] = '2';
}

static struct plan *
parse (const char *tenant_a, const char *tenant_b, const char *key_a,
       const char *key_b, const char *service, const char *zone, struct err *e)
{
	char *text = g_strdup_printf (
		"{\"version\":1,\"services\":[{\"name\":\"%s\",\"scaling\":"
		"{\"min\":1,\"max\":2,\"zone_prices\":{\"%s\":1.0}}}],"
		"\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":"
		"\"/\",\"kind\":\"idempotent\",\"timeout_ms\":1000,"
		"\"service\":\"%s\"}],\"tenants\":[{\"name\":\"%s\","
		"\"api_keys\":[\"%s\"]},{\"name\":\"%s\",\"api_keys\":"
		"[\"%s\"]}]}",
		service, zone, service, tenant_a, key_a, tenant_b, key_b);
	struct plan *p = planjob_parse (d, text, strlen (text), e);

	g_free (text);
	return p;
}

static const char *
name_of_key (const struct plan *p, const char *key)
{
	const struct plan_account *a =
		plan_account_by_key (p, key, strlen (key));

	return a != NULL ? a->name : "";
}

/* Tenants' names were cut to 63 bytes, so that two became one: in the header
 * that endpoints get, in the counts, and in the reports. */
static void
test_accounts_and_keys (void)
{
	static const size_t lengths[] = {1, 63, 64, 70, 300, 5000};

	for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++) {
		char *a, *b, *key_a, *key_b, *want;
		GString *out = g_string_new (NULL);
		struct dia_forward s = {.endpoint_id = "i-1",
					.last_event_id = -1};
		struct plan *p;
		struct err e = {0};

		two_names (lengths[i], &a, &b);
		two_names (lengths[i] + 1, &key_a, &key_b);
		p = parse (a, b, key_a, key_b, "s", "z", &e);
		CU_ASSERT_FATAL (p != NULL);
		CU_ASSERT_STRING_EQUAL (name_of_key (p, key_a), a);
		CU_ASSERT_STRING_EQUAL (name_of_key (p, key_b), b);
		s.account = name_of_key (p, key_a);
		d->format_headers (&s, out);
		want = g_strdup_printf ("X-Tenant: %s\r\n", a);
		CU_ASSERT (strstr (out->str, want) != NULL);
		g_string_free (out, TRUE);
		plan_unref (p);
		g_free (want);
		g_free (a);
		g_free (b);
		g_free (key_a);
		g_free (key_b);
	}
}

static bool
is_refused (const char *tenant, const char *service, const char *zone,
	    const char *why)
{
	struct err e = {0};
	struct plan *p = parse (tenant, "other", "k1", "k2", service, zone, &e);
	bool refused = p == NULL && strstr (e.msg, why) != NULL;

	if (p == NULL && !refused)
		printf ("not \"%s\": %s\n", why, e.msg);
	plan_unref (p);
	return refused;
}

static void
test_names_that_cannot_be_held_are_refused (void)
{
	char *most = g_strnfill (PLAN_NAME_BYTES - 1, 'n');
	char *over = g_strnfill (PLAN_NAME_BYTES, 'n');
	char *huge = g_strnfill (PLAN_ACCOUNT_NAMES_MAX_BYTES, 'n');
	struct err e = {0};
	struct plan *p = parse ("a", "b", "k1", "k2", most, most, &e);

	CU_ASSERT_FATAL (p != NULL);
	CU_ASSERT (plan_service (p, most) != NULL);
	CU_ASSERT_STRING_EQUAL (plan_service (p, most)->prices[0].domain, most);
	plan_unref (p);
	CU_ASSERT (is_refused ("a", over, "z", "services[0].name"));
	CU_ASSERT (is_refused ("a", "s", over, "scaling.zone_prices"));
	CU_ASSERT (is_refused (huge, "s", "z", "tenants[1].name"));
	CU_ASSERT (is_refused (" a", "s", "z", "tenants[0].name"));
	CU_ASSERT (is_refused ("a ", "s", "z", "tenants[0].name"));
	g_free (most);
	g_free (over);
	g_free (huge);
}

static uint64_t
count_of (const struct gstate_window *w, const char *account)
{
	const struct gstate_count *c = w->counts.items;
	uint64_t n = 0;

	for (uint32_t i = 0; i < w->counts.count; i++)
		n += strcmp (c[i].account, account) == 0 ? c[i].requests : 0;
	return n;
}

/* How the version before decodes counts, drained domains and endpoints. */
struct old_count {
	char account[OLD_NAME_BYTES];
	uint64_t requests;
};

static const struct msg_field old_count_fields[] = {
	MSG_FIELD (1, MSG_STR, struct old_count, account),
	MSG_FIELD (2, MSG_U64, struct old_count, requests),
	MSG_FIELD_END,
};

static const struct msg_field old_window_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_window, number),
	MSG_FIELD_LIST (2, struct gstate_window, counts, struct old_count,
			old_count_fields, GSTATE_ACCOUNTS_MAX),
	MSG_FIELD_END,
};

static bool
send_to_sum (const struct gmsg_report *m, void *ctx)
{
	struct gmsg_report got;
	msgpack_sbuffer buf;
	msgpack_zone zone;
	struct err e = {0};

	msgpack_sbuffer_init (&buf);
	msgpack_zone_init (&zone, 1024);
	msg_pack (gmsg_report_fields, m, &buf);
	CU_ASSERT_FATAL (msg_unpack (gmsg_report_fields, buf.data, buf.size,
				     &got, &zone, &e));
	winsum_set_report (ctx, "r1/1", &got);
	msgpack_zone_destroy (&zone);
	msgpack_sbuffer_destroy (&buf);
	return true;
}

static void
check_old_reader (const struct gstate_window *w)
{
	struct gstate_window got;
	const struct old_count *c;
	msgpack_sbuffer buf;
	msgpack_zone zone;
	struct err e = {0};

	msgpack_sbuffer_init (&buf);
	msgpack_zone_init (&zone, 1024);
	msg_pack (gstate_window_fields, w, &buf);
	CU_ASSERT_FATAL (msg_unpack (old_window_fields, buf.data, buf.size,
				     &got, &zone, &e));
	c = got.counts.items;
	CU_ASSERT_FATAL (got.counts.count == 2);
	CU_ASSERT (strcmp (c[0].account, c[1].account) != 0);
	CU_ASSERT (c[0].requests + c[1].requests == 5);
	msgpack_zone_destroy (&zone);
	msgpack_sbuffer_destroy (&buf);
}

static void
try_usage (const char *a, const char *b)
{
	struct wincount relay;
	struct winsum member;
	struct gstate s, t;
	struct gstate_window cmd = {.number = 9};
	const struct gstate_window *w;
	uint64_t reported = 0;
	msgpack_sbuffer buf;
	GString *out = g_string_new (NULL);
	char *want;
	GArray *sum;

	wincount_init (&relay);
	winsum_init (&member);
	gstate_init (&s);
	gstate_init (&t);
	for (int i = 0; i < 5; i++)
		wincount_add (&relay, 9, i < 2 ? a : b);
	wincount_report (&relay, &reported, send_to_sum, &member);
	sum = winsum_total (&member, 9);
	cmd.counts = (struct msg_list){sum->data, sum->len};
	check_old_reader (&cmd);
	msgpack_sbuffer_init (&buf);
	gstate_encode (GSTATE_WINDOW, &cmd, &buf);
	g_array_free (sum, TRUE);
	winsum_finish (&member);
	CU_ASSERT (gstate_apply (&s, 1, (const uint8_t *)buf.data, buf.size,
				 NULL));
	msgpack_sbuffer_clear (&buf);
	gstate_snapshot (&s, &buf);
	CU_ASSERT (gstate_restore (&t, buf.data, buf.size, NULL));
	w = g_ptr_array_index (t.windows, 0);
	CU_ASSERT (count_of (w, a) == 2 && count_of (w, b) == 3);
	d->format_usage (w, "m1", 1, out);
	want = g_strdup_printf ("\"%s\":2", a);
	CU_ASSERT (strstr (out->str, want) != NULL);
	g_free (want);
	g_string_free (out, TRUE);
	msgpack_sbuffer_destroy (&buf);
	gstate_finish (&s);
	gstate_finish (&t);
	wincount_finish (&relay);
}

static void
test_usage_of_long_names (void)
{
	static const size_t lengths[] = {5, 63, 64, 70, 300, 5000};

	for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++) {
		char *a, *b;

		two_names (lengths[i], &a, &b);
		try_usage (a, b);
		g_free (a);
		g_free (b);
	}
	/* The alias of a name is not cut inside a character. */
	try_usage ("\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
		   "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
		   "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
		   "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
		   "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9"
		   "1",
		   "b");
}

/* State that the version before wrote, and a mixed group. */
static void
test_state_of_the_version_before (void)
{
	struct old_count c[] = {{"acme", 4}, {"zeta", 1}};
	struct gstate_window cmd = {.number = 7, .counts = {c, 2}};
	const struct gstate_window *w;
	msgpack_sbuffer buf;
	struct gstate s;

	gstate_init (&s);
	msgpack_sbuffer_init (&buf);
	msgpack_sbuffer_write (&buf, "\x03", 1);
	msg_pack (old_window_fields, &cmd, &buf);
	CU_ASSERT (gstate_apply (&s, 1, (const uint8_t *)buf.data, buf.size,
				 NULL));
	w = g_ptr_array_index (s.windows, 0);
	CU_ASSERT (count_of (w, "acme") == 4 && count_of (w, "zeta") == 1);
	msgpack_sbuffer_destroy (&buf);
	gstate_finish (&s);
}

static const struct fleet_info *
read_entry (const char *id, const char *service, const char *zone, GArray *out)
{
	char *text = g_strdup_printf (
		"{\"instances\":[{\"service\":\"%s\",\"address\":"
		"\"10.0.0.9:8080\",\"zone\":\"%s\",\"state\":\"ready\","
		"\"id\":\"%s\"}],\"next\":null}",
		service, zone, id);
	struct dia_skipped skipped = {0};
	struct err e = {0};
	char *next;

	g_array_set_size (out, 0);
	CU_ASSERT (
		d->parse_list (text, strlen (text), out, &next, &skipped, &e));
	g_free (text);
	CU_ASSERT (out->len + skipped.count == 1);
	return out->len > 0 ? &g_array_index (out, struct fleet_info, 0) : NULL;
}

/* Entries with names of 64 bytes and more were skipped, and lists of them could
 * not be sent. */
static void
test_endpoints_of_long_names (void)
{
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	char *a, *b, *over = g_strnfill (FLEET_NAME_BYTES, 'x');
	const struct fleet_info *info;
	struct fleet_info copy, got;
	msgpack_sbuffer buf;
	msgpack_zone zone;
	struct err e = {0};

	two_names (FLEET_NAME_BYTES - 1, &a, &b);
	info = read_entry (a, b, a, out);
	CU_ASSERT (info != NULL);
	copy = info != NULL ? *info : (struct fleet_info){0};
	msgpack_sbuffer_init (&buf);
	msgpack_zone_init (&zone, 1024);
	msg_pack (fleet_info_fields, &copy, &buf);
	CU_ASSERT (msg_unpack (fleet_info_fields, buf.data, buf.size, &got,
			       &zone, &e));
	CU_ASSERT_STRING_EQUAL (got.id, a);
	CU_ASSERT_STRING_EQUAL (got.service, b);
	CU_ASSERT_STRING_EQUAL (got.domain, a);
	CU_ASSERT (read_entry (over, "s", "z", out) == NULL);
	CU_ASSERT (read_entry ("i", over, "z", out) == NULL);
	CU_ASSERT (read_entry ("i", "s", over, out) == NULL);
	msgpack_zone_destroy (&zone);
	msgpack_sbuffer_destroy (&buf);
	g_array_free (out, TRUE);
	g_free (a);
	g_free (b);
	g_free (over);
}

static enum dia_api_call
match (const char *zone, char *domain, size_t size)
{
	char *text = g_strdup_printf (
		"POST /api/evacuations/%s/start HTTP/1.1\r\nHost: a\r\n\r\n",
		zone);
	enum dia_api_call call;
	struct h1_head h;
	size_t used;

	CU_ASSERT_FATAL (h1_request (text, strlen (text), &h, &used) == H1_OK);
	call = d->match_api_call (&h, domain, size);
	g_free (text);
	return call;
}

/* An evacuation of a domain with a name of 64 bytes or more got 404. */
static void
test_evacuation_of_a_long_name (void)
{
	char *most = g_strnfill (GSTATE_NAME_BYTES - 1, 'z');
	char domain[GSTATE_NAME_BYTES];

	CU_ASSERT_EQUAL (match (most, domain, sizeof domain), DIA_DRAIN);
	CU_ASSERT_STRING_EQUAL (domain, most);
	CU_ASSERT_EQUAL (match ("north%20wing", domain, sizeof domain),
			 DIA_DRAIN);
	CU_ASSERT_STRING_EQUAL (domain, "north wing");
	CU_ASSERT_EQUAL (match ("", domain, sizeof domain), DIA_OTHER);
	CU_ASSERT_EQUAL (match ("a/b", domain, sizeof domain), DIA_OTHER);
	CU_ASSERT_EQUAL (match ("a%00b", domain, sizeof domain), DIA_OTHER);
	g_free (most);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"client accounts and keys", test_accounts_and_keys},
		{"names that cannot be held are refused",
		 test_names_that_cannot_be_held_are_refused},
		{"usage of long names", test_usage_of_long_names},
		{"state of the version before",
		 test_state_of_the_version_before},
		{"endpoints of long names", test_endpoints_of_long_names},
		{"evacuation of a long name", test_evacuation_of_a_long_name},
		{NULL, NULL},
	};

	return t_run ("platform_names", cases);
}
