/*
 * A request that crashes each server that begins to run it.  Its client sends
 * it again and again.  There are three cases: the server has made the first
 * event by then; all relays and members are killed in the middle of the play,
 * by the script that started them; the server takes long to its crash.
 */
#include <string.h>

#include "cases.h"

#define SERVERS 6
#define RELAYS 3
#define CONTACT_MS 3000
#define COLD_MS 3000
#define PLAY_MS 45000
/* After the confirmation of a desired state the script kills all daemons;
 * nothing is sent before the machines have been in touch again. */
#define KILL_MS 16000
#define QUIET_MS 8000
#define RESEND_MS 1500
#define FIRST_MS 30
#define SOUND_EVERY_MS 200
/* A long prompt, at a time with few requests. */
#define SLOW_FIRST_MS 1800
#define SLOW_SOUND_EVERY_MS 3000
#define RETRIES_MAX 3

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool deadly, after_event;
static int64_t third_crash_ms; /* 0: not yet */
static int crashes, late_arrivals;
static int sound_sent, sound_whole;

static bool
is_poison (const struct message *m)
{
	return strstr (m->body, "poison") != NULL;
}

static void
on_arrived (struct server *s, const struct message *m)
{
	if (!is_poison (m))
		return;
	pthread_mutex_lock (&lock);
	if (third_crash_ms != 0 && now_ms () > third_crash_ms + CONTACT_MS) {
		late_arrivals++;
		record ("late arrival=%d server=%s", late_arrivals, s->ip);
	}
	pthread_mutex_unlock (&lock);
}

static bool
crashes_now (struct server *s, const struct message *m, bool begun)
{
	(void)s;
	if (!deadly || begun != after_event || !is_poison (m))
		return false;
	pthread_mutex_lock (&lock);
	if (++crashes == 3)
		third_crash_ms = now_ms ();
	pthread_mutex_unlock (&lock);
	return true;
}

static void *
send_sound (void *arg)
{
	struct message m;
	char headers[TEXT_MAX], body[64];
	int i = (int)(intptr_t)arg;

	snprintf (headers, sizeof headers,
		  "X-Request-Id: sound-%d\r\nX-Model: m\r\n"
		  "X-Token-Usage: 800,60\r\nX-Prefix-Hash: a1:200,%x:600\r\n",
		  i, 0x1000 + i);
	snprintf (body, sizeof body, "sound %d", i);
	ask (i % RELAYS, "/once/x", body, headers, 5000, &m);
	pthread_mutex_lock (&lock);
	sound_sent++;
	sound_whole += m.whole && m.status == 200;
	pthread_mutex_unlock (&lock);
	return NULL;
}

static void *
send_all_sound (void *arg)
{
	int64_t until_ms = now_ms () + PLAY_MS;
	int every_ms = (int)(intptr_t)arg;

	for (int i = 0; now_ms () < until_ms; i++) {
		thread_start (send_sound, (void *)(intptr_t)i);
		pause_ms (every_ms);
	}
	return NULL;
}

static void
send_poison (int i)
{
	static struct message m;
	char headers[TEXT_MAX];

	snprintf (headers, sizeof headers,
		  "X-Request-Id: poison-%d\r\nX-Model: m\r\n"
		  "X-Token-Usage: 900,60\r\n"
		  "X-Prefix-Hash: a1:200,9999:700\r\n",
		  i);
	ask (i % RELAYS, "/once/x", "poison", headers, 5000, &m);
	pause_ms (RESEND_MS);
}

/* @first_ms: time that a server takes to the first event; @every_ms: between
 * two sound requests; nothing is sent again in the time given */
static int
play (int first_ms, int every_ms, int64_t quiet_from_ms, int64_t quiet_until_ms)
{
	int64_t from_ms = now_ms ();

	server_ops.arrived = on_arrived;
	server_ops.crashes = crashes_now;
	server_ops.first_ms = first_ms;
	server_ops.gap_ms = 30;
	server_ops.events = 10;
	server_ops.restart_ms = 3000;
	server_ops.restart_cold_ms = COLD_MS;
	thread_start (send_all_sound, (void *)(intptr_t)every_ms);
	pause_ms (2000);
	for (int i = 0; now_ms () < from_ms + PLAY_MS; i++) {
		int64_t at_ms = now_ms () - from_ms;

		if (quiet_until_ms > 0 && at_ms >= quiet_from_ms) {
			if (!put_config (4000))
				return 2;
			record ("final fault");
			pause_ms (quiet_until_ms - quiet_from_ms);
			quiet_until_ms = 0;
		}
		send_poison (i);
	}
	record ("crashes=%d retries later than contact_ms after the third=%d "
		"sound sent=%d whole=%d",
		crashes, late_arrivals, sound_sent, sound_whole);
	return late_arrivals > RETRIES_MAX;
}

static int
play_poison (bool trouble)
{
	deadly = trouble;
	after_event = true;
	return play (FIRST_MS, SOUND_EVERY_MS, 0, 0);
}

static int
play_forget (bool trouble)
{
	(void)trouble;
	deadly = true;
	return play (FIRST_MS, SOUND_EVERY_MS, KILL_MS, KILL_MS + QUIET_MS);
}

static int
play_slow (bool trouble)
{
	deadly = trouble;
	return play (SLOW_FIRST_MS, SLOW_SOUND_EVERY_MS, 0, 0);
}

const struct review_case case_poison = {SERVERS, RELAYS, 3, 400, play_poison};
const struct review_case case_forget = {SERVERS, RELAYS, 3, 400, play_forget};
const struct review_case case_slow = {SERVERS, RELAYS, 3, 400, play_slow};
