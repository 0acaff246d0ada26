/*
 * Streams whose engine ended in the middle, and that go on from a copy of the
 * run at another engine.  The run must not be at both, so a new connection to
 * the first engine is tried, and the stream goes on only if it is refused.  A
 * connection attempt without an answer proves nothing: the engine may be out of
 * reach and still run.
 */
#include <string.h>

#include "relayd.h"

/* A closed port refuses within a round trip; longer than this, the client is
 * better off with a cut stream. */
#define CONFIRM_TIMEOUT_MS 60

/* Limit of the connection attempt itself; it is never reached. */
#define CONNECT_TIMEOUT_MS 1000

static void
cut (struct call *c, const char *why)
{
	log_event (LOG_LV_INFO, "continue", "req=%s continued=0 why=\"%s\"",
		   c->id, why);
	call_cut (c, "cut");
}

static void
continue_at_copy (struct call *c)
{
	struct place_result v = {.reason = PLACE_COPY};
	uint64_t now_ms = tmr_now_ms ();

	v.ep = fleet_find (&c->r->fleet, c->backup_id);
	if (v.ep == NULL || !fleet_usable (&c->r->fleet, v.ep, now_ms)) {
		cut (c, "the copy is gone");
		return;
	}
	/* The copy is of the same version, whose use may have ended. */
	if (!rollout_share_allows (&c->r->rollouts, v.ep, now_ms)) {
		cut (c, "the version may get nothing");
		return;
	}
	c->continues = true;
	c->r->stats.continued++;
	attempt_start (c, &v);
}

static void
on_confirm_head (struct h1cli *x, const struct h1_head *h, bool echoed,
		 void *ctx)
{
	(void)x;
	(void)h;
	(void)echoed;
	(void)ctx;
}

static void
on_confirm_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
}

static void
on_confirm_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct call *c = ctx;

	c->exchange = NULL;
	c->confirm_until_ms = 0;
	call_release_ep (c);
	if (h1cli_refused (x))
		continue_at_copy (c);
	else if (end == H1CLI_UNSENT)
		cut (c, "the engine can't be reached");
	else
		cut (c, "the engine still runs");
}

static const struct h1cli_ops confirm_ops = {
	.head = on_confirm_head,
	.data = on_confirm_data,
	.done = on_confirm_done,
};

void
continue_start (struct call *c)
{
	struct upstream *u = c->ep->owner_data;
	char *text =
		g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
				 c->service->health_path, c->ep->info.addr);
	struct h1cli_req req = {
		.bytes = text,
		.len = strlen (text),
		.connect_ms = CONNECT_TIMEOUT_MS,
		.limits = {.user_timeout_ms = CONNECT_TIMEOUT_MS}};

	c->r->stats.probes++;
	c->confirm_until_ms = tmr_now_ms () + CONFIRM_TIMEOUT_MS;
	c->exchange = h1cli_start (&u->host, &req, &confirm_ops, c);
	g_free (text);
}

void
continue_tick (struct call *c, uint64_t now_ms)
{
	if (c->confirm_until_ms == 0 || now_ms < c->confirm_until_ms)
		return;
	c->confirm_until_ms = 0;
	call_release_ep (c);
	cut (c, "the end of the engine is not confirmed");
}
