/*
 * Wire tables of the messages between entries and control members.
 */
#include "proto.h"

const struct msg_field proto_subscribe_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_subscribe, revision),
	MSG_FIELD (2, MSG_BIN, struct proto_subscribe, digest),
	MSG_FIELD (3, MSG_STR, struct proto_subscribe, domain),
	MSG_FIELD (4, MSG_STR, struct proto_subscribe, admin),
	MSG_FIELD_END,
};

const struct msg_field proto_key_id_fields[] = {
	MSG_FIELD (1, MSG_STR, struct proto_key_id, id),
	MSG_FIELD_END,
};

const struct msg_field proto_update_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_update, base),
	MSG_FIELD (2, MSG_U64, struct proto_update, revision),
	MSG_FIELD (3, MSG_BIN, struct proto_update, digest),
	MSG_FIELD (4, MSG_BOOL, struct proto_update, more),
	MSG_FIELD_LIST (5, struct proto_update, delta, struct inv_change,
			inv_change_fields, PROTO_UPDATE_CHANGES_MAX),
	MSG_FIELD_LIST (6, struct proto_update, withdrawn, struct proto_key_id,
			proto_key_id_fields, PROTO_WITHDRAWN_MAX),
	MSG_FIELD (7, MSG_BOOL, struct proto_update, leaving_told),
	MSG_FIELD_LIST (8, struct proto_update, leaving, struct proto_key_id,
			proto_key_id_fields, PROTO_LEAVING_MAX),
	MSG_FIELD (9, MSG_BOOL, struct proto_update, quorum),
	MSG_FIELD_END,
};

static const struct msg_field proto_busy_fields[] = {
	MSG_FIELD (1, MSG_STR, struct proto_busy, name),
	MSG_FIELD (2, MSG_U32, struct proto_busy, busy),
	MSG_FIELD_END,
};

const struct msg_field proto_load_fields[] = {
	MSG_FIELD (1, MSG_STR, struct proto_load, entry),
	MSG_FIELD (2, MSG_U64, struct proto_load, incarnation),
	MSG_FIELD (3, MSG_U64, struct proto_load, revision),
	MSG_FIELD (4, MSG_U64, struct proto_load, asked),
	MSG_FIELD (5, MSG_U64, struct proto_load, attained),
	MSG_FIELD_LIST (6, struct proto_load, domains, struct proto_busy,
			proto_busy_fields, PROTO_BUSY_MAX),
	MSG_FIELD_LIST (7, struct proto_load, releasing, struct proto_busy,
			proto_busy_fields, PROTO_BUSY_MAX),
	MSG_FIELD_END,
};

const struct msg_field proto_confirm_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_confirm, revision),
	MSG_FIELD (2, MSG_BIN, struct proto_confirm, digest),
	MSG_FIELD_LIST (3, struct proto_confirm, load, struct proto_load,
			proto_load_fields, 1),
	MSG_FIELD_END,
};

const struct msg_field proto_member_load_fields[] = {
	MSG_FIELD_LIST (1, struct proto_member_load, loads, struct proto_load,
			proto_load_fields, PROTO_LOADS_MAX),
	MSG_FIELD_END,
};

const struct msg_field proto_command_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_command, id),
	MSG_FIELD (2, MSG_U8, struct proto_command, kind),
	MSG_FIELD_BYTES (3, struct proto_command, data,
			 PROTO_COMMAND_MAX_BYTES),
	MSG_FIELD (4, MSG_BOOL, struct proto_command, forwarded),
	MSG_FIELD_END,
};

const struct msg_field proto_command_reply_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_command_reply, id),
	MSG_FIELD (2, MSG_U8, struct proto_command_reply, error),
	MSG_FIELD_BYTES (3, struct proto_command_reply, reply,
			 PROTO_COMMAND_MAX_BYTES),
	MSG_FIELD_END,
};

const struct msg_field proto_withdraw_fields[] = {
	MSG_FIELD (1, MSG_STR, struct proto_withdraw, id),
	MSG_FIELD (2, MSG_STR, struct proto_withdraw, origin),
	MSG_FIELD_END,
};

const struct msg_field proto_key_digest_fields[] = {
	MSG_FIELD (1, MSG_U64, struct proto_key_digest, digest),
	MSG_FIELD_END,
};
