/*
 * soak: play one seed.
 */
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "soak.h"

#define START_MS 15000 /* for the first configuration to be acknowledged */
#define HEAL_MS 12000  /* for all to be in order again after the last fault */
#define JUDGE_MS 3000
#define ERRORS_MS 6000
#define RESTART_MS 4000   /* a leader is elected in half of it */
#define SERVED_SHARE 0.95 /* of the requests in the end */

void
soak_wrong (struct soak *k, const char *fmt, ...)
{
	va_list ap;

	k->wrong++;
	if (k->wrong > 20)
		return;
	printf ("seed %u: ", k->seed);
	va_start (ap, fmt);
	vprintf (fmt, ap);
	va_end (ap);
	printf ("\n");
}

static void
on_tick (void *ctx)
{
	struct soak *k = ctx;
	uint64_t now_ms = tmr_now_ms ();

	tmr_start (&k->tick, SOAK_TICK_MS);
	procs_tick (k, now_ms);
	cut_tick (k, now_ms);
	callers_tick (k, now_ms);
	if (k->next_fault_ms != 0 && now_ms >= k->next_fault_ms) {
		k->next_fault_ms =
			now_ms + (uint64_t)g_rand_int_range (k->rand, 100, 900);
		procs_fault (k, now_ms);
	}
}

static void
run_for (struct soak *k, uint64_t ms, bool until_acked)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < end_ms && !(until_acked && k->acked > 0))
		h2o_evloop_run (k->loop, 20);
}

/* In the end all is in order: what was acknowledged is in force, and requests
 * are served. */
static void
judge (struct soak *k)
{
	uint32_t served = k->served, refused = k->refused, failed = k->failed;
	double share;

	run_for (k, JUDGE_MS, false);
	served = k->served - served;
	refused = k->refused - refused;
	failed = k->failed - failed;
	share = served / MAX (1.0, served + refused + failed);
	if (share < SERVED_SHARE)
		soak_wrong (k, "in the end %u served, %u refused, %u failed",
			    served, refused, failed);
	if (k->read_version < k->acked && k->read_version == 0)
		soak_wrong (k, "nothing is read back");
	world_check_usage (k);
}

/* All processes are killed at once and start again: callers that come before
 * the group has a leader are served by it, not told to come back. */
static void
play_restart (struct soak *k)
{
	uint32_t served = k->served, refused = k->refused;

	procs_kill_all (k, tmr_now_ms ());
	run_for (k, RESTART_MS, false);
	if (k->served - served < 10 || k->refused > refused)
		soak_wrong (k, "after a restart %u served, %u refused",
			    k->served - served, k->refused - refused);
}

/* An engine and a server answer each request with an error, so that requests
 * run twice. */
static void
play_errors (struct soak *k)
{
	k->eps[0].mode = k->eps[SOAK_EPS - 1].mode = SOAK_FAILS;
	run_for (k, ERRORS_MS, false);
	k->eps[0].mode = k->eps[SOAK_EPS - 1].mode = SOAK_WELL;
}

static void
play (struct soak *k, uint64_t fault_ms, bool restart, bool errors)
{
	k->loop = h2o_evloop_create ();
	k->rand = g_rand_new_with_seed (k->seed);
	world_init (k);
	procs_init (k);
	callers_init (k);
	explain_init (k);
	tmr_init (&k->tick, k->loop, on_tick, k);
	tmr_start (&k->tick, 1);
	run_for (k, START_MS, true);
	if (k->acked == 0)
		soak_wrong (k, "no configuration was acknowledged");
	run_for (k, 1500, false);
	if (restart)
		play_restart (k);
	if (errors)
		play_errors (k);
	k->next_fault_ms = fault_ms > 0 ? tmr_now_ms () : 0;
	run_for (k, fault_ms, false);
	k->next_fault_ms = 0;
	procs_heal (k);
	run_for (k, fault_ms > 0 ? HEAL_MS : 500, false);
	k->calm = true;
	judge (k);
	tmr_finish (&k->tick);
	procs_finish (k);
	cut_finish (k);
	callers_finish (k);
	explain_check (k);
	world_finish (k);
	g_rand_free (k->rand);
}

int
main (int argc, char **argv)
{
	struct soak k = {.seed = 1, .bin = (char *)"build/bin"};
	uint64_t fault_ms = 8000;
	bool restart = false, errors = false;
	int c;

	while ((c = getopt (argc, argv, "s:t:b:pre")) != -1) {
		if (c == 's')
			k.seed = (uint32_t)strtoul (optarg, NULL, 10);
		else if (c == 't')
			fault_ms = strtoul (optarg, NULL, 10);
		else if (c == 'b')
			k.bin = optarg;
		else if (c == 'r')
			restart = true;
		else if (c == 'e')
			errors = true;
		else if (c == 'p')
			return printf ("%u\n", procs_free_port ()) < 0;
		else
			return 2;
	}
	signal (SIGPIPE, SIG_IGN);
	log_init ("soak", "", LOG_LV_ERROR);
	k.dir = g_dir_make_tmp ("soak-XXXXXX", NULL);
	play (&k, fault_ms, restart, errors);
	printf ("seed %u: %s: %u served, %u refused, %u failed, %u faults, "
		"version %" G_GUINT64_FORMAT "%s%s\n",
		k.seed, k.wrong == 0 ? "passed" : "FAILED", k.served, k.refused,
		k.failed, k.faults, k.acked, k.wrong == 0 ? "" : "; logs in ",
		k.wrong == 0 ? "" : k.dir);
	if (k.wrong == 0)
		procs_clean (&k);
	return k.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
