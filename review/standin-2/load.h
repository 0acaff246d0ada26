#ifndef REVIEW_LOAD_H
#define REVIEW_LOAD_H

#include "cases.h"

/*
 * A steady load of short requests, and what of it arrives at cold servers.
 */

/* cold_per_s x cold_overshoot + cold_slack */
#define LOAD_COLD_BOUND (8.4 * 1.5 + 5)
#define LOAD_COLD_MS 3000
#define LOAD_LAG_MS 800

/** load_start() - start the requests, @per_s of them for @for_ms */
void load_start (int per_s, int for_ms);

/** load_result() - 1 where a cold server got more than the bound */
int load_result (void);

#endif
