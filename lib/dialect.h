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
#include "rollout.h"

/*
 * The wire format of a deployment: a table of callbacks that translate between
 * its headers, paths and JSON documents and our types.  The callbacks only
 * parse and format; they make no decisions and keep no state.
 */

#define DIA_SEGMENTS_MAX 32

/**
 * struct dia_segment - one segment of a prompt
 * @id: hash of the segment's text; segments with equal ids have equal text
 * @tokens: its length
 */
struct dia_segment {
	uint64_t id;
	uint32_t tokens;
};

/**
 * struct dia_request - what the headers of a client's request state
 * @id: request id, in the head that was parsed, without a final NUL
 * @id_len: its length in bytes, 0 where the request has none
 * @key: API key, in the head that was parsed, without a final NUL
 * @key_len: its length in bytes, 0 where none is presented
 * @timeout_ms: how long the client waits for an answer, 0 where not stated
 * @prompt_tokens: length of the prompt, 0 where not stated
 * @max_output_tokens: upper bound of the answer's length, 0 where not stated
 * @segments: the prompt's segments in order; the last one belongs to this
 *	request alone, those before it may be shared with other requests
 * @segment_count: entries in use in @segments
 * @last_event_id: id of the last event received, where the client resumes a
 *	stream; otherwise -1
 */
struct dia_request {
	const char *id;
	size_t id_len;
	const char *key;
	size_t key_len;
	uint64_t timeout_ms;
	uint32_t prompt_tokens;
	uint32_t max_output_tokens;
	struct dia_segment segments[DIA_SEGMENTS_MAX];
	uint32_t segment_count;
	int64_t last_event_id;
};

/**
 * struct dia_forward - what a relay adds to a request that it forwards
 * @endpoint_id: id of the endpoint that the request is meant for; another one
 *	at the same address rejects the request
 * @account: client account of the request's key, or NULL on public routes
 * @remaining_ms: time until the request's deadline
 * @tier: priority, 0 is the most urgent
 * @is_engine: the endpoint is a model engine and accepts a priority
 * @last_event_id: id of the event after which a stream resumes, or -1
 * @kv_source: IP:port of an engine from which the endpoint may copy the KV
 *	cache of prompt segments, or NULL
 * @backup: IP:port of an engine that receives a copy of the run's KV cache as
 *	it grows, or NULL
 * @run_copy: IP:port of the engine whose copy of the run is continued, or NULL
 * @request_id: id of the request, needed with @run_copy
 */
struct dia_forward {
	const char *endpoint_id;
	const char *account;
	uint64_t remaining_ms;
	uint32_t tier;
	bool is_engine;
	int64_t last_event_id;
	const char *kv_source;
	const char *backup;
	const char *run_copy;
	const char *request_id;
};

/**
 * struct dia_response - what the headers of an endpoint's response state
 * @not_executed: the endpoint did not execute the request and will not
 * @misdirected: another endpoint than the expected one has the address
 * @sealed: the response carries a seal, by which the endpoint vouches for it
 * @cold_ms: how much longer the endpoint stays cold, 0 where not stated
 * @instance: id of the endpoint that answered, "" where not stated
 */
struct dia_response {
	bool not_executed;
	bool misdirected;
	bool sealed;
	uint32_t cold_ms;
	char instance[FLEET_NAME_BYTES];
};

/**
 * struct dia_order - sets the number of endpoints of a service in a domain
 * @service: name of the service
 * @domain: failure domain
 * @count: desired number of endpoints
 * @reclaimable: counts reclaimable endpoints; otherwise on-demand ones
 */
struct dia_order {
	const char *service;
	const char *domain;
	uint32_t count;
	bool reclaimable;
};

/**
 * struct dia_skipped - entries of a list that name no endpoint
 * @count: how many
 * @first: which was the first of them, and why; without bytes of it that are
 *	not plain, for log lines
 */
struct dia_skipped {
	uint32_t count;
	char first[160];
};

/** enum dia_api_call - calls that we answer ourselves */
enum dia_api_call {
	DIA_OTHER, /* none of the calls below */
	DIA_READY,
	DIA_CONFIG_PUT,
	DIA_CONFIG_GET,
	DIA_DRAIN,
	DIA_UNDRAIN,
	DIA_ROLLOUT_START,
	DIA_ROLLOUT_GET,
};

/**
 * struct dia_rollout - what an operator asks for
 * @service: name of the service
 * @target: version that its traffic is to be moved to
 * @duration_ms: time limit
 */
struct dia_rollout {
	char service[PLAN_NAME_BYTES];
	char target[ROLLOUT_VERSION_BYTES];
	uint64_t duration_ms;
};

/** struct dia_plan_reader - a configuration that is being parsed */
struct dia_plan_reader;

/**
 * struct dialect - parsers and formatters of a wire format
 * @request_id_header: name of the header that carries a request's id, and that
 *	endpoints copy into their responses
 * @match_api_call: which call @h is; writes the name in its path to @name, of
 *	@size bytes: the failure domain for DIA_DRAIN and DIA_UNDRAIN, the
 *	service for DIA_ROLLOUT_GET
 * @parse_request: parses the headers of a client's request
 * @forwards_header: whether a client's header is forwarded to the endpoint
 * @format_headers: appends the headers that a relay adds for an endpoint
 * @parse_response: parses the headers of an endpoint's response
 * @plan_begin: begins to parse and check a configuration, whose text must stay
 *	until @plan_end.  See planjob_start() and planjob_parse().
 * @plan_step: does a part of that work, which does not grow with the text;
 *	returns whether it was the last
 * @plan_end: returns the configuration with one reference, or NULL with
 *	ERR_BAD_REQUEST or ERR_CONFLICT; releases the reader, also before the
 *	last step
 * @list_path: path of a page of the platform's endpoint list; @token is NULL
 *	for the first page.  Freed with g_free().
 * @parse_list: appends the entries of a page to @out, an array of struct
 *	fleet_info.  @next is set to the token of the following page, or to
 *	NULL, and freed with g_free().  @skipped tells the invalid entries of
 *	this page and of those before it.  Returns false with ERR_PROTOCOL where
 *the page as a whole is invalid.
 * @format_usage: appends the request, head and body, that reports the usage of
 *	a window.  @holder names the member that holds the lease, @fence is
 *	its fencing token.
 * @format_order: appends the request, head and body, that sets a number of
 *	endpoints; @holder and @fence as in @format_usage
 * @parse_rollout: parses the body of DIA_ROLLOUT_START; returns false with
 *	ERR_BAD_REQUEST
 * @format_rollout: appends the body that answers DIA_ROLLOUT_GET
 */
struct dialect {
	const char *request_id_header;
	enum dia_api_call (*match_api_call) (const struct h1_head *h,
					     char *name, size_t size);
	void (*parse_request) (const struct h1_head *h,
			       struct dia_request *out);
	bool (*forwards_header) (const struct h1_header *x);
	void (*format_headers) (const struct dia_forward *s, GString *out);
	void (*parse_response) (const struct h1_head *h,
				struct dia_response *out);
	struct dia_plan_reader *(*plan_begin) (const char *text, size_t len);
	bool (*plan_step) (struct dia_plan_reader *r);
	struct plan *(*plan_end) (struct dia_plan_reader *r, struct err *e);
	char *(*list_path) (const char *token);
	bool (*parse_list) (const char *text, size_t len, GArray *out,
			    char **next, struct dia_skipped *skipped,
			    struct err *e);
	void (*format_usage) (const struct gstate_window *w, const char *holder,
			      uint64_t fence, GString *out);
	void (*format_order) (const struct dia_order *o, const char *holder,
			      uint64_t fence, GString *out);
	bool (*parse_rollout) (const char *text, size_t len,
			       struct dia_rollout *out, struct err *e);
	void (*format_rollout) (const struct rollout *r, GString *out);
};

#endif
