/*
 * The seeds are taken from the settings again, and when the settings are looked
 * at by a process that lost its group.
 */
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

#include "seeds.h"
#include "set_daemons.h"
#include "t_run.h"

static char *path;

static void
write_settings (const char *seeds)
{
	char *text = g_strdup_printf (
		"{\"name\": \"r\", \"domain\": \"d\", \"listen\": "
		"\"127.0.0.1:1\","
		" \"ready\": \"127.0.0.1:2\", \"peer\": \"127.0.0.1:3\","
		" \"cluster_key_file\": \"k\", \"platform\": \"127.0.0.1:4\","
		" \"seeds\": %s}",
		seeds);

	CU_ASSERT_FATAL (g_file_set_contents (path, text, -1, NULL));
	g_free (text);
}

static enum seeds_verdict
reload (struct set_relayd *set, struct err *e)
{
	struct set_relayd fresh = {0};

	err_clear (e);
	return seeds_reload (path, set_relayd_rows, &fresh, &fresh.seeds,
			     &set->seeds, e);
}

/* Settings that can't be used leave the seeds as they are. */
static void
test_reload (void)
{
	struct set_relayd set = {0};
	struct err e = {0};

	path = g_strdup_printf ("%s/dh-test-seeds-%d", g_get_tmp_dir (),
				(int)getpid ());
	write_settings ("[\"10.0.0.1:9\", \"10.0.0.2:9\"]");
	CU_ASSERT_FATAL (set_load (path, set_relayd_rows, &set, NULL, &e));
	CU_ASSERT_EQUAL (reload (&set, &e), SEEDS_SAME);
	write_settings ("[\"10.0.0.1:9\", \"10.0.0.3:9\"]");
	CU_ASSERT_EQUAL (reload (&set, &e), SEEDS_CHANGED);
	CU_ASSERT_STRING_EQUAL (set.seeds->pdata[1], "10.0.0.3:9");
	write_settings ("[]");
	CU_ASSERT_EQUAL (reload (&set, &e), SEEDS_KEPT);
	CU_ASSERT (strstr (e.msg, "seeds") != NULL);
	g_unlink (path);
	CU_ASSERT_EQUAL (reload (&set, &e), SEEDS_KEPT);
	CU_ASSERT (set.seeds->len == 2 && e.kind == ERR_IO);
	set_release (set_relayd_rows, &set);
	g_free (path);
}

static void
test_peer_addr (void)
{
	char addr[SET_ADDR_BYTES];

	seeds_peer_addr ("10.2.0.39:8229", 7340, addr, sizeof addr);
	CU_ASSERT_STRING_EQUAL (addr, "10.2.0.39:7340");
}

/* Out of touch for a minute: the settings are read again and again, with pauses
 * that grow.  A short election is no reason. */
static void
test_watch (void)
{
	struct seeds_watch w;
	uint32_t reads = 0;
	uint64_t last_ms = 0, longest_ms = 0;

	seeds_watch_init (&w, 1000);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, true, 1500), SEEDS_QUIET);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, false, 2000), SEEDS_QUIET);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, false, 3900), SEEDS_QUIET);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, true, 3950), SEEDS_QUIET);
	CU_ASSERT_EQUAL (w.lost, 0);
	for (uint64_t now_ms = 10000; now_ms < 70000; now_ms += 20) {
		if (seeds_watch_tick (&w, false, now_ms) != SEEDS_OUT_OF_TOUCH)
			continue;
		if (reads++ > 0)
			longest_ms = MAX (longest_ms, now_ms - last_ms);
		last_ms = now_ms;
	}
	CU_ASSERT (reads >= 5 && reads <= 8);
	CU_ASSERT (longest_ms <= SEEDS_PAUSE_MAX_MS + 20);
	CU_ASSERT (w.lost == 1 && w.out_ms >= 59000);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, true, 70000), SEEDS_IN_TOUCH);
	CU_ASSERT_EQUAL (seeds_watch_tick (&w, true, 70020), SEEDS_QUIET);
}

int
main (void)
{
	static const struct t_case cases[] = {{"reload", test_reload},
					      {"peer address", test_peer_addr},
					      {"watch", test_watch},
					      {NULL, NULL}};

	return t_run ("seeds", cases);
}
