/*
 * Requests of operators that are answered later: their caller may go before
 * the answer comes.
 */
#include "controld.h"

static void
on_request_gone (void *p)
{
	struct waiting **own = p;

	if (*own != NULL)
		(*own)->req = NULL;
}

struct waiting *
waiting_new (struct control *c, h2o_req_t *req)
{
	struct waiting *w = g_new0 (struct waiting, 1);

	w->c = c;
	w->req = req;
	w->asked_ms = tmr_now_ms ();
	w->own = h2o_mem_alloc_shared (&req->pool, sizeof (struct waiting *),
				       on_request_gone);
	*w->own = w;
	return w;
}

h2o_req_t *
waiting_end (struct waiting *w)
{
	h2o_req_t *req = w->req;

	if (req != NULL)
		*w->own = NULL;
	g_free (w);
	return req;
}

void
waiting_poll (struct waiting *w,
	      bool (*poll) (struct waiting *w, uint64_t now_ms))
{
	w->poll = poll;
	g_ptr_array_add (w->c->waits, w);
}

void
waiting_tick (struct control *c, uint64_t now_ms)
{
	for (guint i = c->waits->len; i-- > 0;) {
		struct waiting *w = g_ptr_array_index (c->waits, i);

		if (!w->poll (w, now_ms))
			g_ptr_array_remove_index_fast (c->waits, i);
	}
}
