/*
 * What an instance sends when: probes, accusations, news, goodbyes; and what
 * it concludes from silence.
 */
#include <string.h>

#include "log.h"
#include "memb_priv.h"

/* A gap between ticks longer than so many periods: this process stood still. */
#define FREEZE_PERIODS 3
#define TICK_MS 50
#define REPRESENTATIVES 2
#define GOODBYES 3
#define NEWS_BURST 4
/* How often an instance asks for itself before it holds another to be dead. */
#define ASK_PERIODS 4

/* A period with up to a tenth more or less, so that instances drift apart. */
static uint64_t
jittered (struct memb *m, uint32_t period_ms)
{
	uint32_t tenth = period_ms / 10;

	return period_ms - tenth + g_rand_int (m->rand) % (2 * tenth + 1);
}

static void
suspect (struct memb *m, struct memb_peer *p, uint64_t now_ms)
{
	if (p->state == MEMB_ALIVE) {
		memb_set_state (m, p, MEMB_SUSPECT, p->incarnation, "silent",
				now_ms);
		p->accuse = true;
	} else if (p->state == MEMB_SUSPECT && p->suspect_ms == 0) {
		/* Never heard of, and now asked in vain. */
		p->suspect_ms = now_ms + memb_suspicion_ms (m, p);
	}
}

static void
end_probe (struct memb *m, uint64_t now_ms)
{
	struct memb_peer *p = memb_lookup (m, m->probe.name);

	m->probe.name[0] = '\0';
	if (p != NULL)
		suspect (m, p, now_ms);
}

static struct memb_peer *
next_target (struct memb *m)
{
	for (guint i = 0; i <= m->order->len; i++) {
		struct memb_peer *p;

		if (m->next >= m->order->len)
			memb_shuffle (m);
		if (m->order->len == 0)
			return NULL;
		p = m->order->pdata[m->next++];
		if (p->state <= MEMB_SUSPECT)
			return p;
	}
	return NULL;
}

static void
start_probe (struct memb *m, uint64_t now_ms)
{
	struct memb_peer *p = next_target (m);

	if (p == NULL)
		return;
	memcpy (m->probe.name, p->name, sizeof m->probe.name);
	m->probe.seq = ++m->seq;
	m->probe.ask_ms = now_ms + m->set.ack_ms;
	m->probe.end_ms = now_ms + m->set.probe_ms * 8 / 10;
	memb_send (m, p, MEMB_PING, m->probe.seq, NULL, now_ms);
}

/* A dead instance that lives again, or a cut that healed, is found so. */
static void
probe_dead (struct memb *m, uint64_t now_ms)
{
	guint n = m->order->len, start;

	if (n == 0)
		return;
	start = g_rand_int (m->rand) % n;
	for (guint i = 0; i < n; i++) {
		struct memb_peer *p = m->order->pdata[(start + i) % n];

		if (p->state == MEMB_DEAD) {
			memb_send (m, p, MEMB_PING, ++m->seq, NULL, now_ms);
			return;
		}
	}
}

/* Whether this instance is among the lowest live ones of its domain. */
static bool
is_representative (const struct memb *m)
{
	int lower = 0;

	for (guint i = 0; i < m->peers->len; i++) {
		const struct memb_peer *p = m->peers->pdata[i];

		if (strcmp (p->name, m->name) > 0)
			break;
		lower += p->state == MEMB_ALIVE &&
			 strcmp (p->domain, m->domain) == 0;
	}
	return lower < REPRESENTATIVES;
}

/*
 * The instance of another domain to speak to: one of its lowest live ones, or,
 * in a quarter of the tries and where none is held to live, any.
 */
static struct memb_peer *
counterpart (struct memb *m, const char *domain)
{
	struct memb_peer *live[REPRESENTATIVES], *any = NULL;
	guint n_live = 0, n = 0;

	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p = m->peers->pdata[i];

		if (strcmp (p->domain, domain) != 0)
			continue;
		if (p->state == MEMB_ALIVE && n_live < REPRESENTATIVES)
			live[n_live++] = p;
		if (g_rand_int (m->rand) % ++n == 0)
			any = p;
	}
	if (n_live == 0 || g_rand_int (m->rand) % 4 == 0)
		return any;
	return live[g_rand_int (m->rand) % n_live];
}

static void
probe_between (struct memb *m, uint64_t now_ms)
{
	struct memb_peer *p;

	if (m->domain_count == 0 || !is_representative (m))
		return;
	p = counterpart (m,
			 m->domains[m->domain_next++ % m->domain_count].name);
	if (p != NULL)
		memb_send (m, p, MEMB_PING, ++m->seq, NULL, now_ms);
}

/*
 * After standing still this instance knows nothing about silence: it drops
 * the probe under way and gives every suspect its time again.
 */
static void
check_freeze (struct memb *m, uint64_t now_ms)
{
	uint64_t gap = now_ms - m->tick_ms;

	m->tick_ms = now_ms;
	if (gap < (uint64_t)m->set.probe_ms * FREEZE_PERIODS)
		return;
	log_event (LOG_LV_WARN, "stood_still", "gap_ms=%" G_GUINT64_FORMAT,
		   gap);
	m->probe.name[0] = '\0';
	m->probe_due_ms = now_ms + g_rand_int (m->rand) % m->set.probe_ms;
	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p = m->peers->pdata[i];

		if (p->suspect_ms != 0)
			p->suspect_ms = now_ms + memb_suspicion_ms (m, p);
	}
}

/*
 * Sends to instances of the domain that are alive, drawn at random, and not
 * to @but.
 */
static void
send_some (struct memb *m, enum memb_type type, uint32_t seq, const char *but,
	   const char *about, uint32_t count, uint64_t now_ms)
{
	guint n = m->order->len, start;

	if (n == 0)
		return;
	start = g_rand_int (m->rand) % n;
	for (guint i = 0; i < n && count > 0; i++) {
		struct memb_peer *p = m->order->pdata[(start + i) % n];

		if (p->state != MEMB_ALIVE || strcmp (p->name, but) == 0)
			continue;
		memb_send (m, p, type, seq, about, now_ms);
		count--;
	}
}

/*
 * A few sends of news go out at short intervals, more only at long ones: what
 * happens to one instance is told at once, and what happens to half of them
 * does not become a storm.
 */
void
memb_news (struct memb *m, uint64_t now_ms)
{
	uint64_t whole = (now_ms - m->news_ms) / m->set.news_slow_ms;
	uint32_t pause_ms = m->set.news_ms;

	if (m->news_due_ms != 0)
		return;
	m->news_burst = (uint32_t)MIN (m->news_burst + whole, NEWS_BURST);
	if (m->news_burst == 0)
		pause_ms = m->set.news_slow_ms;
	else
		m->news_burst--;
	m->news_due_ms = MAX (now_ms, m->news_ms + pause_ms);
}

/* Many pieces go in one datagram where many came. */
static void
spread (struct memb *m, uint64_t now_ms)
{
	if (m->news_due_ms == 0 || m->news_due_ms > now_ms)
		return;
	m->news_due_ms = 0;
	m->news_ms = now_ms;
	send_some (m, MEMB_NEWS, ++m->seq, "", NULL, m->set.fanout, now_ms);
}

/*
 * Who suspects an instance tells it so, again and again: it may be its probes
 * that were lost, and its answer ends the matter for all.  One datagram a
 * period, however many are suspected: after a cut that may be half of them.
 */
static void
accuse (struct memb *m, uint64_t now_ms)
{
	if (m->accuse_due_ms > now_ms)
		return;
	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p =
			m->peers->pdata[m->accuse_next++ % m->peers->len];

		if (!p->accuse)
			continue;
		if (p->suspect_ms == 0)
			p->suspect_ms = now_ms + memb_suspicion_ms (m, p);
		m->accuse_due_ms = now_ms + m->set.accuse_ms;
		memb_accuse (m, p, now_ms);
		return;
	}
}

/*
 * Ends suspicions that ran out.  Before that an instance asks for itself, also
 * where it was others who suspect: the answer to them may have been lost.
 */
static void
end_suspicions (struct memb *m, uint64_t now_ms)
{
	uint64_t soon_ms = now_ms + ASK_PERIODS * m->set.accuse_ms;

	for (guint i = 0; i < m->peers->len; i++) {
		struct memb_peer *p = m->peers->pdata[i];

		if (p->state != MEMB_SUSPECT || p->suspect_ms == 0)
			continue;
		if (p->suspect_ms <= now_ms)
			memb_set_state (m, p, MEMB_DEAD, p->incarnation,
					"suspicion_ended", now_ms);
		else if (p->suspect_ms <= soon_ms)
			p->accuse = true;
	}
}

uint64_t
memb_tick (struct memb *m, uint64_t now_ms)
{
	check_freeze (m, now_ms);
	if (m->leaving)
		return now_ms + m->set.probe_ms;
	if (*m->probe.name != '\0' && m->probe.ask_ms != 0 &&
	    m->probe.ask_ms <= now_ms) {
		m->probe.ask_ms = 0;
		send_some (m, MEMB_ASK, m->probe.seq, m->probe.name,
			   m->probe.name, m->set.helpers, now_ms);
	}
	if (*m->probe.name != '\0' && m->probe.end_ms <= now_ms)
		end_probe (m, now_ms);
	accuse (m, now_ms);
	spread (m, now_ms);
	end_suspicions (m, now_ms);
	if (m->probe_due_ms <= now_ms) {
		m->probe_due_ms = now_ms + jittered (m, m->set.probe_ms);
		start_probe (m, now_ms);
	}
	if (m->dead_due_ms <= now_ms) {
		m->dead_due_ms = now_ms + jittered (m, m->set.dead_probe_ms);
		probe_dead (m, now_ms);
	}
	if (m->between_due_ms <= now_ms) {
		m->between_due_ms = now_ms + jittered (m, m->set.between_ms);
		probe_between (m, now_ms);
	}
	return now_ms + TICK_MS;
}

void
memb_leave (struct memb *m, uint64_t now_ms)
{
	m->leaving = true;
	send_some (m, MEMB_NEWS, ++m->seq, "", NULL, GOODBYES, now_ms);
}
