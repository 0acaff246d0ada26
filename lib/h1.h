#ifndef DH_H1_H
#define DH_H1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * HTTP/1.1 messages without input or output: heads, and the framing of
 * bodies.  h2o's own server normalises paths, hides repeated framing headers
 * and notices a closed connection only at the next write; a relay must see
 * all three.  Heads are parsed by the parser that h2o brings.
 */

#define H1_HEADERS_MAX 64

/** struct h1_header - one header; names keep the case they came in */
struct h1_header {
	const char *name;
	size_t name_len;
	const char *value;
	size_t value_len;
};

/** enum h1_framing - how the end of a body is known */
enum h1_framing {
	H1_NO_BODY,
	H1_LENGTH,
	H1_CHUNKED,
	H1_UNTIL_CLOSE,
};

/**
 * struct h1_head - a head; it points into the buffer that was parsed
 * @method: of a request
 * @path: of a request, with its query, as it came
 * @status: of a response
 * @minor: HTTP/1.@minor
 * @framing: of the body
 * @length: bytes of an H1_LENGTH body
 * @close: the sender closes the connection after this message
 * @expect_continue: a request's sender waits for a 100
 * @keep_s: seconds of a Keep-Alive timeout, 0 where none was given
 */
struct h1_head {
	const char *method;
	size_t method_len;
	const char *path;
	size_t path_len;
	int status;
	int minor;
	struct h1_header headers[H1_HEADERS_MAX];
	size_t count;
	enum h1_framing framing;
	uint64_t length;
	bool close;
	bool expect_continue;
	uint32_t keep_s;
};

/** enum h1_verdict - what became of a parse */
enum h1_verdict {
	H1_MORE, /* the head has not arrived whole */
	H1_OK,
	H1_BAD, /* not HTTP/1, or its framing is ambiguous */
};

/**
 * h1_request() - parse the head of a request
 * @used: bytes of the head
 */
enum h1_verdict h1_request (const char *buf, size_t len, struct h1_head *h,
			    size_t *used);

/** h1_method_is() - whether a request has method @name; case matters */
bool h1_method_is (const struct h1_head *h, const char *name);

/**
 * h1_has_body() - whether an answer carries a body
 * @status: its status
 * @to_head: it answers a HEAD request
 */
bool h1_has_body (int status, bool to_head);

/**
 * h1_response() - parse the head of a response
 * @to_head: it answers a HEAD request, so that it has no body
 */
enum h1_verdict h1_response (const char *buf, size_t len, bool to_head,
			     struct h1_head *h, size_t *used);

/** h1_find() - the first header called @name, or NULL */
const struct h1_header *h1_find (const struct h1_head *h, const char *name);

/** h1_is() - whether @x is called @name */
bool h1_is (const struct h1_header *x, const char *name);

/** h1_copy() - @x's value as a string; free with g_free(); NULL for NULL */
char *h1_copy (const struct h1_header *x);

/**
 * h1_hop_header() - whether a header concerns only one connection
 *
 * Those that a Connection header of @h names are among them.
 */
bool h1_hop_header (const struct h1_head *h, const struct h1_header *x);

/** h1_has_status_line() - whether the value of @x holds a status line, as where
 * a head broke off in the middle of a header and another head followed */
bool h1_has_status_line (const struct h1_header *x);

/** struct h1_body - the state of a body that is being read */
struct h1_body {
	enum h1_framing framing;
	uint64_t left;    /* of the body, or of the chunk */
	uint8_t state;    /* of the chunked coding */
	uint32_t line;    /* bytes of the line being read */
	uint32_t trailer; /* bytes of the trailer */
};

/** h1_body_init() - begin to read the body that @h announces */
void h1_body_init (struct h1_body *b, const struct h1_head *h);

/** enum h1_step - what h1_body_step() found */
enum h1_step {
	H1_STEP_MORE, /* all bytes given were used; more must come */
	H1_STEP_DATA, /* @data holds a piece of the body */
	H1_STEP_END,  /* the body is whole */
	H1_STEP_BAD,  /* not a valid coding */
};

/**
 * h1_body_step() - read on
 * @buf: what has arrived
 * @used: how much of it was used
 * @data: for H1_STEP_DATA, the piece, which points into @buf
 */
enum h1_step h1_body_step (struct h1_body *b, const char *buf, size_t len,
			   size_t *used, const char **data, size_t *data_len);

/** h1_status_text() - the reason phrase of a status */
const char *h1_status_text (int status);

#endif
