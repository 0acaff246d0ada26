/*
 * The owner's side: how much of its base is out with others, and how much of
 * the rest each may have.
 */
#include <math.h>

#include "part_priv.h"

#define FRESH_ASKS 5 / 2 /* asks after which a want counts no more */
#define TURN_MS 8000     /* units too few for all go round so often */

/** struct taker - one who wants of our base */
struct taker {
	struct part_lent *lent; /* NULL: ourselves */
	uint32_t want;
	uint32_t get;
	double weight;
	double turn; /* least first */
};

static bool
is_fresh (const struct part *p, const struct part_lent *l, uint64_t now_ms)
{
	return now_ms - l->heard_ms <= p->set.ask_ms * FRESH_ASKS;
}

static uint32_t
out_of (const struct part_lent *l, enum part_kind k, uint64_t now_ms)
{
	uint32_t most = k == PART_CONCURRENCY ? l->hold : 0;

	for (uint32_t i = 0; i < l->out_count; i++)
		if (k == PART_CONCURRENCY || l->out[i].until_ms > now_ms)
			most = MAX (most, l->out[i].amount[k]);
	return most;
}

uint32_t
part_out_sum (const struct part *p, const struct part_account *pa,
	      enum part_kind k, const struct part_peer *but, uint64_t now_ms)
{
	uint32_t sum = 0;

	(void)p;
	for (guint i = 0; i < pa->lent->len; i++) {
		const struct part_lent *l =
			&g_array_index (pa->lent, struct part_lent, i);

		if (l->peer != but)
			sum += out_of (l, k, now_ms);
	}
	return sum;
}

void
part_lent_expire (const struct part *p, struct part_account *pa,
		  uint64_t now_ms)
{
	uint64_t life_ms = p->life_ms + p->life_ms / 50;
	uint8_t poor = 0;

	for (guint i = pa->lent->len; i-- > 0;) {
		struct part_lent *l =
			&g_array_index (pa->lent, struct part_lent, i);
		uint64_t last_ms = MAX (l->until_ms, l->heard_ms);
		bool gone = l->peer->bb->leaving && !l->peer->bb->alive;
		bool none = out_of (l, PART_CONCURRENCY, now_ms) == 0 &&
			    out_of (l, PART_RATE, now_ms) == 0;

		if ((none && now_ms >= last_ms) ||
		    now_ms >= last_ms + life_ms || gone)
			g_array_remove_index (pa->lent, i);
		else if (is_fresh (p, l, now_ms))
			poor |= l->poor;
	}
	for (int k = 0; k < PART_KINDS; k++)
		if ((poor >> k & 1) == 0)
			pa->own_max[k] = UINT32_MAX;
}

void
part_lent_drop (struct part_account *pa, const struct part_peer *peer)
{
	for (guint i = pa->lent->len; i-- > 0;)
		if (g_array_index (pa->lent, struct part_lent, i).peer == peer)
			g_array_remove_index (pa->lent, i);
}

/* Forget grants that the borrower has replaced, or can no longer take: they
 * count from its own ask, so its own clock says that they are over. */
static void
out_prune (struct part_lent *l, const struct part_ask *m, uint32_t ttl_ms)
{
	uint32_t kept = 0;

	for (uint32_t i = 0; i < l->out_count; i++) {
		struct part_out o = l->out[i];

		if (o.number < m->applied || o.sent_ms + ttl_ms <= m->sent_ms)
			continue;
		/* What it took of concurrency is in what it says it holds. */
		if (o.number == m->applied)
			o.amount[PART_CONCURRENCY] = 0;
		l->out[kept++] = o;
	}
	l->out_count = kept;
}

static struct part_lent *
lent_get (struct part_account *pa, struct part_peer *peer)
{
	struct part_lent none = {.peer = peer};

	for (guint i = 0; i < pa->lent->len; i++) {
		struct part_lent *l =
			&g_array_index (pa->lent, struct part_lent, i);

		if (l->peer == peer)
			return l;
	}
	g_array_append_val (pa->lent, none);
	return &g_array_index (pa->lent, struct part_lent, pa->lent->len - 1);
}

static int
taker_cmp (const void *a, const void *b)
{
	const struct taker *x = a, *y = b;

	double wx = x->want / x->weight, wy = y->want / y->weight;

	if (wx != wy)
		return wx < wy ? -1 : 1;
	return x->turn < y->turn ? -1 : x->turn > y->turn;
}

/* Max-min by weight: none gets less so that another has more than it.
 * Return: the rest. */
static uint32_t
divide (struct taker *t, uint32_t count, uint32_t have)
{
	double weights = 0, level = 0;
	uint32_t i;

	qsort (t, count, sizeof *t, taker_cmp);
	for (i = 0; i < count; i++)
		weights += t[i].weight;
	for (i = 0; i < count; i++) {
		level = have / weights;
		if (t[i].want > level * t[i].weight)
			break;
		t[i].get = t[i].want;
		have -= t[i].get;
		weights -= t[i].weight;
	}
	for (uint32_t left = have; i < count; i++) {
		t[i].get = MIN (left, (uint32_t)(level * t[i].weight));
		left -= t[i].get;
		have = left;
	}
	/* Units that did not divide, by turns. */
	while (have > 0) {
		struct taker *next = NULL;

		for (i = 0; i < count; i++)
			if (t[i].get < t[i].want &&
			    (next == NULL || t[i].get < next->get ||
			     (t[i].get == next->get && t[i].turn < next->turn)))
				next = &t[i];
		if (next == NULL)
			break;
		next->get++;
		have--;
	}
	return have;
}

/* Drawn anew each TURN_MS, and by each owner; one of twice the weight comes
 * first twice as often. */
static void
draw_turn (const struct part *p, struct taker *t, const char *name,
	   uint64_t now_ms)
{
	char when[INV_NAME_BYTES + 24];
	double u;

	g_snprintf (when, sizeof when, "%s %" G_GUINT64_FORMAT,
		    p->bb->self_name, now_ms / TURN_MS);
	u = ((double)(bb_rendezvous (name, when) >> 12) + 1) / 0x1p52;
	t->turn = -log (MIN (u, 1)) / t->weight;
}

/*
 * What @to may have of our base.  First we and those who have no base of
 * their own share it; then what is left goes to those who have.
 */
static uint32_t
fair_part (const struct part *p, struct part_account *pa, enum part_kind k,
	   const struct part_lent *to, uint32_t *self, uint64_t now_ms)
{
	uint32_t count = 0, first = 0, left, get = 0;
	uint32_t unit = k == PART_RATE ? 1000 : 1;
	struct taker *t = g_new0 (struct taker, pa->lent->len + 1);

	/* Who has no base asks every owner, so that each counts little. */
	t[count] =
		(struct taker){.want = MIN (pa->want[k], pa->base[k]),
			       .weight = part_owners (pa->limit[k] / unit,
						      p->bb->inv->entry_count)};
	draw_turn (p, &t[count++], p->bb->self_name, now_ms);
	for (int poor = 1; poor >= 0; poor--) {
		for (guint i = 0; i < pa->lent->len; i++) {
			struct part_lent *l =
				&g_array_index (pa->lent, struct part_lent, i);

			if (l->want[k] == 0 || (l->poor >> k & 1) != poor ||
			    !is_fresh (p, l, now_ms))
				continue;
			t[count] = (struct taker){
				.lent = l, .want = l->want[k], .weight = 1};
			draw_turn (p, &t[count++], l->peer->bb->name, now_ms);
		}
		if (poor == 1)
			first = count;
	}
	left = divide (t, first, pa->base[k]);
	divide (t + first, count - first, left);
	pa->own_max[k] = UINT32_MAX;
	for (uint32_t i = 0; i < count; i++) {
		if (t[i].lent == to)
			get = t[i].get;
		if (t[i].lent != NULL)
			continue;
		*self = t[i].get;
		if (t[i].get < t[i].want)
			pa->own_max[k] = t[i].get;
	}
	g_free (t);
	return get;
}

static uint32_t
grant_of (const struct part *p, struct part_account *pa, enum part_kind k,
	  const struct part_lent *l, uint64_t now_ms)
{
	uint32_t self = 0;
	uint32_t fair = fair_part (p, pa, k, l, &self, now_ms);
	uint32_t used = k == PART_CONCURRENCY ? part_own_used (pa) : 0;
	uint32_t bound =
		part_out_sum (p, pa, k, l->peer, now_ms) + MAX (self, used);

	if (!part_open (p, k, now_ms))
		return 0;
	return pa->base[k] > bound ? MIN (fair, pa->base[k] - bound) : 0;
}

/* What one ask says of one account. */
static void
hear_one (struct part *p, struct part_peer *peer, const struct part_ask *m,
	  const struct part_want *w, uint64_t now_ms)
{
	struct part_account *pa = g_hash_table_lookup (p->by_key, &w->key);
	struct part_lent *l;

	if (pa == NULL)
		return;
	l = lent_get (pa, peer);
	out_prune (l, m, p->set.ttl_ms);
	l->named_ms = m->sent_ms;
	l->hold = w->hold;
	l->heard_ms = now_ms;
	l->poor = w->poor;
	for (int k = 0; k < PART_KINDS; k++)
		l->want[k] = w->want[k];
}

static void
grant_one (struct part *p, struct part_peer *peer, const struct part_ask *m,
	   const struct part_want *w, GArray *given, uint64_t now_ms)
{
	struct part_account *pa = g_hash_table_lookup (p->by_key, &w->key);
	struct part_given g = {.key = w->key};
	struct part_lent *l;
	struct part_out *o;

	if (pa == NULL)
		return;
	l = lent_get (pa, peer);
	part_hold_settle (p, pa, now_ms);
	if (l->out_count < PART_GRANTS) {
		for (int k = 0; k < PART_KINDS; k++)
			g.amount[k] =
				grant_of (p, pa, (enum part_kind)k, l, now_ms);
		o = &l->out[l->out_count++];
		*o = (struct part_out){.number = peer->number,
				       .sent_ms = m->sent_ms,
				       .until_ms = now_ms + p->set.ttl_ms +
						   p->set.margin_ms};
		for (int k = 0; k < PART_KINDS; k++)
			o->amount[k] = g.amount[k];
		l->until_ms = o->until_ms;
	}
	g_array_append_val (given, g);
	part_publish (p, pa, now_ms);
}

/* What an ask does not name is not held any more. */
static void
forget_unnamed (struct part *p, struct part_peer *peer,
		const struct part_ask *m)
{
	for (guint i = 0; i < p->accounts->len; i++) {
		struct part_account *pa = g_ptr_array_index (p->accounts, i);

		for (guint j = 0; j < pa->lent->len; j++) {
			struct part_lent *l =
				&g_array_index (pa->lent, struct part_lent, j);

			if (l->peer != peer || l->named_ms == m->sent_ms)
				continue;
			out_prune (l, m, p->set.ttl_ms);
			l->hold = 0;
			l->want[PART_CONCURRENCY] = 0;
			l->want[PART_RATE] = 0;
		}
	}
}

void
part_on_ask (struct part *p, struct bb_peer *from, const struct part_ask *m,
	     uint64_t now_ms)
{
	struct part_peer *peer = part_peer_get (p, from);
	const struct part_want *w = m->wants.items;
	struct part_grant g = {.incarnation = p->incarnation,
			       .borrower = m->incarnation,
			       .sent_ms = m->sent_ms,
			       .ttl_ms = p->set.ttl_ms};
	GArray *given;

	if (p->bb->inv == NULL || m->incarnation < peer->incarnation)
		return;
	if (m->incarnation > peer->incarnation)
		part_peer_up (p, from, m->incarnation, now_ms);
	if (m->sent_ms <= peer->sent_ms || m->owner != p->incarnation) {
		return; /* repeated or late; or it does not know that we are
			   new */
	}
	peer->sent_ms = m->sent_ms;
	peer->told = true;
	/* All of it before any claim is read, which would be too large. */
	for (uint32_t i = 0; i < m->wants.count; i++)
		hear_one (p, peer, m, &w[i], now_ms);
	forget_unnamed (p, peer, m);
	given = g_array_new (FALSE, TRUE, sizeof (struct part_given));
	g.number = ++peer->number;
	for (uint32_t i = 0; i < m->wants.count; i++)
		grant_one (p, peer, m, &w[i], given, now_ms);
	g.given = (struct msg_list){given->data, given->len};
	p->ops->grant (from, &g, p->ctx);
	g_array_free (given, TRUE);
}
