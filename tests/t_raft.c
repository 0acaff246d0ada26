/*
 * The simulated group: see t_raft.h.
 */
#include <stdlib.h>
#include <string.h>

#include "t_raft.h"
#include "t_run.h"

const struct raft_times rsim_times = {40, 300, 50};
static const struct raft_limits limits = {24, 0, 1U << 20, 6, 0, 0};

static uint64_t
mix (uint64_t h, uint64_t v)
{
	h ^= v + 0x9e3779b97f4a7c15U + (h << 6) + (h >> 2);
	return h * 0xff51afd7ed558ccdU;
}

static uint64_t
entry_hash (const struct raft_entry *e)
{
	uint64_t h = mix (mix (e->index, e->term), e->kind);

	for (uint32_t i = 0; i < e->data.len; i++)
		h = mix (h, e->data.data[i]);
	return h;
}

struct raft_entry *
rsim_entry_copy (const struct raft_entry *e)
{
	struct raft_entry *c = g_malloc (sizeof *c + e->data.len);

	*c = *e;
	c->data.data = (uint8_t *)(c + 1);
	if (e->data.len > 0)
		memcpy (c + 1, e->data.data, e->data.len);
	return c;
}

uint64_t
rsim_clock (const struct rsim_node *n)
{
	return 1000 +
	       (uint64_t)((double)(n->sim->now_ms + n->lag_ms) * n->rate);
}

void
rsim_broke (struct rsim *s, const char *what)
{
	if (s->broken == NULL)
		s->broken = what;
}

static struct rsim_node *
node_by_id (struct rsim *s, uint64_t id)
{
	for (uint32_t i = 0; i < s->count; i++) {
		if (s->nodes[i].id == id)
			return &s->nodes[i];
	}
	return NULL;
}

/* When a message arrives; 0 where it is lost. */
static uint64_t
arrival (struct rsim_node *n, const struct rsim_node *to, size_t len)
{
	struct rsim *s = n->sim;
	uint64_t *last = &n->sent_at_ms[to - s->nodes];
	bool lost = g_rand_double (s->rand) < s->loss;
	uint64_t at_ms = s->now_ms + n->lag_ms;

	if (s->link_rate != 0) {
		n->sends_until_ms = MAX (n->sends_until_ms, (double)at_ms) +
				    (double)len / s->link_rate;
		at_ms = (uint64_t)n->sends_until_ms;
	}
	if (lost && s->resend_ms == 0)
		return 0;
	at_ms += (uint64_t)g_rand_int_range (s->rand, 1, (gint32)s->delay_ms);
	if (s->resend_ms != 0)
		*last = at_ms = MAX (*last, at_ms + (lost ? s->resend_ms : 0));
	return at_ms;
}

/* A member does nothing else while its disk works. */
static void
wait_for_disk (struct rsim_node *n)
{
	struct rsim *s = n->sim;

	if (s->sync_ms != 0)
		n->lag_ms += (uint64_t)g_rand_int_range (
			s->rand, 2, (gint32)s->sync_ms + 1);
}

static void
op_send (const struct raft_msg *m, void *ctx)
{
	struct rsim_node *n = ctx;
	struct rsim *s = n->sim;
	struct rsim_node *to = node_by_id (s, m->to);
	int copies = g_rand_double (s->rand) < s->dup ? 2 : 1;
	struct raft_msg out = *m;

	s->chunks += m->kind == RAFT_MSG_SNAPSHOT;
	if (to == NULL || s->cut[n - s->nodes][to - s->nodes])
		return;
	if (n->previous)
		out.takes_parts = false;
	for (int i = 0; i < copies; i++) {
		msgpack_sbuffer buf;
		struct flight f = {.to = m->to};

		msgpack_sbuffer_init (&buf);
		msg_pack (raft_msg_fields, &out, &buf);
		f.at_ms = arrival (n, to, buf.size);
		f.len = buf.size;
		f.data = msgpack_sbuffer_release (&buf);
		if (f.at_ms == 0)
			free (f.data);
		else
			g_array_append_val (s->flights, f);
	}
}

static void
disk_do (struct disk *d, const struct op *op)
{
	if (op->truncate != 0) {
		uint64_t keep = op->truncate - d->base - 1;

		if (keep < d->entries->len)
			g_ptr_array_set_size (d->entries, (gint)keep);
	} else {
		g_ptr_array_add (d->entries, rsim_entry_copy (op->entry));
	}
}

/* Carry out the first @count unsynced operations, forget the rest. */
static void
disk_settle (struct rsim_node *n, guint count)
{
	for (guint i = 0; i < n->pending->len; i++) {
		struct op *op = &g_array_index (n->pending, struct op, i);

		if (i < count)
			disk_do (&n->disk, op);
		g_free (op->entry);
	}
	g_array_set_size (n->pending, 0);
}

static bool
op_save_vote (uint64_t term, uint64_t vote, void *ctx)
{
	struct rsim_node *n = ctx;

	wait_for_disk (n);
	disk_settle (n, n->pending->len);
	n->disk.term = term;
	n->disk.vote = vote;
	return true;
}

static bool
op_append (const struct raft_entry *e, void *ctx)
{
	struct rsim_node *n = ctx;
	struct op op = {.entry = rsim_entry_copy (e)};

	g_array_append_val (n->pending, op);
	return true;
}

static bool
op_truncate (uint64_t index, void *ctx)
{
	struct rsim_node *n = ctx;
	struct op op = {.truncate = index};

	g_array_append_val (n->pending, op);
	return true;
}

static bool
op_sync (void *ctx)
{
	struct rsim_node *n = ctx;

	wait_for_disk (n);
	disk_settle (n, n->pending->len);
	return true;
}

static void
op_apply (const struct raft_entry *e, void *ctx)
{
	struct rsim_node *n = ctx;
	struct rsim *s = n->sim;
	uint64_t h = entry_hash (e);

	n->state = mix (n->state, h);
	if (e->index <= s->committed->len) {
		if (g_array_index (s->committed, uint64_t, e->index - 1) != h)
			rsim_broke (s, "an applied entry changed");
	} else if (e->index == s->committed->len + 1) {
		g_array_append_val (s->committed, h);
	} else {
		rsim_broke (s, "an entry was skipped");
	}
}

static bool
op_snapshot (uint64_t index, uint64_t term, const struct raft_config *config,
	     uint64_t base, void *ctx)
{
	struct rsim_node *n = ctx;
	struct disk *d = &n->disk;

	disk_settle (n, n->pending->len);
	d->snap_index = index;
	d->snap_term = term;
	d->snap_config = *config;
	d->snap_state = n->state;
	if (base > d->base) {
		const struct raft_entry *e =
			g_ptr_array_index (d->entries, base - d->base - 1);

		d->base_term = e->term;
		g_ptr_array_remove_range (d->entries, 0,
					  (guint)(base - d->base));
		d->base = base;
	}
	return true;
}

/* Three bytes a chunk, so that a snapshot takes several. */
static bool
op_chunk (uint64_t offset, size_t max, struct msg_bytes *chunk, bool *last,
	  void *ctx)
{
	struct rsim_node *n = ctx;
	size_t left = sizeof n->disk.snap_state - (size_t)offset;

	(void)max;
	chunk->data = (const uint8_t *)&n->disk.snap_state + offset;
	chunk->len = (uint32_t)MIN (left, 3);
	*last = left <= 3;
	return true;
}

static bool
op_install (uint64_t index, uint64_t term, const struct raft_config *config,
	    const void *data, size_t len, void *ctx)
{
	struct rsim_node *n = ctx;
	struct disk *d = &n->disk;

	if (len != sizeof n->state) {
		rsim_broke (n->sim, "a snapshot arrived in part");
		return false;
	}
	disk_settle (n, 0);
	memcpy (&n->state, data, len);
	d->snap_index = index;
	d->snap_term = term;
	d->snap_config = *config;
	d->snap_state = n->state;
	d->base = index;
	d->base_term = term;
	g_ptr_array_set_size (d->entries, 0);
	return true;
}

static void
op_role (void *ctx)
{
	struct rsim_node *n = ctx;
	struct rsim *s = n->sim;
	gpointer term = GSIZE_TO_POINTER (n->raft.term);
	gpointer id;

	if (n->raft.role != RAFT_LEADER)
		return;
	/* Votes that arrive late may still make a leader of an older term; it
	 * commits nothing and gets no lease. */
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *o = &s->nodes[i];

		if (o != n && o->up && o->raft.term < n->raft.term &&
		    rsim_clock (o) < raft_lease_until (&o->raft))
			rsim_broke (
				s,
				"a leader began within an older one's lease");
	}
	id = g_hash_table_lookup (s->leaders, term);
	if (id != NULL && GPOINTER_TO_SIZE (id) != n->id)
		rsim_broke (s, "two leaders in one term");
	g_hash_table_insert (s->leaders, term, GSIZE_TO_POINTER (n->id));
}

static uint64_t
op_now (void *ctx)
{
	return rsim_clock (ctx);
}

static const struct raft_ops ops = {
	.send = op_send,
	.save_vote = op_save_vote,
	.append = op_append,
	.truncate = op_truncate,
	.sync = op_sync,
	.apply = op_apply,
	.snapshot = op_snapshot,
	.snapshot_chunk = op_chunk,
	.install = op_install,
	.role = op_role,
	.now = op_now,
};

void
rsim_start (struct rsim_node *n)
{
	struct disk *d = &n->disk;
	struct raft_limits with_parts = limits;

	with_parts.part_bytes = n->sim->part_bytes;
	with_parts.disk_losses = n->sim->disk_losses;
	raft_init (&n->raft, n->id, &n->sim->times, &with_parts, &ops, n,
		   g_rand_int (n->sim->rand));
	raft_load_vote (&n->raft, d->term, d->vote);
	raft_load_snapshot (&n->raft, d->snap_index, d->snap_term,
			    &d->snap_config);
	raft_load_base (&n->raft, d->base, d->base_term);
	for (guint i = 0; i < d->entries->len; i++)
		CU_ASSERT_FATAL (raft_load_entry (
			&n->raft, g_ptr_array_index (d->entries, i), NULL));
	n->state = d->snap_state;
	n->up = true;
	n->frozen = false;
	raft_start (&n->raft, rsim_clock (n));
}

void
rsim_crash (struct rsim_node *n)
{
	guint some = (guint)g_rand_int_range (n->sim->rand, 0,
					      (gint32)n->pending->len + 1);

	disk_settle (n, some);
	raft_finish (&n->raft);
	n->up = false;
}

struct rsim_node *
rsim_add (struct rsim *s)
{
	struct rsim_node *n;

	if (s->count == RSIM_NODES_MAX)
		return NULL;
	n = &s->nodes[s->count++];
	n->sim = s;
	n->used = true;
	n->id = s->count;
	n->rate = 0.935 + 0.13 * g_rand_double (s->rand);
	n->pending = g_array_new (FALSE, TRUE, sizeof (struct op));
	n->disk.entries = g_ptr_array_new_with_free_func (g_free);
	return n;
}

void
rsim_init (struct rsim *s, uint32_t seed, uint32_t members)
{
	struct raft_config c = {.count = members};
	static const uint32_t delays[] = {6, 30, 120, 400};

	memset (s, 0, sizeof *s);
	s->rand = g_rand_new_with_seed (seed);
	s->times = rsim_times;
	/* So small that the larger commands are sent in parts. */
	s->part_bytes = seed % 3 == 0 ? 4 : 0;
	s->flights = g_array_new (FALSE, TRUE, sizeof (struct flight));
	s->committed = g_array_new (FALSE, TRUE, sizeof (uint64_t));
	s->leaders = g_hash_table_new (NULL, NULL);
	s->loss = g_rand_boolean (s->rand) ? 0.0 : 0.2;
	s->dup = g_rand_boolean (s->rand) ? 0.0 : 0.2;
	s->delay_ms = delays[g_rand_int_range (s->rand, 0, 4)];
	s->may_lose = g_rand_boolean (s->rand);
	for (uint32_t i = 0; i < members; i++) {
		struct rsim_node *n = rsim_add (s);

		c.members[i].id = n->id;
		c.members[i].voter = true;
	}
	/* The group exists: every member holds its configuration. */
	for (uint32_t i = 0; i < members; i++) {
		struct rsim_node *n = &s->nodes[i];
		uint64_t none = 0;

		n->disk.snap_config = c;
		n->disk.snap_index = 1;
		n->disk.snap_term = 1;
		n->disk.base = 1;
		n->disk.base_term = 1;
		n->disk.term = 1;
		if (i == 0)
			g_array_append_val (s->committed, none);
		rsim_start (n);
	}
}

void
rsim_finish (struct rsim *s)
{
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (n->up)
			rsim_crash (n);
		g_array_free (n->pending, TRUE);
		g_ptr_array_free (n->disk.entries, TRUE);
	}
	for (guint i = 0; i < s->flights->len; i++)
		free (g_array_index (s->flights, struct flight, i).data);
	g_array_free (s->flights, TRUE);
	g_array_free (s->committed, TRUE);
	g_hash_table_destroy (s->leaders);
	g_rand_free (s->rand);
}

void
rsim_deliver (struct rsim_node *n, struct flight *f)
{
	msgpack_zone zone;
	struct raft_msg m;

	msgpack_zone_init (&zone, 4096);
	CU_ASSERT_FATAL (
		msg_unpack (raft_msg_fields, f->data, f->len, &m, &zone, NULL));
	if (n->previous)
		m.takes_parts = false;
	if (n->up && !(n->previous && m.kind >= RAFT_MSG_PART))
		raft_step (&n->raft, &m, rsim_clock (n));
	msgpack_zone_destroy (&zone);
	free (f->data);
}

static void
deliver (struct rsim *s)
{
	for (guint i = 0; i < s->flights->len;) {
		struct flight f = g_array_index (s->flights, struct flight, i);
		struct rsim_node *n = node_by_id (s, f.to);

		if (f.at_ms > s->now_ms || (n->up && n->frozen)) {
			i++;
			continue;
		}
		g_array_remove_index_fast (s->flights, i);
		rsim_deliver (n, &f);
	}
}

static void
check_logs (struct rsim *s, const struct raft *a, const struct raft *b)
{
	uint64_t base = MAX (a->log.base, b->log.base);
	uint64_t i = MIN (a->log.base + a->log.entries->len,
			  b->log.base + b->log.entries->len);
	bool same = false;

	for (; i > base; i--) {
		const struct raft_entry *x =
			g_ptr_array_index (a->log.entries, i - a->log.base - 1);
		const struct raft_entry *y =
			g_ptr_array_index (b->log.entries, i - b->log.base - 1);

		same = same || x->term == y->term;
		if (same && entry_hash (x) != entry_hash (y))
			rsim_broke (s, "logs do not match");
	}
	if (a->applied == b->applied &&
	    ((struct rsim_node *)a->ctx)->state !=
		    ((struct rsim_node *)b->ctx)->state)
		rsim_broke (s, "states differ at one index");
}

static void
check (struct rsim *s)
{
	uint32_t leases = 0;
	bool logs = s->now_ms / RSIM_STEP_MS % 8 == 0;

	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (!n->up)
			continue;
		leases += rsim_clock (n) < raft_lease_until (&n->raft);
		for (uint32_t k = 0; logs && k < i; k++) {
			if (s->nodes[k].up)
				check_logs (s, &n->raft, &s->nodes[k].raft);
		}
	}
	if (leases > 1)
		rsim_broke (s, "two leases at once");
}

void
rsim_step (struct rsim *s)
{
	s->now_ms += RSIM_STEP_MS;
	deliver (s);
	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (!n->up || n->frozen)
			continue;
		raft_tick (&n->raft, rsim_clock (n));
		/* A turn that ends without its sync: some crash here. */
		if (g_rand_double (s->rand) < 0.9)
			raft_flush (&n->raft, rsim_clock (n));
	}
	check (s);
}

struct rsim_node *
rsim_leader (struct rsim *s)
{
	struct rsim_node *best = NULL;

	for (uint32_t i = 0; i < s->count; i++) {
		struct rsim_node *n = &s->nodes[i];

		if (n->up && !n->frozen && n->raft.role == RAFT_LEADER &&
		    (best == NULL || n->raft.term > best->raft.term))
			best = n;
	}
	return best;
}

/* Runs the group without faults until a leader has the lease. */
struct rsim_node *
rsim_calm_leader (struct rsim *s)
{
	for (int i = 0; i < 600; i++) {
		struct rsim_node *l;

		rsim_step (s);
		l = rsim_leader (s);
		if (l != NULL && l->raft.commit >= l->raft.term_start &&
		    rsim_clock (l) < raft_lease_until (&l->raft))
			return l;
	}
	CU_FAIL_FATAL ("no leader");
	abort ();
}

void
rsim_init_calm (struct rsim *s, uint32_t seed, uint32_t members)
{
	rsim_init (s, seed, members);
	s->loss = s->dup = 0;
	s->delay_ms = 15;
}
