/*
 * Servers and their kept connections.
 */
#include "h1cli_priv.h"

static void
on_sweep (void *ctx)
{
	struct h1cli_host *h = ctx;

	g_ptr_array_set_size (h->graves, 0);
}

/* Callers up the stack may still look at it, so it is freed a turn later. */
static void
conn_free (struct h1cli_conn *c)
{
	c->dead = true;
	g_ptr_array_add (c->host->graves, c);
	tmr_start (&c->host->sweep, 0);
}

static void
unlink_idle (struct h1cli_conn *c)
{
	if (c->link == NULL)
		return;
	g_queue_delete_link (&c->host->idle, c->link);
	c->link = NULL;
	if (c->host->pool != NULL)
		g_queue_unlink (&c->host->pool->idle, &c->pool_link);
}

void
h1cli_conn_keep (struct h1cli_conn *c)
{
	struct h1cli_host *h = c->host;

	g_queue_push_head (&h->idle, c);
	c->link = h->idle.head;
	c->pool_link.data = c;
	if (h->pool != NULL)
		g_queue_push_tail_link (&h->pool->idle, &c->pool_link);
}

void
h1cli_conn_made (struct h1cli_conn *c)
{
	struct h1cli_pool *p = c->host->pool;

	c->host->conns++;
	if (p == NULL)
		return;
	p->conns++;
	if (p->conns > p->max && p->idle.head != NULL)
		h1cli_conn_close (p->idle.head->data);
}

void
h1cli_conn_close (struct h1cli_conn *c)
{
	struct h1cli_host *h = c->host;

	unlink_idle (c);
	if (c->connecting != NULL)
		h2o_socket_close (c->connecting);
	c->connecting = NULL;
	/* A reset frees the server's place at once, whatever is unread. */
	if (c->call != NULL)
		sio_reset (&c->io);
	else
		sio_close (&c->io);
	h->conns--;
	if (h->pool != NULL)
		h->pool->conns--;
	conn_free (c);
}

uint32_t
h1cli_id_hash (const char *id)
{
	return MAX (g_str_hash (id), 1U);
}

/*
 * Whether an answer on @c to the request called @id could be an earlier one:
 * where it was sent there before, and where it has no id to compare.
 */
static bool
conn_had_id (const struct h1cli_conn *c, const char *id)
{
	uint32_t hash = id != NULL ? h1cli_id_hash (id) : 0;

	for (uint32_t i = 0; id != NULL && i < SENT_IDS; i++) {
		if (c->sent_ids[i] == hash)
			return true;
	}
	return id != NULL && id[0] == '\0';
}

/* The connection used last, if it is still likely to stand. */
struct h1cli_conn *
h1cli_conn_take (struct h1cli_host *h, uint32_t idle_max_ms, const char *id)
{
	uint64_t now_ms = tmr_now_ms ();

	for (GList *at = h->idle.head, *next; at != NULL; at = next) {
		struct h1cli_conn *c = at->data;
		uint64_t idle_ms = now_ms - c->idle_since_ms;

		next = at->next;
		if (idle_ms < c->keep_ms && idle_ms >= idle_max_ms)
			return NULL;
		if (idle_ms >= c->keep_ms || !sio_is_quiet (&c->io)) {
			h1cli_conn_close (c);
			continue;
		}
		if (conn_had_id (c, id))
			continue;
		unlink_idle (c);
		return c;
	}
	return NULL;
}

void
h1cli_host_init (struct h1cli_host *h, h2o_loop_t *loop,
		 const struct sockaddr_in *addr, struct in_addr from)
{
	*h = (struct h1cli_host){.loop = loop, .addr = *addr, .from = from};
	g_queue_init (&h->idle);
	h->calls = g_ptr_array_new ();
	h->graves = g_ptr_array_new_with_free_func (g_free);
	tmr_init (&h->sweep, loop, on_sweep, h);
}

void
h1cli_host_drop_idle (struct h1cli_host *h)
{
	while (h->idle.head != NULL)
		h1cli_conn_close (h->idle.head->data);
}

void
h1cli_host_finish (struct h1cli_host *h)
{
	for (guint i = h->calls->len; i > 0; i--)
		h1cli_cancel (g_ptr_array_index (h->calls, i - 1));
	h1cli_host_drop_idle (h);
	tmr_finish (&h->sweep);
	g_ptr_array_free (h->calls, TRUE);
	g_ptr_array_free (h->graves, TRUE);
}
