/*
 * What client accounts used: counted as answers end, sent to control, and
 * mirrored to one peer, whose counts this entry keeps in turn.
 */
#include <string.h>

#include "entryd.h"
#include "log.h"

#define PUSH_TIMEOUT_MS 2500

/* A push on its way; @mirror: of a peer's counts. */
struct push {
	struct entry *e;
	uint64_t number;
	bool mirror;
};

/* An answer ended; a cut one is not billed, but its tokens were generated. */
void
usage_answered (struct req *r, bool whole)
{
	const char *klass = r->node.klass->def.name;
	uint32_t tokens = r->sse_made ? r->sse.tokens : 0;
	struct sm_counts n = {0};

	if (whole) {
		n.requests = 1;
		n.prompt_tokens = r->sse_made ? r->sse.prompt_tokens : 0;
		n.completion_tokens = tokens;
	} else {
		n.wasted_tokens = tokens;
	}
	usage_count (&r->e->usage, tmr_wall_ms (), r->account, klass, &n);
}

/* A request was refused, or ended without an answer. */
void
usage_refused (struct req *r)
{
	struct sm_counts n = {.refused = 1};

	if (r->sse_made)
		n.wasted_tokens = r->sse.tokens;
	usage_count (&r->e->usage, tmr_wall_ms (), r->account,
		     r->node.klass->def.name, &n);
}

static void
on_pushed (const struct err *err, const struct sm_reply *reply, void *ctx)
{
	struct push *p = ctx;
	bool ok = err == NULL && reply->kind == ERR_NONE;

	if (!ok)
		log_event (LOG_LV_DEBUG, "usage",
			   "push=%" G_GUINT64_FORMAT " why=\"%s\"", p->number,
			   err != NULL ? err->msg : reply->why);
	else if (reply->dropped > 0)
		log_event (LOG_LV_WARN, "usage",
			   "push=%" G_GUINT64_FORMAT
			   " dropped=%u why=\"window long sealed\"",
			   p->number, reply->dropped);
	if (p->mirror)
		usage_store_pushed (&p->e->usage_store, p->number, ok);
	else
		usage_pushed (&p->e->usage, p->number, ok);
	g_free (p);
}

static void
send_push (struct entry *e, uint64_t number, bool mirror,
	   const msgpack_sbuffer *buf)
{
	struct push *p = g_new0 (struct push, 1);

	p->e = e;
	p->number = number;
	p->mirror = mirror;
	conf_command_packed (e, SM_USAGE, buf->data, buf->size, PUSH_TIMEOUT_MS,
			     on_pushed, p);
}

/* The peer that keeps our counts: of our domain where one is in reach, and
 * the same one as long as the peers in reach are the same. */
static struct peer *
mirror_peer (struct entry *e)
{
	struct peer *best = NULL;
	uint64_t best_weight = 0;
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init (&it, e->peers);
	while (g_hash_table_iter_next (&it, NULL, &v)) {
		struct peer *p = v;
		uint64_t w = bb_rendezvous (e->set.name, p->name) >> 1;

		if (p->link == NULL || !link_is_up (p->link))
			continue;
		if (p->bb->inv != NULL &&
		    strcmp (p->bb->inv->domain, e->set.domain) == 0)
			w |= 1ULL << 63;
		if (best == NULL || w > best_weight) {
			best = p;
			best_weight = w;
		}
	}
	return best;
}

static void
mirror_tick (struct entry *e, uint64_t now_ms, msgpack_sbuffer *buf)
{
	struct peer *p;

	if (!usage_mirror_due (&e->usage, now_ms))
		return;
	p = mirror_peer (e);
	if (p == NULL)
		return;
	/* A connection lost frames that it had not delivered. */
	if (p->link != e->usage_link) {
		usage_mirror_again (&e->usage);
		e->usage_link = p->link;
	}
	if (usage_mirror (&e->usage, now_ms, tmr_wall_ms (), buf) &&
	    !link_send_raw (p->link, FRAME_USAGE_MIRROR, buf->data, buf->size))
		e->usage_link = NULL;
}

void
usage_tick (struct entry *e, uint64_t now_ms)
{
	uint64_t wall_ms = tmr_wall_ms (), number;
	msgpack_sbuffer buf;

	if (e->inv != NULL)
		usage_set_window (&e->usage, e->inv->settings.window_s);
	msgpack_sbuffer_init (&buf);
	mirror_tick (e, now_ms, &buf);
	msgpack_sbuffer_clear (&buf);
	number = usage_push (&e->usage, now_ms, wall_ms, &buf);
	if (number != 0)
		send_push (e, number, false, &buf);
	msgpack_sbuffer_clear (&buf);
	number = usage_store_push (&e->usage_store, now_ms, wall_ms, &buf);
	if (number != 0)
		send_push (e, number, true, &buf);
	msgpack_sbuffer_destroy (&buf);
}

void
usage_take (struct entry *e, struct link *l, const void *body, size_t len)
{
	struct err err = {0};

	if (!usage_store_take (&e->usage_store, tmr_now_ms (), body, len, &err))
		link_close (l, err.msg);
}

/* A link came or went: frames on it before then may be lost. */
void
usage_link_change (struct entry *e, const struct link *l)
{
	if (e->usage_link == l)
		e->usage_link = NULL;
}
