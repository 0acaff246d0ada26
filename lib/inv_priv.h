#ifndef DH_INV_PRIV_H
#define DH_INV_PRIV_H

#include "inv.h"

/*
 * What the inventory's own files give each other.
 */

#define INV_OBJECT_MAX_BYTES (64U << 10)
#define INV_CHANGES_MAX 100000

/** struct inv_endpoint_obj - an endpoint with its models still by name */
struct inv_endpoint_obj {
	struct inv_endpoint ep;
	GPtrArray *models;
};

/**
 * struct inv_table - one section
 * @name: in a document
 * @id: the member that names an object; NULL for the settings
 * @rows: the settings of its objects
 * @size: of the C struct that takes them; it starts with the name
 * @title: for the reference page
 */
struct inv_table {
	const char *name;
	const char *id;
	const struct set_row *rows;
	size_t size;
	const char *title;
};

/** inv_tables - by section */
extern const struct inv_table inv_tables[INV_SECTIONS];

/**
 * struct inv_obj - one object of a document, shared between documents
 * @refs: documents that hold it
 * @hash: its part of a document's digest
 * @json: canonical text
 * @name: its name; "settings" for the settings
 * @typed: the C struct of its section
 */
struct inv_obj {
	uint32_t refs;
	enum inv_section section;
	uint8_t hash[INV_DIGEST_BYTES];
	char *json;
	char name[INV_NAME_BYTES];
	void *typed;
};

/**
 * inv_obj_read() - make an object from its JSON
 * @s: its section
 * @json: the JSON object
 * @line: its line
 * @path: its path, for problems
 * @problems: every problem is appended
 *
 * Return: the object with one reference, even where parts have problems; NULL
 * where it has no usable name.
 */
struct inv_obj *inv_obj_read (enum inv_section s, struct json_object *json,
			      uint32_t line, const char *path,
			      GArray *problems);

/** inv_obj_unref() - give one reference back */
void inv_obj_unref (struct inv_obj *o);

/** inv_doc_put() - set one object; takes the reference */
void inv_doc_put (struct inv_doc *d, struct inv_obj *o);

/** inv_doc_find() - an object, or NULL */
struct inv_obj *inv_doc_find (const struct inv_doc *d, enum inv_section s,
			      const char *name);

/** inv_key_table_new() - an empty table from key hash to struct inv_key */
GHashTable *inv_key_table_new (void);

/**
 * inv_build_at() - inv_build() for a document just read
 * @lines: struct inv_obj * to its line, or NULL
 */
bool inv_build_at (struct inv *inv, const struct inv_doc *d, uint64_t revision,
		   GHashTable *lines, GArray *problems, struct err *e);

#endif
