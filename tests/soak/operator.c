/*
 * An operator, who sends configurations that differ and reads them back, and
 * what callers may expect of those that may be in force.
 */
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define ANSWER_MS 2000

/* An acknowledged version is in force at every relay by then. */
#define APPLY_MS 2000

/* Routes beside those of the kinds, which come and go. */
#define EXTRA_SHARE 3 /* one in so many changes with each version */

static void
draw_version (struct soak *k, struct soak_version *v)
{
	const struct soak_version *last =
		k->versions->len > 0
			? &g_array_index (k->versions, struct soak_version,
					  k->versions->len - 1)
			: NULL;

	v->idle_ms = (uint32_t)g_rand_int_range (k->traffic, 1500, 8001);
	v->header_ms = (uint32_t)g_rand_int_range (k->traffic, 1000, 4001);
	v->extras = last != NULL ? last->extras : 0;
	for (uint32_t i = 0; i < SOAK_EXTRAS; i++) {
		if (g_rand_int_range (k->traffic, 0, EXTRA_SHARE) == 0)
			v->extras ^= 1U << i;
	}
	v->more_keys = (uint32_t)g_rand_int_range (k->traffic, 0, 8);
	for (uint32_t i = 0; i < SOAK_KINDS; i++) {
		v->timeout_ms[i] =
			(uint32_t)g_rand_int_range (k->traffic, 2500, 6001);
		v->app_share[i] = i >= SOAK_STREAM ? 0 : 100;
	}
	/* Where all of the route moves it is a service, else a split. */
	v->app_share[SOAK_REPEATABLE] =
		(uint32_t)g_rand_int_range (k->traffic, 0, 5) * 25;
	v->app_share[SOAK_ONCE] =
		(uint32_t)g_rand_int_range (k->traffic, 2, 5) * 25;
}

static struct soak_version *
version_at (struct soak *k, guint i)
{
	return &g_array_index (k->versions, struct soak_version, i);
}

/* Where the versions begin that may be in force for a request of @begun_ms. */
static guint
first_in_force (struct soak *k, uint64_t begun_ms)
{
	guint first = 0;

	for (guint i = 0; i < k->versions->len; i++) {
		const struct soak_version *v = version_at (k, i);

		if (v->acked_ms != 0 && v->acked_ms + APPLY_MS < begun_ms)
			first = i;
	}
	return first;
}

uint32_t
operator_idle_ms (struct soak *k)
{
	uint32_t ms = 1500;

	/* One that is sent may be in force before it is acknowledged. */
	for (guint i = k->versions->len; i > 0; i--) {
		const struct soak_version *v = version_at (k, i - 1);

		ms = i == k->versions->len ? v->idle_ms : MIN (ms, v->idle_ms);
		if (v->acked_ms != 0)
			break;
	}
	return ms;
}

uint32_t
operator_timeout_ms (struct soak *k, enum soak_kind kind, uint64_t begun_ms)
{
	uint32_t ms = 6000;

	for (guint i = first_in_force (k, begun_ms); i < k->versions->len; i++)
		ms = MIN (ms, version_at (k, i)->timeout_ms[kind]);
	return ms;
}

bool
operator_allows (struct soak *k, enum soak_kind kind, bool app,
		 uint64_t begun_ms)
{
	for (guint i = first_in_force (k, begun_ms); i < k->versions->len;
	     i++) {
		uint32_t share = version_at (k, i)->app_share[kind];

		if (app ? share > 0 : share < 100)
			return true;
	}
	return k->versions->len == 0;
}

void
operator_extra (struct soak *k, int extra, uint64_t begun_ms, bool *any,
		bool *all)
{
	*any = false;
	*all = true;
	for (guint i = first_in_force (k, begun_ms); i < k->versions->len;
	     i++) {
		bool has = version_at (k, i)->extras & (1U << extra);

		*any = *any || has;
		*all = *all && has;
	}
}

static void
add_services (GString *s, uint32_t app_share)
{
	if (app_share == 100 || app_share == 0)
		g_string_append_printf (s, "\"service\":\"%s\"",
					app_share == 100 ? "app" : "llm");
	else
		g_string_append_printf (
			s,
			"\"weighted_backends\":[{\"service\":\"app\","
			"\"weight\":%u},{\"service\":\"llm\",\"weight\":%u}]",
			app_share, 100 - app_share);
}

static void
add_route (GString *s, int i, const struct soak_version *v)
{
	static const char *const kinds[SOAK_KINDS] = {
		"idempotent", "non_idempotent", "streaming", "streaming"};

	g_string_append_printf (
		s,
		"%s{\"name\":\"r%d\",\"host\":\"soak.example\","
		"\"path_prefix\":\"%s\",\"kind\":\"%s\","
		"\"timeout_ms\":%u,\"target_latency_ms\":600,"
		"\"target_gap_ms\":200,\"priority\":%d,"
		"\"max_attempts\":2,\"sticky\":%s,\"resumable\":%s,",
		i > 0 ? "," : "", i, soak_paths[i], kinds[i], v->timeout_ms[i],
		i, i < SOAK_STREAM ? "false" : "true",
		i == SOAK_RESUMABLE ? "true" : "false");
	add_services (s, v->app_share[i]);
	g_string_append (s, "}");
}

static char *
plan_text (const struct soak_version *v)
{
	GString *s = g_string_new (NULL);

	g_string_append_printf (s,
				"{\"version\":%" G_GUINT64_FORMAT
				",\"limits\":{\"idle_timeout_ms\":%u,"
				"\"header_timeout_ms\":%u},\"routes\":[",
				v->version, v->idle_ms, v->header_ms);
	for (int i = 0; i < SOAK_KINDS; i++)
		add_route (s, i, v);
	for (int i = 0; i < SOAK_EXTRAS; i++) {
		if (v->extras & (1U << i))
			g_string_append_printf (
				s,
				",{\"name\":\"x%d\",\"host\":\"soak.example\","
				"\"path_prefix\":\"/x%d/\",\"kind\":"
				"\"idempotent\",\"timeout_ms\":3000,"
				"\"target_latency_ms\":600,\"priority\":5,"
				"\"max_attempts\":2,\"service\":\"app\"}",
				i, i);
	}
	g_string_append (
		s, "],\"services\":[{\"name\":\"llm\",\"health_path\":"
		   "\"/health\",\"max_connections\":300,\"engine\":{\"slots\":"
		   "64,\"kv_capacity\":100000}},{\"name\":\"app\","
		   "\"health_path\":\"/health\",\"max_connections\":300}],"
		   "\"tenants\":[");
	for (int i = 0; i < SOAK_ACCOUNTS; i++) {
		g_string_append_printf (s,
					"%s{\"name\":\"" ACCOUNT_PREFIX
					"%d\",\"api_keys\":[\"key-%d\"",
					i > 0 ? "," : "", i, i);
		if (v->more_keys & (1U << i))
			g_string_append_printf (s, ",\"more-%d\"", i);
		g_string_append (s, "]}");
	}
	g_string_append (s, "]}");
	return g_string_free (s, FALSE);
}

static void
op_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct soak *k = ctx;

	(void)x;
	(void)echoed;
	k->put_status = h->status;
}

static void
op_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	struct soak *k = ctx;

	(void)x;
	g_string_append_len (k->get_text, data, (gssize)len);
}

static void
acknowledged (struct soak *k)
{
	if (k->acked == k->offered)
		return;
	k->acked = k->offered;
	version_at (k, k->versions->len - 1)->acked_ms = tmr_now_ms ();
}

static void
op_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct soak *k = ctx;
	const char *at = strstr (k->get_text->str, "\"version\":");

	(void)x;
	k->put = NULL;
	if (end != H1CLI_WHOLE || k->put_status != 200) {
		if (end == H1CLI_WHOLE && k->put_status / 100 == 4)
			soak_wrong (k, "a valid call gets %d", k->put_status);
		k->put_to = (uint32_t)g_rand_int_range (k->traffic, 0,
							SOAK_MEMBERS);
		return;
	}
	if (k->reading) {
		k->read_version = at != NULL ? strtoull (at + 10, NULL, 10) : 0;
		if (k->read_version < k->acked)
			soak_wrong (k,
				    "version %" G_GUINT64_FORMAT
				    " is read back after %" G_GUINT64_FORMAT
				    " was acknowledged",
				    k->read_version, k->acked);
	} else {
		acknowledged (k);
	}
	k->reading = !k->reading;
}

static const struct h1cli_ops op_ops = {
	.head = op_head,
	.data = op_data,
	.done = op_done,
};

void
operator_tick (struct soak *k, uint64_t now_ms)
{
	char *plan, *text;
	struct h1cli_req q = {.idle_max_ms = 4000, .connect_ms = 500};

	if (k->put != NULL && now_ms - k->put_ms > ANSWER_MS) {
		h1cli_cancel (k->put);
		k->put = NULL;
		k->put_to = (k->put_to + 1) % SOAK_MEMBERS;
	}
	if (k->put != NULL || now_ms < k->next_put_ms)
		return;
	k->next_put_ms =
		now_ms + (uint64_t)g_rand_int_range (k->traffic, 50, 400);
	if (!k->reading && k->acked == k->offered) {
		struct soak_version v = {0};

		k->offered += (uint64_t)g_rand_int_range (k->traffic, 1, 5);
		v.version = k->offered;
		draw_version (k, &v);
		g_array_append_val (k->versions, v);
	}
	plan = plan_text (version_at (k, k->versions->len - 1));
	text = k->reading
		       ? g_strdup ("GET /api/config/get HTTP/1.1\r\n"
				   "Host: x\r\n\r\n")
		       : g_strdup_printf ("POST /api/config/replace HTTP/1.1"
					  "\r\nHost: x\r\nContent-Length: %zu"
					  "\r\n\r\n%s",
					  strlen (plan), plan);
	q.bytes = text;
	q.len = strlen (text);
	g_string_truncate (k->get_text, 0);
	k->put_status = 0;
	k->put_ms = now_ms;
	k->put = h1cli_start (&k->apis[k->put_to], &q, &op_ops, k);
	g_free (text);
	g_free (plan);
}

void
operator_init (struct soak *k)
{
	k->versions = g_array_new (FALSE, FALSE, sizeof (struct soak_version));
	k->get_text = g_string_new (NULL);
}

void
operator_finish (struct soak *k)
{
	g_array_free (k->versions, TRUE);
	g_string_free (k->get_text, TRUE);
}
