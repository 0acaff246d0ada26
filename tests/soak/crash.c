/*
 * Requests that crash the endpoints that begin to answer them: those with one
 * segment in their prompt, no two of them alike otherwise, or one request that
 * comes again and again.  Sound ones share their account and their first
 * segment.
 */
#include <string.h>

#include "soak.h"

/* Where the rules say contact_ms. */
#define CONTACT_MS 3000

/* Crashes after which the cause is to be known, for a segment and a request. */
#define SEGMENT_CRASHES 5
#define REQUEST_CRASHES 3

#define LATE_MAX 3 /* requests that still reach endpoints then */

#define UP_AGAIN_MS 2000
#define RATE_MS 2000      /* in which sound ones are counted */
#define PATIENCE_MS 20000 /* for the crashes */

/* A group of repeats, and the time to the next: all servers are back by then,
 * and the rules allow no more than LATE_MAX of them. */
#define GROUP 3
#define GROUP_GAP_MS 3200
#define GROUPS 4

/* Servers that are back so late find the request barred; relays know them a
 * moment later, and then nearly all must be served. */
#define CURED_GAP_MS 100
#define CURED_UP_AGAIN_MS 3000
#define CURED_KNOWN_MS 1000
#define CURED_SHARE 0.95

#define ACCOUNT 0
#define FIRST_SEGMENT 7
#define BAD_SEGMENT 0xbad00U

static void
repeat_request (struct soak_req *r)
{
	r->path_number = 0;
	r->last_segment = r->k->seed;
}

static void
start_bad (struct soak *k)
{
	enum soak_kind kind = (enum soak_kind)g_rand_int_range (
		k->rand, SOAK_STREAM, SOAK_KINDS);
	struct soak_req *r;

	if (k->crash.what != SOAK_CRASH_SEGMENT)
		kind = k->crash.kind;
	/* One that is cured comes at other relays then. */
	r = callers_new (
		k,
		k->crash.what == SOAK_CRASH_CURED
			? 0
			: (uint32_t)g_rand_int_range (k->rand, 0, SOAK_RELAYS),
		kind, ACCOUNT);
	r->crashes = true;
	r->first_segment = FIRST_SEGMENT;
	r->middle_segment = BAD_SEGMENT + k->seed;
	if (k->crash.what != SOAK_CRASH_SEGMENT)
		repeat_request (r);
	callers_start (r);
}

static void
start_cured (struct soak *k)
{
	struct soak_req *r = callers_new (
		k, (uint32_t)g_rand_int_range (k->rand, 1, SOAK_RELAYS),
		k->crash.kind, ACCOUNT);

	r->sound = true;
	r->first_segment = FIRST_SEGMENT;
	r->middle_segment = BAD_SEGMENT + k->seed;
	repeat_request (r);
	callers_start (r);
}

static void
start_sound (struct soak *k)
{
	struct soak_req *r = callers_new (
		k, (uint32_t)g_rand_int_range (k->rand, 0, SOAK_RELAYS),
		(enum soak_kind)g_rand_int_range (k->rand, SOAK_STREAM,
						  SOAK_KINDS),
		ACCOUNT);

	r->sound = true;
	r->first_segment = FIRST_SEGMENT;
	r->middle_segment = (uint32_t)g_rand_int_range (k->rand, 30, 34);
	callers_start (r);
}

static uint64_t
next_bad_gap_ms (struct soak *k)
{
	switch (k->crash.what) {
	case SOAK_CRASH_GROUP:
		return GROUP_GAP_MS;
	case SOAK_CRASH_CURED:
		return CURED_GAP_MS;
	case SOAK_CRASH_NONE:
	case SOAK_CRASH_SEGMENT:
	case SOAK_CRASH_REQUEST:
		break;
	}
	return (uint64_t)g_rand_int_range (k->rand, 200, 500);
}

void
crash_tick (struct soak *k, uint64_t now_ms)
{
	if (now_ms >= k->crash.next_sound_ms) {
		k->crash.next_sound_ms = now_ms + 25;
		if (k->crash.what != SOAK_CRASH_CURED)
			start_sound (k);
		else if (k->crash.known_ms != 0)
			start_cured (k);
	}
	if (k->crash.next_bad_ms != 0 && now_ms >= k->crash.next_bad_ms) {
		bool group = k->crash.what >= SOAK_CRASH_GROUP;

		k->crash.next_bad_ms = now_ms + next_bad_gap_ms (k);
		for (int i = 0; i < (group ? GROUP : 1); i++)
			start_bad (k);
	}
	for (int i = 0; i < SOAK_EPS; i++) {
		struct soak_ep *e = &k->eps[i];

		if (!e->up && now_ms >= e->up_at_ms)
			world_ep_up (e);
	}
}

/* All its connections are reset, its listener closes, and it comes back under
 * another id. */
static void
ep_down (struct soak_ep *e)
{
	bool cured = e->k->crash.what == SOAK_CRASH_CURED;

	e->crashing = false;
	e->up_at_ms = tmr_now_ms () + (cured ? CURED_UP_AGAIN_MS : UP_AGAIN_MS);
	world_ep_down (e);
}

void
crash_ep (struct soak_ep *e)
{
	struct soak *k = e->k;

	ep_down (e);
	if (++k->crash.crashes != (k->crash.what == SOAK_CRASH_SEGMENT
					   ? SEGMENT_CRASHES
					   : REQUEST_CRASHES))
		return;
	k->crash.known_ms = tmr_now_ms ();
	/* The route may move to another service meanwhile, which would answer
	 * before the request is barred. */
	for (int i = 0; i < SOAK_EPS && k->crash.what == SOAK_CRASH_CURED; i++)
		ep_down (&k->eps[i]);
}

void
crash_reached (struct soak_ep *e, struct soak_req *r)
{
	struct soak *k = e->k;

	if (!r->crashes)
		return;
	k->crash.reached++;
	if (k->crash.known_ms == 0 ||
	    tmr_now_ms () < k->crash.known_ms + CONTACT_MS ||
	    (r->late && k->crash.what == SOAK_CRASH_SEGMENT))
		return;
	r->late = true;
	k->crash.late++;
}

/* Sound requests that are served, of those that begin in a while, whose number
 * is added to @sent. */
static uint32_t
count_sound (struct soak *k, uint32_t *sent)
{
	uint64_t from_ms = tmr_now_ms (), to_ms = from_ms + RATE_MS;
	uint32_t served = 0;
	GHashTableIter it;
	void *value;

	/* The last of them need some time. */
	soak_run_for (k, RATE_MS + 500, false);
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		const struct soak_req *r = value;

		if (!r->sound || r->begun_ms < from_ms || r->begun_ms >= to_ms)
			continue;
		(*sent)++;
		served += r->ok;
	}
	return served;
}

/* All servers end under a request that is sound from then on: it is served at
 * relays that reported none of the ends, once servers are back. */
static void
cured_play (struct soak *k)
{
	uint64_t end_ms = tmr_now_ms () + PATIENCE_MS;
	GHashTableIter it;
	void *value;

	k->crash.next_bad_ms = tmr_now_ms ();
	while (k->crash.known_ms == 0 && tmr_now_ms () < end_ms)
		soak_run_for (k, 10, false);
	k->crash.next_bad_ms = 0;
	g_hash_table_iter_init (&it, k->reqs);
	while (g_hash_table_iter_next (&it, NULL, &value))
		((struct soak_req *)value)->crashes = false;
	soak_run_for (k, CURED_UP_AGAIN_MS + CURED_KNOWN_MS, false);
	k->crash.after = count_sound (k, &k->crash.usual);
	if (k->crash.known_ms == 0)
		soak_wrong (k, "%u endpoints crashed", k->crash.crashes);
	if (k->crash.after < k->crash.usual * CURED_SHARE)
		soak_wrong (k,
			    "%u of %u requests are served that crash nothing "
			    "any more",
			    k->crash.after, k->crash.usual);
}

void
crash_play (struct soak *k)
{
	uint64_t end_ms;
	uint32_t sent = 0;

	k->crash.on = true;
	k->crash.kind = (enum soak_kind[]){SOAK_STREAM, SOAK_RESUMABLE,
					   SOAK_REPEATABLE}[k->seed / 2 % 3];
	if (k->crash.what >= SOAK_CRASH_GROUP)
		k->crash.kind = SOAK_REPEATABLE;
	k->crash.head = k->seed % 2 == 0;
	if (k->crash.what == SOAK_CRASH_CURED) {
		cured_play (k);
		return;
	}
	k->crash.usual = count_sound (k, &sent);
	k->crash.next_bad_ms = tmr_now_ms ();
	end_ms = tmr_now_ms () + PATIENCE_MS;
	while (k->crash.known_ms == 0 && tmr_now_ms () < end_ms)
		soak_run_for (k, 10, false);
	end_ms = tmr_now_ms () + (k->crash.what == SOAK_CRASH_GROUP
					  ? GROUPS * GROUP_GAP_MS
					  : 2 * CONTACT_MS);
	while (tmr_now_ms () < end_ms)
		soak_run_for (k, 10, false);
	k->crash.after = count_sound (k, &sent);
	if (k->crash.crashes == 0)
		soak_wrong (k, "no endpoint crashed");
	if (k->crash.late > LATE_MAX)
		soak_wrong (k,
			    "%u requests that crash endpoints reach them later "
			    "than %d ms after crash %d",
			    k->crash.late, CONTACT_MS,
			    k->crash.what == SOAK_CRASH_SEGMENT
				    ? SEGMENT_CRASHES
				    : REQUEST_CRASHES);
	if (k->crash.after * 2 < k->crash.usual)
		soak_wrong (k,
			    "%u sound requests are served in %d ms, %u before "
			    "the crashes",
			    k->crash.after, RATE_MS, k->crash.usual);
}
