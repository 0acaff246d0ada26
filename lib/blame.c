/*
 * Requests and prompt segments that crash endpoints.
 */
#include <string.h>

#include <xxhash.h>

#include "blame_priv.h"

/* A strike counts for so long, and a bar so long after the last request. */
#define STRIKE_MAX_AGE_MS 300000
#define BAR_MAX_AGE_MS 600000

#define EXPIRE_INTERVAL_MS 1000

/* Entries looked at for one that can go. */
#define ROOM_TRIES 32

#define NEWS_MAX 512
#define SUCCESSES 4096 /* a power of two */

struct blame_news {
	struct blame_record record;
	uint64_t at_ms;
};

const struct msg_field blame_record_fields[] = {
	MSG_FIELD (1, MSG_U64, struct blame_record, key),
	MSG_FIELD (2, MSG_U8, struct blame_record, what),
	MSG_FIELD (3, MSG_U32, struct blame_record, ep_hash),
	MSG_FIELD (4, MSG_U32, struct blame_record, origin),
	MSG_FIELD (5, MSG_U32, struct blame_record, age_ms),
	MSG_FIELD (6, MSG_U8, struct blame_record, trials),
	MSG_FIELD (7, MSG_U32, struct blame_record, ask_id),
	MSG_FIELD_END,
};

void
blame_init (struct blame *b, uint32_t self, const struct blame_ops *ops,
	    void *ctx)
{
	*b = (struct blame){.ops = ops,
			    .ctx = ctx,
			    .self = self,
			    .relay_count = 1,
			    .judge_ms = UINT64_MAX};
	b->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
					    g_free);
	g_queue_init (&b->order);
	b->news = g_array_new (FALSE, FALSE, sizeof (struct blame_news));
	if (self != 0)
		b->successes = g_new0 (struct blame_success, SUCCESSES);
}

void
blame_finish (struct blame *b)
{
	g_hash_table_destroy (b->entries);
	g_array_free (b->news, TRUE);
	g_free (b->successes);
}

uint64_t
blame_segment_key (uint64_t id)
{
	return XXH64 (&id, sizeof id, 0) & ~(uint64_t)1;
}

uint64_t
blame_request_key (const char *request_line, const char *account,
		   const void *body, size_t len)
{
	uint64_t h = XXH64 (request_line, strlen (request_line), 1);

	h = XXH64 (account, strlen (account), h);
	if (len > 0)
		h = XXH64 (body, len, h);
	return h | 1;
}

const char *
blame_key_kind (uint64_t key)
{
	return key % 2 == 0 ? "segment" : "request";
}

const char *
blame_change_name (enum blame_change change)
{
	switch (change) {
	case BLAME_BARRED:
		return "barred";
	case BLAME_CLEARED:
		return "cleared";
	case BLAME_EXPIRED:
		return "expired";
	case BLAME_TRIED:
		return "tried";
	case BLAME_GRANTED_TRIAL:
		return "granted";
	}
	return "?";
}

struct blame_entry *
blame_find_entry (const struct blame *b, uint64_t key)
{
	return g_hash_table_lookup (b->entries, &key);
}

static void
entry_remove (struct blame *b, struct blame_entry *e)
{
	b->barred -= e->barred;
	g_queue_unlink (&b->order, &e->link);
	g_hash_table_remove (b->entries, &e->key);
}

/* Removes an entry with a single strike, the oldest first, so that a flood of
 * them leaves those alone that may become barred. */
static void
make_room (struct blame *b)
{
	for (uint32_t i = 0; i < ROOM_TRIES; i++) {
		struct blame_entry *e = g_queue_peek_head (&b->order);

		if (!e->barred && e->strike_count < 2)
			break;
		g_queue_push_tail_link (&b->order,
					g_queue_pop_head_link (&b->order));
	}
	entry_remove (b, g_queue_peek_head (&b->order));
}

static struct blame_entry *
entry_get (struct blame *b, uint64_t key)
{
	struct blame_entry *e = blame_find_entry (b, key);

	if (e != NULL)
		return e;
	if (g_hash_table_size (b->entries) >= BLAME_ENTRIES_MAX)
		make_room (b);
	e = g_new0 (struct blame_entry, 1);
	e->key = key;
	e->link.data = e;
	g_queue_push_tail_link (&b->order, &e->link);
	g_hash_table_insert (b->entries, &e->key, e);
	return e;
}

/* Bars the key, or ends its bar, as its strikes ask for. */
static void
entry_judge (struct blame *b, struct blame_entry *e, uint64_t now_ms)
{
	bool bar = blame_entry_should_bar (e, now_ms);

	if (!bar)
		b->judge_ms = MIN (b->judge_ms, blame_entry_bar_due_ms (e));
	if (bar == e->barred)
		return;
	e->barred = bar;
	if (bar) {
		b->barred++;
		/* News of a trial may arrive after the bar that it was of. */
		if (e->trial_ms < e->strikes[0].at_ms)
			e->trials = 0;
	} else {
		b->barred--;
		e->trials = 0;
		e->trial_ms = 0;
		e->undecided = false;
		e->unanswered_ms = 0;
		e->granted_ms = 0;
		e->granted_until_ms = 0;
	}
	b->ops->changed (e->key, bar ? BLAME_BARRED : BLAME_CLEARED,
			 blame_entry_endpoints (e), b->ctx);
}

void
blame_add_news (struct blame *b, const struct blame_record *r, uint64_t at_ms)
{
	struct blame_news news = {*r, at_ms};

	if (b->news->len < NEWS_MAX)
		g_array_append_val (b->news, news);
	else
		b->dropped++;
}

static struct blame_success *
success_slot (const struct blame *b, uint64_t key)
{
	return &b->successes[(key >> 1) % SUCCESSES];
}

/* Takes the latest success of this relay into account, which it did not tell
 * while nobody blamed the key. */
static void
note_own_success (struct blame *b, struct blame_entry *e, uint64_t now_ms)
{
	struct blame_record r = {.key = e->key, .what = BLAME_CLEAR};
	const struct blame_success *s;

	if (b->successes == NULL)
		return;
	s = success_slot (b, e->key);
	if (s->key == e->key && s->at_ms + BLAME_RECENT_MS > now_ms &&
	    blame_entry_clear (e, s->at_ms))
		blame_add_news (b, &r, s->at_ms);
}

/* A key that succeeded lately is not blamed for what another, barred key of the
 * same request explains. */
static bool
is_explained (const struct blame_entry *e, bool other_barred, uint64_t now_ms)
{
	return other_barred && !e->barred && e->cleared_ms != 0 &&
	       e->cleared_ms + BLAME_RECENT_MS > now_ms;
}

void
blame_broke (struct blame *b, const uint64_t *keys, uint32_t count,
	     uint32_t ep_hash, uint64_t now_ms)
{
	bool has_barred = false;

	for (uint32_t i = 0; i < count; i++) {
		const struct blame_entry *e = blame_find_entry (b, keys[i]);

		has_barred = has_barred || (e != NULL && e->barred);
	}
	for (uint32_t i = 0; i < count; i++) {
		struct blame_entry *e = entry_get (b, keys[i]);
		struct blame_record r = {.key = keys[i],
					 .what = BLAME_STRIKE,
					 .ep_hash = ep_hash,
					 .origin = b->self};

		note_own_success (b, e, now_ms);
		if (is_explained (e, has_barred, now_ms))
			continue;
		if (blame_entry_strike (e, now_ms, ep_hash, b->self))
			blame_add_news (b, &r, now_ms);
		entry_judge (b, e, now_ms);
	}
}

uint32_t
blame_strikes (const struct blame *b, uint64_t key)
{
	const struct blame_entry *e = blame_find_entry (b, key);

	return e != NULL ? e->strike_count : 0;
}

void
blame_answered (struct blame *b, const uint64_t *keys, uint32_t count,
		uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		struct blame_record r = {.key = keys[i], .what = BLAME_CLEAR};
		struct blame_entry *e = NULL;

		*success_slot (b, keys[i]) =
			(struct blame_success){keys[i], now_ms};
		if (g_hash_table_size (b->entries) > 0)
			e = blame_find_entry (b, keys[i]);
		if (e == NULL || e->strike_count == 0)
			continue;
		if (blame_entry_clear (e, now_ms))
			blame_add_news (b, &r, now_ms);
		entry_judge (b, e, now_ms);
	}
}

/* Returns whether the record was not known. */
static bool
merge_one (struct blame *b, const struct blame_record *r, uint64_t now_ms)
{
	uint64_t at_ms = now_ms - MIN (r->age_ms, now_ms);
	struct blame_entry *e;
	bool fresh = false;

	if (r->what == BLAME_GRANTED)
		blame_receive_grant (b, r, now_ms);
	if (r->what < BLAME_STRIKE || r->what > BLAME_TRIAL)
		return false;
	e = entry_get (b, r->key);
	if (r->what == BLAME_STRIKE) {
		note_own_success (b, e, now_ms);
		fresh = blame_entry_strike (e, at_ms, r->ep_hash, r->origin);
	} else if (r->what == BLAME_CLEAR) {
		fresh = blame_entry_clear (e, at_ms);
	} else {
		fresh = blame_entry_tried (e, at_ms, r->trials);
		e->undecided = e->undecided && !fresh;
		if (fresh)
			e->unanswered_ms = 0;
	}
	entry_judge (b, e, now_ms);
	return fresh;
}

void
blame_merge (struct blame *b, const struct blame_record *records,
	     uint32_t count, GArray *fresh, uint64_t now_ms)
{
	for (uint32_t i = 0; i < count; i++) {
		if (merge_one (b, &records[i], now_ms) && fresh != NULL)
			g_array_append_val (fresh, records[i]);
	}
}

void
blame_take_news (struct blame *b, GArray *out, uint64_t now_ms)
{
	guint n = MIN (b->news->len, BLAME_RECORDS_MAX);

	for (guint i = 0; i < n; i++) {
		struct blame_news *x =
			&g_array_index (b->news, struct blame_news, i);

		x->record.age_ms = (uint32_t)(now_ms - x->at_ms);
		g_array_append_val (out, x->record);
	}
	if (n > 0)
		g_array_remove_range (b->news, 0, n);
}

static void
export_record (GArray *out, struct blame_record r, uint64_t at_ms,
	       uint64_t now_ms)
{
	r.age_ms = (uint32_t)MIN (now_ms - MIN (at_ms, now_ms), UINT32_MAX);
	g_array_append_val (out, r);
}

void
blame_entry_export (const struct blame_entry *e, GArray *out, uint64_t now_ms)
{
	struct blame_record r = {.key = e->key, .what = BLAME_CLEAR};

	if (e->cleared_ms != 0)
		export_record (out, r, e->cleared_ms, now_ms);
	r.what = BLAME_STRIKE;
	for (uint32_t i = 0; i < e->strike_count; i++) {
		r.ep_hash = e->strikes[i].ep_hash;
		r.origin = e->strikes[i].origin;
		export_record (out, r, e->strikes[i].at_ms, now_ms);
	}
	r = (struct blame_record){
		.key = e->key, .what = BLAME_TRIAL, .trials = e->trials};
	if (e->trials > 0)
		export_record (out, r, e->trial_ms, now_ms);
}

void
blame_export (const struct blame *b, GArray *out, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init (&it, b->entries);
	while (g_hash_table_iter_next (&it, NULL, &value))
		blame_entry_export (value, out, now_ms);
}

/* Returns whether the entry is of no use any more. */
static bool
entry_expire (struct blame_entry *e, uint64_t now_ms)
{
	if (e->barred)
		return MAX (MAX (e->asked_ms, e->struck_ms), e->trial_ms) +
			       BAR_MAX_AGE_MS <
		       now_ms;
	blame_entry_drop (e, now_ms - MIN (STRIKE_MAX_AGE_MS, now_ms));
	return e->strike_count == 0 && e->cleared_ms + BLAME_RECENT_MS < now_ms;
}

/* Bars the keys that nobody answered in time after their strikes. */
static void
judge_all (struct blame *b, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	b->judge_ms = UINT64_MAX;
	g_hash_table_iter_init (&it, b->entries);
	while (g_hash_table_iter_next (&it, NULL, &value))
		entry_judge (b, value, now_ms);
}

void
blame_tick (struct blame *b, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer value;

	if (now_ms >= b->judge_ms)
		judge_all (b, now_ms);
	if (now_ms < b->expired_ms + EXPIRE_INTERVAL_MS)
		return;
	b->expired_ms = now_ms;
	g_hash_table_iter_init (&it, b->entries);
	while (g_hash_table_iter_next (&it, NULL, &value)) {
		struct blame_entry *e = value;

		if (!entry_expire (e, now_ms))
			continue;
		if (e->barred)
			b->ops->changed (e->key, BLAME_EXPIRED,
					 blame_entry_endpoints (e), b->ctx);
		b->barred -= e->barred;
		g_queue_unlink (&b->order, &e->link);
		g_hash_table_iter_remove (&it);
	}
}
