/*
 * The record of what was sent, answered and run.
 */
#include <stdarg.h>
#include <stdlib.h>

#include "world.h"

static FILE *file;
static int64_t began_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void
record_open (const char *path)
{
	file = fopen (path, "w");
	if (file == NULL) {
		perror (path);
		exit (2);
	}
	began_ms = now_ms ();
}

void
record (const char *format, ...)
{
	int64_t ms = now_ms () - began_ms;
	va_list ap;

	va_start (ap, format);
	pthread_mutex_lock (&lock);
	fprintf (file, "%8.3f ", (double)ms / 1000);
	vfprintf (file, format, ap);
	fputc ('\n', file);
	fflush (file);
	pthread_mutex_unlock (&lock);
	va_end (ap);
}

void
record_close (void)
{
	pthread_mutex_lock (&lock);
	fflush (file);
	pthread_mutex_unlock (&lock);
}
