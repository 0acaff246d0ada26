/*
 * groupd: a member of the group that serves relays.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "groupd.h"
#include "platform/platform.h"

#define TICK_MS 25

/* Time to transfer leadership and answer pending calls before exit. */
#define LEAVE_TIMEOUT_MS 1500

/* Longest wait for the removal of another voter before that: its silence, an
 * election and the change itself.  Both end within the grace of a planned stop.
 */
#define LEAVE_WAIT_MS 4000

/* A leader that was not heard for so long may have been replaced. */
#define LEADER_TIMEOUT_MS 1000

#define LOG_LINES_PER_S 200

static void
flush_log (struct group *g)
{
	if (g->storage_down)
		return;
	raft_flush (&g->raft, tmr_now_ms ());
	if (g->raft.failed)
		store_fail (g, tmr_now_ms ());
	/* Before relays are told of a configuration, after which they send
	 * requests. */
	group_blame_restore (g, tmr_now_ms ());
}

static void
on_flush (void *ctx)
{
	struct group *g = ctx;
	uint64_t now_ms;

	g->flush_armed = false;
	flush_log (g);
	now_ms = tmr_now_ms ();
	api_tick (g, now_ms);
	if (g->state_changed)
		peer_tick (g, now_ms);
}

void
group_schedule_flush (struct group *g)
{
	if (g->flush_armed)
		return;
	g->flush_armed = true;
	tmr_start (&g->flush, 0);
}

bool
group_is_leader (const struct group *g)
{
	return g->raft.role == RAFT_LEADER;
}

bool
group_has_leader (const struct group *g)
{
	return group_is_leader (g) ||
	       (g->raft.leader != 0 &&
		tmr_now_ms () < g->raft.contact_ms + LEADER_TIMEOUT_MS);
}

bool
group_has_duty (const struct group *g, const char *name)
{
	for (guint i = 0; i < g->set.duties->len; i++) {
		if (strcmp (g_ptr_array_index (g->set.duties, i), name) == 0)
			return true;
	}
	return false;
}

/* Where a voter that is gone is about to be removed, the others may be too few
 * for that without this one, and would stay so. */
static bool
is_needed (const struct group *g, uint64_t now_ms)
{
	uint32_t voters = raft_config_voters (&g->raft.config);

	return voters > 2 * g->set.disk_losses + 1 &&
	       peer_voters_in_touch (g, now_ms) < voters / 2 + 1;
}

static void
leave_tick (struct group *g, uint64_t now_ms)
{
	bool leads = group_is_leader (g);
	bool only_voter = raft_config_voters (&g->raft.config) < 2;

	if (now_ms < g->leave_wait_until_ms) {
		if (is_needed (g, now_ms))
			return;
		g->leave_wait_until_ms = 0;
		g->leave_deadline_ms = now_ms + LEAVE_TIMEOUT_MS;
	}
	if (leads && !only_voter && g->raft.transfer_to == 0)
		(void)raft_transfer (&g->raft, 0, NULL);
	if (now_ms < g->leave_deadline_ms &&
	    ((leads && !only_voter) || g->pending_calls->len > 0))
		return;
	log_event (LOG_LV_INFO, "stop", "leads=%d", leads);
	daemon_stop (&g->d);
}

static void
on_terminate (void *ctx)
{
	struct group *g = ctx;

	if (g->leaving) {
		daemon_stop (&g->d);
		return;
	}
	log_event (LOG_LV_INFO, "leave", "leads=%d", group_is_leader (g));
	g->leaving = true;
	g->leave_wait_until_ms = tmr_now_ms () + LEAVE_WAIT_MS;
	g->leave_deadline_ms = g->leave_wait_until_ms + LEAVE_TIMEOUT_MS;
	h1srv_leave (&g->api);
}

/* A member that was removed while it was cut off may know none of those that
 * are left. */
static void
watch_group (struct group *g, uint64_t now_ms)
{
	switch (seeds_watch_tick (&g->watch, group_has_leader (g), now_ms)) {
	case SEEDS_QUIET:
		break;
	case SEEDS_OUT_OF_TOUCH:
		log_event (LOG_LV_WARN, "out-of-touch",
			   "for_ms=%" G_GUINT64_FORMAT
			   " members=%u version=%" G_GUINT64_FORMAT,
			   g->watch.out_ms, g->members->len, g->state.version);
		group_reload_seeds (g);
		break;
	case SEEDS_IN_TOUCH:
		log_event (LOG_LV_INFO, "in-touch",
			   "after_ms=%" G_GUINT64_FORMAT
			   " version=%" G_GUINT64_FORMAT,
			   g->watch.out_ms, g->state.version);
		break;
	}
}

static void
on_tick (void *ctx)
{
	struct group *g = ctx;
	uint64_t now_ms = tmr_now_ms ();

	tmr_start (&g->tick, TICK_MS);
	if (store_recover (g, now_ms)) {
		raft_tick (&g->raft, now_ms);
		flush_log (g);
		/* The disk may have held up the flush for seconds. */
		now_ms = tmr_now_ms ();
	}
	if (!g->storage_down)
		join_tick (g, now_ms);
	watch_group (g, now_ms);
	api_tick (g, now_ms);
	peer_tick (g, now_ms);
	endpoint_list_tick (g, now_ms);
	usage_report_tick (g, now_ms);
	scale_tick (g, now_ms);
	group_rollout_tick (g, now_ms);
	if (g->leaving)
		leave_tick (g, now_ms);
}

static bool
group_load_settings (struct group *g, const char *file, struct err *e)
{
	if (!set_load (file, set_groupd_rows, &g->set, NULL, e) ||
	    !set_secret_load (g->set.cluster_key_file, g->self.cluster_key,
			      sizeof g->self.cluster_key, e) ||
	    !link_addr_parse (g->set.peer_listen[0] != '\0' ? g->set.peer_listen
							    : g->set.peer,
			      &g->peer_addr, e) ||
	    !link_addr_parse (g->set.api, &g->api_addr, e))
		return false;
	g_strlcpy (g->self.name, g->set.name, sizeof g->self.name);
	g_strlcpy (g->self.role, "group", sizeof g->self.role);
	g->self.incarnation = tmr_wall_ms ();
	g->self.from = g->peer_addr.sin_addr;
	g->self.sent_bytes = g->sent_bytes;
	return true;
}

void
group_reload_seeds (struct group *g)
{
	struct set_groupd fresh = {0};
	struct err e = {0};

	switch (seeds_reload (g->settings_file, set_groupd_rows, &fresh,
			      &fresh.seeds, &g->set.seeds, &e)) {
	case SEEDS_SAME:
		log_event (LOG_LV_INFO, "reload", "verdict=same");
		break;
	case SEEDS_CHANGED:
		log_event (LOG_LV_INFO, "reload", "verdict=ok seeds=%u",
			   g->set.seeds->len);
		break;
	case SEEDS_KEPT:
		log_event (LOG_LV_ERROR, "reload",
			   "verdict=kept_old why=\"%s\"", e.msg);
		break;
	}
}

static void
on_reload (void *ctx)
{
	struct group *g = ctx;

	group_reload_seeds (g);
	g->state_changed = true;
}

static bool
group_start (struct group *g, struct err *e)
{
	static const struct daemon_ops ops = {.terminate = on_terminate,
					      .reload = on_reload};

	if (!daemon_init (&g->d, &ops, g, e))
		return false;
	tmr_init (&g->tick, g->d.loop, on_tick, g);
	tmr_init (&g->flush, g->d.loop, on_flush, g);
	group_rollout_init (g);
	if (!store_open (g, e) || !api_init (g, e))
		return false;
	endpoint_list_init (g);
	usage_report_init (g);
	scale_init (g);
	if (!peer_init (g, e))
		return false;
	raft_start (&g->raft, tmr_now_ms ());
	seeds_watch_init (&g->watch, tmr_now_ms ());
	tmr_start (&g->tick, 1);
	log_event (LOG_LV_INFO, "start", "api=%s peer=%s", g->set.api,
		   g->set.peer);
	return true;
}

static void
group_finish (struct group *g)
{
	tmr_finish (&g->tick);
	tmr_finish (&g->flush);
	h1srv_finish (&g->api);
	h1srv_finish (&g->metrics);
	peer_finish (g);
	group_rollout_finish (g);
	scale_finish (g);
	usage_report_finish (g);
	endpoint_list_finish (g);
	g_ptr_array_free (g->pending_calls, TRUE);
	store_close (g);
	daemon_finish (&g->d);
}

int
main (int argc, char **argv)
{
	struct group *g = g_new0 (struct group, 1);
	struct daemon_opts opts;
	struct err e = {0};
	bool ok;

	daemon_args (&opts, "groupd",
		     "groupd -- dragonflyhinge group member that serves relays",
		     argc, argv);
	g->dialect = &platform_dialect;
	g->settings_file = opts.file;
	ok = opts.file != NULL ? group_load_settings (g, opts.file, &e)
			       : err_set (&e, ERR_SETTINGS, "-f is missing");
	if (ok && !opts.check_only) {
		log_init ("groupd", g->set.name, opts.level);
		log_to_stdout (LOG_LINES_PER_S);
		ok = group_start (g, &e);
		if (ok) {
			daemon_run (&g->d);
			group_finish (g);
		}
	}
	if (!ok) {
		fprintf (stderr, "groupd: %s\n", e.msg);
		g->status = EXIT_FAILURE;
	}
	ok = g->status == 0;
	set_release (set_groupd_rows, &g->set);
	g_free (g);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
