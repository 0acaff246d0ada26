/*
 * Texts of configurations in chunks: what is put together is what was cut, and
 * a version that is still being fetched is kept while newer ones come.
 */
#include <string.h>

#include "plantext.h"
#include "t_run.h"

static GBytes *
make_text (size_t len, bool random, uint32_t seed)
{
	GRand *rand = g_rand_new_with_seed (seed);
	char *text = g_malloc (len);

	for (size_t i = 0; i < len; i++)
		text[i] = (char)(random ? g_rand_int_range (rand, 0, 256)
					: "route,"[i % 6]);
	g_rand_free (rand);
	return g_bytes_new_take (text, len);
}

static void
check_cut (size_t len, bool random)
{
	struct plantext_store s;
	struct plantext_chunk c;
	GByteArray *got = g_byte_array_new ();
	GBytes *text = make_text (len, random, (uint32_t)len);
	gsize size;
	struct err e;
	uint32_t wire = 0;

	plantext_store_init (&s);
	while (plantext_store_chunk (&s, 7, got->len, 7, text, 1, &c)) {
		CU_ASSERT (c.version == 7 && c.text_bytes == len);
		CU_ASSERT (c.offset == got->len);
		CU_ASSERT (c.data.len <= c.part_bytes);
		wire += c.data.len;
		CU_ASSERT_FATAL (plantext_append (&c, got, &e));
	}
	CU_ASSERT (got->len == len);
	CU_ASSERT (memcmp (got->data, g_bytes_get_data (text, &size), len) ==
		   0);
	CU_ASSERT (plantext_digest (got->data, got->len) == c.digest);
	CU_ASSERT (random || len < 1000 || wire < len / 20);
	plantext_store_finish (&s);
	g_byte_array_unref (got);
	g_bytes_unref (text);
}

static void
test_cut (void)
{
	static const size_t sizes[] = {1,
				       13000,
				       PLANTEXT_CHUNK_BYTES - 1,
				       PLANTEXT_CHUNK_BYTES,
				       PLANTEXT_CHUNK_BYTES + 1,
				       400000,
				       GSTATE_PLAN_MAX_BYTES};

	for (guint i = 0; i < G_N_ELEMENTS (sizes); i++) {
		check_cut (sizes[i], false);
		check_cut (sizes[i], true);
	}
}

static void
test_no_such_chunk (void)
{
	struct plantext_store s;
	struct plantext_chunk c;
	GBytes *text = make_text (100000, false, 1);

	plantext_store_init (&s);
	CU_ASSERT (!plantext_store_chunk (&s, 0, 0, 0, NULL, 1, &c));
	CU_ASSERT (!plantext_store_chunk (&s, 7, 1000, 7, text, 1, &c));
	CU_ASSERT (!plantext_store_chunk (&s, 7, 2 * PLANTEXT_CHUNK_BYTES, 7,
					  text, 1, &c));
	CU_ASSERT (!plantext_store_chunk (&s, 7, UINT32_MAX, 7, text, 1, &c));
	/* The newest in place of one that isn't held, from its start. */
	CU_ASSERT (plantext_store_chunk (&s, 5, PLANTEXT_CHUNK_BYTES, 7, text,
					 1, &c));
	CU_ASSERT (c.version == 7 && c.offset == 0);
	plantext_store_finish (&s);
	g_bytes_unref (text);
}

/* Versions come in series; one is fetched slowly all the while. */
static void
test_slow_fetch_is_kept (void)
{
	struct plantext_store s;
	struct plantext_chunk c;
	GByteArray *slow = g_byte_array_new ();
	struct err e;
	uint64_t version = 100;
	GBytes *first = make_text (1000000, true, 1);

	plantext_store_init (&s);
	CU_ASSERT_FATAL (
		plantext_store_chunk (&s, 0, 0, version, first, 1, &c));
	CU_ASSERT_FATAL (plantext_append (&c, slow, &e));
	for (uint64_t now_ms = 10; slow->len < 1000000; now_ms += 10) {
		GBytes *text;

		version++;
		text = make_text (100000, true, (uint32_t)version);
		CU_ASSERT (plantext_store_chunk (&s, 0, 0, version, text,
						 now_ms, &c));
		CU_ASSERT (c.version == version);
		CU_ASSERT_FATAL (plantext_store_chunk (
			&s, 100, slow->len, version, text, now_ms + 1, &c));
		CU_ASSERT_FATAL (c.version == 100 && c.offset == slow->len);
		CU_ASSERT_FATAL (plantext_append (&c, slow, &e));
		g_bytes_unref (text);
	}
	CU_ASSERT (plantext_digest (slow->data, slow->len) == c.digest);
	plantext_store_finish (&s);
	g_byte_array_unref (slow);
	g_bytes_unref (first);
}

static void
test_broken_data (void)
{
	uint8_t junk[100];
	GByteArray *got = g_byte_array_new ();
	struct plantext_chunk c = {.version = 1,
				   .text_bytes = 1000,
				   .part_bytes = 1000,
				   .data = {junk, sizeof junk}};
	struct err e;

	memset (junk, 7, sizeof junk);
	CU_ASSERT (!plantext_append (&c, got, &e));
	c.data.len = 0;
	CU_ASSERT (!plantext_append (&c, got, &e));
	c.data.len = sizeof junk;
	c.part_bytes = 10;
	CU_ASSERT (!plantext_append (&c, got, &e));
	c.part_bytes = UINT32_MAX;
	CU_ASSERT (!plantext_append (&c, got, &e));
	CU_ASSERT (got->len == 0);
	g_byte_array_unref (got);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"cut and put together", test_cut},
		{"no such chunk", test_no_such_chunk},
		{"a slow fetch is kept", test_slow_fetch_is_kept},
		{"broken data", test_broken_data},
		{NULL, NULL}};

	return t_run ("plantext", cases);
}
