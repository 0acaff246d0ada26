/*
 * The configuration: which member its text is fetched from, and what changes
 * when a newer one is taken into use.
 */
#include "relayd.h"

static uint64_t
held_version (const struct relay *r)
{
	return r->plan != NULL ? r->plan->version : 0;
}

static bool
is_wanted (const struct relay *r, uint64_t version)
{
	return version > held_version (r) &&
	       version != r->config.unusable_version;
}

/* Sends what may be requested of the member that is the source. */
static void
send_requests (struct relay *r, struct group_member *m)
{
	struct gmsg_request a = {.plan = true, .chunked = true};

	while (planfetch_next (&r->config.fetch, &a.version, &a.offset)) {
		r->config.requests++;
		link_send (m->link, FRAME_GROUP_ASK, gmsg_request_fields, &a);
	}
}

static const struct group_member *
source_of (const struct relay *r)
{
	return r->config.fetch.source.peer;
}

static void
ask (struct relay *r, struct group_member *m, uint64_t now_ms)
{
	const struct planfetch *f = &r->config.fetch;

	planfetch_ask (&r->config.fetch, m, now_ms);
	log_event (LOG_LV_INFO, "config-request",
		   "newer=%" G_GUINT64_FORMAT
		   " to=%s version=%" G_GUINT64_FORMAT
		   " offset=%u of=%u stall_ms=%u",
		   m->config_version, m->addr, f->version, f->text->len,
		   f->text_bytes, f->source.stall_ms);
	send_requests (r, m);
}

/* Asks a member that holds a newer configuration, preferably not the one that
 * was asked last.  Each relay starts its search at a different member, to
 * spread the load when many of them lose a member at once. */
static void
ask_any (struct relay *r, uint64_t now_ms)
{
	const struct group_member *last = source_of (r);
	struct group_member *found = NULL;

	for (guint i = 0; i < r->members->len; i++) {
		struct group_member *m = g_ptr_array_index (
			r->members, (r->name_hash + i) % r->members->len);

		if (!link_is_up (m->link) ||
		    !is_wanted (r, m->config_version) ||
		    !member_is_authoritative (r, m, now_ms))
			continue;
		found = m;
		if (m != last)
			break;
	}
	if (found != NULL)
		ask (r, found, now_ms);
}

void
config_note_state (struct relay *r, struct group_member *m, uint64_t now_ms)
{
	bool believed = member_is_authoritative (r, m, now_ms);

	source_note_state (&r->config.fetch.source, m);
	if (!is_wanted (r, m->config_version))
		return;
	if (r->config.behind_since_ms == 0) {
		r->config.behind_since_ms = now_ms;
		log_event (LOG_LV_INFO, "config-behind",
			   "version=%" G_GUINT64_FORMAT
			   " newer=%" G_GUINT64_FORMAT " from=%s believed=%d",
			   held_version (r), m->config_version, m->addr,
			   believed);
	}
	if (believed && source_of (r) == NULL &&
	    !planjob_is_active (&r->config.job))
		ask (r, m, now_ms);
}

void
config_tick (struct relay *r, uint64_t now_ms)
{
	if (source_of (r) != NULL &&
	    !member_is_answering (&r->config.fetch.source, now_ms))
		ask_any (r, now_ms);
}

void
config_member_down (struct relay *r, struct group_member *m)
{
	if (source_of (r) != m)
		return;
	source_drop (&r->config.fetch.source, m);
	ask_any (r, tmr_now_ms ());
}

static void
apply_limits (struct relay *r, const struct plan *p)
{
	if (p->limits.max_header_bytes > 0)
		r->front.limits.max_header_bytes = p->limits.max_header_bytes;
	if (p->limits.max_body_bytes > 0)
		r->front.limits.max_body_bytes = p->limits.max_body_bytes;
	if (p->limits.header_timeout_ms > 0)
		r->front.limits.header_timeout_ms = p->limits.header_timeout_ms;
	if (p->limits.idle_timeout_ms > 0)
		r->front.limits.idle_timeout_ms = p->limits.idle_timeout_ms;
}

/* A text was parsed: takes it into use, and asks for a newer one if a member
 * has named it meanwhile. */
static void
on_parsed (struct plan *p, const struct err *e, GBytes *text, void *ctx)
{
	struct relay *r = ctx;
	uint64_t now_ms = tmr_now_ms (), behind_ms = 0;

	if (p == NULL) {
		r->config.unusable_version = r->config.job_version;
		log_event (LOG_LV_ERROR, "config", "why=\"%s\"", e->msg);
		ask_any (r, now_ms);
		return;
	}
	plan_unref (r->plan);
	r->plan = p;
	apply_limits (r, p);
	if (r->config.behind_since_ms != 0)
		behind_ms = now_ms - r->config.behind_since_ms;
	r->config.behind_since_ms = 0;
	log_event (LOG_LV_INFO, "config",
		   "version=%" G_GUINT64_FORMAT " from=%s "
		   "behind_ms=%" G_GUINT64_FORMAT " bytes=%u"
		   " routes=%u services=%u accounts=%u needs_keys=%d",
		   p->version, r->config.from, behind_ms,
		   (unsigned)g_bytes_get_size (text), p->routes->len,
		   p->services->len, p->accounts->len, p->needs_keys);
	ask_any (r, now_ms);
}

static void
parse (struct relay *r, const struct group_member *from, uint64_t version,
       GBytes *text)
{
	r->config.job_version = version;
	g_strlcpy (r->config.from, from->addr, sizeof r->config.from);
	planjob_start (&r->config.job, text);
	g_bytes_unref (text);
}

void
config_receive_whole (struct relay *r, struct group_member *m,
		      const struct gmsg_plan *g)
{
	r->config.wire_bytes += g->text.len;
	if (!is_wanted (r, g->version) || planjob_is_active (&r->config.job))
		return;
	planfetch_reset (&r->config.fetch);
	parse (r, m, g->version, g_bytes_new (g->text.data, g->text.len));
}

void
config_receive_chunk (struct relay *r, struct group_member *m,
		      const struct plantext_chunk *c, uint32_t wire_bytes)
{
	struct planfetch *f = &r->config.fetch;
	struct err e = {0};

	r->config.wire_bytes += wire_bytes;
	if (planjob_is_active (&r->config.job))
		return;
	switch (planfetch_receive (f, m, c, held_version (r), wire_bytes,
				   tmr_now_ms (), &e)) {
	case PLANFETCH_IGNORED:
		break;
	case PLANFETCH_MORE:
		if (source_of (r) == m)
			send_requests (r, m);
		break;
	case PLANFETCH_WHOLE:
		parse (r, m, c->version, planfetch_take (f));
		break;
	case PLANFETCH_BROKEN:
		log_event (LOG_LV_ERROR, "config-chunk", "from=%s why=\"%s\"",
			   m->addr, e.msg);
		break;
	}
}

void
config_init (struct relay *r)
{
	planfetch_init (&r->config.fetch);
	planjob_init (&r->config.job, r->daemon.loop, r->dialect, on_parsed, r);
}

void
config_finish (struct relay *r)
{
	planfetch_finish (&r->config.fetch);
	planjob_finish (&r->config.job);
}
