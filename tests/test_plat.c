/*
 * The contract of struct plat_ops: a table of what a platform may do, and the
 * verdict that a client must return.  A client of another wire format is tested
 * with the same table against a stub server of its own.
 */
#include <arpa/inet.h>
#include <string.h>

#include "httpd.h"
#include "log.h"
#include "plat.h"
#include "t_run.h"
#include "tmr.h"

#define LIMIT_MS 200
#define WAIT_MS 5000

/* Behaviour of the stub server at the next request. */
enum behaviour {
	ACCEPT,
	ACCEPT_DUPLICATE,
	STALE_FENCE,
	ID_REUSED,
	BAD_REQUEST,
	UNAVAILABLE,
	RATE_LIMITED,
	NO_ANSWER,
	CLOSE_EARLY,
	NOT_JSON,
	EMPTY_OBJECT,
	NOT_LISTENING,
};

static const struct {
	int status;
	const char *body; /* NULL: no answer */
} answers[] = {
	[ACCEPT] = {200, "{\"accepted\":true,\"endpoints\":[\"x1\",7]}"},
	[ACCEPT_DUPLICATE] = {200, "{\"accepted\":true,\"repeat\":true}"},
	[STALE_FENCE] = {409, "{\"error\":\"stale_fence\",\"fence\":9}"},
	[ID_REUSED] = {409, "{\"error\":\"order_id_reused\"}"},
	[BAD_REQUEST] = {400, "{}"},
	[UNAVAILABLE] = {503, "{\"error\":\"busy\"}"},
	[RATE_LIMITED] = {429, "{}"},
	[NO_ANSWER] = {0, NULL},
	[CLOSE_EARLY] = {-1, "{\"accepted\":true"},
	[NOT_JSON] = {200, "accepted"},
	[EMPTY_OBJECT] = {200, "{}"},
};

/* A client under test, with its stub server. */
struct fixture {
	h2o_loop_t *loop;
	struct httpd server;
	struct plat_http *http;
	enum behaviour behaviour;
	int requests;
	char body[4096]; /* body of the last request */
	bool allowed;    /* answer of the guard */
	int guard_calls;
	/* results */
	int callbacks;
	struct plat_answer answer;
	enum err_kind kind;
	uint32_t count;
	struct plat_instance first;
	struct plat_notice notice;
	const char *list; /* body of the answer to a list request, or NULL */
	h2o_generator_t gen;
};

/* All tests use one event loop and one stub server. */
static struct fixture the_fixture;

static void
proceed_close (h2o_generator_t *gen, h2o_req_t *req)
{
	(void)gen;
	h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct fixture *t = ctx;
	size_t n = MIN (req->entity.len, sizeof t->body - 1);
	h2o_iovec_t chunk;

	t->requests++;
	if (n > 0)
		memcpy (t->body, req->entity.base, n);
	t->body[n] = '\0';
	if (t->list != NULL) {
		httpd_answer_json (req, 200, t->list);
	} else if (answers[t->behaviour].status < 0) {
		chunk = h2o_iovec_init (answers[t->behaviour].body,
					strlen (answers[t->behaviour].body));
		t->gen.proceed = proceed_close;
		req->res.status = 200;
		h2o_start_response (req, &t->gen);
		h2o_send (req, &chunk, 1, H2O_SEND_STATE_IN_PROGRESS);
	} else if (answers[t->behaviour].body != NULL) {
		httpd_answer_json (req, answers[t->behaviour].status,
				   answers[t->behaviour].body);
	}
	return 0;
}

/* No process listens on this port. */
#define CLOSED_PORT 1

static void
client_connect (struct fixture *t, uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};

	if (t->http != NULL)
		plat_http_free (t->http);
	addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	addr.sin_port = htons (port);
	t->http = plat_http_new (t->loop, &addr);
}

static bool
fixture_open (struct fixture *t)
{
	struct httpd_conf conf = {.max_body_bytes = 1 << 20,
				  .io_timeout_ms = WAIT_MS,
				  .handler = on_request,
				  .ctx = t};
	struct err e = {.kind = ERR_NONE};

	t->loop = h2o_evloop_create ();
	conf.addr.sin_family = AF_INET;
	conf.addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	return httpd_init (&t->server, t->loop, &conf, &e);
}

static struct fixture *
fixture_reset (bool listens)
{
	struct fixture *t = &the_fixture;

	client_connect (t, listens ? t->server.port : CLOSED_PORT);
	t->behaviour = ACCEPT;
	t->allowed = true;
	t->requests = t->guard_calls = 0;
	t->list = NULL;
	memset (&t->answer, 0, sizeof t->answer);
	return t;
}

static void
run_until_callback (struct fixture *t)
{
	uint64_t end = tmr_now_ms () + WAIT_MS;

	CU_ASSERT_EQUAL (t->callbacks, 0); /* none before the call returns */
	while (t->callbacks == 0 && tmr_now_ms () < end)
		h2o_evloop_run (t->loop, 10);
	CU_ASSERT_EQUAL (t->callbacks, 1);
}

static bool
guard_ok (void *ctx)
{
	struct fixture *t = ctx;

	t->guard_calls++;
	return t->allowed;
}

static void
on_answer (const struct plat_answer *a, void *ctx)
{
	struct fixture *t = ctx;

	t->callbacks++;
	t->answer = *a;
}

static void
send_order (struct fixture *t, const struct sm_order *order)
{
	struct plat_order o = {.order = order, .sender = "c1", .fence = 7};
	struct plat_guard g = {guard_ok, t, LIMIT_MS};

	t->callbacks = 0;
	plat_http_ops.order (t->http, &o, &g, on_answer, t);
	run_until_callback (t);
}

static void
send_report (struct fixture *t, const struct sm_window *w)
{
	struct plat_report r = {.window = w, .sender = "c1", .fence = 7};
	struct plat_guard g = {guard_ok, t, LIMIT_MS};

	t->callbacks = 0;
	plat_http_ops.report (t->http, &r, &g, on_answer, t);
	run_until_callback (t);
}

/* Each behaviour gives the same verdict for orders and for reports. */
static void
test_verdicts (void)
{
	static const struct {
		enum behaviour behaviour;
		bool allowed;
		enum plat_verdict verdict;
		bool duplicate;
		int requests;
	} rows[] = {
		{ACCEPT, true, PLAT_ACCEPTED, false, 1},
		{ACCEPT_DUPLICATE, true, PLAT_ACCEPTED, true, 1},
		{STALE_FENCE, true, PLAT_STALE, false, 1},
		{ID_REUSED, true, PLAT_REFUSED, false, 1},
		{BAD_REQUEST, true, PLAT_REFUSED, false, 1},
		{UNAVAILABLE, true, PLAT_LOST, false, 1},
		{RATE_LIMITED, true, PLAT_LOST, false, 1},
		{NO_ANSWER, true, PLAT_LOST, false, 1},
		{CLOSE_EARLY, true, PLAT_LOST, false, 1},
		{NOT_JSON, true, PLAT_LOST, false, 1},
		{EMPTY_OBJECT, true, PLAT_LOST, false, 1},
		{NOT_LISTENING, true, PLAT_UNSENT, false, 0},
		/* The lease expired between the decision and the first byte. */
		{ACCEPT, false, PLAT_UNSENT, false, 0},
	};
	struct sm_order order = {.id = "o1", .kind = SM_ORDER_RELEASE};
	struct sm_window window = {.window_ms = 60000, .report_id = "r1"};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		for (int report = 0; report < 2; report++) {
			struct fixture *t = fixture_reset (rows[i].behaviour !=
							   NOT_LISTENING);
			uint64_t start_ms = tmr_now_ms ();

			t->behaviour = rows[i].behaviour;
			t->allowed = rows[i].allowed;
			if (report)
				send_report (t, &window);
			else
				send_order (t, &order);
			CU_ASSERT_EQUAL (t->answer.verdict, rows[i].verdict);
			CU_ASSERT (tmr_now_ms () - start_ms < WAIT_MS / 2);
			CU_ASSERT_EQUAL (t->answer.duplicate,
					 rows[i].duplicate);
			CU_ASSERT_EQUAL (t->requests, rows[i].requests);
			CU_ASSERT_EQUAL (t->guard_calls,
					 rows[i].behaviour != NOT_LISTENING);
		}
	}
}

static void
test_order_on_the_wire (void)
{
	static const struct {
		struct sm_order order;
		const char *body;
	} rows[] = {
		{{.id = "o1",
		  .kind = SM_ORDER_NEW,
		  .domain = "north",
		  .reclaimable = true},
		 "{\"order_id\":\"o1\",\"sender\":\"c1\",\"fence\":7,"
		 "\"action\":\"order\",\"domain\":\"north\","
		 "\"reclaimable\":true}"},
		{{.id = "o2", .kind = SM_ORDER_RELEASE, .endpoint = "x"},
		 "{\"order_id\":\"o2\",\"sender\":\"c1\",\"fence\":7,"
		 "\"action\":\"release\",\"endpoint\":\"x\"}"},
		{{.id = "o3",
		  .kind = SM_ORDER_LOAD,
		  .endpoint = "x",
		  .model = "m"},
		 "{\"order_id\":\"o3\",\"sender\":\"c1\",\"fence\":7,"
		 "\"action\":\"load\",\"endpoint\":\"x\",\"model\":\"m\"}"},
		{{.id = "o4",
		  .kind = SM_ORDER_ROLE,
		  .endpoint = "x",
		  .role = "r"},
		 "{\"order_id\":\"o4\",\"sender\":\"c1\",\"fence\":7,"
		 "\"action\":\"role\",\"endpoint\":\"x\",\"role\":\"r\"}"},
	};
	struct fixture *t = fixture_reset (true);

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		send_order (t, &rows[i].order);
		CU_ASSERT_STRING_EQUAL (t->body, rows[i].body);
		CU_ASSERT_EQUAL (t->answer.endpoint_count, 1);
		CU_ASSERT_STRING_EQUAL (t->answer.endpoints[0], "x1");
	}
}

static void
test_report_on_the_wire (void)
{
	struct sm_figure f[] = {
		{.account = "a",
		 .klass = "c",
		 .n = {1, 2, 3, 4, 5},
		 .late = {.requests = 6}},
	};
	struct sm_window w = {.window_ms = 60000,
			      .length_ms = 1000,
			      .report_id = "r1",
			      .figures = {f, G_N_ELEMENTS (f)}};
	struct fixture *t = fixture_reset (true);

	send_report (t, &w);
	CU_ASSERT_STRING_EQUAL (
		t->body,
		"{\"report_id\":\"r1\",\"window\":60000,\"length_ms\":1000,"
		"\"sender\":\"c1\",\"fence\":7,\"rows\":[{\"account\":\"a\","
		"\"class\":\"c\",\"requests\":1,\"prompt_tokens\":2,"
		"\"completion_tokens\":3,\"refused\":4,\"wasted_tokens\":5,"
		"\"late_requests\":6}]}");
}

static void
on_list (const struct plat_instance *list, uint32_t count, const struct err *e,
	 void *ctx)
{
	struct fixture *t = ctx;

	t->callbacks++;
	t->count = count;
	t->kind = e != NULL ? e->kind : ERR_NONE;
	if (count > 0)
		t->first = list[0];
}

static void
on_notices (const struct plat_notice *list, uint32_t count, const struct err *e,
	    void *ctx)
{
	struct fixture *t = ctx;

	t->callbacks++;
	t->count = count;
	t->kind = e != NULL ? e->kind : ERR_NONE;
	if (count > 0)
		t->notice = list[0];
}

static void
test_lists (void)
{
	static const struct {
		const char *body;
		uint32_t count;
		enum err_kind kind;
		enum plat_state state;
	} rows[] = {
		{"{\"instances\":[{\"name\":\"x\",\"state\":\"live\"}]}", 1,
		 ERR_NONE, PLAT_LIVE},
		{"{\"instances\":[{\"name\":\"x\",\"state\":\"leaving\"},3,"
		 "{\"domain\":\"n\"}]}",
		 1, ERR_NONE, PLAT_LEAVING},
		{"{\"instances\":[{\"name\":\"x\",\"state\":\"gone\"}]}", 1,
		 ERR_NONE, PLAT_TERMINATED},
		{"{\"instances\":[]}", 0, ERR_NONE, PLAT_LIVE},
		{"{}", 0, ERR_PROTOCOL, PLAT_LIVE},
		{"[]", 0, ERR_PROTOCOL, PLAT_LIVE},
		{"{\"instances\":", 0, ERR_PROTOCOL, PLAT_LIVE},
	};
	struct fixture *t = fixture_reset (true);

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		memset (&t->first, 0, sizeof t->first);
		t->callbacks = 0;
		t->list = rows[i].body;
		plat_http_ops.list (t->http, on_list, t);
		run_until_callback (t);
		CU_ASSERT_EQUAL (t->count, rows[i].count);
		CU_ASSERT_EQUAL (t->kind, rows[i].kind);
		CU_ASSERT_EQUAL (t->first.state, rows[i].state);
	}
	t->callbacks = 0;
	t->list = "{\"notices\":[{\"seq\":3,\"domain\":\"n\","
		  "\"gone_at_ms\":99}]}";
	plat_http_ops.notices (t->http, on_notices, t);
	run_until_callback (t);
	CU_ASSERT_EQUAL (t->count, 1);
	CU_ASSERT_EQUAL (t->notice.seq, 3);
	CU_ASSERT_EQUAL (t->notice.terminates_at_ms, 99);
	CU_ASSERT_STRING_EQUAL (t->notice.domain, "n");
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"verdicts", test_verdicts},
		{"order on the wire", test_order_on_the_wire},
		{"report on the wire", test_report_on_the_wire},
		{"lists", test_lists},
		{NULL, NULL},
	};

	int status;

	log_init ("test_plat", "", LOG_LV_ERROR);
	if (!fixture_open (&the_fixture))
		return 1;
	status = t_run ("plat", cases);
	plat_http_free (the_fixture.http);
	return status;
}
