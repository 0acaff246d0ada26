/*
 * Endpoints that are silent under work: they are asked, and left only where
 * that fails.
 */
#include "fleet.h"
#include "t_run.h"

static void
init (struct fleet *f)
{
	static const struct fleet_info list[] = {
		{.id = "a", .service = "s", .domain = "d", .addr = "1.1.1.1:1"},
		{.id = "b", .service = "s", .domain = "d", .addr = "1.1.1.2:1"},
	};

	fleet_init (f, NULL, NULL);
	fleet_set_list (f, list, 2, 1000, 0);
}

static void
give_work (struct fleet_ep *ep, uint32_t answering, uint64_t now_ms)
{
	ep->inflight = 1;
	ep->answering = answering;
	ep->busy_since_ms = now_ms;
	fleet_heard (ep, now_ms);
}

static struct fleet_ep *
check (struct fleet *f, uint64_t now_ms)
{
	fleet_check_silence (f, now_ms - 100);
	fleet_check_silence (f, now_ms);
	return fleet_next_stalled (f, now_ms);
}

/* A sound endpoint that is silent for a second keeps its work and gets more. */
static void
test_second_of_silence_is_no_loss (void)
{
	struct fleet_ep *ep;
	struct fleet f;

	init (&f);
	ep = fleet_find (&f, "a");
	give_work (ep, 1, 2000);
	CU_ASSERT (check (&f, 3200) == NULL);
	CU_ASSERT (fleet_usable (&f, ep, 3200) && !fleet_is_cut_off (ep, 3200));
	give_work (ep, 0, 2000);
	CU_ASSERT (check (&f, 2000 + FLEET_STALL_MS) == NULL);
	fleet_finish (&f);
}

static void
test_stalled_endpoint_is_asked_before_it_is_left (void)
{
	uint64_t at_ms = 2000 + FLEET_STALL_MS;
	struct fleet_ep *ep;
	struct fleet f;

	init (&f);
	ep = fleet_find (&f, "a");
	give_work (ep, 1, 2000);
	CU_ASSERT (check (&f, at_ms) == ep);
	CU_ASSERT (fleet_next_stalled (&f, at_ms) == NULL);
	CU_ASSERT (!fleet_usable (&f, ep, at_ms) && ep->probe_at_ms == at_ms);
	CU_ASSERT (!fleet_is_cut_off (ep, at_ms + 100));
	/* It goes on. */
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, at_ms + 200);
	CU_ASSERT (fleet_usable (&f, ep, at_ms + 200) &&
		   !fleet_is_cut_off (ep, at_ms + 600));
	/* It does not. */
	CU_ASSERT (check (&f, at_ms + 200 + FLEET_STALL_MS) == ep);
	fleet_probed (&f, ep, FLEET_PROBE_UNREACHED, at_ms + 2000);
	CU_ASSERT (fleet_is_cut_off (ep, at_ms + 2000));
	CU_ASSERT (fleet_ready_count (&f, at_ms + 2000) == 1);
	fleet_heard (ep, at_ms + 2100);
	CU_ASSERT (!fleet_is_cut_off (ep, at_ms + 2100));
	fleet_finish (&f);
}

/* A failed health check of an endpoint that was not silent says nothing of the
 * requests that wait for their first byte there. */
static void
test_failed_probe_alone_is_no_reason_to_leave (void)
{
	struct fleet_ep *ep;
	struct fleet f;

	init (&f);
	ep = fleet_find (&f, "a");
	give_work (ep, 0, 2000);
	fleet_suspect (&f, ep, 2100);
	fleet_probed (&f, ep, FLEET_PROBE_UNREACHED, 2400);
	CU_ASSERT (!fleet_is_cut_off (ep, 3000));
	fleet_finish (&f);
}

/* All endpoints of a domain are silent for a moment, but accept connections. */
static void
test_silent_domain_that_accepts_connections_is_not_cut_off (void)
{
	struct fleet_info list[4] = {0};
	struct fleet f;

	for (int i = 0; i < 4; i++) {
		g_snprintf (list[i].id, sizeof list[i].id, "e%d", i);
		g_strlcpy (list[i].service, "s", sizeof list[i].service);
		g_strlcpy (list[i].domain, "d", sizeof list[i].domain);
		g_strlcpy (list[i].addr, "1.1.1.1:1", sizeof list[i].addr);
	}
	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, list, 4, 1000, 0);
	for (guint i = 0; i < f.eps->len; i++)
		give_work (f.eps->pdata[i], 1, 2000);
	fleet_check_silence (&f, 2250);
	CU_ASSERT (fleet_check_silence (&f, 2350) != NULL);
	for (guint i = 0; i < 2; i++)
		fleet_probed (&f, f.eps->pdata[i], FLEET_PROBE_UNHEALTHY, 3050);
	CU_ASSERT (!fleet_is_cut_off (f.eps->pdata[3], 3100));
	for (guint i = 0; i < 2; i++)
		fleet_probed (&f, f.eps->pdata[i], FLEET_PROBE_UNREACHED, 3550);
	CU_ASSERT (fleet_is_cut_off (f.eps->pdata[3], 3600));
	fleet_finish (&f);
}

/* The client reads slowly, or this process did not run. */
static void
test_silence_of_our_own_making (void)
{
	struct fleet_ep *ep;
	struct fleet f;

	init (&f);
	ep = fleet_find (&f, "a");
	give_work (ep, 1, 2000);
	ep->paused = 1;
	CU_ASSERT (check (&f, 9000) == NULL);
	ep->cut_off = true;
	CU_ASSERT (!fleet_is_cut_off (ep, 9000));
	ep->cut_off = false;
	ep->paused = 0;
	fleet_check_silence (&f, 10000);
	fleet_check_silence (&f, 12000);
	CU_ASSERT (fleet_next_stalled (&f, 12000) == NULL);
	CU_ASSERT (check (&f, 12100) == ep);
	fleet_finish (&f);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"a second", test_second_of_silence_is_no_loss},
		{"stalled", test_stalled_endpoint_is_asked_before_it_is_left},
		{"failed probe", test_failed_probe_alone_is_no_reason_to_leave},
		{"silent domain",
		 test_silent_domain_that_accepts_connections_is_not_cut_off},
		{"our own making", test_silence_of_our_own_making},
		{NULL, NULL}};

	return t_run ("fleet_stall", cases);
}
