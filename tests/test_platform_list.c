/*
 * Pages of the platform's list of endpoints, with entries that other writers
 * left there: they name no endpoint, and the others hold.
 */
#include <string.h>

#include "platform/platform.h"
#include "t_run.h"

static const struct dialect *d = &platform_dialect;

static void
test_entries (void)
{
	const char *text =
		"{\"instances\":[{\"service\":\"llm\",\"address\":"
		"\"10.0.0.9:8080\",\"zone\":\"n\",\"slots\":64,"
		"\"state\":\"ready\",\"cold_remaining_ms\":250,"
		"\"id\":\"i-1\",\"born\":1700000000000,\"spot\":true},"
		"{\"service\":\"llm\",\"address\":\"10.0.0.8:8080\","
		"\"zone\":\"n\",\"state\":\"draining\",\"id\":\"i-2\"},"
		"{\"service\":\"llm\",\"address\":\"10.0.0.7:8080\","
		"\"zone\":\"n\",\"state\":\"asleep\",\"id\":\"i-3\"},"
		"{\"service\":5,\"id\":\"i-4\"},null,\"x\","
		"{\"service\":\"llm\",\"address\":\"10.0.0.6:8080\","
		"\"zone\":\"n\",\"state\":\"ready\",\"slots\":\"many\","
		"\"id\":\"i-5\"}],\"next\":\"p-50\"}";
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	struct err e = {0};
	struct dia_skipped skipped = {0};
	char *next, *path;
	const struct fleet_info *i;

	CU_ASSERT (
		d->parse_list (text, strlen (text), out, &next, &skipped, &e));
	CU_ASSERT_FATAL (out->len == 2);
	i = &g_array_index (out, struct fleet_info, 0);
	CU_ASSERT (strcmp (i->id, "i-1") == 0 && i->reclaimable &&
		   !i->leaving && i->cold_remaining_ms == 250 &&
		   i->started_ms == 1700000000000);
	CU_ASSERT (i[1].leaving && !i[1].reclaimable);
	CU_ASSERT (skipped.count == 5);
	CU_ASSERT_STRING_EQUAL (next, "p-50");
	path = d->list_path ("a&b");
	CU_ASSERT_STRING_EQUAL (path, "/instances?page_token=a%26b");
	g_free (path);
	g_free (next);
	CU_ASSERT (!d->parse_list ("{\"instances\":", 13, out, &next, &skipped,
				   &e));
	CU_ASSERT (!d->parse_list ("[]", 2, out, &next, &skipped, &e));
	g_array_free (out, TRUE);
}

/* An entry of the list that can be used, with @id and more members. */
#define ENTRY(id, more)                                                        \
	"{\"service\":\"llm\",\"address\":\"10.0.0.9:8080\",\"zone\":\"n\","   \
	"\"state\":\"ready\",\"id\":\"" id "\"" more "}"

/* Reads a page with @odd between the entries "a" and "b".  Returns whether
 * these two alone were read, @odd was skipped, and the next page is known. */
static bool
holds_beside (const char *odd, size_t len)
{
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	GString *page = g_string_new ("{\"instances\":[" ENTRY ("a", "") ",");
	const struct fleet_info *i;
	struct err e = {0};
	struct dia_skipped skipped = {0};
	char *next = NULL;
	bool ok;

	g_string_append_len (page, odd, (gssize)len);
	g_string_append (page, "," ENTRY ("b", "") "],\"next\":\"p-2\"}");
	ok = d->parse_list (page->str, page->len, out, &next, &skipped, &e);
	i = (const struct fleet_info *)out->data;
	ok = ok && e.kind == ERR_NONE && out->len == 2 &&
	     strcmp (i[0].id, "a") == 0 && strcmp (i[1].id, "b") == 0 &&
	     skipped.count == 1 && g_strcmp0 (next, "p-2") == 0;
	g_free (next);
	g_string_free (page, TRUE);
	g_array_free (out, TRUE);
	return ok;
}

/* Another writer's entry that can't be read took the whole page with it, so
 * that the list stood still: nested deeply, or no JSON. */
static void
test_unreadable_entry (void)
{
	static const char *const rows[] = {
		"\"\\ud800\\\"",
		"{\"id\":\"odd\",}",
		"{\"id\":\"odd\"",
		"{\"id\":\"odd\"]",
		"{\"id\":\"odd,\"x\":1}",
		"{\"id\":\"odd\",\"x\":[}",
		"{\"id\":\"odd\"}}",
		"{\"id\" \"odd\"}",
		"{'id':'odd'}",
		"\xff\xfe{\x01\"",
		"odd",
		"",
		"[0," ENTRY ("inner", "") "]",
		"{\"id\":\"odd\",\"x\":[0," ENTRY ("inner", "") "]}",
		"]",
		ENTRY ("odd", ",\"slots\":-"),
		ENTRY ("odd", ",\"slots\":1e"),
		ENTRY ("odd", ",\"slots\":nan"),
		ENTRY ("odd", ",\"version\":\"\xff\xfe\""),
		ENTRY ("odd", ",\"version\":\"\\x\""),
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		if (!holds_beside (rows[i], strlen (rows[i])))
			CU_FAIL (rows[i]);
	}
	for (size_t depth = 16; depth <= 1U << 20; depth *= 16) {
		GString *odd = g_string_new (NULL);

		for (size_t i = 0; i < depth; i++)
			g_string_append (odd, i % 2 == 0 ? "{\"a\":" : "[");
		g_string_append_c (odd, '0');
		for (size_t i = depth; i > 0; i--)
			g_string_append_c (odd, i % 2 == 0 ? ']' : '}');
		CU_ASSERT (holds_beside (odd->str, odd->len));
		g_string_insert (odd, 0, "{\"id\":\"odd\",\"deep\":");
		g_string_append_c (odd, '}');
		CU_ASSERT (holds_beside (odd->str, odd->len));
		g_string_free (odd, TRUE);
	}
	CU_ASSERT (holds_beside ("{\"id\":\"o\0d\"}", 12));
}

/* A number out of range was cast as it was, which C leaves undefined, and an
 * endpoint that was said to be cold for weeks got hardly any work. */
static void
test_number_out_of_range (void)
{
	static const char *const odd[] = {
		ENTRY ("odd", ",\"slots\":1e400"),
		ENTRY ("odd", ",\"slots\":1e300"),
		ENTRY ("odd", ",\"slots\":4294967296"),
		ENTRY ("odd", ",\"slots\":1180591620717411303424"),
		ENTRY ("odd", ",\"slots\":-1"),
		ENTRY ("odd", ",\"slots\":NaN"),
		ENTRY ("odd", ",\"slots\":Infinity"),
		ENTRY ("odd", ",\"slots\":null"),
		ENTRY ("odd", ",\"cold_remaining_ms\":-1e400"),
		ENTRY ("odd", ",\"cold_remaining_ms\":1e19"),
		ENTRY ("odd", ",\"cold_remaining_ms\":2147483647"),
		ENTRY ("odd", ",\"born\":1e400"),
		ENTRY ("odd", ",\"born\":18446744073709551615"),
		ENTRY ("odd", ",\"born\":-5"),
		ENTRY ("odd", ",\"born\":1700000000000.5"),
		ENTRY ("odd", ",\"spot\":\"no\""),
	};
	char *held = g_strdup_printf (
		"{\"instances\":[%s,%s],\"next\":null}",
		ENTRY ("a", ",\"slots\":64.0,\"cold_remaining_ms\":249.7,"
			    "\"born\":1.7e12,\"spot\":null"),
		ENTRY ("b", ",\"cold_remaining_ms\":-3"));
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	const struct fleet_info *i;
	struct dia_skipped skipped = {0};
	char *next;

	for (unsigned k = 0; k < G_N_ELEMENTS (odd); k++) {
		if (!holds_beside (odd[k], strlen (odd[k])))
			CU_FAIL (odd[k]);
	}
	CU_ASSERT (d->parse_list (held, strlen (held), out, &next, &skipped,
				  NULL));
	CU_ASSERT_FATAL (out->len == 2);
	i = (const struct fleet_info *)out->data;
	CU_ASSERT (i->slots == 64 && i->cold_remaining_ms == 249 &&
		   i->started_ms == 1700000000000 && !i->reclaimable);
	CU_ASSERT (i[1].cold_remaining_ms == 0);
	g_array_free (out, TRUE);
	g_free (held);
}

#define BYTES_64                                                               \
	"0123456789012345678901234567890123456789012345678901234567890123"

/* An id that ends its line would add a header of its own to requests, and lines
 * to the log; a text with a zero byte would pass for a shorter one. */
static void
test_odd_text (void)
{
	static const char *const odd[] = {
		ENTRY ("i\\r\\nKv-Fetch: x", ""),
		ENTRY ("i\\n", ""),
		ENTRY ("i 1", ""),
		ENTRY ("i\\u0000", ""),
		ENTRY ("a\\u0000", ""),
		ENTRY ("i\\u007f", ""),
		ENTRY ("i\\u0085", ""),
		ENTRY ("i", ",\"zone\":\"n\\u0000\""),
		ENTRY ("i", ",\"zone\":\"n\\nx\""),
		ENTRY ("i", ",\"zone\":\"\""),
		ENTRY ("i", ",\"service\":\"llm\\u0000\""),
		ENTRY ("i", ",\"service\":\"llm\\u001b\""),
		ENTRY ("i", ",\"service\":[\"llm\"]"),
		ENTRY ("i", ",\"state\":\"ready\\u0000\""),
		ENTRY (BYTES_64 BYTES_64 BYTES_64 BYTES_64, ""),
	};

	for (unsigned k = 0; k < G_N_ELEMENTS (odd); k++) {
		if (!holds_beside (odd[k], strlen (odd[k])))
			CU_FAIL (odd[k]);
	}
}

#define LONG_ADDRESS                                                           \
	"10.0.0.9:00000000000000000000000000000000000000000000000000000080"

/* An address at which no server can be was listed as one: relays sent requests
 * there, at 0.0.0.0 to themselves. */
static void
test_odd_address (void)
{
	static const char *const odd[] = {
		"",
		"10.0.0.9",
		"10.0.0.9:",
		"10.0.0.9:0",
		"10.0.0.9:00",
		"10.0.0.9:65536",
		"10.0.0.9:99999999999",
		"10.0.0.9:18446744073709551696",
		"10.0.0.9:-1",
		"10.0.0.9:+80",
		"10.0.0.9: 80",
		"10.0.0.9:80 ",
		" 10.0.0.9:80",
		"10.0.0.9:80\\u0000",
		"10.0.0.9:80\\r\\nx: y",
		"10.0.0.9:0x50",
		"10.0.0.256:80",
		"10.9:80",
		"host:80",
		"[::1]:80",
		"::1:80",
		"0.0.0.0:80",
		"255.255.255.255:80",
		"224.0.0.1:80",
		LONG_ADDRESS,
	};

	for (unsigned k = 0; k < G_N_ELEMENTS (odd); k++) {
		char *entry = g_strdup_printf (
			ENTRY ("odd", ",\"address\":\"%s\""), odd[k]);

		if (!holds_beside (entry, strlen (entry)))
			CU_FAIL (odd[k]);
		g_free (entry);
	}
}

/* The log told only that entries were skipped; it says which and why, and takes
 * no bytes of them that would break its lines. */
static void
test_reasons (void)
{
	static const struct {
		const char *odd, *why;
	} rows[] = {
		{"{", "entry 1 of its page: brackets or quotes odd"},
		{"5", "entry 1 of its page: not an object"},
		{"{\"id\":5}", "entry 1 of its page: id missing or not text"},
		{ENTRY ("i-9", ",\"slots\":-1"),
		 "entry 1 of its page, id i-9: slots out of range"},
		{ENTRY ("i-9", ",\"state\":\"x\\n\""),
		 "entry 1 of its page, id i-9: state unknown"},
		{ENTRY ("i\\n9", ",\"born\":[]"),
		 "entry 1 of its page: born not a number"},
		{ENTRY ("i\\\"9", ",\"spot\":5"),
		 "entry 1 of its page: spot not a boolean"},
		{ENTRY ("i-9", ",\"address\":\"\\u001b:80\""),
		 "entry 1 of its page, id i-9: address not IP:port of a "
		 "server"},
	};

	for (unsigned k = 0; k < G_N_ELEMENTS (rows); k++) {
		GArray *out =
			g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
		char *page = g_strdup_printf (
			"{\"instances\":[%s,%s],\"next\":null}", rows[k].odd,
			rows[k].odd);
		struct dia_skipped skipped = {0};
		char *next;

		CU_ASSERT (d->parse_list (page, strlen (page), out, &next,
					  &skipped, NULL) &&
			   skipped.count > 0);
		CU_ASSERT_STRING_EQUAL (skipped.first, rows[k].why);
		g_array_free (out, TRUE);
		g_free (page);
	}
}

/* A page that was cut short is never taken for a whole one. */
static void
test_cut (void)
{
	static const char page[] = " {\"instances\": [" ENTRY (
		"a", ",\"models\":[{\"adapters\":[]"
		     "}]") " , " ENTRY ("b", "") "],\n\"next\":null}";
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	struct dia_skipped skipped = {0};
	char *next;

	for (size_t len = 0; len < strlen (page); len++) {
		struct err e = {0};

		CU_ASSERT (
			!d->parse_list (page, len, out, &next, &skipped, &e) &&
			e.kind == ERR_PROTOCOL && next == NULL);
	}
	g_array_set_size (out, 0);
	CU_ASSERT (d->parse_list (page, strlen (page), out, &next, &skipped,
				  NULL) &&
		   out->len == 2 && next == NULL);
	g_array_free (out, TRUE);
}

/* The version is optional and concerns rollouts only: an entry whose version is
 * odd was usable before there were versions, and stays so.  One that can't be
 * read must not pass for an endpoint without a version, which is an old one. */
static void
test_version (void)
{
	static const struct {
		const char *more, *version;
	} rows[] = {
		{"", ""},
		{",\"version\":null", ""},
		{",\"version\":\"\"", ""},
		{",\"version\":\"v2\"", "v2"},
		{",\"version\":2", FLEET_VERSION_UNREADABLE},
		{",\"version\":\"a\\nb\"", FLEET_VERSION_UNREADABLE},
		{",\"version\":\"a\\u0000b\"", FLEET_VERSION_UNREADABLE},
	};
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	GString *page = g_string_new ("{\"instances\":[");
	const struct fleet_info *i;
	struct dia_skipped skipped = {0};
	char *next = NULL, *longest = g_strnfill (63, 'v');

	for (unsigned n = 0; n < G_N_ELEMENTS (rows); n++)
		g_string_append_printf (page, ENTRY ("a", "%s") ",",
					rows[n].more);
	g_string_append_printf (page,
				ENTRY ("b", ",\"version\":\"%s\"") "," ENTRY (
					"c", ",\"version\":\"%sv\"") "]}",
				longest, longest);
	CU_ASSERT (d->parse_list (page->str, page->len, out, &next, &skipped,
				  NULL));
	CU_ASSERT_FATAL (out->len == G_N_ELEMENTS (rows) + 2);
	i = (const struct fleet_info *)out->data;
	for (unsigned n = 0; n < G_N_ELEMENTS (rows); n++)
		CU_ASSERT_STRING_EQUAL (i[n].version, rows[n].version);
	CU_ASSERT_STRING_EQUAL (i[out->len - 2].version, longest);
	CU_ASSERT_STRING_EQUAL (i[out->len - 1].version,
				FLEET_VERSION_UNREADABLE);
	g_free (longest);
	g_string_free (page, TRUE);
	g_array_free (out, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"entries", test_entries},
		{"unreadable entry", test_unreadable_entry},
		{"number out of range", test_number_out_of_range},
		{"odd text", test_odd_text},
		{"odd address", test_odd_address},
		{"reasons", test_reasons},
		{"cut", test_cut},
		{"version", test_version},
		{NULL, NULL}};

	return t_run ("platform_list", cases);
}
