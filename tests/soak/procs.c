/*
 * The daemons, and what is done to them and to the endpoints.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "link.h"
#include "soak.h"

static char *
seeds_json (const struct soak *k)
{
	return g_strdup_printf ("[\"%s:%u\",\"%s:%u\",\"%s:%u\"]",
				k->doors[0].ip, k->api, k->doors[1].ip, k->api,
				k->doors[2].ip, k->api);
}

static char *
settings_write (struct soak *k, struct soak_proc *p, bool found)
{
	char *seeds = seeds_json (k), *text, *path;
	char *common = g_strdup_printf (
		"\"name\":\"%s\",\"domain\":\"z%d\",\"peer\":\"%s:%u\","
		"\"cluster_key_file\":\"%s/key\",\"seeds\":%s,"
		"\"platform\":\"%s.1:%u\",\"platform_calls_per_s\":50,"
		"\"usage_window_s\":%d",
		p->name, p->ip[strlen (p->ip) - 1] % 2,
		p->member ? k->doors[p - k->procs].ip : p->ip, k->peer, k->dir,
		seeds, k->net, k->platform.port, SOAK_USAGE_WINDOW_MS / 1000);

	if (p->member)
		text = g_strdup_printf (
			"{%s,\"peer_listen\":\"%s:%u\",\"api\":\"%s:%u\","
			"\"data_dir\":\"%s\",\"found\":%s,\"duties\":["
			"\"usage\"],"
			"\"usage_late_s\":4}",
			common, p->ip, k->peer, p->ip, k->api, p->dir,
			found ? "true" : "false");
	else
		text = g_strdup_printf ("{%s,\"listen\":\"%s:%u\","
					"\"ready\":\"%s:%u\","
					"\"grace_s\":%g}",
					common, p->ip, k->front, p->ip,
					k->ready, k->stops.grace_ms / 1000.0);
	path = g_strdup_printf ("%s/%s.json", k->dir, p->name);
	g_file_set_contents (path, text, -1, NULL);
	g_free (text);
	g_free (common);
	g_free (seeds);
	return path;
}

static void
proc_start (struct soak *k, struct soak_proc *p)
{
	char *path = settings_write (k, p, p->starts == 0);
	char *program = g_strdup_printf ("%s/%s", k->bin, p->program);
	char *log = g_strdup_printf ("%s/%s.log", k->dir, p->name);

	p->starts++;
	p->start_ms = 0;
	p->ending = p->stopped = false;
	p->pid = fork ();
	if (p->pid == 0) {
		int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2 (fd, 1);
		dup2 (fd, 2);
		execl (program, program, "-f", path, (char *)NULL);
		_exit (127);
	}
	g_free (path);
	g_free (program);
	g_free (log);
}

static void
rm_files (const char *dir)
{
	GDir *d = g_dir_open (dir, 0, NULL);
	const char *name;

	while (d != NULL && (name = g_dir_read_name (d)) != NULL) {
		char *path = g_build_filename (dir, name, NULL);

		unlink (path);
		g_free (path);
	}
	if (d != NULL)
		g_dir_close (d);
}

void
procs_free_ports (uint16_t *ports, uint32_t n)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	int fds[SOAK_PORTS];

	at.sin_addr.s_addr = htonl (INADDR_ANY);
	for (uint32_t i = 0; i < n; i++)
		fds[i] = link_listen_fd (&at, 1, &ports[i], NULL);
	for (uint32_t i = 0; i < n; i++)
		close (fds[i]);
}

void
procs_init (struct soak *k)
{
	char *key = g_strdup_printf ("%s/key", k->dir);
	uint16_t ports[SOAK_PORTS] = {0};

	g_file_set_contents (key,
			     "00112233445566778899aabbccddeeff"
			     "00112233445566778899aabbccddeeff\n",
			     -1, NULL);
	g_free (key);
	procs_free_ports (ports, SOAK_PORTS);
	k->front = ports[0];
	k->ready = ports[1];
	k->peer = ports[2];
	k->api = ports[3];
	cut_init (k);
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		struct soak_proc *p = &k->procs[i];

		p->member = i < SOAK_MEMBERS;
		p->program = p->member ? "groupd" : "relayd";
		g_snprintf (p->name, sizeof p->name, "%s%d",
			    p->member ? "m" : "r", i);
		g_snprintf (p->ip, sizeof p->ip, "%s.%d", k->net,
			    p->member ? 11 + i : 21 + i - SOAK_MEMBERS);
		g_snprintf (p->dir, sizeof p->dir, "%s/%s", k->dir, p->name);
		proc_start (k, p);
	}
}

void
proc_kill (struct soak_proc *p, int sig)
{
	if (p->pid > 0)
		kill (p->pid, sig);
}

/* A disk that takes no more bytes, and one that does again. */
static void
proc_space (struct soak_proc *p, uint64_t until_ms)
{
	rlim_t bytes = until_ms > 0 ? 1 : RLIM_INFINITY;
	struct rlimit limit = {bytes, RLIM_INFINITY};

	p->space_ms = until_ms;
	if (p->pid > 0)
		prlimit (p->pid, RLIMIT_FSIZE, &limit, NULL);
}

void
procs_tick (struct soak *k, uint64_t now_ms)
{
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		struct soak_proc *p = &k->procs[i];
		int status = 0;

		if (p->stopped && now_ms >= p->wake_ms) {
			proc_kill (p, SIGCONT);
			p->stopped = false;
		}
		if (p->space_ms != 0 && now_ms >= p->space_ms)
			proc_space (p, 0);
		if (p->pid > 0 &&
		    waitpid (p->pid, &status, WNOHANG) == p->pid) {
			if (!p->ending)
				soak_wrong (k, "%s ended by itself: %d",
					    p->name, status);
			p->pid = 0;
			p->gone_ms = now_ms;
			if (k->stops.on)
				stops_check_gone (k, p);
			if (p->start_ms == 0)
				p->start_ms = now_ms;
		}
		if (p->pid == 0 && p->start_ms != 0 && now_ms >= p->start_ms)
			proc_start (k, p);
	}
}

static uint32_t
members_well (const struct soak *k)
{
	uint32_t n = 0;

	for (int i = 0; i < SOAK_MEMBERS; i++)
		n += k->procs[i].pid > 0 && !k->procs[i].stopped &&
		     !k->procs[i].ending && k->procs[i].space_ms == 0;
	return n;
}

/* One disk is lost at a time: the next only once the member that lost its own
 * votes again.  A group of three bears one loss; with two of its disks lost
 * before, nothing that it acknowledged need be left. */
static bool
may_wipe (const struct soak *k, uint64_t now_ms)
{
	char *path, line[1024];
	bool votes = false;
	FILE *f;

	if (members_well (k) < SOAK_MEMBERS || cut_is_any (k, now_ms) ||
	    k->acked == 0)
		return false;
	if (k->wiped == NULL)
		return true;
	path = g_strdup_printf ("%s/%s.log", k->dir, k->wiped->name);
	f = fopen (path, "r");
	if (f != NULL)
		fseek (f, k->wiped_at, SEEK_SET);
	while (f != NULL && fgets (line, sizeof line, f) != NULL)
		votes = votes || (strstr (line, " role role=follower") &&
				  strstr (line, "voters=3"));
	if (f != NULL)
		fclose (f);
	g_free (path);
	return votes;
}

/* Its log goes on in the same file. */
static long
log_length (const struct soak *k, const struct soak_proc *p)
{
	char *path = g_strdup_printf ("%s/%s.log", k->dir, p->name);
	struct stat st = {0};

	stat (path, &st);
	g_free (path);
	return (long)st.st_size;
}

static void
proc_fault (struct soak *k, struct soak_proc *p, uint64_t now_ms)
{
	uint64_t for_ms = (uint64_t)g_rand_int_range (k->rand, 100, 2500);

	if (p->pid <= 0 || p->ending)
		return;
	if (p->member && g_rand_int_range (k->rand, 0, 5) == 0) {
		proc_space (p, now_ms + for_ms);
		return;
	}
	switch (g_rand_int_range (k->rand, 0, 4)) {
	case 0:
		p->stopped = true;
		p->wake_ms = now_ms + for_ms;
		proc_kill (p, SIGSTOP);
		return;
	case 1:
		if (p->member && may_wipe (k, now_ms)) {
			p->ending = true;
			proc_kill (p, SIGKILL);
			waitpid (p->pid, NULL, 0);
			p->pid = 0;
			rm_files (p->dir);
			k->wiped = p;
			k->wiped_at = log_length (k, p);
			p->start_ms = now_ms + for_ms / 5;
			return;
		}
		/* fallthrough */
	case 2:
		p->ending = true;
		p->start_ms = now_ms + for_ms;
		proc_kill (p, SIGCONT);
		proc_kill (p, SIGKILL);
		return;
	default:
		p->ending = true;
		proc_kill (p, SIGTERM);
		return;
	}
}

static void
ep_fault (struct soak *k, struct soak_ep *e, uint64_t now_ms)
{
	switch (g_rand_int_range (k->rand, 0, 5)) {
	case 0:
		if (e->up)
			world_ep_down (e);
		else
			world_ep_up (e);
		break;
	case 1:
		e->leaving = true;
		e->leaving_ms = now_ms;
		break;
	case 2:
		world_ep_silence (
			e, (uint32_t)g_rand_int_range (k->rand, 800, 1801),
			g_rand_boolean (k->rand));
		break;
	default:
		e->mode = (enum soak_mode)g_rand_int_range (k->rand, 0,
							    SOAK_MODES);
		break;
	}
}

static void
kill_first (struct soak *k, int count, uint64_t now_ms)
{
	for (int i = 0; i < count; i++) {
		struct soak_proc *p = &k->procs[i];

		if (p->pid <= 0)
			continue;
		p->ending = true;
		p->start_ms = now_ms + 50;
		proc_kill (p, SIGCONT);
		proc_kill (p, SIGKILL);
	}
}

void
procs_kill_all (struct soak *k, uint64_t now_ms)
{
	kill_first (k, SOAK_MEMBERS + SOAK_RELAYS, now_ms);
}

/* Faults come in series and overlap. */
void
procs_fault (struct soak *k, uint64_t now_ms)
{
	int what = g_rand_int_range (k->rand, 0, 12);

	k->faults++;
	if (what == 0) {
		kill_first (k, SOAK_MEMBERS, now_ms);
	} else if (what == 1) {
		world_platform (k, !k->platform_up);
	} else if (what < 4) {
		cut_fault (k, now_ms);
	} else if (what < 7) {
		ep_fault (k, &k->eps[g_rand_int_range (k->rand, 0, SOAK_EPS)],
			  now_ms);
	} else {
		proc_fault (k,
			    &k->procs[g_rand_int_range (
				    k->rand, 0, SOAK_MEMBERS + SOAK_RELAYS)],
			    now_ms);
	}
}

void
procs_heal (struct soak *k)
{
	world_platform (k, true);
	cut_heal (k);
	for (int i = 0; i < SOAK_EPS; i++) {
		struct soak_ep *e = &k->eps[i];

		if (e->leaving)
			world_ep_down (e);
		world_ep_up (e);
		e->mode = SOAK_WELL;
	}
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		k->procs[i].wake_ms = 0;
		if (k->procs[i].space_ms != 0)
			k->procs[i].space_ms = 1;
		if (k->procs[i].start_ms != 0)
			k->procs[i].start_ms = 1;
	}
}

/* The logs are kept where something was wrong. */
void
procs_clean (struct soak *k)
{
	for (int i = 0; i < SOAK_MEMBERS; i++) {
		rm_files (k->procs[i].dir);
		rmdir (k->procs[i].dir);
	}
	rm_files (k->dir);
	rmdir (k->dir);
}

void
procs_finish (struct soak *k)
{
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++) {
		struct soak_proc *p = &k->procs[i];

		if (p->pid <= 0)
			continue;
		proc_kill (p, SIGCONT);
		proc_kill (p, SIGKILL);
		waitpid (p->pid, NULL, 0);
	}
}
