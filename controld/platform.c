/*
 * The platform's side: the leader's orders and usage reports (lib/order), and
 * the lagging list of instances, which every member reads for the entries
 * that it serves.
 */
#include <string.h>

#include "controld.h"
#include "order.h"
#include "plat.h"

#define LIST_MS 1000
#define DRIFT_MS 100
#define RESERVE_MS 200
#define WRITE_MS 300
#define RETRY_MS 500

/** struct platform - what this member knows of the platform */
struct platform {
	struct control *c;
	struct plat_http *http;
	struct order_ctl orders;
	struct inv inv; /* typed form of the inventory, for the orders */
	bool inv_made;
	uint64_t list_at_ms;
	bool listing;
	GArray *listed;  /* struct proto_key_id: leaving or gone, by the list */
	GArray *noticed; /* the same, by notices of reclaim */
	GArray *leaving; /* both, as the entries are told */
};

/* Leading counts from the first commit of the term on: until then the state
 * may lack what an earlier leader had committed. */
struct order_lead
platform_lead (const struct control *c)
{
	const struct raft *r = &c->raft;

	return (struct order_lead){
		.leading = !r->failed && r->role == RAFT_LEADER &&
			   r->applied >= r->term_start,
		.term = r->term,
		.until_ms = raft_lease_until (r),
	};
}

static struct order_lead
env_lead (void *ctx)
{
	return platform_lead (ctx);
}

static uint64_t
env_now (void *ctx)
{
	(void)ctx;
	return tmr_now_ms ();
}

static uint64_t
env_wall (void *ctx)
{
	(void)ctx;
	return tmr_wall_ms ();
}

static void
on_committed (const struct call_result *res, void *ctx)
{
	/* The controller looks at the state machine, and proposes again what
	 * does not show there. */
	(void)ctx;
	if (res->error != ERR_NONE)
		log_event (LOG_LV_WARN, "order", "step=propose kind=%s",
			   err_name (res->error));
}

static void
env_propose (void *ctx, enum sm_kind kind, const void *cmd)
{
	struct control *c = ctx;
	msgpack_sbuffer buf;

	msgpack_sbuffer_init (&buf);
	msg_pack (sm_kind_fields ((uint8_t)kind), cmd, &buf);
	call_start (c, (uint8_t)kind, buf.data, buf.size, true, WRITE_MS,
		    on_committed, c);
	msgpack_sbuffer_destroy (&buf);
}

static const struct order_env env = {env_lead, env_now, env_wall, env_propose};

static void
add_name (GArray *names, const char *name)
{
	struct proto_key_id id = {{0}};

	for (guint i = 0; i < names->len; i++) {
		if (strcmp (g_array_index (names, struct proto_key_id, i).id,
			    name) == 0)
			return;
	}
	if (names->len >= PROTO_LEAVING_MAX)
		return;
	g_strlcpy (id.id, name, sizeof id.id);
	g_array_append_val (names, id);
}

/* Tell the entries where the sum of list and notices changed. */
static void
merge (struct platform *p)
{
	GArray *all = g_array_new (FALSE, TRUE, sizeof (struct proto_key_id));
	bool same;

	for (guint i = 0; i < p->listed->len; i++)
		add_name (all,
			  g_array_index (p->listed, struct proto_key_id, i).id);
	for (guint i = 0; i < p->noticed->len; i++)
		add_name (
			all,
			g_array_index (p->noticed, struct proto_key_id, i).id);
	same = all->len == p->leaving->len &&
	       (all->len == 0 ||
		memcmp (all->data, p->leaving->data,
			all->len * sizeof (struct proto_key_id)) == 0);
	g_array_free (p->leaving, TRUE);
	p->leaving = all;
	if (same)
		return;
	log_event (LOG_LV_INFO, "leaving", "count=%u", all->len);
	conf_tell_leaving (p->c);
}

static void
on_list (const struct plat_instance *list, uint32_t count, const struct err *e,
	 void *ctx)
{
	struct platform *p = ctx;

	p->listing = false;
	if (e != NULL) {
		log_event (LOG_LV_DEBUG, "platform", "list why=\"%s\"", e->msg);
		return;
	}
	g_array_set_size (p->listed, 0);
	for (uint32_t i = 0; i < count; i++) {
		if (list[i].state != PLAT_LIVE)
			add_name (p->listed, list[i].name);
	}
	merge (p);
	scale_listed (p->c, list, count);
}

/* A notice names an endpoint, or a domain: then all its cheap endpoints. */
static void
on_notices (const struct plat_notice *list, uint32_t count, const struct err *e,
	    void *ctx)
{
	struct platform *p = ctx;

	if (e != NULL)
		return;
	g_array_set_size (p->noticed, 0);
	for (uint32_t i = 0; i < count; i++) {
		if (list[i].endpoint[0] != '\0')
			add_name (p->noticed, list[i].endpoint);
		for (uint32_t k = 0; p->inv_made && list[i].domain[0] != '\0' &&
				     k < p->inv.endpoint_count;
		     k++) {
			const struct inv_endpoint *ep = &p->inv.endpoints[k];

			if (ep->reclaimable &&
			    strcmp (ep->domain, list[i].domain) == 0)
				add_name (p->noticed, ep->name);
		}
	}
	merge (p);
	scale_noticed (p->c, list, count);
}

static void
refresh_inventory (struct platform *p)
{
	struct inv inv;
	struct err e;

	if (p->inv_made && p->inv.revision == sm_revision (p->c->sm))
		return;
	/* Checked before it was accepted, so it can't fail here. */
	if (!inv_build (&inv, sm_doc (p->c->sm), sm_revision (p->c->sm), NULL,
			&e))
		return;
	if (p->inv_made)
		inv_finish (&p->inv);
	p->inv = inv;
	p->inv_made = true;
}

bool
platform_init (struct control *c, struct err *e)
{
	struct order_conf conf = {
		.times = {.lease_ms = c->raft.times.election_ms,
			  .drift_ms = DRIFT_MS,
			  .reserve_ms = RESERVE_MS,
			  .write_ms = WRITE_MS,
			  .retry_ms = RETRY_MS},
		.sender = c->set.name,
		.sm = c->sm,
		.plat = &plat_http_ops,
		.env = &env,
		.env_ctx = c,
	};
	struct sockaddr_in addr;
	struct platform *p;

	if (c->set.platform[0] == '\0')
		return true;
	if (!link_addr_parse (c->set.platform, &addr, e))
		return false;
	p = g_new0 (struct platform, 1);
	p->c = c;
	p->http = plat_http_new (c->d.loop, &addr);
	p->listed = g_array_new (FALSE, TRUE, sizeof (struct proto_key_id));
	p->noticed = g_array_new (FALSE, TRUE, sizeof (struct proto_key_id));
	p->leaving = g_array_new (FALSE, TRUE, sizeof (struct proto_key_id));
	conf.plat_ctx = p->http;
	order_init (&p->orders, &conf);
	c->platform = p;
	scale_init (c);
	return true;
}

void
platform_tick (struct control *c, uint64_t now_ms)
{
	struct platform *p = c->platform;

	if (p == NULL)
		return;
	refresh_inventory (p);
	if (!p->listing && now_ms >= p->list_at_ms) {
		p->listing = true;
		p->list_at_ms = now_ms + LIST_MS;
		plat_http_ops.list (p->http, on_list, p);
		plat_http_ops.notices (p->http, on_notices, p);
	}
	if (p->inv_made && !c->leaving)
		order_tick (&p->orders, &p->inv);
}

bool
platform_idle (const struct control *c)
{
	return c->platform == NULL || order_idle (&c->platform->orders);
}

const struct inv *
platform_inv (const struct control *c)
{
	const struct platform *p = c->platform;

	return p != NULL && p->inv_made ? &p->inv : NULL;
}

const GArray *
platform_leaving (const struct control *c)
{
	return c->platform != NULL ? c->platform->leaving : NULL;
}

void
platform_finish (struct control *c)
{
	struct platform *p = c->platform;

	if (p == NULL)
		return;
	plat_http_free (p->http);
	order_finish (&p->orders);
	if (p->inv_made)
		inv_finish (&p->inv);
	g_array_free (p->listed, TRUE);
	g_array_free (p->noticed, TRUE);
	g_array_free (p->leaving, TRUE);
	g_free (p);
	c->platform = NULL;
}
