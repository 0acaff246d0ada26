#ifndef DH_FLEET_SPEED_H
#define DH_FLEET_SPEED_H

#include "fleet.h"
#include "loads.h"

/*
 * Estimates of the speed of the engines in a table, see speed.h.
 */

/**
 * fleet_add_speed() - a stream of @ep had its events @gap_ms apart
 *
 * Return: whether to announce speed.gap_ms to the peers.
 */
bool fleet_add_speed (struct fleet_ep *ep, double gap_ms);

/** fleet_merge_speeds() - take the estimates that peers announced, an array of
 * struct load_speed */
void fleet_merge_speeds (struct fleet *f, const struct load_speed *list,
			 uint32_t count);

/** fleet_compare_speeds() - compare the engines of each service; to be called
 * about once a second where speeds are learned */
void fleet_compare_speeds (struct fleet *f);

/**
 * fleet_add_prefill() - a prefill at @ep that did not wait took @took_ms
 * @tokens: prompt tokens
 */
void fleet_add_prefill (struct fleet *f, struct fleet_ep *ep, double tokens,
			double took_ms);

/** fleet_prefill_per_ms() - prompt tokens that @ep of @p prefills in a
 * millisecond */
double fleet_prefill_per_ms (const struct fleet_pool *p,
			     const struct fleet_ep *ep);

#endif
