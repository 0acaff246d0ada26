#ifndef DH_RBUDGET_H
#define DH_RBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * A relay's part of the retry budget of each service: in any window, sends
 * beyond the first of a request are at most a share of the requests and a
 * slack, summed over all relays.  Each relay keeps to its own requests' share
 * and an even part of the slack, so that the sum holds without a message.
 */

/** struct rbudget_limits - the budget, all relays together */
struct rbudget_limits {
	double ratio;
	double slack;
	uint32_t window_ms;
};

struct spend;

/** rbudget_new() - a budget */
struct spend *rbudget_new (const struct rbudget_limits *rules);

/** rbudget_free() - release it */
void rbudget_free (struct spend *s);

/** rbudget_add_request() - a caller's request for @service came */
void rbudget_add_request (struct spend *s, const char *service,
			  uint64_t now_ms);

/**
 * rbudget_take() - take one send beyond the first
 * @relays: that share the budget
 *
 * Return: false where this relay's part is used up.
 */
bool rbudget_take (struct spend *s, const char *service, uint32_t relays,
		   uint64_t now_ms);

#endif
