/*
 * Which requests need an API key, and what the endpoint is told of the client
 * account.
 */
#include <string.h>

#include "relay_world.h"
#include "t_run.h"

#define ROUTE(access)                                                          \
	"{\"version\":2,\"routes\":[{\"name\":\"any\",\"host\":\"h\","         \
	"\"path_prefix\":\"/i/\",\"kind\":\"idempotent\",\"timeout_ms\":3000," \
	"\"max_attempts\":1,\"service\":\"app\"" access "}],"                  \
	"\"services\":[{\"name\":\"app\",\"max_connections\":100}]"
#define ONE ",\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"k1\"]}]}"

/* A configuration without client accounts was acknowledged, and then all routes
 * that are not public answered 401. */
static void
test_routes_without_client_accounts (void)
{
	static const struct {
		const char *plan, *key;
		int status;
		const char *account; /* the endpoint sees it; NULL: none */
	} cases[] = {
		{ROUTE ("") "}", "", 200, NULL},
		{ROUTE ("") "}", "Authorization: Token k1\r\n", 200, NULL},
		{ROUTE (",\"public\":false") "}", "", 200, NULL},
		{ROUTE ("") ",\"tenants\":[]}", "", 401, NULL},
		{ROUTE ("") ",\"tenants\":null}", "", 401, NULL},
		{ROUTE (",\"public\":true") ",\"tenants\":[]}", "", 200, NULL},
		{ROUTE ("") ONE, "", 401, NULL},
		{ROUTE ("") ONE, "Authorization: Token k2\r\n", 401, NULL},
		{ROUTE ("") ONE, "Authorization: Token k1\r\n", 200, "one"},
		{ROUTE (",\"public\":true") ONE, "", 200, NULL},
	};
	static const struct answer answers[ANSWERS_MAX] = {
		{.text = OK_HEAD "Content-Length: 0\r\n\r\n"},
		{.text = OK_HEAD "Content-Length: 0\r\n\r\n"}};

	for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++) {
		struct world w;
		struct err e = {0};
		char *text;

		world_init (&w, "app", 1);
		plan_unref (w.r.plan);
		w.r.plan = planjob_parse (w.r.dialect, cases[i].plan,
					  strlen (cases[i].plan), &e);
		CU_ASSERT_FATAL (w.r.plan != NULL);
		text = g_strdup_printf ("GET /i/a HTTP/1.1\r\nHost: h\r\n"
					"X-Request-Id: r1\r\n"
					"X-Tenant: forged\r\n%s\r\n",
					cases[i].key);
		world_send (&w, text, answers);
		if (world_status (&w) != cases[i].status)
			g_print ("case %u: status %d\n", i, world_status (&w));
		CU_ASSERT (world_status (&w) == cases[i].status);
		CU_ASSERT (strstr (w.requests->str, "forged") == NULL);
		CU_ASSERT (strstr (w.requests->str, "Authorization") == NULL);
		CU_ASSERT ((strstr (w.requests->str, "X-Tenant: one\r\n") !=
			    NULL) == (cases[i].account != NULL));
		g_free (text);
		world_finish (&w);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"routes_without_client_accounts",
		 test_routes_without_client_accounts},
		{NULL, NULL},
	};

	return t_run ("relay_keys", cases);
}
