/*
 * Poison request detection: strikes by request fingerprint, shared between
 * entries.  Each entry keeps a tally of its own strikes per endpoint loss and
 * sends the tally's current value rather than an increment, so that a duplicate
 * message changes nothing.  A request's strikes are the total over all losses.
 */
#include <string.h>

#include <sodium.h>

#include "susp.h"

#define REQUESTS_MAX 4096   /* requests kept */
#define ALONE_MAX_MS 120000 /* an endpoint is reserved no longer than this */
#define TALLIES_MAX 128     /* tallies kept per request */
#define SAME_LOSS_MS 1000   /* all entries notice one loss within this time */

/**
 * struct susp_tally - strikes that one entry counted for one loss of @lost_ep
 * or, if @lost_ep is empty, the endpoint where that entry runs the request
 * alone
 */
struct susp_tally {
	char entry[INV_NAME_BYTES];
	uint64_t incarnation;
	char lost_ep[INV_NAME_BYTES];
	uint64_t lost_ms;  /* time of the loss by that entry's clock */
	uint64_t local_ms; /* the same by the clock of this entry */
	uint32_t strike_milli;
	uint64_t alone_until_ms;       /* 0: does not run alone there */
	char alone_ep[INV_NAME_BYTES]; /* the endpoint where it runs alone */
};

/** struct susp_request - a request that has strikes */
struct susp_request {
	uint8_t id[SUSP_ID_BYTES];
	uint64_t last_strike_ms; /* time of the latest strike */
	bool cleared;
	bool changed;           /* since the last export */
	struct bb_ep *alone_ep; /* where this entry runs it alone, or NULL */
	GArray *tallies;        /* of struct susp_tally */
};

static const struct msg_field susp_item_fields[] = {
	MSG_FIELD (1, MSG_BIN, struct susp_item, id),
	MSG_FIELD (2, MSG_U32, struct susp_item, strike_milli),
	MSG_FIELD (3, MSG_U32, struct susp_item, age_ms),
	MSG_FIELD (4, MSG_BOOL, struct susp_item, cleared),
	MSG_FIELD (5, MSG_STR, struct susp_item, alone_ep),
	MSG_FIELD (6, MSG_STR, struct susp_item, lost_ep),
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

/* Ends the reservation of the endpoint where this entry runs it alone. */
static void
release_endpoint (struct susp_request *r)
{
	if (r->alone_ep == NULL)
		return;
	r->alone_ep->exclusive_until_ms = 0;
	r->alone_ep->refs--;
	r->alone_ep = NULL;
}

static void
request_free (gpointer data)
{
	struct susp_request *r = data;

	release_endpoint (r);
	g_array_free (r->tallies, TRUE);
	g_free (r);
}

void
susp_init (struct susp *s, const char *self, uint64_t incarnation)
{
	memset (s, 0, sizeof *s);
	s->requests =
		g_hash_table_new_full (id_hash, id_equal, NULL, request_free);
	g_strlcpy (s->self, self, sizeof s->self);
	s->incarnation = incarnation;
	s->refuse_milli = 3 * SUSP_STRIKE_MILLI;
	s->ttl_ms = 300000;
}

void
susp_finish (struct susp *s)
{
	g_hash_table_destroy (s->requests);
}

void
susp_configure (struct susp *s, const struct inv_settings *set)
{
	s->refuse_milli = MAX (set->suspect_strikes, 1) * SUSP_STRIKE_MILLI;
	s->ttl_ms = set->suspect_ttl_s * 1000;
}

void
susp_fingerprint (const char *account, const void *body, size_t len,
		  uint8_t id[SUSP_ID_BYTES])
{
	crypto_generichash_state st;

	crypto_generichash_init (&st, NULL, 0, SUSP_ID_BYTES);
	/* The terminating NUL separates the account from the body. */
	crypto_generichash_update (&st, (const uint8_t *)account,
				   strlen (account) + 1);
	crypto_generichash_update (&st, body, len);
	crypto_generichash_final (&st, id, SUSP_ID_BYTES);
}

static struct susp_tally *
tally_at (const struct susp_request *r, uint32_t i)
{
	return &g_array_index (r->tallies, struct susp_tally, i);
}

static struct susp_tally *
tally_find (const struct susp_request *r, const struct susp_tally *key)
{
	for (uint32_t i = 0; i < r->tallies->len; i++) {
		struct susp_tally *t = tally_at (r, i);

		if (strcmp (t->entry, key->entry) == 0 &&
		    t->incarnation == key->incarnation &&
		    strcmp (t->lost_ep, key->lost_ep) == 0 &&
		    t->lost_ms == key->lost_ms)
			return t;
	}
	return NULL;
}

static struct susp_tally *
tally_get (struct susp_request *r, const struct susp_tally *key)
{
	struct susp_tally *t = tally_find (r, key);

	if (t != NULL)
		return t;
	/* Drop the oldest: tallies are in order of arrival. */
	if (r->tallies->len >= TALLIES_MAX)
		g_array_remove_index (r->tallies, 0);
	g_array_append_val (r->tallies, *key);
	return tally_at (r, r->tallies->len - 1);
}

static struct susp_tally
own_tally (const struct susp *s, const char *lost_ep, uint64_t local_ms)
{
	struct susp_tally t = {.incarnation = s->incarnation,
			       .lost_ms = local_ms,
			       .local_ms = local_ms};

	g_strlcpy (t.entry, s->self, sizeof t.entry);
	g_strlcpy (t.lost_ep, lost_ep, sizeof t.lost_ep);
	return t;
}

/* Whether two tallies count the same loss of an endpoint. */
static bool
same_loss (const struct susp_tally *a, const struct susp_tally *b)
{
	uint64_t gap_ms =
		MAX (a->local_ms, b->local_ms) - MIN (a->local_ms, b->local_ms);

	return a->lost_ep[0] != '\0' && strcmp (a->lost_ep, b->lost_ep) == 0 &&
	       gap_ms < SAME_LOSS_MS;
}

/* Thousandths of a strike from all entries for the loss that @t belongs to. */
static uint32_t
loss_milli (const struct susp_request *r, const struct susp_tally *t)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < r->tallies->len; i++)
		if (same_loss (tally_at (r, i), t))
			sum += tally_at (r, i)->strike_milli;
	return MIN (sum, SUSP_STRIKE_MILLI);
}

/* Strikes over all losses, in thousandths. */
static uint32_t
strikes_milli (const struct susp_request *r)
{
	uint32_t sum = 0;

	for (uint32_t i = 0; i < r->tallies->len; i++) {
		bool counted = false;

		for (uint32_t j = 0; j < i && !counted; j++)
			counted = same_loss (tally_at (r, j), tally_at (r, i));
		if (!counted)
			sum += loss_milli (r, tally_at (r, i));
	}
	return sum;
}

/* Whether another entry runs the request alone now. */
static bool
runs_at_peer (const struct susp *s, const struct susp_request *r,
	      uint64_t now_ms)
{
	for (uint32_t i = 0; i < r->tallies->len; i++) {
		const struct susp_tally *t = tally_at (r, i);

		if (strcmp (t->entry, s->self) != 0 &&
		    now_ms < t->alone_until_ms)
			return true;
	}
	return false;
}

/* When the table is full, removes the request whose latest strike is oldest. */
static void
evict_oldest (struct susp *s)
{
	struct susp_request *oldest = NULL;
	GHashTableIter it;
	gpointer v;

	if (g_hash_table_size (s->requests) < REQUESTS_MAX)
		return;
	g_hash_table_iter_init (&it, s->requests);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct susp_request *r = v;

		if (r->alone_ep == NULL &&
		    (oldest == NULL ||
		     r->last_strike_ms < oldest->last_strike_ms))
			oldest = r;
	}
	if (oldest != NULL)
		g_hash_table_remove (s->requests, oldest->id);
}

static struct susp_request *
request_get (struct susp *s, const uint8_t id[SUSP_ID_BYTES])
{
	struct susp_request *r = g_hash_table_lookup (s->requests, id);

	if (r != NULL)
		return r;
	evict_oldest (s);
	r = g_new0 (struct susp_request, 1);
	memcpy (r->id, id, SUSP_ID_BYTES);
	r->tallies = g_array_new (FALSE, TRUE, sizeof (struct susp_tally));
	g_hash_table_insert (s->requests, r->id, r);
	return r;
}

enum susp_verdict
susp_check (struct susp *s, const uint8_t id[SUSP_ID_BYTES], uint64_t now_ms)
{
	const struct susp_request *r = g_hash_table_lookup (s->requests, id);

	if (r == NULL || r->cleared ||
	    now_ms >= r->last_strike_ms + s->ttl_ms ||
	    strikes_milli (r) < SUSP_ALONE_MILLI)
		return SUSP_CLEAN;
	if (strikes_milli (r) >= s->refuse_milli)
		return SUSP_REFUSE;
	if (r->alone_ep != NULL || runs_at_peer (s, r, now_ms))
		return SUSP_WAIT;
	return SUSP_RUN_ALONE;
}

void
susp_started (struct susp *s, const uint8_t id[SUSP_ID_BYTES], struct bb_ep *ep,
	      bool alone, uint64_t now_ms)
{
	struct susp_request *r = g_hash_table_lookup (s->requests, id);

	if (!alone || r == NULL)
		return;
	release_endpoint (r);
	r->alone_ep = ep;
	ep->refs++;
	ep->exclusive_until_ms = now_ms + ALONE_MAX_MS;
	r->changed = true;
}

void
susp_ended (struct susp *s, const uint8_t id[SUSP_ID_BYTES], bool survived,
	    uint64_t now_ms)
{
	struct susp_request *r = g_hash_table_lookup (s->requests, id);

	(void)now_ms;
	if (r == NULL || r->alone_ep == NULL)
		return;
	release_endpoint (r);
	r->cleared = r->cleared || survived;
	r->changed = true;
}

static void
strike (struct susp *s, const char *lost_ep, const uint8_t id[SUSP_ID_BYTES],
	uint32_t strike_milli, uint64_t now_ms)
{
	struct susp_request *r = request_get (s, id);
	struct susp_tally own = own_tally (s, lost_ep, now_ms);

	if (now_ms >= r->last_strike_ms + s->ttl_ms)
		g_array_set_size (r->tallies, 0);
	tally_get (r, &own)->strike_milli += strike_milli;
	r->last_strike_ms = now_ms;
	r->cleared = false;
	r->changed = true;
	release_endpoint (r);
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
export_tally (const struct susp_request *r, const struct susp_tally *t,
	      GArray *items, uint64_t now_ms)
{
	uint64_t strike_ms =
		t->lost_ep[0] == '\0' ? r->last_strike_ms : t->local_ms;
	struct susp_item item = {.strike_milli = t->strike_milli,
				 .cleared = r->cleared,
				 .lost_ms = t->lost_ms};

	memcpy (item.id, r->id, sizeof item.id);
	item.age_ms = (uint32_t)MIN (now_ms - strike_ms, UINT32_MAX);
	memcpy (item.lost_ep, t->lost_ep, sizeof item.lost_ep);
	if (r->alone_ep != NULL)
		g_strlcpy (item.alone_ep, r->alone_ep->name,
			   sizeof item.alone_ep);
	g_array_append_val (items, item);
}

/* Appends where the request runs alone here, then this entry's tallies. */
static uint32_t
export_request (const struct susp *s, struct susp_request *r, GArray *items,
		uint64_t now_ms)
{
	struct susp_tally own = own_tally (s, "", 0);
	uint32_t count = 1;

	export_tally (r, &own, items, now_ms);
	for (uint32_t i = 0; i < r->tallies->len; i++) {
		const struct susp_tally *t = tally_at (r, i);

		if (strcmp (t->entry, s->self) != 0 ||
		    t->incarnation != s->incarnation)
			continue;
		export_tally (r, t, items, now_ms);
		count++;
	}
	r->changed = false;
	return count;
}

uint32_t
susp_export (struct susp *s, bool all, GArray *items, uint64_t now_ms)
{
	uint32_t count = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, s->requests);
	while (count + TALLIES_MAX < SUSP_MSG_ITEMS_MAX &&
	       g_hash_table_iter_next (&it, NULL, &v)) {
		struct susp_request *r = v;

		if (all || r->changed)
			count += export_request (s, r, items, now_ms);
	}
	return count;
}

/*
 * A peer now runs the request alone at endpoint @name; if @name is empty, it no
 * longer runs there.
 */
static void
import_alone_ep (struct bb *bb, struct susp_tally *t, const char *name,
		 uint64_t now_ms)
{
	struct bb_ep *old_ep = bb_ep_find (bb, t->alone_ep);
	struct bb_ep *new_ep = bb_ep_find (bb, name);

	if (old_ep != NULL)
		old_ep->exclusive_until_ms = 0;
	t->alone_until_ms = name[0] == '\0' ? 0 : now_ms + ALONE_MAX_MS;
	if (new_ep != NULL)
		new_ep->exclusive_until_ms = t->alone_until_ms;
	g_strlcpy (t->alone_ep, name, sizeof t->alone_ep);
}

static void
import_item (struct susp *s, struct bb *bb, const struct susp_msg *m,
	     const struct susp_item *item, uint64_t now_ms)
{
	struct susp_request *r = request_get (s, item->id);
	struct susp_tally key = {.incarnation = m->incarnation,
				 .lost_ms = item->lost_ms};
	struct susp_tally *t;

	g_strlcpy (key.entry, m->entry, sizeof key.entry);
	g_strlcpy (key.lost_ep, item->lost_ep, sizeof key.lost_ep);
	key.local_ms = now_ms - MIN (item->age_ms, now_ms);
	t = tally_find (r, &key);
	/* A loss that counts as one full strike needs no further tally. */
	if (t == NULL && loss_milli (r, &key) >= SUSP_STRIKE_MILLI)
		return;
	t = tally_get (r, &key);
	/* A new strike makes a cleared request suspected again. */
	if (item->strike_milli > t->strike_milli)
		r->cleared = false;
	r->cleared = r->cleared || item->cleared;
	t->strike_milli = MAX (t->strike_milli, item->strike_milli);
	r->last_strike_ms = MAX (r->last_strike_ms, key.local_ms);
	if (item->lost_ep[0] == '\0' &&
	    strcmp (t->alone_ep, item->alone_ep) != 0)
		import_alone_ep (bb, t, item->alone_ep, now_ms);
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
			import_item (s, bb, m, &items[i], now_ms);
}

void
susp_expire (struct susp *s, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, s->requests);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		const struct susp_request *r = v;

		if (r->alone_ep == NULL &&
		    now_ms >= r->last_strike_ms + s->ttl_ms)
			g_hash_table_iter_remove (&it);
	}
}
