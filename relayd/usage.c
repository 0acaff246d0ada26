/*
 * Usage of client accounts, reported to the members of the group.
 */
#include "relayd.h"

/* Interval of reports to the leader.  If the relay crashes, its counts since
 * the last report are lost; up to a twentieth of a window's requests may be. */
#define USAGE_LEADER_INTERVAL_MS 100

/* Interval of reports to followers.  They need the counts only if one of them
 * becomes the leader while this relay is cut off from it. */
#define USAGE_FOLLOWER_INTERVAL_MS 700

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
	struct group_member *m = ctx;

	return link_send (m->link, FRAME_GROUP_REPORT, gmsg_report_fields,
			  report);
}

void
usage_tick (struct relay *r, uint64_t now_ms)
{
	wincount_drop (&r->usage, r->sealed_window);
	for (guint i = 0; i < r->members->len; i++) {
		struct group_member *m = g_ptr_array_index (r->members, i);
		uint64_t interval_ms = m->is_leader
					       ? USAGE_LEADER_INTERVAL_MS
					       : USAGE_FOLLOWER_INTERVAL_MS;

		if (!link_is_up (m->link) ||
		    m->usage_sent_change == r->usage.change_seq ||
		    now_ms - m->usage_sent_ms < interval_ms)
			continue;
		m->usage_sent_ms = now_ms;
		wincount_report (&r->usage, &m->usage_sent_change, send_report,
				 m);
	}
}
