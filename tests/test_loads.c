/*
 * Sums of loads: each relay sees what the others have, and a relay that is
 * gone has nothing.
 */
#include "loads.h"
#include "t_run.h"

static void
tell (struct loads *l, const void *who, uint32_t ep, uint32_t unread,
      uint64_t work_ms)
{
	struct load x = {ep, unread, 1};
	struct load_part p = {ep * 10, ep, 500};
	struct loads_msg m = {{&x, 1}, work_ms, {&p, 1}};

	loads_take (l, who, &m);
}

static uint32_t
others (struct loads *l, const void *who, uint32_t ep)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	uint32_t unread = 0;

	loads_others (l, who, out);
	for (guint i = 0; i < out->len; i++) {
		const struct load *x = &g_array_index (out, struct load, i);

		CU_ASSERT (x->running > 0);
		if (x->ep == ep)
			unread = x->unread;
	}
	g_array_free (out, TRUE);
	return unread;
}

static void
test_sums (void)
{
	int a, b, c;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 100, 0);
	tell (&l, &b, 1, 30, 0);
	tell (&l, &c, 2, 7, 0);
	CU_ASSERT (others (&l, &a, 1) == 30 && others (&l, &a, 2) == 7);
	CU_ASSERT (others (&l, &c, 1) == 130 && others (&l, &c, 2) == 0);
	tell (&l, &a, 2, 50, 0); /* in place of what it told before */
	CU_ASSERT (others (&l, &c, 1) == 30 && others (&l, &c, 2) == 50);
	loads_drop (&l, &b);
	loads_drop (&l, &b);
	CU_ASSERT (others (&l, &c, 1) == 0);
	loads_finish (&l);
}

static void
test_work (void)
{
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 1, 5000); /* what it asked for before we led */
	tell (&l, &a, 1, 1, 5600);
	tell (&l, &b, 1, 1, 100);
	tell (&l, &b, 1, 1, 150);
	CU_ASSERT (loads_work (&l) == 650);
	CU_ASSERT (loads_work (&l) == 0);
	loads_finish (&l);
}

static void
test_parts (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_part));
	int a, b;
	struct loads l;

	loads_init (&l);
	tell (&l, &a, 1, 1, 0);
	tell (&l, &b, 2, 1, 0);
	loads_parts (&l, &a, out);
	CU_ASSERT (out->len == 1 &&
		   g_array_index (out, struct load_part, 0).id == 20);
	loads_parts_told (&l);
	g_array_set_size (out, 0);
	loads_parts (&l, &a, out);
	CU_ASSERT (out->len == 0);
	g_array_free (out, TRUE);
	loads_finish (&l);
}

int
main (void)
{
	static const struct t_case cases[] = {{"sums", test_sums},
					      {"work", test_work},
					      {"parts", test_parts},
					      {NULL, NULL}};

	return t_run ("loads", cases);
}
