/*
 * Endpoints as this entry talks to them: connections, load reports, and
 * whether one that broke is gone.
 */
#include <stdlib.h>
#include <string.h>

#include "entryd.h"
#include "log.h"

#define IO_TIMEOUT_MS 60000
#define POLL_MS 1000
#define POLL_TIMEOUT_MS 800
#define POLL_MAX_BYTES (256U << 10)
#define DOWN_POLL_MS 250
/* With work there, silence for so long makes us ask. */
#define SILENT_MS 1000
#define SILENT_POLLS 2
/* A dying process takes connections that it then resets: asked again, at most
 * so often. */
#define RESET_POLLS 8

static struct target *
target_new (struct entry *e, struct bb_ep *ep)
{
	struct target *t = g_new0 (struct target, 1);
	struct sockaddr_in sa;

	t->e = e;
	t->ep = ep;
	t->waiting = g_ptr_array_new ();
	ep->refs++;
	memcpy (t->addr, ep->inv->addr, sizeof t->addr);
	/* The inventory's check has read the address before. */
	link_addr_parse (t->addr, &sa, NULL);
	httpc_peer_init (&t->peer, e->d.loop, &sa, IO_TIMEOUT_MS);
	return t;
}

static void
target_free (struct target *t)
{
	if (t->poll != NULL)
		httpc_cancel (t->poll);
	httpc_peer_finish (&t->peer);
	if (t->lost_ids != NULL)
		g_array_unref (t->lost_ids);
	g_ptr_array_unref (t->waiting);
	t->ep->refs--;
	g_free (t);
}

static void
target_retire (struct entry *e, struct target *t)
{
	t->gone = true;
	g_ptr_array_add (e->old_targets, t);
}

/* The target of an endpoint; a new one where its address changed. */
struct target *
target_get (struct entry *e, struct bb_ep *ep)
{
	struct target *t = g_hash_table_lookup (e->targets, ep->name);

	if (t != NULL && t->ep == ep && strcmp (t->addr, ep->inv->addr) == 0)
		return t;
	if (t != NULL) {
		g_hash_table_remove (e->targets, ep->name);
		target_retire (e, t);
	}
	t = target_new (e, ep);
	g_hash_table_insert (e->targets, ep->name, t);
	return t;
}

static gboolean
is_stale (gpointer key, gpointer value, gpointer ctx)
{
	struct target *t = value;

	(void)key;
	if (t->ep->inv != NULL && strcmp (t->addr, t->ep->inv->addr) == 0)
		return FALSE;
	target_retire (ctx, t);
	return TRUE;
}

/* After a new inventory: let go of what it no longer names. */
void
target_remap (struct entry *e)
{
	g_hash_table_foreach_remove (e->targets, is_stale, e);
}

/* Free retired targets whose last exchange is over. */
void
target_sweep (struct entry *e)
{
	for (guint i = e->old_targets->len; i > 0; i--) {
		struct target *t = g_ptr_array_index (e->old_targets, i - 1);

		if (t->exchanges > 0 || t->waiting->len > 0)
			continue;
		g_ptr_array_remove_index_fast (e->old_targets, i - 1);
		target_free (t);
	}
}

void
target_finish (struct entry *e)
{
	GHashTableIter it;
	gpointer t;

	g_hash_table_iter_init (&it, e->targets);
	while (g_hash_table_iter_next (&it, NULL, &t))
		target_retire (e, t);
	g_hash_table_destroy (e->targets);
	target_sweep (e);
	g_ptr_array_unref (e->old_targets);
}

/* The first figure of a metric in the Prometheus text format. */
static bool
metric (const char *text, const char *name, uint32_t *out)
{
	const char *p = text;

	while ((p = strstr (p, name)) != NULL) {
		bool starts = p == text || p[-1] == '\n' || p[-1] == ':';

		p += strlen (name);
		if (!starts || (*p != '{' && *p != ' '))
			continue;
		if (*p == '{')
			p = strchr (p, '}');
		if (p == NULL)
			return false;
		*out = (uint32_t)CLAMP (g_ascii_strtod (p + 1, NULL), 0, 1e6);
		return true;
	}
	return false;
}

/* An endpoint that broke connections does not answer either: it died. */
static void
target_died (struct target *t)
{
	struct entry *e = t->e;
	uint64_t now_ms = tmr_now_ms ();
	GArray *ids = t->lost_ids;

	t->resets = 0;
	if (!t->ep->down) {
		log_event (LOG_LV_WARN, "endpoint",
			   "ep=%s change=down in_flight=%u", t->ep->name,
			   ids != NULL ? ids->len : 0);
		bb_ep_down (t->ep, now_ms);
		lease_cold (&e->lease, t->ep, now_ms);
		route_forget_endpoint (&e->route, t->ep);
		if (t->ep->inv != NULL && t->ep->inv->reclaimable &&
		    route_endpoint_lost (&e->route, t->ep, false, now_ms))
			log_event (LOG_LV_WARN, "reclaim", "domain=%s",
				   t->ep->domain->name);
	}
	if (ids != NULL && ids->len > 0)
		susp_ep_lost (&e->susp, t->ep,
			      (const uint8_t (*)[SUSP_ID_BYTES])ids->data,
			      ids->len, MAX (ids->len, t->lost_in_flight),
			      t->ep->leaving, now_ms);
	if (ids != NULL)
		g_array_set_size (ids, 0);
	/* At once: the caller may send it again through another entry. */
	peer_tell_strikes (e, now_ms);
}

static bool
is_doubted (const struct target *t)
{
	return t->lost_ids != NULL && t->lost_ids->len > 0;
}

/* Requests that waited for the verdict are queued again, or told that they
 * failed. */
static void
release_waiting (struct target *t)
{
	while (t->waiting->len > 0) {
		struct req *r = g_ptr_array_index (t->waiting, 0);

		target_forget (r);
		if (r->failed.kind != ERR_NONE)
			front_fail (r, &r->failed, 0);
		else
			req_queue (r);
	}
}

/*
 * Whether it is known if @t died, after it failed @r.  Otherwise @r waits for
 * that: a request that crashes endpoints must have its strike before it is
 * sent again, by us or by its caller.
 */
bool
target_checked (struct target *t, struct req *r)
{
	if (t->poll == NULL || !is_doubted (t))
		return true;
	r->waits_for = t;
	g_ptr_array_add (t->waiting, r);
	return false;
}

/* @r no longer waits for a target. */
void
target_forget (struct req *r)
{
	if (r->waits_for != NULL)
		g_ptr_array_remove (r->waits_for->waiting, r);
	r->waits_for = NULL;
}

static void
target_hung (struct target *t)
{
	log_event (LOG_LV_WARN, "endpoint", "ep=%s change=hung in_flight=%u",
		   t->ep->name, t->ep->in_flight);
	bb_ep_down (t->ep, tmr_now_ms ());
	lease_cold (&t->e->lease, t->ep, tmr_now_ms ());
	back_hung (t);
}

static void on_poll (const struct httpc_reply *r, const struct err *err,
		     void *ctx);

static void
target_poll (struct target *t, uint64_t now_ms)
{
	struct httpc_req q = {.method = "GET",
			      .path = "/metrics",
			      .timeout_ms = POLL_TIMEOUT_MS};

	if (t->poll != NULL)
		return;
	/* A kept-alive connection says nothing of a process that is gone. */
	q.fresh = is_doubted (t) || t->ep->down;
	t->polled_ms = now_ms;
	t->poll = httpc_fetch (&t->peer, &q, POLL_MAX_BYTES, on_poll, t);
}

static void
poll_again (struct target *t)
{
	t->resets++;
	target_poll (t, tmr_now_ms ());
}

static void
take_poll (struct target *t, const struct httpc_reply *r, const struct err *err)
{
	struct bb_load load = {.sampled_ms = t->polled_ms};
	uint64_t now_ms = tmr_now_ms ();

	if (err != NULL && err->kind == ERR_PROTOCOL) {
		/* A process that answers has not ended, whatever it says. */
		t->silent = t->resets = 0;
		if (t->lost_ids != NULL)
			g_array_set_size (t->lost_ids, 0);
		return;
	}
	if (err != NULL) {
		/* Slow is not dead: a refused connection is, and one that
		 * answers nothing at all, time after time. */
		if (err->kind == ERR_IO || t->resets >= RESET_POLLS)
			target_died (t);
		else if (err->kind == ERR_ENDPOINT_LOST && is_doubted (t))
			poll_again (t);
		else if (err->kind == ERR_TIMEOUT &&
			 ++t->silent >= SILENT_POLLS && !t->ep->down)
			target_hung (t);
		return;
	}
	t->silent = 0;
	t->resets = 0;
	t->heard_ms = now_ms;
	if (t->lost_ids != NULL)
		g_array_set_size (t->lost_ids, 0);
	if (t->ep->down) {
		log_event (LOG_LV_INFO, "endpoint", "ep=%s change=up",
			   t->ep->name);
		bb_ep_up (t->ep, now_ms);
		work_wake (t->e);
	}
	if (r->status == 200 &&
	    metric (r->body, "num_requests_running", &load.running) &&
	    metric (r->body, "num_requests_waiting", &load.waiting))
		bb_ep_reported (t->ep, &load);
}

static void
on_poll (const struct httpc_reply *r, const struct err *err, void *ctx)
{
	struct target *t = ctx;

	t->poll = NULL;
	take_poll (t, r, err);
	if (t->poll == NULL)
		release_waiting (t);
}

/*
 * A connection to @t broke.  All requests there are noted now, before each of
 * them is told; a poll then shows whether it died.
 */
void
target_broke (struct target *t)
{
	if (t->lost_ids == NULL)
		t->lost_ids = g_array_new (FALSE, FALSE, SUSP_ID_BYTES);
	if (t->lost_ids->len == 0) {
		t->lost_in_flight = (uint32_t)bb_ep_load (t->ep);
		for (GList *l = t->e->reqs; l != NULL; l = l->next) {
			struct req *o = l->data;

			/* One that never got there did it no harm. */
			if (o->target != t || o->exchange == NULL ||
			    !httpc_sent (o->exchange))
				continue;
			g_array_append_vals (t->lost_ids, o->fingerprint, 1);
			/* It was chosen because nothing else ran there. */
			if (o->alone)
				t->lost_in_flight = 1;
		}
	}
	/* One under way may be on a connection from before. */
	if (t->poll != NULL)
		httpc_cancel (t->poll);
	t->poll = NULL;
	target_poll (t, tmr_now_ms ());
}

/*
 * Whether this entry reads the load of @ep: as its coordinator, or, while
 * another elector is silent, for its slice, which waits until the endpoint
 * says that what the others sent is over.
 */
static bool
reads_load (struct entry *e, const struct bb_ep *ep, uint64_t now_ms)
{
	enum lease_state state;

	if (e->bb.self == NULL)
		return false;
	if (lease_coordinator (&e->lease, ep) == e->bb.self)
		return true;
	state = lease_state_of (&e->lease, ep, now_ms);
	return state == LEASE_WAITING || state == LEASE_SLICE;
}

/* The endpoints whose load this entry reads, also unused ones. */
void
target_own (struct entry *e)
{
	uint64_t now_ms = tmr_now_ms ();

	for (uint32_t i = 0; i < e->inv->endpoint_count; i++) {
		if (reads_load (e, e->bb.eps[i], now_ms))
			target_get (e, e->bb.eps[i]);
	}
}

/*
 * Load reports are read by one entry an endpoint, its coordinator, while all
 * electors hear each other; one that is down is looked at by every entry that
 * uses it.
 */
void
target_tick (struct entry *e, uint64_t now_ms)
{
	GHashTableIter it;
	gpointer p;

	g_hash_table_iter_init (&it, e->targets);
	while (g_hash_table_iter_next (&it, NULL, &p)) {
		struct target *t = p;
		bool mine = reads_load (e, t->ep, now_ms);
		bool silent =
			t->exchanges > 0 && now_ms - t->heard_ms >= SILENT_MS;
		uint64_t every = t->ep->down || silent ? DOWN_POLL_MS : POLL_MS;

		if ((mine || silent || t->ep->down) &&
		    now_ms - t->polled_ms >= every)
			target_poll (t, now_ms);
	}
	target_sweep (e);
}

/* Slower than its peers, or failing: no work for a while. */
void
target_ejected (struct entry *e, struct bb_ep *ep, uint64_t now_ms)
{
	log_event (LOG_LV_WARN, "endpoint", "ep=%s change=ejected temp=%s",
		   ep->name, ep->warmup == BB_COLD ? "cold" : "as it was");
	if (ep->warmup == BB_COLD)
		lease_cold (&e->lease, ep, now_ms);
}

static void
set_leaving (struct entry *e, struct bb_ep *ep, bool leaving)
{
	if (ep->leaving == leaving)
		return;
	ep->leaving = leaving;
	log_event (LOG_LV_INFO, "endpoint", "ep=%s change=%s", ep->name,
		   leaving ? "leaving" : "stays");
	if (leaving && ep->inv->reclaimable)
		route_endpoint_lost (&e->route, ep, true, tmr_now_ms ());
}

/*
 * The platform's list, as control passes it on.  An endpoint on it gets no
 * new work; an entry on it no longer counts among its domain's coordinators.
 */
void
target_leaving (struct entry *e, const struct proto_key_id *names,
		uint32_t count)
{
	GHashTable *set = g_hash_table_new (g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < count; i++)
		g_hash_table_add (set, (gpointer)names[i].id);
	for (uint32_t i = 0; e->inv != NULL && i < e->inv->endpoint_count; i++)
		set_leaving (e, e->bb.eps[i],
			     g_hash_table_contains (set, e->bb.eps[i]->name));
	for (uint32_t i = 0; e->inv != NULL && i < e->inv->entry_count; i++)
		member_listed (
			e, e->bb.peers[i],
			g_hash_table_contains (set, e->bb.peers[i]->name));
	g_hash_table_destroy (set);
}
