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
#define EVENT_MS 15    /* between two events of a stream */
#define GRACE_MS 8000
#define TURN_MS 1 /* the endpoints' loops run between two of these */
#define JUDGE_MS 3000
#define ERRORS_MS 6000
#define WARM_MS 1500
#define USED_MS JUDGE_MS  /* for endpoints that were silent to be used */
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
	if (k->crash.on)
		crash_tick (k, now_ms);
	if (k->next_silence_ms != 0)
		quiet_tick (k, now_ms);
	if (k->stops.on)
		stops_tick (k, now_ms);
	cut_tick (k, now_ms);
	callers_tick (k, now_ms);
	if (k->next_fault_ms != 0 && now_ms >= k->next_fault_ms) {
		k->next_fault_ms =
			now_ms + (uint64_t)g_rand_int_range (k->rand, 100, 900);
		procs_fault (k, now_ms);
	}
}

void
soak_run_for (struct soak *k, uint64_t ms, bool until_acked)
{
	uint64_t end_ms = tmr_now_ms () + ms;

	while (tmr_now_ms () < end_ms && !(until_acked && k->acked > 0)) {
		uint64_t now_ms = tmr_now_ms ();

		if (k->quiet.on && k->turn_ms != 0)
			k->pause_ms = MAX (k->pause_ms, now_ms - k->turn_ms);
		k->turn_ms = now_ms;
		h2o_evloop_run (k->loop, TURN_MS);
		world_run (k);
	}
}

/* In the end all is in order: what was acknowledged is in force, and requests
 * are served. */
static void
judge (struct soak *k)
{
	uint32_t served = k->served, refused = k->refused, failed = k->failed;
	double share;

	soak_run_for (k, JUDGE_MS, false);
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
	soak_run_for (k, RESTART_MS, false);
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
	soak_run_for (k, ERRORS_MS, false);
	k->eps[0].mode = k->eps[SOAK_EPS - 1].mode = SOAK_WELL;
}

/* Sound endpoints fall silent and go on, and configurations change; while the
 * end is judged, all that were used before are used again. */
static void
play_quiet (struct soak *k, uint64_t ms)
{
	uint64_t healed_ms;

	/* At first relays know no loads, and use servers of all domains. */
	quiet_note_used (k);
	soak_run_for (k, USED_MS, false);
	quiet_note_used (k);
	k->quiet.on = true;
	k->quiet.begun_wall_ms = tmr_wall_ms ();
	k->next_silence_ms = tmr_now_ms ();
	soak_run_for (k, ms, false);
	k->next_silence_ms = 0;
	healed_ms = tmr_now_ms ();
	for (int i = 0; i < SOAK_EPS; i++)
		healed_ms = MAX (healed_ms, k->eps[i].silent_until_ms);
	while (tmr_now_ms () < healed_ms)
		soak_run_for (k, 10, false);
	for (int i = 0; i < SOAK_EPS; i++)
		memset (k->eps[i].ran, 0, sizeof k->eps[i].ran);
}

/* Daemons connect from their own addresses, so another run with the same
 * addresses could hold a stopped daemon's port with an outgoing connection.
 * tests/lib.sh uses the same formula: no two live processes share a block, as
 * long as the system's pid_max is at most 32768, Linux's default. */
static void
net_init (struct soak *k)
{
	unsigned pid = (unsigned)getpid ();

	g_snprintf (k->net, sizeof k->net, "127.%u.%u", 64 + pid / 256 % 128,
		    pid % 256);
}

static void
play (struct soak *k, uint64_t fault_ms, const char *what)
{
	bool faults = fault_ms > 0 && strpbrk (what, "ql") == NULL &&
		      k->crash.what == SOAK_CRASH_NONE;

	net_init (k);
	k->loop = h2o_evloop_create ();
	k->rand = g_rand_new_with_seed (k->seed);
	k->traffic = g_rand_new_with_seed (k->seed);
	world_init (k);
	procs_init (k);
	callers_init (k);
	explain_init (k);
	tmr_init (&k->tick, k->loop, on_tick, k);
	tmr_start (&k->tick, 1);
	soak_run_for (k, START_MS, true);
	if (k->acked == 0)
		soak_wrong (k, "no configuration was acknowledged");
	soak_run_for (k, WARM_MS, false);
	if (strchr (what, 'r') != NULL)
		play_restart (k);
	if (strchr (what, 'e') != NULL)
		play_errors (k);
	if (strchr (what, 'f') != NULL)
		floods_play (k);
	if (strchr (what, 'q') != NULL)
		play_quiet (k, fault_ms);
	if (strchr (what, 'l') != NULL)
		stops_play (k, fault_ms);
	if (k->crash.what != SOAK_CRASH_NONE)
		crash_play (k);
	k->next_fault_ms = faults ? tmr_now_ms () : 0;
	soak_run_for (k, faults ? fault_ms : 0, false);
	k->next_fault_ms = 0;
	procs_heal (k);
	soak_run_for (k, faults ? HEAL_MS : what[0] == 0 ? 500 : 0, false);
	k->calm = true;
	if (k->crash.what == SOAK_CRASH_NONE)
		judge (k);
	if (strchr (what, 'q') != NULL)
		quiet_check_used (k);
	tmr_finish (&k->tick);
	procs_finish (k);
	cut_finish (k);
	callers_finish (k);
	explain_check (k);
	quiet_check_logs (k);
	world_finish (k);
	g_rand_free (k->rand);
	g_rand_free (k->traffic);
}

static int
print_ports (void)
{
	uint16_t ports[SOAK_PORTS] = {0};

	procs_free_ports (ports, SOAK_PORTS);
	return printf ("%u %u %u %u\n", ports[0], ports[1], ports[2],
		       ports[3]) < 0;
}

int
main (int argc, char **argv)
{
	struct soak k = {.seed = 1,
			 .bin = (char *)"build/bin",
			 .event_ms = EVENT_MS,
			 .stops.grace_ms = GRACE_MS};
	uint64_t fault_ms = 8000;
	char what[8] = "";
	int c;

	while ((c = getopt (argc, argv, "s:t:b:g:prefqlx:")) != -1) {
		if (c == 's')
			k.seed = (uint32_t)strtoul (optarg, NULL, 10);
		else if (c == 't')
			fault_ms = strtoul (optarg, NULL, 10);
		else if (c == 'b')
			k.bin = optarg;
		else if (c == 'g')
			k.stops.grace_ms = (uint32_t)strtoul (optarg, NULL, 10);
		else if (strchr ("refql", c) != NULL)
			what[strlen (what) % 7] = (char)c;
		else if (c == 'x' && strcmp (optarg, "segment") == 0)
			k.crash.what = SOAK_CRASH_SEGMENT;
		else if (c == 'x' && strcmp (optarg, "request") == 0)
			k.crash.what = SOAK_CRASH_REQUEST;
		else if (c == 'x' && strcmp (optarg, "group") == 0)
			k.crash.what = SOAK_CRASH_GROUP;
		else if (c == 'x' && strcmp (optarg, "cured") == 0)
			k.crash.what = SOAK_CRASH_CURED;
		else if (c == 'p')
			return print_ports ();
		else
			return 2;
	}
	signal (SIGPIPE, SIG_IGN);
	log_init ("soak", "", LOG_LV_ERROR);
	k.dir = g_dir_make_tmp ("soak-XXXXXX", NULL);
	play (&k, fault_ms, what);
	printf ("seed %u: %s: %u served, %u refused, %u failed, %u faults, "
		"version %" G_GUINT64_FORMAT "%s%s\n",
		k.seed, k.wrong == 0 ? "passed" : "FAILED", k.served, k.refused,
		k.failed, k.faults, k.acked, k.wrong == 0 ? "" : "; logs in ",
		k.wrong == 0 ? "" : k.dir);
	if (k.crash.on)
		printf ("seed %u: %u crashes; %u requests that crash reached "
			"endpoints, %u of them late; sound ones served %u, "
			"%s %u\n",
			k.seed, k.crash.crashes, k.crash.reached, k.crash.late,
			k.crash.after,
			k.crash.what == SOAK_CRASH_CURED ? "of" : "before",
			k.crash.usual);
	if (k.quiet.begun_wall_ms != 0)
		printf ("seed %u: %u silences; relays sent %u again, endpoints "
			"ran %u again; %u refused, %u errors; %u used again "
			"after a second's rest or more, %u closed before four "
			"fifths of the limit; "
			"the soak's longest pause %" G_GUINT64_FORMAT " ms%s\n",
			k.seed, k.quiet.silences, k.quiet.resends,
			k.quiet.reruns, k.quiet.refused, k.quiet.errors,
			k.quiet.reused, k.quiet.closed, k.pause_ms,
			k.quiet.left_out ? "; logs left lines out" : "");
	if (k.stops.count > 0)
		printf ("seed %u: %u planned stops, grace %u ms; of the "
			"requests beside them %u were answered, %u found no "
			"listener, %u crossed a close, %u ran beyond the "
			"grace\n",
			k.seed, k.stops.count, k.stops.grace_ms,
			k.stops.answered, k.stops.unsent, k.stops.crossed,
			k.stops.late);
	if (k.wrong == 0)
		procs_clean (&k);
	return k.wrong == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
