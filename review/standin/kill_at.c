/*
 * Starts a program and kills it while its data folder holds one file and not
 * yet another.
 *
 *   kill_at FOLDER FIRST SECOND COMMAND...
 *
 * Exit status: 0 where it was killed at that moment; 1 where the moment had
 * passed, and then it was killed, too.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define LIMIT_S 5

int
main (int argc, char **argv)
{
	char first[512], second[512];
	time_t end = time (NULL) + LIMIT_S;
	pid_t pid;

	if (argc < 5) {
		fprintf (stderr,
			 "usage: kill_at FOLDER FIRST SECOND COMMAND...\n");
		return 2;
	}
	snprintf (first, sizeof first, "%s/%s", argv[1], argv[2]);
	snprintf (second, sizeof second, "%s/%s", argv[1], argv[3]);
	pid = fork ();
	if (pid == 0) {
		execv (argv[4], argv + 4);
		_exit (127);
	}
	while (access (first, F_OK) != 0 && time (NULL) < end)
		;
	kill (pid, SIGKILL);
	waitpid (pid, NULL, 0);
	return access (first, F_OK) == 0 && access (second, F_OK) != 0 ? 0 : 1;
}
