/*
 * entryd: an entry instance.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "entryd.h"
#include "log.h"

#define FAST_TICK_MS 10
#define TICK_MS 100
#define LEASE_TICK_MS 50
#define BODY_MAX_BYTES (4U << 20)
#define ADMIN_BODY_MAX_BYTES (64U << 10)
#define CALLER_IDLE_MS 10000

/* Clients may fill a quarter of the machine's memory, and have half of the
 * descriptors: each running request needs another one to its endpoint. */
#define CLIENTS_MEMORY_PART 4
#define CLIENTS_FDS_PART 2
/* Control gave no inventory for so long: ask a peer. */
#define PULL_AFTER_MS 2000

static const struct {
	const char *name;
	const struct route_ops *ops;
} policies[] = {
	[SET_POLICY_DEFAULT] = {"default", &route_predict},
	[SET_POLICY_RANDOM] = {"random", &route_random},
	[SET_POLICY_ROUND_ROBIN] = {"round_robin", &route_round_robin},
	[SET_POLICY_LEAST_IN_FLIGHT] = {"least_in_flight",
					&route_least_in_flight},
	[SET_POLICY_TWO_CHOICES] = {"two_choices", &route_two_choices},
};

static void
on_fast_tick (void *ctx)
{
	struct entry *e = ctx;
	uint64_t now_ms = tmr_now_ms ();

	work_expire (e);
	work_pressure (e, now_ms);
	if (e->inv != NULL)
		lease_tick (&e->lease, now_ms);
	usage_tick (e, now_ms);
	work_wake (e);
	tmr_start (&e->fast_tick, FAST_TICK_MS);
}

static void
on_tick (void *ctx)
{
	struct entry *e = ctx;
	uint64_t now_ms = tmr_now_ms ();
	GPtrArray *ejected = g_ptr_array_new ();

	conf_tick (e, now_ms);
	claim_tick (e, now_ms);
	back_timeouts (e);
	if (e->inv != NULL) {
		target_tick (e, now_ms);
		peer_tick (e, now_ms);
		susp_expire (&e->susp, now_ms);
		work_dark (e, now_ms);
		part_tick (&e->part, now_ms);
		if (now_ms / 1000 != e->second) {
			e->second = now_ms / 1000;
			bb_sweep (&e->bb);
			stat_cost (e, now_ms);
			target_own (e);
			route_tick (&e->route, now_ms, ejected);
		}
	}
	for (guint i = 0; i < ejected->len; i++)
		target_ejected (e, ejected->pdata[i], now_ms);
	g_ptr_array_unref (ejected);
	if (now_ms - e->confirmed_ms > PULL_AFTER_MS &&
	    now_ms - e->pulled_ms > PULL_AFTER_MS) {
		e->pulled_ms = now_ms;
		peer_pull (e);
	}
	leave_tick (e, now_ms);
	tmr_start (&e->tick, TICK_MS);
}

static void
on_terminate (void *ctx)
{
	leave_begin (ctx);
}

/* SIGHUP: certificates; everything else comes from control. */
static void
on_reload (void *ctx)
{
	struct entry *e = ctx;
	struct err err = {0};

	if (e->set.tls_cert[0] == '\0') {
		log_event (LOG_LV_WARN, "reload",
			   "verdict=nothing why=\"no tls_cert is set\"");
		return;
	}
	if (httpd_reload_tls (&e->callers, &err))
		log_event (LOG_LV_INFO, "reload", "verdict=ok");
	else
		log_event (LOG_LV_ERROR, "reload",
			   "verdict=kept_old why=\"%s\"", err.msg);
}

static bool
load_settings (struct entry *e, const char *file, struct err *err)
{
	if (file == NULL)
		return err_set (err, ERR_SETTINGS, "no settings file (-f)");
	return set_load (file, set_entryd_rows, &e->set, NULL, err) &&
	       set_secret_load (e->set.cluster_key_file, e->self.cluster_key,
				sizeof e->self.cluster_key, err) &&
	       set_token_load (e->set.admin_token_file, e->admin_token,
			       sizeof e->admin_token, err);
}

static bool
listen_all (struct entry *e, struct err *err)
{
	struct httpd_conf callers = {
		.max_body_bytes = BODY_MAX_BYTES,
		.io_timeout_ms = CALLER_IDLE_MS,
		.quota = &e->quota,
		.handler = front_request,
		.ctx = e,
	};
	struct httpd_conf admin = {
		.max_body_bytes = ADMIN_BODY_MAX_BYTES,
		.io_timeout_ms = CALLER_IDLE_MS,
		.quota = &e->quota,
		.handler = admin_request,
		.ctx = e,
	};

	quota_init (&e->quota, e->set.memory_mb, e->set.max_fds,
		    CLIENTS_MEMORY_PART, CLIENTS_FDS_PART);
	if (e->set.tls_cert[0] != '\0') {
		callers.tls_cert = e->set.tls_cert;
		callers.tls_key = e->set.tls_key;
	}
	return link_addr_parse (e->set.listen, &callers.addr, err) &&
	       link_addr_parse (e->set.admin, &admin.addr, err) &&
	       peer_init (e, err) && member_init (e, err) &&
	       httpd_init (&e->callers, e->d.loop, &callers, err) &&
	       httpd_init (&e->admin, e->d.loop, &admin, err);
}

/* Where the kernel chose ports, say which; also in the settings kept here. */
static bool
write_ports (struct entry *e, struct err *err)
{
	const struct {
		const char *name;
		char *addr;
		uint16_t port;
	} all[] = {
		{"listen", e->set.listen, e->callers.port},
		{"peer", e->set.peer, link_server_port (e->server)},
		{"admin", e->set.admin, e->admin.port},
	};
	GString *s = g_string_new (NULL);
	GError *ge = NULL;

	for (unsigned i = 0; i < G_N_ELEMENTS (all); i++) {
		size_t host =
			(size_t)(strrchr (all[i].addr, ':') - all[i].addr);

		snprintf (all[i].addr + host, SET_ADDR_BYTES - host, ":%u",
			  all[i].port);
		g_string_append_printf (s, "%s=%s\n", all[i].name, all[i].addr);
	}
	if (e->set.ports_file[0] != '\0' &&
	    !g_file_set_contents (e->set.ports_file, s->str, -1, &ge)) {
		err_set (err, ERR_IO, "%s: %s", e->set.ports_file, ge->message);
		g_error_free (ge);
		g_string_free (s, TRUE);
		return false;
	}
	g_string_free (s, TRUE);
	return true;
}

static void
init_decisions (struct entry *e)
{
	struct adm_settings adm = ADM_SETTINGS_DEFAULT;
	struct route_settings route = ROUTE_SETTINGS_DEFAULT;
	struct lease_settings lease = LEASE_SETTINGS_DEFAULT;
	uint64_t now_ms = tmr_now_ms ();

	bb_init (&e->bb, e->set.name);
	adm_init (&e->adm, &e->bb, &adm);
	route_init (&e->route, &e->bb, &route, policies[e->set.policy].ops,
		    e->rand);
	retry_init (&e->retry, 0);
	susp_init (&e->susp, e->set.name, e->self.incarnation);
	lease_init (&e->lease, &e->bb, &lease, &credit_lease_ops, e,
		    e->self.incarnation, now_ms);
	parts_init (e, now_ms);
	usage_init (&e->usage, e->set.name, e->self.incarnation);
	usage_store_init (&e->usage_store);
	e->confirmed_ms = now_ms;
	e->targets = g_hash_table_new (g_str_hash, g_str_equal);
	e->old_targets = g_ptr_array_new ();
	e->outcomes = g_ptr_array_new ();
	key_init (e);
	e->accounts =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	e->domains =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	e->stats =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static bool
start (struct entry *e, struct err *err)
{
	g_strlcpy (e->self.name, e->set.name, sizeof e->self.name);
	g_strlcpy (e->self.role, "entry", sizeof e->self.role);
	/* Larger after each start, as long as the clock does not step back
	 * by more than the process was down. */
	e->self.incarnation = tmr_wall_ms ();
	e->self.sent_bytes = e->sent_bytes;
	e->rand = g_rand_new ();
	init_decisions (e);
	if (!listen_all (e, err) || !write_ports (e, err))
		return false;
	conf_init (e);
	tmr_init (&e->fast_tick, e->d.loop, on_fast_tick, e);
	tmr_init (&e->tick, e->d.loop, on_tick, e);
	tmr_start (&e->fast_tick, FAST_TICK_MS);
	tmr_start (&e->tick, TICK_MS);
	log_event (LOG_LV_INFO, "start",
		   "listen=%s peer=%s admin=%s domain=%s policy=%s",
		   e->set.listen, e->set.peer, e->set.admin, e->set.domain,
		   policies[e->set.policy].name);
	return true;
}

int
main (int argc, char **argv)
{
	static const struct daemon_ops ops = {on_terminate, on_reload};
	static struct entry entry;
	struct daemon_opts o;
	struct err err = {0};

	daemon_args (&o, "entryd", "An entry instance of dragonflyhinge.", argc,
		     argv);
	if (sodium_init () < 0 || !load_settings (&entry, o.file, &err))
		goto fail;
	if (o.check_only)
		return 0;
	log_init ("entryd", entry.set.name, o.level);
	if (!daemon_init (&entry.d, &ops, &entry, &err) ||
	    !start (&entry, &err))
		goto fail;
	daemon_run (&entry.d);
	return 0;
fail:
	fprintf (stderr, "entryd: %s\n", err.msg);
	return 1;
}
