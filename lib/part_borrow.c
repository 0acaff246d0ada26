/*
 * The borrower's side: whom to ask for what, and what is held of whom.
 */
#include "part_priv.h"

/* An owner that has not answered for so many asks is counted out. */
#define SILENT_ASKS 5 / 2
#define HURRY_MS                                                               \
	250 /* between two asks, where something is given back, or             \
		 much more is wanted */

static uint32_t
valid (const struct part_loan *l, enum part_kind k, uint64_t now_ms)
{
	return l->until_ms > now_ms ? l->amount[k] : 0;
}

/*
 * Give up what is held of leases that ran out, but for as many requests as
 * still run and fit nowhere else.  None is begun meanwhile, so that these end
 * within the longest life of a request.
 */
void
part_hold_settle (const struct part *p, struct part_account *pa,
		  uint64_t now_ms)
{
	uint32_t fit = part_claim (p, pa, PART_CONCURRENCY, now_ms);
	uint32_t excess;

	for (guint i = 0; i < pa->loans->len; i++)
		fit += valid (&g_array_index (pa->loans, struct part_loan, i),
			      PART_CONCURRENCY, now_ms);
	excess = pa->a->in_flight > fit ? pa->a->in_flight - fit : 0;
	for (guint i = 0; i < pa->loans->len; i++) {
		struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);
		uint32_t is = valid (l, PART_CONCURRENCY, now_ms);
		uint32_t keep = MIN (l->hold - MIN (l->hold, is), excess);

		excess -= keep;
		l->hold = is + keep;
		/* Somebody waits for it. */
		if (l->hold < l->stated)
			l->peer->ask_now = true;
	}
}

static struct part_loan *
loan_get (struct part_account *pa, struct part_peer *peer)
{
	struct part_loan none = {.peer = peer};

	for (guint i = 0; i < pa->loans->len; i++) {
		struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);

		if (l->peer == peer)
			return l;
	}
	g_array_append_val (pa->loans, none);
	return &g_array_index (pa->loans, struct part_loan, pa->loans->len - 1);
}

/* What an owner asked for @w is likely to give. */
static uint32_t
expected (const struct part *p, const struct part_loan *l, enum part_kind k,
	  uint32_t w, uint64_t now_ms)
{
	uint64_t silent_ms = p->set.ask_ms * SILENT_ASKS;

	if (l->answered_ms <= l->since_ms[k])
		return now_ms - l->since_ms[k] < silent_ms ? w : 0;
	/* Who gave all that was asked may have more. */
	return valid (l, k, now_ms) >= MAX (l->asked[k], 1)
		       ? w
		       : MIN (w, valid (l, k, now_ms));
}

/* Ask as many owners as the need takes, beginning at another one than our
 * neighbours do, and further ones where the first gave less. */
static void
plan_kind (struct part *p, struct part_account *pa, enum part_kind k,
	   uint64_t now_ms)
{
	const struct inv *inv = p->bb->inv;
	uint32_t n = inv->entry_count;
	uint32_t own = MIN (part_claim (p, pa, k, now_ms), pa->own_max[k]);
	uint32_t self = (uint32_t)(p->bb->self->inv - inv->entries);
	uint32_t unit = k == PART_RATE ? 1000 : 1;
	uint32_t owners = part_owners (pa->limit[k] / unit, n);
	uint32_t rest = pa->want[k] > own ? pa->want[k] - own : 0;

	for (guint i = 0; i < pa->loans->len; i++) {
		struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);

		if (l->want[k] == 0)
			l->since_ms[k] = 0;
		l->want[k] = 0;
	}
	for (uint32_t i = 0; i < owners && rest > 0; i++) {
		uint32_t j = (uint32_t)(self + i) % owners;
		uint32_t ix = part_owner_ix (pa, j, owners, n);
		uint32_t base =
			unit * part_owner_base (pa->limit[k] / unit, j, owners);
		struct part_peer *peer;
		struct part_loan *l;

		if (ix == self)
			continue;
		peer = part_peer_get (p, p->bb->peers[ix]);
		if (peer->incarnation == 0)
			continue; /* never heard of */
		l = loan_get (pa, peer);
		if (l->since_ms[k] == 0)
			l->since_ms[k] = now_ms;
		l->want[k] = MIN (base, rest);
		if (l->want[k] > 2 * (l->asked[k] + unit))
			peer->ask_now = true;
		rest -= expected (p, l, k, l->want[k], now_ms);
	}
}

void
part_loans_plan (struct part *p, struct part_account *pa, uint64_t now_ms)
{
	if (p->bb->self == NULL)
		return;
	for (int k = 0; k < PART_KINDS; k++)
		if (pa->loans->len > 0 || pa->want[k] > pa->base[k] ||
		    pa->want[k] > part_claim (p, pa, (enum part_kind)k, now_ms))
			plan_kind (p, pa, (enum part_kind)k, now_ms);
}

static bool
is_due (const struct part *p, const struct part_peer *peer, uint64_t now_ms)
{
	return peer->incarnation != 0 && now_ms > peer->asked_ms &&
	       now_ms - peer->asked_ms >=
		       (peer->ask_now ? HURRY_MS : p->set.ask_ms);
}

static void
collect (const struct part *p, struct part_account *pa, uint64_t now_ms)
{
	if (pa->loans->len == 0)
		return;
	part_hold_settle (p, pa, now_ms);
	for (guint i = 0; i < pa->loans->len; i++) {
		struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);
		struct part_want w = {.key = pa->key, .hold = l->hold};

		if (!is_due (p, l->peer, now_ms))
			continue;
		l->stated = l->hold;
		for (int k = 0; k < PART_KINDS; k++) {
			w.want[k] = l->asked[k] = l->want[k];
			w.poor |= (uint8_t)((pa->base[k] == 0) << k);
		}
		g_array_append_val (l->peer->wants, w);
	}
}

/* One frame to each owner, with all that is held of it. */
void
part_ask_all (struct part *p, uint64_t now_ms)
{
	for (guint i = 0; i < p->accounts->len; i++)
		collect (p, g_ptr_array_index (p->accounts, i), now_ms);
	for (guint i = 0; i < p->peers->len; i++) {
		struct part_peer *peer = g_ptr_array_index (p->peers, i);
		struct part_ask m = {.incarnation = p->incarnation,
				     .owner = peer->incarnation,
				     .applied = peer->applied,
				     .sent_ms = now_ms};

		if (!is_due (p, peer, now_ms) ||
		    (peer->wants->len == 0 && !peer->must_ask))
			continue;
		peer->asked_ms = now_ms;
		peer->ask_now = false;
		m.wants =
			(struct msg_list){peer->wants->data, peer->wants->len};
		p->ops->ask (peer->bb, &m, p->ctx);
		g_array_set_size (peer->wants, 0);
	}
}

/* The owner started anew: its grants are numbered from the start.  What the
 * one before gave stays good, since the new one waits for it. */
void
part_owner_anew (struct part *p, struct part_peer *peer)
{
	peer->applied = 0;
	for (guint i = 0; i < p->accounts->len; i++) {
		struct part_account *pa = g_ptr_array_index (p->accounts, i);

		for (guint j = 0; j < pa->loans->len; j++) {
			struct part_loan *l =
				&g_array_index (pa->loans, struct part_loan, j);

			if (l->peer == peer)
				l->answered_ms = 0;
		}
	}
}

static void
take (struct part *p, struct part_peer *peer, const struct part_grant *m,
      const struct part_given *g, uint64_t now_ms)
{
	struct part_account *pa = g_hash_table_lookup (p->by_key, &g->key);

	if (pa == NULL)
		return;
	for (guint i = 0; i < pa->loans->len; i++) {
		struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);
		bool none = true;

		if (l->peer != peer)
			continue;
		l->answered_ms = now_ms;
		l->until_ms = m->sent_ms + m->ttl_ms;
		for (int k = 0; k < PART_KINDS; k++) {
			l->amount[k] = g->amount[k];
			none = none &&
			       valid (l, (enum part_kind)k, now_ms) == 0 &&
			       l->want[k] == 0;
		}
		l->hold = MAX (l->hold, valid (l, PART_CONCURRENCY, now_ms));
		if (none && l->hold == 0)
			g_array_remove_index (pa->loans, i);
		break;
	}
	part_publish (p, pa, now_ms);
}

void
part_on_grant (struct part *p, struct bb_peer *from, const struct part_grant *m,
	       uint64_t now_ms)
{
	struct part_peer *peer = part_peer_get (p, from);
	const struct part_given *g = m->given.items;

	if (m->borrower != p->incarnation ||
	    m->incarnation != peer->incarnation || m->number <= peer->applied)
		return;
	peer->applied = m->number;
	peer->must_ask = false;
	for (uint32_t i = 0; i < m->given.count; i++)
		take (p, peer, m, &g[i], now_ms);
}
