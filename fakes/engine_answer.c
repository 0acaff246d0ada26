/*
 * One answer of the engine stand-in: its tokens as chunks or as a whole, with
 * the faults of a stream.
 */
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "engine.h"

#define CHUNK_BYTES 512
#define DEFAULT_MAX_TOKENS 512
#define PEEK_TOKENS 32

static uint64_t
hash_text (const char *s, uint64_t hash)
{
	for (; *s != '\0'; s++)
		hash = (hash ^ (uint8_t)*s) * 1099511628211ULL;
	return hash;
}

/* Equal for equal requests and seeds, so that another engine can resume. */
static uint64_t
seeded_length (const struct engine *en, const char *tag)
{
	uint64_t hash = hash_text (tag, 14695981039346656037ULL + en->f.seed);
	GRand *r = g_rand_new_with_seed ((guint32)(hash ^ (hash >> 32)));
	double u = g_rand_double (r);

	g_rand_free (r);
	/* Exponential, so that lengths are as unknown as they can be. */
	return 1 + (uint64_t)(-log (1 - u) * en->out_mean);
}

static void
flush (struct answer *a)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t buf;
	GString *tmp;

	if (a->busy || a->stopped || (a->out->len == 0 && !a->last))
		return;
	tmp = a->flight;
	a->flight = a->out;
	a->out = tmp;
	g_string_truncate (a->out, 0);
	buf = h2o_iovec_init (a->flight->str, a->flight->len);
	if (a->last)
		state = a->aborted ? H2O_SEND_STATE_ERROR
				   : H2O_SEND_STATE_FINAL;
	a->busy = true;
	a->stopped = a->last;
	h2o_send (a->req, &buf, buf.len > 0 ? 1 : 0, state);
}

static void
on_proceed (h2o_generator_t *gen, h2o_req_t *req)
{
	struct answer *a = (struct answer *)(void *)gen;

	(void)req;
	a->busy = false;
	flush (a);
}

static void
on_stop (h2o_generator_t *gen, h2o_req_t *req)
{
	struct answer *a = (struct answer *)(void *)gen;

	(void)req;
	a->stopped = true;
}

/* The one place where a request ends, however it ends. */
static void
answer_dispose (void *p)
{
	struct answer *a = p;
	struct engine *en = a->en;

	if (a->seq.running || a->seq.queued) {
		batch_remove (&en->batch, &a->seq);
		en->cancelled++;
		en->cancelled_tokens += a->made;
		engine_arm (en);
	}
	g_string_free (a->out, TRUE);
	g_string_free (a->flight, TRUE);
	g_free (a->prompt);
}

static void
chunk_text (struct answer *a, uint64_t index)
{
	if (a->chat)
		g_string_append_printf (
			a->out,
			"data: {\"id\":\"gen-%s\",\"object\":"
			"\"chat.completion.chunk\",\"created\":0,"
			"\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
			"{\"content\":\"%s-%" PRIu64 " \"},"
			"\"finish_reason\":null}],\"x_index\":%" PRIu64 "}\n\n",
			a->tag, a->model, a->tag, index, index);
	else
		g_string_append_printf (
			a->out,
			"data: {\"id\":\"gen-%s\",\"object\":"
			"\"text_completion\",\"created\":0,\"model\":\"%s\","
			"\"choices\":[{\"index\":0,\"text\":\"%s-%" PRIu64
			" \",\"finish_reason\":null}],\"x_index\":%" PRIu64
			"}\n\n",
			a->tag, a->model, a->tag, index, index);
}

static void
usage_text (const struct answer *a, char *buf, size_t size)
{
	snprintf (buf, size,
		  "{\"prompt_tokens\":%" PRIu64
		  ",\"completion_tokens\":%" PRIu64 ",\"total_tokens\":%" PRIu64
		  ",\"prompt_tokens_details\":{\"cached_tokens\":%" PRIu64 "}}",
		  a->seq.prompt_tokens, a->seq.next,
		  a->seq.prompt_tokens + a->seq.next, a->seq.cached_tokens);
}

static const char *
finish_reason (const struct answer *a)
{
	return a->limited ? "length" : "stop";
}

static void
last_chunk (struct answer *a)
{
	char usage[256];

	usage_text (a, usage, sizeof usage);
	g_string_append_printf (
		a->out,
		"data: {\"id\":\"gen-%s\",\"object\":\"%s\",\"created\":0,"
		"\"model\":\"%s\",\"choices\":[{\"index\":0,%s,"
		"\"finish_reason\":\"%s\"}],\"usage\":%s}\n\n"
		"data: [DONE]\n\n",
		a->tag, a->chat ? "chat.completion.chunk" : "text_completion",
		a->model, a->chat ? "\"delta\":{}" : "\"text\":\"\"",
		finish_reason (a), usage);
}

static void
release_held (struct answer *a, uint64_t index, bool all)
{
	for (unsigned i = 0; i < HELD_MAX; i++) {
		struct held *h = &a->held[i];

		if (!h->used || (!all && h->until > index))
			continue;
		h->used = false;
		chunk_text (a, h->index);
	}
}

static bool
hold (struct answer *a, uint64_t index, uint64_t by)
{
	for (unsigned i = 0; i < HELD_MAX; i++) {
		if (a->held[i].used)
			continue;
		a->held[i] = (struct held){index, index + by, true};
		return true;
	}
	return false;
}

static void
stream_token (struct answer *a, uint64_t index)
{
	const struct engine *en = a->en;
	bool late = en->swap_every > 0 && (index + 1) % en->swap_every == 0 &&
		    hold (a, index, en->swap_by);

	if (!late)
		chunk_text (a, index);
	release_held (a, index, false);
	if (!late && en->dup_every > 0 && (index + 1) % en->dup_every == 0)
		hold (a, index, 1);
}

static bool
cut_now (struct answer *a)
{
	struct engine *en = a->en;

	if (en->cut_after == 0 || a->made < en->cut_after || en->cut_count == 0)
		return false;
	en->cut_count--;
	en->cut++;
	batch_remove (&en->batch, &a->seq);
	en->cancelled_tokens += a->made;
	a->last = true;
	a->aborted = !en->cut_clean;
	return true;
}

static void
whole_answer (struct answer *a)
{
	GString *s = g_string_new (NULL);
	char usage[256];

	usage_text (a, usage, sizeof usage);
	g_string_append_printf (
		s,
		"{\"id\":\"gen-%s\",\"object\":\"%s\",\"created\":0,"
		"\"model\":\"%s\",\"choices\":[{\"index\":0,%s",
		a->tag, a->chat ? "chat.completion" : "text_completion",
		a->model,
		a->chat ? "\"message\":{\"role\":\"assistant\",\"content\":\""
			: "\"text\":\"");
	for (uint64_t i = a->from; i < a->seq.next; i++)
		g_string_append_printf (s, "%s-%" PRIu64 " ", a->tag, i);
	g_string_append_printf (s,
				"\"%s,\"finish_reason\":\"%s\"}],\"usage\":%s}",
				a->chat ? "}" : "", finish_reason (a), usage);
	httpd_answer_json (a->req, 200, s->str);
	g_string_free (s, TRUE);
}

static bool
on_admit (struct batch_seq *s, void *ctx)
{
	struct answer *a = s->owner;
	struct engine *en = ctx;

	if (!fake_gone (a->req))
		return true;
	en->cancelled++;
	return false;
}

static void
on_token (struct batch_seq *s, uint64_t index, void *ctx)
{
	struct answer *a = s->owner;
	struct engine *en = ctx;

	a->made++;
	if (a->stream) {
		stream_token (a, index);
		if (!cut_now (a) && s->next >= s->total)
			return;
		flush (a);
	} else if (a->made % PEEK_TOKENS == 0 && fake_gone (a->req)) {
		/* Writes nothing until its end, so it looks for itself. */
		en->cancelled++;
		en->cancelled_tokens += a->made;
		batch_remove (&en->batch, s);
		a->last = true;
		httpd_answer_json (a->req, 200, "{}");
	}
}

static void
on_done (struct batch_seq *s, void *ctx)
{
	struct answer *a = s->owner;
	struct engine *en = ctx;

	if (a->last || a->stopped)
		return;
	en->completed++;
	en->whole_tokens += a->made;
	if (!a->stream) {
		whole_answer (a);
		return;
	}
	release_held (a, 0, true);
	last_chunk (a);
	a->last = true;
	flush (a);
}

const struct batch_ops engine_batch_ops = {on_admit, on_token, on_done};

/* All text of the messages, or the prompt. */
static char *
prompt_text (struct json_object *body, bool chat)
{
	struct json_object *list, *text;
	GString *s;

	if (!chat)
		return g_strdup (fake_str (body, "prompt", ""));
	s = g_string_new (NULL);
	if (json_object_object_get_ex (body, "messages", &list) &&
	    json_object_is_type (list, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length (list); i++) {
			struct json_object *m =
				json_object_array_get_idx (list, i);

			if (json_object_object_get_ex (m, "content", &text))
				g_string_append (s,
						 json_object_get_string (text));
		}
	}
	return g_string_free (s, FALSE);
}

static void
count_priority (struct engine *en, int64_t priority)
{
	char name[32];

	snprintf (name, sizeof name, "%" PRId64, priority);
	g_hash_table_insert (
		en->priorities, g_strdup (name),
		GSIZE_TO_POINTER (GPOINTER_TO_SIZE (g_hash_table_lookup (
					  en->priorities, name)) +
				  1));
}

static void
answer_fill (struct answer *a, struct json_object *body)
{
	struct engine *en = a->en;
	uint64_t max, len;
	char tag[TAG_BYTES];
	struct json_object *v;

	snprintf (tag, sizeof tag, "t%016" PRIx64,
		  hash_text (a->prompt, 14695981039346656037ULL));
	snprintf (a->tag, sizeof a->tag, "%s", fake_str (body, "x_tag", tag));
	snprintf (a->model, sizeof a->model, "%s",
		  fake_str (body, "model", ""));
	a->stream = json_object_object_get_ex (body, "stream", &v) &&
		    json_object_get_boolean (v);
	max = (uint64_t)fake_int (body, "max_tokens", DEFAULT_MAX_TOKENS);
	len = (uint64_t)fake_int (body, "x_tokens",
				  (int64_t)seeded_length (en, a->tag));
	a->limited = len > max;
	a->from = (uint64_t)fake_int (body, "x_resume_from", 0);
	a->seq.total = a->limited ? max : len;
	a->seq.next = a->from;
	a->seq.priority = fake_int (body, "priority", 0);
	a->seq.prompt = a->prompt;
	a->seq.prompt_len = strlen (a->prompt);
	a->seq.owner = a;
	count_priority (en, a->seq.priority);
}

struct answer *
answer_new (struct engine *en, h2o_req_t *req, struct json_object *body,
	    bool chat)
{
	struct answer *a =
		h2o_mem_alloc_shared (&req->pool, sizeof *a, answer_dispose);

	memset (a, 0, sizeof *a);
	a->gen.proceed = on_proceed;
	a->gen.stop = on_stop;
	a->en = en;
	a->req = req;
	a->chat = chat;
	a->out = g_string_sized_new (CHUNK_BYTES);
	a->flight = g_string_sized_new (CHUNK_BYTES);
	a->prompt = prompt_text (body, chat);
	answer_fill (a, body);
	return a;
}

void
answer_begin (struct answer *a)
{
	h2o_req_t *req = a->req;

	if (a->stream) {
		req->res.status = 200;
		req->res.reason = "OK";
		h2o_add_header (&req->pool, &req->res.headers,
				H2O_TOKEN_CONTENT_TYPE, NULL,
				H2O_STRLIT ("text/event-stream"));
		h2o_start_response (req, &a->gen);
		/* Engines send their head at once, before any token. */
		a->busy = true;
		h2o_send (req, NULL, 0, H2O_SEND_STATE_IN_PROGRESS);
	}
	batch_add (&a->en->batch, &a->seq, tmr_now_us ());
	engine_arm (a->en);
}
