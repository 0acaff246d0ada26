/*
 * Metrics in the Prometheus text format.
 */
#include "fleet_pace.h"
#include "relayd.h"

static void
print_counter (GString *out, const char *name, uint64_t value)
{
	g_string_append_printf (out, "dh_relay_%s %" G_GUINT64_FORMAT "\n",
				name, value);
}

void
metrics_print (struct relay *r, GString *out)
{
	const struct relay_stats *s = &r->stats;
	uint64_t now_ms = tmr_now_ms ();

	print_counter (out, "requests_total", s->requests);
	print_counter (out, "served_total", s->served);
	print_counter (out, "refused_total", s->refused);
	print_counter (out, "passed_on_total", s->passed_on);
	print_counter (out, "cut_total", s->cut);
	print_counter (out, "caller_gone_total", s->client_gone);
	print_counter (out, "sends_total", s->attempts);
	print_counter (out, "sends_again_total", s->retries);
	print_counter (out, "answers_dropped_total", s->dropped);
	print_counter (out, "barred_total", s->barred);
	print_counter (out, "barred_keys", r->blame.barred);
	print_counter (out, "streams_continued_total", s->continued);
	print_counter (out, "sends_unsent_total", s->connect_failed);
	print_counter (out, "probes_total", s->probes);
	print_counter (out, "log_lines_dropped_total", log_dropped ());
	print_counter (out, "calls", r->calls->len);
	print_counter (out, "waiting", r->waiting.length);
	print_counter (out, "waiting_tokens", queue_waiting_tokens (r));
	print_counter (out, "engines_short", r->dispatch.is_short);
	print_counter (out, "relays", r->relay_count);
	print_counter (out, "endpoints_ready",
		       fleet_ready_count (&r->fleet, now_ms));
	print_counter (out, "endpoints_paced", fleet_paced_count (&r->fleet));
	print_counter (out, "out_of_touch_total", r->watch.lost);
	print_counter (out, "out_of_touch_ms",
		       r->watch.out_since_ms != 0 ? r->watch.out_ms : 0);
	print_counter (out, "list_age_ms", now_ms - r->list_read_ms);
	print_counter (out, "version", r->plan != NULL ? r->plan->version : 0);
	print_counter (out, "config_requests_total", r->config.requests);
	print_counter (out, "config_received_bytes_total",
		       r->config.wire_bytes);
	quota_print (&r->quota, "dh_relay", out);
	relay_rollout_print (r, out);
	frame_print_sent ("dh_relay_sent_bytes_total", r->sent_bytes, out);
	hist_print (&s->first_byte_us, "dh_relay_first_byte_seconds", "", 1e6,
		    out);
	hist_print (&s->total_us, "dh_relay_answer_seconds", "", 1e6, out);
}
