#ifndef DH_LOG_H
#define DH_LOG_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Logging through GLib.  Every line is one event with fields, so that one
 * grep follows a request through all processes:
 *
 *   2026-01-02T03:04:05.678Z info entryd[e1] route req=... ep=... why=...
 *
 * Credentials are never passed to these functions.
 */

/** enum log_level - levels, in order of falling weight */
enum log_level {
	LOG_LV_ERROR,
	LOG_LV_WARN,
	LOG_LV_INFO,
	LOG_LV_DEBUG,
};

/**
 * log_init() - send GLib's log to stderr in the format above
 * @prog: program name
 * @name: the process's own name, or "" until it is known
 * @level: lines of less weight are dropped
 */
void log_init (const char *prog, const char *name, enum log_level level);

/**
 * log_to_stdout() - write to standard output, and never wait for its reader
 * @max_per_s: lines a second; what is beyond is dropped and counted.  Warnings
 *	and errors may use twice as many.  The first line of a second is
 *	preceded by "log-dropped lines=N" where some were.
 */
void log_to_stdout (uint32_t max_per_s);

/** log_dropped() - lines that were dropped so far */
uint64_t log_dropped (void);

/** log_level_parse() - "error", "warn", "info" or "debug" into @out */
bool log_level_parse (const char *s, enum log_level *out);

/** log_enabled() - whether a line at @level would be written */
bool log_enabled (enum log_level level);

/**
 * log_event() - write one line
 * @level: its weight
 * @event: one lower-case word, the first on the line
 * @fmt: the fields, as name=value words
 */
void log_event (enum log_level level, const char *event, const char *fmt, ...)
	__attribute__ ((format (printf, 3, 4)));

#endif
