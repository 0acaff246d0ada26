/*
 * The reader of the platform's paged list against a server that sends pages,
 * fails, does not answer, limits the rate of calls, or sends too much.
 */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "eplist.h"
#include "h1srv.h"
#include "t_run.h"

/* Longer than a read may take. */
#define WAIT_MS 6000

/* Rest of the cold start that each page states for its entries. */
#define COLD_MS 1000

static h2o_loop_t *loop;

/* A page is "N" or "N NEXT": the number of entries, and the next page's
 * token.  "?" is an invalid page.  Entries get ids of their own. */
/* All entries get the same id. */
static bool same_ids;

static char *
stub_path (const char *token)
{
	return g_strdup_printf ("/%s", token != NULL ? token : "first");
}

static bool
stub_list (const char *text, size_t len, GArray *out, char **next,
	   struct dia_skipped *skipped, struct err *e)
{
	char *page = g_strndup (text, len), *space = strchr (page, ' ');
	struct fleet_info info = {.slots = 1, .cold_remaining_ms = COLD_MS};

	*next = space != NULL ? g_strdup (space + 1) : NULL;
	for (long n = strtol (page, NULL, 10); n > 0; n--) {
		g_snprintf (info.id, sizeof info.id, "i-%u",
			    same_ids ? 0 : out->len);
		g_array_append_val (out, info);
	}
	skipped->count += 1;
	if (page[0] == '?')
		err_set (e, ERR_PROTOCOL, "can't be read");
	g_free (page);
	return e->kind == ERR_NONE;
}

static const struct dialect stub = {.list_path = stub_path,
				    .parse_list = stub_list};

/* Response to the request of the first page; NULL: none is sent. */
static const char *first_page;

/* Number of 429 responses before the second page is sent. */
static uint32_t rate_limited_calls;

/* The reader fails at a 429 response rather than requesting the page again. */
static bool fail_rate_limited;

static void
on_request (struct h1srv_conn *c, const struct h1_head *h, GByteArray *body,
	    void *ctx)
{
	static char large[9U << 20];
	char page[32];

	(void)body;
	(void)ctx;
	if (h->path_len > 2 && memcmp (h->path, "/p-", 3) == 0) {
		/* The pages have no end. */
		g_snprintf (page, sizeof page, "0 p-%ld",
			    strtol (h->path + 3, NULL, 10) + 1);
		h1srv_answer (c, 200, NULL, page, strlen (page));
		return;
	}
	if (h->path_len == 7 && memcmp (h->path, "/second", 7) == 0 &&
	    rate_limited_calls > 0) {
		rate_limited_calls--;
		h1srv_answer (c, 429, NULL, "", 0);
	} else if (h->path_len == 7 && memcmp (h->path, "/second", 7) == 0)
		h1srv_answer (c, 200, NULL, "3", 1);
	else if (first_page == NULL)
		return;
	else if (strcmp (first_page, "fail") == 0)
		h1srv_answer (c, 500, NULL, "2", 1);
	else if (strcmp (first_page, "large") == 0)
		h1srv_answer (c, 200, NULL, memset (large, '1', sizeof large),
			      sizeof large);
	else
		h1srv_answer (c, 200, NULL, first_page, strlen (first_page));
}

static void
on_close (struct h1srv_conn *c, void *ctx)
{
	(void)c;
	(void)ctx;
}

struct outcome {
	bool done;
	bool failed;
	uint32_t entries, skipped;
	uint32_t cold_first_ms, cold_last_ms; /* of the first and last entry */
};

static void
on_list (GArray *list, uint32_t skipped, void *ctx)
{
	struct outcome *o = ctx;

	*o = (struct outcome){
		true,
		false,
		list->len,
		skipped,
		g_array_index (list, struct fleet_info, 0).cold_remaining_ms,
		g_array_index (list, struct fleet_info, list->len - 1)
			.cold_remaining_ms};
	g_array_free (list, TRUE);
}

static void
on_failed (const char *why, void *ctx)
{
	(void)why;
	*(struct outcome *)ctx = (struct outcome){.done = true, .failed = true};
}

/* Reads a list whose first page is @page. */
static struct outcome
read_list (const char *page)
{
	static const struct h1srv_ops srv_ops = {on_request, on_close};
	static const struct h1srv_limits limits = {1U << 14, 1U << 14, 9000,
						   9000};
	static const struct eplist_ops ops = {on_list, on_failed};
	struct sockaddr_in at = {.sin_family = AF_INET};
	struct in_addr any = {0};
	struct outcome o = {0};
	struct h1cli_host host;
	struct h1srv srv;
	struct eplist l;
	uint64_t end_ms = tmr_now_ms () + WAIT_MS;

	at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	first_page = page;
	CU_ASSERT_FATAL (
		h1srv_init (&srv, loop, &at, &limits, &srv_ops, NULL, NULL));
	at.sin_port = htons (srv.port);
	h1cli_host_init (&host, loop, &at, any);
	eplist_init (&l, &host, &stub, &ops, &o);
	l.retry_rate_limited = rate_limited_calls > 0 && !fail_rate_limited;
	eplist_start (&l, tmr_now_ms ());
	while (!o.done && tmr_now_ms () < end_ms) {
		h2o_evloop_run (loop, 5);
		eplist_tick (&l, tmr_now_ms ());
	}
	CU_ASSERT (o.done && !eplist_is_running (&l));
	CU_ASSERT (eplist_rate_limited (&l) ==
		   (fail_rate_limited && rate_limited_calls == 0));
	eplist_finish (&l);
	h1cli_host_finish (&host);
	h1srv_finish (&srv);
	return o;
}

static void
test_pages (void)
{
	struct outcome o = read_list ("2 second");

	CU_ASSERT (!o.failed && o.entries == 5 && o.skipped == 2);
	o = read_list ("4");
	CU_ASSERT (!o.failed && o.entries == 4 && o.skipped == 1);
}

/* Pages that are rate limited are requested again, and the interval to the next
 * read leaves room for other calls to the platform. */
static void
test_rate_limit (void)
{
	struct outcome o;
	struct eplist l = {.call_count = 60};

	rate_limited_calls = 3;
	o = read_list ("2 second");
	CU_ASSERT (!o.failed && o.entries == 5 && rate_limited_calls == 0);
	/* The age of the list counts from the start of the read, and the second
	 * page came at least three delays of a rate limited page later. */
	CU_ASSERT (o.cold_first_ms >= COLD_MS &&
		   o.cold_last_ms >= COLD_MS + 3 * 60);
	fail_rate_limited = true;
	rate_limited_calls = 1;
	CU_ASSERT (read_list ("2 second").failed && rate_limited_calls == 0);
	fail_rate_limited = false;
	CU_ASSERT (eplist_interval_ms (&l, 700, 50) == 2000);
	l.call_count = 2;
	CU_ASSERT (eplist_interval_ms (&l, 700, 50) == 700);
}

/* An incomplete list fails the read. */
static void
test_failures (void)
{
	CU_ASSERT (read_list ("fail").failed);
	CU_ASSERT (read_list ("?").failed);
	CU_ASSERT (read_list ("large").failed);
	CU_ASSERT (read_list (NULL).failed);
}

/* Pages without an end were read for ever, with entries without a bound. */
static void
test_endless (void)
{
	CU_ASSERT (read_list ("2 first").failed);
	CU_ASSERT (read_list ("2 p-1").failed);
}

/* One id at two addresses made a relay that reads the list itself forget the
 * endpoint at each read, since only members dropped such entries. */
static void
test_duplicates (void)
{
	struct outcome o;

	same_ids = true;
	o = read_list ("2 second");
	CU_ASSERT (!o.failed && o.entries == 1 && o.skipped == 2 + 4);
	same_ids = false;
}

/* A list longer than a message can carry was refused by all relays as a
 * whole. */
static void
test_too_many (void)
{
	struct outcome o = read_list ("9000 second");

	CU_ASSERT (!o.failed && o.entries == FLEET_LIST_MAX &&
		   o.skipped == 2 + 9003 - FLEET_LIST_MAX);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"pages", test_pages},
		{"rate limit", test_rate_limit},
		{"failures", test_failures},
		{"endless", test_endless},
		{"duplicates", test_duplicates},
		{"too many", test_too_many},
		{NULL, NULL},
	};

	loop = h2o_evloop_create ();
	return t_run ("eplist", cases);
}
