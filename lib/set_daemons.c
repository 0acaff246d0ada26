/*
 * The tables of the programs' settings files, and the small files they name.
 */
#include <string.h>

#include "set_daemons.h"

#define ROW(name_, type_, ...)                                                 \
	SET_ROW (#name_, type_, STRUCT, name_, __VA_ARGS__)

static const char *const policies[] = {"default",     "random",
				       "round_robin", "least_in_flight",
				       "two_choices", NULL};

/* What the platform states of the machine, for the bounds of quota.h. */
#define MACHINE_ROWS                                                           \
	ROW (memory_mb, SET_U32, .def = "0", .max = 1048576,                   \
	     .doc = "Memory of the machine in MB, of which clients may fill "  \
		    "a part; 0: 4096."),                                       \
		ROW (max_fds, SET_U32, .def = "0", .max = 1048576,             \
		     .doc = "Descriptors that the process may have open, "     \
			    "200 of them for files; 0: as many as the "        \
			    "system allows.")

#define STRUCT struct set_entryd
const struct set_row set_entryd_rows[] = {
	ROW (name, SET_NAME, .required = true,
	     .doc = "Name of the instance, as in the inventory."),
	ROW (domain, SET_NAME, .required = true,
	     .doc = "Its failure domain, as in the inventory."),
	ROW (listen, SET_ADDR, .required = true,
	     .doc = "Where callers connect; port 0: the kernel chooses."),
	ROW (peer, SET_ADDR, .required = true,
	     .doc = "Where our own processes connect, by TCP and UDP; its IP, "
		    "unless 0.0.0.0, is where links to them leave from."),
	ROW (admin, SET_ADDR, .required = true,
	     .doc = "Where operators connect, by HTTP."),
	ROW (control, SET_LIST, .required = true, .min = 1, .max = 11,
	     .doc = "Peer listeners of the control members, IP:port each."),
	ROW (cluster_key_file, SET_STRING, .required = true,
	     .doc = "File with the key all our processes share: 64 hex "
		    "digits."),
	ROW (admin_token_file, SET_STRING, .required = true,
	     .doc = "File with the token that operators show."),
	ROW (tls_cert, SET_STRING,
	     .doc = "Certificate chain towards callers; absent: plain HTTP."),
	ROW (tls_key, SET_STRING, .doc = "Its private key."),
	ROW (ports_file, SET_STRING,
	     .doc = "File to write the listeners' addresses to."),
	ROW (balancer_wait_ms, SET_U32, .def = "2000", .max = 600000,
	     .doc = "Milliseconds between saying not ready and closing the "
		    "listener."),
	ROW (policy, SET_ENUM, .def = "\"default\"", .words = policies,
	     .doc = "Choice of endpoint; all but `default` are baselines to "
		    "measure against."),
	ROW (engine_priority, SET_BOOL, .def = "true",
	     .doc = "Whether engines are told each request's tier."),
	MACHINE_ROWS,
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct set_controld
const struct set_row set_controld_rows[] = {
	ROW (name, SET_NAME, .required = true, .doc = "Name of the instance."),
	ROW (domain, SET_NAME, .required = true, .doc = "Its failure domain."),
	ROW (peer, SET_ADDR, .required = true,
	     .doc = "Where our own processes connect; its IP, unless 0.0.0.0, "
		    "is where links to them leave from."),
	ROW (admin, SET_ADDR, .required = true,
	     .doc = "Where operators connect, by HTTP."),
	ROW (data_dir, SET_STRING, .required = true,
	     .doc = "Folder with the member's identity, log and snapshots."),
	ROW (cluster_key_file, SET_STRING, .required = true,
	     .doc = "File with the key all our processes share: 64 hex "
		    "digits."),
	ROW (admin_token_file, SET_STRING, .required = true,
	     .doc = "File with the token that operators show."),
	ROW (platform, SET_ADDR,
	     .doc = "The platform's interface; absent: no orders, no reports."),
	ROW (ports_file, SET_STRING,
	     .doc = "File to write the listeners' addresses to."),
	MACHINE_ROWS,
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct set_groupd
const struct set_row set_groupd_rows[] = {
	ROW (name, SET_NAME, .required = true, .doc = "Name of the instance."),
	ROW (domain, SET_NAME, .required = true, .doc = "Its failure domain."),
	ROW (peer, SET_ADDR, .required = true,
	     .doc = "Where relays and other members connect; members use the "
		    "same port everywhere."),
	ROW (peer_listen, SET_ADDR,
	     .doc = "Where it listens for them, and dials from, if not at "
		    "peer: for networks that translate addresses."),
	ROW (api, SET_ADDR, .required = true,
	     .doc = "Where operators connect, by HTTP; the same port "
		    "everywhere."),
	ROW (metrics, SET_ADDR, .doc = "Where counters are served, by HTTP."),
	ROW (data_dir, SET_STRING, .required = true,
	     .doc = "Folder with the member's identity, log and snapshots."),
	ROW (cluster_key_file, SET_STRING, .required = true,
	     .doc = "File with the key all our processes share: 64 hex "
		    "digits."),
	ROW (seeds, SET_LIST, .required = true, .min = 1, .max = 11,
	     .doc = "API listeners of members to begin with, IP:port each."),
	ROW (found, SET_BOOL, .def = "false",
	     .doc = "Whether the seeds found the group, each with an empty "
		    "data folder; otherwise an empty member asks to join."),
	ROW (platform, SET_ADDR, .required = true,
	     .doc = "The platform's interface."),
	ROW (platform_calls_per_s, SET_REAL, .def = "10", .min = 1,
	     .doc = "List calls a second it takes, from all instances."),
	ROW (duties, SET_LIST, .max = 16,
	     .doc = "What the platform expects of the member in charge: "
		    "\"usage\", reports of usage windows; \"scaling\", orders "
		    "of "
		    "endpoints; others are left alone."),
	ROW (usage_window_s, SET_REAL, .def = "60", .min = 1, .max = 86400,
	     .doc = "Length of a usage window in seconds."),
	ROW (usage_late_s, SET_REAL, .def = "60", .min = 1, .max = 86400,
	     .doc = "Seconds after a window's end at which its report is "
		    "due."),
	ROW (lease_ms, SET_U32, .def = "3000", .min = 100, .max = 60000,
	     .doc = "Milliseconds for which the platform takes the last "
		    "sender of reports for the one in charge."),
	ROW (ack_ms, SET_U32, .def = "4000", .min = 100, .max = 60000,
	     .doc = "Milliseconds for which an operator sends a change "
		    "again."),
	ROW (disk_losses, SET_U32, .def = "1", .max = 5,
	     .doc = "Members' disks that may be lost at once: what is "
		    "acknowledged is on one disk more."),
	MACHINE_ROWS,
	ROW (exposure_share, SET_REAL, .max = 1,
	     .doc = "Share of a service's requests that a new version may get "
		    "while its rollout runs; 0: there are no rollouts."),
	ROW (exposure_slack, SET_REAL, .def = "50", .max = 1000000,
	     .doc = "Requests that it may get beside that share."),
	ROW (rollback_ms, SET_U32, .def = "5000", .min = 2500, .max = 600000,
	     .doc = "Milliseconds after enough bad answers by which a bad "
		    "version gets no more requests."),
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct set_relayd
const struct set_row set_relayd_rows[] = {
	ROW (name, SET_NAME, .required = true, .doc = "Name of the instance."),
	ROW (domain, SET_NAME, .required = true, .doc = "Its failure domain."),
	ROW (listen, SET_ADDR, .required = true,
	     .doc = "Where callers connect."),
	ROW (ready, SET_ADDR, .required = true,
	     .doc = "Where the balancer asks whether it takes callers."),
	ROW (peer, SET_ADDR, .required = true,
	     .doc = "Its IP is where connections leave from, its port the "
		    "one at which members of the group listen."),
	ROW (metrics, SET_ADDR, .doc = "Where counters are served, by HTTP."),
	ROW (cluster_key_file, SET_STRING, .required = true,
	     .doc = "File with the key all our processes share: 64 hex "
		    "digits."),
	ROW (seeds, SET_LIST, .required = true, .min = 1, .max = 11,
	     .doc = "API listeners of members to begin with, IP:port each."),
	ROW (platform, SET_ADDR, .required = true,
	     .doc = "The platform's interface, for when no member answers."),
	ROW (platform_calls_per_s, SET_REAL, .def = "10", .min = 1,
	     .doc = "List calls a second it takes, from all instances."),
	ROW (grace_s, SET_REAL, .def = "8", .min = 1, .max = 600,
	     .doc = "Seconds between SIGTERM and SIGKILL."),
	ROW (retry_ratio, SET_REAL, .def = "0.2", .max = 1,
	     .doc = "Sends beyond the first, as a share of the requests, of "
		    "all relays together."),
	ROW (retry_slack, SET_REAL, .def = "50", .max = 1000000,
	     .doc = "Sends beyond the first allowed besides in any window."),
	ROW (retry_window_s, SET_REAL, .def = "10", .min = 1, .max = 600,
	     .doc = "The retry budget's window in seconds."),
	ROW (usage_window_s, SET_REAL, .def = "60", .min = 1, .max = 86400,
	     .doc = "Length of a usage window in seconds."),
	ROW (learn_speed, SET_BOOL,
	     .doc = "Learn how fast each engine is, and place requests by it."),
	ROW (share_room, SET_BOOL,
	     .doc = "Send waiting requests at a rate that all relays share, "
		    "the most urgent first."),
	ROW (pace, SET_BOOL, .def = "false",
	     .doc = "Whether the load of endpoints that have just appeared or "
		    "recovered rises with what they answer, as a sum over all "
		    "relays."),
	MACHINE_ROWS,
	SET_ROW_END,
};
#undef STRUCT

#define STRUCT struct set_dhctl
const struct set_row set_dhctl_rows[] = {
	ROW (control, SET_LIST, .max = 11,
	     .doc = "Admin listeners of the control members, IP:port each."),
	ROW (entries, SET_LIST, .max = 1000,
	     .doc = "Admin listeners of entry instances, IP:port each; a "
		    "withdrawal goes to them as well."),
	ROW (admin_token_file, SET_STRING,
	     .doc = "File with the token to show."),
	ROW (cluster_key_file, SET_STRING,
	     .doc = "File with the cluster key; `grant` needs it."),
	SET_ROW_END,
};
#undef STRUCT

static char *
read_line (const char *path, struct err *e)
{
	GError *ge = NULL;
	char *text;

	if (g_file_get_contents (path, &text, NULL, &ge))
		return g_strchomp (text);
	err_set (e, ERR_IO, "read secret: %s", ge->message);
	g_error_free (ge);
	return NULL;
}

bool
set_secret_load (const char *path, uint8_t *secret, size_t size, struct err *e)
{
	char *text = read_line (path, e);
	bool ok;

	if (text == NULL)
		return false;
	ok = strlen (text) == 2 * size &&
	     strspn (text, "0123456789abcdefABCDEF") == 2 * size;
	for (size_t i = 0; ok && i < size; i++)
		secret[i] = (uint8_t)(g_ascii_xdigit_value (text[2 * i]) * 16 +
				      g_ascii_xdigit_value (text[2 * i + 1]));
	g_free (text);
	return ok || err_set (e, ERR_SETTINGS, "%s: must hold %zu hex digits",
			      path, 2 * size);
}

bool
set_token_load (const char *path, char *token, size_t size, struct err *e)
{
	char *text = read_line (path, e);
	size_t len;
	bool ok;

	if (text == NULL)
		return false;
	len = strlen (text);
	ok = len > 0 && len < size;
	for (size_t i = 0; ok && i < len; i++)
		ok = g_ascii_isgraph (text[i]);
	if (ok)
		memcpy (token, text, len + 1);
	g_free (text);
	return ok || err_set (e, ERR_SETTINGS,
			      "%s: must hold one word of 1 to %zu visible "
			      "characters",
			      path, size - 1);
}
