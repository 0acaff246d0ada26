/*
 * A relay's part in rollouts: evidence, and reports to the leader.
 */
#include <string.h>

#include <xxhash.h>

#include "rollout_share.h"

/* Returns the entry in which an endpoint's answers are counted; NULL where no
 * rollout concerns it, or there are too many entries. */
static struct share_evidence *
evidence_get (struct rollout_share *s, const struct fleet_ep *ep,
	      uint64_t route)
{
	struct share_rollout *r = rollout_share_find (s, ep->info.service);
	const char *domain = ep->info.domain;
	struct rollout_evidence key = {
		.route = route,
		.domain = XXH64 (domain, strlen (domain), 0),
	};
	struct share_evidence *x;

	if (r == NULL || rollout_is_over (r->msg.state))
		return NULL;
	key.is_new = strcmp (ep->info.version, r->msg.target) == 0;
	for (guint i = 0; i < r->evidence->len; i++) {
		x = g_ptr_array_index (r->evidence, i);
		if (x->totals.route == route &&
		    x->totals.domain == key.domain &&
		    x->totals.is_new == key.is_new)
			return x;
	}
	if (r->evidence->len >= ROLLOUT_EVIDENCE_MAX)
		return NULL;
	x = g_new0 (struct share_evidence, 1);
	x->totals = key;
	g_ptr_array_add (r->evidence, x);
	return x;
}

void
rollout_share_answered (struct rollout_share *s, const struct fleet_ep *ep,
			uint64_t route, uint32_t prefill_tokens,
			double first_byte_ms, bool is_cold)
{
	struct share_evidence *x = evidence_get (s, ep, route);

	if (x == NULL)
		return;
	x->totals.answers++;
	x->seq = ++s->change_seq;
	if (!is_cold)
		x->cells[rollout_cell (prefill_tokens, first_byte_ms)]++;
}

void
rollout_share_failed (struct rollout_share *s, const struct fleet_ep *ep,
		      uint64_t route, bool counted)
{
	struct share_evidence *x = evidence_get (s, ep, route);

	if (x == NULL)
		return;
	x->totals.answers += !counted;
	x->totals.failures++;
	x->seq = ++s->change_seq;
	if (x->totals.is_new)
		s->urgent = true;
}

static uint32_t
count_old_inflight (const struct share_rollout *r, const struct fleet *f)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		if (strcmp (ep->info.service, r->msg.service) == 0 &&
		    strcmp (ep->info.version, r->msg.target) != 0)
			n += ep->inflight;
	}
	return n;
}

/* Copies an entry with the cells that are in use. */
static struct rollout_evidence
export_entry (const struct share_evidence *x)
{
	struct rollout_evidence out = x->totals;
	struct rollout_time *times = g_new (struct rollout_time, ROLLOUT_CELLS);

	out.times.items = times;
	for (uint32_t i = 0; i < ROLLOUT_CELLS; i++) {
		if (x->cells[i] > 0)
			times[out.times.count++] =
				(struct rollout_time){i, x->cells[i]};
	}
	return out;
}

void
rollout_share_report (const struct rollout_share *s, const struct fleet *f,
		      uint64_t since, GArray *reports)
{
	for (guint i = 0; i < s->rollouts->len; i++) {
		const struct share_rollout *r =
			g_ptr_array_index (s->rollouts, i);
		struct gmsg_rollout_report m = {.id = r->msg.id,
						.requests = r->requests,
						.sent_new = r->sent_new,
						.grant = r->msg.grant,
						.state = r->msg.state};
		GArray *list;

		if (rollout_is_over (r->msg.state))
			continue;
		g_strlcpy (m.service, r->msg.service, sizeof m.service);
		m.old_inflight = count_old_inflight (r, f);
		list = g_array_new (FALSE, FALSE,
				    sizeof (struct rollout_evidence));
		for (guint j = 0; j < r->evidence->len; j++) {
			const struct share_evidence *x =
				g_ptr_array_index (r->evidence, j);

			if (x->seq > since) {
				struct rollout_evidence e = export_entry (x);

				g_array_append_val (list, e);
			}
		}
		m.evidence.count = list->len;
		m.evidence.items = g_array_free (list, FALSE);
		g_array_append_val (reports, m);
	}
}

void
rollout_share_report_free (GArray *reports)
{
	for (guint i = 0; i < reports->len; i++) {
		struct gmsg_rollout_report *m =
			&g_array_index (reports, struct gmsg_rollout_report, i);
		struct rollout_evidence *list = m->evidence.items;

		for (uint32_t j = 0; j < m->evidence.count; j++)
			g_free (list[j].times.items);
		g_free (list);
	}
	g_array_free (reports, TRUE);
}
