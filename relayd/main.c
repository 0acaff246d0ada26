/*
 * relayd: the daemon of a relay; start, settings, timer and shutdown.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"
#include "relayd.h"

#define TICK_MS 20

#define LOG_LINES_PER_S 200

bool
relay_is_ready (const struct relay *r)
{
	return relay_is_configured (r) && !r->leaving &&
	       fleet_ready_count (&r->fleet, tmr_now_ms ()) > 0;
}

bool
relay_is_configured (const struct relay *r)
{
	return r->plan != NULL && r->list_read_ms != 0;
}

static gint
compare_int64 (gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return x < y ? -1 : x > y;
}

/* The median of all known clocks, the local one included. */
uint64_t
relay_wall_ms (const struct relay *r)
{
	GArray *clocks = g_array_new (FALSE, FALSE, sizeof (int64_t));
	int64_t own = (int64_t)tmr_wall_ms () - (int64_t)tmr_now_ms ();

	g_array_append_val (clocks, own);
	for (guint i = 0; i < r->members->len; i++) {
		struct group_member *m = g_ptr_array_index (r->members, i);

		if (m->clock_offset_ms != 0)
			g_array_append_val (clocks, m->clock_offset_ms);
	}
	g_array_sort (clocks, compare_int64);
	own = g_array_index (clocks, int64_t, clocks->len / 2);
	g_array_free (clocks, TRUE);
	return (uint64_t)(own + (int64_t)tmr_now_ms ());
}

static void
on_terminate (void *ctx)
{
	stop_begin (ctx);
}

static void
on_reload (void *ctx)
{
	member_reload_seeds (ctx);
}

static void
on_tick (void *ctx)
{
	struct relay *r = ctx;
	uint64_t now_ms = tmr_now_ms ();

	tmr_start (&r->tick_timer, TICK_MS);
	call_tick (r, now_ms);
	member_tick (r, now_ms);
	relay_blame_tick (r, now_ms);
	relay_rollout_tick (r, now_ms);
	upstream_tick (r, now_ms);
	startup_tick (r, now_ms);
	usage_tick (r, now_ms);
	stop_tick (r, now_ms);
}

static bool
relay_read_settings (struct relay *r, const char *file, struct err *e)
{
	struct sockaddr_in peer;

	if (!set_load (file, set_relayd_rows, &r->set, NULL, e) ||
	    !set_secret_load (r->set.cluster_key_file, r->self.cluster_key,
			      sizeof r->self.cluster_key, e) ||
	    !link_addr_parse (r->set.peer, &peer, e))
		return false;
	g_strlcpy (r->self.name, r->set.name, sizeof r->self.name);
	g_strlcpy (r->self.role, "relay", sizeof r->self.role);
	r->self.incarnation = tmr_wall_ms ();
	r->self.from = r->source_addr = peer.sin_addr;
	r->peer_port = ntohs (peer.sin_port);
	r->self.sent_bytes = r->sent_bytes;
	r->name_hash = g_str_hash (r->set.name);
	return true;
}

static bool
relay_start (struct relay *r, struct err *e)
{
	static const struct daemon_ops ops = {.terminate = on_terminate,
					      .reload = on_reload};
	struct rbudget_limits limits = {
		.ratio = r->set.retry_ratio,
		.slack = r->set.retry_slack,
		.window_ms = (uint32_t)(r->set.retry_window_s * 1000),
	};

	if (!daemon_init (&r->daemon, &ops, r, e))
		return false;
	r->rand = g_rand_new ();
	r->rbudget = rbudget_new (&limits);
	r->started_ms = tmr_now_ms ();
	call_init (r);
	relay_blame_init (r);
	relay_rollout_init (r);
	usage_init (r);
	upstream_init (r);
	if (!front_init (r, e))
		return false;
	member_init (r);
	tmr_init (&r->tick_timer, r->daemon.loop, on_tick, r);
	tmr_start (&r->tick_timer, 1);
	log_event (LOG_LV_INFO, "start", "listen=%s", r->set.listen);
	return true;
}

static void
relay_finish (struct relay *r)
{
	tmr_finish (&r->tick_timer);
	tmr_finish (&r->dispatch_timer);
	front_finish (r);
	member_finish (r);
	upstream_finish (r);
	usage_finish (r);
	blame_finish (&r->blame);
	relay_rollout_finish (r);
	rbudget_free (r->rbudget);
	g_ptr_array_free (r->calls, TRUE);
	plan_unref (r->plan);
	g_rand_free (r->rand);
	daemon_finish (&r->daemon);
}

int
main (int argc, char **argv)
{
	struct relay *r = g_new0 (struct relay, 1);
	struct daemon_opts opts;
	struct err e = {0};
	bool ok;

	daemon_args (&opts, "relayd", "relayd -- relay of dragonflyhinge", argc,
		     argv);
	r->dialect = &platform_dialect;
	r->settings_file = opts.file;
	ok = opts.file != NULL ? relay_read_settings (r, opts.file, &e)
			       : err_set (&e, ERR_SETTINGS, "-f is missing");
	if (ok && !opts.check_only) {
		log_init ("relayd", r->set.name, opts.level);
		log_to_stdout (LOG_LINES_PER_S);
		ok = relay_start (r, &e);
		if (ok) {
			daemon_run (&r->daemon);
			relay_finish (r);
		}
	}
	if (!ok)
		fprintf (stderr, "relayd: %s\n", e.msg);
	set_release (set_relayd_rows, &r->set);
	g_free (r);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
