/*
 * Requests and prompt segments that crash endpoints.  Nothing is barred yet.
 */
#include "blame.h"

const struct msg_field blame_record_fields[] = {
	MSG_FIELD (1, MSG_U64, struct blame_record, key),
	MSG_FIELD (2, MSG_U8, struct blame_record, what),
	MSG_FIELD (3, MSG_U32, struct blame_record, ep_hash),
	MSG_FIELD (4, MSG_U32, struct blame_record, origin),
	MSG_FIELD (5, MSG_U32, struct blame_record, age_ms),
	MSG_FIELD (6, MSG_U8, struct blame_record, trials),
	MSG_FIELD_END,
};

void
blame_init (struct blame *b, uint32_t self, const struct blame_ops *ops,
	    void *ctx)
{
	*b = (struct blame){.ops = ops, .ctx = ctx, .self = self};
}

void
blame_finish (struct blame *b)
{
	(void)b;
}

uint64_t
blame_segment_key (uint64_t id)
{
	return id;
}

uint64_t
blame_request_key (const char *request_line, const char *account,
		   const void *body, size_t len)
{
	(void)request_line;
	(void)account;
	(void)body;
	return len;
}

const char *
blame_key_kind (uint64_t key)
{
	(void)key;
	return "segment";
}

enum blame_verdict
blame_check (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint64_t *culprit, uint64_t now_ms)
{
	(void)b;
	(void)keys;
	(void)count;
	(void)now_ms;
	*culprit = 0;
	return BLAME_SEND;
}

void
blame_trial (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint64_t now_ms)
{
	(void)b;
	(void)keys;
	(void)count;
	(void)now_ms;
}

void
blame_broke (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint32_t ep_hash, uint64_t now_ms)
{
	(void)ep_hash;
	blame_trial (b, keys, count, now_ms);
}

void
blame_answered (struct blame *b, const uint64_t *keys, uint32_t count,
		uint64_t now_ms)
{
	blame_trial (b, keys, count, now_ms);
}

void
blame_merge (struct blame *b, const struct blame_record *records,
	     uint32_t count, GArray *fresh, uint64_t now_ms)
{
	(void)b;
	(void)records;
	(void)count;
	(void)fresh;
	(void)now_ms;
}

void
blame_take_news (struct blame *b, GArray *out)
{
	(void)b;
	(void)out;
}

void
blame_export (const struct blame *b, GArray *out, uint64_t now_ms)
{
	(void)b;
	(void)out;
	(void)now_ms;
}

void
blame_tick (struct blame *b, uint64_t now_ms)
{
	b->tick_ms = now_ms;
}
