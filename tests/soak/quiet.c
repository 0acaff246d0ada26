/*
 * Silences: sound endpoints that write nothing for a second or two, alone or
 * with others of their failure domain, and go on.  Nothing that their requests
 * can be told apart by has happened to them.
 */
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define SHORTEST_MS 800
#define LONGEST_MS 1800

/* No request is sent again for a silence of up to this. */
#define BORNE_MS 1200

/* What a relay decides right after a silence may still be about it. */
#define AFTER_MS 200

/* Requests of a relay at an endpoint from which on it is in use. */
#define USED_MIN 10

static bool
any_silent (const struct soak *k, uint64_t now_ms)
{
	for (int i = 0; i < SOAK_EPS; i++) {
		if (now_ms < k->eps[i].silent_until_ms)
			return true;
	}
	return false;
}

static uint32_t
draw_ms (struct soak *k)
{
	return (uint32_t)g_rand_int_range (k->rand, SHORTEST_MS,
					   LONGEST_MS + 1);
}

/* One, some of a failure domain, or all of it. */
void
quiet_tick (struct soak *k, uint64_t now_ms)
{
	int what, first;
	uint32_t ms;
	bool reads, together;

	if (any_silent (k, now_ms)) {
		k->next_silence_ms =
			now_ms + (uint64_t)g_rand_int_range (k->rand, 200, 500);
		return;
	}
	if (now_ms < k->next_silence_ms)
		return;
	what = g_rand_int_range (k->rand, 0, 4);
	first = g_rand_int_range (k->rand, 0, SOAK_EPS);
	ms = draw_ms (k);
	reads = g_rand_boolean (k->rand);
	together = g_rand_boolean (k->rand);
	for (int i = 0; i < SOAK_EPS; i++) {
		if (i != first &&
		    (what < 2 || i % SOAK_DOMAINS != first % SOAK_DOMAINS ||
		     (what == 2 && g_rand_boolean (k->rand))))
			continue;
		world_ep_silence (&k->eps[i], together ? ms : draw_ms (k),
				  reads);
		k->quiet.silences++;
	}
}

void
quiet_note_used (struct soak *k)
{
	for (int i = 0; i < SOAK_EPS; i++) {
		memcpy (k->used[i], k->eps[i].ran, sizeof k->used[i]);
		memset (k->eps[i].ran, 0, sizeof k->eps[i].ran);
	}
}

/* Relays prefer servers of their own domain, and engines that hold a prompt's
 * shared part, so not each of them uses all even before. */
void
quiet_check_used (struct soak *k)
{
	for (int i = 0; i < SOAK_EPS; i++) {
		for (int r = 0; r < SOAK_RELAYS; r++) {
			if (k->used[i][r] >= USED_MIN && k->eps[i].ran[r] == 0)
				soak_wrong (k,
					    "r%d used %s %u times before the "
					    "silences, and not after them",
					    r + SOAK_MEMBERS, k->eps[i].id,
					    k->used[i][r]);
		}
	}
}

/* The wall clock at which a line of a log was written, in milliseconds. */
static uint64_t
line_ms (const char *line)
{
	char *text = g_strndup (line, strcspn (line, " "));
	GDateTime *at = g_date_time_new_from_iso8601 (text, NULL);
	uint64_t ms = 0;

	if (at != NULL) {
		ms = (uint64_t)g_date_time_to_unix (at) * 1000 +
		     (uint64_t)g_date_time_get_microsecond (at) / 1000;
		g_date_time_unref (at);
	}
	g_free (text);
	return ms;
}

static char *
field (const char *line, const char *name)
{
	const char *at = strstr (line, name);

	return at != NULL ? g_strndup (at + strlen (name),
				       strcspn (at + strlen (name), " \n"))
			  : g_strdup ("");
}

/* The silence of @ep that holds @at_ms; NULL where there was none. */
static const struct soak_silence *
find_silence (const struct soak *k, const char *ep, uint64_t at_ms)
{
	for (guint i = 0; i < k->silences->len; i++) {
		const struct soak_silence *s =
			&g_array_index (k->silences, struct soak_silence, i);

		if (strcmp (s->id, ep) == 0 && at_ms >= s->begun_wall_ms &&
		    at_ms < s->begun_wall_ms + s->ms + AFTER_MS)
			return s;
	}
	return NULL;
}

static void
check_resend (struct soak *k, const char *req, const char *ep, uint64_t at_ms)
{
	const struct soak_silence *s = find_silence (k, ep, at_ms);

	k->quiet.resends++;
	if (s == NULL)
		soak_wrong (k, "%s is sent again after %s, which was awake",
			    req, ep);
	else if (s->ms <= BORNE_MS)
		soak_wrong (k,
			    "%s is sent again for a silence of %s of %u ms, "
			    "%" G_GUINT64_FORMAT " ms into it",
			    req, ep, s->ms, at_ms - s->begun_wall_ms);
}

static void
check_log (struct soak *k, const struct soak_proc *p)
{
	char *path = g_strdup_printf ("%s/%s.log", k->dir, p->name);
	GHashTable *sent =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	FILE *f = fopen (path, "r");
	char line[2048];

	while (f != NULL && fgets (line, sizeof line, f) != NULL) {
		uint64_t at_ms = line_ms (line);
		char *req = field (line, " req=");

		if (at_ms < k->quiet.begun_wall_ms) {
			g_free (req);
		} else if (strstr (line, " send req=") != NULL) {
			g_hash_table_replace (sent, req, field (line, " ep="));
		} else {
			const char *ep = g_hash_table_lookup (sent, req);

			if (strstr (line, " attempt-failed ") != NULL &&
			    strstr (line, " verdict=send") != NULL &&
			    ep != NULL)
				check_resend (k, req, ep, at_ms);
			if (strstr (line, " log-dropped ") != NULL)
				k->quiet.left_out = true;
			g_free (req);
		}
	}
	if (f != NULL)
		fclose (f);
	g_hash_table_destroy (sent);
	g_free (path);
}

void
quiet_check_logs (struct soak *k)
{
	if (k->quiet.begun_wall_ms == 0)
		return;
	for (int i = SOAK_MEMBERS; i < SOAK_MEMBERS + SOAK_RELAYS; i++)
		check_log (k, &k->procs[i]);
}
