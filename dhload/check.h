#ifndef DH_CHECK_H
#define DH_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

/*
 * Checks one answer as it arrives: whole, its own, in order.
 */

#define CHECK_TAG_BYTES 48
#define CHECK_WHY_BYTES 96

/** enum check_verdict - what an answer turned out to be */
enum check_verdict {
	CHECK_WHOLE,
	CHECK_CUT,   /* ended early, and looked like it */
	CHECK_WRONG, /* something that must never be */
};

/**
 * struct check - one answer under check
 * @tag: token i must be "TAG-i "
 * @expect: tokens that the whole answer has
 * @verify: false where tokens are not the stand-in's
 * @next: tokens so far
 */
struct check {
	char tag[CHECK_TAG_BYTES];
	uint64_t expect;
	bool stream;
	bool verify;
	uint64_t next;
	bool finish;
	bool done;
	bool error;
	bool wrong;
	int64_t usage;
	char why[CHECK_WHY_BYTES];
	GString *buf;
};

/** check_init() - prepare; @tag is copied */
void check_init (struct check *c, const char *tag, uint64_t expect, bool stream,
		 bool verify);

/** check_finish() - release it */
void check_finish (struct check *c);

/** check_feed() - a piece arrived; returns how many tokens it held */
uint64_t check_feed (struct check *c, const char *data, size_t len);

/**
 * check_end() - the answer ended
 * @clean: whether the connection said that it was whole
 */
enum check_verdict check_end (struct check *c, bool clean);

#endif
