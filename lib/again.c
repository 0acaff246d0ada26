/*
 * After a failed send.
 */
#include "again.h"

/* Refused sends of one request; beyond that its endpoints are full. */
#define SENDS_MAX 4

/* With less time left another endpoint can hardly answer. */
#define LEFT_MIN_MS 60

static bool
may_repeat (const struct again_facts *f)
{
	return f->kind == PLAN_REPEATABLE ||
	       (f->kind == PLAN_STREAM && f->resumable);
}

enum again
again_last (const struct again_facts *f)
{
	if (f->begun)
		return AGAIN_CUT;
	if (f->answered && !f->not_run)
		return AGAIN_PASS;
	return f->runs == 0 ? AGAIN_REFUSE : AGAIN_UNKNOWN;
}

enum again
again_ask (const struct again_facts *f)
{
	bool in_time = f->left_ms >= LEFT_MIN_MS && f->sends < SENDS_MAX;

	if (!in_time)
		return again_last (f);
	if (!f->sent)
		return AGAIN_FREE;
	/* An earlier run would make this the second one. */
	if (f->not_run && (f->runs == 0 || may_repeat (f)))
		return AGAIN_SEND;
	if (may_repeat (f) && f->runs < f->attempts)
		return AGAIN_SEND;
	return again_last (f);
}

const char *
again_name (enum again v)
{
	switch (v) {
	case AGAIN_SEND:
		return "send";
	case AGAIN_FREE:
		return "send-unsent";
	case AGAIN_PASS:
		return "pass";
	case AGAIN_REFUSE:
		return "refuse";
	case AGAIN_UNKNOWN:
		return "unknown";
	case AGAIN_CUT:
		return "cut";
	}
	return "?";
}
