#ifndef DH_SCALE_H
#define DH_SCALE_H

#include <stdbool.h>
#include <stdint.h>

#include "inv.h"

/*
 * How many endpoints to hold, and where: one order or release at a time, from
 * attainment, load, price, risk of reclaim and the budget.  Pure: what was
 * seen before is carried in struct scale_memory.
 */

/**
 * struct scale_settings - the figures
 * @attain_low_permille: attainment below this is a shortage
 * @attain_high_permille: endpoints are released only at or above this
 * @load_low_permille: busy slots below this are surplus
 * @load_high_permille: a release must leave the load below this
 * @short_ms: a shortage must last so long before an endpoint is ordered
 * @idle_ms: a surplus must last so long before one is released
 * @settle_ms: after an order or release, wait so long for its effect
 * @risk_ms: a domain that reclaimed endpoints gets no cheap ones for so long
 * @cheap_permille: most endpoints that may be reclaimable
 * @least: endpoints kept in each domain that is not drained
 * @budget_per_h: most to spend, in millionths of the currency an hour; 0: no
 *	bound
 */
struct scale_settings {
	uint16_t attain_low_permille;
	uint16_t attain_high_permille;
	uint16_t load_low_permille;
	uint16_t load_high_permille;
	uint32_t short_ms;
	uint32_t idle_ms;
	uint32_t settle_ms;
	uint32_t risk_ms;
	uint16_t cheap_permille;
	uint16_t least;
	uint32_t budget_per_h;
};

/** SCALE_SETTINGS_DEFAULT - cautious figures */
#define SCALE_SETTINGS_DEFAULT                                                 \
	{                                                                      \
		.attain_low_permille = 950, .attain_high_permille = 990,       \
		.load_low_permille = 400, .load_high_permille = 700,           \
		.short_ms = 10000, .idle_ms = 300000, .settle_ms = 30000,      \
		.risk_ms = 600000, .cheap_permille = 500, .least = 1           \
	}

/** struct scale_domain - a failure domain and what it offers */
struct scale_domain {
	char name[INV_NAME_BYTES];
	bool drained;
	uint32_t price_per_h;  /* of a new endpoint; 0: none to be had */
	uint32_t cheap_per_h;  /* of a reclaimable one; 0: none to be had */
	uint64_t reclaimed_ms; /* monotonic time of the last reclaim; 0: none */
	uint32_t pending;      /* ordered, not live yet */
	uint32_t pending_cheap; /* of these */
	uint64_t pending_per_h; /* their price */
};

/** struct scale_endpoint - an endpoint that is paid for */
struct scale_endpoint {
	char name[INV_NAME_BYTES];
	uint32_t domain_ix;
	uint32_t price_per_h;
	bool reclaimable;
	bool leaving; /* reclaimed or released, but not gone */
	uint32_t slots;
	uint32_t busy;
	bool kept; /* operators': never released */
};

/**
 * struct scale_view - what a decision reads
 * @attain_permille: requests that met their targets, weighted by priority
 */
struct scale_view {
	const struct scale_settings *settings;
	uint64_t now_ms; /* monotonic */
	uint16_t attain_permille;
	const struct scale_domain *domains;
	uint32_t domain_count;
	const struct scale_endpoint *endpoints;
	uint32_t endpoint_count;
};

/** struct scale_memory - for hysteresis; zeroed at the start */
struct scale_memory {
	uint64_t short_since_ms; /* 0: no shortage */
	uint64_t idle_since_ms;  /* 0: no surplus */
	uint64_t acted_ms;       /* last order or release; 0: none */
};

/** enum scale_step - what to do */
enum scale_step {
	SCALE_HOLD,
	SCALE_ORDER,
	SCALE_RELEASE,
};

/** struct scale_verdict - a decision */
struct scale_verdict {
	enum scale_step step;
	uint32_t domain_ix;   /* for an order */
	bool reclaimable;     /* for an order: a cheap one */
	uint32_t endpoint_ix; /* for a release */
	const char *why;
};

/**
 * scale_decide() - what to do now
 * @v: the situation
 * @m: what was seen before; brought up to date
 *
 * An order or release that is returned is taken for given.
 */
struct scale_verdict scale_decide (const struct scale_view *v,
				   struct scale_memory *m);

/** scale_step_name() - "hold", "order" or "release" */
const char *scale_step_name (enum scale_step s);

#endif
