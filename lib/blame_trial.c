/*
 * Trials of barred keys: when, and by which relay.
 */
#include "blame_priv.h"

/* A barred key is tried again so long after the last strike or trial. */
static const uint64_t trial_pause_ms[] = {10000, 60000, 360000};

/* The same for a whole request, which is tried so often only: a false bar ends
 * soon, and a true one costs few endpoints. */
static const uint64_t request_pause_ms[] = {2000, 60000, 360000};

/* The relay that reported the first strike tries a segment first, each of the
 * others a step later: it may be gone, or get no such request. */
#define TRIAL_OTHERS_MS 5000
#define TRIAL_STEP_MS 1000
#define TRIAL_STEPS 16

/* A request waits so long for a grant, or for the outcome of a trial that is
 * under way. */
#define TRIAL_WAIT_MS 500

/* A relay asks for a grant this often. */
#define WANT_INTERVAL_MS 2000

/* The leader grants the next trial when the holder of the last grant may not
 * use it any more, and would have told of it. */
#define GRANT_INTERVAL_MS (2 * TRIAL_WAIT_MS)

/* The leader learns of strikes a little later than the relay that asks. */
#define GRANT_SLACK_MS 100

/* Where nobody answers for so long, the relay that reported the first strike
 * tries a whole request, and later relays take turns.  A turn is longer than
 * news need to reach all, and there are more than relays, as their hashes may
 * agree. */
#define UNANSWERED_FIRST_MS 2000
#define UNANSWERED_MAX_MS 5000
#define TURN_MS 250
#define TURNS_PER_RELAY 2

/* A request with several barred keys does not tell which one is sound, so it is
 * only tried where no other came. */
#define TRIAL_SEVERAL_MS 20000

/* When a request that holds the barred key may be tried next. */
static uint64_t
trial_due_ms (const struct blame_entry *e)
{
	uint32_t i = MIN (e->trials, G_N_ELEMENTS (trial_pause_ms) - 1);

	if (!blame_entry_is_request (e))
		return MAX (e->struck_ms, e->trial_ms) + trial_pause_ms[i];
	if (e->trials >= G_N_ELEMENTS (request_pause_ms))
		return UINT64_MAX;
	/* All relays know of the strikes that are kept, so that their turns
	 * don't overlap. */
	return MAX (e->strikes[e->strike_count - 1].at_ms, e->trial_ms) +
	       request_pause_ms[i];
}

static bool
trial_is_under_way (const struct blame_entry *e, uint64_t now_ms)
{
	return e->trial_ms > e->struck_ms && !e->undecided &&
	       now_ms < e->trial_ms + TRIAL_WAIT_MS;
}

/* Whether this relay may try a barred segment that is due. */
static bool
segment_is_ours (const struct blame *b, const struct blame_entry *e,
		 uint64_t due_ms, uint64_t now_ms)
{
	uint64_t rank = b->self ^ (e->key >> 1);

	return e->strikes[0].origin == b->self ||
	       now_ms >= due_ms + TRIAL_OTHERS_MS +
				 rank % TRIAL_STEPS * TRIAL_STEP_MS;
}

/* Whether this relay may try a barred request though the leader is silent. */
static bool
is_our_turn (const struct blame *b, const struct blame_entry *e,
	     uint64_t due_ms, uint64_t now_ms)
{
	uint64_t turns = (uint64_t)b->relay_count * TURNS_PER_RELAY;
	uint64_t rank = b->self ^ (e->key >> 1);
	uint64_t silent_ms = now_ms - MIN (e->unanswered_ms, now_ms);

	if (e->unanswered_ms == 0 || silent_ms < UNANSWERED_FIRST_MS)
		return false;
	if (silent_ms < UNANSWERED_MAX_MS)
		return e->strikes[0].origin == b->self;
	return (now_ms - due_ms) / TURN_MS % turns == rank % turns;
}

/* What becomes of a request that holds the barred key; @later_ms: longer pause
 * than usual. */
static enum blame_verdict
entry_check (const struct blame *b, const struct blame_entry *e,
	     uint64_t later_ms, uint64_t now_ms)
{
	uint64_t due_ms = trial_due_ms (e);

	if (e->undecided && due_ms != UINT64_MAX)
		return BLAME_SEND_AS_TRIAL;
	if (due_ms == UINT64_MAX || now_ms < due_ms + later_ms)
		return blame_entry_is_request (e) && later_ms == 0 &&
				       trial_is_under_way (e, now_ms)
			       ? BLAME_WAIT
			       : BLAME_REFUSE;
	if (!blame_entry_is_request (e))
		return segment_is_ours (b, e, due_ms + later_ms, now_ms)
			       ? BLAME_SEND_AS_TRIAL
			       : BLAME_REFUSE;
	if (now_ms < e->granted_until_ms ||
	    is_our_turn (b, e, due_ms + later_ms, now_ms))
		return BLAME_SEND_AS_TRIAL;
	if (now_ms < e->wanted_ms + TRIAL_WAIT_MS)
		return BLAME_WAIT;
	return now_ms < e->wanted_ms + WANT_INTERVAL_MS ? BLAME_REFUSE
							: BLAME_SEND_IF_GRANTED;
}

enum blame_verdict
blame_check (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint64_t *culprit, uint64_t now_ms)
{
	struct blame_entry *barred[BLAME_KEYS_MAX];
	enum blame_verdict verdict = BLAME_SEND;
	uint32_t n = 0;

	for (uint32_t i = 0; i < count && b->barred > 0; i++) {
		struct blame_entry *e = blame_find_entry (b, keys[i]);

		if (e == NULL || !e->barred)
			continue;
		e->asked_ms = now_ms;
		*culprit = e->key;
		barred[n++] = e;
	}
	/* Verdicts are ordered: the strictest one counts. */
	for (uint32_t i = 0; i < n; i++)
		verdict =
			MAX (verdict, entry_check (b, barred[i],
						   n > 1 ? TRIAL_SEVERAL_MS : 0,
						   now_ms));
	return verdict;
}

void
blame_want (struct blame *b, const uint64_t *keys, uint32_t count,
	    uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		struct blame_entry *e = blame_find_entry (b, keys[i]);
		struct blame_record r = {.key = keys[i],
					 .what = BLAME_WANTED,
					 .origin = b->self,
					 .ask_id = (uint32_t)now_ms};

		if (e == NULL || !e->barred || !blame_entry_is_request (e))
			continue;
		e->wanted_ms = now_ms;
		if (e->unanswered_ms == 0)
			e->unanswered_ms = now_ms;
		blame_add_news (b, &r, now_ms);
	}
}

bool
blame_grant (struct blame *b, const struct blame_record *wanted,
	     struct blame_record *answer, uint64_t now_ms)
{
	struct blame_entry *e = blame_find_entry (b, wanted->key);
	uint64_t soon_ms = now_ms + GRANT_SLACK_MS;
	uint64_t due_ms;

	if (e == NULL || !blame_entry_is_request (e) ||
	    !blame_entry_should_bar (e, soon_ms) ||
	    (e->granted_ms != 0 && now_ms < e->granted_ms + GRANT_INTERVAL_MS))
		return false;
	due_ms = trial_due_ms (e);
	if (due_ms == UINT64_MAX || soon_ms < due_ms)
		return false;
	e->granted_ms = now_ms;
	*answer = *wanted;
	answer->what = BLAME_GRANTED;
	b->ops->changed (e->key, BLAME_GRANTED_TRIAL, blame_entry_endpoints (e),
			 b->ctx);
	return true;
}

bool
blame_trial (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint64_t now_ms)
{
	bool any = false;

	for (uint32_t i = 0; i < count; i++) {
		struct blame_entry *e = blame_find_entry (b, keys[i]);
		struct blame_record r = {.key = keys[i], .what = BLAME_TRIAL};

		if (e == NULL || !e->barred)
			continue;
		any = true;
		e->undecided = false;
		e->unanswered_ms = 0;
		e->granted_until_ms = 0;
		e->trials = (uint8_t)MIN (e->trials + 1U, UINT8_MAX);
		e->trial_ms = now_ms;
		r.trials = e->trials;
		blame_add_news (b, &r, now_ms);
		b->ops->changed (e->key, BLAME_TRIED, blame_entry_endpoints (e),
				 b->ctx);
	}
	return any;
}

void
blame_trial_undecided (struct blame *b, const uint64_t *keys, uint32_t count,
		       bool received)
{
	for (uint32_t i = 0; i < count; i++) {
		struct blame_entry *e = blame_find_entry (b, keys[i]);

		if (e == NULL || !e->barred || !blame_entry_is_request (e))
			continue;
		e->undecided = true;
		if (!received && e->trials > 0)
			e->trials--;
	}
}

void
blame_receive_grant (struct blame *b, const struct blame_record *r,
		     uint64_t now_ms)
{
	struct blame_entry *e = blame_find_entry (b, r->key);

	if (e == NULL || !e->barred || r->origin != b->self ||
	    r->ask_id != (uint32_t)e->wanted_ms ||
	    now_ms >= e->wanted_ms + TRIAL_WAIT_MS)
		return;
	e->granted_until_ms = e->wanted_ms + TRIAL_WAIT_MS;
	b->ops->changed (e->key, BLAME_GRANTED_TRIAL, blame_entry_endpoints (e),
			 b->ctx);
}
