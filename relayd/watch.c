/*
 * Whether the relay is in touch with its group, and the seeds at which it looks
 * for it.
 */
#include "relayd.h"

void
member_reload_seeds (struct relay *r)
{
	struct set_relayd fresh = {0};
	struct err e = {0};

	switch (seeds_reload (r->settings_file, set_relayd_rows, &fresh,
			      &fresh.seeds, &r->set.seeds, &e)) {
	case SEEDS_SAME:
		log_event (LOG_LV_INFO, "reload", "verdict=same");
		break;
	case SEEDS_CHANGED:
		log_event (LOG_LV_INFO, "reload", "verdict=ok seeds=%u",
			   r->set.seeds->len);
		break;
	case SEEDS_KEPT:
		log_event (LOG_LV_ERROR, "reload",
			   "verdict=kept_old why=\"%s\"", e.msg);
		break;
	}
}

/* Members that hear no leader may have been left out of the group. */
static bool
is_in_touch (const struct relay *r)
{
	for (guint i = 0; i < r->members->len; i++) {
		const struct group_member *m =
			g_ptr_array_index (r->members, i);

		if (link_is_up (m->link) && m->hears_leader)
			return true;
	}
	return false;
}

/* The members that this relay knows may all be gone for good.  It goes on with
 * the configuration that it has, since it may as well be cut off. */
void
member_watch_group (struct relay *r, uint64_t now_ms)
{
	uint64_t version = r->plan != NULL ? r->plan->version : 0;

	switch (seeds_watch_tick (&r->watch, is_in_touch (r), now_ms)) {
	case SEEDS_QUIET:
		break;
	case SEEDS_OUT_OF_TOUCH:
		log_event (LOG_LV_WARN, "out-of-touch",
			   "for_ms=%" G_GUINT64_FORMAT " members=%u"
			   " version=%" G_GUINT64_FORMAT,
			   r->watch.out_ms, r->members->len, version);
		member_reload_seeds (r);
		break;
	case SEEDS_IN_TOUCH:
		log_event (LOG_LV_INFO, "in-touch",
			   "after_ms=%" G_GUINT64_FORMAT
			   " version=%" G_GUINT64_FORMAT,
			   r->watch.out_ms, version);
		break;
	}
}
