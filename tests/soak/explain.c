/*
 * From a failed request's id to its cause, by the relays' logs alone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

struct failed {
	char id[SOAK_ID_BYTES];
	int relay;
	uint32_t starts; /* of its relay then */
};

void
explain_add (struct soak *k, const char *id, uint32_t relay)
{
	struct failed f = {.relay = (int)relay + SOAK_MEMBERS};

	g_strlcpy (f.id, id, sizeof f.id);
	f.starts = k->procs[f.relay].starts;
	g_array_append_val (k->unserved, f);
}

void
explain_init (struct soak *k)
{
	k->unserved = g_array_new (FALSE, FALSE, sizeof (struct failed));
}

/* The ids for which the log states an outcome and what decided it. */
static GHashTable *
explained (struct soak *k, int relay, bool *all)
{
	GHashTable *ids =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	char *path =
		g_strdup_printf ("%s/%s.log", k->dir, k->procs[relay].name);
	FILE *f = fopen (path, "r");
	char line[2048];

	*all = true;
	while (f != NULL && fgets (line, sizeof line, f) != NULL) {
		const char *at = strstr (line, " req=");

		if (strstr (line, " log-dropped ") != NULL)
			*all = false;
		if (at != NULL &&
		    (strstr (line, " why=") != NULL ||
		     strstr (line, " verdict=") != NULL ||
		     strstr (line, " outcome=") != NULL) &&
		    strstr (line, " send ") == NULL)
			g_hash_table_add (
				ids, g_strndup (at + 5, strcspn (at + 5, " ")));
	}
	if (f != NULL)
		fclose (f);
	g_free (path);
	return ids;
}

/* Each link that comes up again went down before, and the log says why, unless
 * the line is among those that the log says it left out. */
static void
check_links (struct soak *k, const struct soak_proc *p)
{
	char *path = g_strdup_printf ("%s/%s.log", k->dir, p->name);
	FILE *f = fopen (path, "r");
	uint32_t up = 0, down = 0, starts = 0;
	uint64_t left_out = 0;
	char line[2048];

	while (f != NULL && fgets (line, sizeof line, f) != NULL) {
		const char *at = strstr (line, " log-dropped lines=");

		if (at != NULL)
			left_out += strtoull (strchr (at, '=') + 1, NULL, 10);
		up += strstr (line, " member-up ") != NULL;
		down += strstr (line, " member-down ") != NULL;
		starts += strstr (line, "] start ") != NULL;
	}
	if (f != NULL)
		fclose (f);
	g_free (path);
	if (up > down + SOAK_MEMBERS * starts + left_out)
		soak_wrong (k, "%s: %u links came up, %u went down, %u starts",
			    p->name, up, down, starts);
}

void
explain_check (struct soak *k)
{
	for (int i = 0; i < SOAK_MEMBERS + SOAK_RELAYS; i++)
		check_links (k, &k->procs[i]);
	for (int r = SOAK_MEMBERS; r < SOAK_MEMBERS + SOAK_RELAYS; r++) {
		bool all;
		GHashTable *ids = explained (k, r, &all);

		for (guint i = 0; i < k->unserved->len && all; i++) {
			const struct failed *f =
				&g_array_index (k->unserved, struct failed, i);

			/* A relay that was killed may not have had the time. */
			if (f->relay != r || f->starts != k->procs[r].starts)
				continue;
			if (!g_hash_table_contains (ids, f->id))
				soak_wrong (k,
					    "%s failed, and %s's log says "
					    "nothing of it",
					    f->id, k->procs[r].name);
		}
		g_hash_table_destroy (ids);
	}
	g_array_free (k->unserved, TRUE);
}
