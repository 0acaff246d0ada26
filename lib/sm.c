/*
 * The replicated state machine's frame: construction, the way from a packed
 * command to the subject that applies it, and the clock that retention goes
 * by.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "sm_int.h"

struct sm *
sm_new (void)
{
	struct sm *sm = g_new0 (struct sm, 1);

	sm_conf_init (sm);
	sm_claim_init (sm);
	sm_order_init (sm);
	sm_usage_init (sm);
	return sm;
}

void
sm_free (struct sm *sm)
{
	if (sm == NULL)
		return;
	sm_usage_finish (sm);
	sm_order_finish (sm);
	sm_claim_finish (sm);
	sm_conf_finish (sm);
	g_free (sm);
}

void
sm_refuse (struct sm_reply *r, enum err_kind kind, const char *fmt, ...)
{
	va_list ap;

	r->kind = kind;
	va_start (ap, fmt);
	vsnprintf (r->why, sizeof r->why, fmt, ap);
	va_end (ap);
}

void
sm_saw_instance (struct sm *sm, const char *name, uint64_t incarnation)
{
	struct sm_instance *in = g_tree_lookup (sm->instances, name);

	if (name[0] == '\0')
		return;
	if (in == NULL) {
		in = g_new0 (struct sm_instance, 1);
		g_strlcpy (in->name, name, sizeof in->name);
		g_tree_insert (sm->instances, in->name, in);
	}
	in->incarnation = MAX (in->incarnation, incarnation);
}

/*
 * Retention goes by the proposers' wall clocks.  One that is far ahead must
 * not expire everybody's records at once, so each entry moves the clock by a
 * bounded step; a clock that falls behind only keeps records longer.
 */
static void
clock_advance (struct sm *sm, uint64_t wall_ms)
{
	if (wall_ms <= sm->clock_ms)
		return;
	if (sm->clock_ms != 0 && wall_ms - sm->clock_ms > SM_CLOCK_STEP_MS)
		wall_ms = sm->clock_ms + SM_CLOCK_STEP_MS;
	sm->clock_ms = wall_ms;
}

union command {
	struct sm_config config;
	struct sm_withdraw withdraw;
	struct sm_claim claim;
	struct sm_claim_done claim_done;
	struct sm_order order;
	struct sm_order_done order_done;
	struct sm_usage usage;
	struct sm_seal seal;
	struct sm_reported reported;
};

static uint64_t
command_wall_ms (enum sm_kind kind, const union command *c)
{
	switch (kind) {
	case SM_NOOP:
		return 0;
	case SM_CONFIG:
		return c->config.wall_ms;
	case SM_KEY_WITHDRAW:
		return c->withdraw.wall_ms;
	case SM_CLAIM:
		return c->claim.wall_ms;
	case SM_CLAIM_DONE:
		return c->claim_done.wall_ms;
	case SM_ORDER:
		return c->order.wall_ms;
	case SM_ORDER_DONE:
		return c->order_done.wall_ms;
	case SM_USAGE:
		return c->usage.wall_ms;
	case SM_WINDOW_SEAL:
		return c->seal.wall_ms;
	case SM_WINDOW_REPORTED:
		return c->reported.wall_ms;
	}
	return 0;
}

static void
dispatch (struct sm *sm, uint64_t term, enum sm_kind kind,
	  const union command *c, struct sm_reply *r)
{
	switch (kind) {
	case SM_NOOP:
		return;
	case SM_CONFIG:
		sm_conf_apply (sm, &c->config, r);
		return;
	case SM_KEY_WITHDRAW:
		sm_conf_withdraw (sm, &c->withdraw, r);
		return;
	case SM_CLAIM:
		sm_claim_apply (sm, &c->claim, r);
		return;
	case SM_CLAIM_DONE:
		sm_claim_outcome (sm, &c->claim_done, r);
		return;
	case SM_ORDER:
		sm_order_apply (sm, &c->order, term, r);
		return;
	case SM_ORDER_DONE:
		sm_order_outcome (sm, &c->order_done, r);
		return;
	case SM_USAGE:
		sm_usage_apply (sm, &c->usage, r);
		return;
	case SM_WINDOW_SEAL:
		sm_usage_seal (sm, &c->seal, r);
		return;
	case SM_WINDOW_REPORTED:
		sm_usage_reported (sm, &c->reported, r);
		return;
	}
}

void
sm_apply (struct sm *sm, uint64_t index, uint64_t term, uint8_t kind,
	  const void *data, size_t len, struct sm_reply *reply)
{
	const struct msg_field *fields = sm_kind_fields (kind);
	union command c;
	msgpack_zone zone;
	struct err e = {.kind = ERR_NONE};

	memset (reply, 0, sizeof *reply);
	reply->revision = sm->revision;
	if (index <= sm->applied) {
		sm_refuse (reply, ERR_INTERNAL, "log index %lu: applied before",
			   (unsigned long)index);
		return;
	}
	sm->applied = index;
	if (kind == SM_NOOP)
		return;
	/* A kind of a later version: every member skips it alike. */
	if (fields == NULL) {
		sm_refuse (reply, ERR_PROTOCOL, "command kind %u: unknown",
			   kind);
		return;
	}
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (msg_unpack (fields, data, len, &c, &zone, &e)) {
		clock_advance (sm, command_wall_ms (kind, &c));
		dispatch (sm, term, (enum sm_kind)kind, &c, reply);
	} else {
		sm_refuse (reply, e.kind, "command kind %u: %s", kind, e.msg);
	}
	msgpack_zone_destroy (&zone);
}

uint64_t
sm_applied (const struct sm *sm)
{
	return sm->applied;
}

uint64_t
sm_revision (const struct sm *sm)
{
	return sm->revision;
}

const struct inv_doc *
sm_doc (const struct sm *sm)
{
	return &sm->doc;
}
