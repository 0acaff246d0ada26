/*
 * Simulation of relays, group members and endpoints, see t_blame.h.
 */
#include <stdio.h>
#include <string.h>

#include "t_blame.h"

#define LINK_MS 2
#define SEND_NEWS_MS 20 /* a relay's tick */
#define POISON_ID 900000
#define HOT_ID 800000

struct packet {
	uint64_t due_ms;
	uint32_t relay, member;
	bool to_member;
	GArray *records;
};

uint64_t
t_blame_poison_key (uint32_t kind)
{
	return blame_segment_key (POISON_ID + kind);
}

static uint64_t
request_key (uint64_t id)
{
	return blame_request_key ("POST /x", "account", &id, sizeof id);
}

uint64_t
t_blame_repeated_key (void)
{
	return request_key (POISON_ID);
}

uint64_t
t_blame_first_key (uint32_t first)
{
	return blame_segment_key (1 + first);
}

static bool
is_poison (const struct t_blame *s, uint64_t key)
{
	for (uint32_t i = 0; i < s->poison_kinds; i++) {
		if (key == t_blame_poison_key (i))
			return true;
	}
	return s->repeats && key == t_blame_repeated_key ();
}

static void
on_changed (uint64_t key, enum blame_change change, uint32_t endpoints,
	    void *ctx)
{
	struct t_blame_node *n = ctx;
	struct t_blame *s = n->sim;

	if (s->log)
		fprintf (stderr, "%8.3f %s %p %s %016lx change=%d eps=%u%s\n",
			 (double)(s->now_ms - T_BLAME_START_MS) / 1000,
			 n->is_relay ? "relay" : "member", (void *)n,
			 blame_key_kind (key), (unsigned long)key, change,
			 endpoints, is_poison (s, key) ? " POISON" : "");
	s->trials += change == BLAME_TRIED;
	if (change != BLAME_BARRED)
		return;
	if (is_poison (s, key))
		s->poison_bars++;
	else
		s->bars++;
}

static const struct blame_ops ops = {.changed = on_changed};

static void
node_start (struct t_blame *s, struct t_blame_node *n, uint32_t self)
{
	n->sim = s;
	n->is_relay = self != 0;
	blame_init (&n->b, self, &ops, n);
}

static uint32_t
relay_hash (uint32_t relay)
{
	char name[16];

	g_snprintf (name, sizeof name, "relay-%u", relay);
	return g_str_hash (name);
}

void
t_blame_init (struct t_blame *s, uint32_t seed)
{
	t_blame_init_size (s, seed, T_BLAME_RELAYS, T_BLAME_ENDPOINTS);
}

void
t_blame_init_size (struct t_blame *s, uint32_t seed, uint32_t relays,
		   uint32_t endpoints)
{
	static const double rates[T_BLAME_FIRSTS] = {40, 23, 6, 1};

	*s = (struct t_blame){.relay_count = relays,
			      .endpoint_count = endpoints,
			      .poison_per_s = 3,
			      .poison_kinds = 1,
			      .recovery_ms = 3000,
			      .bound_crashes = 5,
			      .now_ms = T_BLAME_START_MS};
	memcpy (s->sound_per_s, rates, sizeof rates);
	s->rand = g_rand_new_with_seed (seed);
	s->calls = g_ptr_array_new ();
	s->waiting = g_ptr_array_new ();
	g_queue_init (&s->packets);
	for (uint32_t i = 0; i < s->relay_count; i++)
		node_start (s, &s->relays[i], relay_hash (i));
	for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
		node_start (s, &s->members[i], 0);
	for (uint32_t i = 0; i < s->endpoint_count; i++)
		s->eps[i].hash = g_rand_int (s->rand);
}

static void
packet_free (struct packet *p)
{
	g_array_free (p->records, TRUE);
	g_free (p);
}

void
t_blame_finish (struct t_blame *s)
{
	for (uint32_t i = 0; i < s->relay_count; i++)
		blame_finish (&s->relays[i].b);
	for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
		blame_finish (&s->members[i].b);
	for (guint i = 0; i < s->calls->len; i++)
		g_free (g_ptr_array_index (s->calls, i));
	for (guint i = 0; i < s->waiting->len; i++)
		g_free (g_ptr_array_index (s->waiting, i));
	g_ptr_array_free (s->calls, TRUE);
	g_ptr_array_free (s->waiting, TRUE);
	while (s->packets.length > 0)
		packet_free (g_queue_pop_head (&s->packets));
	g_rand_free (s->rand);
}

static void
post (struct t_blame *s, uint32_t relay, uint32_t member, bool to_member,
      const GArray *records)
{
	struct packet *p;

	if (records->len == 0 || s->cut[relay][member])
		return;
	p = g_new0 (struct packet, 1);
	p->due_ms = s->now_ms + LINK_MS;
	p->relay = relay;
	p->member = member;
	p->to_member = to_member;
	p->records = g_array_new (FALSE, FALSE, sizeof (struct blame_record));
	g_array_append_vals (p->records, records->data, records->len);
	s->records += records->len;
	g_queue_push_tail (&s->packets, p);
}

static GArray *
new_records (void)
{
	return g_array_new (FALSE, FALSE, sizeof (struct blame_record));
}

static void
answer_wanted (struct t_blame *s, const struct packet *p,
	       const struct blame_record *wanted)
{
	struct blame_record answer;
	GArray *out;

	if (p->member != s->leader ||
	    !blame_grant (&s->members[p->member].b, wanted, &answer, s->now_ms))
		return;
	out = new_records ();
	g_array_append_val (out, answer);
	post (s, p->relay, p->member, false, out);
	g_array_free (out, TRUE);
}

static void
deliver (struct t_blame *s, const struct packet *p)
{
	const struct blame_record *r = (const void *)p->records->data;
	GArray *fresh;

	if (s->cut[p->relay][p->member])
		return;
	if (!p->to_member) {
		blame_merge (&s->relays[p->relay].b, r, p->records->len, NULL,
			     s->now_ms);
		return;
	}
	fresh = new_records ();
	blame_merge (&s->members[p->member].b, r, p->records->len, fresh,
		     s->now_ms);
	for (uint32_t i = 0; i < p->records->len; i++) {
		if (r[i].what == BLAME_WANTED)
			answer_wanted (s, p, &r[i]);
	}
	for (uint32_t i = 0; i < s->relay_count; i++) {
		if (i != p->relay)
			post (s, i, p->member, false, fresh);
	}
	g_array_free (fresh, TRUE);
}

static void
link_up (struct t_blame *s, uint32_t relay, uint32_t member)
{
	GArray *all = new_records ();

	blame_export (&s->relays[relay].b, all, s->now_ms);
	post (s, relay, member, true, all);
	g_array_set_size (all, 0);
	blame_export (&s->members[member].b, all, s->now_ms);
	post (s, relay, member, false, all);
	g_array_free (all, TRUE);
}

void
t_blame_cut (struct t_blame *s, uint32_t relay, uint32_t member, bool cut)
{
	s->cut[relay][member] = cut;
	if (!cut)
		link_up (s, relay, member);
}

void
t_blame_restart_relay (struct t_blame *s, uint32_t relay)
{
	blame_finish (&s->relays[relay].b);
	node_start (s, &s->relays[relay], relay_hash (relay));
	for (guint i = s->calls->len; i > 0; i--) {
		struct t_blame_call *c = g_ptr_array_index (s->calls, i - 1);

		if (c->relay != relay)
			continue;
		g_ptr_array_remove_index_fast (s->calls, i - 1);
		g_free (c);
	}
	for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
		link_up (s, relay, i);
}

void
t_blame_restart_member (struct t_blame *s, uint32_t member)
{
	blame_finish (&s->members[member].b);
	node_start (s, &s->members[member], 0);
	for (uint32_t i = 0; i < s->relay_count; i++)
		link_up (s, i, member);
}

static void place_call (struct t_blame *s, struct t_blame_call *c);

static void
break_call (struct t_blame *s, guint at)
{
	struct t_blame_call *c = g_ptr_array_index (s->calls, at);

	if (!c->begun)
		blame_broke (&s->relays[c->relay].b, c->keys, c->count,
			     s->eps[c->ep].hash, s->now_ms);
	g_ptr_array_remove_index_fast (s->calls, at);
	if (c->poison && s->plain && !c->retried) {
		c->retried = true;
		place_call (s, c);
	} else {
		g_free (c);
	}
}

void
t_blame_crash (struct t_blame *s, uint32_t ep)
{
	s->eps[ep].up_ms = s->now_ms + s->recovery_ms;
	for (guint i = s->calls->len; i > 0; i--) {
		struct t_blame_call *c = g_ptr_array_index (s->calls, i - 1);

		if (c->ep == ep)
			break_call (s, i - 1);
	}
	s->eps[ep].hash = g_rand_int (s->rand);
}

void
t_blame_reset_channels (struct t_blame *s, uint32_t relay)
{
	for (guint i = s->calls->len; i > 0; i--) {
		struct t_blame_call *c = g_ptr_array_index (s->calls, i - 1);

		if (c->relay == relay)
			break_call (s, i - 1);
	}
}

/* Requests with the same middle segment mostly go to the same endpoint. */
static uint32_t
choose_endpoint (struct t_blame *s, uint32_t mid)
{
	uint32_t ep = mid * 7 % s->endpoint_count;

	if (g_rand_double (s->rand) < 0.3)
		ep = (uint32_t)g_rand_int_range (s->rand, 0, s->endpoint_count);
	for (uint32_t i = 0; i < s->endpoint_count; i++) {
		if (s->eps[ep].up_ms <= s->now_ms)
			return ep;
		ep = (ep + 1) % s->endpoint_count;
	}
	return s->endpoint_count;
}

static void
set_keys (struct t_blame *s, struct t_blame_call *c, uint32_t mid)
{
	uint64_t id = (uint64_t)g_rand_int (s->rand) << 32 | c->first;
	uint64_t poison = t_blame_poison_key (c->kind);
	bool repeat = c->poison && s->repeats;

	if (s->plain || c->hot) {
		if (repeat)
			id = POISON_ID;
		c->keys[c->count++] = request_key (c->hot ? HOT_ID : id);
		return;
	}
	c->keys[c->count++] = t_blame_first_key (c->first);
	if (c->poison && !repeat && (id >> 32) % 2 != 0)
		c->keys[c->count++] = poison;
	c->keys[c->count++] =
		blame_segment_key (1000 + c->first * T_BLAME_MIDS + mid);
	if (c->poison && !repeat && (id >> 32) % 2 == 0)
		c->keys[c->count++] = poison;
	if (repeat)
		id = POISON_ID;
	c->keys[c->count++] = request_key (id);
}

/* Sends a call to an endpoint, or ends it. */
static void
place_call (struct t_blame *s, struct t_blame_call *c)
{
	struct blame *b = &s->relays[c->relay].b;
	enum blame_verdict v;
	uint64_t culprit;

	c->ep = choose_endpoint (s, c->mid);
	v = blame_check (b, c->keys, c->count, &culprit, s->now_ms);
	s->hot_sent +=
		c->hot && c->ep != s->endpoint_count && c->came_ms == s->now_ms;
	if (v == BLAME_SEND_IF_GRANTED && c->ep != s->endpoint_count) {
		blame_want (b, c->keys, c->count, s->now_ms);
		v = BLAME_WAIT;
	}
	if (v == BLAME_WAIT) {
		g_ptr_array_add (s->waiting, c);
		return;
	}
	s->hot_begun +=
		c->hot && c->ep != s->endpoint_count && v != BLAME_REFUSE;
	if (!c->poison && !c->hot && s->count_sound) {
		s->sent[c->first]++;
		s->refused[c->first] += v == BLAME_REFUSE;
	}
	s->refused_poison += c->poison && v == BLAME_REFUSE;
	if (v == BLAME_REFUSE || c->ep == s->endpoint_count) {
		g_free (c);
		return;
	}
	if (v == BLAME_SEND_AS_TRIAL)
		blame_trial (b, c->keys, c->count, s->now_ms);
	s->late[c->kind] +=
		c->poison && s->bound_ms[c->kind] != 0 &&
		s->now_ms > s->bound_ms[c->kind] + T_BLAME_CONTACT_MS;
	c->sent_ms = s->now_ms;
	c->begin_ms = s->now_ms + 30 + g_rand_int (s->rand) % 120;
	c->end_ms = c->begin_ms + 200 + g_rand_int (s->rand) % 1500;
	g_ptr_array_add (s->calls, c);
}

enum call_kind { CALL_SOUND, CALL_HOT, CALL_POISON };

static void
send_call (struct t_blame *s, uint32_t first, enum call_kind kind)
{
	struct t_blame_call *c = g_new0 (struct t_blame_call, 1);

	/* Low numbers are more frequent. */
	c->mid = (uint32_t)(g_rand_double (s->rand) * g_rand_double (s->rand) *
			    T_BLAME_MIDS);
	c->first = first;
	c->came_ms = s->now_ms;
	c->poison = kind == CALL_POISON;
	c->hot = kind == CALL_HOT;
	c->kind = (uint32_t)g_rand_int_range (s->rand, 0, s->poison_kinds);
	c->relay = (uint32_t)g_rand_int_range (s->rand, 0, s->relay_count);
	set_keys (s, c, c->mid);
	place_call (s, c);
}

static void
begin_answer (struct t_blame *s, guint at)
{
	struct t_blame_call *c = g_ptr_array_index (s->calls, at);
	uint32_t ep = c->ep;

	if (c->poison) {
		if (++s->crashes[c->kind] == s->bound_crashes) {
			s->bound_ms[c->kind] = s->now_ms;
			s->count_sound = true;
		}
		t_blame_crash (s, ep);
	} else if (g_rand_double (s->rand) < s->eps[ep].grey) {
		break_call (s, at);
	} else {
		c->begun = true;
		blame_answered (&s->relays[c->relay].b, c->keys, c->count,
				s->now_ms);
	}
}

static void
step_calls (struct t_blame *s)
{
	for (guint i = s->calls->len; i > 0; i--) {
		struct t_blame_call *c;

		/* A crash removes more than one. */
		if (i > s->calls->len)
			continue;
		c = g_ptr_array_index (s->calls, i - 1);
		if (!c->begun && s->now_ms >= c->begin_ms) {
			begin_answer (s, i - 1);
		} else if (s->now_ms >= c->end_ms) {
			g_ptr_array_remove_index_fast (s->calls, i - 1);
			g_free (c);
		}
	}
}

static void
send_news (struct t_blame *s, uint32_t relay)
{
	GArray *out = new_records ();

	blame_tick (&s->relays[relay].b, s->now_ms);
	blame_take_news (&s->relays[relay].b, out, s->now_ms);
	for (uint32_t m = 0; m < T_BLAME_MEMBERS; m++)
		post (s, relay, m, true, out);
	g_array_free (out, TRUE);
}

static void
place_waiting (struct t_blame *s)
{
	GPtrArray *list = s->waiting;

	s->waiting = g_ptr_array_new ();
	for (guint i = 0; i < list->len; i++)
		place_call (s, g_ptr_array_index (list, i));
	g_ptr_array_free (list, TRUE);
}

/* Those of a burst are spread over its span. */
static void
send_burst (struct t_blame *s)
{
	uint64_t at_ms = (s->now_ms - T_BLAME_START_MS) % s->burst_gap_ms;

	for (uint32_t i = 0; i < s->burst_size; i++) {
		if (at_ms == (uint64_t)i * s->burst_span_ms / s->burst_size)
			send_call (s, 1, CALL_POISON);
	}
}

void
t_blame_run (struct t_blame *s, uint64_t ms)
{
	uint64_t until_ms = s->now_ms + ms;

	while (s->now_ms < until_ms) {
		struct packet *p;

		s->now_ms++;
		while ((p = g_queue_peek_head (&s->packets)) != NULL &&
		       p->due_ms <= s->now_ms) {
			g_queue_pop_head (&s->packets);
			deliver (s, p);
			packet_free (p);
		}
		step_calls (s);
		if (s->waiting->len > 0 && s->now_ms % SEND_NEWS_MS == 0)
			place_waiting (s);
		for (uint32_t i = 0; i < T_BLAME_FIRSTS; i++) {
			if (g_rand_double (s->rand) < s->sound_per_s[i] / 1000)
				send_call (s, i, CALL_SOUND);
		}
		if (g_rand_double (s->rand) < s->hot_per_s / 1000)
			send_call (s, 0, CALL_HOT);
		if (g_rand_double (s->rand) < s->poison_per_s / 1000)
			send_call (s, 1, CALL_POISON);
		if (s->burst_gap_ms != 0)
			send_burst (s);
		for (uint32_t i = 0; i < s->relay_count; i++) {
			if (s->now_ms % SEND_NEWS_MS == i % SEND_NEWS_MS)
				send_news (s, i);
		}
		for (uint32_t i = 0; i < T_BLAME_MEMBERS; i++)
			blame_tick (&s->members[i].b, s->now_ms);
	}
}
