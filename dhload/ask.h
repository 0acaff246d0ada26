#ifndef DH_ASK_H
#define DH_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include "check.h"
#include "err.h"
#include "httpc.h"
#include "run.h"
#include "tally.h"

/*
 * One request, from sending to verdict.
 */

/** struct run_end - what callers were told of one tag, over all resends */
struct run_end {
	bool once;
	bool call;
	bool told_other;   /* some answer was not "not run" */
	bool told_not_run; /* some answer was "not run" */
	bool told_done;    /* some answer was whole */
};

/** struct ask - one request */
struct ask {
	struct run *run;
	struct run_source *source;
	struct httpc *http;
	struct check check;
	GList link; /* in run.asks */
	uint32_t account_ix;
	uint32_t target;
	uint64_t resends_left;
	uint64_t start_us;
	uint64_t first_us;
	uint64_t last_us;
	double at_s;
	int status;
	char ran[12]; /* the answer's ran header */
	bool counted;
};

/** ask_send() - send a new request of @src that was due at @due_s */
void ask_send (struct run_source *src, double due_s);

/** ask_abandon() - end a request that is still open at the end */
void ask_abandon (struct ask *a);

/** ask_verify() - compare what callers were told with what ran */
void ask_verify (struct run *r);

#endif
