/*
 * Field tables of the messages between relays and their group.
 */
#include "gmsg.h"

const struct msg_field gmsg_join_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_join, id),
	MSG_FIELD (2, MSG_STR, struct gmsg_join, name),
	MSG_FIELD (3, MSG_STR, struct gmsg_join, addr),
	MSG_FIELD (4, MSG_STR, struct gmsg_join, domain),
	MSG_FIELD_END,
};

static const struct msg_field addr_fields[] = {
	MSG_FIELD (1, MSG_STR, struct gmsg_addr, addr),
	MSG_FIELD_END,
};

const struct msg_field gmsg_state_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_state, version),
	MSG_FIELD (2, MSG_U64, struct gmsg_state, drain_index),
	MSG_FIELD_LIST (3, struct gmsg_state, drained, struct gstate_drain,
			gstate_drain_fields, GSTATE_DOMAINS_MAX),
	MSG_FIELD (4, MSG_BOOL, struct gmsg_state, is_leader),
	MSG_FIELD (5, MSG_BOOL, struct gmsg_state, has_leader),
	MSG_FIELD (6, MSG_U64, struct gmsg_state, list_digest),
	MSG_FIELD (7, MSG_U32, struct gmsg_state, list_age_ms),
	MSG_FIELD (8, MSG_U32, struct gmsg_state, relays),
	MSG_FIELD_LIST (9, struct gmsg_state, members, struct gmsg_addr,
			addr_fields, RAFT_MEMBERS_MAX),
	MSG_FIELD (10, MSG_U64, struct gmsg_state, sealed_window),
	MSG_FIELD (11, MSG_U64, struct gmsg_state, wall_ms),
	MSG_FIELD (12, MSG_U32, struct gmsg_state, list_interval_ms),
	MSG_FIELD_END,
};

const struct msg_field gmsg_request_fields[] = {
	MSG_FIELD (1, MSG_BOOL, struct gmsg_request, plan),
	MSG_FIELD (2, MSG_BOOL, struct gmsg_request, list_subscribe),
	MSG_FIELD (3, MSG_BOOL, struct gmsg_request, list_unsubscribe),
	MSG_FIELD (4, MSG_BOOL, struct gmsg_request, chunked),
	MSG_FIELD (5, MSG_U64, struct gmsg_request, version),
	MSG_FIELD (6, MSG_U32, struct gmsg_request, offset),
	MSG_FIELD_END,
};

const struct msg_field gmsg_plan_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_plan, version),
	MSG_FIELD_BYTES (2, struct gmsg_plan, text, GSTATE_PLAN_MAX_BYTES),
	MSG_FIELD_END,
};

const struct msg_field gmsg_list_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_list, digest),
	MSG_FIELD (2, MSG_U32, struct gmsg_list, age_ms),
	MSG_FIELD_LIST (3, struct gmsg_list, entries, struct fleet_info,
			fleet_info_fields, FLEET_LIST_MAX),
	MSG_FIELD (4, MSG_U64, struct gmsg_list, base_digest),
	MSG_FIELD_LIST (5, struct gmsg_list, removed, struct load_ep,
			load_ep_fields, FLEET_LIST_MAX),
	MSG_FIELD (6, MSG_U64, struct gmsg_list, rollout_index),
	MSG_FIELD_END,
};

const struct msg_field gmsg_report_fields[] = {
	MSG_FIELD_LIST (1, struct gmsg_report, windows, struct gstate_window,
			gstate_window_fields, GMSG_WINDOWS_MAX),
	MSG_FIELD (2, MSG_BOOL, struct gmsg_report, delta),
	MSG_FIELD_END,
};

const struct msg_field gmsg_blame_fields[] = {
	MSG_FIELD_LIST (1, struct gmsg_blame, records, struct blame_record,
			blame_record_fields, BLAME_RECORDS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field told_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_rollout, id),
	MSG_FIELD (2, MSG_STR, struct gmsg_rollout, service),
	MSG_FIELD (3, MSG_STR, struct gmsg_rollout, target),
	MSG_FIELD (4, MSG_U32, struct gmsg_rollout, state),
	MSG_FIELD (5, MSG_U64, struct gmsg_rollout, grant),
	MSG_FIELD_END,
};

const struct msg_field gmsg_rollouts_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_rollouts, index),
	MSG_FIELD (2, MSG_U64, struct gmsg_rollouts, term),
	MSG_FIELD (3, MSG_BOOL, struct gmsg_rollouts, is_leader),
	MSG_FIELD (4, MSG_BOOL, struct gmsg_rollouts, has_leader),
	MSG_FIELD_LIST (5, struct gmsg_rollouts, rollouts, struct gmsg_rollout,
			told_fields, ROLLOUTS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field rollout_report_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gmsg_rollout_report, id),
	MSG_FIELD (2, MSG_STR, struct gmsg_rollout_report, service),
	MSG_FIELD (3, MSG_U64, struct gmsg_rollout_report, requests),
	MSG_FIELD (4, MSG_U64, struct gmsg_rollout_report, sent_new),
	MSG_FIELD (5, MSG_U32, struct gmsg_rollout_report, old_inflight),
	MSG_FIELD (6, MSG_U64, struct gmsg_rollout_report, grant),
	MSG_FIELD (7, MSG_U32, struct gmsg_rollout_report, state),
	MSG_FIELD_LIST (8, struct gmsg_rollout_report, evidence,
			struct rollout_evidence, rollout_evidence_fields,
			ROLLOUT_EVIDENCE_MAX),
	MSG_FIELD_END,
};

const struct msg_field gmsg_rollout_reports_fields[] = {
	MSG_FIELD_LIST (1, struct gmsg_rollout_reports, reports,
			struct gmsg_rollout_report, rollout_report_fields,
			ROLLOUTS_MAX),
	MSG_FIELD_END,
};
