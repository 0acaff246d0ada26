/*
 * The platform, as far as the daemons can tell.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "soak.h"

struct sockaddr_in
world_addr (const struct soak *k, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET,
				.sin_port = htons (port)};
	char *ip = g_strdup_printf ("%s.1", k->net);

	inet_pton (AF_INET, ip, &a.sin_addr);
	g_free (ip);
	return a;
}

static char *
list_text (struct soak *k)
{
	GString *s = g_string_new ("{\"instances\":[");

	/* One that is down stays on the list for a while, as it does there. */
	for (uint32_t i = 0; i < SOAK_EPS; i++)
		g_string_append_printf (
			s,
			"%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":"
			"\"%s.1:%u\",\"zone\":\"z%u\",\"slots\":64,"
			"\"state\":\"%s\",\"cold_remaining_ms\":0}",
			i > 0 ? "," : "", k->eps[i].id,
			i < SOAK_ENGINES ? "llm" : "app", k->net,
			k->eps[i].port, i % SOAK_DOMAINS,
			k->eps[i].leaving ? "draining" : "ready");
	g_string_append (s, "],\"next\":null}");
	return g_string_free (s, FALSE);
}

/* One report a window; a repeat must be the same. */
static void
check_usage (struct soak *k, const struct h1_head *h, const GByteArray *body)
{
	char *text = g_strndup ((const char *)body->data, body->len);
	char *token = h1_copy (h1_find (h, "X-Fencing-Token"));
	uint64_t fence = token != NULL ? strtoull (token, NULL, 10) : 0;
	const char *at = strstr (text, "\"window\":");
	char *key = at != NULL ? g_strndup (at + 9, strcspn (at + 9, ",}"))
			       : g_strdup ("?");
	const char *before = g_hash_table_lookup (k->windows, key);

	if (before != NULL && strcmp (before, text) != 0)
		soak_wrong (k, "window %s reported with other figures", key);
	if (fence < k->fence)
		soak_wrong (k,
			    "fencing token %" G_GUINT64_FORMAT
			    " after %" G_GUINT64_FORMAT,
			    fence, k->fence);
	k->fence = MAX (k->fence, fence);
	g_hash_table_insert (k->windows, key, text);
	g_free (token);
}

/* Adds the counts of a report to @sums, by account. */
static void
add_counts (uint64_t sums[SOAK_ACCOUNTS], const char *text)
{
	json_object *report = json_tokener_parse (text), *counts;

	if (json_object_object_get_ex (report, "counts", &counts)) {
		json_object_object_foreach (counts, name, count)
		{
			uint32_t account;

			if (!g_str_has_prefix (name, ACCOUNT_PREFIX))
				continue;
			account =
				(uint32_t)atoi (name + strlen (ACCOUNT_PREFIX));
			if (account < SOAK_ACCOUNTS)
				sums[account] += json_object_get_uint64 (count);
		}
	}
	json_object_put (report);
}

/* An account is billed once for a request, however often that ran.  Counts of a
 * killed relay may be lost, so the sum may be smaller than what ran by the end
 * of the last window that was reported, but not greater. */
void
world_check_usage (struct soak *k)
{
	uint64_t reported[SOAK_ACCOUNTS] = {0}, run[SOAK_ACCOUNTS] = {0};
	uint64_t last = 0;
	GHashTableIter it;
	void *key, *value;

	g_hash_table_iter_init (&it, k->windows);
	while (g_hash_table_iter_next (&it, &key, &value)) {
		last = MAX (last, strtoull (key, NULL, 10));
		add_counts (reported, value);
	}
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct soak_req *r = value;

		if (r->runs > 0 && r->account < SOAK_ACCOUNTS &&
		    r->run_wall_ms < (last + 1) * SOAK_USAGE_WINDOW_MS)
			run[r->account]++;
	}
	for (uint32_t i = 0; i < SOAK_ACCOUNTS; i++) {
		if (reported[i] > run[i])
			soak_wrong (k,
				    ACCOUNT_PREFIX
				    "%u is billed for %" G_GUINT64_FORMAT
				    " requests of %" G_GUINT64_FORMAT,
				    i, reported[i], run[i]);
	}
}

static void
on_platform (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	     void *ctx)
{
	struct soak *k = ctx;
	char *list;

	if (h->method_len == 3) {
		list = list_text (k);
		h1srv_answer (c, 200, NULL, list, strlen (list));
		g_free (list);
		return;
	}
	if (h->path_len == 6)
		check_usage (k, h, body);
	h1srv_answer (c, 200, NULL, "{}", 2);
}

static const struct h1srv_limits limits = {16384, 1 << 20, 5000, 8000};

static void
nobody (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

static const struct h1srv_ops platform_ops = {on_platform, nobody};

void
world_platform (struct soak *k, bool up)
{
	struct sockaddr_in at = world_addr (k, k->platform.port);

	if (up == k->platform_up)
		return;
	if (up)
		up = h1srv_init (&k->platform, k->loop, &at, &limits,
				 &platform_ops, k, NULL);
	else
		h1srv_finish (&k->platform);
	k->platform_up = up;
}

void
world_init (struct soak *k)
{
	k->windows =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	k->silences = g_array_new (FALSE, FALSE, sizeof (struct soak_silence));
	world_platform (k, true);
	for (uint32_t i = 0; i < SOAK_EPS; i++) {
		k->eps[i] = (struct soak_ep){.k = k, .number = i};
		k->eps[i].jobs = g_ptr_array_new ();
		world_ep_up (&k->eps[i]);
	}
}

void
world_finish (struct soak *k)
{
	for (uint32_t i = 0; i < SOAK_EPS; i++) {
		world_ep_down (&k->eps[i]);
		h2o_evloop_run (k->eps[i].loop, 0);
		g_ptr_array_free (k->eps[i].jobs, TRUE);
	}
	world_platform (k, false);
	g_hash_table_destroy (k->windows);
	g_array_free (k->silences, TRUE);
}
