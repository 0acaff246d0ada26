/*
 * A failure domain is emptied and taken back.  Its servers have become cold
 * shortly before that.
 */
#include <string.h>

#include "load.h"

/* Of the sheet, the requests to model servers. */
#define PER_S 69
#define PLAY_MS 24000
#define DRAIN_AT_MS 5000
#define DRAIN_MS 8000
#define COLD_BEFORE_MS 300

static int
play (bool trouble)
{
	static struct message m;

	load_start (PER_S, PLAY_MS);
	pause_ms (DRAIN_AT_MS);
	if (!order ("POST", "/api/evacuations/z1/start", "", 4000, &m))
		return 2;
	pause_ms (DRAIN_MS - COLD_BEFORE_MS);
	for (int i = 0; trouble && i < server_count; i++) {
		if (strcmp (servers[i].zone, "z1") == 0)
			server_cool (&servers[i], LOAD_COLD_MS);
	}
	pause_ms (COLD_BEFORE_MS);
	if (!order ("POST", "/api/evacuations/z1/finish", "", 4000, &m))
		return 2;
	pause_ms (PLAY_MS - DRAIN_AT_MS - DRAIN_MS + 1000);
	return load_result ();
}

const struct review_case case_cold = {2, 2, 3, LOAD_LAG_MS, play};
