#ifndef DH_CHAT_H
#define DH_CHAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "inv.h"
#include "route.h"

/*
 * OpenAI-style request bodies: what the decisions need to know of one, and
 * the body as an engine gets it.
 */

/** struct chat - one request as read from its body */
struct chat {
	char model[INV_NAME_BYTES];
	bool stream;
	uint32_t max_tokens;    /* 0: not said */
	uint32_t prompt_tokens; /* estimate, from the prompt's length */
	uint64_t prefix[ROUTE_PREFIX_MAX];
	uint32_t prefix_tokens[ROUTE_PREFIX_MAX];
	uint32_t prefix_count;
};

/**
 * chat_parse() - read a body
 * @chat_form: "messages" is wanted; else "prompt"
 * @e: ERR_BAD_REQUEST with what is wrong
 */
bool chat_parse (struct chat *c, const char *body, size_t len, bool chat_form,
		 struct err *e);

/**
 * chat_body() - the body for an engine; free with g_free()
 * @priority: the engine's priority, lower is sooner; a caller's own is
 *	removed.  Negative: none is added.
 * @resume_from: tokens already relayed, where a stream is resumed; else 0
 * @out_len: its length in bytes
 */
char *chat_body (const char *body, size_t len, int priority,
		 uint64_t resume_from, size_t *out_len);

#endif
