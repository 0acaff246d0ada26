/*
 * What operators ask of this entry.
 */
#include <stdio.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

static void
print_digest (const uint8_t *d, GString *s)
{
	for (int i = 0; i < INV_DIGEST_BYTES; i++)
		g_string_append_printf (s, "%02x", d[i]);
}

static void
print_peers (struct entry *e, GString *s)
{
	GHashTableIter it;
	gpointer v;
	const char *sep = "";

	g_string_append (s, "\"peers\":[");
	g_hash_table_iter_init (&it, e->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		const struct peer *p = v;

		g_string_append_printf (
			s, "%s{\"name\":\"%s\",\"up\":%s}", sep, p->name,
			p->bb != NULL && p->bb->alive ? "true" : "false");
		sep = ",";
	}
	g_string_append (s, "]");
}

static void
print_endpoints (struct entry *e, GString *s)
{
	static const char *const temps[] = {"cold", "ramp", "warm"};
	uint64_t now_ms = tmr_now_ms ();

	g_string_append (s, "\"endpoints\":[");
	for (uint32_t i = 0; e->inv != NULL && i < e->inv->endpoint_count;
	     i++) {
		const struct bb_ep *ep = e->bb.eps[i];
		const struct bb_peer *c = lease_coordinator (&e->lease, ep);

		g_string_append_printf (
			s,
			"%s{\"name\":\"%s\",\"domain\":\"%s\",\"down\":%s,"
			"\"open\":%s,\"temp\":\"%s\",\"in_flight\":%u,"
			"\"credits\":%u,\"coordinator\":\"%s\",\"bound\":%u}",
			i > 0 ? "," : "", ep->name, ep->domain->name,
			ep->down ? "true" : "false",
			bb_ep_available (ep) ? "true" : "false",
			temps[ep->warmup], ep->in_flight,
			ep->credits_until_ms > now_ms ? ep->credits : 0,
			c != NULL ? c->name : "",
			lease_bound (&e->lease, ep, now_ms));
	}
	g_string_append (s, "]");
}

static void
print_status (struct entry *e, GString *s)
{
	g_string_append_printf (
		s,
		"{\"name\":\"%s\",\"domain\":\"%s\",\"incarnation\":"
		"%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
		",\"digest\":\"",
		e->set.name, e->set.domain, e->self.incarnation, e->revision);
	print_digest (e->doc.digest, s);
	g_string_append_printf (
		s,
		"\",\"leaving\":%s,\"running\":%u,\"queued\":%u,"
		"\"control\":\"%s\",\"withdrawn\":%u,",
		e->leaving ? "true" : "false", e->running, e->adm.queued,
		e->control != NULL && link_is_up (e->control)
			? link_peer_name (e->control)
			: "",
		keyflood_count (&e->keys));
	print_peers (e, s);
	g_string_append (s, ",");
	parts_print (e, s);
	g_string_append (s, ",");
	print_endpoints (e, s);
	g_string_append (s, "}\n");
}

static void
fail (h2o_req_t *h, enum err_kind kind, const char *why)
{
	char body[256];

	snprintf (body, sizeof body,
		  "{\"error\":{\"kind\":\"%s\",\"message\":\"%s\"}}\n",
		  err_name (kind), why);
	httpd_answer_json (h, err_answer (kind)->status, body);
}

static void
withdraw (struct entry *e, h2o_req_t *h)
{
	char id[INV_NAME_BYTES];

	if (!httpd_query (h, "key", id, sizeof id) || id[0] == '\0') {
		fail (h, ERR_BAD_REQUEST, "key is missing or too long");
		return;
	}
	for (const char *p = id; *p != '\0'; p++) {
		if (!g_ascii_isalnum (*p) && strchr ("-_.", *p) == NULL) {
			fail (h, ERR_BAD_REQUEST, "not a key id");
			return;
		}
	}
	key_withdraw (e, id);
	httpd_answer_json (h, 200, "{\"withdrawn\":true}\n");
}

int
admin_request (h2o_req_t *h, void *ctx)
{
	struct entry *e = ctx;
	GString *s;

	if (!httpd_bearer_is (h, e->admin_token)) {
		fail (h, ERR_AUTH, "operators' token is missing or wrong");
		return 0;
	}
	s = g_string_new (NULL);
	if (httpd_path_is (h, "/v1/status")) {
		print_status (e, s);
		httpd_answer_json (h, 200, s->str);
	} else if (httpd_path_is (h, "/v1/report")) {
		stat_json (e, s);
		httpd_answer_json (h, 200, s->str);
	} else if (httpd_path_is (h, "/v1/withdraw") &&
		   h2o_memis (h->method.base, h->method.len, "POST", 4)) {
		withdraw (e, h);
	} else {
		fail (h, ERR_NOT_FOUND, "no such path");
	}
	g_string_free (s, TRUE);
	return 0;
}
