#ifndef DH_LOADS_PRIV_H
#define DH_LOADS_PRIV_H

#include "loads.h"

/* What the files of the loads module give each other. */

/* A speed with the relay that announced it. */
struct reported_speed {
	const void *relay;
	struct load_speed speed;
};

/* What one relay reported, and what it was sent. */
struct report {
	GHashTable *own;  /* ep_hash to struct load, its own load */
	GHashTable *sent; /* ep_hash to struct load, peer load as last sent */
	GArray *subscription; /* of struct load_ep; NULL: no deltas */
	bool want_snapshot;   /* the next update is a snapshot */
	uint64_t prefill_ms;  /* total of its last report */
	uint32_t domain_hash;
	uint32_t waiting[LOADS_RANKS];      /* own, as reported last */
	uint32_t sent_waiting[LOADS_RANKS]; /* of its peers, as last sent */
};

/* loads_news.c */
/* Replaces what waits at the relay of @r. */
void loads_set_waiting (struct loads *l, struct report *r,
			const struct load_waiting *w, uint32_t count);
/* Takes the speeds that @relay announces. */
void loads_add_speeds (struct loads *l, const void *relay,
		       const struct loads_msg *m);

#endif
