/*
 * Counters, in the Prometheus text format.
 */
#include "relayd.h"

static void
count (GString *out, const char *name, uint64_t value)
{
	g_string_append_printf (out, "dh_relay_%s %" G_GUINT64_FORMAT "\n",
				name, value);
}

void
stat_print (struct relay *r, GString *out)
{
	const struct relay_stats *s = &r->stats;
	uint64_t now_ms = tmr_now_ms ();

	count (out, "requests_total", s->requests);
	count (out, "served_total", s->served);
	count (out, "refused_total", s->refused);
	count (out, "passed_on_total", s->passed);
	count (out, "cut_total", s->cut);
	count (out, "caller_gone_total", s->gone);
	count (out, "sends_total", s->sends);
	count (out, "sends_again_total", s->retries);
	count (out, "sends_unsent_total", s->unsent);
	count (out, "probes_total", s->probes);
	count (out, "log_lines_dropped_total", log_dropped ());
	count (out, "calls", r->calls->len);
	count (out, "relays", r->relays);
	count (out, "endpoints_ready", fleet_ready_count (&r->fleet, now_ms));
	count (out, "list_age_ms", now_ms - r->list_ms);
	count (out, "version", r->plan != NULL ? r->plan->version : 0);
	frame_print_sent ("dh_relay_sent_bytes_total", r->sent_bytes, out);
	hist_print (&s->first_us, "dh_relay_first_byte_seconds", "", 1e6, out);
	hist_print (&s->whole_us, "dh_relay_answer_seconds", "", 1e6, out);
}
