/*
 * Wire tables of the state machine's commands.
 */
#include "sm.h"

const struct msg_field sm_config_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_config, base_revision),
	MSG_FIELD (2, MSG_STR, struct sm_config, change_id),
	MSG_FIELD (3, MSG_STR, struct sm_config, who),
	MSG_FIELD (4, MSG_U64, struct sm_config, wall_ms),
	MSG_FIELD_LIST (5, struct sm_config, delta.changes, struct inv_change,
			inv_change_fields, SM_CHANGE_MAX),
	MSG_FIELD_END,
};

const struct msg_field sm_withdraw_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_withdraw, key_id),
	MSG_FIELD (2, MSG_U64, struct sm_withdraw, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_claim_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_claim, account),
	MSG_FIELD (2, MSG_STR, struct sm_claim, key),
	MSG_FIELD (3, MSG_BIN, struct sm_claim, digest),
	MSG_FIELD (4, MSG_STR, struct sm_claim, entry),
	MSG_FIELD (5, MSG_U64, struct sm_claim, incarnation),
	MSG_FIELD (6, MSG_U64, struct sm_claim, attempt),
	MSG_FIELD (7, MSG_U64, struct sm_claim, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_claim_done_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_claim_done, account),
	MSG_FIELD (2, MSG_STR, struct sm_claim_done, key),
	MSG_FIELD (3, MSG_STR, struct sm_claim_done, entry),
	MSG_FIELD (4, MSG_U64, struct sm_claim_done, incarnation),
	MSG_FIELD (5, MSG_U64, struct sm_claim_done, attempt),
	MSG_FIELD (6, MSG_U8, struct sm_claim_done, outcome),
	MSG_FIELD (7, MSG_U16, struct sm_claim_done, status),
	MSG_FIELD (8, MSG_STR, struct sm_claim_done, type),
	MSG_FIELD_BYTES (9, struct sm_claim_done, body, SM_SENT_BODY_MAX),
	MSG_FIELD (10, MSG_U64, struct sm_claim_done, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_order_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_order, id),
	MSG_FIELD (2, MSG_U8, struct sm_order, kind),
	MSG_FIELD (3, MSG_STR, struct sm_order, endpoint),
	MSG_FIELD (4, MSG_STR, struct sm_order, domain),
	MSG_FIELD (5, MSG_STR, struct sm_order, model),
	MSG_FIELD (6, MSG_U64, struct sm_order, wall_ms),
	MSG_FIELD (7, MSG_STR, struct sm_order, role),
	MSG_FIELD (8, MSG_BOOL, struct sm_order, reclaimable),
	MSG_FIELD_END,
};

const struct msg_field sm_order_done_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_order_done, id),
	MSG_FIELD (2, MSG_U8, struct sm_order_done, state),
	MSG_FIELD (3, MSG_STR, struct sm_order_done, endpoint),
	MSG_FIELD (4, MSG_STR, struct sm_order_done, why),
	MSG_FIELD (5, MSG_U64, struct sm_order_done, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_usage_row_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_usage_row, window_ms),
	MSG_FIELD (2, MSG_STR, struct sm_usage_row, account),
	MSG_FIELD (3, MSG_STR, struct sm_usage_row, klass),
	MSG_FIELD (4, MSG_U64, struct sm_usage_row, n.requests),
	MSG_FIELD (5, MSG_U64, struct sm_usage_row, n.prompt_tokens),
	MSG_FIELD (6, MSG_U64, struct sm_usage_row, n.completion_tokens),
	MSG_FIELD (7, MSG_U64, struct sm_usage_row, n.refused),
	MSG_FIELD (8, MSG_U64, struct sm_usage_row, n.wasted_tokens),
	MSG_FIELD_END,
};

const struct msg_field sm_usage_fields[] = {
	MSG_FIELD (1, MSG_STR, struct sm_usage, instance),
	MSG_FIELD (2, MSG_U64, struct sm_usage, incarnation),
	MSG_FIELD (3, MSG_U64, struct sm_usage, wall_ms),
	MSG_FIELD_LIST (4, struct sm_usage, rows, struct sm_usage_row,
			sm_usage_row_fields, SM_ROWS_MAX),
	MSG_FIELD (5, MSG_U64, struct sm_usage, closed_before_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_seal_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_seal, window_ms),
	MSG_FIELD (2, MSG_U32, struct sm_seal, length_ms),
	MSG_FIELD (3, MSG_STR, struct sm_seal, report_id),
	MSG_FIELD (4, MSG_U64, struct sm_seal, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_reported_fields[] = {
	MSG_FIELD (1, MSG_U64, struct sm_reported, window_ms),
	MSG_FIELD (2, MSG_STR, struct sm_reported, report_id),
	MSG_FIELD (3, MSG_U64, struct sm_reported, wall_ms),
	MSG_FIELD_END,
};

const struct msg_field sm_reply_fields[] = {
	MSG_FIELD (1, MSG_U32, struct sm_reply, kind),
	MSG_FIELD (2, MSG_U64, struct sm_reply, revision),
	MSG_FIELD (3, MSG_U8, struct sm_reply, outcome),
	MSG_FIELD (4, MSG_BOOL, struct sm_reply, granted),
	MSG_FIELD (5, MSG_U16, struct sm_reply, status),
	MSG_FIELD (6, MSG_STR, struct sm_reply, type),
	MSG_FIELD_BYTES (7, struct sm_reply, body, SM_BODY_MAX),
	MSG_FIELD (8, MSG_STR, struct sm_reply, why),
	MSG_FIELD (9, MSG_U32, struct sm_reply, dropped),
	MSG_FIELD_END,
};

const struct msg_field *
sm_kind_fields (uint8_t kind)
{
	switch ((enum sm_kind)kind) {
	case SM_NOOP:
		return NULL;
	case SM_CONFIG:
		return sm_config_fields;
	case SM_KEY_WITHDRAW:
		return sm_withdraw_fields;
	case SM_CLAIM:
		return sm_claim_fields;
	case SM_CLAIM_DONE:
		return sm_claim_done_fields;
	case SM_ORDER:
		return sm_order_fields;
	case SM_ORDER_DONE:
		return sm_order_done_fields;
	case SM_USAGE:
		return sm_usage_fields;
	case SM_WINDOW_SEAL:
		return sm_seal_fields;
	case SM_WINDOW_REPORTED:
		return sm_reported_fields;
	}
	return NULL;
}
