#ifndef DH_PACE_H
#define DH_PACE_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Pacing of an endpoint that has just appeared or recovered.  To every relay it
 * looks idle, and its load becomes known as a sum over all relays that is some
 * hundred milliseconds old, so without a bound all of them send there before
 * any of them sees the others' requests.
 *
 * The bound is on the work of all relays that the endpoint has not answered
 * yet: a few requests at first, and then a share of those that it has in hand,
 * so that it grows with what the endpoint answers and shrinks as soon as
 * answers stay out.  For the time in which the sums don't show what the peers
 * send, the room below that bound is divided by what they are expected to send:
 * relays take turns, in an order that hashes give.
 *
 * The module does no input or output, and the caller passes the time in.
 */

/** PACE_WINDOW_MS - age of the sums over the relays at which a relay's request
 * is certain to be part of them, and the length of a turn */
#define PACE_WINDOW_MS 250

/** PACE_MAX_MS - longest time for which an endpoint is paced */
#define PACE_MAX_MS 30000

/**
 * struct pace - pacing of one endpoint at one relay
 * @active: the endpoint is paced
 * @proven: it answered, as the sums or this relay's requests show
 * @since_ms: when it appeared or recovered
 * @hold_until_ms: this relay sends nothing there until then
 * @hold_ms: length of the last such pause
 * @trust: factor of the bound, which slow answers lower
 * @good: good answers to this relay since @since_ms
 */
struct pace {
	bool active;
	bool proven;
	uint64_t since_ms;
	uint64_t hold_until_ms;
	uint32_t hold_ms;
	double trust;
	uint32_t good;
};

/**
 * struct pace_view - what a relay knows of a paced endpoint and its peers
 * @is_engine: the endpoint is a model engine and reports a prefill backlog
 * @known: the sums over all relays are known; otherwise the values are those of
 *	this relay alone
 * @running: requests of all relays there
 * @backlog: their prompt tokens that are not prefilled
 * @peer_running: mean of @running of the endpoints that are not paced
 * @peer_backlog: the same of @backlog
 * @prompt_tokens: mean length of prompts; 0: not known
 * @peer_sends: requests that the other relays would send there within
 *	PACE_WINDOW_MS if they were free to; negative: not known
 * @order: the relay's place in the order of turns: a hash of it and the
 *	endpoint
 * @relay_count: relays that share the endpoint, at least 1
 */
struct pace_view {
	bool is_engine;
	bool known;
	double running;
	double backlog;
	double peer_running;
	double peer_backlog;
	double prompt_tokens;
	double peer_sends;
	uint64_t order;
	uint32_t relay_count;
};

/** pace_begin() - the endpoint appeared or recovered: pace it from now on */
void pace_begin (struct pace *p, uint64_t now_ms);

/**
 * pace_update() - take in newer sums
 *
 * Pacing ends once the endpoint answers about half as many requests at once as
 * its peers.  To be called several times a second.
 */
void pace_update (struct pace *p, const struct pace_view *v, uint64_t now_ms);

/** pace_allows() - whether this relay may send a request that adds @tokens to
 * the backlog; always when the endpoint is not paced */
bool pace_allows (const struct pace *p, const struct pace_view *v,
		  double tokens, uint64_t now_ms);

/**
 * pace_wait_ms() - time to the first token at the endpoint, from the sums alone
 * @hold_ms: time that a stream holds a slot
 *
 * By Little's law: the requests that are not answered over the rate of answers,
 * which is those in hand over the time that each is in hand.  Holds for an
 * endpoint that is not paced as well, and with relays that get an answer of it
 * once a minute.
 *
 * Return: the time; negative where the sums don't tell.
 */
double pace_wait_ms (const struct pace_view *v, double hold_ms);

/**
 * pace_answered() - the endpoint began a good answer to this relay
 * @ratio: time that it took, over the time expected of the peers
 */
void pace_answered (struct pace *p, double ratio);

/** pace_failed() - a request of this relay failed there, or was refused */
void pace_failed (struct pace *p, uint64_t now_ms);

#endif
