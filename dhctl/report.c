/*
 * safe-to-stop, and the report that operations and finance read alike.
 */
#include <stdio.h>
#include <string.h>

#include "dhctl.h"

/* The first listener that gives @name as its own; false where none does. */
static bool
find_instance (struct ctl *c, const GPtrArray *addrs, const char *name,
	       struct ctl_reply *r)
{
	struct err e;

	for (guint i = 0; i < addrs->len; i++) {
		if (ctl_fetch (c, addrs->pdata[i], "GET", "/v1/status", NULL, r,
			       &e) &&
		    strcmp (ctl_str (r->json, "name"), name) == 0)
			return true;
		ctl_reply_finish (r);
	}
	return false;
}

static int
verdict (const char *name, bool safe, const char *why)
{
	printf ("%s: %s%s%s\n", name,
		safe ? "safe to stop" : "not safe to stop", *why ? ": " : "",
		why);
	return safe ? CTL_OK : CTL_FAILED;
}

static int
control_safe (struct ctl *c, const char *name, const char *addr)
{
	struct ctl_reply r;
	struct err e;
	int status;

	if (!ctl_fetch (c, addr, "GET", "/v1/safe-to-stop", NULL, &r, &e)) {
		ctl_reply_finish (&r);
		return ctl_fail (&e);
	}
	status = verdict (name,
			  r.status == 200 && json_object_get_boolean (
						     json_object_object_get (
							     r.json, "safe")),
			  ctl_str (r.json, "why"));
	ctl_reply_finish (&r);
	return status;
}

/* An entry may stop where another of its domain is up and stays. */
static int
entry_safe (struct ctl *c, const char *name, const char *domain)
{
	for (guint i = 0; i < c->set.entries->len; i++) {
		struct ctl_reply r;
		struct err e;
		bool stays = ctl_fetch (c, c->set.entries->pdata[i], "GET",
					"/v1/status", NULL, &r, &e) &&
			     r.status == 200;

		stays = stays && strcmp (ctl_str (r.json, "name"), name) != 0 &&
			strcmp (ctl_str (r.json, "domain"), domain) == 0 &&
			!json_object_get_boolean (
				json_object_object_get (r.json, "leaving"));
		ctl_reply_finish (&r);
		if (stays)
			return verdict (name, true, "");
	}
	return verdict (name, false, "no other entry of its domain answers");
}

int
ctl_safe_to_stop (struct ctl *c)
{
	const char *name = c->args[0];
	struct ctl_reply r;
	struct err e;
	int status;

	if (find_instance (c, c->set.control, name, &r)) {
		status = control_safe (c, name, r.from);
	} else if (find_instance (c, c->set.entries, name, &r)) {
		status = entry_safe (c, name, ctl_str (r.json, "domain"));
	} else {
		err_set (&e, ERR_NOT_FOUND,
			 "no instance that answers is named "
			 "%s",
			 name);
		return ctl_fail (&e);
	}
	ctl_reply_finish (&r);
	return status;
}

static json_object *
row_named (json_object *rows, const char *name)
{
	json_object *row;

	for (size_t i = 0; i < json_object_array_length (rows); i++) {
		row = json_object_array_get_idx (rows, i);
		if (strcmp (ctl_str (row, "name"), name) == 0)
			return row;
	}
	row = json_object_new_object ();
	json_object_object_add (row, "name", json_object_new_string (name));
	json_object_array_add (rows, row);
	return row;
}

/* Counters add up; of a quantile the worst entry's is shown. */
static json_object *
joined (json_object *to, const char *key, json_object *v)
{
	json_object *was = json_object_object_get (to, key);

	if (json_object_is_type (v, json_type_int))
		return json_object_new_uint64 (ctl_u64 (to, key) +
					       json_object_get_uint64 (v));
	return json_object_new_double_s (
		MAX (json_object_get_double (was), json_object_get_double (v)),
		json_object_get_string (
			json_object_get_double (was) >
					json_object_get_double (v)
				? was
				: v));
}

static void
add_row (json_object *rows, json_object *from)
{
	json_object *to = row_named (rows, ctl_str (from, "name"));

	json_object_object_foreach (from, key, v)
	{
		if (json_object_is_type (v, json_type_int) ||
		    json_object_is_type (v, json_type_double))
			json_object_object_add (to, key, joined (to, key, v));
	}
}

static void
add_report (json_object *total, json_object *from)
{
	if (!json_object_is_type (from, json_type_object))
		return;
	json_object_object_foreach (from, section, list)
	{
		json_object *rows;

		if (!json_object_is_type (list, json_type_array))
			continue;
		if (!json_object_object_get_ex (total, section, &rows)) {
			rows = json_object_new_array ();
			json_object_object_add (total, section, rows);
		}
		for (size_t i = 0; i < json_object_array_length (list); i++)
			add_row (rows, json_object_array_get_idx (list, i));
	}
}

static void
print_csv (const char *section, json_object *rows)
{
	for (size_t i = 0; i < json_object_array_length (rows); i++) {
		json_object *row = json_object_array_get_idx (rows, i);

		json_object_object_foreach (row, key, v)
		{
			if (!json_object_is_type (v, json_type_string))
				printf ("%s,%s,%s,%s\n", section,
					ctl_str (row, "name"), key,
					json_object_get_string (v));
		}
	}
}

static void
print_report (const struct ctl *c, json_object *total, bool csv)
{
	if (c->json) {
		puts (json_object_to_json_string_ext (total,
						      JSON_C_TO_STRING_PRETTY));
		return;
	}
	if (csv)
		puts ("section,name,counter,value");
	json_object_object_foreach (total, section, rows)
	{
		if (csv) {
			print_csv (section, rows);
			continue;
		}
		printf ("%s\n", section);
		ctl_table (c, rows, NULL);
		putchar ('\n');
	}
}

static void
add_ratio (json_object *row, const char *name, double value, int digits)
{
	char text[32];

	g_snprintf (text, sizeof text, "%.*f", digits, value);
	json_object_object_add (
		row, name,
		json_object_new_double_s (g_ascii_strtod (text, NULL), text));
}

/* Attainment: of all requests, those answered whole and in time. */
static void
add_attainment (json_object *total)
{
	json_object *rows = ctl_sub (total, "classes");
	size_t n = rows != NULL ? json_object_array_length (rows) : 0;

	for (size_t i = 0; i < n; i++) {
		json_object *row = json_object_array_get_idx (rows, i);
		uint64_t requests = ctl_u64 (row, "requests");

		add_ratio (row, "attainment",
			   (double)ctl_u64 (row, "attained") /
				   (double)MAX (requests, 1),
			   4);
	}
}

/* What no request attained has no cost a request: the figure is left out. */
static void
add_costs (json_object *row)
{
	uint64_t tokens = ctl_u64 (row, "tokens");
	uint64_t attained = ctl_u64 (row, "attained");

	add_ratio (row, "cheap_share",
		   (double)ctl_u64 (row, "cheap_tokens") /
			   (double)MAX (tokens, 1),
		   4);
	if (attained > 0)
		add_ratio (row, "cost_per_attained",
			   (double)ctl_u64 (row, "cost") / (double)attained, 1);
}

/* Costs by domain, and of the whole: one row named "all". */
static void
add_domain_costs (json_object *total)
{
	static const char *const sums[] = {"attained", "tokens", "cheap_tokens",
					   "cost"};
	json_object *rows = ctl_sub (total, "domains");
	size_t n = rows != NULL ? json_object_array_length (rows) : 0;
	json_object *list, *all;

	if (n == 0)
		return;
	list = json_object_new_array ();
	all = row_named (list, "all");
	for (size_t i = 0; i < n; i++) {
		json_object *row = json_object_array_get_idx (rows, i);

		for (size_t k = 0; k < G_N_ELEMENTS (sums); k++)
			json_object_object_add (
				all, sums[k],
				json_object_new_uint64 (
					ctl_u64 (all, sums[k]) +
					ctl_u64 (row, sums[k])));
		add_costs (row);
	}
	add_costs (all);
	json_object_object_add (total, "total", list);
}

/*
 * Sums the entries' counters.  An entry that does not answer is named, so
 * that nobody takes a part for the whole.
 */
int
ctl_report (struct ctl *c)
{
	json_object *total = json_object_new_object ();
	int status = CTL_OK;
	bool csv = c->argc == 1 && strcmp (c->args[0], "csv") == 0;

	if (c->argc == 1 && !csv) {
		fprintf (stderr, "dhctl: report takes nothing or csv\n");
		json_object_put (total);
		return CTL_USAGE;
	}
	for (guint i = 0; i < c->set.entries->len; i++) {
		struct ctl_reply r;
		struct err e;

		if (ctl_fetch (c, c->set.entries->pdata[i], "GET", "/v1/report",
			       NULL, &r, &e) &&
		    r.status == 200) {
			add_report (total, r.json);
		} else {
			fprintf (stderr, "dhctl: no report from %s\n",
				 (char *)c->set.entries->pdata[i]);
			status = CTL_INCOMPLETE;
		}
		ctl_reply_finish (&r);
	}
	add_attainment (total);
	add_domain_costs (total);
	print_report (c, total, csv);
	json_object_put (total);
	return status;
}
