/*
 * Pacing of an endpoint that has just appeared or recovered.
 */
#include <math.h>

#include <glib.h>

#include "pace.h"

/* Unanswered requests of all relays that an endpoint may have before its first
 * answer, and at any time after it.  With one, an engine that is ten times
 * slower than its peers is late with one prompt; two keep an engine busy while
 * an answer travels.  With two from the start, the peak wait at an engine that
 * is ten times slower is longer by half. */
#define FIRST_UNPROVEN 1.0
#define FIRST_PROVEN 2.0

/* Unanswered requests may be this many times as large a share of those in hand
 * as they are at the peers.  Above 1, so that the endpoint's load grows while
 * it answers as they do; 1.5 and 3 differ little in the replay. */
#define GROWTH 2.0

/* Largest share of a prompt by which a request in hand raises the bound.  Where
 * nothing is answered, the bound then stays at twice the first requests. */
#define GROWTH_SHARE_MAX 0.5

/* Part of the requests in hand that are not answered, above which an endpoint
 * counts as having answered none. */
#define UNANSWERED_SHARE 0.75

/* Answers in hand, relative to the peers, at which pacing ends. */
#define END_SHARE 0.5

/* An endpoint without an answer gets half as many first requests after each
 * such time, down to one in two seconds.  A healthy one answers within it. */
#define PROOF_MS 1000
#define PROOF_SHARE_MIN 0.125

/* Requests at a plain endpoint, relative to its peers. */
#define PLAIN_SHARE 1.25

/* Pacing without sums over all relays, or without a backlog, ends after this
 * time unless requests fail. */
#define BLIND_MS 3000

/* An answer that takes this many times as long as expected is slow. */
#define SLOW_RATIO 3.0
#define TRUST_MIN 0.25

/* Pause after a failed request, doubled with each one that follows. */
#define HOLD_FIRST_MS 500
#define HOLD_MAX_MS 8000

/* Step between the turns of a relay, the golden ratio: those of any number of
 * windows in a row are spread evenly. */
#define TURN_STEP 0.6180339887498949

#define ORDER_POSITIONS 4096

void
pace_begin (struct pace *p, uint64_t now_ms)
{
	p->active = true;
	p->proven = false;
	p->since_ms = now_ms;
	p->trust = 1;
	p->good = 0;
}

static double
prompt_unit (const struct pace_view *v, double tokens)
{
	return MAX (MAX (v->prompt_tokens, tokens), 1);
}

/* Requests in hand that are being answered, as the sums show. */
static double
answers_in_hand (const struct pace_view *v, double running, double backlog)
{
	double unit = prompt_unit (v, 0);

	if (backlog <= 0)
		return running;
	return v->prompt_tokens > 0 ? MAX (running - backlog / unit, 0) : 0;
}

/* Whether the endpoint does as well as its peers, as far as that shows. */
static bool
has_recovered (const struct pace *p, const struct pace_view *v, uint64_t now_ms)
{
	double answers, peers;

	if (!v->known || !v->is_engine)
		return now_ms >= p->since_ms + BLIND_MS &&
		       now_ms >= p->hold_until_ms + BLIND_MS;
	answers = answers_in_hand (v, v->running, v->backlog);
	peers = answers_in_hand (v, v->peer_running, v->peer_backlog);
	return p->proven && answers >= MAX (END_SHARE * peers, 1) &&
	       v->backlog <= GROWTH * v->peer_backlog + prompt_unit (v, 0);
}

void
pace_update (struct pace *p, const struct pace_view *v, uint64_t now_ms)
{
	if (!p->active)
		return;
	if (p->good > 0)
		p->proven = true;
	if (v->known && v->is_engine && v->running >= 1 &&
	    answers_in_hand (v, v->running, v->backlog) >=
		    MAX ((1 - UNANSWERED_SHARE) * v->running, 1))
		p->proven = true;
	if (now_ms >= p->hold_until_ms && (has_recovered (p, v, now_ms) ||
					   now_ms >= p->since_ms + PACE_MAX_MS))
		p->active = false;
}

static double
first_requests (const struct pace *p, uint64_t now_ms)
{
	double share;

	if (p->proven)
		return FIRST_PROVEN;
	share = exp2 (-floor ((double)(now_ms - p->since_ms) / PROOF_MS));
	return FIRST_UNPROVEN * MAX (share, PROOF_SHARE_MIN);
}

double
pace_wait_ms (const struct pace_view *v, double hold_ms)
{
	double answers = answers_in_hand (v, v->running, v->backlog);

	if (!v->known || !v->is_engine || v->prompt_tokens <= 0 || answers < 1)
		return -1;
	return v->backlog / v->prompt_tokens / answers * hold_ms;
}

/* Room for more work, in requests; may be a fraction, which is room for the
 * turn of some relay. */
static double
room (const struct pace *p, const struct pace_view *v, double tokens,
      uint64_t now_ms)
{
	double first = first_requests (p, now_ms), unit, grown;

	if (!v->is_engine)
		return p->trust * (first + PLAIN_SHARE * v->peer_running) -
		       v->running;
	unit = prompt_unit (v, tokens);
	grown = GROWTH * v->peer_backlog / MAX (v->peer_running, 1);
	grown = p->proven ? MIN (grown, GROWTH_SHARE_MAX * unit) * v->running
			  : 0;
	return p->trust * (first + grown / unit) - v->backlog / unit;
}

/* Share of the relays whose turn it is. */
static double
turn_share (const struct pace *p, const struct pace_view *v, double free,
	    uint64_t now_ms)
{
	double windows =
		floor ((double)(now_ms - p->since_ms) / PACE_WINDOW_MS);
	double sends = v->relay_count;

	/* A relay knows its own requests, so none sends more than there is room
	 * for. */
	if (v->known && v->peer_sends >= 0)
		sends = MIN (v->peer_sends,
			     (v->relay_count - 1) * MAX (free, 1));
	if (v->known && v->is_engine && v->peer_sends >= 0)
		return free / MAX (sends, 1e-9);
	/* Where no sum tells what the endpoint answers, a few relays send at
	 * first, and twice as many in each window. */
	return FIRST_PROVEN / MAX (sends, 1) * exp2 (MIN (windows, 32));
}

bool
pace_allows (const struct pace *p, const struct pace_view *v, double tokens,
	     uint64_t now_ms)
{
	double free, window, position;

	if (!p->active)
		return true;
	if (now_ms < p->hold_until_ms)
		return false;
	free = room (p, v, tokens, now_ms);
	if (free <= 0 || (p->proven && free < 1 &&
			  (v->is_engine ? v->backlog : v->running) > 0))
		return false;
	window = floor ((double)now_ms / PACE_WINDOW_MS);
	position = (double)(v->order % ORDER_POSITIONS) / ORDER_POSITIONS +
		   TURN_STEP * window;
	return position - floor (position) < turn_share (p, v, free, now_ms);
}

void
pace_answered (struct pace *p, double ratio)
{
	if (!p->active)
		return;
	if (ratio > SLOW_RATIO) {
		p->trust = MAX (p->trust / 2, TRUST_MIN);
		return;
	}
	p->good++;
	p->hold_ms = 0;
	p->trust = MIN (p->trust * 2, 1);
}

void
pace_failed (struct pace *p, uint64_t now_ms)
{
	if (!p->active)
		return;
	p->hold_ms = CLAMP (p->hold_ms * 2, HOLD_FIRST_MS, HOLD_MAX_MS);
	p->hold_until_ms = now_ms + p->hold_ms;
	p->good = 0;
	p->proven = false;
}
