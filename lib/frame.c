/*
 * Sealing and opening frames.
 */
#include <arpa/inet.h>
#include <sodium.h>
#include <string.h>

#include "frame.h"

const char *
frame_kind_name (uint32_t kind)
{
	static const char *const names[FRAME_KINDS] = {
		[FRAME_HELLO] = "hello",
		[FRAME_RAFT] = "raft",
		[FRAME_MEMBER_STATUS] = "member_status",
		[FRAME_MEMBER_LOAD] = "member_load",
		[FRAME_CONF_SUBSCRIBE] = "conf_subscribe",
		[FRAME_CONF_UPDATE] = "conf_update",
		[FRAME_CONF_CONFIRM] = "conf_confirm",
		[FRAME_COMMAND] = "command",
		[FRAME_COMMAND_REPLY] = "command_reply",
		[FRAME_LEASE_BEAT] = "lease_beat",
		[FRAME_KEY_WITHDRAW] = "key_withdraw",
		[FRAME_KEY_PARTS] = "key_parts",
		[FRAME_LEASE_ASK] = "lease_ask",
		[FRAME_LEASE_GRANT] = "lease_grant",
		[FRAME_LEASE_OFFER] = "lease_offer",
		[FRAME_STRIKES] = "strikes",
		[FRAME_USAGE_MIRROR] = "usage_mirror",
		[FRAME_CONF_PULL] = "conf_pull",
		[FRAME_KEY_DIGEST] = "key_digest",
		[FRAME_PART_ASK] = "part_ask",
		[FRAME_PART_GRANT] = "part_grant",
		[FRAME_GROUP_JOIN] = "group_join",
		[FRAME_GROUP_STATE] = "group_state",
		[FRAME_GROUP_ASK] = "group_ask",
		[FRAME_GROUP_PLAN] = "group_plan",
		[FRAME_GROUP_LIST] = "group_list",
		[FRAME_GROUP_REPORT] = "group_report",
		[FRAME_GROUP_LOAD] = "group_load",
		[FRAME_GROUP_OTHERS] = "group_others",
		[FRAME_GROUP_BLAME] = "group_blame",
		[FRAME_GROUP_CHUNK] = "group_chunk",
		[FRAME_GROUP_ROLLOUTS] = "group_rollouts",
		[FRAME_GROUP_ROLLOUT_REPORT] = "group_rollout_report",
	};

	return kind < FRAME_KINDS ? names[kind] : NULL;
}

void
frame_state_init (struct frame_state *s,
		  const uint8_t cluster_key[FRAME_KEY_BYTES],
		  const uint8_t nonce_c[FRAME_NONCE_BYTES],
		  const uint8_t nonce_s[FRAME_NONCE_BYTES], uint8_t dir)
{
	uint8_t seed[2 * FRAME_NONCE_BYTES + 1];

	memcpy (seed, nonce_c, FRAME_NONCE_BYTES);
	memcpy (seed + FRAME_NONCE_BYTES, nonce_s, FRAME_NONCE_BYTES);
	seed[2 * FRAME_NONCE_BYTES] = dir;
	crypto_generichash (s->key, sizeof s->key, seed, sizeof seed,
			    cluster_key, FRAME_KEY_BYTES);
	s->dir = dir;
	s->seq = 0;
}

/* The hash over sequence number, kind, length and body. */
static void
frame_mac (const struct frame_state *s, uint8_t kind, const void *body,
	   size_t len, uint8_t mac[FRAME_MAC_BYTES])
{
	crypto_generichash_state st;
	uint64_t head[2] = {s->seq, ((uint64_t)len << 8) | kind};

	crypto_generichash_init (&st, s->key, sizeof s->key, FRAME_MAC_BYTES);
	crypto_generichash_update (&st, (const uint8_t *)head, sizeof head);
	if (len > 0)
		crypto_generichash_update (&st, body, len);
	crypto_generichash_final (&st, mac, FRAME_MAC_BYTES);
}

void
frame_seal (struct frame_state *s, uint8_t kind, const void *body, size_t len,
	    uint8_t head[FRAME_HEAD_BYTES])
{
	uint32_t n = htonl ((uint32_t)len);

	memcpy (head, &n, 4);
	frame_mac (s, kind, body, len, head + 4);
	head[4 + FRAME_MAC_BYTES] = kind;
	s->seq++;
}

int64_t
frame_open (struct frame_state *s, const uint8_t *buf, size_t len,
	    uint8_t *kind, const uint8_t **body, size_t *body_len,
	    struct err *e)
{
	uint8_t mac[FRAME_MAC_BYTES];
	uint32_t n;

	if (len < FRAME_HEAD_BYTES)
		return 0;
	memcpy (&n, buf, 4);
	n = ntohl (n);
	if (n > FRAME_MAX_BYTES) {
		err_set (e, ERR_PROTOCOL, "frame of %u bytes is too long", n);
		return -1;
	}
	if (len - FRAME_HEAD_BYTES < n)
		return 0;
	*kind = buf[4 + FRAME_MAC_BYTES];
	*body = buf + FRAME_HEAD_BYTES;
	*body_len = n;
	frame_mac (s, *kind, *body, n, mac);
	if (sodium_memcmp (mac, buf + 4, FRAME_MAC_BYTES) != 0) {
		err_set (e, ERR_AUTH, "frame's hash is wrong");
		return -1;
	}
	s->seq++;
	return (int64_t)FRAME_HEAD_BYTES + n;
}

void
frame_print_sent (const char *name, const uint64_t *bytes, GString *out)
{
	for (uint32_t k = 0; k < FRAME_KINDS; k++) {
		if (bytes[k] == 0 || frame_kind_name (k) == NULL)
			continue;
		g_string_append_printf (
			out, "%s{kind=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
			frame_kind_name (k), bytes[k]);
	}
}
