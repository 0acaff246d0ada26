/*
 * Requests that wait for an endpoint, and the rate at which they are sent where
 * the relays share the room of the engines.
 */
#include <string.h>

#include "relayd.h"

/* Waiting requests that are placed at once, the most urgent first. */
#define WAITING_BATCH_MAX 200

/* Interval between log lines on how the room of the engines is shared. */
#define DISPATCH_LOG_MS 500

static gint
compare_urgency (gconstpointer a, gconstpointer b, gpointer data)
{
	const struct call *x = a, *y = b;

	(void)data;
	return waitq_compare (&x->wait, &y->wait);
}

/* Counts the prefill that waits here, for the peers. */
static void
count_waiting (struct call *c, uint32_t tokens)
{
	struct relay *r = c->r;

	if (tokens == c->waiting_tokens)
		return;
	r->own_waiting[c->waiting_rank] -= c->waiting_tokens;
	c->waiting_rank = waitq_rank (&c->wait);
	c->waiting_tokens = tokens;
	r->own_waiting[c->waiting_rank] += tokens;
	r->load_changed = true;
}

/* Whether the relays send such requests at a common rate; a stream under way
 * goes on at once. */
bool
queue_shares_room (const struct call *c)
{
	return c->r->set.share_room && c->service->is_engine &&
	       !c->headers_sent;
}

void
queue_add (struct call *c, const struct place_result *v)
{
	struct relay *r = c->r;

	if (queue_shares_room (c) && v != NULL)
		count_waiting (c, (uint32_t)MAX (v->prefill_tokens, 1));
	if (c->queue_link != NULL)
		return;
	g_queue_insert_sorted (&r->waiting, c, compare_urgency, NULL);
	c->queue_link = g_queue_find (&r->waiting, c);
}

void
queue_remove (struct call *c)
{
	if (c->queue_link != NULL)
		g_queue_delete_link (&c->r->waiting, c->queue_link);
	c->queue_link = NULL;
	count_waiting (c, 0);
}

/* Moves a waiting request to the place of its new rank. */
void
queue_move (struct call *c)
{
	uint32_t tokens = c->waiting_tokens;

	queue_remove (c);
	queue_add (c, NULL);
	count_waiting (c, tokens);
}

/* Moves the request behind those that can still be in time, once it can't. */
static void
note_late (struct call *c, uint64_t now_ms)
{
	if (queue_shares_room (c) &&
	    waitq_note_late (&c->wait, c->route,
			     c->waiting_tokens / PLACE_PREFILL_PER_MS, now_ms))
		queue_move (c);
}

/* Whether a request that arrives goes behind one that waits. */
static bool
is_outranked (const struct call *c)
{
	const struct call *first =
		c->r->waiting.head != NULL ? c->r->waiting.head->data : NULL;

	return c->queue_link == NULL && first != NULL &&
	       waitq_compare (&first->wait, &c->wait) < 0;
}

/* Whether the relay may send the request now, by the rate that relays share. */
bool
queue_allows (const struct call *c)
{
	const struct dispatch *d = &c->r->dispatch;
	uint32_t rank = waitq_rank (&c->wait);

	return !queue_shares_room (c) || d->served[rank] >= 1 ||
	       (dispatch_allows (d, rank) && !is_outranked (c));
}

uint64_t
queue_waiting_tokens (const struct relay *r)
{
	uint64_t tokens = 0;

	for (uint32_t i = 0; i < LOADS_RANKS; i++)
		tokens += r->own_waiting[i];
	return tokens;
}

/* Tells how the room of the engines is shared while it is short. */
static void
log_dispatch (struct relay *r, double room, uint64_t now_ms)
{
	uint64_t peers = 0;
	uint32_t rank = 0;

	while (rank < LOADS_RANKS && r->dispatch.served[rank] >= 1)
		rank++;
	if (rank == LOADS_RANKS ||
	    now_ms - r->dispatch_logged_ms < DISPATCH_LOG_MS)
		return;
	r->dispatch_logged_ms = now_ms;
	for (uint32_t i = 0; i < LOADS_RANKS; i++)
		peers += r->peer_waiting[i];
	log_event (LOG_LV_INFO, "dispatch",
		   "room_tokens=%.0f own_tokens=%" G_GUINT64_FORMAT
		   " peer_tokens=%" G_GUINT64_FORMAT
		   " short_rank=%u served=%.2f budget_tokens=%.0f waiting=%u "
		   "slowdown=%.2f",
		   room, queue_waiting_tokens (r), peers, rank,
		   r->dispatch.served[rank], r->dispatch.budget_tokens,
		   r->waiting.length, r->fleet.slowdown);
}

/* Computes the rate at which waiting requests are sent from the newest loads.
 */
static void
refill_dispatch (struct relay *r, uint64_t now_ms)
{
	double room = 0;

	if (!r->set.share_room || r->plan == NULL)
		return;
	for (guint i = 0; i < r->plan->services->len; i++) {
		const struct plan_service *s =
			g_ptr_array_index (r->plan->services, i);

		if (s->is_engine)
			room += place_room_tokens (&r->fleet, s,
						   DISPATCH_DELAY_MS, now_ms);
	}
	dispatch_refill (&r->dispatch, room, r->own_waiting, r->peer_waiting,
			 now_ms);
	log_dispatch (r, room, now_ms);
}

void
queue_place_all (void *ctx)
{
	struct relay *r = ctx;
	struct call *list[WAITING_BATCH_MAX];
	uint64_t now_ms = tmr_now_ms ();
	uint32_t n = 0;

	refill_dispatch (r, now_ms);
	for (GList *at = r->waiting.head, *next; at != NULL; at = next) {
		next = at->next;
		note_late (at->data, now_ms);
	}
	for (GList *at = r->waiting.head; at != NULL && n < WAITING_BATCH_MAX;
	     at = at->next)
		list[n++] = at->data;
	/* Placing a call may free it, but none of the others in the list. */
	for (uint32_t i = 0; i < n; i++)
		call_place (list[i]);
}

void
call_place_waiting (struct relay *r)
{
	if (r->waiting.length > 0)
		tmr_start (&r->dispatch_timer, 0);
}
