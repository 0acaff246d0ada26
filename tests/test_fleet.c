/*
 * A relay's table of endpoints: lists and deltas, restarts under the same id,
 * suspect endpoints and domains, error rates, cold starts, and cached segments.
 */
#include <stdio.h>
#include <string.h>

#include "dialect.h"
#include "fleet.h"
#include "loads.h"
#include "t_run.h"

static struct fleet_info
info (const char *id, const char *domain)
{
	struct fleet_info i = {.slots = 64};

	g_strlcpy (i.id, id, sizeof i.id);
	g_strlcpy (i.domain, domain, sizeof i.domain);
	g_strlcpy (i.service, "s", sizeof i.service);
	g_strlcpy (i.addr, "10.0.0.1:80", sizeof i.addr);
	return i;
}

static void
test_lists (void)
{
	struct fleet_info list[2] = {info ("a", "n"), info ("b", "s")};
	struct fleet f;
	struct fleet_ep *a;

	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, list, 2, 1000, 0);
	a = fleet_find (&f, "a");
	CU_ASSERT (fleet_ready_count (&f, 1000) == 2);
	/* An endpoint stays leaving even if an older list denies it. */
	list[0].leaving = true;
	fleet_set_list (&f, list, 2, 1100, 0);
	list[0].leaving = false;
	fleet_set_list (&f, list, 2, 1200, 0);
	CU_ASSERT (!fleet_usable (&f, a, 1200));
	/* An unlisted endpoint gets no work and is kept while it has some. */
	a->inflight = 1;
	fleet_set_list (&f, &list[1], 1, 1300, 0);
	CU_ASSERT (fleet_find (&f, "a") == a && !fleet_usable (&f, a, 1300));
	a->inflight = 0;
	fleet_set_list (&f, &list[1], 1, 1400, 0);
	CU_ASSERT (fleet_find (&f, "a") == NULL);
	fleet_finish (&f);
}

/* The same id with another start time is another endpoint. */
static void
test_restart (void)
{
	struct fleet_info i = info ("a", "n");
	struct dia_segment p = {7, 100};
	struct fleet f;

	fleet_init (&f, NULL, NULL);
	i.started_ms = 5;
	fleet_set_list (&f, &i, 1, 1000, 0);
	fleet_add_segments (fleet_find (&f, "a"), &p, 1, 1000);
	fleet_find (&f, "a")->inflight = 1;
	i.started_ms = 9;
	fleet_set_list (&f, &i, 1, 1100, 0);
	CU_ASSERT (fleet_cached_tokens (fleet_find (&f, "a"), &p, 1) == 0);
	CU_ASSERT (fleet_usable (&f, fleet_find (&f, "a"), 1100));
	CU_ASSERT (f.eps->len == 2 && fleet_ready_count (&f, 1100) == 1);
	fleet_finish (&f);
}

/* An endpoint that says once that it stays cold for weeks, or a list of an
 * older build that does, left it with hardly any work for as long. */
static void
test_cold_for_ever (void)
{
	struct fleet_info list[2] = {info ("a", "n"), info ("b", "n")};
	struct fleet f;

	list[0].cold_remaining_ms = UINT32_MAX;
	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, list, 2, 1000, 0);
	fleet_set_cold (fleet_find (&f, "b"), UINT32_MAX, 1000);
	for (uint32_t k = 0; k < 2; k++) {
		const struct fleet_ep *ep = fleet_find (&f, list[k].id);

		CU_ASSERT (fleet_is_cold (ep, 999 + FLEET_COLD_MAX_MS) &&
			   !fleet_is_cold (ep, 1000 + FLEET_COLD_MAX_MS));
	}
	fleet_finish (&f);
}

static void
test_drained (void)
{
	struct fleet_info list[2] = {info ("a", "n"), info ("b", "s")};
	GPtrArray *domains = g_ptr_array_new ();
	struct fleet f;

	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, list, 2, 1000, 0);
	g_ptr_array_add (domains, (char *)"n");
	fleet_set_drained (&f, domains);
	CU_ASSERT (!fleet_usable (&f, fleet_find (&f, "a"), 1000) &&
		   fleet_usable (&f, fleet_find (&f, "b"), 1000));
	g_ptr_array_set_size (domains, 0);
	fleet_set_drained (&f, domains);
	CU_ASSERT (fleet_ready_count (&f, 1000) == 2);
	g_ptr_array_free (domains, TRUE);
	fleet_finish (&f);
}

static void
test_suspect (void)
{
	struct fleet_info i = info ("a", "n");
	struct fleet_ep *ep;
	struct fleet f;
	uint64_t first_ms;

	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, &i, 1, 1000, 0);
	ep = fleet_find (&f, "a");
	fleet_suspect (&f, ep, 1000);
	CU_ASSERT (!fleet_usable (&f, ep, 1000));
	first_ms = ep->probe_at_ms;
	CU_ASSERT (first_ms > 1000 && first_ms < 1500);
	fleet_probed (&f, ep, FLEET_PROBE_UNREACHED, first_ms);
	CU_ASSERT (ep->probe_at_ms - first_ms > first_ms - 1000);
	for (int k = 0; k < 20; k++)
		fleet_probed (&f, ep, FLEET_PROBE_UNREACHED, 5000);
	CU_ASSERT (ep->probe_at_ms <= 7000);
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, 7000);
	CU_ASSERT (fleet_usable (&f, ep, 7000));
	fleet_finish (&f);
}

/* An error rate of a tenth is tolerated.  At a half, the endpoint is avoided
 * for a limited time. */
static void
test_error_rate (void)
{
	struct fleet_info i = info ("a", "n");
	struct fleet_ep *ep;
	struct fleet f;

	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, &i, 1, 1000, 0);
	ep = fleet_find (&f, "a");
	for (int k = 0; k < 50; k++)
		fleet_outcome (ep, k % 10 != 0, 1000);
	CU_ASSERT (ep->avoid_until_ms == 0);
	for (int k = 0; k < 10; k++)
		fleet_outcome (ep, k % 2 != 0, 1000);
	CU_ASSERT (ep->avoid_until_ms > 1000 && ep->avoid_until_ms < 6000);
	fleet_finish (&f);
}

static void
test_segments (void)
{
	struct fleet_info i = info ("a", "n");
	struct dia_segment parts[3] = {{1, 100}, {2, 200}, {3, 300}};
	struct load_segment announced = {9, loads_ep_hash ("a"), 50};
	struct dia_segment other = {9, 50};
	struct fleet_ep *ep;
	struct fleet f;

	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, &i, 1, 1000, 0);
	ep = fleet_find (&f, "a");
	fleet_add_segments (ep, parts, 2, 10000);
	CU_ASSERT (fleet_cached_tokens (ep, parts, 3) == 300);
	/* A segment counts only if all before it are cached. */
	CU_ASSERT (fleet_cached_tokens (ep, parts + 2, 1) == 0);
	fleet_add_peer_segments (&f, &announced, 1, 10000, 1000);
	CU_ASSERT (fleet_cached_tokens (ep, &other, 1) == 50);
	/* It is announced once, unless a peer did so, and later again. */
	CU_ASSERT (fleet_announce_due (ep, 1, 1000) &&
		   !fleet_announce_due (ep, 1, 1001) &&
		   !fleet_announce_due (ep, 9, 1001) &&
		   !fleet_announce_due (ep, 77, 1001));
	CU_ASSERT (
		fleet_announce_due (ep, 9, 1000 + FLEET_SEGMENT_ANNOUNCE_MS));
	/* The least recently used segments are dropped first. */
	fleet_add_segments (ep, parts, 1, 10000);
	for (uint64_t k = 100; k < 105; k++) {
		struct dia_segment p = {k, 100};

		fleet_add_segments (ep, &p, 1, 1200);
	}
	CU_ASSERT (fleet_cached_tokens (ep, parts + 1, 1) == 0);
	CU_ASSERT (fleet_cached_tokens (ep, parts, 1) == 100);
	/* A cold endpoint has an empty prefix cache. */
	fleet_set_cold (ep, 3000, 2000);
	CU_ASSERT (fleet_cached_tokens (ep, parts, 1) == 0);
	CU_ASSERT (fleet_is_cold (ep, 4999) && !fleet_is_cold (ep, 5001));
	fleet_finish (&f);
}

static void
list_step (GArray *list, GRand *rand, uint32_t *next)
{
	for (int i = 0; i < 3; i++) {
		struct fleet_info n = info ("", "n");

		if (list->len > 20)
			g_array_remove_index_fast (
				list, (guint)g_rand_int_range (
					      rand, 0, (gint32)list->len));
		g_snprintf (n.id, sizeof n.id, "e%u", (*next)++);
		g_array_append_val (list, n);
	}
	for (int i = 0; i < 3; i++) {
		struct fleet_info *x = &g_array_index (
			list, struct fleet_info,
			g_rand_int_range (rand, 0, (gint32)list->len));

		x->leaving = x->leaving || i == 0;
		x->cold_remaining_ms = i == 1 ? 0 : x->cold_remaining_ms + 1;
		if (i == 2) /* a restart under the same id */
			x->started_ms += 1000;
	}
}

static void
same_tables (struct fleet *a, struct fleet *b)
{
	uint32_t listed = 0;

	for (guint i = 0; i < a->eps->len; i++) {
		const struct fleet_ep *x = g_ptr_array_index (a->eps, i);
		const struct fleet_ep *y;

		if (!x->listed)
			continue;
		listed++;
		y = fleet_find (b, x->info.id);
		CU_ASSERT (y != NULL && y->listed && y->leaving == x->leaving &&
			   y->info.started_ms == x->info.started_ms);
	}
	for (guint i = 0; i < b->eps->len; i++)
		listed -= ((struct fleet_ep *)g_ptr_array_index (b->eps, i))
				  ->listed;
	CU_ASSERT (listed == 0);
}

/* A table updated by deltas equals one that is set to full lists, and its
 * digest tells when a delta was made from another list. */
static void
test_deltas (void)
{
	GRand *rand = g_rand_new_with_seed (3);
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	struct fleet by_lists, by_deltas;
	uint32_t next = 0;

	fleet_init (&by_lists, NULL, NULL);
	fleet_init (&by_deltas, NULL, NULL);
	for (uint32_t turn = 0; turn < 300; turn++) {
		GArray *before = g_array_copy (list);
		GArray *changed =
			g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
		GArray *removed =
			g_array_new (FALSE, FALSE, sizeof (struct load_ep));
		GArray *applied;
		struct fleet_info *now;
		uint64_t digest;

		list_step (list, rand, &next);
		now = (struct fleet_info *)list->data;
		fleet_list_diff (before, list, changed, removed);
		CU_ASSERT (changed->len <= 6 && removed->len <= 3);
		applied = fleet_list_apply (
			before, (struct fleet_info *)changed->data,
			changed->len, (struct load_ep *)removed->data,
			removed->len);
		CU_ASSERT (
			fleet_list_digest ((struct fleet_info *)applied->data,
					   applied->len) ==
			fleet_list_digest (now, list->len));
		g_array_free (applied, TRUE);
		/* Unlisted endpoints with requests in flight are kept. */
		if (by_deltas.eps->len > 5)
			((struct fleet_ep *)by_deltas.eps->pdata[turn % 5])
				->inflight = turn % 2;
		fleet_set_list (&by_lists, now, list->len, 1000 + turn, 0);
		fleet_apply_delta (
			&by_deltas, (struct fleet_info *)changed->data,
			changed->len, (struct load_ep *)removed->data,
			removed->len, 1000 + turn, 0);
		digest = fleet_list_digest (now, list->len);
		CU_ASSERT (fleet_digest (&by_lists) == digest &&
			   fleet_digest (&by_deltas) == digest);
		same_tables (&by_lists, &by_deltas);
		g_array_free (before, TRUE);
		g_array_free (changed, TRUE);
		g_array_free (removed, TRUE);
	}
	/* A delta made from a list that this table does not have. */
	fleet_apply_delta (&by_deltas, (struct fleet_info *)list->data, 0,
			   &(struct load_ep){loads_ep_hash ("e0")}, 1, 2000, 0);
	CU_ASSERT (
		fleet_digest (&by_deltas) ==
		fleet_list_digest ((struct fleet_info *)list->data, list->len));
	fleet_apply_delta (
		&by_deltas, (struct fleet_info *)list->data, 0,
		&(struct load_ep){loads_ep_hash (
			g_array_index (list, struct fleet_info, 0).id)},
		1, 2000, 0);
	CU_ASSERT (
		fleet_digest (&by_deltas) !=
		fleet_list_digest ((struct fleet_info *)list->data, list->len));
	fleet_finish (&by_lists);
	fleet_finish (&by_deltas);
	g_array_free (list, TRUE);
	g_rand_free (rand);
}

/* Initialise a table of twelve endpoints in two domains. */
static void
two_domains (struct fleet *f)
{
	struct fleet_info list[12];

	for (int i = 0; i < 12; i++) {
		char id[8];

		g_snprintf (id, sizeof id, "%c%d", i < 6 ? 'n' : 's', i % 6);
		list[i] = info (id, i < 6 ? "n" : "s");
	}
	fleet_init (f, NULL, NULL);
	fleet_set_list (f, list, 12, 1000, 0);
}

static uint32_t
probes_due (const struct fleet *f, uint64_t now_ms)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *e = g_ptr_array_index (f->eps, i);

		n += e->health == FLEET_SUSPECT && e->probe_at_ms <= now_ms;
	}
	return n;
}

/* When the link to a domain is cut, three of its six endpoints that do not
 * answer make the others suspect, and the first successful probe clears them.
 */
static void
test_cut (void)
{
	struct fleet f;

	two_domains (&f);
	for (guint i = 0; i < f.eps->len; i++)
		fleet_heard (f.eps->pdata[i], 1900);
	fleet_heard (fleet_find (&f, "s0"), 2100);
	fleet_suspect (&f, fleet_find (&f, "n0"), 2400);
	fleet_suspect (&f, fleet_find (&f, "n1"), 2410);
	CU_ASSERT (fleet_ready_count (&f, 2410) == 10);
	fleet_suspect (&f, fleet_find (&f, "n2"), 2450);
	CU_ASSERT (fleet_ready_count (&f, 2450) == 6);
	CU_ASSERT (probes_due (&f, 2450) == 2);
	/* An endpoint that fails its probe stays suspect. */
	fleet_probed (&f, fleet_find (&f, "n3"), FLEET_PROBE_UNREACHED, 2750);
	CU_ASSERT (fleet_ready_count (&f, 2750) == 6);
	fleet_probed (&f, fleet_find (&f, "n0"), FLEET_PROBE_HEALTHY, 5000);
	CU_ASSERT (fleet_ready_count (&f, 5000) == 10);
	fleet_finish (&f);
}

/* When three endpoints crash at once and their domain is still heard, only they
 * are suspect.  When it was not heard yet, one successful probe clears the
 * rest. */
static void
test_crash (void)
{
	struct fleet f;

	two_domains (&f);
	fleet_suspect (&f, fleet_find (&f, "n0"), 2000);
	fleet_suspect (&f, fleet_find (&f, "n1"), 2000);
	fleet_heard (fleet_find (&f, "n5"), 2040);
	fleet_suspect (&f, fleet_find (&f, "n2"), 2300);
	CU_ASSERT (fleet_ready_count (&f, 2300) == 9);
	fleet_suspect (&f, fleet_find (&f, "s0"), 3000);
	fleet_suspect (&f, fleet_find (&f, "s1"), 3000);
	fleet_suspect (&f, fleet_find (&f, "s2"), 3000);
	CU_ASSERT (fleet_ready_count (&f, 3000) == 3);
	fleet_probed (&f, fleet_find (&f, "s3"), FLEET_PROBE_HEALTHY, 3003);
	CU_ASSERT (fleet_ready_count (&f, 3003) == 6);
	/* Failures far apart in time are not a cut. */
	fleet_suspect (&f, fleet_find (&f, "s3"), 9000);
	fleet_suspect (&f, fleet_find (&f, "s4"), 12000);
	CU_ASSERT (fleet_ready_count (&f, 12000) == 4);
	fleet_finish (&f);
}

/* Every endpoint of the table has a stream whose last event came at @heard_ms,
 * except those of domain @silent, which were heard last at @silent_ms. */
static void
stream_all (struct fleet *f, uint64_t heard_ms, const char *silent,
	    uint64_t silent_ms)
{
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *e = f->eps->pdata[i];

		e->inflight = e->answering = 1;
		e->busy_since_ms = 1000;
		fleet_heard (e, strcmp (e->info.domain, silent) == 0
					? silent_ms
					: heard_ms);
	}
}

/* A link drops packets at 2000 ms while streams run.  No connection fails yet;
 * what may run again has to run elsewhere before a pause of a second, which is
 * the longest one that clients of long answers accept. */
static void
test_silence (void)
{
	const uint64_t cut_ms = 2000, pause_ms = 1000, probe_ms = 300;
	uint64_t now_ms, suspect_ms = 0;
	struct fleet f;

	two_domains (&f);
	for (now_ms = 1900; suspect_ms == 0 && now_ms < 4000; now_ms += 60) {
		stream_all (&f, now_ms, "n", MIN (now_ms, cut_ms));
		if (fleet_check_silence (&f, now_ms) != NULL)
			suspect_ms = now_ms;
	}
	CU_ASSERT (suspect_ms > cut_ms &&
		   suspect_ms + probe_ms < cut_ms + pause_ms);
	CU_ASSERT (fleet_ready_count (&f, suspect_ms) == 6);
	CU_ASSERT (probes_due (&f, suspect_ms) == 2);
	now_ms = suspect_ms + probe_ms;
	/* One failed probe may be a crash, two are a cut. */
	fleet_probed (&f, fleet_find (&f, "n0"), FLEET_PROBE_UNREACHED,
		      suspect_ms + 10);
	CU_ASSERT (!fleet_is_cut_off (fleet_find (&f, "n5"), now_ms));
	fleet_probed (&f, fleet_find (&f, "n1"), FLEET_PROBE_UNREACHED,
		      suspect_ms + probe_ms);
	CU_ASSERT (fleet_is_cut_off (fleet_find (&f, "n5"), now_ms) &&
		   !fleet_is_cut_off (fleet_find (&f, "s5"), now_ms));
	/* An endpoint that still sends is not left. */
	fleet_heard (fleet_find (&f, "n4"), now_ms - 10);
	CU_ASSERT (!fleet_is_cut_off (fleet_find (&f, "n4"), now_ms));
	fleet_probed (&f, fleet_find (&f, "n1"), FLEET_PROBE_HEALTHY, 7000);
	CU_ASSERT (!fleet_is_cut_off (fleet_find (&f, "n5"), now_ms) &&
		   fleet_ready_count (&f, 7000) == 12);
	fleet_finish (&f);
}

/* What is no cut: one endpoint that is still heard, requests that only wait for
 * their first byte, and a process that was not running. */
static void
test_no_silence (void)
{
	struct fleet f;

	two_domains (&f);
	fleet_check_silence (&f, 2500);
	stream_all (&f, 2600, "n", 2000);
	fleet_heard (fleet_find (&f, "n3"), 2550);
	CU_ASSERT (fleet_check_silence (&f, 2600) == NULL);
	stream_all (&f, 2600, "n", 2000);
	for (guint i = 0; i < f.eps->len; i++)
		((struct fleet_ep *)f.eps->pdata[i])->answering = 0;
	CU_ASSERT (fleet_check_silence (&f, 2600) == NULL);
	stream_all (&f, 2600, "n", 2600);
	CU_ASSERT (fleet_check_silence (&f, 6000) == NULL);
	fleet_finish (&f);
}

/* An endpoint broke a request and its health check succeeds: it is on trial
 * until it answers, the pause before the next probe grows with each request
 * that it breaks, and a trial in which it gets no request ends by itself. */
static void
test_trial (void)
{
	struct fleet_ep *ep;
	struct fleet f;
	uint32_t pause_ms;

	two_domains (&f);
	ep = fleet_find (&f, "n0");
	fleet_broke_request (&f, ep, 2000);
	pause_ms = ep->probe_backoff_ms;
	CU_ASSERT (!fleet_usable (&f, ep, 2000) &&
		   fleet_is_reported (ep, 2000));
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, 2250);
	CU_ASSERT (fleet_usable (&f, ep, 2250) && fleet_on_trial (ep, 2250) &&
		   fleet_is_reported (ep, 2250));
	fleet_broke_request (&f, ep, 2300);
	CU_ASSERT (ep->probe_backoff_ms == 2 * pause_ms &&
		   ep->probe_at_ms == 2300 + 2 * pause_ms);
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, 2800);
	fleet_answered (ep);
	CU_ASSERT (!fleet_on_trial (ep, 2810) && !fleet_is_reported (ep, 2810));
	fleet_broke_request (&f, ep, 3000);
	fleet_probed (&f, ep, FLEET_PROBE_HEALTHY, 3250);
	CU_ASSERT (fleet_on_trial (ep, 8000) && !fleet_on_trial (ep, 9000));
	fleet_finish (&f);
}

/* Members of older software versions compute digests without the version, and
 * relays compare them: a version in the digest would make each delta between
 * the two a full list.  Deltas still carry it, and a list of an older member
 * must not take it away. */
static void
test_versions (void)
{
	GArray *before = g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	GArray *after = g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	GArray *changed =
		g_array_new (FALSE, FALSE, sizeof (struct fleet_info));
	GArray *removed = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	struct fleet_info plain = info ("a", "n"), versioned = plain;
	struct fleet f;

	g_strlcpy (versioned.version, "v1", sizeof versioned.version);
	CU_ASSERT (fleet_info_digest (&plain) ==
		   fleet_info_digest (&versioned));
	g_array_append_val (before, plain);
	g_array_append_val (after, versioned);
	fleet_list_diff (before, after, changed, removed);
	CU_ASSERT (changed->len == 1 && removed->len == 0);
	fleet_init (&f, NULL, NULL);
	fleet_set_list (&f, &versioned, 1, 1000, 0);
	fleet_set_list (&f, &plain, 1, 1100, 0);
	CU_ASSERT_STRING_EQUAL (fleet_find (&f, "a")->info.version, "v1");
	fleet_finish (&f);
	g_array_free (before, TRUE);
	g_array_free (after, TRUE);
	g_array_free (changed, TRUE);
	g_array_free (removed, TRUE);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"lists", test_lists},
		{"restart", test_restart},
		{"cold for ever", test_cold_for_ever},
		{"drained", test_drained},
		{"suspect", test_suspect},
		{"cut", test_cut},
		{"crash", test_crash},
		{"silence", test_silence},
		{"trial", test_trial},
		{"no silence", test_no_silence},
		{"error rate", test_error_rate},
		{"segments", test_segments},
		{"deltas", test_deltas},
		{"versions", test_versions},
		{NULL, NULL}};

	return t_run ("fleet", cases);
}
