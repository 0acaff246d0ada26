/*
 * dhload: sends a scenario's requests, checks every answer, and reports.
 */
#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "report.h"
#include "run.h"

#define EXIT_WRONG 2

/** enum opt - options without a letter */
enum opt {
	OPT_CSV = 256,
	OPT_JSON,
	OPT_PLOT,
	OPT_SEED,
};

/** struct options - the command line */
struct options {
	const char *file;
	const char *csv;
	const char *json;
	const char *plot;
	GPtrArray *defs;
	uint32_t seed;
	bool check_only;
	bool quiet;
};

/** struct load - the program's state */
struct load {
	struct options opt;
	struct daemon daemon;
	struct scen scen;
	struct tally tally;
	struct run run;
};

static const struct argp_option options[] = {
	{"define", 'D', "NAME=VALUE", 0, "${NAME} in the scenario is VALUE", 0},
	{"check", 'n', NULL, 0, "check the scenario and exit", 0},
	{"quiet", 'q', NULL, 0, "print no table", 0},
	{"csv", OPT_CSV, "FILE", 0, "write the report as CSV", 0},
	{"json", OPT_JSON, "FILE", 0, "write the report as JSON", 0},
	{"plot", OPT_PLOT, "FILE", 0, "write attainment over time as SVG", 0},
	{"seed", OPT_SEED, "N", 0, "in place of the scenario's seed", 0},
	{0},
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
	struct options *o = state->input;

	switch (key) {
	case 'D':
		if (strchr (arg, '=') == NULL)
			argp_error (state, "-D takes NAME=VALUE");
		g_ptr_array_add (o->defs, arg);
		return 0;
	case 'n':
		o->check_only = true;
		return 0;
	case 'q':
		o->quiet = true;
		return 0;
	case OPT_CSV:
		o->csv = arg;
		return 0;
	case OPT_JSON:
		o->json = arg;
		return 0;
	case OPT_PLOT:
		o->plot = arg;
		return 0;
	case OPT_SEED:
		o->seed = (uint32_t)strtoul (arg, NULL, 10);
		return 0;
	case ARGP_KEY_ARG:
		if (o->file != NULL)
			argp_usage (state);
		o->file = arg;
		return 0;
	case ARGP_KEY_END:
		if (o->file == NULL)
			argp_usage (state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
on_terminate (void *ctx)
{
	struct load *l = ctx;

	run_stop (&l->run);
}

static void
on_reload (void *ctx)
{
	(void)ctx;
}

static bool
write_report (const struct tally *t, const char *path,
	      void (*write) (const struct tally *t, FILE *out))
{
	FILE *out;

	if (path == NULL)
		return true;
	out = fopen (path, "w");
	if (out == NULL) {
		fprintf (stderr, "dhload: %s: %s\n", path, strerror (errno));
		return false;
	}
	write (t, out);
	return fclose (out) == 0;
}

static bool
write_reports (const struct load *l)
{
	if (!l->opt.quiet)
		report_table (&l->tally, stdout);
	return write_report (&l->tally, l->opt.csv, report_csv) &&
	       write_report (&l->tally, l->opt.json, report_json) &&
	       write_report (&l->tally, l->opt.plot, plot_svg);
}

static int
load_run (struct load *l, struct err *e)
{
	static const struct daemon_ops signals = {on_terminate, on_reload};
	int status;

	if (!daemon_init (&l->daemon, &signals, l, e))
		return EXIT_FAILURE;
	tally_init (&l->tally, &l->scen);
	run_init (&l->run, &l->daemon, &l->scen, &l->tally);
	run_start (&l->run);
	daemon_run (&l->daemon);
	status = write_reports (l) ? EXIT_SUCCESS : EXIT_FAILURE;
	if (tally_wrong (&l->tally) > 0)
		status = EXIT_WRONG;
	run_finish (&l->run);
	tally_finish (&l->tally);
	daemon_finish (&l->daemon);
	return status;
}

int
main (int argc, char **argv)
{
	static const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.args_doc = "SCENARIO",
		.doc = "Send a scenario's requests, check every answer, "
		       "report.",
	};
	static struct load l;
	struct err e = {0};
	int status = EXIT_SUCCESS;

	l.opt.defs = g_ptr_array_new ();
	argp_parse (&argp, argc, argv, 0, NULL, &l.opt);
	log_init ("dhload", "", LOG_LV_INFO);
	if (!scen_load (&l.scen, l.opt.file, l.opt.defs, &e))
		status = EXIT_FAILURE;
	else if (l.opt.seed != 0)
		l.scen.seed = l.opt.seed;
	if (status == EXIT_SUCCESS && !l.opt.check_only)
		status = load_run (&l, &e);
	if (status == EXIT_FAILURE && e.kind != ERR_NONE)
		fprintf (stderr, "dhload: %s\n", e.msg);
	scen_finish (&l.scen);
	g_ptr_array_free (l.opt.defs, TRUE);
	return status;
}
