/*
 * HTTP/1.1 heads and bodies: what two readers could frame differently is
 * refused, and a body ends where its framing says.
 */
#include <string.h>

#include "h1.h"
#include "t_run.h"

static enum h1_verdict
request (const char *text, struct h1_head *h)
{
	size_t used;

	return h1_request (text, strlen (text), h, &used);
}

static void
test_request (void)
{
	struct h1_head h;

	CU_ASSERT (request ("POST /a/../b%2f?q=1 HTTP/1.1\r\nHost: x:80\r\n"
			    "Content-Length: 3\r\n\r\nabc",
			    &h) == H1_OK);
	CU_ASSERT (h.path_len == 14 &&
		   memcmp (h.path, "/a/../b%2f?q=1", 14) == 0);
	CU_ASSERT (h.framing == H1_LENGTH && h.length == 3 && !h.close);
	CU_ASSERT (request ("GET / HTTP/1.1\r\nHost: x\r\n", &h) == H1_MORE);
	CU_ASSERT (request ("GET / HTTP/1.0\r\n\r\n", &h) == H1_OK && h.close);
	CU_ASSERT (request ("GET / HTTP/1.1\r\nConnection: a, Close\r\n\r\n",
			    &h) == H1_OK &&
		   h.close);
}

static void
test_ambiguous (void)
{
	static const char *const bad[] = {
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3"
		"\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
		"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
		"POST / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
		"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"\x16\x03\x01 nonsense\r\n\r\n",
	};
	struct h1_head h;

	for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
		CU_ASSERT (request (bad[i], &h) == H1_BAD);
}

static void
test_response (void)
{
	const char *none = "HTTP/1.1 200 OK\r\n\r\n";
	const char *keep = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
			   "Keep-Alive: max=9, timeout=7\r\n\r\n";
	struct h1_head h;
	size_t used;

	CU_ASSERT (h1_response (none, strlen (none), false, &h, &used) ==
			   H1_OK &&
		   h.framing == H1_UNTIL_CLOSE);
	CU_ASSERT (h1_response (none, strlen (none), true, &h, &used) ==
			   H1_OK &&
		   h.framing == H1_NO_BODY);
	CU_ASSERT (h1_response (keep, strlen (keep), false, &h, &used) ==
			   H1_OK &&
		   h.framing == H1_NO_BODY && h.keep_s == 7);
}

/* Heads that are no answer, whatever their status and whether it is the last
 * head: nothing of them may be acted on. */
static void
test_response_refused (void)
{
	static const char *const statuses[] = {"000", "099", "600",
					       "999", "20",  "2000"};
	static const char *const fields[] = {
		"X Bad: 1",
		"X\tBad: 1",
		"X\001Bad: 1",
		"X\177Bad: 1",
		"X\200Bad: 1",
		": 1",
		"Content-Length : 3",
		"Content-Length\t: 3",
		"Content\001-Length: 3",
		"Transfer-Encoding : chunked",
		" Content-Length: 3",
		"Content-Length: 3\r\nContent-Length: 3",
		"Content-Length: 3x",
		"Content-Length: 3\r\nTransfer-Encoding: chunked",
		"X-Bad: 1\001",
	};
	static const char *const heads[] = {"100 Continue", "200 OK",
					    "503 Full"};
	struct h1_head h;
	char text[256];
	size_t used;

	for (unsigned i = 0; i < G_N_ELEMENTS (statuses); i++) {
		g_snprintf (text, sizeof text,
			    "HTTP/1.1 %s Trouble\r\nContent-Length: 3\r\n\r\n",
			    statuses[i]);
		CU_ASSERT (h1_response (text, strlen (text), false, &h,
					&used) == H1_BAD);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (fields); i++) {
		for (unsigned k = 0; k < G_N_ELEMENTS (heads); k++) {
			enum h1_verdict v;

			g_snprintf (text, sizeof text,
				    "HTTP/1.1 %s\r\nX-A: 1\r\n%s\r\n\r\n",
				    heads[k], fields[i]);
			v = h1_response (text, strlen (text), false, &h, &used);
			if (v != H1_BAD)
				g_print ("%s: verdict %d\n", text, v);
			CU_ASSERT (v == H1_BAD);
		}
	}
}

/* Feeds @text in pieces of @step bytes; the body found goes to @out. */
static enum h1_step
read_body (struct h1_body *b, const char *text, size_t step, GString *out)
{
	size_t at = 0, end = 0, len = strlen (text);
	enum h1_step s = H1_STEP_MORE;

	while (s == H1_STEP_MORE || s == H1_STEP_DATA) {
		const char *data = NULL;
		size_t n = 0, used;

		s = h1_body_step (b, text + at, end - at, &used, &data, &n);
		at += used;
		if (s == H1_STEP_DATA)
			g_string_append_len (out, data, (gssize)n);
		if (s == H1_STEP_MORE) {
			if (end == len)
				break;
			end = MIN (end + step, len);
		}
	}
	return s;
}

static void
test_chunks (void)
{
	static const struct {
		const char *text;
		enum h1_step end;
		const char *body;
	} rows[] = {
		{"3\r\nabc\r\n1;x=y\r\nd\r\n0\r\n\r\n", H1_STEP_END, "abcd"},
		{"3\r\nabc\r\n0\r\nT: u\r\n\r\n", H1_STEP_END, "abc"},
		{"3\r\nabc\r\n", H1_STEP_MORE, "abc"},
		{"3\r\nabcX\n", H1_STEP_BAD, "abc"},
		{"\r\n", H1_STEP_BAD, ""},
		{"-1\r\n", H1_STEP_BAD, ""},
		{"fffffffffff\r\n", H1_STEP_BAD, ""},
	};

	for (unsigned i = 0; i < G_N_ELEMENTS (rows); i++) {
		for (size_t step = 1; step < 8; step++) {
			struct h1_head h = {.framing = H1_CHUNKED};
			struct h1_body b;
			GString *out = g_string_new (NULL);

			h1_body_init (&b, &h);
			CU_ASSERT (read_body (&b, rows[i].text, step, out) ==
				   rows[i].end);
			CU_ASSERT_STRING_EQUAL (out->str, rows[i].body);
			g_string_free (out, TRUE);
		}
	}
}

static void
test_hop_headers (void)
{
	struct h1_head h;

	CU_ASSERT (request ("GET / HTTP/1.1\r\nConnection: X-Mine, close\r\n"
			    "X-Mine: 1\r\nKeep-Alive: 3\r\nX-Other: 1\r\n\r\n",
			    &h) == H1_OK);
	CU_ASSERT (h1_hop_header (&h, h1_find (&h, "x-mine")));
	CU_ASSERT (h1_hop_header (&h, h1_find (&h, "keep-alive")));
	CU_ASSERT (!h1_hop_header (&h, h1_find (&h, "x-other")));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"request", test_request},
		{"ambiguous", test_ambiguous},
		{"response", test_response},
		{"refused answers", test_response_refused},
		{"chunks", test_chunks},
		{"hop headers", test_hop_headers},
		{NULL, NULL}};

	return t_run ("h1", cases);
}
