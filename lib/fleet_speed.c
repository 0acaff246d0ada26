/*
 * Estimates of the speed of the engines in a table, see speed.h.
 */
#include "fleet_speed.h"

/* Engines of a service whose speed is known, before they are compared. */
#define COMPARE_MIN 4

bool
fleet_add_speed (struct fleet_ep *ep, double gap_ms)
{
	speed_add (&ep->speed, gap_ms);
	return speed_announce_due (&ep->speed);
}

void
fleet_merge_speeds (struct fleet *f, const struct load_speed *list,
		    uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct fleet_ep *ep = fleet_find_hash (f, list[i].ep_hash);

		if (ep != NULL)
			speed_merge (&ep->speed, list[i].gap_us / 1000.0);
	}
}

static gint
by_value (gconstpointer a, gconstpointer b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

/* The median over the pool's engines that are listed; 0 where few are known. */
static double
usual_gap_ms (const struct fleet_pool *p)
{
	GArray *known = g_array_new (FALSE, FALSE, sizeof (double));
	double usual = 0;

	for (guint i = 0; i < p->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (p->eps, i);

		if (ep->listed && ep->speed.gap_ms > 0)
			g_array_append_val (known, ep->speed.gap_ms);
	}
	g_array_sort (known, by_value);
	if (known->len >= COMPARE_MIN)
		usual = g_array_index (known, double, known->len / 2);
	g_array_free (known, TRUE);
	return usual;
}

void
fleet_compare_speeds (struct fleet *f)
{
	for (guint i = 0; i < f->pools->len; i++) {
		struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		p->usual_gap_ms = usual_gap_ms (p);
		for (guint k = 0; k < p->eps->len; k++) {
			struct fleet_ep *ep = g_ptr_array_index (p->eps, k);

			ep->slowness =
				speed_slowness (&ep->speed, p->usual_gap_ms);
		}
	}
}

void
fleet_add_prefill (struct fleet *f, struct fleet_ep *ep, double tokens,
		   double took_ms)
{
	struct fleet_pool *p = fleet_pool (f, ep->info.service, ep->side);

	if (p != NULL)
		p->prefill_per_ms = speed_add_prefill (
			p->prefill_per_ms, tokens, took_ms / ep->slowness);
}

double
fleet_prefill_per_ms (const struct fleet_pool *p, const struct fleet_ep *ep)
{
	return (p->prefill_per_ms > 0 ? p->prefill_per_ms
				      : SPEED_PREFILL_PER_MS) /
	       ep->slowness;
}
