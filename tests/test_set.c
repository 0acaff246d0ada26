/*
 * Settings: what the table takes, what it refuses, and where it says so.
 */
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "set_daemons.h"
#include "t_run.h"

struct sample {
	char name[8];
	bool on;
	uint8_t small;
	uint64_t big;
	char addr[32];
	uint8_t hash[2];
	int colour;
	GPtrArray *words;
};

static const char *const colours[] = {"red", "green", NULL};

static const struct set_row rows[] = {
	SET_ROW ("name", SET_NAME, struct sample, name, .required = true),
	SET_ROW ("on", SET_BOOL, struct sample, on, .def = "true"),
	SET_ROW ("small", SET_U8, struct sample, small, .def = "7", .min = 2),
	SET_ROW ("big", SET_U64, struct sample, big),
	SET_ROW ("addr", SET_ADDR, struct sample, addr, .min = 1),
	SET_ROW ("hash", SET_HEX, struct sample, hash),
	SET_ROW ("colour", SET_ENUM, struct sample, colour, .words = colours),
	SET_ROW ("words", SET_LIST, struct sample, words, .max = 2),
	SET_ROW_END,
};

/* Reads @text; the problems come as "line:path:what" lines. */
static char *
problems_of (const char *text, size_t len)
{
	GArray *p = g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	json_object *json = set_json_parse (text, len, p);
	GString *out = g_string_new (NULL);
	struct sample s = {0};

	if (json != NULL)
		set_read (rows, json, 1, "", &s, p);
	for (guint i = 0; i < p->len; i++) {
		const struct inv_problem *q =
			&g_array_index (p, struct inv_problem, i);

		g_string_append_printf (out, "%u:%s:%s\n", q->line, q->path,
					q->what);
	}
	set_release (rows, &s);
	json_object_put (json);
	g_array_unref (p);
	return g_string_free (out, FALSE);
}

static void
test_good (void)
{
	static const char text[] =
		"// a comment with \"quotes\"\n"
		"{ /* \"on\": 1, */ \"name\": \"a-b_c.\", \"big\": "
		"18446744073709551615,\n"
		"\"addr\": \"10.0.0.1:80\", \"hash\": \"0aF0\", \"colour\": "
		"\"green\", \"words\": [\"a//b\", \"c\\\"/*\"] }\n\n";
	GArray *p = g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	json_object *json = set_json_parse (text, sizeof text - 1, p);
	struct sample s = {0};
	char *printed;

	CU_ASSERT_PTR_NOT_NULL_FATAL (json);
	CU_ASSERT_TRUE (set_read (rows, json, 1, "", &s, p));
	CU_ASSERT_STRING_EQUAL (s.name, "a-b_c.");
	CU_ASSERT (s.on && s.small == 7 && s.big == UINT64_MAX);
	CU_ASSERT (s.hash[0] == 0x0a && s.hash[1] == 0xf0 && s.colour == 1);
	CU_ASSERT_EQUAL_FATAL (s.words->len, 2);
	CU_ASSERT_STRING_EQUAL (s.words->pdata[0], "a//b");
	CU_ASSERT_STRING_EQUAL (s.words->pdata[1], "c\"/*");
	printed = set_print (rows, &s);
	CU_ASSERT_STRING_EQUAL (
		printed, "{\"name\":\"a-b_c.\",\"big\":18446744073709551615,"
			 "\"addr\":\"10.0.0.1:80\",\"hash\":\"0af0\","
			 "\"colour\":\"green\",\"words\":[\"a//b\","
			 "\"c\\\"/*\"]}");
	g_free (printed);
	set_release (rows, &s);
	json_object_put (json);
	g_array_unref (p);
}

struct bad {
	const char *text;
	const char *problems;
};

static const struct bad bads[] = {
	/* syntax, each with its line */
	{"", "1::text ends inside a value\n"},
	{"{\n\"name\": \"a\"", "2::text ends inside a value\n"},
	{"{\"name\": \"a\"} x", "1::unexpected character\n"},
	{"{\"name\": \"a\",\n}", "2::unexpected character\n"},
	{"{'name': \"a\"}", "1::a member's name must stand in double quotes\n"},
	{"{\"name\":\n 'a'}", "2::unexpected character\n"},
	{"\n/* no end", "2::comment does not end\n"},
	{"null", "1::text ends inside a value\n"},
	{" null ,", "1::unexpected character\n"},
	{"{\"name\": \"a\"\n // x\n \"on\": true}",
	 "3::object value separator ',' expected\n"},
	{"{\"name\": \"\xff\"}", "1::invalid utf-8 string\n"},
	{"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[", "1::nesting too deep\n"},
	/* names */
	{"[]", "1::must be an object\n"},
	{"{}", "1:name:missing\n"},
	{"{\"name\":\"a\",\n\"nam\":1}", "2:nam:unknown name\n"},
	{"{\"name\":\"a\",\n\n\"name\":\"b\"}", "3:name:duplicate member\n"},
	{"{\"name\":\"a\",\n\"\\u006eame\":\"b\"}",
	 "2:name:duplicate member\n"},
	{"{\"name\":\"a\",\"words\":[],\n\"words\":[\"x\"]}",
	 "2:words:duplicate member\n"},
	/* types */
	{"{\n\"name\":\n1}", "2:name:must be a string\n"},
	{"{\"name\":null}", "1:name:must be a string\n"},
	{"{\"name\":\"a\",\"on\":1}", "1:on:must be true or false\n"},
	{"{\"name\":\"a\",\"small\":\"3\"}",
	 "1:small:must be a whole number\n"},
	{"{\"name\":\"a\",\"small\":3.0}", "1:small:must be a whole number\n"},
	{"{\"name\":\"a\",\"small\":NaN}", "1:small:must be a whole number\n"},
	{"{\"name\":\"a\",\"words\":\"x\"}",
	 "1:words:must be an array of strings\n"},
	{"{\"name\":\"a\",\"words\":[\n1]}", "2:words[0]:must be a string\n"},
	/* ranges */
	{"{\"name\":\"a\",\"small\":1}",
	 "1:small:must be from 2 to 255, not 1\n"},
	{"{\"name\":\"a\",\"small\":256}",
	 "1:small:must be from 2 to 255, not 256\n"},
	{"{\"name\":\"a\",\"big\":-1}",
	 "1:big:must be from 0 to 18446744073709551615, not -1\n"},
	{"{\"name\":\"\"}", "1:name:must have from 1 to 7 bytes\n"},
	{"{\"name\":\"12345678\"}", "1:name:must have from 1 to 7 bytes\n"},
	{"{\"name\":\"a b\"}",
	 "1:name:may hold only letters, digits, '-', '_' and '.'\n"},
	{"{\"name\":\"a\\u0000b\"}",
	 "1:name:must not hold control characters\n"},
	{"{\"name\":\"a\",\"hash\":\"0a0\"}", "1:hash:must be 4 hex digits\n"},
	{"{\"name\":\"a\",\"hash\":\"0a0g\"}", "1:hash:must be 4 hex digits\n"},
	{"{\"name\":\"a\",\"colour\":\"blue\"}",
	 "1:colour:must be one of: red, green\n"},
	{"{\"name\":\"a\",\"words\":[\"a\",\"b\",\"c\"]}",
	 "1:words:must have from 0 to 2 items\n"},
	{"{\"name\":\"a\",\"words\":[\"a\",\n\"a\"]}",
	 "2:words[1]:stands twice in the list\n"},
	/* every problem in one run */
	{"{\"x\":1,\n\"on\":2,\n\"small\":0}",
	 "1:x:unknown name\n2:on:must be true or false\n"
	 "3:small:must be from 2 to 255, not 0\n1:name:missing\n"},
};

static void
test_bad (void)
{
	for (size_t i = 0; i < G_N_ELEMENTS (bads); i++) {
		char *got = problems_of (bads[i].text, strlen (bads[i].text));

		if (strcmp (got, bads[i].problems) != 0)
			printf ("\n%s\ngives %s", bads[i].text, got);
		CU_ASSERT_STRING_EQUAL (got, bads[i].problems);
		g_free (got);
	}
}

static void
test_zero_byte (void)
{
	char *got = problems_of ("{\n\0}", 4);

	CU_ASSERT_STRING_EQUAL (got, "2::zero byte in text\n");
	g_free (got);
}

static void
test_addresses (void)
{
	static const char *const refused[] = {
		"10.0.0.1",   "10.0.0.1:",      ":80",          "localhost:80",
		"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1",  "10.0.0.1:80x",
		"10.0.0:80",  "10.0.0.256:80",  "10.0.0.1 :80", "10.0.0.1: 80",
		"1:2:3",      "10.0.0.1:+80",
	};

	for (size_t i = 0; i < G_N_ELEMENTS (refused); i++) {
		char *text = g_strdup_printf (
			"{\"name\":\"a\",\"addr\":\"%s\"}", refused[i]);
		char *got = problems_of (text, strlen (text));

		CU_ASSERT_PTR_NOT_NULL (strstr (got, "IP number and a port"));
		g_free (got);
		g_free (text);
	}
}

static char *
temp_file (const char *text)
{
	char *path = NULL;
	int fd = g_file_open_tmp ("dh-set-XXXXXX", &path, NULL);

	CU_ASSERT_FATAL (fd >= 0);
	close (fd);
	g_file_set_contents (path, text, -1, NULL);
	return path;
}

static void
test_load (void)
{
	char *path = temp_file ("{\n \"on\": false, // off\n \"x\": 1 }\n");
	struct sample s;
	struct err e;
	char *want;

	CU_ASSERT_FALSE (set_load (path, rows, &s, NULL, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_SETTINGS);
	want = g_strdup_printf ("%s:3: x: unknown name", path);
	CU_ASSERT_STRING_EQUAL (e.msg, want);
	set_release (rows, &s);
	g_unlink (path);
	CU_ASSERT_FALSE (set_load (path, rows, &s, NULL, &e));
	CU_ASSERT_EQUAL (e.kind, ERR_IO);
	set_release (rows, &s);
	g_free (want);
	g_free (path);
}

static void
test_secrets (void)
{
	static const struct {
		const char *text;
		bool secret;
		bool token;
	} table[] = {
		{"00ff\n", true, true},       {"00ff", true, true},
		{"00f", false, true},         {"00fg", false, true},
		{"00 ff", false, false},      {"", false, false},
		{"00ff\n00ff", false, false}, {"12345678", false, false},
	};

	for (size_t i = 0; i < G_N_ELEMENTS (table); i++) {
		char *path = temp_file (table[i].text);
		uint8_t secret[2];
		char token[8];

		CU_ASSERT_EQUAL (
			set_secret_load (path, secret, sizeof secret, NULL),
			table[i].secret);
		CU_ASSERT_EQUAL (
			set_token_load (path, token, sizeof token, NULL),
			table[i].token);
		g_unlink (path);
		g_free (path);
	}
}

/* Every default in the tables can be read, and is left out in print. */
static void
test_defaults (void)
{
	static const struct set_row *const tables[] = {rows,
						       set_entryd_rows,
						       set_controld_rows,
						       set_relayd_rows,
						       set_groupd_rows,
						       set_dhctl_rows};

	for (size_t i = 0; i < G_N_ELEMENTS (tables); i++) {
		char obj[4096] = {0};
		char *text;

		set_defaults (tables[i], obj);
		text = set_print (tables[i], obj);
		for (const struct set_row *r = tables[i]; r->type != SET_END;
		     r++) {
			char *name = g_strdup_printf ("\"%s\":", r->name);

			CU_ASSERT_EQUAL (strstr (text, name) != NULL,
					 r->required);
			g_free (name);
		}
		g_free (text);
		set_release (tables[i], obj);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"good", test_good},           {"bad", test_bad},
		{"zero byte", test_zero_byte}, {"addresses", test_addresses},
		{"load", test_load},           {"secrets", test_secrets},
		{"defaults", test_defaults},   {NULL, NULL},
	};

	return t_run ("set", cases);
}
