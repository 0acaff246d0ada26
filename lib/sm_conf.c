/*
 * Configuration in the replicated state machine: changes against a base
 * revision, the memory of change ids, the history that deltas are cut from,
 * and keys that were withdrawn for good.
 */
#include <string.h>

#include "sm_int.h"

static void
step_free (gpointer data)
{
	struct sm_step *s = data;
	struct inv_change *c = s->changes.items;

	for (uint32_t i = 0; i < s->changes.count; i++)
		g_free ((gpointer)c[i].json.data);
	g_free (c);
	g_free (s);
}

static gint
str_cmp (gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp (a, b);
}

void
sm_conf_init (struct sm *sm)
{
	inv_doc_init (&sm->doc);
	g_queue_init (&sm->changes);
	sm->change_by_id = g_hash_table_new (g_str_hash, g_str_equal);
	g_queue_init (&sm->history);
	sm->withdrawn = g_tree_new_full (str_cmp, NULL, NULL, g_free);
}

void
sm_conf_finish (struct sm *sm)
{
	g_tree_destroy (sm->withdrawn);
	g_queue_clear_full (&sm->history, step_free);
	g_hash_table_destroy (sm->change_by_id);
	g_queue_clear_full (&sm->changes, g_free);
	inv_doc_finish (&sm->doc);
}

/*
 * Forgetting the oldest answer is safe: a resend that old names a base
 * revision that has long passed, and gets a conflict.
 */
void
sm_conf_remember (struct sm *sm, const void *change)
{
	struct sm_change *own = g_memdup2 (change, sizeof *own);

	g_queue_push_tail (&sm->changes, own);
	g_hash_table_insert (sm->change_by_id, own->id, own);
	while (g_queue_get_length (&sm->changes) > SM_CHANGES_KEPT) {
		struct sm_change *old = g_queue_pop_head (&sm->changes);

		g_hash_table_remove (sm->change_by_id, old->id);
		g_free (old);
	}
}

void
sm_conf_history_add (struct sm *sm, uint64_t revision,
		     const struct msg_list *changes)
{
	struct sm_step *s = g_new0 (struct sm_step, 1);
	const struct inv_change *from = changes->items;
	struct inv_change *to = g_new0 (struct inv_change, changes->count);

	s->revision = revision;
	s->changes.items = to;
	s->changes.count = changes->count;
	for (uint32_t i = 0; i < changes->count; i++) {
		to[i] = from[i];
		to[i].json.data = NULL;
		if (from[i].json.len > 0)
			to[i].json.data =
				g_memdup2 (from[i].json.data, from[i].json.len);
		s->bytes += sizeof to[i] + from[i].json.len;
	}
	g_queue_push_tail (&sm->history, s);
	sm->history_bytes += s->bytes;
	while (g_queue_get_length (&sm->history) > SM_HISTORY_KEPT ||
	       sm->history_bytes > SM_HISTORY_BYTES) {
		struct sm_step *old = g_queue_pop_head (&sm->history);

		sm->history_bytes -= old->bytes;
		step_free (old);
	}
}

void
sm_conf_put_step (struct sm *sm, const void *step)
{
	const struct sm_step *s = step;

	sm_conf_history_add (sm, s->revision, &s->changes);
}

void
sm_conf_put_withdrawal (struct sm *sm, const void *withdrawal)
{
	struct sm_withdrawal *own = g_memdup2 (withdrawal, sizeof *own);

	g_tree_insert (sm->withdrawn, own->id, own);
}

/* The first withdrawn key that @delta would grant again, or NULL. */
static const char *
granted_again (const struct sm *sm, const struct inv_delta *delta)
{
	const struct inv_change *c = delta->changes.items;

	for (uint32_t i = 0; i < delta->changes.count; i++) {
		if (c[i].section == INV_KEYS && c[i].json.len > 0 &&
		    g_tree_lookup (sm->withdrawn, c[i].name) != NULL)
			return c[i].name;
	}
	return NULL;
}

/* Replace the document by one that @delta was applied to, if it is valid. */
static bool
doc_change (struct sm *sm, const struct inv_delta *delta, struct err *e)
{
	struct inv_doc next;
	struct inv inv;

	inv_doc_copy (&next, &sm->doc);
	if (!inv_doc_apply (&next, delta, e) ||
	    !inv_build (&inv, &next, sm->revision + 1, NULL, e)) {
		inv_doc_finish (&next);
		return false;
	}
	inv_finish (&inv);
	inv_doc_finish (&sm->doc);
	sm->doc = next;
	sm->revision++;
	sm_conf_history_add (sm, sm->revision, &delta->changes);
	return true;
}

static void
change_first (struct sm *sm, const struct sm_config *c, struct sm_reply *r)
{
	const char *key = granted_again (sm, &c->delta);
	struct err e = {.kind = ERR_NONE};

	if (c->base_revision != sm->revision)
		sm_refuse (r, ERR_CONFLICT,
			   "base revision %lu: the current one is %lu",
			   (unsigned long)c->base_revision,
			   (unsigned long)sm->revision);
	else if (key != NULL)
		sm_refuse (r, ERR_FORBIDDEN,
			   "key %s: was withdrawn, grant another id", key);
	else if (!doc_change (sm, &c->delta, &e))
		sm_refuse (r, e.kind, "%s", e.msg);
	r->revision = sm->revision;
}

void
sm_conf_apply (struct sm *sm, const struct sm_config *c, struct sm_reply *r)
{
	const struct sm_change *seen;
	struct sm_change first;

	if (c->change_id[0] == '\0') {
		sm_refuse (r, ERR_BAD_REQUEST, "change without an id");
		return;
	}
	seen = g_hash_table_lookup (sm->change_by_id, c->change_id);
	if (seen != NULL) {
		if (seen->kind != ERR_NONE)
			sm_refuse (r, seen->kind, "%s", seen->why);
		r->revision = seen->revision;
		return;
	}
	change_first (sm, c, r);
	memset (&first, 0, sizeof first);
	g_strlcpy (first.id, c->change_id, sizeof first.id);
	first.kind = (uint8_t)r->kind;
	first.revision = r->revision;
	g_strlcpy (first.why, r->why, sizeof first.why);
	sm_conf_remember (sm, &first);
}

/*
 * A withdrawal needs no base revision: it holds whatever else changes, and no
 * later change can grant the id again.
 */
void
sm_conf_withdraw (struct sm *sm, const struct sm_withdraw *w,
		  struct sm_reply *r)
{
	struct inv_change gone = {.section = INV_KEYS};
	struct inv_delta delta = {{.items = &gone, .count = 1}};
	struct sm_withdrawal rec;
	struct err e = {.kind = ERR_NONE};

	if (w->key_id[0] == '\0') {
		sm_refuse (r, ERR_BAD_REQUEST, "withdrawal without a key id");
		return;
	}
	if (g_tree_lookup (sm->withdrawn, w->key_id) == NULL) {
		memset (&rec, 0, sizeof rec);
		g_strlcpy (rec.id, w->key_id, sizeof rec.id);
		rec.wall_ms = w->wall_ms;
		sm_conf_put_withdrawal (sm, &rec);
	}
	g_strlcpy (gone.name, w->key_id, sizeof gone.name);
	if (g_tree_lookup (sm->doc.objects[INV_KEYS], w->key_id) != NULL &&
	    !doc_change (sm, &delta, &e))
		sm_refuse (r, ERR_INTERNAL, "key %s: %s", w->key_id, e.msg);
	r->revision = sm->revision;
}

bool
sm_delta_since (const struct sm *sm, uint64_t revision, GArray *changes)
{
	const struct sm_step *oldest =
		sm->history.head == NULL ? NULL : sm->history.head->data;

	if (revision == sm->revision)
		return true;
	if (revision > sm->revision || oldest == NULL ||
	    oldest->revision > revision + 1)
		return false;
	/* Later steps follow earlier ones, so the last word on a name wins. */
	for (const GList *l = sm->history.head; l != NULL; l = l->next) {
		const struct sm_step *s = l->data;

		if (s->revision > revision)
			g_array_append_vals (changes, s->changes.items,
					     s->changes.count);
	}
	return true;
}

bool
sm_withdrawn (const struct sm *sm, const char *key_id)
{
	return g_tree_lookup (sm->withdrawn, key_id) != NULL;
}

static gboolean
list_one (gpointer key, gpointer value, gpointer data)
{
	(void)value;
	g_ptr_array_add (data, key);
	return FALSE;
}

void
sm_withdrawn_list (const struct sm *sm, GPtrArray *out)
{
	g_tree_foreach (sm->withdrawn, list_one, out);
}
