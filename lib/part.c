/*
 * The parts of client accounts' limits at one entry: which base it owns, how
 * much it needs, and what it may use now.
 */
#include <string.h>

#include "part_priv.h"

#define WINDOW_MS 2000  /* demand counts for one to two of these */
#define RATE_SPARE 1.25 /* asked for, over the rate seen */
#define RATE_LEAST 500U /* thousandths, where any request came */

static const struct msg_field part_want_fields[] = {
	MSG_FIELD (1, MSG_U64, struct part_want, key),
	MSG_FIELD (2, MSG_U32, struct part_want, want[PART_CONCURRENCY]),
	MSG_FIELD (3, MSG_U32, struct part_want, want[PART_RATE]),
	MSG_FIELD (4, MSG_U32, struct part_want, hold),
	MSG_FIELD (5, MSG_U8, struct part_want, poor),
	MSG_FIELD_END,
};

const struct msg_field part_ask_fields[] = {
	MSG_FIELD (1, MSG_U64, struct part_ask, incarnation),
	MSG_FIELD (2, MSG_U64, struct part_ask, owner),
	MSG_FIELD (3, MSG_U64, struct part_ask, applied),
	MSG_FIELD (4, MSG_U64, struct part_ask, sent_ms),
	MSG_FIELD_LIST (5, struct part_ask, wants, struct part_want,
			part_want_fields, PART_ITEMS_MAX),
	MSG_FIELD_END,
};

static const struct msg_field part_given_fields[] = {
	MSG_FIELD (1, MSG_U64, struct part_given, key),
	MSG_FIELD (2, MSG_U32, struct part_given, amount[PART_CONCURRENCY]),
	MSG_FIELD (3, MSG_U32, struct part_given, amount[PART_RATE]),
	MSG_FIELD_END,
};

const struct msg_field part_grant_fields[] = {
	MSG_FIELD (1, MSG_U64, struct part_grant, incarnation),
	MSG_FIELD (2, MSG_U64, struct part_grant, borrower),
	MSG_FIELD (3, MSG_U64, struct part_grant, number),
	MSG_FIELD (4, MSG_U64, struct part_grant, sent_ms),
	MSG_FIELD (5, MSG_U32, struct part_grant, ttl_ms),
	MSG_FIELD_LIST (6, struct part_grant, given, struct part_given,
			part_given_fields, PART_ITEMS_MAX),
	MSG_FIELD_END,
};

uint32_t
part_owners (uint32_t limit, uint32_t entries)
{
	uint32_t n = MAX (entries, 1);

	return limit / n >= PART_UNITS_EACH ? n
					    : MIN (n, MIN (PART_OWNERS, limit));
}

uint32_t
part_owner_base (uint32_t limit, uint32_t j, uint32_t owners)
{
	return limit / owners + (j < limit % owners);
}

/* Owner number j of k stands at (start + j * n / k) modulo n in the
 * inventory, which lists entries by domain: so they spread over domains. */
uint32_t
part_owner_ix (const struct part_account *pa, uint32_t j, uint32_t owners,
	       uint32_t entries)
{
	return (uint32_t)((pa->start + (uint64_t)j * entries / owners) %
			  entries);
}

uint32_t
part_base (uint32_t limit, const char *name, uint32_t entry, uint32_t entries)
{
	uint32_t n = MAX (entries, 1);
	uint64_t k = part_owners (limit, n);
	uint64_t away = (entry + n - bb_rendezvous (name, "") % n) % n;
	uint64_t j;

	if (k == 0 || entry >= n)
		return 0;
	j = (away * k + n - 1) / n;
	if (j >= k || j * n / k != away)
		return 0;
	return part_owner_base (limit, (uint32_t)j, (uint32_t)k);
}

static void
account_free (gpointer v)
{
	struct part_account *pa = v;

	pa->a->refs--;
	g_array_free (pa->loans, TRUE);
	g_array_free (pa->lent, TRUE);
	g_free (pa);
}

void
part_init (struct part *p, struct bb *bb, const struct part_settings *set,
	   const struct part_ops *ops, void *ctx, uint64_t incarnation,
	   uint64_t now_ms)
{
	memset (p, 0, sizeof *p);
	p->bb = bb;
	p->set = *set;
	p->ops = ops;
	p->ctx = ctx;
	p->incarnation = incarnation;
	p->started_ms = now_ms;
	p->life_ms = set->life_ms;
	p->accounts = g_ptr_array_new ();
	p->by_key = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					   account_free);
	p->peers = g_ptr_array_new ();
}

void
part_finish (struct part *p)
{
	g_ptr_array_free (p->accounts, TRUE);
	g_hash_table_destroy (p->by_key);
	for (guint i = 0; i < p->peers->len; i++) {
		struct part_peer *peer = g_ptr_array_index (p->peers, i);

		peer->bb->refs--;
		g_array_free (peer->wants, TRUE);
		g_free (peer);
	}
	g_ptr_array_free (p->peers, TRUE);
	memset (p, 0, sizeof *p);
}

struct part_peer *
part_peer_get (struct part *p, struct bb_peer *bb)
{
	struct part_peer *peer;

	for (guint i = 0; i < p->peers->len; i++) {
		peer = g_ptr_array_index (p->peers, i);
		if (peer->bb == bb)
			return peer;
	}
	peer = g_new0 (struct part_peer, 1);
	peer->bb = bb;
	peer->wants = g_array_new (FALSE, TRUE, sizeof (struct part_want));
	bb->refs++;
	g_ptr_array_add (p->peers, peer);
	return peer;
}

uint64_t
part_key (const struct inv_account *ia, uint32_t entries)
{
	char limits[64];

	g_snprintf (limits, sizeof limits, "%u %u %u", ia->concurrency,
		    ia->rate_per_s, entries);
	return bb_rendezvous (ia->name, limits);
}

static struct part_account *
account_get (struct part *p, struct bb_account *a, uint64_t key)
{
	struct part_account *pa = g_hash_table_lookup (p->by_key, &key);

	if (pa != NULL)
		return pa;
	pa = g_new0 (struct part_account, 1);
	pa->key = key;
	pa->a = a;
	a->refs++;
	pa->asked = a->requests;
	pa->loans = g_array_new (FALSE, TRUE, sizeof (struct part_loan));
	pa->lent = g_array_new (FALSE, TRUE, sizeof (struct part_lent));
	g_hash_table_insert (p->by_key, &pa->key, pa);
	return pa;
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	return ((struct part_account *)value)->round !=
	       ((struct part *)ctx)->round;
}

void
part_remap (struct part *p, uint64_t now_ms)
{
	const struct inv *inv = p->bb->inv;
	uint32_t n = inv->entry_count;
	uint32_t ix = p->bb->self == NULL
			      ? n
			      : (uint32_t)(p->bb->self->inv - inv->entries);

	p->life_ms = p->set.life_ms;
	for (uint32_t i = 0; i < inv->class_count; i++)
		p->life_ms = MAX (p->life_ms, inv->classes[i].total_ms);
	g_ptr_array_set_size (p->accounts, 0);
	p->round++;
	for (uint32_t i = 0; i < inv->account_count; i++) {
		const struct inv_account *ia = &inv->accounts[i];
		struct part_account *pa;

		if (ia->concurrency == 0 && ia->rate_per_s == 0)
			continue;
		pa = account_get (p, p->bb->accounts[i], part_key (ia, n));
		pa->limit[PART_CONCURRENCY] = ia->concurrency;
		pa->limit[PART_RATE] = (uint32_t)MIN (ia->rate_per_s * 1000ULL,
						      BB_NO_LIMIT - 1);
		pa->base[PART_CONCURRENCY] =
			part_base (ia->concurrency, ia->name, ix, n);
		pa->base[PART_RATE] = part_base (pa->limit[PART_RATE] / 1000,
						 ia->name, ix, n) *
				      1000;
		pa->start = bb_rendezvous (ia->name, "") % MAX (n, 1);
		pa->round = p->round;
		pa->own_max[PART_CONCURRENCY] = UINT32_MAX;
		pa->own_max[PART_RATE] = UINT32_MAX;
		g_ptr_array_add (p->accounts, pa);
		part_publish (p, pa, now_ms);
	}
	g_hash_table_foreach_remove (p->by_key, is_stale, p);
}

bool
part_open (const struct part *p, enum part_kind k, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - p->started_ms;

	if (age_ms < p->set.ttl_ms + p->set.margin_ms)
		return false;
	return k == PART_RATE || p->told;
}

/* Of all entries that are not known to be gone. */
static void
see_told (struct part *p, uint64_t now_ms)
{
	uint64_t life_ms = p->life_ms + p->life_ms / 50;

	if (p->told)
		return;
	if (now_ms - p->started_ms >=
	    life_ms + p->set.ttl_ms + p->set.margin_ms) {
		p->told = true;
		return;
	}
	for (uint32_t i = 0; i < p->bb->inv->entry_count; i++) {
		struct bb_peer *bb = p->bb->peers[i];

		if (bb == p->bb->self || (bb->leaving && !bb->alive))
			continue;
		if (!part_peer_get (p, bb)->told)
			return;
	}
	p->told = true;
}

uint32_t
part_claim (const struct part *p, const struct part_account *pa,
	    enum part_kind k, uint64_t now_ms)
{
	uint32_t out;

	if (!part_open (p, k, now_ms))
		return 0;
	out = part_out_sum (p, pa, k, NULL, now_ms);
	return pa->base[k] > out ? pa->base[k] - out : 0;
}

uint32_t
part_own_used (const struct part_account *pa)
{
	uint32_t borrowed = 0;

	for (guint i = 0; i < pa->loans->len; i++)
		borrowed += g_array_index (pa->loans, struct part_loan, i).hold;
	return pa->a->in_flight > borrowed ? pa->a->in_flight - borrowed : 0;
}

void
part_publish (const struct part *p, struct part_account *pa, uint64_t now_ms)
{
	uint32_t own[PART_KINDS], all[PART_KINDS];
	uint64_t until_ms = UINT64_MAX;

	for (int k = 0; k < PART_KINDS; k++) {
		own[k] = MIN (part_claim (p, pa, (enum part_kind)k, now_ms),
			      pa->own_max[k]);
		all[k] = own[k];
	}
	for (guint i = 0; i < pa->loans->len; i++) {
		const struct part_loan *l =
			&g_array_index (pa->loans, struct part_loan, i);

		if (l->until_ms <= now_ms)
			continue;
		for (int k = 0; k < PART_KINDS; k++)
			all[k] += l->amount[k];
		if (l->amount[PART_CONCURRENCY] + l->amount[PART_RATE] > 0)
			until_ms = MIN (until_ms, l->until_ms);
	}
	for (int k = 0; k < PART_KINDS; k++)
		if (pa->limit[k] == 0)
			own[k] = all[k] = BB_NO_LIMIT;
	bb_account_set_quota (
		pa->a,
		&(struct bb_quota){all[PART_RATE], all[PART_CONCURRENCY]},
		&(struct bb_quota){own[PART_RATE], own[PART_CONCURRENCY]},
		until_ms, now_ms);
}

static void
see_demand (struct part_account *pa, uint64_t now_ms)
{
	uint32_t *seen = pa->seen;
	uint64_t past_ms = now_ms - pa->window_ms;
	uint64_t rate = (pa->a->requests - pa->asked) * 1000000 /
			CLAMP (past_ms, WINDOW_MS / 2, WINDOW_MS);

	if (past_ms >= WINDOW_MS) {
		memcpy (pa->seen_before, seen, sizeof pa->seen_before);
		seen[PART_CONCURRENCY] = 0;
		pa->asked = pa->a->requests;
		pa->window_ms = now_ms;
		rate = 0;
	}
	seen[PART_CONCURRENCY] =
		MAX (seen[PART_CONCURRENCY], pa->a->in_flight + pa->a->queued);
	seen[PART_RATE] = (uint32_t)MIN (rate, pa->limit[PART_RATE]);
	for (int k = 0; k < PART_KINDS; k++) {
		double most = MAX (seen[k], pa->seen_before[k]);

		if (k == PART_RATE && most > 0)
			most = most * RATE_SPARE + RATE_LEAST;
		pa->want[k] = (uint32_t)MIN (most, pa->limit[k]);
	}
}

/* Most accounts, most of the time. */
static bool
is_idle (const struct part *p, const struct part_account *pa, uint64_t now_ms)
{
	return pa->a->in_flight == 0 && pa->a->queued == 0 &&
	       pa->a->requests == pa->asked && pa->loans->len == 0 &&
	       pa->lent->len == 0 && pa->want[PART_CONCURRENCY] == 0 &&
	       pa->want[PART_RATE] == 0 && pa->open &&
	       part_open (p, PART_RATE, now_ms);
}

void
part_tick (struct part *p, uint64_t now_ms)
{
	if (p->bb->inv == NULL)
		return;
	see_told (p, now_ms);
	for (guint i = 0; i < p->accounts->len; i++) {
		struct part_account *pa = g_ptr_array_index (p->accounts, i);

		if (is_idle (p, pa, now_ms))
			continue;
		pa->open = part_open (p, PART_CONCURRENCY, now_ms);
		see_demand (pa, now_ms);
		part_lent_expire (p, pa, now_ms);
		part_hold_settle (p, pa, now_ms);
		part_publish (p, pa, now_ms);
		part_loans_plan (p, pa, now_ms);
	}
	part_ask_all (p, now_ms);
}

void
part_peer_up (struct part *p, struct bb_peer *bb, uint64_t incarnation,
	      uint64_t now_ms)
{
	struct part_peer *peer = part_peer_get (p, bb);

	(void)now_ms;
	peer->must_ask = true;
	peer->ask_now = true;
	if (incarnation <= peer->incarnation)
		return;
	peer->incarnation = incarnation;
	peer->sent_ms = 0;
	peer->told = false;
	part_owner_anew (p, peer);
	for (guint i = 0; i < p->accounts->len; i++)
		part_lent_drop (g_ptr_array_index (p->accounts, i), peer);
}
