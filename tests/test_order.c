/*
 * Two members that may both believe to lead, one log, and a platform that
 * keeps a record.  Time is a number here: members freeze and wake, bytes lie
 * in buffers, answers get lost.
 */
#include <stdio.h>
#include <string.h>

#include "log.h"
#include "order.h"
#include "t_run.h"
#include "t_sm.h"

#define LEASE_MS 1000
#define DRIFT_MS 100
#define RESERVE_MS 300
#define WRITE_MS 500
#define RETRY_MS 200
#define STEP_MS 10
#define WALL_MS 1000000000000ULL

struct world;

/* A write between order() and its arrival at the platform. */
struct pipe {
	struct plat_guard guard;
	plat_answer_cb cb;
	void *ctx;
	bool written;
	uint64_t written_ms, arrives_ms;
	uint32_t connect_ms;
	uint64_t started_ms;
	uint64_t fence, window_ms;
	char id[SM_ID_BYTES];
	uint64_t requests; /* the report's figure */
	bool done;
};

struct node {
	struct world *w;
	const char *name;
	struct order_ctl ctl;
	struct t_sm t;
	struct order_lead lead;
	uint64_t frozen_until_ms;
	bool dead;
	GPtrArray *pipes;
};

struct arrival {
	uint64_t at_ms, fence;
	const char *sender;
	char id[SM_ID_BYTES];
	uint64_t requests;
	bool repeat;
};

struct entry {
	uint64_t term;
	enum sm_kind kind;
	GByteArray *bytes;
};

struct world {
	uint64_t now_ms;
	uint64_t term;       /* the highest */
	uint64_t granted_ms; /* until when some lease may stand */
	struct node n[2];
	GPtrArray *log;   /* struct entry */
	GArray *arrivals; /* struct arrival */
	uint32_t lose;    /* answers to lose */
	uint32_t buffer_ms;
	struct inv inv;
	struct inv_endpoint ep;
};

static struct order_lead
env_lead (void *ctx)
{
	return ((struct node *)ctx)->lead;
}

static uint64_t
env_now (void *ctx)
{
	return ((struct node *)ctx)->w->now_ms;
}

static uint64_t
env_wall (void *ctx)
{
	return WALL_MS + ((struct node *)ctx)->w->now_ms;
}

/* Only the leader of the highest term commits. */
static void
env_propose (void *ctx, enum sm_kind kind, const void *cmd)
{
	struct node *n = ctx;
	struct entry *e;
	msgpack_sbuffer buf;

	if (n->lead.term != n->w->term || !n->lead.leading)
		return;
	msgpack_sbuffer_init (&buf);
	msg_pack (sm_kind_fields (kind), cmd, &buf);
	e = g_new0 (struct entry, 1);
	e->term = n->lead.term;
	e->kind = kind;
	e->bytes = g_byte_array_new ();
	g_byte_array_append (e->bytes, (const void *)buf.data, (guint)buf.size);
	g_ptr_array_add (n->w->log, e);
	msgpack_sbuffer_destroy (&buf);
}

static const struct order_env env = {env_lead, env_now, env_wall, env_propose};

static struct pipe *
pipe_new (struct node *n, const struct plat_guard *g, plat_answer_cb cb,
	  void *ctx)
{
	struct pipe *p = g_new0 (struct pipe, 1);

	p->guard = *g;
	p->cb = cb;
	p->ctx = ctx;
	p->started_ms = n->w->now_ms;
	p->connect_ms = STEP_MS;
	g_ptr_array_add (n->pipes, p);
	return p;
}

static void
fake_list (void *plat, plat_list_cb cb, void *ctx)
{
	(void)plat;
	cb (NULL, 0, NULL, ctx);
}

static void
fake_order (void *plat, const struct plat_order *o, const struct plat_guard *g,
	    plat_answer_cb cb, void *ctx)
{
	struct pipe *p = pipe_new (plat, g, cb, ctx);

	p->fence = o->fence;
	g_strlcpy (p->id, o->order->id, sizeof p->id);
}

static void
fake_report (void *plat, const struct plat_report *r,
	     const struct plat_guard *g, plat_answer_cb cb, void *ctx)
{
	struct pipe *p = pipe_new (plat, g, cb, ctx);
	const struct sm_figure *f = r->window->figures.items;

	p->fence = r->fence;
	g_strlcpy (p->id, r->window->report_id, sizeof p->id);
	for (uint32_t i = 0; i < r->window->figures.count; i++)
		p->requests += f[i].n.requests + 1000 * f[i].late.requests;
}

static const struct plat_ops fake_plat = {
	.list = fake_list, .order = fake_order, .report = fake_report};

static void
answer (struct pipe *p, enum plat_verdict verdict, bool repeat)
{
	struct plat_answer a = {.verdict = verdict, .duplicate = repeat};

	p->done = true;
	p->cb (&a, p->ctx);
}

static void
arrive (struct node *n, struct pipe *p)
{
	struct world *w = n->w;
	struct arrival a = {.at_ms = w->now_ms,
			    .fence = p->fence,
			    .sender = n->name,
			    .requests = p->requests};

	g_strlcpy (a.id, p->id, sizeof a.id);
	for (guint i = 0; i < w->arrivals->len; i++)
		a.repeat |=
			strcmp (g_array_index (w->arrivals, struct arrival, i)
					.id,
				p->id) == 0;
	g_array_append_val (w->arrivals, a);
}

/* The kernel's part of a write goes on while its process is frozen. */
static void
pipe_kernel (struct node *n, struct pipe *p)
{
	if (p->written && p->arrives_ms != 0 && n->w->now_ms >= p->arrives_ms) {
		p->arrives_ms = 0;
		arrive (n, p);
	}
}

static void
pipe_process (struct node *n, struct pipe *p)
{
	struct world *w = n->w;

	if (!p->written) {
		if (w->now_ms < p->started_ms + p->connect_ms)
			return;
		if (!p->guard.may_write (p->guard.ctx)) {
			answer (p, PLAT_UNSENT, false);
			return;
		}
		p->written = true;
		p->written_ms = w->now_ms;
		p->arrives_ms =
			w->now_ms + MIN (w->buffer_ms, p->guard.timeout_ms);
		return;
	}
	if (p->arrives_ms != 0)
		return;
	if (w->lose > 0) {
		w->lose--;
		answer (p, PLAT_LOST, false);
	} else {
		answer (p, PLAT_ACCEPTED, false);
	}
}

static void
node_apply (struct node *n)
{
	while (n->t.index < n->w->log->len) {
		const struct entry *e =
			g_ptr_array_index (n->w->log, n->t.index);

		sm_apply (n->t.sm, ++n->t.index, e->term, (uint8_t)e->kind,
			  e->bytes->data, e->bytes->len, &n->t.r);
	}
}

static void
node_step (struct node *n)
{
	struct world *w = n->w;

	for (guint i = 0; i < n->pipes->len; i++)
		pipe_kernel (n, g_ptr_array_index (n->pipes, i));
	if (n->dead || w->now_ms < n->frozen_until_ms)
		return;
	/* On waking, what was connected is written before any timer runs. */
	for (guint i = 0; i < n->pipes->len; i++) {
		struct pipe *p = g_ptr_array_index (n->pipes, i);

		if (!p->done)
			pipe_process (n, p);
		if (p->done)
			g_ptr_array_remove_index (n->pipes, i--);
	}
	if (n->lead.leading && n->lead.term == w->term) {
		n->lead.until_ms = w->now_ms + LEASE_MS;
		w->granted_ms = n->lead.until_ms;
	}
	node_apply (n);
	order_tick (&n->ctl, &w->inv);
}

static void
world_init (struct world *w, bool checks_fence)
{
	static const char *const names[] = {"c1", "c2"};

	memset (w, 0, sizeof *w);
	w->log = g_ptr_array_new ();
	w->arrivals = g_array_new (FALSE, FALSE, sizeof (struct arrival));
	w->inv.settings.window_s = 60;
	w->inv.settings.window_grace_s = 5;
	g_strlcpy (w->ep.name, "x", sizeof w->ep.name);
	w->ep.checks_fence = checks_fence;
	w->inv.endpoints = &w->ep;
	w->inv.endpoint_count = 1;
	for (int i = 0; i < 2; i++) {
		struct node *n = &w->n[i];
		struct order_conf conf = {.times = {LEASE_MS, DRIFT_MS,
						    RESERVE_MS, WRITE_MS,
						    RETRY_MS},
					  .sender = names[i],
					  .plat = &fake_plat,
					  .plat_ctx = n,
					  .env = &env,
					  .env_ctx = n};

		n->w = w;
		n->name = names[i];
		n->pipes = g_ptr_array_new_with_free_func (g_free);
		t_sm_init (&n->t);
		conf.sm = n->t.sm;
		order_init (&n->ctl, &conf);
	}
}

static void
world_finish (struct world *w)
{
	for (int i = 0; i < 2; i++) {
		struct node *n = &w->n[i];

		for (guint j = 0; j < n->pipes->len; j++) {
			struct pipe *p = g_ptr_array_index (n->pipes, j);

			if (!p->done)
				answer (p, PLAT_LOST, false);
		}
		g_ptr_array_free (n->pipes, TRUE);
		order_finish (&n->ctl);
		t_sm_finish (&n->t);
	}
	for (guint i = 0; i < w->log->len; i++) {
		struct entry *e = g_ptr_array_index (w->log, i);

		g_byte_array_free (e->bytes, TRUE);
		g_free (e);
	}
	g_ptr_array_free (w->log, TRUE);
	g_array_free (w->arrivals, TRUE);
}

static void
run (struct world *w, uint64_t ms)
{
	for (uint64_t end = w->now_ms + ms; w->now_ms < end;
	     w->now_ms += STEP_MS) {
		node_step (&w->n[0]);
		node_step (&w->n[1]);
	}
}

/* The log's rule: nobody is elected while a lease may stand. */
static bool
elect (struct world *w, struct node *n)
{
	if (w->now_ms < w->granted_ms)
		return false;
	n->lead.leading = true;
	n->lead.term = ++w->term;
	n->lead.until_ms = w->now_ms + LEASE_MS;
	w->granted_ms = n->lead.until_ms;
	return true;
}

static void
request (struct node *n, const char *id)
{
	struct sm_order o = {.kind = SM_ORDER_RELEASE, .endpoint = "x"};

	g_strlcpy (o.id, id, sizeof o.id);
	CU_ASSERT_TRUE (order_request (&n->ctl, &o));
}

static const struct arrival *
arrival (const struct world *w, guint i)
{
	return i < w->arrivals->len
		       ? &g_array_index (w->arrivals, struct arrival, i)
		       : NULL;
}

/* What the platform must have seen of any schedule. */
static void
check_record (const struct world *w)
{
	for (guint i = 0; i < w->arrivals->len; i++) {
		const struct arrival *a = arrival (w, i);

		for (guint j = 0; j < i; j++) {
			const struct arrival *b = arrival (w, j);

			CU_ASSERT (a->fence >= b->fence);
			if (strcmp (a->id, b->id) == 0)
				CU_ASSERT_EQUAL (a->requests, b->requests);
		}
	}
}

static void
check_arrivals (const struct world *w, guint count)
{
	CU_ASSERT_EQUAL (w->arrivals->len, count);
	check_record (w);
}

static void
test_one_leader (void)
{
	struct world w;

	world_init (&w, false);
	elect (&w, &w.n[0]);
	request (&w.n[0], "o1");
	run (&w, LEASE_MS);
	check_arrivals (&w, 0); /* an earlier leader may still write */
	run (&w, LEASE_MS);
	check_arrivals (&w, 1);
	CU_ASSERT_EQUAL (sm_order_find (w.n[1].t.sm, "o1")->state,
			 SM_ORDER_DONE_OK);
	CU_ASSERT_FALSE (order_request (&w.n[1].ctl, &(struct sm_order){0}));
	world_finish (&w);
}

/* Frozen between the decision to send and the first byte, then woken. */
static void
frozen_and_woken (bool checks_fence)
{
	struct world w;
	struct node *a, *b;

	world_init (&w, checks_fence);
	a = &w.n[0];
	b = &w.n[1];
	elect (&w, a);
	run (&w, 2 * LEASE_MS);
	request (a, "o1");
	while (a->pipes->len == 0)
		run (&w, STEP_MS);
	a->frozen_until_ms = w.now_ms + 4 * LEASE_MS;
	run (&w, 2 * LEASE_MS);
	CU_ASSERT_TRUE (elect (&w, b));
	run (&w, 6 * LEASE_MS);
	check_arrivals (&w, 1);
	CU_ASSERT_EQUAL (arrival (&w, 0)->fence, 2);
	CU_ASSERT_STRING_EQUAL (arrival (&w, 0)->sender, "c2");
	world_finish (&w);
}

static void
test_frozen_and_woken (void)
{
	frozen_and_woken (false);
	frozen_and_woken (true);
}

/* Its bytes lie in the kernel while the next leader takes over. */
static void
test_bytes_in_a_buffer (void)
{
	struct world w;
	struct node *a, *b;

	world_init (&w, false);
	a = &w.n[0];
	b = &w.n[1];
	elect (&w, a);
	run (&w, 2 * LEASE_MS);
	request (a, "o1");
	request (a, "o2");
	w.buffer_ms = 10 * LEASE_MS;
	while (a->pipes->len == 0 ||
	       !((struct pipe *)g_ptr_array_index (a->pipes, 0))->written)
		run (&w, STEP_MS);
	/* The worst case: elected while the bytes are still under way. */
	a->dead = true;
	w.granted_ms = w.now_ms;
	w.buffer_ms = 0;
	elect (&w, b);
	run (&w, 6 * LEASE_MS);
	check_arrivals (&w, 3);
	CU_ASSERT_EQUAL (arrival (&w, 0)->fence, 1);
	world_finish (&w);
}

static void
test_lost_answer (void)
{
	struct world w;

	world_init (&w, false);
	elect (&w, &w.n[0]);
	w.lose = 2;
	request (&w.n[0], "o1");
	run (&w, 4 * LEASE_MS);
	check_arrivals (&w, 3);
	CU_ASSERT_FALSE (arrival (&w, 0)->repeat);
	CU_ASSERT_TRUE (arrival (&w, 2)->repeat);
	CU_ASSERT_EQUAL (sm_order_find (w.n[0].t.sm, "o1")->state,
			 SM_ORDER_DONE_OK);
	world_finish (&w);
}

static void
test_killed_between_intent_and_send (void)
{
	struct world w;

	world_init (&w, false);
	elect (&w, &w.n[0]);
	request (&w.n[0], "o1"); /* logged; silence holds it back */
	run (&w, LEASE_MS / 2);
	w.n[0].dead = true;
	run (&w, 2 * LEASE_MS);
	check_arrivals (&w, 0);
	elect (&w, &w.n[1]);
	run (&w, 3 * LEASE_MS);
	check_arrivals (&w, 1);
	CU_ASSERT_EQUAL (arrival (&w, 0)->fence, 2);
	CU_ASSERT_EQUAL (sm_order_find (w.n[1].t.sm, "o1")->fence, 2);
	world_finish (&w);
}

static void
put_usage (struct world *w, uint64_t window_ms, uint64_t requests)
{
	struct sm_usage_row row = {.window_ms = window_ms,
				   .account = "a",
				   .klass = "c",
				   .n = {.requests = requests}};
	struct sm_usage u = {.instance = "e1",
			     .incarnation = 1,
			     .rows = {.items = &row, .count = 1}};

	for (int i = 0; i < 2; i++) {
		if (w->n[i].lead.leading && w->n[i].lead.term == w->term)
			env_propose (&w->n[i], SM_USAGE, &u);
	}
}

#define WINDOW_1 (WALL_MS / 60000 * 60000)

/*
 * The leader dies after sealing, before or after the report leaves; counts
 * come late in between.  The next one reports the sealed figures.
 */
static void
killed_around_the_report (bool after)
{
	struct world w;
	const struct sm_window *win;

	world_init (&w, false);
	elect (&w, &w.n[0]);
	put_usage (&w, WINDOW_1, 7);
	while (sm_window_find (w.n[0].t.sm, WINDOW_1) == NULL)
		run (&w, STEP_MS);
	CU_ASSERT (WALL_MS + w.now_ms >= WINDOW_1 + 65000);
	w.lose = after; /* it dies without the answer */
	while (after && w.arrivals->len == 0)
		run (&w, STEP_MS);
	w.n[0].dead = true;
	run (&w, 2 * LEASE_MS);
	elect (&w, &w.n[1]);
	put_usage (&w, WINDOW_1, 9);
	run (&w, 4 * LEASE_MS);
	check_arrivals (&w, after ? 2 : 1);
	for (guint i = 0; i < w.arrivals->len; i++)
		CU_ASSERT_EQUAL (arrival (&w, i)->requests, 7);
	win = sm_window_find (w.n[1].t.sm, WINDOW_1);
	CU_ASSERT (win != NULL && win->reported);
	/* The late counts follow with the next window that ends. */
	run (&w, 130000);
	CU_ASSERT_EQUAL (arrival (&w, w.arrivals->len - 1)->requests, 2000);
	check_arrivals (&w, after ? 3 : 2);
	world_finish (&w);
}

static void
test_killed_around_the_report (void)
{
	killed_around_the_report (false);
	killed_around_the_report (true);
}

/* Seeded schedules of freezes, elections, buffers and lost answers. */
static void
schedule (guint32 seed)
{
	GRand *r = g_rand_new_with_seed (seed);
	struct world w;
	char id[16];
	uint64_t used = 0, asked = 0;

	world_init (&w, g_rand_boolean (r));
	for (int i = 0; i < 120; i++) {
		struct node *n = &w.n[g_rand_int_range (r, 0, 2)];
		bool leads = n->lead.leading && n->lead.term == w.term;

		w.buffer_ms = g_rand_boolean (r)
				      ? 0
				      : (uint32_t)g_rand_int_range (r, 0, 2000);
		if (g_rand_int_range (r, 0, 4) == 0)
			n->frozen_until_ms =
				w.now_ms +
				(uint64_t)g_rand_int_range (r, 0, 6000);
		else if (!leads && w.now_ms >= n->frozen_until_ms)
			elect (&w, n);
		w.lose = g_rand_int_range (r, 0, 4) == 0;
		snprintf (id, sizeof id, "o%d", i);
		if (leads && w.now_ms >= n->frozen_until_ms) {
			request (n, id);
			asked++;
		}
		put_usage (&w, WINDOW_1 + w.now_ms / 60000 * 60000, ++used);
		run (&w, (uint64_t)g_rand_int_range (r, 1, 150) * STEP_MS);
	}
	w.lose = 0;
	w.buffer_ms = 0;
	run (&w, 10000);
	w.n[0].frozen_until_ms = w.n[1].frozen_until_ms = w.now_ms + 2000;
	run (&w, 2000);
	CU_ASSERT_TRUE (elect (&w, &w.n[0]));
	run (&w, 10000);
	check_record (&w);
	CU_ASSERT (asked > 5);
	CU_ASSERT (w.arrivals->len >= asked);
	world_finish (&w);
	g_rand_free (r);
}

static void
test_seeded_schedules (void)
{
	guint32 n = g_getenv ("DH_SOAK") != NULL ? 2000 : 60;

	for (guint32 seed = 1; seed <= n; seed++)
		schedule (seed);
}

/* Each row is one situation of a pending order. */
static void
test_decisions (void)
{
	static const struct order_times times = {LEASE_MS, DRIFT_MS, RESERVE_MS,
						 WRITE_MS, RETRY_MS};
	static const struct {
		bool leading, stale, listed, checks;
		uint64_t now, until, quiet, retry, fence;
		enum order_step step;
		uint32_t limit;
	} rows[] = {
		{true, 0, 1, 0, 5000, 6000, 4000, 0, 3, ORDER_SEND, 500},
		{true, 0, 1, 0, 5000, 5400, 4000, 0, 3, ORDER_SEND, 400},
		{true, 0, 1, 0, 5000, 5300, 4000, 0, 3, ORDER_HOLD, 0},
		{true, 0, 1, 1, 5000, 5300, 4000, 0, 3, ORDER_SEND, 300},
		{true, 0, 1, 1, 5000, 5000, 4000, 0, 3, ORDER_HOLD, 0},
		{true, 0, 1, 1, 5000, 4000, 4000, 0, 3, ORDER_HOLD, 0},
		{true, 0, 1, 0, 5000, 6000, 5001, 0, 3, ORDER_HOLD, 0},
		{true, 0, 0, 0, 5000, 6000, 4000, 0, 3, ORDER_HOLD, 0},
		{true, 1, 1, 0, 5000, 6000, 4000, 0, 3, ORDER_HOLD, 0},
		{false, 0, 1, 0, 5000, 6000, 4000, 0, 3, ORDER_HOLD, 0},
		{true, 0, 1, 0, 5000, 6000, 4000, 5001, 3, ORDER_HOLD, 0},
		{true, 0, 1, 0, 5000, 6000, 4000, 0, 2, ORDER_RENEW, 0},
	};

	for (size_t i = 0; i < G_N_ELEMENTS (rows); i++) {
		struct order_view v = {
			.times = &times,
			.lead = {rows[i].leading, 3, rows[i].until},
			.quiet_until_ms = rows[i].quiet,
			.listed = rows[i].listed,
			.stale = rows[i].stale,
			.now_ms = rows[i].now};
		struct sm_order_rec rec = {.fence = rows[i].fence};
		struct order_verdict d =
			order_decide (&v, &rec, rows[i].checks, rows[i].retry);

		CU_ASSERT_EQUAL (d.step, rows[i].step);
		CU_ASSERT_EQUAL (d.limit_ms, rows[i].limit);
		CU_ASSERT_PTR_NOT_NULL (d.why);
		if (d.step != rows[i].step)
			printf ("row %zu: %s\n", i, d.why);
	}
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"decisions", test_decisions},
		{"one leader", test_one_leader},
		{"frozen and woken", test_frozen_and_woken},
		{"bytes in a buffer", test_bytes_in_a_buffer},
		{"lost answer", test_lost_answer},
		{"killed between intent and send",
		 test_killed_between_intent_and_send},
		{"killed around the report", test_killed_around_the_report},
		{"seeded schedules", test_seeded_schedules},
		{NULL, NULL},
	};

	log_init ("test_order", "", LOG_LV_ERROR);
	return t_run ("order", cases);
}
