/*
 * A relay's part in rollouts: sides of endpoints, and the use of the grant.
 */
#include <string.h>

#include "rollout_share.h"

/* A member that isn't the leader may lag behind it.  Its messages release a
 * held version only this long after that was listed first; the platform takes
 * longer to start endpoints after a rollout began. */
#define FOLLOWER_LAG_MS 1000

/* Percentage of the requests that the target version gets while a rollout runs,
 * with the usual exposure_share of 0.1 and what the leader keeps back of it.
 * So many new endpoints, as a share of the old ones, see the load of an old
 * one. */
#define FOCUS_PERCENT 8

/* A route may have so many more requests at the target version than another
 * one that had requests within ROUTE_ACTIVE_MS, or any number once the grant
 * was left unused for GRANT_IDLE_MS. */
#define ROUTE_LEAD 2
#define ROUTE_ACTIVE_MS 1000
#define GRANT_IDLE_MS 10

#define KEY_BYTES (FLEET_NAME_BYTES + FLEET_VERSION_BYTES)

/* What is known of a version of a service that is listed. */
struct share_version {
	char service[FLEET_NAME_BYTES];
	char version[FLEET_VERSION_BYTES];
	bool cleared; /* no rollout concerns it */
	bool barred;  /* it is, or was, the target of one that didn't succeed */
	bool listed;
	uint64_t index;          /* rollout_share.list_index when it appeared */
	uint64_t seen_ms;        /* when it appeared */
	uint64_t first_start_ms; /* of its endpoints; 0: not stated */
	uint32_t count;          /* its endpoints */
};

/* A route whose requests are sent to the service. */
struct share_route {
	uint64_t route;
	uint64_t sent_new;
	uint64_t asked_ms;
};

static void
rollout_free (void *data)
{
	struct share_rollout *r = data;

	g_array_free (r->routes, TRUE);
	g_ptr_array_free (r->evidence, TRUE);
	g_hash_table_destroy (r->older);
	g_free (r);
}

void
rollout_share_init (struct rollout_share *s)
{
	*s = (struct rollout_share){0};
	s->rollouts = g_ptr_array_new_with_free_func (rollout_free);
	s->versions =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
rollout_share_finish (struct rollout_share *s)
{
	g_ptr_array_free (s->rollouts, TRUE);
	g_hash_table_destroy (s->versions);
}

struct share_rollout *
rollout_share_find (const struct rollout_share *s, const char *service)
{
	for (guint i = 0; i < s->rollouts->len; i++) {
		struct share_rollout *r = g_ptr_array_index (s->rollouts, i);

		if (strcmp (r->msg.service, service) == 0)
			return r;
	}
	return NULL;
}

static bool
is_target (const struct share_rollout *r, const char *version)
{
	return r != NULL && strcmp (r->msg.target, version) == 0;
}

static bool
is_expired (const struct rollout_share *s, uint64_t now_ms)
{
	return now_ms >= s->heard_ms + ROLLOUT_GRANT_VALID_MS;
}

static struct share_rollout *
rollout_new (const struct gmsg_rollout *m)
{
	struct share_rollout *r = g_new0 (struct share_rollout, 1);

	r->msg = *m;
	r->focus = 1;
	r->routes = g_array_new (FALSE, FALSE, sizeof (struct share_route));
	r->evidence = g_ptr_array_new_with_free_func (g_free);
	r->older =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	return r;
}

/* Returns whether the message changes sides. */
static bool
receive_one (struct rollout_share *s, const struct gmsg_rollouts *all,
	     const struct gmsg_rollout *m)
{
	struct share_rollout *r = rollout_share_find (s, m->service);
	uint64_t grant = all->is_leader ? m->grant : 0;

	if (r == NULL || m->id > r->msg.id) {
		if (r != NULL)
			g_ptr_array_remove (s->rollouts, r);
		r = rollout_new (m);
		r->msg.grant = grant;
		g_ptr_array_add (s->rollouts, r);
		s->urgent = true;
		return true;
	}
	if (m->id < r->msg.id)
		return false;
	r->msg.grant = MAX (r->msg.grant, grant);
	if (m->state <= r->msg.state || rollout_is_over (r->msg.state))
		return false;
	r->msg.state = m->state;
	s->urgent = true;
	return true;
}

/* Releases the versions that appeared before the message and that no rollout
 * concerns.  Returns whether there were any. */
static bool
clear_versions (struct rollout_share *s, const struct gmsg_rollouts *m,
		uint64_t now_ms)
{
	struct share_version *v;
	GHashTableIter iter;
	bool any = false;

	g_hash_table_iter_init (&iter, s->versions);
	while (g_hash_table_iter_next (&iter, NULL, (void **)&v)) {
		if (v->cleared || v->barred || m->index < v->index ||
		    (!m->is_leader && now_ms < v->seen_ms + FOLLOWER_LAG_MS) ||
		    is_target (rollout_share_find (s, v->service), v->version))
			continue;
		v->cleared = any = true;
	}
	return any;
}

bool
rollout_share_receive (struct rollout_share *s, const struct gmsg_rollouts *m,
		       uint64_t now_ms)
{
	const struct gmsg_rollout *list = m->rollouts.items;
	bool changed = !s->enabled;

	if (m->index < s->index)
		return false;
	s->enabled = true;
	s->index = m->index;
	for (uint32_t i = 0; i < m->rollouts.count; i++)
		changed = receive_one (s, m, &list[i]) || changed;
	if (!m->has_leader)
		return changed;
	s->heard_ms = now_ms;
	return clear_versions (s, m, now_ms) || changed;
}

void
rollout_share_set_list (struct rollout_share *s, uint64_t index)
{
	s->list_index = index;
}

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
		if (is_target (r, v->version)) {
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

	if (is_target (r, v->version) && !rollout_is_over (r->msg.state))
		return FLEET_TARGET;
	if (v->barred)
		return FLEET_BARRED;
	if (r != NULL && r->msg.state == ROLLOUT_SUCCEEDED &&
	    !is_target (r, v->version) && is_replaced (s, r, v))
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

static void
set_focus (const struct rollout_share *s, struct share_rollout *r)
{
	struct share_version *v;
	GHashTableIter iter;
	uint32_t old = 0;

	g_hash_table_iter_init (&iter, s->versions);
	while (g_hash_table_iter_next (&iter, NULL, (void **)&v)) {
		if (strcmp (v->service, r->msg.service) == 0 && v->cleared)
			old += v->count;
	}
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
	for (guint i = 0; i < s->rollouts->len; i++) {
		struct share_rollout *r = g_ptr_array_index (s->rollouts, i);

		forget_replaced (s, r);
		set_focus (s, r);
	}
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
	return changed;
}

uint64_t
rollout_share_grant (const struct rollout_share *s,
		     const struct share_rollout *r, uint64_t now_ms)
{
	if (r->msg.state != ROLLOUT_RUNNING || is_expired (s, now_ms) ||
	    r->msg.grant <= r->sent_new)
		return 0;
	return r->msg.grant - r->sent_new;
}

static struct share_route *
route_get (struct share_rollout *r, uint64_t route)
{
	struct share_route x = {.route = route};

	for (guint i = 0; i < r->routes->len; i++) {
		struct share_route *p =
			&g_array_index (r->routes, struct share_route, i);

		if (p->route == route)
			return p;
	}
	g_array_append_val (r->routes, x);
	return &g_array_index (r->routes, struct share_route,
			       r->routes->len - 1);
}

/* Whether the route may use the grant now: routes take turns, so that a fault
 * of one route shows also where most requests are of another. */
static bool
is_turn (struct share_rollout *r, uint64_t route, uint64_t now_ms)
{
	struct share_route *own = route_get (r, route);
	uint64_t least = own->sent_new;

	own->asked_ms = now_ms;
	for (guint i = 0; i < r->routes->len; i++) {
		const struct share_route *p =
			&g_array_index (r->routes, struct share_route, i);

		if (now_ms <= p->asked_ms + ROUTE_ACTIVE_MS)
			least = MIN (least, p->sent_new);
	}
	return own->sent_new <= least + ROUTE_LEAD ||
	       now_ms >= r->used_ms + GRANT_IDLE_MS;
}

/* Whether an endpoint of a side is listed and not leaving. */
static bool
is_present (const struct fleet *f, const char *service, enum fleet_side side)
{
	const struct fleet_pool *p = fleet_pool (f, service, side);

	for (guint i = 0; p != NULL && i < p->eps->len; i++) {
		const struct fleet_ep *ep = g_ptr_array_index (p->eps, i);

		if (ep->listed && !ep->leaving)
			return true;
	}
	return false;
}

static void
add_side (struct share_choice *c, enum fleet_side side)
{
	c->sides[c->count++] = side;
}

static void
choose_running (struct rollout_share *s, struct share_rollout *r,
		const struct share_request *q, struct share_choice *c,
		uint64_t now_ms)
{
	bool granted = rollout_share_grant (s, r, now_ms) > 0 && !q->sent_new;

	c->focus = r->focus;
	if (granted && !q->is_retry && is_turn (r, q->route, now_ms)) {
		add_side (c, FLEET_TARGET);
		c->optional = true;
		granted = false;
	}
	add_side (c, FLEET_MAIN);
	if (granted)
		add_side (c, FLEET_TARGET);
}

struct share_choice
rollout_share_choose (struct rollout_share *s, const struct fleet *f,
		      const struct share_request *q, uint64_t now_ms)
{
	struct share_rollout *r = rollout_share_find (s, q->service);
	enum rollout_state state = r != NULL ? r->msg.state : ROLLOUT_NONE;
	struct share_choice c = {.count = 0};

	if (!s->enabled) {
		add_side (&c, FLEET_MAIN);
		return c;
	}
	if (state == ROLLOUT_RUNNING)
		choose_running (s, r, q, &c, now_ms);
	else if (state == ROLLOUT_SHIFTING)
		add_side (&c, FLEET_TARGET);
	if (state != ROLLOUT_RUNNING)
		add_side (&c, FLEET_MAIN);
	if (state == ROLLOUT_SUCCEEDED)
		add_side (&c, FLEET_RETIRING);
	/* A relay that is out of contact can't learn what became of a rollout.
	 * Old endpoints stop only where one succeeded. */
	if (is_expired (s, now_ms) && !is_present (f, q->service, FLEET_MAIN)) {
		add_side (&c, FLEET_HELD);
		if (state == ROLLOUT_RUNNING)
			add_side (&c, FLEET_TARGET);
	}
	return c;
}

bool
rollout_share_allows (const struct rollout_share *s, const struct fleet_ep *ep,
		      uint64_t now_ms)
{
	const struct share_rollout *r =
		rollout_share_find (s, ep->info.service);

	switch (ep->side) {
	case FLEET_MAIN:
	case FLEET_RETIRING:
		return true;
	case FLEET_TARGET:
		return r != NULL && (r->msg.state == ROLLOUT_SHIFTING ||
				     rollout_share_grant (s, r, now_ms) > 0);
	case FLEET_HELD:
	case FLEET_BARRED:
		break;
	}
	return false;
}

bool
rollout_share_sent (struct rollout_share *s, const struct fleet_ep *ep,
		    uint64_t route, bool is_first, uint64_t now_ms)
{
	struct share_rollout *r = rollout_share_find (s, ep->info.service);

	if (r == NULL || rollout_is_over (r->msg.state))
		return false;
	r->requests += is_first;
	if (!is_target (r, ep->info.version))
		return false;
	r->sent_new++;
	r->used_ms = now_ms;
	route_get (r, route)->sent_new++;
	return true;
}
