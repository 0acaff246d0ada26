/*
 * Frames and messages.  The first byte chooses a table.  The rest is read as
 * what a stranger sends, then as the body of a frame of our own, and a message
 * that is taken packs to one that is taken.
 */
#include <string.h>

#include "frame.h"
#include "fuzz.h"
#include "inv.h"
#include "keyflood.h"
#include "lease.h"
#include "msg.h"
#include "part.h"
#include "proto.h"
#include "raft.h"
#include "sm.h"
#include "susp.h"

#define OBJ_BYTES 4096

static const struct msg_field *const tables[] = {
	proto_subscribe_fields,   proto_update_fields,
	proto_key_id_fields,      proto_confirm_fields,
	proto_command_fields,     proto_command_reply_fields,
	proto_withdraw_fields,    proto_key_digest_fields,
	lease_beat_fields,        lease_ask_fields,
	part_ask_fields,          part_grant_fields,
	lease_grant_fields,       susp_msg_fields,
	keyflood_ids_fields,      keyflood_buckets_fields,
	inv_delta_fields,         raft_msg_fields,
	raft_entry_fields,        sm_reply_fields,
	sm_config_fields,         sm_withdraw_fields,
	sm_claim_fields,          sm_claim_done_fields,
	sm_order_fields,          sm_order_done_fields,
	sm_usage_fields,          sm_seal_fields,
	sm_reported_fields,       proto_load_fields,
	proto_member_load_fields,
};

static void
check_message (const struct msg_field *t, const uint8_t *data, size_t len)
{
	_Alignas(16) uint8_t obj[OBJ_BYTES], again[OBJ_BYTES];
	msgpack_sbuffer a, b;
	msgpack_zone zone;
	struct err e = {.kind = ERR_NONE};

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	msgpack_sbuffer_init (&a);
	msgpack_sbuffer_init (&b);
	if (msg_unpack (t, data, len, obj, &zone, &e)) {
		msg_pack (t, obj, &a);
		FUZZ_CHECK (msg_unpack (t, a.data, a.size, again, &zone, &e));
		msg_pack (t, again, &b);
		FUZZ_CHECK (
			a.size == b.size &&
			(a.size == 0 || memcmp (a.data, b.data, a.size) == 0));
	} else {
		FUZZ_CHECK (e.kind == ERR_PROTOCOL);
	}
	msgpack_sbuffer_destroy (&a);
	msgpack_sbuffer_destroy (&b);
	msgpack_zone_destroy (&zone);
}

static void
state_init (struct frame_state *s)
{
	static const uint8_t key[FRAME_KEY_BYTES], nonce[FRAME_NONCE_BYTES];

	frame_state_init (s, key, nonce, nonce, 0);
}

static void
stranger (const uint8_t *data, size_t len)
{
	struct frame_state s;
	const uint8_t *body;
	size_t body_len;
	uint8_t kind;
	struct err e;

	state_init (&s);
	FUZZ_CHECK (frame_open (&s, data, len, &kind, &body, &body_len, &e) <=
		    0);
	FUZZ_CHECK (s.seq == 0);
}

/* Open what was sealed, from memory that ends where the frame does. */
static void
own (const struct msg_field *t, uint8_t kind, const uint8_t *data, size_t len)
{
	struct frame_state from, to;
	size_t all = FRAME_HEAD_BYTES + len, body_len;
	uint8_t *buf = malloc (all), got;
	const uint8_t *body;
	struct err e;

	FUZZ_CHECK (buf != NULL);
	state_init (&from);
	state_init (&to);
	frame_seal (&from, kind, data, len, buf);
	memcpy (buf + FRAME_HEAD_BYTES, data, len);
	FUZZ_CHECK (frame_open (&to, buf, all - 1, &got, &body, &body_len,
				&e) == 0);
	FUZZ_CHECK (frame_open (&to, buf, all, &got, &body, &body_len, &e) ==
		    (int64_t)all);
	FUZZ_CHECK (got == kind && body_len == len);
	check_message (t, body, body_len);
	free (buf);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
	if (len == 0)
		return 0;
	stranger (data, len);
	own (tables[data[0] % (sizeof tables / sizeof *tables)], data[0],
	     data + 1, len - 1);
	return 0;
}
