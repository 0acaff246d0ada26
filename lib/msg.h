#ifndef DH_MSG_H
#define DH_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <msgpack.h>

#include "err.h"

/*
 * Typed messages: a C struct and a table of its fields.  On the wire a
 * message is a msgpack map from field tag to value; an unknown tag is
 * skipped and a missing one leaves zero, so that two versions can run at
 * once.  The same codec serves frames, log entries and snapshots.
 */

/** enum msg_type - the C type of a field */
enum msg_type {
	MSG_END,
	MSG_BOOL,  /* bool */
	MSG_U8,    /* uint8_t */
	MSG_U16,   /* uint16_t */
	MSG_U32,   /* uint32_t */
	MSG_U64,   /* uint64_t */
	MSG_I64,   /* int64_t */
	MSG_F64,   /* double */
	MSG_STR,   /* char[size], always terminated */
	MSG_NAME,  /* const char * to text in the arena, never NULL */
	MSG_BIN,   /* uint8_t[size], of exactly that length */
	MSG_BYTES, /* struct msg_bytes, of any length */
	MSG_LIST,  /* struct msg_list of @sub structs */
};

/** struct msg_bytes - bytes that live in the message's arena */
struct msg_bytes {
	const uint8_t *data;
	uint32_t len;
};

/** struct msg_list - an array of structs that lives in the arena */
struct msg_list {
	void *items;
	uint32_t count;
};

/**
 * struct msg_field - one field
 * @tag: its number on the wire; never used again for another meaning
 * @type: its C type
 * @offset: where it stands in the struct
 * @size: bytes, for MSG_STR and MSG_BIN; the struct's size, for MSG_LIST
 * @sub: the fields of a MSG_LIST item
 * @max: most items of a MSG_LIST, most bytes of a MSG_BYTES
 * @long_tag: of a name that MSG_SHORT_BYTES don't hold; 0: it has none
 */
struct msg_field {
	uint8_t tag;
	enum msg_type type;
	uint32_t offset;
	uint32_t size;
	const struct msg_field *sub;
	uint32_t max;
	uint8_t long_tag;
};

/*
 * Names once had at most MSG_SHORT_BYTES with their end.  A longer one is sent
 * under @long_tag, and under @tag an alias of it that differs from those of
 * other names, for receivers of that version.
 */
#define MSG_SHORT_BYTES 64

/* Table rows: MSG_FIELD (1, MSG_U64, struct hello, incarnation) */
#define MSG_FIELD(tag_, type_, struct_, member_)                               \
	{                                                                      \
		.tag = tag_, .type = type_,                                    \
		.offset = offsetof (struct_, member_),                         \
		.size = sizeof (((struct_ *)0)->member_)                       \
	}
#define MSG_FIELD_LONG(tag_, long_tag_, type_, struct_, member_)               \
	{                                                                      \
		.tag = tag_, .long_tag = long_tag_, .type = type_,             \
		.offset = offsetof (struct_, member_),                         \
		.size = sizeof (((struct_ *)0)->member_)                       \
	}
#define MSG_FIELD_BYTES(tag_, struct_, member_, max_)                          \
	{                                                                      \
		.tag = tag_, .type = MSG_BYTES,                                \
		.offset = offsetof (struct_, member_), .max = max_             \
	}
#define MSG_FIELD_LIST(tag_, struct_, member_, item_, sub_, max_)              \
	{                                                                      \
		.tag = tag_, .type = MSG_LIST,                                 \
		.offset = offsetof (struct_, member_), .size = sizeof (item_), \
		.sub = sub_, .max = max_                                       \
	}
#define MSG_FIELD_END                                                          \
	{                                                                      \
		.type = MSG_END                                                \
	}

/**
 * msg_pack() - append @obj to @out
 * @fields: its table
 * @obj: the struct
 * @out: receives the msgpack bytes
 */
void msg_pack (const struct msg_field *fields, const void *obj,
	       msgpack_sbuffer *out);

/**
 * msg_fits() - whether bytes hold exactly one msgpack value
 *
 * A declared length that the bytes cannot hold is found before any memory is
 * taken for it.
 */
bool msg_fits (const void *data, size_t len);

/**
 * msg_unpack() - read one message
 * @fields: the table of the struct expected
 * @data: the bytes
 * @len: their count
 * @obj: filled in; zeroed first.  MSG_BYTES point into @data, MSG_LIST into
 *	@zone, so both must outlive it.
 * @zone: arena for lists
 * @e: ERR_PROTOCOL on a type, range, length or depth that does not fit
 *
 * Return: whether the bytes held exactly one such message.
 */
bool msg_unpack (const struct msg_field *fields, const void *data, size_t len,
		 void *obj, msgpack_zone *zone, struct err *e);

#endif
