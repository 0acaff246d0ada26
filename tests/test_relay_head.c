/*
 * Answers of the relay to HEAD, its own and those of endpoints, have no body:
 * the client reads its next answer where the head ends.
 */
#include <string.h>

#include "relay_world.h"
#include "t_run.h"

static void
expect_head (const char *path, const struct answer *answers, int status,
	     const char *length)
{
	struct world w;
	char *head = g_strdup_printf ("HEAD %s HTTP/1.1\r\nHost: h\r\n"
				      "X-Request-Id: r1\r\n\r\n",
				      path);
	char *line = g_strdup_printf ("Content-Length: %s\r\n", length);

	world_init (&w, "app", 1);
	w.to_head = true;
	world_send (&w, head, answers);
	if (world_status (&w) != status ||
	    !g_str_has_suffix (w.got->str, "\r\n\r\n"))
		g_print ("%s: %s\n", path, w.got->str);
	CU_ASSERT_EQUAL (world_status (&w), status);
	CU_ASSERT (g_str_has_suffix (w.got->str, "\r\n\r\n"));
	CU_ASSERT (length[0] != '\0'
			   ? strstr (w.got->str, line) != NULL
			   : strstr (w.got->str, "Content-Length") == NULL);
	world_finish (&w);
	g_free (line);
	g_free (head);
}

static void
test_own_answers (void)
{
	static const struct answer none[ANSWERS_MAX] = {{.text = NULL}};

	/* {"error":"no route"} and a line's end */
	expect_head ("/nowhere", none, 404, "21");
}

static void
test_endpoints_answers (void)
{
	static const struct answer with_length[ANSWERS_MAX] = {
		{.text = OK_HEAD "Content-Length: 1234\r\n\r\n"}};
	static const struct answer without[ANSWERS_MAX] = {
		{.text = OK_HEAD "\r\n"}};
	static const struct answer chunked[ANSWERS_MAX] = {
		{.text = OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"}};
	static const struct answer failed[ANSWERS_MAX] = {
		{.text = "HTTP/1.1 404 None\r\nX-Request-Id: r1\r\n"
			 "X-Response-Seal: s\r\nContent-Length: 9\r\n\r\n"}};

	expect_head ("/i/a", with_length, 200, "1234");
	expect_head ("/i/a", without, 200, "");
	expect_head ("/i/a", chunked, 200, "");
	expect_head ("/i/a", failed, 404, "9");
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"own answers", test_own_answers},
		{"endpoints' answers", test_endpoints_answers},
		{NULL, NULL}};

	return t_run ("relay_head", cases);
}
