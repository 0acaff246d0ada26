/*
 * control: change the group of control members, one member at a time.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"
#include "tmr.h"

#define CATCH_UP_LAG 100

static bool
post (struct ctl *c, const char *path, struct err *e)
{
	struct ctl_reply r;
	bool ok = ctl_leader (c, "POST", path, "", &r, e);

	ctl_reply_finish (&r);
	return ok;
}

/* Words go into a query, so they must hold nothing that has a meaning there. */
static bool
words_are_plain (const struct ctl *c, struct err *e)
{
	for (int i = 1; i < c->argc; i++) {
		for (const char *p = c->args[i]; *p != '\0'; p++) {
			if (!g_ascii_isalnum (*p) &&
			    strchr ("-_.:", *p) == NULL)
				return err_set (e, ERR_SETTINGS,
						"%s: bad character",
						c->args[i]);
		}
	}
	return true;
}

static bool
member_add (struct ctl *c, char **w, struct err *e)
{
	char path[512];

	g_snprintf (path, sizeof path,
		    "/v1/members/add?id=%s&name=%s&addr=%s&domain=%s", w[0],
		    w[1], w[2], w[3]);
	return post (c, path, e);
}

static bool
member_remove (struct ctl *c, const char *id, struct err *e)
{
	char path[128];

	g_snprintf (path, sizeof path, "/v1/members/remove?id=%s", id);
	return post (c, path, e);
}

static bool
member_promote (struct ctl *c, const char *id, struct err *e)
{
	char path[128];

	g_snprintf (path, sizeof path, "/v1/members/promote?id=%s", id);
	return post (c, path, e);
}

static bool
member_move (struct ctl *c, char **w, struct err *e)
{
	char path[256];

	g_snprintf (path, sizeof path, "/v1/members/move?id=%s&addr=%s", w[0],
		    w[1]);
	return post (c, path, e);
}

static bool
same_id (json_object *m, const char *id)
{
	json_object *v = json_object_object_get (m, "id");

	return v != NULL && strcmp (json_object_get_string (v), id) == 0;
}

/* Whether the leader says that a member holds nearly all of the log. */
static bool
caught_up (struct ctl *c, const char *id)
{
	struct ctl_reply r;
	struct err e;
	json_object *members;
	bool ok = false;

	if (!ctl_get (c, "/v1/status", &r, &e)) {
		ctl_reply_finish (&r);
		return false;
	}
	members = ctl_sub (r.json, "members");
	for (size_t i = 0;
	     members != NULL && i < json_object_array_length (members); i++) {
		json_object *m = json_object_array_get_idx (members, i);
		uint64_t match = ctl_u64 (m, "match");

		ok |= same_id (m, id) && match > 0 &&
		      match + CATCH_UP_LAG >= ctl_u64 (r.json, "commit");
	}
	ctl_reply_finish (&r);
	return ok;
}

static bool
wait_caught_up (struct ctl *c, const char *id, struct err *e)
{
	uint64_t end = tmr_now_ms () + c->timeout_ms;

	while (!caught_up (c, id)) {
		if (tmr_now_ms () >= end)
			return err_set (e, ERR_TIMEOUT,
					"member %s has not caught up; it stays "
					"a learner",
					id);
		ctl_pause (c);
	}
	return true;
}

/*
 * The old member goes before the new one votes: a learner that never catches
 * up then cannot raise the quorum.
 */
static bool
member_replace (struct ctl *c, char **w, struct err *e)
{
	return member_add (c, w + 1, e) && wait_caught_up (c, w[1], e) &&
	       member_remove (c, w[0], e) && member_promote (c, w[1], e);
}

int
ctl_control (struct ctl *c)
{
	char **w = c->args + 1;
	const char *what = c->args[0];
	struct err e;
	bool ok;

	if (!words_are_plain (c, &e))
		return ctl_fail (&e);
	if (strcmp (what, "add") == 0 && c->argc == 5) {
		ok = member_add (c, w, &e);
	} else if (strcmp (what, "remove") == 0 && c->argc == 2) {
		ok = member_remove (c, w[0], &e);
	} else if (strcmp (what, "promote") == 0 && c->argc == 2) {
		ok = member_promote (c, w[0], &e);
	} else if (strcmp (what, "move") == 0 && c->argc == 3) {
		ok = member_move (c, w, &e);
	} else if (strcmp (what, "replace") == 0 && c->argc == 6) {
		ok = member_replace (c, w, &e);
	} else {
		fprintf (stderr, "dhctl: control takes add, promote, remove, "
				 "move or replace; see dhctl --help\n");
		return CTL_USAGE;
	}
	if (!ok)
		return ctl_fail (&e);
	printf ("done\n");
	return CTL_OK;
}
