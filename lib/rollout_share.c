/*
 * A relay's part in rollouts: messages, and the use of the grant.
 */
#include <string.h>

#include "rollout_share.h"

/* A member that isn't the leader may lag behind it.  Its messages release a
 * held version only this long after that was listed first; the platform takes
 * longer to start endpoints after a rollout began. */
#define FOLLOWER_LAG_MS 1000

/* A route may have so many more requests at the target version than another
 * one that had requests within ROUTE_ACTIVE_MS, or any number once the grant
 * was left unused for GRANT_IDLE_MS. */
#define ROUTE_LEAD 2
#define ROUTE_ACTIVE_MS 1000
#define GRANT_IDLE_MS 10

/* The process paused where a tick comes this late; what arrived meanwhile is
 * read within FRESH_MS. */
#define PAUSE_MS 1000
#define FRESH_MS 300

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
rollout_share_init (struct rollout_share *s, const char *domain)
{
	*s = (struct rollout_share){.domain = domain};
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

bool
rollout_share_is_target (const struct share_rollout *r, const char *version)
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
		    rollout_share_is_target (rollout_share_find (s, v->service),
					     v->version))
			continue;
		v->cleared = any = true;
	}
	return any;
}

void
rollout_share_tick (struct rollout_share *s, uint64_t now_ms)
{
	if (s->tick_ms != 0 && now_ms > s->tick_ms + PAUSE_MS)
		s->fresh_from_ms = now_ms + FRESH_MS;
	s->tick_ms = now_ms;
}

/* Whether a message that is read now may have waited during a pause. */
static bool
is_stale (const struct rollout_share *s, uint64_t now_ms)
{
	return now_ms < s->fresh_from_ms ||
	       (s->tick_ms != 0 && now_ms > s->tick_ms + PAUSE_MS);
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
	if (!m->has_leader || is_stale (s, now_ms))
		return changed;
	s->heard_ms = now_ms;
	return clear_versions (s, m, now_ms) || changed;
}

void
rollout_share_set_list (struct rollout_share *s, uint64_t index)
{
	s->list_index = index;
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
	c->focus_near = r->focus_near;
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
	if (!rollout_share_is_target (r, ep->info.version))
		return false;
	r->sent_new++;
	r->used_ms = now_ms;
	route_get (r, route)->sent_new++;
	return true;
}
