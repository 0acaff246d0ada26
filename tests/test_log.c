/*
 * The log under flood: bounded, never waiting for its reader, and saying how
 * much it left out.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib.h>

#include "log.h"
#include "t_run.h"

#define FLOOD_LINES 50000

/* Longer than the flood takes, by far. */
#define STUCK_S 20

/* A pipe that nobody reads and that takes no more bytes. */
static int
full_pipe (void)
{
	static const char block[4096];
	int fds[2];

	if (pipe (fds) != 0)
		abort ();
	fcntl (fds[1], F_SETFL, O_NONBLOCK);
	while (write (fds[1], block, sizeof block) > 0)
		;
	fcntl (fds[1], F_SETFL, 0);
	return fds[1];
}

/* Run @body in a process with these outputs; Return: its exit status, or -1
 * where it was stuck. */
static int
run_with (int out, int err, int (*body) (void))
{
	int status = 0;
	pid_t pid = fork ();

	if (pid == 0) {
		dup2 (out, STDOUT_FILENO);
		dup2 (err, STDERR_FILENO);
		alarm (STUCK_S);
		log_init ("test", "t", LOG_LV_INFO);
		log_to_stdout (100);
		_exit (body ());
	}
	waitpid (pid, &status, 0);
	return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

static int
flood (void)
{
	for (int i = 0; i < FLOOD_LINES; i++)
		log_event (i % 2 ? LOG_LV_WARN : LOG_LV_INFO, "flood", "n=%d",
			   i);
	return log_dropped () > 0 ? 0 : 1;
}

/* Neither a reader of the log that stopped nor one of errors stops us. */
static void
test_no_reader (void)
{
	CU_ASSERT (run_with (full_pipe (), full_pipe (), flood) == 0);
}

static int
flood_and_on (void)
{
	flood ();
	g_usleep (1100 * 1000);
	log_event (LOG_LV_INFO, "after", "x=1");
	return 0;
}

/* No more lines than the bound in each second, twice as many with warnings;
 * the first line after it is preceded by how many are missing. */
static void
test_bound (void)
{
	uint32_t lines = 0, floods = 0;
	uint64_t missing = 0;
	char line[512];
	bool after = false;
	FILE *f = tmpfile ();

	CU_ASSERT (run_with (fileno (f), STDERR_FILENO, flood_and_on) == 0);
	rewind (f);
	while (fgets (line, sizeof line, f) != NULL) {
		const char *at = strstr (line, " log-dropped lines=");

		lines++;
		floods += strstr (line, " flood ") != NULL;
		after = after || strstr (line, " after ") != NULL;
		if (at != NULL)
			missing += strtoull (strchr (at, '=') + 1, NULL, 10);
	}
	/* The flood may cross from one second to the next. */
	CU_ASSERT (floods >= 100 && floods <= 400);
	CU_ASSERT (after && floods + missing == FLOOD_LINES);
	CU_ASSERT (lines <= 403);
	fclose (f);
}

static int
odd_texts (void)
{
	log_event (LOG_LV_INFO, "endpoint", "ep=%s",
		   "a\n2026-01-01T00:00:00.000Z error relayd[x] "
		   "forged\x1b[2J\x7f");
	return 0;
}

/* A name from outside made two lines of one. */
static void
test_line_forged_by_a_name_from_outside (void)
{
	char text[1024] = "";
	FILE *f = tmpfile ();
	size_t len;

	CU_ASSERT (run_with (fileno (f), STDERR_FILENO, odd_texts) == 0);
	rewind (f);
	len = fread (text, 1, sizeof text - 1, f);
	CU_ASSERT (len > 0 && strchr (text, '\n') == text + len - 1);
	CU_ASSERT (strstr (text, "ep=a?2026-01-01T") != NULL);
	CU_ASSERT (strstr (text, "forged?[2J?\n") != NULL);
	fclose (f);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"no reader", test_no_reader},
		{"bound", test_bound},
		{"forged line", test_line_forged_by_a_name_from_outside},
		{NULL, NULL}};

	return t_run ("log", cases);
}
