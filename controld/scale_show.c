/*
 * The elastic controller as operators see it.
 */
#include "scale_priv.h"

static void
add_text (json_object *o, const char *member, const char *text)
{
	json_object_object_add (o, member, json_object_new_string (text));
}

static void
add_num (json_object *o, const char *member, uint64_t n)
{
	json_object_object_add (o, member, json_object_new_uint64 (n));
}

static json_object *
domain_row (const struct scale_view *v, uint32_t ix)
{
	const struct scale_domain *d = &v->domains[ix];
	json_object *row = json_object_new_object ();
	uint64_t held = 0, leaving = 0, cheap = 0, busy = 0, slots = 0;
	uint64_t spend = d->pending_per_h;

	for (uint32_t i = 0; i < v->endpoint_count; i++) {
		const struct scale_endpoint *ep = &v->endpoints[i];

		if (ep->domain_ix != ix)
			continue;
		spend += ep->price_per_h;
		leaving += ep->leaving;
		held += !ep->leaving;
		cheap += !ep->leaving && ep->reclaimable;
		busy += ep->busy;
		slots += ep->leaving ? 0 : ep->slots;
	}
	add_text (row, "domain", d->name);
	add_num (row, "endpoints", held);
	add_num (row, "cheap", cheap);
	add_num (row, "leaving", leaving);
	add_num (row, "pending", d->pending);
	add_num (row, "busy", busy);
	add_num (row, "slots", slots);
	add_num (row, "spend_per_h", spend);
	add_num (row, "price_per_h", d->price_per_h);
	add_num (row, "cheap_per_h", d->cheap_per_h);
	return row;
}

void
scale_json (struct control *c, json_object *out)
{
	json_object *rows = json_object_new_array ();
	const struct inv *inv = platform_inv (c);
	struct scale *s = c->scale;
	struct scale_turn l = {.c = c, .s = s, .inv = inv};
	struct scale_settings set;
	struct scale_view v;

	json_object_object_add (out, "domains", rows);
	if (s == NULL || inv == NULL || s->term == 0)
		return;
	l.now_ms = tmr_now_ms ();
	l.wall_ms = tmr_wall_ms ();
	l.orders = g_ptr_array_new ();
	sm_orders (c->sm, false, l.orders);
	set = scale_settings_of (&inv->settings);
	add_text (out, "step", scale_step_name (s->last.step));
	add_text (out, "why", s->last.why);
	add_num (out, "attain_permille", s->attain_permille);
	add_num (out, "budget_per_h", inv->settings.budget_per_h);
	scale_build (&l, &set, &v);
	add_num (out, "spend_per_h", scale_spend (&v));
	for (uint32_t i = 0; i < v.domain_count; i++)
		json_object_array_add (rows, domain_row (&v, i));
	scale_view_finish (&v);
	g_ptr_array_free (l.orders, TRUE);
}
