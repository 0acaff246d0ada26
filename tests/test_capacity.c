/*
 * Numbers of endpoints: what a calm day, a burst and a reclaim ask for.
 */
#include "capacity.h"
#include "t_run.h"

static struct capacity_input
calm (void)
{
	return (struct capacity_input){.min = 1,
				       .max = 12,
				       .price_ratio = 0.22,
				       .demand = 2,
				       .domain_count = 3,
				       .on_demand = 2,
				       .reclaimable = 6,
				       .expected = 8,
				       .expected_all = 24,
				       .expected_reclaimable = 18};
}

static void
test_calm (void)
{
	struct capacity_input in = calm ();
	struct capacity_target out = capacity_for_domain (&in);

	CU_ASSERT (out.on_demand + out.reclaimable == 8 &&
		   out.reclaimable > out.on_demand);
	/* Firm ones stay until cheap ones stand in for them. */
	in.on_demand = 6;
	in.reclaimable = in.expected_reclaimable = 0;
	out = capacity_for_domain (&in);
	CU_ASSERT (out.on_demand == 6 && out.reclaimable == 6);
	in.reclaimable = 4;
	in.expected_reclaimable = 12;
	in.expected_all = 30;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 4);
}

static void
test_burst (void)
{
	struct capacity_input in = calm ();

	in.demand = 20;
	CU_ASSERT (capacity_for_domain (&in).reclaimable +
			   capacity_for_domain (&in).on_demand ==
		   12);
}

/* A reclaim with nothing cheap to be had: firm ones are bought only where the
 * rest would not do, and no more than a domain may have. */
static void
test_reclaim (void)
{
	struct capacity_input in = calm ();

	in.reclaimable = 0;
	in.expected_reclaimable = 12;
	in.demand = 4;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 2);
	in.expected_reclaimable = 0;
	in.demand = 8;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 6);
	in.demand = 100;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 12);
	/* One domain kept its cheap ones and has little room: the others buy
	 * what is short, and its cheap ones stay. */
	in.demand = 10.5;
	in.expected_reclaimable = 10;
	in.on_demand = 2;
	in.expected_all = 16;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 6);
	in.reclaimable = 10;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 2 &&
		   capacity_for_domain (&in).reclaimable == 10);
}

/* Whatever the number of domains, a reclaim of one leaves three quarters of
 * all endpoints, and no domain is without firm ones. */
static void
test_domains (void)
{
	for (uint32_t domains = 3; domains <= 9; domains++) {
		struct capacity_input in = {.min = 1,
					    .max = 30,
					    .price_ratio = 0.22,
					    .domain_count = domains,
					    .before_traffic = false};
		struct capacity_target out = capacity_for_domain (&in);

		in.on_demand = out.on_demand;
		in.reclaimable = in.expected = out.on_demand + out.reclaimable;
		in.expected_reclaimable = out.reclaimable * domains;
		in.expected_all = in.expected * domains;
		out = capacity_for_domain (&in);
		CU_ASSERT (out.on_demand >= 1);
		CU_ASSERT (out.reclaimable <= 0.26 * domains * in.expected);
		CU_ASSERT (domains < 4 || out.on_demand * 5 <= in.expected);
	}
}

static void
test_bounds (void)
{
	for (uint32_t max = 1; max < 70; max++) {
		for (uint32_t bits = 0; bits < 64; bits++) {
			struct capacity_input in = {
				.min = 1,
				.max = max,
				.price_ratio = bits & 1 ? 0.2 : 1,
				.demand = (bits >> 1 & 3) * 10.0,
				.domain_count = 3,
				.on_demand = bits & 8 ? max : 0,
				.reclaimable = bits & 16 ? max / 2 : 0,
				.expected_reclaimable = bits & 32 ? max : 0,
			};
			struct capacity_target out = capacity_for_domain (&in);

			CU_ASSERT (out.on_demand + out.reclaimable >= 1 &&
				   out.on_demand + out.reclaimable <= max);
		}
	}
}

static void
test_need (void)
{
	struct capacity_demand n = {0};
	uint64_t now_ms = 1000;

	capacity_demand_add (&n, 0, now_ms);
	for (int i = 0; i < 12; i++) /* 10 engines' work for 3 s */
		capacity_demand_add (&n, 2500, now_ms += 250);
	CU_ASSERT (n.engines > 9);
	for (int i = 0; i < 12; i++) /* 3 s of nothing */
		capacity_demand_add (&n, 0, now_ms += 250);
	CU_ASSERT (n.engines > 7);
	for (int i = 0; i < 240; i++)
		capacity_demand_add (&n, 0, now_ms += 250);
	CU_ASSERT (n.engines < 0.5);
}

/* A domain that is full of firm ones lets some go, so that cheap ones can come.
 */
static void
test_full (void)
{
	struct capacity_input in = calm ();
	struct capacity_target out;

	in.demand = 20;
	in.on_demand = 6;
	in.reclaimable = 6;
	out = capacity_for_domain (&in);
	CU_ASSERT (out.on_demand == 3 && out.reclaimable == 9);
	in.on_demand = 3;
	in.reclaimable = 9;
	out = capacity_for_domain (&in);
	CU_ASSERT (out.on_demand == 2 && out.reclaimable == 10);
}

/* Before the first request all stand; if little comes, they go within seconds,
 * and a leader that takes over keeps what is there. */
static void
test_start (void)
{
	struct capacity_demand n;
	struct capacity_input in = calm ();
	uint64_t now_ms = 1000;

	capacity_demand_init (&n, true, 12, 3, 18, now_ms);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   12);
	for (int i = 0; i < 32; i++) /* 2 engines' work for 8 s */
		capacity_demand_add (&n, 500, now_ms += 250);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   8);
	capacity_demand_init (&n, false, 12, 3, 30, now_ms);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   10);
}

/* Before the first request the firm ones make room at once: 30 of 60 places
 * are theirs, and the list may show only some of them yet. */
static void
test_before (void)
{
	struct capacity_input in = {.min = 1,
				    .max = 60,
				    .price_ratio = 0.22,
				    .demand = 54,
				    .provisional = true,
				    .domain_count = 3,
				    .before_traffic = true};

	for (in.on_demand = 0; in.on_demand <= 30; in.on_demand++) {
		struct capacity_target out = capacity_for_domain (&in);

		CU_ASSERT (out.on_demand == 9 && out.reclaimable == 51);
	}
	in.no_reclaimable = true;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 60);
}

/* A domain lost its cheap ones and gets no others: the rest keep theirs until
 * the need of all is covered again.  80 endpoints are wanted, 41 in one domain
 * stand in for what another lacks. */
static void
test_others_short (void)
{
	struct capacity_input in = {.min = 1,
				    .max = 60,
				    .price_ratio = 0.22,
				    .demand = 31,
				    .domain_count = 3,
				    .on_demand = 9,
				    .reclaimable = 42,
				    .expected = 51,
				    .expected_all = 110,
				    .expected_reclaimable = 83};

	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   51);
	in.expected_reclaimable += 27;
	in.expected_all += 27;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   36);
	/* Once fewer are ordered, the list shows all of them for a while. */
	in.expected = 36;
	in.expected_all = 108;
	in.expected_reclaimable = 81;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   36);
}

/* A leader that takes over guesses the need by what is listed; nothing is
 * ordered for a guess. */
static void
test_take_over (void)
{
	struct capacity_input in = {.min = 1,
				    .max = 60,
				    .price_ratio = 0.22,
				    .demand = 46.8,
				    .provisional = true,
				    .domain_count = 3,
				    .on_demand = 9,
				    .reclaimable = 27,
				    .expected = 36,
				    .expected_all = 156,
				    .expected_reclaimable = 105};

	CU_ASSERT (capacity_for_domain (&in).reclaimable == 27);
	in.provisional = false;
	CU_ASSERT (capacity_for_domain (&in).reclaimable == 43);
}

/* A need that moves a little with each look orders nothing while 45 boot, and
 * a burst that ends soon cancels none of them. */
static void
test_order (void)
{
	struct capacity_order o = {.count = 45, .sent_ms = 1000};
	uint64_t now_ms = 1000;
	uint32_t boot_ms = 4000;

	for (uint32_t i = 0; i < 20; i++) {
		now_ms += 250;
		CU_ASSERT (!capacity_order_due (&o, 30, i % 2 ? 43 : 48,
						boot_ms, false, now_ms));
	}
	CU_ASSERT (capacity_order_due (&o, 30, 55, boot_ms, false, now_ms));
	/* Fewer, at once only before the first request. */
	o = (struct capacity_order){.count = 45, .sent_ms = now_ms};
	CU_ASSERT (!capacity_order_due (&o, 30, 36, boot_ms, false, now_ms));
	CU_ASSERT (capacity_order_due (&o, 30, 36, boot_ms, true, now_ms));
	CU_ASSERT (!capacity_order_due (&o, 30, 36, boot_ms, false,
					now_ms + 2900));
	CU_ASSERT (
		capacity_order_due (&o, 30, 36, boot_ms, false, now_ms + 3100));
	/* What did not come is ordered again. */
	o = (struct capacity_order){.count = 45, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 30, boot_ms, 7000) == 45);
	CU_ASSERT (capacity_order_expected (&o, 30, boot_ms, 8000) == 30);
	CU_ASSERT (capacity_order_due (&o, 30, 45, boot_ms, false, 8000));
	/* What boots counts, but not beside what was reclaimed meanwhile. */
	o = (struct capacity_order){.count = 10, .had = 8, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 8, boot_ms, 2000) == 10);
	CU_ASSERT (capacity_order_expected (&o, 0, boot_ms, 2000) == 0);
	o = (struct capacity_order){.count = 5, .had = 8, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 6, boot_ms, 2000) == 5);
	/* A list that shows 9 of 30 at the start does not stand for an order.
	 */
	o = (struct capacity_order){0};
	CU_ASSERT (capacity_order_due (&o, 9, 9, boot_ms, true, 8000));
	CU_ASSERT (!capacity_order_due (&o, 9, 9, boot_ms, false, 8000));
	/* Nothing is ordered of a kind that there is not. */
	CU_ASSERT (!capacity_order_due (&o, 0, 0, boot_ms, true, 8000));
	/* The last endpoint of a small domain counts. */
	o = (struct capacity_order){0};
	CU_ASSERT (capacity_order_due (&o, 4, 5, boot_ms, false, 8000));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"calm", test_calm},
		{"burst", test_burst},
		{"reclaim", test_reclaim},
		{"domains", test_domains},
		{"bounds", test_bounds},
		{"need", test_need},
		{"start", test_start},
		{"full", test_full},
		{"before", test_before},
		{"take over", test_take_over},
		{"order", test_order},
		{"others-short", test_others_short},
		{NULL, NULL}};

	return t_run ("size", cases);
}
