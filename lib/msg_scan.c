/*
 * Checks that msgpack bytes hold what their heads declare.  msgpack-c takes
 * memory for a list as soon as it has read its length, so that five bytes
 * could ask for a hundred gigabytes.
 */
#include "msg.h"

/* msgpack-c nests no deeper by itself. */
#define NESTING_MAX 32

struct scan {
	const uint8_t *p;
	const uint8_t *end;
};

static bool scan_value (struct scan *s, unsigned depth);

static size_t
left (const struct scan *s)
{
	return (size_t)(s->end - s->p);
}

static bool
skip (struct scan *s, uint64_t n)
{
	if (n > left (s))
		return false;
	s->p += n;
	return true;
}

/* A big-endian length of @bytes bytes. */
static bool
length (struct scan *s, unsigned bytes, uint64_t *n)
{
	*n = 0;
	if (bytes > left (s))
		return false;
	while (bytes-- > 0)
		*n = *n << 8 | *s->p++;
	return true;
}

/* Each item takes at least a byte, so a longer list cannot be whole. */
static bool
scan_items (struct scan *s, uint64_t n, unsigned depth)
{
	if (n > left (s) || depth == NESTING_MAX)
		return false;
	while (n-- > 0) {
		if (!scan_value (s, depth + 1))
			return false;
	}
	return true;
}

/* How the value behind each head from 0xc0 to 0xdf is made up. */
static const struct {
	uint8_t length_bytes; /* of its length */
	uint8_t fixed;        /* bytes beside */
	uint8_t items;        /* values for each 1 of its length; 0: bytes */
	bool ok;
} heads[32] = {
	[0x00] = {0, 0, 0, true}, /* nil */
	[0x02] = {0, 0, 0, true}, /* false */
	[0x03] = {0, 0, 0, true}, /* true */
	[0x04] = {1, 0, 0, true}, /* bin 8, 16, 32 */
	[0x05] = {2, 0, 0, true}, [0x06] = {4, 0, 0, true},
	[0x07] = {1, 1, 0, true}, /* ext 8, 16, 32 */
	[0x08] = {2, 1, 0, true}, [0x09] = {4, 1, 0, true},
	[0x0a] = {0, 4, 0, true},                           /* float 32, 64 */
	[0x0b] = {0, 8, 0, true}, [0x0c] = {0, 1, 0, true}, /* uint 8 to 64 */
	[0x0d] = {0, 2, 0, true}, [0x0e] = {0, 4, 0, true},
	[0x0f] = {0, 8, 0, true}, [0x10] = {0, 1, 0, true}, /* int 8 to 64 */
	[0x11] = {0, 2, 0, true}, [0x12] = {0, 4, 0, true},
	[0x13] = {0, 8, 0, true}, [0x14] = {0, 2, 0, true}, /* fixext 1 to 16 */
	[0x15] = {0, 3, 0, true}, [0x16] = {0, 5, 0, true},
	[0x17] = {0, 9, 0, true}, [0x18] = {0, 17, 0, true},
	[0x19] = {1, 0, 0, true}, /* str 8, 16, 32 */
	[0x1a] = {2, 0, 0, true}, [0x1b] = {4, 0, 0, true},
	[0x1c] = {2, 0, 1, true},                           /* array 16, 32 */
	[0x1d] = {4, 0, 1, true}, [0x1e] = {2, 0, 2, true}, /* map 16, 32 */
	[0x1f] = {4, 0, 2, true},
};

static bool
scan_value (struct scan *s, unsigned depth)
{
	uint8_t head;
	uint64_t n;

	if (left (s) == 0)
		return false;
	head = *s->p++;
	if (head < 0x80 || head >= 0xe0) /* small integers */
		return true;
	if (head < 0x90) /* small map */
		return scan_items (s, (head & 0x0fU) * 2, depth);
	if (head < 0xa0) /* small array */
		return scan_items (s, head & 0x0fU, depth);
	if (head < 0xc0) /* small string */
		return skip (s, head & 0x1fU);
	head &= 0x1f;
	if (!heads[head].ok || !length (s, heads[head].length_bytes, &n))
		return false;
	if (heads[head].items > 0)
		return scan_items (s, n * heads[head].items, depth);
	return skip (s, n + heads[head].fixed);
}

bool
msg_fits (const void *data, size_t len)
{
	struct scan s = {.p = data};

	/* Nothing may have no address, to which nothing can be added. */
	if (len == 0)
		return false;
	s.end = s.p + len;
	return scan_value (&s, 0) && s.p == s.end;
}
