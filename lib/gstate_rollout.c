/*
 * Rollouts in the replicated state.
 */
#include <string.h>

#include "gstate.h"

const struct msg_field gstate_rollout_start_fields[] = {
	MSG_FIELD (1, MSG_STR, struct gstate_rollout_start, service),
	MSG_FIELD (2, MSG_STR, struct gstate_rollout_start, target),
	MSG_FIELD (3, MSG_U64, struct gstate_rollout_start, duration_ms),
	MSG_FIELD (4, MSG_U64, struct gstate_rollout_start, wall_ms),
	MSG_FIELD (5, MSG_U64, struct gstate_rollout_start, repeat_ms),
	MSG_FIELD_END,
};

const struct msg_field gstate_rollout_issue_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_rollout_issue, id),
	MSG_FIELD (2, MSG_U64, struct gstate_rollout_issue, count),
	MSG_FIELD (3, MSG_U64, struct gstate_rollout_issue, requests),
	MSG_FIELD (4, MSG_U64, struct gstate_rollout_issue, answers),
	MSG_FIELD_END,
};

const struct msg_field gstate_rollout_state_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_rollout_state, id),
	MSG_FIELD (2, MSG_U32, struct gstate_rollout_state, state),
	MSG_FIELD_END,
};

static struct rollout *
at (const struct gstate *s, guint i)
{
	return &g_array_index (s->rollouts, struct rollout, i);
}

const struct rollout *
gstate_rollout (const struct gstate *s, const char *service)
{
	for (guint i = 0; i < s->rollouts->len; i++) {
		if (strcmp (at (s, i)->service, service) == 0)
			return at (s, i);
	}
	return NULL;
}

struct rollout *
gstate_rollout_by_id (const struct gstate *s, uint64_t id)
{
	for (guint i = 0; i < s->rollouts->len; i++) {
		if (at (s, i)->id == id)
			return at (s, i);
	}
	return NULL;
}

bool
gstate_rollout_accepts (const struct rollout *r,
			const struct gstate_rollout_start *cmd)
{
	return strcmp (r->service, cmd->service) == 0 &&
	       strcmp (r->target, cmd->target) == 0 &&
	       r->duration_ms == cmd->duration_ms &&
	       (!rollout_is_over (r->state) ||
		cmd->wall_ms < r->started_wall_ms + cmd->repeat_ms);
}

/* Makes room for one more; false where all that are kept still run. */
static bool
make_room (struct gstate *s)
{
	if (s->rollouts->len < ROLLOUTS_MAX)
		return true;
	for (guint i = 0; i < s->rollouts->len; i++) {
		if (!rollout_is_over (at (s, i)->state))
			continue;
		g_array_remove_index (s->rollouts, i);
		return true;
	}
	return false;
}

static void
start (struct gstate *s, uint64_t index, const struct gstate_rollout_start *cmd)
{
	struct rollout r = {
		.id = index,
		.duration_ms = cmd->duration_ms,
		.started_wall_ms = cmd->wall_ms,
		.state = ROLLOUT_RUNNING,
	};

	for (guint i = 0; i < s->rollouts->len; i++) {
		if (strcmp (at (s, i)->service, cmd->service) != 0)
			continue;
		if (!rollout_is_over (at (s, i)->state) ||
		    gstate_rollout_accepts (at (s, i), cmd))
			return;
		g_array_remove_index (s->rollouts, i);
		break;
	}
	if (!make_room (s))
		return;
	g_strlcpy (r.service, cmd->service, sizeof r.service);
	g_strlcpy (r.target, cmd->target, sizeof r.target);
	g_array_append_val (s->rollouts, r);
}

bool
gstate_apply_rollout (struct gstate *s, uint64_t index, enum gstate_kind kind,
		      const uint8_t *data, size_t len, struct err *e)
{
	union {
		struct gstate_rollout_start start;
		struct gstate_rollout_issue issue;
		struct gstate_rollout_state state;
	} u;
	const struct msg_field *fields = gstate_rollout_start_fields;
	struct rollout *r;
	msgpack_zone zone;
	bool ok;

	if (kind == GSTATE_ROLLOUT_ISSUE)
		fields = gstate_rollout_issue_fields;
	else if (kind == GSTATE_ROLLOUT_STATE)
		fields = gstate_rollout_state_fields;
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = msg_unpack (fields, data, len, &u, &zone, e);
	msgpack_zone_destroy (&zone);
	if (!ok)
		return false;
	if (kind == GSTATE_ROLLOUT_START) {
		start (s, index, &u.start);
	} else if (kind == GSTATE_ROLLOUT_ISSUE) {
		r = gstate_rollout_by_id (s, u.issue.id);
		if (r != NULL && r->state == ROLLOUT_RUNNING) {
			r->issued += u.issue.count;
			r->requests = MAX (r->requests, u.issue.requests);
			r->answers = MAX (r->answers, u.issue.answers);
		}
		/* Relays act on starts and states only, so the index that they
		 * wait for does not move with each step. */
		return true;
	} else {
		r = gstate_rollout_by_id (s, u.state.id);
		if (r != NULL && rollout_may_become (r->state, u.state.state))
			r->state = u.state.state;
	}
	s->rollout_index = index;
	return true;
}
