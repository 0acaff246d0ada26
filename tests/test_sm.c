/*
 * The replicated state machine: one table of steps a subject, and seeded logs
 * for what must hold of any log.
 */
#include <stdio.h>
#include <string.h>

#include "t_run.h"
#include "t_sm.h"

#define HASH "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define ACCOUNT_A "{\"name\":\"a\"}"
#define KEY_K "{\"id\":\"k\",\"account\":\"a\",\"hash\":\"" HASH "\"}"
#define HOUR_MS 3600000U

static void
put_config (struct t_sm *t, uint64_t base, const char *id,
	    struct inv_change *changes, uint32_t count)
{
	struct sm_config c = {.base_revision = base};

	g_strlcpy (c.change_id, id, sizeof c.change_id);
	c.delta.changes.items = changes;
	c.delta.changes.count = count;
	t_sm_put (t, SM_CONFIG, &c);
}

static void
put_object (struct t_sm *t, uint64_t base, const char *id,
	    enum inv_section section, const char *name, const char *json)
{
	struct inv_change c = t_sm_set (section, name, json);

	put_config (t, base, id, &c, 1);
}

/* Each step is one change; the object's JSON "" removes it. */
static void
test_config_steps (void)
{
	static const struct {
		uint64_t base;
		const char *id;
		enum inv_section section;
		const char *name, *json;
		enum err_kind kind;
		uint64_t revision;
	} steps[] = {
		{0, "one", INV_ACCOUNTS, "a", ACCOUNT_A, ERR_NONE, 1},
		{0, "two", INV_ACCOUNTS, "b", "{\"name\":\"b\"}", ERR_CONFLICT,
		 1},
		{1, "three", INV_KEYS, "k", KEY_K, ERR_NONE, 2},
		/* resends get the first answer, whatever came since */
		{0, "one", INV_ACCOUNTS, "a", ACCOUNT_A, ERR_NONE, 1},
		{0, "two", INV_ACCOUNTS, "b", "{\"name\":\"b\"}", ERR_CONFLICT,
		 1},
		/* invalid: the key's account would dangle; the JSON is bad */
		{2, "four", INV_ACCOUNTS, "a", "", ERR_SETTINGS, 2},
		{2, "five", INV_ACCOUNTS, "c", "{\"name\":", ERR_SETTINGS, 2},
		{2, "six", INV_ACCOUNTS, "c", "{\"name\":\"d\"}", ERR_SETTINGS,
		 2},
		{2, "", INV_ACCOUNTS, "b", "{\"name\":\"b\"}", ERR_BAD_REQUEST,
		 2},
		{3, "seven", INV_ACCOUNTS, "b", "{\"name\":\"b\"}",
		 ERR_CONFLICT, 2},
		{2, "eight", INV_ACCOUNTS, "b", "{\"name\":\"b\"}", ERR_NONE,
		 3},
	};
	struct t_sm t;

	t_sm_init (&t);
	for (size_t i = 0; i < G_N_ELEMENTS (steps); i++) {
		put_object (&t, steps[i].base, steps[i].id, steps[i].section,
			    steps[i].name, steps[i].json);
		CU_ASSERT_EQUAL (t.r.kind, steps[i].kind);
		CU_ASSERT_EQUAL (t.r.revision, steps[i].revision);
		if (t.r.kind != steps[i].kind)
			printf ("step %s: %s\n", steps[i].id, t.r.why);
	}
	CU_ASSERT_EQUAL (sm_revision (t.sm), 3);
	t_sm_finish (&t);
}

static void
put_withdraw (struct t_sm *t, const char *id)
{
	struct sm_withdraw w = {.wall_ms = 1};

	g_strlcpy (w.key_id, id, sizeof w.key_id);
	t_sm_put (t, SM_KEY_WITHDRAW, &w);
}

static void
test_withdrawn_key_stays_withdrawn (void)
{
	struct t_sm t;
	struct inv_change both[] = {
		t_sm_set (INV_ACCOUNTS, "b", "{\"name\":\"b\"}"),
		t_sm_set (INV_KEYS, "k", KEY_K),
	};

	t_sm_init (&t);
	put_object (&t, 0, "1", INV_ACCOUNTS, "a", ACCOUNT_A);
	put_object (&t, 1, "2", INV_KEYS, "k", KEY_K);
	put_withdraw (&t, "k");
	CU_ASSERT_EQUAL (t.r.kind, ERR_NONE);
	CU_ASSERT_EQUAL (t.r.revision, 3);
	CU_ASSERT_PTR_NULL (
		g_tree_lookup (sm_doc (t.sm)->objects[INV_KEYS], "k"));
	put_withdraw (&t, "k");
	CU_ASSERT_EQUAL (t.r.revision, 3);
	put_config (&t, 3, "3", both, 2);
	CU_ASSERT_EQUAL (t.r.kind, ERR_FORBIDDEN);
	CU_ASSERT_EQUAL (sm_revision (t.sm), 3);
	CU_ASSERT_PTR_NULL (
		g_tree_lookup (sm_doc (t.sm)->objects[INV_ACCOUNTS], "b"));
	/* one that was never granted cannot be granted afterwards either */
	put_withdraw (&t, "later");
	CU_ASSERT_EQUAL (t.r.revision, 3);
	CU_ASSERT_TRUE (sm_withdrawn (t.sm, "later"));
	put_withdraw (&t, "");
	CU_ASSERT_EQUAL (t.r.kind, ERR_BAD_REQUEST);
	t_sm_finish (&t);
}

/* An entry that applies the delta has the same document as one told whole. */
static void
test_delta_since_any_revision (void)
{
	struct t_sm t;
	struct inv_doc docs[12];
	char name[16], json[64];

	t_sm_init (&t);
	for (unsigned i = 0; i < G_N_ELEMENTS (docs); i++) {
		inv_doc_copy (&docs[i], sm_doc (t.sm));
		snprintf (name, sizeof name, "n%u", i % 5);
		snprintf (json, sizeof json, "{\"name\":\"%s\",\"weight\":%u}",
			  name, i + 1);
		put_object (&t, i, json, INV_ACCOUNTS, name,
			    i % 7 == 6 ? "" : json);
		CU_ASSERT_EQUAL (t.r.kind, ERR_NONE);
	}
	for (unsigned i = 0; i < G_N_ELEMENTS (docs); i++) {
		GArray *c =
			g_array_new (FALSE, FALSE, sizeof (struct inv_change));
		struct inv_delta d;

		CU_ASSERT_TRUE (sm_delta_since (t.sm, i, c));
		d.changes.items = c->data;
		d.changes.count = c->len;
		CU_ASSERT_TRUE (inv_doc_apply (&docs[i], &d, NULL));
		CU_ASSERT_EQUAL (memcmp (docs[i].digest, sm_doc (t.sm)->digest,
					 INV_DIGEST_BYTES),
				 0);
		g_array_free (c, TRUE);
		inv_doc_finish (&docs[i]);
	}
	CU_ASSERT_FALSE (sm_delta_since (t.sm, sm_revision (t.sm) + 1, NULL));
	t_sm_finish (&t);
}

static void
test_order_steps (void)
{
	static const struct {
		enum sm_kind kind;
		uint64_t term;
		const char *id, *endpoint;
		uint8_t what; /* kind of order, or its state */
		enum err_kind answer;
		uint64_t fence;
		uint8_t state;
	} steps[] = {
		{SM_ORDER, 3, "o1", "x", SM_ORDER_RELEASE, ERR_NONE, 3,
		 SM_ORDER_PENDING},
		{SM_ORDER, 3, "o1", "x", SM_ORDER_RELEASE, ERR_NONE, 3,
		 SM_ORDER_PENDING},
		{SM_ORDER, 3, "o1", "y", SM_ORDER_RELEASE, ERR_CONFLICT, 3,
		 SM_ORDER_PENDING},
		{SM_ORDER, 3, "o1", "x", SM_ORDER_LOAD, ERR_CONFLICT, 3,
		 SM_ORDER_PENDING},
		/* a later leader sends the same order under its own term */
		{SM_ORDER, 5, "o1", "x", SM_ORDER_RELEASE, ERR_NONE, 5,
		 SM_ORDER_PENDING},
		{SM_ORDER_DONE, 5, "o1", "", SM_ORDER_PENDING, ERR_BAD_REQUEST,
		 5, SM_ORDER_PENDING},
		{SM_ORDER_DONE, 5, "o1", "x", SM_ORDER_DONE_OK, ERR_NONE, 5,
		 SM_ORDER_DONE_OK},
		/* the first outcome stands */
		{SM_ORDER_DONE, 6, "o1", "x", SM_ORDER_REFUSED, ERR_NONE, 5,
		 SM_ORDER_DONE_OK},
		{SM_ORDER, 6, "o1", "x", SM_ORDER_RELEASE, ERR_NONE, 5,
		 SM_ORDER_DONE_OK},
		{SM_ORDER, 6, "", "x", SM_ORDER_RELEASE, ERR_BAD_REQUEST, 5,
		 SM_ORDER_DONE_OK},
		{SM_ORDER, 6, "o2", "x", 9, ERR_BAD_REQUEST, 5,
		 SM_ORDER_DONE_OK},
		{SM_ORDER_DONE, 6, "o9", "x", SM_ORDER_DONE_OK, ERR_NOT_FOUND,
		 5, SM_ORDER_DONE_OK},
	};
	struct t_sm t;

	t_sm_init (&t);
	for (size_t i = 0; i < G_N_ELEMENTS (steps); i++) {
		struct sm_order o = {.kind = steps[i].what};
		struct sm_order_done d = {.state = steps[i].what};
		const struct sm_order_rec *rec;

		g_strlcpy (o.id, steps[i].id, sizeof o.id);
		g_strlcpy (d.id, steps[i].id, sizeof d.id);
		g_strlcpy (o.endpoint, steps[i].endpoint, sizeof o.endpoint);
		t.term = steps[i].term;
		t_sm_put (&t, steps[i].kind,
			  steps[i].kind == SM_ORDER ? (void *)&o : (void *)&d);
		CU_ASSERT_EQUAL (t.r.kind, steps[i].answer);
		rec = sm_order_find (t.sm, "o1");
		CU_ASSERT_PTR_NOT_NULL_FATAL (rec);
		if (rec == NULL)
			return;
		CU_ASSERT_EQUAL (rec->fence, steps[i].fence);
		CU_ASSERT_EQUAL (rec->state, steps[i].state);
	}
	t_sm_finish (&t);
}

static void
put_usage (struct t_sm *t, const char *instance, uint64_t inc,
	   uint64_t window_ms, uint64_t requests, uint64_t closed_before_ms)
{
	struct sm_usage_row row = {.window_ms = window_ms,
				   .account = "a",
				   .klass = "c",
				   .n = {.requests = requests,
					 .completion_tokens = requests * 10}};
	struct sm_usage u = {.incarnation = inc,
			     .closed_before_ms = closed_before_ms,
			     .rows = {.items = &row, .count = 1}};

	g_strlcpy (u.instance, instance, sizeof u.instance);
	t_sm_put (t, SM_USAGE, &u);
}

static void
put_seal (struct t_sm *t, uint64_t window_ms, const char *report_id)
{
	struct sm_seal s = {.window_ms = window_ms, .length_ms = 60000};

	g_strlcpy (s.report_id, report_id, sizeof s.report_id);
	t_sm_put (t, SM_WINDOW_SEAL, &s);
}

/* Requests of account a in a sealed window: its own, and late ones. */
static void
check_window (const struct t_sm *t, uint64_t window_ms, uint64_t requests,
	      uint64_t late)
{
	const struct sm_window *w = sm_window_find (t->sm, window_ms);
	const struct sm_figure *f;

	CU_ASSERT_PTR_NOT_NULL_FATAL (w);
	if (w == NULL)
		return;
	if (requests == 0 && late == 0) {
		CU_ASSERT_EQUAL (w->figures.count, 0);
		return;
	}
	CU_ASSERT_EQUAL_FATAL (w->figures.count, 1);
	f = w->figures.items;
	CU_ASSERT_EQUAL (f->n.requests, requests);
	CU_ASSERT_EQUAL (f->n.completion_tokens, requests * 10);
	CU_ASSERT_EQUAL (f->late.requests, late);
	CU_ASSERT_EQUAL (f->late.completion_tokens, late * 10);
}

static void
test_usage_window (void)
{
	struct t_sm t;
	struct sm_reported rep = {.window_ms = 100, .report_id = "r1"};

	t_sm_init (&t);
	put_usage (&t, "e1", 1, 100, 5, 0);
	put_usage (&t, "e1", 1, 100, 5, 0); /* a repeat */
	put_usage (&t, "e1", 1, 100, 3, 0); /* an older one, late */
	put_usage (&t, "e1", 2, 100, 2, 0); /* restarted */
	put_usage (&t, "e2", 1, 100, 1, 0);
	put_usage (&t, "e2", 1, 200, 4, 0);
	CU_ASSERT_EQUAL (sm_window_open (t.sm), 100);
	put_seal (&t, 200, "r2");
	CU_ASSERT_EQUAL (t.r.kind, ERR_CONFLICT); /* 100 comes first */
	put_seal (&t, 100, "r1");
	check_window (&t, 100, 8, 0);
	/* late counts: the sealed figures stay, the next window carries them */
	put_usage (&t, "e1", 1, 100, 7, 0);
	put_usage (&t, "e1", 1, 100, 7, 0);
	check_window (&t, 100, 8, 0);
	put_seal (&t, 100, "other"); /* a new leader's seal changes nothing */
	CU_ASSERT_EQUAL (t.r.kind, ERR_NONE);
	CU_ASSERT_STRING_EQUAL (sm_window_find (t.sm, 100)->report_id, "r1");
	put_seal (&t, 200, "r2");
	check_window (&t, 200, 4, 2);
	put_seal (&t, 300, "r3");
	check_window (&t, 300, 0, 0);
	put_seal (&t, 250, "r4");
	CU_ASSERT_EQUAL (t.r.kind, ERR_CONFLICT);
	g_strlcpy (rep.report_id, "r9", sizeof rep.report_id);
	t_sm_put (&t, SM_WINDOW_REPORTED, &rep);
	CU_ASSERT_EQUAL (t.r.kind, ERR_CONFLICT);
	g_strlcpy (rep.report_id, "r1", sizeof rep.report_id);
	t_sm_put (&t, SM_WINDOW_REPORTED, &rep);
	CU_ASSERT_EQUAL (t.r.kind, ERR_NONE);
	CU_ASSERT_TRUE (sm_window_find (t.sm, 100)->reported);
	rep.window_ms = 900;
	t_sm_put (&t, SM_WINDOW_REPORTED, &rep);
	CU_ASSERT_EQUAL (t.r.kind, ERR_NOT_FOUND);
	t_sm_finish (&t);
}

/* Counters that a source closed are dropped, and repeats still ignored. */
static void
test_usage_closed_windows (void)
{
	struct t_sm t;

	t_sm_init (&t);
	put_usage (&t, "e1", 1, 100, 5, 0);
	put_usage (&t, "e1", 1, 200, 1, 200); /* 100 is final */
	put_seal (&t, 100, "r1");
	check_window (&t, 100, 5, 0);
	put_usage (&t, "e1", 1, 100, 5, 0); /* by way of a peer's mirror */
	put_seal (&t, 200, "r2");
	check_window (&t, 200, 1, 0);
	/* past the horizon a count is refused and said to be */
	put_usage (&t, "e2", 1, 4ULL * HOUR_MS, 1, 0);
	put_seal (&t, 4ULL * HOUR_MS, "r3");
	put_usage (&t, "e3", 1, 200, 9, 0);
	CU_ASSERT_EQUAL (t.r.dropped, 1);
	t_sm_finish (&t);
}

/* A command like those that the daemons propose, from a small name space. */
static void
random_command (struct t_sm *t, GRand *r)
{
	char name[16], json[64];
	struct sm_claim c;
	struct sm_order o = {.kind = SM_ORDER_RELEASE};
	struct sm_order_done d = {.state = SM_ORDER_DONE_OK};
	uint64_t now = 1000000 + t->index * 1000;

	snprintf (name, sizeof name, "n%d", g_rand_int_range (r, 0, 20));
	snprintf (json, sizeof json, "{\"name\":\"%s\",\"weight\":%d}", name,
		  g_rand_int_range (r, 1, 9));
	c = t_sm_claim (name, (uint8_t)g_rand_int_range (r, 0, 2), "e1",
			(uint64_t)g_rand_int_range (r, 1, 3),
			(uint64_t)g_rand_int_range (r, 1, 4), now);
	g_strlcpy (o.id, name, sizeof o.id);
	g_strlcpy (d.id, name, sizeof d.id);
	t->term += g_rand_int_range (r, 0, 50) == 0;
	switch (g_rand_int_range (r, 0, 8)) {
	case 0:
		put_object (t, sm_revision (t->sm), json, INV_ACCOUNTS, name,
			    json);
		break;
	case 1:
		put_withdraw (t, name);
		break;
	case 2:
		t_sm_put (t, SM_CLAIM, &c);
		break;
	case 3:
		t_sm_claim_done (t, &c,
				 (enum sm_outcome)g_rand_int_range (r, 1, 4),
				 200, json);
		break;
	case 4:
		t_sm_put (t, SM_ORDER, &o);
		break;
	case 5:
		t_sm_put (t, SM_ORDER_DONE, &d);
		break;
	case 6:
		put_usage (t, name, 1, t->index / 50 * 60000 + 60000,
			   (uint64_t)g_rand_int_range (r, 0, 100),
			   g_rand_boolean (r) ? t->index / 50 * 60000 : 0);
		break;
	default:
		if (t->index > 100)
			put_seal (t, (t->index / 50 - 1) * 60000, name);
		break;
	}
}

static bool
restored (struct t_sm *to, const struct t_sm *from)
{
	msgpack_sbuffer buf;
	struct err e = {.kind = ERR_NONE};
	bool ok;

	msgpack_sbuffer_init (&buf);
	sm_snapshot (from->sm, &buf);
	ok = sm_restore (to->sm, buf.data, buf.size, &e);
	if (!ok)
		printf ("restore: %s\n", e.msg);
	msgpack_sbuffer_destroy (&buf);
	to->index = from->index;
	to->term = from->term;
	return ok;
}

/* What a field missing from the snapshot's tables would change unseen. */
static void
check_orders_equal (const struct sm *a, const struct sm *b)
{
	GPtrArray *x = g_ptr_array_new (), *y = g_ptr_array_new ();

	sm_orders (a, false, x);
	sm_orders (b, false, y);
	CU_ASSERT (x->len > 0 && x->len == y->len);
	for (guint i = 0; i < MIN (x->len, y->len); i++)
		CU_ASSERT_EQUAL (memcmp (x->pdata[i], y->pdata[i],
					 sizeof (struct sm_order_rec)),
				 0);
	g_ptr_array_free (x, TRUE);
	g_ptr_array_free (y, TRUE);
}

/*
 * Three machines see one seeded log: one whole, one restored from a snapshot
 * now and then, one restored once.  Their snapshots are equal at the end.
 */
static void
test_equal_logs_give_equal_states (void)
{
	for (guint32 seed = 1; seed <= 5; seed++) {
		struct t_sm t[3];
		GRand *r[3];

		for (int m = 0; m < 3; m++) {
			t_sm_init (&t[m]);
			r[m] = g_rand_new_with_seed (seed);
		}
		for (int i = 0; i < 600; i++) {
			for (int m = 0; m < 3; m++)
				random_command (&t[m], r[m]);
			CU_ASSERT_EQUAL (t[0].r.kind, t[1].r.kind);
			if (i % 97 == 96 || i == 300) {
				struct t_sm next;

				t_sm_init (&next);
				CU_ASSERT_TRUE (restored (&next, &t[1]));
				t_sm_finish (&t[1]);
				t[1] = next;
			}
		}
		CU_ASSERT_TRUE (t_sm_equal (t[0].sm, t[1].sm));
		CU_ASSERT_TRUE (t_sm_equal (t[0].sm, t[2].sm));
		CU_ASSERT (sm_revision (t[0].sm) > 20);
		check_orders_equal (t[0].sm, t[1].sm);
		for (int m = 0; m < 3; m++) {
			t_sm_finish (&t[m]);
			g_rand_free (r[m]);
		}
	}
}

/* No input stops the machine or leaves it half changed. */
static void
test_bad_input (void)
{
	struct t_sm t, before;
	msgpack_sbuffer cmd, snap;
	struct sm_claim c = t_sm_claim ("k", 1, "e1", 1, 1, 10);
	struct err e = {.kind = ERR_NONE};

	t_sm_init (&t);
	t_sm_init (&before);
	put_object (&t, 0, "1", INV_ACCOUNTS, "a", ACCOUNT_A);
	t_sm_put (&t, SM_CLAIM, &c);
	msgpack_sbuffer_init (&cmd);
	msgpack_sbuffer_init (&snap);
	msg_pack (sm_claim_fields, &c, &cmd);
	for (size_t n = 0; n < cmd.size; n++) {
		sm_apply (t.sm, ++t.index, 1, SM_CLAIM, cmd.data, n, &t.r);
		CU_ASSERT_EQUAL (t.r.kind, ERR_PROTOCOL);
	}
	sm_apply (t.sm, ++t.index, 1, 99, cmd.data, cmd.size, &t.r);
	CU_ASSERT_EQUAL (t.r.kind, ERR_PROTOCOL);
	sm_apply (t.sm, t.index, 1, SM_CLAIM, cmd.data, cmd.size, &t.r);
	CU_ASSERT_EQUAL (t.r.kind, ERR_INTERNAL);
	sm_snapshot (t.sm, &snap);
	CU_ASSERT_TRUE (restored (&before, &t));
	for (size_t n = 0; n < snap.size; n++) {
		CU_ASSERT_FALSE (sm_restore (t.sm, snap.data, n, &e));
		CU_ASSERT_EQUAL (e.kind, ERR_CORRUPT);
	}
	CU_ASSERT_TRUE (t_sm_equal (t.sm, before.sm));
	msgpack_sbuffer_destroy (&cmd);
	msgpack_sbuffer_destroy (&snap);
	t_sm_finish (&before);
	t_sm_finish (&t);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"configuration steps", test_config_steps},
		{"withdrawn key stays withdrawn",
		 test_withdrawn_key_stays_withdrawn},
		{"delta since any revision", test_delta_since_any_revision},
		{"order steps", test_order_steps},
		{"usage window", test_usage_window},
		{"usage closed windows", test_usage_closed_windows},
		{"equal logs give equal states",
		 test_equal_logs_give_equal_states},
		{"bad input", test_bad_input},
		{NULL, NULL},
	};

	return t_run ("sm", cases);
}
