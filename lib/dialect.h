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
#define DIA_SEGMENTS_MAX 32

/** struct dia_segment - a part of a prompt, in order; equal ids, equal text */
struct dia_segment {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct dia_request - what a caller's headers say
 * @id: the request's own id, "" where it has none
 * @key: the key presented, "" where there is none
 * @timeout_ms: how long the caller waits; 0 where not stated
 * @prompt_tokens: to be read, 0 where not stated
 * @max_output_tokens: at most
 * @segments: of the prompt; the last one is the request's own
 * @last_event_id: where a resumed stream goes on, or -1
 */
struct dia_request {
	char id[DIA_ID_BYTES];
	char key[DIA_KEY_BYTES];
	uint64_t timeout_ms;
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	struct dia_segment segments[DIA_SEGMENTS_MAX];
	uint32_t segment_count;
	int64_t last_event_id;
};

/**
 * struct dia_forward - what goes to an endpoint beside the caller's headers
 * @endpoint_id: id of the endpoint that is meant
 * @account: the key's client account, or NULL on open routes
 * @remaining_ms: time left
 * @tier: 0 is the most urgent
 * @is_engine: whether the endpoint takes a tier
 * @last_event_id: where the stream goes on, or -1
 * @kv_source: IP:port of an engine that holds parts of the prompt, or NULL
 */
struct dia_forward {
	const char *endpoint_id;
	const char *account;
	uint64_t remaining_ms;
	uint32_t tier;
	bool is_engine;
	int64_t last_event_id;
	const char *kv_source;
};

/**
 * struct dia_response - what an endpoint's headers say
 * @not_executed: the request was not run there and will not be
 * @misdirected: another endpoint has that address
 * @sealed: the endpoint vouches for the answer
 * @cold_ms: how long it stays cold
 */
struct dia_response {
	bool not_executed;
	bool misdirected;
	bool sealed;
	uint32_t cold_ms;
	char instance[FLEET_NAME_BYTES];
};

/** struct dia_order - so many endpoints of a service in a domain */
struct dia_order {
	const char *service;
	const char *domain;
	uint32_t count;
	bool reclaimable; /* of those that may be reclaimed */
};

/** enum dia_api_call - calls at our own interfaces */
enum dia_api_call {
	DIA_OTHER,
	DIA_READY,
	DIA_CONFIG_PUT,
	DIA_CONFIG_GET,
	DIA_DRAIN,
	DIA_UNDRAIN,
};

/**
 * struct dialect - the table
 * @request_id_header: name of the header that repeats a request's id
 * @match_api_call: which call @h is; @domain: for DIA_DRAIN and DIA_UNDRAIN
 * @parse_request: decode a caller's headers
 * @forwards_header: whether a caller's header goes on to the endpoint
 * @format_headers: append headers for an endpoint
 * @parse_response: decode an endpoint's headers
 * @parse_plan: decode a configuration and check it
 * @list_path: path of a page of the list of endpoints; @token: NULL for the
 *	first
 * @parse_list: append a page's entries to @out, an array of struct fleet_info;
 *	@next: token of the following page, or NULL; free with g_free().
 *	Entries that can't be read are counted in @skipped.
 * @format_usage: append the request, head and body, that reports a window
 * @format_order: the same, that orders a number of endpoints
 */
struct dialect {
	const char *request_id_header;
	enum dia_api_call (*match_api_call) (const struct h1_head *h,
					     char *domain, size_t size);
	void (*parse_request) (const struct h1_head *h,
			       struct dia_request *out);
	bool (*forwards_header) (const struct h1_header *x);
	void (*format_headers) (const struct dia_forward *s, GString *out);
	void (*parse_response) (const struct h1_head *h,
				struct dia_response *out);
	struct parse_plan *(*parse_plan) (const char *text, size_t len,
					  struct err *e);
	char *(*list_path) (const char *token);
	bool (*parse_list) (const char *text, size_t len, GArray *out,
			    char **next, uint32_t *skipped, struct err *e);
	void (*format_usage) (const struct gstate_window *w, const char *holder,
			      uint64_t fence, GString *out);
	void (*format_order) (const struct dia_order *o, const char *holder,
			      uint64_t fence, GString *out);
};

#endif
