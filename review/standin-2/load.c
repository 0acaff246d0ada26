/*
 * A steady load of short requests, and what of it arrives at cold servers.
 */
#include <stdlib.h>
#include <string.h>

#include "load.h"

#define ARRIVALS_MAX 16384
#define REQUESTS_MAX 16384
#define RESTART_MS 4000

struct arrival {
	const struct server *s;
	int64_t sent_ms; /* by its client */
	int64_t at_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct arrival arrivals[ARRIVALS_MAX]; /* at cold servers */
static int arrival_count;
static int64_t sent_at_ms[REQUESTS_MAX];
static int sent, whole, rate, duration_ms;

/* A cold server crashes once so many requests came within a second, which is
 * three times what it tolerates. */
#define CRASH_IN_A_SECOND 25

static void
on_arrived (struct server *s, const struct message *m)
{
	int64_t at_ms = now_ms ();
	char id[TEXT_MAX];
	long i;

	if (!server_is_cold (s))
		return;
	head_value (m->head, "X-Request-Id", id, sizeof id);
	i = strtol (id + 2, NULL, 10) % REQUESTS_MAX;
	pthread_mutex_lock (&lock);
	if (arrival_count < ARRIVALS_MAX)
		arrivals[arrival_count++] =
			(struct arrival){s, sent_at_ms[i], at_ms};
	pthread_mutex_unlock (&lock);
}

static bool
crashes_now (struct server *s, const struct message *m, bool begun)
{
	int64_t at_ms = now_ms ();
	int n = 0;

	(void)m;
	if (begun || !server_is_cold (s))
		return false;
	pthread_mutex_lock (&lock);
	for (int i = 0; i < arrival_count; i++)
		n += arrivals[i].s == s && arrivals[i].at_ms > at_ms - 1000;
	pthread_mutex_unlock (&lock);
	return n > CRASH_IN_A_SECOND;
}

static void *
send_one (void *arg)
{
	struct message m;
	char headers[TEXT_MAX], body[64];
	int i = (int)(intptr_t)arg;

	snprintf (headers, sizeof headers,
		  "X-Request-Id: q-%d\r\nX-Model: m\r\n"
		  "X-Token-Usage: 800,60\r\nX-Prefix-Hash: %x:200,%x:600\r\n",
		  i, 0x100 + i % 200, 0x1000 + i);
	snprintf (body, sizeof body, "question %d", i);
	sent_at_ms[i % REQUESTS_MAX] = now_ms ();
	ask (i % relay_count, "/once/x", body, headers, 5000, &m);
	pthread_mutex_lock (&lock);
	sent++;
	whole += m.whole && m.status == 200;
	pthread_mutex_unlock (&lock);
	return NULL;
}

static void *
send_all (void *arg)
{
	int64_t from_ms = now_ms ();

	(void)arg;
	for (int i = 0; now_ms () < from_ms + duration_ms; i++) {
		thread_start (send_one, (void *)(intptr_t)i);
		pause_ms (from_ms + (i + 1) * 1000LL / rate - now_ms ());
	}
	return NULL;
}

void
load_start (int per_s, int for_ms)
{
	rate = per_s;
	duration_ms = for_ms;
	server_ops.arrived = on_arrived;
	server_ops.crashes = crashes_now;
	server_ops.restart_ms = RESTART_MS;
	server_ops.restart_cold_ms = LOAD_COLD_MS;
	server_ops.first_ms = 30;
	server_ops.gap_ms = 10;
	server_ops.events = 10;
	thread_start (send_all, NULL);
}

/* Requests that were sent and arrived within a second, at one server. */
static int
count_second (const struct arrival *first)
{
	int n = 0;

	for (int i = 0; i < arrival_count; i++)
		n += arrivals[i].s == first->s &&
		     arrivals[i].sent_ms >= first->sent_ms &&
		     arrivals[i].at_ms < first->sent_ms + 1000;
	return n;
}

int
load_result (void)
{
	const struct arrival *worst = NULL;
	int most = 0;

	pthread_mutex_lock (&lock);
	for (int i = 0; i < arrival_count; i++) {
		int n = count_second (&arrivals[i]);

		if (n <= most)
			continue;
		most = n;
		worst = &arrivals[i];
	}
	pthread_mutex_unlock (&lock);
	record ("cold server=%s most requests in one second=%d bound=%.1f "
		"sent=%d answered whole=%d",
		worst != NULL ? worst->s->ip : "none", most, LOAD_COLD_BOUND,
		sent, whole);
	return most > LOAD_COLD_BOUND;
}
