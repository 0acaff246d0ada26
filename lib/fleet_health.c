/*
 * Endpoint health: suspect endpoints, probes, and failure domains that were cut
 * off as a whole.
 */
#include <string.h>

#include "fleet.h"

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

/* Behind a cut, this many endpoints are probed at once.  The others are probed
 * CUT_PROBE_DELAY_MS later, in case the first ones have ended. */
#define CUT_PROBES 2
#define CUT_PROBE_DELAY_MS 10000

static bool
same_domain (const struct fleet_ep *a, const struct fleet_ep *b)
{
	return strcmp (a->info.domain, b->info.domain) == 0;
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
		if (e->health == FLEET_HEALTHY ||
		    now_ms > e->suspect_since_ms + CUT_WINDOW_MS)
			continue;
		silent++;
		first_ms = MIN (first_ms, e->suspect_since_ms);
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
		e->suspect_since_ms = now_ms;
		e->probe_backoff_ms = PROBE_FIRST_MS;
		e->probe_at_ms = now_ms;
		if (e->listed && !e->leaving && probes++ >= CUT_PROBES)
			e->probe_at_ms += CUT_PROBE_DELAY_MS;
	}
}

/* The link works again: endpoints suspect with their domain are healthy. */
static void
clear_domain (struct fleet *f, const struct fleet_ep *ep)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (!e->suspect_by_domain || !same_domain (e, ep))
			continue;
		e->suspect_by_domain = false;
		e->health = FLEET_HEALTHY;
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
	ep->suspect_by_domain = false;
	ep->suspect_since_ms = now_ms;
	ep->probe_backoff_ms = PROBE_FIRST_MS;
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
	if (domain_is_silent (f, ep, now_ms))
		suspect_domain (f, ep, now_ms);
}

void
fleet_probed (struct fleet *f, struct fleet_ep *ep, bool success,
	      uint64_t now_ms)
{
	if (success) {
		ep->health = FLEET_HEALTHY;
		ep->suspect_by_domain = false;
		fleet_heard (ep, now_ms);
		clear_domain (f, ep);
		return;
	}
	ep->probe_backoff_ms = MIN (ep->probe_backoff_ms * 2, PROBE_MAX_MS);
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
}

void
fleet_heard (struct fleet_ep *ep, uint64_t now_ms)
{
	ep->last_heard_ms = now_ms;
}
