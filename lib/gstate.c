/*
 * State that the members of a group replicate for relays.
 */
#include <string.h>

#include "gstate.h"

const struct msg_field gstate_plan_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_plan, version),
	MSG_FIELD_BYTES (2, struct gstate_plan, text, GSTATE_PLAN_MAX_BYTES),
	MSG_FIELD_END,
};

const struct msg_field gstate_drain_fields[] = {
	MSG_FIELD_LONG (1, 3, MSG_STR, struct gstate_drain, domain),
	MSG_FIELD (2, MSG_BOOL, struct gstate_drain, drained),
	MSG_FIELD_END,
};

const struct msg_field gstate_count_fields[] = {
	MSG_FIELD_LONG (1, 3, MSG_NAME, struct gstate_count, account),
	MSG_FIELD (2, MSG_U64, struct gstate_count, requests),
	MSG_FIELD_END,
};

const struct msg_field gstate_window_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_window, number),
	MSG_FIELD_LIST (2, struct gstate_window, counts, struct gstate_count,
			gstate_count_fields, GSTATE_ACCOUNTS_MAX),
	MSG_FIELD_END,
};

const struct msg_field gstate_blame_fields[] = {
	MSG_FIELD (1, MSG_U64, struct gstate_blame, wall_ms),
	MSG_FIELD_LIST (2, struct gstate_blame, records, struct blame_record,
			blame_record_fields, BLAME_KEPT_RECORDS_MAX),
	MSG_FIELD_END,
};

/* The whole state as a snapshot stores it. */
struct snapshot {
	uint64_t version;
	struct msg_bytes text;
	struct msg_list domains; /* of struct gstate_drain */
	uint64_t drain_index;
	uint64_t sealed;
	struct msg_list windows;
	struct msg_list rollouts;
	uint64_t rollout_index;
	struct msg_list blamed;
	uint64_t blamed_wall_ms;
};

static const struct msg_field snapshot_fields[] = {
	MSG_FIELD (1, MSG_U64, struct snapshot, version),
	MSG_FIELD_BYTES (2, struct snapshot, text, GSTATE_PLAN_MAX_BYTES),
	MSG_FIELD_LIST (3, struct snapshot, domains, struct gstate_drain,
			gstate_drain_fields, GSTATE_DOMAINS_MAX),
	MSG_FIELD (4, MSG_U64, struct snapshot, drain_index),
	MSG_FIELD (5, MSG_U64, struct snapshot, sealed),
	MSG_FIELD_LIST (6, struct snapshot, windows, struct gstate_window,
			gstate_window_fields, GSTATE_WINDOWS_KEPT),
	MSG_FIELD_LIST (7, struct snapshot, rollouts, struct rollout,
			rollout_fields, ROLLOUTS_MAX),
	MSG_FIELD (8, MSG_U64, struct snapshot, rollout_index),
	MSG_FIELD_LIST (9, struct snapshot, blamed, struct blame_record,
			blame_record_fields, BLAME_KEPT_RECORDS_MAX),
	MSG_FIELD (10, MSG_U64, struct snapshot, blamed_wall_ms),
	MSG_FIELD_END,
};

static void
window_free (void *data)
{
	struct gstate_window *w = data;
	const struct gstate_count *c = w->counts.items;

	for (uint32_t i = 0; i < w->counts.count; i++)
		g_ref_string_release ((char *)c[i].account);
	g_free (w->counts.items);
	g_free (w);
}

void
gstate_init (struct gstate *s)
{
	*s = (struct gstate){0};
	s->drained = g_ptr_array_new_with_free_func (g_free);
	s->windows = g_ptr_array_new_with_free_func (window_free);
	s->rollouts = g_array_new (FALSE, TRUE, sizeof (struct rollout));
	s->blamed = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
}

void
gstate_finish (struct gstate *s)
{
	if (s->text != NULL)
		g_bytes_unref (s->text);
	g_ptr_array_free (s->drained, TRUE);
	g_ptr_array_free (s->windows, TRUE);
	g_array_free (s->rollouts, TRUE);
	g_array_free (s->blamed, TRUE);
	*s = (struct gstate){0};
}

bool
gstate_has_counts (const struct gstate *s)
{
	for (guint i = 0; i < s->windows->len; i++) {
		const struct gstate_window *w =
			g_ptr_array_index (s->windows, i);

		if (w->counts.count > 0)
			return true;
	}
	return false;
}

bool
gstate_is_drained (const struct gstate *s, const char *domain)
{
	for (guint i = 0; i < s->drained->len; i++) {
		if (strcmp (g_ptr_array_index (s->drained, i), domain) == 0)
			return true;
	}
	return false;
}

static void
replace_plan (struct gstate *s, uint64_t version, const struct msg_bytes *text)
{
	if (s->text != NULL)
		g_bytes_unref (s->text);
	s->text = g_bytes_new (text->data, text->len);
	s->version = version;
}

static void
apply_drain (struct gstate *s, const struct gstate_drain *d)
{
	for (guint i = 0; i < s->drained->len; i++) {
		if (strcmp (g_ptr_array_index (s->drained, i), d->domain) != 0)
			continue;
		if (!d->drained)
			g_ptr_array_remove_index (s->drained, i);
		return;
	}
	if (d->drained && s->drained->len < GSTATE_DOMAINS_MAX)
		g_ptr_array_add (s->drained, g_strdup (d->domain));
}

static void
seal_window (struct gstate *s, const struct gstate_window *w)
{
	struct gstate_window *copy;
	struct gstate_count *c;

	if (w->number <= s->sealed_window)
		return;
	copy = g_new0 (struct gstate_window, 1);
	copy->number = w->number;
	copy->counts.count = w->counts.count;
	copy->counts.items =
		g_memdup2 (w->counts.items,
			   w->counts.count * sizeof (struct gstate_count));
	c = copy->counts.items;
	for (uint32_t i = 0; i < w->counts.count; i++)
		c[i].account = g_ref_string_new_intern (c[i].account);
	g_ptr_array_add (s->windows, copy);
	s->sealed_window = w->number;
	if (s->windows->len > GSTATE_WINDOWS_KEPT)
		g_ptr_array_remove_index (s->windows, 0);
}

static void
replace_blamed (struct gstate *s, const struct msg_list *records,
		uint64_t wall_ms)
{
	g_array_set_size (s->blamed, 0);
	if (records->count > 0)
		g_array_append_vals (s->blamed, records->items, records->count);
	s->blamed_wall_ms = wall_ms;
}

bool
gstate_apply (struct gstate *s, uint64_t index, const uint8_t *data, size_t len,
	      struct err *e)
{
	union {
		struct gstate_plan plan;
		struct gstate_drain drain;
		struct gstate_window window;
		struct gstate_blame blame;
	} u;
	msgpack_zone zone;
	bool ok = false;

	if (len == 0)
		return err_set (e, ERR_PROTOCOL,
				"command %" G_GUINT64_FORMAT " is empty",
				index);
	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	switch ((enum gstate_kind)data[0]) {
	case GSTATE_PLAN:
		ok = msg_unpack (gstate_plan_fields, data + 1, len - 1, &u.plan,
				 &zone, e);
		if (ok && u.plan.version > s->version)
			replace_plan (s, u.plan.version, &u.plan.text);
		break;
	case GSTATE_DRAIN:
		ok = msg_unpack (gstate_drain_fields, data + 1, len - 1,
				 &u.drain, &zone, e);
		if (ok) {
			apply_drain (s, &u.drain);
			s->drain_index = index;
		}
		break;
	case GSTATE_WINDOW:
		ok = msg_unpack (gstate_window_fields, data + 1, len - 1,
				 &u.window, &zone, e);
		if (ok)
			seal_window (s, &u.window);
		break;
	case GSTATE_BLAME:
		ok = msg_unpack (gstate_blame_fields, data + 1, len - 1,
				 &u.blame, &zone, e);
		if (ok)
			replace_blamed (s, &u.blame.records, u.blame.wall_ms);
		break;
	case GSTATE_ROLLOUT_START:
	case GSTATE_ROLLOUT_ISSUE:
	case GSTATE_ROLLOUT_STATE:
		ok = gstate_apply_rollout (s, index, data[0], data + 1, len - 1,
					   e);
		break;
	}
	msgpack_zone_destroy (&zone);
	return ok;
}

void
gstate_snapshot (const struct gstate *s, msgpack_sbuffer *out)
{
	struct gstate_drain drains[GSTATE_DOMAINS_MAX] = {0};
	struct gstate_window windows[GSTATE_WINDOWS_KEPT] = {0};
	struct snapshot m = {.version = s->version,
			     .drain_index = s->drain_index,
			     .sealed = s->sealed_window};
	gsize len = 0;

	if (s->text != NULL) {
		m.text.data = g_bytes_get_data (s->text, &len);
		m.text.len = (uint32_t)len;
	}
	for (guint i = 0; i < s->drained->len; i++) {
		g_strlcpy (drains[i].domain, g_ptr_array_index (s->drained, i),
			   sizeof drains[i].domain);
		drains[i].drained = true;
	}
	for (guint i = 0; i < s->windows->len; i++)
		windows[i] = *(struct gstate_window *)g_ptr_array_index (
			s->windows, i);
	m.domains.items = drains;
	m.domains.count = s->drained->len;
	m.windows.items = windows;
	m.windows.count = s->windows->len;
	m.rollouts.items = s->rollouts->data;
	m.rollouts.count = s->rollouts->len;
	m.rollout_index = s->rollout_index;
	m.blamed.items = s->blamed->data;
	m.blamed.count = s->blamed->len;
	m.blamed_wall_ms = s->blamed_wall_ms;
	msg_pack (snapshot_fields, &m, out);
}

bool
gstate_restore (struct gstate *s, const void *data, size_t len, struct err *e)
{
	const struct gstate_drain *drains;
	const struct gstate_window *windows;
	struct snapshot m;
	msgpack_zone zone;
	bool ok;

	msgpack_zone_init (&zone, MSGPACK_ZONE_CHUNK_SIZE);
	ok = msg_unpack (snapshot_fields, data, len, &m, &zone, e);
	if (ok) {
		gstate_finish (s);
		gstate_init (s);
		if (m.version > 0)
			replace_plan (s, m.version, &m.text);
		drains = m.domains.items;
		for (uint32_t i = 0; i < m.domains.count; i++)
			apply_drain (s, &drains[i]);
		windows = m.windows.items;
		for (uint32_t i = 0; i < m.windows.count; i++)
			seal_window (s, &windows[i]);
		s->drain_index = m.drain_index;
		s->sealed_window = m.sealed;
		if (m.rollouts.count > 0)
			g_array_append_vals (s->rollouts, m.rollouts.items,
					     m.rollouts.count);
		s->rollout_index = m.rollout_index;
		replace_blamed (s, &m.blamed, m.blamed_wall_ms);
	} else if (e != NULL) {
		e->kind = ERR_CORRUPT;
	}
	msgpack_zone_destroy (&zone);
	return ok;
}

void
gstate_mark_reported (struct gstate_reported *t, uint64_t number)
{
	t->numbers[t->next] = number;
	t->next = (t->next + 1) % G_N_ELEMENTS (t->numbers);
}

static bool
is_reported (const struct gstate_reported *t, uint64_t number)
{
	for (uint32_t i = 0; i < G_N_ELEMENTS (t->numbers); i++) {
		if (t->numbers[i] == number)
			return true;
	}
	return false;
}

const struct gstate_window *
gstate_next_report (const struct gstate *s, const struct gstate_reported *t,
		    uint64_t wall_ms, uint64_t window_ms, uint64_t late_ms)
{
	for (guint i = s->windows->len; i > 0; i--) {
		const struct gstate_window *w =
			g_ptr_array_index (s->windows, i - 1);

		if (w->counts.count > 0 && !is_reported (t, w->number) &&
		    wall_ms < (w->number + 1) * window_ms + late_ms)
			return w;
	}
	return NULL;
}

void
gstate_encode (enum gstate_kind kind, const void *cmd, msgpack_sbuffer *out)
{
	const struct msg_field *fields = NULL;
	char kind_byte = (char)kind;

	switch (kind) {
	case GSTATE_PLAN:
		fields = gstate_plan_fields;
		break;
	case GSTATE_DRAIN:
		fields = gstate_drain_fields;
		break;
	case GSTATE_WINDOW:
		fields = gstate_window_fields;
		break;
	case GSTATE_ROLLOUT_START:
		fields = gstate_rollout_start_fields;
		break;
	case GSTATE_ROLLOUT_ISSUE:
		fields = gstate_rollout_issue_fields;
		break;
	case GSTATE_ROLLOUT_STATE:
		fields = gstate_rollout_state_fields;
		break;
	case GSTATE_BLAME:
		fields = gstate_blame_fields;
		break;
	}
	msgpack_sbuffer_write (out, &kind_byte, 1);
	msg_pack (fields, cmd, out);
}
