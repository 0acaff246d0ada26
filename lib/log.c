/*
 * One line an event, through GLib's structured logging.
 */
#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "log.h"

#define LINE_BYTES 2048

/*
 * A process has one log, as it has one stderr, so this state is the one
 * exception to "no globals".
 */
static char log_prog[32] = "?";
static char log_self[64] = "";
static enum log_level log_max = LOG_LV_INFO;
static int log_fd = STDERR_FILENO;

/* A bound on the volume, for log_to_stdout(): lines a second, 0 for none. */
static uint32_t lines_per_s;
static uint64_t lines_second;
static uint32_t lines_written;
static uint64_t lines_dropped;
static uint64_t drops_told; /* of them, those that a line has told */

/* Whether one more line fits within this second's bound. */
static bool
may_write (enum log_level level)
{
	struct timespec ts;

	if (lines_per_s == 0)
		return true;
	clock_gettime (CLOCK_MONOTONIC, &ts);
	if ((uint64_t)ts.tv_sec != lines_second) {
		lines_second = (uint64_t)ts.tv_sec;
		lines_written = 0;
	}
	/* Warnings and errors may use twice the bound. */
	if (lines_written >= lines_per_s &&
	    (level > LOG_LV_WARN || lines_written >= 2 * lines_per_s)) {
		lines_dropped++;
		return false;
	}
	lines_written++;
	return true;
}

static const char *const level_names[] = {
	[LOG_LV_ERROR] = "error",
	[LOG_LV_WARN] = "warn",
	[LOG_LV_INFO] = "info",
	[LOG_LV_DEBUG] = "debug",
};

static const GLogLevelFlags glib_levels[] = {
	[LOG_LV_ERROR] = G_LOG_LEVEL_CRITICAL,
	[LOG_LV_WARN] = G_LOG_LEVEL_WARNING,
	[LOG_LV_INFO] = G_LOG_LEVEL_INFO,
	[LOG_LV_DEBUG] = G_LOG_LEVEL_DEBUG,
};

static enum log_level
level_from_glib (GLogLevelFlags flags)
{
	if (flags & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return LOG_LV_ERROR;
	if (flags & G_LOG_LEVEL_WARNING)
		return LOG_LV_WARN;
	if (flags & (G_LOG_LEVEL_INFO | G_LOG_LEVEL_MESSAGE))
		return LOG_LV_INFO;
	return LOG_LV_DEBUG;
}

/* One write a line, so that lines of several processes stay whole. */
static bool
write_line (enum log_level level, const char *msg)
{
	struct timespec ts;
	struct tm tm;
	char line[LINE_BYTES], when[32];
	int len;

	clock_gettime (CLOCK_REALTIME, &ts);
	gmtime_r (&ts.tv_sec, &tm);
	strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%S", &tm);
	len = snprintf (line, sizeof line, "%s.%03ldZ %s %s[%s] %s\n", when,
			ts.tv_nsec / 1000000, level_names[level], log_prog,
			log_self, msg);
	if (len >= (int)sizeof line) {
		len = sizeof line - 1;
		line[len - 1] = '\n';
	}
	/* Texts from outside must not end the line. */
	for (int i = 0; i + 1 < len; i++) {
		if (g_ascii_iscntrl (line[i]))
			line[i] = '?';
	}
	return write (log_fd, line, (size_t)len) >= 0;
}

/* The first line of a second says how many were not written before. */
static void
tell_drops (void)
{
	char msg[64];

	if (lines_dropped == drops_told || lines_written > 1)
		return;
	snprintf (msg, sizeof msg, "log-dropped lines=%" G_GUINT64_FORMAT,
		  lines_dropped - drops_told);
	if (write_line (LOG_LV_WARN, msg))
		drops_told = lines_dropped;
}

static GLogWriterOutput
writer (GLogLevelFlags flags, const GLogField *fields, gsize n, gpointer data)
{
	enum log_level level = level_from_glib (flags);
	const char *msg = "";

	(void)data;
	if (level > log_max || !may_write (level))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < n; i++) {
		if (strcmp (fields[i].key, "MESSAGE") == 0)
			msg = fields[i].value;
	}
	tell_drops ();
	if (!write_line (level, msg)) {
		lines_dropped++;
		return G_LOG_WRITER_UNHANDLED;
	}
	return G_LOG_WRITER_HANDLED;
}

void
log_init (const char *prog, const char *name, enum log_level level)
{
	static bool installed;

	snprintf (log_prog, sizeof log_prog, "%s", prog);
	snprintf (log_self, sizeof log_self, "%s", name);
	log_max = level;
	if (installed)
		return;
	g_log_set_writer_func (writer, NULL, NULL);
	installed = true;
}

void
log_to_stdout (uint32_t max_per_s)
{
	int flags = fcntl (STDOUT_FILENO, F_GETFL);

	/* A reader that stops must not stop the process. */
	if (flags >= 0)
		fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
	log_fd = STDOUT_FILENO;
	lines_per_s = max_per_s;
}

uint64_t
log_dropped (void)
{
	return lines_dropped;
}

bool
log_level_parse (const char *s, enum log_level *out)
{
	for (unsigned i = 0; i < G_N_ELEMENTS (level_names); i++) {
		if (strcmp (s, level_names[i]) == 0) {
			*out = (enum log_level)i;
			return true;
		}
	}
	return false;
}

bool
log_enabled (enum log_level level)
{
	return level <= log_max;
}

void
log_event (enum log_level level, const char *event, const char *fmt, ...)
{
	char text[LINE_BYTES];
	int len;
	va_list ap;

	if (!log_enabled (level))
		return;
	len = snprintf (text, sizeof text, "%s ", event);
	va_start (ap, fmt);
	vsnprintf (text + len, sizeof text - (size_t)len, fmt, ap);
	va_end (ap);
	g_log_structured ("dragonflyhinge", glib_levels[level], "MESSAGE", "%s",
			  text);
}
