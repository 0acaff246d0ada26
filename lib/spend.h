#ifndef DH_SPEND_H
#define DH_SPEND_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * A relay's part of the retry budget of each service: in any window, sends
 * beyond the first of a request are at most a share of the requests and a
 * slack, summed over all relays.  Each relay keeps to its own requests' share
 * and an even part of the slack, so that the sum holds without a message.
 */

/** struct spend_rules - the budget, all relays together */
struct spend_rules {
	double ratio;
	double slack;
	uint32_t window_ms;
};

struct spend;

/** spend_new() - a budget */
struct spend *spend_new (const struct spend_rules *rules);

/** spend_free() - release it */
void spend_free (struct spend *s);

/** spend_request() - a caller's request for @service came */
void spend_request (struct spend *s, const char *service, uint64_t now_ms);

/**
 * spend_take() - take one send beyond the first
 * @relays: that share the budget
 *
 * Return: false where this relay's part is used up.
 */
bool spend_take (struct spend *s, const char *service, uint32_t relays,
		 uint64_t now_ms);

#endif
