/*
 * The elastic controller's steps: orders and changes of the inventory put into
 * the log, endpoints on their way in and on their way out.
 */
#include <string.h>

#include "scale_priv.h"

#define CHANGE_MS 2000

/*
 * Proposed without the layer of calls, which may propose again in a later
 * term: the order is in this term's log, or it never is.
 */
void
scale_give_order (struct scale_turn *l, struct sm_order *o)
{
	struct control *c = l->c;
	uint8_t kind = SM_ORDER;
	msgpack_sbuffer buf;
	struct err e = {0};

	o->wall_ms = l->wall_ms;
	g_snprintf (o->id, sizeof o->id, SCALE_ID_PREFIX "%lu-%u",
		    (unsigned long)l->s->term, ++l->s->orders);
	msgpack_sbuffer_init (&buf);
	msgpack_sbuffer_write (&buf, (const char *)&kind, 1);
	msg_pack (sm_order_fields, o, &buf);
	if (!raft_propose (&c->raft, buf.data, (uint32_t)buf.size,
			   &l->s->order_index, &e))
		log_event (LOG_LV_WARN, "scale",
			   "id=%s step=propose why=\"%s\"", o->id, e.msg);
	msgpack_sbuffer_destroy (&buf);
	control_wake (c);
}

static void
on_changed (const struct call_result *res, void *ctx)
{
	struct control *c = ctx;
	struct scale *s = c->scale;
	uint64_t now_ms = tmr_now_ms ();

	if (s == NULL)
		return;
	s->changing = false;
	if (res->error == ERR_NONE && res->reply->kind == ERR_NONE) {
		scale_wait (s, now_ms);
		return;
	}
	s->change_at_ms = now_ms + CHANGE_MS;
	log_event (LOG_LV_WARN, "scale", "step=change why=\"%s\"",
		   res->error != ERR_NONE ? err_name (res->error)
					  : res->reply->why);
}

/* Set one endpoint's object, or remove it where @json is NULL. */
static void
change (struct scale_turn *l, const char *name, const char *json)
{
	struct control *c = l->c;
	struct sm_config cmd = {.base_revision = sm_revision (c->sm),
				.wall_ms = l->wall_ms,
				.who = "scale"};
	struct inv_change ch = {.section = INV_ENDPOINTS};
	msgpack_sbuffer buf;

	g_strlcpy (ch.name, name, sizeof ch.name);
	if (json != NULL) {
		ch.json.data = (const uint8_t *)json;
		ch.json.len = (uint32_t)strlen (json);
	}
	/* One base takes one change, whoever leads. */
	g_snprintf (cmd.change_id, sizeof cmd.change_id, "scale-%lu-%lu",
		    (unsigned long)l->s->term,
		    (unsigned long)cmd.base_revision);
	cmd.delta.changes.items = &ch;
	cmd.delta.changes.count = 1;
	msgpack_sbuffer_init (&buf);
	msg_pack (sm_config_fields, &cmd, &buf);
	l->s->changing = true;
	call_start (c, SM_CONFIG, buf.data, buf.size, true, CHANGE_MS,
		    on_changed, c);
	msgpack_sbuffer_destroy (&buf);
	control_wake (c);
}

/* An endpoint's object, to be changed; NULL where there is none. */
static json_object *
object_of (struct scale_turn *l, const char *name)
{
	const char *text = inv_doc_get (sm_doc (l->c->sm), INV_ENDPOINTS, name);

	return text != NULL ? json_tokener_parse (text) : NULL;
}

static void
change_object (struct scale_turn *l, const char *name, json_object *o)
{
	change (l, name,
		json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
	json_object_put (o);
}

static void
set_bool (json_object *o, const char *member)
{
	json_object_object_add (o, member, json_object_new_boolean (true));
}

static void
set_text (json_object *o, const char *member, const char *text)
{
	json_object_object_add (o, member, json_object_new_string (text));
}

/* ---- endpoints on their way in ---- */

const struct inv_endpoint *
scale_like (const struct inv *inv, const struct sm_order *o)
{
	int32_t d = inv_domain_ix (inv, o->domain), ix = -1;

	if (d >= 0)
		ix = o->reclaimable ? inv->domains[d].cheap_ix
				    : inv->domains[d].new_ix;
	return ix < 0 ? NULL : &inv->endpoints[ix];
}

static bool
adopt (struct scale_turn *l, const struct sm_order_rec *r)
{
	const char *addr = g_hash_table_lookup (l->s->live, r->made);
	const struct inv_endpoint *ep = scale_like (l->inv, &r->order);
	json_object *o;

	if (addr == NULL || ep == NULL)
		return false;
	o = object_of (l, ep->name);
	if (o == NULL)
		return false;
	set_text (o, "name", r->made);
	set_text (o, "addr", addr);
	set_bool (o, "elastic");
	json_object_object_del (o, "drained");
	log_event (LOG_LV_INFO, "scale",
		   "step=adopt id=%s ep=%s domain=%s addr=%s like=%s",
		   r->order.id, r->made, r->order.domain, addr, ep->name);
	change_object (l, r->made, o);
	return true;
}

static void
give_back (struct scale_turn *l, const char *name, const char *domain,
	   const char *why)
{
	struct sm_order o = {.kind = SM_ORDER_RELEASE};

	g_strlcpy (o.endpoint, name, sizeof o.endpoint);
	g_strlcpy (o.domain, domain, sizeof o.domain);
	scale_give_order (l, &o);
	log_event (LOG_LV_INFO, "scale",
		   "step=give_back id=%s ep=%s domain=%s why=\"%s\"", o.id,
		   name, domain, why);
}

/* What was made gets into the pools; what never shows is given back. */
bool
scale_step_made (struct scale_turn *l)
{
	GPtrArray *made = g_ptr_array_new ();
	bool acted = false;

	scale_made (l->inv, l->orders, made);
	for (guint i = 0; i < made->len && !acted; i++) {
		const struct sm_order_rec *r = made->pdata[i];

		acted = adopt (l, r);
		if (acted || l->wall_ms < r->done_ms + SCALE_LIVE_LIMIT_MS)
			continue;
		give_back (l, r->made, r->order.domain, "was never live");
		acted = true;
	}
	g_ptr_array_free (made, TRUE);
	return acted;
}

/* ---- endpoints on their way out ---- */

/* No request lasts longer than its class's bound. */
static uint64_t
drain_limit_ms (const struct inv *inv)
{
	uint64_t most = 0;

	for (uint32_t i = 0; i < inv->class_count; i++)
		most = MAX (most, inv->classes[i].total_ms);
	return most;
}

/* Why @ep can be given back now, or NULL. */
static const char *
drained (struct scale_turn *l, const struct inv_endpoint *ep, bool gone)
{
	struct drain *d = g_hash_table_lookup (l->s->drains, ep->name);

	if (gone)
		return "the platform took it";
	if (d == NULL) {
		d = g_new0 (struct drain, 1);
		d->since_ms = l->now_ms;
		d->revision = l->inv->revision;
		g_hash_table_insert (l->s->drains, g_strdup (ep->name), d);
	}
	if (load_empty (l->c, l->inv, ep->name, d->revision))
		return "empty";
	if (l->now_ms >= d->since_ms + drain_limit_ms (l->inv))
		return "not empty, but drained for as long as a request lasts";
	return NULL;
}

bool
scale_step_out (struct scale_turn *l, const struct inv_endpoint *ep)
{
	bool gone = g_hash_table_contains (l->s->gone, ep->name);
	const struct sm_order_rec *r;
	const char *why;

	/* Operators that put it back to work end its way out. */
	if (!ep->elastic || !((ep->releasing && ep->drained) || gone))
		return false;
	r = scale_released (l->orders, ep->name);
	if (r != NULL && r->state == SM_ORDER_PENDING)
		return false;
	if (r != NULL && (r->state == SM_ORDER_DONE_OK || gone)) {
		log_event (LOG_LV_INFO, "scale", "step=remove ep=%s", ep->name);
		g_hash_table_remove (l->s->drains, ep->name);
		change (l, ep->name, NULL);
		return true;
	}
	if (r != NULL && l->wall_ms < r->done_ms + SCALE_RISK_MS)
		return false;
	why = drained (l, ep, gone);
	if (why == NULL)
		return false;
	give_back (l, ep->name, ep->domain, why);
	return true;
}

void
scale_drain (struct scale_turn *l, const char *name)
{
	json_object *o = object_of (l, name);

	if (o == NULL)
		return;
	set_bool (o, "drained");
	set_bool (o, "releasing");
	change_object (l, name, o);
}
