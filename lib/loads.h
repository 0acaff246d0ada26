#ifndef DH_LOADS_H
#define DH_LOADS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "msg.h"

/*
 * What all relays together have at each endpoint.  Each relay tells the
 * group's leader what it has there, and which shared parts of prompts it sent
 * where; the leader tells each the sum of the others, and their parts.  No
 * message grows with relays times endpoints.
 */

#define LOADS_MAX 8192
#define LOADS_PARTS_MAX 4096

/**
 * struct load - work at one endpoint
 * @ep: hash of its id
 * @unread: prompt tokens sent there and not yet read
 * @running: requests there
 */
struct load {
	uint32_t ep;
	uint32_t unread;
	uint32_t running;
};

/** struct load_part - a shared part of a prompt that an endpoint was sent */
struct load_part {
	uint64_t id;
	uint32_t ep;
	uint32_t tokens;
};

/** struct loads_msg - a table of loads; endpoints not in it have none */
struct loads_msg {
	struct msg_list loads; /* of struct load */
	uint64_t work_ms; /* reading time asked of engines since the start */
	struct msg_list parts; /* of struct load_part, new since the last one */
};

extern const struct msg_field loads_msg_fields[];

/** struct loads - the sum over reporters; the caller owns the memory */
struct loads {
	GHashTable *sum;     /* ep to struct load */
	GHashTable *reports; /* reporter to GArray of struct load */
	GHashTable *works;   /* reporter to its work_ms */
	double work_ms;      /* asked by all, since it was taken last */
	GArray *parts;       /* of struct told_part, not yet told on */
};

/** loads_init() - an empty table */
void loads_init (struct loads *l);

/** loads_finish() - release it */
void loads_finish (struct loads *l);

/** loads_take() - @reporter's newest table, in place of the one before */
void loads_take (struct loads *l, const void *reporter,
		 const struct loads_msg *m);

/** loads_drop() - @reporter is gone */
void loads_drop (struct loads *l, const void *reporter);

/** loads_others() - append the sums without @reporter's part to @out, an
 * array of struct load */
void loads_others (const struct loads *l, const void *reporter, GArray *out);

/** loads_parts() - append the parts that others than @reporter told to @out,
 * an array of struct load_part */
void loads_parts (const struct loads *l, const void *reporter, GArray *out);

/** loads_parts_told() - forget them, once all were told */
void loads_parts_told (struct loads *l);

/** loads_began() - whether any reporter ever asked for reading */
bool loads_began (const struct loads *l);

/** loads_work() - take the reading time asked of engines since the last call */
double loads_work (struct loads *l);

/** loads_ep() - the hash that names an endpoint */
uint32_t loads_ep (const char *id);

#endif
