/*
 * Loads: the sums that this member sends to the relays that report to it.
 */
#include "groupd.h"

/* Least interval between two load messages to a relay, and most load messages a
 * second to all relays together, so that the work of the member that sums loads
 * does not grow with the number of relays. */
#define LOADS_MIN_INTERVAL_MS 25
#define LOADS_MSGS_PER_S 2000

/* A relay that receives no loads for long assumes that its peers have none, so
 * an empty message is sent at this interval. */
#define LOADS_KEEPALIVE_MS 500

/* Relays choose endpoints by the loads of their peers, so loads are sent within
 * a fraction of the time that the prefill of a prompt takes. */
static uint64_t
loads_interval_ms (struct group *g)
{
	return MAX (LOADS_MIN_INTERVAL_MS,
		    peer_relay_count (g) * 1000 / LOADS_MSGS_PER_S);
}

static void
send_loads_to (struct group *g, struct accepted_link *a, uint64_t now_ms)
{
	GArray *list = g_array_new (FALSE, FALSE, sizeof (struct load));
	GArray *parts =
		g_array_new (FALSE, FALSE, sizeof (struct load_segment));
	GArray *speeds = g_array_new (FALSE, FALSE, sizeof (struct load_speed));
	GArray *waiting =
		g_array_new (FALSE, FALSE, sizeof (struct load_waiting));
	struct loads_msg m = {0};
	bool waiting_changed = loads_peer_waiting (&g->loads, a, waiting);

	loads_peer_speeds (&g->loads, a, speeds);
	loads_peer_segments (&g->loads, a, parts);
	m.is_delta = loads_peer_loads (&g->loads, a, list);
	m.segments.items = parts->data;
	m.segments.count = parts->len;
	m.speeds.items = speeds->data;
	m.speeds.count = speeds->len;
	m.waiting.items = waiting->data;
	m.waiting.count = waiting->len;
	m.loads.items = list->data;
	m.loads.count = list->len;
	/* Without a change, a message is only a keepalive. */
	if (!m.is_delta || parts->len > 0 || list->len > 0 || speeds->len > 0 ||
	    waiting_changed ||
	    now_ms - a->loads_sent_ms >= LOADS_KEEPALIVE_MS) {
		a->loads_sent_ms = now_ms;
		if (!link_send (a->link, FRAME_GROUP_OTHERS, loads_msg_fields,
				&m))
			loads_want_snapshot (&g->loads, a);
	}
	g_array_free (list, TRUE);
	g_array_free (parts, TRUE);
	g_array_free (speeds, TRUE);
	g_array_free (waiting, TRUE);
}

void
peer_send_loads (struct group *g, uint64_t now_ms)
{
	uint64_t interval_ms =
		g->loads_changed ? loads_interval_ms (g) : LOADS_KEEPALIVE_MS;

	if (now_ms - g->loads_sent_ms < interval_ms)
		return;
	g->loads_changed = false;
	g->loads_sent_ms = now_ms;
	for (guint i = 0; i < g->accepted->len; i++) {
		struct accepted_link *a = g_ptr_array_index (g->accepted, i);

		if (loads_has_relay (&g->loads, a))
			send_loads_to (g, a, now_ms);
	}
	loads_clear_segments (&g->loads);
}
