#ifndef DH_ROLLOUT_SHARE_H
#define DH_ROLLOUT_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "fleet.h"
#include "gmsg.h"
#include "rollout.h"

/*
 * A relay's part in rollouts: which versions of a service a request may go to,
 * the use of the relay's grant, and what it reports to the leader.  The module
 * does no input or output, and the caller passes the time in.
 *
 * It acts only once a member sent a struct gmsg_rollouts, which members do
 * where the deployment has rollouts.  Until then every endpoint is in
 * FLEET_MAIN, whatever its version.
 *
 * The side of each endpoint is computed from its version when the list or a
 * rollout changes, and the fleet has one pool for each side of a service.  Thus
 * a choice costs the same as without rollouts, and endpoints of another version
 * take no part in lanes, hash rings and samples.
 *
 * A version that appears beside an older one may be the target of a rollout
 * that the relay has yet to hear of.  It is held until a message that was sent
 * later, by a member that knew as much as the sender of the list, names no
 * rollout to it.
 */

/**
 * struct rollout_share - state of the module; the caller owns the memory
 * @domain: failure domain of this relay
 * @enabled: a member sent rollouts
 * @tick_ms: last call of rollout_share_tick(); 0: none
 * @fresh_from_ms: messages before it may have waited while the process paused
 * @index: struct gmsg_rollouts.index of the newest message
 * @heard_ms: when a member that had a leader sent rollouts last
 * @list_index: struct gmsg_list.rollout_index of the list in use
 * @rollouts: of struct share_rollout *, the newest of each service
 * @versions: of struct share_version, by service and version
 * @urgent: something is to be reported at once
 * @change_seq: increases with each change of evidence
 */
struct rollout_share {
	const char *domain;
	bool enabled;
	uint64_t tick_ms;
	uint64_t fresh_from_ms;
	uint64_t index;
	uint64_t heard_ms;
	uint64_t list_index;
	GPtrArray *rollouts;
	GHashTable *versions;
	bool urgent;
	uint64_t change_seq;
};

/**
 * struct share_rollout - a rollout as this relay knows it
 * @msg: as it was received last; @msg.grant is the highest one
 * @requests: of the service that were sent since the rollout became known
 * @sent_new: sent to the target version, retries included
 * @focus: endpoints of the target version that this relay uses while it runs
 * @focus_near: it prefers those of its own failure domain
 * @used_ms: when a grant was used last
 * @routes: of struct share_route
 * @evidence: of struct share_evidence *
 * @older: versions that were listed beside the target, a set of char *
 */
struct share_rollout {
	struct gmsg_rollout msg;
	uint64_t requests;
	uint64_t sent_new;
	uint32_t focus;
	bool focus_near;
	uint64_t used_ms;
	GArray *routes;
	GPtrArray *evidence;
	GHashTable *older;
};

/**
 * struct share_version - a version of a service that is listed
 * @cleared: no rollout concerns it, or one to it succeeded
 * @barred: it is, or was, the target of one that didn't succeed
 * @index: rollout_share.list_index when it appeared
 * @seen_ms: when it appeared
 * @first_start_ms: first start of its endpoints; 0: not stated
 * @count: its endpoints
 */
struct share_version {
	char service[FLEET_NAME_BYTES];
	char version[FLEET_VERSION_BYTES];
	bool cleared, barred, listed;
	uint64_t index;
	uint64_t seen_ms;
	uint64_t first_start_ms;
	uint32_t count;
};

/** struct share_evidence - answers that are counted in one entry
 * @seq: rollout_share.change_seq of its last change */
struct share_evidence {
	struct rollout_evidence totals;
	uint32_t cells[ROLLOUT_CELLS];
	uint64_t seq;
};

/** rollout_share_init() - initialise; @domain, the relay's, has to last */
void rollout_share_init (struct rollout_share *s, const char *domain);
void rollout_share_finish (struct rollout_share *s);

/**
 * rollout_share_tick() - the process runs; to be called several times a second
 *
 * After a pause, messages that arrived in it are read as if they were new. They
 * don't make a grant valid.
 */
void rollout_share_tick (struct rollout_share *s, uint64_t now_ms);

/**
 * rollout_share_receive() - apply a message
 *
 * Return: whether a rollout or its state changed, or a held version is
 * released; rollout_share_assign() has to follow.
 */
bool rollout_share_receive (struct rollout_share *s,
			    const struct gmsg_rollouts *m, uint64_t now_ms);

/**
 * rollout_share_set_list() - the endpoint list changed
 * @index: struct gmsg_list.rollout_index; 0 where the relay read it itself
 *
 * rollout_share_assign() has to follow.
 */
void rollout_share_set_list (struct rollout_share *s, uint64_t index);

/**
 * rollout_share_assign() - compute the side of each listed endpoint
 *
 * Return: whether one changed; fleet_build_pools() and place_assign_lanes()
 * have to follow.
 */
bool rollout_share_assign (struct rollout_share *s, struct fleet *f,
			   uint64_t now_ms);

/** rollout_share_find() - the rollout of a service, or NULL */
struct share_rollout *rollout_share_find (const struct rollout_share *s,
					  const char *service);

/** rollout_share_is_target() - whether @r, or NULL, moves a service to @version
 */
bool rollout_share_is_target (const struct share_rollout *r,
			      const char *version);

/** rollout_share_grant() - requests that may be sent to the target version now
 */
uint64_t rollout_share_grant (const struct rollout_share *s,
			      const struct share_rollout *r, uint64_t now_ms);

/**
 * struct share_request - a request that needs an endpoint
 * @route: 64-bit hash of its route's name
 * @is_retry: it was sent before
 * @sent_new: it was sent to the target version before
 */
struct share_request {
	const char *service;
	uint64_t route;
	bool is_retry;
	bool sent_new;
};

#define SHARE_SIDES_MAX 4

/**
 * struct share_choice - sides that a request may go to, the first one first
 * @optional: any other outcome than an endpoint leads from the first side to
 *	the next; otherwise only PLACE_NONE does, which always leads on from the
 *	others
 * @focus: struct place_req.focus for FLEET_TARGET
 * @focus_near: the same of focus_near
 */
struct share_choice {
	enum fleet_side sides[SHARE_SIDES_MAX];
	uint32_t count;
	bool optional;
	uint32_t focus;
	bool focus_near;
};

/** rollout_share_choose() - which sides a request may go to now */
struct share_choice rollout_share_choose (struct rollout_share *s,
					  const struct fleet *f,
					  const struct share_request *q,
					  uint64_t now_ms);

/** rollout_share_allows() - whether @ep may get a request at all, with the
 * grant where one is needed */
bool rollout_share_allows (const struct rollout_share *s,
			   const struct fleet_ep *ep, uint64_t now_ms);

/**
 * rollout_share_sent() - a request is sent to @ep
 * @is_first: it was not sent before
 *
 * Return: whether @ep has the target version of a rollout that isn't over.
 */
bool rollout_share_sent (struct rollout_share *s, const struct fleet_ep *ep,
			 uint64_t route, bool is_first, uint64_t now_ms);

/* rollout_evidence.c */

/**
 * rollout_share_answered() - an answer began that is no failure so far
 * @prefill_tokens: prompt tokens that the endpoint had to prefill.  They, and
 *	not the length of the prompt, make versions comparable: the new one has
 *	an empty prefix cache.
 * @is_cold: the endpoint was cold, its times say nothing
 */
void rollout_share_answered (struct rollout_share *s, const struct fleet_ep *ep,
			     uint64_t route, uint32_t prefill_tokens,
			     double first_byte_ms, bool is_cold);

/** rollout_share_failed() - an exchange failed through the endpoint
 * @counted: rollout_share_answered() was called for it */
void rollout_share_failed (struct rollout_share *s, const struct fleet_ep *ep,
			   uint64_t route, bool counted);

/**
 * rollout_share_report() - what to report to the leader
 * @since: evidence that changed after this rollout_share.change_seq; 0: all
 * @reports: receives struct gmsg_rollout_report, of the rollouts that aren't
 *	over; to be freed by rollout_share_report_free()
 */
void rollout_share_report (const struct rollout_share *s, const struct fleet *f,
			   uint64_t since, GArray *reports);
void rollout_share_report_free (GArray *reports);

#endif
