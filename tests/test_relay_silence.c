/*
 * Streams whose endpoint is silent and taken for cut off, though it may go on.
 */
#include <string.h>

#include "relay_world.h"
#include "t_run.h"

#define CHUNKS STREAM "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK0 "f\r\n" E0 "\r\n"
#define CHUNK1 "f\r\n" E1 "\r\n"
#define END "0\r\n\r\n"

static void
check (struct world *w, const struct answer *answers, uint32_t requests)
{
	char *body;

	world_init (w, "app", ENDPOINTS);
	world_ask (w, "POST", "/r/a", "r1", answers);
	body = world_body (w);
	CU_ASSERT_STRING_EQUAL (body, E0 E1);
	CU_ASSERT (world_is_whole (w) && !w->reset);
	CU_ASSERT (w->answered == requests);
	g_free (body);
	world_finish (w);
}

/* The relay gave the run up, and then found no endpoint to go on with. */
static void
test_stream_of_a_silent_endpoint_cut_for_want_of_another (void)
{
	static const struct answer answers[ANSWERS_MAX] = {
		{.text = CHUNKS CHUNK0,
		 .cut_off = true,
		 .alone = true,
		 .rest = CHUNK1 END}};
	struct world w;

	check (&w, answers, 1);
}

static void
test_stream_goes_on_where_another_endpoint_takes_it (void)
{
	static const struct answer answers[ANSWERS_MAX] = {
		{.text = CHUNKS CHUNK0, .cut_off = true},
		{.text = CHUNKS CHUNK1 END}};
	struct world w;

	check (&w, answers, 2);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"no other endpoint",
		 test_stream_of_a_silent_endpoint_cut_for_want_of_another},
		{"another endpoint",
		 test_stream_goes_on_where_another_endpoint_takes_it},
		{NULL, NULL}};

	return t_run ("relay_silence", cases);
}
