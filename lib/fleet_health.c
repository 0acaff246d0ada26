/*
 * Endpoints, and whole failure domains, that stopped answering.
 */
#include <string.h>

#include "fleet.h"

/* A lost connection is mostly one endpoint's restart, which takes seconds;
 * asking costs a slot there. */
#define ASK_FIRST_MS 250
#define ASK_MAX_MS 2000

/* So many endpoints of a domain that stop answering within this time, with
 * nothing heard from the domain, are taken for a cut link: more than crash
 * together as a rule, and a connection is given up in a part of it. */
#define CUT_COUNT 3
#define CUT_MS 2000

/* Of those behind a cut, so many are asked at once, the others only if these
 * go away. */
#define CUT_ASKED 2
#define CUT_ASK_MS 10000

static bool
same_domain (const struct fleet_ep *a, const struct fleet_ep *b)
{
	return strcmp (a->info.domain, b->info.domain) == 0;
}

/* Whether several of @ep's domain fell silent together, and all of it. */
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
		    now_ms > e->suspect_since_ms + CUT_MS)
			continue;
		silent++;
		first_ms = MIN (first_ms, e->suspect_since_ms);
	}
	return silent >= CUT_COUNT && heard_ms < first_ms;
}

static void
doubt_domain (struct fleet *f, const struct fleet_ep *ep, uint64_t now_ms)
{
	uint32_t asked = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		if (!same_domain (e, ep) || e->health == FLEET_SUSPECT)
			continue;
		e->health = FLEET_SUSPECT;
		e->suspect_by_domain = true;
		e->suspect_since_ms = now_ms;
		e->probe_backoff_ms = ASK_FIRST_MS;
		e->probe_at_ms = now_ms;
		if (e->listed && !e->leaving && asked++ >= CUT_ASKED)
			e->probe_at_ms += CUT_ASK_MS;
	}
}

/* The link is there again. */
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
	/* One that was doubted for its domain is now doubted for itself. */
	if (ep->health == FLEET_SUSPECT && !ep->suspect_by_domain)
		return;
	ep->health = FLEET_SUSPECT;
	ep->suspect_by_domain = false;
	ep->suspect_since_ms = now_ms;
	ep->probe_backoff_ms = ASK_FIRST_MS;
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
	if (domain_is_silent (f, ep, now_ms))
		doubt_domain (f, ep, now_ms);
}

void
fleet_probed (struct fleet *f, struct fleet_ep *ep, bool well, uint64_t now_ms)
{
	if (well) {
		ep->health = FLEET_HEALTHY;
		ep->suspect_by_domain = false;
		fleet_heard (ep, now_ms);
		clear_domain (f, ep);
		return;
	}
	ep->probe_backoff_ms = MIN (ep->probe_backoff_ms * 2, ASK_MAX_MS);
	ep->probe_at_ms = now_ms + ep->probe_backoff_ms;
}

void
fleet_heard (struct fleet_ep *ep, uint64_t now_ms)
{
	ep->last_heard_ms = now_ms;
}
