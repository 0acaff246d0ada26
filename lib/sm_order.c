/*
 * Endpoint orders in the replicated state machine: the intent before an order
 * is sent, with the term as its fencing number, and its outcome after.
 */
#include <string.h>

#include "sm_int.h"

void
sm_order_init (struct sm *sm)
{
	g_queue_init (&sm->orders);
	sm->order_by_id = g_hash_table_new (g_str_hash, g_str_equal);
}

void
sm_order_finish (struct sm *sm)
{
	g_hash_table_destroy (sm->order_by_id);
	g_queue_clear_full (&sm->orders, g_free);
}

static struct sm_order_rec *
order_find (const struct sm *sm, const char *id)
{
	const GList *l = g_hash_table_lookup (sm->order_by_id, id);

	return l == NULL ? NULL : l->data;
}

const struct sm_order_rec *
sm_order_find (const struct sm *sm, const char *id)
{
	return order_find (sm, id);
}

void
sm_orders (const struct sm *sm, bool pending_only, GPtrArray *out)
{
	for (const GList *l = sm->orders.head; l != NULL; l = l->next) {
		const struct sm_order_rec *rec = l->data;

		if (!pending_only || rec->state == SM_ORDER_PENDING)
			g_ptr_array_add (out, (gpointer)rec);
	}
}

/* Forget the oldest order whose outcome is logged; pending ones stay. */
static void
orders_trim (struct sm *sm)
{
	GList *l = sm->orders.head;

	while (l != NULL &&
	       g_queue_get_length (&sm->orders) - sm->orders_pending >
		       SM_ORDERS_KEPT) {
		struct sm_order_rec *rec = l->data;
		GList *next = l->next;

		if (rec->state != SM_ORDER_PENDING) {
			g_hash_table_remove (sm->order_by_id, rec->order.id);
			g_queue_delete_link (&sm->orders, l);
			g_free (rec);
		}
		l = next;
	}
}

void
sm_order_put (struct sm *sm, const void *order_rec)
{
	struct sm_order_rec *own = g_memdup2 (order_rec, sizeof *own);

	g_queue_push_tail (&sm->orders, own);
	g_hash_table_insert (sm->order_by_id, own->order.id, sm->orders.tail);
	if (own->state == SM_ORDER_PENDING)
		sm->orders_pending++;
}

static bool
same_order (const struct sm_order *a, const struct sm_order *b)
{
	return a->kind == b->kind && strcmp (a->endpoint, b->endpoint) == 0 &&
	       strcmp (a->domain, b->domain) == 0 &&
	       strcmp (a->model, b->model) == 0 &&
	       strcmp (a->role, b->role) == 0 &&
	       a->reclaimable == b->reclaimable;
}

void
sm_order_apply (struct sm *sm, const struct sm_order *o, uint64_t term,
		struct sm_reply *r)
{
	struct sm_order_rec *rec = order_find (sm, o->id), fresh;

	if (o->id[0] == '\0' || o->kind < SM_ORDER_NEW ||
	    o->kind > SM_ORDER_ROLE) {
		sm_refuse (r, ERR_BAD_REQUEST, "order without id or kind");
		return;
	}
	if (rec != NULL && !same_order (&rec->order, o)) {
		sm_refuse (r, ERR_CONFLICT, "order id %s: another order",
			   o->id);
		return;
	}
	if (rec != NULL) {
		r->outcome = rec->state;
		if (rec->state == SM_ORDER_PENDING)
			rec->fence = MAX (rec->fence, term);
		return;
	}
	if (sm->orders_pending >= SM_ORDERS_PENDING_MAX) {
		sm_refuse (r, ERR_FULL, "%u orders are pending",
			   sm->orders_pending);
		return;
	}
	memset (&fresh, 0, sizeof fresh);
	fresh.order = *o;
	fresh.fence = term;
	fresh.state = SM_ORDER_PENDING;
	sm_order_put (sm, &fresh);
}

void
sm_order_outcome (struct sm *sm, const struct sm_order_done *d,
		  struct sm_reply *r)
{
	struct sm_order_rec *rec = order_find (sm, d->id);

	if (d->state != SM_ORDER_DONE_OK && d->state != SM_ORDER_REFUSED) {
		sm_refuse (r, ERR_BAD_REQUEST, "order state %u: unknown",
			   d->state);
		return;
	}
	if (rec == NULL) {
		sm_refuse (r, ERR_NOT_FOUND, "order %s: not known", d->id);
		return;
	}
	if (rec->state == SM_ORDER_PENDING) {
		rec->state = d->state;
		g_strlcpy (rec->made, d->endpoint, sizeof rec->made);
		g_strlcpy (rec->why, d->why, sizeof rec->why);
		rec->done_ms = d->wall_ms;
		sm->orders_pending--;
		orders_trim (sm);
	}
	r->outcome = rec->state;
}
