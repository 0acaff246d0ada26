#ifndef DH_ENGINE_BATCH_H
#define DH_ENGINE_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * The timing of an engine that batches continuously: so many slots, a queue
 * by priority, a prefix cache in bounded memory, a cold start.  Time is
 * passed in; nothing here does input or output.
 */

/** struct batch_conf - the knobs of the model; times in microseconds */
struct batch_conf {
	uint64_t slots;
	uint64_t base_us;      /* least time to first token */
	uint64_t prefill_us;   /* for each prompt token not cached */
	uint64_t itl_us;       /* between tokens, alone in the batch */
	double growth;         /* of itl_us for each further sequence */
	double slow;           /* factor on all times */
	uint64_t cache_blocks; /* prompt blocks kept */
	uint64_t cold;         /* 1: in cold start; the model clears it */
	uint64_t cold_bound;   /* requests at once that a cold engine bears */
	uint64_t cold_served;  /* sequences served until it is warm */
	uint64_t collapse_us;  /* how long a collapse lasts */
	uint64_t honour_priority;
};

/** struct batch_seq - one sequence; the caller owns the memory */
struct batch_seq {
	int64_t priority; /* lower goes first */
	uint64_t arrival; /* order among equals */
	const char *prompt;
	size_t prompt_len;
	uint64_t prompt_tokens;
	uint64_t cached_tokens;
	uint64_t next;  /* index of the token made next */
	uint64_t total; /* tokens of the whole answer */
	uint64_t next_us;
	bool running;
	bool queued;
	void *owner;
};

/**
 * struct batch_ops - what happens to sequences
 * @admit: a slot is free for @s; false where its caller has gone
 * @token: token @index was made
 * @done: the last token was made; @s is no longer in the batch
 */
struct batch_ops {
	bool (*admit) (struct batch_seq *s, void *ctx);
	void (*token) (struct batch_seq *s, uint64_t index, void *ctx);
	void (*done) (struct batch_seq *s, void *ctx);
};

/** struct batch - the engine; the caller owns the memory */
struct batch {
	struct batch_conf *conf;
	const struct batch_ops *ops;
	void *ctx;
	GPtrArray *running;
	GPtrArray *waiting;
	GHashTable *cache; /* block hash to its link in @lru */
	GQueue lru;
	uint64_t arrivals;
	uint64_t served_cold;
	uint64_t tokens;
	uint64_t max_at_once;
	uint64_t cold_violations;
	uint64_t collapsed_until_us;
};

/** batch_init() - an idle engine; @conf may change at any time */
void batch_init (struct batch *b, struct batch_conf *conf,
		 const struct batch_ops *ops, void *ctx);

/** batch_add() - queue @s, whose priority, prompt, next and total are set */
void batch_add (struct batch *b, struct batch_seq *s, uint64_t now_us);

/** batch_remove() - cancel @s; harmless where it is not in the batch */
void batch_remove (struct batch *b, struct batch_seq *s);

/** batch_run() - make every token that is due */
void batch_run (struct batch *b, uint64_t now_us);

/** batch_next_us() - when the next token is due, or UINT64_MAX */
uint64_t batch_next_us (const struct batch *b);

/** batch_usage() - share of the cache memory in use, 0 to 1 */
double batch_usage (const struct batch *b);

#endif
