/*
 * What an instance concludes from datagrams, and how contradicting news are
 * weighed.
 */
#include <string.h>

#include "log.h"
#include "memb_priv.h"

/* Sends of one piece of news, times the logarithm of the instances. */
#define SPREAD_FACTOR 3
/* The platform's word that an instance leaves shortens suspicion so much. */
#define LEAVING_DIVISOR 4

static uint32_t
spread_count (const struct memb *m)
{
	uint32_t log2 = 1;

	for (guint n = m->peers->len + 1; n > 1; n >>= 1)
		log2++;
	return SPREAD_FACTOR * log2;
}

uint32_t
memb_suspicion_ms (const struct memb *m, const struct memb_peer *p)
{
	return p->listed == MEMB_LISTED_LEAVING
		       ? m->set.suspect_ms / LEAVING_DIVISOR
		       : m->set.suspect_ms;
}

void
memb_set_state (struct memb *m, struct memb_peer *p, enum memb_state state,
		uint64_t incarnation, const char *why, uint64_t now_ms)
{
	enum memb_state was = p->state;
	bool first = p->incarnation == 0;

	p->state = state;
	p->incarnation = incarnation;
	/*
	 * One never heard of, or heard of for the first time, is no news: its
	 * own probes, and the parts that differ, tell of it.
	 */
	p->spread_left = first ? 0 : spread_count (m);
	p->suspect_ms =
		state == MEMB_SUSPECT ? now_ms + memb_suspicion_ms (m, p) : 0;
	p->accuse = false;
	if (!first)
		memb_news (m, now_ms);
	if (was == state)
		return;
	p->changed_ms = now_ms;
	log_event (LOG_LV_INFO, "member",
		   "name=%s state=%s was=%s incarnation=%" G_GUINT64_FORMAT
		   " why=%s",
		   p->name, memb_state_name (state), memb_state_name (was),
		   incarnation, why);
	m->ops->changed (p, was, m->ctx);
}

/*
 * Takes news of an instance: a higher incarnation wins, and at an equal one
 * the worse state, which only the instance itself can answer by a higher one.
 * Word of a death is a suspicion to one who ever heard of it: after a cut each
 * side would else bury those whom it sees to live.
 */
static void
learn (struct memb *m, struct memb_peer *p, enum memb_state state,
       uint64_t incarnation, const char *why, uint64_t now_ms)
{
	bool doubted = state == MEMB_DEAD && p->state == MEMB_ALIVE;

	if (state == MEMB_DEAD && p->state <= MEMB_SUSPECT &&
	    p->incarnation != 0)
		state = MEMB_SUSPECT;
	if (incarnation < p->incarnation ||
	    (incarnation == p->incarnation && state <= p->state))
		return;
	memb_set_state (m, p, state, incarnation, why, now_ms);
	if (doubted) {
		/* Its time starts when it is asked, and others ask too. */
		p->accuse = true;
		p->suspect_ms = 0;
		p->spread_left = 0;
	}
}

/* Somebody holds this instance to be gone, or to be a later start of it. */
static void
refute (struct memb *m, const struct memb_update *u)
{
	bool wrong = u->state != MEMB_ALIVE && !m->leaving;

	if (u->incarnation > m->incarnation ||
	    (u->incarnation == m->incarnation && wrong)) {
		m->incarnation = u->incarnation + 1;
		log_event (LOG_LV_INFO, "refute",
			   "said=%s incarnation=%" G_GUINT64_FORMAT,
			   memb_state_name ((enum memb_state)u->state),
			   m->incarnation);
	}
}

static void
take_updates (struct memb *m, const struct memb_msg *msg, uint64_t now_ms)
{
	const struct memb_update *u = msg->updates.items;

	for (uint32_t i = 0; i < msg->updates.count; i++, u++) {
		struct memb_peer *p = memb_lookup (m, u->name);

		if (u->state > MEMB_LEFT || u->incarnation == 0)
			continue;
		if (p != NULL)
			learn (m, p, (enum memb_state)u->state, u->incarnation,
			       msg->from, now_ms);
		else if (strcmp (u->name, m->name) == 0)
			refute (m, u);
	}
}

static void
take_domain_age (struct memb *m, const struct memb_msg *msg, uint64_t now_ms)
{
	struct memb_domain *d = memb_domain_of (m, msg->domain);

	if (d != NULL && msg->age_ms < now_ms &&
	    d->heard_ms < now_ms - msg->age_ms)
		d->heard_ms = now_ms - msg->age_ms;
}

/* What a datagram proves about its sender. */
static void
take_sender (struct memb *m, struct memb_peer *from, const struct memb_msg *msg,
	     uint64_t now_ms)
{
	struct memb_domain *d = memb_domain_of (m, from->domain);

	if (d != NULL)
		d->heard_ms = now_ms;
	learn (m, from, msg->state == MEMB_LEFT ? MEMB_LEFT : MEMB_ALIVE,
	       msg->incarnation, "heard", now_ms);
}

/* Remembers for whom a probe is made, over the oldest one where full. */
static void
relay_add (struct memb *m, uint32_t seq, const struct memb_msg *msg,
	   uint64_t now_ms)
{
	struct memb_relay *r = &m->relays[0];

	for (int i = 1; i < MEMB_RELAYS_MAX; i++) {
		if (m->relays[i].until_ms < r->until_ms)
			r = &m->relays[i];
	}
	r->seq = seq;
	r->for_seq = msg->seq;
	memcpy (r->for_name, msg->from, sizeof r->for_name);
	r->until_ms = now_ms + m->set.probe_ms;
}

static void
relay_answer (struct memb *m, const struct memb_msg *msg, uint64_t now_ms)
{
	for (int i = 0; i < MEMB_RELAYS_MAX; i++) {
		struct memb_relay *r = &m->relays[i];
		struct memb_peer *to;

		if (r->until_ms < now_ms || r->seq != msg->seq)
			continue;
		to = memb_lookup (m, r->for_name);
		if (to != NULL)
			memb_send (m, to, MEMB_ACK, r->for_seq, msg->from,
				   now_ms);
		r->until_ms = 0;
	}
}

static void
take_ack (struct memb *m, const struct memb_msg *msg, uint64_t now_ms)
{
	const char *about = *msg->about != '\0' ? msg->about : msg->from;

	if (msg->seq == m->probe.seq && strcmp (about, m->probe.name) == 0)
		m->probe.name[0] = '\0';
	if (*msg->about == '\0')
		relay_answer (m, msg, now_ms);
}

static void
take_ask (struct memb *m, const struct memb_msg *msg, uint64_t now_ms)
{
	struct memb_peer *p = memb_lookup (m, msg->about);

	if (p == NULL)
		return;
	relay_add (m, ++m->seq, msg, now_ms);
	memb_send (m, p, MEMB_PING, m->seq, NULL, now_ms);
}

bool
memb_receive (struct memb *m, const void *data, size_t len, uint64_t now_ms,
	      struct err *e)
{
	msgpack_zone zone;
	struct memb_msg msg;
	struct memb_peer *from;
	bool ok;

	msgpack_zone_init (&zone, MEMB_DATAGRAM_BYTES);
	ok = memb_open (m, data, len, &msg, &zone, e);
	from = ok ? memb_lookup (m, msg.from) : NULL;
	/* One that the inventory does not list yet is not answered. */
	if (from != NULL && msg.incarnation != 0) {
		take_sender (m, from, &msg, now_ms);
		take_updates (m, &msg, now_ms);
		take_domain_age (m, &msg, now_ms);
		if (msg.type == MEMB_PING)
			memb_answer (m, from, &msg, now_ms);
		else if (msg.type == MEMB_ACK)
			take_ack (m, &msg, now_ms);
		else if (msg.type == MEMB_ASK)
			take_ask (m, &msg, now_ms);
	}
	msgpack_zone_destroy (&zone);
	return ok;
}
