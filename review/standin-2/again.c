/*
 * A server starts during traffic, and is cold.  It becomes cold again before it
 * is warm.
 */
#include "load.h"

#define SERVERS 3
/* Of the sheet, the requests to model servers. */
#define PER_S 69
#define PLAY_MS 18000
#define START_AT_MS 6000
/* So long after its start it becomes cold again: late enough to be cold for
 * longer, and so early that the list shows it before the first cold time is
 * over. */
#define AGAIN_MS 1900

static int
play (bool trouble)
{
	load_start (PER_S, PLAY_MS);
	pause_ms (START_AT_MS);
	start_server ("z1", LOAD_COLD_MS);
	pause_ms (AGAIN_MS);
	if (trouble)
		server_cool (&servers[SERVERS], LOAD_COLD_MS);
	pause_ms (PLAY_MS - START_AT_MS - AGAIN_MS + 1000);
	return load_result ();
}

const struct review_case case_again = {SERVERS, 2, 3, LOAD_LAG_MS, play};
