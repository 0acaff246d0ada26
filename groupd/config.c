/*
 * Configurations that relays fetch.
 */
#include "groupd.h"

void
group_config_init (struct group *g)
{
	plantext_store_init (&g->texts);
}

void
group_config_finish (struct group *g)
{
	plantext_store_finish (&g->texts);
}

/* For relays of older versions, which do not request chunks. */
static void
send_whole (struct group *g, struct link *l)
{
	struct gmsg_plan m = {.version = g->state.version};
	gsize len = 0;

	if (g->state.text == NULL)
		return;
	m.text.data = g_bytes_get_data (g->state.text, &len);
	m.text.len = (uint32_t)len;
	link_send (l, FRAME_GROUP_PLAN, gmsg_plan_fields, &m);
}

void
group_config_send (struct group *g, struct link *l,
		   const struct gmsg_request *a, uint64_t now_ms)
{
	struct plantext_chunk c;

	if (!a->chunked)
		send_whole (g, l);
	else if (plantext_store_chunk (&g->texts, a->version, a->offset,
				       g->state.version, g->state.text, now_ms,
				       &c))
		link_send (l, FRAME_GROUP_CHUNK, plantext_chunk_fields, &c);
}
