/*
 * Membership datagrams: a keyed hash and a message.  What else a datagram
 * carries is chosen here: news first, then, where the receiver's view differs,
 * a part of the whole view.
 */
#include <sodium.h>
#include <string.h>

#include "memb_priv.h"

/* Keeps a datagram's hash from being good for anything else of ours. */
static const uint8_t purpose[] = "memb";

/* Instances in one part of a view; its digest goes with each datagram. */
#define PART_PEERS 8

static const struct msg_field update_fields[] = {
	MSG_FIELD (1, MSG_STR, struct memb_update, name),
	MSG_FIELD (2, MSG_U8, struct memb_update, state),
	MSG_FIELD (3, MSG_U64, struct memb_update, incarnation),
	MSG_FIELD_END,
};

static const struct msg_field msg_fields[] = {
	MSG_FIELD (1, MSG_U8, struct memb_msg, type),
	MSG_FIELD (2, MSG_U32, struct memb_msg, seq),
	MSG_FIELD (3, MSG_STR, struct memb_msg, from),
	MSG_FIELD (4, MSG_U8, struct memb_msg, state),
	MSG_FIELD (5, MSG_U64, struct memb_msg, incarnation),
	MSG_FIELD (6, MSG_U32, struct memb_msg, view),
	MSG_FIELD (12, MSG_U16, struct memb_msg, part),
	MSG_FIELD (13, MSG_U16, struct memb_msg, parts),
	MSG_FIELD (7, MSG_STR, struct memb_msg, about),
	MSG_FIELD (8, MSG_STR, struct memb_msg, domain),
	MSG_FIELD (9, MSG_U32, struct memb_msg, age_ms),
	MSG_FIELD (11, MSG_STR, struct memb_msg, want),
	MSG_FIELD_LIST (10, struct memb_msg, updates, struct memb_update,
			update_fields, MEMB_UPDATES_MAX),
	MSG_FIELD_END,
};

static void
mac_make (const struct memb *m, const void *body, size_t len,
	  uint8_t mac[MEMB_MAC_BYTES])
{
	crypto_generichash_state h;

	crypto_generichash_init (&h, m->key, sizeof m->key, MEMB_MAC_BYTES);
	crypto_generichash_update (&h, purpose, sizeof purpose);
	crypto_generichash_update (&h, body, len);
	crypto_generichash_final (&h, mac, MEMB_MAC_BYTES);
}

bool
memb_open (const struct memb *m, const void *data, size_t len,
	   struct memb_msg *msg, msgpack_zone *zone, struct err *e)
{
	const uint8_t *body = (const uint8_t *)data + MEMB_MAC_BYTES;
	uint8_t mac[MEMB_MAC_BYTES];

	if (len <= MEMB_MAC_BYTES || len > MEMB_DATAGRAM_BYTES)
		return err_set (e, ERR_PROTOCOL, "datagram of %zu bytes", len);
	mac_make (m, body, len - MEMB_MAC_BYTES, mac);
	if (sodium_memcmp (mac, data, sizeof mac) != 0)
		return err_set (e, ERR_AUTH, "datagram with a wrong hash");
	return msg_unpack (msg_fields, body, len - MEMB_MAC_BYTES, msg, zone,
			   e);
}

/* One instance's digest; a suspect counts as alive, to spare repairs. */
static uint32_t
digest_one (const char *name, enum memb_state state, uint64_t incarnation)
{
	uint64_t h = g_str_hash (name) ^ (incarnation << 2);

	h ^= state == MEMB_SUSPECT ? MEMB_ALIVE : (uint64_t)state;
	h *= 0x9e3779b97f4a7c15ULL;
	return (uint32_t)(h >> 32);
}

static bool
in_part (const char *name, const struct memb_msg *msg)
{
	return g_str_hash (name) % msg->parts == msg->part;
}

/* The digest of what this instance believes of one part. */
static uint32_t
digest_part (const struct memb *m, const struct memb_msg *part)
{
	uint32_t view = 0;

	if (in_part (m->name, part))
		view = digest_one (m->name, m->leaving ? MEMB_LEFT : MEMB_ALIVE,
				   m->incarnation);
	for (guint i = 0; i < m->peers->len; i++) {
		const struct memb_peer *p = m->peers->pdata[i];

		if (p->incarnation != 0 && in_part (p->name, part))
			view ^= digest_one (p->name, p->state, p->incarnation);
	}
	return view;
}

/*
 * The whole view would differ nearly always in a large group, and say nothing
 * of where; a part is small enough to be sent where it differs.
 */
static void
add_part (const struct memb *m, struct memb_msg *msg)
{
	msg->parts = (uint16_t)(1 + m->peers->len / PART_PEERS);
	msg->part = (uint16_t)(g_rand_int (m->rand) % msg->parts);
	msg->view = digest_part (m, msg);
}

/* The updates chosen for one datagram. */
struct chosen {
	struct memb_update list[MEMB_UPDATES_MAX];
	uint32_t count;
	uint32_t max;
};

static bool
is_chosen (const struct chosen *c, const struct memb_peer *p)
{
	for (uint32_t i = 0; i < c->count; i++) {
		if (strcmp (c->list[i].name, p->name) == 0)
			return true;
	}
	return false;
}

static void
choose (struct chosen *c, const struct memb_peer *p, enum memb_state state)
{
	struct memb_update *u = &c->list[c->count];

	if (c->count == c->max || is_chosen (c, p))
		return;
	memcpy (u->name, p->name, sizeof u->name);
	u->state = (uint8_t)state;
	u->incarnation = p->incarnation;
	c->count++;
}

static struct memb_peer *
most_to_spread (const struct memb *m, const struct chosen *c)
{
	struct memb_peer *best = NULL;

	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p = m->peers->pdata[i];

		if (p->spread_left == 0 || is_chosen (c, p))
			continue;
		if (best == NULL || p->spread_left > best->spread_left)
			best = p;
	}
	return best;
}

/* What was told least often goes first. */
static void
choose_news (struct memb *m, struct chosen *c)
{
	while (c->count < c->max) {
		struct memb_peer *p = most_to_spread (m, c);

		if (p == NULL)
			return;
		choose (c, p, p->state);
		p->spread_left--;
	}
}

/* Instances from @want on, which the other side has not heard of. */
static void
choose_wanted (const struct memb *m, struct chosen *c, const char *want)
{
	for (guint i = 0; i < m->peers->len; i++) {
		const struct memb_peer *p = m->peers->pdata[i];

		if (p->incarnation != 0 && strcmp (p->name, want) >= 0)
			choose (c, p, p->state);
	}
}

/* A part may be too large for one datagram: begins anywhere in it. */
static void
choose_part (const struct memb *m, struct chosen *c,
	     const struct memb_msg *part)
{
	guint n = m->peers->len, start = g_rand_int (m->rand);

	for (guint i = 0; i < n; i++) {
		const struct memb_peer *p =
			m->peers->pdata[(start % n + i) % n];

		if (p->incarnation == 0 || !in_part (p->name, part))
			continue;
		/* A suspicion goes round as news, or is a private doubt. */
		choose (c, p, p->state == MEMB_SUSPECT ? MEMB_ALIVE : p->state);
	}
}

/* Repairs are held back: after a cut, all views differ from all. */
static void
choose_repair (struct memb *m, struct chosen *c, const struct memb_msg *ping,
	       uint64_t now_ms)
{
	bool differs = ping->parts > 0 && digest_part (m, ping) != ping->view;

	if (*ping->want != '\0') {
		c->max = MEMB_UPDATES_MAX;
		choose_wanted (m, c, ping->want);
	} else if (differs && m->repair_due_ms <= now_ms) {
		m->repair_due_ms = now_ms + m->set.repair_ms;
		c->max = MEMB_UPDATES_MAX;
		choose_part (m, c, ping);
	}
}

static void
add_want (const struct memb *m, struct memb_msg *msg)
{
	for (guint i = 0; i < m->peers->len; i++) {
		const struct memb_peer *p = m->peers->pdata[i];

		if (p->incarnation == 0) {
			memcpy (msg->want, p->name, sizeof msg->want);
			return;
		}
	}
}

/* Tells the age of one other domain a datagram, in turn. */
static void
add_domain_age (struct memb *m, struct memb_msg *msg, uint64_t now_ms)
{
	for (uint32_t i = 0; i < m->domain_count; i++) {
		const struct memb_domain *d =
			&m->domains[m->domain_told++ % m->domain_count];

		if (d->heard_ms == 0)
			continue;
		memcpy (msg->domain, d->name, sizeof msg->domain);
		msg->age_ms = (uint32_t)MIN (now_ms - d->heard_ms, UINT32_MAX);
		return;
	}
}

static void
seal_and_send (struct memb *m, const struct memb_peer *to,
	       const struct memb_msg *msg)
{
	msgpack_sbuffer out;

	msgpack_sbuffer_init (&out);
	/* Room for the hash, which is made over what follows. */
	msgpack_sbuffer_write (&out, (const char[MEMB_MAC_BYTES]){0},
			       MEMB_MAC_BYTES);
	msg_pack (msg_fields, msg, &out);
	mac_make (m, out.data + MEMB_MAC_BYTES, out.size - MEMB_MAC_BYTES,
		  (uint8_t *)out.data);
	m->ops->send (to, out.data, out.size, m->ctx);
	msgpack_sbuffer_destroy (&out);
}

/* Fills in what every datagram says of its sender, adds news, and sends it. */
static void
complete (struct memb *m, struct memb_peer *to, struct memb_msg *msg,
	  uint32_t updates, const struct memb_msg *ping, uint64_t now_ms)
{
	struct chosen c = {.max = updates};

	memcpy (msg->from, m->name, sizeof msg->from);
	msg->state = m->leaving ? MEMB_LEFT : MEMB_ALIVE;
	msg->incarnation = m->incarnation;
	add_part (m, msg);
	/* One held to be gone must hear of it, to say otherwise. */
	if (to->state != MEMB_ALIVE && to->incarnation != 0)
		choose (&c, to, to->state);
	choose_news (m, &c);
	if (ping != NULL)
		choose_repair (m, &c, ping, now_ms);
	add_domain_age (m, msg, now_ms);
	add_want (m, msg);
	msg->updates.items = c.list;
	msg->updates.count = c.count;
	seal_and_send (m, to, msg);
	msg->updates.items = NULL;
}

void
memb_send (struct memb *m, struct memb_peer *to, enum memb_type type,
	   uint32_t seq, const char *about, uint64_t now_ms)
{
	struct memb_msg msg = {.type = (uint8_t)type, .seq = seq};

	if (about != NULL)
		g_strlcpy (msg.about, about, sizeof msg.about);
	complete (m, to, &msg, m->set.updates, NULL, now_ms);
}

void
memb_answer (struct memb *m, struct memb_peer *to, const struct memb_msg *ping,
	     uint64_t now_ms)
{
	struct memb_msg msg = {.type = MEMB_ACK, .seq = ping->seq};

	complete (m, to, &msg, m->set.updates, ping, now_ms);
}

void
memb_accuse (struct memb *m, struct memb_peer *to, uint64_t now_ms)
{
	struct memb_msg msg = {.type = MEMB_PING, .seq = ++m->seq};

	complete (m, to, &msg, 1, NULL, now_ms);
}
