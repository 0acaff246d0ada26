/*
 * The operators' client: options, and the table of verbs.
 */
#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dhctl.h"
#include "log.h"

#define DEFAULT_FILE "/etc/dragonflyhinge/dhctl.json"
#define DEFAULT_TIMEOUT_MS 15000
#define MAX_TIMEOUT_S 3600

const char *argp_program_version = "dhctl (dragonflyhinge) 0.1";

/**
 * struct verb - one verb
 * @min: least words after it
 * @max: most words after it
 * @remote: whether it speaks to the system
 */
struct verb {
	const char *name;
	int min;
	int max;
	bool remote;
	int (*run) (struct ctl *c);
};

static const struct verb verbs[] = {
	{"check", 1, 1, false, ctl_check},
	{"diff", 1, 1, true, ctl_diff},
	{"diff", 2, 2, false, ctl_diff},
	{"check-config", 1, 2, false, ctl_check_config},
	{"schema", 0, 0, false, ctl_schema},
	{"apply", 1, 1, true, ctl_apply},
	{"show", 1, 1, true, ctl_show},
	{"grant", 1, 1, true, ctl_grant},
	{"withdraw", 1, 1, true, ctl_withdraw},
	{"drain", 2, 2, true, ctl_drain},
	{"undrain", 2, 2, true, ctl_undrain},
	{"control", 2, 6, true, ctl_control},
	{"safe-to-stop", 1, 1, true, ctl_safe_to_stop},
	{"report", 0, 1, true, ctl_report},
};

static const char doc[] =
	"Operators' client of dragonflyhinge.\v"
	"Verbs:\n"
	"  check FILE                   check an inventory\n"
	"  diff FILE [FILE]             what applying would change\n"
	"  check-config FILE [FILE]     check a configuration for the group, "
	"and\n"
	"                               what it changes against the second "
	"one\n"
	"  schema                       reference page of all settings\n"
	"  apply FILE                   make an inventory the one in force\n"
	"  show NOUN                    status, members, leader, revision,\n"
	"                               inventory, keys, orders, windows,\n"
	"                               entries, endpoints\n"
	"  grant ACCOUNT                make a key and print it once\n"
	"  withdraw KEYID               stop a key everywhere\n"
	"  drain domain|endpoint NAME   no new work there; undrain ends it\n"
	"  control add ID NAME ADDR DOMAIN, control promote ID,\n"
	"  control remove ID, control move ID ADDR,\n"
	"  control replace OLDID ID NAME ADDR DOMAIN\n"
	"  safe-to-stop NAME            whether an instance may be stopped\n"
	"  report [csv]                 the service report\n";

enum {
	OPT_BASE = 256,
	OPT_WAIT,
};

static const struct argp_option options[] = {
	{"file", 'f', "FILE", 0, "settings file", 0},
	{"control", 'c', "IP:PORT,...", 0, "admin listeners of control members",
	 0},
	{"entries", 'e', "IP:PORT,...", 0, "admin listeners of entries", 0},
	{"token", 't', "FILE", 0, "file with the admin token", 0},
	{"key", 'k', "FILE", 0, "file with the cluster key", 0},
	{"json", 'j', NULL, 0, "print JSON", 0},
	{"timeout", 'T', "SECONDS", 0, "how long to try or wait (15)", 0},
	{"base", OPT_BASE, "N", 0, "apply: the revision it started from", 0},
	{"wait", OPT_WAIT, NULL, 0, "wait until in force everywhere", 0},
	{0},
};

/**
 * struct cmd - the command line, as given
 */
struct cmd {
	struct ctl *c;
	const char *file;
	const char *control;
	const char *entries;
	const char *token;
	const char *key;
	GPtrArray *words;
};

static uint64_t
number (const char *text, uint64_t max, const char *what,
	struct argp_state *state)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned (text, 10, 0, max, &n, NULL))
		argp_error (state, "%s: must be from 0 to %" G_GUINT64_FORMAT,
			    what, (guint64)max);
	return n;
}

static error_t
parse_opt (int key, char *arg, struct argp_state *state)
{
	struct cmd *cmd = state->input;

	switch (key) {
	case 'f':
		cmd->file = arg;
		return 0;
	case 'c':
		cmd->control = arg;
		return 0;
	case 'e':
		cmd->entries = arg;
		return 0;
	case 't':
		cmd->token = arg;
		return 0;
	case 'k':
		cmd->key = arg;
		return 0;
	case 'j':
		cmd->c->json = true;
		return 0;
	case 'T':
		cmd->c->timeout_ms =
			number (arg, MAX_TIMEOUT_S, "timeout", state) * 1000;
		return 0;
	case OPT_BASE:
		cmd->c->base = number (arg, UINT64_MAX, "base", state);
		cmd->c->has_base = true;
		return 0;
	case OPT_WAIT:
		cmd->c->wait = true;
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add (cmd->words, arg);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
set_list (GPtrArray *list, const char *text)
{
	char **parts;

	if (text == NULL)
		return;
	g_ptr_array_set_size (list, 0);
	parts = g_strsplit (text, ",", -1);
	for (char **p = parts; *p != NULL; p++)
		g_ptr_array_add (list, g_strdup (*p));
	g_strfreev (parts);
}

static void
set_text (char *to, const char *text)
{
	if (text != NULL)
		g_strlcpy (to, text, SET_FILE_BYTES);
}

/* Settings file first, options over it; the default file may be missing. */
static bool
load_settings (const struct cmd *cmd, struct err *e)
{
	struct set_dhctl *set = &cmd->c->set;
	const char *file = cmd->file != NULL ? cmd->file : DEFAULT_FILE;

	if (!set_load (file, set_dhctl_rows, set, NULL, e) &&
	    (cmd->file != NULL || e->kind != ERR_IO))
		return false;
	set_list (set->control, cmd->control);
	set_list (set->entries, cmd->entries);
	set_text (set->admin_token_file, cmd->token);
	set_text (set->cluster_key_file, cmd->key);
	return true;
}

static int
run (const struct cmd *cmd, const struct verb *v)
{
	struct err e;
	int status;

	if (!load_settings (cmd, &e) ||
	    (v->remote && !ctl_client_init (cmd->c, &e)))
		return ctl_fail (&e);
	status = v->run (cmd->c);
	ctl_client_finish (cmd->c);
	return status;
}

static const struct verb *
verb_find (const char *name, int argc)
{
	for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++) {
		if (strcmp (verbs[i].name, name) == 0 && argc >= verbs[i].min &&
		    argc <= verbs[i].max)
			return &verbs[i];
	}
	return NULL;
}

int
main (int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_opt, "VERB [WORD...]", doc, NULL, NULL, NULL};
	struct ctl c = {.timeout_ms = DEFAULT_TIMEOUT_MS};
	struct cmd cmd = {.c = &c, .words = g_ptr_array_new ()};
	const struct verb *v = NULL;
	int status = CTL_USAGE;

	argp_err_exit_status = CTL_USAGE;
	signal (SIGPIPE, SIG_IGN);
	log_init ("dhctl", "", LOG_LV_WARN);
	argp_parse (&argp, argc, argv, 0, NULL, &cmd);
	c.argc = (int)cmd.words->len - 1;
	g_ptr_array_add (cmd.words, NULL);
	c.args = (char **)cmd.words->pdata + 1;
	if (c.argc >= 0)
		v = verb_find (cmd.words->pdata[0], c.argc);
	if (v != NULL)
		status = run (&cmd, v);
	else
		fprintf (stderr, "dhctl: unknown verb or wrong number of "
				 "words; see dhctl --help\n");
	set_release (set_dhctl_rows, &c.set);
	g_ptr_array_unref (cmd.words);
	return status;
}
