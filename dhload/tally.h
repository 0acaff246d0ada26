#ifndef DH_TALLY_H
#define DH_TALLY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "scen.h"

/*
 * What is counted in a run.
 */

#define TALLY_HIST_SUB 32 /* buckets for each doubling: within 3 % */
#define TALLY_HIST_BUCKETS (TALLY_HIST_SUB * 36)
#define TALLY_BINS_MAX 3600
#define TALLY_SLICE_S 5
#define TALLY_WHY_MAX 20

/** struct tally_hist - a histogram of microseconds, log-bucketed */
struct tally_hist {
	uint64_t count;
	uint64_t sum;
	uint64_t max;
	uint32_t buckets[TALLY_HIST_BUCKETS];
};

/** tally_hist_add() - count one value */
void tally_hist_add (struct tally_hist *h, uint64_t us);

/** tally_hist_at() - the value below which a share @q (0 to 1) lies */
uint64_t tally_hist_at (const struct tally_hist *h, double q);

/** enum tally_outcome - what became of a request */
enum tally_outcome {
	TALLY_WHOLE,      /* answered, whole and right */
	TALLY_REFUSED,    /* refused, said not to have run */
	TALLY_FAILED,     /* an error that may have run */
	TALLY_CUT,        /* ended early, and looked like it */
	TALLY_WRONG,      /* a wrong answer: must never be */
	TALLY_UNFINISHED, /* still open when the run ended */
	TALLY_OUTCOMES,
};

/** tally_outcome_name() - its name in reports */
const char *tally_outcome_name (enum tally_outcome o);

/** struct tally_bin - one second of a class */
struct tally_bin {
	uint32_t offered;
	uint32_t attained;
};

/** struct tally_class - figures of one class */
struct tally_class {
	uint64_t offered;
	uint64_t outcomes[TALLY_OUTCOMES];
	uint64_t ttft_ok;
	uint64_t itl_ok;
	uint64_t attained; /* whole, and within all targets */
	uint64_t tokens_whole;
	uint64_t tokens_attained;
	uint64_t tokens_cut;
	struct tally_hist ttft;
	struct tally_hist gap;
	struct tally_hist total;
	struct tally_bin bins[TALLY_BINS_MAX];
};

/** struct tally_account - figures of one client account in one class */
struct tally_account {
	uint64_t offered;
	uint64_t attained;
	uint64_t tokens_asked;
	uint64_t tokens_whole;
};

/** struct tally_standin - what a stand-in said of itself */
struct tally_standin {
	bool asked; /* it answered at least once */
	bool lost;  /* it did not answer at the end */
	int64_t tokens;
	int64_t cancelled_tokens;
	int64_t cold_violations;
	int64_t credentials;
	int64_t ran;
	int64_t ran_twice;
	int64_t max_at_once;
};

/** struct tally - a run's figures; the caller owns the memory */
struct tally {
	const struct scen *scen;
	struct tally_class *classes;
	struct tally_account *accounts; /* by class, then account */
	struct tally_account *slices;   /* by slice, class and account */
	uint32_t slice_count;
	struct tally_standin *first; /* at the start of the run */
	struct tally_standin *last;
	double seconds;
	uint64_t tokens_before; /* of requests that are not counted */
	uint64_t sent_late;     /* by this tool itself */
	uint64_t max_open;
	GHashTable *errors; /* name of error to count */
	char why[TALLY_WHY_MAX][160];
	uint32_t why_count;
	uint64_t false_not_run;
	uint64_t ran_twice;
	uint64_t lost_calls; /* answered as done, but did not run */
	uint64_t credentials;
};

/** struct tally_request - one finished request */
struct tally_request {
	uint32_t class_ix;
	uint32_t account_ix;
	enum tally_outcome outcome;
	uint64_t ttft_us;  /* 0 where no token came */
	uint64_t total_us; /* to its end */
	uint64_t tokens;   /* that arrived */
	uint64_t asked;    /* that the whole answer has */
	double at_s;       /* arrival, since the run began */
	bool call;
};

/** tally_init() - zero figures for a scenario */
void tally_init (struct tally *t, const struct scen *scen);

/** tally_finish() - release them */
void tally_finish (struct tally *t);

/** tally_add() - count one request */
void tally_add (struct tally *t, const struct tally_request *r);

/** tally_error() - count one error by its name */
void tally_error (struct tally *t, const char *name);

/** tally_why() - keep one line on a wrong answer */
void tally_why (struct tally *t, const char *fmt, ...)
	__attribute__ ((format (printf, 2, 3)));

/** tally_wrong() - things that must never be */
uint64_t tally_wrong (const struct tally *t);

/**
 * tally_worst() - the worst-served client account of a class
 * @class_ix: the class
 * @whole_run: shares of the whole run; else the sum of the shares of slices
 *	of TALLY_SLICE_S, by arrival
 * @account_ix: set to the account
 *
 * A fair share is what an account would get of the class's delivered tokens by
 * its weight, never more than it asked for (max-min fairness).  Service of one
 * time can't be given to a request of another, so the shares of slices are
 * what a scheduler can be held to; those of the whole run also hold what the
 * class's service as a whole did over time.
 *
 * Return: delivered tokens over the fair share, or -1 where none asked.
 */
double tally_worst (const struct tally *t, uint32_t class_ix, bool whole_run,
		    uint32_t *account_ix);

/** tally_weighted() - attainment weighted by the classes' weights, 0 to 1 */
double tally_weighted (const struct tally *t);

#endif
