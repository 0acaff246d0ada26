/*
 * What is known of requests that crash endpoints outlives a restart of all
 * relays and members: it was forgotten, and found anew at the price of three
 * more endpoints.
 */
#include <string.h>

#include "blame.h"
#include "gstate.h"
#include "t_run.h"

#define KEY 77 /* of a whole request, since it is odd */
#define CONFIRMED_MS 2100
#define START_MS 100000

static void
on_changed (uint64_t key, enum blame_change change, uint32_t endpoints,
	    void *ctx)
{
	(void)key;
	(void)change;
	(void)endpoints;
	(void)ctx;
}

static const struct blame_ops ops = {on_changed};

static void
strike (struct blame *b, uint64_t key, uint32_t times, uint64_t now_ms)
{
	for (uint32_t i = 0; i < times; i++) {
		struct blame_record r = {.key = key,
					 .what = BLAME_STRIKE,
					 .ep_hash = 10 + i,
					 .origin = 1};

		blame_merge (b, &r, 1, NULL, now_ms + i * 500);
	}
}

/* The table of a member after a restart of all, as the replicated state has it
 * after a snapshot of its own. */
static void
restart (struct blame *b, uint64_t older_ms, GArray *restored)
{
	GArray *kept = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct gstate_blame cmd = {.wall_ms = 5};
	struct gstate s, again;
	msgpack_sbuffer buf;

	gstate_init (&s);
	gstate_init (&again);
	blame_export_kept (b, kept, START_MS + CONFIRMED_MS);
	cmd.records.items = kept->data;
	cmd.records.count = kept->len;
	msgpack_sbuffer_init (&buf);
	gstate_encode (GSTATE_BLAME, &cmd, &buf);
	CU_ASSERT (gstate_apply (&s, 1, (const uint8_t *)buf.data, buf.size,
				 NULL));
	msgpack_sbuffer_clear (&buf);
	gstate_snapshot (&s, &buf);
	CU_ASSERT (gstate_restore (&again, buf.data, buf.size, NULL));
	CU_ASSERT (again.blamed->len == kept->len && again.blamed_wall_ms == 5);
	blame_finish (b);
	blame_init (b, 0, &ops, NULL);
	blame_restore (b, (const struct blame_record *)again.blamed->data,
		       again.blamed->len, older_ms, restored, START_MS * 20);
	msgpack_sbuffer_destroy (&buf);
	gstate_finish (&s);
	gstate_finish (&again);
	g_array_free (kept, TRUE);
}

static enum blame_verdict
check (struct blame *b, uint64_t now_ms)
{
	uint64_t key = KEY, culprit;

	return blame_check (b, &key, 1, &culprit, now_ms);
}

/* A barred request stays barred, and its trials are counted on. */
static void
test_bar_and_trials (void)
{
	GArray *restored =
		g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame_record trial = {
		.key = KEY, .what = BLAME_TRIAL, .trials = 3};
	struct blame member, relay;

	blame_init (&member, 0, &ops, NULL);
	strike (&member, KEY, 3, START_MS - 1000);
	blame_tick (&member, START_MS + CONFIRMED_MS);
	CU_ASSERT_EQUAL (member.barred, 1);
	blame_merge (&member, &trial, 1, NULL, START_MS + CONFIRMED_MS);
	restart (&member, 4000, restored);
	CU_ASSERT_EQUAL (member.barred, 1);
	blame_init (&relay, 9, &ops, NULL);
	CU_ASSERT_EQUAL (check (&relay, START_MS * 20), BLAME_SEND);
	blame_merge (&relay, (const struct blame_record *)restored->data,
		     restored->len, NULL, START_MS * 20);
	CU_ASSERT_EQUAL (check (&relay, START_MS * 20), BLAME_REFUSE);
	CU_ASSERT_EQUAL (check (&relay, START_MS * 20 + 100000), BLAME_REFUSE);
	blame_finish (&relay);
	blame_finish (&member);
	g_array_free (restored, TRUE);
}

/* Strikes short of a bar count on; a single one is left out. */
static void
test_strikes (void)
{
	GArray *restored =
		g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame b;

	blame_init (&b, 0, &ops, NULL);
	strike (&b, KEY, 2, START_MS);
	strike (&b, KEY + 2, 1, START_MS);
	restart (&b, 4000, restored);
	CU_ASSERT_EQUAL (blame_strikes (&b, KEY), 2);
	CU_ASSERT_EQUAL (blame_strikes (&b, KEY + 2), 0);
	blame_finish (&b);
	g_array_free (restored, TRUE);
}

/* What is known of a key by now is newer than what was kept. */
static void
test_known_keys (void)
{
	GArray *restored =
		g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame_record old = {
		.key = KEY, .what = BLAME_STRIKE, .ep_hash = 50, .origin = 1};
	struct blame b;

	blame_init (&b, 0, &ops, NULL);
	strike (&b, KEY, 2, START_MS);
	blame_restore (&b, &old, 1, 60000, restored, START_MS + 1000);
	CU_ASSERT (blame_strikes (&b, KEY) == 2 && restored->len == 0);
	blame_finish (&b);
	g_array_free (restored, TRUE);
}

/* After a stop of eleven minutes a bar is over. */
static void
test_expiry (void)
{
	GArray *restored =
		g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	struct blame b;

	blame_init (&b, 0, &ops, NULL);
	strike (&b, KEY, 3, START_MS - 1000);
	blame_tick (&b, START_MS + CONFIRMED_MS);
	restart (&b, 660000, restored);
	blame_tick (&b, START_MS * 20 + 1000);
	CU_ASSERT_EQUAL (b.barred, 0);
	blame_finish (&b);
	g_array_free (restored, TRUE);
}

/* Many keys that were struck twice, as when many endpoints crash, take no more
 * than the bound, and push out no barred one. */
static void
test_bound (void)
{
	GArray *kept = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	bool found = false;
	struct blame b;

	blame_init (&b, 0, &ops, NULL);
	strike (&b, KEY, 3, START_MS - 20000);
	blame_tick (&b, START_MS);
	CU_ASSERT_EQUAL (b.barred, 1);
	for (uint64_t k = 1; k <= 900; k++)
		strike (&b, 1000 + k, 2, START_MS);
	blame_export_kept (&b, kept, START_MS + 1000);
	CU_ASSERT (kept->len <= BLAME_KEPT_RECORDS_MAX);
	CU_ASSERT_EQUAL (kept->len, 2 * (BLAME_KEPT_KEYS_MAX - 1) + 3);
	for (guint i = 0; i < kept->len; i++)
		found = found ||
			g_array_index (kept, struct blame_record, i).key == KEY;
	CU_ASSERT (found);
	blame_finish (&b);
	g_array_free (kept, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"bar and trials", test_bar_and_trials},
		{"strikes", test_strikes},
		{"known keys", test_known_keys},
		{"expiry", test_expiry},
		{"bound", test_bound},
		{NULL, NULL}};

	return t_run ("blame_kept", cases);
}
