/*
 * Numbers drawn from a scenario's distributions, and its rates over time.
 */
#include <math.h>

#include "scen.h"

static double
normal (GRand *rand)
{
	double u = 1 - g_rand_double (rand), v = g_rand_double (rand);

	return sqrt (-2 * log (u)) * cos (2 * G_PI * v);
}

uint64_t
scen_draw (const struct scen_dist *d, GRand *rand)
{
	double x = d->mean;

	switch (d->shape) {
	case SCEN_CONST:
		break;
	case SCEN_UNIFORM:
		x = 2 * d->mean * g_rand_double (rand);
		break;
	case SCEN_EXP:
		x = -log (1 - g_rand_double (rand)) * d->mean;
		break;
	case SCEN_LOGNORMAL:
		/* exp (mu + 1/2) is the mean where sigma is 1. */
		x = exp (log (d->mean) - 0.5 + normal (rand));
		break;
	}
	x = CLAMP (x, d->min, d->max);
	return (uint64_t)(x + 0.5);
}

double
scen_rate (const struct scen_load *l, double t_s)
{
	double rate = l->rate_per_s;

	for (guint i = 0; i < l->bursts->len; i++) {
		const struct scen_burst *b =
			&g_array_index (l->bursts, struct scen_burst, i);

		if (t_s >= b->at_s && t_s < b->at_s + b->for_s)
			rate *= b->factor;
	}
	return rate;
}

double
scen_max_rate (const struct scen_load *l)
{
	double rate = l->rate_per_s;

	for (guint i = 0; i < l->bursts->len; i++) {
		const struct scen_burst *b =
			&g_array_index (l->bursts, struct scen_burst, i);

		if (b->factor > 1)
			rate *= b->factor;
	}
	return rate;
}
