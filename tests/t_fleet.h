#ifndef DH_T_FLEET_H
#define DH_T_FLEET_H

#include "fleet.h"

/**
 * t_fleet_init() - initialise a relay's table with a list of endpoints
 * @count: endpoints "e-0", "e-1", ... of the service "engines", in the domains
 *	"d0" to "d4" in turn
 * @plain_each: every endpoint whose number is a multiple of this belongs to the
 *	service "plain" instead; 0 for none
 * @relay_hash: hash of the relay's name
 */
void t_fleet_init (struct fleet *f, uint32_t count, uint32_t plain_each,
		   uint32_t relay_hash);

#endif
