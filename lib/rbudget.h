#ifndef DH_RBUDGET_H
#define DH_RBUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * A relay's share of each service's retry budget.  In any window, the retries
 * of all relays together are at most a ratio of the requests plus a constant
 * slack.  Each relay limits itself to that ratio of its own requests plus an
 * equal share of the slack, so the total holds without any message between
 * relays.
 */

/**
 * struct rbudget_limits - the budget of all relays together
 * @ratio: retries allowed for each request
 * @slack: retries allowed in a window in addition
 * @window_ms: length of the window
 */
struct rbudget_limits {
	double ratio;
	double slack;
	uint32_t window_ms;
};

struct rbudget;

/**
 * rbudget_new() - create the retry budgets of a relay
 * @limits: limits for each service; copied
 *
 * Return: the budgets, to be freed with rbudget_free().
 */
struct rbudget *rbudget_new (const struct rbudget_limits *limits);

/** rbudget_free() - free the budgets */
void rbudget_free (struct rbudget *b);

/**
 * rbudget_add_request() - count a request received from a client
 * @b: the budgets
 * @service: name of the service it is for
 * @now_ms: current time
 */
void rbudget_add_request (struct rbudget *b, const char *service,
			  uint64_t now_ms);

/**
 * rbudget_take() - charge one retry to the budget of a service
 * @b: the budgets
 * @service: name of the service
 * @relays: number of relays that share the budget; 0 counts as 1
 * @now_ms: current time
 *
 * Return: true if the retry is allowed, false if this relay's share of the
 * budget is exhausted; then nothing is charged.
 */
bool rbudget_take (struct rbudget *b, const char *service, uint32_t relays,
		   uint64_t now_ms);

#endif
