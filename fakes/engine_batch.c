/*
 * The timing of the engine stand-in.  Each running sequence makes its next
 * token one step after its last; a step grows with the batch.
 */
#include <string.h>

#include "engine_batch.h"

#define BLOCK_BYTES 64
#define BYTES_PER_TOKEN 4
#define COLLAPSE_FACTOR 10
#define TOKENS_PER_SLOT 2048

void
batch_init (struct batch *b, struct batch_conf *conf,
	    const struct batch_ops *ops, void *ctx)
{
	memset (b, 0, sizeof *b);
	b->conf = conf;
	b->ops = ops;
	b->ctx = ctx;
	b->running = g_ptr_array_new ();
	b->waiting = g_ptr_array_new ();
	b->cache = g_hash_table_new (g_int64_hash, g_int64_equal);
	g_queue_init (&b->lru);
}

static double
time_factor (const struct batch *b, uint64_t now_us)
{
	double f = b->conf->slow;

	if (now_us < b->collapsed_until_us)
		f *= COLLAPSE_FACTOR;
	return f;
}

static uint64_t
step_us (const struct batch *b, uint64_t now_us)
{
	double batch = 1 + b->conf->growth * ((double)b->running->len - 1);
	double us = (double)b->conf->itl_us * batch * time_factor (b, now_us);

	return us < 1 ? 1 : (uint64_t)us;
}

/* Move a block to the front, making it where there is room; true if known. */
static bool
cache_touch (struct batch *b, uint64_t hash)
{
	GList *l = g_hash_table_lookup (b->cache, &hash);
	uint64_t *key;

	if (l != NULL) {
		g_queue_unlink (&b->lru, l);
		g_queue_push_head_link (&b->lru, l);
		return true;
	}
	if (b->conf->cache_blocks == 0)
		return false;
	while (b->lru.length >= b->conf->cache_blocks) {
		key = g_queue_pop_tail (&b->lru);
		g_hash_table_remove (b->cache, key);
		g_free (key);
	}
	key = g_new (uint64_t, 1);
	*key = hash;
	g_queue_push_head (&b->lru, key);
	g_hash_table_insert (b->cache, key, b->lru.head);
	return false;
}

/* Blocks are hashed with all that stands before them (FNV-1a). */
static uint64_t
cached_tokens (struct batch *b, const struct batch_seq *s)
{
	uint64_t hash = 14695981039346656037ULL, blocks = 0;
	bool known = true;

	for (size_t i = 0; i < s->prompt_len; i++) {
		hash = (hash ^ (uint8_t)s->prompt[i]) * 1099511628211ULL;
		if ((i + 1) % BLOCK_BYTES != 0)
			continue;
		known = cache_touch (b, hash) && known;
		blocks += known;
	}
	return blocks * BLOCK_BYTES / BYTES_PER_TOKEN;
}

static void
start (struct batch *b, struct batch_seq *s, uint64_t now_us)
{
	uint64_t fresh;
	double us;

	s->prompt_tokens = s->prompt_len / BYTES_PER_TOKEN + 1;
	s->cached_tokens = cached_tokens (b, s);
	/* Tokens that a resumed stream brings along are prompt as well. */
	fresh = s->prompt_tokens - s->cached_tokens + s->next;
	us = (double)(b->conf->base_us + b->conf->prefill_us * fresh);
	s->next_us = now_us + (uint64_t)(us * time_factor (b, now_us));
	s->running = true;
	g_ptr_array_add (b->running, s);
}

static uint32_t
first_waiting (const struct batch *b)
{
	uint32_t best = 0;

	for (uint32_t i = 1; i < b->waiting->len; i++) {
		const struct batch_seq *s = b->waiting->pdata[i];
		const struct batch_seq *t = b->waiting->pdata[best];

		if (b->conf->honour_priority && s->priority != t->priority) {
			if (s->priority < t->priority)
				best = i;
		} else if (s->arrival < t->arrival) {
			best = i;
		}
	}
	return best;
}

static void
admit (struct batch *b, uint64_t now_us)
{
	while (b->waiting->len > 0 && b->running->len < b->conf->slots) {
		struct batch_seq *s = g_ptr_array_remove_index (
			b->waiting, first_waiting (b));

		s->queued = false;
		if (b->ops->admit (s, b->ctx))
			start (b, s, now_us);
	}
}

static void
note_arrival (struct batch *b, uint64_t now_us)
{
	uint64_t at_once = b->running->len + b->waiting->len;

	if (at_once > b->max_at_once)
		b->max_at_once = at_once;
	if (b->conf->cold && at_once > b->conf->cold_bound) {
		b->cold_violations++;
		b->collapsed_until_us = now_us + b->conf->collapse_us;
	}
}

void
batch_add (struct batch *b, struct batch_seq *s, uint64_t now_us)
{
	s->arrival = b->arrivals++;
	s->queued = true;
	g_ptr_array_add (b->waiting, s);
	note_arrival (b, now_us);
	batch_run (b, now_us);
}

void
batch_remove (struct batch *b, struct batch_seq *s)
{
	if (s->running)
		g_ptr_array_remove_fast (b->running, s);
	else if (s->queued)
		g_ptr_array_remove (b->waiting, s);
	s->running = false;
	s->queued = false;
}

/* One token of @s; true where it was the last. */
static bool
make_token (struct batch *b, struct batch_seq *s)
{
	uint64_t index = s->next++;

	b->tokens++;
	s->next_us += step_us (b, s->next_us);
	b->ops->token (s, index, b->ctx);
	return s->next >= s->total;
}

static void
note_served (struct batch *b)
{
	if (!b->conf->cold || ++b->served_cold < b->conf->cold_served)
		return;
	b->conf->cold = 0;
	b->served_cold = 0;
}

static bool
run_due (struct batch *b, uint64_t now_us)
{
	bool any = false;

	for (uint32_t i = 0; i < b->running->len; i++) {
		struct batch_seq *s = b->running->pdata[i];

		if (s->next_us > now_us)
			continue;
		any = true;
		if (s->next < s->total && !make_token (b, s))
			continue;
		batch_remove (b, s);
		note_served (b);
		b->ops->done (s, b->ctx);
		i--;
	}
	return any;
}

void
batch_run (struct batch *b, uint64_t now_us)
{
	do {
		admit (b, now_us);
	} while (run_due (b, now_us));
}

uint64_t
batch_next_us (const struct batch *b)
{
	uint64_t at = UINT64_MAX;

	/* A slot that its caller left is free at once. */
	if (b->waiting->len > 0 && b->running->len < b->conf->slots)
		return 0;
	for (uint32_t i = 0; i < b->running->len; i++) {
		const struct batch_seq *s = b->running->pdata[i];

		if (s->next_us < at)
			at = s->next_us;
	}
	return at;
}

double
batch_usage (const struct batch *b)
{
	double used = 0, all = (double)(b->conf->slots * TOKENS_PER_SLOT);

	for (uint32_t i = 0; i < b->running->len; i++) {
		const struct batch_seq *s = b->running->pdata[i];

		used += (double)(s->prompt_tokens + s->next);
	}
	return used >= all ? 1 : used / all;
}
