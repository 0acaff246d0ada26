/*
 * The table-driven msgpack codec.
 */
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "msg.h"

/* Deepest nesting of lists in our tables, with room for one version more. */
#define DEPTH_MAX 6

static void pack_list (msgpack_packer *pk, const struct msg_field *f,
		       const void *p);

static const void *
member (const struct msg_field *f, const void *obj)
{
	return (const uint8_t *)obj + f->offset;
}

/* Zero values are left out: a missing tag reads as zero. */
static bool
is_zero (const struct msg_field *f, const void *p)
{
	static const uint8_t zeros[64];

	switch (f->type) {
	case MSG_END:
		return true;
	case MSG_STR:
		return *(const char *)p == '\0';
	case MSG_NAME:
		return **(const char *const *)p == '\0';
	case MSG_BYTES:
		return ((const struct msg_bytes *)p)->len == 0;
	case MSG_LIST:
		return ((const struct msg_list *)p)->count == 0;
	case MSG_BIN:
		for (uint32_t i = 0; i < f->size; i++) {
			if (((const uint8_t *)p)[i] != 0)
				return false;
		}
		return true;
	case MSG_BOOL:
	case MSG_U8:
	case MSG_U16:
	case MSG_U32:
	case MSG_U64:
	case MSG_I64:
	case MSG_F64:
		break;
	}
	return memcmp (p, zeros, f->size) == 0;
}

static uint64_t
get_unsigned (const struct msg_field *f, const void *p)
{
	uint64_t v = 0;

	/* Little-endian hosts only, as the memcpy below says. */
	memcpy (&v, p, f->size);
	return v;
}

static const char *
text_of (const struct msg_field *f, const void *p)
{
	return f->type == MSG_NAME ? *(const char *const *)p : p;
}

static bool
has_long_text (const struct msg_field *f, const void *p)
{
	return (f->type == MSG_STR || f->type == MSG_NAME) &&
	       f->long_tag != 0 && strlen (text_of (f, p)) >= MSG_SHORT_BYTES;
}

/* What stands for a long name where only a short one is understood. */
static void
print_alias (const char *name, char out[MSG_SHORT_BYTES])
{
	const size_t hash_len = 1 + 16;
	size_t len = MSG_SHORT_BYTES - 1 - hash_len;

	/* Not between the bytes of a character. */
	while (len > 0 && ((uint8_t)name[len] & 0xc0) == 0x80)
		len--;
	g_snprintf (out, MSG_SHORT_BYTES, "%.*s~%016" G_GINT64_MODIFIER "x",
		    (int)len, name, (uint64_t)XXH64 (name, strlen (name), 0));
}

/* A text, and its alias before it where it is a long one. */
static void
pack_text (msgpack_packer *pk, const struct msg_field *f, const char *text)
{
	char alias[MSG_SHORT_BYTES];

	if (f->long_tag != 0 && strlen (text) >= MSG_SHORT_BYTES) {
		print_alias (text, alias);
		msgpack_pack_str_with_body (pk, alias, strlen (alias));
		msgpack_pack_uint8 (pk, f->long_tag);
	}
	msgpack_pack_str_with_body (pk, text, strlen (text));
}

static void
pack_value (msgpack_packer *pk, const struct msg_field *f, const void *p)
{
	const struct msg_bytes *b = p;
	int64_t i64;
	double f64;

	switch (f->type) {
	case MSG_END:
		break;
	case MSG_BOOL:
		if (*(const bool *)p)
			msgpack_pack_true (pk);
		else
			msgpack_pack_false (pk);
		break;
	case MSG_U8:
	case MSG_U16:
	case MSG_U32:
	case MSG_U64:
		msgpack_pack_uint64 (pk, get_unsigned (f, p));
		break;
	case MSG_I64:
		memcpy (&i64, p, sizeof i64);
		msgpack_pack_int64 (pk, i64);
		break;
	case MSG_F64:
		memcpy (&f64, p, sizeof f64);
		msgpack_pack_double (pk, f64);
		break;
	case MSG_STR:
	case MSG_NAME:
		pack_text (pk, f, text_of (f, p));
		break;
	case MSG_BIN:
		msgpack_pack_bin_with_body (pk, p, f->size);
		break;
	case MSG_BYTES:
		msgpack_pack_bin_with_body (pk, b->data, b->len);
		break;
	case MSG_LIST:
		pack_list (pk, f, p);
		break;
	}
}

static void
pack_struct (msgpack_packer *pk, const struct msg_field *fields,
	     const void *obj)
{
	const struct msg_field *f;
	size_t n = 0;

	for (f = fields; f->type != MSG_END; f++) {
		n += !is_zero (f, member (f, obj));
		n += has_long_text (f, member (f, obj));
	}
	msgpack_pack_map (pk, n);
	for (f = fields; f->type != MSG_END; f++) {
		if (is_zero (f, member (f, obj)))
			continue;
		msgpack_pack_uint8 (pk, f->tag);
		pack_value (pk, f, member (f, obj));
	}
}

static void
pack_list (msgpack_packer *pk, const struct msg_field *f, const void *p)
{
	const struct msg_list *l = p;

	msgpack_pack_array (pk, l->count);
	for (uint32_t i = 0; i < l->count; i++)
		pack_struct (pk, f->sub,
			     (const uint8_t *)l->items + (size_t)i * f->size);
}

void
msg_pack (const struct msg_field *fields, const void *obj, msgpack_sbuffer *out)
{
	msgpack_packer pk;

	msgpack_packer_init (&pk, out, msgpack_sbuffer_write);
	pack_struct (&pk, fields, obj);
}

static bool read_struct (const struct msg_field *fields,
			 const msgpack_object *o, void *obj, msgpack_zone *zone,
			 unsigned depth, struct err *e);

static bool
bad (const struct msg_field *f, const char *what, struct err *e)
{
	return err_set (e, ERR_PROTOCOL, "message field %u: %s", f->tag, what);
}

static bool
read_unsigned (const struct msg_field *f, const msgpack_object *o, void *p,
	       struct err *e)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return bad (f, "not an unsigned integer", e);
	if (f->size < 8 && o->via.u64 >> (8 * f->size) != 0)
		return bad (f, "out of range", e);
	memcpy (p, &o->via.u64, f->size);
	return true;
}

static bool
read_text (const struct msg_field *f, const msgpack_object *o, void *p,
	   struct err *e)
{
	if (o->type != MSGPACK_OBJECT_STR)
		return bad (f, "not a string", e);
	if (o->via.str.size >= f->size)
		return bad (f, "string too long", e);
	/* msgpack-c gives an empty one no address. */
	if (o->via.str.size > 0) {
		if (memchr (o->via.str.ptr, '\0', o->via.str.size) != NULL)
			return bad (f, "string holds a zero byte", e);
		memcpy (p, o->via.str.ptr, o->via.str.size);
	}
	((char *)p)[o->via.str.size] = '\0';
	return true;
}

static bool
read_name (const struct msg_field *f, const msgpack_object *o, void *p,
	   msgpack_zone *zone, struct err *e)
{
	struct msg_field text = *f;
	char *copy;

	if (o->type != MSGPACK_OBJECT_STR)
		return bad (f, "not a string", e);
	text.size = o->via.str.size + 1;
	copy = msgpack_zone_malloc (zone, text.size);
	if (copy == NULL)
		return err_set (e, ERR_INTERNAL, "message: out of memory");
	if (!read_text (&text, o, copy, e))
		return false;
	memcpy (p, &copy, sizeof copy);
	return true;
}

static bool
read_bin (const struct msg_field *f, const msgpack_object *o, void *p,
	  struct err *e)
{
	struct msg_bytes *b = p;

	if (o->type != MSGPACK_OBJECT_BIN)
		return bad (f, "not bytes", e);
	if (f->type == MSG_BIN) {
		if (o->via.bin.size != f->size)
			return bad (f, "wrong length", e);
		memcpy (p, o->via.bin.ptr, f->size);
		return true;
	}
	if (o->via.bin.size > f->max)
		return bad (f, "too many bytes", e);
	b->data = (const uint8_t *)o->via.bin.ptr;
	b->len = o->via.bin.size;
	return true;
}

static bool
read_list (const struct msg_field *f, const msgpack_object *o, void *p,
	   msgpack_zone *zone, unsigned depth, struct err *e)
{
	struct msg_list *l = p;
	const msgpack_object_array *a = &o->via.array;
	uint8_t *items;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return bad (f, "not a list", e);
	if (a->size > f->max)
		return bad (f, "too many items", e);
	if (a->size == 0)
		return true;
	items = msgpack_zone_malloc (zone, (size_t)a->size * f->size);
	if (items == NULL)
		return err_set (e, ERR_INTERNAL, "message: out of memory");
	for (uint32_t i = 0; i < a->size; i++) {
		if (!read_struct (f->sub, &a->ptr[i],
				  items + (size_t)i * f->size, zone, depth + 1,
				  e))
			return false;
	}
	l->items = items;
	l->count = a->size;
	return true;
}

static bool
read_number (const struct msg_field *f, const msgpack_object *o, void *p,
	     struct err *e)
{
	if (f->type == MSG_F64) {
		if (o->type != MSGPACK_OBJECT_FLOAT64)
			return bad (f, "not a float", e);
		memcpy (p, &o->via.f64, sizeof o->via.f64);
		return true;
	}
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 > INT64_MAX)
		return bad (f, "out of range", e);
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return bad (f, "not an integer", e);
	memcpy (p, &o->via.i64, sizeof o->via.i64);
	return true;
}

static bool
read_value (const struct msg_field *f, const msgpack_object *o, void *p,
	    msgpack_zone *zone, unsigned depth, struct err *e)
{
	switch (f->type) {
	case MSG_END:
		return true;
	case MSG_BOOL:
		if (o->type != MSGPACK_OBJECT_BOOLEAN)
			return bad (f, "not a boolean", e);
		*(bool *)p = o->via.boolean;
		return true;
	case MSG_U8:
	case MSG_U16:
	case MSG_U32:
	case MSG_U64:
		return read_unsigned (f, o, p, e);
	case MSG_I64:
	case MSG_F64:
		return read_number (f, o, p, e);
	case MSG_STR:
		return read_text (f, o, p, e);
	case MSG_NAME:
		return read_name (f, o, p, zone, e);
	case MSG_BIN:
	case MSG_BYTES:
		return read_bin (f, o, p, e);
	case MSG_LIST:
		return read_list (f, o, p, zone, depth, e);
	}
	return bad (f, "unknown type", e);
}

static size_t
struct_size (const struct msg_field *fields)
{
	size_t end = 0;

	for (const struct msg_field *f = fields; f->type != MSG_END; f++) {
		size_t size = f->size;

		if (f->type == MSG_BYTES)
			size = sizeof (struct msg_bytes);
		else if (f->type == MSG_LIST)
			size = sizeof (struct msg_list);
		if (f->offset + size > end)
			end = f->offset + size;
	}
	return end;
}

/* Zero, and names without text. */
static void
clear_struct (const struct msg_field *fields, void *obj)
{
	static const char *const none = "";

	memset (obj, 0, struct_size (fields));
	for (const struct msg_field *f = fields; f->type != MSG_END; f++) {
		if (f->type == MSG_NAME)
			memcpy ((uint8_t *)obj + f->offset, &none, sizeof none);
	}
}

static bool
is_tag (const struct msg_field *f, uint64_t tag)
{
	return f->tag == tag || (f->long_tag != 0 && f->long_tag == tag);
}

static bool
read_struct (const struct msg_field *fields, const msgpack_object *o, void *obj,
	     msgpack_zone *zone, unsigned depth, struct err *e)
{
	const msgpack_object_map *map = &o->via.map;

	if (o->type != MSGPACK_OBJECT_MAP)
		return err_set (e, ERR_PROTOCOL, "message: not a map");
	if (depth > DEPTH_MAX)
		return err_set (e, ERR_PROTOCOL, "message: nested too deep");
	clear_struct (fields, obj);
	for (uint32_t i = 0; i < map->size; i++) {
		const msgpack_object_kv *kv = &map->ptr[i];
		const struct msg_field *f = fields;

		if (kv->key.type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return err_set (e, ERR_PROTOCOL, "message: bad tag");
		while (f->type != MSG_END && !is_tag (f, kv->key.via.u64))
			f++;
		if (!read_value (f, &kv->val, (uint8_t *)obj + f->offset, zone,
				 depth, e))
			return false;
	}
	return true;
}

bool
msg_unpack (const struct msg_field *fields, const void *data, size_t len,
	    void *obj, msgpack_zone *zone, struct err *e)
{
	msgpack_object o;
	size_t used = 0;

	clear_struct (fields, obj);
	if (!msg_fits (data, len) ||
	    msgpack_unpack (data, len, &used, zone, &o) !=
		    MSGPACK_UNPACK_SUCCESS)
		return err_set (e, ERR_PROTOCOL,
				"message: %zu bytes, not one msgpack object",
				len);
	return read_struct (fields, &o, obj, zone, 0, e);
}
