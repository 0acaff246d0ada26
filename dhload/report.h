#ifndef DH_REPORT_H
#define DH_REPORT_H

#include <stdio.h>

#include "tally.h"

/*
 * The figures of a run, for people, spreadsheets and programs.  The three
 * forms hold the same figures.
 */

/** struct report_work - where the engines' tokens went */
struct report_work {
	int64_t generated;   /* as the stand-ins say */
	int64_t whole;       /* in whole answers, in time or late */
	int64_t late;        /* of these, past a target */
	int64_t cut;         /* relayed, then cut */
	int64_t cancelled;   /* made for callers or entries that left */
	int64_t undelivered; /* the rest: retries, duplicates, crashes */
	uint32_t lost;       /* stand-ins that did not answer at the end */
};

/** struct report_cost - what the endpoints cost; 0 where no price is given */
struct report_cost {
	double total;
	double per_attained; /* for each request within its targets */
	double cheap_share;  /* of tokens, made on reclaimable endpoints */
};

/** report_work() - work out where tokens went */
void report_work (const struct tally *t, struct report_work *w);

/** report_cost() - work out the cost */
void report_cost (const struct tally *t, struct report_cost *c);

/** report_table() - write the report for people */
void report_table (const struct tally *t, FILE *out);

/** report_csv() - write one line a figure: scope,name,figure,value */
void report_csv (const struct tally *t, FILE *out);

/** report_json() - write one JSON object */
void report_json (const struct tally *t, FILE *out);

/** plot_svg() - draw attainment by class over time */
void plot_svg (const struct tally *t, FILE *out);

#endif
