/*
 * The situation that the elastic decision reads.
 */
#include <string.h>

#include "scale_view.h"

struct scale_settings
scale_settings_of (const struct inv_settings *s)
{
	struct scale_settings set = SCALE_SETTINGS_DEFAULT;

	set.attain_low_permille = s->scale_attain_permille;
	set.cheap_permille = s->scale_cheap_permille;
	set.least = s->scale_least;
	set.short_ms = s->scale_short_s * 1000;
	set.idle_ms = s->scale_idle_s * 1000;
	set.settle_ms = s->scale_settle_s * 1000;
	set.risk_ms = SCALE_RISK_MS;
	set.budget_per_h = s->budget_per_h;
	return set;
}

const struct sm_order_rec *
scale_released (const GPtrArray *orders, const char *endpoint)
{
	for (guint i = orders->len; i-- > 0;) {
		const struct sm_order_rec *r = orders->pdata[i];

		if (r->order.kind == SM_ORDER_RELEASE &&
		    strcmp (r->order.endpoint, endpoint) == 0)
			return r;
		/* Another of the same name, made since. */
		if (strcmp (r->made, endpoint) == 0 &&
		    r->order.kind == SM_ORDER_NEW)
			return NULL;
	}
	return NULL;
}

static bool
made_own (const struct sm_order_rec *r)
{
	return r->order.kind == SM_ORDER_NEW && r->state == SM_ORDER_DONE_OK &&
	       r->made[0] != '\0' &&
	       g_str_has_prefix (r->order.id, SCALE_ID_PREFIX);
}

void
scale_made (const struct inv *inv, const GPtrArray *orders, GPtrArray *out)
{
	GHashTable *held = g_hash_table_new (g_str_hash, g_str_equal);

	for (guint i = 0; i < orders->len; i++) {
		struct sm_order_rec *r = orders->pdata[i];

		if (made_own (r))
			g_hash_table_replace (held, r->made, r);
		else if (r->order.kind == SM_ORDER_RELEASE)
			g_hash_table_remove (held, r->order.endpoint);
	}
	for (guint i = 0; i < orders->len; i++) {
		const struct sm_order_rec *r = orders->pdata[i];

		if (g_hash_table_lookup (held, r->made) == r &&
		    inv_endpoint_ix (inv, r->made) < 0)
			g_ptr_array_add (out, (gpointer)r);
	}
	g_hash_table_destroy (held);
}

uint16_t
scale_attain (const struct scale_look *looks, uint32_t count)
{
	uint64_t asked = 0, attained = 0;

	for (uint32_t i = 0; i < count; i++) {
		asked += looks[i].asked;
		attained += looks[i].attained;
	}
	if (asked == 0 || attained >= asked)
		return 1000;
	return (uint16_t)(attained * 1000 / asked);
}

static uint32_t
price_of (const struct inv *inv, int32_t ix)
{
	return ix < 0 ? 0 : inv->endpoints[ix].price_per_h;
}

static void
add_pending (const struct inv *inv, struct scale_domain *domains,
	     const struct sm_order *o)
{
	int32_t ix = inv_domain_ix (inv, o->domain);
	const struct inv_domain *d;

	if (ix < 0)
		return;
	d = &inv->domains[ix];
	domains[ix].pending++;
	domains[ix].pending_cheap += o->reclaimable;
	domains[ix].pending_per_h +=
		price_of (inv, o->reclaimable ? d->cheap_ix : d->new_ix);
}

/* A domain that refused lately has none of the kind to offer. */
static void
take_refusal (const struct scale_facts *f, struct scale_domain *domains,
	      const struct sm_order_rec *r)
{
	int32_t ix = inv_domain_ix (f->inv, r->order.domain);

	if (ix < 0 || f->wall_ms >= r->done_ms + SCALE_RISK_MS)
		return;
	if (r->order.reclaimable)
		domains[ix].cheap_per_h = 0;
	else
		domains[ix].price_per_h = 0;
}

static void
fill_orders (const struct scale_facts *f, struct scale_domain *domains)
{
	GPtrArray *made = g_ptr_array_new ();

	for (guint i = 0; i < f->orders->len; i++) {
		const struct sm_order_rec *r = f->orders->pdata[i];

		if (r->order.kind != SM_ORDER_NEW)
			continue;
		if (r->state == SM_ORDER_PENDING)
			add_pending (f->inv, domains, &r->order);
		if (r->state == SM_ORDER_REFUSED)
			take_refusal (f, domains, r);
	}
	/* Made, but not in the pools yet.  What is reclaimed will not be. */
	scale_made (f->inv, f->orders, made);
	for (guint i = 0; i < made->len; i++) {
		const struct sm_order_rec *r = made->pdata[i];

		if (!g_hash_table_contains (f->leaving, r->made))
			add_pending (f->inv, domains, &r->order);
	}
	g_ptr_array_free (made, TRUE);
}

/* The wall clock's time on the monotonic one; what is to come is now. */
static uint64_t
reclaimed_ms (const struct scale_facts *f, uint64_t wall_ms)
{
	uint64_t ago = f->wall_ms > wall_ms ? f->wall_ms - wall_ms : 0;

	if (wall_ms == 0 || ago >= f->now_ms)
		return 0;
	return f->now_ms - ago;
}

static void
fill_domains (const struct scale_facts *f, struct scale_domain *domains)
{
	for (uint32_t i = 0; i < f->inv->domain_count; i++) {
		const struct inv_domain *d = &f->inv->domains[i];

		g_strlcpy (domains[i].name, d->name, sizeof domains[i].name);
		domains[i].drained = d->drained;
		domains[i].price_per_h = price_of (f->inv, d->new_ix);
		domains[i].cheap_per_h = price_of (f->inv, d->cheap_ix);
		domains[i].reclaimed_ms =
			reclaimed_ms (f, f->heard[i].reclaimed_wall_ms);
	}
	fill_orders (f, domains);
}

static uint32_t
fill_endpoints (const struct scale_facts *f, struct scale_endpoint *eps)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < f->inv->endpoint_count; i++) {
		const struct inv_endpoint *ep = &f->inv->endpoints[i];
		struct scale_endpoint *to = &eps[n];

		if (ep->kind != INV_ENGINE)
			continue;
		n++;
		g_strlcpy (to->name, ep->name, sizeof to->name);
		to->domain_ix = ep->domain_ix;
		to->price_per_h = ep->price_per_h;
		to->reclaimable = ep->reclaimable;
		/* A drained one is paid for, and does no work. */
		to->leaving = ep->drained ||
			      g_hash_table_contains (f->leaving, ep->name);
		to->kept = !ep->elastic;
		to->slots = ep->warm_bound;
	}
	return n;
}

/* Even parts that sum up to what is busy in the domain. */
static void
share_busy (const struct scale_facts *f, struct scale_endpoint *eps, uint32_t n)
{
	for (uint32_t d = 0; d < f->inv->domain_count; d++) {
		uint64_t slots = 0, upto = 0, busy = f->heard[d].busy;

		for (uint32_t i = 0; i < n; i++) {
			if (eps[i].domain_ix == d && !eps[i].leaving)
				slots += eps[i].slots;
		}
		for (uint32_t i = 0; i < n; i++) {
			uint64_t from = upto;

			if (eps[i].domain_ix != d || eps[i].leaving)
				continue;
			upto += eps[i].slots;
			eps[i].busy = (uint32_t)(busy * upto / slots -
						 busy * from / slots);
		}
	}
}

void
scale_view_build (const struct scale_facts *f, const struct scale_settings *set,
		  struct scale_view *v)
{
	struct scale_domain *domains =
		g_new0 (struct scale_domain, f->inv->domain_count + 1);
	struct scale_endpoint *eps =
		g_new0 (struct scale_endpoint, f->inv->endpoint_count + 1);

	fill_domains (f, domains);
	v->endpoint_count = fill_endpoints (f, eps);
	share_busy (f, eps, v->endpoint_count);
	v->settings = set;
	v->now_ms = f->now_ms;
	v->attain_permille = f->attain_permille;
	v->domains = domains;
	v->domain_count = f->inv->domain_count;
	v->endpoints = eps;
}

void
scale_view_finish (struct scale_view *v)
{
	g_free ((gpointer)v->domains);
	g_free ((gpointer)v->endpoints);
	memset (v, 0, sizeof *v);
}

uint64_t
scale_spend (const struct scale_view *v)
{
	uint64_t sum = 0;

	for (uint32_t i = 0; i < v->endpoint_count; i++)
		sum += v->endpoints[i].price_per_h;
	for (uint32_t i = 0; i < v->domain_count; i++)
		sum += v->domains[i].pending_per_h;
	return sum;
}
