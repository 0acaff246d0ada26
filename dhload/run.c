/*
 * The course of a run: ask the stand-ins for their counters, send for the
 * scenario's duration, wait for what is open, ask the stand-ins again.
 */
#include <errno.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "ask.h"
#include "link.h"
#include "log.h"
#include "run.h"

#define IO_TIMEOUT_MS 600000
#define ASK_TIMEOUT_MS 5000
#define POLL_MS 1000
#define RAN_MAX_BYTES (256U << 20)
#define SEEN_MAX_BYTES (1U << 20)

static void on_phase (void *ctx);
static void on_poll (void *ctx);
static void ask_counters (struct run *r);

static double
now_s (const struct run *r)
{
	return (double)(tmr_now_us () - r->start_us) / 1e6;
}

/* Arrivals at the highest rate, thinned to the rate of the moment. */
static void
next_arrival (struct run_source *src)
{
	double max = scen_max_rate (src->load);

	do {
		src->next_s += -log (1 - g_rand_double (src->rand)) / max;
	} while (g_rand_double (src->rand) * max >
			 scen_rate (src->load, src->next_s) &&
		 src->next_s < src->run->scen->duration_s);
}

static void
on_arrival (void *ctx)
{
	struct run_source *src = ctx;
	struct run *r = src->run;
	double now = now_s (r);

	while (src->next_s <= now && !r->stopping) {
		ask_send (src, src->next_s);
		next_arrival (src);
	}
	if (r->stopping || src->next_s >= r->scen->duration_s)
		return;
	/* At least 1 ms: a timer of 0 fires again within the same turn. */
	tmr_start (&src->timer,
		   1 + (uint64_t)(MAX (src->next_s - now, 0) * 1000));
}

static void
source_start (struct run_source *src)
{
	if (src->load->concurrency > 0) {
		for (uint64_t i = 0; i < src->load->concurrency; i++)
			ask_send (src, now_s (src->run));
		return;
	}
	if (src->load->rate_per_s <= 0)
		return;
	next_arrival (src);
	on_arrival (src);
}

static pid_t
fault_pid (const struct scen_fault *f)
{
	char *text;
	pid_t pid = (pid_t)f->pid;

	if (f->pid_file[0] == '\0' ||
	    !g_file_get_contents (f->pid_file, &text, NULL, NULL))
		return pid;
	pid = (pid_t)strtol (text, NULL, 10);
	g_free (text);
	return pid;
}

static void
on_fault_answer (const struct httpc_reply *reply, const struct err *e,
		 void *ctx)
{
	const struct run_fault *f = ctx;

	if (e != NULL || reply->status != 200)
		log_event (LOG_LV_INFO, "fault_answer", "addr=%s status=%d",
			   f->fault->addr, reply != NULL ? reply->status : 0);
}

static void
on_fault (void *ctx)
{
	struct run_fault *f = ctx;
	const struct scen_fault *sf = f->fault;
	struct httpc_req req = {.method = "POST",
				.path = "/_fault",
				.body = sf->set,
				.body_len = strlen (sf->set),
				.timeout_ms = ASK_TIMEOUT_MS,
				.fresh = true};
	pid_t pid;

	if (sf->addr[0] != '\0') {
		log_event (LOG_LV_INFO, "fault", "addr=%s set=%s", sf->addr,
			   sf->set);
		httpc_fetch (&f->peer, &req, SEEN_MAX_BYTES, on_fault_answer,
			     f);
		return;
	}
	pid = fault_pid (sf);
	if (pid > 1 && kill (pid, (int)sf->signal) == 0)
		log_event (LOG_LV_INFO, "fault", "pid=%d signal=%d", (int)pid,
			   (int)sf->signal);
	else
		log_event (LOG_LV_ERROR, "fault", "pid=%d error=%s", (int)pid,
			   strerror (errno));
}

static void
begin (struct run *r)
{
	r->start_us = tmr_now_us ();
	tmr_start (&r->phase, (uint64_t)(r->scen->duration_s * 1000));
	tmr_start (&r->poll, POLL_MS);
	for (guint i = 0; i < r->scen->faults->len; i++)
		tmr_start (&r->faults[i].timer,
			   (uint64_t)(r->faults[i].fault->at_s * 1000));
	for (guint i = 0; i < r->scen->loads->len; i++)
		source_start (&r->sources[i]);
}

static int64_t
member (struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex (o, name, &v)
		       ? json_object_get_int64 (v)
		       : 0;
}

static void
read_counters (struct tally_standin *c, const char *text)
{
	struct json_object *o = json_tokener_parse (text);

	c->asked = true;
	c->lost = false;
	c->tokens = member (o, "tokens");
	c->cancelled_tokens = member (o, "cancelled_tokens");
	c->cold_violations = member (o, "cold_violations");
	c->credentials =
		member (o, "credential_headers") + member (o, "key_texts");
	c->ran = member (o, "ran");
	c->ran_twice = member (o, "ran_twice");
	c->max_at_once = member (o, "max_at_once");
	json_object_put (o);
}

static void
answer_came (struct run *r)
{
	if (--r->waiting > 0)
		return;
	if (!r->first_asked) {
		r->first_asked = true;
		begin (r);
	} else if (r->ending) {
		ask_verify (r);
		daemon_stop (r->daemon);
	}
}

static void
on_counters (const struct httpc_reply *reply, const struct err *e, void *ctx)
{
	struct run_standin *s = ctx;
	struct run *r = s->run;
	struct tally_standin *c = &r->tally->last[s->ix];

	if (e == NULL && reply->status == 200)
		read_counters (c, reply->body);
	else
		c->lost = true;
	if (!r->first_asked)
		r->tally->first[s->ix] = *c;
	answer_came (r);
}

static void
on_ran (const struct httpc_reply *reply, const struct err *e, void *ctx)
{
	struct run_standin *s = ctx;
	struct json_object *o;

	if (e == NULL && reply->status == 200) {
		o = json_tokener_parse (reply->body);
		s->ran = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
						NULL);
		json_object_object_foreach (o, tag, v)
		{
			g_hash_table_insert (
				s->ran, g_strdup (tag),
				GSIZE_TO_POINTER (json_object_get_int64 (v)));
		}
		json_object_put (o);
	}
	answer_came (s->run);
}

static void
fetch (struct run_standin *s, const char *path, size_t max, httpc_reply_cb cb)
{
	struct httpc_req req = {.method = "GET",
				.path = path,
				.timeout_ms = ASK_TIMEOUT_MS,
				.fresh = true};

	s->run->waiting++;
	httpc_fetch (&s->peer, &req, max, cb, s);
}

static void
ask_counters (struct run *r)
{
	for (guint i = 0; i < r->scen->standins->len; i++)
		fetch (&r->standins[i], "/_seen", SEEN_MAX_BYTES, on_counters);
}

static void
on_poll (void *ctx)
{
	struct run *r = ctx;

	if (r->waiting == 0)
		ask_counters (r);
	tmr_start (&r->poll, POLL_MS);
}

static void
ask_at_end (struct run *r)
{
	/* Held while requests are added, so that none ends the run alone. */
	r->ending = true;
	r->waiting++;
	ask_counters (r);
	for (guint i = 0; i < r->scen->standins->len; i++)
		fetch (&r->standins[i], "/_ran", RAN_MAX_BYTES, on_ran);
	answer_came (r);
}

/* Sending ends; waiting for answers ends; the stand-ins are asked. */
static void
on_phase (void *ctx)
{
	struct run *r = ctx;

	if (!r->stopping) {
		run_stop (r);
		return;
	}
	tmr_stop (&r->phase);
	tmr_stop (&r->poll);
	while (r->asks.head != NULL)
		ask_abandon (r->asks.head->data);
	ask_at_end (r);
}

void
run_stop (struct run *r)
{
	if (r->stopping)
		return;
	r->stopping = true;
	r->tally->seconds = now_s (r) - r->scen->warmup_s;
	for (guint i = 0; i < r->scen->loads->len; i++)
		tmr_stop (&r->sources[i].timer);
	tmr_start (&r->phase,
		   r->open == 0 ? 0 : (uint64_t)(r->scen->drain_s * 1000));
}

void
run_start (struct run *r)
{
	if (r->scen->standins->len > 0) {
		ask_counters (r);
		return;
	}
	r->first_asked = true;
	begin (r);
}

static void
peer_init (struct run *r, struct httpc_peer *p, const char *text)
{
	struct sockaddr_in addr;

	/* The scenario's reader has checked it. */
	if (link_addr_parse (text, &addr, NULL))
		httpc_peer_init (p, r->daemon->loop, &addr, IO_TIMEOUT_MS);
}

static void
sources_init (struct run *r)
{
	for (guint i = 0; i < r->scen->loads->len; i++) {
		struct run_source *src = &r->sources[i];

		src->run = r;
		src->load =
			&g_array_index (r->scen->loads, struct scen_load, i);
		src->rand = g_rand_new_with_seed (
			(guint32)(r->scen->seed * 1000 + i));
		tmr_init (&src->timer, r->daemon->loop, on_arrival, src);
		for (guint k = 0; k < src->load->accounts->len; k++)
			src->parts +=
				g_array_index (
					r->scen->accounts, struct scen_account,
					g_array_index (src->load->accounts,
						       uint32_t, k))
					.part;
	}
}

static void
faults_init (struct run *r)
{
	for (guint i = 0; i < r->scen->faults->len; i++) {
		struct run_fault *f = &r->faults[i];

		f->run = r;
		f->fault =
			&g_array_index (r->scen->faults, struct scen_fault, i);
		tmr_init (&f->timer, r->daemon->loop, on_fault, f);
		if (f->fault->addr[0] != '\0')
			peer_init (r, &f->peer, f->fault->addr);
	}
}

void
run_init (struct run *r, struct daemon *d, const struct scen *scen,
	  struct tally *tally)
{
	memset (r, 0, sizeof *r);
	r->daemon = d;
	r->id = tmr_wall_ms ();
	r->scen = scen;
	r->tally = tally;
	r->targets = g_new0 (struct httpc_peer, scen->targets->len);
	r->sources = g_new0 (struct run_source, scen->loads->len);
	r->standins = g_new0 (struct run_standin, scen->standins->len + 1);
	r->faults = g_new0 (struct run_fault, scen->faults->len + 1);
	r->ends =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init (&r->asks);
	tmr_init (&r->poll, d->loop, on_poll, r);
	tmr_init (&r->phase, d->loop, on_phase, r);
	for (guint i = 0; i < scen->targets->len; i++)
		peer_init (r, &r->targets[i],
			   g_array_index (scen->targets, struct scen_target, i)
				   .addr);
	for (guint i = 0; i < scen->standins->len; i++) {
		r->standins[i].run = r;
		r->standins[i].ix = i;
		peer_init (
			r, &r->standins[i].peer,
			g_array_index (scen->standins, struct scen_standin, i)
				.addr);
	}
	sources_init (r);
	faults_init (r);
}

void
run_finish (struct run *r)
{
	for (guint i = 0; i < r->scen->targets->len; i++)
		httpc_peer_finish (&r->targets[i]);
	for (guint i = 0; i < r->scen->standins->len; i++) {
		httpc_peer_finish (&r->standins[i].peer);
		if (r->standins[i].ran != NULL)
			g_hash_table_destroy (r->standins[i].ran);
	}
	for (guint i = 0; i < r->scen->loads->len; i++) {
		tmr_finish (&r->sources[i].timer);
		g_rand_free (r->sources[i].rand);
	}
	for (guint i = 0; i < r->scen->faults->len; i++) {
		tmr_finish (&r->faults[i].timer);
		if (r->faults[i].fault->addr[0] != '\0')
			httpc_peer_finish (&r->faults[i].peer);
	}
	tmr_finish (&r->poll);
	tmr_finish (&r->phase);
	g_hash_table_destroy (r->ends);
	g_free (r->targets);
	g_free (r->sources);
	g_free (r->standins);
	g_free (r->faults);
}
