/*
 * Estimates of the speed of engines.
 */
#include "fleet_speed.h"
#include "place.h"
#include "speed.h"
#include "t_fleet.h"
#include "t_run.h"

/* A short stream says nothing about its engine. */
static void
test_measure (void)
{
	CU_ASSERT (speed_measure (1000, 1200, 11) == 20);
	CU_ASSERT (speed_measure (1000, 1200, SPEED_MIN_EVENTS - 1) == 0);
	CU_ASSERT (speed_measure (1000, 1000, 11) == 0);
}

/* Streams of a busy engine pause longer; its estimate stays near its own pace,
 * and one stream that looks too fast doesn't decide alone. */
static void
test_busy_engine (void)
{
	struct speed s = {0};

	for (int i = 0; i < 40; i++)
		speed_add (&s, i % 4 == 0 ? 20 : 60);
	CU_ASSERT (s.gap_ms >= 20 && s.gap_ms < 24);
	speed_add (&s, 2);
	CU_ASSERT (s.gap_ms > 10);
	for (int i = 0; i < 200; i++)
		speed_add (&s, 80);
	CU_ASSERT (s.gap_ms == 80);
}

/* Each change is told once; an engine that is unknown counts as usual. */
static void
test_announce (void)
{
	struct speed s = {0}, peer = {0};

	CU_ASSERT (!speed_announce_due (&s));
	speed_add (&s, 40);
	CU_ASSERT (speed_announce_due (&s) && !speed_announce_due (&s));
	speed_merge (&peer, 40);
	CU_ASSERT (peer.gap_ms == 40 && !speed_announce_due (&peer));
	CU_ASSERT (speed_slowness (&peer, 20) == 2);
	CU_ASSERT (speed_slowness (&peer, 0) == 1);
	CU_ASSERT (speed_slowness (&(struct speed){0}, 20) == 1);
	CU_ASSERT (speed_misses_gap (&peer, 150) &&
		   !speed_misses_gap (&peer, 600) &&
		   !speed_misses_gap (&(struct speed){0}, 150));
}

/* The prefill rate settles where one measurement in four is faster, also while
 * most prompts wait for others. */
static void
test_prefill_rate (void)
{
	GRand *rand = g_rand_new_with_seed (5);
	double per_ms = 0;

	for (int i = 0; i < 4000; i++) {
		double wait_ms = i % 2 == 0 ? 0 : 200;
		double rate = g_rand_double_range (rand, 100, 120);

		per_ms =
			speed_add_prefill (per_ms, 8000, 8000 / rate + wait_ms);
	}
	CU_ASSERT (per_ms > 95 && per_ms < 120);
	CU_ASSERT (speed_add_prefill (per_ms, 100, 1) == per_ms);
	g_rand_free (rand);
}

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 400,
				      .is_engine = true,
				      .slots = 24};

/* Streams that need short pauses were sent to engines that pause for 250 ms
 * while they prefill; with known speeds hardly any is, and the short lane holds
 * fast engines. */
static void
test_placement (void)
{
	struct place_relay self = {"d0", 7, 64};
	uint32_t slow_before = 0, slow_after = 0, lane = 0;
	struct fleet f;

	t_fleet_init (&f, 60, 0, 7);
	for (int round = 0; round < 2; round++) {
		for (uint32_t i = 0; i < 400; i++) {
			struct dia_segment own = {i + 1, 1100};
			struct place_req req = {.service = &service,
						.segments = &own,
						.segment_count = 1,
						.prompt_tokens = 1100,
						.max_backlog_ms = 150,
						.gap_target_ms = 150,
						.random = i * 7919};
			struct place_result v =
				place_choose (&f, &self, &req, 1000);

			CU_ASSERT_FATAL (v.ep != NULL);
			*(round == 0 ? &slow_before : &slow_after) +=
				fleet_find (&f, v.ep->info.id)->ep_hash % 3 ==
				0;
		}
		for (guint i = 0; i < f.eps->len; i++) {
			struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

			fleet_add_speed (ep, ep->ep_hash % 3 == 0 ? 42 : 17);
		}
		fleet_compare_speeds (&f);
		place_assign_lanes (&f);
	}
	for (guint i = 0; i < f.eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

		lane += ep->short_lane && ep->ep_hash % 3 == 0;
	}
	CU_ASSERT (slow_before > 40 && slow_after == 0 && lane == 0);
	fleet_finish (&f);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"measurement", test_measure},
		{"busy engine", test_busy_engine},
		{"announcements", test_announce},
		{"prefill rate", test_prefill_rate},
		{"placement", test_placement},
		{NULL, NULL},
	};

	return t_run ("speed", cases);
}
