/*
 * Subsets of endpoints: bounded in size, evenly spread over the endpoints, and
 * mostly unchanged when relays or endpoints come and go.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "loads.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"

static uint32_t
subset_size (const struct fleet *f)
{
	uint32_t n = 0;

	for (guint i = 0; i < f->eps->len; i++)
		n += ((struct fleet_ep *)g_ptr_array_index (f->eps, i))
			     ->in_subset;
	return n;
}

static void
test_below_threshold (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	struct fleet f;

	t_fleet_init (&f, FLEET_SUBSET_THRESHOLD, 16, 7);
	CU_ASSERT (subset_size (&f) == FLEET_SUBSET_THRESHOLD);
	fleet_note_sent (&f, f.eps->pdata[3]);
	fleet_subscription (&f, out);
	CU_ASSERT (out->len == 0); /* subscribes to all */
	g_array_free (out, TRUE);
	fleet_finish (&f);
}

/* With 300 relays and 3,000 endpoints, nearly every endpoint is in some subset,
 * none is in many more than the mean, and subscriptions are bounded. */
static void
test_above_threshold (void)
{
	enum { ALL = 3000, RELAYS = 300 };
	static uint32_t by[ALL];
	uint32_t none = 0, most = 0;

	for (uint32_t r = 0; r < RELAYS; r++) {
		GArray *out =
			g_array_new (FALSE, FALSE, sizeof (struct load_ep));
		struct fleet f;

		t_fleet_init (&f, ALL, 16, r * 7919);
		CU_ASSERT (subset_size (&f) <= FLEET_SUBSET_SIZE);
		for (uint32_t i = 0; i < 200; i++)
			fleet_note_sent (&f, f.eps->pdata[i * 13]);
		fleet_subscription (&f, out);
		CU_ASSERT (out->len <= LOADS_SUBSCRIPTION_MAX &&
			   out->len >= FLEET_SUBSET_SIZE);
		for (guint i = 0; i < f.eps->len; i++) {
			struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

			by[atoi (ep->info.id + 2)] += ep->in_subset;
		}
		g_array_free (out, TRUE);
		fleet_finish (&f);
	}
	for (uint32_t i = 0; i < ALL; i++) {
		none += by[i] == 0;
		if (i % 16 != 0)
			most = MAX (most, by[i]);
	}
	/* Of four lanes that share FLEET_SUBSET_SIZE, the one for short prompts
	 * is the smallest of engines: the means are about 7 and 23. */
	CU_ASSERT (none < ALL / 100);
	CU_ASSERT (most < 2.2 * RELAYS * FLEET_SUBSET_SIZE / 4 /
				  (0.22 * 15 * ALL / 16));
}

/* When a tenth of the endpoints is removed, most of the subset stays. */
static void
test_stability (void)
{
	struct fleet f, fewer;
	uint32_t kept = 0, could = 0;

	t_fleet_init (&f, 3000, 16, 7);
	t_fleet_init (&fewer, 2700, 16, 7);
	for (guint i = 0; i < fewer.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (fewer.eps, i);

		if (!fleet_find (&f, ep->info.id)->in_subset)
			continue;
		could++;
		kept += ep->in_subset;
	}
	CU_ASSERT (could > FLEET_SUBSET_SIZE / 2 && kept * 10 > could * 8);
	fleet_finish (&f);
	fleet_finish (&fewer);
}

/* The subscription changes when the subset does, not with each list, and the
 * peer load of an endpoint that leaves it is reset. */
static void
test_subscription (void)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load_ep));
	struct fleet_ep *a, *b;
	struct load loads[2];
	struct fleet f;

	t_fleet_init (&f, 1000, 0, 7);
	CU_ASSERT (f.subscription_changed);
	fleet_subscription (&f, out);
	place_assign_lanes (&f);
	CU_ASSERT (!f.subscription_changed);
	a = g_ptr_array_index (
		fleet_pool (&f, "engines", FLEET_MAIN)->subset[0], 0);
	for (guint i = 0; (b = f.eps->pdata[i])->in_subset; i++)
		;
	loads[0] = (struct load){a->ep_hash, 5000, 2, false};
	loads[1] = (struct load){b->ep_hash, 5000, 2, true};
	fleet_set_peer_loads (&f, loads, 2, true);
	g_array_set_size (out, 0);
	fleet_subscription (&f, out);
	CU_ASSERT (a->peer_prefill_tokens == 5000);
	CU_ASSERT (b->peer_prefill_tokens == 0 && !b->peer_suspect);
	fleet_retire (a);
	fleet_apply_delta (&f, NULL, 0, &(struct load_ep){a->ep_hash}, 1, 1000,
			   0);
	place_assign_lanes (&f);
	CU_ASSERT (f.subscription_changed && !f.want_snapshot);
	g_array_free (out, TRUE);
	fleet_finish (&f);
	/* A small table subscribes to all, whichever they are. */
	t_fleet_init (&f, 100, 0, 7);
	f.subscription_changed = false;
	fleet_apply_delta (&f, NULL, 0,
			   &(struct load_ep){loads_ep_hash ("e-1")}, 1, 1000,
			   0);
	place_assign_lanes (&f);
	CU_ASSERT (!f.subscription_changed);
	fleet_finish (&f);
}

/* An endpoint outside the subset counts with the mean over the subset.  Sending
 * work there subscribes to it, until many others were sent work. */
static void
test_outside_subset (void)
{
	struct load loads[1000];
	struct fleet_ep *other = NULL;
	struct fleet_pool *p;
	struct fleet f;
	uint32_t n = 0;

	t_fleet_init (&f, 1000, 16, 7);
	for (guint i = 0; i < f.eps->len; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

		if (ep->in_subset)
			loads[n++] = (struct load){ep->ep_hash, 4000, 2, false};
		else if (strcmp (ep->info.service, "engines") == 0)
			other = ep;
	}
	fleet_set_peer_loads (&f, loads, n, false);
	p = fleet_pool (&f, "engines", FLEET_MAIN);
	CU_ASSERT (other != NULL && p != NULL);
	if (other == NULL || p == NULL)
		return;
	CU_ASSERT (fleet_peer_prefill (p, other) == 4000 &&
		   fleet_peer_running (p, other) == 2);
	f.subscription_changed = false;
	fleet_note_sent (&f, other);
	CU_ASSERT (f.subscription_changed && other->recent);
	loads[0] = (struct load){other->ep_hash, 9000, 5, false};
	fleet_set_peer_loads (&f, loads, 1, true);
	CU_ASSERT (fleet_peer_prefill (p, other) == 9000 &&
		   fleet_peer_running (p, other) == 5);
	for (guint i = 0, sent = 0; sent <= FLEET_RECENT_MAX; i++) {
		struct fleet_ep *ep = g_ptr_array_index (f.eps, i);

		if (ep == other || ep->in_subset)
			continue;
		fleet_note_sent (&f, ep);
		sent++;
	}
	CU_ASSERT (!other->recent &&
		   fleet_peer_prefill (p, other) == p->mean_prefill_tokens);
	fleet_finish (&f);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"below threshold", test_below_threshold},
		{"above threshold", test_above_threshold},
		{"stability", test_stability},
		{"subscription", test_subscription},
		{"outside subset", test_outside_subset},
		{NULL, NULL}};

	return t_run ("fleet_subset", cases);
}
