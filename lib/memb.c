/*
 * One instance's view of the others: who there is, and what is asked of it.
 */
#include <string.h>

#include "memb_priv.h"

#define GOODBYES 3

const struct memb_settings memb_defaults = {
	.probe_ms = 400,
	.ack_ms = 120,
	.helpers = 3,
	.suspect_ms = 1400,
	.accuse_ms = 200,
	.news_ms = 100,
	.news_slow_ms = 1000,
	.repair_ms = 1000,
	.fanout = 2,
	.dead_probe_ms = 2000,
	.between_ms = 1000,
	.updates = 6,
};

const char *
memb_state_name (enum memb_state s)
{
	switch (s) {
	case MEMB_ALIVE:
		return "alive";
	case MEMB_SUSPECT:
		return "suspect";
	case MEMB_DEAD:
		return "dead";
	case MEMB_LEFT:
		return "left";
	}
	return "?";
}

struct memb_peer *
memb_lookup (const struct memb *m, const char *name)
{
	guint lo = 0, hi = m->peers->len;

	while (lo < hi) {
		guint mid = lo + (hi - lo) / 2;
		struct memb_peer *p = m->peers->pdata[mid];
		int cmp = strcmp (name, p->name);

		if (cmp == 0)
			return p;
		if (cmp < 0)
			hi = mid;
		else
			lo = mid + 1;
	}
	return NULL;
}

const struct memb_peer *
memb_find (const struct memb *m, const char *name)
{
	return memb_lookup (m, name);
}

bool
memb_is_up (const struct memb *m, const char *name)
{
	const struct memb_peer *p = memb_lookup (m, name);

	if (p == NULL)
		return strcmp (name, m->name) == 0 && !m->leaving;
	return p->state == MEMB_ALIVE;
}

struct memb_domain *
memb_domain_of (struct memb *m, const char *name)
{
	for (uint32_t i = 0; i < m->domain_count; i++) {
		if (strcmp (m->domains[i].name, name) == 0)
			return &m->domains[i];
	}
	return NULL;
}

uint64_t
memb_domain_silent_ms (const struct memb *m, const char *domain,
		       uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->domain_count; i++) {
		if (strcmp (m->domains[i].name, domain) == 0)
			return m->domains[i].heard_ms == 0
				       ? UINT64_MAX
				       : now_ms - m->domains[i].heard_ms;
	}
	return strcmp (domain, m->domain) == 0 ? 0 : UINT64_MAX;
}

void
memb_init (struct memb *m, const struct memb_settings *set,
	   const struct memb_ops *ops, void *ctx, const char *name,
	   const char *domain, uint64_t incarnation,
	   const uint8_t cluster_key[FRAME_KEY_BYTES], uint32_t seed,
	   uint64_t now_ms)
{
	memset (m, 0, sizeof *m);
	m->set = *set;
	m->ops = ops;
	m->ctx = ctx;
	m->rand = g_rand_new_with_seed (seed);
	memcpy (m->key, cluster_key, sizeof m->key);
	g_strlcpy (m->name, name, sizeof m->name);
	g_strlcpy (m->domain, domain, sizeof m->domain);
	m->incarnation = incarnation;
	m->peers = g_ptr_array_new_with_free_func (g_free);
	m->order = g_ptr_array_new ();
	m->seq = g_rand_int (m->rand);
	m->tick_ms = now_ms;
	/* Instances started together don't probe together. */
	m->probe_due_ms = now_ms + g_rand_int (m->rand) % set->probe_ms;
	m->dead_due_ms = now_ms + g_rand_int (m->rand) % set->dead_probe_ms;
	m->between_due_ms = now_ms + g_rand_int (m->rand) % set->between_ms;
	m->domain_next = g_rand_int (m->rand);
}

void
memb_finish (struct memb *m)
{
	g_ptr_array_unref (m->order);
	g_ptr_array_unref (m->peers);
	g_rand_free (m->rand);
	memset (m, 0, sizeof *m);
}

static int
compare_peers (const void *a, const void *b)
{
	const struct memb_peer *const *pa = a, *const *pb = b;

	return strcmp ((*pa)->name, (*pb)->name);
}

static void
add_domain (struct memb *m, const char *name)
{
	struct memb_domain *d;

	if (strcmp (name, m->domain) == 0 || memb_domain_of (m, name) != NULL ||
	    m->domain_count == MEMB_DOMAINS_MAX)
		return;
	d = &m->domains[m->domain_count++];
	memset (d, 0, sizeof *d);
	g_strlcpy (d->name, name, sizeof d->name);
}

static void
take_entry (struct memb *m, const struct inv_entry *e, GPtrArray *fresh,
	    uint64_t now_ms)
{
	struct memb_peer *p = memb_lookup (m, e->name);

	add_domain (m, e->domain);
	if (strcmp (e->name, m->name) == 0)
		return;
	if (p == NULL) {
		p = g_new0 (struct memb_peer, 1);
		g_strlcpy (p->name, e->name, sizeof p->name);
		p->state = MEMB_SUSPECT;
		p->changed_ms = now_ms;
		g_ptr_array_add (fresh, p);
	}
	p->keep = true;
	g_strlcpy (p->domain, e->domain, sizeof p->domain);
	g_strlcpy (p->addr, e->peer, sizeof p->addr);
}

void
memb_shuffle (struct memb *m)
{
	g_ptr_array_set_size (m->order, 0);
	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p = m->peers->pdata[i];

		if (strcmp (p->domain, m->domain) == 0)
			g_ptr_array_add (m->order, p);
	}
	for (guint i = m->order->len; i > 1; i--) {
		guint j = g_rand_int (m->rand) % i;
		void *swap = m->order->pdata[i - 1];

		m->order->pdata[i - 1] = m->order->pdata[j];
		m->order->pdata[j] = swap;
	}
	m->next = 0;
}

void
memb_set_peers (struct memb *m, const struct inv *inv, uint64_t now_ms)
{
	GPtrArray *fresh = g_ptr_array_new ();

	for (guint i = 0; i < m->peers->len; i++)
		((struct memb_peer *)m->peers->pdata[i])->keep = false;
	for (uint32_t i = 0; i < inv->entry_count; i++)
		take_entry (m, &inv->entries[i], fresh, now_ms);
	for (guint i = m->peers->len; i > 0; i--) {
		if (!((struct memb_peer *)m->peers->pdata[i - 1])->keep)
			g_ptr_array_remove_index (m->peers, i - 1);
	}
	for (guint i = 0; i < fresh->len; i++)
		g_ptr_array_add (m->peers, fresh->pdata[i]);
	g_ptr_array_unref (fresh);
	g_ptr_array_sort (m->peers, compare_peers);
	memb_shuffle (m);
}
void
memb_listed (struct memb *m, const char *name, enum memb_listed listed,
	     uint64_t now_ms)
{
	struct memb_peer *p = memb_lookup (m, name);

	if (p == NULL)
		return;
	p->listed = listed;
	if (p->suspect_ms != 0)
		p->suspect_ms =
			MIN (p->suspect_ms, now_ms + memb_suspicion_ms (m, p));
}
