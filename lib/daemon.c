/*
 * Options, loop and signals of a daemon.
 */
#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "daemon.h"

const char *argp_program_version = "dragonflyhinge 0.1";

static const struct argp_option options[] = {
	{"file", 'f', "FILE", 0, "Settings file", 0},
	{"check", 'n', NULL, 0, "Check the settings and exit", 0},
	{"debug", 'd', NULL, 0, "Stay in the foreground (always so)", 0},
	{"verbose", 'v', NULL, 0, "Log more", 0},
	{"quiet", 'q', NULL, 0, "Log warnings and errors only", 0},
	{0},
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
	struct daemon_opts *o = state->input;

	switch (key) {
	case 'f':
		o->file = arg;
		return 0;
	case 'n':
		o->check_only = true;
		return 0;
	case 'd':
		return 0;
	case 'v':
		o->level = LOG_LV_DEBUG;
		return 0;
	case 'q':
		o->level = LOG_LV_WARN;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

const struct argp daemon_argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

void
daemon_args (struct daemon_opts *o, const char *prog, const char *doc, int argc,
	     char **argv)
{
	struct argp argp = daemon_argp;

	*o = (struct daemon_opts){.level = LOG_LV_INFO};
	argp.doc = doc;
	log_init (prog, "", LOG_LV_INFO);
	argp_parse (&argp, argc, argv, 0, NULL, o);
	log_init (prog, "", o->level);
}

static void
on_signal (h2o_socket_t *sock, const char *why)
{
	struct daemon *d = sock->data;
	struct signalfd_siginfo si;

	(void)why;
	while (read (d->signal_fd, &si, sizeof si) == (ssize_t)sizeof si) {
		if (si.ssi_signo == SIGHUP) {
			if (d->ops->reload != NULL)
				d->ops->reload (d->ctx);
		} else if (d->ops->terminate != NULL) {
			d->ops->terminate (d->ctx);
		} else {
			daemon_stop (d);
		}
	}
}

bool
daemon_init (struct daemon *d, const struct daemon_ops *ops, void *ctx,
	     struct err *e)
{
	struct sigaction ign = {.sa_handler = SIG_IGN};
	sigset_t set;

	*d = (struct daemon){.ops = ops, .ctx = ctx, .signal_fd = -1};
	/* Without this a caller that goes away kills the process. */
	sigaction (SIGPIPE, &ign, NULL);
	/* A limit on file sizes is an error of the write that meets it. */
	sigaction (SIGXFSZ, &ign, NULL);
	sigemptyset (&set);
	sigaddset (&set, SIGTERM);
	sigaddset (&set, SIGINT);
	sigaddset (&set, SIGHUP);
	sigprocmask (SIG_BLOCK, &set, NULL);
	d->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (d->signal_fd < 0)
		return err_set (e, ERR_IO, "signalfd: %s", strerror (errno));
	d->loop = h2o_evloop_create ();
	d->signal_sock = h2o_evloop_socket_create (d->loop, d->signal_fd,
						   H2O_SOCKET_FLAG_DONT_READ);
	d->signal_sock->data = d;
	h2o_socket_read_start (d->signal_sock, on_signal);
	return true;
}

void
daemon_run (struct daemon *d)
{
	while (!d->stopping)
		h2o_evloop_run (d->loop, INT32_MAX);
}

void
daemon_stop (struct daemon *d)
{
	d->stopping = true;
}

void
daemon_finish (struct daemon *d)
{
	if (d->signal_sock != NULL)
		h2o_socket_close (d->signal_sock);
	d->signal_sock = NULL;
}
