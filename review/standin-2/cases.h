#ifndef REVIEW_CASES_H
#define REVIEW_CASES_H

#include "world.h"

/**
 * struct review_case - what one case needs and does
 * @lag_ms: age of the platform's list
 * @play: returns 1 where the rule was broken, 0 where it held, 2 where the
 *	case could not run
 */
struct review_case {
	int servers, relays, members;
	int lag_ms;
	int (*play) (bool trouble);
};

extern const struct review_case case_poison;
extern const struct review_case case_forget;
extern const struct review_case case_slow;
extern const struct review_case case_cold;
extern const struct review_case case_again;

/** start_server() - one more; it is cold for @cold_ms, or has run for long */
void start_server (const char *zone, int64_t cold_ms);

/** put_config() - the operator sends the desired state; false: not confirmed */
bool put_config (int limit_ms);

bool relay_is_ready (int relay, int port);

#endif
