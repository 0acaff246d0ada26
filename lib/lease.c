/*
 * The lease object of one entry: its messages, and the calls that reach its
 * three parts.
 */
#include <string.h>

#include "lease.h"
#include "lease_priv.h"

static const struct msg_field lease_echo_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_echo, to),
	MSG_FIELD (2, MSG_U64, struct lease_echo, sent_ms),
	MSG_FIELD_END,
};

const struct msg_field lease_beat_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_beat, from),
	MSG_FIELD (2, MSG_U64, struct lease_beat, incarnation),
	MSG_FIELD (3, MSG_U64, struct lease_beat, sent_ms),
	MSG_FIELD (4, MSG_U64, struct lease_beat, electors),
	MSG_FIELD (5, MSG_U32, struct lease_beat, live),
	MSG_FIELD (6, MSG_BOOL, struct lease_beat, full),
	MSG_FIELD_LIST (7, struct lease_beat, echoes, struct lease_echo,
			lease_echo_fields, LEASE_ELECTORS_MAX),
	MSG_FIELD (8, MSG_BOOL, struct lease_beat, ready),
	MSG_FIELD_END,
};

static const struct msg_field lease_want_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_want, ep),
	MSG_FIELD (2, MSG_U16, struct lease_want, used),
	MSG_FIELD (3, MSG_U16, struct lease_want, other),
	MSG_FIELD (4, MSG_BIN, struct lease_want, want),
	MSG_FIELD (5, MSG_U8, struct lease_want, tier),
	MSG_FIELD (7, MSG_U32, struct lease_want, returned),
	MSG_FIELD (8, MSG_U64, struct lease_want, applied),
	MSG_FIELD (9, MSG_U32, struct lease_want, proven_ms),
	MSG_FIELD (10, MSG_U32, struct lease_want, cold_ms),
	MSG_FIELD (11, MSG_U16, struct lease_want, answers),
	MSG_FIELD_END,
};

const struct msg_field lease_ask_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_ask, from),
	MSG_FIELD (2, MSG_U64, struct lease_ask, incarnation),
	MSG_FIELD (3, MSG_U64, struct lease_ask, sent_ms),
	MSG_FIELD (4, MSG_BOOL, struct lease_ask, renew),
	MSG_FIELD_LIST (5, struct lease_ask, wants, struct lease_want,
			lease_want_fields, LEASE_ITEMS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field lease_given_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_given, ep),
	MSG_FIELD (2, MSG_U8, struct lease_given, state),
	MSG_FIELD (3, MSG_U16, struct lease_given, credits),
	MSG_FIELD (4, MSG_U32, struct lease_given, returned),
	MSG_FIELD (5, MSG_U8, struct lease_given, tier),
	MSG_FIELD (6, MSG_U16, struct lease_given, recall),
	MSG_FIELD (7, MSG_U32, struct lease_given, cold_ms),
	MSG_FIELD (8, MSG_U32, struct lease_given, proven_ms),
	MSG_FIELD_END,
};

const struct msg_field lease_grant_fields[] = {
	MSG_FIELD (1, MSG_STR, struct lease_grant, from),
	MSG_FIELD (2, MSG_U64, struct lease_grant, incarnation),
	MSG_FIELD (3, MSG_U64, struct lease_grant, holder),
	MSG_FIELD (4, MSG_U64, struct lease_grant, number),
	MSG_FIELD (5, MSG_U64, struct lease_grant, sent_ms),
	MSG_FIELD (6, MSG_U32, struct lease_grant, ttl_ms),
	MSG_FIELD_LIST (7, struct lease_grant, given, struct lease_given,
			lease_given_fields, LEASE_ITEMS_MAX),
	MSG_FIELD_END,
};

const char *
lease_state_name (enum lease_state s)
{
	switch (s) {
	case LEASE_NOT_MINE:
		return "not_mine";
	case LEASE_WAITING:
		return "waiting";
	case LEASE_FULL:
		return "full";
	case LEASE_SLICE:
		return "slice";
	}
	return "?";
}

void
lease_init (struct lease *l, struct bb *bb, const struct lease_settings *set,
	    const struct lease_ops *ops, void *ctx, uint64_t incarnation,
	    uint64_t now_ms)
{
	memset (l, 0, sizeof *l);
	l->bb = bb;
	l->set = *set;
	l->ops = ops;
	l->ctx = ctx;
	l->incarnation = incarnation;
	l->started_ms = now_ms;
	l->elect = lease_elect_new ();
	l->coord = lease_coord_new ();
	l->hold = lease_hold_new ();
	if (bb->inv != NULL)
		lease_remap (l, now_ms);
}

void
lease_finish (struct lease *l)
{
	lease_hold_free (l->hold);
	lease_coord_free (l->coord);
	lease_elect_free (l->elect);
	memset (l, 0, sizeof *l);
}

void
lease_remap (struct lease *l, uint64_t now_ms)
{
	for (uint32_t i = 0; i < l->bb->inv->class_count; i++)
		l->set.life_ms =
			MAX (l->set.life_ms, l->bb->inv->classes[i].total_ms);
	lease_elect_remap (l, now_ms);
	lease_coord_remap (l, now_ms);
	lease_hold_remap (l, now_ms);
}

void
lease_tick (struct lease *l, uint64_t now_ms)
{
	bool promised;

	if (l->bb->inv == NULL)
		return;
	promised = lease_elect_tick (l, now_ms);
	lease_coord_tick (l, promised, now_ms);
	lease_hold_tick (l, now_ms);
}

struct bb_peer *
lease_coordinator (const struct lease *l, const struct bb_ep *ep)
{
	const struct lease_domain *d = lease_elect_of (l, ep);
	uint32_t live = 0;
	int32_t slot;

	if (d == NULL)
		return NULL;
	for (uint32_t i = 0; i < d->count; i++)
		if (!d->electors[i]->leaving)
			live |= 1U << i;
	slot = lease_elect_slot (d, live, ep);
	return slot < 0 ? NULL : d->electors[slot];
}

uint32_t
lease_bound (const struct lease *l, const struct bb_ep *ep, uint64_t now_ms)
{
	struct coord_ep *ce = g_hash_table_lookup (l->coord->eps, ep);
	uint32_t bound = 0;

	if (ce != NULL)
		lease_coord_state (l, ce, now_ms, &bound);
	return bound;
}

enum lease_state
lease_state_of (const struct lease *l, const struct bb_ep *ep, uint64_t now_ms)
{
	struct coord_ep *ce = g_hash_table_lookup (l->coord->eps, ep);
	uint32_t bound;

	return ce == NULL ? LEASE_NOT_MINE
			  : lease_coord_state (l, ce, now_ms, &bound);
}
