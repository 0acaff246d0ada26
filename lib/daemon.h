#ifndef DH_DAEMON_H
#define DH_DAEMON_H

#include <argp.h>
#include <stdbool.h>
#include <stdint.h>

#include <h2o.h>

#include "err.h"
#include "log.h"

/*
 * What every daemon of ours shares: the options -f, -n, -d, -v, --version,
 * the loop, and SIGTERM, SIGINT and SIGHUP as callbacks on it.
 */

/**
 * struct daemon_opts - the common options, as given
 * @file: settings file, or NULL
 * @check_only: -n: check the settings and exit
 * @level: log level; -v raises it to debug, -q lowers it to warn
 */
struct daemon_opts {
	const char *file;
	bool check_only;
	enum log_level level;
};

/**
 * daemon_args() - parse the common options; exits on a bad one or --help
 * @prog: program name
 * @doc: one line on what it does
 */
void daemon_args (struct daemon_opts *o, const char *prog, const char *doc,
		  int argc, char **argv);

/** daemon_argp - the common options, for programs that have more; its input
 * is a struct daemon_opts */
extern const struct argp daemon_argp;

/**
 * struct daemon_ops - what signals do
 * @terminate: SIGTERM or SIGINT: begin a graceful end; a second one comes
 *	here again
 * @reload: SIGHUP: read the settings again
 */
struct daemon_ops {
	void (*terminate) (void *ctx);
	void (*reload) (void *ctx);
};

/** struct daemon - the loop and its signals */
struct daemon {
	h2o_loop_t *loop;
	const struct daemon_ops *ops;
	void *ctx;
	int signal_fd;
	h2o_socket_t *signal_sock;
	bool stopping;
};

/**
 * daemon_init() - make the loop; blocks the signals, ignores SIGPIPE
 * @e: ERR_IO with the cause
 */
bool daemon_init (struct daemon *d, const struct daemon_ops *ops, void *ctx,
		  struct err *e);

/** daemon_run() - run the loop until daemon_stop() */
void daemon_run (struct daemon *d);

/** daemon_stop() - make daemon_run() return after this turn of the loop */
void daemon_stop (struct daemon *d);

/** daemon_finish() - release what daemon_init() took */
void daemon_finish (struct daemon *d);

#endif
