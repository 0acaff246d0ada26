#ifndef DH_RELAYD_ROLLOUT_H
#define DH_RELAYD_ROLLOUT_H

#include "gmsg.h"
#include "h1cli.h"
#include "place.h"

/*
 * Rollouts at a relay, see rollout_share.h: which version each attempt goes to,
 * the evidence that its end is, and reports to the leader.
 */

struct call;
struct relay;

void relay_rollout_init (struct relay *r);
void relay_rollout_finish (struct relay *r);

/** relay_rollout_receive() - a member sent rollouts */
void relay_rollout_receive (struct relay *r, const struct gmsg_rollouts *m);

/** relay_rollout_list_changed() - the list of endpoints changed: assign sides
 * and lanes; @index is that of struct gmsg_list, 0 without one */
void relay_rollout_list_changed (struct relay *r, uint64_t index);

/** relay_rollout_tick() - report to the leader */
void relay_rollout_tick (struct relay *r, uint64_t now_ms);

/** relay_rollout_print() - append the metrics */
void relay_rollout_print (const struct relay *r, GString *out);

/** rollout_choose() - choose an endpoint of a version that @c may go to */
struct place_result rollout_choose (struct call *c,
				    const struct place_relay *self,
				    struct place_req *req, uint64_t now_ms);

/** rollout_attempt_started() - the call is sent to call.ep */
void rollout_attempt_started (struct call *c);

/** rollout_answer_begun() - the first byte came @took_ms after the sending */
void rollout_answer_begun (struct call *c, double took_ms);

/** rollout_attempt_ended() - the attempt is over; called while the endpoint is
 * still that of the call; @cut: its domain was cut off before */
void rollout_attempt_ended (struct call *c, enum h1cli_end end, bool cut);

/** rollout_attempt_timed_out() - the call's time is up without an answer */
void rollout_attempt_timed_out (struct call *c, uint64_t now_ms);

#endif
