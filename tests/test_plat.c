/*
 * The platform's contract: one table of what a platform may do, and what an
 * adapter must say of it.  A further adapter is held against the same table
 * by a stand-in of its own wire format.
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

/* What the platform does with the next request. */
enum does {
	ACCEPTS,
	REPEATS,
	SAYS_STALE,
	SAYS_REUSED,
	SAYS_BAD,
	IS_BUSY,
	IS_LIMITED,
	IS_SILENT,
	CUTS,
	BABBLES,
	ANSWERS_EMPTY,
	IS_AWAY, /* nothing listens */
};

static const struct {
	int status;
	const char *body; /* NULL: no answer */
} answers[] = {
	[ACCEPTS] = {200, "{\"accepted\":true,\"endpoints\":[\"x1\",7]}"},
	[REPEATS] = {200, "{\"accepted\":true,\"repeat\":true}"},
	[SAYS_STALE] = {409, "{\"error\":\"stale_fence\",\"fence\":9}"},
	[SAYS_REUSED] = {409, "{\"error\":\"order_id_reused\"}"},
	[SAYS_BAD] = {400, "{}"},
	[IS_BUSY] = {503, "{\"error\":\"busy\"}"},
	[IS_LIMITED] = {429, "{}"},
	[IS_SILENT] = {0, NULL},
	[CUTS] = {-1, "{\"accepted\":true"},
	[BABBLES] = {200, "accepted"},
	[ANSWERS_EMPTY] = {200, "{}"},
};

/* One adapter on trial, with its stand-in. */
struct trial {
	h2o_loop_t *loop;
	struct httpd server;
	struct plat_http *http;
	enum does does;
	int arrived;
	char seen[4096]; /* last request's body */
	bool allowed;    /* what the guard says */
	int guard_asked;
	/* result */
	int called;
	struct plat_answer answer;
	enum err_kind kind;
	uint32_t count;
	struct plat_instance first;
	struct plat_notice notice;
	const char *list; /* body of a list's answer */
	h2o_generator_t gen;
};

/* One loop, stand-in and adapter serve all trials. */
static struct trial the_trial;

static void
proceed_cut (h2o_generator_t *gen, h2o_req_t *req)
{
	(void)gen;
	h2o_send (req, NULL, 0, H2O_SEND_STATE_ERROR);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct trial *t = ctx;
	size_t n = MIN (req->entity.len, sizeof t->seen - 1);
	h2o_iovec_t part;

	t->arrived++;
	if (n > 0)
		memcpy (t->seen, req->entity.base, n);
	t->seen[n] = '\0';
	if (t->list != NULL) {
		httpd_answer_json (req, 200, t->list);
	} else if (answers[t->does].status < 0) {
		part = h2o_iovec_init (answers[t->does].body,
				       strlen (answers[t->does].body));
		t->gen.proceed = proceed_cut;
		req->res.status = 200;
		h2o_start_response (req, &t->gen);
		h2o_send (req, &part, 1, H2O_SEND_STATE_IN_PROGRESS);
	} else if (answers[t->does].body != NULL) {
		httpd_answer_json (req, answers[t->does].status,
				   answers[t->does].body);
	}
	return 0;
}

/* Nobody listens on the first port. */
#define AWAY_PORT 1

static void
plat_at (struct trial *t, uint16_t port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};

	if (t->http != NULL)
		plat_http_free (t->http);
	addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
	addr.sin_port = htons (port);
	t->http = plat_http_new (t->loop, &addr);
}

static bool
trial_open (struct trial *t)
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

static struct trial *
trial_new (bool listens)
{
	struct trial *t = &the_trial;

	plat_at (t, listens ? t->server.port : AWAY_PORT);
	t->does = ACCEPTS;
	t->allowed = true;
	t->arrived = t->guard_asked = 0;
	t->list = NULL;
	memset (&t->answer, 0, sizeof t->answer);
	return t;
}

static void
turn (struct trial *t)
{
	uint64_t end = tmr_now_ms () + WAIT_MS;

	CU_ASSERT_EQUAL (t->called, 0); /* never before it returns */
	while (t->called == 0 && tmr_now_ms () < end)
		h2o_evloop_run (t->loop, 10);
	CU_ASSERT_EQUAL (t->called, 1);
}

static bool
guard_ok (void *ctx)
{
	struct trial *t = ctx;

	t->guard_asked++;
	return t->allowed;
}

static void
on_answer (const struct plat_answer *a, void *ctx)
{
	struct trial *t = ctx;

	t->called++;
	t->answer = *a;
}

static void
send_order (struct trial *t, const struct sm_order *order)
{
	struct plat_order o = {.order = order, .sender = "c1", .fence = 7};
	struct plat_guard g = {guard_ok, t, LIMIT_MS};

	t->called = 0;
	plat_http_ops.order (t->http, &o, &g, on_answer, t);
	turn (t);
}

static void
send_report (struct trial *t, const struct sm_window *w)
{
	struct plat_report r = {.window = w, .sender = "c1", .fence = 7};
	struct plat_guard g = {guard_ok, t, LIMIT_MS};

	t->called = 0;
	plat_http_ops.report (t->http, &r, &g, on_answer, t);
	turn (t);
}

/* The table: for orders and reports alike. */
static void
test_verdicts (void)
{
	static const struct {
		enum does does;
		bool allowed;
		enum plat_verdict verdict;
		bool repeat;
		int arrived;
	} rows[] = {
		{ACCEPTS, true, PLAT_ACCEPTED, false, 1},
		{REPEATS, true, PLAT_ACCEPTED, true, 1},
		{SAYS_STALE, true, PLAT_STALE, false, 1},
		{SAYS_REUSED, true, PLAT_REFUSED, false, 1},
		{SAYS_BAD, true, PLAT_REFUSED, false, 1},
		{IS_BUSY, true, PLAT_LOST, false, 1},
		{IS_LIMITED, true, PLAT_LOST, false, 1},
		{IS_SILENT, true, PLAT_LOST, false, 1},
		{CUTS, true, PLAT_LOST, false, 1},
		{BABBLES, true, PLAT_LOST, false, 1},
		{ANSWERS_EMPTY, true, PLAT_LOST, false, 1},
		{IS_AWAY, true, PLAT_UNSENT, false, 0},
		/* the lease went between the decision and the first byte */
		{ACCEPTS, false, PLAT_UNSENT, false, 0},
	};
	struct sm_order order = {.id = "o1", .kind = SM_ORDER_RELEASE};
	struct sm_window window = {.window_ms = 60000, .report_id = "r1"};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		for (int report = 0; report < 2; report++) {
			struct trial *t = trial_new (rows[i].does != IS_AWAY);
			uint64_t start_ms = tmr_now_ms ();

			t->does = rows[i].does;
			t->allowed = rows[i].allowed;
			if (report)
				send_report (t, &window);
			else
				send_order (t, &order);
			CU_ASSERT_EQUAL (t->answer.verdict, rows[i].verdict);
			CU_ASSERT (tmr_now_ms () - start_ms < WAIT_MS / 2);
			CU_ASSERT_EQUAL (t->answer.duplicate, rows[i].repeat);
			CU_ASSERT_EQUAL (t->arrived, rows[i].arrived);
			CU_ASSERT_EQUAL (t->guard_asked,
					 rows[i].does != IS_AWAY);
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
	struct trial *t = trial_new (true);

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		send_order (t, &rows[i].order);
		CU_ASSERT_STRING_EQUAL (t->seen, rows[i].body);
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
	struct trial *t = trial_new (true);

	send_report (t, &w);
	CU_ASSERT_STRING_EQUAL (
		t->seen,
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
	struct trial *t = ctx;

	t->called++;
	t->count = count;
	t->kind = e != NULL ? e->kind : ERR_NONE;
	if (count > 0)
		t->first = list[0];
}

static void
on_notices (const struct plat_notice *list, uint32_t count, const struct err *e,
	    void *ctx)
{
	struct trial *t = ctx;

	t->called++;
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
	struct trial *t = trial_new (true);

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		memset (&t->first, 0, sizeof t->first);
		t->called = 0;
		t->list = rows[i].body;
		plat_http_ops.list (t->http, on_list, t);
		turn (t);
		CU_ASSERT_EQUAL (t->count, rows[i].count);
		CU_ASSERT_EQUAL (t->kind, rows[i].kind);
		CU_ASSERT_EQUAL (t->first.state, rows[i].state);
	}
	t->called = 0;
	t->list = "{\"notices\":[{\"seq\":3,\"domain\":\"n\","
		  "\"gone_at_ms\":99}]}";
	plat_http_ops.notices (t->http, on_notices, t);
	turn (t);
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
	if (!trial_open (&the_trial))
		return 1;
	status = t_run ("plat", cases);
	plat_http_free (the_trial.http);
	return status;
}
