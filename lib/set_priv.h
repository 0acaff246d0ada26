#ifndef DH_SET_PRIV_H
#define DH_SET_PRIV_H

#include "set.h"

/*
 * What the files of settings give each other.
 */

/** struct set_place - where a value stands, for messages */
struct set_place {
	uint32_t line;
	char path[SET_PATH_BYTES];
	GArray *problems;
};

/** set_wrong() - append a problem with the value at @at; returns false */
bool set_wrong (const struct set_place *at, const char *what);

/**
 * set_value_read() - read one value
 * @r: its row
 * @to: the C member; unchanged where there is a problem, but a list may hold
 *	the items before it
 */
bool set_value_read (const struct set_row *r, struct json_object *v, char *to,
		     const struct set_place *at);

/** set_value_json() - a C member as a new JSON value */
struct json_object *set_value_json (const struct set_row *r, const char *from);

#endif
