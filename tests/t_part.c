/*
 * Several entries that share client accounts' limits, in simulated time.
 */
#include <string.h>

#include "t_part.h"
#include "frame.h"

#define TICK_MS 100
#define MEET_MS 300
#define START_MS 1000000

struct mail {
	uint64_t at_ms;
	uint32_t from, to;
	uint8_t kind;
	char *data;
	size_t len;
};

struct request {
	uint32_t node, account;
	uint64_t incarnation;
	uint64_t end_ms;
	bool ended; /* at the endpoint; its entry does not know yet */
};

/** struct self - what the ops of one node are called with */
struct self {
	struct tp *tp;
	uint32_t ix;
};

static struct self selves[512];

static uint64_t
clock_of (const struct tp *tp, const struct tp_node *n)
{
	return START_MS + (uint64_t)((double)tp->now_ms * n->speed);
}

static bool
awake (const struct tp *tp, const struct tp_node *n)
{
	return n->up && n->frozen_until_ms <= tp->now_ms;
}

static bool
chance (struct tp *tp, uint32_t permille)
{
	return permille > 0 &&
	       (uint32_t)g_rand_int_range (tp->rand, 0, 1000) < permille;
}

static void
post (struct self *s, struct bb_peer *to, uint8_t kind,
      const struct msg_field *fields, const void *m)
{
	struct tp *tp = s->tp;
	struct tp_node *n = &tp->nodes[s->ix];
	uint32_t ix = (uint32_t)(to->inv - tp->inv->entries);
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	msg_pack (fields, m, &buf);
	n->bytes += FRAME_HEAD_BYTES + buf.size;
	n->frames++;
	for (int i = 0; i < 1 + chance (tp, tp->twice_permille); i++) {
		struct mail mail = {
			.from = s->ix, .to = ix, .kind = kind, .len = buf.size};

		if (tp->cut[s->ix * tp->node_count + ix] ||
		    chance (tp, tp->loss_permille))
			continue;
		mail.at_ms = tp->now_ms + 1;
		if (tp->late_ms > 0)
			mail.at_ms += (uint32_t)g_rand_int_range (
				tp->rand, 0,
				chance (tp, 100) ? (gint32)tp->late_ms : 40);
		mail.data = g_memdup2 (buf.data, buf.size);
		g_array_append_val (tp->bus, mail);
	}
	msgpack_sbuffer_destroy (&buf);
}

static void
send_ask (struct bb_peer *to, const struct part_ask *m, void *ctx)
{
	post (ctx, to, FRAME_PART_ASK, part_ask_fields, m);
}

static void
send_grant (struct bb_peer *to, const struct part_grant *m, void *ctx)
{
	post (ctx, to, FRAME_PART_GRANT, part_grant_fields, m);
}

static void
deliver (struct tp *tp, const struct mail *mail)
{
	struct tp_node *n = &tp->nodes[mail->to];
	struct bb_peer *from = n->bb.peers[mail->from];
	union {
		struct part_ask ask;
		struct part_grant grant;
	} m;
	msgpack_zone zone;
	struct err e = {0};
	bool ask = mail->kind == FRAME_PART_ASK;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	if (!msg_unpack (ask ? part_ask_fields : part_grant_fields, mail->data,
			 mail->len, &m, &zone, &e))
		tp->over++;
	else if (ask)
		part_on_ask (&n->part, from, &m.ask, clock_of (tp, n));
	else
		part_on_grant (&n->part, from, &m.grant, clock_of (tp, n));
	msgpack_zone_destroy (&zone);
}

static void
run_bus (struct tp *tp)
{
	GArray *all = tp->bus;

	tp->bus = g_array_new (FALSE, FALSE, sizeof (struct mail));
	for (guint i = 0; i < all->len; i++) {
		struct mail m = g_array_index (all, struct mail, i);
		const struct tp_node *to = &tp->nodes[m.to];

		/* What comes to a frozen process waits for it. */
		if (m.at_ms > tp->now_ms || (to->up && !awake (tp, to))) {
			g_array_append_val (tp->bus, m);
			continue;
		}
		if (to->up)
			deliver (tp, &m);
		g_free (m.data);
	}
	g_array_free (all, TRUE);
}

void
tp_start (struct tp *tp, uint32_t ix)
{
	static const struct part_ops ops = {send_ask, send_grant};
	struct part_settings set = PART_SETTINGS_DEFAULT;
	struct tp_node *n = &tp->nodes[ix];
	char name[INV_NAME_BYTES];

	set.life_ms = TP_LIFE_MS;
	g_strlcpy (name, tp->inv->entries[ix].name, sizeof name);
	n->up = true;
	n->incarnation = 1 + tp->now_ms;
	memset (n->met, 0, tp->node_count * sizeof *n->met);
	bb_init (&n->bb, name);
	bb_apply_inv (&n->bb, tp->inv, clock_of (tp, n));
	for (uint32_t i = 0; i < tp->node_count; i++)
		n->bb.peers[i]->alive = true;
	selves[ix] = (struct self){tp, ix};
	part_init (&n->part, &n->bb, &set, &ops, &selves[ix], n->incarnation,
		   clock_of (tp, n));
	part_remap (&n->part, clock_of (tp, n));
}

/* What ran through it ends with its connections. */
void
tp_crash (struct tp *tp, uint32_t ix)
{
	struct tp_node *n = &tp->nodes[ix];

	for (guint i = tp->requests->len; i-- > 0;) {
		struct request *r =
			&g_array_index (tp->requests, struct request, i);

		if (r->node != ix)
			continue;
		if (!r->ended)
			tp->accounts[r->account].running--;
		g_array_remove_index_fast (tp->requests, i);
	}
	n->up = false;
	part_finish (&n->part);
	bb_finish (&n->bb);
}

void
tp_init (struct tp *tp, struct inv *inv, uint32_t seed)
{
	uint32_t n = inv->entry_count;

	memset (tp, 0, sizeof *tp);
	tp->inv = inv;
	tp->rand = g_rand_new_with_seed (seed);
	tp->node_count = n;
	tp->account_count = inv->account_count;
	tp->nodes = g_new0 (struct tp_node, n);
	tp->cut = g_new0 (bool, n *n);
	tp->bus = g_array_new (FALSE, FALSE, sizeof (struct mail));
	tp->requests = g_array_new (FALSE, FALSE, sizeof (struct request));
	tp->accounts = g_new0 (struct tp_account, inv->account_count);
	for (uint32_t i = 0; i < inv->account_count; i++) {
		tp->accounts[i].demand = g_new0 (uint32_t, n);
		tp->accounts[i].per_s_milli = g_new0 (uint32_t, n);
		tp->accounts[i].started_at = g_new0 (uint64_t, n);
	}
	for (uint32_t i = 0; i < n; i++) {
		tp->nodes[i].speed = 0.99 + 0.02 * i / MAX (n - 1, 1);
		tp->nodes[i].met = g_new0 (uint64_t, n);
		tp_start (tp, i);
	}
}

void
tp_finish (struct tp *tp)
{
	for (uint32_t i = 0; i < tp->node_count; i++) {
		if (tp->nodes[i].up)
			tp_crash (tp, i);
		g_free (tp->nodes[i].met);
	}
	for (uint32_t i = 0; i < tp->account_count; i++) {
		g_free (tp->accounts[i].demand);
		g_free (tp->accounts[i].per_s_milli);
		g_free (tp->accounts[i].started_at);
	}
	for (guint i = 0; i < tp->bus->len; i++)
		g_free (g_array_index (tp->bus, struct mail, i).data);
	g_array_free (tp->bus, TRUE);
	g_array_free (tp->requests, TRUE);
	g_free (tp->accounts);
	g_free (tp->nodes);
	g_free (tp->cut);
	g_rand_free (tp->rand);
}

void
tp_want (struct tp *tp, uint32_t account, uint32_t node, uint32_t demand,
	 uint32_t per_s_milli)
{
	tp->accounts[account].demand[node] = demand;
	tp->accounts[account].per_s_milli[node] = per_s_milli;
}

/* Connections come about between entries that can talk. */
static void
meet (struct tp *tp)
{
	for (uint32_t i = 0; i < tp->node_count; i++) {
		struct tp_node *n = &tp->nodes[i];

		for (uint32_t k = 0; awake (tp, n) && k < tp->node_count; k++) {
			const struct tp_node *o = &tp->nodes[k];

			if (i == k || !awake (tp, o) ||
			    tp->cut[i * tp->node_count + k] ||
			    tp->cut[k * tp->node_count + i] ||
			    n->met[k] == o->incarnation)
				continue;
			n->met[k] = o->incarnation;
			part_peer_up (&n->part, n->bb.peers[k], o->incarnation,
				      clock_of (tp, n));
		}
	}
}

static void
end_requests (struct tp *tp)
{
	for (guint i = tp->requests->len; i-- > 0;) {
		struct request *r =
			&g_array_index (tp->requests, struct request, i);
		struct tp_node *n = &tp->nodes[r->node];

		if (r->end_ms > tp->now_ms)
			continue;
		if (!r->ended)
			tp->accounts[r->account].running--;
		r->ended = true;
		if (!awake (tp, n))
			continue;
		n->bb.accounts[r->account]->in_flight--;
		g_array_remove_index_fast (tp->requests, i);
	}
}

static void
start_request (struct tp *tp, uint32_t ix, uint32_t account)
{
	struct tp_account *ta = &tp->accounts[account];
	struct request r = {.node = ix, .account = account};

	/* Mostly short, some to the limit. */
	r.end_ms = tp->now_ms +
		   (uint32_t)g_rand_int_range (
			   tp->rand, 50,
			   (chance (tp, 200) ? TP_LIFE_MS : 2000) * 98 / 100);
	if (tp->run_ms > 0)
		r.end_ms = tp->now_ms + tp->run_ms;
	tp->nodes[ix].bb.accounts[account]->in_flight++;
	ta->running++;
	ta->most = MAX (ta->most, ta->running);
	ta->started++;
	ta->started_at[ix]++;
	g_array_append_val (tp->requests, r);
}

static void
arrive (struct tp *tp, struct tp_account *ta, struct bb_account *a,
	uint32_t per_s_milli, uint64_t now_ms)
{
	double retry_ms = 0;

	/* Thousandths of an arrival a second, in a step of 10 ms. */
	if ((uint32_t)g_rand_int_range (tp->rand, 0, 100000) >= per_s_milli)
		return;
	a->requests++;
	if (!bb_account_rate_allows (a, now_ms, &retry_ms))
		return;
	a->tokens -= 1;
	ta->admitted++;
}

static void
run_work (struct tp *tp, uint32_t ix)
{
	struct tp_node *n = &tp->nodes[ix];
	uint64_t now_ms = clock_of (tp, n);

	for (uint32_t i = 0; i < tp->account_count; i++) {
		struct tp_account *ta = &tp->accounts[i];
		struct bb_account *a = n->bb.accounts[i];
		uint32_t demand = ta->demand[ix];

		if (demand == 0 && ta->per_s_milli[ix] == 0 && a->queued == 0)
			continue;
		while (a->in_flight < demand &&
		       a->in_flight < bb_account_concurrency (a, now_ms))
			start_request (tp, ix, i);
		a->queued = demand > a->in_flight ? demand - a->in_flight : 0;
		for (uint32_t left = ta->per_s_milli[ix]; left > 0;) {
			uint32_t some = MIN (left, 50000);

			arrive (tp, ta, a, some, now_ms);
			left -= some;
		}
	}
}

static uint32_t
part_now (const struct bb_account *a, enum part_kind k, uint64_t now_ms)
{
	const struct bb_quota *p =
		now_ms < a->quota_until_ms ? &a->quota : &a->base_quota;

	return k == PART_RATE ? p->rate_milli : p->concurrency;
}

/* Parts of all processes, frozen ones too, and what runs at endpoints. */
static void
check (struct tp *tp)
{
	for (uint32_t i = 0; i < tp->account_count; i++) {
		const struct inv_account *ia = &tp->inv->accounts[i];
		struct tp_account *ta = &tp->accounts[i];
		uint64_t sum[PART_KINDS] = {0};
		double used;

		for (uint32_t n = 0; n < tp->node_count; n++)
			for (int k = 0; tp->nodes[n].up && k < PART_KINDS; k++)
				sum[k] +=
					part_now (tp->nodes[n].bb.accounts[i],
						  (enum part_kind)k,
						  clock_of (tp, &tp->nodes[n]));
		tp->over += ia->concurrency > 0 &&
			    (sum[PART_CONCURRENCY] > ia->concurrency ||
			     ta->running > ia->concurrency);
		tp->over += ia->rate_per_s > 0 &&
			    sum[PART_RATE] > ia->rate_per_s * 1000ULL;
		used = (double)ta->admitted -
		       1.011 * ia->rate_per_s * (double)tp->now_ms / 1000;
		ta->low = MIN (ta->low, used);
		ta->burst = MAX (ta->burst, used - ta->low);
	}
}

void
tp_run_for (struct tp *tp, uint64_t ms)
{
	uint64_t until_ms = tp->now_ms + ms;

	while (tp->now_ms < until_ms) {
		tp->now_ms += TP_STEP_MS;
		if (tp->now_ms % MEET_MS == 0)
			meet (tp);
		end_requests (tp);
		/* A process that wakes works before it ticks or reads. */
		for (uint32_t i = 0; i < tp->node_count; i++)
			if (awake (tp, &tp->nodes[i]))
				run_work (tp, i);
		run_bus (tp);
		for (uint32_t i = 0; i < tp->node_count; i++) {
			struct tp_node *n = &tp->nodes[i];

			if (!awake (tp, n) ||
			    tp->now_ms - n->ticked_ms < TICK_MS)
				continue;
			n->ticked_ms = tp->now_ms;
			part_tick (&n->part, clock_of (tp, n));
		}
		if (tp->node_count < 20)
			check (tp);
	}
}
