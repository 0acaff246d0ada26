#ifndef DH_FAKE_H
#define DH_FAKE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "daemon.h"
#include "httpd.h"
#include "tmr.h"

/*
 * What the stand-ins share: options, the port file, one listener, and knobs:
 * named values that are set by -o NAME=VALUE at the start and by POST /_fault
 * with a JSON object at any time.
 *
 *   POST /_fault {"slow": 10}   set knobs; {"reset": 1} sets all as at the
 * start;
 *                               {"crash": 1} ends the process at once
 *   GET /_fault                 all knobs
 *   GET /_seen                  what arrived: counters of the stand-in, and
 *                               whether any credential did
 *   GET /_ran                   how often each tag ran
 */

#define FAKE_STR_BYTES 256

/** enum fake_type - the C type of a knob */
enum fake_type {
	FAKE_U64, /* uint64_t */
	FAKE_F64, /* double */
	FAKE_STR, /* char[FAKE_STR_BYTES] */
};

/**
 * struct fake_knob - one knob; a table ends with a NULL name
 * @name: its name
 * @type: its C type
 * @offset: where it stands in the stand-in's context
 * @def: default, as text
 * @doc: one line, with the unit
 */
struct fake_knob {
	const char *name;
	enum fake_type type;
	uint32_t offset;
	const char *def;
	const char *doc;
};

struct fake;

/**
 * struct fake_ops - what one stand-in adds
 * @prog: program name
 * @doc: one line on what it stands for
 * @knobs: its knobs
 * @start: called once before the listener opens
 * @request: a request outside the skeleton's paths; 0 where it was taken
 * @changed: knobs were set; may be NULL
 * @seen: add counters to the answer of /_seen; may be NULL
 */
struct fake_ops {
	const char *prog;
	const char *doc;
	const struct fake_knob *knobs;
	void (*start) (struct fake *f, void *ctx);
	int (*request) (h2o_req_t *req, void *ctx);
	void (*changed) (void *ctx);
	void (*seen) (struct json_object *out, void *ctx);
};

/** struct fake - the skeleton; the caller owns the memory */
struct fake {
	struct daemon daemon;
	struct httpd httpd;
	const struct fake_ops *ops;
	void *ctx;
	struct sockaddr_in addr;
	const char *port_file;
	GPtrArray *options; /* of NAME=VALUE, as given */
	uint32_t seed;
	GRand *rand;
	GHashTable *ran; /* tag to count */
	GQueue late;     /* answers that wait */
	struct tmr late_timer;
	uint64_t credential_headers;
	uint64_t key_texts;
	uint64_t requests;
};

/** fake_main() - run a stand-in; returns the exit status for main */
int fake_main (struct fake *f, const struct fake_ops *ops, void *ctx, int argc,
	       char **argv);

/** fake_ran() - count one run under @tag; returns the count */
uint64_t fake_ran (struct fake *f, const char *tag);

/** fake_body() - the request's body as JSON, or NULL; release with put */
struct json_object *fake_body (h2o_req_t *req);

/** fake_str() - a string member, or @def */
const char *fake_str (struct json_object *o, const char *name, const char *def);

/** fake_int() - an integer member, or @def */
int64_t fake_int (struct json_object *o, const char *name, int64_t def);

/** fake_answer() - answer with @o and release it */
void fake_answer (h2o_req_t *req, int status, struct json_object *o);

/** fake_error() - answer with an error object */
void fake_error (h2o_req_t *req, int status, const char *why);

/**
 * fake_answer_late() - answer with @o after a delay, or lose the answer
 * @delay_ms: 0 answers at once
 * @lose: close the connection in place of answering
 */
void fake_answer_late (struct fake *f, h2o_req_t *req, int status,
		       struct json_object *o, uint64_t delay_ms, bool lose);

/**
 * fake_drop() - close a request's connection without an answer
 *
 * The request must still be answered with anything, which goes nowhere: that
 * is how h2o notices.
 */
void fake_drop (h2o_req_t *req);

/** fake_gone() - whether an HTTP/1 caller has closed its connection */
bool fake_gone (h2o_req_t *req);

/**
 * fake_crash() - end the process, as a crash does
 * @req: its connection is closed first
 * @linger_ms: how long the others, and new ones, hang meanwhile
 */
void fake_crash (h2o_req_t *req, uint64_t linger_ms) __attribute__ ((noreturn));

#endif
