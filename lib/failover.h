#ifndef DH_FAILOVER_H
#define DH_FAILOVER_H

#include <stdbool.h>
#include <stdint.h>

#include "plan.h"

/*
 * Decides what becomes of a request whose endpoint did not serve it.  Endpoints
 * crash, refuse requests or fail some of them, and the retry budget is small
 * and shared by all relays; a request that may run only once must never be
 * retried after it may have run.
 *
 * Engines that crash or are reclaimed end many streams at once, some of which
 * may not run again.  Such a run goes on where a copy of its KV cache is kept,
 * but only after its engine has ended, since it must not run at both.
 */

/**
 * struct failover_input - a request after a failed attempt
 * @kind: request kind of its route
 * @resumable: the stream can be resumed at another endpoint
 * @sent: a byte of the request may have reached the endpoint
 * @not_run: the endpoint stated that it did not run it and will not run it
 * @answered: a complete response arrived that could be forwarded
 * @response_started: bytes of a response have reached the client
 * @has_copy: another engine has a copy of the run, which can go on there if the
 *	first engine has ended
 * @possible_runs: endpoints at which the request may have run
 * @max_runs: endpoints at which it may run at most
 * @attempt_count: times an endpoint received the request, also those where it
 *	was refused; a failed connection doesn't count
 * @remaining_ms: time until the deadline
 */
struct failover_input {
	enum plan_kind kind;
	bool resumable;
	bool sent;
	bool not_run;
	bool answered;
	bool response_started;
	bool has_copy;
	uint32_t possible_runs;
	uint32_t max_runs;
	uint32_t attempt_count;
	uint64_t remaining_ms;
};

/** enum failover_action - what the relay does with the request */
enum failover_action {
	FAILOVER_RETRY, /* try another endpoint if the retry budget allows */
	FAILOVER_RETRY_UNSENT, /* the same without charge: nothing was sent */
	FAILOVER_PASS,         /* forward the response as it arrived */
	FAILOVER_REFUSE,       /* tell the client that it did not run */
	FAILOVER_UNKNOWN,      /* tell the client that it may have run */
	FAILOVER_CUT, /* end the response so that it is seen as truncated */
	FAILOVER_CONTINUE, /* go on from the copy once the engine is known to
			      have ended; otherwise as FAILOVER_CUT */
};

/**
 * failover_decide() - choose what to do after a failed attempt
 * @f: state of the request
 *
 * Return: the action; for FAILOVER_RETRY the caller charges the retry budget,
 * and asks failover_final() where it is exhausted.
 */
enum failover_action failover_decide (const struct failover_input *f);

/**
 * failover_final() - choose what to do where no further attempt is possible
 * @f: state of the request
 *
 * Return: an action other than FAILOVER_RETRY and FAILOVER_RETRY_UNSENT.
 */
enum failover_action failover_final (const struct failover_input *f);

/**
 * failover_action_name() - name of an action in log lines
 * @action: an action
 *
 * Return: a static string, "?" for an unknown value.
 */
const char *failover_action_name (enum failover_action action);

#endif
