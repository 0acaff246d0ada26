/*
 * Plays one case: world CASE NET RECORD TROUBLE.  NET.1 is the platform,
 * NET.21 and on are servers, NET.41 and on relays, NET.61 and on members.
 */
#include <stdlib.h>
#include <string.h>

#include "cases.h"

#define PLATFORM_PORT 8223
#define FRONT_PORT 8227
#define READY_PORT 8220
#define CONTROL_PORT 8229
#define SERVER_PORT 8080
#define SERVICE "llm"

#define START_MAX_MS 20000

/* First three bytes of all addresses. */
static const char *net;

static const char config[] =
	"{\"version\":1,\"routes\":["
	"{\"name\":\"r-once\",\"host\":\"h.example\",\"path_prefix\":\"/once/"
	"\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":"
	"1000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":1,"
	"\"public\":false,\"sticky\":true,\"resumable\":false,"
	"\"target_gap_ms\":500},"
	"{\"name\":\"r-again\",\"host\":\"h.example\",\"path_prefix\":\"/again/"
	"\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"target_latency_ms\":"
	"1000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,"
	"\"public\":false,\"sticky\":true,\"resumable\":true,"
	"\"target_gap_ms\":500}],"
	"\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
	"\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,"
	"\"cold_start_s\":3.0,\"cold_per_s\":8.4,\"engine\":{\"slots\":64,"
	"\"kv_capacity\":495039,\"kv_token_bytes\":163840,\"link_mbps\":"
	"260000.0,\"moves\":false,\"backups\":false,\"stride\":6,\"most\":12,"
	"\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{"
	"\"name\":\"m\"}]}}],"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
	"\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],"
	"\"priority\":1}]}";

static const struct {
	const char *name;
	const struct review_case *c;
} cases[] = {
	{"poison", &case_poison}, {"forget", &case_forget},
	{"slow", &case_slow},     {"cold", &case_cold},
	{"again", &case_again},
};

void
start_server (const char *zone, int64_t cold_ms)
{
	char ip[32];

	snprintf (ip, sizeof ip, "%s.%d", net, 21 + server_count);
	server_add (ip, SERVER_PORT, zone, SERVICE, cold_ms);
}

static void
add_addresses (const struct review_case *c)
{
	char zone[8];

	for (int i = 0; i < c->servers; i++) {
		snprintf (zone, sizeof zone, "z%d", 1 + i % 2);
		start_server (zone, 0);
	}
	for (int i = 0; i < c->relays; i++)
		snprintf (relay_ips[relay_count++], sizeof relay_ips[0],
			  "%s.%d", net, 41 + i);
	for (int i = 0; i < c->members; i++)
		snprintf (member_ips[member_count++], sizeof member_ips[0],
			  "%s.%d", net, 61 + i);
	relay_port = FRONT_PORT;
	member_port = CONTROL_PORT;
}

bool
put_config (int limit_ms)
{
	static struct message m;

	return order ("POST", "/api/config/replace", config, limit_ms, &m);
}

/* Whether all relays say that they are ready. */
static bool
wait_ready (void)
{
	int64_t until_ms = now_ms () + START_MAX_MS;
	int ready = 0;

	while (ready < relay_count && now_ms () < until_ms) {
		pause_ms (100);
		ready = 0;
		for (int i = 0; i < relay_count; i++)
			ready += relay_is_ready (i, READY_PORT);
	}
	return ready == relay_count;
}

int
main (int argc, char **argv)
{
	const struct review_case *c = NULL;
	char ip[32];
	int status;

	if (argc != 5)
		return 2;
	for (size_t i = 0; i < sizeof cases / sizeof *cases; i++) {
		if (strcmp (cases[i].name, argv[1]) == 0)
			c = cases[i].c;
	}
	if (c == NULL)
		return 2;
	net = argv[2];
	record_open (argv[3]);
	snprintf (ip, sizeof ip, "%s.1", net);
	add_addresses (c);
	platform_start (ip, PLATFORM_PORT, c->lag_ms);
	if (!put_config (START_MAX_MS) || !wait_ready ()) {
		record ("result could not start");
		record_close ();
		return 2;
	}
	record ("start trouble=%s", argv[4]);
	status = c->play (strcmp (argv[4], "0") != 0);
	record ("result %s", status == 0   ? "held"
			     : status == 1 ? "broken"
					   : "could not run");
	record_close ();
	printf ("%s\n", status == 0   ? "held"
			: status == 1 ? "broken"
				      : "could not run");
	fflush (stdout);
	_Exit (status);
}
