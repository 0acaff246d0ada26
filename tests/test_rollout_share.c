/*
 * A relay's part in rollouts, in virtual time: which version a request may go
 * to, the use of grants, and reports.
 */
#include <string.h>

#include "place.h"
#include "rollout_share.h"
#include "t_run.h"

#define OLD 24
#define NEW 12

static struct rollout_share s;
static struct fleet f;
static uint64_t now_ms;

/* Lists @old endpoints of v1 and @new ones of @version, started later. */
static void
list_endpoints (uint32_t old, uint32_t new, const char *version, uint64_t index)
{
	struct fleet_info list[OLD + NEW] = {0};

	for (uint32_t i = 0; i < old + new; i++) {
		bool is_old = i < old;

		g_snprintf (list[i].id, sizeof list[i].id, "%s-%u",
			    is_old ? "v1" : version, is_old ? i : i - old);
		g_snprintf (list[i].domain, sizeof list[i].domain, "d%u",
			    i % 2);
		g_snprintf (list[i].addr, sizeof list[i].addr, "10.0.0.%u:80",
			    i + 1);
		g_strlcpy (list[i].service, "llm", sizeof list[i].service);
		g_strlcpy (list[i].version, is_old ? "v1" : version,
			   sizeof list[i].version);
		list[i].slots = 64;
		list[i].started_ms = is_old ? 1000 + i : 9000 + i;
	}
	fleet_set_list (&f, list, old + new, now_ms, 0);
	rollout_share_set_list (&s, index);
	if (rollout_share_assign (&s, &f, now_ms))
		fleet_build_pools (&f);
	place_assign_lanes (&f);
}

/* What a member sends.  @state 0: there is no rollout. */
static struct gmsg_rollouts msg = {.has_leader = true, .is_leader = true};

static void
receive (uint64_t index, enum rollout_state state, uint64_t grant)
{
	struct gmsg_rollout x = {.id = 7, .state = state, .grant = grant};

	g_strlcpy (x.service, "llm", sizeof x.service);
	g_strlcpy (x.target, "v2", sizeof x.target);
	msg.index = index;
	msg.rollouts.items = &x;
	msg.rollouts.count = state != ROLLOUT_NONE;
	if (rollout_share_receive (&s, &msg, now_ms) &&
	    rollout_share_assign (&s, &f, now_ms))
		fleet_build_pools (&f);
	place_assign_lanes (&f);
}

static void
begin (void)
{
	now_ms = 100000;
	msg = (struct gmsg_rollouts){.has_leader = true, .is_leader = true};
	rollout_share_init (&s, "d0");
	fleet_init (&f, NULL, NULL);
}

static void
end (void)
{
	fleet_finish (&f);
	rollout_share_finish (&s);
}

static enum fleet_side
side (const char *id)
{
	struct fleet_ep *ep = fleet_find (&f, id);

	CU_ASSERT (ep != NULL);
	return ep != NULL ? ep->side : FLEET_BARRED;
}

/* The sides that a request of route @route may go to, as letters in order. */
static const char *
sides_of (const struct share_request *q)
{
	static char text[SHARE_SIDES_MAX + 1];
	struct share_choice c = rollout_share_choose (&s, &f, q, now_ms);

	for (uint32_t i = 0; i < c.count; i++)
		text[i] = "MTRHB"[c.sides[i]];
	text[c.count] = '\0';
	return text;
}

static const char *
sides (uint64_t route)
{
	struct share_request q = {"llm", route, false, false};

	return sides_of (&q);
}

static bool
send_to (const char *id, uint64_t route)
{
	return rollout_share_sent (&s, fleet_find (&f, id), route, true,
				   now_ms);
}

/* Deployments without rollouts may have several versions in the list, which
 * take part as before. */
static void
test_disabled (void)
{
	begin ();
	list_endpoints (OLD, NEW, "v2", 0);
	CU_ASSERT (side ("v2-0") == FLEET_MAIN && side ("v1-0") == FLEET_MAIN);
	CU_ASSERT (fleet_pool (&f, "llm", FLEET_MAIN)->eps->len == OLD + NEW);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	CU_ASSERT (!send_to ("v2-0", 1));
	now_ms += 10000;
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	end ();
}

/* Without a grant, or once it is used up or expired, the new version gets
 * nothing.  Only the leader grants, and only contact with a leader keeps a
 * grant valid: a relay that is cut off would not learn of a rollback. */
static void
test_grant (void)
{
	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 0);
	CU_ASSERT (side ("v2-0") == FLEET_TARGET);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	msg.is_leader = false;
	receive (5, ROLLOUT_RUNNING, 9);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	msg.is_leader = true;
	receive (5, ROLLOUT_RUNNING, 2);
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	CU_ASSERT (send_to ("v2-0", 1) && !send_to ("v1-0", 1));
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	send_to ("v2-0", 1);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	receive (5, ROLLOUT_RUNNING, 3);
	now_ms += ROLLOUT_GRANT_VALID_MS - 1;
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	msg.is_leader = false;
	receive (5, ROLLOUT_RUNNING, 0);
	now_ms += ROLLOUT_GRANT_VALID_MS - 1;
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	/* This member is behind, and may not know of the rollback. */
	receive (4, ROLLOUT_RUNNING, 0);
	msg.has_leader = false;
	receive (5, ROLLOUT_RUNNING, 0);
	now_ms++;
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	CU_ASSERT (!rollout_share_allows (&s, fleet_find (&f, "v2-0"), now_ms));
	end ();
}

/* A process that was stopped for seconds reads what arrived before the rollback
 * as if it were new. */
static void
test_pause (void)
{
	begin ();
	rollout_share_tick (&s, now_ms);
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 5);
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	now_ms += 10000;
	receive (5, ROLLOUT_RUNNING, 6);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	rollout_share_tick (&s, now_ms);
	receive (5, ROLLOUT_RUNNING, 7);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	now_ms += 400;
	receive (5, ROLLOUT_RUNNING, 7);
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	end ();
}

/* A retry after a failure on the new version would double what a bad version
 * costs its clients; other retries use the grant only as a last resort. */
static void
test_retries (void)
{
	struct share_request q = {"llm", 1, true, false};

	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 5);
	CU_ASSERT_STRING_EQUAL (sides_of (&q), "MT");
	q.sent_new = true;
	CU_ASSERT_STRING_EQUAL (sides_of (&q), "M");
	end ();
}

/* A route with few requests would never be seen on the new version if grants
 * went to whatever comes first. */
static void
test_turns (void)
{
	uint32_t rare = 0, busy = 0;

	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 100);
	for (uint32_t i = 0; i < 400; i++, now_ms++) {
		bool is_rare = i % 40 == 0;

		if (sides (is_rare)[0] != 'T')
			continue;
		send_to ("v2-0", is_rare);
		rare += is_rare;
		busy += !is_rare;
	}
	CU_ASSERT (rare == 10 && busy >= 30 && busy <= 60);
	end ();
}

/* Each state has its own order of versions, and a message that was overtaken by
 * a newer one must not bring back an earlier state. */
static void
test_states (void)
{
	struct share_request q = {"llm", 1, false, false};

	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 5);
	receive (8, ROLLOUT_SHIFTING, 5);
	CU_ASSERT_STRING_EQUAL (sides (1), "TM");
	CU_ASSERT (!rollout_share_choose (&s, &f, &q, now_ms).optional);
	receive (5, ROLLOUT_RUNNING, 5);
	CU_ASSERT (rollout_share_find (&s, "llm")->msg.state ==
		   ROLLOUT_SHIFTING);
	receive (9, ROLLOUT_SUCCEEDED, 5);
	CU_ASSERT (side ("v2-0") == FLEET_MAIN &&
		   side ("v1-0") == FLEET_RETIRING);
	CU_ASSERT_STRING_EQUAL (sides (1), "MR");
	/* A release without a rollout follows. */
	list_endpoints (0, 4, "v2", 9);
	list_endpoints (OLD, 4, "v3", 9);
	CU_ASSERT (side ("v3-0") != FLEET_RETIRING &&
		   side ("v1-0") != FLEET_RETIRING);
	end ();
	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 5);
	receive (6, ROLLOUT_ROLLED_BACK, 5);
	CU_ASSERT (side ("v2-0") == FLEET_BARRED &&
		   side ("v1-0") == FLEET_MAIN);
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	receive (7, ROLLOUT_SUCCEEDED, 5);
	CU_ASSERT (side ("v2-0") == FLEET_BARRED);
	end ();
}

/* The list may show the target before the relay hears of its rollout: requests
 * in between would be beyond any grant. */
static void
test_list_first (void)
{
	begin ();
	receive (3, ROLLOUT_NONE, 0);
	list_endpoints (OLD, 0, "v2", 3);
	CU_ASSERT (side ("v1-0") == FLEET_MAIN);
	list_endpoints (OLD, NEW, "v2", 5);
	CU_ASSERT (side ("v2-0") == FLEET_HELD && side ("v1-0") == FLEET_MAIN);
	/* These members know less than the sender of the list. */
	receive (4, ROLLOUT_NONE, 0);
	CU_ASSERT (side ("v2-0") == FLEET_HELD);
	msg.has_leader = false;
	receive (5, ROLLOUT_NONE, 0);
	CU_ASSERT (side ("v2-0") == FLEET_HELD);
	msg.has_leader = true;
	msg.is_leader = false;
	receive (5, ROLLOUT_NONE, 0);
	CU_ASSERT (side ("v2-0") == FLEET_HELD);
	receive (5, ROLLOUT_RUNNING, 0);
	CU_ASSERT (side ("v2-0") == FLEET_TARGET);
	end ();
	/* A plain release goes on once the leader names no rollout, and without
	 * a link to it a little later. */
	for (int is_leader = 0; is_leader < 2; is_leader++) {
		begin ();
		receive (3, ROLLOUT_NONE, 0);
		list_endpoints (OLD, 0, "v2", 3);
		list_endpoints (OLD, NEW, "v2", 3);
		CU_ASSERT_STRING_EQUAL (sides (1), "M");
		msg.is_leader = is_leader;
		now_ms += is_leader ? 1 : 1000;
		receive (3, ROLLOUT_NONE, 0);
		CU_ASSERT (side ("v2-0") == FLEET_MAIN);
		end ();
	}
}

/* A relay that starts during a rollout hears of it before it has the list, or
 * after; it must not hold back the old version. */
static void
test_start_midway (void)
{
	begin ();
	receive (5, ROLLOUT_RUNNING, 0);
	list_endpoints (OLD, NEW, "v2", 5);
	CU_ASSERT (side ("v1-0") == FLEET_MAIN &&
		   side ("v2-0") == FLEET_TARGET);
	end ();
	begin ();
	receive (5, ROLLOUT_SUCCEEDED, 0);
	list_endpoints (OLD, NEW, "v2", 5);
	CU_ASSERT (side ("v1-0") == FLEET_RETIRING &&
		   side ("v2-0") == FLEET_MAIN);
	end ();
}

/* A relay that is cut off from the group while the rollout succeeds sees only
 * new endpoints in the platform's list; it must go on serving.  While old ones
 * are listed, it uses these. */
static void
test_out_of_contact (void)
{
	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	receive (5, ROLLOUT_RUNNING, 5);
	now_ms += ROLLOUT_GRANT_VALID_MS;
	CU_ASSERT_STRING_EQUAL (sides (1), "M");
	list_endpoints (0, NEW, "v2", 0);
	CU_ASSERT_STRING_EQUAL (sides (1), "MHT");
	end ();
}

/* What the leader adds up: totals, entries that changed, and no times of cold
 * endpoints. */
static void
test_report (void)
{
	GArray *list =
		g_array_new (FALSE, FALSE, sizeof (struct gmsg_rollout_report));
	const struct gmsg_rollout_report *m;
	const struct rollout_evidence *e;
	struct fleet_ep *new, *old;
	uint64_t seq;

	begin ();
	list_endpoints (OLD, NEW, "v2", 4);
	new = fleet_find (&f, "v2-0");
	old = fleet_find (&f, "v1-0");
	rollout_share_answered (&s, old, 1, 0, 5, false);
	receive (5, ROLLOUT_RUNNING, 5);
	old->inflight = 3;
	new->inflight = 2;
	rollout_share_sent (&s, new, 1, true, now_ms);
	rollout_share_sent (&s, old, 1, false, now_ms);
	rollout_share_answered (&s, old, 1, 0, 5, false);
	seq = s.change_seq;
	rollout_share_answered (&s, new, 1, 0, 5, true);
	rollout_share_failed (&s, new, 1, true);
	rollout_share_failed (&s, new, 1, false);
	CU_ASSERT (s.urgent);
	rollout_share_report (&s, &f, 0, list);
	CU_ASSERT_FATAL (list->len == 1);
	m = (const struct gmsg_rollout_report *)list->data;
	CU_ASSERT (m->id == 7 && m->requests == 1 && m->sent_new == 1 &&
		   m->old_inflight == 3 && m->grant == 5 &&
		   m->state == ROLLOUT_RUNNING && m->evidence.count == 2);
	e = m->evidence.items;
	CU_ASSERT (!e[0].is_new && e[0].answers == 1 && e[0].failures == 0 &&
		   e[0].times.count == 1);
	CU_ASSERT (e[1].is_new && e[1].answers == 2 && e[1].failures == 2 &&
		   e[1].times.count == 0);
	rollout_share_report_free (list);
	list = g_array_new (FALSE, FALSE, sizeof (struct gmsg_rollout_report));
	rollout_share_report (&s, &f, seq, list);
	m = (const struct gmsg_rollout_report *)list->data;
	CU_ASSERT (m->evidence.count == 1);
	rollout_share_report_free (list);
	receive (6, ROLLOUT_ROLLED_BACK, 5);
	list = g_array_new (FALSE, FALSE, sizeof (struct gmsg_rollout_report));
	rollout_share_report (&s, &f, 0, list);
	CU_ASSERT (list->len == 0);
	rollout_share_report_free (list);
	end ();
}

/* Endpoints of the new version took places in lanes and hash rings, which moved
 * prefixes of the old ones; granted requests that spread over all new endpoints
 * would not show how one copes with load. */
static void
test_placement (void)
{
	struct plan_service service = {.name = "llm",
				       .is_engine = true,
				       .max_connections = 1000,
				       .kv_token_bytes = 100,
				       .link_mbps = 10000,
				       .slots = 64};
	struct place_relay relay = {"d0", 1, 1};
	struct dia_segment parts[2] = {{1, 8000}, {2, 100}};
	struct place_req req = {.service = &service,
				.segments = parts,
				.segment_count = 2,
				.prompt_tokens = 8100,
				.max_backlog_ms = 1000};
	const struct fleet_ep *preferred[50], *used = NULL;
	guint short_count = 0;

	begin ();
	receive (5, ROLLOUT_RUNNING, 5);
	for (int with_new = 0; with_new < 2; with_new++) {
		list_endpoints (OLD, with_new ? NEW : 0, "v2", 5);
		for (uint32_t i = 0; i < 50; i++) {
			struct place_result v;

			parts[0].id = 100 + i;
			/* It is cached at a new endpoint. */
			if (with_new)
				fleet_add_segments (fleet_find (&f, "v2-1"),
						    parts, 2, 1000000);
			v = place_choose (&f, &relay, &req, now_ms);
			CU_ASSERT (v.ep != NULL && v.ep->side == FLEET_MAIN);
			CU_ASSERT (v.copy_from == NULL ||
				   v.copy_from->side == FLEET_MAIN);
			if (!with_new)
				preferred[i] = v.ep;
			CU_ASSERT (v.ep == preferred[i]);
		}
		if (!with_new)
			short_count =
				fleet_pool (&f, "llm", FLEET_MAIN)->short_count;
		CU_ASSERT (fleet_pool (&f, "llm", FLEET_MAIN)->short_count ==
			   short_count);
	}
	req.side = FLEET_TARGET;
	req.focus = rollout_share_find (&s, "llm")->focus;
	req.focus_near = rollout_share_find (&s, "llm")->focus_near;
	CU_ASSERT (req.focus == 1 && req.focus_near);
	for (uint32_t i = 0; i < 50; i++) {
		struct place_result v;

		req.random = i;
		parts[0].id = 100 + i;
		service.is_engine = i % 2;
		v = place_choose (&f, &relay, &req, now_ms);
		CU_ASSERT (v.ep != NULL && (used == NULL || v.ep == used) &&
			   strcmp (v.ep->info.domain, relay.domain) == 0);
		used = v.ep;
	}
	/* The next one takes its place where it fails. */
	fleet_suspect (&f, (struct fleet_ep *)used, now_ms);
	CU_ASSERT (place_choose (&f, &relay, &req, now_ms).ep != NULL);
	/* So does one of another domain where the relay's own has none. */
	for (uint32_t i = 0; i < fleet_pool (&f, "llm", FLEET_TARGET)->eps->len;
	     i++) {
		struct fleet_ep *ep = g_ptr_array_index (
			fleet_pool (&f, "llm", FLEET_TARGET)->eps, i);

		if (strcmp (ep->info.domain, "d0") == 0)
			fleet_suspect (&f, ep, now_ms);
	}
	CU_ASSERT (place_choose (&f, &relay, &req, now_ms).ep != NULL);
	/* The copy of a run is kept at its own version. */
	for (uint32_t i = 0; i < 50; i++) {
		const struct fleet_ep *b = place_choose_backup (
			&f, fleet_find (&f, "v1-0"), &service, 10, i, now_ms);

		CU_ASSERT (b == NULL || b->side == FLEET_MAIN);
	}
	/* With few old endpoints, all relays share the new ones. */
	list_endpoints (OLD / 2, NEW, "v2", 5);
	CU_ASSERT (rollout_share_find (&s, "llm")->focus == 1 &&
		   !rollout_share_find (&s, "llm")->focus_near);
	end ();
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"disabled", test_disabled},
		{"grant", test_grant},
		{"pause", test_pause},
		{"retries", test_retries},
		{"turns", test_turns},
		{"states", test_states},
		{"list first", test_list_first},
		{"start midway", test_start_midway},
		{"out of contact", test_out_of_contact},
		{"report", test_report},
		{"placement", test_placement},
		{NULL, NULL}};

	return t_run ("rollout_share", cases);
}
