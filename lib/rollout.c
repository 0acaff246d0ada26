/*
 * Rollouts: types that relays and members of the group share.
 */
#include <glib.h>

#include "rollout.h"

/* Prompt lengths, in tokens, from which the next class begins. */
static const uint32_t class_tokens[ROLLOUT_CLASSES - 1] = {512, 2048, 8192};

/* Upper ends of the buckets; each is about 1.8 times the one before, so an
 * answer three times slower moves by one or two buckets. */
static const double bucket_ms[ROLLOUT_BUCKETS - 1] = {
	2,   3.6, 6.5, 11.7, 21,   37.8, 68,  122,
	220, 397, 714, 1285, 2313, 4164, 7495};

const struct msg_field rollout_fields[] = {
	MSG_FIELD (1, MSG_U64, struct rollout, id),
	MSG_FIELD (2, MSG_STR, struct rollout, service),
	MSG_FIELD (3, MSG_STR, struct rollout, target),
	MSG_FIELD (4, MSG_U64, struct rollout, duration_ms),
	MSG_FIELD (5, MSG_U64, struct rollout, started_wall_ms),
	MSG_FIELD (6, MSG_U32, struct rollout, state),
	MSG_FIELD (7, MSG_U64, struct rollout, issued),
	MSG_FIELD (8, MSG_U64, struct rollout, requests),
	MSG_FIELD (9, MSG_U64, struct rollout, answers),
	MSG_FIELD_END,
};

static const struct msg_field rollout_time_fields[] = {
	MSG_FIELD (1, MSG_U32, struct rollout_time, cell),
	MSG_FIELD (2, MSG_U32, struct rollout_time, count),
	MSG_FIELD_END,
};

const struct msg_field rollout_evidence_fields[] = {
	MSG_FIELD (1, MSG_U64, struct rollout_evidence, route),
	MSG_FIELD (2, MSG_U64, struct rollout_evidence, domain),
	MSG_FIELD (3, MSG_BOOL, struct rollout_evidence, is_new),
	MSG_FIELD (4, MSG_U64, struct rollout_evidence, answers),
	MSG_FIELD (5, MSG_U64, struct rollout_evidence, failures),
	MSG_FIELD_LIST (6, struct rollout_evidence, times, struct rollout_time,
			rollout_time_fields, ROLLOUT_CELLS),
	MSG_FIELD_END,
};

uint32_t
rollout_cell (uint32_t prompt_tokens, double first_byte_ms)
{
	uint32_t class = 0, bucket = 0;

	while (class < ROLLOUT_CLASSES - 1 &&
	       prompt_tokens >= class_tokens[class])
		class ++;
	while (bucket < ROLLOUT_BUCKETS - 1 &&
	       first_byte_ms >= bucket_ms[bucket])
		bucket++;
	return class * ROLLOUT_BUCKETS + bucket;
}

const char *
rollout_state_name (enum rollout_state s)
{
	switch (s) {
	case ROLLOUT_NONE:
		break;
	case ROLLOUT_RUNNING:
		return "running";
	case ROLLOUT_SHIFTING:
		return "shifting";
	case ROLLOUT_SUCCEEDED:
		return "succeeded";
	case ROLLOUT_ROLLED_BACK:
		return "rolled_back";
	}
	return "none";
}

bool
rollout_may_become (enum rollout_state from, enum rollout_state to)
{
	return (from == ROLLOUT_RUNNING && to == ROLLOUT_SHIFTING) ||
	       (from == ROLLOUT_SHIFTING && to == ROLLOUT_SUCCEEDED) ||
	       ((from == ROLLOUT_RUNNING || from == ROLLOUT_SHIFTING) &&
		to == ROLLOUT_ROLLED_BACK);
}

bool
rollout_is_over (enum rollout_state s)
{
	return s == ROLLOUT_SUCCEEDED || s == ROLLOUT_ROLLED_BACK;
}
