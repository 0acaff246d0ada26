/*
 * Usage windows.  Relays report the requests they counted, and the leader seals
 * the sum in the replicated log.  It reports only sealed windows to the
 * platform, so that no two reports of a window differ.
 */
#include "groupd.h"

/* Fraction of the time until a report is due for which late counts are awaited;
 * the rest is left for the log and the platform. */
#define SEAL_DELAY_FRACTION 0.4

/* Delay before a report that was not answered is sent again. */
#define RETRY_MS 1000
#define ANSWER_TIMEOUT_MS 3000
#define CONNECT_TIMEOUT_MS 500

void
usage_report_init (struct group *g)
{
	winsum_init (&g->usage_report.sums);
}

void
usage_report_finish (struct group *g)
{
	winsum_finish (&g->usage_report.sums);
}

void
usage_report_receive (struct group *g, const struct link *l,
		      const struct gmsg_report *r)
{
	char *key =
		g_strdup_printf ("%s/%" G_GUINT64_FORMAT, link_peer_name (l),
				 link_peer_incarnation (l));

	winsum_set_report (&g->usage_report.sums, key, r);
	g_free (key);
}

static void
seal (struct group *g, uint64_t number)
{
	GArray *sum = winsum_total (&g->usage_report.sums, number);
	struct gstate_window cmd = {.number = number};
	msgpack_sbuffer buf;
	uint64_t index, requests = 0;
	struct err e = {0};

	for (guint i = 0; i < sum->len; i++)
		requests +=
			g_array_index (sum, struct gstate_count, i).requests;
	cmd.counts.items = sum->data;
	cmd.counts.count = sum->len;
	msgpack_sbuffer_init (&buf);
	gstate_encode (GSTATE_WINDOW, &cmd, &buf);
	if (raft_propose (&g->raft, buf.data, buf.size, &index, &e))
		log_event (LOG_LV_INFO, "seal",
			   "window=%" G_GUINT64_FORMAT
			   " accounts=%u requests=%" G_GUINT64_FORMAT,
			   number, sum->len, requests);
	else
		log_event (LOG_LV_WARN, "seal", "why=\"%s\"", e.msg);
	msgpack_sbuffer_destroy (&buf);
	g_array_free (sum, TRUE);
	group_schedule_flush (g);
}

static void
report_accepted (struct group *g)
{
	gstate_mark_reported (&g->usage_report.reported,
			      g->usage_report.call_window);
	g->usage_report.retry_at_ms = 0;
}

static bool
may_send (void *ctx)
{
	struct group *g = ctx;

	return g->usage_report.call_term == g->raft.term && group_may_act (g);
}

static void
on_head (struct h1cli *x, const struct h1_head *h, bool echoed, void *ctx)
{
	struct group *g = ctx;

	(void)x;
	(void)echoed;
	log_event (LOG_LV_INFO, "usage-report",
		   "window=%" G_GUINT64_FORMAT " status=%d",
		   g->usage_report.call_window, h->status);
	if (h->status == 200)
		report_accepted (g);
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
	g->usage_report.call = NULL;
}

static const struct h1cli_ops report_ops = {
	.head = on_head,
	.data = on_data,
	.done = on_done,
	.may_send = may_send,
};

static void
send_report (struct group *g, const struct gstate_window *w, uint64_t now_ms)
{
	GString *text = g_string_new (NULL);
	struct h1cli_req req = {.connect_ms = CONNECT_TIMEOUT_MS,
				.limits = {.user_timeout_ms = RETRY_MS}};

	g->dialect->format_usage (w, g->set.name, g->raft.term, text);
	req.bytes = text->str;
	req.len = text->len;
	g->usage_report.call_window = w->number;
	g->usage_report.call_term = g->raft.term;
	g->usage_report.retry_at_ms = now_ms + RETRY_MS;
	g->usage_report.call = h1cli_start (&g->platform, &req, &report_ops, g);
	g_string_free (text, TRUE);
}

/* A new leader waits for half of a lease first, so that no more than two
 * leaders can act within one lease. */
bool
group_may_act (struct group *g)
{
	/* The time of the tick is from before the disk held up a write. */
	uint64_t now_ms = tmr_now_ms ();

	if (!group_is_leader (g) || g->leaving) {
		g->usage_report.leader_since_ms = 0;
		return false;
	}
	if (g->usage_report.leader_since_ms == 0 ||
	    g->usage_report.leader_term != g->raft.term)
		g->usage_report.leader_since_ms = now_ms;
	g->usage_report.leader_term = g->raft.term;
	return now_ms >= g->usage_report.leader_since_ms + g->set.lease_ms / 2 +
				 100 &&
	       raft_lease_until (&g->raft) > now_ms;
}

void
usage_report_tick (struct group *g, uint64_t now_ms)
{
	uint64_t window_ms = (uint64_t)(g->set.usage_window_s * 1000);
	uint64_t last_ended = tmr_wall_ms () / window_ms - 1;
	uint64_t since_end_ms = tmr_wall_ms () % window_ms;
	uint64_t late_ms = (uint64_t)(g->set.usage_late_s * 1000);
	uint64_t seal_delay_ms =
		(uint64_t)(SEAL_DELAY_FRACTION * (double)late_ms);
	const struct gstate_window *w;

	winsum_drop (&g->usage_report.sums, g->state.sealed_window);
	if (!group_has_duty (g, "usage") || !group_may_act (g))
		return;
	if (g->usage_report.call != NULL &&
	    now_ms > g->usage_report.retry_at_ms + ANSWER_TIMEOUT_MS) {
		h1cli_cancel (g->usage_report.call);
		g->usage_report.call = NULL;
	}
	if (g->state.sealed_window == 0 ||
	    (g->state.sealed_window < last_ended &&
	     (g->state.sealed_window + 1 < last_ended ||
	      since_end_ms >= seal_delay_ms))) {
		if (now_ms >= g->usage_report.retry_at_ms) {
			g->usage_report.retry_at_ms = now_ms + RETRY_MS / 2;
			seal (g, g->state.sealed_window == 0
					 ? last_ended
					 : g->state.sealed_window + 1);
		}
		return;
	}
	if (g->usage_report.call != NULL ||
	    now_ms < g->usage_report.retry_at_ms)
		return;
	w = gstate_next_report (&g->state, &g->usage_report.reported,
				tmr_wall_ms (), window_ms, late_ms);
	if (w != NULL)
		send_report (g, w, now_ms);
}
