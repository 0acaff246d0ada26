#ifndef DH_DIALECT_H
#define DH_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "fleet.h"
#include "gstate.h"
#include "h1.h"
#include "plan.h"

/*
 * How a deployment names things on its wires: one table of callbacks that
 * translate between messages and our types.  It decides nothing and keeps
 * nothing.
 */

#define DIA_ID_BYTES 128
#define DIA_KEY_BYTES 256
#define DIA_PARTS_MAX 32

/** struct dia_part - a part of a prompt, in order; equal ids, equal text */
struct dia_part {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct dia_request - what a caller's headers say
 * @id: the request's own id, "" where it has none
 * @key: the key presented, "" where there is none
 * @wait_ms: how long the caller waits; 0 where not stated
 * @prompt_tokens: to be read, 0 where not stated
 * @output_tokens: at most
 * @parts: of the prompt; the last one is the request's own
 * @last_event: where a resumed stream goes on, or -1
 */
struct dia_request {
	char id[DIA_ID_BYTES];
	char key[DIA_KEY_BYTES];
	uint64_t wait_ms;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	struct dia_part parts[DIA_PARTS_MAX];
	uint32_t part_count;
	int64_t last_event;
};

/**
 * struct dia_send - what goes to an endpoint beside the caller's headers
 * @expect: id of the endpoint that is meant
 * @account: the key's client account, or NULL on open routes
 * @left_ms: time left
 * @tier: 0 is the most urgent
 * @is_engine: whether the endpoint takes a tier
 * @last_event: where the stream goes on, or -1
 * @copy_from: IP:port of an engine that holds parts of the prompt, or NULL
 */
struct dia_send {
	const char *expect;
	const char *account;
	uint64_t left_ms;
	uint32_t tier;
	bool is_engine;
	int64_t last_event;
	const char *copy_from;
};

/**
 * struct dia_answer - what an endpoint's headers say
 * @not_run: the request was not run there and will not be
 * @elsewhere: another endpoint has that address
 * @signed_off: the endpoint vouches for the answer
 * @cold_ms: how long it stays cold
 */
struct dia_answer {
	bool not_run;
	bool elsewhere;
	bool signed_off;
	uint32_t cold_ms;
	char instance[FLEET_NAME_BYTES];
};

/** struct dia_order - so many endpoints of a service in a domain */
struct dia_order {
	const char *service;
	const char *domain;
	uint32_t count;
	bool cheap; /* of those that may be reclaimed */
};

/** enum dia_call - calls at our own interfaces */
enum dia_call {
	DIA_OTHER,
	DIA_READY,
	DIA_PLAN_PUT,
	DIA_PLAN_GET,
	DIA_DRAIN,
	DIA_UNDRAIN,
};

/**
 * struct dialect - the table
 * @echo: name of the header that repeats a request's id
 * @call: which call @h is; @domain: for DIA_DRAIN and DIA_UNDRAIN
 * @request: decode a caller's headers
 * @forwards: whether a caller's header goes on to the endpoint
 * @send: append headers for an endpoint
 * @answer: decode an endpoint's headers
 * @plan: decode a configuration and check it
 * @list_path: path of a page of the list of endpoints; @token: NULL for the
 *	first
 * @list: append a page's entries to @out, an array of struct fleet_info;
 *	@next: token of the following page, or NULL; free with g_free().
 *	Entries that can't be read are counted in @skipped.
 * @usage: append the request, head and body, that reports a window
 * @order: the same, that orders a number of endpoints
 */
struct dialect {
	const char *echo;
	enum dia_call (*call) (const struct h1_head *h, char *domain,
			       size_t size);
	void (*request) (const struct h1_head *h, struct dia_request *out);
	bool (*forwards) (const struct h1_header *x);
	void (*send) (const struct dia_send *s, GString *out);
	void (*answer) (const struct h1_head *h, struct dia_answer *out);
	struct plan *(*plan) (const char *text, size_t len, struct err *e);
	char *(*list_path) (const char *token);
	bool (*list) (const char *text, size_t len, GArray *out, char **next,
		      uint32_t *skipped, struct err *e);
	void (*usage) (const struct gstate_window *w, const char *holder,
		       uint64_t fence, GString *out);
	void (*order) (const struct dia_order *o, const char *holder,
		       uint64_t fence, GString *out);
};

#endif
