/*
 * Stand-in for a model engine: OpenAI-style completions, streamed and whole,
 * with the timing of engine_batch.c and faults.
 *
 * Fields of a request beyond the usual ones:
 *   priority       lower goes first in the waiting queue
 *   x_tag          token i of the answer is "TAG-i "
 *   x_tokens       length of the answer, in place of a seeded one
 *   x_resume_from  the first token to make; those before were relayed
 * Every streamed chunk carries x_index, the index of its token.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "engine.h"

#define AT(member) offsetof (struct engine, member)

static const struct fake_knob knobs[] = {
	{"slots", FAKE_U64, AT (conf.slots), "8", "sequences in a batch"},
	{"base_us", FAKE_U64, AT (conf.base_us), "20000", "least first token"},
	{"prefill_us", FAKE_U64, AT (conf.prefill_us), "200",
	 "for each uncached prompt token"},
	{"itl_us", FAKE_U64, AT (conf.itl_us), "20000", "between tokens"},
	{"growth", FAKE_F64, AT (conf.growth), "0.03",
	 "of itl_us for each further sequence"},
	{"slow", FAKE_F64, AT (conf.slow), "1", "factor on all times"},
	{"cache_blocks", FAKE_U64, AT (conf.cache_blocks), "4096",
	 "64-byte prompt blocks kept"},
	{"cold", FAKE_U64, AT (conf.cold), "0", "1: in cold start"},
	{"cold_bound", FAKE_U64, AT (conf.cold_bound), "2",
	 "requests at once borne when cold"},
	{"cold_served", FAKE_U64, AT (conf.cold_served), "20",
	 "sequences served until warm"},
	{"collapse_us", FAKE_U64, AT (conf.collapse_us), "3000000",
	 "length of a collapse"},
	{"honour_priority", FAKE_U64, AT (conf.honour_priority), "1",
	 "0: first come, first served"},
	{"models", FAKE_STR, AT (models), "m1", "models served, by commas"},
	{"out_mean", FAKE_F64, AT (out_mean), "64", "mean answer in tokens"},
	{"lag_ms", FAKE_U64, AT (lag_ms), "0", "age of the load reported"},
	{"resumes", FAKE_U64, AT (resumes), "1", "0: refuse x_resume_from"},
	{"crash_marker", FAKE_STR, AT (crash_marker), "",
	 "a prompt with this text ends the process"},
	{"crash_linger_ms", FAKE_U64, AT (crash_linger_ms), "0",
	 "between closing that request's connection and the end"},
	{"refuse", FAKE_U64, AT (refuse), "0", "1: answer 503 to everything"},
	{"hang", FAKE_U64, AT (hang), "0", "1: answer nothing, make nothing"},
	{"cut_after", FAKE_U64, AT (cut_after), "0",
	 "cut streams after so many tokens"},
	{"cut_count", FAKE_U64, AT (cut_count), "1000000000",
	 "how many streams to cut"},
	{"cut_clean", FAKE_U64, AT (cut_clean), "0",
	 "1: a cut ends the body as if it were whole"},
	{"dup_every", FAKE_U64, AT (dup_every), "0",
	 "send every Nth chunk again, one later"},
	{"swap_every", FAKE_U64, AT (swap_every), "0",
	 "send every Nth chunk late"},
	{"swap_by", FAKE_U64, AT (swap_by), "1", "so many chunks late"},
	{0},
};

static void
take_sample (struct engine *en, uint64_t now_us)
{
	struct sample *s = g_new (struct sample, 1), *head, *second;

	s->at_us = now_us;
	s->running = en->batch.running->len;
	s->waiting = en->batch.waiting->len;
	s->usage = batch_usage (&en->batch);
	g_queue_push_tail (&en->samples, s);
	while (en->samples.length > 1) {
		head = en->samples.head->data;
		second = en->samples.head->next->data;
		if (second->at_us + en->lag_ms * 1000 > now_us)
			break;
		g_free (head);
		g_queue_pop_head (&en->samples);
	}
}

void
engine_arm (struct engine *en)
{
	uint64_t now = tmr_now_us (), at = batch_next_us (&en->batch);

	take_sample (en, now);
	if (at == UINT64_MAX || en->hang)
		tmr_stop (&en->tick);
	else
		tmr_start (&en->tick, at <= now ? 1 : (at - now + 999) / 1000);
}

static void
engine_tick (void *ctx)
{
	struct engine *en = ctx;

	if (!en->hang)
		batch_run (&en->batch, tmr_now_us ());
	engine_arm (en);
}

static bool
has_model (const struct engine *en, const char *model)
{
	char **names = g_strsplit (en->models, ",", -1);
	bool found = g_strv_contains ((const gchar *const *)names, model);

	g_strfreev (names);
	return found;
}

static void
take_completion (struct engine *en, h2o_req_t *req, bool chat)
{
	struct json_object *body = fake_body (req);
	struct answer *a;

	if (!json_object_is_type (body, json_type_object)) {
		fake_error (req, 400, "the body is not a JSON object");
	} else if (!has_model (en, fake_str (body, "model", ""))) {
		fake_error (req, 404, "the model is not served here");
	} else if (!en->resumes && fake_int (body, "x_resume_from", 0) > 0) {
		fake_error (req, 400, "streams can't be resumed here");
	} else {
		a = answer_new (en, req, body, chat);
		fake_ran (&en->f, a->tag);
		if (en->crash_marker[0] != '\0' &&
		    strstr (a->prompt, en->crash_marker) != NULL)
			fake_crash (req, en->crash_linger_ms);
		answer_begin (a);
	}
	json_object_put (body);
}

static void
answer_models (const struct engine *en, h2o_req_t *req)
{
	struct json_object *o = json_object_new_object ();
	struct json_object *list = json_object_new_array ();
	char **names = g_strsplit (en->models, ",", -1);

	for (unsigned i = 0; names[i] != NULL; i++) {
		struct json_object *m = json_object_new_object ();

		json_object_object_add (m, "id",
					json_object_new_string (names[i]));
		json_object_object_add (m, "object",
					json_object_new_string ("model"));
		json_object_array_add (list, m);
	}
	g_strfreev (names);
	json_object_object_add (o, "object", json_object_new_string ("list"));
	json_object_object_add (o, "data", list);
	fake_answer (req, 200, o);
}

static void
answer_metrics (const struct engine *en, h2o_req_t *req)
{
	uint64_t then = tmr_now_us () - en->lag_ms * 1000;
	struct sample now = {0};
	char text[1024];
	int len;

	for (GList *l = en->samples.head; l != NULL; l = l->next) {
		const struct sample *s = l->data;

		if (s->at_us > then)
			break;
		now = *s;
	}
	len = snprintf (text, sizeof text,
			"# TYPE vllm:num_requests_running gauge\n"
			"vllm:num_requests_running %u\n"
			"# TYPE vllm:num_requests_waiting gauge\n"
			"vllm:num_requests_waiting %u\n"
			"# TYPE vllm:gpu_cache_usage_perc gauge\n"
			"vllm:gpu_cache_usage_perc %.4f\n"
			"# TYPE vllm:generation_tokens_total counter\n"
			"vllm:generation_tokens_total %" PRIu64 "\n",
			now.running, now.waiting, now.usage, en->batch.tokens);
	httpd_answer (req, 200, "text/plain; version=0.0.4", text, (size_t)len);
}

static int
on_request (h2o_req_t *req, void *ctx)
{
	struct engine *en = ctx;

	if (en->hang)
		return 0;
	if (en->refuse)
		fake_error (req, 503, "refused");
	else if (httpd_path_is (req, "/v1/chat/completions"))
		take_completion (en, req, true);
	else if (httpd_path_is (req, "/v1/completions"))
		take_completion (en, req, false);
	else if (httpd_path_is (req, "/v1/models"))
		answer_models (en, req);
	else if (httpd_path_is (req, "/metrics"))
		answer_metrics (en, req);
	else if (httpd_path_is (req, "/health"))
		httpd_answer_json (req, 200, "{}");
	else
		return -1;
	return 0;
}

static void
on_changed (void *ctx)
{
	struct engine *en = ctx;

	engine_arm (en);
}

static void
add_count (struct json_object *out, const char *name, uint64_t n)
{
	json_object_object_add (out, name, json_object_new_int64 ((int64_t)n));
}

static void
on_seen (struct json_object *out, void *ctx)
{
	struct engine *en = ctx;
	struct json_object *p = json_object_new_object ();
	GHashTableIter it;
	void *name, *n;

	add_count (out, "max_at_once", en->batch.max_at_once);
	add_count (out, "cold_violations", en->batch.cold_violations);
	add_count (out, "tokens", en->batch.tokens);
	add_count (out, "completed", en->completed);
	add_count (out, "completed_tokens", en->whole_tokens);
	add_count (out, "cancelled", en->cancelled);
	add_count (out, "cancelled_tokens", en->cancelled_tokens);
	add_count (out, "cut", en->cut);
	add_count (out, "running", en->batch.running->len);
	add_count (out, "waiting", en->batch.waiting->len);
	g_hash_table_iter_init (&it, en->priorities);
	while (g_hash_table_iter_next (&it, &name, &n))
		add_count (p, name, GPOINTER_TO_SIZE (n));
	json_object_object_add (out, "priorities", p);
}

static void
on_start (struct fake *f, void *ctx)
{
	struct engine *en = ctx;

	en->priorities =
		g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init (&en->samples);
	batch_init (&en->batch, &en->conf, &engine_batch_ops, en);
	tmr_init (&en->tick, f->daemon.loop, engine_tick, en);
}

int
main (int argc, char **argv)
{
	static const struct fake_ops ops = {
		.prog = "fake-engine",
		.doc = "Stand-in for a model engine.",
		.knobs = knobs,
		.start = on_start,
		.request = on_request,
		.changed = on_changed,
		.seen = on_seen,
	};
	static struct engine en;

	return fake_main (&en.f, &ops, &en, argc, argv);
}
