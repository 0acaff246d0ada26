/*
 * Common rate of relays for requests that wait: the arithmetic, and a shortage
 * of engines replayed in virtual time with the modules that a relay uses.
 */
#include <stdlib.h>

#include "dispatch.h"
#include "place.h"
#include "t_fleet.h"
#include "t_run.h"
#include "waitq.h"

static void
test_rate (void)
{
	uint32_t own[LOADS_RANKS] = {1000, 4000},
		 peers[LOADS_RANKS] = {3000, 12000};
	struct dispatch d = {0};

	/* Rank 0 fits, rank 1 gets half of what it asks for. */
	dispatch_refill (&d, 12000, own, peers, 1000);
	CU_ASSERT (d.served[0] == 1 && d.served[1] == 0.5 && d.served[2] == 1);
	CU_ASSERT (dispatch_allows (&d, 0) && dispatch_allows (&d, 2));
	CU_ASSERT (dispatch_allows (&d, 1) && d.budget_tokens <= 2000);
	dispatch_sent (&d, 1, 5000);
	CU_ASSERT (!dispatch_allows (&d, 1));
	dispatch_sent (&d, 0, 50000);
	CU_ASSERT (d.budget_tokens >= -5000);
	/* Half of what waits here in each delay. */
	dispatch_refill (&d, 12000, own, peers, 1000 + DISPATCH_DELAY_MS);
	CU_ASSERT (d.budget_tokens > -1001 && d.budget_tokens < -999);
	/* Without a shortage nothing is held back. */
	dispatch_refill (&d, 20001, own, peers, 2000);
	CU_ASSERT (dispatch_allows (&d, 1));
}

/*
 * The replay.  Engines prefill one prompt after the other; relays learn of each
 * other's load with a delay of REPORT_MS.  Requests arrive at twice the rate
 * that engines can prefill for SHORTAGE_MS, then at half of it.
 */
enum {
	RELAYS = 32,
	ENGINES = 40,
	REPORT_MS = 60,
	SHORTAGE_MS = 3000,
	END_MS = 9000,
	STEP_MS = 10,
	REQUESTS_MAX = 20000,
};

struct request {
	struct waitq_entry wait;
	const struct plan_route *route;
	uint32_t relay;
	uint32_t tokens;
	uint64_t first_token_ms;
	uint64_t sent_ms;
	double predicted_ms;
	int engine; /* -1: waits, -2: refused */
};

struct replay {
	bool share;
	struct fleet fleets[RELAYS];
	struct loads loads;
	struct dispatch dispatch[RELAYS];
	uint32_t own_waiting[RELAYS][LOADS_RANKS];
	uint32_t peer_waiting[RELAYS][LOADS_RANKS];
	uint64_t free_ms[ENGINES]; /* when the engine has no backlog */
	struct request *requests;
	uint32_t count;
	GQueue queues[RELAYS];
	GRand *rand;
	uint64_t highest_backlog_ms;
};

static struct plan_service service = {.name = (char *)"engines",
				      .max_connections = 4000,
				      .is_engine = true,
				      .slots = 200};
static const struct plan_route urgent = {.kind = PLAN_STREAM,
					 .timeout_ms = 10000,
					 .latency_target_ms = 300,
					 .tier = 0};
static const struct plan_route large = {.kind = PLAN_STREAM,
					.timeout_ms = 8000,
					.latency_target_ms = 1500,
					.tier = 2};

static gint
by_urgency (gconstpointer a, gconstpointer b, gpointer data)
{
	const struct request *x = a, *y = b;

	(void)data;
	return waitq_compare (&x->wait, &y->wait);
}

static int
engine_index (const struct fleet_ep *ep)
{
	return atoi (ep->info.id + 2);
}

static struct place_result
choose (struct replay *w, const struct request *q, uint64_t now_ms)
{
	struct dia_segment own = {(uint64_t)(q - w->requests) + 1, q->tokens};
	struct place_relay self = {"d0", q->relay, RELAYS};
	struct place_req req = {
		.service = &service,
		.segments = &own,
		.segment_count = 1,
		.prompt_tokens = q->tokens,
		.max_backlog_ms = waitq_max_backlog_ms (q->route),
		.shared_room = w->share,
		.unseen_ms = dispatch_unseen_ms (&w->dispatch[q->relay]),
		.random = g_rand_int (w->rand)};

	return place_choose (&w->fleets[q->relay], &self, &req, now_ms);
}

static void
send_request (struct replay *w, struct request *q, const struct place_result *v,
	      uint64_t now_ms)
{
	int e = engine_index (v->ep);

	q->engine = e;
	q->sent_ms = now_ms;
	q->predicted_ms = v->ttft_ms;
	w->free_ms[e] = MAX (w->free_ms[e], now_ms) +
			(uint64_t)(q->tokens / PLACE_PREFILL_PER_MS);
	q->first_token_ms = w->free_ms[e];
	w->highest_backlog_ms =
		MAX (w->highest_backlog_ms, w->free_ms[e] - now_ms);
	v->ep->prefill_tokens += q->tokens;
	v->ep->inflight++;
}

/* Sends what the relay may send, the most urgent first. */
static void
place_queue (struct replay *w, uint32_t r, uint64_t now_ms)
{
	GQueue *queue = &w->queues[r];
	struct dispatch *d = &w->dispatch[r];

	if (w->share) {
		for (GList *at = queue->head; at != NULL; at = at->next) {
			struct request *q = at->data;

			waitq_note_late (&q->wait, q->route,
					 q->tokens / PLACE_PREFILL_PER_MS,
					 now_ms);
		}
		g_queue_sort (queue, by_urgency, NULL);
		memset (w->own_waiting[r], 0, sizeof w->own_waiting[r]);
		for (GList *at = queue->head; at != NULL; at = at->next) {
			struct request *q = at->data;

			w->own_waiting[r][waitq_rank (&q->wait)] += q->tokens;
		}
		dispatch_refill (d,
				 place_room_tokens (&w->fleets[r], &service,
						    DISPATCH_DELAY_MS, now_ms),
				 w->own_waiting[r], w->peer_waiting[r], now_ms);
	}
	for (GList *at = queue->head, *next; at != NULL; at = next) {
		struct request *q = at->data;
		struct place_result v;
		uint32_t rank;

		next = at->next;
		v = choose (w, q, now_ms);
		if (w->share)
			waitq_note_late (&q->wait, q->route, v.ttft_ms, now_ms);
		rank = waitq_rank (&q->wait);
		if (v.ep != NULL && w->share && !dispatch_allows (d, rank))
			v.ep = NULL;
		if (v.ep != NULL) {
			if (w->share)
				dispatch_sent (d, rank, q->tokens);
			send_request (w, q, &v, now_ms);
			g_queue_delete_link (queue, at);
		} else if (now_ms >= waitq_refuse_at_ms (&q->wait, q->route,
							 PLACE_BUSY, 0)) {
			q->engine = -2;
			g_queue_delete_link (queue, at);
		}
	}
}

static void
arrive (struct replay *w, uint64_t now_ms)
{
	/* Capacity: ENGINES * 50 tokens a millisecond; a pair of requests takes
	 * 11,000 of them. */
	double pairs = ENGINES * PLACE_PREFILL_PER_MS * STEP_MS / 11000 *
		       (now_ms < SHORTAGE_MS ? 2.0 : 0.5);
	uint32_t n = (uint32_t)pairs +
		     (g_rand_double (w->rand) < pairs - (uint32_t)pairs);

	for (uint32_t i = 0; i < 2 * n && w->count < REQUESTS_MAX; i++) {
		struct request *q = &w->requests[w->count++];

		q->route = i % 2 == 0 ? &urgent : &large;
		q->tokens = i % 2 == 0 ? 1000 : 10000;
		q->relay = (uint32_t)g_rand_int_range (w->rand, 0, RELAYS);
		q->engine = -1;
		waitq_entry_init (&q->wait, q->route, q->route->tier,
				  q->route->timeout_ms, now_ms);
		g_queue_insert_sorted (&w->queues[q->relay], q, by_urgency,
				       NULL);
	}
}

/* Relays report what engines have of theirs, and hear of their peers. */
static void
report (struct replay *w, uint64_t now_ms)
{
	GArray *out = g_array_new (FALSE, FALSE, sizeof (struct load));
	GArray *waiting =
		g_array_new (FALSE, FALSE, sizeof (struct load_waiting));

	for (uint32_t r = 0; r < RELAYS; r++) {
		g_array_set_size (out, 0);
		loads_peer_loads (&w->loads, &w->fleets[r], out);
		fleet_set_peer_loads (&w->fleets[r], (void *)out->data,
				      out->len, true);
		g_array_set_size (waiting, 0);
		loads_peer_waiting (&w->loads, &w->fleets[r], waiting);
		memset (w->peer_waiting[r], 0, sizeof w->peer_waiting[r]);
		for (guint i = 0; i < waiting->len; i++) {
			struct load_waiting *x = &g_array_index (
				waiting, struct load_waiting, i);

			w->peer_waiting[r][x->rank] = x->tokens;
		}
	}
	for (uint32_t r = 0; r < RELAYS; r++) {
		struct load own[ENGINES];
		struct load_waiting ranks[LOADS_RANKS];
		struct loads_msg m = {.loads = {own, 0},
				      .waiting = {ranks, 0},
				      .has_subscription = true};

		for (guint i = 0; i < w->fleets[r].eps->len; i++) {
			struct fleet_ep *ep =
				g_ptr_array_index (w->fleets[r].eps, i);

			if (ep->inflight > 0)
				own[m.loads.count++] = (struct load){
					ep->ep_hash,
					(uint32_t)ep->prefill_tokens,
					ep->inflight, false};
		}
		for (uint32_t i = 0; w->share && i < LOADS_RANKS; i++) {
			if (w->own_waiting[r][i] > 0)
				ranks[m.waiting.count++] =
					(struct load_waiting){
						i, w->own_waiting[r][i]};
		}
		loads_set_report (&w->loads, &w->fleets[r], &m);
	}
	(void)now_ms;
	g_array_free (out, TRUE);
	g_array_free (waiting, TRUE);
}

/* Prompts whose first token came are no longer part of a backlog. */
static void
finish_prefills (struct replay *w, uint64_t now_ms)
{
	static uint32_t from;

	if (now_ms == 0)
		from = 0;
	while (from < w->count && w->requests[from].engine != -1 &&
	       w->requests[from].first_token_ms <= now_ms - STEP_MS)
		from++;
	for (uint32_t i = from; i < w->count; i++) {
		struct request *q = &w->requests[i];
		struct fleet_ep *ep;
		char id[16];

		if (q->engine < 0 || q->first_token_ms > now_ms ||
		    q->first_token_ms + STEP_MS <= now_ms)
			continue;
		g_snprintf (id, sizeof id, "e-%d", q->engine);
		ep = fleet_find (&w->fleets[q->relay], id);
		ep->prefill_tokens = MAX (ep->prefill_tokens - q->tokens, 0);
		ep->inflight--;
	}
}

struct outcome {
	uint64_t highest_backlog_ms;
	double late_prediction; /* p90 measured over p90 predicted */
	double urgent_in_time, large_in_time;
};

static int
by_double (const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static struct outcome
run (bool share)
{
	struct replay *w = g_new0 (struct replay, 1);
	double *predicted = g_new (double, REQUESTS_MAX);
	double *measured = g_new (double, REQUESTS_MAX);
	uint32_t n = 0, all[2] = {0}, in_time[2] = {0};
	struct outcome o = {0};

	w->share = share;
	w->rand = g_rand_new_with_seed (11);
	w->requests = g_new0 (struct request, REQUESTS_MAX);
	loads_init (&w->loads);
	for (uint32_t r = 0; r < RELAYS; r++)
		t_fleet_init (&w->fleets[r], ENGINES, 0, r + 1);
	for (uint64_t t_ms = 0; t_ms < END_MS; t_ms += STEP_MS) {
		finish_prefills (w, t_ms);
		if (t_ms % REPORT_MS == 0)
			report (w, t_ms);
		arrive (w, t_ms);
		for (uint32_t r = 0; r < RELAYS; r++)
			place_queue (w, r, t_ms);
	}
	for (uint32_t i = 0; i < w->count; i++) {
		struct request *q = &w->requests[i];
		bool is_large = q->route == &large;

		if (q->wait.arrived_ms >= SHORTAGE_MS)
			continue;
		all[is_large]++;
		if (q->engine < 0)
			continue;
		in_time[is_large] += q->first_token_ms - q->wait.arrived_ms <=
				     q->route->latency_target_ms;
		predicted[n] = q->predicted_ms;
		measured[n++] = (double)(q->first_token_ms - q->sent_ms);
	}
	qsort (predicted, n, sizeof *predicted, by_double);
	qsort (measured, n, sizeof *measured, by_double);
	o.late_prediction = measured[n * 9 / 10] / predicted[n * 9 / 10];
	o.highest_backlog_ms = w->highest_backlog_ms;
	o.urgent_in_time = (double)in_time[0] / all[0];
	o.large_in_time = (double)in_time[1] / all[1];
	for (uint32_t r = 0; r < RELAYS; r++) {
		fleet_finish (&w->fleets[r]);
		g_queue_clear (&w->queues[r]);
	}
	loads_finish (&w->loads);
	g_rand_free (w->rand);
	g_free (w->requests);
	g_free (predicted);
	g_free (measured);
	g_free (w);
	return o;
}

/* At a shortage, each relay sent to every engine that seemed to have room: the
 * backlog of engines became many times the bound, and nothing was in time. */
static void
test_shortage (void)
{
	struct outcome before = run (false), after = run (true);

	printf ("shortage: highest backlog %u ms, %u ms; p90 measured over "
		"predicted %.1f, %.1f; in time urgent %.2f, %.2f, large %.2f, "
		"%.2f\n",
		(unsigned)before.highest_backlog_ms,
		(unsigned)after.highest_backlog_ms, before.late_prediction,
		after.late_prediction, before.urgent_in_time,
		after.urgent_in_time, before.large_in_time,
		after.large_in_time);
	CU_ASSERT (after.late_prediction <= 1.5);
	CU_ASSERT (after.highest_backlog_ms < before.highest_backlog_ms);
	/* Engines prefill half of what is asked for: all urgent prompts, which
	 * are a tenth of it, and 0.45 of the large ones.  Two thirds of these
	 * is asked for, since relays know each other's loads late. */
	CU_ASSERT (after.urgent_in_time >= 0.95);
	CU_ASSERT (after.large_in_time >= 0.30);
}

int
main (void)
{
	static const struct t_case cases[] = {
		{"rate", test_rate},
		{"shortage", test_shortage},
		{NULL, NULL},
	};

	return t_run ("dispatch", cases);
}
