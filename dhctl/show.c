/*
 * show: the state of the system, as tables.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"

/* Adds one row a listener that answers, and one that says why it did not. */
static void
add_statuses (struct ctl *c, json_object *rows, const GPtrArray *addrs,
	      const char *role)
{
	for (guint i = 0; i < addrs->len; i++) {
		json_object *row = json_object_new_object ();
		struct ctl_reply r;
		struct err e;
		const char *state = "unreachable";

		if (ctl_fetch (c, addrs->pdata[i], "GET", "/v1/status", NULL,
			       &r, &e))
			state = r.status == 200 ? "up" : "refuses";
		if (json_object_object_get_ex (r.json, "leaving", NULL) &&
		    json_object_get_boolean (
			    json_object_object_get (r.json, "leaving")))
			state = "leaving";
		json_object_object_add (
			row, "admin", json_object_new_string (addrs->pdata[i]));
		json_object_object_add (
			row, "name",
			json_object_new_string (ctl_str (r.json, "name")));
		json_object_object_add (
			row, "role",
			json_object_new_string (
				*ctl_str (r.json, "role")
					? ctl_str (r.json, "role")
					: role));
		json_object_object_add (row, "state",
					json_object_new_string (state));
		json_object_object_add (
			row, "revision",
			json_object_new_uint64 (ctl_u64 (r.json, "revision")));
		json_object_array_add (rows, row);
		ctl_reply_finish (&r);
	}
}

static int
show_status (struct ctl *c)
{
	json_object *rows = json_object_new_array ();

	add_statuses (c, rows, c->set.control, "control");
	add_statuses (c, rows, c->set.entries, "entry");
	ctl_table (c, rows, NULL);
	json_object_put (rows);
	return CTL_OK;
}

/* Prints one list of an answer: the member @name, or the whole answer. */
static int
show_list (struct ctl *c, const char *path, const char *name)
{
	struct ctl_reply r;
	struct err e;
	json_object *rows;
	int status = CTL_OK;

	if (!ctl_get (c, path, &r, &e)) {
		ctl_reply_finish (&r);
		return ctl_fail (&e);
	}
	rows = json_object_is_type (r.json, json_type_array)
		       ? r.json
		       : ctl_sub (r.json, name);
	if (json_object_is_type (rows, json_type_array)) {
		ctl_table (c, rows, NULL);
	} else {
		err_set (&e, ERR_PROTOCOL, "%s: answer holds no list of %s",
			 r.from, name);
		status = ctl_fail (&e);
	}
	ctl_reply_finish (&r);
	return status;
}

static int
show_members (struct ctl *c)
{
	return show_list (c, "/v1/status", "members");
}

static int
show_keys (struct ctl *c)
{
	return show_list (c, "/v1/keys", "keys");
}

static int
show_orders (struct ctl *c)
{
	return show_list (c, "/v1/orders", "orders");
}

static int
show_windows (struct ctl *c)
{
	return show_list (c, "/v1/windows", "windows");
}

/* What the elastic controller decided last, and what it sees. */
static int
show_scale (struct ctl *c)
{
	struct ctl_reply r;
	struct err e;

	if (!ctl_leader (c, "GET", "/v1/scale", NULL, &r, &e)) {
		ctl_reply_finish (&r);
		return ctl_fail (&e);
	}
	if (c->json) {
		puts (json_object_to_json_string_ext (r.json,
						      JSON_C_TO_STRING_PRETTY));
	} else if (*ctl_str (r.json, "step") == '\0') {
		puts ("not on");
	} else {
		printf ("%s: %s\nattainment %" G_GUINT64_FORMAT
			" of 1000, spend %" G_GUINT64_FORMAT
			" of %" G_GUINT64_FORMAT " an hour\n",
			ctl_str (r.json, "step"), ctl_str (r.json, "why"),
			ctl_u64 (r.json, "attain_permille"),
			ctl_u64 (r.json, "spend_per_h"),
			ctl_u64 (r.json, "budget_per_h"));
		ctl_table (c, ctl_sub (r.json, "domains"), NULL);
	}
	ctl_reply_finish (&r);
	return CTL_OK;
}

static int
show_leader (struct ctl *c)
{
	struct ctl_reply r;
	struct err e;
	json_object *leader;
	int status = CTL_OK;

	if (!ctl_get (c, "/v1/status", &r, &e)) {
		ctl_reply_finish (&r);
		return ctl_fail (&e);
	}
	leader = ctl_sub (r.json, "leader");
	if (*ctl_str (leader, "name") != '\0') {
		printf ("%s %s term %" G_GUINT64_FORMAT "\n",
			ctl_str (leader, "name"), ctl_str (leader, "admin"),
			ctl_u64 (r.json, "term"));
	} else {
		fprintf (stderr, "dhctl: %s knows of no leader\n", r.from);
		status = CTL_FAILED;
	}
	ctl_reply_finish (&r);
	return status;
}

static int
show_revision (struct ctl *c)
{
	struct ctl_reply r;
	struct err e;
	int status = CTL_OK;

	if (ctl_get (c, "/v1/status", &r, &e))
		printf ("%" G_GUINT64_FORMAT "\n",
			ctl_u64 (r.json, "revision"));
	else
		status = ctl_fail (&e);
	ctl_reply_finish (&r);
	return status;
}

static int
show_inventory (struct ctl *c)
{
	struct ctl_inventory now;
	struct err e;
	char *text;

	if (!ctl_inventory_get (c, &now, &e))
		return ctl_fail (&e);
	text = inv_doc_print (&now.doc);
	fputs (text, stdout);
	g_free (text);
	inv_doc_finish (&now.doc);
	return CTL_OK;
}

static bool
list_has (json_object *list, const char *name)
{
	size_t n = list != NULL ? json_object_array_length (list) : 0;

	for (size_t i = 0; i < n; i++) {
		if (strcmp (json_object_get_string (
				    json_object_array_get_idx (list, i)),
			    name) == 0)
			return true;
	}
	return false;
}

static json_object *
entry_rows (const struct inv *inv, json_object *missing)
{
	json_object *rows = json_object_new_array ();

	for (uint32_t i = 0; i < inv->entry_count; i++) {
		const struct inv_entry *en = &inv->entries[i];
		json_object *row = json_object_new_object ();
		const char *has = "yes";

		if (missing == NULL)
			has = "unknown";
		else if (list_has (missing, en->name))
			has = "no";
		json_object_object_add (row, "name",
					json_object_new_string (en->name));
		json_object_object_add (row, "domain",
					json_object_new_string (en->domain));
		json_object_object_add (row, "peer",
					json_object_new_string (en->peer));
		json_object_object_add (row, "in_force",
					json_object_new_string (has));
		json_object_array_add (rows, row);
	}
	return rows;
}

static int
show_entries (struct ctl *c)
{
	struct ctl_inventory now;
	json_object *missing, *rows;
	struct inv inv;
	struct err e;

	if (!ctl_inventory_get (c, &now, &e))
		return ctl_fail (&e);
	if (!inv_build (&inv, &now.doc, now.revision, NULL, &e)) {
		inv_doc_finish (&now.doc);
		return ctl_fail (&e);
	}
	missing = ctl_missing (c, now.revision);
	rows = entry_rows (&inv, missing);
	ctl_table (c, rows, NULL);
	json_object_put (rows);
	json_object_put (missing);
	inv_finish (&inv);
	inv_doc_finish (&now.doc);
	return CTL_OK;
}

/* Each entry sees endpoints for itself, so each has its own rows. */
static int
show_endpoints (struct ctl *c)
{
	json_object *rows = json_object_new_array ();

	for (guint i = 0; i < c->set.entries->len; i++) {
		struct ctl_reply r;
		struct err e;
		json_object *list;
		size_t n = 0;

		if (!ctl_fetch (c, c->set.entries->pdata[i], "GET",
				"/v1/status", NULL, &r, &e))
			ctl_fail (&e);
		list = ctl_sub (r.json, "endpoints");
		if (json_object_is_type (list, json_type_array))
			n = json_object_array_length (list);
		for (size_t j = 0; j < n; j++) {
			json_object *row = json_object_array_get_idx (list, j);

			json_object_object_add (
				row, "entry",
				json_object_new_string (
					ctl_str (r.json, "name")));
			json_object_array_add (rows, json_object_get (row));
		}
		ctl_reply_finish (&r);
	}
	ctl_table (c, rows, NULL);
	json_object_put (rows);
	return CTL_OK;
}

int
ctl_show (struct ctl *c)
{
	static const struct {
		const char *name;
		int (*run) (struct ctl *c);
	} nouns[] = {
		{"status", show_status},       {"members", show_members},
		{"leader", show_leader},       {"revision", show_revision},
		{"inventory", show_inventory}, {"keys", show_keys},
		{"orders", show_orders},       {"windows", show_windows},
		{"entries", show_entries},     {"endpoints", show_endpoints},
		{"scale", show_scale},
	};

	for (size_t i = 0; i < G_N_ELEMENTS (nouns); i++) {
		if (strcmp (nouns[i].name, c->args[0]) == 0)
			return nouns[i].run (c);
	}
	fprintf (stderr, "dhctl: show: unknown noun %s\n", c->args[0]);
	return CTL_USAGE;
}
