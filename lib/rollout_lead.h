#ifndef DH_ROLLOUT_LEAD_H
#define DH_ROLLOUT_LEAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gmsg.h"
#include "rollout.h"
#include "rollout_judge.h"

/*
 * What the leader of the group keeps of one rollout in memory: the relays'
 * totals, their grants, and the test of the new version.  No I/O.  A new leader
 * begins without anything and learns it from the relays' next reports.
 */

/** ROLLOUT_ISSUE_SHARE - portion of the allowed exposure that is granted; the
 * rest covers retries and requests that relays count late */
#define ROLLOUT_ISSUE_SHARE 0.8

/* Portions of the time limit.  A version without any answer is bad at
 * ROLLOUT_SILENT_AT; the rest of the time after ROLLOUT_SHIFT_AT is for
 * requests on the old version to end. */
#define ROLLOUT_SHIFT_AT 0.6
#define ROLLOUT_DOUBT_UNTIL 0.85
#define ROLLOUT_SILENT_AT 0.9

/** ROLLOUT_MIN_ANSWERS - answers that a version needs to be shifted to before
 * ROLLOUT_DOUBT_UNTIL */
#define ROLLOUT_MIN_ANSWERS 5

/**
 * struct rollout_limits - the deployment's bounds
 * @share: of a service's requests that a bad version may get
 * @slack: requests that it may get beside
 */
struct rollout_limits {
	double share;
	double slack;
};

/** struct rollout_totals - a relay's totals of one version, route, domain */
struct rollout_totals {
	uint64_t route;
	uint64_t domain;
	bool is_new;
	uint64_t answers;
	uint64_t failures;
	uint32_t times[ROLLOUT_CELLS];
};

/** struct rollout_relay - what one process of a relay reported */
struct rollout_relay {
	uint64_t requests;
	uint64_t sent_new;
	uint64_t grant;    /* of this leader and those before it */
	uint64_t received; /* highest grant that it reported */
	uint64_t given;    /* by this leader */
	uint32_t old_inflight;
	uint32_t state; /* enum rollout_state that it acts on */
	uint64_t rate_from_requests;
	uint64_t rate_from_ms;
	double rate; /* requests per second */
	uint64_t reported_ms;
	bool linked;
	bool heard;     /* it has reported */
	GArray *totals; /* of struct rollout_totals */
};

/** struct rollout_lead - the leader's view; the caller owns the memory */
struct rollout_lead {
	uint64_t id;
	struct rollout_limits limits;
	GHashTable *relays; /* name/incarnation to struct rollout_relay * */
	struct rollout_judge judge;
	uint64_t available; /* committed, and not yet granted to a relay */
	uint64_t begun_ms;
	bool idle;       /* relays without traffic get grants too */
	bool taken_over; /* an earlier leader has granted requests */
};

/**
 * rollout_lead_init() - begin, at a new rollout or a new leader
 */
void rollout_lead_init (struct rollout_lead *l, const struct rollout *r,
			const struct rollout_limits *limits, uint64_t now_ms);

/** rollout_lead_finish() - release it */
void rollout_lead_finish (struct rollout_lead *l);

/**
 * rollout_lead_link() - a relay's link is up
 * @relay: name/incarnation of the relay
 */
void rollout_lead_link (struct rollout_lead *l, const char *relay);

/** rollout_lead_unlink() - its link is down; its totals stay counted */
void rollout_lead_unlink (struct rollout_lead *l, const char *relay);

/** rollout_lead_report() - take a relay's totals */
void rollout_lead_report (struct rollout_lead *l, const char *relay,
			  const struct gmsg_rollout_report *m, uint64_t now_ms);

/**
 * rollout_lead_issue() - the command to commit now
 *
 * It issues not more than the bound leaves, nor than relays with traffic have
 * room for.  The next one is due once it is applied.
 *
 * Return: whether there is anything to commit.
 */
bool rollout_lead_issue (struct rollout_lead *l, const struct rollout *r,
			 uint64_t now_ms, struct gstate_rollout_issue *out);

/** rollout_lead_issued() - @count more are committed; see rollout_lead_grant()
 */
void rollout_lead_issued (struct rollout_lead *l, uint64_t count);

/** rollout_lead_distribute() - grant what is committed to relays with traffic;
 * whether any grant grew */
bool rollout_lead_distribute (struct rollout_lead *l, uint64_t now_ms);

/** rollout_lead_grant() - the total granted to @relay */
uint64_t rollout_lead_grant (const struct rollout_lead *l, const char *relay);

/**
 * rollout_lead_decide() - the state that the rollout should have
 * @elapsed_ms: time since its start
 * @served: whether the configuration in force has the service
 * @why: set to the reason, for log lines
 */
enum rollout_state rollout_lead_decide (struct rollout_lead *l,
					const struct rollout *r,
					uint64_t elapsed_ms, bool served,
					uint64_t now_ms, const char **why);

#endif
