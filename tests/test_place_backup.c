/*
 * Engines that keep copies of runs.
 */
#include <string.h>

#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

enum { ENGINES = 20, NOW_MS = 5000 };

static struct fleet_ep *
choose (const struct fleet *f, const struct fleet_ep *ep, uint32_t tokens,
	uint32_t random, uint64_t now_ms)
{
	static const struct plan_service service = {.kv_token_bytes = 327680,
						    .link_mbps = 260000};

	return place_choose_backup (f, ep, &service, tokens, random, now_ms);
}

/* No copies are kept before an engine was lost, and after a while without
 * losses. */
static void
test_backup_after_loss (void)
{
	struct fleet f;
	struct fleet_ep *ep;

	t_fleet_init (&f, ENGINES, 0, 7);
	ep = fleet_find (&f, "e-3");
	CU_ASSERT_PTR_NULL (choose (&f, ep, 1600, 1, NOW_MS));
	fleet_suspect (&f, fleet_find (&f, "e-9"), NOW_MS);
	CU_ASSERT_PTR_NOT_NULL (choose (&f, ep, 1600, 1, NOW_MS));
	CU_ASSERT_PTR_NULL (choose (&f, ep, 1600, 1, NOW_MS + 60000));
	/* The copy of a long prompt would occupy the links for long. */
	CU_ASSERT_PTR_NULL (choose (&f, ep, 17000, 1, NOW_MS));
	fleet_finish (&f);
}

/* A reclaim takes a whole domain, and a copy is worth nothing at an engine that
 * is suspect, leaving or cold. */
static void
test_backup_choice (void)
{
	struct fleet f;
	struct fleet_ep *ep;

	t_fleet_init (&f, ENGINES, 0, 7);
	ep = fleet_find (&f, "e-3");
	fleet_suspect (&f, fleet_find (&f, "e-1"), NOW_MS);
	fleet_retire (fleet_find (&f, "e-2"));
	fleet_set_cold (fleet_find (&f, "e-4"), 60000, NOW_MS);
	for (uint32_t dice = 0; dice < 500; dice++) {
		struct fleet_ep *x = choose (&f, ep, 1600, dice, NOW_MS + 1);

		CU_ASSERT (x != NULL &&
			   strcmp (x->info.domain, ep->info.domain) != 0 &&
			   strcmp (x->info.id, "e-1") != 0 &&
			   strcmp (x->info.id, "e-2") != 0 &&
			   strcmp (x->info.id, "e-4") != 0);
	}
	/* Only the engine's own domain is left, then nothing but the engine. */
	for (guint i = 0; i < f.eps->len; i++) {
		struct fleet_ep *x = f.eps->pdata[i];

		if (strcmp (x->info.domain, ep->info.domain) != 0)
			fleet_retire (x);
	}
	for (uint32_t dice = 0; dice < 50; dice++)
		CU_ASSERT (choose (&f, ep, 1600, dice, NOW_MS + 1) != ep);
	fleet_finish (&f);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"after a loss", test_backup_after_loss},
		{"choice", test_backup_choice},
		{NULL, NULL}};

	return t_run ("place_backup", cases);
}
