/*
 * Poison request detection over two entries: a request that crashes endpoints
 * is refused whichever entry it comes through, and requests that were in flight
 * beside it still run.
 */
#include <string.h>

#include <sodium.h>

#include "susp.h"
#include "t_inv.h"
#include "t_run.h"

#define NOW 1000000 /* ms */

static struct t_inv inv;
static struct bb bb[2];
static struct susp susp[2];
static uint8_t ids[8][SUSP_ID_BYTES];

static void
start (void)
{
	t_inv_init (&inv, 1, 2, 4, 1);
	for (int i = 0; i < 2; i++) {
		bb_init (&bb[i], i == 0 ? "e0" : "e1");
		bb_apply_inv (&bb[i], &inv.inv, 1);
		susp_init (&susp[i], i == 0 ? "e0" : "e1", 7);
		susp_configure (&susp[i], &inv.inv.settings);
	}
	for (int i = 0; i < 8; i++)
		susp_fingerprint ("a0", &i, sizeof i, ids[i]);
}

static void
stop (void)
{
	for (int i = 0; i < 2; i++) {
		susp_finish (&susp[i]);
		bb_finish (&bb[i]);
	}
}

/* Packs a report and delivers it to the other entry twice, as a duplicate. */
static void
send_strikes (int from, bool all, uint64_t now_ms)
{
	GArray *items = g_array_new (FALSE, TRUE, sizeof (struct susp_item));
	struct susp_msg m = {.incarnation = 7};
	struct susp_msg received;
	msgpack_sbuffer buf;
	msgpack_zone zone;

	susp_export (&susp[from], all, items, now_ms);
	g_strlcpy (m.entry, susp[from].self, sizeof m.entry);
	m.items = (struct msg_list){items->data, items->len};
	msgpack_sbuffer_init (&buf);
	msgpack_zone_init (&zone, 1024);
	msg_pack (susp_msg_fields, &m, &buf);
	CU_ASSERT_TRUE (msg_unpack (susp_msg_fields, buf.data, buf.size,
				    &received, &zone, NULL));
	susp_import (&susp[1 - from], &bb[1 - from], &received, now_ms);
	susp_import (&susp[1 - from], &bb[1 - from], &received, now_ms);
	msgpack_zone_destroy (&zone);
	msgpack_sbuffer_destroy (&buf);
	g_array_free (items, TRUE);
}

/* Each of n requests in flight at a lost endpoint gets 1/n of a strike. */
static void
test_divided_strikes (void)
{
	static const struct {
		uint32_t count;
		uint32_t in_flight;
		bool reclaimed;
		uint32_t losses;
		enum susp_verdict verdict;
	} rows[] = {
		{1, 1, false, 1, SUSP_RUN_ALONE}, /* one full strike */
		{2, 2, false, 1, SUSP_RUN_ALONE}, /* half a strike */
		{4, 4, false, 1, SUSP_CLEAN},
		{4, 4, false, 2, SUSP_RUN_ALONE}, /* 1/4 twice */
		{1, 8, false, 1, SUSP_CLEAN},     /* 7 from other entries */
		{1, 1, true, 5, SUSP_CLEAN},      /* reclaimed */
		{1, 1, false, 3, SUSP_REFUSE},
	};

	for (unsigned i = 0; i < sizeof rows / sizeof *rows; i++) {
		start ();
		for (uint32_t n = 0; n < rows[i].losses; n++)
			susp_ep_lost (&susp[0], bb[0].eps[n % 4], ids,
				      rows[i].count, rows[i].in_flight,
				      rows[i].reclaimed, NOW + n);
		CU_ASSERT_EQUAL (susp_check (&susp[0], ids[0], NOW + 10),
				 rows[i].verdict);
		CU_ASSERT_EQUAL (susp_check (&susp[0], ids[7], NOW + 10),
				 SUSP_CLEAN);
		stop ();
	}
}

/*
 * A client retries a poison request through alternating entries.  It is refused
 * at the limit, and the request that was in flight beside it at first is
 * cleared once it completes.
 */
static void
test_across_entries (void)
{
	struct bb_ep *ep;

	start ();
	susp_ep_lost (&susp[0], bb[0].eps[3], ids, 2, 2, false, NOW);
	send_strikes (0, false, NOW + 5);
	for (int n = 0; n < 3; n++) {
		int e = (n + 1) % 2;
		uint64_t now = NOW + (uint64_t)n * 1000;

		CU_ASSERT_EQUAL (susp_check (&susp[e], ids[0], now + 100),
				 SUSP_RUN_ALONE);
		ep = bb[e].eps[n];
		susp_started (&susp[e], ids[0], ep, true, now + 100);
		CU_ASSERT (ep->exclusive_until_ms > now + 100);
		CU_ASSERT_EQUAL (susp_check (&susp[e], ids[0], now + 110),
				 SUSP_WAIT);
		send_strikes (e, false, now + 110);
		/* The other entry holds it back and reserves the endpoint. */
		CU_ASSERT_EQUAL (susp_check (&susp[1 - e], ids[0], now + 120),
				 SUSP_WAIT);
		CU_ASSERT (bb[1 - e].eps[n]->exclusive_until_ms > now + 120);
		susp_ep_lost (&susp[e], ep, ids, 1, 1, false, now + 130);
		send_strikes (e, false, now + 140);
		CU_ASSERT_EQUAL (bb[1 - e].eps[n]->exclusive_until_ms, 0);
		CU_ASSERT_EQUAL (ep->exclusive_until_ms, 0);
	}
	CU_ASSERT_EQUAL (susp_check (&susp[0], ids[0], NOW + 3200),
			 SUSP_REFUSE);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[0], NOW + 3200),
			 SUSP_REFUSE);
	/* The other request of the first loss runs alone and completes. */
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[1], NOW + 3200),
			 SUSP_RUN_ALONE);
	susp_started (&susp[1], ids[1], bb[1].eps[3], true, NOW + 3200);
	susp_ended (&susp[1], ids[1], true, NOW + 3300);
	send_strikes (1, false, NOW + 3310);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[1], NOW + 3400), SUSP_CLEAN);
	CU_ASSERT_EQUAL (susp_check (&susp[0], ids[1], NOW + 3400), SUSP_CLEAN);
	stop ();
}

/*
 * Identical requests run through both entries when an endpoint is lost, and
 * each entry sees only its own.  Both report the loss, but it counts as one
 * strike at most; a later loss of the same endpoint counts again.
 */
static void
test_same_loss (void)
{
	static const uint8_t identical[2][SUSP_ID_BYTES];

	start ();
	inv.inv.settings.suspect_strikes = 2;
	for (int i = 0; i < 2; i++) {
		susp_configure (&susp[i], &inv.inv.settings);
		susp_ep_lost (&susp[i], bb[i].eps[0], identical, 2, 2, false,
			      NOW + (uint64_t)i * 300);
	}
	send_strikes (0, false, NOW + 400);
	send_strikes (1, false, NOW + 400);
	/* A late duplicate. */
	send_strikes (0, true, NOW + 3000);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_EQUAL (
			susp_check (&susp[i], identical[0], NOW + 3000),
			SUSP_RUN_ALONE);
	susp_ep_lost (&susp[1], bb[1].eps[0], identical, 1, 1, false,
		      NOW + 3000);
	send_strikes (1, false, NOW + 3010);
	for (int i = 0; i < 2; i++)
		CU_ASSERT_EQUAL (
			susp_check (&susp[i], identical[0], NOW + 3020),
			SUSP_REFUSE);
	stop ();
}

/*
 * A peer that restarts gets nothing from a report of changes and everything
 * from a full one.  Strikes expire after suspect_ttl_s.
 */
static void
test_full_report_and_expiry (void)
{
	start ();
	susp_ep_lost (&susp[0], bb[0].eps[0], ids, 1, 1, false, NOW);
	susp_ep_lost (&susp[0], bb[0].eps[1], ids, 1, 1, false, NOW + 1);
	susp_ep_lost (&susp[0], bb[0].eps[2], ids, 1, 1, false, NOW + 2);
	send_strikes (0, false, NOW + 3);
	susp_finish (&susp[1]);
	susp_init (&susp[1], "e1", 8);
	susp_configure (&susp[1], &inv.inv.settings);
	send_strikes (0, false, NOW + 10);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[0], NOW + 20), SUSP_CLEAN);
	send_strikes (0, true, NOW + 30);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[0], NOW + 40), SUSP_REFUSE);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[0], NOW + 299999),
			 SUSP_REFUSE);
	CU_ASSERT_EQUAL (susp_check (&susp[1], ids[0], NOW + 300002),
			 SUSP_CLEAN);
	susp_expire (&susp[1], NOW + 300002);
	CU_ASSERT_EQUAL (g_hash_table_size (susp[1].requests), 0);
	stop ();
}

/* The account and the body are separated in the fingerprint. */
static void
test_fingerprint (void)
{
	uint8_t a[SUSP_ID_BYTES];
	uint8_t b[SUSP_ID_BYTES];

	susp_fingerprint ("ab", "c", 1, a);
	susp_fingerprint ("a", "bc", 2, b);
	CU_ASSERT (memcmp (a, b, sizeof a) != 0);
	susp_fingerprint ("ab", "c", 1, b);
	CU_ASSERT_EQUAL (memcmp (a, b, sizeof a), 0);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"strikes are divided", test_divided_strikes},
		{"across entries", test_across_entries},
		{"same loss seen by two entries", test_same_loss},
		{"full report and expiry", test_full_report_and_expiry},
		{"fingerprint", test_fingerprint},
		{NULL, NULL},
	};

	if (sodium_init () < 0)
		return 1;
	return t_run ("susp", cases);
}
