#ifndef DH_T_PACE_PRIV_H
#define DH_T_PACE_PRIV_H

#include "fleet_pace.h"
#include "loads.h"
#include "place.h"
#include "t_pace.h"

/* What the files of the replay give each other. */

enum {
	ENGINES_MAX = 160,
	DOMAINS = 5,
	SLOTS = 24,
	HOLD_MS = 1000,
	STEP_MS = 5,
	REPORT_MS = 100, /* interval of the sums */
	LATE_MS = 150,   /* age of the sums when they arrive */
	START_MS = 1000,
	APPEAR_MS = 6000,
	END_MS = 16000,
	RETRY_MS = 20,
	TICK_MS = 50,
	GIVE_UP_MS = 2000,
	OBJECTIVE_MS = 600,
	ERROR_MS = 20,
	FAIR_WINDOW_MS = 500,
	SHORT_TOKENS_MIN = 400,
	SHORT_TOKENS_MAX = 1200,
	LONG_TOKENS_MIN = 5000,
	LONG_TOKENS_MAX = 9000,
	PLAIN_TOKENS = 1000, /* 20 ms of an endpoint */
	BUDGET_MS = 500,     /* validity of a token from T_PACE_BUDGET */
};

struct job {
	uint32_t relay;
	uint32_t tokens;
	uint32_t engine;
	uint32_t tried; /* engine that failed it, plus one */
	uint64_t arrived_ms;
	uint64_t sent_ms;
	uint64_t end_ms;
	double nominal_ms;
	double left; /* tokens to prefill */
};

struct engine {
	bool appears;
	GQueue queue;   /* of struct job *, not answered */
	GQueue answers; /* of struct job *, streams */
	double done[(END_MS - APPEAR_MS) / STEP_MS];
};

/* What one option knows of one engine at one relay. */
struct window {
	double limit;
	double steady_ms; /* of its times to the first token */
	uint32_t tokens;  /* from T_PACE_BUDGET */
	uint64_t tokens_until_ms;
};

struct sums {
	uint64_t arrive_ms;
	struct load sum[ENGINES_MAX];
};

struct world {
	const struct t_pace_run *run;
	struct t_pace_result result;
	struct fleet *fleets;
	struct fleet_ep **eps; /* by relay and engine */
	struct window *windows;
	struct load *own; /* as last reported, by relay and engine */
	uint64_t *last_request_ms;
	struct engine engines[ENGINES_MAX];
	GQueue waiting; /* of struct job * */
	GQueue sums;    /* of struct sums *, on their way */
	GRand *rand;
	uint64_t now_ms;
	double long_due, short_due;
};

/* An engine as a relay knows it. */
struct fleet_ep *t_pace_ep (struct world *w, uint32_t relay, uint32_t engine);

/* t_pace_options.c: the options that are no part of the product. */
struct window *t_pace_window (struct world *w, uint32_t relay, uint32_t engine);
/* Whether the option in use lets a relay send a prompt to an engine. */
bool t_pace_option_allows (struct world *w, uint32_t relay, uint32_t engine,
			   uint32_t tokens);
/* An engine that appeared answered. */
void t_pace_option_answered (struct world *w, const struct job *j, bool good);
/* To be called at each report. */
void t_pace_option_report (struct world *w);

#endif
