/*
 * Telling the group what client accounts used.
 */
#include "relayd.h"

/* Between two reports to the leader.  What was counted since the last one is
 * lost with the relay; a twentieth of a window's requests may be. */
#define REPORT_MS 100

/* The same to members that don't lead: they need it only when they take over
 * while this relay is cut off. */
#define REPORT_OTHERS_MS 700

void
usage_init (struct relay *r)
{
	wincount_init (&r->usage);
}

void
usage_finish (struct relay *r)
{
	wincount_finish (&r->usage);
}

void
usage_count (struct relay *r, const char *account)
{
	uint64_t window_ms = (uint64_t)(r->set.usage_window_s * 1000);

	wincount_add (&r->usage, relay_wall_ms (r) / window_ms, account);
}

static bool
send_report (const struct gmsg_report *report, void *ctx)
{
	struct member *m = ctx;

	return link_send (m->link, FRAME_GROUP_REPORT, gmsg_report_fields,
			  report);
}

void
usage_tick (struct relay *r, uint64_t now_ms)
{
	wincount_drop (&r->usage, r->sealed);
	for (guint i = 0; i < r->members->len; i++) {
		struct member *m = g_ptr_array_index (r->members, i);
		uint64_t pause_ms = m->leads ? REPORT_MS : REPORT_OTHERS_MS;

		if (!link_is_up (m->link) ||
		    m->usage_told == r->usage.change_seq ||
		    now_ms - m->reported_ms < pause_ms)
			continue;
		m->reported_ms = now_ms;
		wincount_report (&r->usage, &m->usage_told, send_report, m);
	}
}
