/*
 * Tables of many endpoints for tests.
 */
#include "t_fleet.h"

#include "place.h"

void
t_fleet_init (struct fleet *f, uint32_t count, uint32_t plain_each,
	      uint32_t relay_hash)
{
	struct fleet_info *infos = g_new0 (struct fleet_info, count);

	for (uint32_t i = 0; i < count; i++) {
		bool plain = plain_each > 0 && i % plain_each == 0;

		g_snprintf (infos[i].id, sizeof infos[i].id, "e-%u", i);
		g_snprintf (infos[i].domain, sizeof infos[i].domain, "d%u",
			    i % 5);
		g_strlcpy (infos[i].service, plain ? "plain" : "engines",
			   sizeof infos[i].service);
		g_strlcpy (infos[i].addr, "10.0.0.1:80", sizeof infos[i].addr);
	}
	fleet_init (f, NULL, NULL);
	f->relay_hash = relay_hash;
	fleet_set_list (f, infos, count, 1000, 0);
	place_assign_lanes (f);
	g_free (infos);
}
