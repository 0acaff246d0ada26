/*
 * Suspected crash causes: strikes by request fingerprint, shared between
 * entries.  Every entry counts its own strikes for each loss of an endpoint and
 * tells the sum; what is known of one request is the total over all losses, so
 * that a message that comes twice changes nothing.
 */
#include <string.h>

#include <sodium.h>

#include "susp.h"

#define KNOWN_MAX 4096      /* requests remembered */
#define ALONE_MAX_MS 120000 /* longest belief that one runs alone */
#define LOSSES_MAX 128      /* parts kept of one request */
#define ONE_LOSS_MS 1000    /* entries see one loss within this time */

/** struct susp_tally - what one entry counted for one loss, or (@lost is "")
 * where it runs the request alone
 */
struct susp_tally {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	char lost[INV_NAME_BYTES];
	uint64_t lost_ms; /* on its clock */
	uint64_t at_ms;   /* the same on ours */
	uint32_t milli;
	uint64_t alone_until_ms; /* it runs it alone; 0: not */
	char ep[INV_NAME_BYTES]; /* where */
};

/** struct susp_request - one request with strikes */
struct susp_request {
	uint8_t id[SUSP_ID_BYTES];
	uint64_t last_ms; /* latest strike */
	bool cleared;
	bool changed;     /* not exported yet */
	struct bb_ep *ep; /* where it runs alone from here, or NULL */
	GArray *parts;    /* of struct susp_tally */
};

static const struct msg_field susp_item_fields[] = {
	MSG_FIELD (1, MSG_BIN, struct susp_item, id),
	MSG_FIELD (2, MSG_U32, struct susp_item, milli),
	MSG_FIELD (3, MSG_U32, struct susp_item, age_ms),
	MSG_FIELD (4, MSG_BOOL, struct susp_item, cleared),
	MSG_FIELD (5, MSG_STR, struct susp_item, ep),
	MSG_FIELD (6, MSG_STR, struct susp_item, lost),
	MSG_FIELD (7, MSG_U64, struct susp_item, lost_ms),
	MSG_FIELD_END,
};

const struct msg_field susp_msg_fields[] = {
	MSG_FIELD (1, MSG_STR, struct susp_msg, entry),
	MSG_FIELD (2, MSG_U64, struct susp_msg, incarnation),
	MSG_FIELD_LIST (3, struct susp_msg, items, struct susp_item,
			susp_item_fields, SUSP_MSG_ITEMS_MAX),
	MSG_FIELD_END,
};

static guint
id_hash (gconstpointer id)
{
	guint h;

	memcpy (&h, id, sizeof h);
	return h;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
	return memcmp (a, b, SUSP_ID_BYTES) == 0;
}

static void
let_go (struct susp_request *k)
{
	if (k->ep == NULL)
		return;
	k->ep->exclusive_until_ms = 0;
	k->ep->refs--;
	k->ep = NULL;
}

static void
known_free (gpointer p)
{
	struct susp_request *k = p;

	let_go (k);
	g_array_free (k->parts, TRUE);
	g_free (k);
}

void
susp_init (struct susp *s, const char *self, uint64_t incarnation)
{
	memset (s, 0, sizeof *s);
	s->known = g_hash_table_new_full (id_hash, id_equal, NULL, known_free);
	g_strlcpy (s->self, self, sizeof s->self);
	s->incarnation = incarnation;
	s->limit_milli = 3 * SUSP_STRIKE_MILLI;
	s->ttl_ms = 300000;
}

void
susp_finish (struct susp *s)
{
	g_hash_table_destroy (s->known);
}

void
susp_configure (struct susp *s, const struct inv_settings *set)
{
	s->limit_milli = MAX (set->suspect_strikes, 1) * SUSP_STRIKE_MILLI;
	s->ttl_ms = set->suspect_ttl_s * 1000;
}

void
susp_fingerprint (const char *account, const void *body, size_t len,
		  uint8_t id[SUSP_ID_BYTES])
{
	crypto_generichash_state st;

	crypto_generichash_init (&st, NULL, 0, SUSP_ID_BYTES);
	/* The terminator parts the account from the body. */
	crypto_generichash_update (&st, (const uint8_t *)account,
				   strlen (account) + 1);
	crypto_generichash_update (&st, body, len);
	crypto_generichash_final (&st, id, SUSP_ID_BYTES);
}

static struct susp_tally *
part_at (const struct susp_request *k, uint32_t i)
{
	return &g_array_index (k->parts, struct susp_tally, i);
}

static struct susp_tally *
part_find (const struct susp_request *k, const struct susp_tally *like)
{
	for (uint32_t i = 0; i < k->parts->len; i++) {
		struct susp_tally *p = part_at (k, i);

		if (strcmp (p->entry, like->entry) == 0 &&
		    p->incarnation == like->incarnation &&
		    strcmp (p->lost, like->lost) == 0 &&
		    p->lost_ms == like->lost_ms)
			return p;
	}
	return NULL;
}

static struct susp_tally *
part_get (struct susp_request *k, const struct susp_tally *like)
{
	struct susp_tally *p = part_find (k, like);

	if (p != NULL)
		return p;
	/* The first was noted first. */
	if (k->parts->len >= LOSSES_MAX)
		g_array_remove_index (k->parts, 0);
	g_array_append_val (k->parts, *like);
	return part_at (k, k->parts->len - 1);
}

static struct susp_tally
own_part (const struct susp *s, const char *lost, uint64_t at_ms)
{
	struct susp_tally p = {.incarnation = s->incarnation,
			       .lost_ms = at_ms,
			       .at_ms = at_ms};

	g_strlcpy (p.entry, s->self, sizeof p.entry);
	g_strlcpy (p.lost, lost, sizeof p.lost);
	return p;
}

static bool
same_loss (const struct susp_tally *a, const struct susp_tally *b)
{
	uint64_t apart = MAX (a->at_ms, b->at_ms) - MIN (a->at_ms, b->at_ms);

	return a->lost[0] != '\0' && strcmp (a->lost, b->lost) == 0 &&
	       apart < ONE_LOSS_MS;
}

/* Strikes for the loss that @p is of, over all entries. */
static uint32_t
loss_milli (const struct susp_request *k, const struct susp_tally *p)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < k->parts->len; i++)
		if (same_loss (part_at (k, i), p))
			sum += part_at (k, i)->milli;
	return MIN (sum, SUSP_STRIKE_MILLI);
}

static uint32_t
total (const struct susp_request *k)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < k->parts->len; i++) {
		bool counted = false;

		for (uint32_t j = 0; j < i && !counted; j++)
			counted = same_loss (part_at (k, j), part_at (k, i));
		if (!counted)
			sum += loss_milli (k, part_at (k, i));
	}
	return sum;
}

static bool
elsewhere (const struct susp *s, const struct susp_request *k, uint64_t now_ms)
{
	for (uint32_t i = 0; i < k->parts->len; i++) {
		const struct susp_tally *p = part_at (k, i);

		if (strcmp (p->entry, s->self) != 0 &&
		    now_ms < p->alone_until_ms)
			return true;
	}
	return false;
}

/* The one whose latest strike is oldest makes room. */
static void
make_room (struct susp *s)
{
	struct susp_request *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size (s->known) < KNOWN_MAX)
		return;
	g_hash_table_iter_init (&it, s->known);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct susp_request *k = v;

		if (k->ep == NULL &&
		    (oldest == NULL || k->last_ms < oldest->last_ms))
			oldest = k;
	}
	if (oldest != NULL)
		g_hash_table_remove (s->known, oldest->id);
}

static struct susp_request *
known_get (struct susp *s, const uint8_t id[SUSP_ID_BYTES])
{
	struct susp_request *k = g_hash_table_lookup (s->known, id);

	if (k != NULL)
		return k;
	make_room (s);
	k = g_new0 (struct susp_request, 1);
	memcpy (k->id, id, SUSP_ID_BYTES);
	k->parts = g_array_new (FALSE, TRUE, sizeof (struct susp_tally));
	g_hash_table_insert (s->known, k->id, k);
	return k;
}

enum susp_verdict
susp_check (struct susp *s, const uint8_t id[SUSP_ID_BYTES], uint64_t now_ms)
{
	const struct susp_request *k = g_hash_table_lookup (s->known, id);

	if (k == NULL || k->cleared || now_ms >= k->last_ms + s->ttl_ms ||
	    total (k) < SUSP_ALONE_MILLI)
		return SUSP_CLEAN;
	if (total (k) >= s->limit_milli)
		return SUSP_REFUSE;
	if (k->ep != NULL || elsewhere (s, k, now_ms))
		return SUSP_WAIT;
	return SUSP_RUN_ALONE;
}

void
susp_started (struct susp *s, const uint8_t id[SUSP_ID_BYTES], struct bb_ep *ep,
	      bool alone, uint64_t now_ms)
{
	struct susp_request *k = g_hash_table_lookup (s->known, id);

	if (!alone || k == NULL)
		return;
	let_go (k);
	k->ep = ep;
	ep->refs++;
	ep->exclusive_until_ms = now_ms + ALONE_MAX_MS;
	k->changed = true;
}

void
susp_ended (struct susp *s, const uint8_t id[SUSP_ID_BYTES], bool whole,
	    uint64_t now_ms)
{
	struct susp_request *k = g_hash_table_lookup (s->known, id);

	(void)now_ms;
	if (k == NULL || k->ep == NULL)
		return;
	let_go (k);
	k->cleared = k->cleared || whole;
	k->changed = true;
}

static void
strike (struct susp *s, const char *lost, const uint8_t id[SUSP_ID_BYTES],
	uint32_t milli, uint64_t now_ms)
{
	struct susp_request *k = known_get (s, id);
	struct susp_tally own = own_part (s, lost, now_ms);

	if (now_ms >= k->last_ms + s->ttl_ms)
		g_array_set_size (k->parts, 0);
	part_get (k, &own)->milli += milli;
	k->last_ms = now_ms;
	k->cleared = false;
	k->changed = true;
	let_go (k);
}

void
susp_ep_lost (struct susp *s, const struct bb_ep *ep,
	      const uint8_t (*ids)[SUSP_ID_BYTES], uint32_t count,
	      uint32_t in_flight, bool reclaimed, uint64_t now_ms)
{
	uint32_t n = MAX (MAX (count, in_flight), 1);

	for (uint32_t i = 0; i < count; i++) {
		if (reclaimed)
			susp_ended (s, ids[i], false, now_ms);
		else
			strike (s, ep->name, ids[i], SUSP_STRIKE_MILLI / n,
				now_ms);
	}
}

static void
export_part (const struct susp_request *k, const struct susp_tally *p,
	     GArray *items, uint64_t now_ms)
{
	uint64_t last_ms = p->lost[0] == '\0' ? k->last_ms : p->at_ms;
	struct susp_item item = {.milli = p->milli,
				 .cleared = k->cleared,
				 .lost_ms = p->lost_ms};

	memcpy (item.id, k->id, sizeof item.id);
	item.age_ms = (uint32_t)MIN (now_ms - last_ms, UINT32_MAX);
	memcpy (item.lost, p->lost, sizeof item.lost);
	if (k->ep != NULL)
		g_strlcpy (item.ep, k->ep->name, sizeof item.ep);
	g_array_append_val (items, item);
}

/* This entry's strikes, and, first, where the request runs alone. */
static uint32_t
export_one (const struct susp *s, struct susp_request *k, GArray *items,
	    uint64_t now_ms)
{
	struct susp_tally own = own_part (s, "", 0);
	uint32_t count = 1;

	export_part (k, &own, items, now_ms);
	for (uint32_t i = 0; i < k->parts->len; i++) {
		const struct susp_tally *p = part_at (k, i);

		if (strcmp (p->entry, s->self) != 0 ||
		    p->incarnation != s->incarnation)
			continue;
		export_part (k, p, items, now_ms);
		count++;
	}
	k->changed = false;
	return count;
}

uint32_t
susp_export (struct susp *s, bool all, GArray *items, uint64_t now_ms)
{
	uint32_t count = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, s->known);
	while (count + LOSSES_MAX < SUSP_MSG_ITEMS_MAX &&
	       g_hash_table_iter_next (&it, NULL, &v)) {
		struct susp_request *k = v;

		if (all || k->changed)
			count += export_one (s, k, items, now_ms);
	}
	return count;
}

/* A peer runs it alone at @name from now on, or, where that is "", no more. */
static void
import_place (struct bb *bb, struct susp_tally *p, const char *name,
	      uint64_t now_ms)
{
	struct bb_ep *was = bb_ep_find (bb, p->ep);
	struct bb_ep *is = bb_ep_find (bb, name);

	if (was != NULL)
		was->exclusive_until_ms = 0;
	p->alone_until_ms = name[0] == '\0' ? 0 : now_ms + ALONE_MAX_MS;
	if (is != NULL)
		is->exclusive_until_ms = p->alone_until_ms;
	g_strlcpy (p->ep, name, sizeof p->ep);
}

static void
import_one (struct susp *s, struct bb *bb, const struct susp_msg *m,
	    const struct susp_item *item, uint64_t now_ms)
{
	struct susp_request *k = known_get (s, item->id);
	struct susp_tally like = {.incarnation = m->incarnation,
				  .lost_ms = item->lost_ms};
	struct susp_tally *p;

	g_strlcpy (like.entry, m->entry, sizeof like.entry);
	g_strlcpy (like.lost, item->lost, sizeof like.lost);
	like.at_ms = now_ms - MIN (item->age_ms, now_ms);
	p = part_find (k, &like);
	/* One more entry that saw a loss adds nothing to a whole strike. */
	if (p == NULL && loss_milli (k, &like) >= SUSP_STRIKE_MILLI)
		return;
	p = part_get (k, &like);
	/* A strike after it ran whole takes the clearing back. */
	if (item->milli > p->milli)
		k->cleared = false;
	k->cleared = k->cleared || item->cleared;
	p->milli = MAX (p->milli, item->milli);
	k->last_ms = MAX (k->last_ms, like.at_ms);
	if (item->lost[0] == '\0' && strcmp (p->ep, item->ep) != 0)
		import_place (bb, p, item->ep, now_ms);
}

void
susp_import (struct susp *s, struct bb *bb, const struct susp_msg *m,
	     uint64_t now_ms)
{
	const struct susp_item *items = m->items.items;

	if (strcmp (m->entry, s->self) == 0)
		return;
	for (uint32_t i = 0; i < m->items.count; i++)
		if (items[i].age_ms < s->ttl_ms)
			import_one (s, bb, m, &items[i], now_ms);
}

void
susp_expire (struct susp *s, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, s->known);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		const struct susp_request *k = v;

		if (k->ep == NULL && now_ms >= k->last_ms + s->ttl_ms)
			g_hash_table_iter_remove (&it);
	}
}
