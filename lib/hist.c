/*
 * Log-bucketed histograms.
 */
#include "hist.h"

/* Values below 4 have a bucket each; above, four buckets a power of two. */
static unsigned
bucket_of (uint64_t v)
{
	unsigned bits, ix;

	if (v < 4)
		return (unsigned)v;
	bits = 63U - (unsigned)__builtin_clzll (v);
	ix = (bits - 1) * 4 + (unsigned)((v >> (bits - 2)) & 3);
	return MIN (ix, HIST_BUCKETS - 1);
}

/* The largest value that a bucket holds. */
static uint64_t
bucket_top (unsigned ix)
{
	unsigned bits = ix / 4 + 1;

	if (ix < 4)
		return ix;
	return (((uint64_t)4 + ix % 4 + 1) << (bits - 2)) - 1;
}

void
hist_add (struct hist *h, uint64_t value)
{
	h->count++;
	h->sum += value;
	h->buckets[bucket_of (value)]++;
}

uint64_t
hist_quantile (const struct hist *h, double q)
{
	uint64_t seen = 0;
	double want = q * (double)h->count;

	for (unsigned i = 0; i < HIST_BUCKETS; i++) {
		seen += h->buckets[i];
		if (h->buckets[i] > 0 && (double)seen >= want)
			return bucket_top (i);
	}
	return 0;
}

void
hist_print (const struct hist *h, const char *name, const char *labels,
	    double scale, GString *out)
{
	const char *comma = *labels != '\0' ? "," : "";
	uint64_t seen = 0;

	for (unsigned i = 0; i < HIST_BUCKETS; i++) {
		if (h->buckets[i] == 0)
			continue;
		seen += h->buckets[i];
		g_string_append_printf (
			out, "%s_bucket{%s%sle=\"%g\"} %" G_GUINT64_FORMAT "\n",
			name, labels, comma, (double)bucket_top (i) / scale,
			seen);
	}
	g_string_append_printf (
		out, "%s_bucket{%s%sle=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name,
		labels, comma, h->count);
	g_string_append_printf (out, "%s_sum{%s} %g\n", name, labels,
				(double)h->sum / scale);
	g_string_append_printf (out, "%s_count{%s} %" G_GUINT64_FORMAT "\n",
				name, labels, h->count);
}
