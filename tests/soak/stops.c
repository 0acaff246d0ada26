/*
 * Planned stops: relays get SIGTERM, alone or two of them at once, right after
 * their start too, and further signals meanwhile.  Callers go on to use their
 * connections until these are closed.
 */
#include <signal.h>

#include "soak.h"

#define EVENT_MS 250
#define PAUSE_MS_MAX 2500

/* What may have run is lost beside a planned stop unless it was sent in the
 * first seconds and runs in the last part of the grace. */
#define LATE_AFTER_MS 3000
#define LAST_PART 6

/* Time to end a process, and for its end to be seen here. */
#define END_SLACK_MS 400
/* A caller that sent its request before it saw the close sees that soon. */
#define CROSS_MS 200
/* From the start of a relay until it listens. */
#define START_MS 500

static uint64_t
grace_end_ms (const struct soak *k, const struct soak_proc *p)
{
	return p->term_ms + k->stops.grace_ms;
}

static void
stop_relay (struct soak *k, uint64_t now_ms)
{
	struct soak_proc *p =
		&k->procs[SOAK_MEMBERS +
			  g_rand_int_range (k->rand, 0, SOAK_RELAYS)];
	uint32_t stopping = 0;

	for (int i = SOAK_MEMBERS; i < SOAK_MEMBERS + SOAK_RELAYS; i++)
		stopping += k->procs[i].pid <= 0 || k->procs[i].ending;
	if (p->pid <= 0)
		return;
	if (p->ending) {
		proc_kill (p, g_rand_boolean (k->rand) ? SIGTERM : SIGHUP);
	} else if (stopping < SOAK_RELAYS - 1) {
		p->ending = true;
		p->term_ms = now_ms;
		k->stops.count++;
		proc_kill (p, SIGTERM);
	}
}

void
stops_tick (struct soak *k, uint64_t now_ms)
{
	for (int i = SOAK_MEMBERS; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		struct soak_proc *p = &k->procs[i];

		if (p->pid > 0 && p->ending &&
		    now_ms >= grace_end_ms (k, p) + END_SLACK_MS) {
			soak_wrong (k, "%s outlives its grace", p->name);
			proc_kill (p, SIGKILL);
		}
	}
	if (now_ms < k->stops.next_ms)
		return;
	k->stops.next_ms =
		now_ms + (uint64_t)g_rand_int_range (k->rand, 50, PAUSE_MS_MAX);
	stop_relay (k, now_ms);
}

void
stops_check_gone (struct soak *k, const struct soak_proc *p)
{
	if (!p->member && p->gone_ms > grace_end_ms (k, p) + END_SLACK_MS)
		soak_wrong (k, "%s ended late", p->name);
}

bool
stops_excuses (struct soak_req *r, enum h1cli_end end)
{
	struct soak *k = r->k;
	const struct soak_proc *p = &k->procs[r->relay + SOAK_MEMBERS];
	uint64_t now_ms = tmr_now_ms ();

	/* It was sent to a relay that has begun to stop, or did so since. */
	if (p->term_ms == 0 ||
	    (!p->ending && r->begun_ms > p->gone_ms + START_MS))
		return false;
	if (end == H1CLI_WHOLE) {
		k->stops.answered++;
		return true;
	}
	if (end == H1CLI_UNSENT) {
		k->stops.unsent++;
		return true;
	}
	if (r->runs == 0 && r->reused && now_ms <= r->begun_ms + CROSS_MS) {
		k->stops.crossed++;
		return true;
	}
	if (r->begun_ms <= p->term_ms + LATE_AFTER_MS &&
	    now_ms >= grace_end_ms (k, p) - k->stops.grace_ms / LAST_PART) {
		k->stops.late++;
		return true;
	}
	return false;
}

void
stops_play (struct soak *k, uint64_t ms)
{
	uint32_t usual_event_ms = k->event_ms;

	k->stops.on = true;
	k->event_ms = EVENT_MS;
	soak_run_for (k, ms, false);
	/* The last ones end as well. */
	k->stops.next_ms = UINT64_MAX;
	soak_run_for (k, k->stops.grace_ms + END_SLACK_MS, false);
	k->stops.on = false;
	k->event_ms = usual_event_ms;
}
