#ifndef DH_SET_H
#define DH_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

/*
 * Settings: JSON with comments, checked against one table a kind of object.
 * The table reads an object into a struct, prints it back in canonical form,
 * and writes the reference page (dhctl schema).
 */

#define SET_PATH_BYTES 96
#define SET_ITEM_BYTES 48
#define SET_FILE_MAX_BYTES (1U << 20)
#define SET_PROBLEMS_MAX 1000

struct json_object;

/** enum set_type - the type of a setting and of the C member that takes it */
enum set_type {
	SET_END,
	SET_BOOL,   /* bool */
	SET_U8,     /* uint8_t */
	SET_U16,    /* uint16_t */
	SET_U32,    /* uint32_t */
	SET_U64,    /* uint64_t */
	SET_REAL,   /* double, not negative */
	SET_STRING, /* char[size] */
	SET_NAME,   /* char[size]: letters, digits, '-', '_', '.' */
	SET_ADDR,   /* char[size]: IP:port */
	SET_HEX,    /* uint8_t[size] as hex digits */
	SET_ENUM,   /* an enum; @words, ended by NULL, are its names in order */
	SET_LIST,   /* GPtrArray * of char *: an array of distinct strings,
		       each shorter than SET_ITEM_BYTES */
};

/**
 * struct set_row - one setting
 * @name: member name in the JSON object
 * @type: its type
 * @offset: of the C member
 * @size: of the C member in bytes
 * @required: whether it must be given
 * @def: default as JSON text, or NULL for zero, false, "" or []
 * @min: least value, length, count of items, or port of a SET_ADDR
 * @max: greatest value or count of items; 0 for what the member can hold
 * @words: for SET_ENUM
 * @doc: one sentence, with the unit
 */
struct set_row {
	const char *name;
	enum set_type type;
	uint32_t offset;
	uint32_t size;
	bool required;
	const char *def;
	uint64_t min;
	uint64_t max;
	const char *const *words;
	const char *doc;
};

/* Table rows: SET_ROW ("name", SET_NAME, struct foo, name, .required = true) */
#define SET_ROW(name_, type_, struct_, member_, ...)                           \
	{                                                                      \
		.name = name_, .type = type_,                                  \
		.offset = offsetof (struct_, member_),                         \
		.size = sizeof (((struct_ *)0)->member_), __VA_ARGS__          \
	}
#define SET_ROW_END                                                            \
	{                                                                      \
		.type = SET_END                                                \
	}

/** struct inv_problem - one thing wrong with a file */
struct inv_problem {
	uint32_t line;
	char path[SET_PATH_BYTES];
	char what[ERR_MSG_BYTES];
};

/**
 * set_problem() - append one problem
 * @problems: array of struct inv_problem, NULL to drop it; holds at most
 *	SET_PROBLEMS_MAX
 *
 * Return: false always.
 */
bool set_problem (GArray *problems, uint32_t line, const char *path,
		  const char *fmt, ...) __attribute__ ((format (printf, 4, 5)));

/**
 * set_json_parse() - parse JSON with comments
 * @text: the text
 * @len: its length in bytes
 * @problems: a syntax error, or every duplicate member, is appended; not NULL
 *
 * Return: the value, whose parts know their lines (see set_json_line()), or
 * NULL after a syntax error; release with json_object_put().  Don't print it:
 * the lines stand where json-c keeps text of its own.
 */
struct json_object *set_json_parse (const char *text, size_t len,
				    GArray *problems);

/** set_json_line() - the line @v stands on, or @line where it is unknown */
uint32_t set_json_line (struct json_object *v, uint32_t line);

/** set_defaults() - set every member of the table to its default */
void set_defaults (const struct set_row *rows, void *obj);

/**
 * set_read() - read one JSON object into a struct
 * @rows: the table
 * @json: the object
 * @line: its line where it knows none
 * @path: its path, "" at the top
 * @obj: every member of the table is set; one that is absent or has a
 *	problem gets its default.  Release with set_release() in any case.
 * @problems: every problem is appended: unknown name, wrong type, out of
 *	range, missing
 *
 * Return: whether there was no problem.
 */
bool set_read (const struct set_row *rows, struct json_object *json,
	       uint32_t line, const char *path, void *obj, GArray *problems);

/**
 * set_print() - a struct as canonical JSON
 *
 * Members stand in the table's order; those at their default are left out, so
 * a default never changes its value from one version to the next.
 *
 * Return: the text; free with g_free().
 */
char *set_print (const struct set_row *rows, const void *obj);

/**
 * set_load() - read one settings file into a struct
 * @path: the file
 * @rows: the table
 * @obj: filled in, defaults included; release with set_release() in any case
 * @problems: every problem is appended; may be NULL
 * @e: ERR_IO, or ERR_SETTINGS with the first problem as "file:line: path: ..."
 */
bool set_load (const char *path, const struct set_row *rows, void *obj,
	       GArray *problems, struct err *e);

/** set_release() - free the lists that set_load() or set_read() made */
void set_release (const struct set_row *rows, void *obj);

/** set_describe() - append the table as a Markdown page section */
void set_describe (const struct set_row *rows, const char *title, GString *out);

#endif
