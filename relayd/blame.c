/*
 * Requests that crash endpoints: which attempts count, what becomes of requests
 * that hold a barred key, and news to and from the members.
 */
#include <string.h>

#include "relayd.h"

/* An endpoint that sent nothing for so long timed out rather than crashed, and
 * mostly the network did.  Shorter than the time-out of its connection. */
#define SILENT_MS 1400

/* Retry-After of refused requests: about the pause until a barred key is tried
 * again. */
#define RETRY_AFTER_MIN_MS 8000
#define RETRY_AFTER_SPREAD_MS 4000

/* Collects the keys of a request: first the request as a whole, then its shared
 * segments, which are all but the last one. */
static uint32_t
collect_keys (struct call *c, uint64_t *keys)
{
	uint32_t n = 0;

	if (c->request_key == 0)
		c->request_key =
			blame_request_key (c->request_line->str, c->account,
					   c->body->data, c->body->len);
	keys[n++] = c->request_key;
	for (uint32_t i = 0; i + 1 < c->req.segment_count; i++)
		keys[n++] = blame_segment_key (c->req.segments[i].id);
	return n;
}

/* The id of the segment whose key is barred; 0: the request as a whole is. */
static uint64_t
find_segment (const struct call *c, uint64_t key)
{
	for (uint32_t i = 0; i + 1 < c->req.segment_count; i++) {
		if (blame_segment_key (c->req.segments[i].id) == key)
			return c->req.segments[i].id;
	}
	return 0;
}

static void
refuse (struct call *c, uint64_t culprit)
{
	uint32_t retry_after_ms = RETRY_AFTER_MIN_MS +
				  (uint32_t)g_rand_int_range (
					  c->r->rand, 0, RETRY_AFTER_SPREAD_MS);

	c->r->stats.barred++;
	log_event (LOG_LV_INFO, "blame",
		   "req=%s change=refused kind=%s key=%016" G_GINT64_MODIFIER
		   "x segment=%" G_GINT64_MODIFIER "x maybe_run=%u",
		   c->id, blame_key_kind (culprit), culprit,
		   find_segment (c, culprit), c->maybe_run);
	if (c->headers_sent)
		call_cut (c, "cut");
	else if (c->maybe_run > 0)
		call_fail (c, 502, 0, "outcome unknown");
	else
		call_fail (c, 503, retry_after_ms,
			   "not run: such requests crash endpoints");
}

static enum blame_verdict
check_call (struct call *c, uint64_t *culprit)
{
	uint64_t keys[BLAME_KEYS_MAX];

	if (c->r->blame.barred == 0)
		return BLAME_SEND;
	return blame_check (&c->r->blame, keys, collect_keys (c, keys), culprit,
			    tmr_now_ms ());
}

bool
blame_bars_call (struct call *c)
{
	uint64_t culprit = 0;
	enum blame_verdict v = check_call (c, &culprit);

	return v == BLAME_REFUSE || v == BLAME_WAIT ||
	       v == BLAME_SEND_IF_GRANTED;
}

enum blame_verdict
blame_judge_call (struct call *c)
{
	uint64_t culprit = 0;
	enum blame_verdict v = check_call (c, &culprit);

	if (v == BLAME_REFUSE)
		refuse (c, culprit);
	return v;
}

void
blame_want_trial (struct call *c)
{
	uint64_t keys[BLAME_KEYS_MAX];

	blame_want (&c->r->blame, keys, collect_keys (c, keys), tmr_now_ms ());
	log_event (LOG_LV_INFO, "blame",
		   "req=%s change=wanted key=%016" G_GINT64_MODIFIER "x", c->id,
		   c->request_key);
}

void
blame_attempt_started (struct call *c)
{
	uint64_t keys[BLAME_KEYS_MAX];

	c->answer_begun = false;
	c->is_blame_trial = c->r->blame.barred > 0 &&
			    blame_trial (&c->r->blame, keys,
					 collect_keys (c, keys), tmr_now_ms ());
}

void
blame_answer_begun (struct call *c)
{
	uint64_t keys[BLAME_KEYS_MAX];

	if (c->answer_begun || c->status >= 300)
		return;
	c->answer_begun = true;
	blame_answered (&c->r->blame, keys, collect_keys (c, keys),
			tmr_now_ms ());
}

bool
blame_domain_is_cut (const struct relay *r, const struct fleet_ep *ep)
{
	for (guint i = 0; i < r->fleet.eps->len; i++) {
		const struct fleet_ep *e = g_ptr_array_index (r->fleet.eps, i);

		if (e->suspect_by_domain &&
		    strcmp (e->info.domain, ep->info.domain) == 0)
			return true;
	}
	return false;
}

/* The endpoint neither crashed nor, as far as is known, answered. */
static void
end_trial_undecided (struct call *c, bool received)
{
	uint64_t keys[BLAME_KEYS_MAX];

	if (!c->is_blame_trial || c->answer_begun)
		return;
	c->is_blame_trial = false;
	blame_trial_undecided (&c->r->blame, keys, collect_keys (c, keys),
			       received);
}

void
blame_attempt_dropped (struct call *c)
{
	end_trial_undecided (c, true);
}

void
blame_attempt_ended (struct call *c, enum h1cli_end end)
{
	const struct fleet_ep *ep = c->ep;
	uint64_t keys[BLAME_KEYS_MAX], now_ms = tmr_now_ms ();
	uint32_t count;

	if (end != H1CLI_BROKEN || c->answer.not_executed || c->status >= 300)
		end_trial_undecided (c, end != H1CLI_UNSENT);
	if (end != H1CLI_BROKEN || c->answer_begun || c->answer.not_executed ||
	    c->status >= 300 ||
	    now_ms > MAX (ep->last_heard_ms, c->sent_ms) + SILENT_MS)
		return;
	count = collect_keys (c, keys);
	/* Segments are in many requests that such an end breaks together. */
	if (ep->leaving || blame_domain_is_cut (c->r, ep))
		count = 1;
	blame_broke (&c->r->blame, keys, count, ep->ep_hash, now_ms);
	log_event (LOG_LV_INFO, "blame",
		   "req=%s change=struck ep=%s segments=%u "
		   "key=%016" G_GINT64_MODIFIER "x strikes=%u",
		   c->id, ep->info.id, c->req.segment_count, c->request_key,
		   blame_strikes (&c->r->blame, c->request_key));
}

static void
on_changed (uint64_t key, enum blame_change change, uint32_t endpoints,
	    void *ctx)
{
	log_event (LOG_LV_INFO, "blame",
		   "change=%s kind=%s key=%016" G_GINT64_MODIFIER
		   "x endpoints=%u",
		   blame_change_name (change), blame_key_kind (key), key,
		   endpoints);
	/* Requests may wait for it. */
	if (change == BLAME_CLEARED || change == BLAME_GRANTED_TRIAL)
		call_place_waiting (ctx);
}

void
relay_blame_init (struct relay *r)
{
	static const struct blame_ops ops = {.changed = on_changed};

	/* 0 stands for a member. */
	blame_init (&r->blame, MAX (r->name_hash, 1), &ops, r);
}

void
relay_blame_receive (struct relay *r, const struct gmsg_blame *m)
{
	blame_merge (&r->blame, m->records.items, m->records.count, NULL,
		     tmr_now_ms ());
}

static void
send_records (struct link *l, const GArray *list, guint from)
{
	struct gmsg_blame m = {
		{&g_array_index (list, struct blame_record, from),
		 MIN (list->len - from, BLAME_RECORDS_MAX)}};

	link_send (l, FRAME_GROUP_BLAME, gmsg_blame_fields, &m);
}

void
relay_blame_send_all (struct group_member *m)
{
	GArray *all = g_array_new (FALSE, FALSE, sizeof (struct blame_record));

	blame_export (&m->r->blame, all, tmr_now_ms ());
	for (guint i = 0; i < all->len; i += BLAME_RECORDS_MAX)
		send_records (m->link, all, i);
	g_array_free (all, TRUE);
}

void
relay_blame_tick (struct relay *r, uint64_t now_ms)
{
	GArray *news;

	r->blame.relay_count = MAX (r->relay_count, 1);
	blame_tick (&r->blame, now_ms);
	if (r->blame.news->len == 0)
		return;
	news = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	blame_take_news (&r->blame, news, now_ms);
	for (guint i = 0; i < r->members->len; i++) {
		struct group_member *m = g_ptr_array_index (r->members, i);

		if (link_is_up (m->link))
			send_records (m->link, news, 0);
	}
	g_array_free (news, TRUE);
}
