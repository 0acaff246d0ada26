/*
 * What entries say of their work: each tells its own control member with its
 * acknowledgement, and the members tell the leader.  Kept in memory only: a new
 * leader hears it all again within seconds.
 */
#include <string.h>

#include "controld.h"

#define FRESH_MS 10000 /* a load older than this says nothing */

/** struct load - an entry's latest */
struct load {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	uint64_t revision;
	uint64_t asked;
	uint64_t attained;
	GArray *domains;   /* of struct proto_busy */
	GArray *releasing; /* the same */
	uint64_t at_ms;
	bool here;  /* the entry told this member itself */
	bool dirty; /* the leader was not told yet */
	/* What the last look counted up to. */
	bool based;
	uint64_t base_incarnation;
	struct scale_look base;
};

static void
load_free (gpointer p)
{
	struct load *l = p;

	g_array_free (l->domains, TRUE);
	g_array_free (l->releasing, TRUE);
	g_free (l);
}

void
load_init (struct control *c)
{
	c->loads = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
					  load_free);
}

void
load_finish (struct control *c)
{
	g_hash_table_destroy (c->loads);
}

static struct load *
load_get (struct control *c, const char *entry)
{
	struct load *l = g_hash_table_lookup (c->loads, entry);

	if (l != NULL)
		return l;
	l = g_new0 (struct load, 1);
	g_strlcpy (l->entry, entry, sizeof l->entry);
	l->domains = g_array_new (FALSE, TRUE, sizeof (struct proto_busy));
	l->releasing = g_array_new (FALSE, TRUE, sizeof (struct proto_busy));
	g_hash_table_insert (c->loads, l->entry, l);
	return l;
}

static void
copy_list (GArray *to, const struct msg_list *from)
{
	g_array_set_size (to, 0);
	if (from->count > 0)
		g_array_append_vals (to, from->items, from->count);
}

/* A member that an entry has left may tell of it once more, out of date. */
static bool
older (const struct load *l, const struct proto_load *m)
{
	if (m->incarnation != l->incarnation)
		return m->incarnation < l->incarnation;
	return m->asked < l->asked || m->revision < l->revision;
}

void
load_take (struct control *c, const struct proto_load *m, bool here)
{
	struct load *l;

	if (!g_hash_table_contains (c->loads, m->entry) &&
	    g_hash_table_size (c->loads) >= PROTO_LOADS_MAX)
		return;
	l = load_get (c, m->entry);
	if (older (l, m))
		return;
	l->incarnation = m->incarnation;
	l->revision = m->revision;
	l->asked = m->asked;
	l->attained = m->attained;
	copy_list (l->domains, &m->domains);
	copy_list (l->releasing, &m->releasing);
	l->at_ms = tmr_now_ms ();
	l->here = here;
	l->dirty = here;
}

static bool
fresh (const struct load *l, uint64_t now_ms)
{
	return l != NULL && now_ms < l->at_ms + FRESH_MS;
}

static GArray *
take_dirty (struct control *c, bool all, uint64_t now_ms)
{
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct proto_load));
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init (&it, c->loads);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		struct load *l = p;
		struct proto_load m;

		if (!l->here || !fresh (l, now_ms) || !(all || l->dirty))
			continue;
		memset (&m, 0, sizeof m);
		g_strlcpy (m.entry, l->entry, sizeof m.entry);
		m.incarnation = l->incarnation;
		m.revision = l->revision;
		m.asked = l->asked;
		m.attained = l->attained;
		m.domains.items = l->domains->data;
		m.domains.count = l->domains->len;
		m.releasing.items = l->releasing->data;
		m.releasing.count = l->releasing->len;
		g_array_append_val (out, m);
		l->dirty = false;
	}
	return out;
}

void
load_tick (struct control *c, uint64_t now_ms)
{
	const struct inv *inv = platform_inv (c);
	struct peer *p = peer_by_id (c, c->raft.leader);
	struct link *l = p != NULL ? peer_link (p) : NULL;
	struct proto_member_load m;
	GArray *loads;

	if (c->raft.leader == c->id || l == NULL || now_ms < c->loads_at_ms)
		return;
	c->loads_at_ms = now_ms + scale_pace_ms (inv);
	loads = take_dirty (c, c->loads_to != c->raft.leader, now_ms);
	m.loads.items = loads->data;
	m.loads.count = loads->len;
	if (loads->len > 0 &&
	    link_send (l, FRAME_MEMBER_LOAD, proto_member_load_fields, &m))
		c->loads_to = c->raft.leader;
	g_array_free (loads, TRUE);
}

void
load_rebase (struct control *c)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init (&it, c->loads);
	while (g_hash_table_iter_next (&it, NULL, &p))
		((struct load *)p)->based = false;
}

static void
look_at (struct load *l, struct scale_look *out)
{
	if (l->based && l->base_incarnation != l->incarnation)
		memset (&l->base, 0, sizeof l->base);
	if (l->based) {
		out->asked += l->asked - l->base.asked;
		out->attained += l->attained - l->base.attained;
	}
	l->based = true;
	l->base_incarnation = l->incarnation;
	l->base.asked = l->asked;
	l->base.attained = l->attained;
}

bool
load_look (struct control *c, const struct inv *inv, uint64_t now_ms,
	   struct scale_look *out)
{
	bool all = true;

	memset (out, 0, sizeof *out);
	for (uint32_t i = 0; i < inv->entry_count; i++) {
		struct load *l =
			g_hash_table_lookup (c->loads, inv->entries[i].name);

		all = all && fresh (l, now_ms);
		if (l != NULL)
			look_at (l, out);
	}
	return all;
}

static uint32_t
busy_in (const GArray *list, const char *name)
{
	for (guint i = 0; i < list->len; i++) {
		const struct proto_busy *b =
			&g_array_index (list, struct proto_busy, i);

		if (strcmp (b->name, name) == 0)
			return b->busy;
	}
	return 0;
}

uint32_t
load_busy (const struct control *c, const char *domain, uint64_t now_ms)
{
	GHashTableIter it;
	uint32_t sum = 0;
	gpointer p;

	g_hash_table_iter_init (&it, c->loads);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		const struct load *l = p;

		if (fresh (l, now_ms))
			sum += busy_in (l->domains, domain);
	}
	return sum;
}

bool
load_empty (const struct control *c, const struct inv *inv,
	    const char *endpoint, uint64_t revision)
{
	for (uint32_t i = 0; i < inv->entry_count; i++) {
		const struct load *l =
			g_hash_table_lookup (c->loads, inv->entries[i].name);

		if (l == NULL || l->revision < revision ||
		    busy_in (l->releasing, endpoint) > 0)
			return false;
	}
	return true;
}
