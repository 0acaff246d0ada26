/*
 * Fetching a configuration: from one member at a time, on from where a transfer
 * stopped, and to its end while newer versions come.
 */
#include <string.h>

#include "planfetch.h"
#include "t_run.h"

#define TEXT_BYTES 1000000U

/* Members, and the requests under way to each of them. */
struct member {
	struct plantext_store store;
	GBytes *text;
	uint64_t version;
	GArray *asked; /* of struct asked */
};

struct asked {
	uint64_t version;
	uint32_t offset;
};

struct world {
	struct planfetch f;
	struct member members[2];
	uint64_t now_ms;
	uint32_t most_asked; /* requests under way at a time */
	uint64_t moved;      /* bytes that arrived */
};

static GBytes *
text_of (uint64_t version, size_t len)
{
	GRand *rand = g_rand_new_with_seed ((uint32_t)version);
	uint8_t *text = g_malloc (len);

	for (size_t i = 0; i < len; i++)
		text[i] = (uint8_t)g_rand_int_range (rand, 0, 256);
	g_rand_free (rand);
	return g_bytes_new_take (text, len);
}

static void
member_hold (struct member *m, uint64_t version, size_t len)
{
	if (m->text != NULL)
		g_bytes_unref (m->text);
	m->text = text_of (version, len);
	m->version = version;
}

static void
world_init (struct world *w)
{
	memset (w, 0, sizeof *w);
	planfetch_init (&w->f);
	w->now_ms = 1000;
	for (int i = 0; i < 2; i++) {
		plantext_store_init (&w->members[i].store);
		w->members[i].asked =
			g_array_new (FALSE, FALSE, sizeof (struct asked));
		member_hold (&w->members[i], 7, TEXT_BYTES);
	}
}

static void
world_finish (struct world *w)
{
	planfetch_finish (&w->f);
	for (int i = 0; i < 2; i++) {
		plantext_store_finish (&w->members[i].store);
		g_array_free (w->members[i].asked, TRUE);
		g_bytes_unref (w->members[i].text);
	}
}

static void
send_requests (struct world *w)
{
	struct member *m = (struct member *)w->f.source.peer;
	struct asked a;

	while (planfetch_next (&w->f, &a.version, &a.offset))
		g_array_append_val (m->asked, a);
	if (m != NULL)
		w->most_asked = MAX (w->most_asked, m->asked->len);
}

static void
ask (struct world *w, int member)
{
	planfetch_ask (&w->f, &w->members[member], w->now_ms);
	send_requests (w);
}

/* The answer to the oldest request to a member arrives. */
static enum planfetch_result
answer (struct world *w, int member)
{
	struct member *m = &w->members[member];
	struct plantext_chunk c;
	enum planfetch_result got;
	struct asked a;
	struct err e;

	CU_ASSERT_FATAL (m->asked->len > 0);
	a = g_array_index (m->asked, struct asked, 0);
	g_array_remove_index (m->asked, 0);
	CU_ASSERT_FATAL (plantext_store_chunk (&m->store, a.version, a.offset,
					       m->version, m->text, w->now_ms,
					       &c));
	w->moved += c.data.len;
	got = planfetch_receive (&w->f, m, &c, 0, c.data.len, w->now_ms, &e);
	if (got == PLANFETCH_MORE && w->f.source.peer == m)
		send_requests (w);
	return got;
}

static enum planfetch_result
answer_all (struct world *w, int member)
{
	enum planfetch_result got = PLANFETCH_IGNORED;

	while (w->members[member].asked->len > 0)
		got = answer (w, member);
	return got;
}

static void
check_text (struct world *w, uint64_t version)
{
	GBytes *text = text_of (version, w->f.text->len);
	gsize len;

	CU_ASSERT (w->f.version == version);
	CU_ASSERT (memcmp (w->f.text->data, g_bytes_get_data (text, &len),
			   w->f.text->len) == 0);
	g_bytes_unref (text);
}

static void
test_one_member (void)
{
	struct world w;

	world_init (&w);
	ask (&w, 0);
	CU_ASSERT (w.members[0].asked->len == 1);
	CU_ASSERT (answer_all (&w, 0) == PLANFETCH_WHOLE);
	check_text (&w, 7);
	/* Chunks that don't shrink fill the window one at a time. */
	CU_ASSERT (w.most_asked == 1 && w.moved == TEXT_BYTES);
	world_finish (&w);
}

/* Small chunks are asked for ahead, so that a relay whose turns are long does
 * not wait for each of them. */
static void
test_window (void)
{
	struct world w;
	struct member *m = &w.members[0];
	char *zeros = g_malloc0 (TEXT_BYTES);

	world_init (&w);
	g_bytes_unref (m->text);
	m->text = g_bytes_new_take (zeros, TEXT_BYTES);
	m->version = 8;
	ask (&w, 0);
	CU_ASSERT (answer (&w, 0) == PLANFETCH_MORE);
	CU_ASSERT (m->asked->len == TEXT_BYTES / PLANTEXT_CHUNK_BYTES);
	CU_ASSERT (answer_all (&w, 0) == PLANFETCH_WHOLE);
	world_finish (&w);
}

static void
test_goes_on_elsewhere (void)
{
	struct world w;

	world_init (&w);
	ask (&w, 0);
	for (int i = 0; i < 9; i++)
		answer (&w, 0);
	CU_ASSERT (source_is_answering (&w.f.source, w.now_ms, w.now_ms + 499));
	CU_ASSERT (
		!source_is_answering (&w.f.source, w.now_ms, w.now_ms + 500));
	/* Bytes of other messages count. */
	CU_ASSERT (source_is_answering (&w.f.source, w.now_ms + 400,
					w.now_ms + 800));
	CU_ASSERT (!source_is_answering (&w.f.source, 0,
					 w.now_ms)); /* link down */
	w.now_ms += 500;
	ask (&w, 1);
	CU_ASSERT (w.f.source.stall_ms == 2 * SOURCE_STALL_MS);
	/* The late answer counts, and that of the second one is left out. */
	CU_ASSERT (answer (&w, 0) == PLANFETCH_MORE);
	CU_ASSERT (w.f.source.stall_ms == SOURCE_STALL_MS);
	CU_ASSERT (answer (&w, 1) == PLANFETCH_IGNORED);
	send_requests (&w);
	CU_ASSERT (answer_all (&w, 1) == PLANFETCH_WHOLE);
	check_text (&w, 7);
	CU_ASSERT (w.moved <= TEXT_BYTES + PLANFETCH_WINDOW_BYTES);
	world_finish (&w);
}

/* A link that is reset in the midst costs what was under way. */
static void
test_resets (void)
{
	struct world w;
	enum planfetch_result got = PLANFETCH_MORE;

	world_init (&w);
	for (int i = 0; got != PLANFETCH_WHOLE; i++) {
		ask (&w, i % 2);
		got = answer (&w, i % 2);
		g_array_set_size (w.members[i % 2].asked, 0);
		source_drop (&w.f.source, &w.members[i % 2]);
		CU_ASSERT_FATAL (i < 20);
	}
	check_text (&w, 7);
	CU_ASSERT (w.moved == TEXT_BYTES);
	world_finish (&w);
}

static void
test_lost_request (void)
{
	struct world w;

	world_init (&w);
	ask (&w, 0);
	for (int i = 0; i < SOURCE_STATES_MAX; i++) {
		CU_ASSERT (
			source_is_answering (&w.f.source, w.now_ms, w.now_ms));
		source_note_state (&w.f.source, &w.members[1]);
		source_note_state (&w.f.source, &w.members[0]);
	}
	CU_ASSERT (!source_is_answering (&w.f.source, w.now_ms, w.now_ms));
	world_finish (&w);
}

/* Versions come faster than one arrives: each transfer ends. */
static void
test_series (void)
{
	struct world w;
	uint64_t version = 7;

	world_init (&w);
	ask (&w, 0);
	while (answer (&w, 0) != PLANFETCH_WHOLE) {
		w.now_ms += 10;
		member_hold (&w.members[0], ++version, TEXT_BYTES);
	}
	check_text (&w, 7);
	planfetch_reset (&w.f);
	ask (&w, 0);
	CU_ASSERT (answer_all (&w, 0) == PLANFETCH_WHOLE);
	check_text (&w, version);
	world_finish (&w);
}

/* The other member holds only a newer version: that takes the place of what
 * arrived.  An older one doesn't. */
static void
test_other_version_elsewhere (void)
{
	struct world w;

	world_init (&w);
	member_hold (&w.members[1], 9, TEXT_BYTES / 2);
	ask (&w, 0);
	answer (&w, 0);
	source_drop (&w.f.source, &w.members[0]);
	ask (&w, 1);
	CU_ASSERT (answer_all (&w, 1) == PLANFETCH_WHOLE);
	check_text (&w, 9);
	planfetch_reset (&w.f);

	ask (&w, 1);
	answer (&w, 1);
	ask (&w, 0);
	CU_ASSERT (answer (&w, 0) == PLANFETCH_IGNORED);
	CU_ASSERT (w.f.version == 9);
	world_finish (&w);
}

static void
test_broken (void)
{
	struct world w;
	struct plantext_chunk c;
	struct plantext_chunk bad;
	struct err e;
	const struct member *m = &w.members[0];

	world_init (&w);
	ask (&w, 0);
	CU_ASSERT_FATAL (plantext_store_chunk (&w.members[0].store, 0, 0, 7,
					       m->text, 1, &c));
#define IS_BROKEN(member_, value_)                                             \
	bad = c;                                                               \
	bad.member_ = value_;                                                  \
	CU_ASSERT (planfetch_receive (&w.f, m, &bad, 0, 1, 1, &e) ==           \
		   PLANFETCH_BROKEN)
	IS_BROKEN (part_bytes, 1);
	IS_BROKEN (part_bytes, UINT32_MAX);
	IS_BROKEN (offset, 1);
	IS_BROKEN (offset, UINT32_MAX - 1);
	IS_BROKEN (text_bytes, GSTATE_PLAN_MAX_BYTES + 1);
	IS_BROKEN (text_bytes, 0);
	/* One version under two texts: the digest tells at the end. */
	planfetch_reset (&w.f);
	c.digest++;
	CU_ASSERT (planfetch_receive (&w.f, m, &c, 0, 1, 1, &e) ==
		   PLANFETCH_MORE);
	CU_ASSERT (planfetch_receive (&w.f, m, &c, 7, 1, 1, &e) ==
		   PLANFETCH_IGNORED);
	c.text_bytes = c.part_bytes;
	CU_ASSERT (planfetch_receive (&w.f, m, &c, 0, 1, 1, &e) ==
		   PLANFETCH_BROKEN);
	CU_ASSERT (w.f.version == 0 && w.f.text->len == 0);
	world_finish (&w);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"one member", test_one_member},
		{"window", test_window},
		{"goes on elsewhere", test_goes_on_elsewhere},
		{"resets", test_resets},
		{"a lost request", test_lost_request},
		{"versions in series", test_series},
		{"another version elsewhere", test_other_version_elsewhere},
		{"broken", test_broken},
		{NULL, NULL}};

	return t_run ("planfetch", cases);
}
