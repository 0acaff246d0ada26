#ifndef DH_ENGINE_H
#define DH_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "engine_batch.h"
#include "fake.h"
#include "tmr.h"

#define TAG_BYTES 64
#define HELD_MAX 4

/** struct sample - one state of the load, for reports that lag */
struct sample {
	uint64_t at_us;
	uint32_t running;
	uint32_t waiting;
	double usage;
};

/** struct engine - the stand-in */
struct engine {
	struct fake f;
	struct batch batch;
	struct batch_conf conf;
	struct tmr tick;
	GQueue samples;
	/* knobs */
	char models[FAKE_STR_BYTES];
	char crash_marker[FAKE_STR_BYTES];
	uint64_t crash_linger_ms;
	double out_mean;
	uint64_t lag_ms;
	uint64_t resumes;
	uint64_t refuse;
	uint64_t hang;
	uint64_t cut_after;
	uint64_t cut_count;
	uint64_t cut_clean;
	uint64_t dup_every;
	uint64_t swap_every;
	uint64_t swap_by;
	/* counters */
	uint64_t cancelled;
	uint64_t cancelled_tokens;
	uint64_t cut;
	uint64_t completed;
	uint64_t whole_tokens;
	GHashTable *priorities;
};

/** struct held - a chunk kept back by a fault */
struct held {
	uint64_t index;
	uint64_t until;
	bool used;
};

/** struct answer - one request */
struct answer {
	h2o_generator_t gen;
	struct engine *en;
	h2o_req_t *req;
	struct batch_seq seq;
	char tag[TAG_BYTES];
	char model[TAG_BYTES];
	char *prompt;
	GString *out;    /* not yet given to h2o */
	GString *flight; /* given to h2o, in use until proceed */
	bool chat, stream, busy, last, aborted, stopped, limited;
	uint64_t from;
	uint64_t made;
	struct held held[HELD_MAX];
};

/** engine_batch_ops - what becomes of the batch's tokens; the context is the
 * engine, an owner its answer
 */
extern const struct batch_ops engine_batch_ops;

/** engine_arm() - wait for what the batch does next */
void engine_arm (struct engine *en);

/** answer_new() - an answer to @body, which the request's pool releases */
struct answer *answer_new (struct engine *en, h2o_req_t *req,
			   struct json_object *body, bool chat);

/** answer_begin() - send the head and put it in the batch */
void answer_begin (struct answer *a);

#endif
