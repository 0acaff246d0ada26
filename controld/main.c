/*
 * controld: a control member.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "controld.h"

#define TICK_MS 20
#define LEAVE_MS 3000

struct args {
	struct daemon_opts opts;
	bool init;
	bool join;
	const char *inventory;
};

enum {
	KEY_INIT = 1000,
	KEY_JOIN,
	KEY_INVENTORY,
};

static const struct argp_option options[] = {
	{"init", KEY_INIT, NULL, 0,
	 "Make a new group of one member in the empty data folder and exit", 0},
	{"join", KEY_JOIN, NULL, 0,
	 "Make a member that waits to be added to a group and exit", 0},
	{"inventory", KEY_INVENTORY, "FILE", 0,
	 "With --init: the first inventory", 0},
	{0},
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
	struct args *a = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &a->opts;
		return 0;
	case KEY_INIT:
		a->init = true;
		return 0;
	case KEY_JOIN:
		a->join = true;
		return 0;
	case KEY_INVENTORY:
		a->inventory = arg;
		return 0;
	case ARGP_KEY_END:
		if (a->opts.file == NULL)
			argp_error (state, "-f FILE is missing");
		if (a->init && a->join)
			argp_error (state, "--init and --join exclude each "
					   "other");
		if (a->inventory != NULL && !a->init)
			argp_error (state, "--inventory goes with --init");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* End a turn: what it brought is sent, made durable, applied and told. */
static void
flush (struct control *c)
{
	uint64_t now_ms = tmr_now_ms ();

	peer_remap (c);
	raft_flush (&c->raft, now_ms);
	peer_remap (c);
	conf_tell (c);
	if (c->raft.failed) {
		c->status = EXIT_FAILURE;
		daemon_stop (&c->d);
	}
}

static void
on_flush (void *ctx)
{
	struct control *c = ctx;

	c->flush_armed = false;
	flush (c);
}

void
control_wake (struct control *c)
{
	if (c->flush_armed)
		return;
	c->flush_armed = true;
	tmr_start (&c->flush, 0);
}

/* Leadership is handed over first, and answers owed are given. */
static void
leave_tick (struct control *c, uint64_t now_ms)
{
	bool leads = c->raft.role == RAFT_LEADER;
	bool alone = raft_config_voters (&c->raft.config) < 2;

	if (leads && !alone && c->raft.transfer_to == 0)
		(void)raft_transfer (&c->raft, 0, NULL);
	if (now_ms < c->leave_until_ms &&
	    ((leads && !alone) || c->raft.leader == 0 ||
	     g_hash_table_size (c->calls) > 0 || !platform_idle (c)))
		return;
	log_event (LOG_LV_INFO, "stop", "leader=%016" G_GINT64_MODIFIER "x",
		   c->raft.leader);
	daemon_stop (&c->d);
}

void
control_leave (struct control *c)
{
	if (c->leaving) {
		daemon_stop (&c->d);
		return;
	}
	c->leaving = true;
	c->leave_until_ms = tmr_now_ms () + LEAVE_MS;
}

static void
on_terminate (void *ctx)
{
	control_leave (ctx);
}

static void
on_tick (void *ctx)
{
	struct control *c = ctx;
	uint64_t now_ms = tmr_now_ms ();

	raft_tick (&c->raft, now_ms);
	call_tick (c, now_ms);
	conf_tick (c, now_ms);
	peer_tick (c, now_ms);
	waiting_tick (c, now_ms);
	flush (c);
	load_tick (c, now_ms);
	platform_tick (c, now_ms);
	scale_tick (c, now_ms);
	if (c->leaving)
		leave_tick (c, now_ms);
	tmr_start (&c->tick, TICK_MS);
}

static bool
write_ports (struct control *c, struct err *e)
{
	char text[256];

	g_snprintf (text, sizeof text,
		    "peer=%s\nadmin=%s\nid=%016" G_GINT64_MODIFIER "x\n",
		    c->peer_addr, c->admin_addr, c->id);
	if (c->set.ports_file[0] == '\0' ||
	    g_file_set_contents (c->set.ports_file, text, -1, NULL))
		return true;
	return err_set (e, ERR_IO, "write %s", c->set.ports_file);
}

static bool
control_load (struct control *c, const char *file, struct err *e)
{
	if (!set_load (file, set_controld_rows, &c->set, NULL, e) ||
	    !set_secret_load (c->set.cluster_key_file, c->self.cluster_key,
			      sizeof c->self.cluster_key, e) ||
	    !set_token_load (c->set.admin_token_file, c->admin_token,
			     sizeof c->admin_token, e))
		return false;
	g_strlcpy (c->self.name, c->set.name, sizeof c->self.name);
	g_strlcpy (c->self.role, "control", sizeof c->self.role);
	c->self.incarnation = tmr_wall_ms ();
	return true;
}

static bool
control_start (struct control *c, struct err *e)
{
	static const struct daemon_ops ops = {.terminate = on_terminate};

	if (!daemon_init (&c->d, &ops, c, e))
		return false;
	tmr_init (&c->tick, c->d.loop, on_tick, c);
	tmr_init (&c->flush, c->d.loop, on_flush, c);
	call_init (c);
	conf_init (c);
	load_init (c);
	if (!store_open (c, e))
		return false;
	if (!peer_listen (c, e) || !admin_listen (c, e) ||
	    !platform_init (c, e) || !write_ports (c, e))
		return false;
	c->told_revision = sm_revision (c->sm);
	raft_start (&c->raft, tmr_now_ms ());
	peer_remap (c);
	tmr_start (&c->tick, 1);
	return true;
}

static void
control_finish (struct control *c)
{
	tmr_finish (&c->tick);
	tmr_finish (&c->flush);
	httpd_close_listener (&c->admin);
	scale_finish (c);
	platform_finish (c);
	peer_close (c);
	store_close (c);
	load_finish (c);
	conf_finish (c);
	call_finish (c);
	daemon_finish (&c->d);
}

static bool
run (struct control *c, const struct args *a, struct err *e)
{
	if (!control_load (c, a->opts.file, e))
		return false;
	log_init ("controld", c->set.name, a->opts.level);
	if (a->opts.check_only)
		return true;
	if (a->init || a->join)
		return store_init (c, a->join, a->inventory, e);
	if (!control_start (c, e))
		return false;
	daemon_run (&c->d);
	control_finish (c);
	return true;
}

int
main (int argc, char **argv)
{
	struct args a = {.opts = {.level = LOG_LV_INFO}};
	struct control *c = g_new0 (struct control, 1);
	struct err e = {0};
	int status;
	struct argp_child children[] = {{&daemon_argp, 0, NULL, 0}, {0}};
	struct argp argp = {
		options,  parse,
		NULL,     "controld -- control member of dragonflyhinge",
		children, NULL,
		NULL};

	log_init ("controld", "", LOG_LV_INFO);
	argp_parse (&argp, argc, argv, 0, NULL, &a);
	log_init ("controld", "", a.opts.level);
	if (!run (c, &a, &e)) {
		fprintf (stderr, "controld: %s\n", e.msg);
		c->status = EXIT_FAILURE;
	}
	status = c->status;
	set_release (set_controld_rows, &c->set);
	g_free (c);
	return status;
}
