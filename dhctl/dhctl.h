#ifndef DHCTL_H
#define DHCTL_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <h2o.h>

#include "inv.h"
#include "set_daemons.h"

/*
 * What the files of the operators' client give each other.
 */

#define CTL_TOKEN_BYTES 128
#define CTL_ID_BYTES 40
#define CTL_REPLY_MAX_BYTES (128U << 20)

/** enum ctl_exit - exit statuses */
enum ctl_exit {
	CTL_OK = 0,
	CTL_FAILED = 1,
	CTL_USAGE = 2,
	CTL_CONFLICT = 3,
	CTL_INCOMPLETE = 4, /* some instance has not confirmed */
};

/**
 * struct ctl - one run of the client
 * @set: its settings, options included
 * @token: what it shows to admin listeners
 * @json: print JSON in place of tables
 * @wait: wait until a change is in force everywhere
 * @base: base revision given, where @has_base
 * @timeout_ms: how long to look for a leader or for acknowledgements
 * @args: the words after the verb, @argc of them
 * @loop: runs while an exchange stands
 * @peers: IP:port to struct httpc_peer
 */
struct ctl {
	struct set_dhctl set;
	char token[CTL_TOKEN_BYTES];
	bool json;
	bool wait;
	bool has_base;
	uint64_t base;
	uint64_t timeout_ms;
	char **args;
	int argc;
	h2o_loop_t *loop;
	GHashTable *peers;
};

/**
 * struct ctl_reply - an answer
 * @status: HTTP status
 * @body: its text, terminated
 * @json: its body, where it is JSON
 * @from: IP:port it came from
 */
struct ctl_reply {
	int status;
	char *body;
	size_t len;
	json_object *json;
	char from[SET_ADDR_BYTES];
};

/* client.c */

/** ctl_client_init() - prepare the loop; reads the token file */
bool ctl_client_init (struct ctl *c, struct err *e);

/** ctl_client_finish() - release it */
void ctl_client_finish (struct ctl *c);

/** ctl_reply_finish() - release an answer */
void ctl_reply_finish (struct ctl_reply *r);

/**
 * ctl_fetch() - one exchange with one admin listener
 * @addr: IP:port
 * @body: NULL where there is none
 * @r: filled in with any answer, refusals included
 * @e: ERR_IO where no whole answer came
 */
bool ctl_fetch (struct ctl *c, const char *addr, const char *method,
		const char *path, const char *body, struct ctl_reply *r,
		struct err *e);

/**
 * ctl_leader() - one exchange with the leading control member
 *
 * Follows refusals that name the leader and tries the members in turn until
 * the time-out, so the request must be one that may be sent twice.
 *
 * @e: ERR_IO where no member answered, else what the refusal says
 *
 * Return: whether the status was 200; @r holds the answer in any case where
 * its status is not 0.
 */
bool ctl_leader (struct ctl *c, const char *method, const char *path,
		 const char *body, struct ctl_reply *r, struct err *e);

/** ctl_get() - GET through ctl_leader(), any member where none leads */
bool ctl_get (struct ctl *c, const char *path, struct ctl_reply *r,
	      struct err *e);

/** ctl_pause() - a short pause between tries */
void ctl_pause (struct ctl *c);

/** ctl_new_id() - a random id for a change */
void ctl_new_id (char id[CTL_ID_BYTES]);

/* json.c: reading answers and printing tables */

/** ctl_str() - a string member, or "" */
const char *ctl_str (json_object *o, const char *name);

/** ctl_u64() - a number member, or 0 */
uint64_t ctl_u64 (json_object *o, const char *name);

/** ctl_sub() - an object or array member, or NULL */
json_object *ctl_sub (json_object *o, const char *name);

/**
 * ctl_table() - print an array of objects
 * @c: decides between aligned columns and JSON
 * @rows: the array, or NULL for an empty one
 * @columns: names ended by NULL, or NULL for all in the order they appear
 */
void ctl_table (const struct ctl *c, json_object *rows,
		const char *const *columns);

/** ctl_fail() - print an error; returns CTL_FAILED */
int ctl_fail (const struct err *e);

/* apply.c */

/**
 * struct ctl_inventory - the inventory in force
 * @revision: no later than that of @doc
 */
struct ctl_inventory {
	uint64_t revision;
	struct inv_doc doc;
};

/** ctl_inventory_get() - fetch it; release with inv_doc_finish() */
bool ctl_inventory_get (struct ctl *c, struct ctl_inventory *i, struct err *e);

/** ctl_inventory_read() - read a file and print its problems */
bool ctl_inventory_read (const char *path, struct inv_doc *d);

/**
 * ctl_edit - one object's new text
 * @object: what stands there, or NULL
 * @e: why there is none
 *
 * Return: the text, freed with g_free(); NULL with @e set.
 */
typedef char *(*ctl_edit) (json_object *object, void *ctx, struct err *e);

/**
 * ctl_change() - change one object, whatever else changes meanwhile
 * @edit: called again with the newer text where somebody else was first
 * @revision: in which the change is in force
 */
bool ctl_change (struct ctl *c, enum inv_section s, const char *name,
		 ctl_edit edit, void *ctx, uint64_t *revision, struct err *e);

/** ctl_wait() - wait until a revision is in force; an exit status */
int ctl_wait (struct ctl *c, uint64_t revision);

/** ctl_missing() - names of entries that lack a revision; NULL on failure */
json_object *ctl_missing (struct ctl *c, uint64_t revision);

/* The verbs; each returns an exit status. */
int ctl_check (struct ctl *c);
int ctl_diff (struct ctl *c);
int ctl_schema (struct ctl *c);
int ctl_check_config (struct ctl *c);
int ctl_apply (struct ctl *c);
int ctl_show (struct ctl *c);
int ctl_grant (struct ctl *c);
int ctl_withdraw (struct ctl *c);
int ctl_drain (struct ctl *c);
int ctl_undrain (struct ctl *c);
int ctl_control (struct ctl *c);
int ctl_safe_to_stop (struct ctl *c);
int ctl_report (struct ctl *c);

#endif
