/*
 * Number of endpoints under low load, in a burst and after a reclaim.
 */
#include "capacity.h"
#include "t_run.h"

static struct capacity_input
low_load (void)
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
test_low_load (void)
{
	struct capacity_input in = low_load ();
	struct capacity_target out = capacity_for_domain (&in);

	CU_ASSERT (out.on_demand + out.reclaimable == 8 &&
		   out.reclaimable > out.on_demand);
	/* On-demand endpoints stay until reclaimable ones replace them. */
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
	struct capacity_input in = low_load ();

	in.demand = 20;
	CU_ASSERT (capacity_for_domain (&in).reclaimable +
			   capacity_for_domain (&in).on_demand ==
		   12);
}

/* After a reclaim, with no reclaimable capacity available, on-demand endpoints
 * are ordered only if the others can't meet the demand, and at most the maximum
 * of a domain. */
static void
test_reclaim (void)
{
	struct capacity_input in = low_load ();

	in.reclaimable = 0;
	in.expected_reclaimable = 12;
	in.demand = 4;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 2);
	in.expected_reclaimable = 0;
	in.demand = 8;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 6);
	in.demand = 100;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 12);
	/* One domain kept its reclaimable endpoints and has little room: the
	 * others order what is missing, and its reclaimable ones stay. */
	in.demand = 10.5;
	in.expected_reclaimable = 10;
	in.on_demand = 2;
	in.expected_all = 16;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 6);
	in.reclaimable = in.reclaimable_expected = 10;
	CU_ASSERT (capacity_for_domain (&in).on_demand == 2 &&
		   capacity_for_domain (&in).reclaimable == 10);
}

/* A domain that was reclaimed has on-demand endpoints, and reclaimable ones are
 * granted again and boot when the next burst comes.  They are not replaced by
 * on-demand ones, which boot as long and cost more. */
static void
test_burst_after_reclaim (void)
{
	struct capacity_input in = {.min = 1,
				    .max = 60,
				    .price_ratio = 0.22,
				    .demand = 103,
				    .domain_count = 3,
				    .on_demand = 34,
				    .reclaimable = 0,
				    .expected = 60,
				    .reclaimable_expected = 26,
				    .expected_all = 180,
				    .expected_reclaimable = 128};
	struct capacity_target out = capacity_for_domain (&in);

	CU_ASSERT (out.on_demand == 34 && out.reclaimable == 26);
}

/* With any number of domains, a reclaim of one leaves three quarters of all
 * endpoints, and each domain has on-demand ones. */
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
test_demand (void)
{
	struct capacity_demand n = {0};
	uint64_t now_ms = 1000;

	capacity_demand_add (&n, 0, now_ms);
	for (int i = 0; i < 12; i++) /* work for 10 engines, 3 s */
		capacity_demand_add (&n, 2500, now_ms += 250);
	CU_ASSERT (n.engines > 9);
	for (int i = 0; i < 12; i++) /* no work, 3 s */
		capacity_demand_add (&n, 0, now_ms += 250);
	CU_ASSERT (n.engines > 7);
	for (int i = 0; i < 240; i++)
		capacity_demand_add (&n, 0, now_ms += 250);
	CU_ASSERT (n.engines < 0.5);
}

/* Clients whose requests were lost with all relays return when their time
 * limits pass, all within half a second.  Endpoints ordered for that would boot
 * long after it. */
static void
test_returning_clients (void)
{
	struct capacity_demand n;
	struct capacity_input in = low_load ();
	uint64_t now_ms = 1000;

	in.max = 60;
	capacity_demand_init (&n, false, 60, 3, 108, 4000, now_ms);
	for (int i = 0; i < 24; i++) /* work for 35 engines, 6 s */
		capacity_demand_add (&n, 35 * 250, now_ms += 250);
	for (int i = 0; i < 2; i++) /* for 95, half a second */
		capacity_demand_add (&n, 95 * 250, now_ms += 250);
	CU_ASSERT (n.engines < 35 * 1.5);
	/* A burst is followed before an endpoint has booted. */
	for (int i = 0; i < 14; i++)
		capacity_demand_add (&n, 95 * 250, now_ms += 250);
	in.demand = n.engines;
	CU_ASSERT (n.engines > 80);
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   60);
}

/* A domain at its maximum gives up some on-demand endpoints to make room for
 * reclaimable ones. */
static void
test_full (void)
{
	struct capacity_input in = low_load ();
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

/* Before the first request there is the maximum.  If the load is low, the
 * surplus is removed within seconds.  A leader that takes over keeps what is
 * listed. */
static void
test_start (void)
{
	struct capacity_demand n;
	struct capacity_input in = low_load ();
	uint64_t now_ms = 1000;

	capacity_demand_init (&n, true, 12, 3, 18, 4000, now_ms);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   12);
	for (int i = 0; i < 32; i++) /* work for 2 engines, 8 s */
		capacity_demand_add (&n, 500, now_ms += 250);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   8);
	capacity_demand_init (&n, false, 12, 3, 30, 4000, now_ms);
	in.demand = n.engines;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   10);
}

/* Before the first request on-demand endpoints are replaced at once: there are
 * 30 of them with a maximum of 60, and the list may not show all of them yet.
 */
static void
test_before_traffic (void)
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

/* A domain lost its reclaimable endpoints and gets no others: the other domains
 * keep theirs until the total demand is met again.  36 endpoints are wanted in
 * each domain; what one has beyond that replaces what another lacks. */
static void
test_shortage_elsewhere (void)
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
	/* After fewer were ordered, the list still shows all for a while. */
	in.expected = 36;
	in.expected_all = 108;
	in.expected_reclaimable = 81;
	CU_ASSERT (capacity_for_domain (&in).on_demand +
			   capacity_for_domain (&in).reclaimable ==
		   36);
}

/* A leader that takes over estimates the demand from the list; nothing is
 * ordered for this provisional estimate. */
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

/* Small changes of the demand cause no order while 45 endpoints boot, and a
 * burst that ends soon cancels none of them. */
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
	/* Fewer are ordered at once only before the first request. */
	o = (struct capacity_order){.count = 45, .sent_ms = now_ms};
	CU_ASSERT (!capacity_order_due (&o, 30, 36, boot_ms, false, now_ms));
	CU_ASSERT (capacity_order_due (&o, 30, 36, boot_ms, true, now_ms));
	CU_ASSERT (!capacity_order_due (&o, 30, 36, boot_ms, false,
					now_ms + 2900));
	CU_ASSERT (
		capacity_order_due (&o, 30, 36, boot_ms, false, now_ms + 3100));
	/* Endpoints that did not arrive are ordered again. */
	o = (struct capacity_order){.count = 45, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 30, boot_ms, 7000) == 45);
	CU_ASSERT (capacity_order_expected (&o, 30, boot_ms, 8000) == 30);
	CU_ASSERT (capacity_order_due (&o, 30, 45, boot_ms, false, 8000));
	/* Booting endpoints count, unless others were reclaimed meanwhile. */
	o = (struct capacity_order){.count = 10, .listed = 8, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 8, boot_ms, 2000) == 10);
	CU_ASSERT (capacity_order_expected (&o, 0, boot_ms, 2000) == 0);
	o = (struct capacity_order){.count = 5, .listed = 8, .sent_ms = 1000};
	CU_ASSERT (capacity_order_expected (&o, 6, boot_ms, 2000) == 5);
	/* A list that shows 9 of 30 at the start doesn't replace an order. */
	o = (struct capacity_order){0};
	CU_ASSERT (capacity_order_due (&o, 9, 9, boot_ms, true, 8000));
	CU_ASSERT (!capacity_order_due (&o, 9, 9, boot_ms, false, 8000));
	/* Zero endpoints of a kind that has none need no order. */
	CU_ASSERT (!capacity_order_due (&o, 0, 0, boot_ms, true, 8000));
	/* One missing endpoint of a small domain exceeds the tolerance. */
	o = (struct capacity_order){0};
	CU_ASSERT (capacity_order_due (&o, 4, 5, boot_ms, false, 8000));
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"low load", test_low_load},
		{"burst", test_burst},
		{"reclaim", test_reclaim},
		{"burst after reclaim", test_burst_after_reclaim},
		{"domains", test_domains},
		{"bounds", test_bounds},
		{"demand", test_demand},
		{"returning clients", test_returning_clients},
		{"start", test_start},
		{"full", test_full},
		{"before traffic", test_before_traffic},
		{"take over", test_take_over},
		{"order", test_order},
		{"shortage elsewhere", test_shortage_elsewhere},
		{NULL, NULL}};

	return t_run ("capacity", cases);
}
