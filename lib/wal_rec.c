/*
 * Records: their heads, their checksums, and how a torn tail is told from
 * damage.
 */
#include <string.h>

#include <zlib.h>

#include "wal_priv.h"

#define MAGIC 0x6c616864U
#define RECORD_MAX_BYTES (RAFT_SNAPSHOT_MAX_BYTES + (1U << 20))

const struct msg_field wal_pair_fields[] = {
	MSG_FIELD (1, MSG_U64, struct wal_pair, a),
	MSG_FIELD (2, MSG_U64, struct wal_pair, b),
	MSG_FIELD_END,
};

static uint32_t
checksum (const struct wal_head *h, const uint8_t *body, uint32_t len)
{
	struct wal_head copy = *h;
	uLong crc;

	copy.crc = 0;
	crc = crc32 (0, (const Bytef *)&copy, sizeof copy);
	return (uint32_t)crc32 (crc, body, len);
}

void
wal_rec_flag (GByteArray *out, size_t offset, uint8_t flags)
{
	struct wal_head h;

	memcpy (&h, out->data + offset, sizeof h);
	h.flags = flags;
	h.crc = GUINT32_TO_LE (checksum (&h, out->data + offset + sizeof h,
					 GUINT32_FROM_LE (h.len)));
	memcpy (out->data + offset, &h, sizeof h);
}

void
wal_rec_add (GByteArray *out, uint8_t type, uint8_t flags, uint64_t batch,
	     const struct msg_field *fields, const void *obj)
{
	struct wal_head h = {.type = type};
	size_t offset = out->len;
	msgpack_sbuffer body;

	msgpack_sbuffer_init (&body);
	msg_pack (fields, obj, &body);
	h.magic = GUINT32_TO_LE (MAGIC);
	h.len = GUINT32_TO_LE ((uint32_t)body.size);
	h.batch = GUINT64_TO_LE (batch);
	g_byte_array_append (out, (const guint8 *)&h, sizeof h);
	g_byte_array_append (out, (const guint8 *)body.data, (guint)body.size);
	msgpack_sbuffer_destroy (&body);
	wal_rec_flag (out, offset, flags);
}

bool
wal_rec_read (const uint8_t *data, size_t len, struct wal_head *h,
	      const uint8_t **body)
{
	uint32_t crc;

	if (len < sizeof *h)
		return false;
	memcpy (h, data, sizeof *h);
	if (GUINT32_FROM_LE (h->magic) != MAGIC)
		return false;
	if (GUINT32_FROM_LE (h->len) > RECORD_MAX_BYTES ||
	    GUINT32_FROM_LE (h->len) > len - sizeof *h)
		return false;
	*body = data + sizeof *h;
	crc = checksum (h, *body, GUINT32_FROM_LE (h->len));
	if (GUINT32_FROM_LE (h->crc) != crc)
		return false;
	h->len = GUINT32_FROM_LE (h->len);
	h->batch = GUINT64_FROM_LE (h->batch);
	return true;
}

bool
wal_rec_later (const uint8_t *data, size_t len, uint64_t batch)
{
	static const uint32_t magic = GUINT32_TO_LE (MAGIC);
	size_t at = 0;

	while (at + sizeof (struct wal_head) <= len) {
		const uint8_t *p =
			memmem (data + at, len - at, &magic, sizeof magic);
		struct wal_head h;
		const uint8_t *body;

		if (p == NULL)
			return false;
		at = (size_t)(p - data);
		if (wal_rec_read (p, len - at, &h, &body) && h.batch > batch)
			return true;
		at++;
	}
	return false;
}
