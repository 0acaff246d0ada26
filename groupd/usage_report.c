/*
 * Usage windows: relays report what they counted, the leader seals the sum in
 * the log, and reports only what is sealed, so that no two reports of a
 * window differ.
 */
#include "groupd.h"

/* Counts of a window are awaited for a part of the time until its report is
 * due; the rest is for the log and the platform. */
#define SEAL_PART 0.4

/* A report that was not answered is sent again after so long. */
#define AGAIN_MS 1000
#define ANSWER_MS 3000
#define CONNECT_MS 500

void
duty_init (struct group *g)
{
	winsum_init (&g->duty.usage);
}

void
duty_finish (struct group *g)
{
	winsum_finish (&g->duty.usage);
}

void
duty_take (struct group *g, const struct link *l, const struct gmsg_report *r)
{
	char *key =
		g_strdup_printf ("%s/%" G_GUINT64_FORMAT, link_peer_name (l),
				 link_peer_incarnation (l));

	winsum_set_report (&g->duty.usage, key, r);
	g_free (key);
}

static void
seal (struct group *g, uint64_t number)
{
	GArray *sum = winsum_total (&g->duty.usage, number);
	struct gstate_window cmd = {.number = number};
	msgpack_sbuffer buf;
	uint64_t index;
	struct err e = {0};

	cmd.counts.items = sum->data;
	cmd.counts.count = sum->len;
	msgpack_sbuffer_init (&buf);
	gstate_encode (GSTATE_WINDOW, &cmd, &buf);
	if (raft_propose (&g->raft, buf.data, buf.size, &index, &e))
		log_event (LOG_LV_INFO, "seal",
			   "window=%" G_GUINT64_FORMAT " accounts=%u", number,
			   sum->len);
	else
		log_event (LOG_LV_WARN, "seal", "why=\"%s\"", e.msg);
	msgpack_sbuffer_destroy (&buf);
	g_array_free (sum, TRUE);
	group_wake (g);
}

static void
took (struct group *g)
{
	gstate_mark_reported (&g->duty.told, g->duty.call_window);
	g->duty.again_ms = 0;
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	(void)echoed;
	log_event (LOG_LV_INFO, "usage-report",
		   "window=%" G_GUINT64_FORMAT " status=%d",
		   g->duty.call_window, h->status);
	if (h->status == 200)
		took (g);
}

static void
on_data (struct h1cli *x, const char *data, size_t len, void *ctx)
{
	(void)x;
	(void)data;
	(void)len;
	(void)ctx;
}

static void
on_done (struct h1cli *x, enum h1cli_end end, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	(void)end;
	g->duty.call = NULL;
}

static const struct h1cli_ops report_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
};

static void
report (struct group *g, const struct gstate_window *w, uint64_t now_ms)
{
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {.connect_ms = CONNECT_MS,
				.limits = {.user_timeout_ms = AGAIN_MS}};

	g->dialect->format_usage (w, g->set.name, g->raft.term, text);
	req.bytes = text->str;
	req.len = text->len;
	g->duty.call_window = w->number;
	g->duty.again_ms = now_ms + AGAIN_MS;
	g->duty.call = h1cli_start (&g->cloud, &req, &report_ops, g);
	g_string_free (text, TRUE);
}

/*
 * Whether this member may act.  A new leader waits for half of the lease, so
 * that within one lease no third turn can follow the second.
 */
bool
duty_may_act (struct group *g, uint64_t now_ms)
{
	if (!group_leads (g) || g->leaving) {
		g->duty.leading_ms = 0;
		return false;
	}
	if (g->duty.leading_ms == 0)
		g->duty.leading_ms = now_ms;
	return now_ms >= g->duty.leading_ms + g->set.lease_ms / 2 + 100 &&
	       raft_lease_until (&g->raft) > now_ms;
}

void
duty_tick (struct group *g, uint64_t now_ms)
{
	uint64_t window_ms = (uint64_t)(g->set.usage_window_s * 1000);
	uint64_t ended = tmr_wall_ms () / window_ms - 1;
	uint64_t since_ms = tmr_wall_ms () % window_ms;
	uint64_t late_ms = (uint64_t)(g->set.usage_late_s * 1000);
	uint64_t seal_ms = (uint64_t)(SEAL_PART * (double)late_ms);
	const struct gstate_window *w;

	winsum_drop (&g->duty.usage, g->state.sealed_window);
	if (!group_has_duty (g, "usage") || !duty_may_act (g, now_ms))
		return;
	if (g->duty.call != NULL && now_ms > g->duty.again_ms + ANSWER_MS) {
		h1cli_cancel (g->duty.call);
		g->duty.call = NULL;
	}
	if (g->state.sealed_window == 0 ||
	    (g->state.sealed_window < ended &&
	     (g->state.sealed_window + 1 < ended || since_ms >= seal_ms))) {
		if (now_ms >= g->duty.again_ms) {
			g->duty.again_ms = now_ms + AGAIN_MS / 2;
			seal (g, g->state.sealed_window == 0
					 ? ended
					 : g->state.sealed_window + 1);
		}
		return;
	}
	if (g->duty.call != NULL || now_ms < g->duty.again_ms)
		return;
	w = gstate_next_report (&g->state, &g->duty.told, tmr_wall_ms (),
				window_ms, late_ms);
	if (w != NULL)
		report (g, w, now_ms);
}
