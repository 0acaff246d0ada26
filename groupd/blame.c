/*
 * Requests that crash endpoints: what relays report of them is merged and
 * forwarded to the other relays.  The leader keeps the barred ones in the
 * replicated state, from where members take them after a restart.
 */
#include <xxhash.h>

#include "groupd.h"

/* Strikes sent to all relays together in a second.  When many endpoints crash
 * at once, those beyond are not forwarded: a request that crashes endpoints is
 * reported again with the next one. */
#define STRIKES_PER_S 200000

/* Least time between two commands that keep them: each is a few kB, and a sync
 * of every member's disk. */
#define KEEP_INTERVAL_MS 1000

static void
on_changed (uint64_t key, enum blame_change change, uint32_t endpoints,
	    void *ctx)
{
	(void)ctx;
	log_event (LOG_LV_INFO, "blame",
		   "change=%s kind=%s key=%016" G_GINT64_MODIFIER
		   "x endpoints=%u",
		   blame_change_name (change), blame_key_kind (key), key,
		   endpoints);
}

void
group_blame_init (struct group *g)
{
	static const struct blame_ops ops = {.changed = on_changed};

	blame_init (&g->blame, 0, &ops, g);
}

void
group_blame_finish (struct group *g)
{
	blame_finish (&g->blame);
}

/* Drops the strikes that are beyond the limit. */
static void
limit_strikes (struct group *g, GArray *list, uint32_t relays, uint64_t now_ms)
{
	if (now_ms >= g->blame_budget_ms + 1000) {
		g->blame_budget_ms = now_ms;
		g->blame_forwarded = 0;
	}
	for (guint i = list->len; i > 0; i--) {
		if (g_array_index (list, struct blame_record, i - 1).what !=
		    BLAME_STRIKE)
			continue;
		if (g->blame_forwarded + relays > STRIKES_PER_S)
			g_array_remove_index (list, i - 1);
		else
			g->blame_forwarded += relays;
	}
}

/* Answers a relay that asks for the trial of a barred key. */
static void
grant_trials (struct group *g, struct link *to, const struct gmsg_blame *m)
{
	for (uint32_t i = 0; i < m->records.count; i++) {
		const struct blame_record *wanted =
			&((const struct blame_record *)m->records.items)[i];
		struct blame_record answer;
		struct gmsg_blame out = {{&answer, 1}};

		if (wanted->what == BLAME_WANTED && group_may_act (g) &&
		    blame_grant (&g->blame, wanted, &answer, tmr_now_ms ()))
			link_send (to, FRAME_GROUP_BLAME, gmsg_blame_fields,
				   &out);
	}
}

/* Sends the records to all relays but the one on @except. */
static void
forward (struct group *g, const GArray *list, const struct link *except)
{
	for (guint at = 0; at < list->len; at += BLAME_RECORDS_MAX) {
		struct gmsg_blame m = {
			{&g_array_index (list, struct blame_record, at),
			 MIN (list->len - at, BLAME_RECORDS_MAX)}};
		msgpack_sbuffer packed;

		msgpack_sbuffer_init (&packed);
		msg_pack (gmsg_blame_fields, &m, &packed);
		for (guint i = 0; i < g->accepted->len; i++) {
			struct accepted_link *a =
				g_ptr_array_index (g->accepted, i);

			if (a->is_relay && a->link != except)
				link_send_raw (a->link, FRAME_GROUP_BLAME,
					       packed.data, packed.size);
		}
		msgpack_sbuffer_destroy (&packed);
	}
}

void
group_blame_receive (struct group *g, struct link *from,
		     const struct gmsg_blame *m, uint64_t now_ms)
{
	GArray *fresh =
		g_array_new (FALSE, FALSE, sizeof (struct blame_record));

	blame_merge (&g->blame, m->records.items, m->records.count, fresh,
		     now_ms);
	limit_strikes (g, fresh, g->accepted->len, now_ms);
	forward (g, fresh, from);
	g_array_free (fresh, TRUE);
	grant_trials (g, from, m);
}

void
group_blame_send_all (struct group *g, struct link *l, uint64_t now_ms)
{
	GArray *all = g_array_new (FALSE, FALSE, sizeof (struct blame_record));

	blame_export (&g->blame, all, now_ms);
	for (guint i = 0; i < all->len; i += BLAME_RECORDS_MAX) {
		struct gmsg_blame m = {
			{&g_array_index (all, struct blame_record, i),
			 MIN (all->len - i, BLAME_RECORDS_MAX)}};

		link_send (l, FRAME_GROUP_BLAME, gmsg_blame_fields, &m);
	}
	g_array_free (all, TRUE);
}

/* Ages and times are left out: they differ while nothing has happened. */
static uint64_t
digest (const GArray *list)
{
	uint64_t h = list->len;

	for (guint i = 0; i < list->len; i++) {
		const struct blame_record *r =
			&g_array_index (list, struct blame_record, i);
		uint64_t fields[] = {r->key, r->what, r->ep_hash, r->origin,
				     r->trials};

		h = XXH64 (fields, sizeof fields, h);
	}
	return h;
}

/* A wall clock that was set back makes nothing younger. */
void
group_blame_restore (struct group *g, uint64_t now_ms)
{
	uint64_t wall_ms = tmr_wall_ms ();
	uint64_t older_ms = wall_ms - MIN (g->state.blamed_wall_ms, wall_ms);
	GArray *restored;

	if (!g->blame_restore_due)
		return;
	g->blame_restore_due = false;
	restored = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	blame_restore (&g->blame, (struct blame_record *)g->state.blamed->data,
		       g->state.blamed->len, older_ms, restored, now_ms);
	if (restored->len > 0)
		log_event (LOG_LV_INFO, "blame-restore",
			   "records=%u barred=%u older_ms=%" G_GUINT64_FORMAT,
			   restored->len, g->blame.barred, older_ms);
	forward (g, restored, NULL);
	g_array_free (restored, TRUE);
}

void
group_blame_tick (struct group *g, uint64_t now_ms)
{
	GArray *kept;
	struct gstate_blame cmd = {.wall_ms = tmr_wall_ms ()};
	msgpack_sbuffer buf;
	uint64_t index;

	blame_tick (&g->blame, now_ms);
	if (!group_is_leader (g) || g->raft.commit < g->raft.term_start ||
	    now_ms < g->blame_kept_ms + KEEP_INTERVAL_MS)
		return;
	g->blame_kept_ms = now_ms;
	kept = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	blame_export_kept (&g->blame, kept, now_ms);
	if (digest (kept) != digest (g->state.blamed)) {
		cmd.records.items = kept->data;
		cmd.records.count = kept->len;
		msgpack_sbuffer_init (&buf);
		gstate_encode (GSTATE_BLAME, &cmd, &buf);
		if (raft_propose (&g->raft, buf.data, buf.size, &index, NULL))
			group_schedule_flush (g);
		log_event (LOG_LV_INFO, "blame-keep", "records=%u bytes=%zu",
			   kept->len, buf.size);
		msgpack_sbuffer_destroy (&buf);
	}
	g_array_free (kept, TRUE);
}
