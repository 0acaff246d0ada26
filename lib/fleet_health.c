/*
 * Endpoint health: suspect endpoints, probes, and failure domains that were cut
 * off as a whole.
 */
#include <string.h>

#include "fleet.h"
#include "fleet_pace.h"

/* First and longest pause between probes of a suspect endpoint.  A lost
 * connection mostly means that one endpoint restarts, which takes seconds, and
 * a probe takes up a slot there. */
#define PROBE_FIRST_MS 250
#define PROBE_MAX_MS 2000

/* The link to a domain counts as cut when this many of its endpoints stop
 * answering within CUT_WINDOW_MS and nothing is heard from the domain.  Fewer
 * may well crash together, and a connection attempt is given up in a fraction
 * of the window. */
#define CUT_ENDPOINTS_MIN 3
#define CUT_WINDOW_MS 2000

/* A domain is silent when none of its endpoints sent a byte for this long while
 * they have work: a stream sends an event every few milliseconds, and a prompt
 * that is prefilled beside it delays that by a prefill step of some tens. */
#define SILENCE_MS 300

/* Longest time between two calls of fleet_check_silence(). */
#define SILENCE_CHECK_MAX_MS 150

/* Behind a cut, this many endpoints are probed at once.  The others are probed
 * CUT_PROBE_DELAY_MS later, in case the first ones have ended. */
#define CUT_PROBES 2
#define CUT_PROBE_DELAY_MS 10000

/* Longest trial of an endpoint that gets no request that may run again, as in a
 * service whose requests all run once. */
#define TRIAL_MAX_MS 5000

static bool
same_domain (const struct fleet_ep *a, const struct fleet_ep *b)
{
	return strcmp (a->info.domain, b->info.domain) == 0;
}

/* Whether @e has work and sent no byte for SILENCE_MS. */
static bool
is_silent (const struct fleet_ep *e, uint64_t now_ms)
{
	return e->inflight > 0 && e->paused == 0 &&
	       MAX (e->last_heard_ms, e->busy_since_ms) + SILENCE_MS <= now_ms;
}

/* Whether several endpoints of @ep's domain stopped answering together and none
 * of the domain was heard since. */
static bool
domain_is_silent (const struct fleet *f, const struct fleet_ep *ep,
		  uint64_t now_ms)
{
	uint64_t first_ms = now_ms, heard_ms = 0;
	uint32_t silent = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (!same_domain (e, ep))
			continue;
		heard_ms = MAX (heard_ms, e->last_heard_ms);
		if (e->health == FLEET_SUSPECT &&
		    now_ms <= e->suspect_since_ms + CUT_WINDOW_MS) {
			silent++;
			first_ms = MIN (first_ms, e->suspect_since_ms);
		} else if (is_silent (e, now_ms)) {
			silent++;
			first_ms = MIN (first_ms, now_ms - SILENCE_MS + 1);
		}
	}
	return silent >= CUT_ENDPOINTS_MIN && heard_ms < first_ms;
}

static void
suspect_domain (struct fleet *f, const struct fleet_ep *ep, uint64_t now_ms)
{
	uint32_t probes = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (!same_domain (e, ep) || e->health == FLEET_SUSPECT)
			continue;
		e->health = FLEET_SUSPECT;
		e->suspect_by_domain = true;
		e->probe_failed = e->probe_unreached = false;
		e->suspect_since_ms = now_ms;
		e->probe_backoff_ms = PROBE_FIRST_MS;
		e->probe_at_ms = now_ms;
		if (e->listed && !e->leaving && probes++ >= CUT_PROBES)
			e->probe_at_ms += CUT_PROBE_DELAY_MS;
	}
}

/* The link works again: endpoints suspect with their domain are healthy. */
static void
clear_domain (struct fleet *f, const struct fleet_ep *ep, uint64_t now_ms)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (!same_domain (e, ep))
			continue;
		e->cut_off = false;
		if (!e->suspect_by_domain)
			continue;
		e->suspect_by_domain = false;
		e->health = FLEET_HEALTHY;
		fleet_pace_begin (e, now_ms);
	}
}

void
fleet_suspect (struct fleet *f, struct fleet_ep *ep, uint64_t now_ms)
{
	/* One that is suspect with its domain is now suspect by itself. */
	f->loss_ms = now_ms;
	if (ep->health == FLEET_SUSPECT && !ep->suspect_by_domain)
		return;
	ep->health = FLEET_SUSPECT;
	ep->suspect_by_domain = ep->stalled = false;
	ep->probe_failed = ep->probe_unreached = false;
	ep->suspect_since_ms = now_ms;
	ep->probe_backoff_ms = PROBE_FIRST_MS;
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
	if (domain_is_silent (f, ep, now_ms))
		suspect_domain (f, ep, now_ms);
}

void
fleet_broke_request (struct fleet *f, struct fleet_ep *ep, uint64_t now_ms)
{
	uint32_t backoff_ms = ep->probe_backoff_ms;

	if (ep->health == FLEET_SUSPECT && !ep->suspect_by_domain)
		return;
	fleet_suspect (f, ep, now_ms);
	if (ep->on_trial) {
		ep->probe_backoff_ms = MIN (backoff_ms * 2, PROBE_MAX_MS);
		ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
	}
	ep->on_trial = true;
	ep->trial_end_ms = 0;
}

void
fleet_answered (struct fleet_ep *ep)
{
	ep->on_trial = false;
}

bool
fleet_on_trial (const struct fleet_ep *ep, uint64_t now_ms)
{
	return ep->on_trial &&
	       (ep->trial_end_ms == 0 || now_ms < ep->trial_end_ms);
}

bool
fleet_is_reported (const struct fleet_ep *ep, uint64_t now_ms)
{
	return ep->listed &&
	       ((ep->health == FLEET_SUSPECT && !ep->suspect_by_domain) ||
		fleet_on_trial (ep, now_ms));
}

const struct fleet_ep *
fleet_check_silence (struct fleet *f, uint64_t now_ms)
{
	bool late = now_ms > f->silence_checked_ms + SILENCE_CHECK_MAX_MS;

	f->silence_checked_ms = now_ms;
	f->silence_check_late = late;
	for (guint i = 0; i < f->eps->len && !late; i++) {
		const struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		/* Before the first byte, a request may wait for long. */
		if (e->health == FLEET_SUSPECT || e->answering == 0 ||
		    !is_silent (e, now_ms) || !domain_is_silent (f, e, now_ms))
			continue;
		suspect_domain (f, e, now_ms);
		return e;
	}
	return NULL;
}

static bool
is_stalled (const struct fleet_ep *e, uint64_t now_ms)
{
	uint64_t limit_ms =
		e->answering > 0 ? FLEET_STALL_MS : FLEET_STALL_PREFILL_MS;

	return e->inflight > 0 && e->paused == 0 &&
	       MAX (e->last_heard_ms, e->busy_since_ms) + limit_ms <= now_ms;
}

struct fleet_ep *
fleet_next_stalled (struct fleet *f, uint64_t now_ms)
{
	for (guint i = 0; i < f->eps->len && !f->silence_check_late; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (e->health == FLEET_SUSPECT || !e->listed || e->leaving ||
		    !is_stalled (e, now_ms))
			continue;
		fleet_suspect (f, e, now_ms);
		e->stalled = true;
		e->probe_at_ms = now_ms;
		return e;
	}
	return NULL;
}

/* Once as many probes failed as are sent at once, no endpoint of the domain is
 * reached: a single one may have crashed. */
static void
note_failed_probe (struct fleet *f, struct fleet_ep *ep)
{
	uint32_t failed = 0;

	ep->probe_unreached = true;
	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		failed += e->suspect_by_domain && e->probe_unreached &&
			  same_domain (e, ep);
	}
	for (guint i = 0; i < f->eps->len && failed >= CUT_PROBES; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (same_domain (e, ep))
			e->cut_off = true;
	}
}

bool
fleet_is_cut_off (const struct fleet_ep *ep, uint64_t now_ms)
{
	return (ep->cut_off || (ep->stalled && ep->probe_failed)) &&
	       is_silent (ep, now_ms);
}

void
fleet_probed (struct fleet *f, struct fleet_ep *ep, enum fleet_probe result,
	      uint64_t now_ms)
{
	if (result == FLEET_PROBE_HEALTHY) {
		if (ep->on_trial && ep->trial_end_ms == 0)
			ep->trial_end_ms = now_ms + TRIAL_MAX_MS;
		ep->health = FLEET_HEALTHY;
		ep->suspect_by_domain = ep->stalled = false;
		fleet_heard (ep, now_ms);
		fleet_pace_begin (ep, now_ms);
		clear_domain (f, ep, now_ms);
		return;
	}
	ep->probe_backoff_ms = MIN (ep->probe_backoff_ms * 2, PROBE_MAX_MS);
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
	ep->probe_failed = true;
	if (ep->suspect_by_domain && result == FLEET_PROBE_UNREACHED)
		note_failed_probe (f, ep);
}

void
fleet_heard (struct fleet_ep *ep, uint64_t now_ms)
{
	ep->last_heard_ms = now_ms;
}
