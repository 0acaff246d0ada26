#ifndef DH_HIST_H
#define DH_HIST_H

#include <stdint.h>

#include <glib.h>

/*
 * A histogram of counts in buckets that grow by a quarter power of two: its
 * quantiles are right to about 9 in 100.
 */

#define HIST_BUCKETS 128

/** struct hist - counts of values, in any unit */
struct hist {
	uint64_t count;
	uint64_t sum;
	uint32_t buckets[HIST_BUCKETS];
};

/** hist_add() - count one value */
void hist_add (struct hist *h, uint64_t value);

/** hist_quantile() - least value that @q (0 to 1) of the values do not exceed,
 * 0 where there are none */
uint64_t hist_quantile (const struct hist *h, double q);

/**
 * hist_print() - append it in the Prometheus text format
 * @name: of the metric
 * @labels: as "a=\"b\"", or ""
 * @scale: values are divided by this
 */
void hist_print (const struct hist *h, const char *name, const char *labels,
		 double scale, GString *out);

#endif
