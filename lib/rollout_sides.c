/*
 * A relay's part in rollouts: the side of each endpoint.
 */
#include <string.h>

#include "rollout_share.h"

/* Percentage of the requests that the target version gets while a rollout runs,
 * with the usual exposure_share of 0.1 and what the leader keeps back of it.
 * So many new endpoints, as a share of the old ones, see the load of an old
 * one. */
#define FOCUS_PERCENT 8

/* Old endpoints of the relay's domain from which on their share is about one.
 */
#define FOCUS_NEAR_MIN 10

#define KEY_BYTES (FLEET_NAME_BYTES + FLEET_VERSION_BYTES)

static void
version_key (const char *service, const char *version, char *key)
{
	g_snprintf (key, KEY_BYTES, "%s\n%s", service, version);
}

static struct share_version *
version_find (const struct rollout_share *s, const char *service,
	      const char *version)
{
	char key[KEY_BYTES];

	version_key (service, version, key);
	return g_hash_table_lookup (s->versions, key);
}

static struct share_version *
version_get (struct rollout_share *s, const struct fleet_info *info,
	     uint64_t now_ms)
{
	struct share_version *v =
		version_find (s, info->service, info->version);
	char key[KEY_BYTES];

	if (v != NULL)
		return v;
	v = g_new0 (struct share_version, 1);
	g_strlcpy (v->service, info->service, sizeof v->service);
	g_strlcpy (v->version, info->version, sizeof v->version);
	v->index = s->list_index;
	v->seen_ms = now_ms;
	version_key (info->service, info->version, key);
	g_hash_table_insert (s->versions, g_strdup (key), v);
	return v;
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer ctx)
{
	(void)key;
	(void)ctx;
	return !((struct share_version *)value)->listed;
}

/* Updates the versions that are listed, and forgets the others. */
static void
collect_versions (struct rollout_share *s, const struct fleet *f,
		  uint64_t now_ms)
{
	struct share_version *v;
	GHashTableIter iter;

	g_hash_table_iter_init (&iter, s->versions);
	while (g_hash_table_iter_next (&iter, NULL, (void **)&v)) {
		v->listed = false;
		v->first_start_ms = 0;
		v->count = 0;
	}
	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		uint64_t start_ms = ep->info.started_ms;

		if (!ep->listed)
			continue;
		v = version_get (s, &ep->info, now_ms);
		v->listed = true;
		v->count++;
		if (v->first_start_ms == 0 ||
		    (start_ms != 0 && start_ms < v->first_start_ms))
			v->first_start_ms = start_ms;
	}
	g_hash_table_foreach_remove (s->versions, is_unlisted, NULL);
}

/* Notes of which versions are targets, and which are older than these. */
static void
note_targets (struct rollout_share *s)
{
	struct share_version *v;
	GHashTableIter iter;

	g_hash_table_iter_init (&iter, s->versions);
	while (g_hash_table_iter_next (&iter, NULL, (void **)&v)) {
		struct share_rollout *r = rollout_share_find (s, v->service);

		if (r == NULL)
			continue;
		if (rollout_share_is_target (r, v->version)) {
			v->cleared = r->msg.state == ROLLOUT_SUCCEEDED;
			v->barred = !v->cleared;
		} else if (!rollout_is_over (r->msg.state)) {
			g_hash_table_add (r->older, g_strdup (v->version));
		}
	}
}

/* Whether @v is more likely than @w to be the version that was there first. */
static bool
is_older (const struct share_version *v, const struct share_version *w)
{
	if (v->first_start_ms != w->first_start_ms)
		return v->first_start_ms < w->first_start_ms;
	if (v->count != w->count)
		return v->count > w->count;
	return strcmp (v->version, w->version) < 0;
}

/* The first version of a service that is known is no new one. */
static void
clear_first (struct rollout_share *s, const char *service)
{
	struct share_version *v, *first = NULL;
	GHashTableIter iter;

	g_hash_table_iter_init (&iter, s->versions);
	while (g_hash_table_iter_next (&iter, NULL, (void **)&v)) {
		if (v->barred || strcmp (v->service, service) != 0)
			continue;
		if (v->cleared)
			return;
		if (first == NULL || is_older (v, first))
			first = v;
	}
	if (first != NULL)
		first->cleared = true;
}

static void
clear_first_of_all (struct rollout_share *s, const struct fleet *f)
{
	for (guint i = 0; i < f->pools->len; i++) {
		const struct fleet_pool *p = g_ptr_array_index (f->pools, i);

		clear_first (s, p->service);
	}
}

/* Whether a rollout that succeeded replaced the version.  A relay that started
 * since then goes by the times of their starts. */
static bool
is_replaced (const struct rollout_share *s, const struct share_rollout *r,
	     const struct share_version *v)
{
	const struct share_version *target =
		version_find (s, v->service, r->msg.target);

	return g_hash_table_contains (r->older, v->version) ||
	       (target != NULL && v->first_start_ms != 0 &&
		v->first_start_ms < target->first_start_ms);
}

static enum fleet_side
version_side (const struct rollout_share *s, const struct share_version *v)
{
	const struct share_rollout *r = rollout_share_find (s, v->service);

	if (rollout_share_is_target (r, v->version) &&
	    !rollout_is_over (r->msg.state))
		return FLEET_TARGET;
	if (v->barred)
		return FLEET_BARRED;
	if (r != NULL && r->msg.state == ROLLOUT_SUCCEEDED &&
	    !rollout_share_is_target (r, v->version) && is_replaced (s, r, v))
		return FLEET_RETIRING;
	return v->cleared ? FLEET_MAIN : FLEET_HELD;
}

/* The same version may be released again, without a rollout, once it was gone.
 */
static void
forget_replaced (struct rollout_share *s, struct share_rollout *r)
{
	const char *version;
	GHashTableIter iter;

	if (r->msg.state != ROLLOUT_SUCCEEDED)
		return;
	g_hash_table_iter_init (&iter, r->older);
	while (g_hash_table_iter_next (&iter, (void **)&version, NULL)) {
		if (version_find (s, r->msg.service, version) == NULL)
			g_hash_table_iter_remove (&iter);
	}
}

/* Requests within a domain are faster.  So a relay uses new endpoints of its
 * own domain, where that has enough old ones that the new ones see their load.
 */
static void
set_focus (const struct rollout_share *s, const struct fleet *f,
	   struct share_rollout *r)
{
	uint32_t old = 0, near = 0;

	for (guint i = 0; i < f->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (f->eps, i);

		if (!ep->listed || ep->side != FLEET_MAIN ||
		    strcmp (ep->info.service, r->msg.service) != 0)
			continue;
		old++;
		near += strcmp (ep->info.domain, s->domain) == 0;
	}
	r->focus_near = near >= FOCUS_NEAR_MIN;
	if (r->focus_near)
		old = near;
	r->focus = MAX ((FOCUS_PERCENT * old + 99) / 100, 1);
}

bool
rollout_share_assign (struct rollout_share *s, struct fleet *f, uint64_t now_ms)
{
	bool changed = false;

	if (!s->enabled)
		return false;
	collect_versions (s, f, now_ms);
	note_targets (s);
	clear_first_of_all (s, f);
	for (guint i = 0; i < s->rollouts->len; i++)
		forget_replaced (s, g_ptr_array_index (s->rollouts, i));
	for (guint i = 0; i < f->eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f->eps, i);
		const struct share_version *v =
			version_find (s, ep->info.service, ep->info.version);
		enum fleet_side side = ep->side;

		if (v != NULL)
			side = version_side (s, v);
		changed = changed || side != ep->side;
		ep->side = side;
	}
	for (guint i = 0; i < s->rollouts->len; i++) {
		struct share_rollout *r = g_ptr_array_index (s->rollouts, i);

		if (r->msg.state == ROLLOUT_RUNNING)
			set_focus (s, f, r);
	}
	return changed;
}
